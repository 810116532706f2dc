/* Tests of the idempotency module: keys, repeated requests, bounded memory,
   takeover.  */

#include "idempotency.h"
#include "shard_sim.h"

#include <check.h>
#include <stdlib.h>

#define SEED 300
#define SEEDS 4
#define WALL_MS 1700000000000
#define RUN_US 1000000

static const struct sim_workspace workspaces[] = { { "w", { 10, 20 }, 1 } };
static const struct idempotency_attempt first = { 1, 1 }, second = { 1, 2 };

static struct idempotency_key
make_key (int64_t ms, unsigned char tail)
{
  struct idempotency_key key = { { 0 } };

  for (int i = 0; i < 6; i++)
    key.bytes[i] = (unsigned char)(ms >> (40 - 8 * i));
  key.bytes[15] = tail;
  return key;
}

static void
open_registry (struct idempotency_registry *r, uint32_t records, size_t bytes)
{
  struct idempotency_settings settings = idempotency_get_defaults ();

  settings.records_max = records;
  settings.outcome_bytes_max = bytes;
  idempotency_init_registry (r, 1, &settings);
  idempotency_start_shard (r, 0, 1, false, WALL_MS - 60000);
}

static enum idempotency_result
register_key (struct idempotency_registry *r, int64_t key_ms,
              unsigned char tail, uint64_t fingerprint,
              struct idempotency_attempt attempt, int64_t now_us)
{
  struct idempotency_key key = make_key (key_ms, tail);
  struct str outcome;

  return idempotency_register (r, 0, &key, fingerprint, attempt, RUN_US,
                               now_us, WALL_MS, &outcome);
}

/* Guards against bookings that end as outcome_unknown in the first seconds of
   a new deployment, although no daemon can have run them, and against keys
   from before the first start, which count as possibly run since the number of
   shards may have changed.  */
START_TEST (first_holder_accepts_keys_made_after_its_start)
{
  struct idempotency_settings settings = idempotency_get_defaults ();
  struct idempotency_registry r;

  idempotency_init_registry (&r, 1, &settings);
  idempotency_start_shard (&r, 0, LEASE_FIRST_EPOCH, true, WALL_MS - 1);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 1, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert_int_eq (register_key (&r, WALL_MS - 1, 2, 1, first, 0),
                    IDEMPOTENCY_OUTCOME_UNKNOWN);
  idempotency_start_shard (&r, 0, LEASE_FIRST_EPOCH + 1, false, WALL_MS - 1);
  ck_assert_int_eq (register_key (&r, WALL_MS, 3, 1, first, 0),
                    IDEMPOTENCY_OUTCOME_UNKNOWN);
  idempotency_close_registry (&r);
}
END_TEST

/* Guards against keys that contain no time.  */
START_TEST (only_version_7_keys_are_parsed)
{
  static const struct
  {
    const char *text;
    bool ok;
  } cases[] = {
    { "018bcfe5-6800-7abc-8def-0123456789ab", true },
    { "018BCFE5-6800-7ABC-BDEF-0123456789AB", true },
    { "018bcfe5-6800-4abc-8def-0123456789ab", false },
    { "018bcfe5-6800-7abc-7def-0123456789ab", false },
    { "018bcfe568007abc8def0123456789ab", false },
    { "018bcfe5-6800-7abc-8def-0123456789a", false },
    { "018bcfe5-6800-7abc-8def-0123456789ag", false },
    { "018bcfe56-800-7abc-8def-0123456789ab", false },
    { "", false },
  };
  struct idempotency_key key;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert_int_eq (
        idempotency_parse_key (str_from_cstr (cases[i].text), &key),
        cases[i].ok);
  idempotency_parse_key (str_from_cstr (cases[0].text), &key);
  ck_assert_int_eq (idempotency_get_key_ms (&key), WALL_MS);
}
END_TEST

/* Guards against a repeated key that runs again, a key that is reused for
   another request, and an attempt whose own key is rejected when it registers
   the key again because the first reply was lost.  */
START_TEST (repeated_key_gets_recorded_outcome)
{
  struct idempotency_registry r;
  struct idempotency_key key = make_key (WALL_MS, 1);
  struct str outcome;

  open_registry (&r, 10, 1000);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, second, 0),
                    IDEMPOTENCY_STILL_RUNNING);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 6, second, 0),
                    IDEMPOTENCY_REUSED);
  ck_assert (!idempotency_complete (&r, &key, second, STR_LIT ("no")));
  ck_assert (idempotency_complete (&r, &key, first, STR_LIT ("yes")));
  ck_assert (!idempotency_release (&r, &key, first));
  ck_assert_int_eq (idempotency_register (&r, 0, &key, 5, second, RUN_US, 0,
                                          WALL_MS, &outcome),
                    IDEMPOTENCY_ALREADY_DONE);
  ck_assert (str_equal (outcome, STR_LIT ("yes")));
  idempotency_close_registry (&r);
}
END_TEST

/* Guards against a key that is rejected for 10 minutes although its request
   did not run, and against a key that is reported as running for as long
   because the daemon that registered it died.  */
START_TEST (released_keys_run_again_and_keys_without_outcome_do_not)
{
  struct idempotency_registry r;
  struct idempotency_key key = make_key (WALL_MS, 1);

  open_registry (&r, 10, 1000);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert (idempotency_release (&r, &key, first));
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, second, 0),
                    IDEMPOTENCY_NEW);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, first, 3 * RUN_US),
                    IDEMPOTENCY_OUTCOME_UNKNOWN);
  ck_assert (idempotency_complete (&r, &key, second, STR_LIT ("late")));
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, first, 3 * RUN_US),
                    IDEMPOTENCY_ALREADY_DONE);
  /* A request that ended without an outcome is not reported as done.  */
  key = make_key (WALL_MS, 2);
  ck_assert_int_eq (register_key (&r, WALL_MS, 2, 5, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert (idempotency_complete (&r, &key, first, STR_EMPTY));
  ck_assert_int_eq (register_key (&r, WALL_MS, 2, 5, second, 0),
                    IDEMPOTENCY_OUTCOME_UNKNOWN);
  idempotency_close_registry (&r);
}
END_TEST

/* Guards against running a key that an earlier holder may have run, and
   against keys so far in the future that a later holder, which has no record
   of them, would accept them as new.  */
START_TEST (key_time_outside_the_known_range_is_refused)
{
  struct idempotency_registry r;

  open_registry (&r, 10, 1000);
  ck_assert_int_eq (register_key (&r, WALL_MS + 2000, 1, 5, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert_int_eq (register_key (&r, WALL_MS + 2001, 2, 5, first, 0),
                    IDEMPOTENCY_FUTURE);
  ck_assert_int_eq (register_key (&r, WALL_MS - 56001, 3, 5, first, 0),
                    IDEMPOTENCY_OUTCOME_UNKNOWN);
  ck_assert_int_eq (register_key (&r, WALL_MS - 55999, 4, 5, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert_int_eq (register_key (&r, WALL_MS - 600000, 5, 5, first, 0),
                    IDEMPOTENCY_EXPIRED);
  idempotency_start_shard (&r, 0, 2, false, WALL_MS);
  ck_assert_int_eq (register_key (&r, WALL_MS + 2000, 1, 5, second, 0),
                    IDEMPOTENCY_OUTCOME_UNKNOWN);
  idempotency_stop_shard (&r, 0);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, second, 0),
                    IDEMPOTENCY_SHARD_NOT_HELD);
  idempotency_close_registry (&r);
}
END_TEST

/* Guards against unbounded memory, against a record that is dropped while its
   key could run again, and against a wall clock that is set back.  */
START_TEST (memory_is_bounded)
{
  struct idempotency_registry r;
  struct idempotency_key key = make_key (WALL_MS, 1);

  open_registry (&r, 2, 4);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert_int_eq (register_key (&r, WALL_MS, 2, 5, first, 0),
                    IDEMPOTENCY_NEW);
  ck_assert_int_eq (register_key (&r, WALL_MS, 3, 5, first, 0),
                    IDEMPOTENCY_FULL);
  ck_assert (idempotency_complete (&r, &key, first, STR_LIT ("12345")));
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, second, 0),
                    IDEMPOTENCY_OUTCOME_UNKNOWN);
  idempotency_run (&r, WALL_MS + 599999);
  ck_assert_uint_eq (r.records.count, 2);
  idempotency_run (&r, WALL_MS + 600000);
  ck_assert_uint_eq (r.records.count, 0);
  ck_assert_uint_eq (r.outcome_bytes, 0);
  ck_assert_int_eq (register_key (&r, WALL_MS, 1, 5, second, 0),
                    IDEMPOTENCY_OUTCOME_UNKNOWN);
  idempotency_close_registry (&r);
}
END_TEST

static uint64_t
count_double_runs (uint32_t seed, uint32_t off, bool drift)
{
  struct sim_options opt = { .seed = seed,
                             .length_ms = 120000,
                             .nodes = 6,
                             .workspaces_len = 1,
                             .workspaces = workspaces,
                             .faults = true,
                             .keys_per_s = 10,
                             .late_chance = 0.05,
                             .drift_ppm = drift ? 1000 : 0,
                             .disabled_idempotency_rules = off };
  struct sim *s = g_new (struct sim, 1);
  uint64_t n, ran = 0;

  sim_open (s, &opt);
  sim_run (s, opt.length_ms);
  for (guint i = 0; i < s->keys->len; i++)
    ran += g_array_index (s->keys, struct sim_key, i).runs > 0;
  ck_assert_uint_gt (ran, 100);
  n = s->double_runs;
  sim_close (s);
  g_free (s);
  return n;
}

/* Guards against a key that runs twice when daemons are killed or paused,
   shards are taken over, responses are late or lost, and clocks of clients are
   wrong.  */
START_TEST (no_key_runs_twice)
{
  ck_assert_uint_eq (count_double_runs (SEED + (uint32_t)_i, 0, true), 0);
}
END_TEST

/* Shows that in the same simulation a key runs twice if either of the two
   clock skew rules is disabled.  Without the rule for keys in the future this
   happens with three of eight seeds, when the clock of a client is ahead at a
   takeover.  */
START_TEST (without_clock_skew_rules_a_key_runs_twice)
{
  uint64_t doubles = 0;

  ck_assert_uint_gt (count_double_runs (SEED, IDEMPOTENCY_RULE_FLOOR, false),
                     0);
  for (uint32_t i = 0; i < 8 && doubles == 0; i++)
    doubles = count_double_runs (SEED + i, IDEMPOTENCY_RULE_FUTURE, false);
  ck_assert_uint_gt (doubles, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("idempotency");
  TCase *tc = tcase_create ("idempotency");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 120);
  tcase_add_test (tc, only_version_7_keys_are_parsed);
  tcase_add_test (tc, first_holder_accepts_keys_made_after_its_start);
  tcase_add_test (tc, repeated_key_gets_recorded_outcome);
  tcase_add_test (tc, released_keys_run_again_and_keys_without_outcome_do_not);
  tcase_add_test (tc, key_time_outside_the_known_range_is_refused);
  tcase_add_test (tc, memory_is_bounded);
  tcase_add_loop_test (tc, no_key_runs_twice, 0, SEEDS);
  tcase_add_test (tc, without_clock_skew_rules_a_key_runs_twice);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
