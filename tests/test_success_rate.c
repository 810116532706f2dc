/* Tests of the success_rate module.  */

#include "clock.h"
#include "success_rate.h"
#include "suite.h"

#include <glib.h>

#define STEP_US 50000

/* Guards against a rate that does not follow the backend server: a fault has to
   show within half a second at 20 requests a second, and its end within
   two.  */
START_TEST (rate_follows_the_failures)
{
  struct success_rate r = { 0 };
  int64_t now_us = CLOCK_US_PER_S;

  for (; now_us < 3 * CLOCK_US_PER_S; now_us += STEP_US)
    success_rate_record (&r, false, now_us);
  ck_assert_uint_eq (success_rate_get_permille (&r, now_us),
                     SUCCESS_RATE_SCALE);
  for (; now_us < 3500000; now_us += STEP_US)
    success_rate_record (&r, true, now_us);
  ck_assert_uint_le (success_rate_get_permille (&r, now_us), 700);
  for (; now_us < 5500000; now_us += STEP_US)
    success_rate_record (&r, false, now_us);
  ck_assert_uint_ge (success_rate_get_permille (&r, now_us), 900);
}
END_TEST

/* Guards against a backend server that is avoided because of one failure after
   a pause, and against a rate below 0 or above its scale.  */
START_TEST (single_failure_is_no_low_rate)
{
  struct success_rate r = { 0 };

  success_rate_record (&r, true, 100 * CLOCK_US_PER_S);
  ck_assert_uint_ge (success_rate_get_permille (&r, 100 * CLOCK_US_PER_S),
                     SUCCESS_RATE_SCALE * 3 / 4);
  for (int i = 0; i < 1000; i++)
    success_rate_record (&r, true, 100 * CLOCK_US_PER_S);
  ck_assert_uint_le (success_rate_get_permille (&r, 100 * CLOCK_US_PER_S), 10);
  ck_assert_uint_eq (success_rate_get_permille (&r, 200 * CLOCK_US_PER_S),
                     SUCCESS_RATE_SCALE);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { rate_follows_the_failures, single_failure_is_no_low_rate };

  return suite_run ("success_rate", cases, G_N_ELEMENTS (cases));
}
