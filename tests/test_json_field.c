/* Tests of json_field and of the limits of json_check on text of other
   programs.  */

#include "json_check.h"
#include "json_field.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

static char *
nest (const char *before, uint32_t depth, const char *after)
{
  char *opening = g_strnfill (depth, '[');
  char *closing = g_strnfill (depth, ']');
  char *text = g_strconcat (before, opening, closing, after, NULL);

  g_free (opening);
  g_free (closing);
  return text;
}

static bool
limit (const char *text, struct str_buf *out)
{
  out->len = 0;
  return json_check_limit_text (str_from_cstr (text), out);
}

/* Guards against a process that ends by a stack overflow in json-glib, and
   against losing the members beside a value that is nested too deeply.  */
START_TEST (deep_value_does_not_hide_its_neighbours)
{
  static const uint32_t depths[]
      = { JSON_CHECK_DEPTH_MAX, 1000, 100000, 1000000 };
  struct str value;

  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      char *text = nest ("{\"a\":\"x\",\"deep\":[1,", depths[i],
                         ",{\"k\":\"]\"}],\"b\":\"y\"}");
      JsonNode *root = json_field_parse_object (str_from_cstr (text));
      JsonObject *o;

      ck_assert_ptr_nonnull (root);
      o = json_node_get_object (root);
      ck_assert (json_field_get_text (o, "a", &value)
                 && str_equal (value, STR_LIT ("x")));
      ck_assert (json_field_get_text (o, "b", &value)
                 && str_equal (value, STR_LIT ("y")));
      ck_assert_uint_eq (
          json_array_get_length (json_field_get_array (o, "deep")), 3);
      json_node_unref (root);
      g_free (text);
    }
}
END_TEST

/* Guards against cutting text that is within the limit.  */
START_TEST (text_within_the_limit_is_unchanged)
{
  char *text = nest ("{\"[\\\"[\":", JSON_CHECK_DEPTH_MAX - 1, "}");
  struct str_buf out = { 0 };

  ck_assert (limit (text, &out));
  ck_assert (str_equal (str_view (&out), str_from_cstr (text)));
  g_free (text);
  text = nest ("{\"a\":", JSON_CHECK_DEPTH_MAX, "}");
  ck_assert (limit (text, &out));
  ck_assert (!str_equal (str_view (&out), str_from_cstr (text)));
  g_free (text);
  str_reset (&out);
}
END_TEST

/* Guards against a comment, which json-glib skips, that hides brackets from
   the check, and against brackets that do not match.  */
START_TEST (text_that_is_no_json_is_refused)
{
  static const char *const texts[]
      = { "/*\"*/[[", "// \"\n{}", "'\"'", "{}]", "[", "{\"a\":[}", "#\"\n[" };
  struct str_buf out = { 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    ck_assert_msg (!limit (texts[i], &out)
                       || json_field_parse_object (str_from_cstr (texts[i]))
                              == NULL,
                   "%s", texts[i]);
  ck_assert (!limit (texts[0], &out));
  ck_assert_ptr_null (json_field_parse_object (STR_EMPTY));
  str_reset (&out);
}
END_TEST

/* Guards against a list that cannot be read because of bytes in one entry that
   are not UTF-8.  */
START_TEST (bytes_that_are_not_utf8_spoil_one_string)
{
  JsonNode *root = json_field_parse_object (
      STR_LIT ("{\"bad\":\"\xff\xfe\",\"good\":\"x\"}"));
  struct str value;

  ck_assert_ptr_nonnull (root);
  ck_assert (
      json_field_get_text (json_node_get_object (root), "good", &value));
  ck_assert (str_equal (value, STR_LIT ("x")));
  json_node_unref (root);
}
END_TEST

/* Guards against the same because of half of a surrogate pair, as which some
   programs write a byte that is not UTF-8, and against spoiling a pair.  */
START_TEST (half_of_a_surrogate_pair_spoils_one_string)
{
  static const char *const halves[]
      = { "\\ud800",        "\\udc00", "\\ud800A", "\\ud800\\u0041",
          "\\udbff\\ud800", "x\\ud8",  "\\" };
  struct str value;
  JsonNode *root;

  for (size_t i = 0; i < G_N_ELEMENTS (halves) - 2; i++)
    {
      char *text
          = g_strdup_printf ("{\"bad\":\"%s\",\"good\":\"x\"}", halves[i]);

      root = json_field_parse_object (str_from_cstr (text));
      ck_assert_msg (root != NULL, "%s", halves[i]);
      ck_assert (
          json_field_get_text (json_node_get_object (root), "good", &value));
      json_node_unref (root);
      g_free (text);
    }
  for (size_t i = G_N_ELEMENTS (halves) - 2; i < G_N_ELEMENTS (halves); i++)
    {
      char *text = g_strdup_printf ("{\"cut\":\"%s", halves[i]);

      ck_assert_ptr_null (json_field_parse_object (str_from_cstr (text)));
      g_free (text);
    }
  root = json_field_parse_object (
      STR_LIT ("{\"a\":\"\\ud83d\\ude00 \\\\ud800\"}"));
  ck_assert (json_field_get_text (json_node_get_object (root), "a", &value));
  ck_assert (str_equal (value, STR_LIT ("\xf0\x9f\x98\x80 \\ud800")));
  json_node_unref (root);
}
END_TEST

/* Guards against a number that does not fit and is taken for another one.  */
START_TEST (numbers_out_of_range_are_refused)
{
  static const char *const numbers[] = { "65536",
                                         "0",
                                         "-1",
                                         "99999999999999999999999",
                                         "1e400",
                                         "80.5",
                                         "\"80\"",
                                         "[80]",
                                         "{}",
                                         "null",
                                         "true",
                                         "18446744073709551617",
                                         "-9223372036854775809",
                                         "99999999999999999999" };

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      char *text = g_strdup_printf ("{\"port\":%s}", numbers[i]);
      JsonNode *root = json_field_parse_object (str_from_cstr (text));
      int64_t port = 7;

      ck_assert_ptr_nonnull (root);
      ck_assert_msg (!json_field_get_number (json_node_get_object (root),
                                             "port", 1, 65535, &port),
                     "%s", numbers[i]);
      ck_assert_int_eq (port, 7);
      ck_assert (strlen (numbers[i]) < 19
                 || !json_field_get_number (json_node_get_object (root),
                                            "port", INT64_MIN, INT64_MAX,
                                            &port));
      json_node_unref (root);
      g_free (text);
    }
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { deep_value_does_not_hide_its_neighbours,
                                 text_within_the_limit_is_unchanged,
                                 text_that_is_no_json_is_refused,
                                 bytes_that_are_not_utf8_spoil_one_string,
                                 half_of_a_surrogate_pair_spoils_one_string,
                                 numbers_out_of_range_are_refused };

  return suite_run ("json_field", cases, G_N_ELEMENTS (cases));
}
