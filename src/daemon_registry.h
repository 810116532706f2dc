/* daemon_registry: the daemons of the fleet as this daemon knows them.

   Each daemon sends its state to the others at an interval.  An endpoint is a
   member to whose backend server requests may be sent; a member whose state
   does not arrive for some intervals is no endpoint until its next state
   arrives.

   Each process of a daemon has a new member id.  The state of a restarted
   daemon retires the old id at the same address.  A late state of the earlier
   process is recognized by its start time and ignored.  It is accepted only if
   the later process has timed out: the wall clock was then probably set back,
   and the start times are in the wrong order.

   A member keeps the stops of its backend server (see backend_stops.h) for the
   next process of the same daemon, which asks for them while the store does
   not answer.  The registry is used by the control thread only.  */

#ifndef ALMONDVALE_DAEMON_REGISTRY_H
#define ALMONDVALE_DAEMON_REGISTRY_H

#include "backend_stops.h"
#include "evacuation.h"
#include "rate_share.h"
#include "snapshot.h"
#include "str.h"
#include "table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Limit of state messages a daemon sends in DAEMON_REGISTRY_INTERVAL_US; in
   larger fleets the interval is longer.  */
#define DAEMON_REGISTRY_MESSAGES_MAX 64u
#define DAEMON_REGISTRY_INTERVAL_US 1000000
/* Intervals without a state after which a member is no endpoint.  */
#define DAEMON_REGISTRY_TIMEOUT_INTERVALS 3
/* Number of daemons that read the configuration from the store; all daemons of
   a smaller fleet do.  Some may be cut off from the store, or from the others,
   without being noticed for some seconds, so there are several in each failure
   domain.  */
#define DAEMON_REGISTRY_WATCHERS 24u
/* Largest number of daemons that call the store while it rejects them.  */
#define DAEMON_REGISTRY_WATCHERS_MAX (3 * DAEMON_REGISTRY_WATCHERS)
/* Time in which a daemon that the store lists should send its first state.  */
#define DAEMON_REGISTRY_FIRST_STATE_US 500000
/* Number of removed members that are kept; the oldest one is dropped.  At 83
   failed VMs a day this is more than a month.  */
#define DAEMON_REGISTRY_DEPARTED_MAX 4096u
/* Time without a state after which a member is removed.  */
#define DAEMON_REGISTRY_EXPIRE_US 60000000

/* Types */

/* State that a daemon sends about itself.  */
struct daemon_registry_state
{
  uint64_t member;    /* random id of the process */
  int64_t started_ms; /* wall-clock start time of the process */
  struct str name;    /* of the daemon; the same after a restart */
  struct str address; /* IP address */
  uint16_t peer_port; /* TCP port for requests of other daemons */
  uint16_t control_port;
  struct str domain;   /* failure domain */
  struct str service;  /* of its backend server, or empty */
  bool serving;        /* the backend server accepts requests */
  bool leaving;        /* the daemon is shutting down */
  bool store_failed;   /* its last call to the store failed */
  uint64_t revision;   /* of the configuration in effect; 0: none */
  uint64_t era;        /* highest era of the store that it has heard of */
  uint64_t entry_era;  /* era whose store is known to have its entry */
  bool store_restored; /* it has heard of the era only lately */
  uint32_t live;       /* number of live daemons it knows, itself included */
  bool stops_known;    /* `stops` has those of earlier processes too */
  struct backend_stops stops; /* of its backend server */
  /* store revision of `evacuated`; 0: nothing is known */
  uint64_t evacuation_revision;
  struct evacuation_domains evacuated; /* not kept in the registry */
  uint32_t demands_len;
  struct rate_share_demand *demands; /* one for each workspace */
};

struct daemon_registry_member
{
  /* owns its strings, stops and demands; the stops are those of an earlier
     process until the member knows them itself */
  struct daemon_registry_state state;
  bool state_received;   /* false: known from the store only */
  int64_t last_state_us; /* when the last state arrived, or when
                                         the row was added */
  int64_t announced_us;  /* when its backend server was last
                                         announced as serving */
  /* repair of its entry in the store by this daemon, see registry_era.h */
  uint64_t repair_era;   /* era for which the following hold */
  int64_t repair_due_us; /* when this daemon looks for the entry */
  bool repaired;         /* the entry is in the store */
};

struct daemon_registry
{
  struct table members;
  GHashTable *by_member; /* member id -> row id */
  GHashTable *retired;   /* set of member ids of replaced processes */
  struct table departed; /* struct daemon_registry_member; removed members
                            that sent a state, kept if `keeps_departed` */
  bool keeps_departed;
  uint64_t self;     /* member id of this process */
  bool self_leaving; /* this daemon has announced that it leaves */
};

/* Public functions */

void daemon_registry_init (struct daemon_registry *r, uint64_t self);
void daemon_registry_close (struct daemon_registry *r);
/* applies a received state; returns true if the endpoints may have changed */
bool daemon_registry_apply (struct daemon_registry *r,
                            const struct daemon_registry_state *state,
                            int64_t now_us);
/* adds a daemon that the store lists, so that this daemon's state is sent to
   it */
void daemon_registry_add (struct daemon_registry *r, struct str name,
                          struct str address, uint16_t control_port,
                          int64_t now_us);
/* returns the row of a member id, or NULL */
struct daemon_registry_member *
daemon_registry_find (const struct daemon_registry *r, uint64_t member);
/* system: removes members that sent no state for DAEMON_REGISTRY_EXPIRE_US;
   returns true if there was one */
bool daemon_registry_run (struct daemon_registry *r, int64_t now_us);
/* returns the row of a member id among the members or the departed, or NULL */
struct daemon_registry_member *
daemon_registry_find_any (const struct daemon_registry *r, uint64_t member);
/* returns the interval of state messages for the size of the fleet */
int64_t daemon_registry_get_interval (const struct daemon_registry *r);
/* returns true if requests may be sent to the member's backend server */
bool daemon_registry_is_endpoint (const struct daemon_registry *r,
                                  const struct daemon_registry_member *m,
                                  int64_t now_us);
/* returns true if the member's state arrived in the last intervals */
bool daemon_registry_is_live (const struct daemon_registry *r,
                              const struct daemon_registry_member *m,
                              int64_t now_us);
/* returns the member, possibly this daemon, that owns the pool with a hash; a
   pool is the token bucket of a workspace whose burst is too small to be split
   among the daemons.  All daemons with the same live members get the same
   owner.  Returns 0 if fewer than half of the known members are live, since
   the other half could then have another owner.  */
uint64_t daemon_registry_get_owner (const struct daemon_registry *r,
                                    struct str own_name, uint64_t hash,
                                    int64_t now_us);
/* returns a digest; while it is unchanged, daemon_registry_get_owner() returns
   the same owners */
uint64_t daemon_registry_get_owners_digest (const struct daemon_registry *r,
                                            int64_t now_us);
/* returns the number of live members, this daemon included */
uint32_t daemon_registry_count_live (const struct daemon_registry *r,
                                     int64_t now_us);
/* returns the number of members that have sent no state */
uint32_t daemon_registry_count_unheard (const struct daemon_registry *r);
/* returns true if this daemon is one of the DAEMON_REGISTRY_WATCHERS that read
   the configuration from the store */
bool daemon_registry_is_watcher (const struct daemon_registry *r,
                                 struct str own_name, int64_t now_us);
/* returns a member that has a configuration of this revision or a later one,
   preferably in a failure domain, or NULL; `random` chooses among several */
struct daemon_registry_member *
daemon_registry_find_revision (const struct daemon_registry *r,
                               uint64_t revision, struct str domain,
                               uint32_t random, int64_t now_us);
/* appends a struct snapshot_endpoint for each endpoint; their strings are
   views */
void daemon_registry_append_endpoints (const struct daemon_registry *r,
                                       GArray *endpoints, int64_t now_us);

#endif
