/* load_meter: arrival rate and service time of a backend server.  */

#include "load_meter.h"

#include <glib.h>
#include <math.h>

/* Constants */

/* The sums decay to a third in this time: a quarter of the 0.6 s for which
   backend servers were seen to be slow.  */
#define LOAD_METER_DECAY_US 150000.0
/* Completions of the slow average that are added to the sums, so that the
   estimate is defined while nothing completes.  */
#define ASSUMED_COMPLETIONS 1.0
/* Weight of one request in the slow average.  */
#define MEAN_GAIN 0.02

/* Internal functions */

static void
update (struct load_meter *m, int64_t now_us)
{
  double decay;

  if (now_us <= m->updated_us)
    return;
  decay = exp (-(double)(now_us - m->updated_us) / LOAD_METER_DECAY_US);
  m->arrivals *= decay;
  m->completions *= decay;
  m->slot_us
      = m->slot_us * decay + m->running * LOAD_METER_DECAY_US * (1 - decay);
  m->updated_us = now_us;
}

/* Public functions */

void
load_meter_record_arrival (struct load_meter *m, int64_t now_us)
{
  update (m, now_us);
  m->arrivals++;
}

void
load_meter_record_start (struct load_meter *m, int64_t now_us)
{
  update (m, now_us);
  m->running++;
}

void
load_meter_record_end (struct load_meter *m, int64_t service_us, bool failed,
                       int64_t now_us)
{
  update (m, now_us);
  if (m->running > 0)
    m->running--;
  if (failed)
    return;
  m->completions++;
  if (m->mean_us == 0)
    m->mean_us = (double)service_us;
  m->mean_us += MEAN_GAIN * ((double)service_us - m->mean_us);
}

uint32_t
load_meter_get_arrivals_per_s (struct load_meter *m, int64_t now_us)
{
  update (m, now_us);
  return (uint32_t)(m->arrivals * G_USEC_PER_SEC / LOAD_METER_DECAY_US + 0.5);
}

uint32_t
load_meter_get_service_us (struct load_meter *m, int64_t now_us)
{
  double service_us;

  update (m, now_us);
  if (m->mean_us == 0)
    return 0;
  service_us = (m->slot_us + ASSUMED_COMPLETIONS * m->mean_us)
               / (m->completions + ASSUMED_COMPLETIONS);
  return (uint32_t)CLAMP (service_us, 1, UINT32_MAX);
}

double
load_meter_get_wait_us (struct load_meter *m, uint32_t in_flight,
                        uint32_t limit, int64_t now_us)
{
  double ahead = (double)in_flight + 1 - limit;

  if (ahead <= 0 || limit == 0)
    return 0;
  return ahead * load_meter_get_service_us (m, now_us) / limit;
}

/**
 * load_meter_is_later_than - compares the expected response time with a bound
 * @m: meter
 * @in_flight: requests that run or are queued
 * @limit: slots
 * @response_max_us: bound; 0: none
 * @now_us: current time
 *
 * A free slot is always good enough: a refusal then costs the caller more than
 * a slow backend server.
 *
 * Return: true if the request has to wait and the bound is exceeded.
 */
bool
load_meter_is_later_than (struct load_meter *m, uint32_t in_flight,
                          uint32_t limit, uint32_t response_max_us,
                          int64_t now_us)
{
  double wait_us = load_meter_get_wait_us (m, in_flight, limit, now_us);

  return response_max_us > 0 && wait_us > 0
         && wait_us + load_meter_get_service_us (m, now_us) > response_max_us;
}
