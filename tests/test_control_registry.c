/* Tests of the control_registry module: one control thread that joins a fleet
   through an object store in memory, whose lists have several pages.  */

#include "clock.h"
#include "control_registry.h"
#include "deployment.h"
#include "logger.h"
#include "process.h"
#include "registry_config.h"
#include "suite.h"

#include <glib.h>
#include <stdio.h>

/* Constants */

#define DAEMONS_KEY "almondvale-daemons/"
#define DAEMONS 7
#define PAGE 3
#define LATE_DAEMON 9

/* State */

/* The store.  Its answers are delivered by the calls themselves.  */
static struct
{
  struct object_store store;
  bool repeats; /* each page is the first one */
  uint32_t lists;
  uint32_t config_reads;
  uint32_t writes;
} fake;

/* Internal functions */

/* Appends the objects of a page; the daemon LATE_DAEMON is written after the
   first page was read.  */
static void
list (struct object_store *s, struct str prefix, struct str after, bool values,
      const struct object_store_call *call)
{
  struct object_store_object page[PAGE];
  struct object_store_answer a = { .objects = page, .next = STR_EMPTY };
  char keys[PAGE][64], bodies[PAGE][64];
  int last = fake.lists > 0 && !fake.repeats ? LATE_DAEMON : DAEMONS;

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
  fake.lists++;
  call->done (call->data, &a);
}

static void
put (struct object_store *s, struct str key, struct str value,
     enum object_store_condition condition, uint64_t version,
     const struct object_store_call *call)
{
  struct object_store_answer a = { .value = STR_EMPTY };

  fake.writes++;
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

static const struct object_store_ops fake_ops
    = { .list = list, .put = put, .watch = watch, .unload = unload };

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
  g_free (f->dir);
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

int
main (void)
{
  const TTest *const cases[]
      = { all_pages_of_the_fleet_are_read,
          repeated_page_ends_the_list_with_an_error,
          first_start_writes_before_it_lists,
          unknown_revision_is_looked_for_once_in_a_while };

  return suite_run ("control_registry", cases, G_N_ELEMENTS (cases));
}
