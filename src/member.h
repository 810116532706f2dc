/* member: the membership table of the fleet's daemons.

   A SWIM-style failure detector: periodic probes, indirect probes, suspicion,
   and refutation by a higher incarnation.  Its systems run over the table each
   tick.  They write the messages to send to the table `out` and the rows to
   gossip to the queue `changed`.  Besides gossip there are table exchanges: at
   intervals a daemon sends digests of its table to another daemon, which
   answers with the entries that differ.

   A run of a daemon is the lifetime of one of its processes, identified by the
   start time of the process in milliseconds.  An incarnation is the run,
   shifted left by MEMBER_RUN_SHIFT, plus one for each update that the daemon
   makes to its own entry.  Leases compare only the run (member_get_run), since
   a candidate that refutes a suspicion must not lose its claim to a lease.

   The watchers of a failure domain are MEMBER_WATCHERS of its daemons, chosen
   by rendezvous hashing, that read the configuration from the platform.  */

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
/* A table exchange compares one digest for each hash bucket of rows, and sends
   all entries of a bucket whose digests differ.  Each exchange compares only
   one window of the buckets, so that buckets can be small: with 22,000 members
   a bucket has 11 rows, and a digest costs no more than an entry.  */
#define MEMBER_BUCKETS 2048u
#define MEMBER_WINDOW_BUCKETS 256u
#define MEMBER_WINDOWS 8u
#define MEMBER_WATCHERS 2u /* watchers of each failure domain */

/* Each slot keeps one probe open: slot 0 to a member of the own failure
   domain, slot 1 to any member.  The target is allowed to delay its answer by
   up to MEMBER_HOLD_MS until it has new information for the prober.  */
#define MEMBER_PROBE_SLOTS 2u
#define MEMBER_HOLD_MS 1000
#define MEMBER_REPLY_ALLOWANCE_MS 500 /* for the network and tick delays */
#define MEMBER_INDIRECT_TIMEOUT_MS 1000
#define MEMBER_INDIRECT_PROBES 3u      /* members requested to probe it */
#define MEMBER_SUSPECT_TIMEOUT_MS 5000 /* time to refute a suspicion */
/* Dead members are kept this long, twice the longest partition that must heal,
   so that they are still probed after it.  */
#define MEMBER_DEAD_RETENTION_MS 7200000
/* A failure domain is marked as unreachable if it has this many misses, which
   are more than a rack has members, and no datagram came from it for this
   long.  At the probe rate above three datagrams come from a healthy domain in
   this time; a limit of 3 s marked healthy domains as unreachable when a rack
   failed.  */
#define MEMBER_UNREACHABLE_MISSES 64u
#define MEMBER_UNREACHABLE_MS 10000
/* After a longer time without a datagram, a domain with any misses is marked
   as unreachable if all domains without a datagram in this time have this many
   misses in total.  There are two reasons for this second rule.  Daemons that
   have marked a domain as unreachable report no more failures of its members,
   so a daemon that has counted only 63 misses by then would keep the remaining
   members usable.  And a daemon whose own domain is cut off counts few misses
   in each of the other domains.  */
#define MEMBER_UNREACHABLE_TOTAL_MISSES 8u
#define MEMBER_UNREACHABLE_TOTAL_MS 30000
#define MEMBER_DEAD_PROBE_ONE_IN 16u /* one probe in 16 to a dead member */
/* If more than one row in 256 is not alive, every second probe goes to a dead
   member.  Normally one member in 1,000 fails in a day.  After a failure
   domain has become reachable again, one row in 20 is still marked as dead
   here although the member has refuted its death, and a probe of that member
   is the quickest way to learn of the refutation.  Small fleets learn of it
   from a table exchange; with half of their probes spent on dead members,
   their evidence that the configuration is current became too old in a
   partition.  */
#define MEMBER_MANY_DEAD_ONE_IN 256u
#define MEMBER_MANY_DEAD_PROBE_ONE_IN 2u
/* One probe in 3 of slot 1 goes to an unreachable failure domain.  */
#define MEMBER_UNREACHABLE_PROBE_ONE_IN 3u
/* After a probe of another domain has timed out, slot 1 sends this many probes
   to the own domain.  Without them the daemons of a domain that is cut off get
   too few answers in the first half minute, and their evidence that the
   configuration is current becomes older than the freshness bound.  */
#define MEMBER_LOCAL_PROBES 2u
/* Each daemon probes a seed address at this interval times the number of alive
   members, so that the entire fleet sends one such probe a second.  With a
   fixed 30 s the seeds of 2,000 members received 5 KB/s.  */
#define MEMBER_SEED_PROBE_MS 1000
/* Interval of table exchanges while they find no differences.  */
#define MEMBER_SYNC_INTERVAL_MS 60000
/* Interval and answer size of table exchanges after one found differences.
   With 8 KB every 10 s a daemon needed 2.4 KB/s in total after a failure
   domain had become reachable again.  */
#define MEMBER_REPAIR_INTERVAL_MS 20000
#define MEMBER_REPAIR_BYTES 4096u
#define MEMBER_JOIN_BYTES 524288u /* answer size for a new daemon */
/* Up to this fleet size table exchanges are more frequent by the factor below.
   At the intervals above, which suit 22,000 members, 16 daemons that were
   started together each knew only 12 to 15 others after 30 s.  */
#define MEMBER_SMALL_FLEET 512u
#define MEMBER_SMALL_FLEET_SYNC_FACTOR 8
/* Interval of service queries, which request the full entries of a tracked
   service's members.  */
#define MEMBER_SERVICE_QUERY_MS 5000

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
  MEMBER_PORTS /* number of ports */
};

struct member_address
{
  unsigned char ip[MEMBER_IP_BYTES]; /* IPv4 as ::ffff:a.b.c.d */
  uint16_t ports[MEMBER_PORTS];
};

/* A member as daemons report it to each other.  A brief entry (full == false)
   lacks the service name, the slots and all ports but the control port; the
   details that it lacks are requested only for tracked services.  */
struct member_entry
{
  uint64_t id;
  uint64_t incarnation;
  uint64_t service_hash; /* str_hash of the name, 0: no backend server */
  struct str service;    /* view */
  struct member_address address;
  uint32_t domain; /* low half of str_hash of the failure domain's name */
  uint32_t slots;  /* requests that the backend server runs concurrently */
  enum member_liveness liveness;
  enum member_backend backend;
  bool full;
};

struct member_domain
{
  uint32_t domain;
  bool unreachable;        /* no member of it is usable */
  uint32_t misses;         /* probes that timed out and failures reported by
                            others, since the last datagram */
  int64_t last_contact_us; /* last datagram from a member */
  GPtrArray *rows;         /* struct member_row *, for random choice */
};

struct member_service
{
  struct str name; /* owned; empty until a full entry was merged */
  uint64_t hash;
  bool tracked;  /* this daemon queries the full entries of its members */
  uint32_t rows; /* number of members with a backend server of the service */
};

struct member_row
{
  struct member_entry entry; /* entry.service is a view of service->name */
  struct member_domain *domain;
  struct member_service *service; /* NULL: no backend server */
  uint64_t row;                   /* id of this row */
  uint32_t domain_index;          /* position in domain->rows */
  int64_t changed_us;             /* last change of liveness */
  uint64_t first_run_at_address;  /* run of the first entry with the present
                                     address */
  /* A datagram showed a newer incarnation, but no entry of that incarnation
     was merged yet; the row is left out of the digests.  */
  bool stale_details;
};

enum member_probe_state
{
  MEMBER_PROBE_DIRECT,
  MEMBER_PROBE_INDIRECT,
  MEMBER_PROBE_PROXY /* sent on behalf of another member */
};

struct member_probe
{
  uint32_t seq;
  enum member_probe_state state;
  uint32_t slot;
  uint64_t target;
  int64_t sent_us;
  int64_t deadline_us;
  uint64_t requester;     /* proxy probe: member to relay the answer to */
  uint32_t requester_seq; /* proxy probe: sequence number in the request */
};

enum member_message_type
{
  MEMBER_SEND_PROBE,
  MEMBER_SEND_PROBE_REQ,
  MEMBER_SEND_ACK,          /* relays the answer to a proxy probe */
  MEMBER_SEND_SYNC,         /* starts a table exchange */
  MEMBER_SEND_SERVICE_QUERY /* requests full entries of a tracked service */
};

struct member_message
{
  enum member_message_type type;
  uint64_t to; /* 0: a seed address whose member is not known yet */
  struct member_address address;
  uint32_t seq;
  uint32_t hold_ms;      /* PROBE: longest delay of the answer */
  uint64_t target;       /* PROBE_REQ: member to probe */
  uint64_t service_hash; /* SERVICE_QUERY: service */
  uint32_t max_bytes;    /* SYNC: limit of the entries in the answer */
  uint32_t window;       /* SYNC: digest window to send */
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
  GArray *changed;       /* uint64_t ids of rows to gossip */
  GArray *seeds;         /* struct member_address */
  uint32_t digests[MEMBER_BUCKETS];
  uint32_t alive;        /* number of rows that are alive */
  uint32_t local_probes; /* probes of slot 1 still to send to the own domain */
  uint32_t window;       /* digest window of the next table exchange */
  uint32_t windows_synced; /* complete exchanges since the start */
  bool leaving;            /* this daemon does not refute its own death */
  uint32_t seq;            /* last sequence number used */
  uint64_t random_state;
  int64_t next_seed_us;
  int64_t next_sync_us;
  int64_t next_service_query_us;
};

/* Key and member filter of a rendezvous ranking.  */
struct member_query
{
  uint64_t key;
  uint32_t domain; /* 0: any */
  uint32_t except; /* excluded domain, 0: none */
};

/* Public functions */

/* initializes a table with one row: this daemon */
void member_init_table (struct member_table *t,
                        const struct member_entry *self, uint64_t seed,
                        int64_t now_us);
/* frees the table */
void member_close_table (struct member_table *t);
/* adds a configured address to probe, whose member id need not be known */
void member_add_seed (struct member_table *t,
                      const struct member_address *address);
/* marks a service as tracked: from now on this daemon queries the full entries
   of the service's members */
void member_track_service (struct member_table *t, struct str name);
/* announces the state of the own backend server */
void member_set_backend (struct member_table *t, enum member_backend backend,
                         struct str service, uint32_t slots);
/* announces that this daemon is leaving */
void member_leave (struct member_table *t);
/* merges an entry that another daemon sent; returns true if the table
   changed */
bool member_merge_entry (struct member_table *t, const struct member_entry *e,
                         int64_t now_us);
/* records a datagram from a member; returns true if the member is suspect or
   dead in this table and has to refute that */
bool member_record_contact (struct member_table *t, uint64_t id,
                            uint64_t incarnation, int64_t now_us);
/* ends the probe that an ACK answers and sets when it was sent; returns false
   if there is no such probe */
bool member_handle_ack (struct member_table *t, uint32_t seq, uint64_t from,
                        int64_t *sent_us, int64_t now_us);
/* probes a target on behalf of another member */
void member_handle_probe_request (struct member_table *t, uint64_t requester,
                                  uint32_t requester_seq, uint64_t target,
                                  int64_t now_us);
/* opens a probe that the member must answer without delay */
void member_send_probe (struct member_table *t, uint64_t target,
                        int64_t now_us);
/* system: opens a probe in each free slot */
void member_send_probes (struct member_table *t, int64_t now_us);
/* system: for probes that timed out, starts indirect probes or marks the
   member as suspect */
void member_expire_probes (struct member_table *t, int64_t now_us);
/* system: marks failure domains as unreachable, marks suspects as dead after
   MEMBER_SUSPECT_TIMEOUT_MS and removes dead members after
   MEMBER_DEAD_RETENTION_MS */
void member_expire_rows (struct member_table *t, int64_t now_us);
/* system: probes a seed address at an interval that grows with the number of
   alive members; run by member_send_syncs() */
void member_send_seed_probe (struct member_table *t, int64_t now_us);
/* system: starts table exchanges, seed probes and queries for missing full
   entries */
void member_send_syncs (struct member_table *t, int64_t now_us);
/* returns true until every window of the table was exchanged once */
bool member_is_joining (const struct member_table *t);
/* appends brief entries of the buckets whose digests differ; returns true if
   all of them fit into the byte limit */
bool member_answer_sync (const struct member_table *t, uint32_t window,
                         const uint32_t digests[MEMBER_WINDOW_BUCKETS],
                         uint32_t max_bytes, GArray *entries);
/* appends the full entries of one service */
void member_answer_service_query (const struct member_table *t,
                                  uint64_t service_hash, GArray *entries);
/* merges the answer to a table exchange; `complete` means that the answer has
   all entries that differ */
void member_merge_sync (struct member_table *t, const GArray *entries,
                        bool complete, int64_t now_us);
/* merges full entries of a tracked service */
void member_merge_service_entries (struct member_table *t,
                                   const GArray *entries, int64_t now_us);
/* returns the row of a member, or NULL */
struct member_row *member_find (const struct member_table *t, uint64_t id);
/* returns true if the member is alive and its failure domain reachable */
bool member_is_usable (const struct member_row *row);
/* returns a random usable member of a domain (0: any), or NULL */
struct member_row *member_pick (struct member_table *t, uint32_t domain);
/* sets the ids of the highest ranked usable members; returns their number */
uint32_t member_rank (const struct member_table *t, struct member_query q,
                      uint64_t *ids, uint32_t max);
/* returns true if this daemon is one of the watchers of its failure domain */
bool member_is_watcher (const struct member_table *t);
/* returns the run of the daemon's process that an incarnation belongs to */
uint64_t member_get_run (uint64_t incarnation);
/* returns an upper bound of the entry's encoded size in bytes */
uint32_t member_entry_bytes (const struct member_entry *e);
/* returns the domain number for a failure domain's name */
uint32_t member_hash_domain (struct str name);

#endif
