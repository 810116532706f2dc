/* refcount: reference counts.  */

#include "refcount.h"

#include <stddef.h>

/* Public functions */

void
refcount_init (struct refcount *r, void (*release) (struct refcount *))
{
  atomic_init (&r->count, 1);
  r->release = release;
}

void
refcount_get (struct refcount *r)
{
  atomic_fetch_add_explicit (&r->count, 1, memory_order_relaxed);
}

void
refcount_put (struct refcount *r)
{
  if (r == NULL)
    return;
  if (atomic_fetch_sub_explicit (&r->count, 1, memory_order_acq_rel) == 1)
    r->release (r);
}
