/* registry_config: reads the configuration from the store and from other
   daemons.  Part of control_registry.  */

#ifndef ALMONDVALE_REGISTRY_CONFIG_H
#define ALMONDVALE_REGISTRY_CONFIG_H

#include "control_registry.h"
#include "wire_registry.h"

/* Public functions */

/* Applies a configuration if it is newer than the one in effect.  `source`
   names its origin in the log.  */
void registry_config_apply (struct control *c, struct str bytes,
                            const char *source);
/* System: decides whether this daemon watches the configuration in the store.
   Other daemons get new configurations from peers.  */
void registry_config_choose_watchers (struct control *c, int64_t now_us);
/* System: reads or watches the configuration in the store, if this daemon is a
   watcher or no peer delivers it.  */
void registry_config_read (struct control *c, int64_t now_us);
/* Records the revision in a member's state.  */
void registry_config_record (struct control *c,
                             const struct daemon_registry_state *state);
/* System: requests a newer configuration from a member that has it.  */
void registry_config_request (struct control *c, int64_t now_us);
/* Sends the configuration in effect on a link.  */
void registry_config_send (struct control *c, uint64_t link);

#endif
