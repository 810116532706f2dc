/* mailbox: passes messages to a thread that blocks in an event loop.  */

#ifndef ALMONDVALE_MAILBOX_H
#define ALMONDVALE_MAILBOX_H

#include <event2/event.h>
#include <glib.h>

/* Types */

struct mailbox
{
  GAsyncQueue *queue;
  int fd; /* eventfd, readable while a wake-up is pending */
  struct event *event;
};

/* Public functions */

/* Attaches an empty mailbox to the event loop of the receiver.  Returns FALSE
   if the eventfd cannot be created.  */
gboolean mailbox_init (struct mailbox *m, struct event_base *base);
/* Closes the mailbox.  Queued messages are not freed: receive them first.  */
void mailbox_close (struct mailbox *m);
/* Queues a message and wakes the receiver; any thread may call it.  */
void mailbox_send (struct mailbox *m, void *message);
/* Wakes the receiver without a message; any thread may call it.  */
void mailbox_wake (struct mailbox *m);
/* Returns the next message, or NULL if there is none.  Only the receiving
   thread may call it.  */
void *mailbox_receive (struct mailbox *m);

#endif
