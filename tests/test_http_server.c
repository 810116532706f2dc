/* Tests of http_server: open connections after the listener has stopped, and
   callers that connect while no connection can be accepted.  */

#include "clock.h"
#include "http_server.h"
#include "logger.h"
#include "scarce.h"
#include "suite.h"

#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MAX 8

/* Only ends a test that hangs; not a bound on speed.  */
#define WAIT_US (20 * CLOCK_US_PER_S)

static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

struct fixture
{
  struct event_base *base;
  struct http_server *server;
  struct http_server_exchange *open; /* the request not yet answered */
  uint16_t port;
};

static void
on_request (void *owner, struct http_server_exchange *x)
{
  struct fixture *f = owner;

  f->open = x;
}

static void
on_disconnect (void *owner, struct http_server_exchange *x)
{
  struct fixture *f = owner;

  f->open = NULL;
}

static const struct http_server_ops ops = { on_request, on_disconnect };

static void
open_fixture (struct fixture *f)
{
  const struct http_server_limits limits = { .headers_bytes = 4096,
                                             .body_bytes = 4096,
                                             .connections = CONNECTIONS_MAX,
                                             .idle_timeout_s = 60 };

  memset (f, 0, sizeof *f);
  f->base = event_base_new ();
  /* Below the range of ephemeral ports, as in process.h.  */
  for (f->port = (uint16_t)(9000 + getpid () % 900); f->server == NULL;
       f->port++)
    f->server = http_server_load (f->base, STR_LIT ("127.0.0.1"), f->port,
                                  &limits, &ops, f, 0);
  f->port--;
}

static void
close_fixture (struct fixture *f)
{
  http_server_unload (f->server);
  event_base_free (f->base);
}

static void
on_poll (evutil_socket_t fd, short what, void *data)
{
  event_base_loopbreak (data);
}

/* Runs the event loop of the server for this time.  */
static void
run_for (struct fixture *f, int us)
{
  struct timeval wait = { 0, us };

  event_base_once (f->base, -1, EV_TIMEOUT, on_poll, f->base, &wait);
  event_base_dispatch (f->base);
}

static int
connect_to (const struct fixture *f)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons (f->port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&at, sizeof at), 0);
  return fd;
}

static void
send_request (struct fixture *f, int fd)
{
  int64_t end_us = clock_now_us () + WAIT_US;

  ck_assert_int_eq (write (fd, request, sizeof request - 1),
                    sizeof request - 1);
  while (f->open == NULL)
    {
      ck_assert_msg (clock_now_us () < end_us, "the request was not received");
      run_for (f, 1000);
    }
}

/* Answers the open request.  */
static void
send_answer (struct fixture *f)
{
  struct http_server_exchange *x = f->open;

  f->open = NULL;
  http_server_answer (x, 200, NULL, 0, STR_LIT ("done"));
}

/* Reads into got until the peer has closed the connection or, if text is not
   NULL, until got contains text.  */
static void
read_until (struct fixture *f, int fd, const char *text, char got[4096])
{
  int64_t end_us = clock_now_us () + WAIT_US;
  struct pollfd readable = { .fd = fd, .events = POLLIN };
  size_t len = 0;

  for (;;)
    {
      ssize_t n;

      ck_assert_msg (clock_now_us () < end_us,
                     "received neither the end of the stream nor \"%s\"",
                     text != NULL ? text : "");
      run_for (f, 1000);
      if (poll (&readable, 1, 0) == 0)
        continue;
      n = read (fd, got + len, 4095 - len);
      ck_assert_int_ge (n, 0);
      len += (size_t)n;
      got[len] = '\0';
      if (n == 0 || (text != NULL && strstr (got, text) != NULL))
        return;
    }
}

/* Guards against leaving a connection without a request open until the process
   exits: a request sent on it at the last moment would be cut off.  */
START_TEST (idle_connection_is_closed_after_listener_stops)
{
  struct fixture f;
  char got[4096] = "";
  int fd;

  open_fixture (&f);
  fd = connect_to (&f);
  send_request (&f, fd);
  send_answer (&f);
  read_until (&f, fd, "done", got);
  ck_assert_ptr_null (strstr (got, "close"));
  http_server_stop_listening (f.server);
  got[0] = '\0';
  read_until (&f, fd, NULL, got);
  ck_assert_str_eq (got, "");
  close (fd);
  close_fixture (&f);
}
END_TEST

/* Guards against cutting off an open request when the listener stops, and
   against keeping its connection open after the answer.  */
START_TEST (open_request_is_answered_and_its_connection_closed)
{
  struct fixture f;
  char got[4096] = "";
  int fd;

  open_fixture (&f);
  fd = connect_to (&f);
  send_request (&f, fd);
  http_server_stop_listening (f.server);
  /* 2.5 s, longer than a connection without a request is kept open.  */
  for (int i = 0; i < 25; i++)
    run_for (&f, 100000);
  send_answer (&f);
  read_until (&f, fd, NULL, got);
  ck_assert_ptr_nonnull (strstr (got, "Connection: close"));
  ck_assert_ptr_nonnull (strstr (got, "done"));
  close (fd);
  close_fixture (&f);
}
END_TEST

/* Sends a request on a new connection and answers it.  */
static int
open_idle_connection (struct fixture *f)
{
  char got[4096] = "";
  int fd = connect_to (f);

  send_request (f, fd);
  send_answer (f);
  read_until (f, fd, "done", got);
  return fd;
}

/* Runs the event loop until the listener is reported to have a caller that is
   not accepted.  */
static void
wait_until_waiting (struct fixture *f, struct http_server_stats *stats)
{
  int64_t end_us = clock_now_us () + WAIT_US;

  do
    {
      ck_assert_msg (clock_now_us () < end_us, "no caller waits");
      run_for (f, 1000);
      http_server_get_stats (f->server, stats);
    }
  while (!stats->waiting);
}

/* Guards against reporting no waiting caller while the listener is at its
   limit, so that the state looks like one without load and the daemon says
   that it is ready.  */
START_TEST (waiting_caller_is_reported_at_the_limit)
{
  struct http_server_stats stats;
  struct fixture f;
  int fds[CONNECTIONS_MAX];
  int last;

  open_fixture (&f);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = connect_to (&f);
      send_request (&f, fds[i]);
      f.open = NULL; /* stays unanswered */
    }
  http_server_get_stats (f.server, &stats);
  ck_assert (!stats.waiting);
  ck_assert_int_eq (http_server_get_paused_us (f.server, clock_now_us ()), 0);
  last = connect_to (&f);
  wait_until_waiting (&f, &stats);
  ck_assert_uint_eq (stats.open, CONNECTIONS_MAX);
  run_for (&f, 100000);
  ck_assert_int_ge (http_server_get_paused_us (f.server, clock_now_us ()),
                    50000);
  ck_assert_uint_eq (stats.accepted, CONNECTIONS_MAX);
  close (last);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  run_for (&f, 100000);
  close_fixture (&f);
}
END_TEST

/* Guards against callers that are never accepted after the listener was at its
   limit, although connections have ended since.  */
START_TEST (caller_is_accepted_after_a_connection_ends_at_the_limit)
{
  struct fixture f;
  struct http_server_exchange *open[CONNECTIONS_MAX];
  int fds[CONNECTIONS_MAX];
  int last;

  open_fixture (&f);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      fds[i] = connect_to (&f);
      send_request (&f, fds[i]);
      open[i] = f.open;
      f.open = NULL;
    }
  last = connect_to (&f);
  run_for (&f, 100000);
  /* The others are busy and send nothing that wakes the listener.  */
  http_server_drop (open[0]);
  send_request (&f, last);
  close (last);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  run_for (&f, 100000);
  close_fixture (&f);
}
END_TEST

/* Guards against turning new callers away for the whole idle timeout because
   other callers keep connections that they do not use.  */
START_TEST (idle_connection_makes_room_for_a_new_caller)
{
  struct fixture f;
  char got[4096] = "";
  int fds[CONNECTIONS_MAX];
  int last;

  open_fixture (&f);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    fds[i] = open_idle_connection (&f);
  last = open_idle_connection (&f);
  /* The connection that was idle for longest has ended, the others are
     open.  */
  read_until (&f, fds[0], NULL, got);
  ck_assert_str_eq (got, "");
  for (int i = 1; i < CONNECTIONS_MAX; i++)
    {
      send_request (&f, fds[i]);
      send_answer (&f);
      read_until (&f, fds[i], "done", got);
    }
  close (last);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    close (fds[i]);
  close_fixture (&f);
}
END_TEST

/* Guards against accepting nothing more after one accept failed for lack of
   descriptors, while the callers that are connected keep their connections:
   the daemon would say that it is ready and take no new connection.  */
START_TEST (listener_accepts_again_after_lack_of_descriptors)
{
  struct fixture f;
  char got[4096] = "";
  struct scarce_descriptors taken;
  int kept;
  int last;

  open_fixture (&f);
  kept = open_idle_connection (&f);
  last = connect_to (&f);
  scarce_take (&taken);
  run_for (&f, 200000);
  scarce_return (&taken);
  send_request (&f, last);
  send_answer (&f);
  read_until (&f, last, "done", got);
  close (last);
  close (kept);
  close_fixture (&f);
}
END_TEST

/* Sends a request with these lines after the request line and returns whether
   its head is invalid.  */
static bool
is_head_invalid (struct fixture *f, const char *lines)
{
  char *text = g_strdup_printf ("GET /x HTTP/1.1\r\nHost: h\r\n%s\r\n", lines);
  int fd = connect_to (f);
  bool invalid;

  f->open = NULL;
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  while (f->open == NULL)
    run_for (f, 1000);
  invalid = f->open->headers_invalid;
  send_answer (f);
  close (fd);
  g_free (text);
  return invalid;
}

/* Guards against a field that is forwarded with another name or value than the
   caller's: libmicrohttpd makes "X-Oddb: a" of a folded line.  */
START_TEST (malformed_head_is_detected)
{
  static const char *const malformed[] = { "X-Odd: a\r\n  b\r\n",
                                           "X-Odd: a\r\n\tb\r\nB: c\r\n",
                                           "A: b\r\nX-Odd:\r\n b\r\n",
                                           "X Odd: a\r\n",
                                           "X-Odd : a\r\n",
                                           "X-Odd: \x01\r\n" };
  static const char *const allowed[] = {
    "",           "X-Odd:a\r\n",         "X-Odd: \t a b\t \r\n",
    "X-Odd:\r\n", "X-Odd: \r\nB: c\r\n", "X-Odd: \xc3\xa4\r\nX-Odd: 2\r\n"
  };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    ck_assert_msg (is_head_invalid (&f, malformed[i]), "malformed %zu", i);
  for (size_t i = 0; i < G_N_ELEMENTS (allowed); i++)
    ck_assert_msg (!is_head_invalid (&f, allowed[i]), "allowed %zu", i);
  close_fixture (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { idle_connection_is_closed_after_listener_stops,
          open_request_is_answered_and_its_connection_closed,
          waiting_caller_is_reported_at_the_limit,
          caller_is_accepted_after_a_connection_ends_at_the_limit,
          idle_connection_makes_room_for_a_new_caller,
          listener_accepts_again_after_lack_of_descriptors,
          malformed_head_is_detected };

  logger_init (LOGGER_ERROR);
  return suite_run ("http_server", cases, G_N_ELEMENTS (cases));
}
