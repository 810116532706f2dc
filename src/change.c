/* change: the difference between two consecutive revisions of the
   inventory.  */

#include "change.h"

#include "err.h"

#include <string.h>

/* Constants */

#define NONCE_WORDS 4

/* Internal functions: operations */

static void
close_op (gpointer data)
{
  struct change_op *op = data;

  inventory_close_row (op->kind, &op->row);
}

static void
close_conflict (gpointer data)
{
  struct change_conflict *c = data;

  str_free (&c->name);
  str_free (&c->base);
  str_free (&c->theirs);
  str_free (&c->ours);
}

static struct change_op *
get_op (const struct change *c, guint i)
{
  return &g_array_index (c->ops, struct change_op, i);
}

static struct change_op *
add_op (struct change *c, enum change_verb verb, enum inventory_kind kind,
        struct str name)
{
  struct change_op op = { .verb = verb, .kind = kind, .field_mask = 1 };

  inventory_init_row (kind, &op.row);
  op.row.name = str_copy (name);
  g_array_append_val (c->ops, op);
  return get_op (c, c->ops->len - 1);
}

static void
remove_op (struct change *c, const struct change_op *op)
{
  for (guint i = 0; i < c->ops->len; i++)
    if (get_op (c, i) == op)
      {
        g_array_remove_index (c->ops, i);
        return;
      }
}

/* Copies the fields in `field_mask` except field 0: the name is the same in
   both rows.  */
static void
copy_fields (enum inventory_kind kind, void *to, const void *from,
             uint32_t field_mask)
{
  const struct inventory_schema *s = inventory_get_schema (kind);

  for (uint32_t i = 1; i < s->fields_len; i++)
    if ((field_mask & 1u << i) != 0)
      inventory_set_field (&s->fields[i], to, from);
}

/* Returns the bit mask of the fields whose values differ.  */
static uint32_t
find_differences (enum inventory_kind kind, const void *a, const void *b)
{
  const struct inventory_schema *s = inventory_get_schema (kind);
  uint32_t field_mask = 0;

  for (uint32_t i = 0; i < s->fields_len; i++)
    if (!inventory_equal_field (&s->fields[i], a, b))
      field_mask |= 1u << i;
  return field_mask;
}

/* Internal functions: applying */

static bool
check_required (const struct change_op *op, struct str_buf *problems)
{
  const struct inventory_schema *s = inventory_get_schema (op->kind);
  bool complete = true;

  for (uint32_t i = 0; i < s->fields_len; i++)
    if (s->fields[i].required && (op->field_mask & 1u << i) == 0)
      {
        str_append_format (problems, "%s/%.*s/%s: is missing in a new %s\n",
                           s->plural, STR_ARG (op->row.name),
                           s->fields[i].name, s->singular);
        complete = false;
      }
  return complete;
}

/* Checks that an operation can be applied and that the resulting row is valid;
   appends one line for each problem.  */
static bool
check_op (const struct inventory *inv, const struct change_op *op,
          struct str_buf *problems)
{
  const void *old = inventory_find (inv, op->kind, op->row.name);
  union inventory_row row;
  bool valid;

  if (op->verb == CHANGE_DELETE)
    {
      if (old == NULL)
        str_append_format (problems, "%s/%.*s: does not exist\n",
                           inventory_get_schema (op->kind)->plural,
                           STR_ARG (op->row.name));
      return old != NULL;
    }
  if (old == NULL && !check_required (op, problems))
    return false;
  inventory_copy_row (op->kind, &row, old != NULL ? old : &op->row);
  copy_fields (op->kind, &row, &op->row, op->field_mask);
  valid = inventory_check_row (op->kind, &row, problems) == 0;
  inventory_close_row (op->kind, &row);
  return valid;
}

static void
apply_op (struct inventory *inv, const struct change_op *op)
{
  const void *old = inventory_find (inv, op->kind, op->row.name);
  union inventory_row row;

  if (op->verb == CHANGE_DELETE)
    {
      inventory_remove (inv, op->kind, op->row.name);
      return;
    }
  inventory_copy_row (op->kind, &row, old != NULL ? old : &op->row);
  copy_fields (op->kind, &row, &op->row, op->field_mask);
  inventory_put (inv, op->kind, &row);
  inventory_close_row (op->kind, &row);
}

/* Internal functions: conflicts */

static struct str
format_value (const struct inventory_field *f, const void *row)
{
  struct str_buf text = { 0 };

  if (row == NULL)
    return str_copy (STR_LIT ("(no row)"));
  inventory_append_value (&text, f, row);
  return str_take (&text);
}

static void
add_field_conflict (GArray *conflicts, const struct change_op *op,
                    const struct inventory_field *f, const void *base,
                    const void *theirs)
{
  struct change_conflict c = { .kind = op->kind,
                               .name = str_copy (op->row.name),
                               .field = f,
                               .base = format_value (f, base),
                               .theirs = format_value (f, theirs) };

  c.ours = op->verb == CHANGE_DELETE ? str_copy (STR_LIT ("(deleted)"))
                                     : format_value (f, &op->row);
  g_array_append_val (conflicts, c);
}

static void
add_row_conflict (GArray *conflicts, const struct change_op *op)
{
  struct change_conflict c = { .kind = op->kind,
                               .name = str_copy (op->row.name),
                               .base = str_copy (STR_LIT ("(present)")),
                               .theirs = str_copy (STR_LIT ("(deleted)")),
                               .ours = str_copy (STR_LIT ("(changed)")) };

  g_array_append_val (conflicts, c);
}

/* Adds a conflict for each field that other changes modified after the base
   revision and that this operation sets to another value.  A delete conflicts
   with any modification of the row.  `base` and `theirs` are the row in the
   base and the current revision, or NULL if that revision has no such row.  */
static void
find_op_conflicts (const struct change_op *op, const void *base,
                   const void *theirs, GArray *conflicts)
{
  const struct inventory_schema *s = inventory_get_schema (op->kind);
  bool deletes = op->verb == CHANGE_DELETE;

  if (theirs == NULL)
    {
      if (base != NULL && !deletes)
        add_row_conflict (conflicts, op);
      return;
    }
  for (uint32_t i = 1; i < s->fields_len; i++)
    {
      const struct inventory_field *f = &s->fields[i];

      if (!deletes && (op->field_mask & 1u << i) == 0)
        continue;
      if (base != NULL && inventory_equal_field (f, base, theirs))
        continue;
      if (!deletes && inventory_equal_field (f, &op->row, theirs))
        continue;
      add_field_conflict (conflicts, op, f, base, theirs);
    }
}

/* Internal functions: text */

static void
append_field_change (struct str_buf *out, const struct inventory_field *f,
                     const void *old, const void *row)
{
  struct str_buf value = { 0 };

  str_append_format (out, " %s", f->name);
  if (old != NULL)
    {
      inventory_append_value (&value, f, old);
      str_append_char (out, ' ');
      inventory_append_quoted (out, str_view (&value));
      str_append (out, STR_LIT (" ->"));
      value.len = 0;
    }
  str_append_char (out, ' ');
  inventory_append_value (&value, f, row);
  inventory_append_quoted (out, str_view (&value));
  str_reset (&value);
}

/* Appends a line that begins with "+" for a new row, "~" for a changed and "-"
   for a deleted one; old is the row before the change, or NULL.  */
static void
append_op_text (struct str_buf *out, const struct change_op *op,
                const void *old)
{
  const struct inventory_schema *s = inventory_get_schema (op->kind);
  const char *sign = op->verb == CHANGE_DELETE ? "-" : old != NULL ? "~" : "+";

  str_append_format (out, "%s %s %.*s", sign, s->singular,
                     STR_ARG (op->row.name));
  for (uint32_t i = 1; op->verb == CHANGE_PUT && i < s->fields_len; i++)
    {
      if ((op->field_mask & 1u << i) == 0)
        continue;
      if (old != NULL && inventory_equal_field (&s->fields[i], old, &op->row))
        continue;
      append_field_change (out, &s->fields[i], old, &op->row);
    }
  str_append_char (out, '\n');
}

/* Public functions */

void
change_init (struct change *c)
{
  *c = (struct change){ .nonce = STR_EMPTY, .author = STR_EMPTY };
  c->ops = g_array_new (FALSE, FALSE, sizeof (struct change_op));
  g_array_set_clear_func (c->ops, close_op);
}

void
change_close (struct change *c)
{
  str_free (&c->nonce);
  str_free (&c->author);
  g_array_unref (c->ops);
  c->ops = NULL;
}

struct change_op *
change_find (const struct change *c, enum inventory_kind kind, struct str name)
{
  for (guint i = 0; i < c->ops->len; i++)
    if (get_op (c, i)->kind == kind
        && str_equal (get_op (c, i)->row.name, name))
      return get_op (c, i);
  return NULL;
}

/**
 * change_put - adds fields of a row to a change
 * @c: change
 * @kind: kind of row
 * @row: row; its name and the fields in @field_mask are copied
 * @field_mask: bit i for field i
 */
void
change_put (struct change *c, enum inventory_kind kind, const void *row,
            uint32_t field_mask)
{
  struct str name = *(const struct str *)row;
  struct change_op *op = change_find (c, kind, name);

  if (op != NULL && op->verb == CHANGE_DELETE)
    {
      remove_op (c, op);
      op = NULL;
    }
  if (op == NULL)
    op = add_op (c, CHANGE_PUT, kind, name);
  copy_fields (kind, &op->row, row, field_mask);
  op->field_mask |= field_mask;
}

void
change_delete (struct change *c, enum inventory_kind kind, struct str name)
{
  struct change_op *op = change_find (c, kind, name);

  if (op != NULL && op->verb == CHANGE_DELETE)
    return;
  if (op != NULL)
    remove_op (c, op);
  add_op (c, CHANGE_DELETE, kind, name);
}

void
change_set_nonce (struct change *c)
{
  struct str_buf text = { 0 };

  for (int i = 0; i < NONCE_WORDS; i++)
    str_append_format (&text, "%08x", g_random_int ());
  str_free (&c->nonce);
  c->nonce = str_take (&text);
}

uint32_t
change_get_all_fields (enum inventory_kind kind)
{
  return (1u << inventory_get_schema (kind)->fields_len) - 1;
}

/**
 * change_diff - adds the operations that turn one inventory into another
 * @c: change
 * @from: inventory before the change
 * @to: inventory after the change
 *
 * A put of a row that exists in both contains the fields that differ, a put of
 * a new row all fields.  Puts are sorted by kind and name; deletes come last,
 * with the kinds in reverse order.
 */
void
change_diff (struct change *c, const struct inventory *from,
             const struct inventory *to)
{
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    {
      GPtrArray *rows = inventory_list (to, kind);

      for (guint i = 0; i < rows->len; i++)
        {
          const struct str *row = g_ptr_array_index (rows, i);
          const void *old = inventory_find (from, kind, *row);
          uint32_t field_mask = old != NULL ? find_differences (kind, old, row)
                                            : change_get_all_fields (kind);

          if (field_mask != 0)
            change_put (c, kind, row, field_mask);
        }
      g_ptr_array_unref (rows);
    }
  for (int kind = INVENTORY_KINDS - 1; kind >= 0; kind--)
    {
      GPtrArray *rows = inventory_list (from, kind);

      for (guint i = 0; i < rows->len; i++)
        {
          const struct str *row = g_ptr_array_index (rows, i);

          if (inventory_find (to, kind, *row) == NULL)
            change_delete (c, kind, *row);
        }
      g_ptr_array_unref (rows);
    }
}

/**
 * change_drop_unchanged - removes fields and operations that would not change
 * the inventory
 * @c: change
 * @inv: inventory that the change is for
 */
void
change_drop_unchanged (struct change *c, const struct inventory *inv)
{
  for (guint i = 0; i < c->ops->len;)
    {
      struct change_op *op = get_op (c, i);
      const void *old = inventory_find (inv, op->kind, op->row.name);
      bool unchanged = op->verb == CHANGE_DELETE && old == NULL;

      if (op->verb == CHANGE_PUT && old != NULL)
        {
          op->field_mask &= find_differences (op->kind, old, &op->row);
          unchanged = op->field_mask == 0;
          op->field_mask |= 1;
        }
      if (unchanged)
        g_array_remove_index (c->ops, i);
      else
        i++;
    }
}

/**
 * change_apply - applies a change
 * @inv: inventory of the revision before
 * @c: change
 * @error: receives %ERR_CHANGE_CONFLICT if the change is for another revision
 *   and %ERR_INVENTORY_INVALID if an operation cannot be applied
 *
 * Return: false on an error; @inv is then unchanged.
 */
bool
change_apply (struct inventory *inv, const struct change *c, GError **error)
{
  struct str_buf problems = { 0 };
  bool valid = true;

  if (c->revision != inv->revision + 1)
    {
      g_set_error (error, ERR_QUARK, ERR_CHANGE_CONFLICT,
                   "change %" G_GUINT64_FORMAT
                   " does not follow revision %" G_GUINT64_FORMAT,
                   c->revision, inv->revision);
      return false;
    }
  for (guint i = 0; i < c->ops->len; i++)
    valid = check_op (inv, get_op (c, i), &problems) && valid;
  if (!valid)
    {
      g_set_error (error, ERR_QUARK, ERR_INVENTORY_INVALID, "%.*s",
                   (int)problems.len - 1, problems.data);
      str_reset (&problems);
      return false;
    }
  for (guint i = 0; i < c->ops->len; i++)
    apply_op (inv, get_op (c, i));
  inv->revision = c->revision;
  return true;
}

uint32_t
change_check (const struct inventory *inv, const struct change *c,
              struct str_buf *problems)
{
  struct inventory after;
  uint32_t count = 0;

  for (guint i = 0; i < c->ops->len; i++)
    if (!check_op (inv, get_op (c, i), problems))
      count++;
  if (count > 0)
    return count;
  inventory_copy (&after, inv);
  for (guint i = 0; i < c->ops->len; i++)
    apply_op (&after, get_op (c, i));
  count = inventory_validate (&after, problems);
  inventory_close (&after);
  return count;
}

/**
 * change_find_conflicts - finds fields that other changes also modified
 * @c: change made for @base
 * @base: inventory that the author of @c edited
 * @current: inventory now, with the changes since @base
 * @conflicts: receives struct change_conflict
 *
 * Return: number of conflicts.
 */
uint32_t
change_find_conflicts (const struct change *c, const struct inventory *base,
                       const struct inventory *current, GArray *conflicts)
{
  guint before = conflicts->len;

  for (guint i = 0; i < c->ops->len; i++)
    {
      const struct change_op *op = get_op (c, i);

      find_op_conflicts (op, inventory_find (base, op->kind, op->row.name),
                         inventory_find (current, op->kind, op->row.name),
                         conflicts);
    }
  return conflicts->len - before;
}

GArray *
change_make_conflicts (void)
{
  GArray *conflicts
      = g_array_new (FALSE, FALSE, sizeof (struct change_conflict));

  g_array_set_clear_func (conflicts, close_conflict);
  return conflicts;
}

void
change_append_conflict (struct str_buf *out, const struct change_conflict *c)
{
  str_append_format (out, "%s/%.*s", inventory_get_schema (c->kind)->plural,
                     STR_ARG (c->name));
  if (c->field != NULL)
    str_append_format (out, "/%s", c->field->name);
  str_append (out, STR_LIT (": was "));
  inventory_append_quoted (out, c->base);
  str_append (out, STR_LIT (", is now "));
  inventory_append_quoted (out, c->theirs);
  str_append (out, STR_LIT (", yours "));
  inventory_append_quoted (out, c->ours);
  str_append_char (out, '\n');
}

/**
 * change_append_text - appends a human-readable description of a change
 * @out: buffer
 * @c: change
 * @inv: inventory that the change is for
 */
void
change_append_text (struct str_buf *out, const struct change *c,
                    const struct inventory *inv)
{
  for (guint i = 0; i < c->ops->len; i++)
    {
      const struct change_op *op = get_op (c, i);

      append_op_text (out, op, inventory_find (inv, op->kind, op->row.name));
    }
}
