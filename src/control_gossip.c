/* control_gossip: the component that connects member, gossip and freshness to
   the control thread.  */

#include "control_gossip.h"

#include "clock.h"
#include "control_config.h"
#include "logger.h"
#include "wire_control.h"

#include <arpa/inet.h>
#include <string.h>

/* Constants */

#define DATAGRAM_MAX_BYTES 2048
/* Limit of datagrams read in one event, so that a flood does not delay the
   rest of the control thread.  */
#define DATAGRAMS_PER_EVENT 256
#define ENDPOINTS_INTERVAL_US 250000

/* Internal functions: addresses */

static const unsigned char mapped_prefix[12]
    = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

static bool
parse_ip (struct str text, unsigned char ip[MEMBER_IP_BYTES])
{
  char *copy = str_dup_cstr (text);
  bool ok;

  memcpy (ip, mapped_prefix, sizeof mapped_prefix);
  ok = inet_pton (AF_INET, copy, ip + sizeof mapped_prefix) == 1
       || inet_pton (AF_INET6, copy, ip) == 1;
  g_free (copy);
  return ok;
}

static socklen_t
make_sockaddr (const struct member_address *a, struct sockaddr_storage *out)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)out;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

  memset (out, 0, sizeof *out);
  if (memcmp (a->ip, mapped_prefix, sizeof mapped_prefix) == 0)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (a->ports[MEMBER_PORT_CONTROL]);
      memcpy (&v4->sin_addr, a->ip + sizeof mapped_prefix, 4);
      return sizeof *v4;
    }
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons (a->ports[MEMBER_PORT_CONTROL]);
  memcpy (&v6->sin6_addr, a->ip, MEMBER_IP_BYTES);
  return sizeof *v6;
}

static void
read_sockaddr (const struct sockaddr_storage *from, struct member_address *a)
{
  struct sockaddr_in v4;
  struct sockaddr_in6 v6;

  memcpy (&v4, from, sizeof v4);
  memcpy (&v6, from, sizeof v6);
  memset (a, 0, sizeof *a);
  if (from->ss_family == AF_INET)
    {
      memcpy (a->ip, mapped_prefix, sizeof mapped_prefix);
      memcpy (a->ip + sizeof mapped_prefix, &v4.sin_addr, 4);
      a->ports[MEMBER_PORT_CONTROL] = ntohs (v4.sin_port);
      return;
    }
  memcpy (a->ip, &v6.sin6_addr, MEMBER_IP_BYTES);
  a->ports[MEMBER_PORT_CONTROL] = ntohs (v6.sin6_port);
}

/* Internal functions: datagrams */

static void
receive_datagram (struct control *c, struct str bytes,
                  const struct sockaddr_storage *from)
{
  struct control_gossip *cg = c->control_gossip;
  struct wire_control_message m;

  metrics_increment (c->shared->metric_rows.control_bytes_received, bytes.len);
  if (!wire_control_load_message (&m, bytes))
    {
      metrics_increment (c->shared->metric_rows.bad_frames, 1);
      return;
    }
  if (m.type == WIRE_PROBE || m.type == WIRE_ACK || m.type == WIRE_PROBE_REQ)
    {
      read_sockaddr (from, &m.u.datagram.address);
      gossip_receive (&cg->gossip, &m.u.datagram, clock_now_us ());
    }
  wire_control_unload_message (&m);
}

static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  for (int i = 0; i < DATAGRAMS_PER_EVENT; i++)
    {
      struct sockaddr_storage from = { 0 };
      socklen_t from_len = sizeof from;
      char buffer[DATAGRAM_MAX_BYTES];
      ssize_t len = recvfrom (fd, buffer, sizeof buffer, 0,
                              (struct sockaddr *)&from, &from_len);

      if (len < 0 || from_len < sizeof (struct sockaddr_in))
        return;
      receive_datagram (data, (struct str){ (size_t)len, buffer }, &from);
    }
}

static void
send_datagrams (struct control *c)
{
  struct control_gossip *cg = c->control_gossip;
  struct gossip_datagram *d;

  for (uint64_t id = table_next (&cg->gossip.out, 0, (void **)&d); id != 0;
       id = table_next (&cg->gossip.out, id, (void **)&d))
    {
      struct sockaddr_storage to;
      socklen_t to_len = make_sockaddr (&d->address, &to);
      struct str_buf out = { 0 };

      wire_control_append_datagram (&out, d);
      /* A datagram that cannot be sent is lost, as on the network.  */
      if (sendto (cg->socket, out.data, out.len, 0, (struct sockaddr *)&to,
                  to_len)
          > 0)
        metrics_increment (c->shared->metric_rows.control_bytes_sent, out.len);
      str_reset (&out);
      table_remove (&cg->gossip.out, id);
    }
}

/* Internal functions: exchanges over TCP */

static void
send_frame (struct control *c, uint64_t member,
            const struct member_address *address,
            const struct wire_control_message *m)
{
  struct str text = control_gossip_format_address (address);
  struct str_buf out = { 0 };
  uint16_t port = address->ports[MEMBER_PORT_CONTROL];

  /* If the member at a seed address is not known yet, a hash of the address
     identifies the link.  */
  if (member == 0)
    member = str_hash (text) ^ port;
  wire_control_append_frame (&out, m);
  control_send (c, member, text, port, str_view (&out));
  str_reset (&out);
  str_free (&text);
}

static void
send_syncs (struct control *c)
{
  struct control_gossip *cg = c->control_gossip;
  struct member_message *request;

  for (uint64_t id = table_next (&cg->members.out, 0, (void **)&request);
       id != 0; id = table_next (&cg->members.out, id, (void **)&request))
    {
      struct wire_control_message m = { .type = WIRE_SYNC_MEMBERS };

      m.u.sync.service_hash = request->type == MEMBER_SEND_SERVICE_QUERY
                                  ? request->service_hash
                                  : 0;
      m.u.sync.max_bytes = request->max_bytes;
      m.u.sync.window = request->window;
      memcpy (m.u.sync.digests,
              cg->members.digests
                  + (size_t)request->window * MEMBER_WINDOW_BUCKETS,
              sizeof m.u.sync.digests);
      send_frame (c, request->to, &request->address, &m);
      table_remove (&cg->members.out, id);
    }
}

static void
send_pulls (struct control *c)
{
  struct control_gossip *cg = c->control_gossip;
  struct gossip_pull *pull;

  for (uint64_t id = table_next (&cg->gossip.pulls, 0, (void **)&pull);
       id != 0; id = table_next (&cg->gossip.pulls, id, (void **)&pull))
    {
      struct wire_control_message m = { .type = WIRE_PULL_CHANGES };
      struct member_row *row = member_find (&cg->members, pull->to);

      m.u.pull.revision = pull->revision;
      if (row != NULL)
        send_frame (c, pull->to, &row->entry.address, &m);
      table_remove (&cg->gossip.pulls, id);
    }
}

static void
reply (struct control *c, uint64_t link, const struct wire_control_message *m)
{
  struct str_buf out = { 0 };

  wire_control_append_frame (&out, m);
  control_reply (c, link, str_view (&out));
  str_reset (&out);
}

static void
answer_sync (struct control *c, uint64_t link,
             const struct wire_sync_members *sync)
{
  struct control_gossip *cg = c->control_gossip;
  struct wire_control_message m = { .type = WIRE_MEMBERS };
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct member_entry));

  m.u.members.service_hash = sync->service_hash;
  m.u.members.complete = true;
  if (sync->service_hash != 0)
    member_answer_service_query (&cg->members, sync->service_hash, entries);
  else
    m.u.members.complete = member_answer_sync (
        &cg->members, sync->window, sync->digests, sync->max_bytes, entries);
  m.u.members.entries_len = entries->len;
  m.u.members.entries = (struct member_entry *)(void *)entries->data;
  reply (c, link, &m);
  g_array_unref (entries);
}

static void
merge_members (struct control *c, const struct wire_members *members)
{
  struct control_gossip *cg = c->control_gossip;
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct member_entry));

  g_array_append_vals (entries, members->entries, members->entries_len);
  if (members->service_hash != 0)
    member_merge_service_entries (&cg->members, entries, clock_now_us ());
  else
    member_merge_sync (&cg->members, entries, members->complete,
                       clock_now_us ());
  g_array_unref (entries);
}

static void
answer_pull (struct control *c, uint64_t link,
             const struct wire_pull_changes *pull)
{
  struct wire_control_message m = { .type = WIRE_CHANGES };
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct gossip_change));

  m.u.changes.available = gossip_answer_pull (&c->control_gossip->gossip,
                                              pull->revision, changes);
  m.u.changes.changes_len = changes->len;
  m.u.changes.changes = (struct gossip_change *)(void *)changes->data;
  reply (c, link, &m);
  g_array_unref (changes);
}

static void
add_changes (struct control *c, uint64_t link,
             const struct wire_changes *changes)
{
  for (uint32_t i = 0; i < changes->changes_len; i++)
    gossip_add_change (&c->control_gossip->gossip,
                       changes->changes[i].revision,
                       changes->changes[i].bytes);
  if (!changes->available)
    control_config_pull_snapshot (c, link);
}

static bool
on_frame (struct control *c, uint64_t link, uint32_t type, struct str frame)
{
  struct wire_control_message m;

  if (type < WIRE_SYNC_MEMBERS || type > WIRE_CHANGES)
    return false;
  if (!wire_control_load_message (&m, frame))
    return false;
  switch (m.type)
    {
    case WIRE_SYNC_MEMBERS:
      answer_sync (c, link, &m.u.sync);
      break;
    case WIRE_MEMBERS:
      merge_members (c, &m.u.members);
      break;
    case WIRE_PULL_CHANGES:
      answer_pull (c, link, &m.u.pull);
      break;
    case WIRE_CHANGES:
      add_changes (c, link, &m.u.changes);
      break;
    default:
      break;
    }
  wire_control_unload_message (&m);
  return true;
}

/* Internal functions: systems */

static void
announce_backend (struct control *c)
{
  static const enum member_backend states[]
      = { [CONTROL_BACKEND_NONE] = MEMBER_BACKEND_NONE,
          [CONTROL_BACKEND_SERVING] = MEMBER_BACKEND_SERVING,
          [CONTROL_BACKEND_DRAINING] = MEMBER_BACKEND_DRAINING,
          [CONTROL_BACKEND_LEAVING] = MEMBER_BACKEND_LEAVING };
  struct control_gossip *cg = c->control_gossip;

  if (cg->backend_changes != c->backend_changes)
    {
      cg->backend_changes = c->backend_changes;
      member_set_backend (&cg->members, states[c->backend_state],
                          c->backend.service, c->backend.slots);
    }
  if (c->listeners_stopped && !cg->leave_announced)
    {
      cg->leave_announced = true;
      member_leave (&cg->members);
    }
}

/* Makes this daemon query the ports and slots of the members of all services
   in the configuration.  */
static void
track_services (struct control *c)
{
  const struct table *services = &c->inventory.tables[INVENTORY_SERVICE];
  struct inventory_service *service;

  for (uint64_t id = table_next (services, 0, (void **)&service); id != 0;
       id = table_next (services, id, (void **)&service))
    member_track_service (&c->control_gossip->members, service->name);
}

static void
run_each_second (struct control *c, int64_t now_us)
{
  struct control_gossip *cg = c->control_gossip;

  if (now_us < cg->next_second_us)
    return;
  cg->next_second_us = now_us + CLOCK_US_PER_S;
  member_expire_rows (&cg->members, now_us);
  cg->watcher = member_is_watcher (&cg->members);
  track_services (c);
  metrics_set (c->shared->metric_rows.members, cg->members.alive);
}

/* Returns true if requests may be sent to the member's backend server.  */
static bool
is_endpoint (const struct member_row *row)
{
  return row->entry.full && row->entry.backend == MEMBER_BACKEND_SERVING
         && member_is_usable (row);
}

/* Returns the time at which this process of a member first was an endpoint
   here.  */
static int64_t
get_first_seen (struct control_gossip *cg, uint64_t member, int64_t now_us)
{
  int64_t *seen = g_hash_table_lookup (cg->first_seen, &member);
  uint64_t *key;

  if (seen != NULL)
    return *seen;
  key = g_new (uint64_t, 1);
  seen = g_new (int64_t, 1);
  *key = member;
  *seen = now_us;
  g_hash_table_insert (cg->first_seen, key, seen);
  return now_us;
}

static void
add_endpoint (struct control_gossip *cg, GArray *endpoints,
              const struct member_entry *entry, int64_t now_us)
{
  struct snapshot_endpoint e
      = { .member = control_gossip_get_process (entry->id, entry->incarnation),
          .address = control_gossip_format_address (&entry->address),
          .peer_port = entry->address.ports[MEMBER_PORT_PEER],
          .domain = entry->domain,
          .service = entry->service };

  e.announced_us = get_first_seen (cg, e.member, now_us);
  g_array_append_val (endpoints, e);
}

static uint64_t
get_endpoint_digest (const struct member_row *row)
{
  uint64_t parts[2]
      = { control_gossip_get_process (row->entry.id, row->entry.incarnation),
          row->entry.service_hash };

  return str_hash ((struct str){ sizeof parts, (const char *)parts });
}

/* Returns the sum of the endpoints' digests, by which an unchanged list is
   detected without allocating memory.  */
static uint64_t
sum_digests (const struct member_table *t)
{
  struct member_row *row;
  uint64_t sum = 1;

  for (uint64_t id = table_next (&t->rows, 0, (void **)&row); id != 0;
       id = table_next (&t->rows, id, (void **)&row))
    if (is_endpoint (row))
      sum += get_endpoint_digest (row);
  return sum;
}

static void
publish_endpoints (struct control *c, int64_t now_us)
{
  struct control_gossip *cg = c->control_gossip;
  GArray *endpoints;
  struct member_row *row;
  uint64_t digest;

  if (now_us < cg->next_endpoints_us)
    return;
  cg->next_endpoints_us = now_us + ENDPOINTS_INTERVAL_US;
  digest = sum_digests (&cg->members);
  if (digest == cg->endpoints_digest)
    return;
  cg->endpoints_digest = digest;
  endpoints = g_array_new (FALSE, FALSE, sizeof (struct snapshot_endpoint));
  for (uint64_t id = table_next (&cg->members.rows, 0, (void **)&row); id != 0;
       id = table_next (&cg->members.rows, id, (void **)&row))
    if (is_endpoint (row))
      add_endpoint (cg, endpoints, &row->entry, now_us);
  control_set_endpoints (
      c, (struct snapshot_endpoint *)(void *)endpoints->data, endpoints->len);
  for (guint i = 0; i < endpoints->len; i++)
    str_free (&g_array_index (endpoints, struct snapshot_endpoint, i).address);
  g_array_unref (endpoints);
}

/* Sets the time until which the traffic threads serve keyed routes, those that
   require an API key.  If the control thread is late and does not renew it,
   they reject requests of such routes.  */
static void
publish_freshness (struct control *c, int64_t now_us)
{
  struct control_gossip *cg = c->control_gossip;

  if (c->settings->platform.address.len == 0)
    return;
  atomic_store (&c->shared->keyed_routes_until_us,
                MAX (freshness_get_expiry (&cg->fresh), 0));
}

static void
run_component (struct control *c, int64_t now_us)
{
  struct control_gossip *cg = c->control_gossip;

  announce_backend (c);
  member_expire_probes (&cg->members, now_us);
  member_send_probes (&cg->members, now_us);
  run_each_second (c, now_us);
  member_send_syncs (&cg->members, now_us);
  freshness_set_applied (&cg->fresh, c->inventory.revision);
  gossip_collect_deltas (&cg->gossip, now_us);
  gossip_send_changes (&cg->gossip, now_us);
  gossip_send_answers (&cg->gossip, now_us);
  gossip_send_probes (&cg->gossip, now_us);
  gossip_send_pulls (&cg->gossip, now_us);
  send_datagrams (c);
  send_syncs (c);
  send_pulls (c);
  publish_endpoints (c, now_us);
  publish_freshness (c, now_us);
}

/* Internal functions: set-up */

static bool
open_socket (struct control *c, const struct member_address *self,
             GError **error)
{
  struct control_gossip *cg = c->control_gossip;
  struct sockaddr_storage address;
  socklen_t len = make_sockaddr (self, &address);

  cg->socket = socket (address.ss_family,
                       SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (cg->socket >= 0
      && bind (cg->socket, (struct sockaddr *)&address, len) == 0)
    {
      cg->readable = event_new (c->loop.base, cg->socket, EV_READ | EV_PERSIST,
                                on_readable, c);
      event_add (cg->readable, NULL);
      return true;
    }
  g_set_error (error, ERR_QUARK, ERR_SETTINGS_INVALID,
               "cannot bind UDP port %d (control)",
               (int)c->settings->ports.control);
  return false;
}

static struct member_entry
make_self (const struct settings *s)
{
  struct member_entry self
      = { .id = str_hash (s->member_id),
          .incarnation = (uint64_t)clock_wall_ms () << MEMBER_RUN_SHIFT,
          .domain = member_hash_domain (s->failure_domain),
          .service = STR_EMPTY,
          .backend = MEMBER_BACKEND_NONE,
          .full = true };

  parse_ip (s->address, self.address.ip);
  self.address.ports[MEMBER_PORT_CALLER] = (uint16_t)s->ports.caller;
  self.address.ports[MEMBER_PORT_LOCAL] = (uint16_t)s->ports.local;
  self.address.ports[MEMBER_PORT_PEER] = settings_get_peer_port (s);
  self.address.ports[MEMBER_PORT_CONTROL] = settings_get_control_port (s);
  return self;
}

static void
add_seeds (struct control_gossip *cg, const struct settings *s)
{
  for (size_t i = 0; i < s->seeds.len; i++)
    {
      struct member_address a = { 0 };

      if (!parse_ip (s->seeds.items[i].address, a.ip))
        continue;
      a.ports[MEMBER_PORT_CONTROL] = (uint16_t)s->seeds.items[i].port;
      member_add_seed (&cg->members, &a);
    }
}

/* If the settings list no failure domains, the only domain is 0, to which no
   member belongs.  Outage reports then never cover all domains, and never
   count as evidence that the configuration is current.  */
static void
init_freshness (struct control_gossip *cg, const struct settings *s)
{
  uint32_t domains[FRESHNESS_DOMAINS_MAX] = { 0 };
  uint32_t len = 0;

  for (size_t i = 0; i < s->failure_domains.len && len < FRESHNESS_DOMAINS_MAX;
       i++)
    domains[len++] = member_hash_domain (s->failure_domains.items[i]);
  freshness_init (&cg->fresh, s->fresh.bound_ms * CLOCK_US_PER_MS, domains,
                  MAX (len, 1));
}

static bool
init_component (struct control *c, GError **error)
{
  struct member_entry self = make_self (c->settings);
  struct control_gossip *cg = g_new0 (struct control_gossip, 1);
  int64_t now_us = clock_now_us ();

  c->control_gossip = cg;
  cg->socket = -1;
  cg->first_seen
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  member_init_table (&cg->members, &self, g_random_int (), now_us);
  c->shared->member = control_gossip_get_process (self.id, self.incarnation);
  init_freshness (cg, c->settings);
  gossip_init (&cg->gossip, &cg->members, &cg->fresh, now_us);
  add_seeds (cg, c->settings);
  return open_socket (c, &self.address, error);
}

static void
close_component (struct control *c)
{
  struct control_gossip *cg = c->control_gossip;

  if (cg == NULL)
    return;
  if (cg->readable != NULL)
    event_free (cg->readable);
  if (cg->socket >= 0)
    evutil_closesocket (cg->socket);
  gossip_close (&cg->gossip);
  member_close_table (&cg->members);
  g_hash_table_unref (cg->first_seen);
  g_free (cg);
  c->control_gossip = NULL;
}

static void
append_status (struct control *c, JsonBuilder *b)
{
  struct control_gossip *cg = c->control_gossip;
  int64_t time_us = freshness_get_evidence_time (&cg->fresh);

  json_builder_set_member_name (b, "members_alive");
  json_builder_add_int_value (b, cg->members.alive);
  json_builder_set_member_name (b, "watcher");
  json_builder_add_boolean_value (b, cg->watcher);
  json_builder_set_member_name (b, "evidence_age_ms");
  json_builder_add_int_value (
      b, time_us == INT64_MIN ? -1
                              : (clock_now_us () - time_us) / CLOCK_US_PER_MS);
}

/* State */

const struct control_component_ops control_gossip_ops = {
  .name = "gossip",
  .init = init_component,
  .close = close_component,
  .on_frame = on_frame,
  .run = run_component,
  .append_status = append_status,
};

/* Public functions */

/**
 * control_gossip_get_process - identifies one process of a daemon
 * @id: member id, the same for all processes of the daemon
 * @incarnation: incarnation, whose high bits are the start time of the process
 *
 * Return: an id that differs between the processes of one daemon.
 */
uint64_t
control_gossip_get_process (uint64_t id, uint64_t incarnation)
{
  uint64_t parts[2] = { id, member_get_run (incarnation) };

  return str_hash ((struct str){ sizeof parts, (const char *)parts });
}

struct str
control_gossip_format_address (const struct member_address *a)
{
  char text[INET6_ADDRSTRLEN];

  if (memcmp (a->ip, mapped_prefix, sizeof mapped_prefix) == 0)
    inet_ntop (AF_INET, a->ip + sizeof mapped_prefix, text, sizeof text);
  else
    inet_ntop (AF_INET6, a->ip, text, sizeof text);
  return str_copy (str_from_cstr (text));
}
