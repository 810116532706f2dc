/* retry_policy: decides whether a failed attempt is retried.  */

#include "retry_policy.h"

#include <glib.h>

/* Constants */

/* Largest number of attempts under the per_hop policy: the default of many
   client libraries.  */
#define PER_HOP_ATTEMPTS 3u
/* Ratio of the longest to the shortest Retry-After time: the retries of
   callers that were refused together are spread over twice the shortest
   time.  */
#define RETRY_AFTER_SPREAD 3.0

/* Internal functions */

/* Returns true if the error proves that the attempt did not run, or if the
   attempt may have run but the request is idempotent.  */
static bool
is_safe_to_retry (const struct retry_policy_failure *failure)
{
  switch (failure->error)
    {
    case ERR_BACKEND_LEAVING:
    case ERR_BACKEND_UNREACHABLE:
    case ERR_SHUTTING_DOWN:
    case ERR_NO_BACKEND:
    case ERR_OVERLOADED:
    case ERR_BACKEND_REFUSED:
    case ERR_BACKEND_COLD:
    case ERR_BACKEND_EVACUATED:
    case ERR_ENDPOINT_BUSY:
      return true;
    case ERR_BACKEND_FAILED:
    case ERR_OUTCOME_UNKNOWN:
      return failure->idempotent;
    default:
      return false;
    }
}

/* Returns true if the serving daemon rejected the attempt before its backend
   server received anything, so that trying the next endpoint adds no work.  */
static bool
is_rejected_by_daemon (enum err_kind error)
{
  switch (error)
    {
    case ERR_BACKEND_LEAVING:
    case ERR_BACKEND_UNREACHABLE:
    case ERR_SHUTTING_DOWN:
    case ERR_NO_BACKEND:
    case ERR_BACKEND_COLD:
    case ERR_BACKEND_EVACUATED:
    case ERR_ENDPOINT_BUSY:
      return true;
    default:
      return false;
    }
}

/* Does not retry a rejection for overload, since that would add to the
   load.  */
static bool
allow_budget (const struct retry_policy_failure *failure, int64_t now_us)
{
  if (is_rejected_by_daemon (failure->error)
      && failure->attempts < RETRY_POLICY_FREE_ATTEMPTS)
    return true;
  if (failure->error == ERR_OVERLOADED || !is_safe_to_retry (failure)
      || failure->pool->left == 0)
    return false;
  return retry_budget_allow_retry (failure->ratio, failure->destination,
                                   now_us)
         && retry_budget_spend (failure->pool);
}

static bool
allow_per_hop (const struct retry_policy_failure *failure, int64_t now_us)
{
  if (failure->error == ERR_ENDPOINT_BUSY)
    return failure->attempts < RETRY_POLICY_FREE_ATTEMPTS;
  return failure->attempts < PER_HOP_ATTEMPTS && is_safe_to_retry (failure);
}

static const struct retry_policy_ops policies[] = {
  { STR_LIT ("budget"), allow_budget },
  { STR_LIT ("per_hop"), allow_per_hop },
};

/* Public functions */

const struct retry_policy_ops *
retry_policy_find_ops (struct str name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (str_equal (name, policies[i].name))
      return &policies[i];
  return NULL;
}

bool
retry_policy_may_have_arrived (enum err_kind error)
{
  return !is_rejected_by_daemon (error);
}

int
retry_policy_get_retry_after_ms (enum err_kind error, double jitter)
{
  int min_ms = err_get_answer (error)->retry_after_ms;

  return min_ms + (int)((RETRY_AFTER_SPREAD - 1) * min_ms * jitter);
}
