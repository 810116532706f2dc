/* Tests of platform_report and json_field: decoding the reports of a backend
   server.  */

#include "json_field.h"
#include "platform_report.h"
#include "suite.h"

#define ID STR_LIT ("i-1")

static const char heartbeat[]
    = "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":222,\"state\":\"ready\","
      "\"coldRemaining\":\"1500ms\",\"seq\":4,\"born\":1790000000000}";

START_TEST (all_members_of_a_heartbeat_are_decoded)
{
  struct platform_report r;

  ck_assert (platform_report_load_heartbeat (&r, ID, STR_LIT (heartbeat)));
  ck_assert (str_equal (r.backend.id, ID));
  ck_assert (str_equal (r.backend.address, STR_LIT ("10.0.0.9")));
  ck_assert_uint_eq (r.backend.port, 8080);
  ck_assert_uint_eq (r.backend.slots, 222);
  ck_assert_int_eq (r.backend.state, BACKEND_SERVING);
  ck_assert_int_eq (r.backend.cold_us, 1500000);
  ck_assert_int_eq (r.backend.boot_ms, 1790000000000);
  ck_assert_uint_gt (r.backend.sequence, 4);
  platform_report_unload (&r);
}
END_TEST

/* Guards against a malformed report that announces a backend server: missing
   members, wrong types, an unknown state, or bytes that are not JSON.  Each
   member in turn is replaced by each bad one.  */
START_TEST (malformed_reports_are_rejected)
{
  const char *const members[]
      = { "\"service\":\"s\"", "\"address\":\"10.0.0.9:8080\"",
          "\"slots\":222",     "\"state\":\"ready\"",
          "\"seq\":4",         "\"born\":1790000000000" };
  const char *const bad[] = { "\"x\":1", "\"state\":\"gone\"", "\"state\":7",
                              "\"slots\":\"222\"", "\"slots\":0" };
  struct platform_report r;

  for (size_t i = 0; i < sizeof members / sizeof *members; i++)
    for (size_t b = 0; b < sizeof bad / sizeof *bad; b++)
      {
        char **parts = g_strsplit (heartbeat, members[i], 2);
        char *text = g_strconcat (parts[0], bad[b], parts[1], NULL);

        ck_assert (
            !platform_report_load_heartbeat (&r, ID, str_from_cstr (text)));
        g_free (text);
        g_strfreev (parts);
      }
  for (size_t len = 0; len < sizeof heartbeat - 1; len++)
    ck_assert (!platform_report_load_heartbeat (
        &r, ID, (struct str){ len, heartbeat }));
  ck_assert (
      !platform_report_load_heartbeat (&r, STR_EMPTY, STR_LIT (heartbeat)));
}
END_TEST

/* Guards against a deregistration that is rejected because its body is
   empty.  */
START_TEST (deregistration_needs_no_body)
{
  struct platform_report r;

  ck_assert (platform_report_load_leave (&r, ID, STR_EMPTY));
  ck_assert_int_eq (r.backend.state, BACKEND_LEFT);
  ck_assert_int_eq (r.backend.boot_ms, 0);
  platform_report_unload (&r);
  ck_assert (platform_report_load_leave (&r, ID, STR_LIT ("{\"born\":5}")));
  ck_assert_int_eq (r.backend.boot_ms, 5);
  platform_report_unload (&r);
  ck_assert (!platform_report_load_leave (&r, STR_EMPTY, STR_EMPTY));
}
END_TEST

/* Guards against a duration in the wrong unit or a port out of range.  */
START_TEST (malformed_durations_and_addresses_are_rejected)
{
  const char *const durations[]
      = { "", "5", "ms", "-5ms", "5 ms", "5m", "nanms", "1e99s" };
  const char *const endpoints[]
      = { "",           "10.0.0.1",       "10.0.0.1:",  ":80",
          "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:8x" };
  struct str address;
  uint16_t port;
  int64_t us;

  ck_assert (json_field_parse_time_us (STR_LIT ("2.5s"), &us)
             && us == 2500000);
  ck_assert (json_field_parse_time_us (STR_LIT ("0ms"), &us) && us == 0);
  for (size_t i = 0; i < sizeof durations / sizeof *durations; i++)
    ck_assert (!json_field_parse_time_us (str_from_cstr (durations[i]), &us));
  for (size_t i = 0; i < sizeof endpoints / sizeof *endpoints; i++)
    ck_assert (!json_field_parse_endpoint (str_from_cstr (endpoints[i]),
                                           &address, &port));
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    all_members_of_a_heartbeat_are_decoded,
    malformed_reports_are_rejected,
    deregistration_needs_no_body,
    malformed_durations_and_addresses_are_rejected,
  };

  return suite_run ("platform_report", cases, sizeof cases / sizeof *cases);
}
