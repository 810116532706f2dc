/* serve: the traffic thread beside the backend server.

   Takes requests of other daemons over peer links, queues them, hands them to
   the backend server and returns the responses.  */

#ifndef ALMONDVALE_SERVE_H
#define ALMONDVALE_SERVE_H

#include "admission.h"
#include "attempt.h"
#include "concurrency_limit.h"
#include "daemon_context.h"
#include "http_client.h"
#include "loop.h"
#include "peer_link.h"
#include "service_time.h"
#include "thread_message.h"

#include <stdbool.h>

/* Types */

enum serve_job_state
{
  SERVE_RECEIVING, /* BODY messages are missing */
  SERVE_ARRIVED,   /* waits for the admission system */
  SERVE_QUEUED,    /* in the admission queue */
  SERVE_RUNNING,   /* handed to the backend server */
  SERVE_FINISHED   /* response sent; removed by the next system */
};

/* One request received from a front.  */
struct serve_job
{
  uint64_t id;
  struct serve *serve;
  enum serve_job_state state;
  uint64_t link;
  struct str frame; /* owned; the message points into it */
  struct wire_message message;
  struct str_buf body; /* of a request in parts */
  int64_t arrived_us;
  int64_t started_us;
  int64_t deadline_us;
  int64_t due_us; /* for its full value */
  uint32_t weight;
  uint64_t admission_entry;   /* in the admission queue */
  uint64_t hop;               /* row of its hop token */
  bool traced;                /* the request carries a valid traceparent */
  struct trace_context trace; /* of this hop's span */
  struct trace_context trace_parent; /* of the attempt's span */
  struct str_buf traceparent;        /* of this hop's span, for the backend */
  uint32_t running_at_start; /* jobs running_at_start when it started */
  struct http_client_exchange *exchange;
};

enum serve_backend_state
{
  SERVE_BACKEND_NONE,
  SERVE_BACKEND_SERVING,
  SERVE_BACKEND_DRAINING, /* until it leaves; announcements do not end it */
  SERVE_BACKEND_LEAVING
};

struct serve
{
  struct loop loop;
  struct daemon_context *shared;
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
  struct pressure_controller pressure;
  uint32_t arrivals_since_tick; /* since the last tick */
  uint32_t arrivals_since_log;  /* since the last log line */
  int64_t next_log_us;
  double mean_service_us; /* mean time at the backend server */
  struct http_client_pool *http_pool;
  struct thread_message_backend backend;
  enum serve_backend_state backend_state;
  uint32_t running_jobs;
  struct snapshot *snapshot;
  uint64_t snapshot_generation;
  int64_t next_tick_us;
};

/* Public functions */

/* listens at the peer port; false with an error if that fails */
bool serve_init (struct serve *s, struct daemon_context *shared,
                 GError **error);
/* frees everything after the thread has ended */
void serve_close (struct serve *s);

#endif
