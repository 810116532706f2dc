/* control_shard: connects lease, token_bucket, quota and idempotency to the
   control thread: to the platform's objects, to the control links and to the
   thread messages of the front threads.

   Without a platform (with an inventory file) the daemon holds all shards
   itself.  With a platform, it takes part in the leases.  */

#ifndef ALMONDVALE_CONTROL_SHARD_H
#define ALMONDVALE_CONTROL_SHARD_H

#include "control.h"
#include "idempotency.h"
#include "lease.h"
#include "member.h"
#include "object_store.h"
#include "token_bucket.h"

/* Types */

/* The holder of a shard as known to this daemon.  */
struct control_shard_holder
{
  uint64_t member; /* 0 if not known */
  uint64_t epoch;
  /* When the first unanswered message was sent, 0 if none.  */
  int64_t unanswered_since_us;
  int64_t next_query_us; /* when to send the next WIRE_HOLDER_REQUEST */
  uint32_t query_count;
};

/* Registration of one idempotency key for a call of this daemon.  */
struct control_shard_registration
{
  uint32_t front; /* index of the front thread */
  uint64_t call;
  uint32_t shard;
  struct idempotency_key key;
  uint64_t fingerprint;
  struct idempotency_attempt attempt;
  bool answered; /* key registered; the request runs */
  int64_t arrived_us;
  int64_t next_try_us; /* while not answered */
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
  struct table events;        /* struct lease_event not applied yet */
  GHashTable *store_calls;    /* pending calls of the object store */
  uint64_t last_attempt;      /* number of the last attempt id */
  uint32_t next_ranked_shard; /* shard whose candidates are chosen next */
  int64_t next_ranking_us;
  /* Shutdown waits for the release of the shards until this time.  */
  int64_t release_until_us;
  bool configured; /* rate limits of a configuration have been set */
};

/* State */

extern const struct control_component_ops control_shard_ops;

/* Public functions */

/* Starts to take part in the leases.  The component calls this at its start if
   there is a platform.  */
void control_shard_connect (struct control *c, struct member_table *members,
                            struct object_store *store);

#endif
