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
  /* The end of a boot is final, whatever was reported after it.  */
  if (is_same_boot (b, r))
    return r->state == BACKEND_SERVING && r->sequence > 0
           && r->sequence <= b->sequence;
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

static struct backend_report
copy_report (const struct backend_report *r)
{
  struct backend_report copy = *r;

  copy.id = str_copy (r->id);
  copy.service = str_copy (r->service);
  copy.address = str_copy (r->address);
  return copy;
}

/* Keeps the newest report of the newest boot.  */
static enum backend_change
hold_report (struct backend_record *b, const struct backend_report *r)
{
  if (b->has_held
      && (r->boot_ms < b->held.boot_ms
          || (r->boot_ms == b->held.boot_ms
              && r->sequence < b->held.sequence)))
    return BACKEND_CHANGE_STALE;
  if (b->has_held)
    backend_free_report (&b->held);
  b->held = copy_report (r);
  b->has_held = true;
  return BACKEND_CHANGE_HELD;
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
  if (b->has_held)
    backend_free_report (&b->held);
  b->has_held = false;
  backend_stops_close (&b->stops);
  str_free (&b->id);
  str_free (&b->service);
}

void
backend_free_report (struct backend_report *report)
{
  str_free (&report->id);
  str_free (&report->service);
  str_free (&report->address);
}

/**
 * backend_apply - applies a report
 * @b: record
 * @r: report; copied
 * @now_us: current time
 *
 * A boot that drains or has left never returns to serving, even if a late
 * report has that state.  The report of a drain or leave is added to the stops
 * even if it is out of date, so that it can be confirmed.
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
  bool stopped = backend_stops_contains (&b->stops, r->id, r->boot_ms);

  if (r->state != BACKEND_SERVING)
    backend_stops_add (&b->stops, r->id, r->boot_ms);
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
  if (stopped && r->state == BACKEND_SERVING)
    return BACKEND_CHANGE_STALE;
  if (!b->stops_known && r->state == BACKEND_SERVING)
    return hold_report (b, r);
  store_report (b, r, now_us);
  b->state = r->state;
  if (r->state == BACKEND_SERVING)
    return equal ? BACKEND_CHANGE_NONE : BACKEND_CHANGE_ANNOUNCED;
  if (r->state == old)
    return BACKEND_CHANGE_NONE;
  return r->state == BACKEND_LEFT ? BACKEND_CHANGE_LEFT
                                  : BACKEND_CHANGE_DRAINED;
}

int64_t
backend_find_boot (const struct backend_record *b, struct str id)
{
  if (b->has_held && str_equal (b->held.id, id))
    return b->held.boot_ms;
  return str_equal (b->id, id) ? b->boot_ms : 0;
}

/**
 * backend_load_stops - adds the stops of earlier processes
 * @b: record
 * @stops: boots that are known to have stopped; copied
 * @report: receives the report whose values the change has
 * @now_us: current time
 *
 * It may be called again when more is known.
 *
 * Return: what has changed.
 */
enum backend_change
backend_load_stops (struct backend_record *b,
                    const struct backend_stops *stops,
                    struct backend_report *report, int64_t now_us)
{
  *report = (struct backend_report){ .id = STR_EMPTY,
                                     .service = STR_EMPTY,
                                     .address = STR_EMPTY };
  backend_stops_merge (&b->stops, stops);
  b->stops_known = true;
  if (b->has_held)
    {
      *report = b->held;
      b->has_held = false;
      return backend_apply (b, report, now_us);
    }
  if (b->state != BACKEND_SERVING
      || !backend_stops_contains (&b->stops, b->id, b->boot_ms))
    return BACKEND_CHANGE_NONE;
  b->state = BACKEND_DRAINING;
  report->id = str_copy (b->id);
  report->boot_ms = b->boot_ms;
  return BACKEND_CHANGE_DRAINED;
}
