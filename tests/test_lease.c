/* Tests of the lease module: cases with one daemon, whose answers from the
   platform and other daemons the test makes up, and simulations of several
   daemons under random and planned faults.  */

#include "lease.h"
#include "shard_sim.h"

#include <check.h>
#include <stdlib.h>

#define SEEDS 6
#define SEED 100
#define TERM_US 6000000
#define PROMISE_US 4000000

static const struct sim_workspace workspaces[] = {
  { "large", { 40, 60 }, 30 },
  { "small", { 1, 3 }, 0.8 },
};

static const struct lease_daemon self = { 7, 1 };
static const struct lease_daemon other = { 8, 1 };
static const struct lease_daemon third = { 9, 1 };

/* Removes all actions from a table.  Returns true and the last action of a
   kind if there was one.  */
static bool
remove_actions (struct lease_table *t, enum lease_action_kind kind,
                struct lease_action *action)
{
  bool found = false;
  void *row;

  for (uint64_t id = table_next (&t->actions, 0, &row); id != 0;
       id = table_next (&t->actions, id, &row))
    {
      if (((struct lease_action *)row)->kind == kind)
        {
          *action = *(struct lease_action *)row;
          found = true;
        }
      table_remove (&t->actions, id);
    }
  return found;
}

static void
answer (struct lease_table *t, enum lease_event_kind kind,
        const struct lease_action *a, uint64_t version,
        struct lease_object object, int64_t now_us)
{
  struct lease_event e = { .kind = kind,
                           .shard = a->shard,
                           .request = a->request,
                           .version = version,
                           .object = object };

  lease_apply_event (t, &e, now_us);
}

static bool
request_promise (struct lease_table *t, uint64_t epoch, int64_t now_us)
{
  struct lease_event e
      = { .kind = LEASE_EVENT_PROMISE_REQUEST, .peer = other, .epoch = epoch };
  struct lease_action a;

  lease_apply_event (t, &e, now_us);
  ck_assert (remove_actions (t, LEASE_REPLY_PROMISE, &a));
  return a.promise_ms > 0;
}

/* Initializes a table with one shard that `other` holds at version 5, read at
   time 0.  */
static void
init_held_shard (struct lease_table *t, struct lease_daemon candidate)
{
  struct lease_settings settings = lease_get_defaults ();
  struct lease_daemon candidates[LEASE_CANDIDATES] = { other, third };
  struct lease_object object = { .holder = other,
                                 .epoch = 3,
                                 .candidates = { candidate, third },
                                 .term_ms = 6000 };
  struct lease_action a;

  settings.shards = 1;
  lease_init_table (t, self, &settings);
  lease_set_candidates (t, 0, candidates, true);
  lease_run (t, 0);
  ck_assert (remove_actions (t, LEASE_READ, &a));
  answer (t, LEASE_EVENT_READ, &a, 5, object, 0);
}

/* Runs a tick every 100 ms, with read_answer as the answer to each read, until
   the table writes or until_us is reached.  Returns true and the write if
   there was one.  */
static bool
run_until_write (struct lease_table *t, int64_t from_us, int64_t until_us,
                 enum lease_event_kind read_answer, struct lease_action *a,
                 int64_t *at_us)
{
  for (int64_t now = from_us; now < until_us; now += 100000)
    {
      struct lease_object object = t->shards[0].object;
      struct lease_action read;

      *at_us = now;
      lease_run (t, now);
      if (t->shards[0].op == LEASE_WRITE_PENDING)
        return remove_actions (t, LEASE_WRITE, a);
      if (remove_actions (t, LEASE_READ, &read))
        answer (t, read_answer, &read, t->shards[0].version, object, now);
    }
  return false;
}

/* Guards against a takeover before the holder's term has ended, and against a
   new holder that grants tokens before the grants of the previous holder have
   expired.  */
START_TEST (candidate_waits_for_term_and_grants)
{
  struct lease_table t;
  struct lease_action a;
  int64_t at;

  init_held_shard (&t, self);
  ck_assert (run_until_write (&t, 0, 2 * TERM_US, LEASE_EVENT_READ, &a, &at));
  ck_assert_int_ge (at, TERM_US);
  ck_assert_uint_eq (a.version, 5);
  ck_assert_uint_eq (a.object.epoch, 4);
  answer (&t, LEASE_EVENT_WRITTEN, &a, 6, a.object, at + 10000);
  lease_run (&t, at + 1400000);
  ck_assert (!lease_is_granting (&t, 0, at + 1400000));
  lease_run (&t, at + 1600000);
  ck_assert (lease_is_granting (&t, 0, at + 1600000));
  ck_assert (!lease_is_granting (&t, 0, at + TERM_US));
  lease_close_table (&t);
}
END_TEST

/* Guards against a candidate that promises not to take over while its own
   takeover write may still take effect: there would be two holders.  */
START_TEST (unresolved_takeover_rejects_promise_requests)
{
  struct lease_table t;
  struct lease_action a;
  int64_t at;

  init_held_shard (&t, self);
  ck_assert (run_until_write (&t, 0, 2 * TERM_US, LEASE_EVENT_READ, &a, &at));
  answer (&t, LEASE_EVENT_UNKNOWN, &a, 0, a.object, at);
  ck_assert (!request_promise (&t, 3, at));
  /* Reading the old version does not prove that the write was lost.  */
  lease_run (&t, at + 300000);
  ck_assert (remove_actions (&t, LEASE_READ, &a));
  answer (&t, LEASE_EVENT_READ, &a, 5, t.shards[0].object, at + 300000);
  ck_assert (t.shards[0].unresolved);
  lease_run (&t, at + 400000);
  ck_assert (remove_actions (&t, LEASE_WRITE, &a));
  answer (&t, LEASE_EVENT_UNREACHABLE, &a, 0, a.object, at + 400000);
  ck_assert (!request_promise (&t, 3, at + 400000));
  lease_close_table (&t);
}
END_TEST

/* Guards against a candidate that breaks its promise not to take over, and
   against one that makes a promise although it reaches the platform.  */
START_TEST (promise_binds_candidate)
{
  struct lease_table t;
  struct lease_action a;
  int64_t at;

  init_held_shard (&t, self);
  ck_assert (!request_promise (&t, 3, 100000));
  ck_assert (!run_until_write (&t, 2100000, TERM_US, LEASE_EVENT_UNREACHABLE,
                               &a, &at));
  ck_assert (!request_promise (&t, 2, TERM_US));
  ck_assert (request_promise (&t, 3, TERM_US));
  ck_assert_int_eq (t.shards[0].state, LEASE_PROMISED);
  ck_assert (
      run_until_write (&t, TERM_US, 3 * TERM_US, LEASE_EVENT_READ, &a, &at));
  ck_assert_int_ge (at, TERM_US + PROMISE_US);
  lease_close_table (&t);
}
END_TEST

/* Guards against a restarted candidate that takes over although it promised
   not to before the restart.  It must wait for the abandon time.  */
START_TEST (restarted_candidate_waits_for_abandonment)
{
  struct lease_table t;
  struct lease_action a;
  struct lease_daemon before = { 7, 0 };
  int64_t at;

  init_held_shard (&t, before);
  ck_assert (run_until_write (&t, 0, INT64_C (3700) * 1000000,
                              LEASE_EVENT_READ, &a, &at));
  ck_assert_int_ge (at, INT64_C (3600) * 1000000);
  lease_close_table (&t);
}
END_TEST

/* Guards against a term that starts when a slow platform answers instead of
   when the write was sent, and against applying the answer to an operation
   that is no longer pending.  */
START_TEST (lease_term_starts_at_sending)
{
  struct lease_settings settings = lease_get_defaults ();
  struct lease_daemon candidates[LEASE_CANDIDATES] = { other, third };
  struct lease_table t;
  struct lease_action a, late;

  settings.shards = 1;
  lease_init_table (&t, self, &settings);
  lease_set_candidates (&t, 0, candidates, true);
  lease_run (&t, 0);
  ck_assert (remove_actions (&t, LEASE_READ, &a));
  answer (&t, LEASE_EVENT_ABSENT, &a, 0, a.object, 0);
  lease_run (&t, 0);
  ck_assert (remove_actions (&t, LEASE_WRITE, &a));
  ck_assert_uint_eq (a.version, 0);
  answer (&t, LEASE_EVENT_UNKNOWN, &a, 0, a.object, 1000000);
  late = a;
  answer (&t, LEASE_EVENT_WRITTEN, &late, 1, a.object, 1100000);
  ck_assert_uint_eq (t.shards[0].version, 0);
  lease_run (&t, 1300000);
  ck_assert (remove_actions (&t, LEASE_READ, &a));
  answer (&t, LEASE_EVENT_READ, &a, 1, late.object, 5000000);
  ck_assert (lease_is_granting (&t, 0, TERM_US - 1));
  ck_assert (!lease_is_granting (&t, 0, TERM_US));
  lease_close_table (&t);
}
END_TEST

/* Guards against a holder that continues to grant after its term with only one
   of two promises, with the reply to another request, or past the abandon
   time.  */
START_TEST (holder_needs_all_promises)
{
  struct lease_table t;
  struct lease_shard *s;
  struct lease_event e = { .kind = LEASE_EVENT_PROMISE_REPLY, .epoch = 3 };

  init_held_shard (&t, other);
  s = &t.shards[0];
  s->object.holder = self;
  s->lease_start_us = 0;
  s->granting = true;
  s->store_unreachable = true;
  lease_run (&t, TERM_US - 500000);
  e.promise_ms = 4000;
  e.peer = other;
  e.request = s->promise_request[0];
  lease_apply_event (&t, &e, TERM_US - 100000);
  ck_assert (!lease_is_granting (&t, 0, TERM_US));
  e.peer = third;
  e.request = s->promise_request[1] - 1;
  lease_apply_event (&t, &e, TERM_US - 100000);
  ck_assert (!lease_is_granting (&t, 0, TERM_US));
  e.request = s->promise_request[1];
  lease_apply_event (&t, &e, TERM_US - 100000);
  ck_assert (lease_is_granting (&t, 0, TERM_US));
  ck_assert (!lease_is_granting (&t, 0, TERM_US - 500000 + PROMISE_US));
  s->promise_until_us[0] = s->promise_until_us[1] = INT64_MAX;
  ck_assert (!lease_is_granting (&t, 0, INT64_C (3540) * 1000000));
  lease_close_table (&t);
}
END_TEST

static void
reply_with_promise (struct lease_table *t, uint32_t index,
                    struct lease_daemon peer, int64_t now_us)
{
  struct lease_event e = { .kind = LEASE_EVENT_PROMISE_REPLY,
                           .epoch = 3,
                           .promise_ms = 4000,
                           .peer = peer,
                           .request = t->shards[0].promise_request[index] };

  lease_apply_event (t, &e, now_us);
}

/* A platform outage starts while the holder writes new candidates, so the
   outcome of the write is not known.  Guards against a holder that stops
   although the old candidates and the new one have promised not to take over,
   and against one that continues without the promise of the new one.  */
START_TEST (unknown_change_of_candidates_needs_all_promises)
{
  const struct lease_daemon fourth = { 10, 1 };
  const struct lease_daemon candidates[LEASE_CANDIDATES] = { other, fourth };
  struct lease_action write = { 0 };
  struct lease_table t;
  struct lease_shard *s;
  int64_t at_us;

  init_held_shard (&t, other);
  s = &t.shards[0];
  s->object.holder = self;
  s->lease_start_us = 0;
  s->granting = true;
  s->next_op_us = 0;
  lease_set_candidates (&t, 0, candidates, true);
  ck_assert (run_until_write (&t, 2000000, TERM_US, LEASE_EVENT_UNREACHABLE,
                              &write, &at_us));
  answer (&t, LEASE_EVENT_UNKNOWN, &write, 0, s->object, at_us);
  lease_run (&t, TERM_US - 500000);
  reply_with_promise (&t, 0, other, TERM_US - 400000);
  reply_with_promise (&t, 1, third, TERM_US - 400000);
  ck_assert (!lease_is_granting (&t, 0, TERM_US));
  reply_with_promise (&t, LEASE_CANDIDATES, fourth, TERM_US - 400000);
  ck_assert (lease_is_granting (&t, 0, TERM_US));
  ck_assert (!lease_is_granting (&t, 0, TERM_US - 500000 + PROMISE_US));
  lease_close_table (&t);
}
END_TEST

/* Applies the reply to a promise request from a candidate whose process was
   restarted.  */
static void
reply_by_later_run (struct lease_table *t, uint32_t age_ms,
                    uint64_t first_incarnation, int64_t now_us)
{
  struct lease_event e = { .kind = LEASE_EVENT_PROMISE_REPLY,
                           .epoch = 3,
                           .age_ms = age_ms,
                           .first_incarnation_at_address = first_incarnation,
                           .peer = { other.id, other.incarnation + 1 },
                           .request = t->shards[0].promise_request[0] };

  lease_apply_event (t, &e, now_us);
}

/* Guards against a holder that stops in an outage because a candidate was
   restarted.  Also guards against one that continues although a takeover is
   still possible: the candidate's earlier run may still be up at another
   address, it may have tried to take over before it ended, or the other
   candidate has not promised.  */
START_TEST (promise_not_needed_from_ended_run)
{
  static const struct
  {
    uint32_t age_ms;
    uint64_t first_incarnation;
    bool promised;
    bool granting;
  } cases[] = {
    { 3000, 1, true, true },
    { 3000, 1, false, false },
    { 3000, 2, true, false }, /* another address */
    { 3000, 0, true, false }, /* address not known */
    { 800, 1, true, false },  /* started 200 ms after the term */
    /* at the end of the term, or later if its clock is fast by 1% */
    { 1000, 1, true, false },
    { 1020, 1, true, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct lease_table t;
      struct lease_shard *s;

      init_held_shard (&t, other);
      s = &t.shards[0];
      s->object.holder = self;
      s->lease_start_us = 0;
      s->granting = true;
      s->store_unreachable = true;
      lease_run (&t, TERM_US - 500000);
      if (cases[i].promised)
        reply_with_promise (&t, 1, third, TERM_US - 400000);
      reply_by_later_run (&t, cases[i].age_ms, cases[i].first_incarnation,
                          TERM_US + 1000000);
      ck_assert_int_eq (lease_is_granting (&t, 0, TERM_US + 1100000),
                        cases[i].granting);
      lease_close_table (&t);
    }
}
END_TEST

/* Guards against a promise reply whose age of the daemon's run is too high.
   The age is 0 if the start time is not known.  */
START_TEST (promise_reply_has_age_of_the_run)
{
  struct lease_event e = { .kind = LEASE_EVENT_PROMISE_REQUEST, .epoch = 3 };
  struct lease_action a;
  struct lease_table t;

  init_held_shard (&t, self);
  lease_apply_event (&t, &e, 5000000);
  ck_assert (remove_actions (&t, LEASE_REPLY_PROMISE, &a));
  ck_assert_uint_eq (a.age_ms, 0);
  t.started_us = 1500000;
  lease_apply_event (&t, &e, 5000000);
  ck_assert (remove_actions (&t, LEASE_REPLY_PROMISE, &a));
  ck_assert_uint_eq (a.age_ms, 3500);
  lease_close_table (&t);
}
END_TEST

/* Guards against a holder that continues although it could not record all
   candidates of writes with unknown outcome: it must stop when there are too
   many.  */
START_TEST (too_many_pending_candidates_stop_the_holder)
{
  struct lease_table t;
  struct lease_shard *s;

  init_held_shard (&t, other);
  s = &t.shards[0];
  s->object.holder = self;
  s->lease_start_us = 0;
  s->granting = true;
  for (uint32_t i = 0; i <= LEASE_PENDING_CANDIDATES; i++)
    {
      struct lease_event e = { .kind = LEASE_EVENT_UNKNOWN, .request = i + 1 };

      s->op = LEASE_WRITE_PENDING;
      s->op_request = i + 1;
      s->write_object = s->object;
      s->write_object.candidates[0] = (struct lease_daemon){ 100 + i, 1 };
      lease_apply_event (&t, &e, 1000);
    }
  for (uint32_t i = 0; i < LEASE_PROMISERS; i++)
    s->promise_until_us[i] = INT64_MAX;
  ck_assert (!lease_is_granting (&t, 0, TERM_US));
  lease_close_table (&t);
}
END_TEST

/* Guards against few members holding most shards, and against a candidate in
   the failure domain of the holder or of the other candidate.  */
START_TEST (candidates_spread_over_members_and_domains)
{
  struct lease_member members[12];
  int held[12] = { 0 };

  for (uint64_t i = 0; i < 12; i++)
    members[i] = (struct lease_member){ { i + 1, 1 }, (uint32_t)i % 3 };
  for (uint32_t shard = 0; shard < LEASE_SHARDS_MAX; shard++)
    {
      struct lease_daemon candidates[LEASE_CANDIDATES];
      struct lease_daemon none = { 0 };
      struct lease_daemon holder
          = lease_choose_candidates (shard, members, 12, none, candidates);

      held[holder.id - 1]++;
      ck_assert_uint_ne ((holder.id - 1) % 3, (candidates[0].id - 1) % 3);
      ck_assert_uint_ne ((holder.id - 1) % 3, (candidates[1].id - 1) % 3);
      ck_assert_uint_ne ((candidates[0].id - 1) % 3,
                         (candidates[1].id - 1) % 3);
    }
  for (int i = 0; i < 12; i++)
    ck_assert (held[i] >= 8 && held[i] <= 42);
}
END_TEST

static uint64_t
count_double_holders (const struct sim_options *opt)
{
  struct sim *s = g_new (struct sim, 1);
  uint64_t n;

  sim_open (s, opt);
  sim_run (s, opt->length_ms);
  ck_assert_uint_gt (s->takeovers, SIM_SHARDS);
  n = s->double_holders + s->old_epoch_grants;
  sim_close (s);
  g_free (s);
  return n;
}

static struct sim_options
get_options (uint32_t seed)
{
  return (struct sim_options){ .seed = seed,
                               .length_ms = 120000,
                               .nodes = 6,
                               .workspaces_len = 2,
                               .workspaces = workspaces,
                               .late_chance = 0.02,
                               .drift_ppm = 4000 };
}

/* Guards against two holders that grant at the same time, and against a grant
   of an older epoch after one of a newer epoch, under random faults.  */
START_TEST (one_holder_under_random_faults)
{
  struct sim_options opt = get_options (SEED + (uint32_t)_i);

  opt.faults = true;
  ck_assert_uint_eq (count_double_holders (&opt), 0);
}
END_TEST

/* Guards against two holders when the candidates reach the platform again
   before the holder does.  Without the promise rule there must be two, which
   shows that the check detects them.  */
START_TEST (one_holder_only_with_the_promise_rule)
{
  struct sim_options opt = get_options (SEED);

  opt.length_ms = 60000;
  opt.outage_ms = 10000;
  ck_assert_uint_eq (count_double_holders (&opt), 0);
  opt.disabled_lease_rules = LEASE_RULE_PROMISE;
  ck_assert_uint_gt (count_double_holders (&opt), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("lease");
  TCase *tc = tcase_create ("lease");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 120);
  tcase_add_test (tc, candidate_waits_for_term_and_grants);
  tcase_add_test (tc, unresolved_takeover_rejects_promise_requests);
  tcase_add_test (tc, promise_binds_candidate);
  tcase_add_test (tc, restarted_candidate_waits_for_abandonment);
  tcase_add_test (tc, lease_term_starts_at_sending);
  tcase_add_test (tc, holder_needs_all_promises);
  tcase_add_test (tc, unknown_change_of_candidates_needs_all_promises);
  tcase_add_test (tc, promise_not_needed_from_ended_run);
  tcase_add_test (tc, promise_reply_has_age_of_the_run);
  tcase_add_test (tc, too_many_pending_candidates_stop_the_holder);
  tcase_add_test (tc, candidates_spread_over_members_and_domains);
  tcase_add_loop_test (tc, one_holder_under_random_faults, 0, SEEDS);
  tcase_add_test (tc, one_holder_only_with_the_promise_rule);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
