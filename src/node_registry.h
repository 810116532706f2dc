/* node_registry: glue between the registry, the shares and the store and the
   control thread.

   A daemon finds the others in the store at its start and tells them its state
   from then on, so that they find it without reading the store again.  The
   configuration is one object of the store; each daemon watches it, and
   daemons whose configuration is older than a peer's ask that peer.  */

#ifndef ALMONDVALE_NODE_REGISTRY_H
#define ALMONDVALE_NODE_REGISTRY_H

#include "control.h"
#include "registry.h"
#include "store.h"

/* Types */

/* Steps of entering the fleet, one call to the store each.  */
enum node_registry_phase
{
  NODE_REGISTRY_LISTING, /* reads who is there */
  NODE_REGISTRY_WRITING, /* writes where this daemon is */
  NODE_REGISTRY_ENTERED
};

struct node_registry
{
  struct registry registry;
  struct store *store;
  enum node_registry_phase phase;
  bool listed;      /* the list was read once */
  bool own_listed;  /* this daemon's own object is as it should be */
  bool calling;     /* a call of entering is under way */
  int64_t retry_us; /* of the next call of entering */
  /* configuration */
  bool reading;             /* a read or watch is under way */
  bool must_get;            /* read the object before watching */
  uint64_t store_version;   /* to watch from */
  int64_t config_retry_us;  /* no read before */
  uint32_t config_failures; /* in a row */
  struct str config;        /* owned; bytes of the configuration in force */
  uint64_t newer_member;    /* that told of a newer configuration */
  uint64_t newer_revision;
  int64_t newer_us; /* when it is asked for it */
  /* state */
  int64_t tell_us; /* next message to all */
  uint64_t backend_changes;
  bool leaving_told;
  bool members_changed;   /* endpoints and owners are to be found anew */
  int64_t check_us;       /* when they are, without a change that was told */
  uint64_t owners_digest; /* of what the owners were found from; 0: none */
  bool demands_changed;   /* of other daemons, not applied yet */
  uint64_t endpoints_digest;
};

/* State */

extern const struct control_node_ops node_registry_ops;

#endif
