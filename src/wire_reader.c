/* wire_reader: reads the members of a msgpack array in order.  */

#include "wire_reader.h"

#include "wire_check.h"

/* Internal functions */

static const msgpack_object *
read_item (struct wire_reader *r, msgpack_object_type type)
{
  if (r->failed || r->next >= r->len || r->items[r->next].type != type)
    {
      r->failed = true;
      return NULL;
    }
  return &r->items[r->next++];
}

/* Public functions */

/**
 * wire_reader_init - decodes one msgpack array
 * @r: reader
 * @bytes: encoding of exactly one array; must outlive the views read from it
 *
 * Return: false if the bytes are malformed; nothing has to be freed then.
 */
bool
wire_reader_init (struct wire_reader *r, struct str bytes)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;

  *r = (struct wire_reader){ .failed = true };
  if (!wire_check_msgpack (bytes))
    return false;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes.data, bytes.len, &offset)
          != MSGPACK_UNPACK_SUCCESS
      || offset != bytes.len || unpacked.data.type != MSGPACK_OBJECT_ARRAY)
    {
      msgpack_unpacked_destroy (&unpacked);
      return false;
    }
  r->items = unpacked.data.via.array.ptr;
  r->len = unpacked.data.via.array.size;
  r->failed = false;
  r->zone = msgpack_unpacked_release_zone (&unpacked);
  msgpack_unpacked_destroy (&unpacked);
  return true;
}

void
wire_reader_close (struct wire_reader *r)
{
  if (r->zone != NULL)
    msgpack_zone_free (r->zone);
  *r = (struct wire_reader){ .failed = true };
}

bool
wire_reader_is_done (const struct wire_reader *r)
{
  return !r->failed && r->next == r->len;
}

uint64_t
wire_reader_read_u64 (struct wire_reader *r)
{
  const msgpack_object *o = read_item (r, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return o != NULL ? o->via.u64 : 0;
}

uint32_t
wire_reader_read_u32 (struct wire_reader *r, uint32_t max)
{
  uint64_t v = wire_reader_read_u64 (r);

  if (v > max)
    r->failed = true;
  return r->failed ? 0 : (uint32_t)v;
}

int64_t
wire_reader_read_i64 (struct wire_reader *r)
{
  const msgpack_object *o;

  if (r->failed || r->next >= r->len)
    {
      r->failed = true;
      return 0;
    }
  o = &r->items[r->next++];
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return o->via.i64;
  if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
    return (int64_t)o->via.u64;
  r->failed = true;
  return 0;
}

bool
wire_reader_read_bool (struct wire_reader *r)
{
  const msgpack_object *o = read_item (r, MSGPACK_OBJECT_BOOLEAN);

  return o != NULL && o->via.boolean;
}

struct str
wire_reader_read_str (struct wire_reader *r)
{
  const msgpack_object *o = read_item (r, MSGPACK_OBJECT_STR);

  if (o == NULL || o->via.str.size == 0)
    return STR_EMPTY;
  return (struct str){ o->via.str.size, o->via.str.ptr };
}

struct str
wire_reader_read_bin (struct wire_reader *r)
{
  const msgpack_object *o = read_item (r, MSGPACK_OBJECT_BIN);

  if (o == NULL || o->via.bin.size == 0)
    return STR_EMPTY;
  return (struct str){ o->via.bin.size, o->via.bin.ptr };
}

struct wire_reader
wire_reader_read_array (struct wire_reader *r, uint32_t max)
{
  const msgpack_object *o = read_item (r, MSGPACK_OBJECT_ARRAY);

  if (o == NULL || o->via.array.size > max)
    {
      r->failed = true;
      return (struct wire_reader){ .failed = true };
    }
  return (struct wire_reader){ .items = o->via.array.ptr,
                               .len = o->via.array.size };
}
