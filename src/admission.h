/* admission: the queue of the serving daemon in front of its backend server.

   A policy is a table of function pointers.  "priority" serves by importance
   and, within one importance, fairly between workspaces; "naive" is one FIFO
   without admission, kept as the baseline of the comparisons.  Owned by one
   thread.  */

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

/* Rules of the priority policy that a test can switch off.  */
enum admission_rule
{
  ADMISSION_RULE_IMPORTANCE = 1, /* more important entries first */
  ADMISSION_RULE_FAIRNESS = 2,   /* workspaces share by weight */
  ADMISSION_RULE_DEADLINE = 4,   /* drop what cannot finish in time */
  ADMISSION_RULE_QUEUE_LIMIT = 8 /* bounded length */
};

struct admission_settings
{
  uint32_t queue_max;      /* entries of the priority policy */
  int64_t delay_target_us; /* queueing delay that counts as overload */
  int64_t interval_us;     /* time between threshold decisions */
  uint32_t rules_off;      /* enum admission_rule bits; 0 outside of tests */
};

/* What the owner of the queue says about a job.  */
struct admission_item
{
  uint64_t job;        /* the owner's row id, passed back unchanged */
  uint64_t workspace;  /* str_hash of the name; 0 for open routes */
  uint32_t weight;     /* share of the workspace, 0 counts as 1 */
  uint32_t importance; /* 0..9, 9 most important */
  int64_t deadline_us; /* on the clock of `now_us` */
  int64_t expected_us; /* time that its route takes; 0: as the mean of all */
  int64_t due_us;      /* for its full value, on the clock of `now_us` */
};

/* An entry that left the queue without being run.  */
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
  /* ERR_NONE and the entry's id, or the reason for the rejection; a queued
     entry may be dropped in favour of the new one, see pop_dropped */
  enum err_kind (*offer) (struct admission *a,
                          const struct admission_item *item, int64_t now_us,
                          uint64_t *entry);
  /* takes the entry to run next; false if there is none */
  bool (*next) (struct admission *a, int64_t now_us,
                struct admission_item *item);
  /* the caller left; false if the entry is no longer queued */
  bool (*remove) (struct admission *a, uint64_t entry);
  /* one job that `next` gave out has ended after service_us */
  void (*record_completion) (struct admission *a, int64_t service_us,
                             int64_t now_us);
  /* the number of jobs that may run at once has changed */
  void (*set_limit) (struct admission *a, uint32_t limit);
  /* drops late entries and decides the threshold */
  void (*tick) (struct admission *a, int64_t now_us);
  /* lowest importance accepted now: 0 accepts all, 10 none */
  uint32_t (*get_threshold) (const struct admission *a);
  /* entries queued */
  uint32_t (*get_length) (const struct admission *a);
  /* next dropped entry to answer; call after offer, next and tick */
  bool (*pop_dropped) (struct admission *a, struct admission_drop *drop);
};

/* State */

/* of admission_urgency */
extern const struct admission_ops admission_urgency_ops;

/* Public functions */

/* policy of a name ("priority", "urgency", "naive"), or NULL */
const struct admission_ops *admission_find_ops (struct str name);
/* defaults of the settings */
struct admission_settings admission_get_defaults (void);

#endif
