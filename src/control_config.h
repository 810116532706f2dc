/* control_config: glue between the platform's changes, the inventory in force
   and the control thread.

   A watcher reads the platform; the others get changes by gossip, or a
   snapshot from a peer when they are far behind.  */

#ifndef ALMONDVALE_CONTROL_CONFIG_H
#define ALMONDVALE_CONTROL_CONFIG_H

#include "control.h"
#include "journal.h"
#include "object_store.h"

/* Types */

enum control_config_phase
{
  CONTROL_CONFIG_LOADING, /* reads the snapshot and the changes after it */
  CONTROL_CONFIG_WATCHING /* waits for new changes */
};

struct control_config
{
  struct object_store *store; /* NULL without a platform */
  struct object_store
      *lease_store; /* of control_shard, so that a watch that waits
                                does not delay a renewal */
  enum control_config_phase phase;
  struct journal journal; /* while loading */
  bool journal_open;      /* the journal has begun */
  bool call_pending;      /* a call is under way */
  int64_t call_sent_us;   /* when it was sent */
  int64_t next_call_us;   /* no call before this time */
  int64_t started_us;
  uint64_t
      platform_version; /* of the platform, up to which changes are known */
  uint64_t
      highest_revision; /* highest revision seen in the platform */
  bool apply_failed;    /* a change could not be applied */
  /* snapshot from a peer */
  uint64_t incoming_revision;
  struct str_buf incoming_snapshot;
  /* snapshot for peers, made when first asked for */
  uint64_t offered_revision;
  struct str_buf offered_snapshot;
};

/* State */

extern const struct control_node_ops control_config_ops;

/* Public functions */

/* asks the peer at the end of a link for a snapshot */
void control_config_pull_snapshot (struct control *c, uint64_t link);

#endif
