/* member: the membership table of the fleet's daemons.

   SWIM-style: periodic probes, indirect probes, suspicion, refutation by a
   higher incarnation.  Systems run over the table each tick; their output is
   the table `out` of messages to send and the queue `changed` of rows that
   other daemons have to be told of.

   An incarnation is the start time of the process in seconds shifted left by
   MEMBER_RUN_SHIFT, raised by one for each own update.  Leases compare only
   the run (member_get_run): a refutation must not end a candidate's right.  */

#ifndef ALMONDVALE_MEMBER_H
#define ALMONDVALE_MEMBER_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define MEMBER_RUN_SHIFT 16
#define MEMBER_IP_BYTES 16
#define MEMBER_SERVICE_MAX_BYTES 64u
/* Digests of the table.  One exchange compares a window of them, so that a
   bucket holds 11 of 22,000 rows and a digest costs no more than an entry.  */
#define MEMBER_BUCKETS 2048u
#define MEMBER_WINDOW_BUCKETS 256u
#define MEMBER_WINDOWS 8u
#define MEMBER_WATCHERS 2u

/* Two probes are always open: one inside the failure domain, one anywhere.
   The answer may be held back for MEMBER_HOLD_MS until it has news.  */
#define MEMBER_PROBE_SLOTS 2u
#define MEMBER_HOLD_MS 1000
#define MEMBER_REPLY_ALLOWANCE_MS                                             \
  500 /* allowance for the network and the ticks */
#define MEMBER_INDIRECT_TIMEOUT_MS 1000 /* wait for the indirect probes */
#define MEMBER_INDIRECT_PROBES 3u /* members asked to probe on our behalf */
#define MEMBER_SUSPECT_TIMEOUT_MS 5000   /* time to refute */
#define MEMBER_DEAD_RETENTION_MS 7200000 /* twice the longest partition */
/* A failure domain is silent after this many missed members (a rack holds
   fewer) without one datagram from it for this long.  At the probe rate above
   a daemon hears from a healthy domain three times in this time; 3 s marked
   healthy domains as silent when a rack failed.  */
#define MEMBER_UNREACHABLE_MISSES 64u
#define MEMBER_UNREACHABLE_MS 10000
/* Or after fewer misses and a longer time, counted over all domains not heard:
   once the others take the domain as lost, they tell of no more members, and a
   daemon that heard of 63 would keep the rest usable; a domain that is cut off
   misses few members of each other one.  */
#define MEMBER_UNREACHABLE_TOTAL_MISSES 8u
#define MEMBER_UNREACHABLE_TOTAL_MS 30000
#define MEMBER_DEAD_PROBE_ONE_IN                                              \
  16u /* one probe in 16 goes to a dead member */
/* With more than one row in 256 not alive it is every other probe.  On an ordinary
   day one in 1,000 fails; after a failure domain has returned one in 20 is dead
   here though it has refuted, and its answer is the quickest way to learn it.  Not
   in a small fleet: there a table exchange brings it, and half of the probes less
   made evidence too old in a partition.  */
#define MEMBER_MANY_DEAD_ONE_IN 256u
#define MEMBER_MANY_DEAD_PROBE_ONE_IN 2u
#define MEMBER_UNREACHABLE_PROBE_ONE_IN 3u
/* After a time-out in another domain the second slot stays inside for so many
   probes.  Without it a domain that is cut off has too few answers in the
   first half minute, and its evidence exceeds the bound.  */
#define MEMBER_LOCAL_PROBES 2u
/* A seed address is probed this often, times the members alive: the whole
   fleet sends one such probe a second.  At a fixed 30 s the seeds of 2,000
   members took 5 KB/s.  */
#define MEMBER_SEED_PROBE_MS 1000
#define MEMBER_SYNC_INTERVAL_MS 60000 /* table exchange, tables equal */
/* A table exchange with differences is followed by the next one soon.  8 KB
   every 10 s took 2.4 KB/s in all after a failure domain had returned.  */
#define MEMBER_REPAIR_INTERVAL_MS 20000
#define MEMBER_REPAIR_BYTES 4096u
#define MEMBER_JOIN_BYTES 524288u /* the same, to a new daemon */
/* In a fleet of up to so many members exchanges are more frequent: 16 daemons
   started together knew 12 to 15 of each other after 30 s at the intervals
   above, which are chosen for 22,000.  */
#define MEMBER_SMALL_FLEET 512u
#define MEMBER_SMALL_FLEET_SYNC_FACTOR 8
#define MEMBER_SERVICE_QUERY_MS 5000 /* retry for missing full entries */

/* Types */

enum member_liveness
{
  MEMBER_ALIVE = 0,
  MEMBER_SUSPECT = 1,
  MEMBER_DEAD = 2
};

enum member_backend
{
  MEMBER_BACKEND_NONE = 0,
  MEMBER_BACKEND_SERVING = 1,
  MEMBER_BACKEND_DRAINING = 2,
  MEMBER_BACKEND_LEAVING = 3
};

enum member_port
{
  MEMBER_PORT_CALLER = 0,
  MEMBER_PORT_LOCAL = 1,
  MEMBER_PORT_PEER = 2,
  MEMBER_PORT_CONTROL = 3,
  MEMBER_PORTS /* count of ports */
};

struct member_address
{
  unsigned char ip[MEMBER_IP_BYTES]; /* IPv4 as ::ffff:a.b.c.d */
  uint16_t ports[MEMBER_PORTS];
};

/* What daemons tell each other about a member.  A brief entry (full false)
   has no service name, slots and ports but the control port.  */
struct member_entry
{
  uint64_t id;
  uint64_t incarnation;
  uint64_t service_hash; /* str_hash of the name, 0 without a backend server */
  struct str service;    /* a view */
  struct member_address address;
  uint32_t domain; /* low half of str_hash of the failure domain's name */
  uint32_t slots;
  enum member_liveness liveness;
  enum member_backend backend;
  bool full;
};

struct member_domain
{
  uint32_t domain;
  bool unreachable;        /* all its members are taken as unavailable */
  uint32_t misses;         /* members missed since it was last heard */
  int64_t last_contact_us; /* last datagram from one of its members */
  GPtrArray *rows;         /* struct member_row, for random choice */
};

struct member_service
{
  struct str name; /* owned; empty until a full entry was seen */
  uint64_t hash;
  bool tracked;  /* this daemon calls it: full entries are kept */
  uint32_t rows; /* members beside its backend servers */
};

struct member_row
{
  struct member_entry entry; /* entry.service is a view of service->name */
  struct member_domain *domain;
  struct member_service *service; /* NULL without a backend server */
  uint64_t row;                   /* own row id */
  uint32_t domain_index;          /* position in domain->rows */
  int64_t changed_us;             /* last change of liveness */
  uint64_t address_run;           /* earliest run known at its address */
  bool
      stale_details; /* heard with a newer incarnation; the details are of an older
                 one, and the row is not in the digests */
};

enum member_probe_state
{
  MEMBER_PROBE_DIRECT,
  MEMBER_PROBE_INDIRECT,
  MEMBER_PROBE_PROXY /* on behalf of another member */
};

struct member_probe
{
  uint32_t seq;
  enum member_probe_state state;
  uint32_t slot;
  uint64_t target;
  int64_t sent_us;
  int64_t deadline_us;
  uint64_t requester; /* of a proxy probe */
  uint32_t requester_seq;
};

enum member_message_type
{
  MEMBER_SEND_PROBE,
  MEMBER_SEND_PROBE_REQ,
  MEMBER_SEND_ACK,          /* relays the answer of a proxy probe */
  MEMBER_SEND_SYNC,         /* table exchange */
  MEMBER_SEND_SERVICE_QUERY /* full entries of a needed service */
};

struct member_message
{
  enum member_message_type type;
  uint64_t to; /* 0: a seed address whose member is not known yet */
  struct member_address address;
  uint32_t seq;
  uint32_t hold_ms;
  uint64_t target;       /* of a PROBE_REQ */
  uint64_t service_hash; /* of a WANT */
  uint32_t max_bytes;    /* of a SYNC: entries wanted in the answer */
  uint32_t window;       /* of a SYNC: digests to send */
};

struct member_table
{
  struct member_row *self;
  struct table rows;     /* struct member_row */
  struct table domains;  /* struct member_domain */
  struct table services; /* struct member_service */
  struct table probes;   /* struct member_probe */
  struct table out;      /* struct member_message */
  GHashTable *by_id;     /* row by its entry.id */
  GHashTable *by_hash;   /* service by its hash */
  GArray *changed;       /* uint64_t row ids to tell others of */
  GArray *seeds;         /* struct member_address */
  uint32_t digests[MEMBER_BUCKETS];
  uint32_t alive;          /* rows that are alive */
  uint32_t local_probes;   /* next probes of slot 1 that stay inside */
  uint32_t window;         /* of the next table exchange */
  uint32_t windows_synced; /* windows exchanged completely since the start */
  bool leaving;            /* the own death is not refuted */
  uint32_t seq;            /* last sequence number given */
  uint64_t random_state;
  int64_t next_seed_us;
  int64_t next_sync_us;
  int64_t next_service_query_us;
};

/* Selection of members for rendezvous ranking.  */
struct member_query
{
  uint64_t key;
  uint32_t domain; /* 0: any */
  uint32_t except; /* domain that is left out, 0: none */
};

/* Public functions */

/* table with one row: this daemon */
void member_init_table (struct member_table *t,
                        const struct member_entry *self, uint64_t seed,
                        int64_t now_us);
/* frees the table */
void member_close_table (struct member_table *t);
/* adds an address that is probed while its member is unknown */
void member_add_seed (struct member_table *t,
                      const struct member_address *address);
/* full entries of the service are kept */
void member_track_service (struct member_table *t, struct str name);
/* announces the state of the own backend server */
void member_set_backend (struct member_table *t, enum member_backend backend,
                         struct str service, uint32_t slots);
/* announces that this daemon leaves */
void member_leave (struct member_table *t);
/* merges what another daemon told; true if the row changed */
bool member_merge_entry (struct member_table *t, const struct member_entry *e,
                         int64_t now_us);
/* notes a datagram from a member; true if the member must be told what the
   table says of it (it is not alive here) */
bool member_record_contact (struct member_table *t, uint64_t id,
                            uint64_t incarnation, int64_t now_us);
/* notes an ACK; gives when its probe was sent, false if not awaited */
bool member_handle_ack (struct member_table *t, uint32_t seq, uint64_t from,
                        int64_t *sent_us, int64_t now_us);
/* probes a target on behalf of another member */
void member_handle_probe_request (struct member_table *t, uint64_t requester,
                                  uint32_t requester_seq, uint64_t target,
                                  int64_t now_us);
/* opens a probe of a member that is answered at once */
void member_send_probe (struct member_table *t, uint64_t target,
                        int64_t now_us);
/* system: opens the probe of each free slot */
void member_send_probes (struct member_table *t, int64_t now_us);
/* system: indirect probes and suspicion after time-outs */
void member_expire_probes (struct member_table *t, int64_t now_us);
/* system: silent failure domains, death of suspects, removal of the dead */
void member_expire_rows (struct member_table *t, int64_t now_us);
/* system: probes an address that was configured, the more seldom the more members
   are alive; run by member_send_syncs() */
void member_send_seed_probe (struct member_table *t, int64_t now_us);
/* system: table exchange, seeds, missing full entries */
void member_send_syncs (struct member_table *t, int64_t now_us);
/* true until the whole table was exchanged once */
bool member_is_joining (const struct member_table *t);
/* appends brief entries of the buckets whose digests differ; true if all of
   them fitted into the byte limit */
bool member_answer_sync (const struct member_table *t, uint32_t window,
                         const uint32_t digests[MEMBER_WINDOW_BUCKETS],
                         uint32_t max_bytes, GArray *entries);
/* appends the full entries of one service */
void member_answer_service_query (const struct member_table *t,
                                  uint64_t service_hash, GArray *entries);
/* merges the answer to a table exchange; complete: all entries fitted */
void member_merge_sync (struct member_table *t, const GArray *entries,
                        bool complete, int64_t now_us);
/* merges full entries of a needed service */
void member_merge_service_entries (struct member_table *t,
                                   const GArray *entries, int64_t now_us);
/* row of a member, or NULL */
struct member_row *member_find (const struct member_table *t, uint64_t id);
/* alive, and its failure domain is not silent */
bool member_is_usable (const struct member_row *row);
/* usable member chosen at random, or NULL; domain 0 is any */
struct member_row *member_pick (struct member_table *t, uint32_t domain);
/* ids of the usable members ranked highest; returns how many */
uint32_t member_rank (const struct member_table *t, struct member_query q,
                      uint64_t *ids, uint32_t max);
/* true if this daemon is a watcher of its failure domain */
bool member_is_watcher (const struct member_table *t);
/* process run that an incarnation belongs to */
uint64_t member_get_run (uint64_t incarnation);
/* upper bound of the entry's encoded size */
uint32_t member_entry_bytes (const struct member_entry *e);
/* domain number of a failure domain's name */
uint32_t member_hash_domain (struct str name);

#endif
