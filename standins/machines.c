/* machines: a stand-in for the users' platform in the tests of
   almondvaled-platform, that is, for its metadata store and for backend
   servers that report to their daemons.

   usage: machines --store=PORT --config=FILE [--runs=FILE]
            --backend=PORT,CONTROL-PORT,SERVICE ...

   A backend server answers with the id of the request, a signature and a body
   that names the service, the target and the headers that the daemon set.  It
   answers 421 if X-Almondvale-Expected-Instance is the id of another instance.
   A word in the target changes the answer:

     slow      answered after 700 ms
     hang      never answered
     unsigned  answered without a signature
     foreign   answered with the id of another request
     full      not run; answered with 503 and X-Almondvale-Not-Executed
     busyN     like "full", or like "again" if that is in the target too, the
               first N times (1 to 9) that the target arrives
     again     like "full"; the next request on the connection is run, but
               before its answer this one is sent once more
     nameless  with "again": sent once more without the id of its request
     lost      run, but the connection is closed without an answer
     cut       run, but the connection is closed in the middle of the head of
               the answer

   The file of --runs gets a line for each request that is run ("run MS ID
   TARGET TENANT CALLER INSTANCE KEY") and for each drain or leave that a
   daemon has acknowledged ("left MS INSTANCE").  MS is the time of
   clock_now_us, which the daemons use too, in milliseconds.

   Tests control the program by requests to the store's port:

     PUT /standin/config      replaces the configuration
     PUT /standin/store       sets the mode of the store: "up", "down", "slow"
                              (answers after 1.5 s) or "lost" (applies writes
                              without an answer); "forget" deletes the history
                              so far: a watch from an earlier revision gets 410
     PUT /standin/drain       drains the backend server whose number, counted
                              from 0 in the order of --backend, is the body
     PUT /standin/leave       deregisters that backend server
     PUT /standin/return      restarts that backend server with a new id
     PUT /standin/late        sends the first report of that backend server's
                              instance ("ready") once more
     PUT /standin/entry       adds the body, as it is, to the items of lists of
                              the daemons; an empty body removes it
     GET /standin/executions  returns the number of requests that each backend
                              server has run
     GET /standin/repeated    returns the number of refusals sent once more
     GET /standin/confirmed   returns the number of drains and leaves of each
                              backend server that its daemon has confirmed
     GET /standin/cancelled   returns the number of connections of each backend
                              server that closed while a "hang" was open  */

#include "clock.h"
#include "http_client.h"
#include "refusal.h"
#include "str.h"
#include "table.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Constants */

#define BACKENDS_MAX 32
#define SLOTS 8
#define HEARTBEAT_INTERVAL_US 300000
#define SLOW_ANSWER_US 700000
#define STORE_DELAY_US 1500000
#define OBJECTS_PATH "/almondvale/objects/"
#define DAEMONS_KIND "almondvale-daemons"

/* Types */

struct object
{
  char *kind;
  char *name;
  JsonNode *spec;
  uint64_t revision;
};

/* An open request that is answered when an object of the kind changes or its
   timer fires.  */
struct watch
{
  uint64_t id;
  char *kind;
  uint64_t revision; /* later changes are reported */
  struct evhttp_request *request;
  struct event *timer;
};

enum store_mode
{
  STORE_UP,
  STORE_DOWN,        /* answers 503 */
  STORE_SLOW,        /* answers after STORE_DELAY_US */
  STORE_ANSWERS_LOST /* applies writes without an answer */
};

struct backend
{
  uint16_t port;
  char *service;
  char id[32]; /* of the instance; a restart changes it */
  int restarts;
  struct http_client_pool *daemon;
  struct event *timer;
  uint64_t sequence; /* of the last report */
  int64_t born_ms;   /* wall-clock time of the instance's start */
  bool draining;
  bool deregistered;
  int executions; /* requests that were run */
  int cancelled;  /* hanging requests whose connection was closed */
  int confirmed;  /* confirmed drains and leaves */
};

/* State */

static struct event_base *base;
static struct table objects;
static struct table watches;
static uint64_t revision = 100;
static enum store_mode store_mode;
/* A watch from an earlier revision is answered with 410.  */
static uint64_t oldest_watch_revision;
/* The connection on which a refusal is to be sent again, or NULL.  */
static struct evhttp_connection *refused_connection;
static char *refusal;
static int repeated_refusals;
static char *foreign_entry; /* in lists of the daemons, or NULL */
static FILE *run_log;
static struct backend backends[BACKENDS_MAX];
static int backends_len;

/* Internal functions: answers */

static void
reply (struct evhttp_request *r, int status, const char *body)
{
  struct evbuffer *out = evhttp_request_get_output_buffer (r);

  evhttp_add_header (evhttp_request_get_output_headers (r), "Content-Type",
                     "application/json");
  evbuffer_add_printf (out, "%s", body);
  evhttp_send_reply (r, status, "-", NULL);
}

static char *
read_body (struct evhttp_request *r)
{
  struct evbuffer *in = evhttp_request_get_input_buffer (r);
  size_t len = evbuffer_get_length (in);
  char *text = g_malloc0 (len + 1);

  evbuffer_remove (in, text, len);
  return text;
}

/* Internal functions: the run log */

static void
log_leave (const char *instance)
{
  if (run_log == NULL)
    return;
  fprintf (run_log, "left %" PRId64 " %s\n", clock_now_us () / CLOCK_US_PER_MS,
           instance);
  fflush (run_log);
}

/* Internal functions: the store */

static struct object *
find_object (const char *kind, const char *name)
{
  struct object *o;

  for (uint64_t id = table_next (&objects, 0, (void **)&o); id != 0;
       id = table_next (&objects, id, (void **)&o))
    if (strcmp (o->kind, kind) == 0 && strcmp (o->name, name) == 0)
      return o;
  return NULL;
}

static void
append_object (GString *out, const struct object *o)
{
  char *spec = json_to_string (o->spec, FALSE);

  g_string_append_printf (
      out,
      "{\"metadata\":{\"name\":\"%s\",\"revision\":%" PRIu64
      "},\"spec\":%s,\"status\":null}",
      o->name, o->revision, spec);
  g_free (spec);
}

/* Appends the objects of a kind that changed after a revision, as items of a
   list or as events of a watch.  Returns their number.  */
static int
append_changed (GString *out, const char *kind, uint64_t after, bool events)
{
  struct object *o;
  int len = 0;

  for (uint64_t id = table_next (&objects, 0, (void **)&o); id != 0;
       id = table_next (&objects, id, (void **)&o))
    {
      if (strcmp (o->kind, kind) != 0 || o->revision <= after)
        continue;
      g_string_append (out, len++ > 0 ? "," : "");
      if (events)
        g_string_append (out, "{\"removed\":false,\"object\":");
      append_object (out, o);
      if (events)
        g_string_append (out, "}");
    }
  return len;
}

static void
answer_watch (struct watch *w)
{
  GString *out = g_string_new ("{\"events\":[");

  append_changed (out, w->kind, w->revision, true);
  g_string_append_printf (out, "],\"atRev\":%" PRIu64 "}", revision);
  reply (w->request, 200, out->str);
  g_string_free (out, TRUE);
  event_free (w->timer);
  g_free (w->kind);
  table_remove (&watches, w->id);
}

static void
on_watch_timer (evutil_socket_t fd, short what, void *data)
{
  answer_watch (data);
}

static uint64_t
put_object (const char *kind, const char *name, JsonNode *spec)
{
  struct object *o = find_object (kind, name);
  struct watch *w;

  if (o == NULL)
    {
      table_add (&objects, (void **)&o);
      o->kind = g_strdup (kind);
      o->name = g_strdup (name);
    }
  else
    json_node_unref (o->spec);
  o->spec = json_node_copy (spec);
  o->revision = ++revision;
  for (uint64_t id = table_next (&watches, 0, (void **)&w); id != 0;
       id = table_next (&watches, id, (void **)&w))
    if (strcmp (w->kind, kind) == 0)
      answer_watch (w);
  return o->revision;
}

static void
start_watch (struct evhttp_request *r, const char *kind, const char *query)
{
  const char *from = strstr (query, "watch=");
  const char *wait = strstr (query, "waitMs=");
  uint64_t ms = wait != NULL ? strtoull (wait + 7, NULL, 10) : 0;
  struct timeval time
      = { (time_t)(ms / 1000), (suseconds_t)(ms % 1000) * 1000 };
  struct watch *w;
  uint64_t id = table_add (&watches, (void **)&w);
  GString *out = g_string_new ("");

  if (strtoull (from + 6, NULL, 10) < oldest_watch_revision)
    {
      table_remove (&watches, id);
      g_string_free (out, TRUE);
      reply (r, 410, "{}");
      return;
    }
  w->id = id;
  w->kind = g_strdup (kind);
  w->revision = strtoull (from + 6, NULL, 10);
  w->request = r;
  w->timer = evtimer_new (base, on_watch_timer, w);
  event_add (w->timer, &time);
  if (append_changed (out, kind, w->revision, true) > 0)
    answer_watch (w);
  g_string_free (out, TRUE);
}

static void
list_objects (struct evhttp_request *r, const char *kind)
{
  GString *out = g_string_new ("{\"items\":[");

  if (append_changed (out, kind, 0, false) > 0 && foreign_entry != NULL
      && strcmp (kind, DAEMONS_KIND) == 0)
    g_string_append_printf (out, ",%s", foreign_entry);
  g_string_append_printf (out, "],\"hasMore\":false,\"atRev\":%" PRIu64 "}",
                          revision);
  reply (r, 200, out->str);
  g_string_free (out, TRUE);
}

/* Applies a write, whose condition is that the object does not exist (POST) or
   has the revision in the metadata, if there is one (PUT).  Returns the status
   and sets the revision of the object.  */
static int
apply_write (const char *kind, const char *name, JsonObject *o,
             uint64_t *written)
{
  JsonObject *meta = json_object_get_object_member (o, "metadata");
  bool create = name == NULL;
  gint64 expected = 0;
  struct object *old;

  if (create)
    name = json_object_get_string_member (meta, "name");
  else if (meta != NULL && json_object_has_member (meta, "revision"))
    expected = json_object_get_int_member (meta, "revision");
  old = find_object (kind, name);
  if (old == NULL && !create)
    return 404;
  if (old != NULL
      && (create || (expected > 0 && (uint64_t)expected != old->revision)))
    return 409;
  *written = put_object (kind, name, json_object_get_member (o, "spec"));
  return create ? 201 : 200;
}

static void
write_object (struct evhttp_request *r, const char *kind, const char *name)
{
  char *body = read_body (r);
  JsonNode *root = json_from_string (body, NULL);
  uint64_t written = 0;
  int status = 400;
  char *answer;

  if (root != NULL)
    status = apply_write (kind, name, json_node_get_object (root), &written);
  answer
      = g_strdup_printf ("{\"metadata\":{\"revision\":%" PRIu64 "}}", written);
  reply (r, status, answer);
  g_free (answer);
  if (root != NULL)
    json_node_unref (root);
  g_free (body);
}

static void
answer_objects (struct evhttp_request *r, const char *path, const char *query)
{
  char **parts = g_strsplit (path, "/", 2);
  bool is_get = evhttp_request_get_command (r) == EVHTTP_REQ_GET;

  if (is_get && strstr (query, "watch=") != NULL)
    start_watch (r, parts[0], query);
  else if (is_get)
    list_objects (r, parts[0]);
  else
    write_object (r, parts[0], parts[1]);
  g_strfreev (parts);
}

static void
on_store_delay_over (evutil_socket_t fd, short what, void *data)
{
  struct evhttp_request *r = data;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (r);
  const char *query = evhttp_uri_get_query (uri);

  answer_objects (r, evhttp_uri_get_path (uri) + strlen (OBJECTS_PATH),
                  query != NULL ? query : "");
}

/* Applies a write and closes the connection without an answer.  */
static void
write_without_answer (struct evhttp_request *r, const char *path)
{
  char **parts = g_strsplit (path, "/", 2);
  char *body = read_body (r);
  JsonNode *root = json_from_string (body, NULL);
  uint64_t written;

  if (root != NULL)
    apply_write (parts[0], parts[1], json_node_get_object (root), &written);
  if (root != NULL)
    json_node_unref (root);
  g_free (body);
  g_strfreev (parts);
  evhttp_connection_free (evhttp_request_get_connection (r));
}

static void
handle_objects (struct evhttp_request *r, const char *path, const char *query)
{
  struct timeval wait
      = { STORE_DELAY_US / CLOCK_US_PER_S, STORE_DELAY_US % CLOCK_US_PER_S };

  if (store_mode == STORE_DOWN)
    reply (r, 503, "{}");
  else if (store_mode == STORE_SLOW)
    event_base_once (base, -1, EV_TIMEOUT, on_store_delay_over, r, &wait);
  else if (store_mode == STORE_ANSWERS_LOST
           && evhttp_request_get_command (r) != EVHTTP_REQ_GET)
    write_without_answer (r, path);
  else
    answer_objects (r, path, query);
}

/* Internal functions: backend servers */

/* An open report that an instance drains or leaves.  It is logged when the
   daemon acknowledges it.  */
struct leave_report
{
  struct backend *backend;
  char instance[32];
};

static void
on_report_done (void *data, const struct http_client_answer *answer)
{
  struct leave_report *report = data;

  if (report == NULL)
    return;
  if (answer->result == HTTP_CLIENT_ANSWERED && answer->status / 100 == 2)
    {
      report->backend->confirmed++;
      log_leave (report->instance);
    }
  g_free (report);
}

static void
send_numbered_report (struct backend *b, const char *call, const char *state,
                      uint64_t sequence)
{
  struct http_head_field header
      = { STR_LIT ("Content-Type"), STR_LIT ("application/json") };
  char *target = g_strdup_printf ("/almondvale/instances/%s/%s", b->id, call);
  char *body = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
      "\"coldRemaining\":\"0ms\",\"seq\":%" PRIu64 ",\"born\":%" PRId64 "}",
      b->service, b->port, SLOTS, state, sequence, b->born_ms);
  struct http_client_request q = { .method = "POST",
                                   .target = str_from_cstr (target),
                                   .headers_len = 1,
                                   .headers = &header,
                                   .body = str_from_cstr (body),
                                   .timeout_us = HEARTBEAT_INTERVAL_US,
                                   .done = on_report_done };
  struct leave_report *report = NULL;

  if (strcmp (state, "draining") == 0)
    {
      report = g_new (struct leave_report, 1);
      report->backend = b;
      g_strlcpy (report->instance, b->id, sizeof report->instance);
      q.data = report;
    }
  if (http_client_send (b->daemon, &q) == NULL)
    g_free (report);
  g_free (target);
  g_free (body);
}

static void
send_report (struct backend *b, const char *call, const char *state)
{
  send_numbered_report (b, call, state, ++b->sequence);
}

static void
on_heartbeat (evutil_socket_t fd, short what, void *data)
{
  struct backend *b = data;

  if (!b->deregistered)
    send_report (b, "heartbeat", b->draining ? "draining" : "ready");
}

static const char *
get_header (struct evhttp_request *r, const char *name)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (r), name);

  return value != NULL ? value : "-";
}

static void
log_run (struct evhttp_request *r, const struct backend *b)
{
  if (run_log == NULL)
    return;
  fprintf (run_log, "run %" PRId64 " %s %s %s %s %s %s\n",
           clock_now_us () / CLOCK_US_PER_MS,
           get_header (r, "X-Almondvale-Attempt-Id"),
           evhttp_request_get_uri (r), get_header (r, "X-Almondvale-Tenant"),
           get_header (r, "X-Almondvale-Caller-Service"), b->id,
           get_header (r, "Authorization"));
  fflush (run_log);
}

static void
answer_request (struct evhttp_request *r, const struct backend *b)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (r);
  const char *target = evhttp_request_get_uri (r);
  char *body = g_strdup_printf (
      "service=%s target=%s tenant=%s caller=%s instance=%s key=%s\n",
      b->service, target, get_header (r, "X-Almondvale-Tenant"),
      get_header (r, "X-Almondvale-Caller-Service"),
      get_header (r, "X-Almondvale-Expected-Instance"),
      get_header (r, "Authorization"));

  evhttp_add_header (headers, "X-Almondvale-Attempt-Id",
                     strstr (target, "foreign") != NULL
                         ? "another"
                         : get_header (r, "X-Almondvale-Attempt-Id"));
  if (strstr (target, "unsigned") == NULL)
    evhttp_add_header (headers, "X-Almondvale-Response-Signature", "5e.1");
  reply (r, 200, body);
  g_free (body);
}

struct delayed_answer
{
  struct evhttp_request *request;
  struct backend *backend;
};

static void
on_delayed_answer (evutil_socket_t fd, short what, void *data)
{
  struct delayed_answer *s = data;

  answer_request (s->request, s->backend);
  g_free (s);
}

/* A request that is never answered.  evhttp does not read while a request is
   open, so a separate event detects that the connection was closed.  */
struct hanging_request
{
  struct evhttp_request *request;
  struct backend *backend;
  struct event *closed;
};

static void
on_hanging_request_closed (evutil_socket_t fd, short what, void *data)
{
  struct hanging_request *h = data;

  h->backend->cancelled++;
  event_free (h->closed);
  evhttp_connection_free (evhttp_request_get_connection (h->request));
  g_free (h);
}

static void
start_hanging_request (struct evhttp_request *r, struct backend *b)
{
  struct hanging_request *h = g_new (struct hanging_request, 1);
  evutil_socket_t fd = bufferevent_getfd (
      evhttp_connection_get_bufferevent (evhttp_request_get_connection (r)));

  *h = (struct hanging_request){ .request = r, .backend = b };
  h->closed = event_new (base, fd, EV_CLOSED, on_hanging_request_closed, h);
  event_add (h->closed, NULL);
}

/* Answers that the request was not run, and remembers the answer if it is to be
   repeated.  */
static void
refuse_request (struct evhttp_request *r)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (r);
  const char *target = evhttp_request_get_uri (r);
  const char *id = get_header (r, "X-Almondvale-Attempt-Id");

  evhttp_add_header (headers, "X-Almondvale-Attempt-Id", id);
  evhttp_add_header (headers, "X-Almondvale-Not-Executed", "1");
  if (strstr (target, "again") != NULL)
    {
      refused_connection = evhttp_request_get_connection (r);
      g_free (refusal);
      refusal = refusal_make_copy (target, id);
    }
  reply (r, 503, "{}");
}

static void
repeat_refusal (struct evhttp_request *r)
{
  struct evhttp_connection *c = evhttp_request_get_connection (r);

  if (c != refused_connection)
    return;
  refused_connection = NULL;
  repeated_refusals++;
  bufferevent_write (evhttp_connection_get_bufferevent (c), refusal,
                     strlen (refusal));
}

/* Sends the beginning of an answer, without the end of its head, and closes
   the connection.  */
static void
cut_answer (struct evhttp_request *r)
{
  struct evhttp_connection *c = evhttp_request_get_connection (r);
  char *head
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Almondvale-Attempt-Id: %s\r\n"
                         "X-Almondvale-Response-Signature: 5e.1\r\n",
                         get_header (r, "X-Almondvale-Attempt-Id"));

  send (bufferevent_getfd (evhttp_connection_get_bufferevent (c)), head,
        strlen (head), MSG_NOSIGNAL);
  g_free (head);
  evhttp_connection_free (c);
}

static void
on_request (struct evhttp_request *r, void *data)
{
  struct backend *b = data;
  const char *target = evhttp_request_get_uri (r);
  struct timeval wait
      = { SLOW_ANSWER_US / CLOCK_US_PER_S, SLOW_ANSWER_US % CLOCK_US_PER_S };
  const char *expected = get_header (r, "X-Almondvale-Expected-Instance");

  if (strcmp (expected, "-") != 0 && strcmp (expected, b->id) != 0)
    {
      reply (r, 421, "{}");
      return;
    }
  repeat_refusal (r);
  if (refusal_is_due (target))
    {
      refuse_request (r);
      return;
    }
  b->executions++;
  log_run (r, b);
  if (strstr (target, "lost") != NULL)
    {
      evhttp_connection_free (evhttp_request_get_connection (r));
      return;
    }
  if (strstr (target, "cut") != NULL)
    {
      cut_answer (r);
      return;
    }
  if (strstr (target, "slow") != NULL)
    {
      struct delayed_answer *s = g_new (struct delayed_answer, 1);

      *s = (struct delayed_answer){ r, b };
      event_base_once (base, -1, EV_TIMEOUT, on_delayed_answer, s, &wait);
      return;
    }
  if (strstr (target, "hang") != NULL)
    {
      start_hanging_request (r, b);
      return;
    }
  answer_request (r, b);
}

/* Internal functions: commands of tests */

static struct backend *
find_backend (const char *body)
{
  int i = atoi (body);

  return i >= 0 && i < backends_len ? &backends[i] : &backends[0];
}

/* Replies with the member at `offset` of each backend server.  */
static void
reply_counts (struct evhttp_request *r, size_t offset)
{
  GString *out = g_string_new ("[");

  for (int i = 0; i < backends_len; i++)
    g_string_append_printf (
        out, "%s%d", i > 0 ? "," : "",
        *(const int *)((const char *)&backends[i] + offset));
  g_string_append (out, "]");
  reply (r, 200, out->str);
  g_string_free (out, TRUE);
}

static void
set_store_mode (const char *mode)
{
  static const char *const modes[] = { "up", "down", "slow", "lost" };

  for (size_t i = 0; i < G_N_ELEMENTS (modes); i++)
    if (strcmp (mode, modes[i]) == 0)
      store_mode = (enum store_mode)i;
  if (strcmp (mode, "forget") == 0)
    oldest_watch_revision = ++revision;
}

/* Restarts a backend server with a new id at the same address.  */
static void
restart_backend (struct backend *b)
{
  g_snprintf (b->id, sizeof b->id, "i-%d-%d", (int)(b - backends),
              ++b->restarts);
  b->born_ms = clock_wall_ms ();
  b->sequence = 0;
  b->draining = false;
  b->deregistered = false;
  on_heartbeat (-1, 0, b);
}

static void
handle_test_command (struct evhttp_request *r, const char *path)
{
  static const struct
  {
    const char *path;
    size_t offset;
  } counts[] = { { "executions", offsetof (struct backend, executions) },
                 { "cancelled", offsetof (struct backend, cancelled) },
                 { "confirmed", offsetof (struct backend, confirmed) } };
  char *body = read_body (r);
  JsonNode *root;

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    if (strcmp (path, counts[i].path) == 0)
      {
        reply_counts (r, counts[i].offset);
        g_free (body);
        return;
      }
  if (strcmp (path, "repeated") == 0)
    {
      char *count = g_strdup_printf ("%d", repeated_refusals);

      reply (r, 200, count);
      g_free (count);
      g_free (body);
      return;
    }
  if (strcmp (path, "config") == 0)
    {
      root = json_from_string (body, NULL);
      put_object ("config", "main", root);
      json_node_unref (root);
    }
  else if (strcmp (path, "store") == 0)
    set_store_mode (body);
  else if (strcmp (path, "entry") == 0)
    {
      g_free (foreign_entry);
      foreign_entry = *body != '\0' ? g_strdup (body) : NULL;
    }
  else if (strcmp (path, "drain") == 0)
    {
      find_backend (body)->draining = true;
      on_heartbeat (-1, 0, find_backend (body));
    }
  else if (strcmp (path, "leave") == 0)
    {
      send_report (find_backend (body), "deregister", "draining");
      find_backend (body)->deregistered = true;
    }
  else if (strcmp (path, "late") == 0)
    send_numbered_report (find_backend (body), "heartbeat", "ready", 1);
  else if (strcmp (path, "return") == 0)
    restart_backend (find_backend (body));
  reply (r, 200, "{}");
  g_free (body);
}

static void
on_store_request (struct evhttp_request *r, void *data)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (r);
  const char *path = evhttp_uri_get_path (uri);
  const char *query = evhttp_uri_get_query (uri);

  if (g_str_has_prefix (path, OBJECTS_PATH))
    handle_objects (r, path + strlen (OBJECTS_PATH),
                    query != NULL ? query : "");
  else if (g_str_has_prefix (path, "/standin/"))
    handle_test_command (r, path + strlen ("/standin/"));
  else
    reply (r, 404, "{}");
}

/* Internal functions: startup */

static bool
listen_on (uint16_t port, void (*handle) (struct evhttp_request *, void *),
           void *data)
{
  struct evhttp *http = evhttp_new (base);

  evhttp_set_gencb (http, handle, data);
  return evhttp_bind_socket (http, "127.0.0.1", port) == 0;
}

static bool
add_backend (const char *text)
{
  char **parts = g_strsplit (text, ",", 3);
  struct backend *b = &backends[backends_len];
  struct timeval heartbeat_interval = { 0, HEARTBEAT_INTERVAL_US };
  bool ok = g_strv_length (parts) == 3 && backends_len < BACKENDS_MAX;

  if (ok)
    {
      b->port = (uint16_t)atoi (parts[0]);
      b->service = g_strdup (parts[2]);
      b->born_ms = clock_wall_ms ();
      g_snprintf (b->id, sizeof b->id, "i-%d", backends_len);
      b->daemon = http_client_load_pool (base, STR_LIT ("127.0.0.1"),
                                         (uint16_t)atoi (parts[1]), 2, 4096);
      b->timer = event_new (base, -1, EV_PERSIST, on_heartbeat, b);
      event_add (b->timer, &heartbeat_interval);
      ok = listen_on (b->port, on_request, b);
      backends_len++;
    }
  g_strfreev (parts);
  return ok;
}

/* Public functions */

int
main (int argc, char **argv)
{
  gint store = 0;
  char *config = NULL;
  char *run_log_path = NULL;
  char **backend_args = NULL;
  char *text;
  JsonNode *root;
  GOptionEntry entries[]
      = { { "store", 0, 0, G_OPTION_ARG_INT, &store,
            "Port of the metadata store", "PORT" },
          { "config", 0, 0, G_OPTION_ARG_FILENAME, &config,
            "Initial configuration", "FILE" },
          { "runs", 0, 0, G_OPTION_ARG_FILENAME, &run_log_path,
            "Log of the requests that are run and of the drains", "FILE" },
          { "backend", 0, 0, G_OPTION_ARG_STRING_ARRAY, &backend_args,
            "Backend server", "PORT,CONTROL-PORT,SERVICE" },
          { 0 } };
  GOptionContext *context = g_option_context_new (NULL);

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || config == NULL
      || !g_file_get_contents (config, &text, NULL, NULL))
    return EXIT_FAILURE;
  if (run_log_path != NULL)
    run_log = fopen (run_log_path, "w");
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  table_init (&objects, sizeof (struct object));
  table_init (&watches, sizeof (struct watch));
  root = json_from_string (text, NULL);
  put_object ("config", "main", root);
  for (char **b = backend_args; b != NULL && *b != NULL; b++)
    if (!add_backend (*b))
      return EXIT_FAILURE;
  if (!listen_on ((uint16_t)store, on_store_request, NULL))
    return EXIT_FAILURE;
  return event_base_dispatch (base);
}
