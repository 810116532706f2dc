/* thread_message: messages between the threads of the daemon.  */

#include "thread_message.h"

/* Public functions */

struct thread_message *
thread_message_load (enum thread_message_kind kind)
{
  struct thread_message *n = g_new0 (struct thread_message, 1);

  n->kind = kind;
  n->backend.service = STR_EMPTY;
  n->backend.address = STR_EMPTY;
  n->backend.id = STR_EMPTY;
  n->key = STR_EMPTY;
  n->content_type = STR_EMPTY;
  n->text = STR_EMPTY;
  return n;
}

struct thread_message *
thread_message_copy (const struct thread_message *n)
{
  struct thread_message *copy = g_new (struct thread_message, 1);

  *copy = *n;
  copy->backend.service = str_copy (n->backend.service);
  copy->backend.address = str_copy (n->backend.address);
  copy->backend.id = str_copy (n->backend.id);
  copy->key = str_copy (n->key);
  copy->content_type = str_copy (n->content_type);
  copy->text = str_copy (n->text);
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
thread_message_unload (struct thread_message *n)
{
  if (n == NULL)
    return;
  str_free (&n->backend.service);
  str_free (&n->backend.address);
  str_free (&n->backend.id);
  str_free (&n->key);
  str_free (&n->content_type);
  str_free (&n->text);
  g_free (n);
}
