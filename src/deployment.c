/* deployment: almondvale's own HTTP interface, with gossip and shards.  */

#include "deployment.h"

#include "control_config.h"
#include "control_gossip.h"
#include "control_shard.h"
#include "control_static.h"
#include "inventory_json.h"

/* Constants */

#define STORE_CONNECTIONS 4u

/* Internal functions */

static struct object_store *
load_store (struct event_base *base, const struct settings *settings)
{
  if (settings->platform.address.len == 0)
    return NULL;
  return object_store_create_http (base, settings->platform.address,
                                   (uint16_t)settings->platform.port,
                                   STORE_CONNECTIONS);
}

static const struct control_component_ops *const components[]
    = { &control_static_ops, &control_gossip_ops, &control_config_ops,
        &control_shard_ops, NULL };

/* State */

const struct deployment_ops deployment_native
    = { .name = "native",
        .dialect = &http_dialect_native,
        .rate = &rate_limit_grants,
        .components = components,
        .load_store = load_store,
        .config_key = STR_LIT ("inventory"),
        .load_config = inventory_json_load };
