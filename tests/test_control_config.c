/* Tests of control_config and control_gossip with real daemons and the
   platform stand-in: revocation, outages, restarts and pauses.

   A keyed request is one to a route that requires an API key.  It needs a
   token of its workspace's rate limit, which is granted by the holder of the
   workspace's shard: the daemon that has the lease of this part of the
   workspaces (see lease.h).  */

#include "process.h"
#include "suite.h"

#define KEY "av_k1_0123456789abcdef0123"
#define DAEMONS 3
#define SHARDS 8 /* default of lease.shards */
/* A lease of 6 s and a promise of 4 s with which its holder extends it during
   an outage: the defaults of lease.term_ms and lease.promise_ms.  */
#define LEASE_AND_PROMISE_US 10000000
#define LEASE_RENEWALS_US 4500000 /* two renewals, one every 2 s */
/* Longer than the freshness bound of 3.5 s, so that evidence from before an
   outage has expired.  */
#define OUTAGE_US (5 * CLOCK_US_PER_S)

struct fixture
{
  char *dir;
  pid_t platform;
  uint16_t platform_port;
  struct process_daemon daemons[DAEMONS];
  pid_t backend;
  uint16_t backend_port;
};

static void
put_change (const struct fixture *f, int revision, const char *ops)
{
  const char *headers[] = { "If-None-Match: *", NULL };
  char *target = g_strdup_printf ("/v1/objects/changes/%d", revision);
  char *body = g_strdup_printf ("{\"revision\":%d,\"nonce\":\"%032d\","
                                "\"author\":\"test\",\"ops\":[%s]}",
                                revision, revision, ops);

  ck_assert_int_eq (
      process_send (f->platform_port, "PUT", target, body, headers).status,
      201);
  g_free (target);
  g_free (body);
}

static void
put_inventory (const struct fixture *f)
{
  char *hash = process_hash_key (KEY);
  char *ops = g_strdup_printf (
      "{\"put\":\"service\",\"row\":{\"name\":\"notes\"}},"
      "{\"put\":\"route\",\"row\":{\"name\":\"notes\",\"service\":\"notes\","
      "\"path_prefix\":\"/notes\",\"methods\":[\"GET\"],"
      "\"idempotent\":true}},"
      "{\"put\":\"route\",\"row\":{\"name\":\"public\",\"service\":\"notes\","
      "\"path_prefix\":\"/public\",\"methods\":[\"GET\"],\"open\":true,"
      "\"idempotent\":true}},"
      "{\"put\":\"route\",\"row\":{\"name\":\"book\",\"service\":\"notes\","
      "\"path_prefix\":\"/book\",\"methods\":[\"POST\"],"
      "\"idempotency_key\":\"required\"}},"
      "{\"put\":\"workspace\",\"row\":{\"name\":\"w1\","
      "\"rate_per_s\":100000,\"burst\":100000}},"
      "{\"put\":\"key\",\"row\":{\"id\":\"k1\",\"sha256\":\"%s\","
      "\"workspace\":\"w1\"}}",
      hash);

  put_change (f, 1, ops);
  g_free (ops);
  g_free (hash);
}

static void
start_daemon (struct fixture *f, int i)
{
  char *id = g_strdup_printf ("d%d", i + 1);
  char *domain = g_strdup_printf ("fd%d", i + 1);
  char *members = g_strdup_printf (
      ",\"platform\":{\"address\":\"127.0.0.1\",\"port\":%u},"
      "\"failure_domains\":[\"fd1\",\"fd2\",\"fd3\"],\"seeds\":["
      "{\"address\":\"127.0.0.1\",\"port\":%u},"
      "{\"address\":\"127.0.0.1\",\"port\":%u}]",
      f->platform_port, f->daemons[0].control_port,
      f->daemons[1].control_port);

  process_start_daemon (&f->daemons[i], f->dir, id, domain, members);
  g_free (id);
  g_free (domain);
  g_free (members);
}

static void
choose_ports (struct process_daemon *d)
{
  d->caller_port = process_get_port ();
  d->local_port = process_get_port ();
  d->peer_port = process_get_port ();
  d->control_port = process_get_port ();
}

static struct process_reply
get (const struct fixture *f, int i, const char *target)
{
  const char *headers[] = { "Authorization: Bearer " KEY, NULL };

  return process_send (f->daemons[i].caller_port, "GET", target, "", headers);
}

/* Repeats a keyed request to daemon i until it returns the status.  */
static void
await_keyed (const struct fixture *f, int i, int status)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;
  struct process_reply r;

  while ((r = get (f, i, "/notes/1")).status != status)
    {
      ck_assert_msg (clock_now_us () < end_us, "daemon %d: not %d but %d %s",
                     i, status, r.status, r.body);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
}

static int
count_held_shards (const struct fixture *f, int i)
{
  struct process_reply r = process_send (f->daemons[i].local_port, "GET",
                                         "/almondvale/status", "", NULL);
  JsonNode *root = json_from_string (r.body, NULL);
  int held = (int)json_array_get_length (json_object_get_array_member (
      json_node_get_object (root), "shards_held"));

  json_node_unref (root);
  return held;
}

/* Waits until the first `daemons` daemons together hold all shards.  */
static void
await_shard_holders (const struct fixture *f, int daemons)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;
  int held = 0;

  while (held < SHARDS)
    {
      ck_assert_msg (clock_now_us () < end_us, "%d of %d shards are held",
                     held, SHARDS);
      g_usleep (PROCESS_POLL_INTERVAL_US);
      held = 0;
      for (int i = 0; i < daemons; i++)
        held += count_held_shards (f, i);
    }
}

static struct fixture
start (void)
{
  struct fixture f
      = { .dir = process_make_dir (), .platform_port = process_get_port () };
  char *port = g_strdup_printf ("%u", f.platform_port);
  char *log = g_strdup_printf ("%s/platform.log", f.dir);
  char *local, *backend_port;

  f.platform = process_start (log, "platform", "--address", "127.0.0.1",
                              "--port", port, NULL);
  process_wait_for_status (f.platform_port, "/v1/admin/counters", 200);
  put_inventory (&f);
  for (int i = 0; i < DAEMONS; i++)
    choose_ports (&f.daemons[i]);
  /* The tests kill or pause daemon 2, so it must not hold a shard: it is
     started after the other two hold all of them.  During an outage no other
     daemon could take over the workspace's shard, and keyed requests would get
     rate_unavailable until the platform is reachable again.  */
  for (int i = 0; i < DAEMONS - 1; i++)
    start_daemon (&f, i);
  await_shard_holders (&f, DAEMONS - 1);
  start_daemon (&f, DAEMONS - 1);
  local = g_strdup_printf ("--local=127.0.0.1:%u", f.daemons[1].local_port);
  f.backend_port = process_get_port ();
  backend_port = g_strdup_printf ("--port=%u", f.backend_port);
  f.backend = process_start (log, "backend", "--service=notes",
                             "--address=127.0.0.1", backend_port, local,
                             "--slots=8", "--queue=100", "--connections=32",
                             "--service-time=fixed:1", "--seed=1", NULL);
  for (int i = 0; i < DAEMONS; i++)
    {
      process_wait_for_text (f.daemons[i].local_port, "/almondvale/status",
                             "\"endpoints\" : 1");
      process_wait_for_text (f.daemons[i].local_port, "/almondvale/status",
                             "\"keyed_routes_served\" : true");
    }
  /* The workspace's shard needs a holder before an outage begins: it cannot
     get one until the outage ends.  */
  for (int i = 0; i < DAEMONS; i++)
    await_keyed (&f, i, 200);
  g_free (port);
  g_free (log);
  g_free (local);
  g_free (backend_port);
  return f;
}

static void
stop (struct fixture *f)
{
  for (int i = 0; i < DAEMONS; i++)
    if (f->daemons[i].pid > 0)
      process_stop (f->daemons[i].pid, SIGKILL);
  process_stop (f->backend, SIGKILL);
  process_stop (f->platform, SIGKILL);
  g_free (f->dir);
}

static void
set_outage (const struct fixture *f, const char *kind)
{
  char *body = g_strdup_printf ("{\"outage\":\"%s\"}", kind);

  ck_assert_int_eq (
      process_send (f->platform_port, "PUT", "/v1/admin/faults", body, NULL)
              .status
          / 100,
      2);
  g_free (body);
}

/* Guards against a daemon that still accepts a key after the deletion of the
   key has taken effect there, and against a revision that decreases.  */
START_TEST (deleted_key_is_refused_everywhere)
{
  struct fixture f = start ();

  for (int i = 0; i < DAEMONS; i++)
    ck_assert_int_eq (get (&f, i, "/notes/1").status, 200);
  put_change (&f, 2, "{\"delete\":\"key\",\"name\":\"k1\"}");
  for (int i = 0; i < DAEMONS; i++)
    await_keyed (&f, i, 401);
  for (int round = 0; round < 50; round++)
    ck_assert_int_eq (get (&f, round % DAEMONS, "/notes/1").status, 401);
  stop (&f);
}
END_TEST

static void
check_keyed_routes_in_outage (const char *kind)
{
  struct fixture f = start ();
  int64_t end_us;

  set_outage (&f, kind);
  end_us = clock_now_us () + OUTAGE_US;
  while (clock_now_us () < end_us)
    {
      for (int i = 0; i < DAEMONS; i++)
        {
          struct process_reply r = get (&f, i, "/notes/1");

          ck_assert_msg (r.status == 200, "%d: %s", r.status, r.body);
        }
      g_usleep (20000);
    }
  set_outage (&f, "none");
  put_change (&f, 2, "{\"delete\":\"key\",\"name\":\"k1\"}");
  for (int i = 0; i < DAEMONS; i++)
    await_keyed (&f, i, 401);
  stop (&f);
}

/* Guards against a daemon that refuses keyed requests while no daemon can
   reach the platform: a key cannot be deleted then.  Also guards against a key
   that is still accepted when it is deleted after the outage.  */
START_TEST (keyed_routes_are_served_in_an_outage)
{
  check_keyed_routes_in_outage ("refuse");
}
END_TEST

/* The same outage, but the platform accepts calls and does not answer them, so
   that the outcome of the shard holders' last writes is unknown.  */
START_TEST (keyed_routes_are_served_without_answers)
{
  check_keyed_routes_in_outage ("hang");
}
END_TEST

/* Guards against a daemon that serves keyed routes although a failure domain
   is unresponsive: the daemons there may be able to reach the platform and
   apply changes that this daemon does not know.  */
START_TEST (isolated_daemon_refuses_keyed_routes)
{
  struct fixture f = start ();
  struct process_reply r;
  int64_t end_us;

  set_outage (&f, "refuse");
  kill (f.daemons[2].pid, SIGSTOP);
  /* Until the evidence has expired, requests can fail because the paused
     daemon is missing as the holder of the workspace's shard.  */
  end_us = clock_now_us () + PROCESS_WAIT_MAX_US;
  do
    {
      ck_assert (clock_now_us () < end_us);
      r = get (&f, 0, "/notes/1");
    }
  while (strstr (r.body, "stale_configuration") == NULL);
  ck_assert_int_eq (r.status, 503);
  ck_assert_ptr_nonnull (strstr (r.body, "\"not_run\""));
  ck_assert_int_eq (get (&f, 0, "/public/1").status, 200);
  kill (f.daemons[2].pid, SIGCONT);
  await_keyed (&f, 0, 200);
  stop (&f);
}
END_TEST

/* Guards against a daemon that resumes after a pause and accepts a key deleted
   in the meantime.  */
START_TEST (paused_daemon_does_not_serve_a_deleted_key)
{
  struct fixture f = start ();

  kill (f.daemons[0].pid, SIGSTOP);
  put_change (&f, 2, "{\"delete\":\"key\",\"name\":\"k1\"}");
  await_keyed (&f, 1, 401);
  g_usleep (OUTAGE_US);
  kill (f.daemons[0].pid, SIGCONT);
  for (int i = 0; i < 100; i++)
    ck_assert_int_ne (get (&f, 0, "/notes/1").status, 200);
  await_keyed (&f, 0, 401);
  stop (&f);
}
END_TEST

/* Guards against a daemon that has no configuration or an old one after it was
   started during an outage.

   Also guards against a shard holder that stops at the end of its lease term
   because a candidate for its shard was restarted.  Keyed requests of the
   entire fleet would then get rate_unavailable until the platform is reachable
   again.  */
START_TEST (restart_in_an_outage_gets_the_newest_revision)
{
  struct fixture f = start ();

  put_change (&f, 2, "{\"put\":\"service\",\"row\":{\"name\":\"second\"}}");
  for (int i = 0; i < DAEMONS; i++)
    process_wait_for_text (f.daemons[i].local_port, "/almondvale/status",
                           "\"revision\" : 2");
  /* The holders renew their leases every 2 s; after two renewals they have
     named daemon 2 as a candidate.  */
  g_usleep (LEASE_RENEWALS_US);
  set_outage (&f, "refuse");
  process_stop (f.daemons[2].pid, SIGKILL);
  start_daemon (&f, 2);
  process_wait_for_text (f.daemons[2].local_port, "/almondvale/status",
                         "\"revision\" : 2");
  await_keyed (&f, 2, 200);
  g_usleep (LEASE_AND_PROMISE_US);
  for (int i = 0; i < DAEMONS; i++)
    await_keyed (&f, i, 200);
  stop (&f);
}
END_TEST

static char *
make_uuid7 (void)
{
  uint64_t ms = (uint64_t)clock_wall_ms ();

  return g_strdup_printf ("%08x-%04x-7%03x-8%03x-%012" G_GINT64_MODIFIER "x",
                          (guint)(ms >> 16), (guint)(ms & 0xffff),
                          g_random_int () & 0xfff, g_random_int () & 0xfff,
                          (guint64)g_random_int ());
}

static struct process_reply
book (const struct fixture *f, int i, const char *key)
{
  char *line = g_strdup_printf ("Idempotency-Key: %s", key);
  const char *headers[]
      = { "Authorization: Bearer " KEY, "X-Request-Id: booking", line, NULL };
  struct process_reply r = process_send (f->daemons[i].caller_port, "POST",
                                         "/book", "{\"day\":1}", headers);

  g_free (line);
  return r;
}

/* Returns how often the backend server ran a booking; it counts executions by
   X-Request-Id.  */
static int64_t
get_bookings (const struct fixture *f)
{
  struct process_reply r
      = process_send (f->backend_port, "GET", "/executions", "", NULL);

  return process_get_number (r.body, "tags", "booking");
}

/* Guards against a second execution of a booking that the caller sends again
   with the same idempotency key, to another daemon.  Also guards against it
   after the daemons that may have known the key were killed.  */
START_TEST (repeated_key_runs_once)
{
  struct fixture f = start ();
  char *key = make_uuid7 ();
  struct process_reply first, again;
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;

  /* A new shard holder answers with an error for keys that were created before
     it started, because it does not know whether they were used.  */
  while ((first = book (&f, 0, key)).status != 200)
    {
      ck_assert_msg (clock_now_us () < end_us, "%s", first.body);
      ck_assert_int_eq (get_bookings (&f), 0);
      g_free (key);
      g_usleep (200000);
      key = make_uuid7 ();
    }
  for (int i = 0; i < DAEMONS; i++)
    {
      again = book (&f, i, key);
      ck_assert_msg (again.status == 200, "%d: %s", i, again.body);
      ck_assert_str_eq (again.body, first.body);
    }
  ck_assert_int_eq (get_bookings (&f), 1);
  process_stop (f.daemons[0].pid, SIGKILL);
  f.daemons[0].pid = 0;
  process_stop (f.daemons[2].pid, SIGKILL);
  f.daemons[2].pid = 0;
  end_us = clock_now_us () + 2 * OUTAGE_US;
  while (clock_now_us () < end_us)
    {
      again = book (&f, 1, key);
      ck_assert (again.status != 200 || strcmp (again.body, first.body) == 0);
      g_usleep (200000);
    }
  ck_assert_int_eq (get_bookings (&f), 1);
  g_free (key);
  stop (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    deleted_key_is_refused_everywhere,
    keyed_routes_are_served_in_an_outage,
    keyed_routes_are_served_without_answers,
    isolated_daemon_refuses_keyed_routes,
    paused_daemon_does_not_serve_a_deleted_key,
    repeated_key_runs_once,
  };
  const TTest *const known_red[]
      = { restart_in_an_outage_gets_the_newest_revision };

  return suite_run_tagged ("control_config", cases, G_N_ELEMENTS (cases),
                           known_red, G_N_ELEMENTS (known_red));
}
