/* serve_resend: sends requests that the backend server rejected as not run to
   it again.  Part of serve.  */

#include "serve_resend.h"

#include "clock.h"
#include "logger.h"
#include "serve.h"
#include "serve_response.h"

/* Constants */

/* Pause before a job is sent again, or before its credit is asked for again.
   Rejections by a backend server with free slots are independent of each other
   after a few ms, and a page of four calls has several pauses.  */
#define PAUSE_MIN_US 2000
#define PAUSE_SPREAD_US 4000
/* Sends of one job after the first.  At 55 rejections in 100, nine of ten jobs
   are run by then; the others are tried elsewhere.  */
#define RESENDS_MAX 3u
/* Pauses of a job for credit before each send: at most 48 ms.  */
#define WAITS_MAX 8u
/* The backend server is not full if at most this share of its slots is in use
   when it rejects a request.  */
#define NOT_FULL_SHARE 0.75
#define STATUS_MISDIRECTED 421 /* for another backend server */
#define UPDATE_INTERVAL_US 1000000

/* Internal functions */

static struct repeat_budget_request
describe_job (const struct serve_job *job, int64_t now_us)
{
  const struct wire_request *q = &job->message.u.request;

  return (struct repeat_budget_request){
    .route = q->route,
    .importance = q->importance,
    .left_us = job->deadline_us - now_us,
    /* a call by a retried execution arrives for the first time */
    .inherited = q->retry == WIRE_RETRY_INHERITED && !job->rejected,
    .asked = job->waits > 0
  };
}

static bool
is_retry (const struct serve_job *job)
{
  return job->rejected || job->message.u.request.retry != WIRE_RETRY_NONE;
}

static void
ignore_event (evutil_socket_t fd, short what, void *data)
{
}

/* Wakes the loop, which then runs all systems, at the end of a pause.  */
static void
start_timer (struct serve_resend *r, int64_t delay_us)
{
  struct timeval delay
      = { delay_us / CLOCK_US_PER_S, delay_us % CLOCK_US_PER_S };

  event_add (r->resume, &delay);
}

static bool
has_time (struct serve *s, const struct serve_job *job, int64_t pause_us,
          int64_t now_us)
{
  int64_t service_us
      = service_time_get_us (&s->service_times, job->message.u.request.route);

  return now_us + pause_us + service_us < job->deadline_us;
}

/* Returns true for a rejection that the policy handles.  One by a backend
   server that another instance was expected at would be repeated.  */
static bool
is_counted_rejection (const struct serve *s,
                      const struct http_client_answer *answer,
                      enum err_kind error)
{
  return s->resend.ops != NULL && error == ERR_BACKEND_REFUSED
         && answer->status != STATUS_MISDIRECTED;
}

static bool
pause_job (struct serve *s, struct serve_job *job, int64_t now_us)
{
  struct serve_resend *r = &s->resend;
  int64_t pause_us
      = PAUSE_MIN_US + g_rand_int_range (r->rand, 0, PAUSE_SPREAD_US + 1);

  if (s->backend_state != SERVE_BACKEND_SERVING
      || !has_time (s, job, pause_us, now_us))
    return false;
  job->state = SERVE_PAUSED;
  job->resume_us = now_us + pause_us;
  g_array_append_val (r->paused, job->id);
  if (!evtimer_pending (r->resume, NULL))
    start_timer (r, pause_us);
  return true;
}

/* Once a second, also logs what the ledger has allowed.  */
static void
update_ledger (struct serve *s, int64_t now_us)
{
  struct serve_resend *r = &s->resend;

  if (now_us < r->next_update_us)
    return;
  r->next_update_us = now_us + UPDATE_INTERVAL_US;
  repeat_budget_expire (&r->ledger, now_us);
  if (r->allowed + r->refused > 0)
    LOGGER_WRITE (
        LOGGER_INFO, "retries_limited",
        LOGGER_TEXT ("service", s->backend.service),
        LOGGER_NUMBER ("allowed", r->allowed),
        LOGGER_NUMBER ("refused", r->refused),
        LOGGER_NUMBER ("window_firsts",
                       repeat_budget_count_firsts (&r->ledger, now_us)),
        LOGGER_NUMBER ("window_retries",
                       repeat_budget_count_retries (&r->ledger, now_us)));
  r->allowed = r->refused = 0;
}

/* Public functions */

void
serve_resend_init (struct serve *s)
{
  const struct settings_retry *settings = &s->shared->settings->retry;
  struct repeat_budget_settings limits
      = { .ratio = settings->ratio,
          .window_us = settings->window_ms * CLOCK_US_PER_MS };
  struct serve_resend *r = &s->resend;

  r->ops = repeat_budget_find_ops (settings->ledger);
  repeat_budget_init (&r->ledger, &limits);
  r->paused = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  r->resume = evtimer_new (s->loop.base, ignore_event, NULL);
  r->rand = g_rand_new ();
}

void
serve_resend_close (struct serve *s)
{
  struct serve_resend *r = &s->resend;

  repeat_budget_close (&r->ledger);
  g_array_unref (r->paused);
  event_free (r->resume);
  g_rand_free (r->rand);
}

bool
serve_resend_is_rejection (const struct serve *s,
                           const struct http_client_answer *answer,
                           enum err_kind error)
{
  return is_counted_rejection (s, answer, error)
         && s->running_jobs <= NOT_FULL_SHARE * s->backend.slots;
}

/**
 * serve_resend_get_answer_error - returns the error to report for an answer
 * @s: serve thread
 * @answer: answer of the backend server
 * @rejected: result of serve_resend_is_rejection
 * @error: error of the answer
 *
 * Return: %ERR_OVERLOADED, which is not retried, if a full backend server
 * rejected the request; otherwise @error.
 */
enum err_kind
serve_resend_get_answer_error (const struct serve *s,
                               const struct http_client_answer *answer,
                               bool rejected, enum err_kind error)
{
  return is_counted_rejection (s, answer, error) && !rejected ? ERR_OVERLOADED
                                                              : error;
}

/**
 * serve_resend_record_arrival - records the arrival of a job
 * @s: serve thread
 * @job: job that has ended at the backend server
 * @answer: its answer
 * @now_us: current time
 *
 * The first arrival is recorded only now, since a request that could not be
 * sent did not arrive.
 */
void
serve_resend_record_arrival (struct serve *s, const struct serve_job *job,
                             const struct http_client_answer *answer,
                             int64_t now_us)
{
  struct repeat_budget_request request = describe_job (job, job->started_us);

  if (s->resend.ops == NULL || is_retry (job)
      || answer->result == HTTP_CLIENT_NOT_CONNECTED)
    return;
  repeat_budget_record_first (&s->resend.ledger, &request, now_us);
  metrics_increment (s->shared->metric_rows.first_arrivals, 1);
}

/**
 * serve_resend_pause - pauses a rejected job
 * @s: serve thread
 * @job: running job that the backend server did not run
 * @now_us: current time
 *
 * Its attempt is queued from then on: a WIRE_QUERY or a cancellation voids it,
 * and it is then not sent again.
 *
 * A body in several parts is not kept for this.
 *
 * Return: false if the job has to be answered as not run.
 */
bool
serve_resend_pause (struct serve *s, struct serve_job *job, int64_t now_us)
{
  job->waits = 0;
  /* The parts of a long body were freed as they were written.  */
  if (job->more_body != NULL || job->sends > RESENDS_MAX
      || !pause_job (s, job, now_us))
    return false;
  attempt_requeue (&s->attempts, job->message.u.request.attempt);
  return true;
}

bool
serve_resend_allow (struct serve *s, struct serve_job *job, int64_t now_us)
{
  struct serve_resend *r = &s->resend;
  struct repeat_budget_request request = describe_job (job, now_us);
  enum repeat_budget_decision decision;

  if (r->ops == NULL || !is_retry (job))
    return true;
  decision = r->ops->ask (&r->ledger, &request, now_us);
  if (decision == REPEAT_BUDGET_ALLOWED)
    {
      r->allowed++;
      metrics_increment (s->shared->metric_rows.retries_allowed, 1);
      if (job->rejected)
        metrics_increment (s->shared->metric_rows.resends, 1);
      return true;
    }
  if (decision == REPEAT_BUDGET_WAIT && job->waits++ < WAITS_MAX
      && pause_job (s, job, now_us))
    return false;
  r->refused++;
  metrics_increment (s->shared->metric_rows.retries_refused, 1);
  serve_response_fail (s, job, ERR_RETRY_REFUSED, NULL);
  return false;
}

enum err_kind
serve_resend_get_error (const struct serve_job *job, enum err_kind error)
{
  if (!job->rejected)
    return error;
  switch (error)
    {
    case ERR_RETRY_REFUSED:
    case ERR_BACKEND_LEAVING:
    case ERR_BACKEND_UNREACHABLE:
    case ERR_BACKEND_COLD:
    case ERR_BACKEND_EVACUATED:
    case ERR_NO_BACKEND:
    case ERR_SHUTTING_DOWN:
      return ERR_BACKEND_REFUSED;
    default:
      return error;
    }
}

void
serve_resend_run (void *owner, int64_t now_us)
{
  struct serve *s = owner;
  struct serve_resend *r = &s->resend;
  int64_t next_us = INT64_MAX;

  if (r->ops == NULL)
    return;
  for (guint i = r->paused->len; i > 0; i--)
    {
      struct serve_job *job
          = table_get (&s->jobs, g_array_index (r->paused, uint64_t, i - 1));

      if (job != NULL && job->state == SERVE_PAUSED && job->resume_us > now_us)
        {
          next_us = MIN (next_us, job->resume_us);
          continue;
        }
      g_array_remove_index_fast (r->paused, i - 1);
      if (job == NULL || job->state != SERVE_PAUSED)
        continue;
      job->state = SERVE_ARRIVED;
      g_array_append_val (s->arrived, job->id);
    }
  if (next_us != INT64_MAX)
    start_timer (r, next_us - now_us);
  update_ledger (s, now_us);
}
