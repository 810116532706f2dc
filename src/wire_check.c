/* wire_check: checks the sizes claimed in msgpack bytes before decoding.  */

#include "wire_check.h"

/* Types */

struct scanner
{
  const unsigned char *next;
  size_t remaining; /* bytes */
};

/* Content of an object after its type byte and size field.  */
struct object_size
{
  uint64_t bytes; /* payload bytes */
  uint64_t items; /* elements of an array, keys and values of a map */
};

/* Internal functions */

static bool
read_size (struct scanner *s, unsigned int width, uint64_t *size)
{
  *size = 0;
  if (s->remaining < width)
    return false;
  for (unsigned int i = 0; i < width; i++)
    *size = (*size << 8) | s->next[i];
  s->next += width;
  s->remaining -= width;
  return true;
}

/* Reads the size field of a group of three consecutive types such as bin 8,
   bin 16 and bin 32.  The position of the type in its group, 0 to 2,
   determines whether the field has 1, 2 or 4 bytes.  */
static bool
read_group_size (struct scanner *s, unsigned int position, uint64_t *size)
{
  return read_size (s, 1u << position, size);
}

/* Reads the sizes of an object whose type byte is 0xc0 to 0xdf: the types with
   a size field, the numbers of fixed size, fixext, nil and booleans.  */
static bool
read_long_type_size (struct scanner *s, unsigned char type,
                     struct object_size *size)
{
  /* payload bytes of float 32 and 64, uint 8 to 64 and int 8 to 64 */
  static const unsigned char fixed_bytes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };

  if (type == 0xc1) /* never used */
    return false;
  if (type <= 0xc3)
    return true;
  if (type <= 0xc6)
    return read_group_size (s, type - 0xc4u, &size->bytes);
  if (type <= 0xc9)
    {
      bool ok = read_group_size (s, type - 0xc7u, &size->bytes);

      size->bytes++; /* type of the ext object */
      return ok;
    }
  if (type <= 0xd3)
    {
      size->bytes = fixed_bytes[type - 0xca];
      return true;
    }
  if (type <= 0xd8)
    {
      size->bytes = 1 + (1ull << (type - 0xd4));
      return true;
    }
  if (type <= 0xdb)
    return read_group_size (s, type - 0xd9u, &size->bytes);
  if (!read_size (s, type % 2 == 0 ? 2 : 4, &size->items))
    return false;
  if (type >= 0xde)
    size->items *= 2;
  return true;
}

static bool
read_object_size (struct scanner *s, struct object_size *size)
{
  unsigned char type;

  if (s->remaining == 0)
    return false;
  type = *s->next++;
  s->remaining--;
  if (type <= 0x7f || type >= 0xe0)
    return true;
  if (type <= 0x8f)
    size->items = 2 * (uint64_t)(type & 0x0fu);
  else if (type <= 0x9f)
    size->items = type & 0x0fu;
  else if (type <= 0xbf)
    size->bytes = type & 0x1fu;
  else
    return read_long_type_size (s, type, size);
  return true;
}

/* Public functions */

/**
 * wire_check_msgpack - checks claimed sizes and nesting without decoding
 * @bytes: bytes to check
 *
 * Return: true if @bytes are exactly one object, nested no deeper than
 * %WIRE_CHECK_DEPTH_MAX, and no size claimed in it exceeds the bytes present.
 */
bool
wire_check_msgpack (struct str bytes)
{
  struct scanner s = { (const unsigned char *)bytes.data, bytes.len };
  /* number of objects at each level of nesting that were not read yet */
  uint64_t unread[WIRE_CHECK_DEPTH_MAX + 1] = { 1 };
  unsigned int level = 0;

  for (;;)
    {
      struct object_size size = { 0 };

      while (unread[level] == 0)
        {
          if (level == 0)
            return s.remaining == 0;
          level--;
        }
      unread[level]--;
      if (!read_object_size (&s, &size) || size.bytes > s.remaining
          || size.items > s.remaining)
        return false;
      s.next += size.bytes;
      s.remaining -= size.bytes;
      if (size.items == 0)
        continue;
      if (level == WIRE_CHECK_DEPTH_MAX)
        return false;
      unread[++level] = size.items;
    }
}
