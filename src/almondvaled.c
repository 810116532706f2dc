/* almondvaled: overload control daemon that runs beside a backend server.  */

#include "daemon.h"

#include <glib.h>
#include <stdlib.h>

/* Types */

struct options
{
  char *settings;
  gboolean check_config;
  gboolean version;
};

/* Internal functions */

static bool
parse_options (struct options *o, int *argc, char ***argv)
{
  const GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings,
            "Settings file (JSON)", "FILE" },
          { "check-config", 'c', 0, G_OPTION_ARG_NONE, &o->check_config,
            "Check the settings file and exit", NULL },
          { "version", 'V', 0, G_OPTION_ARG_NONE, &o->version,
            "Print the version and exit", NULL },
          { NULL } };
  GOptionContext *context = g_option_context_new ("- overload control daemon");
  GError *error = NULL;
  bool ok;

  g_option_context_set_description (
      context, "Exit codes: 0 stopped after SIGTERM, 2 invalid settings or "
               "command line, 70 internal error.\n");
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, &error);
  if (!ok)
    {
      g_printerr ("almondvaled: %s\n", error->message);
      g_error_free (error);
    }
  else if (*argc > 1)
    {
      g_printerr ("almondvaled: unexpected argument '%s'\n", (*argv)[1]);
      ok = false;
    }
  else if (o->settings == NULL && !o->version)
    {
      g_printerr ("almondvaled: --settings FILE is missing\n");
      ok = false;
    }
  g_option_context_free (context);
  return ok;
}

static bool
report_error (GError *error)
{
  g_printerr ("almondvaled: %s\n",
              error != NULL ? error->message : "cannot start");
  g_clear_error (&error);
  return false;
}

static bool
load_settings (struct settings *settings, const struct options *o)
{
  GError *error = NULL;

  if (settings_load_file (settings, str_from_cstr (o->settings), &error))
    return true;
  return report_error (error);
}

/* Public functions */

int
main (int argc, char **argv)
{
  struct options options = { 0 };
  struct settings settings;
  int status = EXIT_SUCCESS;

  daemon_ignore_sighup ();
  if (!parse_options (&options, &argc, &argv))
    return DAEMON_EXIT_NOT_STARTED;
  if (options.version)
    {
      g_print ("almondvaled 0.1\n");
      return EXIT_SUCCESS;
    }
  if (!load_settings (&settings, &options))
    status = DAEMON_EXIT_NOT_STARTED;
  else
    {
      if (!options.check_config)
        status = daemon_run (&settings, &deployment_native);
      settings_unload (&settings);
    }
  g_free (options.settings);
  return status;
}
