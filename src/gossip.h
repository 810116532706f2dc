/* gossip: the content of the datagrams between daemons.

   Piggybacks member entries, configuration changes and freshness evidence on
   the probes and answers of `member` within a byte budget.  The table `out`
   holds the datagrams to send; the code that sends them empties it each tick.

   An answer is delayed until it has new information for the prober or the
   longest wait that the prober allows is over.  New information is, among
   others, evidence that is younger than the prober's by
   GOSSIP_EVIDENCE_GAIN_MS.  It spreads along all open probes at one round trip
   a hop, while a daemon of a quiet fleet exchanges only about one probe a
   second in each slot.  */

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
#define GOSSIP_ENTRY_RATE 300u    /* bytes of member entries a second */
#define GOSSIP_ENTRY_BURST 4800u
#define GOSSIP_DELTAS_MAX 4096u
/* A daemon that receives a new revision sends it to this many others.  With 2,
   four fifths of the fleet receive it, at 0.8 KB/s; 3 would cost 0.4 KB/s more
   and miss 6%.  The rest receive it with the next answer to a probe.  */
#define GOSSIP_FANOUT 2u
#define GOSSIP_EVIDENCE_GAIN_MS 900
/* A daemon whose evidence is older than GOSSIP_STALE_AGE_MS lets its targets
   delay their answers by GOSSIP_STALE_HOLD_MS only.  In a quiet fleet of
   22,000 one daemon in a hundred has evidence older than 1.7 s.  */
#define GOSSIP_STALE_AGE_MS 2000
#define GOSSIP_STALE_HOLD_MS 250
/* A daemon whose evidence is older than GOSSIP_URGENT_AGE_MS probes a member
   of the failure domain with the oldest outage report.  It chooses any member:
   if only the watchers were probed, each would receive 460 probes a second
   from 22,000 daemons.  The remaining time of the freshness bound allows three
   more probes if answers are lost.  */
#define GOSSIP_URGENT_AGE_MS 2700
#define GOSSIP_URGENT_RETRY_MS 200
#define GOSSIP_PULL_DELAY_MS 1500 /* then missing changes are pulled by TCP */
#define GOSSIP_PULL_BYTES 524288u
#define GOSSIP_HELD_MAX 256u

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
  uint64_t revision; /* highest without a gap below */
  /* Merged from an ACK only; in a PROBE it shows what the prober has.  */
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
  /* Row of an entry that the prober has to refute or does not know, 0:
     none.  */
  uint64_t entry_row;
  uint64_t revision; /* changes above it are sent, UINT64_MAX: none */
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
  uint64_t revision; /* highest without a gap here */
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
  uint64_t revision;             /* highest without a gap below */
  uint64_t sent_revision;        /* highest that was sent or need not be */
  uint64_t peer_revision;        /* highest that a peer has */
  uint64_t peer_revision_from;   /* that peer */
  int64_t next_pull_us;          /* valid while peer_revision > revision */
  int64_t next_urgent_us;        /* earliest time of the next urgent probe */
};

/* Public functions */

/* initializes an empty state; `members` and `fresh` must outlive it */
void gossip_init (struct gossip *g, struct member_table *members,
                  struct freshness *fresh, int64_t now_us);
/* frees the tables and changes */
void gossip_close (struct gossip *g);
/* records that all changes up to a revision are in force here, after a
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
/* system: requests a pull if datagrams have not brought the missing changes */
void gossip_send_pulls (struct gossip *g, int64_t now_us);
/* returns an upper bound of the datagram's encoded size in bytes */
uint32_t gossip_datagram_bytes (const struct gossip_datagram *d);

#endif
