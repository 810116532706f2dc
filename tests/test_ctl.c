/* Tests of almondvalectl against the stand-in for the platform.  Both run as
   processes on loopback.  */

#include "process.h"
#include "suite.h"

#define INVENTORY "examples/inventory-guides.json"
#define FAULTS "/v1/admin/faults"

/* Exit code and output of one run of almondvalectl.  */
struct output
{
  int code;
  char *out;
  char *err;
};

static uint16_t port;
static char *platform; /* ADDRESS:PORT */
static pid_t platform_pid;
static char *dir;

/* Internal functions */

static void
start (void)
{
  char *text, *log;

  dir = process_make_dir ();
  port = process_get_port ();
  platform = g_strdup_printf ("127.0.0.1:%u", port);
  text = g_strdup_printf ("%u", port);
  log = g_build_filename (dir, "platform.log", NULL);
  platform_pid = process_start (log, "platform", "--port", text, NULL);
  process_wait_for_status (port, "/v1/admin/counters", 200);
  g_free (text);
  g_free (log);
}

static void
stop (void)
{
  int status = process_stop (platform_pid, SIGTERM);

  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  g_free (platform);
  g_free (dir);
}

/* Runs almondvalectl with arguments separated by spaces.  */
static struct output
run (const char *arguments)
{
  const char *build = g_getenv ("ALMONDVALE_BUILD");
  char *line
      = g_strdup_printf ("%s/almondvalectl %s --platform %s",
                         build != NULL ? build : "build", arguments, platform);
  char **argv = g_strsplit (line, " ", -1);
  struct output o;
  int status;

  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                           &o.out, &o.err, &status, NULL));
  ck_assert_msg (WIFEXITED (status), "%s: status %d: %s", line, status, o.err);
  o.code = WEXITSTATUS (status);
  g_strfreev (argv);
  g_free (line);
  return o;
}

/* Runs almondvalectl; checks the exit code, and that the output or the error
   text contains `text`.  */
static void
expect (const char *arguments, int code, const char *text)
{
  struct output o = run (arguments);

  ck_assert_msg (o.code == code, "%s: code %d: %s%s", arguments, o.code, o.out,
                 o.err);
  ck_assert_msg (strstr (o.out, text) != NULL || strstr (o.err, text) != NULL,
                 "%s lacks \"%s\": %s%s", arguments, text, o.out, o.err);
  g_free (o.out);
  g_free (o.err);
}

static void
set_faults (const char *json)
{
  ck_assert_int_eq (process_send (port, "PUT", FAULTS, json, NULL).status,
                    200);
}

/* Writes the inventory that `show --json` prints to a file, with the first
   `from` replaced by `to`.  Returns the file's path.  */
static char *
make_edit (const char *name, const char *from, const char *to)
{
  struct output o = run ("show --json");
  char **parts = g_strsplit (o.out, from, 2);
  char *edited = g_strjoin (to, parts[0], parts[1], NULL);
  char *path = g_build_filename (dir, name, NULL);

  ck_assert_int_eq (o.code, 0);
  ck_assert_ptr_nonnull (parts[1]);
  process_write_file (dir, name, edited);
  g_free (edited);
  g_strfreev (parts);
  g_free (o.out);
  g_free (o.err);
  return path;
}

static void
expect_file (const char *command, const char *path, int code, const char *text)
{
  char *arguments = g_strdup_printf ("%s %s", command, path);

  expect (arguments, code, text);
  g_free (arguments);
}

/* Guards against invalid input that is applied in part, and against error
   messages that do not name the line or the member.  */
START_TEST (bad_input_changes_nothing)
{
  char *path;

  start ();
  expect ("apply " INVENTORY, 0, "Revision 1 took effect");
  expect ("apply " INVENTORY, 0, "Nothing to change at revision 1");
  process_write_file (dir, "bad.csv",
                      "kind,name,importance\nroute,bookings,7\n"
                      "route,waivers,77\n");
  path = g_build_filename (dir, "bad.csv", NULL);
  expect_file ("import", path, 65, "bad.csv:3:15: routes/waivers/importance");
  g_free (path);
  path = make_edit ("bad.json", "\"importance\" : 9", "\"importance\" : 99");
  expect_file ("validate", path, 65, "routes/route-notes/importance");
  expect_file ("apply", path, 65, "routes/route-notes/importance");
  g_free (path);
  path = make_edit ("cut.json", "\"keys\" : [", "\"keys\" : ");
  expect_file ("apply", path, 65, "cut.json: line ");
  g_free (path);
  expect ("apply /nonexistent", 66, "cannot be opened");
  expect ("rule set x --order 1 --importance high", 64, "allowed");
  expect ("rule set x --order 1", 65, "rules/x/importance: is missing");
  expect ("show hosts", 64, "allowed: services, routes");
  expect ("frobnicate", 64, "there is no command");
  expect ("status --json", 0, "\"revision\" : 1,");
  expect ("import examples/assets.csv --ignore owner --dry-run", 0,
          "+ route warnings");
  expect ("status --json", 0, "\"revision\" : 1,");
  expect ("import examples/assets.csv --ignore owner", 0,
          "Revision 2 took effect");
  stop ();
}
END_TEST

/* Guards against an operator's edit that overwrites another operator's, and
   against a conflict between edits of different members.  */
START_TEST (edits_conflict_only_on_the_same_member)
{
  char *first, *second, *third;

  start ();
  expect ("apply " INVENTORY, 0, "Revision 1");
  first = make_edit ("first.json", "\"importance\" : 9", "\"importance\" : 8");
  second
      = make_edit ("second.json", "\"importance\" : 9", "\"importance\" : 3");
  third = make_edit ("third.json", "\"rate_per_s\" : 400",
                     "\"rate_per_s\" : 500");
  expect_file ("apply", first, 0, "Revision 2 took effect");
  expect_file ("apply", second, 2,
               "routes/route-notes/importance: was \"9\", is now \"8\", yours "
               "\"3\"");
  expect_file ("apply --json", second, 2,
               "\"member\" : \"routes/route-notes/importance\"");
  expect_file ("apply", third, 0, "Revision 3 took effect");
  expect ("show routes route-notes", 0, "importance=8");
  expect ("show workspaces summit-school", 0, "rate_per_s=500");
  expect_file ("diff", second, 1, "importance \"8\" -> \"3\"");
  g_free (first);
  g_free (second);
  g_free (third);
  stop ();
}
END_TEST

/* Guards against a lost change when several are made at the same time.  */
START_TEST (simultaneous_changes_all_take_effect)
{
  pid_t pids[4];

  start ();
  set_faults ("{\"delay_ms\": 30}");
  for (int i = 0; i < 4; i++)
    {
      char *name = g_strdup_printf ("r%d", i);
      char *log = g_build_filename (dir, name, NULL);

      pids[i] = process_start (log, "almondvalectl", "rule", "set", name,
                               "--order", "1", "--importance", "5",
                               "--platform", platform, NULL);
      g_free (name);
      g_free (log);
    }
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (process_wait (pids[i]), 0);
  expect ("status --json", 0, "\"revision\" : 4,");
  for (int i = 0; i < 4; i++)
    {
      char *arguments = g_strdup_printf ("show rules r%d", i);

      expect (arguments, 0, "importance=5");
      g_free (arguments);
    }
  stop ();
}
END_TEST

/* The platform applies the write and its answer is lost.  An outage begins
   before almondvalectl can read the change back.  Only `status --change` after
   the outage can report whether the change took effect.  */
static void
expect_lost_in_outage (void)
{
  char *log = g_build_filename (dir, "lost.json", NULL);
  char *text, *nonce, *arguments;
  pid_t pid;
  int status;

  set_faults ("{\"outage\": \"none\", \"delay_ms\": 500, "
              "\"drop_answers\": 1}");
  pid = process_start (log, "almondvalectl", "rule", "set", "c", "--order",
                       "1", "--importance", "5", "--json", "--timeout-ms",
                       "2000", "--platform", platform, NULL);
  process_wait_for_text (port, "/v1/admin/counters", "\"put\": 2");
  set_faults ("{\"outage\": \"refuse\", \"delay_ms\": 0}");
  status = process_wait (pid);
  ck_assert (WIFEXITED (status));
  ck_assert_int_eq (WEXITSTATUS (status), 75);
  set_faults ("{\"outage\": \"none\"}");
  ck_assert (g_file_get_contents (log, &text, NULL, NULL));
  ck_assert_ptr_nonnull (strstr (text, "\"result\" : \"unknown\""));
  nonce = strstr (text, "\"nonce\" : \"") + strlen ("\"nonce\" : \"");
  arguments = g_strdup_printf ("status --change 2:%.32s", nonce);
  expect (arguments, 0, "The change took effect.");
  expect ("status --change 2:00", 2, "The change did not take effect");
  expect ("status --change 3:00", 75, "has not taken effect so far");
  g_free (arguments);
  g_free (text);
  g_free (log);
}

/* Guards against a wrong result after a lost answer or during an outage.  */
START_TEST (lost_answers_and_outages_are_reported)
{
  start ();
  set_faults ("{\"drop_answers\": 1}");
  expect ("rule set a --order 1 --importance 5", 0, "Revision 1 took effect");
  expect ("status --json", 0, "\"revision\" : 1,");
  set_faults ("{\"outage\": \"refuse\"}");
  expect ("rule set b --order 1 --importance 5 --timeout-ms 300", 69,
          "nothing was changed");
  set_faults ("{\"outage\": \"hang\"}");
  expect ("show --timeout-ms 300", 69, "cannot be reached");
  expect_lost_in_outage ();
  stop ();
  /* Nothing listens on the port any longer.  */
  platform = g_strdup_printf ("127.0.0.1:%u", port);
  expect ("status --timeout-ms 300", 69, "cannot be reached");
  g_free (platform);
}
END_TEST

/* Guards against a secret that is stored or shown a second time, and against a
   revoked key that is still accepted.  */
START_TEST (issued_keys_are_shown_once_and_revoked_keys_are_refused)
{
  struct output o;
  char *key, *hash;

  start ();
  expect ("apply " INVENTORY, 0, "Revision 1");
  o = run ("key issue rope-park --id desk --json");
  ck_assert_int_eq (o.code, 0);
  key = strstr (o.out, "av_desk_");
  ck_assert_ptr_nonnull (key);
  key = g_strndup (key, strlen ("av_desk_") + 48);
  hash = process_hash_key (key);
  g_free (o.out);
  g_free (o.err);
  o = run ("show --json");
  ck_assert_ptr_null (strstr (o.out, key + strlen ("av_desk_")));
  ck_assert_ptr_nonnull (strstr (o.out, hash));
  g_free (o.out);
  g_free (o.err);
  expect ("key issue rope-park --id desk", 65, "there is a key");
  expect ("key issue nobody", 65, "there is no workspace \"nobody\"");
  expect ("key list rope-park", 0, "desk");
  expect ("explain GET /notes/1 --key-id desk", 0, "importance 9");
  expect ("key revoke desk", 0, "Revision 3 took effect");
  expect ("key revoke desk", 65, "there is no key");
  expect ("explain GET /notes/1 --key-id desk", 0, "key_unknown");
  g_free (key);
  g_free (hash);
  stop ();
}
END_TEST

/* Guards against an explanation that differs from what the daemon does.  */
START_TEST (explain_reports_the_decision_and_its_reason)
{
  static const char *const cases[][2] = {
    { "POST /bookings --workspace summit-school",
      "importance 8 by rule school-bookings (order 20)" },
    { "GET /bookings/7 --workspace lone-guide", "20 requests/s, burst 20" },
    { "POST /bookings --workspace lone-guide", "workspace_forbidden" },
    { "GET /pages/1", "the route is open" },
    { "GET /notes", "key_missing" },
    { "DELETE /notes", "method_not_allowed" },
    { "GET /nowhere", "route_unknown" },
    { "GET /status", "the route is internal" },
  };

  start ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *arguments
          = g_strdup_printf ("explain %s --file " INVENTORY, cases[i][0]);

      expect (arguments, 0, cases[i][1]);
      g_free (arguments);
    }
  stop ();
}
END_TEST

/* Guards against a daemon's status that is not shown, and against a success
   after the daemon has ended.  */
START_TEST (daemon_status_is_shown)
{
  struct process_daemon d = { 0 };
  char *members, *arguments;

  start ();
  members = g_strdup_printf (",\"inventory_file\":\"%s/inventory.json\"", dir);
  process_write_file (dir, "inventory.json", "{\"revision\": 5}");
  process_start_daemon (&d, dir, "d1", "fd1", members);
  arguments = g_strdup_printf ("status --daemon 127.0.0.1:%u", d.local_port);
  expect (arguments, 0, "revision");
  process_stop (d.pid, SIGTERM);
  expect (arguments, 69, "cannot be reached");
  g_free (arguments);
  g_free (members);
  stop ();
}
END_TEST

/* Guards against an explanation that leaves out where the daemon would send
   the request, or that succeeds without the daemon's answer.  */
START_TEST (explanation_shows_the_endpoints_of_a_daemon)
{
  struct process_daemon d = { 0 };
  char *members, *text, *json;

  start ();
  members = g_strdup_printf (",\"inventory_file\":\"%s/inventory.json\"", dir);
  process_write_file (dir, "inventory.json", "{\"revision\": 5}");
  process_start_daemon (&d, dir, "d1", "fd1", members);
  text = g_strdup_printf ("explain GET /pages/1 --file " INVENTORY
                          " --daemon 127.0.0.1:%u",
                          d.local_port);
  json = g_strdup_printf ("%s --json", text);
  expect (text, 0, "at this daemon: 0");
  expect (json, 0, "\"endpoints\" : null");
  process_stop (d.pid, SIGTERM);
  expect (text, 69, "cannot be reached");
  g_free (text);
  g_free (json);
  g_free (members);
  stop ();
}
END_TEST

/* Guards against a trace that merges the logs of several daemons in the wrong
   order, omits the state that a daemon had when it decided, shows lines of
   other requests or services, or ends at a line that is not a log line.  */
START_TEST (logs_of_several_daemons_are_merged)
{
  static const char entry_log[]
      = "{\"time\":\"2026-12-04T10:00:01.000Z\",\"level\":\"info\","
        "\"event\":\"configuration_applied\",\"revision\":7}\n"
        "not a log line\n"
        "{\"time\":\"2026-12-04T10:00:04.250Z\",\"level\":\"info\","
        "\"event\":\"request_failed\",\"request\":\"ab12\","
        "\"error\":\"overloaded\",\"service\":\"notes\"}\n"
        "{\"time\":\"2026-12-04T10:00:04.300Z\",\"level\":\"info\","
        "\"event\":\"request_failed\",\"request\":\"ab12c\","
        "\"error\":\"overloaded\",\"service\":\"notes\"}\n"
        "{\"time\":\"2026-12-04T10:00:04.200Z\",\"level\":\"info\","
        "\"event\":\"request_failed\",\"request\":\"ab12.7f\","
        "\"error\":\"deadline_not_run\",\"service\":\"notes\"}\n"
        "{\"time\":\"2026-12-04T10:00:04.300Z\",\"level\":\"info\","
        "\"event\":\"request_failed\",\"request\":\"ab13\","
        "\"error\":\"overloaded\",\"service\":\"notes\"}\n";
  static const char serving_log[]
      = "{\"time\":\"2026-12-04T09:59:50.000Z\",\"level\":\"info\","
        "\"event\":\"backend_loaded\",\"service\":\"notes\",\"queued\":1}\n"
        "{\"time\":\"2026-12-04T10:00:03.900Z\",\"level\":\"info\","
        "\"event\":\"backend_loaded\",\"service\":\"notes\",\"queued\":40}\n"
        "{\"time\":\"2026-12-04T10:00:03.950Z\",\"level\":\"info\","
        "\"event\":\"backend_loaded\",\"service\":\"books\",\"queued\":2}\n";
  char *a, *b, *line;
  struct output o;

  start ();
  process_write_file (dir, "a.log", entry_log);
  process_write_file (dir, "b.log", serving_log);
  a = g_build_filename (dir, "a.log", NULL);
  b = g_build_filename (dir, "b.log", NULL);
  line = g_strdup_printf ("trace-request ab12 %s %s", b, a);
  o = run (line);
  ck_assert_int_eq (o.code, 0);
  ck_assert_ptr_nonnull (
      strstr (o.err, "1 lines are not log lines and were skipped"));
  ck_assert (strstr (o.out, "revision=7") < strstr (o.out, "queued=40"));
  ck_assert (strstr (o.out, "queued=40") < strstr (o.out, "* 2026"));
  ck_assert_ptr_nonnull (strstr (o.out, "error=\"overloaded\""));
  ck_assert_ptr_null (strstr (o.out, "queued=1"));
  ck_assert_ptr_null (strstr (o.out, "books"));
  ck_assert_ptr_null (strstr (o.out, "ab13"));
  ck_assert_ptr_null (strstr (o.out, "ab12c"));
  ck_assert_ptr_nonnull (strstr (o.out, "request=\"ab12.7f\""));
  g_free (o.out);
  g_free (o.err);
  g_free (line);
  line = g_strdup_printf ("trace-request zz %s", a);
  expect (line, 1, "no line names the request");
  g_free (line);
  line = g_strdup_printf ("trace-request ab12 %s --json", a);
  expect (line, 0, "\"names_request\" : true");
  g_free (line);
  line = g_strdup_printf ("trace-request ab12 %s --seconds -1", a);
  expect (line, 64, "not between 0 and 3600");
  expect ("trace-request ab12 /nonexistent", 66, "/nonexistent");
  expect ("trace-request ab12", 64, "usage");
  g_free (line);
  g_free (a);
  g_free (b);
  stop ();
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { bad_input_changes_nothing,
          edits_conflict_only_on_the_same_member,
          simultaneous_changes_all_take_effect,
          lost_answers_and_outages_are_reported,
          issued_keys_are_shown_once_and_revoked_keys_are_refused,
          explain_reports_the_decision_and_its_reason,
          explanation_shows_the_endpoints_of_a_daemon,
          daemon_status_is_shown,
          logs_of_several_daemons_are_merged };

  return suite_run ("ctl", cases, G_N_ELEMENTS (cases));
}
