/* shard_key: registers idempotency keys at the holders of their shards.  Part
   of control_shard.  */

#ifndef ALMONDVALE_SHARD_KEY_H
#define ALMONDVALE_SHARD_KEY_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* handles REGISTERED, or the answer of the local registry */
void shard_key_handle_answer (struct control *c, uint64_t id,
                              enum idempotency_result answer,
                              struct str outcome);
/* system: sends registrations, repeats them and times them out */
void shard_key_run (struct control *c, int64_t now_us);
/* registers the key of a front thread's call */
void shard_key_register (struct control *c,
                         const struct thread_message *message);
/* reports the end of a front thread's call that has a key */
void shard_key_complete (struct control *c,
                         const struct thread_message *message);
/* handles REGISTER */
void shard_key_handle_register (struct control *c, uint64_t link,
                                const struct wire_register *q, int64_t now_us);
/* handles COMPLETE */
void shard_key_handle_complete (struct control_shard *n,
                                const struct wire_complete *q);

#endif
