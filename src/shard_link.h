/* shard_link: sends the messages about shards and finds the holder of a shard.
   Part of control_shard.  */

#ifndef ALMONDVALE_SHARD_LINK_H
#define ALMONDVALE_SHARD_LINK_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* Sends a message to a member.  Returns false if the member is unknown or the
   message cannot be sent.  */
bool shard_link_send (struct control *c, uint64_t id,
                      const struct wire_shard_message *m);
/* Sends a message back on a link.  */
void shard_link_reply (struct control *c, uint64_t link,
                       const struct wire_shard_message *m);
/* Wakes the front threads (which receive callers' requests), since requests
   that wait for tokens may be able to continue.  */
void shard_link_wake_fronts (struct control *c);
/* Returns true if this daemon is the holder of the shard: it may grant tokens
   and register keys for the shard itself now.  */
bool shard_link_is_holder (const struct control_shard *cs, uint32_t shard,
                           int64_t now_us);
/* Forgets the holder of a shard if it is this member.  */
void shard_link_forget_holder (struct control_shard *cs, uint32_t shard,
                               uint64_t holder);
/* Replies to a WIRE_HOLDER_REQUEST message.  */
void shard_link_answer_holder (struct control *c, uint64_t link,
                               uint32_t shard, int64_t now_us);
/* Handles a WIRE_HOLDER message.  Returns true if it names a holder that was
   not known.  */
bool shard_link_handle_holder (struct control_shard *cs,
                               const struct wire_holder *h);
/* Sends a message to the holder of a shard.  Returns false if the holder is
   not known yet or the message cannot be sent.  */
bool shard_link_send_to_holder (struct control *c, uint32_t shard,
                                const struct wire_shard_message *m,
                                int64_t now_us);

#endif
