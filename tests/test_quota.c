/* Tests of the quota module: validity, late grants, waiting requests, token
   requests.  */

#include "quota.h"

#include <check.h>
#include <stdlib.h>

#define W STR_LIT ("w")
#define MS 1000
#define VALIDITY_US 1000000

/* Calls quota_run and removes the token request that is due.  Returns false if
   there is none.  */
static bool
run_and_take_token_request (struct quota_set *set, int64_t now_us,
                            struct quota_token_request *token_request)
{
  void *row;
  uint64_t id;

  quota_run (set, now_us);
  id = table_next (&set->token_requests, 0, &row);
  if (id == 0)
    return false;
  *token_request = *(struct quota_token_request *)row;
  table_remove (&set->token_requests, id);
  return true;
}

/* Guards against rejecting a workspace's first request, and against token
   requests for a workspace without requests.  */
START_TEST (first_request_waits_one_round_trip)
{
  struct quota_set set;
  struct quota_token_request token_request;

  quota_init_set (&set, 100);
  ck_assert (!run_and_take_token_request (&set, 0, &token_request));
  ck_assert_int_eq (quota_acquire (&set, W, 0), QUOTA_WAIT);
  ck_assert (run_and_take_token_request (&set, 0, &token_request));
  ck_assert_uint_eq (token_request.waiting, 1);
  ck_assert_uint_eq (token_request.sequence, 101);
  ck_assert_int_eq (quota_poll (&set, W, 0, 3 * MS), QUOTA_WAIT);
  ck_assert (quota_apply_grant (&set, W, 1, VALIDITY_US, 1,
                                token_request.sequence, 4 * MS));
  ck_assert_int_eq (quota_poll (&set, W, 0, 4 * MS), QUOTA_TAKEN);
  ck_assert (!run_and_take_token_request (&set, 300 * MS, &token_request));
  quota_close_set (&set);
}
END_TEST

/* Guards against spending a grant that a paused holder sends late, a grant for
   a token request that has timed out, a grant that is delivered twice, or a
   batch whose validity has passed.  */
START_TEST (late_grants_are_rejected)
{
  struct quota_set set;
  struct quota_token_request token_request, next;

  quota_init_set (&set, 0);
  quota_acquire (&set, W, 0);
  ck_assert (run_and_take_token_request (&set, 0, &token_request));
  ck_assert (!quota_apply_grant (&set, W, 1, VALIDITY_US, 1,
                                 token_request.sequence, 501 * MS));
  ck_assert (run_and_take_token_request (&set, 510 * MS, &next));
  ck_assert (!quota_apply_grant (&set, W, 1, VALIDITY_US, 1,
                                 token_request.sequence, 520 * MS));
  ck_assert (
      quota_apply_grant (&set, W, 3, VALIDITY_US, 1, next.sequence, 900 * MS));
  ck_assert (!quota_apply_grant (&set, W, 3, VALIDITY_US, 1, next.sequence,
                                 901 * MS));
  ck_assert_uint_eq (set.rejected_grants, 3);
  ck_assert_int_eq (quota_poll (&set, W, 0, 1500 * MS), QUOTA_TAKEN);
  ck_assert_int_eq (quota_acquire (&set, W, 1509 * MS), QUOTA_TAKEN);
  ck_assert_int_eq (quota_acquire (&set, W, 1510 * MS), QUOTA_WAIT);
  quota_close_set (&set);
}
END_TEST

/* Guards against a grant without tokens that also rejects requests which
   arrived after the token request, and against requests that wait forever when
   no holder answers.  */
START_TEST (empty_grant_and_missing_answer_differ)
{
  struct quota_set set;
  struct quota_token_request token_request;

  quota_init_set (&set, 0);
  quota_acquire (&set, W, 0);
  ck_assert (run_and_take_token_request (&set, 0, &token_request));
  quota_acquire (&set, W, 1 * MS);
  ck_assert (quota_apply_grant (&set, W, 0, VALIDITY_US, 1,
                                token_request.sequence, 2 * MS));
  ck_assert_int_eq (quota_poll (&set, W, 0, 3 * MS), QUOTA_EXCEEDED);
  ck_assert_int_eq (quota_poll (&set, W, 1 * MS, 3 * MS), QUOTA_WAIT);
  ck_assert (!run_and_take_token_request (&set, 4 * MS, &token_request));
  ck_assert (run_and_take_token_request (&set, 60 * MS, &token_request));
  quota_fail_token_request (&set, W, token_request.sequence, 61 * MS);
  ck_assert_int_eq (quota_poll (&set, W, 1 * MS, 999 * MS), QUOTA_WAIT);
  ck_assert_int_eq (quota_poll (&set, W, 1 * MS, 1001 * MS),
                    QUOTA_UNAVAILABLE);
  quota_close_set (&set);
}
END_TEST

/* Guards against requests that wait although the load is steady, tokens that a
   daemon keeps after its load has ended, and rows that are never removed.  */
START_TEST (steady_load_requests_ahead_and_returns_surplus)
{
  struct quota_set set;
  struct quota_token_request token_request;
  uint32_t waits = 0, returned = 0;
  int64_t ms = 0;

  quota_init_set (&set, 0);
  for (; ms < 5000; ms += 10)
    {
      enum quota_result result = quota_acquire (&set, W, ms * MS);

      waits += ms > 1000 && result == QUOTA_WAIT;
      if (run_and_take_token_request (&set, ms * MS, &token_request))
        quota_apply_grant (
            &set, W, token_request.waiting + token_request.demand, VALIDITY_US,
            1, token_request.sequence, ms * MS + 2 * MS);
      if (result == QUOTA_WAIT)
        quota_poll (&set, W, ms * MS, ms * MS + 2 * MS);
    }
  ck_assert_uint_eq (waits, 0);
  for (; ms < 6500; ms += 10)
    if (run_and_take_token_request (&set, ms * MS, &token_request))
      {
        returned += token_request.returned;
        quota_apply_grant (&set, W, 0, VALIDITY_US, 1, token_request.sequence,
                           ms * MS);
      }
  ck_assert_uint_gt (returned, 10);
  ck_assert (!run_and_take_token_request (&set, 70000 * MS, &token_request));
  ck_assert_uint_eq (set.quotas.count, 0);
  quota_close_set (&set);
}
END_TEST

/* Guards against a request that waits for a token until the next scan of all
   workspaces, and against a workspace with steady demand whose next batch is
   not requested in time because only waiting workspaces are processed.  */
START_TEST (waiting_request_sends_token_request_between_scans)
{
  struct quota_set set;
  struct quota_token_request token_request;
  bool requested_ahead = false;

  quota_init_set (&set, 0);
  ck_assert (!run_and_take_token_request (&set, 0, &token_request));
  ck_assert_int_eq (quota_acquire (&set, W, 1 * MS), QUOTA_WAIT);
  ck_assert (run_and_take_token_request (&set, 1 * MS, &token_request));
  quota_apply_grant (&set, W, 0, VALIDITY_US, 1, token_request.sequence,
                     2 * MS);
  /* After a grant without tokens the next token request follows at the first
     scan after the pause.  */
  ck_assert (!run_and_take_token_request (&set, 3 * MS, &token_request));
  ck_assert (run_and_take_token_request (
      &set, 2 * MS + 2 * QUOTA_SCAN_INTERVAL_US, &token_request));
  quota_apply_grant (&set, W, 100, VALIDITY_US, 1, token_request.sequence,
                     110 * MS);
  ck_assert_int_eq (quota_poll (&set, W, 105 * MS, 110 * MS), QUOTA_TAKEN);
  for (int64_t ms = 120; ms < 1100 && !requested_ahead; ms += 10)
    {
      ck_assert_int_eq (quota_acquire (&set, W, ms * MS), QUOTA_TAKEN);
      if (!run_and_take_token_request (&set, ms * MS, &token_request))
        continue;
      requested_ahead = token_request.demand > 0;
      quota_apply_grant (&set, W, 0, VALIDITY_US, 1, token_request.sequence,
                         ms * MS);
    }
  ck_assert (requested_ahead);
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

  tcase_add_test (tc, first_request_waits_one_round_trip);
  tcase_add_test (tc, late_grants_are_rejected);
  tcase_add_test (tc, empty_grant_and_missing_answer_differ);
  tcase_add_test (tc, steady_load_requests_ahead_and_returns_surplus);
  tcase_add_test (tc, waiting_request_sends_token_request_between_scans);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
