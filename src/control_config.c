/* control_config: component of the control thread that keeps the configuration
   of this daemon current.

   The journal is the log of configuration changes in the platform (see
   journal.h).  Keyed routes are those that require an API key.  They are
   served only while recent freshness evidence (see freshness.h) shows that the
   configuration is current.  */

#include "control_config.h"

#include "change_json.h"
#include "clock.h"
#include "control_gossip.h"
#include "inventory_json.h"
#include "logger.h"
#include "wire_snapshot.h"

#include <string.h>

/* Constants */

#define CHANGES_PREFIX STR_LIT ("changes/")
/* Freshness evidence is dated from when its watch was sent.  A read is
   therefore up to WATCH_WAIT_US old when it is recorded, and an outage report,
   which follows a watch that timed out, WATCH_TIMEOUT_US.  Both ages count
   against the freshness bound of every daemon.  */
#define WATCH_WAIT_US (INT64_C (100) * CLOCK_US_PER_MS)
#define WATCH_TIMEOUT_US (INT64_C (300) * CLOCK_US_PER_MS)
#define CALL_TIMEOUT_US (INT64_C (2) * CLOCK_US_PER_S)
#define LOAD_TIMEOUT_US (INT64_C (10) * CLOCK_US_PER_S)
#define RETRY_DELAY_US (INT64_C (100) * CLOCK_US_PER_MS)
/* Time after the start in which a daemon waits for its seeds, the peers named
   in its settings, to answer.  A daemon that knows no other daemon would
   choose itself as a watcher.  */
#define JOIN_WAIT_US (INT64_C (2) * CLOCK_US_PER_S)
#define STORE_CONNECTIONS 2u
#define LEASE_STORE_CONNECTIONS 8u
#define SNAPSHOT_MAX_BYTES ((uint64_t)64 << 20)

/* Internal functions: applying changes */

static bool
apply_change (struct control *c, struct str bytes)
{
  GError *error = NULL;
  struct change change;
  bool ok = change_json_load (&change, bytes, &error);

  if (ok)
    {
      ok = change_apply (&c->inventory, &change, &error);
      change_close (&change);
    }
  if (ok)
    {
      control_set_config_changed (c);
      return true;
    }
  LOGGER_WRITE (LOGGER_ERROR, "change_rejected",
                LOGGER_NUMBER ("revision", (int64_t)c->inventory.revision + 1),
                LOGGER_TEXT ("reason", str_from_cstr (error->message)));
  g_error_free (error);
  return false;
}

/* Applies, in order of revision, the changes received by gossip or from the
   platform.  Stops at a change that cannot be applied: the freshness evidence
   then shows a higher revision than the one applied, so that requests to keyed
   routes are refused.  */
static void
apply_changes (struct control *c)
{
  struct control_config *cc = c->control_config;
  const struct gossip *g = &c->control_gossip->gossip;

  while (!cc->apply_failed)
    {
      struct str bytes = gossip_get_change (g, c->inventory.revision + 1);

      if (bytes.len == 0)
        return;
      cc->apply_failed = !apply_change (c, bytes);
    }
}

/* Internal functions: reading the platform */

static bool
parse_revision (struct str key, uint64_t *revision)
{
  return str_has_prefix (key, CHANGES_PREFIX)
         && str_parse_u64 (str_slice (key, CHANGES_PREFIX.len, key.len),
                           revision);
}

static void
record_read_failure (struct control *c, enum err_kind error)
{
  struct control_config *cc = c->control_config;

  cc->next_call_us = clock_now_us () + RETRY_DELAY_US;
  freshness_record_unreachable (
      &c->control_gossip->fresh,
      member_hash_domain (c->settings->failure_domain), cc->call_sent_us);
  LOGGER_WRITE (
      LOGGER_DEBUG, "platform_read_failed",
      LOGGER_TEXT ("error", str_from_cstr (err_get_answer (error)->name)));
}

static void
stop_loading (struct control_config *cc)
{
  if (cc->journal_open)
    journal_close (&cc->journal);
  cc->journal_open = false;
}

/* Keeps the inventory in effect if peers have sent a newer revision during the
   load.  */
static void
finish_loading (struct control *c)
{
  struct control_config *cc = c->control_config;
  uint64_t revision = cc->journal.inv.revision;

  cc->highest_revision = MAX (cc->highest_revision, revision);
  cc->phase = CONTROL_CONFIG_WATCHING;
  if (revision > c->inventory.revision || c->config == NULL)
    {
      inventory_close (&c->inventory);
      inventory_copy (&c->inventory, &cc->journal.inv);
      cc->apply_failed = false;
      gossip_set_revision (&c->control_gossip->gossip, revision);
      control_set_config_changed (c);
    }
  stop_loading (cc);
}

static void
check_load_result (struct control *c)
{
  struct control_config *cc = c->control_config;

  if (cc->journal.result == JOURNAL_RUNNING)
    return;
  if (cc->journal.result == JOURNAL_LOADED)
    {
      finish_loading (c);
      return;
    }
  if (cc->journal.result == JOURNAL_CORRUPT)
    LOGGER_WRITE (LOGGER_ERROR, "configuration_unreadable",
                  LOGGER_TEXT ("reason", str_view (&cc->journal.problems)));
  record_read_failure (c, ERR_STORE_UNAVAILABLE);
  stop_loading (cc);
}

static void
on_load_answer (void *data, const struct object_store_answer *answer)
{
  struct control *c = data;
  struct control_config *cc = c->control_config;

  cc->call_pending = false;
  if (answer->error == ERR_STORE_UNAVAILABLE)
    record_read_failure (c, answer->error);
  /* The watch starts at the version of the first list, so that it reports
     changes written during the load.  */
  if (cc->platform_version == 0 && cc->journal.step == JOURNAL_LIST)
    cc->platform_version = answer->version;
  journal_handle_answer (&cc->journal, answer, clock_now_us ());
  check_load_result (c);
}

static void
load_journal (struct control *c, int64_t now_us)
{
  struct control_config *cc = c->control_config;
  const struct object_store_ops *ops = cc->store->ops;
  struct object_store_call call = { CALL_TIMEOUT_US, on_load_answer, c };
  struct journal_action action;

  if (!cc->journal_open)
    {
      cc->journal_open = true;
      cc->platform_version = 0;
      journal_init (&cc->journal);
      journal_load (&cc->journal, 0, now_us + LOAD_TIMEOUT_US);
    }
  if (!journal_next_action (&cc->journal, now_us, &action))
    {
      check_load_result (c);
      return;
    }
  cc->call_pending = true;
  cc->call_sent_us = now_us;
  if (action.verb == JOURNAL_ACTION_LIST)
    ops->list (cc->store, action.key, action.after, true, &call);
  else
    ops->get (cc->store, action.key, &call);
}

static void
on_watch_answer (void *data, const struct object_store_answer *answer)
{
  struct control *c = data;
  struct control_config *cc = c->control_config;

  cc->call_pending = false;
  if (answer->error != ERR_NONE)
    {
      record_read_failure (c, answer->error);
      return;
    }
  for (uint32_t i = 0; i < answer->objects_len; i++)
    {
      const struct object_store_object *o = &answer->objects[i];
      uint64_t revision;

      if (o->deleted || !parse_revision (o->key, &revision))
        continue;
      cc->highest_revision = MAX (cc->highest_revision, revision);
      gossip_add_change (&c->control_gossip->gossip, revision, o->value);
    }
  /* There are more changes than fit in one answer: load them as after a
     start.  */
  if (answer->next.len > 0)
    {
      cc->phase = CONTROL_CONFIG_LOADING;
      return;
    }
  cc->platform_version = answer->version;
  freshness_record_read (&c->control_gossip->fresh, cc->highest_revision,
                         cc->call_sent_us);
}

/* Returns true if this daemon is a watcher whose next call is due.  */
static bool
is_call_due (struct control *c, int64_t now_us)
{
  const struct control_config *cc = c->control_config;
  const struct control_gossip *g = c->control_gossip;

  if (cc->store == NULL || cc->call_pending || now_us < cc->next_call_us
      || !g->watcher)
    return false;
  return c->settings->seeds.len == 0 || g->members.alive > 1
         || now_us >= cc->started_us + JOIN_WAIT_US;
}

static void
read_platform (struct control *c, int64_t now_us)
{
  struct control_config *cc = c->control_config;
  struct object_store_call watch = { WATCH_TIMEOUT_US, on_watch_answer, c };

  if (!is_call_due (c, now_us))
    return;
  if (cc->phase == CONTROL_CONFIG_LOADING)
    {
      load_journal (c, now_us);
      return;
    }
  cc->call_pending = true;
  cc->call_sent_us = now_us;
  cc->store->ops->watch (cc->store, CHANGES_PREFIX, cc->platform_version,
                         WATCH_WAIT_US, true, &watch);
}

/* Internal functions: snapshots between daemons */

static void
send_snapshot_part (struct control *c, uint64_t link,
                    const struct wire_pull_snapshot *pull)
{
  struct control_config *cc = c->control_config;
  struct wire_snapshot m;
  struct str_buf out = { 0 };

  if (c->inventory.revision == 0)
    return;
  /* A peer that has received parts of a snapshot gets the other parts of the
     same one.  */
  if (pull->revision != cc->offered_revision || cc->offered_revision == 0)
    {
      str_reset (&cc->offered_snapshot);
      inventory_json_append (&cc->offered_snapshot, &c->inventory);
      cc->offered_revision = c->inventory.revision;
    }
  m.revision = cc->offered_revision;
  m.total_bytes = cc->offered_snapshot.len;
  m.offset = pull->revision == cc->offered_revision ? pull->offset : 0;
  m.part = str_slice (str_view (&cc->offered_snapshot), m.offset,
                      m.offset + WIRE_SNAPSHOT_PART_BYTES);
  wire_snapshot_append (&out, &m);
  control_reply (c, link, str_view (&out));
  str_reset (&out);
}

static void
send_snapshot_pull (struct control *c, uint64_t link)
{
  struct control_config *cc = c->control_config;
  struct wire_pull_snapshot m
      = { cc->incoming_revision, cc->incoming_snapshot.len };
  struct str_buf out = { 0 };

  wire_snapshot_append_pull (&out, &m);
  control_reply (c, link, str_view (&out));
  str_reset (&out);
}

/* Drops a snapshot that is not newer than the configuration in effect, so that
   the revision never decreases.  */
static void
apply_snapshot (struct control *c)
{
  struct control_config *cc = c->control_config;
  struct inventory loaded;
  GError *error = NULL;

  if (!inventory_json_load (&loaded, str_view (&cc->incoming_snapshot),
                            &error))
    {
      LOGGER_WRITE (LOGGER_ERROR, "snapshot_rejected",
                    LOGGER_TEXT ("reason", str_from_cstr (error->message)));
      g_error_free (error);
      return;
    }
  if (loaded.revision <= c->inventory.revision)
    {
      inventory_close (&loaded);
      return;
    }
  inventory_close (&c->inventory);
  c->inventory = loaded;
  cc->apply_failed = false;
  gossip_set_revision (&c->control_gossip->gossip, loaded.revision);
  control_set_config_changed (c);
}

static void
add_snapshot_part (struct control *c, uint64_t link,
                   const struct wire_snapshot *m)
{
  struct control_config *cc = c->control_config;

  if (m->revision <= c->inventory.revision
      || m->total_bytes > SNAPSHOT_MAX_BYTES)
    return;
  if (m->offset == 0)
    {
      str_reset (&cc->incoming_snapshot);
      cc->incoming_revision = m->revision;
    }
  if (m->revision != cc->incoming_revision
      || m->offset != cc->incoming_snapshot.len || m->part.len == 0)
    return;
  str_append (&cc->incoming_snapshot, m->part);
  if (cc->incoming_snapshot.len < m->total_bytes)
    {
      send_snapshot_pull (c, link);
      return;
    }
  apply_snapshot (c);
  str_reset (&cc->incoming_snapshot);
  cc->incoming_revision = 0;
}

static bool
on_frame (struct control *c, uint64_t link, uint32_t type, struct str frame)
{
  struct wire_pull_snapshot pull;
  struct wire_snapshot part;

  if (type == WIRE_PULL_SNAPSHOT && wire_snapshot_load_pull (&pull, frame))
    {
      send_snapshot_part (c, link, &pull);
      return true;
    }
  if (type == WIRE_SNAPSHOT && wire_snapshot_load (&part, frame))
    {
      add_snapshot_part (c, link, &part);
      return true;
    }
  return false;
}

/* Internal functions: component */

static bool
init_component (struct control *c, GError **error)
{
  const struct settings *s = c->settings;
  struct control_config *cc = g_new0 (struct control_config, 1);

  c->control_config = cc;
  cc->started_us = clock_now_us ();
  if (s->platform.address.len > 0)
    {
      cc->store = object_store_create_http (c->loop.base, s->platform.address,
                                            (uint16_t)s->platform.port,
                                            STORE_CONNECTIONS);
      cc->lease_store = object_store_create_http (
          c->loop.base, s->platform.address, (uint16_t)s->platform.port,
          LEASE_STORE_CONNECTIONS);
    }
  return true;
}

static void
close_component (struct control *c)
{
  struct control_config *cc = c->control_config;

  if (cc == NULL)
    return;
  if (cc->store != NULL)
    cc->store->ops->unload (cc->store);
  if (cc->lease_store != NULL)
    cc->lease_store->ops->unload (cc->lease_store);
  stop_loading (cc);
  str_reset (&cc->incoming_snapshot);
  str_reset (&cc->offered_snapshot);
  g_free (cc);
  c->control_config = NULL;
}

static void
run_component (struct control *c, int64_t now_us)
{
  read_platform (c, now_us);
  apply_changes (c);
}

/* State */

const struct control_component_ops control_config_ops = {
  .name = "config",
  .init = init_component,
  .close = close_component,
  .on_frame = on_frame,
  .run = run_component,
};

/* Public functions */

/**
 * control_config_pull_snapshot - requests the configuration from a peer
 * @c: control thread
 * @link: link to the peer
 *
 * Called when the peer no longer holds the changes that this daemon lacks.
 */
void
control_config_pull_snapshot (struct control *c, uint64_t link)
{
  struct control_config *cc = c->control_config;

  str_reset (&cc->incoming_snapshot);
  cc->incoming_revision = 0;
  send_snapshot_pull (c, link);
}
