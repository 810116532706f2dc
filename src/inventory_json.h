/* inventory_json: the inventory as JSON.

   The output is canonical: rows in the order of their names, members in the
   order of the schema, all members present.  Equal inventories give equal
   bytes.  */

#ifndef ALMONDVALE_INVENTORY_JSON_H
#define ALMONDVALE_INVENTORY_JSON_H

#include "inventory.h"

#include <json-glib/json-glib.h>

/* Public functions */

/* fills an uninitialized inventory; on an error nothing is to be freed; the
   error gives line, column, member path, value found and values allowed.  The
   rows are not validated together.  */
bool inventory_json_load (struct inventory *inv, struct str text,
                          GError **error);
/* appends the canonical text, one member a line */
void inventory_json_append (struct str_buf *out, const struct inventory *inv);
/* JSON object of one row, with all its members */
JsonObject *inventory_json_make_row (enum inventory_kind kind,
                                     const void *row);
/* fills an uninitialized row; an absent member has its default; path names
   the object in errors; on an error nothing is to be freed */
bool inventory_json_load_row (enum inventory_kind kind, JsonNode *node,
                              struct str path, union inventory_row *row,
                              GError **error);
/* JSON object of the members of a set (bit i for field i) */
JsonObject *inventory_json_make_partial_row (enum inventory_kind kind,
                                             const void *row, uint32_t set);
/* as inventory_json_load_row, but only the first field is required; set
   receives the members present */
bool inventory_json_load_partial_row (enum inventory_kind kind, JsonNode *node,
                                      struct str path,
                                      union inventory_row *row, uint32_t *set,
                                      GError **error);
/* appends a node as text */
void inventory_json_append_node (struct str_buf *out, JsonNode *node,
                                 bool pretty);
/* puts line and column before the error's message, which begins with a path
   as inventory_json_load_row writes it */
void inventory_json_add_position (GError *error, struct str text);

#endif
