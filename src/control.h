/* control: the thread that owns all control state.

   Runs its systems each tick and after each batch of events.  The glue
   between one decision module and I/O is a node: a table of function pointers
   in src/node_*.c.  */

#ifndef ALMONDVALE_CONTROL_H
#define ALMONDVALE_CONTROL_H

#include "daemon_context.h"
#include "inventory.h"
#include "loop.h"
#include "peer_link.h"
#include "thread_message.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>

/* Types */

struct control;

struct control_component_ops
{
  const char *name;
  /* sets up c's pointer to the node; false with an error if that fails */
  bool (*init) (struct control *c, GError **error);
  void (*close) (struct control *c);
  /* a frame of a control link; true if its type is this node's */
  bool (*on_frame) (struct control *c, uint64_t link, uint32_t type,
                    struct str frame);
  /* a control link is gone */
  void (*on_link_close) (struct control *c, uint64_t link);
  /* a thread message of a front; messages are freed by the control thread */
  void (*on_message) (struct control *c, const struct thread_message *n);
  /* systems of the node, each tick and after each batch of events */
  void (*run) (struct control *c, int64_t now_us);
  /* adds members to the status object */
  void (*append_status) (struct control *c, JsonBuilder *b);
};

enum control_backend
{
  CONTROL_BACKEND_NONE,
  CONTROL_BACKEND_SERVING,
  CONTROL_BACKEND_DRAINING,
  CONTROL_BACKEND_LEAVING
};

/* Control link to another daemon.  */
struct control_peer
{
  uint64_t member;
  uint64_t link;
};

struct control
{
  const struct control_component_ops *const *components; /* NULL at the end */
  struct loop loop;
  struct daemon_context *shared;
  const struct settings *settings;
  struct peer_link_set links;
  struct table peers; /* struct control_peer */
  GHashTable *peer_by_member;
  /* configuration in force */
  struct inventory inventory;
  struct snapshot_config *config; /* copy of it, NULL before the first */
  bool config_changed;
  /* serving daemons, this one included; struct snapshot_endpoint */
  GArray *endpoints;
  bool endpoints_changed;
  /* the backend server beside this daemon */
  enum control_backend backend_state;
  struct thread_message_backend backend;
  uint64_t backend_changes; /* counts changes of the two members above */
  /* components */
  struct control_config *control_config;
  struct control_gossip *control_gossip;
  struct control_shard *control_shard;
  struct control_registry *control_registry;
  bool shutting_down;
  int64_t shutdown_at_us;  /* open requests are given up then */
  int64_t stop_serving_us; /* the others have heard of the leaving */
  bool listeners_stopped;
  bool leases_open; /* shards have to be released before the end */
  struct event *signals[2];
  struct event *hangup;
};

/* Public functions */

/* listens at the control port; false with an error if that fails */
bool control_init (struct control *c, struct daemon_context *shared,
                   const struct control_component_ops *const *components,
                   GError **error);
/* frees everything after the loop has ended */
void control_close (struct control *c);

/* for components */

/* sends whole frames to a daemon's control port; false if that cannot be
   tried; a broken link is told by on_link_close */
bool control_send (struct control *c, uint64_t member, struct str address,
                   uint16_t port, struct str frames);
/* member of a link opened by control_send, or 0 */
uint64_t control_get_peer (const struct control *c, uint64_t link);
/* link to a member, or 0 */
uint64_t control_get_link (const struct control *c, uint64_t member);
/* answers on a link */
bool control_reply (struct control *c, uint64_t link, struct str frames);
/* replaces the serving daemons; the strings are copied */
void control_set_endpoints (struct control *c,
                            const struct snapshot_endpoint *endpoints,
                            uint32_t len);
/* the inventory was changed; publishes it at the end of this round */
void control_set_config_changed (struct control *c);

#endif
