/* admission: admission queue of a serving daemon, in front of its backend
   server.

   A policy is a table of function pointers.  "priority" serves entries by
   importance and, within one importance, by weighted fair sharing between
   workspaces; "urgency" (admission_urgency.c) serves them by due time; "naive"
   is a FIFO queue without admission control, used as the baseline in
   comparisons.  A queue is used by one thread only.  */

#ifndef ALMONDVALE_ADMISSION_H
#define ALMONDVALE_ADMISSION_H

#include "err.h"
#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define ADMISSION_IMPORTANCE_COUNT 10u
#define ADMISSION_THRESHOLD_MAX 10u

/* Types */

/* Rules of the priority policy that a test can disable, to show that it
   detects the fault which the rule prevents.  */
enum admission_rule
{
  ADMISSION_RULE_IMPORTANCE = 1, /* serve more important entries first */
  ADMISSION_RULE_FAIRNESS = 2,   /* share between workspaces by weight */
  ADMISSION_RULE_DEADLINE = 4,   /* drop entries that would end too late */
  ADMISSION_RULE_QUEUE_LIMIT = 8 /* limit the queue length */
};

struct admission_settings
{
  uint32_t queue_max;      /* maximum number of entries; not used by "naive" */
  int64_t delay_target_us; /* a longer queueing delay counts as overload */
  int64_t interval_us;     /* time between updates of the threshold */
  uint32_t disabled_rules; /* bits of enum admission_rule; 0 outside tests */
};

/* Description of a job, a request for the backend server, by the owner of the
   queue.  */
struct admission_item
{
  uint64_t job;        /* row id of the owner, returned unchanged */
  uint64_t workspace;  /* str_hash of the name; 0 on an open route, one
                         whose requests need no key */
  uint32_t weight;     /* weight of the workspace; 0 counts as 1 */
  uint32_t importance; /* 0..9; 9 is the most important */
  int64_t deadline_us; /* absolute, on the same clock as now_us */
  int64_t expected_us; /* service time of the route; 0 uses the average */
  int64_t due_us;      /* when the latency target ends, same clock */
};

/* An entry that was dropped from the queue.  */
struct admission_drop
{
  uint64_t job;
  enum err_kind error; /* ERR_OVERLOADED or ERR_DEADLINE_NOT_RUN */
};

struct admission;

struct admission_ops
{
  struct str name;
  struct admission *(*init) (const struct admission_settings *settings);
  void (*close) (struct admission *a);
  /* Queues the item and returns ERR_NONE and the entry's id, or returns the
     reason for the rejection.  A queued entry may be dropped to make room for
     the new one, see pop_dropped.  */
  enum err_kind (*offer) (struct admission *a,
                          const struct admission_item *item, int64_t now_us,
                          uint64_t *entry);
  /* Removes the entry to run next and copies its item; returns false if there
     is none.  */
  bool (*next) (struct admission *a, int64_t now_us,
                struct admission_item *item);
  /* Removes an entry, for example because its caller disconnected; returns
     false if the entry is no longer queued.  */
  bool (*remove) (struct admission *a, uint64_t entry);
  /* Records that a job returned by `next` has ended after service_us.  */
  void (*record_completion) (struct admission *a, int64_t service_us,
                             int64_t now_us);
  /* Sets the number of jobs that may run concurrently.  */
  void (*set_limit) (struct admission *a, uint32_t limit);
  /* Drops entries that would miss their deadline and updates the
     threshold.  */
  void (*tick) (struct admission *a, int64_t now_us);
  /* Returns the lowest importance that is accepted now: 0 accepts all, 10
     none.  */
  uint32_t (*get_threshold) (const struct admission *a);
  /* Returns the number of queued entries.  */
  uint32_t (*get_length) (const struct admission *a);
  /* Removes the next dropped entry, which the owner has to answer; returns
     false if there is none.  Call it after offer, next and tick.  */
  bool (*pop_dropped) (struct admission *a, struct admission_drop *drop);
};

/* State */

/* Policy "urgency", defined in admission_urgency.c.  */
extern const struct admission_ops admission_urgency_ops;

/* Public functions */

/* Returns the policy of a name ("priority", "urgency" or "naive"), or
   NULL.  */
const struct admission_ops *admission_find_ops (struct str name);
/* Returns the default settings.  */
struct admission_settings admission_get_defaults (void);

#endif
