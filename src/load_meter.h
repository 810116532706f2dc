/* load_meter: arrival rate and service time of a backend server over the last
   few hundred ms, as its load reports carry them.

   The service time is the slot time in use divided by the completions, so it
   rises as soon as a backend server that became slow completes less, before
   the first slow request has ended.  The meter handles a server whose speed
   changes by a factor of three within 0.6 s.  Used by one thread only.  */

#ifndef ALMONDVALE_LOAD_METER_H
#define ALMONDVALE_LOAD_METER_H

#include <stdbool.h>
#include <stdint.h>

/* Types */

/* Sums that decay with LOAD_METER_DECAY_US (load_meter.c).  */
struct load_meter
{
  double arrivals;
  double completions;
  double slot_us; /* time in which requests occupied a slot, added up */
  double mean_us; /* slow moving average of the service time; 0: none yet */
  uint32_t running;
  int64_t updated_us; /* time up to which the sums have decayed */
};

/* Public functions */

/* Records that a request arrived, whether or not it was admitted.  */
void load_meter_record_arrival (struct load_meter *m, int64_t now_us);
/* Records that a request occupies a slot from now on.  */
void load_meter_record_start (struct load_meter *m, int64_t now_us);
/* Records that a request that ran for service_us released its slot.  A failed
   one counts as time in use, not as a completion, so that a backend server
   that fails at once does not look quick.  */
void load_meter_record_end (struct load_meter *m, int64_t service_us,
                            bool failed, int64_t now_us);
/* Returns the arrivals in a second.  */
uint32_t load_meter_get_arrivals_per_s (struct load_meter *m, int64_t now_us);
/* Returns the service time, or 0 if no request has ended yet.  */
uint32_t load_meter_get_service_us (struct load_meter *m, int64_t now_us);
/* Returns the expected wait of a request that arrives while in_flight requests
   run or are queued at `limit` slots.  */
double load_meter_get_wait_us (struct load_meter *m, uint32_t in_flight,
                               uint32_t limit, int64_t now_us);
/* Returns true if such a request has to wait and its response is expected
   after more than response_max_us.  0: no bound.  */
bool load_meter_is_later_than (struct load_meter *m, uint32_t in_flight,
                               uint32_t limit, uint32_t response_max_us,
                               int64_t now_us);

#endif
