/* serve: the traffic thread that serves the backend server of this VM.

   It receives requests over peer links from fronts (the threads of all daemons
   that receive callers' requests), queues them, sends them to the backend
   server within the concurrency limit and returns the responses.  Each request
   carries a hop token, which the backend server sends with its nested calls.  */

#ifndef ALMONDVALE_SERVE_H
#define ALMONDVALE_SERVE_H

#include "admission.h"
#include "attempt.h"
#include "concurrency_limit.h"
#include "daemon_context.h"
#include "http_client.h"
#include "load_meter.h"
#include "logger.h"
#include "loop.h"
#include "peer_link.h"
#include "serve_resend.h"
#include "service_time.h"
#include "success_rate.h"
#include "thread_message.h"
#include "warmup_limit.h"

#include <stdbool.h>

/* Types */

enum serve_job_state
{
  SERVE_RECEIVING, /* waits for the rest of the body */
  SERVE_ARRIVED,   /* waits for the admission decision */
  SERVE_QUEUED,    /* in the admission queue */
  SERVE_RUNNING,   /* sent to the backend server */
  SERVE_PAUSED,    /* rejected by it; waits to be queued again */
  SERVE_FINISHED   /* completed; freed by the removal system */
};

/* One request that was received from a front.  */
struct serve_job
{
  uint64_t id;
  struct serve *serve;
  enum serve_job_state state;
  uint64_t link;    /* peer link from the front */
  struct str frame; /* owned; the message points into it */
  struct wire_message message;
  /* rest of a request body that arrives in several messages, or NULL */
  struct evbuffer *more_body;
  size_t body_len;  /* bytes of the body so far */
  int64_t reserved; /* bytes of the budget, without more_body */
  int64_t arrived_us;
  int64_t started_us;
  int64_t deadline_us;
  /* when the caller should have the response, at most the deadline */
  int64_t due_us;
  uint32_t weight; /* weight of its workspace in the admission queue */
  uint64_t admission_entry;   /* id in the admission queue */
  uint64_t hop_row;           /* row id of its hop token; 0: none issued */
  bool traced;                /* the request carries a valid traceparent */
  struct trace_context trace; /* span of this job */
  struct trace_context trace_parent; /* span of the front's attempt */
  struct str_buf traceparent;        /* header for the backend server */
  uint32_t running_at_start;         /* running jobs, this one included */
  uint32_t sends;                    /* to the backend server */
  uint32_t waits;    /* pauses for credit since the last send */
  bool rejected;     /* the backend server has answered that it did not run */
  int64_t resume_us; /* end of the pause */
  struct http_client_exchange *exchange;
};

enum serve_backend_state
{
  SERVE_BACKEND_NONE,
  SERVE_BACKEND_SERVING,
  /* no new requests; a repeated announcement is ignored */
  SERVE_BACKEND_DRAINING,
  SERVE_BACKEND_LEAVING /* has left, or the daemon shuts down */
};

struct serve
{
  struct loop loop;
  struct daemon_context *shared;
  struct byte_budget_slice slice;
  struct peer_link_set links;
  struct table jobs;
  GArray *arrived;  /* ids of jobs in SERVE_ARRIVED */
  GArray *finished; /* ids of jobs in SERVE_FINISHED */
  struct attempt_table attempts;
  const struct admission_ops *admit_ops;
  struct admission *admission_queue;
  const struct concurrency_limit_ops *limit_ops;
  struct concurrency_limit limit;
  struct service_time service_times;
  struct success_rate success;
  struct pressure_controller pressure;
  struct serve_resend resend;
  uint32_t arrivals_since_tick; /* requests */
  uint32_t arrivals_since_log;  /* requests */
  int64_t next_log_us;
  struct load_meter load_meter;
  double mean_service_us; /* moving average of backend response times */
  struct http_client_pool *http_pool;
  struct thread_message_backend backend;
  enum serve_backend_state backend_state;
  struct warmup_limit warmup;
  bool cold; /* the log and the metrics say that it is cold */
  /* accepts no requests: the failure domain is evacuated, or that is not known
     yet */
  bool evacuated;
  bool evacuation_known; /* the control thread has told */
  uint32_t running_jobs;
  struct snapshot *snapshot;
  uint64_t snapshot_generation;
  int64_t next_tick_us;
  struct logger_rate_limit refusal_log_limit;
};

/* Public functions */

/* Initializes the thread's state and listens on the peer port.  Returns false
   and sets error on failure.  */
bool serve_init (struct serve *s, struct daemon_context *shared,
                 GError **error);
/* Frees all state.  The thread must have ended.  */
void serve_close (struct serve *s);

/* Functions for the modules of the serve thread */

/* Sends a job that was removed from the admission queue to the backend
   server, unless it was voided.  */
void serve_start_job (struct serve *s, struct serve_job *job, int64_t now_us);

#endif
