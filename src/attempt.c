/* attempt: state of each attempt sent to this serving daemon.  */

#include "attempt.h"

/* Internal functions */

static guint
hash_id (gconstpointer p)
{
  const struct wire_attempt_id *id = p;

  return (guint)(id->origin ^ (id->origin >> 32)
                 ^ (id->number * UINT64_C (0x9e3779b97f4a7c15) >> 32));
}

static gboolean
equal_id (gconstpointer p, gconstpointer q)
{
  const struct wire_attempt_id *a = p;
  const struct wire_attempt_id *b = q;

  return wire_equal_attempt (*a, *b);
}

/* Rows never move, so the keys of by_id point into them.  */
static struct attempt_row *
find_row (const struct attempt_table *t, struct wire_attempt_id id)
{
  uint64_t *row_id = g_hash_table_lookup (t->by_id, &id);

  return row_id != NULL ? table_get (&t->rows, *row_id) : NULL;
}

static int64_t
add_saturated (int64_t a_us, int64_t b_us)
{
  int64_t sum_us;

  if (__builtin_add_overflow (a_us, b_us, &sum_us))
    return INT64_MAX;
  return sum_us;
}

static struct attempt_row *
add_row (struct attempt_table *t, struct wire_attempt_id id,
         int64_t deadline_us, int64_t now_us)
{
  int64_t latest_us = now_us + ATTEMPT_TIMEOUT_MAX_US;
  uint64_t *row_id;
  void *row;
  struct attempt_row *r;

  if (t->rows.count >= t->rows_max)
    return NULL;
  row_id = g_new (uint64_t, 1);
  *row_id = table_add (&t->rows, &row);
  r = row;
  r->id = id;
  r->expires_us
      = add_saturated (MIN (deadline_us, latest_us), ATTEMPT_GRACE_US);
  g_hash_table_insert (t->by_id, &r->id, row_id);
  return r;
}

/* Returns true if the attempt was possibly sent before this process started:
   then it is not known whether the previous process ran it.  */
static bool
may_predate_table (const struct attempt_table *t, int64_t age_us,
                   int64_t now_us)
{
  int64_t known_us = now_us - t->tracking_since_us;

  return MIN (age_us, ATTEMPT_TIMEOUT_MAX_US) >= known_us;
}

static enum wire_outcome_state
answer_unknown_attempt (struct attempt_table *t, struct wire_attempt_id id,
                        int64_t timeout_us, int64_t age_us, int64_t now_us)
{
  struct attempt_row *r;

  if (timeout_us <= 0 || may_predate_table (t, age_us, now_us))
    return WIRE_OUTCOME_STARTED;
  r = add_row (t, id, add_saturated (now_us, timeout_us), now_us);
  if (r == NULL)
    return WIRE_OUTCOME_STARTED;
  r->state = ATTEMPT_VOID;
  return WIRE_OUTCOME_VOID;
}

/* Public functions */

/**
 * attempt_init - makes an empty table
 * @t: table
 * @rows_max: largest number of rows
 * @now_us: current time; attempts received before it are unknown
 */
void
attempt_init (struct attempt_table *t, uint32_t rows_max, int64_t now_us)
{
  *t = (struct attempt_table){ .rows_max = rows_max,
                               .tracking_since_us = now_us };
  table_init (&t->rows, sizeof (struct attempt_row));
  t->by_id = g_hash_table_new_full (hash_id, equal_id, NULL, g_free);
}

void
attempt_close (struct attempt_table *t)
{
  g_hash_table_unref (t->by_id);
  table_close (&t->rows);
}

/**
 * attempt_receive - records an attempt that has arrived
 * @t: table
 * @id: attempt
 * @job: row id that attempt_query returns if it voids the attempt
 * @deadline_us: deadline of the request
 * @now_us: current time
 *
 * Return: %ATTEMPT_ACCEPTED if the job is to be queued, or why it is not.
 */
enum attempt_receive_result
attempt_receive (struct attempt_table *t, struct wire_attempt_id id,
                 uint64_t job, int64_t deadline_us, int64_t now_us)
{
  struct attempt_row *r = find_row (t, id);

  if (r != NULL)
    return r->state == ATTEMPT_VOID ? ATTEMPT_VOIDED : ATTEMPT_DUPLICATE;
  r = add_row (t, id, deadline_us, now_us);
  if (r == NULL)
    return ATTEMPT_FULL;
  r->state = ATTEMPT_QUEUED;
  r->job = job;
  return ATTEMPT_ACCEPTED;
}

/**
 * attempt_start - marks an attempt as started
 * @t: table
 * @id: attempt
 *
 * Return: true if the attempt is to be sent to the backend server: once, and
 * once more after each attempt_requeue, and never for one that was voided.
 */
bool
attempt_start (struct attempt_table *t, struct wire_attempt_id id)
{
  struct attempt_row *r = find_row (t, id);

  if (r == NULL || r->state != ATTEMPT_QUEUED)
    return false;
  r->state = ATTEMPT_STARTED;
  return true;
}

/**
 * attempt_requeue - marks a started attempt as queued again
 * @t: table
 * @id: attempt
 *
 * Only a complete answer which says that the attempt did not run allows this.
 * The attempt can then be started again or voided, but not both.
 */
void
attempt_requeue (struct attempt_table *t, struct wire_attempt_id id)
{
  struct attempt_row *r = find_row (t, id);

  if (r != NULL && r->state == ATTEMPT_STARTED)
    r->state = ATTEMPT_QUEUED;
}

void
attempt_finish (struct attempt_table *t, struct wire_attempt_id id)
{
  struct attempt_row *r = find_row (t, id);

  if (r != NULL && r->state == ATTEMPT_STARTED)
    r->state = ATTEMPT_DONE;
}

void
attempt_void (struct attempt_table *t, struct wire_attempt_id id)
{
  struct attempt_row *r = find_row (t, id);

  if (r != NULL && r->state == ATTEMPT_QUEUED)
    r->state = ATTEMPT_VOID;
}

/**
 * attempt_query - answers a WIRE_QUERY
 * @t: table
 * @id: attempt
 * @timeout_us: time left until the attempt's deadline
 * @age_us: time since the attempt was sent, or %ATTEMPT_AGE_UNKNOWN
 * @now_us: current time
 * @job: receives the job of a queued attempt that this voids, or 0
 *
 * Return: %WIRE_OUTCOME_VOID only if the attempt did not run and a row keeps
 * it from running later; %WIRE_OUTCOME_STARTED if this is not certain.
 */
enum wire_outcome_state
attempt_query (struct attempt_table *t, struct wire_attempt_id id,
               int64_t timeout_us, int64_t age_us, int64_t now_us,
               uint64_t *job)
{
  struct attempt_row *r = find_row (t, id);

  *job = 0;
  if (r == NULL)
    return answer_unknown_attempt (t, id, timeout_us, age_us, now_us);
  switch (r->state)
    {
    case ATTEMPT_STARTED:
      return WIRE_OUTCOME_STARTED;
    case ATTEMPT_DONE:
      return WIRE_OUTCOME_DONE;
    case ATTEMPT_QUEUED:
      *job = r->job;
      break;
    case ATTEMPT_VOID:
      break;
    }
  r->state = ATTEMPT_VOID;
  return WIRE_OUTCOME_VOID;
}

uint64_t
attempt_get_job (const struct attempt_table *t, struct wire_attempt_id id)
{
  const struct attempt_row *r = find_row (t, id);

  if (r == NULL || r->state == ATTEMPT_DONE || r->state == ATTEMPT_VOID)
    return 0;
  return r->job;
}

/**
 * attempt_expire - removes expired rows
 * @t: table
 * @rows: number of rows to check, which bounds the duration of the call
 * @now_us: current time
 *
 * An attempt that still runs after its deadline is removed as well: its sender
 * no longer sends a WIRE_QUERY.
 */
void
attempt_expire (struct attempt_table *t, uint32_t rows, int64_t now_us)
{
  void *row;

  while (rows-- > 0)
    {
      uint64_t id = table_next (&t->rows, t->sweep_cursor, &row);
      struct attempt_row *r = row;

      t->sweep_cursor = id;
      if (id == 0)
        return;
      if (now_us <= r->expires_us)
        continue;
      g_hash_table_remove (t->by_id, &r->id);
      table_remove (&t->rows, id);
    }
}
