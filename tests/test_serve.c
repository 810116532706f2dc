/* Tests of the serve module (src/serve.c), which runs requests at the backend
   server, with a daemon process and a backend server that fails.  */

#include "process.h"
#include "suite.h"

#define KEY "av_k1_0123456789abcdef0123"
#define AUTHORIZATION "Authorization: Bearer " KEY

struct fixture
{
  char *dir;
  struct process_daemon daemon;
  pid_t backend;
  uint16_t backend_port;
};

static void
write_inventory (const char *dir)
{
  char *hash = process_hash_key (KEY);
  char *text = g_strdup_printf (
      "{\"services\":[{\"name\":\"booking\"}],\"routes\":["
      "{\"name\":\"slots\",\"service\":\"booking\",\"path_prefix\":\"/slots\","
      "\"methods\":[\"POST\"],\"idempotent\":false,\"timeout_ms\":5000},"
      "{\"name\":\"notes\",\"service\":\"booking\",\"path_prefix\":\"/notes\","
      "\"methods\":[\"GET\"],\"idempotent\":true,\"timeout_ms\":5000}],"
      "\"workspaces\":[{\"name\":\"w1\",\"rate_per_s\":1000,\"burst\":1000}],"
      "\"keys\":[{\"id\":\"k1\",\"sha256\":\"%s\",\"workspace\":\"w1\"}]}",
      hash);

  process_write_file (dir, "inventory.json", text);
  g_free (text);
  g_free (hash);
}

static void
start_backend (struct fixture *f, const char *service_time)
{
  char *local = g_strdup_printf ("--local=127.0.0.1:%u", f->daemon.local_port);
  char *port = g_strdup_printf ("--port=%u", f->backend_port);
  char *time = g_strdup_printf ("--service-time=%s", service_time);
  char *log = g_strdup_printf ("%s/backend.log", f->dir);

  f->backend = process_start (
      log, "backend", "--service=booking", "--address=127.0.0.1", port, local,
      "--slots=8", "--queue=100", "--connections=32", time, "--seed=1", NULL);
  process_wait_for_status (f->backend_port, "/executions", 200);
  process_wait_for_text (f->daemon.local_port, "/almondvale/status",
                         "\"endpoints\" : 1");
  g_free (local);
  g_free (port);
  g_free (time);
  g_free (log);
}

static struct fixture
start (const char *service_time)
{
  struct fixture f = { .dir = process_make_dir () };
  char *settings_members;

  write_inventory (f.dir);
  settings_members
      = g_strdup_printf (",\"inventory_file\":\"%s/inventory.json\"", f.dir);
  /* "d1" is the member id, "fd1" the failure domain.  */
  process_start_daemon (&f.daemon, f.dir, "d1", "fd1", settings_members);
  g_free (settings_members);
  f.backend_port = process_get_port ();
  start_backend (&f, service_time);
  return f;
}

static void
stop (struct fixture *f)
{
  process_stop (f->backend, SIGKILL);
  process_stop (f->daemon.pid, SIGKILL);
  g_free (f->dir);
}

static struct process_reply
send_booking (const struct fixture *f, const char *id)
{
  char *line = g_strdup_printf ("X-Request-Id: %s", id);
  const char *headers[] = { AUTHORIZATION, line, NULL };
  struct process_reply reply = process_send (f->daemon.caller_port, "POST",
                                             "/slots", "{\"day\":1}", headers);

  g_free (line);
  return reply;
}

/* Returns how often the backend server has started the request with this id.
   It reports these counts, by request id, in the object "tags".  */
static int64_t
get_executions (const struct fixture *f, const char *id)
{
  struct process_reply r
      = process_send (f->backend_port, "GET", "/executions", "", NULL);

  return process_get_number (r.body, "tags", id);
}

static void
set_fault (const struct fixture *f, const char *json)
{
  ck_assert_int_eq (
      process_send (f->backend_port, "POST", "/control", json, NULL).status,
      200);
}

/* Guards against a retry of a non-idempotent request after the backend server
   has read it and then closed or reset the connection, whether new or
   reused.  */
START_TEST (booking_executes_once_when_backend_closes_after_reading)
{
  static const char *const faults[]
      = { "{\"fault\":\"close\",\"count\":1,\"connection\":\"any\"}",
          "{\"fault\":\"close\",\"count\":1,\"connection\":\"reused\"}",
          "{\"fault\":\"reset\",\"count\":1,\"connection\":\"any\"}",
          "{\"fault\":\"reset\",\"count\":1,\"connection\":\"reused\"}" };
  struct fixture f = start ("fixed:1");

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *id = g_strdup_printf ("b%zu", i);
      struct process_reply reply;

      if (i % 2 == 1)
        ck_assert_int_eq (send_booking (&f, "warm").status, 200);
      set_fault (&f, faults[i]);
      reply = send_booking (&f, id);
      ck_assert_int_eq (reply.status, 502);
      ck_assert_ptr_nonnull (strstr (reply.body, "may_have_run"));
      ck_assert_int_eq (get_executions (&f, id), 1);
      g_free (id);
    }
  stop (&f);
}
END_TEST

/* Guards against a draining daemon that still sends a request to its backend
   server, and against reporting that request as not run although it ran.  */
START_TEST (request_refused_during_drain_is_not_executed)
{
  struct fixture f = start ("fixed:1");
  struct process_reply reply;

  ck_assert_int_eq (
      process_send (f.daemon.local_port, "POST", "/almondvale/drain", "", NULL)
          .status,
      200);
  reply = send_booking (&f, "drained");
  ck_assert_int_eq (reply.status, 503);
  ck_assert_ptr_nonnull (strstr (reply.body, "\"not_run\""));
  ck_assert_int_eq (get_executions (&f, "drained"), 0);
  stop (&f);
}
END_TEST

/* Guards against a call that hangs, or is reported as "may have run", after
   the process of the backend server has ended.  No connection can be opened
   then, so the request did not run.  */
START_TEST (request_to_dead_backend_is_reported_as_not_run)
{
  struct fixture f = start ("fixed:1");
  struct process_reply reply;

  process_stop (f.backend, SIGKILL);
  reply = send_booking (&f, "dead");
  ck_assert_int_eq (reply.status, 502);
  ck_assert_ptr_nonnull (strstr (reply.body, "\"not_run\""));
  start_backend (&f, "fixed:1");
  ck_assert_int_eq (send_booking (&f, "alive").status, 200);
  ck_assert_int_eq (get_executions (&f, "alive"), 1);
  stop (&f);
}
END_TEST

static gpointer
send_in_thread (gpointer data)
{
  struct process_reply *reply = g_new (struct process_reply, 1);

  *reply = send_booking (data, "long");
  return reply;
}

/* Guards against a shutdown that aborts a running request.  */
START_TEST (shutdown_completes_running_requests)
{
  struct fixture f = start ("fixed:1500");
  GThread *thread = g_thread_new ("caller", send_in_thread, &f);
  struct process_reply *reply;
  int status;

  process_wait_for_text (f.daemon.local_port, "/metrics",
                         "almondvale_executions_total 1");
  status = process_stop (f.daemon.pid, SIGTERM);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  reply = g_thread_join (thread);
  ck_assert_int_eq (reply->result, HTTP_CLIENT_ANSWERED);
  ck_assert_int_eq (reply->status, 200);
  ck_assert_int_eq (get_executions (&f, "long"), 1);
  g_free (reply);
  process_stop (f.backend, SIGKILL);
  g_free (f.dir);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { booking_executes_once_when_backend_closes_after_reading,
          request_refused_during_drain_is_not_executed,
          request_to_dead_backend_is_reported_as_not_run,
          shutdown_completes_running_requests };

  return suite_run ("serve", cases, G_N_ELEMENTS (cases));
}
