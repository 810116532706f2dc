/* serve_response: sends the responses of the serve thread to the fronts, with
   the load reports that they carry.  */

#include "serve_response.h"

#include "clock.h"
#include "serve_warmup.h"

/* Internal functions */

/* Returns true for response headers that apply to one connection only or that
   the front sets again.  */
static bool
is_connection_header (struct str name)
{
  static const struct str names[]
      = { STR_LIT ("connection"),        STR_LIT ("keep-alive"),
          STR_LIT ("transfer-encoding"), STR_LIT ("content-length"),
          STR_LIT ("upgrade"),           STR_LIT ("te"),
          STR_LIT ("trailer"),           STR_LIT ("proxy-connection") };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (str_equal_nocase (name, names[i]))
      return true;
  return false;
}

/* Returns true if a Connection field of the answer names the field, which then
   applies to that connection only (RFC 9110, 7.6.1).  */
static bool
is_named_by_connection (const struct http_client_answer *answer,
                        struct str name)
{
  for (uint32_t i = 0; i < answer->headers_len; i++)
    if (str_equal_nocase (answer->headers[i].name, STR_LIT ("connection"))
        && http_head_lists (answer->headers[i].value, name))
      return true;
  return false;
}

/* Adds reports of the pressure of this service and of the services that the
   backend server calls.  */
static void
add_pressure_reports (struct serve *s, struct wire_response *r,
                      struct pressure_report *reports,
                      struct pressure_downstream_service *services)
{
  uint32_t len = pressure_copy_downstream (
      &s->shared->downstream_pressures, services,
      PRESSURE_PATH_SERVICES_MAX - 1, clock_now_us ());

  r->pressures = reports;
  r->pressures_len = 0;
  /* Before the first announcement of a backend server there is no service to
     report.  */
  if (s->backend.service.len > 0)
    reports[r->pressures_len++] = (struct pressure_report){
      s->backend.service, pressure_get_permille (&s->pressure), PRESSURE_SCALE
    };
  for (uint32_t i = 0; i < len; i++)
    reports[r->pressures_len++] = (struct pressure_report){
      { services[i].name_len, services[i].name },
      (uint32_t)(services[i].value * PRESSURE_SCALE),
      (uint32_t)MIN (services[i].calls * PRESSURE_SCALE, PRESSURE_CALLS_MAX)
    };
}

static void *
share_bytes (void *data)
{
  struct byte_budget_bytes *bytes = data;

  bytes->users++;
  return bytes;
}

/* Sends a response; the parts of its body after the first are not copied if
   they are in `shared`, which may be NULL.  */
static void
send_response (struct serve *s, const struct serve_job *job,
               struct wire_response *r, struct byte_budget_bytes *shared)
{
  const struct wire_bytes parts
      = { .bytes = r->body,
          .share = shared != NULL ? share_bytes : NULL,
          .put = byte_budget_put_bytes,
          .data = shared };
  const struct wire_request *q = &job->message.u.request;
  struct wire_message m = { .type = WIRE_RESPONSE };
  struct pressure_report reports[PRESSURE_PATH_SERVICES_MAX];
  struct pressure_downstream_service services[PRESSURE_PATH_SERVICES_MAX];
  struct evbuffer *frames = evbuffer_new ();
  struct str_buf out = { 0 };
  struct str body = r->body;
  int64_t now_us = clock_now_us ();

  r->request_id = q->request_id;
  r->attempt = q->attempt;
  r->in_flight
      = s->running_jobs + s->admit_ops->get_length (s->admission_queue);
  r->limit = serve_warmup_get_limit (s, s->limit_ops->get (&s->limit, now_us),
                                     now_us);
  r->success_permille = success_rate_get_permille (&s->success, now_us);
  r->arrivals_per_s = load_meter_get_arrivals_per_s (&s->load_meter, now_us);
  r->service_us = load_meter_get_service_us (&s->load_meter, now_us);
  r->residence_us = (uint32_t)CLAMP (now_us - job->arrived_us, 0, UINT32_MAX);
  r->last_part = body.len <= WIRE_BODY_PART_MAX_BYTES;
  r->body = str_slice (body, 0, WIRE_BODY_PART_MAX_BYTES);
  add_pressure_reports (s, r, reports, services);
  m.u.response = *r;
  wire_append_message (&out, &m);
  evbuffer_add (frames, out.data, out.len);
  wire_add_body_parts (frames,
                       &(struct wire_body){ .request_id = q->request_id,
                                            .attempt = q->attempt },
                       &parts);
  peer_link_send_buffer (&s->links, job->link, frames);
  evbuffer_free (frames);
  str_reset (&out);
  r->pressures = NULL;
  r->pressures_len = 0;
}

/* Collects the admission threshold (the lowest importance accepted) of this
   service and those in the responses to nested calls.  Returns their
   number.  */
static uint32_t
collect_thresholds (struct serve *s, const struct hop_token_usage *usage,
                    struct wire_threshold *out)
{
  uint32_t len = 0;

  out[len++] = (struct wire_threshold){
    s->backend.service, s->admit_ops->get_threshold (s->admission_queue)
  };
  if (usage == NULL)
    return len;
  for (uint32_t i = 0; i < usage->thresholds_len && len < WIRE_THRESHOLDS_MAX;
       i++)
    out[len++] = (struct wire_threshold){ hop_token_view_text (
                                              &usage->thresholds[i].service),
                                          usage->thresholds[i].level };
  return len;
}

/* Public functions */

void
serve_response_finish (struct serve *s, struct serve_job *job)
{
  if (job->state == SERVE_FINISHED)
    return;
  job->state = SERVE_FINISHED;
  g_array_append_val (s->finished, job->id);
}

void
serve_response_fail (struct serve *s, struct serve_job *job,
                     enum err_kind error, const struct hop_token_usage *usage)
{
  struct wire_threshold thresholds[WIRE_THRESHOLDS_MAX];
  struct wire_response r = { .thresholds = thresholds, .body = STR_EMPTY };

  r.error = serve_resend_get_error (job, error);
  r.thresholds_len = collect_thresholds (s, usage, thresholds);
  r.unused_budget = usage != NULL ? usage->unused_budget
                                  : job->message.u.request.retry_budget;
  if (err_is_not_run (error))
    attempt_void (&s->attempts, job->message.u.request.attempt);
  send_response (s, job, &r, NULL);
  serve_response_finish (s, job);
}

void
serve_response_send (struct serve *s, struct serve_job *job,
                     const struct http_client_answer *answer,
                     const struct hop_token_usage *usage)
{
  struct wire_header headers[WIRE_HEADERS_MAX];
  struct wire_threshold thresholds[WIRE_THRESHOLDS_MAX];
  struct wire_response r = { .error = ERR_NONE,
                             .status = (uint32_t)answer->status,
                             .headers = headers,
                             .thresholds = thresholds,
                             .unused_budget = usage->unused_budget,
                             .body = answer->body };
  struct byte_budget_bytes *shared = NULL;

  for (uint32_t i = 0;
       i < answer->headers_len && r.headers_len < WIRE_HEADERS_MAX; i++)
    if (!is_connection_header (answer->headers[i].name)
        && !is_named_by_connection (answer, answer->headers[i].name))
      headers[r.headers_len++]
          = (struct wire_header){ answer->headers[i].name,
                                  answer->headers[i].value };
  r.thresholds_len = collect_thresholds (s, usage, thresholds);
  attempt_finish (&s->attempts, job->message.u.request.attempt);
  if (answer->body.len > WIRE_BODY_PART_MAX_BYTES)
    shared = http_client_take_body (answer);
  send_response (s, job, &r, shared);
  if (shared != NULL)
    byte_budget_put_bytes (NULL, 0, shared);
  serve_response_finish (s, job);
}
