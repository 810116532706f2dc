/* store_era: what the era of the store's answers means.

   The store may be restored from an earlier copy.  Its revisions then go back
   and are assigned again, and its era, a number that all its answers have, is
   higher than before (see docs/design/store-era.md).  Era 0 means that the
   store has none; as long as no other is seen, nothing changes.  The module
   handles a fleet of 22,000 daemons that all hear of a new era within a second;
   it does no I/O.  */

#ifndef ALMONDVALE_STORE_ERA_H
#define ALMONDVALE_STORE_ERA_H

#include "clock.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Era of the number in a call that has none.  */
#define STORE_ERA_ANY UINT64_MAX
/* Time over which the calls of the daemons are spread after a restore.  */
#define STORE_ERA_SPREAD_US (INT64_C (1) * CLOCK_US_PER_S)
/* Time after which the own entry is read again: a call of the earlier era ends
   within 1 s, and the store delays writes by up to 1.5 s.  */
#define STORE_ERA_RECHECK_US (INT64_C (3) * CLOCK_US_PER_S)
/* Time after a restore in which a daemon that has started takes into account
   that it possibly knows only part of the fleet.  The others hear of the era
   within milliseconds, and write their entries and list within two seconds; the
   store may be down again for some.  */
#define STORE_ERA_PARTIAL_US (INT64_C (10) * CLOCK_US_PER_S)
/* Time that each rank leaves to the one before it to write the entry of another
   daemon: several calls of up to 1 s, each tried again after 0.5 s.  */
#define STORE_ERA_RANK_US (INT64_C (5) * CLOCK_US_PER_S)
/* Ranks that look soon.  The others look only in case none of these knows the
   stops, so rarely that 3,700 lost entries (a failure domain) cost the store 62
   calls a second.  */
#define STORE_ERA_RANKS_SOON 4u
#define STORE_ERA_LATE_RANK_US (INT64_C (60) * CLOCK_US_PER_S)
/* Longest time for which a daemon that starts waits for the others.  */
#define STORE_ERA_START_MAX_US (INT64_C (2) * CLOCK_US_PER_S)

/* Shortest time that a watch waits if the store has an era; the longest one is
   the caller's.  A restored store may keep a watch open without an answer.  The
   watches of 24 daemons that end at different times notice it within seconds,
   at a third more calls.  */
#define STORE_ERA_WATCH_MIN_US (INT64_C (15) * CLOCK_US_PER_S)

/* Types */

enum store_era_verdict
{
  STORE_ERA_CURRENT, /* the answer is what it says */
  STORE_ERA_CROSSED, /* of the current era, but the call had a number of an
                        earlier one that may have matched by chance */
  STORE_ERA_NEW,     /* the first answer of a higher era */
  STORE_ERA_OLD      /* of an earlier era; it is ignored */
};

struct store_era
{
  uint64_t seen;    /* the highest era */
  bool answered;    /* the store has answered a call of this process */
  uint32_t raises;  /* number of restores that this process has seen */
  int64_t calls_us; /* no call before this time */
};

/* What a daemon that starts knows of the others.  */
struct store_era_start
{
  bool listed;         /* the fleet was listed */
  int64_t listed_us;   /* when */
  int64_t answered_us; /* first answer with an era */
  uint32_t heard;      /* daemons that have sent a state */
  uint32_t unheard;    /* daemons listed that have sent none */
  int64_t state_us;    /* time in which a daemon should send its first state */
};

/* Public functions */

/* returns what an answer of an era means; `number_era` is the era of the number
   in the call, or STORE_ERA_ANY */
enum store_era_verdict store_era_judge (const struct store_era *e,
                                        uint64_t number_era,
                                        uint64_t answer_era);
/* records an era in an answer of the store; returns true if the store was
   restored since the last one */
bool store_era_record_answer (struct store_era *e, uint64_t era, bool success,
                              struct str name, int64_t now_us);
/* records an era in the state of another daemon; returns true if the store was
   restored since the last one seen */
bool store_era_record_peer (struct store_era *e, uint64_t era, struct str name,
                            int64_t now_us);
/* returns the time from hearing of an era to a daemon's first call */
int64_t store_era_get_delay (struct str name, uint64_t era);
/* returns the time that a daemon's watch number `count` waits, at most
   `longest_us` */
int64_t store_era_get_watch_wait (const struct store_era *e, struct str name,
                                  uint64_t count, int64_t longest_us);
/* returns the rank of the daemon with the hash `own` among those that could
   write the entry of one that does not answer; `live` has the hashes of the
   names of the others.  The first one writes.  */
uint32_t store_era_get_rank (uint64_t lost, uint64_t own, uint64_t era,
                             const uint64_t *live, uint32_t live_len);
/* returns the time after which a daemon of a rank looks whether the entry was
   written, and writes it if not */
int64_t store_era_get_rank_delay (uint32_t rank);
/* returns true while a daemon that starts waits for what the others know */
bool store_era_is_waiting (const struct store_era_start *s, int64_t now_us);

#endif
