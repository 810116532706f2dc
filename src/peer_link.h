/* peer_link: framed TCP connections between daemons.

   A set holds the links of one thread in a table.  Ids of closed links no
   longer resolve, so a message for one is dropped.  */

#ifndef ALMONDVALE_PEER_LINK_H
#define ALMONDVALE_PEER_LINK_H

#include "str.h"
#include "table.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

struct peer_link_ops
{
  /* one whole frame without its length; valid during the call */
  void (*on_frame) (void *owner, uint64_t link, struct str frame);
  /* the link is gone; connected is false if it never was open */
  void (*on_close) (void *owner, uint64_t link, bool connected);
};

struct peer_link_set
{
  struct event_base *base;
  const struct peer_link_ops *ops;
  void *owner;
  struct table links;
  struct evconnlistener *listener; /* NULL unless listening */
  uint32_t links_max;              /* accepted links above it are closed */
  size_t pending_max_bytes; /* a link with more unsent bytes is closed */
};

/* Public functions */

/* empty set on an event loop */
void peer_link_init_set (struct peer_link_set *set, struct event_base *base,
                         const struct peer_link_ops *ops, void *owner);
/* closes all links without calling on_close */
void peer_link_close_set (struct peer_link_set *set);
/* accepts links at an IP address and port */
bool peer_link_listen (struct peer_link_set *set, struct str address,
                       uint16_t port);
/* accepts no more links */
void peer_link_stop_listening (struct peer_link_set *set);
/* begins to connect; frames sent meanwhile are kept; 0 on a bad address */
uint64_t peer_link_connect (struct peer_link_set *set, struct str address,
                            uint16_t port);
/* sends bytes of whole frames; false if the link is gone */
bool peer_link_send (struct peer_link_set *set, uint64_t link,
                     struct str frames);
/* closes one link; on_close is not called */
void peer_link_disconnect (struct peer_link_set *set, uint64_t link);
/* closes a link because of what it brought; on_close follows as if the other end
   had closed it */
void peer_link_fail (struct peer_link_set *set, uint64_t link);
/* true if the link is still there */
bool peer_link_is_open (const struct peer_link_set *set, uint64_t link);
/* bytes not yet handed to the system */
size_t peer_link_get_pending_bytes (const struct peer_link_set *set,
                                    uint64_t link);

#endif
