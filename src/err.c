/* err: the complete list of error kinds and the answer to each.  */

#include "err.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Constants */

#define RETRY_SOON_MS 100
#define RETRY_RATE_MS 1000
/* The pressure of a service, the fraction of its calls that has to be
   refused, follows a change of its load within about half a second.  */
#define RETRY_OVERLOAD_MS 400

#define NOT_RUN ERR_RAN_NO
#define MAY_HAVE_RUN ERR_RAN_MAYBE

/* clang-format off */
static const struct err_answer answers[ERR_KINDS] = {
  [ERR_NONE] = { "none", 200, MAY_HAVE_RUN, ERR_RETRY_NEVER, 0, "No error." },
  [ERR_BAD_REQUEST] = { "bad_request", 400, NOT_RUN, ERR_RETRY_NEVER, 0, "The request is malformed." },
  [ERR_KEY_MISSING] = { "key_missing", 401, NOT_RUN, ERR_RETRY_NEVER, 0, "The route needs a key and none was sent." },
  [ERR_KEY_UNKNOWN] = { "key_unknown", 401, NOT_RUN, ERR_RETRY_NEVER, 0, "The key is unknown or withdrawn." },
  [ERR_KEY_IN_REQUEST] = { "key_in_request", 400, NOT_RUN, ERR_RETRY_NEVER, 0, "The key stands in a part of the request that a backend server would see." },
  [ERR_HOP_TOKEN_INVALID] = { "hop_token_invalid", 403, NOT_RUN, ERR_RETRY_NEVER, 0, "The hop token is forged, expired or belongs to a request that has ended." },
  [ERR_WORKSPACE_FORBIDDEN] = { "workspace_forbidden", 403, NOT_RUN, ERR_RETRY_NEVER, 0, "The workspace may not use this route." },
  [ERR_ROUTE_UNKNOWN] = { "route_unknown", 404, NOT_RUN, ERR_RETRY_NEVER, 0, "No route matches the path." },
  [ERR_METHOD_NOT_ALLOWED] = { "method_not_allowed", 405, NOT_RUN, ERR_RETRY_NEVER, 0, "The route does not allow the method." },
  [ERR_BODY_TOO_LARGE] = { "body_too_large", 413, NOT_RUN, ERR_RETRY_NEVER, 0, "The request body is larger than the limit." },
  [ERR_HEADERS_TOO_LARGE] = { "headers_too_large", 431, NOT_RUN, ERR_RETRY_NEVER, 0, "The request headers are larger than the limit." },
  [ERR_DEPTH_EXCEEDED] = { "depth_exceeded", 508, NOT_RUN, ERR_RETRY_NEVER, 0, "The call chain is deeper than the limit." },
  [ERR_IDEMPOTENCY_KEY_INVALID] = { "idempotency_key_invalid", 400, NOT_RUN, ERR_RETRY_NEVER, 0, "The idempotency key is missing or is not a UUIDv7." },
  [ERR_IDEMPOTENCY_KEY_EXPIRED] = { "idempotency_key_expired", 409, MAY_HAVE_RUN, ERR_RETRY_NEVER, 0, "The idempotency key is too old to tell whether it was used." },
  [ERR_IDEMPOTENCY_KEY_RUNNING] = { "idempotency_key_running", 409, MAY_HAVE_RUN, ERR_RETRY_IDEMPOTENT, RETRY_SOON_MS, "A request with this idempotency key is still running." },
  [ERR_IDEMPOTENCY_KEY_REUSED] = { "idempotency_key_reused", 422, NOT_RUN, ERR_RETRY_NEVER, 0, "The idempotency key was used for a different request." },
  [ERR_RATE_EXCEEDED] = { "rate_exceeded", 429, NOT_RUN, ERR_RETRY_LATER, RETRY_RATE_MS, "The workspace is over its rate." },
  [ERR_RATE_UNAVAILABLE] = { "rate_unavailable", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_RATE_MS, "The workspace's rate cannot be checked now." },
  [ERR_REGISTRY_UNAVAILABLE] = { "registry_unavailable", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_RATE_MS, "The idempotency key cannot be checked now." },
  [ERR_STALE_CONFIGURATION] = { "stale_configuration", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_RATE_MS, "The daemon cannot tell whether its keys are current." },
  [ERR_OVERLOADED] = { "overloaded", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_OVERLOAD_MS, "The service is overloaded and more important work goes first." },
  [ERR_DEADLINE_NOT_RUN] = { "deadline_not_run", 504, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The deadline passed before the request ran." },
  [ERR_DEADLINE_RUNNING] = { "deadline_running", 504, MAY_HAVE_RUN, ERR_RETRY_IDEMPOTENT, RETRY_SOON_MS, "The deadline passed while the request ran." },
  [ERR_NO_BACKEND] = { "no_backend", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_RATE_MS, "No backend server of the service is known." },
  [ERR_BACKEND_LEAVING] = { "backend_leaving", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The backend server is leaving." },
  [ERR_BACKEND_UNREACHABLE] = { "backend_unreachable", 502, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The backend server could not be reached." },
  [ERR_BACKEND_FAILED] = { "backend_failed", 502, MAY_HAVE_RUN, ERR_RETRY_IDEMPOTENT, RETRY_SOON_MS, "The backend server closed the connection before a complete answer." },
  [ERR_ANSWER_TOO_LARGE] = { "answer_too_large", 502, MAY_HAVE_RUN, ERR_RETRY_NEVER, 0, "The backend server's answer is larger than the limit." },
  [ERR_OUTCOME_UNKNOWN] = { "outcome_unknown", 502, MAY_HAVE_RUN, ERR_RETRY_IDEMPOTENT, RETRY_SOON_MS, "It is not known whether the request ran." },
  [ERR_CANCELLED_NOT_RUN] = { "cancelled_not_run", 499, NOT_RUN, ERR_RETRY_NEVER, 0, "The caller left before the request ran." },
  [ERR_CANCELLED_RUNNING] = { "cancelled_running", 499, MAY_HAVE_RUN, ERR_RETRY_NEVER, 0, "The caller left while the request ran." },
  [ERR_SHUTTING_DOWN] = { "shutting_down", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The daemon is shutting down." },
  [ERR_TOO_MANY_REQUESTS_OPEN] = { "too_many_requests_open", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The daemon has its limit of open requests." },
  [ERR_INTERNAL] = { "internal", 500, MAY_HAVE_RUN, ERR_RETRY_IDEMPOTENT, RETRY_SOON_MS, "Internal error." },
  [ERR_SETTINGS_INVALID] = { "settings_invalid", 400, NOT_RUN, ERR_RETRY_NEVER, 0, "The settings are invalid." },
  [ERR_INVENTORY_INVALID] = { "inventory_invalid", 422, NOT_RUN, ERR_RETRY_NEVER, 0, "The inventory is invalid." },
  [ERR_CHANGE_CONFLICT] = { "change_conflict", 409, NOT_RUN, ERR_RETRY_NEVER, 0, "Another change touched the same members." },
  [ERR_STORE_UNAVAILABLE] = { "store_unavailable", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_RATE_MS, "The platform's object API cannot be reached." },
  [ERR_STORE_CONFLICT] = { "store_conflict", 412, NOT_RUN, ERR_RETRY_NEVER, 0, "The object's version is not the expected one." },
  [ERR_STORE_OUTCOME_UNKNOWN] = { "store_outcome_unknown", 502, MAY_HAVE_RUN, ERR_RETRY_IDEMPOTENT, RETRY_RATE_MS, "The platform's answer was lost; the write may have taken effect." },
  [ERR_NOT_FOUND] = { "not_found", 404, NOT_RUN, ERR_RETRY_NEVER, 0, "There is no such object." },
  [ERR_BACKEND_REFUSED] = { "backend_refused", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The backend server did not run the request." },
  [ERR_BACKEND_COLD] = { "backend_cold", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_OVERLOAD_MS, "The backend server has just started and cannot run the request in time." },
  [ERR_BACKEND_EVACUATED] = { "backend_evacuated", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The failure domain of the backend server is evacuated, or it is not known yet whether it is." },
  [ERR_RETRY_REFUSED] = { "retry_refused", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The retries that the service may get are needed for other requests." },
  [ERR_ENDPOINT_BUSY] = { "endpoint_busy", 503, NOT_RUN, ERR_RETRY_LATER, RETRY_SOON_MS, "The backend server is busy and another one was expected to be sooner." },
  [ERR_PROTOCOL] = { "protocol", 502, MAY_HAVE_RUN, ERR_RETRY_NEVER, 0, "A message could not be decoded." },
};
/* clang-format on */

static const char *const retry_names[]
    = { [ERR_RETRY_NEVER] = "never",
        [ERR_RETRY_LATER] = "later",
        [ERR_RETRY_IDEMPOTENT] = "same_idempotency_key_or_idempotent" };

/* Public functions */

GQuark
err_quark (void)
{
  return g_quark_from_static_string ("almondvale");
}

/**
 * err_get_answer - looks up the answer to an error kind
 * @kind: error kind, also one received from a peer
 *
 * Return: the table row; that of %ERR_INTERNAL if @kind is out of range.
 */
const struct err_answer *
err_get_answer (enum err_kind kind)
{
  if ((unsigned int)kind >= ERR_KINDS)
    kind = ERR_INTERNAL;
  return &answers[kind];
}

enum err_kind
err_find_kind (struct str name)
{
  for (int kind = 0; kind < ERR_KINDS; kind++)
    if (str_equal (name, str_from_cstr (answers[kind].name)))
      return (enum err_kind)kind;
  return ERR_KINDS;
}

/**
 * err_append_body - appends the JSON body of the answer to a caller
 * @out: buffer
 * @kind: error kind
 * @detail: one line with details of this error; may be empty
 */
void
err_append_body (struct str_buf *out, enum err_kind kind, struct str detail)
{
  const struct err_answer *a = err_get_answer (kind);
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "error");
  json_builder_add_string_value (b, a->name);
  json_builder_set_member_name (b, "outcome");
  json_builder_add_string_value (b, a->ran == ERR_RAN_NO ? "not_run"
                                                         : "may_have_run");
  json_builder_set_member_name (b, "retry");
  json_builder_add_string_value (b, retry_names[a->retry]);
  json_builder_set_member_name (b, "retry_after_ms");
  json_builder_add_int_value (b, a->retry_after_ms);
  json_builder_set_member_name (b, "message");
  json_builder_add_string_value (b, a->text);
  if (detail.len > 0)
    {
      char *copy = g_utf8_make_valid (detail.data, (gssize)detail.len);

      json_builder_set_member_name (b, "detail");
      json_builder_add_string_value (b, copy);
      g_free (copy);
    }
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  str_append (out, str_from_cstr (text));
  g_free (text);
  json_node_unref (root);
  g_object_unref (b);
}

/**
 * err_append_reference - appends the table of all kinds in Markdown
 * @out: buffer
 */
void
err_append_reference (struct str_buf *out)
{
  str_append (out, STR_LIT ("| error | HTTP status | outcome | retry | "
                            "retry_after_ms | meaning |\n"
                            "|---|---|---|---|---|---|\n"));
  for (int kind = ERR_NONE + 1; kind < ERR_KINDS; kind++)
    str_append_format (out, "| `%s` | %d | %s | %s | %d | %s |\n",
                       answers[kind].name, answers[kind].status,
                       answers[kind].ran == ERR_RAN_NO ? "not_run"
                                                       : "may_have_run",
                       retry_names[answers[kind].retry],
                       answers[kind].retry_after_ms, answers[kind].text);
}

const char *
err_get_retry_name (enum err_retry retry)
{
  return retry_names[retry];
}

bool
err_is_not_run (enum err_kind kind)
{
  return err_get_answer (kind)->ran == ERR_RAN_NO;
}
