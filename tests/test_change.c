/* Tests of change and change_json.  */

#include "change.h"
#include "change_json.h"
#include "err.h"
#include "inventory_json.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define SEED 20261204
#define ROUNDS 300
#define NAMES 6

static const char text[]
    = "{\"revision\": 3, \"services\": [{\"name\": \"a\"}, {\"name\": \"b\"}],"
      "\"routes\": [{\"name\": \"r\", \"service\": \"a\", \"path_prefix\": "
      "\"/r\"}, {\"name\": \"s\", \"service\": \"a\", \"path_prefix\": "
      "\"/s\"}]}";

static void
load_inventory (struct inventory *inv, const char *json)
{
  GError *error = NULL;

  if (!inventory_json_load (inv, str_from_cstr (json), &error))
    ck_abort_msg ("%s", error->message);
}

/* Makes a change of a revision from the JSON text of its operations.  */
static void
load_change (struct change *c, uint64_t revision, const char *ops)
{
  char *json
      = g_strdup_printf ("{\"revision\": %d, \"nonce\": \"n\", \"author\": "
                         "\"a\", \"ops\": [%s]}",
                         (int)revision, ops);
  GError *error = NULL;

  if (!change_json_load (c, str_from_cstr (json), &error))
    ck_abort_msg ("%s", error->message);
  g_free (json);
}

static struct str
dump (const struct inventory *inv)
{
  struct str_buf out = { 0 };

  inventory_json_append (&out, inv);
  return str_take (&out);
}

/* Applies the change `theirs` to a copy of the inventory and expects the
   conflicts of the change `ours` with the result.  Both changes were made for
   the same base revision.  */
static void
expect_conflicts (const char *ours, const char *theirs, const char *expected)
{
  struct inventory base, current;
  struct change our_change, their_change;
  GArray *conflicts = change_make_conflicts ();
  struct str_buf lines = { 0 };

  load_inventory (&base, text);
  inventory_copy (&current, &base);
  load_change (&our_change, 4, ours);
  load_change (&their_change, 4, theirs);
  ck_assert (change_apply (&current, &their_change, NULL));
  change_find_conflicts (&our_change, &base, &current, conflicts);
  for (guint i = 0; i < conflicts->len; i++)
    change_append_conflict (
        &lines, &g_array_index (conflicts, struct change_conflict, i));
  ck_assert_str_eq (lines.data == NULL ? "" : lines.data, expected);
  str_reset (&lines);
  g_array_unref (conflicts);
  change_close (&our_change);
  change_close (&their_change);
  inventory_close (&base);
  inventory_close (&current);
}

/* Guards against an edit that silently overwrites another operator's edit,
   and against false conflicts between edits of different fields.  */
START_TEST (conflicts_are_found_by_field)
{
  const char *importance
      = "{\"put\": \"route\", \"row\": {\"name\": \"r\", \"importance\": 9}}";
  const char *timeout
      = "{\"put\": \"route\", \"row\": {\"name\": \"r\", \"timeout_ms\": 9}}";
  const char *other
      = "{\"put\": \"route\", \"row\": {\"name\": \"r\", \"importance\": 1}}";
  const char *delete = "{\"delete\": \"route\", \"name\": \"r\"}";

  expect_conflicts (importance, timeout, "");
  expect_conflicts (importance, importance, "");
  expect_conflicts (importance, other,
                    "routes/r/importance: was \"5\", is now \"1\", yours "
                    "\"9\"\n");
  expect_conflicts (importance, delete,
                    "routes/r: was \"(present)\", is now \"(deleted)\", "
                    "yours \"(changed)\"\n");
  expect_conflicts (delete, importance,
                    "routes/r/importance: was \"5\", is now \"9\", yours "
                    "\"(deleted)\"\n");
  expect_conflicts (delete, delete, "");
  expect_conflicts ("{\"put\": \"rule\", \"row\": {\"name\": \"x\", "
                    "\"order\": 1, \"importance\": 2}}",
                    "{\"put\": \"rule\", \"row\": {\"name\": \"x\", "
                    "\"order\": 1, \"importance\": 3}}",
                    "rules/x/importance: was \"(no row)\", is now \"3\", "
                    "yours \"2\"\n");
}
END_TEST

/* Guards against a change that is applied in part, that is applied twice, or
   that is applied although the change before it is missing.  */
START_TEST (rejected_change_leaves_inventory_unchanged)
{
  static const struct
  {
    int revision;
    const char *ops;
    const char *message;
  } cases[] = {
    { 3, "", "change 3 does not follow revision 3" },
    { 5, "", "change 5 does not follow revision 3" },
    { 4,
      "{\"delete\": \"service\", \"name\": \"b\"}, {\"put\": \"route\", "
      "\"row\": {\"name\": \"r\", \"importance\": 10}}",
      "routes/r/importance: found \"10\"" },
    { 4,
      "{\"delete\": \"service\", \"name\": \"b\"}, {\"put\": \"route\", "
      "\"row\": {\"name\": \"new\", \"service\": \"a\"}}",
      "routes/new/path_prefix: is missing in a new route" },
    { 4, "{\"delete\": \"key\", \"name\": \"k\"}", "keys/k: does not exist" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct inventory inv;
      struct change c;
      struct str before, after;
      GError *error = NULL;

      load_inventory (&inv, text);
      before = dump (&inv);
      load_change (&c, cases[i].revision, cases[i].ops);
      ck_assert (!change_apply (&inv, &c, &error));
      ck_assert_msg (strstr (error->message, cases[i].message) != NULL, "%s",
                     error->message);
      after = dump (&inv);
      ck_assert_str_eq (before.data, after.data);
      g_error_free (error);
      str_free (&before);
      str_free (&after);
      change_close (&c);
      inventory_close (&inv);
    }
}
END_TEST

/* Guards against a change that passes the check although it leaves references
   to a deleted row.  */
START_TEST (check_finds_references_to_deleted_row)
{
  struct inventory inv;
  struct change c;
  struct str_buf problems = { 0 };

  load_inventory (&inv, text);
  load_change (&c, 4, "{\"delete\": \"service\", \"name\": \"a\"}");
  ck_assert_uint_eq (change_check (&inv, &c, &problems), 2);
  ck_assert_ptr_nonnull (strstr (problems.data, "there is no service \"a\""));
  str_reset (&problems);
  change_close (&c);
  inventory_close (&inv);
}
END_TEST

static void
fill_random (struct inventory *inv, GRand *rand)
{
  for (int n = 0; n < NAMES; n++)
    {
      char *name = g_strdup_printf ("n%d", n);
      union inventory_row row;

      inventory_init_row (INVENTORY_WORKSPACE, &row);
      row.name = str_from_cstr (name);
      row.workspace.rate_per_s = (uint32_t)g_rand_int_range (rand, 1, 3);
      row.workspace.burst = (uint32_t)g_rand_int_range (rand, 1, 3);
      if (g_rand_boolean (rand))
        inventory_put (inv, INVENTORY_WORKSPACE, &row);
      row = (union inventory_row){ .service.name = str_from_cstr (name) };
      if (g_rand_boolean (rand))
        inventory_put (inv, INVENTORY_SERVICE, &row);
      g_free (name);
    }
}

/* Guards against a diff that does not turn one inventory into the other after
   it was encoded as JSON and decoded again.  */
START_TEST (diff_turns_inventory_into_target)
{
  GRand *rand = g_rand_new_with_seed (SEED);

  for (int i = 0; i < ROUNDS; i++)
    {
      struct inventory from, to;
      struct change made, c;
      struct str_buf json = { 0 };
      struct str target, result;

      inventory_init (&from);
      inventory_init (&to);
      fill_random (&from, rand);
      fill_random (&to, rand);
      change_init (&made);
      change_set_nonce (&made);
      change_diff (&made, &from, &to);
      made.revision = 1;
      to.revision = 1;
      change_json_append (&json, &made);
      ck_assert (change_json_load (&c, str_view (&json), NULL));
      ck_assert (change_apply (&from, &c, NULL));
      target = dump (&to);
      result = dump (&from);
      ck_assert_str_eq (target.data, result.data);
      change_drop_unchanged (&c, &to);
      ck_assert_uint_eq (c.ops->len, 0);
      str_free (&target);
      str_free (&result);
      str_reset (&json);
      change_close (&made);
      change_close (&c);
      inventory_close (&from);
      inventory_close (&to);
    }
  g_rand_free (rand);
}
END_TEST

/* Guards against an invalid stored change that is read as a valid one.  */
START_TEST (invalid_json_is_rejected)
{
  static const char *const cases[][2] = {
    { "{\"revision\": 1, \"nonce\": \"n\", \"author\": \"a\", \"ops\": [], "
      "\"force\": true}",
      "members other than" },
    { "{\"revision\": -1, \"nonce\": \"n\", \"author\": \"a\", \"ops\": []}",
      "line 1, column 14: revision" },
    { "{\"revision\": 1, \"author\": \"a\", \"ops\": []}", "nonce" },
    { "{\"revision\": 1, \"nonce\": \"n\", \"author\": \"a\", \"ops\": "
      "[{\"put\": \"routes\", \"row\": {}}]}",
      "ops[0]: expected \"put\"" },
    { "{\"revision\": 1, \"nonce\": \"n\", \"author\": \"a\", \"ops\": "
      "[{\"delete\": \"key\", \"name\": \"k\"},\n{\"delete\": \"key\", "
      "\"name\": \"k\"}]}",
      "line 2, column 1: ops[1]: the row has more than one operation" },
    { "{\"revision\": 1, \"nonce\": \"n\", \"author\": \"a\", \"ops\": "
      "[{\"put\": \"rule\", \"row\": {\"name\": \"x\", \"order\": true}}]}",
      "ops[0].row.order: found true" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct change c;
      GError *error = NULL;

      ck_assert (!change_json_load (&c, str_from_cstr (cases[i][0]), &error));
      ck_assert_msg (strstr (error->message, cases[i][1]) != NULL, "%s",
                     error->message);
      g_error_free (error);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("change");
  TCase *tc = tcase_create ("change");
  SRunner *runner;
  int failed;

  tcase_add_test (tc, conflicts_are_found_by_field);
  tcase_add_test (tc, rejected_change_leaves_inventory_unchanged);
  tcase_add_test (tc, check_finds_references_to_deleted_row);
  tcase_add_test (tc, diff_turns_inventory_into_target);
  tcase_add_test (tc, invalid_json_is_rejected);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
