/* Tests of http_server_limit: what callers hold, in bytes and in time.  */

#include "clock.h"
#include "http_server.h"
#include "logger.h"
#include "suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TOTAL_BYTES BYTE_BUDGET_TOTAL_MIN_BYTES
#define BODY_MAX_BYTES 1000000
#define IDLE_US 1000000
/* Only ends a test that hangs; not a bound on speed.  */
#define WAIT_US (20 * CLOCK_US_PER_S)

struct fixture
{
  struct event_base *base;
  struct http_server *server;
  struct byte_budget budget;
  struct byte_budget_slice slice;
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
  const struct http_server_limits limits
      = { .headers_bytes = 4096,
          .body_bytes = BODY_MAX_BYTES,
          .connections = 8,
          .idle_timeout_s = 60,
          .client = { .idle_us = IDLE_US,
                      .head_us = 500000,
                      .stall_us = 500000,
                      .request_us = 60 * CLOCK_US_PER_S,
                      .progress_bytes_per_s = 1024 } };

  memset (f, 0, sizeof *f);
  f->base = event_base_new ();
  byte_budget_init (&f->budget, TOTAL_BYTES);
  byte_budget_open_slice (&f->slice, &f->budget);
  /* Below the range of ephemeral ports, as in process.h.  */
  for (f->port = (uint16_t)(9000 + getpid () % 900); f->server == NULL;
       f->port++)
    f->server = http_server_load (f->base, STR_LIT ("127.0.0.1"), f->port,
                                  &limits, &ops, f, 0);
  f->port--;
  http_server_set_slice (f->server, &f->slice);
}

/* Also checks that all bytes were released.  */
static void
close_fixture (struct fixture *f)
{
  http_server_unload (f->server);
  ck_assert_int_eq (f->slice.held, 0);
  byte_budget_close_slice (&f->slice);
  ck_assert_int_eq (byte_budget_get_free (&f->budget), TOTAL_BYTES);
  event_base_free (f->base);
}

static void
on_poll (evutil_socket_t fd, short what, void *data)
{
  event_base_loopbreak (data);
}

static void
run_for (struct fixture *f, int us)
{
  struct timeval wait = { us / 1000000, us % 1000000 };

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
send_text (int fd, const char *text)
{
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

static struct http_server_exchange *
await_request (struct fixture *f)
{
  int64_t end_us = clock_now_us () + WAIT_US;
  struct http_server_exchange *x;

  while (f->open == NULL)
    {
      ck_assert_msg (clock_now_us () < end_us, "no request was received");
      run_for (f, 1000);
    }
  x = f->open;
  f->open = NULL;
  return x;
}

/* Reads until the peer closes or the text was received.  */
static void
read_until (struct fixture *f, int fd, const char *text, char got[4096])
{
  int64_t end_us = clock_now_us () + WAIT_US;
  struct pollfd readable = { .fd = fd, .events = POLLIN };
  size_t len = 0;

  got[0] = '\0';
  while (text == NULL || strstr (got, text) == NULL)
    {
      ssize_t n;

      ck_assert_msg (clock_now_us () < end_us, "\"%s\" is not received", text);
      run_for (f, 1000);
      if (poll (&readable, 1, 0) == 0)
        continue;
      n = read (fd, got + len, 4095 - len);
      if (n <= 0)
        return;
      len += (size_t)n;
      got[len] = '\0';
    }
}

/* Guards against asking a client for a body that does not fit, which it would
   send in vain.  */
START_TEST (waiting_client_is_refused_before_its_body)
{
  struct fixture f;
  struct http_server_exchange *x;
  char got[4096];
  int fd;

  open_fixture (&f);
  ck_assert (byte_budget_take (&f.slice, TOTAL_BYTES));
  fd = connect_to (&f);
  send_text (fd, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                 "Content-Length: 1000\r\n\r\n");
  x = await_request (&f);
  ck_assert (x->refused);
  http_server_answer (x, 503, NULL, 0, STR_LIT ("later"));
  read_until (&f, fd, "later", got);
  ck_assert (g_str_has_prefix (got, "HTTP/1.1 503 "));
  byte_budget_release (&f.slice, TOTAL_BYTES);
  close (fd);
  run_for (&f, 50000);
  close_fixture (&f);
}
END_TEST

/* Guards against a client that has sent its body and gets a reset in place of
   the refusal, and against a connection that is lost by it.  */
START_TEST (refused_client_gets_the_answer)
{
  struct fixture f;
  struct http_server_exchange *x;
  char got[4096];
  int fd;

  open_fixture (&f);
  ck_assert (byte_budget_take (&f.slice, TOTAL_BYTES));
  fd = connect_to (&f);
  for (int i = 0; i < 2; i++)
    {
      send_text (fd, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"
                     "\r\n0123456789");
      x = await_request (&f);
      ck_assert (x->refused == (i == 0));
      ck_assert_uint_eq (x->body.len, i == 0 ? 0 : 10);
      http_server_answer (x, x->refused ? 503 : 200, NULL, 0,
                          STR_LIT ("done"));
      read_until (&f, fd, "done", got);
      if (i == 0)
        byte_budget_release (&f.slice, TOTAL_BYTES);
    }
  close (fd);
  run_for (&f, 50000);
  close_fixture (&f);
}
END_TEST

/* Guards against heads and bodies that stop, or go on byte by byte, and keep
   their connection and what was received.  */
START_TEST (stopped_requests_are_ended)
{
  static const char *const sent[]
      = { "GET /x HTTP/1.1\r\nHo", "GET /x",
          "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n0123" };

  for (size_t i = 0; i < G_N_ELEMENTS (sent); i++)
    {
      struct fixture f;
      char got[4096];
      int fd;

      open_fixture (&f);
      fd = connect_to (&f);
      /* The listener learns how much an idle connection has received.  */
      run_for (&f, 600000);
      send_text (fd, sent[i]);
      read_until (&f, fd, NULL, got);
      ck_assert (g_str_has_prefix (got, "HTTP/1.1 408 "));
      ck_assert_ptr_null (f.open);
      close (fd);
      close_fixture (&f);
    }
}
END_TEST

/* Guards against closing a connection that a conforming client still uses: it
   may be idle for four fifths of the time; and against keeping one for ever. */
START_TEST (idle_connection_is_kept_for_its_time)
{
  struct fixture f;
  char got[4096];
  int fd;

  open_fixture (&f);
  fd = connect_to (&f);
  for (int i = 0; i < 3; i++)
    {
      send_text (fd, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
      http_server_answer (await_request (&f), 200, NULL, 0, STR_LIT ("done"));
      read_until (&f, fd, "done", got);
      run_for (&f, IDLE_US * 4 / 5);
    }
  read_until (&f, fd, NULL, got);
  ck_assert_str_eq (got, "");
  close (fd);
  close_fixture (&f);
}
END_TEST

/* Guards against a body of unknown length that grows beyond the limit or the
   budget, and against one that another user still needs after the answer.  */
START_TEST (shared_body_outlives_its_request)
{
  struct fixture f;
  struct http_server_exchange *x;
  struct byte_budget_bytes *body;
  char got[4096];
  int fd;

  open_fixture (&f);
  fd = connect_to (&f);
  send_text (fd, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n5\r\nbytes\r\n0\r\n\r\n");
  x = await_request (&f);
  body = http_server_share_body (x);
  http_server_answer (x, 200, NULL, 0, STR_LIT ("done"));
  read_until (&f, fd, "done", got);
  close (fd);
  run_for (&f, 50000);
  ck_assert_int_gt (f.slice.held, 0);
  ck_assert_int_eq (memcmp (body->data, "bytes", 5), 0);
  byte_budget_put_bytes (body->data, 5, body);
  close_fixture (&f);
}
END_TEST

/* Guards against bodies over the limit that are kept, and against reading one
   that is far over it to its end.  */
START_TEST (body_over_the_limit_is_not_kept)
{
  struct fixture f;
  char piece[10000] = "";
  char got[4096];
  int64_t end_us = clock_now_us () + WAIT_US;
  int fd;

  open_fixture (&f);
  fd = connect_to (&f);
  send_text (fd, "POST /x HTTP/1.1\r\nHost: h\r\n"
                 "Content-Length: 8000000000\r\n\r\n");
  while (send (fd, piece, sizeof piece, MSG_NOSIGNAL | MSG_DONTWAIT) != -1
         || errno == EAGAIN)
    {
      ck_assert_msg (clock_now_us () < end_us, "the body is read for ever");
      run_for (&f, 100);
      ck_assert_int_le (f.slice.held, 100000);
    }
  read_until (&f, fd, NULL, got);
  ck_assert_ptr_null (f.open);
  close (fd);
  close_fixture (&f);
}
END_TEST

/* Guards against an answer that brings the process above its memory: beyond
   the part for answers, the client learns that its request may have run.  */
START_TEST (answer_that_does_not_fit_is_replaced)
{
  struct fixture f;
  struct str_buf answer = { 0 };
  char got[4096];
  int fd;

  open_fixture (&f);
  fd = connect_to (&f);
  send_text (fd, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  str_reserve (&answer, TOTAL_BYTES * 2);
  answer.len = TOTAL_BYTES * 2 - 1;
  http_server_answer_taking (await_request (&f), 200, NULL, 0, &answer);
  read_until (&f, fd, NULL, got);
  ck_assert (g_str_has_prefix (got, "HTTP/1.1 502 "));
  close (fd);
  close_fixture (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { waiting_client_is_refused_before_its_body,
                                 refused_client_gets_the_answer,
                                 stopped_requests_are_ended,
                                 idle_connection_is_kept_for_its_time,
                                 shared_body_outlives_its_request,
                                 body_over_the_limit_is_not_kept,
                                 answer_that_does_not_fit_is_replaced };

  logger_init (LOGGER_ERROR);
  return suite_run ("http_server_limit", cases, G_N_ELEMENTS (cases));
}
