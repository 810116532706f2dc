/* ctl_status: shows the platform's revision, a daemon's state, or whether a
   change took effect.  */

#include "change_json.h"
#include "clock.h"
#include "ctl.h"
#include "json_check.h"

#include <inttypes.h>
#include <string.h>

/* Constants */

#define STATUS_TARGET "/almondvale/status"

/* Types */

/* Look-up of the change that made a revision: finds out whether it is the
   change with this nonce.  */
struct change_lookup
{
  struct ctl *ctl;
  struct str nonce; /* nonce of the change looked for */
  enum err_kind error;
  bool nonce_matches; /* the stored change has this nonce */
};

/* Internal functions: a daemon */

static void append_value (struct str_buf *out, const char *name,
                          JsonNode *node, int depth);

static void
append_members (struct str_buf *out, JsonObject *object, int depth)
{
  GList *members = json_object_get_members (object);

  for (GList *m = members; m != NULL; m = m->next)
    append_value (out, m->data, json_object_get_member (object, m->data),
                  depth);
  g_list_free (members);
}

/* Appends one line for each value; members of nested objects are indented.
   json_check limits the depth.  */
static void
append_value (struct str_buf *out, const char *name, JsonNode *node, int depth)
{
  char *text;

  str_append_format (out, "%*s%s:", depth * 2, "", name);
  if (JSON_NODE_HOLDS_OBJECT (node))
    {
      str_append_char (out, '\n');
      append_members (out, json_node_get_object (node), depth + 1);
      return;
    }
  text = json_to_string (node, FALSE);
  str_append_format (out, " %s\n", text);
  g_free (text);
}

static int
show_daemon (struct ctl *ctl, const char *address)
{
  struct str_buf body = { 0 };
  GError *error = NULL;
  JsonNode *root = NULL;
  int code = CTL_UNAVAILABLE;

  if (ctl_fetch (ctl, address, STATUS_TARGET, &body))
    {
      code = CTL_SOFTWARE;
      root = json_check_parse (str_view (&body), &error);
      if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
        ctl_print_error ("the daemon's status cannot be read%s%s",
                         error != NULL ? ": " : "",
                         error != NULL ? error->message : "");
      else
        {
          code = CTL_OK;
          if (ctl->json)
            str_append (&ctl->out, str_view (&body));
          else
            append_members (&ctl->out, json_node_get_object (root), 0);
        }
    }
  if (root != NULL)
    json_node_unref (root);
  g_clear_error (&error);
  str_reset (&body);
  return code;
}

/* Internal functions: a change */

/* Splits REVISION:NONCE.  */
static bool
split_change (const char *text, uint64_t *revision, struct str *nonce)
{
  const char *colon = strchr (text, ':');

  if (colon == NULL || colon[1] == '\0'
      || !str_parse_u64 (
          str_slice (str_from_cstr (text), 0, (size_t)(colon - text)),
          revision)
      || *revision == 0 || *revision > INT64_MAX)
    {
      ctl_print_error ("--change: found \"%s\", allowed: REVISION:NONCE",
                       text);
      return false;
    }
  *nonce = str_from_cstr (colon + 1);
  return true;
}

static void
on_change (void *data, const struct object_store_answer *answer)
{
  struct change_lookup *s = data;
  struct change c;

  s->error = answer->error;
  if (answer->error == ERR_NONE)
    {
      if (change_json_load (&c, answer->value, NULL))
        {
          s->nonce_matches = str_equal (c.nonce, s->nonce);
          change_close (&c);
        }
      else
        s->error = ERR_PROTOCOL;
    }
  event_base_loopbreak (s->ctl->base);
}

static void
fetch_change (struct ctl *ctl, uint64_t revision, struct change_lookup *s)
{
  struct object_store_call call
      = { .timeout_us = (int64_t)ctl->timeout_ms * CLOCK_US_PER_MS,
          .done = on_change,
          .data = s };
  struct str_buf key = { 0 };

  journal_append_key (&key, revision);
  ctl->store->ops->get (ctl->store, str_view (&key), &call);
  str_reset (&key);
  event_base_loop (ctl->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

static void
report_change (struct ctl *ctl, const char *result, const char *text)
{
  if (ctl->json)
    str_append_format (&ctl->out, "{\"result\": \"%s\"}\n", result);
  else
    str_append_format (&ctl->out, "%s\n", text);
}

/* Reports whether the change REVISION:NONCE took effect as that revision.  */
static int
show_change_state (struct ctl *ctl, const char *text)
{
  struct change_lookup s = { .ctl = ctl };
  uint64_t revision;
  int code;

  if (!split_change (text, &revision, &s.nonce))
    return CTL_USAGE;
  code = ctl_load (ctl, JOURNAL_NEWEST);
  if (code != CTL_OK)
    return code;
  fetch_change (ctl, revision, &s);
  if (s.error == ERR_NOT_FOUND)
    {
      report_change (ctl, "unknown",
                     "The change has not taken effect so far; its write may "
                     "still be under way.");
      return CTL_OUTCOME_UNKNOWN;
    }
  if (s.error != ERR_NONE)
    {
      ctl_print_error ("the change cannot be read: %s",
                       err_get_answer (s.error)->text);
      return CTL_UNAVAILABLE;
    }
  if (s.nonce_matches)
    report_change (ctl, "accepted", "The change took effect.");
  else
    report_change (ctl, "not_applied",
                   "The change did not take effect; the revision is another "
                   "operator's.");
  return s.nonce_matches ? CTL_OK : CTL_CONFLICT;
}

/* Internal functions: the platform */

static int
show_platform (struct ctl *ctl)
{
  const struct journal *j = &ctl->journal;
  JsonBuilder *b;
  int code = ctl_load (ctl, JOURNAL_NEWEST);

  if (code != CTL_OK)
    return code;
  b = json_builder_new ();
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "revision");
  json_builder_add_int_value (b, (gint64)j->inv.revision);
  json_builder_set_member_name (b, "snapshot");
  json_builder_add_int_value (b, (gint64)j->snapshot_revision);
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    {
      json_builder_set_member_name (b, inventory_get_schema (kind)->plural);
      json_builder_add_int_value (b, j->inv.tables[kind].count);
    }
  json_builder_end_object (b);
  if (ctl->json)
    ctl_append_json (ctl, b);
  else
    {
      JsonNode *root = json_builder_get_root (b);

      append_members (&ctl->out, json_node_get_object (root), 0);
      json_node_unref (root);
      g_object_unref (b);
    }
  return CTL_OK;
}

/* Public functions */

int
ctl_status (struct ctl *ctl, const struct ctl_command *self, int argc,
            char **argv)
{
  char *daemon_address = NULL;
  char *change = NULL;
  GOptionEntry entries[]
      = { { "daemon", 0, 0, G_OPTION_ARG_STRING, &daemon_address,
            "Show the state of the daemon with this local port",
            "ADDRESS:PORT" },
          { "change", 0, 0, G_OPTION_ARG_STRING, &change,
            "Show whether a change took effect", "REVISION:NONCE" },
          { 0 } };
  int code = CTL_USAGE;

  if (ctl_parse (ctl, self, entries, 0, 0, &argc, &argv))
    {
      if (change != NULL)
        code = show_change_state (ctl, change);
      else if (daemon_address != NULL)
        code = show_daemon (ctl, daemon_address);
      else
        code = show_platform (ctl);
    }
  g_free (daemon_address);
  g_free (change);
  return code;
}
