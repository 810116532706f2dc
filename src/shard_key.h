/* shard_key: registers idempotency keys at the holders of their shards.  Part
   of control_shard.  */

#ifndef ALMONDVALE_SHARD_KEY_H
#define ALMONDVALE_SHARD_KEY_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* applies REGISTERED, or the own registry's answer */
void shard_key_handle_answer (struct control *c, uint64_t id,
                              enum idempotency_answer answer,
                              struct str outcome);
/* system: registers, repeats and gives up */
void shard_key_run (struct control *c, int64_t now_us);
/* a front's call has a key */
void shard_key_register (struct control *c, const struct thread_message *note);
/* a front's call with a key has ended */
void shard_key_complete (struct control *c, const struct thread_message *note);
/* applies REGISTER */
void shard_key_handle_register (struct control *c, uint64_t link,
                                const struct wire_register *q, int64_t now_us);
/* applies COMPLETE */
void shard_key_handle_complete (struct control_shard *n,
                                const struct wire_complete *q);

#endif
