/* ref: reference counts.  The struct is embedded as the first member of what
   it counts.  */

#ifndef ALMONDVALE_REF_H
#define ALMONDVALE_REF_H

#include <stdatomic.h>

/* Types */

struct ref
{
  atomic_int count;               /* owners */
  void (*release) (struct ref *); /* called when the last owner lets go */
};

/* Public functions */

/* one owner: the caller */
void ref_init (struct ref *r, void (*release) (struct ref *));
/* one owner more; any thread */
void ref_get (struct ref *r);
/* one owner less; NULL is ignored; any thread */
void ref_put (struct ref *r);

#endif
