/* Tests of the retry_policy module: when an attempt is retried, and when a
   refused caller may retry.  */

#include "retry_policy.h"
#include "suite.h"

#define S STR_LIT ("s")

static bool
allow (enum err_kind error, bool idempotent, uint32_t attempts,
       struct retry_budget_pool *pool, struct retry_budget_ratio *ratio)
{
  struct retry_policy_failure c = { .error = error,
                                    .idempotent = idempotent,
                                    .attempts = attempts,
                                    .destination = S,
                                    .pool = pool,
                                    .ratio = ratio };

  return retry_policy_find_ops (STR_LIT ("budget"))->allow (&c, 0);
}

/* Guards against a request, such as a booking, that runs twice: if the error
   does not prove that the attempt did not run, only idempotent requests are
   retried.  */
START_TEST (only_safe_retries_are_made)
{
  struct retry_budget_pool pool;
  struct retry_budget_ratio ratio;

  retry_budget_init_ratio (&ratio);
  for (int kind = 1; kind < ERR_KINDS; kind++)
    {
      retry_budget_init_pool (&pool, 10);
      if (!err_is_not_run ((enum err_kind)kind))
        ck_assert_msg (!allow ((enum err_kind)kind, false, 1, &pool, &ratio),
                       "kind %d", kind);
    }
  retry_budget_init_pool (&pool, 1);
  ck_assert (!allow (ERR_OVERLOADED, true, 1, &pool, &ratio));
  ck_assert (allow (ERR_BACKEND_FAILED, true, 1, &pool, &ratio));
  ck_assert (!allow (ERR_BACKEND_FAILED, true, 2, &pool, &ratio));
  retry_budget_close_ratio (&ratio);
}
END_TEST

/* Guards against a request that fails because busy endpoints refused it for
   another one, under either policy, or that is passed on without end.  */
START_TEST (refusals_by_busy_endpoints_are_sent_elsewhere)
{
  static const struct str names[]
      = { STR_LIT ("budget"), STR_LIT ("per_hop") };
  struct retry_budget_pool pool;
  struct retry_budget_ratio ratio;

  retry_budget_init_ratio (&ratio);
  retry_budget_init_pool (&pool, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct retry_policy_failure c
          = { .error = ERR_ENDPOINT_BUSY,
              .attempts = RETRY_POLICY_FREE_ATTEMPTS - 1,
              .destination = S,
              .pool = &pool,
              .ratio = &ratio };

      ck_assert (retry_policy_find_ops (names[i])->allow (&c, 0));
      c.attempts++;
      ck_assert (!retry_policy_find_ops (names[i])->allow (&c, 0));
    }
  retry_budget_close_ratio (&ratio);
}
END_TEST

/* Guards against a request that uses up its budget because the view of the
   fleet is out of date: a retry after a serving daemon rejected the attempt
   costs no budget, but the number of such retries is limited.  */
START_TEST (rejections_by_daemons_cost_no_budget)
{
  static const enum err_kind errors[]
      = { ERR_BACKEND_LEAVING, ERR_BACKEND_COLD, ERR_BACKEND_EVACUATED };

  for (size_t i = 0; i < sizeof errors / sizeof *errors; i++)
    {
      struct retry_budget_pool pool;
      struct retry_budget_ratio ratio;
      uint32_t attempts = 1;

      retry_budget_init_ratio (&ratio);
      retry_budget_init_pool (&pool, 0);
      while (attempts < 100
             && allow (errors[i], false, attempts, &pool, &ratio))
        attempts++;
      ck_assert_uint_ge (attempts, 3);
      ck_assert_uint_le (attempts, 8);
      retry_budget_close_ratio (&ratio);
    }
}
END_TEST

/* Guards against callers that are refused together and then retry
   together.  */
START_TEST (retry_after_is_spread)
{
  int min_ms = retry_policy_get_retry_after_ms (ERR_OVERLOADED, 0);

  ck_assert_int_gt (min_ms, 0);
  ck_assert_int_ge (retry_policy_get_retry_after_ms (ERR_OVERLOADED, 0.999),
                    2 * min_ms);
  ck_assert_int_eq (retry_policy_get_retry_after_ms (ERR_KEY_UNKNOWN, 0.5), 0);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { only_safe_retries_are_made, rejections_by_daemons_cost_no_budget,
          refusals_by_busy_endpoints_are_sent_elsewhere,
          retry_after_is_spread };

  return suite_run ("retry_policy", cases, sizeof cases / sizeof *cases);
}
