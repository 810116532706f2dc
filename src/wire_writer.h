/* wire_writer: encodes messages and the members of their msgpack arrays.  */

#ifndef ALMONDVALE_WIRE_WRITER_H
#define ALMONDVALE_WIRE_WRITER_H

#include "str.h"

#include <msgpack.h>
#include <stdbool.h>

/* Public functions */

/* appends the bytes that `pack` writes for a message */
void wire_writer_append (struct str_buf *out,
                         void (*pack) (msgpack_packer *p, const void *message),
                         const void *message);
/* appends the bytes that `pack` writes for a message as one frame, with the
   length prefix */
void wire_writer_append_frame (struct str_buf *out,
                               void (*pack) (msgpack_packer *p,
                                             const void *message),
                               const void *message);

/* adds a str member */
void wire_writer_add_str (msgpack_packer *p, struct str s);
/* adds a bin member */
void wire_writer_add_bin (msgpack_packer *p, struct str s);
/* adds a boolean */
void wire_writer_add_bool (msgpack_packer *p, bool value);

#endif
