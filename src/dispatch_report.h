/* dispatch_report: shows what a front believes of the endpoints that it chooses
   from, in the log and at the local port.  */

#ifndef ALMONDVALE_DISPATCH_REPORT_H
#define ALMONDVALE_DISPATCH_REPORT_H

#include "front.h"

#include <stdint.h>

/* Public functions */

/* Logs what this front believes of one endpoint of each service.  */
void dispatch_report_log (struct front *f, int64_t now_us);
/* Appends a JSON object: what this front believes of the endpoints of each
   service, and the chance of each to get the next request.  */
void dispatch_report_append (struct front *f, struct str_buf *out,
                             int64_t now_us);

#endif
