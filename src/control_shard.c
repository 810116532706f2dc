/* control_shard: connects lease, token_bucket, quota and idempotency to the
   control thread.  The workspaces and idempotency keys are divided into
   shards, each of which one daemon holds.  */

#include "control_shard.h"

#include "clock.h"
#include "control_config.h"
#include "control_gossip.h"
#include "shard_key.h"
#include "shard_lease.h"
#include "shard_link.h"
#include "shard_token.h"

/* Constants */

/* Epoch of all shards if there is no platform.  */
#define LOCAL_EPOCH 1

/* Internal functions: limits of the configuration */

/* Sets the limit of workspaces that are not in the configuration to zero.  */
static void
remove_limits (struct control *c, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  struct token_bucket_limit none = { 0, 0 };
  void *row;

  for (uint64_t id = table_next (&cs->buckets.buckets, 0, &row); id != 0;
       id = table_next (&cs->buckets.buckets, id, &row))
    {
      const struct token_bucket *b = row;

      if (inventory_find (&c->inventory, INVENTORY_WORKSPACE, b->workspace)
          == NULL)
        token_bucket_set_limit (&cs->buckets, b->workspace, none, now_us);
    }
}

static void
apply_limits (struct control *c, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;
  const struct table *workspaces = &c->inventory.tables[INVENTORY_WORKSPACE];
  void *row;

  remove_limits (c, now_us);
  for (uint64_t id = table_next (workspaces, 0, &row); id != 0;
       id = table_next (workspaces, id, &row))
    {
      const struct inventory_workspace *w = row;
      struct token_bucket_limit limit = { w->rate_per_s, w->burst };

      token_bucket_set_limit (&cs->buckets, w->name, limit, now_us);
    }
  /* Without a platform, this daemon holds all shards from the first
     configuration on.  */
  if (cs->members == NULL && !cs->configured)
    for (uint32_t i = 0; i < cs->shards; i++)
      shard_lease_start (cs, i, LOCAL_EPOCH, now_us);
  cs->configured = true;
}

/* Internal functions: operations of the component */

static void
receive_message (struct control *c, uint64_t link,
                 const struct wire_shard_message *m)
{
  struct control_shard *cs = c->control_shard;
  int64_t now_us = clock_now_us ();
  struct lease_event e = { 0 };
  const struct member_row *row;

  switch (m->type)
    {
    case WIRE_TOKEN_REQUEST:
      shard_token_handle_request (c, link, &m->u.token_request, now_us);
      break;
    case WIRE_TOKENS:
      shard_token_handle_grant (c, link, &m->u.tokens, now_us);
      break;
    case WIRE_REGISTER:
      shard_key_handle_register (c, link, &m->u.reg, now_us);
      break;
    case WIRE_REGISTERED:
      shard_key_handle_answer (c, m->u.registered.request_id,
                               m->u.registered.result,
                               m->u.registered.outcome);
      break;
    case WIRE_COMPLETE:
      shard_key_handle_complete (cs, &m->u.complete);
      break;
    case WIRE_PROMISE_REQUEST:
      e = (struct lease_event){ .kind = LEASE_EVENT_PROMISE_REQUEST,
                                .shard = m->u.promise_request.shard,
                                .epoch = m->u.promise_request.epoch,
                                .request = m->u.promise_request.request_id,
                                .peer = m->u.promise_request.requester };
      shard_lease_add_event (cs, &e);
      break;
    case WIRE_PROMISE:
      row = cs->members != NULL
                ? member_find (cs->members, m->u.promise.candidate.id)
                : NULL;
      e = (struct lease_event){ .kind = LEASE_EVENT_PROMISE_REPLY,
                                .age_ms = m->u.promise.age_ms,
                                .first_incarnation_at_address
                                = row != NULL ? row->first_run_at_address : 0,
                                .shard = m->u.promise.shard,
                                .epoch = m->u.promise.epoch,
                                .request = m->u.promise.request_id,
                                .peer = m->u.promise.candidate,
                                .promise_ms = m->u.promise.promise_ms };
      shard_lease_add_event (cs, &e);
      break;
    case WIRE_HOLDER_REQUEST:
      shard_link_answer_holder (c, link, m->u.holder_request.shard, now_us);
      break;
    case WIRE_HOLDER:
      if (shard_link_handle_holder (cs, &m->u.holder))
        shard_key_retry (cs, m->u.holder.shard);
      break;
    }
}

static bool
on_frame (struct control *c, uint64_t link, uint32_t type, struct str frame)
{
  struct wire_shard_message m;

  if (type < WIRE_TOKEN_REQUEST || type > WIRE_HOLDER
      || !wire_shard_load_message (&m, frame))
    return false;
  receive_message (c, link, &m);
  wire_shard_unload_message (&m);
  return true;
}

static void
on_link_close (struct control *c, uint64_t link)
{
  struct control_shard *cs = c->control_shard;
  uint64_t member = control_get_peer (c, link);

  for (uint32_t i = 0; i < cs->shards && member != 0; i++)
    shard_link_forget_holder (cs, i, member);
}

static void
on_message (struct control *c, const struct thread_message *message)
{
  if (message->kind == THREAD_MESSAGE_REGISTER)
    shard_key_register (c, message);
  if (message->kind == THREAD_MESSAGE_COMPLETE)
    shard_key_complete (c, message);
}

static void
run_component (struct control *c, int64_t now_us)
{
  struct control_shard *cs = c->control_shard;

  if (c->config_changed)
    apply_limits (c, now_us);
  if (!cs->configured && cs->members == NULL)
    return;
  shard_lease_run (c, now_us);
  shard_token_run_requests (c, now_us);
  shard_token_run_grants (c, now_us);
  shard_key_run (c, now_us);
  idempotency_run (&cs->idempotency, clock_wall_ms ());
}

static bool
init_component (struct control *c, GError **error)
{
  struct control_shard *cs = g_new0 (struct control_shard, 1);
  struct idempotency_settings idempotency = idempotency_get_defaults ();

  c->control_shard = cs;
  cs->shards = (uint32_t)c->settings->lease.shards;
  token_bucket_init_set (&cs->buckets, cs->shards);
  idempotency_init_registry (&cs->idempotency, cs->shards, &idempotency);
  cs->holders = g_new0 (struct control_shard_holder, cs->shards);
  table_init (&cs->registrations, sizeof (struct control_shard_registration));
  table_init (&cs->events, sizeof (struct lease_event));
  cs->store_calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  if (c->settings->inventory_file.len > 0)
    {
      atomic_store (&c->shared->rate_limited, true);
      atomic_store (&c->shared->registry_enabled, true);
    }
  if (c->control_config->lease_store != NULL)
    control_shard_connect (c, &c->control_gossip->members,
                           c->control_config->lease_store);
  return true;
}

static void
close_component (struct control *c)
{
  struct control_shard *cs = c->control_shard;

  if (cs == NULL)
    return;
  if (cs->members != NULL)
    lease_close_table (&cs->leases);
  token_bucket_close_set (&cs->buckets);
  idempotency_close_registry (&cs->idempotency);
  table_close (&cs->registrations);
  table_close (&cs->events);
  g_hash_table_destroy (cs->store_calls);
  g_free (cs->holders);
  g_free (cs);
  c->control_shard = NULL;
}

static void
append_status (struct control *c, JsonBuilder *b)
{
  struct control_shard *cs = c->control_shard;
  int64_t now_us = clock_now_us ();

  /* Lists the shards for which this daemon may grant tokens now.  */
  json_builder_set_member_name (b, "shards_held");
  json_builder_begin_array (b);
  for (uint32_t i = 0; i < cs->shards; i++)
    if (shard_link_is_holder (cs, i, now_us))
      json_builder_add_int_value (b, i);
  json_builder_end_array (b);
  json_builder_set_member_name (b, "idempotency_records");
  json_builder_add_int_value (b, cs->idempotency.records.count);
}

/* Public functions */

/**
 * control_shard_connect - starts to take part in the leases
 * @c: control thread
 * @members: membership table; its own row has this daemon's id and incarnation
 * @store: object store of the platform; its pending calls must be cancelled
 *         before the component is closed
 */
void
control_shard_connect (struct control *c, struct member_table *members,
                       struct object_store *store)
{
  struct control_shard *cs = c->control_shard;
  const struct settings *s = c->settings;
  const struct member_entry *self = &members->self->entry;
  struct lease_settings settings = lease_get_defaults ();
  struct lease_daemon owner = { self->id, member_get_run (self->incarnation) };

  settings.shards = cs->shards;
  settings.term_ms = (uint32_t)s->lease.term_ms;
  settings.promise_ms = (uint32_t)s->lease.promise_ms;
  settings.abandon_ms = (uint32_t)s->lease.abandon_ms;
  settings.round_trip_ms = (uint32_t)s->grant.round_trip_bound_ms;
  settings.grant_validity_ms = TOKEN_BUCKET_VALIDITY_MAX_US / CLOCK_US_PER_MS;
  lease_init_table (&cs->leases, owner, &settings);
  cs->leases.started_us = clock_now_us ();
  cs->members = members;
  cs->store = store;
  atomic_store (&c->shared->rate_limited, true);
  atomic_store (&c->shared->registry_enabled, true);
}

/* State */

const struct control_component_ops control_shard_ops
    = { .name = "shard",
        .init = init_component,
        .close = close_component,
        .on_frame = on_frame,
        .on_link_close = on_link_close,
        .on_message = on_message,
        .run = run_component,
        .append_status = append_status };
