/* daemon_metrics: the metrics that the daemon exports.  */

#ifndef ALMONDVALE_DAEMON_METRICS_H
#define ALMONDVALE_DAEMON_METRICS_H

#include "client_limit.h"
#include "err.h"
#include "http_head.h"
#include "metrics.h"

/* Constants */

#define DAEMON_METRICS_LISTENERS 3u /* caller, local and health port */

/* Types */

struct daemon_metrics
{
  /* by error kind; ERR_NONE counts answers of backend servers */
  struct metrics_row *answers[ERR_KINDS];
  /* time from the receipt of the complete request to its answer */
  struct metrics_row *call_time;
  struct metrics_row *attempts;
  struct metrics_row *retries;
  /* attempts sent to another failure domain */
  struct metrics_row *attempts_crossing;
  /* attempts refused because another endpoint was expected to be sooner */
  struct metrics_row *refusals_busy;
  struct metrics_row *queries; /* requests for the outcome of an attempt */
  struct metrics_row *late_responses;
  struct metrics_row *bad_frames;
  struct metrics_row *calls_open;
  /* by enum front_source */
  struct metrics_row *connections_open[DAEMON_METRICS_LISTENERS];
  struct metrics_row *connections_accepted[DAEMON_METRICS_LISTENERS];
  struct metrics_row *listeners_waiting[DAEMON_METRICS_LISTENERS];
  struct metrics_row *jobs_open;
  struct metrics_row *jobs_queued;
  struct metrics_row *jobs_running;
  struct metrics_row *job_limit;
  struct metrics_row *threshold; /* lowest importance that is admitted */
  struct metrics_row *queue_time;
  struct metrics_row *service_time;
  struct metrics_row *executions; /* requests sent to the backend server */
  /* answers of the backend server that were not passed on, by reason; none
     for HTTP_FAULT_NONE */
  struct metrics_row *answers_refused[HTTP_FAULTS];
  struct metrics_row *backend_cold;
  struct metrics_row *cold_refusals;
  struct metrics_row *evacuated;
  struct metrics_row *evacuation_revision;
  /* of repeat_budget */
  struct metrics_row *first_arrivals;
  struct metrics_row *retries_allowed;
  struct metrics_row *retries_refused;
  struct metrics_row *resends;
  struct metrics_row *revision;
  struct metrics_row *members;
  struct metrics_row *store_era;        /* highest one seen; 0: none */
  struct metrics_row *store_restores;   /* seen by this process */
  struct metrics_row *entries_repaired; /* of other daemons */
  struct metrics_row *control_bytes_sent;
  struct metrics_row *control_bytes_received;
  /* requests refused for lack of memory, at the fronts and beside the backend
     server */
  struct metrics_row *memory_refusals_front;
  struct metrics_row *memory_refusals_serve;
  struct metrics_row *answers_dropped;
  struct metrics_row *connections_closed[CLIENT_LIMIT_REASONS];
  struct metrics_row *memory_free;  /* bytes of the budget */
  struct metrics_row *memory_total; /* bytes of the budget */
};

/* Public functions */

/* Registers all rows of struct daemon_metrics.  */
void daemon_metrics_init (struct daemon_metrics *s, struct metrics *m);
/* Returns the label of a listener, an index below DAEMON_METRICS_LISTENERS.  */
struct str daemon_metrics_get_listener (unsigned listener);

#endif
