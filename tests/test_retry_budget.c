/* Tests of the retry_budget module: retries in a call tree with parallel
   branches, and the retry ratio of a destination.  */

#include "retry_budget.h"
#include "suite.h"

#define SEED 5
#define TREES 300
#define TOTAL 6

/* How a hop bounds its retries.  */
enum bound
{
  BOUND_POOL,      /* the retry_budget module */
  BOUND_UNDIVIDED, /* each branch gets the full budget */
  BOUND_PER_HOP    /* naive: two retries at each hop */
};

struct tree
{
  enum bound bound;
  GRand *rand;
  double failure;    /* probability that an attempt itself fails */
  uint32_t depth;    /* of the tree */
  uint32_t branches; /* parallel nested calls at each hop */
  uint32_t retries;  /* so far, in the entire tree */
  uint32_t calls;    /* attempts so far; bounds the naive variant */
};

#define CALLS_MAX 20000

static uint32_t run_call (struct tree *t, uint32_t level, uint32_t budget,
                          bool *ok);

/* Simulates one attempt at a backend server, with parallel nested calls whose
   allocations are all made before the first one returns.  Returns the unused
   budget.  */
static uint32_t
run_attempt (struct tree *t, uint32_t level, uint32_t budget, bool *ok)
{
  struct retry_budget_pool pool;
  uint32_t allocations[4];
  uint32_t unused;

  retry_budget_init_pool (&pool, budget);
  *ok = g_rand_double (t->rand) >= t->failure;
  if (level == t->depth || ++t->calls > CALLS_MAX)
    return pool.left;
  for (uint32_t b = 0; b < t->branches; b++)
    allocations[b] = t->bound == BOUND_UNDIVIDED
                         ? budget
                         : retry_budget_allocate_nested (&pool);
  for (uint32_t b = 0; b < t->branches; b++)
    {
      bool branch_ok;

      unused = run_call (t, level + 1, allocations[b], &branch_ok);
      retry_budget_return (&pool, allocations[b], unused);
      *ok = *ok && branch_ok;
    }
  return pool.left;
}

/* Simulates a call with its retries at one hop.  Returns the unused
   budget.  */
static uint32_t
run_call (struct tree *t, uint32_t level, uint32_t budget, bool *ok)
{
  struct retry_budget_pool pool;

  retry_budget_init_pool (&pool, t->bound == BOUND_PER_HOP ? 2 : budget);
  for (;;)
    {
      uint32_t allocation = retry_budget_allocate_attempt (&pool);
      uint32_t unused = run_attempt (t, level, allocation, ok);

      retry_budget_return (&pool, allocation,
                           t->bound == BOUND_PER_HOP ? allocation : unused);
      if (*ok || !retry_budget_spend (&pool) || t->calls > CALLS_MAX)
        return pool.left;
      t->retries++;
    }
}

/* Returns the largest number of retries in one tree.  */
static uint32_t
find_max_retries (enum bound bound, uint32_t depth, uint32_t branches)
{
  struct tree t = { .bound = bound,
                    .rand = g_rand_new_with_seed (SEED),
                    .failure = 0.1,
                    .depth = depth,
                    .branches = branches };
  uint32_t max_retries = 0;

  for (int i = 0; i < TREES; i++)
    {
      bool ok;
      uint32_t unused;

      t.retries = 0;
      t.calls = 0;
      unused = run_call (&t, 1, TOTAL, &ok);
      if (bound == BOUND_POOL)
        ck_assert_uint_le (t.retries + unused, TOTAL);
      max_retries = MAX (max_retries, t.retries);
    }
  g_rand_free (t.rand);
  return max_retries;
}

/* Guards against retries that multiply from hop to hop (requirement R1 of
   docs/design.md), at the depth of today's call trees, 5, and at that of the
   target scale, 17.  */
START_TEST (retries_are_bounded_over_the_tree)
{
  ck_assert_uint_le (find_max_retries (BOUND_POOL, 5, 3), TOTAL);
  ck_assert_uint_le (find_max_retries (BOUND_POOL, 17, 1), TOTAL);
  ck_assert_uint_gt (find_max_retries (BOUND_POOL, 5, 3), 0);
  ck_assert_uint_gt (find_max_retries (BOUND_UNDIVIDED, 5, 3), TOTAL);
  ck_assert_uint_gt (find_max_retries (BOUND_PER_HOP, 5, 3), TOTAL);
  ck_assert_uint_gt (find_max_retries (BOUND_PER_HOP, 17, 1), TOTAL);
}
END_TEST

/* Guards against a budget that grows when a peer returns more than its
   allocation, or when a late response returns an allocation a second time.  */
START_TEST (returns_are_limited_to_the_allocation)
{
  struct retry_budget_pool p;
  uint32_t allocation;

  retry_budget_init_pool (&p, 4);
  allocation = retry_budget_allocate_attempt (&p);
  ck_assert_uint_eq (allocation, 3);
  retry_budget_return (&p, allocation, 500);
  ck_assert_uint_eq (p.left, 4);
  retry_budget_return (&p, allocation, allocation);
  ck_assert_uint_eq (p.left, 4);
}
END_TEST

/* Guards against a retry for each request to a destination that is down.  */
START_TEST (retries_of_a_destination_stay_within_the_ratio)
{
  struct retry_budget_ratio r;
  int allowed = 0;

  retry_budget_init_ratio (&r);
  for (int i = 0; i < 10000; i++)
    {
      retry_budget_record_request (&r, STR_LIT ("booking"), i);
      if (retry_budget_allow_retry (&r, STR_LIT ("booking"), i))
        allowed++;
    }
  ck_assert_int_ge (allowed, 990);
  ck_assert_int_le (allowed, 1010);
  ck_assert (retry_budget_allow_retry (&r, STR_LIT ("footage"), 1));
  retry_budget_expire_ratio (&r, INT64_MAX);
  ck_assert_uint_eq (r.rows.count, 0);
  retry_budget_close_ratio (&r);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { retries_are_bounded_over_the_tree,
          returns_are_limited_to_the_allocation,
          retries_of_a_destination_stay_within_the_ratio };

  return suite_run ("retry_budget", cases, G_N_ELEMENTS (cases));
}
