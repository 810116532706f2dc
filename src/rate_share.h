/* rate_share: this daemon's part of each workspace's rate.

   Every daemon reports its demand to the others and takes the part of the rate
   and burst that its demand has in the sum.  The parts of all daemons add up to
   the whole, so the fleet stays within the rate without asking anybody.  A
   daemon that hears nothing keeps its last part.

   A burst that is too small to be split is pooled: one daemon, the pool's owner,
   keeps all tokens and grants them to the others in small lots.  Guarded by the
   owner's mutex.  */

#ifndef ALMONDVALE_RATE_SHARE_H
#define ALMONDVALE_RATE_SHARE_H

#include "quota.h"
#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Members assumed until the fleet is known: more than that would refuse too
   much after a start, fewer would let a fleet that starts at once exceed the
   rate.  */
#define RATE_SHARE_MEMBERS_ASSUMED 16u
/* Interval at which the demand is measured and reported.  */
#define RATE_SHARE_INTERVAL_US 500000
/* A workspace whose even part of the burst is smaller is pooled: with fewer
   tokens, requests that come in clusters are refused within the rate.  */
#define RATE_SHARE_SPLIT_MIN_TOKENS 16.0
/* Demands below this even part of the burst are not reported: pools do not
   use them.  Half of the bound above, since daemons that know different numbers of
   members may differ on what is pooled.  */
#define RATE_SHARE_REPORT_MIN_TOKENS (RATE_SHARE_SPLIT_MIN_TOKENS / 2)
/* Validity of a lot of pooled tokens.  What is granted before a window may be
   spent in it, so the pool keeps back this time of the rate from the burst.  */
#define RATE_SHARE_GRANT_VALIDITY_US 300000

/* Types */

struct rate_share
{
  struct str workspace; /* owned */
  uint64_t hash;        /* of the name, as reported */
  double rate;          /* requests per second of the fleet; 0: no limit */
  double burst;         /* requests of the fleet */
  double tokens;        /* requests that may pass now */
  int64_t refilled_us;
  uint32_t arrivals;      /* in the current interval */
  double measured_demand; /* requests per second here */
  double
      reported_demand; /* the same as reported last, which the other_demand know */
  double other_demand; /* requests per second at the other daemons */
  uint64_t owner;      /* member that keeps the pool; 0: none is known */
  bool configured;     /* named by the configuration being applied */
};

struct rate_share_set
{
  struct table shares;
  GHashTable *by_name;
  GHashTable *by_hash; /* struct rate_share, for the demands of others */
  uint32_t members; /* daemons in the fleet, this one included; 0: unknown */
  int64_t interval_start_us;
};

/* Demand for one workspace as daemons report it.  */
struct rate_share_demand
{
  uint64_t hash;      /* of the workspace's name */
  uint32_t per_s_q10; /* requests per second, times 1024 */
};

/* Public functions */

void rate_share_init (struct rate_share_set *s);
void rate_share_close (struct rate_share_set *s);
/* begins to apply a configuration; rate_share_set_limit follows for each
   workspace */
void rate_share_begin_update (struct rate_share_set *s);
void rate_share_set_limit (struct rate_share_set *s, struct str workspace,
                           uint32_t rate, uint32_t burst, int64_t now_us);
/* forgets the workspaces that were not named */
void rate_share_end_update (struct rate_share_set *s);
/* size of the fleet */
void rate_share_set_member_count (struct rate_share_set *s, uint32_t members);
/* sum of what the other daemons reported; replaces the last one */
void rate_share_clear_other_demands (struct rate_share_set *s);
void rate_share_add_other_demand (struct rate_share_set *s,
                                  struct rate_share_demand demand);
/* a request takes a token */
enum quota_result rate_share_take_token (struct rate_share_set *s,
                                         struct str workspace, int64_t now_us);
/* true if the tokens of the workspace come from another daemon's pool or from
   this one's by lots */
bool rate_share_is_pooled (const struct rate_share_set *s,
                           struct str workspace);
/* names the owner of each pooled workspace; 0 if there is none to ask */
void rate_share_set_owners (struct rate_share_set *s,
                            uint64_t (*find) (void *data, uint64_t hash),
                            void *data);
/* owner of a pooled workspace, or 0 */
uint64_t rate_share_get_owner (const struct rate_share_set *s,
                               struct str workspace);
/* as the owner: takes out up to `wanted` tokens after `returned` came back */
uint32_t rate_share_grant (struct rate_share_set *s, struct str workspace,
                           uint32_t wanted, uint32_t returned, int64_t now_us);
/* gives back the token of a request that did not run */
void rate_share_refund_token (struct rate_share_set *s, struct str workspace);
/* system: measures the demand; true if a new one is to be reported */
bool rate_share_run (struct rate_share_set *s, int64_t now_us);
/* true if a demand differs so much from its report that it should be reported
   before the next interval */
bool rate_share_is_report_due (const struct rate_share_set *s);
/* the measured demands are reported to all other daemons now */
void rate_share_update_reported_demands (struct rate_share_set *s);
/* appends the demands as reported last, without those that only pools meet */
void rate_share_append_demands (const struct rate_share_set *s,
                                GArray *demands);

#endif
