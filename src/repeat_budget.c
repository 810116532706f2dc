/* repeat_budget: ledger of the arrivals at one backend server.  */

#include "repeat_budget.h"

#include <float.h>
#include <math.h>

/* Constants */

/* Share of the retries that is kept for calls by executions that were
   themselves retries: the requirement names a quarter.  */
#define RESERVE_SHARE 0.25
/* Demand decays to a third in this time.  It covers some hundred arrivals at a
   busy backend server and follows a fault that begins.  */
#define DECAY_US 500000.0
/* The retries that are allowed now are meant to last for this time of a fault,
   as long as a backend server usually takes to recover.  */
#define SPENDING_US 4000000.0
/* As many are allowed at once whatever they are worth: the requests that one
   daemon had open when it was killed.  */
#define AT_ONCE_MAX 32.0
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

/* Returns how many retries may arrive now.  In each window the rule compares the
   retries with the first arrivals of that window, of the one before it or of
   the one half a window before it, whichever has most; this checks every
   window that ends now or later.  */
static double
get_allowance (const struct repeat_budget *b, double share, int64_t now_us)
{
  const uint32_t window = REPEAT_BUDGET_INTERVALS;
  int64_t interval = now_us / get_interval_us (b);
  /* arrivals of the last i intervals */
  uint32_t firsts[REPEAT_BUDGET_SLOTS + 1] = { 0 };
  uint32_t retries[REPEAT_BUDGET_SLOTS + 1] = { 0 };
  double allowance = DBL_MAX;

  for (uint32_t i = 0; i < REPEAT_BUDGET_SLOTS; i++)
    {
      const struct repeat_budget_slot *slot
          = &b->slots[(uint64_t)(interval - i) % REPEAT_BUDGET_SLOTS];
      bool current = slot->interval == interval - i;

      firsts[i + 1] = firsts[i] + (current ? slot->firsts : 0);
      retries[i + 1] = retries[i] + (current ? slot->retries : 0);
    }
  for (uint32_t begin = 1; begin <= window + 1; begin++)
    {
      uint32_t half = begin > window / 2 ? firsts[begin - window / 2] : 0;
      uint32_t most = MAX (firsts[MIN (begin, window)],
                           firsts[begin + window - 1] - firsts[begin - 1]);

      most = MAX (most, firsts[begin + window / 2 - 1] - half);
      allowance
          = MIN (allowance, share * b->settings.ratio * most - retries[begin]);
    }
  return allowance;
}

static bool
spend (struct repeat_budget *b, double share, int64_t now_us)
{
  if (get_allowance (b, share, now_us) < 1)
    return false;
  get_slot (b, now_us)->retries++;
  return true;
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

/* Returns the number of retries that can be allowed in the time over which the
   demand is counted, so that those allowed now last for a fault.  */
static double
get_supply (const struct repeat_budget *b, int64_t now_us)
{
  double share = 1 - RESERVE_SHARE;
  double allowance = MAX (get_allowance (b, share, now_us), 0);
  double inflow
      = share * b->settings.ratio * repeat_budget_count_firsts (b, now_us);

  return MAX (allowance * DECAY_US / SPENDING_US
                  + inflow * DECAY_US / (double)b->settings.window_us,
              MIN (allowance + b->spent, AT_ONCE_MAX));
}

/* Returns true if the retries that are worth more leave room for one of this
   score.  Of the scores at the limit, the part that fits is taken in turn.  */
static bool
is_worth_retry (struct repeat_budget *b, uint32_t bin, int64_t now_us)
{
  double supply = get_supply (b, now_us);

  for (uint32_t i = bin + 1; i < REPEAT_BUDGET_SCORE_BINS; i++)
    supply -= b->demand[i];
  if (supply >= b->demand[bin])
    return true;
  b->part_taken += MAX (supply, 0) / b->demand[bin];
  if (b->part_taken < 1)
    return false;
  b->part_taken -= 1;
  return true;
}

/* Internal functions: policies */

static enum repeat_budget_decision
ask_equal (struct repeat_budget *b,
           const struct repeat_budget_request *request, int64_t now_us)
{
  double share = request->inherited ? 1 : 1 - RESERVE_SHARE;

  return spend (b, share, now_us) ? REPEAT_BUDGET_ALLOWED
                                  : REPEAT_BUDGET_REFUSED;
}

static enum repeat_budget_decision
ask_value (struct repeat_budget *b,
           const struct repeat_budget_request *request, int64_t now_us)
{
  uint32_t bin = (uint32_t)(repeat_budget_get_score (b, request) / SCORE_MAX
                            * (REPEAT_BUDGET_SCORE_BINS - 1));

  if (!request->inherited)
    {
      decay (b, now_us);
      if (!request->asked)
        b->demand[bin]++;
      if (!is_worth_retry (b, bin, now_us))
        return REPEAT_BUDGET_REFUSED;
    }
  if (ask_equal (b, request, now_us) != REPEAT_BUDGET_ALLOWED)
    return REPEAT_BUDGET_WAIT;
  b->spent++;
  return REPEAT_BUDGET_ALLOWED;
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
 * repeat_budget_init - makes a ledger without arrivals
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
  table_init (&b->classes, sizeof (struct repeat_budget_class));
  b->class_by_key
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
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
  get_slot (b, now_us)->firsts++;
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
