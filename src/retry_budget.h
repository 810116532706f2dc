/* retry_budget: bounds the retries of a call tree and of a destination.

   The first daemon fixes the number of extra attempts of the whole tree.  A
   pool hands parts of it to the attempts and nested calls below; what a allocation
   did not use is returned.  A allocation whose answer is lost counts as used.  */

#ifndef ALMONDVALE_RETRY_BUDGET_H
#define ALMONDVALE_RETRY_BUDGET_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define RETRY_BUDGET_EXTRA_DEFAULT 2u
#define RETRY_BUDGET_EXTRA_MAX 1000u

/* Types */

struct retry_budget_pool
{
  uint32_t left;        /* extra attempts not handed out */
  uint32_t outstanding; /* handed out, not yet returned */
};

/* Retry ratio of one destination: credit grows with requests and is spent by
   retries.  */
struct retry_budget_ratio_row
{
  struct str destination;
  double credit;
  int64_t last_used_us; /* last request or retry */
};

struct retry_budget_ratio
{
  struct table rows;
  GHashTable *by_destination;
  double ratio;      /* retries allowed per request */
  double credit_max; /* retries allowed in one burst */
};

/* Public functions */

void retry_budget_init_pool (struct retry_budget_pool *p, uint32_t total);
/* takes one extra attempt for a retry of this hop; false if none is left */
bool retry_budget_spend (struct retry_budget_pool *p);
/* allocation for one attempt sent to the next daemon: all but one that stays for a
   retry here, so that the hop next to a failure can retry */
uint32_t retry_budget_allocate_attempt (struct retry_budget_pool *p);
/* allocation for one of several nested calls: half of what is left, rounded up */
uint32_t retry_budget_allocate_nested (struct retry_budget_pool *p);
/* `allocation` has come back with `unused`; a larger number is cut to the allocation */
void retry_budget_return (struct retry_budget_pool *p, uint32_t allocation,
                          uint32_t unused);

/* 10% of the recent requests, bursts of at most 2 */
void retry_budget_init_ratio (struct retry_budget_ratio *r);
void retry_budget_close_ratio (struct retry_budget_ratio *r);
/* a first attempt was sent */
void retry_budget_record_request (struct retry_budget_ratio *r,
                                  struct str destination, int64_t now_us);
/* takes credit for a retry; false if the destination has none */
bool retry_budget_allow_retry (struct retry_budget_ratio *r,
                               struct str destination, int64_t now_us);
/* system: removes destinations without traffic */
void retry_budget_expire_ratio (struct retry_budget_ratio *r, int64_t now_us);

#endif
