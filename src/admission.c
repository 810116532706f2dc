/* admission: admission queue of a serving daemon, policies "priority" and
   "naive".  */

#include "admission.h"

#include <math.h>

/* Constants */

#define ADMISSION_QUEUE_MAX 1000u
#define ADMISSION_DELAY_TARGET_US 20000
#define ADMISSION_INTERVAL_US 100000
/* Weight of the latest interval in the averages of demand and starts.  At 77
   calls/s one interval has only about ten requests.  */
#define ADMISSION_RATE_GAIN 0.25
/* Weight of one request in the average service time.  */
#define ADMISSION_SERVICE_GAIN 0.05
/* Safety factor on the predicted wait of a new entry.  Without it 7% of the
   requests that a saturated queue started ended after their deadline; with it
   none did (test_admission).  */
#define ADMISSION_WAIT_MARGIN 1.2
/* Intervals without overload after which the threshold is lowered by one.  */
#define ADMISSION_LOWER_INTERVALS 3u
/* The recorded use of the queue by a workspace decays to a third in this time.
   It bounds how long a workspace is served first because it did not use its
   share before.  */
#define ADMISSION_SHARE_DECAY_US 1000000.0
/* A flow without entries is removed after this time.  */
#define ADMISSION_FLOW_IDLE_US 10000000

/* Types */

/* Doubly linked list of entries, by row id.  */
struct list
{
  uint64_t head;
  uint64_t tail;
  uint32_t len;
};

struct entry
{
  struct admission_item item;
  uint64_t flow; /* row id; 0 after the entry was dropped */
  uint64_t prev;
  uint64_t next;
  int64_t queued_us;
  enum err_kind error; /* reason for dropping the entry */
};

struct flow_key
{
  uint64_t workspace;
  uint32_t importance;
};

/* Recent use of the queue by one workspace, over all importances.  */
struct workspace_share
{
  uint64_t workspace;
  uint32_t weight;
  double used;    /* started entries divided by the weight, decaying */
  uint32_t flows; /* number of flows of the workspace */
};

/* The entries of one workspace at one importance.  */
struct flow
{
  struct flow_key key;
  uint64_t share; /* row id */
  struct list entries;
  int64_t active_us; /* last time with entries in the flow */
};

/* Flows of one importance that have entries.  */
struct level
{
  GArray *flows;     /* row ids */
  uint32_t len;      /* number of entries in the flows */
  uint32_t arrivals; /* requests offered in this interval */
  double demand;     /* average arrivals per interval */
};

struct admission
{
  struct admission_settings settings;
  struct table entries;
  struct table flows;
  struct table shares;
  GHashTable *flow_by_key;
  GHashTable *share_by_workspace;
  struct level levels[ADMISSION_IMPORTANCE_COUNT];
  struct list fifo;    /* entries of the naive policy */
  struct list dropped; /* dropped entries not yet returned by pop_dropped */
  uint32_t len;        /* number of queued entries */
  uint32_t limit;      /* jobs that may run concurrently */
  double service_us;   /* average service time, 0 if unknown */
  uint32_t threshold;
  uint32_t starts; /* entries started in this interval */
  double capacity; /* average starts per interval */
  bool emptied;    /* the queue was empty at some time in this interval */
  uint32_t normal_intervals; /* consecutive intervals without overload */
  int64_t interval_end_us;
};

/* Internal functions: lists and flows */

static struct entry *
get_entry (const struct admission *a, uint64_t id)
{
  return table_get (&a->entries, id);
}

static struct flow *
get_flow (const struct admission *a, uint64_t id)
{
  return table_get (&a->flows, id);
}

static struct workspace_share *
get_share (const struct admission *a, const struct flow *f)
{
  return table_get (&a->shares, f->share);
}

static void
append_entry (struct admission *a, struct list *list, uint64_t id)
{
  struct entry *e = get_entry (a, id);

  e->prev = list->tail;
  e->next = 0;
  if (list->tail != 0)
    get_entry (a, list->tail)->next = id;
  else
    list->head = id;
  list->tail = id;
  list->len++;
}

static void
unlink_entry (struct admission *a, struct list *list, uint64_t id)
{
  struct entry *e = get_entry (a, id);

  if (e->prev != 0)
    get_entry (a, e->prev)->next = e->next;
  else
    list->head = e->next;
  if (e->next != 0)
    get_entry (a, e->next)->prev = e->prev;
  else
    list->tail = e->prev;
  list->len--;
}

static guint
hash_key (gconstpointer p)
{
  const struct flow_key *k = p;

  return (guint)(k->workspace ^ (k->workspace >> 32) ^ k->importance);
}

static gboolean
equal_keys (gconstpointer p, gconstpointer q)
{
  const struct flow_key *a = p;
  const struct flow_key *b = q;

  return a->workspace == b->workspace && a->importance == b->importance;
}

/* Returns true if a test has disabled the rule.  */
static bool
is_rule_off (const struct admission *a, enum admission_rule rule)
{
  return (a->settings.disabled_rules & rule) != 0;
}

static struct flow_key
make_key (const struct admission *a, const struct admission_item *item)
{
  struct flow_key k = { item->workspace, item->importance };

  if (is_rule_off (a, ADMISSION_RULE_FAIRNESS))
    k.workspace = 0;
  if (is_rule_off (a, ADMISSION_RULE_IMPORTANCE))
    k.importance = 0;
  return k;
}

static struct flow *
find_flow (const struct admission *a, struct flow_key key)
{
  uint64_t *id = g_hash_table_lookup (a->flow_by_key, &key);

  return id != NULL ? get_flow (a, *id) : NULL;
}

/* Key and value of flow_by_key in one allocation: a copy of the flow's key and
   the flow's row id.  */
struct flow_index
{
  struct flow_key key;
  uint64_t id;
};

static uint64_t
get_or_add_share (struct admission *a, uint64_t workspace)
{
  uint64_t *id = g_hash_table_lookup (a->share_by_workspace, &workspace);
  void *row;
  struct workspace_share *s;

  if (id != NULL)
    return *id;
  id = g_new (uint64_t, 1);
  *id = table_add (&a->shares, &row);
  s = row;
  s->workspace = workspace;
  g_hash_table_insert (a->share_by_workspace, &s->workspace, id);
  return *id;
}

static uint64_t
add_flow (struct admission *a, const struct admission_item *item)
{
  struct flow_index *index = g_new0 (struct flow_index, 1);
  void *row;
  struct flow *f;

  index->key = make_key (a, item);
  index->id = table_add (&a->flows, &row);
  f = row;
  f->key = index->key;
  f->share = get_or_add_share (a, f->key.workspace);
  get_share (a, f)->flows++;
  g_hash_table_insert (a->flow_by_key, &index->key, &index->id);
  return index->id;
}

static uint64_t
get_or_add_flow (struct admission *a, const struct admission_item *item)
{
  struct flow_key key = make_key (a, item);
  uint64_t *found = g_hash_table_lookup (a->flow_by_key, &key);
  uint64_t id = found != NULL ? *found : add_flow (a, item);

  get_share (a, get_flow (a, id))->weight = MAX (item->weight, 1);
  return id;
}

static void
activate_flow (struct admission *a, uint64_t id)
{
  g_array_append_val (a->levels[get_flow (a, id)->key.importance].flows, id);
}

static void
deactivate_flow (struct admission *a, uint64_t id)
{
  struct level *l = &a->levels[get_flow (a, id)->key.importance];

  for (guint i = 0; i < l->flows->len; i++)
    if (g_array_index (l->flows, uint64_t, i) == id)
      {
        g_array_remove_index_fast (l->flows, i);
        return;
      }
}

static void
enqueue (struct admission *a, uint64_t entry, uint64_t flow)
{
  struct flow *f = get_flow (a, flow);

  if (f->entries.len == 0)
    activate_flow (a, flow);
  get_entry (a, entry)->flow = flow;
  append_entry (a, &f->entries, entry);
  a->levels[f->key.importance].len++;
  a->len++;
}

static void
dequeue (struct admission *a, uint64_t entry)
{
  uint64_t id = get_entry (a, entry)->flow;
  struct flow *f = get_flow (a, id);

  unlink_entry (a, &f->entries, entry);
  a->levels[f->key.importance].len--;
  a->len--;
  if (f->entries.len == 0)
    deactivate_flow (a, id);
}

static void
drop (struct admission *a, uint64_t entry, enum err_kind error)
{
  struct entry *e;

  dequeue (a, entry);
  e = get_entry (a, entry);
  e->flow = 0;
  e->error = error;
  append_entry (a, &a->dropped, entry);
}

/* Internal functions: decisions */

static bool
misses_deadline (const struct admission *a, const struct admission_item *item,
                 int64_t now_us)
{
  int64_t service_us
      = item->expected_us > 0 ? item->expected_us : (int64_t)a->service_us;

  if (is_rule_off (a, ADMISSION_RULE_DEADLINE))
    return false;
  return now_us + service_us > item->deadline_us;
}

/* Returns how many entries of the flow `other` are served before a new entry
   of the workspace with the share `own`, whose flow has own_len entries.  */
static double
count_flow_ahead (const struct admission *a, const struct flow *other,
                  const struct workspace_share *own, uint32_t own_len)
{
  const struct workspace_share *s = get_share (a, other);

  if (s->used > own->used)
    return 0;
  return MIN (other->entries.len,
              (double)(own_len + 1) * s->weight / own->weight);
}

/* Returns a copy of a workspace's share, or an unused share if the workspace
   has none yet.  */
static struct workspace_share
copy_share (const struct admission *a, uint64_t workspace, uint32_t weight)
{
  uint64_t *id = g_hash_table_lookup (a->share_by_workspace, &workspace);
  const struct workspace_share *s
      = id != NULL ? table_get (&a->shares, *id) : NULL;

  return s != NULL ? *s
                   : (struct workspace_share){ .weight = MAX (weight, 1) };
}

/* Returns how many queued entries are served before a new one if no other
   request arrives.  */
static double
count_ahead (const struct admission *a, const struct admission_item *item)
{
  struct flow_key key = make_key (a, item);
  const struct level *l = &a->levels[key.importance];
  const struct flow *f = find_flow (a, key);
  const struct workspace_share own
      = copy_share (a, key.workspace, item->weight);
  const uint32_t own_len = f != NULL ? f->entries.len : 0;
  double ahead = own_len;

  for (uint32_t i = key.importance + 1; i < ADMISSION_IMPORTANCE_COUNT; i++)
    ahead += a->levels[i].len;
  for (guint i = 0; i < l->flows->len; i++)
    {
      const struct flow *other
          = get_flow (a, g_array_index (l->flows, uint64_t, i));

      if (other != f)
        ahead += count_flow_ahead (a, other, &own, own_len);
    }
  return ahead;
}

/* Returns true if the item is predicted to miss its deadline because of the
   entries that are served before it.  */
static bool
expires_in_queue (const struct admission *a, const struct admission_item *item,
                  int64_t now_us)
{
  double wait_us;

  if (is_rule_off (a, ADMISSION_RULE_DEADLINE) || a->limit == 0)
    return false;
  wait_us = count_ahead (a, item) * a->service_us / a->limit;
  return misses_deadline (a, item,
                          now_us + (int64_t)(ADMISSION_WAIT_MARGIN * wait_us));
}

/* Returns the flow with the most queued entries per weight.  */
static uint64_t
find_longest_flow (const struct admission *a, const struct level *l)
{
  uint64_t longest = 0;
  double most = -1;

  for (guint i = 0; i < l->flows->len; i++)
    {
      uint64_t id = g_array_index (l->flows, uint64_t, i);
      const struct flow *f = get_flow (a, id);
      double per_weight = (double)f->entries.len / get_share (a, f)->weight;

      if (per_weight > most)
        {
          most = per_weight;
          longest = id;
        }
    }
  return longest;
}

/* Makes room in a full queue: drops the newest entry of the flow with the most
   queued entries per weight at the lowest importance.  Returns false if that
   entry would be the item itself.  */
static bool
make_room (struct admission *a, const struct admission_item *item)
{
  struct flow_key key = make_key (a, item);
  const struct flow *own = find_flow (a, key);
  const struct flow *longest;
  uint32_t lowest = 0;

  while (lowest < ADMISSION_IMPORTANCE_COUNT && a->levels[lowest].len == 0)
    lowest++;
  if (lowest >= ADMISSION_IMPORTANCE_COUNT || key.importance < lowest)
    return false;
  longest = get_flow (a, find_longest_flow (a, &a->levels[lowest]));
  if (key.importance == lowest && own != NULL
      && (double)(own->entries.len + 1) / get_share (a, own)->weight
             >= (double)longest->entries.len / get_share (a, longest)->weight)
    return false;
  drop (a, longest->entries.tail, ERR_OVERLOADED);
  return true;
}

/* Returns the flow of the workspace with the least use per weight.  */
static uint64_t
find_next_flow (const struct admission *a, const struct level *l)
{
  uint64_t first = 0;
  double least = 0;

  for (guint i = 0; i < l->flows->len; i++)
    {
      uint64_t id = g_array_index (l->flows, uint64_t, i);
      double used = get_share (a, get_flow (a, id))->used;

      if (first == 0 || used < least)
        {
          least = used;
          first = id;
        }
    }
  return first;
}

static void
record_start (struct admission *a, uint64_t flow)
{
  struct workspace_share *s = get_share (a, get_flow (a, flow));

  s->used += 1.0 / s->weight;
  a->starts++;
}

static void
drop_late (struct admission *a, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&a->entries, 0, &row); id != 0;
       id = table_next (&a->entries, id, &row))
    {
      struct entry *e = row;

      if (e->flow != 0 && misses_deadline (a, &e->item, now_us))
        drop (a, id, ERR_DEADLINE_NOT_RUN);
    }
}

/* Returns the time that the oldest queued entry has waited.  */
static int64_t
get_delay (const struct admission *a, int64_t now_us)
{
  int64_t oldest_us = now_us;
  void *row;

  for (uint64_t id = table_next (&a->flows, 0, &row); id != 0;
       id = table_next (&a->flows, id, &row))
    {
      const struct flow *f = row;

      if (f->entries.len > 0)
        oldest_us = MIN (oldest_us, get_entry (a, f->entries.head)->queued_us);
    }
  return now_us - oldest_us;
}

static void
update_averages (struct admission *a)
{
  a->capacity += ADMISSION_RATE_GAIN * (a->starts - a->capacity);
  a->starts = 0;
  for (uint32_t i = 0; i < ADMISSION_IMPORTANCE_COUNT; i++)
    {
      struct level *l = &a->levels[i];

      l->demand += ADMISSION_RATE_GAIN * (l->arrivals - l->demand);
      l->arrivals = 0;
    }
}

/* Returns the importance at which the demand, summed from the highest
   importance down, reaches the capacity.  This importance is still accepted,
   so the threshold alone never leaves slots idle.  */
static uint32_t
find_threshold (const struct admission *a)
{
  double demand = 0;
  uint32_t level = ADMISSION_IMPORTANCE_COUNT;

  while (level > 0 && demand < a->capacity)
    demand += a->levels[--level].demand;
  return MIN (level, ADMISSION_IMPORTANCE_COUNT - 1);
}

static void
update_threshold (struct admission *a, int64_t now_us)
{
  bool overloaded
      = !a->emptied && get_delay (a, now_us) > a->settings.delay_target_us;

  update_averages (a);
  a->emptied = a->len == 0;
  if (overloaded)
    {
      a->normal_intervals = 0;
      a->threshold = find_threshold (a);
      return;
    }
  if (++a->normal_intervals < ADMISSION_LOWER_INTERVALS || a->threshold == 0)
    return;
  a->normal_intervals = 0;
  a->threshold--;
}

static void
decay_shares (struct admission *a)
{
  double factor
      = exp (-(double)a->settings.interval_us / ADMISSION_SHARE_DECAY_US);
  void *row;

  for (uint64_t id = table_next (&a->shares, 0, &row); id != 0;
       id = table_next (&a->shares, id, &row))
    ((struct workspace_share *)row)->used *= factor;
}

static void
remove_flow (struct admission *a, uint64_t id)
{
  struct flow *f = get_flow (a, id);
  struct workspace_share *s = get_share (a, f);

  if (--s->flows == 0)
    {
      uint64_t share = f->share;

      g_hash_table_remove (a->share_by_workspace, &s->workspace);
      table_remove (&a->shares, share);
    }
  g_hash_table_remove (a->flow_by_key, &f->key);
  table_remove (&a->flows, id);
}

static void
remove_idle_flows (struct admission *a, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&a->flows, 0, &row); id != 0;
       id = table_next (&a->flows, id, &row))
    {
      struct flow *f = row;

      if (f->entries.len > 0)
        f->active_us = now_us;
      if (now_us - f->active_us > ADMISSION_FLOW_IDLE_US)
        remove_flow (a, id);
    }
}

/* Internal functions: both policies */

static struct admission *
init (const struct admission_settings *settings)
{
  struct admission *a = g_new0 (struct admission, 1);

  a->settings = *settings;
  a->emptied = true;
  table_init (&a->entries, sizeof (struct entry));
  table_init (&a->flows, sizeof (struct flow));
  table_init (&a->shares, sizeof (struct workspace_share));
  a->share_by_workspace
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  a->flow_by_key = g_hash_table_new_full (hash_key, equal_keys, g_free, NULL);
  for (uint32_t i = 0; i < ADMISSION_IMPORTANCE_COUNT; i++)
    a->levels[i].flows = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return a;
}

static void
close_queue (struct admission *a)
{
  if (a == NULL)
    return;
  for (uint32_t i = 0; i < ADMISSION_IMPORTANCE_COUNT; i++)
    g_array_unref (a->levels[i].flows);
  g_hash_table_unref (a->flow_by_key);
  table_close (&a->entries);
  table_close (&a->flows);
  g_hash_table_unref (a->share_by_workspace);
  table_close (&a->shares);
  g_free (a);
}

static uint64_t
add_entry (struct admission *a, const struct admission_item *item,
           int64_t now_us)
{
  void *row;
  uint64_t id = table_add (&a->entries, &row);
  struct entry *e = row;

  e->item = *item;
  e->item.importance = MIN (item->importance, ADMISSION_IMPORTANCE_COUNT - 1);
  e->queued_us = now_us;
  return id;
}

static void
record_completion (struct admission *a, int64_t service_us, int64_t now_us)
{
  double sample = (double)MAX (service_us, 0);

  if (a->service_us == 0)
    a->service_us = sample;
  else
    a->service_us += ADMISSION_SERVICE_GAIN * (sample - a->service_us);
}

static void
set_limit (struct admission *a, uint32_t limit)
{
  a->limit = limit;
}

static uint32_t
get_length (const struct admission *a)
{
  return a->len;
}

static bool
pop_dropped (struct admission *a, struct admission_drop *result)
{
  uint64_t id = a->dropped.head;
  const struct entry *e = get_entry (a, id);

  if (e == NULL)
    return false;
  *result = (struct admission_drop){ e->item.job, e->error };
  unlink_entry (a, &a->dropped, id);
  table_remove (&a->entries, id);
  return true;
}

/* Internal functions: policy "priority" */

static enum err_kind
priority_offer (struct admission *a, const struct admission_item *item,
                int64_t now_us, uint64_t *entry)
{
  struct admission_item clipped = *item;
  uint64_t flow;

  clipped.importance = MIN (item->importance, ADMISSION_IMPORTANCE_COUNT - 1);
  a->levels[make_key (a, &clipped).importance].arrivals++;
  if (clipped.importance < a->threshold)
    return ERR_OVERLOADED;
  if (misses_deadline (a, &clipped, now_us))
    return ERR_DEADLINE_NOT_RUN;
  if (expires_in_queue (a, &clipped, now_us))
    return ERR_OVERLOADED;
  if (a->len >= a->settings.queue_max
      && !is_rule_off (a, ADMISSION_RULE_QUEUE_LIMIT)
      && !make_room (a, &clipped))
    return ERR_OVERLOADED;
  flow = get_or_add_flow (a, &clipped);
  get_flow (a, flow)->active_us = now_us;
  *entry = add_entry (a, &clipped, now_us);
  enqueue (a, *entry, flow);
  return ERR_NONE;
}

static uint64_t
pop_first (struct admission *a, int64_t now_us)
{
  for (uint32_t i = ADMISSION_IMPORTANCE_COUNT; i-- > 0;)
    while (a->levels[i].len > 0)
      {
        uint64_t flow = find_next_flow (a, &a->levels[i]);
        uint64_t id = get_flow (a, flow)->entries.head;

        if (misses_deadline (a, &get_entry (a, id)->item, now_us))
          {
            drop (a, id, ERR_DEADLINE_NOT_RUN);
            continue;
          }
        record_start (a, flow);
        dequeue (a, id);
        return id;
      }
  return 0;
}

static bool
priority_next (struct admission *a, int64_t now_us,
               struct admission_item *item)
{
  uint64_t id = pop_first (a, now_us);

  if (a->len == 0)
    a->emptied = true;
  if (id == 0)
    return false;
  *item = get_entry (a, id)->item;
  table_remove (&a->entries, id);
  return true;
}

static bool
priority_remove (struct admission *a, uint64_t entry)
{
  const struct entry *e = get_entry (a, entry);

  if (e == NULL || e->flow == 0)
    return false;
  dequeue (a, entry);
  table_remove (&a->entries, entry);
  return true;
}

static void
priority_tick (struct admission *a, int64_t now_us)
{
  drop_late (a, now_us);
  if (a->len == 0)
    a->emptied = true;
  if (now_us < a->interval_end_us)
    return;
  a->interval_end_us = now_us + a->settings.interval_us;
  update_threshold (a, now_us);
  decay_shares (a);
  remove_idle_flows (a, now_us);
}

static uint32_t
priority_get_threshold (const struct admission *a)
{
  return a->threshold;
}

/* Internal functions: policy "naive" */

static enum err_kind
naive_offer (struct admission *a, const struct admission_item *item,
             int64_t now_us, uint64_t *entry)
{
  *entry = add_entry (a, item, now_us);
  append_entry (a, &a->fifo, *entry);
  a->len++;
  return ERR_NONE;
}

static bool
naive_remove (struct admission *a, uint64_t entry)
{
  if (get_entry (a, entry) == NULL)
    return false;
  unlink_entry (a, &a->fifo, entry);
  table_remove (&a->entries, entry);
  a->len--;
  return true;
}

static bool
naive_next (struct admission *a, int64_t now_us, struct admission_item *item)
{
  uint64_t id = a->fifo.head;

  if (id == 0)
    return false;
  *item = get_entry (a, id)->item;
  return naive_remove (a, id);
}

static void
naive_tick (struct admission *a, int64_t now_us)
{
}

static uint32_t
naive_get_threshold (const struct admission *a)
{
  return 0;
}

static const struct admission_ops policies[] = {
  { .name = STR_LIT ("priority"),
    .init = init,
    .close = close_queue,
    .offer = priority_offer,
    .next = priority_next,
    .remove = priority_remove,
    .record_completion = record_completion,
    .set_limit = set_limit,
    .tick = priority_tick,
    .get_threshold = priority_get_threshold,
    .get_length = get_length,
    .pop_dropped = pop_dropped },
  { .name = STR_LIT ("naive"),
    .init = init,
    .close = close_queue,
    .offer = naive_offer,
    .next = naive_next,
    .remove = naive_remove,
    .record_completion = record_completion,
    .set_limit = set_limit,
    .tick = naive_tick,
    .get_threshold = naive_get_threshold,
    .get_length = get_length,
    .pop_dropped = pop_dropped },
};

/* Public functions */

/**
 * admission_find_ops - looks up a policy
 * @name: value of the settings member policy.admit
 *
 * Return: function table of the policy, or NULL if there is no such policy.
 */
const struct admission_ops *
admission_find_ops (struct str name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (str_equal (policies[i].name, name))
      return &policies[i];
  return str_equal (admission_urgency_ops.name, name) ? &admission_urgency_ops
                                                      : NULL;
}

struct admission_settings
admission_get_defaults (void)
{
  return (struct admission_settings){ .queue_max = ADMISSION_QUEUE_MAX,
                                      .delay_target_us
                                      = ADMISSION_DELAY_TARGET_US,
                                      .interval_us = ADMISSION_INTERVAL_US };
}
