/* bench_limits: wrongful rejections by the rate limits for each phase, in
   virtual time.  A rejection is wrongful if one global token bucket that sees
   every request in order would have admitted the request.

   Each workspace belongs to a shard.  The daemon that holds the lease of the
   shard, its holder, grants batches of tokens to all daemons.

   Usage: bench_limits [SEED]  */

#include "../tests/shard_sim.h"

#include <stdlib.h>

/* Constants */

#define PHASE_MS 40000
#define SETTLE_MS 10000 /* before the first phase */
#define NODES 12
#define SEED_DEFAULT 1
/* From the start of a phase: duration of a platform outage, and time until
   killed holders are restarted.  */
#define OUTAGE_MS 20000

/* Types */

struct phase
{
  const char *name;
  enum sim_shape shape;
  bool kill_holders; /* stops all shard holders */
  bool outage;       /* makes the platform unreachable */
};

/* State */

/* Two large workspaces, two with a tenth of the largest rate, and four small
   ones.  The load of each is four fifths of its rate.  */
static const struct sim_workspace workspaces[] = {
  { "large-1", { 400, 400 }, 320 }, { "large-2", { 200, 200 }, 160 },
  { "middle-1", { 40, 40 }, 32 },   { "middle-2", { 40, 40 }, 32 },
  { "small-1", { 5, 10 }, 4 },      { "small-2", { 5, 10 }, 4 },
  { "least-1", { 1, 5 }, 0.8 },     { "least-2", { 1, 5 }, 0.8 },
};

static const struct phase phases[] = {
  { "steady", SIM_EVEN, false, false },
  { "uneven (9/10 at one daemon)", SIM_UNEVEN, false, false },
  { "moving (every 2 s)", SIM_MOVING, false, false },
  { "holder killed", SIM_EVEN, true, false },
  { "platform down 20 s", SIM_EVEN, false, true },
  { "platform down 20 s, holder killed", SIM_EVEN, true, true },
};

/* Internal functions */

static void
begin_phase (struct sim *s, const struct phase *p)
{
  int holders[SIM_SHARDS];

  s->shape = p->shape;
  memcpy (holders, s->last_holder, sizeof holders);
  if (p->outage)
    s->platform_down_until_ms = s->now_ms + OUTAGE_MS;
  for (int i = 0; i < SIM_SHARDS && p->kill_holders; i++)
    sim_restart_node (s, holders[i], OUTAGE_MS);
}

static double
get_percent (uint64_t count, uint64_t total)
{
  return total > 0 ? 100.0 * (double)count / (double)total : 0;
}

static void
print_phase (const struct sim *s, const struct phase *p)
{
  const struct sim_counts *k = &s->counts;
  uint64_t large = k->wrongly_rejected_by[0] + k->wrongly_rejected_by[1];
  uint64_t small = 0, small_offered = 0;
  double wait = k->waits > 0 ? (double)k->waited_us / (double)k->waits : 0;

  for (int w = 4; w < 8; w++)
    {
      small += k->wrongly_rejected_by[w];
      small_offered += k->offered_by[w];
    }
  printf ("| %s | %llu | %.2f%% | %.2f%% | %.2f%% | %.2f%% | %.2f%% | "
          "%.0f ms |\n",
          p->name, (unsigned long long)k->offered,
          get_percent (k->wrongly_rejected, k->offered),
          get_percent (large, k->offered_by[0] + k->offered_by[1]),
          get_percent (small, small_offered),
          get_percent (k->unavailable, k->offered),
          get_percent (k->waits, k->offered), wait / 1000);
}

int
main (int argc, char **argv)
{
  struct sim_options opt = { .seed = SEED_DEFAULT,
                             .nodes = NODES,
                             .workspaces = workspaces,
                             .workspaces_len = G_N_ELEMENTS (workspaces) };
  struct sim *s = g_new (struct sim, 1);

  if (argc > 1)
    opt.seed = (uint32_t)strtoul (argv[1], NULL, 10);
  opt.length_ms = SETTLE_MS + (int64_t)G_N_ELEMENTS (phases) * PHASE_MS;
  sim_open (s, &opt);
  sim_run (s, SETTLE_MS);
  printf ("bench_limits seed %u, %d daemons, %d shards, tick %d ms\n\n"
          "| phase (%d s) | requests | wrongful | of the two large | "
          "of the four small | unavailable | waited | mean wait |\n"
          "|---|---|---|---|---|---|---|---|\n",
          opt.seed, NODES, SIM_SHARDS, SIM_TICK_MS, PHASE_MS / 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (phases); i++)
    {
      memset (&s->counts, 0, sizeof s->counts);
      begin_phase (s, &phases[i]);
      sim_run (s, s->now_ms + PHASE_MS);
      print_phase (s, &phases[i]);
    }
  printf ("\nwindows over burst + rate x w: %llu, moments with two holders: "
          "%llu\n",
          (unsigned long long)s->over_limit,
          (unsigned long long)s->double_holders);
  sim_close (s);
  g_free (s);
  return EXIT_SUCCESS;
}
