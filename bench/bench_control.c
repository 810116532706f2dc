/* bench_control: cost of membership, gossip and freshness, in virtual time.

   By default, measures one daemon whose table has all members and which
   receives the datagrams of a fleet of that size: its CPU and memory, and the
   cost of a join.  This daemon is a watcher, which reads the platform for its
   failure domain, or an ordinary one.

   With --fleet, simulates all daemons and measures the bytes of each message
   type, the time until a configuration change is applied everywhere, and the
   age of the freshness evidence, which shows that a daemon's configuration is
   current.  Their tables have all members, or only some with --view.  */

#include "../tests/fleet_sim.h"

#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

/* Constants */

#define SERVICES 1900
#define CHANGE_BYTES 300
#define CHANGES_PER_S (48000.0 / 86400.0) /* 48,000 changes a day */
/* 3,766 member updates a day at 22,000 members: 83 failures with two updates
   each, and 1,200 restarts with three each (drain, leave and join).  */
#define UPDATES_PER_MEMBER_S (3766.0 / 86400.0 / 22000.0)
#define UPDATE_COPIES 15 /* copies of each update that a daemon receives */
#define PROBES_PER_S 2.7 /* probes that a daemon receives with --fleet */
#define ACK_DELAY_MS 740 /* mean delay of an ACK with --fleet */
/* Slots of 1 ms, one for each ms in which a datagram can be delivered.  */
#define INBOUND_SLOTS 2048
#define WARM_UP_MS 8000

/* Types */

/* One daemon, and the datagrams that simulate the others.  */
struct single_daemon
{
  struct fleet_sim f;
  GPtrArray *inbound[INBOUND_SLOTS]; /* struct fleet_sim_packet, by ms */
  int64_t cpu_ns;                    /* CPU time of the daemon */
  uint64_t datagrams;                /* sent and received by the daemon */
};

/* Internal functions: one daemon */

static int64_t
get_cpu_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static void
init_single (struct single_daemon *l, uint32_t members, uint32_t seed)
{
  memset (l, 0, sizeof *l);
  l->f.len = members;
  l->f.services = SERVICES;
  l->f.now_us = FLEET_SIM_START_US;
  l->f.rand = g_rand_new_with_seed (seed);
  l->f.platform = g_ptr_array_new ();
  l->f.nodes = g_new0 (struct fleet_sim_node, members);
  for (uint32_t i = 0; i < FLEET_SIM_RING_MS; i++)
    l->f.ring[i] = g_ptr_array_new ();
  for (uint32_t i = 0; i < INBOUND_SLOTS; i++)
    l->inbound[i] = g_ptr_array_new ();
}

static void
close_single (struct single_daemon *l)
{
  for (uint32_t i = 0; i < INBOUND_SLOTS; i++)
    {
      for (guint k = 0; k < l->inbound[i]->len; k++)
        fleet_sim_free_packet (g_ptr_array_index (l->inbound[i], k));
      g_ptr_array_unref (l->inbound[i]);
    }
  fleet_sim_close (&l->f);
}

static struct gossip_datagram
make_datagram (struct single_daemon *l, enum gossip_type type, uint32_t from)
{
  char name[32];
  struct member_entry e = fleet_sim_get_entry (from, 1, SERVICES, name);
  struct gossip_datagram d = { .type = type,
                               .from = e.id,
                               .incarnation = e.incarnation,
                               .seq = 1,
                               .hold_ms = ACK_DELAY_MS,
                               .revision = l->f.platform->len };

  d.evidence = (struct freshness_evidence){ .has_read = true,
                                            .revision = l->f.platform->len,
                                            .age_us = CLOCK_US_PER_S };
  return d;
}

/* Schedules the delivery of a datagram to the daemon after a delay.  */
static void
schedule_datagram (struct single_daemon *l, uint32_t from,
                   const struct gossip_datagram *d, int64_t delay_ms)
{
  struct fleet_sim_packet *p = g_new0 (struct fleet_sim_packet, 1);
  struct str_buf b = { 0 };
  int64_t at = l->f.now_us / CLOCK_US_PER_MS + delay_ms;

  wire_control_append_datagram (&b, d);
  *p = (struct fleet_sim_packet){ 0, from, str_take (&b) };
  g_ptr_array_add (l->inbound[at % INBOUND_SLOTS], p);
}

/* Adds a member update to some of the datagrams, so that the daemon receives
   updates at the rate of a fleet of this size.  On average, one in
   UPDATE_COPIES is a new update; the others are copies of the last one.  */
static void
add_update (struct single_daemon *l, struct gossip_datagram *d,
            uint32_t *update_count, char name[32])
{
  uint32_t others = MAX (l->f.len, 2) - 1;
  double chance
      = UPDATES_PER_MEMBER_S * l->f.len * UPDATE_COPIES / PROBES_PER_S / 2;

  if (g_rand_double (l->f.rand) >= chance)
    return;
  if (g_rand_int_range (l->f.rand, 0, UPDATE_COPIES) == 0)
    ++*update_count;
  d->entries[0] = fleet_sim_get_entry (*update_count * 7919 % others + 1, 1,
                                       SERVICES, name);
  d->entries[0].incarnation += *update_count;
  d->entries_len = 1;
}

static void
answer_probe (struct single_daemon *l, const struct fleet_sim_packet *p,
              uint32_t *update_count)
{
  struct wire_control_message m;
  struct gossip_datagram d;
  char name[32];

  if (wire_control_load_message (&m, p->bytes) && m.type == WIRE_PROBE
      && m.u.datagram.seq != 0)
    {
      d = make_datagram (l, GOSSIP_ACK, p->to);
      d.seq = m.u.datagram.seq;
      add_update (l, &d, update_count, name);
      schedule_datagram (l, p->to, &d,
                         g_rand_int_range (l->f.rand, 480, 1000));
    }
  wire_control_unload_message (&m);
}

static void
schedule_probe (struct single_daemon *l, uint32_t *update_count)
{
  uint32_t from = (uint32_t)g_rand_int_range (l->f.rand, 1, (gint32)l->f.len);
  struct gossip_datagram d = make_datagram (l, GOSSIP_PROBE, from);
  char name[32];

  add_update (l, &d, update_count, name);
  schedule_datagram (l, from, &d, 1);
}

static void
schedule_change (struct single_daemon *l)
{
  uint64_t revision = fleet_sim_publish_change (&l->f, CHANGE_BYTES);

  for (uint32_t i = 0; i < GOSSIP_FANOUT; i++)
    {
      uint32_t from
          = (uint32_t)g_rand_int_range (l->f.rand, 1, (gint32)l->f.len);
      struct gossip_datagram d = make_datagram (l, GOSSIP_PROBE, from);

      d.seq = 0; /* no ACK is expected */
      d.evidence.has_read = false;
      d.changes[0] = (struct gossip_change){
        revision,
        *(struct str *)g_ptr_array_index (l->f.platform, revision - 1)
      };
      d.changes_len = 1;
      schedule_datagram (l, from, &d, 1 + (int64_t)i * 20);
    }
}

static void
step_single (struct single_daemon *l, uint32_t *update_count)
{
  int64_t ms, begin;
  GPtrArray *sent, *delivered;

  l->f.now_us += CLOCK_US_PER_MS;
  ms = l->f.now_us / CLOCK_US_PER_MS;
  sent = l->f.ring[ms % FLEET_SIM_RING_MS];
  delivered = l->inbound[ms % INBOUND_SLOTS];
  l->datagrams += sent->len + delivered->len;
  for (guint i = 0; i < sent->len; i++)
    {
      answer_probe (l, g_ptr_array_index (sent, i), update_count);
      fleet_sim_free_packet (g_ptr_array_index (sent, i));
    }
  g_ptr_array_set_size (sent, 0);
  begin = get_cpu_ns ();
  for (guint i = 0; i < delivered->len; i++)
    fleet_sim_deliver (&l->f, g_ptr_array_index (delivered, i));
  if (ms % FLEET_SIM_TICK_MS == 0)
    fleet_sim_tick (&l->f, 0);
  l->cpu_ns += get_cpu_ns () - begin;
  g_ptr_array_set_size (delivered, 0);
}

static size_t
get_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Measures a join: a new daemon fetches the whole table from a peer.  */
static void
measure_join (struct single_daemon *l)
{
  struct fleet_sim_node *from = &l->f.nodes[0], *to = &l->f.nodes[1];
  GArray *entries = g_array_new (FALSE, FALSE, sizeof (struct member_entry));
  struct str_buf b = { 0 };
  int64_t answer_ns = 0, merge_ns = 0;
  bool complete;

  fleet_sim_start_node (&l->f, 1, 2);
  while (member_is_joining (&to->members))
    {
      struct wire_control_message m = { .type = WIRE_MEMBERS };
      uint32_t window = to->members.window;
      int64_t begin = get_cpu_ns ();

      complete = member_answer_sync (
          &from->members, window,
          to->members.digests + (size_t)window * MEMBER_WINDOW_BUCKETS,
          MEMBER_JOIN_BYTES, entries);
      m.u.members.complete = complete;
      m.u.members.entries_len = entries->len;
      m.u.members.entries = (struct member_entry *)(void *)entries->data;
      wire_control_append_frame (&b, &m);
      answer_ns += get_cpu_ns () - begin;
      begin = get_cpu_ns ();
      member_merge_sync (&to->members, entries, complete, l->f.now_us);
      merge_ns += get_cpu_ns () - begin;
      g_array_set_size (entries, 0);
    }
  printf ("  join: %zu bytes, %.1f ms CPU at the peer, %.1f ms at the new "
          "daemon, %u rows\n",
          b.len, (double)answer_ns / 1e6, (double)merge_ns / 1e6,
          to->members.rows.count);
  str_reset (&b);
  g_array_unref (entries);
}

static void
run_single (uint32_t members, uint32_t seconds, bool watcher, uint32_t seed)
{
  struct single_daemon l;
  uint32_t update_count = 0;
  size_t before;

  init_single (&l, members, seed);
  before = get_heap_bytes ();
  fleet_sim_start_node (&l.f, 0, 1);
  fleet_sim_fill_node (&l.f, 0);
  printf ("one: %u members, %s\n  heap %.2f MB\n", members,
          watcher ? "watcher" : "ordinary",
          (double)(get_heap_bytes () - before) / 1e6);
  for (int64_t ms = 0; ms < WARM_UP_MS + (int64_t)seconds * 1000; ms++)
    {
      if (ms == WARM_UP_MS)
        {
          l.cpu_ns = 0;
          l.datagrams = 0;
          memset (l.f.message_bytes, 0, sizeof l.f.message_bytes);
        }
      if (g_rand_double (l.f.rand) < PROBES_PER_S / 1000)
        schedule_probe (&l, &update_count);
      if (g_rand_double (l.f.rand) < CHANGES_PER_S / 1000)
        schedule_change (&l);
      l.f.nodes[0].watcher = watcher;
      step_single (&l, &update_count);
    }
  printf ("  CPU %.3f ms a second (%.4f%% of a core), %.2f datagrams a "
          "second, %u member updates\n",
          (double)l.cpu_ns / 1e6 / seconds, (double)l.cpu_ns / 1e7 / seconds,
          (double)l.datagrams / seconds, update_count);
  measure_join (&l);
  close_single (&l);
}

/* Internal functions: fleet */

struct fleet_result
{
  uint32_t changes;   /* timed, one at a time, until all have applied it */
  int64_t worst_ms;   /* longest time until all daemons applied a change */
  int64_t sum_ms;     /* sum of these times of all changes */
  int64_t oldest_us;  /* largest age of the evidence */
  uint64_t rejecting; /* samples in which a daemon's evidence is too old to
                         serve routes that need a key */
  uint64_t samples;   /* one for each daemon every 100 ms */
};

static void
add_samples (const struct fleet_sim *f, struct fleet_result *r)
{
  r->samples += f->len;
  r->rejecting += f->len - fleet_sim_count_current (f);
  for (uint32_t i = 0; i < f->len; i++)
    {
      int64_t time_us = freshness_get_evidence_time (&f->nodes[i].fresh);

      if (time_us != INT64_MIN)
        r->oldest_us = MAX (r->oldest_us, f->now_us - time_us);
    }
}

static void
print_messages (const struct fleet_sim *f, uint32_t seconds)
{
  static const char *const names[]
      = { [WIRE_PROBE] = "PROBE",         [WIRE_ACK] = "ACK",
          [WIRE_PROBE_REQ] = "PROBE_REQ", [WIRE_SYNC_MEMBERS] = "SYNC_MEMBERS",
          [WIRE_MEMBERS] = "MEMBERS",     [WIRE_PULL_CHANGES] = "PULL_CHANGES",
          [WIRE_CHANGES] = "CHANGES" };
  double n = (double)f->len * seconds, total = 0;
  uint64_t most = 0;

  for (uint32_t t = 0; t < G_N_ELEMENTS (names); t++)
    if (names[t] != NULL)
      {
        total += (double)f->message_bytes[t];
        printf ("  %-12s %6.3f a second, %7.1f bytes/s sent\n", names[t],
                (double)f->messages[t] / n, (double)f->message_bytes[t] / n);
      }
  for (uint32_t i = 0; i < f->len; i++)
    most = MAX (most, f->nodes[i].bytes);
  printf ("  sent plus received: %.0f bytes/s a daemon, %.0f at the busiest\n",
          2 * total / n, (double)most / seconds);
}

static void
run_fleet (uint32_t members, uint32_t view, uint32_t seconds, double loss,
           bool outage, uint32_t seed)
{
  struct fleet_sim f;
  struct fleet_result r = { 0 };
  uint64_t pending_revision = 0;
  int64_t accepted_ms = 0;

  fleet_sim_init (&f, members, view, SERVICES, loss, seed);
  fleet_sim_run (&f, WARM_UP_MS / 2);
  f.platform_down = outage;
  fleet_sim_run (&f, WARM_UP_MS / 2);
  memset (f.messages, 0, sizeof f.messages);
  memset (f.message_bytes, 0, sizeof f.message_bytes);
  for (uint32_t i = 0; i < f.len; i++)
    f.nodes[i].bytes = 0;
  for (int64_t ms = 0; ms < (int64_t)seconds * 1000; ms++)
    {
      fleet_sim_step (&f);
      if (!outage && ms % (int64_t)(1000 / CHANGES_PER_S) == 0)
        {
          uint64_t revision = fleet_sim_publish_change (&f, CHANGE_BYTES);

          if (pending_revision == 0)
            {
              pending_revision = revision;
              accepted_ms = ms;
            }
        }
      if (pending_revision != 0
          && fleet_sim_count_applied (&f, pending_revision) == f.len)
        {
          pending_revision = 0;
          r.changes++;
          r.sum_ms += ms - accepted_ms;
          r.worst_ms = MAX (r.worst_ms, ms - accepted_ms);
        }
      if (ms % 100 == 0)
        add_samples (&f, &r);
    }
  printf ("fleet: %u members, %u known to each, loss %.3f%s\n", members,
          view != 0 ? view : members, loss, outage ? ", platform down" : "");
  print_messages (&f, seconds);
  if (r.changes > 0)
    printf (
        "  change in effect everywhere after %.2f s, worst %.2f s, of %u\n",
        (double)r.sum_ms / 1000 / r.changes, (double)r.worst_ms / 1000,
        r.changes);
  printf ("  oldest evidence %.2f s; rejecting keyed routes %.2e of samples\n",
          (double)r.oldest_us / 1e6, (double)r.rejecting / (double)r.samples);
  fleet_sim_close (&f);
}

/* Public functions */

int
main (int argc, char **argv)
{
  gint members = 0, view = 0, seconds = 60, seed = 1;
  gdouble loss = 0.01;
  gboolean fleet = FALSE, outage = FALSE;
  const GOptionEntry options[]
      = { { "fleet", 0, 0, G_OPTION_ARG_NONE, &fleet, "Simulate a whole fleet",
            NULL },
          { "members", 0, 0, G_OPTION_ARG_INT, &members, "Members", "N" },
          { "view", 0, 0, G_OPTION_ARG_INT, &view, "Members known to each",
            "N" },
          { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
            "Virtual time in seconds", "S" },
          { "loss", 0, 0, G_OPTION_ARG_DOUBLE, &loss,
            "Fraction of datagrams lost", "SHARE" },
          { "outage", 0, 0, G_OPTION_ARG_NONE, &outage,
            "Run with the platform down", NULL },
          { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
          { NULL } };
  static const uint32_t sizes[] = { 1000, 5000, 22000 };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "bench_control: %s\n", error->message);
      g_error_free (error);
      return EXIT_FAILURE;
    }
  g_option_context_free (context);
  printf ("bench_control: seed %d, %d s of virtual time\n", seed, seconds);
  if (fleet)
    run_fleet (members > 0 ? (uint32_t)members : 1000, (uint32_t)view,
               (uint32_t)seconds, loss, outage, (uint32_t)seed);
  for (size_t i = 0; !fleet && i < G_N_ELEMENTS (sizes); i++)
    if (members == 0 || (uint32_t)members == sizes[i])
      {
        run_single (sizes[i], (uint32_t)seconds, false, (uint32_t)seed);
        run_single (sizes[i], (uint32_t)seconds, true, (uint32_t)seed);
      }
  return EXIT_SUCCESS;
}
