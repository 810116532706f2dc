/* auth: authentication by API key.  Requests that would forward the key to a
   backend server are detected by searching their path, headers and body.  */

#include "auth.h"

#include <glib.h>
#include <string.h>

/* Constants */

/* Limit of the rounds in which text is decoded, since it may be encoded
   several times.  Text that still changes after them is rejected as if it
   contained the key.  */
#define DECODE_ROUNDS_MAX 8
/* Bytes kept of the earlier body parts for each byte of the key, so that an
   encoded key is found that begins in one part and ends in the next.  A byte
   of the key has 6 bytes as "\u0041", the longest single encoding, and 10 as
   "%255Cu0041", which is that encoding with its backslash percent-encoded
   twice; the remaining 2 are a margin.  */
#define ENCODED_BYTES_PER_KEY_BYTE 12u

/* State */

/* Headers that are forwarded to backend servers; all others are removed.
   Content-Encoding is excluded because a compressed body cannot be searched
   for the key.  */
static const struct str forwarded_headers[] = {
  STR_LIT ("accept"),
  STR_LIT ("accept-encoding"),
  STR_LIT ("accept-language"),
  STR_LIT ("content-language"),
  STR_LIT ("content-type"),
  STR_LIT ("idempotency-key"),
  STR_LIT ("if-match"),
  STR_LIT ("if-modified-since"),
  STR_LIT ("if-none-match"),
  STR_LIT ("if-range"),
  STR_LIT ("if-unmodified-since"),
  STR_LIT ("range"),
  STR_LIT ("user-agent"),
  STR_LIT ("x-request-id"),
};

/* Internal functions: reading the key from the headers */

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static struct str
trim (struct str s)
{
  size_t from = 0;
  size_t to = s.len;

  while (from < to && is_blank (s.data[from]))
    from++;
  while (to > from && is_blank (s.data[to - 1]))
    to--;
  return str_slice (s, from, to);
}

/* Returns the key that a header contains, or an empty string.  */
static struct str
get_header_key (const struct wire_header *h)
{
  const struct str scheme = STR_LIT ("bearer");
  struct str value = trim (h->value);

  if (str_equal_nocase (h->name, STR_LIT ("x-api-key")))
    return value;
  if (!str_equal_nocase (h->name, STR_LIT ("authorization"))
      || value.len <= scheme.len || !is_blank (value.data[scheme.len])
      || !str_equal_nocase (str_slice (value, 0, scheme.len), scheme))
    return STR_EMPTY;
  return trim (str_slice (value, scheme.len, value.len));
}

/* Internal functions: detecting the key in text to be forwarded */

/* Returns the value of the `len` hex digits at offset `at`, or -1.  */
static int
parse_hex (struct str s, size_t at, size_t len)
{
  int value = 0;

  if (at + len > s.len)
    return -1;
  for (size_t i = at; i < at + len; i++)
    {
      int digit = g_ascii_xdigit_value (s.data[i]);

      if (digit < 0)
        return -1;
      value = value * 16 + digit;
    }
  return value;
}

static struct str
decode_percent (struct str s, struct str_buf *out)
{
  out->len = 0;
  str_append_percent_decoded (out, s);
  return str_view (out);
}

/* Replaces JSON's "\uXXXX" of an ASCII character by the character, and a
   backslash before any other character by that character.  */
static struct str
decode_backslash (struct str s, struct str_buf *out)
{
  size_t plain = 0; /* offset of the first byte not yet appended */

  out->len = 0;
  for (size_t i = str_find_char (s, '\\', 0); i + 1 < s.len;
       i = str_find_char (s, '\\', i + 1))
    {
      int value = s.data[i + 1] == 'u' ? parse_hex (s, i + 2, 4) : -1;

      str_append (out, str_slice (s, plain, i));
      i += value >= 0 ? 5 : 1;
      str_append_char (out,
                       value >= 0 && value < 128 ? (char)value : s.data[i]);
      plain = i + 1;
    }
  str_append (out, str_slice (s, plain, s.len));
  return str_view (out);
}

static struct str
decode_backslash_and_percent (struct str s, struct str_buf *out)
{
  struct str_buf plain = { 0 };

  decode_percent (decode_backslash (s, &plain), out);
  str_reset (&plain);
  return str_view (out);
}

/* Decodes repeatedly, until the text no longer changes, and searches the
   result of each round.  */
static bool
search_decoded (struct str key, struct str text,
                struct str (*decode) (struct str text, struct str_buf *out))
{
  struct str_buf bufs[2] = { { 0 } };
  bool found = false;
  int round = 0;

  while (!found)
    {
      struct str next = decode (text, &bufs[round % 2]);

      if (next.len == text.len)
        break;
      text = next;
      found = ++round > DECODE_ROUNDS_MAX || str_contains (text, key);
    }
  str_reset (&bufs[0]);
  str_reset (&bufs[1]);
  return found;
}

/* Returns true if the text contains the key, plain or encoded, or if it
   exceeds DECODE_ROUNDS_MAX.  */
static bool
search (struct str key, struct str text)
{
  bool percent;

  if (key.len == 0 || text.len < key.len)
    return false;
  if (str_contains (text, key))
    return true;
  percent = memchr (text.data, '%', text.len) != NULL;
  if (percent && search_decoded (key, text, decode_percent))
    return true;
  /* "%5Cu0041" contains a backslash only after percent-decoding, so text with
     a '%' is searched in all forms.  */
  if (!percent && memchr (text.data, '\\', text.len) == NULL)
    return false;
  return search_decoded (key, text, decode_backslash)
         || search_decoded (key, text, decode_backslash_and_percent);
}

/* Public functions */

/**
 * auth_find_key - finds the key of a request
 * @headers: headers of the request
 * @len: number of headers
 * @key: receives a view of the key
 *
 * Return: ERR_NONE; ERR_KEY_MISSING; ERR_BAD_REQUEST if two headers contain
 * different keys, because only one key is checked and searched for in what is
 * forwarded.
 */
enum err_kind
auth_find_key (const struct wire_header *headers, uint32_t len,
               struct str *key)
{
  *key = STR_EMPTY;
  for (uint32_t i = 0; i < len; i++)
    {
      struct str found = get_header_key (&headers[i]);

      if (found.len == 0)
        continue;
      if (key->len > 0 && !str_equal (*key, found))
        return ERR_BAD_REQUEST;
      *key = found;
    }
  return key->len > 0 ? ERR_NONE : ERR_KEY_MISSING;
}

void
auth_hash_key (struct str key, uint8_t digest[AUTH_DIGEST_BYTES])
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize len = AUTH_DIGEST_BYTES;

  g_checksum_update (sum, (const guchar *)key.data, (gssize)key.len);
  g_checksum_get_digest (sum, digest, &len);
  g_checksum_free (sum);
}

/**
 * auth_check - finds the key of a request and looks it up
 * @headers: headers of the request
 * @len: number of headers
 * @lookup: where digests are looked up
 * @key: receives a view of the key
 * @identity: receives the key id and the workspace
 *
 * Return: ERR_NONE, or the error kind to answer the caller with.
 */
enum err_kind
auth_check (const struct wire_header *headers, uint32_t len,
            const struct auth_lookup *lookup, struct str *key,
            struct auth_identity *identity)
{
  uint8_t digest[AUTH_DIGEST_BYTES];
  enum err_kind error = auth_find_key (headers, len, key);

  if (error != ERR_NONE)
    return error;
  if (key->len < AUTH_KEY_MIN_BYTES || key->len > AUTH_KEY_MAX_BYTES)
    return ERR_KEY_UNKNOWN;
  auth_hash_key (*key, digest);
  return lookup->find (lookup->owner, digest, identity) ? ERR_NONE
                                                        : ERR_KEY_UNKNOWN;
}

bool
auth_is_forwarded (struct str name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (forwarded_headers); i++)
    if (str_equal_nocase (name, forwarded_headers[i]))
      return true;
  return false;
}

/**
 * auth_filter_headers - keeps the headers that may be forwarded
 * @headers: headers of the request
 * @len: number of headers
 * @forwards: returns true if a header of this name may be forwarded
 * @out: receives views of the headers kept
 * @out_max: capacity of @out
 *
 * Return: number of headers kept.
 */
uint32_t
auth_filter_headers (const struct wire_header *headers, uint32_t len,
                     bool (*forwards) (struct str name),
                     struct wire_header *out, uint32_t out_max)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < len && kept < out_max; i++)
    if (forwards (headers[i].name))
      out[kept++] = headers[i];
  return kept;
}

/**
 * auth_contains_key - searches the request line and headers for the key
 * @key: the key of the request
 * @path: path with the query
 * @headers: the headers that will be forwarded
 * @len: number of headers
 *
 * Return: true if the key is found: plain, percent-encoded, with backslash
 * escapes, or with both, up to %DECODE_ROUNDS_MAX times.  Also true if the
 * text is encoded more often than that.
 */
bool
auth_contains_key (struct str key, struct str path,
                   const struct wire_header *headers, uint32_t len)
{
  if (search (key, path))
    return true;
  for (uint32_t i = 0; i < len; i++)
    if (search (key, headers[i].value))
      return true;
  return false;
}

void
auth_init_scan (struct auth_scan *s, struct str key)
{
  *s = (struct auth_scan){ .key = str_copy (key) };
}

/**
 * auth_close_scan - ends a search
 * @s: search
 *
 * The copy of the key is overwritten before its memory is freed.
 */
void
auth_close_scan (struct auth_scan *s)
{
  explicit_bzero ((char *)s->key.data, s->key.len);
  str_free (&s->key);
  str_reset (&s->tail);
}

/**
 * auth_scan_part - searches the next part of a body
 * @s: search
 * @part: bytes that follow the earlier parts
 *
 * Return: true if the parts so far contain the key, also across the boundary
 * of two parts.
 */
bool
auth_scan_part (struct auth_scan *s, struct str part)
{
  size_t keep = s->key.len * ENCODED_BYTES_PER_KEY_BYTE;
  size_t from;

  if (s->found)
    return true;
  str_append (&s->tail, part);
  s->found = search (s->key, str_view (&s->tail));
  from = s->tail.len > keep ? s->tail.len - keep : 0;
  if (from > 0)
    memmove (s->tail.data, s->tail.data + from, keep);
  s->tail.len -= from;
  return s->found;
}
