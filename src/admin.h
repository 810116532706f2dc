/* admin: the daemon's own resources at the local port, below /almondvale/.  */

#ifndef ALMONDVALE_ADMIN_H
#define ALMONDVALE_ADMIN_H

#include "front.h"

/* Public functions */

/* true if the request is for the daemon itself; it is answered then, at once
   or when the control thread has replied */
bool admin_handle (struct front *f, struct http_server_exchange *x);
/* a reply of the control thread to an earlier request */
void admin_handle_reply (struct front *f, struct thread_message *message);
/* the caller of a request that waits for the control thread has gone */
void admin_cancel (struct front *f, struct http_server_exchange *x);

#endif
