/* quota: lots of granted tokens at a daemon.

   A lot can be spent until its validity has passed, measured from before the
   daemon asked for it.  The set is shared between the control thread, which
   asks, and the front threads, which take; the caller holds the mutex.  */

#ifndef ALMONDVALE_QUOTA_H
#define ALMONDVALE_QUOTA_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define QUOTA_LOTS 8u
#define QUOTA_ROUND_TRIP_US 500000
/* A request waits this long for a token: two lost asks.  */
#define QUOTA_WAIT_US 1000000
/* Rows whose requests have tokens are looked at once in this time: a tick of the
   control thread, half of the time before a lot runs out at which the next one is
   asked for.  */
#define QUOTA_SCAN_US 50000
/* A row without requests is removed after this time.  */
#define QUOTA_IDLE_US 60000000

/* Types */

/* Rules that a test may turn off to show that its check finds the fault.  */
enum quota_rule
{
  QUOTA_RULE_ROUND_TRIP = 1 /* a grant ages by its round trip */
};

enum quota_result
{
  QUOTA_TAKEN,
  QUOTA_WAIT,       /* poll again after the next grant */
  QUOTA_EXCEEDED,   /* the holder had no token: ERR_RATE_EXCEEDED */
  QUOTA_UNAVAILABLE /* no holder answered: ERR_RATE_UNAVAILABLE */
};

struct quota_lot
{
  uint32_t count;
  int64_t expires_us;
  uint64_t epoch;
};

/* One workspace at this daemon.  */
struct quota
{
  uint64_t id;
  struct str workspace; /* owned */
  struct quota_lot lots[QUOTA_LOTS];
  uint32_t waiting;    /* requests that got QUOTA_WAIT */
  uint32_t arrivals;   /* requests in the current window */
  int64_t window_us;   /* start of the current window */
  uint64_t fast_q16;   /* requests in a window, times 65536 */
  uint64_t slow_q16;   /* the same over a longer time */
  int64_t validity_us; /* of the last grant */
  int64_t last_use_us; /* last request */
  bool asked;          /* an ask is pending */
  uint64_t asked_number;
  int64_t asked_us;
  uint32_t asked_waiting;
  int64_t next_ask_us;   /* no ask before this time */
  int64_t short_us;      /* requests up to this time were refused a token */
  int64_t round_trip_us; /* of the last grant */
  bool urgent;           /* in the set's list of urgent rows */
};

/* A TOKEN_REQUEST to send; the caller removes it.  */
struct quota_ask
{
  struct str workspace; /* view of the row's */
  uint32_t waiting;
  uint32_t demand;
  uint32_t returned;
  uint64_t returned_epoch;
  uint64_t sequence;
};

struct quota_set
{
  struct table quotas;
  GHashTable *by_name; /* struct str * of a row to its id */
  struct table asks;
  GArray *urgent;  /* uint64_t: rows with requests that have begun to wait */
  int64_t scan_us; /* when all rows are looked at next */
  uint64_t last_sequence;
  uint64_t voided;         /* grants that came too late */
  uint32_t test_rules_off; /* enum quota_rule, 0 outside tests */
};

/* Public functions */

/* empty set; sequences follow first_sequence and never repeat those of an
   earlier run, whose late grants would else seem to answer this one's asks */
void quota_init_set (struct quota_set *set, uint64_t first_sequence);
/* frees everything */
void quota_close_set (struct quota_set *set);
/* a new request of a workspace takes a token or begins to wait */
enum quota_result quota_begin (struct quota_set *set, struct str workspace,
                               int64_t now_us);
/* a waiting request tries again; it waits no longer unless QUOTA_WAIT */
enum quota_result quota_poll (struct quota_set *set, struct str workspace,
                              int64_t arrived_us, int64_t now_us);
/* a waiting request was cancelled */
void quota_cancel (struct quota_set *set, struct str workspace);
/* applies TOKENS; false if the grant is void */
bool quota_apply_grant (struct quota_set *set, struct str workspace,
                        uint32_t count, int64_t validity_us, uint64_t epoch,
                        uint64_t sequence, int64_t now_us);
/* the ask could not be sent or its link broke */
void quota_fail_ask (struct quota_set *set, struct str workspace,
                     uint64_t sequence, int64_t now_us);
/* the system: expires lots and adds the asks that are due; rows with requests
   that began to wait are looked at in each call, all in each QUOTA_SCAN_US */
void quota_run (struct quota_set *set, int64_t now_us);

#endif
