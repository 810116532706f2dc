/* Tests of settings: defaults, error lines, malformed files and the reference
   page.  */

#include "err.h"
#include "settings.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SEED 20261205
#define MUTATIONS 20000
#define FILE_NAME "daemon.json"
#define PAGE "docs/OPERATIONS.md"
#define REQUIRED                                                              \
  "\"member_id\":\"d1\",\"failure_domain\":\"fd-1\",\"region\":\"north\","    \
  "\"address\":\"10.0.0.1\""
#define MINIMAL "{" REQUIRED ",\"inventory_file\":\"inventory.json\"}"

static const char full[]
    = "{" REQUIRED ",\"ports\":{\"caller\":1,\"local\":2,\"peer\":3,"
      "\"control\":4},\"seeds\":[{\"address\":\"10.0.0.2\",\"port\":4},"
      "{\"address\":\"fd00::1\",\"port\":5}],\"platform\":{\"address\":"
      "\"10.0.0.9\",\"port\":99},\"backend_connections_max\":7,"
      "\"front_threads\":2,\"log_level\":\"debug\",\"trace\":{\"otlp\":"
      "{\"address\":\"10.0.0.8\",\"port\":98},\"queue\":64,"
      "\"sample_ratio\":0.5},\"policy\":{\"admit\":\"naive\"},\"limits\":"
      "{\"body_bytes\":0,\"depth\":17},"
      "\"fresh\":{\"bound_ms\":500},\"lease\":{\"shards\":256},"
      "\"grant\":{\"validity_ms\":600},\"shutdown_ms\":0}";

static bool
load (struct settings *s, const char *text, GError **error)
{
  return settings_load (s, STR_LIT (FILE_NAME), str_from_cstr (text), error);
}

/* Guards against a default that is missing or outside its own range.  */
START_TEST (minimal_file_has_defaults)
{
  struct settings s;

  ck_assert (load (&s, MINIMAL, NULL));
  ck_assert (str_equal (s.member_id, STR_LIT ("d1")));
  ck_assert_int_eq (s.ports.caller, 8080);
  ck_assert_int_eq (s.front_threads, 1);
  ck_assert_int_eq (s.fresh.bound_ms, 3500);
  ck_assert_int_eq (s.lease.abandon_ms, 3600000);
  ck_assert_uint_eq (s.seeds.len, 0);
  ck_assert_uint_eq (s.platform.address.len, 0);
  ck_assert (str_equal (s.policy.admit, STR_LIT ("priority")));
  settings_unload (&s);
}
END_TEST

/* Guards against a value stored in the field of another member.  */
START_TEST (every_value_reaches_its_own_field)
{
  struct settings s;
  GError *error = NULL;

  ck_assert_msg (load (&s, full, &error), "%s",
                 error != NULL ? error->message : "");
  ck_assert_int_eq (s.ports.caller, 1);
  ck_assert_int_eq (s.ports.control, 4);
  ck_assert_uint_eq (s.seeds.len, 2);
  ck_assert (str_equal (s.seeds.items[1].address, STR_LIT ("fd00::1")));
  ck_assert_int_eq (s.seeds.items[1].port, 5);
  ck_assert (str_equal (s.platform.address, STR_LIT ("10.0.0.9")));
  ck_assert_int_eq (s.platform.port, 99);
  ck_assert (str_equal (s.trace.otlp.address, STR_LIT ("10.0.0.8")));
  ck_assert_int_eq (s.trace.queue, 64);
  ck_assert (s.trace.sample_ratio == 0.5);
  ck_assert (str_equal (s.log_level, STR_LIT ("debug")));
  ck_assert_int_eq (s.limits.depth, 17);
  ck_assert_int_eq (s.lease.shards, 256);
  ck_assert_int_eq (s.shutdown_ms, 0);
  settings_unload (&s);
}
END_TEST

static const struct
{
  const char *text;
  const char *line; /* start of the error line after the file name */
} invalid_files[] = {
  { "{" REQUIRED ",\"port\":1}",
    "port: found an unknown name, allowed is member_id, failure_domain," },
  { "{" REQUIRED ",\"ports\":{\"callers\":1}}",
    "ports.callers: found an unknown name, allowed is caller, local, peer, "
    "control" },
  { "{" REQUIRED ",\"ports\":1}", "ports: found 1, allowed is an object" },
  { "{" REQUIRED ",\"ports\":{\"caller\":\"80\"}}",
    "ports.caller: found \"80\", allowed is an integer from 1 to 65535" },
  { "{" REQUIRED ",\"ports\":{\"caller\":65536}}",
    "ports.caller: found 65536, allowed is an integer from 1 to 65535" },
  { "{" REQUIRED ",\"front_threads\":1.5}", "front_threads: found 1.5," },
  { "{" REQUIRED ",\"front_threads\":null}", "front_threads: found null," },
  { "{" REQUIRED ",\"log_level\":\"loud\"}",
    "log_level: found \"loud\", allowed is one of error, warning, info, "
    "debug" },
  { "{" REQUIRED ",\"log_level\":\"error, warning\"}", "log_level: found" },
  { "{" REQUIRED ",\"trace\":{\"sample_ratio\":1.01}}",
    "trace.sample_ratio: found 1.01, allowed is a number from 0 to 1" },
  { "{" REQUIRED ",\"trace\":{\"otlp\":{\"address\":\"localhost\"}}}",
    "trace.otlp.address: found \"localhost\", allowed is an IPv4 or IPv6" },
  { "{" REQUIRED ",\"seeds\":[{\"address\":\"10.0.0.2\"}]}", "seeds: found" },
  { "{" REQUIRED ",\"seeds\":[{\"address\":\"10.0.0.2\",\"port\":1,"
    "\"x\":1}]}",
    "seeds: found" },
  { "{\"member_id\":\"a b\"}",
    "member_id: found \"a b\", allowed is 1 to 64" },
  { "{\"member_id\":\"d1\"}", "failure_domain: found no value" },
  { "{" REQUIRED "}", "inventory_file: found members that do not fit" },
  { "{" REQUIRED ",\"inventory_file\":\"i\",\"platform\":{\"address\":"
    "\"10.0.0.9\"}}",
    "inventory_file: found members that do not fit" },
  { "{" REQUIRED ",\"inventory_file\":\"i\",\"ports\":{\"caller\":8083}}",
    "ports: found members that do not fit" },
  { "{" REQUIRED ",\"inventory_file\":\"i\",\"grant\":{\"validity_ms\":500}}",
    "grant.round_trip_bound_ms: found" },
  { "{" REQUIRED ",\"inventory_file\":\"i\",\"lease\":{\"abandon_ms\":60000,"
    "\"term_ms\":60000}}",
    "lease.abandon_ms: found" },
  { "{" REQUIRED "," REQUIRED "}", "found line 1, column" },
  { "{", "found line 1, column 2:" },
  { "", "found line 1, column 1:" },
  { "[]", "found no object" },
};

/* Guards against an invalid file that is accepted, and against an error line
   that does not name the member, the value found or the values allowed.  */
START_TEST (invalid_file_gives_one_error_line)
{
  struct settings s;
  GError *error = NULL;
  char *line = g_strconcat (FILE_NAME ": ", invalid_files[_i].line, NULL);

  ck_assert_msg (!load (&s, invalid_files[_i].text, &error), "%s",
                 invalid_files[_i].text);
  ck_assert (g_error_matches (error, ERR_QUARK, ERR_SETTINGS_INVALID));
  ck_assert_msg (g_str_has_prefix (error->message, line), "%s",
                 error->message);
  g_free (line);
  g_error_free (error);
}
END_TEST

/* Guards against a long or binary value that makes the error line too long,
   breaks it or makes it invalid UTF-8.  */
START_TEST (long_value_is_truncated_in_error)
{
  struct settings s;
  GError *error = NULL;
  char *name = g_strnfill (5000, 'x');
  char *text = g_strdup_printf ("{\"member_id\":\"\\n\xc3\xa9%s\"}", name);

  ck_assert (!load (&s, text, &error));
  ck_assert_uint_lt (strlen (error->message), 250);
  ck_assert_ptr_null (strchr (error->message, '\n'));
  ck_assert (g_utf8_validate (error->message, -1, NULL));
  g_error_free (error);
  g_free (text);
  g_free (name);
}
END_TEST

static void
mutate (GRand *rand, GString *text)
{
  static const char bytes[] = "{}[]\",:0123456789.-+eE\\nutf\x80\xff\n";
  gsize at = (gsize)g_rand_int_range (rand, 0, (gint32)text->len);
  char byte = bytes[g_rand_int_range (rand, 0, sizeof bytes - 1)];

  switch (g_rand_int_range (rand, 0, 4))
    {
    case 0:
      text->str[at] = byte;
      break;
    case 1:
      g_string_insert_c (text, (gssize)at, byte);
      break;
    case 2:
      g_string_erase (text, (gssize)at, 1);
      break;
    default:
      g_string_truncate (text, at + 1);
      break;
    }
}

/* Guards against crashes, leaks (detected by a sanitizer) and missing error
   lines for malformed files.  */
START_TEST (mutated_files_are_rejected_with_error)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  int accepted = 0;

  for (int i = 0; i < MUTATIONS; i++)
    {
      GString *text = g_string_new (full);
      struct settings s;
      GError *error = NULL;

      for (int n = g_rand_int_range (rand, 1, 4); n > 0 && text->len > 0; n--)
        mutate (rand, text);
      if (settings_load (&s, STR_LIT (FILE_NAME),
                         (struct str){ text->len, text->str }, &error))
        {
          accepted++;
          settings_unload (&s);
        }
      else
        {
          ck_assert_int_eq (error->code, ERR_SETTINGS_INVALID);
          ck_assert (g_str_has_prefix (error->message, FILE_NAME ": "));
          ck_assert_ptr_null (strchr (error->message, '\n'));
          g_error_free (error);
        }
      g_string_free (text, TRUE);
    }
  ck_assert_int_lt (accepted, MUTATIONS / 2);
  g_rand_free (rand);
}
END_TEST

/* Guards against unbounded recursion in the JSON parser.  */
START_TEST (deep_nesting_is_rejected)
{
  struct settings s;
  char *text = g_strnfill (200000, '[');

  ck_assert (!load (&s, text, NULL));
  g_free (text);
}
END_TEST

/* Guards against a settings reference that is out of date; `make reference`
   writes it.  */
START_TEST (page_has_the_reference)
{
  struct str_buf reference = { 0 };
  char *page;

  ck_assert (g_file_get_contents (PAGE, &page, NULL, NULL));
  settings_append_reference (&reference);
  ck_assert_ptr_nonnull (strstr (page, reference.data));
  str_reset (&reference);
  g_free (page);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("settings");
  TCase *tc = tcase_create ("settings");
  SRunner *runner;
  int failed;

  tcase_add_test (tc, minimal_file_has_defaults);
  tcase_add_test (tc, every_value_reaches_its_own_field);
  tcase_add_loop_test (tc, invalid_file_gives_one_error_line, 0,
                       G_N_ELEMENTS (invalid_files));
  tcase_add_test (tc, long_value_is_truncated_in_error);
  tcase_add_test (tc, mutated_files_are_rejected_with_error);
  tcase_add_test (tc, deep_nesting_is_rejected);
  tcase_add_test (tc, page_has_the_reference);
  tcase_set_timeout (tc, 60);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
