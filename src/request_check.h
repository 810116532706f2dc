/* request_check: decides what a request is and whether it may go on: route,
   key or hop token, workspace, importance, deadline.  */

#ifndef ALMONDVALE_REQUEST_CHECK_H
#define ALMONDVALE_REQUEST_CHECK_H

#include "front.h"

/* Public functions */

/* system: serves the calls that have arrived */
void request_check_run (void *owner, int64_t now_us);

#endif
