/* table: entity tables.

   A table holds rows of one struct type in chunks.  Rows never move, so a
   pointer stays valid until the row is removed.  A row id carries the row's
   index and a generation; an id kept after the row was removed no longer
   resolves, also when the slot has been used again.  Id 0 is never given.  */

#ifndef ALMONDVALE_TABLE_H
#define ALMONDVALE_TABLE_H

#include <stddef.h>
#include <stdint.h>

/* Types */

struct table_slot
{
  uint32_t generation; /* odd while the row is in use */
  uint32_t next_free;  /* index + 1 of the next free slot, 0 at the end */
};

struct table
{
  size_t row_size;          /* bytes of one row */
  uint32_t count;           /* rows in use */
  uint32_t slots_used;      /* slots handed out so far */
  uint32_t free_head;       /* index + 1 of the first free slot */
  uint32_t chunks_len;      /* chunks allocated */
  char **chunks;            /* TABLE_CHUNK_ROWS rows each */
  struct table_slot *slots; /* one for each row */
};

/* Public functions */

/* empty table of rows of row_size bytes */
void table_init (struct table *t, size_t row_size);
/* frees all rows */
void table_close (struct table *t);
/* adds a zeroed row; gives its id */
uint64_t table_add (struct table *t, void **row);
/* removes a row; an old id is ignored */
void table_remove (struct table *t, uint64_t id);
/* row of an id, or NULL if it is gone */
void *table_get (const struct table *t, uint64_t id);
/* iterates: id after `after` (0 to begin), 0 at the end; the current row may
   be removed */
uint64_t table_next (const struct table *t, uint64_t after, void **row);

#endif
