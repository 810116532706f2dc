/* daemon_context: state shared by the threads of the daemon.

   It is initialized before the threads start.  Settings and the set of metric
   rows do not change afterwards; everything else is atomic or protected by a
   mutex.  */

#ifndef ALMONDVALE_DAEMON_CONTEXT_H
#define ALMONDVALE_DAEMON_CONTEXT_H

#include "byte_budget.h"
#include "daemon_metrics.h"
#include "hop_token.h"
#include "http_dialect.h"
#include "mailbox.h"
#include "metrics.h"
#include "quota.h"
#include "rate_limit.h"
#include "rate_share.h"
#include "settings.h"
#include "snapshot.h"
#include "trace.h"

#include <stdatomic.h>
#include <stdint.h>

/* Constants */

#define DAEMON_CONTEXT_FRONTS_MAX 64u

/* Types */

struct deployment_ops;

struct daemon_context
{
  const struct settings *settings;
  uint64_t member;    /* id of this process of the daemon in snapshots */
  int64_t started_ms; /* wall-clock time of the process start */
  const struct deployment_ops *deployment;
  const struct http_dialect_ops *dialect; /* HTTP dialect of the deployment */
  /* enforces the rate limits of workspaces */
  const struct rate_limit_ops *rate_ops;
  struct byte_budget byte_budget; /* bytes held for others */
  struct snapshot_publisher snapshots;
  struct hop_token_table hop_tokens;
  /* pressures of the services that the backend server calls: recorded by the
     front threads from the responses to nested calls, and read by the serve
     thread */
  struct pressure_downstream downstream_pressures;
  GMutex quota_mutex;
  struct quota_set quotas;           /* protected by quota_mutex */
  struct rate_share_set rate_shares; /* protected by quota_mutex */
  atomic_bool rate_limited;          /* requests need a rate token */
  struct metrics metrics;
  struct daemon_metrics metric_rows;
  struct trace trace;
  /* time from which on requests to routes that need a key are refused */
  _Atomic int64_t keyed_routes_until_us;
  atomic_bool registry_enabled; /* front threads register idempotency keys */
  atomic_bool leaving;          /* the daemon is shutting down */
  atomic_uint open_calls;       /* rows in the call tables of all fronts */
  atomic_uint open_jobs;        /* rows in the job table of the serve thread */
  atomic_uint open_answers;     /* answers to callers not sent whole yet */
  /* bytes of responses to other daemons not sent yet; set while the daemon
     shuts down */
  atomic_size_t pending_response_bytes;
  struct mailbox *control;
  struct mailbox *serve;
  struct mailbox *fronts[DAEMON_CONTEXT_FRONTS_MAX];
  uint32_t fronts_len;
};

#endif
