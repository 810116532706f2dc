/* member_sync: exchanges tables with other daemons and queries the full
   entries of tracked services.

   A daemon starts a table exchange with the digests of one window of buckets;
   the peer answers with brief entries of the buckets whose digests differ.  */

#include "member.h"

#include "clock.h"
#include "member_rows.h"

/* Constants */

#define BRIEF_ENTRY_BYTES 56u /* largest encoded brief entry */
/* Three ports, slots and the header of the service name.  */
#define FULL_ENTRY_EXTRA_BYTES 20u

/* Internal functions */

/* Merges entries but does not gossip them, since the other daemons exchange
   tables too; only a refutation by this daemon is gossiped.  Returns true if
   the table changed.  */
static bool
merge_without_gossip (struct member_table *t, const GArray *entries,
                      int64_t now_us)
{
  guint queued = t->changed->len;
  uint64_t own = t->self->entry.incarnation;
  bool changed = false;

  for (guint i = 0; i < entries->len; i++)
    changed |= member_merge_entry (
        t, &g_array_index (entries, struct member_entry, i), now_us);
  g_array_set_size (t->changed, queued);
  if (t->self->entry.incarnation != own)
    member_rows_queue_change (t, t->self);
  return changed;
}

/* Returns a random usable member of a service except this daemon, or NULL;
   sets *complete to true if the entries of all usable members of it are
   full.  */
static struct member_row *
pick_service_member (struct member_table *t, uint64_t hash, bool *complete)
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
      if (r != t->self && member_rows_random (t, ++seen) == 0)
        found = r;
    }
  return found;
}

static void
send_service_queries (struct member_table *t, int64_t now_us)
{
  void *row;

  if (now_us < t->next_service_query_us)
    return;
  t->next_service_query_us
      = now_us + (int64_t)MEMBER_SERVICE_QUERY_MS * CLOCK_US_PER_MS;
  for (uint64_t id = table_next (&t->services, 0, &row); id != 0;
       id = table_next (&t->services, id, &row))
    {
      struct member_service *s = row;
      struct member_row *peer;
      bool complete;

      if (!s->tracked || s->rows == 0)
        continue;
      peer = pick_service_member (t, s->hash, &complete);
      if (complete || peer == NULL)
        continue;
      member_rows_add_message_to (t, MEMBER_SEND_SERVICE_QUERY, peer)
          ->service_hash
          = s->hash;
    }
}

/* Returns an interval of table exchanges, shortened for a small fleet.  */
static int
get_sync_ms (const struct member_table *t, int ms)
{
  return t->rows.count <= MEMBER_SMALL_FLEET
             ? ms / MEMBER_SMALL_FLEET_SYNC_FACTOR
             : ms;
}

/* Public functions */

void
member_send_syncs (struct member_table *t, int64_t now_us)
{
  struct member_row *peer;
  struct member_message *m;
  bool joining;

  member_send_seed_probe (t, now_us);
  send_service_queries (t, now_us);
  if (now_us < t->next_sync_us)
    return;
  peer = member_pick (t, 0);
  if (peer == NULL)
    return;
  joining = member_is_joining (t);
  t->next_sync_us
      = now_us
        + (int64_t)(joining ? MEMBER_HOLD_MS
                            : get_sync_ms (t, MEMBER_SYNC_INTERVAL_MS))
              * CLOCK_US_PER_MS;
  m = member_rows_add_message_to (t, MEMBER_SEND_SYNC, peer);
  m->max_bytes = joining ? MEMBER_JOIN_BYTES : MEMBER_REPAIR_BYTES;
  m->window = t->window;
}

bool
member_is_joining (const struct member_table *t)
{
  return t->windows_synced < MEMBER_WINDOWS;
}

/**
 * member_answer_sync - collects the entries of the buckets that differ from
 * those of the sender of a table exchange
 * @t: table
 * @window: window of buckets that the digests cover
 * @digests: the sender's digests
 * @max_bytes: limit of the encoded entries in bytes
 * @entries: array of struct member_entry to append to; their strings are views
 *
 * Begins at a random bucket of the window, so that repeated exchanges reach
 * all its buckets even if the answers are limited.
 *
 * Return: false if the limit was reached before the last bucket.
 */
bool
member_answer_sync (const struct member_table *t, uint32_t window,
                    const uint32_t digests[MEMBER_WINDOW_BUCKETS],
                    uint32_t max_bytes, GArray *entries)
{
  const uint32_t *own = t->digests + (size_t)window * MEMBER_WINDOW_BUCKETS;
  uint32_t bytes[MEMBER_BUCKETS] = { 0 };
  bool selected[MEMBER_BUCKETS] = { false };
  uint32_t total = 0;
  uint32_t first
      = (uint32_t)(member_rows_mix (t->random_state) % MEMBER_WINDOW_BUCKETS);
  bool complete = true;
  void *row;

  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    bytes[member_rows_find_bucket (((struct member_row *)row)->entry.id)]
        += BRIEF_ENTRY_BYTES;
  for (uint32_t i = 0; i < MEMBER_WINDOW_BUCKETS; i++)
    {
      uint32_t at = (first + i) % MEMBER_WINDOW_BUCKETS;
      uint32_t b = window * MEMBER_WINDOW_BUCKETS + at;

      if (own[at] == digests[at])
        continue;
      if (total > 0 && total + bytes[b] > max_bytes)
        {
          complete = false;
          continue;
        }
      selected[b] = true;
      total += bytes[b];
    }
  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    {
      struct member_entry e = ((struct member_row *)row)->entry;

      if (!selected[member_rows_find_bucket (e.id)]
          || ((struct member_row *)row)->stale_details)
        continue;
      e.full = false;
      g_array_append_val (entries, e);
    }
  return complete;
}

void
member_answer_service_query (const struct member_table *t,
                             uint64_t service_hash, GArray *entries)
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
 * member_merge_sync - merges the answer to a table exchange
 * @t: table
 * @entries: array of struct member_entry
 * @complete: the answer holds all entries that differ
 * @now_us: current time
 */
void
member_merge_sync (struct member_table *t, const GArray *entries,
                   bool complete, int64_t now_us)
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
    member_rows_queue_change (t, t->self);
  if (complete)
    {
      t->windows_synced++;
      t->window = (t->window + 1) % MEMBER_WINDOWS;
    }
  soon = now_us
         + (member_is_joining (t)
                ? 0
                : (int64_t)get_sync_ms (t, MEMBER_REPAIR_INTERVAL_MS)
                      * CLOCK_US_PER_MS);
  if (!complete || differed || member_is_joining (t))
    t->next_sync_us = MIN (t->next_sync_us, soon);
}

void
member_merge_service_entries (struct member_table *t, const GArray *entries,
                              int64_t now_us)
{
  merge_without_gossip (t, entries, now_us);
}

uint32_t
member_entry_bytes (const struct member_entry *e)
{
  return BRIEF_ENTRY_BYTES
         + (e->full ? FULL_ENTRY_EXTRA_BYTES + (uint32_t)e->service.len : 0);
}
