/* repeat_budget: ledger of the arrivals at one backend server, kept by the
   daemon beside it.

   It handles a backend server that rejects a large share of its calls as not
   run although it has free slots.  A request that needs several such calls in
   sequence then almost never completes, unless rejected calls are sent again.

   The first arrival of a request adds credit, every further arrival (a retry)
   spends 1.  All arrivals pass through the daemon beside the backend server,
   so the retries of a service never exceed the ratio plus a small burst for
   each backend server, whatever the daemons know of each other.  The credit is
   too small for all rejected calls: the policy "value" gives it to those whose
   request is important and has made most of its calls, "equal" to whoever asks
   first.

   A class is the requests of a route with the same importance.  The progress
   of a request is the time that it has used, relative to the time that requests
   of its class have used at their last calls; the time used is the largest
   time left seen in the class less the time left now.  Used by one thread
   only.  */

#ifndef ALMONDVALE_REPEAT_BUDGET_H
#define ALMONDVALE_REPEAT_BUDGET_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Intervals of the window in which arrivals are counted.  */
#define REPEAT_BUDGET_INTERVALS 64u
/* The window and the parts of an interval at both of its ends.  */
#define REPEAT_BUDGET_SLOTS (REPEAT_BUDGET_INTERVALS + 2u)
#define REPEAT_BUDGET_SCORE_BINS 32u

/* Types */

struct repeat_budget_settings
{
  double ratio; /* retries for each first arrival */
  int64_t window_us;
  uint32_t slack; /* retries of a service beyond the ratio in a window */
};

/* A request at its arrival.  */
struct repeat_budget_request
{
  struct str route;
  uint32_t importance; /* 0..9, 9 most important */
  int64_t left_us;     /* time left until its deadline */
  /* made by an execution that was itself a retry */
  bool inherited;
  bool asked; /* this retry got REPEAT_BUDGET_WAIT before */
};

enum repeat_budget_decision
{
  REPEAT_BUDGET_ALLOWED,
  REPEAT_BUDGET_WAIT,   /* worth the next credit: ask again after a pause */
  REPEAT_BUDGET_REFUSED /* the credit is needed for others */
};

/* Arrivals of one interval.  */
struct repeat_budget_slot
{
  int64_t interval; /* number of the interval since time 0 */
  uint32_t firsts;
  uint32_t retries;
};

/* A class, by route and importance.  */
struct repeat_budget_class
{
  uint64_t key;
  int64_t left_max_us;      /* largest time left in this window */
  int64_t left_max_last_us; /* and in the one before */
  int64_t window_end_us;
  double used_us; /* high quantile of the time used at an arrival */
  int64_t last_used_us;
};

struct repeat_budget
{
  struct repeat_budget_settings settings;
  struct repeat_budget_slot slots[REPEAT_BUDGET_SLOTS];
  double credit; /* for retries */
  double credit_max;
  uint32_t daemons; /* of the service; 0: not known */
  double reserve;   /* for calls by executions that were themselves retries */
  struct table classes;
  GHashTable *class_by_key;
  /* Retries asked for, by score, and credit spent on them; decaying.  */
  double demand[REPEAT_BUDGET_SCORE_BINS];
  double spent;
  int64_t decayed_us; /* time up to which demand and spent have decayed */
};

struct repeat_budget_ops
{
  struct str name;
  /* Decides whether a retry may be sent to the backend server now, and spends
     its credit if so.  */
  enum repeat_budget_decision (*ask) (
      struct repeat_budget *b, const struct repeat_budget_request *request,
      int64_t now_us);
};

/* Public functions */

/* Returns the policy of a name ("equal" or "value"), or NULL.  */
const struct repeat_budget_ops *repeat_budget_find_ops (struct str name);
/* Makes a ledger without credit.  */
void repeat_budget_init (struct repeat_budget *b,
                         const struct repeat_budget_settings *settings);
void repeat_budget_close (struct repeat_budget *b);
/* Sets the number of daemons of the service, which share the slack.  */
void repeat_budget_set_daemons (struct repeat_budget *b, uint32_t daemons);
/* Records the first arrival of a request, which adds credit.  */
void repeat_budget_record_first (struct repeat_budget *b,
                                 const struct repeat_budget_request *request,
                                 int64_t now_us);
/* Returns the value of a retry for the request, above 0 and at most 10.  */
double repeat_budget_get_score (const struct repeat_budget *b,
                                const struct repeat_budget_request *request);
/* Return the arrivals in the window.  */
uint32_t repeat_budget_count_firsts (const struct repeat_budget *b,
                                     int64_t now_us);
uint32_t repeat_budget_count_retries (const struct repeat_budget *b,
                                      int64_t now_us);
/* System: removes the classes without arrivals for 60 s.  */
void repeat_budget_expire (struct repeat_budget *b, int64_t now_us);

#endif
