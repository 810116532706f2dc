/* Tests of the feedback module: early rejection at the entry daemon, the
   daemon that the caller is connected to, by the thresholds of deep
   services.  */

#include "feedback.h"
#include "suite.h"

#define SEED 21
#define ROUNDS 10000

static const struct str route = STR_LIT ("notes");

static struct feedback
make_feedback (uint32_t disabled_rules)
{
  struct feedback_settings s = feedback_get_defaults ();
  struct feedback f;

  s.seed = SEED;
  s.disabled_rules = disabled_rules;
  feedback_init (&f, &s);
  return f;
}

static void
record_responses (struct feedback *f, struct str on_route, const char *service,
                  uint32_t level, int times, int64_t now_us)
{
  struct wire_threshold t[]
      = { { STR_LIT ("edge"), 0 }, { str_from_cstr (service), level } };

  while (times-- > 0)
    feedback_record_response (f, on_route, t, 2, now_us);
}

/* Guards against work that the first services on a call path do for a request
   that a deep service rejects, and against rejections on routes whose call
   path does not include that service.  */
START_TEST (level_is_the_maximum_over_the_path)
{
  struct feedback f = make_feedback (0);

  record_responses (&f, route, "deep", 6, 30, 0);
  record_responses (&f, STR_LIT ("other"), "idle", 2, 30, 0);
  ck_assert_uint_eq (feedback_get_level (&f, route, 0), 6);
  ck_assert_uint_eq (feedback_get_level (&f, STR_LIT ("other"), 0), 2);
  ck_assert_uint_eq (feedback_get_level (&f, STR_LIT ("unseen"), 0), 0);
  ck_assert_int_eq (feedback_check (&f, route, 6, 0), FEEDBACK_PASS);
  feedback_close (&f);
}
END_TEST

/* Guards against one overloaded backend server that causes the rejection of
   requests that nine healthy ones can run.  */
START_TEST (one_backend_alone_does_not_set_the_level)
{
  struct feedback f = make_feedback (0);

  for (int i = 0; i < ROUNDS; i++)
    record_responses (&f, route, "deep", i % 10 == 0 ? 8 : 0, 1, 0);
  ck_assert_uint_le (feedback_get_level (&f, route, 0), 3);
  feedback_close (&f);
}
END_TEST

static uint32_t
get_level_without_reports (uint32_t disabled_rules)
{
  struct feedback f = make_feedback (disabled_rules);
  uint32_t level;

  record_responses (&f, route, "deep", 8, 30, 0);
  level = feedback_get_level (&f, route, 10 * f.settings.expiry_us);
  feedback_close (&f);
  return level;
}

static int
count_probes (uint32_t disabled_rules)
{
  struct feedback f = make_feedback (disabled_rules);
  int probes = 0;

  record_responses (&f, route, "deep", 8, 30, 0);
  for (int i = 0; i < ROUNDS; i++)
    if (feedback_check (&f, route, 1, 0) == FEEDBACK_PROBE)
      probes++;
  feedback_close (&f);
  return probes;
}

/* Guards against a level that never falls because all requests whose responses
   could report a lower one are rejected.  */
START_TEST (levels_expire_and_probes_pass)
{
  ck_assert_uint_eq (get_level_without_reports (0), 0);
  ck_assert_uint_gt (get_level_without_reports (FEEDBACK_RULE_EXPIRY), 0);
  ck_assert_int_gt (count_probes (0), ROUNDS / 200);
  ck_assert_int_lt (count_probes (0), ROUNDS / 20);
  ck_assert_int_eq (count_probes (FEEDBACK_RULE_PROBE), 0);
}
END_TEST

/* Returns the fraction of requests that is sent if 10 arrive per step, at most
   2 of them are accepted, and the service reports `level`.  */
static double
get_sent_fraction (uint32_t disabled_rules, uint32_t level)
{
  struct feedback f = make_feedback (disabled_rules);
  int sent = 0;

  for (int64_t step = 0; step < 1000; step++)
    {
      int64_t now_us = step * 10000;
      int in_step = 0;

      record_responses (&f, route, "deep", level, 1, now_us);
      for (int i = 0; i < 10; i++)
        if (!feedback_throttle (&f, route, STR_LIT ("w1"), 5, now_us))
          feedback_record_outcome (&f, route, STR_LIT ("w1"), 5, in_step++ < 2,
                                   now_us);
      sent += in_step;
    }
  /* Another workspace is not throttled.  */
  ck_assert (!feedback_throttle (&f, route, STR_LIT ("w2"), 5, 10000000));
  feedback_close (&f);
  return sent / 10000.0;
}

/* Guards against requests that use the first services on the call path and are
   then rejected because the deep service accepts only a part of the requests
   of their importance, and against throttling without an overload or of
   another workspace.  */
START_TEST (excess_is_throttled_while_overloaded)
{
  ck_assert_double_lt (get_sent_fraction (0, 5), 0.35);
  ck_assert_double_gt (get_sent_fraction (0, 5), 0.2);
  ck_assert_double_eq (get_sent_fraction (0, 0), 1);
  ck_assert_double_eq (get_sent_fraction (FEEDBACK_RULE_THROTTLE, 5), 1);
}
END_TEST

/* Guards against tables that grow without limit with the names that peers
   send.  */
START_TEST (rows_are_bounded_and_expire)
{
  struct feedback f = make_feedback (0);

  f.settings.rows_max = 5;
  for (int i = 0; i < 100; i++)
    {
      char *name = g_strdup_printf ("s%d", i);

      record_responses (&f, str_from_cstr (name), name, 3, 1, i);
      feedback_record_outcome (&f, str_from_cstr (name), STR_EMPTY, 1, true,
                               i);
      g_free (name);
    }
  ck_assert_uint_eq (f.services.count, 5);
  ck_assert_uint_eq (f.routes.count, 5);
  ck_assert_uint_eq (f.flows.count, 5);
  feedback_expire (&f, INT64_MAX / 2);
  ck_assert_uint_eq (f.services.count + f.routes.count + f.flows.count, 0);
  feedback_close (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { level_is_the_maximum_over_the_path,
          one_backend_alone_does_not_set_the_level,
          levels_expire_and_probes_pass, excess_is_throttled_while_overloaded,
          rows_are_bounded_and_expire };

  return suite_run ("feedback", cases, G_N_ELEMENTS (cases));
}
