/* registry_config: reads the configuration from the store and from other
   daemons.

   The store is the platform's object store.  The deployment defines the key
   and the format of the configuration object in it.  */

#include "registry_config.h"

#include "clock.h"
#include "deployment.h"
#include "logger.h"
#include "registry_era.h"

/* Constants */

#define CALL_TIMEOUT_US (INT64_C (1) * CLOCK_US_PER_S)
/* A watch is one call, however long it waits, and the TCP keep-alive probes of
   its connection detect a peer that no longer answers.  */
#define WATCH_WAIT_US (INT64_C (30) * CLOCK_US_PER_S)
#define WATCH_TIMEOUT_US (WATCH_WAIT_US + INT64_C (2) * CLOCK_US_PER_S)
/* Delay after failed calls, doubled up to the maximum: a daemon that the store
   rejects calls it at most once a second.  */
#define RETRY_MIN_US (INT64_C (100) * CLOCK_US_PER_MS)
#define RETRY_MAX_US (INT64_C (1) * CLOCK_US_PER_S)
#define RETRY_DOUBLINGS_MAX 4u
/* A watcher requests a new configuration from a peer only after this time, in
   which its own watch normally delivers it.  */
#define WATCHER_DELAY_US (INT64_C (150) * CLOCK_US_PER_MS)
/* Other daemons wait only until several members have announced the new
   configuration, so that their requests are spread.  */
#define PEER_CONFIG_DELAY_US (INT64_C (10) * CLOCK_US_PER_MS)
#define PEER_CONFIG_RETRY_US (INT64_C (300) * CLOCK_US_PER_MS)
/* If no peer delivers a newer configuration within this time, it is read from
   the store.  */
#define PEER_CONFIG_TIMEOUT_US (INT64_C (1) * CLOCK_US_PER_S)

/* Internal functions */

/* Sets the rate limits of the workspaces.  From the first configuration on,
   keyed routes, those that require an API key, are served without a time
   limit: unlike control_gossip, this component needs no evidence that the
   configuration is current.  */
static void
apply_limits (struct control *c, int64_t now_us)
{
  const struct table *t = &c->inventory.tables[INVENTORY_WORKSPACE];
  struct daemon_context *shared = c->shared;
  struct inventory_workspace *w;

  g_mutex_lock (&shared->quota_mutex);
  rate_share_begin_update (&shared->rate_shares);
  for (uint64_t id = table_next (t, 0, (void **)&w); id != 0;
       id = table_next (t, id, (void **)&w))
    rate_share_set_limit (&shared->rate_shares, w->name, w->rate_per_s,
                          w->burst, now_us);
  rate_share_end_update (&shared->rate_shares);
  g_mutex_unlock (&shared->quota_mutex);
  c->control_registry->owners_digest = 0;
  atomic_store (&shared->rate_limited, true);
  atomic_store (&shared->keyed_routes_until_us, INT64_MAX);
}

static int64_t
get_retry_us (uint32_t failures)
{
  uint32_t doublings = MIN (failures, RETRY_DOUBLINGS_MAX);

  return MIN (RETRY_MIN_US << doublings, RETRY_MAX_US);
}

static void
record_config_failure (struct control *c, enum err_kind error)
{
  struct control_registry *cr = c->control_registry;

  if (cr->config_failures++ == 0)
    {
      /* The others choose another watcher by the next state.  */
      cr->next_state_us = 0;
      LOGGER_WRITE (
          LOGGER_WARNING, "store_lost",
          LOGGER_TEXT ("error", str_from_cstr (err_get_answer (error)->name)));
    }
  cr->config_retry_us = clock_now_us () + get_retry_us (cr->config_failures);
}

static void
record_config_success (struct control_registry *cr)
{
  if (cr->config_failures > 0)
    LOGGER_WRITE (LOGGER_INFO, "store_regained",
                  LOGGER_NUMBER ("failures", cr->config_failures));
  cr->config_failures = 0;
}

static void
apply_objects (struct control *c, const struct object_store_answer *a)
{
  for (uint32_t i = 0; i < a->objects_len; i++)
    if (!a->objects[i].deleted
        && str_equal (a->objects[i].key, c->shared->deployment->config_key))
      registry_config_apply (c, a->objects[i].value, "store");
}

/* The object is read by a list call, since a watch has to start at the version
   of a list: the store has possibly dropped the history since the version of
   the object itself.  */
static void
on_config_got (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;

  cr->read_pending = false;
  if (!registry_era_accept (c, a, STORE_ERA_ANY))
    return;
  if (a->error != ERR_NONE)
    {
      record_config_failure (c, a->error);
      return;
    }
  record_config_success (cr);
  cr->needs_read = false;
  cr->store_version = a->version;
  cr->era.config_era = cr->era.store.seen;
  apply_objects (c, a);
  /* A revision that the store does not have, or that cannot be applied, must
     not cause one read after the other.  */
  cr->newer_seen_us = clock_now_us ();
}

static void
on_config_watched (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;

  cr->read_pending = false;
  if (!registry_era_accept (c, a, cr->era.config_era))
    {
      cr->needs_read = true;
      return;
    }
  if (a->error == ERR_STORE_CONFLICT)
    {
      /* The store no longer has the history since that version.  */
      cr->needs_read = true;
      return;
    }
  if (a->error != ERR_NONE)
    {
      /* An interrupted watch does no harm.  The object is read again, since
         the store has possibly dropped the changes made meanwhile.  */
      cr->needs_read = true;
      record_config_failure (c, a->error);
      return;
    }
  record_config_success (cr);
  cr->store_version = MAX (cr->store_version, a->version);
  apply_objects (c, a);
}

static uint64_t
get_own_revision (const struct control *c)
{
  return c->control_registry->config.len > 0 ? c->inventory.revision : 0;
}

/* Returns true if no peer has delivered the newest known configuration in
   time.  */
static bool
is_peer_late (const struct control *c, int64_t now_us)
{
  const struct control_registry *cr = c->control_registry;

  return cr->newer_revision > get_own_revision (c)
         && now_us - cr->newer_seen_us > PEER_CONFIG_TIMEOUT_US;
}

/* Public functions */

void
registry_config_choose_watchers (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  bool watching = cr->join_failed;

  /* Before the daemons were listed, this one does not know its rank.  */
  if (cr->listed)
    watching = daemon_registry_is_watcher (&cr->registry,
                                           c->settings->member_id, now_us);
  if (watching == cr->watching)
    return;
  cr->watching = watching;
  LOGGER_WRITE (LOGGER_INFO, "watching_changed",
                LOGGER_NUMBER ("watching", watching),
                LOGGER_NUMBER ("members", cr->registry.members.count + 1));
}

void
registry_config_apply (struct control *c, struct str bytes, const char *source)
{
  struct control_registry *cr = c->control_registry;
  bool from_store = strcmp (source, "store") == 0;
  struct inventory loaded;
  GError *error = NULL;

  if (!c->shared->deployment->load_config (&loaded, bytes, &error))
    {
      LOGGER_WRITE (LOGGER_ERROR, "configuration_invalid",
                    LOGGER_TEXT ("source", str_from_cstr (source)),
                    LOGGER_TEXT ("reason", str_from_cstr (error->message)));
      g_error_free (error);
      return;
    }
  if (cr->config.len > 0 && loaded.revision <= c->inventory.revision)
    {
      inventory_close (&loaded);
      return;
    }
  if (from_store && registry_era_hold_config (c, bytes, loaded.revision))
    {
      inventory_close (&loaded);
      return;
    }
  inventory_close (&c->inventory);
  c->inventory = loaded;
  str_free (&cr->config);
  cr->config = str_copy (bytes);
  apply_limits (c, clock_now_us ());
  control_set_config_changed (c);
  cr->next_state_us = 0;
  LOGGER_WRITE (LOGGER_INFO, "configuration_applied",
                LOGGER_NUMBER ("revision", (int64_t)c->inventory.revision),
                LOGGER_TEXT ("source", str_from_cstr (source)));
}

void
registry_config_read (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct str key = c->shared->deployment->config_key;
  struct object_store_call call
      = { .timeout_us = CALL_TIMEOUT_US, .done = on_config_got, .data = c };

  if (cr->store == NULL || cr->read_pending || now_us < cr->config_retry_us
      || c->shutting_down)
    return;
  if (is_peer_late (c, now_us))
    cr->needs_read = true;
  else if (!cr->watching)
    return;
  cr->read_pending = true;
  if (cr->needs_read)
    {
      cr->store->ops->list (cr->store, key, STR_EMPTY, true, &call);
      return;
    }
  call.timeout_us = WATCH_TIMEOUT_US;
  call.done = on_config_watched;
  cr->store->ops->watch (
      cr->store, key, cr->store_version,
      store_era_get_watch_wait (&cr->era.store, c->settings->member_id,
                                cr->era.watches++, WATCH_WAIT_US),
      true, &call);
}

void
registry_config_record (struct control *c,
                        const struct daemon_registry_state *state)
{
  struct control_registry *cr = c->control_registry;
  uint64_t own = get_own_revision (c);

  if (state->revision <= own || state->revision <= cr->newer_revision)
    return;
  cr->newer_revision = state->revision;
  cr->newer_seen_us = clock_now_us ();
  cr->newer_request_us = cr->newer_seen_us;
  if (own > 0)
    cr->newer_request_us
        += cr->watching ? WATCHER_DELAY_US : PEER_CONFIG_DELAY_US;
}

void
registry_config_request (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  const struct daemon_registry_member *m;
  struct wire_registry_message message
      = { .type = WIRE_REGISTRY_CONFIG_REQUEST };
  struct str_buf out = { 0 };

  if (cr->newer_revision <= get_own_revision (c)
      || now_us < cr->newer_request_us)
    return;
  m = daemon_registry_find_revision (
      &cr->registry, cr->newer_revision, c->settings->failure_domain,
      (uint32_t)(c->shared->member ^ (uint64_t)now_us), now_us);
  cr->newer_request_us = now_us + PEER_CONFIG_RETRY_US;
  if (m == NULL)
    {
      cr->newer_revision = 0;
      return;
    }
  wire_registry_append (&out, &message);
  control_send (c, m->state.member, m->state.address, m->state.control_port,
                str_view (&out));
  str_reset (&out);
}

void
registry_config_send (struct control *c, uint64_t link)
{
  struct control_registry *cr = c->control_registry;
  struct wire_registry_message m = { .type = WIRE_REGISTRY_CONFIG };
  struct str_buf out = { 0 };

  if (cr->config.len == 0)
    return;
  m.u.config.revision = c->inventory.revision;
  m.u.config.bytes = cr->config;
  wire_registry_append (&out, &m);
  control_reply (c, link, str_view (&out));
  str_reset (&out);
}
