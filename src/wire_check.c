/* wire_check: checks the sizes in msgpack bytes before they are decoded.  */

#include "wire_check.h"

/* Types */

struct scanner
{
  const unsigned char *at;
  size_t left; /* bytes */
};

/* What follows the first byte of an object.  */
struct shape
{
  uint64_t bytes; /* payload bytes to skip */
  uint64_t items; /* objects nested in it */
};

/* Internal functions */

static bool
read_size (struct scanner *s, unsigned int width, uint64_t *size)
{
  *size = 0;
  if (s->left < width)
    return false;
  for (unsigned int i = 0; i < width; i++)
    *size = (*size << 8) | s->at[i];
  s->at += width;
  s->left -= width;
  return true;
}

/* Reads a size of 1, 2 or 4 bytes by the position of the type byte in its
   group of three.  */
static bool
read_group_size (struct scanner *s, unsigned int position, uint64_t *size)
{
  return read_size (s, 1u << position, size);
}

/* Sizes of the types from 0xc0 to 0xdf.  */
static bool
read_long_shape (struct scanner *s, unsigned char type, struct shape *shape)
{
  static const unsigned char fixed_bytes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };

  if (type == 0xc1)
    return false;
  if (type <= 0xc3)
    return true;
  if (type <= 0xc6)
    return read_group_size (s, type - 0xc4u, &shape->bytes);
  if (type <= 0xc9)
    {
      bool ok = read_group_size (s, type - 0xc7u, &shape->bytes);

      shape->bytes++;
      return ok;
    }
  if (type <= 0xd3)
    {
      shape->bytes = fixed_bytes[type - 0xca];
      return true;
    }
  if (type <= 0xd8)
    {
      shape->bytes = 1 + (1ull << (type - 0xd4));
      return true;
    }
  if (type <= 0xdb)
    return read_group_size (s, type - 0xd9u, &shape->bytes);
  if (!read_size (s, type % 2 == 0 ? 2 : 4, &shape->items))
    return false;
  if (type >= 0xde)
    shape->items *= 2;
  return true;
}

static bool
read_shape (struct scanner *s, struct shape *shape)
{
  unsigned char type;

  if (s->left == 0)
    return false;
  type = *s->at++;
  s->left--;
  if (type <= 0x7f || type >= 0xe0)
    return true;
  if (type <= 0x8f)
    shape->items = 2 * (uint64_t)(type & 0x0fu);
  else if (type <= 0x9f)
    shape->items = type & 0x0fu;
  else if (type <= 0xbf)
    shape->bytes = type & 0x1fu;
  else
    return read_long_shape (s, type, shape);
  return true;
}

/* Public functions */

/**
 * wire_check_msgpack - checks sizes and nesting without decoding
 * @bytes: bytes to check
 *
 * Return: true if @bytes hold exactly one object, no deeper than
 * %WIRE_CHECK_DEPTH_MAX, whose claimed sizes fit into the bytes present.
 */
bool
wire_check_msgpack (struct str bytes)
{
  struct scanner s = { (const unsigned char *)bytes.data, bytes.len };
  uint64_t open[WIRE_CHECK_DEPTH_MAX + 1] = { 1 }; /* objects left by level */
  unsigned int level = 0;

  for (;;)
    {
      struct shape shape = { 0 };

      while (open[level] == 0)
        {
          if (level == 0)
            return s.left == 0;
          level--;
        }
      open[level]--;
      if (!read_shape (&s, &shape) || shape.bytes > s.left
          || shape.items > s.left)
        return false;
      s.at += shape.bytes;
      s.left -= shape.bytes;
      if (shape.items == 0)
        continue;
      if (level == WIRE_CHECK_DEPTH_MAX)
        return false;
      open[++level] = shape.items;
    }
}
