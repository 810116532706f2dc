/* quota: rate-limit tokens granted to this daemon.

   A shard is a group of workspaces, and its holder is the daemon that has its
   lease.  The holder of a workspace's shard grants tokens to the daemons in
   batches.  With the policy "shares" of rate_limit the owner of the
   workspace's pool takes the place of the holder.  A batch can be spent until
   its validity has passed; the validity begins before the daemon sends the
   token request that the grant answers.  The control thread requests tokens
   and the front threads spend them, so the caller of every function holds the
   mutex that guards the set.  */

#ifndef ALMONDVALE_QUOTA_H
#define ALMONDVALE_QUOTA_H

#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define QUOTA_BATCHES 8u
#define QUOTA_ROUND_TRIP_MAX_US 500000
/* Longest time that a request waits for a token.  In this time two token
   requests can remain unanswered.  */
#define QUOTA_WAIT_MAX_US 1000000
/* Interval between two scans of all rows: one tick of the control thread.  It
   is half of RENEW_LEAD_US in quota.c, the time before the expiry of a batch
   at which the next one is requested.  */
#define QUOTA_SCAN_INTERVAL_US 50000
/* Time after its last request at which a row is removed.  */
#define QUOTA_IDLE_TIMEOUT_US 60000000

/* Types */

/* Rules that a test can disable, to show that it detects the fault which the
   rule prevents.  */
enum quota_rule
{
  QUOTA_RULE_ROUND_TRIP = 1 /* the round trip counts towards the validity */
};

enum quota_result
{
  QUOTA_TAKEN,      /* the request has its token */
  QUOTA_WAIT,       /* poll again after the next grant */
  QUOTA_EXCEEDED,   /* the holder had no token: ERR_RATE_EXCEEDED */
  QUOTA_UNAVAILABLE /* no holder answered: ERR_RATE_UNAVAILABLE */
};

struct quota_batch
{
  uint32_t count; /* tokens left */
  int64_t expires_us;
  uint64_t epoch; /* of the holder's lease; 0: several epochs */
};

/* Tokens and demand of one workspace at this daemon.  */
struct quota
{
  uint64_t id;
  struct str workspace; /* owned */
  struct quota_batch batches[QUOTA_BATCHES];
  uint32_t waiting;  /* requests that wait for a token */
  uint32_t arrivals; /* requests in the current window of the demand */
  int64_t window_start_us;
  uint64_t demand_fast_q16; /* moving average per window, times 65536 */
  uint64_t demand_slow_q16; /* the same, over more windows */
  int64_t validity_us;      /* of the last grant */
  int64_t last_request_us;
  bool token_request_pending; /* sent and not answered */
  uint64_t token_request_sequence;
  int64_t token_request_us;       /* time at which it was made */
  uint32_t token_request_waiting; /* waiting requests that it reported */
  int64_t next_token_request_us;  /* earliest time of the next one */
  int64_t refused_until_us; /* reject waiting requests that arrived by then */
  int64_t round_trip_us;    /* of the last grant */
  bool urgent;              /* in quota_set.urgent */
};

/* A WIRE_TOKEN_REQUEST to send; the caller removes the row.  */
struct quota_token_request
{
  struct str workspace;    /* view of quota.workspace */
  uint32_t waiting;        /* tokens for requests that wait */
  uint32_t demand;         /* tokens beyond these, for expected requests */
  uint32_t returned;       /* unspent tokens that this daemon returns */
  uint64_t returned_epoch; /* of the lease under which they were granted */
  uint64_t sequence;
};

struct quota_set
{
  struct table quotas;
  GHashTable *by_name; /* quota.workspace to row id */
  struct table token_requests;
  GArray *urgent;       /* uint64_t row ids to process in the next quota_run */
  int64_t next_scan_us; /* time of the next scan of all rows */
  uint64_t last_sequence;
  uint64_t rejected_grants; /* late, repeated or unrequested grants */
  uint32_t disabled_rules;  /* bits of enum quota_rule; 0 outside tests */
};

/* Public functions */

/* Makes an empty set.  The sequence numbers of its token requests follow
   first_sequence, which must be beyond those of an earlier process: a late
   grant for that process would otherwise match a token request of this
   one.  */
void quota_init_set (struct quota_set *set, uint64_t first_sequence);
/* Frees all rows.  */
void quota_close_set (struct quota_set *set);
/* Takes a token for a new request, or makes the request wait for one.  */
enum quota_result quota_acquire (struct quota_set *set, struct str workspace,
                                 int64_t now_us);
/* Tries again for a waiting request, which stops waiting unless the result is
   QUOTA_WAIT.  */
enum quota_result quota_poll (struct quota_set *set, struct str workspace,
                              int64_t arrived_us, int64_t now_us);
/* Ends the wait of a request that was cancelled.  */
void quota_cancel_wait (struct quota_set *set, struct str workspace);
/* Applies a WIRE_TOKENS message.  Returns false if the grant is rejected.  */
bool quota_apply_grant (struct quota_set *set, struct str workspace,
                        uint32_t count, int64_t validity_us, uint64_t epoch,
                        uint64_t sequence, int64_t now_us);
/* Ends a token request that could not be sent or whose link broke.  */
void quota_fail_token_request (struct quota_set *set, struct str workspace,
                               uint64_t sequence, int64_t now_us);
/* System: adds the token requests that are due and removes idle rows.  Each
   call processes the urgent rows, and once per QUOTA_SCAN_INTERVAL_US all
   rows.  */
void quota_run (struct quota_set *set, int64_t now_us);

#endif
