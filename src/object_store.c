/* object_store: client of the platform's object API over HTTP.  */

#include "object_store.h"

#include "http_client.h"
#include "json_check.h"
#include "table.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Constants */

/* Largest answer that is accepted: one page of values in base64 and the JSON
   around them.  */
#define ANSWER_MAX_BYTES ((size_t)2 * 1024 * 1024)

#define OBJECTS_PATH "/v1/objects"
#define WATCH_PATH "/v1/watch"

/* Types */

enum operation
{
  OPERATION_GET,
  OPERATION_WRITE,
  OPERATION_PAGE /* list or watch */
};

struct http_store
{
  struct object_store store;
  struct event_base *base;
  struct http_client_pool *pool;
  struct table calls;
};

struct call
{
  uint64_t id;
  struct http_store *owner;
  enum operation operation;
  struct object_store_call call;
  struct event *send_failed_event; /* reports a call that could not be sent;
                                      else NULL */
};

/* Objects of one page.  Their keys and `next` are views into the JSON
   tree.  */
struct page
{
  JsonNode *root;
  GArray *objects; /* struct object_store_object */
  uint64_t version;
  struct str next;
};

/* Internal functions: calls */

static struct call *
add_call (struct http_store *s, enum operation operation,
          const struct object_store_call *call)
{
  struct call *c;
  uint64_t id = table_add (&s->calls, (void **)&c);

  c->id = id;
  c->owner = s;
  c->operation = operation;
  c->call = *call;
  return c;
}

static void
deliver (struct call *c, const struct object_store_answer *answer)
{
  struct object_store_call call = c->call;

  if (c->send_failed_event != NULL)
    event_free (c->send_failed_event);
  table_remove (&c->owner->calls, c->id);
  call.done (call.data, answer);
}

static void
on_send_failed (evutil_socket_t fd, short what, void *data)
{
  struct object_store_answer answer = { .error = ERR_STORE_UNAVAILABLE,
                                        .value = STR_EMPTY,
                                        .next = STR_EMPTY };

  deliver (data, &answer);
}

/* Internal functions: answers */

/* Returns the number in the quoted ETag header, or 0.  */
static uint64_t
get_version (const struct http_client_answer *a)
{
  uint64_t version = 0;

  for (uint32_t i = 0; i < a->headers_len; i++)
    {
      struct str tag = a->headers[i].value;

      if (str_equal_nocase (a->headers[i].name, STR_LIT ("ETag"))
          && tag.len > 2)
        str_parse_u64 (str_slice (tag, 1, tag.len - 1), &version);
    }
  return version;
}

/* Without a valid answer it is not known whether the server has processed the
   request.  The outcome of a write is unknown then, while a read counts as
   failed.  */
static enum err_kind
get_error (const struct call *c, const struct http_client_answer *a)
{
  enum err_kind unknown = c->operation == OPERATION_WRITE
                              ? ERR_STORE_OUTCOME_UNKNOWN
                              : ERR_STORE_UNAVAILABLE;

  if (a->result == HTTP_CLIENT_NOT_CONNECTED)
    return ERR_STORE_UNAVAILABLE;
  if (a->result != HTTP_CLIENT_ANSWERED)
    return unknown;
  switch (a->status)
    {
    case 200:
    case 201:
    case 204:
      return ERR_NONE;
    case 400:
      return ERR_BAD_REQUEST;
    case 404:
      return ERR_NOT_FOUND;
    case 412:
      return ERR_STORE_CONFLICT;
    case 413:
      return ERR_BODY_TOO_LARGE;
    case 503:
      return ERR_STORE_UNAVAILABLE;
    default:
      return a->status >= 500 ? unknown : ERR_PROTOCOL;
    }
}

static bool
get_number (JsonObject *object, const char *name, uint64_t *value)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64
      || json_node_get_int (node) < 0)
    return false;
  *value = (uint64_t)json_node_get_int (node);
  return true;
}

static const char *
get_string (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_STRING)
    return NULL;
  return json_node_get_string (node);
}

static bool
parse_object (struct page *page, JsonNode *node)
{
  struct object_store_object o = { .value = STR_EMPTY };
  JsonObject *object;
  JsonNode *deleted;
  const char *value;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return false;
  object = json_node_get_object (node);
  deleted = json_object_get_member (object, "deleted");
  if (get_string (object, "key") == NULL
      || !get_number (object, "version", &o.version) || deleted == NULL
      || json_node_get_value_type (deleted) != G_TYPE_BOOLEAN)
    return false;
  o.key = str_from_cstr (get_string (object, "key"));
  o.deleted = json_node_get_boolean (deleted);
  value = get_string (object, "value");
  if (value != NULL)
    {
      gsize len;
      guchar *bytes = g_base64_decode (value, &len);

      o.value = (struct str){ len, (char *)bytes };
    }
  g_array_append_val (page->objects, o);
  return true;
}

static bool
parse_page (struct page *page, struct str text)
{
  JsonObject *object;
  JsonNode *objects;
  bool valid = true;

  page->objects
      = g_array_new (FALSE, FALSE, sizeof (struct object_store_object));
  page->root = json_check_parse (text, NULL);
  if (page->root == NULL || !JSON_NODE_HOLDS_OBJECT (page->root))
    return false;
  object = json_node_get_object (page->root);
  objects = json_object_get_member (object, "objects");
  if (objects == NULL || !JSON_NODE_HOLDS_ARRAY (objects)
      || !get_number (object, "version", &page->version)
      || get_string (object, "next") == NULL)
    return false;
  page->next = str_from_cstr (get_string (object, "next"));
  for (guint i = 0;
       i < json_array_get_length (json_node_get_array (objects)) && valid; i++)
    valid = parse_object (
        page, json_array_get_element (json_node_get_array (objects), i));
  return valid;
}

static void
free_page (struct page *page)
{
  for (guint i = 0; i < page->objects->len; i++)
    str_free (
        &g_array_index (page->objects, struct object_store_object, i).value);
  g_array_unref (page->objects);
  if (page->root != NULL)
    json_node_unref (page->root);
}

static void
deliver_page (struct call *c, struct str body)
{
  struct object_store_answer answer
      = { .value = STR_EMPTY, .next = STR_EMPTY };
  struct page page = { 0 };

  if (parse_page (&page, body))
    {
      answer.version = page.version;
      answer.next = page.next;
      answer.objects_len = page.objects->len;
      answer.objects = (const struct object_store_object *)page.objects->data;
    }
  else
    answer.error = ERR_PROTOCOL;
  deliver (c, &answer);
  free_page (&page);
}

static void
on_done (void *data, const struct http_client_answer *a)
{
  struct call *c = data;
  struct object_store_answer answer
      = { .error = get_error (c, a), .value = STR_EMPTY, .next = STR_EMPTY };

  if (answer.error == ERR_NONE && c->operation == OPERATION_PAGE)
    {
      deliver_page (c, a->body);
      return;
    }
  answer.version = get_version (a);
  if (answer.error == ERR_NONE)
    answer.value = a->body;
  deliver (c, &answer);
}

/* Internal functions: requests */

static void
send_request (struct http_store *s, struct call *c, const char *method,
              struct str target, const struct http_head_field *header,
              struct str body)
{
  struct http_client_request r = { .method = method,
                                   .target = target,
                                   .headers_len = header != NULL ? 1 : 0,
                                   .headers = header,
                                   .body = body,
                                   .timeout_us = c->call.timeout_us,
                                   .done = on_done,
                                   .data = c };

  if (http_client_send (s->pool, &r) != NULL)
    return;
  c->send_failed_event = event_new (s->base, -1, 0, on_send_failed, c);
  event_active (c->send_failed_event, EV_TIMEOUT, 0);
}

static void
send_object (struct object_store *store, enum operation operation,
             const char *method, struct str key,
             const struct http_head_field *header, struct str body,
             const struct object_store_call *call)
{
  struct http_store *s = (struct http_store *)store;
  struct str_buf target = { 0 };

  str_append_format (&target, OBJECTS_PATH "/%.*s", STR_ARG (key));
  send_request (s, add_call (s, operation, call), method, str_view (&target),
                header, body);
  str_reset (&target);
}

static void
send_page (struct object_store *store, struct str target,
           const struct object_store_call *call)
{
  struct http_store *s = (struct http_store *)store;

  send_request (s, add_call (s, OPERATION_PAGE, call), "GET", target, NULL,
                STR_EMPTY);
}

/* Internal functions: operations */

static void
get_http (struct object_store *s, struct str key,
          const struct object_store_call *call)
{
  send_object (s, OPERATION_GET, "GET", key, NULL, STR_EMPTY, call);
}

static void
put_http (struct object_store *s, struct str key, struct str value,
          enum object_store_condition condition, uint64_t version,
          const struct object_store_call *call)
{
  char *tag = g_strdup_printf ("\"%" PRIu64 "\"", version);
  struct http_head_field absent = { STR_LIT ("If-None-Match"), STR_LIT ("*") };
  struct http_head_field match = { STR_LIT ("If-Match"), str_from_cstr (tag) };
  const struct http_head_field *header = NULL;

  if (condition == OBJECT_STORE_IF_ABSENT)
    header = &absent;
  else if (condition == OBJECT_STORE_IF_VERSION)
    header = &match;
  send_object (s, OPERATION_WRITE, "PUT", key, header, value, call);
  g_free (tag);
}

static void
remove_http (struct object_store *s, struct str key, uint64_t version,
             const struct object_store_call *call)
{
  char *tag = g_strdup_printf ("\"%" PRIu64 "\"", version);
  struct http_head_field match = { STR_LIT ("If-Match"), str_from_cstr (tag) };

  send_object (s, OPERATION_WRITE, "DELETE", key, version != 0 ? &match : NULL,
               STR_EMPTY, call);
  g_free (tag);
}

static void
list_http (struct object_store *s, struct str prefix, struct str after,
           bool values, const struct object_store_call *call)
{
  struct str_buf target = { 0 };

  str_append_format (&target, OBJECTS_PATH "?prefix=%.*s&after=%.*s&values=%s",
                     STR_ARG (prefix), STR_ARG (after),
                     values ? "true" : "false");
  send_page (s, str_view (&target), call);
  str_reset (&target);
}

static void
watch_http (struct object_store *s, struct str prefix, uint64_t version,
            int64_t wait_us, bool values, const struct object_store_call *call)
{
  struct str_buf target = { 0 };

  str_append_format (&target,
                     WATCH_PATH "?prefix=%.*s&version=%" PRIu64
                                "&wait_ms=%" PRId64 "&values=%s",
                     STR_ARG (prefix), version, wait_us / 1000,
                     values ? "true" : "false");
  send_page (s, str_view (&target), call);
  str_reset (&target);
}

static void
unload_http (struct object_store *store)
{
  struct http_store *s = (struct http_store *)store;
  struct call *c;

  http_client_unload_pool (s->pool);
  for (uint64_t id = table_next (&s->calls, 0, (void **)&c); id != 0;
       id = table_next (&s->calls, id, (void **)&c))
    if (c->send_failed_event != NULL)
      event_free (c->send_failed_event);
  table_close (&s->calls);
  g_free (s);
}

static const struct object_store_ops http_ops = { .get = get_http,
                                                  .put = put_http,
                                                  .remove = remove_http,
                                                  .list = list_http,
                                                  .watch = watch_http,
                                                  .unload = unload_http };

/* Public functions */

/**
 * object_store_create_http - creates a client of the object API over HTTP
 * @base: event loop
 * @address: IP address of the platform
 * @port: TCP port of the platform
 * @max_connections: maximum number of concurrent calls, including pending
 *   watches
 *
 * Return: the client, freed with its operation unload.
 */
struct object_store *
object_store_create_http (struct event_base *base, struct str address,
                          uint16_t port, uint32_t max_connections)
{
  struct http_store *s = g_new0 (struct http_store, 1);

  s->store.ops = &http_ops;
  s->base = base;
  s->pool = http_client_load_pool (base, address, port, max_connections,
                                   ANSWER_MAX_BYTES);
  table_init (&s->calls, sizeof (struct call));
  return &s->store;
}
