/* backend: state of the backend server of this VM, from its own reports.  A
   boot is one start of the backend server.  */

#include "backend.h"

/* Internal functions */

static bool
is_same_boot (const struct backend_record *b, const struct backend_report *r)
{
  return b->state != BACKEND_UNKNOWN && r->boot_ms == b->boot_ms
         && str_equal (r->id, b->id);
}

static bool
is_stale (const struct backend_record *b, const struct backend_report *r,
          int64_t now_us)
{
  if (b->state == BACKEND_UNKNOWN)
    return false;
  if (is_same_boot (b, r))
    return r->sequence > 0 && r->sequence <= b->sequence
           && r->state != BACKEND_LEFT;
  return r->boot_ms < b->boot_ms
         && now_us - b->reported_us < BACKEND_REPORT_TIMEOUT_US;
}

static void
store_report (struct backend_record *b, const struct backend_report *r,
              int64_t now_us)
{
  if (!is_same_boot (b, r))
    b->sequence = 0;
  str_free (&b->id);
  str_free (&b->service);
  b->id = str_copy (r->id);
  b->service = str_copy (r->service);
  b->slots = r->slots;
  b->boot_ms = r->boot_ms;
  b->sequence = r->sequence > b->sequence ? r->sequence : b->sequence;
  b->reported_us = now_us;
}

/* Public functions */

void
backend_init (struct backend_record *b)
{
  *b = (struct backend_record){ .id = STR_EMPTY, .service = STR_EMPTY };
}

void
backend_close (struct backend_record *b)
{
  str_free (&b->id);
  str_free (&b->service);
}

/**
 * backend_apply - applies a report
 * @b: record
 * @r: report; copied
 * @now_us: current time
 *
 * A boot that drains or has left never returns to serving, even if a late
 * report has that state.
 *
 * Return: what has changed.
 */
enum backend_change
backend_apply (struct backend_record *b, const struct backend_report *r,
               int64_t now_us)
{
  bool same = is_same_boot (b, r);
  bool equal
      = same && b->slots == r->slots && str_equal (b->service, r->service);
  enum backend_state old = same ? b->state : BACKEND_UNKNOWN;

  if (is_stale (b, r, now_us))
    return BACKEND_CHANGE_STALE;
  if (old == BACKEND_LEFT && r->state != BACKEND_LEFT)
    return BACKEND_CHANGE_STALE;
  if (old == BACKEND_DRAINING && r->state == BACKEND_SERVING)
    {
      b->sequence = r->sequence;
      b->reported_us = now_us;
      return BACKEND_CHANGE_NONE;
    }
  store_report (b, r, now_us);
  b->state = r->state;
  if (r->state == BACKEND_SERVING)
    return equal ? BACKEND_CHANGE_NONE : BACKEND_CHANGE_ANNOUNCED;
  if (r->state == old)
    return BACKEND_CHANGE_NONE;
  return r->state == BACKEND_LEFT ? BACKEND_CHANGE_LEFT
                                  : BACKEND_CHANGE_DRAINED;
}
