/* Tests of the route_even module: simulated daemons that choose among the
   endpoints of one service by reports that responses bring.

   The failure that it guards against: endpoints are overloaded in turn while
   others are idle, because many daemons choose by the same stale reports.  The
   simulation runs in virtual time.  `fresh` is the reference: it knows the
   number of requests at each endpoint and on the way to it, and its speed at
   the moment of the choice.  */

#include "load_meter.h"
#include "retry_policy.h"
#include "route.h"
#include "route_even.h"
#include "suite.h"

#include <math.h>
#include <stdio.h>

/* Constants */

#define DAEMONS 82
#define ENDPOINTS 24
#define DOMAINS 4
#define SLOTS 8
#define SEED 4
#define STEP_US 100
/* Ring of steps: longer than any delay of an event.  */
#define STEPS 16384
#define WARM_US 1000000
#define END_US 6000000
#define SERVICE_US 20000
#define TARGET_US 400000
/* A request that waited for longer is not run.  */
#define WAIT_MAX_US 300000
#define LOCAL_ROUND_TRIP_US 300
/* Added by a way between failure domains, there and back.  */
#define CROSSING_US 1400
#define SLOW_FACTOR 3.0
#define SLOW_PERIOD_US 600000
#define SLOW_ENDPOINTS 4

/* Types */

enum event_kind
{
  SENT,    /* arrives at the daemon */
  ARRIVED, /* arrives at the endpoint */
  ENDED,   /* its slot becomes free */
  RETURNED /* the response arrives at the daemon */
};

struct event
{
  enum event_kind kind;
  uint32_t request;
};

struct request
{
  uint32_t daemon;
  uint32_t endpoint;
  int64_t sent_us;
  int64_t attempt_us;
  int64_t arrived_us;
  int64_t started_us;
  int64_t service_us;
  int64_t residence_us;
  /* load report of the response */
  uint32_t in_flight;
  uint32_t arrivals_per_s;
  uint32_t report_service_us;
  bool run;
  uint32_t response_max_us; /* refused if the endpoint expects more */
  uint32_t tried_len;
  uint64_t tried[RETRY_POLICY_FREE_ATTEMPTS];
  bool refused;
};

struct endpoint
{
  double speed;
  uint32_t running;
  uint32_t in_transit; /* requests on the way to it */
  GArray *queue;       /* request indexes */
  guint queue_from;
  struct load_meter meter;
  double busy_us; /* slot time in use, added up */
};

struct sim;

/* A way to choose the endpoint.  */
struct approach
{
  const char *name;
  uint64_t (*choose) (struct sim *s, uint32_t daemon);
  const char *policy; /* name of the policy, if choose is NULL */
  uint32_t disabled_rules;
  bool refuses;       /* endpoints may refuse a request, as even_load has it */
  int64_t restart_us; /* all daemons start again then; 0: never */
};

struct sim
{
  const struct approach *approach;
  const struct route_ops *ops;
  double load;
  bool equal;
  int64_t now_us;
  struct endpoint endpoints[ENDPOINTS];
  struct route_pool pools[DAEMONS];
  double credit[DAEMONS][ENDPOINTS]; /* of choose_weighted */
  GArray *ring[STEPS];
  GArray *requests;
  GRand *rand;
  GArray *waits; /* int64_t */
  uint32_t counted;
  uint32_t attempts;
  uint32_t ages_len;
  double ages_us; /* of the reports by which endpoints were chosen, added up */
  uint32_t in_target;
  uint32_t crossed;
  uint32_t domain_counted[DOMAINS];
  uint32_t domain_in_target[DOMAINS];
};

struct figures
{
  double in_target;
  double worst_domain;
  double p99_ms;
  double busiest;
  double crossed;
};

/* Internal functions: simulation */

static void
schedule (struct sim *s, enum event_kind kind, uint32_t request,
          int64_t delay_us)
{
  int64_t steps = MAX ((delay_us + STEP_US / 2) / STEP_US, 1);
  struct event e = { kind, request };

  ck_assert_int_lt (steps, STEPS);
  g_array_append_val (s->ring[(s->now_us / STEP_US + steps) % STEPS], e);
}

static struct request *
get_request (struct sim *s, uint32_t i)
{
  return &g_array_index (s->requests, struct request, i);
}

static bool
is_slow (const struct sim *s, uint32_t endpoint)
{
  int64_t period = s->now_us / SLOW_PERIOD_US;

  if (s->equal)
    return false;
  /* 5 and 24 have no common factor, so the slow ones are spread over the
     domains and the speeds.  */
  return (endpoint * 5 + period * SLOW_ENDPOINTS) % ENDPOINTS < SLOW_ENDPOINTS;
}

static double
get_speed (const struct sim *s, uint32_t endpoint)
{
  return s->endpoints[endpoint].speed
         / (is_slow (s, endpoint) ? SLOW_FACTOR : 1);
}

static double
get_capacity_per_s (const struct sim *s)
{
  double speed = 0;
  double slow_share = s->equal ? 0 : (double)SLOW_ENDPOINTS / ENDPOINTS;

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    speed += s->endpoints[i].speed;
  return speed * (1 - slow_share + slow_share / SLOW_FACTOR) * SLOTS * 1e6
         / SERVICE_US;
}

static uint32_t
get_queued (const struct endpoint *e)
{
  return e->queue->len - e->queue_from;
}

static int64_t
get_way_us (uint32_t daemon, uint32_t endpoint)
{
  return (LOCAL_ROUND_TRIP_US
          + (daemon % DOMAINS != endpoint % DOMAINS ? CROSSING_US : 0))
         / 2;
}

static void
respond (struct sim *s, uint32_t id)
{
  struct request *r = get_request (s, id);
  struct endpoint *e = &s->endpoints[r->endpoint];

  r->in_flight = e->running + get_queued (e);
  r->arrivals_per_s = load_meter_get_arrivals_per_s (&e->meter, s->now_us);
  r->report_service_us = load_meter_get_service_us (&e->meter, s->now_us);
  r->residence_us = s->now_us - r->arrived_us;
  schedule (s, RETURNED, id, get_way_us (r->daemon, r->endpoint));
}

static void
fill_slots (struct sim *s, struct endpoint *e)
{
  while (e->running < SLOTS && get_queued (e) > 0)
    {
      uint32_t id = g_array_index (e->queue, uint32_t, e->queue_from++);
      struct request *r = get_request (s, id);

      r->started_us = s->now_us;
      if (s->now_us - r->arrived_us > WAIT_MAX_US)
        {
          respond (s, id);
          continue;
        }
      r->run = true;
      r->service_us = (int64_t)(SERVICE_US / get_speed (s, r->endpoint)
                                * g_rand_double_range (s->rand, 0.5, 1.5));
      e->running++;
      load_meter_record_start (&e->meter, s->now_us);
      schedule (s, ENDED, id, r->service_us);
    }
}

static const struct route_endpoint *
find_endpoint (const struct route_pool *p, uint64_t member)
{
  uint64_t *id = g_hash_table_lookup (p->by_member, &member);

  return table_get (&p->endpoints, *id);
}

static void
count_age (struct sim *s, const struct route_endpoint *e)
{
  if (s->now_us < WARM_US || e->limit == 0)
    return;
  s->ages_len++;
  s->ages_us += (double)(s->now_us - e->reported_us);
}

static void
send_request (struct sim *s, uint32_t id)
{
  struct request *r = get_request (s, id);
  uint64_t member = s->approach->choose != NULL
                        ? s->approach->choose (s, r->daemon)
                        : s->ops->choose (&s->pools[r->daemon], r->tried,
                                          r->tried_len, s->now_us);

  ck_assert_uint_ne (member, 0);
  r->endpoint = (uint32_t)member - 1;
  r->response_max_us = 0;
  if (s->approach->refuses && r->tried_len + 1 < RETRY_POLICY_FREE_ATTEMPTS)
    r->response_max_us = s->ops->get_response_max_us (
        &s->pools[r->daemon], r->tried, r->tried_len, member, s->now_us);
  r->tried[r->tried_len++] = member;
  r->attempt_us = s->now_us;
  s->attempts++;
  s->endpoints[r->endpoint].in_transit++;
  count_age (s, find_endpoint (&s->pools[r->daemon], member));
  route_record_send (&s->pools[r->daemon], member, s->now_us);
  schedule (s, ARRIVED, id, get_way_us (r->daemon, r->endpoint));
}

static void
count (struct sim *s, const struct request *r)
{
  uint32_t domain = r->daemon % DOMAINS;
  int64_t wait_us
      = r->started_us - r->sent_us - get_way_us (r->daemon, r->endpoint);
  bool in_target = r->run && s->now_us - r->sent_us <= TARGET_US;

  if (r->sent_us < WARM_US)
    return;
  s->counted++;
  s->in_target += in_target;
  s->domain_counted[domain]++;
  s->domain_in_target[domain] += in_target;
  s->crossed += r->endpoint % DOMAINS != domain;
  g_array_append_val (s->waits, wait_us);
}

static void
receive (struct sim *s, const struct request *r)
{
  struct route_pool *p = &s->pools[r->daemon];

  if (r->refused)
    route_record_refusal (p, r->endpoint + 1, r->in_flight, SLOTS, 1000,
                          s->now_us);
  else
    route_record_response (p, r->endpoint + 1, r->in_flight, SLOTS, 1000,
                           r->attempt_us, s->now_us);
  route_record_rates (p, r->endpoint + 1, r->arrivals_per_s,
                      r->report_service_us, r->residence_us, r->attempt_us,
                      s->now_us);
}

static bool
is_refused (struct sim *s, const struct request *r, struct endpoint *e)
{
  return load_meter_is_later_than (&e->meter, e->running + get_queued (e),
                                   SLOTS, r->response_max_us, s->now_us);
}

static void
run_event (struct sim *s, struct event ev)
{
  struct request *r = get_request (s, ev.request);
  struct endpoint *e = &s->endpoints[r->endpoint];

  switch (ev.kind)
    {
    case SENT:
      send_request (s, ev.request);
      break;
    case ARRIVED:
      r->arrived_us = s->now_us;
      e->in_transit--;
      load_meter_record_arrival (&e->meter, s->now_us);
      r->refused = is_refused (s, r, e);
      if (r->refused)
        {
          respond (s, ev.request);
          break;
        }
      g_array_append_val (e->queue, ev.request);
      fill_slots (s, e);
      break;
    case ENDED:
      e->running--;
      if (s->now_us >= WARM_US)
        e->busy_us += (double)r->service_us;
      load_meter_record_end (&e->meter, r->service_us, false, s->now_us);
      respond (s, ev.request);
      fill_slots (s, e);
      break;
    case RETURNED:
      receive (s, r);
      if (r->refused)
        send_request (s, ev.request);
      else
        count (s, r);
      break;
    }
}

static void
start_daemons (struct sim *s)
{
  for (uint32_t d = 0; d < DAEMONS; d++)
    {
      route_init_pool (&s->pools[d], d + 1000, d % DOMAINS, SEED + d);
      s->pools[d].disabled_rules = s->approach->disabled_rules;
      for (uint32_t i = 0; i < ENDPOINTS; i++)
        route_set_endpoint (&s->pools[d], i + 1, i % DOMAINS, -100000000);
    }
}

static void
restart_daemons (struct sim *s)
{
  for (uint32_t d = 0; d < DAEMONS; d++)
    route_close_pool (&s->pools[d]);
  start_daemons (s);
}

static void
init (struct sim *s)
{
  s->rand = g_rand_new_with_seed (SEED);
  s->requests = g_array_new (FALSE, TRUE, sizeof (struct request));
  s->waits = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (uint32_t i = 0; i < STEPS; i++)
    s->ring[i] = g_array_new (FALSE, FALSE, sizeof (struct event));
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      /* Each domain has slow and fast ones.  */
      uint32_t step = i * 7 % ENDPOINTS;

      s->endpoints[i].speed
          = s->equal ? 1 : 0.5 + 1.1 * step / (ENDPOINTS - 1);
      s->endpoints[i].queue = g_array_new (FALSE, FALSE, sizeof (uint32_t));
    }
  start_daemons (s);
}

static void
close_sim (struct sim *s)
{
  for (uint32_t i = 0; i < STEPS; i++)
    g_array_unref (s->ring[i]);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    g_array_unref (s->endpoints[i].queue);
  for (uint32_t d = 0; d < DAEMONS; d++)
    route_close_pool (&s->pools[d]);
  g_array_unref (s->requests);
  g_array_unref (s->waits);
  g_rand_free (s->rand);
}

static void
add_request (struct sim *s)
{
  struct request r
      = { .daemon = (uint32_t)g_rand_int_range (s->rand, 0, DAEMONS),
          .sent_us = s->now_us };

  g_array_append_val (s->requests, r);
  run_event (s, (struct event){ SENT, s->requests->len - 1 });
}

static int
compare_waits (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

static struct figures
get_figures (struct sim *s)
{
  struct figures f = { .worst_domain = 1 };
  double mean = 0;

  g_array_sort (s->waits, compare_waits);
  f.in_target = (double)s->in_target / s->counted;
  f.crossed = (double)s->crossed / s->counted;
  f.p99_ms
      = (double)g_array_index (s->waits, int64_t, s->waits->len * 99 / 100)
        / 1000;
  for (uint32_t i = 0; i < DOMAINS; i++)
    f.worst_domain = MIN (f.worst_domain, (double)s->domain_in_target[i]
                                              / s->domain_counted[i]);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      mean += s->endpoints[i].busy_us / ENDPOINTS;
      f.busiest = MAX (f.busiest, s->endpoints[i].busy_us);
    }
  f.busiest /= mean;
  return f;
}

static struct figures
simulate (const struct approach *a, double load, bool equal)
{
  struct sim *s = g_new0 (struct sim, 1);
  struct figures f;
  double per_step, next;

  s->approach = a;
  s->equal = equal;
  if (a->policy != NULL)
    s->ops = route_find_ops (str_from_cstr (a->policy));
  init (s);
  per_step = load * get_capacity_per_s (s) * STEP_US / 1e6;
  next = -log (1 - g_rand_double (s->rand));
  for (; s->now_us < END_US; s->now_us += STEP_US)
    {
      GArray *events = s->ring[s->now_us / STEP_US % STEPS];

      if (a->restart_us > 0 && s->now_us == a->restart_us)
        restart_daemons (s);
      for (guint i = 0; i < events->len; i++)
        run_event (s, g_array_index (events, struct event, i));
      g_array_set_size (events, 0);
      for (next -= per_step; next < 0;
           next -= log (1 - g_rand_double (s->rand)))
        add_request (s);
    }
  f = get_figures (s);
  printf ("%-31s %4.1f %-7s %6.3f %6.3f %7.1f %7.2f %6.3f %8.3f %6.0f\n",
          a->name, load, equal ? "equal" : "unequal", f.in_target,
          f.worst_domain, f.p99_ms, f.busiest, f.crossed,
          (double)s->attempts / s->requests->len,
          s->ages_us / MAX (s->ages_len, 1) / 1000);
  close_sim (s);
  g_free (s);
  return f;
}

/* Internal functions: approaches */

static uint64_t
choose_fresh (struct sim *s, uint32_t daemon)
{
  double best_us = INFINITY;
  uint32_t best = 0;

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      const struct endpoint *e = &s->endpoints[i];
      double service_us = SERVICE_US / get_speed (s, i);
      double ahead = e->running + get_queued (e) + e->in_transit + 1.0 - SLOTS;
      double response_us = service_us + 2.0 * (double)get_way_us (daemon, i)
                           + MAX (ahead, 0) * service_us / SLOTS;

      if (response_us < best_us)
        {
          best_us = response_us;
          best = i;
        }
    }
  return best + 1;
}

/* (e): weights by capacity in a low-discrepancy order (smooth weighted round
   robin), without any correction.  */
static uint64_t
choose_weighted (struct sim *s, uint32_t daemon)
{
  double total = 0;
  uint32_t best = 0;

  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      const struct route_endpoint *e
          = find_endpoint (&s->pools[daemon], i + 1);
      double weight = 1.0 / (e->service_us > 0 ? e->service_us : SERVICE_US);

      s->credit[daemon][i] += weight;
      total += weight;
      if (s->credit[daemon][i] > s->credit[daemon][best])
        best = i;
    }
  s->credit[daemon][best] -= total;
  return best + 1;
}

/* Cases */

static const struct approach fresh
    = { .name = "fresh knowledge", .choose = choose_fresh };
static const struct approach today
    = { .name = "least_loaded", .policy = "least_loaded" };
static const struct approach weighted
    = { .name = "(e) weights", .choose = choose_weighted };
static const struct approach raw = { .name = "(c) response time, raw reports",
                                     .policy = "even_load",
                                     .disabled_rules = ROUTE_RULE_AGE };
static const struct approach aged
    = { .name = "(a)+(c) aged reports", .policy = "even_load" };
static const struct approach even = { .name = "(a)+(c)+(d) even_load",
                                      .policy = "even_load",
                                      .refuses = true };
static const struct approach restarted
    = { .name = "even_load, daemons restarted",
        .policy = "even_load",
        .refuses = true,
        .restart_us = 3000000 };

/* Goals of docs/design/overload-parts.md, part 4.  */
static void
check_unequal (double load)
{
  struct figures reference = simulate (&fresh, load, false);
  struct figures before = simulate (&today, load, false);
  struct figures now;

  simulate (&weighted, load, false);
  simulate (&raw, load, false);
  simulate (&aged, load, false);
  now = simulate (&even, load, false);
  ck_assert_double_le (now.p99_ms, 1.3 * reference.p99_ms);
  ck_assert_double_ge (now.in_target, before.in_target);
  ck_assert_double_ge (now.worst_domain, before.worst_domain);
}

static void
check_equal (double load)
{
  simulate (&fresh, load, true);
  simulate (&today, load, true);
  ck_assert_double_lt (simulate (&even, load, true).busiest, 1.15);
}

/* Cases */

/* Guards against waits at endpoints that have become slow, or that many
   daemons choose at the same moment, beyond those that fresh knowledge cannot
   avoid; at half of capacity.  */
START_TEST (half_load_waits_little_longer_than_with_fresh_knowledge)
{
  check_unequal (0.5);
}
END_TEST

/* As above, near capacity.  */
START_TEST (high_load_waits_little_longer_than_with_fresh_knowledge)
{
  check_unequal (0.8);
}
END_TEST

/* As above, beyond capacity: refusals must not cost callers their place.  */
START_TEST (overload_waits_little_longer_than_with_fresh_knowledge)
{
  check_unequal (1.1);
}
END_TEST

/* Guards against a preference, such as for the own failure domain or for noise
   in the reports, that makes some of equal endpoints busier.  */
START_TEST (equal_endpoints_are_equally_busy_at_half_load)
{
  check_equal (0.5);
}
END_TEST

/* As above, near and beyond capacity.  */
START_TEST (equal_endpoints_are_equally_busy_at_high_load)
{
  check_equal (0.8);
  check_equal (1.1);
}
END_TEST

/* Guards against daemons that start without any information, all at once, and
   overload some endpoints until the first reports arrive.  */
START_TEST (restart_of_all_daemons_makes_no_queue)
{
  double fresh_ms = simulate (&fresh, 0.8, false).p99_ms;

  ck_assert_double_le (simulate (&restarted, 0.8, false).p99_ms,
                       1.3 * fresh_ms);
}
END_TEST

#define NOW_US 100000000
#define MEMBERS 6
/* Service time of requests that end at once.  */
#define FAST_US 41

/* Makes a pool of equal endpoints, half of them in the daemon's failure
   domain.  All have just reported half of their slots in use.  */
static struct route_pool
make_pool (void)
{
  struct route_pool p;

  route_init_pool (&p, 1000, 0, SEED);
  for (uint64_t m = 1; m <= MEMBERS; m++)
    {
      route_set_endpoint (&p, m, m % 2, 0);
      route_record_response (&p, m, 4, SLOTS, 1000, NOW_US - SERVICE_US,
                             NOW_US);
      route_record_rates (&p, m, 200, SERVICE_US, SERVICE_US - 300,
                          NOW_US - SERVICE_US, NOW_US);
    }
  return p;
}

static void
report (struct route_pool *p, uint64_t member, uint32_t in_flight,
        uint32_t service_us, int64_t now_us)
{
  route_record_response (p, member, in_flight, SLOTS, 1000,
                         now_us - SERVICE_US, now_us);
  route_record_rates (p, member, 200, service_us, SERVICE_US - 300,
                      now_us - SERVICE_US, now_us);
}

/* Returns how many of 1000 choices fall on the members whose bits are set.  */
static uint32_t
count_choices (struct route_pool *p, uint64_t bits, int64_t now_us)
{
  uint32_t count = 0;

  for (int i = 0; i < 1000; i++)
    count += bits >> route_even_choose (p, NULL, 0, now_us) & 1;
  return count;
}

/* Guards against crossing between failure domains for no gain, and against
   staying in a failure domain whose endpoints make callers wait.  */
START_TEST (failure_domain_is_left_only_for_a_gain)
{
  struct route_pool p = make_pool ();

  ck_assert_uint_eq (count_choices (&p, 0x54, NOW_US), 1000);
  for (uint64_t m = 2; m <= MEMBERS; m += 2)
    report (&p, m, 3 * SLOTS, SERVICE_US, NOW_US);
  ck_assert_uint_eq (count_choices (&p, 0x2a, NOW_US), 1000);
  route_close_pool (&p);
}
END_TEST

/* Guards against a report that is believed long after it holds: a queue that
   was seen half a second ago has drained at this load.  */
START_TEST (belief_follows_the_age_of_the_report)
{
  struct route_pool p = make_pool ();
  const struct route_endpoint *e = find_endpoint (&p, 2);
  struct route_even_belief now, later;

  report (&p, 2, 2 * SLOTS, SERVICE_US, NOW_US);
  now = route_even_get_belief (&p, e, NOW_US);
  later = route_even_get_belief (&p, e, NOW_US + 500000);
  ck_assert_double_gt (now.in_flight, 2 * SLOTS - 0.1);
  ck_assert_double_lt (later.in_flight, SLOTS);
  ck_assert_double_gt (later.deviation, now.deviation);
  ck_assert_double_lt (later.wait_us, now.wait_us / 4);
  route_close_pool (&p);
}
END_TEST

/* Guards against an endpoint that is chosen, or offered to a serving daemon,
   although it failed, stopped responding, was tried, or stopped reporting.  */
START_TEST (excluded_endpoints_are_neither_chosen_nor_offered)
{
  struct route_pool p = make_pool ();
  const uint64_t tried[] = { 4, 1, 3, 5 };

  route_record_failure (&p, 2, NOW_US);
  ck_assert_uint_eq (count_choices (&p, 1 << 2, NOW_US), 0);
  for (int i = 0; i < 100; i++)
    ck_assert_uint_eq (
        route_even_choose (&p, tried, G_N_ELEMENTS (tried), NOW_US), 6);
  ck_assert_uint_eq (route_even_get_response_max_us (
                         &p, tried, G_N_ELEMENTS (tried), 6, NOW_US),
                     0);
  ck_assert_uint_gt (route_even_get_response_max_us (&p, tried, 1, 6, NOW_US),
                     0);
  ck_assert_uint_eq (
      route_even_get_response_max_us (&p, tried, 1, 6, NOW_US + 2000000), 0);
  route_record_send (&p, 4, NOW_US);
  ck_assert_uint_eq (count_choices (&p, 1 << 4, NOW_US + 900000), 0);
  route_close_pool (&p);
}
END_TEST

/* Guards against refusals under overload, when no endpoint offers a short
   wait: they would only add messages.  */
START_TEST (nothing_is_refused_while_all_are_full)
{
  struct route_pool p = make_pool ();

  for (uint64_t m = 1; m <= MEMBERS; m++)
    report (&p, m, 8 * SLOTS, SERVICE_US, NOW_US);
  ck_assert_uint_eq (route_even_get_response_max_us (&p, NULL, 0, 2, NOW_US),
                     0);
  report (&p, 3, 1, SERVICE_US, NOW_US);
  ck_assert_uint_gt (route_even_get_response_max_us (&p, NULL, 0, 2, NOW_US),
                     SERVICE_US);
  route_close_pool (&p);
}
END_TEST

/* Guards against a daemon that has just started and sends all requests to one
   endpoint, and against a new endpoint that gets its full share at once.  */
START_TEST (daemon_without_information_spreads_requests)
{
  struct route_pool p;

  route_init_pool (&p, 1000, 0, SEED);
  for (uint64_t m = 1; m <= MEMBERS; m++)
    route_set_endpoint (&p, m, 0, 0);
  for (uint64_t m = 1; m <= MEMBERS; m++)
    ck_assert_uint_gt (count_choices (&p, 1u << m, NOW_US), 100);
  route_set_endpoint (&p, 1, 0, NOW_US);
  ck_assert_uint_lt (count_choices (&p, 1 << 1, NOW_US), 50);
  ck_assert_uint_gt (count_choices (&p, 1 << 1, NOW_US), 0);
  route_close_pool (&p);
}
END_TEST

/* Guards against requests that wait at an endpoint whose slots the daemon's own
   requests fill, while another one has free slots: fast requests were reported,
   and a burst of slow ones follows, of which no report can know.  */
START_TEST (burst_of_slow_requests_does_not_queue_at_one_endpoint)
{
  struct route_pool p;
  uint32_t sent[MEMBERS + 1] = { 0 };

  route_init_pool (&p, 1000, 0, SEED);
  for (uint64_t m = 1; m <= 4; m++)
    {
      route_set_endpoint (&p, m, m % 2, 0);
      route_record_response (&p, m, 0, SLOTS, 1000, NOW_US - FAST_US, NOW_US);
      route_record_rates (&p, m, 200, FAST_US, FAST_US, NOW_US - FAST_US,
                          NOW_US);
    }
  for (int i = 0; i < 4 * SLOTS - 2; i++)
    {
      uint64_t member = route_even_choose (&p, NULL, 0, NOW_US);

      sent[member]++;
      route_record_send (&p, member, NOW_US);
    }
  for (uint64_t m = 1; m <= 4; m++)
    ck_assert_uint_le (sent[m], SLOTS);
  route_close_pool (&p);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { half_load_waits_little_longer_than_with_fresh_knowledge,
          high_load_waits_little_longer_than_with_fresh_knowledge,
          overload_waits_little_longer_than_with_fresh_knowledge,
          equal_endpoints_are_equally_busy_at_half_load,
          equal_endpoints_are_equally_busy_at_high_load,
          restart_of_all_daemons_makes_no_queue,
          failure_domain_is_left_only_for_a_gain,
          belief_follows_the_age_of_the_report,
          excluded_endpoints_are_neither_chosen_nor_offered,
          nothing_is_refused_while_all_are_full,
          daemon_without_information_spreads_requests,
          burst_of_slow_requests_does_not_queue_at_one_endpoint };

  printf ("%-31s load speeds  target  worst  p99 ms busiest  cross attempts "
          "age ms\n",
          "");
  return suite_run ("route_even", cases, G_N_ELEMENTS (cases));
}
