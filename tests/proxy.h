/* proxy: a TCP proxy on loopback that delays, pauses or resets connections,
   for fault injection in tests.

   Bytes of a paused connection are forwarded when it is resumed, as after a
   network partition: they are neither lost nor changed.  The proxy runs on one
   event loop.  */

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

/* The two ends of a proxied connection.  As a direction, the end that the
   bytes come from.  */
enum proxy_end
{
  PROXY_CLIENT, /* the side that connected to the proxy */
  PROXY_TARGET,
  PROXY_ENDS
};

struct proxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct sockaddr_in target;
  struct table connections;
  int64_t delay_us;
  bool paused[PROXY_ENDS]; /* bytes from this end are not read */
  bool refuse_connections; /* new connections are reset */
};

struct proxy_connection
{
  uint64_t id;
  struct proxy *proxy;
  struct bufferevent *ends[PROXY_ENDS];
  GQueue delayed[PROXY_ENDS]; /* struct evbuffer: bytes read from an end */
};

/* Timer of one delayed write.  */
struct proxy_delayed_write
{
  struct proxy *proxy;
  uint64_t connection_id;
  enum proxy_end source;
};

/* Internal functions */

static inline void
proxy_close_connection (struct proxy *p, struct proxy_connection *connection,
                        bool reset)
{
  struct linger linger = { 1, 0 };

  for (int i = 0; i < PROXY_ENDS; i++)
    {
      if (reset)
        setsockopt (bufferevent_getfd (connection->ends[i]), SOL_SOCKET,
                    SO_LINGER, &linger, sizeof linger);
      bufferevent_free (connection->ends[i]);
      g_queue_clear_full (&connection->delayed[i],
                          (GDestroyNotify)evbuffer_free);
    }
  table_remove (&p->connections, connection->id);
}

static inline void
proxy_on_delay_end (evutil_socket_t fd, short what, void *data)
{
  struct proxy_delayed_write *pending = data;
  struct proxy_connection *connection
      = table_get (&pending->proxy->connections, pending->connection_id);
  struct evbuffer *bytes;

  /* Always write the oldest buffer: timers may fire in another order than they
     were set.  */
  if (connection != NULL
      && (bytes = g_queue_pop_head (&connection->delayed[pending->source]))
             != NULL)
    {
      bufferevent_write_buffer (
          connection->ends[PROXY_ENDS - 1 - pending->source], bytes);
      evbuffer_free (bytes);
    }
  g_free (pending);
}

static inline void
proxy_forward (struct proxy_connection *connection, enum proxy_end source)
{
  struct proxy *p = connection->proxy;
  struct timeval wait = { (time_t)(p->delay_us / CLOCK_US_PER_S),
                          (suseconds_t)(p->delay_us % CLOCK_US_PER_S) };
  struct proxy_delayed_write *pending = g_new (struct proxy_delayed_write, 1);
  struct evbuffer *bytes = evbuffer_new ();

  bufferevent_read_buffer (connection->ends[source], bytes);
  g_queue_push_tail (&connection->delayed[source], bytes);
  *pending = (struct proxy_delayed_write){ p, connection->id, source };
  event_base_once (p->base, -1, EV_TIMEOUT, proxy_on_delay_end, pending,
                   &wait);
}

static inline void
proxy_on_client_read (struct bufferevent *b, void *data)
{
  proxy_forward (data, PROXY_CLIENT);
}

static inline void
proxy_on_target_read (struct bufferevent *b, void *data)
{
  proxy_forward (data, PROXY_TARGET);
}

/* Closes both ends when one is closed.  Bytes that can still be read are
   forwarded as far as the other socket accepts them immediately; delayed bytes
   are lost, as after a reset.  */
static inline void
proxy_on_event (struct bufferevent *b, short events, void *data)
{
  struct proxy_connection *connection = data;
  enum proxy_end source
      = b == connection->ends[PROXY_CLIENT] ? PROXY_CLIENT : PROXY_TARGET;
  struct bufferevent *other = connection->ends[PROXY_ENDS - 1 - source];

  if ((events & BEV_EVENT_CONNECTED) != 0)
    return;
  if ((events & BEV_EVENT_EOF) != 0 && connection->proxy->delay_us == 0
      && !connection->proxy->paused[source])
    {
      bufferevent_read_buffer (b, bufferevent_get_output (other));
      evbuffer_write (bufferevent_get_output (other),
                      bufferevent_getfd (other));
    }
  proxy_close_connection (connection->proxy, connection,
                          (events & BEV_EVENT_ERROR) != 0);
}

static inline void
proxy_update_reading (struct proxy *p, struct proxy_connection *connection)
{
  for (int i = 0; i < PROXY_ENDS; i++)
    if (p->paused[i])
      bufferevent_disable (connection->ends[i], EV_READ);
    else
      bufferevent_enable (connection->ends[i], EV_READ);
}

static inline void
proxy_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                 struct sockaddr *address, int len, void *data)
{
  static const bufferevent_data_cb reads[PROXY_ENDS]
      = { proxy_on_client_read, proxy_on_target_read };
  struct proxy *p = data;
  struct linger linger = { 1, 0 };
  struct proxy_connection *connection;
  uint64_t id;

  if (p->refuse_connections)
    {
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      evutil_closesocket (fd);
      return;
    }
  id = table_add (&p->connections, (void **)&connection);
  connection->id = id;
  connection->proxy = p;
  connection->ends[PROXY_CLIENT]
      = bufferevent_socket_new (p->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->ends[PROXY_TARGET]
      = bufferevent_socket_new (p->base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (int i = 0; i < PROXY_ENDS; i++)
    {
      bufferevent_setcb (connection->ends[i], reads[i], NULL, proxy_on_event,
                         connection);
      bufferevent_setwatermark (connection->ends[i], EV_READ, 0,
                                PROXY_BUFFER_MAX_BYTES);
    }
  proxy_update_reading (p, connection);
  if (bufferevent_socket_connect (connection->ends[PROXY_TARGET],
                                  (struct sockaddr *)&p->target,
                                  sizeof p->target)
      != 0)
    proxy_close_connection (p, connection, true);
}

/* Public functions */

/* Listens on a port of loopback and forwards connections to the port
   `target`.  */
static inline void
proxy_init (struct proxy *p, struct event_base *base, uint16_t port,
            uint16_t target)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *p = (struct proxy){ .base = base, .target = at };
  p->target.sin_port = htons (target);
  table_init (&p->connections, sizeof (struct proxy_connection));
  p->listener = evconnlistener_new_bind (
      base, proxy_on_accept, p, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&at, sizeof at);
  ck_assert_ptr_nonnull (p->listener);
}

/* Pauses or resumes forwarding from one end, for all connections.  */
static inline void
proxy_set_paused (struct proxy *p, enum proxy_end source, bool paused)
{
  struct proxy_connection *connection;

  p->paused[source] = paused;
  for (uint64_t id = table_next (&p->connections, 0, (void **)&connection);
       id != 0; id = table_next (&p->connections, id, (void **)&connection))
    proxy_update_reading (p, connection);
}

/* Resets all open connections.  */
static inline void
proxy_reset_connections (struct proxy *p)
{
  struct proxy_connection *connection;

  for (uint64_t id = table_next (&p->connections, 0, (void **)&connection);
       id != 0; id = table_next (&p->connections, id, (void **)&connection))
    proxy_close_connection (p, connection, true);
}

/* Ends all faults: no delay, no pause, no refused connections.  */
static inline void
proxy_clear_faults (struct proxy *p)
{
  p->delay_us = 0;
  p->refuse_connections = false;
  proxy_set_paused (p, PROXY_CLIENT, false);
  proxy_set_paused (p, PROXY_TARGET, false);
}

static inline void
proxy_close (struct proxy *p)
{
  proxy_reset_connections (p);
  evconnlistener_free (p->listener);
  table_close (&p->connections);
}

#endif
