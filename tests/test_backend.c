/* Tests of the backend module: reports that are late, repeated or from another
   boot (start of the backend server).  */

#include "backend.h"
#include "suite.h"

#define SECOND_US 1000000

static struct backend_report
make_report (const char *id, int64_t boot_ms, uint64_t sequence,
             enum backend_state state)
{
  return (struct backend_report){ .id = str_from_cstr (id),
                                  .service = STR_LIT ("s"),
                                  .address = STR_LIT ("10.0.0.1"),
                                  .port = 80,
                                  .slots = 10,
                                  .state = state,
                                  .boot_ms = boot_ms,
                                  .sequence = sequence };
}

static enum backend_change
apply (struct backend_record *b, const char *id, int64_t boot_ms,
       uint64_t sequence, enum backend_state state, int64_t now_us)
{
  struct backend_report r = make_report (id, boot_ms, sequence, state);

  return backend_apply (b, &r, now_us);
}

/* Initializes a record that knows all stops of earlier processes: none.  */
static void
init (struct backend_record *b)
{
  struct backend_stops none = { 0 };
  struct backend_report r;

  backend_init (b);
  ck_assert_int_eq (backend_load_stops (b, &none, &r, 0), BACKEND_CHANGE_NONE);
}

/* Guards against a late report that makes a draining backend server receive
   requests again.  */
START_TEST (drain_lasts_until_the_next_boot)
{
  struct backend_record b;

  init (&b);
  ck_assert_int_eq (apply (&b, "a", 100, 1, BACKEND_SERVING, 0),
                    BACKEND_CHANGE_ANNOUNCED);
  ck_assert_int_eq (apply (&b, "a", 100, 2, BACKEND_SERVING, SECOND_US),
                    BACKEND_CHANGE_NONE);
  ck_assert_int_eq (apply (&b, "a", 100, 4, BACKEND_DRAINING, 2 * SECOND_US),
                    BACKEND_CHANGE_DRAINED);
  ck_assert_int_eq (apply (&b, "a", 100, 3, BACKEND_SERVING, 2 * SECOND_US),
                    BACKEND_CHANGE_STALE);
  ck_assert_int_eq (apply (&b, "a", 100, 5, BACKEND_SERVING, 3 * SECOND_US),
                    BACKEND_CHANGE_NONE);
  ck_assert_int_eq (b.state, BACKEND_DRAINING);
  ck_assert_int_eq (apply (&b, "b", 200, 1, BACKEND_SERVING, 4 * SECOND_US),
                    BACKEND_CHANGE_ANNOUNCED);
  backend_close (&b);
}
END_TEST

/* Guards against a report of an earlier boot, delayed by a network partition,
   that replaces the state of the current boot.  */
START_TEST (report_of_earlier_boot_is_ignored)
{
  struct backend_record b;

  init (&b);
  apply (&b, "b", 200, 1, BACKEND_SERVING, 0);
  ck_assert_int_eq (apply (&b, "a", 100, 9, BACKEND_SERVING, SECOND_US),
                    BACKEND_CHANGE_STALE);
  ck_assert_int_eq (apply (&b, "a", 100, 10, BACKEND_LEFT, SECOND_US),
                    BACKEND_CHANGE_STALE);
  ck_assert_int_eq (b.state, BACKEND_SERVING);
  backend_close (&b);
}
END_TEST

/* Guards against a backend server whose reports are always ignored because the
   wall clock was set back before it started.  */
START_TEST (older_boot_time_is_accepted_after_report_timeout)
{
  struct backend_record b;

  init (&b);
  apply (&b, "b", 200, 1, BACKEND_SERVING, 0);
  ck_assert_int_eq (apply (&b, "c", 150, 1, BACKEND_SERVING, SECOND_US),
                    BACKEND_CHANGE_STALE);
  ck_assert_int_eq (
      apply (&b, "c", 150, 2, BACKEND_SERVING, BACKEND_REPORT_TIMEOUT_US),
      BACKEND_CHANGE_ANNOUNCED);
  backend_close (&b);
}
END_TEST

/* Guards against a late report that announces a backend server again after it
   left, and against ignoring a restart under the same id.  */
START_TEST (left_boot_stays_left_but_its_id_may_restart)
{
  struct backend_record b;

  init (&b);
  apply (&b, "a", 100, 1, BACKEND_SERVING, 0);
  ck_assert_int_eq (apply (&b, "a", 100, 0, BACKEND_LEFT, SECOND_US),
                    BACKEND_CHANGE_LEFT);
  ck_assert_int_eq (apply (&b, "a", 100, 0, BACKEND_LEFT, SECOND_US),
                    BACKEND_CHANGE_NONE);
  ck_assert_int_eq (apply (&b, "a", 100, 2, BACKEND_SERVING, SECOND_US),
                    BACKEND_CHANGE_STALE);
  ck_assert_int_eq (apply (&b, "a", 300, 1, BACKEND_SERVING, 2 * SECOND_US),
                    BACKEND_CHANGE_ANNOUNCED);
  backend_close (&b);
}
END_TEST

/* Guards against a new process of the daemon that takes a late report of a boot
   that has left for one of a boot that serves, and against one that does not
   use the next boot, whose report arrived before the stops were known.  */
START_TEST (stops_of_earlier_processes_are_awaited)
{
  struct backend_stops stops = { 0 };
  struct backend_record b;
  struct backend_report r;

  backend_stops_add (&stops, STR_LIT ("a"), 100);
  backend_init (&b);
  ck_assert_int_eq (apply (&b, "a", 100, 7, BACKEND_SERVING, 0),
                    BACKEND_CHANGE_HELD);
  ck_assert_int_eq (backend_load_stops (&b, &stops, &r, 0),
                    BACKEND_CHANGE_STALE);
  backend_free_report (&r);
  ck_assert_int_eq (b.state, BACKEND_UNKNOWN);
  backend_close (&b);

  backend_init (&b);
  apply (&b, "b", 200, 1, BACKEND_SERVING, 0);
  ck_assert_int_eq (apply (&b, "a", 100, 8, BACKEND_SERVING, 0),
                    BACKEND_CHANGE_STALE);
  ck_assert_int_eq (backend_load_stops (&b, &stops, &r, 0),
                    BACKEND_CHANGE_ANNOUNCED);
  ck_assert (str_equal (r.id, STR_LIT ("b")));
  ck_assert (str_equal (r.address, STR_LIT ("10.0.0.1")));
  backend_free_report (&r);
  ck_assert_int_eq (apply (&b, "a", 100, 9, BACKEND_SERVING, 9 * SECOND_US),
                    BACKEND_CHANGE_STALE);
  backend_close (&b);
  backend_stops_close (&stops);
}
END_TEST

/* Guards against a boot that goes on serving although the store, which was
   read late, says that it has left.  */
START_TEST (stop_that_is_learned_late_takes_effect)
{
  struct backend_stops stops = { 0 };
  struct backend_record b;
  struct backend_report r;

  init (&b);
  apply (&b, "a", 100, 7, BACKEND_SERVING, 0);
  backend_stops_add (&stops, STR_LIT ("a"), 100);
  ck_assert_int_eq (backend_load_stops (&b, &stops, &r, SECOND_US),
                    BACKEND_CHANGE_DRAINED);
  backend_free_report (&r);
  ck_assert_int_eq (backend_load_stops (&b, &stops, &r, SECOND_US),
                    BACKEND_CHANGE_NONE);
  ck_assert_int_eq (apply (&b, "a", 100, 8, BACKEND_SERVING, SECOND_US),
                    BACKEND_CHANGE_NONE);
  ck_assert_int_eq (b.state, BACKEND_DRAINING);
  backend_close (&b);
  backend_stops_close (&stops);
}
END_TEST

/* Guards against a late report of a boot that left, which brings it back when
   its successor is silent or after a report that is late too.  */
START_TEST (left_boot_is_remembered_beside_its_successor)
{
  struct backend_record b;

  init (&b);
  apply (&b, "a", 100, 1, BACKEND_SERVING, 0);
  apply (&b, "a", 100, 2, BACKEND_LEFT, 0);
  apply (&b, "b", 200, 1, BACKEND_SERVING, SECOND_US);
  ck_assert_int_eq (apply (&b, "a", 100, 2, BACKEND_SERVING, 9 * SECOND_US),
                    BACKEND_CHANGE_STALE);
  apply (&b, "b", 200, 3, BACKEND_DRAINING, 9 * SECOND_US);
  apply (&b, "a", 100, 3, BACKEND_DRAINING, 19 * SECOND_US);
  ck_assert_int_eq (apply (&b, "b", 200, 2, BACKEND_SERVING, 19 * SECOND_US),
                    BACKEND_CHANGE_STALE);
  ck_assert_int_ne (b.state, BACKEND_SERVING);
  backend_close (&b);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    drain_lasts_until_the_next_boot,
    report_of_earlier_boot_is_ignored,
    older_boot_time_is_accepted_after_report_timeout,
    left_boot_stays_left_but_its_id_may_restart,
    stops_of_earlier_processes_are_awaited,
    stop_that_is_learned_late_takes_effect,
    left_boot_is_remembered_beside_its_successor,
  };

  return suite_run ("backend", cases, sizeof cases / sizeof *cases);
}
