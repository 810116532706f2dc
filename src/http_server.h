/* http_server: HTTP/1.1 listener on libmicrohttpd, driven by a thread's event
   loop.

   A request is handed over whole.  The owner answers it later from the same
   thread.  */

#ifndef ALMONDVALE_HTTP_SERVER_H
#define ALMONDVALE_HTTP_SERVER_H

#include "str.h"
#include "wire.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

struct http_server_limits
{
  size_t headers_bytes;
  size_t body_bytes;
  uint32_t connections;
  uint32_t idle_timeout_s; /* closes a connection that sends nothing */
};

struct http_server_exchange
{
  struct http_server *server;
  struct str method;
  struct str target; /* path with query, as received */
  uint32_t headers_len;
  struct wire_header *headers;
  struct str_buf body;
  bool body_too_large;
  bool headers_too_many;
  uint64_t call;   /* for the owner: row id of the call */
  uint64_t source; /* value given to http_server_load */
  /* internal */
  void *connection;
  void *response;
  int status;
  bool suspended;
  bool awaiting_answer;
  struct event *close_event; /* the caller close_event its side */
};

struct http_server_ops
{
  /* a whole request; the exchange lives until http_server_answer or on_disconnect */
  void (*on_request) (void *owner, struct http_server_exchange *x);
  /* the caller closed the connection; the exchange is no longer valid */
  void (*on_disconnect) (void *owner, struct http_server_exchange *x);
};

struct http_server;

/* Public functions */

/* listens; NULL if the address or port cannot be had */
struct http_server *http_server_load (struct event_base *base,
                                      struct str address, uint16_t port,
                                      const struct http_server_limits *limits,
                                      const struct http_server_ops *ops,
                                      void *owner, uint64_t source);
/* closes all connections */
void http_server_unload (struct http_server *h);
/* accepts no new connections; open ones end with their answer, or within two
   seconds if they have no request */
void http_server_stop_listening (struct http_server *h);
/* answers a request; strings are copied */
void http_server_answer (struct http_server_exchange *x, int status,
                         const struct wire_header *headers,
                         uint32_t headers_len, struct str body);
/* closes the connection of a request without an answer */
void http_server_drop (struct http_server_exchange *x);
/* value of a header, or an empty string */
struct str http_server_get_header (const struct http_server_exchange *x,
                                   struct str name);

#endif
