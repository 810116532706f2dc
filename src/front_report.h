/* front_report: reports of the backend server at the front thread.

   A drain or leave takes effect at once.  It is confirmed when the store has
   it, so that it also binds the next process of the daemon.  */

#ifndef ALMONDVALE_FRONT_REPORT_H
#define ALMONDVALE_FRONT_REPORT_H

#include "front.h"

/* Public functions */

/* Applies a report, notifies the serve and control threads of a change, and
   answers the exchange, for a drain or leave when the store has it.  */
void front_report_apply (struct front *f, const struct backend_report *report,
                         struct http_server_exchange *x);
/* Applies a message about the stops that the control thread knows.  */
void front_report_apply_stops (struct front *f,
                               const struct thread_message *message);
/* System: ends the waiting exchanges whose time has passed.  */
void front_report_run (struct front *f, int64_t now_us);

#endif
