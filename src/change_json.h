/* change_json: a change as JSON, as it is stored in changes/<n>.

   {"revision": 8, "nonce": "...", "author": "...", "ops": [
     {"put": "route", "row": {"name": "book", "importance": 9}},
     {"delete": "key", "name": "k1"}]}  */

#ifndef ALMONDVALE_CHANGE_JSON_H
#define ALMONDVALE_CHANGE_JSON_H

#include "change.h"

/* Public functions */

/* fills an uninitialized change; on an error nothing is to be freed */
bool change_json_load (struct change *c, struct str text, GError **error);
/* appends the change on one line */
void change_json_append (struct str_buf *out, const struct change *c);

#endif
