/* dispatch: sends the attempts of calls to serving daemons and processes their
   responses.  A call is one request that the front thread received; each try
   to run it at an endpoint is an attempt.  */

#include "dispatch.h"

#include "clock.h"
#include "http_head.h"

#include <glib.h>
#include <string.h>

/* Constants */

/* Time limit for the reply to a QUERY for the outcome of an attempt whose link
   broke: the round-trip bound of the control plane.  */
#define QUERY_TIMEOUT_US 500000

/* Internal functions: peers and services */

static struct front_peer *
find_peer (const struct front *f, uint64_t member)
{
  uint64_t *id = g_hash_table_lookup (f->peer_by_member, &member);

  return id != NULL ? table_get (&f->peers, *id) : NULL;
}

static struct front_service *
find_service (const struct front *f, struct str name)
{
  uint64_t *id = g_hash_table_lookup (f->service_by_name, &name);

  return id != NULL ? table_get (&f->services, *id) : NULL;
}

static struct front_peer *
add_peer (struct front *f, const struct snapshot_endpoint *e)
{
  struct front_peer *peer;
  uint64_t *id = g_new (uint64_t, 1);

  *id = table_add (&f->peers, (void **)&peer);
  peer->member = e->member;
  peer->address = str_copy (e->address);
  peer->port = e->peer_port;
  g_hash_table_insert (f->peer_by_member, &peer->member, id);
  return peer;
}

static void
remove_peer (struct front *f, struct front_peer *peer)
{
  uint64_t *id = g_hash_table_lookup (f->peer_by_member, &peer->member);
  uint64_t row = *id;

  g_hash_table_remove (f->peer_by_member, &peer->member);
  str_free (&peer->address);
  table_remove (&f->peers, row);
}

static struct front_service *
add_service (struct front *f, struct str name)
{
  const struct settings *settings = f->shared->settings;
  struct front_service *service;
  uint64_t *id = g_new (uint64_t, 1);

  *id = table_add (&f->services, (void **)&service);
  service->name = str_copy (name);
  route_init_pool (&service->pool, f->shared->member,
                   (uint32_t)str_hash (settings->failure_domain),
                   (uint32_t)f->attempt_origin);
  g_hash_table_insert (f->service_by_name, &service->name, id);
  return service;
}

/* Returns true if the snapshot has an endpoint of the member in the service,
   or in any service if the name is empty.  */
static bool
has_endpoint (const struct snapshot *s, struct str service, uint64_t member)
{
  for (uint32_t i = 0; i < s->endpoints_len; i++)
    if (s->endpoints[i].member == member
        && (service.len == 0 || str_equal (s->endpoints[i].service, service)))
      return true;
  return false;
}

static void
remove_endpoints (struct front *f, const struct snapshot *s)
{
  struct front_service *service;

  for (uint64_t id = table_next (&f->services, 0, (void **)&service); id != 0;
       id = table_next (&f->services, id, (void **)&service))
    {
      struct route_endpoint *e;

      for (uint64_t row
           = table_next (&service->pool.endpoints, 0, (void **)&e);
           row != 0;
           row = table_next (&service->pool.endpoints, row, (void **)&e))
        if (!has_endpoint (s, service->name, e->member))
          route_remove_endpoint (&service->pool, e->member);
    }
}

/* Closes the links to members that are no longer in the snapshot and run no
   call of this front.  */
static void
remove_idle_peers (struct front *f)
{
  struct front_peer *peer;

  if (f->snapshot == NULL)
    return;
  for (uint64_t id = table_next (&f->peers, 0, (void **)&peer); id != 0;
       id = table_next (&f->peers, id, (void **)&peer))
    {
      struct front_call *call;
      bool used = has_endpoint (f->snapshot, STR_EMPTY, peer->member);

      for (uint64_t c = table_next (&f->calls, 0, (void **)&call);
           c != 0 && !used; c = table_next (&f->calls, c, (void **)&call))
        used = call->member == peer->member;
      if (used)
        continue;
      peer_link_disconnect (&f->links, peer->link);
      remove_peer (f, peer);
    }
}

static uint64_t
open_link (struct front *f, struct front_peer *peer)
{
  if (!peer_link_is_open (&f->links, peer->link))
    peer->link = peer_link_connect (&f->links, peer->address, peer->port);
  return peer->link;
}

/* Internal functions: sending */

/* Returns the time by which the caller should have the response: the latency
   target of the route, or the deadline if it has none.  */
static int64_t
get_due_us (const struct front_call *call)
{
  int64_t target_ms = call->route->target_ms;

  if (target_ms == 0)
    return call->deadline_us;
  return MIN (call->arrived_us + target_ms * CLOCK_US_PER_MS,
              call->deadline_us);
}

/* Returns how the serving daemon counts the attempt in its ledger.  */
static enum wire_retry
get_retry (const struct front *f, const struct front_call *call)
{
  if (str_equal (f->shared->settings->retry.ledger, STR_LIT ("none")))
    return WIRE_RETRY_NONE;
  if (call->may_have_arrived)
    return WIRE_RETRY_ATTEMPT;
  return call->inherited.retry ? WIRE_RETRY_INHERITED : WIRE_RETRY_NONE;
}

static void *
share_body (void *data)
{
  return http_server_share_body (data);
}

static void
send_request (struct front *f, struct front_call *call, int64_t now_us)
{
  struct str body = str_view (&call->exchange->body);
  struct wire_message m = { .type = WIRE_REQUEST };
  struct str_buf parent = { 0 };
  const struct wire_bytes shared = { .bytes = body,
                                     .share = share_body,
                                     .put = byte_budget_put_bytes,
                                     .data = call->exchange };
  struct evbuffer *frames = evbuffer_new ();
  struct str_buf out = { 0 };

  trace_begin_child (&call->attempt_trace, &call->trace);
  trace_append_parent (&parent, &call->attempt_trace);
  m.u.request = (struct wire_request){
    .request_id = call->id,
    .attempt = call->attempt,
    .service = call->service,
    .route = call->route->name,
    .method = call->exchange->method,
    .path = call->exchange->target,
    .headers_len = call->headers_len,
    .headers = call->headers,
    .workspace = call->workspace,
    .importance = call->importance,
    .timeout_us = call->deadline_us - now_us,
    .due_in_us = get_due_us (call) - now_us,
    .retry_budget = call->attempt_budget,
    .depth = call->depth,
    .response_max_us = call->response_max_us,
    .idempotent = call->route->idempotent,
    .traceparent = str_view (&parent),
    .caller_id = call->caller_headers.id,
    .caller_service = f->shared->settings->service,
    .last_part = body.len <= WIRE_BODY_PART_MAX_BYTES,
    .body = str_slice (body, 0, WIRE_BODY_PART_MAX_BYTES),
    .retry = get_retry (f, call),
  };
  wire_append_message (&out, &m);
  evbuffer_add (frames, out.data, out.len);
  wire_add_body_parts (
      frames,
      &(struct wire_body){ .request_id = call->id, .attempt = call->attempt },
      &shared);
  peer_link_send_buffer (&f->links, call->link, frames);
  evbuffer_free (frames);
  str_reset (&out);
  str_reset (&parent);
}

/* Returns the response time beyond which the serving daemon may refuse the
   attempt, or 0 if it stays where it is: the last attempt that is free of
   charge after refusals, and a request whose body has several parts, since
   sending them again costs more than a wait.  */
static uint32_t
get_response_max_us (const struct front *f, const struct front_call *call,
                     struct front_service *service, int64_t now_us)
{
  if (f->route_ops->get_response_max_us == NULL
      || call->attempts + 1 >= RETRY_POLICY_FREE_ATTEMPTS
      || call->exchange->body.len > WIRE_BODY_PART_MAX_BYTES)
    return 0;
  return f->route_ops->get_response_max_us (
      &service->pool, call->tried, call->tried_len, call->member, now_us);
}

static void
start_attempt (struct front *f, struct front_call *call,
               struct front_service *service, struct front_peer *peer,
               int64_t now_us)
{
  call->member = peer->member;
  call->link = peer->link;
  call->attempt
      = (struct wire_attempt_id){ f->attempt_origin, ++f->attempt_number };
  call->attempt_budget = retry_budget_allocate_attempt (&call->budget);
  call->sent_us = now_us;
  call->receiving = false;
  call->response_max_us = get_response_max_us (f, call, service, now_us);
  call->attempts++;
  if (call->tried_len < FRONT_TRIED_MAX)
    call->tried[call->tried_len++] = peer->member;
  route_record_send (&service->pool, peer->member, now_us);
  if (call->attempts == 1)
    retry_budget_record_request (&f->retry_ratio, call->service, now_us);
  else if (call->attempt_error != ERR_ENDPOINT_BUSY)
    metrics_increment (f->shared->metric_rows.retries, 1);
  metrics_increment (f->shared->metric_rows.attempts, 1);
  if (route_is_crossing (&service->pool, peer->member))
    metrics_increment (f->shared->metric_rows.attempts_crossing, 1);
  front_set_state (f, call, FRONT_SENT);
  send_request (f, call, now_us);
}

/* Chooses an endpoint and sends the request to it.  If no link to the endpoint
   can be opened, the call fails and the endpoint is put into backoff.  */
static void
dispatch_call (struct front *f, struct front_call *call, int64_t now_us)
{
  struct front_service *service = find_service (f, call->service);
  uint64_t member = 0;
  struct front_peer *peer;

  if (service != NULL)
    member = f->route_ops->choose (&service->pool, call->tried,
                                   call->tried_len, now_us);
  /* A busy endpoint is better than none if the others have gone since.  */
  if (service != NULL && member == 0
      && call->attempt_error == ERR_ENDPOINT_BUSY)
    member = f->route_ops->choose (&service->pool, NULL, 0, now_us);
  if (member == 0)
    {
      front_fail (f, call,
                  call->attempts > 0 ? call->attempt_error : ERR_NO_BACKEND,
                  STR_EMPTY);
      return;
    }
  peer = find_peer (f, member);
  if (peer == NULL || open_link (f, peer) == 0)
    {
      route_record_failure (&service->pool, member, now_us);
      front_fail (f, call, ERR_BACKEND_UNREACHABLE, STR_EMPTY);
      return;
    }
  start_attempt (f, call, service, peer, now_us);
}

/* Internal functions: outcomes */

/* Returns true for errors after which the endpoint is put into backoff.  */
static bool
is_endpoint_unavailable (enum err_kind error)
{
  return error == ERR_BACKEND_LEAVING || error == ERR_BACKEND_UNREACHABLE
         || error == ERR_NO_BACKEND || error == ERR_SHUTTING_DOWN
         || error == ERR_BACKEND_EVACUATED;
}

static void
record_endpoint_result (struct front *f, const struct front_call *call,
                        bool answered, const struct wire_response *r,
                        int64_t now_us)
{
  struct front_service *service = find_service (f, call->service);

  if (service == NULL)
    return;
  if (!answered || is_endpoint_unavailable (r->error))
    {
      route_record_failure (&service->pool, call->member, now_us);
      return;
    }
  if (r->error == ERR_ENDPOINT_BUSY)
    {
      metrics_increment (f->shared->metric_rows.refusals_busy, 1);
      route_record_refusal (&service->pool, call->member, r->in_flight,
                            r->limit, r->success_permille, now_us);
    }
  else
    route_record_response (&service->pool, call->member, r->in_flight,
                           r->limit, r->success_permille, call->sent_us,
                           now_us);
  if (r->limit > 0)
    route_record_rates (&service->pool, call->member, r->arrivals_per_s,
                        r->service_us, r->residence_us, call->sent_us, now_us);
}

static void
record_feedback (struct front *f, const struct front_call *call,
                 const struct wire_response *r, int64_t now_us)
{
  feedback_record_response (&f->feedback, call->route->name, r->thresholds,
                            r->thresholds_len, now_us);
  pressure_record_reports (&f->shedder, call->route->name, r->pressures,
                           r->pressures_len, now_us);
  /* A call without a workspace or with a hop token comes from the backend
     server of this VM.  The serve thread reports the pressure of the services
     that it calls.  */
  if (call->workspace.len == 0 || call->hop_row != 0)
    pressure_record_downstream (&f->shared->downstream_pressures, r->pressures,
                                r->pressures_len, now_us);
  /* The next attempt decides.  */
  if (r->error == ERR_ENDPOINT_BUSY)
    return;
  feedback_record_outcome (
      &f->feedback, call->route->name, call->workspace, call->importance,
      r->error != ERR_OVERLOADED && r->error != ERR_DEADLINE_NOT_RUN, now_us);
  if (call->hop_row == 0)
    return;
  for (uint32_t i = 0; i < r->thresholds_len; i++)
    hop_token_record_threshold (&f->shared->hop_tokens, call->hop_row,
                                r->thresholds[i].service,
                                r->thresholds[i].min_importance);
}

static void
record_attempt_span (struct front *f, const struct front_call *call,
                     enum err_kind error, uint32_t status, int64_t now_us)
{
  struct trace_span span = { .context = call->attempt_trace,
                             .has_parent = true,
                             .kind = TRACE_CLIENT,
                             .name = STR_LIT ("attempt"),
                             .service = call->service,
                             .route = call->route->name,
                             .error = error,
                             .status = status,
                             .importance = call->importance,
                             .depth = call->depth,
                             .attempt = call->attempts,
                             .duration_us = now_us - call->sent_us };

  if (!call->attempt_trace.sampled)
    return;
  memcpy (span.parent_id, call->trace.span_id, sizeof span.parent_id);
  span.start_us = clock_wall_ms () * CLOCK_US_PER_MS - span.duration_us;
  trace_record (&f->shared->trace, &span);
}

/* Returns the call that waits for this attempt's response, or NULL if the
   response is late.  */
static struct front_call *
find_call (struct front *f, uint64_t id, struct wire_attempt_id attempt)
{
  struct front_call *call = table_get (&f->calls, id);

  if (call != NULL && call->state == FRONT_SENT
      && wire_equal_attempt (call->attempt, attempt))
    return call;
  metrics_increment (f->shared->metric_rows.late_responses, 1);
  return NULL;
}

static void
complete_response (struct front *f, struct front_call *call)
{
  call->member = 0;
  call->result.status = (int)call->result.message.u.response.status;
  front_set_state (f, call, FRONT_COMPLETED);
}

/* Returns true if the response of a serving daemon can be passed on as an
   answer.  A daemon of another release may check less than this one.  */
static bool
is_valid_response (const struct wire_response *r)
{
  bool valid = r->status >= 200 && r->status <= 599;

  for (uint32_t i = 0; i < r->headers_len && valid; i++)
    valid = http_head_is_name (r->headers[i].name)
            && http_head_is_value (r->headers[i].value);
  return valid;
}

/* Adds a part of the response's body.  Fails the attempt and returns false if
   the body is too large or does not fit the byte budget.  */
static bool
add_to_result (struct front *f, struct front_call *call, struct str bytes,
               int64_t now_us)
{
  struct front_result *r = &call->result;
  size_t limit = (size_t)f->shared->settings->limits.answer_bytes;

  if (r->body.len + bytes.len > limit
      || !byte_budget_take (&f->slice, (int64_t)bytes.len))
    {
      dispatch_fail_attempt (f, call, ERR_ANSWER_TOO_LARGE, now_us);
      return false;
    }
  r->held += (int64_t)bytes.len;
  /* Not doubled, since most responses have few parts and many are received at
     the same time.  */
  str_reserve (&r->body, r->body.len + bytes.len + 1);
  str_append (&r->body, bytes);
  return true;
}

static void
receive_response (struct front *f, const struct wire_response *r,
                  struct str frame)
{
  struct front_call *call = find_call (f, r->request_id, r->attempt);
  int64_t now_us = clock_now_us ();

  if (call == NULL || call->receiving)
    return;
  record_endpoint_result (f, call, true, r, now_us);
  record_feedback (f, call, r, now_us);
  record_attempt_span (f, call, r->error, r->status, now_us);
  retry_budget_return (&call->budget, call->attempt_budget, r->unused_budget);
  if (r->error != ERR_NONE)
    {
      dispatch_fail_attempt (f, call, r->error, now_us);
      return;
    }
  if (!is_valid_response (r))
    {
      dispatch_fail_attempt (f, call, ERR_BACKEND_FAILED, now_us);
      return;
    }
  call->result.frame = str_copy (frame);
  wire_load_message (&call->result.message, call->result.frame);
  call->receiving = true;
  if (r->last_part)
    complete_response (f, call);
  else
    add_to_result (f, call, r->body, now_us);
}

static void
receive_body (struct front *f, const struct wire_body *b)
{
  struct front_call *call = find_call (f, b->request_id, b->attempt);

  if (call == NULL || !call->receiving)
    return;
  if (add_to_result (f, call, b->bytes, clock_now_us ()) && b->last_part)
    complete_response (f, call);
}

/* Processes the reply to a QUERY.  A void attempt did not run and never will,
   so the call can be retried.  After any other outcome the response is lost,
   and the attempt fails with ERR_OUTCOME_UNKNOWN.  */
static void
receive_outcome (struct front *f, const struct wire_outcome *o)
{
  struct front_call *call;

  for (uint64_t id = table_next (&f->calls, 0, (void **)&call); id != 0;
       id = table_next (&f->calls, id, (void **)&call))
    if (call->state == FRONT_QUERYING
        && wire_equal_attempt (call->attempt, o->attempt))
      {
        dispatch_fail_attempt (f, call,
                               o->state == WIRE_OUTCOME_VOID
                                   ? ERR_BACKEND_UNREACHABLE
                                   : ERR_OUTCOME_UNKNOWN,
                               clock_now_us ());
        return;
      }
}

static void
on_frame (void *owner, uint64_t link, struct str frame)
{
  struct front *f = owner;
  struct wire_message m;

  if (!wire_load_message (&m, frame))
    {
      metrics_increment (f->shared->metric_rows.bad_frames, 1);
      peer_link_fail (&f->links, link);
      return;
    }
  switch (m.type)
    {
    case WIRE_RESPONSE:
      receive_response (f, &m.u.response, frame);
      break;
    case WIRE_BODY:
      receive_body (f, &m.u.body);
      break;
    case WIRE_OUTCOME:
      receive_outcome (f, &m.u.outcome);
      break;
    default:
      metrics_increment (f->shared->metric_rows.bad_frames, 1);
      break;
    }
  wire_unload_message (&m);
}

/* Queries the outcome of an attempt from the serving daemon, over a new
   link.  */
static void
query_attempt (struct front *f, struct front_call *call, int64_t now_us)
{
  struct front_peer *peer = find_peer (f, call->member);
  struct wire_message m = { .type = WIRE_QUERY };
  struct str_buf out = { 0 };

  if (peer == NULL || open_link (f, peer) == 0)
    {
      dispatch_fail_attempt (f, call, ERR_OUTCOME_UNKNOWN, now_us);
      return;
    }
  m.u.query.attempt = call->attempt;
  m.u.query.void_duration_us = call->deadline_us - now_us;
  m.u.query.attempt_age_us = now_us - call->sent_us;
  wire_append_message (&out, &m);
  call->link = peer->link;
  call->query_deadline_us = now_us + QUERY_TIMEOUT_US;
  f->next_query_us = MIN (f->next_query_us, call->query_deadline_us);
  front_set_state (f, call, FRONT_QUERYING);
  metrics_increment (f->shared->metric_rows.queries, 1);
  peer_link_send (&f->links, call->link, str_view (&out));
  str_reset (&out);
}

/* Processes the loss of the link of an attempt.  If the link was never
   connected, the attempt was not sent.  If it may have been sent and must not
   run twice, its outcome is queried.  */
static void
handle_lost_attempt (struct front *f, struct front_call *call, bool connected,
                     int64_t now_us)
{
  record_attempt_span (f, call, ERR_OUTCOME_UNKNOWN, 0, now_us);
  record_endpoint_result (f, call, false, NULL, now_us);
  if (!connected)
    dispatch_fail_attempt (f, call, ERR_BACKEND_UNREACHABLE, now_us);
  else if (call->route->idempotent || call->receiving)
    dispatch_fail_attempt (f, call, ERR_OUTCOME_UNKNOWN, now_us);
  else
    query_attempt (f, call, now_us);
}

static void
on_link_close (void *owner, uint64_t link, bool connected)
{
  struct front *f = owner;
  struct front_call *call;
  int64_t now_us = clock_now_us ();

  for (uint64_t id = table_next (&f->calls, 0, (void **)&call); id != 0;
       id = table_next (&f->calls, id, (void **)&call))
    {
      if (call->link != link)
        continue;
      if (call->state == FRONT_SENT)
        handle_lost_attempt (f, call, connected, now_us);
      else if (call->state == FRONT_QUERYING)
        dispatch_fail_attempt (f, call, ERR_OUTCOME_UNKNOWN, now_us);
    }
}

static const struct peer_link_ops link_ops = { on_frame, on_link_close };

/* Runs in every iteration of the loop, so it scans the calls only when a query
   may have expired.  */
static void
expire_queries (struct front *f, int64_t now_us)
{
  struct front_call *call;

  if (now_us < f->next_query_us)
    return;
  f->next_query_us = INT64_MAX;
  for (uint64_t id = table_next (&f->calls, 0, (void **)&call); id != 0;
       id = table_next (&f->calls, id, (void **)&call))
    {
      if (call->state != FRONT_QUERYING)
        continue;
      if (now_us >= call->query_deadline_us)
        dispatch_fail_attempt (f, call, ERR_OUTCOME_UNKNOWN, now_us);
      else
        f->next_query_us = MIN (f->next_query_us, call->query_deadline_us);
    }
}

/* Public functions */

void
dispatch_init (struct front *f, GRand *rand)
{
  table_init (&f->peers, sizeof (struct front_peer));
  table_init (&f->services, sizeof (struct front_service));
  f->peer_by_member
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  f->service_by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
  f->attempt_origin = ((uint64_t)g_rand_int (rand) << 32) | g_rand_int (rand);
  retry_budget_init_ratio (&f->retry_ratio);
  f->retry_ratio.ratio = f->shared->settings->retry.ratio;
  f->next_query_us = INT64_MAX;
  peer_link_init_set (&f->links, f->loop.base, &link_ops, f);
}

void
dispatch_close (struct front *f)
{
  struct front_service *service;
  struct front_peer *peer;

  peer_link_close_set (&f->links);
  g_hash_table_unref (f->service_by_name);
  g_hash_table_unref (f->peer_by_member);
  for (uint64_t id = table_next (&f->services, 0, (void **)&service); id != 0;
       id = table_next (&f->services, id, (void **)&service))
    {
      str_free (&service->name);
      route_close_pool (&service->pool);
    }
  for (uint64_t id = table_next (&f->peers, 0, (void **)&peer); id != 0;
       id = table_next (&f->peers, id, (void **)&peer))
    str_free (&peer->address);
  table_close (&f->services);
  table_close (&f->peers);
  retry_budget_close_ratio (&f->retry_ratio);
}

/**
 * dispatch_set_endpoints - replaces the endpoints by those of a new snapshot
 * @f: front
 * @s: snapshot
 *
 * Running attempts at removed endpoints are not interrupted.
 */
void
dispatch_set_endpoints (struct front *f, const struct snapshot *s)
{
  remove_endpoints (f, s);
  for (uint32_t i = 0; i < s->endpoints_len; i++)
    {
      const struct snapshot_endpoint *e = &s->endpoints[i];
      struct front_service *service = find_service (f, e->service);

      if (service == NULL)
        service = add_service (f, e->service);
      if (find_peer (f, e->member) == NULL)
        add_peer (f, e);
      route_set_endpoint (&service->pool, e->member, e->domain,
                          e->announced_us);
    }
  remove_idle_peers (f);
}

void
dispatch_run (void *owner, int64_t now_us)
{
  struct front *f = owner;
  GArray *queue = f->queues[FRONT_TO_DISPATCH];

  for (guint i = 0; i < queue->len; i++)
    {
      struct front_call *call
          = table_get (&f->calls, g_array_index (queue, uint64_t, i));

      if (call != NULL && call->state == FRONT_TO_DISPATCH)
        dispatch_call (f, call, now_us);
    }
  g_array_set_size (queue, 0);
  expire_queries (f, now_us);
}

void
dispatch_cancel (struct front *f, struct front_call *call)
{
  struct wire_message m = { .type = WIRE_CANCEL };
  struct front_service *service = find_service (f, call->service);
  struct str_buf out = { 0 };

  m.u.cancel.request_id = call->id;
  m.u.cancel.attempt = call->attempt;
  wire_append_message (&out, &m);
  peer_link_send (&f->links, call->link, str_view (&out));
  str_reset (&out);
  if (service != NULL && !call->receiving)
    route_record_cancel (&service->pool, call->member, call->sent_us,
                         clock_now_us ());
}

/**
 * dispatch_fail_attempt - processes a failed attempt
 * @f: front
 * @call: call in state FRONT_SENT or FRONT_QUERYING
 * @error: reason of the failure
 * @now_us: current time
 *
 * The call is retried if the retry policy allows it and its deadline has not
 * passed.  Otherwise it ends with the error.
 */
void
dispatch_fail_attempt (struct front *f, struct front_call *call,
                       enum err_kind error, int64_t now_us)
{
  struct retry_policy_failure c = { .error = error,
                                    .idempotent = call->route->idempotent,
                                    .attempts = call->attempts,
                                    .destination = call->service,
                                    .pool = &call->budget,
                                    .ratio = &f->retry_ratio };

  call->member = 0;
  call->link = 0;
  call->attempt_error = error;
  if (!err_is_not_run (error))
    call->may_have_run = true;
  if (retry_policy_may_have_arrived (error))
    call->may_have_arrived = true;
  if (call->receiving)
    {
      front_free_result (f, &call->result);
      call->receiving = false;
    }
  if (now_us < call->deadline_us && call->exchange != NULL
      && f->retry_ops->allow (&c, now_us))
    front_set_state (f, call, FRONT_TO_DISPATCH);
  else
    front_fail (f, call, error, STR_EMPTY);
}
