/* json_check: checks JSON text before json-glib parses it, and finds the
   position of a member for error messages.  */

#include "json_check.h"

#include "err.h"

#include <string.h>

/* Constants */

#define ESCAPE_LEN ((size_t)6) /* of \uXXXX */
#define INTEGER_DIGITS_MAX 18u /* fit into 64 bits */

/* Types */

struct scanner
{
  struct str text;
  size_t pos;
  uint32_t depth;
  const char *message; /* first error, or NULL */
};

/* Internal functions: tokens */

static char
peek (const struct scanner *s)
{
  return s->pos < s->text.len ? s->text.data[s->pos] : '\0';
}

static void
skip_space (struct scanner *s)
{
  while (s->pos < s->text.len && strchr (" \t\r\n", s->text.data[s->pos])
         && s->text.data[s->pos] != '\0')
    s->pos++;
}

static bool
fail (struct scanner *s, const char *message)
{
  if (s->message == NULL)
    s->message = message;
  return false;
}

static bool
accept_char (struct scanner *s, char c)
{
  if (peek (s) != c)
    return false;
  s->pos++;
  return true;
}

static bool
scan_escape (struct scanner *s)
{
  char c = peek (s);

  if (c == '\0' || strchr ("\"\\/bfnrtu", c) == NULL)
    return fail (s, "unknown escape in a string");
  s->pos++;
  for (int i = 0; c == 'u' && i < 4; i++)
    {
      if (!g_ascii_isxdigit (peek (s)))
        return fail (s, "\\u needs four hexadecimal digits");
      s->pos++;
    }
  return true;
}

static bool
scan_string (struct scanner *s, struct str *raw)
{
  size_t start;

  if (!accept_char (s, '"'))
    return fail (s, "expected a string");
  start = s->pos;
  for (;;)
    {
      if (s->pos >= s->text.len)
        return fail (s, "the string has no closing quote");
      if ((unsigned char)peek (s) < ' ')
        return fail (s, "control character in a string");
      if (accept_char (s, '"'))
        break;
      if (accept_char (s, '\\'))
        {
          if (!scan_escape (s))
            return false;
        }
      else
        s->pos++;
    }
  *raw = str_slice (s->text, start, s->pos - 1);
  return true;
}

static bool
scan_digits (struct scanner *s)
{
  if (!g_ascii_isdigit (peek (s)))
    return fail (s, "expected a digit");
  while (g_ascii_isdigit (peek (s)))
    s->pos++;
  return true;
}

static bool
scan_number (struct scanner *s)
{
  accept_char (s, '-');
  if (accept_char (s, '0'))
    {
      if (g_ascii_isdigit (peek (s)))
        return fail (s, "a number must not have a leading zero");
    }
  else if (!scan_digits (s))
    return false;
  if (accept_char (s, '.') && !scan_digits (s))
    return false;
  if (accept_char (s, 'e') || accept_char (s, 'E'))
    {
      if (!accept_char (s, '+'))
        accept_char (s, '-');
      return scan_digits (s);
    }
  return true;
}

static bool
scan_literal (struct scanner *s, struct str word)
{
  if (!str_equal (str_slice (s->text, s->pos, s->pos + word.len), word))
    return fail (s, "expected a value");
  s->pos += word.len;
  return true;
}

/* Internal functions: values; the recursion is bounded by
   JSON_CHECK_DEPTH_MAX.  */

static bool scan_value (struct scanner *s);

static guint
hash_member (gconstpointer key)
{
  return (guint)str_hash (*(const struct str *)key);
}

static gboolean
equal_members (gconstpointer a, gconstpointer b)
{
  return str_equal (*(const struct str *)a, *(const struct str *)b);
}

static bool
scan_member (struct scanner *s, GHashTable *members)
{
  size_t start = s->pos;
  struct str *name = g_new (struct str, 1);

  *name = STR_EMPTY;
  if (!scan_string (s, name))
    {
      g_free (name);
      return false;
    }
  /* With escapes, one name could be written in two ways, and the check for
     duplicates would miss it.  */
  if (memchr (name->data, '\\', name->len) != NULL)
    {
      g_free (name);
      s->pos = start;
      return fail (s, "a member name must not contain escapes");
    }
  if (!g_hash_table_add (members, name))
    {
      s->pos = start;
      return fail (s, "the member occurs twice");
    }
  skip_space (s);
  if (!accept_char (s, ':'))
    return fail (s, "expected ':'");
  skip_space (s);
  return scan_value (s);
}

static bool
scan_members (struct scanner *s, GHashTable *members)
{
  skip_space (s);
  if (accept_char (s, '}'))
    return true;
  for (;;)
    {
      skip_space (s);
      if (!scan_member (s, members))
        return false;
      skip_space (s);
      if (accept_char (s, '}'))
        return true;
      if (!accept_char (s, ','))
        return fail (s, "expected ',' or '}'");
    }
}

static bool
scan_object (struct scanner *s)
{
  GHashTable *members
      = g_hash_table_new_full (hash_member, equal_members, g_free, NULL);
  bool valid;

  s->pos++;
  valid = scan_members (s, members);
  g_hash_table_unref (members);
  return valid;
}

static bool
scan_array (struct scanner *s)
{
  s->pos++;
  skip_space (s);
  if (accept_char (s, ']'))
    return true;
  for (;;)
    {
      skip_space (s);
      if (!scan_value (s))
        return false;
      skip_space (s);
      if (accept_char (s, ']'))
        return true;
      if (!accept_char (s, ','))
        return fail (s, "expected ',' or ']'");
    }
}

static bool
scan_nested (struct scanner *s)
{
  bool valid;

  if (s->depth == JSON_CHECK_DEPTH_MAX)
    return fail (s, "nested too deeply");
  s->depth++;
  valid = peek (s) == '{' ? scan_object (s) : scan_array (s);
  s->depth--;
  return valid;
}

static bool
scan_value (struct scanner *s)
{
  struct str raw;

  switch (peek (s))
    {
    case '{':
    case '[':
      return scan_nested (s);
    case '"':
      return scan_string (s, &raw);
    case 't':
      return scan_literal (s, STR_LIT ("true"));
    case 'f':
      return scan_literal (s, STR_LIT ("false"));
    case 'n':
      return scan_literal (s, STR_LIT ("null"));
    default:
      if (peek (s) != '-' && !g_ascii_isdigit (peek (s)))
        return fail (s, "expected a value");
      return scan_number (s);
    }
}

static bool
scan_text (struct scanner *s)
{
  const char *end;

  if (!g_utf8_validate_len (s->text.data, s->text.len, &end))
    {
      s->pos = (size_t)(end - s->text.data);
      return fail (s, "not UTF-8");
    }
  skip_space (s);
  if (!scan_value (s))
    return false;
  skip_space (s);
  return s->pos == s->text.len || fail (s, "text after the end of the value");
}

/* Internal functions: limits; `text` is the scanner's text, which they
   overwrite without changing its length.  */

static void
overwrite (char *text, struct str replacement)
{
  memcpy (text, replacement.data, replacement.len);
}

/* Returns the code unit of the escape \uXXXX at a position, or -1.  */
static int
get_escaped_unit (const struct scanner *s, size_t pos)
{
  int unit = 0;

  if (s->text.len < ESCAPE_LEN || pos > s->text.len - ESCAPE_LEN
      || s->text.data[pos] != '\\' || s->text.data[pos + 1] != 'u')
    return -1;
  for (size_t i = pos + 2; i < pos + ESCAPE_LEN; i++)
    {
      int digit = g_ascii_xdigit_value (s->text.data[i]);

      if (digit < 0)
        return -1;
      unit = unit * 16 + digit;
    }
  return unit;
}

/* Moves the scanner behind an escape.  A half of a surrogate pair becomes
   U+FFFD, since json-glib refuses the whole text with it.  */
static void
limit_escape (struct scanner *s, char *text)
{
  int unit = get_escaped_unit (s, s->pos);
  int next = get_escaped_unit (s, s->pos + ESCAPE_LEN);

  if (unit >= 0xd800 && unit <= 0xdbff && next >= 0xdc00 && next <= 0xdfff)
    s->pos += 2 * ESCAPE_LEN;
  else
    {
      if (unit >= 0xd800 && unit <= 0xdfff)
        overwrite (text + s->pos + 2, STR_LIT ("fffd"));
      s->pos += 2;
    }
}

/* Moves the scanner behind a string, or what there is of it.  */
static void
limit_string (struct scanner *s, char *text)
{
  s->pos++;
  while (s->pos < s->text.len && peek (s) != '"')
    if (peek (s) == '\\')
      limit_escape (s, text);
    else
      s->pos++;
  s->pos = MIN (s->pos + 1, s->text.len);
}

/* Moves the scanner behind a number.  An integer that may not fit into 64 bits
   becomes null, since json-glib reads another number.  */
static void
limit_number (struct scanner *s, char *text)
{
  size_t start = s->pos;
  bool is_integer = true;

  for (; g_ascii_isalnum (peek (s)) || peek (s) == '.' || peek (s) == '+'
         || peek (s) == '-';
       s->pos++)
    is_integer = is_integer && g_ascii_isdigit (peek (s));
  if (!is_integer || s->pos - start <= INTEGER_DIGITS_MAX)
    return;
  if (start > 0 && text[start - 1] == '-')
    text[start - 1] = ' ';
  memset (text + start, ' ', s->pos - start);
  overwrite (text + start, STR_LIT ("null"));
}

/* Returns true for the bytes of JSON text outside of strings.  Others, such as
   those of a comment, could hide brackets from a scan.  */
static bool
is_json_byte (char c)
{
  return g_ascii_isalnum (c)
         || (c != '\0' && strchr (" \t\r\n{}[]:,+-.", c) != NULL);
}

/* Appends the text up to the scanner's position, from *start on, if it is not
   nested too deeply.  */
static void
append_scanned (const struct scanner *s, size_t *start, struct str_buf *out)
{
  if (s->depth <= JSON_CHECK_DEPTH_MAX)
    str_append (out, str_slice (s->text, *start, s->pos));
  *start = s->pos;
}

/* Appends the text with its limits applied.  Returns false if it cannot be
   JSON.  */
static bool
limit_text (struct scanner *s, char *text, struct str_buf *out)
{
  size_t start = 0;

  while (s->pos < s->text.len)
    {
      char c = peek (s);

      if (c == '"')
        {
          limit_string (s, text);
          continue;
        }
      if (g_ascii_isdigit (c))
        {
          limit_number (s, text);
          continue;
        }
      if (!is_json_byte (c))
        return false;
      if (c == '[' || c == '{')
        {
          append_scanned (s, &start, out);
          if (++s->depth == JSON_CHECK_DEPTH_MAX + 1)
            str_append (out, STR_LIT ("null"));
        }
      s->pos++;
      if (c == ']' || c == '}')
        {
          append_scanned (s, &start, out);
          if (s->depth-- == 0)
            return false;
        }
    }
  append_scanned (s, &start, out);
  return s->depth == 0;
}

/* Internal functions: positions */

/* Moves the scanner from the beginning of an object to the value of a member;
   returns false if there is no such member.  */
static bool
seek_member (struct scanner *s, struct str name)
{
  struct str found;

  if (!accept_char (s, '{'))
    return false;
  for (;;)
    {
      skip_space (s);
      if (!scan_string (s, &found))
        return false;
      skip_space (s);
      accept_char (s, ':');
      skip_space (s);
      if (str_equal (found, name))
        return true;
      if (!scan_value (s))
        return false;
      skip_space (s);
      if (!accept_char (s, ','))
        return false;
    }
}

/* Moves the scanner from the beginning of an array to the element with an
   index; returns false if there is no such element.  */
static bool
seek_item (struct scanner *s, uint64_t index)
{
  if (!accept_char (s, '['))
    return false;
  skip_space (s);
  for (uint64_t i = 0; i < index; i++)
    {
      if (!scan_value (s))
        return false;
      skip_space (s);
      if (!accept_char (s, ','))
        return false;
      skip_space (s);
    }
  return peek (s) != ']';
}

/* Removes the first step from a path: sets *name to a member name, or *name to
   an empty string and *index to an index in brackets.  Returns false at the
   end of the path.  */
static bool
next_path_step (struct str *path, struct str *name, uint64_t *index)
{
  size_t end = 0;

  if (path->len > 0 && path->data[0] == '[')
    {
      while (end < path->len && path->data[end] != ']')
        end++;
      *name = STR_EMPTY;
      if (!str_parse_u64 (str_slice (*path, 1, end), index))
        return false;
      *path = str_slice (*path, end + 1, path->len);
      return true;
    }
  if (path->len > 0 && path->data[0] == '.')
    *path = str_slice (*path, 1, path->len);
  while (end < path->len && path->data[end] != '.' && path->data[end] != '[')
    end++;
  *name = str_slice (*path, 0, end);
  *path = str_slice (*path, end, path->len);
  return name->len > 0;
}

/* Public functions */

bool
json_check_text (struct str text, struct json_check_position *position,
                 const char **message)
{
  struct scanner s = { .text = text };

  if (scan_text (&s))
    return true;
  *position = json_check_get_position (text, s.pos);
  *message = s.message;
  return false;
}

/**
 * json_check_parse - parses strict JSON
 * @text: UTF-8 text
 * @error: receives %ERR_BAD_REQUEST with line and column
 *
 * Return: the root node, or NULL.
 */
JsonNode *
json_check_parse (struct str text, GError **error)
{
  struct scanner s = { .text = text };
  struct json_check_position position;
  JsonParser *parser;
  JsonNode *root = NULL;

  if (!scan_text (&s))
    {
      position = json_check_get_position (text, s.pos);
      g_set_error (error, ERR_QUARK, ERR_BAD_REQUEST, "line %u, column %u: %s",
                   position.line, position.column, s.message);
      return NULL;
    }
  parser = json_parser_new_immutable ();
  if (json_parser_load_from_data (parser, text.data, (gssize)text.len, error))
    root = json_node_ref (json_parser_get_root (parser));
  g_object_unref (parser);
  return root;
}

/**
 * json_check_limit_text - makes JSON text of another program safe to parse
 * @text: text
 * @out: buffer to which the text is appended
 *
 * Return: false if brackets do not match or a byte outside of strings cannot
 * be one of JSON.
 */
bool
json_check_limit_text (struct str text, struct str_buf *out)
{
  char *copy = g_utf8_make_valid (text.data, (gssize)text.len);
  struct scanner s = { .text = str_from_cstr (copy) };
  bool ok = limit_text (&s, copy, out);

  g_free (copy);
  return ok;
}

struct json_check_position
json_check_find_position (struct str text, struct str path)
{
  struct scanner s = { .text = text };
  struct str name;
  uint64_t index = 0;
  size_t found;

  skip_space (&s);
  found = s.pos;
  while (next_path_step (&path, &name, &index))
    {
      if (name.len > 0 ? !seek_member (&s, name) : !seek_item (&s, index))
        break;
      found = s.pos;
    }
  return json_check_get_position (text, found);
}

struct json_check_position
json_check_get_position (struct str text, size_t offset)
{
  struct json_check_position position = { 1, 1 };

  for (size_t i = 0; i < offset && i < text.len; i++)
    if (text.data[i] == '\n')
      {
        position.line++;
        position.column = 1;
      }
    /* Continuation bytes of UTF-8 begin with the bits 10.  */
    else if (((unsigned char)text.data[i] & 0xc0) != 0x80)
      position.column++;
  return position;
}
