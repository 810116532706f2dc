/* shared: what the threads of the daemon share.

   Set up before the threads start.  Settings and metric rows do not change;
   everything else is atomic or guards itself with a mutex.  */

#ifndef ALMONDVALE_SHARED_H
#define ALMONDVALE_SHARED_H

#include "dialect.h"
#include "hop.h"
#include "mailbox.h"
#include "metrics.h"
#include "quota.h"
#include "rate.h"
#include "settings.h"
#include "share.h"
#include "snapshot.h"
#include "stats.h"
#include "trace.h"

#include <stdatomic.h>
#include <stdint.h>

/* Constants */

#define SHARED_FRONTS_MAX 64u

/* Types */

struct site_ops;

struct shared
{
  const struct settings *settings;
  uint64_t member;                   /* id of this process in snapshots */
  int64_t started_ms;                /* wall-clock time of its start */
  const struct site_ops *site;       /* deployment */
  const struct dialect_ops *dialect; /* of the site */
  const struct rate_ops *rate_ops; /* how workspaces are kept to their rate */
  struct snapshot_board board;
  struct hop_table hops;
  struct pressure_board pressures; /* learned by nested calls */
  GMutex quota_mutex;
  struct quota_set quotas;  /* under quota_mutex */
  struct share_set shares;  /* under quota_mutex */
  atomic_bool rate_limited; /* tokens are needed */
  struct metrics metrics;
  struct stats stats;
  struct trace trace;
  _Atomic int64_t keyed_until_us; /* keyed routes are served until then */
  atomic_bool registry;           /* idempotency keys are registered */
  atomic_bool leaving;            /* the daemon is shutting down */
  atomic_uint open_calls;         /* rows in the tables of all fronts */
  atomic_uint open_jobs;          /* rows in the serve thread's table */
  struct mailbox *control;
  struct mailbox *serve;
  struct mailbox *fronts[SHARED_FRONTS_MAX];
  uint32_t fronts_len;
};

#endif
