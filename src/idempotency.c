/* idempotency: registry of idempotency keys.  */

#include "idempotency.h"

#include <string.h>

/* Constants */

#define SWEEP_ROWS_MIN 64u
/* A sweep, one call of idempotency_run, checks 1 / SWEEP_DIVISOR of the
   records, so that at 20 sweeps per second all of them are checked within
   10 s.  */
#define SWEEP_DIVISOR 200u
#define UUID_VERSION 7
#define UUID_VARIANT 2
/* Time after the timeout of a request at which its outcome counts as unknown.
   An outcome that arrives later is still recorded.  */
#define DEADLINE_GRACE_US 1000000

/* Internal functions */

static guint
hash_key (gconstpointer key)
{
  return (guint)str_hash ((struct str){ IDEMPOTENCY_KEY_BYTES, key });
}

static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, IDEMPOTENCY_KEY_BYTES) == 0;
}

static struct idempotency_record *
find_record (const struct idempotency_registry *r,
             const struct idempotency_key *key, uint64_t *id)
{
  const uint64_t *found = g_hash_table_lookup (r->by_key, key);

  if (found == NULL)
    return NULL;
  *id = *found;
  return table_get (&r->records, *found);
}

static void
drop_outcome (struct idempotency_registry *r,
              struct idempotency_record *record)
{
  r->outcome_bytes -= record->outcome.len;
  if (record->outcome.data != NULL)
    str_free (&record->outcome);
}

static void
remove_record (struct idempotency_registry *r,
               struct idempotency_record *record, uint64_t id)
{
  drop_outcome (r, record);
  g_hash_table_remove (r->by_key, &record->key);
  table_remove (&r->records, id);
}

static bool
is_same_attempt (struct idempotency_attempt a, struct idempotency_attempt b)
{
  return a.origin == b.origin && a.number == b.number;
}

/* Returns false for a rule that a test has disabled.  */
static bool
is_rule_enabled (const struct idempotency_registry *r,
                 enum idempotency_rule rule)
{
  return (r->settings.disabled_rules & (uint32_t)rule) == 0;
}

static int
get_hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

/* Returns the result for a key that has a record.  An attempt that registers
   its key again did not receive the first result, so it has not run: it gets
   IDEMPOTENCY_NEW again.  */
static enum idempotency_result
get_result_for_record (const struct idempotency_record *record,
                       uint64_t fingerprint,
                       struct idempotency_attempt attempt, int64_t now_us,
                       struct str *outcome)
{
  if (record->fingerprint != fingerprint)
    return IDEMPOTENCY_REUSED;
  if (record->state == IDEMPOTENCY_STATE_DONE)
    {
      *outcome = record->outcome;
      return IDEMPOTENCY_ALREADY_DONE;
    }
  if (record->state == IDEMPOTENCY_STATE_NO_OUTCOME
      || now_us >= record->deadline_us)
    return IDEMPOTENCY_OUTCOME_UNKNOWN;
  return is_same_attempt (record->attempt, attempt)
             ? IDEMPOTENCY_NEW
             : IDEMPOTENCY_STILL_RUNNING;
}

/* Returns the result for a key without a record, by the time in the key.  */
static enum idempotency_result
get_result_for_new_key (const struct idempotency_registry *r, uint32_t shard,
                        int64_t key_ms, int64_t wall_ms)
{
  if (key_ms > wall_ms + r->settings.clock_skew_max_ms
      && is_rule_enabled (r, IDEMPOTENCY_RULE_FUTURE))
    return IDEMPOTENCY_FUTURE;
  if (key_ms + r->settings.retention_ms <= wall_ms)
    return IDEMPOTENCY_EXPIRED;
  if (key_ms <= r->shards[shard].floor_ms
      && is_rule_enabled (r, IDEMPOTENCY_RULE_FLOOR))
    return IDEMPOTENCY_OUTCOME_UNKNOWN;
  if (r->records.count >= r->settings.records_max)
    return IDEMPOTENCY_FULL;
  return IDEMPOTENCY_NEW;
}

static void
remove_shard_records (struct idempotency_registry *r, uint32_t shard)
{
  void *row;

  for (uint64_t id = table_next (&r->records, 0, &row); id != 0;
       id = table_next (&r->records, id, &row))
    if (((struct idempotency_record *)row)->shard == shard)
      remove_record (r, row, id);
}

/* Public functions */

struct idempotency_settings
idempotency_get_defaults (void)
{
  return (struct idempotency_settings){ .clock_skew_max_ms = 2000,
                                        .retention_ms = 600000,
                                        .records_max = 100000,
                                        .outcome_bytes_max
                                        = (size_t)32 * 1024 * 1024 };
}

void
idempotency_init_registry (struct idempotency_registry *r, uint32_t shards,
                           const struct idempotency_settings *settings)
{
  *r = (struct idempotency_registry){ .settings = *settings,
                                      .shards_len = shards };
  r->shards = g_new0 (struct idempotency_shard, shards);
  table_init (&r->records, sizeof (struct idempotency_record));
  r->by_key = g_hash_table_new_full (hash_key, equal_keys, NULL, g_free);
}

void
idempotency_close_registry (struct idempotency_registry *r)
{
  void *row;

  g_hash_table_destroy (r->by_key);
  for (uint64_t id = table_next (&r->records, 0, &row); id != 0;
       id = table_next (&r->records, id, &row))
    drop_outcome (r, row);
  table_close (&r->records);
  g_free (r->shards);
}

/**
 * idempotency_parse_key - parses an idempotency key
 * @text: value of the header
 * @key: receives the key
 *
 * Return: true if @text is a UUID of version 7 in its usual form, with digits
 * in upper or lower case.
 */
bool
idempotency_parse_key (struct str text, struct idempotency_key *key)
{
  uint32_t digits = 0;

  memset (key, 0, sizeof *key);
  if (text.len != IDEMPOTENCY_KEY_TEXT_BYTES)
    return false;
  for (size_t i = 0; i < text.len; i++)
    {
      bool hyphen = i == 8 || i == 13 || i == 18 || i == 23;
      int value = get_hex_value (text.data[i]);

      if (hyphen != (text.data[i] == '-') || (!hyphen && value < 0))
        return false;
      if (hyphen)
        continue;
      key->bytes[digits / 2]
          |= (unsigned char)(digits % 2 == 0 ? value << 4 : value);
      digits++;
    }
  return key->bytes[6] >> 4 == UUID_VERSION
         && key->bytes[8] >> 6 == UUID_VARIANT;
}

int64_t
idempotency_get_key_ms (const struct idempotency_key *key)
{
  int64_t ms = 0;

  for (int i = 0; i < 6; i++)
    ms = ms << 8 | key->bytes[i];
  return ms;
}

/**
 * idempotency_start_shard - starts answering for a shard
 * @r: registry
 * @shard: shard
 * @epoch: epoch of the lease
 * @first: true if no daemon has held the shard before
 * @wall_ms: wall-clock time
 *
 * With the same epoch as before no other daemon has held the shard in between,
 * so the records are kept.  With a new epoch they are dropped, and the floor
 * becomes the latest time of a key that the previous holder can have accepted.
 * That is two clock skews ahead: the previous holder accepted keys up to one
 * skew ahead of its own clock, which may have been one skew ahead of this
 * one.  The first holder has no previous one.  Its floor is its start, so that
 * keys of a fleet that was stopped to change its number of shards, which moves
 * keys to other shards, do not count as new.
 */
void
idempotency_start_shard (struct idempotency_registry *r, uint32_t shard,
                         uint64_t epoch, bool first, int64_t wall_ms)
{
  struct idempotency_shard *s = &r->shards[shard];

  s->held = true;
  if (s->epoch == epoch)
    return;
  s->epoch = epoch;
  s->floor_ms = wall_ms;
  if (!first)
    s->floor_ms += 2 * (int64_t)r->settings.clock_skew_max_ms;
  remove_shard_records (r, shard);
}

void
idempotency_stop_shard (struct idempotency_registry *r, uint32_t shard)
{
  r->shards[shard].held = false;
}

/**
 * idempotency_register - registers a key before its request runs
 * @r: registry
 * @shard: shard of the key
 * @key: key
 * @fingerprint: hash of the request, to detect a key reused for another one
 * @attempt: id of the attempt that will run
 * @timeout_us: time after which the attempt has certainly ended
 * @now_us: time read after the request was received
 * @wall_ms: wall-clock time
 * @outcome: receives the outcome if the result is %IDEMPOTENCY_ALREADY_DONE: a
 *           view that is valid until the registry changes
 *
 * Return: the result; the request is run only if it is %IDEMPOTENCY_NEW.
 */
enum idempotency_result
idempotency_register (struct idempotency_registry *r, uint32_t shard,
                      const struct idempotency_key *key, uint64_t fingerprint,
                      struct idempotency_attempt attempt, int64_t timeout_us,
                      int64_t now_us, int64_t wall_ms, struct str *outcome)
{
  uint64_t id = 0;
  struct idempotency_record *record = find_record (r, key, &id);
  enum idempotency_result result;
  void *row;

  *outcome = STR_EMPTY;
  if (shard >= r->shards_len || !r->shards[shard].held)
    return IDEMPOTENCY_SHARD_NOT_HELD;
  if (record != NULL)
    return get_result_for_record (record, fingerprint, attempt, now_us,
                                  outcome);
  result = get_result_for_new_key (r, shard, idempotency_get_key_ms (key),
                                   wall_ms);
  if (result != IDEMPOTENCY_NEW)
    return result;
  id = table_add (&r->records, &row);
  record = row;
  record->key = *key;
  record->shard = shard;
  record->fingerprint = fingerprint;
  record->attempt = attempt;
  record->deadline_us = now_us + timeout_us + DEADLINE_GRACE_US;
  record->outcome = STR_EMPTY;
  g_hash_table_insert (r->by_key, &record->key, g_memdup2 (&id, sizeof id));
  return IDEMPOTENCY_NEW;
}

/**
 * idempotency_complete - records the outcome of a key's request
 * @r: registry
 * @key: key
 * @attempt: attempt that registered the key
 * @outcome: outcome, copied; empty if the request may have run but its outcome
 *           is not known
 *
 * An outcome that is larger than %IDEMPOTENCY_OUTCOME_MAX_BYTES, or for which
 * no memory is left, is not kept.
 *
 * Return: false if the attempt has no running record.
 */
bool
idempotency_complete (struct idempotency_registry *r,
                      const struct idempotency_key *key,
                      struct idempotency_attempt attempt, struct str outcome)
{
  uint64_t id = 0;
  struct idempotency_record *record = find_record (r, key, &id);

  if (record == NULL || record->state != IDEMPOTENCY_STATE_RUNNING
      || !is_same_attempt (record->attempt, attempt))
    return false;
  if (outcome.len == 0 || outcome.len > IDEMPOTENCY_OUTCOME_MAX_BYTES
      || r->outcome_bytes + outcome.len > r->settings.outcome_bytes_max)
    {
      record->state = IDEMPOTENCY_STATE_NO_OUTCOME;
      return true;
    }
  record->state = IDEMPOTENCY_STATE_DONE;
  record->outcome = str_copy (outcome);
  r->outcome_bytes += outcome.len;
  return true;
}

bool
idempotency_release (struct idempotency_registry *r,
                     const struct idempotency_key *key,
                     struct idempotency_attempt attempt)
{
  uint64_t id = 0;
  struct idempotency_record *record = find_record (r, key, &id);

  if (record == NULL || record->state != IDEMPOTENCY_STATE_RUNNING
      || !is_same_attempt (record->attempt, attempt))
    return false;
  remove_record (r, record, id);
  return true;
}

/**
 * idempotency_run - removes expired records
 * @r: registry
 * @wall_ms: wall-clock time
 *
 * Each call checks only some of the records.  The floor of the shard, up to
 * which a key without a record may have run, rises to the time of a removed
 * key: if the wall clock is set back later, the key still does not count as
 * new.
 */
void
idempotency_run (struct idempotency_registry *r, int64_t wall_ms)
{
  uint32_t rows = SWEEP_ROWS_MIN + r->records.count / SWEEP_DIVISOR;
  void *row;

  while (rows-- > 0)
    {
      struct idempotency_record *record;
      int64_t key_ms;

      r->sweep_cursor = table_next (&r->records, r->sweep_cursor, &row);
      if (r->sweep_cursor == 0)
        return;
      record = row;
      key_ms = idempotency_get_key_ms (&record->key);
      if (key_ms + r->settings.retention_ms > wall_ms)
        continue;
      r->shards[record->shard].floor_ms
          = MAX (r->shards[record->shard].floor_ms, key_ms);
      remove_record (r, record, r->sweep_cursor);
    }
}
