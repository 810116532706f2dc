/* wire_snapshot: msgpack encoding of the messages with which a daemon fetches
   a snapshot, the complete configuration at one revision, from a peer in
   parts.  */

#ifndef ALMONDVALE_WIRE_SNAPSHOT_H
#define ALMONDVALE_WIRE_SNAPSHOT_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Size of each part except the last.  */
#define WIRE_SNAPSHOT_PART_BYTES 262144u

/* Types */

enum wire_snapshot_type
{
  WIRE_PULL_SNAPSHOT = 34,
  WIRE_SNAPSHOT = 35
};

struct wire_pull_snapshot
{
  uint64_t revision; /* revision of the parts received so far; 0 to request the
                        first part */
  uint64_t offset;   /* bytes received so far */
};

struct wire_snapshot
{
  uint64_t revision;    /* revision of the configuration */
  uint64_t total_bytes; /* size of all parts */
  uint64_t offset;      /* position of this part, in bytes */
  struct str part;      /* a view into the frame */
};

/* Public functions */

/* appends a request for a part as one frame */
void wire_snapshot_append_pull (struct str_buf *out,
                                const struct wire_pull_snapshot *m);
/* appends a part as one frame */
void wire_snapshot_append (struct str_buf *out, const struct wire_snapshot *m);
/* decodes the frame of a request without its length prefix; false if
   malformed */
bool wire_snapshot_load_pull (struct wire_pull_snapshot *m, struct str frame);
/* decodes the frame of a part without its length prefix; false if malformed */
bool wire_snapshot_load (struct wire_snapshot *m, struct str frame);

#endif
