/* str: length-counted strings and a growable buffer.  */

#include "str.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

/* Constants */

#define STR_BUF_MIN_BYTES 64

/* State */

const char str_empty_data[1] = "";

/* Public functions */

struct str
str_from_cstr (const char *text)
{
  if (text == NULL)
    return STR_EMPTY;
  return (struct str){ strlen (text), text };
}

struct str
str_copy (struct str s)
{
  return (struct str){ s.len, str_dup_cstr (s) };
}

void
str_free (struct str *s)
{
  /* Only the static STR_EMPTY is not freed; a copy of an empty string is
     allocated.  */
  if (s->data != STR_EMPTY.data)
    g_free ((char *)s->data);
  *s = STR_EMPTY;
}

char *
str_dup_cstr (struct str s)
{
  char *copy = g_malloc (s.len + 1);

  if (s.len > 0)
    memcpy (copy, s.data, s.len);
  copy[s.len] = '\0';
  return copy;
}

bool
str_equal (struct str a, struct str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
str_equal_nocase (struct str a, struct str b)
{
  return a.len == b.len
         && (a.len == 0 || strncasecmp (a.data, b.data, a.len) == 0);
}

int
str_compare (struct str a, struct str b)
{
  size_t n = MIN (a.len, b.len);
  int order = n > 0 ? memcmp (a.data, b.data, n) : 0;

  if (order != 0)
    return order;
  return (a.len > b.len) - (a.len < b.len);
}

bool
str_has_prefix (struct str s, struct str prefix)
{
  return s.len >= prefix.len
         && str_equal (str_slice (s, 0, prefix.len), prefix);
}

bool
str_contains (struct str s, struct str substring)
{
  if (substring.len == 0 || s.len < substring.len)
    return false;
  return memmem (s.data, s.len, substring.data, substring.len) != NULL;
}

struct str
str_slice (struct str s, size_t from, size_t to)
{
  to = MIN (to, s.len);
  from = MIN (from, to);
  return (struct str){ to - from, s.data + from };
}

uint64_t
str_hash (struct str s)
{
  return XXH64 (s.data, s.len, 0);
}

unsigned int
str_hash_key (const void *s)
{
  return (unsigned int)str_hash (*(const struct str *)s);
}

int
str_equal_keys (const void *a, const void *b)
{
  return str_equal (*(const struct str *)a, *(const struct str *)b);
}

bool
str_parse_u64 (struct str s, uint64_t *value)
{
  uint64_t v = 0;

  if (s.len == 0)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      if (s.data[i] < '0' || s.data[i] > '9')
        return false;
      if (__builtin_mul_overflow (v, (uint64_t)10, &v)
          || __builtin_add_overflow (v, (uint64_t)(s.data[i] - '0'), &v))
        return false;
    }
  *value = v;
  return true;
}

static void
reserve (struct str_buf *b, size_t extra)
{
  size_t need = b->len + extra + 1;

  if (need <= b->cap)
    return;
  b->cap = MAX (MAX (need, b->cap * 2), STR_BUF_MIN_BYTES);
  b->data = g_realloc (b->data, b->cap);
}

void
str_reserve (struct str_buf *b, size_t cap)
{
  if (cap <= b->cap)
    return;
  b->cap = cap;
  b->data = g_realloc (b->data, cap);
  b->data[b->len] = '\0';
}

void
str_append (struct str_buf *b, struct str s)
{
  reserve (b, s.len);
  if (s.len > 0)
    memcpy (b->data + b->len, s.data, s.len);
  b->len += s.len;
  b->data[b->len] = '\0';
}

void
str_append_char (struct str_buf *b, char c)
{
  str_append (b, (struct str){ 1, &c });
}

void
str_append_format (struct str_buf *b, const char *format, ...)
{
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (n < 0)
    return;
  reserve (b, (size_t)n);
  va_start (args, format);
  vsnprintf (b->data + b->len, (size_t)n + 1, format, args);
  va_end (args);
  b->len += (size_t)n;
}

size_t
str_find_char (struct str s, char c, size_t from)
{
  const char *found
      = from < s.len ? memchr (s.data + from, c, s.len - from) : NULL;

  return found != NULL ? (size_t)(found - s.data) : s.len;
}

void
str_append_percent_decoded (struct str_buf *b, struct str s)
{
  size_t plain = 0; /* start of the bytes not yet appended */

  for (size_t i = str_find_char (s, '%', 0); i < s.len;
       i = str_find_char (s, '%', i + 1))
    {
      int high = -1, low = -1;

      if (s.len - i > 2)
        {
          high = g_ascii_xdigit_value (s.data[i + 1]);
          low = g_ascii_xdigit_value (s.data[i + 2]);
        }
      if (high < 0 || low < 0)
        continue;
      str_append (b, str_slice (s, plain, i));
      str_append_char (b, (char)(high * 16 + low));
      i += 2;
      plain = i + 1;
    }
  str_append (b, str_slice (s, plain, s.len));
}

struct str
str_view (const struct str_buf *b)
{
  if (b->data == NULL)
    return STR_EMPTY;
  return (struct str){ b->len, b->data };
}

struct str
str_take (struct str_buf *b)
{
  struct str s;

  reserve (b, 0);
  b->data[b->len] = '\0';
  s = (struct str){ b->len, b->data };
  *b = (struct str_buf){ 0 };
  return s;
}

void
str_reset (struct str_buf *b)
{
  g_free (b->data);
  *b = (struct str_buf){ 0 };
}
