/* registry_stops: keeps the stops of this daemon's backend server where the
   next process of the daemon finds them.  Part of control_registry.

   The object of this daemon in the store has them; a drain or leave is
   confirmed once it is there.  The other daemons remember what this daemon's
   states say.  A process that cannot read its object asks them, since it could
   not use its backend server otherwise until the store is back.  */

#ifndef ALMONDVALE_REGISTRY_STOPS_H
#define ALMONDVALE_REGISTRY_STOPS_H

#include "control_registry.h"
#include "wire_registry.h"

/* Public functions */

/* Adds a stop that a front reports.  */
void registry_stops_record (struct control *c,
                            const struct thread_message *message);
/* Decodes the stops in the value of a daemon's object; returns false, with an
   empty list, if it is no object.  */
bool registry_stops_load (struct backend_stops *stops, struct str value);
/* Adds the stops in the value of this daemon's object in the store.  */
void registry_stops_load_object (struct control *c, struct str value);
/* Notes the stops in the value that is about to be written.  */
void registry_stops_begin_put (struct control *c);
/* That value is in the store.  */
void registry_stops_end_put (struct control *c);
/* Tells the fronts which stops the store has.  From now on no stop of an
   earlier process is unknown.  */
void registry_stops_publish (struct control *c);
/* Answers a state that says that its sender does not know its stops, or that
   lacks one although its store has eras and is possibly restored.  */
void registry_stops_send (struct control *c,
                          const struct daemon_registry_state *state);
/* Adds the stops that another daemon remembers.  */
void registry_stops_receive (struct control *c,
                             const struct wire_registry_stops *stops);
/* System: uses what the other daemons remember while the store does not
   answer.  */
void registry_stops_run (struct control *c, int64_t now_us);

#endif
