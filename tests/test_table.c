/* Tests of table: ids of removed rows, iteration, growth.  */

#include "table.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>

#define SEED 20261204
#define STEPS 20000

/* Guards against the id of a removed row that resolves to the row that reuses
   its slot: a late answer would be sent to another caller.  */
START_TEST (removed_id_does_not_resolve)
{
  struct table t;
  int *row;
  uint64_t first, second;

  table_init (&t, sizeof (int));
  first = table_add (&t, (void **)&row);
  table_remove (&t, first);
  second = table_add (&t, (void **)&row);
  ck_assert_ptr_null (table_get (&t, first));
  ck_assert_ptr_eq (table_get (&t, second), row);
  table_remove (&t, first);
  ck_assert_uint_eq (t.count, 1);
  table_close (&t);
}
END_TEST

/* Guards against rows that are lost or found twice under random adds and
   removals; compares the table with a hash table.  */
START_TEST (matches_hash_table)
{
  struct table t;
  GHashTable *model = g_hash_table_new (g_int64_hash, g_int64_equal);
  GPtrArray *ids = g_ptr_array_new_with_free_func (g_free);
  GRand *rand = g_rand_new_with_seed (SEED);
  void *row;
  uint32_t seen = 0;

  table_init (&t, sizeof (uint64_t));
  for (int i = 0; i < STEPS; i++)
    {
      if (ids->len == 0 || g_rand_int_range (rand, 0, 5) < 3)
        {
          uint64_t *id = g_new (uint64_t, 1);

          *id = table_add (&t, &row);
          *(uint64_t *)row = *id;
          ck_assert (g_hash_table_add (model, id));
          g_ptr_array_add (ids, id);
          continue;
        }
      guint at = (guint)g_rand_int_range (rand, 0, (gint32)ids->len);
      uint64_t *id = g_ptr_array_index (ids, at);

      ck_assert_uint_eq (*(uint64_t *)table_get (&t, *id), *id);
      table_remove (&t, *id);
      ck_assert_ptr_null (table_get (&t, *id));
      g_hash_table_remove (model, id);
      g_ptr_array_remove_index_fast (ids, at);
    }
  for (uint64_t id = table_next (&t, 0, &row); id != 0;
       id = table_next (&t, id, &row))
    {
      ck_assert (g_hash_table_contains (model, &id));
      seen++;
    }
  ck_assert_uint_eq (seen, g_hash_table_size (model));
  ck_assert_uint_eq (t.count, seen);
  table_close (&t);
  g_ptr_array_unref (ids);
  g_hash_table_unref (model);
  g_rand_free (rand);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("table");
  TCase *tc = tcase_create ("table");
  SRunner *runner;
  int failed;

  tcase_add_test (tc, removed_id_does_not_resolve);
  tcase_add_test (tc, matches_hash_table);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
