/* admin: HTTP resources of the daemon at the local port: /almondvale/ and
   /metrics.  */

#include "admin.h"

#include "clock.h"
#include "dispatch_report.h"
#include "json_field.h"
#include "logger.h"

/* Constants */

#define ADMIN_PREFIX STR_LIT ("/almondvale/")
#define ADMIN_PORT_MAX 65535
#define ADMIN_COUNT_MAX 1000000 /* slots or connections of a backend server */

/* Types */

struct resource
{
  struct str method;
  struct str path;
  void (*handle) (struct front *f, struct http_server_exchange *x);
};

/* Internal functions */

static void
answer_text (struct http_server_exchange *x, int status, struct str type,
             struct str body)
{
  struct wire_header header = { STR_LIT ("Content-Type"), type };

  http_server_answer (x, status, &header, 1, body);
}

static void
answer_error (struct http_server_exchange *x, enum err_kind error,
              struct str detail)
{
  struct str_buf body = { 0 };

  err_append_body (&body, error, detail);
  answer_text (x, err_get_answer (error)->status, STR_LIT ("application/json"),
               str_view (&body));
  str_reset (&body);
}

static void
answer_ok (struct http_server_exchange *x)
{
  answer_text (x, 200, STR_LIT ("application/json"), STR_LIT ("{}\n"));
}

/* Sends a message to the control and serve threads, which free it.  */
static void
notify (struct front *f, struct thread_message *message)
{
  mailbox_send (f->shared->serve, thread_message_copy (message));
  mailbox_send (f->shared->control, message);
}

static bool
read_backend (JsonObject *o, struct thread_message_backend *b)
{
  int64_t port, slots, connections;
  struct str service, address;

  if (!json_field_get_text (o, "service", &service) || service.len == 0
      || !json_field_get_text (o, "address", &address) || address.len == 0
      || !json_field_get_number (o, "port", 1, ADMIN_PORT_MAX, &port)
      || !json_field_get_number (o, "slots", 1, ADMIN_COUNT_MAX, &slots)
      || !json_field_get_number (o, "connections", 1, ADMIN_COUNT_MAX,
                                 &connections))
    return false;
  b->service = str_copy (service);
  b->address = str_copy (address);
  b->port = (uint16_t)port;
  b->slots = (uint32_t)slots;
  b->connections = (uint32_t)connections;
  return true;
}

static void
handle_announce (struct front *f, struct http_server_exchange *x)
{
  struct thread_message *message
      = thread_message_create (THREAD_MESSAGE_ANNOUNCE);
  JsonNode *root = json_field_parse_object (str_view (&x->body));
  bool ok = root != NULL
            && read_backend (json_node_get_object (root), &message->backend);

  if (root != NULL)
    json_node_unref (root);
  if (!ok)
    {
      thread_message_free (message);
      answer_error (x, ERR_BAD_REQUEST,
                    STR_LIT ("expected an object with service and address "
                             "(text), port 1..65535, slots and connections "
                             "1..1000000"));
      return;
    }
  notify (f, message);
  answer_ok (x);
}

static void
handle_drain (struct front *f, struct http_server_exchange *x)
{
  notify (f, thread_message_create (THREAD_MESSAGE_DRAIN));
  answer_ok (x);
}

static void
handle_leave (struct front *f, struct http_server_exchange *x)
{
  notify (f, thread_message_create (THREAD_MESSAGE_LEAVE));
  answer_ok (x);
}

static void
handle_metrics (struct front *f, struct http_server_exchange *x)
{
  struct str_buf body = { 0 };

  metrics_append_text (&f->shared->metrics, &body);
  answer_text (x, 200, STR_LIT ("text/plain; version=0.0.4"),
               str_view (&body));
  str_reset (&body);
}

static void
handle_endpoints (struct front *f, struct http_server_exchange *x)
{
  struct str_buf body = { 0 };

  dispatch_report_append (f, &body, clock_now_us ());
  answer_text (x, 200, STR_LIT ("application/json"), str_view (&body));
  str_reset (&body);
}

static void
handle_log_level (struct front *f, struct http_server_exchange *x)
{
  enum logger_level level;

  if (!logger_find_level (str_view (&x->body), &level))
    {
      answer_error (x, ERR_BAD_REQUEST,
                    STR_LIT ("expected error, warning, info or debug"));
      return;
    }
  logger_set_level (level);
  answer_ok (x);
}

/* The control thread provides the status.  Until its reply, the exchange is
   kept in a call row with the state FRONT_STATE_COUNT, which no system
   handles.  */
static void
handle_status (struct front *f, struct http_server_exchange *x)
{
  struct thread_message *message
      = thread_message_create (THREAD_MESSAGE_STATUS);
  struct front_call *call;

  message->call = table_add (&f->calls, (void **)&call);
  message->front = f->index;
  call->id = message->call;
  call->state = FRONT_STATE_COUNT;
  call->exchange = x;
  x->call = call->id;
  mailbox_send (f->shared->control, message);
}

static const struct resource resources[] = {
  { STR_LIT ("POST"), STR_LIT ("/almondvale/announce"), handle_announce },
  { STR_LIT ("POST"), STR_LIT ("/almondvale/drain"), handle_drain },
  { STR_LIT ("POST"), STR_LIT ("/almondvale/leave"), handle_leave },
  { STR_LIT ("GET"), STR_LIT ("/almondvale/metrics"), handle_metrics },
  { STR_LIT ("GET"), STR_LIT ("/metrics"), handle_metrics },
  { STR_LIT ("GET"), STR_LIT ("/almondvale/status"), handle_status },
  { STR_LIT ("GET"), STR_LIT ("/almondvale/endpoints"), handle_endpoints },
  { STR_LIT ("PUT"), STR_LIT ("/almondvale/log-level"), handle_log_level },
};

/* Public functions */

/**
 * admin_handle - answers requests for the daemon itself
 * @f: front thread
 * @x: exchange of the local port
 *
 * Return: false if the request is for a service.
 */
bool
admin_handle (struct front *f, struct http_server_exchange *x)
{
  bool known = false;

  for (size_t i = 0; i < G_N_ELEMENTS (resources); i++)
    if (str_equal (x->target, resources[i].path))
      {
        known = true;
        if (!str_equal (x->method, resources[i].method))
          continue;
        resources[i].handle (f, x);
        return true;
      }
  if (!known && !str_has_prefix (x->target, ADMIN_PREFIX))
    return false;
  answer_error (x, known ? ERR_METHOD_NOT_ALLOWED : ERR_ROUTE_UNKNOWN,
                STR_EMPTY);
  return true;
}

void
admin_handle_reply (struct front *f, struct thread_message *message)
{
  struct front_call *call = table_get (&f->calls, message->call);

  if (call == NULL || call->state != FRONT_STATE_COUNT)
    return;
  answer_text (call->exchange, 200, STR_LIT ("application/json"),
               message->text);
  table_remove (&f->calls, call->id);
}

void
admin_cancel (struct front *f, struct http_server_exchange *x)
{
  table_remove (&f->calls, x->call);
}
