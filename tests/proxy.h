/* proxy: a TCP forwarder on loopback that delays, holds or resets connections.

   What is held goes on when the hold ends, as after a partition: bytes are
   neither lost nor changed.  One event loop runs it.  */

#ifndef ALMONDVALE_TESTS_PROXY_H
#define ALMONDVALE_TESTS_PROXY_H

#include "clock.h"
#include "table.h"

#include <arpa/inet.h>
#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

/* Constants */

#define PROXY_BUFFER_MAX_BYTES 65536

/* Types */

/* Ends of a connection, and the direction of what was read there.  */
enum proxy_end
{
  PROXY_CALLER, /* who connected */
  PROXY_TARGET,
  PROXY_ENDS
};

struct proxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct sockaddr_in target;
  struct table pipes;
  int64_t delay_us;
  bool held[PROXY_ENDS]; /* what comes from this end stays there */
  bool refused;          /* new connections are reset */
};

struct proxy_pipe
{
  uint64_t id;
  struct proxy *proxy;
  struct bufferevent *ends[PROXY_ENDS];
  GQueue waiting[PROXY_ENDS]; /* struct evbuffer, read from an end */
};

/* The time of the next bytes that wait.  */
struct proxy_due
{
  struct proxy *proxy;
  uint64_t pipe;
  enum proxy_end from;
};

/* Internal functions */

static inline void
proxy_close_pipe (struct proxy *p, struct proxy_pipe *pipe, bool reset)
{
  struct linger linger = { 1, 0 };

  for (int i = 0; i < PROXY_ENDS; i++)
    {
      if (reset)
        setsockopt (bufferevent_getfd (pipe->ends[i]), SOL_SOCKET, SO_LINGER,
                    &linger, sizeof linger);
      bufferevent_free (pipe->ends[i]);
      g_queue_clear_full (&pipe->waiting[i], (GDestroyNotify)evbuffer_free);
    }
  table_remove (&p->pipes, pipe->id);
}

static inline void
proxy_on_due (evutil_socket_t fd, short what, void *data)
{
  struct proxy_due *due = data;
  struct proxy_pipe *pipe = table_get (&due->proxy->pipes, due->pipe);
  struct evbuffer *bytes;

  /* The first that waits, whichever timer this is: timers may change places.  */
  if (pipe != NULL
      && (bytes = g_queue_pop_head (&pipe->waiting[due->from])) != NULL)
    {
      bufferevent_write_buffer (pipe->ends[PROXY_ENDS - 1 - due->from], bytes);
      evbuffer_free (bytes);
    }
  g_free (due);
}

static inline void
proxy_forward (struct proxy_pipe *pipe, enum proxy_end from)
{
  struct proxy *p = pipe->proxy;
  struct timeval wait = { (time_t)(p->delay_us / CLOCK_US_PER_S),
                          (suseconds_t)(p->delay_us % CLOCK_US_PER_S) };
  struct proxy_due *due = g_new (struct proxy_due, 1);
  struct evbuffer *bytes = evbuffer_new ();

  bufferevent_read_buffer (pipe->ends[from], bytes);
  g_queue_push_tail (&pipe->waiting[from], bytes);
  *due = (struct proxy_due){ p, pipe->id, from };
  event_base_once (p->base, -1, EV_TIMEOUT, proxy_on_due, due, &wait);
}

static inline void
proxy_on_caller_read (struct bufferevent *b, void *data)
{
  proxy_forward (data, PROXY_CALLER);
}

static inline void
proxy_on_target_read (struct bufferevent *b, void *data)
{
  proxy_forward (data, PROXY_TARGET);
}

/* The end of one side ends both.  What was read is passed on as far as the other
   side takes it at once; bytes that are delayed are lost, as in a reset.  */
static inline void
proxy_on_event (struct bufferevent *b, short events, void *data)
{
  struct proxy_pipe *pipe = data;
  enum proxy_end from
      = b == pipe->ends[PROXY_CALLER] ? PROXY_CALLER : PROXY_TARGET;
  struct bufferevent *other = pipe->ends[PROXY_ENDS - 1 - from];

  if ((events & BEV_EVENT_CONNECTED) != 0)
    return;
  if ((events & BEV_EVENT_EOF) != 0 && pipe->proxy->delay_us == 0
      && !pipe->proxy->held[from])
    {
      bufferevent_read_buffer (b, bufferevent_get_output (other));
      evbuffer_write (bufferevent_get_output (other),
                      bufferevent_getfd (other));
    }
  proxy_close_pipe (pipe->proxy, pipe, (events & BEV_EVENT_ERROR) != 0);
}

static inline void
proxy_apply_holds (struct proxy *p, struct proxy_pipe *pipe)
{
  for (int i = 0; i < PROXY_ENDS; i++)
    if (p->held[i])
      bufferevent_disable (pipe->ends[i], EV_READ);
    else
      bufferevent_enable (pipe->ends[i], EV_READ);
}

static inline void
proxy_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                 struct sockaddr *from, int len, void *data)
{
  static const bufferevent_data_cb reads[PROXY_ENDS]
      = { proxy_on_caller_read, proxy_on_target_read };
  struct proxy *p = data;
  struct linger linger = { 1, 0 };
  struct proxy_pipe *pipe;
  uint64_t id;

  if (p->refused)
    {
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      evutil_closesocket (fd);
      return;
    }
  id = table_add (&p->pipes, (void **)&pipe);
  pipe->id = id;
  pipe->proxy = p;
  pipe->ends[PROXY_CALLER]
      = bufferevent_socket_new (p->base, fd, BEV_OPT_CLOSE_ON_FREE);
  pipe->ends[PROXY_TARGET]
      = bufferevent_socket_new (p->base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (int i = 0; i < PROXY_ENDS; i++)
    {
      bufferevent_setcb (pipe->ends[i], reads[i], NULL, proxy_on_event, pipe);
      bufferevent_setwatermark (pipe->ends[i], EV_READ, 0,
                                PROXY_BUFFER_MAX_BYTES);
    }
  proxy_apply_holds (p, pipe);
  if (bufferevent_socket_connect (pipe->ends[PROXY_TARGET],
                                  (struct sockaddr *)&p->target,
                                  sizeof p->target)
      != 0)
    proxy_close_pipe (p, pipe, true);
}

/* Public functions */

/* Listens at a port of loopback and forwards to another one.  */
static inline void
proxy_init (struct proxy *p, struct event_base *base, uint16_t port,
            uint16_t target)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *p = (struct proxy){ .base = base, .target = at };
  p->target.sin_port = htons (target);
  table_init (&p->pipes, sizeof (struct proxy_pipe));
  p->listener = evconnlistener_new_bind (
      base, proxy_on_accept, p, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&at, sizeof at);
  ck_assert_ptr_nonnull (p->listener);
}

/* Holds what comes from an end of all connections, or lets it go on.  */
static inline void
proxy_hold (struct proxy *p, enum proxy_end from, bool held)
{
  struct proxy_pipe *pipe;

  p->held[from] = held;
  for (uint64_t id = table_next (&p->pipes, 0, (void **)&pipe); id != 0;
       id = table_next (&p->pipes, id, (void **)&pipe))
    proxy_apply_holds (p, pipe);
}

/* Resets the connections that are open.  */
static inline void
proxy_reset (struct proxy *p)
{
  struct proxy_pipe *pipe;

  for (uint64_t id = table_next (&p->pipes, 0, (void **)&pipe); id != 0;
       id = table_next (&p->pipes, id, (void **)&pipe))
    proxy_close_pipe (p, pipe, true);
}

/* Forwards everything at once again.  */
static inline void
proxy_heal (struct proxy *p)
{
  p->delay_us = 0;
  p->refused = false;
  proxy_hold (p, PROXY_CALLER, false);
  proxy_hold (p, PROXY_TARGET, false);
}

static inline void
proxy_close (struct proxy *p)
{
  proxy_reset (p);
  evconnlistener_free (p->listener);
  table_close (&p->pipes);
}

#endif
