/* serve: the traffic thread that serves the backend server of this VM.  A job
   is one request that it received from a front, a thread that receives
   callers' requests.  */

#include "serve.h"

#include "clock.h"
#include "logger.h"
#include "serve_resend.h"
#include "serve_response.h"
#include "serve_run.h"
#include "serve_warmup.h"
#include "trace.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define SERVE_ATTEMPTS_MAX 65536u
#define SERVE_TICK_US 10000
/* Interval of the log line about the load.  A longer interval would not show
   how an overload of a few seconds develops.  */
#define SERVE_LOG_US 1000000
#define SERVE_ATTEMPTS_SWEPT_PER_TICK 1024u
/* Held for a job beside its frame: its row and the head that is written to the
   backend server.  */
#define SERVE_JOB_BYTES ((size_t)4096)

/* Internal functions: messages from fronts */

/* Begins the span that is the parent of the spans of the backend server and of
   nested calls.  */
static void
begin_span (struct serve_job *job)
{
  job->traced = trace_parse_parent (job->message.u.request.traceparent,
                                    &job->trace_parent);
  if (!job->traced)
    return;
  trace_begin_child (&job->trace, &job->trace_parent);
  trace_append_parent (&job->traceparent, &job->trace);
}

/* Reserves bytes for a job, which is refused as not run if they do not
   fit.  */
static bool
reserve_for_job (struct serve *s, size_t bytes)
{
  if (byte_budget_reserve (&s->slice, (int64_t)bytes))
    return true;
  metrics_increment (s->shared->metric_rows.memory_refusals_serve, 1);
  return false;
}

/* Adds a part of the body.  Its bytes are freed and released once they are
   written to the backend server, or with the job.  */
static bool
add_part (struct serve *s, struct serve_job *job, struct str bytes)
{
  struct byte_budget_holder held = { .bytes = (int64_t)bytes.len };
  struct byte_budget_bytes *part;

  if (!reserve_for_job (s, bytes.len))
    return false;
  part = byte_budget_share (str_dup_cstr (bytes), &s->slice, &held);
  evbuffer_add_reference (job->more_body, part->data, bytes.len,
                          byte_budget_put_bytes, part);
  return true;
}

static void
receive_request (struct serve *s, uint64_t link, struct str frame)
{
  struct serve_job *job;
  uint64_t id = table_add (&s->jobs, (void **)&job);
  int64_t now_us = clock_now_us ();

  job->id = id;
  job->serve = s;
  job->link = link;
  job->frame = str_copy (frame);
  job->arrived_us = now_us;
  if (!wire_load_message (&job->message, job->frame))
    {
      str_free (&job->frame);
      table_remove (&s->jobs, id);
      return;
    }
  atomic_fetch_add (&s->shared->open_jobs, 1);
  job->deadline_us = now_us + job->message.u.request.timeout_us;
  job->due_us = now_us + job->message.u.request.due_in_us;
  begin_span (job);
  switch (attempt_receive (&s->attempts, job->message.u.request.attempt, id,
                           job->deadline_us, now_us))
    {
    case ATTEMPT_ACCEPTED:
      break;
    case ATTEMPT_FULL:
      serve_response_fail (s, job, ERR_OVERLOADED, NULL);
      return;
    default: /* received before, or voided: must not run */
      serve_response_finish (s, job);
      return;
    }
  if (!reserve_for_job (s, SERVE_JOB_BYTES + frame.len))
    {
      serve_response_fail (s, job, ERR_OVERLOADED, NULL);
      return;
    }
  job->reserved = (int64_t)(SERVE_JOB_BYTES + frame.len);
  job->body_len = job->message.u.request.body.len;
  if (!job->message.u.request.last_part)
    {
      job->state = SERVE_RECEIVING;
      job->more_body = evbuffer_new ();
      return;
    }
  job->state = SERVE_ARRIVED;
  g_array_append_val (s->arrived, id);
}

static void
receive_body (struct serve *s, uint64_t link, const struct wire_body *b)
{
  struct serve_job *job
      = table_get (&s->jobs, attempt_get_job (&s->attempts, b->attempt));

  if (job == NULL || job->state != SERVE_RECEIVING || job->link != link)
    return;
  if (job->body_len + b->bytes.len
      > (size_t)s->shared->settings->limits.body_bytes)
    {
      serve_response_fail (s, job, ERR_BODY_TOO_LARGE, NULL);
      return;
    }
  if (!add_part (s, job, b->bytes))
    {
      serve_response_fail (s, job, ERR_OVERLOADED, NULL);
      return;
    }
  job->body_len += b->bytes.len;
  if (!b->last_part)
    return;
  job->state = SERVE_ARRIVED;
  g_array_append_val (s->arrived, job->id);
}

/* Ends a job whose front no longer waits for the response.  A running request
   is cancelled only if it is idempotent; any other runs to its end.  */
static void
abandon_job (struct serve *s, struct serve_job *job, bool cancelled)
{
  struct hop_token_usage usage = { 0 };

  switch (job->state)
    {
    case SERVE_RECEIVING:
    case SERVE_ARRIVED:
    case SERVE_PAUSED:
      attempt_void (&s->attempts, job->message.u.request.attempt);
      serve_response_finish (s, job);
      return;
    case SERVE_QUEUED:
      s->admit_ops->remove (s->admission_queue, job->admission_entry);
      attempt_void (&s->attempts, job->message.u.request.attempt);
      serve_response_finish (s, job);
      return;
    case SERVE_RUNNING:
      if (!job->message.u.request.idempotent)
        return;
      http_client_cancel (job->exchange);
      job->exchange = NULL;
      serve_run_release_slot (s, job, false, false, &usage, clock_now_us ());
      attempt_finish (&s->attempts, job->message.u.request.attempt);
      serve_response_finish (s, job);
      return;
    case SERVE_FINISHED:
      return;
    }
}

static void
receive_query (struct serve *s, uint64_t link, const struct wire_query *q)
{
  struct wire_message m = { .type = WIRE_OUTCOME };
  struct str_buf out = { 0 };
  struct serve_job *job;
  uint64_t id = 0;

  m.u.outcome.attempt = q->attempt;
  m.u.outcome.state
      = attempt_query (&s->attempts, q->attempt, q->void_duration_us,
                       q->attempt_age_us, clock_now_us (), &id);
  job = table_get (&s->jobs, id);
  if (job != NULL)
    abandon_job (s, job, true);
  wire_append_message (&out, &m);
  peer_link_send (&s->links, link, str_view (&out));
  str_reset (&out);
}

static void
on_frame (void *owner, uint64_t link, struct str frame)
{
  struct serve *s = owner;
  struct wire_message m;
  struct serve_job *job;

  if (!wire_load_message (&m, frame))
    {
      metrics_increment (s->shared->metric_rows.bad_frames, 1);
      peer_link_fail (&s->links, link);
      return;
    }
  switch (m.type)
    {
    case WIRE_REQUEST:
      receive_request (s, link, frame);
      break;
    case WIRE_BODY:
      receive_body (s, link, &m.u.body);
      break;
    case WIRE_CANCEL:
      job = table_get (&s->jobs,
                       attempt_get_job (&s->attempts, m.u.cancel.attempt));
      if (job != NULL && job->link == link)
        abandon_job (s, job, true);
      break;
    case WIRE_QUERY:
      receive_query (s, link, &m.u.query);
      break;
    default:
      metrics_increment (s->shared->metric_rows.bad_frames, 1);
      break;
    }
  wire_unload_message (&m);
}

static void
on_link_close (void *owner, uint64_t link, bool connected)
{
  struct serve *s = owner;
  struct serve_job *job;

  for (uint64_t id = table_next (&s->jobs, 0, (void **)&job); id != 0;
       id = table_next (&s->jobs, id, (void **)&job))
    if (job->link == link)
      abandon_job (s, job, false);
}

static const struct peer_link_ops link_ops = { on_frame, on_link_close };

/* Internal functions: systems */

static void
set_backend (struct serve *s, struct thread_message *message, int64_t now_us)
{
  struct thread_message_backend old = s->backend;
  const struct settings *settings = s->shared->settings;

  warmup_limit_report (&s->warmup, message->backend.cold_us, now_us);
  /* A backend server repeats its announcement.  Only an announcement with
     changes begins a new slow start.  */
  if ((s->backend_state == SERVE_BACKEND_SERVING
       || s->backend_state == SERVE_BACKEND_DRAINING)
      && thread_message_equal_backend (&s->backend, &message->backend))
    return;
  if (s->http_pool != NULL
      && (old.port != message->backend.port
          || !str_equal (old.address, message->backend.address)
          || !str_equal (old.id, message->backend.id)
          || old.boot_ms != message->backend.boot_ms))
    {
      struct serve_job *job;

      for (uint64_t id = table_next (&s->jobs, 0, (void **)&job); id != 0;
           id = table_next (&s->jobs, id, (void **)&job))
        if (job->state == SERVE_RUNNING)
          {
            struct hop_token_usage usage = { 0 };

            http_client_cancel (job->exchange);
            job->exchange = NULL;
            serve_run_release_slot (s, job, true, false, &usage, now_us);
            serve_response_fail (s, job, ERR_BACKEND_FAILED, &usage);
          }
      http_client_unload_pool (s->http_pool);
      s->http_pool = NULL;
      s->success = (struct success_rate){ 0 };
      s->load_meter = (struct load_meter){ 0 };
    }
  if (s->http_pool == NULL)
    s->http_pool = http_client_load_pool (
        s->loop.base, message->backend.address, message->backend.port,
        MIN (message->backend.connections,
             (uint32_t)settings->backend_connections_max),
        (size_t)settings->limits.answer_bytes);
  http_client_set_slice (s->http_pool, &s->slice);
  s->backend = message->backend;
  message->backend = old;
  s->backend_state = SERVE_BACKEND_SERVING;
  serve_warmup_configure (s);
  LOGGER_WRITE (LOGGER_INFO, "backend_announced",
                LOGGER_TEXT ("service", s->backend.service),
                LOGGER_TEXT ("backend", s->backend.id),
                LOGGER_NUMBER ("slots", s->backend.slots));
  s->limit_ops->announce (
      &s->limit, MIN (s->backend.slots, s->backend.connections), now_us);
}

/* Fails the queued jobs when the backend server accepts no new requests, so
   that the fronts can retry them at another endpoint.  */
static void
fail_queued (struct serve *s, enum err_kind error)
{
  struct serve_job *job;

  for (uint64_t id = table_next (&s->jobs, 0, (void **)&job); id != 0;
       id = table_next (&s->jobs, id, (void **)&job))
    if (job->state == SERVE_QUEUED)
      {
        s->admit_ops->remove (s->admission_queue, job->admission_entry);
        serve_response_fail (s, job, error, NULL);
      }
}

static void
stop_backend (struct serve *s, enum serve_backend_state state)
{
  s->backend_state = state;
  LOGGER_WRITE (LOGGER_INFO, "backend_stopped",
                LOGGER_TEXT ("backend", s->backend.id),
                LOGGER_NUMBER ("running", s->running_jobs));
  fail_queued (s, ERR_BACKEND_LEAVING);
}

/* Requests that run are completed.  The backend server may have become cold
   unnoticed before the end of an evacuation.  */
static void
set_evacuated (struct serve *s, bool evacuated, int64_t now_us)
{
  bool ended = s->evacuation_known && s->evacuated && !evacuated;

  s->evacuation_known = true;
  s->evacuated = evacuated;
  if (evacuated)
    fail_queued (s, ERR_BACKEND_EVACUATED);
  if (ended)
    warmup_limit_forget (&s->warmup, now_us);
}

static void
run_messages (void *owner, int64_t now_us)
{
  struct serve *s = owner;
  struct thread_message *message;

  while ((message = mailbox_receive (&s->loop.inbox)) != NULL)
    {
      if (message->kind == THREAD_MESSAGE_ANNOUNCE)
        set_backend (s, message, now_us);
      if (message->kind == THREAD_MESSAGE_DRAIN
          && s->backend_state == SERVE_BACKEND_SERVING)
        stop_backend (s, SERVE_BACKEND_DRAINING);
      if (message->kind == THREAD_MESSAGE_LEAVE
          || message->kind == THREAD_MESSAGE_SHUTDOWN)
        stop_backend (s, SERVE_BACKEND_LEAVING);
      if (message->kind == THREAD_MESSAGE_HEARTBEAT)
        warmup_limit_report (&s->warmup, message->backend.cold_us, now_us);
      if (message->kind == THREAD_MESSAGE_EVACUATION)
        set_evacuated (s, message->evacuated, now_us);
      thread_message_free (message);
    }
}

static void
run_snapshot (void *owner, int64_t now_us)
{
  struct serve *s = owner;
  uint64_t generation = atomic_load (&s->shared->snapshots.generation);

  if (generation == s->snapshot_generation)
    return;
  snapshot_put (s->snapshot);
  s->snapshot = snapshot_get (&s->shared->snapshots);
  s->snapshot_generation = generation;
  serve_warmup_configure (s);
}

static uint32_t
get_weight (const struct serve *s, struct str workspace)
{
  const struct inventory_workspace *w = NULL;

  if (s->snapshot != NULL && workspace.len > 0)
    w = inventory_find (&s->snapshot->config->inventory, INVENTORY_WORKSPACE,
                        workspace);
  return w != NULL ? w->weight : 1;
}

static enum err_kind
check_arrived_job (const struct serve *s, const struct serve_job *job,
                   int64_t now_us)
{
  if (s->backend_state == SERVE_BACKEND_NONE)
    return ERR_NO_BACKEND;
  if (s->backend_state != SERVE_BACKEND_SERVING)
    return ERR_BACKEND_LEAVING;
  if (s->evacuated)
    return ERR_BACKEND_EVACUATED;
  if (!str_equal (job->message.u.request.service, s->backend.service))
    return ERR_NO_BACKEND;
  if (job->deadline_us <= now_us)
    return ERR_DEADLINE_NOT_RUN;
  return ERR_NONE;
}

/* Returns true if the entry daemon expects another endpoint to respond before
   this one would.  */
static bool
is_sooner_elsewhere (struct serve *s, const struct wire_request *q,
                     int64_t now_us)
{
  return load_meter_is_later_than (
      &s->load_meter,
      s->running_jobs + s->admit_ops->get_length (s->admission_queue),
      s->limit_ops->get (&s->limit, now_us), q->response_max_us, now_us);
}

/* Counts a request that arrives for the first time.  Returns the error with
   which it is refused, or ERR_NONE.  A request that is sent elsewhere is no load
   of this backend server.  */
static enum err_kind
record_arrival (struct serve *s, const struct wire_request *q,
                enum err_kind error, int64_t now_us)
{
  load_meter_record_arrival (&s->load_meter, now_us);
  if (error == ERR_NONE && is_sooner_elsewhere (s, q, now_us))
    return ERR_ENDPOINT_BUSY;
  s->arrivals_since_tick++;
  return error;
}

static void
admit_job (struct serve *s, struct serve_job *job, int64_t now_us)
{
  const struct wire_request *q = &job->message.u.request;
  struct admission_item item
      = { .job = job->id,
          .workspace = q->workspace.len > 0 ? str_hash (q->workspace) : 0,
          .weight = get_weight (s, q->workspace),
          .importance = q->importance,
          .deadline_us = job->deadline_us,
          .due_us = job->due_us,
          .expected_us = service_time_get_us (&s->service_times, q->route) };
  enum err_kind error = check_arrived_job (s, job, now_us);

  if (!job->rejected && job->waits == 0)
    error = record_arrival (s, q, error, now_us);
  if (error == ERR_NONE)
    error = s->admit_ops->offer (s->admission_queue, &item, now_us,
                                 &job->admission_entry);
  if (error != ERR_NONE)
    serve_response_fail (s, job, error, NULL);
  else
    job->state = SERVE_QUEUED;
}

static void
run_admission (void *owner, int64_t now_us)
{
  struct serve *s = owner;

  for (guint i = 0; i < s->arrived->len; i++)
    {
      struct serve_job *job
          = table_get (&s->jobs, g_array_index (s->arrived, uint64_t, i));

      if (job != NULL && job->state == SERVE_ARRIVED)
        admit_job (s, job, now_us);
    }
  g_array_set_size (s->arrived, 0);
}

/* Sends error responses for the jobs that the admission queue has dropped.  */
static void
fail_dropped (struct serve *s)
{
  struct admission_drop drop;

  while (s->admit_ops->pop_dropped (s->admission_queue, &drop))
    {
      struct serve_job *job = table_get (&s->jobs, drop.job);

      if (job != NULL && job->state == SERVE_QUEUED)
        serve_response_fail (s, job, drop.error, NULL);
    }
}

static void
run_dispatch (void *owner, int64_t now_us)
{
  struct serve *s = owner;
  uint32_t limit = s->limit_ops->get (&s->limit, now_us);
  struct admission_item item;

  s->admit_ops->set_limit (s->admission_queue, limit);
  if (serve_warmup_dispatch (s, limit, now_us))
    return;
  while (s->http_pool != NULL && s->running_jobs < limit
         && s->admit_ops->next (s->admission_queue, now_us, &item))
    {
      struct serve_job *job = table_get (&s->jobs, item.job);

      if (job != NULL && job->state == SERVE_QUEUED)
        serve_start_job (s, job, now_us);
    }
  fail_dropped (s);
}

/* Logs the inputs of the pressure controller once a second while requests are
   queued or the pressure makes entry daemons (those that callers are connected
   to) reject requests.  */
static void
log_load (struct serve *s, const struct pressure_load *load, int64_t now_us)
{
  s->arrivals_since_log += load->arrived;
  if (now_us < s->next_log_us)
    return;
  if (load->queued > 0 || pressure_get_permille (&s->pressure) > 0)
    LOGGER_WRITE (LOGGER_INFO, "backend_loaded",
                  LOGGER_TEXT ("service", s->backend.service),
                  LOGGER_NUMBER ("pressure_permille",
                                 pressure_get_permille (&s->pressure)),
                  LOGGER_NUMBER ("arrived", s->arrivals_since_log),
                  LOGGER_NUMBER ("running", s->running_jobs),
                  LOGGER_NUMBER ("limit", load->limit),
                  LOGGER_NUMBER ("queued", load->queued),
                  LOGGER_NUMBER ("service_us", load->service_us));
  s->arrivals_since_log = 0;
  s->next_log_us = now_us + SERVE_LOG_US;
}

static void
run_tick (void *owner, int64_t now_us)
{
  struct serve *s = owner;
  struct daemon_metrics *stats = &s->shared->metric_rows;
  struct pressure_load load;

  if (now_us < s->next_tick_us)
    return;
  s->next_tick_us = now_us + SERVE_TICK_US;
  serve_warmup_run (s, now_us);
  load = (struct pressure_load){
    .arrived = s->arrivals_since_tick,
    .limit = s->limit_ops->get (&s->limit, now_us),
    .queued = s->admit_ops->get_length (s->admission_queue),
    .service_us = (int64_t)s->mean_service_us
  };
  s->arrivals_since_tick = 0;
  pressure_run (&s->pressure, &load, now_us);
  log_load (s, &load, now_us);
  s->admit_ops->tick (s->admission_queue, now_us);
  s->limit_ops->tick (&s->limit, s->admit_ops->get_length (s->admission_queue),
                      now_us);
  attempt_expire (&s->attempts, SERVE_ATTEMPTS_SWEPT_PER_TICK, now_us);
  fail_dropped (s);
  metrics_set (stats->jobs_open, s->jobs.count);
  metrics_set (stats->jobs_queued,
               s->admit_ops->get_length (s->admission_queue));
  metrics_set (stats->jobs_running, s->running_jobs);
  metrics_set (stats->job_limit, s->limit_ops->get (&s->limit, now_us));
  metrics_set (stats->threshold,
               s->admit_ops->get_threshold (s->admission_queue));
}

static void
free_job (struct serve *s, struct serve_job *job)
{
  wire_unload_message (&job->message);
  str_free (&job->frame);
  if (job->more_body != NULL)
    evbuffer_free (job->more_body);
  byte_budget_release (&s->slice, job->reserved);
  str_reset (&job->traceparent);
  table_remove (&s->jobs, job->id);
  atomic_fetch_sub (&s->shared->open_jobs, 1);
}

static void
run_removal (void *owner, int64_t now_us)
{
  struct serve *s = owner;

  /* Before the jobs are closed: the daemon must not end in between.  */
  if (atomic_load (&s->shared->leaving))
    atomic_store (&s->shared->pending_response_bytes,
                  peer_link_get_all_pending_bytes (&s->links));
  for (guint i = 0; i < s->finished->len; i++)
    {
      struct serve_job *job
          = table_get (&s->jobs, g_array_index (s->finished, uint64_t, i));

      if (job != NULL)
        free_job (s, job);
    }
  g_array_set_size (s->finished, 0);
  loop_set_tick (&s->loop, SERVE_TICK_US);
}

static const struct system systems[] = {
  { "notes", run_messages },      { "snapshot", run_snapshot },
  { "resend", serve_resend_run }, { "admission", run_admission },
  { "dispatch", run_dispatch },   { "tick", run_tick },
  { "removal", run_removal },
};

/* Public functions */

/**
 * serve_init - sets up the serve thread
 * @s: thread's state
 * @shared: state shared by the threads; receives this thread's mailbox
 * @error: receives the reason of a failure
 *
 * Return: false if it cannot listen on the peer port or a policy is unknown.
 */
bool
serve_init (struct serve *s, struct daemon_context *shared, GError **error)
{
  const struct settings *settings = shared->settings;
  struct admission_settings admit_settings = admission_get_defaults ();
  struct concurrency_limit_settings limit_settings
      = concurrency_limit_get_defaults ();

  memset (s, 0, sizeof *s);
  s->shared = shared;
  byte_budget_open_slice (&s->slice, &shared->byte_budget);
  s->backend.service = STR_EMPTY;
  s->backend.address = STR_EMPTY;
  s->backend.id = STR_EMPTY;
  s->evacuated = settings->evacuation_bound_ms > 0;
  warmup_limit_init (&s->warmup, clock_now_us ());
  s->admit_ops = admission_find_ops (settings->policy.admit);
  s->limit_ops = concurrency_limit_find_ops (settings->policy.limit);
  if (s->admit_ops == NULL || s->limit_ops == NULL
      || !loop_init (&s->loop, systems, G_N_ELEMENTS (systems), s))
    {
      g_set_error (error, ERR_QUARK, ERR_SETTINGS_INVALID,
                   "unknown admit or limit policy");
      return false;
    }
  s->admission_queue = s->admit_ops->init (&admit_settings);
  s->limit_ops->init (&s->limit, &limit_settings);
  service_time_init (&s->service_times);
  serve_resend_init (s);
  attempt_init (&s->attempts, SERVE_ATTEMPTS_MAX, clock_now_us ());
  table_init (&s->jobs, sizeof (struct serve_job));
  s->arrived = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  s->finished = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  peer_link_init_set (&s->links, s->loop.base, &link_ops, s);
  shared->serve = &s->loop.inbox;
  if (peer_link_listen (&s->links, settings->address,
                        (uint16_t)settings->ports.peer))
    return true;
  g_set_error (error, ERR_QUARK, ERR_SETTINGS_INVALID,
               "cannot listen on %.*s port %d (peer)",
               STR_ARG (settings->address), (int)settings->ports.peer);
  return false;
}

void
serve_start_job (struct serve *s, struct serve_job *job, int64_t now_us)
{
  if (!serve_resend_allow (s, job, now_us))
    return;
  if (attempt_start (&s->attempts, job->message.u.request.attempt))
    serve_run_send (s, job, now_us);
  else
    serve_response_finish (s, job);
}

void
serve_close (struct serve *s)
{
  struct serve_job *job;

  if (s->http_pool != NULL)
    http_client_unload_pool (s->http_pool);
  for (uint64_t id = table_next (&s->jobs, 0, (void **)&job); id != 0;
       id = table_next (&s->jobs, id, (void **)&job))
    free_job (s, job);
  peer_link_close_set (&s->links);
  table_close (&s->jobs);
  g_array_unref (s->arrived);
  g_array_unref (s->finished);
  attempt_close (&s->attempts);
  service_time_close (&s->service_times);
  serve_resend_close (s);
  s->admit_ops->close (s->admission_queue);
  str_free (&s->backend.service);
  str_free (&s->backend.address);
  str_free (&s->backend.id);
  snapshot_put (s->snapshot);
  loop_close (&s->loop);
  byte_budget_close_slice (&s->slice);
}
