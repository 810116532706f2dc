/* str: length-counted strings and a growable buffer.  */

#ifndef ALMONDVALE_STR_H
#define ALMONDVALE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Constants */

/* Uses one static object, because str_free recognizes the empty string by its
   address; a literal may have a different address in each file.  */
#define STR_EMPTY ((struct str){ 0, str_empty_data })
#define STR_LIT(text) ((struct str){ sizeof (text) - 1, (text) })
/* Arguments of a "%.*s" conversion.  */
#define STR_ARG(s) (int)(s).len, (s).data

/* Types */

/* A view of bytes; the data need not end with NUL.  */
struct str
{
  size_t len;       /* bytes */
  const char *data; /* never NULL */
};

/* A buffer that owns its bytes; once allocated, data[len] is always NUL.  */
struct str_buf
{
  size_t len; /* bytes used */
  size_t cap; /* bytes allocated */
  char *data; /* NULL until the first append */
};

/* State */

extern const char str_empty_data[1];

/* Public functions */

/* Returns a view of a NUL-terminated string; empty for NULL.  */
struct str str_from_cstr (const char *text);
/* Returns an allocated, NUL-terminated copy; free with str_free.  */
struct str str_copy (struct str s);
/* Frees an allocated string and sets it to STR_EMPTY.  */
void str_free (struct str *s);
/* Returns a NUL-terminated copy; free with g_free.  */
char *str_dup_cstr (struct str s);
/* Returns true if both strings have the same bytes.  */
bool str_equal (struct str a, struct str b);
/* Returns true if both strings are equal, ignoring ASCII case.  */
bool str_equal_nocase (struct str a, struct str b);
/* Compares like memcmp; a prefix sorts before the longer string.  */
int str_compare (struct str a, struct str b);
/* Returns true if s begins with prefix.  */
bool str_has_prefix (struct str s, struct str prefix);
/* Returns true if substring occurs in s; false if substring is empty.  */
bool str_contains (struct str s, struct str substring);
/* Returns a view of the bytes [from, to), clipped to the length of s.  */
struct str str_slice (struct str s, size_t from, size_t to);
/* Returns the 64-bit xxHash (XXH64) with seed 0.  */
uint64_t str_hash (struct str s);
/* str_hash and str_equal for hash tables whose keys are pointers to struct
   str.  */
unsigned int str_hash_key (const void *s);
int str_equal_keys (const void *a, const void *b);
/* Parses decimal digits; returns false on any other character, an empty string
   or overflow.  */
bool str_parse_u64 (struct str s, uint64_t *value);

/* Allocates at least cap bytes, the final NUL included, and no more than needed
   for that.  */
void str_reserve (struct str_buf *b, size_t cap);
/* Appends the bytes of s.  */
void str_append (struct str_buf *b, struct str s);
/* Appends one byte.  */
void str_append_char (struct str_buf *b, char c);
/* Appends text formatted as by printf.  */
void str_append_format (struct str_buf *b, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Returns the position of the first c at or after `from`, or the length of
   s.  */
size_t str_find_char (struct str s, char c, size_t from);
/* Appends s with each valid "%XX" replaced by its byte.  */
void str_append_percent_decoded (struct str_buf *b, struct str s);
/* Returns a view of the buffer, valid until the next append.  */
struct str str_view (const struct str_buf *b);
/* Moves the contents out and resets the buffer; free the result with
   str_free.  */
struct str str_take (struct str_buf *b);
/* Frees the contents and resets the buffer.  */
void str_reset (struct str_buf *b);

#endif
