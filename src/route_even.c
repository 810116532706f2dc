/* route_even: the policy even_load of struct route_ops.  */

#include "route_even.h"

#include <math.h>

/* Constants */

/* Endpoints that are drawn for one request in other failure domains and in the
   daemon's own.  With one instead of two of the own, fewer requests that leave
   the domain gain anything: 38 instead of 26 in 100 left it at half of
   capacity.  With three, more of the daemons send to the same endpoints.  */
#define EVEN_DRAWS 2u
#define EVEN_DRAWS_LOCAL 2u
/* A response time is shorter only if it is shorter by this fraction.  The
   service time in a report comes from a few dozen requests, so smaller
   differences are noise that would make one endpoint the busiest.  */
#define EVEN_NOISE 0.1
/* Gain in response time for which a request leaves the failure domain, and
   for which it is refused.  About the way between two failure domains, 1.4
   ms.  */
#define EVEN_MARGIN_US 1000.0
/* A request leaves the failure domain only if the expected response is shorter
   by this fraction, besides the margin.  In an earlier form of the policy, 42
   in 100 requests left it with 0 and 6 with 0.2, at half of capacity and equal
   speed, and the p99 of the wait at unequal speeds was longer by a tenth with
   0: the reports of the endpoints nearby are more recent when more requests go
   there.  */
#define EVEN_CROSSING_GAIN 0.2
/* A request leaves the failure domain only if it would have to wait for this
   part of a service time there.  A shorter service time elsewhere alone is not
   worth the traffic between failure domains: on a deployment where backend
   servers differ in speed by 2.3, 0.10 more of a day's worth went into that
   traffic, and callers within their target latency got nothing for it.  */
#define EVEN_CROSSING_WAIT 0.05
/* Exponent with which an endpoint that is used more than the others is drawn
   less often.  It evens out that not all daemons choose from the same
   endpoints.  All daemons make this correction with a delay, so a large
   exponent needs a use that is averaged over a longer time than the delay (see
   route_record_rates).  The busiest of equal endpoints had 1.19 times the mean
   at half of capacity with an exponent of 0.7 and the last report only, and
   has 1.11 times with this one (the larger of two seeds).  */
#define EVEN_CORRECTION 2.0
/* Use that is added to both sides of the comparison, so that endpoints that
   are hardly used are not told apart.  */
#define EVEN_USE_MIN 0.1
/* A request is refused only if another endpoint is expected to be sooner by
   this factor.  With 1 there were 1.35 instead of 1.24 attempts for each
   request at 0.8 of capacity and equal speed; the p99 of the wait was 15
   instead of 17 ms.  */
#define EVEN_REFUSAL_FACTOR 1.1
/* An endpoint is offered as the better one only while its expected wait is
   below this many service times.  At 1.1 of capacity, 93 in 100 requests were
   in target with 4 and 92 with 1, for 1.4 and 1.3 attempts each; at twice the
   capacity there are 1.1 attempts, and 1.5 without this rule, for nothing.  */
#define EVEN_OFFER_WAIT_MAX 4.0
/* A queue is not extrapolated for longer: by then the other daemons have
   noticed it.  About half of the largest age of a report.  */
#define EVEN_GROWTH_MAX_US 200000.0
/* Deviation of a number that was just reported.  */
#define EVEN_DEVIATION_MIN 0.3
/* Assumed of an endpoint until it has reported.  */
#define EVEN_SERVICE_DEFAULT_US 20000.0
#define EVEN_LIMIT_DEFAULT 10.0
/* Assumed of an endpoint without a recent report.  */
#define EVEN_LOAD_DEFAULT 0.5
/* Assumed round trip to another failure domain until it was measured.  */
#define EVEN_CROSSING_DEFAULT_US 1500.0
/* Part of its weight with which an endpoint is drawn whose slots the daemon's
   own requests fill.  */
#define EVEN_FILLED_PART 1e-6
/* A failing endpoint is used only while the chosen one is expected to make the
   request wait for this many service times: the others are full then.  */
#define EVEN_FAILING_WAIT_MIN 1.0

/* Types */

/* Candidates with what is believed of them.  */
struct choices
{
  struct route_endpoint *const *endpoints;
  uint32_t len;
  struct route_even_belief beliefs[ROUTE_SUBSET_MAX];
  double weights[ROUTE_SUBSET_MAX]; /* for the draw */
};

/* Internal functions */

/* Returns the expected value of the positive part of a normal distribution. */
static double
get_positive_part (double mean, double deviation)
{
  double z = mean / deviation;

  return mean * 0.5 * erfc (-z * M_SQRT1_2)
         + deviation * exp (-0.5 * z * z) / sqrt (2 * M_PI);
}

/* Interprets a report by its age.  Below capacity, the number of requests
   returns to its mean, the arrivals during a service time, within about a
   service time, or as soon as a queue has drained.  Above it, the number grows
   by what arrives and does not complete.  */
static void
age_report (struct route_even_belief *b, const struct route_endpoint *e,
            double age_us)
{
  double reported = e->in_flight;
  double arrivals_per_us = e->arrivals_per_s * 1e-6;
  double settled = arrivals_per_us * b->service_us;
  double settling_us = b->service_us * MAX (1, reported / b->limit);
  double decay = exp (-age_us / settling_us);

  if (settled < b->limit)
    b->in_flight = settled + (reported - settled) * decay;
  else
    b->in_flight = reported
                   + (arrivals_per_us - b->limit / b->service_us)
                         * MIN (age_us, EVEN_GROWTH_MAX_US);
  b->deviation = EVEN_DEVIATION_MIN
                 + sqrt (MAX (b->in_flight, 1) * (1 - decay * decay));
}

static void
estimate_in_flight (const struct route_pool *p, struct route_even_belief *b,
                    const struct route_endpoint *e, int64_t now_us)
{
  if (!route_has_recent_report (e, now_us))
    {
      b->in_flight = EVEN_LOAD_DEFAULT * b->limit;
      b->deviation = sqrt (MAX (b->in_flight, 1));
    }
  else if (route_is_disabled (p, ROUTE_RULE_AGE))
    {
      b->in_flight = e->in_flight;
      b->deviation = EVEN_DEVIATION_MIN;
    }
  else
    {
      age_report (b, e, (double)(now_us - e->reported_us));
      b->in_flight += MIN (e->sent_since_report, e->outstanding);
    }
  b->in_flight = MAX (b->in_flight, e->outstanding);
}

static double
get_distance_us (const struct route_pool *p, const struct route_endpoint *e)
{
  if (e->distance_us > 0)
    return e->distance_us;
  return e->domain != p->domain ? EVEN_CROSSING_DEFAULT_US : 0;
}

static double
get_use (const struct route_endpoint *e)
{
  return e->use_updated_us > 0 ? e->use : EVEN_LOAD_DEFAULT;
}

/* Returns whether the daemon's own requests fill the slots of an endpoint.  The
   reported service time says nothing about these requests: a burst of slow ones
   that follows fast ones would wait there beside free slots elsewhere.  */
static bool
is_filled (const struct choices *c, uint32_t i)
{
  return c->endpoints[i]->outstanding >= c->beliefs[i].limit;
}

static bool
has_free_slot (const struct choices *c, uint32_t i)
{
  return c->beliefs[i].in_flight + 1 <= c->beliefs[i].limit;
}

static void
init_choices (struct choices *c, const struct route_pool *p,
              struct route_endpoint *const *endpoints, uint32_t len,
              int64_t now_us)
{
  double mean_use = 0;

  c->endpoints = endpoints;
  c->len = len;
  for (uint32_t i = 0; i < len; i++)
    {
      c->beliefs[i] = route_even_get_belief (p, endpoints[i], now_us);
      mean_use += get_use (endpoints[i]) / len;
    }
  for (uint32_t i = 0; i < len; i++)
    c->weights[i] = c->beliefs[i].capacity_per_s
                    * route_get_slow_start_weight (p, endpoints[i], now_us)
                    * pow ((mean_use + EVEN_USE_MIN)
                               / (get_use (endpoints[i]) + EVEN_USE_MIN),
                           EVEN_CORRECTION)
                    * (is_filled (c, i) ? EVEN_FILLED_PART : 1);
}

static bool
is_local (const struct route_pool *p, const struct choices *c, uint32_t i)
{
  return c->endpoints[i]->domain == p->domain
         && !route_is_disabled (p, ROUTE_RULE_DOMAIN);
}

/* Draws a choice by weight, out of those in the daemon's failure domain or out
   of the others.  There must be one.  */
static uint32_t
draw (struct route_pool *p, const struct choices *c, bool local)
{
  double total = 0;
  double at;
  uint32_t last = 0;

  for (uint32_t i = 0; i < c->len; i++)
    if (is_local (p, c, i) == local)
      total += c->weights[i];
  at = g_rand_double (p->rand) * total;
  for (uint32_t i = 0; i < c->len && at >= 0; i++)
    if (is_local (p, c, i) == local)
      {
        at -= c->weights[i];
        last = i;
      }
  return last;
}

/* Draws some choices and returns the best of them.  */
static uint32_t
draw_best (struct route_pool *p, const struct choices *c, bool local,
           uint32_t draws)
{
  uint32_t best = draw (p, c, local);

  for (uint32_t i = 1; i < draws; i++)
    {
      uint32_t other = draw (p, c, local);

      if (c->beliefs[other].response_us
          < c->beliefs[best].response_us * (1 - EVEN_NOISE))
        best = other;
    }
  return best;
}

/* Returns whether a request leaves the failure domain, where BEST is the best
   choice, for OTHER.  */
static bool
is_worth_crossing (const struct choices *c, uint32_t best, uint32_t other)
{
  const struct route_even_belief *b = &c->beliefs[best];

  if (is_filled (c, best) && has_free_slot (c, other))
    return true;
  return b->wait_us > b->service_us * EVEN_CROSSING_WAIT
         && c->beliefs[other].response_us + EVEN_MARGIN_US
                < b->response_us * (1 - EVEN_CROSSING_GAIN);
}

/* Half of the work of a failing endpoint is better than none if the others are
   full.  */
static struct route_endpoint *
consider_failing (struct route_pool *p, const struct route_candidates *c,
                  struct route_endpoint *chosen,
                  const struct route_even_belief *b, int64_t now_us)
{
  struct route_endpoint *failing;

  if (c->failing_len == 0
      || b->wait_us < b->service_us * EVEN_FAILING_WAIT_MIN)
    return chosen;
  failing = c->failing[g_rand_int_range (p->rand, 0, (gint32)c->failing_len)];
  return route_even_get_belief (p, failing, now_us).response_us
                 < b->response_us
             ? failing
             : chosen;
}

/* Public functions */

/**
 * route_even_get_belief - interprets what is known of an endpoint
 * @p: pool
 * @e: endpoint of the pool
 * @now_us: current time
 *
 * The number of requests there is taken as normally distributed: a report that
 * is older than a service time says little about it, so that the expected wait
 * follows the load instead of a number that no longer holds.
 *
 * Return: the belief.
 */
struct route_even_belief
route_even_get_belief (const struct route_pool *p,
                       const struct route_endpoint *e, int64_t now_us)
{
  struct route_even_belief b = { .service_us = EVEN_SERVICE_DEFAULT_US };

  b.limit = e->limit > 0 ? e->limit : EVEN_LIMIT_DEFAULT;
  if (e->service_us > 0)
    b.service_us = e->service_us;
  else if (p->mean_response_us > 0)
    b.service_us = p->mean_response_us;
  estimate_in_flight (p, &b, e, now_us);
  b.capacity_per_s = b.limit / b.service_us * G_USEC_PER_SEC;
  b.wait_us = get_positive_part (b.in_flight + 1 - b.limit, b.deviation)
              * b.service_us / b.limit;
  b.response_us = get_distance_us (p, e) + b.service_us + b.wait_us;
  return b;
}

/**
 * route_even_choose - chooses an endpoint
 * @p: pool
 * @tried: members that are not chosen again
 * @tried_len: their number
 * @now_us: current time
 *
 * A request leaves the failure domain only if it would have to wait there, and
 * the best of the endpoints drawn from the others is expected to respond sooner
 * by a margin, the distance included, or has a free slot while the daemon's own
 * requests fill the slots of the best endpoint of the domain.
 *
 * Return: a member, or 0.
 */
uint64_t
route_even_choose (struct route_pool *p, const uint64_t *tried,
                   uint32_t tried_len, int64_t now_us)
{
  struct route_candidates c
      = route_collect_candidates (p, tried, tried_len, now_us);
  struct choices choices;
  uint32_t best;

  if (c.available_len == 0)
    return route_choose_last_resort (p, &c);
  init_choices (&choices, p, c.available, c.available_len, now_us);
  best = draw_best (p, &choices, c.local_len > 0, EVEN_DRAWS_LOCAL);
  if (c.local_len > 0 && c.local_len < c.available_len)
    {
      uint32_t other = draw_best (p, &choices, false, EVEN_DRAWS);

      if (is_worth_crossing (&choices, best, other))
        best = other;
    }
  return consider_failing (p, &c, c.available[best], &choices.beliefs[best],
                           now_us)
      ->member;
}

/**
 * route_even_get_response_max_us - computes when a request may be refused
 * @p: pool
 * @tried: members that are not chosen again
 * @tried_len: their number
 * @chosen: member that the request is sent to
 * @now_us: current time
 *
 * The serving daemon knows its load better than any sender, so the choice is
 * corrected there, for one round trip.  While no other endpoint is believed to
 * have a short wait, no request is refused: under overload refusals would only
 * add messages.
 *
 * Return: response time at the serving daemon, or 0 for no bound.
 */
uint32_t
route_even_get_response_max_us (struct route_pool *p, const uint64_t *tried,
                                uint32_t tried_len, uint64_t chosen,
                                int64_t now_us)
{
  struct route_candidates c
      = route_collect_candidates (p, tried, tried_len, now_us);
  double best_us = INFINITY;
  double way_back_us = 0;

  for (uint32_t i = 0; i < c.available_len; i++)
    {
      const struct route_endpoint *e = c.available[i];
      struct route_even_belief b = route_even_get_belief (p, e, now_us);

      if (e->member == chosen)
        way_back_us = get_distance_us (p, e);
      else if (route_has_recent_report (e, now_us)
               && b.wait_us < b.service_us * EVEN_OFFER_WAIT_MAX)
        best_us = MIN (best_us, b.response_us);
    }
  if (isinf (best_us))
    return 0;
  return (uint32_t)MIN (best_us * EVEN_REFUSAL_FACTOR + way_back_us
                            + EVEN_MARGIN_US,
                        UINT32_MAX);
}
