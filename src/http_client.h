/* http_client: HTTP/1.1 client connections on libevent and http-parser.

   A pool keeps connections to one address.  A request is sent once and never
   again by this module; the result tells whether a byte of it can have reached
   the server.  One thread uses a pool.  */

#ifndef ALMONDVALE_HTTP_CLIENT_H
#define ALMONDVALE_HTTP_CLIENT_H

#include "str.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

enum http_client_result
{
  HTTP_CLIENT_ANSWERED,      /* a whole answer was received */
  HTTP_CLIENT_NOT_CONNECTED, /* no connection; the request certainly did not run */
  HTTP_CLIENT_FAILED,        /* failed after the connection; may have run */
  HTTP_CLIENT_TIMEOUT,       /* no whole answer in time; may have run */
  HTTP_CLIENT_TOO_LARGE,     /* the answer is above the limit; it ran */
  HTTP_CLIENT_CANCELLED      /* http_client_cancel was called; may have run */
};

struct http_client_header
{
  struct str name;
  struct str value;
};

struct http_client_answer
{
  enum http_client_result result;
  int status;                               /* 0 unless HTTP_CLIENT_ANSWERED */
  uint32_t headers_len;                     /* headers of an answer */
  const struct http_client_header *headers; /* valid during the callback */
  struct str body;                          /* valid during the callback */
};

struct http_client_request
{
  const char *method; /* GET, POST, PUT, DELETE, PATCH, HEAD, OPTIONS */
  struct str target;  /* path with query */
  uint32_t headers_len;
  const struct http_client_header *headers;
  struct str body;
  int64_t timeout_us;  /* 0 for none */
  int64_t idle_max_us; /* longest idle time of a kept connection; 0: any */
  /* false for an answer that is not of this request: it is dropped and the
     next one is waited for; may be NULL */
  bool (*accept) (void *data, const struct http_client_answer *answer);
  void (*done) (void *data, const struct http_client_answer *answer);
  void *data;
};

struct http_client_pool;
struct http_client_exchange;

/* Public functions */

/* connections to one IP address and port, at most max_connections */
struct http_client_pool *http_client_load_pool (struct event_base *base,
                                                struct str address,
                                                uint16_t port,
                                                uint32_t max_connections,
                                                size_t max_body_bytes);
/* cancels what runs and closes all connections */
void http_client_unload_pool (struct http_client_pool *pool);
/* sends a request; NULL if all connections are busy; done is called once,
   never before this returns */
struct http_client_exchange *
http_client_send (struct http_client_pool *pool,
                  const struct http_client_request *request);
/* closes the exchange's connection; done is not called */
void http_client_cancel (struct http_client_exchange *exchange);
/* connections made so far, idle ones included */
uint32_t
http_client_get_connection_count (const struct http_client_pool *pool);

#endif
