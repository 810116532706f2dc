/* wire_check: checks the sizes in msgpack bytes before they are decoded.

   msgpack-c allocates an array for the length that the bytes claim, so five
   bytes can ask for 64 GiB.  */

#ifndef ALMONDVALE_WIRE_CHECK_H
#define ALMONDVALE_WIRE_CHECK_H

#include "str.h"

#include <stdbool.h>

/* Constants */

#define WIRE_CHECK_DEPTH_MAX 8u

/* Public functions */

/* true if the bytes are exactly one msgpack object whose claimed sizes fit */
bool wire_check_msgpack (struct str bytes);

#endif
