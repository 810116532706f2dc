/* peer_link: framed TCP connections between daemons.  */

#include "peer_link.h"

#include "clock.h"
#include "frame.h"
#include "listener.h"
#include "tcp_socket.h"
#include "wire.h"

#include <glib.h>
#include <string.h>

/* Constants */

/* Three bodies of the largest size that the settings permit.  */
#define PEER_LINK_PENDING_MAX_BYTES ((size_t)192 << 20)
#define PEER_LINK_ACCEPTED_MAX 65536u
/* A daemon that is cut off by a network partition does not answer.  The
   timeout is longer than 1 s, after which a lost SYN is retransmitted for the
   first time.  */
#define PEER_LINK_CONNECT_TIMEOUT_US 1500000

/* Types */

struct peer_link_row
{
  uint64_t id;
  struct peer_link_set *set;
  struct bufferevent *bev;
  bool connected;
};

/* Internal functions */

/* Closes a link without calling on_close.  */
static void
free_link (struct peer_link_row *row)
{
  bufferevent_free (row->bev);
  table_remove (&row->set->links, row->id);
}

/* Closes a link and calls on_close.  */
static void
close_and_notify (struct peer_link_row *row)
{
  struct peer_link_set *set = row->set;
  uint64_t id = row->id;
  bool connected = row->connected;

  free_link (row);
  set->ops->on_close (set->owner, id, connected);
}

/* Looks the link up before each frame, since on_frame can close it.  */
static void
on_readable (struct bufferevent *bev, void *data)
{
  struct peer_link_row *row = data;
  struct peer_link_set *set = row->set;
  uint64_t id = row->id;

  while (table_get (&set->links, id) != NULL)
    {
      struct str payload;
      enum frame_state state = frame_read (bufferevent_get_input (bev),
                                           WIRE_FRAME_MAX_BYTES, &payload);

      if (state == FRAME_PARTIAL)
        return;
      if (state == FRAME_INVALID)
        {
          close_and_notify (row);
          return;
        }
      set->ops->on_frame (set->owner, id, payload);
      str_free (&payload);
    }
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  struct peer_link_row *row = data;

  if (what & BEV_EVENT_CONNECTED)
    {
      row->connected = true;
      bufferevent_set_timeouts (bev, NULL, NULL);
      tcp_socket_set_options (bufferevent_getfd (bev));
      return;
    }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    close_and_notify (row);
}

static struct peer_link_row *
add_row (struct peer_link_set *set, evutil_socket_t fd)
{
  struct peer_link_row *row;
  uint64_t id = table_add (&set->links, (void **)&row);

  row->id = id;
  row->set = set;
  row->bev = bufferevent_socket_new (
      set->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (row->bev, on_readable, NULL, on_event, row);
  bufferevent_enable (row->bev, EV_READ | EV_WRITE);
  return row;
}

/* A daemon above the limit is turned away, so that it does not wait for its
   connect timeout.  */
static bool
make_room (void *owner)
{
  return true;
}

static void
on_accept (void *owner, evutil_socket_t fd, const struct sockaddr *address,
           socklen_t len)
{
  struct peer_link_set *set = owner;
  struct peer_link_row *row;

  if (set->links.count >= set->links_max)
    {
      evutil_closesocket (fd);
      return;
    }
  tcp_socket_set_options (fd);
  row = add_row (set, fd);
  row->connected = true;
}

static const struct listener_ops listener_ops
    = { .make_room = make_room, .on_accept = on_accept };

/* Public functions */

void
peer_link_init_set (struct peer_link_set *set, struct event_base *base,
                    const struct peer_link_ops *ops, void *owner)
{
  *set = (struct peer_link_set){ .base = base,
                                 .ops = ops,
                                 .owner = owner,
                                 .links_max = PEER_LINK_ACCEPTED_MAX,
                                 .pending_max_bytes
                                 = PEER_LINK_PENDING_MAX_BYTES };
  table_init (&set->links, sizeof (struct peer_link_row));
}

void
peer_link_close_set (struct peer_link_set *set)
{
  struct peer_link_row *row;

  peer_link_stop_listening (set);
  for (uint64_t id = table_next (&set->links, 0, (void **)&row); id != 0;
       id = table_next (&set->links, id, (void **)&row))
    free_link (row);
  table_close (&set->links);
}

/**
 * peer_link_listen - accepts links at an address
 * @set: links
 * @address: IP address
 * @port: TCP port
 *
 * Return: false if the port is in use or the address is not an IP address.
 */
bool
peer_link_listen (struct peer_link_set *set, struct str address, uint16_t port)
{
  set->listener
      = listener_load (set->base, address, port, false, &listener_ops, set);
  return set->listener != NULL;
}

void
peer_link_stop_listening (struct peer_link_set *set)
{
  if (set->listener != NULL)
    listener_unload (set->listener);
  set->listener = NULL;
}

/**
 * peer_link_connect - starts to connect to a daemon
 * @set: links
 * @address: IP address
 * @port: TCP port
 *
 * Return: the link's id, usable immediately; on_close is called if connecting
 * fails.  0 if the address is not an IP address or no socket could be opened.
 */
uint64_t
peer_link_connect (struct peer_link_set *set, struct str address,
                   uint16_t port)
{
  struct timeval wait = { PEER_LINK_CONNECT_TIMEOUT_US / CLOCK_US_PER_S,
                          PEER_LINK_CONNECT_TIMEOUT_US % CLOCK_US_PER_S };
  struct sockaddr_storage storage;
  struct peer_link_row *row;
  int len;

  if (!tcp_socket_parse_address (address, port, &storage, &len))
    return 0;
  row = add_row (set, -1);
  bufferevent_set_timeouts (row->bev, NULL, &wait);
  if (bufferevent_socket_connect (row->bev, (struct sockaddr *)&storage, len)
      != 0)
    {
      free_link (row);
      return 0;
    }
  return row->id;
}

bool
peer_link_send (struct peer_link_set *set, uint64_t link, struct str frames)
{
  struct peer_link_row *row = table_get (&set->links, link);

  if (row == NULL)
    return false;
  bufferevent_write (row->bev, frames.data, frames.len);
  if (peer_link_get_pending_bytes (set, link) <= set->pending_max_bytes)
    return true;
  close_and_notify (row);
  return false;
}

bool
peer_link_send_buffer (struct peer_link_set *set, uint64_t link,
                       struct evbuffer *frames)
{
  struct peer_link_row *row = table_get (&set->links, link);

  if (row == NULL)
    return false;
  bufferevent_write_buffer (row->bev, frames);
  if (peer_link_get_pending_bytes (set, link) <= set->pending_max_bytes)
    return true;
  close_and_notify (row);
  return false;
}

void
peer_link_disconnect (struct peer_link_set *set, uint64_t link)
{
  struct peer_link_row *row = table_get (&set->links, link);

  if (row != NULL)
    free_link (row);
}

void
peer_link_fail (struct peer_link_set *set, uint64_t link)
{
  struct peer_link_row *row = table_get (&set->links, link);

  if (row != NULL)
    close_and_notify (row);
}

bool
peer_link_is_open (const struct peer_link_set *set, uint64_t link)
{
  return table_get (&set->links, link) != NULL;
}

size_t
peer_link_get_pending_bytes (const struct peer_link_set *set, uint64_t link)
{
  struct peer_link_row *row = table_get (&set->links, link);

  return row == NULL ? 0
                     : evbuffer_get_length (bufferevent_get_output (row->bev));
}

size_t
peer_link_get_all_pending_bytes (const struct peer_link_set *set)
{
  struct peer_link_row *row;
  size_t bytes = 0;

  for (uint64_t id = table_next (&set->links, 0, (void **)&row); id != 0;
       id = table_next (&set->links, id, (void **)&row))
    bytes += evbuffer_get_length (bufferevent_get_output (row->bev));
  return bytes;
}
