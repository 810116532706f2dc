/* Tests of the service_time module: low estimate of the service time of each
   route.  */

#include "service_time.h"
#include "suite.h"

/* Guards against requests on a quick route that are rejected because another
   route of the service is slow, and against a wrong estimate for a route
   without history.  */
START_TEST (routes_are_estimated_separately)
{
  struct service_time times;

  service_time_init (&times);
  ck_assert_int_eq (service_time_get_us (&times, STR_LIT ("quick")), 1);
  for (int i = 0; i < 1000; i++)
    {
      service_time_record (&times, STR_LIT ("slow"), 1800000);
      service_time_record (&times, STR_LIT ("quick"), 5000);
    }
  ck_assert_int_eq (service_time_get_us (&times, STR_LIT ("quick")), 5000);
  ck_assert_int_eq (service_time_get_us (&times, STR_LIT ("slow")), 1800000);
  service_time_close (&times);
}
END_TEST

/* Guards against an estimate near the mean: one in two requests would be
   rejected although it could meet its deadline.  */
START_TEST (estimate_is_a_low_percentile)
{
  struct service_time times;

  service_time_init (&times);
  for (int i = 0; i < 20000; i++)
    service_time_record (&times, STR_LIT ("r"), 1000 + (i * 7919) % 100000);
  ck_assert_int_ge (service_time_get_us (&times, STR_LIT ("r")), 1000);
  ck_assert_int_le (service_time_get_us (&times, STR_LIT ("r")), 40000);
  service_time_close (&times);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { routes_are_estimated_separately, estimate_is_a_low_percentile };

  return suite_run ("service_time", cases, sizeof cases / sizeof *cases);
}
