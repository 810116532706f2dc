/* member: the membership table of the fleet's daemons.  */

#include "member.h"

#include "clock.h"

#include <string.h>

/* Constants */

#define PICK_TRIES 16
#define BRIEF_BYTES 56u /* largest encoded entry without the part below */
#define FULL_BYTES 20u  /* three ports, slots, header of the name */

/* Internal functions: random numbers and hashes */

static uint64_t
mix (uint64_t x)
{
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

static uint32_t
draw (struct member_table *t, uint32_t below)
{
  t->random += 0x9e3779b97f4a7c15ull;
  return (uint32_t)(mix (t->random) % below);
}

static uint32_t
find_bucket (uint64_t id)
{
  return (uint32_t)(mix (id) % MEMBER_BUCKETS);
}

/* Suspects count as alive, since a suspicion is settled before the next table
   exchange; the dead do not count, since daemons forget them at different
   times.  */
static void
toggle_digest (struct member_table *t, const struct member_entry *e)
{
  if (e->liveness != MEMBER_DEAD)
    t->digests[find_bucket (e->id)]
        ^= (uint32_t)mix (mix (e->id) ^ e->incarnation);
}

/* Internal functions: rows */

static struct member_domain *
find_domain (const struct member_table *t, uint32_t domain)
{
  void *d;

  for (uint64_t id = table_next (&t->domains, 0, &d); id != 0;
       id = table_next (&t->domains, id, &d))
    if (((struct member_domain *)d)->domain == domain)
      return d;
  return NULL;
}

static struct member_domain *
need_domain (struct member_table *t, uint32_t domain, int64_t now_us)
{
  struct member_domain *d = find_domain (t, domain);

  if (d != NULL)
    return d;
  table_add (&t->domains, (void **)&d);
  d->domain = domain;
  d->last_heard_us = now_us;
  d->rows = g_ptr_array_new ();
  return d;
}

static struct member_service *
need_service_row (struct member_table *t, uint64_t hash)
{
  struct member_service *s = g_hash_table_lookup (t->by_hash, &hash);

  if (s != NULL)
    return s;
  table_add (&t->services, (void **)&s);
  s->hash = hash;
  s->name = STR_EMPTY;
  g_hash_table_insert (t->by_hash, &s->hash, s);
  return s;
}

static void
enter_domain (struct member_row *row, struct member_domain *d)
{
  row->domain = d;
  row->domain_index = d->rows->len;
  g_ptr_array_add (d->rows, row);
}

static void
leave_domain (struct member_row *row)
{
  struct member_row *moved;

  g_ptr_array_remove_index_fast (row->domain->rows, row->domain_index);
  if (row->domain_index >= row->domain->rows->len)
    return;
  moved = g_ptr_array_index (row->domain->rows, row->domain_index);
  moved->domain_index = row->domain_index;
}

static void
set_service (struct member_table *t, struct member_row *row, uint64_t hash,
             struct str name)
{
  if (row->service == NULL || row->service->hash != hash)
    {
      if (row->service != NULL)
        row->service->rows--;
      row->service = hash != 0 ? need_service_row (t, hash) : NULL;
      if (row->service != NULL)
        row->service->rows++;
    }
  if (row->service != NULL && row->service->name.len == 0 && name.len > 0)
    row->service->name = str_copy (name);
  row->entry.service_hash = hash;
  row->entry.service = row->service != NULL ? row->service->name : STR_EMPTY;
}

static struct member_row *
add_row (struct member_table *t, const struct member_entry *e, int64_t now_us)
{
  struct member_row *row;
  uint64_t id = table_add (&t->rows, (void **)&row);

  row->entry = *e;
  row->row = id;
  row->changed_us = now_us;
  set_service (t, row, e->service_hash, e->service);
  enter_domain (row, need_domain (t, e->domain, now_us));
  g_hash_table_insert (t->by_id, &row->entry.id, row);
  toggle_digest (t, &row->entry);
  t->alive += row->entry.liveness == MEMBER_ALIVE;
  return row;
}

static void
remove_row (struct member_table *t, struct member_row *row)
{
  if (!row->vague)
    toggle_digest (t, &row->entry);
  t->alive -= row->entry.liveness == MEMBER_ALIVE;
  set_service (t, row, 0, STR_EMPTY);
  leave_domain (row);
  g_hash_table_remove (t->by_id, &row->entry.id);
  table_remove (&t->rows, row->row);
}

static void
queue_change (struct member_table *t, const struct member_row *row)
{
  g_array_append_val (t->changed, row->row);
}

static void
set_version (struct member_table *t, struct member_row *row,
             uint64_t incarnation, enum member_liveness liveness,
             int64_t now_us)
{
  if (!row->vague)
    toggle_digest (t, &row->entry);
  t->alive -= row->entry.liveness == MEMBER_ALIVE;
  if (row->entry.liveness != liveness)
    row->changed_us = now_us;
  row->entry.incarnation = incarnation;
  row->entry.liveness = liveness;
  t->alive += liveness == MEMBER_ALIVE;
  if (!row->vague)
    toggle_digest (t, &row->entry);
}

/* While many members of a domain are missed and none of it was heard since,
   the loss of the whole domain is likely: single suspicions of 3,700 members
   would fill the byte budget for minutes.  */
static bool
domain_is_doubtful (const struct member_domain *d)
{
  return d->silent || d->misses >= MEMBER_SILENT_MISSES;
}

static void
suspect_row (struct member_table *t, struct member_row *row, int64_t now_us)
{
  if (row->entry.liveness != MEMBER_ALIVE || domain_is_doubtful (row->domain))
    return;
  set_version (t, row, row->entry.incarnation, MEMBER_SUSPECT, now_us);
  queue_change (t, row);
}

static void
raise_self (struct member_table *t, uint64_t above)
{
  uint64_t incarnation = MAX (t->self->entry.incarnation, above) + 1;

  set_version (t, t->self, incarnation, t->self->entry.liveness, 0);
  queue_change (t, t->self);
}

/* Internal functions: merging */

static bool
is_newer (const struct member_entry *e, const struct member_entry *known)
{
  if (e->incarnation != known->incarnation)
    return e->incarnation > known->incarnation;
  if (e->liveness != known->liveness)
    return e->liveness > known->liveness;
  return e->full && !known->full;
}

/* The row keeps the details of an older incarnation until an entry of this one
   arrives.  With a service known, a full entry of it is asked for.  Without
   one the row is left out of the digests, so that a table exchange brings it.
 */
static void
mark_vague (struct member_table *t, struct member_row *row)
{
  row->entry.full = false;
  if (row->vague || row->entry.service_hash != 0)
    return;
  toggle_digest (t, &row->entry);
  row->vague = true;
}

static void
clear_vague (struct member_table *t, struct member_row *row)
{
  if (!row->vague)
    return;
  row->vague = false;
  toggle_digest (t, &row->entry);
}

/* A brief entry leaves the ports and slots in place while the member is still
   at the same address with the same service, so that a failure domain that
   returns keeps its endpoints.  */
static void
copy_details (struct member_table *t, struct member_row *row,
              const struct member_entry *e)
{
  struct member_entry *known = &row->entry;
  bool moved = memcmp (known->address.ip, e->address.ip, MEMBER_IP_BYTES) != 0
               || known->address.ports[MEMBER_PORT_CONTROL]
                      != e->address.ports[MEMBER_PORT_CONTROL]
               || known->service_hash != e->service_hash;

  known->backend = e->backend;
  if (!e->full && !moved)
    return;
  known->address = e->address;
  known->slots = e->slots;
  known->full = e->full;
  set_service (t, row, e->service_hash, e->service);
}

static bool
merge_self (struct member_table *t, const struct member_entry *e)
{
  const struct member_entry *self = &t->self->entry;

  if (t->leaving || e->incarnation < self->incarnation)
    return false;
  if (e->incarnation == self->incarnation && e->liveness == MEMBER_ALIVE)
    return false;
  raise_self (t, e->incarnation);
  return true;
}

/* Merges without telling others: they compare their tables too.  Only an own
   refutation is told.  */
static bool
merge_quietly (struct member_table *t, const GArray *entries, int64_t now_us)
{
  guint queued = t->changed->len;
  uint64_t own = t->self->entry.incarnation;
  bool changed = false;

  for (guint i = 0; i < entries->len; i++)
    changed |= member_merge_entry (
        t, &g_array_index (entries, struct member_entry, i), now_us);
  g_array_set_size (t->changed, queued);
  if (t->self->entry.incarnation != own)
    queue_change (t, t->self);
  return changed;
}

/* Internal functions: messages */

static struct member_message *
add_message (struct member_table *t, enum member_message_type type,
             uint64_t to, const struct member_address *address)
{
  struct member_message *m;

  table_add (&t->out, (void **)&m);
  m->type = type;
  m->to = to;
  m->address = *address;
  return m;
}

static struct member_message *
add_message_to (struct member_table *t, enum member_message_type type,
                const struct member_row *to)
{
  return add_message (t, type, to->entry.id, &to->entry.address);
}

static struct member_probe *
add_probe (struct member_table *t, uint64_t to,
           const struct member_address *address, uint32_t hold_ms,
           int64_t now_us)
{
  struct member_message *m = add_message (t, MEMBER_SEND_PROBE, to, address);
  struct member_probe *p;

  table_add (&t->probes, (void **)&p);
  p->seq = m->seq = ++t->seq;
  p->slot = MEMBER_SLOTS;
  p->target = to;
  p->sent_us = now_us;
  p->deadline_us
      = now_us + (int64_t)(hold_ms + MEMBER_REPLY_MS) * CLOCK_US_PER_MS;
  m->hold_ms = hold_ms;
  return p;
}

static struct member_row *
pick_in (struct member_table *t, const struct member_domain *d)
{
  struct member_row *row = g_ptr_array_index (d->rows, draw (t, d->rows->len));

  return row != t->self ? row : NULL;
}

static struct member_row *
pick_any (struct member_table *t)
{
  uint32_t at = draw (t, t->rows.count);
  void *d;

  for (uint64_t id = table_next (&t->domains, 0, &d); id != 0;
       id = table_next (&t->domains, id, &d))
    {
      struct member_domain *domain = d;

      if (at >= domain->rows->len)
        {
          at -= domain->rows->len;
          continue;
        }
      struct member_row *row = g_ptr_array_index (domain->rows, at);
      return row != t->self ? row : NULL;
    }
  return NULL;
}

static struct member_domain *
find_silent_domain (const struct member_table *t)
{
  void *row;

  for (uint64_t id = table_next (&t->domains, 0, &row); id != 0;
       id = table_next (&t->domains, id, &row))
    if (((struct member_domain *)row)->silent
        && ((struct member_domain *)row)->rows->len > 0)
      return row;
  return NULL;
}

/* Slot 0 stays inside the failure domain, where an answer takes least time;
   slot 1 connects the domains.  One probe in three of slot 1 goes to a silent
   domain: the first answer makes its members usable again.  */
static const struct member_domain *
pick_domain (struct member_table *t, uint32_t slot)
{
  if (slot == 1 && t->local_probes > 0)
    {
      t->local_probes--;
      slot = 0;
    }
  if (slot == 0 && t->self->domain->rows->len > 1)
    return t->self->domain;
  if (slot == 1 && draw (t, MEMBER_SILENT_PROBE_SHARE) == 0)
    return find_silent_domain (t);
  return NULL;
}

/* First dead row after a random place.  */
static struct member_row *
pick_dead (struct member_table *t)
{
  uint32_t start = draw (t, t->rows.end);
  struct member_row *first = NULL;
  void *row;

  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    {
      if (((struct member_row *)row)->entry.liveness != MEMBER_DEAD)
        continue;
      if ((uint32_t)id > start)
        return row;
      if (first == NULL)
        first = row;
    }
  return first;
}

static uint32_t
get_dead_probe_share (const struct member_table *t)
{
  bool many = (t->rows.count - t->alive) * MEMBER_DEAD_MANY > t->rows.count;

  return many && t->rows.count > MEMBER_SMALL_FLEET
             ? MEMBER_DEAD_MANY_PROBE_SHARE
             : MEMBER_DEAD_PROBE_SHARE;
}

static struct member_row *
pick_target (struct member_table *t, uint32_t slot)
{
  const struct member_domain *d = pick_domain (t, slot);
  bool dead = draw (t, get_dead_probe_share (t)) == 0;
  struct member_row *row = dead ? pick_dead (t) : NULL;

  for (int i = 0; i < PICK_TRIES && row == NULL; i++)
    {
      row = d != NULL ? pick_in (t, d) : pick_any (t);
      if (row != NULL && row->entry.liveness == MEMBER_DEAD)
        row = NULL;
    }
  return row;
}

/* Half of the helpers are in the own failure domain, since in the first seconds
   of a partition most others cannot be reached.  */
static void
start_indirect (struct member_table *t, struct member_probe *p,
                struct member_row *target, int64_t now_us)
{
  p->state = MEMBER_PROBE_INDIRECT;
  p->deadline_us = now_us + (int64_t)MEMBER_INDIRECT_MS * CLOCK_US_PER_MS;
  for (uint32_t i = 0; i < MEMBER_INDIRECT; i++)
    {
      uint32_t domain = i % 2 == 0 ? t->self->entry.domain : 0;
      struct member_row *by = member_pick (t, domain);

      if (by == NULL || by == target)
        continue;
      struct member_message *m = add_message_to (t, MEMBER_SEND_PROBE_REQ, by);
      m->seq = p->seq;
      m->target = target->entry.id;
    }
}

/* True if the probe is finished.  */
static bool
expire_probe (struct member_table *t, struct member_probe *p, int64_t now_us)
{
  struct member_row *target = member_find (t, p->target);

  if (p->state == MEMBER_PROBE_PROXY || target == NULL)
    return true;
  if (p->state == MEMBER_PROBE_INDIRECT)
    {
      suspect_row (t, target, now_us);
      return true;
    }
  if (target->domain != t->self->domain)
    t->local_probes = MEMBER_LOCAL_PROBES;
  if (target->entry.liveness != MEMBER_ALIVE)
    return true;
  target->domain->misses++;
  if (domain_is_doubtful (target->domain))
    return true;
  start_indirect (t, p, target, now_us);
  return false;
}

static int64_t
get_quiet_ms (const struct member_domain *d, int64_t now_us)
{
  return (now_us - d->last_heard_us) / CLOCK_US_PER_MS;
}

/* Misses in all domains that were not heard for MEMBER_QUIET_MS.  */
static uint32_t
count_quiet_misses (const struct member_table *t, int64_t now_us)
{
  uint32_t misses = 0;
  void *row;

  for (uint64_t id = table_next (&t->domains, 0, &row); id != 0;
       id = table_next (&t->domains, id, &row))
    if (get_quiet_ms (row, now_us) >= MEMBER_QUIET_MS)
      misses += ((struct member_domain *)row)->misses;
  return misses;
}

static void
expire_domains (struct member_table *t, int64_t now_us)
{
  bool quiet = count_quiet_misses (t, now_us) >= MEMBER_QUIET_MISSES;
  void *row;

  for (uint64_t id = table_next (&t->domains, 0, &row); id != 0;
       id = table_next (&t->domains, id, &row))
    {
      struct member_domain *d = row;
      int64_t quiet_ms = get_quiet_ms (d, now_us);

      if (d == t->self->domain)
        continue;
      if ((d->misses >= MEMBER_SILENT_MISSES && quiet_ms >= MEMBER_SILENT_MS)
          || (quiet && d->misses > 0 && quiet_ms >= MEMBER_QUIET_MS))
        d->silent = true;
    }
}

static void
expire_row (struct member_table *t, struct member_row *row, int64_t now_us)
{
  int64_t age_ms = (now_us - row->changed_us) / CLOCK_US_PER_MS;

  if (row == t->self)
    return;
  if (row->entry.liveness == MEMBER_SUSPECT && age_ms >= MEMBER_SUSPECT_MS
      && !domain_is_doubtful (row->domain))
    {
      set_version (t, row, row->entry.incarnation, MEMBER_DEAD, now_us);
      queue_change (t, row);
    }
  else if (row->entry.liveness == MEMBER_DEAD && age_ms >= MEMBER_FORGET_MS)
    remove_row (t, row);
}

/* Suspects of a domain that was doubtful get the whole time to refute.  */
static void
restart_suspicions (struct member_domain *d, int64_t now_us)
{
  for (guint i = 0; i < d->rows->len; i++)
    {
      struct member_row *row = g_ptr_array_index (d->rows, i);

      if (row->entry.liveness == MEMBER_SUSPECT)
        row->changed_us = now_us;
    }
}

static struct member_row *
pick_of_service (struct member_table *t, uint64_t hash, bool *complete)
{
  struct member_row *found = NULL;
  uint32_t seen = 0;
  void *row;

  *complete = true;
  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    {
      struct member_row *r = row;

      if (r->entry.service_hash != hash || !member_is_usable (r))
        continue;
      *complete = *complete && r->entry.full;
      if (r != t->self && draw (t, ++seen) == 0)
        found = r;
    }
  return found;
}

static void
send_wants (struct member_table *t, int64_t now_us)
{
  void *row;

  if (now_us < t->next_want_us)
    return;
  t->next_want_us = now_us + (int64_t)MEMBER_WANT_MS * CLOCK_US_PER_MS;
  for (uint64_t id = table_next (&t->services, 0, &row); id != 0;
       id = table_next (&t->services, id, &row))
    {
      struct member_service *s = row;
      struct member_row *peer;
      bool complete;

      if (!s->needed || s->rows == 0)
        continue;
      peer = pick_of_service (t, s->hash, &complete);
      if (complete || peer == NULL)
        continue;
      add_message_to (t, MEMBER_SEND_WANT, peer)->service_hash = s->hash;
    }
}

static void
send_seed_probe (struct member_table *t, int64_t now_us)
{
  uint64_t wait_ms = (uint64_t)MEMBER_SEED_MS * t->alive;
  uint32_t at;

  if (t->seeds->len == 0 || now_us < t->next_seed_us)
    return;
  t->next_seed_us = now_us + (int64_t)wait_ms * CLOCK_US_PER_MS;
  at = draw (t, t->seeds->len);
  add_probe (t, 0, &g_array_index (t->seeds, struct member_address, at), 0,
             now_us);
}

/* Public functions */

/**
 * member_init_table - makes a table that knows this daemon only
 * @t: table
 * @self: own entry; its service is copied
 * @seed: seed of the random choices
 * @now_us: current time
 */
void
member_init_table (struct member_table *t, const struct member_entry *self,
                   uint64_t seed, int64_t now_us)
{
  *t = (struct member_table){ .random = seed };
  table_init (&t->rows, sizeof (struct member_row));
  table_init (&t->domains, sizeof (struct member_domain));
  table_init (&t->services, sizeof (struct member_service));
  table_init (&t->probes, sizeof (struct member_probe));
  table_init (&t->out, sizeof (struct member_message));
  t->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  t->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  t->changed = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  t->seeds = g_array_new (FALSE, FALSE, sizeof (struct member_address));
  t->self = add_row (t, self, now_us);
  if (t->self->service != NULL)
    t->self->service->needed = true;
  queue_change (t, t->self);
}

void
member_close_table (struct member_table *t)
{
  void *row;

  for (uint64_t id = table_next (&t->domains, 0, &row); id != 0;
       id = table_next (&t->domains, id, &row))
    g_ptr_array_unref (((struct member_domain *)row)->rows);
  for (uint64_t id = table_next (&t->services, 0, &row); id != 0;
       id = table_next (&t->services, id, &row))
    if (((struct member_service *)row)->name.len > 0)
      str_free (&((struct member_service *)row)->name);
  g_hash_table_unref (t->by_id);
  g_hash_table_unref (t->by_hash);
  g_array_unref (t->changed);
  g_array_unref (t->seeds);
  table_close (&t->rows);
  table_close (&t->domains);
  table_close (&t->services);
  table_close (&t->probes);
  table_close (&t->out);
}

void
member_add_seed (struct member_table *t, const struct member_address *address)
{
  g_array_append_val (t->seeds, *address);
}

void
member_need_service (struct member_table *t, struct str name)
{
  struct member_service *s = need_service_row (t, str_hash (name));

  if (s->name.len == 0)
    s->name = str_copy (name);
  s->needed = true;
}

/**
 * member_set_backend - announces the state of the own backend server
 * @t: table
 * @backend: state
 * @service: name of its service
 * @slots: requests that it runs at once
 */
void
member_set_backend (struct member_table *t, enum member_backend backend,
                    struct str service, uint32_t slots)
{
  struct member_entry *self = &t->self->entry;
  uint64_t hash = service.len > 0 ? str_hash (service) : 0;

  if (self->backend == backend && self->slots == slots
      && self->service_hash == hash)
    return;
  self->backend = backend;
  self->slots = slots;
  set_service (t, t->self, hash, service);
  if (service.len > 0)
    member_need_service (t, service);
  raise_self (t, 0);
}

void
member_leave (struct member_table *t)
{
  t->leaving = true;
  t->self->entry.backend = MEMBER_BACKEND_LEAVING;
  raise_self (t, 0);
  set_version (t, t->self, t->self->entry.incarnation, MEMBER_DEAD, 0);
}

/**
 * member_merge_entry - merges what another daemon told of a member
 * @t: table
 * @e: entry; its strings are copied
 * @now_us: current time
 *
 * A higher incarnation wins; within one, the worse liveness.  An entry that
 * calls this daemon suspect or dead is refuted by a higher incarnation.
 *
 * Return: true if the table changed; the row is then in `changed`.
 */
bool
member_merge_entry (struct member_table *t, const struct member_entry *e,
                    int64_t now_us)
{
  struct member_row *row = member_find (t, e->id);
  enum member_liveness before, liveness;

  if (row == t->self)
    return merge_self (t, e);
  if (row == NULL)
    {
      if (e->liveness == MEMBER_DEAD)
        return false;
      queue_change (t, add_row (t, e, now_us));
      return true;
    }
  if (!is_newer (e, &row->entry)
      && !(row->vague && e->incarnation == row->entry.incarnation))
    return false;
  before = row->entry.liveness;
  if (e->liveness != MEMBER_ALIVE && domain_is_doubtful (row->domain))
    return false;
  liveness = e->liveness;
  if (e->incarnation == row->entry.incarnation)
    liveness = MAX (e->liveness, before);
  clear_vague (t, row);
  set_version (t, row, e->incarnation, liveness, now_us);
  copy_details (t, row, e);
  if (e->liveness != MEMBER_ALIVE && before == MEMBER_ALIVE)
    row->domain->misses++;
  queue_change (t, row);
  return true;
}

/**
 * member_note_heard - notes a datagram that came from a member directly
 * @t: table
 * @id: sender
 * @incarnation: its incarnation
 * @now_us: current time
 *
 * A higher incarnation makes the row alive without telling others: when a
 * failure domain returns, each daemon hears of its members directly or by
 * table exchange, and 3,700 deltas would exceed the byte budget.
 *
 * Return: true if the member must be told that it is not alive here, so that
 * it refutes.
 */
bool
member_note_heard (struct member_table *t, uint64_t id, uint64_t incarnation,
                   int64_t now_us)
{
  struct member_row *row = member_find (t, id);

  if (row == NULL || row == t->self)
    return false;
  row->domain->last_heard_us = now_us;
  if (domain_is_doubtful (row->domain))
    restart_suspicions (row->domain, now_us);
  row->domain->misses = 0;
  row->domain->silent = false;
  if (incarnation > row->entry.incarnation)
    {
      set_version (t, row, incarnation, MEMBER_ALIVE, now_us);
      mark_vague (t, row);
    }
  return row->entry.liveness != MEMBER_ALIVE;
}

/**
 * member_note_ack - ends the probe that an ACK answers
 * @t: table
 * @seq: sequence number of the probe
 * @from: sender of the ACK
 * @sent_us: receives when the probe was sent
 * @now_us: current time
 *
 * Return: false if the ACK is not awaited (late, repeated or forged).
 */
bool
member_note_ack (struct member_table *t, uint32_t seq, uint64_t from,
                 int64_t *sent_us, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&t->probes, 0, &row); id != 0;
       id = table_next (&t->probes, id, &row))
    {
      struct member_probe *p = row;

      if (p->seq != seq)
        continue;
      if (p->state != MEMBER_PROBE_INDIRECT && p->target != 0
          && p->target != from)
        return false;
      *sent_us = p->sent_us;
      if (p->state == MEMBER_PROBE_PROXY)
        {
          struct member_row *to = member_find (t, p->requester);

          if (to != NULL)
            add_message_to (t, MEMBER_SEND_ACK, to)->seq = p->requester_seq;
        }
      table_remove (&t->probes, id);
      return true;
    }
  return false;
}

void
member_note_request (struct member_table *t, uint64_t requester,
                     uint32_t requester_seq, uint64_t target, int64_t now_us)
{
  struct member_row *row = member_find (t, target);
  struct member_probe *p;

  if (row == NULL || row == t->self)
    return;
  p = add_probe (t, target, &row->entry.address, 0, now_us);
  p->state = MEMBER_PROBE_PROXY;
  p->requester = requester;
  p->requester_seq = requester_seq;
}

void
member_send_probes (struct member_table *t, int64_t now_us)
{
  bool busy[MEMBER_SLOTS + 1] = { false };
  void *row;

  for (uint64_t id = table_next (&t->probes, 0, &row); id != 0;
       id = table_next (&t->probes, id, &row))
    if (((struct member_probe *)row)->state == MEMBER_PROBE_DIRECT)
      busy[((struct member_probe *)row)->slot] = true;
  for (uint32_t slot = 0; slot < MEMBER_SLOTS; slot++)
    {
      struct member_row *target = busy[slot] ? NULL : pick_target (t, slot);

      if (target != NULL)
        add_probe (t, target->entry.id, &target->entry.address, MEMBER_HOLD_MS,
                   now_us)
            ->slot
            = slot;
    }
}

void
member_expire_probes (struct member_table *t, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&t->probes, 0, &row); id != 0;
       id = table_next (&t->probes, id, &row))
    {
      struct member_probe *p = row;

      if (now_us >= p->deadline_us && expire_probe (t, p, now_us))
        table_remove (&t->probes, id);
    }
}

/**
 * member_expire_rows - ages suspects and the dead
 * @t: table
 * @now_us: current time
 *
 * Visits all rows, so the caller runs it once a second.
 */
void
member_expire_rows (struct member_table *t, int64_t now_us)
{
  void *row;

  expire_domains (t, now_us);
  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    expire_row (t, row, now_us);
}

static int
get_sync_ms (const struct member_table *t, int ms)
{
  return t->rows.count <= MEMBER_SMALL_FLEET ? ms / MEMBER_SMALL_FLEET_SYNCS
                                             : ms;
}

void
member_send_syncs (struct member_table *t, int64_t now_us)
{
  struct member_row *peer;
  struct member_message *m;
  bool joining;

  send_seed_probe (t, now_us);
  send_wants (t, now_us);
  if (now_us < t->next_sync_us)
    return;
  peer = member_pick (t, 0);
  if (peer == NULL)
    return;
  joining = member_is_joining (t);
  t->next_sync_us
      = now_us
        + (int64_t)(joining ? MEMBER_HOLD_MS : get_sync_ms (t, MEMBER_SYNC_MS))
              * CLOCK_US_PER_MS;
  m = add_message_to (t, MEMBER_SEND_SYNC, peer);
  m->max_bytes = joining ? MEMBER_JOIN_BYTES : MEMBER_REPAIR_BYTES;
  m->window = t->window;
}

bool
member_is_joining (const struct member_table *t)
{
  return t->joined < MEMBER_WINDOWS;
}

/**
 * member_answer_sync - collects what the sender of a table exchange lacks
 * @t: table
 * @window: which part of the digests the sender gave
 * @digests: the sender's digests
 * @max_bytes: limit of the encoded entries
 * @entries: struct member_entry, appended; views of the table
 *
 * Begins at a random bucket, so that repeated exchanges reach all buckets.
 *
 * Return: false if the limit was reached before the last bucket.
 */
bool
member_answer_sync (const struct member_table *t, uint32_t window,
                    const uint32_t digests[MEMBER_WINDOW], uint32_t max_bytes,
                    GArray *entries)
{
  const uint32_t *own = t->digests + (size_t)window * MEMBER_WINDOW;
  uint32_t bytes[MEMBER_BUCKETS] = { 0 };
  bool taken[MEMBER_BUCKETS] = { false };
  uint32_t total = 0;
  uint32_t first = (uint32_t)(mix (t->random) % MEMBER_WINDOW);
  bool complete = true;
  void *row;

  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    bytes[find_bucket (((struct member_row *)row)->entry.id)] += BRIEF_BYTES;
  for (uint32_t i = 0; i < MEMBER_WINDOW; i++)
    {
      uint32_t at = (first + i) % MEMBER_WINDOW;
      uint32_t b = window * MEMBER_WINDOW + at;

      if (own[at] == digests[at])
        continue;
      if (total > 0 && total + bytes[b] > max_bytes)
        {
          complete = false;
          continue;
        }
      taken[b] = true;
      total += bytes[b];
    }
  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    {
      struct member_entry e = ((struct member_row *)row)->entry;

      if (!taken[find_bucket (e.id)] || ((struct member_row *)row)->vague)
        continue;
      e.full = false;
      g_array_append_val (entries, e);
    }
  return complete;
}

void
member_answer_want (const struct member_table *t, uint64_t service_hash,
                    GArray *entries)
{
  void *row;

  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    {
      const struct member_entry *e = &((struct member_row *)row)->entry;

      if (e->service_hash == service_hash && e->full
          && e->liveness != MEMBER_DEAD)
        g_array_append_val (entries, *e);
    }
}

/**
 * member_note_sync - merges the answer to a table exchange
 * @t: table
 * @entries: struct member_entry
 * @complete: the peer had nothing more to tell
 * @now_us: current time
 */
void
member_note_sync (struct member_table *t, const GArray *entries, bool complete,
                  int64_t now_us)
{
  guint queued = t->changed->len;
  uint64_t own = t->self->entry.incarnation;
  bool differed = false;
  int64_t soon;

  for (guint i = 0; i < entries->len; i++)
    differed |= member_merge_entry (
        t, &g_array_index (entries, struct member_entry, i), now_us);
  g_array_set_size (t->changed, queued);
  if (t->self->entry.incarnation != own)
    queue_change (t, t->self);
  if (complete)
    {
      t->joined++;
      t->window = (t->window + 1) % MEMBER_WINDOWS;
    }
  soon = now_us
         + (member_is_joining (t) ? 0
                                  : (int64_t)get_sync_ms (t, MEMBER_REPAIR_MS)
                                        * CLOCK_US_PER_MS);
  if (!complete || differed || member_is_joining (t))
    t->next_sync_us = MIN (t->next_sync_us, soon);
}

void
member_note_want (struct member_table *t, const GArray *entries,
                  int64_t now_us)
{
  merge_quietly (t, entries, now_us);
}

struct member_row *
member_find (const struct member_table *t, uint64_t id)
{
  return g_hash_table_lookup (t->by_id, &id);
}

bool
member_is_usable (const struct member_row *row)
{
  return row->entry.liveness == MEMBER_ALIVE && !row->domain->silent;
}

struct member_row *
member_pick (struct member_table *t, uint32_t domain)
{
  struct member_domain *d = domain != 0 ? find_domain (t, domain) : NULL;

  if (domain != 0 && (d == NULL || d->rows->len == 0))
    return NULL;
  for (int i = 0; i < PICK_TRIES; i++)
    {
      struct member_row *row = d != NULL ? pick_in (t, d) : pick_any (t);

      if (row != NULL && member_is_usable (row))
        return row;
    }
  return NULL;
}

/**
 * member_rank - ranks members by rendezvous hashing
 * @t: table
 * @q: key and failure domains
 * @ids: receives the ids, the highest first
 * @max: size of @ids
 *
 * Return: how many ids were set.
 */
uint32_t
member_rank (const struct member_table *t, struct member_query q,
             uint64_t *ids, uint32_t max)
{
  uint64_t key = mix (q.key);
  uint32_t len = 0;
  void *row;

  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    {
      const struct member_row *r = row;
      uint64_t score = mix (r->entry.id ^ key);
      uint32_t at = len;

      if (!member_is_usable (r)
          || (q.domain != 0 && r->entry.domain != q.domain)
          || (q.except != 0 && r->entry.domain == q.except))
        continue;
      while (at > 0 && mix (ids[at - 1] ^ key) < score)
        at--;
      if (at == max)
        continue;
      len = MIN (len + 1, max);
      memmove (ids + at + 1, ids + at, (len - at - 1) * sizeof *ids);
      ids[at] = r->entry.id;
    }
  return len;
}

bool
member_is_watcher (const struct member_table *t)
{
  struct member_query q = { .domain = t->self->entry.domain };
  uint64_t ids[MEMBER_WATCHERS];
  uint32_t len = member_rank (t, q, ids, MEMBER_WATCHERS);

  for (uint32_t i = 0; i < len; i++)
    if (ids[i] == t->self->entry.id)
      return true;
  return false;
}

uint64_t
member_get_run (uint64_t incarnation)
{
  return incarnation >> MEMBER_RUN_SHIFT;
}

uint32_t
member_entry_bytes (const struct member_entry *e)
{
  return BRIEF_BYTES + (e->full ? FULL_BYTES + (uint32_t)e->service.len : 0);
}

uint32_t
member_hash_domain (struct str name)
{
  return (uint32_t)str_hash (name);
}
