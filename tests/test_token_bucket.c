/* Tests of the token_bucket module and its use with quota: the bound in every
   window, small rates, division of tokens, changes of the limit, takeover.  */

#include "shard_sim.h"
#include "token_bucket.h"

#include <check.h>
#include <stdlib.h>

#define SEED 200
#define SEEDS 6
#define EPOCH 1

static const struct sim_workspace workspaces[] = {
  { "large", { 40, 60 }, 30 },
  { "small", { 1, 3 }, 0.8 },
  { "middle", { 10, 20 }, 12 },
};

/* The load is so low that the bucket is full when tokens are requested by
   daemons that hoard them until they expire.  */
static const struct sim_workspace low_load[] = { { "large", { 40, 60 }, 1 } };

static void
open_set (struct token_bucket_set *set, struct token_bucket_limit limit)
{
  token_bucket_init_set (set, 1);
  token_bucket_set_limit (set, STR_LIT ("w"), limit, 0);
  token_bucket_start_shard (set, 0, EPOCH, 0);
}

/* Runs the set with one token request.  Returns the tokens that it got, or -1
   if it was kept for a later run.  */
static int
request_tokens (struct token_bucket_set *set, uint32_t waiting,
                uint32_t demand, int64_t now_us)
{
  struct token_bucket_grant grant;
  void *row;
  uint64_t id;

  ck_assert (token_bucket_add_request (set, 1, STR_LIT ("w"), waiting, demand,
                                       0, 0, 1, now_us));
  token_bucket_run (set, now_us);
  id = table_next (&set->grants, 0, &row);
  if (id == 0)
    return -1;
  grant = *(struct token_bucket_grant *)row;
  table_remove (&set->grants, id);
  return (int)grant.count;
}

/* Guards against small rates and bursts that never yield a whole token, or
   that yield too many tokens when these are spent late.  */
START_TEST (smallest_limit_yields_whole_tokens)
{
  struct token_bucket_set set;
  int granted = 0;

  open_set (&set, (struct token_bucket_limit){ 1, 1 });
  for (int64_t ms = 0; ms < 60000; ms += 50)
    {
      granted += request_tokens (&set, 1, 0, ms * 1000) == 1;
      token_bucket_stop_shard (&set, 0);
      token_bucket_start_shard (&set, 0, EPOCH, ms * 1000);
    }
  /* A token can be spent up to 0.1 s after its grant, and the next one accrues
     only after that.  */
  ck_assert_int_ge (granted, 50);
  ck_assert_int_le (granted, 60);
  token_bucket_close_set (&set);
}
END_TEST

/* Guards against a daemon with low load that gets as many tokens as one with
   high load, and against tokens lost in the division.  */
START_TEST (tokens_are_divided_by_waiting_requests)
{
  struct token_bucket_set set;
  struct token_bucket_grant *g;
  uint32_t sum = 0;
  void *row;

  open_set (&set, (struct token_bucket_limit){ 100, 100 });
  token_bucket_add_request (&set, 1, STR_LIT ("w"), 300, 0, 0, 0, 1, 1000000);
  token_bucket_add_request (&set, 2, STR_LIT ("w"), 100, 0, 0, 0, 1, 1000000);
  token_bucket_run (&set, 1000000);
  for (uint64_t id = table_next (&set.grants, 0, &row); id != 0;
       id = table_next (&set.grants, id, &row))
    {
      g = row;
      ck_assert_uint_eq (g->count, g->requester == 1 ? 75 : 25);
      sum += g->count;
    }
  ck_assert_uint_eq (sum, 100);
  token_bucket_close_set (&set);
}
END_TEST

/* Guards against advance grants that leave no tokens for a daemon whose load
   begins, and against a refusal although enough tokens accrue soon.  */
START_TEST (advance_grants_leave_a_reserve)
{
  struct token_bucket_set set;

  open_set (&set, (struct token_bucket_limit){ 100, 100 });
  ck_assert_int_eq (request_tokens (&set, 0, 1000, 2000000), 75);
  ck_assert_int_eq (request_tokens (&set, 25, 0, 2000000), 25);
  ck_assert_int_eq (request_tokens (&set, 1, 0, 2000000), -1);
  token_bucket_close_set (&set);
}
END_TEST

/* Guards against a bucket that keeps its level in a new epoch, and against one
   that loses it when the same epoch continues.  */
START_TEST (new_epoch_starts_empty)
{
  struct token_bucket_set set;

  open_set (&set, (struct token_bucket_limit){ 10, 100 });
  token_bucket_stop_shard (&set, 0);
  ck_assert (!token_bucket_add_request (&set, 1, STR_LIT ("w"), 1, 0, 0, 0, 1,
                                        9000000));
  token_bucket_start_shard (&set, 0, EPOCH, 9000000);
  ck_assert_int_eq (request_tokens (&set, 50, 0, 9000000), 50);
  token_bucket_start_shard (&set, 0, EPOCH + 1, 9000000);
  ck_assert_int_eq (request_tokens (&set, 50, 0, 9000000), 0);
  token_bucket_close_set (&set);
}
END_TEST

/* Guards against a level above a burst that was lowered, and against tokens
   for a workspace that was removed and added again.  */
START_TEST (lower_burst_applies_at_once)
{
  struct token_bucket_set set;

  open_set (&set, (struct token_bucket_limit){ 10, 100 });
  token_bucket_set_limit (&set, STR_LIT ("w"),
                          (struct token_bucket_limit){ 1, 5 }, 20000000);
  ck_assert_int_eq (request_tokens (&set, 50, 0, 20000000), 5);
  token_bucket_set_limit (&set, STR_LIT ("w"),
                          (struct token_bucket_limit){ 0, 0 }, 20000000);
  ck_assert (!token_bucket_add_request (&set, 1, STR_LIT ("w"), 1, 0, 0, 0, 1,
                                        20000000));
  token_bucket_set_limit (&set, STR_LIT ("w"),
                          (struct token_bucket_limit){ 10, 5 }, 20000000);
  ck_assert_int_eq (request_tokens (&set, 1, 0, 20900000), -1);
  token_bucket_close_set (&set);
}
END_TEST

static uint64_t
count_over_limit (const struct sim_options *opt, uint64_t *double_holders)
{
  struct sim *s = g_new (struct sim, 1);
  uint64_t n;

  sim_open (s, opt);
  sim_run (s, opt->length_ms);
  ck_assert_uint_gt (s->spending[0].times->len, 100);
  n = s->over_limit;
  *double_holders = s->double_holders;
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
                               .workspaces_len = 3,
                               .workspaces = workspaces,
                               .hoard = true,
                               .late_chance = 0.02 };
}

/* Guards against more than burst + rate x w tokens spent in any window of
   length w, with daemons that hoard tokens until they expire, with faults and,
   for half of the seeds, with changes of the rate.  */
START_TEST (rate_bound_holds_in_every_window)
{
  struct sim_options opt = get_options (SEED + (uint32_t)_i);
  uint64_t holders;

  opt.faults = true;
  opt.limit_changes = _i % 2 == 1;
  ck_assert_uint_eq (count_over_limit (&opt, &holders), 0);
  ck_assert_uint_eq (holders, 0);
}
END_TEST

static void
check_bucket_rule (struct sim_options *opt, uint32_t rule)
{
  uint64_t holders;

  ck_assert_uint_eq (count_over_limit (opt, &holders), 0);
  opt->disabled_bucket_rules = rule;
  ck_assert_uint_gt (count_over_limit (opt, &holders), 0);
}

/* Guards against a window whose spent tokens exceed the bound because some
   were granted before it.  Shows that the same simulation exceeds the bound if
   outstanding tokens do not reduce the highest level of a bucket.  */
START_TEST (without_reduced_depth_bound_is_exceeded)
{
  struct sim_options opt = get_options (SEED);

  opt.faults = true;
  check_bucket_rule (&opt, TOKEN_BUCKET_RULE_DEPTH);
}
END_TEST

/* Guards against a successor, the next holder of a shard, that starts with
   full buckets.  The simulation has planned takeovers and daemons that hoard
   tokens.  Shows that without the rule it exceeds the bound.  */
START_TEST (without_empty_start_bound_is_exceeded)
{
  struct sim_options opt = get_options (SEED);

  opt.workspaces = low_load;
  opt.workspaces_len = 1;
  opt.late_chance = 0;
  opt.release_ms = 9050;
  check_bucket_rule (&opt, TOKEN_BUCKET_RULE_EMPTY_START);
}
END_TEST

/* Removes all actions and returns the last one of a kind.  */
static struct lease_action
take_action (struct lease_table *t, enum lease_action_kind kind)
{
  struct lease_action a = { 0 };
  void *row;

  for (uint64_t id = table_next (&t->actions, 0, &row); id != 0;
       id = table_next (&t->actions, id, &row))
    {
      if (((struct lease_action *)row)->kind == kind)
        a = *(struct lease_action *)row;
      table_remove (&t->actions, id);
    }
  ck_assert_int_eq (a.kind, kind);
  return a;
}

/* Returns the tokens that can be spent at one moment: the burst that the old
   holder granted just before it released the shard, and the tokens that its
   successor grants just before the burst expires.  */
static int
spend_across_takeover (uint32_t disabled_rules)
{
  struct lease_settings settings = lease_get_defaults ();
  struct lease_daemon self = { 1, 1 }, wanted[LEASE_CANDIDATES] = { { 0 } };
  struct lease_event e = { .kind = LEASE_EVENT_READ, .version = 1 };
  struct token_bucket_limit limit = { 40, 60 };
  int64_t expiry = 10000000 + token_bucket_get_validity (limit) - 1;
  struct lease_table t;
  struct token_bucket_set old, new;
  int spent;

  settings.shards = 1;
  settings.disabled_rules = disabled_rules;
  lease_init_table (&t, self, &settings);
  lease_set_candidates (&t, 0, wanted, true);
  open_set (&old, limit);
  open_set (&new, limit);
  token_bucket_stop_shard (&new, 0);
  spent = request_tokens (&old, 60, 0, 10000000);
  token_bucket_stop_shard (&old, 0);
  lease_run (&t, 10000000);
  e.object = (struct lease_object){ .holder = { 2, 1 },
                                    .epoch = 1,
                                    .candidates = { self },
                                    .term_ms = 6000,
                                    .released = true };
  e.request = take_action (&t, LEASE_READ).request;
  lease_apply_event (&t, &e, 10010000);
  lease_run (&t, 10010000);
  e.kind = LEASE_EVENT_WRITTEN;
  e.version = 2;
  e.request = take_action (&t, LEASE_WRITE).request;
  lease_apply_event (&t, &e, 10020000);
  if (lease_is_granting (&t, 0, expiry))
    {
      token_bucket_start_shard (&new, 0, 2, 10020000);
      spent += request_tokens (&new, 20, 0, expiry);
    }
  lease_close_table (&t);
  token_bucket_close_set (&old);
  token_bucket_close_set (&new);
  return spent;
}

/* Guards against a successor that grants while the previous holder's tokens
   are valid.  Shows that without the wait the same steps exceed the burst.  */
START_TEST (without_successor_wait_burst_is_exceeded)
{
  ck_assert_int_eq (spend_across_takeover (0), 60);
  ck_assert_int_gt (spend_across_takeover (LEASE_RULE_WAIT), 60);
}
END_TEST

/* Returns the tokens that can be spent at one moment when a holder that paused
   for 3 s sends its grant late and grants again.  */
static int
spend_late_grant (uint32_t disabled_rules)
{
  struct token_bucket_set set;
  struct quota_set late, other;
  int spent = 0;
  int64_t t = 10000000, resumed = t + 3000000;

  open_set (&set, (struct token_bucket_limit){ 40, 60 });
  quota_init_set (&late, 0);
  quota_init_set (&other, 0);
  late.disabled_rules = disabled_rules;
  for (int i = 0; i < 60; i++)
    {
      quota_acquire (&late, STR_LIT ("w"), t);
      quota_acquire (&other, STR_LIT ("w"), resumed);
    }
  quota_run (&late, t);
  quota_run (&other, resumed);
  quota_apply_grant (&late, STR_LIT ("w"),
                     (uint32_t)request_tokens (&set, 60, 0, t), 1000000, EPOCH,
                     1, resumed);
  quota_apply_grant (&other, STR_LIT ("w"),
                     (uint32_t)request_tokens (&set, 60, 0, resumed), 1000000,
                     EPOCH, 1, resumed);
  for (int i = 0; i < 60; i++)
    {
      spent += quota_poll (&late, STR_LIT ("w"), t, resumed) == QUOTA_TAKEN;
      spent += quota_poll (&other, STR_LIT ("w"), t, resumed) == QUOTA_TAKEN;
    }
  token_bucket_close_set (&set);
  quota_close_set (&late);
  quota_close_set (&other);
  return spent;
}

/* Guards against a grant that a paused holder sends late.  Shows that without
   the rule that the round trip counts towards the validity, the same steps
   yield twice the burst.  */
START_TEST (without_round_trip_rule_burst_is_exceeded)
{
  ck_assert_int_eq (spend_late_grant (0), 60);
  ck_assert_int_eq (spend_late_grant (QUOTA_RULE_ROUND_TRIP), 120);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("token_bucket");
  TCase *tc = tcase_create ("token_bucket");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 120);
  tcase_add_test (tc, smallest_limit_yields_whole_tokens);
  tcase_add_test (tc, tokens_are_divided_by_waiting_requests);
  tcase_add_test (tc, advance_grants_leave_a_reserve);
  tcase_add_test (tc, new_epoch_starts_empty);
  tcase_add_test (tc, lower_burst_applies_at_once);
  tcase_add_loop_test (tc, rate_bound_holds_in_every_window, 0, SEEDS);
  tcase_add_test (tc, without_reduced_depth_bound_is_exceeded);
  tcase_add_test (tc, without_empty_start_bound_is_exceeded);
  tcase_add_test (tc, without_successor_wait_burst_is_exceeded);
  tcase_add_test (tc, without_round_trip_rule_burst_is_exceeded);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
