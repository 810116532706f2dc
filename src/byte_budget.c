/* byte_budget: bounds the bytes that the process holds for others.  */

#include "byte_budget.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

/* Internal functions */

/* Moves bytes from the budget to the caller if at least `floor` bytes
   remain.  */
static bool
take_free (struct byte_budget *b, int64_t bytes, int64_t floor)
{
  int64_t old = atomic_load_explicit (&b->free, memory_order_relaxed);

  while (old - bytes >= floor)
    if (atomic_compare_exchange_weak_explicit (&b->free, &old, old - bytes,
                                               memory_order_relaxed,
                                               memory_order_relaxed))
      return true;
  return false;
}

static void
put_free (struct byte_budget *b, int64_t bytes)
{
  atomic_fetch_add_explicit (&b->free, bytes, memory_order_relaxed);
}

static bool
reserve_small (struct byte_budget_slice *s, int64_t bytes)
{
  int64_t missing = bytes - s->free;

  if (missing > 0)
    {
      if (take_free (s->budget, missing + BYTE_BUDGET_SLICE_BYTES, 0))
        s->free += missing + BYTE_BUDGET_SLICE_BYTES;
      else if (take_free (s->budget, missing, 0))
        s->free += missing;
      else
        return false;
    }
  s->free -= bytes;
  return true;
}

/* Adds to the large reservations of a group.  */
static int64_t
add_to_group (struct byte_budget *b, uint64_t group, int64_t bytes)
{
  return atomic_fetch_add_explicit (&b->groups[group % BYTE_BUDGET_GROUPS],
                                    bytes, memory_order_relaxed)
         + bytes;
}

/* Public functions */

int64_t
byte_budget_get_default (int64_t memory_bytes)
{
  return memory_bytes / 8 * BYTE_BUDGET_MEMORY_EIGHTHS;
}

void
byte_budget_init (struct byte_budget *b, int64_t total)
{
  if (total == 0)
    total = byte_budget_get_default ((int64_t)sysconf (_SC_PHYS_PAGES)
                                     * sysconf (_SC_PAGESIZE));
  total = MAX (total, BYTE_BUDGET_TOTAL_MIN_BYTES);
  b->total = total;
  b->small_part = total / BYTE_BUDGET_SMALL_PART;
  atomic_init (&b->free, total);
  for (uint32_t i = 0; i < BYTE_BUDGET_GROUPS; i++)
    atomic_init (&b->groups[i], 0);
}

int64_t
byte_budget_get_free (const struct byte_budget *b)
{
  return atomic_load_explicit (&b->free, memory_order_relaxed);
}

bool
byte_budget_is_short (const struct byte_budget *b)
{
  return byte_budget_get_free (b) < 2 * b->small_part;
}

void
byte_budget_open_slice (struct byte_budget_slice *s, struct byte_budget *b)
{
  *s = (struct byte_budget_slice){ .budget = b };
}

void
byte_budget_close_slice (struct byte_budget_slice *s)
{
  if (s->budget != NULL)
    put_free (s->budget, s->free + s->held);
  memset (s, 0, sizeof *s);
}

/**
 * byte_budget_reserve - reserves space before bytes are received
 * @s: slice of the calling thread
 * @bytes: size
 *
 * Sizes above %BYTE_BUDGET_SMALL_MAX_BYTES leave a part of the budget to
 * smaller ones.
 *
 * Return: false if they do not fit.
 */
bool
byte_budget_reserve (struct byte_budget_slice *s, int64_t bytes)
{
  bool ok = bytes <= BYTE_BUDGET_SMALL_MAX_BYTES
                ? reserve_small (s, bytes)
                : take_free (s->budget, bytes, s->budget->small_part);

  if (ok)
    s->held += bytes;
  return ok;
}

bool
byte_budget_take (struct byte_budget_slice *s, int64_t bytes)
{
  if (byte_budget_reserve (s, bytes))
    return true;
  if (!take_free (s->budget, bytes,
                  -s->budget->total / BYTE_BUDGET_OVERDRAFT_PART))
    return false;
  s->held += bytes;
  return true;
}

void
byte_budget_release (struct byte_budget_slice *s, int64_t bytes)
{
  /* After the slice was closed, the last references to shared bytes end.  */
  if (s->budget == NULL)
    return;
  s->held -= bytes;
  s->free += bytes;
  if (s->free <= 2 * BYTE_BUDGET_SLICE_BYTES)
    return;
  put_free (s->budget, s->free - BYTE_BUDGET_SLICE_BYTES);
  s->free = BYTE_BUDGET_SLICE_BYTES;
}

bool
byte_budget_reserve_for (struct byte_budget_slice *s,
                         struct byte_budget_holder *h, int64_t bytes)
{
  int64_t most = s->budget->total / 16 * BYTE_BUDGET_GROUP_SIXTEENTHS;
  int64_t grouped = bytes > BYTE_BUDGET_SMALL_MAX_BYTES ? bytes : 0;

  if (grouped > 0 && add_to_group (s->budget, h->group, grouped) > most)
    {
      add_to_group (s->budget, h->group, -grouped);
      return false;
    }
  if (!byte_budget_reserve (s, bytes))
    {
      if (grouped > 0)
        add_to_group (s->budget, h->group, -grouped);
      return false;
    }
  h->bytes += bytes;
  h->grouped += grouped;
  return true;
}

void
byte_budget_release_holder (struct byte_budget_slice *s,
                            struct byte_budget_holder *h)
{
  if (s->budget != NULL && h->grouped > 0)
    add_to_group (s->budget, h->group, -h->grouped);
  byte_budget_release (s, h->bytes);
  h->bytes = 0;
  h->grouped = 0;
}

bool
byte_budget_has_space (const struct byte_budget *b, int64_t bytes)
{
  int64_t floor = bytes > BYTE_BUDGET_SMALL_MAX_BYTES ? b->small_part : 0;

  return byte_budget_get_free (b) - bytes >= floor;
}

struct byte_budget_bytes *
byte_budget_share (char *data, struct byte_budget_slice *s,
                   struct byte_budget_holder *held)
{
  struct byte_budget_bytes *b = g_new0 (struct byte_budget_bytes, 1);

  b->users = 1;
  b->data = data;
  b->slice = s;
  b->held = *held;
  held->bytes = 0;
  held->grouped = 0;
  return b;
}

void
byte_budget_put_bytes (const void *data, size_t len, void *bytes)
{
  struct byte_budget_bytes *b = bytes;

  if (--b->users > 0)
    return;
  if (b->slice != NULL)
    byte_budget_release_holder (b->slice, &b->held);
  g_free (b->data);
  g_free (b);
}
