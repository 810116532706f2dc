/* change: one accepted step from a revision of the inventory to the next.

   A change is a list of operations.  An operation that puts a row carries only
   the fields it sets, so that two operators who edit different fields of one
   row do not undo each other's work.  */

#ifndef ALMONDVALE_CHANGE_H
#define ALMONDVALE_CHANGE_H

#include "inventory.h"

#include <glib.h>

/* Constants */

#define CHANGE_AUTHOR_MAX_BYTES 128u
#define CHANGE_NONCE_MAX_BYTES 64u

/* Types */

enum change_verb
{
  CHANGE_PUT,
  CHANGE_DELETE
};

struct change_op
{
  enum change_verb verb;
  enum inventory_kind kind;
  uint32_t set;            /* fields that a put sets, bit i for field i */
  union inventory_row row; /* only the name for a delete */
};

struct change
{
  uint64_t revision; /* that it makes; 0 until it is known */
  struct str nonce;  /* tells this attempt from any other change */
  struct str author;
  GArray *ops; /* struct change_op, at most one for each row */
};

/* A member that another change has touched since the base revision.  */
struct change_conflict
{
  enum inventory_kind kind;
  struct str name;                     /* row */
  const struct inventory_field *field; /* NULL for the row as a whole */
  struct str base;                     /* values as text */
  struct str theirs;
  struct str ours;
};

/* Public functions */

/* change without operations */
void change_init (struct change *c);
/* frees its operations */
void change_close (struct change *c);
/* copies the fields of `set` from the row into a put; merges with an earlier
   put of that row, replaces an earlier delete */
void change_put (struct change *c, enum inventory_kind kind, const void *row,
                 uint32_t set);
/* deletes a row; replaces an earlier put of it */
void change_delete (struct change *c, enum inventory_kind kind,
                    struct str name);
/* operation on a row, or NULL */
struct change_op *change_find (const struct change *c,
                               enum inventory_kind kind, struct str name);
/* sets a new random nonce */
void change_set_nonce (struct change *c);
/* all fields of a kind */
uint32_t change_get_all_fields (enum inventory_kind kind);

/* adds the operations that lead from one inventory to the other */
void change_diff (struct change *c, const struct inventory *from,
                  const struct inventory *to);
/* drops what would not alter the inventory */
void change_drop_unchanged (struct change *c, const struct inventory *inv);
/* applies a change of revision inv->revision + 1; on an error the inventory
   is as before; only the rows themselves are checked */
bool change_apply (struct inventory *inv, const struct change *c,
                   GError **error);
/* appends one line for each problem the inventory would have after the change;
   gives their number */
uint32_t change_check (const struct inventory *inv, const struct change *c,
                       struct str_buf *problems);
/* adds the members that differ between base and current and that the change
   sets otherwise; gives their number */
uint32_t change_find_conflicts (const struct change *c,
                                const struct inventory *base,
                                const struct inventory *current,
                                GArray *conflicts);
/* empty array for conflicts; free with g_array_unref */
GArray *change_make_conflicts (void);
/* appends a conflict as one line */
void change_append_conflict (struct str_buf *out,
                             const struct change_conflict *conflict);
/* appends one line for each operation against an inventory */
void change_append_text (struct str_buf *out, const struct change *c,
                         const struct inventory *inv);

#endif
