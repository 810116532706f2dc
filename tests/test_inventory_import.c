/* Tests of inventory_import and of the shipped example files.  */

#include "change_json.h"
#include "inventory_import.h"
#include "inventory_json.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SEED 20261204
#define MUTATIONS 3000
#define HEAD "kind,name,service,path_prefix,importance\n"

static const char *const examples[]
    = { "examples/inventory-guides.json", "examples/inventory-growers.json" };

static struct str
read_file (const char *path)
{
  char *data;
  gsize len;

  if (!g_file_get_contents (path, &data, &len, NULL))
    ck_abort_msg ("%s cannot be read", path);
  return (struct str){ len, data };
}

/* Loads and checks a register in JSON or CSV for an empty inventory, and
   expects that the problems contain `problem`; NULL: that there are none.  */
static void
expect_problem (bool json, const char *text, const char *problem)
{
  struct inventory inv;
  struct inventory_import import;
  bool valid;

  inventory_init (&inv);
  if (json)
    valid = inventory_import_load_json (
        &import, STR_LIT ("f"), str_from_cstr (text), STR_LIT ("owner,place"));
  else
    valid = inventory_import_load_csv (
        &import, STR_LIT ("f"), str_from_cstr (text), STR_LIT ("owner,place"));
  if (valid)
    valid = inventory_import_check (&import, &inv);
  if (problem == NULL)
    ck_assert_msg (valid, "%s", valid ? "" : import.problems.data);
  else
    {
      ck_assert (!valid);
      ck_assert_msg (strstr (import.problems.data, problem) != NULL,
                     "%s lacks %s", import.problems.data, problem);
    }
  inventory_import_unload (&import);
  inventory_close (&inv);
}

/* Guards against CSV cells that are lost or assigned to the wrong field, and
   against errors without file, line and column.  */
START_TEST (csv_problems_have_line_and_column)
{
  expect_problem (false, HEAD "service,a,,,\r\n\nroute,r,a,/r,\"7\"\n", NULL);
  expect_problem (
      false, "\xef\xbb\xbfkind,name,owner\nservice,a,\"x,\n\"\"y\"", NULL);
  expect_problem (false, HEAD "route,r,a,/r,12\n",
                  "f:2:14: routes/r/importance: found \"12\"");
  expect_problem (false, HEAD "route,\xc3\xa4,a,/r,high\n",
                  "f:2:14: importance: found \"high\", allowed: a whole "
                  "number 0..9");
  expect_problem (false, HEAD "service,a,,,\nservice,a,,,\n",
                  "f:3:9: service \"a\" is already defined in line 2");
  expect_problem (false, HEAD "service,a,b,,\n",
                  "f:2:11: a service has no field \"service\"");
  expect_problem (false, HEAD "key,a,,,\n", "f:2:1: kind: found \"key\"");
  expect_problem (false, HEAD "service,a,,\n", "f:2:1: 4 cells");
  expect_problem (false, HEAD "service,\"a,,\n",
                  "f:2:9: the quoted cell has no closing quote");
  expect_problem (false, HEAD "service,\"a\"b,,,\n",
                  "f:2:12: text after the closing quote");
  expect_problem (false, HEAD "route,r,x,/r,\n",
                  "f:2:9: there is no service \"x\"");
  expect_problem (false, HEAD "route,r,,/r,\n",
                  "f:2:1: route \"r\" is new and has no service");
  expect_problem (false, "kind,name,colour\n", "f:1:11: unknown column");
  expect_problem (false, "name\n", "f:1:1: there is no column \"kind\"");
  expect_problem (false, "kind,name,name\n", "f:1:11: column \"name\" occurs");
  expect_problem (false, "kind,name\nservice,\xff\n", "f:2:9: not UTF-8");
  expect_problem (false, "", "f:1:1: ");
}
END_TEST

/* Guards against JSON members that are lost, and against errors without file,
   line and column.  */
START_TEST (json_problems_have_line_and_column)
{
  expect_problem (
      true, "[{\"kind\": \"service\", \"name\": \"a\", \"owner\": 1}]", NULL);
  expect_problem (true, "[{\"kind\": \"service\",\n \"name\": 1}]",
                  "f:2:10: [0].name: found 1");
  expect_problem (true, "[\n{\"kind\": \"host\", \"name\": \"a\"}]",
                  "f:2:1: kind: found \"host\"");
  expect_problem (true, "[{\"kind\": \"service\", \"name\": \"a\", \"x\": 1}]",
                  "f:1:40: [0].x: unknown member of a service");
  expect_problem (true,
                  "[{\"kind\": \"rule\", \"name\": \"a\", \"order\": 1,\n"
                  "\"importance\": 99}]",
                  "f:2:15: rules/a/importance: found \"99\"");
  expect_problem (true,
                  "[{\"kind\": \"service\", \"name\": \"a\"},\n"
                  "{\"kind\": \"service\", \"name\": \"a\"}]",
                  "f:2:29: service \"a\" is already defined in line 1");
  expect_problem (true, "[{\"kind\": \"service\"]", "f:1:20: expected ','");
  expect_problem (true, "{}", "f:1:1: an asset register must be a JSON array");
}
END_TEST

/* Guards against shipped examples that are not valid or not canonical.  */
START_TEST (shipped_examples_are_valid_and_canonical)
{
  for (size_t i = 0; i < G_N_ELEMENTS (examples); i++)
    {
      struct str text = read_file (examples[i]);
      struct str_buf out = { 0 }, problems = { 0 };
      struct inventory inv;

      ck_assert (inventory_json_load (&inv, text, NULL));
      inventory_validate (&inv, &problems);
      ck_assert_str_eq (problems.data == NULL ? "" : problems.data, "");
      inventory_json_append (&out, &inv);
      ck_assert_str_eq (out.data, text.data);
      inventory_close (&inv);
      str_reset (&out);
      str_free (&text);
    }
}
END_TEST

/* Guards against an import that cannot be applied to the example inventory,
   and against one that changes fields that the register does not contain: the
   route "warnings" has its importance from the register and keeps its retry
   budget.  */
START_TEST (register_applies_to_example)
{
  struct str csv = read_file ("examples/assets.csv");
  struct str text = read_file (examples[0]);
  struct str_buf problems = { 0 };
  const struct inventory_route *r;
  struct inventory inv;
  struct inventory_import import;

  ck_assert (inventory_json_load (&inv, text, NULL));
  ck_assert (inventory_import_load_csv (&import, STR_LIT ("assets.csv"), csv,
                                        STR_LIT ("owner")));
  ck_assert (inventory_import_check (&import, &inv));
  ck_assert_uint_eq (change_check (&inv, &import.change, &problems), 0);
  import.change.revision = inv.revision + 1;
  ck_assert (change_apply (&inv, &import.change, NULL));
  r = inventory_find (&inv, INVENTORY_ROUTE, STR_LIT ("warnings"));
  ck_assert_uint_eq (r->importance, 9);
  ck_assert_uint_eq (r->retry_budget, 2);
  inventory_import_unload (&import);
  inventory_close (&inv);
  str_free (&csv);
  str_free (&text);
}
END_TEST

/* Guards against CSV text that crashes the reader: changes 1 to 3 random bytes
   of the example register in each round.  */
START_TEST (mutated_csv_does_not_crash)
{
  struct str csv = read_file ("examples/assets.csv");
  GRand *rand = g_rand_new_with_seed (SEED);

  for (int i = 0; i < MUTATIONS; i++)
    {
      struct str copy = str_copy (csv);
      struct inventory inv;
      struct inventory_import import;

      for (int n = g_rand_int_range (rand, 1, 4); n > 0; n--)
        ((char *)copy.data)[g_rand_int_range (rand, 0, (gint32)copy.len)]
            = ",\"\n\r \xff\0aA9"[g_rand_int_range (rand, 0, 10)];
      inventory_init (&inv);
      if (inventory_import_load_csv (&import, STR_LIT ("f"), copy,
                                     STR_LIT ("owner")))
        inventory_import_check (&import, &inv);
      inventory_import_unload (&import);
      inventory_close (&inv);
      str_free (&copy);
    }
  g_rand_free (rand);
  str_free (&csv);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("inventory_import");
  TCase *tc = tcase_create ("inventory_import");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, csv_problems_have_line_and_column);
  tcase_add_test (tc, json_problems_have_line_and_column);
  tcase_add_test (tc, shipped_examples_are_valid_and_canonical);
  tcase_add_test (tc, register_applies_to_example);
  tcase_add_test (tc, mutated_csv_does_not_crash);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
