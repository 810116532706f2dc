/* rate_limit: policies by which a front limits the rate of each workspace.  */

#include "rate_limit.h"

#include "daemon_context.h"

/* Internal functions: granted tokens */

static enum quota_result
acquire_granted (struct daemon_context *shared, struct str workspace,
                 int64_t now_us)
{
  return quota_acquire (&shared->quotas, workspace, now_us);
}

static enum quota_result
poll_granted (struct daemon_context *shared, struct str workspace,
              int64_t arrived_us, int64_t now_us)
{
  return quota_poll (&shared->quotas, workspace, arrived_us, now_us);
}

static void
cancel_granted (struct daemon_context *shared, struct str workspace)
{
  quota_cancel_wait (&shared->quotas, workspace);
}

/* Does nothing: the token is not added back.  The next token request returns
   unspent tokens to the holder.  */
static void
refund_granted (struct daemon_context *shared, struct str workspace)
{
}

/* Internal functions: shares */

static enum quota_result
acquire_share (struct daemon_context *shared, struct str workspace,
               int64_t now_us)
{
  uint64_t owner = rate_share_get_owner (&shared->rate_shares, workspace);

  if (owner == shared->member)
    return rate_share_grant (&shared->rate_shares, workspace, 1, 0, now_us) > 0
               ? QUOTA_TAKEN
               : QUOTA_EXCEEDED;
  if (owner != 0)
    return quota_acquire (&shared->quotas, workspace, now_us);
  return rate_share_take_token (&shared->rate_shares, workspace, now_us);
}

/* Only a request for a token of a pool can wait: a share accepts or rejects a
   request immediately.  */
static enum quota_result
poll_share (struct daemon_context *shared, struct str workspace,
            int64_t arrived_us, int64_t now_us)
{
  return quota_poll (&shared->quotas, workspace, arrived_us, now_us);
}

static void
cancel_share (struct daemon_context *shared, struct str workspace)
{
  quota_cancel_wait (&shared->quotas, workspace);
}

/* Does nothing for a pooled token: the next token request returns unspent ones
   to the pool.  */
static void
refund_share (struct daemon_context *shared, struct str workspace)
{
  if (!rate_share_is_pooled (&shared->rate_shares, workspace))
    rate_share_refund_token (&shared->rate_shares, workspace);
}

/* State */

const struct rate_limit_ops rate_limit_grants
    = { .name = STR_LIT ("lots"),
        .acquire = acquire_granted,
        .poll = poll_granted,
        .cancel_wait = cancel_granted,
        .refund = refund_granted };

const struct rate_limit_ops rate_limit_shares = { .name = STR_LIT ("shares"),
                                                  .acquire = acquire_share,
                                                  .poll = poll_share,
                                                  .cancel_wait = cancel_share,
                                                  .refund = refund_share };
