/* concurrency_limit: how many requests run at the backend server at once.

   "adaptive" follows the measured service time and stays at or below the
   announced slots; "fixed" is the static baseline.  Owned by one thread.  */

#ifndef ALMONDVALE_CONCURRENCY_LIMIT_H
#define ALMONDVALE_CONCURRENCY_LIMIT_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Types */

/* Rules of the adaptive policy that a test can switch off.  */
enum concurrency_limit_rule
{
  CONCURRENCY_LIMIT_RULE_SLOTS = 1,      /* never above the announced slots */
  CONCURRENCY_LIMIT_RULE_SLOW_START = 2, /* ramp after an announcement */
  CONCURRENCY_LIMIT_RULE_ADAPT = 4       /* follow the service time */
};

struct concurrency_limit_settings
{
  uint32_t fixed;        /* value of the fixed policy; 0 takes the slots */
  uint32_t min;          /* adaptive: never below */
  int64_t slow_start_us; /* adaptive: ramp from min to the slots */
  int64_t interval_us;   /* adaptive: time between decisions */
  uint32_t
      rules_off; /* enum concurrency_limit_rule bits; 0 outside of tests */
};

/* One request that the backend server has answered.  */
struct concurrency_limit_sample
{
  int64_t service_us; /* from the first byte sent to the whole answer */
  int64_t nested_us;  /* part of it spent waiting for nested calls */
  uint32_t in_flight; /* requests running when it started, itself included */
  bool failed;        /* connection failure or refusal by the backend */
};

struct concurrency_limit
{
  struct concurrency_limit_settings settings;
  uint32_t slots;          /* announced; 0 before the announcement */
  int64_t announced_us;    /* time of the announcement */
  double value;            /* current limit before the ramp and a probe */
  double base_us;          /* own service time at low concurrency */
  int64_t base_probed_us;  /* when a probe measured it last */
  double probe_sum_us;     /* own service times of a probe so far */
  uint32_t probe_samples;  /* their number */
  double probe_recent_us;  /* own service time before the last probe */
  int64_t probe_from_us;   /* samples of the probe count from here */
  int64_t probe_until_us;  /* end of a probe, 0 if none runs */
  double recent_sum_us;    /* own service times of this interval */
  uint32_t samples;        /* in this interval */
  uint32_t failures;       /* in this interval */
  uint32_t in_flight_max;  /* in this interval */
  int64_t interval_end_us; /* earliest end of this interval */
};

struct concurrency_limit_ops
{
  struct str name;
  void (*init) (struct concurrency_limit *l,
                const struct concurrency_limit_settings *settings);
  /* the backend server announced itself with this many slots; 0: it left */
  void (*announce) (struct concurrency_limit *l, uint32_t slots,
                    int64_t now_us);
  void (*record_completion) (struct concurrency_limit *l,
                             const struct concurrency_limit_sample *sample,
                             int64_t now_us);
  /* `queued` is the length of the admission queue */
  void (*tick) (struct concurrency_limit *l, uint32_t queued, int64_t now_us);
  /* requests that may run at once; 0 while nothing is announced */
  uint32_t (*get) (const struct concurrency_limit *l, int64_t now_us);
};

/* Public functions */

/* policy of a name ("adaptive", "fixed"), or NULL */
const struct concurrency_limit_ops *
concurrency_limit_find_ops (struct str name);
/* defaults of the settings */
struct concurrency_limit_settings concurrency_limit_get_defaults (void);

#endif
