/* repeat_budget: ledger of the arrivals at one backend server, kept by the
   daemon beside it.

   It handles a backend server that rejects a large share of its calls as not
   run although it has free slots.  A request that needs several such calls in
   sequence then almost never completes, unless rejected calls are sent again.

   The first arrivals of requests in a window allow a ratio of them as further
   arrivals (retries).  All arrivals pass through the daemon beside the backend
   server, so the retries of a service stay within the ratio, whatever the
   daemons know of each other.  They are too few for all rejected calls: the
   policy "value" allows those whose request is important and has made most of
   its calls, "equal" whoever asks first.

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
/* The window, the one before it, and the parts of an interval at the ends.  */
#define REPEAT_BUDGET_SLOTS (2 * REPEAT_BUDGET_INTERVALS + 2u)
#define REPEAT_BUDGET_SCORE_BINS 32u

/* Types */

struct repeat_budget_settings
{
  double ratio; /* retries for each first arrival */
  int64_t window_us;
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
  REPEAT_BUDGET_WAIT,   /* worth the next retry: ask again after a pause */
  REPEAT_BUDGET_REFUSED /* the retries are needed for others */
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
  struct table classes;
  GHashTable *class_by_key;
  double demand[REPEAT_BUDGET_SCORE_BINS]; /* retries asked for, by score,
                                              decaying */
  double spent;                            /* retries allowed, decaying */
  int64_t decayed_us; /* time up to which both have decayed */
  /* sum of the parts of retries that fit, below 1; see is_worth_retry */
  double part_taken;
};

struct repeat_budget_ops
{
  struct str name;
  /* Decides whether a retry may be sent to the backend server now, and records
     its arrival if so.  */
  enum repeat_budget_decision (*ask) (
      struct repeat_budget *b, const struct repeat_budget_request *request,
      int64_t now_us);
};

/* Public functions */

/* Returns the policy of a name ("equal" or "value"), or NULL.  */
const struct repeat_budget_ops *repeat_budget_find_ops (struct str name);
/* Makes a ledger without arrivals.  */
void repeat_budget_init (struct repeat_budget *b,
                         const struct repeat_budget_settings *settings);
void repeat_budget_close (struct repeat_budget *b);
/* Records the first arrival of a request.  */
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
