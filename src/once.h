/* once: registry of idempotency keys at the shard holder.

   A key is a UUIDv7; its time tells whether the registry can know about it.
   Keys up to the shard's floor that have no record get outcome unknown.  The
   floor covers what an earlier holder may have registered, and every record
   that was removed.

   Memory is bounded.  When the table is full a new key is refused as not run
   (ONCE_FULL): no record is dropped early, since its key could then run again.
   When the outcomes take too much memory a completed key keeps its record
   without the outcome, and a repetition gets outcome unknown.  */

#ifndef ALMONDVALE_ONCE_H
#define ALMONDVALE_ONCE_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define ONCE_KEY_BYTES 16u
#define ONCE_KEY_TEXT_BYTES 36u
#define ONCE_OUTCOME_MAX_BYTES 65536u

/* Types */

/* Rules that a test may turn off to show that its check finds the fault.  */
enum once_rule
{
  ONCE_RULE_FLOOR = 1, /* keys before the holder's start are unknown */
  ONCE_RULE_FUTURE = 2 /* keys beyond the skew are refused */
};

struct once_settings
{
  uint32_t skew_ms; /* largest difference between two wall clocks */
  uint32_t keep_ms; /* age at which a key expires */
  uint32_t records_max;
  size_t outcome_bytes_max; /* sum over all records */
  uint32_t test_rules_off;  /* enum once_rule, 0 outside tests */
};

struct once_key
{
  unsigned char bytes[ONCE_KEY_BYTES];
};

struct once_attempt
{
  uint64_t origin;
  uint64_t number;
};

enum once_state
{
  ONCE_RUNNING,
  ONCE_DONE,
  ONCE_LOST /* ended, or has to be taken as ended, without an outcome */
};

enum once_answer
{
  ONCE_NEW = 0,    /* run it */
  ONCE_IS_RUNNING, /* ERR_IDEMPOTENCY_KEY_RUNNING */
  ONCE_IS_DONE,    /* the recorded outcome */
  ONCE_UNKNOWN,    /* ERR_OUTCOME_UNKNOWN */
  ONCE_EXPIRED,    /* ERR_IDEMPOTENCY_KEY_EXPIRED */
  ONCE_REUSED,     /* ERR_IDEMPOTENCY_KEY_REUSED */
  ONCE_FUTURE,     /* ERR_IDEMPOTENCY_KEY_INVALID */
  ONCE_FULL,       /* ERR_REGISTRY_UNAVAILABLE */
  ONCE_NOT_HELD,   /* ERR_REGISTRY_UNAVAILABLE */
  ONCE_ANSWERS     /* count of answers */
};

struct once_record
{
  struct once_key key;
  uint32_t shard;
  enum once_state state;
  uint64_t fingerprint;
  struct once_attempt attempt;
  int64_t deadline_us; /* a running request has ended by then */
  struct str outcome;  /* owned; opaque to the registry */
};

struct once_shard
{
  bool held;
  uint64_t epoch;
  int64_t floor_ms; /* keys up to this time without a record are unknown */
};

struct once_registry
{
  struct once_settings settings;
  uint32_t shards_len;
  struct once_shard *shards;
  struct table records;
  GHashTable *by_key; /* struct once_key * of a record to its row id */
  size_t outcome_bytes;
  uint64_t cursor; /* record that the next sweep begins after */
};

/* Public functions */

/* skew 2 s, records 10 minutes, 100000 records, 32 MiB of outcomes */
struct once_settings once_get_defaults (void);
/* no shard is held */
void once_init_registry (struct once_registry *r, uint32_t shards,
                         const struct once_settings *settings);
/* frees everything */
void once_close_registry (struct once_registry *r);
/* parses a UUIDv7; false if it is not one */
bool once_parse_key (struct str text, struct once_key *key);
/* time of a key in wall-clock milliseconds */
int64_t once_get_key_ms (const struct once_key *key);
/* begins to hold a shard; records are dropped if the epoch is new */
void once_start_shard (struct once_registry *r, uint32_t shard, uint64_t epoch,
                       int64_t wall_ms);
/* stops answering for a shard */
void once_stop_shard (struct once_registry *r, uint32_t shard);
/* registers a key before its request runs */
enum once_answer once_register (struct once_registry *r, uint32_t shard,
                                const struct once_key *key,
                                uint64_t fingerprint,
                                struct once_attempt attempt,
                                int64_t timeout_us, int64_t now_us,
                                int64_t wall_ms, struct str *outcome);
/* records the outcome of a key's request */
bool once_complete (struct once_registry *r, const struct once_key *key,
                    struct once_attempt attempt, struct str outcome);
/* forgets a key whose request certainly did not run */
bool once_release (struct once_registry *r, const struct once_key *key,
                   struct once_attempt attempt);
/* the system: removes a part of the expired records */
void once_run (struct once_registry *r, int64_t wall_ms);

#endif
