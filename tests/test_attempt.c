/* Tests of the attempt module: answers to a WIRE_QUERY, by which a sender asks
   after a broken link whether its attempt ran.  */

#include "attempt.h"
#include "suite.h"

#define SEED 99
#define STEPS 20000
#define HOUR_US INT64_C (3600000000)
#define TIMEOUT_US 1000000

static const struct wire_attempt_id id = { 7, 1 };

static struct attempt_table
make_table (uint32_t rows_max)
{
  struct attempt_table t;

  attempt_init (&t, rows_max, -HOUR_US);
  return t;
}

static enum wire_outcome_state
query (struct attempt_table *t, struct wire_attempt_id attempt, int64_t now_us)
{
  uint64_t job;

  return attempt_query (t, attempt, TIMEOUT_US, ATTEMPT_AGE_UNKNOWN, now_us,
                        &job);
}

/* Guards against running an attempt whose WIRE_REQUEST is read from the broken
   link only after its WIRE_QUERY was answered with "void": it did not run and
   never will (requirement R8 of docs/design.md).  */
START_TEST (late_request_after_void_does_not_run)
{
  struct attempt_table t = make_table (10);

  ck_assert_int_eq (query (&t, id, 0), WIRE_OUTCOME_VOID);
  ck_assert_int_eq (attempt_receive (&t, id, 5, TIMEOUT_US, 10),
                    ATTEMPT_VOIDED);
  ck_assert (!attempt_start (&t, id));
  attempt_close (&t);
}
END_TEST

/* Guards against a queued job that runs after a WIRE_QUERY voided its
   attempt.  */
START_TEST (queued_job_becomes_void)
{
  struct attempt_table t = make_table (10);
  uint64_t job;

  ck_assert_int_eq (attempt_receive (&t, id, 5, TIMEOUT_US, 0),
                    ATTEMPT_ACCEPTED);
  ck_assert_int_eq (attempt_query (&t, id, TIMEOUT_US, 10, 1, &job),
                    WIRE_OUTCOME_VOID);
  ck_assert_uint_eq (job, 5);
  ck_assert (!attempt_start (&t, id));
  attempt_close (&t);
}
END_TEST

/* Guards against a second run of an attempt that was sent to the backend
   server.  */
START_TEST (started_and_done_are_never_void)
{
  struct attempt_table t = make_table (10);

  attempt_receive (&t, id, 5, TIMEOUT_US, 0);
  ck_assert (attempt_start (&t, id));
  ck_assert (!attempt_start (&t, id));
  attempt_void (&t, id);
  ck_assert_int_eq (query (&t, id, 1), WIRE_OUTCOME_STARTED);
  attempt_finish (&t, id);
  ck_assert_int_eq (query (&t, id, 2), WIRE_OUTCOME_DONE);
  ck_assert_int_eq (attempt_receive (&t, id, 6, TIMEOUT_US, 3),
                    ATTEMPT_DUPLICATE);
  attempt_close (&t);
}
END_TEST

/* Guards against the answer "void" for an attempt that has no row because the
   daemon restarted, its deadline has passed, or the table is full.  */
START_TEST (unknown_attempt_is_void_only_if_certain)
{
  struct attempt_table t;
  const struct wire_attempt_id other = { 7, 2 };
  uint64_t job;

  attempt_init (&t, 1, 0);
  ck_assert_int_eq (attempt_query (&t, id, TIMEOUT_US, 600, 500, &job),
                    WIRE_OUTCOME_STARTED);
  ck_assert_int_eq (query (&t, id, ATTEMPT_TIMEOUT_MAX_US),
                    WIRE_OUTCOME_STARTED);
  ck_assert_int_eq (attempt_query (&t, id, 0, 1, 500, &job),
                    WIRE_OUTCOME_STARTED);
  ck_assert_int_eq (attempt_query (&t, id, TIMEOUT_US, 400, 500, &job),
                    WIRE_OUTCOME_VOID);
  ck_assert_int_eq (attempt_query (&t, other, TIMEOUT_US, 400, 500, &job),
                    WIRE_OUTCOME_STARTED);
  ck_assert_int_eq (attempt_receive (&t, other, 5, TIMEOUT_US, 500),
                    ATTEMPT_FULL);
  attempt_close (&t);
}
END_TEST

/* Guards against rows that are removed before the deadline plus the grace
   time, and against rows that are never removed.  */
START_TEST (rows_are_kept_until_the_deadline)
{
  struct attempt_table t = make_table (10);

  attempt_receive (&t, id, 5, TIMEOUT_US, 0);
  attempt_expire (&t, 100, TIMEOUT_US + ATTEMPT_GRACE_US);
  ck_assert (attempt_start (&t, id));
  attempt_expire (&t, 100, TIMEOUT_US + ATTEMPT_GRACE_US + 1);
  ck_assert_uint_eq (t.rows.count, 0);
  attempt_finish (&t, id);
  ck_assert_uint_eq (t.rows.count, 0);
  attempt_close (&t);
}
END_TEST

/* Guards against an attempt that is voided and still sent again after a
   rejection, and against one that is sent again after it has run.  */
START_TEST (rejected_attempt_is_sent_again_or_void)
{
  struct attempt_table t = make_table (10);
  struct wire_attempt_id other = { 1, 77 };
  uint64_t job;

  attempt_receive (&t, id, 5, TIMEOUT_US, 0);
  attempt_requeue (&t, id);
  ck_assert (attempt_start (&t, id));
  attempt_requeue (&t, id);
  ck_assert (attempt_start (&t, id));
  ck_assert (!attempt_start (&t, id));
  attempt_requeue (&t, id);
  ck_assert_int_eq (attempt_query (&t, id, TIMEOUT_US, 1, 1, &job),
                    WIRE_OUTCOME_VOID);
  ck_assert_uint_eq (job, 5);
  ck_assert (!attempt_start (&t, id));
  attempt_requeue (&t, id);
  ck_assert (!attempt_start (&t, id));
  attempt_receive (&t, other, 6, TIMEOUT_US, 0);
  ck_assert (attempt_start (&t, other));
  attempt_finish (&t, other);
  attempt_requeue (&t, other);
  ck_assert (!attempt_start (&t, other));
  attempt_close (&t);
}
END_TEST

/* Guards against any order of messages in which an attempt runs twice, or runs
   after the answer "void".  Random calls are compared with a list of the
   attempts that ran or were answered with void.  */
START_TEST (random_order_never_breaks_a_void)
{
  struct attempt_table t = make_table (64);
  GRand *rand = g_rand_new_with_seed (SEED);
  bool voided[256] = { false };
  bool ran[256] = { false };
  bool done[256] = { false };

  for (int64_t now_us = 0; now_us < STEPS; now_us++)
    {
      uint32_t n = (uint32_t)g_rand_int_range (rand, 0, 256);
      struct wire_attempt_id a = { 1, n };

      switch (g_rand_int_range (rand, 0, 6))
        {
        case 0:
          attempt_receive (&t, a, n, HOUR_US, now_us);
          break;
        case 1:
          if (!attempt_start (&t, a))
            break;
          ck_assert (!voided[n] && !ran[n]);
          ran[n] = true;
          break;
        case 2:
          attempt_finish (&t, a);
          done[n] = ran[n];
          break;
        case 4: /* the backend server answers that it did not run */
          if (!ran[n] || done[n])
            break;
          attempt_requeue (&t, a);
          ran[n] = false;
          break;
        case 3:
          attempt_expire (&t, 3, now_us);
          break;
        default:
          if (query (&t, a, now_us) != WIRE_OUTCOME_VOID)
            break;
          ck_assert (!ran[n]);
          voided[n] = true;
        }
    }
  ck_assert_uint_le (t.rows.count, 64);
  attempt_close (&t);
  g_rand_free (rand);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { late_request_after_void_does_not_run,
                                 queued_job_becomes_void,
                                 started_and_done_are_never_void,
                                 unknown_attempt_is_void_only_if_certain,
                                 rows_are_kept_until_the_deadline,
                                 rejected_attempt_is_sent_again_or_void,
                                 random_order_never_breaks_a_void };

  return suite_run ("attempt", cases, G_N_ELEMENTS (cases));
}
