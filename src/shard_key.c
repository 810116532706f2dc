/* shard_key: registers idempotency keys at the holders of their shards.  Each
   caller's request with a key has a registration: a row of the table
   control_shard.registrations of the daemon that the caller is connected to.
   The holder of a shard is the daemon that may register its keys now.  */

#include "shard_key.h"

#include "clock.h"
#include "shard_link.h"

/* Constants */

/* Interval between attempts while the holder is not known.  */
#define HOLDER_RETRY_INTERVAL_US INT64_C (250000)
/* Interval between WIRE_REGISTER messages while the holder does not
   answer.  */
#define REGISTER_RETRY_INTERVAL_US INT64_C (500000)
/* If no holder answers within this time, the call is rejected as not run.  */
#define REGISTER_TIMEOUT_US INT64_C (2000000)
/* Longest time that a registered request may run.  */
#define REQUEST_TIMEOUT_US INT64_C (60000000)

/* State */

static const enum err_kind answer_errors[IDEMPOTENCY_RESULT_COUNT]
    = { [IDEMPOTENCY_STILL_RUNNING] = ERR_IDEMPOTENCY_KEY_RUNNING,
        [IDEMPOTENCY_OUTCOME_UNKNOWN] = ERR_OUTCOME_UNKNOWN,
        [IDEMPOTENCY_EXPIRED] = ERR_IDEMPOTENCY_KEY_EXPIRED,
        [IDEMPOTENCY_REUSED] = ERR_IDEMPOTENCY_KEY_REUSED,
        [IDEMPOTENCY_FUTURE] = ERR_IDEMPOTENCY_KEY_INVALID,
        [IDEMPOTENCY_FULL] = ERR_REGISTRY_UNAVAILABLE,
        [IDEMPOTENCY_SHARD_NOT_HELD] = ERR_REGISTRY_UNAVAILABLE };

/* Internal functions */

static void
send_registered (struct control *c, uint32_t front, uint64_t call,
                 enum idempotency_result answer, struct str outcome)
{
  struct thread_message *message
      = thread_message_create (THREAD_MESSAGE_REGISTERED);
  struct wire_shard_outcome o;

  message->front = front;
  message->call = call;
  message->registration = answer == IDEMPOTENCY_NEW
                              ? THREAD_MESSAGE_REGISTRATION_NEW
                              : THREAD_MESSAGE_REGISTRATION_REJECTED;
  message->error = answer_errors[answer];
  if (answer == IDEMPOTENCY_ALREADY_DONE
      && wire_shard_load_outcome (&o, outcome))
    {
      message->registration = THREAD_MESSAGE_REGISTRATION_DONE;
      message->status = (int)o.status;
      message->content_type = o.content_type;
      message->text = o.body;
    }
  else if (answer == IDEMPOTENCY_ALREADY_DONE)
    message->error = ERR_OUTCOME_UNKNOWN;
  mailbox_send (c->shared->fronts[front], message);
}

static void
try_register (struct control *c, uint64_t id,
              struct control_shard_registration *e, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  struct wire_shard_message m = { .type = WIRE_REGISTER };
  struct str outcome;

  e->next_try_us = now_us + HOLDER_RETRY_INTERVAL_US;
  /* If this daemon is the holder, it registers the key itself.  */
  if (shard_link_is_holder (cs, e->shard, now_us))
    {
      enum idempotency_result answer = idempotency_register (
          &cs->idempotency, e->shard, &e->key, e->fingerprint, e->attempt,
          REQUEST_TIMEOUT_US, now_us, clock_wall_ms (), &outcome);

      shard_key_handle_answer (c, id, answer, outcome);
      return;
    }
  m.u.reg = (struct wire_register){ id, e->key, e->fingerprint, e->attempt,
                                    REQUEST_TIMEOUT_US };
  if (shard_link_send_to_holder (c, e->shard, &m, now_us))
    e->next_try_us = now_us + REGISTER_RETRY_INTERVAL_US;
}

/* Reports to the holder how a registered request ended.  */
static void
complete_registration (struct control *c,
                       const struct control_shard_registration *e,
                       bool not_run, struct str outcome)
{
  struct control_shard *cs = c->control_shard;
  struct wire_shard_message m = { .type = WIRE_COMPLETE };
  int64_t now_us = clock_now_us ();

  if (shard_link_is_holder (cs, e->shard, now_us))
    {
      if (not_run)
        idempotency_release (&cs->idempotency, &e->key, e->attempt);
      else
        idempotency_complete (&cs->idempotency, &e->key, e->attempt, outcome);
      return;
    }
  m.u.complete
      = (struct wire_complete){ e->key, e->attempt, not_run, outcome };
  if (cs->holders[e->shard].member != 0)
    shard_link_send (c, cs->holders[e->shard].member, &m);
}

/* Public functions */

/* Reports the holder's answer to the front thread.  If the key is new, the
   registration is kept until the request has ended.  If the daemon that
   answered does not hold the shard, nothing is reported and the registration
   is sent again later.  */
void
shard_key_handle_answer (struct control *c, uint64_t id,
                         enum idempotency_result answer, struct str outcome)
{
  struct control_shard *cs = c->control_shard;
  struct control_shard_registration *e = table_get (&cs->registrations, id);

  if (e == NULL || e->answered)
    return;
  cs->holders[e->shard].unanswered_since_us = 0;
  if (answer == IDEMPOTENCY_SHARD_NOT_HELD)
    {
      cs->holders[e->shard].member = 0;
      return;
    }
  send_registered (c, e->front, e->call, answer, outcome);
  e->answered = true;
  if (answer != IDEMPOTENCY_NEW)
    table_remove (&cs->registrations, id);
}

void
shard_key_retry (struct control_shard *cs, uint32_t shard)
{
  void *row;

  for (uint64_t id = table_next (&cs->registrations, 0, &row); id != 0;
       id = table_next (&cs->registrations, id, &row))
    {
      struct control_shard_registration *e = row;

      if (e->shard == shard)
        e->next_try_us = 0;
    }
}

void
shard_key_run (struct control *c, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  void *row;

  for (uint64_t id = table_next (&cs->registrations, 0, &row); id != 0;
       id = table_next (&cs->registrations, id, &row))
    {
      struct control_shard_registration *e = row;

      if (!e->answered && now_us - e->arrived_us >= REGISTER_TIMEOUT_US)
        {
          /* The holder may have registered the key, but the request did not
             run: it is reported as not run, which releases the key.
             IDEMPOTENCY_FULL stands for a missing answer here: the caller
             receives ERR_REGISTRY_UNAVAILABLE.  */
          complete_registration (c, e, true, STR_EMPTY);
          shard_key_handle_answer (c, id, IDEMPOTENCY_FULL, STR_EMPTY);
        }
      else if (!e->answered && now_us >= e->next_try_us)
        try_register (c, id, e, now_us);
      else if (now_us - e->arrived_us > 2 * REQUEST_TIMEOUT_US)
        table_remove (&cs->registrations, id);
    }
}

void
shard_key_register (struct control *c, const struct thread_message *message)
{
  struct control_shard *cs = c->control_shard;
  struct idempotency_key key;
  struct control_shard_registration *e;
  void *row;

  if (!idempotency_parse_key (message->key, &key))
    {
      /* IDEMPOTENCY_FUTURE also covers a malformed key: the caller receives
         ERR_IDEMPOTENCY_KEY_INVALID.  */
      send_registered (c, message->front, message->call, IDEMPOTENCY_FUTURE,
                       STR_EMPTY);
      return;
    }
  table_add (&cs->registrations, &row);
  e = row;
  e->front = message->front;
  e->call = message->call;
  e->key = key;
  /* The function maps any name to a shard by its hash; here the name is the
     key, for token buckets it is the workspace.  */
  e->shard = token_bucket_get_shard (
      (struct str){ IDEMPOTENCY_KEY_BYTES, (const char *)key.bytes },
      cs->shards);
  e->fingerprint = message->fingerprint;
  e->attempt
      = (struct idempotency_attempt){ c->shared->member, ++cs->last_attempt };
  e->arrived_us = clock_now_us ();
}

void
shard_key_complete (struct control *c, const struct thread_message *message)
{
  struct control_shard *cs = c->control_shard;
  struct wire_shard_outcome o
      = { (uint32_t)message->status, message->content_type, message->text };
  struct str_buf out = { 0 };
  void *row;

  if (message->error == ERR_NONE)
    wire_shard_append_outcome (&out, &o);
  for (uint64_t id = table_next (&cs->registrations, 0, &row); id != 0;
       id = table_next (&cs->registrations, id, &row))
    {
      struct control_shard_registration *e = row;

      if (e->call != message->call || e->front != message->front)
        continue;
      complete_registration (
          c, e, message->error != ERR_NONE && err_is_not_run (message->error),
          str_view (&out));
      table_remove (&cs->registrations, id);
    }
  str_reset (&out);
}

void
shard_key_handle_register (struct control *c, uint64_t link,
                           const struct wire_register *q, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  struct wire_shard_message m = { .type = WIRE_REGISTERED };
  uint32_t shard = token_bucket_get_shard (
      (struct str){ IDEMPOTENCY_KEY_BYTES, (const char *)q->key.bytes },
      cs->shards);
  struct str outcome = STR_EMPTY;

  m.u.registered.request_id = q->request_id;
  m.u.registered.result = IDEMPOTENCY_SHARD_NOT_HELD;
  if (shard_link_is_holder (cs, shard, now_us))
    m.u.registered.result = idempotency_register (
        &cs->idempotency, shard, &q->key, q->fingerprint, q->attempt,
        q->timeout_us, now_us, clock_wall_ms (), &outcome);
  m.u.registered.outcome = outcome;
  shard_link_reply (c, link, &m);
}

void
shard_key_handle_complete (struct control_shard *cs,
                           const struct wire_complete *q)
{
  if (q->not_run)
    idempotency_release (&cs->idempotency, &q->key, q->attempt);
  else
    idempotency_complete (&cs->idempotency, &q->key, q->attempt, q->outcome);
}
