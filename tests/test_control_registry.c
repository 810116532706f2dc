/* Tests of the control_registry module: one control thread that joins a fleet
   through an object store in memory, whose lists have several pages.  */

#include "clock.h"
#include "control_registry.h"
#include "deployment.h"
#include "logger.h"
#include "process.h"
#include "registry_config.h"
#include "registry_era.h"
#include "registry_evacuation.h"
#include "suite.h"

#include <glib.h>
#include <stdio.h>

/* Constants */

#define DAEMONS_KEY "almondvale-daemons/"
#define DAEMONS 7
#define PAGE 3
#define LATE_DAEMON 9
#define OWN_KEY DAEMONS_KEY "n0"
#define EVACUATIONS_KEY "evacuations/"

/* State */

enum put_mode
{
  PUT_APPLIED,
  PUT_UNANSWERED, /* applied without an answer */
  PUT_DELAYED     /* without an answer; applied by apply_delayed_put */
};

/* A write of the daemon's own object.  */
struct own_put
{
  struct str value; /* owned */
  enum object_store_condition condition;
  uint64_t version;
};

/* The store.  Its answers are delivered by the calls themselves.  */
static struct
{
  struct object_store store;
  bool repeats; /* each page is the first one */
  enum put_mode put_mode;
  struct str own_value; /* owned; of the daemon's object; it is listed if
                           `lists_own` is set */
  uint64_t own_version; /* 0: there is none */
  bool lists_own;
  struct own_put delayed;
  uint64_t era;       /* of the answers; 0: they have none */
  uint64_t write_era; /* from the next write on; 0: as before */
  uint32_t lists;
  uint32_t config_reads;
  /* evacuations: answer to the list, and the failure domain in it, if any */
  enum err_kind evacuation_error;
  uint64_t evacuation_version;
  const char *evacuated;
  uint32_t writes;
  uint32_t gets;
} fake;

/* Internal functions */

/* Appends the objects of a page; the daemon LATE_DAEMON is written after the
   first page was read.  */
static void
list (struct object_store *s, struct str prefix, struct str after, bool values,
      const struct object_store_call *call)
{
  struct object_store_object page[PAGE];
  struct object_store_answer a
      = { .era = fake.era, .objects = page, .next = STR_EMPTY };
  char keys[PAGE][64], bodies[PAGE][64];
  int last = fake.lists > 0 && !fake.repeats ? LATE_DAEMON : DAEMONS;

  if (str_equal (prefix, STR_LIT (EVACUATIONS_KEY)))
    {
      a.error = fake.evacuation_error;
      a.version = fake.evacuation_version;
      if (fake.evacuated != NULL)
        {
          snprintf (keys[0], sizeof keys[0], EVACUATIONS_KEY "%s",
                    fake.evacuated);
          page[a.objects_len++]
              = (struct object_store_object){ .key = str_from_cstr (keys[0]),
                                              .value = STR_EMPTY };
        }
      call->done (call->data, &a);
      return;
    }
  if (!str_equal (prefix, STR_LIT (DAEMONS_KEY)))
    {
      fake.config_reads++;
      call->done (call->data, &a);
      return;
    }
  for (int i = 1; i <= last && a.objects_len < PAGE; i++)
    {
      uint32_t at = a.objects_len;

      snprintf (keys[at], sizeof keys[at], DAEMONS_KEY "n%d", i);
      snprintf (bodies[at], sizeof bodies[at],
                "{\"address\":\"10.0.0.%d\",\"port\":7001}", i);
      if ((i > DAEMONS && i < LATE_DAEMON)
          || (!fake.repeats
              && str_compare (str_from_cstr (keys[at]), after) <= 0))
        continue;
      page[a.objects_len++] = (struct object_store_object){
        .key = str_from_cstr (keys[at]), .value = str_from_cstr (bodies[at])
      };
      if (i < last)
        a.next = str_from_cstr (keys[at]);
      else
        a.next = STR_EMPTY;
    }
  if (a.next.len == 0 && a.objects_len < PAGE && fake.lists_own
      && fake.own_version > 0)
    page[a.objects_len++]
        = (struct object_store_object){ .key = STR_LIT (OWN_KEY),
                                        .version = fake.own_version,
                                        .value = fake.own_value };
  fake.lists++;
  call->done (call->data, &a);
}

static enum err_kind
apply_put (const struct own_put *p)
{
  if (p->condition != OBJECT_STORE_ANY
      && fake.own_version
             != (p->condition == OBJECT_STORE_IF_ABSENT ? 0 : p->version))
    return ERR_STORE_CONFLICT;
  str_free (&fake.own_value);
  fake.own_value = str_copy (p->value);
  fake.own_version++;
  return ERR_NONE;
}

static void
apply_delayed_put (void)
{
  apply_put (&fake.delayed);
  str_free (&fake.delayed.value);
}

static void
put (struct object_store *s, struct str key, struct str value,
     enum object_store_condition condition, uint64_t version,
     const struct object_store_call *call)
{
  struct own_put p = { value, condition, version };
  struct object_store_answer a = { .value = STR_EMPTY };

  fake.era = fake.write_era > 0 ? fake.write_era : fake.era;
  a.era = fake.era;
  fake.writes++;
  if (fake.put_mode == PUT_DELAYED)
    {
      fake.delayed = p;
      fake.delayed.value = str_copy (value);
      a.error = ERR_STORE_OUTCOME_UNKNOWN;
    }
  else
    {
      a.error = apply_put (&p);
      a.version = fake.own_version;
      if (fake.put_mode == PUT_UNANSWERED)
        a.error = ERR_STORE_OUTCOME_UNKNOWN;
    }
  call->done (call->data, &a);
}

static void
get (struct object_store *s, struct str key,
     const struct object_store_call *call)
{
  struct object_store_answer a
      = { .era = fake.era,
          .error = fake.own_version == 0 ? ERR_NOT_FOUND : ERR_NONE,
          .version = fake.own_version,
          .value = fake.own_value };

  fake.gets++;
  call->done (call->data, &a);
}

/* A watch that returns nothing while the test runs.  */
static void
watch (struct object_store *s, struct str prefix, uint64_t version,
       int64_t wait_us, bool values, const struct object_store_call *call)
{
}

static void
unload (struct object_store *s)
{
}

static const struct object_store_ops fake_ops = {
  .get = get, .list = list, .put = put, .watch = watch, .unload = unload
};

static struct object_store *
load_store (struct event_base *base, const struct settings *settings)
{
  return &fake.store;
}

static const struct control_component_ops *const components[]
    = { &control_registry_ops, NULL };

static const struct deployment_ops deployment
    = { .name = "test",
        .components = components,
        .load_store = load_store,
        .config_key = STR_LIT ("config/main") };

struct fixture
{
  char *dir;
  struct settings settings;
  struct daemon_context shared;
  struct control control;
  struct mailbox serve;
};

static void
start (struct fixture *f, bool repeats, bool first_start)
{
  GError *error = NULL;
  char *text;

  memset (f, 0, sizeof *f);
  logger_init (LOGGER_ERROR);
  f->dir = process_make_dir ();
  text = g_strdup_printf (
      "{\"member_id\":\"n0\",\"failure_domain\":\"fd\",\"region\":\"r\","
      "\"address\":\"127.0.0.1\",\"ports\":{\"caller\":%u,\"local\":%u,"
      "\"peer\":%u,\"control\":%u},\"inventory_file\":\"%s/none\"}",
      process_get_port (), process_get_port (), process_get_port (),
      process_get_port (), f->dir);
  ck_assert_msg (settings_load (&f->settings, STR_LIT ("test"),
                                str_from_cstr (text), &error),
                 "%s", error != NULL ? error->message : "");
  g_free (text);
  memset (&fake, 0, sizeof fake);
  fake.own_value = STR_EMPTY;
  fake.delayed.value = STR_EMPTY;
  fake.store.ops = &fake_ops;
  fake.repeats = repeats;
  f->settings.first_start = first_start;
  f->shared.settings = &f->settings;
  f->shared.deployment = &deployment;
  f->shared.member = 1000;
  snapshot_init_publisher (&f->shared.snapshots);
  g_mutex_init (&f->shared.quota_mutex);
  quota_init_set (&f->shared.quotas, 0);
  rate_share_init (&f->shared.rate_shares);
  metrics_init (&f->shared.metrics);
  daemon_metrics_init (&f->shared.metric_rows, &f->shared.metrics);
  ck_assert (control_init (&f->control, &f->shared, components, &error));
}

/* Starts a daemon that honours evacuations and whose backend server, in the
   failure domain "fd", accepts requests.  */
static void
start_evacuable (struct fixture *f, enum err_kind error, const char *evacuated)
{
  start (f, false, false);
  f->settings.evacuation_bound_ms = 5000;
  f->control.backend_state = CONTROL_BACKEND_SERVING;
  mailbox_init (&f->serve, f->control.loop.base);
  f->shared.serve = &f->serve;
  fake.evacuation_error = error;
  fake.evacuation_version = 50;
  fake.evacuated = evacuated;
}

/* Returns what the serve thread was told last: 1 if the failure domain is
   evacuated, 0 if not, -1 if nothing.  */
static int
get_told (struct fixture *f)
{
  struct thread_message *m;
  int told = -1;

  while ((m = mailbox_receive (&f->serve)) != NULL)
    {
      if (m->kind == THREAD_MESSAGE_EVACUATION)
        told = m->evacuated;
      thread_message_free (m);
    }
  return told;
}

static void
run (struct fixture *f, int rounds)
{
  for (int i = 0; i < rounds; i++)
    control_registry_ops.run (&f->control, clock_now_us ());
}

static void
stop (struct fixture *f)
{
  control_close (&f->control);
  snapshot_close_publisher (&f->shared.snapshots);
  quota_close_set (&f->shared.quotas);
  rate_share_close (&f->shared.rate_shares);
  metrics_close (&f->shared.metrics);
  settings_unload (&f->settings);
  str_free (&fake.own_value);
  g_free (f->dir);
}

/* Reports, as a front does, that a boot has stopped.  */
static void
report_stop (struct fixture *f, const char *id, int64_t boot_ms)
{
  struct thread_message *m = thread_message_create (THREAD_MESSAGE_STOP);

  m->backend.id = str_copy (str_from_cstr (id));
  m->backend.boot_ms = boot_ms;
  control_registry_ops.on_message (&f->control, m);
  thread_message_free (m);
}

/* Ends the pause after a failed call.  */
static void
end_retry_pause (struct fixture *f)
{
  f->control.control_registry->join_retry_us = 0;
  f->control.control_registry->era.store.calls_us = 0;
}

static bool
is_stop_stored (const char *id, int64_t boot_ms)
{
  struct backend_stops stored;
  bool found;

  backend_stops_load_json (&stored, fake.own_value, "stops");
  found = backend_stops_contains (&stored, str_from_cstr (id), boot_ms);
  backend_stops_close (&stored);
  return found;
}

/* Guards against a daemon that knows only the first page of a large fleet, and
   against one that misses a daemon written between two pages.  */
START_TEST (all_pages_of_the_fleet_are_read)
{
  struct fixture f;

  start (&f, false, false);
  run (&f, 20);
  ck_assert_uint_eq (f.control.control_registry->registry.members.count,
                     DAEMONS + 1);
  ck_assert (f.control.control_registry->listed);
  ck_assert_int_eq (f.control.control_registry->phase,
                    CONTROL_REGISTRY_JOINED);
  ck_assert_uint_eq (fake.writes, 1);
  stop (&f);
}
END_TEST

/* Guards against a daemon that reads the same page again and again, and
   against one that takes an endless list for a complete one.  */
START_TEST (repeated_page_ends_the_list_with_an_error)
{
  struct fixture f;

  start (&f, true, false);
  run (&f, 100);
  ck_assert_uint_eq (fake.lists, 2);
  ck_assert (f.control.control_registry->join_failed);
  ck_assert (!f.control.control_registry->listed);
  stop (&f);
}
END_TEST

/* Guards against needless calls when a whole fleet starts: the own object is
   written first, and the pages are read once.  */
START_TEST (first_start_writes_before_it_lists)
{
  struct fixture f;

  start (&f, false, true);
  run (&f, 20);
  ck_assert_uint_eq (fake.writes, 1);
  ck_assert_uint_eq (fake.lists, 3);
  ck_assert (f.control.control_registry->listed);
  stop (&f);
}
END_TEST

/* Guards against a daemon that reads the store without end because a peer
   announces a revision that the store does not have.  */
START_TEST (unknown_revision_is_looked_for_once_in_a_while)
{
  struct daemon_registry_state state = { .member = 7,
                                         .name = STR_LIT ("n7"),
                                         .address = STR_LIT ("127.0.0.1"),
                                         .control_port = process_get_port (),
                                         .domain = STR_LIT ("fd"),
                                         .service = STR_EMPTY,
                                         .revision = 9 };
  struct fixture f;

  start (&f, true, false);
  daemon_registry_apply (&f.control.control_registry->registry, &state,
                         clock_now_us ());
  registry_config_record (&f.control, &state);
  f.control.control_registry->newer_seen_us -= 2 * (int64_t)CLOCK_US_PER_S;
  run (&f, 100);
  ck_assert_uint_eq (fake.config_reads, 1);
  stop (&f);
}
END_TEST

/* Guards against a stop that is taken for stored although its write failed, and
   against one that is never stored because the answer to its write was
   lost.  */
START_TEST (stop_is_stored_before_it_counts_as_stored)
{
  struct control_registry *cr;
  struct fixture f;

  start (&f, false, false);
  fake.lists_own = true;
  run (&f, 20);
  cr = f.control.control_registry;
  ck_assert (cr->stops_known && !cr->stops_unsaved);
  fake.put_mode = PUT_UNANSWERED;
  report_stop (&f, "a", 100);
  run (&f, 5);
  ck_assert (cr->stops_unsaved);
  ck_assert_uint_eq (cr->stored.len, 0);
  fake.put_mode = PUT_APPLIED;
  end_retry_pause (&f);
  run (&f, 20);
  ck_assert (!cr->stops_unsaved);
  ck_assert (is_stop_stored ("a", 100));
  ck_assert (backend_stops_contains (&cr->stored, STR_LIT ("a"), 100));
  ck_assert_int_eq (cr->phase, CONTROL_REGISTRY_JOINED);
  stop (&f);
}
END_TEST

/* Guards against a write that the store applies late, after its answer was lost
   and another stop was stored, so that this stop is forgotten.  */
START_TEST (late_write_does_not_replace_a_later_stop)
{
  struct fixture f;

  start (&f, false, false);
  fake.lists_own = true;
  run (&f, 20);
  fake.put_mode = PUT_DELAYED;
  report_stop (&f, "a", 100);
  run (&f, 5);
  fake.put_mode = PUT_APPLIED;
  report_stop (&f, "b", 200);
  end_retry_pause (&f);
  run (&f, 20);
  ck_assert (is_stop_stored ("b", 200));
  apply_delayed_put ();
  ck_assert (is_stop_stored ("a", 100) && is_stop_stored ("b", 200));
  stop (&f);
}
END_TEST

/* Guards against a daemon that writes its object before it has read the stops
   in it, or that does not read them.  */
START_TEST (stops_of_the_earlier_process_are_kept)
{
  struct fixture f;

  start (&f, false, false);
  fake.lists_own = true;
  fake.own_version = 4;
  fake.own_value
      = str_copy (STR_LIT ("{\"address\":\"10.0.0.99\",\"port\":7001,"
                           "\"stops\":[{\"id\":\"a\",\"boot_ms\":100}]}"));
  report_stop (&f, "b", 200);
  run (&f, 20);
  ck_assert (backend_stops_contains (&f.control.control_registry->stops,
                                     STR_LIT ("a"), 100));
  ck_assert (is_stop_stored ("a", 100) && is_stop_stored ("b", 200));
  stop (&f);
}
END_TEST

/* Joins a store of era 1, in which the daemon's object has the stop "a".  */
static struct control_registry *
join_with_stop (struct fixture *f)
{
  start (f, false, false);
  fake.era = 1;
  fake.lists_own = true;
  run (f, 20);
  f->control.control_registry->era.start.answered_us -= 10 * CLOCK_US_PER_S;
  report_stop (f, "a", 100);
  run (f, 20);
  ck_assert (is_stop_stored ("a", 100));
  ck_assert (!f->control.control_registry->stops_unsaved);
  ck_assert_uint_eq (fake.gets, 0);
  return f->control.control_registry;
}

/* The store returns to a copy with an earlier object of the daemon, and another
   daemon tells it of the era.  */
static void
restore (struct fixture *f, uint64_t era)
{
  struct daemon_registry_state state = { .member = 7, .era = era };

  fake.era = era;
  str_free (&fake.own_value);
  fake.own_value = str_copy (STR_LIT ("{\"address\":\"127.0.0.1\","
                                      "\"port\":1,\"stops\":[]}"));
  fake.own_version = 1;
  registry_era_record (&f->control, &state);
}

/* Guards against a stop that is forgotten with the store, and against calls in
   the pause by which the calls of the fleet are spread.  */
START_TEST (lost_stop_is_written_again)
{
  struct fixture f;
  struct control_registry *cr = join_with_stop (&f);
  uint32_t writes = fake.writes;

  restore (&f, 2);
  cr->join_retry_us = clock_now_us () + 60 * CLOCK_US_PER_S;
  run (&f, 5);
  ck_assert_uint_eq (fake.gets, 0);
  ck_assert_uint_eq (fake.writes, writes);
  end_retry_pause (&f);
  run (&f, 20);
  ck_assert (is_stop_stored ("a", 100));
  ck_assert_int_eq (cr->phase, CONTROL_REGISTRY_JOINED);
  ck_assert_uint_eq (cr->era.entry_era, 2);
  ck_assert_uint_eq (fake.gets, 1);
  stop (&f);
}
END_TEST

/* Guards against a write that is taken for a success although its version is
   one of the earlier era, which the store has assigned again.  */
START_TEST (write_that_matched_by_chance_is_no_success)
{
  struct fixture f;
  struct control_registry *cr = join_with_stop (&f);

  fake.write_era = 2;
  report_stop (&f, "b", 200);
  run (&f, 1);
  ck_assert_uint_eq (cr->era.store.seen, 2);
  ck_assert (cr->stops_unsaved);
  ck_assert_int_eq (cr->phase, CONTROL_REGISTRY_CHECKING);
  end_retry_pause (&f);
  run (&f, 20);
  ck_assert (is_stop_stored ("a", 100) && is_stop_stored ("b", 200));
  ck_assert (!cr->stops_unsaved);
  stop (&f);
}
END_TEST

/* Guards against an answer of the earlier era that is used after the restore
   has become known.  */
START_TEST (answer_of_the_earlier_era_is_ignored)
{
  struct fixture f;
  struct control_registry *cr = join_with_stop (&f);

  restore (&f, 2);
  fake.era = 1;
  end_retry_pause (&f);
  run (&f, 20);
  ck_assert_int_eq (cr->phase, CONTROL_REGISTRY_CHECKING);
  ck_assert_uint_eq (fake.gets, 1);
  fake.era = 2;
  end_retry_pause (&f);
  run (&f, 20);
  ck_assert_int_eq (cr->phase, CONTROL_REGISTRY_JOINED);
  ck_assert (is_stop_stored ("a", 100));
  stop (&f);
}
END_TEST

/* Guards against a write of the earlier era that the store applies after the
   restore, when the object has the same version again, so that a stop is
   forgotten.  */
START_TEST (late_write_of_the_earlier_era_is_found)
{
  struct fixture f;
  struct control_registry *cr = join_with_stop (&f);

  fake.put_mode = PUT_DELAYED;
  report_stop (&f, "b", 200);
  run (&f, 1);
  fake.put_mode = PUT_APPLIED;
  restore (&f, 2);
  report_stop (&f, "c", 300);
  end_retry_pause (&f);
  run (&f, 20);
  ck_assert (is_stop_stored ("c", 300));
  fake.delayed.version = fake.own_version;
  apply_delayed_put ();
  ck_assert (!is_stop_stored ("c", 300));
  cr->era.recheck_us = 1;
  run (&f, 20);
  ck_assert (is_stop_stored ("b", 200) && is_stop_stored ("c", 300));
  ck_assert_int_eq (cr->phase, CONTROL_REGISTRY_JOINED);
  stop (&f);
}
END_TEST

/* Guards against a daemon that starts after a restore and grants from pools,
   although a daemon that it does not know owns them, and against one that
   refuses because others know of more for another reason.  */
START_TEST (part_of_the_fleet_owns_no_pool)
{
  struct daemon_registry_state state = { .member = 7,
                                         .name = STR_LIT ("n7"),
                                         .address = STR_LIT ("127.0.0.1"),
                                         .control_port = process_get_port (),
                                         .domain = STR_LIT ("fd"),
                                         .service = STR_EMPTY,
                                         .live = 3 };
  struct control_registry *cr;
  struct fixture f;

  start (&f, false, false);
  fake.era = 1;
  run (&f, 20);
  cr = f.control.control_registry;
  cr->era.start.answered_us -= 3 * CLOCK_US_PER_S;
  for (int restored = 0; restored < 2; restored++)
    {
      state.store_restored = restored;
      daemon_registry_apply (&cr->registry, &state, clock_now_us ());
      run (&f, 1);
      ck_assert (registry_era_knows_fleet (&f.control, clock_now_us ())
                 == !restored);
    }
  state.live = 2;
  daemon_registry_apply (&cr->registry, &state, clock_now_us ());
  run (&f, 1);
  ck_assert (registry_era_knows_fleet (&f.control, clock_now_us ()));
  stop (&f);
}
END_TEST

/* A daemon of the failure domain "fd" that says what is evacuated.  */
static struct daemon_registry_state
make_peer (uint64_t revision, const char *evacuated)
{
  struct daemon_registry_state state = { .member = 7,
                                         .name = STR_LIT ("n7"),
                                         .address = STR_LIT ("127.0.0.1"),
                                         .control_port = 1,
                                         .domain = STR_LIT ("fd"),
                                         .service = STR_LIT ("s"),
                                         .serving = true,
                                         .evacuation_revision = revision };

  if (evacuated != NULL)
    evacuation_domains_add (&state.evacuated, str_from_cstr (evacuated));
  return state;
}

/* Guards against requests to a failure domain that the store or another daemon
   says is evacuated, and against an older set that replaces a newer one.  */
START_TEST (evacuated_domain_has_no_endpoints)
{
  struct daemon_registry_state newer = make_peer (60, NULL);
  struct daemon_registry_state older = make_peer (40, NULL);
  struct fixture f;

  start_evacuable (&f, ERR_NONE, "fd");
  run (&f, 3);
  ck_assert_int_eq (get_told (&f), 1);
  daemon_registry_apply (&f.control.control_registry->registry, &newer,
                         clock_now_us ());
  f.control.control_registry->members_changed = true;
  registry_evacuation_record (&f.control, &older);
  run (&f, 1);
  ck_assert_uint_eq (f.control.endpoints->len, 0);
  ck_assert_int_eq (get_told (&f), -1);
  registry_evacuation_record (&f.control, &newer);
  run (&f, 1);
  ck_assert_uint_eq (f.control.endpoints->len, 2);
  ck_assert_int_eq (get_told (&f), 0);
  mailbox_close (&f.serve);
  stop (&f);
}
END_TEST

/* Guards against a change that only the fastest watcher passes on: one that has
   heard of it before the store's answer must tell the others too.  */
START_TEST (every_watcher_passes_a_change_on)
{
  struct daemon_registry_state peer = make_peer (50, "fd");
  struct fixture f;

  start_evacuable (&f, ERR_NONE, "fd");
  registry_evacuation_record (&f.control, &peer);
  f.control.control_registry->evacuation.notified = true;
  f.control.control_registry->next_state_us = INT64_MAX;
  registry_evacuation_run (&f.control, clock_now_us ());
  ck_assert_int_eq (f.control.control_registry->next_state_us, 0);
  ck_assert_int_eq (get_told (&f), 1);
  mailbox_close (&f.serve);
  stop (&f);
}
END_TEST

/* Guards against a daemon that serves before it knows the evacuations, and
   against one that waits for ever for a store that does not answer although
   other daemons know them.  */
START_TEST (unknown_evacuations_are_learned_from_other_daemons)
{
  struct daemon_registry_state peer = make_peer (40, "fd");
  struct fixture f;

  start_evacuable (&f, ERR_STORE_UNAVAILABLE, NULL);
  run (&f, 3);
  ck_assert_uint_eq (f.control.endpoints->len, 0);
  registry_evacuation_record (&f.control, &peer);
  run (&f, 1);
  ck_assert_int_eq (get_told (&f), -1);
  f.control.control_registry->evacuation.heard_us -= CLOCK_US_PER_S;
  run (&f, 1);
  ck_assert_int_eq (get_told (&f), 1);
  mailbox_close (&f.serve);
  stop (&f);
}
END_TEST

/* Guards against a fleet that never serves, or an evacuation that never ends,
   because the store has no objects of the kind and answers that it is
   unknown.  */
START_TEST (missing_kind_means_no_evacuation)
{
  struct fixture f;

  start_evacuable (&f, ERR_NOT_FOUND, NULL);
  run (&f, 3);
  ck_assert_int_eq (get_told (&f), 0);
  ck_assert_uint_eq (f.control.endpoints->len, 1);
  fake.evacuation_error = ERR_NONE;
  fake.evacuated = "fd";
  f.control.control_registry->evacuation.retry_us = 0;
  run (&f, 3);
  ck_assert_int_eq (get_told (&f), 1);
  fake.evacuation_error = ERR_NOT_FOUND;
  f.control.control_registry->evacuation.pending = false;
  f.control.control_registry->evacuation.needs_list = true;
  run (&f, 3);
  ck_assert_int_eq (get_told (&f), 0);
  mailbox_close (&f.serve);
  stop (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { all_pages_of_the_fleet_are_read,
          repeated_page_ends_the_list_with_an_error,
          first_start_writes_before_it_lists,
          unknown_revision_is_looked_for_once_in_a_while,
          stop_is_stored_before_it_counts_as_stored,
          late_write_does_not_replace_a_later_stop,
          stops_of_the_earlier_process_are_kept,
          lost_stop_is_written_again,
          write_that_matched_by_chance_is_no_success,
          answer_of_the_earlier_era_is_ignored,
          late_write_of_the_earlier_era_is_found,
          part_of_the_fleet_owns_no_pool,
          evacuated_domain_has_no_endpoints,
          every_watcher_passes_a_change_on,
          unknown_evacuations_are_learned_from_other_daemons,
          missing_kind_means_no_evacuation };

  return suite_run ("control_registry", cases, G_N_ELEMENTS (cases));
}
