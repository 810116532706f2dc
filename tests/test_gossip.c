/* Tests of gossip: dissemination of changes compared with a broadcast to all
   daemons, pulls of missing changes, byte budget.  */

#include "fleet_sim.h"

#include <check.h>
#include <stdio.h>

#define SEED 77

/* Checks that every daemon has every change, as after a broadcast to all.  */
static void
check_all_hold (const struct fleet_sim *f)
{
  for (uint32_t i = 0; i < f->len; i++)
    {
      ck_assert_uint_eq (f->nodes[i].gossip.revision, f->platform->len);
      for (uint64_t r = 1; r <= f->platform->len; r++)
        ck_assert (
            str_equal (gossip_get_change (&f->nodes[i].gossip, r),
                       *(struct str *)g_ptr_array_index (f->platform, r - 1)));
    }
}

/* Guards against changes that some daemon loses, alters or applies in another
   order while 5% of the datagrams are lost, against a revision that decreases,
   and against a change that arrives late.  */
START_TEST (matches_full_broadcast)
{
  struct fleet_sim f;
  uint64_t applied[300] = { 0 };

  fleet_sim_init (&f, 300, 0, 30, 0.05, SEED);
  fleet_sim_run (&f, 3000);
  for (uint32_t k = 0; k < 40; k++)
    {
      uint64_t revision = fleet_sim_publish_change (
          &f, 20 + (size_t)g_rand_int_range (f.rand, 0, 500));

      for (int ms = 0; ms < (int)(k % 4) * 1000; ms++)
        {
          fleet_sim_step (&f);
          for (uint32_t i = 0; i < f.len; i++)
            {
              ck_assert_uint_ge (f.nodes[i].fresh.applied, applied[i]);
              applied[i] = f.nodes[i].fresh.applied;
            }
        }
      if (k % 4 == 3)
        ck_assert_uint_eq (fleet_sim_count_applied (&f, revision), f.len);
    }
  fleet_sim_run (&f, 4000);
  check_all_hold (&f);
  fleet_sim_close (&f);
}
END_TEST

/* Guards against changes that never arrive, because they do not fit into a
   datagram or because a daemon missed more of them than an answer carries.  */
START_TEST (gaps_are_pulled)
{
  struct fleet_sim f;

  fleet_sim_init (&f, 120, 0, 12, 0.02, SEED);
  fleet_sim_run (&f, 2000);
  fleet_sim_publish_change (&f, 50000);
  fleet_sim_run (&f, 12000);
  check_all_hold (&f);
  fleet_sim_pause (&f, 100);
  for (int k = 0; k < 60; k++)
    {
      fleet_sim_publish_change (&f, 300);
      fleet_sim_run (&f, 500);
    }
  fleet_sim_resume (&f, 100);
  fleet_sim_run (&f, 10000);
  check_all_hold (&f);
  ck_assert_uint_gt (f.messages[WIRE_PULL_CHANGES], 0);
  fleet_sim_close (&f);
}
END_TEST

/* Guards against a revision that decreases, against a revision that counts a
   missing change as received, and against a peer's revision that makes the
   answer to a pull read outside the kept changes.  */
START_TEST (revision_never_falls)
{
  struct fleet_sim f;
  struct gossip *g;
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (struct gossip_change));

  fleet_sim_init (&f, 2, 0, 2, 0, SEED);
  g = &f.nodes[0].gossip;
  gossip_set_revision (g, 10);
  gossip_set_revision (g, 9);
  gossip_add_change (g, 5, STR_LIT ("old"));
  gossip_add_change (g, 12, STR_LIT ("b"));
  ck_assert_uint_eq (g->revision, 10);
  gossip_add_change (g, 11, STR_LIT ("a"));
  ck_assert_uint_eq (g->revision, 12);
  gossip_add_change (g, UINT64_MAX, STR_LIT ("far"));
  ck_assert_uint_eq (g->revision, 12);
  ck_assert (gossip_answer_pull (g, 10, changes));
  ck_assert_uint_eq (changes->len, 2);
  ck_assert (!gossip_answer_pull (g, 3, changes));
  ck_assert (gossip_answer_pull (g, UINT64_MAX, changes));
  ck_assert_uint_eq (changes->len, 2);
  g_array_unref (changes);
  fleet_sim_close (&f);
}
END_TEST

/* Guards against member entries that exceed their byte rate when a rack or a
   failure domain fails.  The test sends 100 changed rows in probes for
   60 s.  */
START_TEST (entries_stay_within_the_byte_rate)
{
  struct fleet_sim f;
  struct gossip *g;
  uint64_t bytes = 0, entries = 0;
  void *row;

  fleet_sim_init (&f, 200, 0, 20, 0, SEED);
  g = &f.nodes[0].gossip;
  for (uint32_t i = 1; i <= 100; i++)
    g_array_append_val (
        f.nodes[0].members.changed,
        member_find (&f.nodes[0].members, fleet_sim_get_id (i))->row);
  for (int ms = 0; ms < 60000; ms += FLEET_SIM_TICK_MS)
    {
      f.now_us += (int64_t)FLEET_SIM_TICK_MS * CLOCK_US_PER_MS;
      member_expire_probes (&f.nodes[0].members, f.now_us);
      member_send_probes (&f.nodes[0].members, f.now_us);
      gossip_collect_deltas (g, f.now_us);
      gossip_send_probes (g, f.now_us);
      for (uint64_t id = table_next (&g->out, 0, &row); id != 0;
           id = table_next (&g->out, id, &row))
        {
          struct gossip_datagram *d = row;

          ck_assert_uint_le (gossip_datagram_bytes (d), GOSSIP_DATAGRAM_BYTES);
          entries += d->entries_len;
          for (uint32_t i = 0; i < d->entries_len; i++)
            bytes += member_entry_bytes (&d->entries[i]);
          table_remove (&g->out, id);
        }
    }
  ck_assert_uint_gt (entries, 100);
  ck_assert_uint_le (bytes, GOSSIP_ENTRY_BURST + 60 * GOSSIP_ENTRY_RATE);
  fleet_sim_close (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gossip");
  TCase *tc = tcase_create ("gossip");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 240);
  tcase_add_test (tc, matches_full_broadcast);
  tcase_add_test (tc, gaps_are_pulled);
  tcase_add_test (tc, revision_never_falls);
  tcase_add_test (tc, entries_stay_within_the_byte_rate);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
