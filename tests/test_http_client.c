/* Tests of http_client against a raw TCP server in the same event loop.  */

#include "http_client.h"
#include "scarce.h"

#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* More than the socket buffers of a loopback connection hold.  */
#define LONG_BODY_BYTES ((size_t)16 << 20)
#define TIMEOUT_US (10 * 1000 * 1000)
#define LONG_EXTENSION                                                        \
  "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

/* What the server does after it has read a complete request.  */
enum action
{
  ANSWER,
  CLOSE,
  CLOSE_HALFWAY,
  HANG,
  ANSWER_EXTRA,   /* an answer and, immediately after it, a second one */
  ANSWER_FOREIGN, /* an answer to another request, then the expected one */
  UNFRAMED_END,   /* an answer without a length, then the end of the stream */
  UNFRAMED_RESET, /* an answer without a length, then a reset */
  ANSWER_CUT,     /* the first bytes of an answer, then the end of the stream
                     or a reset */
  ANSWER_AND_WAIT /* the bytes of `cut`; the connection stays open */
};

struct server
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  const enum action *actions; /* one for each request; ANSWER for all later
                                 ones */
  int actions_len;
  struct str cut;  /* bytes of ANSWER_CUT and ANSWER_AND_WAIT */
  bool cut_resets; /* a reset follows them */
  int executions;  /* number of requests read */
  GPtrArray *open; /* connections */
};

struct result
{
  struct event_base *base;
  int calls;
  enum http_client_result result;
  int status;
  int trailer_fields; /* fields that only a trailer of the answers has */
  char body[64];
};

static void
close_connection (struct server *s, struct bufferevent *bev)
{
  g_ptr_array_remove_fast (s->open, bev);
}

static void
free_connection (void *bev)
{
  bufferevent_free (bev);
}

static void
stop_server (struct server *s)
{
  evconnlistener_free (s->listener);
  g_ptr_array_unref (s->open);
}

static void
on_readable (struct bufferevent *bev, void *data)
{
  struct server *s = data;
  struct evbuffer *in = bufferevent_get_input (bev);
  struct evbuffer_ptr end = evbuffer_search (in, "\r\n\r\n", 4, NULL);
  char *text;
  const char *length;
  size_t need;
  enum action action;

  if (end.pos < 0)
    return;
  text = g_strndup ((char *)evbuffer_pullup (in, end.pos), (gsize)end.pos);
  length = strcasestr (text, "content-length: ");
  need = (size_t)end.pos + 4
         + (length != NULL ? strtoul (length + 16, NULL, 10) : 0);
  g_free (text);
  if (evbuffer_get_length (in) < need)
    return;
  evbuffer_drain (in, need);
  action = s->executions < s->actions_len ? s->actions[s->executions] : ANSWER;
  s->executions++;
  if (action == ANSWER)
    bufferevent_write (bev, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                       40);
  if (action == ANSWER_EXTRA)
    bufferevent_write (bev,
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
                       80);
  if (action == ANSWER_FOREIGN)
    bufferevent_write (bev,
                       "HTTP/1.1 201 OK\r\nContent-Length: 2\r\n\r\nno"
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                       80);
  if (action == ANSWER_AND_WAIT)
    bufferevent_write (bev, s->cut.data, s->cut.len);
  if (action == ANSWER_CUT)
    {
      struct linger now = { s->cut_resets, 0 };

      send (bufferevent_getfd (bev), s->cut.data, s->cut.len, 0);
      setsockopt (bufferevent_getfd (bev), SOL_SOCKET, SO_LINGER, &now,
                  sizeof now);
      close_connection (s, bev);
      return;
    }
  if (action == UNFRAMED_END || action == UNFRAMED_RESET)
    {
      struct linger now = { 1, 0 };

      send (bufferevent_getfd (bev), "HTTP/1.1 200 OK\r\n\r\nok", 21, 0);
      if (action == UNFRAMED_RESET)
        setsockopt (bufferevent_getfd (bev), SOL_SOCKET, SO_LINGER, &now,
                    sizeof now);
      close_connection (s, bev);
      return;
    }
  if (action == CLOSE_HALFWAY)
    {
      send (bufferevent_getfd (bev),
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", 40, 0);
      close_connection (s, bev);
    }
  if (action == CLOSE)
    close_connection (s, bev);
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    close_connection (data, bev);
}

static void
on_accept (struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *a,
           int len, void *data)
{
  struct server *s = data;
  struct bufferevent *bev
      = bufferevent_socket_new (s->base, fd, BEV_OPT_CLOSE_ON_FREE);

  bufferevent_setcb (bev, on_readable, NULL, on_event, s);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
  g_ptr_array_add (s->open, bev);
}

static void
start_server (struct server *s, struct event_base *base,
              const enum action *actions, int actions_len)
{
  struct sockaddr_in sin = { .sin_family = AF_INET };
  socklen_t len = sizeof sin;

  *s = (struct server){ .base = base,
                        .actions = actions,
                        .actions_len = actions_len,
                        .open
                        = g_ptr_array_new_with_free_func (free_connection) };
  sin.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  s->listener
      = evconnlistener_new_bind (base, on_accept, s, LEV_OPT_CLOSE_ON_FREE, 16,
                                 (struct sockaddr *)&sin, sizeof sin);
  ck_assert_ptr_nonnull (s->listener);
  getsockname (evconnlistener_get_fd (s->listener), (struct sockaddr *)&sin,
               &len);
  s->port = ntohs (sin.sin_port);
}

static void
on_done (void *data, const struct http_client_answer *answer)
{
  struct result *r = data;

  r->calls++;
  r->result = answer->result;
  r->status = answer->status;
  for (uint32_t i = 0; i < answer->headers_len; i++)
    r->trailer_fields
        += str_equal (answer->headers[i].value, STR_LIT ("gzip"));
  snprintf (r->body, sizeof r->body, "%.*s", STR_ARG (answer->body));
  event_base_loopbreak (r->base);
}

static struct result
send_one (struct event_base *base, struct http_client_pool *pool,
          struct str body, int64_t timeout_us)
{
  struct result r = { .base = base };
  struct http_client_request q = { .method = "POST",
                                   .target = STR_LIT ("/x"),
                                   .body = body,
                                   .timeout_us = timeout_us,
                                   .done = on_done,
                                   .data = &r };

  ck_assert_ptr_nonnull (http_client_send (pool, &q));
  ck_assert_int_eq (r.calls, 0);
  event_base_dispatch (base);
  ck_assert_int_eq (r.calls, 1);
  return r;
}

/* Guards against sending a POST a second time after the server read all of it
   and closed the connection: on a new connection and on a reused one, with and
   without a body.  */
START_TEST (request_read_then_closed_is_sent_once)
{
  static const enum action on_new[] = { CLOSE };
  static const enum action on_reused[] = { ANSWER, CLOSE };
  struct str bodies[] = { STR_EMPTY, STR_LIT ("data") };
  struct event_base *base = event_base_new ();

  for (int reused = 0; reused < 2; reused++)
    for (size_t b = 0; b < G_N_ELEMENTS (bodies); b++)
      {
        struct server s;
        struct http_client_pool *pool;
        struct result r;

        start_server (&s, base, reused ? on_reused : on_new, 1 + reused);
        pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4,
                                      1000);
        if (reused)
          {
            r = send_one (base, pool, bodies[b], TIMEOUT_US);
            ck_assert_int_eq (r.result, HTTP_CLIENT_ANSWERED);
          }
        r = send_one (base, pool, bodies[b], TIMEOUT_US);
        ck_assert_int_eq (r.result, HTTP_CLIENT_FAILED);
        ck_assert_int_eq (s.executions, 1 + reused);
        r = send_one (base, pool, bodies[b], TIMEOUT_US);
        ck_assert_int_eq (r.result, HTTP_CLIENT_ANSWERED);
        ck_assert_str_eq (r.body, "ok");
        ck_assert_int_eq (s.executions, 2 + reused);
        http_client_unload_pool (pool);
        stop_server (&s);
      }
  event_base_free (base);
}
END_TEST

/* Guards against reporting a truncated answer as a complete one.  */
START_TEST (truncated_answer_fails)
{
  static const enum action actions[] = { CLOSE_HALFWAY };
  struct event_base *base = event_base_new ();
  struct http_client_pool *pool;
  struct server s;
  struct result r;

  start_server (&s, base, actions, 1);
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4, 1000);
  r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
  ck_assert_int_eq (r.result, HTTP_CLIENT_FAILED);
  http_client_unload_pool (pool);
  stop_server (&s);
  event_base_free (base);
}
END_TEST

/* Guards against a result that means "may have run" although no connection was
   established, and against one that means "not run" after a timeout.  */
START_TEST (failures_before_and_after_connecting_differ)
{
  static const enum action actions[] = { HANG };
  struct event_base *base = event_base_new ();
  struct http_client_pool *pool;
  struct server s;
  struct result r;

  start_server (&s, base, actions, 1);
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4, 1000);
  r = send_one (base, pool, STR_LIT ("x"), 50 * 1000);
  ck_assert_int_eq (r.result, HTTP_CLIENT_TIMEOUT);
  stop_server (&s);
  http_client_unload_pool (pool);
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4, 1000);
  r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
  ck_assert_int_eq (r.result, HTTP_CLIENT_NOT_CONNECTED);
  http_client_unload_pool (pool);
  event_base_free (base);
}
END_TEST

/* Guards against a request that waits for its deadline and then counts as "may
   have run" although no socket could be opened for it.  */
START_TEST (lack_of_descriptors_means_not_sent)
{
  struct event_base *base = event_base_new ();
  struct scarce_descriptors taken;
  struct http_client_pool *pool;
  struct server s;
  struct result r;

  start_server (&s, base, NULL, 0);
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4, 1000);
  scarce_take (&taken);
  r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
  scarce_return (&taken);
  ck_assert_int_eq (r.result, HTTP_CLIENT_NOT_CONNECTED);
  ck_assert_uint_eq (http_client_get_connection_count (pool), 0);
  r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
  ck_assert_int_eq (r.result, HTTP_CLIENT_ANSWERED);
  http_client_unload_pool (pool);
  stop_server (&s);
  event_base_free (base);
}
END_TEST

/* Guards against opening more connections than the pool's limit, and against
   calling done after a cancel.  */
START_TEST (connections_are_limited_and_cancel_skips_done)
{
  static const enum action actions[] = { HANG, HANG };
  struct event_base *base = event_base_new ();
  struct result r = { .base = base };
  struct http_client_request q = { .method = "POST",
                                   .target = STR_LIT ("/x"),
                                   .body = STR_LIT ("x"),
                                   .done = on_done,
                                   .data = &r };
  struct http_client_exchange *a, *b;
  struct http_client_pool *pool;
  struct server s;

  start_server (&s, base, actions, 2);
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 2, 1000);
  a = http_client_send (pool, &q);
  b = http_client_send (pool, &q);
  ck_assert (a != NULL && b != NULL);
  ck_assert_ptr_null (http_client_send (pool, &q));
  while (s.executions < 2)
    event_base_loop (base, EVLOOP_ONCE);
  http_client_cancel (a);
  http_client_cancel (b);
  event_base_loop (base, EVLOOP_NONBLOCK);
  ck_assert_int_eq (r.calls, 0);
  r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
  ck_assert_int_eq (r.result, HTTP_CLIENT_ANSWERED);
  http_client_unload_pool (pool);
  stop_server (&s);
  event_base_free (base);
}
END_TEST

/* Guards against reporting an answer without a length as complete although its
   connection was reset.  */
START_TEST (unframed_answer_ends_with_the_stream)
{
  static const enum action actions[] = { UNFRAMED_END, UNFRAMED_RESET };
  struct event_base *base = event_base_new ();
  struct http_client_pool *pool;
  struct server s;
  struct result r;

  start_server (&s, base, actions, 2);
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4, 1000);
  r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
  ck_assert_int_eq (r.result, HTTP_CLIENT_ANSWERED);
  ck_assert_str_eq (r.body, "ok");
  r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
  ck_assert_int_eq (r.result, HTTP_CLIENT_FAILED);
  http_client_unload_pool (pool);
  stop_server (&s);
  event_base_free (base);
}
END_TEST

/* Guards against reporting an answer that ends in the middle of its head as a
   complete one with an empty body: with a length, in chunks, without a length
   and after an informational answer, on a new and on a reused connection,
   ended by the end of the stream and by a reset.  */
START_TEST (answer_that_ends_in_its_head_fails)
{
  static const char *const heads[]
      = { "HTTP/1.1 200 OK\r\nSignature: 5e.1\r\nContent-Length: 12\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSignature: 5e.1\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\nSignature: 5e.1\r\n\r\n",
          "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" };
  static const enum action actions[] = { ANSWER, ANSWER_CUT };
  struct event_base *base = event_base_new ();
  struct http_client_pool *pool;
  struct server s;
  struct result r;

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    for (size_t len = 0; len < strlen (heads[i]); len++)
      for (int variant = 0; variant < 4; variant++)
        {
          bool reused = variant & 1;

          start_server (&s, base, reused ? actions : actions + 1, 1 + reused);
          s.cut = (struct str){ len, heads[i] };
          s.cut_resets = variant & 2;
          pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4,
                                        1000);
          if (reused)
            send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
          r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
          ck_assert_msg (r.result == HTTP_CLIENT_FAILED && r.status == 0,
                         "head %zu, %zu bytes, variant %d: status %d", i, len,
                         variant, r.status);
          ck_assert_uint_eq (http_client_get_connection_count (pool), 0);
          http_client_unload_pool (pool);
          stop_server (&s);
        }
  event_base_free (base);
}
END_TEST

static bool
is_expected_answer (void *data, const struct http_client_answer *answer)
{
  return answer->status == 200;
}

/* Guards against reporting the answer to another request.  Such an answer
   precedes the expected one on the connection or was left there by an earlier
   exchange.  */
START_TEST (bytes_of_other_requests_are_dropped)
{
  static const enum action actions[] = { ANSWER_EXTRA, ANSWER_FOREIGN };
  struct event_base *base = event_base_new ();
  struct result r = { .base = base };
  struct http_client_request q = { .method = "GET",
                                   .target = STR_LIT ("/x"),
                                   .body = STR_EMPTY,
                                   .timeout_us = TIMEOUT_US,
                                   .accept = is_expected_answer,
                                   .done = on_done,
                                   .data = &r };
  struct http_client_pool *pool;
  struct server s;

  start_server (&s, base, actions, 2);
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4, 1000);
  for (int i = 1; i <= 3; i++)
    {
      http_client_send (pool, &q);
      event_base_dispatch (base);
      ck_assert_int_eq (r.calls, i);
      ck_assert_int_eq (r.result, HTTP_CLIENT_ANSWERED);
      ck_assert_str_eq (r.body, "ok");
    }
  ck_assert_int_eq (s.executions, 3);
  http_client_unload_pool (pool);
  stop_server (&s);
  event_base_free (base);
}
END_TEST

/* Guards against reusing a connection on which part of an earlier body was not
   sent.  This happens if the server answers before it has read a long
   body.  */
START_TEST (early_answer_ends_the_connection)
{
  struct event_base *base = event_base_new ();
  struct result r = { .base = base };
  char *bytes = g_malloc0 (LONG_BODY_BYTES);
  struct http_client_request q = { .method = "POST",
                                   .target = STR_LIT ("/x"),
                                   .body = { LONG_BODY_BYTES, bytes },
                                   .timeout_us = TIMEOUT_US,
                                   .done = on_done,
                                   .data = &r };
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sin = { .sin_family = AF_INET };
  socklen_t len = sizeof sin;
  struct http_client_pool *pool;
  char head[256];
  int fd;

  sin.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&sin, sizeof sin), 0);
  ck_assert_int_eq (listen (listener, 4), 0);
  getsockname (listener, (struct sockaddr *)&sin, &len);
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"),
                                ntohs (sin.sin_port), 4, 1000);
  http_client_send (pool, &q);
  event_base_loop (base, EVLOOP_ONCE);
  fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (recv (fd, head, sizeof head, 0), 1);
  ck_assert_int_eq (
      send (fd, "HTTP/1.1 429 No\r\nContent-Length: 2\r\n\r\nno", 40, 0), 40);
  event_base_dispatch (base);
  ck_assert_int_eq (r.status, 429);
  ck_assert_uint_eq (http_client_get_connection_count (pool), 0);
  http_client_unload_pool (pool);
  close (fd);
  close (listener);
  g_free (bytes);
  event_base_free (base);
}
END_TEST

/* Sends one request to a server that ends its answer `bytes` with `action`.  */
static struct result
get_answer_to (struct event_base *base, const char *bytes, enum action action,
               bool resets)
{
  struct http_client_pool *pool;
  struct server s;
  struct result r;

  start_server (&s, base, &action, 1);
  s.cut = str_from_cstr (bytes);
  s.cut_resets = resets;
  pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"), s.port, 4, 1000);
  r = send_one (base, pool, STR_LIT ("x"), TIMEOUT_US);
  http_client_unload_pool (pool);
  stop_server (&s);
  return r;
}

/* Guards against passing on bytes that are not an answer as defined by RFC
   9112, and against waiting for the deadline after them: while the connection
   stays open, at the end of the stream and at a reset.  */
START_TEST (malformed_answer_fails)
{
  static const char *const answers[] = {
    /* status lines */
    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 101 Switching\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 050 Wait\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    /* field names */
    "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-\xc3\xa4: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n"
    "\r\n",
    /* field values */
    "HTTP/1.1 200 OK\r\nX-Odd: a\x01z\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Odd: a\rz\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Odd: a\x7fz\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Odd: a\r\n z\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Odd: a\r\n\tz\r\nContent-Length: 2\r\n\r\nok",
    /* framing */
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: "
    "chunked\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    /* chunks and trailers */
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nokk\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "z\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\nX-Odd: a\x01z\r\n\r\n",
  };
  static const struct
  {
    enum action action;
    bool resets;
  } ends[] = { { ANSWER_AND_WAIT, false },
               { ANSWER_CUT, false },
               { ANSWER_CUT, true } };
  struct event_base *base = event_base_new ();

  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    for (size_t e = 0; e < G_N_ELEMENTS (ends); e++)
      {
        struct result r
            = get_answer_to (base, answers[i], ends[e].action, ends[e].resets);

        ck_assert_msg (r.result == HTTP_CLIENT_FAILED && r.status == 0,
                       "answer %zu, end %zu: result %d, status %d", i, e,
                       (int)r.result, r.status);
      }
  event_base_free (base);
}
END_TEST

/* Guards against refusing answers that RFC 9112 allows, and against taking a
   field of the trailers for one of the head.  */
START_TEST (unusual_answer_is_accepted)
{
  static const char *const answers[] = {
    "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
    "HTTP/1.1 200 O\xc3\xa4\tK\r\nContent-Length:2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nX-Odd: \xc3\xa4\t\"z\"\r\nX-Empty:\r\n"
    "!#$%&'*+-.^_`|~: 1\r\nContent-Length: \t2 \r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
    "1\r\no\r\n1;a=b\r\nk\r\n0\r\nTransfer-Encoding: gzip\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
  };
  struct event_base *base = event_base_new ();

  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      struct result r
          = get_answer_to (base, answers[i], ANSWER_AND_WAIT, false);

      ck_assert_msg (r.result == HTTP_CLIENT_ANSWERED && r.status == 200,
                     "answer %zu: result %d, status %d", i, (int)r.result,
                     r.status);
      ck_assert_str_eq (r.body, "ok");
      ck_assert_int_eq (r.trailer_fields, 0);
    }
  event_base_free (base);
}
END_TEST

/* How a server ends the connection of an upload that it has not read.  */
enum early_end
{
  EARLY_RESET,      /* reset */
  EARLY_CLOSE,      /* close with unread bytes, which also resets */
  EARLY_HALF_CLOSE, /* orderly end of the answer; the upload is not read */
  EARLY_CLOSE_READ, /* close after all bytes that had arrived were read */
  EARLY_ENDS
};

static void
end_early (int fd, enum early_end end)
{
  struct linger now = { 1, 0 };
  char buffer[65536];

  if (end == EARLY_RESET)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  if (end == EARLY_CLOSE_READ)
    while (recv (fd, buffer, sizeof buffer, MSG_DONTWAIT) > 0)
      ;
  if (end == EARLY_HALF_CLOSE)
    shutdown (fd, SHUT_WR);
  else
    close (fd);
}

/* Guards against a part of a body that is taken for the whole: a server answers
   an upload at once, without a length, and its connection ends while the upload
   is still being written.  The answer is sent before or after some of the
   upload was read, and the client reads it before the end or together with
   it.  */
START_TEST (unframed_answer_before_the_end_of_an_upload_fails)
{
  struct event_base *base = event_base_new ();
  char *bytes = g_malloc0 (LONG_BODY_BYTES);
  static const char answer[] = "HTTP/1.1 200 OK\r\n\r\npart of a body";

  for (int variant = 0; variant < 4 * EARLY_ENDS; variant++)
    {
      enum early_end end = (enum early_end) (variant % EARLY_ENDS);
      bool reads_first = variant / EARLY_ENDS & 1;
      bool answer_read_first = variant / EARLY_ENDS & 2;
      struct result r = { .base = base };
      struct http_client_request q = { .method = "POST",
                                       .target = STR_LIT ("/x"),
                                       .body = { LONG_BODY_BYTES, bytes },
                                       .timeout_us = TIMEOUT_US,
                                       .done = on_done,
                                       .data = &r };
      int listener = socket (AF_INET, SOCK_STREAM, 0);
      struct sockaddr_in sin = { .sin_family = AF_INET };
      socklen_t len = sizeof sin;
      struct http_client_pool *pool;
      char buffer[65536];
      int fd;

      sin.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      ck_assert_int_eq (bind (listener, (struct sockaddr *)&sin, sizeof sin),
                        0);
      ck_assert_int_eq (listen (listener, 4), 0);
      getsockname (listener, (struct sockaddr *)&sin, &len);
      pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"),
                                    ntohs (sin.sin_port), 4, 1000);
      http_client_send (pool, &q);
      event_base_loop (base, EVLOOP_ONCE);
      fd = accept (listener, NULL, NULL);
      if (reads_first)
        ck_assert_int_ge (recv (fd, buffer, sizeof buffer, 0), 1);
      ck_assert_int_eq (send (fd, answer, sizeof answer - 1, 0),
                        sizeof answer - 1);
      /* The client fills the socket buffers meanwhile.  */
      for (int i = 0; answer_read_first && i < 1000; i++)
        event_base_loop (base, EVLOOP_NONBLOCK);
      end_early (fd, end);
      if (r.calls == 0)
        event_base_dispatch (base);
      ck_assert_msg (r.result == HTTP_CLIENT_FAILED && r.status == 0,
                     "variant %d: result %d, status %d", variant,
                     (int)r.result, r.status);
      http_client_unload_pool (pool);
      if (end == EARLY_HALF_CLOSE)
        close (fd);
      close (listener);
    }
  g_free (bytes);
  event_base_free (base);
}
END_TEST

/* An answer that does not end: `head` once, then `part` until the client closes
   the connection.  */
struct endless_answer
{
  const char *head;
  const char *part;
};

struct endless_server
{
  struct endless_answer answer;
  struct event_base *base;
  struct event *writable;
  size_t bytes_sent;
  int fd;
};

static void
on_endless_writable (evutil_socket_t fd, short what, void *data)
{
  struct endless_server *s = data;
  char buffer[65536];
  size_t len = strlen (s->answer.part);
  ssize_t sent;

  for (size_t i = 0; i < sizeof buffer; i++)
    buffer[i] = s->answer.part[(s->bytes_sent + i) % len];
  sent = send (fd, buffer, sizeof buffer, MSG_NOSIGNAL);
  if (sent > 0)
    s->bytes_sent += (size_t)sent;
  else
    event_del (s->writable);
}

static void
on_endless_accept (struct evconnlistener *l, evutil_socket_t fd,
                   struct sockaddr *a, int len, void *data)
{
  struct endless_server *s = data;

  s->fd = fd;
  send (fd, s->answer.head, strlen (s->answer.head), MSG_NOSIGNAL);
  s->writable
      = event_new (s->base, fd, EV_WRITE | EV_PERSIST, on_endless_writable, s);
  event_add (s->writable, NULL);
}

/* Guards against reading an answer without end until the deadline of its
   request: a faulty server would take up the thread that serves it and, where
   the bytes are kept, the memory.  */
START_TEST (answer_without_end_is_given_up)
{
  static const struct endless_answer answers[] = {
    { "HTTP/1.1 200 ", "x" },
    { "HTTP/1.1 200 OK\r\nName", "x" },
    { "HTTP/1.1 200 OK\r\nName: ", "x" },
    { "HTTP/1.1 200 OK\r\n", "Name: x\r\n" },
    { "HTTP/1.1 200 OK\r\n", "Name:\r\n" },
    { "HTTP/1.1 200 OK\r\n\r\n", "x" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "1;" LONG_EXTENSION "\r\ny\r\n" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "Name: x\r\n" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", "HTTP/1.1 201 OK\r\nContent-Length: 2\r\n\r\nno" },
    { "", "\r\n" },
    { "", "x" },
  };
  struct event_base *base = event_base_new ();

  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      struct endless_server s = { .answer = answers[i], .base = base };
      struct sockaddr_in sin = { .sin_family = AF_INET };
      socklen_t len = sizeof sin;
      struct result r = { .base = base };
      struct http_client_request q = { .method = "GET",
                                       .target = STR_LIT ("/x"),
                                       .body = STR_EMPTY,
                                       .timeout_us = TIMEOUT_US,
                                       .accept = is_expected_answer,
                                       .done = on_done,
                                       .data = &r };
      struct evconnlistener *listener;
      struct http_client_pool *pool;

      sin.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      listener = evconnlistener_new_bind (base, on_endless_accept, &s,
                                          LEV_OPT_CLOSE_ON_FREE, 16,
                                          (struct sockaddr *)&sin, sizeof sin);
      getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&sin,
                   &len);
      pool = http_client_load_pool (base, STR_LIT ("127.0.0.1"),
                                    ntohs (sin.sin_port), 1, 1000);
      ck_assert_ptr_nonnull (http_client_send (pool, &q));
      event_base_dispatch (base);
      ck_assert_msg (
          r.result == HTTP_CLIENT_FAILED || r.result == HTTP_CLIENT_TOO_LARGE,
          "answer %zu: result %d after %zu bytes", i, r.result, s.bytes_sent);
      ck_assert_uint_eq (http_client_get_connection_count (pool), 0);
      event_free (s.writable);
      close (s.fd);
      evconnlistener_free (listener);
      http_client_unload_pool (pool);
    }
  event_base_free (base);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http_client");
  TCase *tc = tcase_create ("http_client");
  SRunner *runner;
  int failed;

  /* As in the daemon.  */
  signal (SIGPIPE, SIG_IGN);
  tcase_add_test (tc, request_read_then_closed_is_sent_once);
  tcase_add_test (tc, truncated_answer_fails);
  tcase_add_test (tc, failures_before_and_after_connecting_differ);
  tcase_add_test (tc, lack_of_descriptors_means_not_sent);
  tcase_add_test (tc, connections_are_limited_and_cancel_skips_done);
  tcase_add_test (tc, unframed_answer_ends_with_the_stream);
  tcase_add_test (tc, answer_that_ends_in_its_head_fails);
  tcase_add_test (tc, malformed_answer_fails);
  tcase_add_test (tc, unusual_answer_is_accepted);
  tcase_add_test (tc, unframed_answer_before_the_end_of_an_upload_fails);
  tcase_add_test (tc, bytes_of_other_requests_are_dropped);
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, answer_without_end_is_given_up);
  tcase_add_test (tc, early_answer_ends_the_connection);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
