/* Tests of daemons whose store is restored from an earlier copy: real daemon
   processes with the stand-in `machines`, which keeps the copy.  What is
   written after the copy and before the restore must stay in force, also at a
   daemon that starts in between.  */

#include "daemon_registry.h"
#include "process.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define DAEMONS 5
/* Daemons that run before the copy is taken.  The others start later.  */
#define EARLY_DAEMONS 3
#define LATE_DAEMON 3 /* starts after the copy */
#define NEW_DAEMON 4  /* starts after the restore */
#define HOST_HEADER "Host: h.example"
#define KEY "aaaaaaaaaaaaaaaaaaaa"
#define OTHER_KEY "bbbbbbbbbbbbbbbbbbbb"
#define POOL_KEY "cccccccccccccccccccc"
#define BEARER "Authorization: Bearer "
#define ENTRY_PATH "/almondvale/objects/almondvale-daemons/n-%d"
#define POOL_RATE 5
#define POOL_BURST 10
#define POOL_TIME_US INT64_C (8000000)
#define WATCH_TIME_US INT64_C (3000000)

/* State */

/* Daemons 0 and 1 have a backend server of the service notes, daemon 2 one of
   books, daemon LATE_DAEMON one of maps, and NEW_DAEMON one of notes.  */
struct fixture
{
  char *dir;
  pid_t machines; /* process of the stand-in */
  uint16_t store_port;
  char *pool; /* workspace whose pool belongs to LATE_DAEMON */
  struct process_machine daemons[DAEMONS];
};

static const char *const services[DAEMONS]
    = { "notes", "notes", "books", "maps", "notes" };

/* Internal functions */

static struct daemon_registry_state
make_state (int i, char name[8])
{
  g_snprintf (name, 8, "n-%d", i);
  return (struct daemon_registry_state){ .member = (uint64_t)i + 1,
                                         .name = str_from_cstr (name),
                                         .address = STR_LIT ("127.0.0.1"),
                                         .control_port = (uint16_t)(i + 1),
                                         .domain = STR_EMPTY,
                                         .service = STR_EMPTY };
}

/* Returns the index of the daemon that owns a pool if NEW_DAEMON knows the
   first `known` daemons and itself.  */
static int
find_owner (const char *workspace, int known)
{
  struct daemon_registry r;
  char name[8];
  int owner;

  daemon_registry_init (&r, NEW_DAEMON + 1);
  for (int i = 0; i < known; i++)
    {
      struct daemon_registry_state s = make_state (i, name);

      daemon_registry_apply (&r, &s, 1);
    }
  make_state (NEW_DAEMON, name);
  owner = (int)daemon_registry_get_owner (&r, str_from_cstr (name),
                                          str_hash (str_from_cstr (workspace)),
                                          1)
          - 1;
  daemon_registry_close (&r);
  return owner;
}

/* Returns a workspace whose pool belongs to LATE_DAEMON, and to NEW_DAEMON as
   long as that one does not know LATE_DAEMON.  */
static char *
find_pool (void)
{
  for (int i = 0;; i++)
    {
      char *name = g_strdup_printf ("w-%d", i);

      if (find_owner (name, EARLY_DAEMONS) == NEW_DAEMON
          && find_owner (name, NEW_DAEMON) == LATE_DAEMON)
        return name;
      g_free (name);
    }
}

static char *
make_config (const struct fixture *f, int version, const char *key)
{
  return g_strdup_printf (
      "{\"version\":%d,\"routes\":{\"columns\":[\"name\",\"host\","
      "\"pathPrefix\",\"kind\",\"timeout\",\"priority\",\"maxAttempts\","
      "\"service\"],\"rows\":["
      "[\"r1\",\"h.example\",\"/notes/\",\"safe\",\"2s\",1,2,\"notes\"],"
      "[\"r2\",\"h.example\",\"/book/\",\"safe\",\"2s\",0,1,\"books\"],"
      "[\"r3\",\"h.example\",\"/maps/\",\"safe\",\"2s\",0,1,\"maps\"]]},"
      "\"services\":{\"columns\":[\"name\"],\"rows\":[[\"notes\"],"
      "[\"books\"],[\"maps\"]]},\"tenants\":{\"columns\":[\"name\","
      "\"apiKeys\",\"priority\",\"ratePerS\",\"burst\"],\"rows\":["
      "[\"w1\",[\"%s\"],1,100000,100000],[\"%s\",[\"" POOL_KEY "\"],1,%d,%d]"
      "]}}",
      version, key, f->pool, POOL_RATE, POOL_BURST);
}

static int
get_with (const struct fixture *f, int daemon, const char *target,
          const char *key)
{
  const char *lines[] = { HOST_HEADER, "X-Almondvale-Attempt-Id: 9c41",
                          "X-Almondvale-Deadline-Ms: 5000", key, NULL };

  return process_send (f->daemons[daemon].caller, "GET", target, "", lines)
      .status;
}

static int
get (const struct fixture *f, int daemon, const char *target)
{
  return get_with (f, daemon, target, BEARER KEY);
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

static void
set_config (const struct fixture *f, int version, const char *key)
{
  char *config = make_config (f, version, key);

  process_set_standin (f->store_port, "config", config);
  g_free (config);
}

/* Waits until a daemon's entry in the store has a text.  */
static void
await_entry (const struct fixture *f, int daemon, const char *text)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;
  char *target = g_strdup_printf (ENTRY_PATH, daemon);
  struct process_reply r;

  for (;;)
    {
      r = process_send (f->store_port, "GET", target, "", NULL);
      if (r.status == 200 && strstr (r.body, text) != NULL)
        break;
      ck_assert_msg (clock_now_us () < end_us, "%s is %d %s", target, r.status,
                     r.body);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
  g_free (target);
}

static void
start_daemon (struct fixture *f, int i)
{
  process_start_machine (&f->daemons[i], f->dir);
}

static void
await_ready (const struct fixture *f, int i)
{
  process_wait_for_status (f->daemons[i].ready, "/almondvale/ready", 200);
}

static void
kill_daemon (struct fixture *f, int i)
{
  process_stop (f->daemons[i].pid, SIGKILL);
  f->daemons[i].pid = 0;
}

/* Starts the early daemons.  `era` is that of the store; "0": its answers have
   none until it is restored.  */
static struct fixture
start (const char *era)
{
  struct fixture f = { .dir = process_make_dir (),
                       .store_port = process_get_port (),
                       .pool = find_pool () };
  char *config = make_config (&f, 1, KEY);
  char *args[DAEMONS];
  char *store = g_strdup_printf ("--store=%u", f.store_port);
  char *file = g_strdup_printf ("--config=%s/config.json", f.dir);
  char *first_era = g_strdup_printf ("--era=%s", era);
  char *log = g_strdup_printf ("%s/machines.log", f.dir);

  process_write_file (f.dir, "config.json", config);
  for (int i = 0; i < DAEMONS; i++)
    {
      struct process_machine *d = &f.daemons[i];

      process_init_machine (d, i, services[i], f.store_port);
      args[i] = g_strdup_printf ("--backend=%u,%u,%s", d->backend, d->control,
                                 d->service);
    }
  f.machines = process_start (log, "machines", store, file, first_era, args[0],
                              args[1], args[2], args[3], args[4], NULL);
  process_wait_for_status (f.store_port, "/standin/executions", 200);
  for (int i = 0; i < EARLY_DAEMONS; i++)
    start_daemon (&f, i);
  for (int i = 0; i < EARLY_DAEMONS; i++)
    {
      await_ready (&f, i);
      await_status (&f, i, "/notes/x", 200);
      await_status (&f, i, "/book/x", 200);
    }
  for (int i = 0; i < DAEMONS; i++)
    g_free (args[i]);
  g_free (config);
  g_free (store);
  g_free (file);
  g_free (first_era);
  g_free (log);
  return f;
}

static void
stop (struct fixture *f)
{
  for (int i = 0; i < DAEMONS; i++)
    if (f->daemons[i].pid > 0)
      process_stop (f->daemons[i].pid, SIGKILL);
  process_stop (f->machines, SIGKILL);
  g_free (f->pool);
  g_free (f->dir);
}

/* Lets daemon 2's backend server leave after a copy was taken.  */
static void
leave_after_copy (struct fixture *f)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;
  struct process_reply r;

  process_set_standin (f->store_port, "store", "copy");
  process_set_standin (f->store_port, "leave", "2");
  for (;;)
    {
      r = process_send (f->store_port, "GET", "/standin/confirmed", "", NULL);
      if (strcmp (r.body, "[0,0,1,0,0]") == 0)
        break;
      ck_assert_msg (clock_now_us () < end_us, "confirmed are %s", r.body);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
}

/* Checks that a late report of daemon 2's backend server, which has left, does
   not bring it back.  */
static void
check_stays_left (const struct fixture *f)
{
  await_ready (f, 2);
  for (int i = 0; i < 30; i++)
    {
      if (i % 10 == 0)
        process_set_standin (f->store_port, "late", "2");
      ck_assert_int_eq (get (f, i % EARLY_DAEMONS, "/book/x"), 503);
      g_usleep (50000);
    }
}

static void
restart_early_daemons (struct fixture *f)
{
  for (int i = 0; i < EARLY_DAEMONS; i++)
    if (f->daemons[i].pid > 0)
      kill_daemon (f, i);
  for (int i = 0; i < EARLY_DAEMONS; i++)
    start_daemon (f, i);
}

/* Guards against a confirmed leave that the store has lost: the daemon that
   knows it has to write it again, so that all may be killed after that.  */
START_TEST (confirmed_leave_is_written_again)
{
  static const char *const eras[] = { "0", "4" };

  for (size_t i = 0; i < G_N_ELEMENTS (eras); i++)
    {
      struct fixture f = start (eras[i]);

      leave_after_copy (&f);
      process_set_standin (f.store_port, "store", "restore");
      await_entry (&f, 2, "\"i-2\"");
      restart_early_daemons (&f);
      check_stays_left (&f);
      stop (&f);
    }
}
END_TEST

/* Guards against a daemon that starts between the restore and the repair and
   takes the stops in the store for all there are.  */
START_TEST (daemon_started_in_between_hears_of_its_stops)
{
  struct fixture f = start ("4");

  leave_after_copy (&f);
  kill_daemon (&f, 2);
  process_set_standin (f.store_port, "store", "restore");
  start_daemon (&f, 2);
  check_stays_left (&f);
  await_entry (&f, 2, "\"i-2\"");
  stop (&f);
}
END_TEST

/* Guards against a confirmed leave that is forgotten because its own daemon
   does not run: another one has to write it.  */
START_TEST (leave_of_a_daemon_that_ended_is_written_again)
{
  struct fixture f = start ("4");

  leave_after_copy (&f);
  kill_daemon (&f, 2);
  process_set_standin (f.store_port, "store", "restore");
  await_entry (&f, 2, "\"i-2\"");
  restart_early_daemons (&f);
  check_stays_left (&f);
  stop (&f);
}
END_TEST

/* Guards against a repair that ends halfway: the daemon is paused, the store is
   down again and is restored a second time, and a third time when the daemon
   runs again.  */
START_TEST (repair_survives_more_failures)
{
  struct fixture f = start ("4");

  leave_after_copy (&f);
  kill (f.daemons[2].pid, SIGSTOP);
  process_set_standin (f.store_port, "store", "restore");
  g_usleep (300000);
  process_set_standin (f.store_port, "store", "down");
  process_set_standin (f.store_port, "store", "restore");
  g_usleep (1000000);
  process_set_standin (f.store_port, "store", "up");
  await_entry (&f, 2, "\"i-2\"");
  process_set_standin (f.store_port, "store", "restore");
  kill (f.daemons[2].pid, SIGCONT);
  await_entry (&f, 2, "\"i-2\"");
  check_stays_left (&f);
  stop (&f);
}
END_TEST

/* Sends requests with the withdrawn key until the time is over.  */
static void
check_key_is_refused (const struct fixture *f, int daemon)
{
  int64_t end_us = clock_now_us () + WATCH_TIME_US;
  int status;

  while (clock_now_us () < end_us)
    {
      status = get (f, daemon, "/notes/x");
      ck_assert_int_ne (status, 200);
    }
  ck_assert_int_eq (get (f, daemon, "/notes/x"), 401);
}

/* Guards against a daemon that accepts a key again whose withdrawal the store
   has lost: one that runs, one that restarts, and one that is new.  */
START_TEST (withdrawn_key_stays_withdrawn)
{
  struct fixture f = start ("4");

  process_set_standin (f.store_port, "store", "copy");
  set_config (&f, 2, OTHER_KEY);
  for (int i = 0; i < EARLY_DAEMONS; i++)
    await_status (&f, i, "/notes/x", 401);
  kill_daemon (&f, 0);
  process_set_standin (f.store_port, "store", "restore");
  start_daemon (&f, 0);
  check_key_is_refused (&f, 0);
  start_daemon (&f, NEW_DAEMON);
  check_key_is_refused (&f, NEW_DAEMON);
  check_key_is_refused (&f, 1);
  stop (&f);
}
END_TEST

/* Guards against a daemon that misses a configuration because its watch
   continues from a revision of the earlier era.  */
START_TEST (configuration_after_the_restore_takes_effect)
{
  struct fixture f = start ("4");

  process_set_standin (f.store_port, "store", "copy");
  set_config (&f, 2, KEY);
  set_config (&f, 3, KEY);
  g_usleep (500000);
  process_set_standin (f.store_port, "store", "restore");
  set_config (&f, 4, OTHER_KEY);
  for (int i = 0; i < EARLY_DAEMONS; i++)
    await_status (&f, i, "/notes/x", 401);
  stop (&f);
}
END_TEST

/* Guards against a restore that goes unnoticed because the store keeps the open
   watches: a daemon that starts tells the others, which end theirs.  */
START_TEST (restore_is_heard_from_another_daemon)
{
  struct fixture f = start ("4");

  leave_after_copy (&f);
  process_set_standin (f.store_port, "store", "restore-open");
  start_daemon (&f, NEW_DAEMON);
  await_ready (&f, NEW_DAEMON);
  await_entry (&f, 2, "\"i-2\"");
  set_config (&f, 2, OTHER_KEY);
  for (int i = 0; i < EARLY_DAEMONS; i++)
    await_status (&f, i, "/notes/x", 401);
  stop (&f);
}
END_TEST

/* Guards against daemons that never find each other: the entry of one was
   written after the copy, and the other starts from the restored list.  */
START_TEST (daemon_started_in_between_finds_the_others)
{
  struct fixture f = start ("4");

  process_set_standin (f.store_port, "store", "copy");
  start_daemon (&f, LATE_DAEMON);
  await_ready (&f, LATE_DAEMON);
  await_status (&f, 0, "/maps/x", 200);
  process_set_standin (f.store_port, "store", "restore");
  start_daemon (&f, NEW_DAEMON);
  await_ready (&f, NEW_DAEMON);
  await_status (&f, NEW_DAEMON, "/maps/x", 200);
  stop (&f);
}
END_TEST

/* Guards against two owners of a pool, each of which grants the whole rate of
   a workspace: the owner's entry was written after the copy, and a daemon that
   starts from the restored list is the owner as far as it knows.  */
START_TEST (pool_has_one_owner)
{
  struct fixture f = start ("4");
  int64_t begun_us, end_us;
  int served = 0;

  process_set_standin (f.store_port, "store", "copy");
  start_daemon (&f, LATE_DAEMON);
  await_ready (&f, LATE_DAEMON);
  await_status (&f, 0, "/maps/x", 200);
  process_set_standin (f.store_port, "store", "restore");
  start_daemon (&f, NEW_DAEMON);
  await_ready (&f, NEW_DAEMON);
  begun_us = clock_now_us ();
  end_us = begun_us + POOL_TIME_US;
  for (int i = 0; clock_now_us () < end_us; i++)
    {
      int daemon = i % 3 == 0 ? NEW_DAEMON : i % 3 == 1 ? LATE_DAEMON : 0;

      served += get_with (&f, daemon, "/notes/x", BEARER POOL_KEY) == 200;
    }
  end_us = clock_now_us ();
  ck_assert_int_le (
      served,
      POOL_BURST + POOL_RATE * (end_us - begun_us) / (int64_t)CLOCK_US_PER_S);
  ck_assert_int_ge (served, POOL_RATE * (end_us - begun_us)
                                / (int64_t)CLOCK_US_PER_S / 2);
  stop (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { confirmed_leave_is_written_again,
                                 daemon_started_in_between_hears_of_its_stops,
                                 leave_of_a_daemon_that_ended_is_written_again,
                                 repair_survives_more_failures,
                                 withdrawn_key_stays_withdrawn,
                                 configuration_after_the_restore_takes_effect,
                                 restore_is_heard_from_another_daemon,
                                 daemon_started_in_between_finds_the_others,
                                 pool_has_one_owner };

  return suite_run ("store_era", cases, G_N_ELEMENTS (cases));
}
