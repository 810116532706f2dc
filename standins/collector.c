/* collector: a stand-in for an OTLP/HTTP trace collector.

   Accepts spans in JSON by POST /v1/traces and returns one trace as an
   indented text tree at GET /tree?trace=ID.  */

#include "str.h"
#include "table.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Constants */

#define DEPTH_MAX 64
#define INDENT 2 /* columns per level of the tree */
#define NS_PER_US 1000
#define NAME_WIDTH 60 /* columns of the indented span name */

/* Types */

struct span
{
  char *trace_id;
  char *id;
  char *parent_id; /* empty for a root span */
  char *name;
  char *member; /* id of the daemon that recorded the span */
  char *domain; /* failure domain of that daemon */
  char *service;
  char *route;
  char *error;
  char *status;
  int64_t start_us;
  int64_t duration_us;
};

struct collector
{
  struct event_base *base;
  struct table spans;
};

/* Internal functions: decoding */

/* Returns a text member of an object, or "".  */
static const char *
get_text (JsonObject *o, const char *name)
{
  JsonNode *node = json_object_get_member (o, name);

  if (node == NULL || !JSON_NODE_HOLDS_VALUE (node)
      || json_node_get_value_type (node) != G_TYPE_STRING)
    return "";
  return json_node_get_string (node);
}

/* Returns an array member of an object, or NULL.  */
static JsonArray *
get_array (JsonObject *o, const char *name)
{
  JsonNode *node = json_object_get_member (o, name);

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return NULL;
  return json_node_get_array (node);
}

/* Returns an object member of an object, or NULL.  */
static JsonObject *
get_object (JsonObject *o, const char *name)
{
  JsonNode *node = json_object_get_member (o, name);

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    return NULL;
  return json_node_get_object (node);
}

/* Returns the object at an index, or NULL.  */
static JsonObject *
get_item (JsonArray *array, guint i)
{
  JsonNode *node = json_array_get_element (array, i);

  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

static guint
get_array_length (JsonArray *array)
{
  return array != NULL ? json_array_get_length (array) : 0;
}

/* Returns the value of an attribute as text, or "".  */
static const char *
get_attribute (JsonObject *o, const char *key)
{
  JsonArray *attributes = get_array (o, "attributes");

  for (guint i = 0; i < get_array_length (attributes); i++)
    {
      JsonObject *item = get_item (attributes, i);
      JsonObject *value;

      if (item == NULL || strcmp (get_text (item, "key"), key) != 0
          || (value = get_object (item, "value")) == NULL)
        continue;
      if (json_object_has_member (value, "intValue"))
        return get_text (value, "intValue");
      return get_text (value, "stringValue");
    }
  return "";
}

static int64_t
get_time_us (JsonObject *o, const char *name)
{
  return g_ascii_strtoll (get_text (o, name), NULL, 10) / NS_PER_US;
}

static void
add_span (struct collector *c, JsonObject *resource, JsonObject *o)
{
  struct span *s;

  table_add (&c->spans, (void **)&s);
  s->trace_id = g_strdup (get_text (o, "traceId"));
  s->id = g_strdup (get_text (o, "spanId"));
  s->parent_id = g_strdup (get_text (o, "parentSpanId"));
  s->name = g_strdup (get_text (o, "name"));
  s->member = g_strdup (get_attribute (resource, "service.instance.id"));
  s->domain = g_strdup (get_attribute (resource, "almondvale.failure_domain"));
  s->service = g_strdup (get_attribute (o, "almondvale.service"));
  s->route = g_strdup (get_attribute (o, "almondvale.route"));
  s->error = g_strdup (get_attribute (o, "error.type"));
  s->status = g_strdup (get_attribute (o, "http.response.status_code"));
  s->start_us = get_time_us (o, "startTimeUnixNano");
  s->duration_us = get_time_us (o, "endTimeUnixNano") - s->start_us;
}

static void
add_spans (struct collector *c, JsonObject *resource, JsonObject *scope)
{
  JsonArray *spans = get_array (scope, "spans");

  for (guint i = 0; i < get_array_length (spans); i++)
    {
      JsonObject *span = get_item (spans, i);

      if (span != NULL)
        add_span (c, resource, span);
    }
}

static void
add_resource (struct collector *c, JsonObject *o)
{
  JsonObject *resource = get_object (o, "resource");
  JsonArray *scopes = get_array (o, "scopeSpans");

  for (guint i = 0; resource != NULL && i < get_array_length (scopes); i++)
    {
      JsonObject *scope = get_item (scopes, i);

      if (scope != NULL)
        add_spans (c, resource, scope);
    }
}

static bool
add_export (struct collector *c, const char *text, size_t len)
{
  JsonParser *parser = json_parser_new ();
  JsonNode *root;
  bool ok = json_parser_load_from_data (parser, text, (gssize)len, NULL)
            && (root = json_parser_get_root (parser)) != NULL
            && JSON_NODE_HOLDS_OBJECT (root);

  if (ok)
    {
      JsonArray *resources
          = get_array (json_node_get_object (root), "resourceSpans");

      for (guint i = 0; i < get_array_length (resources); i++)
        {
          JsonObject *resource = get_item (resources, i);

          if (resource != NULL)
            add_resource (c, resource);
        }
    }
  g_object_unref (parser);
  return ok;
}

/* Internal functions: tree */

static void
append_span (struct str_buf *out, const struct span *s, int depth,
             int64_t first_us)
{
  char *name = g_strdup_printf ("%*s%s %s/%s", depth * INDENT, "", s->name,
                                s->service, s->route);

  str_append_format (out, "%-*s %8.3f ms after %8.3f ms  %s in %s", NAME_WIDTH,
                     name, (double)s->duration_us / 1000,
                     (double)(s->start_us - first_us) / 1000, s->member,
                     s->domain);
  if (s->status[0] != '\0')
    str_append_format (out, " status %s", s->status);
  if (s->error[0] != '\0')
    str_append_format (out, " error %s", s->error);
  str_append_char (out, '\n');
  g_free (name);
}

static bool
is_earlier (const struct span *a, const struct span *b)
{
  return b == NULL || a->start_us < b->start_us;
}

/* Returns true if the parent of the span was not received.  */
static bool
is_root (struct collector *c, const struct span *s)
{
  struct span *other;

  for (uint64_t id = table_next (&c->spans, 0, (void **)&other); id != 0;
       id = table_next (&c->spans, id, (void **)&other))
    if (strcmp (other->trace_id, s->trace_id) == 0
        && strcmp (other->id, s->parent_id) == 0)
      return false;
  return true;
}

/* Appends the children of a span and their subtrees, ordered by start time; a
   NULL parent stands for the roots of the trace.  */
static void
append_children (struct collector *c, struct str_buf *out,
                 const char *trace_id, const struct span *parent, int depth,
                 int64_t first_us)
{
  GHashTable *appended = g_hash_table_new (NULL, NULL);
  struct span *next;

  do
    {
      struct span *s;

      next = NULL;
      for (uint64_t id = table_next (&c->spans, 0, (void **)&s); id != 0;
           id = table_next (&c->spans, id, (void **)&s))
        if (strcmp (s->trace_id, trace_id) == 0
            && !g_hash_table_contains (appended, s)
            && (parent != NULL ? strcmp (s->parent_id, parent->id) == 0
                               : is_root (c, s))
            && is_earlier (s, next))
          next = s;
      if (next == NULL)
        break;
      g_hash_table_add (appended, next);
      append_span (out, next, depth, first_us);
      if (depth < DEPTH_MAX)
        append_children (c, out, trace_id, next, depth + 1, first_us);
    }
  while (true);
  g_hash_table_unref (appended);
}

static void
append_tree (struct collector *c, struct str_buf *out, const char *trace_id)
{
  int64_t first_us = INT64_MAX;
  struct span *s;

  for (uint64_t id = table_next (&c->spans, 0, (void **)&s); id != 0;
       id = table_next (&c->spans, id, (void **)&s))
    if (strcmp (s->trace_id, trace_id) == 0)
      first_us = MIN (first_us, s->start_us);
  append_children (c, out, trace_id, NULL, 0, first_us);
}

/* Internal functions: HTTP */

static void
on_export (struct evhttp_request *request, void *data)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  size_t len = evbuffer_get_length (body);
  bool ok = add_export (data, (const char *)evbuffer_pullup (body, -1), len);

  evhttp_send_reply (request, ok ? HTTP_OK : HTTP_BADREQUEST,
                     ok ? "OK" : "Bad Request", NULL);
}

static void
on_tree (struct evhttp_request *request, void *data)
{
  struct evbuffer *body = evbuffer_new ();
  struct evkeyvalq query = { 0 };
  struct str_buf out = { 0 };
  const char *trace_id;

  evhttp_parse_query_str (
      evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request)), &query);
  trace_id = evhttp_find_header (&query, "trace");
  if (trace_id != NULL)
    append_tree (data, &out, trace_id);
  evbuffer_add (body, str_view (&out).data, out.len);
  evhttp_send_reply (request, HTTP_OK, "OK", body);
  evbuffer_free (body);
  evhttp_clear_headers (&query);
  str_reset (&out);
}

static void
on_signal (evutil_socket_t fd, short what, void *data)
{
  event_base_loopbreak (data);
}

int
main (int argc, char **argv)
{
  struct collector c = { .base = event_base_new () };
  struct evhttp *http = evhttp_new (c.base);
  struct event *term = evsignal_new (c.base, SIGTERM, on_signal, c.base);
  uint64_t port;

  if (argc != 2 || !str_parse_u64 (str_from_cstr (argv[1]), &port)
      || port > UINT16_MAX)
    {
      fprintf (stderr, "Usage: collector PORT\n");
      return EXIT_FAILURE;
    }
  table_init (&c.spans, sizeof (struct span));
  event_add (term, NULL);
  evhttp_set_cb (http, "/v1/traces", on_export, &c);
  evhttp_set_cb (http, "/tree", on_tree, &c);
  if (evhttp_bind_socket (http, "127.0.0.1", (uint16_t)port) != 0)
    {
      fprintf (stderr, "collector: cannot listen on 127.0.0.1 port %s\n",
               argv[1]);
      return EXIT_FAILURE;
    }
  printf ("ready %s\n", argv[1]);
  fflush (stdout);
  event_base_dispatch (c.base);
  evhttp_free (http);
  return EXIT_SUCCESS;
}
