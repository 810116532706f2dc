/* byte_budget: bounds the bytes that the process holds for others.

   The control state owns the budget; each traffic thread takes slices from it.
   Small reservations are served from the thread's slice, without a lock and
   without an atomic operation; a slice that is used up is refilled by one
   atomic operation.  Large reservations leave a part of the budget to small
   ones.

   Handled load: many clients at once, each of which holds up to the largest
   body or response for any time.  New requests never bring what is reserved
   above the total; responses of running requests may exceed it by a fixed
   part.  */

#ifndef ALMONDVALE_BYTE_BUDGET_H
#define ALMONDVALE_BYTE_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Reservations up to this size may use the part kept for small requests: four
   times the largest head of the platform's configuration.  */
#define BYTE_BUDGET_SMALL_MAX_BYTES INT64_C (65536)
/* A thread keeps up to twice this much of the budget unused.  */
#define BYTE_BUDGET_SLICE_BYTES INT64_C (262144)
/* Part of the total that is kept for small reservations: one in this many
   bytes.  */
#define BYTE_BUDGET_SMALL_PART 8
/* Smallest total: slices of 64 front threads, the part for small requests and
   one body of the size of the first deployments.  */
#define BYTE_BUDGET_TOTAL_MIN_BYTES INT64_C (16777216)
/* Part of the total by which responses of running requests may exceed it: one
   in this many bytes, so that all together is at most five eighths of the
   memory of the VM.  */
#define BYTE_BUDGET_OVERDRAFT_PART 4
/* Large reservations of one group, a workspace, are limited to this many
   quarters of the total, so that one group cannot take all of it.  */
#define BYTE_BUDGET_GROUP_QUARTERS 3
/* Groups are told apart by a hash; two of the same hash have one limit in
   common.  */
#define BYTE_BUDGET_GROUPS 256u
/* Part of the memory of the VM that the budget is by default: one in this many
   bytes.  The other half is for the program, connections, responses in
   progress and fragmentation.  */
#define BYTE_BUDGET_MEMORY_PART 2

/* Types */

struct byte_budget
{
  int64_t total;
  int64_t small_part;   /* kept for small reservations */
  _Atomic int64_t free; /* in no slice; negative if more was taken */
  _Atomic int64_t groups[BYTE_BUDGET_GROUPS]; /* large reservations */
};

/* Part of the budget that one thread uses.  */
struct byte_budget_slice
{
  struct byte_budget *budget;
  int64_t free; /* of the slice, not reserved */
  int64_t held; /* reserved and not released */
};

/* Bytes that are held for one request.  */
struct byte_budget_holder
{
  uint64_t group;  /* hash of the workspace */
  int64_t bytes;   /* reserved or taken */
  int64_t grouped; /* of these, counted for the group */
};

/* Public functions */

/* Initializes a budget of `total` bytes; 0 for the default, a part of the
   machine's memory.  */
void byte_budget_init (struct byte_budget *b, int64_t total);
/* Returns the number of bytes that are neither reserved nor in a slice.  */
int64_t byte_budget_get_free (const struct byte_budget *b);
/* Returns true if stalled connections should be closed to make space: large
   reservations have less than a part for small ones left.  */
bool byte_budget_is_short (const struct byte_budget *b);

/* Initializes an empty slice.  */
void byte_budget_open_slice (struct byte_budget_slice *s,
                             struct byte_budget *b);
/* Returns the slice and what its thread still holds to the budget.  */
void byte_budget_close_slice (struct byte_budget_slice *s);
/* Reserves bytes; returns false and reserves nothing if they do not fit.  */
bool byte_budget_reserve (struct byte_budget_slice *s, int64_t bytes);
/* Reserves bytes for a holder.  A large reservation also fails if it brings the
   holder's group above its limit.  */
bool byte_budget_reserve_for (struct byte_budget_slice *s,
                              struct byte_budget_holder *h, int64_t bytes);
/* Returns true if a reservation of this size fits the budget, so that one that
   failed exceeds the limit of its group.  */
bool byte_budget_has_space (const struct byte_budget *b, int64_t bytes);
/* Releases what a holder has reserved.  */
void byte_budget_release_holder (struct byte_budget_slice *s,
                                 struct byte_budget_holder *h);
/* Takes bytes for the response of a request that has run, also beyond the
   total by the part for that; returns false if they do not fit there.  Later
   reservations fail until enough is released.  */
bool byte_budget_take (struct byte_budget_slice *s, int64_t bytes);
/* Releases bytes that were reserved or taken.  */
void byte_budget_release (struct byte_budget_slice *s, int64_t bytes);

#endif
