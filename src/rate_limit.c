/* rate_limit: how a front keeps workspaces within their rate.  */

#include "rate_limit.h"

#include "daemon_context.h"

/* Internal functions: granted tokens */

static enum quota_result
begin_lot (struct daemon_context *shared, struct str workspace, int64_t now_us)
{
  return quota_begin (&shared->quotas, workspace, now_us);
}

static enum quota_result
poll_lot (struct daemon_context *shared, struct str workspace,
          int64_t arrived_us, int64_t now_us)
{
  return quota_poll (&shared->quotas, workspace, arrived_us, now_us);
}

static void
cancel_lot (struct daemon_context *shared, struct str workspace)
{
  quota_cancel (&shared->quotas, workspace);
}

/* Unused tokens go back to the holder with the next ask.  */
static void
give_back_lot (struct daemon_context *shared, struct str workspace)
{
}

/* Internal functions: shares */

static enum quota_result
begin_share (struct daemon_context *shared, struct str workspace,
             int64_t now_us)
{
  uint64_t owner = rate_share_get_owner (&shared->rate_shares, workspace);

  if (owner == shared->member)
    return rate_share_grant (&shared->rate_shares, workspace, 1, 0, now_us) > 0
               ? QUOTA_TAKEN
               : QUOTA_EXCEEDED;
  if (owner != 0)
    return quota_begin (&shared->quotas, workspace, now_us);
  return rate_share_take (&shared->rate_shares, workspace, now_us);
}

/* A share decides at once, so only pooled tokens are waited for.  */
static enum quota_result
poll_share (struct daemon_context *shared, struct str workspace,
            int64_t arrived_us, int64_t now_us)
{
  return quota_poll (&shared->quotas, workspace, arrived_us, now_us);
}

static void
cancel_share (struct daemon_context *shared, struct str workspace)
{
  quota_cancel (&shared->quotas, workspace);
}

/* Unused lots go back to the pool with the next ask.  */
static void
give_back_share (struct daemon_context *shared, struct str workspace)
{
  if (!rate_share_is_pooled (&shared->rate_shares, workspace))
    rate_share_return (&shared->rate_shares, workspace);
}

/* State */

const struct rate_limit_ops rate_limit_lots = { .name = STR_LIT ("lots"),
                                                .begin = begin_lot,
                                                .poll = poll_lot,
                                                .cancel = cancel_lot,
                                                .give_back = give_back_lot };

const struct rate_limit_ops rate_limit_shares
    = { .name = STR_LIT ("shares"),
        .begin = begin_share,
        .poll = poll_share,
        .cancel = cancel_share,
        .give_back = give_back_share };
