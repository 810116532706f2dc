/* retry_policy: decides whether a failed attempt is retried.  */

#ifndef ALMONDVALE_RETRY_POLICY_H
#define ALMONDVALE_RETRY_POLICY_H

#include "err.h"
#include "retry_budget.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Number of attempts below which a retry costs no budget if a serving daemon
   rejected the attempt.  Few retries suffice: a view of the fleet that is some
   seconds old has few wrong endpoints.  */
#define RETRY_POLICY_FREE_ATTEMPTS 4u

/* Types */

/* A failed attempt.  */
struct retry_policy_failure
{
  enum err_kind error;
  bool idempotent;                  /* can run twice without harm */
  uint32_t attempts;                /* so far, the failed one included */
  struct str destination;           /* name of the service */
  struct retry_budget_pool *pool;   /* of the call tree */
  struct retry_budget_ratio *ratio; /* of the front */
};

struct retry_policy_ops
{
  struct str name;
  /* Returns true if the attempt is to be retried, and spends the budget that
     the retry costs.  */
  bool (*allow) (const struct retry_policy_failure *failure, int64_t now_us);
};

/* Public functions */

/* Returns the time for the Retry-After header, after which a refused caller
   may retry, or 0 if the response has no such header.  `jitter` is a random
   number from 0 up to 1 that spreads the retries of callers that were refused
   together.  */
int retry_policy_get_retry_after_ms (enum err_kind error, double jitter);
/* Returns true if an attempt that failed with the error may have arrived at a
   backend server, so that another attempt is a retry for its service.  */
bool retry_policy_may_have_arrived (enum err_kind error);
/* Returns the policy with a name ("budget" or "per_hop"), or NULL.  */
const struct retry_policy_ops *retry_policy_find_ops (struct str name);

#endif
