/* scan: checks the sizes in msgpack bytes before they are decoded.

   msgpack-c allocates an array for the length that the bytes claim, so five
   bytes can ask for 64 GiB.  */

#ifndef ALMONDVALE_SCAN_H
#define ALMONDVALE_SCAN_H

#include "str.h"

#include <stdbool.h>

/* Constants */

#define SCAN_DEPTH_MAX 8u

/* Public functions */

/* true if the bytes are exactly one msgpack object whose claimed sizes fit */
bool scan_check_msgpack (struct str bytes);

#endif
