/* backend: a stand-in for a backend server.

   One thread runs libmicrohttpd and libevent.  Requests are rows of a table.
   The systems start a queued request when one of the slots is free; when its
   service time has passed, they make its nested calls and answer it.
   Executions are counted for each tag, an id that the load driver gives to a
   request.  With --local, the stand-in announces itself to its daemon, and
   sends drain and leave before it exits.  --help lists the options, and
   docs/OPERATIONS.md describes the control endpoints.  */

#include "clock.h"
#include "http_client.h"
#include "str.h"
#include "table.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <math.h>
#include <microhttpd.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Constants */

#define BODY_MAX_BYTES ((size_t)16 * 1024 * 1024)
#define RECORDED_BODY_BYTES 1024
#define CALL_TEMPLATES_MAX 64
#define DAEMON_CONNECTIONS_MAX 1024
#define NOTIFICATION_TIMEOUT_US INT64_C (2000000)
#define ANNOUNCE_RETRY_US INT64_C (200000)
/* Announcements are repeated because the daemon may have been replaced since
   the last one.  */
#define ANNOUNCE_PERIOD_US INT64_C (2000000)
#define TAG_HEADER "X-Request-Id"
/* Copied from a request to its nested calls, as are the tag and the trace.  */
#define HOP_HEADER "X-Almondvale-Hop"
#define TRACE_HEADER "traceparent"
#define JSON_TYPE "application/json"

/* Types */

/* Distribution of service times in milliseconds.  */
struct service_time
{
  const struct distribution *distribution;
  double a, b; /* parameters; each draw function defines their meaning */
};

struct distribution
{
  const char *name;
  int parameters; /* number of parameters, 1 or 2 */
  double (*draw) (GRand *rand, const struct service_time *t);
};

enum fault
{
  FAULT_NONE,
  FAULT_CLOSE, /* closes the connection after reading the whole request */
  FAULT_RESET, /* the same, with a TCP reset */
  FAULT_SLOW,  /* adds delay_ms to the service time */
  FAULT_LARGE  /* answers with `bytes` bytes of padding */
};

/* Connections whose requests a fault is injected into.  */
enum connection_filter
{
  CONNECTION_ANY,
  CONNECTION_NEW,   /* first request of a connection */
  CONNECTION_REUSED /* any later request of a connection */
};

/* Fault that is injected into the next `count` requests that match.  */
struct fault_injection
{
  enum fault fault;
  enum connection_filter connection;
  int64_t count;
  int64_t delay_ms;
  int64_t bytes;
};

enum report_mode
{
  REPORT_TRUE,
  REPORT_LAGGING,   /* load is sampled every --report-lag-ms */
  REPORT_MISLEADING /* reports an idle server that is not draining */
};

enum request_state
{
  STATE_READING,
  STATE_QUEUED,  /* waiting for a slot */
  STATE_RUNNING, /* in a slot until due_us */
  STATE_CALLING, /* in its slot, waiting for nested calls */
  STATE_DONE,    /* the answer is ready */
  STATE_ABORTED  /* the connection is closed without an answer */
};

struct connection
{
  uint64_t id;
  uint32_t requests; /* number received on the connection */
};

struct request
{
  uint64_t id;
  struct backend *backend;
  struct MHD_Connection *connection;
  enum request_state state;
  bool is_builtin; /* addressed to the stand-in itself; uses no slot */
  bool suspended;
  struct str method;
  struct str path; /* without the query */
  struct str tag;
  struct str hop;
  struct str traceparent;
  struct str_buf body;
  struct event *peer_closed; /* fires when the peer closes the connection */
  int64_t arrived_us;
  int64_t due_us;
  enum fault fault;
  size_t next_call; /* index of the next call template to try */
  uint32_t calls_running;
  uint32_t calls_failed;
  int status;
  struct str_buf answer;
};

/* An open nested call.  */
struct call
{
  uint64_t id;
  uint64_t request_id;
  struct backend *backend;
  struct http_client_exchange *exchange;
};

/* A nested call from a --call option.  */
struct call_template
{
  char *prefix; /* requests whose path begins with it make the call */
  char *method;
  char *target;
};

/* Numbers of requests with one tag that were started and finished.  */
struct execution_counts
{
  struct str tag;
  uint64_t started;
  uint64_t finished;
};

struct load_report
{
  int64_t at_us;
  uint32_t in_flight;
  uint32_t queued;
};

struct options
{
  char *service;
  char *address;
  int port;
  char *local; /* IP:PORT of the daemon's local endpoint */
  int slots;
  int queue;
  int connections;
  char *service_time;
  int seed;
  int cold_ms;
  double cold_factor;
  char *report;
  int report_lag_ms;
  char **calls;
  gboolean parallel;
  gboolean optional;
  int call_timeout_ms;
  int answer_bytes;
  int drain_ms;
  int record;
};

struct backend
{
  struct options options;
  struct event_base *base;
  struct MHD_Daemon *httpd;
  struct event *http_ready;
  struct event *timer;
  struct table requests;
  struct table connections;
  struct table calls;
  struct table executions;
  GHashTable *execution_by_tag; /* tag -> row of `executions` */
  GQueue *queued_ids;           /* row ids of requests in order of arrival */
  GQueue *recorded;             /* JsonNode of each of the last requests */
  GRand *rand;
  struct service_time service_time;
  struct fault_injection fault_injection;
  enum report_mode report_mode;
  struct load_report lagged_load;
  struct call_template call_templates[CALL_TEMPLATES_MAX];
  size_t call_templates_len;
  uint32_t slots_used; /* occupied slots */
  uint64_t started;
  uint64_t finished;
  uint64_t shed;
  uint64_t cancelled;
  int64_t start_time_us;
  uint16_t port;
  struct http_client_pool *daemon_pool;
  bool notification_open; /* an announce, drain or leave is unanswered */
  bool announced;         /* the daemon accepted the last announcement */
  int64_t next_announce_us;
  bool draining;
  bool drain_sent;
  int64_t leave_after_us; /* earliest time to send leave */
  bool leave_sent;
  bool quit;
  bool resumed; /* libmicrohttpd has resumed connections to process */
};

/* Internal functions: service time */

static double
draw_fixed (GRand *rand, const struct service_time *t)
{
  return t->a;
}

static double
draw_uniform (GRand *rand, const struct service_time *t)
{
  return t->a + (t->b - t->a) * g_rand_double (rand);
}

static double
draw_exponential (GRand *rand, const struct service_time *t)
{
  return -t->a * log1p (-g_rand_double (rand));
}

/* Box-Muller method; a is the median and b the standard deviation of the
   logarithm.  */
static double
draw_lognormal (GRand *rand, const struct service_time *t)
{
  double radius = sqrt (-2.0 * log1p (-g_rand_double (rand)));
  double normal = radius * cos (2.0 * G_PI * g_rand_double (rand));

  return t->a * exp (t->b * normal);
}

static const struct distribution distributions[] = {
  { "fixed", 1, draw_fixed },
  { "uniform", 2, draw_uniform },
  { "exponential", 1, draw_exponential },
  { "lognormal", 2, draw_lognormal },
};

/* Parses NAME:A or NAME:A,B.  */
static bool
parse_service_time (const char *text, struct service_time *t)
{
  const char *colon = strchr (text, ':');
  char *end;

  if (colon == NULL)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (distributions); i++)
    {
      const struct distribution *d = &distributions[i];

      if (strlen (d->name) != (size_t)(colon - text)
          || strncmp (d->name, text, strlen (d->name)) != 0)
        continue;
      t->distribution = d;
      t->a = g_ascii_strtod (colon + 1, &end);
      t->b = 0;
      if (d->parameters == 2 && *end == ',')
        t->b = g_ascii_strtod (end + 1, &end);
      else if (d->parameters == 2)
        return false;
      return *end == '\0' && end > colon + 1 && t->a >= 0 && t->b >= 0;
    }
  return false;
}

static int64_t
draw_service_us (struct backend *b, int64_t now_us)
{
  double ms = b->service_time.distribution->draw (b->rand, &b->service_time);

  if (now_us - b->start_time_us
      < (int64_t)b->options.cold_ms * CLOCK_US_PER_MS)
    ms *= b->options.cold_factor;
  return (int64_t)(ms * CLOCK_US_PER_MS);
}

/* Internal functions: JSON */

static void
add_text (JsonBuilder *j, const char *name, struct str text)
{
  char *valid = g_utf8_make_valid (text.data, (gssize)text.len);

  json_builder_set_member_name (j, name);
  json_builder_add_string_value (j, valid);
  g_free (valid);
}

static void
add_number (JsonBuilder *j, const char *name, int64_t value)
{
  json_builder_set_member_name (j, name);
  json_builder_add_int_value (j, value);
}

/* Ends the builder's object, appends its text and frees the builder.  */
static void
append_json (struct str_buf *out, JsonBuilder *j)
{
  JsonNode *root;
  char *text;

  json_builder_end_object (j);
  root = json_builder_get_root (j);
  text = json_to_string (root, FALSE);
  str_append (out, str_from_cstr (text));
  g_free (text);
  json_node_unref (root);
  g_object_unref (j);
}

static JsonBuilder *
begin_json (void)
{
  JsonBuilder *j = json_builder_new ();

  json_builder_begin_object (j);
  return j;
}

/* Internal functions: execution log */

/* Returns the counts of a tag; adds a row if there is none.  */
static struct execution_counts *
get_execution (struct backend *b, struct str tag)
{
  char *key = str_dup_cstr (tag);
  struct execution_counts *e = g_hash_table_lookup (b->execution_by_tag, key);

  if (e != NULL)
    {
      g_free (key);
      return e;
    }
  table_add (&b->executions, (void **)&e);
  e->tag = (struct str){ tag.len, key };
  g_hash_table_insert (b->execution_by_tag, key, e);
  return e;
}

static void
record_start (struct request *r)
{
  r->backend->started++;
  if (r->tag.len > 0)
    get_execution (r->backend, r->tag)->started++;
}

static void
record_finish (struct request *r)
{
  r->backend->finished++;
  if (r->tag.len > 0)
    get_execution (r->backend, r->tag)->finished++;
}

static void
add_execution (JsonBuilder *j, const struct execution_counts *e)
{
  char *name = g_utf8_make_valid (e->tag.data, (gssize)e->tag.len);

  json_builder_set_member_name (j, name);
  json_builder_add_int_value (j, (gint64)e->started);
  g_free (name);
}

/* Appends {"service", "started", "finished", "shed", "cancelled",
   "tags": {tag: started}}.  */
static void
append_executions (struct backend *b, struct str_buf *out)
{
  JsonBuilder *j = begin_json ();
  struct execution_counts *e;

  add_text (j, "service", str_from_cstr (b->options.service));
  add_number (j, "started", (int64_t)b->started);
  add_number (j, "finished", (int64_t)b->finished);
  add_number (j, "shed", (int64_t)b->shed);
  add_number (j, "cancelled", (int64_t)b->cancelled);
  json_builder_set_member_name (j, "tags");
  json_builder_begin_object (j);
  for (uint64_t id = table_next (&b->executions, 0, (void **)&e); id != 0;
       id = table_next (&b->executions, id, (void **)&e))
    add_execution (j, e);
  json_builder_end_object (j);
  append_json (out, j);
}

static enum MHD_Result
add_name_and_value (void *data, enum MHD_ValueKind kind, const char *key,
                    const char *value)
{
  JsonBuilder *j = data;

  json_builder_begin_array (j);
  json_builder_add_string_value (j, key);
  json_builder_add_string_value (j, value != NULL ? value : "");
  json_builder_end_array (j);
  return MHD_YES;
}

/* Records a received request, so that a test can search it for a key.  */
static void
record_request (struct request *r)
{
  struct backend *b = r->backend;
  JsonBuilder *j = begin_json ();

  add_text (j, "method", r->method);
  add_text (j, "path", r->path);
  add_text (j, "tag", r->tag);
  json_builder_set_member_name (j, "headers");
  json_builder_begin_array (j);
  MHD_get_connection_values (r->connection, MHD_HEADER_KIND,
                             add_name_and_value, j);
  json_builder_end_array (j);
  json_builder_set_member_name (j, "query");
  json_builder_begin_array (j);
  MHD_get_connection_values (r->connection, MHD_GET_ARGUMENT_KIND,
                             add_name_and_value, j);
  json_builder_end_array (j);
  add_text (j, "body",
            str_slice (str_view (&r->body), 0, RECORDED_BODY_BYTES));
  json_builder_end_object (j);
  g_queue_push_tail (b->recorded, json_builder_get_root (j));
  g_object_unref (j);
  if (g_queue_get_length (b->recorded) > (guint)b->options.record)
    json_node_unref (g_queue_pop_head (b->recorded));
}

static void
append_recorded (struct backend *b, struct str_buf *out)
{
  str_append_char (out, '[');
  for (GList *item = b->recorded->head; item != NULL; item = item->next)
    {
      char *text = json_to_string (item->data, FALSE);

      str_append (out, str_from_cstr (text));
      if (item->next != NULL)
        str_append_char (out, ',');
      g_free (text);
    }
  str_append_char (out, ']');
}

/* Internal functions: health and load */

static struct load_report
get_load (struct backend *b)
{
  int64_t now_us = clock_now_us ();
  struct load_report load
      = { now_us, b->slots_used, g_queue_get_length (b->queued_ids) };

  if (b->report_mode == REPORT_MISLEADING)
    return (struct load_report){ now_us, 0, 0 };
  if (b->report_mode == REPORT_TRUE)
    return load;
  if (now_us - b->lagged_load.at_us
      >= (int64_t)b->options.report_lag_ms * CLOCK_US_PER_MS)
    {
      struct load_report previous = b->lagged_load;

      b->lagged_load = load;
      return previous;
    }
  return b->lagged_load;
}

static void
append_health (struct backend *b, struct str_buf *out)
{
  bool ok = b->report_mode == REPORT_MISLEADING || !b->draining;

  str_append (out, ok ? STR_LIT ("{\"status\":\"ok\"}")
                      : STR_LIT ("{\"status\":\"draining\"}"));
}

static void
append_load (struct backend *b, struct str_buf *out)
{
  struct load_report load = get_load (b);

  str_append_format (
      out, "{\"in_flight\":%" PRIu32 ",\"queued\":%" PRIu32 ",\"slots\":%d}",
      load.in_flight, load.queued, b->options.slots);
}

/* Internal functions: control */

static int64_t
get_number (JsonObject *o, const char *name, int64_t default_value)
{
  return json_object_get_int_member_with_default (o, name, default_value);
}

/* Returns the index of a text member's value in a list of names, 0 if the
   member is missing, or -1 if the value is not in the list.  */
static int
find_member_value (JsonObject *o, const char *member, const char *const *names)
{
  const char *text
      = json_object_get_string_member_with_default (o, member, names[0]);

  for (int i = 0; names[i] != NULL; i++)
    if (strcmp (names[i], text) == 0)
      return i;
  return -1;
}

static bool
apply_control (struct backend *b, JsonObject *o)
{
  static const char *const faults[]
      = { "none", "close", "reset", "slow", "large", NULL };
  static const char *const connections[] = { "any", "new", "reused", NULL };
  int fault = find_member_value (o, "fault", faults);
  int connection = find_member_value (o, "connection", connections);
  const char *time
      = json_object_get_string_member_with_default (o, "service_time", NULL);
  struct service_time service_time = b->service_time;

  if (fault < 0 || connection < 0)
    return false;
  if (time != NULL && !parse_service_time (time, &service_time))
    return false;
  b->service_time = service_time;
  if (json_object_has_member (o, "fault"))
    b->fault_injection = (struct fault_injection){
      (enum fault)fault, (enum connection_filter)connection,
      get_number (o, "count", 1), get_number (o, "delay_ms", 0),
      get_number (o, "bytes", 0)
    };
  if (json_object_has_member (o, "slots"))
    b->options.slots = (int)get_number (o, "slots", b->options.slots);
  return true;
}

static bool
run_control (struct backend *b, struct str body)
{
  JsonParser *parser = json_parser_new ();
  JsonNode *root;
  bool ok = false;

  if (json_parser_load_from_data (parser, body.data, (gssize)body.len, NULL))
    {
      root = json_parser_get_root (parser);
      ok = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
           && apply_control (b, json_node_get_object (root));
    }
  g_object_unref (parser);
  return ok;
}

/* Internal functions: built-in endpoints */

static void
answer_executions (struct request *r)
{
  append_executions (r->backend, &r->answer);
}

static void
answer_recorded (struct request *r)
{
  append_recorded (r->backend, &r->answer);
}

static void
answer_health (struct request *r)
{
  append_health (r->backend, &r->answer);
}

static void
answer_load (struct request *r)
{
  append_load (r->backend, &r->answer);
}

static void
answer_control (struct request *r)
{
  bool ok = run_control (r->backend, str_view (&r->body));

  r->status = ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST;
  str_append (&r->answer, ok ? STR_LIT ("{}") : STR_LIT ("{\"error\":1}"));
}

static void
answer_drain (struct request *r)
{
  r->backend->draining = true;
  str_append (&r->answer, STR_LIT ("{}"));
}

static const struct
{
  const char *path;
  void (*answer) (struct request *r);
} builtin_endpoints[] = {
  { "/executions", answer_executions }, { "/requests", answer_recorded },
  { "/health", answer_health },         { "/load", answer_load },
  { "/control", answer_control },       { "/control/drain", answer_drain },
};

/* Returns an index in builtin_endpoints, or -1.  */
static int
find_builtin_endpoint (struct str path)
{
  for (size_t i = 0; i < G_N_ELEMENTS (builtin_endpoints); i++)
    if (str_equal (path, str_from_cstr (builtin_endpoints[i].path)))
      return (int)i;
  return -1;
}

/* Internal functions: life cycle of a request */

static void
remove_peer_closed_event (struct request *r)
{
  if (r->peer_closed != NULL)
    event_free (r->peer_closed);
  r->peer_closed = NULL;
}

static void
resume (struct request *r)
{
  if (!r->suspended)
    return;
  remove_peer_closed_event (r);
  r->suspended = false;
  r->backend->resumed = true;
  MHD_resume_connection (r->connection);
}

static void
release_slot (struct request *r)
{
  if (r->state == STATE_RUNNING || r->state == STATE_CALLING)
    r->backend->slots_used--;
}

static void
cancel_calls (struct request *r)
{
  struct backend *b = r->backend;
  struct call *c;

  for (uint64_t id = table_next (&b->calls, 0, (void **)&c); id != 0;
       id = table_next (&b->calls, id, (void **)&c))
    if (c->request_id == r->id)
      {
        http_client_cancel (c->exchange);
        table_remove (&b->calls, id);
      }
}

static void
abort_request (struct request *r)
{
  release_slot (r);
  cancel_calls (r);
  r->state = STATE_ABORTED;
  resume (r);
}

static void
on_peer_closed (evutil_socket_t fd, short what, void *data)
{
  struct request *r = data;

  r->backend->cancelled++;
  abort_request (r);
}

/* Resets the TCP connection.  connect with AF_UNSPEC sends the reset at once,
   while a close by libmicrohttpd would first send a FIN.  */
static void
reset_connection (struct request *r)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      r->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct sockaddr none = { .sa_family = AF_UNSPEC };

  if (connect (info->connect_fd, &none, sizeof none) != 0)
    perror ("backend: cannot reset the connection");
}

static void
append_answer (struct request *r)
{
  struct backend *b = r->backend;
  int64_t bytes = b->options.answer_bytes;
  JsonBuilder *j = begin_json ();
  struct str_buf padding = { 0 };

  if (r->fault == FAULT_LARGE)
    bytes = b->fault_injection.bytes;
  add_text (j, "service", str_from_cstr (b->options.service));
  add_text (j, "path", r->path);
  add_text (j, "tag", r->tag);
  add_number (j, "port", b->port);
  add_number (j, "calls_failed", r->calls_failed);
  for (int64_t i = 0; i < bytes; i++)
    str_append_char (&padding, 'x');
  if (bytes > 0)
    add_text (j, "padding", str_view (&padding));
  str_reset (&padding);
  append_json (&r->answer, j);
}

static void
finish_request (struct request *r)
{
  release_slot (r);
  r->state = STATE_DONE;
  r->status = MHD_HTTP_OK;
  if (r->calls_failed > 0 && !r->backend->options.optional)
    r->status = MHD_HTTP_BAD_GATEWAY;
  append_answer (r);
  record_finish (r);
  resume (r);
}

static void run_calls (struct request *r);

static void
on_call_done (void *data, const struct http_client_answer *answer)
{
  struct call *c = data;
  struct backend *b = c->backend;
  struct request *r = table_get (&b->requests, c->request_id);

  table_remove (&b->calls, c->id);
  if (r == NULL)
    return;
  r->calls_running--;
  if (answer->result != HTTP_CLIENT_ANSWERED || answer->status >= 400)
    r->calls_failed++;
  run_calls (r);
}

static void
add_header (struct http_head_field *headers, uint32_t *len, const char *name,
            struct str value)
{
  if (value.len > 0)
    headers[(*len)++]
        = (struct http_head_field){ str_from_cstr (name), value };
}

/* Appends the target of a nested call.  The tag is also sent in the query,
   because a daemon forwards only the headers that are on its list.  */
static void
append_target (struct str_buf *out, const struct call_template *template,
               struct str tag)
{
  struct str target = str_from_cstr (template->target);

  str_append (out, target);
  if (tag.len == 0)
    return;
  str_append_char (out, str_contains (target, STR_LIT ("?")) ? '&' : '?');
  str_append (out, STR_LIT ("tag="));
  str_append (out, tag);
}

static void
send_call (struct request *r, const struct call_template *template)
{
  struct str_buf target = { 0 };
  struct backend *b = r->backend;
  struct http_head_field headers[3];
  struct http_client_request request
      = { .method = template->method,
          .headers = headers,
          .body = STR_EMPTY,
          .timeout_us = (int64_t)b->options.call_timeout_ms * CLOCK_US_PER_MS,
          .done = on_call_done };
  struct call *c;
  uint64_t id = table_add (&b->calls, (void **)&c);

  add_header (headers, &request.headers_len, HOP_HEADER, r->hop);
  add_header (headers, &request.headers_len, TAG_HEADER, r->tag);
  add_header (headers, &request.headers_len, TRACE_HEADER, r->traceparent);
  *c = (struct call){ id, r->id, b, NULL };
  append_target (&target, template, r->tag);
  request.target = str_view (&target);
  request.data = c;
  c->exchange = http_client_send (b->daemon_pool, &request);
  str_reset (&target);
  if (c->exchange != NULL)
    {
      r->calls_running++;
      return;
    }
  table_remove (&b->calls, id);
  r->calls_failed++;
}

/* Sends the next nested call, or with --parallel all of them, and finishes the
   request after the last answer.  */
static void
run_calls (struct request *r)
{
  struct backend *b = r->backend;

  while (r->next_call < b->call_templates_len
         && (b->options.parallel || r->calls_running == 0))
    {
      struct call_template *template = &b->call_templates[r->next_call++];

      if (str_has_prefix (r->path, str_from_cstr (template->prefix)))
        send_call (r, template);
    }
  if (r->calls_running == 0)
    finish_request (r);
}

static bool
is_reused (struct request *r)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      r->connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct connection *c = info->socket_context;

  return c != NULL && c->requests > 1;
}

/* Returns the fault to inject into this request and decrements its count, or
   returns FAULT_NONE if the injection does not apply to the request.  */
static enum fault
consume_fault (struct request *r)
{
  struct fault_injection *injection = &r->backend->fault_injection;

  if (injection->fault == FAULT_NONE || injection->count <= 0)
    return FAULT_NONE;
  if (injection->connection != CONNECTION_ANY
      && (injection->connection == CONNECTION_REUSED) != is_reused (r))
    return FAULT_NONE;
  injection->count--;
  return injection->fault;
}

static void
start_request (struct request *r, int64_t now_us)
{
  struct backend *b = r->backend;

  r->state = STATE_RUNNING;
  b->slots_used++;
  record_start (r);
  r->due_us = now_us + draw_service_us (b, now_us);
  if (r->fault == FAULT_SLOW)
    r->due_us += b->fault_injection.delay_ms * CLOCK_US_PER_MS;
  if (r->fault == FAULT_RESET)
    reset_connection (r);
  if (r->fault == FAULT_CLOSE || r->fault == FAULT_RESET)
    abort_request (r);
}

static void
shed_request (struct request *r)
{
  r->backend->shed++;
  r->state = STATE_DONE;
  r->status = MHD_HTTP_SERVICE_UNAVAILABLE;
  str_append (&r->answer, STR_LIT ("{\"error\":\"shed\"}"));
}

static void
suspend (struct request *r)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      r->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  r->suspended = true;
  r->peer_closed = event_new (r->backend->base, info->connect_fd, EV_CLOSED,
                              on_peer_closed, r);
  event_add (r->peer_closed, NULL);
  MHD_suspend_connection (r->connection);
}

/* Handles a request that has been read completely: answers it, queues it or
   sheds it.  */
static void
accept_request (struct request *r)
{
  struct backend *b = r->backend;
  int endpoint = find_builtin_endpoint (r->path);

  if (endpoint >= 0)
    {
      r->is_builtin = true;
      r->status = MHD_HTTP_OK;
      builtin_endpoints[endpoint].answer (r);
      r->state = STATE_DONE;
      return;
    }
  record_request (r);
  if (b->slots_used >= (uint32_t)b->options.slots
      && g_queue_get_length (b->queued_ids) >= (guint)b->options.queue)
    {
      shed_request (r);
      return;
    }
  r->fault = consume_fault (r);
  r->state = STATE_QUEUED;
  g_queue_push_tail (b->queued_ids, GSIZE_TO_POINTER (r->id));
  suspend (r);
}

/* Internal functions: libmicrohttpd */

static enum MHD_Result
send_answer (struct request *r)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      r->answer.len, (void *)str_view (&r->answer).data,
      MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, JSON_TYPE);
  if (r->tag.len > 0)
    MHD_add_response_header (response, TAG_HEADER, r->tag.data);
  result
      = MHD_queue_response (r->connection, (unsigned int)r->status, response);
  MHD_destroy_response (response);
  return result;
}

static struct str
copy_header (struct MHD_Connection *connection, const char *name)
{
  return str_copy (str_from_cstr (
      MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name)));
}

static struct request *
add_request (struct backend *b, struct MHD_Connection *connection,
             const char *url, const char *method)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct connection *c = info->socket_context;
  struct request *r;
  uint64_t id = table_add (&b->requests, (void **)&r);

  r->id = id;
  r->backend = b;
  r->connection = connection;
  r->method = str_copy (str_from_cstr (method));
  r->path = str_copy (str_from_cstr (url));
  r->tag = copy_header (connection, TAG_HEADER);
  r->hop = copy_header (connection, HOP_HEADER);
  r->traceparent = copy_header (connection, TRACE_HEADER);
  r->arrived_us = clock_now_us ();
  if (r->tag.len == 0)
    {
      str_free (&r->tag);
      r->tag = str_copy (str_from_cstr (MHD_lookup_connection_value (
          connection, MHD_GET_ARGUMENT_KIND, "tag")));
    }
  if (c != NULL)
    c->requests++;
  return r;
}

static enum MHD_Result
on_access (void *data, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload,
           size_t *upload_len, void **context)
{
  struct request *r = *context;

  if (r == NULL)
    {
      *context = add_request (data, connection, url, method);
      return MHD_YES;
    }
  if (*upload_len > 0)
    {
      if (r->body.len + *upload_len > BODY_MAX_BYTES)
        return MHD_NO;
      str_append (&r->body, (struct str){ *upload_len, upload });
      *upload_len = 0;
      return MHD_YES;
    }
  if (r->state == STATE_READING)
    accept_request (r);
  if (r->state == STATE_ABORTED)
    return MHD_NO;
  return r->state == STATE_DONE ? send_answer (r) : MHD_YES;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode why)
{
  struct request *r = *context;

  if (r == NULL)
    return;
  *context = NULL;
  remove_peer_closed_event (r);
  cancel_calls (r);
  release_slot (r);
  str_free (&r->method);
  str_free (&r->path);
  str_free (&r->tag);
  str_free (&r->hop);
  str_free (&r->traceparent);
  str_reset (&r->body);
  str_reset (&r->answer);
  table_remove (&r->backend->requests, r->id);
}

static void
on_connection (void *data, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  struct backend *b = data;
  struct connection *c = *socket_context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      uint64_t id = table_add (&b->connections, (void **)&c);

      c->id = id;
      *socket_context = c;
    }
  else if (c != NULL)
    table_remove (&b->connections, c->id);
}

/* Internal functions: notifications to the daemon */

static void
on_notification_done (void *data, const struct http_client_answer *answer)
{
  struct backend *b = data;
  bool ok = answer->result == HTTP_CLIENT_ANSWERED && answer->status < 300;

  b->notification_open = false;
  if (b->leave_sent)
    b->quit = true;
  else if (!b->drain_sent)
    {
      if (ok && !b->announced)
        {
          printf ("announced\n");
          fflush (stdout);
        }
      b->announced = ok;
      b->next_announce_us
          = clock_now_us () + (ok ? ANNOUNCE_PERIOD_US : ANNOUNCE_RETRY_US);
    }
}

static void
send_notification (struct backend *b, const char *target, struct str body)
{
  struct http_head_field type
      = { STR_LIT ("Content-Type"), STR_LIT (JSON_TYPE) };
  struct http_client_request request = { .method = "POST",
                                         .target = str_from_cstr (target),
                                         .headers_len = 1,
                                         .headers = &type,
                                         .body = body,
                                         .timeout_us = NOTIFICATION_TIMEOUT_US,
                                         .done = on_notification_done,
                                         .data = b };

  b->notification_open = http_client_send (b->daemon_pool, &request) != NULL;
}

static void
send_announce (struct backend *b)
{
  JsonBuilder *j = begin_json ();
  struct str_buf body = { 0 };

  add_text (j, "service", str_from_cstr (b->options.service));
  add_text (j, "address", str_from_cstr (b->options.address));
  add_number (j, "port", b->port);
  add_number (j, "slots", b->options.slots);
  add_number (j, "connections", b->options.connections);
  append_json (&body, j);
  send_notification (b, "/almondvale/announce", str_view (&body));
  str_reset (&body);
}

/* Internal functions: systems, which run after each batch of events */

static void
run_waiting (struct backend *b, int64_t now_us)
{
  while (b->slots_used < (uint32_t)b->options.slots
         && !g_queue_is_empty (b->queued_ids))
    {
      uint64_t id = GPOINTER_TO_SIZE (g_queue_pop_head (b->queued_ids));
      struct request *r = table_get (&b->requests, id);

      if (r != NULL && r->state == STATE_QUEUED)
        start_request (r, now_us);
    }
}

static void
run_due (struct backend *b, int64_t now_us)
{
  struct request *r;

  for (uint64_t id = table_next (&b->requests, 0, (void **)&r); id != 0;
       id = table_next (&b->requests, id, (void **)&r))
    if (r->state == STATE_RUNNING && r->due_us <= now_us)
      {
        r->state = STATE_CALLING;
        run_calls (r);
      }
}

static void
run_announce (struct backend *b, int64_t now_us)
{
  if (b->daemon_pool == NULL || b->notification_open || b->draining
      || now_us < b->next_announce_us)
    return;
  send_announce (b);
}

static bool
is_idle (struct backend *b)
{
  return b->slots_used == 0 && g_queue_is_empty (b->queued_ids);
}

static void
run_drain (struct backend *b, int64_t now_us)
{
  if (!b->draining || b->notification_open || b->leave_sent)
    return;
  if (b->daemon_pool == NULL)
    {
      b->quit = is_idle (b);
      return;
    }
  if (!b->drain_sent)
    {
      b->drain_sent = true;
      b->leave_after_us
          = now_us + (int64_t)b->options.drain_ms * CLOCK_US_PER_MS;
      send_notification (b, "/almondvale/drain", STR_LIT ("{}"));
      return;
    }
  if (!is_idle (b) || now_us < b->leave_after_us)
    return;
  b->leave_sent = true;
  send_notification (b, "/almondvale/leave", STR_LIT ("{}"));
  b->quit = !b->notification_open;
}

static void
run_http (struct backend *b, int64_t now_us)
{
  while (b->resumed)
    {
      b->resumed = false;
      MHD_run (b->httpd);
    }
}

static const struct
{
  const char *name;
  void (*run) (struct backend *b, int64_t now_us);
} systems[] = {
  { "waiting", run_waiting },   { "due", run_due },
  { "waiting", run_waiting }, /* uses the slots that "due" released */
  { "announce", run_announce }, { "drain", run_drain },
  { "http", run_http },
};

/* Returns the earliest time at which a system has work to do without an
   event.  */
static int64_t
get_next_wakeup_us (struct backend *b, int64_t now_us)
{
  int64_t next_us = now_us + ANNOUNCE_RETRY_US;
  MHD_UNSIGNED_LONG_LONG mhd_ms;
  struct request *r;

  if (MHD_get_timeout (b->httpd, &mhd_ms) == MHD_YES)
    next_us = MIN (next_us, now_us + (int64_t)mhd_ms * CLOCK_US_PER_MS);
  for (uint64_t id = table_next (&b->requests, 0, (void **)&r); id != 0;
       id = table_next (&b->requests, id, (void **)&r))
    if (r->state == STATE_RUNNING)
      next_us = MIN (next_us, r->due_us);
  return next_us;
}

static void
set_timer (struct backend *b)
{
  int64_t now_us = clock_now_us ();
  int64_t wait_us = MAX (get_next_wakeup_us (b, now_us) - now_us, 0);
  struct timeval wait = { wait_us / CLOCK_US_PER_S, wait_us % CLOCK_US_PER_S };

  event_add (b->timer, &wait);
}

static void
run_loop (struct backend *b)
{
  while (!b->quit)
    {
      int64_t now_us;

      set_timer (b);
      event_base_loop (b->base, EVLOOP_ONCE);
      now_us = clock_now_us ();
      for (size_t i = 0; i < G_N_ELEMENTS (systems); i++)
        systems[i].run (b, now_us);
    }
}

/* Internal functions: events */

static void
on_http_ready (evutil_socket_t fd, short what, void *data)
{
  struct backend *b = data;

  MHD_run (b->httpd);
}

/* MHD_run also handles timeouts of libmicrohttpd that have expired.  */
static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  struct backend *b = data;

  MHD_run (b->httpd);
}

static void
on_signal (evutil_socket_t fd, short what, void *data)
{
  struct backend *b = data;

  b->draining = true;
}

/* Internal functions: startup */

static bool
parse_options (struct options *o, int argc, char **argv)
{
  GOptionEntry entries[] = {
    { "service", 0, 0, G_OPTION_ARG_STRING, &o->service, "Name of the service",
      "NAME" },
    { "address", 0, 0, G_OPTION_ARG_STRING, &o->address,
      "Address to listen on", "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &o->port,
      "Port to listen on; 0 selects a free one", "PORT" },
    { "local", 0, 0, G_OPTION_ARG_STRING, &o->local,
      "The daemon's local endpoint", "IP:PORT" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &o->slots,
      "Requests that run concurrently", "N" },
    { "queue", 0, 0, G_OPTION_ARG_INT, &o->queue,
      "Requests that may wait for a slot; others are shed", "N" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &o->connections,
      "Limit of open connections", "N" },
    { "service-time", 0, 0, G_OPTION_ARG_STRING, &o->service_time,
      "fixed:MS, uniform:MS,MS, exponential:MEAN or lognormal:MEDIAN,SIGMA",
      "DIST" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &o->seed, "Seed of the service times",
      "N" },
    { "cold-ms", 0, 0, G_OPTION_ARG_INT, &o->cold_ms, "Length of a cold start",
      "MS" },
    { "cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &o->cold_factor,
      "Factor applied to service times during a cold start", "X" },
    { "report", 0, 0, G_OPTION_ARG_STRING, &o->report,
      "Accuracy of /health and /load: true, lagging or misleading", "KIND" },
    { "report-lag-ms", 0, 0, G_OPTION_ARG_INT, &o->report_lag_ms,
      "Interval between samples of a lagging report", "MS" },
    { "call", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->calls,
      "Nested call made by requests whose path begins with PREFIX",
      "[PREFIX=]METHOD PATH" },
    { "parallel", 0, 0, G_OPTION_ARG_NONE, &o->parallel,
      "Make the nested calls in parallel", NULL },
    { "optional", 0, 0, G_OPTION_ARG_NONE, &o->optional,
      "Answer 200 when a nested call fails", NULL },
    { "call-timeout-ms", 0, 0, G_OPTION_ARG_INT, &o->call_timeout_ms,
      "Timeout of a nested call", "MS" },
    { "answer-bytes", 0, 0, G_OPTION_ARG_INT, &o->answer_bytes,
      "Bytes of padding in an answer", "N" },
    { "drain-ms", 0, 0, G_OPTION_ARG_INT, &o->drain_ms,
      "Minimum time between drain and leave", "MS" },
    { "record", 0, 0, G_OPTION_ARG_INT, &o->record,
      "Number of last requests that /requests lists", "N" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  bool ok;

  g_option_context_set_summary (context,
                                "Stand-in for a backend server. SIGTERM "
                                "drains it, sends leave and ends it.");
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, &argc, &argv, &error);
  if (!ok)
    fprintf (stderr, "backend: %s\n", error->message);
  g_clear_error (&error);
  g_option_context_free (context);
  return ok;
}

/* Parses [PREFIX=]METHOD PATH.  */
static bool
add_call_template (struct backend *b, const char *text)
{
  struct call_template *template = &b->call_templates[b->call_templates_len];
  const char *equals = text[0] == '/' ? strchr (text, '=') : NULL;
  const char *method = equals != NULL ? equals + 1 : text;
  const char *space = strchr (method, ' ');

  if (b->call_templates_len == CALL_TEMPLATES_MAX || space == NULL)
    return false;
  template->prefix = equals != NULL ? g_strndup (text, (gsize)(equals - text))
                                    : g_strdup ("");
  template->method = g_strndup (method, (gsize)(space - method));
  template->target = g_strdup (space + 1);
  b->call_templates_len++;
  return true;
}

static bool
parse_call_templates (struct backend *b)
{
  for (char **call = b->options.calls; call != NULL && *call != NULL; call++)
    if (!add_call_template (b, *call))
      return false;
  return true;
}

static bool
parse_report_mode (struct backend *b)
{
  static const char *const names[] = { "true", "lagging", "misleading", NULL };

  for (int i = 0; names[i] != NULL; i++)
    if (strcmp (names[i], b->options.report) == 0)
      {
        b->report_mode = (enum report_mode)i;
        return true;
      }
  return false;
}

/* Parses IP:PORT, split at the last colon, and opens a connection pool to the
   daemon's local endpoint.  */
static bool
open_daemon_pool (struct backend *b)
{
  struct str text = str_from_cstr (b->options.local);
  const char *colon = strrchr (text.data, ':');
  struct str address;
  uint64_t port;

  if (b->options.local == NULL)
    return b->call_templates_len == 0;
  if (colon == NULL)
    return false;
  address = str_slice (text, 0, (size_t)(colon - text.data));
  if (!str_parse_u64 (str_from_cstr (colon + 1), &port) || port == 0
      || port > UINT16_MAX)
    return false;
  b->daemon_pool
      = http_client_load_pool (b->base, address, (uint16_t)port,
                               DAEMON_CONNECTIONS_MAX, BODY_MAX_BYTES);
  return true;
}

static bool
start_http (struct backend *b)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)b->options.port) };
  const union MHD_DaemonInfo *info;

  if (inet_pton (AF_INET, b->options.address, &address.sin_addr) != 1)
    return false;
  b->httpd = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, b,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)b->options.connections,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, b,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, b, MHD_OPTION_END);
  if (b->httpd == NULL)
    return false;
  info = MHD_get_daemon_info (b->httpd, MHD_DAEMON_INFO_BIND_PORT);
  b->port = info->port;
  info = MHD_get_daemon_info (b->httpd, MHD_DAEMON_INFO_EPOLL_FD);
  b->http_ready = event_new (b->base, info->epoll_fd, EV_READ | EV_PERSIST,
                             on_http_ready, b);
  event_add (b->http_ready, NULL);
  return true;
}

static void
init_tables (struct backend *b)
{
  table_init (&b->requests, sizeof (struct request));
  table_init (&b->connections, sizeof (struct connection));
  table_init (&b->calls, sizeof (struct call));
  table_init (&b->executions, sizeof (struct execution_counts));
  b->execution_by_tag = g_hash_table_new (g_str_hash, g_str_equal);
  b->queued_ids = g_queue_new ();
  b->recorded = g_queue_new ();
  b->rand = g_rand_new_with_seed ((guint32)b->options.seed);
}

static bool
start_backend (struct backend *b)
{
  struct event_config *config = event_config_new ();
  struct event *term, *interrupt;

  event_config_require_features (config, EV_FEATURE_EARLY_CLOSE);
  /* Without this flag, epoll timeouts would lengthen service times by up to
     1 ms.  */
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  b->base = event_base_new_with_config (config);
  event_config_free (config);
  b->start_time_us = clock_now_us ();
  b->timer = evtimer_new (b->base, on_timer, b);
  term = evsignal_new (b->base, SIGTERM, on_signal, b);
  interrupt = evsignal_new (b->base, SIGINT, on_signal, b);
  event_add (term, NULL);
  event_add (interrupt, NULL);
  init_tables (b);
  return parse_service_time (b->options.service_time, &b->service_time)
         && parse_report_mode (b) && parse_call_templates (b)
         && open_daemon_pool (b) && start_http (b);
}

int
main (int argc, char **argv)
{
  static struct backend b = { .options = { .service = "service",
                                           .address = "127.0.0.1",
                                           .slots = 100,
                                           .queue = 1000,
                                           .connections = 750,
                                           .service_time = "exponential:10",
                                           .seed = 1,
                                           .cold_factor = 1,
                                           .report = "true",
                                           .report_lag_ms = 2000,
                                           .call_timeout_ms = 10000,
                                           .drain_ms = 200,
                                           .record = 10000 } };

  signal (SIGPIPE, SIG_IGN);
  if (!parse_options (&b.options, argc, argv))
    return EXIT_FAILURE;
  if (!start_backend (&b))
    {
      fprintf (stderr, "backend: invalid options, or the port is in use\n");
      return EXIT_FAILURE;
    }
  printf ("ready %u\n", b.port);
  fflush (stdout);
  run_loop (&b);
  MHD_stop_daemon (b.httpd);
  return EXIT_SUCCESS;
}
