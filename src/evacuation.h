/* evacuation: the failure domains whose backend servers are to get no
   requests, as the store has them at a revision.

   The set of a newer revision replaces an older one, whichever daemon it comes
   from.  Load that it handles: a failure domain that is taken out of service
   and returns at once, for all its backend servers; the end of an evacuation
   is kept so that they return with a slow start.  Used by the control thread
   only.  */

#ifndef ALMONDVALE_EVACUATION_H
#define ALMONDVALE_EVACUATION_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Largest number of failure domains, as in the settings.  */
#define EVACUATION_DOMAINS_MAX 16u

/* Types */

struct evacuation_domains
{
  uint32_t len;
  struct str names[EVACUATION_DOMAINS_MAX];
};

struct evacuation
{
  uint64_t revision;                 /* of the store; 0: nothing is known */
  struct evacuation_domains domains; /* owned names */
  /* failure domains that were evacuated before, and since when they are not */
  struct evacuation_domains ended; /* owned names */
  int64_t ended_us[EVACUATION_DOMAINS_MAX];
};

/* Public functions */

/* Frees the names; nothing is known then.  */
void evacuation_close (struct evacuation *e);
/* Applies the set of a revision if it is newer; copies the names.  Returns
   true if the set has changed or is the first one.  */
bool evacuation_apply (struct evacuation *e, uint64_t revision,
                       const struct evacuation_domains *domains,
                       int64_t now_us);
/* Returns true if the failure domain is evacuated.  */
bool evacuation_contains (const struct evacuation *e, struct str domain);
/* Returns when the last evacuation of the failure domain was found to have
   ended, or 0.  */
int64_t evacuation_get_end_us (const struct evacuation *e, struct str domain);

/* Adds a view of a name; returns false if there is no room.  */
bool evacuation_domains_add (struct evacuation_domains *d, struct str name);
/* Returns true if the name is in the set.  */
bool evacuation_domains_contain (const struct evacuation_domains *d,
                                 struct str name);
/* Returns a copy that owns its names.  */
struct evacuation_domains
evacuation_domains_copy (const struct evacuation_domains *d);
/* Frees the names of a copy.  */
void evacuation_domains_close (struct evacuation_domains *d);

#endif
