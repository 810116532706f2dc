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
/* appends the length prefix and the first bytes of a payload; `more` bytes of
   it follow */
void frame_append_head (struct str_buf *out, struct str payload, size_t more);
/* removes one complete frame from a buffer; `payload` receives a copy, freed
   with str_free */
enum frame_state frame_read (struct evbuffer *in, size_t max_bytes,
                             struct str *payload);

#endif
