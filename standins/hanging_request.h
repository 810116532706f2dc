/* hanging_request: a request of a stand-in that is never answered.  */

#ifndef ALMONDVALE_STANDINS_HANGING_REQUEST_H
#define ALMONDVALE_STANDINS_HANGING_REQUEST_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/* Types */

/* evhttp does not read while a request is open, so a separate event detects
   that the connection was closed.  */
struct hanging_request
{
  struct evhttp_request *request;
  int *closed_count;
  struct event *closed;
};

/* Public functions */

static inline void
hanging_request_on_closed (evutil_socket_t fd, short what, void *data)
{
  struct hanging_request *h = data;

  (*h->closed_count)++;
  event_free (h->closed);
  evhttp_connection_free (evhttp_request_get_connection (h->request));
  g_free (h);
}

/* Leaves a request open.  When its connection is closed, the count is
   increased.  */
static inline void
hanging_request_start (struct event_base *base, struct evhttp_request *r,
                       int *closed_count)
{
  struct hanging_request *h = g_new (struct hanging_request, 1);
  evutil_socket_t fd = bufferevent_getfd (
      evhttp_connection_get_bufferevent (evhttp_request_get_connection (r)));

  *h = (struct hanging_request){ .request = r, .closed_count = closed_count };
  h->closed = event_new (base, fd, EV_CLOSED, hanging_request_on_closed, h);
  event_add (h->closed, NULL);
}

#endif
