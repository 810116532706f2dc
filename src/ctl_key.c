/* ctl_key: issue, list and revoke keys.  */

#include "auth.h"
#include "ctl.h"

#include <string.h>
#include <sys/random.h>

/* Constants */

#define SECRET_BYTES 24
#define ID_BYTES 6

/* Internal functions */

static bool
append_random (struct str_buf *out, size_t bytes)
{
  uint8_t random[SECRET_BYTES];

  if (getrandom (random, bytes, 0) != (ssize_t)bytes)
    {
      ctl_print_error ("no random bytes are available");
      return false;
    }
  for (size_t i = 0; i < bytes; i++)
    str_append_format (out, "%02x", random[i]);
  return true;
}

/* Generates a key, av_<id>_<secret>, and the hash that is stored.  */
static bool
make_key (const char *id, struct str_buf *key, struct str_buf *sha256)
{
  uint8_t digest[AUTH_DIGEST_BYTES];

  str_append_format (key, "av_%s_", id);
  if (!append_random (key, SECRET_BYTES))
    return false;
  auth_hash_key (str_view (key), digest);
  for (size_t i = 0; i < sizeof digest; i++)
    str_append_format (sha256, "%02x", digest[i]);
  return true;
}

/* Appends the issued key to the output; in JSON, this replaces the report of
   the change.  The key is not stored and cannot be shown again.  */
static void
print_key (struct ctl *ctl, const char *id, const char *workspace,
           struct str key)
{
  JsonBuilder *b;

  if (!ctl->json)
    {
      str_append_format (&ctl->out,
                         "Key of workspace %s, shown only this once:\n%.*s\n",
                         workspace, STR_ARG (key));
      return;
    }
  ctl->out.len = 0;
  b = json_builder_new ();
  json_builder_begin_object (b);
  ctl_add_string (b, "result", STR_LIT ("accepted"));
  ctl_add_string (b, "id", str_from_cstr (id));
  ctl_add_string (b, "workspace", str_from_cstr (workspace));
  ctl_add_string (b, "key", key);
  json_builder_set_member_name (b, "revision");
  json_builder_add_int_value (b, (gint64)ctl->journal.inv.revision);
  json_builder_end_object (b);
  ctl_append_json (ctl, b);
}

static int
issue_key (struct ctl *ctl, const char *workspace, const char *id)
{
  struct str_buf key = { 0 }, sha256 = { 0 };
  struct inventory_key row
      = { .id = str_from_cstr (id), .workspace = str_from_cstr (workspace) };
  struct change change;
  bool accepted;
  int code = ctl_load (ctl, JOURNAL_NEWEST);

  if (code != CTL_OK)
    return code;
  if (inventory_find (&ctl->journal.inv, INVENTORY_KEY, row.id) != NULL)
    {
      ctl_print_error ("there is a key \"%s\"; revoke it or choose another id",
                       id);
      return CTL_DATA;
    }
  if (!make_key (id, &key, &sha256))
    return CTL_SOFTWARE;
  row.sha256 = str_view (&sha256);
  ctl_init_change (ctl, &change);
  change_put (&change, INVENTORY_KEY, &row,
              change_get_all_fields (INVENTORY_KEY));
  code = ctl_commit (ctl, &change, &accepted);
  if (accepted)
    print_key (ctl, id, workspace, str_view (&key));
  if (code == CTL_OUTCOME_UNKNOWN)
    ctl_print_error (
        "the key is not shown; if the change takes effect, revoke "
        "\"%s\" and issue another",
        id);
  change_close (&change);
  memset (key.data, 0, key.len);
  str_reset (&key);
  str_reset (&sha256);
  return code;
}

static int
revoke_key (struct ctl *ctl, const char *id)
{
  struct change change;
  bool accepted;
  int code = ctl_load (ctl, JOURNAL_NEWEST);

  if (code != CTL_OK)
    return code;
  if (inventory_find (&ctl->journal.inv, INVENTORY_KEY, str_from_cstr (id))
      == NULL)
    {
      ctl_print_error ("there is no key \"%s\"", id);
      return CTL_DATA;
    }
  ctl_init_change (ctl, &change);
  change_delete (&change, INVENTORY_KEY, str_from_cstr (id));
  code = ctl_commit (ctl, &change, &accepted);
  change_close (&change);
  return code;
}

static int
list_keys (struct ctl *ctl, const char *workspace)
{
  GPtrArray *keys;
  JsonBuilder *b = json_builder_new ();
  int code = ctl_load (ctl, JOURNAL_NEWEST);

  if (code != CTL_OK)
    {
      g_object_unref (b);
      return code;
    }
  keys = inventory_list (&ctl->journal.inv, INVENTORY_KEY);
  json_builder_begin_array (b);
  for (guint i = 0; i < keys->len; i++)
    {
      const struct inventory_key *k = g_ptr_array_index (keys, i);

      if (workspace != NULL
          && !str_equal (k->workspace, str_from_cstr (workspace)))
        continue;
      if (!ctl->json)
        str_append_format (&ctl->out, "%-24.*s %.*s\n", STR_ARG (k->id),
                           STR_ARG (k->workspace));
      json_builder_begin_object (b);
      ctl_add_string (b, "id", k->id);
      ctl_add_string (b, "workspace", k->workspace);
      json_builder_end_object (b);
    }
  json_builder_end_array (b);
  if (ctl->json)
    ctl_append_json (ctl, b);
  else
    g_object_unref (b);
  g_ptr_array_unref (keys);
  return CTL_OK;
}

/* Public functions */

int
ctl_key (struct ctl *ctl, const struct ctl_command *self, int argc,
         char **argv)
{
  char *id = NULL;
  GOptionEntry entries[]
      = { { "id", 0, 0, G_OPTION_ARG_STRING, &id,
            "Id of the issued key (default: random)", "ID" },
          { 0 } };
  struct str_buf random = { 0 };
  int code = CTL_USAGE;

  if (!ctl_parse (ctl, self, entries, 1, 2, &argc, &argv))
    code = CTL_USAGE;
  else if (argc == 3 && strcmp (argv[1], "issue") == 0)
    {
      code = CTL_SOFTWARE;
      if (id != NULL || append_random (&random, ID_BYTES))
        code = issue_key (ctl, argv[2], id != NULL ? id : random.data);
    }
  else if (strcmp (argv[1], "list") == 0)
    code = list_keys (ctl, argc == 3 ? argv[2] : NULL);
  else if (argc == 3 && strcmp (argv[1], "revoke") == 0)
    code = revoke_key (ctl, argv[2]);
  else
    ctl_print_error ("usage: almondvalectl key %s", self->arguments);
  str_reset (&random);
  g_free (id);
  return code;
}
