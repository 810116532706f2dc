/* inventory_value: defaults, copies, comparison and text form of the fields
   of the inventory's rows.  */

#ifndef ALMONDVALE_INVENTORY_VALUE_H
#define ALMONDVALE_INVENTORY_VALUE_H

#include "inventory.h"

/* Constants */

#define INVENTORY_METHODS 7u /* number of HTTP methods */
/* number of values of enum inventory_idempotency */
#define INVENTORY_IDEMPOTENCIES (INVENTORY_IDEMPOTENCY_REQUIRED + 1)

/* Public functions */

/* return a pointer to a field of a row: untyped, or typed for a string or a
   uint32_t field */
static inline void *
inventory_value_at (const struct inventory_field *f, const void *row)
{
  return (char *)row + f->offset;
}

static inline struct str *
inventory_str_at (const struct inventory_field *f, const void *row)
{
  return inventory_value_at (f, row);
}

static inline uint32_t *
inventory_uint_at (const struct inventory_field *f, const void *row)
{
  return inventory_value_at (f, row);
}

#endif
