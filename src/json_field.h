/* json_field: parses JSON of other programs and reads members of its objects.

   Every function that returns a bool returns false, and does not change the
   output, if the member is missing or has another type or form.  */

#ifndef ALMONDVALE_JSON_FIELD_H
#define ALMONDVALE_JSON_FIELD_H

#include "str.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Public functions */

/* parses a complete JSON document after json_check_limit_text; returns NULL if
   it is malformed or not an object; the caller frees the node with
   json_node_unref */
JsonNode *json_field_parse_object (struct str text);
/* reads a string; the view is valid as long as the object */
bool json_field_get_text (JsonObject *o, const char *name, struct str *value);
/* reads an integer from min to max */
bool json_field_get_number (JsonObject *o, const char *name, int64_t min,
                            int64_t max, int64_t *value);
/* reads a boolean */
bool json_field_get_bool (JsonObject *o, const char *name, bool *value);
/* returns a member that is an object, or NULL */
JsonObject *json_field_get_object (JsonObject *o, const char *name);
/* returns a member that is an array, or NULL */
JsonArray *json_field_get_array (JsonObject *o, const char *name);
/* parses a duration of up to 24 hours, written as a number and its unit, "ms"
   or "s" */
bool json_field_parse_time_us (struct str text, int64_t *us);
/* reads a string with such a duration */
bool json_field_get_time_us (JsonObject *o, const char *name, int64_t *us);
/* parses an address written as IP:PORT; the view is part of `text` */
bool json_field_parse_endpoint (struct str text, struct str *address,
                                uint16_t *port);

#endif
