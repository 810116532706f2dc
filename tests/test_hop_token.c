/* Tests of the hop_token module: tokens that identify the request that makes a
   nested call.  */

#include "hop_token.h"
#include "suite.h"

#include <string.h>

#define SEED 3
#define ROUNDS 2000
#define DEADLINE_US 1000000

static struct hop_token_table table;
static char token[HOP_TOKEN_LEN];
static struct hop_token_usage usage;

static struct str
view_token (void)
{
  return (struct str){ HOP_TOKEN_LEN, token };
}

static uint64_t
issue (uint32_t budget)
{
  struct hop_token_context c;

  ck_assert (hop_token_init_context (&c, STR_LIT ("w1"), 7, 3, DEADLINE_US,
                                     STR_LIT ("00-a-b-01")));
  c.retry = true;
  return hop_token_issue (&table, &c, budget, token);
}

static bool
resolve (struct str presented, int64_t now_us)
{
  struct hop_token_context c;
  uint64_t id;

  return hop_token_resolve (&table, presented, now_us, &c, &id);
}

/* Guards against nested calls that do not inherit the workspace, importance
   and deadline of their request (requirement R3 of docs/design.md), or that do
   not count as retries although it is one.  */
START_TEST (token_resolves_to_its_context)
{
  struct hop_token_context c;
  uint64_t id, found;

  hop_token_init (&table, 10);
  id = issue (2);
  ck_assert (hop_token_resolve (&table, view_token (), 0, &c, &found));
  ck_assert_uint_eq (found, id);
  ck_assert (str_equal (hop_token_view_text (&c.workspace), STR_LIT ("w1")));
  ck_assert_uint_eq (c.importance, 7);
  ck_assert_uint_eq (c.depth, 3);
  ck_assert_int_eq (c.deadline_us, DEADLINE_US);
  ck_assert (c.retry);
  hop_token_close (&table);
}
END_TEST

/* Guards against accepting forged tokens: with one digit changed, truncated,
   padded, empty and random ones.  */
START_TEST (forged_token_is_refused)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  char forged[HOP_TOKEN_LEN + 1];

  hop_token_init (&table, 10);
  issue (2);
  for (size_t i = 0; i < HOP_TOKEN_LEN; i++)
    {
      memcpy (forged, token, HOP_TOKEN_LEN);
      forged[i] = forged[i] == '0' ? '1' : '0';
      ck_assert (!resolve ((struct str){ HOP_TOKEN_LEN, forged }, 0));
      ck_assert (!resolve ((struct str){ i, token }, 0));
    }
  memcpy (forged, token, HOP_TOKEN_LEN);
  forged[HOP_TOKEN_LEN] = '0';
  ck_assert (!resolve ((struct str){ HOP_TOKEN_LEN + 1, forged }, 0));
  for (int n = 0; n < ROUNDS; n++)
    {
      for (size_t i = 0; i < HOP_TOKEN_LEN; i++)
        forged[i] = "0123456789abcdef"[g_rand_int_range (rand, 0, 16)];
      ck_assert (!resolve ((struct str){ HOP_TOKEN_LEN, forged }, 0));
    }
  ck_assert (resolve (view_token (), 0));
  hop_token_close (&table);
  g_rand_free (rand);
}
END_TEST

/* Guards against accepting a token after the deadline or after its request has
   ended, also when the row of the token is in use again.  */
START_TEST (replayed_and_expired_tokens_are_refused)
{
  char old[HOP_TOKEN_LEN];
  uint64_t id, next;

  hop_token_init (&table, 1);
  id = issue (2);
  memcpy (old, token, HOP_TOKEN_LEN);
  ck_assert (resolve (view_token (), DEADLINE_US - 1));
  ck_assert (!resolve (view_token (), DEADLINE_US));
  ck_assert (hop_token_revoke (&table, id, 5, &usage));
  ck_assert (!resolve (view_token (), 0));
  next = issue (2);
  ck_assert_uint_ne (next, 0);
  ck_assert (!resolve ((struct str){ HOP_TOKEN_LEN, old }, 0));
  ck_assert (!hop_token_revoke (&table, id, 5, &usage));
  ck_assert_uint_eq (usage.unused_budget, 0);
  ck_assert_uint_eq (issue (2), 0);
  hop_token_close (&table);
}
END_TEST

/* Guards against late responses of nested calls that return budget to a
   request that has ended, and against a peer that returns more than its
   allocation.  */
START_TEST (budget_is_returned_once)
{
  uint64_t id;
  uint32_t first, second;

  hop_token_init (&table, 10);
  id = issue (3);
  first = hop_token_begin_nested (&table, id, 0);
  second = hop_token_begin_nested (&table, id, 0);
  ck_assert_uint_le (first + second, 3);
  hop_token_end_nested (&table, id, first, 1000, 1);
  hop_token_end_nested (&table, id, first, 1000, 1);
  hop_token_end_nested (&table, id, first, 1000, 1);
  hop_token_revoke (&table, id, 1, &usage);
  ck_assert_uint_le (usage.unused_budget, 3);
  hop_token_end_nested (&table, id, second, second, 2);
  ck_assert_uint_eq (hop_token_get_count (&table), 0);
  hop_token_close (&table);
}
END_TEST

/* Guards against counting the time of parallel nested calls twice: the service
   time of the request would be negative after that time is subtracted.  */
START_TEST (nested_time_is_counted_once)
{
  uint64_t id;

  hop_token_init (&table, 10);
  id = issue (0);
  hop_token_begin_nested (&table, id, 10);
  hop_token_begin_nested (&table, id, 20);
  hop_token_end_nested (&table, id, 0, 0, 30);
  hop_token_end_nested (&table, id, 0, 0, 50);
  hop_token_begin_nested (&table, id, 100);
  hop_token_record_threshold (&table, id, STR_LIT ("deep"), 3);
  hop_token_record_threshold (&table, id, STR_LIT ("deep"), 5);
  hop_token_record_threshold (&table, id, STR_LIT ("deep"), 4);
  hop_token_revoke (&table, id, 110, &usage);
  ck_assert_int_eq (usage.nested_us, 50);
  ck_assert_uint_eq (usage.thresholds_len, 1);
  ck_assert_uint_eq (usage.thresholds[0].level, 5);
  hop_token_close (&table);
}
END_TEST

static gpointer
resolve_until_stopped (gpointer stop)
{
  uint64_t hits = 0;
  struct hop_token_context c;
  uint64_t id;

  while (!g_atomic_int_get ((gint *)stop))
    if (hop_token_resolve (
            &table, STR_LIT ("00000000000000000000000000000000"), 0, &c, &id))
      hits++;
  return GSIZE_TO_POINTER (hits);
}

/* Guards against a data race between the serve thread and a front thread; the
   thread sanitizer build detects it.  */
START_TEST (two_threads_use_the_table)
{
  gint stop = 0;
  GThread *other;

  hop_token_init (&table, ROUNDS);
  other = g_thread_new ("front", resolve_until_stopped, &stop);
  for (int i = 0; i < ROUNDS; i++)
    {
      uint64_t id = issue (2);

      ck_assert (resolve (view_token (), 0));
      ck_assert (hop_token_revoke (&table, id, 1, &usage));
    }
  g_atomic_int_set (&stop, 1);
  ck_assert_ptr_null (g_thread_join (other));
  hop_token_close (&table);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { token_resolves_to_its_context,
                                 forged_token_is_refused,
                                 replayed_and_expired_tokens_are_refused,
                                 budget_is_returned_once,
                                 nested_time_is_counted_once,
                                 two_threads_use_the_table };

  return suite_run ("hop_token", cases, G_N_ELEMENTS (cases));
}
