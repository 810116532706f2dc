/* json_check: checks JSON text before json-glib parses it and finds the position
   of a member for error messages.

   json-glib recurses without a limit, keeps the last of two members of one
   name, accepts comments and does not tell positions; text from operators and
   from the platform is therefore checked here first.  */

#ifndef ALMONDVALE_JSON_CHECK_H
#define ALMONDVALE_JSON_CHECK_H

#include "str.h"

#include <json-glib/json-glib.h>

/* Constants */

#define JSON_CHECK_DEPTH_MAX 32u

/* Types */

struct json_check_position
{
  uint32_t line;   /* from 1 */
  uint32_t column; /* from 1, in characters */
};

/* Public functions */

/* true if the text is strict JSON in UTF-8; else gives position and fault */
bool json_check_text (struct str text, struct json_check_position *position,
                      const char **fault);
/* parses strict JSON; NULL with line and column in the error; free with
   json_node_unref */
JsonNode *json_check_parse (struct str text, GError **error);
/* position of the value at a path such as routes[3].importance, or of its
   innermost part that exists; the text is valid JSON */
struct json_check_position json_check_find_position (struct str text,
                                                     struct str path);
/* position of a byte offset */
struct json_check_position json_check_get_position (struct str text,
                                                    size_t offset);

#endif
