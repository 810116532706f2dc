/* Tests of backend_stops: the list of stopped boots and its JSON form.  */

#include "backend_stops.h"
#include "suite.h"

#include <stdio.h>

/* Guards against a full list that drops a boot which has just stopped, or that
   lists a boot twice.  */
START_TEST (oldest_boot_is_dropped)
{
  struct backend_stops s = { 0 };
  struct backend_stops older = { 0 };

  ck_assert (backend_stops_add (&s, STR_LIT ("a"), 1));
  ck_assert (!backend_stops_add (&s, STR_LIT ("a"), 1));
  for (int64_t boot = 2; boot <= BACKEND_STOPS_MAX + 1; boot++)
    ck_assert (backend_stops_add (&s, STR_LIT ("a"), boot));
  ck_assert_uint_eq (s.len, BACKEND_STOPS_MAX);
  ck_assert (!backend_stops_contains (&s, STR_LIT ("a"), 1));
  ck_assert (backend_stops_contains (&s, STR_LIT ("a"), 2));
  ck_assert (!backend_stops_contains (&s, STR_LIT ("b"), 2));
  backend_stops_add (&older, STR_LIT ("b"), 1);
  backend_stops_merge (&s, &older);
  ck_assert (backend_stops_contains (&s, STR_LIT ("a"), 2));
  ck_assert (!backend_stops_contains (&s, STR_LIT ("b"), 1));
  backend_stops_close (&older);
  backend_stops_close (&s);
}
END_TEST

/* Guards against an id that makes the stored value invalid, and against a boot
   that is lost on the way through the store.  */
START_TEST (list_survives_its_json_form)
{
  static const char *const ids[] = { "i-1", "a\"b\\c", "\u00e9\n", "" };
  struct backend_stops s = { 0 }, got;
  struct str_buf text = { 0 };

  for (size_t i = 0; i < sizeof ids / sizeof *ids; i++)
    backend_stops_add (&s, str_from_cstr (ids[i]), 1790000000000 + (int)i);
  str_append (&text, STR_LIT ("{\"stops\":"));
  backend_stops_append_json (&s, &text);
  str_append_char (&text, '}');
  ck_assert (backend_stops_load_json (&got, str_view (&text), "stops"));
  ck_assert_uint_eq (got.len, s.len);
  for (uint32_t i = 0; i < s.len; i++)
    ck_assert (backend_stops_contains (&got, s.rows[i].id, s.rows[i].boot_ms));
  backend_stops_close (&got);
  backend_stops_close (&s);
  str_reset (&text);
}
END_TEST

/* Guards against an object of an earlier version, or one that another program
   has changed, that keeps the daemon from reading the rest.  */
START_TEST (odd_entries_are_skipped)
{
  static const char odd[]
      = "{\"stops\":[1,null,{},{\"id\":7,\"boot_ms\":1},{\"id\":\"a\","
        "\"boot_ms\":-1},{\"id\":\"a\",\"boot_ms\":\"1\"},"
        "{\"id\":\"a\",\"boot_ms\":5}]}";
  struct backend_stops s;

  ck_assert (backend_stops_load_json (&s, STR_LIT (odd), "stops"));
  ck_assert_uint_eq (s.len, 1);
  ck_assert (backend_stops_contains (&s, STR_LIT ("a"), 5));
  backend_stops_close (&s);
  ck_assert (
      backend_stops_load_json (&s, STR_LIT ("{\"stops\":{}}"), "stops"));
  ck_assert_uint_eq (s.len, 0);
  ck_assert (backend_stops_load_json (&s, STR_LIT ("{}"), "stops"));
  ck_assert_uint_eq (s.len, 0);
  ck_assert (!backend_stops_load_json (&s, STR_LIT ("[]"), "stops"));
  ck_assert_uint_eq (s.len, 0);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { oldest_boot_is_dropped, list_survives_its_json_form,
          odd_entries_are_skipped };

  return suite_run ("backend_stops", cases, sizeof cases / sizeof *cases);
}
