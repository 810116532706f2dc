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
#include <stddef.h>
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
   in this many bytes.  With the default total, all together is at most 70 % of
   the memory of the VM.  */
#define BYTE_BUDGET_OVERDRAFT_PART 8
/* Large reservations of one group, a workspace, are limited to this many
   sixteenths of the total.  All large ones together have 14, so that one group
   cannot take all of it.  */
#define BYTE_BUDGET_GROUP_SIXTEENTHS 13
/* Groups are told apart by a hash; two of the same hash have one limit in
   common.  */
#define BYTE_BUDGET_GROUPS 256u
/* The default total in eighths of the memory of the VM.  The rest is for the
   program, about 10 MB, for the blocks of connections, up to 32 KiB each, and
   for responses on their way between threads.  */
#define BYTE_BUDGET_MEMORY_EIGHTHS 5

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

/* Bytes with several users of one thread.  */
struct byte_budget_bytes
{
  uint32_t users;
  char *data;                      /* owned */
  struct byte_budget_slice *slice; /* NULL: not counted */
  struct byte_budget_holder held;
};

/* Public functions */

/* Returns the default total for a VM with this memory.  */
int64_t byte_budget_get_default (int64_t memory_bytes);
/* Initializes a budget of `total` bytes; 0 for the default of the machine.  */
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

/* Takes over allocated bytes and what is held for them; the caller is the first
   user.  */
struct byte_budget_bytes *byte_budget_share (char *data,
                                             struct byte_budget_slice *s,
                                             struct byte_budget_holder *held);
/* Ends one use; the last one frees the bytes and releases what is held for
   them.  Has the type of a cleanup function of libevent.  */
void byte_budget_put_bytes (const void *data, size_t len, void *bytes);

#endif
