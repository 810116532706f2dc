/* dispatch: sends the attempts of calls to serving daemons (daemons beside the
   backend servers) and processes their responses.  Part of the front thread,
   which receives callers' requests; a call is one such request.  */

#ifndef ALMONDVALE_DISPATCH_H
#define ALMONDVALE_DISPATCH_H

#include "front.h"

/* Public functions */

/* Initializes empty tables of peers and services.  */
void dispatch_init (struct front *f, GRand *rand);
/* Closes the links and frees the tables.  */
void dispatch_close (struct front *f);
/* Replaces the endpoints by those of a new snapshot of configuration and
   members.  */
void dispatch_set_endpoints (struct front *f, const struct snapshot *s);
/* System: starts an attempt for each call in FRONT_TO_DISPATCH, and expires
   queries (requests for the outcome of an attempt whose link broke).  */
void dispatch_run (void *owner, int64_t now_us);
/* Sends a cancellation of the running attempt of a call.  */
void dispatch_cancel (struct front *f, struct front_call *call);
/* Processes a failed attempt: retries the call or ends it with the error.  */
void dispatch_fail_attempt (struct front *f, struct front_call *call,
                            enum err_kind error, int64_t now_us);

#endif
