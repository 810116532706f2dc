/* change_json: the JSON form of a change, as stored in changes/<n>.

   {"revision": 8, "nonce": "...", "author": "...", "ops": [
     {"put": "route", "row": {"name": "book", "importance": 9}},
     {"delete": "key", "name": "k1"}]}  */

#ifndef ALMONDVALE_CHANGE_JSON_H
#define ALMONDVALE_CHANGE_JSON_H

#include "change.h"

/* Public functions */

/* decodes into an uninitialized change; on failure the change owns nothing */
bool change_json_load (struct change *c, struct str text, GError **error);
/* appends the change on one line */
void change_json_append (struct str_buf *out, const struct change *c);

#endif
