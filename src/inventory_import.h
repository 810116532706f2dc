/* inventory_import: import from an operators' asset register, as CSV or JSON.

   CSV: the first line contains the column names: `kind`, `name` and any fields
   of the inventory.  An empty cell leaves the field unchanged.  JSON: an array
   of objects with the same members.  The kinds are service, route, workspace
   and rule; keys cannot be imported.  Every problem is reported as one line
   that begins with file:line:column.  */

#ifndef ALMONDVALE_INVENTORY_IMPORT_H
#define ALMONDVALE_INVENTORY_IMPORT_H

#include "change.h"

/* Constants */

#define INVENTORY_IMPORT_PROBLEMS_MAX 50u
#define INVENTORY_IMPORT_FIELDS_MAX 16u

/* Types */

/* Position of a row and its fields in the input, one for each operation of the
   change.  In JSON the lines and columns are found by path only when a problem
   is reported.  */
struct inventory_import_position
{
  /* CSV: line of the row; JSON: index of the object in the array, plus 1 */
  uint32_t line_or_item;
  /* CSV: column of each field; JSON: 1 if the object has the field; 0: the
     field is not present */
  uint32_t columns[INVENTORY_IMPORT_FIELDS_MAX];
};

struct inventory_import
{
  struct str file;         /* file name for problem lines */
  struct str text;         /* view of the input */
  bool json;               /* JSON input: positions are found by path */
  struct change change;    /* one put operation for each row */
  GArray *positions;       /* struct inventory_import_position, one for each
                           operation */
  GHashTable *op_index;    /* index of the operation by "kind/name" */
  uint32_t problems_len;   /* problems found, including those not reported */
  struct str_buf problems; /* one line for each problem, at most
                              INVENTORY_IMPORT_PROBLEMS_MAX */
};

/* Public functions */

/* Both functions read an asset register and return false if there are
   problems.  `ignored` lists the columns or members to skip, separated by
   commas.  The caller must call inventory_import_unload in either case, and
   the text must outlive the import.  */
bool inventory_import_load_csv (struct inventory_import *import,
                                struct str file, struct str text,
                                struct str ignored);
bool inventory_import_load_json (struct inventory_import *import,
                                 struct str file, struct str text,
                                 struct str ignored);
/* frees the memory that a load function allocated */
void inventory_import_unload (struct inventory_import *import);
/* adds a problem for each new row that lacks a required field and for each
   reference to a row that is in neither the inventory nor the register;
   returns false if there are any */
bool inventory_import_check (struct inventory_import *import,
                             const struct inventory *inv);

#endif
