/* Tests of the concurrency_limit module: a simulated backend server with as
   many requests as the limit allows.  */

#include "concurrency_limit.h"
#include "suite.h"

#include <glib.h>

#define SEED 7
#define SLOTS 100
#define BASE_US 20000
#define TICK_US 50000
#define RUN_US 40000000

/* A backend server that queues requests above `knee` concurrent ones, and
   whose requests each wait nested_us for nested calls.  */
struct backend
{
  double knee;
  double slowdown;
  int64_t nested_us;
  uint32_t load; /* concurrent requests; 0: as many as the limit allows */
};

static const struct concurrency_limit_ops *
adaptive (void)
{
  return concurrency_limit_find_ops (STR_LIT ("adaptive"));
}

static const struct concurrency_limit_ops *
fixed (void)
{
  return concurrency_limit_find_ops (STR_LIT ("fixed"));
}

/* Simulates the backend server from from_us until to_us.  */
static void
run (const struct concurrency_limit_ops *ops, struct concurrency_limit *l,
     struct backend b, GRand *rand, int64_t from_us, int64_t to_us)
{
  for (int64_t now_us = from_us; now_us < to_us; now_us += TICK_US)
    {
      uint32_t limit = ops->get (l, now_us);
      uint32_t n = b.load > 0 ? MIN (limit, b.load) : limit;
      double mean_us = b.slowdown * BASE_US * MAX (1, n / b.knee);
      int done = (int)(n * TICK_US / (mean_us + (double)b.nested_us));

      for (int i = 0; i < done; i++)
        {
          double own_us = mean_us * g_rand_double_range (rand, 0.5, 1.5);
          struct concurrency_limit_sample sample
              = { .service_us = (int64_t)own_us + b.nested_us,
                  .nested_us = b.nested_us,
                  .in_flight = n };

          ops->record_completion (l, &sample, now_us);
        }
      ops->tick (l, 10, now_us);
    }
}

/* Returns the limit after RUN_US on a backend server that is healthy for the
   first quarter of the time and behaves as `b` after that.  */
static uint32_t
run_to_steady_state (const struct concurrency_limit_ops *ops,
                     uint32_t disabled_rules, struct backend b)
{
  struct concurrency_limit_settings settings
      = concurrency_limit_get_defaults ();
  const struct backend healthy = { .knee = SLOTS, .slowdown = 1 };
  GRand *rand = g_rand_new_with_seed (SEED);
  struct concurrency_limit l;

  settings.disabled_rules = disabled_rules;
  ops->init (&l, &settings);
  ops->announce (&l, SLOTS, 0);
  run (ops, &l, healthy, rand, 0, RUN_US / 4);
  run (ops, &l, b, rand, RUN_US / 4, RUN_US);
  g_rand_free (rand);
  return ops->get (&l, RUN_US);
}

/* Guards against a limit that overloads a backend server which announced more
   slots than it can serve.  */
START_TEST (backend_that_queues_gets_a_lower_limit)
{
  const struct backend b = { .knee = 20, .slowdown = 1 };

  ck_assert_uint_le (run_to_steady_state (adaptive (), 0, b), 60);
  ck_assert_uint_ge (run_to_steady_state (adaptive (), 0, b), 15);
  ck_assert_uint_gt (
      run_to_steady_state (adaptive (), CONCURRENCY_LIMIT_RULE_ADAPT, b), 60);
  ck_assert_uint_eq (run_to_steady_state (fixed (), 0, b), SLOTS);
}
END_TEST

/* Guards against a limit that falls, and with it the throughput, when more
   concurrency is not the cause of the longer service time.  */
START_TEST (slow_backend_keeps_its_slots)
{
  const struct backend slow = { .knee = SLOTS, .slowdown = 5 };
  const struct backend waiting
      = { .knee = SLOTS, .slowdown = 1, .nested_us = 10 * BASE_US };

  ck_assert_uint_ge (run_to_steady_state (adaptive (), 0, slow), 90);
  ck_assert_uint_ge (run_to_steady_state (adaptive (), 0, waiting), 90);
}
END_TEST

/* Guards against a limit that falls to its minimum when a server with few
   slots becomes slow, and does not recover: with so few concurrent requests,
   too few of them end during a probe, which measures the service time at low
   concurrency again.  */
START_TEST (few_slots_are_kept_when_they_become_slow)
{
  const struct backend healthy = { .knee = 20, .slowdown = 1, .load = 8 };
  const struct backend slow = { .knee = 20, .slowdown = 10 };
  struct concurrency_limit_settings settings
      = concurrency_limit_get_defaults ();
  GRand *rand = g_rand_new_with_seed (SEED);
  struct concurrency_limit l;

  adaptive ()->init (&l, &settings);
  adaptive ()->announce (&l, 20, 0);
  run (adaptive (), &l, healthy, rand, 0, RUN_US / 4);
  run (adaptive (), &l, slow, rand, RUN_US / 4, RUN_US / 2);
  ck_assert_uint_eq (adaptive ()->get (&l, RUN_US / 2), 20);
  g_rand_free (rand);
}
END_TEST

/* Guards against more concurrent requests than the announced slots.  */
START_TEST (limit_is_never_above_the_slots)
{
  const struct backend b = { .knee = 1000, .slowdown = 0.1 };

  ck_assert_uint_le (run_to_steady_state (adaptive (), 0, b), SLOTS);
  ck_assert_uint_gt (
      run_to_steady_state (adaptive (), CONCURRENCY_LIMIT_RULE_SLOTS, b),
      SLOTS);
}
END_TEST

/* Guards against full load on a cold backend server, and against a slow start
   that begins again with each repeated announcement.  */
START_TEST (slow_start_after_an_announcement)
{
  struct concurrency_limit_settings settings
      = concurrency_limit_get_defaults ();
  struct concurrency_limit l;

  adaptive ()->init (&l, &settings);
  ck_assert_uint_eq (adaptive ()->get (&l, 0), 0);
  adaptive ()->announce (&l, SLOTS, 0);
  ck_assert_uint_eq (adaptive ()->get (&l, 0), settings.min);
  ck_assert_uint_lt (adaptive ()->get (&l, settings.slow_start_us / 2), 60);
  adaptive ()->announce (&l, SLOTS, settings.slow_start_us / 2);
  ck_assert_uint_eq (adaptive ()->get (&l, settings.slow_start_us), SLOTS);
  adaptive ()->announce (&l, 0, settings.slow_start_us);
  ck_assert_uint_eq (adaptive ()->get (&l, settings.slow_start_us), 0);
  adaptive ()->announce (&l, SLOTS, 2 * settings.slow_start_us);
  ck_assert_uint_eq (adaptive ()->get (&l, 2 * settings.slow_start_us),
                     settings.min);
  settings.disabled_rules = CONCURRENCY_LIMIT_RULE_SLOW_START;
  adaptive ()->init (&l, &settings);
  adaptive ()->announce (&l, SLOTS, 0);
  ck_assert_uint_eq (adaptive ()->get (&l, 0), SLOTS);
}
END_TEST

/* Guards against full load on a backend server that rejects requests.  */
START_TEST (rejections_lower_the_limit)
{
  struct concurrency_limit_settings settings
      = concurrency_limit_get_defaults ();
  struct concurrency_limit_sample sample
      = { .service_us = 100, .in_flight = 5 };
  struct concurrency_limit l;

  adaptive ()->init (&l, &settings);
  adaptive ()->announce (&l, SLOTS, 0);
  for (int64_t now_us = 0; now_us < RUN_US / 4; now_us += TICK_US)
    {
      for (int i = 0; i < 10; i++)
        {
          sample.failed = i % 2 == 0;
          adaptive ()->record_completion (&l, &sample, now_us);
        }
      adaptive ()->tick (&l, 0, now_us);
    }
  ck_assert_uint_eq (adaptive ()->get (&l, RUN_US), settings.min);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    backend_that_queues_gets_a_lower_limit,   slow_backend_keeps_its_slots,
    few_slots_are_kept_when_they_become_slow, limit_is_never_above_the_slots,
    slow_start_after_an_announcement,         rejections_lower_the_limit
  };

  return suite_run ("concurrency_limit", cases, G_N_ELEMENTS (cases));
}
