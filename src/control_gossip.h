/* control_gossip: glue between member, gossip and freshness and the control
   thread: UDP datagrams and TCP exchanges at the control port, endpoints,
   freshness.  */

#ifndef ALMONDVALE_CONTROL_GOSSIP_H
#define ALMONDVALE_CONTROL_GOSSIP_H

#include "control.h"
#include "gossip.h"

/* Types */

struct control_gossip
{
  struct member_table members;
  struct freshness fresh;
  struct gossip gossip;
  evutil_socket_t socket;
  struct event *readable;
  uint64_t backend_changes; /* of the control thread, announced here */
  bool leave_announced;
  bool watcher; /* of this failure domain */
  int64_t next_second_us;
  int64_t next_endpoints_us;
  uint64_t endpoints_digest; /* of the list published last */
  GHashTable *first_seen;    /* member of an endpoint -> int64_t time */
};

/* State */

extern const struct control_component_ops control_gossip_ops;

/* Public functions */

/* id of a process in snapshots, from its member id and incarnation */
uint64_t control_gossip_get_process (uint64_t id, uint64_t incarnation);
/* IP address as text; free with str_free */
struct str control_gossip_format_address (const struct member_address *a);

#endif
