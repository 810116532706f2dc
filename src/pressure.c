/* pressure: load shedding at the entry daemon.  */

#include "pressure.h"

#include "clock.h"

#include <math.h>
#include <string.h>

/* Constants */

/* Fraction of the capacity that is reserved to drain the queue.  It grows with
   the queueing delay up to DRAIN_FRACTION_MAX at DRAIN_FULL_WAIT_US, which is
   within the latency target of most routes.  */
#define DRAIN_FULL_WAIT_US 500000.0
#define DRAIN_FRACTION_MAX 0.3
/* Exponent of the target factor: each interval moves the admitted fraction by
   this part of the way to its target, on a logarithmic scale, so that it
   settles in about 150 ms.  Steps are relative because at an admitted fraction
   of a tenth, a change by a hundredth of all requests is a tenth of the
   load.  */
#define CONTROL_GAIN 0.3
/* Time constant with which the arrivals follow a change of the admitted
   fraction: the report reaches the entry daemons with responses, daemon by
   daemon, and requests admitted before go on making calls.  Without this model
   the fraction falls for as long as the change does not show, up to 1 s, so
   that slots are idle and then overloaded in turn every 5 s.  */
#define RESPONSE_TIME_US 700000.0
/* Largest target factor of one step, because the number of arrivals in a short
   time varies by chance.  The admitted fraction recovers from its minimum in
   1.3 s.  */
#define FACTOR_MAX 4.0
/* Weight of one interval in the average number of arrivals.  */
#define ARRIVALS_AVERAGE_GAIN 0.2
/* Target utilization of the slots while the queue is empty.  */
#define UTILIZATION_TARGET 0.97
/* Time constant of the moving average of a service's reports, which come from
   several endpoints that should all count.  A report after a longer pause
   replaces the average.  An average over a fixed number of reports would lag
   by seconds on a path of four daemons with few calls.  */
#define REPORT_AVERAGE_US 100000.0
/* Age at which a report is out of date.  From then on the pressure decays to a
   third in each period of this length, so that refused routes are tried
   again.  */
#define REPORT_VALIDITY_US 1000000
/* Weight of one report in the average number of calls that a route makes.  */
#define CALLS_GAIN 0.1
/* The counts of requests and calls decay to a third in this time.  */
#define COUNT_DECAY_US 2000000.0
/* At least this fraction of an even share of the admitted calls is admitted at
   each importance, so that no route starves.  A route counts as starved if it
   is served less than a quarter as often as all others; the fraction is larger
   because some of the admitted requests fail later.  */
#define ADMITTED_SHARE_MIN 0.4
/* Largest pressure.  The requests still admitted keep the reports up to date,
   and the limit bounds the time to recover after an overload.  */
#define PRESSURE_MAX 0.97
/* Largest number of services, and of routes, in a shedder.  */
#define ROWS_MAX 4096u

/* Internal functions */

static uint64_t
find_id (GHashTable *by_name, struct str name)
{
  uint64_t *id = g_hash_table_lookup (by_name, &name);

  return id != NULL ? *id : 0;
}

/* Adds a row whose first member is its name.  Returns its id, or 0 if the
   table is full.  */
static uint64_t
add_row (struct table *t, GHashTable *by_name, struct str name)
{
  uint64_t *id;
  struct str *stored;

  if (t->count >= ROWS_MAX)
    return 0;
  id = g_new (uint64_t, 1);
  *id = table_add (t, (void **)&stored);
  *stored = str_copy (name);
  g_hash_table_insert (by_name, stored, id);
  return *id;
}

/* Returns the number of arrivals in an interval that the current admitted
   fraction will lead to, once the arrivals have followed its last changes (a
   Smith predictor).  */
static double
predict_arrivals (const struct pressure_controller *p)
{
  return p->mean_arrivals * (1 - p->value) / (1 - p->mean_value);
}

/* Returns the factor by which the admitted fraction has to change so that the
   predicted arrivals match the capacity.  */
static double
get_target_factor (const struct pressure_controller *p,
                   const struct pressure_load *load)
{
  double capacity = (double)load->limit * PRESSURE_INTERVAL_US
                    / (double)MAX (load->service_us, 1);
  double wait_us
      = (double)load->queued * (double)load->service_us / load->limit;
  double drain = MIN (wait_us / DRAIN_FULL_WAIT_US, 1.0) * DRAIN_FRACTION_MAX;

  if (p->mean_arrivals <= 0)
    return FACTOR_MAX;
  return CLAMP (capacity * UTILIZATION_TARGET * (1 - drain)
                    / predict_arrivals (p),
                1 / FACTOR_MAX, FACTOR_MAX);
}

static double
get_decay (int64_t from_us, int64_t now_us)
{
  return exp (-(double)(now_us - from_us) / COUNT_DECAY_US);
}

static void
decay_service (struct pressure_service *s, int64_t now_us)
{
  double factor = get_decay (s->decayed_us, now_us);

  s->decayed_us = now_us;
  for (uint32_t i = 0; i < PRESSURE_IMPORTANCE_COUNT; i++)
    {
      s->requests[i] *= factor;
      s->calls[i] *= factor;
    }
}

/* Returns the largest fraction of the requests of one importance to refuse, by
   ADMITTED_SHARE_MIN.  If each request makes few calls, the same share of the
   admitted calls is a larger fraction of the requests.  */
static double
get_refused_fraction_max (const struct pressure_service *s,
                          uint32_t importance, double admitted,
                          double mean_calls)
{
  double calls = s->calls[importance] / s->requests[importance];

  return 1 - MIN (ADMITTED_SHARE_MIN * admitted * mean_calls / calls, 1.0);
}

/* Returns the fraction of the requests of one importance to refuse, so that
   the pressure is the refused fraction of all calls and the least important
   are refused first.  */
static double
get_refused_fraction (const struct pressure_service *s, uint32_t importance,
                      int64_t now_us)
{
  double value = pressure_get_value (s, now_us);
  double requests = 0;
  double calls = 0;
  double remaining;
  double refused_max;

  for (uint32_t i = 0; i < PRESSURE_IMPORTANCE_COUNT; i++)
    {
      requests += s->requests[i];
      calls += s->calls[i];
    }
  if (s->calls[importance] <= 0)
    return 0;
  remaining = value * calls;
  for (uint32_t i = 0; i < importance; i++)
    if (s->calls[i] > 0)
      remaining -= MIN (remaining, s->calls[i]
                                       * get_refused_fraction_max (
                                           s, i, 1 - value, calls / requests));
  refused_max
      = get_refused_fraction_max (s, importance, 1 - value, calls / requests);
  return MIN (remaining / s->calls[importance], refused_max);
}

static void
record_route_calls (struct pressure_route *r, uint64_t service, double calls)
{
  for (uint32_t i = 0; i < r->len; i++)
    if (r->services[i] == service)
      {
        r->calls[i] += CALLS_GAIN * (calls - r->calls[i]);
        return;
      }
  if (r->len == PRESSURE_PATH_SERVICES_MAX)
    return;
  r->services[r->len] = service;
  r->calls[r->len++] = calls;
}

/* Adds a report to an average that was last changed at *reported_us, 0 if
   never.  */
static void
update_average (double *value, int64_t *reported_us, double report,
                int64_t now_us)
{
  double fraction = 1;

  if (*reported_us != 0)
    fraction = 1 - exp (-(double)(now_us - *reported_us) / REPORT_AVERAGE_US);
  *value += fraction * (report - *value);
  *reported_us = now_us;
}

static struct pressure_downstream_service *
find_downstream (struct pressure_downstream *d, struct str name)
{
  for (uint32_t i = 0; i < d->len; i++)
    if (d->services[i].name_len == name.len
        && memcmp (d->services[i].name, name.data, name.len) == 0)
      return &d->services[i];
  return NULL;
}

static struct pressure_downstream_service *
add_downstream (struct pressure_downstream *d, struct str name, int64_t now_us)
{
  struct pressure_downstream_service *s = NULL;

  if (name.len > PRESSURE_NAME_MAX_BYTES)
    return NULL;
  if (d->len < PRESSURE_PATH_SERVICES_MAX)
    s = &d->services[d->len++];
  for (uint32_t i = 0; i < d->len && s == NULL; i++)
    if (now_us - d->services[i].reported_us > REPORT_VALIDITY_US)
      s = &d->services[i];
  if (s == NULL)
    return NULL;
  *s = (struct pressure_downstream_service){ .name_len = name.len };
  memcpy (s->name, name.data, name.len);
  return s;
}

static void
decay_downstream (struct pressure_downstream *d, int64_t now_us)
{
  double factor = get_decay (d->decayed_us, now_us);

  d->decayed_us = now_us;
  d->requests *= factor;
  for (uint32_t i = 0; i < d->len; i++)
    d->services[i].calls *= factor;
}

/* Public functions: serving daemon */

/**
 * pressure_run - updates the pressure from the load
 * @p: controller
 * @load: current load
 * @now_us: current time
 *
 * Has to be called at least once per PRESSURE_INTERVAL_US.
 */
void
pressure_run (struct pressure_controller *p, const struct pressure_load *load,
              int64_t now_us)
{
  double admitted;

  p->arrived += load->arrived;
  if (now_us < p->next_us)
    return;
  p->next_us = now_us + PRESSURE_INTERVAL_US;
  p->mean_arrivals += ARRIVALS_AVERAGE_GAIN * (p->arrived - p->mean_arrivals);
  p->arrived = 0;
  p->mean_value
      += PRESSURE_INTERVAL_US / RESPONSE_TIME_US * (p->value - p->mean_value);
  if (load->limit == 0 || load->service_us == 0)
    return;
  admitted = (1 - p->value) * pow (get_target_factor (p, load), CONTROL_GAIN);
  p->value = CLAMP (1 - admitted, 0.0, PRESSURE_MAX);
}

uint32_t
pressure_get_permille (const struct pressure_controller *p)
{
  return (uint32_t)(p->value * PRESSURE_SCALE);
}

/* Public functions: front */

void
pressure_init_shedder (struct pressure_shedder *s, uint32_t seed)
{
  table_init (&s->services, sizeof (struct pressure_service));
  table_init (&s->routes, sizeof (struct pressure_route));
  s->service_by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
  s->route_by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
  s->rand = g_rand_new_with_seed (seed);
}

void
pressure_close_shedder (struct pressure_shedder *s)
{
  struct table *tables[] = { &s->services, &s->routes };
  struct str *name;

  g_hash_table_unref (s->service_by_name);
  g_hash_table_unref (s->route_by_name);
  for (size_t t = 0; t < G_N_ELEMENTS (tables); t++)
    {
      for (uint64_t id = table_next (tables[t], 0, (void **)&name); id != 0;
           id = table_next (tables[t], id, (void **)&name))
        str_free (name);
      table_close (tables[t]);
    }
  g_rand_free (s->rand);
}

void
pressure_record_reports (struct pressure_shedder *s, struct str route,
                         const struct pressure_report *reports, uint32_t len,
                         int64_t now_us)
{
  uint64_t id = find_id (s->route_by_name, route);
  struct pressure_route *r;

  if (id == 0)
    id = add_row (&s->routes, s->route_by_name, route);
  r = table_get (&s->routes, id);
  if (r == NULL)
    return;
  for (uint32_t i = 0; i < len; i++)
    {
      struct pressure_service *service;

      id = find_id (s->service_by_name, reports[i].service);
      if (id == 0)
        id = add_row (&s->services, s->service_by_name, reports[i].service);
      service = table_get (&s->services, id);
      if (service == NULL)
        return;
      update_average (&service->value, &service->reported_us,
                      (double)reports[i].permille / PRESSURE_SCALE, now_us);
      record_route_calls (r, id, (double)reports[i].calls / PRESSURE_SCALE);
    }
}

/**
 * pressure_shed - counts a request and decides whether it is refused
 * @s: shedder
 * @route: name of the request's route
 * @importance: 0..9
 * @now_us: current time
 *
 * Return: true if the request is to be refused as overloaded.
 */
bool
pressure_shed (struct pressure_shedder *s, struct str route,
               uint32_t importance, int64_t now_us)
{
  struct pressure_route *r
      = table_get (&s->routes, find_id (s->route_by_name, route));
  double fraction = 0;
  bool refused;

  if (r == NULL)
    return false;
  importance = MIN (importance, PRESSURE_IMPORTANCE_COUNT - 1);
  for (uint32_t i = 0; i < r->len; i++)
    {
      struct pressure_service *service
          = table_get (&s->services, r->services[i]);

      decay_service (service, now_us);
      service->requests[importance]++;
      service->calls[importance] += r->calls[i];
      fraction
          = MAX (fraction, get_refused_fraction (service, importance, now_us));
    }
  refused = fraction > 0 && g_rand_double (s->rand) < fraction;
  for (uint32_t i = 0; i < r->len; i++)
    {
      struct pressure_service *service
          = table_get (&s->services, r->services[i]);

      service->checked++;
      service->refused += refused;
    }
  return refused;
}

uint64_t
pressure_next_service (const struct pressure_shedder *s, uint64_t id,
                       struct pressure_service **service)
{
  return table_next (&s->services, id, (void **)service);
}

double
pressure_get_value (const struct pressure_service *s, int64_t now_us)
{
  int64_t age_us = now_us - s->reported_us;

  if (age_us <= REPORT_VALIDITY_US)
    return s->value;
  return s->value
         * exp (-(double)(age_us - REPORT_VALIDITY_US) / REPORT_VALIDITY_US);
}

/* Public functions: services that the backend server calls */

void
pressure_init_downstream (struct pressure_downstream *d)
{
  memset (d, 0, sizeof *d);
  g_mutex_init (&d->mutex);
}

void
pressure_close_downstream (struct pressure_downstream *d)
{
  g_mutex_clear (&d->mutex);
}

void
pressure_record_downstream (struct pressure_downstream *d,
                            const struct pressure_report *reports,
                            uint32_t len, int64_t now_us)
{
  g_mutex_lock (&d->mutex);
  decay_downstream (d, now_us);
  for (uint32_t i = 0; i < len; i++)
    {
      struct pressure_downstream_service *s
          = find_downstream (d, reports[i].service);

      if (s == NULL)
        s = add_downstream (d, reports[i].service, now_us);
      if (s == NULL)
        continue;
      update_average (&s->value, &s->reported_us,
                      (double)reports[i].permille / PRESSURE_SCALE, now_us);
      s->calls += (double)reports[i].calls / PRESSURE_SCALE;
    }
  g_mutex_unlock (&d->mutex);
}

void
pressure_record_request (struct pressure_downstream *d, int64_t now_us)
{
  g_mutex_lock (&d->mutex);
  decay_downstream (d, now_us);
  d->requests++;
  g_mutex_unlock (&d->mutex);
}

uint32_t
pressure_copy_downstream (struct pressure_downstream *d,
                          struct pressure_downstream_service *out,
                          uint32_t out_max, int64_t now_us)
{
  uint32_t len = 0;

  g_mutex_lock (&d->mutex);
  for (uint32_t i = 0; i < d->len && len < out_max; i++)
    if (now_us - d->services[i].reported_us <= REPORT_VALIDITY_US)
      {
        out[len] = d->services[i];
        out[len++].calls /= MAX (d->requests, 1.0);
      }
  g_mutex_unlock (&d->mutex);
  return len;
}
