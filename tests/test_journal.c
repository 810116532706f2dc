/* Tests of the journal module against a platform in memory that loses
   answers.  */

#include "change_json.h"
#include "err.h"
#include "inventory_json.h"
#include "journal.h"

#include <check.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define SEED 20261204
#define ROUNDS 400
#define DEADLINE_US INT64_C (100000000)
#define STEP_US INT64_C (100000)

/* Platform in memory that stores the journal's objects.  */
struct platform
{
  GHashTable *objects; /* value by key */
  /* Keys and values, alternately, of the writes that are applied at the next
     call.  */
  GPtrArray *late;
  bool down;
  double lose; /* fraction of writes whose answer is lost */
  /* fraction of the writes without an answer that are applied only at the next
     call */
  double delay;
  GRand *rand;
  uint32_t puts;
};

static void
init_platform (struct platform *p)
{
  *p = (struct platform){ .rand = g_rand_new_with_seed (SEED) };
  p->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->late = g_ptr_array_new_with_free_func (g_free);
}

static void
close_platform (struct platform *p)
{
  g_hash_table_unref (p->objects);
  g_ptr_array_unref (p->late);
  g_rand_free (p->rand);
}

static void
apply_late (struct platform *p)
{
  for (guint i = 0; i + 1 < p->late->len; i += 2)
    if (!g_hash_table_contains (p->objects, g_ptr_array_index (p->late, i)))
      g_hash_table_insert (p->objects,
                           g_strdup (g_ptr_array_index (p->late, i)),
                           g_strdup (g_ptr_array_index (p->late, i + 1)));
  g_ptr_array_set_size (p->late, 0);
}

static enum err_kind
put (struct platform *p, const struct journal_action *a)
{
  char *key = str_dup_cstr (a->key);
  char *value = str_dup_cstr (a->value);
  bool lost = g_rand_double (p->rand) < p->lose;
  bool exists = g_hash_table_contains (p->objects, key);

  p->puts++;
  if (lost && g_rand_double (p->rand) < p->delay)
    {
      g_ptr_array_add (p->late, key);
      g_ptr_array_add (p->late, value);
      return ERR_STORE_OUTCOME_UNKNOWN;
    }
  if (a->condition == OBJECT_STORE_IF_ABSENT && exists)
    {
      g_free (key);
      g_free (value);
      return lost ? ERR_STORE_OUTCOME_UNKNOWN : ERR_STORE_CONFLICT;
    }
  g_hash_table_insert (p->objects, key, value);
  return lost ? ERR_STORE_OUTCOME_UNKNOWN : ERR_NONE;
}

static void
get (struct platform *p, const struct journal_action *a,
     struct object_store_answer *answer)
{
  char *key = str_dup_cstr (a->key);
  const char *value = g_hash_table_lookup (p->objects, key);

  answer->error = value != NULL ? ERR_NONE : ERR_NOT_FOUND;
  answer->value = str_from_cstr (value);
  answer->version = 1;
  g_free (key);
}

static void
list (struct platform *p, const struct journal_action *a, GArray *objects)
{
  GList *keys
      = g_list_sort (g_hash_table_get_keys (p->objects), (GCompareFunc)strcmp);

  for (GList *k = keys; k != NULL; k = k->next)
    {
      struct object_store_object o
          = { .key = str_from_cstr (k->data), .version = 1 };

      o.value = str_from_cstr (g_hash_table_lookup (p->objects, k->data));
      if (str_has_prefix (o.key, a->key) && str_compare (o.key, a->after) > 0)
        g_array_append_val (objects, o);
    }
  g_list_free (keys);
}

/* Performs the next action of the journal, if there is one.  */
static void
step (struct platform *p, struct journal *j, int64_t now_us)
{
  GArray *objects
      = g_array_new (FALSE, FALSE, sizeof (struct object_store_object));
  struct object_store_answer answer
      = { .value = STR_EMPTY, .next = STR_EMPTY };
  struct journal_action a;

  if (journal_next_action (j, now_us, &a))
    {
      apply_late (p);
      if (p->down)
        answer.error = ERR_STORE_UNAVAILABLE;
      else if (a.verb == JOURNAL_ACTION_PUT)
        answer.error = put (p, &a);
      else if (a.verb == JOURNAL_ACTION_GET)
        get (p, &a, &answer);
      else
        {
          list (p, &a, objects);
          answer.objects_len = objects->len;
          answer.objects = (const struct object_store_object *)objects->data;
        }
      journal_handle_answer (j, &answer, now_us);
    }
  g_array_unref (objects);
}

static enum journal_result
run (struct platform *p, struct journal *j, int64_t now_us)
{
  while (j->result == JOURNAL_RUNNING)
    {
      step (p, j, now_us);
      now_us += STEP_US;
    }
  return j->result;
}

static enum journal_result
load (struct platform *p, struct journal *j, uint64_t base)
{
  journal_load (j, base, DEADLINE_US);
  return run (p, j, 0);
}

static void
make_change (struct change *c, const char *service)
{
  union inventory_row row = { .service.name = str_from_cstr (service) };

  change_init (c);
  change_set_nonce (c);
  c->author = str_copy (STR_LIT ("test"));
  change_put (c, INVENTORY_SERVICE, &row, 1);
}

static enum journal_result
append (struct platform *p, struct journal *j, const char *service)
{
  struct change c;
  enum journal_result result;

  make_change (&c, service);
  journal_append (j, &c, DEADLINE_US);
  result = run (p, j, 0);
  change_close (&c);
  return result;
}

/* Guards against a change that is lost, applied twice or reported with a wrong
   result.  Two operators append changes at the same time while answers are
   lost and writes arrive late.  */
START_TEST (changes_apply_once_when_answers_are_lost)
{
  struct platform p;
  struct journal a, b, reader;
  struct change ca, cb;
  uint32_t accepted = 0;

  init_platform (&p);
  journal_init (&a);
  journal_init (&b);
  journal_init (&reader);
  for (int i = 0; i < ROUNDS; i++)
    {
      char *name_a = g_strdup_printf ("a%d", i);
      char *name_b = g_strdup_printf ("b%d", i);

      p.lose = 0;
      ck_assert_int_eq (load (&p, &a, JOURNAL_NEWEST), JOURNAL_LOADED);
      ck_assert_int_eq (load (&p, &b, JOURNAL_NEWEST), JOURNAL_LOADED);
      p.lose = 0.5;
      p.delay = 0.5;
      make_change (&ca, name_a);
      make_change (&cb, name_b);
      journal_append (&a, &ca, DEADLINE_US);
      journal_append (&b, &cb, DEADLINE_US);
      for (int64_t now = 0;
           a.result == JOURNAL_RUNNING || b.result == JOURNAL_RUNNING;
           now += STEP_US)
        step (&p, g_rand_boolean (p.rand) ? &a : &b, now);
      ck_assert_int_eq (a.result, JOURNAL_ACCEPTED);
      ck_assert_int_eq (b.result, JOURNAL_ACCEPTED);
      accepted += 2;
      change_close (&ca);
      change_close (&cb);
      g_free (name_a);
      g_free (name_b);
    }
  p.lose = 0;
  ck_assert_int_eq (load (&p, &reader, JOURNAL_NEWEST), JOURNAL_LOADED);
  ck_assert_uint_eq (reader.inv.revision, accepted);
  ck_assert_uint_eq (reader.inv.tables[INVENTORY_SERVICE].count, accepted);
  ck_assert_uint_gt (p.puts, accepted);
  journal_close (&a);
  journal_close (&b);
  journal_close (&reader);
  close_platform (&p);
}
END_TEST

/* Guards against an operator overwriting the edit that another one made at the
   same time.  */
START_TEST (conflict_names_members)
{
  struct platform p;
  struct journal a, b;
  struct change c;
  union inventory_row row;

  init_platform (&p);
  journal_init (&a);
  journal_init (&b);
  inventory_init_row (INVENTORY_RULE, &row);
  row.rule = (struct inventory_rule){ .name = STR_LIT ("r"),
                                      .workspace = STR_EMPTY,
                                      .route = STR_EMPTY };
  ck_assert_int_eq (load (&p, &a, JOURNAL_NEWEST), JOURNAL_LOADED);
  ck_assert_int_eq (load (&p, &b, JOURNAL_NEWEST), JOURNAL_LOADED);
  for (uint32_t i = 0; i < 2; i++)
    {
      change_init (&c);
      change_set_nonce (&c);
      row.rule.importance = 3 + i;
      change_put (&c, INVENTORY_RULE, &row,
                  change_get_all_fields (INVENTORY_RULE));
      journal_append (i == 0 ? &a : &b, &c, DEADLINE_US);
      ck_assert_int_eq (run (&p, i == 0 ? &a : &b, 0),
                        i == 0 ? JOURNAL_ACCEPTED : JOURNAL_CONFLICT);
      change_close (&c);
    }
  ck_assert_uint_eq (b.conflicts->len, 1);
  ck_assert_str_eq (
      g_array_index (b.conflicts, struct change_conflict, 0).field->name,
      "importance");
  ck_assert_uint_eq (b.inv.revision, 1);
  journal_close (&a);
  journal_close (&b);
  close_platform (&p);
}
END_TEST

/* Guards against reporting that a change did not take effect although its
   write may have succeeded.  */
START_TEST (lost_write_is_reported_as_unknown)
{
  struct platform p;
  struct journal j;
  struct change c;
  struct journal_action a;
  struct object_store_answer lost = { .error = ERR_STORE_OUTCOME_UNKNOWN };

  init_platform (&p);
  journal_init (&j);
  ck_assert_int_eq (load (&p, &j, JOURNAL_NEWEST), JOURNAL_LOADED);
  p.down = true;
  ck_assert_int_eq (append (&p, &j, "a"), JOURNAL_UNAVAILABLE);
  make_change (&c, "a");
  journal_append (&j, &c, DEADLINE_US);
  ck_assert (journal_next_action (&j, 0, &a));
  journal_handle_answer (&j, &lost, 0);
  ck_assert_int_eq (run (&p, &j, 0), JOURNAL_UNKNOWN);
  change_close (&c);
  ck_assert_int_eq (load (&p, &j, JOURNAL_NEWEST), JOURNAL_UNAVAILABLE);
  journal_close (&j);
  close_platform (&p);
}
END_TEST

/* Guards against a snapshot in several parts that differs from the inventory
   it was made from, and against applying changes twice on top of it.  Also
   guards against not reporting a base revision that is too old or an object
   that is corrupt.  */
START_TEST (snapshots_are_loaded)
{
  struct platform p;
  struct journal j, reader;
  struct change c;
  struct str_buf first = { 0 }, second = { 0 };

  init_platform (&p);
  journal_init (&j);
  journal_init (&reader);
  ck_assert_int_eq (load (&p, &j, JOURNAL_NEWEST), JOURNAL_LOADED);
  for (int batch = 0; batch < 3; batch++)
    {
      change_init (&c);
      change_set_nonce (&c);
      for (int i = 0; i < 6000; i++)
        {
          char *name = g_strdup_printf (
              "service-with-a-rather-long-name-%d-%d", batch, i);
          union inventory_row row = { .service.name = str_from_cstr (name) };
          struct change_op op = { .verb = CHANGE_PUT, .field_mask = 1 };

          inventory_copy_row (INVENTORY_SERVICE, &op.row, &row);
          g_array_append_val (c.ops, op);
          g_free (name);
        }
      journal_append (&j, &c, DEADLINE_US);
      ck_assert_int_eq (run (&p, &j, 0), JOURNAL_ACCEPTED);
      change_close (&c);
    }
  ck_assert (!journal_is_snapshot_due (&j));
  journal_write_snapshot (&j, DEADLINE_US);
  ck_assert_int_eq (run (&p, &j, 0), JOURNAL_SNAPSHOT_WRITTEN);
  ck_assert_uint_gt (j.parts_len, 1);
  ck_assert_int_eq (append (&p, &j, "last"), JOURNAL_ACCEPTED);
  ck_assert_int_eq (load (&p, &reader, JOURNAL_NEWEST), JOURNAL_LOADED);
  ck_assert_uint_eq (reader.snapshot_revision, 3);
  inventory_json_append (&first, &j.inv);
  inventory_json_append (&second, &reader.inv);
  ck_assert (str_equal (str_view (&first), str_view (&second)));
  ck_assert_int_eq (load (&p, &reader, 3), JOURNAL_LOADED);
  ck_assert_uint_eq (reader.base.revision, 3);
  ck_assert_int_eq (load (&p, &reader, 2), JOURNAL_TOO_OLD);
  g_hash_table_remove (p.objects, "changes/000000000004");
  g_hash_table_insert (p.objects, g_strdup ("changes/000000000004"),
                       g_strdup ("{\"revision\": 4}"));
  ck_assert_int_eq (load (&p, &reader, JOURNAL_NEWEST), JOURNAL_CORRUPT);
  ck_assert_ptr_nonnull (
      strstr (reader.problems.data, "changes/000000000004: line 1, column 1"));
  str_reset (&first);
  str_reset (&second);
  journal_close (&j);
  journal_close (&reader);
  close_platform (&p);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("journal");
  TCase *tc = tcase_create ("journal");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 120);
  tcase_add_test (tc, changes_apply_once_when_answers_are_lost);
  tcase_add_test (tc, conflict_names_members);
  tcase_add_test (tc, lost_write_is_reported_as_unknown);
  tcase_add_test (tc, snapshots_are_loaded);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
