/* ctl_inventory: the commands import, show, diff, validate and apply.  */

#include "change_json.h"
#include "ctl.h"
#include "inventory_import.h"
#include "inventory_json.h"
#include "json_check.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Types */

/* Content of a file that holds an inventory or a change.  */
struct input
{
  bool is_change;
  struct inventory inv; /* set if is_change is false */
  struct change change; /* set if is_change is true */
};

/* Internal functions: input */

/* Returns true if the text is a change, which has the member "ops"; otherwise
   it is read as an inventory.  */
static bool
is_change_file (struct str text)
{
  JsonNode *root = json_check_parse (text, NULL);
  bool found = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
               && json_object_has_member (json_node_get_object (root), "ops");

  if (root != NULL)
    json_node_unref (root);
  return found;
}

static int
load_input (struct ctl *ctl, const char *path, struct input *in)
{
  struct str_buf problem = { 0 };
  GError *error = NULL;
  struct str text;
  bool valid;

  if (!ctl_read_file (path, &text))
    return CTL_NO_INPUT;
  *in = (struct input){ .is_change = is_change_file (text) };
  if (in->is_change)
    valid = change_json_load (&in->change, text, &error);
  else
    valid = inventory_json_load (&in->inv, text, &error);
  str_free (&text);
  if (valid)
    return CTL_OK;
  str_append_format (&problem, "%s: %s\n", path, error->message);
  ctl_report_problems (ctl, str_view (&problem));
  str_reset (&problem);
  g_error_free (error);
  return CTL_DATA;
}

static void
unload_input (struct input *in)
{
  if (in->is_change)
    change_close (&in->change);
  else
    inventory_close (&in->inv);
}

/* Loads the revision that the input is based on, and sets `change` to the
   change that the input holds or to the inventory's differences from that
   revision.  */
static int
make_change (struct ctl *ctl, struct input *in, struct change *change)
{
  uint64_t base = JOURNAL_NEWEST;
  int code;

  if (!in->is_change)
    base = in->inv.revision;
  else if (in->change.revision > 0)
    base = in->change.revision - 1;
  code = ctl_load (ctl, base);
  if (code != CTL_OK)
    return code;
  ctl_init_change (ctl, change);
  if (!in->is_change)
    change_diff (change, &ctl->journal.base, &in->inv);
  else
    {
      GArray *ops = change->ops;

      change->ops = g_array_ref (in->change.ops);
      g_array_unref (ops);
    }
  return CTL_OK;
}

/* Internal functions: showing */

static void
append_row_text (struct str_buf *out, enum inventory_kind kind,
                 const void *row)
{
  const struct inventory_schema *s = inventory_get_schema (kind);

  str_append (out, STR_LIT ("  "));
  inventory_append_value (out, &s->fields[0], row);
  for (uint32_t i = 1; i < s->fields_len; i++)
    {
      struct str_buf value = { 0 };

      inventory_append_value (&value, &s->fields[i], row);
      if (value.len > 0)
        str_append_format (out, "  %s=%s", s->fields[i].name, value.data);
      str_reset (&value);
    }
  str_append_char (out, '\n');
}

static void
show_kind (struct ctl *ctl, enum inventory_kind kind)
{
  GPtrArray *rows = inventory_list (&ctl->journal.inv, kind);

  str_append_format (&ctl->out, "%s (%u)\n",
                     inventory_get_schema (kind)->plural, rows->len);
  for (guint i = 0; i < rows->len; i++)
    append_row_text (&ctl->out, kind, g_ptr_array_index (rows, i));
  g_ptr_array_unref (rows);
}

static void
show_kind_json (struct ctl *ctl, enum inventory_kind kind)
{
  GPtrArray *rows = inventory_list (&ctl->journal.inv, kind);
  JsonBuilder *b = json_builder_new ();

  json_builder_begin_array (b);
  for (guint i = 0; i < rows->len; i++)
    {
      JsonNode *node = json_node_new (JSON_NODE_OBJECT);

      json_node_take_object (
          node, inventory_json_make_row (kind, g_ptr_array_index (rows, i)));
      json_builder_add_value (b, node);
    }
  json_builder_end_array (b);
  ctl_append_json (ctl, b);
  g_ptr_array_unref (rows);
}

static int
show_one (struct ctl *ctl, enum inventory_kind kind, const char *name)
{
  const void *row
      = inventory_find (&ctl->journal.inv, kind, str_from_cstr (name));
  JsonNode *node;

  if (row == NULL)
    {
      ctl_print_error ("there is no %s \"%s\"",
                       inventory_get_schema (kind)->singular, name);
      return CTL_DATA;
    }
  if (!ctl->json)
    {
      append_row_text (&ctl->out, kind, row);
      return CTL_OK;
    }
  node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, inventory_json_make_row (kind, row));
  inventory_json_append_node (&ctl->out, node, true);
  str_append_char (&ctl->out, '\n');
  json_node_unref (node);
  return CTL_OK;
}

static void
show_all (struct ctl *ctl)
{
  if (ctl->json)
    {
      inventory_json_append (&ctl->out, &ctl->journal.inv);
      return;
    }
  str_append_format (&ctl->out, "revision %" PRIu64 "\n",
                     ctl->journal.inv.revision);
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    show_kind (ctl, kind);
}

/* Internal functions: import */

/* Parses an asset register, a CSV or JSON file with entries to add or update.
   Without a format, the end of the file name selects it.  */
static bool
parse_register (struct inventory_import *import, const char *path,
                const char *format, struct str text, struct str ignored)
{
  bool json = format != NULL ? strcmp (format, "json") == 0
                             : g_str_has_suffix (path, ".json");

  if (json)
    return inventory_import_load_json (import, str_from_cstr (path), text,
                                       ignored);
  return inventory_import_load_csv (import, str_from_cstr (path), text,
                                    ignored);
}

static int
import_register (struct ctl *ctl, struct inventory_import *import)
{
  struct change change;
  bool accepted;
  GArray *ops;
  int code = ctl_load (ctl, JOURNAL_NEWEST);

  if (code != CTL_OK)
    return code;
  if (!inventory_import_check (import, &ctl->journal.inv))
    return ctl_report_problems (ctl, str_view (&import->problems));
  ctl_init_change (ctl, &change);
  ops = change.ops;
  change.ops = g_array_ref (import->change.ops);
  g_array_unref (ops);
  code = ctl_commit (ctl, &change, &accepted);
  change_close (&change);
  return code;
}

/* Public functions */

int
ctl_import (struct ctl *ctl, const struct ctl_command *self, int argc,
            char **argv)
{
  char *format = NULL;
  char *ignored = NULL;
  GOptionEntry entries[]
      = { { "format", 0, 0, G_OPTION_ARG_STRING, &format,
            "Format of the register (default: json if FILE ends in .json, "
            "else csv)",
            "csv|json" },
          { "ignore", 0, 0, G_OPTION_ARG_STRING, &ignored, "Columns to ignore",
            "NAME,..." },
          { 0 } };
  struct inventory_import import;
  struct str text;
  int code = CTL_USAGE;

  if (!ctl_parse (ctl, self, entries, 1, 1, &argc, &argv))
    goto out;
  if (format != NULL && strcmp (format, "csv") != 0
      && strcmp (format, "json") != 0)
    {
      ctl_print_error ("--format: found \"%s\", allowed: csv, json", format);
      goto out;
    }
  if (!ctl_read_file (argv[1], &text))
    {
      code = CTL_NO_INPUT;
      goto out;
    }
  if (parse_register (&import, argv[1], format, text, str_from_cstr (ignored)))
    code = import_register (ctl, &import);
  else
    code = ctl_report_problems (ctl, str_view (&import.problems));
  inventory_import_unload (&import);
  str_free (&text);
out:
  g_free (format);
  g_free (ignored);
  return code;
}

int
ctl_show (struct ctl *ctl, const struct ctl_command *self, int argc,
          char **argv)
{
  enum inventory_kind kind = INVENTORY_KINDS;
  int code;

  if (!ctl_parse (ctl, self, NULL, 0, 2, &argc, &argv))
    return CTL_USAGE;
  if (argc > 1)
    {
      kind = inventory_find_kind (str_from_cstr (argv[1]));
      if (kind == INVENTORY_KINDS)
        {
          ctl_print_error ("kind: found \"%s\", allowed: services, routes, "
                           "workspaces, keys, rules",
                           argv[1]);
          return CTL_USAGE;
        }
    }
  code = ctl_load (ctl, JOURNAL_NEWEST);
  if (code != CTL_OK)
    return code;
  if (argc == 3)
    return show_one (ctl, kind, argv[2]);
  if (kind == INVENTORY_KINDS)
    show_all (ctl);
  else if (ctl->json)
    show_kind_json (ctl, kind);
  else
    show_kind (ctl, kind);
  return CTL_OK;
}

int
ctl_diff (struct ctl *ctl, const struct ctl_command *self, int argc,
          char **argv)
{
  struct change change;
  struct input in;
  bool differs;
  int code;

  if (!ctl_parse (ctl, self, NULL, 1, 1, &argc, &argv))
    return CTL_USAGE;
  code = load_input (ctl, argv[1], &in);
  if (code != CTL_OK)
    return code;
  code = make_change (ctl, &in, &change);
  if (code == CTL_OK)
    {
      change_drop_unchanged (&change, &ctl->journal.inv);
      differs = change.ops->len > 0;
      if (ctl->json)
        {
          change_json_append (&ctl->out, &change);
          str_append_char (&ctl->out, '\n');
        }
      else
        change_append_text (&ctl->out, &change, &ctl->journal.inv);
      change_close (&change);
      code = differs ? CTL_DIFFERENT : CTL_OK;
    }
  unload_input (&in);
  return code;
}

int
ctl_validate (struct ctl *ctl, const struct ctl_command *self, int argc,
              char **argv)
{
  struct str_buf problems = { 0 };
  struct input in;
  int code;

  if (!ctl_parse (ctl, self, NULL, 1, 1, &argc, &argv))
    return CTL_USAGE;
  code = load_input (ctl, argv[1], &in);
  if (code != CTL_OK)
    return code;
  if (!in.is_change && inventory_validate (&in.inv, &problems) > 0)
    code = ctl_report_problems (ctl, str_view (&problems));
  else if (ctl->json)
    str_append (&ctl->out, STR_LIT ("{\"result\": \"valid\"}\n"));
  else
    str_append_format (&ctl->out, "%s is a valid %s.\n", argv[1],
                       in.is_change ? "change" : "inventory");
  str_reset (&problems);
  unload_input (&in);
  return code;
}

int
ctl_apply (struct ctl *ctl, const struct ctl_command *self, int argc,
           char **argv)
{
  struct change change;
  struct input in;
  bool accepted;
  int code;

  if (!ctl_parse (ctl, self, NULL, 1, 1, &argc, &argv))
    return CTL_USAGE;
  code = load_input (ctl, argv[1], &in);
  if (code != CTL_OK)
    return code;
  code = make_change (ctl, &in, &change);
  if (code == CTL_OK)
    {
      code = ctl_commit (ctl, &change, &accepted);
      change_close (&change);
    }
  unload_input (&in);
  return code;
}
