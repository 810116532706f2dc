/* httpc: HTTP/1.1 client connections on libevent's evhttp.  */

#include "httpc.h"

#include "clock.h"
#include "table.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>

/* Constants */

/* evhttp's own time-outs count from the last byte; the absolute one is a timer
   of the exchange.  */
#define CONNECTION_IDLE_TIMEOUT_S 3600
#define MAX_HEADERS_BYTES 65536
#define MAX_HEADERS 64

/* Types */

struct connection
{
  uint64_t id;
  struct evhttp_connection *evcon;
  struct httpc_exchange *exchange; /* NULL while idle */
};

struct httpc_pool
{
  struct event_base *base;
  char *address;
  uint16_t port;
  char *host; /* value of the Host header */
  uint32_t max_connections;
  size_t max_body_bytes;
  struct table connections;
  GArray *idle; /* ids, the last used one on top */
};

struct httpc_exchange
{
  struct httpc_pool *pool;
  uint64_t connection_id;
  struct evhttp_request *request;
  struct event *timer;    /* absolute time-out, NULL for none */
  struct event *deferred; /* delivers a failure found inside httpc_send */
  bool sending;           /* inside httpc_send */
  bool finished;          /* result is set */
  enum httpc_result result;
  bool has_error;
  enum evhttp_request_error error;
  void (*done) (void *data, const struct httpc_answer *answer);
  void *data;
};

/* Internal functions */

static enum evhttp_cmd_type
find_method (const char *method)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type type;
  } methods[] = {
    { "GET", EVHTTP_REQ_GET },         { "POST", EVHTTP_REQ_POST },
    { "PUT", EVHTTP_REQ_PUT },         { "DELETE", EVHTTP_REQ_DELETE },
    { "PATCH", EVHTTP_REQ_PATCH },     { "HEAD", EVHTTP_REQ_HEAD },
    { "OPTIONS", EVHTTP_REQ_OPTIONS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (method, methods[i].name) == 0)
      return methods[i].type;
  return EVHTTP_REQ_GET;
}

static void
free_exchange (struct httpc_exchange *x)
{
  if (x->timer != NULL)
    event_free (x->timer);
  if (x->deferred != NULL)
    event_free (x->deferred);
  g_free (x);
}

/* Returns the exchange's connection to the idle ones.  */
static void
release_connection (struct httpc_exchange *x)
{
  struct connection *c = table_get (&x->pool->connections, x->connection_id);

  if (c == NULL)
    return;
  c->exchange = NULL;
  g_array_append_val (x->pool->idle, c->id);
}

static void
deliver (struct httpc_exchange *x, const struct httpc_answer *answer)
{
  void (*done) (void *, const struct httpc_answer *) = x->done;
  void *data = x->data;

  release_connection (x);
  free_exchange (x);
  done (data, answer);
}

static void
deliver_deferred (evutil_socket_t fd, short what, void *data)
{
  struct httpc_exchange *x = data;
  struct httpc_answer answer = { .result = x->result, .body = STR_EMPTY };

  deliver (x, &answer);
}

/* Failures found inside httpc_send are delivered by the loop, since the caller
   does not yet know the exchange.  */
static void
fail_deferred (struct httpc_exchange *x, enum httpc_result result)
{
  x->finished = true;
  x->result = result;
  x->deferred = event_new (x->pool->base, -1, 0, deliver_deferred, x);
  event_active (x->deferred, EV_TIMEOUT, 0);
}

static void
fail (struct httpc_exchange *x, enum httpc_result result)
{
  struct httpc_answer answer = { .result = result, .body = STR_EMPTY };

  if (x->finished)
    return;
  if (x->sending)
    {
      fail_deferred (x, result);
      return;
    }
  x->finished = true;
  deliver (x, &answer);
}

static enum httpc_result
get_failure (const struct httpc_exchange *x)
{
  if (!x->has_error)
    return HTTPC_FAILED;
  switch (x->error)
    {
    case EVREQ_HTTP_TIMEOUT:
      return HTTPC_TIMEOUT;
    case EVREQ_HTTP_DATA_TOO_LONG:
      return HTTPC_TOO_LARGE;
    default:
      return HTTPC_FAILED;
    }
}

static uint32_t
collect_headers (struct evhttp_request *request, struct httpc_header *headers)
{
  struct evkeyval *h;
  uint32_t len = 0;

  for (h = evhttp_request_get_input_headers (request)->tqh_first;
       h != NULL && len < MAX_HEADERS; h = h->next.tqe_next)
    headers[len++] = (struct httpc_header){ str_from_cstr (h->key),
                                            str_from_cstr (h->value) };
  return len;
}

static void
on_error (enum evhttp_request_error error, void *data)
{
  struct httpc_exchange *x = data;

  x->has_error = true;
  x->error = error;
}

/* evhttp calls with NULL when the request failed after the connection was
   open, and with a request without a status when it was never open.  */
static void
on_done (struct evhttp_request *request, void *data)
{
  struct httpc_exchange *x = data;
  struct httpc_header headers[MAX_HEADERS];
  struct httpc_answer answer = { .result = HTTPC_ANSWERED };
  struct evbuffer *body;

  x->request = NULL;
  if (request == NULL)
    {
      fail (x, get_failure (x));
      return;
    }
  if (evhttp_request_get_response_code (request) == 0)
    {
      fail (x, x->has_error ? get_failure (x) : HTTPC_NOT_CONNECTED);
      return;
    }
  body = evhttp_request_get_input_buffer (request);
  answer.status = evhttp_request_get_response_code (request);
  answer.headers_len = collect_headers (request, headers);
  answer.headers = headers;
  answer.body.len = evbuffer_get_length (body);
  answer.body.data = answer.body.len > 0
                         ? (const char *)evbuffer_pullup (body, -1)
                         : STR_EMPTY.data;
  x->finished = true;
  deliver (x, &answer);
}

/* Closes the connection under a request without calling on_done.  */
static void
abort_request (struct httpc_exchange *x)
{
  struct evhttp_request *request = x->request;

  x->request = NULL;
  if (request != NULL)
    evhttp_cancel_request (request);
}

static void
on_timeout (evutil_socket_t fd, short what, void *data)
{
  struct httpc_exchange *x = data;

  abort_request (x);
  fail (x, HTTPC_TIMEOUT);
}

static struct connection *
open_connection (struct httpc_pool *pool)
{
  struct timeval idle = { CONNECTION_IDLE_TIMEOUT_S, 0 };
  struct connection *c;
  uint64_t id = table_add (&pool->connections, (void **)&c);

  c->id = id;
  c->evcon = evhttp_connection_base_new (pool->base, NULL, pool->address,
                                         pool->port);
  evhttp_connection_set_timeout_tv (c->evcon, &idle);
  evhttp_connection_set_retries (c->evcon, 0);
  evhttp_connection_set_max_headers_size (c->evcon, MAX_HEADERS_BYTES);
  evhttp_connection_set_max_body_size (c->evcon,
                                       (ev_ssize_t)pool->max_body_bytes);
  return c;
}

static struct connection *
take_connection (struct httpc_pool *pool)
{
  if (pool->idle->len > 0)
    {
      uint64_t id = g_array_index (pool->idle, uint64_t, pool->idle->len - 1);

      g_array_set_size (pool->idle, pool->idle->len - 1);
      return table_get (&pool->connections, id);
    }
  if (pool->connections.count >= pool->max_connections)
    return NULL;
  return open_connection (pool);
}

static void
add_headers (struct evhttp_request *request, const char *host,
             const struct httpc_request *r)
{
  struct evkeyvalq *out = evhttp_request_get_output_headers (request);

  evhttp_add_header (out, "Host", host);
  for (uint32_t i = 0; i < r->headers_len; i++)
    {
      char *name = str_dup_cstr (r->headers[i].name);
      char *value = str_dup_cstr (r->headers[i].value);

      evhttp_add_header (out, name, value);
      g_free (name);
      g_free (value);
    }
}

static void
start_timer (struct httpc_exchange *x, int64_t timeout_us)
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
 * httpc_load_pool - makes a pool of connections to one server
 * @base: event loop
 * @address: IP address
 * @port: TCP port
 * @max_connections: most connections open at once
 * @max_body_bytes: largest answer body
 *
 * Connections are opened when needed and kept open.
 */
struct httpc_pool *
httpc_load_pool (struct event_base *base, struct str address, uint16_t port,
                 uint32_t max_connections, size_t max_body_bytes)
{
  struct httpc_pool *pool = g_new0 (struct httpc_pool, 1);

  pool->base = base;
  pool->address = str_dup_cstr (address);
  pool->port = port;
  pool->host = g_strdup_printf ("%s:%u", pool->address, port);
  pool->max_connections = max_connections;
  pool->max_body_bytes = max_body_bytes;
  table_init (&pool->connections, sizeof (struct connection));
  pool->idle = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return pool;
}

void
httpc_unload_pool (struct httpc_pool *pool)
{
  struct connection *c;

  for (uint64_t id = table_next (&pool->connections, 0, (void **)&c); id != 0;
       id = table_next (&pool->connections, id, (void **)&c))
    {
      if (c->exchange != NULL)
        {
          abort_request (c->exchange);
          free_exchange (c->exchange);
        }
      evhttp_connection_free (c->evcon);
    }
  table_close (&pool->connections);
  g_array_unref (pool->idle);
  g_free (pool->address);
  g_free (pool->host);
  g_free (pool);
}

/**
 * httpc_send - sends a request once
 * @pool: connections
 * @r: request; its strings are copied
 *
 * Return: the exchange, valid until @r->done is called or it is cancelled;
 * NULL if all connections are busy.
 */
struct httpc_exchange *
httpc_send (struct httpc_pool *pool, const struct httpc_request *r)
{
  struct connection *c = take_connection (pool);
  struct httpc_exchange *x;
  char *target;

  if (c == NULL)
    return NULL;
  x = g_new0 (struct httpc_exchange, 1);
  x->pool = pool;
  x->connection_id = c->id;
  x->done = r->done;
  x->data = r->data;
  x->sending = true;
  c->exchange = x;
  x->request = evhttp_request_new (on_done, x);
  evhttp_request_set_error_cb (x->request, on_error);
  add_headers (x->request, pool->host, r);
  if (r->body.len > 0)
    evbuffer_add (evhttp_request_get_output_buffer (x->request), r->body.data,
                  r->body.len);
  start_timer (x, r->timeout_us);
  target = str_dup_cstr (r->target);
  if (evhttp_make_request (c->evcon, x->request, find_method (r->method),
                           target)
      != 0)
    {
      x->request = NULL;
      if (!x->finished)
        fail_deferred (x, HTTPC_NOT_CONNECTED);
    }
  g_free (target);
  x->sending = false;
  return x;
}

/**
 * httpc_cancel - gives up an exchange
 * @x: exchange
 *
 * The connection is closed, which tells the server that nobody waits.
 */
void
httpc_cancel (struct httpc_exchange *x)
{
  abort_request (x);
  release_connection (x);
  free_exchange (x);
}

uint32_t
httpc_get_open (const struct httpc_pool *pool)
{
  return pool->connections.count;
}
