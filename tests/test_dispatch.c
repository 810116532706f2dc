/* Tests of the dispatch module with three daemon processes: the entry daemon,
   which receives the callers' requests, and two serving daemons with a backend
   server each.  Serving daemons are killed, paused or drained.  */

#include "process.h"
#include "suite.h"

#define KEY "av_k1_0123456789abcdef0123"
#define AUTHORIZATION "Authorization: Bearer " KEY
#define SERVERS 2
#define SLOTS 32
#define SEED "4242"

struct fixture
{
  char *dir;
  struct process_daemon entry_daemon;
  struct process_daemon daemons[SERVERS];
  pid_t backends[SERVERS];
  uint16_t ports[SERVERS];
};

static void
write_inventory (const char *dir)
{
  char *hash = process_hash_key (KEY);
  char *text = g_strdup_printf (
      "{\"services\":[{\"name\":\"booking\"}],\"routes\":["
      "{\"name\":\"slots\",\"service\":\"booking\",\"path_prefix\":\"/slots\","
      "\"methods\":[\"POST\"],\"idempotent\":false,\"timeout_ms\":2000},"
      "{\"name\":\"notes\",\"service\":\"booking\",\"path_prefix\":\"/notes\","
      "\"methods\":[\"GET\"],\"idempotent\":true,\"timeout_ms\":2000}],"
      "\"workspaces\":[{\"name\":\"w1\",\"rate_per_s\":100000,"
      "\"burst\":100000}],"
      "\"keys\":[{\"id\":\"k1\",\"sha256\":\"%s\",\"workspace\":\"w1\"}]}",
      hash);

  process_write_file (dir, "inventory.json", text);
  g_free (text);
  g_free (hash);
}

static void
start_server (struct fixture *f, int i, const char *members, int slots,
              const char *service_time)
{
  char *slots_option = g_strdup_printf ("--slots=%d", slots);
  char *id = g_strdup_printf ("d%d", i + 2);
  char *domain = g_strdup_printf ("fd%d", i + 2);
  char *log = g_strdup_printf ("%s/backend%d.log", f->dir, i);
  char *time = g_strdup_printf ("--service-time=%s", service_time);
  char *local, *port;

  process_start_daemon (&f->daemons[i], f->dir, id, domain, members);
  f->ports[i] = process_get_port ();
  local = g_strdup_printf ("--local=127.0.0.1:%u", f->daemons[i].local_port);
  port = g_strdup_printf ("--port=%u", f->ports[i]);
  f->backends[i] = process_start (
      log, "backend", "--service=booking", "--address=127.0.0.1", port, local,
      slots_option, "--queue=100", "--connections=64", time, "--seed=1", NULL);
  process_wait_for_status (f->ports[i], "/executions", 200);
  g_free (slots_option);
  g_free (id);
  g_free (domain);
  g_free (log);
  g_free (time);
  g_free (local);
  g_free (port);
}

static struct fixture
start_with (const char *route_policy, int slots, const char *service_time)
{
  struct fixture f = { .dir = process_make_dir () };
  char *members;

  write_inventory (f.dir);
  members = g_strdup_printf (",\"inventory_file\":\"%s/"
                             "inventory.json\",\"policy\":{\"route\":\"%s\"}",
                             f.dir, route_policy);
  process_start_daemon (&f.entry_daemon, f.dir, "d1", "fd1", members);
  g_free (members);
  members = g_strdup_printf (
      ",\"inventory_file\":\"%s/inventory.json\",\"seeds\":[{\"address\":"
      "\"127.0.0.1\",\"port\":%u}]",
      f.dir, f.entry_daemon.control_port);
  for (int i = 0; i < SERVERS; i++)
    start_server (&f, i, members, slots, service_time);
  g_free (members);
  process_wait_for_text (f.entry_daemon.local_port, "/almondvale/status",
                         "\"endpoints\" : 2");
  return f;
}

static struct fixture
start (const char *service_time)
{
  return start_with ("least_loaded", SLOTS, service_time);
}

static void
stop (struct fixture *f)
{
  process_stop (f->entry_daemon.pid, SIGKILL);
  for (int i = 0; i < SERVERS; i++)
    {
      process_stop (f->backends[i], SIGKILL);
      if (f->daemons[i].pid > 0)
        process_stop (f->daemons[i].pid, SIGKILL);
    }
  g_free (f->dir);
}

/* Returns how often the backend servers executed the request with an id, or
   the executions of all requests if the id is NULL.  */
static int64_t
get_executions (const struct fixture *f, const char *id)
{
  int64_t sum = 0;

  for (int i = 0; i < SERVERS; i++)
    {
      struct process_reply r
          = process_send (f->ports[i], "GET", "/executions", "", NULL);

      sum += id != NULL ? process_get_number (r.body, "tags", id)
                        : process_get_number (r.body, NULL, "started");
    }
  return sum;
}

static void
await_executions (const struct fixture *f, int64_t count)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;

  while (get_executions (f, NULL) < count)
    {
      ck_assert (clock_now_us () < end_us);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
}

static gpointer
send_booking (gpointer data)
{
  const char *headers[] = { AUTHORIZATION, "X-Request-Id: one", NULL };
  const struct fixture *f = data;
  struct process_reply *reply = g_new (struct process_reply, 1);

  *reply = process_send (f->entry_daemon.caller_port, "POST", "/slots", "{}",
                         headers);
  return reply;
}

/* Returns the index of the serving daemon whose backend server runs the only
   request.  */
static int
find_busy (const struct fixture *f)
{
  struct process_reply r
      = process_send (f->ports[0], "GET", "/executions", "", NULL);

  return process_get_number (r.body, NULL, "started") > 0 ? 0 : 1;
}

/* Guards against a retry of a non-idempotent request whose serving daemon is
   killed while the backend server runs the request.  The response must say
   that the request may have run.  */
START_TEST (running_booking_executes_once_when_its_daemon_is_killed)
{
  struct fixture f = start ("fixed:700");
  GThread *thread = g_thread_new ("caller", send_booking, &f);
  struct process_reply *reply;
  int busy;

  await_executions (&f, 1);
  busy = find_busy (&f);
  process_stop (f.daemons[busy].pid, SIGKILL);
  f.daemons[busy].pid = 0;
  reply = g_thread_join (thread);
  ck_assert_int_eq (reply->status, 502);
  ck_assert_ptr_nonnull (strstr (reply->body, "may_have_run"));
  ck_assert_int_eq (get_executions (&f, "one"), 1);
  g_free (reply);
  stop (&f);
}
END_TEST

/* Guards against a paused serving daemon that keeps a caller waiting past the
   deadline, and against delivering its response after the call has ended.  */
START_TEST (booking_at_a_paused_daemon_times_out_at_its_deadline)
{
  struct fixture f = start ("fixed:300");
  GThread *thread = g_thread_new ("caller", send_booking, &f);
  struct process_reply *reply;
  int busy;

  await_executions (&f, 1);
  busy = find_busy (&f);
  kill (f.daemons[busy].pid, SIGSTOP);
  reply = g_thread_join (thread);
  ck_assert_int_eq (reply->status, 504);
  ck_assert_ptr_nonnull (strstr (reply->body, "may_have_run"));
  kill (f.daemons[busy].pid, SIGCONT);
  process_wait_for_text (f.entry_daemon.local_port, "/metrics",
                         "almondvale_late_responses_total 1");
  ck_assert_int_eq (get_executions (&f, "one"), 1);
  g_free (reply);
  stop (&f);
}
END_TEST

static void
write_scenario (const struct fixture *f)
{
  char *text = g_strdup_printf (
      "{\"seed\":" SEED ",\"timeout_ms\":4000,\"connections\":64,"
      "\"interval_ms\":500,\"targets\":[{\"address\":\"127.0.0.1\","
      "\"port\":%u}],\"retries\":{\"max\":0,\"wait_ms\":0,\"always\":false},"
      "\"executions\":[{\"address\":\"127.0.0.1\",\"port\":%u},"
      "{\"address\":\"127.0.0.1\",\"port\":%u}],\"phases\":[{\"name\":"
      "\"calm\",\"ms\":2500,\"factor\":1}],\"workspaces\":[{\"name\":\"w1\","
      "\"key\":\"" KEY "\",\"rate\":200,\"allowed_rate\":100000,"
      "\"allowed_burst\":100000,\"routes\":[{\"name\":\"look-up\",\"path\":"
      "\"/notes/{n}\",\"weight\":1},{\"name\":\"book\",\"method\":\"POST\","
      "\"path\":\"/slots\",\"weight\":1,\"body_bytes\":100}]}]}",
      f->entry_daemon.caller_port, f->ports[0], f->ports[1]);

  process_write_file (f->dir, "load.json", text);
  g_free (text);
}

/* Injects a fault while the load program runs; checks that no booking ran
   twice or was lost and that every response belonged to its request.  */
static void
run_load (struct fixture *f, void (*fault) (struct fixture *))
{
  char *scenario = g_strdup_printf ("%s/load.json", f->dir);
  char *result = g_strdup_printf ("%s/load.out", f->dir);
  char *log = g_strdup_printf ("%s/load.log", f->dir);
  char *text;
  pid_t pid;

  write_scenario (f);
  pid = process_start (log, "load", scenario, result, NULL);
  await_executions (f, 100);
  fault (f);
  ck_assert_int_eq (WEXITSTATUS (process_wait (pid)), 0);
  ck_assert (g_file_get_contents (result, &text, NULL, NULL));
  ck_assert_int_eq (process_get_number (text, NULL, "duplicated"), 0);
  ck_assert_int_eq (process_get_number (text, NULL, "lost"), 0);
  ck_assert_int_eq (process_get_number (text, NULL, "logs_missing"), 0);
  ck_assert_ptr_null (strstr (text, "\"mismatched\""));
  g_free (text);
  g_free (scenario);
  g_free (result);
  g_free (log);
}

static void
kill_one (struct fixture *f)
{
  process_stop (f->daemons[0].pid, SIGKILL);
  f->daemons[0].pid = 0;
}

static void
pause_one (struct fixture *f)
{
  kill (f->daemons[0].pid, SIGSTOP);
  g_usleep (600 * 1000);
  kill (f->daemons[0].pid, SIGCONT);
}

static void
drain_one (struct fixture *f)
{
  ck_assert_int_eq (process_send (f->daemons[0].local_port, "POST",
                                  "/almondvale/drain", "", NULL)
                        .status,
                    200);
}

/* Guards against duplicated or lost bookings, and against responses that go to
   the wrong request, when a daemon is killed under load.  */
START_TEST (daemon_killed_under_load_loses_no_booking)
{
  struct fixture f = start ("exponential:5");

  run_load (&f, kill_one);
  stop (&f);
}
END_TEST

/* Guards against duplicated or lost bookings, and against responses that go to
   the wrong request, when a daemon is paused under load and then sends late
   responses.  */
START_TEST (daemon_paused_under_load_loses_no_booking)
{
  struct fixture f = start ("exponential:5");

  run_load (&f, pause_one);
  stop (&f);
}
END_TEST

/* Guards against requests that fail because one backend server drains although
   another has free capacity.  */
START_TEST (drain_under_load_fails_no_request)
{
  struct fixture f = start ("exponential:5");
  struct process_reply r;

  run_load (&f, drain_one);
  r = process_send (f.entry_daemon.local_port, "GET", "/metrics", "", NULL);
  ck_assert_ptr_nonnull (
      strstr (r.body, "answers_total{error=\"backend_leaving\"} 0"));
  ck_assert_ptr_nonnull (
      strstr (r.body, "answers_total{error=\"backend_unreachable\"} 0"));
  ck_assert_ptr_nonnull (
      strstr (r.body, "answers_total{error=\"backend_failed\"} 0"));
  stop (&f);
}
END_TEST

static void
do_nothing (struct fixture *f)
{
}

/* Guards against a booking that is lost or runs twice when busy endpoints
   refuse requests for a better one, and against a caller that gets such a
   refusal.  The backend servers have two slots each and are used to three
   quarters.  */
START_TEST (requests_refused_by_busy_endpoints_run_elsewhere)
{
  struct fixture f = start_with ("even_load", 2, "exponential:15");
  struct process_reply r;

  run_load (&f, do_nothing);
  r = process_send (f.entry_daemon.local_port, "GET", "/metrics", "", NULL);
  ck_assert_ptr_null (strstr (r.body, "almondvale_refusals_busy_total 0"));
  ck_assert_ptr_nonnull (
      strstr (r.body, "answers_total{error=\"endpoint_busy\"} 0"));
  ck_assert_ptr_null (strstr (r.body, "almondvale_attempts_crossing_total 0"));
  r = process_send (f.entry_daemon.local_port, "GET", "/almondvale/endpoints",
                    "", NULL);
  ck_assert_int_eq (r.status, 200);
  ck_assert_ptr_nonnull (strstr (r.body, "\"service\" : \"booking\""));
  ck_assert_ptr_nonnull (strstr (r.body, "\"excluded_by\" : null"));
  ck_assert_ptr_nonnull (strstr (r.body, "\"chance_percent\" : "));
  stop (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { booking_at_a_paused_daemon_times_out_at_its_deadline,
          daemon_killed_under_load_loses_no_booking,
          daemon_paused_under_load_loses_no_booking,
          drain_under_load_fails_no_request,
          requests_refused_by_busy_endpoints_run_elsewhere };
  const TTest *const red[]
      = { running_booking_executes_once_when_its_daemon_is_killed };

  return suite_run_tagged ("dispatch", cases, G_N_ELEMENTS (cases), red,
                           G_N_ELEMENTS (red));
}
