/* bench_overload: simulates a chain of services in virtual time, with the
   decision modules of the daemon and with different sets of policies.

   Clients send requests to entry daemons.  A request runs at one backend
   server of each service on its route and occupies a slot there while the
   nested call runs.  A scenario changes the load or the service times for a
   while, which is called the disturbance.  Prints goodput, recovery time, the
   worst-served workspace and wrongful rejections for each scenario.  */

#include "admission.h"
#include "concurrency_limit.h"
#include "feedback.h"
#include "retry_budget.h"
#include "route.h"
#include "success_rate.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Constants: the chain of services, with the sizes of deployment K */

#define LEVELS 5u  /* services in the chain */
#define SERVERS 4u /* backend servers of each service */
#define FRONTS 4u  /* entry daemons */
#define WORKSPACES 8u
#define SLOTS 100u              /* of a server before the last service */
#define LAST_SERVICE_SLOTS 40u  /* of a server of the last service */
#define SERVICE_US 10000.0      /* mean service time without nested calls */
#define LAST_SERVICE_US 40000.0 /* mean of the last one: 4,000 requests/s */
#define LATENCY_US 500          /* of the network, one way */
#define DEEP_ROUTE_SHARE 0.7    /* of the requests; they need all services */
#define SHALLOW_ROUTE_LEVELS 2u /* services that the others need */
#define FAILURE_SHARE 0.002     /* share of the executions that fail */
/* Rate of requests, per second, that saturates the last service.  */
#define CAPACITY                                                              \
  (SERVERS * LAST_SERVICE_SLOTS * 1e6 / LAST_SERVICE_US / DEEP_ROUTE_SHARE)
#define STEADY_SHARE 0.6 /* undisturbed load, as a share of the capacity */

/* Constants: clients and times */

#define TIMEOUT_US 1000000
#define CLIENT_ATTEMPTS 3u
#define BACKOFF_US 100000.0
#define HOP_RETRIES 2u /* of the naive policy, at each hop */
#define TICK_US 10000
#define WINDOW_US 500000 /* results are counted in windows of this length */
#define WARM_UP_US 10000000
#define DISTURBANCE_US 10000000
#define RUN_US 50000000
#define WINDOWS (RUN_US / WINDOW_US)
/* Number of policies, from the start of the table, that run by default.  */
#define DEFAULT_POLICIES 2u
#define LATENCY_BUCKETS 4000u
/* Windows at the start that are left out of the steady goodput, because
   requests are still spreading through the chain.  */
#define FILL_WINDOWS 4u
/* Goodput has recovered when it is at least this share of the steady goodput
   in this many consecutive windows.  */
#define RECOVERED_SHARE 0.95
#define RECOVERED_WINDOWS 3u

/* Types */

struct policy
{
  const char *name;
  const struct admission_ops *admit;
  const struct concurrency_limit_ops *limit;
  const struct route_ops *route;
  uint32_t admit_rules_off; /* bits of enum admission_rule */
  bool overload_control;    /* deadlines, cancellation, budgets and feedback */
  bool feedback_off;
};

struct scenario
{
  const char *name;
  double surge;                /* factor of all arrivals in the disturbance */
  double noisy;                /* further factor of workspace 0's arrivals */
  double slow;                 /* factor of the last service's service time */
  double one_slow;             /* further factor at one of its servers */
  int64_t disturbance_us;      /* duration of the disturbance */
  uint32_t last_service_slots; /* announced by each server of the service */
};

/* Attempts of one daemon to get a request run by the next service.  */
struct outgoing
{
  uint32_t level; /* of the destination service */
  uint32_t tries; /* attempts so far */
  /* members to which the attempts were sent */
  uint64_t tried[HOP_RETRIES + RETRY_BUDGET_EXTRA_DEFAULT + 1];
  struct retry_budget_pool budget;
  uint64_t call; /* id of the last attempt's call */
};

/* State that one daemon keeps to send requests.  */
struct sender
{
  struct feedback feedback;
  struct route_pool pool;
  struct retry_budget_ratio ratio;
};

struct server
{
  struct sender sender;
  struct admission *admit;
  struct concurrency_limit limit;
  uint32_t running; /* calls that occupy a slot */
};

struct request
{
  uint32_t workspace;
  uint32_t importance;
  uint32_t levels; /* number of services that run it, from the first */
  uint32_t window; /* in which the request arrived */
  bool disturbed;  /* the request arrived during the disturbance */
  int64_t arrived_us;
  uint32_t attempts; /* of the client */
  uint32_t front;    /* entry daemon of the last attempt */
  int64_t deadline_us;
  struct outgoing out;
};

enum call_state
{
  CALL_SENT,
  CALL_QUEUED,
  CALL_FIRST_HALF,
  CALL_NESTED,
  CALL_SECOND_HALF,
  CALL_DONE
};

struct call
{
  uint64_t parent_call; /* 0 if a client's request is the parent */
  uint64_t request;
  bool orphan; /* the parent no longer waits for the call */
  uint32_t workspace;
  uint32_t importance;
  uint32_t levels;
  uint32_t level;
  uint32_t server;
  uint32_t attempt_budget; /* retries allotted to this attempt */
  enum call_state state;
  enum err_kind error;
  uint64_t entry; /* id in the admission queue */
  int64_t deadline_us;
  int64_t sent_us;
  int64_t started_us;
  int64_t nested_since_us;
  int64_t nested_us;
  uint32_t in_flight; /* calls in slots of the server when it started */
  double service_time_us;
  uint32_t thresholds[LEVELS]; /* admission thresholds of the services */
  uint32_t deepest_level;      /* last level with a known threshold */
  struct outgoing out;
};

enum event_kind
{
  EVENT_CLIENT_ARRIVAL, /* a new request of a workspace */
  EVENT_ATTEMPT,        /* a client sends or retries a request */
  EVENT_CALL_ARRIVAL,   /* a call reaches its server */
  EVENT_PHASE,          /* half of the service time has passed */
  EVENT_RESPONSE,       /* the response reaches the parent */
  EVENT_TIMEOUT,        /* the parent stops waiting */
  EVENT_TICK
};

struct event
{
  int64_t at_us;
  uint64_t order; /* events at the same time run in the order of scheduling */
  enum event_kind kind;
  uint64_t id;
};

/* Requests of one workspace that arrived in one window.  */
struct cell
{
  double offered;
  double good;
  double rejected; /* the last attempt was rejected as overloaded */
};

struct result
{
  struct cell cells[WORKSPACES][WINDOWS];
  double window_good[WINDOWS]; /* by time of the response */
  /* Requests that arrived during the disturbance.  */
  double offered_disturbed;
  double good_disturbed;
  double top_offered;              /* of importance 7 and 9 */
  double top_good;                 /* of importance 7 and 9 */
  double latency[LATENCY_BUCKETS]; /* number of good requests by ms */
};

struct sim
{
  const struct policy *policy;
  const struct scenario *scenario;
  GRand *rand;
  GArray *events; /* binary heap */
  uint64_t order;
  int64_t now_us;
  struct table requests;
  struct table calls;
  struct sender fronts[FRONTS];
  struct server servers[LEVELS][SERVERS];
  struct result result;
};

/* State */

static const struct str services[LEVELS]
    = { STR_LIT ("s0"), STR_LIT ("s1"), STR_LIT ("s2"), STR_LIT ("s3"),
        STR_LIT ("s4") };

static const struct str workspace_names[WORKSPACES]
    = { STR_LIT ("w0"), STR_LIT ("w1"), STR_LIT ("w2"), STR_LIT ("w3"),
        STR_LIT ("w4"), STR_LIT ("w5"), STR_LIT ("w6"), STR_LIT ("w7") };

static const struct scenario scenarios[] = {
  { "steady", 1, 1, 1, 1, DISTURBANCE_US, LAST_SERVICE_SLOTS },
  { "burst", 3, 1, 1, 1, 400000, LAST_SERVICE_SLOTS },
  { "surge", 3 / STEADY_SHARE, 1, 1, 1, DISTURBANCE_US, LAST_SERVICE_SLOTS },
  { "slow", 1, 1, 5, 1, DISTURBANCE_US, LAST_SERVICE_SLOTS },
  { "one_slow", 1, 1, 1, 5, DISTURBANCE_US, LAST_SERVICE_SLOTS },
  { "noisy", 1, 6, 1, 1, DISTURBANCE_US, LAST_SERVICE_SLOTS },
  { "overstated", 3 / STEADY_SHARE, 1, 1, 1, DISTURBANCE_US, SLOTS },
};

/* Share of the steady rate for each workspace; two workspaces are large.  */
static const double shares[WORKSPACES] = { 0.25,     0.25,     1 / 12.0,
                                           1 / 12.0, 1 / 12.0, 1 / 12.0,
                                           1 / 12.0, 1 / 12.0 };

/* Internal functions: events */

static bool
is_before (const struct event *a, const struct event *b)
{
  if (a->at_us != b->at_us)
    return a->at_us < b->at_us;
  return a->order < b->order;
}

static void
schedule (struct sim *s, int64_t at_us, enum event_kind kind, uint64_t id)
{
  struct event e = { at_us, s->order++, kind, id };
  guint i = s->events->len;
  struct event *heap;

  g_array_append_val (s->events, e);
  heap = (struct event *)(void *)s->events->data;
  for (; i > 0 && is_before (&e, &heap[(i - 1) / 2]); i = (i - 1) / 2)
    heap[i] = heap[(i - 1) / 2];
  heap[i] = e;
}

static struct event
pop_event (struct sim *s)
{
  struct event *heap = (struct event *)(void *)s->events->data;
  struct event first = heap[0];
  guint len = s->events->len - 1;
  struct event last = heap[len];
  guint i = 0;

  for (;;)
    {
      guint child = 2 * i + 1;

      if (child + 1 < len && is_before (&heap[child + 1], &heap[child]))
        child++;
      if (child >= len || !is_before (&heap[child], &last))
        break;
      heap[i] = heap[child];
      i = child;
    }
  heap[i] = last;
  g_array_set_size (s->events, len);
  return first;
}

/* Internal functions: randomness and arrivals */

static double
draw_exponential (struct sim *s, double mean)
{
  return -mean * log (1 - g_rand_double (s->rand));
}

static bool
is_disturbed (const struct sim *s)
{
  return s->now_us >= WARM_UP_US
         && s->now_us < WARM_UP_US + s->scenario->disturbance_us;
}

static double
get_rate (const struct sim *s, uint32_t workspace)
{
  double rate = CAPACITY * STEADY_SHARE * shares[workspace];

  if (!is_disturbed (s))
    return rate;
  return rate * s->scenario->surge * (workspace == 0 ? s->scenario->noisy : 1);
}

static uint32_t
draw_importance (struct sim *s)
{
  double p = g_rand_double (s->rand);

  if (p < 0.05)
    return 9;
  if (p < 0.2)
    return 7;
  return p < 0.6 ? 5 : 2;
}

/* Internal functions: senders */

static struct str
get_route (uint32_t levels)
{
  return levels == LEVELS ? STR_LIT ("deep") : STR_LIT ("shallow");
}

static void
init_sender (struct sim *s, struct sender *n, uint64_t self, uint32_t level)
{
  struct feedback_settings settings = feedback_get_defaults ();

  settings.seed = g_rand_int (s->rand);
  feedback_init (&n->feedback, &settings);
  retry_budget_init_ratio (&n->ratio);
  route_init_pool (&n->pool, self, (uint32_t)(self % SERVERS),
                   g_rand_int (s->rand));
  /* Announced so early that the slow start is over at the start of the run, as
     in init_servers.  */
  for (uint32_t i = 0; level < LEVELS && i < SERVERS; i++)
    route_set_endpoint (&n->pool, i + 1, i, -WARM_UP_US);
}

static void
close_sender (struct sender *n)
{
  feedback_close (&n->feedback);
  retry_budget_close_ratio (&n->ratio);
  route_close_pool (&n->pool);
}

static struct sender *
get_sender (struct sim *s, const struct request *r, const struct call *parent)
{
  if (parent == NULL)
    return &s->fronts[r->front];
  return &s->servers[parent->level][parent->server].sender;
}

/* Internal functions: calls.  Each function that ends a call can also end
   others, so callers look up their rows again afterwards.  */

static void finish_nested_call (struct sim *s, uint64_t parent,
                                enum err_kind error);
static void end_attempt (struct sim *s, uint64_t request, enum err_kind error);

static struct call *
get_call (const struct sim *s, uint64_t id)
{
  return table_get (&s->calls, id);
}

static struct server *
get_server (struct sim *s, const struct call *c)
{
  return &s->servers[c->level][c->server];
}

static void
fail_outgoing (struct sim *s, uint64_t parent, uint64_t request,
               enum err_kind error)
{
  if (parent != 0)
    finish_nested_call (s, parent, error);
  else
    end_attempt (s, request, error);
}

static bool
is_rejected_by_feedback (struct sim *s, struct sender *sender, uint32_t levels,
                         uint32_t workspace, uint32_t importance)
{
  struct str route = get_route (levels);

  switch (feedback_check (&sender->feedback, route, importance, s->now_us))
    {
    case FEEDBACK_REJECT:
      return true;
    case FEEDBACK_PROBE:
      return false;
    case FEEDBACK_PASS:
      break;
    }
  return feedback_throttle (&sender->feedback, route,
                            workspace_names[workspace], importance, s->now_us);
}

/* Sends one attempt of a request (parent 0) or of a nested call.  */
static void
send_call (struct sim *s, uint64_t parent, uint64_t request)
{
  struct request *r = table_get (&s->requests, request);
  struct call *p = get_call (s, parent);
  struct outgoing *out = p != NULL ? &p->out : &r->out;
  struct sender *sender = get_sender (s, r, p);
  uint32_t workspace = p != NULL ? p->workspace : r->workspace;
  uint32_t importance = p != NULL ? p->importance : r->importance;
  uint32_t levels = p != NULL ? p->levels : r->levels;
  int64_t deadline_us = p != NULL ? p->deadline_us : r->deadline_us;
  struct call *c;
  uint64_t member;
  void *row;

  if (s->policy->overload_control && !s->policy->feedback_off
      && is_rejected_by_feedback (s, sender, levels, workspace, importance))
    {
      fail_outgoing (s, parent, request, ERR_OVERLOADED);
      return;
    }
  member = s->policy->route->choose (&sender->pool, out->tried, out->tries,
                                     s->now_us);
  if (member == 0)
    {
      fail_outgoing (s, parent, request, ERR_NO_BACKEND);
      return;
    }
  route_record_send (&sender->pool, member, s->now_us);
  if (out->tries == 0)
    retry_budget_record_request (&sender->ratio, services[out->level],
                                 s->now_us);
  out->tried[out->tries++] = member;
  if (!s->policy->overload_control)
    deadline_us = s->now_us + TIMEOUT_US;
  out->call = table_add (&s->calls, &row);
  c = row;
  c->parent_call = parent;
  c->request = request;
  c->workspace = workspace;
  c->importance = importance;
  c->levels = levels;
  c->level = out->level;
  c->deepest_level = out->level;
  c->server = (uint32_t)member - 1;
  c->attempt_budget = retry_budget_allocate_attempt (&out->budget);
  c->deadline_us = deadline_us;
  c->sent_us = s->now_us;
  schedule (s, s->now_us + LATENCY_US, EVENT_CALL_ARRIVAL, out->call);
  schedule (s, deadline_us, EVENT_TIMEOUT, out->call);
}

static void
send_response (struct sim *s, uint64_t id, enum err_kind error)
{
  struct call *c = get_call (s, id);

  c->state = CALL_DONE;
  c->error = error;
  if (c->orphan)
    table_remove (&s->calls, id);
  else
    schedule (s, s->now_us + LATENCY_US, EVENT_RESPONSE, id);
}

static void
start_calls (struct sim *s, struct server *v)
{
  const struct policy *p = s->policy;
  struct admission_drop dropped;
  struct admission_item item;

  while (v->running < p->limit->get (&v->limit, s->now_us)
         && p->admit->next (v->admit, s->now_us, &item))
    {
      struct call *c = get_call (s, item.job);
      double mean_us = c->level == LEVELS - 1 ? LAST_SERVICE_US : SERVICE_US;

      if (c->level == LEVELS - 1 && is_disturbed (s))
        mean_us *= s->scenario->slow
                   * (c->server == 0 ? s->scenario->one_slow : 1);
      c->state = CALL_FIRST_HALF;
      c->started_us = s->now_us;
      c->in_flight = ++v->running;
      /* A backend server that announces more slots than it has serves all
         running requests more slowly.  */
      if (c->level == LEVELS - 1 && v->running > LAST_SERVICE_SLOTS)
        mean_us *= (double)v->running / LAST_SERVICE_SLOTS;
      c->service_time_us = draw_exponential (s, mean_us);
      schedule (s, s->now_us + (int64_t)(c->service_time_us / 2), EVENT_PHASE,
                item.job);
    }
  while (p->admit->pop_dropped (v->admit, &dropped))
    send_response (s, dropped.job, dropped.error);
}

static void
free_slot (struct sim *s, struct call *c)
{
  struct server *v = get_server (s, c);
  struct concurrency_limit_sample sample
      = { .service_us = s->now_us - c->started_us,
          .nested_us = c->nested_us,
          .in_flight = c->in_flight };

  v->running--;
  s->policy->limit->record_completion (&v->limit, &sample, s->now_us);
  s->policy->admit->record_completion (v->admit, sample.service_us, s->now_us);
}

/* Removes a call whose parent no longer waits, with its nested calls.  */
static void
cancel_call (struct sim *s, uint64_t id)
{
  struct call *c = get_call (s, id);
  struct server *v;

  if (c == NULL)
    return;
  v = get_server (s, c);
  if (c->state == CALL_QUEUED)
    s->policy->admit->remove (v->admit, c->entry);
  if (c->state == CALL_NESTED)
    {
      struct call *n = get_call (s, c->out.call);

      if (n != NULL)
        route_record_cancel (&v->sender.pool, n->server + 1, n->sent_us,
                             s->now_us);
      cancel_call (s, c->out.call);
    }
  if (c->state >= CALL_FIRST_HALF && c->state <= CALL_SECOND_HALF)
    v->running--;
  table_remove (&s->calls, id);
  start_calls (s, v);
}

static void
receive_call (struct sim *s, uint64_t id)
{
  struct call *c = get_call (s, id);
  struct server *v;
  struct admission_item item;
  enum err_kind error;

  if (c == NULL)
    return;
  v = get_server (s, c);
  item
      = (struct admission_item){ .job = id,
                                 .workspace = c->workspace + 1,
                                 .weight
                                 = (uint32_t)(shares[c->workspace] * 12 + 0.5),
                                 .importance = c->importance,
                                 .deadline_us = c->deadline_us };
  c->state = CALL_QUEUED;
  error = s->policy->admit->offer (v->admit, &item, s->now_us, &c->entry);
  if (error != ERR_NONE)
    send_response (s, id, error);
  start_calls (s, v);
}

static void
finish_call (struct sim *s, uint64_t id, enum err_kind error)
{
  struct call *c = get_call (s, id);
  struct server *v = get_server (s, c);

  free_slot (s, c);
  send_response (s, id, error);
  start_calls (s, v);
}

static void
end_phase (struct sim *s, uint64_t id)
{
  struct call *c = get_call (s, id);

  if (c == NULL)
    return;
  if (c->state == CALL_SECOND_HALF)
    {
      finish_call (s, id,
                   g_rand_double (s->rand) < FAILURE_SHARE ? ERR_BACKEND_FAILED
                                                           : ERR_NONE);
      return;
    }
  if (c->level + 1 == c->levels)
    {
      c->state = CALL_SECOND_HALF;
      schedule (s, s->now_us + (int64_t)(c->service_time_us / 2), EVENT_PHASE,
                id);
      return;
    }
  c->state = CALL_NESTED;
  c->nested_since_us = s->now_us;
  c->out = (struct outgoing){ .level = c->level + 1 };
  /* The only nested call gets the attempt's whole budget.  */
  retry_budget_init_pool (&c->out.budget, c->attempt_budget);
  send_call (s, id, c->request);
}

static void
finish_nested_call (struct sim *s, uint64_t parent, enum err_kind error)
{
  struct call *p = get_call (s, parent);

  p->nested_us += s->now_us - p->nested_since_us;
  if (error != ERR_NONE)
    {
      finish_call (s, parent, error);
      return;
    }
  p->state = CALL_SECOND_HALF;
  schedule (s, s->now_us + (int64_t)(p->service_time_us / 2), EVENT_PHASE,
            parent);
}

/* Retries at this hop, or returns the error to the parent.  */
static void
retry_or_fail (struct sim *s, uint64_t parent, uint64_t request,
               enum err_kind error)
{
  struct request *r = table_get (&s->requests, request);
  struct call *p = get_call (s, parent);
  struct outgoing *out = p != NULL ? &p->out : &r->out;
  struct sender *sender = get_sender (s, r, p);
  bool retry;

  if (s->policy->overload_control)
    retry = error == ERR_BACKEND_FAILED
            && retry_budget_allow_retry (&sender->ratio, services[out->level],
                                         s->now_us)
            && retry_budget_spend (&out->budget);
  else
    retry = out->tries <= HOP_RETRIES;
  if (retry && out->tries < G_N_ELEMENTS (out->tried))
    send_call (s, parent, request);
  else
    fail_outgoing (s, parent, request, error);
}

static void
record_thresholds (struct sim *s, const struct call *c, struct sender *sender,
                   struct call *parent)
{
  struct wire_threshold t[LEVELS];
  uint32_t len = 0;

  for (uint32_t i = c->level; i <= c->deepest_level; i++)
    {
      t[len++] = (struct wire_threshold){ services[i], c->thresholds[i] };
      if (parent != NULL)
        parent->thresholds[i] = c->thresholds[i];
    }
  if (parent != NULL)
    parent->deepest_level = MAX (parent->deepest_level, c->deepest_level);
  feedback_record_response (&sender->feedback, get_route (c->levels), t, len,
                            s->now_us);
  feedback_record_outcome (&sender->feedback, get_route (c->levels),
                           workspace_names[c->workspace], c->importance,
                           c->error != ERR_OVERLOADED
                               && c->error != ERR_DEADLINE_NOT_RUN,
                           s->now_us);
}

static void
receive_response (struct sim *s, uint64_t id)
{
  struct call *c = get_call (s, id);
  struct call *p;
  struct request *r;
  struct server *v;
  struct sender *sender;
  struct outgoing *out;
  struct call copy;

  if (c == NULL)
    return;
  if (c->orphan)
    {
      table_remove (&s->calls, id);
      return;
    }
  v = get_server (s, c);
  r = table_get (&s->requests, c->request);
  p = get_call (s, c->parent_call);
  sender = get_sender (s, r, p);
  out = p != NULL ? &p->out : &r->out;
  c->thresholds[c->level] = s->policy->admit->get_threshold (v->admit);
  route_record_response (&sender->pool, c->server + 1,
                         v->running + s->policy->admit->get_length (v->admit),
                         s->policy->limit->get (&v->limit, s->now_us),
                         SUCCESS_RATE_SCALE, c->sent_us, s->now_us);
  record_thresholds (s, c, sender, p);
  /* Returns the retries that the nested calls did not use, or all of them if
     there were no nested calls.  */
  retry_budget_return (&out->budget, c->attempt_budget,
                       c->out.tries > 0 ? c->out.budget.left
                                        : c->attempt_budget);
  copy = *c;
  table_remove (&s->calls, id);
  if (copy.error != ERR_NONE)
    retry_or_fail (s, copy.parent_call, copy.request, copy.error);
  else if (copy.parent_call != 0)
    finish_nested_call (s, copy.parent_call, ERR_NONE);
  else
    end_attempt (s, copy.request, ERR_NONE);
}

static void
handle_timeout (struct sim *s, uint64_t id)
{
  struct call *c = get_call (s, id);
  struct request *r;
  struct sender *sender;
  uint64_t parent, request;

  if (c == NULL || c->orphan)
    return;
  parent = c->parent_call;
  request = c->request;
  r = table_get (&s->requests, request);
  sender = get_sender (s, r, get_call (s, parent));
  route_record_cancel (&sender->pool, c->server + 1, c->sent_us, s->now_us);
  if (s->policy->overload_control)
    cancel_call (s, id);
  else
    c->orphan = true;
  retry_or_fail (s, parent, request, ERR_DEADLINE_RUNNING);
}

/* Internal functions: clients */

static void
add_client_request (struct sim *s, uint32_t w)
{
  void *row;
  uint64_t id = table_add (&s->requests, &row);
  struct request *r = row;

  r->workspace = w;
  r->importance = draw_importance (s);
  r->levels = g_rand_double (s->rand) < DEEP_ROUTE_SHARE
                  ? LEVELS
                  : SHALLOW_ROUTE_LEVELS;
  r->window = (uint32_t)MIN (s->now_us / WINDOW_US, WINDOWS - 1);
  r->disturbed = is_disturbed (s);
  r->arrived_us = s->now_us;
  s->result.cells[w][r->window].offered++;
  s->result.offered_disturbed += r->disturbed;
  s->result.top_offered += r->disturbed && r->importance >= 7;
  schedule (s, s->now_us, EVENT_ATTEMPT, id);
  schedule (s,
            s->now_us + (int64_t)draw_exponential (s, 1e6 / get_rate (s, w)),
            EVENT_CLIENT_ARRIVAL, w);
}

static void
begin_attempt (struct sim *s, uint64_t id)
{
  struct request *r = table_get (&s->requests, id);

  r->attempts++;
  r->front = (uint32_t)g_rand_int_range (s->rand, 0, FRONTS);
  r->deadline_us = s->now_us + TIMEOUT_US;
  r->out = (struct outgoing){ .level = 0 };
  retry_budget_init_pool (&r->out.budget, RETRY_BUDGET_EXTRA_DEFAULT);
  send_call (s, 0, id);
}

static void
count_request (struct sim *s, const struct request *r, enum err_kind error)
{
  struct result *m = &s->result;
  struct cell *cell = &m->cells[r->workspace][r->window];
  int64_t ms = (s->now_us - r->arrived_us) / 1000;

  if (error != ERR_NONE)
    {
      cell->rejected += error == ERR_OVERLOADED;
      return;
    }
  cell->good++;
  m->good_disturbed += r->disturbed;
  m->top_good += r->disturbed && r->importance >= 7;
  m->window_good[MIN (s->now_us / WINDOW_US, WINDOWS - 1)]++;
  m->latency[MIN (ms, LATENCY_BUCKETS - 1)]++;
}

/* A client retries after each failure, including a rejection.  */
static void
end_attempt (struct sim *s, uint64_t id, enum err_kind error)
{
  struct request *r = table_get (&s->requests, id);

  if (error != ERR_NONE && r->attempts < CLIENT_ATTEMPTS)
    {
      double wait_us
          = BACKOFF_US * r->attempts * g_rand_double_range (s->rand, 0.5, 1.5);

      schedule (s, s->now_us + (int64_t)wait_us, EVENT_ATTEMPT, id);
      return;
    }
  count_request (s, r, error);
  table_remove (&s->requests, id);
}

/* Internal functions: the simulation */

static void
tick (struct sim *s)
{
  const struct policy *p = s->policy;

  for (uint32_t l = 0; l < LEVELS; l++)
    for (uint32_t i = 0; i < SERVERS; i++)
      {
        struct server *v = &s->servers[l][i];

        p->limit->tick (&v->limit, p->admit->get_length (v->admit), s->now_us);
        p->admit->set_limit (v->admit, p->limit->get (&v->limit, s->now_us));
        p->admit->tick (v->admit, s->now_us);
        start_calls (s, v);
      }
  schedule (s, s->now_us + TICK_US, EVENT_TICK, 0);
}

static void
init_servers (struct sim *s)
{
  struct admission_settings admit = admission_get_defaults ();
  const struct concurrency_limit_settings limit
      = concurrency_limit_get_defaults ();

  admit.disabled_rules = s->policy->admit_rules_off;
  for (uint32_t l = 0; l < LEVELS; l++)
    for (uint32_t i = 0; i < SERVERS; i++)
      {
        struct server *v = &s->servers[l][i];

        init_sender (s, &v->sender, 100 + l * SERVERS + i, l + 1);
        v->admit = s->policy->admit->init (&admit);
        s->policy->limit->init (&v->limit, &limit);
        s->policy->limit->announce (
            &v->limit,
            l == LEVELS - 1 ? s->scenario->last_service_slots : SLOTS,
            -WARM_UP_US);
      }
  for (uint32_t f = 0; f < FRONTS; f++)
    init_sender (s, &s->fronts[f], 200 + f, 0);
}

static void
close_servers (struct sim *s)
{
  for (uint32_t l = 0; l < LEVELS; l++)
    for (uint32_t i = 0; i < SERVERS; i++)
      {
        close_sender (&s->servers[l][i].sender);
        s->policy->admit->close (s->servers[l][i].admit);
      }
  for (uint32_t f = 0; f < FRONTS; f++)
    close_sender (&s->fronts[f]);
}

static void
run_event (struct sim *s, const struct event *e)
{
  switch (e->kind)
    {
    case EVENT_CLIENT_ARRIVAL:
      add_client_request (s, (uint32_t)e->id);
      break;
    case EVENT_ATTEMPT:
      begin_attempt (s, e->id);
      break;
    case EVENT_CALL_ARRIVAL:
      receive_call (s, e->id);
      break;
    case EVENT_PHASE:
      end_phase (s, e->id);
      break;
    case EVENT_RESPONSE:
      receive_response (s, e->id);
      break;
    case EVENT_TIMEOUT:
      handle_timeout (s, e->id);
      break;
    case EVENT_TICK:
      tick (s);
      break;
    }
}

static struct result
run (const struct policy *policy, const struct scenario *scenario,
     uint32_t seed)
{
  struct sim *s = g_new0 (struct sim, 1);
  struct result result;

  s->policy = policy;
  s->scenario = scenario;
  s->rand = g_rand_new_with_seed (seed);
  s->events = g_array_new (FALSE, FALSE, sizeof (struct event));
  table_init (&s->requests, sizeof (struct request));
  table_init (&s->calls, sizeof (struct call));
  init_servers (s);
  for (uint32_t w = 0; w < WORKSPACES; w++)
    schedule (s, 0, EVENT_CLIENT_ARRIVAL, w);
  schedule (s, 0, EVENT_TICK, 0);
  while (s->now_us < RUN_US)
    {
      struct event e = pop_event (s);

      s->now_us = e.at_us;
      run_event (s, &e);
    }
  result = s->result;
  close_servers (s);
  table_close (&s->requests);
  table_close (&s->calls);
  g_array_unref (s->events);
  g_rand_free (s->rand);
  g_free (s);
  return result;
}

/* Internal functions: measures */

enum measure
{
  GOODPUT,         /* good requests a second, whole run */
  RECOVERY,        /* s until 95% of the steady goodput, 50 if never */
  WORST_WORKSPACE, /* lowest good share of a workspace's entitlement */
  WRONGFUL,        /* rejected share of the requests within the entitlements */
  GOOD_IN_DISTURBANCE, /* good share of the arrivals in the disturbance */
  GOOD_TOP_IMPORTANCE, /* good share of those with importance 7 and 9 */
  P50,                 /* latency of good requests, ms */
  P99,
  MEASURES
};

static const char *const measure_names[MEASURES] = {
  "goodput/s",           "recovery s",      "worst workspace", "wrongful",
  "good in disturbance", "importance 7, 9", "p50 ms",          "p99 ms"
};

static const int measure_digits[MEASURES] = { 0, 1, 3, 4, 3, 3, 0, 0 };

static double
sum (const double *values, size_t from, size_t to)
{
  double total = 0;

  for (size_t i = from; i < to; i++)
    total += values[i];
  return total;
}

static double
get_recovery_s (const struct result *r, int64_t disturbance_us)
{
  const size_t end = (WARM_UP_US + disturbance_us + WINDOW_US - 1) / WINDOW_US;
  const size_t warm = WARM_UP_US / WINDOW_US;
  double steady = sum (r->window_good, FILL_WINDOWS, warm)
                  / (double)(warm - FILL_WINDOWS);
  uint32_t good = 0;

  for (size_t i = end; i < WINDOWS; i++)
    {
      good = r->window_good[i] >= RECOVERED_SHARE * steady ? good + 1 : 0;
      if (good == RECOVERED_WINDOWS)
        return (double)(i + 1 - RECOVERED_WINDOWS - end) * WINDOW_US / 1e6;
    }
  return RUN_US / 1e6;
}

static double
get_latency_ms (const struct result *r, double quantile)
{
  double remaining = quantile * sum (r->latency, 0, LATENCY_BUCKETS);
  uint32_t ms = 0;

  while (ms < LATENCY_BUCKETS - 1 && remaining > r->latency[ms])
    remaining -= r->latency[ms++];
  return ms;
}

/* Returns the number of requests that a workspace is entitled to in a window:
   its steady rate, or its offered load if that is lower.  */
static double
get_entitlement (const struct cell *c, uint32_t workspace)
{
  double rate = CAPACITY * STEADY_SHARE * shares[workspace];

  return MIN (c->offered, rate * WINDOW_US / 1e6);
}

/* Measures the worst-served workspace during the disturbance and wrongful
   rejections in the whole run.  */
static void
measure_workspaces (const struct result *r, int64_t disturbance_us, double *m)
{
  const size_t from = WARM_UP_US / WINDOW_US;
  const size_t to = (WARM_UP_US + disturbance_us + WINDOW_US - 1) / WINDOW_US;
  double total_entitled = 0, wrongful = 0;

  m[WORST_WORKSPACE] = 1;
  for (uint32_t w = 0; w < WORKSPACES; w++)
    {
      double entitled = 0, good = 0;

      for (size_t i = 0; i < WINDOWS; i++)
        {
          const struct cell *c = &r->cells[w][i];
          double entitlement = get_entitlement (c, w);

          total_entitled += entitlement;
          wrongful += MIN (c->rejected, MAX (entitlement - c->good, 0));
          if (i < from || i >= to)
            continue;
          entitled += entitlement;
          good += MIN (c->good, entitlement);
        }
      m[WORST_WORKSPACE] = MIN (m[WORST_WORKSPACE], good / entitled);
    }
  m[WRONGFUL] = wrongful / total_entitled;
}

static void
measure (const struct result *r, int64_t disturbance_us, double *m)
{
  measure_workspaces (r, disturbance_us, m);
  m[GOODPUT] = sum (r->window_good, 0, WINDOWS) * 1e6 / RUN_US;
  m[RECOVERY] = get_recovery_s (r, disturbance_us);
  m[GOOD_IN_DISTURBANCE] = r->good_disturbed / r->offered_disturbed;
  m[GOOD_TOP_IMPORTANCE] = r->top_good / r->top_offered;
  m[P50] = get_latency_ms (r, 0.5);
  m[P99] = get_latency_ms (r, 0.99);
}

static void
print_runs (const struct policy *policy, const struct scenario *scenario,
            uint32_t seed, uint32_t seeds)
{
  double all[MEASURES] = { 0 };
  double low[MEASURES] = { 0 }, high[MEASURES] = { 0 };

  for (uint32_t i = 0; i < seeds; i++)
    {
      struct result r = run (policy, scenario, seed + i);
      double m[MEASURES];

      measure (&r, scenario->disturbance_us, m);
      for (int k = 0; k < MEASURES; k++)
        {
          all[k] += m[k] / seeds;
          low[k] = i == 0 ? m[k] : MIN (low[k], m[k]);
          high[k] = i == 0 ? m[k] : MAX (high[k], m[k]);
        }
    }
  printf ("| %s | %s |", scenario->name, policy->name);
  for (int k = 0; k < MEASURES; k++)
    printf (" %.*f (%.*f-%.*f) |", measure_digits[k], all[k],
            measure_digits[k], low[k], measure_digits[k], high[k]);
  putchar ('\n');
  fflush (stdout);
}

static bool
is_selected (const char *selected, const char *name)
{
  return selected == NULL || strcmp (selected, name) == 0;
}

int
main (int argc, char **argv)
{
  gint seed = 1, seeds = 3;
  gchar *scenario = NULL, *policy = NULL;
  const GOptionEntry options[]
      = { { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
          { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "number of seeds", "N" },
          { "scenario", 0, 0, G_OPTION_ARG_STRING, &scenario,
            "run only this one", "NAME" },
          { "policy", 0, 0, G_OPTION_ARG_STRING, &policy, "run only this one",
            "NAME" },
          { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };
  const struct admission_ops *const priority
      = admission_find_ops (STR_LIT ("priority"));
  const struct concurrency_limit_ops *const adaptive
      = concurrency_limit_find_ops (STR_LIT ("adaptive"));
  const struct concurrency_limit_ops *const fixed
      = concurrency_limit_find_ops (STR_LIT ("fixed"));
  const struct route_ops *const loaded
      = route_find_ops (STR_LIT ("least_loaded"));
  const struct route_ops *const robin
      = route_find_ops (STR_LIT ("round_robin"));
  /* The first DEFAULT_POLICIES run by default; each of the others is the first
     one without one of its mechanisms.  */
  const struct policy policies[] = {
    { "priority", priority, adaptive, loaded, 0, true, false },
    { "naive", admission_find_ops (STR_LIT ("naive")), fixed, robin, 0, false,
      false },
    { "no-feedback", priority, adaptive, loaded, 0, true, true },
    { "no-deadline", priority, adaptive, loaded, ADMISSION_RULE_DEADLINE, true,
      false },
    { "no-fairness", priority, adaptive, loaded, ADMISSION_RULE_FAIRNESS, true,
      false },
    { "fixed-limit", priority, fixed, loaded, 0, true, false },
    { "round-robin", priority, adaptive, robin, 0, true, false },
  };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || seeds < 1)
    {
      fprintf (stderr, "bench_overload: %s\n",
               error != NULL ? error->message : "seeds must be at least 1");
      return 2;
    }
  g_option_context_free (context);
  printf ("| scenario | policy |");
  for (int k = 0; k < MEASURES; k++)
    printf (" %s |", measure_names[k]);
  printf ("\n|---|---|---|---|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (policies); k++)
      if (is_selected (scenario, scenarios[i].name)
          && (policy == NULL ? k < DEFAULT_POLICIES
                             : is_selected (policy, policies[k].name)))
        print_runs (&policies[k], &scenarios[i], (uint32_t)seed,
                    (uint32_t)seeds);
  g_free (scenario);
  g_free (policy);
  return 0;
}
