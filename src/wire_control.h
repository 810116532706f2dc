/* wire_control: msgpack encoding of the control messages between daemons.

   Messages 20..22 are sent in UDP datagrams, 30..33 in TCP frames.  Decoded
   strings are views into the bytes; arrays belong to the message and are freed
   with wire_control_unload_message.  Datagrams and changes are defined in
   gossip.h, membership entries in member.h.  There, each hash bucket of
   entries has a digest, and a window is a group of MEMBER_WINDOW_BUCKETS
   buckets.  */

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

/* Requests the membership entries in which the sender differs, found by the
   digests of one window of its table, or the full entries of one service.  */
struct wire_sync_members
{
  uint64_t service_hash; /* hash of the service's name; 0 to compare digests */
  uint32_t max_bytes;    /* size limit of the entries in the answer */
  uint32_t window;       /* index of the window, used with digests */
  uint32_t digests[MEMBER_WINDOW_BUCKETS];
};

struct wire_members
{
  uint64_t service_hash; /* copied from the request */
  bool complete;         /* false if entries were left out because of
                            max_bytes */
  uint32_t entries_len;
  struct member_entry *entries;
};

struct wire_pull_changes
{
  uint64_t revision; /* highest revision that the sender has */
};

struct wire_changes
{
  /* false if the answering daemon no longer has the next change; the receiver
     then has to fetch a snapshot of the configuration */
  bool available;
  uint32_t changes_len;
  struct gossip_change *changes;
};

struct wire_control_message
{
  enum wire_control_type type;
  union
  {
    struct gossip_datagram datagram; /* PROBE, ACK and PROBE_REQ */
    struct wire_sync_members sync;
    struct wire_members members;
    struct wire_pull_changes pull;
    struct wire_changes changes;
  } u;
  void *zone; /* msgpack_zone of the decoded objects */
};

/* Public functions */

/* appends the encoding of a UDP message */
void wire_control_append_datagram (struct str_buf *out,
                                   const struct gossip_datagram *d);
/* appends a TCP message as one frame */
void wire_control_append_frame (struct str_buf *out,
                                const struct wire_control_message *m);
/* decodes a datagram, or a frame without its length prefix; false if
   malformed */
bool wire_control_load_message (struct wire_control_message *m,
                                struct str bytes);
/* frees what wire_control_load_message allocated */
void wire_control_unload_message (struct wire_control_message *m);

#endif
