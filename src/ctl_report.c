/* ctl_report: reports the result of a change as text or as JSON.  */

#include "change_json.h"
#include "ctl.h"

#include <inttypes.h>
#include <stdio.h>

/* Constants */

static const struct
{
  const char *name; /* value of the JSON member "result" */
  int code;
} results[] = {
  [JOURNAL_ACCEPTED] = { "accepted", CTL_OK },
  [JOURNAL_UNCHANGED] = { "unchanged", CTL_OK },
  [JOURNAL_INVALID] = { "invalid", CTL_DATA },
  [JOURNAL_CONFLICT] = { "conflict", CTL_CONFLICT },
  [JOURNAL_UNAVAILABLE] = { "unavailable", CTL_UNAVAILABLE },
  [JOURNAL_UNKNOWN] = { "unknown", CTL_OUTCOME_UNKNOWN },
  [JOURNAL_CORRUPT] = { "corrupt", CTL_SOFTWARE },
};

/* Internal functions */

static void
add_lines (JsonBuilder *b, const char *name, struct str lines)
{
  char *text = str_dup_cstr (lines);
  char **split = g_strsplit (text, "\n", -1);

  json_builder_set_member_name (b, name);
  json_builder_begin_array (b);
  for (char **p = split; *p != NULL; p++)
    if (**p != '\0')
      json_builder_add_string_value (b, *p);
  json_builder_end_array (b);
  g_strfreev (split);
  g_free (text);
}

static void
add_conflicts (JsonBuilder *b, const GArray *conflicts)
{
  json_builder_set_member_name (b, "conflicts");
  json_builder_begin_array (b);
  for (guint i = 0; i < conflicts->len; i++)
    {
      const struct change_conflict *c
          = &g_array_index (conflicts, struct change_conflict, i);
      char *member = g_strdup_printf (
          "%s/%.*s%s%s", inventory_get_schema (c->kind)->plural,
          STR_ARG (c->name), c->field != NULL ? "/" : "",
          c->field != NULL ? c->field->name : "");

      json_builder_begin_object (b);
      ctl_add_string (b, "member", str_from_cstr (member));
      ctl_add_string (b, "base", c->base);
      ctl_add_string (b, "theirs", c->theirs);
      ctl_add_string (b, "ours", c->ours);
      json_builder_end_object (b);
      g_free (member);
    }
  json_builder_end_array (b);
}

/* Adds the change itself to the report, so that a script that passed it on
   standard input does not lose it.  */
static void
add_change (JsonBuilder *b, const struct change *change)
{
  struct str_buf text = { 0 };
  JsonNode *node;

  change_json_append (&text, change);
  node = json_from_string (text.data, NULL);
  json_builder_set_member_name (b, "change");
  json_builder_add_value (b, node);
  str_reset (&text);
}

static void
report_json (struct ctl *ctl, const struct change *change, const char *result)
{
  const struct journal *j = &ctl->journal;
  JsonBuilder *b = json_builder_new ();

  json_builder_begin_object (b);
  ctl_add_string (b, "result", str_from_cstr (result));
  json_builder_set_member_name (b, "revision");
  json_builder_add_int_value (b, (gint64)j->inv.revision);
  add_lines (b, "problems", str_view (&j->problems));
  add_conflicts (b, j->conflicts);
  add_change (b, change);
  json_builder_end_object (b);
  ctl_append_json (ctl, b);
}

static void
print_conflicts (const GArray *conflicts)
{
  struct str_buf lines = { 0 };

  for (guint i = 0; i < conflicts->len; i++)
    change_append_conflict (
        &lines, &g_array_index (conflicts, struct change_conflict, i));
  fwrite (str_view (&lines).data, 1, lines.len, stderr);
  str_reset (&lines);
}

static void
report_text (struct ctl *ctl, const struct change *change, struct str summary)
{
  const struct journal *j = &ctl->journal;

  switch (j->result)
    {
    case JOURNAL_ACCEPTED:
      str_append (&ctl->out, summary);
      str_append_format (&ctl->out, "Revision %" PRIu64 " took effect.\n",
                         j->inv.revision);
      return;
    case JOURNAL_UNCHANGED:
      str_append_format (&ctl->out,
                         "Nothing to change at revision %" PRIu64 ".\n",
                         j->inv.revision);
      return;
    case JOURNAL_INVALID:
      ctl_print_error ("the change is invalid and did not take effect:");
      fwrite (str_view (&j->problems).data, 1, j->problems.len, stderr);
      return;
    case JOURNAL_CONFLICT:
      ctl_print_error ("the change did not take effect; another operator "
                       "changed the same members:");
      print_conflicts (j->conflicts);
      return;
    case JOURNAL_UNKNOWN:
      ctl_print_error (
          "the platform's answer was lost and the platform cannot "
          "be reached; the change may take effect as revision "
          "%" PRIu64 ".  To find out, run later: "
          "almondvalectl status --change %" PRIu64 ":%.*s",
          change->revision, change->revision, STR_ARG (change->nonce));
      return;
    case JOURNAL_CORRUPT:
      ctl_print_error ("stored data cannot be read: %.*s",
                       STR_ARG (str_view (&j->problems)));
      return;
    default:
      ctl_print_error ("the platform at %s cannot be reached; the change did "
                       "not take effect",
                       ctl->platform);
    }
}

/* Writes a snapshot of the inventory if one is due.  If that fails, the change
   stays accepted, and the next change writes the snapshot.  */
static void
write_snapshot (struct ctl *ctl)
{
  if (!journal_is_snapshot_due (&ctl->journal))
    return;
  journal_write_snapshot (&ctl->journal, ctl_get_deadline (ctl));
  ctl_run_journal (ctl);
  if (ctl->journal.result != JOURNAL_SNAPSHOT_WRITTEN)
    ctl_print_error ("warning: the snapshot could not be written; the next "
                     "change writes it");
}

static int
report_dry_run (struct ctl *ctl, struct change *change)
{
  struct journal *j = &ctl->journal;
  struct str_buf problems = { 0 };
  uint32_t count;

  change_drop_unchanged (change, &j->inv);
  count = change_check (&j->inv, change, &problems);
  if (count > 0)
    {
      int code = ctl_report_problems (ctl, str_view (&problems));

      str_reset (&problems);
      return code;
    }
  if (ctl->json)
    report_json (ctl, change, "dry_run");
  else
    change_append_text (&ctl->out, change, &j->inv);
  str_reset (&problems);
  return CTL_OK;
}

/* Public functions */

void
ctl_init_change (const struct ctl *ctl, struct change *change)
{
  change_init (change);
  change_set_nonce (change);
  change->author = str_copy (str_from_cstr (ctl->author));
}

int
ctl_commit (struct ctl *ctl, struct change *change, bool *accepted)
{
  struct journal *j = &ctl->journal;
  struct str_buf summary = { 0 };
  enum journal_result result;

  *accepted = false;
  if (ctl->dry_run)
    return report_dry_run (ctl, change);
  change_append_text (&summary, change, &j->inv);
  journal_append (j, change, ctl_get_deadline (ctl));
  ctl_run_journal (ctl);
  result = j->result;
  *accepted = result == JOURNAL_ACCEPTED;
  if (ctl->json)
    report_json (ctl, change, results[result].name);
  else
    report_text (ctl, change, str_view (&summary));
  str_reset (&summary);
  if (*accepted)
    write_snapshot (ctl);
  return results[result].code;
}

int
ctl_report_problems (struct ctl *ctl, struct str problems)
{
  if (ctl->json)
    {
      JsonBuilder *b = json_builder_new ();

      json_builder_begin_object (b);
      ctl_add_string (b, "result", STR_LIT ("invalid"));
      add_lines (b, "problems", problems);
      json_builder_end_object (b);
      ctl_append_json (ctl, b);
    }
  else
    fwrite (problems.data, 1, problems.len, stderr);
  return CTL_DATA;
}

/**
 * ctl_append_json - appends a JSON value to the output
 * @ctl: ctl
 * @b: builder, which is freed
 */
void
ctl_append_json (struct ctl *ctl, JsonBuilder *b)
{
  JsonNode *root = json_builder_get_root (b);
  char *text = json_to_string (root, TRUE);

  str_append (&ctl->out, str_from_cstr (text));
  str_append_char (&ctl->out, '\n');
  g_free (text);
  json_node_unref (root);
  g_object_unref (b);
}

void
ctl_add_string (JsonBuilder *b, const char *name, struct str text)
{
  char *copy = g_utf8_make_valid (text.data, (gssize)text.len);

  json_builder_set_member_name (b, name);
  json_builder_add_string_value (b, copy);
  g_free (copy);
}
