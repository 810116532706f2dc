/* concurrency_limit: limit on concurrent requests at the backend server.  */

#include "concurrency_limit.h"

#include <glib.h>
#include <math.h>

/* Constants */

#define CONCURRENCY_LIMIT_MIN 4u
#define CONCURRENCY_LIMIT_SLOW_START_US 5000000
#define CONCURRENCY_LIMIT_INTERVAL_US 200000
/* An interval or a probe with fewer samples is extended.  The mean of 20
   exponentially distributed service times has a standard error of 22%.  */
#define CONCURRENCY_LIMIT_SAMPLES_MIN 20u
/* The limit counts as in use if at least this share of it was in use in the
   interval.  Below that, concurrency is not the cause of slow requests.  */
#define CONCURRENCY_LIMIT_USED_SHARE 0.8
/* A service time up to this multiple of the base, the mean service time at low
   concurrency, does not count as queueing at the backend server.  */
#define CONCURRENCY_LIMIT_TOLERANCE 1.5
/* Smallest factor that one adjustment aims at.  */
#define CONCURRENCY_LIMIT_GRADIENT_MIN 0.5
/* Weight of one adjustment in the limit, and in a base that is above the mean
   of an interval.  */
#define CONCURRENCY_LIMIT_ADJUST_GAIN 0.5
/* If more than this share of the requests fails, the limit is multiplied by
   the factor.  */
#define CONCURRENCY_LIMIT_FAILURE_SHARE 0.1
#define CONCURRENCY_LIMIT_FAILURE_FACTOR 0.7
/* During a probe, which measures the base at low concurrency, this share of
   the limit is in effect.  */
#define CONCURRENCY_LIMIT_PROBE_SHARE 0.5
/* A probe counts the requests that end after it has run for this multiple of
   the recent service time.  Requests that end earlier are the short ones among
   those started at low concurrency, and their mean is too low.  */
#define CONCURRENCY_LIMIT_PROBE_SETTLE 2.0
/* A probe ends without a result after this multiple of the recent service
   time.  */
#define CONCURRENCY_LIMIT_PROBE_MAX 10.0
/* The result of a probe is valid for this time.  */
#define CONCURRENCY_LIMIT_BASE_VALIDITY_US 5000000
/* The result of a probe is invalid once the recent service time has grown by
   more than this factor, because the base was measured before that change.  */
#define CONCURRENCY_LIMIT_PROBE_CHANGE_MAX 1.25
/* Growth factor of one adjustment while the limit is in use.  */
#define CONCURRENCY_LIMIT_GROWTH 1.25
/* Weight of one request at low concurrency in the base, outside of probes.  */
#define CONCURRENCY_LIMIT_BASE_GAIN 0.05

/* Internal functions */

/* Returns true if a test has disabled the rule.  */
static bool
is_rule_off (const struct concurrency_limit *l,
             enum concurrency_limit_rule rule)
{
  return (l->settings.disabled_rules & rule) != 0;
}

static void
init (struct concurrency_limit *l,
      const struct concurrency_limit_settings *settings)
{
  *l = (struct concurrency_limit){ .settings = *settings };
  l->settings.min = MAX (settings->min, 1);
}

static void
clear_interval (struct concurrency_limit *l, int64_t now_us)
{
  l->recent_sum_us = 0;
  l->samples = 0;
  l->failures = 0;
  l->in_flight_max = 0;
  l->interval_end_us = now_us + l->settings.interval_us;
}

static uint32_t
get_min (const struct concurrency_limit *l)
{
  return MIN (l->settings.min, l->slots);
}

/* Internal functions: policy "fixed" */

static void
fixed_announce (struct concurrency_limit *l, uint32_t slots, int64_t now_us)
{
  l->slots = slots;
}

static void
fixed_record_completion (struct concurrency_limit *l,
                         const struct concurrency_limit_sample *sample,
                         int64_t now_us)
{
}

static void
fixed_tick (struct concurrency_limit *l, uint32_t queued, int64_t now_us)
{
}

static uint32_t
fixed_get (const struct concurrency_limit *l, int64_t now_us)
{
  if (l->slots == 0)
    return 0;
  return l->settings.fixed > 0 ? l->settings.fixed : l->slots;
}

/* Internal functions: policy "adaptive" */

/* A repeated announcement keeps the limit and the base.  The first
   announcement, or one after the backend server left, resets them: the server
   is cold.  */
static void
adaptive_announce (struct concurrency_limit *l, uint32_t slots, int64_t now_us)
{
  if (l->slots == 0 && slots > 0)
    {
      l->announced_us = now_us;
      l->value = slots;
      l->base_us = 0;
      l->base_probed_us = 0;
      l->probe_until_us = 0;
      clear_interval (l, now_us);
    }
  l->slots = slots;
  l->value = MIN (l->value, slots);
}

static bool
is_low_concurrency (const struct concurrency_limit *l,
                    const struct concurrency_limit_sample *s)
{
  return s->in_flight <= MAX (l->value * CONCURRENCY_LIMIT_PROBE_SHARE, 1.0);
}

static void
record_base (struct concurrency_limit *l,
             const struct concurrency_limit_sample *s, double own_us,
             int64_t now_us)
{
  if (!is_low_concurrency (l, s))
    return;
  if (l->probe_until_us != 0)
    {
      if (now_us < l->probe_from_us)
        return;
      l->probe_sum_us += own_us;
      l->probe_samples++;
      return;
    }
  if (l->base_us == 0)
    l->base_us = own_us;
  l->base_us += CONCURRENCY_LIMIT_BASE_GAIN * (own_us - l->base_us);
}

static void
adaptive_record_completion (struct concurrency_limit *l,
                            const struct concurrency_limit_sample *sample,
                            int64_t now_us)
{
  double own_us = (double)MAX (sample->service_us - sample->nested_us, 1);

  l->samples++;
  l->in_flight_max = MAX (l->in_flight_max, sample->in_flight);
  if (sample->failed)
    {
      l->failures++;
      return;
    }
  l->recent_sum_us += own_us;
  record_base (l, sample, own_us, now_us);
}

static void
start_probe (struct concurrency_limit *l, double recent_us, int64_t now_us)
{
  l->probe_sum_us = 0;
  l->probe_samples = 0;
  l->probe_recent_us = recent_us;
  l->probe_from_us
      = now_us + (int64_t)(CONCURRENCY_LIMIT_PROBE_SETTLE * recent_us);
  l->probe_until_us
      = now_us + (int64_t)(CONCURRENCY_LIMIT_PROBE_MAX * recent_us);
}

/* Ends a probe that has enough samples or has run too long; returns true while
   a probe runs.  A probe without enough samples leaves the base unchanged, and
   the next adjustment starts another one.  */
static bool
run_probe (struct concurrency_limit *l, int64_t now_us)
{
  if (l->probe_until_us == 0)
    return false;
  if (l->probe_samples < CONCURRENCY_LIMIT_SAMPLES_MIN
      && now_us < l->probe_until_us)
    return true;
  if (l->probe_samples >= CONCURRENCY_LIMIT_SAMPLES_MIN)
    {
      l->base_us = l->probe_sum_us / l->probe_samples;
      l->base_probed_us = now_us;
    }
  l->probe_until_us = 0;
  clear_interval (l, now_us);
  return false;
}

static bool
is_base_valid (const struct concurrency_limit *l, double recent_us,
               int64_t now_us)
{
  return l->base_probed_us != 0
         && now_us - l->base_probed_us <= CONCURRENCY_LIMIT_BASE_VALIDITY_US
         && recent_us
                <= CONCURRENCY_LIMIT_PROBE_CHANGE_MAX * l->probe_recent_us;
}

static void
adjust_limit (struct concurrency_limit *l, int64_t now_us)
{
  uint32_t good = l->samples - l->failures;
  double recent_us = good > 0 ? l->recent_sum_us / good : 0;
  double gradient;

  if (l->failures > l->samples * CONCURRENCY_LIMIT_FAILURE_SHARE)
    {
      l->value *= CONCURRENCY_LIMIT_FAILURE_FACTOR;
      return;
    }
  /* More concurrency does not make requests faster, so the base was too
     high.  */
  if (recent_us < l->base_us)
    l->base_us += CONCURRENCY_LIMIT_ADJUST_GAIN * (recent_us - l->base_us);
  if (l->in_flight_max < l->value * CONCURRENCY_LIMIT_USED_SHARE)
    return;
  if (recent_us <= CONCURRENCY_LIMIT_TOLERANCE * l->base_us || l->base_us == 0)
    {
      l->value = l->value * CONCURRENCY_LIMIT_GROWTH + 1;
      return;
    }
  if (!is_base_valid (l, recent_us, now_us))
    {
      start_probe (l, recent_us, now_us);
      return;
    }
  gradient = MAX (CONCURRENCY_LIMIT_TOLERANCE * l->base_us / recent_us,
                  CONCURRENCY_LIMIT_GRADIENT_MIN);
  l->value += CONCURRENCY_LIMIT_ADJUST_GAIN * (l->value * gradient - l->value);
}

static void
adaptive_tick (struct concurrency_limit *l, uint32_t queued, int64_t now_us)
{
  if (l->slots == 0 || run_probe (l, now_us) || now_us < l->interval_end_us
      || l->samples < CONCURRENCY_LIMIT_SAMPLES_MIN)
    return;
  if (!is_rule_off (l, CONCURRENCY_LIMIT_RULE_ADAPT))
    adjust_limit (l, now_us);
  l->value = MAX (l->value, get_min (l));
  if (!is_rule_off (l, CONCURRENCY_LIMIT_RULE_SLOTS))
    l->value = MIN (l->value, l->slots);
  clear_interval (l, now_us);
}

static double
get_slow_start_limit (const struct concurrency_limit *l, int64_t now_us)
{
  int64_t elapsed_us = now_us - l->announced_us;
  double fraction;

  if (is_rule_off (l, CONCURRENCY_LIMIT_RULE_SLOW_START)
      || elapsed_us >= l->settings.slow_start_us)
    return INFINITY;
  fraction = (double)MAX (elapsed_us, 0) / (double)l->settings.slow_start_us;
  return get_min (l) + fraction * (l->slots - get_min (l));
}

static uint32_t
adaptive_get (const struct concurrency_limit *l, int64_t now_us)
{
  double value = l->value;

  if (l->slots == 0)
    return 0;
  if (l->probe_until_us != 0)
    value = MAX (value * CONCURRENCY_LIMIT_PROBE_SHARE, get_min (l));
  return (uint32_t)MAX (MIN (value, get_slow_start_limit (l, now_us)), 1);
}

static const struct concurrency_limit_ops policies[] = {
  { .name = STR_LIT ("adaptive"),
    .init = init,
    .announce = adaptive_announce,
    .record_completion = adaptive_record_completion,
    .tick = adaptive_tick,
    .get = adaptive_get },
  { .name = STR_LIT ("fixed"),
    .init = init,
    .announce = fixed_announce,
    .record_completion = fixed_record_completion,
    .tick = fixed_tick,
    .get = fixed_get },
};

/* Public functions */

/**
 * concurrency_limit_find_ops - looks up a policy
 * @name: value of the settings member policy.limit
 *
 * "adaptive" compares the mean own service time with the base, which is the
 * mean at low concurrency.  While the limit is in use, a short probe at half
 * the limit measures the base again, so that a backend server that has become
 * slow at any concurrency keeps its slots.
 *
 * Return: function table of the policy, or NULL if there is no such policy.
 */
const struct concurrency_limit_ops *
concurrency_limit_find_ops (struct str name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (str_equal (policies[i].name, name))
      return &policies[i];
  return NULL;
}

struct concurrency_limit_settings
concurrency_limit_get_defaults (void)
{
  return (struct concurrency_limit_settings){
    .min = CONCURRENCY_LIMIT_MIN,
    .slow_start_us = CONCURRENCY_LIMIT_SLOW_START_US,
    .interval_us = CONCURRENCY_LIMIT_INTERVAL_US
  };
}
