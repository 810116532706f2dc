/* daemon_metrics: the metrics that the daemon exports.  */

#include "daemon_metrics.h"

#include <stddef.h>

/* Types */

struct daemon_metrics_row
{
  struct metrics_definition definition;
  size_t offset; /* offset of the row pointer in struct daemon_metrics */
};

/* Constants */

static const struct metrics_definition answers
    = { METRICS_COUNTER, "almondvale_answers_total",
        "Answers given to callers and nested calls.", "error" };

static const struct metrics_definition connections_open
    = { METRICS_GAUGE, "almondvale_connections_open",
        "Open connections of a listener.", "listener" };
static const struct metrics_definition connections_accepted
    = { METRICS_COUNTER, "almondvale_connections_accepted_total",
        "Connections that a listener has accepted.", "listener" };
static const struct metrics_definition listeners_waiting
    = { METRICS_GAUGE, "almondvale_listeners_waiting",
        "Listeners with a connection that is not accepted yet.", "listener" };

static const struct metrics_definition memory_refusals
    = { METRICS_COUNTER, "almondvale_memory_refusals_total",
        "Requests refused because they did not fit the limit on memory.",
        "place" };
static const struct metrics_definition connections_closed
    = { METRICS_COUNTER, "almondvale_connections_closed_total",
        "Connections of callers closed because of a limit.", "reason" };

static const struct str listener_names[DAEMON_METRICS_LISTENERS]
    = { STR_LIT ("caller"), STR_LIT ("local"), STR_LIT ("health") };

#define ROW(type, name, help, member)                                         \
  {                                                                           \
    { METRICS_##type, name, help, NULL },                                     \
        offsetof (struct daemon_metrics, member)                              \
  }

static const struct daemon_metrics_row rows[] = {
  ROW (HISTOGRAM, "almondvale_call_seconds",
       "Time from the whole request to its answer at the front.", call_time),
  ROW (COUNTER, "almondvale_attempts_total",
       "Requests sent to serving daemons, retries included.", attempts),
  ROW (COUNTER, "almondvale_retries_total", "Attempts after the first one.",
       retries),
  ROW (COUNTER, "almondvale_queries_total",
       "Questions about the outcome of attempts after a broken link.",
       queries),
  ROW (COUNTER, "almondvale_late_responses_total",
       "Responses without a waiting call, dropped.", late_responses),
  ROW (COUNTER, "almondvale_bad_frames_total",
       "Frames that could not be decoded; the link is closed.", bad_frames),
  ROW (GAUGE, "almondvale_calls_open", "Calls open at the fronts.",
       calls_open),
  ROW (GAUGE, "almondvale_jobs_open", "Jobs open at the serve thread.",
       jobs_open),
  ROW (GAUGE, "almondvale_jobs_queued", "Jobs in the admission queue.",
       jobs_queued),
  ROW (GAUGE, "almondvale_jobs_running", "Jobs at the backend server.",
       jobs_running),
  ROW (GAUGE, "almondvale_job_limit", "Concurrency limit in force.",
       job_limit),
  ROW (GAUGE, "almondvale_admission_threshold",
       "Lowest importance accepted; 10 rejects everything.", threshold),
  ROW (HISTOGRAM, "almondvale_queue_seconds", "Time in the admission queue.",
       queue_time),
  ROW (HISTOGRAM, "almondvale_service_seconds",
       "Time of the backend server for one request.", service_time),
  ROW (COUNTER, "almondvale_executions_total",
       "Requests handed to the backend server.", executions),
  ROW (GAUGE, "almondvale_configuration_revision",
       "Configuration revision in force.", revision),
  ROW (GAUGE, "almondvale_members", "Daemons known, this one included.",
       members),
  ROW (COUNTER, "almondvale_control_sent_bytes_total",
       "Bytes of control messages sent, without IP headers.",
       control_bytes_sent),
  ROW (COUNTER, "almondvale_control_received_bytes_total",
       "Bytes of control messages received, without IP headers.",
       control_bytes_received),
  ROW (COUNTER, "almondvale_answers_dropped_total",
       "Answers replaced by 502 because they did not fit the limit on memory.",
       answers_dropped),
  ROW (GAUGE, "almondvale_memory_free_bytes",
       "Bytes of the limit on memory that no thread has reserved.",
       memory_free),
  ROW (GAUGE, "almondvale_memory_limit_bytes",
       "Limit on the bytes held for others.", memory_total),
};

/* Public functions */

void
daemon_metrics_init (struct daemon_metrics *s, struct metrics *m)
{
  for (int kind = 0; kind < ERR_KINDS; kind++)
    s->answers[kind] = metrics_register (
        m, &answers,
        str_from_cstr (err_get_answer ((enum err_kind)kind)->name));
  for (unsigned i = 0; i < DAEMON_METRICS_LISTENERS; i++)
    {
      struct str name = listener_names[i];

      s->connections_open[i] = metrics_register (m, &connections_open, name);
      s->connections_accepted[i]
          = metrics_register (m, &connections_accepted, name);
      s->listeners_waiting[i] = metrics_register (m, &listeners_waiting, name);
    }
  s->memory_refusals_front
      = metrics_register (m, &memory_refusals, STR_LIT ("front"));
  s->memory_refusals_serve
      = metrics_register (m, &memory_refusals, STR_LIT ("serve"));
  for (int i = CLIENT_LIMIT_KEEP + 1; i < CLIENT_LIMIT_REASONS; i++)
    s->connections_closed[i] = metrics_register (
        m, &connections_closed,
        str_from_cstr (client_limit_get_name ((enum client_limit_reason)i)));
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    *(struct metrics_row **)((char *)s + rows[i].offset)
        = metrics_register (m, &rows[i].definition, STR_EMPTY);
}

struct str
daemon_metrics_get_listener (unsigned listener)
{
  return listener_names[listener];
}
