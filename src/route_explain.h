/* route_explain: shows operators where a request would go now, without sending
   it.  */

#ifndef ALMONDVALE_ROUTE_EXPLAIN_H
#define ALMONDVALE_ROUTE_EXPLAIN_H

#include "route.h"
#include "route_even.h"

#include <stdint.h>

/* Types */

struct route_explain_row
{
  const struct route_endpoint *endpoint;
  struct route_even_belief belief;
  /* the rule that excluded it, or NULL: "backoff", "unresponsive" or
     "success_rate" */
  const char *excluded_by;
  double chance; /* share of the next requests, out of ROUTE_EXPLAIN_DRAWS */
};

struct route_explain
{
  uint32_t len;
  struct route_explain_row rows[ROUTE_SUBSET_MAX];
  /* endpoints that this daemon does not choose from, since others do */
  uint32_t outside_subset;
};

/* Public functions */

/* Explains the next choice of a policy.  The pool is left as it was.  */
void route_explain_pool (struct route_explain *x, struct route_pool *p,
                         const struct route_ops *ops, int64_t now_us);

#endif
