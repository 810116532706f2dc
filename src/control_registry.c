/* control_registry: the component that connects daemon_registry, rate_share
   and object_store to the control thread.

   An endpoint is a daemon to whose backend server requests may be sent.  */

#include "control_registry.h"

#include "clock.h"
#include "deployment.h"
#include "json_field.h"
#include "logger.h"
#include "registry_config.h"
#include "registry_era.h"
#include "registry_evacuation.h"
#include "registry_stops.h"
#include "tcp_socket.h"

/* Constants */

#define CALL_TIMEOUT_US (INT64_C (1) * CLOCK_US_PER_S)
#define JOIN_RETRY_US (INT64_C (500) * CLOCK_US_PER_MS)
/* The first write after a success is tried again sooner, so that a stop whose
   first answer is lost is confirmed while its reporter waits.  The store
   answers within some milliseconds, and slow ones within 0.2 s.  */
#define FIRST_WRITE_TIMEOUT_US (INT64_C (300) * CLOCK_US_PER_MS)
#define FIRST_WRITE_RETRY_US (INT64_C (50) * CLOCK_US_PER_MS)
/* Members are checked for timeouts at this interval, one tick of the control
   thread; the timeout is 3 s or more.  */
#define CHECK_INTERVAL_US (INT64_C (50) * CLOCK_US_PER_MS)

/* Member id that no daemon has.  */
#define UNKNOWN_OWNER UINT64_MAX

/* Internal functions: joining the fleet */

void
control_registry_append_entry (struct str address, uint16_t port,
                               const struct backend_stops *stops,
                               struct str_buf *out)
{
  str_append_format (out, "{\"address\":\"%.*s\",\"port\":%d,\"stops\":",
                     STR_ARG (address), (int)port);
  backend_stops_append_json (stops, out);
  str_append_char (out, '}');
}

static void
make_own_key (const struct control *c, struct str_buf *out)
{
  str_append (out, CONTROL_REGISTRY_PREFIX);
  str_append (out, c->settings->member_id);
}

/* Parses {"address": IP, "port": NUMBER}; returns false if the text is
   anything else.  */
bool
control_registry_parse_entry (struct str text, struct str *address,
                              uint16_t *port)
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

/* Also used by registry_era.  */
void
control_registry_load_own (struct control *c,
                           const struct object_store_object *o)
{
  struct control_registry *cr = c->control_registry;
  struct str address;
  uint16_t port;

  cr->own_version = o->version;
  cr->era.own_era = cr->era.store.seen;
  cr->own_object_current = false;
  registry_stops_load_object (c, o->value);
  if (!control_registry_parse_entry (o->value, &address, &port))
    return;
  cr->own_object_current = str_equal (address, c->settings->address)
                           && port == settings_get_control_port (c->settings);
  str_free (&address);
}

static void
add_listed_daemon (struct control *c, const struct object_store_object *o)
{
  struct control_registry *cr = c->control_registry;
  struct str name
      = str_slice (o->key, CONTROL_REGISTRY_PREFIX.len, o->key.len);
  struct str address;
  uint16_t port;

  if (str_equal (name, c->settings->member_id))
    {
      control_registry_load_own (c, o);
      return;
    }
  if (!control_registry_parse_entry (o->value, &address, &port))
    {
      LOGGER_WRITE (LOGGER_WARNING, "daemon_object_invalid",
                    LOGGER_TEXT ("key", o->key));
      return;
    }
  daemon_registry_add (&cr->registry, name, address, port, clock_now_us ());
  str_free (&address);
}

static void
record_join_failure (struct control *c, enum err_kind error)
{
  struct control_registry *cr = c->control_registry;

  cr->join_retry_us = clock_now_us () + JOIN_RETRY_US;
  cr->members_changed = !cr->join_failed || cr->members_changed;
  cr->join_failed = true;
  str_free (&cr->listed_to);
  cr->listed_pages = 0;
  LOGGER_WRITE (
      LOGGER_WARNING, "entering_failed",
      LOGGER_TEXT ("error", str_from_cstr (err_get_answer (error)->name)));
}

/* Applies one page of the list.  A large fleet has several; daemons that join
   between two pages list this one, since its object is written first.  */
static void
on_listed (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;
  bool repeated = a->next.len > 0 && str_compare (a->next, cr->listed_to) <= 0;

  cr->call_pending = false;
  if (!registry_era_accept (c, a, cr->era.list_era))
    return;
  if (a->error != ERR_NONE || repeated)
    {
      record_join_failure (c, repeated ? ERR_PROTOCOL : a->error);
      return;
    }
  for (uint32_t i = 0; i < a->objects_len; i++)
    add_listed_daemon (c, &a->objects[i]);
  cr->listed_pages++;
  str_free (&cr->listed_to);
  cr->listed_to = str_copy (a->next);
  if (a->next.len > 0)
    return;
  cr->join_failed = false;
  cr->listed = true;
  registry_era_set_listed (c);
  cr->members_changed = true;
  cr->next_state_us = 0;
  registry_stops_publish (c);
  cr->phase = cr->own_object_current && !cr->stops_unsaved
                  ? CONTROL_REGISTRY_JOINED
                  : CONTROL_REGISTRY_WRITING;
  LOGGER_WRITE (LOGGER_INFO, "fleet_listed",
                LOGGER_NUMBER ("daemons", cr->registry.members.count),
                LOGGER_NUMBER ("pages", cr->listed_pages));
  cr->listed_pages = 0;
}

/* The store has possibly applied the write: the object is read again.  */
static void
record_write_failure (struct control *c, enum err_kind error)
{
  struct control_registry *cr = c->control_registry;

  record_join_failure (c, error);
  if (cr->write_failures++ == 0)
    cr->join_retry_us = clock_now_us () + FIRST_WRITE_RETRY_US;
  if (error == ERR_STORE_OUTCOME_UNKNOWN)
    cr->phase = CONTROL_REGISTRY_LISTING;
}

/* After the first write of its address a daemon lists the others again, so
   that of two daemons that join at the same time at least one sees the other.
   A conflict shows that an earlier write was applied whose answer was lost, so
   the object is read again.  */
static void
on_written (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;
  bool listed = cr->own_object_current;

  cr->call_pending = false;
  if (!registry_era_accept (c, a, cr->era.write_era))
    return;
  switch (a->error)
    {
    case ERR_NONE:
      cr->own_version = a->version;
      cr->era.own_era = cr->era.store.seen;
      cr->own_object_current = true;
      registry_stops_end_put (c);
      cr->phase = listed ? CONTROL_REGISTRY_JOINED : CONTROL_REGISTRY_LISTING;
      break;
    case ERR_NOT_FOUND: /* the object was removed */
      cr->own_version = 0;
      cr->own_object_current = false;
      break;
    case ERR_STORE_CONFLICT:
      cr->phase = CONTROL_REGISTRY_LISTING;
      break;
    default:
      record_write_failure (c, a->error);
      return;
    }
  cr->write_failures = 0;
  if (cr->phase != CONTROL_REGISTRY_JOINED)
    return;
  cr->join_failed = false;
  registry_stops_publish (c);
}

/* The write is conditional: one whose answer was lost may still be applied
   later, and must not replace a later list of stops.  */
static void
write_own_object (struct control *c, const struct object_store_call *call)
{
  struct control_registry *cr = c->control_registry;
  struct str_buf key = { 0 };
  struct str_buf value = { 0 };

  make_own_key (c, &key);
  control_registry_append_entry (
      c->settings->address, (uint16_t)settings_get_control_port (c->settings),
      &cr->stops, &value);
  registry_stops_begin_put (c);
  cr->era.write_era = cr->own_version > 0 ? cr->era.own_era : STORE_ERA_ANY;
  cr->store->ops->put (cr->store, str_view (&key), str_view (&value),
                       cr->own_version > 0 ? OBJECT_STORE_IF_VERSION
                                           : OBJECT_STORE_IF_ABSENT,
                       cr->own_version, call);
  str_reset (&key);
  str_reset (&value);
}

static void
join_fleet (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct object_store_call call
      = { .timeout_us = CALL_TIMEOUT_US, .done = on_listed, .data = c };

  if (cr->phase == CONTROL_REGISTRY_JOINED && cr->stops_unsaved)
    cr->phase = CONTROL_REGISTRY_WRITING;
  if (cr->store == NULL || cr->call_pending || now_us < cr->join_retry_us
      || cr->phase == CONTROL_REGISTRY_JOINED
      || (c->shutting_down && !cr->stops_unsaved))
    return;
  cr->call_pending = true;
  if (cr->phase == CONTROL_REGISTRY_CHECKING)
    {
      registry_era_check_own (c, &call);
      return;
    }
  cr->era.list_era
      = cr->listed_to.len > 0 ? cr->era.store.seen : STORE_ERA_ANY;
  if (cr->phase == CONTROL_REGISTRY_LISTING)
    {
      cr->store->ops->list (cr->store, CONTROL_REGISTRY_PREFIX, cr->listed_to,
                            true, &call);
      return;
    }
  call.done = on_written;
  if (cr->write_failures == 0)
    call.timeout_us = FIRST_WRITE_TIMEOUT_US;
  write_own_object (c, &call);
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
    .serving = c->backend_state == CONTROL_BACKEND_SERVING
               && registry_evacuation_is_known (c),
    .leaving = c->shutting_down,
    .store_failed = c->control_registry->config_failures > 0,
    .revision
    = c->control_registry->config.len > 0 ? c->inventory.revision : 0,
    .era = c->control_registry->era.store.seen,
    .entry_era = c->control_registry->era.entry_era,
    .store_restored = registry_era_is_restored (c, clock_now_us ()),
    .live = daemon_registry_count_live (&c->control_registry->registry,
                                        clock_now_us ()),
    .stops_known = c->control_registry->stops_known,
    .stops = c->control_registry->stops,
    .demands_len = MIN (demands->len, WIRE_REGISTRY_DEMANDS_MAX),
    .demands = (struct rate_share_demand *)demands->data
  };
  registry_evacuation_fill (c, state);
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
  uint32_t known = MAX (cr->registry.members.count + 1,
                        cr->era.partial ? cr->era.live_elsewhere : 0);

  cr->demands_changed = false;
  g_mutex_lock (&c->shared->quota_mutex);
  rate_share_clear_other_demands (shares);
  for (uint64_t id = table_next (&cr->registry.members, 0, (void **)&m);
       id != 0; id = table_next (&cr->registry.members, id, (void **)&m))
    for (uint32_t i = 0; i < m->state.demands_len; i++)
      rate_share_add_other_demand (shares, m->state.demands[i]);
  /* Until the daemons were listed, this daemon knows only some of them and
     keeps the assumed count, unless it already knows more.  */
  if (cr->listed || known > RATE_SHARE_MEMBERS_ASSUMED)
    rate_share_set_member_count (shares, known);
  g_mutex_unlock (&c->shared->quota_mutex);
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
  if (c->backend_state == CONTROL_BACKEND_SERVING && !c->shutting_down
      && registry_evacuation_is_known (c))
    g_array_append_val (found, own);
  registry_evacuation_filter (c, found);
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

/* Used while the fleet is known in part after a restore: a daemon that is not
   known owns the pool and grants its whole rate, so that nothing is left for
   an even share.  */
static uint64_t
find_unknown_owner (void *data, uint64_t hash)
{
  return UNKNOWN_OWNER;
}

static void
set_owners (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct owner_search search = { c, now_us };
  bool knows_fleet = registry_era_knows_fleet (c, now_us);
  uint64_t parts[]
      = { daemon_registry_get_owners_digest (&cr->registry, now_us),
          c->shared->rate_shares.members, cr->listed, knows_fleet };
  uint64_t digest
      = str_hash ((struct str){ sizeof parts, (const char *)parts });

  if (digest == cr->owners_digest)
    return;
  cr->owners_digest = digest;
  rate_share_set_owners (&c->shared->rate_shares,
                         knows_fleet  ? find_owner
                         : cr->listed ? find_unknown_owner
                                      : find_no_owner,
                         &search);
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
  cr->listed_to = STR_EMPTY;
  cr->era.config_held = STR_EMPTY;
  cr->needs_read = true;
  cr->evacuation.needs_list = true;
  /* Daemons that start together write first, so that each list has those that
     wrote before.  */
  if (c->settings->first_start)
    cr->phase = CONTROL_REGISTRY_WRITING;
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
  backend_stops_close (&cr->stops);
  backend_stops_close (&cr->stored);
  backend_stops_close (&cr->written);
  registry_era_close (c);
  evacuation_close (&cr->evacuation.known_set);
  str_free (&cr->config);
  str_free (&cr->listed_to);
  g_free (cr);
  c->control_registry = NULL;
}

static bool
on_frame (struct control *c, uint64_t link, uint32_t type, struct str frame)
{
  struct control_registry *cr = c->control_registry;
  struct wire_registry_message m;
  bool known;

  if (type < WIRE_REGISTRY_STATE || type > WIRE_REGISTRY_STOPS
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
      registry_era_record (c, &m.u.state);
      /* The stops come before the state: a daemon that starts waits for the
         state.  */
      registry_stops_send (c, &m.u.state);
      if (!known
          && daemon_registry_find (&cr->registry, m.u.state.member) != NULL)
        send_state_to (c, &m.u.state);
      registry_config_record (c, &m.u.state);
      registry_evacuation_record (c, &m.u.state);
      break;
    case WIRE_REGISTRY_CONFIG_REQUEST:
      registry_config_send (c, link);
      break;
    case WIRE_REGISTRY_CONFIG:
      registry_config_apply (c, m.u.config.bytes, "peer");
      break;
    case WIRE_REGISTRY_TOKEN_REQUEST:
      answer_token_request (c, link, &m.u.token_request);
      break;
    case WIRE_REGISTRY_GRANT:
      apply_grant (c, &m.u.grant);
      break;
    case WIRE_REGISTRY_STOPS:
      registry_stops_receive (c, &m.u.stops);
      break;
    }
  wire_registry_unload (&m);
  return true;
}

static void
on_message (struct control *c, const struct thread_message *message)
{
  if (message->kind == THREAD_MESSAGE_STOP)
    registry_stops_record (c, message);
}

static void
run_component (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  bool measured;
  bool report_due;
  bool check;

  registry_era_run (c, now_us);
  join_fleet (c, now_us);
  registry_stops_run (c, now_us);
  registry_config_read (c, now_us);
  registry_config_request (c, now_us);
  registry_evacuation_run (c, now_us);
  announce_own_changes (c);
  check = cr->members_changed || now_us >= cr->next_check_us;
  if (check)
    {
      daemon_registry_run (&cr->registry, now_us);
      registry_config_choose_watchers (c, now_us);
    }
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
  json_builder_set_member_name (b, "watching");
  json_builder_add_boolean_value (b, cr->watching);
  json_builder_set_member_name (b, "store_failures");
  json_builder_add_int_value (b, cr->config_failures);
  registry_era_append_status (c, b);
}

/* State */

const struct control_component_ops control_registry_ops
    = { .name = "registry",
        .init = init_component,
        .close = close_component,
        .on_frame = on_frame,
        .on_message = on_message,
        .run = run_component,
        .append_status = append_status };
