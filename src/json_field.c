/* json_field: parses JSON of other programs and reads members of its
   objects.  */

#include "json_field.h"

#include "clock.h"
#include "json_check.h"

#include <string.h>

/* Constants */

#define PORT_MAX 65535
#define DURATION_MAX_S 86400.0

/* Internal functions */

static JsonNode *
get_value (JsonObject *o, const char *name, GType type)
{
  JsonNode *node = json_object_get_member (o, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != type)
    return NULL;
  return node;
}

/* Public functions */

JsonNode *
json_field_parse_object (struct str text)
{
  struct str_buf limited = { 0 };
  JsonParser *parser;
  JsonNode *root = NULL;

  bool ok = json_check_limit_text (text, &limited) && limited.len > 0;

  parser = json_parser_new ();
  if (ok
      && json_parser_load_from_data (parser, limited.data, (gssize)limited.len,
                                     NULL)
      && json_parser_get_root (parser) != NULL
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    root = json_parser_steal_root (parser);
  g_object_unref (parser);
  str_reset (&limited);
  return root;
}

bool
json_field_get_text (JsonObject *o, const char *name, struct str *value)
{
  JsonNode *node = get_value (o, name, G_TYPE_STRING);

  if (node == NULL)
    return false;
  *value = str_from_cstr (json_node_get_string (node));
  return true;
}

bool
json_field_get_number (JsonObject *o, const char *name, int64_t min,
                       int64_t max, int64_t *value)
{
  JsonNode *node = get_value (o, name, G_TYPE_INT64);

  if (node == NULL || json_node_get_int (node) < min
      || json_node_get_int (node) > max)
    return false;
  *value = json_node_get_int (node);
  return true;
}

bool
json_field_get_bool (JsonObject *o, const char *name, bool *value)
{
  JsonNode *node = get_value (o, name, G_TYPE_BOOLEAN);

  if (node == NULL)
    return false;
  *value = json_node_get_boolean (node);
  return true;
}

JsonObject *
json_field_get_object (JsonObject *o, const char *name)
{
  JsonNode *node = json_object_get_member (o, name);

  return node != NULL && JSON_NODE_HOLDS_OBJECT (node)
             ? json_node_get_object (node)
             : NULL;
}

JsonArray *
json_field_get_array (JsonObject *o, const char *name)
{
  JsonNode *node = json_object_get_member (o, name);

  return node != NULL && JSON_NODE_HOLDS_ARRAY (node)
             ? json_node_get_array (node)
             : NULL;
}

bool
json_field_parse_time_us (struct str text, int64_t *us)
{
  char buffer[32];
  char *end;
  double number;
  double unit_us;

  if (text.len == 0 || text.len >= sizeof buffer
      || !g_ascii_isdigit (text.data[0]))
    return false;
  memcpy (buffer, text.data, text.len);
  buffer[text.len] = '\0';
  number = g_ascii_strtod (buffer, &end);
  if (strcmp (end, "ms") == 0)
    unit_us = CLOCK_US_PER_MS;
  else if (strcmp (end, "s") == 0)
    unit_us = CLOCK_US_PER_S;
  else
    return false;
  if (!(number * unit_us <= DURATION_MAX_S * CLOCK_US_PER_S))
    return false;
  *us = (int64_t)(number * unit_us);
  return true;
}

bool
json_field_get_time_us (JsonObject *o, const char *name, int64_t *us)
{
  struct str text;

  return json_field_get_text (o, name, &text)
         && json_field_parse_time_us (text, us);
}

bool
json_field_parse_endpoint (struct str text, struct str *address,
                           uint16_t *port)
{
  const char *colon = memrchr (text.data, ':', text.len);
  uint64_t number;
  size_t colon_index;

  if (colon == NULL)
    return false;
  colon_index = (size_t)(colon - text.data);
  if (colon_index == 0
      || !str_parse_u64 (str_slice (text, colon_index + 1, text.len), &number)
      || number == 0 || number > PORT_MAX)
    return false;
  *address = str_slice (text, 0, colon_index);
  *port = (uint16_t)number;
  return true;
}
