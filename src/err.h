/* err: the complete list of error kinds and the answer to each.

   Every error that can be reported to a caller, a peer or an operator has one
   kind here.  docs/errors.md contains the same table.  */

#ifndef ALMONDVALE_ERR_H
#define ALMONDVALE_ERR_H

#include "str.h"

#include <glib.h>
#include <stdbool.h>

/* Types */

/* The values are sent in frames: append new kinds at the end.  */
enum err_kind
{
  ERR_NONE = 0,
  ERR_BAD_REQUEST,
  ERR_KEY_MISSING,
  ERR_KEY_UNKNOWN,
  ERR_KEY_IN_REQUEST,
  ERR_HOP_TOKEN_INVALID,
  ERR_WORKSPACE_FORBIDDEN,
  ERR_ROUTE_UNKNOWN,
  ERR_METHOD_NOT_ALLOWED,
  ERR_BODY_TOO_LARGE,
  ERR_HEADERS_TOO_LARGE,
  ERR_DEPTH_EXCEEDED,
  ERR_IDEMPOTENCY_KEY_INVALID,
  ERR_IDEMPOTENCY_KEY_EXPIRED,
  ERR_IDEMPOTENCY_KEY_RUNNING,
  ERR_IDEMPOTENCY_KEY_REUSED,
  ERR_RATE_EXCEEDED,
  ERR_RATE_UNAVAILABLE,
  ERR_REGISTRY_UNAVAILABLE,
  ERR_STALE_CONFIGURATION,
  ERR_OVERLOADED,
  ERR_DEADLINE_NOT_RUN,
  ERR_DEADLINE_RUNNING,
  ERR_NO_BACKEND,
  ERR_BACKEND_LEAVING,
  ERR_BACKEND_UNREACHABLE,
  ERR_BACKEND_FAILED,
  ERR_ANSWER_TOO_LARGE,
  ERR_OUTCOME_UNKNOWN,
  ERR_CANCELLED_NOT_RUN,
  ERR_CANCELLED_RUNNING,
  ERR_SHUTTING_DOWN,
  ERR_TOO_MANY_REQUESTS_OPEN,
  ERR_INTERNAL,
  ERR_SETTINGS_INVALID,
  ERR_INVENTORY_INVALID,
  ERR_CHANGE_CONFLICT,
  ERR_STORE_UNAVAILABLE,
  ERR_STORE_CONFLICT,
  ERR_STORE_OUTCOME_UNKNOWN,
  ERR_NOT_FOUND,
  ERR_PROTOCOL,
  ERR_BACKEND_REFUSED,
  ERR_BACKEND_COLD,
  ERR_BACKEND_EVACUATED,
  ERR_RETRY_REFUSED,
  ERR_ENDPOINT_BUSY,
  ERR_KINDS /* number of kinds */
};

/* Whether the request was executed by a backend server.  */
enum err_ran
{
  ERR_RAN_NO,   /* certainly not executed */
  ERR_RAN_MAYBE /* may have been executed */
};

/* What the caller should do next.  */
enum err_retry
{
  ERR_RETRY_NEVER,      /* the same request would fail again */
  ERR_RETRY_LATER,      /* retry after retry_after_ms */
  ERR_RETRY_IDEMPOTENT, /* retry only an idempotent request, or one with the
                           same idempotency key */
};

struct err_answer
{
  const char *name; /* stable name, sent in the body of the answer */
  int status;       /* HTTP status */
  enum err_ran ran; /* outcome reported to the caller */
  enum err_retry retry;
  int retry_after_ms; /* minimum delay before a retry; 0 if none */
  const char *text;   /* description, one sentence */
};

/* Constants */

#define ERR_QUARK (err_quark ())

/* Public functions */

/* Returns the GError domain; the error code is an enum err_kind.  */
GQuark err_quark (void);
/* Returns the answer to an error kind, or that to ERR_INTERNAL if the kind is
   unknown.  */
const struct err_answer *err_get_answer (enum err_kind kind);
/* Returns the kind that has this name, or ERR_KINDS if there is none.  */
enum err_kind err_find_kind (struct str name);
/* Appends the JSON body of the answer to a caller.  */
void err_append_body (struct str_buf *out, enum err_kind kind,
                      struct str detail);
/* Appends the table of all kinds in Markdown.  */
void err_append_reference (struct str_buf *out);
/* Returns the name of a retry advice, as sent in the body of an answer.  */
const char *err_get_retry_name (enum err_retry retry);
/* Returns true if a request that failed with this kind was certainly not
   executed.  */
bool err_is_not_run (enum err_kind kind);

#endif
