/* rate_share: this daemon's share of each workspace's rate.

   Every daemon reports its demand, the requests per second that it receives
   for a workspace, to the others.  Its share of the rate and of the burst is
   its demand divided by the sum of all demands.  The shares add up to the full
   rate, so the fleet stays within the rate without requests for tokens.  A
   daemon that receives no reports keeps its last share.

   A burst that is too small to be split is pooled: one daemon, the owner of
   the pool, keeps all tokens and grants them to the others in small numbers.
   The caller of every function holds the mutex that guards the set.  */

#ifndef ALMONDVALE_RATE_SHARE_H
#define ALMONDVALE_RATE_SHARE_H

#include "quota.h"
#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Fleet size assumed until it is known.  A larger one would reject too many
   requests after a start; a smaller one would let a fleet whose daemons start
   together exceed the rate.  */
#define RATE_SHARE_MEMBERS_ASSUMED 16u
/* Interval between measurements of the demand.  If one shows a large change,
   the demand is reported before the next regular report.  */
#define RATE_SHARE_INTERVAL_US 500000
/* Smallest burst per daemon that is split; a smaller one is pooled.  With
   fewer tokens, requests that arrive in clusters would be rejected within the
   rate.  */
#define RATE_SHARE_SPLIT_MIN_TOKENS 16.0
/* Smallest burst per daemon for which demands are reported: no share depends
   on the demand for a pool.  It is half of RATE_SHARE_SPLIT_MIN_TOKENS because
   a daemon that knows fewer members may split a burst that others pool.  */
#define RATE_SHARE_REPORT_MIN_TOKENS (RATE_SHARE_SPLIT_MIN_TOKENS / 2)
/* Validity of pooled tokens.  Tokens granted up to this time before a window
   can be spent in it, so the burst of a pool is reduced by the tokens that
   accrue in this time.  */
#define RATE_SHARE_GRANT_VALIDITY_US 300000

/* Types */

/* Limit, tokens and demand of one workspace at this daemon.  */
struct rate_share
{
  struct str workspace; /* owned */
  uint64_t hash;        /* of the name; identifies the workspace in reports */
  double rate;          /* requests per second in the fleet; 0: no limit */
  double burst;         /* requests in the fleet */
  double tokens; /* in the share, or in the pool if this daemon owns it */
  int64_t refilled_us;
  uint32_t arrivals;      /* requests in the current interval */
  double measured_demand; /* requests per second at this daemon */
  double reported_demand; /* requests per second in the last report */
  double other_demand;    /* requests per second at the other daemons */
  uint64_t owner;  /* member that owns the pool; 0: no pool, or unknown */
  bool configured; /* in the configuration being applied */
};

struct rate_share_set
{
  struct table shares;
  GHashTable *by_name; /* rate_share.workspace to row id */
  GHashTable *by_hash; /* rate_share.hash to struct rate_share */
  uint32_t members; /* daemons in the fleet, this one included; 0: unknown */
  int64_t interval_start_us;
};

/* Report of one daemon's demand for one workspace.  */
struct rate_share_demand
{
  uint64_t hash;      /* of the workspace's name */
  uint32_t per_s_q10; /* requests per second, times 1024 */
};

/* Public functions */

void rate_share_init (struct rate_share_set *s);
void rate_share_close (struct rate_share_set *s);
/* Begins to apply a configuration.  The caller then calls
   rate_share_set_limit for each workspace, and rate_share_end_update.  */
void rate_share_begin_update (struct rate_share_set *s);
void rate_share_set_limit (struct rate_share_set *s, struct str workspace,
                           uint32_t rate, uint32_t burst, int64_t now_us);
/* Removes the workspaces that are not in the applied configuration.  */
void rate_share_end_update (struct rate_share_set *s);
/* Sets the number of daemons in the fleet, this one included.  */
void rate_share_set_member_count (struct rate_share_set *s, uint32_t members);
/* Sets the demands of the other daemons to 0 before their reports are added
   up.  */
void rate_share_clear_other_demands (struct rate_share_set *s);
/* Adds the report of another daemon.  */
void rate_share_add_other_demand (struct rate_share_set *s,
                                  struct rate_share_demand demand);
/* Takes a token for a request from this daemon's share of an unpooled
   workspace.  */
enum quota_result rate_share_take_token (struct rate_share_set *s,
                                         struct str workspace, int64_t now_us);
/* Returns true if a daemon, possibly this one, owns a pool of the
   workspace.  */
bool rate_share_is_pooled (const struct rate_share_set *s,
                           struct str workspace);
/* Sets the owner of the pool of each workspace whose burst is too small to be
   split.  */
void rate_share_set_owners (struct rate_share_set *s,
                            uint64_t (*find) (void *data, uint64_t hash),
                            void *data);
/* Returns the owner of a pooled workspace, or 0.  */
uint64_t rate_share_get_owner (const struct rate_share_set *s,
                               struct str workspace);
/* Adds `returned` tokens to a pool that this daemon owns, and grants up to
   `requested` tokens from it.  */
uint32_t rate_share_grant (struct rate_share_set *s, struct str workspace,
                           uint32_t requested, uint32_t returned,
                           int64_t now_us);
/* Refunds the token of a request that did not run.  */
void rate_share_refund_token (struct rate_share_set *s, struct str workspace);
/* System: measures the demands once per RATE_SHARE_INTERVAL_US.  Returns true
   if it did so.  */
bool rate_share_run (struct rate_share_set *s, int64_t now_us);
/* Returns true if a measured demand differs so much from its last report that
   it should be reported before the next regular report.  */
bool rate_share_is_report_due (const struct rate_share_set *s);
/* Sets the reported demands to the measured ones, just before they are sent to
   all other daemons.  */
void rate_share_update_reported_demands (struct rate_share_set *s);
/* Appends the reported demands as struct rate_share_demand, except those for
   workspaces that all daemons pool.  */
void rate_share_append_demands (const struct rate_share_set *s,
                                GArray *demands);

#endif
