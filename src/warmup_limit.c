/* warmup_limit: limit on the requests that a cold backend server gets in any
   sliding second.  */

#include "warmup_limit.h"

#include <glib.h>
#include <stdlib.h>

/* Constants */

/* The reported limit is at least this part of the warm one: an endpoint of
   equal size is then chosen again when the others are a quarter full.  */
#define REPORTED_PART_MIN 4u

/* Internal functions */

/* Returns the time of the send that is `back` sends ago, 1 for the last.  */
static int64_t
get_send (const struct warmup_limit *l, uint32_t back)
{
  return l->sends[(l->next - back) % WARMUP_LIMIT_SENDS_MAX];
}

/* Orders by importance, the highest first, then by due time.  The id makes the
   order of equal items that of their arrival.  */
static int
compare (const void *p, const void *q)
{
  const struct warmup_limit_item *a = p;
  const struct warmup_limit_item *b = q;

  if (a->importance != b->importance)
    return a->importance > b->importance ? -1 : 1;
  if (a->due_us != b->due_us)
    return a->due_us < b->due_us ? -1 : 1;
  return a->id < b->id ? -1 : a->id > b->id;
}

/* A request whose latency target has ended is worth its response until its
   deadline; any other is better tried elsewhere than late here.  */
static int64_t
get_latest_start (const struct warmup_limit_item *item, int64_t now_us)
{
  int64_t due_start_us = item->due_us - item->expected_us;

  return due_start_us >= now_us ? due_start_us
                                : item->deadline_us - item->expected_us;
}

/* Public functions */

/**
 * warmup_limit_init - initializes a limit
 * @l: limit
 * @now_us: current time
 *
 * What an earlier process of the daemon has sent in the last second is not
 * known, so the window counts as full.
 */
void
warmup_limit_init (struct warmup_limit *l, int64_t now_us)
{
  *l = (struct warmup_limit){ .cold_until_us = WARMUP_LIMIT_UNKNOWN };
  for (uint32_t i = 0; i < WARMUP_LIMIT_SENDS_MAX; i++)
    l->sends[i] = now_us;
}

/**
 * warmup_limit_set_rate - sets the rate of a cold backend server
 * @l: limit
 * @per_s: requests per second that it tolerates; 0 removes the limit
 * @overage: factor by which it may get more
 *
 * A rate below one request per window is rounded up to one: a backend server
 * that gets nothing serves nothing.
 */
void
warmup_limit_set_rate (struct warmup_limit *l, double per_s, double overage)
{
  double rate = MIN (per_s * overage, (double)WARMUP_LIMIT_SENDS_MAX);

  l->per_window = per_s > 0 ? MAX ((uint32_t)rate, 1) : 0;
}

void
warmup_limit_report (struct warmup_limit *l, int64_t remaining_us,
                     int64_t now_us)
{
  if (remaining_us > 0 || now_us >= l->warm_from_us)
    l->cold_until_us = now_us + remaining_us;
}

void
warmup_limit_forget (struct warmup_limit *l, int64_t now_us)
{
  l->cold_until_us = WARMUP_LIMIT_UNKNOWN;
  l->warm_from_us = now_us + WARMUP_LIMIT_REPORT_DELAY_US;
}

bool
warmup_limit_is_cold (const struct warmup_limit *l, int64_t now_us)
{
  return l->per_window > 0 && now_us < l->cold_until_us;
}

uint32_t
warmup_limit_get_allowance (const struct warmup_limit *l, int64_t now_us)
{
  uint32_t allowance = 0;

  if (!warmup_limit_is_cold (l, now_us))
    return UINT32_MAX;
  while (allowance < l->per_window
         && now_us - get_send (l, l->per_window - allowance)
                >= WARMUP_LIMIT_WINDOW_US)
    allowance++;
  return allowance;
}

/**
 * warmup_limit_get_send_time - predicts when a request may be sent
 * @l: limit
 * @ahead: number of requests that are sent before it
 * @now_us: current time
 *
 * Return: the time at which the sends that it follows have left the window, at
 * most the known end of the cold state.
 */
int64_t
warmup_limit_get_send_time (const struct warmup_limit *l, uint32_t ahead,
                            int64_t now_us)
{
  int64_t time_us;

  if (!warmup_limit_is_cold (l, now_us))
    return now_us;
  time_us = MAX (get_send (l, l->per_window - ahead % l->per_window)
                     + WARMUP_LIMIT_WINDOW_US,
                 now_us);
  time_us += (int64_t)(ahead / l->per_window) * WARMUP_LIMIT_WINDOW_US;
  return MIN (time_us, l->cold_until_us);
}

/**
 * warmup_limit_get_concurrency - returns the concurrency limit to report
 * @l: limit
 * @limit: concurrency limit of the warm backend server
 * @service_us: mean service time
 *
 * By Little's law @l allows its rate x the service time at once.  Senders keep
 * a reported limit until the next response, so one far below @limit would keep
 * them away for good; requests beyond the rate are refused without cost.
 *
 * Return: that number, but not less than a part of @limit, and at least 1 since
 * a report of 0 counts as none.
 */
uint32_t
warmup_limit_get_concurrency (const struct warmup_limit *l, uint32_t limit,
                              double service_us)
{
  double running = l->per_window * service_us / WARMUP_LIMIT_WINDOW_US;

  return MIN (limit, MAX ((uint32_t)running + 1, limit / REPORTED_PART_MIN));
}

void
warmup_limit_record_send (struct warmup_limit *l, int64_t now_us)
{
  l->sends[l->next++ % WARMUP_LIMIT_SENDS_MAX] = now_us;
}

/**
 * warmup_limit_cancel_send - removes a send from the log
 * @l: limit
 * @sent_us: time that was recorded
 *
 * The sends before it move up; the place of the oldest one counts as free.
 */
void
warmup_limit_cancel_send (struct warmup_limit *l, int64_t sent_us)
{
  uint32_t back = 1;

  while (back <= WARMUP_LIMIT_SENDS_MAX && get_send (l, back) != sent_us)
    back++;
  if (back > WARMUP_LIMIT_SENDS_MAX)
    return;
  for (; back < WARMUP_LIMIT_SENDS_MAX; back++)
    l->sends[(l->next - back) % WARMUP_LIMIT_SENDS_MAX]
        = get_send (l, back + 1);
  l->sends[l->next % WARMUP_LIMIT_SENDS_MAX]
      = sent_us - WARMUP_LIMIT_WINDOW_US;
}

/**
 * warmup_limit_decide - decides which of the waiting requests are sent
 * @l: limit
 * @items: waiting requests; sorted, and their decisions are set
 * @len: number of requests
 * @now_us: current time
 *
 * A request that is refused is tried elsewhere, so those behind it move up.
 */
void
warmup_limit_decide (const struct warmup_limit *l,
                     struct warmup_limit_item *items, size_t len,
                     int64_t now_us)
{
  uint32_t allowance = warmup_limit_get_allowance (l, now_us);
  uint32_t ahead = 0;

  if (len == 0)
    return;
  qsort (items, len, sizeof *items, compare);
  for (size_t i = 0; i < len; i++)
    {
      if (ahead >= allowance
          && warmup_limit_get_send_time (l, ahead, now_us)
                 > get_latest_start (&items[i], now_us))
        {
          items[i].decision = WARMUP_LIMIT_REFUSE;
          continue;
        }
      items[i].decision
          = ahead < allowance ? WARMUP_LIMIT_START : WARMUP_LIMIT_WAIT;
      ahead++;
    }
}
