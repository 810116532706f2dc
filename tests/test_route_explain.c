/* Tests of the route_explain module: where a request would go now.  */

#include "route_explain.h"
#include "suite.h"

#include <string.h>

#define NOW_US 100000000
#define MEMBERS 30

static struct route_pool
make_pool (void)
{
  struct route_pool p;

  route_init_pool (&p, 1000, 0, 5);
  for (uint64_t m = 1; m <= MEMBERS; m++)
    route_set_endpoint (&p, m, 0, 0);
  return p;
}

/* Guards against an explanation that differs from what the policy does, and
   against one that changes the next choices.  */
START_TEST (chances_are_those_of_the_policy)
{
  static const struct str names[]
      = { STR_LIT ("least_loaded"), STR_LIT ("even_load"),
          STR_LIT ("round_robin") };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const struct route_ops *ops = route_find_ops (names[i]);
      struct route_pool explained = make_pool ();
      struct route_pool other = make_pool ();
      struct route_explain x;
      double sum = 0;

      route_explain_pool (&x, &explained, ops, NOW_US);
      ck_assert_uint_eq (x.len, ROUTE_SUBSET_MAX);
      ck_assert_uint_eq (x.outside_subset, MEMBERS - ROUTE_SUBSET_MAX);
      for (uint32_t k = 0; k < x.len; k++)
        sum += x.rows[k].chance;
      /* round_robin also uses endpoints outside the subset.  */
      ck_assert_double_le (sum, 1.001);
      ck_assert_double_ge (sum, i == 2 ? 0.5 : 0.999);
      for (int n = 0; n < 100; n++)
        ck_assert_uint_eq (ops->choose (&explained, NULL, 0, NOW_US),
                           ops->choose (&other, NULL, 0, NOW_US));
      route_close_pool (&explained);
      route_close_pool (&other);
    }
}
END_TEST

/* Guards against an operator who is told the wrong reason why an endpoint gets
   nothing.  */
START_TEST (excluding_rule_is_named)
{
  const struct route_ops *ops = route_find_ops (STR_LIT ("even_load"));
  struct route_pool p = make_pool ();
  struct route_explain x;
  uint64_t members[3];

  route_explain_pool (&x, &p, ops, NOW_US);
  for (int i = 0; i < 3; i++)
    members[i] = x.rows[i].endpoint->member;
  route_record_failure (&p, members[0], NOW_US);
  route_record_send (&p, members[1], NOW_US - 900000);
  route_record_response (&p, members[2], 1, 8, 300, NOW_US - 20000, NOW_US);
  route_record_response (&p, x.rows[3].endpoint->member, 1, 8, 1000,
                         NOW_US - 20000, NOW_US);
  route_explain_pool (&x, &p, ops, NOW_US);
  ck_assert_str_eq (x.rows[0].excluded_by, "backoff");
  ck_assert_str_eq (x.rows[1].excluded_by, "unresponsive");
  ck_assert_str_eq (x.rows[2].excluded_by, "success_rate");
  ck_assert_ptr_null (x.rows[3].excluded_by);
  for (int i = 0; i < 3; i++)
    ck_assert_double_eq (x.rows[i].chance, 0);
  route_close_pool (&p);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { chances_are_those_of_the_policy, excluding_rule_is_named };

  return suite_run ("route_explain", cases, G_N_ELEMENTS (cases));
}
