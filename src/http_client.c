/* http_client: HTTP/1.1 client connections on libevent's bufferevents, with
   http-parser for the answers.

   An answer is read while the request is still being written, since a server
   may answer before it has read a long body.  A connection is reused only if
   the last exchange ended cleanly: the complete request was sent and no byte
   followed the answer.  http_head decides whether bytes are the head of an
   answer, since the parser accepts more than RFC 9112 allows.  */

#include "http_client.h"

#include "clock.h"
#include "table.h"
#include "tcp_socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>

/* Constants */

/* Connecting normally takes about 1 ms.  If it takes 1 s, the SYN was lost and
   is about to be retransmitted; sending the request to another server is
   quicker then.  */
#define CONNECT_TIMEOUT_US 1000000
/* A connection is not reused in the last 0.5 s before the server's Keep-Alive
   timeout, which could expire while a request is on its way.  */
#define KEEP_ALIVE_MARGIN_US 500000
#define HEADERS_MAX_BYTES 65536
#define HEADERS_MAX 64
/* Informational answers and answers to other requests that are dropped before
   the exchange fails.  */
#define DROPPED_ANSWERS_MAX 16u
/* Largest number of bytes of an exchange: a body in chunks of one byte takes
   six bytes for each of its own; the rest is for headers and framing.  */
#define RECEIVED_MAX_BYTES(body_max)                                          \
  (8 * (body_max) + (size_t)4 * HEADERS_MAX_BYTES)

/* Types */

struct connection
{
  uint64_t id;
  struct http_client_pool *pool;
  struct bufferevent *bev;
  struct http_client_exchange *exchange; /* NULL while idle */
  bool connected;
  bool reusable;           /* can be used for another request */
  bool reused;             /* has carried an earlier request */
  int64_t idle_since_us;   /* end of the last answer */
  int64_t usable_until_us; /* from the server's Keep-Alive header; INT64_MAX
                              without one */
};

struct http_client_pool
{
  struct event_base *base;
  struct str address; /* owned */
  uint16_t port;
  struct str_buf host; /* value of the Host header */
  uint32_t max_connections;
  size_t max_body_bytes;
  struct byte_budget_slice *slice; /* NULL: answers are not counted */
  struct table connections;
  GArray *idle; /* uint64_t ids of idle connections, the last used at the
                   end */
};

/* Offsets and lengths of a header in the exchange's header_text.  */
struct header_span
{
  size_t name, name_len;
  size_t value, value_len;
};

struct http_client_exchange
{
  struct http_client_pool *pool;
  uint64_t connection_id;
  struct event *timer; /* timeout of the entire exchange, NULL for none */
  http_parser parser;
  bool is_head;     /* a HEAD request: its answer has no body */
  bool complete;    /* a complete answer was parsed */
  bool too_large;   /* body or headers exceed the limit */
  bool in_value;    /* the parser is in a header's value */
  bool in_trailers; /* the head has ended; later fields are trailers */
  struct http_head_scan scan; /* of the head */
  enum http_fault fault;      /* reason why the answer is invalid */
  uint32_t dropped_answers;
  size_t received; /* bytes of all answers */
  struct byte_budget_holder held;
  struct str_buf header_text; /* names and values of the headers */
  uint32_t headers_len;
  struct header_span headers[HEADERS_MAX];
  struct str_buf body;
  bool (*accept) (void *data, const struct http_client_answer *answer);
  void (*done) (void *data, const struct http_client_answer *answer);
  void *data;
};

/* Internal functions: end of an exchange */

static void
free_exchange (struct http_client_exchange *x)
{
  if (x->timer != NULL)
    event_free (x->timer);
  if (x->pool->slice != NULL)
    byte_budget_release_holder (x->pool->slice, &x->held);
  str_reset (&x->header_text);
  str_reset (&x->body);
  g_free (x);
}

static void
close_connection (struct connection *c)
{
  struct http_client_pool *pool = c->pool;

  for (guint i = 0; i < pool->idle->len; i++)
    if (g_array_index (pool->idle, uint64_t, i) == c->id)
      {
        g_array_remove_index (pool->idle, i);
        break;
      }
  bufferevent_free (c->bev);
  table_remove (&pool->connections, c->id);
}

/* Keeps the exchange's connection for another request if it is reusable, else
   closes it.  */
static void
release_connection (struct http_client_exchange *x)
{
  struct connection *c = table_get (&x->pool->connections, x->connection_id);

  if (c == NULL)
    return;
  c->exchange = NULL;
  if (!c->reusable)
    {
      close_connection (c);
      return;
    }
  c->reusable = false;
  c->reused = true;
  c->idle_since_us = clock_now_us ();
  g_array_append_val (x->pool->idle, c->id);
}

static void
complete_exchange (struct http_client_exchange *x,
                   const struct http_client_answer *answer)
{
  void (*done) (void *, const struct http_client_answer *) = x->done;
  void *data = x->data;

  release_connection (x);
  done (data, answer);
  free_exchange (x);
}

static void
fail_exchange (struct http_client_exchange *x, enum http_client_result result,
               enum http_fault fault)
{
  struct http_client_answer answer
      = { .result = result, .fault = fault, .body = STR_EMPTY };

  complete_exchange (x, &answer);
}

/* Internal functions: parsing */

static int
set_fault (struct http_client_exchange *x, enum http_fault fault)
{
  x->fault = fault;
  return -1;
}

/* Trailers are checked and dropped: RFC 9110, 6.5.1, forbids to merge unknown
   ones into the head, where they could replace a field of it.  */
static int
on_header_field (http_parser *p, const char *at, size_t len)
{
  struct http_client_exchange *x = p->data;
  struct header_span *s;

  if (x->in_trailers)
    return http_head_is_name ((struct str){ len, at })
               ? 0
               : set_fault (x, HTTP_FAULT_FIELD_NAME);
  if (x->in_value || x->headers_len == 0)
    {
      if (x->headers_len == HEADERS_MAX)
        {
          x->too_large = true;
          return 1;
        }
      s = &x->headers[x->headers_len++];
      *s = (struct header_span){ .name = x->header_text.len };
      x->in_value = false;
    }
  s = &x->headers[x->headers_len - 1];
  str_append (&x->header_text, (struct str){ len, at });
  s->name_len += len;
  s->value = x->header_text.len;
  return 0;
}

static int
on_header_value (http_parser *p, const char *at, size_t len)
{
  struct http_client_exchange *x = p->data;
  struct header_span *s;

  if (x->in_trailers)
    return http_head_is_value ((struct str){ len, at })
               ? 0
               : set_fault (x, HTTP_FAULT_FIELD_VALUE);
  if (x->headers_len == 0)
    return 1;
  s = &x->headers[x->headers_len - 1];
  if (!x->in_value)
    s->value = x->header_text.len;
  x->in_value = true;
  str_append (&x->header_text, (struct str){ len, at });
  s->value_len += len;
  x->too_large = x->too_large || x->header_text.len > HEADERS_MAX_BYTES;
  return x->too_large ? 1 : 0;
}

/* Sets views of the fields of the head.  */
static void
get_fields (const struct http_client_exchange *x,
            struct http_head_field *fields)
{
  for (uint32_t i = 0; i < x->headers_len; i++)
    {
      const struct header_span *s = &x->headers[i];

      fields[i].name
          = (struct str){ s->name_len, x->header_text.data + s->name };
      fields[i].value = s->value_len > 0 ? http_head_trim ((struct str){
                            s->value_len, x->header_text.data + s->value })
                                         : STR_EMPTY;
    }
}

static int
on_headers_complete (http_parser *p)
{
  struct http_client_exchange *x = p->data;
  struct http_head_field fields[HEADERS_MAX];
  struct http_head head = { .version_minor = p->http_minor,
                            .status = (int)p->status_code,
                            .fields_len = x->headers_len,
                            .fields = fields };

  get_fields (x, fields);
  if (http_head_classify (&head, &x->fault) == HTTP_HEAD_INVALID)
    return -1;
  x->in_trailers = true;
  /* Without this the buffer would grow by doubling.  */
  if (p->content_length <= x->pool->max_body_bytes)
    str_reserve (&x->body, (size_t)p->content_length + 1);
  return x->is_head ? 1 : 0;
}

/* Takes bytes of an answer from the budget.  */
static bool
hold (struct http_client_exchange *x, size_t len)
{
  if (x->pool->slice == NULL)
    return true;
  if (!byte_budget_take (x->pool->slice, (int64_t)len))
    return false;
  x->held.bytes += (int64_t)len;
  return true;
}

static int
on_body (http_parser *p, const char *at, size_t len)
{
  struct http_client_exchange *x = p->data;

  if (x->body.len + len > x->pool->max_body_bytes || !hold (x, len))
    {
      x->too_large = true;
      return 1;
    }
  str_append (&x->body, (struct str){ len, at });
  return 0;
}

/* Pauses the parser, so that bytes after the answer remain in the buffer.  */
static int
on_message_complete (http_parser *p)
{
  struct http_client_exchange *x = p->data;

  x->complete = true;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings parser_settings
    = { .on_header_field = on_header_field,
        .on_header_value = on_header_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_message_complete };

static void
start_answer (struct http_client_exchange *x)
{
  http_parser_init (&x->parser, HTTP_RESPONSE);
  x->parser.data = x;
  x->complete = false;
  x->in_value = false;
  x->in_trailers = false;
  x->scan = (struct http_head_scan){ .line_len = 0 };
  x->fault = HTTP_FAULT_NONE;
  x->headers_len = 0;
  x->header_text.len = 0;
  x->body.len = 0;
}

static struct http_client_answer
get_answer (struct http_client_exchange *x, struct http_head_field *headers)
{
  struct http_client_answer answer = { .result = HTTP_CLIENT_ANSWERED,
                                       .status = (int)x->parser.status_code,
                                       .headers_len = x->headers_len,
                                       .headers = headers,
                                       .body = str_view (&x->body),
                                       .exchange = x };

  get_fields (x, headers);
  return answer;
}

/* Returns the number of seconds in "timeout=N" of a Keep-Alive header, or 0
   without one.  */
static uint64_t
get_keep_alive_s (const struct http_client_answer *answer)
{
  const struct str parameter = STR_LIT ("timeout=");

  for (uint32_t i = 0; i < answer->headers_len; i++)
    {
      struct str value = answer->headers[i].value;
      size_t end;
      uint64_t s;

      if (!str_equal_nocase (answer->headers[i].name, STR_LIT ("keep-alive"))
          || !str_has_prefix (value, parameter))
        continue;
      for (end = parameter.len;
           end < value.len && g_ascii_isdigit (value.data[end]); end++)
        ;
      if (str_parse_u64 (str_slice (value, parameter.len, end), &s))
        return s;
    }
  return 0;
}

/* Handles a complete answer; `bytes_follow` is true if more bytes were
   received after it.  Returns false if the exchange continues, since the
   answer was informational (1xx) or belongs to another request.  */
static bool
handle_answer (struct connection *c, struct http_client_exchange *x,
               bool bytes_follow)
{
  struct http_head_field headers[HEADERS_MAX];
  struct http_client_answer answer = get_answer (x, headers);
  bool keep_alive = http_should_keep_alive (&x->parser) != 0;
  uint64_t keep_alive_s = get_keep_alive_s (&answer);

  answer.on_reused_connection = c->reused;
  if (answer.status < 200
      || (x->accept != NULL && !x->accept (x->data, &answer)))
    {
      if ((answer.status >= 200 && !keep_alive)
          || x->dropped_answers++ == DROPPED_ANSWERS_MAX)
        {
          fail_exchange (x, HTTP_CLIENT_FAILED, HTTP_FAULT_SYNTAX);
          return true;
        }
      start_answer (x);
      return false;
    }
  c->reusable = keep_alive && !bytes_follow
                && evbuffer_get_length (bufferevent_get_output (c->bev)) == 0;
  c->usable_until_us = keep_alive_s > 0
                           ? clock_now_us ()
                                 + (int64_t)keep_alive_s * CLOCK_US_PER_S
                                 - KEEP_ALIVE_MARGIN_US
                           : INT64_MAX;
  complete_exchange (x, &answer);
  return true;
}

/* Internal functions: events of a connection */

static void
fail_parsing (struct http_client_exchange *x)
{
  if (x->too_large)
    fail_exchange (x, HTTP_CLIENT_TOO_LARGE, HTTP_FAULT_NONE);
  else
    fail_exchange (x, HTTP_CLIENT_FAILED,
                   x->fault != HTTP_FAULT_NONE ? x->fault : HTTP_FAULT_SYNTAX);
}

static void
on_readable (struct bufferevent *bev, void *data)
{
  struct connection *c = data;
  struct evbuffer *in = bufferevent_get_input (bev);
  struct http_client_exchange *x = c->exchange;

  if (x == NULL)
    {
      /* The server sent bytes without a request.  */
      close_connection (c);
      return;
    }
  while (evbuffer_get_length (in) > 0)
    {
      size_t len = evbuffer_get_contiguous_space (in);
      const char *bytes = (const char *)evbuffer_pullup (in, (ev_ssize_t)len);
      size_t used;

      if (!http_head_scan (&x->scan, (struct str){ len, bytes }))
        {
          fail_exchange (x, HTTP_CLIENT_FAILED, x->scan.fault);
          return;
        }
      used = http_parser_execute (&x->parser, &parser_settings, bytes, len);
      evbuffer_drain (in, MIN (used, len));
      x->received += MIN (used, len);
      if (x->complete)
        {
          if (handle_answer (c, x, evbuffer_get_length (in) > 0))
            return;
          continue;
        }
      if (HTTP_PARSER_ERRNO (&x->parser) != HPE_OK || x->parser.upgrade
          || x->received > RECEIVED_MAX_BYTES (x->pool->max_body_bytes))
        {
          fail_parsing (x);
          return;
        }
    }
}

/* Returns true if the server has accepted every byte of the request.  */
static bool
is_request_accepted (const struct connection *c)
{
  return evbuffer_get_length (bufferevent_get_output (c->bev)) == 0
         && tcp_socket_is_acknowledged (bufferevent_getfd (c->bev));
}

/* The end of the stream completes an answer without a length if the server has
   accepted the whole request.  A server that ends its connection before that
   resets it: a write then fails, and a read after the write returns the end of
   the stream instead of the error, since the write has taken the error.  Both
   are reported together.  */
static void
handle_stream_end (struct connection *c, short what)
{
  bool reset = (what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0
               || tcp_socket_take_error (bufferevent_getfd (c->bev)) != 0;
  struct http_client_exchange *x = c->exchange;

  if (x == NULL)
    {
      close_connection (c);
      return;
    }
  c->reusable = false;
  if (!c->connected)
    {
      fail_exchange (x, HTTP_CLIENT_NOT_CONNECTED, HTTP_FAULT_NONE);
      return;
    }
  if (reset)
    {
      fail_exchange (x, HTTP_CLIENT_FAILED, HTTP_FAULT_RESET);
      return;
    }
  http_parser_execute (&x->parser, &parser_settings, NULL, 0);
  if (x->complete && !is_request_accepted (c))
    fail_exchange (x, HTTP_CLIENT_FAILED, HTTP_FAULT_NOT_ACCEPTED);
  else if (!x->complete || !handle_answer (c, x, true))
    fail_exchange (x, HTTP_CLIENT_FAILED, HTTP_FAULT_TRUNCATED);
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  struct connection *c = data;

  if (what & BEV_EVENT_CONNECTED)
    {
      c->connected = true;
      bufferevent_set_timeouts (bev, NULL, NULL);
      tcp_socket_set_options (bufferevent_getfd (bev));
      return;
    }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    handle_stream_end (c, what);
}

static void
on_timeout (evutil_socket_t fd, short what, void *data)
{
  fail_exchange (data, HTTP_CLIENT_TIMEOUT, HTTP_FAULT_NONE);
}

/* Internal functions: connections */

static struct connection *
open_connection (struct http_client_pool *pool)
{
  struct timeval wait = { CONNECT_TIMEOUT_US / CLOCK_US_PER_S,
                          CONNECT_TIMEOUT_US % CLOCK_US_PER_S };
  struct sockaddr_storage storage;
  struct connection *c;
  uint64_t id;
  int len;

  if (!tcp_socket_parse_address (pool->address, pool->port, &storage, &len))
    return NULL;
  id = table_add (&pool->connections, (void **)&c);
  c->id = id;
  c->pool = pool;
  c->bev = bufferevent_socket_new (
      pool->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (c->bev, on_readable, NULL, on_event, c);
  bufferevent_set_timeouts (c->bev, NULL, &wait);
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  /* on_event reports an immediate failure too.  */
  bufferevent_socket_connect (c->bev, (struct sockaddr *)&storage, len);
  return c;
}

/* Returns the idle connection used last, since the server is least likely to
   have closed it, or NULL.  */
static struct connection *
get_idle_connection (struct http_client_pool *pool, int64_t idle_max_us)
{
  int64_t now_us = clock_now_us ();

  while (pool->idle->len > 0)
    {
      uint64_t id = g_array_index (pool->idle, uint64_t, pool->idle->len - 1);
      struct connection *c = table_get (&pool->connections, id);

      if (now_us >= c->usable_until_us)
        {
          close_connection (c);
          continue;
        }
      if (idle_max_us > 0 && now_us - c->idle_since_us > idle_max_us)
        {
          if (pool->connections.count < pool->max_connections)
            break;
          close_connection (c);
          continue;
        }
      g_array_set_size (pool->idle, pool->idle->len - 1);
      return c;
    }
  return NULL;
}

/* Closes an idle connection if there is no room for another one.  */
static void
make_room (struct http_client_pool *pool)
{
  if (pool->connections.count >= pool->max_connections && pool->idle->len > 0)
    close_connection (table_get (&pool->connections,
                                 g_array_index (pool->idle, uint64_t, 0)));
}

static struct connection *
get_connection (struct http_client_pool *pool,
                const struct http_client_request *r)
{
  struct connection *c = NULL;

  if (r->new_connection)
    make_room (pool);
  else
    c = get_idle_connection (pool, r->idle_max_us);
  if (c != NULL)
    return c;
  if (pool->connections.count >= pool->max_connections)
    return NULL;
  return open_connection (pool);
}

static bool
has_header (const struct http_client_request *r, struct str name)
{
  for (uint32_t i = 0; i < r->headers_len; i++)
    if (str_equal_nocase (r->headers[i].name, name))
      return true;
  return false;
}

static void
append_header (struct str_buf *out, struct str name, struct str value)
{
  str_append (out, name);
  str_append (out, STR_LIT (": "));
  str_append (out, value);
  str_append (out, STR_LIT ("\r\n"));
}

static void
write_request (struct connection *c, const struct http_client_request *r)
{
  struct str_buf head = { 0 };
  size_t body_len
      = r->body.len
        + (r->more_body != NULL ? evbuffer_get_length (r->more_body) : 0);

  str_append (&head, str_from_cstr (r->method));
  str_append_char (&head, ' ');
  str_append (&head, r->target);
  str_append (&head, STR_LIT (" HTTP/1.1\r\n"));
  if (!has_header (r, STR_LIT ("host")))
    append_header (&head, STR_LIT ("Host"), str_view (&c->pool->host));
  for (uint32_t i = 0; i < r->headers_len; i++)
    append_header (&head, r->headers[i].name, r->headers[i].value);
  if (body_len > 0 || strcmp (r->method, "POST") == 0
      || strcmp (r->method, "PUT") == 0 || strcmp (r->method, "PATCH") == 0)
    str_append_format (&head, "Content-Length: %zu\r\n", body_len);
  str_append (&head, STR_LIT ("\r\n"));
  bufferevent_write (c->bev, head.data, head.len);
  if (r->body.len > 0)
    bufferevent_write (c->bev, r->body.data, r->body.len);
  if (r->more_body != NULL)
    bufferevent_write_buffer (c->bev, r->more_body);
  str_reset (&head);
}

static void
start_timer (struct http_client_exchange *x, int64_t timeout_us)
{
  struct timeval wait
      = { timeout_us / CLOCK_US_PER_S, timeout_us % CLOCK_US_PER_S };

  if (timeout_us <= 0)
    return;
  x->timer = evtimer_new (x->pool->base, on_timeout, x);
  event_add (x->timer, &wait);
}

/* Public functions */

/**
 * http_client_load_pool - creates a pool of connections to one server
 * @base: event loop
 * @address: IP address
 * @port: TCP port
 * @max_connections: largest number of simultaneously open connections
 * @max_body_bytes: largest answer body accepted
 *
 * Connections are opened when needed and kept open.
 */
struct http_client_pool *
http_client_load_pool (struct event_base *base, struct str address,
                       uint16_t port, uint32_t max_connections,
                       size_t max_body_bytes)
{
  struct http_client_pool *pool = g_new0 (struct http_client_pool, 1);

  pool->base = base;
  pool->address = str_copy (address);
  pool->port = port;
  str_append_format (&pool->host, "%.*s:%u", STR_ARG (address), port);
  pool->max_connections = max_connections;
  pool->max_body_bytes = max_body_bytes;
  table_init (&pool->connections, sizeof (struct connection));
  pool->idle = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return pool;
}

void
http_client_set_slice (struct http_client_pool *pool,
                       struct byte_budget_slice *slice)
{
  pool->slice = slice;
}

void
http_client_unload_pool (struct http_client_pool *pool)
{
  struct connection *c;

  for (uint64_t id = table_next (&pool->connections, 0, (void **)&c); id != 0;
       id = table_next (&pool->connections, id, (void **)&c))
    {
      if (c->exchange != NULL)
        free_exchange (c->exchange);
      bufferevent_free (c->bev);
    }
  table_close (&pool->connections);
  g_array_unref (pool->idle);
  str_free (&pool->address);
  str_reset (&pool->host);
  g_free (pool);
}

/**
 * http_client_send - sends a request once
 * @pool: connections
 * @r: request; its strings are copied
 *
 * Return: the exchange, valid until @r->done is called or it is cancelled;
 * NULL if all connections are busy or the pool's address is invalid.
 */
struct http_client_exchange *
http_client_send (struct http_client_pool *pool,
                  const struct http_client_request *r)
{
  struct connection *c = get_connection (pool, r);
  struct http_client_exchange *x;

  if (c == NULL)
    return NULL;
  x = g_new0 (struct http_client_exchange, 1);
  x->pool = pool;
  x->connection_id = c->id;
  x->accept = r->accept;
  x->done = r->done;
  x->data = r->data;
  x->is_head = strcmp (r->method, "HEAD") == 0;
  start_answer (x);
  c->exchange = x;
  write_request (c, r);
  start_timer (x, r->timeout_us);
  return x;
}

struct byte_budget_bytes *
http_client_take_body (const struct http_client_answer *answer)
{
  struct http_client_exchange *x = answer->exchange;
  struct byte_budget_bytes *bytes
      = byte_budget_share (x->body.data, x->pool->slice, &x->held);

  x->body = (struct str_buf){ 0 };
  return bytes;
}

/**
 * http_client_cancel - ends an exchange without its answer
 * @x: exchange
 *
 * The connection is closed, so that the server can stop working on the
 * request.  The done callback is not called.
 */
void
http_client_cancel (struct http_client_exchange *x)
{
  release_connection (x);
  free_exchange (x);
}

uint32_t
http_client_get_connection_count (const struct http_client_pool *pool)
{
  return pool->connections.count;
}
