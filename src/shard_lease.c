/* shard_lease: performs the actions of the lease module and reports their
   results to it.  */

#include "shard_lease.h"

#include "clock.h"
#include "logger.h"
#include "shard_link.h"

/* Constants */

/* The platform usually answers within milliseconds.  If this were 1 s,
   successive attempts of a holder and its candidates could take longer than
   the lease after the platform stops answering.  */
#define STORE_CALL_TIMEOUT_US INT64_C (300000)
/* Longest time that a daemon waits at shutdown until its shards are released
   in the platform.  If that fails, the candidates wait until the term
   ends.  */
#define RELEASE_WAIT_US INT64_C (2000000)
/* Interval at which the candidates of the next shard are chosen.  */
#define RANKING_INTERVAL_US INT64_C (50000)
/* Largest number of other members among which candidates are chosen.  */
#define RANKED_MEMBERS_MAX 16u

/* Types */

/* A pending call of the object store.  */
struct store_call_data
{
  struct control *c;
  uint32_t shard;
  uint64_t request;
  bool write;
};

/* Internal functions */

static enum lease_event_kind
get_event_kind (const struct object_store_answer *answer, bool write)
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
on_store_done (void *data, const struct object_store_answer *answer)
{
  struct store_call_data *call = data;
  struct control_shard *cs = call->c->control_shard;
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
  shard_lease_add_event (cs, &e);
  g_hash_table_remove (cs->store_calls, call);
}

static void
call_store (struct control *c, const struct lease_action *a)
{
  struct control_shard *cs = c->control_shard;
  struct store_call_data *data = g_new (struct store_call_data, 1);
  struct object_store_call call
      = { STORE_CALL_TIMEOUT_US, on_store_done, data };
  struct str_buf key = { 0 }, value = { 0 };

  *data = (struct store_call_data){ c, a->shard, a->request,
                                    a->kind == LEASE_WRITE };
  g_hash_table_add (cs->store_calls, data);
  str_append_format (&key, "shards/%u", a->shard);
  if (data->write)
    {
      wire_shard_append_object (&value, &a->object);
      cs->store->ops->put (cs->store, str_view (&key), str_view (&value),
                           a->version == 0 ? OBJECT_STORE_IF_ABSENT
                                           : OBJECT_STORE_IF_VERSION,
                           a->version, &call);
    }
  else
    cs->store->ops->get (cs->store, str_view (&key), &call);
  str_reset (&key);
  str_reset (&value);
}

static void
send_promise (struct control *c, const struct lease_action *a)
{
  struct wire_shard_message m = { 0 };
  struct lease_daemon self = c->control_shard->leases.self;

  if (a->kind == LEASE_REQUEST_PROMISE)
    {
      m.type = WIRE_PROMISE_REQUEST;
      m.u.promise_request = (struct wire_promise_request){ a->shard, a->epoch,
                                                           a->request, self };
    }
  else
    {
      m.type = WIRE_PROMISE;
      m.u.promise
          = (struct wire_promise){ a->shard, a->epoch,      a->request,
                                   self,     a->promise_ms, a->age_ms };
    }
  shard_link_send (c, a->peer.id, &m);
}

static void
stop_shard (struct control_shard *cs, uint32_t shard)
{
  token_bucket_stop_shard (&cs->buckets, shard);
  idempotency_stop_shard (&cs->idempotency, shard);
  LOGGER_WRITE (LOGGER_INFO, "shard_stopped", LOGGER_NUMBER ("shard", shard));
}

static void
run_actions (struct control *c, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  void *row;

  for (uint64_t id = table_next (&cs->leases.actions, 0, &row); id != 0;
       id = table_next (&cs->leases.actions, id, &row))
    {
      struct lease_action a = *(struct lease_action *)row;

      table_remove (&cs->leases.actions, id);
      if (a.kind == LEASE_READ || a.kind == LEASE_WRITE)
        call_store (c, &a);
      else if (a.kind == LEASE_START_GRANTING)
        shard_lease_start (cs, a.shard, a.epoch, now_us);
      else if (a.kind == LEASE_STOP_GRANTING)
        stop_shard (cs, a.shard);
      else
        send_promise (c, &a);
    }
}

/* Chooses the candidates of one shard per interval.  The interval limits the
   cost: ranking visits all members, and this system also runs after each batch
   of events.  */
static void
rank_candidates (struct control_shard *cs, int64_t now_us)
{
  const struct member_entry *self = &cs->members->self->entry;
  struct member_query q = { .key = cs->next_ranked_shard };
  struct lease_member members[RANKED_MEMBERS_MAX + 1];
  struct lease_daemon candidates[LEASE_CANDIDATES];
  uint64_t ids[RANKED_MEMBERS_MAX], first = 0;
  uint32_t len;

  if (now_us < cs->next_ranking_us)
    return;
  cs->next_ranking_us = now_us + RANKING_INTERVAL_US;
  member_rank (cs->members, q, &first, 1);
  /* Candidates are in other failure domains if there are any members
     there.  */
  q.except = self->domain;
  len = member_rank (cs->members, q, ids, RANKED_MEMBERS_MAX);
  if (len == 0)
    {
      q.except = 0;
      len = member_rank (cs->members, q, ids, RANKED_MEMBERS_MAX);
    }
  for (uint32_t i = 0; i < len; i++)
    {
      const struct member_entry *e = &member_find (cs->members, ids[i])->entry;

      members[i]
          = (struct lease_member){ { e->id, member_get_run (e->incarnation) },
                                   e->domain };
    }
  members[len++] = (struct lease_member){ cs->leases.self, self->domain };
  lease_choose_candidates (cs->next_ranked_shard, members, len,
                           cs->leases.self, candidates);
  lease_set_candidates (&cs->leases, cs->next_ranked_shard, candidates,
                        first == self->id);
  cs->next_ranked_shard = (cs->next_ranked_shard + 1) % cs->shards;
}

/* Public functions */

void
shard_lease_add_event (struct control_shard *cs, const struct lease_event *e)
{
  void *row;

  table_add (&cs->events, &row);
  *(struct lease_event *)row = *e;
}

void
shard_lease_start (struct control_shard *cs, uint32_t shard, uint64_t epoch,
                   int64_t now_us)
{
  /* Without a platform, each start of the daemon has the same epoch.  */
  bool first = cs->members != NULL && epoch == LEASE_FIRST_EPOCH;

  token_bucket_start_shard (&cs->buckets, shard, epoch, now_us);
  idempotency_start_shard (&cs->idempotency, shard, epoch, first,
                           clock_wall_ms ());
  LOGGER_WRITE (LOGGER_INFO, "shard_started", LOGGER_NUMBER ("shard", shard),
                LOGGER_NUMBER ("epoch", (int64_t)epoch));
}

void
shard_lease_run (struct control *c, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  void *row;

  if (cs->members == NULL)
    return;
  for (uint64_t id = table_next (&cs->events, 0, &row); id != 0;
       id = table_next (&cs->events, id, &row))
    {
      lease_apply_event (&cs->leases, row, now_us);
      table_remove (&cs->events, id);
    }
  if (c->listeners_stopped && !cs->leases.leaving)
    {
      lease_release_all (&cs->leases);
      cs->release_until_us = now_us + RELEASE_WAIT_US;
    }
  rank_candidates (cs, now_us);
  lease_run (&cs->leases, now_us);
  run_actions (c, now_us);
  c->leases_open = !cs->leases.leaving
                   || (now_us < cs->release_until_us
                       && lease_count_held (&cs->leases) > 0);
}
