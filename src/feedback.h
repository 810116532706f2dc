/* feedback: thresholds of services, learned from responses.

   A response names the services on its call path with their thresholds.  A
   route's level is the maximum over the services that its responses named, so
   that the first daemon rejects what a deep service would reject.  A small
   fraction passes as probes, and levels that are not renewed fall.  Owned by
   one thread.  */

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

/* Rules that a test can switch off.  */
enum feedback_rule
{
  FEEDBACK_RULE_EXPIRY = 1,  /* levels fall when not renewed */
  FEEDBACK_RULE_PROBE = 2,   /* a fraction passes */
  FEEDBACK_RULE_THROTTLE = 4 /* send what is accepted, and some more */
};

enum feedback_decision
{
  FEEDBACK_PASS,
  FEEDBACK_PROBE, /* below the threshold, but let through */
  FEEDBACK_REJECT /* overloaded, not run */
};

struct feedback_settings
{
  int64_t expiry_us;     /* a level not renewed for so long falls by one */
  double probe_fraction; /* of the requests below the threshold */
  uint32_t routes_max;   /* rows */
  uint32_t seed;
  uint32_t rules_off; /* enum feedback_rule bits; 0 outside of tests */
};

struct feedback_service
{
  struct str name;
  double level; /* moving average of the levels reported */
  int64_t reported_us;
};

struct feedback_route
{
  struct str name;
  uint32_t path_len;
  uint64_t path[WIRE_THRESHOLDS_MAX]; /* ids of service rows */
  int64_t used_us;
};

/* Requests of one workspace on one route, by importance.  The counts decay.  */
struct feedback_flow
{
  uint64_t key;                               /* hash of the names */
  double requests[FEEDBACK_IMPORTANCE_COUNT]; /* answered or held back */
  double accepts[FEEDBACK_IMPORTANCE_COUNT];  /* not rejected as overloaded */
  int64_t decayed_us; /* time the counts were decayed to */
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
/* a response of a request on `route` has arrived */
void feedback_record_response (struct feedback *f, struct str route,
                               const struct wire_threshold *thresholds,
                               uint32_t len, int64_t now_us);
/* level of a route: maximum over its call path */
uint32_t feedback_get_level (struct feedback *f, struct str route,
                             int64_t now_us);
/* whether a request may be sent */
enum feedback_decision feedback_check (struct feedback *f, struct str route,
                                       uint32_t importance, int64_t now_us);
/* whether a request that feedback_check lets pass is held back, because too few
   of its kind were accepted lately */
bool feedback_throttle (struct feedback *f, struct str route,
                        struct str workspace, uint32_t importance,
                        int64_t now_us);
/* a request that was sent has ended; accepted: not rejected as overloaded */
void feedback_record_outcome (struct feedback *f, struct str route,
                              struct str workspace, uint32_t importance,
                              bool accepted, int64_t now_us);
/* system: removes routes and services without traffic */
void feedback_expire (struct feedback *f, int64_t now_us);

#endif
