/* lease: shard leases with epochs, named candidates and promises.

   A shard is a fixed part of the workspaces and idempotency keys.  Its holder
   grants rate tokens for these workspaces and registers these keys.  An epoch
   numbers the takeovers of a shard.  The platform stores one object for each
   shard.  The object names the holder of the lease and the candidates that may
   take over when the lease expires.  While the platform cannot be reached, a
   holder extends its lease if the candidates promise not to take over.

   This module decides for every shard what the daemon reads, writes and
   requests, and whether it grants tokens.  The caller performs the actions and
   reports their results as events.  The caller passes the time of a clock that
   also runs during suspend, and reads the clock after it has received the
   event.  Shard objects are never deleted: an epoch that started again at 1
   would not order holders.  */

#ifndef ALMONDVALE_LEASE_H
#define ALMONDVALE_LEASE_H

#include "table.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define LEASE_CANDIDATES 2u
#define LEASE_SHARDS_MAX 256u
/* Clock rates of two VMs differ by less than 1 / LEASE_DRIFT_DIVISOR.  */
#define LEASE_DRIFT_DIVISOR 100
#define LEASE_NO_TIME INT64_MIN

/* Largest number of candidates recorded from writes with unknown outcome:
   those of two such writes.  */
#define LEASE_PENDING_CANDIDATES (2 * LEASE_CANDIDATES)
/* Largest number of daemons whose promises a holder needs to extend its
   lease.  */
#define LEASE_PROMISERS (LEASE_CANDIDATES + LEASE_PENDING_CANDIDATES)

/* Epoch of the first holder of a shard.  Objects are never deleted, so no
   daemon has held the shard before.  */
#define LEASE_FIRST_EPOCH 1u

/* Types */

/* One run of a daemon, from the start to the end of its process.  A restart
   has a higher incarnation.  */
struct lease_daemon
{
  uint64_t id; /* 0 if there is no daemon */
  uint64_t incarnation;
};

/* Fields of the object shards/<i>.  */
struct lease_object
{
  struct lease_daemon holder;
  uint64_t epoch; /* incremented by every takeover */
  struct lease_daemon candidates[LEASE_CANDIDATES];
  uint32_t term_ms;
  bool released; /* the holder released the shard; candidates need not wait */
};

enum lease_state
{
  LEASE_OBSERVER, /* neither holder nor candidate */
  /* may take over if the version stays unchanged for a term */
  LEASE_CANDIDATE,
  LEASE_PROMISED,    /* candidate that has promised not to take over yet */
  LEASE_TAKING_OVER, /* takeover write pending or with unknown outcome */
  LEASE_WAITING,     /* took over; waits until previous grants expire */
  LEASE_HOLDING,
  LEASE_EXTENDED, /* term ended; extended by the candidates' promises */
  LEASE_EXPIRED   /* lease ended, but the object still names this daemon */
};

/* Rules that a test can disable to show that its check detects the fault.  */
enum lease_rule
{
  LEASE_RULE_WAIT = 1,        /* a new holder waits for older grants */
  LEASE_RULE_PROMISE = 2,     /* a candidate keeps its promise */
  LEASE_RULE_UNRESOLVED = 4,  /* no promise while a takeover is unresolved */
  LEASE_RULE_INCARNATION = 8, /* a restarted candidate must not take over */
  LEASE_RULE_TERM_FROM_SEND = 16 /* a term starts before its write is sent */
};

struct lease_settings
{
  uint32_t shards;
  uint32_t term_ms;
  uint32_t promise_ms;
  uint32_t promise_interval_ms; /* interval between requests for a promise */
  uint32_t retry_interval_ms;   /* interval between calls to the platform */
  uint32_t round_trip_ms;       /* bound on the round-trip time of a grant */
  uint32_t grant_validity_ms;   /* longest validity of a grant */
  /* A version that no write has replaced for this time counts as abandoned,
     and the preferred daemon takes the shard over.  */
  uint32_t abandon_ms;
  /* a holder stops granting this long before abandon_ms has passed since its
     last write */
  uint32_t abandon_margin_ms;
  uint32_t disabled_rules; /* bits of enum lease_rule; 0 outside tests */
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
  /* When this daemon first learned of that version.  */
  int64_t version_seen_us;
  /* The write of that version was not sent before this.  */
  int64_t lease_start_us;
  /* The takeover write was not sent before this.  */
  int64_t takeover_us;
  enum lease_operation op;          /* pending call to the platform */
  uint64_t op_request;              /* number of the pending operation */
  int64_t op_sent_us;               /* when its action was added */
  struct lease_object write_object; /* object of the pending write */
  int64_t next_op_us;               /* earliest time of the next operation */
  /* The platform answered that the object does not exist.  */
  bool absent;
  bool read_first; /* read before the next write */
  /* The object is to be read soon: this daemon rejected a request for a
     promise, or the holder was looked up.  */
  bool read_requested;
  bool store_unreachable; /* the platform did not answer the last operation */
  bool unresolved;        /* the outcome of a write is unknown */
  /* Candidates named by such writes, and whether there were too many.  */
  struct lease_daemon pending[LEASE_PENDING_CANDIDATES];
  bool pending_overflow;
  bool unresolved_takeover;   /* such a write would start a new epoch */
  int64_t unresolved_sent_us; /* when the action of the first was added */
  int64_t promised_until_us;  /* as candidate: no takeover before this time */
  /* As holder: promises of the object's candidates, followed by those of the
     pending candidates.  */
  int64_t promise_until_us[LEASE_PROMISERS];
  int64_t promise_requested_us[LEASE_PROMISERS];
  uint64_t promise_request[LEASE_PROMISERS]; /* 0: none unanswered */
  /* Candidates for the next write.  */
  struct lease_daemon next_candidates[LEASE_CANDIDATES];
  /* this daemon creates the shard, or takes it over if abandoned */
  bool preferred;
  /* LEASE_START_GRANTING came after the last LEASE_STOP_GRANTING */
  bool granting;
};

enum lease_action_kind
{
  LEASE_READ,
  /* write if the object has this version; 0: if it does not exist */
  LEASE_WRITE,
  LEASE_REQUEST_PROMISE,
  LEASE_REPLY_PROMISE,
  LEASE_START_GRANTING, /* with empty state if the epoch is new */
  LEASE_STOP_GRANTING
};

struct lease_action
{
  enum lease_action_kind kind;
  uint32_t shard;
  uint64_t request; /* number that the answering event repeats */
  uint64_t version;
  struct lease_object object;
  struct lease_daemon peer;
  uint64_t epoch;
  uint32_t promise_ms; /* 0: request rejected */
  /* time since this run of the daemon started; 0: not known */
  uint32_t age_ms;
};

enum lease_event_kind
{
  LEASE_EVENT_READ,
  LEASE_EVENT_ABSENT,
  LEASE_EVENT_WRITTEN,
  LEASE_EVENT_CONFLICT,
  /* outcome of a write is unknown; it may still take effect */
  LEASE_EVENT_UNKNOWN,
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
  /* time since the start of the run that replied; 0: not known */
  uint32_t age_ms;
  /* Earliest incarnation of the peer that is known at its present address, or
     0.  */
  uint64_t first_incarnation_at_address;
};

struct lease_table
{
  struct lease_settings settings;
  struct lease_daemon self;
  /* Latest possible start of this run, or LEASE_NO_TIME.  */
  int64_t started_us;
  struct lease_shard *shards;
  /* struct lease_action; the caller performs and removes them */
  struct table actions;
  uint64_t last_request;
  bool leaving; /* the daemon shuts down and releases its shards */
};

/* A live member, as input to the choice of holders and candidates.  */
struct lease_member
{
  struct lease_daemon daemon;
  uint32_t domain; /* failure domain */
};

/* Public functions */

/* Returns the default settings.  */
struct lease_settings lease_get_defaults (void);
/* Adds one row for each shard, with no known version.  */
void lease_init_table (struct lease_table *t, struct lease_daemon self,
                       const struct lease_settings *settings);
/* Frees the rows.  */
void lease_close_table (struct lease_table *t);
/* Sets the candidates for the next write and whether this daemon creates the
   shard.  */
void
lease_set_candidates (struct lease_table *t, uint32_t shard,
                      const struct lease_daemon candidates[LEASE_CANDIDATES],
                      bool preferred);
/* Chooses the holder and the candidates of a shard by rendezvous hashing.  */
struct lease_daemon
lease_choose_candidates (uint32_t shard, const struct lease_member *members,
                         uint32_t len, struct lease_daemon holder,
                         struct lease_daemon candidates[LEASE_CANDIDATES]);
/* Applies one event; may add actions.  */
void lease_apply_event (struct lease_table *t, const struct lease_event *e,
                        int64_t now_us);
/* System: adds the actions that are due.  */
void lease_run (struct lease_table *t, int64_t now_us);
/* Stops granting and releases the shards to their candidates.  */
void lease_release_all (struct lease_table *t);
/* Returns the number of shards whose object names this daemon as holder.  */
uint32_t lease_count_held (const struct lease_table *t);
/* Returns true if this daemon may grant tokens and register keys for the shard
   at this time.  */
bool lease_is_granting (const struct lease_table *t, uint32_t shard,
                        int64_t now_us);
/* Returns the holder in the version known here, or id 0, and causes a read of
   the object.  */
struct lease_daemon lease_get_holder (struct lease_table *t, uint32_t shard,
                                      uint64_t *epoch, int64_t now_us);
/* Returns true for the same run of the same daemon.  */
bool lease_equal_daemon (struct lease_daemon a, struct lease_daemon b);

#endif
