/* route: matches requests to routes and selects the endpoint that receives a
   request.  A pool holds the endpoints of one service, as one front (a thread
   that receives callers' requests) knows them.  */

#ifndef ALMONDVALE_ROUTE_H
#define ALMONDVALE_ROUTE_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Largest number of endpoints that least_loaded chooses from.  */
#define ROUTE_SUBSET_MAX 20u

/* Types: matching */

enum route_method
{
  ROUTE_GET = 1,
  ROUTE_HEAD = 2,
  ROUTE_POST = 4,
  ROUTE_PUT = 8,
  ROUTE_PATCH = 16,
  ROUTE_DELETE = 32,
  ROUTE_OPTIONS = 64
};

enum route_match
{
  ROUTE_MATCHED,
  ROUTE_NO_PATH,   /* no prefix matches */
  ROUTE_NO_METHOD, /* a prefix matches, but not with this method */
  /* the path is not absolute, or has a dot or empty segment, a NUL or a
     backslash */
  ROUTE_BAD_PATH
};

struct route_entry
{
  struct str prefix; /* owned copy without a trailing slash */
  uint32_t methods;  /* enum route_method bits */
  uint64_t route;    /* id that was passed to route_add */
  uint64_t next;     /* next entry with the same prefix, or 0 */
};

struct route_map
{
  struct table entries;
  GHashTable *by_prefix; /* prefix -> row id of the first entry */
  size_t prefix_max;     /* length of the longest prefix in bytes */
};

/* Types: endpoints */

/* Rules of the least_loaded and even_load policies.  Tests can disable each of them.  */
enum route_rule
{
  ROUTE_RULE_LOAD = 1,          /* choose the less loaded of two endpoints */
  ROUTE_RULE_DOMAIN = 2,        /* prefer the daemon's failure domain */
  ROUTE_RULE_BACKOFF = 4,       /* skip endpoints that failed recently */
  ROUTE_RULE_SLOW_START = 8,    /* send fewer requests to new endpoints */
  ROUTE_RULE_UNRESPONSIVE = 16, /* skip endpoints that stopped responding */
  ROUTE_RULE_SUCCESS = 32,      /* skip endpoints that fail more than others */
  ROUTE_RULE_AGE = 64           /* even_load: interpret reports by their age */
};

struct route_endpoint
{
  uint64_t member;      /* member id of its daemon, unique in the pool */
  uint32_t domain;      /* failure domain */
  int64_t announced_us; /* when its backend server was announced */
  uint32_t outstanding; /* requests sent from this pool without a response */
  /* requests in progress at the endpoint, from the last load report that a
     response carried */
  uint32_t in_flight;
  /* concurrency limit of the endpoint in that report; 0: no report yet */
  uint32_t limit;
  uint32_t success_permille; /* share of its requests that succeed */
  int64_t reported_us;       /* time of that report */
  uint32_t arrivals_per_s;   /* of all daemons, in that report */
  /* share of its capacity that all daemons use, moving average */
  double use;
  int64_t use_updated_us; /* time of the last report in it; 0: none */
  /* service time in that report; 0: none */
  uint32_t service_us;
  uint32_t sent_since_report; /* requests sent from this pool since then */
  /* round trip without the time at the serving daemon, low estimate; 0: not
     measured */
  double distance_us;
  /* time of the last response, or of the first outstanding request if that is
     later */
  int64_t no_response_since_us;
  uint32_t consecutive_failures;
  int64_t backoff_until_us; /* skipped until this time after a failure */
  uint64_t rank; /* rendezvous hash of the endpoint and this daemon */
};

struct route_pool
{
  struct table endpoints;
  GHashTable *by_member; /* member -> row id */
  uint32_t subset_len;
  /* endpoints of the lowest ranks (row ids), ascending */
  uint64_t subset[ROUTE_SUBSET_MAX];
  bool subset_stale;          /* rebuild: endpoints were added or removed */
  uint64_t self;              /* this daemon's member id */
  uint32_t domain;            /* this daemon's failure domain */
  uint32_t round_robin_count; /* choices made by round_robin */
  double mean_response_us;    /* moving average; 0: no response yet */
  GRand *rand;
  uint32_t disabled_rules; /* bits of enum route_rule; 0 outside tests */
};

/* Candidates for one request.  */
struct route_candidates
{
  /* neither in backoff, unresponsive nor failing */
  struct route_endpoint *available[ROUTE_SUBSET_MAX];
  uint32_t available_len;
  /* those of `available` in this daemon's failure domain */
  struct route_endpoint *local[ROUTE_SUBSET_MAX];
  uint32_t local_len;
  /* endpoint whose backoff ends first, or NULL; used only if there is no other
     candidate */
  struct route_endpoint *earliest_retry;
  uint32_t best_success; /* largest success rate of those not in backoff */
  /* used only if those in `available` are busy */
  struct route_endpoint *failing[ROUTE_SUBSET_MAX];
  uint32_t failing_len;
  /* used only if `available` is empty */
  struct route_endpoint *unresponsive[ROUTE_SUBSET_MAX];
  uint32_t unresponsive_len;
};

struct route_ops
{
  struct str name;
  /* Returns the member to send to, or 0 if there is none.  Members in `tried`
     are not chosen again.  */
  uint64_t (*choose) (struct route_pool *p, const uint64_t *tried,
                      uint32_t tried_len, int64_t now_us);
  /* Returns the response time up to which the request should stay at the
     chosen member rather than be refused there, since another endpoint is
     expected to be sooner; 0: it should stay.  May be NULL.  */
  uint32_t (*get_response_max_us) (struct route_pool *p, const uint64_t *tried,
                                   uint32_t tried_len, uint64_t chosen,
                                   int64_t now_us);
};

/* Public functions: matching */

void route_init_map (struct route_map *m);
void route_close_map (struct route_map *m);
/* Adds a route for a path prefix that begins with '/' or a host name.  */
void route_add (struct route_map *m, struct str prefix, uint32_t methods,
                uint64_t route);
/* Finds the route whose prefix is the longest that matches whole segments of
   the percent-decoded path.  The query is ignored.  */
enum route_match route_find (const struct route_map *m, struct str method,
                             struct str path, uint64_t *route);
/* Like route_find, for routes whose prefix begins with a host name.  */
enum route_match route_find_at_host (const struct route_map *m,
                                     struct str method, struct str host,
                                     struct str path, uint64_t *route);
/* Returns the enum route_method bit of a method name, or 0.  */
uint32_t route_parse_method (struct str method);

/* Public functions: endpoints */

/* Returns the policy with a name ("least_loaded", "even_load" or
   "round_robin"), or NULL.  */
const struct route_ops *route_find_ops (struct str name);
void route_init_pool (struct route_pool *p, uint64_t self, uint32_t domain,
                      uint32_t seed);
void route_close_pool (struct route_pool *p);
/* Adds an endpoint, or updates its failure domain and announcement time.  */
void route_set_endpoint (struct route_pool *p, uint64_t member,
                         uint32_t domain, int64_t announced_us);
void route_remove_endpoint (struct route_pool *p, uint64_t member);
/* Records that a request was sent to an endpoint.  */
void route_record_send (struct route_pool *p, uint64_t member, int64_t now_us);
/* Records a response of any status to a request that was sent at sent_us.  If
   limit is 0, the response carries no load report.  */
void route_record_response (struct route_pool *p, uint64_t member,
                            uint32_t in_flight, uint32_t limit,
                            uint32_t success_permille, int64_t sent_us,
                            int64_t now_us);
/* Records that an endpoint refused a request because another one was expected
   to be sooner, with its load report.  */
void route_record_refusal (struct route_pool *p, uint64_t member,
                           uint32_t in_flight, uint32_t limit,
                           uint32_t success_permille, int64_t now_us);
/* Records the rest of the load report of a response, after
   route_record_response or route_record_refusal.  residence_us is the time that the request spent at
   the serving daemon.  */
void route_record_rates (struct route_pool *p, uint64_t member,
                         uint32_t arrivals_per_s, uint32_t service_us,
                         int64_t residence_us, int64_t sent_us,
                         int64_t now_us);
/* Records a failed connect, a broken link or an endpoint that accepts no new
   requests.  */
void route_record_failure (struct route_pool *p, uint64_t member,
                           int64_t now_us);
/* Records that the caller of a request that was sent at sent_us stopped
   waiting.  If the endpoint is unresponsive and has sent no response since
   sent_us, this counts as a failure.  */
void route_record_cancel (struct route_pool *p, uint64_t member,
                          int64_t sent_us, int64_t now_us);

/* Returns true if the member is an endpoint in another failure domain than
   this daemon.  */
bool route_is_crossing (const struct route_pool *p, uint64_t member);

/* Functions for the policies */

/* Sorts the endpoints that may be chosen by the rules that exclude them.  */
struct route_candidates route_collect_candidates (struct route_pool *p,
                                                  const uint64_t *tried,
                                                  uint32_t tried_len,
                                                  int64_t now_us);
/* Returns the endpoint to use if all candidates other than the available ones
   were skipped, or 0: an unresponsive one, or that whose backoff ends first. */
uint64_t route_choose_last_resort (struct route_pool *p,
                                   const struct route_candidates *c);
/* Returns the share of its work that a new endpoint gets, up to 1.  */
double route_get_slow_start_weight (const struct route_pool *p,
                                    const struct route_endpoint *e,
                                    int64_t now_us);
/* Returns true if the last load report is recent enough to be used.  */
bool route_has_recent_report (const struct route_endpoint *e, int64_t now_us);
/* Returns true if a test has disabled the rule.  */
bool route_is_disabled (const struct route_pool *p, enum route_rule rule);

#endif
