/* route_explain: shows operators where a request would go now.  */

#include "route_explain.h"

/* Constants */

/* Choices from which the chances are computed.  They take about 1 ms of a
   front thread, and the chances are accurate to some hundredths.  */
#define ROUTE_EXPLAIN_DRAWS 200u

/* Internal functions */

static bool
contains (struct route_endpoint *const *list, uint32_t len,
          const struct route_endpoint *e)
{
  for (uint32_t i = 0; i < len; i++)
    if (list[i] == e)
      return true;
  return false;
}

static const char *
get_excluding_rule (const struct route_candidates *c,
                    const struct route_endpoint *e)
{
  if (contains (c->available, c->available_len, e))
    return NULL;
  if (contains (c->failing, c->failing_len, e))
    return "success_rate";
  if (contains (c->unresponsive, c->unresponsive_len, e))
    return "unresponsive";
  return "backoff";
}

/* Draws with a copy of the random generator.  */
static void
draw_chances (struct route_explain *x, struct route_pool *p,
              const struct route_ops *ops, int64_t now_us)
{
  GRand *rand = p->rand;
  uint32_t round_robin_count = p->round_robin_count;

  p->rand = g_rand_copy (rand);
  for (uint32_t i = 0; i < ROUTE_EXPLAIN_DRAWS; i++)
    {
      uint64_t member = ops->choose (p, NULL, 0, now_us);

      for (uint32_t k = 0; k < x->len; k++)
        if (x->rows[k].endpoint->member == member)
          x->rows[k].chance += 1.0 / ROUTE_EXPLAIN_DRAWS;
    }
  g_rand_free (p->rand);
  p->rand = rand;
  p->round_robin_count = round_robin_count;
}

/* Public functions */

/**
 * route_explain_pool - explains the next choice
 * @x: receives a row for each endpoint that this daemon chooses from
 * @p: pool; the rows point into it
 * @ops: policy
 * @now_us: current time
 *
 * The beliefs are those of even_load, also under another policy.
 */
void
route_explain_pool (struct route_explain *x, struct route_pool *p,
                    const struct route_ops *ops, int64_t now_us)
{
  struct route_candidates c = route_collect_candidates (p, NULL, 0, now_us);

  *x = (struct route_explain){ .len = 0 };
  for (uint32_t i = 0; i < p->subset_len; i++)
    {
      const struct route_endpoint *e = table_get (&p->endpoints, p->subset[i]);

      x->rows[x->len++] = (struct route_explain_row){
        .endpoint = e,
        .belief = route_even_get_belief (p, e, now_us),
        .excluded_by = get_excluding_rule (&c, e)
      };
    }
  x->outside_subset = (uint32_t)p->endpoints.count - x->len;
  draw_chances (x, p, ops, now_us);
}
