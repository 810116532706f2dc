/* attempt: what the serving daemon knows about each attempt sent to it.

   Answers QUERY after a broken link.  An attempt is void (did not run and
   never will), started (its first byte may have reached the backend server)
   or done.  Rows are kept until the attempt's deadline and a grace time; the
   table is bounded, and a full table answers "started", never "void".  */

#ifndef ALMONDVALE_ATTEMPT_H
#define ALMONDVALE_ATTEMPT_H

#include "table.h"
#include "wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* A QUERY can arrive this long after the deadline of its attempt: the
   round-trip bound of 500 ms in each direction.  */
#define ATTEMPT_GRACE_US 1000000
/* Longest time from sending an attempt to its deadline.  */
#define ATTEMPT_TIMEOUT_MAX_US 120000000
/* Age of an attempt that the sender does not know.  */
#define ATTEMPT_AGE_UNKNOWN INT64_MAX

/* Types */

enum attempt_state
{
  ATTEMPT_QUEUED, /* received, nothing sent to the backend server */
  ATTEMPT_STARTED,
  ATTEMPT_DONE,
  ATTEMPT_VOID
};

enum attempt_receive_result
{
  ATTEMPT_ACCEPTED,  /* new; the job may be queued */
  ATTEMPT_DUPLICATE, /* seen before; drop the message */
  ATTEMPT_VOIDED,    /* a QUERY came first; must not run */
  ATTEMPT_FULL       /* no room: reject as overloaded, not run */
};

struct attempt_row
{
  struct wire_attempt_id id;
  enum attempt_state state;
  int64_t expires_us;
  uint64_t job; /* the owner's row id */
};

struct attempt_table
{
  struct table rows;
  GHashTable *by_id;
  uint32_t rows_max;
  int64_t tracking_since_us; /* when this process began to remember */
  uint64_t sweep_cursor;     /* row id the sweep has reached */
};

/* Public functions */

/* empty table of at most rows_max attempts */
void attempt_init (struct attempt_table *t, uint32_t rows_max, int64_t now_us);
void attempt_close (struct attempt_table *t);
/* REQUEST has arrived */
enum attempt_receive_result attempt_receive (struct attempt_table *t,
                                             struct wire_attempt_id id,
                                             uint64_t job, int64_t deadline_us,
                                             int64_t now_us);
/* call before the first byte is sent; false: void, must not be sent */
bool attempt_start (struct attempt_table *t, struct wire_attempt_id id);
/* the backend server has answered */
void attempt_finish (struct attempt_table *t, struct wire_attempt_id id);
/* rejected or cancelled while queued: never runs */
void attempt_void (struct attempt_table *t, struct wire_attempt_id id);
/* answers QUERY; *job is the queued job that became void, or 0.  `age_us` is
   the time since the attempt was sent */
enum wire_outcome_state attempt_query (struct attempt_table *t,
                                       struct wire_attempt_id id,
                                       int64_t timeout_us, int64_t age_us,
                                       int64_t now_us, uint64_t *job);
/* job of an attempt that is queued or started, or 0 */
uint64_t attempt_get_job (const struct attempt_table *t,
                          struct wire_attempt_id id);
/* system: removes rows past their time, at most `rows` of them looked at */
void attempt_expire (struct attempt_table *t, uint32_t rows, int64_t now_us);

#endif
