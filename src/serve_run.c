/* serve_run: runs the jobs of the serve thread at the backend server.  Part of
   serve.  */

#include "serve_run.h"

#include "clock.h"
#include "logger.h"
#include "serve_resend.h"
#include "serve_response.h"
#include "serve_warmup.h"
#include "trace.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define SERVE_HEADERS_MAX (WIRE_HEADERS_MAX + HTTP_DIALECT_BACKEND_HEADERS_MAX)
/* A keep-alive connection that was idle for longer is not reused for a request
   that is not idempotent: if the backend server had closed it in the meantime,
   it would not be known whether the request ran.  */
#define SERVE_IDLE_MAX_US 1000000
/* Weight of one request in the moving average of the service time.  */
#define SERVE_MEAN_GAIN 0.02

/* Internal functions: answers */

static void
record_span (struct serve *s, const struct serve_job *job, enum err_kind error,
             const struct http_client_answer *answer, int64_t now_us)
{
  const struct wire_request *q = &job->message.u.request;
  struct trace_span span = { .kind = TRACE_SERVER,
                             .name = STR_LIT ("serve"),
                             .service = q->service,
                             .route = q->route,
                             .error = error,
                             .fault = answer->fault,
                             .status = (uint32_t)answer->status,
                             .importance = q->importance,
                             .depth = q->depth,
                             .duration_us = now_us - job->arrived_us,
                             .context = job->trace,
                             .has_parent = true };

  if (!job->traced || !job->trace.sampled)
    return;
  memcpy (span.parent_id, job->trace_parent.span_id, sizeof span.parent_id);
  span.start_us = clock_wall_ms () * CLOCK_US_PER_MS - span.duration_us;
  if (job->started_us > 0)
    span.queue_us = job->started_us - job->arrived_us;
  trace_record (&s->shared->trace, &span);
}

static enum http_dialect_answer_kind
classify_answer (const struct serve_job *job,
                 const struct http_client_answer *answer)
{
  return job->serve->shared->dialect->classify_answer (
      answer, job->message.u.request.caller_id);
}

/* Returns false for a response to an earlier request, which may still arrive
   on a keep-alive connection.  */
static bool
is_own_answer (void *data, const struct http_client_answer *answer)
{
  return classify_answer (data, answer) != HTTP_DIALECT_OTHER_REQUEST;
}

static enum err_kind
get_answer_error (const struct serve_job *job,
                  const struct http_client_answer *answer)
{
  switch (classify_answer (job, answer))
    {
    case HTTP_DIALECT_ANSWER:
      return ERR_NONE;
    case HTTP_DIALECT_NOT_RUN:
      return ERR_BACKEND_REFUSED;
    default:
      return ERR_BACKEND_FAILED;
    }
}

static enum err_kind
get_exchange_error (const struct serve_job *job,
                    const struct http_client_answer *answer)
{
  switch (answer->result)
    {
    case HTTP_CLIENT_ANSWERED:
      return get_answer_error (job, answer);
    case HTTP_CLIENT_NOT_CONNECTED:
      return ERR_BACKEND_UNREACHABLE;
    case HTTP_CLIENT_TIMEOUT:
      return ERR_DEADLINE_RUNNING;
    case HTTP_CLIENT_TOO_LARGE:
      return ERR_ANSWER_TOO_LARGE;
    default:
      return ERR_BACKEND_FAILED;
    }
}

/* Releases the slot of a job that the backend server rejected although it is
   not full.  That says nothing about its service time or its capacity, so
   neither the concurrency limit nor the pressure learns of it.  */
static void
release_rejected (struct serve *s, struct serve_job *job,
                  struct hop_token_usage *usage, int64_t now_us)
{
  job->rejected = true;
  hop_token_revoke (&s->shared->hop_tokens, job->hop_row, now_us, usage);
  load_meter_record_end (&s->load_meter, now_us - job->started_us, true,
                         now_us);
  s->running_jobs--;
}

/* Returns true for results that the concurrency limit counts as failures of
   the backend server.  A timeout does not count, since the request may have
   used up its time in the queue.  */
static bool
is_backend_fault (const struct http_client_answer *answer)
{
  return answer->result == HTTP_CLIENT_NOT_CONNECTED
         || answer->result == HTTP_CLIENT_FAILED
         || (answer->result == HTTP_CLIENT_ANSWERED && answer->status == 503);
}

/* Returns true for results that speak against this backend server, compared to
   others of its service.  A server error counts only if the backend server
   calls no other services, since the fault is probably in those otherwise; a
   timeout does not, as above.  */
static bool
is_failure (struct serve *s, enum err_kind error, int status, int64_t now_us)
{
  struct pressure_downstream_service services[PRESSURE_PATH_SERVICES_MAX];

  if (error != ERR_NONE)
    return error == ERR_BACKEND_FAILED || error == ERR_BACKEND_REFUSED;
  return status >= 500 && status != 504
         && pressure_copy_downstream (&s->shared->downstream_pressures,
                                      services, PRESSURE_PATH_SERVICES_MAX,
                                      now_us)
                == 0;
}

/* Counts and logs an answer that is malformed or incomplete.  */
static void
report_refused_answer (struct serve *s, const struct serve_job *job,
                       enum http_fault fault, int64_t now_us)
{
  const struct wire_request *q = &job->message.u.request;
  uint64_t left_out;

  if (fault == HTTP_FAULT_NONE)
    return;
  metrics_increment (s->shared->metric_rows.answers_refused[fault], 1);
  if (!logger_allow (&s->refusal_log_limit, now_us, &left_out))
    return;
  LOGGER_WRITE (LOGGER_WARNING, "backend_answer_refused",
                LOGGER_TEXT ("reason", http_fault_get_name (fault)),
                LOGGER_TEXT ("backend", s->backend.id),
                LOGGER_TEXT ("route", q->route),
                LOGGER_TEXT ("request", q->caller_id),
                LOGGER_NUMBER ("left_out", (int64_t)left_out));
}

static void
on_backend_done (void *data, const struct http_client_answer *answer)
{
  struct serve_job *job = data;
  struct serve *s = job->serve;
  int64_t now_us = clock_now_us ();
  enum err_kind error = get_exchange_error (job, answer);
  struct hop_token_usage usage = { 0 };
  bool rejected = serve_resend_is_rejection (s, answer, error);
  bool failure = is_failure (s, error, answer->status, now_us);

  job->exchange = NULL;
  serve_resend_record_arrival (s, job, answer, now_us);
  success_rate_record (&s->success, failure, now_us);
  if (rejected)
    release_rejected (s, job, &usage, now_us);
  else
    serve_run_release_slot (s, job, is_backend_fault (answer), !failure,
                            &usage, now_us);
  serve_warmup_record_answer (s, answer, job->started_us, now_us);
  record_span (s, job, error, answer, now_us);
  report_refused_answer (s, job, answer->fault, now_us);
  if (error == ERR_NONE && answer->status < 500)
    service_time_record (&s->service_times, job->message.u.request.route,
                         now_us - job->started_us);
  if (rejected && serve_resend_pause (s, job, now_us))
    return;
  if (error == ERR_NONE)
    serve_response_send (s, job, answer, &usage);
  else
    serve_response_fail (
        s, job, serve_resend_get_answer_error (s, answer, rejected, error),
        &usage);
}

static bool
issue_hop_token (struct serve *s, struct serve_job *job, char *token)
{
  const struct wire_request *q = &job->message.u.request;
  struct hop_token_context context;

  if (!hop_token_init_context (&context, q->workspace, q->importance, q->depth,
                               job->deadline_us, str_view (&job->traceparent)))
    return false;
  context.retry = q->retry != WIRE_RETRY_NONE || job->rejected;
  job->hop_row = hop_token_issue (&s->shared->hop_tokens, &context,
                                  q->retry_budget, token);
  return job->hop_row != 0;
}

/* Public functions */

void
serve_run_release_slot (struct serve *s, struct serve_job *job, bool failed,
                        bool completed, struct hop_token_usage *usage,
                        int64_t now_us)
{
  struct concurrency_limit_sample sample
      = { .service_us = now_us - job->started_us,
          .in_flight = job->running_at_start,
          .failed = failed };

  hop_token_revoke (&s->shared->hop_tokens, job->hop_row, now_us, usage);
  sample.nested_us = usage->nested_us;
  s->running_jobs--;
  load_meter_record_end (&s->load_meter, sample.service_us, !completed,
                         now_us);
  s->mean_service_us
      += SERVE_MEAN_GAIN * ((double)sample.service_us - s->mean_service_us);
  s->limit_ops->record_completion (&s->limit, &sample, now_us);
  s->admit_ops->record_completion (s->admission_queue, sample.service_us,
                                   now_us);
  pressure_record_request (&s->shared->downstream_pressures, now_us);
  metrics_observe (s->shared->metric_rows.service_time, sample.service_us);
}

void
serve_run_send (struct serve *s, struct serve_job *job, int64_t now_us)
{
  const struct wire_request *q = &job->message.u.request;
  struct http_head_field headers[SERVE_HEADERS_MAX];
  struct http_client_request r
      = { .headers = headers,
          .body = q->body,
          .more_body = job->more_body,
          .target = q->path,
          .timeout_us = job->deadline_us - now_us,
          .idle_max_us = q->idempotent ? 0 : SERVE_IDLE_MAX_US,
          /* an earlier rejection could be repeated on its connection */
          .new_connection = job->rejected,
          .accept = is_own_answer,
          .done = on_backend_done,
          .data = job };
  char token[HOP_TOKEN_LEN];
  char importance[2] = { (char)('0' + q->importance), '\0' };
  struct http_dialect_backend_headers backend_headers;
  char timeout[24];
  char *method;

  if (!issue_hop_token (s, job, token))
    {
      serve_response_fail (s, job, ERR_OVERLOADED, NULL);
      return;
    }
  for (uint32_t i = 0; i < q->headers_len; i++)
    headers[r.headers_len++]
        = (struct http_head_field){ q->headers[i].name, q->headers[i].value };
  g_snprintf (timeout, sizeof timeout, "%" G_GINT64_FORMAT,
              (gint64)(r.timeout_us / CLOCK_US_PER_MS));
  backend_headers = (struct http_dialect_backend_headers){
    .caller_service = q->caller_service,
    .backend_id = s->backend.id,
    .workspace = q->workspace,
    .importance = { 1, importance },
    .timeout_ms = str_from_cstr (timeout),
    .hop_token = { HOP_TOKEN_LEN, token },
    .traceparent = job->traced ? str_view (&job->traceparent) : STR_EMPTY,
  };
  r.headers_len += s->shared->dialect->add_backend_headers (
      &backend_headers, headers + r.headers_len);
  method = str_dup_cstr (q->method);
  r.method = method;
  job->started_us = now_us;
  job->sends++;
  job->state = SERVE_RUNNING;
  job->running_at_start = ++s->running_jobs;
  job->exchange = http_client_send (s->http_pool, &r);
  if (job->exchange != NULL)
    warmup_limit_record_send (&s->warmup, now_us);
  g_free (method);
  if (!job->rejected)
    metrics_observe (s->shared->metric_rows.queue_time,
                     now_us - job->arrived_us);
  if (job->exchange != NULL)
    {
      load_meter_record_start (&s->load_meter, now_us);
      metrics_increment (s->shared->metric_rows.executions, 1);
      return;
    }
  /* The limit does not exceed the number of connections, so the pool can be
     without a free connection only while it shrinks.  Nothing was sent, so the
     job did not run.  */
  s->running_jobs--;
  hop_token_revoke (&s->shared->hop_tokens, job->hop_row, now_us,
                    &(struct hop_token_usage){ 0 });
  serve_response_fail (s, job, ERR_OVERLOADED, NULL);
}
