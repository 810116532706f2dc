/* daemon_registry: the daemons of the fleet as this daemon knows them.

   An endpoint is a member to whose backend server requests may be sent.  A
   pool is the token bucket of a workspace whose burst is too small to be split
   among the daemons; its owner keeps all tokens.  */

#include "daemon_registry.h"

#include <string.h>
#include <xxhash.h>

/* Constants */

/* Hashed with the name of a daemon for its rank as a watcher; pools use the
   hash of their workspace.  */
#define WATCHER_HASH 1u

/* Internal functions */

static void
close_state (struct daemon_registry_state *s)
{
  str_free (&s->name);
  str_free (&s->address);
  str_free (&s->domain);
  str_free (&s->service);
  backend_stops_close (&s->stops);
  g_free (s->demands);
}

static void
copy_state (struct daemon_registry_state *to,
            const struct daemon_registry_state *from)
{
  *to = *from;
  to->name = str_copy (from->name);
  to->address = str_copy (from->address);
  to->domain = str_copy (from->domain);
  to->service = str_copy (from->service);
  to->stops = backend_stops_copy (&from->stops);
  to->evacuated.len = 0;
  to->demands
      = g_memdup2 (from->demands, from->demands_len * sizeof *from->demands);
}

/* Adds the stops that `from` knows to those of a state of the same daemon.  */
static void
keep_stops (struct daemon_registry_state *to,
            const struct daemon_registry_state *from)
{
  backend_stops_merge (&to->stops, &from->stops);
  to->stops_known = to->stops_known || from->stops_known;
}

static struct daemon_registry_member *
add_member (struct daemon_registry *r,
            const struct daemon_registry_state *state, int64_t now_us)
{
  struct daemon_registry_member *m;
  uint64_t *id = g_new (uint64_t, 1);

  *id = table_add (&r->members, (void **)&m);
  copy_state (&m->state, state);
  m->last_state_us = now_us;
  m->announced_us = now_us;
  g_hash_table_insert (r->by_member, &m->state.member, id);
  return m;
}

static void
remove_member (struct daemon_registry *r, struct daemon_registry_member *m)
{
  uint64_t id
      = *(uint64_t *)g_hash_table_lookup (r->by_member, &m->state.member);

  g_hash_table_remove (r->by_member, &m->state.member);
  close_state (&m->state);
  table_remove (&r->members, id);
}

static uint64_t
hash_owner (struct str name, uint64_t hash)
{
  uint64_t pair[2] = { str_hash (name), hash };

  return XXH64 (pair, sizeof pair, 0);
}

static bool
is_same_address (const struct daemon_registry_state *a,
                 const struct daemon_registry_state *b)
{
  return a->control_port == b->control_port
         && str_equal (a->address, b->address);
}

/* Adds the stops that earlier processes of the daemon reported.  */
static void
keep_stops_of_name (const struct daemon_registry *r,
                    struct daemon_registry_state *to)
{
  struct daemon_registry_member *m;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    if (m->state_received && str_equal (m->state.name, to->name))
      keep_stops (to, &m->state);
  for (uint64_t id = table_next (&r->departed, 0, (void **)&m); id != 0;
       id = table_next (&r->departed, id, (void **)&m))
    if (str_equal (m->state.name, to->name))
      keep_stops (to, &m->state);
}

static void
remove_departed (struct daemon_registry *r, struct str name)
{
  struct daemon_registry_member *m;

  for (uint64_t id = table_next (&r->departed, 0, (void **)&m); id != 0;
       id = table_next (&r->departed, id, (void **)&m))
    if (str_equal (m->state.name, name))
      {
        close_state (&m->state);
        table_remove (&r->departed, id);
      }
}

static void
remove_oldest_departed (struct daemon_registry *r)
{
  struct daemon_registry_member *m;
  int64_t oldest_us = INT64_MAX;
  uint64_t oldest = 0;

  for (uint64_t id = table_next (&r->departed, 0, (void **)&m); id != 0;
       id = table_next (&r->departed, id, (void **)&m))
    if (m->last_state_us < oldest_us)
      {
        oldest_us = m->last_state_us;
        oldest = id;
      }
  m = table_get (&r->departed, oldest);
  if (m == NULL)
    return;
  close_state (&m->state);
  table_remove (&r->departed, oldest);
}

/* Keeps what a member that is about to be removed has said.  */
static void
add_departed (struct daemon_registry *r,
              const struct daemon_registry_member *m)
{
  struct daemon_registry_member *copy;

  if (!r->keeps_departed || !m->state_received)
    return;
  remove_departed (r, m->state.name);
  if (r->departed.count >= DAEMON_REGISTRY_DEPARTED_MAX)
    remove_oldest_departed (r);
  table_add (&r->departed, (void **)&copy);
  *copy = *m;
  copy_state (&copy->state, &m->state);
}

/* Returns true if another process at the same address, with a later start
   time, is live.  */
static bool
is_superseded (const struct daemon_registry *r,
               const struct daemon_registry_state *state, int64_t now_us)
{
  struct daemon_registry_member *m;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    if (m->state.member != state->member && is_same_address (&m->state, state)
        && m->state.started_ms > state->started_ms
        && daemon_registry_is_live (r, m, now_us))
      return true;
  return false;
}

/* Removes the rows of other processes at the address of `state`: only one
   process can listen on an address, so they have ended.  */
static void
remove_others_at_address (struct daemon_registry *r,
                          const struct daemon_registry_state *state)
{
  struct daemon_registry_member *m;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    {
      uint64_t *member;

      if (m->state.member == state->member
          || !is_same_address (&m->state, state))
        continue;
      /* Retired ids are ignored from now on.  A process with a later start
         time is removed but not retired, so that its next state adds it
         again.  */
      if (m->state.started_ms <= state->started_ms)
        {
          member = g_new (uint64_t, 1);
          *member = m->state.member;
          g_hash_table_add (r->retired, member);
        }
      remove_member (r, m);
    }
}

/* Public functions */

void
daemon_registry_init (struct daemon_registry *r, uint64_t self)
{
  *r = (struct daemon_registry){ .self = self };
  table_init (&r->members, sizeof (struct daemon_registry_member));
  table_init (&r->departed, sizeof (struct daemon_registry_member));
  r->by_member
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  r->retired
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
daemon_registry_close (struct daemon_registry *r)
{
  struct daemon_registry_member *m;

  g_hash_table_unref (r->by_member);
  g_hash_table_unref (r->retired);
  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    close_state (&m->state);
  table_close (&r->members);
  for (uint64_t id = table_next (&r->departed, 0, (void **)&m); id != 0;
       id = table_next (&r->departed, id, (void **)&m))
    close_state (&m->state);
  table_close (&r->departed);
}

/**
 * daemon_registry_apply - applies a state that a daemon sent
 * @r: registry
 * @state: received state; copied
 * @now_us: current time
 *
 * Return: true if the endpoints may have changed.
 */
bool
daemon_registry_apply (struct daemon_registry *r,
                       const struct daemon_registry_state *state,
                       int64_t now_us)
{
  struct daemon_registry_state next;
  struct daemon_registry_member *m;
  bool changed;

  if (state->member == r->self
      || g_hash_table_contains (r->retired, &state->member))
    return false;
  m = daemon_registry_find (r, state->member);
  if (m == NULL && is_superseded (r, state, now_us))
    return false;
  copy_state (&next, state);
  if (m == NULL)
    {
      keep_stops_of_name (r, &next);
      remove_departed (r, next.name);
      remove_others_at_address (r, state);
      m = add_member (r, &next, now_us);
      m->state_received = true;
      close_state (&next);
      return true;
    }
  changed = !daemon_registry_is_endpoint (r, m, now_us)
            || m->state.serving != state->serving
            || m->state.leaving != state->leaving
            || !str_equal (m->state.service, state->service);
  if (state->serving
      && (!m->state.serving || !str_equal (m->state.service, state->service)))
    m->announced_us = now_us;
  keep_stops (&next, &m->state);
  close_state (&m->state);
  m->state = next;
  m->state_received = true;
  m->last_state_us = now_us;
  return changed;
}

/**
 * daemon_registry_add - adds a daemon that the store lists
 * @r: registry
 * @name: name of the daemon
 * @address: IP address
 * @control_port: its control port
 * @now_us: current time
 *
 * The row has a placeholder member id until the daemon sends its state.  It is
 * not added if a row with the same address exists.
 */
void
daemon_registry_add (struct daemon_registry *r, struct str name,
                     struct str address, uint16_t control_port, int64_t now_us)
{
  struct daemon_registry_state state
      = { .member = str_hash (address) ^ control_port,
          .name = name,
          .address = address,
          .control_port = control_port,
          .domain = STR_EMPTY,
          .service = STR_EMPTY };
  struct daemon_registry_member *m;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    if (is_same_address (&m->state, &state))
      return;
  add_member (r, &state, now_us);
}

struct daemon_registry_member *
daemon_registry_find (const struct daemon_registry *r, uint64_t member)
{
  uint64_t *id = g_hash_table_lookup (r->by_member, &member);

  return id != NULL ? table_get (&r->members, *id) : NULL;
}

struct daemon_registry_member *
daemon_registry_find_any (const struct daemon_registry *r, uint64_t member)
{
  struct daemon_registry_member *m = daemon_registry_find (r, member);

  for (uint64_t id = m == NULL ? table_next (&r->departed, 0, (void **)&m) : 0;
       id != 0; id = table_next (&r->departed, id, (void **)&m))
    if (m->state.member == member)
      return m;
  return daemon_registry_find (r, member);
}

bool
daemon_registry_run (struct daemon_registry *r, int64_t now_us)
{
  struct daemon_registry_member *m;
  bool changed = false;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    if (now_us - m->last_state_us > DAEMON_REGISTRY_EXPIRE_US)
      {
        add_departed (r, m);
        remove_member (r, m);
        changed = true;
      }
  return changed;
}

int64_t
daemon_registry_get_interval (const struct daemon_registry *r)
{
  uint32_t rounds = 1 + r->members.count / DAEMON_REGISTRY_MESSAGES_MAX;

  return (int64_t)rounds * DAEMON_REGISTRY_INTERVAL_US;
}

bool
daemon_registry_is_endpoint (const struct daemon_registry *r,
                             const struct daemon_registry_member *m,
                             int64_t now_us)
{
  return daemon_registry_is_live (r, m, now_us) && m->state.serving
         && !m->state.leaving;
}

bool
daemon_registry_is_live (const struct daemon_registry *r,
                         const struct daemon_registry_member *m,
                         int64_t now_us)
{
  int64_t timeout_us
      = DAEMON_REGISTRY_TIMEOUT_INTERVALS * daemon_registry_get_interval (r);

  return m->state_received && now_us - m->last_state_us < timeout_us;
}

/**
 * daemon_registry_get_owner - finds the owner of a pool by rendezvous hashing
 * @r: registry
 * @own_name: name of this daemon
 * @hash: hash of the pool
 * @now_us: current time
 *
 * Members are ranked by name, so that a restarted daemon owns the same pools.
 * One that leaves owns none, itself included: the others have chosen its
 * successor, and both would grant the whole rate.
 *
 * Return: member id of the owner, or 0 if fewer than half of the members are
 * live.
 */
uint64_t
daemon_registry_get_owner (const struct daemon_registry *r,
                           struct str own_name, uint64_t hash, int64_t now_us)
{
  uint64_t best = r->self_leaving ? 0 : hash_owner (own_name, hash);
  uint64_t owner = r->self_leaving ? 0 : r->self;
  struct daemon_registry_member *m;
  uint32_t live = 1;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    {
      uint64_t rank = hash_owner (m->state.name, hash);

      if (!daemon_registry_is_live (r, m, now_us) || m->state.leaving)
        continue;
      live++;
      if (rank <= best)
        continue;
      best = rank;
      owner = m->state.member;
    }
  return live * 2 >= r->members.count + 1 ? owner : 0;
}

/**
 * daemon_registry_get_owners_digest - digests the members that owners are
 * chosen from
 * @r: registry
 * @now_us: current time
 *
 * Finding the owners of all pools costs a hash for each pool and member; an
 * unchanged digest means that the owners are the same.
 *
 * Return: a digest of the live members and the number of all members, never 0.
 */
uint64_t
daemon_registry_get_owners_digest (const struct daemon_registry *r,
                                   int64_t now_us)
{
  struct daemon_registry_member *m;
  uint64_t sum = r->members.count + r->self_leaving;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    if (daemon_registry_is_live (r, m, now_us) && !m->state.leaving)
      sum += XXH64 (&m->state.member, sizeof m->state.member, 0);
  return MAX (sum, 1);
}

uint32_t
daemon_registry_count_live (const struct daemon_registry *r, int64_t now_us)
{
  struct daemon_registry_member *m;
  uint32_t live = 1;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    live += daemon_registry_is_live (r, m, now_us);
  return live;
}

uint32_t
daemon_registry_count_unheard (const struct daemon_registry *r)
{
  struct daemon_registry_member *m;
  uint32_t unheard = 0;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    unheard += !m->state_received;
  return unheard;
}

/* Returns true if the member can be expected to tell this daemon of a new
   configuration.  The time without a state is shorter than that of an
   endpoint, because a daemon has only some seconds to notice a change.  */
static bool
can_watch (const struct daemon_registry *r,
           const struct daemon_registry_member *m, int64_t now_us)
{
  int64_t age_us = now_us - m->last_state_us;

  if (!m->state_received)
    return age_us < DAEMON_REGISTRY_FIRST_STATE_US;
  return !m->state.leaving
         && age_us < daemon_registry_get_interval (r) * 5 / 4;
}

/**
 * daemon_registry_is_watcher - ranks this daemon by rendezvous hashing
 * @r: registry
 * @own_name: name of this daemon
 * @now_us: current time
 *
 * Each daemon decides alone.  When daemons know different members, more of
 * them watch for a while, which does no harm.  Daemons that the store rejects
 * are replaced, but while it rejects all, only some try: a fleet that called
 * the store at once after an outage would exceed its rate.
 *
 * Return: true if fewer than %DAEMON_REGISTRY_WATCHERS members that reach the
 * store rank higher, and fewer than %DAEMON_REGISTRY_WATCHERS_MAX members.
 */
bool
daemon_registry_is_watcher (const struct daemon_registry *r,
                            struct str own_name, int64_t now_us)
{
  uint64_t own = hash_owner (own_name, WATCHER_HASH);
  struct daemon_registry_member *m;
  uint32_t higher = 0;
  uint32_t failed = 0;

  if (r->members.count < DAEMON_REGISTRY_WATCHERS)
    return true;
  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    if (can_watch (r, m, now_us)
        && hash_owner (m->state.name, WATCHER_HASH) > own)
      {
        higher++;
        failed += m->state.store_failed;
      }
  return higher - failed < DAEMON_REGISTRY_WATCHERS
         && higher < DAEMON_REGISTRY_WATCHERS_MAX;
}

/**
 * daemon_registry_find_revision - chooses a member to get a configuration from
 * @r: registry
 * @revision: revision that the member has to have at least
 * @domain: failure domain whose members are preferred
 * @random: random number
 * @now_us: current time
 *
 * Many daemons look for the same revision at the same time; the random choice
 * spreads their requests.
 *
 * Return: the member, or %NULL if no live one has the revision.
 */
struct daemon_registry_member *
daemon_registry_find_revision (const struct daemon_registry *r,
                               uint64_t revision, struct str domain,
                               uint32_t random, int64_t now_us)
{
  struct daemon_registry_member *m, *best = NULL;
  uint64_t best_rank = 0;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    {
      uint64_t rank = XXH64 (&m->state.member, sizeof m->state.member, random);

      if (m->state.revision < revision
          || !daemon_registry_is_live (r, m, now_us))
        continue;
      /* The highest bit puts members of the domain first.  */
      rank = rank >> 1 | (uint64_t)str_equal (m->state.domain, domain) << 63;
      if (best != NULL && rank < best_rank)
        continue;
      best = m;
      best_rank = rank;
    }
  return best;
}

void
daemon_registry_append_endpoints (const struct daemon_registry *r,
                                  GArray *endpoints, int64_t now_us)
{
  struct daemon_registry_member *m;

  for (uint64_t id = table_next (&r->members, 0, (void **)&m); id != 0;
       id = table_next (&r->members, id, (void **)&m))
    {
      struct snapshot_endpoint e
          = { .member = m->state.member,
              .address = m->state.address,
              .peer_port = m->state.peer_port,
              .domain = (uint32_t)str_hash (m->state.domain),
              .service = m->state.service,
              .announced_us = m->announced_us };

      if (daemon_registry_is_endpoint (r, m, now_us))
        g_array_append_val (endpoints, e);
    }
}
