/* Tests of the admission_urgency module: order by due time, late entries, a
   full queue.  */

#include "admission.h"
#include "suite.h"

#define MS 1000

static const struct admission_ops *
get_ops (void)
{
  return admission_find_ops (STR_LIT ("urgency"));
}

static struct admission_item
make_item (uint64_t job, uint32_t importance, int64_t due_ms,
           int64_t deadline_ms)
{
  return (struct admission_item){ .job = job,
                                  .importance = importance,
                                  .due_us = due_ms * MS,
                                  .deadline_us = deadline_ms * MS,
                                  .expected_us = 10 * MS };
}

static enum err_kind
offer (struct admission *a, struct admission_item item, int64_t now_ms)
{
  uint64_t entry;

  return get_ops ()->offer (a, &item, now_ms * MS, &entry);
}

static uint64_t
run_next (struct admission *a, int64_t now_ms)
{
  struct admission_item item;

  return get_ops ()->next (a, now_ms * MS, &item) ? item.job : 0;
}

/* Guards against a request with a latency target of 100 ms that waits behind
   requests that are due much later.  */
START_TEST (entry_due_first_runs_first)
{
  struct admission_settings s = admission_get_defaults ();
  struct admission *a = get_ops ()->init (&s);

  offer (a, make_item (1, 9, 300, 700), 0);
  offer (a, make_item (2, 9, 300, 700), 0);
  offer (a, make_item (3, 4, 100, 400), 0);
  ck_assert_uint_eq (get_ops ()->get_length (a), 3);
  ck_assert_uint_eq (run_next (a, 1), 3);
  ck_assert_uint_eq (run_next (a, 1), 1);
  ck_assert_uint_eq (run_next (a, 1), 2);
  ck_assert_uint_eq (run_next (a, 1), 0);
  get_ops ()->close (a);
}
END_TEST

/* Guards against slots spent on requests that end after their deadline.  */
START_TEST (entries_that_miss_their_deadline_are_dropped)
{
  struct admission_settings s = admission_get_defaults ();
  struct admission *a = get_ops ()->init (&s);
  struct admission_drop drop;

  ck_assert_int_eq (offer (a, make_item (1, 9, 100, 200), 195),
                    ERR_DEADLINE_NOT_RUN);
  ck_assert_int_eq (offer (a, make_item (2, 9, 100, 200), 0), ERR_NONE);
  ck_assert_int_eq (offer (a, make_item (3, 9, 100, 900), 0), ERR_NONE);
  ck_assert_uint_eq (run_next (a, 195), 3);
  ck_assert (get_ops ()->pop_dropped (a, &drop));
  ck_assert_uint_eq (drop.job, 2);
  ck_assert_int_eq (drop.error, ERR_DEADLINE_NOT_RUN);
  ck_assert_int_eq (offer (a, make_item (4, 9, 100, 200), 0), ERR_NONE);
  get_ops ()->tick (a, 300 * MS);
  ck_assert (get_ops ()->pop_dropped (a, &drop));
  ck_assert_uint_eq (get_ops ()->get_length (a), 0);
  get_ops ()->close (a);
}
END_TEST

/* Guards against slots spent on late entries while others can still meet their
   due time.  Among late entries the one due last runs first: if the one due
   first ran first, each entry of a long queue would be served only just before
   its deadline.  */
START_TEST (late_entries_run_after_timely_ones)
{
  struct admission_settings s = admission_get_defaults ();
  struct admission *a = get_ops ()->init (&s);

  offer (a, make_item (1, 9, 100, 900), 0);
  offer (a, make_item (2, 9, 120, 900), 0);
  offer (a, make_item (3, 9, 300, 900), 0);
  ck_assert_uint_eq (run_next (a, 150), 3);
  ck_assert_uint_eq (run_next (a, 150), 2);
  ck_assert_int_eq (offer (a, make_item (4, 9, 110, 900), 150), ERR_NONE);
  ck_assert_uint_eq (run_next (a, 150), 4);
  ck_assert_uint_eq (run_next (a, 150), 1);
  ck_assert_uint_eq (run_next (a, 150), 0);
  get_ops ()->close (a);
}
END_TEST

/* Guards against a queue that grows without limit, and against an entry that
   is dropped for one that is not more important.  */
START_TEST (full_queue_drops_the_least_important)
{
  struct admission_settings s = admission_get_defaults ();
  struct admission_drop drop;
  struct admission *a;

  s.queue_max = 2;
  a = get_ops ()->init (&s);
  offer (a, make_item (1, 3, 100, 900), 0);
  offer (a, make_item (2, 5, 200, 900), 0);
  ck_assert_int_eq (offer (a, make_item (3, 3, 50, 900), 0), ERR_OVERLOADED);
  ck_assert_int_eq (offer (a, make_item (4, 9, 300, 900), 0), ERR_NONE);
  ck_assert (get_ops ()->pop_dropped (a, &drop));
  ck_assert_uint_eq (drop.job, 1);
  ck_assert_uint_eq (run_next (a, 1), 2);
  ck_assert_uint_eq (run_next (a, 1), 4);
  get_ops ()->close (a);
}
END_TEST

/* Guards against a cancelled entry that is run.  */
START_TEST (removed_entry_is_not_run)
{
  struct admission_settings s = admission_get_defaults ();
  struct admission *a = get_ops ()->init (&s);
  struct admission_item item = make_item (1, 9, 100, 900);
  uint64_t entry;

  get_ops ()->offer (a, &item, 0, &entry);
  ck_assert (get_ops ()->remove (a, entry));
  ck_assert (!get_ops ()->remove (a, entry));
  ck_assert_uint_eq (run_next (a, 1), 0);
  get_ops ()->close (a);
}
END_TEST

/* Guards against a queue that serves every call too late.  Calls with a
   latency target of 300 ms and a timeout of 700 ms arrive at 1.6 times the
   capacity of 42 slots with a service time of 15 ms.  At least half of the
   calls that run have to meet their target.  If late entries were also served
   by earliest due time, each call would wait until just before its deadline,
   and a request with ten calls in sequence would miss its deadline.  */
START_TEST (overload_keeps_answers_in_time)
{
  const struct admission_ops *ops = get_ops ();
  struct admission_settings s = admission_get_defaults ();
  struct admission *a = ops->init (&s);
  struct admission_drop drop;
  uint32_t ran = 0;
  uint32_t in_time = 0;

  for (int64_t ms = 0; ms < 5000; ms += 15)
    {
      for (uint64_t i = 0; i < 67; i++)
        offer (a, make_item (i + 1, 9, ms + 300, ms + 700), ms);
      for (int slot = 0; slot < 42; slot++)
        {
          struct admission_item item;

          if (!ops->next (a, ms * MS, &item))
            break;
          ran++;
          in_time += (ms + 15) * MS <= item.due_us;
        }
      while (ops->pop_dropped (a, &drop))
        ;
    }
  ck_assert_uint_ge (in_time * 2, ran);
  ops->close (a);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { entry_due_first_runs_first,
                                 entries_that_miss_their_deadline_are_dropped,
                                 late_entries_run_after_timely_ones,
                                 full_queue_drops_the_least_important,
                                 removed_entry_is_not_run,
                                 overload_keeps_answers_in_time };

  return suite_run ("admission_urgency", cases, sizeof cases / sizeof *cases);
}
