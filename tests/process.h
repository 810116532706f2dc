/* process: starts daemons and stand-ins as processes on loopback, for tests.

   The processes end with the test program.  A port is checked before use but
   not reserved; if it is taken in between, the test fails at start.  */

#ifndef ALMONDVALE_TESTS_PROCESS_H
#define ALMONDVALE_TESTS_PROCESS_H

#include "clock.h"
#include "http_client.h"

#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <linux/close_range.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Constants */

/* Upper limit of every wait.  It asserts nothing about speed; it only makes a
   test fail instead of waiting for ever.  */
#define PROCESS_WAIT_MAX_US (20 * CLOCK_US_PER_S)
#define PROCESS_POLL_INTERVAL_US 10000
#define PROCESS_PORT_MIN 10000u
#define PROCESS_PORT_MAX 32000u
/* Each test process locks a block of ports while it runs and uses only ports
   of that block.  Otherwise one of two test programs that run at the same time
   could take a port that the other has chosen and not yet used.  */
#define PROCESS_PORT_BLOCK_COUNT 44u
#define PROCESS_PORTS_PER_BLOCK 500u

/* Types */

struct process_reply
{
  enum http_client_result result;
  int status;
  char body[65536];
};

/* An almondvaled process and its ports.  */
struct process_daemon
{
  pid_t pid;
  uint16_t caller_port, local_port, peer_port, control_port;
  char dir[64];
};

/* Public functions */

/* Locks a block of ports.  Returns its first port, as an offset from
   PROCESS_PORT_MIN.  */
static inline uint32_t
process_lock_port_block (void)
{
  for (uint32_t i = 0; i < PROCESS_PORT_BLOCK_COUNT; i++)
    {
      uint32_t block = ((uint32_t)getpid () + i) % PROCESS_PORT_BLOCK_COUNT;
      char *path = g_strdup_printf ("%s/almondvale-ports-%u", g_get_tmp_dir (),
                                    block);
      int fd = open (path, O_CREAT | O_RDWR | O_CLOEXEC, 0600);

      g_free (path);
      /* The process holds the lock until it ends.  */
      if (fd >= 0 && flock (fd, LOCK_EX | LOCK_NB) == 0)
        return block * PROCESS_PORTS_PER_BLOCK;
      if (fd >= 0)
        close (fd);
    }
  ck_abort_msg ("all blocks of ports are locked by other test processes");
}

/* Returns a free port.  All ports are below the range of outgoing connections:
   while a daemon is restarted its port is free for a moment, and an outgoing
   connection could take it.  */
static inline uint16_t
process_get_port (void)
{
  static uint32_t next;

  if (next == 0)
    next = process_lock_port_block () + 1;
  for (;;)
    {
      struct sockaddr_in sin = { .sin_family = AF_INET };
      uint16_t port
          = (uint16_t)(PROCESS_PORT_MIN
                       + next++ % (PROCESS_PORT_MAX - PROCESS_PORT_MIN));
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      bool is_free;

      sin.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      sin.sin_port = htons (port);
      is_free = bind (fd, (struct sockaddr *)&sin, sizeof sin) == 0;
      close (fd);
      if (is_free)
        return port;
    }
}

/* Starts a program of the build folder and appends its output to the file
   `log`.  */
static inline pid_t
process_start (const char *log, const char *program, ...)
{
  const char *build = g_getenv ("ALMONDVALE_BUILD");
  char *path
      = g_build_filename (build != NULL ? build : "build", program, NULL);
  const char *argv[32] = { path };
  va_list args;
  pid_t pid;
  int argc = 1;

  va_start (args, program);
  while ((argv[argc] = va_arg (args, const char *)) != NULL)
    argc++;
  va_end (args);
  pid = fork ();
  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    {
      int fd = open (log, O_CREAT | O_APPEND | O_WRONLY, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      /* A connection of the test that this process inherited would stay open
         after the test closes it.  */
      if (close_range (STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC) != 0)
        _exit (126);
      execv (path, (char *const *)argv);
      _exit (127);
    }
  g_free (path);
  return pid;
}

/* Waits for a process to end and returns its wait status.  */
static inline int
process_wait (pid_t pid)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;
  int status;

  while (waitpid (pid, &status, WNOHANG) == 0)
    {
      ck_assert_msg (clock_now_us () < end_us, "process %d does not end",
                     (int)pid);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
  return status;
}

/* Sends a signal to a process, waits for its end and returns its wait
   status.  */
static inline int
process_stop (pid_t pid, int signal_number)
{
  kill (pid, signal_number);
  return process_wait (pid);
}

/* Internal: state of process_send.  */
struct process_exchange
{
  struct event_base *base;
  struct process_reply *reply;
};

static inline void
process_on_done (void *data, const struct http_client_answer *answer)
{
  struct process_exchange *x = data;

  x->reply->result = answer->result;
  x->reply->status = answer->status;
  g_snprintf (x->reply->body, sizeof x->reply->body, "%.*s",
              STR_ARG (answer->body));
  event_base_loopbreak (x->base);
}

/* Sends one request on a new connection and waits for the response; the
   headers are "name: value" lines, terminated by NULL.  */
static inline struct process_reply
process_send (uint16_t port, const char *method, const char *target,
              const char *body, const char *const *header_lines)
{
  struct event_base *base = event_base_new ();
  struct http_client_pool *pool = http_client_load_pool (
      base, STR_LIT ("127.0.0.1"), port, 1, (size_t)16 << 20);
  struct http_head_field headers[16];
  struct process_reply reply = { 0 };
  struct process_exchange x = { base, &reply };
  struct http_client_request q = { .method = method,
                                   .target = str_from_cstr (target),
                                   .headers = headers,
                                   .body = str_from_cstr (body),
                                   .timeout_us = PROCESS_WAIT_MAX_US,
                                   .done = process_on_done,
                                   .data = &x };

  for (; header_lines != NULL && *header_lines != NULL; header_lines++)
    {
      const char *colon = strstr (*header_lines, ": ");

      headers[q.headers_len++]
          = (struct http_head_field){ { (size_t)(colon - *header_lines),
                                        *header_lines },
                                      str_from_cstr (colon + 2) };
    }
  http_client_send (pool, &q);
  event_base_dispatch (base);
  http_client_unload_pool (pool);
  event_base_free (base);
  return reply;
}

/* Repeats a GET request until the response has the status.  */
static inline void
process_wait_for_status (uint16_t port, const char *target, int status)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;

  while (process_send (port, "GET", target, "", NULL).status != status)
    {
      ck_assert_msg (clock_now_us () < end_us, "%s does not answer %d", target,
                     status);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
}

/* Repeats a GET request until the body of the response contains the text.  */
static inline void
process_wait_for_text (uint16_t port, const char *target, const char *text)
{
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;

  while (strstr (process_send (port, "GET", target, "", NULL).body, text)
         == NULL)
    {
      ck_assert_msg (clock_now_us () < end_us, "%s does not show %s", target,
                     text);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
}

/* Changes a state of the stand-in, for example "store" to "down".  */
static inline void
process_set_standin (uint16_t port, const char *what, const char *body)
{
  char *target = g_strdup_printf ("/standin/%s", what);

  ck_assert_int_eq (process_send (port, "PUT", target, body, NULL).status,
                    200);
  g_free (target);
}

/* Returns an integer member of a JSON text, or of one of its objects unless
   `object` is NULL; 0 if there is no such member.  */
static inline int64_t
process_get_number (const char *json, const char *object, const char *member)
{
  JsonParser *parser = json_parser_new ();
  int64_t value = 0;
  JsonObject *o;

  ck_assert (json_parser_load_from_data (parser, json, -1, NULL));
  o = json_node_get_object (json_parser_get_root (parser));
  if (object != NULL)
    o = json_object_get_object_member (o, object);
  if (o != NULL && json_object_has_member (o, member))
    value = json_object_get_int_member (o, member);
  g_object_unref (parser);
  return value;
}

static inline void
process_write_file (const char *dir, const char *name, const char *text)
{
  char *path = g_build_filename (dir, name, NULL);

  ck_assert (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

static inline char *
process_make_dir (void)
{
  char *dir = g_dir_make_tmp ("almondvale-test-XXXXXX", NULL);

  ck_assert_ptr_nonnull (dir);
  return dir;
}

/* Writes the settings file of a daemon, starts it and waits until it responds.
   `members` holds additional members of the settings, each with a comma before
   it.  Ports are chosen at the first start and kept for later ones.  */
static inline void
process_start_daemon (struct process_daemon *d, const char *dir,
                      const char *id, const char *domain, const char *members)
{
  char *settings = g_strdup_printf ("%s.json", id);
  char *log = g_strdup_printf ("%s/%s.log", dir, id);
  char *path = g_build_filename (dir, settings, NULL);
  char *text;

  if (d->caller_port == 0)
    {
      d->caller_port = process_get_port ();
      d->local_port = process_get_port ();
      d->peer_port = process_get_port ();
      d->control_port = process_get_port ();
    }
  text = g_strdup_printf (
      "{\"member_id\":\"%s\",\"failure_domain\":\"%s\",\"region\":\"r1\","
      "\"address\":\"127.0.0.1\",\"ports\":{\"caller\":%u,\"local\":%u,"
      "\"peer\":%u,\"control\":%u}%s}",
      id, domain, d->caller_port, d->local_port, d->peer_port, d->control_port,
      members);
  process_write_file (dir, settings, text);
  d->pid = process_start (log, "almondvaled", "--settings", path, NULL);
  process_wait_for_status (d->local_port, "/almondvale/status", 200);
  g_free (settings);
  g_free (log);
  g_free (path);
  g_free (text);
}

/* Returns the first of two consecutive free ports.  */
static inline uint16_t
process_get_port_pair (void)
{
  uint16_t first = process_get_port ();
  uint16_t second;

  while ((second = process_get_port ()) != first + 1)
    first = second;
  return first;
}

/* An almondvaled-platform process and its ports; the stand-in `machines` runs
   its backend server.  */
struct process_machine
{
  int index;
  const char *service;
  pid_t pid;
  uint16_t caller, control, ready, backend, peer;
  uint16_t store; /* port of the metadata store, or of a proxy for it */
  const char *settings_path; /* almondvale's settings (--settings), or NULL */
  const char *bounds;        /* further limits as JSON texts, or NULL */
  /* more members of the platform's file, each with a comma before it, or
     NULL */
  const char *members;
};

/* Initializes a daemon with free ports.  */
static inline void
process_init_machine (struct process_machine *m, int index,
                      const char *service, uint16_t store)
{
  *m = (struct process_machine){ .index = index,
                                 .service = service,
                                 .caller = process_get_port (),
                                 .control = process_get_port (),
                                 .ready = process_get_port (),
                                 .backend = process_get_port (),
                                 .peer = process_get_port_pair (),
                                 .store = store };
}

/* Writes the settings file in the platform's format, n-INDEX.json, and starts
   the daemon with it.  The output is appended to n-INDEX.log.  */
static inline void
process_start_machine (struct process_machine *m, const char *dir)
{
  char *text = g_strdup_printf (
      "{\"node\":\"n-%d\",\"ip\":\"127.0.0.1\",\"zone\":\"z%d\","
      "\"region\":\"r\",\"service\":\"%s\",\"appAddr\":\"127.0.0.1:%u\","
      "\"listen\":{\"outbound\":\"127.0.0.1:%u\",\"ready\":\"127.0.0.1:%u\","
      "\"control\":\"127.0.0.1:%u\"},\"internalPortRange\":[%u,%u],"
      "\"bounds\":[\"grace=6s\"%s],"
      "\"platform\":{\"address\":\"127.0.0.1:%u\"}%s}",
      m->index, m->index % 3, m->service, m->backend, m->caller, m->ready,
      m->control, m->peer, m->peer + 1, m->bounds != NULL ? m->bounds : "",
      m->store, m->members != NULL ? m->members : "");
  char *name = g_strdup_printf ("n-%d.json", m->index);
  char *path = g_build_filename (dir, name, NULL);
  char *log = g_strdup_printf ("%s/n-%d.log", dir, m->index);

  process_write_file (dir, name, text);
  g_setenv ("ALMONDVALE_SETTINGS", path, TRUE);
  m->pid = process_start (log, "almondvaled-platform",
                          m->settings_path != NULL ? "--settings" : NULL,
                          m->settings_path, NULL);
  g_free (text);
  g_free (name);
  g_free (path);
  g_free (log);
}

/* Returns the SHA-256 of a key as hexadecimal digits; free it with g_free.  */
static inline char *
process_hash_key (const char *key)
{
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
}

#endif
