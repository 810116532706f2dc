/* pressure: load shedding at the entry daemon, the daemon that the caller is
   connected to.

   The pressure of a service is the fraction of its calls that has to be
   refused so that the rest fits the capacity of the backend server.  A serving
   daemon computes it from its load.  Responses carry it up the call path, so
   that the entry daemons learn the pressure of every service that a route
   uses, however deep.  They refuse that fraction of the requests that use the
   service, the least important ones first, before anything has run for them.

   Reports also contain the number of calls that one request makes to the
   service, because the fraction is one of calls: refusing a request with ten
   calls relieves the service ten times as much as refusing one with a single
   call.

   The serve thread of a daemon, which sends requests to the backend server,
   has a controller.  Each front, a thread that receives requests from callers
   and nested calls from the backend server, has a shedder.  The responses to
   the nested calls arrive at the fronts; struct pressure_downstream passes the
   reports in them to the serve thread.  */

#ifndef ALMONDVALE_PRESSURE_H
#define ALMONDVALE_PRESSURE_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define PRESSURE_IMPORTANCE_COUNT 10u
/* Largest number of services in the reports of one response.  */
#define PRESSURE_PATH_SERVICES_MAX 16u
#define PRESSURE_NAME_MAX_BYTES 64u
#define PRESSURE_INTERVAL_US 50000
/* Pressures and numbers of calls are sent as integers in units of
   1/PRESSURE_SCALE.  */
#define PRESSURE_SCALE 1000u
/* Largest number of calls by one request in a report, times
   PRESSURE_SCALE.  */
#define PRESSURE_CALLS_MAX (1000u * PRESSURE_SCALE)

/* Types */

/* Pressure of a service in a response.  */
struct pressure_report
{
  struct str service;
  uint32_t permille; /* fraction to refuse, 0..PRESSURE_SCALE */
  uint32_t calls;    /* to the service, by one request to the reporting daemon,
                        times PRESSURE_SCALE */
};

/* Load of the backend server, as measured by the serving daemon.  */
struct pressure_load
{
  uint32_t arrived;   /* requests since the last pressure_run */
  uint32_t limit;     /* requests that may run concurrently */
  uint32_t queued;    /* requests in the admission queue */
  int64_t service_us; /* mean service time of the backend server */
};

struct pressure_controller
{
  double value;         /* pressure, 0..1 */
  double mean_value;    /* moving average that the arrivals follow */
  double arrived;       /* requests in this interval */
  double mean_arrivals; /* average requests per interval */
  int64_t next_us;      /* end of this interval */
};

/* What a front has learned about a service.  */
struct pressure_service
{
  struct str name;     /* owned */
  double value;        /* moving average of the reported pressures, 0..1 */
  int64_t reported_us; /* time of the last report */
  /* Requests that use the service and their calls to it, by importance,
     decaying.  */
  double requests[PRESSURE_IMPORTANCE_COUNT];
  double calls[PRESSURE_IMPORTANCE_COUNT];
  int64_t decayed_us; /* time up to which the counts have decayed */
  uint32_t checked;   /* requests since the owner last reset both counters */
  uint32_t refused;   /* how many of them were refused */
};

/* Services that a route uses, according to the reports.  */
struct pressure_route
{
  struct str name; /* owned */
  uint32_t len;
  uint64_t services[PRESSURE_PATH_SERVICES_MAX]; /* row ids */
  double calls[PRESSURE_PATH_SERVICES_MAX];      /* average per request */
};

struct pressure_shedder
{
  struct table services;
  struct table routes;
  GHashTable *service_by_name;
  GHashTable *route_by_name;
  GRand *rand;
};

/* A service that this VM's backend server calls, as reported in responses.  */
struct pressure_downstream_service
{
  size_t name_len;
  char name[PRESSURE_NAME_MAX_BYTES];
  double value;        /* moving average of the reported pressures, 0..1 */
  int64_t reported_us; /* time of the last report */
  double calls; /* calls to the service, decaying; in a copy: by one request */
};

/* Services that the backend server calls; shared between threads.  */
struct pressure_downstream
{
  GMutex mutex;
  double requests;    /* requests that the backend server ran, decaying */
  int64_t decayed_us; /* time up to which requests and calls have decayed */
  uint32_t len;
  struct pressure_downstream_service services[PRESSURE_PATH_SERVICES_MAX];
};

/* Public functions: serving daemon */

/* System: updates the pressure from the load.  */
void pressure_run (struct pressure_controller *p,
                   const struct pressure_load *load, int64_t now_us);
/* Returns the pressure to report, 0..PRESSURE_SCALE.  */
uint32_t pressure_get_permille (const struct pressure_controller *p);

/* Public functions: front */

void pressure_init_shedder (struct pressure_shedder *s, uint32_t seed);
void pressure_close_shedder (struct pressure_shedder *s);
/* Records the reports in a response to a request on a route.  */
void pressure_record_reports (struct pressure_shedder *s, struct str route,
                              const struct pressure_report *reports,
                              uint32_t len, int64_t now_us);
/* Counts a request and returns true if it is to be refused.  */
bool pressure_shed (struct pressure_shedder *s, struct str route,
                    uint32_t importance, int64_t now_us);

/* Sets the next service after a row id, 0 for the first, and returns its row
   id, or returns 0 if there is none.  */
uint64_t pressure_next_service (const struct pressure_shedder *s, uint64_t id,
                                struct pressure_service **service);
/* Returns the pressure of a service, 0..1, which decays if reports stop.  */
double pressure_get_value (const struct pressure_service *s, int64_t now_us);

/* Public functions: services that the backend server calls; any thread */

void pressure_init_downstream (struct pressure_downstream *d);
void pressure_close_downstream (struct pressure_downstream *d);
/* Records the reports in the response to a nested call.  */
void pressure_record_downstream (struct pressure_downstream *d,
                                 const struct pressure_report *reports,
                                 uint32_t len, int64_t now_us);
/* Records that the backend server has run a request, which may have made
   nested calls.  */
void pressure_record_request (struct pressure_downstream *d, int64_t now_us);
/* Copies the services with a recent report to `out` and returns their number.
   `calls` of a copy is the number of calls by one request.  */
uint32_t pressure_copy_downstream (struct pressure_downstream *d,
                                   struct pressure_downstream_service *out,
                                   uint32_t out_max, int64_t now_us);

#endif
