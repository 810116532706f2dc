/* shard_link: sends the messages about shards and finds the holder of a
   shard.  */

#include "shard_link.h"

#include "control_gossip.h"

/* Constants */

/* Interval between WIRE_HOLDER_REQUEST messages about one shard.  */
#define QUERY_INTERVAL_US INT64_C (250000)
/* WIRE_HOLDER_REQUEST messages go in turn to this many of the members that
   rank highest for the shard, since they may know different holders.  */
#define QUERY_MEMBERS 3u
/* A holder that has not answered for this time is forgotten.  It is longer
   than the bound on the round-trip time of a grant.  */
#define HOLDER_ANSWER_TIMEOUT_US INT64_C (600000)

/* Internal functions */

/* Returns the member id of a shard's holder.  If the holder is not known, this
   sends a WIRE_HOLDER_REQUEST to one of the highest-ranked members and returns
   0.  A daemon that holds the shard does not call this function.  */
static uint64_t
find_holder (struct control *c, uint32_t shard, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  struct control_shard_holder *state = &cs->holders[shard];
  struct member_query q = { .key = shard };
  struct wire_shard_message m = { .type = WIRE_HOLDER_REQUEST };
  uint64_t ids[QUERY_MEMBERS];
  uint32_t len;

  /* A paused holder keeps its links open but does not answer.  */
  if (state->unanswered_since_us != 0
      && now_us - state->unanswered_since_us > HOLDER_ANSWER_TIMEOUT_US)
    shard_link_forget_holder (cs, shard, state->member);
  if (state->member != 0 && member_find (cs->members, state->member) != NULL)
    return state->member;
  if (now_us < state->next_query_us)
    return 0;
  state->next_query_us = now_us + QUERY_INTERVAL_US;
  len = member_rank (cs->members, q, ids, QUERY_MEMBERS);
  if (len == 0)
    return 0;
  m.u.holder_request.shard = shard;
  /* If it is this daemon's turn, its own lease table is asked instead.  */
  if (ids[state->query_count % len] != cs->leases.self.id)
    shard_link_send (c, ids[state->query_count % len], &m);
  else
    state->member
        = lease_get_holder (&cs->leases, shard, &state->epoch, now_us).id;
  state->query_count++;
  return 0;
}

/* Public functions */

bool
shard_link_send (struct control *c, uint64_t id,
                 const struct wire_shard_message *m)
{
  const struct control_shard *cs = c->control_shard;
  const struct member_row *row
      = cs->members != NULL ? member_find (cs->members, id) : NULL;
  struct str_buf out = { 0 };
  struct str address;
  bool sent;

  if (row == NULL)
    return false;
  address = control_gossip_format_address (&row->entry.address);
  wire_shard_append_message (&out, m);
  sent = control_send (c, id, address,
                       row->entry.address.ports[MEMBER_PORT_CONTROL],
                       str_view (&out));
  str_reset (&out);
  str_free (&address);
  return sent;
}

void
shard_link_reply (struct control *c, uint64_t link,
                  const struct wire_shard_message *m)
{
  struct str_buf out = { 0 };

  wire_shard_append_message (&out, m);
  control_reply (c, link, str_view (&out));
  str_reset (&out);
}

void
shard_link_wake_fronts (struct control *c)
{
  for (uint32_t i = 0; i < c->shared->fronts_len; i++)
    mailbox_wake (c->shared->fronts[i]);
}

bool
shard_link_is_holder (const struct control_shard *cs, uint32_t shard,
                      int64_t now_us)
{
  return cs->members == NULL || lease_is_granting (&cs->leases, shard, now_us);
}

void
shard_link_forget_holder (struct control_shard *cs, uint32_t shard,
                          uint64_t holder)
{
  if (cs->holders[shard].member == holder)
    cs->holders[shard].member = 0;
  cs->holders[shard].unanswered_since_us = 0;
}

void
shard_link_answer_holder (struct control *c, uint64_t link, uint32_t shard,
                          int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  struct wire_shard_message m = { .type = WIRE_HOLDER };

  if (cs->members == NULL || shard >= cs->shards)
    return;
  m.u.holder.shard = shard;
  m.u.holder.holder
      = lease_get_holder (&cs->leases, shard, &m.u.holder.epoch, now_us);
  shard_link_reply (c, link, &m);
}

bool
shard_link_handle_holder (struct control_shard *cs,
                          const struct wire_holder *h)
{
  struct control_shard_holder *state;
  bool found;

  if (h->shard >= cs->shards || h->holder.id == 0)
    return false;
  state = &cs->holders[h->shard];
  if (h->epoch < state->epoch)
    return false;
  found = state->member != h->holder.id;
  state->epoch = h->epoch;
  state->member = h->holder.id;
  return found;
}

bool
shard_link_send_to_holder (struct control *c, uint32_t shard,
                           const struct wire_shard_message *m, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  struct control_shard_holder *state = &cs->holders[shard];
  uint64_t holder = find_holder (c, shard, now_us);

  if (holder == cs->leases.self.id)
    shard_link_forget_holder (cs, shard, holder);
  if (holder == 0 || !shard_link_send (c, holder, m))
    return false;
  if (state->unanswered_since_us == 0)
    state->unanswered_since_us = now_us;
  return true;
}
