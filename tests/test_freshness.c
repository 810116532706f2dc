/* Tests of the freshness module: when keyed routes (routes that require an API
   key) may be served.  A watcher is a daemon that reads the platform for its
   failure domain.  The bound is the age from which evidence no longer
   counts.  */

#include "fleet_sim.h"

#include <check.h>

#define SEED 5
#define BOUND_US ((int64_t)FRESHNESS_BOUND_MS * CLOCK_US_PER_MS)

/* Guards against dropping reads that would count later.  The result is
   compared with that of a list of all reads while revisions come into effect
   late.  */
START_TEST (matches_list_of_all_reads)
{
  struct freshness f;
  GRand *rand = g_rand_new_with_seed (SEED);
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct freshness_read));
  uint64_t revision = 1, applied = 0;
  int64_t now = FLEET_SIM_START_US;
  uint32_t current = 0;

  freshness_init (&f, BOUND_US, NULL, 0);
  for (int i = 0; i < 20000; i++)
    {
      bool expected = false;

      now += g_rand_int_range (rand, 0, 400000);
      if (g_rand_int_range (rand, 0, 15) == 0)
        {
          struct freshness_read read
              = { revision, now - g_rand_int_range (rand, 0, 2000000) };

          g_array_append_val (all, read);
          freshness_record_read (&f, read.revision, read.read_us);
        }
      if (g_rand_int_range (rand, 0, 5) == 0)
        revision++;
      if (g_rand_int_range (rand, 0, 3) == 0)
        applied = MIN (applied + 2, revision);
      freshness_set_applied (&f, applied);
      for (guint k = 0; k < all->len; k++)
        {
          struct freshness_read read
              = g_array_index (all, struct freshness_read, k);

          expected
              |= read.revision <= applied && now - read.read_us < BOUND_US;
        }
      if (all->len > 100)
        g_array_remove_range (all, 0, all->len - 100);
      ck_assert_int_eq (freshness_is_current (&f, now), expected);
      current += expected;
    }
  ck_assert (current > 1000 && current < 19000);
  g_array_unref (all);
  g_rand_free (rand);
}
END_TEST

/* Guards against serving keyed routes because of outage reports while one
   failure domain has sent none, while a higher revision is known, or while the
   list of failure domains is empty.  */
START_TEST (every_domain_must_report_outage)
{
  struct freshness f;
  const uint32_t domains[] = { 11, 12, 13 };
  int64_t now = FLEET_SIM_START_US;

  freshness_init (&f, BOUND_US, NULL, 0);
  ck_assert (!freshness_is_current (&f, now));
  freshness_init (&f, BOUND_US, domains, 3);
  freshness_set_applied (&f, 4);
  freshness_record_unreachable (&f, 11, now);
  freshness_record_unreachable (&f, 12, now);
  freshness_record_unreachable (&f, 14, now);
  ck_assert (!freshness_is_current (&f, now));
  freshness_record_unreachable (&f, 13, now - 1000);
  ck_assert (freshness_is_current (&f, now));
  ck_assert (!freshness_is_current (&f, now - 1000 + BOUND_US));
  freshness_record_revision (&f, 5);
  ck_assert (!freshness_is_current (&f, now));
  freshness_set_applied (&f, 5);
  ck_assert (freshness_is_current (&f, now));
}
END_TEST

/* Guards against an expiry computed from a read whose revision is not in
   effect: if the control thread were late, the traffic threads would continue
   with old keys.  */
START_TEST (expiry_needs_the_revision_in_effect)
{
  struct freshness f;
  int64_t now = FLEET_SIM_START_US;

  freshness_init (&f, BOUND_US, NULL, 0);
  ck_assert_int_eq (freshness_get_expiry (&f), INT64_MIN);
  freshness_set_applied (&f, 4);
  freshness_record_read (&f, 4, now - 3000000);
  freshness_record_read (&f, 5, now);
  ck_assert (freshness_is_current (&f, now));
  ck_assert_int_eq (freshness_get_expiry (&f), now - 3000000 + BOUND_US);
  freshness_set_applied (&f, 5);
  ck_assert_int_eq (freshness_get_expiry (&f), now + BOUND_US);
}
END_TEST

/* Guards against a daemon that accepts keys which were revoked while it was
   paused, because evidence that waited in its socket looks recent.  */
START_TEST (paused_daemon_fails_closed)
{
  for (uint32_t seed = 0; seed < 10; seed++)
    {
      struct fleet_sim f;
      uint64_t revoked;
      uint32_t i = 13 + seed;

      fleet_sim_init (&f, 60, 0, 12, 0.01, SEED + seed);
      fleet_sim_run (&f, 5000);
      ck_assert (freshness_is_current (&f.nodes[i].fresh, f.now_us));
      fleet_sim_pause (&f, i);
      fleet_sim_run (&f, 100);
      revoked = fleet_sim_publish_change (&f, 100);
      fleet_sim_run (&f, FRESHNESS_BOUND_MS + 1000 * (int64_t)seed);
      /* The daemon handles the waiting datagrams before it receives new
         ones.  */
      fleet_sim_resume (&f, i);
      ck_assert (f.nodes[i].fresh.applied >= revoked
                 || !freshness_is_current (&f.nodes[i].fresh, f.now_us));
      for (int ms = 0; ms < 5000; ms++)
        {
          fleet_sim_step (&f);
          ck_assert (f.nodes[i].fresh.applied >= revoked
                     || !freshness_is_current (&f.nodes[i].fresh, f.now_us));
        }
      ck_assert (freshness_is_current (&f.nodes[i].fresh, f.now_us));
      fleet_sim_close (&f);
    }
}
END_TEST

/* Guards against a failure domain that is cut off and continues to serve keyed
   routes with old keys, and against the other domains rejecting them because
   of it.  */
START_TEST (cut_off_domain_fails_closed)
{
  struct fleet_sim f;
  uint64_t revoked;

  fleet_sim_init (&f, 120, 0, 12, 0.01, SEED);
  fleet_sim_run (&f, 5000);
  ck_assert_uint_eq (fleet_sim_count_current (&f), 120);
  for (uint32_t d = 0; d < FLEET_SIM_DOMAINS; d++)
    f.cut[d][3] = f.cut[3][d] = d != 3;
  f.platform_cut[3] = true;
  revoked = fleet_sim_publish_change (&f, 100);
  fleet_sim_run (&f, FRESHNESS_BOUND_MS);
  for (int ms = 0; ms < 20000; ms++)
    {
      fleet_sim_step (&f);
      if (ms % 50 == 0)
        ck_assert_uint_eq (fleet_sim_count_current (&f), 100);
    }
  ck_assert_uint_eq (fleet_sim_count_applied (&f, revoked), 100);
  memset (f.cut, 0, sizeof f.cut);
  f.platform_cut[3] = false;
  fleet_sim_run (&f, 6000);
  ck_assert_uint_eq (fleet_sim_count_current (&f), 120);
  fleet_sim_close (&f);
}
END_TEST

/* Guards against serving keyed routes while one failure domain cannot be
   reached but still reaches the platform, where keys may be revoked.  */
START_TEST (unreachable_domain_may_reach_the_platform)
{
  struct fleet_sim f;

  fleet_sim_init (&f, 120, 0, 12, 0.01, SEED);
  fleet_sim_run (&f, 5000);
  for (uint32_t d = 0; d < FLEET_SIM_DOMAINS; d++)
    {
      f.cut[d][3] = f.cut[3][d] = d != 3;
      f.platform_cut[d] = d != 3;
    }
  fleet_sim_run (&f, FRESHNESS_BOUND_MS);
  fleet_sim_publish_change (&f, 100);
  for (int ms = 0; ms < 20000; ms++)
    {
      fleet_sim_step (&f);
      if (ms % 50 == 0)
        ck_assert_uint_eq (fleet_sim_count_current (&f), 20);
    }
  fleet_sim_close (&f);
}
END_TEST

/* Guards against rejecting keyed requests in an outage of the platform, and
   against a daemon that is restarted during the outage and serves keyed routes
   before it has the revision of the fleet.  */
START_TEST (restart_during_an_outage)
{
  struct fleet_sim f;
  uint64_t revision = 0;
  uint32_t rejecting = 0;
  struct fleet_sim_node *n;

  fleet_sim_init (&f, 120, 0, 12, 0.01, SEED);
  fleet_sim_run (&f, 3000);
  for (int k = 0; k < 30; k++)
    revision = fleet_sim_publish_change (&f, 200);
  fleet_sim_run (&f, 5000);
  f.platform_down = true;
  fleet_sim_run (&f, 4000);
  for (int s = 0; s < 200; s++)
    {
      fleet_sim_run (&f, 100);
      rejecting += 120 - fleet_sim_count_current (&f);
    }
  /* The oldest of six domains' outage reports is older than a single read
     would be.  With 1% packet loss it sometimes exceeds the bound, so one of
     1,000 checks of a daemon may fail.  */
  ck_assert_uint_le (rejecting, 120 * 200 / 1000);
  fleet_sim_stop_node (&f, 77);
  fleet_sim_run (&f, 2000);
  fleet_sim_start_node (&f, 77, 2);
  n = &f.nodes[77];
  for (int ms = 0; ms < 15000; ms++)
    {
      fleet_sim_step (&f);
      if (freshness_is_current (&n->fresh, f.now_us))
        ck_assert_uint_eq (n->fresh.applied, revision);
    }
  ck_assert (freshness_is_current (&n->fresh, f.now_us));
  fleet_sim_close (&f);
}
END_TEST

/* Guards against rejecting keyed requests in an outage that all watchers see.
   With random probes alone, a daemon would sometimes get no outage report of
   one failure domain for longer than the bound.  */
START_TEST (full_outage_rejects_no_keyed_requests)
{
  for (uint32_t seed = SEED; seed < SEED + 5; seed++)
    {
      struct fleet_sim f;
      uint32_t rejecting = 0;

      fleet_sim_init (&f, 120, 0, 12, 0.01, seed);
      fleet_sim_run (&f, 8000);
      f.platform_down = true;
      fleet_sim_run (&f, 4000);
      for (int s = 0; s < 200; s++)
        {
          fleet_sim_run (&f, 100);
          rejecting += 120 - fleet_sim_count_current (&f);
        }
      ck_assert_uint_eq (rejecting, 0);
      fleet_sim_close (&f);
    }
}
END_TEST

/* Guards against a daemon that serves keyed routes although a change that was
   accepted longer ago than the bound is not in effect there.  Packet loss,
   pauses and network partitions are random; the platform stays up.  */
START_TEST (bound_holds_under_random_faults)
{
  struct fleet_sim f;
  int64_t accepted[1000] = { 0 };
  uint64_t served = 0;

  fleet_sim_init (&f, 60, 0, 12, 0.2, SEED);
  for (int ms = 0; ms < 120000; ms++)
    {
      uint32_t i = (uint32_t)g_rand_int_range (f.rand, 0, 60);
      uint32_t a = (uint32_t)g_rand_int_range (f.rand, 0, FLEET_SIM_DOMAINS);
      uint32_t b = (uint32_t)g_rand_int_range (f.rand, 0, FLEET_SIM_DOMAINS);

      fleet_sim_step (&f);
      if (ms % 400 == 0 && f.platform->len < 999)
        accepted[fleet_sim_publish_change (&f, 50)] = f.now_us;
      if (ms % 300 == 0)
        f.nodes[i].paused ? fleet_sim_resume (&f, i) : fleet_sim_pause (&f, i);
      if (ms % 1500 == 0)
        f.cut[a][b] = !f.cut[a][b];
      if (ms % 2000 == 0)
        f.platform_cut[a] = !f.platform_cut[a];
      for (i = 0; i < f.len; i++)
        {
          uint64_t next = f.nodes[i].fresh.applied + 1;

          if (f.nodes[i].paused
              || !freshness_is_current (&f.nodes[i].fresh, f.now_us))
            continue;
          served++;
          ck_assert (next > f.platform->len
                     || f.now_us - accepted[next] < BOUND_US);
        }
    }
  ck_assert_uint_gt (served, 100000);
  fleet_sim_close (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("freshness");
  TCase *tc = tcase_create ("freshness");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 240);
  tcase_add_test (tc, matches_list_of_all_reads);
  tcase_add_test (tc, every_domain_must_report_outage);
  tcase_add_test (tc, expiry_needs_the_revision_in_effect);
  tcase_add_test (tc, paused_daemon_fails_closed);
  tcase_add_test (tc, cut_off_domain_fails_closed);
  tcase_add_test (tc, unreachable_domain_may_reach_the_platform);
  tcase_add_test (tc, restart_during_an_outage);
  tcase_add_test (tc, bound_holds_under_random_faults);
  tcase_add_test (tc, full_outage_rejects_no_keyed_requests);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
