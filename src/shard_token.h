/* shard_token: token requests and grants between this daemon and the holders
   of shards, the daemons that have their leases.  Part of control_shard.  */

#ifndef ALMONDVALE_SHARD_TOKEN_H
#define ALMONDVALE_SHARD_TOKEN_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* Applies a received WIRE_TOKEN_REQUEST.  */
void shard_token_handle_request (struct control *c, uint64_t link,
                                 const struct wire_token_request *q,
                                 int64_t now_us);
/* Applies a received WIRE_TOKENS.  */
void shard_token_handle_grant (struct control *c, uint64_t link,
                               const struct wire_tokens *t, int64_t now_us);
/* System: sends the token requests that are due.  */
void shard_token_run_requests (struct control *c, int64_t now_us);
/* System: sends the grants from the buckets of this daemon.  */
void shard_token_run_grants (struct control *c, int64_t now_us);

#endif
