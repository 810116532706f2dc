/* inventory_import: import from an operators' asset register, as CSV or JSON.

   CSV: the first line names the columns `kind`, `name` and any fields of the
   inventory; an empty cell leaves the field as it is.  JSON: an array of
   objects with the same members.  Kinds are service, route, workspace and
   rule; keys are issued, never imported.  Every problem is one line that
   begins with file:line:column.  */

#ifndef ALMONDVALE_INVENTORY_IMPORT_H
#define ALMONDVALE_INVENTORY_IMPORT_H

#include "change.h"

/* Constants */

#define INVENTORY_IMPORT_PROBLEMS_MAX 50u
#define INVENTORY_IMPORT_FIELDS_MAX 16u

/* Types */

/* Where the row of an operation and its fields stand.  */
struct inventory_import_position
{
  uint32_t line;
  uint32_t columns
      [INVENTORY_IMPORT_FIELDS_MAX]; /* 0 for fields that are not there */
};

struct inventory_import
{
  struct str file;      /* name for problems */
  struct str text;      /* view of the input */
  bool json;            /* positions are looked up in the text */
  struct change change; /* the op_index as puts */
  GArray *
      positions; /* struct inventory_import_position, one for each operation */
  GHashTable *op_index; /* place by kind and name */
  uint32_t problems_len;
  struct str_buf problems; /* one line each */
};

/* Public functions */

/* reads a register; ignored lists the names of columns that are no fields,
   separated by commas; false if there are problems.  inventory_import_unload is due in
   both cases; the text has to live as long as the import.  */
bool inventory_import_load_csv (struct inventory_import *import,
                                struct str file, struct str text,
                                struct str ignored);
bool inventory_import_load_json (struct inventory_import *import,
                                 struct str file, struct str text,
                                 struct str ignored);
/* frees what a load allocated */
void inventory_import_unload (struct inventory_import *import);
/* adds the problems of rows that are incomplete or name others that are
   neither in the inventory nor in the register; false if there are any */
bool inventory_import_check (struct inventory_import *import,
                             const struct inventory *inv);

#endif
