/* admission_urgency: admission policy "urgency".

   Entries that can still be answered by their due time, the end of their
   latency target, are served first, earliest due time first.  Late entries,
   which can no longer meet it, are served after them, latest due time first:
   in the other order each would be served just before its deadline under
   lasting overload, and a request that makes several calls in sequence would
   miss its deadline.  Importance does not change the order.  It is applied
   earlier, by load shedding at the entry daemon, to which the caller is
   connected (see pressure.h), before anything has run for a request.  Entries
   that would miss their deadline are dropped, and a full queue drops its least
   important entry.  */

#include "admission.h"

#include <string.h>

/* Constants */

/* Weight of one request in the average service time.  */
#define SERVICE_GAIN 0.02

/* Types */

struct entry
{
  uint64_t id;
  struct admission_item item;
  GSequence *sequence; /* `timely` or `late` of the queue, which holds it */
  GSequenceIter *iter; /* position in that sequence */
};

/* The queue of this policy; callers see it as struct admission.  */
struct urgency
{
  struct admission_settings settings;
  struct table entries;
  GSequence *timely; /* struct entry that can meet its due time, by due time */
  GSequence *late;   /* struct entry that cannot, by due time */
  GQueue dropped;    /* struct admission_drop */
  uint32_t limit;
  double service_us; /* average service time, 0 if unknown */
};

/* Internal functions */

static struct urgency *
get_urgency (const struct admission *a)
{
  return (struct urgency *)a;
}

/* Orders entries by due time, and by arrival if the due times are equal.  */
static gint
compare (gconstpointer p, gconstpointer q, gpointer data)
{
  const struct entry *a = p;
  const struct entry *b = q;

  if (a->item.due_us != b->item.due_us)
    return a->item.due_us < b->item.due_us ? -1 : 1;
  return a->id < b->id ? -1 : a->id > b->id;
}

static int64_t
get_completion_us (const struct urgency *u, const struct admission_item *item,
                   int64_t now_us)
{
  return now_us
         + (item->expected_us > 0 ? item->expected_us
                                  : (int64_t)u->service_us);
}

static bool
misses_deadline (const struct urgency *u, const struct admission_item *item,
                 int64_t now_us)
{
  return get_completion_us (u, item, now_us) > item->deadline_us;
}

static bool
misses_due_time (const struct urgency *u, const struct admission_item *item,
                 int64_t now_us)
{
  return get_completion_us (u, item, now_us) > item->due_us;
}

static void
insert_entry (struct entry *e, GSequence *sequence)
{
  e->sequence = sequence;
  e->iter = g_sequence_insert_sorted (sequence, e, compare, NULL);
}

static void
remove_entry (struct urgency *u, struct entry *e)
{
  g_sequence_remove (e->iter);
  table_remove (&u->entries, e->id);
}

static void
drop (struct urgency *u, struct entry *e, enum err_kind error)
{
  struct admission_drop *d = g_new (struct admission_drop, 1);

  *d = (struct admission_drop){ e->item.job, error };
  g_queue_push_tail (&u->dropped, d);
  remove_entry (u, e);
}

/* Returns the least important entry of a sequence, the last one if there are
   several, or `least` if no entry is less important.  */
static struct entry *
find_least_important (GSequence *sequence, struct entry *least)
{
  GSequenceIter *i = g_sequence_get_end_iter (sequence);

  while (!g_sequence_iter_is_begin (i))
    {
      struct entry *e;

      i = g_sequence_iter_prev (i);
      e = g_sequence_get (i);
      if (least == NULL || e->item.importance < least->item.importance)
        least = e;
    }
  return least;
}

/* Drops the least important entry, preferably a late one, if it is less
   important than the item; returns false if there is no such entry.  */
static bool
make_room (struct urgency *u, const struct admission_item *item)
{
  struct entry *least
      = find_least_important (u->timely, find_least_important (u->late, NULL));

  if (least == NULL || least->item.importance >= item->importance)
    return false;
  drop (u, least, ERR_OVERLOADED);
  return true;
}

/* Moves entries that can no longer meet their due time from `timely` to
   `late`, and drops entries of `late` that would miss their deadline.  Only
   the first entries of a sequence are checked.  Since routes differ in
   expected time, an entry behind the first may be late already; it is moved or
   dropped when it becomes the first.  The tick drops every entry that would
   miss its deadline.  */
static void
move_late_entries (struct urgency *u, int64_t now_us)
{
  while (!g_sequence_is_empty (u->timely))
    {
      struct entry *e = g_sequence_get (g_sequence_get_begin_iter (u->timely));

      if (!misses_due_time (u, &e->item, now_us))
        break;
      g_sequence_remove (e->iter);
      insert_entry (e, u->late);
    }
  while (!g_sequence_is_empty (u->late))
    {
      struct entry *e = g_sequence_get (g_sequence_get_begin_iter (u->late));

      if (!misses_deadline (u, &e->item, now_us))
        break;
      drop (u, e, ERR_DEADLINE_NOT_RUN);
    }
}

/* Returns the entry to serve next, or NULL.  */
static struct entry *
get_first (const struct urgency *u)
{
  if (!g_sequence_is_empty (u->timely))
    return g_sequence_get (g_sequence_get_begin_iter (u->timely));
  if (!g_sequence_is_empty (u->late))
    return g_sequence_get (
        g_sequence_iter_prev (g_sequence_get_end_iter (u->late)));
  return NULL;
}

/* Internal functions: policy "urgency" */

static struct admission *
init (const struct admission_settings *settings)
{
  struct urgency *u = g_new0 (struct urgency, 1);

  u->settings = *settings;
  table_init (&u->entries, sizeof (struct entry));
  u->timely = g_sequence_new (NULL);
  u->late = g_sequence_new (NULL);
  g_queue_init (&u->dropped);
  return (struct admission *)u;
}

static void
close_queue (struct admission *a)
{
  struct urgency *u = get_urgency (a);

  if (u == NULL)
    return;
  g_sequence_free (u->timely);
  g_sequence_free (u->late);
  g_queue_clear_full (&u->dropped, g_free);
  table_close (&u->entries);
  g_free (u);
}

static enum err_kind
offer (struct admission *a, const struct admission_item *item, int64_t now_us,
       uint64_t *entry)
{
  struct urgency *u = get_urgency (a);
  struct entry *e;

  if (misses_deadline (u, item, now_us))
    return ERR_DEADLINE_NOT_RUN;
  if (u->entries.count >= u->settings.queue_max && !make_room (u, item))
    return ERR_OVERLOADED;
  *entry = table_add (&u->entries, (void **)&e);
  e->id = *entry;
  e->item = *item;
  insert_entry (e, misses_due_time (u, item, now_us) ? u->late : u->timely);
  return ERR_NONE;
}

static bool
next (struct admission *a, int64_t now_us, struct admission_item *item)
{
  struct urgency *u = get_urgency (a);
  struct entry *e;

  move_late_entries (u, now_us);
  while ((e = get_first (u)) != NULL)
    {
      if (misses_deadline (u, &e->item, now_us))
        {
          drop (u, e, ERR_DEADLINE_NOT_RUN);
          continue;
        }
      *item = e->item;
      remove_entry (u, e);
      return true;
    }
  return false;
}

static bool
remove_queued (struct admission *a, uint64_t entry)
{
  struct urgency *u = get_urgency (a);
  struct entry *e = table_get (&u->entries, entry);

  if (e == NULL)
    return false;
  remove_entry (u, e);
  return true;
}

static void
record_completion (struct admission *a, int64_t service_us, int64_t now_us)
{
  struct urgency *u = get_urgency (a);
  double sample = (double)MAX (service_us, 0);

  if (u->service_us == 0)
    u->service_us = sample;
  u->service_us += SERVICE_GAIN * (sample - u->service_us);
}

static void
set_limit (struct admission *a, uint32_t limit)
{
  get_urgency (a)->limit = limit;
}

static void
tick (struct admission *a, int64_t now_us)
{
  struct urgency *u = get_urgency (a);
  struct entry *e;

  for (uint64_t id = table_next (&u->entries, 0, (void **)&e); id != 0;
       id = table_next (&u->entries, id, (void **)&e))
    if (misses_deadline (u, &e->item, now_us))
      drop (u, e, ERR_DEADLINE_NOT_RUN);
}

/* This policy has no threshold: importance is applied by load shedding at the
   entry daemon.  */
static uint32_t
get_threshold (const struct admission *a)
{
  return 0;
}

static uint32_t
get_length (const struct admission *a)
{
  return get_urgency (a)->entries.count;
}

static bool
pop_dropped (struct admission *a, struct admission_drop *result)
{
  struct admission_drop *d = g_queue_pop_head (&get_urgency (a)->dropped);

  if (d == NULL)
    return false;
  *result = *d;
  g_free (d);
  return true;
}

/* State */

const struct admission_ops admission_urgency_ops
    = { .name = STR_LIT ("urgency"),
        .init = init,
        .close = close_queue,
        .offer = offer,
        .next = next,
        .remove = remove_queued,
        .record_completion = record_completion,
        .set_limit = set_limit,
        .tick = tick,
        .get_threshold = get_threshold,
        .get_length = get_length,
        .pop_dropped = pop_dropped };
