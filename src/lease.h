/* lease: shard leases with epochs, named candidates and promises.

   Each shard has one object in the platform.  This module decides what a
   daemon reads, writes, asks and grants for every shard; the caller carries
   out the actions and reports what came of them.  Times are the caller's,
   from one clock that runs during suspend.  An event's time must be read after
   the event was received.  Shard objects are never deleted: an epoch that
   began again at 1 would not order holders.  */

#ifndef ALMONDVALE_LEASE_H
#define ALMONDVALE_LEASE_H

#include "table.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define LEASE_CANDIDATES 2u
#define LEASE_SHARDS_MAX 256u
/* Clock rates of two VMs differ by less than one part in this.  */
#define LEASE_DRIFT_DIVISOR 100
#define LEASE_NO_TIME INT64_MIN

/* Candidates of writes with unknown outcome that are kept: of two such writes.  */
#define LEASE_PENDING_CANDIDATES (2 * LEASE_CANDIDATES)
/* Daemons that may have to promise before the holder goes on.  */
#define LEASE_PROMISERS (LEASE_CANDIDATES + LEASE_PENDING_CANDIDATES)

/* Types */

/* One run of a daemon.  */
struct lease_daemon
{
  uint64_t id; /* 0: nobody */
  uint64_t incarnation;
};

/* Fields of the object shards/<i>.  */
struct lease_object
{
  struct lease_daemon holder;
  uint64_t epoch; /* raised by every takeover */
  struct lease_daemon candidates[LEASE_CANDIDATES];
  uint32_t term_ms;
  bool released; /* the holder stopped; a candidate need not wait */
};

enum lease_state
{
  LEASE_OBSERVER,        /* no part in the shard */
  LEASE_CANDIDATE,       /* may take over when the version stays unchanged */
  LEASE_PROMISED,        /* candidate bound by a promise */
  LEASE_TAKING_OVER,     /* takeover write pending or with unknown outcome */
  LEASE_AWAITING_EXPIRY, /* won; older grants may still be valid */
  LEASE_HOLDING,
  LEASE_EXTENDED, /* holds on the candidates' promises */
  LEASE_EXPIRED   /* named as holder, but the lease has run out */
};

/* Rules that a test may turn off to show that its check finds the fault.  */
enum lease_rule
{
  LEASE_RULE_WAIT = 1,         /* the successor's wait */
  LEASE_RULE_PROMISE = 2,      /* a promise binds the candidate */
  LEASE_RULE_UNRESOLVED = 4,   /* no promise while a write is unresolved */
  LEASE_RULE_INCARNATION = 8,  /* a restarted candidate may not take over */
  LEASE_RULE_MEASURE_SENT = 16 /* the holder measures from before sending */
};

struct lease_settings
{
  uint32_t shards;
  uint32_t term_ms;
  uint32_t promise_ms;
  uint32_t promise_interval_ms; /* interval between requests for a promise */
  uint32_t retry_interval_ms;   /* interval between attempts at the platform */
  uint32_t round_trip_ms;       /* bound on the round trip of a grant */
  uint32_t grant_validity_ms;   /* largest validity of a grant */
  uint32_t abandon_ms;
  uint32_t abandon_margin_ms;
  uint32_t test_rules_off; /* enum lease_rule, 0 outside tests */
};

enum lease_operation
{
  LEASE_NO_OPERATION,
  LEASE_READ_PENDING,
  LEASE_WRITE_PENDING
};

struct lease_shard
{
  uint32_t shard;
  enum lease_state state;
  uint64_t version; /* last known version, 0 if none */
  struct lease_object object;
  int64_t version_seen_us;          /* first time that version was known */
  int64_t lease_start_us;           /* before the write of version was sent */
  int64_t takeover_us;              /* before the takeover write was sent */
  enum lease_operation op;          /* at most one at a time */
  uint64_t op_request;              /* number of the pending operation */
  int64_t op_sent_us;               /* when it was decided */
  struct lease_object write_object; /* object of the pending write */
  int64_t next_op_us;               /* earliest time of the next operation */
  bool absent;            /* the platform said that there is no object */
  bool read_first;        /* read before the next write */
  bool read_requested;    /* a holder asked for a promise */
  bool store_unreachable; /* the last operation got no answer */
  bool unresolved;        /* a write has unknown outcome */
  /* candidates that such writes would name; more than fit: `pending_overflow` */
  struct lease_daemon pending[LEASE_PENDING_CANDIDATES];
  bool pending_overflow;
  bool unresolved_takeover;   /* it would change the holder */
  int64_t unresolved_sent_us; /* when the first such write was decided */
  int64_t promised_until_us;  /* as candidate */
  /* as holder; of the object's candidates, then of the pending ones */
  int64_t promise_until_us[LEASE_PROMISERS];
  int64_t promise_requested_us[LEASE_PROMISERS];
  uint64_t promise_request[LEASE_PROMISERS]; /* 0: no answer awaited */
  struct lease_daemon next_candidates[LEASE_CANDIDATES];
  bool preferred; /* creates the shard and watches for abandonment */
  bool granting;  /* LEASE_START_GRANTING was the last of start and stop */
};

enum lease_action_kind
{
  LEASE_READ,
  LEASE_WRITE,           /* conditional on version; 0: must not exist */
  LEASE_REQUEST_PROMISE, /* to peer */
  LEASE_REPLY_PROMISE,
  LEASE_START_GRANTING, /* empty buckets and registry if the epoch is new */
  LEASE_STOP_GRANTING
};

struct lease_action
{
  enum lease_action_kind kind;
  uint32_t shard;
  uint64_t request; /* returned in the event */
  uint64_t version;
  struct lease_object object;
  struct lease_daemon peer;
  uint64_t epoch;
  uint32_t promise_ms; /* 0: refused */
  uint32_t age_ms;     /* of this run, as the answer to a promise tells it */
};

enum lease_event_kind
{
  LEASE_EVENT_READ,
  LEASE_EVENT_ABSENT,
  LEASE_EVENT_WRITTEN,
  LEASE_EVENT_CONFLICT,
  LEASE_EVENT_UNKNOWN,     /* the write may have taken effect, or may yet */
  LEASE_EVENT_UNREACHABLE, /* a read failed, or a write was never sent */
  LEASE_EVENT_PROMISE_REQUEST,
  LEASE_EVENT_PROMISE_REPLY
};

struct lease_event
{
  enum lease_event_kind kind;
  uint32_t shard;
  uint64_t request;
  uint64_t version;
  struct lease_object object;
  struct lease_daemon peer;
  uint64_t epoch;
  uint32_t promise_ms;
  uint32_t age_ms; /* of the run that answered */
  uint64_t
      first_run_at_address; /* earliest run known at the peer's address; 0: unknown */
};

struct lease_table
{
  struct lease_settings settings;
  struct lease_daemon self;
  int64_t started_us; /* when this run began at the latest, or LEASE_NO_TIME */
  struct lease_shard *shards;
  struct table actions; /* struct lease_action, removed by the caller */
  uint64_t last_request;
  bool leaving;
};

/* A live member as the choice of holders and candidates sees it.  */
struct lease_member
{
  struct lease_daemon daemon;
  uint32_t domain;
};

/* Public functions */

/* default settings of section 6 */
struct lease_settings lease_get_defaults (void);
/* one row for each shard; every shard is unknown */
void lease_init_table (struct lease_table *t, struct lease_daemon self,
                       const struct lease_settings *settings);
/* frees the rows */
void lease_close_table (struct lease_table *t);
/* sets the candidates to name and whether this daemon creates the shard */
void
lease_set_candidates (struct lease_table *t, uint32_t shard,
                      const struct lease_daemon candidates[LEASE_CANDIDATES],
                      bool preferred);
/* chooses the holder and the candidates of a shard by rendezvous hashing */
struct lease_daemon
lease_choose_candidates (uint32_t shard, const struct lease_member *members,
                         uint32_t len, struct lease_daemon holder,
                         struct lease_daemon candidates[LEASE_CANDIDATES]);
/* applies one event; may add actions */
void lease_apply_event (struct lease_table *t, const struct lease_event *e,
                        int64_t now_us);
/* the system: adds the actions that are due */
void lease_run (struct lease_table *t, int64_t now_us);
/* stops holding and hands the shards to their candidates */
void lease_release_all (struct lease_table *t);
/* shards whose object names this daemon as holder */
uint32_t lease_count_held (const struct lease_table *t);
/* true if the shard's holder may grant and register at this time */
bool lease_is_granting (const struct lease_table *t, uint32_t shard,
                        int64_t now_us);
/* holder by the version known here, or id 0; the object is read again soon */
struct lease_daemon lease_get_holder (struct lease_table *t, uint32_t shard,
                                      uint64_t *epoch, int64_t now_us);
/* same run of the same daemon */
bool lease_equal_daemon (struct lease_daemon a, struct lease_daemon b);

#endif
