/* control: the control thread, which owns all control state.  The traffic
   threads are the fronts, which receive callers' requests, and the serve
   thread, which sends requests to the backend server.  */

#include "control.h"

#include "clock.h"
#include "frame.h"
#include "logger.h"

#include <signal.h>
#include <string.h>

/* Constants */

#define CONTROL_TICK_US 50000

/* Internal functions: control links */

static void
on_frame (void *owner, uint64_t link, struct str frame)
{
  struct control *c = owner;
  uint32_t type = wire_peek_type (frame);

  metrics_increment (c->shared->metric_rows.control_bytes_received,
                     frame.len + FRAME_HEADER_BYTES);
  for (size_t i = 0; c->components[i] != NULL; i++)
    if (c->components[i]->on_frame != NULL
        && c->components[i]->on_frame (c, link, type, frame))
      return;
  metrics_increment (c->shared->metric_rows.bad_frames, 1);
  LOGGER_WRITE (LOGGER_WARNING, "link_closed",
                LOGGER_TEXT ("reason", STR_LIT ("unknown frame")),
                LOGGER_NUMBER ("type", type),
                LOGGER_NUMBER ("bytes", (int64_t)frame.len));
  peer_link_fail (&c->links, link);
}

static struct control_peer *
find_peer (const struct control *c, uint64_t member)
{
  uint64_t *id = g_hash_table_lookup (c->peer_by_member, &member);

  return id != NULL ? table_get (&c->peers, *id) : NULL;
}

/* Removes the control_peer row of a link, if this daemon opened the link.  */
static void
remove_peer_of (struct control *c, uint64_t link)
{
  struct control_peer *peer;

  for (uint64_t id = table_next (&c->peers, 0, (void **)&peer); id != 0;
       id = table_next (&c->peers, id, (void **)&peer))
    if (peer->link == link)
      {
        g_hash_table_remove (c->peer_by_member, &peer->member);
        table_remove (&c->peers, id);
        return;
      }
}

static void
on_link_close (void *owner, uint64_t link, bool connected)
{
  struct control *c = owner;

  for (size_t i = 0; c->components[i] != NULL; i++)
    if (c->components[i]->on_link_close != NULL)
      c->components[i]->on_link_close (c, link);
  remove_peer_of (c, link);
}

static const struct peer_link_ops link_ops = { on_frame, on_link_close };

/* Internal functions: messages of other threads */

static void
set_backend (struct control *c, enum control_backend state,
             const struct thread_message *message)
{
  bool same = thread_message_equal_backend (&c->backend, &message->backend);

  /* A repeated announcement of the same backend server is ignored, also while
     it is draining; after it has announced that it is leaving, the
     announcement makes it serve again.  */
  if (state == CONTROL_BACKEND_SERVING && same
      && (c->backend_state == CONTROL_BACKEND_SERVING
          || c->backend_state == CONTROL_BACKEND_DRAINING))
    return;
  if (state == c->backend_state && state != CONTROL_BACKEND_SERVING)
    return;
  if (state == CONTROL_BACKEND_SERVING)
    {
      str_free (&c->backend.service);
      str_free (&c->backend.address);
      str_free (&c->backend.id);
      c->backend = message->backend;
      c->backend.service = str_copy (message->backend.service);
      c->backend.address = str_copy (message->backend.address);
      c->backend.id = str_copy (message->backend.id);
    }
  c->backend_state = state;
  c->backend_changes++;
  LOGGER_WRITE (LOGGER_INFO, "backend_state",
                LOGGER_TEXT ("service", c->backend.service),
                LOGGER_NUMBER ("state", state));
}

static void
send_status (struct control *c, const struct thread_message *message)
{
  struct thread_message *reply = thread_message_create (THREAD_MESSAGE_STATUS);
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "member_id");
  text = str_dup_cstr (c->settings->member_id);
  json_builder_add_string_value (b, text);
  g_free (text);
  json_builder_set_member_name (b, "revision");
  json_builder_add_int_value (b, (gint64)c->inventory.revision);
  json_builder_set_member_name (b, "endpoints");
  json_builder_add_int_value (b, c->endpoints->len);
  json_builder_set_member_name (b, "backend_state");
  json_builder_add_int_value (b, c->backend_state);
  json_builder_set_member_name (b, "shutting_down");
  json_builder_add_boolean_value (b, c->shutting_down);
  json_builder_set_member_name (b, "keyed_routes_served");
  json_builder_add_boolean_value (
      b, clock_now_us () < atomic_load (&c->shared->keyed_routes_until_us));
  for (size_t i = 0; c->components[i] != NULL; i++)
    if (c->components[i]->append_status != NULL)
      c->components[i]->append_status (c, b);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, TRUE);
  reply->call = message->call;
  reply->text = str_copy (str_from_cstr (text));
  g_free (text);
  json_node_unref (root);
  g_object_unref (b);
  mailbox_send (c->shared->fronts[message->front], reply);
}

static void
handle_message (struct control *c, const struct thread_message *message)
{
  switch (message->kind)
    {
    case THREAD_MESSAGE_ANNOUNCE:
      set_backend (c, CONTROL_BACKEND_SERVING, message);
      break;
    case THREAD_MESSAGE_DRAIN:
      set_backend (c, CONTROL_BACKEND_DRAINING, message);
      break;
    case THREAD_MESSAGE_LEAVE:
      set_backend (c, CONTROL_BACKEND_LEAVING, message);
      break;
    case THREAD_MESSAGE_STATUS:
      send_status (c, message);
      break;
    default:
      break;
    }
  for (size_t i = 0; c->components[i] != NULL; i++)
    if (c->components[i]->on_message != NULL)
      c->components[i]->on_message (c, message);
}

/* Internal functions: systems */

static void
run_messages (void *owner, int64_t now_us)
{
  struct control *c = owner;
  struct thread_message *message;

  while ((message = mailbox_receive (&c->loop.inbox)) != NULL)
    {
      handle_message (c, message);
      thread_message_free (message);
    }
}

static void
run_components (void *owner, int64_t now_us)
{
  struct control *c = owner;

  for (size_t i = 0; c->components[i] != NULL; i++)
    if (c->components[i]->run != NULL)
      c->components[i]->run (c, now_us);
}

/* Publishes a snapshot of configuration and endpoints to the traffic threads
   if either of them has changed.  */
static void
run_publish (void *owner, int64_t now_us)
{
  struct control *c = owner;

  if (c->config_changed)
    {
      if (c->config != NULL)
        refcount_put (&c->config->ref);
      c->config = snapshot_load_config (&c->inventory);
      metrics_set (c->shared->metric_rows.revision,
                   (int64_t)c->inventory.revision);
    }
  if (c->config == NULL || !(c->config_changed || c->endpoints_changed))
    return;
  c->config_changed = false;
  c->endpoints_changed = false;
  snapshot_publish (
      &c->shared->snapshots,
      snapshot_load (c->config, (struct snapshot_endpoint *)c->endpoints->data,
                     c->endpoints->len));
  for (uint32_t i = 0; i < c->shared->fronts_len; i++)
    mailbox_wake (c->shared->fronts[i]);
  mailbox_wake (c->shared->serve);
}

/* Reports the byte budget, which the control state owns.  */
static void
run_budget (void *owner, int64_t now_us)
{
  struct control *c = owner;
  const struct byte_budget *b = &c->shared->byte_budget;

  metrics_set (c->shared->metric_rows.memory_total, b->total);
  metrics_set (c->shared->metric_rows.memory_free, byte_budget_get_free (b));
}

static void
run_trace (void *owner, int64_t now_us)
{
  struct control *c = owner;

  trace_run_export (&c->shared->trace, now_us);
}

static void
notify_shutdown (struct control *c)
{
  for (uint32_t i = 0; i < c->shared->fronts_len; i++)
    mailbox_send (c->shared->fronts[i],
                  thread_message_create (THREAD_MESSAGE_SHUTDOWN));
  mailbox_send (c->shared->serve,
                thread_message_create (THREAD_MESSAGE_SHUTDOWN));
}

/* A daemon shuts down in steps.  It announces that it is leaving, stops
   accepting requests after leave_notice_ms, and ends when no call, job or
   lease is open and all answers are sent, or after shutdown_ms.  */
static void
run_shutdown (void *owner, int64_t now_us)
{
  struct control *c = owner;
  bool idle;

  if (!c->shutting_down)
    return;
  if (!c->listeners_stopped && now_us >= c->stop_serving_us)
    {
      c->listeners_stopped = true;
      notify_shutdown (c);
      return;
    }
  idle = c->listeners_stopped && !c->leases_open
         && atomic_load (&c->shared->open_calls) == 0
         && atomic_load (&c->shared->open_jobs) == 0
         && atomic_load (&c->shared->open_answers) == 0
         && atomic_load (&c->shared->pending_response_bytes) == 0;
  if (idle || now_us >= c->shutdown_at_us)
    loop_stop (&c->loop);
}

static const struct system systems[] = {
  { "notes", run_messages },  { "nodes", run_components },
  { "publish", run_publish }, { "budget", run_budget },
  { "trace", run_trace },     { "shutdown", run_shutdown },
};

/* Internal functions: set-up */

static void
on_signal (evutil_socket_t number, short what, void *data)
{
  struct control *c = data;
  int64_t now_us = clock_now_us ();

  if (c->shutting_down)
    return;
  c->shutting_down = true;
  atomic_store (&c->shared->leaving, true);
  c->stop_serving_us = now_us + c->settings->leave_notice_ms * CLOCK_US_PER_MS;
  c->shutdown_at_us = now_us + c->settings->shutdown_ms * CLOCK_US_PER_MS;
  if (c->backend_state != CONTROL_BACKEND_NONE)
    c->backend_state = CONTROL_BACKEND_LEAVING;
  c->backend_changes++;
  LOGGER_WRITE (LOGGER_INFO, "shutdown_begun",
                LOGGER_NUMBER ("limit_ms", c->settings->shutdown_ms));
}

/* Settings are read only at the start.  To change them, the daemon is
   restarted while the others serve.  */
static void
on_hangup (evutil_socket_t number, short what, void *data)
{
  struct control *c = data;

  LOGGER_WRITE (
      LOGGER_INFO, "reload_ignored",
      LOGGER_TEXT ("member_id", c->settings->member_id),
      LOGGER_TEXT ("reason", STR_LIT ("settings take effect at a start")));
}

static void
watch_signals (struct control *c)
{
  static const int numbers[] = { SIGTERM, SIGINT };

  c->hangup = evsignal_new (c->loop.base, SIGHUP, on_hangup, c);
  event_add (c->hangup, NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      c->signals[i] = evsignal_new (c->loop.base, numbers[i], on_signal, c);
      event_add (c->signals[i], NULL);
    }
}

static bool
init_components (struct control *c, GError **error)
{
  for (size_t i = 0; c->components[i] != NULL; i++)
    if (!c->components[i]->init (c, error))
      return false;
  return true;
}

/* Public functions */

/**
 * control_init - initializes the control thread
 * @c: state of the thread
 * @shared: shared state; its control mailbox is set here
 * @components: components in the order in which they run, NULL at the end
 * @error: receives the reason of a failure
 *
 * Return: false if the control port cannot be bound or a component fails.
 */
bool
control_init (struct control *c, struct daemon_context *shared,
              const struct control_component_ops *const *components,
              GError **error)
{
  memset (c, 0, sizeof *c);
  c->components = components;
  c->shared = shared;
  c->settings = shared->settings;
  c->backend.service = STR_EMPTY;
  c->backend.address = STR_EMPTY;
  c->backend.id = STR_EMPTY;
  inventory_init (&c->inventory);
  table_init (&c->peers, sizeof (struct control_peer));
  c->peer_by_member
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  c->endpoints = g_array_new (FALSE, FALSE, sizeof (struct snapshot_endpoint));
  if (!loop_init (&c->loop, systems, G_N_ELEMENTS (systems), c))
    {
      g_set_error (error, ERR_QUARK, ERR_INTERNAL,
                   "cannot create the event loop");
      return false;
    }
  shared->control = &c->loop.inbox;
  peer_link_init_set (&c->links, c->loop.base, &link_ops, c);
  if (!peer_link_listen (&c->links, c->settings->address,
                         (uint16_t)c->settings->ports.control))
    {
      g_set_error (error, ERR_QUARK, ERR_SETTINGS_INVALID,
                   "cannot listen on port %d (control)",
                   (int)c->settings->ports.control);
      return false;
    }
  loop_set_tick (&c->loop, CONTROL_TICK_US);
  watch_signals (c);
  return init_components (c, error);
}

void
control_close (struct control *c)
{
  for (size_t i = 0; c->components[i] != NULL; i++)
    c->components[i]->close (c);
  event_free (c->hangup);
  for (size_t i = 0; i < G_N_ELEMENTS (c->signals); i++)
    event_free (c->signals[i]);
  peer_link_close_set (&c->links);
  control_set_endpoints (c, NULL, 0);
  g_array_unref (c->endpoints);
  g_hash_table_unref (c->peer_by_member);
  table_close (&c->peers);
  if (c->config != NULL)
    refcount_put (&c->config->ref);
  inventory_close (&c->inventory);
  str_free (&c->backend.service);
  str_free (&c->backend.address);
  str_free (&c->backend.id);
  loop_close (&c->loop);
}

bool
control_send (struct control *c, uint64_t member, struct str address,
              uint16_t port, struct str frames)
{
  struct control_peer *peer = find_peer (c, member);
  uint64_t *id;

  if (peer == NULL)
    {
      uint64_t link = peer_link_connect (&c->links, address, port);

      if (link == 0)
        return false;
      id = g_new (uint64_t, 1);
      *id = table_add (&c->peers, (void **)&peer);
      peer->member = member;
      peer->link = link;
      g_hash_table_insert (c->peer_by_member, &peer->member, id);
    }
  return control_reply (c, peer->link, frames);
}

uint64_t
control_get_peer (const struct control *c, uint64_t link)
{
  struct control_peer *peer;

  for (uint64_t id = table_next (&c->peers, 0, (void **)&peer); id != 0;
       id = table_next (&c->peers, id, (void **)&peer))
    if (peer->link == link)
      return peer->member;
  return 0;
}

uint64_t
control_get_link (const struct control *c, uint64_t member)
{
  const struct control_peer *peer = find_peer (c, member);

  return peer != NULL ? peer->link : 0;
}

bool
control_reply (struct control *c, uint64_t link, struct str frames)
{
  metrics_increment (c->shared->metric_rows.control_bytes_sent, frames.len);
  return peer_link_send (&c->links, link, frames);
}

void
control_set_endpoints (struct control *c,
                       const struct snapshot_endpoint *endpoints, uint32_t len)
{
  for (guint i = 0; i < c->endpoints->len; i++)
    {
      struct snapshot_endpoint *e
          = &g_array_index (c->endpoints, struct snapshot_endpoint, i);

      str_free (&e->address);
      str_free (&e->service);
    }
  g_array_set_size (c->endpoints, 0);
  for (uint32_t i = 0; i < len; i++)
    {
      struct snapshot_endpoint e = endpoints[i];

      e.address = str_copy (e.address);
      e.service = str_copy (e.service);
      g_array_append_val (c->endpoints, e);
    }
  c->endpoints_changed = true;
}

void
control_set_config_changed (struct control *c)
{
  c->config_changed = true;
}
