/* Tests of the load driver's histogram against a sorted array.  */

#include "../bench/histogram.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>

#define SEED 20261207
#define VALUES 20000

static int
compare_int64 (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

/* Guards against quantiles that are below the true value or more than 1/128
   above it, for values of up to 30 bits.  */
START_TEST (quantiles_are_at_most_one_in_128_too_high)
{
  static const double fractions[] = { 0.001, 0.5, 0.9, 0.99, 0.999, 1 };
  static struct histogram h;
  GRand *rand = g_rand_new_with_seed (SEED);
  GArray *values = g_array_new (FALSE, FALSE, sizeof (int64_t));

  for (int i = 0; i < VALUES; i++)
    {
      int bits = g_rand_int_range (rand, 1, 31);
      int64_t value = g_rand_int_range (rand, 0, (gint32)(1u << bits) - 1);

      histogram_add (&h, value);
      g_array_append_val (values, value);
    }
  g_array_sort (values, compare_int64);
  for (size_t i = 0; i < G_N_ELEMENTS (fractions); i++)
    {
      guint rank = MAX ((guint)(fractions[i] * VALUES), 1);
      int64_t expected = g_array_index (values, int64_t, rank - 1);
      int64_t actual = histogram_get_quantile (&h, fractions[i]);

      ck_assert_int_ge (actual, expected);
      ck_assert_int_le (actual, expected + expected / 128 + 1);
    }
  g_array_unref (values);
  g_rand_free (rand);
}
END_TEST

/* Guards against buckets that overlap or leave gaps, and against values that
   fall outside all buckets.  */
START_TEST (upper_bounds_match_buckets)
{
  static struct histogram h;

  for (uint32_t i = 0; i + 1 < HISTOGRAM_BUCKETS; i++)
    {
      ck_assert_uint_eq (histogram_find_bucket (histogram_get_upper_bound (i)),
                         i);
      ck_assert_uint_eq (
          histogram_find_bucket (histogram_get_upper_bound (i) + 1), i + 1);
    }
  ck_assert_int_eq (histogram_get_quantile (&h, 0.5), 0);
  histogram_add (&h, -1);
  histogram_add (&h, INT64_MAX);
  ck_assert_int_eq (histogram_get_quantile (&h, 0.5), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("histogram");
  TCase *tc = tcase_create ("histogram");
  SRunner *runner;
  int failed;

  tcase_add_test (tc, quantiles_are_at_most_one_in_128_too_high);
  tcase_add_test (tc, upper_bounds_match_buckets);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
