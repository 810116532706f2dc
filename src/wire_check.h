/* wire_check: checks the sizes claimed in msgpack bytes before decoding.

   msgpack-c allocates an array of the length that the bytes claim, so a
   message of five bytes can cause an allocation of 64 GiB.  */

#ifndef ALMONDVALE_WIRE_CHECK_H
#define ALMONDVALE_WIRE_CHECK_H

#include "str.h"

#include <stdbool.h>

/* Constants */

/* Levels of nested arrays and maps.  */
#define WIRE_CHECK_DEPTH_MAX 8u

/* Public functions */

/* returns true if the bytes are exactly one msgpack object and no size in it
   exceeds the bytes present */
bool wire_check_msgpack (struct str bytes);

#endif
