/* member_rows: the rows of the membership table with their indexes, counts and
   digests.  */

#include "member_rows.h"

#include <string.h>

/* Internal functions: rows */

static struct member_domain *
find_or_add_domain (struct member_table *t, uint32_t domain, int64_t now_us)
{
  struct member_domain *d = member_rows_find_domain (t, domain);

  if (d != NULL)
    return d;
  table_add (&t->domains, (void **)&d);
  d->domain = domain;
  d->last_contact_us = now_us;
  d->rows = g_ptr_array_new ();
  return d;
}

static void
add_to_domain (struct member_row *row, struct member_domain *d)
{
  row->domain = d;
  row->domain_index = d->rows->len;
  g_ptr_array_add (d->rows, row);
}

static void
remove_from_domain (struct member_row *row)
{
  struct member_row *moved;

  g_ptr_array_remove_index_fast (row->domain->rows, row->domain_index);
  if (row->domain_index >= row->domain->rows->len)
    return;
  moved = g_ptr_array_index (row->domain->rows, row->domain_index);
  moved->domain_index = row->domain_index;
}

/* Public functions: random numbers and hashes */

uint64_t
member_rows_mix (uint64_t x)
{
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

uint32_t
member_rows_random (struct member_table *t, uint32_t below)
{
  t->random_state += 0x9e3779b97f4a7c15ull;
  return (uint32_t)(member_rows_mix (t->random_state) % below);
}

uint32_t
member_rows_find_bucket (uint64_t id)
{
  return (uint32_t)(member_rows_mix (id) % MEMBER_BUCKETS);
}

/* The digests include suspects, since a suspicion is refuted or ends in death
   before the next table exchange.  They do not include dead members, since
   daemons remove these at different times.  */
void
member_rows_xor_into_digest (struct member_table *t,
                             const struct member_entry *e)
{
  if (e->liveness != MEMBER_DEAD)
    t->digests[member_rows_find_bucket (e->id)] ^= (uint32_t)member_rows_mix (
        member_rows_mix (e->id) ^ e->incarnation);
}

/* Public functions: rows */

struct member_domain *
member_rows_find_domain (const struct member_table *t, uint32_t domain)
{
  void *d;

  for (uint64_t id = table_next (&t->domains, 0, &d); id != 0;
       id = table_next (&t->domains, id, &d))
    if (((struct member_domain *)d)->domain == domain)
      return d;
  return NULL;
}

struct member_service *
member_rows_find_or_add_service (struct member_table *t, uint64_t hash)
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

void
member_rows_set_service (struct member_table *t, struct member_row *row,
                         uint64_t hash, struct str name)
{
  if (row->service == NULL || row->service->hash != hash)
    {
      if (row->service != NULL)
        row->service->rows--;
      row->service
          = hash != 0 ? member_rows_find_or_add_service (t, hash) : NULL;
      if (row->service != NULL)
        row->service->rows++;
    }
  if (row->service != NULL && row->service->name.len == 0 && name.len > 0)
    row->service->name = str_copy (name);
  row->entry.service_hash = hash;
  row->entry.service = row->service != NULL ? row->service->name : STR_EMPTY;
}

struct member_row *
member_rows_add (struct member_table *t, const struct member_entry *e,
                 int64_t now_us)
{
  struct member_row *row;
  uint64_t id = table_add (&t->rows, (void **)&row);

  row->entry = *e;
  row->row = id;
  row->changed_us = now_us;
  row->first_run_at_address = member_get_run (e->incarnation);
  member_rows_set_service (t, row, e->service_hash, e->service);
  add_to_domain (row, find_or_add_domain (t, e->domain, now_us));
  g_hash_table_insert (t->by_id, &row->entry.id, row);
  member_rows_xor_into_digest (t, &row->entry);
  t->alive += row->entry.liveness == MEMBER_ALIVE;
  return row;
}

void
member_rows_remove (struct member_table *t, struct member_row *row)
{
  if (!row->stale_details)
    member_rows_xor_into_digest (t, &row->entry);
  t->alive -= row->entry.liveness == MEMBER_ALIVE;
  member_rows_set_service (t, row, 0, STR_EMPTY);
  remove_from_domain (row);
  g_hash_table_remove (t->by_id, &row->entry.id);
  table_remove (&t->rows, row->row);
}

void
member_rows_queue_change (struct member_table *t, const struct member_row *row)
{
  g_array_append_val (t->changed, row->row);
}

void
member_rows_set_version (struct member_table *t, struct member_row *row,
                         uint64_t incarnation, enum member_liveness liveness,
                         int64_t now_us)
{
  if (!row->stale_details)
    member_rows_xor_into_digest (t, &row->entry);
  t->alive -= row->entry.liveness == MEMBER_ALIVE;
  if (row->entry.liveness != liveness)
    row->changed_us = now_us;
  row->entry.incarnation = incarnation;
  row->entry.liveness = liveness;
  t->alive += liveness == MEMBER_ALIVE;
  if (!row->stale_details)
    member_rows_xor_into_digest (t, &row->entry);
}

/* Many misses in a domain without a datagram from it mean that the entire
   domain is probably lost.  Single suspicions of its members, 3,700 of 22,000,
   would use up the byte budget of gossip for minutes.  */
bool
member_rows_is_domain_suspect (const struct member_domain *d)
{
  return d->unreachable || d->misses >= MEMBER_UNREACHABLE_MISSES;
}

void
member_rows_raise_incarnation (struct member_table *t, uint64_t above)
{
  uint64_t incarnation = MAX (t->self->entry.incarnation, above) + 1;

  member_rows_set_version (t, t->self, incarnation, t->self->entry.liveness,
                           0);
  member_rows_queue_change (t, t->self);
}

/* Public functions: choices and messages */

struct member_row *
member_rows_pick_in (struct member_table *t, const struct member_domain *d)
{
  struct member_row *row
      = g_ptr_array_index (d->rows, member_rows_random (t, d->rows->len));

  return row != t->self ? row : NULL;
}

struct member_row *
member_rows_pick_any (struct member_table *t)
{
  uint32_t at = member_rows_random (t, t->rows.count);
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

struct member_message *
member_rows_add_message (struct member_table *t, enum member_message_type type,
                         uint64_t to, const struct member_address *address)
{
  struct member_message *m;

  table_add (&t->out, (void **)&m);
  m->type = type;
  m->to = to;
  m->address = *address;
  return m;
}

struct member_message *
member_rows_add_message_to (struct member_table *t,
                            enum member_message_type type,
                            const struct member_row *to)
{
  return member_rows_add_message (t, type, to->entry.id, &to->entry.address);
}
