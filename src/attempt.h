/* attempt: state of each attempt sent to this serving daemon.

   An attempt is one try of a request, which arrives as a WIRE_REQUEST.  If the
   link to this daemon breaks, the sender checks with a WIRE_QUERY whether the
   attempt ran.  It is void (it did not run and never will), started (its first
   byte may have reached the backend server) or done.  A row is kept until the
   attempt's deadline plus a grace time.  The table is bounded; when it is
   full, an attempt that has no row is reported as started, never as void.  */

#ifndef ALMONDVALE_ATTEMPT_H
#define ALMONDVALE_ATTEMPT_H

#include "table.h"
#include "wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Longest time after the deadline of an attempt at which its WIRE_QUERY can
   arrive: the round-trip bound of 500 ms in each direction.  */
#define ATTEMPT_GRACE_US 1000000
/* Longest time from sending an attempt to its deadline.  */
#define ATTEMPT_TIMEOUT_MAX_US 120000000
/* Age of an attempt if it is not known when the attempt was sent.  */
#define ATTEMPT_AGE_UNKNOWN INT64_MAX

/* Types */

enum attempt_state
{
  ATTEMPT_QUEUED,  /* received, nothing sent to the backend server */
  ATTEMPT_STARTED, /* the backend server may have received its first byte */
  ATTEMPT_DONE,    /* the backend server has responded */
  ATTEMPT_VOID     /* did not run and never will */
};

enum attempt_receive_result
{
  ATTEMPT_ACCEPTED,  /* new; queue the job */
  ATTEMPT_DUPLICATE, /* received before; drop the message */
  ATTEMPT_VOIDED, /* voided by a WIRE_QUERY or a cancellation; must not run */
  ATTEMPT_FULL    /* the table is full: reject as overloaded and not run */
};

struct attempt_row
{
  struct wire_attempt_id id;
  enum attempt_state state;
  int64_t expires_us;
  uint64_t job; /* row id in the caller's table of jobs */
};

struct attempt_table
{
  struct table rows;
  GHashTable *by_id; /* attempt_row.id to row id */
  uint32_t rows_max;
  int64_t tracking_since_us; /* earlier attempts are unknown */
  uint64_t sweep_cursor;     /* row id after which the next sweep begins */
};

/* Public functions */

/* Makes an empty table of at most rows_max attempts.  */
void attempt_init (struct attempt_table *t, uint32_t rows_max, int64_t now_us);
void attempt_close (struct attempt_table *t);
/* Records a received WIRE_REQUEST.  */
enum attempt_receive_result attempt_receive (struct attempt_table *t,
                                             struct wire_attempt_id id,
                                             uint64_t job, int64_t deadline_us,
                                             int64_t now_us);
/* Marks an attempt as started, before its first byte is sent to the backend
   server.  Returns false if it must not be sent.  */
bool attempt_start (struct attempt_table *t, struct wire_attempt_id id);
/* Marks a started attempt as queued again, after an answer of the backend
   server that says that it did not run.  */
void attempt_requeue (struct attempt_table *t, struct wire_attempt_id id);
/* Marks an attempt as done, after the backend server has responded.  */
void attempt_finish (struct attempt_table *t, struct wire_attempt_id id);
/* Marks a queued attempt as void, after it was rejected or cancelled.  */
void attempt_void (struct attempt_table *t, struct wire_attempt_id id);
/* Answers a WIRE_QUERY.  If this voids a queued attempt, sets *job to its job,
   otherwise to 0.  `age_us` is the time since the attempt was sent.  */
enum wire_outcome_state attempt_query (struct attempt_table *t,
                                       struct wire_attempt_id id,
                                       int64_t timeout_us, int64_t age_us,
                                       int64_t now_us, uint64_t *job);
/* Returns the job of an attempt that is queued or started, or 0.  */
uint64_t attempt_get_job (const struct attempt_table *t,
                          struct wire_attempt_id id);
/* System: checks at most `rows` rows and removes the expired ones.  */
void attempt_expire (struct attempt_table *t, uint32_t rows, int64_t now_us);

#endif
