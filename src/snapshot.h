/* snapshot: the immutable view of configuration and endpoints that traffic
   threads use.

   The control thread publishes a new snapshot.  A traffic thread gets a
   reference to it and uses it until a newer one is published.  */

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

/* One revision of the configuration, shared by the snapshots that use it.  */
struct snapshot_config
{
  struct refcount ref;
  struct inventory inventory;
  GHashTable *keys;        /* SHA-256 digest of a key -> row in `inventory` */
  struct route_map routes; /* path prefixes -> ids of routes without a host */
  struct route_map hosts;  /* host + path prefix -> ids of routes with a
                              host */
};

/* A daemon whose backend server accepts requests.  */
struct snapshot_endpoint
{
  uint64_t member;      /* id of the daemon's process in snapshots */
  struct str address;   /* IP address; owned */
  uint16_t peer_port;   /* TCP port for requests from other daemons */
  uint32_t domain;      /* low 32 bits of str_hash of the failure domain */
  struct str service;   /* owned */
  int64_t announced_us; /* local time at which the endpoint was first seen */
};

struct snapshot
{
  struct refcount ref;
  struct snapshot_config *config;
  uint32_t endpoints_len;
  struct snapshot_endpoint *endpoints;
};

/* Passes the current snapshot from the control thread to traffic threads.  */
struct snapshot_publisher
{
  GMutex mutex;
  struct snapshot *current;
  _Atomic uint64_t generation; /* number of snapshots published, by which a
                                  thread detects a newer one */
};

/* Public functions */

/* copies and indexes an inventory; the caller owns one reference */
struct snapshot_config *
snapshot_load_config (const struct inventory *inventory);
/* creates a snapshot with a copy of the endpoints and its own reference to the
   configuration; the caller owns one reference */
struct snapshot *snapshot_load (struct snapshot_config *config,
                                const struct snapshot_endpoint *endpoints,
                                uint32_t endpoints_len);
/* initializes a publisher without a snapshot */
void snapshot_init_publisher (struct snapshot_publisher *p);
/* releases the current snapshot and frees the mutex */
void snapshot_close_publisher (struct snapshot_publisher *p);
/* publishes a snapshot; takes over the caller's reference */
void snapshot_publish (struct snapshot_publisher *p, struct snapshot *s);
/* returns a new reference to the current snapshot, or NULL if there is none;
   can be called by any thread */
struct snapshot *snapshot_get (struct snapshot_publisher *p);
/* releases a reference; ignores NULL */
void snapshot_put (struct snapshot *s);
/* finds the route of a request; the errors are ERR_BAD_REQUEST,
   ERR_ROUTE_UNKNOWN and ERR_METHOD_NOT_ALLOWED */
enum err_kind snapshot_find_route (const struct snapshot_config *c,
                                   struct str method, struct str host,
                                   struct str path,
                                   const struct inventory_route **route);
/* returns the lookup of keys that auth_check uses; valid as long as `s` */
struct auth_lookup snapshot_get_key_lookup (struct snapshot *s);

#endif
