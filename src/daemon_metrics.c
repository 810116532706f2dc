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

static const struct metrics_definition answers_refused
    = { METRICS_COUNTER, "almondvale_backend_answers_refused_total",
        "Answers of the backend server that were malformed or incomplete.",
        "reason" };

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
  ROW (COUNTER, "almondvale_attempts_crossing_total",
       "Requests sent to serving daemons in other failure domains.",
       attempts_crossing),
  ROW (COUNTER, "almondvale_refusals_busy_total",
       "Attempts refused because another endpoint was expected to be sooner.",
       refusals_busy),
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
  ROW (GAUGE, "almondvale_backend_cold",
       "1 while the warm-up limit of the backend server applies.",
       backend_cold),
  ROW (COUNTER, "almondvale_cold_refusals_total",
       "Queued requests refused as not run at a cold backend server.",
       cold_refusals),
  ROW (GAUGE, "almondvale_evacuated",
       "1 while the daemon's own failure domain is evacuated.", evacuated),
  ROW (GAUGE, "almondvale_evacuation_revision",
       "Store revision of the known evacuations; 0: nothing is known.",
       evacuation_revision),
  ROW (COUNTER, "almondvale_first_arrivals_total",
       "First arrivals of requests at the backend server.", first_arrivals),
  ROW (COUNTER, "almondvale_retries_allowed_total",
       "Retries that the ledger has let through to the backend server.",
       retries_allowed),
  ROW (COUNTER, "almondvale_retries_refused_total",
       "Retries that the ledger has refused as not run.", retries_refused),
  ROW (COUNTER, "almondvale_resends_total",
       "Retries by the daemon beside the backend server itself.", resends),
  ROW (GAUGE, "almondvale_configuration_revision",
       "Configuration revision in force.", revision),
  ROW (GAUGE, "almondvale_members", "Daemons known, this one included.",
       members),
  ROW (GAUGE, "almondvale_store_era",
       "Highest era of the store seen; 0 if it has none.", store_era),
  ROW (COUNTER, "almondvale_store_restores_total",
       "Restores of the store that were noticed.", store_restores),
  ROW (COUNTER, "almondvale_entries_repaired_total",
       "Entries of other daemons written again after a restore.",
       entries_repaired),
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
  for (int fault = HTTP_FAULT_NONE + 1; fault < HTTP_FAULTS; fault++)
    s->answers_refused[fault] = metrics_register (
        m, &answers_refused, http_fault_get_name ((enum http_fault)fault));
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
