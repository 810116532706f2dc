/* http_server_limit: the part of http_server that bounds what callers hold.  */

#include "http_server_limit.h"

#include "clock.h"
#include "tcp_socket.h"

#include <string.h>
#include <sys/socket.h>

/* Constants */

/* Interval at which connections are checked: an eighth of the shortest limit,
   the header timeout of the platform's examples, is 375 ms.  */
#define CHECK_INTERVAL_US 250000
/* Connections closed at one check because memory is short.  */
#define CLOSED_PER_CHECK 16

/* Internal functions */

struct http_server_connection *
http_server_get_connection (struct MHD_Connection *mhd)
{
  return MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static void
release (struct http_server *h, int64_t bytes)
{
  if (h->slice != NULL && bytes > 0)
    byte_budget_release (h->slice, bytes);
}

void
http_server_limit_release_head (struct http_server *h,
                                struct http_server_connection *c)
{
  release (h, c->head_bytes);
  c->head_bytes = 0;
}

void
http_server_limit_release_body (struct http_server_exchange *x)
{
  if (x->shared != NULL)
    byte_budget_put_bytes (NULL, 0, x->shared);
  else
    str_reset (&x->body);
  x->shared = NULL;
  x->body = (struct str_buf){ 0 };
  if (x->server->slice != NULL)
    byte_budget_release_holder (x->server->slice, &x->held);
}

/* Drops the body of a request that does not fit the budget.  The rest of it is
   read and dropped too, so that the client gets the refusal.  */
void
http_server_limit_refuse (struct http_server_exchange *x)
{
  http_server_limit_release_body (x);
  x->refused = true;
  x->server->stats.refused++;
}

static int64_t
get_held_bytes (const struct http_server_connection *c)
{
  return c->head_bytes + (c->exchange != NULL ? c->exchange->held.bytes : 0);
}

/* Sends the refusal of a request that is not complete; nothing else was sent
   for it.  */
static void
send_refusal (int fd, enum client_limit_reason reason)
{
  static const char timeout[]
      = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n";
  static const char short_of_space[]
      = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
        "Retry-After: 1\r\nContent-Length: 0\r\n\r\n";
  static const char too_large[]
      = "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n";
  const char *text = timeout;

  if (reason == CLIENT_LIMIT_MEMORY || reason == CLIENT_LIMIT_CONNECTIONS)
    text = short_of_space;
  if (reason == CLIENT_LIMIT_BODY_SIZE)
    text = too_large;
  send (fd, text, strlen (text), MSG_NOSIGNAL | MSG_DONTWAIT);
}

static void
log_closed (struct http_server *h, const struct http_server_connection *c,
            enum client_limit_reason reason, int64_t now_us)
{
  uint64_t left_out;

  if (!logger_allow (&h->closed_log_limit, now_us, &left_out))
    return;
  LOGGER_WRITE (
      LOGGER_WARNING, "client_closed",
      LOGGER_TEXT ("reason", str_from_cstr (client_limit_get_name (reason))),
      LOGGER_NUMBER ("listener", (int64_t)h->source),
      LOGGER_NUMBER ("held_bytes", get_held_bytes (c)),
      LOGGER_NUMBER ("stalled_ms",
                     (now_us - c->limit.marked_us) / CLOCK_US_PER_MS),
      LOGGER_NUMBER ("left_out", (int64_t)left_out));
}

/* Ends a connection whose request has not run or whose response is not read.
   libmicrohttpd reads the end of the stream and removes it.  */
void
http_server_limit_end (struct http_server *h, struct http_server_connection *c,
                       enum client_limit_reason reason)
{
  int fd = http_server_get_socket (c->mhd);

  if (reason != CLIENT_LIMIT_IDLE_TIME)
    log_closed (h, c, reason, clock_now_us ());
  h->stats.closed[reason]++;
  if (!c->busy)
    g_queue_unlink (&h->idle, &c->link);
  c->ending = true;
  h->ending++;
  if (c->limit.phase != CLIENT_LIMIT_ANSWER
      && reason != CLIENT_LIMIT_IDLE_TIME)
    send_refusal (fd, reason);
  if (c->limit.phase == CLIENT_LIMIT_BODY)
    {
      http_server_limit_release_body (c->exchange);
      c->exchange->refused = true;
    }
  http_server_limit_release_head (h, c);
  shutdown (fd, SHUT_RDWR);
}

/* Ends the connection that holds the most for the longest time without
   progress.  Returns false if there is none.  */
bool
http_server_limit_end_stalled (struct http_server *h,
                               enum client_limit_reason reason)
{
  int64_t now_us = clock_now_us ();
  struct http_server_connection *worst = NULL;
  struct http_server_connection *c;
  double worst_rank = 0;

  if (h->ending >= CONNECTIONS_ENDING_MAX)
    return false;
  for (uint64_t id = table_next (&h->connections, 0, (void **)&c); id != 0;
       id = table_next (&h->connections, id, (void **)&c))
    {
      double rank = c->ending ? 0
                              : client_limit_get_rank (
                                  &c->limit, get_held_bytes (c), now_us);

      if (rank > worst_rank)
        {
          worst = c;
          worst_rank = rank;
        }
    }
  if (worst != NULL)
    http_server_limit_end (h, worst, reason);
  return worst != NULL;
}

bool
http_server_limit_reserve (struct http_server_exchange *x, int64_t bytes)
{
  struct http_server *h = x->server;

  if (h->slice == NULL)
    return true;
  for (int i = 0; i < CLOSED_PER_CHECK; i++)
    if (byte_budget_reserve_for (h->slice, &x->held, bytes))
      return true;
    else if (byte_budget_has_space (h->slice->budget, bytes)
             || !http_server_limit_end_stalled (h, CLIENT_LIMIT_MEMORY))
      return false;
  return false;
}

void
http_server_limit_schedule (struct http_server *h)
{
  const struct timeval wait = { 0, CHECK_INTERVAL_US };

  if (h->limits.client.head_us > 0 && !evtimer_pending (h->check, NULL))
    event_add (h->check, &wait);
}

/* Records what a connection has moved since the last check.  */
static void
record_progress (struct http_server *h, struct http_server_connection *c,
                 int64_t now_us)
{
  const struct client_limits *l = &h->limits.client;
  uint64_t received, acknowledged;

  if (c->limit.phase == CLIENT_LIMIT_RUNNING)
    return;
  if (c->limit.phase == CLIENT_LIMIT_BODY)
    {
      client_limit_record (&c->limit, l, c->exchange->received, now_us);
      return;
    }
  tcp_socket_get_counts (http_server_get_socket (c->mhd), &received,
                         &acknowledged);
  if (c->limit.phase == CLIENT_LIMIT_ANSWER)
    {
      client_limit_record (&c->limit, l, acknowledged, now_us);
      return;
    }
  if (c->limit.phase == CLIENT_LIMIT_IDLE && c->counted
      && received > c->limit.marked_bytes)
    client_limit_enter (&c->limit, CLIENT_LIMIT_HEAD, c->limit.marked_bytes,
                        now_us);
  if (!c->counted)
    c->limit.marked_bytes = received;
  c->counted = true;
  if (c->limit.phase == CLIENT_LIMIT_HEAD && h->slice != NULL
      && c->head_bytes == 0
      && byte_budget_take (h->slice, (int64_t)h->limits.headers_bytes))
    c->head_bytes = (int64_t)h->limits.headers_bytes;
}

void
http_server_limit_check (evutil_socket_t fd, short what, void *data)
{
  struct http_server *h = data;
  int64_t now_us = clock_now_us ();
  struct http_server_connection *c;

  for (uint64_t id = table_next (&h->connections, 0, (void **)&c); id != 0;
       id = table_next (&h->connections, id, (void **)&c))
    {
      enum client_limit_reason reason;

      if (c->ending)
        continue;
      record_progress (h, c, now_us);
      reason = client_limit_check (&c->limit, &h->limits.client, now_us);
      if (reason != CLIENT_LIMIT_KEEP && h->ending < CONNECTIONS_ENDING_MAX)
        http_server_limit_end (h, c, reason);
    }
  for (int i = 0; i < CLOSED_PER_CHECK && h->slice != NULL
                  && byte_budget_is_short (h->slice->budget)
                  && http_server_limit_end_stalled (h, CLIENT_LIMIT_MEMORY);
       i++)
    ;
  if (h->connections.count > 0)
    http_server_limit_schedule (h);
}

void
http_server_set_slice (struct http_server *h, struct byte_budget_slice *slice)
{
  h->slice = slice;
}

void
http_server_set_limits (struct http_server *h,
                        const struct http_server_limits *limits)
{
  const struct http_server_limits *most = &h->loaded_limits;

  h->limits.headers_bytes = MIN (limits->headers_bytes, most->headers_bytes);
  h->limits.body_bytes = MIN (limits->body_bytes, most->body_bytes);
  h->limits.client.head_us
      = MIN (limits->client.head_us, most->client.head_us);
  h->limits.client.idle_us
      = MIN (limits->client.idle_us, most->client.idle_us);
  h->limits.client.stall_us
      = MIN (limits->client.stall_us, most->client.stall_us);
}

struct byte_budget_bytes *
http_server_share_body (struct http_server_exchange *x)
{
  if (x->shared == NULL)
    x->shared = byte_budget_share (x->body.data, x->server->slice, &x->held);
  x->shared->users++;
  return x->shared;
}

int
http_server_get_socket (struct MHD_Connection *mhd)
{
  return MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}
