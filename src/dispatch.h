/* dispatch: sends attempts to serving daemons and takes their responses.  */

#ifndef ALMONDVALE_DISPATCH_H
#define ALMONDVALE_DISPATCH_H

#include "front.h"

/* Public functions */

/* empty tables of peers and services */
void dispatch_init (struct front *f, GRand *rand);
/* closes links and frees the tables */
void dispatch_close (struct front *f);
/* takes over the endpoints of a new snapshot */
void dispatch_set_endpoints (struct front *f, const struct snapshot *s);
/* system: sends the calls that wait for an attempt */
void dispatch_run (void *owner, int64_t now_us);
/* ends the attempt of a call that is given up */
void dispatch_cancel (struct front *f, struct front_call *call);
/* an attempt has failed: another one, or the end of the call */
void dispatch_fail_attempt (struct front *f, struct front_call *call,
                            enum err_kind error, int64_t now_us);

#endif
