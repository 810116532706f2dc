/* member: the membership table of the fleet's daemons.

   A run of a daemon is the lifetime of one of its processes, identified by the
   start time of the process in milliseconds.  A full entry has all details of
   a member; a brief one lacks the service name, the slots and all ports but
   the control port.  */

#include "member.h"

#include "clock.h"
#include "member_rows.h"

#include <string.h>

/* Constants */

#define PICK_TRIES 16

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

/* Marks the details of a row (address, service, slots) as those of an older
   incarnation; the row keeps them until an entry of the new incarnation
   arrives.  If the member has a service, a service query, which requests the
   full entries of a tracked service, fetches the new entry.  Otherwise the row
   is left out of the digests that table exchanges compare: the digests then
   differ from those of a daemon that has the new entry, which sends it.  */
static void
mark_details_stale (struct member_table *t, struct member_row *row)
{
  row->entry.full = false;
  if (row->stale_details || row->entry.service_hash != 0)
    return;
  member_rows_xor_into_digest (t, &row->entry);
  row->stale_details = true;
}

static void
clear_stale_details (struct member_table *t, struct member_row *row)
{
  if (!row->stale_details)
    return;
  row->stale_details = false;
  member_rows_xor_into_digest (t, &row->entry);
}

/* Copies the details of an entry into its row.  A brief entry lacks the ports
   and slots; if its address and service are those of the row, the row keeps
   the known ports and slots.  The members of a failure domain that becomes
   reachable again can therefore receive requests before their full entries are
   queried.  */
static void
copy_details (struct member_table *t, struct member_row *row,
              const struct member_entry *e)
{
  struct member_entry *known = &row->entry;
  bool address_changed
      = memcmp (known->address.ip, e->address.ip, MEMBER_IP_BYTES) != 0
        || known->address.ports[MEMBER_PORT_CONTROL]
               != e->address.ports[MEMBER_PORT_CONTROL];
  bool details_changed
      = address_changed || known->service_hash != e->service_hash;

  if (address_changed)
    row->first_run_at_address = member_get_run (e->incarnation);
  known->backend = e->backend;
  if (!e->full && !details_changed)
    return;
  known->address = e->address;
  known->slots = e->slots;
  known->full = e->full;
  member_rows_set_service (t, row, e->service_hash, e->service);
}

static bool
merge_self (struct member_table *t, const struct member_entry *e)
{
  const struct member_entry *self = &t->self->entry;

  if (t->leaving || e->incarnation < self->incarnation)
    return false;
  if (e->incarnation == self->incarnation && e->liveness == MEMBER_ALIVE)
    return false;
  member_rows_raise_incarnation (t, e->incarnation);
  return true;
}

/* Restarts the time to refute for all suspects of a failure domain from which
   a datagram has come after many misses.  */
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

/* Public functions */

/**
 * member_init_table - initializes a table that holds only this daemon
 * @t: table
 * @self: entry of this daemon; its service is copied
 * @seed: seed of the random numbers
 * @now_us: current time
 */
void
member_init_table (struct member_table *t, const struct member_entry *self,
                   uint64_t seed, int64_t now_us)
{
  *t = (struct member_table){ .random_state = seed };
  table_init (&t->rows, sizeof (struct member_row));
  table_init (&t->domains, sizeof (struct member_domain));
  table_init (&t->services, sizeof (struct member_service));
  table_init (&t->probes, sizeof (struct member_probe));
  table_init (&t->out, sizeof (struct member_message));
  t->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  t->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  t->changed = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  t->seeds = g_array_new (FALSE, FALSE, sizeof (struct member_address));
  t->self = member_rows_add (t, self, now_us);
  if (t->self->service != NULL)
    t->self->service->tracked = true;
  member_rows_queue_change (t, t->self);
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

/**
 * member_track_service - queries a service's full entries from now on
 * @t: table
 * @name: name of the service
 *
 * Table exchanges bring only brief entries, without the ports and slots that
 * are needed to send requests to a member.  For a tracked service this daemon
 * requests the full entries from one of the members.
 */
void
member_track_service (struct member_table *t, struct str name)
{
  struct member_service *s
      = member_rows_find_or_add_service (t, str_hash (name));

  if (s->name.len == 0)
    s->name = str_copy (name);
  s->tracked = true;
}

/**
 * member_set_backend - announces the state of the own backend server
 * @t: table
 * @backend: state of the backend server
 * @service: name of its service, or empty
 * @slots: requests that it runs concurrently
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
  member_rows_set_service (t, t->self, hash, service);
  if (service.len > 0)
    member_track_service (t, service);
  member_rows_raise_incarnation (t, 0);
}

void
member_leave (struct member_table *t)
{
  t->leaving = true;
  t->self->entry.backend = MEMBER_BACKEND_LEAVING;
  member_rows_raise_incarnation (t, 0);
  member_rows_set_version (t, t->self, t->self->entry.incarnation, MEMBER_DEAD,
                           0);
}

/**
 * member_merge_entry - merges an entry that another daemon sent
 * @t: table
 * @e: entry; its strings are copied
 * @now_us: current time
 *
 * A higher incarnation wins, and within one incarnation the worse liveness.
 * If the entry marks this daemon itself as suspect or dead, the daemon refutes
 * that by a higher incarnation.
 *
 * Return: true if the table changed; the row is then queued in `changed`.
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
      member_rows_queue_change (t, member_rows_add (t, e, now_us));
      return true;
    }
  if (!is_newer (e, &row->entry)
      && !(row->stale_details && e->incarnation == row->entry.incarnation))
    return false;
  before = row->entry.liveness;
  if (e->liveness != MEMBER_ALIVE
      && member_rows_is_domain_suspect (row->domain))
    return false;
  liveness = e->liveness;
  if (e->incarnation == row->entry.incarnation)
    liveness = MAX (e->liveness, before);
  clear_stale_details (t, row);
  member_rows_set_version (t, row, e->incarnation, liveness, now_us);
  copy_details (t, row, e);
  if (e->liveness != MEMBER_ALIVE && before == MEMBER_ALIVE)
    row->domain->misses++;
  member_rows_queue_change (t, row);
  return true;
}

/**
 * member_record_contact - records a datagram that came directly from a member
 * @t: table
 * @id: sender
 * @incarnation: its incarnation
 * @now_us: current time
 *
 * A higher incarnation makes the row alive, but is not gossiped.  When a
 * failure domain becomes reachable again, each daemon learns of its members
 * directly or by table exchange; gossip of all its members, 3,700 of 22,000,
 * would exceed the byte budget of member entries.
 *
 * Return: true if the member is suspect or dead in this table; the caller
 * sends it this entry, so that the member refutes it.
 */
bool
member_record_contact (struct member_table *t, uint64_t id,
                       uint64_t incarnation, int64_t now_us)
{
  struct member_row *row = member_find (t, id);

  if (row == NULL || row == t->self)
    return false;
  row->domain->last_contact_us = now_us;
  if (member_rows_is_domain_suspect (row->domain))
    restart_suspicions (row->domain, now_us);
  row->domain->misses = 0;
  row->domain->unreachable = false;
  if (incarnation > row->entry.incarnation)
    {
      member_rows_set_version (t, row, incarnation, MEMBER_ALIVE, now_us);
      mark_details_stale (t, row);
    }
  return row->entry.liveness != MEMBER_ALIVE;
}

struct member_row *
member_find (const struct member_table *t, uint64_t id)
{
  return g_hash_table_lookup (t->by_id, &id);
}

bool
member_is_usable (const struct member_row *row)
{
  return row->entry.liveness == MEMBER_ALIVE && !row->domain->unreachable;
}

struct member_row *
member_pick (struct member_table *t, uint32_t domain)
{
  struct member_domain *d
      = domain != 0 ? member_rows_find_domain (t, domain) : NULL;

  if (domain != 0 && (d == NULL || d->rows->len == 0))
    return NULL;
  for (int i = 0; i < PICK_TRIES; i++)
    {
      struct member_row *row
          = d != NULL ? member_rows_pick_in (t, d) : member_rows_pick_any (t);

      if (row != NULL && member_is_usable (row))
        return row;
    }
  return NULL;
}

/**
 * member_rank - ranks usable members by rendezvous hashing
 * @t: table
 * @q: key and filter by failure domain
 * @ids: receives the ids, the highest first
 * @max: size of @ids
 *
 * Return: number of ids that were set.
 */
uint32_t
member_rank (const struct member_table *t, struct member_query q,
             uint64_t *ids, uint32_t max)
{
  uint64_t key = member_rows_mix (q.key);
  uint32_t len = 0;
  void *row;

  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    {
      const struct member_row *r = row;
      uint64_t score = member_rows_mix (r->entry.id ^ key);
      uint32_t at = len;

      if (!member_is_usable (r)
          || (q.domain != 0 && r->entry.domain != q.domain)
          || (q.except != 0 && r->entry.domain == q.except))
        continue;
      while (at > 0 && member_rows_mix (ids[at - 1] ^ key) < score)
        at--;
      if (at == max)
        continue;
      len = MIN (len + 1, max);
      memmove (ids + at + 1, ids + at, (len - at - 1) * sizeof *ids);
      ids[at] = r->entry.id;
    }
  return len;
}

/**
 * member_is_watcher - finds whether this daemon reads the platform
 * @t: table
 *
 * The watchers of a failure domain read the configuration from the platform
 * and gossip it; the other daemons only receive it.
 *
 * Return: true if this daemon is one of the %MEMBER_WATCHERS highest ranked
 * usable members of its failure domain.
 */
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
member_hash_domain (struct str name)
{
  return (uint32_t)str_hash (name);
}
