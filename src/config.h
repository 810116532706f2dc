/* config: compile-time switches.  */

#ifndef ALMONDVALE_CONFIG_H
#define ALMONDVALE_CONFIG_H

/* Constants */

/* Time between the announcement that a daemon leaves and its refusal of new
   requests: the others hear it within a few gossip rounds.  */
#ifndef CONFIG_LEAVE_NOTICE_US
#define CONFIG_LEAVE_NOTICE_US 2000000
#endif

/* Nodes of the control thread, in the order in which they run.  */
#define CONFIG_NODES                                                          \
  {                                                                           \
    &node_static_ops, &node_gossip_ops, &node_config_ops, &node_shard_ops,    \
        NULL                                                                  \
  }

#include "node_config.h"
#include "node_gossip.h"
#include "node_shard.h"
#include "node_static.h"

#endif
