/* store_era: what the era of the store's answers means.  */

#include "store_era.h"

#include <glib.h>
#include <xxhash.h>

/* Internal functions */

static uint64_t
hash_pair (uint64_t a, uint64_t b, uint64_t era)
{
  uint64_t parts[3] = { a, b, era };

  return XXH64 (parts, sizeof parts, 0);
}

static void
raise_era (struct store_era *e, uint64_t era, struct str name, int64_t now_us)
{
  e->seen = era;
  e->raises++;
  e->calls_us = now_us + store_era_get_delay (name, era);
}

/* Public functions */

/**
 * store_era_judge - decides what an answer means
 * @e: eras seen so far
 * @number_era: era of the number in the call: of the version that a write
 *   requires or that a watch starts from; STORE_ERA_ANY if it has none
 * @answer_era: era of the answer; 0 if it has none
 *
 * A higher era than any seen is a restore, except in the first answer.  An
 * answer without an era counts as one of the current era, since something in
 * front of the store may refuse a call.
 *
 * Return: the meaning.
 */
enum store_era_verdict
store_era_judge (const struct store_era *e, uint64_t number_era,
                 uint64_t answer_era)
{
  if (answer_era > e->seen && (e->answered || e->seen > 0))
    return STORE_ERA_NEW;
  if (answer_era > 0 && answer_era < e->seen)
    return STORE_ERA_OLD;
  if (number_era != STORE_ERA_ANY && number_era != MAX (answer_era, e->seen))
    return STORE_ERA_CROSSED;
  return STORE_ERA_CURRENT;
}

/**
 * store_era_record_answer - records the era of an answer
 * @e: eras seen so far
 * @era: era of the answer; 0 if it has none
 * @success: the call succeeded; a refusal can be the answer of something in
 *   front of the store, so that its lack of an era says nothing
 * @name: name of this daemon
 * @now_us: current time
 *
 * Return: true if the store was restored.
 */
bool
store_era_record_answer (struct store_era *e, uint64_t era, bool success,
                         struct str name, int64_t now_us)
{
  bool first = !e->answered && e->seen == 0;

  if (era > 0 || success)
    e->answered = true;
  if (era <= e->seen)
    return false;
  if (first)
    {
      e->seen = era;
      return false;
    }
  raise_era (e, era, name, now_us);
  return true;
}

/**
 * store_era_record_peer - records the era in the state of another daemon
 * @e: eras seen so far
 * @era: era of that daemon; 0 if it has seen none
 * @name: name of this daemon
 * @now_us: current time
 *
 * A process that the store has not answered has nothing of an earlier era, but
 * a call of it may still be answered with one.
 *
 * Return: true if the store was restored since this process called it.
 */
bool
store_era_record_peer (struct store_era *e, uint64_t era, struct str name,
                       int64_t now_us)
{
  if (era <= e->seen)
    return false;
  if (!e->answered)
    {
      e->seen = era;
      return false;
    }
  raise_era (e, era, name, now_us);
  return true;
}

int64_t
store_era_get_delay (struct str name, uint64_t era)
{
  return (int64_t)(hash_pair (str_hash (name), 0, era)
                   % (uint64_t)STORE_ERA_SPREAD_US);
}

int64_t
store_era_get_watch_wait (const struct store_era *e, struct str name,
                          uint64_t count, int64_t longest_us)
{
  if (e->seen == 0 || longest_us <= STORE_ERA_WATCH_MIN_US)
    return longest_us;
  return STORE_ERA_WATCH_MIN_US
         + (int64_t)(hash_pair (str_hash (name), count, e->seen)
                     % (uint64_t)(longest_us - STORE_ERA_WATCH_MIN_US));
}

/**
 * store_era_get_rank - ranks the daemons that could write another one's entry
 * @lost: hash of the name of the daemon that does not answer
 * @own: hash of the name of this daemon
 * @era: current era
 * @live: hashes of the names of the other live daemons
 * @live_len: number of them
 *
 * Rendezvous hashing: daemons that know the same live ones choose the same, and
 * if that one ends, the order of the others stays.
 *
 * Return: number of live daemons that rank higher than this one.
 */
uint32_t
store_era_get_rank (uint64_t lost, uint64_t own, uint64_t era,
                    const uint64_t *live, uint32_t live_len)
{
  uint64_t hash = hash_pair (lost, own, era);
  uint32_t rank = 0;

  for (uint32_t i = 0; i < live_len; i++)
    rank += hash_pair (lost, live[i], era) > hash;
  return rank;
}

int64_t
store_era_get_rank_delay (uint32_t rank)
{
  return rank
         * (rank < STORE_ERA_RANKS_SOON ? STORE_ERA_RANK_US
                                        : STORE_ERA_LATE_RANK_US);
}

/**
 * store_era_is_waiting - decides whether a daemon that starts uses the store
 * @s: what it knows of the others
 * @now_us: current time
 *
 * The store has possibly lost a configuration or a stop that the others know.
 * Entries of VMs that no longer exist never send a state, so that a daemon that
 * has heard some of the others does not wait for all.
 *
 * Return: true until all listed daemons were heard, or the time is over.
 */
bool
store_era_is_waiting (const struct store_era_start *s, int64_t now_us)
{
  if (now_us - s->answered_us >= STORE_ERA_START_MAX_US)
    return false;
  if (!s->listed)
    return true;
  return s->unheard > 0
         && (s->heard == 0 || now_us - s->listed_us < s->state_us);
}
