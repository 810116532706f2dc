/* json_check: checks JSON text before json-glib parses it, and finds the
   position of a member for error messages.

   json-glib recurses without a limit, keeps the last of two members with the
   same name, accepts comments and does not report positions.  Text of
   operators is therefore checked here first, and text of other programs, of
   which unknown parts are ignored, is limited in depth.  */

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

/* returns true if the text is strict JSON in UTF-8; else sets *position and
   *message to the position and the description of the first error */
bool json_check_text (struct str text, struct json_check_position *position,
                      const char **message);
/* parses strict JSON; returns the root node, to be freed with json_node_unref,
   or NULL with line and column in the error */
JsonNode *json_check_parse (struct str text, GError **error);
/* appends the text with null in place of each value that is nested more than
   JSON_CHECK_DEPTH_MAX deep and of each integer of more than 18 digits, and
   with U+FFFD in place of bytes that are not UTF-8 and halves of surrogate
   pairs, so that json-glib can parse it and one bad entry of a list does not
   hide the others; returns false if the text cannot be JSON */
bool json_check_limit_text (struct str text, struct str_buf *out);
/* returns the position of the value at a path such as routes[3].importance; if
   there is none, that of the last value on the path that exists; the text must
   be valid JSON */
struct json_check_position json_check_find_position (struct str text,
                                                     struct str path);
/* returns the position of a byte offset in the text */
struct json_check_position json_check_get_position (struct str text,
                                                    size_t offset);

#endif
