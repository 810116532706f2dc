/* shard_key: registers idempotency keys at the holders of their shards.  Part
   of control_shard.  */

#ifndef ALMONDVALE_SHARD_KEY_H
#define ALMONDVALE_SHARD_KEY_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* Handles the result in a WIRE_REGISTERED message or of the registry of this
   daemon.  */
void shard_key_handle_answer (struct control *c, uint64_t id,
                              enum idempotency_result answer,
                              struct str outcome);
/* System: sends registrations, repeats those without an answer and ends them
   after a timeout.  */
void shard_key_run (struct control *c, int64_t now_us);
/* Makes the unanswered registrations of a shard due at once.  Called when the
   shard's holder has become known.  */
void shard_key_retry (struct control_shard *cs, uint32_t shard);
/* Registers the key of a front thread's call.  */
void shard_key_register (struct control *c,
                         const struct thread_message *message);
/* Reports the end of a front thread's call that has a key.  */
void shard_key_complete (struct control *c,
                         const struct thread_message *message);
/* Handles a WIRE_REGISTER message.  */
void shard_key_handle_register (struct control *c, uint64_t link,
                                const struct wire_register *q, int64_t now_us);
/* Handles a WIRE_COMPLETE message.  */
void shard_key_handle_complete (struct control_shard *cs,
                                const struct wire_complete *q);

#endif
