/* ref: reference counts.  */

#include "ref.h"

#include <stddef.h>

/* Public functions */

void
ref_init (struct ref *r, void (*release) (struct ref *))
{
  atomic_init (&r->count, 1);
  r->release = release;
}

void
ref_get (struct ref *r)
{
  atomic_fetch_add_explicit (&r->count, 1, memory_order_relaxed);
}

void
ref_put (struct ref *r)
{
  if (r == NULL)
    return;
  if (atomic_fetch_sub_explicit (&r->count, 1, memory_order_acq_rel) == 1)
    r->release (r);
}
