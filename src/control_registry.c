/* control_registry: the component that connects daemon_registry, rate_share
   and object_store to the control thread.

   The store is the platform's object store.  The deployment defines the key
   and the format of the configuration object in it.  An endpoint is a daemon
   to whose backend server requests may be sent.  */

#include "control_registry.h"

#include "clock.h"
#include "deployment.h"
#include "json_field.h"
#include "logger.h"
#include "tcp_socket.h"
#include "wire_registry.h"

/* Constants */

#define DAEMONS_PREFIX STR_LIT ("almondvale-daemons/")
#define CALL_TIMEOUT_US (INT64_C (1) * CLOCK_US_PER_S)
/* A watch is one call, however long it waits, and the TCP keep-alive probes of
   its connection detect a peer that no longer answers.  */
#define WATCH_WAIT_US (INT64_C (20) * CLOCK_US_PER_S)
#define WATCH_TIMEOUT_US (WATCH_WAIT_US + INT64_C (2) * CLOCK_US_PER_S)
/* Delay after failed calls, doubled up to the maximum: a daemon that the store
   rejects calls it at most once a second.  */
#define RETRY_MIN_US (INT64_C (100) * CLOCK_US_PER_MS)
#define RETRY_MAX_US (INT64_C (1) * CLOCK_US_PER_S)
#define RETRY_DOUBLINGS_MAX 4u
/* A new configuration is requested from a peer only after this time, in which
   the daemon's own watch normally delivers it.  */
#define PEER_CONFIG_DELAY_US (INT64_C (150) * CLOCK_US_PER_MS)
#define PEER_CONFIG_RETRY_US (INT64_C (500) * CLOCK_US_PER_MS)

/* Members are checked for timeouts at this interval, one tick of the control
   thread; the timeout is 3 s or more.  */
#define CHECK_INTERVAL_US (INT64_C (50) * CLOCK_US_PER_MS)

/* Internal functions: configuration */

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

/* Applies a configuration if it is newer than the one in effect.  */
static void
apply_config (struct control *c, struct str bytes, const char *source)
{
  struct control_registry *cr = c->control_registry;
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
    LOGGER_WRITE (
        LOGGER_WARNING, "store_lost",
        LOGGER_TEXT ("error", str_from_cstr (err_get_answer (error)->name)));
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
      apply_config (c, a->objects[i].value, "store");
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
  if (a->error != ERR_NONE)
    {
      record_config_failure (c, a->error);
      return;
    }
  record_config_success (cr);
  cr->needs_read = false;
  cr->store_version = a->version;
  apply_objects (c, a);
}

static void
on_config_watched (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;

  cr->read_pending = false;
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

static void
read_config (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct str key = c->shared->deployment->config_key;
  struct object_store_call call
      = { .timeout_us = CALL_TIMEOUT_US, .done = on_config_got, .data = c };

  if (cr->store == NULL || cr->read_pending || now_us < cr->config_retry_us
      || c->shutting_down)
    return;
  cr->read_pending = true;
  if (cr->needs_read)
    {
      cr->store->ops->list (cr->store, key, STR_EMPTY, true, &call);
      return;
    }
  call.timeout_us = WATCH_TIMEOUT_US;
  call.done = on_config_watched;
  cr->store->ops->watch (cr->store, key, cr->store_version, WATCH_WAIT_US,
                         true, &call);
}

/* Internal functions: joining the fleet */

static void
append_own_object (const struct control *c, struct str_buf *out)
{
  str_append_format (out, "{\"address\":\"%.*s\",\"port\":%d}",
                     STR_ARG (c->settings->address),
                     (int)settings_get_control_port (c->settings));
}

static void
make_own_key (const struct control *c, struct str_buf *out)
{
  str_append (out, DAEMONS_PREFIX);
  str_append (out, c->settings->member_id);
}

/* Parses {"address": IP, "port": NUMBER}; returns false if the text is
   anything else.  */
static bool
parse_daemon_object (struct str text, struct str *address, uint16_t *port)
{
  JsonNode *root = json_field_parse_object (text);
  JsonObject *o = root != NULL ? json_node_get_object (root) : NULL;
  struct sockaddr_storage storage;
  struct str found;
  int64_t number;
  int len;
  bool ok
      = o != NULL && json_field_get_text (o, "address", &found)
        && json_field_get_number (o, "port", 1, UINT16_MAX, &number)
        && tcp_socket_parse_address (found, (uint16_t)number, &storage, &len);

  if (ok)
    {
      *address = str_copy (found);
      *port = (uint16_t)number;
    }
  if (root != NULL)
    json_node_unref (root);
  return ok;
}

static void
add_listed_daemon (struct control *c, const struct object_store_object *o)
{
  struct control_registry *cr = c->control_registry;
  struct str name = str_slice (o->key, DAEMONS_PREFIX.len, o->key.len);
  struct str address;
  uint16_t port;

  if (!parse_daemon_object (o->value, &address, &port))
    {
      LOGGER_WRITE (LOGGER_WARNING, "daemon_object_invalid",
                    LOGGER_TEXT ("key", o->key));
      return;
    }
  if (!str_equal (name, c->settings->member_id))
    daemon_registry_add (&cr->registry, name, address, port, clock_now_us ());
  else if (str_equal (address, c->settings->address)
           && port == settings_get_control_port (c->settings))
    cr->own_object_current = true;
  str_free (&address);
}

static void
record_join_failure (struct control *c, enum err_kind error)
{
  c->control_registry->join_retry_us = clock_now_us () + RETRY_MAX_US / 2;
  LOGGER_WRITE (
      LOGGER_WARNING, "entering_failed",
      LOGGER_TEXT ("error", str_from_cstr (err_get_answer (error)->name)));
}

static void
on_listed (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;

  cr->call_pending = false;
  if (a->error != ERR_NONE)
    {
      record_join_failure (c, a->error);
      return;
    }
  for (uint32_t i = 0; i < a->objects_len; i++)
    add_listed_daemon (c, &a->objects[i]);
  cr->listed = true;
  cr->members_changed = true;
  cr->next_state_us = 0;
  cr->phase = cr->own_object_current ? CONTROL_REGISTRY_JOINED
                                     : CONTROL_REGISTRY_WRITING;
  LOGGER_WRITE (LOGGER_INFO, "fleet_listed",
                LOGGER_NUMBER ("daemons", a->objects_len));
}

/* The daemons are listed again after the own object was written, so that of
   two daemons that join at the same time at least one sees the other.  */
static void
on_written (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;

  cr->call_pending = false;
  if (a->error != ERR_NONE)
    {
      record_join_failure (c, a->error);
      return;
    }
  cr->own_object_current = true;
  cr->phase = CONTROL_REGISTRY_LISTING;
}

static void
join_fleet (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct object_store_call call
      = { .timeout_us = CALL_TIMEOUT_US, .done = on_listed, .data = c };
  struct str_buf key = { 0 };
  struct str_buf value = { 0 };

  if (cr->store == NULL || cr->call_pending || now_us < cr->join_retry_us
      || cr->phase == CONTROL_REGISTRY_JOINED || c->shutting_down)
    return;
  cr->call_pending = true;
  if (cr->phase == CONTROL_REGISTRY_LISTING)
    {
      cr->store->ops->list (cr->store, DAEMONS_PREFIX, STR_EMPTY, true, &call);
      return;
    }
  call.done = on_written;
  make_own_key (c, &key);
  append_own_object (c, &value);
  cr->store->ops->put (cr->store, str_view (&key), str_view (&value),
                       OBJECT_STORE_ANY, 0, &call);
  str_reset (&key);
  str_reset (&value);
}

/* Internal functions: state messages */

/* Fills a state message of this daemon, whose demands are views of `demands`.
   `renew` first updates the demands that this daemon reports.  */
static void
fill_state (const struct control *c, bool renew,
            struct daemon_registry_state *state, GArray *demands)
{
  const struct settings *s = c->settings;
  struct daemon_context *shared = c->shared;

  g_mutex_lock (&shared->quota_mutex);
  if (renew)
    rate_share_update_reported_demands (&shared->rate_shares);
  rate_share_append_demands (&shared->rate_shares, demands);
  g_mutex_unlock (&shared->quota_mutex);
  *state = (struct daemon_registry_state){
    .member = shared->member,
    .started_ms = shared->started_ms,
    .name = s->member_id,
    .address = s->address,
    .peer_port = settings_get_peer_port (s),
    .control_port = settings_get_control_port (s),
    .domain = s->failure_domain,
    .service = c->backend.service,
    .serving = c->backend_state == CONTROL_BACKEND_SERVING,
    .leaving = c->shutting_down,
    .revision
    = c->control_registry->config.len > 0 ? c->inventory.revision : 0,
    .demands_len = MIN (demands->len, WIRE_REGISTRY_DEMANDS_MAX),
    .demands = (struct rate_share_demand *)demands->data
  };
}

static void
append_state (const struct control *c, bool renew, struct str_buf *out)
{
  GArray *demands
      = g_array_new (FALSE, FALSE, sizeof (struct rate_share_demand));
  struct wire_registry_message m = { .type = WIRE_REGISTRY_STATE };

  fill_state (c, renew, &m.u.state, demands);
  wire_registry_append (out, &m);
  g_array_unref (demands);
}

/* Sends the own state to a daemon whose first state has just arrived.  */
static void
send_state_to (struct control *c, const struct daemon_registry_state *to)
{
  struct str_buf out = { 0 };

  append_state (c, false, &out);
  control_send (c, to->member, to->address, to->control_port, str_view (&out));
  str_reset (&out);
}

static void
broadcast_state (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct str_buf out = { 0 };
  struct daemon_registry_member *member;

  cr->next_state_us = now_us + daemon_registry_get_interval (&cr->registry);
  append_state (c, true, &out);
  for (uint64_t id = table_next (&cr->registry.members, 0, (void **)&member);
       id != 0; id = table_next (&cr->registry.members, id, (void **)&member))
    control_send (c, member->state.member, member->state.address,
                  member->state.control_port, str_view (&out));
  str_reset (&out);
}

/* Makes the next state due immediately after a change of the backend server
   and at the start of the shutdown.  */
static void
announce_own_changes (struct control *c)
{
  struct control_registry *cr = c->control_registry;

  if (cr->backend_changes == c->backend_changes
      && cr->leaving_announced == c->shutting_down)
    return;
  cr->backend_changes = c->backend_changes;
  cr->leaving_announced = c->shutting_down;
  cr->registry.self_leaving = c->shutting_down;
  cr->members_changed = true;
  cr->next_state_us = 0;
}

static void
apply_demands (struct control *c)
{
  struct control_registry *cr = c->control_registry;
  struct rate_share_set *shares = &c->shared->rate_shares;
  struct daemon_registry_member *m;

  cr->demands_changed = false;
  g_mutex_lock (&c->shared->quota_mutex);
  rate_share_clear_other_demands (shares);
  for (uint64_t id = table_next (&cr->registry.members, 0, (void **)&m);
       id != 0; id = table_next (&cr->registry.members, id, (void **)&m))
    for (uint32_t i = 0; i < m->state.demands_len; i++)
      rate_share_add_other_demand (shares, m->state.demands[i]);
  /* Until the daemons were listed, this daemon knows only some of them and
     keeps the assumed count, unless it already knows more.  */
  if (cr->listed
      || cr->registry.members.count + 1 > RATE_SHARE_MEMBERS_ASSUMED)
    rate_share_set_member_count (shares, cr->registry.members.count + 1);
  g_mutex_unlock (&c->shared->quota_mutex);
}

static void
record_newer_config (struct control *c,
                     const struct daemon_registry_state *state)
{
  struct control_registry *cr = c->control_registry;
  uint64_t own = cr->config.len > 0 ? c->inventory.revision : 0;

  if (state->revision <= own || state->revision <= cr->newer_revision)
    return;
  cr->newer_revision = state->revision;
  cr->newer_member = state->member;
  cr->newer_request_us
      = clock_now_us () + (own > 0 ? PEER_CONFIG_DELAY_US : 0);
}

static void
request_newer_config (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  uint64_t own = cr->config.len > 0 ? c->inventory.revision : 0;
  const struct daemon_registry_member *m;
  struct wire_registry_message message
      = { .type = WIRE_REGISTRY_CONFIG_REQUEST };
  struct str_buf out = { 0 };

  if (cr->newer_revision <= own || now_us < cr->newer_request_us)
    return;
  m = daemon_registry_find (&cr->registry, cr->newer_member);
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

static void
send_config (struct control *c, uint64_t link)
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

static void
publish_endpoints (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  GArray *found
      = g_array_new (FALSE, FALSE, sizeof (struct snapshot_endpoint));
  struct snapshot_endpoint own
      = { .member = c->shared->member,
          .address = c->settings->address,
          .peer_port = (uint16_t)c->settings->ports.peer,
          .domain = (uint32_t)str_hash (c->settings->failure_domain),
          .service = c->backend.service,
          .announced_us = now_us };
  uint64_t digest = 1;

  daemon_registry_append_endpoints (&cr->registry, found, now_us);
  if (c->backend_state == CONTROL_BACKEND_SERVING && !c->shutting_down)
    g_array_append_val (found, own);
  for (guint i = 0; i < found->len; i++)
    {
      const struct snapshot_endpoint *e
          = &g_array_index (found, struct snapshot_endpoint, i);

      digest = digest * 31 + (e->member ^ str_hash (e->service));
    }
  if (digest != cr->endpoints_digest)
    {
      cr->endpoints_digest = digest;
      control_set_endpoints (c, (struct snapshot_endpoint *)found->data,
                             found->len);
      LOGGER_WRITE (LOGGER_INFO, "endpoints_changed",
                    LOGGER_NUMBER ("endpoints", found->len));
    }
  g_array_unref (found);
}

/* Internal functions: token pools, each the token bucket of a workspace whose
   burst is too small to be split among the daemons */

struct owner_search
{
  const struct control *c;
  int64_t now_us;
};

static uint64_t
find_owner (void *data, uint64_t hash)
{
  const struct owner_search *search = data;
  const struct control *c = search->c;

  return daemon_registry_get_owner (&c->control_registry->registry,
                                    c->settings->member_id, hash,
                                    search->now_us);
}

/* Used until the daemons were listed, since a daemon that is not known yet
   could be the owner.  */
static uint64_t
find_no_owner (void *data, uint64_t hash)
{
  return 0;
}

static void
set_owners (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct owner_search search = { c, now_us };
  uint64_t parts[]
      = { daemon_registry_get_owners_digest (&cr->registry, now_us),
          c->shared->rate_shares.members, cr->listed };
  uint64_t digest
      = str_hash ((struct str){ sizeof parts, (const char *)parts });

  if (digest == cr->owners_digest)
    return;
  cr->owners_digest = digest;
  rate_share_set_owners (
      &c->shared->rate_shares,
      c->control_registry->listed ? find_owner : find_no_owner, &search);
}

static void
wake_fronts (struct control *c)
{
  for (uint32_t i = 0; i < c->shared->fronts_len; i++)
    mailbox_wake (c->shared->fronts[i]);
}

static void
apply_grant (struct control *c, const struct wire_registry_grant *g)
{
  g_mutex_lock (&c->shared->quota_mutex);
  quota_apply_grant (&c->shared->quotas, g->workspace, g->granted,
                     RATE_SHARE_GRANT_VALIDITY_US, g->owner, g->sequence,
                     clock_now_us ());
  g_mutex_unlock (&c->shared->quota_mutex);
  wake_fronts (c);
}

static struct wire_registry_grant
grant_tokens (struct control *c,
              const struct wire_registry_token_request *request)
{
  struct wire_registry_grant g = { .sequence = request->sequence,
                                   .owner = c->shared->member,
                                   .workspace = request->workspace };

  g_mutex_lock (&c->shared->quota_mutex);
  if (rate_share_get_owner (&c->shared->rate_shares, request->workspace)
      == c->shared->member)
    g.granted = rate_share_grant (&c->shared->rate_shares, request->workspace,
                                  request->requested, request->returned,
                                  clock_now_us ());
  g_mutex_unlock (&c->shared->quota_mutex);
  return g;
}

static void
answer_token_request (struct control *c, uint64_t link,
                      const struct wire_registry_token_request *request)
{
  struct wire_registry_message m = { .type = WIRE_REGISTRY_GRANT };
  struct str_buf out = { 0 };

  m.u.grant = grant_tokens (c, request);
  wire_registry_append (&out, &m);
  control_reply (c, link, str_view (&out));
  str_reset (&out);
}

static void
send_token_request (struct control *c, uint64_t owner,
                    const struct wire_registry_token_request *request)
{
  struct wire_registry_message m = { .type = WIRE_REGISTRY_TOKEN_REQUEST };
  const struct daemon_registry_member *member
      = daemon_registry_find (&c->control_registry->registry, owner);
  struct wire_registry_grant own;
  struct str_buf out = { 0 };

  if (owner == c->shared->member)
    {
      own = grant_tokens (c, request);
      apply_grant (c, &own);
      return;
    }
  m.u.token_request = *request;
  wire_registry_append (&out, &m);
  if (member == NULL
      || !control_send (c, owner, member->state.address,
                        member->state.control_port, str_view (&out)))
    {
      g_mutex_lock (&c->shared->quota_mutex);
      quota_fail_token_request (&c->shared->quotas, request->workspace,
                                request->sequence, clock_now_us ());
      g_mutex_unlock (&c->shared->quota_mutex);
    }
  str_reset (&out);
}

/* Sends the pending token requests.  Unused tokens are returned only to the
   owner that granted them, whose member id is the epoch of the grant.  */
static void
send_token_requests (struct control *c, int64_t now_us)
{
  struct daemon_context *shared = c->shared;
  struct quota_token_request *row;
  uint64_t id;

  g_mutex_lock (&shared->quota_mutex);
  quota_run (&shared->quotas, now_us);
  while ((id = table_next (&shared->quotas.token_requests, 0, (void **)&row))
         != 0)
    {
      struct str workspace = str_copy (row->workspace);
      uint64_t owner = rate_share_get_owner (&shared->rate_shares, workspace);
      struct wire_registry_token_request request
          = { .sequence = row->sequence,
              .workspace = workspace,
              .requested = row->waiting + row->demand,
              .returned = row->returned_epoch == owner ? row->returned : 0 };

      table_remove (&shared->quotas.token_requests, id);
      g_mutex_unlock (&shared->quota_mutex);
      send_token_request (c, owner, &request);
      str_free (&workspace);
      g_mutex_lock (&shared->quota_mutex);
    }
  g_mutex_unlock (&shared->quota_mutex);
}

/* Internal functions: component */

static bool
init_component (struct control *c, GError **error)
{
  struct control_registry *cr = g_new0 (struct control_registry, 1);

  c->control_registry = cr;
  cr->config = STR_EMPTY;
  cr->needs_read = true;
  daemon_registry_init (&cr->registry, c->shared->member);
  cr->store = c->shared->deployment->load_store (c->loop.base, c->settings);
  return true;
}

static void
close_component (struct control *c)
{
  struct control_registry *cr = c->control_registry;

  if (cr == NULL)
    return;
  if (cr->store != NULL)
    cr->store->ops->unload (cr->store);
  daemon_registry_close (&cr->registry);
  str_free (&cr->config);
  g_free (cr);
  c->control_registry = NULL;
}

static bool
on_frame (struct control *c, uint64_t link, uint32_t type, struct str frame)
{
  struct control_registry *cr = c->control_registry;
  struct wire_registry_message m;
  bool known;

  if (type < WIRE_REGISTRY_STATE || type > WIRE_REGISTRY_GRANT
      || !wire_registry_load (&m, frame))
    return false;
  switch (m.type)
    {
    case WIRE_REGISTRY_STATE:
      if (m.u.state.demands_len > 0)
        cr->demands_changed = true;
      known = daemon_registry_find (&cr->registry, m.u.state.member) != NULL;
      if (daemon_registry_apply (&cr->registry, &m.u.state, clock_now_us ()))
        cr->members_changed = true;
      if (!known
          && daemon_registry_find (&cr->registry, m.u.state.member) != NULL)
        send_state_to (c, &m.u.state);
      record_newer_config (c, &m.u.state);
      break;
    case WIRE_REGISTRY_CONFIG_REQUEST:
      send_config (c, link);
      break;
    case WIRE_REGISTRY_CONFIG:
      apply_config (c, m.u.config.bytes, "peer");
      break;
    case WIRE_REGISTRY_TOKEN_REQUEST:
      answer_token_request (c, link, &m.u.token_request);
      break;
    case WIRE_REGISTRY_GRANT:
      apply_grant (c, &m.u.grant);
      break;
    }
  wire_registry_unload (&m);
  return true;
}

static void
run_component (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  bool measured;
  bool report_due;
  bool check;

  join_fleet (c, now_us);
  read_config (c, now_us);
  request_newer_config (c, now_us);
  announce_own_changes (c);
  check = cr->members_changed || now_us >= cr->next_check_us;
  if (check)
    daemon_registry_run (&cr->registry, now_us);
  g_mutex_lock (&c->shared->quota_mutex);
  measured = rate_share_run (&c->shared->rate_shares, now_us);
  if (check || measured)
    set_owners (c, now_us);
  report_due = measured && rate_share_is_report_due (&c->shared->rate_shares);
  g_mutex_unlock (&c->shared->quota_mutex);
  if (measured || cr->demands_changed)
    apply_demands (c);
  if (report_due)
    cr->next_state_us = 0;
  send_token_requests (c, now_us);
  if (now_us >= cr->next_state_us)
    broadcast_state (c, now_us);
  if (!check)
    return;
  publish_endpoints (c, now_us);
  cr->members_changed = false;
  cr->next_check_us = now_us + CHECK_INTERVAL_US;
}

static void
append_status (struct control *c, JsonBuilder *b)
{
  const struct control_registry *cr = c->control_registry;

  json_builder_set_member_name (b, "members");
  json_builder_add_int_value (b, (gint64)cr->registry.members.count + 1);
  json_builder_set_member_name (b, "store_failures");
  json_builder_add_int_value (b, cr->config_failures);
}

/* State */

const struct control_component_ops control_registry_ops
    = { .name = "registry",
        .init = init_component,
        .close = close_component,
        .on_frame = on_frame,
        .run = run_component,
        .append_status = append_status };
