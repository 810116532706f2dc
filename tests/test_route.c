/* Tests of the route module: path matching and endpoint selection.  Some cases
   disable a rule of least_loaded to show that the check detects the fault.  */

#include "route.h"
#include "success_rate.h"
#include "suite.h"

#define SEED 31
#define ROUNDS 10000
#define NOW_US 100000000

static const struct route_ops *
least_loaded (void)
{
  return route_find_ops (STR_LIT ("least_loaded"));
}

static const struct route_ops *
round_robin (void)
{
  return route_find_ops (STR_LIT ("round_robin"));
}

/* Guards against a request that is matched to the wrong route because of a
   partial segment, percent-encoded letters, or dot or empty segments.  */
START_TEST (decoded_path_matches_longest_prefix)
{
  static const struct
  {
    const char *method;
    const char *path;
    enum route_match match;
    uint64_t route;
  } cases[] = {
    { "GET", "/", ROUTE_MATCHED, 1 },
    { "GET", "/other?x=/booking", ROUTE_MATCHED, 1 },
    { "GET", "/booking", ROUTE_MATCHED, 2 },
    { "GET", "/booking/7/", ROUTE_MATCHED, 2 },
    { "POST", "/booking/7", ROUTE_MATCHED, 3 },
    { "GET", "/booking/admin", ROUTE_MATCHED, 4 },
    { "GET", "/%62ooking/%61dmin?x", ROUTE_MATCHED, 4 },
    { "GET", "/booking%2Fadmin/1", ROUTE_MATCHED, 4 },
    { "GET", "/bookings", ROUTE_MATCHED, 1 },
    { "DELETE", "/booking", ROUTE_NO_METHOD, 0 },
    { "BREW", "/", ROUTE_NO_METHOD, 0 },
    { "GET", "/x/../booking", ROUTE_BAD_PATH, 0 },
    { "GET", "/x/%2e%2E/booking", ROUTE_BAD_PATH, 0 },
    { "GET", "/x%2f..%2fbooking", ROUTE_BAD_PATH, 0 },
    { "GET", "/x/..", ROUTE_BAD_PATH, 0 },
    { "GET", "//booking", ROUTE_BAD_PATH, 0 },
    { "GET", "/x%5c..%5cbooking", ROUTE_BAD_PATH, 0 },
    { "GET", "/x%00", ROUTE_BAD_PATH, 0 },
    { "GET", "booking", ROUTE_BAD_PATH, 0 },
    { "GET", "", ROUTE_BAD_PATH, 0 },
  };
  struct route_map m;

  route_init_map (&m);
  route_add (&m, STR_LIT ("/"), ROUTE_GET, 1);
  route_add (&m, STR_LIT ("/booking/"), ROUTE_GET, 2);
  route_add (&m, STR_LIT ("/booking"), ROUTE_POST, 3);
  route_add (&m, STR_LIT ("/booking/admin"), ROUTE_GET, 4);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint64_t route = 0;

      ck_assert_int_eq (route_find (&m, str_from_cstr (cases[i].method),
                                    str_from_cstr (cases[i].path), &route),
                        cases[i].match);
      ck_assert_uint_eq (route, cases[i].route);
    }
  route_close_map (&m);
}
END_TEST

static struct route_pool
make_pool (uint64_t self, uint64_t members, uint32_t disabled_rules)
{
  struct route_pool p;

  route_init_pool (&p, self, 0, SEED);
  p.disabled_rules = disabled_rules;
  for (uint64_t m = 1; m <= members; m++)
    route_set_endpoint (&p, m, (uint32_t)(m % 3), 0);
  return p;
}

/* Returns the share of requests sent to member 1 of 4 while it is `slowness`
   times slower than the others.  Each step sends one request; the others take
   40 steps for a response on average.  */
static double
get_slow_endpoint_share (const struct route_ops *ops, uint32_t disabled_rules,
                         int slowness)
{
  struct route_pool p = make_pool (9, 4, disabled_rules | ROUTE_RULE_DOMAIN);
  uint32_t busy[5] = { 0 };
  GRand *rand = g_rand_new_with_seed (SEED);
  int first = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      uint64_t m = ops->choose (&p, NULL, 0, NOW_US);

      route_record_send (&p, m, NOW_US);
      busy[m]++;
      first += m == 1;
      for (uint64_t e = 1; e <= 4; e++)
        for (uint32_t n = busy[e]; n > 0; n--)
          if (g_rand_double (rand) < (e == 1 ? 1.0 / slowness : 1.0) / 40)
            route_record_response (&p, e, --busy[e], 100, SUCCESS_RATE_SCALE,
                                   NOW_US, NOW_US);
    }
  route_close_pool (&p);
  g_rand_free (rand);
  return (double)first / ROUNDS;
}

/* Guards against requests that accumulate at a slow endpoint.  */
START_TEST (slow_endpoint_gets_fewer_requests)
{
  ck_assert_double_lt (get_slow_endpoint_share (least_loaded (), 0, 8), 0.15);
  ck_assert_double_gt (
      get_slow_endpoint_share (least_loaded (), ROUTE_RULE_LOAD, 8), 0.2);
  ck_assert_double_gt (get_slow_endpoint_share (round_robin (), 0, 8), 0.2);
}
END_TEST

/* Guards against a choice that compares an endpoint with itself: of two
   endpoints, a full one would then still get a quarter of the requests.  */
START_TEST (full_endpoint_of_two_gets_no_request)
{
  struct route_pool p = make_pool (9, 2, ROUTE_RULE_DOMAIN);

  route_record_response (&p, 1, 500, 40, SUCCESS_RATE_SCALE, NOW_US, NOW_US);
  route_record_response (&p, 2, 30, 40, SUCCESS_RATE_SCALE, NOW_US, NOW_US);
  for (int i = 0; i < 100; i++)
    ck_assert_uint_eq (least_loaded ()->choose (&p, NULL, 0, NOW_US), 2);
  route_remove_endpoint (&p, 2);
  ck_assert_uint_eq (least_loaded ()->choose (&p, NULL, 0, NOW_US), 1);
  route_close_pool (&p);
}
END_TEST

/* Returns how many requests are sent to member 1 of 3 within two seconds after
   it stops responding.  One request arrives every 10 ms and is cancelled after
   700 ms.  The other members respond after 20 ms and also carry load from
   other daemons.  */
static int
count_sent_to_unresponsive (uint32_t disabled_rules)
{
  const int64_t step_us = 10000;
  const int64_t stopped_us = NOW_US + 1000000;
  struct route_pool p = make_pool (9, 3, disabled_rules | ROUTE_RULE_DOMAIN);
  uint64_t to[300];
  int count = 0;

  for (int i = 0; i < 300; i++)
    {
      int64_t now_us = NOW_US + i * step_us;
      int answered = i - 2;
      int cancelled = i - 70;

      if (answered >= 0
          && (to[answered] != 1 || NOW_US + answered * step_us < stopped_us))
        route_record_response (&p, to[answered], 30, 40, SUCCESS_RATE_SCALE,
                               NOW_US + answered * step_us, now_us);
      if (cancelled >= 0 && to[cancelled] == 1
          && NOW_US + cancelled * step_us >= stopped_us)
        route_record_cancel (&p, 1, NOW_US + cancelled * step_us, now_us);
      to[i] = least_loaded ()->choose (&p, NULL, 0, now_us);
      route_record_send (&p, to[i], now_us);
      count += to[i] == 1 && now_us >= stopped_us;
    }
  route_close_pool (&p);
  return count;
}

/* Guards against an endpoint that still gets its share of requests after its
   backend server hangs or the network path is cut.  Its last report shows it
   idle, and each front (a thread that sends requests to endpoints) has few
   outstanding requests there.  Of 200 requests it should get those of the
   first 150 ms and a few retries.  */
START_TEST (unresponsive_endpoint_is_avoided)
{
  ck_assert_int_le (count_sent_to_unresponsive (0), 20);
  ck_assert_int_ge (count_sent_to_unresponsive (ROUTE_RULE_UNRESPONSIVE), 60);
}
END_TEST

/* Guards against failing a request because every endpoint is unresponsive.  */
START_TEST (unresponsive_endpoints_are_used_as_last_resort)
{
  struct route_pool p = make_pool (9, 2, ROUTE_RULE_DOMAIN);

  for (uint64_t m = 1; m <= 2; m++)
    {
      route_record_send (&p, m, NOW_US);
      route_record_response (&p, m, 1, 40, SUCCESS_RATE_SCALE, NOW_US,
                             NOW_US + 1000);
      route_record_send (&p, m, NOW_US + 1000);
    }
  ck_assert_uint_ne (least_loaded ()->choose (&p, NULL, 0, NOW_US + 2000000),
                     0);
  route_close_pool (&p);
}
END_TEST

/* Returns how often member 1 of 3 is chosen in ROUNDS choices without
   responses.  */
static int
count_first_chosen (struct route_pool *p, int64_t now_us)
{
  int first = 0;

  for (int i = 0; i < ROUNDS; i++)
    first += least_loaded ()->choose (p, NULL, 0, now_us) == 1;
  return first;
}

/* Guards against requests to an endpoint that has just failed, against an
   endpoint that is never retried, and against failing a request because all
   endpoints are in backoff.  */
START_TEST (failed_endpoint_is_skipped_during_backoff)
{
  struct route_pool p = make_pool (9, 3, ROUTE_RULE_DOMAIN);
  const uint64_t tried[] = { 1, 2, 3 };

  route_record_send (&p, 1, NOW_US);
  route_record_failure (&p, 1, NOW_US);
  ck_assert_int_eq (count_first_chosen (&p, NOW_US), 0);
  ck_assert_int_gt (count_first_chosen (&p, NOW_US + 1000000), 0);
  route_record_send (&p, 1, NOW_US + 1000000);
  ck_assert_int_eq (count_first_chosen (&p, NOW_US + 1000000), 0);
  route_record_response (&p, 1, 0, 100, SUCCESS_RATE_SCALE, NOW_US,
                         NOW_US + 1000000);
  ck_assert_int_gt (count_first_chosen (&p, NOW_US + 1000000), 0);
  for (uint64_t m = 1; m <= 3; m++)
    route_record_failure (&p, m, NOW_US + (int64_t)m);
  ck_assert_int_eq (count_first_chosen (&p, NOW_US + 10), ROUNDS);
  ck_assert_uint_eq (least_loaded ()->choose (&p, tried, 3, NOW_US), 0);
  p.disabled_rules |= ROUTE_RULE_BACKOFF;
  ck_assert_int_lt (count_first_chosen (&p, NOW_US + 10), ROUNDS);
  route_close_pool (&p);
}
END_TEST

/* Guards against needless traffic between failure domains, and against a
   preference that overloads the daemon's own domain.  Member 3 is in the
   daemon's domain, 0.  */
START_TEST (same_domain_is_preferred_unless_busier)
{
  struct route_pool p = make_pool (9, 3, 0);

  for (int i = 0; i < 100; i++)
    ck_assert_uint_eq (least_loaded ()->choose (&p, NULL, 0, NOW_US), 3);
  p.disabled_rules = ROUTE_RULE_DOMAIN;
  ck_assert_int_gt (count_first_chosen (&p, NOW_US), 0);
  p.disabled_rules = 0;
  for (int i = 0; i < 50; i++)
    route_record_send (&p, 3, NOW_US);
  ck_assert_int_gt (count_first_chosen (&p, NOW_US), ROUNDS / 10);
  route_close_pool (&p);
}
END_TEST

/* Guards against traffic between failure domains while the daemon's own domain
   has capacity.  An endpoint there at 40% load should still get all requests,
   although endpoints in other domains are idle.  */
START_TEST (same_domain_is_used_while_lightly_loaded)
{
  struct route_pool p = make_pool (9, 3, 0);

  for (int i = 0; i < 40; i++)
    route_record_send (&p, 3, NOW_US);
  for (int i = 0; i < 100; i++)
    ck_assert_uint_eq (least_loaded ()->choose (&p, NULL, 0, NOW_US), 3);
  route_close_pool (&p);
}
END_TEST

/* Guards against sending a full share of requests to a backend server that has
   just started.  */
START_TEST (new_endpoint_gets_fewer_requests)
{
  struct route_pool p = make_pool (9, 3, ROUTE_RULE_DOMAIN);
  int cold, off;

  route_set_endpoint (&p, 1, 0, NOW_US - 500000);
  cold = count_first_chosen (&p, NOW_US);
  p.disabled_rules |= ROUTE_RULE_SLOW_START;
  off = count_first_chosen (&p, NOW_US);
  ck_assert_int_lt (cold, ROUNDS / 5);
  ck_assert_int_gt (off, ROUNDS / 5);
  route_close_pool (&p);
}
END_TEST

/* Guards against a daemon that opens a link to each of 2,000 endpoints of a
   large service: it chooses from a subset.  Also guards against a subset that
   changes when the daemon restarts, and against endpoints that are in the
   subsets of too few daemons.  */
START_TEST (subset_is_small_stable_and_evenly_spread)
{
  uint32_t used[201] = { 0 };
  uint32_t least = UINT32_MAX;

  for (uint64_t self = 1; self <= 500; self++)
    {
      struct route_pool p = make_pool (self, 200, 0);
      struct route_pool again = make_pool (self, 200, 0);

      least_loaded ()->choose (&p, NULL, 0, NOW_US);
      least_loaded ()->choose (&again, NULL, 0, NOW_US);
      ck_assert_uint_eq (p.subset_len, ROUTE_SUBSET_MAX);
      for (uint32_t i = 0; i < p.subset_len; i++)
        {
          const struct route_endpoint *e
              = table_get (&p.endpoints, p.subset[i]);

          ck_assert_uint_eq (p.subset[i], again.subset[i]);
          used[e->member]++;
        }
      route_close_pool (&p);
      route_close_pool (&again);
    }
  for (int m = 1; m <= 200; m++)
    least = MIN (least, used[m]);
  ck_assert_uint_ge (least, 25);
}
END_TEST

/* Guards against a response that brings back an endpoint that was removed, and
   against an outstanding count that drops below zero.  */
START_TEST (late_responses_are_ignored)
{
  struct route_pool p = make_pool (9, 2, 0);

  route_record_send (&p, 1, NOW_US);
  route_remove_endpoint (&p, 1);
  route_record_response (&p, 1, 1, 100, SUCCESS_RATE_SCALE, NOW_US, NOW_US);
  route_record_failure (&p, 1, NOW_US);
  route_record_cancel (&p, 1, NOW_US, NOW_US);
  route_record_cancel (&p, 2, NOW_US, NOW_US);
  for (int i = 0; i < 100; i++)
    ck_assert_uint_eq (least_loaded ()->choose (&p, NULL, 0, NOW_US), 2);
  ck_assert_uint_eq (round_robin ()->choose (&p, NULL, 0, NOW_US), 2);
  route_remove_endpoint (&p, 2);
  ck_assert_uint_eq (least_loaded ()->choose (&p, NULL, 0, NOW_US), 0);
  ck_assert_uint_eq (round_robin ()->choose (&p, NULL, 0, NOW_US), 0);
  route_close_pool (&p);
}
END_TEST

#define FAULTY_MEMBER 1
#define SERVERS 4
#define CALLS_OF_REQUEST 8
#define REQUEST_INTERVAL_US 20000

/* Plays requests that make eight calls in turn from one pool.  Until
   fault_end_us, three in five calls to one of four backend servers fail.
   Returns the share of the requests of which no call failed, and sets `share`
   to the faulty server's part of the calls.  */
static double
play_faulty_endpoint (struct route_pool *p, int64_t from_us, int64_t to_us,
                      int64_t fault_end_us, double *share)
{
  struct success_rate rates[SERVERS + 1] = { 0 };
  uint32_t requests = 0, whole = 0, calls = 0, faulty = 0;
  GRand *rand = g_rand_new_with_seed (1);

  for (int64_t now_us = from_us; now_us < to_us; now_us += REQUEST_INTERVAL_US)
    {
      bool failed = false;

      for (int i = 0; i < CALLS_OF_REQUEST && !failed; i++)
        {
          uint64_t m = least_loaded ()->choose (p, NULL, 0, now_us);

          failed = m == FAULTY_MEMBER && now_us < fault_end_us
                   && g_rand_double (rand) < 0.6;
          success_rate_record (&rates[m], failed, now_us);
          route_record_send (p, m, now_us);
          route_record_response (p, m, 1, 50,
                                 success_rate_get_permille (&rates[m], now_us),
                                 now_us, now_us);
          calls++;
          faulty += m == FAULTY_MEMBER;
        }
      requests++;
      whole += !failed;
    }
  g_rand_free (rand);
  *share = (double)faulty / calls;
  return (double)whole / requests;
}

/* Guards against a backend server that loses its answers and gets a full share
   of the calls since it never looks busy: on a day of the further deployment
   one request in three ended because one of its calls went there.  At least
   four in five have to end whole, fewer than half do without the rule.  When
   the fault has ended, the server must be used again.  */
START_TEST (endpoint_that_fails_more_than_others_is_avoided)
{
  struct route_pool p = make_pool (9, SERVERS, ROUTE_RULE_DOMAIN);
  struct route_pool without
      = make_pool (9, SERVERS, ROUTE_RULE_DOMAIN | ROUTE_RULE_SUCCESS);
  int64_t fault_end_us = NOW_US + 4000000;
  double share;

  ck_assert_double_ge (
      play_faulty_endpoint (&p, NOW_US, fault_end_us, fault_end_us, &share),
      0.8);
  ck_assert_double_lt (play_faulty_endpoint (&without, NOW_US, fault_end_us,
                                             fault_end_us, &share),
                       0.5);
  play_faulty_endpoint (&p, fault_end_us + 1000000, fault_end_us + 3000000,
                        fault_end_us, &share);
  ck_assert_double_ge (share, 0.15);
  route_close_pool (&p);
  route_close_pool (&without);
}
END_TEST

/* Guards against a service of which only some backend servers are used because
   all fail alike, and against requests that find no endpoint.  */
START_TEST (endpoints_that_fail_alike_are_all_used)
{
  struct route_pool p = make_pool (9, 3, ROUTE_RULE_DOMAIN);
  uint32_t used[4] = { 0 };

  for (uint64_t m = 1; m <= 3; m++)
    route_record_response (&p, m, 1, 50, 400 + 10 * (uint32_t)m, NOW_US,
                           NOW_US);
  for (int i = 0; i < 300; i++)
    used[least_loaded ()->choose (&p, NULL, 0, NOW_US)]++;
  for (int m = 1; m <= 3; m++)
    ck_assert_uint_ge (used[m], 30);
  route_close_pool (&p);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { decoded_path_matches_longest_prefix,
          slow_endpoint_gets_fewer_requests,
          failed_endpoint_is_skipped_during_backoff,
          same_domain_is_preferred_unless_busier,
          same_domain_is_used_while_lightly_loaded,
          new_endpoint_gets_fewer_requests,
          subset_is_small_stable_and_evenly_spread,
          late_responses_are_ignored,
          full_endpoint_of_two_gets_no_request,
          unresponsive_endpoint_is_avoided,
          endpoint_that_fails_more_than_others_is_avoided,
          endpoints_that_fail_alike_are_all_used,
          unresponsive_endpoints_are_used_as_last_resort };

  return suite_run ("route", cases, G_N_ELEMENTS (cases));
}
