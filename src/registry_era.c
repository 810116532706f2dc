/* registry_era: repairs the store after it was restored from an earlier copy.

   An entry is a daemon's object in the store.  */

#include "registry_era.h"

#include "clock.h"
#include "logger.h"
#include "registry_config.h"
#include "registry_stops.h"

/* Constants */

#define CALL_TIMEOUT_US (INT64_C (1) * CLOCK_US_PER_S)
#define RETRY_US (INT64_C (500) * CLOCK_US_PER_MS)
#define MEMBER_RETRY_US (INT64_C (1) * CLOCK_US_PER_S)
/* Interval of the search for entries to write, and the number of members whose
   writer is chosen in one round: 16 x 22,000 hashes take some milliseconds.  */
#define RUN_INTERVAL_US (INT64_C (200) * CLOCK_US_PER_MS)
#define CHOICES_MAX 16u

/* Internal functions: the restore */

/* Nothing that was read from the store is valid any more, except for what the
   store cannot take back.  */
static void
begin (struct control *c, const char *source, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct control_registry_era *e = &cr->era;

  cr->own_version = 0;
  cr->own_object_current = false;
  backend_stops_close (&cr->stored);
  cr->stops_unsaved = cr->stops.len > 0;
  str_free (&cr->listed_to);
  cr->listed_pages = 0;
  if (cr->listed)
    cr->phase = CONTROL_REGISTRY_CHECKING;
  else if (cr->phase != CONTROL_REGISTRY_WRITING)
    cr->phase = CONTROL_REGISTRY_LISTING;
  cr->join_retry_us = e->store.calls_us;
  cr->config_retry_us = MAX (cr->config_retry_us, e->store.calls_us);
  cr->needs_read = true;
  cr->evacuation.needs_list = true;
  cr->evacuation.retry_us = MAX (cr->evacuation.retry_us, e->store.calls_us);
  cr->next_state_us = 0;
  e->raised_us = now_us;
  e->recheck_us = e->store.calls_us + STORE_ERA_RECHECK_US;
  LOGGER_WRITE (LOGGER_WARNING, "store_restored",
                LOGGER_NUMBER ("era", (int64_t)e->store.seen),
                LOGGER_TEXT ("source", str_from_cstr (source)));
  metrics_increment (c->shared->metric_rows.store_restores, 1);
  if (cr->store != NULL && cr->store->ops->end_watches != NULL)
    cr->store->ops->end_watches (cr->store);
}

static void
note_first_era (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;

  if (cr->era.store.seen == 0 || cr->era.start.answered_us != 0)
    return;
  cr->era.start.answered_us = now_us;
  cr->registry.keeps_departed = true;
}

/* Internal functions: the own entry */

/* If the store has no such call, the entry is read by a list.  */
static void
record_check_failure (struct control *c, enum err_kind error)
{
  struct control_registry *cr = c->control_registry;
  int64_t now_us = clock_now_us ();

  /* The calls of the fleet stay spread while the store rejects them.  */
  cr->join_retry_us
      = now_us + RETRY_US
        + store_era_get_delay (c->settings->member_id, (uint64_t)now_us);
  if (error == ERR_PROTOCOL || error == ERR_BAD_REQUEST)
    cr->phase = CONTROL_REGISTRY_LISTING;
  LOGGER_WRITE (
      LOGGER_WARNING, "entry_check_failed",
      LOGGER_TEXT ("error", str_from_cstr (err_get_answer (error)->name)));
}

static void
on_checked (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;
  struct object_store_object o = { .version = a->version, .value = a->value };
  bool complete;

  cr->call_pending = false;
  if (!registry_era_accept (c, a, STORE_ERA_ANY))
    return;
  if (a->error != ERR_NONE && a->error != ERR_NOT_FOUND)
    {
      record_check_failure (c, a->error);
      return;
    }
  cr->own_version = 0;
  cr->own_object_current = false;
  backend_stops_close (&cr->stored);
  if (a->error == ERR_NONE)
    control_registry_load_own (c, &o);
  cr->stops_unsaved = !backend_stops_contains_all (&cr->stored, &cr->stops);
  complete = cr->own_object_current && !cr->stops_unsaved;
  cr->phase = complete ? CONTROL_REGISTRY_JOINED : CONTROL_REGISTRY_WRITING;
  LOGGER_WRITE (LOGGER_INFO, "entry_checked",
                LOGGER_NUMBER ("era", (int64_t)cr->era.store.seen),
                LOGGER_NUMBER ("found", a->error == ERR_NONE),
                LOGGER_NUMBER ("complete", complete));
  if (complete)
    registry_stops_publish (c);
}

/* Internal functions: entries of daemons that do not answer */

static void
append_key (struct str_buf *out, struct str name)
{
  str_append (out, CONTROL_REGISTRY_PREFIX);
  str_append (out, name);
}

/* Returns the member whose entry is being written; NULL if it was removed, or
   if the era is another one by now.  */
static struct daemon_registry_member *
get_repaired (struct control *c)
{
  struct control_registry *cr = c->control_registry;
  struct control_registry_repair *r = &cr->era.repair;

  if (r->era != cr->era.store.seen)
    return NULL;
  return daemon_registry_find_any (&cr->registry, r->member);
}

static void
end_repair (struct control *c, bool done)
{
  struct control_registry_repair *r = &c->control_registry->era.repair;
  struct daemon_registry_member *m = get_repaired (c);

  r->member = 0;
  if (!done)
    r->retry_us = clock_now_us () + RETRY_US;
  if (m == NULL)
    return;
  m->repaired = done;
  /* Others that are due come before it is tried again.  */
  m->repair_due_us = clock_now_us () + MEMBER_RETRY_US;
}

static void
on_repair_written (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry_repair *r = &c->control_registry->era.repair;
  struct daemon_registry_member *m;
  bool accepted = registry_era_accept (c, a, r->version_era);

  r->pending = false;
  m = get_repaired (c);
  if (!accepted || a->error != ERR_NONE || m == NULL)
    {
      end_repair (c, false);
      return;
    }
  r->written++;
  LOGGER_WRITE (LOGGER_INFO, "entry_written_for_other",
                LOGGER_TEXT ("name", m->state.name),
                LOGGER_NUMBER ("era", (int64_t)r->era),
                LOGGER_NUMBER ("stops", m->state.stops.len));
  metrics_increment (c->shared->metric_rows.entries_repaired, 1);
  end_repair (c, true);
}

/* Writes what the member said, and the stops that the entry has.  The address
   in the store stays: it is that of a later process if it is another one.  */
static void
write_entry (struct control *c, const struct daemon_registry_member *m,
             const struct object_store_answer *found,
             const struct backend_stops *stored)
{
  struct control_registry *cr = c->control_registry;
  struct object_store_call call = { .timeout_us = CALL_TIMEOUT_US,
                                    .done = on_repair_written,
                                    .data = c };
  struct backend_stops stops = backend_stops_copy (&m->state.stops);
  struct str address = STR_EMPTY;
  uint16_t port = m->state.control_port;
  struct str_buf key = { 0 }, value = { 0 };
  bool exists = found->error == ERR_NONE;

  if (!exists || !control_registry_parse_entry (found->value, &address, &port))
    address = str_copy (m->state.address);
  backend_stops_merge (&stops, stored);
  append_key (&key, m->state.name);
  control_registry_append_entry (address, port, &stops, &value);
  cr->era.repair.pending = true;
  cr->era.repair.version_era = exists ? cr->era.store.seen : STORE_ERA_ANY;
  cr->store->ops->put (cr->store, str_view (&key), str_view (&value),
                       exists ? OBJECT_STORE_IF_VERSION
                              : OBJECT_STORE_IF_ABSENT,
                       found->version, &call);
  backend_stops_close (&stops);
  str_free (&address);
  str_reset (&key);
  str_reset (&value);
}

static void
on_repair_read (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry_repair *r = &c->control_registry->era.repair;
  struct backend_stops stored = { 0 };
  struct daemon_registry_member *m;
  bool accepted = registry_era_accept (c, a, STORE_ERA_ANY);

  r->pending = false;
  m = get_repaired (c);
  if (!accepted || m == NULL
      || (a->error != ERR_NONE && a->error != ERR_NOT_FOUND))
    {
      end_repair (c, false);
      return;
    }
  if (a->error == ERR_NONE)
    registry_stops_load (&stored, a->value);
  if (a->error == ERR_NONE
      && backend_stops_contains_all (&stored, &m->state.stops))
    end_repair (c, true);
  else
    write_entry (c, m, a, &stored);
  backend_stops_close (&stored);
}

static void
start_repair (struct control *c, const struct daemon_registry_member *m)
{
  struct control_registry *cr = c->control_registry;
  struct control_registry_repair *r = &cr->era.repair;
  struct object_store_call call
      = { .timeout_us = CALL_TIMEOUT_US, .done = on_repair_read, .data = c };
  struct str_buf key = { 0 };

  r->member = m->state.member;
  r->era = cr->era.store.seen;
  r->pending = true;
  append_key (&key, m->state.name);
  cr->store->ops->get (cr->store, str_view (&key), &call);
  str_reset (&key);
}

/* Returns the hashes of the names of the live members that stay.  */
static GArray *
get_live_names (const struct daemon_registry *r, int64_t now_us)
{
  GArray *names = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct daemon_registry_member *m;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    if (daemon_registry_is_live (r, m, now_us) && !m->state.leaving)
      {
        uint64_t hash = str_hash (m->state.name);

        g_array_append_val (names, hash);
      }
  return names;
}

/* A search for entries to write.  */
struct repair_search
{
  struct control *c;
  int64_t now_us;
  GArray *live; /* names of the live members, or NULL */
  uint32_t choices;
};

/* Decides when this daemon looks for the entry of a member that does not
   answer.  */
static void
choose_time (struct repair_search *s, struct daemon_registry_member *m)
{
  const struct control *c = s->c;
  struct control_registry *cr = c->control_registry;
  uint64_t lost = str_hash (m->state.name);
  uint64_t own = str_hash (c->settings->member_id);
  uint64_t era = cr->era.store.seen;
  const uint64_t *live;
  uint32_t rank;

  if (s->live == NULL)
    s->live = get_live_names (&cr->registry, s->now_us);
  live = (const uint64_t *)s->live->data;
  rank = store_era_get_rank (lost, own, era, live, s->live->len);
  m->repair_era = era;
  m->repaired = rank >= STORE_ERA_RANKS_SOON && m->state.stops.len == 0;
  m->repair_due_us = MAX (s->now_us, cr->era.store.calls_us)
                     + store_era_get_rank_delay (rank);
  /* Another process of the daemon runs at another address.  */
  for (uint32_t i = 0; i < s->live->len; i++)
    m->repaired = m->repaired || live[i] == lost;
}

static void
examine (struct repair_search *s, struct daemon_registry_member *m)
{
  struct control_registry *cr = s->c->control_registry;

  if (!m->state_received || m->state.entry_era >= cr->era.store.seen)
    return;
  if (m->repair_era != cr->era.store.seen && s->choices < CHOICES_MAX)
    {
      s->choices++;
      choose_time (s, m);
    }
  if (m->repair_era == cr->era.store.seen && !m->repaired
      && s->now_us >= m->repair_due_us && cr->era.repair.member == 0)
    start_repair (s->c, m);
}

static void
repair_others (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct repair_search s = { .c = c, .now_us = now_us };
  struct daemon_registry_member *m;

  if (cr->era.store.raises == 0 || cr->store == NULL || !cr->listed
      || c->shutting_down || cr->era.repair.member != 0
      || now_us < MAX (cr->era.repair.retry_us, cr->era.next_run_us))
    return;
  cr->era.next_run_us = now_us + RUN_INTERVAL_US;
  for (uint64_t id = table_next (&cr->registry.members, 0, (void **)&m);
       id != 0; id = table_next (&cr->registry.members, id, (void **)&m))
    if (!daemon_registry_is_live (&cr->registry, m, now_us))
      examine (&s, m);
  for (uint64_t id = table_next (&cr->registry.departed, 0, (void **)&m);
       id != 0; id = table_next (&cr->registry.departed, id, (void **)&m))
    examine (&s, m);
  if (s.live != NULL)
    g_array_unref (s.live);
}

/* Internal functions: the start */

/* Notes whether, after a restore, a live daemon knows of more than this one.
   Without a restore a difference is one of timeouts only.  */
static void
compare_fleet (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct control_registry_era *e = &cr->era;
  struct daemon_registry_member *m;
  bool was_partial = e->partial;
  bool restored = false;

  e->partial = false;
  e->live_elsewhere = 0;
  if (e->store.seen == 0 || !cr->listed
      || now_us - e->start.answered_us >= STORE_ERA_PARTIAL_US)
    {
      cr->members_changed = cr->members_changed || was_partial;
      return;
    }
  for (uint64_t id = table_next (&cr->registry.members, 0, (void **)&m);
       id != 0; id = table_next (&cr->registry.members, id, (void **)&m))
    if (daemon_registry_is_live (&cr->registry, m, now_us))
      {
        e->live_elsewhere = MAX (e->live_elsewhere, m->state.live);
        restored = restored || m->state.store_restored;
      }
  e->partial = restored
               && e->live_elsewhere
                      > daemon_registry_count_live (&cr->registry, now_us);
  cr->members_changed = cr->members_changed || was_partial != e->partial;
}

/* Public functions */

/**
 * registry_era_accept - judges an answer of the store
 * @c: control thread
 * @a: the answer
 * @number_era: era of the version in the call, or %STORE_ERA_ANY
 *
 * After a restore the repair has begun when this function returns.
 *
 * Return: false if the answer must not be used; the call is made again.
 */
bool
registry_era_accept (struct control *c, const struct object_store_answer *a,
                     uint64_t number_era)
{
  struct control_registry *cr = c->control_registry;
  struct store_era *e = &cr->era.store;
  enum store_era_verdict verdict = store_era_judge (e, number_era, a->era);
  int64_t now_us = clock_now_us ();

  if (store_era_record_answer (e, a->era, a->error == ERR_NONE,
                               c->settings->member_id, now_us))
    begin (c, "store", now_us);
  note_first_era (c, now_us);
  if (verdict == STORE_ERA_OLD)
    {
      cr->join_retry_us = MAX (cr->join_retry_us, now_us + RETRY_US);
      cr->config_retry_us = MAX (cr->config_retry_us, now_us + RETRY_US);
      LOGGER_WRITE (LOGGER_WARNING, "store_answer_old",
                    LOGGER_NUMBER ("era", (int64_t)a->era),
                    LOGGER_NUMBER ("newest", (int64_t)e->seen));
    }
  return verdict == STORE_ERA_CURRENT;
}

void
registry_era_record (struct control *c,
                     const struct daemon_registry_state *state)
{
  int64_t now_us = clock_now_us ();

  if (store_era_record_peer (&c->control_registry->era.store, state->era,
                             c->settings->member_id, now_us))
    begin (c, "daemon", now_us);
  note_first_era (c, now_us);
}

void
registry_era_set_listed (struct control *c)
{
  struct store_era_start *s = &c->control_registry->era.start;

  if (s->listed)
    return;
  s->listed = true;
  s->listed_us = clock_now_us ();
  s->state_us = DAEMON_REGISTRY_FIRST_STATE_US;
}

bool
registry_era_is_waiting (const struct control *c, int64_t now_us)
{
  const struct control_registry *cr = c->control_registry;
  struct store_era_start s = cr->era.start;

  if (cr->era.store.seen == 0
      || now_us - s.answered_us >= STORE_ERA_START_MAX_US)
    return false;
  s.unheard = daemon_registry_count_unheard (&cr->registry);
  s.heard = cr->registry.members.count - s.unheard;
  return store_era_is_waiting (&s, now_us);
}

bool
registry_era_is_restored (const struct control *c, int64_t now_us)
{
  const struct control_registry_era *e = &c->control_registry->era;

  return e->store.raises > 0 && now_us - e->raised_us < STORE_ERA_PARTIAL_US;
}

bool
registry_era_knows_fleet (const struct control *c, int64_t now_us)
{
  const struct control_registry *cr = c->control_registry;

  return cr->listed && !cr->era.partial
         && !registry_era_is_waiting (c, now_us);
}

/**
 * registry_era_hold_config - keeps a configuration of the store
 * @c: control thread
 * @bytes: the configuration; copied
 * @revision: its revision
 *
 * A daemon that has a configuration applies only newer ones.  One that has
 * none waits until it has heard of those of the others.
 *
 * Return: true if it must not be applied yet.
 */
bool
registry_era_hold_config (struct control *c, struct str bytes,
                          uint64_t revision)
{
  struct control_registry *cr = c->control_registry;
  struct str held;

  if (cr->era.store.seen == 0 || cr->config.len > 0
      || (!registry_era_is_waiting (c, clock_now_us ())
          && cr->newer_revision <= revision))
    return false;
  if (cr->era.config_held.len == 0)
    LOGGER_WRITE (LOGGER_INFO, "configuration_held",
                  LOGGER_NUMBER ("revision", (int64_t)revision),
                  LOGGER_NUMBER ("newest", (int64_t)cr->newer_revision));
  held = str_copy (bytes);
  str_free (&cr->era.config_held);
  cr->era.config_held = held;
  return true;
}

void
registry_era_check_own (struct control *c,
                        const struct object_store_call *call)
{
  struct object_store_call check = *call;
  struct str_buf key = { 0 };

  check.done = on_checked;
  append_key (&key, c->settings->member_id);
  c->control_registry->store->ops->get (c->control_registry->store,
                                        str_view (&key), &check);
  str_reset (&key);
}

/**
 * registry_era_run - repairs, and uses what was held back
 * @c: control thread
 * @now_us: current time
 */
void
registry_era_run (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct control_registry_era *e = &cr->era;
  struct str held = e->config_held;

  if (e->store.seen == 0)
    return;
  if (held.len > 0)
    {
      e->config_held = STR_EMPTY;
      registry_config_apply (c, held, "store");
      str_free (&held);
    }
  if (e->stops_held && !registry_era_is_waiting (c, now_us))
    registry_stops_publish (c);
  if (cr->phase == CONTROL_REGISTRY_JOINED && !cr->stops_unsaved)
    {
      e->entry_era = e->store.seen;
      if (e->recheck_us > 0 && now_us >= e->recheck_us)
        {
          e->recheck_us = 0;
          cr->phase = CONTROL_REGISTRY_CHECKING;
        }
    }
  compare_fleet (c, now_us);
  repair_others (c, now_us);
  metrics_set (c->shared->metric_rows.store_era, (int64_t)e->store.seen);
}

void
registry_era_append_status (const struct control *c, JsonBuilder *b)
{
  const struct control_registry_era *e = &c->control_registry->era;

  json_builder_set_member_name (b, "store_era");
  json_builder_add_int_value (b, (gint64)e->store.seen);
  json_builder_set_member_name (b, "entry_era");
  json_builder_add_int_value (b, (gint64)e->entry_era);
  json_builder_set_member_name (b, "store_restores");
  json_builder_add_int_value (b, e->store.raises);
  json_builder_set_member_name (b, "entries_repaired");
  json_builder_add_int_value (b, (gint64)e->repair.written);
}

void
registry_era_close (struct control *c)
{
  str_free (&c->control_registry->era.config_held);
}
