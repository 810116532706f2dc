/* inventory_import: import from an operators' asset register, as CSV or
   JSON.  */

#include "inventory_import.h"

#include "inventory_json.h"
#include "json_check.h"

#include <stdarg.h>
#include <string.h>

/* Constants */

#define COLUMNS_MAX 64u

static const char byte_order_mark[] = "\xef\xbb\xbf";

/* Types */

/* CSV text and the current position in it.  */
struct csv_reader
{
  struct str text;
  size_t pos;
  uint32_t line;
  uint32_t column;
};

struct cell
{
  struct str_buf text;
  uint32_t line;   /* of the first character */
  uint32_t column; /* of the first character */
};

struct record
{
  uint32_t cells_len;
  struct cell cells[COLUMNS_MAX];
};

/* Internal functions: problems */

static void add_problem (struct inventory_import *import, uint32_t line,
                         uint32_t column, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

static void
add_problem (struct inventory_import *import, uint32_t line, uint32_t column,
             const char *format, ...)
{
  va_list args;
  char *text;

  if (import->problems_len++ >= INVENTORY_IMPORT_PROBLEMS_MAX)
    return;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  str_append_format (&import->problems, "%.*s:%u:%u: %s\n",
                     STR_ARG (import->file), line, column, text);
  g_free (text);
}

static char *
quote (struct str s)
{
  struct str_buf text = { 0 };

  inventory_append_quoted (&text, s);
  return text.data;
}

/* Finds line and column of a field in the input, or those of the row if the
   field is not present.  */
static void
find_position (const struct inventory_import *import, enum inventory_kind kind,
               const struct inventory_import_position *op_position,
               uint32_t field, uint32_t *line, uint32_t *column)
{
  bool present = op_position->columns[field] != 0;
  struct json_check_position position;
  char *path;

  *line = op_position->line_or_item;
  *column = present ? op_position->columns[field] : 1;
  if (!import->json)
    return;
  path = g_strdup_printf (
      "[%u].%s", op_position->line_or_item - 1,
      present ? inventory_get_schema (kind)->fields[field].name : "");
  position = json_check_find_position (import->text, str_from_cstr (path));
  *line = position.line;
  *column = position.column;
  g_free (path);
}

static const struct change_op *
get_op (const struct inventory_import *import, guint op)
{
  return &g_array_index (import->change.ops, struct change_op, op);
}

static const struct inventory_import_position *
get_position (const struct inventory_import *import, guint op)
{
  return &g_array_index (import->positions, struct inventory_import_position,
                         op);
}

/* Internal functions: rows */

/* Returns the kind whose name is `text`, or INVENTORY_KINDS, which means no
   kind, if there is none or it cannot be imported.  Keys cannot, because the
   register would have to contain their secrets.  */
static enum inventory_kind
find_importable_kind (struct str text)
{
  enum inventory_kind kind = inventory_find_kind (text);

  return kind == INVENTORY_KEY ? INVENTORY_KINDS : kind;
}

static void
add_kind_problem (struct inventory_import *import, uint32_t line,
                  uint32_t column, struct str text)
{
  char *found = quote (text);

  add_problem (import, line, column,
               "kind: found %s, allowed: service, route, workspace, rule",
               found);
  g_free (found);
}

/* Returns true if the name is in the list of ignored columns.  */
static bool
is_ignored (struct str ignored, struct str name)
{
  while (ignored.len > 0)
    {
      const char *comma = memchr (ignored.data, ',', ignored.len);
      size_t end
          = comma != NULL ? (size_t)(comma - ignored.data) : ignored.len;

      if (str_equal (str_slice (ignored, 0, end), name))
        return true;
      ignored = str_slice (ignored, end + 1, ignored.len);
    }
  return false;
}

/* Returns true for "kind" and for a field of any kind that can be
   imported.  */
static bool
is_known_column (struct str name)
{
  if (str_equal (name, STR_LIT ("kind")))
    return true;
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    if (kind != INVENTORY_KEY && inventory_find_field (kind, name) != NULL)
      return true;
  return false;
}

/* Adds the row to the change, or a problem if an earlier row of the register
   has the same kind and name.  */
static void
add_row (struct inventory_import *import, enum inventory_kind kind,
         const union inventory_row *row, uint32_t field_mask,
         const struct inventory_import_position *position)
{
  char *key = g_strdup_printf ("%d/%.*s", kind, STR_ARG (row->name));
  gpointer earlier;
  uint32_t line, column, first_line, unused;

  if (!g_hash_table_lookup_extended (import->op_index, key, NULL, &earlier))
    {
      g_hash_table_insert (import->op_index, key,
                           GUINT_TO_POINTER (import->positions->len));
      g_array_append_val (import->positions, *position);
      change_put (&import->change, kind, row, field_mask);
      return;
    }
  find_position (import, kind,
                 get_position (import, GPOINTER_TO_UINT (earlier)), 0,
                 &first_line, &unused);
  find_position (import, kind, position, 0, &line, &column);
  add_problem (
      import, line, column, "%s \"%.*s\" is already defined in line %u",
      inventory_get_schema (kind)->singular, STR_ARG (row->name), first_line);
  g_free (key);
}

/* Adds a problem for each invalid value in the row of operation `op`.  */
static void
check_values (struct inventory_import *import, enum inventory_kind kind,
              guint op)
{
  const struct inventory_schema *s = inventory_get_schema (kind);
  const struct change_op *o = get_op (import, op);

  for (uint32_t i = 0; i < s->fields_len; i++)
    {
      struct str_buf text = { 0 };
      uint32_t line, column;

      if ((o->field_mask & 1u << i) == 0
          || inventory_check_field (kind, &s->fields[i], &o->row, &text))
        continue;
      find_position (import, kind, get_position (import, op), i, &line,
                     &column);
      add_problem (import, line, column, "%.*s", (int)text.len - 1, text.data);
      str_reset (&text);
    }
}

/* Internal functions: CSV */

/* Returns the next byte, or -1 at the end of the text.  */
static int
peek (const struct csv_reader *r)
{
  return r->pos < r->text.len ? (unsigned char)r->text.data[r->pos] : -1;
}

static void
advance (struct csv_reader *r)
{
  unsigned char c = (unsigned char)r->text.data[r->pos++];

  if (c == '\n')
    {
      r->line++;
      r->column = 1;
    }
  else if ((c & 0xc0) != 0x80)
    r->column++;
}

static bool
at_line_end (const struct csv_reader *r)
{
  int c = peek (r);

  if (c == '\r')
    return r->pos + 1 < r->text.len && r->text.data[r->pos + 1] == '\n';
  return c == '\n';
}

static bool
read_quoted (struct inventory_import *import, struct csv_reader *r,
             struct cell *cell)
{
  advance (r);
  for (;;)
    {
      int c = peek (r);

      if (c < 0)
        {
          add_problem (import, cell->line, cell->column,
                       "the quoted cell has no closing quote");
          return false;
        }
      advance (r);
      if (c == '"')
        {
          if (peek (r) != '"')
            break;
          advance (r);
        }
      str_append_char (&cell->text, (char)c);
    }
  if (peek (r) < 0 || peek (r) == ',' || at_line_end (r))
    return true;
  add_problem (import, r->line, r->column, "text after the closing quote");
  return false;
}

static bool
read_cell (struct inventory_import *import, struct csv_reader *r,
           struct cell *cell)
{
  *cell = (struct cell){ .line = r->line, .column = r->column };
  if (peek (r) == '"')
    return read_quoted (import, r, cell);
  while (peek (r) >= 0 && peek (r) != ',' && !at_line_end (r))
    {
      if (peek (r) == '"')
        {
          add_problem (import, r->line, r->column,
                       "quote inside an unquoted cell");
          return false;
        }
      str_append_char (&cell->text, (char)peek (r));
      advance (r);
    }
  return true;
}

static void
reset_record (struct record *record)
{
  for (uint32_t i = 0; i < record->cells_len; i++)
    str_reset (&record->cells[i].text);
  record->cells_len = 0;
}

/* Reads one record; returns false after a syntax error, from which the reader
   cannot recover.  */
static bool
read_record (struct inventory_import *import, struct csv_reader *r,
             struct record *record)
{
  reset_record (record);
  for (;;)
    {
      if (record->cells_len == COLUMNS_MAX)
        {
          add_problem (import, r->line, r->column, "more than %u columns",
                       COLUMNS_MAX);
          return false;
        }
      if (!read_cell (import, r, &record->cells[record->cells_len++]))
        return false;
      if (peek (r) != ',')
        break;
      advance (r);
    }
  while (peek (r) >= 0 && peek (r) != '\n')
    advance (r);
  if (peek (r) == '\n')
    advance (r);
  return true;
}

static const struct cell *
find_cell (const struct record *header, const struct record *record,
           const char *column)
{
  for (uint32_t i = 0; i < header->cells_len; i++)
    if (str_equal (str_view (&header->cells[i].text), str_from_cstr (column)))
      return &record->cells[i];
  return NULL;
}

static void
check_header (struct inventory_import *import, const struct record *header,
              struct str ignored)
{
  static const char *const needed[] = { "kind", "name" };

  for (uint32_t i = 0; i < header->cells_len; i++)
    {
      const struct cell *cell = &header->cells[i];
      struct str name = str_view (&cell->text);
      char *found = quote (name);

      if (find_cell (header, header,
                     cell->text.data == NULL ? "" : cell->text.data)
          != cell)
        add_problem (import, cell->line, cell->column,
                     "column %s occurs twice", found);
      else if (!is_known_column (name) && !is_ignored (ignored, name))
        add_problem (import, cell->line, cell->column,
                     "unknown column %s; list it with --ignore to skip it",
                     found);
      g_free (found);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (needed); i++)
    if (find_cell (header, header, needed[i]) == NULL)
      add_problem (import, 1, 1, "there is no column \"%s\"", needed[i]);
}

static bool
parse_cell (struct inventory_import *import, enum inventory_kind kind,
            struct str column, const struct cell *cell,
            union inventory_row *row, uint32_t *field_mask,
            struct inventory_import_position *position)
{
  const struct inventory_schema *s = inventory_get_schema (kind);
  const struct inventory_field *f = inventory_find_field (kind, column);
  struct str_buf allowed = { 0 };
  uint32_t index;
  char *found;

  if (f == NULL)
    {
      add_problem (import, cell->line, cell->column,
                   "a %s has no field \"%.*s\"", s->singular,
                   STR_ARG (column));
      return false;
    }
  index = (uint32_t)(f - s->fields);
  position->columns[index] = cell->column;
  *field_mask |= 1u << index;
  if (inventory_parse_value (f, row, str_view (&cell->text)))
    return true;
  inventory_append_allowed_values (&allowed, f);
  found = quote (str_view (&cell->text));
  add_problem (import, cell->line, cell->column, "%s: found %s, allowed: %s",
               f->name, found, allowed.data);
  g_free (found);
  str_reset (&allowed);
  return false;
}

/* Parses the cells of a record into a row and sets bit i of *field_mask for
   each field i that has a value; skips empty cells and ignored columns.  */
static bool
parse_cells (struct inventory_import *import, const struct record *header,
             const struct record *record, struct str ignored,
             enum inventory_kind kind, union inventory_row *row,
             uint32_t *field_mask, struct inventory_import_position *position)
{
  bool valid = true;

  for (uint32_t i = 0; i < header->cells_len; i++)
    {
      struct str column = str_view (&header->cells[i].text);
      const struct cell *cell = &record->cells[i];

      if (cell->text.len == 0 || str_equal (column, STR_LIT ("kind"))
          || is_ignored (ignored, column))
        continue;
      valid
          = parse_cell (import, kind, column, cell, row, field_mask, position)
            && valid;
    }
  return valid;
}

static void
load_record (struct inventory_import *import, const struct record *header,
             const struct record *record, struct str ignored)
{
  const struct cell *kind_cell = find_cell (header, record, "kind");
  const struct cell *name_cell = find_cell (header, record, "name");
  struct inventory_import_position position
      = { .line_or_item = record->cells[0].line };
  enum inventory_kind kind
      = find_importable_kind (str_view (&kind_cell->text));
  union inventory_row row;
  uint32_t field_mask = 0;
  guint ops = import->change.ops->len;

  if (kind == INVENTORY_KINDS)
    {
      add_kind_problem (import, kind_cell->line, kind_cell->column,
                        str_view (&kind_cell->text));
      return;
    }
  if (name_cell->text.len == 0)
    {
      add_problem (import, name_cell->line, name_cell->column,
                   "name is empty");
      return;
    }
  inventory_init_row (kind, &row);
  if (parse_cells (import, header, record, ignored, kind, &row, &field_mask,
                   &position))
    add_row (import, kind, &row, field_mask, &position);
  inventory_close_row (kind, &row);
  if (import->change.ops->len > ops)
    check_values (import, kind, ops);
}

static void
load_records (struct inventory_import *import, struct csv_reader *r,
              const struct record *header, struct str ignored)
{
  struct record record = { 0 };

  while (peek (r) >= 0)
    {
      if (!read_record (import, r, &record))
        break;
      if (record.cells_len == 1 && record.cells[0].text.len == 0)
        continue;
      if (record.cells_len != header->cells_len)
        add_problem (import, record.cells[0].line, 1,
                     "%u cells, but the first line has %u columns",
                     record.cells_len, header->cells_len);
      else
        load_record (import, header, &record, ignored);
    }
  reset_record (&record);
}

/* Internal functions: JSON */

/* Adds an error of inventory_json as a problem at the position of a member
   path such as "[3].name"; frees the error.  */
static void
add_json_error (struct inventory_import *import, const char *path,
                GError *error)
{
  struct json_check_position position
      = json_check_find_position (import->text, str_from_cstr (path));

  add_problem (import, position.line, position.column, "%s", error->message);
  g_error_free (error);
}

/* Copies an object without the members that inventory_json would reject:
   "kind" and the ignored ones.  */
static JsonNode *
strip_object (JsonObject *object, struct str ignored)
{
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  JsonObject *copy = json_object_new ();
  GList *members = json_object_get_members (object);

  for (GList *m = members; m != NULL; m = m->next)
    if (strcmp (m->data, "kind") != 0
        && !is_ignored (ignored, str_from_cstr (m->data)))
      json_object_set_member (
          copy, m->data,
          json_node_copy (json_object_get_member (object, m->data)));
  g_list_free (members);
  json_node_take_object (node, copy);
  return node;
}

static void
load_object (struct inventory_import *import, JsonObject *object,
             const char *path, uint32_t index, enum inventory_kind kind,
             struct str ignored)
{
  struct inventory_import_position position = { .line_or_item = index + 1 };
  JsonNode *stripped = strip_object (object, ignored);
  guint ops = import->change.ops->len;
  GError *error = NULL;
  union inventory_row row;
  uint32_t field_mask;

  if (!inventory_json_load_partial_row (kind, stripped, str_from_cstr (path),
                                        &row, &field_mask, &error))
    {
      char *error_path
          = g_strndup (error->message, strcspn (error->message, ":"));

      add_json_error (import, error_path, error);
      g_free (error_path);
      json_node_unref (stripped);
      return;
    }
  json_node_unref (stripped);
  for (uint32_t i = 0; i < INVENTORY_IMPORT_FIELDS_MAX; i++)
    position.columns[i] = field_mask >> i & 1;
  add_row (import, kind, &row, field_mask, &position);
  inventory_close_row (kind, &row);
  if (import->change.ops->len > ops)
    check_values (import, kind, ops);
}

/* Sets *text to the member "kind"; returns false if the node is not an object
   or has no such string member.  */
static bool
get_kind_text (JsonNode *node, struct str *text)
{
  JsonNode *member;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return false;
  member = json_object_get_member (json_node_get_object (node), "kind");
  if (member == NULL || json_node_get_value_type (member) != G_TYPE_STRING)
    return false;
  *text = str_from_cstr (json_node_get_string (member));
  return true;
}

/* Finds positions only when there is a problem, because each search scans the
   text from its beginning.  */
static void
load_item (struct inventory_import *import, JsonNode *node, uint32_t index,
           struct str ignored)
{
  char *path = g_strdup_printf ("[%u]", index);
  struct json_check_position position;
  struct str text = STR_EMPTY;
  bool has_kind = get_kind_text (node, &text);
  enum inventory_kind kind = find_importable_kind (text);

  if (has_kind && kind != INVENTORY_KINDS)
    load_object (import, json_node_get_object (node), path, index, kind,
                 ignored);
  else
    {
      position = json_check_find_position (import->text, str_from_cstr (path));
      if (has_kind)
        add_kind_problem (import, position.line, position.column, text);
      else
        add_problem (import, position.line, position.column,
                     "expected an object with a member \"kind\"");
    }
  g_free (path);
}

/* Internal functions: checks against the inventory */

static bool
row_exists (const struct inventory_import *import, const struct inventory *inv,
            enum inventory_kind kind, struct str name)
{
  char *key = g_strdup_printf ("%d/%.*s", kind, STR_ARG (name));
  bool known = g_hash_table_contains (import->op_index, key)
               || inventory_find (inv, kind, name) != NULL;

  g_free (key);
  return known;
}

/* Adds a problem if a field of operation `op` names a row that is in neither
   the inventory nor the register.  */
static void
check_reference (struct inventory_import *import, const struct inventory *inv,
                 guint op, uint32_t field, enum inventory_kind kind,
                 struct str name)
{
  uint32_t line, column;
  char *found;

  if (name.len == 0 || row_exists (import, inv, kind, name))
    return;
  found = quote (name);
  find_position (import, get_op (import, op)->kind, get_position (import, op),
                 field, &line, &column);
  add_problem (import, line, column, "there is no %s %s",
               inventory_get_schema (kind)->singular, found);
  g_free (found);
}

/* Adds a problem if a field of operation `op` lacks a required value or names
   a row that does not exist.  */
static void
check_field (struct inventory_import *import, const struct inventory *inv,
             guint op, uint32_t field)
{
  const struct change_op *o = get_op (import, op);
  const struct inventory_schema *s = inventory_get_schema (o->kind);
  const struct inventory_field *f = &s->fields[field];
  const void *value = (const char *)&o->row + f->offset;
  const struct inventory_names *names = value;
  uint32_t line, column;

  if ((o->field_mask & 1u << field) == 0)
    {
      if (!f->required || inventory_find (inv, o->kind, o->row.name) != NULL)
        return;
      find_position (import, o->kind, get_position (import, op), field, &line,
                     &column);
      add_problem (import, line, column, "%s \"%.*s\" is new and has no %s",
                   s->singular, STR_ARG (o->row.name), f->name);
      return;
    }
  if (f->referenced_kind == INVENTORY_KINDS)
    return;
  if (f->type == INVENTORY_TYPE_STR)
    check_reference (import, inv, op, field, f->referenced_kind,
                     *(const struct str *)value);
  else
    for (uint32_t i = 0; i < names->len; i++)
      check_reference (import, inv, op, field, f->referenced_kind,
                       names->items[i]);
}

/* Internal functions: life cycle */

static void
init_import (struct inventory_import *import, struct str file, struct str text,
             bool json)
{
  *import = (struct inventory_import){ .file = str_copy (file),
                                       .text = text,
                                       .json = json };
  change_init (&import->change);
  import->positions
      = g_array_new (FALSE, TRUE, sizeof (struct inventory_import_position));
  import->op_index
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Public functions */

/**
 * inventory_import_load_csv - reads a register in CSV (RFC 4180, UTF-8)
 * @import: uninitialized import
 * @file: file name for problem lines
 * @text: content of the file, which must outlive @import
 * @ignored: columns to skip, separated by commas
 *
 * Return: false if @import->problems is not empty.
 */
bool
inventory_import_load_csv (struct inventory_import *import, struct str file,
                           struct str text, struct str ignored)
{
  struct csv_reader r = { .text = text, .line = 1, .column = 1 };
  struct record header = { 0 };
  const char *end;

  init_import (import, file, text, false);
  if (!g_utf8_validate_len (text.data, text.len, &end))
    {
      struct json_check_position position
          = json_check_get_position (text, (size_t)(end - text.data));

      add_problem (import, position.line, position.column, "not UTF-8");
      return false;
    }
  if (str_has_prefix (text, STR_LIT (byte_order_mark)))
    r.pos = sizeof byte_order_mark - 1;
  if (read_record (import, &r, &header))
    {
      check_header (import, &header, ignored);
      if (import->problems_len == 0)
        load_records (import, &r, &header, ignored);
    }
  reset_record (&header);
  return import->problems_len == 0;
}

/**
 * inventory_import_load_json - reads a register in JSON
 * @import: uninitialized import
 * @file: file name for problem lines
 * @text: content of the file, which must outlive @import
 * @ignored: members to skip, separated by commas
 *
 * Return: false if @import->problems is not empty.
 */
bool
inventory_import_load_json (struct inventory_import *import, struct str file,
                            struct str text, struct str ignored)
{
  struct json_check_position position;
  const char *message;
  JsonNode *root;

  init_import (import, file, text, true);
  if (!json_check_text (text, &position, &message))
    {
      add_problem (import, position.line, position.column, "%s", message);
      return false;
    }
  root = json_check_parse (text, NULL);
  if (root == NULL || !JSON_NODE_HOLDS_ARRAY (root))
    add_problem (import, 1, 1,
                 "an asset register must be a JSON array of objects");
  else
    for (guint i = 0; i < json_array_get_length (json_node_get_array (root));
         i++)
      load_item (import,
                 json_array_get_element (json_node_get_array (root), i), i,
                 ignored);
  if (root != NULL)
    json_node_unref (root);
  return import->problems_len == 0;
}

void
inventory_import_unload (struct inventory_import *import)
{
  str_free (&import->file);
  change_close (&import->change);
  g_array_unref (import->positions);
  g_hash_table_unref (import->op_index);
  str_reset (&import->problems);
}

/**
 * inventory_import_check - checks a register against an inventory
 * @import: register that was read without problems
 * @inv: inventory that the register will be imported into
 *
 * Return: false if problems were added.
 */
bool
inventory_import_check (struct inventory_import *import,
                        const struct inventory *inv)
{
  for (guint i = 0; i < import->change.ops->len; i++)
    {
      const struct change_op *o = get_op (import, i);

      for (uint32_t f = 0; f < inventory_get_schema (o->kind)->fields_len; f++)
        check_field (import, inv, i, f);
    }
  return import->problems_len == 0;
}
