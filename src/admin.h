/* admin: HTTP resources of the daemon at the local port: /almondvale/ and
   /metrics.  */

#ifndef ALMONDVALE_ADMIN_H
#define ALMONDVALE_ADMIN_H

#include "front.h"

/* Public functions */

/* Answers a request for the daemon itself: a status request after the reply of
   the control thread, others immediately.  Returns false if the request is for
   a service.  */
bool admin_handle (struct front *f, struct http_server_exchange *x);
/* Answers a status request with the reply of the control thread.  */
void admin_handle_reply (struct front *f, struct thread_message *message);
/* Removes a status request whose caller has disconnected before the reply of
   the control thread.  */
void admin_cancel (struct front *f, struct http_server_exchange *x);

#endif
