/* service_time: low estimate of the service time of each route.

   The estimate is about the 10th percentile of the service times at the
   backend server.  Routes of one service differ by orders of magnitude, so the
   mean over all of them does not describe any one.  Used by one thread
   only.  */

#ifndef ALMONDVALE_SERVICE_TIME_H
#define ALMONDVALE_SERVICE_TIME_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdint.h>

/* Constants */

#define SERVICE_TIME_ROUTES_MAX 10000u

/* Types */

struct service_time_route
{
  struct str name; /* owned */
  double p10_us;   /* about the 10th percentile of the service times */
};

struct service_time
{
  struct table routes;
  GHashTable *by_name;
};

/* Public functions */

void service_time_init (struct service_time *t);
void service_time_close (struct service_time *t);
/* Records that a request of the route was answered after service_us.  */
void service_time_record (struct service_time *t, struct str route,
                          int64_t service_us);
/* Returns the estimated service time of a route, or 1 if none is known.  */
int64_t service_time_get_us (const struct service_time *t, struct str route);

#endif
