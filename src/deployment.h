/* deployment: what differs between the deployments that the daemon runs in.

   A deployment names the functions that translate: how requests are spelled,
   how the store is reached and how the configuration is written down.
   Decisions, state and recovery are the same everywhere.  */

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
  /* nodes of the control thread in the order in which they run */
  const struct control_component_ops *const *nodes;
  /* client of the store that the settings name, or NULL; used by
     control_registry */
  struct object_store *(*load_store) (struct event_base *base,
                                      const struct settings *settings);
  struct str config_key; /* object that holds the whole configuration */
  /* decodes that object into an uninitialized inventory */
  bool (*load_config) (struct inventory *inventory, struct str bytes,
                       GError **error);
};

/* State */

/* the product's own interface, gossip and shards */
extern const struct deployment_ops deployment_native;

#endif
