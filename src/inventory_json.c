/* inventory_json: the inventory as JSON.  */

#include "inventory_json.h"

#include "err.h"
#include "json_check.h"

#include <string.h>

/* Internal functions: encoding */

static JsonArray *
split_words (struct str text)
{
  JsonArray *array = json_array_new ();
  char *copy = str_dup_cstr (text);
  char **words = g_strsplit (copy, " ", -1);

  for (char **w = words; *w != NULL && text.len > 0; w++)
    json_array_add_string_element (array, *w);
  g_strfreev (words);
  g_free (copy);
  return array;
}

static void
set_member (JsonObject *object, const struct inventory_field *f,
            const void *row)
{
  struct str_buf text = { 0 };

  inventory_append_value (&text, f, row);
  switch (f->type)
    {
    case INVENTORY_TYPE_BOOL:
      json_object_set_boolean_member (
          object, f->name, str_equal (str_view (&text), STR_LIT ("true")));
      break;
    case INVENTORY_TYPE_UINT:
      json_object_set_int_member (
          object, f->name, *(const uint32_t *)((const char *)row + f->offset));
      break;
    case INVENTORY_TYPE_METHODS:
    case INVENTORY_TYPE_NAMES:
      json_object_set_array_member (object, f->name,
                                    split_words (str_view (&text)));
      break;
    default:
      json_object_set_string_member (object, f->name,
                                     text.data == NULL ? "" : text.data);
    }
  str_reset (&text);
}

/* Internal functions: decoding */

static void
set_field_error (GError **error, struct str path,
                 const struct inventory_field *f, JsonNode *found)
{
  struct str_buf text = { 0 };
  struct str_buf allowed = { 0 };

  inventory_json_append_node (&text, found, false);
  inventory_append_allowed_values (&allowed, f);
  g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
               "%.*s%s%s: found %.80s, allowed: %s", STR_ARG (path),
               path.len > 0 ? "." : "", f->name, text.data, allowed.data);
  str_reset (&text);
  str_reset (&allowed);
}

static const char *
get_string (JsonNode *node)
{
  if (json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

/* Joins the strings of an array with spaces; returns false if a string is
   empty or contains a space, because it would not be read back as one
   value.  */
static bool
join_words (JsonNode *node, struct str_buf *out)
{
  JsonArray *array;

  if (!JSON_NODE_HOLDS_ARRAY (node))
    return false;
  array = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      const char *word = get_string (json_array_get_element (array, i));

      if (word == NULL || *word == '\0' || strchr (word, ' ') != NULL)
        return false;
      if (i > 0)
        str_append_char (out, ' ');
      str_append (out, str_from_cstr (word));
    }
  return true;
}

/* Appends a JSON value in the text form that inventory_parse_value() reads;
   returns false if the node has the wrong type for the field.  */
static bool
append_value_text (const struct inventory_field *f, JsonNode *node,
                   struct str_buf *out)
{
  switch (f->type)
    {
    case INVENTORY_TYPE_BOOL:
      if (json_node_get_value_type (node) != G_TYPE_BOOLEAN)
        return false;
      str_append (out, json_node_get_boolean (node) ? STR_LIT ("true")
                                                    : STR_LIT ("false"));
      return true;
    case INVENTORY_TYPE_UINT:
      if (json_node_get_value_type (node) != G_TYPE_INT64
          || json_node_get_int (node) < 0)
        return false;
      str_append_format (out, "%" G_GINT64_FORMAT, json_node_get_int (node));
      return true;
    case INVENTORY_TYPE_METHODS:
    case INVENTORY_TYPE_NAMES:
      return join_words (node, out);
    default:
      if (get_string (node) == NULL)
        return false;
      str_append (out, str_from_cstr (get_string (node)));
      return true;
    }
}

static bool
load_member (const struct inventory_field *f, JsonNode *node, struct str path,
             union inventory_row *row, GError **error)
{
  struct str_buf text = { 0 };
  bool valid = append_value_text (f, node, &text)
               && inventory_parse_value (f, row, str_view (&text));

  str_reset (&text);
  if (!valid)
    set_field_error (error, path, f, node);
  return valid;
}

static bool
check_members (enum inventory_kind kind, JsonObject *object, struct str path,
               GError **error)
{
  GList *members = json_object_get_members (object);
  bool valid = true;

  for (GList *m = members; m != NULL && valid; m = m->next)
    {
      const char *name = m->data;

      if (inventory_find_field (kind, str_from_cstr (name)) != NULL)
        continue;
      g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
                   "%.*s.%s: unknown member of a %s", STR_ARG (path), name,
                   inventory_get_schema (kind)->singular);
      valid = false;
    }
  g_list_free (members);
  return valid;
}

static bool
load_members (enum inventory_kind kind, JsonObject *object, struct str path,
              union inventory_row *row, uint32_t *field_mask, GError **error)
{
  const struct inventory_schema *s = inventory_get_schema (kind);

  for (uint32_t i = 0; i < s->fields_len; i++)
    {
      const struct inventory_field *f = &s->fields[i];
      JsonNode *node = json_object_get_member (object, f->name);

      if (node == NULL && f->required && (field_mask == NULL || i == 0))
        {
          g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
                       "%.*s: member \"%s\" is missing", STR_ARG (path),
                       f->name);
          return false;
        }
      if (node != NULL && !load_member (f, node, path, row, error))
        return false;
      if (node != NULL && field_mask != NULL)
        *field_mask |= 1u << i;
    }
  return true;
}

/* Sets bit i of *field_mask if the member of field i is present; only the name
   is then required.  If field_mask is NULL, all required members must be
   present.  */
static bool
load_object (enum inventory_kind kind, JsonNode *node, struct str path,
             union inventory_row *row, uint32_t *field_mask, GError **error)
{
  JsonObject *object;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    {
      g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
                   "%.*s: expected an object", STR_ARG (path));
      return false;
    }
  object = json_node_get_object (node);
  if (!check_members (kind, object, path, error))
    return false;
  inventory_init_row (kind, row);
  if (load_members (kind, object, path, row, field_mask, error))
    return true;
  inventory_close_row (kind, row);
  return false;
}

static bool
load_rows (struct inventory *inv, enum inventory_kind kind, JsonNode *node,
           GError **error)
{
  const struct inventory_schema *s = inventory_get_schema (kind);
  JsonArray *array;

  if (!JSON_NODE_HOLDS_ARRAY (node))
    {
      g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
                   "%s: expected an array", s->plural);
      return false;
    }
  array = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      char *path = g_strdup_printf ("%s[%u]", s->plural, i);
      union inventory_row row;
      bool valid
          = inventory_json_load_row (kind, json_array_get_element (array, i),
                                     str_from_cstr (path), &row, error);

      if (valid && inventory_find (inv, kind, row.name) != NULL)
        {
          g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
                       "%s: there are two %s named \"%.*s\"", path, s->plural,
                       STR_ARG (row.name));
          inventory_close_row (kind, &row);
          valid = false;
        }
      g_free (path);
      if (!valid)
        return false;
      inventory_put (inv, kind, &row);
      inventory_close_row (kind, &row);
    }
  return true;
}

static bool
load_root_member (struct inventory *inv, const char *name, JsonNode *node,
                  GError **error)
{
  enum inventory_kind kind = inventory_find_kind (str_from_cstr (name));

  if (kind != INVENTORY_KINDS
      && strcmp (name, inventory_get_schema (kind)->plural) == 0)
    return load_rows (inv, kind, node, error);
  if (strcmp (name, "revision") != 0)
    {
      g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
                   "%s: unknown member of an inventory", name);
      return false;
    }
  if (json_node_get_value_type (node) != G_TYPE_INT64
      || json_node_get_int (node) < 0)
    {
      g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
                   "revision: expected a whole number >= 0");
      return false;
    }
  inv->revision = (uint64_t)json_node_get_int (node);
  return true;
}

static bool
load_root (struct inventory *inv, JsonNode *root, GError **error)
{
  GList *members;
  JsonObject *object;
  bool valid = true;

  if (!JSON_NODE_HOLDS_OBJECT (root))
    {
      g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID,
                   "an inventory must be a JSON object");
      return false;
    }
  object = json_node_get_object (root);
  members = json_object_get_members (object);
  for (GList *m = members; m != NULL && valid; m = m->next)
    valid = load_root_member (inv, m->data,
                              json_object_get_member (object, m->data), error);
  g_list_free (members);
  return valid;
}

/* Public functions */

/**
 * inventory_json_load - decodes an inventory
 * @inv: uninitialized inventory
 * @text: JSON text
 * @error: receives the first error with line and column
 *
 * Return: false on failure; @inv then owns nothing.
 */
bool
inventory_json_load (struct inventory *inv, struct str text, GError **error)
{
  JsonNode *root = json_check_parse (text, error);
  GError *load_error = NULL;
  bool valid;

  if (root == NULL)
    return false;
  inventory_init (inv);
  valid = load_root (inv, root, &load_error);
  json_node_unref (root);
  if (valid)
    return true;
  inventory_json_add_position (load_error, text);
  g_propagate_error (error, load_error);
  inventory_close (inv);
  return false;
}

/**
 * inventory_json_append - encodes an inventory
 * @out: buffer
 * @inv: inventory
 */
void
inventory_json_append (struct str_buf *out, const struct inventory *inv)
{
  JsonObject *root = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);

  json_object_set_int_member (root, "revision", (gint64)inv->revision);
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    {
      GPtrArray *rows = inventory_list (inv, kind);
      JsonArray *array = json_array_sized_new (rows->len);

      for (guint i = 0; i < rows->len; i++)
        json_array_add_object_element (
            array,
            inventory_json_make_row (kind, g_ptr_array_index (rows, i)));
      json_object_set_array_member (root, inventory_get_schema (kind)->plural,
                                    array);
      g_ptr_array_unref (rows);
    }
  json_node_take_object (node, root);
  inventory_json_append_node (out, node, true);
  str_append_char (out, '\n');
  json_node_unref (node);
}

JsonObject *
inventory_json_make_row (enum inventory_kind kind, const void *row)
{
  const struct inventory_schema *s = inventory_get_schema (kind);
  uint32_t field_mask = 0;

  for (uint32_t i = 0; i < s->fields_len; i++)
    if (!s->fields[i].omitted_if_default
        || *(const uint32_t *)((const char *)row + s->fields[i].offset)
               != s->fields[i].default_value)
      field_mask |= 1u << i;
  return inventory_json_make_partial_row (kind, row, field_mask);
}

JsonObject *
inventory_json_make_partial_row (enum inventory_kind kind, const void *row,
                                 uint32_t field_mask)
{
  const struct inventory_schema *s = inventory_get_schema (kind);
  JsonObject *object = json_object_new ();

  for (uint32_t i = 0; i < s->fields_len; i++)
    if ((field_mask & 1u << i) != 0)
      set_member (object, &s->fields[i], row);
  return object;
}

/**
 * inventory_json_load_row - decodes one row
 * @kind: kind of row
 * @node: JSON object
 * @path: path of the object for error messages
 * @row: uninitialized row
 * @error: receives path, value found and values allowed
 *
 * This function checks types; inventory_check_row() checks ranges.
 *
 * Return: false on failure; @row then owns nothing.
 */
bool
inventory_json_load_row (enum inventory_kind kind, JsonNode *node,
                         struct str path, union inventory_row *row,
                         GError **error)
{
  return load_object (kind, node, path, row, NULL, error);
}

bool
inventory_json_load_partial_row (enum inventory_kind kind, JsonNode *node,
                                 struct str path, union inventory_row *row,
                                 uint32_t *field_mask, GError **error)
{
  *field_mask = 0;
  return load_object (kind, node, path, row, field_mask, error);
}

void
inventory_json_append_node (struct str_buf *out, JsonNode *node, bool pretty)
{
  char *text = json_to_string (node, pretty);

  str_append (out, str_from_cstr (text));
  g_free (text);
}

void
inventory_json_add_position (GError *error, struct str text)
{
  const char *end = strchr (error->message, ':');
  struct str path = str_from_cstr (error->message);
  struct json_check_position position;

  if (end != NULL)
    path.len = (size_t)(end - error->message);
  position = json_check_find_position (text, path);
  g_prefix_error (&error, "line %u, column %u: ", position.line,
                  position.column);
}
