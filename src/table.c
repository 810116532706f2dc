/* table: entity tables.  */

#include "table.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define TABLE_CHUNK_ROWS 256u

/* Internal functions */

static void *
row_at (const struct table *t, uint32_t index)
{
  return t->chunks[index / TABLE_CHUNK_ROWS]
         + (size_t)(index % TABLE_CHUNK_ROWS) * t->row_size;
}

static uint64_t
make_id (const struct table *t, uint32_t index)
{
  return ((uint64_t)t->slots[index].generation << 32) | (index + 1u);
}

static void
add_chunk (struct table *t)
{
  uint32_t chunks = t->chunks_len + 1;

  t->chunks = g_renew (char *, t->chunks, chunks);
  t->chunks[t->chunks_len] = g_malloc0 (TABLE_CHUNK_ROWS * t->row_size);
  t->slots = g_renew (struct table_slot, t->slots,
                      (size_t)chunks * TABLE_CHUNK_ROWS);
  memset (t->slots + (size_t)t->chunks_len * TABLE_CHUNK_ROWS, 0,
          TABLE_CHUNK_ROWS * sizeof *t->slots);
  t->chunks_len = chunks;
}

/* Public functions */

/**
 * table_init - initializes an empty table
 * @t: table
 * @row_size: size of one row in bytes
 */
void
table_init (struct table *t, size_t row_size)
{
  *t = (struct table){ .row_size = row_size };
}

/**
 * table_close - frees the memory of the table
 * @t: table
 *
 * The owner must free the memory that rows point to before.
 */
void
table_close (struct table *t)
{
  for (uint32_t i = 0; i < t->chunks_len; i++)
    g_free (t->chunks[i]);
  g_free (t->chunks);
  g_free (t->slots);
  *t = (struct table){ .row_size = t->row_size };
}

/**
 * table_add - adds a zeroed row
 * @t: table
 * @row: set to the row
 *
 * Return: id of the row, never 0.
 */
uint64_t
table_add (struct table *t, void **row)
{
  uint32_t index;

  if (t->free_head != 0)
    {
      index = t->free_head - 1;
      t->free_head = t->slots[index].next_free;
    }
  else
    {
      if (t->slots_used == t->chunks_len * TABLE_CHUNK_ROWS)
        add_chunk (t);
      index = t->slots_used++;
    }
  t->slots[index].generation++;
  t->count++;
  *row = row_at (t, index);
  memset (*row, 0, t->row_size);
  return make_id (t, index);
}

/**
 * table_remove - removes a row
 * @t: table
 * @id: row id; ignored if the row was removed
 */
void
table_remove (struct table *t, uint64_t id)
{
  uint32_t index;

  if (table_get (t, id) == NULL)
    return;
  index = (uint32_t)id - 1;
  t->slots[index].generation++;
  t->slots[index].next_free = t->free_head;
  t->free_head = index + 1;
  t->count--;
}

/**
 * table_get - finds a row
 * @t: table
 * @id: row id
 *
 * Return: the row, or NULL if it was removed.
 */
void *
table_get (const struct table *t, uint64_t id)
{
  uint32_t index = (uint32_t)id - 1;

  if ((uint32_t)id == 0 || index >= t->slots_used)
    return NULL;
  if (t->slots[index].generation != (uint32_t)(id >> 32)
      || t->slots[index].generation % 2 == 0)
    return NULL;
  return row_at (t, index);
}

/**
 * table_next - iterates over the rows in use
 * @t: table
 * @after: id of the previous row, or 0 for the first row
 * @row: set to the next row
 *
 * Return: id of the next row, or 0 at the end.
 */
uint64_t
table_next (const struct table *t, uint64_t after, void **row)
{
  for (uint32_t i = (uint32_t)after; i < t->slots_used; i++)
    if (t->slots[i].generation % 2 == 1)
      {
        *row = row_at (t, i);
        return make_id (t, i);
      }
  return 0;
}
