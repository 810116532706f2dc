/* feedback: early rejection by the admission thresholds of services.

   The threshold of a service is the lowest importance that its admission queue
   accepts.  A response contains the thresholds of the services on its call
   path.  The level of a service is a moving average of these thresholds.  The
   level of a route is the maximum over the services that its responses named,
   so that the entry daemon, to which the caller is connected, rejects requests
   that a deep service would reject.  A small fraction of them is sent as
   probes, and levels fall if they are not reported again.  A struct feedback
   is used by one thread only.  */

#ifndef ALMONDVALE_FEEDBACK_H
#define ALMONDVALE_FEEDBACK_H

#include "str.h"
#include "table.h"
#include "wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define FEEDBACK_IMPORTANCE_COUNT 10u

/* Types */

/* Rules that a test can disable, to show that it detects the fault which the
   rule prevents.  */
enum feedback_rule
{
  FEEDBACK_RULE_EXPIRY = 1,  /* lower levels that are not reported again */
  FEEDBACK_RULE_PROBE = 2,   /* send a fraction of the requests as probes */
  FEEDBACK_RULE_THROTTLE = 4 /* send at most a multiple of those accepted */
};

enum feedback_decision
{
  FEEDBACK_PASS,
  FEEDBACK_PROBE, /* below the level, but sent */
  FEEDBACK_REJECT /* reject as overloaded */
};

struct feedback_settings
{
  int64_t expiry_us; /* a level without reports falls by one in this time */
  double probe_fraction; /* of the requests below the level, sent as probes */
  uint32_t rows_max;     /* rows per table */
  uint32_t seed;
  uint32_t disabled_rules; /* bits of enum feedback_rule; 0 outside tests */
};

struct feedback_service
{
  struct str name;
  double level;        /* moving average of the reported thresholds */
  int64_t reported_us; /* time of the last report */
};

struct feedback_route
{
  struct str name;
  uint32_t path_len;
  uint64_t path[WIRE_THRESHOLDS_MAX]; /* ids of service rows */
  int64_t used_us;                    /* time of the last response */
};

/* Counts of requests of one workspace on one route, by importance,
   decaying.  */
struct feedback_flow
{
  uint64_t key; /* hash of the names of route and workspace */
  double requests[FEEDBACK_IMPORTANCE_COUNT]; /* ended or throttled */
  double accepts[FEEDBACK_IMPORTANCE_COUNT];  /* not rejected as overloaded */
  int64_t decayed_us; /* time up to which the counts have decayed */
};

struct feedback
{
  struct feedback_settings settings;
  struct table services;
  struct table routes;
  struct table flows;
  GHashTable *flow_by_key;
  GHashTable *service_by_name;
  GHashTable *route_by_name;
  GRand *rand;
};

/* Public functions */

struct feedback_settings feedback_get_defaults (void);
void feedback_init (struct feedback *f, const struct feedback_settings *s);
void feedback_close (struct feedback *f);
/* Records the thresholds in a response to a request on `route`.  */
void feedback_record_response (struct feedback *f, struct str route,
                               const struct wire_threshold *thresholds,
                               uint32_t len, int64_t now_us);
/* Returns the level of a route: the maximum over its call path.  */
uint32_t feedback_get_level (struct feedback *f, struct str route,
                             int64_t now_us);
/* Decides by the level of the route whether a request is sent.  */
enum feedback_decision feedback_check (struct feedback *f, struct str route,
                                       uint32_t importance, int64_t now_us);
/* Returns true if a request that feedback_check allows is to be rejected,
   because too few requests of its workspace on its route were accepted
   recently.  */
bool feedback_throttle (struct feedback *f, struct str route,
                        struct str workspace, uint32_t importance,
                        int64_t now_us);
/* Records that a sent request has ended; `accepted` is false if it was
   rejected as overloaded.  */
void feedback_record_outcome (struct feedback *f, struct str route,
                              struct str workspace, uint32_t importance,
                              bool accepted, int64_t now_us);
/* System: removes routes, services and flows without traffic.  */
void feedback_expire (struct feedback *f, int64_t now_us);

#endif
