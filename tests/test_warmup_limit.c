/* Tests of warmup_limit in virtual time: one cold backend server with many
   senders, and a whole fleet that returns cold.  */

#include "route.h"
#include "suite.h"
#include "warmup_limit.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define MS 1000
#define S (1000 * (int64_t)MS)
#define PER_S 11.0 /* requests that a cold backend server tolerates */
#define SLACK 8    /* of the bound: for reports that arrive late */
#define BOUND ((uint32_t)(PER_S * WARMUP_LIMIT_OVERAGE_DEFAULT) + SLACK)
#define COLD_US (3 * S)
#define STEP_US (5 * MS)

/* Internal functions */

static gint
compare_times (gconstpointer p, gconstpointer q)
{
  int64_t a = *(const int64_t *)p;
  int64_t b = *(const int64_t *)q;

  return a < b ? -1 : a > b;
}

/* Returns the largest number of the times, in any order, in one sliding
   second.  */
static uint32_t
get_most_in_a_second (GArray *times)
{
  uint32_t most = 0;
  guint first = 0;

  g_array_sort (times, compare_times);
  for (guint i = 0; i < times->len; i++)
    {
      while (g_array_index (times, int64_t, i)
                 - g_array_index (times, int64_t, first)
             >= S)
        first++;
      most = MAX (most, i - first + 1);
    }
  return most;
}

static struct warmup_limit *
make_limit (int64_t now_us)
{
  struct warmup_limit *l = g_new (struct warmup_limit, 1);

  warmup_limit_init (l, now_us);
  warmup_limit_set_rate (l, PER_S, WARMUP_LIMIT_OVERAGE_DEFAULT);
  return l;
}

/* Cases */

/* Guards against a cold backend server that gets more than it tolerates from
   many senders, also if its daemon is restarted, if it restarts without a
   report, and if requests arrive up to 50 ms after they were sent.  */
START_TEST (no_sliding_second_exceeds_the_bound)
{
  for (guint32 seed = 1; seed <= 40; seed++)
    {
      GRand *rand = g_rand_new_with_seed (seed);
      GArray *arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
      struct warmup_limit *l = make_limit (0);
      int64_t cold_until_us = COLD_US;

      for (int64_t now = 0; now < 30 * S; now += STEP_US)
        {
          uint32_t waiting = (uint32_t)g_rand_int_range (rand, 0, 82);

          if (g_rand_int_range (rand, 0, 600) == 0)
            warmup_limit_init (l, now); /* the daemon restarts */
          if (l->per_window == 0)
            warmup_limit_set_rate (l, PER_S, WARMUP_LIMIT_OVERAGE_DEFAULT);
          if (g_rand_int_range (rand, 0, 400) == 0)
            {
              /* The backend server restarts, and a connection breaks.  */
              cold_until_us = now + COLD_US;
              warmup_limit_forget (l, now);
              g_array_set_size (arrivals, 0);
            }
          if (now % (1500 * MS) == 0)
            warmup_limit_report (l, MAX (cold_until_us - now, 0), now);
          for (uint32_t allowance = warmup_limit_get_allowance (l, now);
               waiting > 0 && allowance > 0; waiting--, allowance--)
            {
              int64_t at = now + g_rand_int_range (rand, 0, 50 * MS);

              warmup_limit_record_send (l, now);
              if (at < cold_until_us)
                g_array_append_val (arrivals, at);
            }
          ck_assert_uint_le (get_most_in_a_second (arrivals), BOUND - SLACK);
          if (arrivals->len > 4 * BOUND)
            g_array_remove_range (arrivals, 0, 2 * BOUND);
        }
      g_array_unref (arrivals);
      g_free (l);
      g_rand_free (rand);
    }
}
END_TEST

/* Guards against a state that is taken for warm without a report: at the
   start, after a restart without a report, and by a report that was under way
   at that moment; and against a limit where none is configured.  */
START_TEST (unknown_state_is_cold)
{
  struct warmup_limit *l = make_limit (0);

  ck_assert (warmup_limit_is_cold (l, 3600 * S));
  warmup_limit_report (l, 0, 10 * S);
  ck_assert (!warmup_limit_is_cold (l, 10 * S));
  ck_assert_uint_eq (warmup_limit_get_allowance (l, 10 * S), UINT32_MAX);
  warmup_limit_forget (l, 11 * S);
  warmup_limit_report (l, 0, 11 * S + 10 * MS);
  ck_assert (warmup_limit_is_cold (l, 12 * S));
  warmup_limit_report (l, 500 * MS, 12 * S);
  ck_assert (warmup_limit_is_cold (l, 12 * S + 499 * MS));
  ck_assert (!warmup_limit_is_cold (l, 12 * S + 500 * MS));
  warmup_limit_forget (l, 13 * S);
  warmup_limit_report (l, 0, 14 * S);
  ck_assert (!warmup_limit_is_cold (l, 14 * S));
  warmup_limit_forget (l, 15 * S);
  warmup_limit_set_rate (l, 0, WARMUP_LIMIT_OVERAGE_DEFAULT);
  ck_assert (!warmup_limit_is_cold (l, 16 * S));
  g_free (l);
}
END_TEST

/* Guards against sends before a cold state that are not counted in it, and
   against a new process that takes the window for empty.  */
START_TEST (earlier_sends_count)
{
  struct warmup_limit *l = make_limit (0);

  ck_assert_uint_eq (warmup_limit_get_allowance (l, S), 0);
  ck_assert_uint_eq (warmup_limit_get_allowance (l, WARMUP_LIMIT_WINDOW_US),
                     16);
  warmup_limit_report (l, 0, 5 * S);
  for (int i = 0; i < 10; i++)
    warmup_limit_record_send (l, 5 * S);
  warmup_limit_forget (l, 5 * S);
  ck_assert_uint_eq (warmup_limit_get_allowance (l, 5 * S), 6);
  ck_assert_int_eq (warmup_limit_get_send_time (l, 5, 5 * S), 5 * S);
  ck_assert_int_eq (warmup_limit_get_send_time (l, 6, 5 * S),
                    5 * S + WARMUP_LIMIT_WINDOW_US);
  ck_assert_int_eq (warmup_limit_get_send_time (l, 16, 5 * S),
                    5 * S + WARMUP_LIMIT_WINDOW_US);
  warmup_limit_report (l, 300 * MS, 5 * S);
  ck_assert_int_eq (warmup_limit_get_send_time (l, 40, 5 * S),
                    5 * S + 300 * MS);
  g_free (l);
}
END_TEST

/* Guards against requests that wait at a backend server that is down because
   those before them, which never reached it, fill the window, and against a
   send that is forgotten in their place.  */
START_TEST (sends_that_did_not_arrive_do_not_count)
{
  struct warmup_limit *l = make_limit (-10 * S);

  warmup_limit_record_send (l, 100 * MS);
  for (int i = 0; i < 15; i++)
    warmup_limit_record_send (l, 200 * MS + i);
  ck_assert_uint_eq (warmup_limit_get_allowance (l, 300 * MS), 0);
  warmup_limit_cancel_send (l, 200 * MS);
  warmup_limit_cancel_send (l, 200 * MS + 14);
  warmup_limit_cancel_send (l, 200 * MS + 7);
  warmup_limit_cancel_send (l, 999 * MS);
  ck_assert_uint_eq (warmup_limit_get_allowance (l, 300 * MS), 3);
  ck_assert_int_eq (warmup_limit_get_send_time (l, 3, 300 * MS),
                    100 * MS + WARMUP_LIMIT_WINDOW_US);
  g_free (l);
}
END_TEST

/* Guards against less important work that goes first, and against requests
   that wait here although they cannot be in time.  */
START_TEST (important_work_starts_and_hopeless_work_is_refused)
{
  struct warmup_limit *l = make_limit (-10 * S);
  struct warmup_limit_item items[40];
  uint32_t counts[3] = { 0 };

  for (uint32_t i = 0; i < 40; i++)
    items[i] = (struct warmup_limit_item){ .id = i,
                                           .importance = i % 10,
                                           .due_us = 500 * MS,
                                           .deadline_us = 2 * S,
                                           .expected_us = 20 * MS };
  /* Its latency target has ended, so it is worth sending until its deadline.  */
  items[9].due_us = -S;
  /* The least important one has the time to wait for the next window.  */
  items[0].due_us = 3 * S;
  warmup_limit_decide (l, items, 40, 0);
  for (uint32_t i = 0; i < 40; i++)
    {
      counts[items[i].decision]++;
      if (items[i].decision == WARMUP_LIMIT_START)
        ck_assert_uint_ge (items[i].importance, 6);
    }
  warmup_limit_decide (l, NULL, 0, 0); /* an empty queue */
  ck_assert_uint_eq (counts[WARMUP_LIMIT_START], 16);
  ck_assert_uint_eq (counts[WARMUP_LIMIT_WAIT], 1);
  ck_assert_uint_eq (counts[WARMUP_LIMIT_REFUSE], 23);
  g_free (l);
}
END_TEST

/* Guards against an endpoint that gets nothing after its warm-up, although the
   others have little room left: a sender keeps the limit of the last report,
   and without requests there is no other.  */
START_TEST (endpoint_is_used_again_after_its_warm_up)
{
  struct warmup_limit *l = make_limit (0);
  uint32_t limit = warmup_limit_get_concurrency (l, 40, 25 * MS);
  const struct route_ops *ops = route_find_ops (STR_LIT ("least_loaded"));
  struct route_pool p;
  int used = 0;

  route_init_pool (&p, 9, 0, 1);
  for (uint64_t member = 1; member <= 2; member++)
    {
      route_set_endpoint (&p, member, 0, -60 * S);
      route_record_send (&p, member, 0);
    }
  route_record_response (&p, 1, 0, limit, 1000, 0, 0);
  for (int i = 0; i < 100; i++)
    {
      int64_t now = 5 * S + i * MS;

      route_record_response (&p, 2, 30, 40, 1000, now, now);
      used += ops->choose (&p, NULL, 0, now) == 1;
      route_record_send (&p, 2, now);
    }
  ck_assert_int_ge (used, 50);
  ck_assert_uint_le (limit, 20);
  route_close_pool (&p);
  g_free (l);
}
END_TEST

/* A fleet that returns cold.  A backend server that gets more than the bound in
   a second while cold crashes and is cold again.  */

#define ENDPOINTS 24
#define ARRIVALS_PER_S 720 /* three quarters of the warm capacity */
#define WARM_PER_S 40
#define ATTEMPTS 4
#define TARGET_US (1 * S)
#define QUEUE_MAX 256
#define RESTART_US (2 * S) /* from a crash to the next boot */

struct endpoint
{
  struct warmup_limit *limit;
  int64_t cold_until_us;
  int64_t next_report_us;
  int64_t free_us; /* when a warm one can take the next request */
  uint32_t waiting_len;
  struct warmup_limit_item waiting[QUEUE_MAX];
  uint32_t attempts[QUEUE_MAX]; /* by id modulo the size */
  uint32_t recent;              /* arrivals in this second */
  int64_t second_us;
};

struct fleet
{
  GRand *rand;
  uint64_t next_id;
  uint32_t crashes;
  uint32_t sent[40][2], served[40][2]; /* by second; 1: most important */
  struct endpoint endpoints[ENDPOINTS];
};

static void offer (struct fleet *f, struct warmup_limit_item item,
                   uint32_t attempts, int64_t now);

static void
serve (struct fleet *f, struct endpoint *e,
       const struct warmup_limit_item *item, int64_t now)
{
  int64_t arrived_us = item->due_us - TARGET_US;

  warmup_limit_record_send (e->limit, now);
  if (now - e->second_us >= S)
    {
      e->second_us = now;
      e->recent = 0;
    }
  if (now < e->cold_until_us && ++e->recent > BOUND)
    {
      f->crashes++;
      e->free_us = now + RESTART_US;
      e->cold_until_us = e->free_us + COLD_US;
      e->recent = 0;
      warmup_limit_forget (e->limit, now);
      return;
    }
  e->free_us = MAX (e->free_us, now) + S / WARM_PER_S;
  if (e->free_us <= item->due_us)
    f->served[arrived_us / S][item->importance == 9]++;
}

static void
run_endpoint (struct fleet *f, struct endpoint *e, int64_t now)
{
  struct warmup_limit_item items[QUEUE_MAX];
  uint32_t len = e->waiting_len;

  if (now >= e->next_report_us)
    {
      warmup_limit_report (e->limit, MAX (e->cold_until_us - now, 0), now);
      e->next_report_us += 1500 * MS;
    }
  memcpy (items, e->waiting, len * sizeof *items);
  warmup_limit_decide (e->limit, items, len, now);
  e->waiting_len = 0;
  for (uint32_t i = 0; i < len; i++)
    {
      bool warm = !warmup_limit_is_cold (e->limit, now);

      if (items[i].decision == WARMUP_LIMIT_REFUSE)
        offer (f, items[i], e->attempts[items[i].id % QUEUE_MAX] + 1, now);
      else if (items[i].decision == WARMUP_LIMIT_START
               && (!warm || e->free_us < now + STEP_US))
        serve (f, e, &items[i], now);
      else if (items[i].due_us > now)
        e->waiting[e->waiting_len++] = items[i];
    }
}

static void
offer (struct fleet *f, struct warmup_limit_item item, uint32_t attempts,
       int64_t now)
{
  struct endpoint *e = &f->endpoints[g_rand_int_range (f->rand, 0, ENDPOINTS)];

  if (attempts > ATTEMPTS || e->waiting_len == QUEUE_MAX)
    return;
  e->attempts[item.id % QUEUE_MAX] = attempts;
  e->waiting[e->waiting_len++] = item;
}

static void
run_fleet (struct fleet *f, bool limited)
{
  *f = (struct fleet){ .rand = g_rand_new_with_seed (7) };
  for (int i = 0; i < ENDPOINTS; i++)
    {
      struct endpoint *e = &f->endpoints[i];

      e->limit = make_limit (-2 * S);
      if (!limited)
        warmup_limit_set_rate (e->limit, 0, WARMUP_LIMIT_OVERAGE_DEFAULT);
      e->cold_until_us = COLD_US;
      e->next_report_us = g_rand_int_range (f->rand, 0, 1500 * MS);
    }
  for (int64_t now = 0; now < 30 * S; now += STEP_US)
    {
      while (f->next_id < (uint64_t)(ARRIVALS_PER_S * now / S))
        {
          struct warmup_limit_item item
              = { .id = f->next_id++,
                  .importance = (uint32_t)g_rand_int_range (f->rand, 0, 10),
                  .due_us = now + TARGET_US,
                  .deadline_us = now + 2 * S,
                  .expected_us = S / WARM_PER_S };

          f->sent[now / S][item.importance == 9]++;
          offer (f, item, 1, now);
        }
      for (int i = 0; i < ENDPOINTS; i++)
        run_endpoint (f, &f->endpoints[i], now);
    }
  for (int i = 0; i < ENDPOINTS; i++)
    g_free (f->endpoints[i].limit);
  g_rand_free (f->rand);
}

/* Guards against a fleet that returns cold and crashes again and again under
   its first requests, and against one that starts with any work but the most
   important.  Without the limit the fault is found.  */
START_TEST (cold_fleet_starts_with_the_most_important_work)
{
  struct fleet *f = g_new (struct fleet, 1);

  run_fleet (f, true);
  ck_assert_uint_eq (f->crashes, 0);
  for (int s = 1; s < 29; s++)
    ck_assert_msg (f->served[s][1] * 100 >= f->sent[s][1] * 95,
                   "second %d: %u of %u of the most important", s,
                   f->served[s][1], f->sent[s][1]);
  for (int s = 15; s < 29; s++)
    ck_assert_msg (f->served[s][0] * 100 >= f->sent[s][0] * 99,
                   "second %d: %u of %u of the others", s, f->served[s][0],
                   f->sent[s][0]);
  run_fleet (f, false);
  ck_assert_uint_gt (f->crashes, ENDPOINTS);
  ck_assert_uint_lt (f->served[20][0] * 2, f->sent[20][0]);
  g_free (f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { no_sliding_second_exceeds_the_bound,
          unknown_state_is_cold,
          earlier_sends_count,
          sends_that_did_not_arrive_do_not_count,
          important_work_starts_and_hopeless_work_is_refused,
          endpoint_is_used_again_after_its_warm_up,
          cold_fleet_starts_with_the_most_important_work };

  return suite_run ("warmup_limit", cases, G_N_ELEMENTS (cases));
}
