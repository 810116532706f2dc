/* tcp_socket: addresses and options of TCP sockets.  */

#include "tcp_socket.h"

#include <glib.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/ioctl.h>

/* Constants */

/* A peer can become unreachable without a reset.  Keep-alive probes detect
   that on an idle connection, the user timeout on one with unacknowledged
   bytes.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 2500

/* Internal functions */

static void
set_option (evutil_socket_t fd, int level, int name, int value)
{
  /* Errors are ignored, since a socket without the option still works:
     requests that hang are ended by their own timeouts.  */
  setsockopt (fd, level, name, &value, sizeof value);
}

/* Public functions */

bool
tcp_socket_parse_address (struct str address, uint16_t port,
                          struct sockaddr_storage *out, int *len)
{
  char *text = str_dup_cstr (address);
  bool ok;

  *len = sizeof *out;
  memset (out, 0, sizeof *out);
  ok = evutil_parse_sockaddr_port (text, (struct sockaddr *)out, len) == 0;
  g_free (text);
  if (!ok)
    return false;
  if (out->ss_family == AF_INET6)
    ((struct sockaddr_in6 *)out)->sin6_port = htons (port);
  else
    ((struct sockaddr_in *)out)->sin_port = htons (port);
  return true;
}

void
tcp_socket_set_options (evutil_socket_t fd)
{
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}

bool
tcp_socket_is_acknowledged (evutil_socket_t fd)
{
  int bytes = 0;

  return ioctl (fd, SIOCOUTQ, &bytes) != 0 || bytes == 0;
}

int
tcp_socket_take_error (evutil_socket_t fd)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    return 0;
  return error;
}

void
tcp_socket_get_counts (evutil_socket_t fd, uint64_t *received,
                       uint64_t *acknowledged)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len);
  *received = info.tcpi_bytes_received;
  *acknowledged = info.tcpi_bytes_acked;
}
