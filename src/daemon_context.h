/* daemon_context: what the threads of the daemon share.

   Set up before the threads start.  Settings and metric rows do not change;
   everything else is atomic or guards itself with a mutex.  */

#ifndef ALMONDVALE_DAEMON_CONTEXT_H
#define ALMONDVALE_DAEMON_CONTEXT_H

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
  uint64_t member;    /* id of this process in snapshots */
  int64_t started_ms; /* wall-clock time of its start */
  const struct deployment_ops *deployment; /* deployment */
  const struct http_dialect_ops *dialect;  /* of the deployment */
  const struct rate_limit_ops
      *rate_ops; /* how workspaces are kept to their rate */
  struct snapshot_board snapshots;
  struct hop_token_table hop_tokens;
  struct pressure_board pressures; /* learned by nested calls */
  GMutex quota_mutex;
  struct quota_set quotas;           /* under quota_mutex */
  struct rate_share_set rate_shares; /* under quota_mutex */
  atomic_bool rate_limited;          /* tokens are needed */
  struct metrics metrics;
  struct daemon_metrics stats;
  struct trace trace;
  _Atomic int64_t
      keyed_routes_until_us;    /* keyed routes are served until then */
  atomic_bool registry_enabled; /* idempotency keys are registered */
  atomic_bool leaving;          /* the daemon is shutting down */
  atomic_uint open_calls;       /* rows in the tables of all fronts */
  atomic_uint open_jobs;        /* rows in the serve thread's table */
  struct mailbox *control;
  struct mailbox *serve;
  struct mailbox *fronts[DAEMON_CONTEXT_FRONTS_MAX];
  uint32_t fronts_len;
};

#endif
