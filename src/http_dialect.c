/* http_dialect: the dialect of almondvale's own HTTP interface.  */

#include "http_dialect.h"

#include "admin.h"
#include "auth.h"
#include "front.h"

#include <glib.h>

/* Constants */

#define HEADER_HOP STR_LIT ("X-Almondvale-Hop")
#define HEADER_WORKSPACE STR_LIT ("X-Almondvale-Workspace")
#define HEADER_IMPORTANCE STR_LIT ("X-Almondvale-Importance")
#define HEADER_TIMEOUT STR_LIT ("X-Almondvale-Timeout-Ms")
#define HEADER_OUTCOME STR_LIT ("Almondvale-Outcome")
#define HEADER_RETRY_AFTER STR_LIT ("Retry-After")
#define HEADER_IDEMPOTENCY_KEY STR_LIT ("Idempotency-Key")
#define HEADER_TRACEPARENT STR_LIT ("traceparent")
#define HEADER_HOST STR_LIT ("Host")

#define MS_PER_S 1000

/* Internal functions */

static bool
handle_daemon_request (struct front *f, struct http_server_exchange *x)
{
  return admin_handle (f, x);
}

static void
read_caller_headers (const struct http_server_exchange *x,
                     struct http_dialect_caller_headers *out)
{
  *out = (struct http_dialect_caller_headers){
    .id = STR_EMPTY,
    .timeout_ms = http_server_get_header (x, HEADER_TIMEOUT),
    .hop_token = http_server_get_header (x, HEADER_HOP),
    .idempotency_key = http_server_get_header (x, HEADER_IDEMPOTENCY_KEY),
    .traceparent = http_server_get_header (x, HEADER_TRACEPARENT),
    .host = http_server_get_header (x, HEADER_HOST),
  };
}

static uint32_t
add_backend_headers (const struct http_dialect_backend_headers *r,
                     struct http_head_field *out)
{
  uint32_t len = 0;

  out[len++] = (struct http_head_field){ HEADER_HOP, r->hop_token };
  out[len++] = (struct http_head_field){ HEADER_WORKSPACE, r->workspace };
  out[len++] = (struct http_head_field){ HEADER_IMPORTANCE, r->importance };
  out[len++] = (struct http_head_field){ HEADER_TIMEOUT, r->timeout_ms };
  if (r->traceparent.len > 0)
    out[len++]
        = (struct http_head_field){ HEADER_TRACEPARENT, r->traceparent };
  return len;
}

static enum http_dialect_answer_kind
classify_answer (const struct http_client_answer *answer, struct str caller_id)
{
  return HTTP_DIALECT_ANSWER;
}

static int
get_status (enum err_kind kind)
{
  return err_get_answer (kind)->status;
}

static uint32_t
add_error_headers (enum err_kind kind, int retry_after_ms,
                   struct str_buf *text, struct wire_header *out)
{
  uint32_t len = 0;

  out[len++]
      = (struct wire_header){ HEADER_OUTCOME, err_is_not_run (kind)
                                                  ? STR_LIT ("not_run")
                                                  : STR_LIT ("may_have_run") };
  if (retry_after_ms <= 0)
    return len;
  str_append_format (text, "%d", (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
  out[len++] = (struct wire_header){ HEADER_RETRY_AFTER, str_view (text) };
  return len;
}

/* State */

const struct http_dialect_ops http_dialect_native
    = { .name = "native",
        .uses_hop_tokens = true,
        .handle_daemon_request = handle_daemon_request,
        .read_caller_headers = read_caller_headers,
        .is_forwarded = auth_is_forwarded,
        .add_backend_headers = add_backend_headers,
        .classify_answer = classify_answer,
        .get_status = get_status,
        .add_error_headers = add_error_headers };
