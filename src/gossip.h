/* gossip: the content of the datagrams between daemons.

   Piggybacks member entries, configuration changes and evidence that the
   configuration is current (see freshness.h) on the probes and answers of
   `member`, within a byte budget.  The table `out` holds the datagrams to
   send; the code that sends them empties it each tick.

   The answer to a probe is held until there is new information for the prober
   or the longest delay that the prober allows is over.  New information is,
   among others, evidence that is younger than the prober's by
   GOSSIP_EVIDENCE_GAIN_MS.  New evidence therefore spreads along all open
   probes within one round trip per hop, although a daemon of a fleet
   without changes exchanges only about one probe a second in each slot.  */

#ifndef ALMONDVALE_GOSSIP_H
#define ALMONDVALE_GOSSIP_H

#include "freshness.h"
#include "member.h"

/* Constants */

#define GOSSIP_DATAGRAM_BYTES 1200u
#define GOSSIP_HEADER_BYTES 64u        /* encoded datagram without lists */
#define GOSSIP_OUTAGE_REPORT_BYTES 24u /* one encoded outage report */
#define GOSSIP_CHANGE_BYTES 12u /* one encoded change without its bytes */
#define GOSSIP_DATAGRAM_ENTRIES_MAX 16u
#define GOSSIP_DATAGRAM_CHANGES_MAX 16u
#define GOSSIP_CHANGES_KEPT 1024u /* to send to peers */
/* Byte budget of member entries: rate in bytes a second, and burst in
   bytes.  */
#define GOSSIP_ENTRY_RATE 300u
#define GOSSIP_ENTRY_BURST 4800u
#define GOSSIP_DELTAS_MAX 4096u
/* A daemon that receives a new revision sends it to this many others.  With 2,
   four fifths of the fleet receive it in this way, at 0.8 KB/s; with 3 all but
   6% would, at 0.4 KB/s more.  The rest receive it with the next answer to a
   probe.  */
#define GOSSIP_FANOUT 2u
#define GOSSIP_EVIDENCE_GAIN_MS 900
/* A daemon whose evidence is older than GOSSIP_STALE_AGE_MS lets its targets
   delay their answers by GOSSIP_STALE_HOLD_MS only.  In a fleet of 22,000
   without changes one daemon in a hundred has evidence older than 1.7 s.  */
#define GOSSIP_STALE_AGE_MS 2000
#define GOSSIP_STALE_HOLD_MS 250
/* A daemon whose evidence is older than GOSSIP_URGENT_AGE_MS sends an urgent
   probe, which is answered without delay, to a member of the failure domain
   with the oldest outage report.  It chooses any member: if only the watchers,
   the daemons that read the platform, were probed, each would receive 460
   probes a second from 22,000 daemons.  The remaining time of the freshness
   bound allows three more probes if answers are lost.  */
#define GOSSIP_URGENT_AGE_MS 2700
#define GOSSIP_URGENT_RETRY_MS 200
/* Changes that datagrams have not brought after this time are pulled over
   TCP.  */
#define GOSSIP_PULL_DELAY_MS 1500
#define GOSSIP_PULL_BYTES 524288u /* limit of an answer to a pull */
#define GOSSIP_HELD_MAX 256u      /* probes whose answer is held at once */

/* Types */

enum gossip_type
{
  GOSSIP_PROBE,
  GOSSIP_ACK,
  GOSSIP_PROBE_REQ
};

struct gossip_change
{
  uint64_t revision;
  struct str bytes; /* object changes/<revision>; not interpreted here */
};

/* A received or sent datagram.  Strings are views.  */
struct gossip_datagram
{
  enum gossip_type type;
  uint64_t to; /* 0: a seed address */
  struct member_address address;
  uint64_t from;
  uint64_t incarnation;
  uint32_t seq;      /* 0 in a PROBE: no answer expected */
  uint32_t hold_ms;  /* PROBE: longest delay; ACK: actual delay */
  uint64_t target;   /* PROBE_REQ: member to probe */
  uint64_t revision; /* the sender has all changes up to it */
  /* Merged from an ACK only; in a PROBE it is the prober's own evidence.  */
  struct freshness_evidence evidence;
  uint32_t entries_len;
  struct member_entry entries[GOSSIP_DATAGRAM_ENTRIES_MAX];
  uint32_t changes_len;
  struct gossip_change changes[GOSSIP_DATAGRAM_CHANGES_MAX];
};

/* A received PROBE whose answer is delayed.  */
struct gossip_held
{
  uint64_t from;
  struct member_address address;
  uint32_t seq;
  /* Row of an entry to add to the answer: the prober has to refute it or does
     not know it; 0: none.  */
  uint64_t entry_row;
  uint64_t revision; /* the answer has changes above it; UINT64_MAX: none */
  int64_t received_us;
  int64_t until_us;                   /* latest time of the answer */
  struct freshness_evidence evidence; /* evidence in the PROBE */
};

/* A member entry that is being gossiped.  */
struct gossip_delta
{
  uint64_t row;
  uint32_t sends; /* datagrams that carried it so far */
};

/* A request for missing changes, sent over TCP.  */
struct gossip_pull
{
  uint64_t to;
  uint64_t revision; /* this daemon has all changes up to it */
};

struct gossip
{
  struct member_table *members;
  struct freshness *fresh;
  struct table out;   /* struct gossip_datagram */
  struct table held;  /* struct gossip_held */
  struct table pulls; /* struct gossip_pull */
  GQueue deltas;      /* struct gossip_delta, least often sent first */
  GHashTable *queued; /* row id -> its link in deltas */
  double entry_bytes; /* bytes of member entries that may be sent now */
  int64_t refilled_us;
  struct gossip_change *changes; /* ring, by revision % GOSSIP_CHANGES_KEPT */
  uint64_t revision;             /* this daemon has all changes up to it */
  uint64_t sent_revision;      /* highest that was sent or need not be sent */
  uint64_t peer_revision;      /* highest revision of any peer */
  uint64_t peer_revision_from; /* member id of that peer */
  int64_t next_pull_us;        /* valid while peer_revision > revision */
  int64_t next_urgent_us;      /* earliest time of the next urgent probe */
};

/* Public functions */

/* initializes an empty state; `members` and `fresh` must outlive it */
void gossip_init (struct gossip *g, struct member_table *members,
                  struct freshness *fresh, int64_t now_us);
/* frees the tables and changes */
void gossip_close (struct gossip *g);
/* records that all changes up to a revision are in effect here, after a
   snapshot or a pull; ignores a lower revision */
void gossip_set_revision (struct gossip *g, uint64_t revision);
/* adds a change; ignores one that is known */
void gossip_add_change (struct gossip *g, uint64_t revision, struct str bytes);
/* returns the bytes of a change, or an empty string if it is not kept */
struct str gossip_get_change (const struct gossip *g, uint64_t revision);
/* appends the changes above a revision; returns false if one of them is no
   longer kept */
bool gossip_answer_pull (const struct gossip *g, uint64_t revision,
                         GArray *changes);
/* processes a received datagram */
void gossip_receive (struct gossip *g, const struct gossip_datagram *d,
                     int64_t now_us);
/* system: queues the changed rows and refills the byte budget */
void gossip_collect_deltas (struct gossip *g, int64_t now_us);
/* system: sends new changes to random members */
void gossip_send_changes (struct gossip *g, int64_t now_us);
/* system: answers the held probes for which there is new information or whose
   delay is over */
void gossip_send_answers (struct gossip *g, int64_t now_us);
/* system: makes datagrams of the probes, probe requests and ACKs in
   members->out; leaves other messages there */
void gossip_send_probes (struct gossip *g, int64_t now_us);
/* system: adds a pull to `pulls` if datagrams have not brought the missing
   changes in time */
void gossip_send_pulls (struct gossip *g, int64_t now_us);
/* returns an upper bound of the datagram's encoded size in bytes */
uint32_t gossip_datagram_bytes (const struct gossip_datagram *d);

#endif
