/* machines: a stand-in for the users' platform in the tests of
   almondvaled-platform, that is, for its metadata store and for backend
   servers that report to their daemons.

   usage: machines --store=PORT --config=FILE [--runs=FILE] [--era=NUMBER]
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
     bad-N     run, but the answer is number N of malformed_heads below

   The file of --runs gets a line for each request that is run ("run MS ID
   TARGET TENANT CALLER INSTANCE KEY") and for each drain or leave that a
   daemon has acknowledged ("left MS INSTANCE").  MS is the time of
   clock_now_us, which the daemons use too, in milliseconds.

   Tests control the program by requests to the store's port:

     PUT /standin/config      replaces the configuration
     PUT /standin/store       sets the mode of the store: "up", "down", "slow"
                              (answers after 1.5 s) or "lost" (applies writes
                              without an answer); "forget" deletes the history
                              so far: a watch from an earlier revision gets
                              410; "copy" keeps a copy of the objects and of
                              the revision, and "restore" returns to it: the
                              era, which all answers of the store have in
                              Store-Era from then on, is one higher;
                              "restore-open" does not cut off the open watches
     PUT /standin/drain       drains the backend server whose number, counted
                              from 0 in the order of --backend, is the body
     PUT /standin/leave       deregisters that backend server
     PUT /standin/return      restarts that backend server with a new id
     PUT /standin/late        sends the first report of that backend server's
                              instance ("ready") once more
     PUT /standin/cold        makes that backend server (body: "NUMBER MS") cold
                              for a time, as its next report says
     PUT /standin/mute        keeps that backend server (body: "NUMBER MS") from
                              sending reports for a time
     PUT /standin/evacuate    creates evacuations/ZONE; the body is the zone
     PUT /standin/reopen      removes that object
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
#include "hanging_request.h"
#include "http_client.h"
#include "machines_store.h"
#include "refusal.h"
#include "repeated_refusal.h"
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

/* Types */

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
  int64_t warm_us;   /* when it stops being cold */
  int64_t muted_us;  /* until then it sends no reports */
  bool draining;
  bool deregistered;
  int executions; /* requests that were run */
  int cancelled;  /* hanging requests whose connection was closed */
  int confirmed;  /* confirmed drains and leaves */
};

/* State */

static FILE *run_log;
static struct backend backends[BACKENDS_MAX];
static int backends_len;

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
      "\"coldRemaining\":\"%" PRId64 "ms\",\"seq\":%" PRIu64 ","
      "\"born\":%" PRId64 "}",
      b->service, b->port, SLOTS, state,
      MAX (b->warm_us - clock_now_us (), 0) / CLOCK_US_PER_MS, sequence,
      b->born_ms);
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

  if (!b->deregistered && clock_now_us () >= b->muted_us)
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

/* Heads of answers that RFC 9112 does not allow.  Each gets the id of the
   request and a signature in addition.  */
#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 2\r\n"
static const char *const malformed_heads[]
    = { "HTTP/1.1 000 OK\r\n" LENGTH,
        "HTTP/1.1 099 OK\r\n" LENGTH,
        "HTTP/1.1 999 OK\r\n" LENGTH,
        OK_HEAD LENGTH "X Odd: 1\r\n",
        OK_HEAD LENGTH "X\x01Odd: 1\r\n",
        OK_HEAD LENGTH "X-Odd: \x01\r\n",
        OK_HEAD "Transfer-Encoding : chunked\r\n",
        OK_HEAD LENGTH "Content-Length: 1\r\n",
        OK_HEAD LENGTH "Transfer-Encoding: chunked\r\n" };

/* Sends a malformed answer and leaves the connection open.  */
static void
send_malformed_answer (struct evhttp_request *r, unsigned number)
{
  struct evhttp_connection *c = evhttp_request_get_connection (r);
  char *answer = g_strdup_printf (
      "%sX-Almondvale-Attempt-Id: %s\r\n"
      "X-Almondvale-Response-Signature: 5e.1\r\n\r\nok",
      malformed_heads[number % G_N_ELEMENTS (malformed_heads)],
      get_header (r, "X-Almondvale-Attempt-Id"));

  send (bufferevent_getfd (evhttp_connection_get_bufferevent (c)), answer,
        strlen (answer), MSG_NOSIGNAL);
  g_free (answer);
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
  repeated_refusal_send (r);
  if (refusal_is_due (target))
    {
      repeated_refusal_answer (r);
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
  if (strstr (target, "bad-") != NULL)
    {
      send_malformed_answer (
          r, (unsigned)atoi (strstr (target, "bad-") + strlen ("bad-")));
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
      hanging_request_start (base, r, &b->cancelled);
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

/* Returns the time that is MS milliseconds from now in "NUMBER MS".  */
static int64_t
get_time (const char *body)
{
  const char *ms = strchr (body, ' ');

  return clock_now_us ()
         + (ms != NULL ? atoi (ms) : 0) * (int64_t)CLOCK_US_PER_MS;
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
      char *count = g_strdup_printf ("%d", repeated_refusal_count);

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
  else if (strcmp (path, "evacuate") == 0)
    {
      root = json_from_string ("{}", NULL);
      put_object ("evacuations", body, root);
      json_node_unref (root);
    }
  else if (strcmp (path, "reopen") == 0)
    remove_object ("evacuations", body);
  else if (strcmp (path, "cold") == 0)
    {
      find_backend (body)->warm_us = get_time (body);
      on_heartbeat (-1, 0, find_backend (body));
    }
  else if (strcmp (path, "mute") == 0)
    find_backend (body)->muted_us = get_time (body);
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
  gint64 first_era = 0;
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
          { "era", 0, 0, G_OPTION_ARG_INT64, &first_era,
            "Era at the start, sent in all answers unless it is 0", "NUMBER" },
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
  era = (uint64_t)first_era;
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
