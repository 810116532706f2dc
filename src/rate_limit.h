/* rate_limit: how a front keeps workspaces within their rate.  */

#ifndef ALMONDVALE_RATE_LIMIT_H
#define ALMONDVALE_RATE_LIMIT_H

#include "quota.h"
#include "str.h"

#include <stdint.h>

/* Types */

struct daemon_context;

/* The caller holds the mutex of the quotas.  */
struct rate_limit_ops
{
  struct str name;
  /* a new request takes a token or begins to wait */
  enum quota_result (*acquire) (struct daemon_context *shared,
                                struct str workspace, int64_t now_us);
  /* a waiting request tries again */
  enum quota_result (*poll) (struct daemon_context *shared,
                             struct str workspace, int64_t arrived_us,
                             int64_t now_us);
  /* a waiting request was cancelled */
  void (*cancel_wait) (struct daemon_context *shared, struct str workspace);
  /* a request that took a token did not run */
  void (*refund) (struct daemon_context *shared, struct str workspace);
};

/* State */

/* tokens granted by the holder of the workspace's shard */
extern const struct rate_limit_ops rate_limit_grants;
/* the part of the rate that this daemon's demand has in the fleet's, or tokens
   of the workspace's pool */
extern const struct rate_limit_ops rate_limit_shares;

#endif
