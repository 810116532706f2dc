/* Tests of metrics: the text format, buckets, updates from threads.  */

#include "metrics.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 4
#define UPDATES 100000

static const struct metrics_definition requests
    = { METRICS_COUNTER, "test_requests_total", "Requests.", "error" };
static const struct metrics_definition rows
    = { METRICS_GAUGE, "test_rows", "Rows in use.", NULL };
static const struct metrics_definition latency
    = { METRICS_HISTOGRAM, "test_latency_seconds", "Latency.", NULL };

static void
assert_has (const struct metrics *m, const char *part)
{
  struct str_buf text = { 0 };

  metrics_append_text (m, &text);
  ck_assert_msg (strstr (text.data, part) != NULL, "%s not in\n%s", part,
                 text.data);
  str_reset (&text);
}

/* Guards against output that a Prometheus server rejects: repeated headers,
   rows of one metric that are not adjacent, unescaped labels.  */
START_TEST (rows_are_grouped_and_labels_escaped)
{
  struct metrics m;
  struct metrics_row *first;

  metrics_init (&m);
  first = metrics_register (&m, &requests, STR_LIT ("none"));
  metrics_set (metrics_register (&m, &rows, STR_EMPTY), -3);
  metrics_increment (metrics_register (&m, &requests, STR_LIT ("a\"b\\c\nd")),
                     2);
  ck_assert_ptr_eq (metrics_register (&m, &requests, STR_LIT ("none")), first);
  metrics_increment (first, 7);
  assert_has (&m, "# HELP test_requests_total Requests.\n"
                  "# TYPE test_requests_total counter\n"
                  "test_requests_total{error=\"none\"} 7\n"
                  "test_requests_total{error=\"a\\\"b\\\\c\\nd\"} 2\n"
                  "# HELP test_rows Rows in use.\n"
                  "# TYPE test_rows gauge\n"
                  "test_rows -3\n");
  metrics_close (&m);
}
END_TEST

/* Guards against values counted in an adjacent bucket and against buckets that
   are not cumulative.  */
START_TEST (histogram_is_cumulative)
{
  static const int64_t values_us[] = { -5, 0, 50, 51, 360, 361, 20000000 };
  struct metrics m;
  struct metrics_row *row;

  metrics_init (&m);
  row = metrics_register (&m, &latency, STR_EMPTY);
  for (size_t i = 0; i < G_N_ELEMENTS (values_us); i++)
    metrics_observe (row, values_us[i]);
  ck_assert_int_eq (metrics_get (row), 7);
  assert_has (&m, "test_latency_seconds_bucket{le=\"5e-05\"} 3\n"
                  "test_latency_seconds_bucket{le=\"0.0001\"} 4\n"
                  "test_latency_seconds_bucket{le=\"0.0002\"} 4\n"
                  "test_latency_seconds_bucket{le=\"0.00036\"} 5\n"
                  "test_latency_seconds_bucket{le=\"0.0005\"} 6\n");
  assert_has (&m, "test_latency_seconds_bucket{le=\"10\"} 6\n"
                  "test_latency_seconds_bucket{le=\"+Inf\"} 7\n"
                  "test_latency_seconds_sum 20.000822\n"
                  "test_latency_seconds_count 7\n");
  metrics_close (&m);
}
END_TEST

static gpointer
update (gpointer data)
{
  struct metrics_row **r = data;

  for (int i = 0; i < UPDATES; i++)
    {
      metrics_increment (r[0], 1);
      metrics_add_to_gauge (r[1], i % 2 == 0 ? 1 : -1);
      metrics_observe (r[2], i);
    }
  return NULL;
}

/* Guards against lost updates when several threads update a row.  */
START_TEST (threads_lose_no_update)
{
  struct metrics m;
  struct metrics_row *r[3];
  GThread *threads[THREADS];

  metrics_init (&m);
  r[0] = metrics_register (&m, &requests, STR_LIT ("none"));
  r[1] = metrics_register (&m, &rows, STR_EMPTY);
  r[2] = metrics_register (&m, &latency, STR_EMPTY);
  for (int i = 0; i < THREADS; i++)
    threads[i] = g_thread_new ("updater", update, r);
  for (int i = 0; i < THREADS; i++)
    g_thread_join (threads[i]);
  ck_assert_int_eq (metrics_get (r[0]), THREADS * UPDATES);
  ck_assert_int_eq (metrics_get (r[1]), 0);
  ck_assert_int_eq (metrics_get (r[2]), THREADS * UPDATES);
  metrics_close (&m);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("metrics");
  TCase *tc = tcase_create ("metrics");
  SRunner *runner;
  int failed;

  tcase_add_test (tc, rows_are_grouped_and_labels_escaped);
  tcase_add_test (tc, histogram_is_cumulative);
  tcase_add_test (tc, threads_lose_no_update);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
