/* Tests of the pressure module: load shedding at the entry daemon, the daemon
   that the caller is connected to, for an overloaded deep service.  */

#include "clock.h"
#include "pressure.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

#define SLOTS 100u
#define SERVICE_US 20000
#define STEP_US 10000
/* Longest wait in the queue with which a call meets a latency target of
   300 ms.  */
#define QUEUE_WAIT_MAX_US 280000
#define DEADLINE_US 700000
#define DELAY_STEPS 30 /* delay from the front to the deep service: 300 ms */

/* Simulation of one deep service and a front, a thread of the entry daemon
   that admits requests.  Requests arrive at the service DELAY_STEPS after the
   front admitted them.  Two routes use the service, one of them more
   important.  */
struct load
{
  struct pressure_shedder shedder;
  struct pressure_controller controller;
  double in_transit[DELAY_STEPS];
  double queue;
  double queue_max; /* requests beyond it are dropped; 0: no limit */
  double admitted[PRESSURE_IMPORTANCE_COUNT];
  double offered[PRESSURE_IMPORTANCE_COUNT];
};

static void
offer (struct load *l, struct str route, uint32_t importance, uint32_t count,
       int64_t now_us)
{
  size_t at = (size_t)(now_us / STEP_US) % DELAY_STEPS;

  for (uint32_t i = 0; i < count; i++)
    {
      l->offered[importance]++;
      if (pressure_shed (&l->shedder, route, importance, now_us))
        continue;
      l->admitted[importance]++;
      l->in_transit[at]++;
    }
}

static void
run_service (struct load *l, int64_t now_us)
{
  size_t at = (size_t)(now_us / STEP_US + 1) % DELAY_STEPS;
  double capacity = (double)SLOTS * STEP_US / SERVICE_US;
  double arrived = l->queue + l->in_transit[at];
  double ran = MIN (arrived, capacity);
  struct pressure_load now = { .arrived = (uint32_t)l->in_transit[at],
                               .limit = SLOTS,
                               .queued = (uint32_t)(arrived - ran),
                               .service_us = SERVICE_US };
  struct pressure_report report = { STR_LIT ("deep"), 0, PRESSURE_SCALE };

  l->in_transit[at] = 0;
  l->queue = arrived - ran;
  if (l->queue_max > 0)
    l->queue = MIN (l->queue, l->queue_max);
  pressure_run (&l->controller, &now, now_us);
  report.permille = pressure_get_permille (&l->controller);
  pressure_record_reports (&l->shedder, STR_LIT ("low"), &report, 1, now_us);
  pressure_record_reports (&l->shedder, STR_LIT ("high"), &report, 1, now_us);
}

static void
simulate (struct load *l, uint32_t low, uint32_t high, int64_t from_us,
          int64_t to_us)
{
  for (int64_t now_us = from_us; now_us < to_us; now_us += STEP_US)
    {
      offer (l, STR_LIT ("low"), 2, low, now_us);
      offer (l, STR_LIT ("high"), 7, high, now_us);
      run_service (l, now_us);
    }
}

static void
reset_counts (struct load *l)
{
  memset (l->admitted, 0, sizeof l->admitted);
  memset (l->offered, 0, sizeof l->offered);
}

static struct load *
start (void)
{
  struct load *l = g_new0 (struct load, 1);

  pressure_init_shedder (&l->shedder, 1);
  return l;
}

static void
end (struct load *l)
{
  pressure_close_shedder (&l->shedder);
  g_free (l);
}

/* Guards against important requests that fail deep in the call graph because
   less important ones were admitted: at 1.4 times the capacity at least 98% of
   the important requests are admitted and the slots are still in use.  */
START_TEST (overload_refuses_the_least_important_first)
{
  struct load *l = start ();
  int64_t settled_us = 5 * CLOCK_US_PER_S;

  simulate (l, 40, 30, 0, settled_us);
  reset_counts (l);
  simulate (l, 40, 30, settled_us, 4 * settled_us);
  ck_assert_double_ge (l->admitted[7] / l->offered[7], 0.98);
  ck_assert_double_le ((l->admitted[2] + l->admitted[7])
                           / (l->offered[2] + l->offered[7]),
                       50.0 / 70.0 * 1.03);
  ck_assert_double_ge ((l->admitted[2] + l->admitted[7])
                           / (l->offered[2] + l->offered[7]),
                       50.0 / 70.0 * 0.9);
  end (l);
}
END_TEST

/* Guards against refusals that continue after the overload has ended.  */
START_TEST (refusals_end_with_the_overload)
{
  struct load *l = start ();
  int64_t over_us = 5 * CLOCK_US_PER_S;
  int64_t recovered_us = over_us + 2 * CLOCK_US_PER_S;

  simulate (l, 60, 20, 0, over_us);
  simulate (l, 10, 20, over_us, recovered_us);
  reset_counts (l);
  simulate (l, 10, 20, recovered_us, 2 * recovered_us);
  ck_assert_double_ge (l->admitted[2] / l->offered[2], 0.99);
  end (l);
}
END_TEST

/* Guards against a route that starves: some of its requests are always
   admitted.  */
START_TEST (no_importance_is_refused_entirely)
{
  struct load *l = start ();

  simulate (l, 100, 60, 0, 10 * CLOCK_US_PER_S);
  ck_assert_double_ge (l->admitted[2] / l->offered[2], 0.1);
  end (l);
}
END_TEST

/* Guards against a queue that never drains because too many requests are
   admitted at each importance: at ten times the capacity the admitted requests
   still fit the capacity, and most of them belong to the important route.  */
START_TEST (large_overload_is_refused_down_to_capacity)
{
  struct load *l = start ();
  int64_t settled_us = 10 * CLOCK_US_PER_S;
  double capacity = (double)SLOTS * STEP_US / SERVICE_US;
  double steps = (double)settled_us / STEP_US;

  l->queue_max = (double)DEADLINE_US * SLOTS / SERVICE_US;
  simulate (l, 300, 200, 0, settled_us);
  reset_counts (l);
  simulate (l, 300, 200, settled_us, 2 * settled_us);
  ck_assert_double_le (l->admitted[2] + l->admitted[7],
                       capacity * steps * 1.03);
  ck_assert_double_ge (l->admitted[2] + l->admitted[7],
                       capacity * steps * 0.9);
  ck_assert_double_ge (l->admitted[7], l->admitted[2] * 2);
  ck_assert_double_le (l->queue * SERVICE_US / SLOTS, QUEUE_WAIT_MAX_US);
  end (l);
}
END_TEST

/* Guards against a pressure that keeps growing while no more requests can be
   refused, and then causes refusals long after the overload.  */
START_TEST (refusals_end_with_a_large_overload)
{
  struct load *l = start ();
  int64_t over_us = 10 * CLOCK_US_PER_S;
  int64_t recovered_us = over_us + 2 * CLOCK_US_PER_S;

  l->queue_max = (double)DEADLINE_US * SLOTS / SERVICE_US;
  simulate (l, 300, 200, 0, over_us);
  simulate (l, 10, 20, over_us, recovered_us);
  reset_counts (l);
  simulate (l, 10, 20, recovered_us, 2 * recovered_us);
  ck_assert_double_ge (l->admitted[2] / l->offered[2], 0.99);
  end (l);
}
END_TEST

/* Guards against refusals on routes that do not use the overloaded service,
   and against refusals because of old reports.  */
START_TEST (other_routes_and_old_reports_cause_no_refusals)
{
  struct pressure_report report
      = { STR_LIT ("deep"), PRESSURE_SCALE, PRESSURE_SCALE };
  struct pressure_shedder s;
  uint32_t refused = 0;

  pressure_init_shedder (&s, 1);
  for (int i = 0; i < 100; i++)
    pressure_record_reports (&s, STR_LIT ("low"), &report, 1, 0);
  for (int i = 0; i < 100; i++)
    ck_assert (!pressure_shed (&s, STR_LIT ("other"), 0, 0));
  for (int i = 0; i < 1000; i++)
    refused += pressure_shed (&s, STR_LIT ("low"), 0,
                              20 * (int64_t)CLOCK_US_PER_S);
  ck_assert_uint_eq (refused, 0);
  pressure_close_shedder (&s);
}
END_TEST

/* Guards against pressures that are mixed up between services or kept after
   their service was not called for a long time.  */
START_TEST (downstream_reports_are_kept_by_service)
{
  struct pressure_report reports[]
      = { { STR_LIT ("a"), PRESSURE_SCALE, PRESSURE_SCALE },
          { STR_LIT ("b"), 0, PRESSURE_SCALE } };
  struct pressure_downstream_service services[PRESSURE_PATH_SERVICES_MAX];
  struct pressure_downstream b;

  pressure_init_downstream (&b);
  for (int i = 0; i < 100; i++)
    pressure_record_downstream (&b, reports, 2, 0);
  pressure_record_downstream (&b, reports, 1, CLOCK_US_PER_S);
  ck_assert_uint_eq (pressure_copy_downstream (&b, services,
                                               PRESSURE_PATH_SERVICES_MAX,
                                               CLOCK_US_PER_S),
                     2);
  ck_assert_double_ge (services[0].value, 0.99);
  ck_assert_double_eq (services[1].value, 0);
  ck_assert_uint_eq (pressure_copy_downstream (&b, services,
                                               PRESSURE_PATH_SERVICES_MAX,
                                               2 * CLOCK_US_PER_S),
                     1);
  pressure_close_downstream (&b);
}
END_TEST

/* Guards against a wrong number of calls per request.  For each request the
   backend server makes two nested calls, and each of those makes five calls to
   the deep service: ten calls per request.  */
START_TEST (downstream_calls_are_counted_per_request)
{
  struct pressure_report report = { STR_LIT ("deep"), 0, 5 * PRESSURE_SCALE };
  struct pressure_downstream_service services[PRESSURE_PATH_SERVICES_MAX];
  struct pressure_downstream b;

  pressure_init_downstream (&b);
  for (int i = 0; i < 1000; i++)
    {
      pressure_record_downstream (&b, &report, 1, i * 10000);
      pressure_record_downstream (&b, &report, 1, i * 10000 + 5000);
      pressure_record_request (&b, i * 10000 + 9000);
    }
  ck_assert_uint_eq (pressure_copy_downstream (&b, services,
                                               PRESSURE_PATH_SERVICES_MAX,
                                               1000 * 10000),
                     1);
  ck_assert_double_ge (services[0].calls, 9.5);
  ck_assert_double_le (services[0].calls, 10.5);
  pressure_close_downstream (&b);
}
END_TEST

/* Guards against a pressure that reaches the entry daemons seconds late.  Each
   daemon on the path averages the reports that it receives, and an average
   over a fixed number of reports lags if few arrive.  After three reports in
   half a second the average has to be near their value.  */
START_TEST (three_reports_replace_the_average)
{
  struct pressure_report calm = { STR_LIT ("deep"), 0, PRESSURE_SCALE };
  struct pressure_report full
      = { STR_LIT ("deep"), PRESSURE_SCALE, PRESSURE_SCALE };
  struct pressure_downstream_service services[PRESSURE_PATH_SERVICES_MAX];
  struct pressure_downstream b;

  pressure_init_downstream (&b);
  for (int i = 0; i < 100; i++)
    pressure_record_downstream (&b, &calm, 1, i * 10000 + 1);
  for (int i = 1; i <= 3; i++)
    pressure_record_downstream (&b, &full, 1, CLOCK_US_PER_S + i * 160000);
  ck_assert_uint_eq (pressure_copy_downstream (
                         &b, services, PRESSURE_PATH_SERVICES_MAX, 1500000),
                     1);
  ck_assert_double_ge (services[0].value, 0.9);
  pressure_close_downstream (&b);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    overload_refuses_the_least_important_first,
    refusals_end_with_the_overload,
    no_importance_is_refused_entirely,
    large_overload_is_refused_down_to_capacity,
    refusals_end_with_a_large_overload,
    other_routes_and_old_reports_cause_no_refusals,
    downstream_reports_are_kept_by_service,
    three_reports_replace_the_average,
    downstream_calls_are_counted_per_request,
  };

  return suite_run ("pressure", cases, sizeof cases / sizeof *cases);
}
