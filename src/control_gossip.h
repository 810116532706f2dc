/* control_gossip: the component that connects member, gossip and freshness to
   the control thread.

   Sends and receives UDP datagrams and TCP frames on the control port, and
   publishes the endpoints (the daemons with a serving backend server) and the
   time until which keyed routes, those that require an API key, are
   served.  */

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
  uint64_t backend_changes; /* control.backend_changes at the last
                               announcement */
  bool leave_announced;
  bool watcher; /* this daemon reads the platform for its failure domain */
  int64_t next_second_us;
  int64_t next_endpoints_us;
  uint64_t endpoints_digest; /* of the last published list */
  GHashTable *first_seen;    /* process of an endpoint -> int64_t time in us */
};

/* State */

extern const struct control_component_ops control_gossip_ops;

/* Public functions */

/* returns the id that identifies one process of a daemon in snapshots */
uint64_t control_gossip_get_process (uint64_t id, uint64_t incarnation);
/* returns an IP address as text; free it with str_free */
struct str control_gossip_format_address (const struct member_address *a);

#endif
