/* shard_lease: performs the actions of the lease module: it calls the
   platform, sends messages to other daemons, and starts and stops granting.
   Part of control_shard.  */

#ifndef ALMONDVALE_SHARD_LEASE_H
#define ALMONDVALE_SHARD_LEASE_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* Queues a copy of a lease event for the next shard_lease_run.  */
void shard_lease_add_event (struct control_shard *cs,
                            const struct lease_event *e);
/* Starts granting for a shard.  If the epoch is new, its token buckets and its
   registry of idempotency keys are empty.  */
void shard_lease_start (struct control_shard *cs, uint32_t shard,
                        uint64_t epoch, int64_t now_us);
/* System: applies queued events, chooses candidates and performs actions.  */
void shard_lease_run (struct control *c, int64_t now_us);

#endif
