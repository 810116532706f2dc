/* wire_snapshot: msgpack encoding of the messages with which a daemon fetches
   a snapshot, the complete configuration at one revision, from a peer in
   parts.  */

#include "wire_snapshot.h"

#include "wire_check.h"
#include "wire_writer.h"

#include <msgpack.h>

/* Internal functions */

static void
pack_pull (msgpack_packer *p, const void *message)
{
  const struct wire_pull_snapshot *m = message;

  msgpack_pack_array (p, 3);
  msgpack_pack_int (p, WIRE_PULL_SNAPSHOT);
  msgpack_pack_uint64 (p, m->revision);
  msgpack_pack_uint64 (p, m->offset);
}

static void
pack_snapshot (msgpack_packer *p, const void *message)
{
  const struct wire_snapshot *m = message;

  msgpack_pack_array (p, 5);
  msgpack_pack_int (p, WIRE_SNAPSHOT);
  msgpack_pack_uint64 (p, m->revision);
  msgpack_pack_uint64 (p, m->total_bytes);
  msgpack_pack_uint64 (p, m->offset);
  wire_writer_add_bin (p, m->part);
}

/* Decodes an array that consists of the message type, `len` unsigned numbers
   and, if `part` is not NULL, a bin member.  */
static bool
decode_array (struct str frame, uint64_t type, uint64_t *numbers, uint32_t len,
              struct str *part)
{
  uint32_t size = 1 + len + (part != NULL);
  msgpack_unpacked u;
  const msgpack_object *items;
  size_t offset = 0;
  bool ok;

  if (!wire_check_msgpack (frame))
    return false;
  msgpack_unpacked_init (&u);
  ok = msgpack_unpack_next (&u, frame.data, frame.len, &offset)
           == MSGPACK_UNPACK_SUCCESS
       && u.data.type == MSGPACK_OBJECT_ARRAY && u.data.via.array.size == size;
  items = ok ? u.data.via.array.ptr : NULL;
  for (uint32_t i = 0; ok && i <= len; i++)
    {
      ok = items[i].type == MSGPACK_OBJECT_POSITIVE_INTEGER
           && (i > 0 || items[i].via.u64 == type);
      if (ok && i > 0)
        numbers[i - 1] = items[i].via.u64;
    }
  ok = ok && (part == NULL || items[len + 1].type == MSGPACK_OBJECT_BIN);
  if (ok && part != NULL)
    *part = (struct str){ items[len + 1].via.bin.size,
                          items[len + 1].via.bin.ptr };
  msgpack_unpacked_destroy (&u);
  return ok;
}

/* Public functions */

void
wire_snapshot_append_pull (struct str_buf *out,
                           const struct wire_pull_snapshot *m)
{
  wire_writer_append_frame (out, pack_pull, m);
}

void
wire_snapshot_append (struct str_buf *out, const struct wire_snapshot *m)
{
  wire_writer_append_frame (out, pack_snapshot, m);
}

bool
wire_snapshot_load_pull (struct wire_pull_snapshot *m, struct str frame)
{
  uint64_t numbers[2];

  if (!decode_array (frame, WIRE_PULL_SNAPSHOT, numbers, 2, NULL))
    return false;
  *m = (struct wire_pull_snapshot){ numbers[0], numbers[1] };
  return true;
}

bool
wire_snapshot_load (struct wire_snapshot *m, struct str frame)
{
  uint64_t numbers[3];
  struct str part;

  if (!decode_array (frame, WIRE_SNAPSHOT, numbers, 3, &part))
    return false;
  *m = (struct wire_snapshot){ numbers[0], numbers[1], numbers[2], part };
  return true;
}
