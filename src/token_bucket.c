/* token_bucket: token buckets of the workspaces of held shards.  */

#include "token_bucket.h"

#include <string.h>

/* Constants */

#define UNITS_PER_TOKEN 1000000
#define US_PER_S 1000000
/* Part of the spare level kept back from advance grants, so that a daemon
   whose load begins finds tokens.  */
#define RESERVE_DIVISOR 4
/* Clock rates of two VMs differ by less than one part in this.  */
#define DRIFT_DIVISOR 100

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

  if ((set->test_rules_off & TOKEN_BUCKET_RULE_DEPTH) == 0)
    depth -= b->outstanding;
  b->level_u = MIN (b->level_u, depth * UNITS_PER_TOKEN);
}

static void
add_accrued (const struct token_bucket_set *set, struct token_bucket *b,
             int64_t until_us)
{
  /* Longer spans fill any bucket; the product below cannot overflow.  */
  int64_t span_max
      = ((int64_t)b->limit.burst / b->limit.rate + 1) * US_PER_S * 2;
  int64_t span = CLAMP (until_us - b->updated_us, 0, span_max);

  b->level_u += span * b->limit.rate;
  b->updated_us = MAX (b->updated_us, until_us);
  cap_level (set, b);
}

/* Next slot that ends by now, or NULL.  */
static struct token_bucket_slot *
find_ended_slot (struct token_bucket *b, int64_t now_us)
{
  struct token_bucket_slot *first = NULL;

  for (uint32_t i = 0; i < TOKEN_BUCKET_SLOTS; i++)
    {
      struct token_bucket_slot *slot = &b->slots[i];

      if (slot->count > 0 && slot->end_us <= now_us
          && (first == NULL || slot->end_us < first->end_us))
        first = slot;
    }
  return first;
}

/* Tokens accrue under the depth that applied at each moment: in one step up to
   now, time before the end of a grant would count under the depth after it.  */
static void
update_level (const struct token_bucket_set *set, struct token_bucket *b,
              int64_t now_us)
{
  struct token_bucket_slot *slot;

  while ((slot = find_ended_slot (b, now_us)) != NULL)
    {
      add_accrued (set, b, slot->end_us);
      b->outstanding -= slot->count;
      slot->count = 0;
    }
  add_accrued (set, b, now_us);
}

/* A grant's validity is measured from when the receiver sent its request, so
   it ends no later than now + validity here.  Grants within a part of the
   validity share a slot, which ends with the last of them.  */
static void
add_outstanding (struct token_bucket *b, uint32_t count, int64_t now_us)
{
  int64_t end = now_us + b->validity_us + b->validity_us / DRIFT_DIVISOR;
  struct token_bucket_slot *chosen = &b->slots[0];

  for (uint32_t i = 0; i < TOKEN_BUCKET_SLOTS; i++)
    {
      struct token_bucket_slot *slot = &b->slots[i];

      if (slot->count > 0 && slot->end_us >= end)
        {
          chosen = slot;
          break;
        }
      if (chosen->count > 0
          && (slot->count == 0 || slot->end_us > chosen->end_us))
        chosen = slot;
    }
  if (chosen->count == 0)
    chosen->end_us = end + b->validity_us / (TOKEN_BUCKET_SLOTS - 2);
  chosen->end_us = MAX (chosen->end_us, end);
  chosen->count += count;
  b->outstanding += count;
}

static void
empty_bucket (const struct token_bucket_set *set, struct token_bucket *b,
              int64_t now_us)
{
  memset (b->slots, 0, sizeof b->slots);
  b->outstanding = 0;
  b->level_u = 0;
  b->updated_us = now_us;
  if ((set->test_rules_off & TOKEN_BUCKET_RULE_EMPTY) != 0)
    b->level_u = (int64_t)b->limit.burst * UNITS_PER_TOKEN;
}

/* Internal functions: one tick */

static void
add_grant (struct token_bucket_set *set, struct token_bucket *b,
           const struct token_bucket_ask *ask, uint32_t count, int64_t now_us)
{
  void *row;
  struct token_bucket_grant *g;

  table_add (&set->grants, &row);
  g = row;
  *g = (struct token_bucket_grant){ .asker = ask->asker,
                                    .workspace = b->workspace,
                                    .count = count,
                                    .validity_us = b->validity_us,
                                    .epoch = set->shards[b->shard].epoch,
                                    .sequence = ask->sequence };
  if (count == 0)
    return;
  b->level_u -= (int64_t)count * UNITS_PER_TOKEN;
  b->left -= MIN (b->left, count);
  add_outstanding (b, count, now_us);
  cap_level (set, b);
}

static void
begin_run (const struct token_bucket_set *set, struct token_bucket *b,
           int64_t now_us)
{
  update_level (set, b, now_us);
  b->run = set->run;
  b->waiting = 0;
  b->demand = 0;
  b->whole = (uint64_t)MAX (b->level_u, 0) / UNITS_PER_TOKEN;
  b->left = b->whole;
}

static void
sum_asks (struct token_bucket_set *set, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&set->asks, 0, &row); id != 0;
       id = table_next (&set->asks, id, &row))
    {
      const struct token_bucket_ask *ask = row;
      struct token_bucket *b = table_get (&set->buckets, ask->bucket);

      if (b == NULL)
        {
          table_remove (&set->asks, id);
          continue;
        }
      if (b->run != set->run)
        begin_run (set, b, now_us);
      b->demand += ask->demand;
      b->waiting += ask->waiting;
    }
}

/* Tokens that an ask gets beyond its waiting requests.  */
static uint64_t
share_spare (const struct token_bucket *b, const struct token_bucket_ask *ask,
             uint64_t whole)
{
  uint64_t spare = whole > b->waiting ? whole - b->waiting : 0;

  spare -= spare / RESERVE_DIVISOR;
  if (b->demand <= spare)
    return ask->demand;
  return spare * ask->demand / b->demand;
}

/* Decides one ask.  Returns false to keep it for a later tick: the tokens
   that accrue while it is held suffice for all who wait.  */
static bool
decide_ask (const struct token_bucket *b, const struct token_bucket_ask *ask,
            int64_t now_us, uint64_t *count)
{
  uint64_t whole = b->whole;
  uint64_t soon
      = whole + (uint64_t)b->limit.rate * TOKEN_BUCKET_HOLD_US / US_PER_S;
  bool held_long = now_us - ask->arrived_us >= TOKEN_BUCKET_HOLD_US;

  if (b->waiting <= whole)
    *count = ask->waiting + share_spare (b, ask, whole);
  else if (b->left >= ask->waiting && b->waiting <= soon)
    *count = ask->waiting;
  else if (!held_long && b->waiting <= soon)
    return false;
  else
    *count = (whole * ask->waiting + b->waiting - 1) / b->waiting;
  *count = MIN (*count, b->left);
  return true;
}

static void
answer_asks (struct token_bucket_set *set, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&set->asks, 0, &row); id != 0;
       id = table_next (&set->asks, id, &row))
    {
      struct token_bucket_ask *ask = row;
      struct token_bucket *b = table_get (&set->buckets, ask->bucket);
      uint64_t count = 0;

      if (!decide_ask (b, ask, now_us, &count))
        continue;
      add_grant (set, b, ask, (uint32_t)count, now_us);
      table_remove (&set->asks, id);
    }
}

/* Public functions */

void
token_bucket_init_set (struct token_bucket_set *set, uint32_t shards)
{
  *set = (struct token_bucket_set){ .shards_len = shards };
  set->shards = g_new0 (struct token_bucket_shard, shards);
  table_init (&set->buckets, sizeof (struct token_bucket));
  table_init (&set->asks, sizeof (struct token_bucket_ask));
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
  table_close (&set->asks);
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
 * The tokens that are outstanding at the full rate take half of the burst, so
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
      /* Tokens of a workspace that was removed a moment ago may be valid.  */
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
 * token_bucket_start_shard - begins to hold a shard
 * @set: buckets
 * @shard: shard
 * @epoch: epoch of the lease
 * @now_us: current time
 *
 * With the same epoch as before no other daemon has granted in between, so
 * the buckets go on.
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
      empty_bucket (set, row, now_us);
}

void
token_bucket_stop_shard (struct token_bucket_set *set, uint32_t shard)
{
  void *row;

  set->shards[shard].held = false;
  for (uint64_t id = table_next (&set->asks, 0, &row); id != 0;
       id = table_next (&set->asks, id, &row))
    {
      const struct token_bucket *b = table_get (
          &set->buckets, ((struct token_bucket_ask *)row)->bucket);

      if (b == NULL || b->shard == shard)
        table_remove (&set->asks, id);
    }
}

/**
 * token_bucket_add_ask - adds one TOKEN_REQUEST
 * @set: buckets
 * @asker: who gets the grant
 * @workspace: workspace
 * @waiting: requests that wait for a token
 * @demand: tokens wanted beyond these
 * @returned: unspent tokens of earlier grants that the asker gives up
 * @returned_epoch: epoch of these grants
 * @sequence: number returned with the grant; an ask is never sent twice
 * @now_us: time read after the ask was received
 *
 * Return: false if no grant will be made here.
 */
bool
token_bucket_add_ask (struct token_bucket_set *set, uint64_t asker,
                      struct str workspace, uint32_t waiting, uint32_t demand,
                      uint32_t returned, uint64_t returned_epoch,
                      uint64_t sequence, int64_t now_us)
{
  uint64_t id = 0;
  struct token_bucket *b = find_bucket (set, workspace, &id);
  struct token_bucket_ask *ask;
  void *row;

  if (b == NULL || !set->shards[b->shard].held)
    return false;
  if (returned > 0 && returned_epoch == set->shards[b->shard].epoch)
    {
      /* The returned tokens count as outstanding until they would have
         expired: which of the grants they came from is not known.  */
      update_level (set, b, now_us);
      b->level_u += (int64_t)MIN (returned, b->limit.burst) * UNITS_PER_TOKEN;
      cap_level (set, b);
    }
  table_add (&set->asks, &row);
  ask = row;
  *ask = (struct token_bucket_ask){ .bucket = id,
                                    .asker = asker,
                                    .waiting = waiting,
                                    .demand = demand,
                                    .sequence = sequence,
                                    .arrived_us = now_us };
  return true;
}

/**
 * token_bucket_run - answers the asks of this tick
 * @set: buckets
 * @now_us: current time
 *
 * Requests that wait come first.  If the tokens do not suffice for them they
 * are divided by the number that waits at each daemon; if tokens that accrue
 * within %TOKEN_BUCKET_HOLD_US would suffice, asks are held instead.  What is left
 * is granted in advance, divided by the demand.
 */
void
token_bucket_run (struct token_bucket_set *set, int64_t now_us)
{
  if (set->asks.count == 0)
    return;
  set->run++;
  sum_asks (set, now_us);
  answer_asks (set, now_us);
}
