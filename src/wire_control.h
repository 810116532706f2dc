/* wire_control: msgpack encoding of the control messages between daemons.

   Messages 20..22 travel in UDP datagrams, 30..33 in TCP frames.  Decoded
   strings are views into the bytes; arrays belong to the message and are freed
   with wire_control_unload_message.  */

#ifndef ALMONDVALE_WIRE_CONTROL_H
#define ALMONDVALE_WIRE_CONTROL_H

#include "gossip.h"

/* Types */

enum wire_control_type
{
  WIRE_PROBE = 20,
  WIRE_ACK = 21,
  WIRE_PROBE_REQ = 22,
  WIRE_SYNC_MEMBERS = 30,
  WIRE_MEMBERS = 31,
  WIRE_PULL_CHANGES = 32,
  WIRE_CHANGES = 33
};

/* Asks for the entries that the sender lacks, or for one service.  */
struct wire_sync_members
{
  uint64_t service_hash; /* 0: compare the digests */
  uint32_t max_bytes;
  uint32_t window; /* which part of the digests follows */
  uint32_t digests[MEMBER_WINDOW];
};

struct wire_members
{
  uint64_t service_hash; /* as asked */
  bool complete;         /* nothing was left out */
  uint32_t entries_len;
  struct member_entry *entries;
};

struct wire_pull_changes
{
  uint64_t revision; /* highest that the sender holds */
};

struct wire_changes
{
  bool
      available; /* false: load a snapshot, the next change is not available */
  uint32_t changes_len;
  struct gossip_change *changes;
};

struct wire_control_message
{
  enum wire_control_type type;
  union
  {
    struct gossip_datagram datagram; /* of all three UDP messages */
    struct wire_sync_members sync;
    struct wire_members members;
    struct wire_pull_changes pull;
    struct wire_changes changes;
  } u;
  void *zone; /* memory of the decoder */
};

/* Public functions */

/* appends the bytes of a UDP message */
void wire_control_append_datagram (struct str_buf *out,
                                   const struct gossip_datagram *d);
/* appends the frame of a TCP message */
void wire_control_append_frame (struct str_buf *out,
                                const struct wire_control_message *m);
/* decodes a datagram, or a frame without its length; false if malformed */
bool wire_control_load_message (struct wire_control_message *m,
                                struct str bytes);
/* frees what wire_control_load_message allocated */
void wire_control_unload_message (struct wire_control_message *m);

#endif
