/* bench_shard: CPU, memory and traffic of a shard holder, the daemon that
   grants tokens and registers idempotency keys for a shard, depending on the
   numbers of workspaces, token requests and keys.

   Usage: bench_shard [SEED]

   Each row simulates 10 s of virtual time in ticks of 50 ms.  Messages are
   encoded and decoded as by the control thread, but not sent over sockets.  */

#include "frame.h"
#include "idempotency.h"
#include "token_bucket.h"
#include "wire_shard.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Constants */

#define SECONDS 10
#define TICKS_PER_S 20
#define TICK_US 50000
#define WALL_MS 1700000000000 /* wall-clock time at the start */
#define OUTCOME_BYTES 512
#define SEED_DEFAULT 1

/* Types */

struct load
{
  uint32_t workspaces;
  uint32_t daemons;        /* that request tokens */
  uint32_t token_requests; /* per second, of all daemons together */
  uint32_t keys;           /* registered and completed per second */
};

struct result
{
  double cpu;       /* CPU seconds per second of virtual time */
  size_t memory;    /* bytes allocated at the end */
  uint64_t in, out; /* bytes of frames received and sent */
};

struct holder
{
  struct token_bucket_set buckets;
  struct idempotency_registry registry;
  struct str_buf in, out;
  GRand *rand;
  uint64_t sequence;
  struct result result;
};

/* Internal functions */

static double
get_cpu_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Encodes a message from another daemon and returns its payload.  Adds the CPU
   time used to *cpu, because it does not count as the holder's.  */
static struct str
encode (struct holder *h, const struct wire_shard_message *m, double *cpu)
{
  double from = get_cpu_s ();

  h->in.len = 0;
  wire_shard_append_message (&h->in, m);
  h->result.in += h->in.len;
  *cpu += get_cpu_s () - from;
  return str_slice (str_view (&h->in), FRAME_HEADER_BYTES, h->in.len);
}

static void
reply (struct holder *h, const struct wire_shard_message *m)
{
  h->out.len = 0;
  wire_shard_append_message (&h->out, m);
  h->result.out += h->out.len;
}

static void
receive_token_request (struct holder *h, const struct load *load,
                       int64_t now_us, double *senders_cpu)
{
  char name[32];
  int len = snprintf (name, sizeof name, "workspace-%d",
                      g_rand_int_range (h->rand, 0, (gint)load->workspaces));
  int sender = g_rand_int_range (h->rand, 0, (gint)load->daemons);
  struct wire_shard_message m = { .type = WIRE_TOKEN_REQUEST };
  struct str frame;

  m.u.token_request = (struct wire_token_request){
    .workspace = { (size_t)len, name },
    .waiting = 1,
    .demand = 5,
    .sequence = ++h->sequence,
  };
  frame = encode (h, &m, senders_cpu);
  if (!wire_shard_load_message (&m, frame))
    abort ();
  token_bucket_add_request (
      &h->buckets, (uint64_t)sender, m.u.token_request.workspace,
      m.u.token_request.waiting, m.u.token_request.demand, 0, 0,
      m.u.token_request.sequence, now_us);
  wire_shard_unload_message (&m);
}

static void
send_grants (struct holder *h)
{
  void *row;

  for (uint64_t id = table_next (&h->buckets.grants, 0, &row); id != 0;
       id = table_next (&h->buckets.grants, id, &row))
    {
      const struct token_bucket_grant *g = row;
      struct wire_shard_message m = { .type = WIRE_TOKENS };

      m.u.tokens = (struct wire_tokens){
        .workspace = g->workspace,
        .count = g->count,
        .validity_ms = (uint32_t)(g->validity_us / 1000),
        .epoch = g->epoch,
        .sequence = g->sequence,
        .is_holder = true,
      };
      reply (h, &m);
      table_remove (&h->buckets.grants, id);
    }
}

static void
receive_key (struct holder *h, int64_t now_us, double *senders_cpu)
{
  static const char outcome[OUTCOME_BYTES] = { 0 };
  int64_t wall_ms = WALL_MS + now_us / 1000;
  struct wire_shard_message m = { .type = WIRE_REGISTER };
  struct wire_shard_message answer = { .type = WIRE_REGISTERED };
  struct idempotency_key key = { { 0 } };
  struct idempotency_attempt attempt = { 1, ++h->sequence };
  struct str stored = STR_EMPTY;

  for (int i = 0; i < 6; i++)
    key.bytes[i] = (unsigned char)(wall_ms >> (40 - 8 * i));
  for (int i = 6; i < (int)IDEMPOTENCY_KEY_BYTES; i++)
    key.bytes[i] = (unsigned char)g_rand_int (h->rand);
  m.u.reg = (struct wire_register){
    .key = key, .fingerprint = 1, .attempt = attempt, .timeout_us = 1000000
  };
  if (!wire_shard_load_message (&m, encode (h, &m, senders_cpu)))
    abort ();
  answer.u.registered.result = idempotency_register (
      &h->registry, 0, &m.u.reg.key, m.u.reg.fingerprint, m.u.reg.attempt,
      m.u.reg.timeout_us, now_us, wall_ms, &stored);
  wire_shard_unload_message (&m);
  answer.u.registered.outcome = stored;
  reply (h, &answer);
  m = (struct wire_shard_message){ .type = WIRE_COMPLETE };
  m.u.complete.key = key;
  m.u.complete.attempt = attempt;
  m.u.complete.outcome = (struct str){ OUTCOME_BYTES, outcome };
  if (!wire_shard_load_message (&m, encode (h, &m, senders_cpu)))
    abort ();
  idempotency_complete (&h->registry, &m.u.complete.key, m.u.complete.attempt,
                        m.u.complete.outcome);
  wire_shard_unload_message (&m);
}

static void
init_holder (struct holder *h, const struct load *load, uint32_t seed)
{
  struct idempotency_settings settings = idempotency_get_defaults ();

  *h = (struct holder){ .rand = g_rand_new_with_seed (seed) };
  token_bucket_init_set (&h->buckets, 1);
  idempotency_init_registry (&h->registry, 1, &settings);
  for (uint32_t i = 0; i < load->workspaces; i++)
    {
      char name[32];
      int len = snprintf (name, sizeof name, "workspace-%u", i);

      token_bucket_set_limit (&h->buckets, (struct str){ (size_t)len, name },
                              (struct token_bucket_limit){ 1000, 1000 }, 0);
    }
  token_bucket_start_shard (&h->buckets, 0, 1, 0);
  /* Started 60 s early, so that the shard accepts keys made from WALL_MS on: a
     new holder rejects keys that the previous one can have accepted.  */
  idempotency_start_shard (&h->registry, 0, 1, false, WALL_MS - 60000);
}

static void
close_holder (struct holder *h)
{
  token_bucket_close_set (&h->buckets);
  idempotency_close_registry (&h->registry);
  str_reset (&h->in);
  str_reset (&h->out);
  g_rand_free (h->rand);
}

static struct result
run_load (const struct load *load, uint32_t seed)
{
  size_t before = mallinfo2 ().uordblks;
  struct holder h;
  double senders_cpu = 0, from;

  init_holder (&h, load, seed);
  from = get_cpu_s ();
  for (int64_t tick = 0; tick < (int64_t)SECONDS * TICKS_PER_S; tick++)
    {
      int64_t now_us = tick * TICK_US;

      for (uint32_t i = 0; i < load->token_requests / TICKS_PER_S; i++)
        receive_token_request (&h, load, now_us, &senders_cpu);
      for (uint32_t i = 0; i < load->keys / TICKS_PER_S; i++)
        receive_key (&h, now_us, &senders_cpu);
      token_bucket_run (&h.buckets, now_us);
      send_grants (&h);
      idempotency_run (&h.registry, WALL_MS + now_us / 1000);
    }
  h.result.cpu = (get_cpu_s () - from - senders_cpu) / SECONDS;
  h.result.memory = mallinfo2 ().uordblks - before;
  close_holder (&h);
  return h.result;
}

int
main (int argc, char **argv)
{
  static const struct load loads[] = {
    { 10, 100, 200, 0 },      { 1000, 100, 200, 0 },
    { 10000, 100, 200, 0 },   { 1000, 100, 2000, 0 },
    { 1000, 10000, 2000, 0 }, { 1000, 10000, 20000, 0 },
    { 10, 100, 200, 100 },    { 10, 100, 200, 1000 },
    { 10, 100, 200, 4000 },
  };
  uint32_t seed
      = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : SEED_DEFAULT;

  printf ("bench_shard seed %u, %d s of virtual time, tick %d ms, outcomes of "
          "%d bytes\n\n"
          "| workspaces | daemons | token requests/s | keys/s | CPU | memory "
          "at the end "
          "| received/s | sent/s |\n|---|---|---|---|---|---|---|---|\n",
          seed, SECONDS, TICK_US / 1000, OUTCOME_BYTES);
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      const struct load *l = &loads[i];
      struct result r = run_load (l, seed);

      printf ("| %u | %u | %u | %u | %.3f%% | %.1f KiB | %.1f KiB | %.1f KiB "
              "|\n",
              l->workspaces, l->daemons, l->token_requests, l->keys,
              100 * r.cpu, (double)r.memory / 1024,
              (double)r.in / 1024 / SECONDS, (double)r.out / 1024 / SECONDS);
    }
  return EXIT_SUCCESS;
}
