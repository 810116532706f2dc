/* shard_sim: simulates the lease, token_bucket, quota and idempotency modules
   of several daemons, called nodes, in virtual time.  Faults of the platform,
   the network and the nodes follow a seeded schedule.  The results are
   compared with a reference: one global token bucket for each workspace, which
   sees every request in order, and the count of runs for each idempotency
   key.  */

#ifndef ALMONDVALE_SHARD_SIM_H
#define ALMONDVALE_SHARD_SIM_H

#include "idempotency.h"
#include "lease.h"
#include "quota.h"
#include "token_bucket.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Constants */

#define SIM_NODES_MAX 12
#define SIM_SHARDS 2
#define SIM_WORKSPACES_MAX 8
#define SIM_TICK_MS 10
#define SIM_PLATFORM_TIMEOUT_MS 1000
/* Wall-clock time at the start of the simulation.  */
#define SIM_WALL_MS 1700000000000
#define SIM_KEY_TRIES_MAX 12

/* Types */

struct sim_workspace
{
  const char *name;
  struct token_bucket_limit limit;
  double load; /* requests per second over all nodes */
};

enum sim_shape
{
  SIM_EVEN,
  SIM_UNEVEN, /* nine tenths of the load at node 1 */
  SIM_MOVING  /* nine tenths at one node, another every 2 s */
};

struct sim_options
{
  uint32_t seed;
  int64_t length_ms;
  int nodes;
  int workspaces_len;
  const struct sim_workspace *workspaces;
  bool faults; /* random pauses, losses, outages, restarts, shutdowns */
  /* half of the nodes spend tokens only just before expiry */
  bool hoard;
  double keys_per_s; /* idempotency keys per second */
  bool limit_changes;
  double late_chance; /* probability that a message is delayed, by up to 2 s */
  /* interval at which the holder of shard 0 shuts down; 0: never */
  int64_t release_ms;
  /* At this time the platform goes down for 10 s, and the holders cannot reach
     it for another 15 s.  There is no outage if it is 0.  */
  int64_t outage_ms;
  int64_t drift_ppm; /* clock rates of two nodes differ by up to twice this */
  /* Bits of the rules that are disabled in each module.  */
  uint32_t disabled_lease_rules, disabled_bucket_rules, disabled_quota_rules,
      disabled_idempotency_rules;
};

enum sim_kind
{
  SIM_READ,
  SIM_WRITE,
  SIM_LEASE_EVENT, /* answer of the platform, or message about a promise */
  SIM_TOKEN_REQUEST,
  SIM_GRANT,
  SIM_REGISTER,
  SIM_REGISTERED,
  SIM_COMPLETE,
  SIM_RESTART
};

struct sim_message
{
  enum sim_kind kind;
  int from, to; /* node index, -1 for the platform */
  uint64_t to_incarnation;
  struct lease_event lease; /* lease events, reads and writes */
  int workspace;
  struct quota_token_request token_request;
  struct token_bucket_grant grant;
  uint32_t key; /* index in sim.keys */
  struct idempotency_attempt attempt;
  enum idempotency_result answer;
};

struct sim_call
{
  int workspace;
  int64_t arrived_us;
  bool reference_ok; /* the reference bucket had a token for it */
};

struct sim_node
{
  int index;
  bool alive;
  uint64_t incarnation;
  uint32_t domain;
  /* Until when the node is paused, cut off from the platform, and cut off from
     the other failure domains.  */
  int64_t paused_until_ms, platform_cut_until_ms, isolated_until_ms;
  int64_t leave_at_ms; /* 0 if the node does not shut down */
  /* Length of the pause at the end of the present tick, or 0.  The messages of
     the tick are delayed by it.  */
  int64_t send_delay_ms;
  /* Errors of its clock rate, monotonic clock and wall clock.  */
  int64_t drift_ppm, offset_us, wall_offset_ms;
  struct lease_table lease;
  struct token_bucket_set buckets;
  struct quota_set quotas;
  struct idempotency_registry idempotency;
  GArray *calls; /* struct sim_call */
};

/* An idempotency key of a client.  The client tries it at random nodes, up to
   SIM_KEY_TRIES_MAX times.  */
struct sim_key
{
  struct idempotency_key key;
  int64_t next_ms;
  int tries;
  int runs;
  struct idempotency_attempt attempt; /* last attempt */
};

/* Requests by result.  A request is wrongly rejected if the reference bucket
   had a token for it.  */
struct sim_counts
{
  uint64_t offered, reference_ok, taken, exceeded, unavailable,
      wrongly_rejected;
  uint64_t wrongly_rejected_by[SIM_WORKSPACES_MAX],
      offered_by[SIM_WORKSPACES_MAX];
  uint64_t waited_us, waits;
};

struct sim_spending
{
  GArray *times; /* double: times at which tokens were spent, in s */
  double reference_level, reference_updated_s;
  /* Largest (tokens spent - rate x length) of any window of time.  */
  double max_excess;
  double rate_integral; /* tokens added by the rate so far */
  double rate_updated_s;
  /* largest excess of a window that ends at the last spent token */
  double running_excess;
  double last_spend_integral; /* rate_integral at that token */
  struct token_bucket_limit limit;
};

struct sim
{
  struct sim_options opt;
  GRand *rand;
  int64_t now_ms;
  GPtrArray **due; /* struct sim_message, by the time of delivery in ms */
  int64_t due_len;
  struct sim_node nodes[SIM_NODES_MAX];
  bool exists[SIM_SHARDS];
  uint64_t version[SIM_SHARDS];
  struct lease_object object[SIM_SHARDS];
  int64_t platform_down_until_ms;
  /* When a node last started to grant for the shard.  */
  int64_t granting_since_ms[SIM_SHARDS];
  /* Last node that started to grant for the shard, or -1.  */
  int last_holder[SIM_SHARDS];
  uint64_t granted_epoch[SIM_SHARDS]; /* highest epoch of a grant */
  struct sim_spending spending[SIM_WORKSPACES_MAX];
  GArray *keys; /* struct sim_key */
  struct sim_counts counts;
  enum sim_shape shape;
  /* Takeovers, ms in which a holder granted by promises, and in any way.  */
  uint64_t takeovers, extended_ms, granting_ms;
  /* Violations: ms with two holders, grants of an older epoch after one of a
     newer epoch, second runs of a request, tokens spent above the limit.  */
  uint64_t double_holders, old_epoch_grants, double_runs, over_limit;
};

/* Random numbers, time and messages */

static bool
sim_chance (struct sim *s, double p)
{
  return g_rand_double (s->rand) < p;
}

static int64_t
sim_random_between (struct sim *s, int64_t from, int64_t to)
{
  return g_rand_int_range (s->rand, (gint32)from, (gint32)to);
}

static int64_t
sim_node_us (const struct sim *s, const struct sim_node *n)
{
  int64_t t = s->now_ms * 1000;

  return n->offset_us + t + t * n->drift_ppm / 1000000;
}

static void
sim_schedule (struct sim *s, int64_t at, const struct sim_message *m)
{
  at = MAX (at, s->now_ms + 1);
  if (at >= s->due_len)
    return;
  if (s->due[at] == NULL)
    s->due[at] = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (s->due[at], g_memdup2 (m, sizeof *m));
}

/* Sends a message between nodes.  If faults are enabled, 2% of the messages
   are lost.  */
static void
sim_send (struct sim *s, struct sim_node *from, struct sim_message m)
{
  int64_t at = s->now_ms + from->send_delay_ms + sim_random_between (s, 1, 4);

  m.from = from->index;
  if (m.kind != SIM_LEASE_EVENT)
    m.to_incarnation = s->nodes[m.to].incarnation;
  if (s->opt.faults && sim_chance (s, 0.02))
    return;
  if (s->opt.late_chance > 0 && sim_chance (s, s->opt.late_chance))
    at += sim_random_between (s, 100, 2000);
  if (from->index != m.to
      && (from->isolated_until_ms > s->now_ms
          || s->nodes[m.to].isolated_until_ms > s->now_ms)
      && from->domain != s->nodes[m.to].domain)
    return;
  sim_schedule (s, at, &m);
}

/* Platform */

static void
sim_answer (struct sim *s, struct sim_node *n, struct lease_event e,
            int64_t at)
{
  struct sim_message m
      = { .kind = SIM_LEASE_EVENT, .from = -1, .to = n->index };

  m.lease = e;
  m.to_incarnation = n->incarnation;
  sim_schedule (s, at, &m);
}

static void
sim_request_platform (struct sim *s, struct sim_node *n,
                      const struct lease_action *a)
{
  struct sim_message m = { .from = n->index, .to = -1 };
  struct lease_event timeout = { .shard = a->shard, .request = a->request };
  bool write = a->kind == LEASE_WRITE;
  int64_t sent = s->now_ms + n->send_delay_ms;

  m.kind = write ? SIM_WRITE : SIM_READ;
  m.to_incarnation = n->incarnation;
  m.lease = (struct lease_event){ .shard = a->shard,
                                  .request = a->request,
                                  .version = a->version,
                                  .object = a->object };
  timeout.kind = write ? LEASE_EVENT_UNKNOWN : LEASE_EVENT_UNREACHABLE;
  sim_answer (s, n, timeout, sent + SIM_PLATFORM_TIMEOUT_MS);
  if (n->platform_cut_until_ms > sent || s->platform_down_until_ms > sent)
    {
      /* Half of the calls fail immediately, the others time out.  Three in ten
         of those that time out still arrive later.  */
      if (sim_chance (s, 0.5))
        {
          timeout.kind = LEASE_EVENT_UNREACHABLE;
          sim_answer (s, n, timeout, sent + 2);
        }
      else if (sim_chance (s, 0.3))
        sim_schedule (s, sent + sim_random_between (s, 500, 5000), &m);
      return;
    }
  sim_schedule (s, sent + sim_random_between (s, 1, 20), &m);
}

static void
sim_serve_platform (struct sim *s, const struct sim_message *m)
{
  uint32_t shard = m->lease.shard;
  struct sim_node *n = &s->nodes[m->from];
  struct lease_event e = m->lease;
  struct sim_message back = { .kind = SIM_LEASE_EVENT, .from = -1 };
  int64_t at = s->now_ms + sim_random_between (s, 1, 20);

  if (s->platform_down_until_ms > s->now_ms)
    return;
  if (m->kind == SIM_READ)
    {
      e.kind = s->exists[shard] ? LEASE_EVENT_READ : LEASE_EVENT_ABSENT;
      e.version = s->version[shard];
      e.object = s->object[shard];
    }
  else if (e.version != s->version[shard])
    e.kind = LEASE_EVENT_CONFLICT;
  else
    {
      e.kind = LEASE_EVENT_WRITTEN;
      s->takeovers += e.object.epoch != s->object[shard].epoch;
      s->exists[shard] = true;
      s->object[shard] = e.object;
      e.version = ++s->version[shard];
    }
  if (s->opt.faults
      && (sim_chance (s, 0.03) || n->platform_cut_until_ms > s->now_ms))
    return;
  if (s->opt.faults && sim_chance (s, 0.05))
    at += sim_random_between (s, 100, 1500);
  back.to = m->from;
  back.to_incarnation = m->to_incarnation;
  back.lease = e;
  sim_schedule (s, at, &back);
}

/* Spent tokens, compared with the limit and the reference bucket */

static void
sim_advance_rate (struct sim_spending *p, double now_s)
{
  p->rate_integral += (now_s - p->rate_updated_s) * p->limit.rate;
  p->rate_updated_s = now_s;
}

/* Records a spent token.  running_excess is the largest (tokens spent - rate x
   length) over all windows that end with this token and start with this or any
   earlier one.  */
static void
sim_spend_token (struct sim *s, int workspace)
{
  struct sim_spending *p = &s->spending[workspace];
  double now_s = (double)s->now_ms / 1000;

  sim_advance_rate (p, now_s);
  p->running_excess
      = MAX (p->running_excess - (p->rate_integral - p->last_spend_integral),
             0)
        + 1;
  p->last_spend_integral = p->rate_integral;
  p->max_excess = MAX (p->max_excess, p->running_excess);
  if (p->running_excess > p->limit.burst + 1e-6)
    s->over_limit++;
  g_array_append_val (p->times, now_s);
}

static bool
sim_take_reference_token (struct sim *s, int workspace)
{
  struct sim_spending *p = &s->spending[workspace];
  double now_s = (double)s->now_ms / 1000;

  p->reference_level = MIN (
      p->reference_level + (now_s - p->reference_updated_s) * p->limit.rate,
      p->limit.burst);
  p->reference_updated_s = now_s;
  if (p->reference_level < 1)
    return false;
  p->reference_level -= 1;
  return true;
}

/* Nodes */

static struct str
sim_get_name (const struct sim *s, int workspace)
{
  return str_from_cstr (s->opt.workspaces[workspace].name);
}

static int
sim_find_workspace (const struct sim *s, struct str name)
{
  for (int w = 0; w < s->opt.workspaces_len; w++)
    if (str_equal (sim_get_name (s, w), name))
      return w;
  return -1;
}

static void
sim_start_node (struct sim *s, struct sim_node *n)
{
  struct lease_settings lease = lease_get_defaults ();
  struct idempotency_settings registry = idempotency_get_defaults ();
  struct lease_daemon self = { (uint64_t)n->index + 1, ++n->incarnation };

  lease.shards = SIM_SHARDS;
  lease.disabled_rules = s->opt.disabled_lease_rules;
  registry.disabled_rules = s->opt.disabled_idempotency_rules;
  registry.retention_ms = 30000;
  n->alive = true;
  n->paused_until_ms = 0;
  n->leave_at_ms = 0;
  n->offset_us = sim_random_between (s, 0, 1000000000);
  n->drift_ppm
      = sim_random_between (s, -s->opt.drift_ppm, s->opt.drift_ppm + 1);
  n->wall_offset_ms = sim_random_between (s, -1000, 1000);
  lease_init_table (&n->lease, self, &lease);
  n->lease.started_us = sim_node_us (s, n);
  token_bucket_init_set (&n->buckets, SIM_SHARDS);
  n->buckets.disabled_rules = s->opt.disabled_bucket_rules;
  quota_init_set (&n->quotas, n->incarnation << 32);
  n->quotas.disabled_rules = s->opt.disabled_quota_rules;
  idempotency_init_registry (&n->idempotency, SIM_SHARDS, &registry);
  for (int w = 0; w < s->opt.workspaces_len; w++)
    token_bucket_set_limit (&n->buckets, sim_get_name (s, w),
                            s->spending[w].limit, sim_node_us (s, n));
  n->calls = g_array_new (FALSE, FALSE, sizeof (struct sim_call));
}

static void
sim_stop_node (struct sim_node *n)
{
  n->alive = false;
  lease_close_table (&n->lease);
  token_bucket_close_set (&n->buckets);
  quota_close_set (&n->quotas);
  idempotency_close_registry (&n->idempotency);
  g_array_unref (n->calls);
}

/* Sets the candidates for the writes of a node.  Each node knows which nodes
   are alive, as it would from membership.  */
static void
sim_choose_candidates (struct sim *s, struct sim_node *n)
{
  struct lease_member members[SIM_NODES_MAX];
  struct lease_daemon candidates[LEASE_CANDIDATES], first;
  uint32_t len = 0;

  for (int i = 0; i < s->opt.nodes; i++)
    if (s->nodes[i].alive)
      members[len++] = (struct lease_member){ s->nodes[i].lease.self,
                                              s->nodes[i].domain };
  for (uint32_t shard = 0; shard < SIM_SHARDS; shard++)
    {
      first = lease_choose_candidates (shard, members, len,
                                       (struct lease_daemon){ 0 }, candidates);
      lease_choose_candidates (shard, members, len, n->lease.self, candidates);
      lease_set_candidates (&n->lease, shard, candidates,
                            lease_equal_daemon (first, n->lease.self));
    }
}

static void
sim_run_action (struct sim *s, struct sim_node *n,
                const struct lease_action *a)
{
  struct sim_message m = { .kind = SIM_LEASE_EVENT };
  int64_t now_us = sim_node_us (s, n);

  m.lease = (struct lease_event){ .shard = a->shard,
                                  .request = a->request,
                                  .epoch = a->epoch,
                                  .peer = n->lease.self,
                                  .promise_ms = a->promise_ms,
                                  .age_ms = a->age_ms,
                                  .first_incarnation_at_address = 1 };
  switch (a->kind)
    {
    case LEASE_READ:
    case LEASE_WRITE:
      sim_request_platform (s, n, a);
      break;
    case LEASE_REQUEST_PROMISE:
    case LEASE_REPLY_PROMISE:
      m.lease.kind = a->kind == LEASE_REQUEST_PROMISE
                         ? LEASE_EVENT_PROMISE_REQUEST
                         : LEASE_EVENT_PROMISE_REPLY;
      m.to = (int)a->peer.id - 1;
      m.to_incarnation = a->peer.incarnation;
      /* A request reaches the candidate even if it was restarted since; a
         reply reaches only the incarnation that sent the request.  */
      if (a->kind == LEASE_REQUEST_PROMISE)
        m.to_incarnation = s->nodes[m.to].incarnation;
      sim_send (s, n, m);
      break;
    case LEASE_START_GRANTING:
      s->granting_since_ms[a->shard] = s->now_ms;
      s->last_holder[a->shard] = n->index;
      token_bucket_start_shard (&n->buckets, a->shard, a->epoch, now_us);
      idempotency_start_shard (&n->idempotency, a->shard, a->epoch,
                               a->epoch == LEASE_FIRST_EPOCH,
                               SIM_WALL_MS + s->now_ms + n->wall_offset_ms);
      break;
    case LEASE_STOP_GRANTING:
      token_bucket_stop_shard (&n->buckets, a->shard);
      idempotency_stop_shard (&n->idempotency, a->shard);
      break;
    }
}

static void
sim_run_actions (struct sim *s, struct sim_node *n)
{
  void *row;

  for (uint64_t id = table_next (&n->lease.actions, 0, &row); id != 0;
       id = table_next (&n->lease.actions, id, &row))
    {
      struct lease_action a = *(struct lease_action *)row;

      table_remove (&n->lease.actions, id);
      sim_run_action (s, n, &a);
    }
}

static void
sim_record_grant (struct sim *s, uint32_t shard, uint64_t epoch)
{
  if (epoch < s->granted_epoch[shard])
    s->old_epoch_grants++;
  s->granted_epoch[shard] = MAX (s->granted_epoch[shard], epoch);
}

static void
sim_send_grants (struct sim *s, struct sim_node *n)
{
  void *row;

  for (uint64_t id = table_next (&n->buckets.grants, 0, &row); id != 0;
       id = table_next (&n->buckets.grants, id, &row))
    {
      struct sim_message m = { .kind = SIM_GRANT };

      m.grant = *(struct token_bucket_grant *)row;
      m.to = (int)m.grant.requester;
      m.workspace = sim_find_workspace (s, m.grant.workspace);
      table_remove (&n->buckets.grants, id);
      if (m.grant.count > 0)
        sim_record_grant (
            s, token_bucket_get_shard (m.grant.workspace, SIM_SHARDS),
            m.grant.epoch);
      sim_send (s, n, m);
    }
}

static void
sim_send_token_requests (struct sim *s, struct sim_node *n)
{
  void *row;

  for (uint64_t id = table_next (&n->quotas.token_requests, 0, &row); id != 0;
       id = table_next (&n->quotas.token_requests, id, &row))
    {
      struct sim_message m = { .kind = SIM_TOKEN_REQUEST };

      m.token_request = *(struct quota_token_request *)row;
      m.workspace = sim_find_workspace (s, m.token_request.workspace);
      m.to = s->last_holder[token_bucket_get_shard (m.token_request.workspace,
                                                    SIM_SHARDS)];
      table_remove (&n->quotas.token_requests, id);
      if (m.to < 0 || !s->nodes[m.to].alive)
        quota_fail_token_request (&n->quotas, sim_get_name (s, m.workspace),
                                  m.token_request.sequence,
                                  sim_node_us (s, n));
      else
        sim_send (s, n, m);
    }
}

/* Calls */

static void
sim_end_call (struct sim *s, const struct sim_call *c,
              enum quota_result result, int64_t waited_us)
{
  struct sim_counts *k = &s->counts;

  k->taken += result == QUOTA_TAKEN;
  k->exceeded += result == QUOTA_EXCEEDED;
  k->unavailable += result == QUOTA_UNAVAILABLE;
  if (result == QUOTA_TAKEN)
    sim_spend_token (s, c->workspace);
  else if (c->reference_ok)
    {
      k->wrongly_rejected++;
      k->wrongly_rejected_by[c->workspace]++;
    }
  if (waited_us > 0)
    {
      k->waits++;
      k->waited_us += (uint64_t)waited_us;
    }
}

static double
sim_get_load (const struct sim *s, const struct sim_node *n, int workspace)
{
  double load = s->opt.workspaces[workspace].load;
  int nodes = s->opt.nodes, hot = 1;

  if (s->shape == SIM_EVEN)
    return load / nodes;
  if (s->shape == SIM_MOVING)
    hot = (int)((s->now_ms / 2000 + workspace) % nodes);
  return n->index == hot ? load * 0.9 : load * 0.1 / (nodes - 1);
}

/* Adds the calls that arrive in 1 ms, approximately a Poisson process.  */
static void
sim_add_calls (struct sim *s, struct sim_node *n)
{
  for (int w = 0; w < s->opt.workspaces_len; w++)
    {
      double left = sim_get_load (s, n, w) / 1000;

      for (; left > 0; left -= 1)
        {
          struct sim_call c = { .workspace = w };
          enum quota_result result;

          if (!sim_chance (s, MIN (left, 1)))
            continue;
          c.arrived_us = sim_node_us (s, n);
          c.reference_ok = sim_take_reference_token (s, w);
          s->counts.offered++;
          s->counts.offered_by[w]++;
          s->counts.reference_ok += c.reference_ok;
          result
              = quota_acquire (&n->quotas, sim_get_name (s, w), c.arrived_us);
          if (result == QUOTA_WAIT)
            g_array_append_val (n->calls, c);
          else
            sim_end_call (s, &c, result, 0);
        }
    }
}

static void
sim_poll_calls (struct sim *s, struct sim_node *n)
{
  int64_t now_us = sim_node_us (s, n);
  guint kept = 0;

  for (guint i = 0; i < n->calls->len; i++)
    {
      struct sim_call c = g_array_index (n->calls, struct sim_call, i);
      enum quota_result result = quota_poll (
          &n->quotas, sim_get_name (s, c.workspace), c.arrived_us, now_us);

      if (result == QUOTA_WAIT)
        g_array_index (n->calls, struct sim_call, kept++) = c;
      else
        sim_end_call (s, &c, result, now_us - c.arrived_us);
    }
  g_array_set_size (n->calls, kept);
}

/* Simulates a node that spends as many tokens as possible in a short time.  It
   lets the buckets fill, then requests more tokens than the limit allows, and
   spends all batches when the first one is about to expire.  Within 1 s of a
   takeover it spends its tokens at once, together with those of the previous
   holder.  */
static void
sim_hoard (struct sim *s, struct sim_node *n, bool ask)
{
  int64_t now_us = sim_node_us (s, n);

  for (int w = 0; w < s->opt.workspaces_len; w++)
    {
      const uint64_t *id;
      struct quota *q;
      struct str name = sim_get_name (s, w);
      int64_t started
          = s->granting_since_ms[token_bucket_get_shard (name, SIM_SHARDS)];
      bool spend = s->now_ms - started < 1000;

      id = g_hash_table_lookup (n->quotas.by_name, &name);
      if (id == NULL)
        {
          quota_acquire (&n->quotas, name, now_us);
          continue;
        }
      q = table_get (&n->quotas.quotas, *id);
      q->last_request_us = now_us;
      q->waiting = ask ? s->spending[w].limit.burst : 0;
      for (int i = 0; i < (int)QUOTA_BATCHES; i++)
        if (q->batches[i].count > 0 && q->batches[i].expires_us > now_us
            && q->batches[i].expires_us <= now_us + 2000)
          spend = true;
      for (int i = 0; i < (int)QUOTA_BATCHES; i++)
        for (; spend && q->batches[i].count > 0
               && q->batches[i].expires_us > now_us;
             q->batches[i].count--)
          sim_spend_token (s, w);
    }
}

/* Keys */

static void
sim_add_key (struct sim *s)
{
  struct sim_key k = { .next_ms = s->now_ms };
  int64_t ms = SIM_WALL_MS + s->now_ms + sim_random_between (s, -1000, 1000);

  /* The clock of one client in ten is about 8 s ahead.  */
  if (sim_chance (s, 0.1))
    ms += 8000;
  for (int i = 0; i < 6; i++)
    k.key.bytes[i] = (unsigned char)(ms >> (40 - 8 * i));
  for (int i = 6; i < 16; i++)
    k.key.bytes[i] = (unsigned char)g_rand_int (s->rand);
  g_array_append_val (s->keys, k);
}

static void
sim_try_keys (struct sim *s)
{
  for (guint i = 0; i < s->keys->len; i++)
    {
      struct sim_key *k = &g_array_index (s->keys, struct sim_key, i);
      struct sim_message m = { .kind = SIM_REGISTER, .key = i };
      int node = (int)sim_random_between (s, 0, s->opt.nodes);
      uint32_t shard = i % SIM_SHARDS;

      if (k->tries >= SIM_KEY_TRIES_MAX || s->now_ms < k->next_ms)
        continue;
      k->next_ms = s->now_ms + sim_random_between (s, 500, 3000);
      if (!s->nodes[node].alive || s->nodes[node].paused_until_ms > s->now_ms)
        continue;
      k->tries++;
      k->attempt
          = (struct idempotency_attempt){ (uint64_t)node + 1,
                                          ((uint64_t)i << 8) + k->tries };
      m.attempt = k->attempt;
      m.to = s->last_holder[shard];
      if (m.to >= 0 && s->nodes[m.to].alive)
        sim_send (s, &s->nodes[node], m);
    }
}

static void
sim_handle_register (struct sim *s, struct sim_node *n,
                     const struct sim_message *m)
{
  struct sim_key *k = &g_array_index (s->keys, struct sim_key, m->key);
  struct sim_message back = {
    .kind = SIM_REGISTERED, .to = m->from, .key = m->key, .attempt = m->attempt
  };
  uint32_t shard = m->key % SIM_SHARDS;
  int64_t now_us = sim_node_us (s, n);
  struct str outcome;

  if (!lease_is_granting (&n->lease, shard, now_us))
    return;
  back.answer = idempotency_register (
      &n->idempotency, shard, &k->key, 1, m->attempt, 2000000, now_us,
      SIM_WALL_MS + s->now_ms + n->wall_offset_ms, &outcome);
  sim_send (s, n, back);
}

/* If the answer to the attempt is "new", the request runs: counts the run and
   reports its completion.  */
static void
sim_handle_registered (struct sim *s, struct sim_node *n,
                       const struct sim_message *m)
{
  struct sim_key *k = &g_array_index (s->keys, struct sim_key, m->key);
  struct sim_message done = {
    .kind = SIM_COMPLETE, .to = m->from, .key = m->key, .attempt = m->attempt
  };

  if (m->answer != IDEMPOTENCY_NEW)
    return;
  if (++k->runs > 1)
    s->double_runs++;
  sim_send (s, n, done);
}

/* Main loop */

static void
sim_deliver (struct sim *s, const struct sim_message *m)
{
  struct sim_node *n;
  int64_t now_us;

  if (m->to < 0)
    {
      sim_serve_platform (s, m);
      return;
    }
  n = &s->nodes[m->to];
  if (m->kind == SIM_RESTART)
    {
      sim_start_node (s, n);
      return;
    }
  if (!n->alive || m->to_incarnation != n->incarnation)
    return;
  if (n->paused_until_ms > s->now_ms)
    {
      sim_schedule (s, n->paused_until_ms, m);
      return;
    }
  now_us = sim_node_us (s, n);
  if (m->kind == SIM_LEASE_EVENT)
    lease_apply_event (&n->lease, &m->lease, now_us);
  else if (m->kind == SIM_TOKEN_REQUEST)
    {
      uint32_t shard = token_bucket_get_shard (sim_get_name (s, m->workspace),
                                               SIM_SHARDS);

      if (lease_is_granting (&n->lease, shard, now_us))
        token_bucket_add_request (
            &n->buckets, (uint64_t)m->from, sim_get_name (s, m->workspace),
            m->token_request.waiting, m->token_request.demand,
            m->token_request.returned, m->token_request.returned_epoch,
            m->token_request.sequence, now_us);
    }
  else if (m->kind == SIM_GRANT)
    quota_apply_grant (&n->quotas, sim_get_name (s, m->workspace),
                       m->grant.count, m->grant.validity_us, m->grant.epoch,
                       m->grant.sequence, now_us);
  else if (m->kind == SIM_REGISTER)
    sim_handle_register (s, n, m);
  else if (m->kind == SIM_REGISTERED)
    sim_handle_registered (s, n, m);
  else if (m->kind == SIM_COMPLETE)
    idempotency_complete (&n->idempotency,
                          &g_array_index (s->keys, struct sim_key, m->key).key,
                          m->attempt, STR_LIT ("done"));
}

static void
sim_tick (struct sim *s, struct sim_node *n)
{
  int64_t now_us = sim_node_us (s, n);

  if (s->opt.faults && sim_chance (s, 0.00005))
    n->send_delay_ms = sim_random_between (s, 100, 12000);
  sim_choose_candidates (s, n);
  lease_run (&n->lease, now_us);
  sim_run_actions (s, n);
  token_bucket_run (&n->buckets, now_us);
  sim_send_grants (s, n);
  quota_run (&n->quotas, now_us);
  sim_send_token_requests (s, n);
  idempotency_run (&n->idempotency,
                   SIM_WALL_MS + s->now_ms + n->wall_offset_ms);
  sim_poll_calls (s, n);
  n->paused_until_ms = s->now_ms + n->send_delay_ms;
  n->send_delay_ms = 0;
}

static void
sim_restart_node (struct sim *s, int node, int64_t down_ms)
{
  struct sim_message m = { .kind = SIM_RESTART, .to = node };

  if (!s->nodes[node].alive)
    return;
  sim_stop_node (&s->nodes[node]);
  sim_schedule (s, s->now_ms + down_ms, &m);
}

/* Shuts a node down.  It releases its shards, stops after 500 ms and starts
   again 3 s later.  */
static void
sim_shut_down (struct sim *s, int node)
{
  if (!s->nodes[node].alive || s->nodes[node].lease.leaving)
    return;
  lease_release_all (&s->nodes[node].lease);
  s->nodes[node].leave_at_ms = s->now_ms + 500;
}

/* Starts a random fault, on average one in 5 s.  */
static void
sim_inject_random_fault (struct sim *s)
{
  struct sim_node *n = &s->nodes[sim_random_between (s, 0, s->opt.nodes)];
  int holder = s->last_holder[sim_random_between (s, 0, SIM_SHARDS)];

  if (!sim_chance (s, 0.0002))
    return;
  /* Half of the faults affect a holder.  */
  if (holder >= 0 && sim_chance (s, 0.5))
    n = &s->nodes[holder];
  switch (sim_random_between (s, 0, 7))
    {
    case 0:
      sim_restart_node (s, n->index, sim_random_between (s, 50, 8000));
      break;
    case 1:
      n->paused_until_ms = s->now_ms + sim_random_between (s, 100, 15000);
      break;
    case 2:
    case 3:
      n->platform_cut_until_ms
          = s->now_ms + sim_random_between (s, 500, 20000);
      break;
    case 4:
      s->platform_down_until_ms
          = s->now_ms + sim_random_between (s, 500, 15000);
      break;
    case 5:
      for (int i = 0; i < s->opt.nodes; i++)
        if (s->nodes[i].domain == n->domain)
          s->nodes[i].isolated_until_ms = s->now_ms + 6000;
      break;
    default:
      sim_shut_down (s, n->index);
      break;
    }
}

/* Starts faults at set times, to test the rules that random faults seldom
   test.  */
static void
sim_inject_planned_faults (struct sim *s)
{
  if (s->opt.release_ms > 0 && s->now_ms > 0
      && s->now_ms % s->opt.release_ms == 0 && s->last_holder[0] >= 0)
    sim_shut_down (s, s->last_holder[0]);
  if (s->opt.outage_ms == 0 || s->now_ms != s->opt.outage_ms)
    return;
  s->platform_down_until_ms = s->now_ms + 10000;
  for (int i = 0; i < SIM_SHARDS; i++)
    if (s->last_holder[i] >= 0)
      s->nodes[s->last_holder[i]].platform_cut_until_ms = s->now_ms + 25000;
}

static void
sim_check_holders (struct sim *s)
{
  for (uint32_t shard = 0; shard < SIM_SHARDS; shard++)
    {
      int granting = 0;

      for (int i = 0; i < s->opt.nodes; i++)
        {
          struct sim_node *n = &s->nodes[i];

          if (!n->alive || n->paused_until_ms > s->now_ms
              || !lease_is_granting (&n->lease, shard, sim_node_us (s, n)))
            continue;
          granting++;
          s->extended_ms += n->lease.shards[shard].state == LEASE_EXTENDED;
        }
      s->granting_ms += granting > 0;
      s->double_holders += granting > 1;
    }
}

static void
sim_change_limit (struct sim *s)
{
  int w = (int)sim_random_between (s, 0, s->opt.workspaces_len);
  struct sim_spending *p = &s->spending[w];

  /* Only the rate changes: at most the burst plus the integral of the rate may
     be spent.  */
  sim_advance_rate (p, (double)s->now_ms / 1000);
  p->limit.rate = (uint32_t)sim_random_between (s, 1, 60);
  for (int i = 0; i < s->opt.nodes; i++)
    if (s->nodes[i].alive)
      token_bucket_set_limit (&s->nodes[i].buckets, sim_get_name (s, w),
                              p->limit, sim_node_us (s, &s->nodes[i]));
}

/* Runs the simulation until the given time.  */
static void
sim_run (struct sim *s, int64_t until_ms)
{
  for (; s->now_ms < until_ms; s->now_ms++)
    {
      GPtrArray *due = s->due[s->now_ms];

      for (guint i = 0; due != NULL && i < due->len; i++)
        sim_deliver (s, g_ptr_array_index (due, i));
      if (due != NULL)
        g_ptr_array_unref (due);
      s->due[s->now_ms] = NULL;
      if (s->opt.faults)
        sim_inject_random_fault (s);
      sim_inject_planned_faults (s);
      if (s->opt.limit_changes && s->now_ms % 700 == 0)
        sim_change_limit (s);
      if (s->opt.keys_per_s > 0 && sim_chance (s, s->opt.keys_per_s / 1000))
        sim_add_key (s);
      if (s->now_ms % SIM_TICK_MS == 0)
        sim_try_keys (s);
      for (int i = 0; i < s->opt.nodes; i++)
        {
          struct sim_node *n = &s->nodes[i];

          if (n->alive && n->leave_at_ms != 0 && s->now_ms >= n->leave_at_ms)
            sim_restart_node (s, i, 3000);
          if (!n->alive || n->paused_until_ms > s->now_ms)
            continue;
          if (s->opt.hoard && i % 2 == 0)
            sim_hoard (s, n,
                       s->now_ms % SIM_TICK_MS == 0
                           && s->now_ms / 3000 % 2 == 1);
          else
            sim_add_calls (s, n);
          if (s->now_ms % SIM_TICK_MS == 0)
            sim_tick (s, n);
        }
      sim_check_holders (s);
    }
}

static void
sim_open (struct sim *s, const struct sim_options *opt)
{
  memset (s, 0, sizeof *s);
  s->opt = *opt;
  s->rand = g_rand_new_with_seed (opt->seed);
  s->due_len = opt->length_ms + 1;
  s->due = g_new0 (GPtrArray *, s->due_len);
  s->keys = g_array_new (FALSE, TRUE, sizeof (struct sim_key));
  for (int w = 0; w < opt->workspaces_len; w++)
    {
      s->spending[w].limit = opt->workspaces[w].limit;
      s->spending[w].reference_level = opt->workspaces[w].limit.burst;
      s->spending[w].times = g_array_new (FALSE, FALSE, sizeof (double));
    }
  for (int i = 0; i < SIM_SHARDS; i++)
    s->last_holder[i] = -1;
  for (int i = 0; i < opt->nodes; i++)
    {
      s->nodes[i].index = i;
      s->nodes[i].domain = (uint32_t)i % 3;
      sim_start_node (s, &s->nodes[i]);
    }
}

static void
sim_close (struct sim *s)
{
  for (int64_t i = 0; i < s->due_len; i++)
    if (s->due[i] != NULL)
      g_ptr_array_unref (s->due[i]);
  g_free (s->due);
  for (int i = 0; i < s->opt.nodes; i++)
    if (s->nodes[i].alive)
      sim_stop_node (&s->nodes[i]);
  for (int w = 0; w < s->opt.workspaces_len; w++)
    g_array_unref (s->spending[w].times);
  g_array_unref (s->keys);
  g_rand_free (s->rand);
}

#endif
