/* deployment: the functions that differ between deployments of the daemon.

   A deployment selects the HTTP dialect, the rate limiter, the components of
   the control thread, the client of the object store and the format of the
   configuration.  Decisions, state and recovery are the same in all
   deployments.  */

#ifndef ALMONDVALE_DEPLOYMENT_H
#define ALMONDVALE_DEPLOYMENT_H

#include "control.h"
#include "http_dialect.h"
#include "inventory.h"
#include "object_store.h"
#include "rate_limit.h"
#include "settings.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

/* Types */

struct deployment_ops
{
  const char *name;
  const struct http_dialect_ops *dialect;
  const struct rate_limit_ops *rate;
  /* components of the control thread in the order in which they run; NULL ends
     the list */
  const struct control_component_ops *const *components;
  /* Returns a client of the object store that the settings name, or NULL if
     they name none.  Used by control_registry.  */
  struct object_store *(*load_store) (struct event_base *base,
                                      const struct settings *settings);
  /* key of the object that holds the complete configuration */
  struct str config_key;
  /* Decodes that object into an uninitialized inventory.  Returns false and
     sets error on failure.  */
  bool (*load_config) (struct inventory *inventory, struct str bytes,
                       GError **error);
};

/* State */

/* almondvale's own HTTP interface, with gossip and shards */
extern const struct deployment_ops deployment_native;

#endif
