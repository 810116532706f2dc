/* quota: rate-limit tokens granted to this daemon.  */

#include "quota.h"

#include <string.h>

/* Constants */

/* Time over which requests are counted for one sample of the demand.  */
#define WINDOW_US 100000
/* Weights of the last window in the two moving averages of the demand, as
   shifts: 1/8 and 1/32.  */
#define FAST_SHIFT 3
#define SLOW_SHIFT 5
/* If the faster average is below this number of requests in a window, the
   lower of the two is used: otherwise single requests would cause token
   requests whose tokens expire unspent.  */
#define LOW_DEMAND_REQUESTS 2
#define WINDOWS_MAX 64
/* Time before a batch expires at which the next one is requested, in addition
   to the round trip: two ticks.  */
#define RENEW_LEAD_US 100000
/* Pause after a grant that did not suffice for all waiting requests, or after
   a failed token request: one tick.  */
#define TOKEN_REQUEST_BACKOFF_US 50000
#define VALIDITY_DEFAULT_US 1000000

/* Internal functions: rows */

static struct quota *
find_quota (const struct quota_set *set, struct str workspace)
{
  const uint64_t *id = g_hash_table_lookup (set->by_name, &workspace);

  return id != NULL ? table_get (&set->quotas, *id) : NULL;
}

static struct quota *
add_quota (struct quota_set *set, struct str workspace, int64_t now_us)
{
  void *row;
  uint64_t id = table_add (&set->quotas, &row);
  struct quota *q = row;

  q->workspace = str_copy (workspace);
  q->window_start_us = now_us;
  q->validity_us = VALIDITY_DEFAULT_US;
  q->next_token_request_us = INT64_MIN;
  q->refused_until_us = INT64_MIN;
  q->id = id;
  g_hash_table_insert (set->by_name, &q->workspace,
                       g_memdup2 (&id, sizeof id));
  return q;
}

static void
remove_quota (struct quota_set *set, struct quota *q, uint64_t id)
{
  struct str name = q->workspace;

  g_hash_table_remove (set->by_name, &q->workspace);
  table_remove (&set->quotas, id);
  str_free (&name);
}

/* Adds a row to those that the next quota_run processes.  */
static void
add_urgent (struct quota_set *set, struct quota *q)
{
  if (q->urgent)
    return;
  q->urgent = true;
  g_array_append_val (set->urgent, q->id);
}

/* Internal functions: batches */

static uint32_t
count_tokens (const struct quota *q, int64_t now_us)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < QUOTA_BATCHES; i++)
    if (q->batches[i].expires_us > now_us)
      sum += q->batches[i].count;
  return sum;
}

/* Takes a token from the batch that expires first.  */
static bool
take_token (struct quota *q, int64_t now_us)
{
  struct quota_batch *first = NULL;

  for (uint32_t i = 0; i < QUOTA_BATCHES; i++)
    {
      struct quota_batch *batch = &q->batches[i];

      if (batch->count > 0 && batch->expires_us > now_us
          && (first == NULL || batch->expires_us < first->expires_us))
        first = batch;
    }
  if (first == NULL)
    return false;
  first->count--;
  return true;
}

/* Adds a batch in a free slot.  If there is none, the tokens are added to the
   batch that expires last, and all of its tokens get the earlier expiry.  The
   tokens of a batch of several epochs are never returned to a holder.  */
static void
add_batch (struct quota *q, struct quota_batch added, int64_t now_us)
{
  struct quota_batch *last = &q->batches[0];

  for (uint32_t i = 0; i < QUOTA_BATCHES; i++)
    {
      struct quota_batch *batch = &q->batches[i];

      if (batch->count == 0 || batch->expires_us <= now_us)
        {
          *batch = added;
          return;
        }
      if (batch->expires_us > last->expires_us)
        last = batch;
    }
  last->count += added.count;
  last->expires_us = MIN (last->expires_us, added.expires_us);
  if (last->epoch != added.epoch)
    last->epoch = 0;
}

/* Internal functions: demand */

static void
add_window_sample (uint64_t *demand_q16, uint32_t arrivals, unsigned int shift)
{
  *demand_q16 -= *demand_q16 >> shift;
  *demand_q16 += ((uint64_t)arrivals << 16) >> shift;
}

static void
update_demand (struct quota *q, int64_t now_us)
{
  int64_t windows = (now_us - q->window_start_us) / WINDOW_US;

  if (windows <= 0)
    return;
  q->window_start_us += windows * WINDOW_US;
  for (int64_t i = 0; i < MIN (windows, WINDOWS_MAX); i++)
    {
      add_window_sample (&q->demand_fast_q16, q->arrivals, FAST_SHIFT);
      add_window_sample (&q->demand_slow_q16, q->arrivals, SLOW_SHIFT);
      q->arrivals = 0;
    }
}

/* Returns the number of requests expected within a time span.  */
static uint32_t
forecast_requests (const struct quota *q, int64_t span_us)
{
  uint64_t demand = q->demand_fast_q16;
  uint64_t n;

  if (demand < (uint64_t)LOW_DEMAND_REQUESTS << 16)
    demand = MIN (demand, q->demand_slow_q16);
  n = demand * (uint64_t)MAX (span_us, 0) / WINDOW_US >> 16;
  return (uint32_t)MIN (n, UINT32_MAX);
}

/* Internal functions: token requests */

/* Removes the tokens that will probably not be spent and returns their number,
   so that they can be returned to the holder for other daemons.  Considers
   only batches in the second half of their validity, and all of the same
   epoch.  */
static uint32_t
remove_surplus (struct quota *q, uint64_t *epoch, int64_t now_us)
{
  uint32_t taken = 0;

  *epoch = 0;
  for (uint32_t i = 0; i < QUOTA_BATCHES; i++)
    {
      struct quota_batch *batch = &q->batches[i];
      int64_t left = batch->expires_us - now_us;
      uint32_t keep = forecast_requests (q, left) + 1;
      uint32_t have = count_tokens (q, now_us);

      if (batch->count == 0 || left <= 0 || left > q->validity_us / 2
          || have <= keep || (taken > 0 && batch->epoch != *epoch))
        continue;
      have = MIN (have - keep, batch->count);
      *epoch = batch->epoch;
      batch->count -= have;
      taken += have;
    }
  return taken;
}

static void
add_token_request (struct quota_set *set, struct quota *q, uint32_t waiting,
                   uint32_t demand, uint32_t returned, uint64_t returned_epoch,
                   int64_t now_us)
{
  void *row;
  struct quota_token_request *request;

  table_add (&set->token_requests, &row);
  request = row;
  request->workspace = q->workspace;
  request->waiting = waiting;
  request->demand = demand;
  request->returned = returned;
  request->returned_epoch = returned_epoch;
  request->sequence = ++set->last_sequence;
  q->token_request_pending = true;
  q->token_request_sequence = request->sequence;
  q->token_request_us = now_us;
  q->token_request_waiting = waiting;
}

static void
run_quota (struct quota_set *set, struct quota *q, int64_t now_us)
{
  uint32_t tokens = count_tokens (q, now_us);
  uint32_t waiting = q->waiting > tokens ? q->waiting - tokens : 0;
  int64_t lead = MIN (RENEW_LEAD_US + q->round_trip_us, q->validity_us / 2);
  uint32_t tokens_after_lead = count_tokens (q, now_us + lead);
  uint32_t target = forecast_requests (q, q->validity_us * 3 / 4);
  uint32_t demand
      = target > tokens_after_lead ? target - tokens_after_lead : 0;
  uint32_t returned;
  uint64_t returned_epoch;

  update_demand (q, now_us);
  if (q->token_request_pending
      && now_us - q->token_request_us > QUOTA_ROUND_TRIP_MAX_US)
    q->token_request_pending = false;
  if (q->token_request_pending || now_us < q->next_token_request_us)
    return;
  returned = remove_surplus (q, &returned_epoch, now_us);
  if (returned > 0 || waiting > 0
      || (demand > 0 && tokens_after_lead <= forecast_requests (q, lead)))
    add_token_request (set, q, waiting, demand, returned, returned_epoch,
                       now_us);
}

/* Public functions */

void
quota_init_set (struct quota_set *set, uint64_t first_sequence)
{
  *set = (struct quota_set){ .last_sequence = first_sequence };
  table_init (&set->quotas, sizeof (struct quota));
  table_init (&set->token_requests, sizeof (struct quota_token_request));
  set->urgent = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  set->next_scan_us = INT64_MIN;
  set->by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
}

void
quota_close_set (struct quota_set *set)
{
  void *row;

  g_hash_table_destroy (set->by_name);
  g_array_unref (set->urgent);
  for (uint64_t id = table_next (&set->quotas, 0, &row); id != 0;
       id = table_next (&set->quotas, id, &row))
    str_free (&((struct quota *)row)->workspace);
  table_close (&set->quotas);
  table_close (&set->token_requests);
}

/**
 * quota_acquire - takes a token for a new request
 * @set: quotas
 * @workspace: workspace of the request
 * @now_us: current time
 *
 * Return: %QUOTA_TAKEN, or %QUOTA_WAIT if the request has to wait for the next
 * grant; the caller then calls quota_poll() until that ends the wait, or
 * quota_cancel_wait().
 */
enum quota_result
quota_acquire (struct quota_set *set, struct str workspace, int64_t now_us)
{
  struct quota *q = find_quota (set, workspace);

  if (q == NULL)
    q = add_quota (set, workspace, now_us);
  update_demand (q, now_us);
  q->arrivals++;
  q->last_request_us = now_us;
  if (q->waiting == 0 && take_token (q, now_us))
    return QUOTA_TAKEN;
  q->waiting++;
  add_urgent (set, q);
  return QUOTA_WAIT;
}

enum quota_result
quota_poll (struct quota_set *set, struct str workspace, int64_t arrived_us,
            int64_t now_us)
{
  struct quota *q = find_quota (set, workspace);
  enum quota_result result = QUOTA_WAIT;

  if (q == NULL)
    return QUOTA_UNAVAILABLE;
  if (take_token (q, now_us))
    result = QUOTA_TAKEN;
  else if (arrived_us <= q->refused_until_us)
    result = QUOTA_EXCEEDED;
  else if (now_us - arrived_us >= QUOTA_WAIT_MAX_US)
    result = QUOTA_UNAVAILABLE;
  if (result != QUOTA_WAIT && q->waiting > 0)
    q->waiting--;
  return result;
}

void
quota_cancel_wait (struct quota_set *set, struct str workspace)
{
  struct quota *q = find_quota (set, workspace);

  if (q != NULL && q->waiting > 0)
    q->waiting--;
}

/**
 * quota_apply_grant - adds the batch of a WIRE_TOKENS message
 * @set: quotas
 * @workspace: workspace
 * @count: tokens
 * @validity_us: validity, measured from the time of the token request
 * @epoch: epoch of the holder
 * @sequence: sequence number of the token request
 * @now_us: time read after the message was received
 *
 * A grant that does not answer the pending token request, or whose round trip
 * took longer than %QUOTA_ROUND_TRIP_MAX_US, is rejected.
 *
 * Return: true if the tokens may be spent.
 */
bool
quota_apply_grant (struct quota_set *set, struct str workspace, uint32_t count,
                   int64_t validity_us, uint64_t epoch, uint64_t sequence,
                   int64_t now_us)
{
  struct quota *q = find_quota (set, workspace);
  bool check_round_trip = (set->disabled_rules & QUOTA_RULE_ROUND_TRIP) == 0;
  int64_t valid_from_us;

  if (q == NULL || q->token_request_sequence != sequence
      || (check_round_trip
          && (!q->token_request_pending
              || now_us - q->token_request_us > QUOTA_ROUND_TRIP_MAX_US)))
    {
      set->rejected_grants++;
      return false;
    }
  valid_from_us = check_round_trip ? q->token_request_us : now_us;
  q->token_request_pending = false;
  q->token_request_sequence = 0;
  q->round_trip_us = now_us - q->token_request_us;
  q->validity_us = CLAMP (validity_us, 1, VALIDITY_DEFAULT_US);
  if (count < q->token_request_waiting)
    {
      q->refused_until_us = q->token_request_us;
      q->next_token_request_us = now_us + TOKEN_REQUEST_BACKOFF_US;
    }
  if (count > 0)
    add_batch (
        q,
        (struct quota_batch){ .count = count,
                              .expires_us = valid_from_us + q->validity_us,
                              .epoch = epoch },
        now_us);
  if (q->waiting > 0)
    add_urgent (set, q);
  return true;
}

void
quota_fail_token_request (struct quota_set *set, struct str workspace,
                          uint64_t sequence, int64_t now_us)
{
  struct quota *q = find_quota (set, workspace);

  if (q == NULL || !q->token_request_pending
      || q->token_request_sequence != sequence)
    return;
  q->token_request_pending = false;
  q->next_token_request_us = now_us + TOKEN_REQUEST_BACKOFF_US;
}

/**
 * quota_run - adds the token requests that are due
 * @set: quotas
 * @now_us: current time
 *
 * Tokens are requested immediately for a workspace whose requests wait, before
 * the batches run out for one with steady demand, and never for one without
 * demand.
 */
void
quota_run (struct quota_set *set, int64_t now_us)
{
  void *row;

  for (guint i = 0; i < set->urgent->len; i++)
    {
      struct quota *q
          = table_get (&set->quotas, g_array_index (set->urgent, uint64_t, i));

      if (q == NULL)
        continue;
      q->urgent = false;
      run_quota (set, q, now_us);
    }
  g_array_set_size (set->urgent, 0);
  if (now_us < set->next_scan_us)
    return;
  set->next_scan_us = now_us + QUOTA_SCAN_INTERVAL_US;
  for (uint64_t id = table_next (&set->quotas, 0, &row); id != 0;
       id = table_next (&set->quotas, id, &row))
    {
      struct quota *q = row;

      if (q->waiting == 0
          && now_us - q->last_request_us > QUOTA_IDLE_TIMEOUT_US
          && !q->token_request_pending)
        remove_quota (set, q, id);
      else
        run_quota (set, q, now_us);
    }
}
