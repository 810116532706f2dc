/* serve_warmup: the warm-up limit of the serve thread, which sends a cold
   backend server no more than its service's limit.  */

#include "serve_warmup.h"

#include "clock.h"
#include "logger.h"
#include "serve_response.h"

#include <glib.h>

/* Constants */

#define PER_1000_S 1000.0
/* A request for another instance than the one at this address: the backend
   server was restarted.  */
#define STATUS_MISDIRECTED 421

/* Internal functions */

static bool
is_connection_broken (const struct http_client_answer *answer)
{
  if (answer->result == HTTP_CLIENT_NOT_CONNECTED)
    return true;
  return answer->result == HTTP_CLIENT_FAILED
         && (answer->fault == HTTP_FAULT_NONE
             || answer->fault == HTTP_FAULT_TRUNCATED
             || answer->fault == HTTP_FAULT_RESET
             || answer->fault == HTTP_FAULT_NOT_ACCEPTED);
}

/* Returns true while it is not known whether a limit is configured, although
   the settings name one of its bounds.  */
static bool
is_configuration_missing (const struct serve *s)
{
  return s->snapshot == NULL && s->shared->settings->cold_overage > 0;
}

static GArray *
collect_queued (struct serve *s)
{
  GArray *items = g_array_sized_new (
      FALSE, FALSE, sizeof (struct warmup_limit_item), s->jobs.count);
  struct serve_job *job;

  for (uint64_t id = table_next (&s->jobs, 0, (void **)&job); id != 0;
       id = table_next (&s->jobs, id, (void **)&job))
    {
      const struct wire_request *q = &job->message.u.request;
      struct warmup_limit_item item = { .id = id,
                                        .importance = q->importance,
                                        .due_us = job->due_us,
                                        .deadline_us = job->deadline_us,
                                        .expected_us = service_time_get_us (
                                            &s->service_times, q->route) };

      if (job->state == SERVE_QUEUED)
        g_array_append_val (items, item);
    }
  return items;
}

static void
refuse_job (struct serve *s, struct serve_job *job)
{
  s->admit_ops->remove (s->admission_queue, job->admission_entry);
  metrics_increment (s->shared->metric_rows.cold_refusals, 1);
  serve_response_fail (s, job, ERR_BACKEND_COLD, NULL);
}

/* Public functions */

void
serve_warmup_configure (struct serve *s)
{
  const struct inventory_service *service = NULL;
  double overage = s->shared->settings->cold_overage;

  if (s->snapshot != NULL && s->backend.service.len > 0)
    service = inventory_find (&s->snapshot->config->inventory,
                              INVENTORY_SERVICE, s->backend.service);
  if (service == NULL || service->cold_start_ms == 0)
    warmup_limit_set_rate (&s->warmup, 0, 1);
  else
    warmup_limit_set_rate (&s->warmup, service->cold_per_1000_s / PER_1000_S,
                           overage > 0 ? overage
                                       : WARMUP_LIMIT_OVERAGE_DEFAULT);
}

void
serve_warmup_record_answer (struct serve *s,
                            const struct http_client_answer *answer,
                            int64_t sent_us, int64_t now_us)
{
  if (answer->result == HTTP_CLIENT_NOT_CONNECTED)
    warmup_limit_cancel_send (&s->warmup, sent_us);
  if (is_connection_broken (answer)
      || (answer->result == HTTP_CLIENT_ANSWERED
          && answer->status == STATUS_MISDIRECTED))
    warmup_limit_forget (&s->warmup, now_us);
}

/**
 * serve_warmup_dispatch - sends queued jobs to a cold backend server
 * @s: thread's state
 * @limit: concurrency limit
 * @now_us: current time
 *
 * The order is that of warmup_limit_decide, whatever the admission policy is.
 * While nothing may be sent, the jobs are looked at once a tick.
 *
 * Return: false if the limit does not apply.
 */
bool
serve_warmup_dispatch (struct serve *s, uint32_t limit, int64_t now_us)
{
  GArray *items;

  if (is_configuration_missing (s))
    return true;
  if (!warmup_limit_is_cold (&s->warmup, now_us))
    return false;
  if (s->http_pool == NULL
      || (now_us < s->next_tick_us
          && warmup_limit_get_allowance (&s->warmup, now_us) == 0))
    return true;
  items = collect_queued (s);
  warmup_limit_decide (&s->warmup, (struct warmup_limit_item *)items->data,
                       items->len, now_us);
  for (guint i = 0; i < items->len; i++)
    {
      const struct warmup_limit_item *item
          = &g_array_index (items, struct warmup_limit_item, i);
      struct serve_job *job = table_get (&s->jobs, item->id);

      if (item->decision == WARMUP_LIMIT_REFUSE)
        refuse_job (s, job);
      else if (item->decision == WARMUP_LIMIT_START && s->running_jobs < limit)
        {
          s->admit_ops->remove (s->admission_queue, job->admission_entry);
          serve_start_job (s, job, now_us);
        }
    }
  g_array_unref (items);
  return true;
}

uint32_t
serve_warmup_get_limit (const struct serve *s, uint32_t limit, int64_t now_us)
{
  if (!warmup_limit_is_cold (&s->warmup, now_us))
    return limit;
  return warmup_limit_get_concurrency (&s->warmup, limit, s->mean_service_us);
}

void
serve_warmup_run (struct serve *s, int64_t now_us)
{
  bool cold = s->backend_state == SERVE_BACKEND_SERVING
              && warmup_limit_is_cold (&s->warmup, now_us);
  bool known = s->warmup.cold_until_us != WARMUP_LIMIT_UNKNOWN;

  if (cold == s->cold)
    return;
  s->cold = cold;
  metrics_set (s->shared->metric_rows.backend_cold, cold);
  LOGGER_WRITE (
      LOGGER_INFO, cold ? "warmup_began" : "warmup_ended",
      LOGGER_TEXT ("backend", s->backend.id),
      LOGGER_NUMBER ("requests_per_window", s->warmup.per_window),
      LOGGER_NUMBER ("remaining_ms",
                     cold && known
                         ? (s->warmup.cold_until_us - now_us) / CLOCK_US_PER_MS
                         : 0));
}
