/* success_rate: how much of its work a backend server did lately.  */

#include "success_rate.h"

#include <math.h>

/* Constants */

/* The counts decay to a third in this time.  */
#define DECAY_US 1000000.0
/* Successful requests that are added to the counts, so that a few failures
   after a pause do not make a low rate.  */
#define ASSUMED_SUCCESSES 4.0

/* Internal functions */

static double
get_decay (const struct success_rate *r, int64_t now_us)
{
  return exp (-(double)(now_us - r->decayed_us) / DECAY_US);
}

/* Public functions */

void
success_rate_record (struct success_rate *r, bool failed, int64_t now_us)
{
  double decay = get_decay (r, now_us);

  r->requests = r->requests * decay + 1;
  r->failures = r->failures * decay + failed;
  r->decayed_us = now_us;
}

uint32_t
success_rate_get_permille (const struct success_rate *r, int64_t now_us)
{
  double decay = get_decay (r, now_us);
  double requests = r->requests * decay + ASSUMED_SUCCESSES;

  return (uint32_t)(SUCCESS_RATE_SCALE * (1 - r->failures * decay / requests));
}
