/* Tests of quota: validity, late grants, waiting requests, asks.  */

#include "quota.h"

#include <check.h>
#include <stdlib.h>

#define W STR_LIT ("w")
#define MS 1000
#define VALIDITY_US 1000000

/* Runs the system; gives the one ask that is due, if any.  */
static bool
take_ask (struct quota_set *set, int64_t now_us, struct quota_ask *ask)
{
  void *row;
  uint64_t id;

  quota_run (set, now_us);
  id = table_next (&set->asks, 0, &row);
  if (id == 0)
    return false;
  *ask = *(struct quota_ask *)row;
  table_remove (&set->asks, id);
  return true;
}

/* Guards against a cold workspace whose first request is refused, or that
   asks without a request.  */
START_TEST (cold_workspace_waits_one_round_trip)
{
  struct quota_set set;
  struct quota_ask ask;

  quota_init_set (&set, 100);
  ck_assert (!take_ask (&set, 0, &ask));
  ck_assert_int_eq (quota_begin (&set, W, 0), QUOTA_WAIT);
  ck_assert (take_ask (&set, 0, &ask));
  ck_assert_uint_eq (ask.waiting, 1);
  ck_assert_uint_eq (ask.sequence, 101);
  ck_assert_int_eq (quota_poll (&set, W, 0, 3 * MS), QUOTA_WAIT);
  ck_assert (
      quota_apply_grant (&set, W, 1, VALIDITY_US, 1, ask.sequence, 4 * MS));
  ck_assert_int_eq (quota_poll (&set, W, 0, 4 * MS), QUOTA_TAKEN);
  ck_assert (!take_ask (&set, 300 * MS, &ask));
  quota_close_set (&set);
}
END_TEST

/* Guards against tokens of a paused holder, of an ask given up, or of a grant
   delivered twice, and against a lot spent after its validity.  */
START_TEST (late_grants_are_void)
{
  struct quota_set set;
  struct quota_ask ask, next;

  quota_init_set (&set, 0);
  quota_begin (&set, W, 0);
  ck_assert (take_ask (&set, 0, &ask));
  ck_assert (
      !quota_apply_grant (&set, W, 1, VALIDITY_US, 1, ask.sequence, 501 * MS));
  ck_assert (take_ask (&set, 510 * MS, &next));
  ck_assert (
      !quota_apply_grant (&set, W, 1, VALIDITY_US, 1, ask.sequence, 520 * MS));
  ck_assert (
      quota_apply_grant (&set, W, 3, VALIDITY_US, 1, next.sequence, 900 * MS));
  ck_assert (!quota_apply_grant (&set, W, 3, VALIDITY_US, 1, next.sequence,
                                 901 * MS));
  ck_assert_uint_eq (set.voided, 3);
  ck_assert_int_eq (quota_poll (&set, W, 0, 1500 * MS), QUOTA_TAKEN);
  ck_assert_int_eq (quota_begin (&set, W, 1509 * MS), QUOTA_TAKEN);
  ck_assert_int_eq (quota_begin (&set, W, 1510 * MS), QUOTA_WAIT);
  quota_close_set (&set);
}
END_TEST

/* Guards against a refusal that reaches requests which the holder did not
   count, and requests that wait without end when no holder answers.  */
START_TEST (refusal_and_silence_differ)
{
  struct quota_set set;
  struct quota_ask ask;

  quota_init_set (&set, 0);
  quota_begin (&set, W, 0);
  ck_assert (take_ask (&set, 0, &ask));
  quota_begin (&set, W, 1 * MS);
  ck_assert (
      quota_apply_grant (&set, W, 0, VALIDITY_US, 1, ask.sequence, 2 * MS));
  ck_assert_int_eq (quota_poll (&set, W, 0, 3 * MS), QUOTA_EXCEEDED);
  ck_assert_int_eq (quota_poll (&set, W, 1 * MS, 3 * MS), QUOTA_WAIT);
  ck_assert (!take_ask (&set, 4 * MS, &ask));
  ck_assert (take_ask (&set, 60 * MS, &ask));
  quota_fail_ask (&set, W, ask.sequence, 61 * MS);
  ck_assert_int_eq (quota_poll (&set, W, 1 * MS, 999 * MS), QUOTA_WAIT);
  ck_assert_int_eq (quota_poll (&set, W, 1 * MS, 1001 * MS),
                    QUOTA_UNAVAILABLE);
  quota_close_set (&set);
}
END_TEST

/* Guards against requests that wait although the load is steady, tokens that a
   daemon keeps after its load went away, and rows kept for ever.  */
START_TEST (steady_load_asks_ahead_and_gives_back)
{
  struct quota_set set;
  struct quota_ask ask;
  uint32_t waits = 0, returned = 0;
  int64_t ms = 0;

  quota_init_set (&set, 0);
  for (; ms < 5000; ms += 10)
    {
      enum quota_result result = quota_begin (&set, W, ms * MS);

      waits += ms > 1000 && result == QUOTA_WAIT;
      if (take_ask (&set, ms * MS, &ask))
        quota_apply_grant (&set, W, ask.waiting + ask.demand, VALIDITY_US, 1,
                           ask.sequence, ms * MS + 2 * MS);
      if (result == QUOTA_WAIT)
        quota_poll (&set, W, ms * MS, ms * MS + 2 * MS);
    }
  ck_assert_uint_eq (waits, 0);
  for (; ms < 6500; ms += 10)
    if (take_ask (&set, ms * MS, &ask))
      {
        returned += ask.returned;
        quota_apply_grant (&set, W, 0, VALIDITY_US, 1, ask.sequence, ms * MS);
      }
  ck_assert_uint_gt (returned, 10);
  ck_assert (!take_ask (&set, 70000 * MS, &ask));
  ck_assert_uint_eq (set.quotas.count, 0);
  quota_close_set (&set);
}
END_TEST

/* Guards against a request that waits for a token until the next scan of all
   workspaces, and against a workspace in use whose next lot is not asked for in
   time because only those that wait are looked at.  */
START_TEST (waiting_request_asks_between_two_scans)
{
  struct quota_set set;
  struct quota_ask ask;
  bool asked_ahead = false;

  quota_init_set (&set, 0);
  ck_assert (!take_ask (&set, 0, &ask));
  ck_assert_int_eq (quota_begin (&set, W, 1 * MS), QUOTA_WAIT);
  ck_assert (take_ask (&set, 1 * MS, &ask));
  quota_apply_grant (&set, W, 0, VALIDITY_US, 1, ask.sequence, 2 * MS);
  /* Refused a token: asks again after the pause, at a scan.  */
  ck_assert (!take_ask (&set, 3 * MS, &ask));
  ck_assert (take_ask (&set, 2 * MS + 2 * QUOTA_SCAN_US, &ask));
  quota_apply_grant (&set, W, 100, VALIDITY_US, 1, ask.sequence, 110 * MS);
  ck_assert_int_eq (quota_poll (&set, W, 105 * MS, 110 * MS), QUOTA_TAKEN);
  for (int64_t ms = 120; ms < 1100 && !asked_ahead; ms += 10)
    {
      ck_assert_int_eq (quota_begin (&set, W, ms * MS), QUOTA_TAKEN);
      if (!take_ask (&set, ms * MS, &ask))
        continue;
      asked_ahead = ask.demand > 0;
      quota_apply_grant (&set, W, 0, VALIDITY_US, 1, ask.sequence, ms * MS);
    }
  ck_assert (asked_ahead);
  quota_close_set (&set);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("quota");
  TCase *tc = tcase_create ("quota");
  SRunner *runner;
  int failed;

  tcase_add_test (tc, cold_workspace_waits_one_round_trip);
  tcase_add_test (tc, late_grants_are_void);
  tcase_add_test (tc, refusal_and_silence_differ);
  tcase_add_test (tc, steady_load_asks_ahead_and_gives_back);
  tcase_add_test (tc, waiting_request_asks_between_two_scans);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
