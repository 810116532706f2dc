/* node_shard: glue between lease, bucket, quota and once and the control
   thread.  */

#include "node_shard.h"

#include "clock.h"
#include "logger.h"
#include "node_config.h"
#include "node_gossip.h"
#include "wire_shard.h"

#include <string.h>

/* Constants */

/* The platform answers in milliseconds.  With 1 s the attempts of a holder and
   its candidates in a row could outlast the lease when answers stopped.  */
#define STORE_TIMEOUT_US INT64_C (300000)
#define QUERY_INTERVAL_US INT64_C (250000)
/* Queries go to the members ranked first, in turn: their views differ.  */
#define QUERY_MEMBERS 3u
#define REGISTER_RETRY_US INT64_C (500000)
/* Above the bound on the round trip of a grant.  */
#define SILENT_HOLDER_US INT64_C (600000)
/* A call is refused as not run when no holder answered for so long.  */
#define REGISTER_WAIT_US INT64_C (2000000)
/* Longest time that a registered request runs.  */
#define RUN_MAX_US INT64_C (60000000)
/* A daemon that leaves waits this long for the platform to release its
   shards; after that the candidates wait for the term.  */
#define RELEASE_WAIT_US INT64_C (2000000)
#define PLAN_INTERVAL_US INT64_C (50000)
/* Members that candidates are chosen from.  */
#define PLAN_MEMBERS 16u
#define LOCAL_ASKER 0
#define LOCAL_EPOCH 1

/* Types */

/* One call of the store.  */
struct store_call_data
{
  struct control *c;
  uint32_t shard;
  uint64_t request;
  bool write;
};

/* Internal functions: messages */

static bool
send_to_member (struct control *c, uint64_t id,
                const struct wire_shard_message *m)
{
  const struct node_shard *n = c->node_shard;
  const struct member_row *row
      = n->members != NULL ? member_find (n->members, id) : NULL;
  struct str_buf out = { 0 };
  struct str address;
  bool sent;

  if (row == NULL)
    return false;
  address = node_gossip_format_address (&row->entry.address);
  wire_shard_append_message (&out, m);
  sent = control_send (c, id, address,
                       row->entry.address.ports[MEMBER_PORT_CONTROL],
                       str_view (&out));
  str_reset (&out);
  str_free (&address);
  return sent;
}

static void
reply (struct control *c, uint64_t link, const struct wire_shard_message *m)
{
  struct str_buf out = { 0 };

  wire_shard_append_message (&out, m);
  control_reply (c, link, str_view (&out));
  str_reset (&out);
}

static void
wake_fronts (struct control *c)
{
  for (uint32_t i = 0; i < c->shared->fronts_len; i++)
    mailbox_wake (c->shared->fronts[i]);
}

/* Internal functions: who holds a shard */

static bool
is_granting (const struct node_shard *n, uint32_t shard, int64_t now_us)
{
  return n->members == NULL || lease_is_granting (&n->leases, shard, now_us);
}

static void
forget_holder (struct node_shard *n, uint32_t shard, uint64_t holder)
{
  if (n->routes[shard].holder == holder)
    n->routes[shard].holder = 0;
  n->routes[shard].unanswered_us = 0;
}

/* Member to send to, or 0; asks the members ranked first if it is not known.
   A daemon that holds the shard itself never gets here.  */
static uint64_t
find_holder (struct control *c, uint32_t shard, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  struct node_shard_route *route = &n->routes[shard];
  struct member_query q = { .key = shard };
  struct wire_shard_message m = { .type = WIRE_HOLDER_WANTED };
  uint64_t ids[QUERY_MEMBERS];
  uint32_t len;

  /* A paused holder keeps its links open and does not answer.  */
  if (route->unanswered_us != 0
      && now_us - route->unanswered_us > SILENT_HOLDER_US)
    forget_holder (n, shard, route->holder);
  if (route->holder != 0 && member_find (n->members, route->holder) != NULL)
    return route->holder;
  if (now_us < route->next_query_us)
    return 0;
  route->next_query_us = now_us + QUERY_INTERVAL_US;
  len = member_rank (n->members, q, ids, QUERY_MEMBERS);
  if (len == 0)
    return 0;
  m.u.holder_wanted.shard = shard;
  if (ids[route->queries % len] != n->leases.self.id)
    send_to_member (c, ids[route->queries % len], &m);
  else
    route->holder
        = lease_get_holder (&n->leases, shard, &route->epoch, now_us).id;
  route->queries++;
  return 0;
}

static void
answer_holder (struct control *c, uint64_t link, uint32_t shard,
               int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  struct wire_shard_message m = { .type = WIRE_HOLDER };

  if (n->members == NULL || shard >= n->shards)
    return;
  m.u.holder.shard = shard;
  m.u.holder.holder
      = lease_get_holder (&n->leases, shard, &m.u.holder.epoch, now_us);
  reply (c, link, &m);
}

static void
take_holder (struct node_shard *n, const struct wire_holder *h)
{
  struct node_shard_route *route;

  if (h->shard >= n->shards || h->holder.id == 0)
    return;
  route = &n->routes[h->shard];
  if (h->epoch < route->epoch)
    return;
  route->epoch = h->epoch;
  route->holder = h->holder.id;
}

/* Sends to the holder of a shard; false if it is not known.  */
static bool
send_to_holder (struct control *c, uint32_t shard,
                const struct wire_shard_message *m, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  struct node_shard_route *route = &n->routes[shard];
  uint64_t holder = find_holder (c, shard, now_us);

  if (holder == n->leases.self.id)
    forget_holder (n, shard, holder);
  if (holder == 0 || !send_to_member (c, holder, m))
    return false;
  if (route->unanswered_us == 0)
    route->unanswered_us = now_us;
  return true;
}

/* Internal functions: leases */

static void
add_event (struct node_shard *n, const struct lease_event *e)
{
  void *row;

  table_add (&n->events, &row);
  *(struct lease_event *)row = *e;
}

static enum lease_event_kind
get_event_kind (const struct store_answer *answer, bool write)
{
  switch (answer->error)
    {
    case ERR_NONE:
      return write ? LEASE_EVENT_WRITTEN : LEASE_EVENT_READ;
    case ERR_NOT_FOUND:
      return write ? LEASE_EVENT_CONFLICT : LEASE_EVENT_ABSENT;
    case ERR_STORE_CONFLICT:
      return LEASE_EVENT_CONFLICT;
    case ERR_STORE_UNAVAILABLE:
      return LEASE_EVENT_UNREACHABLE;
    default:
      return write ? LEASE_EVENT_UNKNOWN : LEASE_EVENT_UNREACHABLE;
    }
}

static void
on_store_done (void *data, const struct store_answer *answer)
{
  struct store_call_data *call = data;
  struct node_shard *n = call->c->node_shard;
  struct lease_event e = { .shard = call->shard,
                           .request = call->request,
                           .version = answer->version,
                           .kind = get_event_kind (answer, call->write) };

  if (e.kind == LEASE_EVENT_READ
      && !wire_shard_load_object (&e.object, answer->value))
    {
      LOGGER_WRITE (LOGGER_ERROR, "shard_object_malformed",
                    LOGGER_NUMBER ("shard", call->shard));
      e.kind = LEASE_EVENT_UNREACHABLE;
    }
  add_event (n, &e);
  g_hash_table_remove (n->store_calls, call);
}

static void
call_store (struct control *c, const struct lease_action *a)
{
  struct node_shard *n = c->node_shard;
  struct store_call_data *data = g_new (struct store_call_data, 1);
  struct store_call call = { STORE_TIMEOUT_US, on_store_done, data };
  struct str_buf key = { 0 }, value = { 0 };

  *data = (struct store_call_data){ c, a->shard, a->request,
                                    a->kind == LEASE_WRITE };
  g_hash_table_add (n->store_calls, data);
  str_append_format (&key, "shards/%u", a->shard);
  if (data->write)
    {
      wire_shard_append_object (&value, &a->object);
      n->store->ops->put (n->store, str_view (&key), str_view (&value),
                          a->version == 0 ? STORE_IF_ABSENT : STORE_IF_VERSION,
                          a->version, &call);
    }
  else
    n->store->ops->get (n->store, str_view (&key), &call);
  str_reset (&key);
  str_reset (&value);
}

static void
send_promise (struct control *c, const struct lease_action *a)
{
  struct wire_shard_message m = { 0 };
  struct lease_owner self = c->node_shard->leases.self;

  if (a->kind == LEASE_ASK_PROMISE)
    {
      m.type = WIRE_PROMISE_WANTED;
      m.u.promise_wanted = (struct wire_promise_wanted){ a->shard, a->epoch,
                                                         a->request, self };
    }
  else
    {
      m.type = WIRE_PROMISE;
      m.u.promise = (struct wire_promise){ a->shard, a->epoch, a->request,
                                           self, a->promise_ms };
    }
  send_to_member (c, a->peer.id, &m);
}

static void
start_shard (struct node_shard *n, uint32_t shard, uint64_t epoch,
             int64_t now_us)
{
  bucket_start_shard (&n->buckets, shard, epoch, now_us);
  once_start_shard (&n->once, shard, epoch, clock_wall_ms ());
  LOGGER_WRITE (LOGGER_INFO, "shard_started", LOGGER_NUMBER ("shard", shard),
                LOGGER_NUMBER ("epoch", (int64_t)epoch));
}

static void
stop_shard (struct node_shard *n, uint32_t shard)
{
  bucket_stop_shard (&n->buckets, shard);
  once_stop_shard (&n->once, shard);
  LOGGER_WRITE (LOGGER_INFO, "shard_stopped", LOGGER_NUMBER ("shard", shard));
}

static void
run_actions (struct control *c, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  void *row;

  for (uint64_t id = table_next (&n->leases.actions, 0, &row); id != 0;
       id = table_next (&n->leases.actions, id, &row))
    {
      struct lease_action a = *(struct lease_action *)row;

      table_remove (&n->leases.actions, id);
      if (a.kind == LEASE_READ || a.kind == LEASE_WRITE)
        call_store (c, &a);
      else if (a.kind == LEASE_START)
        start_shard (n, a.shard, a.epoch, now_us);
      else if (a.kind == LEASE_STOP)
        stop_shard (n, a.shard);
      else
        send_promise (c, &a);
    }
}

/* Plans one shard in an interval: a ranking looks at all members, and the
   systems also run after each batch of events.  */
static void
plan_shard (struct node_shard *n, int64_t now_us)
{
  const struct member_entry *self = &n->members->self->entry;
  struct member_query q = { .key = n->next_plan };
  struct lease_member members[PLAN_MEMBERS + 1];
  struct lease_owner wanted[LEASE_CANDIDATES];
  uint64_t ids[PLAN_MEMBERS], first = 0;
  uint32_t len;

  if (now_us < n->next_plan_us)
    return;
  n->next_plan_us = now_us + PLAN_INTERVAL_US;
  member_rank (n->members, q, &first, 1);
  q.except = self->domain;
  len = member_rank (n->members, q, ids, PLAN_MEMBERS);
  if (len == 0)
    {
      q.except = 0;
      len = member_rank (n->members, q, ids, PLAN_MEMBERS);
    }
  for (uint32_t i = 0; i < len; i++)
    {
      const struct member_entry *e = &member_find (n->members, ids[i])->entry;

      members[i]
          = (struct lease_member){ { e->id, member_get_run (e->incarnation) },
                                   e->domain };
    }
  members[len++] = (struct lease_member){ n->leases.self, self->domain };
  lease_choose (n->next_plan, members, len, n->leases.self, wanted);
  lease_set_plan (&n->leases, n->next_plan, wanted, first == self->id);
  n->next_plan = (n->next_plan + 1) % n->shards;
}

static void
run_leases (struct control *c, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  void *row;

  if (n->members == NULL)
    return;
  for (uint64_t id = table_next (&n->events, 0, &row); id != 0;
       id = table_next (&n->events, id, &row))
    {
      lease_apply_event (&n->leases, row, now_us);
      table_remove (&n->events, id);
    }
  if (c->listeners_stopped && !n->leases.leaving)
    {
      lease_release_all (&n->leases);
      n->release_until_us = now_us + RELEASE_WAIT_US;
    }
  plan_shard (n, now_us);
  lease_run (&n->leases, now_us);
  run_actions (c, now_us);
  c->leases_open
      = !n->leases.leaving
        || (now_us < n->release_until_us && lease_count_held (&n->leases) > 0);
}

/* Internal functions: limits of the configuration */

static void
remove_limits (struct control *c, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  struct bucket_limit none = { 0, 0 };
  void *row;

  for (uint64_t id = table_next (&n->buckets.buckets, 0, &row); id != 0;
       id = table_next (&n->buckets.buckets, id, &row))
    {
      const struct bucket *b = row;

      if (inventory_find (&c->inventory, INVENTORY_WORKSPACE, b->workspace)
          == NULL)
        bucket_set_limit (&n->buckets, b->workspace, none, now_us);
    }
}

static void
apply_limits (struct control *c, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  const struct table *workspaces = &c->inventory.tables[INVENTORY_WORKSPACE];
  void *row;

  remove_limits (c, now_us);
  for (uint64_t id = table_next (workspaces, 0, &row); id != 0;
       id = table_next (workspaces, id, &row))
    {
      const struct inventory_workspace *w = row;
      struct bucket_limit limit = { w->rate_per_s, w->burst };

      bucket_set_limit (&n->buckets, w->name, limit, now_us);
    }
  if (n->members == NULL && !n->configured)
    for (uint32_t i = 0; i < n->shards; i++)
      start_shard (n, i, LOCAL_EPOCH, now_us);
  n->configured = true;
}

/* Internal functions: tokens */

static bool
add_ask (struct control *c, uint64_t asker, const struct wire_tokens_wanted *q,
         int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  uint32_t shard = bucket_get_shard (q->workspace, n->shards);

  return is_granting (n, shard, now_us)
         && bucket_add_ask (&n->buckets, asker, q->workspace, q->waiting,
                            q->demand, q->returned, q->returned_epoch,
                            q->sequence, now_us);
}

static void
receive_ask (struct control *c, uint64_t link,
             const struct wire_tokens_wanted *q, int64_t now_us)
{
  struct wire_shard_message m = { .type = WIRE_TOKENS };

  if (add_ask (c, link, q, now_us))
    return;
  m.u.tokens.workspace = q->workspace;
  m.u.tokens.sequence = q->sequence;
  reply (c, link, &m);
}

static void
fail_ask (struct control *c, struct str workspace, uint64_t sequence,
          int64_t now_us)
{
  g_mutex_lock (&c->shared->quota_mutex);
  quota_fail_ask (&c->shared->quotas, workspace, sequence, now_us);
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
  wake_fronts (c);
}

static void
receive_tokens (struct control *c, uint64_t link, const struct wire_tokens *t,
                int64_t now_us)
{
  struct node_shard *n = c->node_shard;

  n->routes[bucket_get_shard (t->workspace, n->shards)].unanswered_us = 0;
  if (t->held)
    {
      apply_grant (c, t, now_us);
      return;
    }
  forget_holder (n, bucket_get_shard (t->workspace, n->shards),
                 control_get_peer (c, link));
  fail_ask (c, t->workspace, t->sequence, now_us);
}

static void
send_ask (struct control *c, const struct wire_tokens_wanted *q,
          int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  uint32_t shard = bucket_get_shard (q->workspace, n->shards);
  struct wire_shard_message m = { .type = WIRE_TOKENS_WANTED };

  if (is_granting (n, shard, now_us))
    {
      if (!add_ask (c, LOCAL_ASKER, q, now_us))
        fail_ask (c, q->workspace, q->sequence, now_us);
      return;
    }
  m.u.tokens_wanted = *q;
  if (!send_to_holder (c, shard, &m, now_us))
    fail_ask (c, q->workspace, q->sequence, now_us);
}

/* Asks are copied out, since the mutex is not held while they are sent.  */
static void
run_asks (struct control *c, int64_t now_us)
{
  struct quota_set *quotas = &c->shared->quotas;
  GArray *asks
      = g_array_new (FALSE, FALSE, sizeof (struct wire_tokens_wanted));
  void *row;

  g_mutex_lock (&c->shared->quota_mutex);
  quota_run (quotas, now_us);
  for (uint64_t id = table_next (&quotas->asks, 0, &row); id != 0;
       id = table_next (&quotas->asks, id, &row))
    {
      const struct quota_ask *a = row;
      struct wire_tokens_wanted q = { .workspace = str_copy (a->workspace),
                                      .waiting = a->waiting,
                                      .demand = a->demand,
                                      .returned = a->returned,
                                      .returned_epoch = a->returned_epoch,
                                      .sequence = a->sequence };

      g_array_append_val (asks, q);
      table_remove (&quotas->asks, id);
    }
  g_mutex_unlock (&c->shared->quota_mutex);
  for (guint i = 0; i < asks->len; i++)
    {
      struct wire_tokens_wanted *q
          = &g_array_index (asks, struct wire_tokens_wanted, i);

      send_ask (c, q, now_us);
      str_free (&q->workspace);
    }
  g_array_unref (asks);
}

static void
run_grants (struct control *c, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  void *row;

  bucket_run (&n->buckets, now_us);
  for (uint64_t id = table_next (&n->buckets.grants, 0, &row); id != 0;
       id = table_next (&n->buckets.grants, id, &row))
    {
      const struct bucket_grant *g = row;
      struct wire_shard_message m = { .type = WIRE_TOKENS };

      m.u.tokens = (struct wire_tokens){
        .workspace = g->workspace,
        .count = g->count,
        .validity_ms = (uint32_t)(g->validity_us / CLOCK_US_PER_MS),
        .epoch = g->epoch,
        .sequence = g->sequence,
        .held = true
      };
      if (g->asker == LOCAL_ASKER)
        apply_grant (c, &m.u.tokens, now_us);
      else
        reply (c, g->asker, &m);
      table_remove (&n->buckets.grants, id);
    }
}

/* Internal functions: idempotency keys */

static const enum err_kind answer_errors[ONCE_ANSWERS]
    = { [ONCE_IS_RUNNING] = ERR_IDEMPOTENCY_KEY_RUNNING,
        [ONCE_UNKNOWN] = ERR_OUTCOME_UNKNOWN,
        [ONCE_EXPIRED] = ERR_IDEMPOTENCY_KEY_EXPIRED,
        [ONCE_REUSED] = ERR_IDEMPOTENCY_KEY_REUSED,
        [ONCE_FUTURE] = ERR_IDEMPOTENCY_KEY_INVALID,
        [ONCE_FULL] = ERR_REGISTRY_UNAVAILABLE,
        [ONCE_NOT_HELD] = ERR_REGISTRY_UNAVAILABLE };

static void
send_registered (struct control *c, uint32_t front, uint64_t call,
                 enum once_answer answer, struct str outcome)
{
  struct note *note = note_load (NOTE_REGISTERED);
  struct wire_shard_outcome o;

  note->front = front;
  note->call = call;
  note->registered
      = answer == ONCE_NEW ? NOTE_REGISTERED_NEW : NOTE_REGISTERED_REJECTED;
  note->error = answer_errors[answer];
  if (answer == ONCE_IS_DONE && wire_shard_load_outcome (&o, outcome))
    {
      note->registered = NOTE_REGISTERED_DONE;
      note->status = (int)o.status;
      note->content_type = o.content_type;
      note->text = o.body;
    }
  else if (answer == ONCE_IS_DONE)
    note->error = ERR_OUTCOME_UNKNOWN;
  mailbox_send (c->shared->fronts[front], note);
}

/* Ends or keeps an entry by the answer of the holder.  */
static void
apply_answer (struct control *c, uint64_t id, enum once_answer answer,
              struct str outcome)
{
  struct node_shard *n = c->node_shard;
  struct node_shard_entry *e = table_get (&n->entries, id);

  if (e == NULL || e->answered)
    return;
  n->routes[e->shard].unanswered_us = 0;
  if (answer == ONCE_NOT_HELD)
    {
      n->routes[e->shard].holder = 0;
      return;
    }
  send_registered (c, e->front, e->call, answer, outcome);
  e->answered = true;
  if (answer != ONCE_NEW)
    table_remove (&n->entries, id);
}

static void
try_register (struct control *c, uint64_t id, struct node_shard_entry *e,
              int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  struct wire_shard_message m = { .type = WIRE_REGISTER };
  struct str outcome;

  e->next_try_us = now_us + QUERY_INTERVAL_US;
  if (is_granting (n, e->shard, now_us))
    {
      enum once_answer answer = once_register (
          &n->once, e->shard, &e->key, e->fingerprint, e->attempt, RUN_MAX_US,
          now_us, clock_wall_ms (), &outcome);

      apply_answer (c, id, answer, outcome);
      return;
    }
  m.u.reg = (struct wire_register){ id, e->key, e->fingerprint, e->attempt,
                                    RUN_MAX_US };
  if (send_to_holder (c, e->shard, &m, now_us))
    e->next_try_us = now_us + REGISTER_RETRY_US;
}

/* Tells the holder how a registered request ended.  */
static void
complete_entry (struct control *c, const struct node_shard_entry *e,
                bool not_run, struct str outcome)
{
  struct node_shard *n = c->node_shard;
  struct wire_shard_message m = { .type = WIRE_COMPLETE };
  int64_t now_us = clock_now_us ();

  if (is_granting (n, e->shard, now_us))
    {
      if (not_run)
        once_release (&n->once, &e->key, e->attempt);
      else
        once_complete (&n->once, &e->key, e->attempt, outcome);
      return;
    }
  m.u.complete
      = (struct wire_complete){ e->key, e->attempt, not_run, outcome };
  if (n->routes[e->shard].holder != 0)
    send_to_member (c, n->routes[e->shard].holder, &m);
}

static void
run_entries (struct control *c, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  void *row;

  for (uint64_t id = table_next (&n->entries, 0, &row); id != 0;
       id = table_next (&n->entries, id, &row))
    {
      struct node_shard_entry *e = row;

      if (!e->answered && now_us - e->arrived_us >= REGISTER_WAIT_US)
        {
          /* The holder may have registered the key; it did not run.  */
          complete_entry (c, e, true, STR_EMPTY);
          apply_answer (c, id, ONCE_FULL, STR_EMPTY);
        }
      else if (!e->answered && now_us >= e->next_try_us)
        try_register (c, id, e, now_us);
      else if (now_us - e->arrived_us > 2 * RUN_MAX_US)
        table_remove (&n->entries, id);
    }
}

static void
register_key (struct control *c, const struct note *note)
{
  struct node_shard *n = c->node_shard;
  struct once_key key;
  struct node_shard_entry *e;
  void *row;

  if (!once_parse_key (note->key, &key))
    {
      send_registered (c, note->front, note->call, ONCE_FUTURE, STR_EMPTY);
      return;
    }
  table_add (&n->entries, &row);
  e = row;
  e->front = note->front;
  e->call = note->call;
  e->key = key;
  e->shard = bucket_get_shard (
      (struct str){ ONCE_KEY_BYTES, (const char *)key.bytes }, n->shards);
  e->fingerprint = note->fingerprint;
  e->attempt = (struct once_attempt){ c->shared->member, ++n->attempts };
  e->arrived_us = clock_now_us ();
}

static void
complete_key (struct control *c, const struct note *note)
{
  struct node_shard *n = c->node_shard;
  struct wire_shard_outcome o
      = { (uint32_t)note->status, note->content_type, note->text };
  struct str_buf out = { 0 };
  void *row;

  if (note->error == ERR_NONE)
    wire_shard_append_outcome (&out, &o);
  for (uint64_t id = table_next (&n->entries, 0, &row); id != 0;
       id = table_next (&n->entries, id, &row))
    {
      struct node_shard_entry *e = row;

      if (e->call != note->call || e->front != note->front)
        continue;
      complete_entry (c, e,
                      note->error != ERR_NONE && err_is_not_run (note->error),
                      str_view (&out));
      table_remove (&n->entries, id);
    }
  str_reset (&out);
}

static void
receive_register (struct control *c, uint64_t link,
                  const struct wire_register *q, int64_t now_us)
{
  struct node_shard *n = c->node_shard;
  struct wire_shard_message m = { .type = WIRE_REGISTERED };
  uint32_t shard = bucket_get_shard (
      (struct str){ ONCE_KEY_BYTES, (const char *)q->key.bytes }, n->shards);
  struct str outcome = STR_EMPTY;

  m.u.registered.request_id = q->request_id;
  m.u.registered.answer = ONCE_NOT_HELD;
  if (is_granting (n, shard, now_us))
    m.u.registered.answer
        = once_register (&n->once, shard, &q->key, q->fingerprint, q->attempt,
                         q->timeout_us, now_us, clock_wall_ms (), &outcome);
  m.u.registered.outcome = outcome;
  reply (c, link, &m);
}

static void
receive_complete (struct node_shard *n, const struct wire_complete *q)
{
  if (q->not_run)
    once_release (&n->once, &q->key, q->attempt);
  else
    once_complete (&n->once, &q->key, q->attempt, q->outcome);
}

/* Internal functions: operations of the node */

static void
receive_message (struct control *c, uint64_t link,
                 const struct wire_shard_message *m)
{
  struct node_shard *n = c->node_shard;
  int64_t now_us = clock_now_us ();
  struct lease_event e = { 0 };

  switch (m->type)
    {
    case WIRE_TOKENS_WANTED:
      receive_ask (c, link, &m->u.tokens_wanted, now_us);
      break;
    case WIRE_TOKENS:
      receive_tokens (c, link, &m->u.tokens, now_us);
      break;
    case WIRE_REGISTER:
      receive_register (c, link, &m->u.reg, now_us);
      break;
    case WIRE_REGISTERED:
      apply_answer (c, m->u.registered.request_id, m->u.registered.answer,
                    m->u.registered.outcome);
      break;
    case WIRE_COMPLETE:
      receive_complete (n, &m->u.complete);
      break;
    case WIRE_PROMISE_WANTED:
      e = (struct lease_event){ .kind = LEASE_EVENT_PROMISE_WANTED,
                                .shard = m->u.promise_wanted.shard,
                                .epoch = m->u.promise_wanted.epoch,
                                .request = m->u.promise_wanted.number,
                                .peer = m->u.promise_wanted.asker };
      add_event (n, &e);
      break;
    case WIRE_PROMISE:
      e = (struct lease_event){ .kind = LEASE_EVENT_PROMISE,
                                .shard = m->u.promise.shard,
                                .epoch = m->u.promise.epoch,
                                .request = m->u.promise.number,
                                .peer = m->u.promise.candidate,
                                .promise_ms = m->u.promise.promise_ms };
      add_event (n, &e);
      break;
    case WIRE_HOLDER_WANTED:
      answer_holder (c, link, m->u.holder_wanted.shard, now_us);
      break;
    case WIRE_HOLDER:
      take_holder (n, &m->u.holder);
      break;
    }
}

static bool
on_frame (struct control *c, uint64_t link, uint32_t type, struct str frame)
{
  struct wire_shard_message m;

  if (type < WIRE_TOKENS_WANTED || type > WIRE_HOLDER
      || !wire_shard_load_message (&m, frame))
    return false;
  receive_message (c, link, &m);
  wire_shard_unload_message (&m);
  return true;
}

static void
on_link_close (struct control *c, uint64_t link)
{
  struct node_shard *n = c->node_shard;
  uint64_t member = control_get_peer (c, link);

  for (uint32_t i = 0; i < n->shards && member != 0; i++)
    forget_holder (n, i, member);
}

static void
on_note (struct control *c, const struct note *note)
{
  if (note->kind == NOTE_REGISTER)
    register_key (c, note);
  if (note->kind == NOTE_COMPLETE)
    complete_key (c, note);
}

static void
run_node (struct control *c, int64_t now_us)
{
  struct node_shard *n = c->node_shard;

  if (c->config_changed)
    apply_limits (c, now_us);
  if (!n->configured && n->members == NULL)
    return;
  run_leases (c, now_us);
  run_asks (c, now_us);
  run_grants (c, now_us);
  run_entries (c, now_us);
  once_run (&n->once, clock_wall_ms ());
}

static bool
init_node (struct control *c, GError **error)
{
  struct node_shard *n = g_new0 (struct node_shard, 1);
  struct once_settings once = once_get_defaults ();

  c->node_shard = n;
  n->shards = (uint32_t)c->settings->lease.shards;
  bucket_init_set (&n->buckets, n->shards);
  once_init_registry (&n->once, n->shards, &once);
  n->routes = g_new0 (struct node_shard_route, n->shards);
  table_init (&n->entries, sizeof (struct node_shard_entry));
  table_init (&n->events, sizeof (struct lease_event));
  n->store_calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  if (c->settings->inventory_file.len > 0)
    {
      atomic_store (&c->shared->rate_limited, true);
      atomic_store (&c->shared->registry, true);
    }
  if (c->node_config->lease_store != NULL)
    node_shard_connect (c, &c->node_gossip->members,
                        c->node_config->lease_store);
  return true;
}

static void
close_node (struct control *c)
{
  struct node_shard *n = c->node_shard;

  if (n == NULL)
    return;
  if (n->members != NULL)
    lease_close_table (&n->leases);
  bucket_close_set (&n->buckets);
  once_close_registry (&n->once);
  table_close (&n->entries);
  table_close (&n->events);
  g_hash_table_destroy (n->store_calls);
  g_free (n->routes);
  g_free (n);
  c->node_shard = NULL;
}

static void
append_status (struct control *c, JsonBuilder *b)
{
  struct node_shard *n = c->node_shard;
  int64_t now_us = clock_now_us ();

  json_builder_set_member_name (b, "shards_held");
  json_builder_begin_array (b);
  for (uint32_t i = 0; i < n->shards; i++)
    if (is_granting (n, i, now_us))
      json_builder_add_int_value (b, i);
  json_builder_end_array (b);
  json_builder_set_member_name (b, "idempotency_records");
  json_builder_add_int_value (b, n->once.records.count);
}

/* Public functions */

/**
 * node_shard_connect - begins to take part in the leases
 * @c: control thread
 * @members: membership table; its own row has this daemon's id and run
 * @store: the platform; calls that run when the node is closed must have been
 *         cancelled before
 */
void
node_shard_connect (struct control *c, struct member_table *members,
                    struct store *store)
{
  struct node_shard *n = c->node_shard;
  const struct settings *s = c->settings;
  const struct member_entry *self = &members->self->entry;
  struct lease_settings settings = lease_get_defaults ();
  struct lease_owner owner = { self->id, member_get_run (self->incarnation) };

  settings.shards = n->shards;
  settings.term_ms = (uint32_t)s->lease.term_ms;
  settings.promise_ms = (uint32_t)s->lease.promise_ms;
  settings.abandon_ms = (uint32_t)s->lease.abandon_ms;
  settings.round_trip_ms = (uint32_t)s->grant.round_trip_bound_ms;
  settings.validity_ms = BUCKET_VALIDITY_MAX_US / CLOCK_US_PER_MS;
  lease_init_table (&n->leases, owner, &settings);
  n->members = members;
  n->store = store;
  atomic_store (&c->shared->rate_limited, true);
  atomic_store (&c->shared->registry, true);
}

/* State */

const struct control_node_ops node_shard_ops
    = { .name = "shard",
        .init = init_node,
        .close = close_node,
        .on_frame = on_frame,
        .on_link_close = on_link_close,
        .on_note = on_note,
        .run = run_node,
        .append_status = append_status };
