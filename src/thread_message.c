/* thread_message: messages between the threads of the daemon.  */

#include "thread_message.h"

/* Public functions */

struct thread_message *
thread_message_create (enum thread_message_kind kind)
{
  struct thread_message *message = g_new0 (struct thread_message, 1);

  message->kind = kind;
  message->backend.service = STR_EMPTY;
  message->backend.address = STR_EMPTY;
  message->backend.id = STR_EMPTY;
  message->key = STR_EMPTY;
  message->content_type = STR_EMPTY;
  message->text = STR_EMPTY;
  return message;
}

struct thread_message *
thread_message_copy (const struct thread_message *message)
{
  struct thread_message *copy = g_new (struct thread_message, 1);

  *copy = *message;
  copy->backend.service = str_copy (message->backend.service);
  copy->backend.address = str_copy (message->backend.address);
  copy->backend.id = str_copy (message->backend.id);
  copy->stops = backend_stops_copy (&message->stops);
  copy->key = str_copy (message->key);
  copy->content_type = str_copy (message->content_type);
  copy->text = str_copy (message->text);
  return copy;
}

bool
thread_message_equal_backend (const struct thread_message_backend *a,
                              const struct thread_message_backend *b)
{
  return str_equal (a->service, b->service)
         && str_equal (a->address, b->address) && a->port == b->port
         && a->slots == b->slots && a->connections == b->connections
         && a->boot_ms == b->boot_ms && str_equal (a->id, b->id);
}

void
thread_message_free (struct thread_message *message)
{
  if (message == NULL)
    return;
  str_free (&message->backend.service);
  str_free (&message->backend.address);
  str_free (&message->backend.id);
  backend_stops_close (&message->stops);
  str_free (&message->key);
  str_free (&message->content_type);
  str_free (&message->text);
  g_free (message);
}
