/* front: a traffic thread that receives requests from callers, and nested
   calls that the backend server of this VM makes while it runs a request.
   Each of them is a call.  */

#include "front.h"

#include "admin.h"
#include "clock.h"
#include "dispatch.h"
#include "dispatch_report.h"
#include "front_report.h"
#include "request_check.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define FRONT_TICK_US 10000
/* Time after the listener stops during which requests on open keep-alive
   connections are still accepted, since callers may have sent them before they
   noticed the shutdown.  Later requests are rejected, since the end of the
   process would abort them.  */
#define FRONT_SHUTDOWN_GRACE_US 800000
/* Interval of the reports about listeners and about requests that were shed
   (rejected because of the pressure of a service).  It equals the interval of
   the serve thread's log line about its load.  */
#define FRONT_LOG_US 1000000
/* Time after the deadline for the serving daemon's response to arrive.  It
   reports at the deadline whether the request ran.  */
#define FRONT_DEADLINE_GRACE_US 20000
#define FRONT_ANSWER_HEADERS_MAX (WIRE_HEADERS_MAX + 4)
/* Connections of the health port: readiness probes come from a few places, one
   a second each.  Clients that use up more would take the descriptors that are
   kept for the backend server and other daemons.  */
#define FRONT_HEALTH_CONNECTIONS 64

_Static_assert(FRONT_SOURCE_COUNT == DAEMON_METRICS_LISTENERS,
               "each listener has its metrics");

/* Internal functions: rows */

static void
free_call (struct front *f, struct front_call *call)
{
  front_free_result (f, &call->result);
  g_free (call->headers);
  snapshot_put (call->snapshot);
  table_remove (&f->calls, call->id);
  atomic_fetch_sub (&f->shared->open_calls, 1);
}

static void
leave_token_queue (struct front *f, struct front_call *call)
{
  if (!call->in_token_queue)
    return;
  call->in_token_queue = false;
  g_mutex_lock (&f->shared->quota_mutex);
  f->shared->rate_ops->cancel_wait (f->shared, call->workspace);
  g_mutex_unlock (&f->shared->quota_mutex);
}

/* Internal functions: callers */

/* A GET of the daemon's own paths needs no body, so it is answered without
   space for one.  */
static bool
is_get (const struct http_server_exchange *x)
{
  return str_equal (x->method, STR_LIT ("GET"));
}

static void
on_request (void *owner, struct http_server_exchange *x)
{
  struct front *f = owner;
  struct front_call *call;
  uint64_t id;

  if (x->source != FRONT_CALLER && (!x->refused || is_get (x))
      && f->shared->dialect->handle_daemon_request (f, x))
    return;
  id = table_add (&f->calls, (void **)&call);
  atomic_fetch_add (&f->shared->open_calls, 1);
  call->id = id;
  call->exchange = x;
  call->arrived_us = clock_now_us ();
  call->deadline_us = INT64_MAX;
  call->workspace = STR_EMPTY;
  call->service = STR_EMPTY;
  call->idempotency_key = STR_EMPTY;
  call->result.frame = STR_EMPTY;
  call->result.content_type = STR_EMPTY;
  x->call = id;
  if (x->refused)
    front_fail (f, call, ERR_OVERLOADED, STR_LIT ("memory"));
  else if (f->calls.count
           > (uint32_t)f->shared->settings->limits.open_requests)
    front_fail (f, call, ERR_TOO_MANY_REQUESTS_OPEN, STR_EMPTY);
  else if (x->source == FRONT_CALLER && call->arrived_us >= f->reject_from_us)
    front_fail (f, call, ERR_SHUTTING_DOWN, STR_EMPTY);
  else
    front_set_state (f, call, FRONT_ARRIVED);
}

static void
on_caller_disconnect (void *owner, struct http_server_exchange *x)
{
  struct front *f = owner;
  struct front_call *call = table_get (&f->calls, x->call);

  if (call == NULL)
    return;
  if (call->state == FRONT_STATE_COUNT) /* a status request or a report */
    {
      admin_cancel (f, x);
      return;
    }
  if (call->state == FRONT_SENT)
    dispatch_cancel (f, call);
  leave_token_queue (f, call);
  front_fail (f, call,
              call->state == FRONT_SENT || call->state == FRONT_QUERYING
                  ? ERR_CANCELLED_RUNNING
                  : ERR_CANCELLED_NOT_RUN,
              STR_EMPTY);
  call->exchange = NULL;
}

static const struct http_server_ops server_ops
    = { on_request, on_caller_disconnect };

/* Internal functions: systems */

static void
apply_registry_reply (struct front *f, struct thread_message *message)
{
  struct front_call *call = table_get (&f->calls, message->call);

  if (call == NULL || call->state != FRONT_AWAITING_REGISTRY)
    return;
  switch (message->registration)
    {
    case THREAD_MESSAGE_REGISTRATION_NEW:
      call->registered = true;
      front_set_state (f, call, FRONT_TO_DISPATCH);
      break;
    case THREAD_MESSAGE_REGISTRATION_DONE:
      call->result.recorded = true;
      call->result.status = message->status;
      call->result.content_type = message->content_type;
      message->content_type = STR_EMPTY;
      str_append (&call->result.body, message->text);
      front_set_state (f, call, FRONT_COMPLETED);
      break;
    case THREAD_MESSAGE_REGISTRATION_REJECTED:
      front_fail (f, call, message->error, STR_EMPTY);
      break;
    }
}

static void
run_messages (void *owner, int64_t now_us)
{
  struct front *f = owner;
  struct thread_message *message;

  while ((message = mailbox_receive (&f->loop.inbox)) != NULL)
    {
      if (message->kind == THREAD_MESSAGE_STATUS)
        admin_handle_reply (f, message);
      if (message->kind == THREAD_MESSAGE_STOPS)
        front_report_apply_stops (f, message);
      if (message->kind == THREAD_MESSAGE_REGISTERED)
        apply_registry_reply (f, message);
      if (message->kind == THREAD_MESSAGE_SHUTDOWN && !f->stopped_listening)
        {
          f->stopped_listening = true;
          f->reject_from_us = clock_now_us () + FRONT_SHUTDOWN_GRACE_US;
          http_server_stop_listening (f->servers[FRONT_CALLER]);
        }
      thread_message_free (message);
    }
}

/* Applies the limits on callers that the configuration sets; those of the
   settings apply where they are lower.  */
static void
apply_limits (struct front *f)
{
  const struct inventory_limits *from = &f->snapshot->config->inventory.limits;
  struct http_server_limits limits = { .headers_bytes = SIZE_MAX,
                                       .body_bytes = SIZE_MAX,
                                       .client = { .idle_us = INT64_MAX,
                                                   .head_us = INT64_MAX,
                                                   .stall_us = INT64_MAX } };

  if (from->headers_bytes > 0)
    limits.headers_bytes = (size_t)from->headers_bytes;
  if (from->body_bytes > 0)
    limits.body_bytes = (size_t)from->body_bytes;
  if (from->header_timeout_us > 0)
    limits.client.head_us = from->header_timeout_us;
  if (from->idle_timeout_us > 0)
    {
      limits.client.idle_us = from->idle_timeout_us;
      limits.client.stall_us = from->idle_timeout_us;
    }
  for (int i = 0; i < FRONT_SOURCE_COUNT; i++)
    if (f->servers[i] != NULL)
      http_server_set_limits (f->servers[i], &limits);
}

static void
run_snapshot (void *owner, int64_t now_us)
{
  struct front *f = owner;
  uint64_t generation = atomic_load (&f->shared->snapshots.generation);

  if (generation == f->snapshot_generation)
    return;
  snapshot_put (f->snapshot);
  f->snapshot = snapshot_get (&f->shared->snapshots);
  f->snapshot_generation = generation;
  if (f->snapshot != NULL)
    {
      apply_limits (f);
      dispatch_set_endpoints (f, f->snapshot);
    }
}

static enum quota_result
take_token (struct front *f, struct front_call *call, int64_t now_us)
{
  struct daemon_context *shared = f->shared;
  enum quota_result result;

  if (!atomic_load (&shared->rate_limited))
    return QUOTA_TAKEN;
  g_mutex_lock (&shared->quota_mutex);
  if (call->in_token_queue)
    result = shared->rate_ops->poll (shared, call->workspace, call->arrived_us,
                                     now_us);
  else
    result = shared->rate_ops->acquire (shared, call->workspace, now_us);
  g_mutex_unlock (&shared->quota_mutex);
  /* The control thread requests the tokens.  */
  if (result == QUOTA_WAIT && !call->in_token_queue)
    mailbox_wake (shared->control);
  call->in_token_queue = result == QUOTA_WAIT;
  return result;
}

static void
apply_token_result (struct front *f, struct front_call *call,
                    enum quota_result result)
{
  switch (result)
    {
    case QUOTA_TAKEN:
      front_set_state (f, call,
                       call->idempotency_key.len > 0 ? FRONT_TO_REGISTER
                                                     : FRONT_TO_DISPATCH);
      break;
    case QUOTA_EXCEEDED:
      front_fail (f, call, ERR_RATE_EXCEEDED, STR_EMPTY);
      break;
    case QUOTA_UNAVAILABLE:
      front_fail (f, call, ERR_RATE_UNAVAILABLE, STR_EMPTY);
      break;
    case QUOTA_WAIT:
      break;
    }
}

/* Calls that still wait for a token stay in the queue.  */
static void
run_tokens (void *owner, int64_t now_us)
{
  struct front *f = owner;
  GArray *queue = f->queues[FRONT_AWAITING_TOKEN];
  guint kept = 0;

  for (guint i = 0; i < queue->len; i++)
    {
      uint64_t id = g_array_index (queue, uint64_t, i);
      struct front_call *call = table_get (&f->calls, id);

      if (call == NULL || call->state != FRONT_AWAITING_TOKEN)
        continue;
      apply_token_result (f, call, take_token (f, call, now_us));
      if (call->state == FRONT_AWAITING_TOKEN)
        g_array_index (queue, uint64_t, kept++) = id;
    }
  g_array_set_size (queue, kept);
}

static void
register_call (struct front *f, struct front_call *call)
{
  struct thread_message *message;

  if (!atomic_load (&f->shared->registry_enabled))
    {
      front_fail (f, call, ERR_REGISTRY_UNAVAILABLE, STR_EMPTY);
      return;
    }
  message = thread_message_create (THREAD_MESSAGE_REGISTER);
  message->front = f->index;
  message->call = call->id;
  message->key = str_copy (call->idempotency_key);
  message->fingerprint = call->fingerprint;
  front_set_state (f, call, FRONT_AWAITING_REGISTRY);
  mailbox_send (f->shared->control, message);
}

static void
run_register (void *owner, int64_t now_us)
{
  struct front *f = owner;
  GArray *queue = f->queues[FRONT_TO_REGISTER];

  for (guint i = 0; i < queue->len; i++)
    {
      struct front_call *call
          = table_get (&f->calls, g_array_index (queue, uint64_t, i));

      if (call != NULL && call->state == FRONT_TO_REGISTER)
        register_call (f, call);
    }
  g_array_set_size (queue, 0);
}

static void
expire_call (struct front *f, struct front_call *call, int64_t now_us)
{
  bool sent = call->state == FRONT_SENT || call->state == FRONT_QUERYING;

  /* FRONT_STATE_COUNT, the state of status requests, is above
     FRONT_COMPLETED.  */
  if (call->state >= FRONT_COMPLETED || now_us < call->deadline_us)
    return;
  if (sent && now_us < call->deadline_us + FRONT_DEADLINE_GRACE_US)
    return;
  if (call->state == FRONT_SENT)
    dispatch_cancel (f, call);
  leave_token_queue (f, call);
  front_fail (f, call, sent ? ERR_DEADLINE_RUNNING : ERR_DEADLINE_NOT_RUN,
              STR_EMPTY);
}

/* Adds the changes since the last report, since the fronts share the metric
   rows.  Logs a listener that has left a caller waiting without accepting any
   since the last report.  */
static void
report_listener (struct front *f, enum front_source source)
{
  const struct daemon_metrics *rows = &f->shared->metric_rows;
  struct http_server_stats *old = &f->reported[source];
  struct http_server_stats now;

  if (f->servers[source] == NULL)
    return;
  http_server_get_stats (f->servers[source], &now);
  metrics_add_to_gauge (rows->connections_open[source],
                        (int64_t)now.open - old->open);
  metrics_increment (rows->connections_accepted[source],
                     now.accepted - old->accepted);
  metrics_add_to_gauge (rows->listeners_waiting[source],
                        (int64_t)now.waiting - old->waiting);
  if (now.waiting && old->waiting && now.accepted == old->accepted)
    LOGGER_WRITE (
        LOGGER_WARNING, "listener_stalled",
        LOGGER_TEXT ("listener", daemon_metrics_get_listener (source)),
        LOGGER_NUMBER ("connections", now.open),
        LOGGER_NUMBER ("limit", f->shared->settings->limits.connections));
  metrics_increment (rows->memory_refusals_front, now.refused - old->refused);
  metrics_increment (rows->answers_dropped, now.dropped - old->dropped);
  for (int i = CLIENT_LIMIT_KEEP + 1; i < CLIENT_LIMIT_REASONS; i++)
    metrics_increment (rows->connections_closed[i],
                       now.closed[i] - old->closed[i]);
  *old = now;
}

/* Logs the pressure and the numbers of requests for each service whose
   pressure caused rejections at this front.  */
static void
log_shed_requests (struct front *f, int64_t now_us)
{
  struct pressure_service *service;

  for (uint64_t id = pressure_next_service (&f->shedder, 0, &service); id != 0;
       id = pressure_next_service (&f->shedder, id, &service))
    {
      if (service->refused > 0)
        LOGGER_WRITE (
            LOGGER_INFO, "requests_shed",
            LOGGER_TEXT ("service", service->name),
            LOGGER_NUMBER ("pressure_permille",
                           (int64_t)(pressure_get_value (service, now_us)
                                     * PRESSURE_SCALE)),
            LOGGER_NUMBER ("age_ms",
                           (now_us - service->reported_us) / CLOCK_US_PER_MS),
            LOGGER_NUMBER ("checked", service->checked),
            LOGGER_NUMBER ("refused", service->refused));
      service->checked = 0;
      service->refused = 0;
    }
}

static void
run_expiry (void *owner, int64_t now_us)
{
  struct front *f = owner;
  struct front_call *call;

  if (now_us < f->next_tick_us)
    return;
  f->next_tick_us = now_us + FRONT_TICK_US;
  for (uint64_t id = table_next (&f->calls, 0, (void **)&call); id != 0;
       id = table_next (&f->calls, id, (void **)&call))
    expire_call (f, call, now_us);
  feedback_expire (&f->feedback, now_us);
  retry_budget_expire_ratio (&f->retry_ratio, now_us);
  metrics_set (f->shared->metric_rows.calls_open, f->calls.count);
  if (now_us < f->next_log_us)
    return;
  f->next_log_us = now_us + FRONT_LOG_US;
  log_shed_requests (f, now_us);
  dispatch_report_log (f, now_us);
  for (int i = 0; i < FRONT_SOURCE_COUNT; i++)
    report_listener (f, (enum front_source)i);
}

/* Internal functions: answers */

static void
record_call_span (struct front *f, const struct front_call *call,
                  int64_t now_us)
{
  struct trace_span span = { .context = call->trace,
                             .has_parent = call->has_parent_span,
                             .kind = TRACE_SERVER,
                             .name = STR_LIT ("request"),
                             .service = call->service,
                             .route = call->route->name,
                             .error = call->result.error,
                             .status = (uint32_t)call->result.status,
                             .importance = call->importance,
                             .depth = call->depth,
                             .attempt = call->attempts,
                             .duration_us = now_us - call->arrived_us };

  memcpy (span.parent_id, call->parent_span_id, sizeof span.parent_id);
  span.start_us = clock_wall_ms () * CLOCK_US_PER_MS - span.duration_us;
  trace_record (&f->shared->trace, &span);
}

static struct str
get_body (const struct front_call *call)
{
  const struct front_result *r = &call->result;

  if (r->recorded || !r->message.u.response.last_part)
    return str_view (&r->body);
  return r->message.u.response.body;
}

static struct str
get_content_type (const struct front_call *call)
{
  const struct wire_response *r = &call->result.message.u.response;

  for (uint32_t i = 0; i < r->headers_len; i++)
    if (str_equal_nocase (r->headers[i].name, STR_LIT ("content-type")))
      return r->headers[i].value;
  return STR_EMPTY;
}

/* Sends the outcome to the registry of idempotency keys, which returns it for
   repeats of the request.  */
static void
complete_registration (struct front *f, const struct front_call *call)
{
  struct thread_message *message
      = thread_message_create (THREAD_MESSAGE_COMPLETE);

  message->front = f->index;
  message->call = call->id;
  message->key = str_copy (call->idempotency_key);
  message->fingerprint = call->fingerprint;
  message->error = call->result.error;
  message->status = call->result.status;
  if (call->result.error == ERR_NONE)
    {
      message->content_type = str_copy (get_content_type (call));
      message->text = str_copy (get_body (call));
    }
  mailbox_send (f->shared->control, message);
}

static void
answer_error (struct front *f, struct front_call *call)
{
  const struct http_dialect_ops *dialect = f->shared->dialect;
  enum err_kind error = call->result.error;
  struct wire_header headers[1 + HTTP_DIALECT_ERROR_HEADERS_MAX]
      = { { STR_LIT ("Content-Type"), STR_LIT ("application/json") } };
  uint32_t headers_len = 1;
  struct str_buf text = { 0 };
  struct str_buf body = { 0 };

  headers_len += dialect->add_error_headers (
      error, retry_policy_get_retry_after_ms (error, g_rand_double (f->rand)),
      &text, headers + 1);
  err_append_body (&body, error, call->result.detail);
  http_server_answer (call->exchange, dialect->get_status (error), headers,
                      headers_len, str_view (&body));
  str_reset (&body);
  str_reset (&text);
}

static void
answer_result (struct front *f, struct front_call *call)
{
  struct front_result *r = &call->result;
  struct wire_header recorded = { STR_LIT ("Content-Type"), r->content_type };

  if (r->recorded)
    http_server_answer (call->exchange, r->status, &recorded,
                        r->content_type.len > 0, get_body (call));
  else if (r->message.u.response.last_part)
    http_server_answer (
        call->exchange, r->status, r->message.u.response.headers,
        r->message.u.response.headers_len, r->message.u.response.body);
  else
    {
      /* The exchange reserves the answer.  */
      byte_budget_release (&f->slice, r->held);
      r->held = 0;
      http_server_answer_taking (call->exchange, r->status,
                                 r->message.u.response.headers,
                                 r->message.u.response.headers_len, &r->body);
    }
}

/* Returns the address of the daemon that got the last attempt, or an empty
   string.  */
static struct str
get_last_peer (const struct front_call *call)
{
  const struct snapshot *s = call->snapshot;

  if (s == NULL || call->tried_len == 0)
    return STR_EMPTY;
  for (uint32_t i = 0; i < s->endpoints_len; i++)
    if (s->endpoints[i].member == call->tried[call->tried_len - 1])
      return s->endpoints[i].address;
  return STR_EMPTY;
}

/* Logs why a call ended without a response of the backend server.  */
static void
log_failure (struct front *f, const struct front_call *call, int64_t now_us)
{
  enum err_kind error = call->result.error;
  const struct snapshot *s = call->snapshot;
  uint64_t left_out;

  /* The exchange owns the caller's strings, so they are not logged after it
     has ended.  */
  if (!logger_allow (&f->failure_log_limits[error], now_us, &left_out))
    return;
  LOGGER_WRITE (
      LOGGER_INFO, "request_failed",
      LOGGER_TEXT ("request", call->exchange != NULL
                                      && call->caller_headers.id.data != NULL
                                  ? call->caller_headers.id
                                  : STR_EMPTY),
      LOGGER_TEXT ("error", str_from_cstr (err_get_answer (error)->name)),
      LOGGER_TEXT ("route",
                   call->route != NULL ? call->route->name : STR_EMPTY),
      LOGGER_TEXT ("service", call->service),
      LOGGER_TEXT ("workspace", call->workspace),
      LOGGER_NUMBER ("importance", call->importance),
      LOGGER_NUMBER ("attempts", call->attempts),
      LOGGER_TEXT ("peer", get_last_peer (call)),
      LOGGER_NUMBER ("age_ms", (now_us - call->arrived_us) / CLOCK_US_PER_MS),
      LOGGER_NUMBER ("revision",
                     s != NULL ? (int64_t)s->config->inventory.revision : 0),
      LOGGER_NUMBER ("endpoints", s != NULL ? s->endpoints_len : 0),
      LOGGER_NUMBER ("left_out", (int64_t)left_out));
}

/* Publishes the number of answers that are not sent whole yet, for the
   shutdown.  */
static void
update_open_answers (struct front *f)
{
  uint32_t open = 0;

  for (int i = 0; i < FRONT_SOURCE_COUNT; i++)
    if (f->servers[i] != NULL)
      open += http_server_get_sending (f->servers[i]);
  atomic_fetch_add (&f->shared->open_answers, open - f->open_answers);
  f->open_answers = open;
}

static void
end_call (struct front *f, struct front_call *call, int64_t now_us)
{
  if (call->registered)
    complete_registration (f, call);
  if (call->hop_row != 0)
    hop_token_end_nested (&f->shared->hop_tokens, call->hop_row,
                          call->hop_budget, call->budget.left, now_us);
  if (call->route != NULL && call->trace.sampled)
    record_call_span (f, call, now_us);
  metrics_increment (f->shared->metric_rows.answers[call->result.error], 1);
  metrics_observe (f->shared->metric_rows.call_time,
                   now_us - call->arrived_us);
  if (call->result.error != ERR_NONE)
    log_failure (f, call, now_us);
  if (call->exchange != NULL && call->result.error != ERR_NONE)
    answer_error (f, call);
  else if (call->exchange != NULL)
    answer_result (f, call);
  /* Before the call is closed: the daemon must not end in between.  */
  update_open_answers (f);
  free_call (f, call);
}

static void
run_answers (void *owner, int64_t now_us)
{
  struct front *f = owner;
  GArray *queue = f->queues[FRONT_COMPLETED];

  for (guint i = 0; i < queue->len; i++)
    {
      struct front_call *call
          = table_get (&f->calls, g_array_index (queue, uint64_t, i));

      if (call != NULL && call->state == FRONT_COMPLETED)
        end_call (f, call, now_us);
    }
  g_array_set_size (queue, 0);
  update_open_answers (f);
  loop_set_tick (&f->loop, f->calls.count > 0 ? FRONT_TICK_US : 0);
}

static void
run_reports (void *owner, int64_t now_us)
{
  front_report_run (owner, now_us);
}

static const struct system systems[] = {
  { "notes", run_messages },    { "reports", run_reports },
  { "snapshot", run_snapshot }, { "intake", request_check_run },
  { "tokens", run_tokens },     { "register", run_register },
  { "dispatch", dispatch_run }, { "expiry", run_expiry },
  { "answers", run_answers },
};

/* Public functions */

static bool
listen_http (struct front *f, GError **error)
{
  const struct settings *s = f->shared->settings;
  struct http_server_limits limits
      = { .headers_bytes = (size_t)s->limits.headers_bytes,
          .body_bytes = (size_t)s->limits.body_bytes,
          .connections = (uint32_t)s->limits.connections,
          .idle_timeout_s
          = (uint32_t)((s->limits.idle_timeout_ms + 999) / CLOCK_US_PER_MS),
          .client
          = { .head_us = s->limits.header_timeout_ms * CLOCK_US_PER_MS,
              .idle_us = s->limits.idle_timeout_ms * CLOCK_US_PER_MS,
              .stall_us = s->limits.idle_timeout_ms * CLOCK_US_PER_MS,
              .request_us = s->limits.request_timeout_ms * CLOCK_US_PER_MS,
              .progress_bytes_per_s = s->limits.progress_bytes_per_s } };
  const struct
  {
    struct str address;
    int64_t port;
  } listeners[FRONT_SOURCE_COUNT]
      = { [FRONT_CALLER] = { s->address, s->ports.caller },
          [FRONT_LOCAL] = { s->local_address, s->ports.local },
          [FRONT_HEALTH] = { s->address, s->ports.health } };
  bool ok = true;

  for (int i = 0; i < FRONT_SOURCE_COUNT; i++)
    {
      if (listeners[i].port == 0)
        continue;
      if (i == FRONT_HEALTH)
        {
          /* It needs no bodies.  */
          limits.body_bytes = (size_t)BYTE_BUDGET_SMALL_MAX_BYTES / 2;
          limits.connections
              = MIN (limits.connections, FRONT_HEALTH_CONNECTIONS);
        }
      f->servers[i] = http_server_load (f->loop.base, listeners[i].address,
                                        (uint16_t)listeners[i].port, &limits,
                                        &server_ops, f, (uint64_t)i);
      ok = ok && f->servers[i] != NULL;
      if (f->servers[i] != NULL)
        http_server_set_slice (f->servers[i], &f->slice);
    }
  if (ok)
    return true;
  g_set_error (error, ERR_QUARK, ERR_SETTINGS_INVALID,
               "cannot listen on port %d (caller), %d (local) or %d (health)",
               (int)s->ports.caller, (int)s->ports.local,
               (int)s->ports.health);
  return false;
}

/**
 * front_init - sets up a front thread
 * @f: thread's state
 * @shared: state shared by the threads; receives the mailbox of this front
 * @index: index of this front, less than the setting front_threads
 * @error: receives the reason of a failure
 *
 * Return: false if it cannot listen on a port or a policy is unknown.
 */
bool
front_init (struct front *f, struct daemon_context *shared, uint32_t index,
            GError **error)
{
  const struct settings *settings = shared->settings;
  struct feedback_settings feedback = feedback_get_defaults ();
  GRand *rand = g_rand_new ();

  memset (f, 0, sizeof *f);
  f->shared = shared;
  byte_budget_open_slice (&f->slice, &shared->byte_budget);
  f->index = index;
  f->route_ops = route_find_ops (settings->policy.route);
  f->retry_ops = retry_policy_find_ops (settings->policy.retry);
  if (f->route_ops == NULL || f->retry_ops == NULL
      || !loop_init (&f->loop, systems, G_N_ELEMENTS (systems), f))
    {
      g_rand_free (rand);
      g_set_error (error, ERR_QUARK, ERR_SETTINGS_INVALID,
                   "unknown route or retry policy");
      return false;
    }
  table_init (&f->calls, sizeof (struct front_call));
  table_init (&f->confirmations, sizeof (struct front_confirmation));
  for (int i = 0; i < FRONT_STATE_COUNT; i++)
    f->queues[i] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  dispatch_init (f, rand);
  feedback.seed = g_rand_int (rand);
  feedback_init (&f->feedback, &feedback);
  pressure_init_shedder (&f->shedder, g_rand_int (rand));
  f->rand = rand;
  f->reject_from_us = INT64_MAX;
  backend_init (&f->backend);
  shared->fronts[index] = &f->loop.inbox;
  return listen_http (f, error);
}

void
front_close (struct front *f)
{
  struct front_confirmation *confirmation;
  struct front_call *call;

  for (uint64_t id = table_next (&f->calls, 0, (void **)&call); id != 0;
       id = table_next (&f->calls, id, (void **)&call))
    if (call->exchange != NULL)
      {
        call->result.error = ERR_SHUTTING_DOWN;
        answer_error (f, call);
        free_call (f, call);
      }
  for (int i = 0; i < FRONT_SOURCE_COUNT; i++)
    if (f->servers[i] != NULL)
      http_server_unload (f->servers[i]);
  for (uint64_t id = table_next (&f->confirmations, 0, (void **)&confirmation);
       id != 0;
       id = table_next (&f->confirmations, id, (void **)&confirmation))
    str_free (&confirmation->id);
  table_close (&f->confirmations);
  backend_stops_close (&f->stored_stops);
  backend_close (&f->backend);
  if (f->rand != NULL)
    g_rand_free (f->rand);
  dispatch_close (f);
  feedback_close (&f->feedback);
  pressure_close_shedder (&f->shedder);
  table_close (&f->calls);
  for (int i = 0; i < FRONT_STATE_COUNT; i++)
    g_array_unref (f->queues[i]);
  snapshot_put (f->snapshot);
  loop_close (&f->loop);
  byte_budget_close_slice (&f->slice);
}

void
front_set_state (struct front *f, struct front_call *call,
                 enum front_state state)
{
  call->state = state;
  g_array_append_val (f->queues[state], call->id);
}

void
front_free_result (struct front *f, struct front_result *r)
{
  wire_unload_message (&r->message);
  str_free (&r->frame);
  str_free (&r->content_type);
  str_reset (&r->body);
  byte_budget_release (&f->slice, r->held);
  r->held = 0;
}

/**
 * front_fail - ends a call with an error
 * @f: front
 * @call: call
 * @error: kind of the last failure
 * @detail: static text about this case, may be empty
 *
 * An error that means "not run" becomes ERR_OUTCOME_UNKNOWN if it is possible
 * that an earlier attempt ran.
 */
void
front_fail (struct front *f, struct front_call *call, enum err_kind error,
            struct str detail)
{
  if (call->may_have_run && err_is_not_run (error))
    error = ERR_OUTCOME_UNKNOWN;
  call->result.error = error;
  call->result.detail = detail;
  front_set_state (f, call, FRONT_COMPLETED);
}
