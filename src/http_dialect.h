/* http_dialect: the HTTP headers, statuses and resources of a deployment.

   The header names, the daemon's own resources and the HTTP statuses of its
   errors differ between deployments, but their meaning does not.  A dialect is
   a table of functions that read and write them.  The modules that use a
   dialect make the decisions.  */

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

/* Values of a caller's request headers.  Those of missing headers are empty
   strings.  */
struct http_dialect_caller_headers
{
  struct str id;         /* caller's id of this attempt */
  struct str timeout_ms; /* decimal digits */
  /* identifies the request that makes a nested call */
  struct str hop_token;
  struct str idempotency_key; /* the same in all repeats of a request */
  struct str traceparent;     /* W3C trace context */
  /* host name, maybe with a port; used to find the route */
  struct str host;
};

/* Values that the serving daemon sends to the backend server in addition to
   the caller's headers.  */
struct http_dialect_backend_headers
{
  /* service of the VM that the request comes from */
  struct str caller_service;
  /* id of the backend server that receives the request */
  struct str backend_id;
  struct str workspace;   /* empty on an open route (one without keys) */
  struct str importance;  /* one digit */
  struct str timeout_ms;  /* time left, decimal digits */
  struct str hop_token;   /* for nested calls */
  struct str traceparent; /* empty if not traced */
};

/* Kinds of HTTP responses on a connection to the backend server.  */
enum http_dialect_answer_kind
{
  HTTP_DIALECT_ANSWER,        /* response to the request */
  HTTP_DIALECT_NOT_RUN,       /* the backend server did not run the request */
  HTTP_DIALECT_OTHER_REQUEST, /* response to another request */
  HTTP_DIALECT_INVALID        /* must not be forwarded to the caller */
};

struct http_dialect_ops
{
  const char *name;
  bool uses_hop_tokens; /* nested calls carry a hop token */
  /* Answers a request to the daemon's own resources on the local or health
     port.  Returns false if it is a call to a service.  */
  bool (*handle_daemon_request) (struct front *f,
                                 struct http_server_exchange *x);
  /* Answers a report of the backend server.  A drain or leave that is not
     confirmed is reported again.  NULL if the dialect has no reports.  */
  void (*answer_report) (struct http_server_exchange *x, bool confirmed);
  /* Reads the headers of a request.  */
  void (*read_caller_headers) (const struct http_server_exchange *x,
                               struct http_dialect_caller_headers *out);
  /* Returns true if a caller's header is forwarded to the backend server.  */
  bool (*is_forwarded) (struct str name);
  /* Writes the headers for the backend server and returns their number.  */
  uint32_t (*add_backend_headers) (
      const struct http_dialect_backend_headers *r,
      struct http_head_field *out);
  /* Determines the kind of a response.  caller_id is the id in the caller's
     headers.  */
  enum http_dialect_answer_kind (*classify_answer) (
      const struct http_client_answer *answer, struct str caller_id);
  /* Returns the HTTP status of an error.  */
  int (*get_status) (enum err_kind kind);
  /* Writes the headers of an error response and returns their number.  The
     values are appended to text.  */
  uint32_t (*add_error_headers) (enum err_kind kind, int retry_after_ms,
                                 struct str_buf *text,
                                 struct wire_header *out);
};

/* State */

/* dialect of almondvale's own HTTP interface */
extern const struct http_dialect_ops http_dialect_native;

#endif
