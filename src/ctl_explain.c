/* ctl_explain: shows how a given request would be handled, and why.  */

#include "ctl.h"
#include "inventory_json.h"
#include "route.h"
#include "snapshot.h"

#include <string.h>

/* Types */

/* Request to explain.  */
struct request
{
  struct str method;
  struct str path;
  struct str host;      /* empty: only routes without a host match */
  struct str workspace; /* empty if unknown */
  struct str key_id;    /* empty if not given */
};

/* How the request would be handled.  */
struct decision
{
  enum err_kind error; /* ERR_NONE: served unless a limit is exceeded */
  const struct inventory_route *route;
  const struct inventory_workspace *workspace;
  const struct inventory_rule *rule;
  uint32_t importance;
  struct str_buf reasons; /* one line for each reason */
};

/* Internal functions: deciding */

/* Finds the workspace that the request is made for.  */
static void
find_workspace (const struct inventory *inv, const struct request *q,
                struct decision *d)
{
  const struct inventory_key *key;
  struct str name = q->workspace;

  if (q->key_id.len > 0)
    {
      key = inventory_find (inv, INVENTORY_KEY, q->key_id);
      if (key == NULL)
        {
          d->error = ERR_KEY_UNKNOWN;
          return;
        }
      name = key->workspace;
      str_append_format (&d->reasons, "key %.*s belongs to workspace %.*s\n",
                         STR_ARG (key->id), STR_ARG (name));
    }
  if (name.len == 0)
    {
      d->error = ERR_KEY_MISSING;
      return;
    }
  d->workspace = inventory_find (inv, INVENTORY_WORKSPACE, name);
  if (d->workspace == NULL)
    {
      str_append_format (&d->reasons, "there is no workspace %.*s\n",
                         STR_ARG (name));
      d->error = ERR_KEY_UNKNOWN;
    }
  else if (!inventory_allows_route (d->workspace, d->route->name))
    {
      str_append_format (&d->reasons,
                         "workspace %.*s lists its routes, and %.*s is not "
                         "among them\n",
                         STR_ARG (name), STR_ARG (d->route->name));
      d->error = ERR_WORKSPACE_FORBIDDEN;
    }
}

static void
find_importance (const struct inventory *inv, const struct request *q,
                 struct decision *d)
{
  struct str workspace = d->workspace != NULL ? d->workspace->name : STR_EMPTY;

  d->rule = inventory_match_rule (inv, workspace, d->route->name,
                                  route_parse_method (q->method));
  d->importance = d->rule != NULL ? d->rule->importance : d->route->importance;
  if (d->rule != NULL)
    str_append_format (&d->reasons,
                       "importance %u by rule %.*s (order %u), instead of the "
                       "route's %u\n",
                       d->importance, STR_ARG (d->rule->name), d->rule->order,
                       d->route->importance);
  else
    str_append_format (&d->reasons,
                       "importance %u of the route, no rule matches\n",
                       d->importance);
}

/* Decides with the look-ups of the daemon's request_check, in the same
   order.  */
static void
decide (const struct snapshot_config *config, const struct request *q,
        struct decision *d)
{
  const struct inventory *inv = &config->inventory;

  d->error
      = snapshot_find_route (config, q->method, q->host, q->path, &d->route);
  if (d->error != ERR_NONE)
    {
      d->route = NULL;
      return;
    }
  str_append_format (&d->reasons, "route %.*s: path prefix %.*s\n",
                     STR_ARG (d->route->name),
                     STR_ARG (d->route->path_prefix));
  if (d->route->internal)
    {
      str_append (&d->reasons,
                  STR_LIT ("the route is internal: only nested calls are "
                           "served, with the workspace and importance of the "
                           "request that makes them\n"));
      d->error = ERR_ROUTE_UNKNOWN;
      return;
    }
  if (d->route->open)
    str_append (&d->reasons,
                STR_LIT ("the route is open: no key is needed and "
                         "no workspace's rate is spent\n"));
  else
    find_workspace (inv, q, d);
  if (d->error == ERR_NONE)
    find_importance (inv, q, d);
}

/* Internal functions: reporting */

static void
append_text (struct ctl *ctl, const struct decision *d)
{
  const struct inventory_route *r = d->route;
  const struct inventory_workspace *w = d->workspace;

  if (d->error != ERR_NONE)
    str_append_format (&ctl->out, "Rejected with %s (%d): %s\n",
                       err_get_answer (d->error)->name,
                       err_get_answer (d->error)->status,
                       err_get_answer (d->error)->text);
  else
    str_append_format (
        &ctl->out,
        "Served by %.*s through route %.*s with importance %u.\n"
        "Time for the call tree: %u ms; extra attempts: %u; idempotent: %s; "
        "idempotency key: %s.\n",
        STR_ARG (r->service), STR_ARG (r->name), d->importance, r->timeout_ms,
        r->retry_budget, r->idempotent ? "yes" : "no",
        inventory_get_idempotency_name (r->idempotency_key));
  if (d->error == ERR_NONE && w != NULL)
    str_append_format (&ctl->out,
                       "Workspace %.*s: %u requests/s, burst %u, weight %u.\n",
                       STR_ARG (w->name), w->rate_per_s, w->burst, w->weight);
  if (d->reasons.len > 0)
    str_append_format (&ctl->out, "Because:\n%.*s",
                       STR_ARG (str_view (&d->reasons)));
}

static void
add_row (JsonBuilder *b, const char *name, enum inventory_kind kind,
         const void *row)
{
  JsonNode *node;

  json_builder_set_member_name (b, name);
  if (row == NULL)
    {
      json_builder_add_null_value (b);
      return;
    }
  node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, inventory_json_make_row (kind, row));
  json_builder_add_value (b, node);
}

static int
append_json (struct ctl *ctl, const struct decision *d, const char *daemon)
{
  JsonBuilder *b = json_builder_new ();
  int code = CTL_OK;
  char *text = str_dup_cstr (str_view (&d->reasons));
  char **lines = g_strsplit (text, "\n", -1);

  json_builder_begin_object (b);
  ctl_add_string (b, "error", str_from_cstr (err_get_answer (d->error)->name));
  json_builder_set_member_name (b, "importance");
  json_builder_add_int_value (b, d->importance);
  add_row (b, "route", INVENTORY_ROUTE, d->route);
  add_row (b, "workspace", INVENTORY_WORKSPACE, d->workspace);
  add_row (b, "rule", INVENTORY_RULE, d->rule);
  json_builder_set_member_name (b, "why");
  json_builder_begin_array (b);
  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0')
      json_builder_add_string_value (b, *line);
  json_builder_end_array (b);
  if (daemon != NULL && d->error == ERR_NONE)
    code = ctl_add_endpoints (ctl, daemon, d->route->service, b);
  json_builder_end_object (b);
  ctl_append_json (ctl, b);
  g_strfreev (lines);
  g_free (text);
  return code;
}

/* Loads the inventory from a file instead of the platform.  */
static int
load_file (struct ctl *ctl, const char *path)
{
  struct inventory inv;
  GError *error = NULL;
  struct str text;

  if (!ctl_read_file (path, &text))
    return CTL_NO_INPUT;
  if (!inventory_json_load (&inv, text, &error))
    {
      ctl_print_error ("%s: %s", path, error->message);
      g_error_free (error);
      str_free (&text);
      return CTL_DATA;
    }
  str_free (&text);
  inventory_close (&ctl->journal.inv);
  ctl->journal.inv = inv;
  return CTL_OK;
}

/* Public functions */

int
ctl_explain (struct ctl *ctl, const struct ctl_command *self, int argc,
             char **argv)
{
  char *workspace = NULL;
  char *key_id = NULL;
  char *host = NULL;
  char *file = NULL;
  char *daemon = NULL;
  GOptionEntry entries[]
      = { { "workspace", 0, 0, G_OPTION_ARG_STRING, &workspace,
            "Workspace of the caller", "NAME" },
          { "key-id", 0, 0, G_OPTION_ARG_STRING, &key_id,
            "Id of the caller's key (the part between the underscores)",
            "ID" },
          { "host", 0, 0, G_OPTION_ARG_STRING, &host,
            "Host header of the request", "NAME" },
          { "file", 0, 0, G_OPTION_ARG_STRING, &file,
            "Use the inventory in a file instead of the platform's", "FILE" },
          { "daemon", 0, 0, G_OPTION_ARG_STRING, &daemon,
            "Show where the daemon with this local port would send it now",
            "ADDRESS:PORT" },
          { 0 } };
  struct snapshot_config *config;
  struct decision d = { 0 };
  struct request q;
  int code = CTL_USAGE;

  if (ctl_parse (ctl, self, entries, 2, 2, &argc, &argv))
    code = file != NULL ? load_file (ctl, file)
                        : ctl_load (ctl, JOURNAL_NEWEST);
  if (code == CTL_OK)
    {
      q = (struct request){ .method = str_from_cstr (argv[1]),
                            .path = str_from_cstr (argv[2]),
                            .host = str_from_cstr (host),
                            .workspace = str_from_cstr (workspace),
                            .key_id = str_from_cstr (key_id) };
      config = snapshot_load_config (&ctl->journal.inv);
      decide (config, &q, &d);
      if (ctl->json)
        code = append_json (ctl, &d, daemon);
      else
        append_text (ctl, &d);
      if (!ctl->json && daemon != NULL && d.error == ERR_NONE)
        code = ctl_add_endpoints (ctl, daemon, d.route->service, NULL);
      refcount_put (&config->ref);
    }
  str_reset (&d.reasons);
  g_free (workspace);
  g_free (key_id);
  g_free (host);
  g_free (file);
  g_free (daemon);
  return code;
}
