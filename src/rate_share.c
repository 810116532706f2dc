/* rate_share: this daemon's share of each workspace's rate.  */

#include "rate_share.h"

#include "clock.h"

/* Constants */

/* Fraction of an even share of the rate that is added to the demand of each
   daemon.  With it a daemon has a share before it has reported a demand, so
   that the first requests of a workspace, and requests beyond the reported
   demand, are not rejected immediately.  */
#define BASE_DEMAND_FRACTION 0.5
/* A demand is reported early if it has changed by this factor, and by at least
   this many requests per second.  */
#define EARLY_REPORT_FACTOR 1.5
#define EARLY_REPORT_MIN_PER_S 1.0
/* Weight of the last interval in the moving average of the demand.  */
#define DEMAND_SMOOTHING 0.5
#define Q10_ONE 1024.0

/* Internal functions */

static struct rate_share *
find_share (const struct rate_share_set *s, struct str workspace)
{
  uint64_t *id = g_hash_table_lookup (s->by_name, &workspace);

  return id != NULL ? table_get (&s->shares, *id) : NULL;
}

static double
count_members (const struct rate_share_set *s)
{
  return s->members > 0 ? s->members : RATE_SHARE_MEMBERS_ASSUMED;
}

/* Returns this daemon's share, 0 to 1: its demand divided by the sum of all
   demands, each increased by the base demand.  */
static double
get_fraction (const struct rate_share_set *s, const struct rate_share *share)
{
  double members = count_members (s);
  double base_demand = BASE_DEMAND_FRACTION * share->rate / members;
  double sum
      = share->reported_demand + share->other_demand + base_demand * members;

  return sum > 0 ? (share->reported_demand + base_demand) / sum : 1 / members;
}

static bool
is_burst_too_small_to_split (const struct rate_share_set *s,
                             const struct rate_share *share)
{
  return share->rate > 0
         && share->burst / count_members (s) < RATE_SHARE_SPLIT_MIN_TOKENS;
}

/* Returns true if this daemon reports its demand for the workspace.  A daemon
   that splits the burst computes its share from that demand, and one that
   knows fewer members may split a burst that is pooled here.  */
static bool
is_demand_reported (const struct rate_share_set *s,
                    const struct rate_share *share)
{
  return share->burst / count_members (s) >= RATE_SHARE_REPORT_MIN_TOKENS;
}

/* Adds the tokens that a fraction of the rate has yielded since the last
   call.  */
static void
refill_fraction (struct rate_share *share, double fraction, double burst,
                 int64_t now_us)
{
  double elapsed_s
      = (double)(now_us - share->refilled_us) / (double)CLOCK_US_PER_S;
  /* At least one token: with a smaller depth no request would ever pass.  */
  double depth = MAX (burst * fraction, 1.0);

  share->refilled_us = now_us;
  share->tokens
      = MIN (share->tokens + share->rate * fraction * elapsed_s, depth);
}

/* Refills this daemon's share.  The tokens of a burst that is too small to be
   split are in a pool at one daemon, its owner.  While the owner is unknown,
   this daemon uses an even share, because it does not know what the other
   daemons spend.  */
static void
refill (const struct rate_share_set *s, struct rate_share *share,
        int64_t now_us)
{
  double fraction = is_burst_too_small_to_split (s, share)
                        ? 1 / count_members (s)
                        : get_fraction (s, share);

  refill_fraction (share, fraction, share->burst, now_us);
}

static void
remove_share (struct rate_share_set *s, struct rate_share *share)
{
  uint64_t id
      = *(uint64_t *)g_hash_table_lookup (s->by_name, &share->workspace);

  g_hash_table_remove (s->by_name, &share->workspace);
  g_hash_table_remove (s->by_hash, &share->hash);
  str_free (&share->workspace);
  table_remove (&s->shares, id);
}

/* Public functions */

void
rate_share_init (struct rate_share_set *s)
{
  *s = (struct rate_share_set){ .members = 0 };
  table_init (&s->shares, sizeof (struct rate_share));
  s->by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
  s->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
rate_share_close (struct rate_share_set *s)
{
  struct rate_share *share;

  g_hash_table_unref (s->by_name);
  g_hash_table_unref (s->by_hash);
  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    str_free (&share->workspace);
  table_close (&s->shares);
}

void
rate_share_begin_update (struct rate_share_set *s)
{
  struct rate_share *share;

  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    share->configured = false;
}

/**
 * rate_share_set_limit - sets the rate and burst of a workspace
 * @s: shares
 * @workspace: name
 * @rate: requests per second of the fleet; 0 for no limit
 * @burst: requests of the fleet
 * @now_us: current time
 *
 * A new workspace begins without tokens: the burst may have been spent before
 * this process started.
 */
void
rate_share_set_limit (struct rate_share_set *s, struct str workspace,
                      uint32_t rate, uint32_t burst, int64_t now_us)
{
  struct rate_share *share = find_share (s, workspace);

  if (share == NULL)
    {
      uint64_t *id = g_new (uint64_t, 1);

      *id = table_add (&s->shares, (void **)&share);
      share->workspace = str_copy (workspace);
      share->hash = str_hash (workspace);
      share->refilled_us = now_us;
      share->rate = rate;
      share->burst = burst;
      g_hash_table_insert (s->by_name, &share->workspace, id);
      g_hash_table_insert (s->by_hash, &share->hash, share);
    }
  if (share->owner == 0)
    refill (s, share, now_us);
  share->rate = rate;
  share->burst = burst;
  share->configured = true;
}

void
rate_share_end_update (struct rate_share_set *s)
{
  struct rate_share *share;

  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    if (!share->configured)
      remove_share (s, share);
}

void
rate_share_set_member_count (struct rate_share_set *s, uint32_t members)
{
  s->members = members;
}

void
rate_share_clear_other_demands (struct rate_share_set *s)
{
  struct rate_share *share;

  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    share->other_demand = 0;
}

void
rate_share_add_other_demand (struct rate_share_set *s,
                             struct rate_share_demand demand)
{
  struct rate_share *share = g_hash_table_lookup (s->by_hash, &demand.hash);

  if (share != NULL)
    share->other_demand += demand.per_s_q10 / Q10_ONE;
}

/**
 * rate_share_take_token - takes a token for a request
 * @s: shares
 * @workspace: name
 * @now_us: current time
 *
 * Return: %QUOTA_TAKEN, or %QUOTA_EXCEEDED if this daemon's share is spent.
 */
enum quota_result
rate_share_take_token (struct rate_share_set *s, struct str workspace,
                       int64_t now_us)
{
  struct rate_share *share = find_share (s, workspace);

  if (share == NULL || share->rate <= 0)
    return QUOTA_TAKEN;
  share->arrivals++;
  refill (s, share, now_us);
  if (share->tokens < 1)
    return QUOTA_EXCEEDED;
  share->tokens -= 1;
  return QUOTA_TAKEN;
}

bool
rate_share_is_pooled (const struct rate_share_set *s, struct str workspace)
{
  return rate_share_get_owner (s, workspace) != 0;
}

/**
 * rate_share_set_owners - sets the owner of each pooled workspace
 * @s: shares
 * @find: returns the member that owns the pool of a workspace, by the hash of
 *        its name, or 0 if there is none
 * @data: passed to @find
 *
 * A workspace is pooled if its burst is too small to be split.  A daemon that
 * becomes the owner of a pool begins without tokens, since the earlier owner
 * may have spent the burst.
 */
void
rate_share_set_owners (struct rate_share_set *s,
                       uint64_t (*find) (void *data, uint64_t hash),
                       void *data)
{
  struct rate_share *share;

  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    {
      uint64_t owner = is_burst_too_small_to_split (s, share)
                           ? find (data, share->hash)
                           : 0;

      if (owner != share->owner)
        share->tokens = 0;
      share->owner = owner;
    }
}

uint64_t
rate_share_get_owner (const struct rate_share_set *s, struct str workspace)
{
  const struct rate_share *share = find_share (s, workspace);

  return share != NULL ? share->owner : 0;
}

/**
 * rate_share_grant - takes tokens out of the pool of a workspace
 * @s: shares of the owner
 * @workspace: name
 * @requested: tokens requested
 * @returned: tokens of earlier grants that were not spent
 * @now_us: current time
 *
 * Return: tokens granted, 0 to @requested.
 */
uint32_t
rate_share_grant (struct rate_share_set *s, struct str workspace,
                  uint32_t requested, uint32_t returned, int64_t now_us)
{
  struct rate_share *share = find_share (s, workspace);
  uint32_t granted;
  double burst;

  if (share == NULL || share->rate <= 0)
    return requested;
  burst = share->burst
          - share->rate * (double)RATE_SHARE_GRANT_VALIDITY_US
                / (double)CLOCK_US_PER_S;
  share->tokens += returned;
  refill_fraction (share, 1, burst, now_us);
  granted = MIN (requested, (uint32_t)share->tokens);
  share->tokens -= granted;
  return granted;
}

void
rate_share_refund_token (struct rate_share_set *s, struct str workspace)
{
  struct rate_share *share = find_share (s, workspace);

  if (share != NULL && share->rate > 0)
    share->tokens += 1;
}

bool
rate_share_run (struct rate_share_set *s, int64_t now_us)
{
  double elapsed_s
      = (double)(now_us - s->interval_start_us) / (double)CLOCK_US_PER_S;
  struct rate_share *share;

  if (now_us - s->interval_start_us < RATE_SHARE_INTERVAL_US)
    return false;
  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    {
      if (share->owner == 0)
        refill (s, share, now_us);
      share->measured_demand
          += DEMAND_SMOOTHING
             * (share->arrivals / elapsed_s - share->measured_demand);
      share->arrivals = 0;
    }
  s->interval_start_us = now_us;
  return true;
}

bool
rate_share_is_report_due (const struct rate_share_set *s)
{
  struct rate_share *share;

  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    {
      double high = MAX (share->measured_demand, share->reported_demand);
      double low = MIN (share->measured_demand, share->reported_demand);

      /* No daemon computes its share from the demand for a pool.  */
      if (share->owner != 0)
        continue;
      if (high - low > EARLY_REPORT_MIN_PER_S
          && high > low * EARLY_REPORT_FACTOR)
        return true;
    }
  return false;
}

/**
 * rate_share_update_reported_demands - sets the reported demands
 * @s: shares
 *
 * Called when a report is sent to all other daemons.  Shares are computed from
 * the reported demands, never from a newer measurement: they add up to the
 * full rate only if all daemons use the same numbers.
 */
void
rate_share_update_reported_demands (struct rate_share_set *s)
{
  struct rate_share *share;

  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    share->reported_demand
        = (uint32_t)(share->measured_demand * Q10_ONE) / Q10_ONE;
}

void
rate_share_append_demands (const struct rate_share_set *s, GArray *demands)
{
  struct rate_share *share;

  for (uint64_t id = table_next (&s->shares, 0, (void **)&share); id != 0;
       id = table_next (&s->shares, id, (void **)&share))
    {
      struct rate_share_demand d
          = { share->hash, (uint32_t)(share->reported_demand * Q10_ONE) };

      if (d.per_s_q10 > 0 && is_demand_reported (s, share))
        g_array_append_val (demands, d);
    }
}
