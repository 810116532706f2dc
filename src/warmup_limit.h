/* warmup_limit: limit on the requests that a cold backend server gets in any
   sliding second.

   A backend server is cold for a time after its start.  Its reports say how
   long it still is; while nothing is known, it counts as cold.  The limit
   belongs to the daemon beside the backend server, which all requests pass.

   Load that it handles: many daemons that send at once to a backend server
   that has just started, and a whole fleet that starts cold.  What waits is
   started in order of importance, and what cannot be in time is refused so
   that it is tried elsewhere.  Used by one thread only.  */

#ifndef ALMONDVALE_WARMUP_LIMIT_H
#define ALMONDVALE_WARMUP_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Constants */

/* Length of the sliding window.  It is 50 ms longer than the second of the
   bound, since two requests can arrive closer together than they were
   sent.  */
#define WARMUP_LIMIT_WINDOW_US 1050000
/* Largest number of requests in a window; a higher rate is cut to it.  */
#define WARMUP_LIMIT_SENDS_MAX 1024u
/* A report that the backend server is warm counts only if it arrives this long
   after a sign of a restart: one on its way is older than the sign.  Reports
   reach the daemon beside the backend server within some milliseconds.  */
#define WARMUP_LIMIT_REPORT_DELAY_US 200000
/* End of a cold state of which nothing is known.  */
#define WARMUP_LIMIT_UNKNOWN INT64_MAX
/* Default factor between the requests that a cold backend server tolerates and
   those that it is sent, from the requirements of the platform.  */
#define WARMUP_LIMIT_OVERAGE_DEFAULT 1.5

/* Types */

enum warmup_limit_decision
{
  WARMUP_LIMIT_START, /* may be sent now */
  WARMUP_LIMIT_WAIT,  /* can be in time later */
  WARMUP_LIMIT_REFUSE /* cannot be in time here */
};

/* A request that waits.  */
struct warmup_limit_item
{
  uint64_t id; /* of the owner, returned unchanged */
  uint32_t importance;
  int64_t due_us; /* end of the latency target */
  int64_t deadline_us;
  int64_t expected_us; /* service time of the request */
  enum warmup_limit_decision decision;
};

struct warmup_limit
{
  uint32_t per_window;   /* requests in a window while cold; 0: no limit */
  int64_t cold_until_us; /* or WARMUP_LIMIT_UNKNOWN */
  int64_t warm_from_us;  /* reports of a warm server count from then on */
  uint32_t next;         /* index of the next send, modulo the size */
  int64_t sends[WARMUP_LIMIT_SENDS_MAX]; /* times of the last sends */
};

/* Public functions */

/* Initializes a limit of 0, which limits nothing, with an unknown state.  */
void warmup_limit_init (struct warmup_limit *l, int64_t now_us);
/* Sets the requests per second that a cold backend server tolerates, and the
   factor by which it may get more; a rate of 0 removes the limit.  */
void warmup_limit_set_rate (struct warmup_limit *l, double per_s,
                            double overage);
/* Applies a report of the remaining cold time, 0 if it is warm.  */
void warmup_limit_report (struct warmup_limit *l, int64_t remaining_us,
                          int64_t now_us);
/* Forgets the state: the backend server has possibly been restarted.  */
void warmup_limit_forget (struct warmup_limit *l, int64_t now_us);
/* Returns true while the limit applies.  */
bool warmup_limit_is_cold (const struct warmup_limit *l, int64_t now_us);
/* Returns how many requests may be sent now, UINT32_MAX without a limit.  */
uint32_t warmup_limit_get_allowance (const struct warmup_limit *l,
                                     int64_t now_us);
/* Returns when the request that follows `ahead` others may be sent.  */
int64_t warmup_limit_get_send_time (const struct warmup_limit *l,
                                    uint32_t ahead, int64_t now_us);
/* Returns the concurrency limit to report to the senders while cold, at most
   `limit`.  */
uint32_t warmup_limit_get_concurrency (const struct warmup_limit *l,
                                       uint32_t limit, double service_us);
/* Records that a request is sent, also while the backend server is warm.  */
void warmup_limit_record_send (struct warmup_limit *l, int64_t now_us);
/* Removes a send that did not reach the backend server, by its time.  */
void warmup_limit_cancel_send (struct warmup_limit *l, int64_t sent_us);
/* Sorts the waiting requests by importance, then by due time, and decides on
   each of them.  */
void warmup_limit_decide (const struct warmup_limit *l,
                          struct warmup_limit_item *items, size_t len,
                          int64_t now_us);

#endif
