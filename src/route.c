/* route: matches requests to routes and selects the endpoint that receives a
   request. least_loaded chooses from a subset of the endpoints, those with the
   lowest rendezvous hashes, so that a daemon needs few links to a large
   service.  */

#include "route.h"

#include "route_even.h"
#include "success_rate.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Constants */

/* A load report older than this is ignored.  */
#define ROUTE_REPORT_MAX_AGE_US 1000000
/* Concurrency limit assumed for an endpoint that has not reported one.  */
#define ROUTE_LIMIT_DEFAULT 100.0
/* A new endpoint reaches its full weight after this time, which equals the
   slow start of the concurrency limit.  */
#define ROUTE_SLOW_START_US 5000000
#define ROUTE_SLOW_START_WEIGHT_MIN 0.1
/* Backoff after one failure.  Each further consecutive failure doubles it.  */
#define ROUTE_BACKOFF_US 100000
#define ROUTE_BACKOFF_DOUBLINGS_MAX 6u
/* An endpoint in the daemon's failure domain is used up to LOCAL_LOAD_MAX of
   its limit.  Above that, an endpoint in another domain is used instead if its
   load is below REMOTE_LOAD_FACTOR times the local load.  Both leave a margin:
   queues form from a load of about three quarters on, and load reports are a
   few ms old.  */
#define LOCAL_LOAD_MAX 0.5
#define REMOTE_LOAD_FACTOR 0.8

/* An endpoint whose success rate is below this fraction of the best one is
   used only while the others are loaded above FAILING_LOAD_MIN.  */
#define SUCCESS_FACTOR 0.75
#define FAILING_LOAD_MIN 0.5

/* An endpoint with outstanding requests that has sent no response for this
   many mean response times is unresponsive: its backend server hangs, or the
   network path is cut.  Where service times vary threefold, a response rarely
   takes that long.  */
#define UNRESPONSIVE_FACTOR 6.0
/* Lower bound of that time, since responses arrive in bursts.  */
#define UNRESPONSIVE_MIN_US 150000
/* Weight of one response in the moving average of the response time.  */
#define MEAN_RESPONSE_GAIN 0.05
/* Weight of a longer distance in its estimate; a shorter one replaces it.  The
   difference between both is the time in the queues of the threads, which the
   shortest ones do not contain.  */
#define DISTANCE_GAIN_UP 0.01
/* Time over which the use of an endpoint is averaged: several times the age of
   reports and the time for which a backend server is slow.  */
#define USE_AVERAGE_US 2000000.0

/* State */

static const struct
{
  struct str name;
  uint32_t bit;
} methods[] = {
  { STR_LIT ("GET"), ROUTE_GET },         { STR_LIT ("HEAD"), ROUTE_HEAD },
  { STR_LIT ("POST"), ROUTE_POST },       { STR_LIT ("PUT"), ROUTE_PUT },
  { STR_LIT ("PATCH"), ROUTE_PATCH },     { STR_LIT ("DELETE"), ROUTE_DELETE },
  { STR_LIT ("OPTIONS"), ROUTE_OPTIONS },
};

/* Internal functions: matching */

static struct str
strip_query (struct str path)
{
  const char *mark = memchr (path.data, '?', path.len);

  return mark != NULL ? str_slice (path, 0, (size_t)(mark - path.data)) : path;
}

/* Returns the end of the path segment that begins at `from`.  */
static size_t
find_segment_end (struct str path, size_t from)
{
  while (from < path.len && path.data[from] != '/')
    from++;
  return from;
}

/* Returns true if the path is absolute and has no dot or empty segments, NUL
   or backslash.  A backend server might resolve any other path to that of
   another route.  */
static bool
is_canonical (struct str path)
{
  if (path.len == 0 || path.data[0] != '/')
    return false;
  if (memchr (path.data, '\0', path.len) != NULL
      || memchr (path.data, '\\', path.len) != NULL)
    return false;
  for (size_t from = 1; from < path.len;)
    {
      size_t end = find_segment_end (path, from);
      struct str segment = str_slice (path, from, end);

      if (segment.len == 0 || str_equal (segment, STR_LIT ("."))
          || str_equal (segment, STR_LIT ("..")))
        return false;
      from = end + 1;
    }
  return true;
}

static const struct route_entry *
find_entry (const struct route_map *m, struct str prefix)
{
  uint64_t *id = g_hash_table_lookup (m->by_prefix, &prefix);

  return id != NULL ? table_get (&m->entries, *id) : NULL;
}

/* Finds the entry with the longest prefix of whole segments in the first `end`
   bytes of a path.  */
static const struct route_entry *
find_longest (const struct route_map *m, struct str path, size_t end)
{
  const struct route_entry *e = NULL;

  while (e == NULL)
    {
      if (end <= m->prefix_max)
        e = find_entry (m, str_slice (path, 0, end));
      if (end == 0)
        break;
      do
        end--;
      while (end > 0 && path.data[end] != '/');
    }
  return e;
}

static enum route_match
match_longest (const struct route_map *m, uint32_t method, struct str path,
               size_t end, uint64_t *route)
{
  const struct route_entry *e = find_longest (m, path, end);

  if (e == NULL)
    return ROUTE_NO_PATH;
  while (e != NULL && (e->methods & method) == 0)
    e = table_get (&m->entries, e->next);
  if (e == NULL)
    return ROUTE_NO_METHOD;
  *route = e->route;
  return ROUTE_MATCHED;
}

static enum route_match
match_path (const struct route_map *m, uint32_t method, struct str path,
            uint64_t *route)
{
  if (!is_canonical (path))
    return ROUTE_BAD_PATH;
  return match_longest (m, method, path, path.len, route);
}

/* Internal functions: endpoints */

bool
route_is_disabled (const struct route_pool *p, enum route_rule rule)
{
  return (p->disabled_rules & rule) != 0;
}

static struct route_endpoint *
find_endpoint (const struct route_pool *p, uint64_t member)
{
  uint64_t *id = g_hash_table_lookup (p->by_member, &member);

  return id != NULL ? table_get (&p->endpoints, *id) : NULL;
}

static uint64_t
hash_rank (uint64_t self, uint64_t member)
{
  uint64_t pair[2] = { self, member };

  return XXH64 (pair, sizeof pair, 0);
}

/* Inserts an endpoint in the order of ranks.  If the subset is full, this
   drops the endpoint with the highest rank.  */
static void
insert_into_subset (struct route_pool *p, uint64_t id, uint64_t rank)
{
  uint32_t at = p->subset_len;

  if (p->subset_len < ROUTE_SUBSET_MAX)
    p->subset_len++;
  else
    at--;
  for (; at > 0; at--)
    {
      const struct route_endpoint *before
          = table_get (&p->endpoints, p->subset[at - 1]);

      if (before->rank <= rank)
        break;
      p->subset[at] = p->subset[at - 1];
    }
  p->subset[at] = id;
}

static void
build_subset (struct route_pool *p)
{
  void *row;

  if (!p->subset_stale)
    return;
  p->subset_stale = false;
  p->subset_len = 0;
  for (uint64_t id = table_next (&p->endpoints, 0, &row); id != 0;
       id = table_next (&p->endpoints, id, &row))
    {
      uint64_t rank = ((struct route_endpoint *)row)->rank;
      const struct route_endpoint *last;

      if (p->subset_len == ROUTE_SUBSET_MAX)
        {
          last = table_get (&p->endpoints, p->subset[ROUTE_SUBSET_MAX - 1]);
          if (last->rank <= rank)
            continue;
        }
      insert_into_subset (p, id, rank);
    }
}

static bool
is_tried (uint64_t member, const uint64_t *tried, uint32_t tried_len)
{
  for (uint32_t i = 0; i < tried_len; i++)
    if (tried[i] == member)
      return true;
  return false;
}

double
route_get_slow_start_weight (const struct route_pool *p,
                             const struct route_endpoint *e, int64_t now_us)
{
  double age_us = (double)(now_us - e->announced_us);

  if (route_is_disabled (p, ROUTE_RULE_SLOW_START))
    return 1;
  return CLAMP (age_us / ROUTE_SLOW_START_US, ROUTE_SLOW_START_WEIGHT_MIN,
                1.0);
}

bool
route_has_recent_report (const struct route_endpoint *e, int64_t now_us)
{
  return now_us - e->reported_us <= ROUTE_REPORT_MAX_AGE_US;
}

/* Returns the load that an endpoint would have with the next request: its
   requests divided by its concurrency limit, which the slow start reduces.
   The report includes requests of this daemon, so the larger of the reported
   and the own count is used.  */
static double
get_load (const struct route_pool *p, const struct route_endpoint *e,
          int64_t now_us)
{
  double limit = e->limit > 0 ? e->limit : ROUTE_LIMIT_DEFAULT;
  double busy = e->outstanding;

  if (route_has_recent_report (e, now_us))
    busy = MAX (busy, e->in_flight);
  return (busy + 1) / (limit * route_get_slow_start_weight (p, e, now_us));
}

/* Returns true if the endpoint has outstanding requests and has not responded
   for several mean response times.  */
static bool
is_unresponsive (const struct route_pool *p, const struct route_endpoint *e,
                 int64_t now_us)
{
  double limit_us
      = MAX (p->mean_response_us * UNRESPONSIVE_FACTOR, UNRESPONSIVE_MIN_US);

  return e->outstanding > 0 && p->mean_response_us > 0
         && (double)(now_us - e->no_response_since_us) > limit_us
         && !route_is_disabled (p, ROUTE_RULE_UNRESPONSIVE);
}

static bool
is_in_backoff (const struct route_pool *p, const struct route_endpoint *e,
               int64_t now_us)
{
  return now_us < e->backoff_until_us
         && !route_is_disabled (p, ROUTE_RULE_BACKOFF);
}

/* Returns true if the endpoint fails far more often than the best one.  One
   without a recent report is tried, so that the end of its failures is
   noticed.  */
static bool
is_failing (const struct route_pool *p, const struct route_candidates *c,
            const struct route_endpoint *e, int64_t now_us)
{
  return route_has_recent_report (e, now_us)
         && e->success_permille < c->best_success * SUCCESS_FACTOR
         && !route_is_disabled (p, ROUTE_RULE_SUCCESS);
}

static void
add_candidate (const struct route_pool *p, struct route_candidates *c,
               struct route_endpoint *e, int64_t now_us)
{
  if (is_in_backoff (p, e, now_us))
    {
      if (c->earliest_retry == NULL
          || e->backoff_until_us < c->earliest_retry->backoff_until_us)
        c->earliest_retry = e;
      return;
    }
  if (is_unresponsive (p, e, now_us))
    {
      c->unresponsive[c->unresponsive_len++] = e;
      return;
    }
  if (is_failing (p, c, e, now_us))
    {
      c->failing[c->failing_len++] = e;
      return;
    }
  c->available[c->available_len++] = e;
  if (e->domain == p->domain && !route_is_disabled (p, ROUTE_RULE_DOMAIN))
    c->local[c->local_len++] = e;
}

struct route_candidates
route_collect_candidates (struct route_pool *p, const uint64_t *tried,
                          uint32_t tried_len, int64_t now_us)
{
  struct route_candidates c = { .available_len = 0 };

  build_subset (p);
  for (uint32_t i = 0; i < p->subset_len; i++)
    {
      struct route_endpoint *e = table_get (&p->endpoints, p->subset[i]);

      if (!is_tried (e->member, tried, tried_len)
          && route_has_recent_report (e, now_us)
          && !is_in_backoff (p, e, now_us) && !is_unresponsive (p, e, now_us))
        c.best_success = MAX (c.best_success, e->success_permille);
    }
  for (uint32_t i = 0; i < p->subset_len; i++)
    {
      struct route_endpoint *e = table_get (&p->endpoints, p->subset[i]);

      if (!is_tried (e->member, tried, tried_len))
        add_candidate (p, &c, e, now_us);
    }
  return c;
}

static struct route_endpoint *
pick (struct route_pool *p, struct route_endpoint *const *from, uint32_t len)
{
  return from[g_rand_int_range (p->rand, 0, (gint32)len)];
}

uint64_t
route_choose_last_resort (struct route_pool *p,
                          const struct route_candidates *c)
{
  if (c->unresponsive_len > 0)
    return pick (p, c->unresponsive, c->unresponsive_len)->member;
  return c->earliest_retry != NULL ? c->earliest_retry->member : 0;
}

/* Returns true if the request should go to `other` instead of `first`.
   Traffic between failure domains costs bytes and time, so an endpoint in
   another domain is better only if the local one is well used and clearly
   busier.  */
static bool
is_better (const struct route_pool *p, const struct route_endpoint *first,
           const struct route_endpoint *other, int64_t now_us)
{
  double load = get_load (p, first, now_us);
  double other_load = get_load (p, other, now_us);

  if (first->domain != p->domain || other->domain == p->domain
      || route_is_disabled (p, ROUTE_RULE_DOMAIN))
    return other_load < load;
  return load > LOCAL_LOAD_MAX && other_load < load * REMOTE_LOAD_FACTOR;
}

/* Returns a random candidate other than `first`, or `first` if there is no
   other.  */
static struct route_endpoint *
pick_other (struct route_pool *p, const struct route_candidates *c,
            struct route_endpoint *first)
{
  struct route_endpoint *other;

  if (c->available_len == 1)
    return first;
  other = pick (p, c->available, c->available_len - 1);
  return other != first ? other : c->available[c->available_len - 1];
}

/* Power of two choices: compares two different random candidates.  The first
   is in the daemon's failure domain if possible and is used unless the second
   is better.  */
static struct route_endpoint *
pick_of_two (struct route_pool *p, const struct route_candidates *c,
             int64_t now_us)
{
  struct route_endpoint *first
      = c->local_len > 0 ? pick (p, c->local, c->local_len)
                         : pick (p, c->available, c->available_len);
  struct route_endpoint *second = pick_other (p, c, first);

  if (route_is_disabled (p, ROUTE_RULE_LOAD))
    return second;
  return is_better (p, first, second, now_us) ? second : first;
}

static uint64_t
choose_least_loaded (struct route_pool *p, const uint64_t *tried,
                     uint32_t tried_len, int64_t now_us)
{
  struct route_candidates c
      = route_collect_candidates (p, tried, tried_len, now_us);
  struct route_endpoint *chosen = NULL;

  if (c.available_len > 0)
    chosen = pick_of_two (p, &c, now_us);
  /* Half of the work of a failing endpoint is better than none if the others
     are full.  */
  if (chosen != NULL && c.failing_len > 0
      && get_load (p, chosen, now_us) > FAILING_LOAD_MIN)
    {
      struct route_endpoint *failing = pick (p, c.failing, c.failing_len);

      if (get_load (p, failing, now_us) < get_load (p, chosen, now_us))
        chosen = failing;
    }
  return chosen != NULL ? chosen->member : route_choose_last_resort (p, &c);
}

static uint64_t
choose_round_robin (struct route_pool *p, const uint64_t *tried,
                    uint32_t tried_len, int64_t now_us)
{
  uint32_t turn = p->round_robin_count++ % MAX (p->endpoints.count, 1);
  uint64_t chosen = 0;
  void *row;

  for (uint64_t id = table_next (&p->endpoints, 0, &row); id != 0;
       id = table_next (&p->endpoints, id, &row))
    {
      uint64_t member = ((struct route_endpoint *)row)->member;

      if (is_tried (member, tried, tried_len))
        continue;
      if (turn == 0)
        return member;
      turn--;
      chosen = member;
    }
  return chosen;
}

static const struct route_ops policies[] = {
  { .name = STR_LIT ("least_loaded"), .choose = choose_least_loaded },
  { .name = STR_LIT ("even_load"),
    .choose = route_even_choose,
    .get_response_max_us = route_even_get_response_max_us },
  { .name = STR_LIT ("round_robin"), .choose = choose_round_robin },
};

static int64_t
get_backoff_us (const struct route_endpoint *e)
{
  uint32_t doublings
      = MIN (e->consecutive_failures - 1, ROUTE_BACKOFF_DOUBLINGS_MAX);

  return (int64_t)ROUTE_BACKOFF_US << doublings;
}

static void
decrement_outstanding (struct route_endpoint *e)
{
  if (e->outstanding > 0)
    e->outstanding--;
}

/* Adds the last report to the moving average of the use.  */
static void
update_use (struct route_endpoint *e, int64_t now_us)
{
  double use = MIN ((double)e->arrivals_per_s * e->service_us
                        / (MAX (e->limit, 1) * (double)G_USEC_PER_SEC),
                    1);
  double age_us = (double)(now_us - e->use_updated_us);

  if (e->use_updated_us == 0)
    e->use = use;
  else
    e->use += (1 - exp (-age_us / USE_AVERAGE_US)) * (use - e->use);
  e->use_updated_us = now_us;
}

/* Public functions: matching */

void
route_init_map (struct route_map *m)
{
  *m = (struct route_map){ .prefix_max = 0 };
  table_init (&m->entries, sizeof (struct route_entry));
  m->by_prefix
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
}

void
route_close_map (struct route_map *m)
{
  void *row;

  g_hash_table_unref (m->by_prefix);
  for (uint64_t id = table_next (&m->entries, 0, &row); id != 0;
       id = table_next (&m->entries, id, &row))
    str_free (&((struct route_entry *)row)->prefix);
  table_close (&m->entries);
}

/**
 * route_add - adds a route
 * @m: map
 * @prefix: path prefix; a trailing slash is ignored
 * @method_bits: enum route_method bits
 * @route: id that route_find returns
 */
void
route_add (struct route_map *m, struct str prefix, uint32_t method_bits,
           uint64_t route)
{
  uint64_t *first;
  uint64_t id;
  void *row;
  struct route_entry *e;

  if (prefix.len > 0 && prefix.data[prefix.len - 1] == '/')
    prefix.len--;
  id = table_add (&m->entries, &row);
  e = row;
  *e = (struct route_entry){ .prefix = str_copy (prefix),
                             .methods = method_bits,
                             .route = route };
  m->prefix_max = MAX (m->prefix_max, prefix.len);
  first = g_hash_table_lookup (m->by_prefix, &prefix);
  if (first != NULL)
    {
      e->next = *first;
      *first = id;
      return;
    }
  first = g_new (uint64_t, 1);
  *first = id;
  g_hash_table_insert (m->by_prefix, &e->prefix, first);
}

/**
 * route_find - finds the route of a request
 * @m: map
 * @method: method name
 * @path: path with the query, as received
 * @route: receives the id
 *
 * The path is percent-decoded before it is matched, as the backend server
 * decodes it: otherwise "/%61dmin" would match the route of "/".
 *
 * Return: ROUTE_MATCHED, or the reason why no route matches.
 */
enum route_match
route_find (const struct route_map *m, struct str method, struct str path,
            uint64_t *route)
{
  struct str_buf decoded = { 0 };
  enum route_match match;

  path = strip_query (path);
  if (memchr (path.data, '%', path.len) == NULL)
    return match_path (m, route_parse_method (method), path, route);
  str_append_percent_decoded (&decoded, path);
  match = match_path (m, route_parse_method (method), str_view (&decoded),
                      route);
  str_reset (&decoded);
  return match;
}

/**
 * route_find_at_host - finds the route of a request by host and path
 * @m: map with prefixes that begin with a host name
 * @method: method name
 * @host: host name; a port is ignored
 * @path: path with the query, as received
 * @route: receives the id
 *
 * A prefix matches only where a slash follows it: "host/a" matches "host/a/"
 * and "host/a/b", but not "host/a".
 *
 * Return: ROUTE_MATCHED, or the reason why no route matches.
 */
enum route_match
route_find_at_host (const struct route_map *m, struct str method,
                    struct str host, struct str path, uint64_t *route)
{
  const char *port = memchr (host.data, ':', host.len);
  struct str_buf host_and_path = { 0 };
  enum route_match match = ROUTE_BAD_PATH;
  size_t host_len = port != NULL ? (size_t)(port - host.data) : host.len;

  path = strip_query (path);
  str_append (&host_and_path, str_slice (host, 0, host_len));
  str_append (&host_and_path, path);
  if (host_len > 0 && is_canonical (path))
    {
      const char *last = memrchr (host_and_path.data, '/', host_and_path.len);

      match = match_longest (m, route_parse_method (method),
                             str_view (&host_and_path),
                             (size_t)(last - host_and_path.data), route);
    }
  str_reset (&host_and_path);
  return match;
}

uint32_t
route_parse_method (struct str method)
{
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    if (str_equal (methods[i].name, method))
      return methods[i].bit;
  return 0;
}

/* Public functions: endpoints */

/**
 * route_find_ops - looks up a policy
 * @name: value of the settings member policy.route
 *
 * "round_robin" uses all endpoints in turn and ignores load and failures.
 *
 * Return: the policy, or NULL if the name is unknown.
 */
const struct route_ops *
route_find_ops (struct str name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (str_equal (policies[i].name, name))
      return &policies[i];
  return NULL;
}

/**
 * route_init_pool - initializes an empty pool of one service's endpoints
 * @p: pool
 * @self: member id of this daemon; selects the subset of a large service
 * @domain: failure domain of this daemon
 * @seed: seed of the random choices
 */
void
route_init_pool (struct route_pool *p, uint64_t self, uint32_t domain,
                 uint32_t seed)
{
  *p = (struct route_pool){ .self = self, .domain = domain };
  table_init (&p->endpoints, sizeof (struct route_endpoint));
  p->by_member
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  p->rand = g_rand_new_with_seed (seed);
}

void
route_close_pool (struct route_pool *p)
{
  g_hash_table_unref (p->by_member);
  table_close (&p->endpoints);
  g_rand_free (p->rand);
}

void
route_set_endpoint (struct route_pool *p, uint64_t member, uint32_t domain,
                    int64_t announced_us)
{
  struct route_endpoint *e = find_endpoint (p, member);

  if (e == NULL)
    {
      uint64_t *id = g_new (uint64_t, 1);
      void *row;

      *id = table_add (&p->endpoints, &row);
      e = row;
      e->member = member;
      e->rank = hash_rank (p->self, member);
      e->reported_us = INT64_MIN / 2;
      g_hash_table_insert (p->by_member, &e->member, id);
      p->subset_stale = true;
    }
  e->domain = domain;
  e->announced_us = announced_us;
}

void
route_remove_endpoint (struct route_pool *p, uint64_t member)
{
  uint64_t *id = g_hash_table_lookup (p->by_member, &member);

  if (id == NULL)
    return;
  table_remove (&p->endpoints, *id);
  g_hash_table_remove (p->by_member, &member);
  p->subset_stale = true;
}

/**
 * route_record_send - records that a request was sent
 * @p: pool
 * @member: endpoint
 * @now_us: current time
 *
 * After a failure, each request restarts the backoff, so that the endpoint
 * gets one request per backoff period until it responds.
 */
void
route_record_send (struct route_pool *p, uint64_t member, int64_t now_us)
{
  struct route_endpoint *e = find_endpoint (p, member);

  if (e == NULL)
    return;
  e->sent_since_report++;
  if (e->outstanding++ == 0)
    e->no_response_since_us = now_us;
  if (e->consecutive_failures > 0)
    e->backoff_until_us = now_us + get_backoff_us (e);
}

void
route_record_response (struct route_pool *p, uint64_t member,
                       uint32_t in_flight, uint32_t limit,
                       uint32_t success_permille, int64_t sent_us,
                       int64_t now_us)
{
  double response_us = (double)MAX (now_us - sent_us, 1);

  if (find_endpoint (p, member) == NULL)
    return;
  if (p->mean_response_us == 0)
    p->mean_response_us = response_us;
  p->mean_response_us
      += MEAN_RESPONSE_GAIN * (response_us - p->mean_response_us);
  route_record_refusal (p, member, in_flight, limit, success_permille, now_us);
}

/**
 * route_record_refusal - records a response that was given at once
 * @p: pool
 * @member: endpoint
 * @in_flight: load report
 * @limit: load report; 0: none
 * @success_permille: load report
 * @now_us: current time
 *
 * Unlike route_record_response, this does not count in the mean response time:
 * refusals would make it so short that busy endpoints look unresponsive.
 */
void
route_record_refusal (struct route_pool *p, uint64_t member,
                      uint32_t in_flight, uint32_t limit,
                      uint32_t success_permille, int64_t now_us)
{
  struct route_endpoint *e = find_endpoint (p, member);

  if (e == NULL)
    return;
  decrement_outstanding (e);
  e->no_response_since_us = now_us;
  e->consecutive_failures = 0;
  e->backoff_until_us = 0;
  if (limit == 0)
    return;
  e->in_flight = in_flight;
  e->limit = limit;
  e->success_permille = success_permille;
  e->reported_us = now_us;
  e->sent_since_report = 0;
}

void
route_record_rates (struct route_pool *p, uint64_t member,
                    uint32_t arrivals_per_s, uint32_t service_us,
                    int64_t residence_us, int64_t sent_us, int64_t now_us)
{
  struct route_endpoint *e = find_endpoint (p, member);
  double distance_us = (double)MAX (now_us - sent_us - residence_us, 1);

  if (e == NULL)
    return;
  e->arrivals_per_s = arrivals_per_s;
  e->service_us = service_us;
  update_use (e, now_us);
  if (e->distance_us == 0 || distance_us < e->distance_us)
    e->distance_us = distance_us;
  e->distance_us += DISTANCE_GAIN_UP * (distance_us - e->distance_us);
}

void
route_record_failure (struct route_pool *p, uint64_t member, int64_t now_us)
{
  struct route_endpoint *e = find_endpoint (p, member);

  if (e == NULL)
    return;
  decrement_outstanding (e);
  e->consecutive_failures++;
  e->backoff_until_us = now_us + get_backoff_us (e);
}

bool
route_is_crossing (const struct route_pool *p, uint64_t member)
{
  const struct route_endpoint *e = find_endpoint (p, member);

  return e != NULL && e->domain != p->domain;
}

void
route_record_cancel (struct route_pool *p, uint64_t member, int64_t sent_us,
                     int64_t now_us)
{
  struct route_endpoint *e = find_endpoint (p, member);

  if (e == NULL)
    return;
  if (is_unresponsive (p, e, now_us) && e->no_response_since_us <= sent_us)
    route_record_failure (p, member, now_us);
  else
    decrement_outstanding (e);
}
