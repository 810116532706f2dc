/* success_rate: how much of its work a backend server did lately.

   A faulty backend server answers soon and so never looks busy: choosing by
   load alone sends it more requests than the others.  The serving daemon
   therefore reports the share of requests that succeeded, and entry daemons
   avoid an endpoint whose share is far below that of others.  Used by one
   thread only.  */

#ifndef ALMONDVALE_SUCCESS_RATE_H
#define ALMONDVALE_SUCCESS_RATE_H

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Success rates are integers in units of 1/SUCCESS_RATE_SCALE.  */
#define SUCCESS_RATE_SCALE 1000u

/* Types */

/* Decaying counts.  */
struct success_rate
{
  double requests;
  double failures;
  int64_t decayed_us; /* time up to which the counts have decayed */
};

/* Public functions */

/* Records that the backend server ended a request.  */
void success_rate_record (struct success_rate *r, bool failed, int64_t now_us);
/* Returns the share of the requests that succeeded, 0..SUCCESS_RATE_SCALE.  */
uint32_t success_rate_get_permille (const struct success_rate *r,
                                    int64_t now_us);

#endif
