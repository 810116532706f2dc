/* Tests of inventory, inventory_json and json_check.  */

#include "err.h"
#include "inventory.h"
#include "inventory_json.h"
#include "json_check.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SEED 20261204
#define STEPS 5000
#define MUTATIONS 5000
#define SHA256                                                                \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const char text[]
    = "{\"revision\": 7,\n"
      "\"services\": [{\"name\": \"booking\"}, {\"name\": \"archive\"}],\n"
      "\"routes\": [\n"
      "{\"name\": \"book\", \"service\": \"booking\", \"path_prefix\": "
      "\"/bookings\", \"methods\": [\"POST\"], \"idempotency_key\": "
      "\"required\", \"importance\": 7},\n"
      "{\"name\": \"list\", \"service\": \"booking\", \"path_prefix\": "
      "\"/bookings\", \"methods\": [\"GET\"], \"idempotent\": true},\n"
      "{\"name\": \"notes\", \"service\": \"booking\", \"path_prefix\": "
      "\"/bookings/notes\", \"open\": true}],\n"
      "\"workspaces\": [{\"name\": \"north\", \"rate_per_s\": 100, \"burst\": "
      "50, \"routes\": [\"list\", \"book\"]}],\n"
      "\"keys\": [{\"id\": \"k1\", \"workspace\": \"north\", \"sha256\": "
      "\"" SHA256 "\"}],\n"
      "\"rules\": [{\"name\": \"b\", \"order\": 1, \"importance\": 3},\n"
      "{\"name\": \"a\", \"order\": 1, \"workspace\": \"north\", \"method\": "
      "\"POST\", \"importance\": 9}]}";

static void
load (struct inventory *inv, const char *json)
{
  GError *error = NULL;

  if (!inventory_json_load (inv, str_from_cstr (json), &error))
    ck_abort_msg ("%s", error->message);
}

static void
expect_error (const char *json, const char *message)
{
  struct inventory inv;
  GError *error = NULL;

  ck_assert (!inventory_json_load (&inv, str_from_cstr (json), &error));
  ck_assert_msg (strstr (error->message, message) != NULL, "%s lacks %s",
                 error->message, message);
  g_error_free (error);
}

/* Replaces the first `from` in a copy of `text` by `to` and expects that
   validation reports the problem.  */
static void
expect_problem (const char *from, const char *to, const char *problem)
{
  char **parts = g_strsplit (text, from, 2);
  char *json = g_strjoin (to, parts[0], parts[1], NULL);
  struct inventory inv;
  struct str_buf problems = { 0 };

  ck_assert_ptr_nonnull (parts[1]);
  load (&inv, json);
  ck_assert_uint_gt (inventory_validate (&inv, &problems), 0);
  ck_assert_msg (strstr (problems.data, problem) != NULL, "%s lacks %s",
                 problems.data, problem);
  str_reset (&problems);
  inventory_close (&inv);
  g_free (json);
  g_strfreev (parts);
}

/* Guards against an encoding that loses a member or depends on the order in
   which rows were added, because diffs and snapshots compare bytes.  */
START_TEST (json_is_complete_and_canonical)
{
  struct inventory inv, again, copy;
  struct str_buf first = { 0 }, second = { 0 }, third = { 0 },
                 problems = { 0 };

  load (&inv, text);
  ck_assert_uint_eq (inventory_validate (&inv, &problems), 0);
  inventory_json_append (&first, &inv);
  load (&again, first.data);
  inventory_json_append (&second, &again);
  ck_assert_str_eq (first.data, second.data);
  inventory_copy (&copy, &inv);
  inventory_remove (&copy, INVENTORY_SERVICE, STR_LIT ("archive"));
  inventory_put (
      &copy, INVENTORY_SERVICE,
      inventory_find (&inv, INVENTORY_SERVICE, STR_LIT ("archive")));
  inventory_json_append (&third, &copy);
  ck_assert_str_eq (first.data, third.data);
  inventory_close (&copy);
  inventory_close (&again);
  inventory_close (&inv);
  str_reset (&first);
  str_reset (&second);
  str_reset (&third);
}
END_TEST

/* Guards against invalid input that is silently changed, ignored or read as
   another value, and against errors without line and column.  */
START_TEST (invalid_json_is_rejected)
{
  char deep[200];

  memset (deep, '[', sizeof deep - 1);
  deep[sizeof deep - 1] = '\0';
  expect_error (deep, "line 1, column 33: nested too deeply");
  expect_error ("{\"routes\": [],\n  \"routes\": []}",
                "line 2, column 3: the member occurs twice");
  expect_error ("{\"rules\": [{\"name\": \"r\", \"order\": 1,\n"
                "\"importance\": \"high\"}]}",
                "line 2, column 15: rules[0].importance: found \"high\", "
                "allowed: a whole number 0..9");
  expect_error ("{\"rules\": [{\"name\": \"r\", \"order\": "
                "18446744073709551617, \"importance\": 1}]}",
                "rules[0].order");
  expect_error ("{\"rules\": [{\"name\": \"r\", \"order\": 1.0, "
                "\"importance\": 1}]}",
                "rules[0].order");
  expect_error ("{\"services\": [{\"name\": \"a\", \"nmae\": 1}]}",
                "services[0].nmae: unknown member of a service");
  expect_error ("{\"services\": [{}]}", "member \"name\" is missing");
  expect_error ("{\"services\": [{\"name\": \"a\"}, {\"name\": \"a\"}]}",
                "services[1]: there are two services named \"a\"");
  expect_error ("{\"hosts\": []}", "unknown member of an inventory");
  expect_error ("[]", "an inventory must be a JSON object");
  expect_error ("{\"services\": [] /* none */}", "expected ',' or '}'");
  expect_error ("{\"services\": [{\"name\": \"\xff\"}]}", "not UTF-8");
  expect_error ("", "line 1, column 1");
}
END_TEST

/* Guards against an inventory that passes validation although it contains
   references to missing rows, invalid values or routes with the same path and
   method, and against problem lines without row and field.  */
START_TEST (validation_names_row_and_field)
{
  expect_problem ("\"importance\": 7", "\"importance\": 12",
                  "routes/book/importance: found \"12\", allowed: a whole "
                  "number 0..9");
  expect_problem ("\"service\": \"booking\", \"path_prefix\": "
                  "\"/bookings/notes\"",
                  "\"service\": \"notes\", \"path_prefix\": \"/n\"",
                  "routes/notes/service: there is no service \"notes\"");
  expect_problem ("[\"GET\"]", "[\"GET\", \"POST\"]",
                  "routes/list/path_prefix: route \"book\" has the same path "
                  "and method");
  expect_problem ("\"/bookings/notes\"", "\"/bookings/../x\"",
                  "routes/notes/path_prefix");
  expect_problem ("\"/bookings/notes\"", "\"/bookings/\"",
                  "routes/notes/path_prefix");
  expect_problem ("\"idempotent\": true",
                  "\"idempotent\": true, \"idempotency_key\": \"optional\"",
                  "routes/list/idempotency_key");
  expect_problem ("[\"list\", \"book\"]", "[\"lists\"]",
                  "workspaces/north/routes: there is no route \"lists\"");
  expect_problem ("\"id\": \"k1\"", "\"id\": \"k_1\"", "keys/k_1/id");
  expect_problem ("0123456789abcdef", "0123456789ABCDEF", "keys/k1/sha256");
  expect_problem ("\"name\": \"north\"", "\"name\": \"north\\u001b[2J\"",
                  "north\\033[2J/name");
}
END_TEST

/* Guards against a request that gets its importance from the wrong rule, and
   against a workspace that may use a route that it does not list.  */
START_TEST (lowest_matching_rule_applies)
{
  struct inventory inv;
  const struct inventory_workspace *ws;

  load (&inv, text);
  ck_assert (str_equal (inventory_match_rule (&inv, STR_LIT ("north"),
                                              STR_LIT ("book"), INVENTORY_POST)
                            ->name,
                        STR_LIT ("a")));
  ck_assert (str_equal (inventory_match_rule (&inv, STR_LIT ("south"),
                                              STR_LIT ("book"), INVENTORY_POST)
                            ->name,
                        STR_LIT ("b")));
  ws = inventory_find (&inv, INVENTORY_WORKSPACE, STR_LIT ("north"));
  ck_assert (inventory_allows_route (ws, STR_LIT ("book")));
  ck_assert (!inventory_allows_route (ws, STR_LIT ("notes")));
  inventory_close (&inv);
}
END_TEST

/* Guards against an index that keeps a removed row or loses a replaced one:
   compares the inventory with a hash table after random changes.  */
START_TEST (index_matches_hash_table)
{
  GHashTable *model = g_hash_table_new (NULL, NULL);
  GRand *rand = g_rand_new_with_seed (SEED);
  struct inventory inv;

  inventory_init (&inv);
  for (uint32_t i = 0; i < STEPS; i++)
    {
      int n = g_rand_int_range (rand, 0, 400);
      char *name = g_strdup_printf ("w%d", n);
      union inventory_row row;

      inventory_init_row (INVENTORY_WORKSPACE, &row);
      row.workspace.name = str_from_cstr (name);
      row.workspace.burst = i;
      if (g_rand_boolean (rand))
        {
          inventory_put (&inv, INVENTORY_WORKSPACE, &row);
          g_hash_table_insert (model, GINT_TO_POINTER (n),
                               GUINT_TO_POINTER (i));
        }
      else
        ck_assert_int_eq (
            inventory_remove (&inv, INVENTORY_WORKSPACE, row.name),
            g_hash_table_remove (model, GINT_TO_POINTER (n)));
      g_free (name);
    }
  for (int n = 0; n < 400; n++)
    {
      char *name = g_strdup_printf ("w%d", n);
      const struct inventory_workspace *ws
          = inventory_find (&inv, INVENTORY_WORKSPACE, str_from_cstr (name));

      ck_assert_int_eq (ws != NULL,
                        g_hash_table_contains (model, GINT_TO_POINTER (n)));
      if (ws != NULL)
        ck_assert_uint_eq (ws->burst, GPOINTER_TO_UINT (g_hash_table_lookup (
                                          model, GINT_TO_POINTER (n))));
      g_free (name);
    }
  ck_assert_uint_eq (inv.tables[INVENTORY_WORKSPACE].count,
                     g_hash_table_size (model));
  inventory_close (&inv);
  g_hash_table_unref (model);
  g_rand_free (rand);
}
END_TEST

/* Guards against text that crashes the decoder, and against text that it
   accepts but whose encoding it then rejects.  */
START_TEST (mutated_json_is_rejected_or_read_back)
{
  GRand *rand = g_rand_new_with_seed (SEED);

  for (int i = 0; i < MUTATIONS; i++)
    {
      char copy[sizeof text];
      struct inventory inv, again;
      struct str_buf out = { 0 };

      memcpy (copy, text, sizeof text);
      for (int n = g_rand_int_range (rand, 1, 4); n > 0; n--)
        copy[g_rand_int_range (rand, 0, sizeof text - 1)]
            = (char)g_rand_int_range (rand, 0, 256);
      if (!inventory_json_load (&inv, (struct str){ sizeof text - 1, copy },
                                NULL))
        continue;
      inventory_json_append (&out, &inv);
      load (&again, out.data);
      inventory_close (&again);
      inventory_close (&inv);
      str_reset (&out);
    }
  g_rand_free (rand);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("inventory");
  TCase *tc = tcase_create ("inventory");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, json_is_complete_and_canonical);
  tcase_add_test (tc, invalid_json_is_rejected);
  tcase_add_test (tc, validation_names_row_and_field);
  tcase_add_test (tc, lowest_matching_rule_applies);
  tcase_add_test (tc, index_matches_hash_table);
  tcase_add_test (tc, mutated_json_is_rejected_or_read_back);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
