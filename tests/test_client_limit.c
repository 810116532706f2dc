/* Tests of the client_limit module.  */

#include "client_limit.h"
#include "clock.h"
#include "suite.h"

#include <glib.h>

#define STEP_US 250000

static const struct client_limits limits
    = { .idle_us = 15 * CLOCK_US_PER_S,
        .head_us = 3 * CLOCK_US_PER_S,
        .stall_us = 15 * CLOCK_US_PER_S,
        .request_us = 600 * CLOCK_US_PER_S,
        .progress_bytes_per_s = 1024 };

/* Plays a client in a phase that moves bytes_per_s; returns the time after
   which it is closed, or 0 if it is kept for `length_us`.  */
static int64_t
play (enum client_limit_phase phase, uint64_t bytes_per_s, int64_t length_us)
{
  struct client_limit c = { 0 };

  client_limit_enter (&c, phase, 0, 0);
  for (int64_t now_us = STEP_US; now_us < length_us; now_us += STEP_US)
    {
      client_limit_record (&c, &limits,
                           bytes_per_s * (uint64_t)now_us / CLOCK_US_PER_S,
                           now_us);
      if (client_limit_check (&c, &limits, now_us) != CLIENT_LIMIT_KEEP)
        return now_us;
    }
  return 0;
}

/* Guards against clients that send or read a byte now and then and are kept
   for ever, and against closing one that is slow but within the limits.  */
START_TEST (slow_clients_are_closed_and_others_kept)
{
  const int64_t minute_us = 60 * CLOCK_US_PER_S;

  ck_assert_int_gt (play (CLIENT_LIMIT_HEAD, 100, minute_us), 0);
  ck_assert_int_gt (play (CLIENT_LIMIT_BODY, 0, minute_us), 0);
  ck_assert_int_gt (play (CLIENT_LIMIT_BODY, 10, minute_us), 0);
  ck_assert_int_gt (play (CLIENT_LIMIT_ANSWER, 10, minute_us), 0);
  ck_assert_int_gt (play (CLIENT_LIMIT_BODY, 2000, 20 * minute_us),
                    limits.request_us);
  ck_assert_int_eq (play (CLIENT_LIMIT_BODY, 2000, 9 * minute_us), 0);
  ck_assert_int_eq (play (CLIENT_LIMIT_ANSWER, 2000, 60 * minute_us), 0);
  ck_assert_int_eq (play (CLIENT_LIMIT_RUNNING, 0, 60 * minute_us), 0);
  ck_assert_int_eq (play (CLIENT_LIMIT_IDLE, 0, 12 * CLOCK_US_PER_S), 0);
  ck_assert_int_gt (play (CLIENT_LIMIT_IDLE, 0, minute_us), 0);
  ck_assert_int_eq (play (CLIENT_LIMIT_HEAD, 10000, 2 * CLOCK_US_PER_S), 0);
}
END_TEST

/* Guards against closing a client that works, or that has paused for a moment,
   in place of one that holds more without progress; and against ending a
   running request.  */
START_TEST (largest_stalled_client_is_closed_first)
{
  const int64_t now_us = 10 * CLOCK_US_PER_S;
  struct client_limit large = { 0 };
  struct client_limit small = { 0 };
  struct client_limit running = { 0 };
  struct client_limit working = { 0 };

  client_limit_enter (&large, CLIENT_LIMIT_BODY, 0, 0);
  client_limit_enter (&small, CLIENT_LIMIT_ANSWER, 0, 0);
  client_limit_enter (&running, CLIENT_LIMIT_RUNNING, 0, 0);
  client_limit_enter (&working, CLIENT_LIMIT_BODY, 0, 0);
  client_limit_record (&working, &limits, 1 << 20, now_us - STEP_US);
  ck_assert (client_limit_get_rank (&large, 8000000, now_us)
             > client_limit_get_rank (&small, 4096, now_us));
  ck_assert (client_limit_get_rank (&small, 0, now_us) > 0);
  ck_assert (client_limit_get_rank (&running, 8000000, now_us) == 0);
  ck_assert (client_limit_get_rank (&working, 8000000, now_us) == 0);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { slow_clients_are_closed_and_others_kept,
                                 largest_stalled_client_is_closed_first };

  return suite_run ("client_limit", cases, G_N_ELEMENTS (cases));
}
