/* retry_budget: bounds the retries of a call tree and of a destination.  */

#include "retry_budget.h"

/* Constants */

#define RETRY_BUDGET_RATIO 0.1
/* Largest number of retries of one front, a thread that takes callers'
   requests, in a burst.  All fronts of a fleet can have a burst at the same
   time: beyond the ratio, the users allow 48 retries for 16 fronts.  */
#define RETRY_BUDGET_CREDIT_MAX 2.0
/* Credit of a new destination, so that a service with few requests can be
   retried at all.  */
#define RETRY_BUDGET_CREDIT_INITIAL 1.0
#define RETRY_BUDGET_IDLE_US 60000000

/* Internal functions */

static uint32_t
allocate (struct retry_budget_pool *p, uint32_t allocation)
{
  p->left -= allocation;
  p->outstanding += allocation;
  return allocation;
}

static struct retry_budget_ratio_row *
find_or_add_row (struct retry_budget_ratio *r, struct str destination)
{
  uint64_t *id = g_hash_table_lookup (r->by_destination, &destination);
  void *row;
  struct retry_budget_ratio_row *added;

  if (id != NULL)
    return table_get (&r->rows, *id);
  id = g_new (uint64_t, 1);
  *id = table_add (&r->rows, &row);
  added = row;
  added->destination = str_copy (destination);
  added->credit = RETRY_BUDGET_CREDIT_INITIAL;
  g_hash_table_insert (r->by_destination, &added->destination, id);
  return added;
}

static void
remove_row (struct retry_budget_ratio *r, uint64_t id,
            struct retry_budget_ratio_row *row)
{
  g_hash_table_remove (r->by_destination, &row->destination);
  str_free (&row->destination);
  table_remove (&r->rows, id);
}

/* Public functions: call tree */

void
retry_budget_init_pool (struct retry_budget_pool *p, uint32_t total)
{
  *p = (struct retry_budget_pool){ .left
                                   = MIN (total, RETRY_BUDGET_EXTRA_MAX) };
}

bool
retry_budget_spend (struct retry_budget_pool *p)
{
  if (p->left == 0)
    return false;
  p->left--;
  return true;
}

/**
 * retry_budget_allocate_attempt - allocates extra attempts to an attempt
 * @p: pool of the request at this hop
 *
 * A retry at the hop next to the failure repeats the smallest subtree, so most
 * extra attempts go down the tree.  One is kept for this hop, because an
 * allocation is lost with the daemon that it was sent to; if only one is left,
 * it goes down as well.
 *
 * Return: the allocation, to be passed to retry_budget_return after the
 * response.
 */
uint32_t
retry_budget_allocate_attempt (struct retry_budget_pool *p)
{
  return allocate (p, p->left > 1 ? p->left - 1 : p->left);
}

uint32_t
retry_budget_allocate_nested (struct retry_budget_pool *p)
{
  return allocate (p, (p->left + 1) / 2);
}

/**
 * retry_budget_return - returns what an allocation did not use to its pool
 * @p: pool of the allocation
 * @allocation: the allocation
 * @unused: number reported by the peer, or 0 if the response was lost, or the
 *   full allocation if the attempt certainly did not run
 */
void
retry_budget_return (struct retry_budget_pool *p, uint32_t allocation,
                     uint32_t unused)
{
  allocation = MIN (allocation, p->outstanding);
  p->outstanding -= allocation;
  p->left += MIN (unused, allocation);
}

/* Public functions: destinations */

void
retry_budget_init_ratio (struct retry_budget_ratio *r)
{
  *r = (struct retry_budget_ratio){ .ratio = RETRY_BUDGET_RATIO,
                                    .credit_max = RETRY_BUDGET_CREDIT_MAX };
  table_init (&r->rows, sizeof (struct retry_budget_ratio_row));
  r->by_destination
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
}

void
retry_budget_close_ratio (struct retry_budget_ratio *r)
{
  void *row;

  for (uint64_t id = table_next (&r->rows, 0, &row); id != 0;
       id = table_next (&r->rows, id, &row))
    remove_row (r, id, row);
  g_hash_table_unref (r->by_destination);
  table_close (&r->rows);
}

void
retry_budget_record_request (struct retry_budget_ratio *r,
                             struct str destination, int64_t now_us)
{
  struct retry_budget_ratio_row *row = find_or_add_row (r, destination);

  row->credit = MIN (row->credit + r->ratio, r->credit_max);
  row->last_used_us = now_us;
}

bool
retry_budget_allow_retry (struct retry_budget_ratio *r, struct str destination,
                          int64_t now_us)
{
  struct retry_budget_ratio_row *row = find_or_add_row (r, destination);

  row->last_used_us = now_us;
  if (row->credit < 1.0)
    return false;
  row->credit -= 1.0;
  return true;
}

void
retry_budget_expire_ratio (struct retry_budget_ratio *r, int64_t now_us)
{
  void *p;

  for (uint64_t id = table_next (&r->rows, 0, &p); id != 0;
       id = table_next (&r->rows, id, &p))
    {
      struct retry_budget_ratio_row *row = p;

      if (now_us - row->last_used_us > RETRY_BUDGET_IDLE_US)
        remove_row (r, id, row);
    }
}
