/* shard_key: registers idempotency keys at the holders of their shards.  */

#include "shard_key.h"

#include "clock.h"
#include "shard_link.h"

/* Constants */

#define RETRY_INTERVAL_US INT64_C (250000)
#define REGISTER_RETRY_US INT64_C (500000)
/* A call is refused as not run when no holder answered for so long.  */
#define REGISTER_WAIT_US INT64_C (2000000)
/* Longest time that a registered request runs.  */
#define RUN_MAX_US INT64_C (60000000)

/* State */

static const enum err_kind answer_errors[IDEMPOTENCY_ANSWERS]
    = { [IDEMPOTENCY_IS_RUNNING] = ERR_IDEMPOTENCY_KEY_RUNNING,
        [IDEMPOTENCY_UNKNOWN] = ERR_OUTCOME_UNKNOWN,
        [IDEMPOTENCY_EXPIRED] = ERR_IDEMPOTENCY_KEY_EXPIRED,
        [IDEMPOTENCY_REUSED] = ERR_IDEMPOTENCY_KEY_REUSED,
        [IDEMPOTENCY_FUTURE] = ERR_IDEMPOTENCY_KEY_INVALID,
        [IDEMPOTENCY_FULL] = ERR_REGISTRY_UNAVAILABLE,
        [IDEMPOTENCY_NOT_HELD] = ERR_REGISTRY_UNAVAILABLE };

/* Internal functions */

static void
send_registered (struct control *c, uint32_t front, uint64_t call,
                 enum idempotency_answer answer, struct str outcome)
{
  struct thread_message *note
      = thread_message_load (THREAD_MESSAGE_REGISTERED);
  struct wire_shard_outcome o;

  note->front = front;
  note->call = call;
  note->registration = answer == IDEMPOTENCY_NEW
                           ? THREAD_MESSAGE_REGISTRATION_NEW
                           : THREAD_MESSAGE_REGISTRATION_REJECTED;
  note->error = answer_errors[answer];
  if (answer == IDEMPOTENCY_IS_DONE && wire_shard_load_outcome (&o, outcome))
    {
      note->registration = THREAD_MESSAGE_REGISTRATION_DONE;
      note->status = (int)o.status;
      note->content_type = o.content_type;
      note->text = o.body;
    }
  else if (answer == IDEMPOTENCY_IS_DONE)
    note->error = ERR_OUTCOME_UNKNOWN;
  mailbox_send (c->shared->fronts[front], note);
}

static void
try_register (struct control *c, uint64_t id, struct control_shard_entry *e,
              int64_t now_us)
{
  struct control_shard *n = c->control_shard;
  struct wire_shard_message m = { .type = WIRE_REGISTER };
  struct str outcome;

  e->next_try_us = now_us + RETRY_INTERVAL_US;
  if (shard_link_is_granting (n, e->shard, now_us))
    {
      enum idempotency_answer answer = idempotency_register (
          &n->once, e->shard, &e->key, e->fingerprint, e->attempt, RUN_MAX_US,
          now_us, clock_wall_ms (), &outcome);

      shard_key_take_answer (c, id, answer, outcome);
      return;
    }
  m.u.reg = (struct wire_register){ id, e->key, e->fingerprint, e->attempt,
                                    RUN_MAX_US };
  if (shard_link_send_to_holder (c, e->shard, &m, now_us))
    e->next_try_us = now_us + REGISTER_RETRY_US;
}

/* Tells the holder how a registered request ended.  */
static void
complete_entry (struct control *c, const struct control_shard_entry *e,
                bool not_run, struct str outcome)
{
  struct control_shard *n = c->control_shard;
  struct wire_shard_message m = { .type = WIRE_COMPLETE };
  int64_t now_us = clock_now_us ();

  if (shard_link_is_granting (n, e->shard, now_us))
    {
      if (not_run)
        idempotency_release (&n->once, &e->key, e->attempt);
      else
        idempotency_complete (&n->once, &e->key, e->attempt, outcome);
      return;
    }
  m.u.complete
      = (struct wire_complete){ e->key, e->attempt, not_run, outcome };
  if (n->routes[e->shard].holder != 0)
    shard_link_send (c, n->routes[e->shard].holder, &m);
}

/* Public functions */

/* Ends or keeps an entry by the answer of the holder.  */
void
shard_key_take_answer (struct control *c, uint64_t id,
                       enum idempotency_answer answer, struct str outcome)
{
  struct control_shard *n = c->control_shard;
  struct control_shard_entry *e = table_get (&n->entries, id);

  if (e == NULL || e->answered)
    return;
  n->routes[e->shard].unanswered_us = 0;
  if (answer == IDEMPOTENCY_NOT_HELD)
    {
      n->routes[e->shard].holder = 0;
      return;
    }
  send_registered (c, e->front, e->call, answer, outcome);
  e->answered = true;
  if (answer != IDEMPOTENCY_NEW)
    table_remove (&n->entries, id);
}

void
shard_key_run (struct control *c, int64_t now_us)
{
  struct control_shard *n = c->control_shard;
  void *row;

  for (uint64_t id = table_next (&n->entries, 0, &row); id != 0;
       id = table_next (&n->entries, id, &row))
    {
      struct control_shard_entry *e = row;

      if (!e->answered && now_us - e->arrived_us >= REGISTER_WAIT_US)
        {
          /* The holder may have registered the key; it did not run.  */
          complete_entry (c, e, true, STR_EMPTY);
          shard_key_take_answer (c, id, IDEMPOTENCY_FULL, STR_EMPTY);
        }
      else if (!e->answered && now_us >= e->next_try_us)
        try_register (c, id, e, now_us);
      else if (now_us - e->arrived_us > 2 * RUN_MAX_US)
        table_remove (&n->entries, id);
    }
}

void
shard_key_register (struct control *c, const struct thread_message *note)
{
  struct control_shard *n = c->control_shard;
  struct idempotency_key key;
  struct control_shard_entry *e;
  void *row;

  if (!idempotency_parse_key (note->key, &key))
    {
      send_registered (c, note->front, note->call, IDEMPOTENCY_FUTURE,
                       STR_EMPTY);
      return;
    }
  table_add (&n->entries, &row);
  e = row;
  e->front = note->front;
  e->call = note->call;
  e->key = key;
  e->shard = token_bucket_get_shard (
      (struct str){ IDEMPOTENCY_KEY_BYTES, (const char *)key.bytes },
      n->shards);
  e->fingerprint = note->fingerprint;
  e->attempt
      = (struct idempotency_attempt){ c->shared->member, ++n->attempts };
  e->arrived_us = clock_now_us ();
}

void
shard_key_complete (struct control *c, const struct thread_message *note)
{
  struct control_shard *n = c->control_shard;
  struct wire_shard_outcome o
      = { (uint32_t)note->status, note->content_type, note->text };
  struct str_buf out = { 0 };
  void *row;

  if (note->error == ERR_NONE)
    wire_shard_append_outcome (&out, &o);
  for (uint64_t id = table_next (&n->entries, 0, &row); id != 0;
       id = table_next (&n->entries, id, &row))
    {
      struct control_shard_entry *e = row;

      if (e->call != note->call || e->front != note->front)
        continue;
      complete_entry (c, e,
                      note->error != ERR_NONE && err_is_not_run (note->error),
                      str_view (&out));
      table_remove (&n->entries, id);
    }
  str_reset (&out);
}

void
shard_key_take_register (struct control *c, uint64_t link,
                         const struct wire_register *q, int64_t now_us)
{
  struct control_shard *n = c->control_shard;
  struct wire_shard_message m = { .type = WIRE_REGISTERED };
  uint32_t shard = token_bucket_get_shard (
      (struct str){ IDEMPOTENCY_KEY_BYTES, (const char *)q->key.bytes },
      n->shards);
  struct str outcome = STR_EMPTY;

  m.u.registered.request_id = q->request_id;
  m.u.registered.answer = IDEMPOTENCY_NOT_HELD;
  if (shard_link_is_granting (n, shard, now_us))
    m.u.registered.answer = idempotency_register (
        &n->once, shard, &q->key, q->fingerprint, q->attempt, q->timeout_us,
        now_us, clock_wall_ms (), &outcome);
  m.u.registered.outcome = outcome;
  shard_link_reply (c, link, &m);
}

void
shard_key_take_complete (struct control_shard *n,
                         const struct wire_complete *q)
{
  if (q->not_run)
    idempotency_release (&n->once, &q->key, q->attempt);
  else
    idempotency_complete (&n->once, &q->key, q->attempt, q->outcome);
}
