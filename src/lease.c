/* lease: shard leases with epochs, named candidates and promises.  */

#include "lease.h"

#include "str.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define US_PER_MS 1000
/* The second candidate waits longer than the first one by a term divided by
   this.  */
#define SECOND_CANDIDATE_DIVISOR 6
/* A holder renews its lease at intervals of a term divided by this.  */
#define RENEW_DIVISOR 3
/* A candidate reads the object when the holder requests a promise, as holders
   do after each renewal.  Without such requests the candidate polls at
   intervals of a term divided by this.  */
#define POLL_DIVISOR 2
/* The preferred daemon of a shard that another daemon holds reads the object
   at intervals of the abandon time divided by this.  */
#define OBSERVER_POLL_DIVISOR 60

/* Internal functions: times and roles */

static bool
is_rule_enabled (const struct lease_table *t, enum lease_rule rule)
{
  return (t->settings.disabled_rules & (uint32_t)rule) == 0;
}

static int64_t
ms_to_us (uint32_t ms)
{
  return (int64_t)ms * US_PER_MS;
}

static int64_t
add_drift (int64_t span_us)
{
  return span_us + span_us / LEASE_DRIFT_DIVISOR;
}

static bool
is_holder (const struct lease_table *t, const struct lease_shard *s)
{
  return s->version != 0 && !s->object.released
         && lease_equal_daemon (s->object.holder, t->self);
}

/* Returns the index of this daemon among the candidates, or -1.  */
static int
find_candidate (const struct lease_table *t, const struct lease_shard *s)
{
  if (s->version == 0)
    return -1;
  for (uint32_t i = 0; i < LEASE_CANDIDATES; i++)
    {
      struct lease_daemon c = s->object.candidates[i];

      if (lease_equal_daemon (c, t->self)
          || (!is_rule_enabled (t, LEASE_RULE_INCARNATION)
              && c.id == t->self.id))
        return (int)i;
    }
  return -1;
}

static int64_t
get_lease_end (const struct lease_shard *s)
{
  if (s->lease_start_us == LEASE_NO_TIME)
    return LEASE_NO_TIME;
  return s->lease_start_us + ms_to_us (s->object.term_ms);
}

/* Returns the daemon at an index among the promisers: the candidates that the
   object names and, after them, the pending candidates, which a write with
   unknown outcome named.  The id is 0 if the entry is empty.  */
static struct lease_daemon
get_promiser (const struct lease_shard *s, uint32_t i)
{
  return i < LEASE_CANDIDATES ? s->object.candidates[i]
                              : s->pending[i - LEASE_CANDIDATES];
}

/* Returns the time until which all promisers have promised not to take over.
   Without candidates no daemon takes over before the abandon time.  */
static int64_t
get_promises_end (const struct lease_shard *s)
{
  int64_t end = INT64_MAX;

  if (s->pending_overflow)
    return LEASE_NO_TIME;
  for (uint32_t i = 0; i < LEASE_PROMISERS; i++)
    if (get_promiser (s, i).id != 0)
      end = MIN (end, s->promise_until_us[i]);
  return end;
}

static void
clear_promise (struct lease_shard *s, uint32_t i)
{
  s->promise_until_us[i] = LEASE_NO_TIME;
  s->promise_requested_us[i] = LEASE_NO_TIME;
  s->promise_request[i] = 0;
}

/* Returns the index of a daemon among the promisers, or LEASE_PROMISERS if it
   is none of them.  */
static uint32_t
find_promiser (const struct lease_shard *s, struct lease_daemon daemon)
{
  for (uint32_t i = 0; i < LEASE_PROMISERS; i++)
    if (lease_equal_daemon (get_promiser (s, i), daemon))
      return i;
  return LEASE_PROMISERS;
}

/* Records the candidates of a write with unknown outcome.  From now on the
   holder needs their promises too.  */
static void
add_pending (struct lease_shard *s, const struct lease_object *object)
{
  for (uint32_t i = 0; i < LEASE_CANDIDATES; i++)
    {
      struct lease_daemon daemon = object->candidates[i];
      uint32_t index = 0;

      if (daemon.id == 0 || find_promiser (s, daemon) < LEASE_PROMISERS)
        continue;
      while (index < LEASE_PENDING_CANDIDATES && s->pending[index].id != 0)
        index++;
      if (index == LEASE_PENDING_CANDIDATES)
        {
          s->pending_overflow = true;
          return;
        }
      s->pending[index] = daemon;
      clear_promise (s, LEASE_CANDIDATES + index);
    }
}

/* Returns the time until which a holder may grant: the end of its term or of
   the promises, but not the last margin before the abandon time.  */
static int64_t
get_hold_end (const struct lease_table *t, const struct lease_shard *s)
{
  const struct lease_settings *settings = &t->settings;
  int64_t abandon = ms_to_us (settings->abandon_ms);
  int64_t margin = ms_to_us (settings->abandon_margin_ms);
  int64_t end;

  if (s->lease_start_us == LEASE_NO_TIME)
    return LEASE_NO_TIME;
  end = MAX (get_lease_end (s), get_promises_end (s));
  return MIN (end, s->lease_start_us + abandon - margin);
}

/* Returns the time until which grants of the previous holder may be valid.  */
static int64_t
get_previous_grants_end (const struct lease_table *t,
                         const struct lease_shard *s)
{
  int64_t wait = ms_to_us (t->settings.round_trip_ms)
                 + add_drift (ms_to_us (t->settings.grant_validity_ms));

  if (s->takeover_us == LEASE_NO_TIME || !is_rule_enabled (t, LEASE_RULE_WAIT))
    return LEASE_NO_TIME;
  return s->takeover_us + wait;
}

/* Returns true if a takeover write of this daemon is pending or can still take
   effect.  */
static bool
is_taking_over (const struct lease_shard *s)
{
  bool writing = s->op == LEASE_WRITE_PENDING
                 && s->write_object.epoch != s->object.epoch;

  return writing || (s->unresolved && s->unresolved_takeover);
}

static enum lease_state
get_state (const struct lease_table *t, const struct lease_shard *s,
           int64_t now_us)
{
  if (is_holder (t, s))
    {
      if (now_us >= get_hold_end (t, s))
        return LEASE_EXPIRED;
      if (now_us < get_previous_grants_end (t, s))
        return LEASE_WAITING;
      return now_us < get_lease_end (s) ? LEASE_HOLDING : LEASE_EXTENDED;
    }
  if (is_taking_over (s))
    return LEASE_TAKING_OVER;
  if (now_us < s->promised_until_us)
    return LEASE_PROMISED;
  return find_candidate (t, s) >= 0 ? LEASE_CANDIDATE : LEASE_OBSERVER;
}

/* Returns the time from which this daemon may send a takeover write, or
   INT64_MAX if it must not.  */
static int64_t
get_takeover_time (const struct lease_table *t, const struct lease_shard *s)
{
  int candidate = find_candidate (t, s);
  int64_t term = ms_to_us (s->object.term_ms);
  int64_t abandon = ms_to_us (t->settings.abandon_ms);
  int64_t due = INT64_MAX;

  if (is_holder (t, s) || t->leaving)
    return INT64_MAX;
  if (s->version == 0)
    due = s->absent && s->preferred ? s->version_seen_us : INT64_MAX;
  else if (candidate >= 0 && s->object.released)
    due = s->version_seen_us + candidate * (term / SECOND_CANDIDATE_DIVISOR);
  else if (candidate >= 0)
    due = s->version_seen_us + add_drift (term)
          + candidate * (term / SECOND_CANDIDATE_DIVISOR);
  else if (s->preferred)
    due = s->version_seen_us + add_drift (abandon);
  if (is_rule_enabled (t, LEASE_RULE_PROMISE))
    due = MAX (due, s->promised_until_us);
  return due;
}

/* Internal functions: actions */

static struct lease_action *
add_action (struct lease_table *t, const struct lease_shard *s,
            enum lease_action_kind kind)
{
  void *row;
  struct lease_action *a;

  table_add (&t->actions, &row);
  a = row;
  a->kind = kind;
  a->shard = s->shard;
  a->epoch = s->object.epoch;
  return a;
}

static struct lease_action *
begin_operation (struct lease_table *t, struct lease_shard *s,
                 enum lease_operation op, int64_t now_us)
{
  struct lease_action *a
      = add_action (t, s, op == LEASE_READ_PENDING ? LEASE_READ : LEASE_WRITE);

  s->op = op;
  s->op_sent_us = now_us;
  s->op_request = ++t->last_request;
  a->request = s->op_request;
  a->version = s->version;
  return a;
}

static void
begin_read (struct lease_table *t, struct lease_shard *s, int64_t now_us)
{
  s->read_requested = false;
  begin_operation (t, s, LEASE_READ_PENDING, now_us);
}

static void
begin_write (struct lease_table *t, struct lease_shard *s, int64_t now_us)
{
  struct lease_object object = s->object;
  bool renewal = is_holder (t, s);

  if (!renewal)
    object = (struct lease_object){ .holder = t->self,
                                    .epoch = s->object.epoch + 1 };
  object.term_ms = t->settings.term_ms;
  object.released = renewal && t->leaving;
  if (!object.released)
    memcpy (object.candidates, s->next_candidates, sizeof object.candidates);
  s->write_object = object;
  begin_operation (t, s, LEASE_WRITE_PENDING, now_us)->object = object;
}

/* Updates the state of the row and starts or stops granting accordingly.  This
   is done before any other decision of a tick or an event.  */
static void
update_granting (struct lease_table *t, struct lease_shard *s, int64_t now_us)
{
  bool granting;

  s->state = get_state (t, s, now_us);
  granting = !t->leaving
             && (s->state == LEASE_HOLDING || s->state == LEASE_EXTENDED);
  if (granting == s->granting)
    return;
  s->granting = granting;
  add_action (t, s, granting ? LEASE_START_GRANTING : LEASE_STOP_GRANTING);
}

/* Internal functions: events */

static void
clear_unresolved (struct lease_shard *s)
{
  s->unresolved = false;
  s->unresolved_takeover = false;
  s->pending_overflow = false;
  memset (s->pending, 0, sizeof s->pending);
}

/* Copies the promises that the candidates of a new version have already made
   to their new indices.  */
static void
copy_promises (struct lease_shard *s, const struct lease_object *object,
               bool new_epoch)
{
  const struct lease_shard before = *s;

  for (uint32_t i = 0; i < LEASE_CANDIDATES; i++)
    {
      uint32_t index = new_epoch || object->candidates[i].id == 0
                           ? LEASE_PROMISERS
                           : find_promiser (&before, object->candidates[i]);

      clear_promise (s, i);
      if (index == LEASE_PROMISERS)
        continue;
      s->promise_until_us[i] = before.promise_until_us[index];
      s->promise_requested_us[i] = before.promise_requested_us[index];
      s->promise_request[i] = before.promise_request[index];
    }
}

/* Sets a version that is new to the row.  A write conditional on an older
   version can no longer take effect, so no write is unresolved.  The
   parameter sent_us is when this daemon decided to write that version, or
   LEASE_NO_TIME if it did not.  */
static void
apply_version (struct lease_table *t, struct lease_shard *s, uint64_t version,
               const struct lease_object *object, int64_t sent_us,
               int64_t now_us)
{
  bool new_epoch = object->epoch != s->object.epoch || s->version == 0;

  copy_promises (s, object, new_epoch);
  s->version = version;
  s->object = *object;
  s->absent = false;
  s->version_seen_us = now_us;
  s->lease_start_us = LEASE_NO_TIME;
  if (is_holder (t, s))
    {
      s->lease_start_us
          = is_rule_enabled (t, LEASE_RULE_TERM_FROM_SEND) ? sent_us : now_us;
      /* The first holder need not wait, since no daemon granted before it.  */
      if (new_epoch && object->epoch > LEASE_FIRST_EPOCH)
        s->takeover_us = sent_us != LEASE_NO_TIME ? sent_us : now_us;
    }
  clear_unresolved (s);
}

static void
end_operation (struct lease_shard *s, bool reachable, int64_t next_us)
{
  s->op = LEASE_NO_OPERATION;
  s->store_unreachable = !reachable;
  s->next_op_us = next_us;
}

static int64_t
get_next_poll (const struct lease_table *t, const struct lease_shard *s,
               int64_t now_us)
{
  int64_t term = ms_to_us (t->settings.term_ms);
  int64_t abandon = ms_to_us (t->settings.abandon_ms);

  if (is_holder (t, s) || find_candidate (t, s) >= 0 || s->version == 0)
    return now_us + term / POLL_DIVISOR;
  return now_us + abandon / OBSERVER_POLL_DIVISOR;
}

static void
apply_read (struct lease_table *t, struct lease_shard *s,
            const struct lease_event *e, int64_t now_us)
{
  s->read_first = false;
  if (e->version != s->version)
    apply_version (t, s, e->version, &e->object,
                   s->unresolved ? s->unresolved_sent_us : LEASE_NO_TIME,
                   now_us);
  /* A holder renews its lease right after a read; other daemons poll.  */
  end_operation (s, true,
                 is_holder (t, s) ? now_us : get_next_poll (t, s, now_us));
}

static void
apply_absent (struct lease_table *t, struct lease_shard *s, int64_t now_us)
{
  s->read_first = false;
  if (!s->absent)
    s->version_seen_us = now_us;
  s->absent = s->version == 0;
  end_operation (s, true, get_next_poll (t, s, now_us));
}

/* Requests the promises that are due.  A holder that reaches the platform also
   sends requests, but less often.  Each request makes the other daemon read
   the object, and so learn that it was named as candidate or that the shard
   was released.  */
static void
request_promises (struct lease_table *t, struct lease_shard *s, int64_t now_us)
{
  int64_t interval = s->store_unreachable
                         ? ms_to_us (t->settings.promise_interval_ms)
                         : ms_to_us (s->object.term_ms) / RENEW_DIVISOR;

  for (uint32_t i = 0; i < LEASE_PROMISERS; i++)
    {
      struct lease_daemon promiser = get_promiser (s, i);
      struct lease_action *a;

      if (promiser.id == 0 || s->promise_until_us[i] == INT64_MAX
          || (s->promise_requested_us[i] != LEASE_NO_TIME
              && now_us < s->promise_requested_us[i] + interval))
        continue;
      a = add_action (t, s, LEASE_REQUEST_PROMISE);
      a->peer = promiser;
      a->request = ++t->last_request;
      s->promise_requested_us[i] = now_us;
      s->promise_request[i] = a->request;
    }
}

static void
apply_written (struct lease_table *t, struct lease_shard *s,
               const struct lease_event *e, int64_t now_us)
{
  apply_version (t, s, e->version, &s->write_object, s->op_sent_us, now_us);
  end_operation (s, true,
                 s->op_sent_us + ms_to_us (s->object.term_ms) / RENEW_DIVISOR);
  /* A candidate that reads the new version immediately can take over as early
     as the rules allow, even if the platform fails before its next poll.  */
  for (uint32_t i = 0; i < LEASE_PROMISERS; i++)
    s->promise_requested_us[i] = LEASE_NO_TIME;
  request_promises (t, s, now_us);
}

static void
apply_unknown (struct lease_table *t, struct lease_shard *s, int64_t now_us)
{
  if (!s->unresolved)
    s->unresolved_sent_us = s->op_sent_us;
  s->unresolved = true;
  s->unresolved_takeover
      = s->unresolved_takeover || s->write_object.epoch != s->object.epoch;
  add_pending (s, &s->write_object);
  s->read_first = true;
  end_operation (s, false, now_us + ms_to_us (t->settings.retry_interval_ms));
}

/* Returns true if this daemon can promise not to take over.  It rejects the
   request if it reaches the platform, so that a holder that alone is cut off
   from the platform is replaced.  It also rejects the request if a takeover
   write of its own may still take effect.  */
static bool
can_promise (const struct lease_table *t, const struct lease_shard *s,
             uint64_t epoch)
{
  if (t->leaving || is_holder (t, s) || !s->store_unreachable
      || epoch < s->object.epoch)
    return false;
  return !is_taking_over (s) || !is_rule_enabled (t, LEASE_RULE_UNRESOLVED);
}

static void
reply_promise (struct lease_table *t, struct lease_shard *s,
               const struct lease_event *e, int64_t now_us)
{
  int64_t span = ms_to_us (t->settings.promise_ms);
  struct lease_action *a = add_action (t, s, LEASE_REPLY_PROMISE);

  a->peer = e->peer;
  a->request = e->request;
  a->epoch = e->epoch;
  if (t->started_us != LEASE_NO_TIME)
    a->age_ms
        = (uint32_t)MIN ((now_us - t->started_us) / US_PER_MS, UINT32_MAX);
  if (can_promise (t, s, e->epoch))
    {
      s->promised_until_us
          = MAX (s->promised_until_us, now_us + add_drift (span));
      a->promise_ms = t->settings.promise_ms;
    }
  else
    {
      s->read_requested = true;
      s->next_op_us = MIN (s->next_op_us, now_us);
    }
}

/* Returns true if a candidate's run (of its daemon's process) has certainly
   ended without trying to take over.  That is so if a later run has replied
   from the same address and started before the earlier run could have tried: a
   candidate waits for a term after the version that names it, and that version
   was written after lease_start_us.  */
static bool
has_ended (const struct lease_shard *s, struct lease_daemon candidate,
           const struct lease_event *e, int64_t now_us)
{
  int64_t age_us = ms_to_us (e->age_ms);
  int64_t began_us = now_us - (age_us - age_us / LEASE_DRIFT_DIVISOR);

  return candidate.id == e->peer.id
         && candidate.incarnation < e->peer.incarnation
         && e->first_incarnation_at_address != 0
         && e->first_incarnation_at_address <= candidate.incarnation
         && !s->object.released && s->lease_start_us != LEASE_NO_TIME
         && began_us <= get_lease_end (s);
}

static void
apply_promise_reply (struct lease_shard *s, const struct lease_event *e,
                     int64_t now_us)
{
  for (uint32_t i = 0; i < LEASE_PROMISERS; i++)
    {
      if (s->promise_request[i] == 0 || s->promise_request[i] != e->request
          || e->epoch != s->object.epoch)
        continue;
      /* A run that has ended never takes over, as if it had promised so.  */
      if (has_ended (s, get_promiser (s, i), e, now_us))
        s->promise_until_us[i] = INT64_MAX;
      if (!lease_equal_daemon (get_promiser (s, i), e->peer))
        continue;
      s->promise_request[i] = 0;
      if (e->promise_ms > 0)
        s->promise_until_us[i]
            = MAX (s->promise_until_us[i],
                   s->promise_requested_us[i] + ms_to_us (e->promise_ms));
    }
}

/* Applies the answer of the platform to the pending operation.  */
static void
apply_answer (struct lease_table *t, struct lease_shard *s,
              const struct lease_event *e, int64_t now_us)
{
  switch (e->kind)
    {
    case LEASE_EVENT_READ:
      apply_read (t, s, e, now_us);
      break;
    case LEASE_EVENT_ABSENT:
      apply_absent (t, s, now_us);
      break;
    case LEASE_EVENT_WRITTEN:
      apply_written (t, s, e, now_us);
      break;
    case LEASE_EVENT_CONFLICT:
      s->read_first = true;
      end_operation (s, true, now_us);
      break;
    case LEASE_EVENT_UNKNOWN:
      apply_unknown (t, s, now_us);
      break;
    default:
      end_operation (s, false,
                     now_us + ms_to_us (t->settings.retry_interval_ms));
      break;
    }
}

/* Internal functions: one shard in one tick */

static void
run_holder (struct lease_table *t, struct lease_shard *s, int64_t now_us)
{
  if (!t->leaving && s->state != LEASE_EXPIRED)
    request_promises (t, s, now_us);
  /* At shutdown the shard is released at once if the platform answers.  */
  if (s->op != LEASE_NO_OPERATION
      || (now_us < s->next_op_us && !(t->leaving && !s->store_unreachable)))
    return;
  if (s->read_first)
    begin_read (t, s, now_us);
  else
    begin_write (t, s, now_us);
}

static void
run_non_holder (struct lease_table *t, struct lease_shard *s, int64_t now_us)
{
  bool due = now_us >= get_takeover_time (t, s);

  if (s->op != LEASE_NO_OPERATION)
    return;
  if (due && !s->read_first && !s->store_unreachable)
    begin_write (t, s, now_us);
  else if (now_us >= s->next_op_us
           && (s->preferred || s->unresolved || s->read_requested
               || find_candidate (t, s) >= 0))
    begin_read (t, s, now_us);
}

/* Public functions */

struct lease_settings
lease_get_defaults (void)
{
  return (struct lease_settings){ .shards = 8,
                                  .term_ms = 6000,
                                  .promise_ms = 4000,
                                  .promise_interval_ms = 500,
                                  .retry_interval_ms = 250,
                                  .round_trip_ms = 500,
                                  .grant_validity_ms = 1000,
                                  .abandon_ms = 3600 * 1000,
                                  .abandon_margin_ms = 60 * 1000 };
}

/**
 * lease_init_table - adds the rows of all shards
 * @t: table
 * @self: this run of the daemon; a restart must have another incarnation
 * @settings: settings, copied
 */
void
lease_init_table (struct lease_table *t, struct lease_daemon self,
                  const struct lease_settings *settings)
{
  *t = (struct lease_table){ .settings = *settings,
                             .self = self,
                             .started_us = LEASE_NO_TIME };
  t->shards = g_new0 (struct lease_shard, settings->shards);
  table_init (&t->actions, sizeof (struct lease_action));
  for (uint32_t i = 0; i < settings->shards; i++)
    {
      struct lease_shard *s = &t->shards[i];

      s->shard = i;
      s->lease_start_us = LEASE_NO_TIME;
      s->takeover_us = LEASE_NO_TIME;
      s->promised_until_us = LEASE_NO_TIME;
      for (uint32_t k = 0; k < LEASE_PROMISERS; k++)
        clear_promise (s, k);
    }
}

void
lease_close_table (struct lease_table *t)
{
  g_free (t->shards);
  table_close (&t->actions);
  t->shards = NULL;
}

/**
 * lease_set_candidates - sets the candidates that this daemon would write
 * @t: table
 * @shard: shard
 * @candidates: candidates for the next write; an id of 0 leaves an entry empty
 * @preferred: whether this daemon creates the shard if it does not exist and
 *             takes it over if it was abandoned
 *
 * Called when membership changes.  A holder writes new candidates with its
 * next renewal.
 */
void
lease_set_candidates (struct lease_table *t, uint32_t shard,
                      const struct lease_daemon candidates[LEASE_CANDIDATES],
                      bool preferred)
{
  struct lease_shard *s = &t->shards[shard];

  memcpy (s->next_candidates, candidates, sizeof s->next_candidates);
  s->preferred = preferred;
}

static uint64_t
get_hash_weight (uint32_t shard, struct lease_daemon daemon)
{
  uint64_t key[2] = { shard, daemon.id };

  return str_hash ((struct str){ sizeof key, (const char *)key });
}

static const struct lease_member *
choose_member (uint32_t shard, const struct lease_member *members,
               uint32_t len, const struct lease_member *const *chosen,
               uint32_t chosen_len, bool other_domains)
{
  const struct lease_member *best = NULL;

  for (uint32_t i = 0; i < len; i++)
    {
      const struct lease_member *m = &members[i];
      bool usable = true;

      for (uint32_t k = 0; k < chosen_len; k++)
        usable = usable && m->daemon.id != chosen[k]->daemon.id
                 && (!other_domains || m->domain != chosen[k]->domain);
      if (usable
          && (best == NULL
              || get_hash_weight (shard, m->daemon)
                     > get_hash_weight (shard, best->daemon)))
        best = m;
    }
  return best;
}

/**
 * lease_choose_candidates - chooses the holder and candidates of a shard
 * @shard: shard
 * @members: live members
 * @len: number of @members
 * @holder: holder to choose candidates for, or id 0 to choose the member that
 *          ranks first as holder
 * @candidates: receives the candidates
 *
 * Rendezvous hashing spreads the shards over the members and moves few of
 * them when one joins or leaves.  Each candidate is in another failure domain
 * than the holder and the other candidates, if there are enough domains.
 *
 * Return: the holder, or id 0 if there are no members.
 */
struct lease_daemon
lease_choose_candidates (uint32_t shard, const struct lease_member *members,
                         uint32_t len, struct lease_daemon holder,
                         struct lease_daemon candidates[LEASE_CANDIDATES])
{
  const struct lease_member *chosen[LEASE_CANDIDATES + 1] = { NULL };
  uint32_t chosen_len = 0;

  memset (candidates, 0, LEASE_CANDIDATES * sizeof *candidates);
  for (uint32_t i = 0; i < len && holder.id != 0; i++)
    if (members[i].daemon.id == holder.id)
      chosen[0] = &members[i];
  if (chosen[0] == NULL)
    chosen[0] = choose_member (shard, members, len, NULL, 0, false);
  if (chosen[0] == NULL)
    return (struct lease_daemon){ 0 };
  chosen_len = 1;
  for (uint32_t i = 0; i < LEASE_CANDIDATES; i++)
    {
      const struct lease_member *m
          = choose_member (shard, members, len, chosen, chosen_len, true);

      if (m == NULL)
        m = choose_member (shard, members, len, chosen, chosen_len, false);
      if (m == NULL)
        break;
      candidates[i] = m->daemon;
      chosen[chosen_len++] = m;
    }
  return chosen[0]->daemon;
}

/**
 * lease_apply_event - applies an answer of the platform or of a peer
 * @t: table
 * @e: event; an answer to an operation that is no longer pending is ignored
 * @now_us: current time, read after the event was received
 */
void
lease_apply_event (struct lease_table *t, const struct lease_event *e,
                   int64_t now_us)
{
  struct lease_shard *s;

  if (e->shard >= t->settings.shards)
    return;
  s = &t->shards[e->shard];
  update_granting (t, s, now_us);
  if (e->kind == LEASE_EVENT_PROMISE_REQUEST)
    reply_promise (t, s, e, now_us);
  else if (e->kind == LEASE_EVENT_PROMISE_REPLY)
    apply_promise_reply (s, e, now_us);
  else if (s->op != LEASE_NO_OPERATION && s->op_request == e->request)
    apply_answer (t, s, e, now_us);
  update_granting (t, s, now_us);
}

/**
 * lease_run - adds the actions that are due in all shards
 * @t: table
 * @now_us: current time
 */
void
lease_run (struct lease_table *t, int64_t now_us)
{
  for (uint32_t i = 0; i < t->settings.shards; i++)
    {
      struct lease_shard *s = &t->shards[i];

      update_granting (t, s, now_us);
      if (is_holder (t, s))
        run_holder (t, s, now_us);
      else
        run_non_holder (t, s, now_us);
      s->state = get_state (t, s, now_us);
    }
}

/**
 * lease_release_all - releases all shards of a daemon that shuts down
 * @t: table
 *
 * The next lease_run() stops the shards and marks their objects as released;
 * a candidate then takes over without waiting for the term.
 */
void
lease_release_all (struct lease_table *t)
{
  t->leaving = true;
}

uint32_t
lease_count_held (const struct lease_table *t)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < t->settings.shards; i++)
    count += is_holder (t, &t->shards[i]);
  return count;
}

bool
lease_is_granting (const struct lease_table *t, uint32_t shard, int64_t now_us)
{
  const struct lease_shard *s = &t->shards[shard];
  enum lease_state state = get_state (t, s, now_us);

  return s->granting && !t->leaving
         && (state == LEASE_HOLDING || state == LEASE_EXTENDED);
}

/**
 * lease_get_holder - returns the holder of a shard as known here
 * @t: table
 * @shard: shard
 * @epoch: receives the epoch
 * @now_us: current time
 *
 * The version known to an observer may be old, since observers seldom poll.
 * This function therefore causes a read of the object, at most one in a retry
 * interval; a later call returns the holder that was read.
 *
 * Return: the holder, or id 0 if none is known.
 */
struct lease_daemon
lease_get_holder (struct lease_table *t, uint32_t shard, uint64_t *epoch,
                  int64_t now_us)
{
  struct lease_shard *s = &t->shards[shard];
  int64_t fresh = ms_to_us (t->settings.retry_interval_ms);

  if (!is_holder (t, s) && !s->read_requested
      && now_us >= s->op_sent_us + fresh)
    {
      s->read_requested = true;
      s->next_op_us = MIN (s->next_op_us, now_us);
    }
  *epoch = s->object.epoch;
  if (s->version == 0 || s->object.released)
    return (struct lease_daemon){ 0 };
  return s->object.holder;
}

bool
lease_equal_daemon (struct lease_daemon a, struct lease_daemon b)
{
  return a.id == b.id && a.incarnation == b.incarnation;
}
