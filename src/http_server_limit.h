/* http_server_limit: the part of http_server that bounds what callers hold:
   it takes bytes from the budget and ends connections.  Only http_server
   includes this file.  */

#ifndef ALMONDVALE_HTTP_SERVER_LIMIT_H
#define ALMONDVALE_HTTP_SERVER_LIMIT_H

#include "http_server.h"
#include "listener.h"
#include "logger.h"
#include "table.h"

#include <glib.h>
#include <microhttpd.h>

/* Constants */

/* Connections that libmicrohttpd may have above the limit: those that were
   ended to make room and are not removed yet.  */
#define CONNECTIONS_ENDING_MAX 64u
/* Types */

struct http_server_connection
{
  uint64_t id;
  struct MHD_Connection *mhd;
  GList link;  /* in the server's list of idle connections */
  bool busy;   /* has a request; not in the list */
  bool ending; /* ended to make room; not in the list */
  struct http_server_exchange *exchange; /* NULL without a request */
  struct client_limit limit;
  bool counted;       /* `limit` knows the bytes received before the request */
  int64_t head_bytes; /* taken from the budget for an incomplete head */
};

struct http_server
{
  struct event_base *base;
  struct MHD_Daemon *mhd;
  struct event *readable; /* libmicrohttpd's epoll descriptor is readable */
  struct event *timer;    /* libmicrohttpd's next timeout */
  /* activated after a connection was resumed; separate from timer, since
     adding an active timer makes it inactive */
  struct event *resumed;
  struct event *check; /* next check of the connections */
  struct http_server_limits limits;
  struct http_server_limits loaded_limits; /* of http_server_load */
  struct byte_budget_slice *slice;         /* NULL: no budget */
  struct http_server_stats stats;
  struct logger_rate_limit closed_log_limit;
  const struct http_server_ops *ops;
  void *owner;
  uint64_t source;
  struct listener *listener; /* NULL after it has stopped */
  bool closing; /* connections are closed after their next answer */
  uint64_t accepted;
  struct table connections;
  GQueue idle; /* connections without a request, idle for longest first */
  uint32_t ending;
};

/* Functions for http_server */

/* returns the row of a connection */
struct http_server_connection *
http_server_get_connection (struct MHD_Connection *mhd);
/* returns the socket of a connection */
int http_server_get_socket (struct MHD_Connection *mhd);
/* releases the bytes taken for an incomplete head */
void http_server_limit_release_head (struct http_server *h,
                                     struct http_server_connection *c);
/* frees the body and releases all bytes reserved for the request */
void http_server_limit_release_body (struct http_server_exchange *x);
/* drops the body of a request that does not fit the budget; the rest of it is
   read and dropped too, so that the client gets the refusal */
void http_server_limit_refuse (struct http_server_exchange *x);
/* reserves bytes for a request, if necessary in place of those of stalled
   connections; false if they do not fit */
bool http_server_limit_reserve (struct http_server_exchange *x, int64_t bytes);
/* ends a connection whose request has not run or whose response is not read;
   libmicrohttpd reads the end of the stream and removes it */
void http_server_limit_end (struct http_server *h,
                            struct http_server_connection *c,
                            enum client_limit_reason reason);
/* ends the connection that holds the most for the longest time without
   progress; false if there is none */
bool http_server_limit_end_stalled (struct http_server *h,
                                    enum client_limit_reason reason);
/* schedules the next check of the connections */
void http_server_limit_schedule (struct http_server *h);
/* checks the connections; callback of the event `check` */
void http_server_limit_check (evutil_socket_t fd, short what, void *data);

#endif
