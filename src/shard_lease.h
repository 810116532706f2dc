/* shard_lease: carries out what the leases decide.  Part of control_shard.  */

#ifndef ALMONDVALE_SHARD_LEASE_H
#define ALMONDVALE_SHARD_LEASE_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* applied in the next run */
void shard_lease_add_event (struct control_shard *n,
                            const struct lease_event *e);
/* begins to grant for a shard, with empty buckets if the epoch is new */
void shard_lease_start (struct control_shard *n, uint32_t shard,
                        uint64_t epoch, int64_t now_us);
/* system: events, plan, actions */
void shard_lease_run (struct control *c, int64_t now_us);

#endif
