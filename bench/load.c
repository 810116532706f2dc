/* load: open-loop load driver.

   Each workspace's arrivals follow a seeded Poisson process and do not wait
   for earlier responses.  Latency is measured from the scheduled arrival of a
   request, also if it was sent later.  Each request has a tag of its own, by
   which the backend stand-ins count executions.  docs/OPERATIONS.md describes
   the scenario file.  */

#include "clock.h"
#include "err.h"
#include "histogram.h"
#include "http_client.h"
#include "str.h"
#include "table.h"

#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Constants */

#define ANSWER_MAX_BYTES ((size_t)16 * 1024 * 1024)
#define HEADERS_MAX 8
#define PATH_NUMBER_COUNT 1000 /* different values of "{n}" in a path */
#define COLLECT_TIMEOUT_US INT64_C (5000000)
#define COLLECT_CONNECTIONS 4
/* Limit for each target.  Each open request needs a connection of its own; one
   that waited for a connection in the driver would not be in the server's
   queue.  */
#define CONNECTIONS 4000
#define EXIT_REQUIREMENT_NOT_MET 2
#define MAX_IDLE_US INT64_C (100000) /* longest wait of the event loop */

/* Outcomes of a request; the values below ERR_KINDS are almondvale's error
   kinds.  */
enum outcome
{
  OUTCOME_COMPLETED = ERR_KINDS, /* 2xx, the body has the request's tag */
  OUTCOME_MISMATCHED,            /* 2xx, the body lacks the tag */
  OUTCOME_BACKEND_ERROR,         /* not 2xx, no known error kind */
  OUTCOME_NOT_CONNECTED,
  OUTCOME_FAILED, /* connection failed, or the answer was too large */
  OUTCOME_TIMEOUT,
  OUTCOME_UNSENT, /* no free connection within connect_wait_ms */
  OUTCOMES
};

static const char *const outcome_names[OUTCOMES - ERR_KINDS]
    = { "completed", "mismatched", "backend_error", "not_connected",
        "failed",    "timeout",    "unsent" };

/* Types */

/* Results for one route, workspace or phase, or for the whole run.  */
struct result_stats
{
  char *group; /* "total", "route", "workspace", "phase" */
  char *name;
  uint64_t requests;
  uint64_t attempts;
  uint64_t within_rate;      /* arrived within the workspace's rate */
  uint64_t wrongly_rejected; /* of those, rejected by almondvale */
  uint64_t outcomes[OUTCOMES];
  struct histogram latency; /* of completed requests, us */
};

struct phase
{
  int64_t end_us;  /* since the start of the run */
  double factor;   /* multiplies the arrival rate */
  char *workspace; /* that the factor applies to, NULL for all */
  struct result_stats *stats;
};

struct route
{
  char *method;
  char *path; /* "{n}" is replaced by a random number */
  double weight;
  struct str body;
  bool idempotency_key; /* requests have an idempotency key */
  bool idempotent;
  struct result_stats *stats;
};

struct workspace
{
  char *name;
  char *key;           /* API key, NULL if none is sent */
  double rate;         /* arrivals per second */
  double allowed_rate; /* requests per second, 0 if not limited */
  double allowed_burst;
  double tokens;     /* of the bucket that decides what is within the rate */
  int64_t tokens_us; /* last refill of the bucket */
  struct table routes;
  double total_weight;
  int64_t next_us; /* time of the next arrival */
  struct result_stats *stats;
};

struct target
{
  struct http_client_pool *pool;
};

/* One request, from its arrival to the response to its last attempt.  */
struct request
{
  uint64_t id;
  struct load *load;
  struct workspace *workspace;
  struct route *route;
  struct phase *phase;
  bool within_rate;
  bool in_flight; /* an attempt awaits its response */
  uint32_t attempts;
  int64_t arrived_us;
  int64_t send_us; /* earliest time of the next attempt */
  char tag[48];    /* begins with "i" if the route is idempotent, else "n" */
  char idempotency_key[40];
  char *path;
};

struct retries
{
  int64_t max; /* retries of a request */
  int64_t wait_us;
  bool always; /* also after an error that forbids a retry or
                  leaves open whether the request ran */
};

/* Number of requests in one interval of the run.  */
struct interval
{
  uint64_t arrived;   /* by time of arrival */
  uint64_t completed; /* by time of the outcome */
  uint64_t failed;    /* by time of the outcome */
};

struct load
{
  struct event_base *base;
  struct event *timer;
  GRand *rand;
  uint32_t seed;
  int64_t start_us;
  int64_t end_us;
  int64_t timeout_us;
  int64_t connect_wait_us; /* longest wait for a free connection */
  int64_t interval_us;
  struct retries retries;
  char *key_header;
  char *key_prefix;
  bool check_tag;
  bool tag_query; /* send the tag in the query as well */
  struct table stats;
  struct table workspaces;
  struct table targets;
  struct table requests;
  GQueue *ready; /* ids of requests that wait to be sent */
  GArray *phases;
  GArray *intervals;
  struct result_stats *total;
  uint64_t next_tag;
  uint64_t last_target;
  /* Comparison with the execution logs of the backend servers.  */
  GHashTable *executions;  /* "service tag" -> number of executions */
  GHashTable *completed;   /* tags of completed non-idempotent requests */
  uint32_t collecting;     /* logs requested and not yet received */
  uint32_t collect_failed; /* logs that could not be read */
  uint64_t duplicated;
  uint64_t lost;
};

/* Internal functions: scenario */

static void __attribute__ ((noreturn, format (printf, 1, 2)))
fail (const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (stderr, "load: %s\n", text);
  g_free (text);
  exit (EXIT_FAILURE);
}

static double
get_double (JsonObject *o, const char *name, double default_value)
{
  return json_object_get_double_member_with_default (o, name, default_value);
}

static int64_t
get_int (JsonObject *o, const char *name, int64_t default_value)
{
  return json_object_get_int_member_with_default (o, name, default_value);
}

static bool
get_bool (JsonObject *o, const char *name, bool default_value)
{
  return json_object_get_boolean_member_with_default (o, name, default_value);
}

static const char *
get_string (JsonObject *o, const char *name, const char *default_value)
{
  return json_object_get_string_member_with_default (o, name, default_value);
}

/* Returns the length of an array member, 0 if the member is missing.  */
static guint
get_len (JsonObject *o, const char *name)
{
  if (!json_object_has_member (o, name))
    return 0;
  return json_array_get_length (json_object_get_array_member (o, name));
}

static JsonObject *
get_item (JsonObject *o, const char *name, guint i)
{
  return json_array_get_object_element (json_object_get_array_member (o, name),
                                        i);
}

/* Returns the results with a group and name; adds a row if there is none.  */
static struct result_stats *
get_stats (struct load *l, const char *group, const char *name)
{
  struct result_stats *s;

  for (uint64_t id = table_next (&l->stats, 0, (void **)&s); id != 0;
       id = table_next (&l->stats, id, (void **)&s))
    if (strcmp (s->group, group) == 0 && strcmp (s->name, name) == 0)
      return s;
  table_add (&l->stats, (void **)&s);
  s->group = g_strdup (group);
  s->name = g_strdup (name);
  return s;
}

static void
parse_route (struct load *l, struct workspace *w, JsonObject *o)
{
  const char *name = get_string (o, "name", NULL);
  struct str_buf body = { 0 };
  struct route *r;

  if (name == NULL || get_string (o, "path", NULL) == NULL)
    fail ("a route of workspace %s has no name or path", w->name);
  table_add (&w->routes, (void **)&r);
  r->method = g_strdup (get_string (o, "method", "GET"));
  r->path = g_strdup (get_string (o, "path", NULL));
  r->weight = get_double (o, "weight", 1);
  r->idempotency_key = get_bool (o, "idempotency_key", false);
  r->idempotent = get_bool (o, "idempotent", strcmp (r->method, "GET") == 0);
  for (int64_t i = 0; i < get_int (o, "body_bytes", 0); i++)
    str_append_char (&body, 'b');
  r->body = str_take (&body);
  r->stats = get_stats (l, "route", name);
  w->total_weight += r->weight;
}

static void
parse_workspace (struct load *l, JsonObject *o)
{
  const char *name = get_string (o, "name", NULL);
  struct workspace *w;

  if (name == NULL)
    fail ("a workspace has no name");
  table_add (&l->workspaces, (void **)&w);
  w->name = g_strdup (name);
  w->key = g_strdup (get_string (o, "key", NULL));
  w->rate = get_double (o, "rate", 10);
  w->allowed_rate = get_double (o, "allowed_rate", 0);
  w->allowed_burst = get_double (o, "allowed_burst", w->allowed_rate);
  w->tokens = w->allowed_burst;
  w->stats = get_stats (l, "workspace", name);
  table_init (&w->routes, sizeof (struct route));
  for (guint i = 0; i < get_len (o, "routes"); i++)
    parse_route (l, w, get_item (o, "routes", i));
  if (w->total_weight <= 0)
    fail ("workspace %s has no route with a positive weight", name);
}

static void
parse_phases (struct load *l, JsonObject *o)
{
  int64_t end_us = 0;

  for (guint i = 0; i < get_len (o, "phases"); i++)
    {
      JsonObject *item = get_item (o, "phases", i);
      char *number = g_strdup_printf ("%u", i + 1);
      struct phase p
          = { .factor = get_double (item, "factor", 1),
              .workspace = g_strdup (get_string (item, "workspace", NULL)),
              .stats
              = get_stats (l, "phase", get_string (item, "name", number)) };

      end_us += get_int (item, "ms", 0) * CLOCK_US_PER_MS;
      p.end_us = end_us;
      g_array_append_val (l->phases, p);
      g_free (number);
    }
  if (end_us <= 0)
    fail ("the scenario has no phase with a positive \"ms\"");
  l->end_us = end_us;
}

static void
parse_targets (struct load *l, JsonObject *o)
{
  for (guint i = 0; i < get_len (o, "targets"); i++)
    {
      JsonObject *item = get_item (o, "targets", i);
      struct target *t;

      table_add (&l->targets, (void **)&t);
      t->pool = http_client_load_pool (
          l->base, str_from_cstr (get_string (item, "address", "127.0.0.1")),
          (uint16_t)get_int (item, "port", 0),
          (uint32_t)get_int (o, "connections", CONNECTIONS), ANSWER_MAX_BYTES);
    }
  if (l->targets.count == 0)
    fail ("the scenario has no targets");
}

static void
parse_scenario (struct load *l, JsonObject *o)
{
  l->seed = (uint32_t)get_int (o, "seed", 1);
  l->rand = g_rand_new_with_seed (l->seed);
  l->timeout_us = get_int (o, "timeout_ms", 5000) * CLOCK_US_PER_MS;
  l->connect_wait_us = get_int (o, "connect_wait_ms", 100) * CLOCK_US_PER_MS;
  l->interval_us = get_int (o, "interval_ms", 500) * CLOCK_US_PER_MS;
  l->key_header = g_strdup (get_string (o, "key_header", "Authorization"));
  l->key_prefix = g_strdup (get_string (o, "key_prefix", "Bearer "));
  l->check_tag = get_bool (o, "check_tag", true);
  l->tag_query = get_bool (o, "tag_query", true);
  if (json_object_has_member (o, "retries"))
    {
      JsonObject *r = json_object_get_object_member (o, "retries");

      l->retries.max = get_int (r, "max", 0);
      l->retries.wait_us = get_int (r, "wait_ms", 0) * CLOCK_US_PER_MS;
      l->retries.always = get_bool (r, "always", false);
    }
  l->total = get_stats (l, "total", "all");
  parse_phases (l, o);
  parse_targets (l, o);
  for (guint i = 0; i < get_len (o, "workspaces"); i++)
    parse_workspace (l, get_item (o, "workspaces", i));
}

/* Internal functions: arrivals */

static struct phase *
find_phase (struct load *l, int64_t at_us)
{
  for (guint i = 0; i < l->phases->len; i++)
    {
      struct phase *p = &g_array_index (l->phases, struct phase, i);

      if (at_us < p->end_us)
        return p;
    }
  return NULL;
}

static struct interval *
get_interval (struct load *l, int64_t now_us)
{
  guint i = (guint)((now_us - l->start_us) / l->interval_us);

  if (i >= l->intervals->len)
    g_array_set_size (l->intervals, i + 1);
  return &g_array_index (l->intervals, struct interval, i);
}

/* Returns the time of the next arrival after at_us, both since the start of
   the run, or INT64_MAX after the last phase.  The exponential distribution is
   memoryless, so a gap that crosses the end of a phase is drawn again from
   there with the next phase's rate.  */
static int64_t
draw_arrival_us (struct load *l, const struct workspace *w, int64_t at_us)
{
  struct phase *p;

  while ((p = find_phase (l, at_us)) != NULL)
    {
      bool affected
          = p->workspace == NULL || strcmp (p->workspace, w->name) == 0;
      double rate = affected ? w->rate * p->factor : w->rate;

      if (rate > 0)
        {
          double gap_us = -log1p (-g_rand_double (l->rand)) * 1e6 / rate;

          if (gap_us < (double)(p->end_us - at_us))
            return at_us + (int64_t)gap_us;
        }
      at_us = p->end_us;
    }
  return INT64_MAX;
}

static struct route *
draw_route (struct load *l, const struct workspace *w)
{
  double at = g_rand_double (l->rand) * w->total_weight;
  struct route *r, *last = NULL;

  for (uint64_t id = table_next (&w->routes, 0, (void **)&r); id != 0;
       id = table_next (&w->routes, id, (void **)&r))
    {
      last = r;
      at -= r->weight;
      if (at < 0)
        break;
    }
  return last;
}

/* Takes a token from the workspace's bucket.  Returns whether there was one,
   that is, whether the request is within the allowed rate and burst.  */
static bool
spend_token (struct workspace *w, int64_t now_us)
{
  if (w->allowed_rate <= 0)
    return true;
  w->tokens += w->allowed_rate * (double)(now_us - w->tokens_us) / 1e6;
  w->tokens = MIN (w->tokens, w->allowed_burst);
  w->tokens_us = now_us;
  if (w->tokens < 1)
    return false;
  w->tokens -= 1;
  return true;
}

/* Formats a UUIDv7: 48 bits of wall-clock time in ms, then random bits.  */
static void
format_uuid (struct load *l, char *out, size_t size)
{
  uint64_t ms = (uint64_t)clock_wall_ms ();
  uint32_t a = g_rand_int (l->rand), b = g_rand_int (l->rand),
           c = g_rand_int (l->rand);

  g_snprintf (out, size, "%08x-%04x-7%03x-%04x-%04x%08x", (uint32_t)(ms >> 16),
              (uint32_t)(ms & 0xffff), a & 0xfff,
              0x8000 | ((a >> 12) & 0x3fff), b & 0xffff, c);
}

/* Returns the path of a request.  The tag is added to the query as well,
   unless the scenario disables it, because a daemon forwards only the headers
   on its list.  */
static char *
make_path (struct load *l, const struct route *r, const char *tag)
{
  char **parts = g_strsplit (r->path, "{n}", -1);
  char *number = g_strdup_printf (
      "%d", g_rand_int_range (l->rand, 0, PATH_NUMBER_COUNT));
  char *plain = g_strjoinv (number, parts);
  char *path = l->tag_query ? g_strconcat (plain, "?tag=", tag, NULL)
                            : g_strdup (plain);

  g_free (plain);
  g_free (number);
  g_strfreev (parts);
  return path;
}

static void
add_request (struct load *l, struct workspace *w, struct phase *p,
             int64_t at_us)
{
  struct request *r;
  uint64_t id = table_add (&l->requests, (void **)&r);

  r->id = id;
  r->load = l;
  r->workspace = w;
  r->route = draw_route (l, w);
  r->phase = p;
  r->arrived_us = r->send_us = at_us;
  r->within_rate = spend_token (w, at_us);
  g_snprintf (r->tag, sizeof r->tag, "%s-%u-%" PRIu64,
              r->route->idempotent ? "i" : "n", l->seed, l->next_tag++);
  r->path = make_path (l, r->route, r->tag);
  if (r->route->idempotency_key)
    format_uuid (l, r->idempotency_key, sizeof r->idempotency_key);
  get_interval (l, at_us)->arrived++;
  g_queue_push_tail (l->ready, GSIZE_TO_POINTER (id));
}

/* Internal functions: results */

/* Returns the error kind named in the body of almondvale's error response, or
   OUTCOME_BACKEND_ERROR.  */
static int
parse_error (struct str body)
{
  JsonParser *parser = json_parser_new ();
  int outcome = OUTCOME_BACKEND_ERROR;
  JsonNode *root;

  if (json_parser_load_from_data (parser, body.data, (gssize)body.len, NULL)
      && (root = json_parser_get_root (parser)) != NULL
      && JSON_NODE_HOLDS_OBJECT (root))
    {
      JsonObject *o = json_node_get_object (root);
      JsonNode *name = json_object_get_member (o, "error");

      if (name != NULL && JSON_NODE_HOLDS_VALUE (name)
          && json_node_get_value_type (name) == G_TYPE_STRING)
        outcome
            = (int)err_find_kind (str_from_cstr (json_node_get_string (name)));
      if (outcome == ERR_KINDS)
        outcome = OUTCOME_BACKEND_ERROR;
    }
  g_object_unref (parser);
  return outcome;
}

static int
find_outcome (const struct request *r, const struct http_client_answer *a)
{
  if (a->result == HTTP_CLIENT_NOT_CONNECTED)
    return OUTCOME_NOT_CONNECTED;
  if (a->result == HTTP_CLIENT_TIMEOUT)
    return OUTCOME_TIMEOUT;
  if (a->result != HTTP_CLIENT_ANSWERED)
    return OUTCOME_FAILED;
  if (a->status < 200 || a->status >= 300)
    return parse_error (a->body);
  if (r->load->check_tag && !str_contains (a->body, str_from_cstr (r->tag)))
    return OUTCOME_MISMATCHED;
  return OUTCOME_COMPLETED;
}

/* Returns whether almondvale rejected the request without running it, for a
   reason that allows a later retry, such as overload, rather than for an error
   in the request.  */
static bool
is_rejection (int outcome)
{
  const struct err_answer *a;

  if (outcome >= ERR_KINDS)
    return false;
  a = err_get_answer ((enum err_kind)outcome);
  return a->ran == ERR_RAN_NO && a->retry == ERR_RETRY_LATER;
}

static void
count_result (struct result_stats *s, const struct request *r, int outcome,
              int64_t latency_us)
{
  s->requests++;
  s->attempts += r->attempts;
  s->outcomes[outcome]++;
  s->within_rate += r->within_rate;
  if (r->within_rate && is_rejection (outcome))
    s->wrongly_rejected++;
  if (outcome == OUTCOME_COMPLETED)
    histogram_add (&s->latency, latency_us);
}

static void
finish_request (struct request *r, int outcome, int64_t now_us)
{
  struct load *l = r->load;
  int64_t latency_us = now_us - r->arrived_us;

  count_result (l->total, r, outcome, latency_us);
  count_result (r->workspace->stats, r, outcome, latency_us);
  count_result (r->route->stats, r, outcome, latency_us);
  count_result (r->phase->stats, r, outcome, latency_us);
  if (outcome == OUTCOME_COMPLETED)
    get_interval (l, now_us)->completed++;
  else
    get_interval (l, now_us)->failed++;
  if (outcome == OUTCOME_COMPLETED && !r->route->idempotent)
    g_hash_table_add (l->completed, g_strdup (r->tag));
  g_free (r->path);
  table_remove (&l->requests, r->id);
}

/* Returns whether the caller retries after this outcome.  */
static bool
is_retried (const struct request *r, int outcome)
{
  const struct retries *retries = &r->load->retries;

  if (outcome == OUTCOME_COMPLETED || r->attempts > retries->max)
    return false;
  if (retries->always || outcome == OUTCOME_NOT_CONNECTED)
    return true;
  if (outcome < ERR_KINDS)
    {
      const struct err_answer *a = err_get_answer ((enum err_kind)outcome);

      return a->retry == ERR_RETRY_LATER
             || (a->retry == ERR_RETRY_IDEMPOTENT
                 && (r->route->idempotent || r->route->idempotency_key));
    }
  return r->route->idempotent || r->route->idempotency_key;
}

static void
on_answer (void *data, const struct http_client_answer *answer)
{
  struct request *r = data;
  int64_t now_us = clock_now_us ();
  int outcome = find_outcome (r, answer);

  r->in_flight = false;
  if (!is_retried (r, outcome))
    {
      finish_request (r, outcome, now_us);
      return;
    }
  r->send_us = now_us + r->load->retries.wait_us;
  g_queue_push_tail (r->load->ready, GSIZE_TO_POINTER (r->id));
}

/* Internal functions: sending */

static void
add_header (struct http_head_field *headers, uint32_t *len, const char *name,
            const char *value)
{
  headers[(*len)++] = (struct http_head_field){ str_from_cstr (name),
                                                str_from_cstr (value) };
}

/* Returns the next target in round-robin order.  */
static struct target *
next_target (struct load *l)
{
  struct target *t;

  l->last_target = table_next (&l->targets, l->last_target, (void **)&t);
  if (l->last_target == 0)
    l->last_target = table_next (&l->targets, 0, (void **)&t);
  return t;
}

/* Sends an attempt to the next target.  Returns false if the target has no
   free connection.  */
static bool
send_request (struct request *r)
{
  struct load *l = r->load;
  struct http_head_field headers[HEADERS_MAX];
  struct http_client_request request = { .method = r->route->method,
                                         .target = str_from_cstr (r->path),
                                         .headers = headers,
                                         .body = r->route->body,
                                         .timeout_us = l->timeout_us,
                                         .done = on_answer,
                                         .data = r };
  char *key = NULL;

  add_header (headers, &request.headers_len, "X-Request-Id", r->tag);
  if (r->workspace->key != NULL)
    {
      key = g_strconcat (l->key_prefix, r->workspace->key, NULL);
      add_header (headers, &request.headers_len, l->key_header, key);
    }
  if (r->route->idempotency_key)
    add_header (headers, &request.headers_len, "Idempotency-Key",
                r->idempotency_key);
  r->in_flight = http_client_send (next_target (l)->pool, &request) != NULL;
  if (r->in_flight)
    r->attempts++;
  g_free (key);
  return r->in_flight;
}

/* Internal functions: systems */

static void
set_next_arrival (struct load *l, struct workspace *w, int64_t at_us)
{
  int64_t next_us = draw_arrival_us (l, w, at_us - l->start_us);

  w->next_us = next_us == INT64_MAX ? INT64_MAX : l->start_us + next_us;
}

static void
run_workspace_arrivals (struct load *l, struct workspace *w, int64_t now_us)
{
  while (w->next_us <= now_us)
    {
      add_request (l, w, find_phase (l, w->next_us - l->start_us), w->next_us);
      set_next_arrival (l, w, w->next_us);
    }
}

static void
run_arrivals (struct load *l, int64_t now_us)
{
  struct workspace *w;

  for (uint64_t id = table_next (&l->workspaces, 0, (void **)&w); id != 0;
       id = table_next (&l->workspaces, id, (void **)&w))
    run_workspace_arrivals (l, w, now_us);
}

/* Sends the requests that are due.  When one finds no free connection, the
   others stay in the queue.  */
static void
run_ready (struct load *l, int64_t now_us)
{
  guint len = g_queue_get_length (l->ready);
  bool busy = false;

  for (guint i = 0; i < len; i++)
    {
      gpointer item = g_queue_pop_head (l->ready);
      struct request *r = table_get (&l->requests, GPOINTER_TO_SIZE (item));

      if (r == NULL)
        continue;
      if (now_us - r->send_us > l->connect_wait_us)
        finish_request (r, OUTCOME_UNSENT, now_us);
      else if (busy || r->send_us > now_us || !send_request (r))
        {
          busy = busy || r->send_us <= now_us;
          g_queue_push_tail (l->ready, item);
        }
    }
}

static const struct
{
  const char *name;
  void (*run) (struct load *l, int64_t now_us);
} systems[] = { { "arrivals", run_arrivals }, { "ready", run_ready } };

static int64_t
get_next_us (struct load *l, int64_t now_us)
{
  int64_t next_us = now_us + MAX_IDLE_US;
  struct workspace *w;

  for (uint64_t id = table_next (&l->workspaces, 0, (void **)&w); id != 0;
       id = table_next (&l->workspaces, id, (void **)&w))
    next_us = MIN (next_us, w->next_us);
  for (GList *item = l->ready->head; item != NULL; item = item->next)
    {
      struct request *r
          = table_get (&l->requests, GPOINTER_TO_SIZE (item->data));

      if (r != NULL && r->send_us > now_us)
        next_us = MIN (next_us, r->send_us);
    }
  return next_us;
}

/* The timer only ends event_base_loop.  */
static void
on_timer (evutil_socket_t fd, short what, void *data)
{
}

static void
wait_for_event (struct load *l)
{
  int64_t now_us = clock_now_us ();
  int64_t wait_us = MAX (get_next_us (l, now_us) - now_us, 0);
  struct timeval wait = { wait_us / CLOCK_US_PER_S, wait_us % CLOCK_US_PER_S };

  event_add (l->timer, &wait);
  event_base_loop (l->base, EVLOOP_ONCE);
}

static void
run (struct load *l)
{
  struct workspace *w;

  l->start_us = clock_now_us ();
  for (uint64_t id = table_next (&l->workspaces, 0, (void **)&w); id != 0;
       id = table_next (&l->workspaces, id, (void **)&w))
    {
      w->tokens_us = l->start_us;
      set_next_arrival (l, w, l->start_us);
    }
  while (clock_now_us () < l->start_us + l->end_us || l->requests.count > 0)
    {
      wait_for_event (l);
      for (size_t i = 0; i < G_N_ELEMENTS (systems); i++)
        systems[i].run (l, clock_now_us ());
    }
}

/* Internal functions: execution logs of the backend servers */

static void
add_executions (struct load *l, JsonObject *o)
{
  const char *service = get_string (o, "service", "");
  JsonObject *tags = json_object_get_object_member (o, "tags");
  JsonObjectIter iter;
  const char *tag;
  JsonNode *count;

  json_object_iter_init (&iter, tags);
  while (json_object_iter_next (&iter, &tag, &count))
    {
      char *name = g_strdup_printf ("%s %s", service, tag);
      gsize sum = GPOINTER_TO_SIZE (g_hash_table_lookup (l->executions, name));

      sum += (gsize)json_node_get_int (count);
      g_hash_table_replace (l->executions, name, GSIZE_TO_POINTER (sum));
    }
}

static void
on_executions (void *data, const struct http_client_answer *answer)
{
  struct load *l = data;
  JsonParser *parser = json_parser_new ();

  l->collecting--;
  if (answer->result == HTTP_CLIENT_ANSWERED
      && json_parser_load_from_data (parser, answer->body.data,
                                     (gssize)answer->body.len, NULL))
    add_executions (l, json_node_get_object (json_parser_get_root (parser)));
  else
    l->collect_failed++;
  g_object_unref (parser);
}

/* A non-idempotent request is duplicated if one service executed its tag more
   than once, and lost if it completed but no service executed its tag.  */
static void
count_executions (struct load *l)
{
  GHashTable *ran = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, l->executions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const char *tag = strchr (key, ' ') + 1;

      g_hash_table_add (ran, (gpointer)tag);
      if (tag[0] == 'n' && GPOINTER_TO_SIZE (value) > 1)
        l->duplicated++;
    }
  g_hash_table_iter_init (&iter, l->completed);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (ran, key))
      l->lost++;
  g_hash_table_unref (ran);
}

static void
unload_pool (void *pool)
{
  http_client_unload_pool (pool);
}

static void
collect_executions (struct load *l, JsonObject *o)
{
  struct http_client_request request = { .method = "GET",
                                         .target = STR_LIT ("/executions"),
                                         .body = STR_EMPTY,
                                         .timeout_us = COLLECT_TIMEOUT_US,
                                         .done = on_executions,
                                         .data = l };
  GPtrArray *pools = g_ptr_array_new_with_free_func (unload_pool);

  for (guint i = 0; i < get_len (o, "executions"); i++)
    {
      JsonObject *item = get_item (o, "executions", i);
      struct http_client_pool *pool = http_client_load_pool (
          l->base, str_from_cstr (get_string (item, "address", "127.0.0.1")),
          (uint16_t)get_int (item, "port", 0), COLLECT_CONNECTIONS,
          ANSWER_MAX_BYTES * 16);

      g_ptr_array_add (pools, pool);
      if (http_client_send (pool, &request) != NULL)
        l->collecting++;
    }
  while (l->collecting > 0)
    event_base_loop (l->base, EVLOOP_ONCE);
  g_ptr_array_unref (pools);
  count_executions (l);
}

/* Internal functions: output */

static const char *
get_outcome_name (int outcome)
{
  if (outcome < ERR_KINDS)
    return err_get_answer ((enum err_kind)outcome)->name;
  return outcome_names[outcome - ERR_KINDS];
}

static double
get_ms (const struct result_stats *s, double quantile)
{
  return (double)histogram_get_quantile (&s->latency, quantile) / 1000;
}

static void
print_stats (const struct result_stats *s)
{
  printf ("%-9s %-18s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64
          " %8.2f %8.2f %8.2f %8.2f",
          s->group, s->name, s->requests, s->attempts,
          s->outcomes[OUTCOME_COMPLETED], s->wrongly_rejected, get_ms (s, 0.5),
          get_ms (s, 0.9), get_ms (s, 0.99), get_ms (s, 0.999));
  for (int i = 0; i < OUTCOMES; i++)
    if (i != OUTCOME_COMPLETED && s->outcomes[i] > 0)
      printf (" %s=%" PRIu64, get_outcome_name (i), s->outcomes[i]);
  printf ("\n");
}

/* Returns whether the scenario's "require" condition is met: the required
   fraction of requests completed, no non-idempotent request was duplicated or
   lost, and all execution logs were read.  */
static bool
meets_requirement (struct load *l, JsonObject *o)
{
  JsonObject *require;
  double completed;

  if (!json_object_has_member (o, "require"))
    return true;
  require = json_object_get_object_member (o, "require");
  completed = (double)l->total->outcomes[OUTCOME_COMPLETED]
              / MAX ((double)l->total->requests, 1);
  return completed >= get_double (require, "completed", 0)
         && l->duplicated == 0 && l->lost == 0 && l->collect_failed == 0;
}

static void
print_text (struct load *l)
{
  struct result_stats *s;

  printf ("%-9s %-18s %8s %8s %8s %8s %8s %8s %8s %8s errors\n", "group",
          "name", "sent", "attempts", "whole", "wrongly", "p50 ms", "p90 ms",
          "p99 ms", "p99.9 ms");
  for (uint64_t id = table_next (&l->stats, 0, (void **)&s); id != 0;
       id = table_next (&l->stats, id, (void **)&s))
    print_stats (s);
  printf ("goodput %.1f requests/s over %.1f s\n",
          (double)l->total->outcomes[OUTCOME_COMPLETED] * 1e6
              / (double)l->end_us,
          (double)l->end_us / 1e6);
  if (g_hash_table_size (l->executions) > 0 || l->collect_failed > 0)
    printf ("non-idempotent requests: duplicated %" PRIu64 ", lost %" PRIu64
            ", unreadable execution logs %" PRIu32 "\n",
            l->duplicated, l->lost, l->collect_failed);
}

static void
add_number (JsonBuilder *j, const char *name, uint64_t value)
{
  json_builder_set_member_name (j, name);
  json_builder_add_int_value (j, (gint64)value);
}

static void
add_ms (JsonBuilder *j, const char *name, double ms)
{
  json_builder_set_member_name (j, name);
  json_builder_add_double_value (j, ms);
}

static void
add_stats (JsonBuilder *j, const struct result_stats *s)
{
  json_builder_begin_object (j);
  json_builder_set_member_name (j, "group");
  json_builder_add_string_value (j, s->group);
  json_builder_set_member_name (j, "name");
  json_builder_add_string_value (j, s->name);
  add_number (j, "sent", s->requests);
  add_number (j, "attempts", s->attempts);
  add_number (j, "completed", s->outcomes[OUTCOME_COMPLETED]);
  add_number (j, "within_rate", s->within_rate);
  add_number (j, "wrongly_rejected", s->wrongly_rejected);
  json_builder_set_member_name (j, "errors");
  json_builder_begin_object (j);
  for (int i = 0; i < OUTCOMES; i++)
    if (i != OUTCOME_COMPLETED && s->outcomes[i] > 0)
      add_number (j, get_outcome_name (i), s->outcomes[i]);
  json_builder_end_object (j);
  add_ms (j, "p50_ms", get_ms (s, 0.5));
  add_ms (j, "p90_ms", get_ms (s, 0.9));
  add_ms (j, "p99_ms", get_ms (s, 0.99));
  add_ms (j, "p99_9_ms", get_ms (s, 0.999));
  add_ms (j, "max_ms", (double)s->latency.max / 1000);
  json_builder_end_object (j);
}

static void
add_intervals (JsonBuilder *j, struct load *l)
{
  json_builder_set_member_name (j, "intervals");
  json_builder_begin_array (j);
  for (guint i = 0; i < l->intervals->len; i++)
    {
      struct interval *v = &g_array_index (l->intervals, struct interval, i);

      json_builder_begin_object (j);
      add_number (j, "ms", (uint64_t)(i * l->interval_us / CLOCK_US_PER_MS));
      add_number (j, "arrived", v->arrived);
      add_number (j, "completed", v->completed);
      add_number (j, "failed", v->failed);
      json_builder_end_object (j);
    }
  json_builder_end_array (j);
}

static void
write_json (struct load *l, const char *file)
{
  JsonBuilder *j = json_builder_new ();
  JsonGenerator *generator = json_generator_new ();
  GError *error = NULL;
  struct result_stats *s;
  JsonNode *root;

  json_builder_begin_object (j);
  add_number (j, "seed", l->seed);
  add_number (j, "length_ms", (uint64_t)(l->end_us / CLOCK_US_PER_MS));
  add_number (j, "duplicated", l->duplicated);
  add_number (j, "lost", l->lost);
  add_number (j, "logs_missing", l->collect_failed);
  json_builder_set_member_name (j, "results");
  json_builder_begin_array (j);
  for (uint64_t id = table_next (&l->stats, 0, (void **)&s); id != 0;
       id = table_next (&l->stats, id, (void **)&s))
    add_stats (j, s);
  json_builder_end_array (j);
  add_intervals (j, l);
  json_builder_end_object (j);
  root = json_builder_get_root (j);
  json_generator_set_root (generator, root);
  json_generator_set_pretty (generator, TRUE);
  if (!json_generator_to_file (generator, file, &error))
    fail ("%s", error->message);
  json_node_unref (root);
  g_object_unref (generator);
  g_object_unref (j);
}

/* Internal functions: start */

static void
init (struct load *l)
{
  struct event_config *config = event_config_new ();

  /* Without this flag, epoll timeouts would delay arrivals by up to 1 ms.  */
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  l->base = event_base_new_with_config (config);
  event_config_free (config);
  l->timer = evtimer_new (l->base, on_timer, l);
  table_init (&l->stats, sizeof (struct result_stats));
  table_init (&l->workspaces, sizeof (struct workspace));
  table_init (&l->targets, sizeof (struct target));
  table_init (&l->requests, sizeof (struct request));
  l->ready = g_queue_new ();
  l->phases = g_array_new (FALSE, TRUE, sizeof (struct phase));
  l->intervals = g_array_new (FALSE, TRUE, sizeof (struct interval));
  l->executions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  l->completed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

int
main (int argc, char **argv)
{
  static struct load l;
  JsonParser *parser = json_parser_new ();
  GError *error = NULL;
  JsonNode *root;
  JsonObject *scenario;
  int status = EXIT_SUCCESS;

  if (argc < 2 || argc > 3)
    {
      fprintf (stderr, "Usage: load SCENARIO [RESULT]\n"
                       "Runs the load of a scenario file, prints the results "
                       "and writes them to RESULT as JSON.  Exits with 2 if "
                       "the scenario's requirements are not met.\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  if (!json_parser_load_from_file (parser, argv[1], &error))
    fail ("%s", error->message);
  root = json_parser_get_root (parser);
  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    fail ("%s does not contain a JSON object", argv[1]);
  scenario = json_node_get_object (root);
  init (&l);
  parse_scenario (&l, scenario);
  run (&l);
  collect_executions (&l, scenario);
  print_text (&l);
  if (argc == 3)
    write_json (&l, argv[2]);
  if (!meets_requirement (&l, scenario))
    status = EXIT_REQUIREMENT_NOT_MET;
  g_object_unref (parser);
  return status;
}
