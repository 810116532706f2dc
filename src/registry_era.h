/* registry_era: repairs the store after it was restored from an earlier copy.
   Part of control_registry; docs/design/store-era.md says what is repaired.

   This daemon reads its own entry again and writes what is missing.  For
   daemons that do not answer, one live daemon does so.  A daemon that starts
   waits for what the others know.  Nothing takes place while the store's
   answers have no era.  */

#ifndef ALMONDVALE_REGISTRY_ERA_H
#define ALMONDVALE_REGISTRY_ERA_H

#include "control_registry.h"
#include "wire_registry.h"

/* Public functions */

/* Records the era of an answer; returns true if the answer may be used.
   `number_era` is that of the number in the call, or STORE_ERA_ANY.  */
bool registry_era_accept (struct control *c,
                          const struct object_store_answer *a,
                          uint64_t number_era);
/* Records the era in the state of another daemon.  */
void registry_era_record (struct control *c,
                          const struct daemon_registry_state *state);
/* The fleet was listed.  */
void registry_era_set_listed (struct control *c);
/* Returns true while this daemon has to wait for what the others know.  */
bool registry_era_is_waiting (const struct control *c, int64_t now_us);
/* Returns true if this daemon has noticed a restore lately.  */
bool registry_era_is_restored (const struct control *c, int64_t now_us);
/* Returns true if the fleet was listed and no live daemon knows of more.  */
bool registry_era_knows_fleet (const struct control *c, int64_t now_us);
/* Keeps a configuration from the store that cannot be applied yet; returns
   false if it can.  */
bool registry_era_hold_config (struct control *c, struct str bytes,
                               uint64_t revision);
/* Reads this daemon's entry in the store.  */
void registry_era_check_own (struct control *c,
                             const struct object_store_call *call);
/* System: repairs, and uses what was held back.  */
void registry_era_run (struct control *c, int64_t now_us);
/* Appends members of the status.  */
void registry_era_append_status (const struct control *c, JsonBuilder *b);
/* Frees what was held back.  */
void registry_era_close (struct control *c);

#endif
