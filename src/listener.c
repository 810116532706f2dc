/* listener: accepts TCP connections in an event loop.  */

#include "listener.h"

#include "clock.h"
#include "logger.h"
#include "tcp_socket.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>

/* Constants */

#define LISTENER_BACKLOG 1024
/* Connections accepted in one turn of the event loop, so that open connections
   are served in between.  */
#define LISTENER_BATCH 10

/* Types */

struct listener
{
  struct event *readable;
  struct event *retry;
  const struct listener_ops *ops;
  void *owner;
  evutil_socket_t fd;
  uint16_t port;
  bool paused;
  /* time of the first failure since the last connection was accepted, 0 if
     there is none */
  int64_t failing_since_us;
  struct logger_rate_limit failure_log_limit;
};

/* Internal functions */

static void
pause_accepting (struct listener *l)
{
  const struct timeval wait = { 0, LISTENER_RETRY_US };

  l->paused = true;
  if (l->failing_since_us == 0)
    l->failing_since_us = clock_now_us ();
  event_del (l->readable);
  event_add (l->retry, &wait);
}

static void
log_failure (struct listener *l, int reason)
{
  uint64_t left_out;

  if (logger_allow (&l->failure_log_limit, clock_now_us (), &left_out))
    LOGGER_WRITE (LOGGER_WARNING, "accept_failed",
                  LOGGER_NUMBER ("port", l->port),
                  LOGGER_TEXT ("reason", str_from_cstr (g_strerror (reason))),
                  LOGGER_NUMBER ("left_out", (int64_t)left_out));
}

/* Returns true for errors of accept that concern one caller, who has gone, or
   that mean that no caller waits.  */
static bool
is_transient (int reason)
{
  return reason == EAGAIN || reason == EWOULDBLOCK || reason == EINTR
         || reason == ECONNABORTED || reason == EPROTO;
}

/* Returns false if no caller waits or none can be accepted now.  */
static bool
accept_one (struct listener *l)
{
  struct sockaddr_storage address;
  socklen_t len = sizeof address;
  evutil_socket_t fd;
  int reason;

  if (!l->ops->make_room (l->owner))
    {
      pause_accepting (l);
      return false;
    }
  fd = accept4 (l->fd, (struct sockaddr *)&address, &len,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0)
    {
      l->failing_since_us = 0;
      l->ops->on_accept (l->owner, fd, (struct sockaddr *)&address, len);
      return true;
    }
  reason = errno;
  if (is_transient (reason))
    return false;
  log_failure (l, reason);
  if (l->ops->on_shortage != NULL)
    l->ops->on_shortage (l->owner);
  pause_accepting (l);
  return false;
}

static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  struct listener *l = data;
  int accepted = 0;

  /* Room is made only for a caller that waits.  */
  while (accept_one (l) && ++accepted < LISTENER_BATCH
         && listener_is_caller_waiting (l))
    ;
}

static void
on_retry (evutil_socket_t fd, short what, void *data)
{
  listener_resume (data);
}

static evutil_socket_t
open_socket (struct str address, uint16_t port, bool reuse_port)
{
  struct sockaddr_storage storage;
  int one = 1;
  int len;
  evutil_socket_t fd;

  if (!tcp_socket_parse_address (address, port, &storage, &len))
    return -1;
  fd = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
               0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (reuse_port)
    setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&storage, (socklen_t)len) == 0
      && listen (fd, LISTENER_BACKLOG) == 0)
    return fd;
  evutil_closesocket (fd);
  return -1;
}

/* Public functions */

/**
 * listener_load - listens for TCP connections
 * @base: event loop of the calling thread
 * @address: IP address
 * @port: TCP port
 * @reuse_port: other listeners of the process may use the same port
 * @ops: callbacks, called from the event loop
 * @owner: passed to the callbacks
 *
 * Return: the listener, or NULL if the address is invalid or the port is in
 * use.
 */
struct listener *
listener_load (struct event_base *base, struct str address, uint16_t port,
               bool reuse_port, const struct listener_ops *ops, void *owner)
{
  evutil_socket_t fd = open_socket (address, port, reuse_port);
  struct listener *l;

  if (fd < 0)
    return NULL;
  l = g_new0 (struct listener, 1);
  l->fd = fd;
  l->port = port;
  l->ops = ops;
  l->owner = owner;
  l->readable = event_new (base, fd, EV_READ | EV_PERSIST, on_readable, l);
  l->retry = evtimer_new (base, on_retry, l);
  event_add (l->readable, NULL);
  return l;
}

void
listener_unload (struct listener *l)
{
  event_free (l->readable);
  event_free (l->retry);
  evutil_closesocket (l->fd);
  g_free (l);
}

void
listener_resume (struct listener *l)
{
  if (!l->paused)
    return;
  l->paused = false;
  event_del (l->retry);
  event_add (l->readable, NULL);
}

bool
listener_is_caller_waiting (const struct listener *l)
{
  struct pollfd listening = { .fd = l->fd, .events = POLLIN };

  return poll (&listening, 1, 0) == 1;
}

/**
 * listener_get_paused_us - tells how long the listener has been unable to accept
 * @l: listener
 * @now_us: current time
 *
 * Return: the time since the first failure after the last connection that was
 * accepted; 0 if there was none, or no caller waits.
 */
int64_t
listener_get_paused_us (const struct listener *l, int64_t now_us)
{
  if (l->failing_since_us == 0 || !listener_is_caller_waiting (l))
    return 0;
  return now_us - l->failing_since_us;
}
