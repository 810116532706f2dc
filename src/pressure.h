/* pressure: how much of the requests has to be refused at the first daemon.

   A serving daemon measures by how much the requests for its backend server
   exceed what it can run, as a fraction: its pressure.  Responses carry it up the
   call path, so that the first daemons learn the pressure of every service that a
   route uses, however deep.  They refuse that fraction of the requests that use
   the service, the least important ones first, before anything has run for them.

   Reports also say how many calls of the service one request makes, so that the
   fraction is one of calls: refusing a request with ten calls relieves the service
   ten times as much as refusing one with a single call.

   The controller is the serving daemon's, the shedder a front's; the board passes
   what nested calls have learned from a front to the serve thread.  */

#ifndef ALMONDVALE_PRESSURE_H
#define ALMONDVALE_PRESSURE_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define PRESSURE_IMPORTANCE_COUNT 10u
#define PRESSURE_PATH_SERVICES_MAX 16u
#define PRESSURE_NAME_MAX_BYTES 64u
#define PRESSURE_INTERVAL_US 50000
/* Unit of a pressure and of a number of calls on the wire: one thousandth.  */
#define PRESSURE_SCALE 1000u
/* Largest number of calls of one request in a report, in PRESSURE_SCALE.  */
#define PRESSURE_CALLS_MAX (1000u * PRESSURE_SCALE)

/* Types */

/* Pressure of a service as a response carries it.  */
struct pressure_report
{
  struct str service;
  uint32_t permille; /* fraction to refuse, 0..PRESSURE_SCALE */
  uint32_t calls;    /* of the service by one request to the reporting daemon,
                        times PRESSURE_SCALE */
};

/* What the serving daemon sees at the end of an interval.  */
struct pressure_load
{
  uint32_t arrived;   /* requests since the last call */
  uint32_t limit;     /* that may run at once */
  uint32_t queued;    /* requests that wait */
  int64_t service_us; /* mean time of one at the backend server */
};

struct pressure_controller
{
  double value;         /* 0..1 */
  double arrived;       /* requests in this interval */
  double mean_arrivals; /* average requests of an interval */
  int64_t next_us;
};

/* A service as a front knows it.  */
struct pressure_service
{
  struct str name; /* owned */
  double value;    /* moving average of the reports */
  int64_t reported_us;
  /* requests that use the service and their calls, by importance, decaying */
  double requests[PRESSURE_IMPORTANCE_COUNT];
  double calls[PRESSURE_IMPORTANCE_COUNT];
  int64_t decayed_us;
  uint32_t checked; /* requests since the owner last cleared both */
  uint32_t refused; /* of those, for this service or another of their route */
};

/* Services that a route was seen to use.  */
struct pressure_route
{
  struct str name; /* owned */
  uint32_t len;
  uint64_t services[PRESSURE_PATH_SERVICES_MAX]; /* row ids */
  double calls[PRESSURE_PATH_SERVICES_MAX];      /* of each by one request */
};

struct pressure_shedder
{
  struct table services;
  struct table routes;
  GHashTable *service_by_name;
  GHashTable *route_by_name;
  GRand *rand;
};

/* What nested calls of this VM's backend server have learned.  */
struct pressure_downstream_service
{
  size_t name_len;
  char name[PRESSURE_NAME_MAX_BYTES];
  double value;
  int64_t reported_us;
  double calls; /* decaying; in a copy: by one run of the backend server */
};

struct pressure_downstream
{
  GMutex mutex;
  double runs; /* of the backend server, decaying */
  int64_t decayed_us;
  uint32_t len;
  struct pressure_downstream_service services[PRESSURE_PATH_SERVICES_MAX];
};

/* Public functions: serving daemon */

/* system: follows the load */
void pressure_run (struct pressure_controller *p,
                   const struct pressure_load *load, int64_t now_us);
/* pressure to report */
uint32_t pressure_get_permille (const struct pressure_controller *p);

/* Public functions: front */

void pressure_init_shedder (struct pressure_shedder *s, uint32_t seed);
void pressure_close_shedder (struct pressure_shedder *s);
/* a response of a request on a route names the services below */
void pressure_record_reports (struct pressure_shedder *s, struct str route,
                              const struct pressure_report *reports,
                              uint32_t len, int64_t now_us);
/* counts a request and decides whether it is refused */
bool pressure_shed (struct pressure_shedder *s, struct str route,
                    uint32_t importance, int64_t now_us);

/* row id of the next service after a row id, or 0; begins at 0 */
uint64_t pressure_next_service (const struct pressure_shedder *s, uint64_t id,
                                struct pressure_service **service);
/* pressure of a service as it counts now, 0..1 */
double pressure_get_value (const struct pressure_service *s, int64_t now_us);

/* Public functions: board; any thread */

void pressure_init_downstream (struct pressure_downstream *b);
void pressure_close_downstream (struct pressure_downstream *b);
/* a nested call has learned the pressures of services */
void pressure_record_downstream (struct pressure_downstream *b,
                                 const struct pressure_report *reports,
                                 uint32_t len, int64_t now_us);
/* a run of the backend server, which may have made nested calls, has ended */
void pressure_record_run (struct pressure_downstream *b, int64_t now_us);
/* copies what is known and not too old; gives the number */
uint32_t pressure_copy_downstream (struct pressure_downstream *b,
                                   struct pressure_downstream_service *out,
                                   uint32_t out_max, int64_t now_us);

#endif
