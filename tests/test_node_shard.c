/* Tests of node_shard with a real daemon without a platform, which holds all
   shards itself.  */

#include "process.h"
#include "suite.h"

#define SECRET "0123456789abcdef0123"
#define KEY "av_k1_" SECRET
#define AUTHORIZATION "Authorization: Bearer " KEY

struct fixture
{
  char *dir;
  struct process_daemon daemon;
  pid_t backend;
  uint16_t backend_port;
};

static struct fixture
start (int rate, int burst)
{
  struct fixture f
      = { .dir = process_make_dir (), .backend_port = process_get_port () };
  char *hash = process_hash_key (KEY);
  char *text = g_strdup_printf (
      "{\"services\":[{\"name\":\"notes\"}],\"routes\":["
      "{\"name\":\"book\",\"service\":\"notes\",\"path_prefix\":\"/book\","
      "\"methods\":[\"GET\",\"POST\"],\"idempotent\":false,"
      "\"idempotency_key\":\"optional\"}],"
      "\"workspaces\":[{\"name\":\"w1\",\"rate_per_s\":%d,\"burst\":%d}],"
      "\"keys\":[{\"id\":\"k1\",\"sha256\":\"%s\",\"workspace\":\"w1\"}]}",
      rate, burst, hash);
  char *members
      = g_strdup_printf (",\"inventory_file\":\"%s/inventory.json\"", f.dir);
  char *local, *port, *log;

  process_write_file (f.dir, "inventory.json", text);
  process_start_daemon (&f.daemon, f.dir, "d1", "fd1", members);
  local = g_strdup_printf ("--local=127.0.0.1:%u", f.daemon.local);
  port = g_strdup_printf ("--port=%u", f.backend_port);
  log = g_strdup_printf ("%s/backend.log", f.dir);
  f.backend = process_start (log, "backend", "--service=notes",
                             "--address=127.0.0.1", port, local, "--slots=8",
                             "--queue=100", "--connections=32",
                             "--service-time=fixed:1", "--seed=1", NULL, NULL);
  process_await (f.backend_port, "/executions", 200);
  process_await_text (f.daemon.local, "/almondvale/status",
                      "\"endpoints\" : 1");
  g_free (hash);
  g_free (text);
  g_free (members);
  g_free (local);
  g_free (port);
  g_free (log);
  return f;
}

static void
stop (struct fixture *f)
{
  process_stop (f->backend, SIGKILL);
  process_stop (f->daemon.pid, SIGKILL);
  g_free (f->dir);
}

static int64_t
get_total (const struct fixture *f)
{
  struct process_reply r
      = process_send (f->backend_port, "GET", "/executions", "", NULL);

  return process_get_number (r.body, NULL, "started");
}

/* Key whose time is now.  */
static char *
make_key (unsigned int tail)
{
  gint64 ms = g_get_real_time () / 1000;

  return g_strdup_printf ("Idempotency-Key: %08x-%04x-7abc-8def-%012x",
                          (unsigned int)(ms >> 16), (unsigned int)ms & 0xffff,
                          tail);
}

/* Guards against a workspace over its burst and rate, and one that is refused
   while within them.  */
START_TEST (rate_is_enforced)
{
  const char *lines[] = { AUTHORIZATION, NULL };
  struct fixture f = start (5, 10);
  int passed = 0, refused = 0;
  gint64 begun;

  g_usleep (3000000);
  begun = g_get_monotonic_time ();
  for (int i = 0; i < 60; i++)
    {
      struct process_reply r
          = process_send (f.daemon.caller, "GET", "/book/1", "", lines);

      passed += r.status == 200;
      refused += r.status == 429;
    }
  begun = g_get_monotonic_time () - begun;
  ck_assert_int_eq (passed + refused, 60);
  ck_assert_int_ge (passed, 9);
  ck_assert_int_le (passed, 10 + (int)(5 * begun / 1000000) + 1);
  stop (&f);
}
END_TEST

/* Guards against a repeated key that runs again or gets another answer, a key
   that stands for another request, and keys without a trustworthy time.  */
START_TEST (key_runs_once)
{
  char *key = make_key (1), *early = make_key (2);
  const char *lines[] = { AUTHORIZATION, key, NULL };
  const char *bad[]
      = { AUTHORIZATION,
          "Idempotency-Key: 018bcfe5-6800-4abc-8def-0123456789ab", NULL };
  const char *unknown[] = { AUTHORIZATION, early, NULL };
  struct fixture f = start (1000, 1000);
  struct process_reply first, again;

  /* Keys up to twice the skew after the holder's start are not taken.  */
  g_usleep (4500000);
  again = process_send (f.daemon.caller, "POST", "/book/1", "a", unknown);
  ck_assert_msg (strstr (again.body, "outcome_unknown") != NULL, "%s",
                 again.body);
  g_free (key);
  key = make_key (1);
  lines[1] = key;
  first = process_send (f.daemon.caller, "POST", "/book/1", "a", lines);
  ck_assert_int_eq (first.status, 200);
  again = process_send (f.daemon.caller, "POST", "/book/1", "a", lines);
  ck_assert_int_eq (again.status, 200);
  ck_assert_str_eq (first.body, again.body);
  ck_assert_int_eq (get_total (&f), 1);
  again = process_send (f.daemon.caller, "POST", "/book/1", "b", lines);
  ck_assert_int_eq (again.status, 422);
  again = process_send (f.daemon.caller, "POST", "/book/1", "a", bad);
  ck_assert_int_eq (again.status, 400);
  ck_assert_int_eq (get_total (&f), 1);
  g_free (key);
  g_free (early);
  stop (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { rate_is_enforced, key_runs_once };

  return suite_run ("node_shard", cases, G_N_ELEMENTS (cases));
}
