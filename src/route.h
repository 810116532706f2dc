/* route: which service a path belongs to, and which of its backend servers
   gets a request.  Owned by one front thread.  */

#ifndef ALMONDVALE_ROUTE_H
#define ALMONDVALE_ROUTE_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

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
  ROUTE_BAD_PATH   /* not absolute, or with dot or empty segments */
};

struct route_entry
{
  struct str prefix; /* owned copy, without a slash at the end */
  uint32_t methods;  /* enum route_method bits */
  uint64_t route;    /* the owner's route id */
  uint64_t next;     /* entry of the same prefix with other methods */
};

struct route_map
{
  struct table entries;
  GHashTable *by_prefix; /* prefix -> row id of the first entry */
  size_t prefix_max;     /* bytes of the longest prefix */
};

/* Types: endpoints */

/* Rules of the least_loaded policy that a test can switch off.  */
enum route_rule
{
  ROUTE_RULE_LOAD = 1,       /* the less loaded of two */
  ROUTE_RULE_DOMAIN = 2,     /* same failure domain preferred */
  ROUTE_RULE_BACKOFF = 4,    /* recent failures are avoided */
  ROUTE_RULE_SLOW_START = 8, /* a new endpoint gets less */
  ROUTE_RULE_UNRESPONSIVE
  = 16 /* one that does not answer any more is avoided */
};

struct route_endpoint
{
  uint64_t member;      /* the owner's member id, unique in the pool */
  uint32_t domain;      /* failure domain */
  int64_t announced_us; /* when its backend server announced itself */
  uint32_t outstanding; /* sent from here, not answered */
  uint32_t in_flight;   /* reported on its last response */
  uint32_t limit;       /* reported on its last response; 0 unknown */
  int64_t reported_us;  /* time of that response */
  int64_t
      unresponsive_since_us; /* when it last answered, or was sent the first of
                             what is outstanding */
  uint32_t consecutive_failures; /* in a row */
  int64_t backoff_until_us;      /* after consecutive_failures */
  uint64_t rank;                 /* rendezvous hash with this daemon */
};

struct route_pool
{
  struct table endpoints;
  GHashTable *by_member; /* member -> row id */
  uint32_t subset_len;
  uint64_t subset[ROUTE_SUBSET_MAX]; /* row ids, by rank */
  bool subset_stale;                 /* endpoints were added or removed */
  uint64_t self;                     /* this daemon's member id */
  uint32_t domain;                   /* this daemon's failure domain */
  uint32_t round_robin_count;        /* of round_robin */
  double mean_response_us;           /* mean time of an answer, 0: unknown */
  GRand *rand;
  uint32_t disabled_rules; /* enum route_rule bits; 0 outside of tests */
};

struct route_ops
{
  struct str name;
  /* member to send to, or 0; `tried` are members not to choose again */
  uint64_t (*choose) (struct route_pool *p, const uint64_t *tried,
                      uint32_t tried_len, int64_t now_us);
};

/* Public functions: matching */

void route_init_map (struct route_map *m);
void route_close_map (struct route_map *m);
/* adds a prefix that begins with '/' */
void route_add (struct route_map *m, struct str prefix, uint32_t methods,
                uint64_t route);
/* longest prefix that ends at a segment border of the percent-decoded path;
   the query is ignored */
enum route_match route_find (const struct route_map *m, struct str method,
                             struct str path, uint64_t *route);
/* the same for prefixes that begin with a host name */
enum route_match route_find_at_host (const struct route_map *m,
                                     struct str method, struct str host,
                                     struct str path, uint64_t *route);
/* bit of a method name, or 0 */
uint32_t route_parse_method (struct str method);

/* Public functions: endpoints */

/* policy of a name ("least_loaded", "round_robin"), or NULL */
const struct route_ops *route_find_ops (struct str name);
void route_init_pool (struct route_pool *p, uint64_t self, uint32_t domain,
                      uint32_t seed);
void route_close_pool (struct route_pool *p);
/* adds an endpoint or updates its domain and announcement */
void route_set_endpoint (struct route_pool *p, uint64_t member,
                         uint32_t domain, int64_t announced_us);
void route_remove_endpoint (struct route_pool *p, uint64_t member);
/* a request was sent to it */
void route_record_send (struct route_pool *p, uint64_t member, int64_t now_us);
/* it answered what was sent at sent_us, whatever the status; limit 0: nothing
   reported */
void route_record_response (struct route_pool *p, uint64_t member,
                            uint32_t in_flight, uint32_t limit,
                            int64_t sent_us, int64_t now_us);
/* no answer: connect failure, broken link, or no capacity */
void route_record_failure (struct route_pool *p, uint64_t member,
                           int64_t now_us);
/* a request sent at sent_us was given up; without any answer since then the
   endpoint counts as failed */
void route_record_cancel (struct route_pool *p, uint64_t member,
                          int64_t sent_us, int64_t now_us);

#endif
