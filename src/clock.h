/* clock: the daemon's only source of time.  The clock continues during
   suspend, so that a lease that expired while the VM was paused is not
   considered valid.  */

#ifndef ALMONDVALE_CLOCK_H
#define ALMONDVALE_CLOCK_H

#include <stdint.h>

/* Constants */

#define CLOCK_US_PER_MS 1000
#define CLOCK_US_PER_S 1000000

/* Public functions */

/* Returns the time of CLOCK_BOOTTIME in microseconds.  */
int64_t clock_now_us (void);
/* Returns the wall-clock time in milliseconds since 1970.  Use it only for
   logs, spans and the times of idempotency keys.  */
int64_t clock_wall_ms (void);

#endif
