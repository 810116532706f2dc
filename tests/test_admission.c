/* Tests of the admission module: policies "priority" and "naive" in front of a
   simulated backend server under load.  */

#include "admission.h"
#include "suite.h"

#include <math.h>

#define SEED 20261204
#define SLOTS 20
#define SERVICE_US 20000 /* 20 slots run 1,000 requests a second */
#define STEP_US 1000
#define WORKSPACES 8
#define STEPS 20000

/* Arrivals of one workspace at one importance.  */
struct load
{
  double per_s[WORKSPACES + 1][ADMISSION_IMPORTANCE_COUNT];
  uint32_t weight[WORKSPACES + 1]; /* 0 counts as 1 */
  int64_t timeout_us;
  int64_t run_us;
};

struct result
{
  double offered[WORKSPACES + 1][ADMISSION_IMPORTANCE_COUNT];
  double good[WORKSPACES + 1][ADMISSION_IMPORTANCE_COUNT]; /* ended in time */
  double started;
  double late; /* ended after the deadline: wasted work */
  uint32_t length_max;
};

struct slot
{
  bool busy;
  int64_t started_us;
  int64_t end_us;
  struct admission_item item;
};

static const struct admission_ops *
priority (void)
{
  return admission_find_ops (STR_LIT ("priority"));
}

static const struct admission_ops *
naive (void)
{
  return admission_find_ops (STR_LIT ("naive"));
}

static void
arrive (const struct admission_ops *ops, struct admission *a,
        const struct load *load, struct result *r, GRand *rand, int64_t now_us)
{
  for (uint64_t w = 1; w <= WORKSPACES; w++)
    for (uint32_t i = 0; i < ADMISSION_IMPORTANCE_COUNT; i++)
      {
        double mean = load->per_s[w][i] * STEP_US / 1e6;
        struct admission_item item
            = { .job = 1,
                .workspace = w,
                .weight = load->weight[w],
                .importance = i,
                .deadline_us = now_us + load->timeout_us };
        uint64_t entry;

        /* Two draws with half the mean each allow up to two arrivals per step;
           the mean has to be below 2.  */
        for (int draw = 0; draw < 2; draw++)
          if (g_rand_double (rand) < mean / 2)
            {
              r->offered[w][i]++;
              ops->offer (a, &item, now_us, &entry);
            }
      }
}

static void
serve (const struct admission_ops *ops, struct admission *a,
       struct slot *slots, struct result *r, GRand *rand, int64_t now_us)
{
  struct admission_drop dropped;

  for (int s = 0; s < SLOTS; s++)
    {
      struct slot *slot = &slots[s];

      if (slot->busy && slot->end_us <= now_us)
        {
          slot->busy = false;
          ops->record_completion (a, slot->end_us - slot->started_us, now_us);
          if (slot->end_us > slot->item.deadline_us)
            r->late++;
          else
            r->good[slot->item.workspace][slot->item.importance]++;
        }
      if (slot->busy || !ops->next (a, now_us, &slot->item))
        continue;
      slot->busy = true;
      slot->started_us = now_us;
      slot->end_us
          = now_us
            + (int64_t)(SERVICE_US * g_rand_double_range (rand, 0.8, 1.2));
      r->started++;
    }
  while (ops->pop_dropped (a, &dropped))
    ck_assert_int_ne (dropped.error, ERR_NONE);
}

static struct result
run (const struct admission_ops *ops, uint32_t disabled_rules,
     const struct load *load)
{
  struct admission_settings settings = admission_get_defaults ();
  struct slot slots[SLOTS] = { { 0 } };
  struct result r = { .started = 0 };
  GRand *rand = g_rand_new_with_seed (SEED);
  struct admission *a;

  settings.disabled_rules = disabled_rules;
  a = ops->init (&settings);
  ops->set_limit (a, SLOTS);
  for (int64_t now_us = 0; now_us < load->run_us; now_us += STEP_US)
    {
      arrive (ops, a, load, &r, rand, now_us);
      serve (ops, a, slots, &r, rand, now_us);
      ops->tick (a, now_us);
      r.length_max = MAX (r.length_max, ops->get_length (a));
    }
  ops->close (a);
  g_rand_free (rand);
  return r;
}

/* Returns the fraction of the requests that ended in time, over ranges of
   workspaces and importances.  */
static double
get_good_fraction (const struct result *r, uint64_t w_from, uint64_t w_to,
                   uint32_t i_from, uint32_t i_to)
{
  double offered = 0, good = 0;

  for (uint64_t w = w_from; w <= w_to; w++)
    for (uint32_t i = i_from; i <= i_to; i++)
      {
        offered += r->offered[w][i];
        good += r->good[w][i];
      }
  return good / offered;
}

/* 3,000 requests a second, evenly over importances and workspaces.  */
static struct load
make_load_of_3x_capacity (void)
{
  struct load load = { .timeout_us = 500000, .run_us = 10000000 };

  for (int w = 1; w <= WORKSPACES; w++)
    for (uint32_t i = 0; i < ADMISSION_IMPORTANCE_COUNT; i++)
      load.per_s[w][i] = 3000.0 / WORKSPACES / ADMISSION_IMPORTANCE_COUNT;
  return load;
}

static bool
is_important_work_served (const struct result *r)
{
  return get_good_fraction (r, 1, WORKSPACES, 7, 9) > 0.98
         && get_good_fraction (r, 1, WORKSPACES, 0, 5) < 0.05;
}

/* Guards against less important requests that use the slots of important ones
   at a load of 3 times the capacity (requirement R2 of docs/design.md).  */
START_TEST (important_work_is_served_first)
{
  struct load load = make_load_of_3x_capacity ();
  struct result with_rule = run (priority (), 0, &load);
  struct result without_rule
      = run (priority (), ADMISSION_RULE_IMPORTANCE, &load);
  struct result baseline = run (naive (), 0, &load);

  ck_assert (is_important_work_served (&with_rule));
  ck_assert (!is_important_work_served (&without_rule));
  ck_assert (!is_important_work_served (&baseline));
}
END_TEST

static bool
are_others_served (const struct result *r)
{
  for (uint64_t w = 2; w <= WORKSPACES; w++)
    if (get_good_fraction (r, w, w, 5, 5) < 0.95)
      return false;
  return true;
}

/* Guards against a workspace at 6 times its share that uses the slots of the
   workspaces within their share.  */
START_TEST (workspace_above_its_share_does_not_hurt_others)
{
  struct load load = { .timeout_us = 200000, .run_us = 10000000 };
  struct result with_rule, without_rule, baseline;

  for (int w = 1; w <= WORKSPACES; w++)
    load.per_s[w][5] = 110;
  load.per_s[1][5] *= 6;
  with_rule = run (priority (), 0, &load);
  without_rule = run (priority (), ADMISSION_RULE_FAIRNESS, &load);
  baseline = run (naive (), 0, &load);
  ck_assert (are_others_served (&with_rule));
  ck_assert (!are_others_served (&without_rule));
  ck_assert (!are_others_served (&baseline));
}
END_TEST

/* Guards against a workspace that gets a full share at each importance: after
   it has used its share with important requests, it must not use the slots of
   others for less important ones.  */
START_TEST (share_counts_over_all_importances)
{
  struct load load = { .timeout_us = 200000, .run_us = 10000000 };
  struct result with_rule, without_rule;

  load.per_s[1][7] = 500;
  load.per_s[1][3] = 500;
  for (int w = 2; w <= WORKSPACES; w++)
    load.per_s[w][3] = 75;
  with_rule = run (priority (), 0, &load);
  without_rule = run (priority (), ADMISSION_RULE_FAIRNESS, &load);
  ck_assert_double_gt (get_good_fraction (&with_rule, 2, WORKSPACES, 3, 3),
                       0.88);
  ck_assert_double_lt (get_good_fraction (&without_rule, 2, WORKSPACES, 3, 3),
                       0.88);
  ck_assert_double_gt (get_good_fraction (&with_rule, 1, 1, 7, 7), 0.95);
}
END_TEST

/* Guards against slots that are idle although a workspace could use the unused
   share of others, and against weights that are ignored.  */
START_TEST (unused_share_is_available_to_others_and_weights_apply)
{
  struct load load = { .timeout_us = 200000, .run_us = 10000000 };
  struct result r;

  load.per_s[1][5] = 1500;
  r = run (priority (), 0, &load);
  ck_assert_double_gt (r.good[1][5], 9500);
  load.per_s[2][5] = 1500;
  load.weight[2] = 3;
  r = run (priority (), 0, &load);
  ck_assert_double_eq_tol (r.good[2][5] / r.good[1][5], 3, 0.3);
}
END_TEST

/* Guards against slots spent on requests that end after their deadline.  */
START_TEST (work_that_misses_its_deadline_is_not_started)
{
  struct load load = make_load_of_3x_capacity ();
  struct result with_rule, without_rule, baseline;

  load.timeout_us = 100000;
  with_rule = run (priority (), 0, &load);
  without_rule = run (priority (), ADMISSION_RULE_DEADLINE, &load);
  baseline = run (naive (), 0, &load);
  ck_assert_double_lt (with_rule.late, 0.02 * with_rule.started);
  ck_assert_double_gt (without_rule.late, 0.02 * without_rule.started);
  ck_assert_double_gt (baseline.late, 0.02 * baseline.started);
}
END_TEST

/* Guards against a queue that grows without limit, and against a full queue
   that rejects an important request while it contains a less important
   one.  */
START_TEST (full_queue_drops_the_least_important)
{
  struct admission_settings settings = admission_get_defaults ();
  struct admission_item item
      = { .job = 1, .importance = 2, .deadline_us = 1000 };
  struct admission_drop dropped;
  struct admission *a;
  uint64_t entry;

  settings.queue_max = 2;
  a = priority ()->init (&settings);
  ck_assert_int_eq (priority ()->offer (a, &item, 0, &entry), ERR_NONE);
  ck_assert_int_eq (priority ()->offer (a, &item, 0, &entry), ERR_NONE);
  ck_assert_int_eq (priority ()->offer (a, &item, 0, &entry), ERR_OVERLOADED);
  ck_assert (!priority ()->pop_dropped (a, &dropped));
  item.importance = 3;
  item.job = 2;
  ck_assert_int_eq (priority ()->offer (a, &item, 0, &entry), ERR_NONE);
  ck_assert (priority ()->pop_dropped (a, &dropped));
  ck_assert_uint_eq (dropped.job, 1);
  ck_assert_int_eq (dropped.error, ERR_OVERLOADED);
  ck_assert_uint_eq (priority ()->get_length (a), 2);
  priority ()->close (a);

  settings.disabled_rules = ADMISSION_RULE_QUEUE_LIMIT;
  a = priority ()->init (&settings);
  for (int i = 0; i < 3; i++)
    priority ()->offer (a, &item, 0, &entry);
  ck_assert_uint_gt (priority ()->get_length (a), settings.queue_max);
  priority ()->close (a);
}
END_TEST

/* Guards against a threshold that does not fall after the overload has
   ended.  */
START_TEST (threshold_rises_and_falls)
{
  struct admission_settings settings = admission_get_defaults ();
  struct admission *a = priority ()->init (&settings);
  struct admission_item item = { .importance = 4, .deadline_us = INT64_MAX };
  int64_t now_us = 0;
  uint64_t entry;

  for (; now_us < 5000000; now_us += STEP_US)
    {
      item.importance = now_us / STEP_US % 2 == 0 ? 4 : 1;
      priority ()->offer (a, &item, now_us, &entry);
      if (now_us / STEP_US % 2 == 0)
        priority ()->next (a, now_us, &item);
      priority ()->tick (a, now_us);
    }
  ck_assert_uint_ge (priority ()->get_threshold (a), 1);
  ck_assert_uint_le (priority ()->get_threshold (a), 4);
  while (priority ()->next (a, now_us, &item))
    ;
  for (; now_us < 10000000; now_us += STEP_US)
    priority ()->tick (a, now_us);
  ck_assert_uint_eq (priority ()->get_threshold (a), 0);
  priority ()->close (a);
}
END_TEST

/* Guards against a job that leaves the queue twice or never: its caller would
   get two answers or none.  */
static void
check_each_job_leaves_the_queue_once (const struct admission_ops *ops)
{
  struct admission_settings settings = admission_get_defaults ();
  GRand *rand = g_rand_new_with_seed (SEED);
  uint8_t *outcomes = g_new0 (uint8_t, STEPS);
  uint64_t *entries = g_new0 (uint64_t, STEPS);
  struct admission_item item;
  struct admission_drop dropped;
  struct admission *a;

  settings.queue_max = 50;
  a = ops->init (&settings);
  ops->set_limit (a, 1);
  for (uint64_t i = 0; i < STEPS; i++)
    {
      int64_t now_us = (int64_t)i * STEP_US;
      uint64_t cancelled = (uint64_t)g_rand_int_range (rand, 0, (gint32)i + 1);

      item = (struct admission_item){
        .job = i,
        .workspace = (uint64_t)g_rand_int_range (rand, 0, 5),
        .importance = (uint32_t)g_rand_int_range (rand, 0, 12),
        .deadline_us = now_us + g_rand_int_range (rand, 0, 200000)
      };
      if (ops->offer (a, &item, now_us, &entries[i]) != ERR_NONE)
        outcomes[i]++;
      if (entries[cancelled] != 0 && ops->remove (a, entries[cancelled]))
        outcomes[cancelled]++;
      if (i % 3 == 0 && ops->next (a, now_us, &item))
        {
          outcomes[item.job]++;
          ops->record_completion (a, g_rand_int_range (rand, 0, 5000), now_us);
        }
      ops->tick (a, now_us);
      while (ops->pop_dropped (a, &dropped))
        outcomes[dropped.job]++;
    }
  while (ops->next (a, 0, &item))
    outcomes[item.job]++;
  for (uint64_t i = 0; i < STEPS; i++)
    ck_assert_uint_eq (outcomes[i], 1);
  ops->close (a);
  g_free (outcomes);
  g_free (entries);
  g_rand_free (rand);
}

START_TEST (each_job_leaves_the_queue_once)
{
  check_each_job_leaves_the_queue_once (priority ());
  check_each_job_leaves_the_queue_once (naive ());
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { important_work_is_served_first,
          workspace_above_its_share_does_not_hurt_others,
          share_counts_over_all_importances,
          unused_share_is_available_to_others_and_weights_apply,
          work_that_misses_its_deadline_is_not_started,
          full_queue_drops_the_least_important,
          threshold_rises_and_falls,
          each_job_leaves_the_queue_once };

  return suite_run ("admission", cases, G_N_ELEMENTS (cases));
}
