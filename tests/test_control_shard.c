/* Tests of the control_shard module: a daemon process without a platform,
   which holds all shards itself, and three control threads in this process,
   called peers, with a platform in memory.  */

#include "clock.h"
#include "control_shard.h"
#include "deployment.h"
#include "frame.h"
#include "process.h"
#include "shard_key.h"
#include "suite.h"

#include <apr_general.h>

#define SECRET "0123456789abcdef0123"
#define KEY "av_k1_" SECRET
#define AUTHORIZATION "Authorization: Bearer " KEY

struct fixture
{
  char *dir;
  struct process_daemon daemon;
  pid_t backend;
  uint16_t backend_port;
};

static struct fixture
start (int rate, int burst)
{
  struct fixture f
      = { .dir = process_make_dir (), .backend_port = process_get_port () };
  char *hash = process_hash_key (KEY);
  char *text = g_strdup_printf (
      "{\"services\":[{\"name\":\"notes\"}],\"routes\":["
      "{\"name\":\"book\",\"service\":\"notes\",\"path_prefix\":\"/book\","
      "\"methods\":[\"GET\",\"POST\"],\"idempotent\":false,"
      "\"idempotency_key\":\"optional\"}],"
      "\"workspaces\":[{\"name\":\"w1\",\"rate_per_s\":%d,\"burst\":%d}],"
      "\"keys\":[{\"id\":\"k1\",\"sha256\":\"%s\",\"workspace\":\"w1\"}]}",
      rate, burst, hash);
  char *members
      = g_strdup_printf (",\"inventory_file\":\"%s/inventory.json\"", f.dir);
  char *local, *port, *log;

  process_write_file (f.dir, "inventory.json", text);
  process_start_daemon (&f.daemon, f.dir, "d1", "fd1", members);
  local = g_strdup_printf ("--local=127.0.0.1:%u", f.daemon.local_port);
  port = g_strdup_printf ("--port=%u", f.backend_port);
  log = g_strdup_printf ("%s/backend.log", f.dir);
  f.backend = process_start (log, "backend", "--service=notes",
                             "--address=127.0.0.1", port, local, "--slots=8",
                             "--queue=100", "--connections=32",
                             "--service-time=fixed:1", "--seed=1", NULL, NULL);
  process_wait_for_status (f.backend_port, "/executions", 200);
  process_wait_for_text (f.daemon.local_port, "/almondvale/status",
                         "\"endpoints\" : 1");
  g_free (hash);
  g_free (text);
  g_free (members);
  g_free (local);
  g_free (port);
  g_free (log);
  return f;
}

static void
stop (struct fixture *f)
{
  process_stop (f->backend, SIGKILL);
  process_stop (f->daemon.pid, SIGKILL);
  g_free (f->dir);
}

static int64_t
get_total (const struct fixture *f)
{
  struct process_reply r
      = process_send (f->backend_port, "GET", "/executions", "", NULL);

  return process_get_number (r.body, NULL, "started");
}

/* Returns the header line of an idempotency key with the current time.  */
static char *
make_key (unsigned int tail)
{
  gint64 ms = g_get_real_time () / 1000;

  return g_strdup_printf ("Idempotency-Key: %08x-%04x-7abc-8def-%012x",
                          (unsigned int)(ms >> 16), (unsigned int)ms & 0xffff,
                          tail);
}

/* Guards against a workspace that exceeds its burst and rate, and against one
   that is rejected while within them.  */
START_TEST (rate_is_enforced)
{
  const char *lines[] = { AUTHORIZATION, NULL };
  struct fixture f = start (5, 10);
  int passed = 0, refused = 0;
  gint64 begun;

  /* The bucket starts empty and fills in 2 s.  */
  g_usleep (3000000);
  begun = g_get_monotonic_time ();
  for (int i = 0; i < 60; i++)
    {
      struct process_reply r
          = process_send (f.daemon.caller_port, "GET", "/book/1", "", lines);

      passed += r.status == 200;
      refused += r.status == 429;
    }
  begun = g_get_monotonic_time () - begun;
  ck_assert_int_eq (passed + refused, 60);
  ck_assert_int_ge (passed, 9);
  ck_assert_int_le (passed, 10 + (int)(5 * begun / 1000000) + 1);
  stop (&f);
}
END_TEST

/* Guards against running a repeated request with the same idempotency key
   again or answering it differently.  Also guards against accepting a key that
   is reused for another request, is not a UUIDv7, or has a time before or just
   after the start of the holder.  */
START_TEST (request_with_key_runs_once)
{
  char *key = make_key (1), *early = make_key (2);
  const char *lines[] = { AUTHORIZATION, key, NULL };
  const char *bad[]
      = { AUTHORIZATION,
          "Idempotency-Key: 018bcfe5-6800-4abc-8def-0123456789ab", NULL };
  const char *unknown[] = { AUTHORIZATION, early, NULL };
  struct fixture f = start (1000, 1000);
  struct process_reply first, again;

  /* Keys with times up to twice the largest clock skew after the start of the
     holder are rejected.  */
  g_usleep (4500000);
  again = process_send (f.daemon.caller_port, "POST", "/book/1", "a", unknown);
  ck_assert_msg (strstr (again.body, "outcome_unknown") != NULL, "%s",
                 again.body);
  g_free (key);
  key = make_key (1);
  lines[1] = key;
  first = process_send (f.daemon.caller_port, "POST", "/book/1", "a", lines);
  ck_assert_int_eq (first.status, 200);
  again = process_send (f.daemon.caller_port, "POST", "/book/1", "a", lines);
  ck_assert_int_eq (again.status, 200);
  ck_assert_str_eq (first.body, again.body);
  ck_assert_int_eq (get_total (&f), 1);
  again = process_send (f.daemon.caller_port, "POST", "/book/1", "b", lines);
  ck_assert_int_eq (again.status, 422);
  again = process_send (f.daemon.caller_port, "POST", "/book/1", "a", bad);
  ck_assert_int_eq (again.status, 400);
  ck_assert_int_eq (get_total (&f), 1);
  g_free (key);
  g_free (early);
  stop (&f);
}
END_TEST

/* Platform in memory, shared by the control threads.  */
static struct
{
  GMutex mutex;
  uint64_t version[LEASE_SHARDS_MAX];
  struct str value[LEASE_SHARDS_MAX];
} platform;

struct memory_store
{
  struct object_store store;
  struct event_base *base;
};

struct memory_answer
{
  struct object_store_call call;
  struct object_store_answer answer;
};

static void
deliver (evutil_socket_t fd, short what, void *data)
{
  struct memory_answer *a = data;

  a->call.done (a->call.data, &a->answer);
  str_free (&a->answer.value);
  g_free (a);
}

static void
post (struct object_store *s, const struct object_store_call *call,
      struct object_store_answer answer)
{
  struct memory_answer *a = g_new (struct memory_answer, 1);
  struct timeval soon = { 0, 1000 };

  *a = (struct memory_answer){ *call, answer };
  event_base_once (((struct memory_store *)s)->base, -1, EV_TIMEOUT, deliver,
                   a, &soon);
}

static uint32_t
get_shard (struct str key)
{
  uint64_t shard = 0;

  ck_assert (str_has_prefix (key, STR_LIT ("shards/")));
  ck_assert (str_parse_u64 (str_slice (key, 7, key.len), &shard));
  return (uint32_t)shard;
}

static void
memory_get (struct object_store *s, struct str key,
            const struct object_store_call *call)
{
  struct object_store_answer answer = { .value = STR_EMPTY };
  uint32_t shard = get_shard (key);

  g_mutex_lock (&platform.mutex);
  answer.version = platform.version[shard];
  if (answer.version == 0)
    answer.error = ERR_NOT_FOUND;
  else
    answer.value = str_copy (platform.value[shard]);
  g_mutex_unlock (&platform.mutex);
  post (s, call, answer);
}

static void
memory_put (struct object_store *s, struct str key, struct str value,
            enum object_store_condition condition, uint64_t version,
            const struct object_store_call *call)
{
  struct object_store_answer answer = { .value = STR_EMPTY };
  uint32_t shard = get_shard (key);

  g_mutex_lock (&platform.mutex);
  if (platform.version[shard]
      != (condition == OBJECT_STORE_IF_ABSENT ? 0 : version))
    answer.error = ERR_STORE_CONFLICT;
  else
    {
      if (version != 0)
        str_free (&platform.value[shard]);
      platform.value[shard] = str_copy (value);
      answer.version = ++platform.version[shard];
    }
  g_mutex_unlock (&platform.mutex);
  post (s, call, answer);
}

static const struct object_store_ops memory_ops
    = { .get = memory_get, .put = memory_put };

#define PEERS 3

struct peer
{
  struct settings settings;
  struct daemon_context shared;
  struct control control;
  struct member_table members;
  struct memory_store store;
};

static struct member_entry
make_entry (uint16_t control_port, int i)
{
  struct member_entry e = { .id = (uint64_t)i + 1,
                            .incarnation = 1u << MEMBER_RUN_SHIFT,
                            .domain = (uint32_t)i + 1,
                            .service = STR_EMPTY };

  memcpy (e.address.ip, "\0\0\0\0\0\0\0\0\0\0\xff\xff\x7f\0\0\1",
          MEMBER_IP_BYTES);
  e.address.ports[MEMBER_PORT_CONTROL] = control_port;
  return e;
}

static void
init_peer (struct peer *p, int i, const char *dir)
{
  char *text = g_strdup_printf (
      "{\"member_id\":\"d%d\",\"failure_domain\":\"fd%d\","
      "\"region\":\"r1\",\"address\":\"127.0.0.1\",\"ports\":{"
      "\"caller\":%u,\"local\":%u,\"peer\":%u,\"control\":%u},"
      "\"inventory_file\":\"%s/inventory.json\"}",
      i, i, process_get_port (), process_get_port (), process_get_port (),
      process_get_port (), dir);
  struct trace_options trace = { .member_id = STR_LIT ("d"),
                                 .failure_domain = STR_LIT ("fd"),
                                 .address = STR_EMPTY,
                                 .queue_max = 16 };
  GError *error = NULL;

  ck_assert_msg (settings_load (&p->settings, STR_LIT ("test"),
                                str_from_cstr (text), &error),
                 "%s", error != NULL ? error->message : "");
  g_free (text);
  p->shared.settings = &p->settings;
  p->shared.member = (uint64_t)i + 1;
  snapshot_init_publisher (&p->shared.snapshots);
  g_mutex_init (&p->shared.quota_mutex);
  quota_init_set (&p->shared.quotas, 0);
  metrics_init (&p->shared.metrics);
  daemon_metrics_init (&p->shared.metric_rows, &p->shared.metrics);
  ck_assert (control_init (&p->control, &p->shared,
                           deployment_native.components, &error));
  trace_init (&p->shared.trace, p->control.loop.base, &trace);
  p->shared.serve = &p->control.loop.inbox;
  p->store = (struct memory_store){ { &memory_ops }, p->control.loop.base };
}

/* Takes one rate token of a workspace at a peer.  Returns false if none is
   available within wait_us.  */
static bool
take_token (struct peer *p, const char *workspace, int64_t wait_us)
{
  struct str name = str_from_cstr (workspace);
  int64_t begun = clock_now_us ();

  while (clock_now_us () < begun + wait_us)
    {
      int64_t arrived = clock_now_us ();
      enum quota_result result;

      g_mutex_lock (&p->shared.quota_mutex);
      result = quota_acquire (&p->shared.quotas, name, arrived);
      g_mutex_unlock (&p->shared.quota_mutex);
      mailbox_wake (p->shared.control);
      while (result == QUOTA_WAIT)
        {
          g_usleep (2000);
          g_mutex_lock (&p->shared.quota_mutex);
          result
              = quota_poll (&p->shared.quotas, name, arrived, clock_now_us ());
          g_mutex_unlock (&p->shared.quota_mutex);
        }
      if (result == QUOTA_TAKEN)
        return true;
    }
  return false;
}

/* Guards against daemons that do not find the holder of a shard, and against a
   shard that no daemon takes over after its holder has stopped answering but
   keeps its links open.  */
START_TEST (tokens_come_from_the_holder_and_its_successor)
{
  static struct peer peers[PEERS];
  static const char *const names[] = { "a", "b", "c", "d" };
  char *dir = process_make_dir ();
  apr_pool_t *pool;
  int held = 0;

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  process_write_file (dir, "inventory.json",
                      "{\"workspaces\":[{\"name\":\"a\",\"rate_per_s\":100,"
                      "\"burst\":100},{\"name\":\"b\",\"rate_per_s\":100,"
                      "\"burst\":100},{\"name\":\"c\",\"rate_per_s\":100,"
                      "\"burst\":100},{\"name\":\"d\",\"rate_per_s\":100,"
                      "\"burst\":100}]}");
  for (int i = 0; i < PEERS; i++)
    init_peer (&peers[i], i, dir);
  for (int i = 0; i < PEERS; i++)
    {
      struct member_entry self
          = make_entry ((uint16_t)peers[i].settings.ports.control, i);

      member_init_table (&peers[i].members, &self, 1, clock_now_us ());
      for (int k = 0; k < PEERS; k++)
        {
          struct member_entry other
              = make_entry ((uint16_t)peers[k].settings.ports.control, k);

          if (k != i)
            member_merge_entry (&peers[i].members, &other, clock_now_us ());
        }
      control_shard_connect (&peers[i].control, &peers[i].members,
                             &peers[i].store.store);
    }
  for (int i = 0; i < PEERS; i++)
    loop_start (&peers[i].control.loop, pool);
  for (int i = 0; i < PEERS; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (names); k++)
      ck_assert_msg (take_token (&peers[i], names[k], 8000000), "%d %s", i,
                     names[k]);
  loop_stop (&peers[0].control.loop);
  loop_join (&peers[0].control.loop);
  for (size_t k = 0; k < G_N_ELEMENTS (names); k++)
    {
      const struct control_shard *n = peers[0].control.control_shard;
      struct str name = str_from_cstr (names[k]);

      held += n->buckets.shards[token_bucket_get_shard (name, n->shards)].held;
    }
  ck_assert_int_gt (held, 0);
  for (size_t k = 0; k < G_N_ELEMENTS (names); k++)
    ck_assert_msg (take_token (&peers[1], names[k], 15000000), "after %s",
                   names[k]);
  for (int i = 1; i < PEERS; i++)
    {
      loop_stop (&peers[i].control.loop);
      loop_join (&peers[i].control.loop);
    }
  g_free (dir);
}
END_TEST

/* Guards against a registration that waits for its next try although the
   holder has become known meanwhile: after a start, each shard's first bookings
   took 250 ms longer.  */
START_TEST (registration_is_sent_when_the_holder_becomes_known)
{
  static struct peer p;
  char *dir = process_make_dir (), *key = make_key (1);
  struct thread_message registration
      = { .key = str_slice (str_from_cstr (key), strlen ("Idempotency-Key: "),
                            strlen (key)) };
  struct wire_shard_message m = { .type = WIRE_HOLDER };
  struct str_buf frame = { 0 };
  int64_t now_us = clock_now_us ();
  struct member_entry entry;
  struct control_shard *cs;
  void *row;

  process_write_file (dir, "inventory.json", "{}");
  init_peer (&p, 0, dir);
  entry = make_entry ((uint16_t)p.settings.ports.control, 0);
  member_init_table (&p.members, &entry, 1, now_us);
  for (int i = 1; i < PEERS; i++)
    {
      entry = make_entry (process_get_port (), i);
      member_merge_entry (&p.members, &entry, now_us);
    }
  control_shard_connect (&p.control, &p.members, &p.store.store);
  cs = p.control.control_shard;
  shard_key_register (&p.control, &registration);
  ck_assert_uint_ne (table_next (&cs->registrations, 0, &row), 0);
  m.u.holder.shard = ((struct control_shard_registration *)row)->shard;
  m.u.holder.holder.id = 2;
  m.u.holder.epoch = 1;
  wire_shard_append_message (&frame, &m);
  shard_key_run (&p.control, now_us);
  ck_assert_int_eq (cs->holders[m.u.holder.shard].unanswered_since_us, 0);
  ck_assert (control_shard_ops.on_frame (
      &p.control, 0, WIRE_HOLDER,
      str_slice (str_view (&frame), FRAME_HEADER_BYTES, frame.len)));
  shard_key_run (&p.control, now_us);
  ck_assert_int_eq (cs->holders[m.u.holder.shard].unanswered_since_us, now_us);
  str_reset (&frame);
  g_free (key);
  g_free (dir);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { rate_is_enforced, request_with_key_runs_once,
          tokens_come_from_the_holder_and_its_successor,
          registration_is_sent_when_the_holder_becomes_known };

  return suite_run ("control_shard", cases, G_N_ELEMENTS (cases));
}
