/* token_bucket: token buckets of the workspaces of the shards that this daemon
   holds, and the grants to the daemons that ask.

   In every window of length w at most burst + rate x w granted tokens can be
   spent.  A granted token can be spent until its validity has passed, so the
   level of a bucket never exceeds the burst less the tokens that were granted
   and may still be spent.  Buckets start empty.  */

#ifndef ALMONDVALE_TOKEN_BUCKET_H
#define ALMONDVALE_TOKEN_BUCKET_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define TOKEN_BUCKET_SLOTS 8u
#define TOKEN_BUCKET_VALIDITY_MAX_US 1000000
/* Below this a grant would expire before most round trips and ticks end.  */
#define TOKEN_BUCKET_VALIDITY_MIN_US 100000
/* An ask waits this long for tokens; well within the round-trip bound.  */
#define TOKEN_BUCKET_HOLD_US 200000
#define TOKEN_BUCKET_RATE_MAX 10000000u
#define TOKEN_BUCKET_BURST_MAX 100000000u

/* Types */

/* Rules that a test may turn off to show that its check finds the fault.  */
enum token_bucket_rule
{
  TOKEN_BUCKET_RULE_DEPTH = 1, /* outstanding tokens reduce the depth */
  TOKEN_BUCKET_RULE_EMPTY = 2  /* a new holder starts with empty buckets */
};

struct token_bucket_limit
{
  uint32_t rate;  /* requests per second */
  uint32_t burst; /* requests */
};

/* Tokens granted whose validity ends by the same time.  */
struct token_bucket_slot
{
  int64_t end_us;
  uint32_t count;
};

struct token_bucket
{
  struct str workspace; /* owned */
  uint32_t shard;
  struct token_bucket_limit limit;
  int64_t validity_us;
  int64_t level_u; /* millionths of a token; negative after a lower burst */
  int64_t updated_us;
  uint32_t outstanding; /* sum of the slots */
  struct token_bucket_slot slots[TOKEN_BUCKET_SLOTS];
  uint64_t run;     /* number of the run that the members below are of */
  uint64_t waiting; /* sums over the asks */
  uint64_t demand;
  uint64_t whole; /* whole tokens at the start */
  uint64_t left;  /* those not granted yet */
};

/* One TOKEN_REQUEST that was not answered yet.  */
struct token_bucket_ask
{
  uint64_t bucket; /* row id */
  uint64_t asker;  /* the caller's id of the link or daemon */
  uint32_t waiting;
  uint32_t demand;
  uint64_t sequence;
  int64_t arrived_us;
};

/* Answer to one ask; the caller removes it when it was sent.  */
struct token_bucket_grant
{
  uint64_t asker;
  struct str workspace; /* view of the bucket's */
  uint32_t count;
  int64_t validity_us;
  uint64_t epoch;
  uint64_t sequence;
};

struct token_bucket_shard
{
  bool held;
  uint64_t epoch;
};

struct token_bucket_set
{
  uint32_t shards_len;
  struct token_bucket_shard *shards;
  struct table buckets;
  GHashTable *by_name; /* struct str * of a bucket to its row id */
  struct table asks;
  struct table grants;
  uint64_t run;             /* count of runs */
  int64_t blocked_until_us; /* new buckets fill from then on */
  uint32_t test_rules_off;  /* enum token_bucket_rule, 0 outside tests */
};

/* Public functions */

/* no shard is held */
void token_bucket_init_set (struct token_bucket_set *set, uint32_t shards);
/* frees everything */
void token_bucket_close_set (struct token_bucket_set *set);
/* shard of a workspace or an idempotency key */
uint32_t token_bucket_get_shard (struct str name, uint32_t shards);
/* sets or changes the limit of a workspace; rate 0 removes it */
void token_bucket_set_limit (struct token_bucket_set *set,
                             struct str workspace,
                             struct token_bucket_limit limit, int64_t now_us);
/* validity of the grants under a limit */
int64_t token_bucket_get_validity (struct token_bucket_limit limit);
/* begins to hold a shard; the buckets are empty if the epoch is new */
void token_bucket_start_shard (struct token_bucket_set *set, uint32_t shard,
                               uint64_t epoch, int64_t now_us);
/* stops granting for a shard and drops its asks */
void token_bucket_stop_shard (struct token_bucket_set *set, uint32_t shard);
/* adds an ask; false if the workspace is unknown or its shard is not held */
bool token_bucket_add_ask (struct token_bucket_set *set, uint64_t asker,
                           struct str workspace, uint32_t waiting,
                           uint32_t demand, uint32_t returned,
                           uint64_t returned_epoch, uint64_t sequence,
                           int64_t now_us);
/* the system: answers asks with grants */
void token_bucket_run (struct token_bucket_set *set, int64_t now_us);

#endif
