/* control_static: component of the control thread that loads the configuration
   from a file, for use without a platform.  */

#include "control_static.h"

#include "inventory_json.h"

/* Internal functions */

static bool
load_inventory (struct control *c, GError **error)
{
  char *path = str_dup_cstr (c->settings->inventory_file);
  struct inventory loaded;
  struct str_buf problems = { 0 };
  char *text;
  gsize len;
  bool ok = g_file_get_contents (path, &text, &len, error);

  g_free (path);
  if (!ok)
    return false;
  ok = inventory_json_load (&loaded, (struct str){ len, text }, error);
  g_free (text);
  if (!ok)
    return false;
  if (inventory_validate (&loaded, &problems) > 0)
    {
      g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID, "%s",
                   problems.data);
      str_reset (&problems);
      inventory_close (&loaded);
      return false;
    }
  inventory_close (&c->inventory);
  c->inventory = loaded;
  control_set_config_changed (c);
  return true;
}

/* With a configuration file no key can be revoked at run time.  Routes that
   require a key are therefore served without evidence that the configuration
   is current.  */
static bool
init_component (struct control *c, GError **error)
{
  if (c->settings->inventory_file.len == 0)
    return true;
  atomic_store (&c->shared->keyed_routes_until_us, INT64_MAX);
  return load_inventory (c, error);
}

static void
close_component (struct control *c)
{
}

/* Without gossip, publishes the backend server beside this daemon as the only
   endpoint while it accepts requests.  */
static void
run_component (struct control *c, int64_t now_us)
{
  struct snapshot_endpoint own
      = { .member = c->shared->member,
          .address = c->settings->address,
          .peer_port = (uint16_t)c->settings->ports.peer,
          .domain = (uint32_t)str_hash (c->settings->failure_domain),
          .service = c->backend.service,
          .announced_us = now_us };
  bool serving = c->backend_state == CONTROL_BACKEND_SERVING;

  if (c->control_gossip == NULL && serving != (c->endpoints->len > 0))
    control_set_endpoints (c, &own, serving);
}

/* State */

const struct control_component_ops control_static_ops
    = { .name = "static",
        .init = init_component,
        .close = close_component,
        .run = run_component };
