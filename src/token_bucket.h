/* token_bucket: token buckets of the workspaces whose shards this daemon
   holds, and the grants to the daemons that request tokens.

   A shard is a group of workspaces.  Its holder, the daemon that has its
   lease, keeps their buckets.  In every window of length w at most burst +
   rate x w granted tokens can be spent.  A granted token can be spent until
   its validity has passed, so the depth of a bucket, its highest level, is the
   burst minus the outstanding tokens: those that were granted and may still be
   spent.  Buckets start empty.  */

#ifndef ALMONDVALE_TOKEN_BUCKET_H
#define ALMONDVALE_TOKEN_BUCKET_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define TOKEN_BUCKET_SLOTS 8u /* for outstanding grants, per bucket */
#define TOKEN_BUCKET_VALIDITY_MAX_US 1000000
/* Most grants with a shorter validity would expire before they can be spent,
   because of the round trip and the tick.  */
#define TOKEN_BUCKET_VALIDITY_MIN_US 100000
/* Longest time that a token request waits for tokens to accrue.  It is well
   within QUOTA_ROUND_TRIP_MAX_US.  */
#define TOKEN_BUCKET_REQUEST_WAIT_US 200000
#define TOKEN_BUCKET_RATE_MAX 10000000u
#define TOKEN_BUCKET_BURST_MAX 100000000u

/* Types */

/* Rules that a test can disable, to show that it detects the fault which the
   rule prevents.  */
enum token_bucket_rule
{
  TOKEN_BUCKET_RULE_DEPTH = 1,      /* outstanding tokens reduce the depth */
  TOKEN_BUCKET_RULE_EMPTY_START = 2 /* buckets of a new holder are empty */
};

struct token_bucket_limit
{
  uint32_t rate;  /* requests per second */
  uint32_t burst; /* requests */
};

/* Outstanding tokens that are counted until the same time.  */
struct token_bucket_slot
{
  int64_t expires_us;
  uint32_t count;
};

struct token_bucket
{
  struct str workspace; /* owned */
  uint32_t shard;
  struct token_bucket_limit limit;
  int64_t validity_us;
  int64_t level_microtokens; /* can be negative after the burst was lowered */
  int64_t updated_us;        /* time up to which tokens have accrued */
  uint32_t outstanding;      /* sum of the counts in slots */
  struct token_bucket_slot slots[TOKEN_BUCKET_SLOTS];
  uint64_t run_number;       /* token_bucket_run that set the members below */
  uint64_t waiting;          /* sum over the token requests */
  uint64_t demand;           /* sum over the token requests */
  uint64_t whole_tokens;     /* in the bucket at the start of that run */
  uint64_t ungranted_tokens; /* those of whole_tokens not granted yet */
};

/* A WIRE_TOKEN_REQUEST that was not answered yet.  */
struct token_bucket_request
{
  uint64_t bucket;    /* row id */
  uint64_t requester; /* the caller's id of the link or daemon */
  uint32_t waiting;   /* requests that wait for a token */
  uint32_t demand;    /* tokens requested beyond these */
  uint64_t sequence;
  int64_t arrived_us;
};

/* Answer to a token request; the caller sends it and removes the row.  */
struct token_bucket_grant
{
  uint64_t requester;
  struct str workspace; /* view of token_bucket.workspace */
  uint32_t count;
  int64_t validity_us;
  uint64_t epoch;
  uint64_t sequence;
};

struct token_bucket_shard
{
  bool held;      /* by this daemon */
  uint64_t epoch; /* of the lease */
};

struct token_bucket_set
{
  uint32_t shards_len;
  struct token_bucket_shard *shards;
  struct table buckets;
  GHashTable *by_name; /* token_bucket.workspace to row id */
  struct table requests;
  struct table grants;
  uint64_t run_count;       /* number of calls of token_bucket_run */
  int64_t blocked_until_us; /* new buckets accrue tokens from then on */
  /* bits of enum token_bucket_rule; 0 outside tests */
  uint32_t disabled_rules;
};

/* Public functions */

/* Makes a set without buckets that holds none of its `shards` shards.  */
void token_bucket_init_set (struct token_bucket_set *set, uint32_t shards);
/* Frees all buckets, requests and grants.  */
void token_bucket_close_set (struct token_bucket_set *set);
/* Returns the shard of a workspace or an idempotency key.  */
uint32_t token_bucket_get_shard (struct str name, uint32_t shards);
/* Sets the limit of a workspace.  A rate or a burst of 0 removes its
   bucket.  */
void token_bucket_set_limit (struct token_bucket_set *set,
                             struct str workspace,
                             struct token_bucket_limit limit, int64_t now_us);
/* Returns the validity of grants under a limit, in microseconds.  */
int64_t token_bucket_get_validity (struct token_bucket_limit limit);
/* Starts granting for a shard, with empty buckets if the epoch is new.  */
void token_bucket_start_shard (struct token_bucket_set *set, uint32_t shard,
                               uint64_t epoch, int64_t now_us);
/* Stops granting for a shard and drops its token requests.  */
void token_bucket_stop_shard (struct token_bucket_set *set, uint32_t shard);
/* Adds a token request.  Returns false if the workspace is unknown or its
   shard is not held.  */
bool token_bucket_add_request (struct token_bucket_set *set,
                               uint64_t requester, struct str workspace,
                               uint32_t waiting, uint32_t demand,
                               uint32_t returned, uint64_t returned_epoch,
                               uint64_t sequence, int64_t now_us);
/* System: answers token requests with grants.  */
void token_bucket_run (struct token_bucket_set *set, int64_t now_us);

#endif
