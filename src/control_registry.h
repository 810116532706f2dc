/* control_registry: the component that connects daemon_registry, rate_share
   and object_store to the control thread.

   When a daemon starts, it reads the list of the other daemons from the store
   (the platform's object store).  From then on it sends them its state, so
   that they learn of it without reading the store again.  The configuration is
   one object of the store, which some daemons watch.  A daemon whose
   configuration is older than a peer's requests the newer one from a peer.  */

#ifndef ALMONDVALE_CONTROL_REGISTRY_H
#define ALMONDVALE_CONTROL_REGISTRY_H

#include "control.h"
#include "daemon_registry.h"
#include "evacuation.h"
#include "object_store.h"
#include "store_era.h"

/* Constants */

/* Keys of the daemons' entries in the store begin with it.  */
#define CONTROL_REGISTRY_PREFIX STR_LIT ("almondvale-daemons/")

/* Types */

/* Steps of joining the fleet, each with one call to the store.  */
enum control_registry_phase
{
  CONTROL_REGISTRY_LISTING,  /* lists the objects of all daemons */
  CONTROL_REGISTRY_WRITING,  /* writes this daemon's object: its address and
                               the stops of its backend server */
  CONTROL_REGISTRY_CHECKING, /* reads this daemon's object after the store was
                                restored */
  CONTROL_REGISTRY_JOINED
};

/* Entry of another daemon that this one writes again.  */
struct control_registry_repair
{
  bool pending;         /* a call is pending */
  uint64_t member;      /* its member id; 0: none */
  uint64_t era;         /* in which the entry is written */
  uint64_t version_era; /* of the version in the pending call */
  int64_t retry_us;     /* earliest time of the next call */
  uint64_t written;     /* number of entries written */
};

/* State of the repair after a restore, see registry_era.h.  */
struct control_registry_era
{
  struct store_era store;
  uint64_t own_era;    /* of own_version */
  uint64_t write_era;  /* of the version in the pending write of the own
                          object, or STORE_ERA_ANY */
  uint64_t list_era;   /* of the pages listed so far, or STORE_ERA_ANY */
  uint64_t config_era; /* of store_version */
  uint64_t watches;    /* number of watches made */
  uint64_t entry_era;  /* the store of this era has the own object */
  int64_t raised_us;   /* when this process heard of the era */
  int64_t recheck_us;  /* when the own object is read once more; 0: never */
  struct store_era_start start;
  bool stops_held;         /* the stops of the store are not published yet */
  struct str config_held;  /* owned; configuration of the store, not applied */
  bool partial;            /* a live daemon knows of more than this one */
  uint32_t live_elsewhere; /* largest number of live daemons another knows */
  int64_t next_run_us;     /* of the repair */
  struct control_registry_repair repair;
};

/* What registry_evacuation knows.  */
struct registry_evacuation
{
  struct evacuation known_set;
  bool known;             /* it is binding: from the store, or from other
                              daemons while the store fails */
  bool pending;           /* a list or watch is pending */
  bool needs_list;        /* list before watching */
  bool watching;          /* control_registry.watching at the last run */
  uint64_t store_version; /* the next watch reports changes after it */
  uint64_t store_era;     /* of store_version */
  int64_t asked_us;       /* when the last list or watch began */
  int64_t retry_us;       /* earliest time of the next call */
  uint32_t failures;      /* consecutive failures */
  int64_t heard_us;       /* when another daemon first told; 0: none did */
  bool notified;          /* the serve thread knows notified_evacuated */
  bool notified_evacuated;
};

struct control_registry
{
  struct daemon_registry registry;
  struct object_store *store;
  enum control_registry_phase phase;
  bool listed;             /* the daemons were listed once */
  struct str listed_to;    /* owned; last key of the pages listed so far */
  uint32_t listed_pages;   /* number of them */
  bool join_failed;        /* the last call for joining failed */
  bool own_object_current; /* the store has this daemon's address */
  bool call_pending;       /* a store call for joining is pending */
  int64_t join_retry_us;   /* earliest time of the next such call */
  uint64_t own_version;    /* of this daemon's object; 0: there is none */
  uint32_t write_failures; /* consecutive failed writes of it */
  /* stops of the backend server, see registry_stops.h */
  struct backend_stops stops;   /* owned */
  struct backend_stops stored;  /* owned; in the object in the store */
  struct backend_stops written; /* owned; in the value of the pending put */
  bool stops_known;             /* those of earlier processes are in `stops` */
  bool stops_unsaved;           /* the store lacks one of `stops` */
  int64_t stops_received_us;    /* when another daemon first sent them; 0:
                                   none did */
  struct control_registry_era era;
  /* configuration */
  bool read_pending;        /* a read or watch is pending */
  bool needs_read;          /* read the object before watching */
  uint64_t store_version;   /* the next watch reports changes after it */
  int64_t config_retry_us;  /* earliest time of the next read */
  uint32_t config_failures; /* consecutive failures */
  struct str config;        /* owned; bytes of the configuration in effect */
  bool watching;            /* this daemon watches the configuration */
  uint64_t newer_revision;  /* newest revision that a member has */
  int64_t newer_seen_us;    /* when its first state arrived */
  int64_t newer_request_us; /* when that configuration is requested */
  struct registry_evacuation evacuation;
  /* state messages and members */
  int64_t next_state_us;    /* time of the next state to all members */
  uint64_t backend_changes; /* control.backend_changes at the last
                               announcement */
  bool leaving_announced;
  bool members_changed;      /* endpoints and pool owners must be updated */
  int64_t next_check_us;     /* when they are updated even without a change */
  uint64_t owners_digest;    /* of the members that own pools; 0: set again */
  bool demands_changed;      /* demands of other daemons must be applied */
  uint64_t endpoints_digest; /* of the published endpoints */
};

/* Public functions */

/* Appends the entry of a daemon as JSON.  */
void control_registry_append_entry (struct str address, uint16_t port,
                                    const struct backend_stops *stops,
                                    struct str_buf *out);
/* Parses the address and the port of an entry; the address is owned.  Returns
   false if the text is anything else.  */
bool control_registry_parse_entry (struct str text, struct str *address,
                                   uint16_t *port);
/* Uses this daemon's own entry as the store has it.  */
void control_registry_load_own (struct control *c,
                                const struct object_store_object *o);

/* State */

extern const struct control_component_ops control_registry_ops;

#endif
