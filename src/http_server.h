/* http_server: HTTP/1.1 listener on libmicrohttpd, driven by a thread's event
   loop.

   An exchange is one request and its answer.  The owner receives each request
   once it is complete and answers it later from the same thread.  */

#ifndef ALMONDVALE_HTTP_SERVER_H
#define ALMONDVALE_HTTP_SERVER_H

#include "byte_budget.h"
#include "client_limit.h"
#include "str.h"
#include "wire.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

struct http_server_limits
{
  size_t headers_bytes;    /* largest size of the headers of a request */
  size_t body_bytes;       /* largest body of a request */
  uint32_t connections;    /* largest number of connections */
  uint32_t idle_timeout_s; /* time after which a connection that sends nothing
                              is closed */
  /* limits in time; head_us is 0 for none */
  struct client_limits client;
};

struct http_server_exchange
{
  struct http_server *server;
  struct str method;
  struct str target; /* path with query, as received */
  uint32_t headers_len;
  struct wire_header *headers;
  struct str_buf body;
  bool body_too_large;   /* the body exceeds the limit and is incomplete */
  bool headers_too_many; /* more than WIRE_HEADERS_MAX, or too many bytes */
  bool headers_invalid;  /* a name is not a token, or a value has a control
                            byte or more than one line */
  bool refused;    /* does not fit the byte budget; the body is not kept */
  uint64_t call;   /* set by the owner: row id of the call */
  uint64_t source; /* `source` of http_server_load */
  /* members below are private to http_server */
  void *connection;
  uint64_t declared;                /* Content-Length, 0 without one */
  uint64_t received;                /* bytes of the body so far */
  struct byte_budget_holder held;   /* without what `shared` holds */
  struct byte_budget_bytes *shared; /* the body, if it is shared */
  void *response;
  int status;
  bool suspended;            /* libmicrohttpd does not watch the connection */
  bool awaiting_answer;      /* the request was passed to the owner and is not
                                answered yet */
  struct event *close_event; /* reports that the caller closed the
                                connection */
};

struct http_server_ops
{
  /* called for a complete request; the exchange is valid until
     http_server_answer, http_server_drop or on_disconnect */
  void (*on_request) (void *owner, struct http_server_exchange *x);
  /* called if the caller closes the connection before the request is answered;
     the exchange is not valid afterwards */
  void (*on_disconnect) (void *owner, struct http_server_exchange *x);
};

struct http_server_stats
{
  uint32_t open;     /* connections */
  uint64_t accepted; /* connections since the start */
  bool waiting;      /* a caller has connected and is not accepted yet */
  uint32_t sending;  /* answers that are not sent whole yet */
  uint64_t refused;  /* requests that did not fit the byte budget */
  uint64_t dropped;  /* answers that did not fit the byte budget */
  /* connections closed since the start, by reason */
  uint64_t closed[CLIENT_LIMIT_REASONS];
};

struct http_server;

/* Public functions */

/* starts to listen and returns the listener, or NULL if the address is invalid
   or the port is in use */
struct http_server *http_server_load (struct event_base *base,
                                      struct str address, uint16_t port,
                                      const struct http_server_limits *limits,
                                      const struct http_server_ops *ops,
                                      void *owner, uint64_t source);
/* takes the bytes that the listener holds from a slice of the budget, which is
   closed after the listener */
void http_server_set_slice (struct http_server *h,
                            struct byte_budget_slice *slice);
/* lowers the limits of later requests; a limit above that of
   http_server_load counts as that */
void http_server_set_limits (struct http_server *h,
                             const struct http_server_limits *limits);
/* closes all connections and frees the listener */
void http_server_unload (struct http_server *h);
/* accepts no new connections; open ones are closed after their answer, or
   within two seconds if they have no request */
void http_server_stop_listening (struct http_server *h);
/* sets *stats */
void http_server_get_stats (const struct http_server *h,
                            struct http_server_stats *stats);
/* returns the number of answers that are not sent whole yet */
uint32_t http_server_get_sending (const struct http_server *h);
/* returns how long callers have been waiting without being accepted, or 0 */
int64_t http_server_get_paused_us (const struct http_server *h,
                                   int64_t now_us);
/* answers a request; strings are copied */
void http_server_answer (struct http_server_exchange *x, int status,
                         const struct wire_header *headers,
                         uint32_t headers_len, struct str body);
/* answers a request like http_server_answer, but takes the body, which is then
   empty */
void http_server_answer_taking (struct http_server_exchange *x, int status,
                                const struct wire_header *headers,
                                uint32_t headers_len, struct str_buf *body);
/* returns the body for another user, who gives it back with
   byte_budget_put_bytes; it is valid until then */
struct byte_budget_bytes *
http_server_share_body (struct http_server_exchange *x);
/* closes the connection of a request without an answer */
void http_server_drop (struct http_server_exchange *x);
/* returns the value of a header, or an empty string */
struct str http_server_get_header (const struct http_server_exchange *x,
                                   struct str name);

#endif
