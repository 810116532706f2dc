/* reader: reads the members of a msgpack array in order.  */

#include "reader.h"

#include "scan.h"

/* Internal functions */

static const msgpack_object *
take_item (struct reader *r, msgpack_object_type type)
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
 * reader_init - decodes one msgpack array
 * @r: reader
 * @bytes: exactly one array; must outlive the views read from it
 *
 * Return: false if the bytes are malformed; nothing has to be freed then.
 */
bool
reader_init (struct reader *r, struct str bytes)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;

  *r = (struct reader){ .failed = true };
  if (!scan_check_msgpack (bytes))
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
reader_close (struct reader *r)
{
  if (r->zone != NULL)
    msgpack_zone_free (r->zone);
  *r = (struct reader){ .failed = true };
}

bool
reader_is_done (const struct reader *r)
{
  return !r->failed && r->next == r->len;
}

uint64_t
reader_take_u64 (struct reader *r)
{
  const msgpack_object *o = take_item (r, MSGPACK_OBJECT_POSITIVE_INTEGER);

  return o != NULL ? o->via.u64 : 0;
}

uint32_t
reader_take_u32 (struct reader *r, uint32_t max)
{
  uint64_t v = reader_take_u64 (r);

  if (v > max)
    r->failed = true;
  return r->failed ? 0 : (uint32_t)v;
}

int64_t
reader_take_i64 (struct reader *r)
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
reader_take_bool (struct reader *r)
{
  const msgpack_object *o = take_item (r, MSGPACK_OBJECT_BOOLEAN);

  return o != NULL && o->via.boolean;
}

struct str
reader_take_str (struct reader *r)
{
  const msgpack_object *o = take_item (r, MSGPACK_OBJECT_STR);

  if (o == NULL || o->via.str.size == 0)
    return STR_EMPTY;
  return (struct str){ o->via.str.size, o->via.str.ptr };
}

struct str
reader_take_bin (struct reader *r)
{
  const msgpack_object *o = take_item (r, MSGPACK_OBJECT_BIN);

  if (o == NULL || o->via.bin.size == 0)
    return STR_EMPTY;
  return (struct str){ o->via.bin.size, o->via.bin.ptr };
}

struct reader
reader_take_array (struct reader *r, uint32_t max)
{
  const msgpack_object *o = take_item (r, MSGPACK_OBJECT_ARRAY);

  if (o == NULL || o->via.array.size > max)
    {
      r->failed = true;
      return (struct reader){ .failed = true };
    }
  return (struct reader){ .items = o->via.array.ptr,
                          .len = o->via.array.size };
}
