/* str: length-counted strings and a growing buffer.  */

#ifndef ALMONDVALE_STR_H
#define ALMONDVALE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Constants */

/* One object, as str_free tells it from allocated data by its address; a
   literal may have another address in each file.  */
#define STR_EMPTY ((struct str){ 0, str_empty_data })
#define STR_LIT(text) ((struct str){ sizeof (text) - 1, (text) })
/* Arguments for a "%.*s" conversion.  */
#define STR_ARG(s) (int)(s).len, (s).data

/* Types */

/* A view of bytes; the data need not end with NUL.  */
struct str
{
  size_t len;       /* bytes */
  const char *data; /* never NULL */
};

/* A buffer that owns its bytes; data[len] is always NUL once allocated.  */
struct str_buf
{
  size_t len; /* bytes used */
  size_t cap; /* bytes allocated */
  char *data; /* NULL until the first append */
};

/* State */

extern const char str_empty_data[1];

/* Public functions */

/* view of a NUL-terminated string; NULL gives empty */
struct str str_from_cstr (const char *text);
/* allocated copy, NUL-terminated; free with str_free */
struct str str_copy (struct str s);
/* frees a copy and makes it empty */
void str_free (struct str *s);
/* NUL-terminated copy; free with g_free */
char *str_dup_cstr (struct str s);
/* same bytes */
bool str_equal (struct str a, struct str b);
/* same bytes but for ASCII case */
bool str_equal_nocase (struct str a, struct str b);
/* order as memcmp, shorter first */
int str_compare (struct str a, struct str b);
/* s begins with prefix */
bool str_has_prefix (struct str s, struct str prefix);
/* part occurs in s; an empty part does not */
bool str_contains (struct str s, struct str substring);
/* view of [from, to), clipped to s */
struct str str_slice (struct str s, size_t from, size_t to);
/* xxhash64 with seed 0 */
uint64_t str_hash (struct str s);
/* str_hash and str_equal of pointers to strings, for hash tables */
unsigned int str_hash_key (const void *s);
int str_equal_keys (const void *a, const void *b);
/* decimal digits only; false on overflow */
bool str_parse_u64 (struct str s, uint64_t *value);

/* appends bytes */
void str_append (struct str_buf *b, struct str s);
/* appends one byte */
void str_append_char (struct str_buf *b, char c);
/* appends as printf does */
void str_append_format (struct str_buf *b, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* position of a character at or after `from`, or the length */
size_t str_find_char (struct str s, char c, size_t from);
/* appends with each "%XX" replaced by its byte */
void str_append_percent_decoded (struct str_buf *b, struct str s);
/* view of the buffer, valid until the next append */
struct str str_view (const struct str_buf *b);
/* moves the bytes out; free with str_free */
struct str str_take (struct str_buf *b);
/* frees the bytes */
void str_reset (struct str_buf *b);

#endif
