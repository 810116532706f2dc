/* http_dialect: how callers and the backend server spell what a request
   carries.

   The headers, the daemon's own resources and the statuses of its errors differ
   between deployments; what they mean does not.  A dialect is a table of
   functions that read and write the spelling.  The decisions stay with the
   modules that use it.  */

#ifndef ALMONDVALE_HTTP_DIALECT_H
#define ALMONDVALE_HTTP_DIALECT_H

#include "err.h"
#include "http_client.h"
#include "http_server.h"
#include "str.h"
#include "wire.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define HTTP_DIALECT_BACKEND_HEADERS_MAX 8u
#define HTTP_DIALECT_ERROR_HEADERS_MAX 4u

/* Types */

struct front;

/* What a caller says in headers; empty strings for what it does not say.  */
struct http_dialect_caller_headers
{
  struct str id;              /* the caller's id of this attempt */
  struct str timeout_ms;      /* decimal digits */
  struct str hop_token;       /* of the request that makes a nested call */
  struct str idempotency_key; /* for a registered request */
  struct str traceparent;     /* W3C trace context */
  struct str host;            /* name that routes may be bound to */
};

/* What the serving daemon tells the backend server beside the caller's
   headers.  */
struct http_dialect_backend_headers
{
  struct str caller_service; /* of the VM where the request began */
  struct str backend_id;     /* boot of the backend server that is meant */
  struct str workspace;      /* empty on an open route */
  struct str importance;     /* one digit */
  struct str timeout_ms;     /* time left, decimal digits */
  struct str hop_token;      /* for nested calls */
  struct str traceparent;    /* empty if not traced */
};

/* What an answer on a backend server's connection is.  */
enum http_dialect_answer_kind
{
  HTTP_DIALECT_ANSWER,        /* the answer to the request */
  HTTP_DIALECT_NOT_RUN,       /* the backend server did not run the request */
  HTTP_DIALECT_OTHER_REQUEST, /* belongs to another request */
  HTTP_DIALECT_INVALID        /* not an answer that may be passed on */
};

struct http_dialect_ops
{
  const char *name;
  bool hop_tokens; /* nested calls carry the token of their request */
  /* answers a request for the daemon itself at the local or health port;
     false if it is a call to a service */
  bool (*handle) (struct front *f, struct http_server_exchange *x);
  /* fills in what the headers say */
  void (*read_caller_headers) (const struct http_server_exchange *x,
                               struct http_dialect_caller_headers *out);
  /* true if a caller's header is passed on */
  bool (*is_forwarded) (struct str name);
  /* headers for the backend server; gives their number */
  uint32_t (*add_backend_headers) (
      const struct http_dialect_backend_headers *r,
      struct http_client_header *out);
  /* judges an answer; caller_id as read from the request */
  enum http_dialect_answer_kind (*classify_answer) (
      const struct http_client_answer *answer, struct str caller_id);
  /* HTTP status of an error */
  int (*get_status) (enum err_kind kind);
  /* headers of an error; text is a buffer for their values; gives their
     number */
  uint32_t (*add_error_headers) (enum err_kind kind, int retry_after_ms,
                                 struct str_buf *text,
                                 struct wire_header *out);
};

/* State */

/* the product's own interface */
extern const struct http_dialect_ops http_dialect_native;

#endif
