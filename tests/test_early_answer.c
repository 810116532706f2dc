/* Tests of almondvaled-platform with a backend server that answers an upload
   before it has read it.  */

#include "process.h"
#include "suite.h"

#include <arpa/inet.h>

#define KEY "aaaaaaaaaaaaaaaaaaaa"
#define UPLOAD_BYTES ((size_t)6 << 20)
/* Uploads for each way in which the connection ends.  */
#define UPLOADS 6

/* Where the backend server resets the connection.  */
enum reset
{
  RESET_AT_ONCE,     /* when it has answered */
  RESET_AFTER_BYTES, /* when it has read some of the upload */
  RESET_KINDS
};

static void
reset_connection (int fd)
{
  struct linger now = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

/* Answers one request with the first bytes of a body without a length and
   resets the connection.  */
static void
answer_early (int fd, enum reset reset)
{
  static const char id_name[] = "X-Almondvale-Attempt-Id: ";
  char bytes[65536];
  char *answer;
  char *id;
  ssize_t len = recv (fd, bytes, sizeof bytes - 1, 0);

  bytes[MAX (len, 0)] = '\0';
  id = strstr (bytes, id_name);
  answer = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Almondvale-Response-Signature: 5e.1\r\n"
      "%s%.*s\r\n\r\npart of a body",
      id_name, id != NULL ? (int)strcspn (id + strlen (id_name), "\r") : 0,
      id != NULL ? id + strlen (id_name) : "");
  send (fd, answer, strlen (answer), MSG_NOSIGNAL);
  g_free (answer);
  for (int i = 0; reset == RESET_AFTER_BYTES && i < 8; i++)
    recv (fd, bytes, sizeof bytes, 0);
  reset_connection (fd);
}

/* Runs the backend server in a process of its own.  */
static pid_t
start_backend (uint16_t port)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int one = 1;
  pid_t pid;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  ck_assert_int_eq (listen (listener, 16), 0);
  pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      for (unsigned i = 0;; i++)
        answer_early (accept (listener, NULL, NULL),
                      (enum reset) (i % RESET_KINDS));
    }
  close (listener);
  return pid;
}

static void
report_backend (const struct process_machine *m)
{
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z0\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
      "\"coldRemaining\":\"0ms\",\"seq\":1,\"born\":1000}",
      m->service, m->backend);

  ck_assert_int_eq (process_send (m->control, "POST",
                                  "/almondvale/instances/i-0/heartbeat", body,
                                  NULL)
                        .status,
                    200);
  g_free (body);
}

/* Guards against a part of a body that is passed on as a whole answer: the
   backend server answers an upload at once with a 200 without a length, sends
   some bytes and resets the connection while the upload is being written.  */
START_TEST (part_of_an_early_answer_is_not_passed_on)
{
  static const char config[]
      = "{\"version\":1,\"routes\":{\"columns\":[\"name\",\"host\","
        "\"pathPrefix\",\"kind\",\"timeout\",\"service\"],\"rows\":["
        "[\"r1\",\"h.example\",\"/up/\",\"upload\",\"10s\",\"media\"]]},"
        "\"services\":{\"columns\":[\"name\"],\"rows\":[[\"media\"]]},"
        "\"tenants\":{\"columns\":[\"name\",\"apiKeys\"],\"rows\":["
        "[\"w1\",[\"" KEY "\"]]]}}";
  char *dir = process_make_dir ();
  uint16_t store = process_get_port ();
  char *log = g_strdup_printf ("%s/machines.log", dir);
  char *store_arg = g_strdup_printf ("--store=%u", store);
  char *config_arg = g_strdup_printf ("--config=%s/config.json", dir);
  char *upload = g_strnfill (UPLOAD_BYTES, 'u');
  struct process_machine m;
  pid_t machines, backend;

  process_write_file (dir, "config.json", config);
  process_init_machine (&m, 0, "media", store);
  machines = process_start (log, "machines", store_arg, config_arg, NULL);
  process_wait_for_status (store, "/standin/executions", 200);
  backend = start_backend (m.backend);
  process_start_machine (&m, dir);
  process_wait_for_status (m.ready, "/almondvale/ready", 200);
  report_backend (&m);
  for (int i = 0; i < UPLOADS * RESET_KINDS; i++)
    {
      struct process_reply r = process_send (
          m.caller, "POST", "/up/x", upload,
          (const char *[]){ "Host: h.example", "X-Almondvale-Attempt-Id: 9c41",
                            "X-Almondvale-Deadline-Ms: 9000",
                            "Authorization: Bearer " KEY, NULL });

      ck_assert_msg (r.status == 502, "upload %d: %d %s", i, r.status, r.body);
    }
  process_stop (m.pid, SIGKILL);
  process_stop (machines, SIGKILL);
  process_stop (backend, SIGKILL);
  g_free (upload);
  g_free (config_arg);
  g_free (store_arg);
  g_free (log);
  g_free (dir);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { part_of_an_early_answer_is_not_passed_on };

  return suite_run ("early_answer", cases, sizeof cases / sizeof *cases);
}
