/* control_config: component of the control thread that keeps the configuration
   of this daemon current.

   A watcher, one of the MEMBER_WATCHERS daemons of a failure domain that read
   the platform, gets changes from there.  The other daemons get them by
   gossip.  A daemon whose peers no longer keep the changes that it lacks
   fetches a snapshot from one of them: the complete configuration at one
   revision.  */

#ifndef ALMONDVALE_CONTROL_CONFIG_H
#define ALMONDVALE_CONTROL_CONFIG_H

#include "control.h"
#include "journal.h"
#include "object_store.h"

/* Types */

enum control_config_phase
{
  CONTROL_CONFIG_LOADING, /* reading the stored snapshot and the changes after
                             it */
  CONTROL_CONFIG_WATCHING /* waiting for new changes */
};

struct control_config
{
  struct object_store *store; /* client of the platform's object API, for the
                                 configuration; NULL without a platform */
  /* client for the shard leases of control_shard; separate, so that a pending
     watch does not delay the renewal of a lease */
  struct object_store *lease_store;
  enum control_config_phase phase;
  /* reads the stored snapshot and the changes; valid while journal_open is
     true */
  struct journal journal;
  bool journal_open;
  bool call_pending;         /* a call of `store` is in progress */
  int64_t call_sent_us;      /* time at which the last call was sent */
  int64_t next_call_us;      /* earliest time of the next call */
  int64_t started_us;        /* time at which this component was started */
  uint64_t platform_version; /* version of the platform's store from which the
                                next watch continues */
  uint64_t highest_revision; /* highest revision seen in the platform */
  bool apply_failed;         /* a change could not be applied; later ones are
                                not applied until the complete configuration is
                                loaded again */
  /* snapshot that is received from a peer; revision 0 if none */
  uint64_t incoming_revision;
  struct str_buf incoming_snapshot;
  /* snapshot that is sent to peers in parts; encoded when a peer requests the
     first part */
  uint64_t offered_revision;
  struct str_buf offered_snapshot;
};

/* State */

extern const struct control_component_ops control_config_ops;

/* Public functions */

/* requests the complete configuration from the peer on a link */
void control_config_pull_snapshot (struct control *c, uint64_t link);

#endif
