/* backend_stops: the boots of a backend server that accept no more requests.

   A boot is one start of the backend server.  Once it has drained or left, it
   never serves again, but a late report of its earlier state may still arrive.
   The list outlives the process of the daemon: the store and the other daemons
   keep copies of it.  */

#ifndef ALMONDVALE_BACKEND_STOPS_H
#define ALMONDVALE_BACKEND_STOPS_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Number of boots kept; the oldest one is dropped.  Late reports are seconds
   late, and a boot lasts for longer than that.  */
#define BACKEND_STOPS_MAX 8u

/* Types */

struct backend_stop
{
  struct str id; /* id of the boot or of the backend server */
  int64_t boot_ms;
};

/* Rows in the order in which the boots were added.  */
struct backend_stops
{
  uint32_t len;
  struct backend_stop rows[BACKEND_STOPS_MAX]; /* owned ids */
};

/* Public functions */

/* frees the ids; the list is empty then */
void backend_stops_close (struct backend_stops *s);
/* returns a copy that owns its ids */
struct backend_stops backend_stops_copy (const struct backend_stops *s);
/* returns true if the boot is in the list */
bool backend_stops_contains (const struct backend_stops *s, struct str id,
                             int64_t boot_ms);
/* returns true if all boots of `part` are in the list */
bool backend_stops_contains_all (const struct backend_stops *s,
                                 const struct backend_stops *part);
/* adds a boot; returns false if it was in the list */
bool backend_stops_add (struct backend_stops *s, struct str id,
                        int64_t boot_ms);
/* adds the boots of `older` that are missing, before the others; returns true
   if there was one */
bool backend_stops_merge (struct backend_stops *s,
                          const struct backend_stops *older);
/* appends a JSON array of objects {"id": TEXT, "boot_ms": NUMBER} */
void backend_stops_append_json (const struct backend_stops *s,
                                struct str_buf *out);
/* decodes the array `name` of a JSON object; entries of another form are
   skipped.  Returns false, with an empty list, if `text` is not an object */
bool backend_stops_load_json (struct backend_stops *s, struct str text,
                              const char *name);

#endif
