/* wire_writer: encodes messages and the members of their msgpack arrays.  */

#include "wire_writer.h"

#include "frame.h"

/* Internal functions */

/* Encodes a message with `pack` and passes the bytes to `append`.  */
static void
pack_with (struct str_buf *out,
           void (*pack) (msgpack_packer *p, const void *message),
           const void *message,
           void (*append) (struct str_buf *out, struct str bytes))
{
  msgpack_sbuffer bytes;
  msgpack_packer packer;

  msgpack_sbuffer_init (&bytes);
  msgpack_packer_init (&packer, &bytes, msgpack_sbuffer_write);
  pack (&packer, message);
  append (out, (struct str){ bytes.size, bytes.data });
  msgpack_sbuffer_destroy (&bytes);
}

/* Public functions */

void
wire_writer_append (struct str_buf *out,
                    void (*pack) (msgpack_packer *p, const void *message),
                    const void *message)
{
  pack_with (out, pack, message, str_append);
}

void
wire_writer_append_frame (struct str_buf *out,
                          void (*pack) (msgpack_packer *p,
                                        const void *message),
                          const void *message)
{
  pack_with (out, pack, message, frame_append);
}

void
wire_writer_add_str (msgpack_packer *p, struct str s)
{
  msgpack_pack_str_with_body (p, s.data, s.len);
}

void
wire_writer_add_bin (msgpack_packer *p, struct str s)
{
  msgpack_pack_bin_with_body (p, s.data, s.len);
}

void
wire_writer_add_bool (msgpack_packer *p, bool value)
{
  if (value)
    msgpack_pack_true (p);
  else
    msgpack_pack_false (p);
}
