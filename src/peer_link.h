/* peer_link: framed TCP connections between daemons.

   A set is a table of the links of one thread.  Ids of closed links are not
   reused, so frames sent to such an id are dropped.  */

#ifndef ALMONDVALE_PEER_LINK_H
#define ALMONDVALE_PEER_LINK_H

#include "str.h"
#include "table.h"

#include <event2/bufferevent.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

struct peer_link_ops
{
  /* called for each complete frame, without its length prefix; the bytes are
     valid during the call */
  void (*on_frame) (void *owner, uint64_t link, struct str frame);
  /* called after a link was closed or could not be established; connected is
     false in the second case */
  void (*on_close) (void *owner, uint64_t link, bool connected);
};

struct listener;

struct peer_link_set
{
  struct event_base *base;
  const struct peer_link_ops *ops;
  void *owner;
  struct table links;
  struct listener *listener; /* NULL unless listening */
  uint32_t links_max;        /* largest number of links; connections accepted
                               above it are closed */
  size_t pending_max_bytes; /* a link with more bytes not yet sent is closed */
};

/* Public functions */

/* initializes an empty set on an event loop */
void peer_link_init_set (struct peer_link_set *set, struct event_base *base,
                         const struct peer_link_ops *ops, void *owner);
/* closes all links without calling on_close */
void peer_link_close_set (struct peer_link_set *set);
/* accepts links at an IP address and port; false if it cannot listen there */
bool peer_link_listen (struct peer_link_set *set, struct str address,
                       uint16_t port);
/* accepts no more links */
void peer_link_stop_listening (struct peer_link_set *set);
/* starts to connect and returns the link's id, or 0 if the address is invalid
   or no socket could be opened; frames sent before the link is established are
   queued */
uint64_t peer_link_connect (struct peer_link_set *set, struct str address,
                            uint16_t port);
/* sends complete frames; false if the link is closed, or was closed now
   because of pending_max_bytes */
bool peer_link_send (struct peer_link_set *set, uint64_t link,
                     struct str frames);
/* sends complete frames and removes them from the buffer; false as above */
bool peer_link_send_buffer (struct peer_link_set *set, uint64_t link,
                            struct evbuffer *frames);
/* closes one link; on_close is not called */
void peer_link_disconnect (struct peer_link_set *set, uint64_t link);
/* closes a link because of an invalid message; on_close is called as if the
   peer had closed it */
void peer_link_fail (struct peer_link_set *set, uint64_t link);
/* returns true if the link is connecting or connected */
bool peer_link_is_open (const struct peer_link_set *set, uint64_t link);
/* returns the number of bytes not yet written to the socket */
size_t peer_link_get_pending_bytes (const struct peer_link_set *set,
                                    uint64_t link);
/* returns that of all links */
size_t peer_link_get_all_pending_bytes (const struct peer_link_set *set);

#endif
