/* mailbox: passes messages to a thread that blocks in an event loop.  */

#include "mailbox.h"

#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Internal functions */

/* The loop runs its systems after each batch of events, so this callback only
   resets the eventfd.  */
static void
consume_wakeup (evutil_socket_t fd, short what, void *data)
{
  uint64_t count;
  ssize_t n = read (fd, &count, sizeof count);

  (void)n;
}

/* Public functions */

/**
 * mailbox_init - attaches an empty mailbox to an event loop
 * @m: mailbox
 * @base: event loop of the receiving thread
 *
 * Return: FALSE if the eventfd could not be created.
 */
gboolean
mailbox_init (struct mailbox *m, struct event_base *base)
{
  m->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (m->fd < 0)
    return FALSE;
  m->queue = g_async_queue_new ();
  m->event = event_new (base, m->fd, EV_READ | EV_PERSIST, consume_wakeup, m);
  event_add (m->event, NULL);
  return TRUE;
}

void
mailbox_close (struct mailbox *m)
{
  event_free (m->event);
  g_async_queue_unref (m->queue);
  close (m->fd);
}

void
mailbox_send (struct mailbox *m, void *message)
{
  g_async_queue_push (m->queue, message);
  mailbox_wake (m);
}

void
mailbox_wake (struct mailbox *m)
{
  uint64_t one = 1;
  ssize_t n = write (m->fd, &one, sizeof one);

  (void)n;
}

void *
mailbox_receive (struct mailbox *m)
{
  return g_async_queue_try_pop (m->queue);
}
