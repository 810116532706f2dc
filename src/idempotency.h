/* idempotency: registry of idempotency keys.

   Each key belongs to a shard.  The holder of the shard, the daemon that has
   its lease, records the key before the request runs, so that a repeated
   request does not run again.

   A key is a UUIDv7, which contains the time of its creation.  The floor of a
   shard is a key time.  A key that is not newer than the floor and has no
   record may have run: an earlier holder may have registered it, or its record
   was removed.  The outcome of such a key is unknown.

   Memory is bounded.  When the table is full, a new key is rejected as not run
   (IDEMPOTENCY_FULL): if a record were dropped early, its key could run again.
   When the outcomes take too much memory, the record of a completed key is
   kept without the outcome, and the outcome of a repeated request is reported
   as unknown.  */

#ifndef ALMONDVALE_IDEMPOTENCY_H
#define ALMONDVALE_IDEMPOTENCY_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define IDEMPOTENCY_KEY_BYTES 16u
#define IDEMPOTENCY_KEY_TEXT_BYTES 36u
#define IDEMPOTENCY_OUTCOME_MAX_BYTES 65536u

/* Types */

/* Rules that a test can disable, to show that it detects the fault which the
   rule prevents.  */
enum idempotency_rule
{
  IDEMPOTENCY_RULE_FLOOR = 1, /* do not run unrecorded keys up to the floor */
  IDEMPOTENCY_RULE_FUTURE = 2 /* reject keys beyond the clock skew */
};

struct idempotency_settings
{
  uint32_t clock_skew_max_ms; /* largest difference between two wall clocks */
  uint32_t retention_ms;      /* age at which a key expires */
  uint32_t records_max;
  size_t outcome_bytes_max; /* sum over all records */
  uint32_t disabled_rules; /* bits of enum idempotency_rule; 0 outside tests */
};

struct idempotency_key
{
  unsigned char bytes[IDEMPOTENCY_KEY_BYTES];
};

/* Id of an attempt, as in struct wire_attempt_id.  */
struct idempotency_attempt
{
  uint64_t origin;
  uint64_t number;
};

enum idempotency_state
{
  IDEMPOTENCY_STATE_RUNNING,
  IDEMPOTENCY_STATE_DONE,      /* has run; the outcome is recorded */
  IDEMPOTENCY_STATE_NO_OUTCOME /* may have run; the outcome is not kept */
};

enum idempotency_result
{
  IDEMPOTENCY_NEW = 0,         /* registered: the request may run */
  IDEMPOTENCY_STILL_RUNNING,   /* ERR_IDEMPOTENCY_KEY_RUNNING */
  IDEMPOTENCY_ALREADY_DONE,    /* the outcome is recorded */
  IDEMPOTENCY_OUTCOME_UNKNOWN, /* ERR_OUTCOME_UNKNOWN */
  IDEMPOTENCY_EXPIRED,         /* ERR_IDEMPOTENCY_KEY_EXPIRED */
  IDEMPOTENCY_REUSED,          /* ERR_IDEMPOTENCY_KEY_REUSED */
  IDEMPOTENCY_FUTURE,          /* ERR_IDEMPOTENCY_KEY_INVALID */
  IDEMPOTENCY_FULL,            /* ERR_REGISTRY_UNAVAILABLE */
  IDEMPOTENCY_SHARD_NOT_HELD,  /* ERR_REGISTRY_UNAVAILABLE */
  IDEMPOTENCY_RESULT_COUNT     /* number of results */
};

struct idempotency_record
{
  struct idempotency_key key;
  uint32_t shard;
  enum idempotency_state state;
  uint64_t fingerprint;
  struct idempotency_attempt attempt;
  int64_t deadline_us; /* a running request has an unknown outcome from then */
  struct str outcome;  /* owned; not interpreted here */
};

struct idempotency_shard
{
  bool held;
  uint64_t epoch;   /* of the lease */
  int64_t floor_ms; /* keys without a record up to this time may have run */
};

struct idempotency_registry
{
  struct idempotency_settings settings;
  uint32_t shards_len;
  struct idempotency_shard *shards;
  struct table records;
  GHashTable *by_key;    /* idempotency_record.key to row id */
  size_t outcome_bytes;  /* sum over all records */
  uint64_t sweep_cursor; /* row id after which the next sweep begins */
};

/* Public functions */

/* Returns the defaults: clock skew 2 s, retention 10 minutes, 100000 records,
   32 MiB of outcomes.  */
struct idempotency_settings idempotency_get_defaults (void);
/* Makes an empty registry that holds none of its `shards` shards.  */
void idempotency_init_registry (struct idempotency_registry *r,
                                uint32_t shards,
                                const struct idempotency_settings *settings);
/* Frees all records.  */
void idempotency_close_registry (struct idempotency_registry *r);
/* Parses a UUIDv7.  Returns false if the text is not one.  */
bool idempotency_parse_key (struct str text, struct idempotency_key *key);
/* Returns the time in a key, in wall-clock milliseconds.  */
int64_t idempotency_get_key_ms (const struct idempotency_key *key);
/* Starts answering for a shard.  Drops its records if the epoch is new.  Keys
   up to the start, and a while after it if the holder is not the first one,
   count as possibly run.  */
void idempotency_start_shard (struct idempotency_registry *r, uint32_t shard,
                              uint64_t epoch, bool first, int64_t wall_ms);
/* Stops answering for a shard.  */
void idempotency_stop_shard (struct idempotency_registry *r, uint32_t shard);
/* Registers a key before its request runs.  */
enum idempotency_result
idempotency_register (struct idempotency_registry *r, uint32_t shard,
                      const struct idempotency_key *key, uint64_t fingerprint,
                      struct idempotency_attempt attempt, int64_t timeout_us,
                      int64_t now_us, int64_t wall_ms, struct str *outcome);
/* Records the outcome of a key's request.  */
bool idempotency_complete (struct idempotency_registry *r,
                           const struct idempotency_key *key,
                           struct idempotency_attempt attempt,
                           struct str outcome);
/* Removes the record of a key whose request certainly did not run.  Returns
   false if the attempt has no running record.  */
bool idempotency_release (struct idempotency_registry *r,
                          const struct idempotency_key *key,
                          struct idempotency_attempt attempt);
/* System: checks some of the records and removes the expired ones.  */
void idempotency_run (struct idempotency_registry *r, int64_t wall_ms);

#endif
