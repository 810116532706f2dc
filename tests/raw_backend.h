/* raw_backend: a backend server of its own process for tests of
   almondvaled-platform, which answers with bytes that the test chooses.  */

#ifndef ALMONDVALE_TESTS_RAW_BACKEND_H
#define ALMONDVALE_TESTS_RAW_BACKEND_H

#include "process.h"

#include <arpa/inet.h>

/* Constants */

#define RAW_BACKEND_KEY "aaaaaaaaaaaaaaaaaaaa"
#define RAW_BACKEND_ID "X-Almondvale-Attempt-Id: 9c41"
#define RAW_BACKEND_HEAD                                                      \
  "HTTP/1.1 200 OK\r\nX-Almondvale-Response-Signature: "                      \
  "5e.1\r\n" RAW_BACKEND_ID "\r\n"

/* Types */

/* A daemon with its store and backend server.  */
struct raw_backend
{
  char *dir;
  uint16_t store;
  struct process_machine daemon;
  pid_t machines;
  pid_t backend;
};

/* Public functions */

/* Starts them with the route /up/ of the kind upload.  The backend server
   passes each connection to `answer`, with its number from 0.  */
static inline struct raw_backend
raw_backend_start (void (*answer) (int fd, unsigned number))
{
  static const char config[]
      = "{\"version\":1,\"routes\":{\"columns\":[\"name\",\"host\","
        "\"pathPrefix\",\"kind\",\"timeout\",\"service\"],\"rows\":["
        "[\"r1\",\"h.example\",\"/up/\",\"upload\",\"10s\",\"media\"]]},"
        "\"services\":{\"columns\":[\"name\"],\"rows\":[[\"media\"]]},"
        "\"tenants\":{\"columns\":[\"name\",\"apiKeys\"],\"rows\":["
        "[\"w1\",[\"" RAW_BACKEND_KEY "\"]]]}}";
  struct raw_backend b
      = { .dir = process_make_dir (), .store = process_get_port () };
  struct sockaddr_in at = { .sin_family = AF_INET };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  char *log = g_strdup_printf ("%s/machines.log", b.dir);
  char *store_arg = g_strdup_printf ("--store=%u", b.store);
  char *config_arg = g_strdup_printf ("--config=%s/config.json", b.dir);
  char *report;
  int one = 1;

  process_write_file (b.dir, "config.json", config);
  process_init_machine (&b.daemon, 0, "media", b.store);
  b.machines = process_start (log, "machines", store_arg, config_arg, NULL);
  process_wait_for_status (b.store, "/standin/executions", 200);
  at.sin_port = htons (b.daemon.backend);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  ck_assert_int_eq (listen (listener, 16), 0);
  b.backend = fork ();
  if (b.backend == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      for (unsigned i = 0;; i++)
        answer (accept (listener, NULL, NULL), i);
    }
  close (listener);
  process_start_machine (&b.daemon, b.dir);
  process_wait_for_status (b.daemon.ready, "/almondvale/ready", 200);
  report = g_strdup_printf (
      "{\"service\":\"media\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z0\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
      "\"coldRemaining\":\"0ms\",\"seq\":1,\"born\":1000}",
      b.daemon.backend);
  ck_assert_int_eq (process_send (b.daemon.control, "POST",
                                  "/almondvale/instances/i-0/heartbeat",
                                  report, NULL)
                        .status,
                    200);
  g_free (report);
  g_free (config_arg);
  g_free (store_arg);
  g_free (log);
  return b;
}

/* Sends an upload.  Until the daemon knows its backend server, it refuses it
   as not run.  */
static inline struct process_reply
raw_backend_upload (const struct raw_backend *b, const char *body)
{
  const char *const lines[]
      = { "Host: h.example", RAW_BACKEND_ID, "X-Almondvale-Deadline-Ms: 9000",
          "Authorization: Bearer " RAW_BACKEND_KEY, NULL };
  struct process_reply r
      = process_send (b->daemon.caller, "POST", "/up/x", body, lines);

  while (r.status == 503)
    {
      g_usleep (PROCESS_POLL_INTERVAL_US);
      r = process_send (b->daemon.caller, "POST", "/up/x", body, lines);
    }
  return r;
}

static inline void
raw_backend_stop (struct raw_backend *b)
{
  if (b->daemon.pid > 0)
    process_stop (b->daemon.pid, SIGKILL);
  process_stop (b->machines, SIGKILL);
  process_stop (b->backend, SIGKILL);
  g_free (b->dir);
}

#endif
