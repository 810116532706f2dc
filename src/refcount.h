/* refcount: reference counts.  The struct is embedded as the first member of
   what it counts.  */

#ifndef ALMONDVALE_REFCOUNT_H
#define ALMONDVALE_REFCOUNT_H

#include <stdatomic.h>

/* Types */

struct refcount
{
  atomic_int count;                    /* owners */
  void (*release) (struct refcount *); /* called when the last owner lets go */
};

/* Public functions */

/* one owner: the caller */
void refcount_init (struct refcount *r, void (*release) (struct refcount *));
/* one owner more; any thread */
void refcount_get (struct refcount *r);
/* one owner less; NULL is ignored; any thread */
void refcount_put (struct refcount *r);

#endif
