/* settings_type: the types of the members of the settings file.  */

#include "settings_type.h"

#include "err.h"

#include <arpa/inet.h>
#include <string.h>

/* Constants */

#define NAME_MAX_BYTES 64
#define FILE_NAME_MAX_BYTES 4096
#define PORT_MAX 65535

/* Internal functions: types */

static void
unload_text (void *field)
{
  str_free (field);
}

static void
unload_nothing (void *field)
{
}

/* Returns the string value of a node, or NULL if it is not a string.  */
static const char *
get_text (JsonNode *node)
{
  if (!JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static void
store_text (void *field, const char *text)
{
  struct str *s = field;

  str_free (s);
  *s = str_copy (str_from_cstr (text));
}

static bool
is_name (struct str s)
{
  if (s.len < 1 || s.len > NAME_MAX_BYTES)
    return false;
  for (size_t i = 0; i < s.len; i++)
    if (!g_ascii_isalnum (s.data[i]) && strchr ("._-", s.data[i]) == NULL)
      return false;
  return true;
}

static bool
load_name (const struct settings_member *m, JsonNode *node, void *field)
{
  const char *text = get_text (node);

  if (text == NULL
      || (!is_name (str_from_cstr (text))
          && (m->default_value == NULL || text[0] != '\0')))
    return false;
  store_text (field, text);
  return true;
}

static void
append_allowed_name (const struct settings_member *m, struct str_buf *out)
{
  str_append_format (out, "1 to %d letters, digits, '.', '_' or '-'",
                     NAME_MAX_BYTES);
  if (m->default_value != NULL)
    str_append (out, STR_LIT (" or \"\""));
}

static bool
load_choice (const struct settings_member *m, JsonNode *node, void *field)
{
  const char *text = get_text (node);
  char **names;
  bool found;

  if (text == NULL)
    return false;
  names = g_strsplit (m->choices, ", ", -1);
  found = g_strv_contains ((const char *const *)names, text);
  g_strfreev (names);
  if (found)
    store_text (field, text);
  return found;
}

static void
append_allowed_choice (const struct settings_member *m, struct str_buf *out)
{
  str_append_format (out, "one of %s", m->choices);
}

static bool
load_file_name (const struct settings_member *m, JsonNode *node, void *field)
{
  const char *text = get_text (node);

  if (text == NULL || strlen (text) > FILE_NAME_MAX_BYTES)
    return false;
  store_text (field, text);
  return true;
}

static void
append_allowed_file_name (const struct settings_member *m, struct str_buf *out)
{
  str_append_format (out, "a file name of at most %d bytes",
                     FILE_NAME_MAX_BYTES);
}

static bool
is_address (const char *text)
{
  struct in6_addr address;

  return inet_pton (AF_INET, text, &address) == 1
         || inet_pton (AF_INET6, text, &address) == 1;
}

/* An optional address may be given as "".  */
static bool
load_address (const struct settings_member *m, JsonNode *node, void *field)
{
  const char *text = get_text (node);

  if (text == NULL)
    return false;
  if (!is_address (text) && (m->default_value == NULL || text[0] != '\0'))
    return false;
  store_text (field, text);
  return true;
}

static void
append_allowed_address (const struct settings_member *m, struct str_buf *out)
{
  str_append (out, STR_LIT ("an IPv4 or IPv6 address"));
  if (m->default_value != NULL)
    str_append (out, STR_LIT (" or \"\""));
}

static bool
is_integer (JsonNode *node, int64_t min, int64_t max)
{
  return JSON_NODE_HOLDS_VALUE (node)
         && json_node_get_value_type (node) == G_TYPE_INT64
         && json_node_get_int (node) >= min && json_node_get_int (node) <= max;
}

static bool
load_integer (const struct settings_member *m, JsonNode *node, void *field)
{
  if (!is_integer (node, m->min, m->max))
    return false;
  *(int64_t *)field = json_node_get_int (node);
  return true;
}

static void
append_allowed_integer (const struct settings_member *m, struct str_buf *out)
{
  str_append_format (
      out, "an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, m->min,
      m->max);
}

static bool
load_ratio (const struct settings_member *m, JsonNode *node, void *field)
{
  GType type;
  double value;

  if (!JSON_NODE_HOLDS_VALUE (node))
    return false;
  type = json_node_get_value_type (node);
  if (type != G_TYPE_INT64 && type != G_TYPE_DOUBLE)
    return false;
  value = json_node_get_double (node);
  /* This form of the comparison also rejects NaN.  */
  if (!(value >= (double)m->min && value <= (double)m->max))
    return false;
  *(double *)field = value;
  return true;
}

static void
append_allowed_ratio (const struct settings_member *m, struct str_buf *out)
{
  str_append_format (out,
                     "a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                     m->min, m->max);
}

static void
unload_endpoints (void *field)
{
  struct settings_endpoints *list = field;

  for (size_t i = 0; i < list->len; i++)
    str_free (&list->items[i].address);
  g_free (list->items);
  *list = (struct settings_endpoints){ 0, NULL };
}

/* Appends an endpoint; returns false unless the node is an object with a valid
   address and port and no other member.  */
static bool
add_endpoint (struct settings_endpoints *list, JsonNode *node)
{
  JsonObject *object;
  JsonNode *address, *port;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return false;
  object = json_node_get_object (node);
  address = json_object_get_member (object, "address");
  port = json_object_get_member (object, "port");
  if (json_object_get_size (object) != 2 || address == NULL || port == NULL)
    return false;
  if (get_text (address) == NULL || !is_address (get_text (address))
      || !is_integer (port, 1, PORT_MAX))
    return false;
  list->items[list->len].address
      = str_copy (str_from_cstr (get_text (address)));
  list->items[list->len].port = json_node_get_int (port);
  list->len++;
  return true;
}

/* Returns the array, or NULL if the node has none or one that is too long.  */
static JsonArray *
get_array (const struct settings_member *m, JsonNode *node)
{
  JsonArray *array;

  if (!JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  array = json_node_get_array (node);
  return json_array_get_length (array) <= (guint)m->max ? array : NULL;
}

static bool
load_endpoints (const struct settings_member *m, JsonNode *node, void *field)
{
  struct settings_endpoints list = { 0, NULL };
  JsonArray *array = get_array (m, node);
  guint len;

  if (array == NULL)
    return false;
  len = json_array_get_length (array);
  list.items = g_new0 (struct settings_endpoint, len);
  for (guint i = 0; i < len; i++)
    if (!add_endpoint (&list, json_array_get_element (array, i)))
      {
        unload_endpoints (&list);
        return false;
      }
  unload_endpoints (field);
  *(struct settings_endpoints *)field = list;
  return true;
}

static void
append_allowed_endpoints (const struct settings_member *m, struct str_buf *out)
{
  str_append_format (out,
                     "an array of at most %" G_GINT64_FORMAT
                     " objects {\"address\": IP address, "
                     "\"port\": 1 to %d}",
                     m->max, PORT_MAX);
}

static void
unload_names (void *field)
{
  struct settings_names *list = field;

  for (size_t i = 0; i < list->len; i++)
    str_free (&list->items[i]);
  g_free (list->items);
  *list = (struct settings_names){ 0, NULL };
}

static bool
load_names (const struct settings_member *m, JsonNode *node, void *field)
{
  struct settings_names list = { 0, NULL };
  JsonArray *array = get_array (m, node);
  guint len;

  if (array == NULL)
    return false;
  len = json_array_get_length (array);
  list.items = g_new0 (struct str, len);
  for (guint i = 0; i < len; i++)
    {
      const char *text = get_text (json_array_get_element (array, i));

      if (text == NULL || !is_name (str_from_cstr (text)))
        {
          unload_names (&list);
          return false;
        }
      list.items[list.len++] = str_copy (str_from_cstr (text));
    }
  unload_names (field);
  *(struct settings_names *)field = list;
  return true;
}

static void
append_allowed_names (const struct settings_member *m, struct str_buf *out)
{
  str_append_format (out, "an array of at most %" G_GINT64_FORMAT " names",
                     m->max);
}

/* State */

const struct settings_type_ops settings_types[] = {
  [SETTINGS_TYPE_NAME] = { load_name, unload_text, append_allowed_name },
  [SETTINGS_TYPE_CHOICE] = { load_choice, unload_text, append_allowed_choice },
  [SETTINGS_TYPE_FILE]
  = { load_file_name, unload_text, append_allowed_file_name },
  [SETTINGS_TYPE_ADDRESS]
  = { load_address, unload_text, append_allowed_address },
  [SETTINGS_TYPE_INTEGER]
  = { load_integer, unload_nothing, append_allowed_integer },
  [SETTINGS_TYPE_RATIO] = { load_ratio, unload_nothing, append_allowed_ratio },
  [SETTINGS_TYPE_ENDPOINTS]
  = { load_endpoints, unload_endpoints, append_allowed_endpoints },
  [SETTINGS_TYPE_NAMES] = { load_names, unload_names, append_allowed_names },
};

/* Public functions */

bool
settings_type_is_text (enum settings_type type)
{
  return settings_types[type].unload == unload_text;
}
