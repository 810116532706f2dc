/* shard_token: asks for tokens and grants between a daemon and the holders.
   Part of control_shard.  */

#ifndef ALMONDVALE_SHARD_TOKEN_H
#define ALMONDVALE_SHARD_TOKEN_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* applies TOKEN_REQUEST */
void shard_token_take_ask (struct control *c, uint64_t link,
                           const struct wire_token_request *q, int64_t now_us);
/* applies TOKENS */
void shard_token_take_grant (struct control *c, uint64_t link,
                             const struct wire_tokens *t, int64_t now_us);
/* system: sends the asks that are due */
void shard_token_run_asks (struct control *c, int64_t now_us);
/* system: sends the grants of the own buckets */
void shard_token_run_grants (struct control *c, int64_t now_us);

#endif
