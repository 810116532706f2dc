/* shard_link: messages of the shards, and who holds a shard.  */

#include "shard_link.h"

#include "control_gossip.h"

/* Constants */

#define QUERY_INTERVAL_US INT64_C (250000)
/* Queries go to the members ranked first, in turn: their views differ.  */
#define QUERY_MEMBERS 3u
/* Above the bound on the round trip of a grant.  */
#define SILENT_HOLDER_US INT64_C (600000)

/* Internal functions */

/* Member to send to, or 0; asks the members ranked first if it is not known.
   A daemon that holds the shard itself never gets here.  */
static uint64_t
find_holder (struct control *c, uint32_t shard, int64_t now_us)
{
  struct control_shard *n = c->control_shard;
  struct control_shard_route *route = &n->routes[shard];
  struct member_query q = { .key = shard };
  struct wire_shard_message m = { .type = WIRE_HOLDER_REQUEST };
  uint64_t ids[QUERY_MEMBERS];
  uint32_t len;

  /* A paused holder keeps its links open and does not answer.  */
  if (route->unanswered_us != 0
      && now_us - route->unanswered_us > SILENT_HOLDER_US)
    shard_link_forget_holder (n, shard, route->holder);
  if (route->holder != 0 && member_find (n->members, route->holder) != NULL)
    return route->holder;
  if (now_us < route->next_query_us)
    return 0;
  route->next_query_us = now_us + QUERY_INTERVAL_US;
  len = member_rank (n->members, q, ids, QUERY_MEMBERS);
  if (len == 0)
    return 0;
  m.u.holder_request.shard = shard;
  if (ids[route->queries % len] != n->leases.self.id)
    shard_link_send (c, ids[route->queries % len], &m);
  else
    route->holder
        = lease_get_holder (&n->leases, shard, &route->epoch, now_us).id;
  route->queries++;
  return 0;
}

/* Public functions */

bool
shard_link_send (struct control *c, uint64_t id,
                 const struct wire_shard_message *m)
{
  const struct control_shard *n = c->control_shard;
  const struct member_row *row
      = n->members != NULL ? member_find (n->members, id) : NULL;
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
shard_link_is_granting (const struct control_shard *n, uint32_t shard,
                        int64_t now_us)
{
  return n->members == NULL || lease_is_granting (&n->leases, shard, now_us);
}

void
shard_link_forget_holder (struct control_shard *n, uint32_t shard,
                          uint64_t holder)
{
  if (n->routes[shard].holder == holder)
    n->routes[shard].holder = 0;
  n->routes[shard].unanswered_us = 0;
}

void
shard_link_answer_holder (struct control *c, uint64_t link, uint32_t shard,
                          int64_t now_us)
{
  struct control_shard *n = c->control_shard;
  struct wire_shard_message m = { .type = WIRE_HOLDER };

  if (n->members == NULL || shard >= n->shards)
    return;
  m.u.holder.shard = shard;
  m.u.holder.holder
      = lease_get_holder (&n->leases, shard, &m.u.holder.epoch, now_us);
  shard_link_reply (c, link, &m);
}

void
shard_link_take_holder (struct control_shard *n, const struct wire_holder *h)
{
  struct control_shard_route *route;

  if (h->shard >= n->shards || h->holder.id == 0)
    return;
  route = &n->routes[h->shard];
  if (h->epoch < route->epoch)
    return;
  route->epoch = h->epoch;
  route->holder = h->holder.id;
}

/* Sends to the holder of a shard; false if it is not known.  */
bool
shard_link_send_to_holder (struct control *c, uint32_t shard,
                           const struct wire_shard_message *m, int64_t now_us)
{
  struct control_shard *n = c->control_shard;
  struct control_shard_route *route = &n->routes[shard];
  uint64_t holder = find_holder (c, shard, now_us);

  if (holder == n->leases.self.id)
    shard_link_forget_holder (n, shard, holder);
  if (holder == 0 || !shard_link_send (c, holder, m))
    return false;
  if (route->unanswered_us == 0)
    route->unanswered_us = now_us;
  return true;
}
