/* frame: TCP framing, a 4-byte big-endian length before each message.  */

#ifndef ALMONDVALE_FRAME_H
#define ALMONDVALE_FRAME_H

#include "str.h"

#include <event2/buffer.h>

/* Constants */

#define FRAME_HEADER_BYTES 4u

/* Types */

enum frame_state
{
  FRAME_READY,   /* a complete frame was read */
  FRAME_PARTIAL, /* more bytes are needed */
  FRAME_INVALID  /* the length is 0 or above the limit */
};

/* Public functions */

/* appends the length prefix and the payload */
void frame_append (struct str_buf *out, struct str payload);
/* removes one complete frame from a buffer; `payload` receives a copy, freed
   with str_free */
enum frame_state frame_read (struct evbuffer *in, size_t max_bytes,
                             struct str *payload);

#endif
