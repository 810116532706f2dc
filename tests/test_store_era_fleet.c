/* Tests of the store_era module in virtual time: 1,000 daemons whose store is
   restored, some of which do not answer.  */

#include "store_era.h"
#include "suite.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Constants */

#define DAEMONS 1000
#define STEP_US INT64_C (10000)
#define SECOND_US ((int64_t)CLOCK_US_PER_S)
/* Time in which all daemons hear of the era.  */
#define NEWS_US INT64_C (50000)
/* In each tenth of the second over which calls are spread, at most one and a
   half times the even rate: a read by each daemon, a write by a tenth.  */
#define WINDOW_US (STORE_ERA_SPREAD_US / 10)
#define WINDOW_CALLS_MAX (DAEMONS * 11 / 10 / 10 * 3 / 2)
/* Time after which a daemon is known not to answer.  */
#define SILENCE_US (3 * SECOND_US)

/* State */

struct node
{
  char name[16];
  uint64_t hash;
  struct store_era era;
  bool alive;
  int64_t hears_us;     /* when it hears of the newest era */
  uint64_t checked_era; /* in which it has read its entry */
};

struct entry
{
  bool present;
  int writes; /* since the last restore */
  int writer; /* of the last one */
};

struct fleet
{
  struct node nodes[DAEMONS];
  struct entry entries[DAEMONS];
  uint64_t store_era;
  int64_t restored_us;
  int calls;      /* in this window */
  int most_calls; /* in one window */
  int reads, writes;
  int64_t due_us[DAEMONS][DAEMONS]; /* by silent and by looking daemon */
};

/* Internal functions */

static struct fleet *
make_fleet (void)
{
  struct fleet *f = g_new0 (struct fleet, 1);

  f->store_era = 1;
  for (int i = 0; i < DAEMONS; i++)
    {
      struct node *n = &f->nodes[i];

      g_snprintf (n->name, sizeof n->name, "n-%d", i);
      n->hash = str_hash (str_from_cstr (n->name));
      n->alive = true;
      store_era_record_answer (&n->era, 1, true, str_from_cstr (n->name), 0);
      n->checked_era = 1;
      f->entries[i].present = true;
    }
  return f;
}

/* Restores the store from a copy that lacks every `nth` entry.  */
static void
restore (struct fleet *f, int nth, int64_t now_us)
{
  f->store_era++;
  f->restored_us = now_us;
  for (int i = 0; i < DAEMONS; i++)
    {
      f->entries[i] = (struct entry){ .present = i % nth != 0, .writer = -1 };
      f->nodes[i].hears_us = now_us + (i * 7919 % 100) * NEWS_US / 100;
    }
}

static void
call (struct fleet *f)
{
  f->calls++;
  f->most_calls = MAX (f->most_calls, f->calls);
}

static void
write_entry (struct fleet *f, int i, int writer)
{
  call (f);
  f->writes++;
  f->entries[i].present = true;
  f->entries[i].writes++;
  f->entries[i].writer = writer;
}

/* A daemon that answers reads its own entry, and writes it if it is lost.  */
static void
run_own (struct fleet *f, int i, int64_t now_us)
{
  struct node *n = &f->nodes[i];

  if (now_us >= n->hears_us)
    store_era_record_peer (&n->era, f->store_era, str_from_cstr (n->name),
                           now_us);
  if (n->checked_era == n->era.seen || now_us < n->era.calls_us)
    return;
  ck_assert_int_eq (store_era_judge (&n->era, STORE_ERA_ANY, f->store_era),
                    n->era.seen < f->store_era ? STORE_ERA_NEW
                                               : STORE_ERA_CURRENT);
  call (f);
  f->reads++;
  if (n->era.seen < f->store_era)
    return;
  n->checked_era = n->era.seen;
  if (!f->entries[i].present)
    write_entry (f, i, i);
}

/* Computes when each live daemon looks for the entry of one that does not
   answer.  */
static void
set_due (struct fleet *f, int lost, const uint64_t *live, uint32_t live_len)
{
  for (int i = 0; i < DAEMONS; i++)
    f->due_us[lost][i] = f->restored_us + SILENCE_US
                         + store_era_get_rank_delay (store_era_get_rank (
                             f->nodes[lost].hash, f->nodes[i].hash,
                             f->store_era, live, live_len));
}

/* The live daemons write the entry of one that does not answer.  */
static void
run_lost (struct fleet *f, int lost, int64_t now_us)
{
  for (int i = 0; i < DAEMONS && !f->entries[lost].present; i++)
    if (f->nodes[i].alive && now_us >= f->due_us[lost][i])
      write_entry (f, lost, i);
}

/* `live` is what the daemons took for live when the members became silent.  */
static void
run (struct fleet *f, int64_t from_us, int64_t to_us, const uint64_t *live,
     uint32_t live_len)
{
  for (int i = 0; live != NULL && i < DAEMONS; i++)
    if (!f->nodes[i].alive)
      set_due (f, i, live, live_len);
  for (int64_t now_us = from_us; now_us < to_us; now_us += STEP_US)
    {
      if (now_us % WINDOW_US == 0)
        f->calls = 0;
      for (int i = 0; i < DAEMONS; i++)
        if (f->nodes[i].alive)
          run_own (f, i, now_us);
        else if (live != NULL && !f->entries[i].present)
          run_lost (f, i, now_us);
    }
}

static uint32_t
get_live (const struct fleet *f, uint64_t live[DAEMONS])
{
  uint32_t len = 0;

  for (int i = 0; i < DAEMONS; i++)
    if (f->nodes[i].alive)
      live[len++] = f->nodes[i].hash;
  return len;
}

/* Guards against a success that an assigned-again revision has caused, against
   an answer of an earlier era that is used, and against an effect on a store
   without eras.  */
START_TEST (answers_are_judged_by_era)
{
  static const struct
  {
    uint64_t seen, number, answer;
    bool answered;
    enum store_era_verdict verdict;
  } rows[] = {
    { 0, 0, 0, true, STORE_ERA_CURRENT },
    { 0, STORE_ERA_ANY, 0, false, STORE_ERA_CURRENT },
    { 0, STORE_ERA_ANY, 7, false, STORE_ERA_CURRENT }, /* first answer */
    { 0, 0, 1, true, STORE_ERA_NEW }, /* the first one with an era */
    { 7, 7, 7, true, STORE_ERA_CURRENT },
    { 7, 6, 7, true, STORE_ERA_CROSSED },
    { 7, 7, 8, true, STORE_ERA_NEW },
    { 7, STORE_ERA_ANY, 8, true, STORE_ERA_NEW },
    { 7, STORE_ERA_ANY, 8, false, STORE_ERA_NEW }, /* told by a daemon */
    { 7, 7, 6, true, STORE_ERA_OLD },
    { 7, STORE_ERA_ANY, 6, true, STORE_ERA_OLD },
    { 7, 7, 0, true, STORE_ERA_CURRENT },
    { 7, 6, 0, true, STORE_ERA_CROSSED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct store_era e
          = { .seen = rows[i].seen, .answered = rows[i].answered };

      ck_assert_msg (store_era_judge (&e, rows[i].number, rows[i].answer)
                         == rows[i].verdict,
                     "row %zu", i);
    }
}
END_TEST

/* Guards against a repair without a restore: at the first answer, because
   something in front of the store refuses a call, or by a repeated state.  */
START_TEST (only_a_higher_era_is_a_restore)
{
  struct store_era e = { 0 };
  struct str name = STR_LIT ("n");

  ck_assert (!store_era_record_answer (&e, 0, false, name, 1));
  ck_assert (!store_era_record_answer (&e, 4, true, name, 1));
  ck_assert (!store_era_record_answer (&e, 0, false, name, 1));
  ck_assert (!store_era_record_peer (&e, 4, name, 1));
  ck_assert (!store_era_record_peer (&e, 0, name, 1));
  ck_assert (store_era_record_peer (&e, 5, name, 1));
  ck_assert (!store_era_record_answer (&e, 5, true, name, 1));
  ck_assert (store_era_record_answer (&e, 6, true, name, 1));
  ck_assert_uint_eq (e.raises, 2);
  e = (struct store_era){ 0 };
  ck_assert (!store_era_record_answer (&e, 0, true, name, 1));
  ck_assert (store_era_record_answer (&e, 1, true, name, 1));
}
END_TEST

/* Guards against a fleet that calls the store at once, and against entries that
   nobody, or more than the daemon itself, writes.  */
START_TEST (calls_are_spread_and_each_entry_is_written_once)
{
  struct fleet *f = make_fleet ();

  restore (f, 10, SECOND_US);
  run (f, SECOND_US, 4 * SECOND_US, NULL, 0);
  ck_assert_int_eq (f->reads, DAEMONS);
  ck_assert_int_eq (f->writes, DAEMONS / 10);
  ck_assert_int_le (f->most_calls, WINDOW_CALLS_MAX);
  for (int i = 0; i < DAEMONS; i++)
    {
      ck_assert (f->entries[i].present);
      ck_assert_int_eq (f->entries[i].writes, i % 10 == 0);
      ck_assert (i % 10 != 0 || f->entries[i].writer == i);
    }
  g_free (f);
}
END_TEST

/* Guards against entries of daemons that do not answer that nobody writes, or
   many: the first by rank does, and if it has ended unnoticed, the second.  */
START_TEST (lost_entry_of_a_silent_daemon_is_written_once)
{
  struct fleet *f = make_fleet ();
  uint64_t live[DAEMONS];
  uint32_t live_len;

  for (int i = 0; i < DAEMONS; i += 5)
    f->nodes[i].alive = false;
  live_len = get_live (f, live);
  for (int i = 1; i < DAEMONS; i += 50)
    f->nodes[i].alive = false;
  restore (f, 5, SECOND_US);
  run (f, SECOND_US, 30 * SECOND_US, live, live_len);
  for (int i = 0; i < DAEMONS; i += 5)
    {
      uint32_t higher;

      ck_assert_int_eq (f->entries[i].writes, 1);
      higher = store_era_get_rank (f->nodes[i].hash,
                                   f->nodes[f->entries[i].writer].hash,
                                   f->store_era, live, live_len);
      for (int k = 0; k < DAEMONS; k++)
        if (f->nodes[k].alive)
          ck_assert_uint_ge (store_era_get_rank (f->nodes[i].hash,
                                                 f->nodes[k].hash,
                                                 f->store_era, live, live_len),
                             higher);
    }
  g_free (f);
}
END_TEST

/* Guards against a second restore during the repair that leaves entries lost,
   and against calls that are not spread then.  */
START_TEST (second_restore_starts_the_repair_again)
{
  struct fleet *f = make_fleet ();

  restore (f, 10, SECOND_US);
  run (f, SECOND_US, SECOND_US * 3 / 2, NULL, 0);
  restore (f, 7, SECOND_US * 3 / 2);
  f->most_calls = 0;
  run (f, SECOND_US * 3 / 2, 5 * SECOND_US, NULL, 0);
  ck_assert_int_le (f->most_calls, 2 * WINDOW_CALLS_MAX);
  for (int i = 0; i < DAEMONS; i++)
    {
      ck_assert_uint_eq (f->nodes[i].checked_era, 3);
      ck_assert (f->entries[i].present);
      ck_assert_int_eq (f->entries[i].writes, i % 7 == 0);
    }
  g_free (f);
}
END_TEST

/* Guards against a paused daemon that, when it runs again, takes what it knows
   of the store for valid.  */
START_TEST (paused_daemon_repairs_when_it_runs_again)
{
  struct fleet *f = make_fleet ();
  struct node *n = &f->nodes[10];

  n->alive = false;
  restore (f, 10, SECOND_US);
  run (f, SECOND_US, 2 * SECOND_US, NULL, 0);
  n->alive = true;
  ck_assert_int_eq (store_era_judge (&n->era, 1, f->store_era), STORE_ERA_NEW);
  run (f, 2 * SECOND_US, 5 * SECOND_US, NULL, 0);
  ck_assert_uint_eq (n->checked_era, 2);
  ck_assert_int_eq (f->entries[10].writer, 10);
  g_free (f);
}
END_TEST

/* Guards against a daemon that uses the store before it has heard the others,
   and against one that waits for VMs that no longer exist.  */
START_TEST (start_waits_for_the_others_for_a_while)
{
  struct store_era_start s
      = { .answered_us = SECOND_US, .unheard = 3, .state_us = 500000 };

  ck_assert (store_era_is_waiting (&s, SECOND_US + 900000));
  ck_assert (!store_era_is_waiting (&s, SECOND_US + STORE_ERA_START_MAX_US));
  s.listed = true;
  s.listed_us = SECOND_US + 100000;
  ck_assert (store_era_is_waiting (&s, SECOND_US + 600000));
  ck_assert (!store_era_is_waiting (&s, SECOND_US + STORE_ERA_START_MAX_US));
  s.heard = 1;
  ck_assert (store_era_is_waiting (&s, SECOND_US + 599999));
  ck_assert (!store_era_is_waiting (&s, SECOND_US + 600000));
  s.unheard = 0;
  ck_assert (!store_era_is_waiting (&s, SECOND_US + 100000));
}
END_TEST

/* Guards against watches that all end at the same time, so that a restore that
   leaves them open is noticed late, and against a change without an era.  */
START_TEST (watches_end_at_different_times)
{
  struct store_era e = { 0 };
  struct str name = STR_LIT ("n");
  int64_t first, wait;
  bool differs = false;

  ck_assert_int_eq (store_era_get_watch_wait (&e, name, 1, 30 * SECOND_US),
                    30 * SECOND_US);
  e.seen = 1;
  first = store_era_get_watch_wait (&e, name, 0, 30 * SECOND_US);
  for (uint64_t i = 1; i < 20; i++)
    {
      wait = store_era_get_watch_wait (&e, name, i, 30 * SECOND_US);
      ck_assert_int_ge (wait, STORE_ERA_WATCH_MIN_US);
      ck_assert_int_le (wait, 30 * SECOND_US);
      differs = differs || wait != first;
    }
  ck_assert (differs);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { answers_are_judged_by_era,
          only_a_higher_era_is_a_restore,
          calls_are_spread_and_each_entry_is_written_once,
          lost_entry_of_a_silent_daemon_is_written_once,
          second_restore_starts_the_repair_again,
          paused_daemon_repairs_when_it_runs_again,
          start_waits_for_the_others_for_a_while,
          watches_end_at_different_times };

  return suite_run ("store_era_fleet", cases, G_N_ELEMENTS (cases));
}
