/* request_check: determines the route, workspace, importance and deadline of a
   request, and rejects it if its key, hop token or size is not accepted or the
   service is overloaded.  */

#ifndef ALMONDVALE_REQUEST_CHECK_H
#define ALMONDVALE_REQUEST_CHECK_H

#include "front.h"

/* Public functions */

/* System: checks the calls in FRONT_ARRIVED.  */
void request_check_run (void *owner, int64_t now_us);

#endif
