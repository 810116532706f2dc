/* snapshot: the immutable view of configuration and endpoints that traffic
   threads use.

   The control thread publishes a new snapshot; a traffic thread takes a
   reference and keeps it until it sees a newer one.  */

#ifndef ALMONDVALE_SNAPSHOT_H
#define ALMONDVALE_SNAPSHOT_H

#include "auth.h"
#include "inventory.h"
#include "refcount.h"
#include "route.h"
#include "str.h"

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

/* One revision of the configuration, shared by the snapshots made of it.  */
struct snapshot_config
{
  struct refcount ref;
  struct inventory inventory;
  GHashTable *keys;        /* SHA-256 digest -> struct inventory_key */
  struct route_map routes; /* to row ids of the inventory's routes */
  struct route_map hosts;  /* of the routes that name a host */
};

/* A serving daemon whose backend server takes requests.  */
struct snapshot_endpoint
{
  uint64_t member;      /* of this process of the daemon */
  struct str address;   /* IP address; owned */
  uint16_t peer_port;   /* TCP port of the request plane */
  uint32_t domain;      /* str_hash of the failure domain, cut */
  struct str service;   /* owned */
  int64_t announced_us; /* when it was first seen here */
};

struct snapshot
{
  struct refcount ref;
  struct snapshot_config *config;
  uint32_t endpoints_len;
  struct snapshot_endpoint *endpoints;
};

/* Where the control thread publishes.  */
struct snapshot_publisher
{
  GMutex mutex;
  struct snapshot *current;
  _Atomic uint64_t generation; /* number of publications */
};

/* Public functions */

/* copies an inventory; one reference for the caller */
struct snapshot_config *
snapshot_load_config (const struct inventory *inventory);
/* takes over a copy of the endpoints and a reference to the configuration */
struct snapshot *snapshot_load (struct snapshot_config *config,
                                const struct snapshot_endpoint *endpoints,
                                uint32_t endpoints_len);
/* no snapshot yet */
void snapshot_init_publisher (struct snapshot_publisher *b);
/* drops the current snapshot */
void snapshot_close_publisher (struct snapshot_publisher *b);
/* makes a snapshot the current one; takes over the caller's reference */
void snapshot_publish (struct snapshot_publisher *b, struct snapshot *s);
/* a reference to the current snapshot, or NULL; any thread */
struct snapshot *snapshot_get (struct snapshot_publisher *b);
/* lets go of a reference; NULL is ignored */
void snapshot_put (struct snapshot *s);
/* route of a request; BAD_REQUEST, ROUTE_UNKNOWN or METHOD_NOT_ALLOWED */
enum err_kind snapshot_find_route (const struct snapshot_config *c,
                                   struct str method, struct str host,
                                   struct str path,
                                   const struct inventory_route **route);
/* look-up of keys for auth_check */
struct auth_lookup snapshot_get_key_lookup (struct snapshot *s);

#endif
