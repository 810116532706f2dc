/* platform: a stand-in for the platform's object API, a store of versioned
   objects that daemons read, write and watch.

   One thread serves all requests.  Requests are rows of a table; the systems
   serve those whose delay has passed and answer the watches that have changes.
   docs/platform-api.md describes the protocol.  */

#include "clock.h"
#include "err.h"
#include "http_server.h"
#include "json_check.h"
#include "loop.h"
#include "object_store.h"
#include "table.h"

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

/* Constants */

#define TICK_US INT64_C (5000)
#define CONNECTIONS_MAX 4096
#define HEADERS_MAX_BYTES 16384
#define IDLE_TIMEOUT_S 600
#define WATCH_MAX_MS 60000
#define DELAY_MAX_MS 60000
#define RETRY_AFTER "1"
#define OBJECTS_PATH "/v1/objects"
#define WATCH_PATH "/v1/watch"
#define FAULTS_PATH "/v1/admin/faults"
#define COUNTERS_PATH "/v1/admin/counters"

/* Types */

enum outage
{
  OUTAGE_NONE,
  OUTAGE_REFUSE, /* answers 503 and does not apply the request */
  OUTAGE_HANG    /* does not answer and does not apply the request */
};

static const char *const outage_names[] = { "none", "refuse", "hang" };

enum operation
{
  OPERATION_GET,
  OPERATION_PUT,
  OPERATION_DELETE,
  OPERATION_LIST,
  OPERATION_WATCH,
  OPERATION_ADMIN,
  OPERATION_UNKNOWN
};

enum call_state
{
  CALL_DELAYED, /* until due_us */
  CALL_WATCHING,
  CALL_HANGING /* not answered because of OUTAGE_HANG */
};

struct call
{
  struct http_server_exchange *exchange; /* NULL if answered or closed */
  enum call_state state;
  enum operation operation;
  int64_t due_us;   /* start of a delayed call, end of a watch */
  int64_t wait_us;  /* longest wait of a watch for a change */
  struct str key;   /* key or prefix; path of OPERATION_ADMIN */
  struct str after; /* a list contains only keys after this one */
  bool values;      /* whether a list or watch contains values */
  uint64_t version; /* If-Match; in a watch, only later versions are listed */
  uint64_t checked_version; /* platform version at the last check of a watch */
  enum object_store_condition condition;
  bool valid; /* key, conditions and parameters are well formed */
  struct str body;
};

struct object
{
  struct str key;
  struct str value;
  uint64_t version;
  bool deleted; /* kept, so that watches report the removal */
};

struct counters
{
  uint64_t operations[OPERATION_UNKNOWN + 1];
  uint64_t refused;   /* by OUTAGE_REFUSE */
  uint64_t hanging;   /* because of OUTAGE_HANG */
  uint64_t dropped;   /* writes without an answer */
  uint64_t conflicts; /* writes whose condition failed */
};

struct platform
{
  struct loop loop;
  struct http_server *httpd;
  struct table calls;
  GTree *objects;   /* struct object by its key */
  uint64_t version; /* version of the last write */
  enum outage outage;
  int64_t delay_ms;
  int64_t drop_answers; /* number of further writes that get no answer */
  struct counters counters;
};

/* Internal functions: objects */

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return str_compare (*(const struct str *)a, *(const struct str *)b);
}

static void
free_object (gpointer data)
{
  struct object *o = data;

  str_free (&o->key);
  str_free (&o->value);
  g_free (o);
}

static struct object *
find_object (struct platform *p, struct str key)
{
  struct object *o = g_tree_lookup (p->objects, &key);

  return o != NULL && !o->deleted ? o : NULL;
}

static void
set_object (struct platform *p, struct str key, struct str value, bool deleted)
{
  struct object *o = g_tree_lookup (p->objects, &key);

  if (o == NULL)
    {
      o = g_new0 (struct object, 1);
      o->key = str_copy (key);
      o->value = STR_EMPTY;
      g_tree_insert (p->objects, &o->key, o);
    }
  str_free (&o->value);
  o->value = deleted ? STR_EMPTY : str_copy (value);
  o->deleted = deleted;
  o->version = ++p->version;
}

/* Returns whether a text is a valid key or key prefix; it can be empty.  */
static bool
is_key (struct str key)
{
  if (key.len > OBJECT_STORE_KEY_MAX_BYTES)
    return false;
  for (size_t i = 0; i < key.len; i++)
    if (!g_ascii_islower (key.data[i]) && !g_ascii_isdigit (key.data[i])
        && key.data[i] != '-' && key.data[i] != '.' && key.data[i] != '_'
        && key.data[i] != '/')
      return false;
  return true;
}

/* Internal functions: requests */

static enum operation
find_operation (struct str method, struct str path)
{
  if (str_equal (path, STR_LIT (FAULTS_PATH))
      || str_equal (path, STR_LIT (COUNTERS_PATH)))
    return OPERATION_ADMIN;
  if (str_equal (path, STR_LIT (WATCH_PATH))
      && str_equal (method, STR_LIT ("GET")))
    return OPERATION_WATCH;
  if (str_equal (path, STR_LIT (OBJECTS_PATH))
      && str_equal (method, STR_LIT ("GET")))
    return OPERATION_LIST;
  if (!str_has_prefix (path, STR_LIT (OBJECTS_PATH "/")))
    return OPERATION_UNKNOWN;
  if (str_equal (method, STR_LIT ("GET")))
    return OPERATION_GET;
  if (str_equal (method, STR_LIT ("PUT")))
    return OPERATION_PUT;
  if (str_equal (method, STR_LIT ("DELETE")))
    return OPERATION_DELETE;
  return OPERATION_UNKNOWN;
}

static bool
parse_parameters (struct call *c, struct str query)
{
  char *text = str_dup_cstr (query);
  struct evkeyvalq parameters = { 0 };
  struct evkeyval *kv;
  uint64_t wait_ms = 0;
  bool valid = evhttp_parse_query_str (text, &parameters) == 0;

  for (kv = parameters.tqh_first; valid && kv != NULL; kv = kv->next.tqe_next)
    {
      struct str value = str_from_cstr (kv->value);

      if (strcmp (kv->key, "prefix") == 0)
        c->key = str_copy (value);
      else if (strcmp (kv->key, "after") == 0)
        c->after = str_copy (value);
      else if (strcmp (kv->key, "values") == 0)
        c->values = str_equal (value, STR_LIT ("true"));
      else if (strcmp (kv->key, "version") == 0)
        valid = str_parse_u64 (value, &c->version);
      else if (strcmp (kv->key, "wait_ms") == 0)
        valid = str_parse_u64 (value, &wait_ms) && wait_ms <= WATCH_MAX_MS;
      else
        valid = false;
    }
  evhttp_clear_headers (&parameters);
  g_free (text);
  c->wait_us = (int64_t)wait_ms * CLOCK_US_PER_MS;
  return valid && is_key (c->key) && is_key (c->after);
}

/* Parses the version in an entity tag such as "17".  */
static bool
parse_etag (struct str etag, uint64_t *version)
{
  return etag.len > 2 && etag.data[0] == '"' && etag.data[etag.len - 1] == '"'
         && str_parse_u64 (str_slice (etag, 1, etag.len - 1), version);
}

static bool
parse_conditions (struct call *c, const struct http_server_exchange *x)
{
  struct str match = http_server_get_header (x, STR_LIT ("If-Match"));
  struct str none = http_server_get_header (x, STR_LIT ("If-None-Match"));

  if (match.len > 0 && none.len > 0)
    return false;
  if (match.len > 0)
    {
      c->condition = OBJECT_STORE_IF_VERSION;
      return parse_etag (match, &c->version);
    }
  if (none.len > 0)
    {
      c->condition = OBJECT_STORE_IF_ABSENT;
      return c->operation == OPERATION_PUT && str_equal (none, STR_LIT ("*"));
    }
  return true;
}

static void
parse_call (struct call *c, struct http_server_exchange *x)
{
  const char *query_mark = memchr (x->target.data, '?', x->target.len);
  size_t end = query_mark != NULL ? (size_t)(query_mark - x->target.data)
                                  : x->target.len;
  struct str path = str_slice (x->target, 0, end);
  struct str query = str_slice (x->target, end + 1, x->target.len);

  c->key = STR_EMPTY;
  c->after = STR_EMPTY;
  c->operation = find_operation (x->method, path);
  switch (c->operation)
    {
    case OPERATION_LIST:
    case OPERATION_WATCH:
      c->valid = parse_parameters (c, query);
      break;
    case OPERATION_ADMIN:
      c->key = str_copy (path);
      c->valid = true;
      break;
    default:
      c->key = str_copy (str_slice (path, sizeof OBJECTS_PATH, path.len));
      c->valid = is_key (c->key) && c->key.len > 0 && parse_conditions (c, x);
    }
}

static void
remove_call (struct platform *p, uint64_t id)
{
  struct call *c = table_get (&p->calls, id);

  if (c == NULL)
    return;
  str_free (&c->key);
  str_free (&c->after);
  str_free (&c->body);
  table_remove (&p->calls, id);
}

/* Internal functions: answers */

static void
answer (struct call *c, int status, uint64_t version, const char *type,
        struct str body)
{
  char *etag = g_strdup_printf ("\"%" PRIu64 "\"", version);
  struct wire_header headers[]
      = { { STR_LIT ("Content-Type"), str_from_cstr (type) },
          { STR_LIT ("ETag"), str_from_cstr (etag) },
          { STR_LIT ("Retry-After"), STR_LIT (RETRY_AFTER) } };
  uint32_t len = status == 503 ? 3 : 2;

  if (c->exchange != NULL)
    http_server_answer (c->exchange, status, headers, len, body);
  c->exchange = NULL;
  g_free (etag);
}

static void
answer_error (struct call *c, int status, uint64_t version, const char *text)
{
  char *body = g_strdup_printf ("{\"error\": \"%s\"}\n", text);

  answer (c, status, version, "application/json", str_from_cstr (body));
  g_free (body);
}

static void
answer_json (struct call *c, uint64_t version, JsonBuilder *b)
{
  JsonNode *root = json_builder_get_root (b);
  char *text = json_to_string (root, FALSE);

  answer (c, 200, version, "application/json", str_from_cstr (text));
  g_free (text);
  json_node_unref (root);
}

static void
add_object (JsonBuilder *b, const struct object *o, bool values)
{
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "key");
  json_builder_add_string_value (b, o->key.data);
  json_builder_set_member_name (b, "version");
  json_builder_add_int_value (b, (gint64)o->version);
  json_builder_set_member_name (b, "deleted");
  json_builder_add_boolean_value (b, o->deleted);
  if (values)
    {
      char *text
          = g_base64_encode ((const guchar *)o->value.data, o->value.len);

      json_builder_set_member_name (b, "value");
      json_builder_add_string_value (b, text);
      g_free (text);
    }
  json_builder_end_object (b);
}

/* Returns whether the answer to a list or watch contains an object.  */
static bool
is_listed (const struct call *c, const struct object *o)
{
  if (c->operation == OPERATION_WATCH)
    return o->version > c->version;
  return !o->deleted && str_compare (o->key, c->after) > 0;
}

/* Answers with one page of objects.  The page contains at least one object if
   any is listed.  */
static void
answer_page (struct platform *p, struct call *c)
{
  JsonBuilder *b = json_builder_new ();
  GTreeNode *node = g_tree_lower_bound (p->objects, &c->key);
  size_t bytes = 0;
  uint32_t count = 0;
  struct str last = STR_EMPTY;
  bool more = false;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "objects");
  json_builder_begin_array (b);
  for (; node != NULL; node = g_tree_node_next (node))
    {
      const struct object *o = g_tree_node_value (node);

      if (!str_has_prefix (o->key, c->key))
        break;
      if (!is_listed (c, o))
        continue;
      bytes += c->values ? o->value.len : 0;
      more = count > 0
             && (count == OBJECT_STORE_PAGE_MAX
                 || bytes > OBJECT_STORE_VALUE_MAX_BYTES);
      if (more)
        break;
      add_object (b, o, c->values);
      last = o->key;
      count++;
    }
  json_builder_end_array (b);
  json_builder_set_member_name (b, "version");
  json_builder_add_int_value (b, (gint64)p->version);
  json_builder_set_member_name (b, "next");
  json_builder_add_string_value (b, more ? last.data : "");
  json_builder_end_object (b);
  answer_json (c, p->version, b);
  g_object_unref (b);
}

static bool
has_changes (struct platform *p, const struct call *c)
{
  GTreeNode *node = g_tree_lower_bound (p->objects, &c->key);

  for (; node != NULL; node = g_tree_node_next (node))
    {
      const struct object *o = g_tree_node_value (node);

      if (!str_has_prefix (o->key, c->key))
        return false;
      if (o->version > c->version)
        return true;
    }
  return false;
}

/* Internal functions: writes */

/* Applies a put or delete and returns the HTTP status.  Sets *version to the
   version of the object.  */
static int
apply_write (struct platform *p, struct call *c, uint64_t *version)
{
  struct object *o = find_object (p, c->key);
  uint64_t current = o != NULL ? o->version : 0;

  *version = current;
  if (c->operation == OPERATION_DELETE && o == NULL)
    return 404;
  if ((c->condition == OBJECT_STORE_IF_ABSENT && o != NULL)
      || (c->condition == OBJECT_STORE_IF_VERSION && current != c->version))
    {
      p->counters.conflicts++;
      return 412;
    }
  set_object (p, c->key, c->body, c->operation == OPERATION_DELETE);
  *version = p->version;
  if (c->operation == OPERATION_DELETE)
    return 204;
  return o != NULL ? 200 : 201;
}

static void
serve_write (struct platform *p, struct call *c)
{
  uint64_t version;
  int status = apply_write (p, c, &version);

  if (p->drop_answers > 0)
    {
      p->drop_answers--;
      p->counters.dropped++;
      if (c->exchange != NULL)
        http_server_drop (c->exchange);
      c->exchange = NULL;
      return;
    }
  if (status == 404)
    answer_error (c, status, 0, "no such object");
  else if (status == 412)
    answer_error (c, status, version, "the condition failed");
  else
    answer (c, status, version, "application/json", STR_EMPTY);
}

/* Internal functions: administration */

static void
answer_faults (struct platform *p, struct call *c)
{
  char *text = g_strdup_printf ("{\"outage\": \"%s\", \"delay_ms\": %" PRId64
                                ", \"drop_answers\": %" PRId64 "}\n",
                                outage_names[p->outage], p->delay_ms,
                                p->drop_answers);

  answer (c, 200, p->version, "application/json", str_from_cstr (text));
  g_free (text);
}

static void
answer_counters (struct platform *p, struct call *c)
{
  const uint64_t *n = p->counters.operations;
  char *text = g_strdup_printf (
      "{\"get\": %" PRIu64 ", \"put\": %" PRIu64 ", \"delete\": %" PRIu64
      ", \"list\": %" PRIu64 ", \"watch\": %" PRIu64
      ", \"conflicts\": %" PRIu64 ", \"refused\": %" PRIu64
      ", \"held\": %" PRIu64 ", \"dropped\": %" PRIu64
      ", \"version\": %" PRIu64 "}\n",
      n[OPERATION_GET], n[OPERATION_PUT], n[OPERATION_DELETE],
      n[OPERATION_LIST], n[OPERATION_WATCH], p->counters.conflicts,
      p->counters.refused, p->counters.hanging, p->counters.dropped,
      p->version);

  answer (c, 200, p->version, "application/json", str_from_cstr (text));
  g_free (text);
}

static bool
get_number (JsonObject *object, const char *name, int64_t max, int64_t *value)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL)
    return true;
  if (json_node_get_value_type (node) != G_TYPE_INT64
      || json_node_get_int (node) < 0 || json_node_get_int (node) > max)
    return false;
  *value = json_node_get_int (node);
  return true;
}

static bool
get_outage (JsonObject *object, enum outage *outage)
{
  JsonNode *node = json_object_get_member (object, "outage");

  if (node == NULL)
    return true;
  if (json_node_get_value_type (node) != G_TYPE_STRING)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (outage_names); i++)
    if (g_strcmp0 (json_node_get_string (node), outage_names[i]) == 0)
      {
        *outage = (enum outage)i;
        return true;
      }
  return false;
}

static bool
set_faults (struct platform *p, struct str body)
{
  JsonNode *root = json_check_parse (body, NULL);
  int64_t delay_ms = p->delay_ms;
  int64_t drop_answers = p->drop_answers;
  enum outage outage = p->outage;
  bool valid = root != NULL && JSON_NODE_HOLDS_OBJECT (root);

  if (valid)
    {
      JsonObject *object = json_node_get_object (root);

      valid = get_number (object, "delay_ms", DELAY_MAX_MS, &delay_ms)
              && get_number (object, "drop_answers", INT32_MAX, &drop_answers)
              && get_outage (object, &outage);
    }
  if (valid)
    {
      p->delay_ms = delay_ms;
      p->drop_answers = drop_answers;
      p->outage = outage;
    }
  if (root != NULL)
    json_node_unref (root);
  return valid;
}

static void
serve_admin (struct platform *p, struct call *c)
{
  if (str_equal (c->key, STR_LIT (COUNTERS_PATH)))
    answer_counters (p, c);
  else if (str_equal (c->exchange->method, STR_LIT ("PUT"))
           && !set_faults (p, c->body))
    answer_error (c, 400, p->version,
                  "expected outage, delay_ms and drop_answers");
  else
    answer_faults (p, c);
}

/* Internal functions: systems */

static void
serve_get (struct platform *p, struct call *c)
{
  struct object *o = find_object (p, c->key);

  if (o == NULL)
    answer_error (c, 404, 0, "no such object");
  else
    answer (c, 200, o->version, "application/octet-stream", o->value);
}

static void
serve_call (struct platform *p, struct call *c, int64_t now_us)
{
  if (!c->valid)
    {
      answer_error (c, 400, p->version, "malformed request");
      return;
    }
  switch (c->operation)
    {
    case OPERATION_GET:
      serve_get (p, c);
      return;
    case OPERATION_PUT:
    case OPERATION_DELETE:
      serve_write (p, c);
      return;
    case OPERATION_LIST:
      answer_page (p, c);
      return;
    case OPERATION_WATCH:
      c->state = CALL_WATCHING;
      c->due_us = now_us + c->wait_us;
      return;
    default:
      answer_error (c, 404, p->version, "no such path or method");
    }
}

/* Serves the calls whose delay has passed, and closes the connections of
   hanging calls after the outage.  */
static void
run_due_calls (void *owner, int64_t now_us)
{
  struct platform *p = owner;
  struct call *c;

  for (uint64_t id = table_next (&p->calls, 0, (void **)&c); id != 0;
       id = table_next (&p->calls, id, (void **)&c))
    {
      if (c->state == CALL_HANGING && p->outage != OUTAGE_HANG)
        {
          http_server_drop (c->exchange);
          remove_call (p, id);
        }
      else if (c->state == CALL_DELAYED && c->due_us <= now_us)
        {
          serve_call (p, c, now_us);
          if (c->state != CALL_WATCHING)
            remove_call (p, id);
        }
    }
}

/* Answers the watches that have changes or whose wait time has passed.  */
static void
run_watches (void *owner, int64_t now_us)
{
  struct platform *p = owner;
  struct call *c;

  for (uint64_t id = table_next (&p->calls, 0, (void **)&c); id != 0;
       id = table_next (&p->calls, id, (void **)&c))
    {
      bool changed;

      if (c->state != CALL_WATCHING)
        continue;
      changed = c->checked_version != p->version && has_changes (p, c);
      c->checked_version = p->version;
      if (!changed && c->due_us > now_us)
        continue;
      answer_page (p, c);
      remove_call (p, id);
    }
}

/* Makes the loop tick only while there are calls, so that it does not wake up
   when idle.  */
static void
run_timers (void *owner, int64_t now_us)
{
  struct platform *p = owner;

  loop_set_tick (&p->loop, p->calls.count > 0 ? TICK_US : 0);
}

static const struct system systems[] = { { "due calls", run_due_calls },
                                         { "watches", run_watches },
                                         { "timers", run_timers } };

/* Internal functions: callbacks */

static void
refuse_call (struct platform *p, struct call *c)
{
  p->counters.refused++;
  answer_error (c, 503, p->version, "outage; not applied");
}

static void
on_request (void *owner, struct http_server_exchange *x)
{
  struct platform *p = owner;
  struct call *c;
  uint64_t id = table_add (&p->calls, (void **)&c);

  x->call = id;
  c->exchange = x;
  parse_call (c, x);
  c->body = str_copy (str_view (&x->body));
  p->counters.operations[c->operation]++;
  if (c->operation == OPERATION_ADMIN)
    serve_admin (p, c);
  else if (x->body_too_large)
    answer_error (c, 413, 0, "a value has at most 1048576 bytes");
  else if (p->outage == OUTAGE_REFUSE)
    refuse_call (p, c);
  else if (p->outage == OUTAGE_HANG)
    {
      p->counters.hanging++;
      c->state = CALL_HANGING;
      return;
    }
  else
    {
      c->state = CALL_DELAYED;
      c->due_us = clock_now_us () + p->delay_ms * CLOCK_US_PER_MS;
      return;
    }
  remove_call (p, id);
}

/* Handles a closed connection.  A write whose client has closed the connection
   is still applied, as a real platform does.  */
static void
on_client_closed (void *owner, struct http_server_exchange *x)
{
  struct platform *p = owner;
  struct call *c = table_get (&p->calls, x->call);

  if (c == NULL)
    return;
  c->exchange = NULL;
  if (c->state != CALL_DELAYED
      || (c->operation != OPERATION_PUT && c->operation != OPERATION_DELETE))
    remove_call (p, x->call);
}

static const struct http_server_ops http_ops
    = { on_request, on_client_closed };

static void
on_signal (evutil_socket_t fd, short what, void *data)
{
  struct platform *p = data;

  loop_stop (&p->loop);
}

/* Closes the connections of all open calls.  */
static void
drop_calls (struct platform *p)
{
  struct call *c;

  for (uint64_t id = table_next (&p->calls, 0, (void **)&c); id != 0;
       id = table_next (&p->calls, id, (void **)&c))
    {
      if (c->exchange != NULL)
        http_server_drop (c->exchange);
      remove_call (p, id);
    }
}

static bool
parse_options (int argc, char **argv, char **address, int *port)
{
  GOptionEntry entries[]
      = { { "address", 0, 0, G_OPTION_ARG_STRING, address,
            "IP address to listen on (default 127.0.0.1)", "ADDRESS" },
          { "port", 0, 0, G_OPTION_ARG_INT, port, "TCP port (default 7700)",
            "PORT" },
          { 0 } };
  GOptionContext *context
      = g_option_context_new ("- stand-in for the platform's object API");
  GError *error = NULL;
  bool valid;

  g_option_context_add_main_entries (context, entries, NULL);
  valid = g_option_context_parse (context, &argc, &argv, &error);
  if (!valid)
    {
      fprintf (stderr, "platform: %s\n", error->message);
      g_error_free (error);
    }
  else if (*port < 1 || *port > 65535)
    {
      fprintf (stderr, "platform: --port: found %d, allowed: 1..65535\n",
               *port);
      valid = false;
    }
  g_option_context_free (context);
  return valid;
}

static bool
init_platform (struct platform *p, const char *address, uint16_t port)
{
  struct http_server_limits limits
      = { .headers_bytes = HEADERS_MAX_BYTES,
          .body_bytes = OBJECT_STORE_VALUE_MAX_BYTES,
          .connections = CONNECTIONS_MAX,
          .idle_timeout_s = IDLE_TIMEOUT_S };

  table_init (&p->calls, sizeof (struct call));
  p->objects = g_tree_new_full (compare_keys, NULL, NULL, free_object);
  if (!loop_init (&p->loop, systems, G_N_ELEMENTS (systems), p))
    return false;
  p->httpd = http_server_load (p->loop.base, str_from_cstr (address), port,
                               &limits, &http_ops, p, 0);
  return p->httpd != NULL;
}

int
main (int argc, char **argv)
{
  struct platform p = { 0 };
  struct event *term, *interrupt;
  char *address = NULL;
  int port = 7700;

  if (!parse_options (argc, argv, &address, &port))
    return EXIT_FAILURE;
  if (address == NULL)
    address = g_strdup ("127.0.0.1");
  signal (SIGPIPE, SIG_IGN);
  if (!init_platform (&p, address, (uint16_t)port))
    {
      fprintf (stderr, "platform: cannot listen on %s:%d\n", address, port);
      return EXIT_FAILURE;
    }
  term = evsignal_new (p.loop.base, SIGTERM, on_signal, &p);
  interrupt = evsignal_new (p.loop.base, SIGINT, on_signal, &p);
  event_add (term, NULL);
  event_add (interrupt, NULL);
  printf ("platform: listening on %s:%d\n", address, port);
  fflush (stdout);
  loop_run (&p.loop);
  drop_calls (&p);
  event_free (term);
  event_free (interrupt);
  http_server_unload (p.httpd);
  loop_close (&p.loop);
  table_close (&p.calls);
  g_tree_unref (p.objects);
  g_free (address);
  return EXIT_SUCCESS;
}
