/* table: entity tables.

   A table stores rows of one struct type in chunks.  Rows never move, so a
   pointer to a row is valid until the row is removed.  A row id combines the
   index of the row and a generation.  The id of a removed row no longer
   resolves, even after its slot has been reused.  No row has id 0.  */

#ifndef ALMONDVALE_TABLE_H
#define ALMONDVALE_TABLE_H

#include <stddef.h>
#include <stdint.h>

/* Types */

struct table_slot
{
  uint32_t generation; /* odd while the row is in use */
  uint32_t next_free;  /* index + 1 of the next free slot; 0: none */
};

struct table
{
  size_t row_size;          /* size of a row in bytes */
  uint32_t count;           /* rows in use */
  uint32_t slots_used;      /* slots that have been used, now free or not */
  uint32_t free_head;       /* index + 1 of the first free slot; 0: none */
  uint32_t chunks_len;      /* chunks allocated */
  char **chunks;            /* TABLE_CHUNK_ROWS rows each */
  struct table_slot *slots; /* one slot per row */
};

/* Public functions */

/* Initializes an empty table with rows of row_size bytes.  */
void table_init (struct table *t, size_t row_size);
/* Frees all rows.  */
void table_close (struct table *t);
/* Adds a zeroed row and returns its id.  */
uint64_t table_add (struct table *t, void **row);
/* Removes a row; the id of a removed row is ignored.  */
void table_remove (struct table *t, uint64_t id);
/* Returns the row with an id, or NULL if it was removed.  */
void *table_get (const struct table *t, uint64_t id);
/* Returns the id of the row that follows row `after` (0: of the first row), or
   0 at the end.  The current row may be removed during the iteration.  */
uint64_t table_next (const struct table *t, uint64_t after, void **row);

#endif
