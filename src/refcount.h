/* refcount: reference counts.  The struct is the first member of the counted
   object.  */

#ifndef ALMONDVALE_REFCOUNT_H
#define ALMONDVALE_REFCOUNT_H

#include <stdatomic.h>

/* Types */

struct refcount
{
  atomic_int count;                    /* references held */
  void (*release) (struct refcount *); /* called when the count drops to 0 */
};

/* Public functions */

/* Sets the count to 1, for the caller.  */
void refcount_init (struct refcount *r, void (*release) (struct refcount *));
/* Adds a reference; any thread may call it.  */
void refcount_get (struct refcount *r);
/* Drops a reference; NULL is ignored.  Any thread may call it.  */
void refcount_put (struct refcount *r);

#endif
