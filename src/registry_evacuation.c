/* registry_evacuation: learns from the store and from other daemons which
   failure domains are evacuated.

   The daemons that watch the configuration also watch the evacuations.  A
   change makes them read the list, which has all evacuations and the revision
   at which the store had them.  All others learn the list from states.  */

#include "registry_evacuation.h"

#include "clock.h"
#include "logger.h"
#include "registry_era.h"

/* Constants */

#define PREFIX STR_LIT ("evacuations/")
/* A store may take 1.5 s for an answer; the answer to the watch and this list
   together have to come within the bound of 5 s.  */
#define CALL_TIMEOUT_US (INT64_C (2) * CLOCK_US_PER_S)
/* A daemon that starts does not wait for longer than this for the store if
   others know the evacuations.  */
#define STORE_WAIT_US (INT64_C (1) * CLOCK_US_PER_S)
/* As for the configuration, see registry_config.  */
#define WATCH_WAIT_US (INT64_C (30) * CLOCK_US_PER_S)
#define WATCH_TIMEOUT_US (WATCH_WAIT_US + INT64_C (2) * CLOCK_US_PER_S)
#define RETRY_MIN_US (INT64_C (100) * CLOCK_US_PER_MS)
#define RETRY_MAX_US (INT64_C (1) * CLOCK_US_PER_S)
#define RETRY_DOUBLINGS_MAX 4u
/* Time after the first state of another daemon in which the others are
   expected to send theirs: one that was cut off may have missed a change.  */
#define PEER_REPLIES_US (INT64_C (500) * CLOCK_US_PER_MS)
/* A restored store assigns revisions again, so the revision of a set begins with
   the era.  The store would have to make 2^48 changes in one era to reach
   it.  */
#define ERA_SHIFT 48
#define VERSION_MASK ((UINT64_C (1) << ERA_SHIFT) - 1)

/* Internal functions */

static bool
is_enabled (const struct control *c)
{
  return c->settings->evacuation_bound_ms > 0;
}

static void
log_change (const struct control *c, const char *event, struct str domain,
            const char *source)
{
  const struct evacuation *e = &c->control_registry->evacuation.known_set;

  LOGGER_WRITE (
      LOGGER_INFO, event, LOGGER_TEXT ("domain", domain),
      LOGGER_NUMBER ("revision", (int64_t)(e->revision & VERSION_MASK)),
      LOGGER_TEXT ("source", str_from_cstr (source)));
}

/* Returns true if the set of evacuated failure domains has changed.  */
static bool
apply (struct control *c, uint64_t revision,
       const struct evacuation_domains *domains, const char *source)
{
  struct control_registry *cr = c->control_registry;
  struct evacuation *e = &cr->evacuation.known_set;
  struct evacuation_domains old = evacuation_domains_copy (&e->domains);
  bool changed = evacuation_apply (e, revision, domains, clock_now_us ());

  for (uint32_t i = 0; changed && i < e->domains.len; i++)
    if (!evacuation_domains_contain (&old, e->domains.names[i]))
      log_change (c, "evacuation_began", e->domains.names[i], source);
  for (uint32_t i = 0; changed && i < old.len; i++)
    if (!evacuation_contains (e, old.names[i]))
      log_change (c, "evacuation_ended", old.names[i], source);
  evacuation_domains_close (&old);
  if (changed)
    cr->members_changed = true;
  metrics_set (c->shared->metric_rows.evacuation_revision,
               (int64_t)(e->revision & VERSION_MASK));
  return changed;
}

static void
record_failure (struct control *c, enum err_kind error)
{
  struct registry_evacuation *r = &c->control_registry->evacuation;
  uint32_t doublings = MIN (r->failures, RETRY_DOUBLINGS_MAX);

  if (r->failures++ == 0)
    LOGGER_WRITE (
        LOGGER_WARNING, "evacuations_unreadable",
        LOGGER_TEXT ("error", str_from_cstr (err_get_answer (error)->name)));
  r->needs_list = true;
  r->retry_us
      = clock_now_us () + MIN (RETRY_MIN_US << doublings, RETRY_MAX_US);
}

/* A store without objects of the kind may answer that it does not know the
   kind.  The last object was then removed after the known revision.  It is
   asked again like a store that fails, since there is no revision to watch
   from.  */
static void
record_missing_kind (struct control *c)
{
  struct control_registry *cr = c->control_registry;
  const struct evacuation *e = &cr->evacuation.known_set;
  struct evacuation_domains none = { 0 };

  if (e->domains.len > 0 && apply (c, e->revision + 1, &none, "store"))
    cr->next_state_us = 0;
  cr->evacuation.known = true;
  cr->evacuation.failures = 0;
  cr->evacuation.retry_us = clock_now_us () + RETRY_MAX_US;
}

static void
on_listed (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct control_registry *cr = c->control_registry;
  struct evacuation_domains domains = { 0 };
  bool complete = a->next.len == 0;

  cr->evacuation.pending = false;
  if (!registry_era_accept (c, a, STORE_ERA_ANY))
    return;
  if (a->error == ERR_NOT_FOUND || a->error == ERR_BAD_REQUEST)
    {
      record_missing_kind (c);
      return;
    }
  if (a->error != ERR_NONE)
    {
      record_failure (c, a->error);
      return;
    }
  for (uint32_t i = 0; i < a->objects_len; i++)
    complete &= evacuation_domains_add (
        &domains,
        str_slice (a->objects[i].key, PREFIX.len, a->objects[i].key.len));
  if (!complete)
    LOGGER_WRITE (LOGGER_WARNING, "evacuations_exceed_limit",
                  LOGGER_NUMBER ("limit", EVACUATION_DOMAINS_MAX));
  cr->evacuation.failures = 0;
  cr->evacuation.needs_list = false;
  cr->evacuation.known = true;
  cr->evacuation.store_version = a->version;
  cr->evacuation.store_era = cr->era.store.seen;
  apply (c, cr->era.store.seen << ERA_SHIFT | a->version, &domains, "store");
  /* All others learn it from the states of those that watch.  Each of these
     tells them, also one that has already heard of the change: another watcher
     may not reach them.  */
  cr->next_state_us = 0;
}

/* A watch only tells that something has changed.  Its events are not applied:
   the platform does not say which revision the event of a removal has.  */
static void
on_watched (void *data, const struct object_store_answer *a)
{
  struct control *c = data;
  struct registry_evacuation *r = &c->control_registry->evacuation;

  r->pending = false;
  if (!registry_era_accept (c, a, r->store_era)
      || a->error == ERR_STORE_CONFLICT || a->objects_len > 0)
    r->needs_list = true;
  else if (a->error != ERR_NONE)
    record_failure (c, a->error);
  else
    r->store_version = MAX (r->store_version, a->version);
}

static void
read_store (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct registry_evacuation *r = &cr->evacuation;
  struct object_store_call call
      = { .timeout_us = CALL_TIMEOUT_US, .done = on_listed, .data = c };

  /* Between two terms as a watcher the store may have changed unnoticed.  */
  if (cr->watching && !r->watching)
    r->needs_list = true;
  r->watching = cr->watching;
  if (cr->store == NULL || r->pending || now_us < r->retry_us
      || c->shutting_down || (!cr->watching && r->known))
    return;
  r->pending = true;
  r->asked_us = now_us;
  if (r->needs_list)
    {
      cr->store->ops->list (cr->store, PREFIX, STR_EMPTY, false, &call);
      return;
    }
  call.timeout_us = WATCH_TIMEOUT_US;
  call.done = on_watched;
  cr->store->ops->watch (cr->store, PREFIX, r->store_version, WATCH_WAIT_US,
                         false, &call);
}

/* Uses what other daemons know only after a call to the store has failed or
   takes long.  */
static void
learn_without_store (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;
  struct registry_evacuation *r = &cr->evacuation;

  if (r->known)
    return;
  r->known
      = cr->store == NULL
        || ((r->failures > 0 || now_us - r->asked_us >= STORE_WAIT_US)
            && r->heard_us > 0 && now_us - r->heard_us >= PEER_REPLIES_US);
}

static void
notify_serve (struct control *c)
{
  struct control_registry *cr = c->control_registry;
  struct registry_evacuation *r = &cr->evacuation;
  bool evacuated
      = evacuation_contains (&r->known_set, c->settings->failure_domain);
  struct thread_message *message;

  if (!r->known || (r->notified && r->notified_evacuated == evacuated))
    return;
  /* From now on the backend server may get requests.  Of later changes the
     others learn from the watchers: a whole failure domain must not send states
     to the whole fleet at once.  */
  if (!r->notified)
    cr->next_state_us = 0;
  r->notified = true;
  r->notified_evacuated = evacuated;
  cr->members_changed = true;
  metrics_set (c->shared->metric_rows.evacuated, evacuated);
  message = thread_message_create (THREAD_MESSAGE_EVACUATION);
  message->evacuated = evacuated;
  mailbox_send (c->shared->serve, message);
}

static bool
is_domain (const struct snapshot_endpoint *e, struct str name)
{
  return e->domain == (uint32_t)str_hash (name);
}

static bool
is_evacuated (const struct evacuation *e, const struct snapshot_endpoint *p)
{
  for (uint32_t i = 0; i < e->domains.len; i++)
    if (is_domain (p, e->domains.names[i]))
      return true;
  return false;
}

/* Public functions */

void
registry_evacuation_run (struct control *c, int64_t now_us)
{
  if (!is_enabled (c))
    return;
  read_store (c, now_us);
  learn_without_store (c, now_us);
  notify_serve (c);
}

void
registry_evacuation_record (struct control *c,
                            const struct daemon_registry_state *state)
{
  struct registry_evacuation *r = &c->control_registry->evacuation;

  if (!is_enabled (c) || state->evacuation_revision == 0)
    return;
  if (r->heard_us == 0)
    r->heard_us = clock_now_us ();
  apply (c, state->evacuation_revision, &state->evacuated, "daemon");
}

void
registry_evacuation_fill (const struct control *c,
                          struct daemon_registry_state *state)
{
  const struct evacuation *e = &c->control_registry->evacuation.known_set;

  state->evacuation_revision = e->revision;
  state->evacuated = e->domains;
}

bool
registry_evacuation_is_known (const struct control *c)
{
  return !is_enabled (c) || c->control_registry->evacuation.known;
}

void
registry_evacuation_filter (const struct control *c, GArray *endpoints)
{
  const struct evacuation *e = &c->control_registry->evacuation.known_set;
  guint kept = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      struct snapshot_endpoint p
          = g_array_index (endpoints, struct snapshot_endpoint, i);

      if (is_evacuated (e, &p))
        continue;
      for (uint32_t d = 0; d < e->ended.len; d++)
        if (is_domain (&p, e->ended.names[d]))
          p.announced_us = MAX (p.announced_us, e->ended_us[d]);
      g_array_index (endpoints, struct snapshot_endpoint, kept++) = p;
    }
  g_array_set_size (endpoints, kept);
}
