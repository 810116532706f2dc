/* front: a traffic thread that takes requests of callers and nested calls.  */

#include "front.h"

#include "admin.h"
#include "clock.h"
#include "dispatch.h"
#include "request_check.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define FRONT_TICK_US 10000
/* Callers have heard that the daemon leaves when its listener stops; what they sent just
   before on connections that were kept open is still served.  Later requests would be
   cut by the end of the process.  */
#define FRONT_LATE_REQUESTS_US 800000
/* Interval of the log lines about refused requests, as the serve thread's.  */
#define FRONT_LOG_US 1000000
/* The serving daemon answers at the deadline whether the request ran; this is
   the time for that answer to arrive.  */
#define FRONT_DEADLINE_GRACE_US 20000
#define FRONT_ANSWER_HEADERS_MAX (WIRE_HEADERS_MAX + 4)

/* Internal functions: rows */

static void
free_result (struct front_result *r)
{
  wire_unload_message (&r->message);
  str_free (&r->frame);
  str_free (&r->content_type);
  str_reset (&r->body);
}

static void
free_call (struct front *f, struct front_call *call)
{
  free_result (&call->result);
  g_free (call->headers);
  snapshot_put (call->snapshot);
  table_remove (&f->calls, call->id);
  atomic_fetch_sub (&f->shared->open_calls, 1);
}

static void
leave_token_queue (struct front *f, struct front_call *call)
{
  if (!call->tokens_wanted)
    return;
  call->tokens_wanted = false;
  g_mutex_lock (&f->shared->quota_mutex);
  f->shared->rate_ops->cancel (f->shared, call->workspace);
  g_mutex_unlock (&f->shared->quota_mutex);
}

/* Internal functions: callers */

static void
on_request (void *owner, struct http_server_exchange *x)
{
  struct front *f = owner;
  struct front_call *call;
  uint64_t id;

  if (x->source != FRONT_CALLER && f->shared->dialect->handle (f, x))
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
  if (f->calls.count > (uint32_t)f->shared->settings->limits.open_requests)
    front_fail (f, call, ERR_TOO_MANY_REQUESTS_OPEN, STR_EMPTY);
  else if (x->source == FRONT_CALLER && call->arrived_us >= f->refuse_from_us)
    front_fail (f, call, ERR_SHUTTING_DOWN, STR_EMPTY);
  else
    front_set_state (f, call, FRONT_ARRIVED);
}

static void
on_gone (void *owner, struct http_server_exchange *x)
{
  struct front *f = owner;
  struct front_call *call = table_get (&f->calls, x->call);

  if (call == NULL)
    return;
  if (call->state == FRONT_STATES)
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

static const struct http_server_ops server_ops = { on_request, on_gone };

/* Internal functions: systems */

static void
apply_registered (struct front *f, struct thread_message *n)
{
  struct front_call *call = table_get (&f->calls, n->call);

  if (call == NULL || call->state != FRONT_REGISTERING)
    return;
  switch (n->registration)
    {
    case THREAD_MESSAGE_REGISTRATION_NEW:
      call->registered = true;
      front_set_state (f, call, FRONT_DISPATCH);
      break;
    case THREAD_MESSAGE_REGISTRATION_DONE:
      call->result.recorded = true;
      call->result.status = n->status;
      call->result.content_type = n->content_type;
      n->content_type = STR_EMPTY;
      str_append (&call->result.body, n->text);
      front_set_state (f, call, FRONT_ANSWERED);
      break;
    case THREAD_MESSAGE_REGISTRATION_REJECTED:
      front_fail (f, call, n->error, STR_EMPTY);
      break;
    }
}

static void
run_notes (void *owner, int64_t now_us)
{
  struct front *f = owner;
  struct thread_message *n;

  while ((n = mailbox_receive (&f->loop.inbox)) != NULL)
    {
      if (n->kind == THREAD_MESSAGE_STATUS)
        admin_handle_reply (f, n);
      if (n->kind == THREAD_MESSAGE_REGISTERED)
        apply_registered (f, n);
      if (n->kind == THREAD_MESSAGE_SHUTDOWN && !f->stopped_listening)
        {
          f->stopped_listening = true;
          f->refuse_from_us = clock_now_us () + FRONT_LATE_REQUESTS_US;
          http_server_stop_listening (f->callers);
        }
      thread_message_unload (n);
    }
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
    dispatch_set_endpoints (f, f->snapshot);
}

static enum quota_result
take_token (struct front *f, struct front_call *call, int64_t now_us)
{
  struct daemon_context *shared = f->shared;
  enum quota_result result;

  if (!atomic_load (&shared->rate_limited))
    return QUOTA_TAKEN;
  g_mutex_lock (&shared->quota_mutex);
  if (call->tokens_wanted)
    result = shared->rate_ops->poll (shared, call->workspace, call->arrived_us,
                                     now_us);
  else
    result = shared->rate_ops->begin (shared, call->workspace, now_us);
  g_mutex_unlock (&shared->quota_mutex);
  if (result == QUOTA_WAIT && !call->tokens_wanted)
    mailbox_wake (shared->control);
  call->tokens_wanted = result == QUOTA_WAIT;
  return result;
}

static void
apply_token (struct front *f, struct front_call *call,
             enum quota_result result)
{
  switch (result)
    {
    case QUOTA_TAKEN:
      front_set_state (f, call,
                       call->idempotency_key.len > 0 ? FRONT_REGISTER
                                                     : FRONT_DISPATCH);
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

/* Calls that wait for a token stay in the queue.  */
static void
run_tokens (void *owner, int64_t now_us)
{
  struct front *f = owner;
  GArray *queue = f->queues[FRONT_TOKENS];
  guint kept = 0;

  for (guint i = 0; i < queue->len; i++)
    {
      uint64_t id = g_array_index (queue, uint64_t, i);
      struct front_call *call = table_get (&f->calls, id);

      if (call == NULL || call->state != FRONT_TOKENS)
        continue;
      apply_token (f, call, take_token (f, call, now_us));
      if (call->state == FRONT_TOKENS)
        g_array_index (queue, uint64_t, kept++) = id;
    }
  g_array_set_size (queue, kept);
}

static void
register_call (struct front *f, struct front_call *call)
{
  struct thread_message *n;

  if (!atomic_load (&f->shared->registry_enabled))
    {
      front_fail (f, call, ERR_REGISTRY_UNAVAILABLE, STR_EMPTY);
      return;
    }
  n = thread_message_load (THREAD_MESSAGE_REGISTER);
  n->front = f->index;
  n->call = call->id;
  n->key = str_copy (call->idempotency_key);
  n->fingerprint = call->fingerprint;
  front_set_state (f, call, FRONT_REGISTERING);
  mailbox_send (f->shared->control, n);
}

static void
run_register (void *owner, int64_t now_us)
{
  struct front *f = owner;
  GArray *queue = f->queues[FRONT_REGISTER];

  for (guint i = 0; i < queue->len; i++)
    {
      struct front_call *call
          = table_get (&f->calls, g_array_index (queue, uint64_t, i));

      if (call != NULL && call->state == FRONT_REGISTER)
        register_call (f, call);
    }
  g_array_set_size (queue, 0);
}

static void
expire_call (struct front *f, struct front_call *call, int64_t now_us)
{
  bool sent = call->state == FRONT_SENT || call->state == FRONT_QUERYING;

  if (call->state >= FRONT_ANSWERED || now_us < call->deadline_us)
    return;
  if (sent && now_us < call->deadline_us + FRONT_DEADLINE_GRACE_US)
    return;
  if (call->state == FRONT_SENT)
    dispatch_cancel (f, call);
  leave_token_queue (f, call);
  front_fail (f, call, sent ? ERR_DEADLINE_RUNNING : ERR_DEADLINE_NOT_RUN,
              STR_EMPTY);
}

/* One line a second for each service whose pressure has requests refused here:
   what those refusals were decided from.  */
static void
log_pressures (struct front *f, int64_t now_us)
{
  struct pressure_service *service;

  if (now_us < f->next_log_us)
    return;
  f->next_log_us = now_us + FRONT_LOG_US;
  for (uint64_t id = pressure_next_service (&f->shedder, 0, &service); id != 0;
       id = pressure_next_service (&f->shedder, id, &service))
    {
      if (service->refused > 0)
        LOGGER_WRITE (
            LOGGER_INFO, "requests_shed",
            LOGGER_TEXT ("service", service->name),
            LOGGER_NUMBER ("pressure_permille",
                           (int64_t)(pressure_get_value (service, now_us)
                                     * PRESSURE_WHOLE)),
            LOGGER_NUMBER ("age_ms",
                           (now_us - service->noted_us) / CLOCK_US_PER_MS),
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
  retry_budget_expire_ratio (&f->ratio, now_us);
  log_pressures (f, now_us);
  metrics_set (f->shared->stats.calls_open, f->calls.count);
}

/* Internal functions: answers */

static void
record_call (struct front *f, const struct front_call *call, int64_t now_us)
{
  struct trace_span span = { .context = call->trace,
                             .has_parent = call->has_parent,
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

  memcpy (span.parent_id, call->parent_id, sizeof span.parent_id);
  span.start_us = clock_wall_ms () * CLOCK_US_PER_MS - span.duration_us;
  trace_record (&f->shared->trace, &span);
}

static struct str
get_body (const struct front_call *call)
{
  const struct front_result *r = &call->result;

  if (r->recorded || !r->message.u.response.last)
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

/* Tells the registry what a repeat of the request is to get.  */
static void
complete_registration (struct front *f, const struct front_call *call)
{
  struct thread_message *n = thread_message_load (THREAD_MESSAGE_COMPLETE);

  n->front = f->index;
  n->call = call->id;
  n->key = str_copy (call->idempotency_key);
  n->fingerprint = call->fingerprint;
  n->error = call->result.error;
  n->status = call->result.status;
  if (call->result.error == ERR_NONE)
    {
      n->content_type = str_copy (get_content_type (call));
      n->text = str_copy (get_body (call));
    }
  mailbox_send (f->shared->control, n);
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
      error, retry_policy_get_wait_ms (error, g_rand_double (f->rand)), &text,
      headers + 1);
  err_append_body (&body, error, call->result.detail);
  http_server_answer (call->exchange, dialect->get_status (error), headers,
                      headers_len, str_view (&body));
  str_reset (&body);
  str_reset (&text);
}

static void
answer_result (struct front_call *call)
{
  const struct front_result *r = &call->result;
  struct wire_header recorded = { STR_LIT ("Content-Type"), r->content_type };

  if (r->recorded)
    http_server_answer (call->exchange, r->status, &recorded,
                        r->content_type.len > 0, get_body (call));
  else
    http_server_answer (call->exchange, r->status,
                        r->message.u.response.headers,
                        r->message.u.response.headers_len, get_body (call));
}

/* Address of the daemon that the last attempt went to, or an empty string.  */
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

/* What decided the end of a request that its caller did not get an answer of
   the backend server for.  */
static void
log_failure (struct front *f, const struct front_call *call, int64_t now_us)
{
  enum err_kind error = call->result.error;
  const struct snapshot *s = call->snapshot;
  uint64_t left_out;

  /* The strings of a caller that left are gone with its exchange.  */
  if (!logger_allow (&f->failures[error], now_us, &left_out))
    return;
  LOGGER_WRITE (
      LOGGER_INFO, "request_failed",
      LOGGER_TEXT ("request",
                   call->exchange != NULL && call->said.id.data != NULL
                       ? call->said.id
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

static void
end_call (struct front *f, struct front_call *call, int64_t now_us)
{
  if (call->registered)
    complete_registration (f, call);
  if (call->hop != 0)
    hop_token_end_nested (&f->shared->hop_tokens, call->hop, call->hop_part,
                          call->budget.left, now_us);
  if (call->route != NULL && call->trace.sampled)
    record_call (f, call, now_us);
  metrics_increment (f->shared->stats.answers[call->result.error], 1);
  metrics_observe (f->shared->stats.call_time, now_us - call->arrived_us);
  if (call->result.error != ERR_NONE)
    log_failure (f, call, now_us);
  if (call->exchange != NULL && call->result.error != ERR_NONE)
    answer_error (f, call);
  else if (call->exchange != NULL)
    answer_result (call);
  free_call (f, call);
}

static void
run_answers (void *owner, int64_t now_us)
{
  struct front *f = owner;
  GArray *queue = f->queues[FRONT_ANSWERED];

  for (guint i = 0; i < queue->len; i++)
    {
      struct front_call *call
          = table_get (&f->calls, g_array_index (queue, uint64_t, i));

      if (call != NULL && call->state == FRONT_ANSWERED)
        end_call (f, call, now_us);
    }
  g_array_set_size (queue, 0);
  loop_set_tick (&f->loop, f->calls.count > 0 ? FRONT_TICK_US : 0);
}

static const struct system systems[] = {
  { "notes", run_notes },          { "snapshot", run_snapshot },
  { "intake", request_check_run }, { "tokens", run_tokens },
  { "register", run_register },    { "dispatch", dispatch_run },
  { "expiry", run_expiry },        { "answers", run_answers },
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
          = (uint32_t)((s->limits.idle_timeout_ms + 999) / CLOCK_US_PER_MS) };

  f->callers
      = http_server_load (f->loop.base, s->address, (uint16_t)s->ports.caller,
                          &limits, &server_ops, f, FRONT_CALLER);
  f->local = http_server_load (f->loop.base, s->local_address,
                               (uint16_t)s->ports.local, &limits, &server_ops,
                               f, FRONT_LOCAL);
  if (s->ports.health > 0)
    f->health = http_server_load (f->loop.base, s->address,
                                  (uint16_t)s->ports.health, &limits,
                                  &server_ops, f, FRONT_HEALTH);
  if (f->callers != NULL && f->local != NULL
      && (f->health != NULL || s->ports.health == 0))
    return true;
  g_set_error (error, ERR_QUARK, ERR_SETTINGS_INVALID,
               "cannot listen at port %d (caller), %d (local) or %d (health)",
               (int)s->ports.caller, (int)s->ports.local,
               (int)s->ports.health);
  return false;
}

/**
 * front_init - sets up a front thread
 * @f: thread's state
 * @shared: shared state; its mailbox of this front is set here
 * @index: number of this front, below settings' front_threads
 * @error: receives the reason
 *
 * Return: false if a port cannot be had or a policy is unknown.
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
  for (int i = 0; i < FRONT_STATES; i++)
    f->queues[i] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  dispatch_init (f, rand);
  feedback.seed = g_rand_int (rand);
  feedback_init (&f->feedback, &feedback);
  pressure_init_shedder (&f->shedder, g_rand_int (rand));
  f->rand = rand;
  f->refuse_from_us = INT64_MAX;
  backend_init (&f->backend);
  shared->fronts[index] = &f->loop.inbox;
  return listen_http (f, error);
}

void
front_close (struct front *f)
{
  struct front_call *call;

  for (uint64_t id = table_next (&f->calls, 0, (void **)&call); id != 0;
       id = table_next (&f->calls, id, (void **)&call))
    if (call->exchange != NULL)
      {
        call->result.error = ERR_SHUTTING_DOWN;
        answer_error (f, call);
        free_call (f, call);
      }
  if (f->callers != NULL)
    http_server_unload (f->callers);
  if (f->local != NULL)
    http_server_unload (f->local);
  if (f->health != NULL)
    http_server_unload (f->health);
  backend_close (&f->backend);
  if (f->rand != NULL)
    g_rand_free (f->rand);
  dispatch_close (f);
  feedback_close (&f->feedback);
  pressure_close_shedder (&f->shedder);
  table_close (&f->calls);
  for (int i = 0; i < FRONT_STATES; i++)
    g_array_unref (f->queues[i]);
  snapshot_put (f->snapshot);
  loop_close (&f->loop);
}

/**
 * front_report_backend - applies what the backend server says of itself
 * @f: front
 * @report: decoded report
 *
 * The serve thread hears of a drain or leave before this returns, so that the
 * report may be acknowledged.
 *
 * Return: false if the report is older than one applied before.
 */
bool
front_report_backend (struct front *f, const struct backend_report *report)
{
  struct thread_message *n;

  switch (backend_apply (&f->backend, report, clock_now_us ()))
    {
    case BACKEND_STALE:
      return false;
    case BACKEND_SAME:
      return true;
    case BACKEND_ANNOUNCED:
      n = thread_message_load (THREAD_MESSAGE_ANNOUNCE);
      n->backend.service = str_copy (report->service);
      n->backend.address = str_copy (report->address);
      n->backend.id = str_copy (report->id);
      n->backend.boot_ms = report->boot_ms;
      n->backend.port = report->port;
      n->backend.slots = report->slots;
      n->backend.connections = report->connections;
      n->backend.cold_us = report->cold_us;
      break;
    case BACKEND_DRAINED:
      n = thread_message_load (THREAD_MESSAGE_DRAIN);
      break;
    default:
      n = thread_message_load (THREAD_MESSAGE_LEAVE);
      break;
    }
  mailbox_send (f->shared->serve, thread_message_copy (n));
  mailbox_send (f->shared->control, n);
  return true;
}

void
front_set_state (struct front *f, struct front_call *call,
                 enum front_state state)
{
  call->state = state;
  g_array_append_val (f->queues[state], call->id);
}

/**
 * front_fail - ends a call with an error
 * @f: front
 * @call: call
 * @error: kind of the last failure
 * @detail: static text about this case, may be empty
 *
 * "Not run" is told only if it holds for every attempt.
 */
void
front_fail (struct front *f, struct front_call *call, enum err_kind error,
            struct str detail)
{
  if (call->may_have_run && err_is_not_run (error))
    error = ERR_OUTCOME_UNKNOWN;
  call->result.error = error;
  call->result.detail = detail;
  front_set_state (f, call, FRONT_ANSWERED);
}
