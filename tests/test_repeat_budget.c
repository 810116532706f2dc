/* Tests of repeat_budget: a fault in virtual time in which the backend servers
   of a deep service reject most calls although they have free slots, and the
   bound on retries over random fleets.  */

#include "clock.h"
#include "repeat_budget.h"
#include "retry_policy.h"
#include "suite.h"

#include <stdio.h>

/* Constants */

#define SERVERS 3
#define FRONTS 16
#define STEP_US 1000
#define RING_STEPS 64
#define FAULT_START_US (4 * CLOCK_US_PER_S)
#define FAULT_S 8
#define REJECTED_SHARE 0.55
#define SERVICE_STEPS 10 /* of a call that runs */
#define HOP_STEPS 2      /* from an answer to the next call */
/* Pause before a call is sent again, as in src/serve_resend.c.  */
#define PAUSE_STEPS_MIN 2
#define PAUSE_STEPS_SPREAD 4
#define RESENDS_MAX 3
#define WAITS_MAX 8
#define KINDS 2

#define FLEETS 1200
#define FLEET_SERVERS_MAX 16
#define WINDOW_US (10 * CLOCK_US_PER_S)
#define SLACK 48 /* the lower one of the users' deployments */

/* Types */

struct kind
{
  const char *name;
  uint32_t per_s;
  uint32_t calls;
  uint32_t importance;
  uint32_t worth;
  int64_t timeout_us;
};

struct request
{
  uint32_t kind;
  uint32_t calls_left;
  uint32_t front;
  uint32_t attempts; /* of this call */
  uint32_t sends;    /* of this attempt */
  uint32_t waits;    /* for credit, since the last send */
  uint32_t server;
  bool retry; /* this attempt is one */
  int64_t deadline_us;
  struct retry_budget_pool pool;
};

struct simulation
{
  const struct repeat_budget_ops *ops; /* NULL: today's policy */
  int64_t now_us;
  struct table requests;
  GArray *ring[RING_STEPS]; /* ids of requests whose call arrives */
  GArray *ended[RING_STEPS];
  struct repeat_budget ledgers[SERVERS];
  struct retry_budget_ratio fronts[FRONTS];
  GRand *rand;
  uint32_t firsts;        /* arrivals in the fault */
  uint32_t window_firsts; /* in the window that ends with the fault */
  uint32_t retries;
  uint32_t served[KINDS]; /* in the fault */
};

/* State */

/* A page needs four calls in sequence.  Both kinds use the same route of the
   deep service.  */
static const struct kind kinds[KINDS] = {
  { "pages", 1000, 4, 7, 1, 2000000 },
  { "others", 250, 1, 9, 2, 1000000 },
};

static const struct repeat_budget_settings limits
    = { .ratio = 0.2, .window_us = WINDOW_US };

/* Internal functions: the fault */

static bool
is_fault (const struct simulation *sim)
{
  return sim->now_us >= FAULT_START_US
         && sim->now_us < FAULT_START_US + FAULT_S * CLOCK_US_PER_S;
}

static void
schedule (struct simulation *sim, GArray **ring, uint64_t id, uint32_t steps)
{
  g_array_append_val (ring[(sim->now_us / STEP_US + steps) % RING_STEPS], id);
}

static struct repeat_budget_request
describe (const struct simulation *sim, const struct request *r)
{
  return (
      struct repeat_budget_request){ .route = STR_LIT ("deep"),
                                     .importance = kinds[r->kind].importance,
                                     .left_us = r->deadline_us - sim->now_us };
}

static void
start_call (struct simulation *sim, uint64_t id, struct request *r,
            uint32_t steps)
{
  r->attempts = 1;
  r->sends = r->waits = 0;
  r->retry = false;
  r->server = g_rand_int_range (sim->rand, 0, SERVERS);
  retry_budget_record_request (&sim->fronts[r->front], STR_LIT ("deep"),
                               sim->now_us);
  schedule (sim, sim->ring, id, steps);
}

/* The front gets "not run": it tries another server or fails the request.  */
static void
fail_attempt (struct simulation *sim, uint64_t id, struct request *r)
{
  struct retry_policy_failure failure = { .error = ERR_BACKEND_REFUSED,
                                          .attempts = r->attempts,
                                          .destination = STR_LIT ("deep"),
                                          .pool = &r->pool,
                                          .ratio = &sim->fronts[r->front] };

  if (r->deadline_us <= sim->now_us
      || !retry_policy_find_ops (STR_LIT ("budget"))
              ->allow (&failure, sim->now_us))
    {
      table_remove (&sim->requests, id);
      return;
    }
  r->attempts++;
  r->sends = r->waits = 0;
  r->retry = true;
  r->server = (r->server + 1) % SERVERS;
  schedule (sim, sim->ring, id, HOP_STEPS);
}

static enum repeat_budget_decision
record_arrival (struct simulation *sim, struct request *r)
{
  struct repeat_budget_request q = describe (sim, r);
  bool first = !r->retry && r->sends == 0;
  enum repeat_budget_decision decision = REPEAT_BUDGET_ALLOWED;

  if (sim->ops != NULL && first)
    repeat_budget_record_first (&sim->ledgers[r->server], &q, sim->now_us);
  else if (sim->ops != NULL)
    decision = sim->ops->ask (&sim->ledgers[r->server], &q, sim->now_us);
  if (decision != REPEAT_BUDGET_ALLOWED)
    return decision;
  r->sends++;
  r->waits = 0;
  if (sim->now_us >= FAULT_START_US + FAULT_S * CLOCK_US_PER_S - WINDOW_US)
    sim->window_firsts += first;
  if (!is_fault (sim))
    return decision;
  sim->firsts += first;
  sim->retries += !first;
  return decision;
}

static void
pause_call (struct simulation *sim, uint64_t id)
{
  schedule (sim, sim->ring, id,
            g_rand_int_range (sim->rand, PAUSE_STEPS_MIN,
                              PAUSE_STEPS_MIN + PAUSE_STEPS_SPREAD + 1));
}

static void
arrive (struct simulation *sim, uint64_t id)
{
  struct request *r = table_get (&sim->requests, id);
  enum repeat_budget_decision decision = record_arrival (sim, r);

  if (decision == REPEAT_BUDGET_WAIT && r->waits++ < WAITS_MAX)
    pause_call (sim, id);
  else if (decision != REPEAT_BUDGET_ALLOWED && r->sends > 0)
    fail_attempt (sim, id, r);
  else if (decision != REPEAT_BUDGET_ALLOWED)
    table_remove (&sim->requests, id);
  else if (!is_fault (sim) || g_rand_double (sim->rand) >= REJECTED_SHARE)
    schedule (sim, sim->ended, id, SERVICE_STEPS);
  else if (sim->ops != NULL && r->sends <= RESENDS_MAX)
    pause_call (sim, id);
  else
    fail_attempt (sim, id, r);
}

static void
end_call (struct simulation *sim, uint64_t id)
{
  struct request *r = table_get (&sim->requests, id);

  if (--r->calls_left > 0)
    {
      start_call (sim, id, r, HOP_STEPS);
      return;
    }
  if (is_fault (sim) && r->deadline_us > sim->now_us)
    sim->served[r->kind]++;
  table_remove (&sim->requests, id);
}

static void
start_requests (struct simulation *sim)
{
  for (uint32_t kind = 0; kind < KINDS; kind++)
    {
      double due = (double)kinds[kind].per_s * STEP_US / CLOCK_US_PER_S;

      for (; due > 0 && g_rand_double (sim->rand) < due; due--)
        {
          struct request *r;
          uint64_t id = table_add (&sim->requests, (void **)&r);

          r->kind = kind;
          r->calls_left = kinds[kind].calls;
          r->front = g_rand_int_range (sim->rand, 0, FRONTS);
          r->deadline_us = sim->now_us + kinds[kind].timeout_us;
          retry_budget_init_pool (&r->pool, RETRY_BUDGET_EXTRA_DEFAULT);
          start_call (sim, id, r, HOP_STEPS);
        }
    }
}

static void
step (struct simulation *sim)
{
  GArray *arriving = sim->ring[sim->now_us / STEP_US % RING_STEPS];
  GArray *ending = sim->ended[sim->now_us / STEP_US % RING_STEPS];

  start_requests (sim);
  for (guint i = 0; i < arriving->len; i++)
    arrive (sim, g_array_index (arriving, uint64_t, i));
  for (guint i = 0; i < ending->len; i++)
    end_call (sim, g_array_index (ending, uint64_t, i));
  g_array_set_size (arriving, 0);
  g_array_set_size (ending, 0);
  sim->now_us += STEP_US;
}

/* Plays the fault and prints what callers get per second.  */
static struct simulation
play (const char *policy)
{
  struct simulation sim
      = { .ops = repeat_budget_find_ops (str_from_cstr (policy)),
          .rand = g_rand_new_with_seed (1) };

  table_init (&sim.requests, sizeof (struct request));
  for (uint32_t i = 0; i < RING_STEPS; i++)
    {
      sim.ring[i] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      sim.ended[i] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
    }
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      repeat_budget_init (&sim.ledgers[i], &limits);
    }
  for (uint32_t i = 0; i < FRONTS; i++)
    {
      retry_budget_init_ratio (&sim.fronts[i]);
      if (sim.ops != NULL)
        sim.fronts[i].ratio = limits.ratio;
    }
  while (sim.now_us < FAULT_START_US + FAULT_S * CLOCK_US_PER_S)
    step (&sim);
  printf ("%s: %u pages/s, %u others/s, %u retries of %u first arrivals\n",
          policy, sim.served[0] / FAULT_S, sim.served[1] / FAULT_S,
          sim.retries, sim.firsts);
  fflush (stdout); /* a failed case ends by _exit */
  for (uint32_t i = 0; i < RING_STEPS; i++)
    {
      g_array_unref (sim.ring[i]);
      g_array_unref (sim.ended[i]);
    }
  for (uint32_t i = 0; i < SERVERS; i++)
    repeat_budget_close (&sim.ledgers[i]);
  for (uint32_t i = 0; i < FRONTS; i++)
    retry_budget_close_ratio (&sim.fronts[i]);
  table_close (&sim.requests);
  g_rand_free (sim.rand);
  return sim;
}

static uint32_t
get_worth (const struct simulation *sim)
{
  uint32_t worth = 0;

  for (uint32_t kind = 0; kind < KINDS; kind++)
    worth += sim->served[kind] * kinds[kind].worth;
  return worth;
}

/* Guards against credit that is left unused or spent on requests that do not
   complete: callers must get more, by worth and in whole requests, if it is
   spent by value than if it is spent equally or by today's policy, and at least
   0.9 of the credit must be used that is not kept for retried executions.  */
START_TEST (credit_spent_by_value_serves_callers_best)
{
  struct simulation today = play ("today");
  struct simulation equal = play ("equal");
  struct simulation value = play ("value");

  ck_assert_uint_gt (get_worth (&equal), get_worth (&today));
  ck_assert_uint_gt (get_worth (&value), get_worth (&equal));
  ck_assert_uint_gt (value.served[0] + value.served[1],
                     equal.served[0] + equal.served[1]);
  ck_assert_uint_gt (value.served[0] + value.served[1],
                     today.served[0] + today.served[1]);
  ck_assert_double_le (value.retries,
                       limits.ratio * value.window_firsts + SLACK);
  ck_assert_double_ge (value.retries,
                       0.9 * 0.75 * limits.ratio * value.firsts);
}
END_TEST

/* Internal functions: the bound */

struct event
{
  int64_t at_us;
  bool retry;
};

struct fleet
{
  uint32_t servers;
  bool serves[FLEET_SERVERS_MAX];
  uint32_t part[FLEET_SERVERS_MAX]; /* 0 or 1 while partitioned */
  struct repeat_budget ledgers[FLEET_SERVERS_MAX];
  const struct repeat_budget_ops *ops;
  GArray *events; /* struct event of all servers */
  GRand *rand;
};

/* Returns the number of first arrivals in (from_us, until_us].  */
static guint
count_firsts (const GArray *events, const guint *firsts, int64_t from_us,
              int64_t until_us)
{
  guint ends[2];

  for (int i = 0; i < 2; i++)
    {
      int64_t at_us = i == 0 ? from_us : until_us;
      guint low = 0, high = events->len;

      while (low < high)
        {
          guint middle = (low + high) / 2;

          if (g_array_index (events, struct event, middle).at_us <= at_us)
            low = middle + 1;
          else
            high = middle;
        }
      ends[i] = low;
    }
  return firsts[ends[1]] - firsts[ends[0]];
}

/* Returns the largest difference of the retries in a window and ratio x first
   arrivals, which are those of that window, of the one before it or of the one
   half a window before it, whichever are most.  Of all windows, those that
   begin just before a retry hold most retries for their first arrivals.  */
static double
get_worst_excess (const GArray *events)
{
  guint *firsts = g_new0 (guint, events->len + 1);
  double worst = 0;
  guint end = 0;
  guint retries = 0;

  for (guint i = 0; i < events->len; i++)
    firsts[i + 1] = firsts[i] + !g_array_index (events, struct event, i).retry;
  for (guint i = 0; i < events->len; i++)
    {
      const struct event *e = &g_array_index (events, struct event, i);
      int64_t from_us = e->at_us - 1;
      guint most = 0;

      for (; end < events->len
             && g_array_index (events, struct event, end).at_us
                    <= from_us + WINDOW_US;
           end++)
        retries += g_array_index (events, struct event, end).retry;
      if (!e->retry)
        continue;
      for (int64_t back_us = 0; back_us <= WINDOW_US; back_us += WINDOW_US / 2)
        most = MAX (most, count_firsts (events, firsts, from_us - back_us,
                                        from_us - back_us + WINDOW_US));
      worst = MAX (worst, retries - limits.ratio * most);
      retries--;
    }
  g_free (firsts);
  return worst;
}

static void
arrive_in_fleet (struct fleet *f, uint32_t server, bool retry, int64_t now_us)
{
  struct repeat_budget_request q
      = { .route = STR_LIT ("deep"),
          .importance = g_rand_int_range (f->rand, 0, 10),
          .left_us = g_rand_int_range (f->rand, 0, 2000000),
          .inherited = g_rand_int_range (f->rand, 0, 4) == 0 };
  struct event e = { now_us, retry };

  if (!retry)
    repeat_budget_record_first (&f->ledgers[server], &q, now_us);
  else if (f->ops->ask (&f->ledgers[server], &q, now_us)
           != REPEAT_BUDGET_ALLOWED)
    return;
  g_array_append_val (f->events, e);
}

/* Plays a time with a constant rate and share of retries, in which some
   servers have restarted or are down, and the fleet may be in two parts, each
   with callers of its own.  */
static void
play_segment (struct fleet *f, int64_t from_us, int64_t until_us)
{
  uint32_t gap_us = 1u << g_rand_int_range (f->rand, 9, 22);
  double retries = g_rand_double_range (f->rand, 0, 1);
  bool partitioned = g_rand_int_range (f->rand, 0, 3) == 0;

  for (uint32_t i = 0; i < f->servers; i++)
    {
      f->serves[i] = g_rand_int_range (f->rand, 0, 3) > 0;
      f->part[i] = partitioned ? g_rand_int_range (f->rand, 0, 2) : 0;
      if (g_rand_int_range (f->rand, 0, 4) > 0)
        continue;
      repeat_budget_close (&f->ledgers[i]);
      repeat_budget_init (&f->ledgers[i], &limits);
    }
  for (int64_t t = from_us; t < until_us;
       t += g_rand_int_range (f->rand, 1, 2 * (gint32)gap_us))
    {
      uint32_t server = g_rand_int_range (f->rand, 0, (gint32)f->servers);

      if (f->serves[server])
        arrive_in_fleet (f, server, g_rand_double (f->rand) < retries, t);
    }
}

static double
play_fleet (uint32_t seed)
{
  struct fleet f
      = { .rand = g_rand_new_with_seed (seed),
          .ops = repeat_budget_find_ops (seed % 2 == 0 ? STR_LIT ("equal")
                                                       : STR_LIT ("value")),
          .events = g_array_new (FALSE, FALSE, sizeof (struct event)) };
  int64_t now_us = CLOCK_US_PER_S;
  double worst;

  f.servers = g_rand_int_range (f.rand, 1, FLEET_SERVERS_MAX + 1);
  for (uint32_t i = 0; i < f.servers; i++)
    repeat_budget_init (&f.ledgers[i], &limits);
  for (uint32_t i = 0; i < 6; i++)
    {
      int64_t until_us = now_us + g_rand_int_range (f.rand, 100000, 8000000);

      play_segment (&f, now_us, until_us);
      now_us = until_us;
    }
  worst = get_worst_excess (f.events);
  for (uint32_t i = 0; i < f.servers; i++)
    repeat_budget_close (&f.ledgers[i]);
  g_array_unref (f.events);
  g_rand_free (f.rand);
  return worst;
}

/* Guards against retries of a service beyond the ratio of its first arrivals
   and the slack in any window, over random fleets of 1 to 16 servers whose
   daemons restart or are cut off and whose traffic changes.  */
START_TEST (retries_stay_within_the_ratio_in_every_window)
{
  double worst = 0;

  for (uint32_t seed = 1; seed <= FLEETS; seed++)
    {
      double excess = play_fleet (seed);

      ck_assert_msg (excess <= SLACK, "seed %u: %.1f retries too many", seed,
                     excess);
      worst = MAX (worst, excess);
    }
  printf ("largest excess of %d fleets: %.1f retries\n", FLEETS, worst);
}
END_TEST

/* Guards against a daemon that allows retries which an earlier process of it
   has already used up, and against credit that a service without requests
   saves for more than a window.  */
START_TEST (new_or_idle_ledger_has_no_credit)
{
  const struct repeat_budget_ops *ops
      = repeat_budget_find_ops (STR_LIT ("equal"));
  struct repeat_budget_request q
      = { .route = STR_LIT ("deep"), .importance = 9, .left_us = 1000000 };
  struct repeat_budget b;
  int64_t now_us = CLOCK_US_PER_S;

  repeat_budget_init (&b, &limits);
  ck_assert_int_eq (ops->ask (&b, &q, now_us), REPEAT_BUDGET_REFUSED);
  for (int i = 0; i < 100; i++)
    repeat_budget_record_first (&b, &q, now_us);
  ck_assert_int_eq (ops->ask (&b, &q, now_us), REPEAT_BUDGET_ALLOWED);
  now_us += WINDOW_US + WINDOW_US / REPEAT_BUDGET_INTERVALS;
  ck_assert_uint_eq (repeat_budget_count_firsts (&b, now_us), 0);
  ck_assert_int_eq (ops->ask (&b, &q, now_us), REPEAT_BUDGET_REFUSED);
  repeat_budget_close (&b);
}
END_TEST

/* Guards against saved credit that is refused to the requests of a daemon that
   was killed, which are all retried at once in a service with few requests.  */
START_TEST (saved_credit_is_spent_at_once)
{
  const struct repeat_budget_ops *ops
      = repeat_budget_find_ops (STR_LIT ("value"));
  struct repeat_budget_request q
      = { .route = STR_LIT ("deep"), .importance = 7, .left_us = 1000000 };
  int64_t now_us = CLOCK_US_PER_S;
  struct repeat_budget b;

  repeat_budget_init (&b, &limits);
  for (int i = 0; i < 100; i++, now_us += 50000)
    repeat_budget_record_first (&b, &q, now_us);
  /* three quarters of the ratio */
  for (int i = 0; i < 15; i++)
    ck_assert_int_eq (ops->ask (&b, &q, now_us), REPEAT_BUDGET_ALLOWED);
  ck_assert_int_ne (ops->ask (&b, &q, now_us), REPEAT_BUDGET_ALLOWED);
  repeat_budget_close (&b);
}
END_TEST

/* Guards against calls of a retried execution that find no credit although a
   quarter of it is kept for them.  */
START_TEST (reserve_is_kept_for_calls_of_retried_executions)
{
  const struct repeat_budget_ops *ops
      = repeat_budget_find_ops (STR_LIT ("equal"));
  struct repeat_budget_request q
      = { .route = STR_LIT ("deep"), .importance = 9, .left_us = 1000000 };
  struct repeat_budget b;

  repeat_budget_init (&b, &limits);
  for (int i = 0; i < 100; i++)
    repeat_budget_record_first (&b, &q, CLOCK_US_PER_S);
  while (ops->ask (&b, &q, CLOCK_US_PER_S) == REPEAT_BUDGET_ALLOWED)
    continue;
  q.inherited = true;
  ck_assert_int_eq (ops->ask (&b, &q, CLOCK_US_PER_S), REPEAT_BUDGET_ALLOWED);
  repeat_budget_close (&b);
}
END_TEST

/* Guards against an order of the scores that does not put the requests first
   that have made most of their calls, or that puts requests of a single call
   behind those that have only begun.  */
START_TEST (score_rises_with_progress_and_importance)
{
  struct repeat_budget_request page
      = { .route = STR_LIT ("deep"), .importance = 7 };
  struct repeat_budget_request single
      = { .route = STR_LIT ("deep"), .importance = 7 };
  struct repeat_budget b;
  double begun;

  single.route = STR_LIT ("single");
  repeat_budget_init (&b, &limits);
  for (int i = 0; i < 4000; i++)
    {
      page.left_us = 2000000 - i % 4 * 20000;
      single.left_us = 1000000 - i % 4 * 500;
      repeat_budget_record_first (&b, &page, CLOCK_US_PER_S + i * 1000);
      repeat_budget_record_first (&b, &single, CLOCK_US_PER_S + i * 1000);
    }
  page.left_us = 2000000;
  single.left_us = 1000000;
  begun = repeat_budget_get_score (&b, &page);
  ck_assert_double_lt (begun, repeat_budget_get_score (&b, &single) / 2);
  page.left_us -= 60000;
  ck_assert_double_gt (repeat_budget_get_score (&b, &page), 4 * begun);
  single.importance = 9;
  ck_assert_double_gt (repeat_budget_get_score (&b, &single), 8);
  repeat_budget_close (&b);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { credit_spent_by_value_serves_callers_best,
          retries_stay_within_the_ratio_in_every_window,
          new_or_idle_ledger_has_no_credit,
          saved_credit_is_spent_at_once,
          reserve_is_kept_for_calls_of_retried_executions,
          score_rises_with_progress_and_importance };

  return suite_run ("repeat_budget", cases, G_N_ELEMENTS (cases));
}
