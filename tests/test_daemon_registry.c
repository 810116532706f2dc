/* Tests of daemon_registry and wire_registry: selection of endpoints and
   owners, encoding of the state messages.  */

#include "clock.h"
#include "daemon_registry.h"
#include "suite.h"
#include "wire_registry.h"

#include <stdio.h>

#define S ((int64_t)CLOCK_US_PER_S)

static struct daemon_registry_state
make_state (uint64_t member, const char *address)
{
  return (struct daemon_registry_state){ .member = member,
                                         .name = STR_LIT ("n"),
                                         .address = str_from_cstr (address),
                                         .peer_port = 7000,
                                         .control_port = 7001,
                                         .domain = STR_LIT ("d"),
                                         .service = STR_LIT ("s"),
                                         .serving = true };
}

static guint
count_endpoints (const struct daemon_registry *r, int64_t now_us)
{
  GArray *found
      = g_array_new (FALSE, FALSE, sizeof (struct snapshot_endpoint));
  guint len;

  daemon_registry_append_endpoints (r, found, now_us);
  len = found->len;
  g_array_unref (found);
  return len;
}

/* Guards against an endpoint (a daemon to which requests are sent) that has
   sent no state for some intervals, and against a daemon that is not an
   endpoint again after its next state.  */
START_TEST (unresponsive_member_is_no_endpoint)
{
  struct daemon_registry_state a = make_state (2, "10.0.0.2");
  struct daemon_registry r;

  daemon_registry_init (&r, 1);
  ck_assert (daemon_registry_apply (&r, &a, 0));
  ck_assert_uint_eq (count_endpoints (&r, 2 * S), 1);
  ck_assert_uint_eq (count_endpoints (&r, 4 * S), 0);
  ck_assert (daemon_registry_apply (&r, &a, 5 * S));
  ck_assert_uint_eq (count_endpoints (&r, 5 * S), 1);
  ck_assert (!daemon_registry_apply (&r, &a, 6 * S));
  a.leaving = true;
  ck_assert (daemon_registry_apply (&r, &a, 6 * S));
  ck_assert_uint_eq (count_endpoints (&r, 6 * S), 0);
  daemon_registry_close (&r);
}
END_TEST

/* Guards against a restarted daemon that is known twice, and against a late
   state of the process that has ended.  */
START_TEST (restart_retires_the_earlier_process)
{
  struct daemon_registry_state old = make_state (2, "10.0.0.2");
  struct daemon_registry_state new = make_state (3, "10.0.0.2");
  struct daemon_registry r;

  daemon_registry_init (&r, 1);
  daemon_registry_apply (&r, &old, 0);
  daemon_registry_apply (&r, &new, S);
  ck_assert_uint_eq (r.members.count, 1);
  ck_assert (!daemon_registry_apply (&r, &old, S));
  ck_assert_ptr_null (daemon_registry_find (&r, 2));
  ck_assert_ptr_nonnull (daemon_registry_find (&r, 3));
  daemon_registry_close (&r);
}
END_TEST

/* Guards against a daemon that is an endpoint because the store lists it,
   before its state arrived, and against a daemon that is never removed.  */
START_TEST (listed_member_gets_state_but_is_no_endpoint)
{
  struct daemon_registry_state state = make_state (5, "10.0.0.2");
  struct daemon_registry r;

  daemon_registry_init (&r, 1);
  daemon_registry_add (&r, STR_LIT ("n"), STR_LIT ("10.0.0.2"), 7001, 0);
  daemon_registry_add (&r, STR_LIT ("n"), STR_LIT ("10.0.0.2"), 7001, 0);
  ck_assert_uint_eq (r.members.count, 1);
  ck_assert_uint_eq (count_endpoints (&r, 0), 0);
  daemon_registry_apply (&r, &state, S);
  ck_assert_uint_eq (r.members.count, 1);
  ck_assert_uint_eq (count_endpoints (&r, S), 1);
  ck_assert (!daemon_registry_run (&r, S + DAEMON_REGISTRY_EXPIRE_US));
  ck_assert (daemon_registry_run (&r, S + DAEMON_REGISTRY_EXPIRE_US + 1));
  ck_assert_uint_eq (r.members.count, 0);
  daemon_registry_close (&r);
}
END_TEST

/* Guards against stops that are forgotten with a member that has sent no state
   for long, and against members that are kept without a store that has
   eras.  */
START_TEST (departed_members_are_remembered_with_eras)
{
  struct daemon_registry_state old = make_state (2, "10.0.0.2");
  struct daemon_registry_state next = make_state (3, "10.0.0.2");
  int64_t late_us = S + DAEMON_REGISTRY_EXPIRE_US + 1;
  struct daemon_registry r;

  backend_stops_add (&old.stops, STR_LIT ("a"), 100);
  for (int keeps = 0; keeps < 2; keeps++)
    {
      daemon_registry_init (&r, 1);
      r.keeps_departed = keeps;
      daemon_registry_apply (&r, &old, S);
      ck_assert (daemon_registry_run (&r, late_us));
      ck_assert_uint_eq (r.members.count, 0);
      ck_assert_uint_eq (r.departed.count, keeps);
      ck_assert ((daemon_registry_find_any (&r, 2) != NULL) == keeps);
      daemon_registry_apply (&r, &next, late_us);
      ck_assert_uint_eq (r.departed.count, 0);
      ck_assert_uint_eq (daemon_registry_find (&r, 3)->state.stops.len, keeps);
      daemon_registry_close (&r);
    }
  backend_stops_close (&old.stops);
}
END_TEST

/* Guards against departed members without limit, and against one of the last
   that is dropped for an older one.  */
START_TEST (oldest_departed_member_is_dropped)
{
  struct daemon_registry r;
  char name[16] = "", address[32] = "";

  daemon_registry_init (&r, 1);
  r.keeps_departed = true;
  for (uint32_t i = 0; i <= DAEMON_REGISTRY_DEPARTED_MAX; i++)
    {
      struct daemon_registry_state state = make_state (i + 2, address);

      g_snprintf (name, sizeof name, "n-%u", i);
      g_snprintf (address, sizeof address, "10.0.%u.%u", i / 256, i % 256);
      state.name = str_from_cstr (name);
      state.address = str_from_cstr (address);
      daemon_registry_apply (&r, &state, (int64_t)(i + 1) * 1000000);
      daemon_registry_run (&r, (int64_t)(i + 1) * 1000000
                                   + DAEMON_REGISTRY_EXPIRE_US + 1);
    }
  ck_assert_uint_eq (r.departed.count, DAEMON_REGISTRY_DEPARTED_MAX);
  ck_assert_ptr_null (daemon_registry_find_any (&r, 2));
  ck_assert_ptr_nonnull (daemon_registry_find_any (&r, 3));
  daemon_registry_close (&r);
}
END_TEST

/* Guards against fields that are lost or swapped in the encoding, and against
   truncated frames that are accepted as messages.  */
START_TEST (messages_round_trip)
{
  struct rate_share_demand demands[] = { { 7, 1024 }, { 8, 1 } };
  struct wire_registry_message m = { .type = WIRE_REGISTRY_STATE };
  struct wire_registry_message got;
  struct backend_stops stops;
  struct str_buf out = { 0 };
  struct str frame;

  m.u.state = make_state (9, "10.0.0.9");
  m.u.state.revision = 12;
  m.u.state.era = 13;
  m.u.state.entry_era = 14;
  m.u.state.store_restored = true;
  m.u.state.live = 15;
  m.u.state.leaving = true;
  m.u.state.store_failed = true;
  m.u.state.demands_len = 2;
  m.u.state.demands = demands;
  m.u.state.stops_known = true;
  m.u.state.evacuation_revision = 31;
  evacuation_domains_add (&m.u.state.evacuated, STR_LIT ("z1"));
  evacuation_domains_add (&m.u.state.evacuated, STR_LIT ("z2"));
  backend_stops_add (&m.u.state.stops, STR_LIT ("a"), 100);
  backend_stops_add (&m.u.state.stops, STR_LIT ("b"), 200);
  wire_registry_append (&out, &m);
  frame = str_slice (str_view (&out), 4, out.len);
  ck_assert (wire_registry_load (&got, frame));
  ck_assert_uint_eq (got.u.state.member, 9);
  ck_assert_uint_eq (got.u.state.revision, 12);
  ck_assert_uint_eq (got.u.state.era, 13);
  ck_assert_uint_eq (got.u.state.entry_era, 14);
  ck_assert (got.u.state.store_restored);
  ck_assert_uint_eq (got.u.state.live, 15);
  ck_assert (got.u.state.serving && got.u.state.leaving);
  ck_assert (got.u.state.store_failed);
  ck_assert (str_equal (got.u.state.service, STR_LIT ("s")));
  ck_assert_uint_eq (got.u.state.demands_len, 2);
  ck_assert_uint_eq (got.u.state.demands[1].hash, 8);
  ck_assert (got.u.state.stops_known);
  ck_assert_uint_eq (got.u.state.evacuation_revision, 31);
  ck_assert_uint_eq (got.u.state.evacuated.len, 2);
  ck_assert (str_equal (got.u.state.evacuated.names[1], STR_LIT ("z2")));
  ck_assert_uint_eq (got.u.state.stops.len, 2);
  ck_assert (backend_stops_contains (&got.u.state.stops, STR_LIT ("b"), 200));
  wire_registry_unload (&got);
  for (size_t len = 0; len < frame.len; len++)
    ck_assert (!wire_registry_load (&got, str_slice (frame, 0, len)));
  str_reset (&out);
  stops = m.u.state.stops;
  m.type = WIRE_REGISTRY_STOPS;
  m.u.stops.name = STR_LIT ("n");
  m.u.stops.stops = stops;
  wire_registry_append (&out, &m);
  frame = str_slice (str_view (&out), 4, out.len);
  ck_assert (wire_registry_load (&got, frame));
  ck_assert (str_equal (got.u.stops.name, STR_LIT ("n")));
  ck_assert (backend_stops_contains (&got.u.stops.stops, STR_LIT ("a"), 100));
  wire_registry_unload (&got);
  for (size_t len = 0; len < frame.len; len++)
    ck_assert (!wire_registry_load (&got, str_slice (frame, 0, len)));
  backend_stops_close (&stops);
  str_reset (&out);
  m.type = WIRE_REGISTRY_CONFIG;
  m.u.config.revision = 3;
  m.u.config.bytes = STR_LIT ("{}");
  wire_registry_append (&out, &m);
  ck_assert (
      wire_registry_load (&got, str_slice (str_view (&out), 4, out.len)));
  ck_assert (str_equal (got.u.config.bytes, STR_LIT ("{}")));
  wire_registry_unload (&got);
  str_reset (&out);
}
END_TEST

#define FLEET 4

/* Registries of a fleet of which each daemon knows all others.  */
struct fleet
{
  struct daemon_registry all[FLEET];
  char name[FLEET][8];
};

static void
send_states (struct fleet *f)
{
  for (uint64_t to = 0; to < FLEET; to++)
    for (uint64_t from = 0; from < FLEET; from++)
      {
        struct daemon_registry_state s = make_state (from + 1, f->name[from]);

        s.name = str_from_cstr (f->name[from]);
        s.leaving = f->all[from].self_leaving;
        daemon_registry_apply (&f->all[to], &s, 0);
      }
}

static void
open_fleet (struct fleet *f)
{
  for (uint64_t i = 0; i < FLEET; i++)
    {
      daemon_registry_init (&f->all[i], i + 1);
      snprintf (f->name[i], sizeof f->name[i], "n%d", (int)i);
    }
  send_states (f);
}

static void
close_fleet (struct fleet *f)
{
  for (uint64_t i = 0; i < FLEET; i++)
    daemon_registry_close (&f->all[i]);
}

static uint64_t
get_owner (const struct fleet *f, int at, uint64_t hash, int64_t now_us)
{
  return daemon_registry_get_owner (&f->all[at], str_from_cstr (f->name[at]),
                                    hash, now_us);
}

/* Guards against two owners of one pool, a token bucket that the daemons
   share.  Daemons with the same live members find the same owner; a daemon for
   which fewer than half of the members are live finds none.  */
START_TEST (owner_is_the_same_at_all_members)
{
  struct fleet f;

  open_fleet (&f);
  for (uint64_t hash = 0; hash < 100; hash++)
    for (int to = 1; to < FLEET; to++)
      ck_assert_uint_eq (get_owner (&f, to, hash, S),
                         get_owner (&f, 0, hash, S));
  for (uint64_t hash = 0; hash < 100; hash++)
    ck_assert_uint_eq (get_owner (&f, 0, hash, 9 * S), 0);
  close_fleet (&f);
}
END_TEST

/* Guards against a daemon that goes on granting the rate of its pools while it
   leaves, although the others have turned to its successor.  */
START_TEST (leaving_daemon_owns_no_pool)
{
  struct fleet f;
  uint64_t digest;

  open_fleet (&f);
  digest = daemon_registry_get_owners_digest (&f.all[0], S);
  f.all[0].self_leaving = true;
  ck_assert_uint_ne (daemon_registry_get_owners_digest (&f.all[0], S), digest);
  send_states (&f);
  for (uint64_t hash = 0; hash < 100; hash++)
    for (int at = 0; at < FLEET; at++)
      {
        ck_assert_uint_ne (get_owner (&f, at, hash, S), 1);
        ck_assert_uint_eq (get_owner (&f, at, hash, S),
                           get_owner (&f, 1, hash, S));
      }
  close_fleet (&f);
}
END_TEST

#define LARGE_FLEET 95
#define LARGE_DOMAINS 6

/* A fleet of the size of the users' large deployment.  */
struct large_fleet
{
  struct daemon_registry all[LARGE_FLEET];
  struct daemon_registry_state states[LARGE_FLEET];
  char name[LARGE_FLEET][8];
  char address[LARGE_FLEET][16];
  char domain[LARGE_FLEET][8];
  bool silent[LARGE_FLEET];
};

static void
exchange_states (struct large_fleet *f, int64_t now_us)
{
  for (int to = 0; to < LARGE_FLEET; to++)
    for (int from = 0; from < LARGE_FLEET; from++)
      if (!f->silent[from])
        daemon_registry_apply (&f->all[to], &f->states[from], now_us);
}

static struct large_fleet *
open_large_fleet (void)
{
  struct large_fleet *f = g_new0 (struct large_fleet, 1);

  for (int i = 0; i < LARGE_FLEET; i++)
    {
      daemon_registry_init (&f->all[i], (uint64_t)i + 1);
      snprintf (f->name[i], sizeof f->name[i], "n%d", i);
      snprintf (f->address[i], sizeof f->address[i], "10.0.0.%d", i);
      snprintf (f->domain[i], sizeof f->domain[i], "d%d", i % LARGE_DOMAINS);
      f->states[i] = make_state ((uint64_t)i + 1, f->address[i]);
      f->states[i].name = str_from_cstr (f->name[i]);
      f->states[i].domain = str_from_cstr (f->domain[i]);
    }
  exchange_states (f, 0);
  return f;
}

static void
close_large_fleet (struct large_fleet *f)
{
  for (int i = 0; i < LARGE_FLEET; i++)
    daemon_registry_close (&f->all[i]);
  g_free (f);
}

/* Counts the daemons that watch, and sets `reaching` to how many of them reach
   the store.  */
static uint32_t
count_watchers (const struct large_fleet *f, int64_t now_us,
                uint32_t *reaching)
{
  uint32_t watching = 0;

  *reaching = 0;
  for (int i = 0; i < LARGE_FLEET; i++)
    if (!f->silent[i]
        && daemon_registry_is_watcher (&f->all[i], f->states[i].name, now_us))
      {
        watching++;
        *reaching += !f->states[i].store_failed;
      }
  return watching;
}

/* Guards against store calls that grow with the fleet, and against a fleet that
   no longer hears of configurations: watchers that the store rejects are
   replaced at once, silent ones before their members time out.  */
START_TEST (few_daemons_watch_and_lost_ones_are_replaced)
{
  struct large_fleet *f = open_large_fleet ();
  uint32_t reaching;

  ck_assert_uint_eq (count_watchers (f, S, &reaching),
                     DAEMON_REGISTRY_WATCHERS);
  for (int i = 0; i < LARGE_FLEET; i++)
    f->states[i].store_failed
        = i % 2 == 0
          && daemon_registry_is_watcher (&f->all[i], f->states[i].name, S);
  exchange_states (f, S);
  count_watchers (f, S, &reaching);
  ck_assert_uint_eq (reaching, DAEMON_REGISTRY_WATCHERS);
  for (int i = 0; i < LARGE_FLEET; i++)
    f->silent[i]
        = daemon_registry_is_watcher (&f->all[i], f->states[i].name, S);
  exchange_states (f, 3 * S);
  count_watchers (f, 4 * S, &reaching);
  ck_assert_uint_ge (reaching, DAEMON_REGISTRY_WATCHERS);
  close_large_fleet (f);
}
END_TEST

/* Guards against a whole fleet that calls the store at once while it is down,
   and against one of which no daemon tries.  */
START_TEST (few_daemons_call_a_store_that_rejects_all)
{
  struct large_fleet *f = open_large_fleet ();
  uint32_t reaching, watching = 0;

  /* Each round, the daemons that watch find that the store is down.  */
  for (int round = 0; round < 8; round++)
    {
      for (int i = 0; i < LARGE_FLEET; i++)
        if (daemon_registry_is_watcher (&f->all[i], f->states[i].name, S))
          f->states[i].store_failed = true;
      exchange_states (f, S);
      watching = count_watchers (f, S, &reaching);
    }
  ck_assert_uint_ge (watching, DAEMON_REGISTRY_WATCHERS);
  ck_assert_uint_le (watching, DAEMON_REGISTRY_WATCHERS_MAX);
  close_large_fleet (f);
}
END_TEST

/* Guards against a watcher that sends a new configuration to the whole fleet:
   when four in each domain have it, a daemon asks one in its domain, and none
   is asked by more than half of the daemons there.  */
START_TEST (requests_for_a_configuration_are_spread)
{
  struct large_fleet *f = open_large_fleet ();
  uint32_t asked[LARGE_FLEET + 1] = { 0 };

  ck_assert_ptr_null (daemon_registry_find_revision (
      &f->all[0], 7, f->states[0].domain, 1, S));
  for (int i = 0; i < 4 * LARGE_DOMAINS; i++)
    f->states[i].revision = 7;
  exchange_states (f, S);
  for (int i = 4 * LARGE_DOMAINS; i < LARGE_FLEET; i++)
    {
      struct daemon_registry_member *m = daemon_registry_find_revision (
          &f->all[i], 7, f->states[i].domain, (uint32_t)i, S);

      ck_assert_ptr_nonnull (m);
      ck_assert_uint_eq (m->state.revision, 7);
      ck_assert (str_equal (m->state.domain, f->states[i].domain));
      asked[m->state.member]++;
    }
  for (int i = 0; i <= LARGE_FLEET; i++)
    ck_assert_uint_le (asked[i], LARGE_FLEET / LARGE_DOMAINS / 2);
  close_large_fleet (f);
}
END_TEST

/* Guards against a state that a partition delayed: sent by a process that has
   ended, it arrives after the states of the next process, which must remain
   known.  */
START_TEST (late_state_of_an_ended_process_is_ignored)
{
  struct daemon_registry_state old = make_state (2, "10.0.0.2");
  struct daemon_registry_state new = make_state (3, "10.0.0.2");
  struct daemon_registry r;

  old.started_ms = 1000;
  new.started_ms = 2000;
  daemon_registry_init (&r, 1);
  ck_assert (daemon_registry_apply (&r, &new, 0));
  ck_assert (!daemon_registry_apply (&r, &old, S));
  daemon_registry_apply (&r, &new, 2 * S);
  ck_assert_uint_eq (count_endpoints (&r, 2 * S), 1);
  ck_assert_ptr_null (daemon_registry_find (&r, 2));
  /* The clock was set back: the process that still sends states is
     running.  */
  ck_assert (daemon_registry_apply (&r, &old, 6 * S));
  ck_assert_ptr_nonnull (daemon_registry_find (&r, 2));
  ck_assert_ptr_null (daemon_registry_find (&r, 3));
  /* The partition delayed the states of the ended process and is over: the
     running process sends its state again.  */
  ck_assert (daemon_registry_apply (&r, &new, 7 * S));
  ck_assert_ptr_nonnull (daemon_registry_find (&r, 3));
  ck_assert_ptr_null (daemon_registry_find (&r, 2));
  ck_assert (!daemon_registry_apply (&r, &old, 8 * S));
  daemon_registry_close (&r);
}
END_TEST

/* Guards against a daemon that forgets, with an ended process of another
   daemon, which boots of that daemon's backend server have stopped: also after
   a second process that does not know them either.  */
START_TEST (stops_outlive_the_process_that_reported_them)
{
  struct daemon_registry_state old = make_state (2, "10.0.0.2");
  struct daemon_registry_state new = make_state (3, "10.0.0.2");
  struct daemon_registry_state other = make_state (9, "10.0.0.9");
  struct daemon_registry_member *m;
  struct daemon_registry r;

  other.name = STR_LIT ("other");
  old.stops_known = true;
  backend_stops_add (&old.stops, STR_LIT ("a"), 100);
  daemon_registry_init (&r, 1);
  daemon_registry_apply (&r, &old, 0);
  daemon_registry_apply (&r, &new, S);
  daemon_registry_apply (&r, &new, 2 * S);
  new.member = 4;
  daemon_registry_apply (&r, &new, 3 * S);
  daemon_registry_apply (&r, &other, 3 * S);
  m = daemon_registry_find (&r, 4);
  ck_assert_ptr_nonnull (m);
  ck_assert (m->state.stops_known);
  ck_assert (backend_stops_contains (&m->state.stops, STR_LIT ("a"), 100));
  m = daemon_registry_find (&r, 9);
  ck_assert (!m->state.stops_known);
  ck_assert_uint_eq (m->state.stops.len, 0);
  daemon_registry_close (&r);
  backend_stops_close (&old.stops);
}
END_TEST

/* Guards against pool owners that are not updated when a member times out,
   leaves or becomes live again: tokens would be requested from the wrong
   daemon.  */
START_TEST (owners_digest_follows_the_live_members)
{
  struct daemon_registry_state a = make_state (2, "10.0.0.2");
  struct daemon_registry_state b = make_state (3, "10.0.0.3");
  struct daemon_registry r;
  uint64_t both, one, leaving;

  daemon_registry_init (&r, 1);
  daemon_registry_apply (&r, &a, 0);
  daemon_registry_apply (&r, &b, 0);
  both = daemon_registry_get_owners_digest (&r, S);
  daemon_registry_apply (&r, &a, 2 * S);
  ck_assert_uint_eq (daemon_registry_get_owners_digest (&r, 2 * S), both);
  one = daemon_registry_get_owners_digest (&r, 4 * S);
  ck_assert_uint_ne (one, both);
  daemon_registry_apply (&r, &b, 4 * S);
  ck_assert_uint_eq (daemon_registry_get_owners_digest (&r, 4 * S), both);
  b.leaving = true;
  daemon_registry_apply (&r, &b, 4 * S);
  leaving = daemon_registry_get_owners_digest (&r, 4 * S);
  ck_assert_uint_ne (leaving, both);
  daemon_registry_close (&r);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    unresponsive_member_is_no_endpoint,
    restart_retires_the_earlier_process,
    listed_member_gets_state_but_is_no_endpoint,
    messages_round_trip,
    departed_members_are_remembered_with_eras,
    oldest_departed_member_is_dropped,
    owner_is_the_same_at_all_members,
    leaving_daemon_owns_no_pool,
    few_daemons_watch_and_lost_ones_are_replaced,
    few_daemons_call_a_store_that_rejects_all,
    requests_for_a_configuration_are_spread,
    owners_digest_follows_the_live_members,
    late_state_of_an_ended_process_is_ignored,
    stops_outlive_the_process_that_reported_them,
  };

  return suite_run ("daemon_registry", cases, sizeof cases / sizeof *cases);
}
