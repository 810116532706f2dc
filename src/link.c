/* link: framed TCP connections between daemons.  */

#include "link.h"

#include "clock.h"
#include "frame.h"
#include "sock.h"
#include "wire.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define LINK_PENDING_MAX_BYTES ((size_t)64 << 20)
#define LINK_ACCEPTED_MAX 65536u
#define LINK_BACKLOG 1024
/* A daemon behind a partition does not answer; the first retransmission of a
   lost opening packet comes after 1 s.  */
#define LINK_CONNECT_TIMEOUT_US 1500000

/* Types */

struct link_row
{
  uint64_t id;
  struct link_set *set;
  struct bufferevent *bev;
  bool connected;
};

/* Internal functions */

static void
remove_row (struct link_row *row)
{
  bufferevent_free (row->bev);
  table_remove (&row->set->links, row->id);
}

static void
close_row (struct link_row *row)
{
  struct link_set *set = row->set;
  uint64_t id = row->id;
  bool connected = row->connected;

  remove_row (row);
  set->ops->on_close (set->owner, id, connected);
}

/* The owner may close the link while it handles a frame.  */
static void
on_readable (struct bufferevent *bev, void *data)
{
  struct link_row *row = data;
  struct link_set *set = row->set;
  uint64_t id = row->id;

  while (table_get (&set->links, id) != NULL)
    {
      struct str payload;
      enum frame_state state = frame_take (bufferevent_get_input (bev),
                                           WIRE_FRAME_MAX_BYTES, &payload);

      if (state == FRAME_PARTIAL)
        return;
      if (state == FRAME_INVALID)
        {
          close_row (row);
          return;
        }
      set->ops->on_frame (set->owner, id, payload);
      str_free (&payload);
    }
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  struct link_row *row = data;

  if (what & BEV_EVENT_CONNECTED)
    {
      row->connected = true;
      bufferevent_set_timeouts (bev, NULL, NULL);
      sock_set_options (bufferevent_getfd (bev));
      return;
    }
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    close_row (row);
}

static struct link_row *
add_row (struct link_set *set, evutil_socket_t fd)
{
  struct link_row *row;
  uint64_t id = table_add (&set->links, (void **)&row);

  row->id = id;
  row->set = set;
  row->bev = bufferevent_socket_new (
      set->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (row->bev, on_readable, NULL, on_event, row);
  bufferevent_enable (row->bev, EV_READ | EV_WRITE);
  return row;
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int len, void *data)
{
  struct link_set *set = data;
  struct link_row *row;

  if (set->links.count >= set->links_max)
    {
      evutil_closesocket (fd);
      return;
    }
  sock_set_options (fd);
  row = add_row (set, fd);
  row->connected = true;
}

/* Public functions */

void
link_init_set (struct link_set *set, struct event_base *base,
               const struct link_ops *ops, void *owner)
{
  *set = (struct link_set){ .base = base,
                            .ops = ops,
                            .owner = owner,
                            .links_max = LINK_ACCEPTED_MAX,
                            .pending_max_bytes = LINK_PENDING_MAX_BYTES };
  table_init (&set->links, sizeof (struct link_row));
}

void
link_close_set (struct link_set *set)
{
  struct link_row *row;

  link_stop_listening (set);
  for (uint64_t id = table_next (&set->links, 0, (void **)&row); id != 0;
       id = table_next (&set->links, id, (void **)&row))
    remove_row (row);
  table_close (&set->links);
}

/**
 * link_listen - accepts links
 * @set: links
 * @address: IP address
 * @port: TCP port
 *
 * Return: false if the port is taken or the address is no IP address.
 */
bool
link_listen (struct link_set *set, struct str address, uint16_t port)
{
  struct sockaddr_storage storage;
  int len;

  if (!sock_parse_address (address, port, &storage, &len))
    return false;
  set->listener = evconnlistener_new_bind (
      set->base, on_accept, set,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      LINK_BACKLOG, (struct sockaddr *)&storage, len);
  return set->listener != NULL;
}

void
link_stop_listening (struct link_set *set)
{
  if (set->listener != NULL)
    evconnlistener_free (set->listener);
  set->listener = NULL;
}

/**
 * link_connect - begins to connect to a daemon
 * @set: links
 * @address: IP address
 * @port: TCP port
 *
 * Return: the link's id, usable at once; on_close follows if it fails.  0 if
 * the address is no IP address or no socket could be had.
 */
uint64_t
link_connect (struct link_set *set, struct str address, uint16_t port)
{
  struct timeval wait = { LINK_CONNECT_TIMEOUT_US / CLOCK_US_PER_S,
                          LINK_CONNECT_TIMEOUT_US % CLOCK_US_PER_S };
  struct sockaddr_storage storage;
  struct link_row *row;
  int len;

  if (!sock_parse_address (address, port, &storage, &len))
    return 0;
  row = add_row (set, -1);
  bufferevent_set_timeouts (row->bev, NULL, &wait);
  if (bufferevent_socket_connect (row->bev, (struct sockaddr *)&storage, len)
      != 0)
    {
      remove_row (row);
      return 0;
    }
  return row->id;
}

bool
link_send (struct link_set *set, uint64_t link, struct str frames)
{
  struct link_row *row = table_get (&set->links, link);

  if (row == NULL)
    return false;
  bufferevent_write (row->bev, frames.data, frames.len);
  if (link_get_pending (set, link) <= set->pending_max_bytes)
    return true;
  close_row (row);
  return false;
}

void
link_disconnect (struct link_set *set, uint64_t link)
{
  struct link_row *row = table_get (&set->links, link);

  if (row != NULL)
    remove_row (row);
}

void
link_fail (struct link_set *set, uint64_t link)
{
  struct link_row *row = table_get (&set->links, link);

  if (row != NULL)
    close_row (row);
}

bool
link_is_open (const struct link_set *set, uint64_t link)
{
  return table_get (&set->links, link) != NULL;
}

size_t
link_get_pending (const struct link_set *set, uint64_t link)
{
  struct link_row *row = table_get (&set->links, link);

  return row == NULL ? 0
                     : evbuffer_get_length (bufferevent_get_output (row->bev));
}
