/* control_shard: glue between lease, token_bucket, quota and idempotency and
   the control thread: objects of the platform, control links, thread messages
   of the fronts.

   Without a platform (an inventory file) the daemon holds all shards itself.
   With one, it takes part in the leases.  */

#ifndef ALMONDVALE_CONTROL_SHARD_H
#define ALMONDVALE_CONTROL_SHARD_H

#include "control.h"
#include "idempotency.h"
#include "lease.h"
#include "member.h"
#include "object_store.h"
#include "token_bucket.h"

/* Types */

/* What this daemon knows of the holder of a shard.  */
struct control_shard_holder
{
  uint64_t member; /* member id, 0 if not known */
  uint64_t epoch;
  int64_t unanswered_since_us; /* first message without an answer, 0 if none */
  int64_t next_query_us;
  uint32_t query_count;
};

/* One registered key of a call of this daemon.  */
struct control_shard_registration
{
  uint32_t front;
  uint64_t call;
  uint32_t shard;
  struct idempotency_key key;
  uint64_t fingerprint;
  struct idempotency_attempt attempt;
  bool answered; /* the request may run */
  int64_t arrived_us;
  int64_t next_try_us; /* while it was not answered */
};

struct control_shard
{
  struct member_table *members; /* NULL: no other daemons */
  struct object_store *store;   /* NULL: no platform */
  uint32_t shards;
  struct lease_table leases;
  struct token_bucket_set buckets;
  struct idempotency_registry idempotency;
  struct control_shard_holder *holders; /* by shard */
  struct table registrations;           /* struct control_shard_registration */
  struct table events;        /* struct lease_event, not applied yet */
  GHashTable *store_calls;    /* calls of the store that run */
  uint64_t last_attempt;      /* count, for attempt ids */
  uint32_t next_ranked_shard; /* shard planned next */
  int64_t next_ranking_us;
  int64_t release_until_us; /* the end of the daemon waits until then */
  bool configured;
};

/* State */

extern const struct control_node_ops control_shard_ops;

/* Public functions */

/* begins to take part in the leases; called by the node itself if there is a
   platform */
void control_shard_connect (struct control *c, struct member_table *members,
                            struct object_store *store);

#endif
