/* daemon_registry: the daemons of the fleet as this daemon knows them.

   Each daemon tells the others its state at an interval.  A member that is not
   heard for some intervals is no endpoint until it is heard again.  A daemon
   that starts again has a new member id; its state retires the old id at the
   same address.  A late state of the earlier process is told apart by the time of its
   start, unless the later process has fallen silent: the wall clock may have been
   set back.  Owned by the control thread.  */

#ifndef ALMONDVALE_DAEMON_REGISTRY_H
#define ALMONDVALE_DAEMON_REGISTRY_H

#include "rate_share.h"
#include "snapshot.h"
#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* State messages sent in one interval at most; larger fleets have a longer
   interval.  */
#define DAEMON_REGISTRY_MESSAGES_MAX 64u
#define DAEMON_REGISTRY_INTERVAL_US 1000000
/* Intervals without news after which a member is no endpoint.  */
#define DAEMON_REGISTRY_TIMEOUT_INTERVALS 3
/* A member that was not heard for so long is forgotten.  */
#define DAEMON_REGISTRY_EXPIRE_US 60000000

/* Types */

/* What a daemon tells about itself.  */
struct daemon_registry_state
{
  uint64_t member;    /* random, of this process */
  int64_t started_ms; /* wall-clock time of the process's start */
  struct str name;    /* of the daemon, stays over restarts */
  struct str address; /* IP address */
  uint16_t peer_port; /* TCP port of the request plane */
  uint16_t control_port;
  struct str domain;  /* failure domain */
  struct str service; /* of the backend server beside it, or empty */
  bool serving;       /* the backend server takes requests */
  bool leaving;       /* the daemon is shutting down */
  uint64_t revision;  /* of the configuration in force; 0: none */
  uint32_t demands_len;
  struct rate_share_demand *demands; /* of workspaces */
};

struct daemon_registry_member
{
  struct daemon_registry_state state; /* owns its strings and demands */
  bool state_received;                /* ever, or known from the store only */
  int64_t last_state_us;              /* last news, or when it was added */
  int64_t announced_us;               /* when it last began to serve */
};

struct daemon_registry
{
  struct table members;
  GHashTable *by_member; /* member id -> row id */
  GHashTable *retired;   /* member ids replaced by a later process */
  uint64_t self;
};

/* Public functions */

void daemon_registry_init (struct daemon_registry *r, uint64_t self);
void daemon_registry_close (struct daemon_registry *r);
/* a daemon has told its state; true if the endpoints may have changed */
bool daemon_registry_apply (struct daemon_registry *r,
                            const struct daemon_registry_state *state,
                            int64_t now_us);
/* a daemon is named by the store: one to be told of this daemon */
void daemon_registry_add (struct daemon_registry *r, struct str name,
                          struct str address, uint16_t control_port,
                          int64_t now_us);
/* row of a member id, or NULL */
struct daemon_registry_member *
daemon_registry_find (const struct daemon_registry *r, uint64_t member);
/* system: forgets members not heard for long; true if one was */
bool daemon_registry_run (struct daemon_registry *r, int64_t now_us);
/* interval of state messages for the size of the fleet */
int64_t daemon_registry_get_interval (const struct daemon_registry *r);
/* true if requests may be sent to the member's backend server */
bool daemon_registry_is_endpoint (const struct daemon_registry *r,
                                  const struct daemon_registry_member *m,
                                  int64_t now_us);
/* true if the member was heard in the last intervals */
bool daemon_registry_is_live (const struct daemon_registry *r,
                              const struct daemon_registry_member *m,
                              int64_t now_us);
/* member that owns what a hash names, this daemon included: the same at all
   daemons that hear the same members.  0 if this daemon hears less than half of
   the members it knows, since the others may then have another owner.  */
uint64_t daemon_registry_get_owner (const struct daemon_registry *r,
                                    struct str own_name, uint64_t hash,
                                    int64_t now_us);
/* changes when daemon_registry_get_owner() may give another owner */
uint64_t daemon_registry_get_owners_digest (const struct daemon_registry *r,
                                            int64_t now_us);
/* appends struct snapshot_endpoint; the strings are views of the members' */
void daemon_registry_append_endpoints (const struct daemon_registry *r,
                                       GArray *endpoints, int64_t now_us);

#endif
