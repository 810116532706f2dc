/* tcp_socket: addresses and options of TCP sockets.  */

#ifndef ALMONDVALE_TCP_SOCKET_H
#define ALMONDVALE_TCP_SOCKET_H

#include "str.h"

#include <event2/util.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* Public functions */

/* converts an IP address and port to a socket address of *len bytes; false if
   `address` is not an IP address */
bool tcp_socket_parse_address (struct str address, uint16_t port,
                               struct sockaddr_storage *out, int *len);
/* sets the options of a connection so that small writes are sent immediately
   and an unreachable peer is detected in about 3 s */
void tcp_socket_set_options (evutil_socket_t fd);
/* Returns true if the peer has acknowledged all bytes written to the socket,
   or if the system cannot tell.  */
bool tcp_socket_is_acknowledged (evutil_socket_t fd);
/* Sets the numbers of bytes that were received and that the peer has
   acknowledged; both are 0 if the system cannot tell.  */
void tcp_socket_get_counts (evutil_socket_t fd, uint64_t *received,
                            uint64_t *acknowledged);
/* Returns the pending error of a socket and clears it; 0 if there is none.  */
int tcp_socket_take_error (evutil_socket_t fd);

#endif
