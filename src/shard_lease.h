/* shard_lease: carries out what the leases decide.  Part of node_shard.  */

#ifndef ALMONDVALE_SHARD_LEASE_H
#define ALMONDVALE_SHARD_LEASE_H

#include "node_shard.h"
#include "wire_shard.h"

/* Public functions */

/* applied in the next run */
void shard_lease_add_event (struct node_shard *n, const struct lease_event *e);
/* begins to grant for a shard, with empty buckets if the epoch is new */
void shard_lease_start (struct node_shard *n, uint32_t shard, uint64_t epoch,
                        int64_t now_us);
/* system: events, plan, actions */
void shard_lease_run (struct control *c, int64_t now_us);

#endif
