/* listener: accepts TCP connections in an event loop.

   While no connection can be accepted, because the owner has no room or the
   process has no descriptor left, the listener is paused: it does not watch
   its socket, so the loop does not spin, and tries again at an interval.  */

#ifndef ALMONDVALE_LISTENER_H
#define ALMONDVALE_LISTENER_H

#include "str.h"

#include <event2/event.h>
#include <event2/util.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* Constants */

#define LISTENER_RETRY_US 50000

/* Types */

struct listener_ops
{
  /* returns false if the owner has no room for a connection */
  bool (*make_room) (void *owner);
  /* called when accept failed for lack of descriptors or memory; the owner can
     close a connection; may be NULL */
  void (*on_shortage) (void *owner);
  /* passes a connected non-blocking socket, which the owner closes */
  void (*on_accept) (void *owner, evutil_socket_t fd,
                     const struct sockaddr *address, socklen_t len);
};

struct listener;

/* Public functions */

/* listens at an IP address; with reuse_port several listeners share the port;
   returns NULL if the address is invalid or the port is in use */
struct listener *listener_load (struct event_base *base, struct str address,
                                uint16_t port, bool reuse_port,
                                const struct listener_ops *ops, void *owner);
/* closes the socket; callers that are not accepted yet are reset */
void listener_unload (struct listener *l);
/* tries at once to accept again if the listener is paused */
void listener_resume (struct listener *l);
/* returns true if a caller has connected and is not accepted yet */
bool listener_is_caller_waiting (const struct listener *l);
/* returns how long no connection could be accepted, or 0 */
int64_t listener_get_paused_us (const struct listener *l, int64_t now_us);

#endif
