/* control_registry: glue between daemon_registry, rate_share and object_store
   and the control thread.

   A daemon finds the others in the store at its start and tells them its state
   from then on, so that they find it without reading the store again.  The
   configuration is one object of the store; each daemon watches it, and
   daemons whose configuration is older than a peer's ask that peer.  */

#ifndef ALMONDVALE_CONTROL_REGISTRY_H
#define ALMONDVALE_CONTROL_REGISTRY_H

#include "control.h"
#include "daemon_registry.h"
#include "object_store.h"

/* Types */

/* Steps of entering the fleet, one call to the store each.  */
enum control_registry_phase
{
  CONTROL_REGISTRY_LISTING, /* reads who is there */
  CONTROL_REGISTRY_WRITING, /* writes where this daemon is */
  CONTROL_REGISTRY_JOINED
};

struct control_registry
{
  struct daemon_registry registry;
  struct object_store *store;
  enum control_registry_phase phase;
  bool listed;             /* the list was read once */
  bool own_object_current; /* this daemon's own object is as it should be */
  bool call_pending;       /* a call of entering is under way */
  int64_t join_retry_us;   /* of the next call of entering */
  /* configuration */
  bool read_pending;        /* a read or watch is under way */
  bool needs_read;          /* read the object before watching */
  uint64_t store_version;   /* to watch from */
  int64_t config_retry_us;  /* no read before */
  uint32_t config_failures; /* in a row */
  struct str config;        /* owned; bytes of the configuration in force */
  uint64_t newer_member;    /* that told of a newer configuration */
  uint64_t newer_revision;
  int64_t newer_request_us; /* when it is asked for it */
  /* state */
  int64_t next_state_us; /* next message to all */
  uint64_t backend_changes;
  bool leaving_announced;
  bool members_changed;   /* endpoints and owners are to be found anew */
  int64_t next_check_us;  /* when they are, without a change that was told */
  uint64_t owners_digest; /* of what the owners were found from; 0: none */
  bool demands_changed;   /* of other daemons, not applied yet */
  uint64_t endpoints_digest;
};

/* State */

extern const struct control_component_ops control_registry_ops;

#endif
