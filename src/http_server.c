/* http_server: HTTP/1.1 listener on libmicrohttpd, driven by a thread's event
   loop.  */

#include "http_server.h"

#include "clock.h"
#include "http_head.h"
#include "http_server_limit.h"

#include <event2/util.h>
#include <glib.h>
#include <microhttpd.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

/* Constants */

/* libmicrohttpd allocates one block per connection for the request line, the
   headers, its read buffer and the head of the answer, and keeps it while the
   connection is idle: most of the memory of a daemon with many callers.  The
   block is larger than the limit on headers by this size.  */
#define CONNECTION_MEMORY_SPARE_BYTES 8192
/* Idle timeout of connections without a request after the listener has
   stopped.  libmicrohttpd counts whole seconds, so such a connection is closed
   after one to two seconds.  */
#define CLOSING_IDLE_TIMEOUT_S 1u
/* Held for a request beside its head and body: the exchange, its header table
   and the call.  */
#define REQUEST_BYTES ((int64_t)4096)
/* A body of unknown length grows by this and a quarter of its size.  */
#define BODY_STEP_BYTES ((size_t)65536)
#define STATUS_BAD_GATEWAY 502

/* Internal functions */

static void
schedule_timer (struct http_server *h)
{
  MHD_UNSIGNED_LONG_LONG ms;
  struct timeval wait;

  if (MHD_get_timeout (h->mhd, &ms) != MHD_YES)
    return;
  wait.tv_sec = (time_t)(ms / 1000);
  wait.tv_usec = (suseconds_t)(ms % 1000) * 1000;
  event_add (h->timer, &wait);
}

static void
run_mhd (evutil_socket_t fd, short what, void *data)
{
  struct http_server *h = data;

  MHD_run (h->mhd);
  schedule_timer (h);
}

/* With an external event loop libmicrohttpd processes a resumed connection
   only when MHD_run is called again.  */
static void
resume (struct http_server_exchange *x)
{
  x->suspended = false;
  MHD_resume_connection (x->connection);
  event_active (x->server->resumed, EV_TIMEOUT, 0);
}

/* Called by the event loop, since libmicrohttpd does not watch a suspended
   connection.  */
static void
on_closed (evutil_socket_t fd, short what, void *data)
{
  struct http_server_exchange *x = data;

  event_free (x->close_event);
  x->close_event = NULL;
  x->awaiting_answer = false;
  x->server->ops->on_disconnect (x->server->owner, x);
  x->status = 0;
  resume (x);
}

static void
watch_for_close (struct http_server_exchange *x)
{
  x->close_event
      = event_new (x->server->base, http_server_get_socket (x->connection),
                   EV_CLOSED, on_closed, x);
  event_add (x->close_event, NULL);
}

/* Returns true if the value came from more than one line.  libmicrohttpd before
   1.0 joins the lines in a new place and writes over the end of the name, so
   that another field would be forwarded.  Otherwise name and value point into
   the line as it was received, with only the colon and blanks between them.  */
static bool
is_folded (const char *name, const char *value)
{
#if MHD_VERSION < 0x01000000
  const char *between = name + strlen (name) + 1;

  while (between < value && (*between == ' ' || *between == '\t'))
    between++;
  return between != value;
#else
  return false;
#endif
}

static enum MHD_Result
collect_header (void *data, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
  struct http_server_exchange *x = data;
  struct wire_header *header = &x->headers[x->headers_len];

  if (x->headers_len == WIRE_HEADERS_MAX)
    {
      x->headers_too_many = true;
      return MHD_NO;
    }
  *header = (struct wire_header){ str_from_cstr (name),
                                  http_head_trim (str_from_cstr (value)) };
  x->headers_invalid = x->headers_invalid || is_folded (name, value)
                       || !http_head_is_name (header->name)
                       || !http_head_is_value (header->value);
  x->headers_len++;
  return MHD_YES;
}

static void
pass_to_owner (struct http_server_exchange *x,
               struct MHD_Connection *connection, const char *method)
{
  x->connection = connection;
  x->method = str_from_cstr (method);
  client_limit_enter (&http_server_get_connection (connection)->limit,
                      CLIENT_LIMIT_RUNNING, 0, clock_now_us ());
  x->headers = g_new (struct wire_header, WIRE_HEADERS_MAX);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, collect_header, x);
  x->awaiting_answer = true;
  x->suspended = true;
  MHD_suspend_connection (connection);
  watch_for_close (x);
  x->server->ops->on_request (x->server->owner, x);
}

/* Makes space for the next bytes of the body.  The space for a body of known
   length was reserved with its head.  */
static bool
grow_body (struct http_server_exchange *x, size_t len)
{
  size_t need = x->body.len + len + 1;
  size_t cap;

  if (need <= x->body.cap)
    return true;
  if (x->declared > 0)
    {
      str_reserve (&x->body, (size_t)x->declared + 1);
      return need <= x->body.cap;
    }
  cap = MAX (need, x->body.cap + x->body.cap / 4 + BODY_STEP_BYTES);
  if (!http_server_limit_reserve (x, (int64_t)(cap - x->body.cap)))
    return false;
  str_reserve (&x->body, cap);
  return true;
}

static void
collect_body (struct http_server_exchange *x, const char *data, size_t *len)
{
  struct http_server_connection *c
      = http_server_get_connection (x->connection);
  size_t limit = x->server->limits.body_bytes;

  x->received += *len;
  if (x->received > limit && !x->body_too_large)
    {
      http_server_limit_release_body (x);
      x->body_too_large = true;
    }
  /* As much as the limit is read after it, so that a client that sends a body
     only slightly too large gets the answer.  */
  if (x->received > 2 * limit + BODY_STEP_BYTES && !c->ending)
    http_server_limit_end (x->server, c, CLIENT_LIMIT_BODY_SIZE);
  if (!x->body_too_large && !x->refused)
    {
      if (grow_body (x, *len))
        str_append (&x->body, (struct str){ *len, data });
      else
        http_server_limit_refuse (x);
    }
  *len = 0;
}

static struct str
get_value (struct MHD_Connection *connection, const char *name)
{
  return str_from_cstr (
      MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name));
}

/* Called when the head is complete: reserves the space for the request.  A
   client that waits for "100 Continue" is refused before it sends the body. */
static void
begin_request (struct http_server_exchange *x,
               struct MHD_Connection *connection, const char *method)
{
  struct http_server *h = x->server;
  struct http_server_connection *c = http_server_get_connection (connection);
  size_t head_bytes = MHD_get_connection_info (
                          connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
                          ->header_size;
  int64_t bytes = REQUEST_BYTES + (int64_t)head_bytes;

  x->connection = connection;
  http_server_limit_release_head (h, c);
  client_limit_enter (&c->limit, CLIENT_LIMIT_BODY, 0, clock_now_us ());
  x->headers_too_many = head_bytes > h->limits.headers_bytes;
  if (!str_parse_u64 (get_value (connection, "Content-Length"), &x->declared))
    x->declared = 0;
  x->body_too_large = x->declared > h->limits.body_bytes;
  if (!x->body_too_large && x->declared > 0)
    bytes += (int64_t)x->declared + 1;
  /* The workspace is known only once the key is checked, after the body.  */
  x->held.group = str_hash (get_value (connection, "Authorization"));
  if (!http_server_limit_reserve (x, bytes))
    http_server_limit_refuse (x);
  if ((x->refused || x->body_too_large)
      && get_value (connection, "Expect").len > 0)
    pass_to_owner (x, connection, method);
}

static enum MHD_Result
on_access (void *data, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload,
           size_t *upload_len, void **context)
{
  struct http_server_exchange *x = *context;

  if (x == NULL)
    return MHD_NO;
  if (x->response != NULL)
    return MHD_queue_response (connection, (unsigned int)x->status,
                               x->response);
  if (x->connection == NULL)
    {
      /* First call: only the headers are known.  */
      begin_request (x, connection, method);
      return MHD_YES;
    }
  if (*upload_len > 0)
    {
      collect_body (x, upload, upload_len);
      return MHD_YES;
    }
  if (x->headers != NULL)
    return MHD_NO; /* resumed without an answer: close the connection */
  pass_to_owner (x, connection, method);
  return MHD_YES;
}

/* Internal functions: connections */

static void
add_idle (struct http_server *h, struct http_server_connection *c)
{
  c->busy = false;
  if (!c->ending)
    g_queue_push_tail_link (&h->idle, &c->link);
  if (h->listener != NULL)
    listener_resume (h->listener);
}

static void
remove_idle (struct http_server *h, struct http_server_connection *c)
{
  if (!c->busy && !c->ending)
    g_queue_unlink (&h->idle, &c->link);
}

static void
on_connection (void *data, struct MHD_Connection *mhd, void **context,
               enum MHD_ConnectionNotificationCode what)
{
  struct http_server *h = data;
  struct http_server_connection *c = *context;

  if (what == MHD_CONNECTION_NOTIFY_STARTED)
    {
      uint64_t id = table_add (&h->connections, (void **)&c);

      c->id = id;
      c->mhd = mhd;
      c->link.data = c;
      client_limit_enter (&c->limit, CLIENT_LIMIT_IDLE, 0, clock_now_us ());
      add_idle (h, c);
      http_server_limit_schedule (h);
      h->accepted++;
      *context = c;
      return;
    }
  remove_idle (h, c);
  http_server_limit_release_head (h, c);
  h->ending -= c->ending;
  table_remove (&h->connections, c->id);
  if (h->listener != NULL)
    listener_resume (h->listener);
}

/* Ends the connection that was idle for longest, but none on which bytes have
   arrived, since it is about to become busy.  Returns false if there is none
   to end.  */
static bool
end_idle_connection (struct http_server *h)
{
  char byte;

  if (h->ending == CONNECTIONS_ENDING_MAX)
    return false;
  for (guint i = g_queue_get_length (&h->idle); i > 0; i--)
    {
      GList *link = g_queue_pop_head_link (&h->idle);
      struct http_server_connection *c = link->data;
      int fd = http_server_get_socket (c->mhd);

      if (recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
        {
          g_queue_push_tail_link (&h->idle, link);
          continue;
        }
      c->ending = true;
      h->ending++;
      /* libmicrohttpd reads the end of the stream and closes the
         connection.  */
      shutdown (fd, SHUT_RDWR);
      return true;
    }
  return false;
}

static bool
make_room (void *owner)
{
  struct http_server *h = owner;

  return h->connections.count - h->ending < h->limits.connections
         || end_idle_connection (h)
         || http_server_limit_end_stalled (h, CLIENT_LIMIT_CONNECTIONS);
}

static void
on_shortage (void *owner)
{
  if (!end_idle_connection (owner))
    http_server_limit_end_stalled (owner, CLIENT_LIMIT_CONNECTIONS);
}

static bool
has_left (evutil_socket_t fd)
{
  struct pollfd caller = { .fd = fd, .events = POLLRDHUP };

  return poll (&caller, 1, 0) == 1;
}

/* A caller that gave up while it waited is not served: its request would be
   sent on although nobody waits for the answer.  */
static void
on_accept (void *owner, evutil_socket_t fd, const struct sockaddr *address,
           socklen_t len)
{
  struct http_server *h = owner;

  if (has_left (fd))
    evutil_closesocket (fd);
  else
    MHD_add_connection (h->mhd, fd, address, len);
}

static const struct listener_ops listener_ops
    = { make_room, on_shortage, on_accept };

/* libmicrohttpd passes the raw request target only to this callback; the
   returned pointer becomes the context of the request.  */
static void *
on_uri (void *data, const char *uri, struct MHD_Connection *connection)
{
  struct http_server_exchange *x = g_new0 (struct http_server_exchange, 1);
  struct http_server_connection *c = http_server_get_connection (connection);

  x->server = data;
  x->source = x->server->source;
  x->target = str_copy (str_from_cstr (uri));
  remove_idle (x->server, c);
  c->busy = true;
  c->exchange = x;
  if (c->limit.phase == CLIENT_LIMIT_IDLE)
    client_limit_enter (&c->limit, CLIENT_LIMIT_HEAD, 0, clock_now_us ());
  return x;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode why)
{
  struct http_server_exchange *x = *context;
  struct http_server_connection *c = http_server_get_connection (connection);

  if (x == NULL)
    return;
  *context = NULL;
  c->exchange = NULL;
  c->counted = false;
  client_limit_enter (&c->limit, CLIENT_LIMIT_IDLE, 0, clock_now_us ());
  http_server_limit_release_head (x->server, c);
  add_idle (x->server, c);
  if (x->close_event != NULL)
    event_free (x->close_event);
  if (x->awaiting_answer)
    x->server->ops->on_disconnect (x->server->owner, x);
  if (x->response != NULL)
    {
      x->server->stats.sending--;
      MHD_destroy_response (x->response);
    }
  str_free (&x->target);
  http_server_limit_release_body (x);
  g_free (x->headers);
  g_free (x);
}

/* Public functions */

/**
 * http_server_load - listens for HTTP requests
 * @base: event loop of the calling thread
 * @address: IP address
 * @port: TCP port, shared with other listeners of the process
 * @limits: limits on connections and requests
 * @ops: callbacks
 * @owner: passed to the callbacks
 * @source: copied into each exchange, to distinguish the owner's listeners
 *
 * Return: the listener, or NULL if the address is invalid or the port is in
 * use.
 */
struct http_server *
http_server_load (struct event_base *base, struct str address, uint16_t port,
                  const struct http_server_limits *limits,
                  const struct http_server_ops *ops, void *owner,
                  uint64_t source)
{
  struct http_server *h = g_new0 (struct http_server, 1);
  const union MHD_DaemonInfo *info;

  h->base = base;
  h->limits = *limits;
  h->loaded_limits = *limits;
  h->ops = ops;
  h->owner = owner;
  h->source = source;
  g_queue_init (&h->idle);
  /* libmicrohttpd stops accepting after one failure or at its limit, in some
     cases for good, so the listener accepts in its place.  */
  h->mhd = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET, 0,
      NULL, NULL, on_access, h, MHD_OPTION_URI_LOG_CALLBACK, on_uri, h,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, h,
      MHD_OPTION_CONNECTION_LIMIT,
      limits->connections + CONNECTIONS_ENDING_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_timeout_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      limits->headers_bytes + CONNECTION_MEMORY_SPARE_BYTES, MHD_OPTION_END);
  if (h->mhd != NULL)
    /* Several front threads listen on the same port.  */
    h->listener = listener_load (base, address, port, true, &listener_ops, h);
  if (h->listener == NULL)
    {
      if (h->mhd != NULL)
        MHD_stop_daemon (h->mhd);
      g_free (h);
      return NULL;
    }
  table_init (&h->connections, sizeof (struct http_server_connection));
  info = MHD_get_daemon_info (h->mhd, MHD_DAEMON_INFO_EPOLL_FD);
  h->readable
      = event_new (base, info->epoll_fd, EV_READ | EV_PERSIST, run_mhd, h);
  h->timer = evtimer_new (base, run_mhd, h);
  h->resumed = event_new (base, -1, 0, run_mhd, h);
  h->check = evtimer_new (base, http_server_limit_check, h);
  event_add (h->readable, NULL);
  return h;
}

void
http_server_unload (struct http_server *h)
{
  if (h->listener != NULL)
    listener_unload (h->listener);
  h->listener = NULL;
  event_free (h->readable);
  event_free (h->timer);
  event_free (h->resumed);
  event_free (h->check);
  MHD_stop_daemon (h->mhd);
  table_close (&h->connections);
  g_free (h);
}

/**
 * http_server_stop_listening - accepts no new connections and closes open ones
 * @h: listener
 *
 * A connection without a request is closed within two seconds, one with a
 * request after its answer.  Left open, they would carry new requests until
 * the process exits.
 */
void
http_server_stop_listening (struct http_server *h)
{
  struct http_server_connection *c;

  if (h->listener != NULL)
    listener_unload (h->listener);
  h->listener = NULL;
  h->closing = true;
  for (uint64_t id = table_next (&h->connections, 0, (void **)&c); id != 0;
       id = table_next (&h->connections, id, (void **)&c))
    if (!c->busy)
      MHD_set_connection_option (c->mhd, MHD_CONNECTION_OPTION_TIMEOUT,
                                 CLOSING_IDLE_TIMEOUT_S);
  schedule_timer (h);
}

/**
 * http_server_get_stats - reads the state of the listener
 * @h: listener
 * @stats: receives it; `waiting` is false after http_server_stop_listening()
 */
void
http_server_get_stats (const struct http_server *h,
                       struct http_server_stats *stats)
{
  *stats = h->stats;
  stats->open = h->connections.count;
  stats->accepted = h->accepted;
  stats->waiting
      = h->listener != NULL && listener_is_caller_waiting (h->listener);
}

uint32_t
http_server_get_sending (const struct http_server *h)
{
  return h->stats.sending;
}

int64_t
http_server_get_paused_us (const struct http_server *h, int64_t now_us)
{
  return h->listener != NULL ? listener_get_paused_us (h->listener, now_us)
                             : 0;
}

/* Replaces the reservation of a request by that of its answer.  Returns false
   if the answer does not fit.  */
static bool
reserve_answer (struct http_server_exchange *x, size_t len)
{
  int64_t bytes = REQUEST_BYTES + (int64_t)len;

  http_server_limit_release_body (x);
  if (x->server->slice == NULL || http_server_limit_reserve (x, bytes))
    return true;
  if (!byte_budget_take (x->server->slice, bytes))
    return false;
  x->held.bytes = bytes;
  return true;
}

/* Answers with a response, which libmicrohttpd sends and frees.  */
static void
answer (struct http_server_exchange *x, int status,
        const struct wire_header *headers, uint32_t headers_len,
        struct MHD_Response *r)
{
  for (uint32_t i = 0; i < headers_len; i++)
    {
      char *name = str_dup_cstr (headers[i].name);
      char *value = str_dup_cstr (headers[i].value);

      MHD_add_response_header (r, name, value);
      g_free (name);
      g_free (value);
    }
  if (x->server->closing)
    MHD_add_response_header (r, "Connection", "close");
  if (x->close_event != NULL)
    event_free (x->close_event);
  x->close_event = NULL;
  x->awaiting_answer = false;
  x->response = r;
  x->status = status;
  x->server->stats.sending++;
  client_limit_enter (&http_server_get_connection (x->connection)->limit,
                      CLIENT_LIMIT_ANSWER, 0, clock_now_us ());
  resume (x);
}

/* Answers a request that has run, without the response, since that does not
   fit the budget and its part for such responses.  */
static void
drop_answer (struct http_server_exchange *x)
{
  const struct wire_header close
      = { STR_LIT ("Connection"), STR_LIT ("close") };

  x->server->stats.dropped++;
  answer (x, STATUS_BAD_GATEWAY, &close, !x->server->closing,
          MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT));
}

/**
 * http_server_answer - answers a request
 * @x: exchange; no longer valid afterwards
 * @status: HTTP status
 * @headers: headers; Content-Length is added here
 * @headers_len: number of headers
 * @body: complete body
 */
void
http_server_answer (struct http_server_exchange *x, int status,
                    const struct wire_header *headers, uint32_t headers_len,
                    struct str body)
{
  if (!reserve_answer (x, body.len))
    drop_answer (x);
  else
    answer (x, status, headers, headers_len,
            MHD_create_response_from_buffer (body.len, (void *)body.data,
                                             MHD_RESPMEM_MUST_COPY));
}

/**
 * http_server_answer_taking - answers a request without copying the body
 * @x: exchange; no longer valid afterwards
 * @status: HTTP status
 * @headers: headers; Content-Length is added here
 * @headers_len: number of headers
 * @body: complete body, not empty; empty afterwards
 */
void
http_server_answer_taking (struct http_server_exchange *x, int status,
                           const struct wire_header *headers,
                           uint32_t headers_len, struct str_buf *body)
{
  if (!reserve_answer (x, body->len))
    {
      str_reset (body);
      drop_answer (x);
      return;
    }
  /* The buffer has grown by doubling.  */
  body->data = g_realloc (body->data, body->len + 1);
  answer (x, status, headers, headers_len,
          MHD_create_response_from_buffer_with_free_callback (
              body->len, body->data, g_free));
  *body = (struct str_buf){ 0 };
}

void
http_server_drop (struct http_server_exchange *x)
{
  if (x->close_event != NULL)
    event_free (x->close_event);
  x->close_event = NULL;
  x->awaiting_answer = false;
  /* on_access closes a resumed connection that has no response.  */
  resume (x);
}

struct str
http_server_get_header (const struct http_server_exchange *x, struct str name)
{
  for (uint32_t i = 0; i < x->headers_len; i++)
    if (str_equal_nocase (x->headers[i].name, name))
      return x->headers[i].value;
  return STR_EMPTY;
}
