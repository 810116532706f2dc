/* frame: TCP framing, a 4-byte big-endian length before each message.  */

#include "frame.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

/* Public functions */

void
frame_append (struct str_buf *out, struct str payload)
{
  uint32_t length = htonl ((uint32_t)payload.len);

  str_append (out, (struct str){ sizeof length, (const char *)&length });
  str_append (out, payload);
}

void
frame_append_head (struct str_buf *out, struct str payload, size_t more)
{
  uint32_t length = htonl ((uint32_t)(payload.len + more));

  str_append (out, (struct str){ sizeof length, (const char *)&length });
  str_append (out, payload);
}

/**
 * frame_read - removes one complete frame from a receive buffer
 * @in: received bytes
 * @max_bytes: largest payload allowed
 * @payload: receives a copy of the payload; free with str_free
 *
 * Return: %FRAME_READY if @payload was set; %FRAME_PARTIAL or %FRAME_INVALID
 * otherwise, with nothing removed.
 */
enum frame_state
frame_read (struct evbuffer *in, size_t max_bytes, struct str *payload)
{
  uint32_t length;
  char *data;

  if (evbuffer_copyout (in, &length, sizeof length)
      < (ev_ssize_t)sizeof length)
    return FRAME_PARTIAL;
  length = ntohl (length);
  if (length == 0 || length > max_bytes)
    return FRAME_INVALID;
  if (evbuffer_get_length (in) < FRAME_HEADER_BYTES + (size_t)length)
    return FRAME_PARTIAL;
  evbuffer_drain (in, FRAME_HEADER_BYTES);
  data = g_malloc ((size_t)length + 1);
  evbuffer_remove (in, data, length);
  data[length] = '\0';
  *payload = (struct str){ length, data };
  return FRAME_READY;
}
