/* route_even: the policy even_load of struct route_ops.

   It compares the expected response times of endpoints that are drawn in
   proportion to their measured capacity.  The load report of an endpoint is
   interpreted by its age.  The request carries the response time that another
   endpoint would offer, so that a serving daemon without a free slot can
   refuse it before its backend server gets it.

   The module handles many daemons that choose at the same moment by reports
   that are up to 500 ms old, while endpoints change their speed by a factor of
   three within 0.6 s.  */

#ifndef ALMONDVALE_ROUTE_EVEN_H
#define ALMONDVALE_ROUTE_EVEN_H

#include "route.h"

/* Types */

/* What a daemon believes of an endpoint.  */
struct route_even_belief
{
  double in_flight;  /* requests running or queued there now, as expected */
  double deviation;  /* standard deviation of that number */
  double limit;      /* concurrency limit, reduced by the slow start */
  double service_us; /* service time */
  double capacity_per_s; /* requests that it completes in a second when full */
  double wait_us;        /* expected wait of the next request */
  double response_us;    /* expected response time, with the distance */
};

/* Public functions */

/* Returns the member to send to, or 0 if there is none (see struct
   route_ops).  */
uint64_t route_even_choose (struct route_pool *p, const uint64_t *tried,
                            uint32_t tried_len, int64_t now_us);
/* Returns the response time that the best other endpoint is expected to offer,
   with what another attempt costs; 0: none offers a short wait.  */
uint32_t route_even_get_response_max_us (struct route_pool *p,
                                         const uint64_t *tried,
                                         uint32_t tried_len, uint64_t chosen,
                                         int64_t now_us);
/* Computes what the pool believes of an endpoint.  */
struct route_even_belief route_even_get_belief (const struct route_pool *p,
                                                const struct route_endpoint *e,
                                                int64_t now_us);

#endif
