/* change_json: a change as JSON.  */

#include "change_json.h"

#include "err.h"
#include "inventory_json.h"
#include "json_check.h"

#include <string.h>

/* Internal functions: encoding */

static JsonNode *
make_op (const struct change_op *op)
{
  const char *kind = inventory_get_schema (op->kind)->singular;
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);

  if (op->verb == CHANGE_PUT)
    {
      json_object_set_string_member (object, "put", kind);
      json_object_set_object_member (
          object, "row",
          inventory_json_make_partial_row (op->kind, &op->row,
                                           op->field_mask | 1));
    }
  else
    {
      json_object_set_string_member (object, "delete", kind);
      json_object_set_string_member (object, "name", op->row.name.data);
    }
  json_node_take_object (node, object);
  return node;
}

/* Internal functions: decoding */

static bool
set_error (GError **error, const char *path, const char *text)
{
  g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID, "%s: %s", path, text);
  return false;
}

static const char *
get_string (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

/* Returns the kind that a member names in the singular, or INVENTORY_KINDS if
   it names none.  */
static enum inventory_kind
get_kind (JsonObject *object, const char *name)
{
  const char *text = get_string (object, name);
  enum inventory_kind kind = inventory_find_kind (str_from_cstr (text));

  if (text == NULL || kind == INVENTORY_KINDS
      || strcmp (text, inventory_get_schema (kind)->singular) != 0)
    return INVENTORY_KINDS;
  return kind;
}

static bool
load_put (struct change *c, JsonObject *object, const char *path,
          GError **error)
{
  enum inventory_kind kind = get_kind (object, "put");
  JsonNode *node = json_object_get_member (object, "row");
  char *row_path = g_strdup_printf ("%s.row", path);
  union inventory_row row;
  uint32_t field_mask;
  bool valid;

  if (kind == INVENTORY_KINDS || node == NULL)
    valid
        = set_error (error, path, "expected \"put\" with a kind, and \"row\"");
  else
    valid = inventory_json_load_partial_row (
        kind, node, str_from_cstr (row_path), &row, &field_mask, error);
  if (valid)
    {
      if (change_find (c, kind, row.name) != NULL)
        valid = set_error (error, row_path,
                           "the row has more than one operation");
      else
        change_put (c, kind, &row, field_mask);
      inventory_close_row (kind, &row);
    }
  g_free (row_path);
  return valid;
}

static bool
load_delete (struct change *c, JsonObject *object, const char *path,
             GError **error)
{
  enum inventory_kind kind = get_kind (object, "delete");
  struct str name = str_from_cstr (get_string (object, "name"));

  if (kind == INVENTORY_KINDS || name.len == 0)
    return set_error (error, path,
                      "expected \"delete\" with a kind, and \"name\"");
  if (change_find (c, kind, name) != NULL)
    return set_error (error, path, "the row has more than one operation");
  change_delete (c, kind, name);
  return true;
}

static bool
load_op (struct change *c, JsonNode *node, const char *path, GError **error)
{
  JsonObject *object;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return set_error (error, path, "expected an object");
  object = json_node_get_object (node);
  if (json_object_get_size (object) != 2)
    return set_error (error, path,
                      "an operation must have exactly two members");
  if (json_object_has_member (object, "put"))
    return load_put (c, object, path, error);
  return load_delete (c, object, path, error);
}

static bool
load_ops (struct change *c, JsonObject *object, GError **error)
{
  JsonNode *node = json_object_get_member (object, "ops");
  JsonArray *array;
  bool valid = true;

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return set_error (error, "ops", "expected an array");
  array = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (array) && valid; i++)
    {
      char *path = g_strdup_printf ("ops[%u]", i);

      valid = load_op (c, json_array_get_element (array, i), path, error);
      g_free (path);
    }
  return valid;
}

static bool
load_text (JsonObject *object, const char *name, size_t max, struct str *to,
           GError **error)
{
  struct str text = str_from_cstr (get_string (object, name));

  if (get_string (object, name) == NULL || text.len > max)
    return set_error (error, name,
                      "expected a string within the length limit");
  *to = str_copy (text);
  return true;
}

static bool
load_root (struct change *c, JsonNode *root, GError **error)
{
  static const char *const names[] = { "revision", "nonce", "author", "ops" };
  JsonObject *object;
  JsonNode *revision;
  guint known = 0;

  if (!JSON_NODE_HOLDS_OBJECT (root))
    return set_error (error, "change", "expected an object");
  object = json_node_get_object (root);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    known += json_object_has_member (object, names[i]);
  if (json_object_get_size (object) != known)
    return set_error (error, "change",
                      "has members other than revision, nonce, author, ops");
  revision = json_object_get_member (object, "revision");
  if (revision == NULL || json_node_get_value_type (revision) != G_TYPE_INT64
      || json_node_get_int (revision) < 0)
    return set_error (error, "revision", "expected a whole number >= 0");
  c->revision = (uint64_t)json_node_get_int (revision);
  return load_text (object, "nonce", CHANGE_NONCE_MAX_BYTES, &c->nonce, error)
         && load_text (object, "author", CHANGE_AUTHOR_MAX_BYTES, &c->author,
                       error)
         && load_ops (c, object, error);
}

/* Public functions */

/**
 * change_json_load - decodes a change
 * @c: uninitialized change
 * @text: JSON text
 * @error: receives the first error with line and column
 *
 * Return: false on failure; @c then owns nothing.
 */
bool
change_json_load (struct change *c, struct str text, GError **error)
{
  JsonNode *root = json_check_parse (text, error);
  GError *load_error = NULL;
  bool valid;

  if (root == NULL)
    return false;
  change_init (c);
  valid = load_root (c, root, &load_error);
  json_node_unref (root);
  if (valid)
    return true;
  inventory_json_add_position (load_error, text);
  g_propagate_error (error, load_error);
  change_close (c);
  return false;
}

void
change_json_append (struct str_buf *out, const struct change *c)
{
  JsonObject *root = json_object_new ();
  JsonArray *ops = json_array_sized_new (c->ops->len);
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);

  json_object_set_int_member (root, "revision", (gint64)c->revision);
  json_object_set_string_member (root, "nonce", c->nonce.data);
  json_object_set_string_member (root, "author", c->author.data);
  for (guint i = 0; i < c->ops->len; i++)
    json_array_add_element (
        ops, make_op (&g_array_index (c->ops, struct change_op, i)));
  json_object_set_array_member (root, "ops", ops);
  json_node_take_object (node, root);
  inventory_json_append_node (out, node, false);
  json_node_unref (node);
}
