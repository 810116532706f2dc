/* concurrency_limit: limit on concurrent requests at the backend server.

   A policy is a table of function pointers.  "adaptive" follows the measured
   service time, up to the number of slots, the concurrent requests that the
   backend server announced; "fixed" is a static limit, used as the baseline in
   comparisons.  A limit is used by one thread only.  */

#ifndef ALMONDVALE_CONCURRENCY_LIMIT_H
#define ALMONDVALE_CONCURRENCY_LIMIT_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Types */

/* Rules of the adaptive policy that a test can disable, to show that it
   detects the fault which the rule prevents.  */
enum concurrency_limit_rule
{
  CONCURRENCY_LIMIT_RULE_SLOTS = 1,      /* limit to the announced slots */
  CONCURRENCY_LIMIT_RULE_SLOW_START = 2, /* rise slowly when announced */
  CONCURRENCY_LIMIT_RULE_ADAPT = 4 /* adjust the limit to the service time */
};

struct concurrency_limit_settings
{
  uint32_t fixed;        /* fixed: the limit; 0 uses the announced slots */
  uint32_t min;          /* adaptive: smallest limit */
  int64_t slow_start_us; /* adaptive: time to rise from min to the slots */
  int64_t interval_us;   /* adaptive: time between adjustments */
  /* bits of enum concurrency_limit_rule; 0 outside tests */
  uint32_t disabled_rules;
};

/* A request that has ended at the backend server.  */
struct concurrency_limit_sample
{
  int64_t service_us; /* from the first byte sent to the complete response */
  int64_t nested_us;  /* time in it spent waiting for nested calls */
  uint32_t in_flight; /* running requests when it started, including itself */
  bool failed; /* connection failed, or the backend server rejected it */
};

/* State of a limit.  The own service time of a request excludes the time spent
   waiting for nested calls.  The base is its mean at low concurrency.  A probe
   lowers the limit for a short time to measure the base.  */
struct concurrency_limit
{
  struct concurrency_limit_settings settings;
  uint32_t slots;          /* announced slots; 0 if not announced */
  int64_t announced_us;    /* start of the slow start */
  double value;            /* limit, without the slow start and the probe */
  double base_us;          /* base; 0 if not measured */
  int64_t base_probed_us;  /* time when a probe last measured the base */
  double probe_sum_us;     /* sum of the own service times in the probe */
  uint32_t probe_samples;  /* number of samples in the probe */
  double probe_recent_us;  /* mean own service time before the last probe */
  int64_t probe_from_us;   /* the probe counts samples from this time */
  int64_t probe_until_us;  /* latest end of the probe, 0 if none runs */
  double recent_sum_us;    /* sum of the own service times in this interval */
  uint32_t samples;        /* requests ended in this interval */
  uint32_t failures;       /* failed requests in this interval */
  uint32_t in_flight_max;  /* most running requests in this interval */
  int64_t interval_end_us; /* earliest end of this interval */
};

struct concurrency_limit_ops
{
  struct str name;
  void (*init) (struct concurrency_limit *l,
                const struct concurrency_limit_settings *settings);
  /* Sets the slots that the backend server announced; 0 if it left.  */
  void (*announce) (struct concurrency_limit *l, uint32_t slots,
                    int64_t now_us);
  /* Records a request that has ended.  */
  void (*record_completion) (struct concurrency_limit *l,
                             const struct concurrency_limit_sample *sample,
                             int64_t now_us);
  /* Adjusts the limit; `queued` is the length of the admission queue.  */
  void (*tick) (struct concurrency_limit *l, uint32_t queued, int64_t now_us);
  /* Returns how many requests may run concurrently, 0 if no slots are
     announced.  */
  uint32_t (*get) (const struct concurrency_limit *l, int64_t now_us);
};

/* Public functions */

/* Returns the policy of a name ("adaptive" or "fixed"), or NULL.  */
const struct concurrency_limit_ops *
concurrency_limit_find_ops (struct str name);
/* Returns the default settings.  */
struct concurrency_limit_settings concurrency_limit_get_defaults (void);

#endif
