/* shard_link: messages of the shards, and who holds a shard.  Part of
   control_shard.  */

#ifndef ALMONDVALE_SHARD_LINK_H
#define ALMONDVALE_SHARD_LINK_H

#include "control_shard.h"
#include "wire_shard.h"

/* Public functions */

/* sends to a member; false if it is not known or cannot be tried */
bool shard_link_send (struct control *c, uint64_t id,
                      const struct wire_shard_message *m);
/* answers on a link */
void shard_link_reply (struct control *c, uint64_t link,
                       const struct wire_shard_message *m);
/* wakes the front threads, whose requests may go on */
void shard_link_wake_fronts (struct control *c);
/* true if this daemon grants for the shard now */
bool shard_link_is_granting (const struct control_shard *n, uint32_t shard,
                             int64_t now_us);
/* forgets who holds a shard, if it is this member */
void shard_link_forget_holder (struct control_shard *n, uint32_t shard,
                               uint64_t holder);
/* answers HOLDER_REQUEST */
void shard_link_answer_holder (struct control *c, uint64_t link,
                               uint32_t shard, int64_t now_us);
/* applies HOLDER */
void shard_link_take_holder (struct control_shard *n,
                             const struct wire_holder *h);
/* sends to the holder of a shard; false if it is not known yet */
bool shard_link_send_to_holder (struct control *c, uint32_t shard,
                                const struct wire_shard_message *m,
                                int64_t now_us);

#endif
