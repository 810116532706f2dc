/* request_check: determines the route, workspace, importance and deadline of a
   request, and rejects it if a check fails.  A nested call, which carries the
   hop token of the request that it belongs to, inherits most of them from that
   request.  */

#include "request_check.h"

#include "clock.h"
#include "http_head.h"

#include <glib.h>

/* Constants */

#define HEADER_CONTENT_ENCODING STR_LIT ("Content-Encoding")

/* Internal functions */

static bool
is_nested (const struct front_call *call)
{
  return call->hop_row != 0;
}

static enum err_kind
check_head_and_size (const struct front_call *call)
{
  if (call->exchange->body_too_large)
    return ERR_BODY_TOO_LARGE;
  if (call->exchange->headers_too_many)
    return ERR_HEADERS_TOO_LARGE;
  if (call->exchange->headers_invalid)
    return ERR_BAD_REQUEST;
  return ERR_NONE;
}

static enum err_kind
find_route (struct front_call *call, enum front_source source)
{
  const struct http_server_exchange *x = call->exchange;
  enum err_kind error = snapshot_find_route (call->snapshot->config, x->method,
                                             call->caller_headers.host,
                                             x->target, &call->route);

  if (error != ERR_NONE)
    return error;
  if (call->route->internal && source == FRONT_CALLER)
    return ERR_ROUTE_UNKNOWN;
  return ERR_NONE;
}

/* Sets the workspace, importance, depth, deadline and retry budget of a nested
   call from the request that its hop token identifies.  */
static enum err_kind
apply_hop_token (struct front *f, struct front_call *call, struct str token,
                 int64_t now_us)
{
  if (!hop_token_resolve (&f->shared->hop_tokens, token, now_us,
                          &call->inherited, &call->hop_row))
    {
      call->hop_row = 0;
      return ERR_HOP_TOKEN_INVALID;
    }
  call->workspace = hop_token_view_text (&call->inherited.workspace);
  call->importance = call->inherited.importance;
  call->depth = call->inherited.depth + 1;
  call->deadline_us = call->inherited.deadline_us;
  call->hop_budget
      = hop_token_begin_nested (&f->shared->hop_tokens, call->hop_row, now_us);
  retry_budget_init_pool (&call->budget, call->hop_budget);
  return ERR_NONE;
}

static enum err_kind
check_workspace (struct front *f, struct front_call *call, int64_t now_us)
{
  const struct inventory_workspace *w;

  if (now_us >= atomic_load (&f->shared->keyed_routes_until_us))
    return ERR_STALE_CONFIGURATION;
  w = inventory_find (&call->snapshot->config->inventory, INVENTORY_WORKSPACE,
                      call->workspace);
  if (w == NULL)
    return ERR_KEY_UNKNOWN;
  if (!inventory_allows_route (w, call->route->name))
    return ERR_WORKSPACE_FORBIDDEN;
  return ERR_NONE;
}

/* Returns true if the target, a forwarded header or the body contains the API
   key, which must not reach the backend server.  */
static bool
contains_key (const struct front_call *call, struct str key)
{
  struct auth_scan scan;
  bool found;

  if (auth_contains_key (key, call->exchange->target, call->headers,
                         call->headers_len))
    return true;
  auth_init_scan (&scan, key);
  found = auth_scan_part (&scan, str_view (&call->exchange->body));
  auth_close_scan (&scan);
  return found;
}

/* Checks the API key.  An open route needs none, but a key that the caller
   sends anyway must not be forwarded.  */
static enum err_kind
check_key (struct front *f, struct front_call *call, int64_t now_us)
{
  struct auth_lookup lookup = snapshot_get_key_lookup (call->snapshot);
  const struct http_server_exchange *x = call->exchange;
  struct auth_identity identity = { 0 };
  struct str key = STR_EMPTY;
  enum err_kind error;

  if (call->route->open)
    {
      error = auth_find_key (x->headers, x->headers_len, &key);
      if (error == ERR_KEY_MISSING)
        return ERR_NONE;
    }
  else
    error = auth_check (x->headers, x->headers_len, &lookup, &key, &identity);
  if (error != ERR_NONE)
    return error;
  if (contains_key (call, key))
    return ERR_KEY_IN_REQUEST;
  if (call->route->open)
    return ERR_NONE;
  call->workspace = identity.workspace;
  return check_workspace (f, call, now_us);
}

static void
set_importance (struct front_call *call)
{
  const struct inventory_rule *rule = inventory_match_rule (
      &call->snapshot->config->inventory, call->workspace, call->route->name,
      inventory_find_method (call->exchange->method));

  const struct inventory_workspace *w
      = inventory_find (&call->snapshot->config->inventory,
                        INVENTORY_WORKSPACE, call->workspace);

  call->importance = rule != NULL ? rule->importance
                                  : inventory_get_importance (w, call->route);
}

/* Sets the deadline.  A caller can shorten the timeout of the route, but not
   extend it.  */
static enum err_kind
set_deadline (struct front_call *call, int64_t now_us)
{
  struct str text = call->caller_headers.timeout_ms;
  uint64_t ms = call->route->timeout_ms;
  uint64_t requested_ms;
  int64_t deadline_us;

  if (text.len > 0)
    {
      if (!str_parse_u64 (text, &requested_ms))
        return ERR_BAD_REQUEST;
      ms = MIN (ms, requested_ms);
    }
  deadline_us = now_us + (int64_t)ms * CLOCK_US_PER_MS;
  if (!is_nested (call) || deadline_us < call->deadline_us)
    call->deadline_us = deadline_us;
  return call->deadline_us > now_us ? ERR_NONE : ERR_DEADLINE_NOT_RUN;
}

static enum err_kind
set_idempotency_key (struct front_call *call)
{
  const struct inventory_route *route = call->route;
  const struct http_server_exchange *x = call->exchange;

  if (route->idempotent || route->idempotency_key == INVENTORY_IDEMPOTENCY_NONE
      || is_nested (call))
    return ERR_NONE;
  call->idempotency_key = call->caller_headers.idempotency_key;
  if (call->idempotency_key.len == 0
      && route->idempotency_key == INVENTORY_IDEMPOTENCY_REQUIRED)
    return ERR_IDEMPOTENCY_KEY_INVALID;
  call->fingerprint = str_hash (x->target)
                      ^ (str_hash (str_view (&x->body)) * 31)
                      ^ str_hash (x->method) ^ str_hash (call->workspace);
  return ERR_NONE;
}

static void
begin_trace (struct front *f, struct front_call *call)
{
  struct str text = call->caller_headers.traceparent;
  struct trace_context parent;

  if (is_nested (call))
    text = hop_token_view_text (&call->inherited.traceparent);
  if (!trace_parse_parent (text, &parent))
    {
      trace_begin (&call->trace, f->shared->settings->trace.sample_ratio);
      return;
    }
  trace_begin_child (&call->trace, &parent);
  call->has_parent_span = true;
  memcpy (call->parent_span_id, parent.span_id, sizeof call->parent_span_id);
}

static enum err_kind
check_overload (struct front *f, struct front_call *call, int64_t now_us)
{
  struct str route = call->route->name;
  bool rejected = false;

  /* Calls without a workspace come from backend servers and belong to requests
     that were admitted before, so they are not shed.  */
  if (call->workspace.len > 0 && call->hop_row == 0
      && pressure_shed (&f->shedder, route, call->importance, now_us))
    return ERR_OVERLOADED;

  switch (feedback_check (&f->feedback, route, call->importance, now_us))
    {
    case FEEDBACK_REJECT:
      rejected = true;
      break;
    case FEEDBACK_PASS:
      rejected = feedback_throttle (&f->feedback, route, call->workspace,
                                    call->importance, now_us);
      break;
    case FEEDBACK_PROBE:
      break;
    }
  return rejected ? ERR_OVERLOADED : ERR_NONE;
}

static enum err_kind
authenticate (struct front *f, struct front_call *call, int64_t now_us)
{
  enum front_source source = (enum front_source)call->exchange->source;
  struct str token = STR_EMPTY;
  enum err_kind error;

  if (source == FRONT_LOCAL)
    token = call->caller_headers.hop_token;
  if (token.len > 0)
    return apply_hop_token (f, call, token, now_us);
  retry_budget_init_pool (&call->budget, call->route->retry_budget);
  call->depth = 1;
  error = check_key (f, call, now_us);
  if (error == ERR_NONE)
    set_importance (call);
  return error;
}

/* Returns true if a Connection field of the request names the field, which
   then applies to that connection only (RFC 9110, 7.6.1).  */
static bool
is_named_by_connection (const struct http_server_exchange *x, struct str name)
{
  for (uint32_t i = 0; i < x->headers_len; i++)
    if (str_equal_nocase (x->headers[i].name, STR_LIT ("connection"))
        && http_head_lists (x->headers[i].value, name))
      return true;
  return false;
}

static void
set_forwarded_headers (struct front *f, struct front_call *call)
{
  const struct http_server_exchange *x = call->exchange;
  uint32_t len;

  call->headers = g_new (struct wire_header, WIRE_HEADERS_MAX);
  len = auth_filter_headers (x->headers, x->headers_len,
                             f->shared->dialect->is_forwarded, call->headers,
                             WIRE_HEADERS_MAX);
  call->headers_len = 0;
  for (uint32_t i = 0; i < len; i++)
    if (!is_named_by_connection (x, call->headers[i].name))
      call->headers[call->headers_len++] = call->headers[i];
}

/* Runs all checks of a call and returns the error of the first that fails.  No
   attempt has been sent at this point, so the request has not run.  */
static enum err_kind
check_call (struct front *f, struct front_call *call, int64_t now_us)
{
  const struct http_server_exchange *x = call->exchange;
  enum err_kind error;

  if (f->snapshot == NULL)
    return ERR_STALE_CONFIGURATION;
  refcount_get (&f->snapshot->ref);
  call->snapshot = f->snapshot;
  f->shared->dialect->read_caller_headers (x, &call->caller_headers);
  if ((error = check_head_and_size (call)) != ERR_NONE)
    return error;
  if ((error = find_route (call, (enum front_source)x->source)) != ERR_NONE)
    return error;
  set_forwarded_headers (f, call);
  call->service
      = inventory_pick_service (call->route, g_rand_double (f->rand));
  if ((error = authenticate (f, call, now_us)) != ERR_NONE)
    return error;
  begin_trace (f, call);
  if (call->depth > (uint32_t)f->shared->settings->limits.depth)
    return ERR_DEPTH_EXCEEDED;
  if ((error = set_deadline (call, now_us)) != ERR_NONE)
    return error;
  if ((error = set_idempotency_key (call)) != ERR_NONE)
    return error;
  /* A compressed body cannot be searched for the key, so it is rejected.  */
  if (http_server_get_header (x, HEADER_CONTENT_ENCODING).len > 0)
    return ERR_BAD_REQUEST;
  return check_overload (f, call, now_us);
}

static void
check_arrived_call (struct front *f, struct front_call *call, int64_t now_us)
{
  enum err_kind error = check_call (f, call, now_us);

  if (error != ERR_NONE)
    front_fail (f, call, error, STR_EMPTY);
  else if (is_nested (call) || call->workspace.len == 0)
    front_set_state (f, call, FRONT_TO_DISPATCH);
  else
    front_set_state (f, call, FRONT_AWAITING_TOKEN);
}

/* Public functions */

void
request_check_run (void *owner, int64_t now_us)
{
  struct front *f = owner;
  GArray *queue = f->queues[FRONT_ARRIVED];

  for (guint i = 0; i < queue->len; i++)
    {
      struct front_call *call
          = table_get (&f->calls, g_array_index (queue, uint64_t, i));

      if (call != NULL && call->state == FRONT_ARRIVED)
        check_arrived_call (f, call, now_us);
    }
  g_array_set_size (queue, 0);
}
