/* shard_token: token requests and grants between this daemon and the holders
   of shards.  */

#include "shard_token.h"

#include "clock.h"
#include "shard_link.h"

/* Constants */

/* Requester id of this daemon's own token requests; links have other ids.  */
#define LOCAL_REQUESTER 0

/* Internal functions */

static bool
add_request (struct control *c, uint64_t requester,
             const struct wire_token_request *q, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  uint32_t shard = token_bucket_get_shard (q->workspace, cs->shards);

  return shard_link_is_holder (cs, shard, now_us)
         && token_bucket_add_request (&cs->buckets, requester, q->workspace,
                                      q->waiting, q->demand, q->returned,
                                      q->returned_epoch, q->sequence, now_us);
}

static void
fail_request (struct control *c, struct str workspace, uint64_t sequence,
              int64_t now_us)
{
  g_mutex_lock (&c->shared->quota_mutex);
  quota_fail_token_request (&c->shared->quotas, workspace, sequence, now_us);
  g_mutex_unlock (&c->shared->quota_mutex);
}

static void
apply_grant (struct control *c, const struct wire_tokens *t, int64_t now_us)
{
  g_mutex_lock (&c->shared->quota_mutex);
  quota_apply_grant (&c->shared->quotas, t->workspace, t->count,
                     (int64_t)t->validity_ms * CLOCK_US_PER_MS, t->epoch,
                     t->sequence, now_us);
  g_mutex_unlock (&c->shared->quota_mutex);
  shard_link_wake_fronts (c);
}

static void
send_request (struct control *c, const struct wire_token_request *q,
              int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  uint32_t shard = token_bucket_get_shard (q->workspace, cs->shards);
  struct wire_shard_message m = { .type = WIRE_TOKEN_REQUEST };

  if (shard_link_is_holder (cs, shard, now_us))
    {
      if (!add_request (c, LOCAL_REQUESTER, q, now_us))
        fail_request (c, q->workspace, q->sequence, now_us);
      return;
    }
  m.u.token_request = *q;
  if (!shard_link_send_to_holder (c, shard, &m, now_us))
    fail_request (c, q->workspace, q->sequence, now_us);
}

/* Public functions */

void
shard_token_handle_request (struct control *c, uint64_t link,
                            const struct wire_token_request *q, int64_t now_us)
{
  struct wire_shard_message m = { .type = WIRE_TOKENS };

  if (add_request (c, link, q, now_us))
    return;
  m.u.tokens.workspace = q->workspace;
  m.u.tokens.sequence = q->sequence;
  shard_link_reply (c, link, &m);
}

void
shard_token_handle_grant (struct control *c, uint64_t link,
                          const struct wire_tokens *t, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;

  cs->holders[token_bucket_get_shard (t->workspace, cs->shards)]
      .unanswered_since_us
      = 0;
  if (t->is_holder)
    {
      apply_grant (c, t, now_us);
      return;
    }
  shard_link_forget_holder (cs,
                            token_bucket_get_shard (t->workspace, cs->shards),
                            control_get_peer (c, link));
  fail_request (c, t->workspace, t->sequence, now_us);
}

/* Copies the token requests, since the mutex is not held while they are
   sent.  */
void
shard_token_run_requests (struct control *c, int64_t now_us)
{
  struct quota_set *quotas = &c->shared->quotas;
  GArray *requests
      = g_array_new (FALSE, FALSE, sizeof (struct wire_token_request));
  void *row;

  g_mutex_lock (&c->shared->quota_mutex);
  quota_run (quotas, now_us);
  for (uint64_t id = table_next (&quotas->token_requests, 0, &row); id != 0;
       id = table_next (&quotas->token_requests, id, &row))
    {
      const struct quota_token_request *due = row;
      struct wire_token_request q = { .workspace = str_copy (due->workspace),
                                      .waiting = due->waiting,
                                      .demand = due->demand,
                                      .returned = due->returned,
                                      .returned_epoch = due->returned_epoch,
                                      .sequence = due->sequence };

      g_array_append_val (requests, q);
      table_remove (&quotas->token_requests, id);
    }
  g_mutex_unlock (&c->shared->quota_mutex);
  for (guint i = 0; i < requests->len; i++)
    {
      struct wire_token_request *q
          = &g_array_index (requests, struct wire_token_request, i);

      send_request (c, q, now_us);
      str_free (&q->workspace);
    }
  g_array_unref (requests);
}

void
shard_token_run_grants (struct control *c, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  void *row;

  token_bucket_run (&cs->buckets, now_us);
  for (uint64_t id = table_next (&cs->buckets.grants, 0, &row); id != 0;
       id = table_next (&cs->buckets.grants, id, &row))
    {
      const struct token_bucket_grant *g = row;
      struct wire_shard_message m = { .type = WIRE_TOKENS };

      m.u.tokens = (struct wire_tokens){
        .workspace = g->workspace,
        .count = g->count,
        .validity_ms = (uint32_t)(g->validity_us / CLOCK_US_PER_MS),
        .epoch = g->epoch,
        .sequence = g->sequence,
        .is_holder = true
      };
      if (g->requester == LOCAL_REQUESTER)
        apply_grant (c, &m.u.tokens, now_us);
      else
        shard_link_reply (c, g->requester, &m);
      table_remove (&cs->buckets.grants, id);
    }
}
