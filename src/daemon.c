/* daemon: initializes the context that the threads of almondvaled share, and
   starts and stops the threads.  */

#include "daemon.h"

#include "clock.h"
#include "control.h"
#include "front.h"
#include "logger.h"
#include "serve.h"

#include <apr_general.h>
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sysexits.h>

/* Constants */

/* Limit on hop tokens, which identify the request that makes a nested
   call.  */
#define HOP_TOKENS_MAX 65536u

/* glibc raises the size from which it maps memory to that of the largest block
   freed so far, up to 32 MiB.  Bodies and responses then come from the heap,
   which cannot be returned: 191 MB in place of 86 MB in the case
   pipelined_requests_stay_within_memory of test_clients.  Setting its initial
   value keeps it.  */
#define MAPPED_FROM_BYTES 131072

/* Types */

struct daemon_state
{
  const struct deployment_ops *deployment;
  struct daemon_context shared;
  struct control control;
  struct serve serve;
  struct front *fronts;
};

/* Internal functions */

static bool
report_error (GError *error)
{
  g_printerr ("almondvaled: %s\n",
              error != NULL ? error->message : "cannot start");
  g_clear_error (&error);
  return false;
}

static uint64_t
get_random_u64 (void)
{
  uint64_t value = 0;

  if (getrandom (&value, sizeof value, 0) != (ssize_t)sizeof value)
    value = (uint64_t)clock_now_us ();
  return value;
}

static void
init_shared (struct daemon_state *d)
{
  struct daemon_context *shared = &d->shared;
  const struct settings *s = d->shared.settings;

  shared->dialect = d->deployment->dialect;
  shared->rate_ops = d->deployment->rate;
  shared->deployment = d->deployment;
  shared->member = get_random_u64 () | 1;
  shared->started_ms = clock_wall_ms ();
  shared->fronts_len = (uint32_t)s->front_threads;
  byte_budget_init (&shared->byte_budget, s->limits.memory_bytes);
  snapshot_init_publisher (&shared->snapshots);
  hop_token_init (&shared->hop_tokens, HOP_TOKENS_MAX);
  pressure_init_downstream (&shared->downstream_pressures);
  g_mutex_init (&shared->quota_mutex);
  quota_init_set (&shared->quotas, get_random_u64 () >> 1);
  rate_share_init (&shared->rate_shares);
  metrics_init (&shared->metrics);
  daemon_metrics_init (&shared->metric_rows, &shared->metrics);
}

static void
init_trace (struct daemon_state *d)
{
  const struct settings *s = d->shared.settings;
  struct trace_options options = { .member_id = s->member_id,
                                   .failure_domain = s->failure_domain,
                                   .address = s->trace.otlp.address,
                                   .port = (uint16_t)s->trace.otlp.port,
                                   .queue_max = (uint32_t)s->trace.queue };

  trace_init (&d->shared.trace, d->control.loop.base, &options);
}

static bool
init_threads (struct daemon_state *d)
{
  GError *error = NULL;

  d->fronts = g_new0 (struct front, d->shared.fronts_len);
  if (!serve_init (&d->serve, &d->shared, &error))
    return report_error (error);
  for (uint32_t i = 0; i < d->shared.fronts_len; i++)
    if (!front_init (&d->fronts[i], &d->shared, i, &error))
      return report_error (error);
  if (!control_init (&d->control, &d->shared, d->deployment->components,
                     &error))
    return report_error (error);
  init_trace (d);
  return true;
}

static void
run_threads (struct daemon_state *d, apr_pool_t *pool)
{
  loop_start (&d->serve.loop, pool);
  for (uint32_t i = 0; i < d->shared.fronts_len; i++)
    loop_start (&d->fronts[i].loop, pool);
  LOGGER_WRITE (LOGGER_INFO, "started",
                LOGGER_TEXT ("member_id", d->shared.settings->member_id));
  loop_run (&d->control.loop);
  for (uint32_t i = 0; i < d->shared.fronts_len; i++)
    {
      loop_stop (&d->fronts[i].loop);
      loop_join (&d->fronts[i].loop);
    }
  loop_stop (&d->serve.loop);
  loop_join (&d->serve.loop);
  LOGGER_WRITE (LOGGER_INFO, "stopped",
                LOGGER_TEXT ("member_id", d->shared.settings->member_id));
}

static void
close_daemon (struct daemon_state *d)
{
  for (uint32_t i = 0; i < d->shared.fronts_len; i++)
    front_close (&d->fronts[i]);
  serve_close (&d->serve);
  trace_close (&d->shared.trace);
  control_close (&d->control);
  snapshot_close_publisher (&d->shared.snapshots);
  hop_token_close (&d->shared.hop_tokens);
  pressure_close_downstream (&d->shared.downstream_pressures);
  quota_close_set (&d->shared.quotas);
  rate_share_close (&d->shared.rate_shares);
  metrics_close (&d->shared.metrics);
  g_free (d->fronts);
}

/* Public functions */

/* The settings file may change while the daemon is still starting.  The SIGHUP
   that announces the change would then end the process.  */
void
daemon_ignore_sighup (void)
{
  signal (SIGHUP, SIG_IGN);
}

/**
 * daemon_run - runs the daemon until SIGTERM
 * @settings: settings that passed all checks
 * @deployment: functions and tables of the deployment
 *
 * Return: exit status of the process.
 */
int
daemon_run (const struct settings *settings,
            const struct deployment_ops *deployment)
{
  struct daemon_state *d = g_new0 (struct daemon_state, 1);
  enum logger_level level = LOGGER_INFO;
  int status = DAEMON_EXIT_NOT_STARTED;
  apr_pool_t *pool;

  if (apr_initialize () != APR_SUCCESS
      || apr_pool_create (&pool, NULL) != APR_SUCCESS)
    {
      g_free (d);
      return EX_SOFTWARE;
    }
  mallopt (M_MMAP_THRESHOLD, MAPPED_FROM_BYTES);
  d->deployment = deployment;
  d->shared.settings = settings;
  logger_find_level (settings->log_level, &level);
  logger_init (level);
  signal (SIGPIPE, SIG_IGN);
  init_shared (d);
  if (init_threads (d))
    {
      run_threads (d, pool);
      close_daemon (d);
      status = EXIT_SUCCESS;
    }
  g_free (d);
  apr_pool_destroy (pool);
  apr_terminate ();
  return status;
}
