/* machines_store: the metadata store of the stand-in `machines`.  */

#ifndef ALMONDVALE_MACHINES_STORE_H
#define ALMONDVALE_MACHINES_STORE_H

#include "clock.h"
#include "table.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

/* Constants */

#define STORE_DELAY_US 1500000
#define OBJECTS_PATH "/almondvale/objects/"
#define DAEMONS_KIND "almondvale-daemons"
#define ERA_HEADER "Store-Era"

/* Types */

struct object
{
  char *kind;
  char *name;
  JsonNode *spec;
  uint64_t revision;
  bool removed;
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

/* State */

static struct event_base *base;
static struct table objects;
static struct table watches;
static uint64_t revision = 100;
static enum store_mode store_mode;
/* A watch from an earlier revision is answered with 410.  */
static uint64_t oldest_watch_revision;
static char *foreign_entry; /* in lists of the daemons, or NULL */
/* A copy of the objects that the store can be restored from.  */
static struct table copied_objects;
static uint64_t copied_revision;
static bool copied;
/* Incremented by each restore; sent in all answers unless it is 0.  */
static uint64_t era;

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

/* Internal functions: the store */

/* Answers a call to the store.  */
static void
answer (struct evhttp_request *r, int status, const char *body)
{
  char number[32];

  g_snprintf (number, sizeof number, "%" PRIu64, era);
  if (era > 0)
    evhttp_add_header (evhttp_request_get_output_headers (r), ERA_HEADER,
                       number);
  reply (r, status, body);
}

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
      if (strcmp (o->kind, kind) != 0 || o->revision <= after
          || (o->removed && !events))
        continue;
      g_string_append (out, len++ > 0 ? "," : "");
      if (events)
        g_string_append_printf (
            out, "{\"removed\":%s,\"object\":", o->removed ? "true" : "false");
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
  answer (w->request, 200, out->str);
  g_string_free (out, TRUE);
  event_free (w->timer);
  g_free (w->kind);
  table_remove (&watches, w->id);
}

/* Answers the watches of a kind, which has changed.  */
static void
answer_watches (const char *kind)
{
  struct watch *w;

  for (uint64_t id = table_next (&watches, 0, (void **)&w); id != 0;
       id = table_next (&watches, id, (void **)&w))
    if (strcmp (w->kind, kind) == 0)
      answer_watch (w);
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
  o->removed = false;
  answer_watches (kind);
  return o->revision;
}

/* The row stays, so that later watches get the event.  */
static void
remove_object (const char *kind, const char *name)
{
  struct object *o = find_object (kind, name);

  if (o == NULL)
    return;
  o->removed = true;
  o->revision = ++revision;
  answer_watches (kind);
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

  if (strtoull (from + 6, NULL, 10) < oldest_watch_revision
      || strtoull (from + 6, NULL, 10) > revision)
    {
      table_remove (&watches, id);
      g_string_free (out, TRUE);
      answer (r, 410, "{}");
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
  answer (r, 200, out->str);
  g_string_free (out, TRUE);
}

static void
get_object (struct evhttp_request *r, const char *kind, const char *name)
{
  struct object *o = find_object (kind, name);
  GString *out = g_string_new ("");

  if (o != NULL && o->removed)
    o = NULL;
  if (o != NULL)
    append_object (out, o);
  answer (r, o != NULL ? 200 : 404, o != NULL ? out->str : "{}");
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
  if (old != NULL && old->removed)
    old = NULL;
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
  char *text;

  if (root != NULL)
    status = apply_write (kind, name, json_node_get_object (root), &written);
  text
      = g_strdup_printf ("{\"metadata\":{\"revision\":%" PRIu64 "}}", written);
  answer (r, status, text);
  g_free (text);
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
  else if (is_get && parts[1] != NULL)
    get_object (r, parts[0], parts[1]);
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
    answer (r, 503, "{}");
  else if (store_mode == STORE_SLOW)
    event_base_once (base, -1, EV_TIMEOUT, on_store_delay_over, r, &wait);
  else if (store_mode == STORE_ANSWERS_LOST
           && evhttp_request_get_command (r) != EVHTTP_REQ_GET)
    write_without_answer (r, path);
  else
    answer_objects (r, path, query);
}

static void
clear_objects (struct table *t)
{
  struct object *o;

  for (uint64_t id = table_next (t, 0, (void **)&o); id != 0;
       id = table_next (t, id, (void **)&o))
    {
      g_free (o->kind);
      g_free (o->name);
      json_node_unref (o->spec);
    }
  table_close (t);
  table_init (t, sizeof (struct object));
}

static void
copy_objects (struct table *to, const struct table *from)
{
  struct object *o, *copy;

  clear_objects (to);
  for (uint64_t id = table_next (from, 0, (void **)&o); id != 0;
       id = table_next (from, id, (void **)&o))
    {
      table_add (to, (void **)&copy);
      *copy = (struct object){ g_strdup (o->kind), g_strdup (o->name),
                               json_node_copy (o->spec), o->revision,
                               o->removed };
    }
}

static void
keep_copy (void)
{
  if (!copied)
    table_init (&copied_objects, sizeof (struct object));
  copied = true;
  copy_objects (&copied_objects, &objects);
  copied_revision = revision;
}

/* Open watches from a revision that the copy has are cut off, as by a store
   that is started again, or stay open.  */
static void
restore_copy (bool cuts_watches)
{
  struct watch *w;

  if (!copied)
    return;
  copy_objects (&objects, &copied_objects);
  revision = copied_revision;
  era++;
  for (uint64_t id = table_next (&watches, 0, (void **)&w); id != 0;
       id = table_next (&watches, id, (void **)&w))
    {
      if (w->revision > revision)
        answer (w->request, 410, "{}");
      else if (!cuts_watches)
        continue;
      else
        evhttp_connection_free (evhttp_request_get_connection (w->request));
      event_free (w->timer);
      g_free (w->kind);
      table_remove (&watches, id);
    }
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
  else if (strcmp (mode, "copy") == 0)
    keep_copy ();
  else if (strcmp (mode, "restore") == 0)
    restore_copy (true);
  else if (strcmp (mode, "restore-open") == 0)
    restore_copy (false);
}

#endif
