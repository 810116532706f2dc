/* service_time: how long each route's requests take at the backend server at
   least.

   Routes of one service differ by orders of magnitude, so the mean over all of
   them says little about one.  Owned by one thread.  */

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
  double p10_us;   /* about the tenth part of the requests is quicker */
};

struct service_time
{
  struct table routes;
  GHashTable *by_name;
};

/* Public functions */

void service_time_init (struct service_time *t);
void service_time_close (struct service_time *t);
/* a request of the route was answered after service_us */
void service_time_record (struct service_time *t, struct str route,
                          int64_t service_us);
/* time that a request of the route takes at least; 1 if nothing is known */
int64_t service_time_get_us (const struct service_time *t, struct str route);

#endif
