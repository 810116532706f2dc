/* Tests of evacuation and registry_evacuation: the set of failure domains, and
   real daemon processes with the stand-in `machines`.  */

#include "evacuation.h"
#include "process.h"
#include "suite.h"

#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

/* Constants */

#define DAEMONS 3
#define EVACUATE_US (5 * (int64_t)CLOCK_US_PER_S) /* the bound `evacuate` */
#define EVACUATE_BOUND ",\"evacuate=5000ms\""
#define COLD_BOUNDS EVACUATE_BOUND ",\"coldOverage=1.5\",\"coldSlack=8\""
#define COLD_PER_S 4
#define COLD_BOUND 14 /* 4 x 1.5 + 8 in any sliding second */
#define SENDERS 9

/* Types */

/* Daemons 0 (failure domain z0) and 1 (z1) have a backend server of the service
   notes, daemon 2 (z2) has one of books.  Only books has a warm-up limit.  */
struct fixture
{
  char *dir;
  char *runs;     /* log of the requests that are run */
  pid_t machines; /* process of the stand-in */
  uint16_t store_port;
  struct process_machine daemons[DAEMONS];
  atomic_bool ended; /* the senders stop */
  GThread *senders[SENDERS];
};

/* Internal functions */

static char *
make_config (void)
{
  return g_strdup_printf (
      "{\"version\":1,\"routes\":{\"columns\":[\"name\",\"host\","
      "\"pathPrefix\",\"kind\",\"timeout\",\"targetLatency\",\"priority\","
      "\"maxAttempts\",\"public\",\"service\"],\"rows\":["
      "[\"r1\",\"h\",\"/notes/\",\"safe\",\"2s\",\"1s\",1,2,true,\"notes\"],"
      "[\"r2\",\"h\",\"/book/\",\"unsafe\",\"2s\",\"1s\",0,1,true,\"books\"]"
      "]},\"services\":{\"columns\":[\"name\",\"coldStart\",\"coldPerS\"],"
      "\"rows\":[[\"notes\",null,null],[\"books\",\"3s\",%d.0]]},"
      "\"tenants\":{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[]}}",
      COLD_PER_S);
}

static int
get (const struct fixture *f, int daemon, const char *target)
{
  const char *lines[] = { "Host: h", "X-Almondvale-Attempt-Id: 9c41",
                          "X-Almondvale-Deadline-Ms: 2000", NULL };

  return process_send (f->daemons[daemon].caller, "GET", target, "", lines)
      .status;
}

static void
await_status (const struct fixture *f, int daemon, const char *target,
              int status)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;

  while (get (f, daemon, target) != status)
    {
      ck_assert_msg (clock_now_us () < end_us, "%s at %d is not %d", target,
                     daemon, status);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
}

static int
get_executions (const struct fixture *f, int backend)
{
  struct process_reply r
      = process_send (f->store_port, "GET", "/standin/executions", "", NULL);
  int counts[DAEMONS];

  ck_assert_int_eq (
      sscanf (r.body, "[%d,%d,%d]", &counts[0], &counts[1], &counts[2]),
      DAEMONS);
  return counts[backend];
}

static struct fixture *
start (const char *bounds)
{
  struct fixture *f = g_new0 (struct fixture, 1);
  char *config = make_config ();
  char *args[DAEMONS];
  char *store, *file, *runs, *log;

  f->dir = process_make_dir ();
  f->runs = g_strdup_printf ("%s/runs", f->dir);
  f->store_port = process_get_port ();
  store = g_strdup_printf ("--store=%u", f->store_port);
  file = g_strdup_printf ("--config=%s/config.json", f->dir);
  runs = g_strdup_printf ("--runs=%s", f->runs);
  log = g_strdup_printf ("%s/machines.log", f->dir);
  process_write_file (f->dir, "config.json", config);
  for (int i = 0; i < DAEMONS; i++)
    {
      struct process_machine *d = &f->daemons[i];

      process_init_machine (d, i, i < 2 ? "notes" : "books", f->store_port);
      d->bounds = bounds;
      args[i] = g_strdup_printf ("--backend=%u,%u,%s", d->backend, d->control,
                                 d->service);
    }
  f->machines = process_start (log, "machines", store, file, runs, args[0],
                               args[1], args[2], NULL);
  process_wait_for_status (f->store_port, "/standin/executions", 200);
  for (int i = 0; i < DAEMONS; i++)
    process_start_machine (&f->daemons[i], f->dir);
  for (int i = 0; i < DAEMONS; i++)
    {
      await_status (f, i, "/notes/x", 200);
      await_status (f, i, "/book/x", 200);
      g_free (args[i]);
    }
  g_free (config);
  g_free (store);
  g_free (file);
  g_free (runs);
  g_free (log);
  return f;
}

static void
stop (struct fixture *f)
{
  for (int i = 0; i < DAEMONS; i++)
    process_stop (f->daemons[i].pid, SIGKILL);
  process_stop (f->machines, SIGKILL);
  g_free (f->runs);
  g_free (f->dir);
  g_free (f);
}

static void
restart_daemon (struct fixture *f, int daemon)
{
  process_stop (f->daemons[daemon].pid, SIGKILL);
  process_start_machine (&f->daemons[daemon], f->dir);
}

struct sender
{
  struct fixture *fixture;
  int daemon;
};

static gpointer
send_until_ended (gpointer data)
{
  struct sender *s = data;

  while (!atomic_load (&s->fixture->ended))
    {
      get (s->fixture, s->daemon, "/book/x");
      g_usleep (5000);
    }
  g_free (s);
  return NULL;
}

static void
start_senders (struct fixture *f)
{
  atomic_store (&f->ended, false);
  for (int i = 0; i < SENDERS; i++)
    {
      struct sender *s = g_new (struct sender, 1);

      *s = (struct sender){ f, i % DAEMONS };
      f->senders[i] = g_thread_new ("sender", send_until_ended, s);
    }
}

static void
stop_senders (struct fixture *f)
{
  atomic_store (&f->ended, true);
  for (int i = 0; i < SENDERS; i++)
    g_thread_join (f->senders[i]);
}

/* Returns the largest number of requests that the backend server of books ran
   in a sliding second that lies in a time span.  */
static int
get_most_in_a_second (const struct fixture *f, int64_t from_us, int64_t to_us)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GError *error = NULL;
  char *text = NULL;
  char **lines;
  guint first = 0;
  int most = 0;

  ck_assert_msg (g_file_get_contents (f->runs, &text, NULL, &error), "%s",
                 error != NULL ? error->message : "");
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      int64_t ms;

      if (sscanf (*line, "run %" G_GINT64_FORMAT, &ms) == 1
          && strstr (*line, "/book/") != NULL
          && ms * CLOCK_US_PER_MS >= from_us && ms * CLOCK_US_PER_MS < to_us)
        g_array_append_val (times, ms);
    }
  for (guint i = 0; i < times->len; i++)
    {
      while (g_array_index (times, int64_t, i)
                 - g_array_index (times, int64_t, first)
             >= 1000)
        first++;
      most = MAX (most, (int)(i - first + 1));
    }
  g_strfreev (lines);
  g_free (text);
  g_array_unref (times);
  return most;
}

/* Checks for some seconds that the backend server of books gets nothing.  */
static void
check_evacuated (const struct fixture *f, int64_t duration_us)
{
  int64_t end_us = clock_now_us () + duration_us;
  int before = get_executions (f, 2);

  for (int i = 0; clock_now_us () < end_us; i++)
    {
      ck_assert_int_ne (get (f, i % DAEMONS, "/book/x"), 200);
      g_usleep (10000);
    }
  ck_assert_int_eq (get_executions (f, 2), before);
}

/* Cases: the set of failure domains */

static struct evacuation_domains
make_domains (const char *a, const char *b)
{
  struct evacuation_domains d = { 0 };

  if (a != NULL)
    evacuation_domains_add (&d, str_from_cstr (a));
  if (b != NULL)
    evacuation_domains_add (&d, str_from_cstr (b));
  return d;
}

/* Guards against an older set that replaces a newer one, whichever daemon it
   comes from and in whichever order.  */
START_TEST (newest_revision_wins)
{
  struct evacuation_domains sets[4]
      = { make_domains (NULL, NULL), make_domains ("z1", NULL),
          make_domains ("z1", "z2"), make_domains ("z2", NULL) };
  GRand *rand = g_rand_new_with_seed (3);

  for (int round = 0; round < 200; round++)
    {
      struct evacuation e = { 0 };
      uint64_t newest = 0;

      for (int i = 0; i < 20; i++)
        {
          uint64_t revision = (uint64_t)g_rand_int_range (rand, 1, 40);

          evacuation_apply (&e, revision, &sets[revision % 4], i);
          newest = MAX (newest, revision);
          ck_assert_uint_eq (e.revision, newest);
          ck_assert_uint_eq (e.domains.len, sets[newest % 4].len);
          ck_assert (evacuation_contains (&e, STR_LIT ("z1"))
                     == (newest % 4 == 1 || newest % 4 == 2));
        }
      evacuation_close (&e);
    }
  g_rand_free (rand);
}
END_TEST

/* Guards against a change that is not noticed, one that is noticed twice, and
   against an end that is forgotten or taken for a beginning.  */
START_TEST (changes_and_ends_are_noticed)
{
  struct evacuation_domains none = make_domains (NULL, NULL);
  struct evacuation_domains one = make_domains ("z1", NULL);
  struct evacuation_domains two = make_domains ("z2", "z1");
  struct evacuation e = { 0 };

  ck_assert (evacuation_apply (&e, 5, &none, 1));
  ck_assert (!evacuation_apply (&e, 6, &none, 2));
  ck_assert (evacuation_apply (&e, 7, &one, 3));
  ck_assert (evacuation_apply (&e, 8, &two, 4));
  ck_assert (!evacuation_apply (&e, 9, &two, 5));
  ck_assert (evacuation_apply (&e, 10, &one, 6));
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z2")), 6);
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z1")), 0);
  ck_assert (evacuation_apply (&e, 11, &none, 7));
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z1")), 7);
  evacuation_close (&e);
}
END_TEST

/* Guards against a set that is written past its end.  */
START_TEST (sets_have_a_limit)
{
  struct evacuation_domains d = { 0 };
  struct evacuation_domains none = { 0 };
  struct evacuation e = { 0 };
  char names[40][8];

  for (int round = 0; round < 2; round++)
    {
      d.len = 0;
      for (int i = 0; i < 20; i++)
        {
          g_snprintf (names[round * 20 + i], 8, "z%d", round * 20 + i);
          ck_assert (evacuation_domains_add (
                         &d, str_from_cstr (names[round * 20 + i]))
                     == (i < (int)EVACUATION_DOMAINS_MAX));
        }
      evacuation_apply (&e, 2 * (uint64_t)round + 1, &d, round);
      evacuation_apply (&e, 2 * (uint64_t)round + 2, &none, 10 + round);
    }
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z20")), 11);
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z0")), 0);
  evacuation_close (&e);
}
END_TEST

/* Cases: real processes */

static gpointer
send_slow (gpointer data)
{
  return GINT_TO_POINTER (get (data, 0, "/book/slow"));
}

/* Guards against requests that still reach a failure domain 5 s after it was
   evacuated, against calls that are cut off by that, and against one that stays
   evacuated.  With another endpoint no caller notices.  */
START_TEST (evacuated_domain_gets_no_requests)
{
  struct fixture *f = start (EVACUATE_BOUND);
  GThread *slow = g_thread_new ("slow", send_slow, f);
  int64_t end_us;
  int before;

  g_usleep (200000);
  process_set_standin (f->store_port, "evacuate", "z2");
  process_set_standin (f->store_port, "evacuate", "z1");
  end_us = clock_now_us () + EVACUATE_US;
  ck_assert_int_eq (GPOINTER_TO_INT (g_thread_join (slow)), 200);
  for (int i = 0; clock_now_us () < end_us; i++)
    ck_assert_int_eq (get (f, i % DAEMONS, "/notes/x"), 200);
  before = get_executions (f, 1);
  check_evacuated (f, 1 * (int64_t)CLOCK_US_PER_S);
  for (int i = 0; i < 60; i++)
    ck_assert_int_eq (get (f, i % DAEMONS, "/notes/x"), 200);
  ck_assert_int_eq (get_executions (f, 1), before);
  process_set_standin (f->store_port, "evacuate", "z0");
  await_status (f, 2, "/notes/x", 503);
  process_set_standin (f->store_port, "reopen", "z0");
  process_set_standin (f->store_port, "reopen", "z2");
  for (int i = 0; i < DAEMONS; i++)
    {
      await_status (f, i, "/book/x", 200);
      await_status (f, i, "/notes/x", 200);
    }
  ck_assert_int_eq (get_executions (f, 1), before);
  stop (f);
}
END_TEST

/* Guards against an evacuation where the settings do not name its bound.  */
START_TEST (evacuation_is_off_without_its_bound)
{
  struct fixture *f = start (NULL);

  process_set_standin (f->store_port, "evacuate", "z2");
  g_usleep (2 * CLOCK_US_PER_S);
  for (int i = 0; i < 30; i++)
    ck_assert_int_eq (get (f, i % DAEMONS, "/book/x"), 200);
  stop (f);
}
END_TEST

/* Guards against a daemon that forgets with its process, or without the store,
   that its failure domain is evacuated, and against one that never serves again
   when the store is back.  */
START_TEST (evacuation_outlives_daemons_and_the_store)
{
  struct fixture *f = start (EVACUATE_BOUND);

  process_set_standin (f->store_port, "evacuate", "z2");
  for (int i = 0; i < DAEMONS; i++)
    await_status (f, i, "/book/x", 503);
  restart_daemon (f, 2);
  process_wait_for_status (f->daemons[2].ready, "/almondvale/ready", 200);
  check_evacuated (f, 2 * (int64_t)CLOCK_US_PER_S);
  process_set_standin (f->store_port, "store", "down");
  check_evacuated (f, 2 * (int64_t)CLOCK_US_PER_S);
  restart_daemon (f, 2);
  check_evacuated (f, 4 * (int64_t)CLOCK_US_PER_S);
  process_set_standin (f->store_port, "reopen", "z2");
  check_evacuated (f, 1 * (int64_t)CLOCK_US_PER_S);
  process_set_standin (f->store_port, "store", "up");
  for (int i = 0; i < DAEMONS; i++)
    await_status (f, i, "/book/x", 200);
  stop (f);
}
END_TEST

/* Guards against an evacuation that is not in force after 5 s because the store
   takes 1.5 s for each answer.  */
START_TEST (slow_store_does_not_delay_an_evacuation_beyond_its_bound)
{
  struct fixture *f = start (EVACUATE_BOUND);
  int64_t end_us;

  process_set_standin (f->store_port, "store", "slow");
  process_set_standin (f->store_port, "evacuate", "z2");
  end_us = clock_now_us () + EVACUATE_US;
  while (clock_now_us () < end_us)
    get (f, 0, "/book/x");
  check_evacuated (f, 1 * (int64_t)CLOCK_US_PER_S);
  stop (f);
}
END_TEST

/* Guards against a load surge at the end of an evacuation: the backend server
   has become cold in it, and its daemon knows of no report since.  */
START_TEST (evacuation_ends_within_the_warm_up_bound)
{
  struct fixture *f = start (COLD_BOUNDS);
  int64_t from_us;
  int64_t warm_us;
  int before;

  process_set_standin (f->store_port, "evacuate", "z2");
  for (int i = 0; i < DAEMONS; i++)
    await_status (f, i, "/book/x", 503);
  start_senders (f);
  g_usleep (CLOCK_US_PER_S);
  before = get_executions (f, 2);
  warm_us = clock_now_us () + 3500000; /* not before */
  process_set_standin (f->store_port, "cold", "2 3500");
  from_us = clock_now_us ();
  process_set_standin (f->store_port, "reopen", "z2");
  g_usleep (3500000);
  stop_senders (f);
  ck_assert_int_ge (get_executions (f, 2), before + COLD_PER_S);
  ck_assert_int_le (get_most_in_a_second (f, from_us, warm_us), COLD_BOUND);
  stop (f);
}
END_TEST

/* Guards against a backend server that gets the warm rate after a connection to
   it broke, although no report has said since that it is warm: it may have been
   restarted.  */
START_TEST (backend_counts_as_cold_after_a_broken_connection)
{
  struct fixture *f = start (COLD_BOUNDS);
  int64_t from_us;

  process_set_standin (f->store_port, "mute", "2 4000");
  ck_assert_int_ne (get (f, 0, "/book/lost"), 200);
  from_us = clock_now_us ();
  start_senders (f);
  g_usleep (3000000);
  stop_senders (f);
  ck_assert_int_le (get_most_in_a_second (f, from_us, from_us + 3000000),
                    COLD_BOUND);
  ck_assert_int_ge (get_most_in_a_second (f, from_us, from_us + 3000000),
                    COLD_PER_S);
  for (int i = 0; i < DAEMONS; i++)
    await_status (f, i, "/book/x", 200);
  stop (f);
}
END_TEST

/* Guards against a cold backend server that gets more than its limit from many
   senders, also while its daemon is restarted, and against a limit that stays
   when it is warm.  */
START_TEST (cold_backend_gets_no_more_than_its_limit)
{
  struct fixture *f = start (COLD_BOUNDS);
  int64_t from_us;

  process_set_standin (f->store_port, "cold", "2 8000");
  from_us = clock_now_us ();
  /* What it got before is none of its limit.  */
  g_usleep (CLOCK_US_PER_S);
  start_senders (f);
  g_usleep (2500000);
  restart_daemon (f, 2);
  g_usleep (6000000);
  stop_senders (f);
  ck_assert_int_le (
      get_most_in_a_second (f, from_us + CLOCK_US_PER_S, from_us + 8000000),
      COLD_BOUND);
  ck_assert_int_ge (get_most_in_a_second (f, from_us, from_us + 3500000),
                    COLD_PER_S);
  for (int i = 0; i < DAEMONS; i++)
    await_status (f, i, "/book/x", 200);
  from_us = clock_now_us ();
  for (int i = 0; i < 4 * COLD_BOUND; i++)
    ck_assert_int_eq (get (f, i % DAEMONS, "/book/x"), 200);
  ck_assert_int_gt (get_most_in_a_second (f, from_us, INT64_MAX), COLD_BOUND);
  stop (f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { newest_revision_wins,
          changes_and_ends_are_noticed,
          sets_have_a_limit,
          evacuated_domain_gets_no_requests,
          evacuation_is_off_without_its_bound,
          evacuation_outlives_daemons_and_the_store,
          slow_store_does_not_delay_an_evacuation_beyond_its_bound,
          evacuation_ends_within_the_warm_up_bound,
          backend_counts_as_cold_after_a_broken_connection,
          cold_backend_gets_no_more_than_its_limit };

  return suite_run ("evacuation", cases, G_N_ELEMENTS (cases));
}
