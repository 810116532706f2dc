/* control_config: component of the control thread that keeps the configuration
   of this daemon current.

   A watcher reads changes from the platform; the other daemons get them by
   gossip, or get a snapshot from a peer that no longer holds the changes they
   lack.  */

#ifndef ALMONDVALE_CONTROL_CONFIG_H
#define ALMONDVALE_CONTROL_CONFIG_H

#include "control.h"
#include "journal.h"
#include "object_store.h"

/* Types */

enum control_config_phase
{
  CONTROL_CONFIG_LOADING, /* reading the snapshot and the changes after it */
  CONTROL_CONFIG_WATCHING /* waiting for new changes */
};

struct control_config
{
  struct object_store *store; /* NULL without a platform */
  /* used by control_shard: separate, so that a pending watch does not delay
     the renewal of a lease */
  struct object_store *lease_store;
  enum control_config_phase phase;
  struct journal journal; /* valid while journal_open is true */
  bool journal_open;
  bool call_pending;         /* a call to the platform is in progress */
  int64_t call_sent_us;      /* when the last call was sent */
  int64_t next_call_us;      /* earliest time of the next call */
  int64_t started_us;        /* when this component was started */
  uint64_t platform_version; /* version of the platform's store up to which
                                changes are known */
  uint64_t highest_revision; /* highest revision seen in the platform */
  bool apply_failed;         /* a change could not be applied */
  /* snapshot being received from a peer */
  uint64_t incoming_revision;
  struct str_buf incoming_snapshot;
  /* snapshot being sent to peers, encoded when a peer requests its start */
  uint64_t offered_revision;
  struct str_buf offered_snapshot;
};

/* State */

extern const struct control_component_ops control_config_ops;

/* Public functions */

/* requests the whole configuration from the peer at the end of a link */
void control_config_pull_snapshot (struct control *c, uint64_t link);

#endif
