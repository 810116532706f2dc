/* rate_limit: policies by which a front limits the rate of each workspace.  */

#ifndef ALMONDVALE_RATE_LIMIT_H
#define ALMONDVALE_RATE_LIMIT_H

#include "quota.h"
#include "str.h"

#include <stdint.h>

/* Types */

struct daemon_context;

/* One policy.  The caller of each function holds quota_mutex.  */
struct rate_limit_ops
{
  struct str name;
  /* Takes a token for a new request, or makes the request wait for one.  */
  enum quota_result (*acquire) (struct daemon_context *shared,
                                struct str workspace, int64_t now_us);
  /* Tries again for a waiting request.  */
  enum quota_result (*poll) (struct daemon_context *shared,
                             struct str workspace, int64_t arrived_us,
                             int64_t now_us);
  /* Ends the wait of a request that was cancelled.  */
  void (*cancel_wait) (struct daemon_context *shared, struct str workspace);
  /* Refunds the token of a request that did not run.  */
  void (*refund) (struct daemon_context *shared, struct str workspace);
};

/* State */

/* Uses tokens granted by the holder of the workspace's shard (see
   quota.h).  */
extern const struct rate_limit_ops rate_limit_grants;
/* Uses this daemon's share of the rate, or tokens from the workspace's pool
   (see rate_share.h).  */
extern const struct rate_limit_ops rate_limit_shares;

#endif
