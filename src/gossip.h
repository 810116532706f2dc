/* gossip: what each datagram between daemons carries.

   Fills the probes and answers of `member` with member entries, configuration
   changes and freshness evidence within a byte budget.  The table `out` holds
   the datagrams to send; the sender of the datagrams empties it each tick.

   An answer is held back until it brings news: the evidence of this daemon is
   younger than the asker's by GOSSIP_EVIDENCE_GAIN_MS, or the asker's longest wait is
   over.  So news travels along all open probes within one round trip a hop,
   and a daemon in a quiet fleet exchanges only about one probe a second in
   each slot.  */

#ifndef ALMONDVALE_GOSSIP_H
#define ALMONDVALE_GOSSIP_H

#include "freshness.h"
#include "member.h"

/* Constants */

#define GOSSIP_DATAGRAM_BYTES 1200u
#define GOSSIP_HEADER_BYTES 64u    /* encoded datagram without lists */
#define GOSSIP_STATEMENT_BYTES 24u /* one encoded statement */
#define GOSSIP_CHANGE_BYTES 12u    /* one encoded change without its bytes */
#define GOSSIP_DATAGRAM_ENTRIES_MAX 16u
#define GOSSIP_DATAGRAM_CHANGES_MAX 16u
#define GOSSIP_CHANGES_KEPT 1024u /* changes kept for peers */
#define GOSSIP_ENTRY_RATE 300u    /* bytes of member entries sent a second */
#define GOSSIP_ENTRY_BURST 4800u
#define GOSSIP_DELTAS_MAX 4096u
/* A daemon that gets a new revision sends it to this many others.  2 reach
   four fifths of the fleet for 0.8 KB/s; 3 would cost 0.4 KB/s more and leave
   6%.  The rest see the revision in their next answer.  */
#define GOSSIP_FANOUT 2u
#define GOSSIP_EVIDENCE_GAIN_MS 900
/* A daemon whose evidence is older asks for answers within GOSSIP_STALE_HOLD_MS.
   In a quiet fleet of 22,000 one in a hundred has evidence older than 1.7 s.  */
#define GOSSIP_STALE_AGE_MS 2000
#define GOSSIP_STALE_HOLD_MS 250
/* A daemon whose evidence is older asks a member of the failure domain that has
   spoken longest ago; its watchers alone would get 460 asks a second each from 22,000
   daemons.  The rest of the bound is enough for three more asks if
   answers are lost.  */
#define GOSSIP_URGENT_AGE_MS 2700
#define GOSSIP_URGENT_RETRY_MS 200
#define GOSSIP_PULL_DELAY_MS 1500 /* behind for so long: pull over TCP */
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
  struct str bytes; /* the object changes/<revision>; not interpreted here */
};

/* A received or sent datagram.  Strings are views.  */
struct gossip_datagram
{
  enum gossip_type type;
  uint64_t to; /* 0: a seed address */
  struct member_address address;
  uint64_t from;
  uint64_t incarnation;
  uint32_t seq;      /* 0 in a PROBE: no answer wanted */
  uint32_t hold_ms;  /* PROBE: longest wait; ACK: how long it was held */
  uint64_t target;   /* of a PROBE_REQ */
  uint64_t revision; /* highest without a gap below */
  struct freshness_evidence evidence; /* merged from an ACK only; in a PROBE it
                                     tells what would be news */
  uint32_t entries_len;
  struct member_entry entries[GOSSIP_DATAGRAM_ENTRIES_MAX];
  uint32_t changes_len;
  struct gossip_change changes[GOSSIP_DATAGRAM_CHANGES_MAX];
};

/* A PROBE that is not answered yet.  */
struct gossip_held
{
  uint64_t from;
  struct member_address address;
  uint32_t seq;
  uint64_t
      entry_row;     /* row id of an entry that the asker has to refute or does
                    not know, or 0 */
  uint64_t revision; /* changes above it go into the answer, or UINT64_MAX */
  int64_t received_us;
  int64_t until_us;
  struct freshness_evidence evidence; /* what the asker had when it asked */
};

/* A row that others are told of.  */
struct gossip_delta
{
  uint64_t row;
  uint32_t sends;
};

/* Changes wanted over TCP.  */
struct gossip_pull
{
  uint64_t to;
  uint64_t revision; /* highest that is held here */
};

struct gossip
{
  struct member_table *members;
  struct freshness *fresh;
  struct table out;   /* struct gossip_datagram */
  struct table held;  /* struct gossip_held */
  struct table pulls; /* struct gossip_pull */
  GQueue deltas;      /* struct gossip_delta, least often sent first */
  GHashTable *queued; /* row id to its link in deltas */
  double entry_bytes; /* allowance for member entries */
  int64_t refilled_us;
  struct gossip_change *changes; /* by revision mod GOSSIP_CHANGES_KEPT */
  uint64_t revision;             /* highest without a gap below */
  uint64_t sent_revision;        /* highest that was sent on */
  uint64_t peer_revision;        /* highest shown by a peer */
  uint64_t peer_revision_from;
  int64_t next_pull_us;   /* when to pull, while behind */
  int64_t next_urgent_us; /* no urgent ask before */
};

/* Public functions */

/* nothing known; the tables must outlive the gossip */
void gossip_init (struct gossip *g, struct member_table *members,
                  struct freshness *fresh, int64_t now_us);
/* frees what it holds */
void gossip_close (struct gossip *g);
/* all changes up to a revision are in force here (snapshot or pull); a lower
   one is ignored */
void gossip_set_revision (struct gossip *g, uint64_t revision);
/* adds a change; a known one is ignored */
void gossip_add_change (struct gossip *g, uint64_t revision, struct str bytes);
/* bytes of a change that is held, or empty */
struct str gossip_get_change (const struct gossip *g, uint64_t revision);
/* changes above a revision; false if the lowest is not held any more */
bool gossip_answer_pull (const struct gossip *g, uint64_t revision,
                         GArray *changes);
/* takes in a received datagram */
void gossip_receive (struct gossip *g, const struct gossip_datagram *d,
                     int64_t now_us);
/* system: queues the rows that changed */
void gossip_collect_deltas (struct gossip *g, int64_t now_us);
/* system: sends new changes to random members */
void gossip_send_changes (struct gossip *g, int64_t now_us);
/* system: answers probes that have waited long enough or have news */
void gossip_send_answers (struct gossip *g, int64_t now_us);
/* system: datagrams for the probes in members->out; other messages stay */
void gossip_send_probes (struct gossip *g, int64_t now_us);
/* system: pulls over TCP after a gap was not closed by datagrams */
void gossip_send_pulls (struct gossip *g, int64_t now_us);
/* upper bound of the datagram's encoded size */
uint32_t gossip_datagram_bytes (const struct gossip_datagram *d);

#endif
