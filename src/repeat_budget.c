/* repeat_budget: ledger of the arrivals at one backend server.  */

#include "repeat_budget.h"

#include <math.h>

/* Constants */

/* Share of the credit that is kept for calls by executions that were
   themselves retries: the requirement names a quarter.  */
#define RESERVE_SHARE 0.25
/* Part of the slack that the bursts of all daemons of a service share.  The
   other half is for daemons that started in a part of a partitioned fleet and
   take their part for the whole service.  */
#define BURST_SHARE 0.5
/* Daemons of a service until it is known.  */
#define DAEMONS_ASSUMED 16u
/* Smallest burst of a daemon, below which it could allow no retry or none for
   calls by retried executions.  24 daemons with it use up the smaller slack of
   the users, 48.  */
#define BURST_MIN 2.0
/* Part of the burst for calls by executions that were themselves retries.  */
#define RESERVE_MAX 1.0
/* Demand and credit spent decay to a third in this time.  It covers some hundred
   arrivals at a busy backend server and follows a fault that begins.  */
#define DECAY_US 500000.0
#define IMPORTANCES 10u
/* Scores are at most the largest importance plus 1.  */
#define SCORE_MAX ((double)IMPORTANCES)
/* The time used at the last calls of a class is this quantile of the time
   used at all of its arrivals: of four calls in sequence, a tenth is within
   the last one.  */
#define USED_QUANTILE 0.9
/* Weight of one arrival in the quantile, relative to its value.  */
#define USED_GAIN (1.0 / 64)
#define USED_STEP_MIN_US 100.0
/* Added to times used.  Requests of a single call differ by less than this
   when they arrive, so that each counts as far advanced.  */
#define USED_OFFSET_US 5000.0
#define CLASS_IDLE_US 60000000
#define CLASSES_MAX 1024u

/* Internal functions: window */

static int64_t
get_interval_us (const struct repeat_budget *b)
{
  return b->settings.window_us / REPEAT_BUDGET_INTERVALS;
}

static struct repeat_budget_slot *
get_slot (struct repeat_budget *b, int64_t now_us)
{
  int64_t interval = now_us / get_interval_us (b);
  struct repeat_budget_slot *slot
      = &b->slots[(uint64_t)interval % REPEAT_BUDGET_SLOTS];

  if (slot->interval != interval)
    *slot = (struct repeat_budget_slot){ .interval = interval };
  return slot;
}

/* Returns true if the window holds the retries after this one.  */
static bool
is_within_ratio (const struct repeat_budget *b, double share, int64_t now_us)
{
  return repeat_budget_count_retries (b, now_us) + 1
         <= share * b->settings.ratio * repeat_budget_count_firsts (b, now_us);
}

static void
spend (struct repeat_budget *b, double *credit, int64_t now_us)
{
  *credit -= 1;
  get_slot (b, now_us)->retries++;
}

/* Spends credit that is kept for calls by executions that were themselves
   retries.  */
static bool
spend_reserve (struct repeat_budget *b, int64_t now_us)
{
  double *credit = b->reserve >= 1 ? &b->reserve : &b->credit;

  if (*credit < 1 || !is_within_ratio (b, 1, now_us))
    return false;
  spend (b, credit, now_us);
  return true;
}

/* Spends credit if there is at least `min`.  */
static bool
spend_credit (struct repeat_budget *b, double min, int64_t now_us)
{
  if (b->credit < min || !is_within_ratio (b, 1 - RESERVE_SHARE, now_us))
    return false;
  spend (b, &b->credit, now_us);
  b->spent++;
  return true;
}

static void
set_burst (struct repeat_budget *b, uint32_t daemons)
{
  double burst = BURST_SHARE * b->settings.slack / daemons;

  b->credit_max = MAX (burst, BURST_MIN) - RESERVE_MAX;
  b->credit = MIN (b->credit, b->credit_max);
}

/* Internal functions: classes */

static uint64_t
get_key (const struct repeat_budget_request *r)
{
  return str_hash (r->route) * IMPORTANCES + r->importance;
}

static struct repeat_budget_class *
find_class (const struct repeat_budget *b,
            const struct repeat_budget_request *r)
{
  uint64_t key = get_key (r);
  uint64_t *id = g_hash_table_lookup (b->class_by_key, &key);

  return id != NULL ? table_get (&b->classes, *id) : NULL;
}

static struct repeat_budget_class *
find_or_add_class (struct repeat_budget *b,
                   const struct repeat_budget_request *r)
{
  struct repeat_budget_class *c = find_class (b, r);
  uint64_t *id;
  void *row;

  if (c != NULL || b->classes.count >= CLASSES_MAX)
    return c;
  id = g_new (uint64_t, 1);
  *id = table_add (&b->classes, &row);
  c = row;
  c->key = get_key (r);
  g_hash_table_insert (b->class_by_key, &c->key, id);
  return c;
}

static double
get_used_us (const struct repeat_budget_class *c, int64_t left_us)
{
  return (double)MAX (MAX (c->left_max_us, c->left_max_last_us) - left_us, 0);
}

static void
record_class (struct repeat_budget *b, const struct repeat_budget_request *r,
              int64_t now_us)
{
  struct repeat_budget_class *c = find_or_add_class (b, r);
  double used_us;

  if (c == NULL)
    return;
  if (now_us >= c->window_end_us)
    {
      c->left_max_last_us = c->left_max_us;
      c->left_max_us = 0;
      c->window_end_us = now_us + b->settings.window_us;
    }
  c->left_max_us = MAX (c->left_max_us, r->left_us);
  c->last_used_us = now_us;
  used_us = get_used_us (c, r->left_us);
  c->used_us += MAX (c->used_us * USED_GAIN, USED_STEP_MIN_US)
                * (used_us > c->used_us ? USED_QUANTILE : USED_QUANTILE - 1);
  c->used_us = MAX (c->used_us, 0);
}

/* Internal functions: scores */

static void
decay (struct repeat_budget *b, int64_t now_us)
{
  double factor = exp (-(double)(now_us - b->decayed_us) / DECAY_US);

  b->decayed_us = now_us;
  b->spent *= factor;
  for (uint32_t i = 0; i < REPEAT_BUDGET_SCORE_BINS; i++)
    b->demand[i] *= factor;
}

/* Returns the credit that a retry needs if the retries worth more than it, or
   as much, ask for all the credit there is.  */
static double
get_margin_credit (const struct repeat_budget *b)
{
  return (1 + b->credit_max) / 2;
}

/* Returns the credit that a retry of this score needs.  While the credit is
   short, those that are worth least get only what would be lost otherwise
   because no more can be saved.  */
static double
get_min_credit (const struct repeat_budget *b, uint32_t bin)
{
  double supply = b->spent + b->credit;
  double above = 0;

  for (uint32_t i = bin + 1; i < REPEAT_BUDGET_SCORE_BINS; i++)
    above += b->demand[i];
  if (above + b->demand[bin] <= supply)
    return 1;
  if (above < supply)
    return get_margin_credit (b);
  return b->credit_max - b->settings.ratio * (1 - RESERVE_SHARE);
}

/* Internal functions: policies */

static enum repeat_budget_decision
ask_equal (struct repeat_budget *b,
           const struct repeat_budget_request *request, int64_t now_us)
{
  bool spent = request->inherited ? spend_reserve (b, now_us)
                                  : spend_credit (b, 1, now_us);

  return spent ? REPEAT_BUDGET_ALLOWED : REPEAT_BUDGET_REFUSED;
}

static enum repeat_budget_decision
ask_value (struct repeat_budget *b,
           const struct repeat_budget_request *request, int64_t now_us)
{
  double min;
  uint32_t bin;

  if (request->inherited)
    return spend_reserve (b, now_us) ? REPEAT_BUDGET_ALLOWED
                                     : REPEAT_BUDGET_WAIT;
  bin = (uint32_t)(repeat_budget_get_score (b, request) / SCORE_MAX
                   * (REPEAT_BUDGET_SCORE_BINS - 1));
  decay (b, now_us);
  if (!request->asked)
    b->demand[bin]++;
  min = get_min_credit (b, bin);
  if (spend_credit (b, min, now_us))
    return REPEAT_BUDGET_ALLOWED;
  return min <= get_margin_credit (b) ? REPEAT_BUDGET_WAIT
                                      : REPEAT_BUDGET_REFUSED;
}

static const struct repeat_budget_ops policies[] = {
  { STR_LIT ("equal"), ask_equal },
  { STR_LIT ("value"), ask_value },
};

/* Public functions */

const struct repeat_budget_ops *
repeat_budget_find_ops (struct str name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (str_equal (name, policies[i].name))
      return &policies[i];
  return NULL;
}

/**
 * repeat_budget_init - makes a ledger without credit
 * @b: ledger
 * @settings: limits; the window is at least REPEAT_BUDGET_INTERVALS us
 *
 * An earlier process may have spent what the arrivals before allowed, so a
 * new one begins with none.
 */
void
repeat_budget_init (struct repeat_budget *b,
                    const struct repeat_budget_settings *settings)
{
  *b = (struct repeat_budget){ .settings = *settings };
  set_burst (b, DAEMONS_ASSUMED);
  table_init (&b->classes, sizeof (struct repeat_budget_class));
  b->class_by_key
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

/**
 * repeat_budget_set_daemons - sets the number of daemons that share the slack
 * @b: ledger
 * @daemons: daemons of the service that are known now
 *
 * The largest number counts: daemons that cannot be reached may still serve
 * others.
 */
void
repeat_budget_set_daemons (struct repeat_budget *b, uint32_t daemons)
{
  if (daemons <= b->daemons)
    return;
  b->daemons = daemons;
  set_burst (b, daemons);
}

void
repeat_budget_close (struct repeat_budget *b)
{
  g_hash_table_unref (b->class_by_key);
  table_close (&b->classes);
}

void
repeat_budget_record_first (struct repeat_budget *b,
                            const struct repeat_budget_request *request,
                            int64_t now_us)
{
  double ratio = b->settings.ratio;

  get_slot (b, now_us)->firsts++;
  b->credit = MIN (b->credit + ratio * (1 - RESERVE_SHARE), b->credit_max);
  b->reserve = MIN (b->reserve + ratio * RESERVE_SHARE, RESERVE_MAX);
  record_class (b, request, now_us);
}

/**
 * repeat_budget_get_score - returns the value of a retry for a request
 * @b: ledger
 * @request: request
 *
 * Return: the progress of the request, up to 1, times its importance plus 1.
 */
double
repeat_budget_get_score (const struct repeat_budget *b,
                         const struct repeat_budget_request *request)
{
  const struct repeat_budget_class *c = find_class (b, request);
  double progress = 1;

  if (c != NULL)
    progress = (get_used_us (c, request->left_us) + USED_OFFSET_US)
               / (c->used_us + USED_OFFSET_US);
  return MIN (progress, 1.0) * (request->importance + 1);
}

/* Counts only intervals that lie whole in the window, so that it never counts
   too many.  */
uint32_t
repeat_budget_count_firsts (const struct repeat_budget *b, int64_t now_us)
{
  int64_t interval = now_us / get_interval_us (b);
  uint32_t count = 0;

  for (uint32_t i = 0; i < REPEAT_BUDGET_SLOTS; i++)
    if (b->slots[i].interval > interval - REPEAT_BUDGET_INTERVALS)
      count += b->slots[i].firsts;
  return count;
}

/* Counts intervals that lie in the window in part, so that it never counts too
   few.  */
uint32_t
repeat_budget_count_retries (const struct repeat_budget *b, int64_t now_us)
{
  int64_t interval = now_us / get_interval_us (b);
  uint32_t count = 0;

  for (uint32_t i = 0; i < REPEAT_BUDGET_SLOTS; i++)
    if (b->slots[i].interval >= interval - REPEAT_BUDGET_INTERVALS)
      count += b->slots[i].retries;
  return count;
}

void
repeat_budget_expire (struct repeat_budget *b, int64_t now_us)
{
  void *p;

  for (uint64_t id = table_next (&b->classes, 0, &p); id != 0;
       id = table_next (&b->classes, id, &p))
    {
      struct repeat_budget_class *c = p;

      if (now_us - c->last_used_us <= CLASS_IDLE_US)
        continue;
      g_hash_table_remove (b->class_by_key, &c->key);
      table_remove (&b->classes, id);
    }
}
