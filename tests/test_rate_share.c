/* Tests of the rate_share module: the shares of a fleet's daemons add up to
   the rate.  */

#include "clock.h"
#include "rate_share.h"
#include "suite.h"

#define W STR_LIT ("w")
#define RATE 518u
#define BURST 518u
#define DAEMONS 16u
#define STEP_US 1000
/* The users allow in a window 110% of what rate and burst allow, plus 20
   requests.  */
#define WINDOW_S 5u
#define ALLOWED ((RATE * WINDOW_S + BURST) * 1.1 + 20)

/* Daemons that report to each other without loss or delay.  */
struct fleet_sim
{
  struct rate_share_set sets[DAEMONS];
  int64_t next_report_us[DAEMONS];
  uint32_t granted_in_ms[30000];
};

static void
configure (struct rate_share_set *s, uint32_t rate, uint32_t burst,
           int64_t now_us)
{
  rate_share_begin_update (s);
  rate_share_set_limit (s, W, rate, burst, now_us);
  rate_share_end_update (s);
}

static void
start_daemon (struct fleet_sim *f, uint32_t i, uint32_t members,
              int64_t now_us)
{
  rate_share_init (&f->sets[i]);
  rate_share_set_member_count (&f->sets[i], members);
  configure (&f->sets[i], RATE, BURST, now_us);
  f->next_report_us[i] = now_us + (int64_t)i * 60000;
}

static void
report_demand (struct fleet_sim *f, uint32_t from)
{
  rate_share_update_reported_demands (&f->sets[from]);
  for (uint32_t to = 0; to < DAEMONS; to++)
    {
      GArray *demands
          = g_array_new (FALSE, FALSE, sizeof (struct rate_share_demand));

      rate_share_clear_other_demands (&f->sets[to]);
      for (uint32_t other = 0; other < DAEMONS; other++)
        if (other != to)
          rate_share_append_demands (&f->sets[other], demands);
      for (guint i = 0; i < demands->len; i++)
        rate_share_add_other_demand (
            &f->sets[to],
            g_array_index (demands, struct rate_share_demand, i));
      g_array_unref (demands);
    }
}

static void
run_daemons (struct fleet_sim *f, int64_t now_us)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      bool early = rate_share_run (&f->sets[i], now_us)
                   && rate_share_is_report_due (&f->sets[i]);

      if (!early && now_us < f->next_report_us[i])
        continue;
      f->next_report_us[i] = now_us + CLOCK_US_PER_S;
      report_demand (f, i);
    }
}

static void
send_request (struct fleet_sim *f, uint32_t daemon, int64_t now_us)
{
  if (rate_share_take_token (&f->sets[daemon], W, now_us) == QUOTA_TAKEN)
    f->granted_in_ms[now_us / STEP_US]++;
}

static uint32_t
get_max_in_window (const struct fleet_sim *f, uint32_t ms)
{
  uint32_t sum = 0;
  uint32_t max_sum = 0;

  for (uint32_t at = 0; at < ms; at++)
    {
      sum += f->granted_in_ms[at];
      if (at >= WINDOW_S * 1000)
        sum -= f->granted_in_ms[at - WINDOW_S * 1000];
      max_sum = MAX (max_sum, sum);
    }
  return max_sum;
}

static struct fleet_sim *
start_fleet (void)
{
  struct fleet_sim *f = g_new0 (struct fleet_sim, 1);

  for (uint32_t i = 0; i < DAEMONS; i++)
    start_daemon (f, i, DAEMONS, 0);
  return f;
}

static void
close_fleet (struct fleet_sim *f)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    rate_share_close (&f->sets[i]);
  g_free (f);
}

/* Guards against shares that add up to more than the full rate when a
   workspace suddenly sends many times its rate to all daemons.  */
START_TEST (sudden_demand_stays_within_rate)
{
  struct fleet_sim *f = start_fleet ();

  for (int64_t now_us = 0; now_us < 20 * CLOCK_US_PER_S; now_us += STEP_US)
    {
      run_daemons (f, now_us);
      for (uint32_t i = 0; i < DAEMONS && now_us > 8 * CLOCK_US_PER_S; i++)
        if ((now_us / STEP_US + i) % 3 == 0)
          send_request (f, i, now_us);
    }
  ck_assert_uint_le (get_max_in_window (f, 20000), (uint32_t)ALLOWED);
  close_fleet (f);
}
END_TEST

/* Guards against daemons that start together and each use the full burst,
   because they do not know the size of the fleet yet.  */
START_TEST (simultaneous_restart_grants_no_second_burst)
{
  struct fleet_sim *f = start_fleet ();

  for (int64_t now_us = 0; now_us < 20 * CLOCK_US_PER_S; now_us += STEP_US)
    {
      if (now_us == 13 * CLOCK_US_PER_S)
        for (uint32_t i = 0; i < DAEMONS; i++)
          {
            rate_share_close (&f->sets[i]);
            start_daemon (f, i, 0, now_us);
          }
      run_daemons (f, now_us);
      for (uint32_t i = 0; i < DAEMONS; i++)
        if ((now_us / STEP_US + i) % 3 == 0)
          send_request (f, i, now_us);
    }
  ck_assert_uint_le (get_max_in_window (f, 20000), (uint32_t)ALLOWED);
  close_fleet (f);
}
END_TEST

/* Guards against an even split of the rate: a workspace whose callers are
   nearly all connected to one daemon has to be served up to its rate.  */
START_TEST (uneven_demand_within_rate_is_served)
{
  struct fleet_sim *f = start_fleet ();
  uint32_t granted = 0;
  uint32_t offered = 0;

  /* 250 per second at one daemon and about 16 at all daemons together.  */
  for (int64_t now_us = 0; now_us < 10 * CLOCK_US_PER_S; now_us += STEP_US)
    {
      run_daemons (f, now_us);
      if (now_us / STEP_US % 4 == 0)
        send_request (f, 0, now_us);
      if (now_us / STEP_US % 60 == 0)
        send_request (f, (uint32_t)(now_us / 60000 % DAEMONS), now_us);
      if (now_us < 5 * CLOCK_US_PER_S)
        continue;
      granted += f->granted_in_ms[now_us / STEP_US];
      offered += now_us / STEP_US % 4 == 0;
      offered += now_us / STEP_US % 60 == 0;
    }
  ck_assert_uint_ge (granted * 100, offered * 99);
  close_fleet (f);
}
END_TEST

/* Guards against a rate of 0 that rejects everything, and against a workspace
   that keeps its limit after it was removed from the configuration.  */
START_TEST (rate_of_zero_sets_no_limit)
{
  struct rate_share_set s;

  rate_share_init (&s);
  ck_assert_int_eq (rate_share_take_token (&s, W, 0), QUOTA_TAKEN);
  configure (&s, 1, 1, 0);
  ck_assert_int_eq (rate_share_take_token (&s, W, 0), QUOTA_EXCEEDED);
  configure (&s, 0, 0, 0);
  ck_assert_int_eq (rate_share_take_token (&s, W, 0), QUOTA_TAKEN);
  configure (&s, 1, 1, 0);
  rate_share_begin_update (&s);
  rate_share_end_update (&s);
  ck_assert_int_eq (rate_share_take_token (&s, W, 0), QUOTA_TAKEN);
  ck_assert_uint_eq (s.shares.count, 0);
  rate_share_close (&s);
}
END_TEST

/* Guards against a token lost with a request that did not run.  */
START_TEST (refunded_token_can_be_taken_again)
{
  struct rate_share_set s;
  int64_t now_us = 60 * CLOCK_US_PER_S;

  rate_share_init (&s);
  rate_share_set_member_count (&s, 1);
  configure (&s, 1, 1, 0);
  ck_assert_int_eq (rate_share_take_token (&s, W, now_us), QUOTA_TAKEN);
  ck_assert_int_eq (rate_share_take_token (&s, W, now_us), QUOTA_EXCEEDED);
  rate_share_refund_token (&s, W);
  ck_assert_int_eq (rate_share_take_token (&s, W, now_us), QUOTA_TAKEN);
  rate_share_close (&s);
}
END_TEST

static uint64_t
find_member_7 (void *data, uint64_t hash)
{
  return 7;
}

static uint64_t
find_none (void *data, uint64_t hash)
{
  return 0;
}

#define SMALL_RATE 26u

static struct fleet_sim *
start_small_fleet (void)
{
  struct fleet_sim *f = g_new0 (struct fleet_sim, 1);

  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      rate_share_init (&f->sets[i]);
      rate_share_set_member_count (&f->sets[i], DAEMONS);
      configure (&f->sets[i], SMALL_RATE, SMALL_RATE, 0);
    }
  return f;
}

/* Guards against the rejection of requests of a small workspace within its
   rate.  The requests arrive in clusters at any of the daemons, at two thirds
   of the rate.  With a split burst each daemon's share would be less than two
   tokens.  */
START_TEST (clustered_requests_of_small_workspace_are_served_from_pool)
{
  struct fleet_sim *f = start_small_fleet ();
  struct rate_share_set *owner = &f->sets[0];
  uint32_t granted = 0;
  uint32_t offered = 0;

  rate_share_set_owners (owner, find_member_7, NULL);
  ck_assert (rate_share_is_pooled (owner, W));
  for (int64_t now_us = CLOCK_US_PER_S; now_us < 31 * CLOCK_US_PER_S;
       now_us += 300000)
    {
      offered += 5;
      granted += rate_share_grant (owner, W, 5, 0, now_us);
    }
  ck_assert_uint_eq (granted, offered);
  close_fleet (f);
}
END_TEST

/* Guards against a pool that grants more than the users allow in a window.
   All tokens are requested as soon as they accrue, and those granted up to one
   validity before the window are spent in it.  */
START_TEST (pool_stays_within_rate)
{
  struct fleet_sim *f = start_small_fleet ();
  uint32_t allowed
      = (uint32_t)((SMALL_RATE * WINDOW_S + SMALL_RATE) * 1.1 + 20);
  uint32_t validity_ms = RATE_SHARE_GRANT_VALIDITY_US / 1000;
  uint32_t sum = 0;

  rate_share_set_owners (&f->sets[0], find_member_7, NULL);
  for (uint32_t ms = 0; ms < 20000; ms++)
    {
      f->granted_in_ms[ms]
          = rate_share_grant (&f->sets[0], W, 100, 0, (int64_t)ms * STEP_US);
      sum += f->granted_in_ms[ms];
      if (ms >= WINDOW_S * 1000 + validity_ms)
        sum -= f->granted_in_ms[ms - WINDOW_S * 1000 - validity_ms];
      ck_assert_uint_le (sum, allowed);
    }
  close_fleet (f);
}
END_TEST

/* Guards against a burst that is spent twice because the pool moved to another
   owner, and against a daemon that uses the full rate because it knows no
   owner.  */
START_TEST (new_owner_starts_empty_and_without_owner_the_split_is_even)
{
  struct fleet_sim *f = start_small_fleet ();
  struct rate_share_set *s = &f->sets[0];
  uint32_t taken = 0;
  int64_t now_us = 60 * CLOCK_US_PER_S;

  rate_share_set_owners (s, find_none, NULL);
  ck_assert (!rate_share_is_pooled (s, W));
  for (int64_t at_us = now_us; at_us < now_us + 5 * CLOCK_US_PER_S;
       at_us += STEP_US)
    taken += rate_share_take_token (s, W, at_us) == QUOTA_TAKEN;
  ck_assert_uint_le (taken, SMALL_RATE * (WINDOW_S + 1) / DAEMONS + 1);
  rate_share_set_owners (s, find_member_7, NULL);
  ck_assert_uint_eq (
      rate_share_grant (s, W, 10, 0, now_us + 5 * CLOCK_US_PER_S), 0);
  close_fleet (f);
}
END_TEST

/* Guards against needless reports to all daemons each half second: in a large
   fleet nearly all workspaces are pooled, and no share depends on the demand
   for a pool.  */
START_TEST (pooled_demand_is_not_reported_early)
{
  for (int pooled = 0; pooled <= 1; pooled++)
    {
      struct fleet_sim *f = start_small_fleet ();
      struct rate_share_set *s = &f->sets[0];
      int64_t now_us = CLOCK_US_PER_S;

      rate_share_set_owners (s, pooled ? find_member_7 : find_none, NULL);
      rate_share_run (s, now_us);
      for (int i = 0; i < 1000; i++)
        rate_share_take_token (s, W, now_us);
      ck_assert (rate_share_run (s, now_us + RATE_SHARE_INTERVAL_US));
      ck_assert_int_eq (rate_share_is_report_due (s), !pooled);
      close_fleet (f);
    }
}
END_TEST

/* Guards against state messages, which contain the demands, that grow with the
   number of workspaces.  88 demands sent to each of 91 daemons took the larger
   part of the bytes and of the control thread's time, although no share was
   computed from them.  */
START_TEST (pooled_demand_is_not_reported)
{
  static const struct
  {
    uint32_t burst;
    guint reported;
  } cases[] = { { DAEMONS * RATE_SHARE_SPLIT_MIN_TOKENS, 1 },
                { DAEMONS * RATE_SHARE_REPORT_MIN_TOKENS, 1 },
                { DAEMONS * RATE_SHARE_REPORT_MIN_TOKENS - 1, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *demands
          = g_array_new (FALSE, FALSE, sizeof (struct rate_share_demand));
      struct rate_share_set s;

      rate_share_init (&s);
      rate_share_set_member_count (&s, DAEMONS);
      configure (&s, RATE, cases[i].burst, 0);
      rate_share_run (&s, CLOCK_US_PER_S);
      for (int n = 0; n < 100; n++)
        rate_share_take_token (&s, W, CLOCK_US_PER_S);
      rate_share_run (&s, CLOCK_US_PER_S + RATE_SHARE_INTERVAL_US);
      rate_share_update_reported_demands (&s);
      rate_share_append_demands (&s, demands);
      ck_assert_uint_eq (demands->len, cases[i].reported);
      g_array_unref (demands);
      rate_share_close (&s);
    }
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    sudden_demand_stays_within_rate,
    simultaneous_restart_grants_no_second_burst,
    uneven_demand_within_rate_is_served,
    rate_of_zero_sets_no_limit,
    refunded_token_can_be_taken_again,
    clustered_requests_of_small_workspace_are_served_from_pool,
    pool_stays_within_rate,
    new_owner_starts_empty_and_without_owner_the_split_is_even,
    pooled_demand_is_not_reported_early,
    pooled_demand_is_not_reported,
  };

  return suite_run ("rate_share", cases, sizeof cases / sizeof *cases);
}
