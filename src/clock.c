/* clock: the daemon's only source of time.  */

#include "clock.h"

#include <time.h>

/* Internal functions */

static int64_t
read_us (clockid_t id)
{
  struct timespec t;

  clock_gettime (id, &t);
  return (int64_t)t.tv_sec * CLOCK_US_PER_S + t.tv_nsec / 1000;
}

/* Public functions */

int64_t
clock_now_us (void)
{
  return read_us (CLOCK_BOOTTIME);
}

int64_t
clock_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / CLOCK_US_PER_MS;
}
