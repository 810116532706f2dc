/* Tests of machine_settings: loading the platform's settings file.  */

#include "machine_settings.h"
#include "suite.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define FILE_TEXT                                                             \
  "{\"node\":\"n-1\",\"ip\":\"10.1.0.26\",\"zone\":\"z\",\"region\":\"r\","   \
  "\"service\":\"s\",\"appAddr\":\"10.1.0.26:8547\",\"unknown\":{\"x\":1},"   \
  "\"listen\":{\"inbound\":\"10.1.0.26:8543\","                               \
  "\"outbound\":\"10.1.0.26:8548\",\"ready\":\"10.1.0.26:8546\","             \
  "\"control\":\"10.1.0.26:8540\"},\"internalPortRange\":[7000,7015],"        \
  "\"bounds\":[\"seedLag=3s\",\"grace=6s\",\"graceful=9s\"],"                 \
  "\"platform\":{\"address\":\"10.200.1.7:8545\"}}"

static bool
load_with_overrides (struct machine_settings *m, const char *text,
                     const char *override_file, GError **error)
{
  char *file = NULL;
  int fd = g_file_open_tmp ("machine-XXXXXX", &file, NULL);
  bool ok;

  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (file, text, -1, NULL));
  g_setenv ("ALMONDVALE_SETTINGS", file, TRUE);
  ok = machine_settings_load (m, override_file, error);
  g_unlink (file);
  g_free (file);
  return ok;
}

static bool
load (struct machine_settings *m, const char *text, GError **error)
{
  return load_with_overrides (m, text, NULL, error);
}

START_TEST (settings_are_loaded)
{
  struct machine_settings m;

  ck_assert (load (&m, FILE_TEXT, NULL));
  ck_assert (str_equal (m.settings.member_id, STR_LIT ("n-1")));
  ck_assert (str_equal (m.settings.address, STR_LIT ("10.1.0.26")));
  ck_assert (str_equal (m.settings.local_address, STR_LIT ("10.1.0.26")));
  ck_assert_int_eq (m.settings.ports.caller, 8548);
  ck_assert_int_eq (m.settings.ports.local, 8540);
  ck_assert_int_eq (m.settings.ports.health, 8546);
  ck_assert_int_eq (m.settings.ports.peer, 7000);
  ck_assert_int_eq (m.settings.ports.control, 7001);
  ck_assert (str_equal (m.backend.address, STR_LIT ("10.1.0.26")));
  ck_assert_int_eq (m.backend.port, 8547);
  ck_assert (str_equal (m.settings.platform.address, STR_LIT ("10.200.1.7")));
  ck_assert_int_eq (m.settings.platform.port, 8545);
  ck_assert_int_lt (m.settings.shutdown_ms, 6000);
  ck_assert_int_gt (m.settings.shutdown_ms, 4500);
  machine_settings_unload (&m);
}
END_TEST

/* Guards against a limit on retries that is not read, that is read in part if
   it is odd, or that takes effect although the platform names no ratio.  */
START_TEST (retry_bounds_are_loaded)
{
  static const struct
  {
    const char *bounds;
    const char *ledger;
    double ratio;
    int64_t window_ms;
    int64_t slack;
  } cases[] = {
    { "\"grace=6s\"", "none", 0.1, 10000, 0 },
    { "\"budgetWindow=5s\",\"budgetSlack=48\"", "none", 0.1, 10000, 0 },
    { "\"retryBudgetRatio=0.2\"", "value", 0.2, 10000, 0 },
    { "\"retryBudgetRatio=0.2\",\"budgetWindow=5s\",\"budgetSlack=124\"",
      "value", 0.2, 5000, 124 },
    { "\"retryBudgetRatio=2\"", "none", 0.1, 10000, 0 },
    { "\"retryBudgetRatio=0.2x\"", "none", 0.1, 10000, 0 },
    { "\"retryBudgetRatio=0.2\",\"budgetWindow=x\",\"budgetSlack=-1\"",
      "value", 0.2, 10000, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      char **parts = g_strsplit (FILE_TEXT, "\"grace=6s\"", 2);
      char *text = g_strconcat (parts[0], cases[i].bounds, parts[1], NULL);
      struct machine_settings m;

      ck_assert (load (&m, text, NULL));
      ck_assert_msg (
          str_equal (m.settings.retry.ledger, str_from_cstr (cases[i].ledger)),
          "case %zu", i);
      ck_assert_double_eq (m.settings.retry.ratio, cases[i].ratio);
      ck_assert_int_eq (m.settings.retry.window_ms, cases[i].window_ms);
      ck_assert_int_eq (m.settings.retry.slack, cases[i].slack);
      machine_settings_unload (&m);
      g_free (text);
      g_strfreev (parts);
    }
}
END_TEST

/* Guards against protection that is on although no bound asks for it, and
   against a bound that is not read or has a senseless value.  */
START_TEST (bounds_of_warm_up_and_evacuation_are_read)
{
  static const struct
  {
    const char *bounds;
    int64_t evacuation_ms;
    double overage;
  } cases[] = { { "\"grace=6s\"", 0, 0 },
                { "\"evacuate=5000ms\",\"coldOverage=1.5\",\"coldSlack=8\"",
                  5000, 1.5 },
                { "\"evacuated=1s\",\"coldOverage=x\"", 0, 0 },
                { "\"evacuate=5\",\"coldOverage=-2\"", 0, 0 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      char **parts = g_strsplit (FILE_TEXT, "\"seedLag=3s\"", 2);
      char *text = g_strconcat (parts[0], cases[i].bounds, parts[1], NULL);
      struct machine_settings m;

      ck_assert (load (&m, text, NULL));
      ck_assert_int_eq (m.settings.evacuation_bound_ms,
                        cases[i].evacuation_ms);
      ck_assert_double_eq (m.settings.cold_overage, cases[i].overage);
      machine_settings_unload (&m);
      g_free (text);
      g_strfreev (parts);
    }
}
END_TEST

/* Guards against a daemon that starts without some of its settings, and
   against an error that does not name the missing member.  */
START_TEST (errors_name_the_member)
{
  const char *const members[]
      = { "node",     "ip",    "zone",    "service",           "appAddr",
          "outbound", "ready", "control", "internalPortRange", "platform" };

  for (size_t i = 0; i < sizeof members / sizeof *members; i++)
    {
      char *name = g_strdup_printf ("\"%s\"", members[i]);
      char **parts = g_strsplit (FILE_TEXT, name, 2);
      char *text = g_strconcat (parts[0], "\"other\"", parts[1], NULL);
      GError *error = NULL;
      struct machine_settings m;

      ck_assert (!load (&m, text, &error));
      ck_assert_ptr_nonnull (strstr (error->message, members[i]));
      g_error_free (error);
      g_free (text);
      g_strfreev (parts);
      g_free (name);
    }
}
END_TEST

/* Guards against an override file that is ignored, that drops built-in members
   which it does not name, or that is accepted although it is invalid.  */
START_TEST (override_file_replaces_built_in_settings)
{
  static const char good[] = "{\"ports\":{\"advertised_peer\":7100},"
                             "\"policy\":{\"retry\":\"per_hop\"}}";
  static const char bad[] = "{\"policy\":{\"retry\":\"never\"}}";
  GError *error = NULL;
  char *file = NULL;
  struct machine_settings m;

  close (g_file_open_tmp ("own-XXXXXX", &file, NULL));
  ck_assert (g_file_set_contents (file, good, -1, NULL));
  ck_assert (load_with_overrides (&m, FILE_TEXT, file, NULL));
  ck_assert (str_equal (m.settings.policy.retry, STR_LIT ("per_hop")));
  ck_assert (str_equal (m.settings.policy.admit, STR_LIT ("urgency")));
  ck_assert_uint_eq (settings_get_peer_port (&m.settings), 7100);
  ck_assert_uint_eq (settings_get_control_port (&m.settings), 7001);
  machine_settings_unload (&m);
  ck_assert (g_file_set_contents (file, bad, -1, NULL));
  ck_assert (!load_with_overrides (&m, FILE_TEXT, file, &error));
  ck_assert_ptr_nonnull (strstr (error->message, "policy.retry"));
  g_clear_error (&error);
  ck_assert (g_file_set_contents (file, "[", -1, NULL));
  ck_assert (!load_with_overrides (&m, FILE_TEXT, file, &error));
  ck_assert_ptr_nonnull (strstr (error->message, file));
  g_clear_error (&error);
  g_unlink (file);
  ck_assert (!load_with_overrides (&m, FILE_TEXT, file, &error));
  g_clear_error (&error);
  g_free (file);
}
END_TEST

static void
check_limits (const char *limits, int64_t connections)
{
  char **parts = g_strsplit (FILE_TEXT, "\"unknown\":{\"x\":1}", 2);
  char *text = g_strconcat (parts[0], limits, parts[1], NULL);
  struct machine_settings m;

  ck_assert (load (&m, text, NULL));
  ck_assert_int_eq (m.settings.limits.connections, connections);
  ck_assert_int_lt (m.settings.limits.open_requests, connections);
  machine_settings_unload (&m);
  g_free (text);
  g_strfreev (parts);
}

/* Guards against callers who use up the descriptors with which the daemon
   reaches its backend server, the store and other daemons, and against callers
   who wait for a connection because requests are refused too late.  */
START_TEST (callers_leave_descriptors_to_the_daemon)
{
  check_limits ("\"limits\":{\"maxFds\":8192}", 3000);
  check_limits ("\"limits\":{\"maxFds\":4100}", 2925);
  check_limits ("\"limits\":{\"maxFds\":1000}", 600);
  check_limits ("\"limits\":{\"maxFds\":100}", 16);
  check_limits ("\"limits\":{\"maxFds\":\"many\"}", 3000);
  check_limits ("\"limits\":[]", 3000);
}
END_TEST

/* Guards against a limit on memory that ignores the size of the VM.  */
START_TEST (limit_on_memory_follows_the_vm)
{
  char **parts = g_strsplit (FILE_TEXT, "\"unknown\":{\"x\":1}", 2);
  char *text = g_strconcat (parts[0], "\"limits\":{\"memoryMb\":160}",
                            parts[1], NULL);
  struct machine_settings m;

  ck_assert (load (&m, text, NULL));
  ck_assert_int_eq (m.settings.limits.memory_bytes, 100 << 20);
  machine_settings_unload (&m);
  g_free (text);
  g_strfreev (parts);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { settings_are_loaded,
                                 retry_bounds_are_loaded,
                                 bounds_of_warm_up_and_evacuation_are_read,
                                 errors_name_the_member,
                                 override_file_replaces_built_in_settings,
                                 callers_leave_descriptors_to_the_daemon,
                                 limit_on_memory_follows_the_vm };

  return suite_run ("machine_settings", cases, sizeof cases / sizeof *cases);
}
