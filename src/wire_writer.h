/* wire_writer: encodes messages and the members of their msgpack arrays.  */

#ifndef ALMONDVALE_WIRE_WRITER_H
#define ALMONDVALE_WIRE_WRITER_H

#include "str.h"

#include <msgpack.h>
#include <stdbool.h>

/* Public functions */

/* appends the bytes of a message */
void wire_writer_append (struct str_buf *out,
                         void (*pack) (msgpack_packer *p, const void *message),
                         const void *message);
/* the same as one frame, with its length */
void wire_writer_append_frame (struct str_buf *out,
                               void (*pack) (msgpack_packer *p,
                                             const void *message),
                               const void *message);

/* text */
void wire_writer_add_str (msgpack_packer *p, struct str s);
/* bytes */
void wire_writer_add_bin (msgpack_packer *p, struct str s);
/* true or false */
void wire_writer_add_bool (msgpack_packer *p, bool value);

#endif
