/* retry_budget: bounds the retries of a call tree and of a destination.

   The entry daemon, to which the caller is connected, sets the number of extra
   attempts, those after the first one of a call, for the entire tree.  At each
   hop, the step of a call from one daemon to the next, a pool allocates them
   to the attempts and nested calls below, which return what they did not use.
   An allocation whose response is lost counts as used.  */

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
  uint32_t left;        /* extra attempts not allocated */
  uint32_t outstanding; /* allocated and not yet returned */
};

/* Credit of one destination.  A request adds the ratio, a retry subtracts
   1.  */
struct retry_budget_ratio_row
{
  struct str destination;
  double credit;
  int64_t last_used_us; /* last request or retry */
};

/* Limits the retries to each destination to a ratio of the requests.  */
struct retry_budget_ratio
{
  struct table rows;
  GHashTable *by_destination; /* destination to row id */
  double ratio;               /* credit for a request */
  double credit_max;          /* largest number of retries in a burst */
};

/* Public functions */

/* Makes a pool of `total` extra attempts, at most RETRY_BUDGET_EXTRA_MAX.  */
void retry_budget_init_pool (struct retry_budget_pool *p, uint32_t total);
/* Spends one extra attempt on a retry at this hop.  Returns false if none is
   left.  */
bool retry_budget_spend (struct retry_budget_pool *p);
/* Allocates extra attempts to an attempt that is sent to the next daemon: all
   but one, which is kept for a retry at this hop.  */
uint32_t retry_budget_allocate_attempt (struct retry_budget_pool *p);
/* Allocates extra attempts to one of several nested calls: half of those left,
   rounded up.  */
uint32_t retry_budget_allocate_nested (struct retry_budget_pool *p);
/* Returns the unused extra attempts of an allocation to the pool.  A number
   above the allocation counts as the full allocation.  */
void retry_budget_return (struct retry_budget_pool *p, uint32_t allocation,
                          uint32_t unused);

/* Allows retries for 10% of the requests, and bursts of at most 2.  */
void retry_budget_init_ratio (struct retry_budget_ratio *r);
void retry_budget_close_ratio (struct retry_budget_ratio *r);
/* Adds the credit for a request, at its first attempt.  */
void retry_budget_record_request (struct retry_budget_ratio *r,
                                  struct str destination, int64_t now_us);
/* Subtracts the credit for a retry.  Returns false if the destination has too
   little.  */
bool retry_budget_allow_retry (struct retry_budget_ratio *r,
                               struct str destination, int64_t now_us);
/* System: removes destinations without requests and retries for 60 s.  */
void retry_budget_expire_ratio (struct retry_budget_ratio *r, int64_t now_us);

#endif
