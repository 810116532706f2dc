/* retry_policy: whether a failed attempt is followed by another one.  */

#include "retry_policy.h"

#include <glib.h>

/* Constants */

/* Attempts of the per_hop policy, as many client libraries make by default. */
#define PER_HOP_ATTEMPTS 3u
/* Attempts up to which a refusal by a serving daemon costs no retry budget: a
   view of the fleet that is some seconds old has few wrong endpoints.  */
#define FREE_RETRY_ATTEMPTS 4u
/* Longest wait over the shortest: callers that were refused in one moment return
   over twice the shortest wait.  */
#define RETRY_AFTER_SPREAD 3.0

/* Internal functions */

/* A second attempt is safe after an error that proves the first did not run,
   and for an idempotent request.  */
static bool
is_safe_to_retry (const struct retry_policy_failure *c)
{
  switch (c->error)
    {
    case ERR_BACKEND_LEAVING:
    case ERR_BACKEND_UNREACHABLE:
    case ERR_SHUTTING_DOWN:
    case ERR_NO_BACKEND:
    case ERR_OVERLOADED:
    case ERR_BACKEND_REFUSED:
      return true;
    case ERR_BACKEND_FAILED:
    case ERR_OUTCOME_UNKNOWN:
      return c->idempotent;
    default:
      return false;
    }
}

/* The serving daemon refused before its backend server saw anything, so trying
   the next endpoint adds no work.  */
static bool
is_refused_by_daemon (const struct retry_policy_failure *c)
{
  switch (c->error)
    {
    case ERR_BACKEND_LEAVING:
    case ERR_BACKEND_UNREACHABLE:
    case ERR_SHUTTING_DOWN:
    case ERR_NO_BACKEND:
      return true;
    default:
      return false;
    }
}

/* Another attempt after a rejection for overload would add to it.  */
static bool
allow_budget (const struct retry_policy_failure *c, int64_t now_us)
{
  if (is_refused_by_daemon (c) && c->attempts < FREE_RETRY_ATTEMPTS)
    return true;
  if (c->error == ERR_OVERLOADED || !is_safe_to_retry (c)
      || c->pool->left == 0)
    return false;
  return retry_budget_allow_retry (c->ratio, c->destination, now_us)
         && retry_budget_spend (c->pool);
}

static bool
allow_per_hop (const struct retry_policy_failure *c, int64_t now_us)
{
  return c->attempts < PER_HOP_ATTEMPTS && is_safe_to_retry (c);
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

int
retry_policy_get_retry_after_ms (enum err_kind error, double jitter)
{
  int min_ms = err_get_answer (error)->retry_after_ms;

  return min_ms + (int)((RETRY_AFTER_SPREAD - 1) * min_ms * jitter);
}
