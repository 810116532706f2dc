/* change: the difference between two consecutive revisions of the inventory.

   A change is a list of operations.  A put operation contains only the fields
   that it sets, so that two operators who edit different fields of the same
   row do not overwrite each other's values.  */

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
  uint32_t field_mask;     /* bit i: the put sets field i */
  union inventory_row row; /* a delete uses only the name */
};

struct change
{
  uint64_t revision; /* revision after the change; 0 until it is assigned */
  struct str nonce;  /* random text that identifies this attempt to write a
                        change */
  struct str author;
  GArray *ops; /* struct change_op, at most one for each row */
};

/* A field, or an entire row, that both this change and another change since
   the base revision modify.  */
struct change_conflict
{
  enum inventory_kind kind;
  struct str name;                     /* name of the row */
  const struct inventory_field *field; /* NULL: the entire row */
  struct str base;   /* value in the base revision, as text */
  struct str theirs; /* current value, as text */
  struct str ours;   /* value set by this change, as text */
};

/* Public functions */

/* initializes a change without operations */
void change_init (struct change *c);
/* frees the memory of a change */
void change_close (struct change *c);
/* adds a put of the fields in `field_mask` (bit i for field i), with the row's
   values; merges it with an earlier put of the same row and replaces an
   earlier delete */
void change_put (struct change *c, enum inventory_kind kind, const void *row,
                 uint32_t field_mask);
/* adds a delete of a row; replaces an earlier put of the row */
void change_delete (struct change *c, enum inventory_kind kind,
                    struct str name);
/* returns the operation on a row, or NULL */
struct change_op *change_find (const struct change *c,
                               enum inventory_kind kind, struct str name);
/* sets a new random nonce */
void change_set_nonce (struct change *c);
/* returns the bit mask of all fields of a kind */
uint32_t change_get_all_fields (enum inventory_kind kind);

/* adds the operations that turn the inventory `from` into `to` */
void change_diff (struct change *c, const struct inventory *from,
                  const struct inventory *to);
/* removes the fields and operations that would not change the inventory */
void change_drop_unchanged (struct change *c, const struct inventory *inv);
/* applies a change of revision inv->revision + 1; checks the values of the
   rows, but not references between rows; on an error it leaves the inventory
   unchanged and returns false */
bool change_apply (struct inventory *inv, const struct change *c,
                   GError **error);
/* appends one line for each problem that the inventory would have after the
   change; returns their number, or the number of invalid operations if there
   are any */
uint32_t change_check (const struct inventory *inv, const struct change *c,
                       struct str_buf *problems);
/* adds a conflict for each field whose value differs between `base`, which the
   author of the change edited, and `current`, and which the change sets to a
   third value; returns the number of conflicts */
uint32_t change_find_conflicts (const struct change *c,
                                const struct inventory *base,
                                const struct inventory *current,
                                GArray *conflicts);
/* returns an empty array of struct change_conflict; free with g_array_unref */
GArray *change_make_conflicts (void);
/* appends a conflict as one line */
void change_append_conflict (struct str_buf *out,
                             const struct change_conflict *conflict);
/* appends one line for each operation, with the old values from the
   inventory */
void change_append_text (struct str_buf *out, const struct change *c,
                         const struct inventory *inv);

#endif
