/* almondvaled: the daemon beside a backend server.  */

#include "clock.h"
#include "control.h"
#include "front.h"
#include "logger.h"
#include "serve.h"
#include "settings.h"

#include <apr_general.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sysexits.h>

/* Constants */

#define EXIT_SETTINGS 2
#define HOPS_MAX 65536u

/* Types */

struct options
{
  char *settings;
  gboolean check_config;
  gboolean version;
};

struct daemon
{
  struct settings settings;
  struct shared shared;
  struct control control;
  struct serve serve;
  struct front *fronts;
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
report (GError *error)
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
  return report (error);
}

static uint64_t
get_random (void)
{
  uint64_t value = 0;

  if (getrandom (&value, sizeof value, 0) != (ssize_t)sizeof value)
    value = (uint64_t)clock_now_us ();
  return value;
}

static void
init_shared (struct daemon *d)
{
  struct shared *shared = &d->shared;
  const struct settings *s = &d->settings;

  shared->settings = s;
  shared->member = get_random () | 1;
  shared->fronts_len = (uint32_t)s->front_threads;
  snapshot_init_board (&shared->board);
  hop_init (&shared->hops, HOPS_MAX);
  g_mutex_init (&shared->quota_mutex);
  quota_init_set (&shared->quotas, get_random () >> 1);
  metrics_init (&shared->metrics);
  stats_init (&shared->stats, &shared->metrics);
}

static void
init_trace (struct daemon *d)
{
  const struct settings *s = &d->settings;
  struct trace_options options = { .member_id = s->member_id,
                                   .failure_domain = s->failure_domain,
                                   .address = s->trace.otlp.address,
                                   .port = (uint16_t)s->trace.otlp.port,
                                   .queue_max = (uint32_t)s->trace.queue };

  trace_init (&d->shared.trace, d->control.loop.base, &options);
}

static bool
init_threads (struct daemon *d)
{
  GError *error = NULL;

  d->fronts = g_new0 (struct front, d->shared.fronts_len);
  if (!serve_init (&d->serve, &d->shared, &error))
    return report (error);
  for (uint32_t i = 0; i < d->shared.fronts_len; i++)
    if (!front_init (&d->fronts[i], &d->shared, i, &error))
      return report (error);
  if (!control_init (&d->control, &d->shared, &error))
    return report (error);
  init_trace (d);
  return true;
}

static void
run_threads (struct daemon *d, apr_pool_t *pool)
{
  loop_start (&d->serve.loop, pool);
  for (uint32_t i = 0; i < d->shared.fronts_len; i++)
    loop_start (&d->fronts[i].loop, pool);
  LOGGER_WRITE (LOGGER_INFO, "started",
                LOGGER_TEXT ("member_id", d->settings.member_id));
  loop_run (&d->control.loop);
  for (uint32_t i = 0; i < d->shared.fronts_len; i++)
    {
      loop_stop (&d->fronts[i].loop);
      loop_join (&d->fronts[i].loop);
    }
  loop_stop (&d->serve.loop);
  loop_join (&d->serve.loop);
  LOGGER_WRITE (LOGGER_INFO, "stopped",
                LOGGER_TEXT ("member_id", d->settings.member_id));
}

static void
close_daemon (struct daemon *d)
{
  for (uint32_t i = 0; i < d->shared.fronts_len; i++)
    front_close (&d->fronts[i]);
  serve_close (&d->serve);
  trace_close (&d->shared.trace);
  control_close (&d->control);
  snapshot_close_board (&d->shared.board);
  hop_close (&d->shared.hops);
  quota_close_set (&d->shared.quotas);
  metrics_close (&d->shared.metrics);
  g_free (d->fronts);
  settings_unload (&d->settings);
}

static int
run_daemon (struct daemon *d, apr_pool_t *pool)
{
  enum logger_level level = LOGGER_INFO;

  logger_find_level (d->settings.log_level, &level);
  logger_init (level);
  signal (SIGPIPE, SIG_IGN);
  init_shared (d);
  if (!init_threads (d))
    return EXIT_SETTINGS;
  run_threads (d, pool);
  close_daemon (d);
  return EXIT_SUCCESS;
}

/* Public functions */

int
main (int argc, char **argv)
{
  struct options options = { 0 };
  struct daemon *d;
  apr_pool_t *pool;
  int status = EXIT_SUCCESS;

  if (!parse_options (&options, &argc, &argv))
    return EXIT_SETTINGS;
  if (options.version)
    {
      g_print ("almondvaled 0.1\n");
      return EXIT_SUCCESS;
    }
  if (apr_initialize () != APR_SUCCESS
      || apr_pool_create (&pool, NULL) != APR_SUCCESS)
    return EX_SOFTWARE;
  d = g_new0 (struct daemon, 1);
  if (!load_settings (&d->settings, &options))
    status = EXIT_SETTINGS;
  else if (options.check_config)
    settings_unload (&d->settings);
  else
    status = run_daemon (d, pool);
  g_free (d);
  g_free (options.settings);
  apr_pool_destroy (pool);
  apr_terminate ();
  return status;
}
