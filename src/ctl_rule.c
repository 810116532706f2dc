/* ctl_rule: lists, sets and deletes ranking rules, which set the importance of
   the requests that they match.  */

#include "ctl.h"
#include "inventory_json.h"

#include <string.h>

/* Types */

/* Options of `rule set`; NULL if not given.  */
struct rule_options
{
  char *order;
  char *workspace;
  char *route;
  char *method;
  char *importance;
};

/* Internal functions */

static int
compare_rules (gconstpointer a, gconstpointer b)
{
  const struct inventory_rule *const *x = a;
  const struct inventory_rule *const *y = b;

  if ((*x)->order != (*y)->order)
    return (*x)->order < (*y)->order ? -1 : 1;
  return str_compare ((*x)->name, (*y)->name);
}

static void
append_rule (struct str_buf *out, const struct inventory_rule *r)
{
  struct str any = STR_LIT ("any");

  str_append_format (
      out, "%7u  %.*s: importance %u for workspace %.*s, route %.*s, %s\n",
      r->order, STR_ARG (r->name), r->importance,
      STR_ARG ((r->workspace.len > 0 ? r->workspace : any)),
      STR_ARG ((r->route.len > 0 ? r->route : any)),
      r->method != 0 ? inventory_get_method_name (r->method) : "any method");
}

/* Lists the rules in the order in which they are tried.  */
static int
list_rules (struct ctl *ctl)
{
  JsonBuilder *b;
  GPtrArray *rules;
  int code = ctl_load (ctl, JOURNAL_NEWEST);

  if (code != CTL_OK)
    return code;
  rules = inventory_list (&ctl->journal.inv, INVENTORY_RULE);
  g_ptr_array_sort (rules, compare_rules);
  b = json_builder_new ();
  json_builder_begin_array (b);
  for (guint i = 0; i < rules->len; i++)
    {
      const void *rule = g_ptr_array_index (rules, i);
      JsonNode *node = json_node_new (JSON_NODE_OBJECT);

      json_node_take_object (node,
                             inventory_json_make_row (INVENTORY_RULE, rule));
      json_builder_add_value (b, node);
      if (!ctl->json)
        append_rule (&ctl->out, rule);
    }
  json_builder_end_array (b);
  if (ctl->json)
    ctl_append_json (ctl, b);
  else
    g_object_unref (b);
  g_ptr_array_unref (rules);
  return CTL_OK;
}

/* Parses an option into a field of the row and sets the field's bit in
   fields_set; does nothing if the option is not given.  Prints an error line
   and returns false if the value is invalid.  */
static bool
set_option (union inventory_row *row, uint32_t *fields_set, const char *field,
            const char *text)
{
  const struct inventory_schema *s = inventory_get_schema (INVENTORY_RULE);
  const struct inventory_field *f
      = inventory_find_field (INVENTORY_RULE, str_from_cstr (field));
  struct str_buf allowed = { 0 };

  if (text == NULL)
    return true;
  *fields_set |= 1u << (f - s->fields);
  if (inventory_parse_value (f, row, str_from_cstr (text)))
    return true;
  inventory_append_allowed_values (&allowed, f);
  ctl_print_error ("--%s: found \"%s\", allowed: %s", field, text,
                   allowed.data);
  str_reset (&allowed);
  return false;
}

static int
set_rule (struct ctl *ctl, const char *name, const struct rule_options *o)
{
  union inventory_row row;
  struct change change;
  uint32_t fields_set = 1; /* bit 0: the name */
  bool accepted;
  int code = CTL_USAGE;

  inventory_init_row (INVENTORY_RULE, &row);
  row.name = str_copy (str_from_cstr (name));
  if (set_option (&row, &fields_set, "order", o->order)
      && set_option (&row, &fields_set, "workspace", o->workspace)
      && set_option (&row, &fields_set, "route", o->route)
      && set_option (&row, &fields_set, "method", o->method)
      && set_option (&row, &fields_set, "importance", o->importance))
    code = ctl_load (ctl, JOURNAL_NEWEST);
  if (code == CTL_OK)
    {
      ctl_init_change (ctl, &change);
      change_put (&change, INVENTORY_RULE, &row, fields_set);
      code = ctl_commit (ctl, &change, &accepted);
      change_close (&change);
    }
  inventory_close_row (INVENTORY_RULE, &row);
  return code;
}

static int
delete_rule (struct ctl *ctl, const char *name)
{
  struct change change;
  bool accepted;
  int code = ctl_load (ctl, JOURNAL_NEWEST);

  if (code != CTL_OK)
    return code;
  if (inventory_find (&ctl->journal.inv, INVENTORY_RULE, str_from_cstr (name))
      == NULL)
    {
      ctl_print_error ("there is no rule \"%s\"", name);
      return CTL_DATA;
    }
  ctl_init_change (ctl, &change);
  change_delete (&change, INVENTORY_RULE, str_from_cstr (name));
  code = ctl_commit (ctl, &change, &accepted);
  change_close (&change);
  return code;
}

/* Public functions */

int
ctl_rule (struct ctl *ctl, const struct ctl_command *self, int argc,
          char **argv)
{
  struct rule_options o = { 0 };
  GOptionEntry entries[]
      = { { "order", 0, 0, G_OPTION_ARG_STRING, &o.order,
            "Order of the rule; the lowest order is tried first", "N" },
          { "workspace", 0, 0, G_OPTION_ARG_STRING, &o.workspace,
            "Workspace that the rule applies to (default: any)", "NAME" },
          { "route", 0, 0, G_OPTION_ARG_STRING, &o.route,
            "Route that the rule applies to (default: any)", "NAME" },
          { "method", 0, 0, G_OPTION_ARG_STRING, &o.method,
            "Method that the rule applies to (default: any)", "METHOD" },
          { "importance", 0, 0, G_OPTION_ARG_STRING, &o.importance,
            "Importance that the rule sets; 9 is the highest", "0..9" },
          { 0 } };
  int code = CTL_USAGE;

  if (!ctl_parse (ctl, self, entries, 1, 2, &argc, &argv))
    code = CTL_USAGE;
  else if (argc == 2 && strcmp (argv[1], "list") == 0)
    code = list_rules (ctl);
  else if (argc == 3 && strcmp (argv[1], "set") == 0)
    code = set_rule (ctl, argv[2], &o);
  else if (argc == 3 && strcmp (argv[1], "delete") == 0)
    code = delete_rule (ctl, argv[2]);
  else
    ctl_print_error ("usage: almondvalectl rule %s", self->arguments);
  g_free (o.order);
  g_free (o.workspace);
  g_free (o.route);
  g_free (o.method);
  g_free (o.importance);
  return code;
}
