/* backend_stops: the boots of a backend server that accept no more
   requests.  */

#include "backend_stops.h"

#include "json_field.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Internal functions */

static void
remove_first (struct backend_stops *s)
{
  str_free (&s->rows[0].id);
  s->len--;
  memmove (s->rows, s->rows + 1, s->len * sizeof *s->rows);
}

/* Appends a JSON string, quotes included.  The id comes from a backend server
   and may have any characters.  */
static void
append_json_text (struct str_buf *out, struct str text)
{
  char *copy = str_dup_cstr (text);
  JsonNode *node = json_node_new (JSON_NODE_VALUE);
  char *json;

  json_node_set_string (node, copy);
  json = json_to_string (node, FALSE);
  str_append (out, str_from_cstr (json));
  g_free (json);
  json_node_unref (node);
  g_free (copy);
}

/* Public functions */

void
backend_stops_close (struct backend_stops *s)
{
  for (uint32_t i = 0; i < s->len; i++)
    str_free (&s->rows[i].id);
  s->len = 0;
}

struct backend_stops
backend_stops_copy (const struct backend_stops *s)
{
  struct backend_stops copy = *s;

  for (uint32_t i = 0; i < s->len; i++)
    copy.rows[i].id = str_copy (s->rows[i].id);
  return copy;
}

bool
backend_stops_contains (const struct backend_stops *s, struct str id,
                        int64_t boot_ms)
{
  for (uint32_t i = 0; i < s->len; i++)
    if (s->rows[i].boot_ms == boot_ms && str_equal (s->rows[i].id, id))
      return true;
  return false;
}

bool
backend_stops_contains_all (const struct backend_stops *s,
                            const struct backend_stops *part)
{
  for (uint32_t i = 0; i < part->len; i++)
    if (!backend_stops_contains (s, part->rows[i].id, part->rows[i].boot_ms))
      return false;
  return true;
}

bool
backend_stops_add (struct backend_stops *s, struct str id, int64_t boot_ms)
{
  if (backend_stops_contains (s, id, boot_ms))
    return false;
  if (s->len == BACKEND_STOPS_MAX)
    remove_first (s);
  s->rows[s->len++]
      = (struct backend_stop){ .id = str_copy (id), .boot_ms = boot_ms };
  return true;
}

/**
 * backend_stops_merge - adds the boots of an older list
 * @s: list
 * @older: list of boots that stopped before those that only @s has; copied
 *
 * If there is no room for all, the boots of @older are dropped first.
 *
 * Return: true if a boot was missing in @s, also if there was no room for it.
 */
bool
backend_stops_merge (struct backend_stops *s,
                     const struct backend_stops *older)
{
  struct backend_stops merged = { 0 };
  bool added = false;

  for (uint32_t i = 0; i < older->len; i++)
    if (!backend_stops_contains (s, older->rows[i].id, older->rows[i].boot_ms))
      added |= backend_stops_add (&merged, older->rows[i].id,
                                  older->rows[i].boot_ms);
  for (uint32_t i = 0; i < s->len; i++)
    backend_stops_add (&merged, s->rows[i].id, s->rows[i].boot_ms);
  backend_stops_close (s);
  *s = merged;
  return added;
}

void
backend_stops_append_json (const struct backend_stops *s, struct str_buf *out)
{
  str_append_char (out, '[');
  for (uint32_t i = 0; i < s->len; i++)
    {
      str_append (out, i > 0 ? STR_LIT (",{\"id\":") : STR_LIT ("{\"id\":"));
      append_json_text (out, s->rows[i].id);
      str_append_format (out, ",\"boot_ms\":%" PRId64 "}", s->rows[i].boot_ms);
    }
  str_append_char (out, ']');
}

bool
backend_stops_load_json (struct backend_stops *s, struct str text,
                         const char *name)
{
  JsonNode *root = json_field_parse_object (text);
  JsonArray *rows;

  *s = (struct backend_stops){ 0 };
  if (root == NULL)
    return false;
  rows = json_field_get_array (json_node_get_object (root), name);
  for (guint i = 0; rows != NULL && i < json_array_get_length (rows); i++)
    {
      JsonNode *row = json_array_get_element (rows, i);
      struct str id;
      int64_t boot_ms;

      if (JSON_NODE_HOLDS_OBJECT (row)
          && json_field_get_text (json_node_get_object (row), "id", &id)
          && json_field_get_number (json_node_get_object (row), "boot_ms", 0,
                                    G_MAXINT64, &boot_ms))
        backend_stops_add (s, id, boot_ms);
    }
  json_node_unref (root);
  return true;
}
