/* almondvalectl: the command-line tool for operators.  */

#include "ctl.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Constants */

#define PLATFORM_DEFAULT "127.0.0.1:7700"
#define TIMEOUT_MS_DEFAULT 10000

/* clang-format off */
static const struct ctl_command commands[] = {
  { "import", "FILE", "add and update the entries of an asset register", ctl_import },
  { "show", "[KIND [NAME]]", "show the inventory, one kind or one entry", ctl_show },
  { "diff", "FILE", "show what `apply FILE` would change", ctl_diff },
  { "validate", "FILE", "check a file without the platform", ctl_validate },
  { "apply", "FILE", "apply an edited inventory or a change", ctl_apply },
  { "key", "issue WORKSPACE | list | revoke ID", "issue, list and revoke keys", ctl_key },
  { "rule", "list | set NAME | delete NAME", "list, set and delete ranking rules", ctl_rule },
  { "status", "", "show the platform's revision, or the state of a daemon or a change", ctl_status },
  { "explain", "METHOD PATH", "show how a request would be handled, and why", ctl_explain },
  { "trace-request", "ID FILE...", "merge the daemons' log lines about a request", ctl_trace },
};
/* clang-format on */

/* Internal functions */

static void
print_help (FILE *stream)
{
  fprintf (stream, "Usage: almondvalectl COMMAND [OPTION...] [ARGUMENT...]\n\n"
                   "Edits and shows the inventory and the ranking rules.\n\n"
                   "Commands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      char *usage
          = g_strdup_printf ("%s %s", commands[i].name, commands[i].arguments);

      fprintf (stream, "  %-38s %s\n", usage, commands[i].summary);
      g_free (usage);
    }
  fprintf (stream,
           "\n`almondvalectl COMMAND --help` shows the options of a command."
           "\n\nExit codes: 0 done; 1 diff found differences, trace-request "
           "found no line;\n2 conflict with another operator; 64 usage; 65 "
           "invalid input; 66 file cannot be\nread; 69 platform or daemon not "
           "reachable, nothing was changed; 70 stored data\ncannot be read; "
           "75 not known whether the change takes effect.\n");
}

static const struct ctl_command *
find_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static void
init_ctl (struct ctl *ctl)
{
  const char *platform = g_getenv ("ALMONDVALE_PLATFORM");

  *ctl = (struct ctl){ .timeout_ms = TIMEOUT_MS_DEFAULT };
  ctl->platform = g_strdup (platform != NULL ? platform : PLATFORM_DEFAULT);
  ctl->author = g_strdup (g_get_user_name ());
  ctl->base = event_base_new ();
  journal_init (&ctl->journal);
}

static void
close_ctl (struct ctl *ctl)
{
  if (ctl->store != NULL)
    ctl->store->ops->unload (ctl->store);
  journal_close (&ctl->journal);
  event_base_free (ctl->base);
  str_reset (&ctl->out);
  g_free (ctl->platform);
  g_free (ctl->author);
}

/* Writes the output.  Returns an error code if that fails, as on a full disk
   or a closed pipe.  */
static int
write_output (const struct ctl *ctl, int code)
{
  fwrite (str_view (&ctl->out).data, 1, ctl->out.len, stdout);
  if (fflush (stdout) == 0)
    return code;
  ctl_print_error ("the output cannot be written");
  return code == CTL_OK ? CTL_SOFTWARE : code;
}

int
main (int argc, char **argv)
{
  const struct ctl_command *command;
  struct ctl ctl;
  int code;

  signal (SIGPIPE, SIG_IGN);
  if (argc >= 2 && strcmp (argv[1], "--help") == 0)
    {
      print_help (stdout);
      return CTL_OK;
    }
  command = argc >= 2 ? find_command (argv[1]) : NULL;
  if (command == NULL)
    {
      if (argc >= 2)
        ctl_print_error ("there is no command \"%s\"", argv[1]);
      print_help (stderr);
      return CTL_USAGE;
    }
  init_ctl (&ctl);
  code = command->run (&ctl, command, argc - 1, argv + 1);
  code = write_output (&ctl, code);
  close_ctl (&ctl);
  return code;
}
