/* idempotency: registry of idempotency keys at the shard holder.

   A key is a UUIDv7; its time tells whether the registry can know about it.
   Keys up to the shard's floor that have no record get outcome unknown.  The
   floor covers what an earlier holder may have registered, and every record
   that was removed.

   Memory is bounded.  When the table is full a new key is refused as not run
   (IDEMPOTENCY_FULL): no record is dropped early, since its key could then run again.
   When the outcomes take too much memory a completed key keeps its record
   without the outcome, and a repetition gets outcome unknown.  */

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

/* Rules that a test may turn off to show that its check finds the fault.  */
enum idempotency_rule
{
  IDEMPOTENCY_RULE_FLOOR = 1, /* keys before the holder's start are unknown */
  IDEMPOTENCY_RULE_FUTURE = 2 /* keys beyond the skew are refused */
};

struct idempotency_settings
{
  uint32_t clock_skew_max_ms; /* largest difference between two wall clocks */
  uint32_t retention_ms;      /* age at which a key expires */
  uint32_t records_max;
  size_t outcome_bytes_max; /* sum over all records */
  uint32_t test_rules_off;  /* enum idempotency_rule, 0 outside tests */
};

struct idempotency_key
{
  unsigned char bytes[IDEMPOTENCY_KEY_BYTES];
};

struct idempotency_attempt
{
  uint64_t origin;
  uint64_t number;
};

enum idempotency_state
{
  IDEMPOTENCY_RUNNING,
  IDEMPOTENCY_DONE,
  IDEMPOTENCY_NO_OUTCOME /* ended, or has to be taken as ended, without an outcome */
};

enum idempotency_result
{
  IDEMPOTENCY_NEW = 0,    /* run it */
  IDEMPOTENCY_IS_RUNNING, /* ERR_IDEMPOTENCY_KEY_RUNNING */
  IDEMPOTENCY_IS_DONE,    /* the recorded outcome */
  IDEMPOTENCY_UNKNOWN,    /* ERR_OUTCOME_UNKNOWN */
  IDEMPOTENCY_EXPIRED,    /* ERR_IDEMPOTENCY_KEY_EXPIRED */
  IDEMPOTENCY_REUSED,     /* ERR_IDEMPOTENCY_KEY_REUSED */
  IDEMPOTENCY_FUTURE,     /* ERR_IDEMPOTENCY_KEY_INVALID */
  IDEMPOTENCY_FULL,       /* ERR_REGISTRY_UNAVAILABLE */
  IDEMPOTENCY_NOT_HELD,   /* ERR_REGISTRY_UNAVAILABLE */
  IDEMPOTENCY_RESULTS     /* count of answers */
};

struct idempotency_record
{
  struct idempotency_key key;
  uint32_t shard;
  enum idempotency_state state;
  uint64_t fingerprint;
  struct idempotency_attempt attempt;
  int64_t deadline_us; /* a running request has ended by then */
  struct str outcome;  /* owned; opaque to the registry */
};

struct idempotency_shard
{
  bool held;
  uint64_t epoch;
  int64_t floor_ms; /* keys up to this time without a record are unknown */
};

struct idempotency_registry
{
  struct idempotency_settings settings;
  uint32_t shards_len;
  struct idempotency_shard *shards;
  struct table records;
  GHashTable *by_key; /* struct idempotency_key * of a record to its row id */
  size_t outcome_bytes;
  uint64_t sweep_cursor; /* record that the next sweep begins after */
};

/* Public functions */

/* skew 2 s, records 10 minutes, 100000 records, 32 MiB of outcomes */
struct idempotency_settings idempotency_get_defaults (void);
/* no shard is held */
void idempotency_init_registry (struct idempotency_registry *r,
                                uint32_t shards,
                                const struct idempotency_settings *settings);
/* frees everything */
void idempotency_close_registry (struct idempotency_registry *r);
/* parses a UUIDv7; false if it is not one */
bool idempotency_parse_key (struct str text, struct idempotency_key *key);
/* time of a key in wall-clock milliseconds */
int64_t idempotency_get_key_ms (const struct idempotency_key *key);
/* begins to hold a shard; records are dropped if the epoch is new */
void idempotency_start_shard (struct idempotency_registry *r, uint32_t shard,
                              uint64_t epoch, int64_t wall_ms);
/* stops answering for a shard */
void idempotency_stop_shard (struct idempotency_registry *r, uint32_t shard);
/* registers a key before its request runs */
enum idempotency_result
idempotency_register (struct idempotency_registry *r, uint32_t shard,
                      const struct idempotency_key *key, uint64_t fingerprint,
                      struct idempotency_attempt attempt, int64_t timeout_us,
                      int64_t now_us, int64_t wall_ms, struct str *outcome);
/* records the outcome of a key's request */
bool idempotency_complete (struct idempotency_registry *r,
                           const struct idempotency_key *key,
                           struct idempotency_attempt attempt,
                           struct str outcome);
/* forgets a key whose request certainly did not run */
bool idempotency_release (struct idempotency_registry *r,
                          const struct idempotency_key *key,
                          struct idempotency_attempt attempt);
/* the system: removes a part of the expired records */
void idempotency_run (struct idempotency_registry *r, int64_t wall_ms);

#endif
