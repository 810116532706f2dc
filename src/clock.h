/* clock: the daemon's only source of time.  Runs during suspend, so that a
   lease is not found valid after the VM was paused.  */

#ifndef ALMONDVALE_CLOCK_H
#define ALMONDVALE_CLOCK_H

#include <stdint.h>

/* Constants */

#define CLOCK_US_PER_MS 1000
#define CLOCK_US_PER_S 1000000

/* Public functions */

/* microseconds on CLOCK_BOOTTIME */
int64_t clock_now_us (void);
/* wall-clock milliseconds since 1970, for logs, spans and key times only */
int64_t clock_wall_ms (void);

#endif
