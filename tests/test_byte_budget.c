/* Tests of the byte_budget module.  */

#include "byte_budget.h"
#include "clock.h"
#include "suite.h"

#include <glib.h>

#define MIB INT64_C (1048576)
#define TOTAL_BYTES (80 * MIB)
#define BODY_BYTES INT64_C (8000000)
#define SMALL_BYTES INT64_C (4096)
#define THREADS 3
#define STEP_US 10000
#define ROWS 400

/* Guards against a budget that is exceeded: two threads reserve bodies for
   clients that never release them, small requests come and go, and one thread
   ends.  Callers of small requests are never refused.  */
START_TEST (bodies_that_are_kept_leave_space_for_small_requests)
{
  struct byte_budget b;
  struct byte_budget_slice s[2];
  int kept = 0;
  int refused = 0;

  byte_budget_init (&b, TOTAL_BYTES);
  byte_budget_open_slice (&s[0], &b);
  byte_budget_open_slice (&s[1], &b);
  for (int64_t now_us = 0; now_us < 2 * CLOCK_US_PER_S; now_us += STEP_US)
    {
      struct byte_budget_slice *own = &s[now_us / STEP_US % 2];

      if (byte_budget_reserve (own, BODY_BYTES))
        kept++;
      else
        refused++;
      ck_assert (byte_budget_reserve (own, SMALL_BYTES));
      byte_budget_release (own, SMALL_BYTES);
      ck_assert_int_le (s[0].held + s[1].held, TOTAL_BYTES);
    }
  ck_assert_int_eq (kept, (TOTAL_BYTES - b.small_part) / BODY_BYTES);
  ck_assert_int_gt (refused, 0);
  ck_assert (byte_budget_is_short (&b));
  byte_budget_close_slice (&s[0]);
  byte_budget_close_slice (&s[1]);
  ck_assert_int_eq (byte_budget_get_free (&b), TOTAL_BYTES);
}
END_TEST

/* Guards against bytes that are lost or counted twice when slices are refilled
   and returned in any order.  */
START_TEST (random_reservations_never_exceed_the_total)
{
  GRand *rand = g_rand_new_with_seed (27);
  struct byte_budget b;
  struct byte_budget_slice s[THREADS];
  int64_t rows[THREADS][ROWS] = { 0 };

  byte_budget_init (&b, TOTAL_BYTES);
  for (int t = 0; t < THREADS; t++)
    byte_budget_open_slice (&s[t], &b);
  for (int i = 0; i < 200000; i++)
    {
      int t = g_rand_int_range (rand, 0, THREADS);
      int64_t *row = &rows[t][g_rand_int_range (rand, 0, ROWS)];
      int64_t held = 0;
      int64_t unused = byte_budget_get_free (&b);

      if (*row > 0)
        {
          byte_budget_release (&s[t], *row);
          *row = 0;
        }
      else
        {
          *row = g_rand_int_range (rand, 1,
                                   4 << g_rand_int_range (rand, 0, 22));
          if (!byte_budget_reserve (&s[t], *row))
            *row = 0;
        }
      unused = byte_budget_get_free (&b);
      for (int k = 0; k < THREADS; k++)
        {
          held += s[k].held;
          unused += s[k].free;
          ck_assert_int_ge (s[k].free, 0);
        }
      ck_assert_int_eq (held + unused, TOTAL_BYTES);
      ck_assert_int_le (held, TOTAL_BYTES);
    }
  for (int t = 0; t < THREADS; t++)
    byte_budget_close_slice (&s[t]);
  ck_assert_int_eq (byte_budget_get_free (&b), TOTAL_BYTES);
  g_rand_free (rand);
}
END_TEST

/* Guards against running work that is refused its response, and against new
   work while more than the total is held.  */
START_TEST (existing_bytes_are_taken_and_new_ones_refused)
{
  struct byte_budget b;
  struct byte_budget_slice s;

  byte_budget_init (&b, TOTAL_BYTES);
  byte_budget_open_slice (&s, &b);
  ck_assert (byte_budget_take (&s, TOTAL_BYTES + MIB));
  ck_assert (!byte_budget_take (&s, TOTAL_BYTES));
  ck_assert (!byte_budget_reserve (&s, 1));
  ck_assert (!byte_budget_reserve (&s, BODY_BYTES));
  byte_budget_release (&s, TOTAL_BYTES + MIB);
  ck_assert (byte_budget_reserve (&s, BODY_BYTES));
  byte_budget_close_slice (&s);
  ck_assert_int_eq (byte_budget_get_free (&b), TOTAL_BYTES);
}
END_TEST

/* Guards against one workspace that takes all space for bodies, and against a
   group that is still counted after its requests have ended.  */
START_TEST (one_group_leaves_space_for_others)
{
  struct byte_budget b;
  struct byte_budget_slice s;
  struct byte_budget_holder rows[32];
  struct byte_budget_holder other = { .group = 8 };
  int kept = 0;

  byte_budget_init (&b, TOTAL_BYTES);
  byte_budget_open_slice (&s, &b);
  for (int round = 0; round < 2; round++)
    {
      for (kept = 0; kept < 32; kept++)
        {
          rows[kept] = (struct byte_budget_holder){ .group = 7 };
          if (!byte_budget_reserve_for (&s, &rows[kept], BODY_BYTES))
            break;
        }
      ck_assert_int_eq (kept, TOTAL_BYTES * 13 / 16 / BODY_BYTES);
      ck_assert (byte_budget_reserve_for (&s, &other, BODY_BYTES));
      ck_assert (byte_budget_reserve_for (&s, &rows[0], SMALL_BYTES));
      byte_budget_release_holder (&s, &other);
      while (kept-- > 0)
        byte_budget_release_holder (&s, &rows[kept]);
      ck_assert_int_eq (s.held, 0);
    }
  byte_budget_close_slice (&s);
  ck_assert_int_eq (byte_budget_get_free (&b), TOTAL_BYTES);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { bodies_that_are_kept_leave_space_for_small_requests,
          random_reservations_never_exceed_the_total,
          existing_bytes_are_taken_and_new_ones_refused,
          one_group_leaves_space_for_others };

  return suite_run ("byte_budget", cases, G_N_ELEMENTS (cases));
}
