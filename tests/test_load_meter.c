/* Tests of the load_meter module: arrival rate and service time of a backend
   server.  */

#include "load_meter.h"
#include "suite.h"

#include <glib.h>

#define SLOTS 8
#define SERVICE_US INT64_C (20000)

/* Keeps all slots in use for a time, in which each request runs for
   service_us.  */
static void
run_full (struct load_meter *m, int64_t *now_us, int64_t service_us,
          int64_t duration_us)
{
  int64_t end_us = *now_us + duration_us;

  for (; *now_us < end_us; *now_us += service_us / SLOTS)
    {
      load_meter_record_arrival (m, *now_us);
      load_meter_record_end (m, service_us, false, *now_us);
      load_meter_record_start (m, *now_us);
    }
}

static struct load_meter
make_full (int64_t *now_us)
{
  struct load_meter m = { 0 };

  *now_us = 1000000;
  for (int i = 0; i < SLOTS; i++)
    load_meter_record_start (&m, *now_us);
  run_full (&m, now_us, SERVICE_US, 2000000);
  return m;
}

/* Guards against wrong units in a load report: entry daemons compute capacity
   and waits from these two numbers.  */
START_TEST (steady_load_is_measured)
{
  int64_t now_us;
  struct load_meter m = make_full (&now_us);

  ck_assert_uint_le (
      ABS ((int)load_meter_get_arrivals_per_s (&m, now_us) - 400), 20);
  ck_assert_uint_le (ABS (load_meter_get_service_us (&m, now_us) - SERVICE_US),
                     1000);
}
END_TEST

/* Guards against a slow backend server that looks quick until its first slow
   requests have ended.  */
START_TEST (slow_server_is_noticed_before_a_request_ends)
{
  int64_t now_us;
  struct load_meter m = make_full (&now_us);

  ck_assert_uint_gt (load_meter_get_service_us (&m, now_us + 50000),
                     SERVICE_US * 5 / 4);
}
END_TEST

/* Guards against a server that was slow for 0.6 s and is avoided long after,
   and against one that is forgotten while it is idle.  */
START_TEST (estimate_returns_and_stays_while_idle)
{
  int64_t now_us;
  struct load_meter m = make_full (&now_us);

  run_full (&m, &now_us, 3 * SERVICE_US, 600000);
  ck_assert_uint_gt (load_meter_get_service_us (&m, now_us), 2 * SERVICE_US);
  run_full (&m, &now_us, SERVICE_US, 600000);
  ck_assert_uint_lt (load_meter_get_service_us (&m, now_us),
                     SERVICE_US * 5 / 4);
  for (int i = 0; i < SLOTS; i++)
    load_meter_record_end (&m, SERVICE_US, false, now_us);
  now_us += 10000000;
  ck_assert_uint_gt (load_meter_get_service_us (&m, now_us), SERVICE_US / 2);
  ck_assert_uint_eq (load_meter_get_arrivals_per_s (&m, now_us), 0);
}
END_TEST

/* Guards against a backend server that fails at once and looks quick, so that
   it gets more requests than the others.  */
START_TEST (failures_do_not_look_quick)
{
  int64_t now_us;
  struct load_meter m = make_full (&now_us);

  for (int i = 0; i < 1000; i++)
    {
      now_us += 1000;
      load_meter_record_end (&m, 1000, true, now_us);
      load_meter_record_start (&m, now_us);
    }
  ck_assert_uint_ge (load_meter_get_service_us (&m, now_us), SERVICE_US);
}
END_TEST

/* Guards against a refusal although a slot is free, without a bound, or by a
   daemon that knows no service time; and against a wait that ignores the
   bound.  */
START_TEST (only_a_wait_beyond_the_bound_is_later)
{
  int64_t now_us;
  struct load_meter m = make_full (&now_us);
  struct load_meter unknown = { 0 };

  ck_assert (!load_meter_is_later_than (&m, SLOTS - 1, SLOTS, 1, now_us));
  ck_assert (!load_meter_is_later_than (&m, 100, SLOTS, 0, now_us));
  ck_assert (!load_meter_is_later_than (&unknown, 100, SLOTS, 1, now_us));
  ck_assert (
      !load_meter_is_later_than (&m, SLOTS, SLOTS, 2 * SERVICE_US, now_us));
  ck_assert (
      load_meter_is_later_than (&m, 2 * SLOTS, SLOTS, 2 * SERVICE_US, now_us));
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { steady_load_is_measured,
          slow_server_is_noticed_before_a_request_ends,
          estimate_returns_and_stays_while_idle, failures_do_not_look_quick,
          only_a_wait_beyond_the_bound_is_later };

  return suite_run ("load_meter", cases, G_N_ELEMENTS (cases));
}
