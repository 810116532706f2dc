/* retry_policy: whether a failed attempt is followed by another one.  */

#ifndef ALMONDVALE_RETRY_POLICY_H
#define ALMONDVALE_RETRY_POLICY_H

#include "err.h"
#include "retry_budget.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Types */

/* What is known when an attempt has failed.  */
struct retry_policy_failure
{
  enum err_kind error;
  bool idempotent;                  /* running twice does no harm */
  uint32_t attempts;                /* made so far, the failed one included */
  struct str destination;           /* service */
  struct retry_budget_pool *pool;   /* of the call tree */
  struct retry_budget_ratio *ratio; /* of the front */
};

struct retry_policy_ops
{
  struct str name;
  /* takes what the retry costs and returns true, or returns false */
  bool (*allow) (const struct retry_policy_failure *c, int64_t now_us);
};

/* Public functions */

/* wait to tell a caller that was refused; jitter is a random number from 0 up to
   1 that spreads those who were refused together; 0 if none is told */
int retry_policy_get_retry_after_ms (enum err_kind error, double jitter);
/* policy of a name ("budget", "per_hop"), or NULL */
const struct retry_policy_ops *retry_policy_find_ops (struct str name);

#endif
