/* control: the control thread, which owns all control state: members,
   configuration, endpoints, leases.

   The thread runs its systems each tick and after each batch of events.  A
   component connects decision modules to I/O; it is a table of function
   pointers in its file, src/control_*.c.  */

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
  /* initializes the component; returns false and sets the error on failure */
  bool (*init) (struct control *c, GError **error);
  void (*close) (struct control *c);
  /* handles a frame of a control link; returns false if it is not for this
     component */
  bool (*on_frame) (struct control *c, uint64_t link, uint32_t type,
                    struct str frame);
  /* handles the end of a control link */
  void (*on_link_close) (struct control *c, uint64_t link);
  /* handles a message from a front; the caller frees it */
  void (*on_message) (struct control *c, const struct thread_message *message);
  /* runs the component's systems, each tick and after each batch of events */
  void (*run) (struct control *c, int64_t now_us);
  /* adds members to the JSON object that answers /almondvale/status */
  void (*append_status) (struct control *c, JsonBuilder *b);
};

enum control_backend
{
  CONTROL_BACKEND_NONE,
  CONTROL_BACKEND_SERVING,
  CONTROL_BACKEND_DRAINING,
  CONTROL_BACKEND_LEAVING
};

/* A control link that this daemon opened to another one.  */
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
  /* the configuration in effect */
  struct inventory inventory;
  struct snapshot_config *config; /* published copy, NULL before the first */
  bool config_changed;
  /* struct snapshot_endpoint of each serving daemon, this one included */
  GArray *endpoints;
  bool endpoints_changed;
  /* the backend server beside this daemon */
  enum control_backend backend_state;
  struct thread_message_backend backend;
  uint64_t backend_changes; /* number of changes of the two members above */
  /* components */
  struct control_config *control_config;
  struct control_gossip *control_gossip;
  struct control_shard *control_shard;
  struct control_registry *control_registry;
  bool shutting_down;
  int64_t shutdown_at_us;  /* the daemon ends then, even with open requests */
  int64_t stop_serving_us; /* the listeners are stopped then; by that time the
                              other daemons know that this one is leaving */
  bool listeners_stopped;
  bool leases_open; /* the daemon has not yet released all its shards */
  struct event *signals[2];
  struct event *hangup;
};

/* Public functions */

/* listens on the control port and initializes the components; returns false
   and sets the error on failure */
bool control_init (struct control *c, struct daemon_context *shared,
                   const struct control_component_ops *const *components,
                   GError **error);
/* frees the state after the loop has ended */
void control_close (struct control *c);

/* for components */

/* sends complete frames to a daemon's control port, on the existing link or a
   new one; returns false if no connection could be started; if the link fails
   later, on_link_close of the components is called */
bool control_send (struct control *c, uint64_t member, struct str address,
                   uint16_t port, struct str frames);
/* returns the member of a link that control_send opened, or 0 */
uint64_t control_get_peer (const struct control *c, uint64_t link);
/* returns the link to a member, or 0 */
uint64_t control_get_link (const struct control *c, uint64_t member);
/* sends complete frames on a link; returns false if it is closed */
bool control_reply (struct control *c, uint64_t link, struct str frames);
/* replaces the list of serving daemons; the strings are copied */
void control_set_endpoints (struct control *c,
                            const struct snapshot_endpoint *endpoints,
                            uint32_t len);
/* marks the inventory as changed; it is published at the end of this round of
   systems */
void control_set_config_changed (struct control *c);

#endif
