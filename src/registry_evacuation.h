/* registry_evacuation: learns from the store and from other daemons which
   failure domains are evacuated.  Part of control_registry.  */

#ifndef ALMONDVALE_REGISTRY_EVACUATION_H
#define ALMONDVALE_REGISTRY_EVACUATION_H

#include "control_registry.h"

/* Public functions */

/* System: reads and watches the evacuations in the store, and tells the serve
   thread whether its failure domain is one.  */
void registry_evacuation_run (struct control *c, int64_t now_us);
/* Applies what a member's state says.  */
void registry_evacuation_record (struct control *c,
                                 const struct daemon_registry_state *state);
/* Sets the members of a state message; the names are views.  */
void registry_evacuation_fill (const struct control *c,
                               struct daemon_registry_state *state);
/* Returns true if the evacuations are known, or are not asked for.  Until then
   the backend server of this VM gets no requests.  */
bool registry_evacuation_is_known (const struct control *c);
/* Removes the endpoints in evacuated failure domains.  Those whose evacuation
   has ended count as announced then.  */
void registry_evacuation_filter (const struct control *c, GArray *endpoints);

#endif
