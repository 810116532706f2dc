/* inventory_value: the members of the inventory's rows: copies, text, defaults.  */

#ifndef ALMONDVALE_INVENTORY_VALUE_H
#define ALMONDVALE_INVENTORY_VALUE_H

#include "inventory.h"

/* Constants */

#define INVENTORY_METHODS 7u
#define INVENTORY_IDEMPOTENCIES (INVENTORY_IDEMPOTENCY_REQUIRED + 1)

/* Public functions */

/* a row's member, untyped and as the two commonest types */
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
