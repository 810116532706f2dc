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

/* attaches an empty mailbox to the receiver's loop; false on no descriptor */
gboolean mailbox_init (struct mailbox *m, struct event_base *base);
/* detaches; messages left are the owner's to take first */
void mailbox_close (struct mailbox *m);
/* queues a message and wakes the receiver; any thread */
void mailbox_send (struct mailbox *m, void *message);
/* wakes the receiver without a message; any thread */
void mailbox_wake (struct mailbox *m);
/* next message or NULL; the receiver's thread only */
void *mailbox_receive (struct mailbox *m);

#endif
