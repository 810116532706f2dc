/* wire_snapshot: msgpack encoding of the messages by which a daemon gets the
   whole configuration from a peer, in parts.  */

#ifndef ALMONDVALE_WIRE_SNAPSHOT_H
#define ALMONDVALE_WIRE_SNAPSHOT_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define WIRE_SNAPSHOT_PART_BYTES 262144u

/* Types */

enum wire_snapshot_type
{
  WIRE_PULL_SNAPSHOT = 34,
  WIRE_SNAPSHOT = 35
};

struct wire_pull_snapshot
{
  uint64_t revision; /* of the part before; 0 for the first */
  uint64_t offset;   /* bytes */
};

struct wire_snapshot
{
  uint64_t revision;
  uint64_t total_bytes; /* bytes of all parts */
  uint64_t offset;      /* of this part */
  struct str part;      /* a view */
};

/* Public functions */

/* appends a frame */
void wire_snapshot_append_pull (struct str_buf *out,
                                const struct wire_pull_snapshot *m);
/* appends a frame */
void wire_snapshot_append (struct str_buf *out, const struct wire_snapshot *m);
/* decodes a frame without its length; false if malformed */
bool wire_snapshot_load_pull (struct wire_pull_snapshot *m, struct str frame);
/* decodes a frame without its length; the part is a view into it */
bool wire_snapshot_load (struct wire_snapshot *m, struct str frame);

#endif
