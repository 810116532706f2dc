/* inventory_value: defaults, copies, comparison and text form of the fields
   of the inventory's rows.  */

#include "inventory_value.h"

#include <string.h>

/* Constants */

#define QUOTED_MAX_BYTES 80u

static const char *const method_names[INVENTORY_METHODS]
    = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };

static const char *const idempotency_names[]
    = { [INVENTORY_IDEMPOTENCY_NONE] = "none",
        [INVENTORY_IDEMPOTENCY_OPTIONAL] = "optional",
        [INVENTORY_IDEMPOTENCY_REQUIRED] = "required" };

/* Internal functions */

static void
close_names (struct inventory_names *names)
{
  for (uint32_t i = 0; i < names->len; i++)
    str_free (&names->items[i]);
  g_free (names->items);
  *names = (struct inventory_names){ 0 };
}

static void
close_value (const struct inventory_field *f, void *row)
{
  if (f->type == INVENTORY_TYPE_STR)
    str_free (inventory_str_at (f, row));
  else if (f->type == INVENTORY_TYPE_NAMES)
    close_names (inventory_value_at (f, row));
}

static void
copy_value (const struct inventory_field *f, void *to, const void *from)
{
  const struct inventory_names *names;

  switch (f->type)
    {
    case INVENTORY_TYPE_STR:
      *inventory_str_at (f, to) = str_copy (*inventory_str_at (f, from));
      return;
    case INVENTORY_TYPE_BOOL:
      *(bool *)inventory_value_at (f, to)
          = *(const bool *)inventory_value_at (f, from);
      return;
    case INVENTORY_TYPE_NAMES:
      names = inventory_value_at (f, from);
      *(struct inventory_names *)inventory_value_at (f, to)
          = (struct inventory_names){ 0 };
      for (uint32_t i = 0; i < names->len; i++)
        inventory_add_name (inventory_value_at (f, to), names->items[i]);
      return;
    default:
      *inventory_uint_at (f, to) = *inventory_uint_at (f, from);
    }
}

static bool
equal_names (const struct inventory_names *a, const struct inventory_names *b)
{
  if (a->len != b->len)
    return false;
  for (uint32_t i = 0; i < a->len; i++)
    if (!str_equal (a->items[i], b->items[i]))
      return false;
  return true;
}

static void
append_word (struct str_buf *out, size_t start, struct str word)
{
  if (out->len > start)
    str_append_char (out, ' ');
  str_append (out, word);
}

static bool
parse_uint (struct str text, uint32_t *value)
{
  uint64_t v;

  if (!str_parse_u64 (text, &v) || v > UINT32_MAX)
    return false;
  *value = (uint32_t)v;
  return true;
}

static bool
parse_bool (struct str text, bool *value)
{
  *value = str_equal (text, STR_LIT ("true"));
  return *value || str_equal (text, STR_LIT ("false"));
}

/* Removes the first word from a list separated by spaces and sets *word to
   it; returns false at the end of the list.  */
static bool
next_word (struct str *text, struct str *word)
{
  size_t from = 0;
  size_t to;

  while (from < text->len && text->data[from] == ' ')
    from++;
  to = from;
  while (to < text->len && text->data[to] != ' ')
    to++;
  *word = str_slice (*text, from, to);
  *text = str_slice (*text, to, text->len);
  return word->len > 0;
}

static bool
parse_methods (struct str text, uint32_t *methods)
{
  struct str word;
  uint32_t mask = 0;

  while (next_word (&text, &word))
    {
      uint32_t method = inventory_find_method (word);

      if (method == 0)
        return false;
      mask |= method;
    }
  *methods = mask;
  return true;
}

static void
parse_names (struct str text, struct inventory_names *names)
{
  struct inventory_names parsed = { 0 };
  struct str word;

  while (next_word (&text, &word))
    inventory_add_name (&parsed, word);
  close_names (names);
  *names = parsed;
}

/* Public functions */

/**
 * inventory_init_row - fills a row with the default values
 * @kind: kind of row
 * @row: uninitialized row; strings are set to empty, also required ones
 */
void
inventory_init_row (enum inventory_kind kind, union inventory_row *row)
{
  const struct inventory_schema *s = inventory_get_schema (kind);

  *row = (union inventory_row){ 0 };
  for (uint32_t i = 0; i < s->fields_len; i++)
    {
      const struct inventory_field *f = &s->fields[i];

      if (f->type == INVENTORY_TYPE_STR)
        *inventory_str_at (f, row) = STR_EMPTY;
      else if (f->type != INVENTORY_TYPE_BOOL
               && f->type != INVENTORY_TYPE_NAMES)
        *inventory_uint_at (f, row) = f->default_value;
    }
}

void
inventory_close_row (enum inventory_kind kind, void *row)
{
  const struct inventory_schema *s = inventory_get_schema (kind);

  for (uint32_t i = 0; i < s->fields_len; i++)
    close_value (&s->fields[i], row);
}

void
inventory_copy_row (enum inventory_kind kind, void *to, const void *from)
{
  const struct inventory_schema *s = inventory_get_schema (kind);

  memset (to, 0, s->row_size);
  for (uint32_t i = 0; i < s->fields_len; i++)
    copy_value (&s->fields[i], to, from);
}

bool
inventory_equal_field (const struct inventory_field *field, const void *a,
                       const void *b)
{
  switch (field->type)
    {
    case INVENTORY_TYPE_STR:
      return str_equal (*inventory_str_at (field, a),
                        *inventory_str_at (field, b));
    case INVENTORY_TYPE_BOOL:
      return *(const bool *)inventory_value_at (field, a)
             == *(const bool *)inventory_value_at (field, b);
    case INVENTORY_TYPE_NAMES:
      return equal_names (inventory_value_at (field, a),
                          inventory_value_at (field, b));
    default:
      return *inventory_uint_at (field, a) == *inventory_uint_at (field, b);
    }
}

bool
inventory_equal_row (enum inventory_kind kind, const void *a, const void *b)
{
  const struct inventory_schema *s = inventory_get_schema (kind);

  for (uint32_t i = 0; i < s->fields_len; i++)
    if (!inventory_equal_field (&s->fields[i], a, b))
      return false;
  return true;
}

void
inventory_set_field (const struct inventory_field *field, void *to,
                     const void *from)
{
  if (to == from)
    return;
  close_value (field, to);
  copy_value (field, to, from);
}

/**
 * inventory_append_value - appends the value of a field as text
 * @out: buffer
 * @field: field
 * @row: row that holds the value
 *
 * Names and methods in a list are separated by spaces.
 */
void
inventory_append_value (struct str_buf *out,
                        const struct inventory_field *field, const void *row)
{
  const struct inventory_names *names = inventory_value_at (field, row);
  size_t start = out->len;

  switch (field->type)
    {
    case INVENTORY_TYPE_STR:
      str_append (out, *inventory_str_at (field, row));
      return;
    case INVENTORY_TYPE_BOOL:
      str_append (out, *(const bool *)inventory_value_at (field, row)
                           ? STR_LIT ("true")
                           : STR_LIT ("false"));
      return;
    case INVENTORY_TYPE_UINT:
      str_append_format (out, "%u", *inventory_uint_at (field, row));
      return;
    case INVENTORY_TYPE_IDEMPOTENCY:
      str_append (out, str_from_cstr (inventory_get_idempotency_name (
                           *inventory_uint_at (field, row))));
      return;
    case INVENTORY_TYPE_METHODS:
    case INVENTORY_TYPE_METHOD:
      for (uint32_t i = 0; i < INVENTORY_METHODS; i++)
        if ((*inventory_uint_at (field, row) & 1u << i) != 0)
          append_word (out, start, str_from_cstr (method_names[i]));
      return;
    case INVENTORY_TYPE_NAMES:
      for (uint32_t i = 0; i < names->len; i++)
        append_word (out, start, names->items[i]);
      return;
    }
}

/**
 * inventory_parse_value - sets a field from text
 * @field: field
 * @row: row that owns its values
 * @text: value as inventory_append_value() writes it
 *
 * Return: false if the text is not a value of the field's type.  Ranges are
 * checked by inventory_check_row().
 */
bool
inventory_parse_value (const struct inventory_field *field, void *row,
                       struct str text)
{
  switch (field->type)
    {
    case INVENTORY_TYPE_STR:
      str_free (inventory_str_at (field, row));
      *inventory_str_at (field, row) = str_copy (text);
      return true;
    case INVENTORY_TYPE_BOOL:
      return parse_bool (text, inventory_value_at (field, row));
    case INVENTORY_TYPE_UINT:
      return parse_uint (text, inventory_uint_at (field, row));
    case INVENTORY_TYPE_IDEMPOTENCY:
      return inventory_find_idempotency (text, inventory_uint_at (field, row));
    case INVENTORY_TYPE_METHODS:
      return parse_methods (text, inventory_uint_at (field, row));
    case INVENTORY_TYPE_METHOD:
      *inventory_uint_at (field, row) = inventory_find_method (text);
      return text.len == 0 || *inventory_uint_at (field, row) != 0;
    case INVENTORY_TYPE_NAMES:
      parse_names (text, inventory_value_at (field, row));
      return true;
    }
  return false;
}

void
inventory_append_quoted (struct str_buf *out, struct str value)
{
  char *text = str_dup_cstr (str_slice (value, 0, QUOTED_MAX_BYTES));
  char *escaped = g_strescape (text, NULL);

  str_append_format (out, "\"%s%s\"", escaped,
                     value.len > QUOTED_MAX_BYTES ? "..." : "");
  g_free (escaped);
  g_free (text);
}

/**
 * inventory_add_name - adds a name to a sorted list without duplicates
 * @names: list that owns its names
 * @name: name; it is copied
 */
void
inventory_add_name (struct inventory_names *names, struct str name)
{
  uint32_t at = names->len;

  while (at > 0 && str_compare (names->items[at - 1], name) > 0)
    at--;
  if (at > 0 && str_equal (names->items[at - 1], name))
    return;
  names->items = g_renew (struct str, names->items, names->len + 1);
  memmove (names->items + at + 1, names->items + at,
           (names->len - at) * sizeof *names->items);
  names->items[at] = str_copy (name);
  names->len++;
}

uint32_t
inventory_find_method (struct str name)
{
  for (uint32_t i = 0; i < INVENTORY_METHODS; i++)
    if (str_equal (name, str_from_cstr (method_names[i])))
      return 1u << i;
  return 0;
}

const char *
inventory_get_method_name (uint32_t method)
{
  for (uint32_t i = 0; i < INVENTORY_METHODS; i++)
    if (method == 1u << i)
      return method_names[i];
  return "";
}

bool
inventory_find_idempotency (struct str name, uint32_t *value)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (idempotency_names); i++)
    if (str_equal (name, str_from_cstr (idempotency_names[i])))
      {
        *value = i;
        return true;
      }
  return false;
}

const char *
inventory_get_idempotency_name (uint32_t value)
{
  return value < G_N_ELEMENTS (idempotency_names) ? idempotency_names[value]
                                                  : "";
}
