/* inventory_json: the inventory as JSON.

   The output is canonical: rows are sorted by name, members have the order of
   the schema, and all members are present.  Equal inventories have the same
   bytes.  */

#ifndef ALMONDVALE_INVENTORY_JSON_H
#define ALMONDVALE_INVENTORY_JSON_H

#include "inventory.h"

#include <json-glib/json-glib.h>

/* Public functions */

/* decodes into an uninitialized inventory.  On failure the inventory owns
   nothing, and the error contains line, column, member path, value found and
   values allowed.  Ranges and references are checked by
   inventory_validate.  */
bool inventory_json_load (struct inventory *inv, struct str text,
                          GError **error);
/* appends the canonical text with one member per line */
void inventory_json_append (struct str_buf *out, const struct inventory *inv);
/* returns one row as a JSON object with all its members */
JsonObject *inventory_json_make_row (enum inventory_kind kind,
                                     const void *row);
/* decodes into an uninitialized row; sets fields whose member is absent to
   their default; path identifies the object in errors; on failure the row
   owns nothing */
bool inventory_json_load_row (enum inventory_kind kind, JsonNode *node,
                              struct str path, union inventory_row *row,
                              GError **error);
/* returns some fields of a row as a JSON object; bit i of field_mask selects
   field i */
JsonObject *inventory_json_make_partial_row (enum inventory_kind kind,
                                             const void *row,
                                             uint32_t field_mask);
/* like inventory_json_load_row, but requires only the first field, the name;
   bit i of *field_mask is set if the member of field i is present */
bool inventory_json_load_partial_row (enum inventory_kind kind, JsonNode *node,
                                      struct str path,
                                      union inventory_row *row,
                                      uint32_t *field_mask, GError **error);
/* appends a node as JSON text; pretty adds line breaks and indentation */
void inventory_json_append_node (struct str_buf *out, JsonNode *node,
                                 bool pretty);
/* prepends line and column to the error's message, which must begin with a
   member path as inventory_json_load_row writes it; text is the JSON text */
void inventory_json_add_position (GError *error, struct str text);

#endif
