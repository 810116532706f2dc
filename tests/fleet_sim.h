/* fleet_sim: simulates the control tables of hundreds of daemons in virtual
   time, for the tests of member, gossip and freshness and for bench_control.

   A node is a simulated daemon.  Datagrams are encoded, lost at random,
   delayed and decoded.  TCP exchanges take no time.  There are no processes,
   threads or sockets.  */

#ifndef ALMONDVALE_FLEET_SIM_H
#define ALMONDVALE_FLEET_SIM_H

#include "clock.h"
#include "gossip.h"
#include "wire_control.h"

#include <stdlib.h>
#include <string.h>

#define FLEET_SIM_DOMAINS 6
#define FLEET_SIM_TICK_MS 50
/* A watcher, a node that reads the platform, waits for changes in a call that
   returns after FLEET_SIM_WATCH_MS, or fails after FLEET_SIM_TIMEOUT_MS and is
   repeated FLEET_SIM_RETRY_MS later, as in control_config.  */
#define FLEET_SIM_WATCH_MS 100
#define FLEET_SIM_TIMEOUT_MS 300
#define FLEET_SIM_RETRY_MS 100
#define FLEET_SIM_RING_MS 128 /* more than the longest delay of a datagram */
#define FLEET_SIM_IP_UDP_BYTES 28
/* Overhead of an exchange: three packets to open a connection, four to close
   it and two acknowledgements, of 40 to 60 bytes each, and the headers of the
   data.  */
#define FLEET_SIM_TCP_BYTES 500
#define FLEET_SIM_START_US (1000 * (int64_t)CLOCK_US_PER_S)

struct fleet_sim_packet
{
  uint32_t to;
  uint32_t from;
  struct str bytes;
};

struct fleet_sim_node
{
  struct member_table members;
  struct freshness fresh;
  struct gossip gossip;
  uint32_t domain; /* index of the failure domain */
  uint64_t run;    /* run in the node's incarnation, see member.h */
  bool up;
  bool paused;
  bool watcher;
  int64_t next_read_us;
  int64_t next_second_us;
  GPtrArray *socket_queue; /* packets received while paused */
  uint64_t bytes;          /* sent and received */
};

struct fleet_sim
{
  uint32_t len;
  struct fleet_sim_node *nodes;
  int64_t now_us;
  GRand *rand;
  double loss;
  uint32_t services;
  uint32_t view; /* members that each node knows, 0: all */
  /* true: no traffic from the first domain to the second */
  bool cut[FLEET_SIM_DOMAINS][FLEET_SIM_DOMAINS];
  bool platform_down;
  bool platform_cut[FLEET_SIM_DOMAINS];
  GPtrArray *platform; /* struct str * of each change; revision: index + 1 */
  /* packets on the network, by time of arrival in ms % FLEET_SIM_RING_MS */
  GPtrArray *ring[FLEET_SIM_RING_MS];
  /* totals by message type */
  uint64_t messages[64];
  uint64_t message_bytes[64];
};

static inline uint32_t
fleet_sim_get_domain (uint32_t index)
{
  char name[16];

  g_snprintf (name, sizeof name, "fd%u", index);
  return member_hash_domain (str_from_cstr (name));
}

static inline uint64_t
fleet_sim_get_id (uint32_t node)
{
  uint32_t number = node + 1;

  return str_hash ((struct str){ sizeof number, (const char *)&number });
}

/* Returns the entry of a node at the start of a run.  */
static inline struct member_entry
fleet_sim_get_entry (uint32_t node, uint64_t run, uint32_t services,
                     char name[32])
{
  struct member_entry e
      = { .id = fleet_sim_get_id (node),
          .incarnation = run << MEMBER_RUN_SHIFT,
          .domain = fleet_sim_get_domain (node % FLEET_SIM_DOMAINS),
          .slots = 100,
          .backend = MEMBER_BACKEND_SERVING,
          .full = true };

  g_snprintf (name, 32, "service-%04u", node % services);
  e.service = str_from_cstr (name);
  e.service_hash = str_hash (e.service);
  memcpy (e.address.ip, "\0\0\0\0\0\0\0\0\0\0\xff\xff\x0a", 13);
  e.address.ip[13] = (unsigned char)(node >> 16);
  e.address.ip[14] = (unsigned char)(node >> 8);
  e.address.ip[15] = (unsigned char)node;
  for (uint16_t i = 0; i < MEMBER_PORTS; i++)
    e.address.ports[i] = (uint16_t)(8000 + i);
  return e;
}

static inline uint32_t
fleet_sim_find_node (const struct member_address *a)
{
  return (uint32_t)a->ip[13] << 16 | (uint32_t)a->ip[14] << 8 | a->ip[15];
}

/* Starts the process of a node with an empty table.  */
static inline void
fleet_sim_start_node (struct fleet_sim *f, uint32_t i, uint64_t run)
{
  struct fleet_sim_node *n = &f->nodes[i];
  uint32_t domains[FLEET_SIM_DOMAINS];
  char name[32];
  struct member_entry self = fleet_sim_get_entry (i, run, f->services, name);

  for (uint32_t d = 0; d < FLEET_SIM_DOMAINS; d++)
    domains[d] = fleet_sim_get_domain (d);
  n->up = true;
  n->domain = i % FLEET_SIM_DOMAINS;
  n->run = run;
  n->watcher = false;
  n->next_read_us = n->next_second_us = f->now_us;
  n->socket_queue = g_ptr_array_new ();
  member_init_table (&n->members, &self, g_rand_int (f->rand), f->now_us);
  freshness_init (&n->fresh, (int64_t)FRESHNESS_BOUND_MS * CLOCK_US_PER_MS,
                  domains, FLEET_SIM_DOMAINS);
  gossip_init (&n->gossip, &n->members, &n->fresh, f->now_us);
  for (uint32_t s = 0; s < 3; s++)
    {
      char seed_name[32];
      struct member_entry e
          = fleet_sim_get_entry (s * 7 % f->len, 1, f->services, seed_name);

      member_add_seed (&n->members, &e.address);
    }
}

static inline void
fleet_sim_free_packet (struct fleet_sim_packet *p)
{
  str_free (&p->bytes);
  g_free (p);
}

static inline void
fleet_sim_stop_node (struct fleet_sim *f, uint32_t i)
{
  struct fleet_sim_node *n = &f->nodes[i];

  if (!n->up)
    return;
  n->up = n->paused = false;
  gossip_close (&n->gossip);
  member_close_table (&n->members);
  for (guint k = 0; k < n->socket_queue->len; k++)
    fleet_sim_free_packet (g_ptr_array_index (n->socket_queue, k));
  g_ptr_array_unref (n->socket_queue);
}

/* Fills the table of a node as after a long time without failures.  If f->view
   is not 0, the node knows only this many random members and makes no table
   exchange.  */
static inline void
fleet_sim_fill_node (struct fleet_sim *f, uint32_t i)
{
  struct fleet_sim_node *n = &f->nodes[i];
  uint32_t view = f->view != 0 ? f->view : f->len;
  int sync_ms = f->view != 0
                    ? G_MAXINT
                    : g_rand_int_range (f->rand, 0, MEMBER_SYNC_INTERVAL_MS);

  for (uint32_t k = 0; k < view; k++)
    {
      uint32_t other
          = f->view != 0
                ? (uint32_t)g_rand_int_range (f->rand, 0, (gint32)f->len)
                : k;
      char name[32];
      struct member_entry e
          = fleet_sim_get_entry (other, 1, f->services, name);

      member_merge_entry (&n->members, &e, f->now_us);
    }
  g_array_set_size (n->members.changed, 0);
  n->members.windows_synced = MEMBER_WINDOWS;
  n->members.next_sync_us = f->now_us + (int64_t)sync_ms * CLOCK_US_PER_MS;
  n->members.next_seed_us
      = f->now_us
        + (int64_t)g_rand_int_range (f->rand, 0, (gint32)f->len)
              * CLOCK_US_PER_S;
}

/* Starts `len` nodes with backend servers of `services` services.  Each node
   knows all others, or `view` random ones if `view` is not 0.  A datagram is
   lost with probability `loss`.  */
static inline void
fleet_sim_init (struct fleet_sim *f, uint32_t len, uint32_t view,
                uint32_t services, double loss, uint32_t seed)
{
  memset (f, 0, sizeof *f);
  f->len = len;
  f->loss = loss;
  f->services = services;
  f->view = view;
  f->now_us = FLEET_SIM_START_US;
  f->rand = g_rand_new_with_seed (seed);
  f->platform = g_ptr_array_new ();
  f->nodes = g_new0 (struct fleet_sim_node, len);
  for (uint32_t i = 0; i < FLEET_SIM_RING_MS; i++)
    f->ring[i] = g_ptr_array_new ();
  for (uint32_t i = 0; i < len; i++)
    {
      fleet_sim_start_node (f, i, 1);
      fleet_sim_fill_node (f, i);
    }
}

static inline void
fleet_sim_close (struct fleet_sim *f)
{
  for (uint32_t i = 0; i < f->len; i++)
    fleet_sim_stop_node (f, i);
  for (uint32_t i = 0; i < FLEET_SIM_RING_MS; i++)
    {
      for (guint k = 0; k < f->ring[i]->len; k++)
        fleet_sim_free_packet (g_ptr_array_index (f->ring[i], k));
      g_ptr_array_unref (f->ring[i]);
    }
  for (guint i = 0; i < f->platform->len; i++)
    {
      str_free (g_ptr_array_index (f->platform, i));
      g_free (g_ptr_array_index (f->platform, i));
    }
  g_ptr_array_unref (f->platform);
  g_rand_free (f->rand);
  g_free (f->nodes);
}

static inline void
fleet_sim_count_bytes (struct fleet_sim *f, uint32_t type, uint32_t from,
                       uint32_t to, size_t bytes)
{
  f->messages[type]++;
  f->message_bytes[type] += bytes;
  f->nodes[from].bytes += bytes;
  f->nodes[to].bytes += bytes;
}

static inline void
fleet_sim_deliver (struct fleet_sim *f, struct fleet_sim_packet *p)
{
  struct fleet_sim_node *n = &f->nodes[p->to];
  struct wire_control_message m;

  if (!n->up || f->cut[f->nodes[p->from].domain][n->domain])
    {
      fleet_sim_free_packet (p);
      return;
    }
  if (n->paused)
    {
      g_ptr_array_add (n->socket_queue, p);
      return;
    }
  if (!wire_control_load_message (&m, p->bytes))
    abort ();
  {
    char name[32];

    m.u.datagram.address
        = fleet_sim_get_entry (p->from, 1, f->services, name).address;
  }
  gossip_receive (&n->gossip, &m.u.datagram, f->now_us);
  wire_control_unload_message (&m);
  fleet_sim_free_packet (p);
}

static inline void
fleet_sim_send (struct fleet_sim *f, uint32_t from,
                const struct gossip_datagram *d)
{
  static const uint32_t types[] = { WIRE_PROBE, WIRE_ACK, WIRE_PROBE_REQ };
  uint32_t to = fleet_sim_find_node (&d->address);
  bool far = f->nodes[from].domain / 2 != f->nodes[to].domain / 2;
  int delay_ms = far ? g_rand_int_range (f->rand, 30, 40)
                     : g_rand_int_range (f->rand, 1, 3);
  struct fleet_sim_packet *p = g_new0 (struct fleet_sim_packet, 1);
  struct str_buf b = { 0 };
  size_t at
      = (size_t)(f->now_us / CLOCK_US_PER_MS + delay_ms) % FLEET_SIM_RING_MS;

  wire_control_append_datagram (&b, d);
  if (b.len > gossip_datagram_bytes (d))
    abort (); /* gossip_datagram_bytes() is no upper bound */
  fleet_sim_count_bytes (f, types[d->type], from, to,
                         b.len + FLEET_SIM_IP_UDP_BYTES);
  *p = (struct fleet_sim_packet){ to, from, str_take (&b) };
  if (g_rand_double (f->rand) < f->loss)
    fleet_sim_free_packet (p);
  else
    g_ptr_array_add (f->ring[at], p);
}

/* Encodes a TCP message, counts its bytes and decodes it.  */
static inline void
fleet_sim_transfer (struct fleet_sim *f, uint32_t from, uint32_t to,
                    const struct wire_control_message *m,
                    struct wire_control_message *out, struct str *bytes)
{
  struct str_buf b = { 0 };

  wire_control_append_frame (&b, m);
  fleet_sim_count_bytes (f, m->type, from, to,
                         b.len + FLEET_SIM_TCP_BYTES / 2);
  *bytes = str_copy (str_slice (str_view (&b), 4, b.len));
  str_reset (&b);
  if (!wire_control_load_message (out, *bytes))
    abort ();
}

static inline void
fleet_sim_sync (struct fleet_sim *f, uint32_t from,
                const struct member_message *request)
{
  struct fleet_sim_node *n = &f->nodes[from];
  uint32_t to = fleet_sim_find_node (&request->address);
  struct fleet_sim_node *peer = &f->nodes[to];
  struct wire_control_message m = { .type = WIRE_SYNC_MEMBERS }, in;
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct member_entry));
  struct str bytes;

  m.u.sync.service_hash
      = request->type == MEMBER_SEND_SERVICE_QUERY ? request->service_hash : 0;
  m.u.sync.max_bytes = request->max_bytes;
  m.u.sync.window = request->window;
  memcpy (m.u.sync.digests,
          n->members.digests + (size_t)request->window * MEMBER_WINDOW_BUCKETS,
          sizeof m.u.sync.digests);
  if (!peer->up || peer->paused || f->cut[n->domain][peer->domain])
    {
      g_array_unref (entries);
      return;
    }
  fleet_sim_transfer (f, from, to, &m, &in, &bytes);
  m = (struct wire_control_message){ .type = WIRE_MEMBERS };
  m.u.members.service_hash = in.u.sync.service_hash;
  m.u.members.complete = true;
  if (in.u.sync.service_hash != 0)
    member_answer_service_query (&peer->members, in.u.sync.service_hash,
                                 entries);
  else
    m.u.members.complete
        = member_answer_sync (&peer->members, in.u.sync.window,
                              in.u.sync.digests, in.u.sync.max_bytes, entries);
  wire_control_unload_message (&in);
  str_free (&bytes);
  m.u.members.entries_len = entries->len;
  m.u.members.entries = (struct member_entry *)(void *)entries->data;
  fleet_sim_transfer (f, to, from, &m, &in, &bytes);
  g_array_set_size (entries, 0);
  g_array_append_vals (entries, in.u.members.entries,
                       in.u.members.entries_len);
  if (request->type == MEMBER_SEND_SYNC)
    member_merge_sync (&n->members, entries, in.u.members.complete, f->now_us);
  else
    member_merge_service_entries (&n->members, entries, f->now_us);
  wire_control_unload_message (&in);
  str_free (&bytes);
  g_array_unref (entries);
}

static inline void
fleet_sim_pull (struct fleet_sim *f, uint32_t from,
                const struct gossip_pull *pull)
{
  struct fleet_sim_node *n = &f->nodes[from];
  struct member_row *row = member_find (&n->members, pull->to);
  uint32_t to = row != NULL ? fleet_sim_find_node (&row->entry.address) : from;
  struct fleet_sim_node *peer = &f->nodes[to];
  struct wire_control_message m = { .type = WIRE_CHANGES }, in;
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct gossip_change));
  struct str bytes;

  if (to == from || !peer->up || peer->paused
      || f->cut[n->domain][peer->domain])
    {
      g_array_unref (changes);
      return;
    }
  fleet_sim_count_bytes (f, WIRE_PULL_CHANGES, from, to,
                         12 + FLEET_SIM_TCP_BYTES / 2);
  m.u.changes.available
      = gossip_answer_pull (&peer->gossip, pull->revision, changes);
  m.u.changes.changes_len = changes->len;
  m.u.changes.changes = (struct gossip_change *)(void *)changes->data;
  fleet_sim_transfer (f, to, from, &m, &in, &bytes);
  for (uint32_t i = 0; i < in.u.changes.changes_len; i++)
    gossip_add_change (&n->gossip, in.u.changes.changes[i].revision,
                       in.u.changes.changes[i].bytes);
  wire_control_unload_message (&in);
  str_free (&bytes);
  g_array_unref (changes);
}

static inline void
fleet_sim_read_platform (struct fleet_sim *f, struct fleet_sim_node *n)
{
  if (!n->watcher || f->now_us < n->next_read_us)
    return;
  n->next_read_us = f->now_us + (int64_t)FLEET_SIM_WATCH_MS * CLOCK_US_PER_MS;
  if (f->platform_down || f->platform_cut[n->domain])
    {
      int64_t sent_us
          = f->now_us - (int64_t)FLEET_SIM_TIMEOUT_MS * CLOCK_US_PER_MS;

      n->next_read_us = f->now_us
                        + (int64_t)(FLEET_SIM_TIMEOUT_MS + FLEET_SIM_RETRY_MS)
                              * CLOCK_US_PER_MS;
      freshness_record_unreachable (&n->fresh,
                                    fleet_sim_get_domain (n->domain), sent_us);
      return;
    }
  for (uint64_t r = n->gossip.revision + 1; r <= f->platform->len; r++)
    gossip_add_change (&n->gossip, r,
                       *(struct str *)g_ptr_array_index (f->platform, r - 1));
  freshness_record_read (&n->fresh, f->platform->len,
                         f->now_us
                             - (int64_t)FLEET_SIM_WATCH_MS * CLOCK_US_PER_MS);
}

static inline void
fleet_sim_tick (struct fleet_sim *f, uint32_t i)
{
  struct fleet_sim_node *n = &f->nodes[i];
  void *row;

  if (!n->up || n->paused)
    return;
  member_expire_probes (&n->members, f->now_us);
  member_send_probes (&n->members, f->now_us);
  if (f->now_us >= n->next_second_us)
    {
      n->next_second_us = f->now_us + CLOCK_US_PER_S;
      member_expire_rows (&n->members, f->now_us);
      n->watcher = f->view != 0 ? i < FLEET_SIM_DOMAINS * MEMBER_WATCHERS
                                : member_is_watcher (&n->members);
    }
  member_send_syncs (&n->members, f->now_us);
  fleet_sim_read_platform (f, n);
  freshness_set_applied (&n->fresh, n->gossip.revision);
  if (f->view != 0)
    g_array_set_size (n->members.changed, 0);
  gossip_collect_deltas (&n->gossip, f->now_us);
  gossip_send_changes (&n->gossip, f->now_us);
  gossip_send_answers (&n->gossip, f->now_us);
  gossip_send_probes (&n->gossip, f->now_us);
  gossip_send_pulls (&n->gossip, f->now_us);
  for (uint64_t id = table_next (&n->gossip.out, 0, &row); id != 0;
       id = table_next (&n->gossip.out, id, &row))
    {
      fleet_sim_send (f, i, row);
      table_remove (&n->gossip.out, id);
    }
  for (uint64_t id = table_next (&n->members.out, 0, &row); id != 0;
       id = table_next (&n->members.out, id, &row))
    {
      fleet_sim_sync (f, i, row);
      table_remove (&n->members.out, id);
    }
  for (uint64_t id = table_next (&n->gossip.pulls, 0, &row); id != 0;
       id = table_next (&n->gossip.pulls, id, &row))
    {
      fleet_sim_pull (f, i, row);
      table_remove (&n->gossip.pulls, id);
    }
}

/* Advances the time by one millisecond.  The ticks of the nodes are spread
   over FLEET_SIM_TICK_MS.  */
static inline void
fleet_sim_step (struct fleet_sim *f)
{
  int64_t ms;
  GPtrArray *due;

  f->now_us += CLOCK_US_PER_MS;
  ms = f->now_us / CLOCK_US_PER_MS;
  due = f->ring[ms % FLEET_SIM_RING_MS];
  for (guint i = 0; i < due->len; i++)
    fleet_sim_deliver (f, g_ptr_array_index (due, i));
  g_ptr_array_set_size (due, 0);
  for (uint32_t i = (uint32_t)(ms % FLEET_SIM_TICK_MS); i < f->len;
       i += FLEET_SIM_TICK_MS)
    fleet_sim_tick (f, i);
}

static inline void
fleet_sim_run (struct fleet_sim *f, int64_t ms)
{
  while (ms-- > 0)
    fleet_sim_step (f);
}

static inline void
fleet_sim_pause (struct fleet_sim *f, uint32_t i)
{
  f->nodes[i].paused = true;
}

/* Delivers the packets received while paused, as an event loop does before its
   next tick.  */
static inline void
fleet_sim_resume (struct fleet_sim *f, uint32_t i)
{
  struct fleet_sim_node *n = &f->nodes[i];

  n->paused = false;
  for (guint k = 0; k < n->socket_queue->len; k++)
    fleet_sim_deliver (f, g_ptr_array_index (n->socket_queue, k));
  g_ptr_array_set_size (n->socket_queue, 0);
}

/* Adds a change to the platform and returns its revision.  */
static inline uint64_t
fleet_sim_publish_change (struct fleet_sim *f, size_t bytes)
{
  struct str *s = g_new (struct str, 1);
  char *text = g_malloc (bytes + 1);

  memset (text, 'c', bytes);
  text[bytes] = '\0';
  *s = (struct str){ bytes, text };
  g_ptr_array_add (f->platform, s);
  return f->platform->len;
}

/* Returns the number of nodes that have applied a revision.  */
static inline uint32_t
fleet_sim_count_applied (const struct fleet_sim *f, uint64_t revision)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < f->len; i++)
    count += f->nodes[i].up && f->nodes[i].fresh.applied >= revision;
  return count;
}

/* Returns the number of nodes that serve keyed routes, those that require an
   API key.  */
static inline uint32_t
fleet_sim_count_current (const struct fleet_sim *f)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < f->len; i++)
    count += f->nodes[i].up && !f->nodes[i].paused
             && freshness_is_current (&f->nodes[i].fresh, f->now_us);
  return count;
}

/* Returns the number of usable members of a domain in the table of node i.  */
static inline uint32_t
fleet_sim_count_usable (const struct fleet_sim *f, uint32_t i, uint32_t domain)
{
  uint32_t count = 0;
  void *row;

  for (uint64_t id = table_next (&f->nodes[i].members.rows, 0, &row); id != 0;
       id = table_next (&f->nodes[i].members.rows, id, &row))
    count += member_is_usable (row)
             && ((struct member_row *)row)->entry.domain
                    == fleet_sim_get_domain (domain);
  return count;
}

#endif
