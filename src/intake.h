/* intake: decides what a request is and whether it may go on: route, key or
   hop token, workspace, importance, deadline.  */

#ifndef ALMONDVALE_INTAKE_H
#define ALMONDVALE_INTAKE_H

#include "front.h"

/* Public functions */

/* system: serves the calls that have arrived */
void intake_run (void *owner, int64_t now_us);

#endif
