/* feedback: early rejection by the admission thresholds of services.  */

#include "feedback.h"

#include <math.h>

/* Constants */

#define FEEDBACK_EXPIRY_US 500000
#define FEEDBACK_PROBE_FRACTION 0.02
#define FEEDBACK_ROWS_MAX 10000u
#define FEEDBACK_LEVEL_MAX 10.0
/* Weight of one response in the level of a service.  The responses come from
   several backend servers, and a single overloaded one must not cause the
   rejection of requests that the others can run.  */
#define FEEDBACK_LEVEL_GAIN 0.25
/* Requests that are sent for each accepted one.  More than one lets the number
   of accepted requests grow.  With 1.2 a flow of few requests was throttled to
   less than the service accepted; with 2, more requests were rejected after
   they had used other services.  */
#define FEEDBACK_SENT_PER_ACCEPTED 1.5
/* Below this level no service on the call path counts as overloaded.  */
#define FEEDBACK_OVERLOAD_LEVEL_MIN 0.5
/* Rejected requests that a flow may have before it is throttled, so that a few
   rejections have no effect on a workspace with little traffic.  */
#define FEEDBACK_SLACK 3.0
/* The counts of a flow decay to a third in this time.  */
#define FEEDBACK_DECAY_US 2000000.0
/* Rows without traffic are removed after this time.  */
#define FEEDBACK_IDLE_US 60000000

/* Internal functions */

/* Returns true if a test has disabled the rule.  */
static bool
is_rule_off (const struct feedback *f, enum feedback_rule rule)
{
  return (f->settings.disabled_rules & rule) != 0;
}

/* Returns the row id of a name, or 0.  */
static uint64_t
find_id (GHashTable *by_name, struct str name)
{
  uint64_t *id = g_hash_table_lookup (by_name, &name);

  return id != NULL ? *id : 0;
}

/* Adds a row to the index by name; `stored` is the row's member for the
   name.  */
static void
add_to_index (GHashTable *by_name, struct str *stored, struct str name,
              uint64_t id)
{
  uint64_t *value = g_new (uint64_t, 1);

  *value = id;
  *stored = str_copy (name);
  g_hash_table_insert (by_name, stored, value);
}

static uint64_t
get_or_add_service (struct feedback *f, struct str name)
{
  uint64_t id = find_id (f->service_by_name, name);
  void *row;

  if (id != 0 || f->services.count >= f->settings.rows_max)
    return id;
  id = table_add (&f->services, &row);
  add_to_index (f->service_by_name, &((struct feedback_service *)row)->name,
                name, id);
  return id;
}

static struct feedback_route *
get_or_add_route (struct feedback *f, struct str name)
{
  uint64_t id = find_id (f->route_by_name, name);
  void *row;

  if (id != 0)
    return table_get (&f->routes, id);
  if (f->routes.count >= f->settings.rows_max)
    return NULL;
  id = table_add (&f->routes, &row);
  add_to_index (f->route_by_name, &((struct feedback_route *)row)->name, name,
                id);
  return row;
}

/* Returns the level of a service, which falls by one per expiry_us without a
   report.  */
static double
get_level (const struct feedback *f, const struct feedback_service *s,
           int64_t now_us)
{
  int64_t steps = (now_us - s->reported_us) / f->settings.expiry_us;

  if (is_rule_off (f, FEEDBACK_RULE_EXPIRY))
    return s->level;
  return MAX (s->level - (double)steps, 0);
}

static void
record_level (struct feedback *f, struct feedback_service *s, uint32_t level,
              int64_t now_us)
{
  double old = get_level (f, s, now_us);

  s->level
      = old + FEEDBACK_LEVEL_GAIN * (MIN (level, FEEDBACK_LEVEL_MAX) - old);
  s->reported_us = now_us;
}

static void
add_to_path (struct feedback *f, struct feedback_route *r, uint64_t service)
{
  uint32_t at = 0;

  while (at < r->path_len && r->path[at] != service
         && table_get (&f->services, r->path[at]) != NULL)
    at++;
  if (at == WIRE_THRESHOLDS_MAX)
    return;
  r->path[at] = service;
  r->path_len = MAX (r->path_len, at + 1);
}

static double
get_route_level (const struct feedback *f, const struct feedback_route *r,
                 int64_t now_us)
{
  double level = 0;

  for (uint32_t i = 0; i < r->path_len; i++)
    {
      const struct feedback_service *s = table_get (&f->services, r->path[i]);

      if (s != NULL)
        level = MAX (level, get_level (f, s, now_us));
    }
  return level;
}

/* Returns the level of a route before rounding, or 0 if it is unknown.  */
static double
get_level_by_name (const struct feedback *f, struct str route, int64_t now_us)
{
  const struct feedback_route *r
      = table_get (&f->routes, find_id (f->route_by_name, route));

  return r != NULL ? get_route_level (f, r, now_us) : 0;
}

static uint64_t
make_flow_key (struct str route, struct str workspace)
{
  return str_hash (route) ^ (str_hash (workspace) * UINT64_C (31));
}

static struct feedback_flow *
get_or_add_flow (struct feedback *f, struct str route, struct str workspace,
                 int64_t now_us)
{
  uint64_t key = make_flow_key (route, workspace);
  uint64_t *id = g_hash_table_lookup (f->flow_by_key, &key);
  struct feedback_flow *flow;
  void *row;

  if (id != NULL)
    return table_get (&f->flows, *id);
  if (f->flows.count >= f->settings.rows_max)
    return NULL;
  id = g_new (uint64_t, 1);
  *id = table_add (&f->flows, &row);
  flow = row;
  flow->key = key;
  flow->decayed_us = now_us;
  g_hash_table_insert (f->flow_by_key, &flow->key, id);
  return flow;
}

static void
decay_flow (struct feedback_flow *flow, int64_t now_us)
{
  double factor
      = exp (-(double)(now_us - flow->decayed_us) / FEEDBACK_DECAY_US);

  flow->decayed_us = now_us;
  for (uint32_t i = 0; i < FEEDBACK_IMPORTANCE_COUNT; i++)
    {
      flow->requests[i] *= factor;
      flow->accepts[i] *= factor;
    }
}

static void
expire_flows (struct feedback *f, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&f->flows, 0, &row); id != 0;
       id = table_next (&f->flows, id, &row))
    {
      const struct feedback_flow *flow = row;

      if (now_us - flow->decayed_us <= FEEDBACK_IDLE_US)
        continue;
      g_hash_table_remove (f->flow_by_key, &flow->key);
      table_remove (&f->flows, id);
    }
}

/* Public functions */

struct feedback_settings
feedback_get_defaults (void)
{
  return (struct feedback_settings){ .expiry_us = FEEDBACK_EXPIRY_US,
                                     .probe_fraction = FEEDBACK_PROBE_FRACTION,
                                     .rows_max = FEEDBACK_ROWS_MAX };
}

void
feedback_init (struct feedback *f, const struct feedback_settings *s)
{
  *f = (struct feedback){ .settings = *s };
  table_init (&f->services, sizeof (struct feedback_service));
  table_init (&f->routes, sizeof (struct feedback_route));
  table_init (&f->flows, sizeof (struct feedback_flow));
  f->flow_by_key
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  f->service_by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
  f->route_by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
  f->rand = g_rand_new_with_seed (s->seed);
}

void
feedback_close (struct feedback *f)
{
  feedback_expire (f, INT64_MAX);
  g_hash_table_unref (f->service_by_name);
  g_hash_table_unref (f->route_by_name);
  table_close (&f->services);
  table_close (&f->routes);
  g_hash_table_unref (f->flow_by_key);
  table_close (&f->flows);
  g_rand_free (f->rand);
}

/**
 * feedback_record_response - records the thresholds in a response
 * @f: feedback
 * @route: name of the route of the request
 * @thresholds: services on the call path and their thresholds
 * @len: number of thresholds
 * @now_us: current time
 */
void
feedback_record_response (struct feedback *f, struct str route,
                          const struct wire_threshold *thresholds,
                          uint32_t len, int64_t now_us)
{
  struct feedback_route *r = get_or_add_route (f, route);

  if (r == NULL)
    return;
  r->used_us = now_us;
  for (uint32_t i = 0; i < len; i++)
    {
      uint64_t id = get_or_add_service (f, thresholds[i].service);
      struct feedback_service *s = table_get (&f->services, id);

      if (s == NULL)
        continue;
      record_level (f, s, thresholds[i].min_importance, now_us);
      add_to_path (f, r, id);
    }
}

uint32_t
feedback_get_level (struct feedback *f, struct str route, int64_t now_us)
{
  return (uint32_t)lround (get_level_by_name (f, route, now_us));
}

/**
 * feedback_check - decides by the level of its route whether a request is sent
 * @f: feedback
 * @route: name of the request's route
 * @importance: 0..9
 * @now_us: current time
 *
 * Return: the decision; a probe is sent like any other request.
 */
enum feedback_decision
feedback_check (struct feedback *f, struct str route, uint32_t importance,
                int64_t now_us)
{
  if (importance >= feedback_get_level (f, route, now_us))
    return FEEDBACK_PASS;
  if (!is_rule_off (f, FEEDBACK_RULE_PROBE)
      && g_rand_double (f->rand) < f->settings.probe_fraction)
    return FEEDBACK_PROBE;
  return FEEDBACK_REJECT;
}

/**
 * feedback_throttle - decides whether a request is rejected to limit its flow
 * @f: feedback
 * @route: name of the request's route
 * @workspace: name of the request's workspace, empty on an open route, one
 *   whose requests need no key
 * @importance: 0..9
 * @now_us: current time
 *
 * An overloaded service accepts only a part of the requests whose importance
 * equals its threshold.  The others would be rejected after they had used the
 * services before it on the call path; this function rejects them earlier.  A
 * flow is the requests of one workspace on one route.  Flows are counted
 * separately, so that the excess of one workspace does not throttle another.
 *
 * Return: true if the request is to be rejected as overloaded.
 */
bool
feedback_throttle (struct feedback *f, struct str route, struct str workspace,
                   uint32_t importance, int64_t now_us)
{
  struct feedback_flow *flow = get_or_add_flow (f, route, workspace, now_us);
  uint32_t i = MIN (importance, FEEDBACK_IMPORTANCE_COUNT - 1);
  double excess;

  if (flow == NULL || is_rule_off (f, FEEDBACK_RULE_THROTTLE))
    return false;
  if (get_level_by_name (f, route, now_us) < FEEDBACK_OVERLOAD_LEVEL_MIN)
    {
      flow->requests[i] = 0;
      flow->accepts[i] = 0;
      return false;
    }
  decay_flow (flow, now_us);
  excess = flow->requests[i] - FEEDBACK_SENT_PER_ACCEPTED * flow->accepts[i]
           - FEEDBACK_SLACK;
  if (g_rand_double (f->rand) >= excess / (flow->requests[i] + 1))
    return false;
  flow->requests[i]++;
  return true;
}

void
feedback_record_outcome (struct feedback *f, struct str route,
                         struct str workspace, uint32_t importance,
                         bool accepted, int64_t now_us)
{
  struct feedback_flow *flow = get_or_add_flow (f, route, workspace, now_us);

  uint32_t i = MIN (importance, FEEDBACK_IMPORTANCE_COUNT - 1);

  if (flow == NULL)
    return;
  decay_flow (flow, now_us);
  flow->requests[i]++;
  if (accepted)
    flow->accepts[i]++;
}

void
feedback_expire (struct feedback *f, int64_t now_us)
{
  void *row;

  expire_flows (f, now_us);
  for (uint64_t id = table_next (&f->services, 0, &row); id != 0;
       id = table_next (&f->services, id, &row))
    {
      struct feedback_service *s = row;

      if (now_us - s->reported_us <= FEEDBACK_IDLE_US)
        continue;
      g_hash_table_remove (f->service_by_name, &s->name);
      str_free (&s->name);
      table_remove (&f->services, id);
    }
  for (uint64_t id = table_next (&f->routes, 0, &row); id != 0;
       id = table_next (&f->routes, id, &row))
    {
      struct feedback_route *r = row;

      if (now_us - r->used_us <= FEEDBACK_IDLE_US)
        continue;
      g_hash_table_remove (f->route_by_name, &r->name);
      str_free (&r->name);
      table_remove (&f->routes, id);
    }
}
