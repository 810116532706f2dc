/* token_bucket: token buckets of the workspaces whose shards this daemon
   holds.  */

#include "token_bucket.h"

#include <string.h>

/* Constants */

#define MICROTOKENS_PER_TOKEN 1000000
#define US_PER_S 1000000
/* Of the tokens that no request waits for, the fraction 1 / RESERVE_DIVISOR is
   not granted in advance, so that a daemon whose load begins gets tokens.  */
#define RESERVE_DIVISOR 4
/* The clock rates of two VMs differ by less than 1 / CLOCK_DRIFT_DIVISOR.  */
#define CLOCK_DRIFT_DIVISOR 100

static struct token_bucket *
find_bucket (const struct token_bucket_set *set, struct str workspace,
             uint64_t *id)
{
  const uint64_t *found = g_hash_table_lookup (set->by_name, &workspace);

  if (found == NULL)
    return NULL;
  *id = *found;
  return table_get (&set->buckets, *found);
}

/* Internal functions: level */

static void
cap_level (const struct token_bucket_set *set, struct token_bucket *b)
{
  int64_t depth = b->limit.burst;

  if ((set->disabled_rules & TOKEN_BUCKET_RULE_DEPTH) == 0)
    depth -= b->outstanding;
  b->level_microtokens
      = MIN (b->level_microtokens, depth * MICROTOKENS_PER_TOKEN);
}

static void
accrue_tokens (const struct token_bucket_set *set, struct token_bucket *b,
               int64_t until_us)
{
  /* A longer span fills any bucket; with this bound the product below cannot
     overflow.  */
  int64_t span_max
      = ((int64_t)b->limit.burst / b->limit.rate + 1) * US_PER_S * 2;
  int64_t span = CLAMP (until_us - b->updated_us, 0, span_max);

  b->level_microtokens += span * b->limit.rate;
  b->updated_us = MAX (b->updated_us, until_us);
  cap_level (set, b);
}

/* Returns the slot that expired first, or NULL if none has expired.  */
static struct token_bucket_slot *
find_expired_slot (struct token_bucket *b, int64_t now_us)
{
  struct token_bucket_slot *first = NULL;

  for (uint32_t i = 0; i < TOKEN_BUCKET_SLOTS; i++)
    {
      struct token_bucket_slot *slot = &b->slots[i];

      if (slot->count > 0 && slot->expires_us <= now_us
          && (first == NULL || slot->expires_us < first->expires_us))
        first = slot;
    }
  return first;
}

/* Accrues tokens up to now, under the depth that applied at each moment.  In a
   single step, the time before a grant expired would count under the depth
   after it.  */
static void
update_level (const struct token_bucket_set *set, struct token_bucket *b,
              int64_t now_us)
{
  struct token_bucket_slot *slot;

  while ((slot = find_expired_slot (b, now_us)) != NULL)
    {
      accrue_tokens (set, b, slot->expires_us);
      b->outstanding -= slot->count;
      slot->count = 0;
    }
  accrue_tokens (set, b, now_us);
}

/* Counts granted tokens as outstanding.  The receiver measures the validity
   from the time it sent its token request, so a grant expires no later than
   now + validity.  Grants close in time share a slot, which expires with the
   last of them.  */
static void
add_outstanding (struct token_bucket *b, uint32_t count, int64_t now_us)
{
  int64_t end = now_us + b->validity_us + b->validity_us / CLOCK_DRIFT_DIVISOR;
  struct token_bucket_slot *chosen = &b->slots[0];

  for (uint32_t i = 0; i < TOKEN_BUCKET_SLOTS; i++)
    {
      struct token_bucket_slot *slot = &b->slots[i];

      if (slot->count > 0 && slot->expires_us >= end)
        {
          chosen = slot;
          break;
        }
      if (chosen->count > 0
          && (slot->count == 0 || slot->expires_us > chosen->expires_us))
        chosen = slot;
    }
  if (chosen->count == 0)
    chosen->expires_us = end + b->validity_us / (TOKEN_BUCKET_SLOTS - 2);
  chosen->expires_us = MAX (chosen->expires_us, end);
  chosen->count += count;
  b->outstanding += count;
}

static void
reset_bucket (const struct token_bucket_set *set, struct token_bucket *b,
              int64_t now_us)
{
  memset (b->slots, 0, sizeof b->slots);
  b->outstanding = 0;
  b->level_microtokens = 0;
  b->updated_us = now_us;
  if ((set->disabled_rules & TOKEN_BUCKET_RULE_EMPTY_START) != 0)
    b->level_microtokens = (int64_t)b->limit.burst * MICROTOKENS_PER_TOKEN;
}

/* Internal functions: one run */

static void
add_grant (struct token_bucket_set *set, struct token_bucket *b,
           const struct token_bucket_request *request, uint32_t count,
           int64_t now_us)
{
  void *row;
  struct token_bucket_grant *g;

  table_add (&set->grants, &row);
  g = row;
  *g = (struct token_bucket_grant){ .requester = request->requester,
                                    .workspace = b->workspace,
                                    .count = count,
                                    .validity_us = b->validity_us,
                                    .epoch = set->shards[b->shard].epoch,
                                    .sequence = request->sequence };
  if (count == 0)
    return;
  b->level_microtokens -= (int64_t)count * MICROTOKENS_PER_TOKEN;
  b->ungranted_tokens -= MIN (b->ungranted_tokens, count);
  add_outstanding (b, count, now_us);
  cap_level (set, b);
}

static void
begin_run (const struct token_bucket_set *set, struct token_bucket *b,
           int64_t now_us)
{
  update_level (set, b, now_us);
  b->run_number = set->run_count;
  b->waiting = 0;
  b->demand = 0;
  b->whole_tokens
      = (uint64_t)MAX (b->level_microtokens, 0) / MICROTOKENS_PER_TOKEN;
  b->ungranted_tokens = b->whole_tokens;
}

static void
sum_requests (struct token_bucket_set *set, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&set->requests, 0, &row); id != 0;
       id = table_next (&set->requests, id, &row))
    {
      const struct token_bucket_request *request = row;
      struct token_bucket *b = table_get (&set->buckets, request->bucket);

      if (b == NULL)
        {
          table_remove (&set->requests, id);
          continue;
        }
      if (b->run_number != set->run_count)
        begin_run (set, b, now_us);
      b->demand += request->demand;
      b->waiting += request->waiting;
    }
}

/* Returns the tokens that a token request gets in advance, beyond those for
   its waiting requests.  */
static uint64_t
get_advance_tokens (const struct token_bucket *b,
                    const struct token_bucket_request *request, uint64_t whole)
{
  uint64_t spare = whole > b->waiting ? whole - b->waiting : 0;

  spare -= spare / RESERVE_DIVISOR;
  if (b->demand <= spare)
    return request->demand;
  return spare * request->demand / b->demand;
}

/* Decides how many tokens a token request gets.  Returns false to keep it for
   a later tick, if the tokens that accrue while it waits suffice for all
   waiting requests.  */
static bool
decide_request (const struct token_bucket *b,
                const struct token_bucket_request *request, int64_t now_us,
                uint64_t *count)
{
  uint64_t whole = b->whole_tokens;
  uint64_t soon
      = whole
        + (uint64_t)b->limit.rate * TOKEN_BUCKET_REQUEST_WAIT_US / US_PER_S;
  bool wait_is_over
      = now_us - request->arrived_us >= TOKEN_BUCKET_REQUEST_WAIT_US;

  if (b->waiting <= whole)
    *count = request->waiting + get_advance_tokens (b, request, whole);
  else if (b->ungranted_tokens >= request->waiting && b->waiting <= soon)
    *count = request->waiting;
  else if (!wait_is_over && b->waiting <= soon)
    return false;
  else
    *count = (whole * request->waiting + b->waiting - 1) / b->waiting;
  *count = MIN (*count, b->ungranted_tokens);
  return true;
}

static void
answer_requests (struct token_bucket_set *set, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&set->requests, 0, &row); id != 0;
       id = table_next (&set->requests, id, &row))
    {
      struct token_bucket_request *request = row;
      struct token_bucket *b = table_get (&set->buckets, request->bucket);
      uint64_t count = 0;

      if (!decide_request (b, request, now_us, &count))
        continue;
      add_grant (set, b, request, (uint32_t)count, now_us);
      table_remove (&set->requests, id);
    }
}

/* Public functions */

void
token_bucket_init_set (struct token_bucket_set *set, uint32_t shards)
{
  *set = (struct token_bucket_set){ .shards_len = shards };
  set->shards = g_new0 (struct token_bucket_shard, shards);
  table_init (&set->buckets, sizeof (struct token_bucket));
  table_init (&set->requests, sizeof (struct token_bucket_request));
  table_init (&set->grants, sizeof (struct token_bucket_grant));
  set->by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
}

void
token_bucket_close_set (struct token_bucket_set *set)
{
  void *row;

  g_hash_table_destroy (set->by_name);
  for (uint64_t id = table_next (&set->buckets, 0, &row); id != 0;
       id = table_next (&set->buckets, id, &row))
    str_free (&((struct token_bucket *)row)->workspace);
  table_close (&set->buckets);
  table_close (&set->requests);
  table_close (&set->grants);
  g_free (set->shards);
}

uint32_t
token_bucket_get_shard (struct str name, uint32_t shards)
{
  return (uint32_t)(str_hash (name) % shards);
}

/**
 * token_bucket_get_validity - chooses the validity of grants
 * @limit: limit of the workspace
 *
 * At the full rate the outstanding tokens then make up half of the burst, so
 * that the level can still rise.  With a burst below rate / 5 the smallest
 * validity applies and the full rate is not reached.
 *
 * Return: validity in microseconds.
 */
int64_t
token_bucket_get_validity (struct token_bucket_limit limit)
{
  int64_t v;

  if (limit.rate == 0)
    return TOKEN_BUCKET_VALIDITY_MIN_US;
  v = ((int64_t)limit.burst - 1) * US_PER_S / (2 * (int64_t)limit.rate);
  return CLAMP (v, TOKEN_BUCKET_VALIDITY_MIN_US, TOKEN_BUCKET_VALIDITY_MAX_US);
}

static void
remove_bucket (struct token_bucket_set *set, struct token_bucket *b,
               uint64_t id)
{
  struct str name = b->workspace;
  void *row;

  for (uint64_t g = table_next (&set->grants, 0, &row); g != 0;
       g = table_next (&set->grants, g, &row))
    if (((struct token_bucket_grant *)row)->workspace.data == name.data)
      table_remove (&set->grants, g);
  g_hash_table_remove (set->by_name, &b->workspace);
  table_remove (&set->buckets, id);
  str_free (&name);
}

/**
 * token_bucket_set_limit - applies the limit of a new configuration
 * @set: buckets
 * @workspace: name, copied
 * @limit: new limit; a rate or a burst of 0 removes the bucket
 * @now_us: current time
 *
 * A lower burst takes effect once the tokens granted under the old one have
 * expired; the level is negative until then.
 */
void
token_bucket_set_limit (struct token_bucket_set *set, struct str workspace,
                        struct token_bucket_limit limit, int64_t now_us)
{
  uint64_t id = 0;
  struct token_bucket *b = find_bucket (set, workspace, &id);
  void *row;

  limit.rate = MIN (limit.rate, TOKEN_BUCKET_RATE_MAX);
  limit.burst = MIN (limit.burst, TOKEN_BUCKET_BURST_MAX);
  if (limit.rate == 0 || limit.burst == 0)
    {
      if (b != NULL)
        remove_bucket (set, b, id);
      set->blocked_until_us = now_us + TOKEN_BUCKET_VALIDITY_MAX_US;
      return;
    }
  if (b == NULL)
    {
      id = table_add (&set->buckets, &row);
      b = row;
      b->workspace = str_copy (workspace);
      b->shard = token_bucket_get_shard (workspace, set->shards_len);
      /* If the workspace was removed recently, tokens of its old bucket may
         still be valid.  */
      b->updated_us = MAX (now_us, set->blocked_until_us);
      g_hash_table_insert (set->by_name, &b->workspace,
                           g_memdup2 (&id, sizeof id));
      b->limit = limit;
    }
  update_level (set, b, now_us);
  b->limit = limit;
  b->validity_us = token_bucket_get_validity (limit);
  cap_level (set, b);
}

/**
 * token_bucket_start_shard - starts granting for a shard
 * @set: buckets
 * @shard: shard
 * @epoch: epoch of the lease
 * @now_us: current time
 *
 * With the same epoch as before no other daemon has granted tokens in between,
 * so the buckets keep their levels.
 */
void
token_bucket_start_shard (struct token_bucket_set *set, uint32_t shard,
                          uint64_t epoch, int64_t now_us)
{
  bool same = set->shards[shard].epoch == epoch;
  void *row;

  set->shards[shard].held = true;
  set->shards[shard].epoch = epoch;
  for (uint64_t id = table_next (&set->buckets, 0, &row); id != 0 && !same;
       id = table_next (&set->buckets, id, &row))
    if (((struct token_bucket *)row)->shard == shard)
      reset_bucket (set, row, now_us);
}

void
token_bucket_stop_shard (struct token_bucket_set *set, uint32_t shard)
{
  void *row;

  set->shards[shard].held = false;
  for (uint64_t id = table_next (&set->requests, 0, &row); id != 0;
       id = table_next (&set->requests, id, &row))
    {
      const struct token_bucket *b = table_get (
          &set->buckets, ((struct token_bucket_request *)row)->bucket);

      if (b == NULL || b->shard == shard)
        table_remove (&set->requests, id);
    }
}

/**
 * token_bucket_add_request - adds a WIRE_TOKEN_REQUEST
 * @set: buckets
 * @requester: link or daemon that gets the grant
 * @workspace: workspace
 * @waiting: requests that wait for a token
 * @demand: tokens requested beyond these
 * @returned: unspent tokens of earlier grants that the requester returns
 * @returned_epoch: epoch of the lease under which they were granted
 * @sequence: number copied to the grant; each token request has its own
 * @now_us: time read after the message was received
 *
 * Return: false if the workspace is unknown or its shard is not held, so that
 * no grant will follow.
 */
bool
token_bucket_add_request (struct token_bucket_set *set, uint64_t requester,
                          struct str workspace, uint32_t waiting,
                          uint32_t demand, uint32_t returned,
                          uint64_t returned_epoch, uint64_t sequence,
                          int64_t now_us)
{
  uint64_t id = 0;
  struct token_bucket *b = find_bucket (set, workspace, &id);
  struct token_bucket_request *request;
  void *row;

  if (b == NULL || !set->shards[b->shard].held)
    return false;
  if (returned > 0 && returned_epoch == set->shards[b->shard].epoch)
    {
      /* The returned tokens count as outstanding until they would have
         expired: it is not known from which grants they are.  */
      update_level (set, b, now_us);
      b->level_microtokens
          += (int64_t)MIN (returned, b->limit.burst) * MICROTOKENS_PER_TOKEN;
      cap_level (set, b);
    }
  table_add (&set->requests, &row);
  request = row;
  *request = (struct token_bucket_request){ .bucket = id,
                                            .requester = requester,
                                            .waiting = waiting,
                                            .demand = demand,
                                            .sequence = sequence,
                                            .arrived_us = now_us };
  return true;
}

/**
 * token_bucket_run - answers token requests
 * @set: buckets
 * @now_us: current time
 *
 * Waiting requests get tokens first.  If the tokens do not suffice for all of
 * them, they are divided in proportion to the waiting requests of each daemon,
 * unless the tokens that accrue within %TOKEN_BUCKET_REQUEST_WAIT_US would
 * suffice: then token requests are kept until these have accrued.  The
 * remaining tokens are granted in advance, in proportion to the demand.
 */
void
token_bucket_run (struct token_bucket_set *set, int64_t now_us)
{
  if (set->requests.count == 0)
    return;
  set->run_count++;
  sum_requests (set, now_us);
  answer_requests (set, now_us);
}
