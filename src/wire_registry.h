/* wire_registry: the messages between control threads that synchronize the
   daemon registry, the configuration and the token pools, and their msgpack
   encoding.

   A token pool has all rate tokens of a workspace whose burst is too small to
   be split between the daemons; one daemon, its owner, grants them to the
   others (see rate_share.h).  The state of a daemon is defined in
   daemon_registry.h, the demands in it in rate_share.h.  Decoded strings are
   views into the frame and are valid as long as it is; the demands of a
   decoded state are freed with wire_registry_unload.  */

#ifndef ALMONDVALE_WIRE_REGISTRY_H
#define ALMONDVALE_WIRE_REGISTRY_H

#include "daemon_registry.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define WIRE_REGISTRY_DEMANDS_MAX 4096u

/* Types */

enum wire_registry_type
{
  WIRE_REGISTRY_STATE = 70,          /* state of the sender */
  WIRE_REGISTRY_CONFIG_REQUEST = 71, /* request for the configuration */
  WIRE_REGISTRY_CONFIG = 72,         /* the configuration in effect */
  WIRE_REGISTRY_TOKEN_REQUEST = 73,  /* request for tokens to the owner of a
                                        pool */
  WIRE_REGISTRY_GRANT = 74,          /* answer to a token request */
  /* to a daemon that does not know the stops of its earlier processes: those
     that the sender remembers */
  WIRE_REGISTRY_STOPS = 75
};

struct wire_registry_config
{
  uint64_t revision;
  struct str bytes; /* configuration object of the platform, as stored */
};

struct wire_registry_token_request
{
  uint64_t sequence; /* copied into the answer */
  struct str workspace;
  uint32_t requested; /* number of tokens */
  uint32_t returned;  /* unspent tokens of earlier grants by the same owner */
};

struct wire_registry_grant
{
  uint64_t sequence; /* sequence of the token request */
  uint64_t owner;    /* member id of the pool's owner */
  struct str workspace;
  /* number of tokens, valid for RATE_SHARE_GRANT_VALIDITY_US from when the
     request was sent */
  uint32_t granted;
};

struct wire_registry_stops
{
  struct str name; /* of the daemon beside the backend server */
  struct backend_stops stops;
};

struct wire_registry_message
{
  enum wire_registry_type type;
  union
  {
    struct daemon_registry_state state;
    struct wire_registry_config config;
    struct wire_registry_token_request token_request;
    struct wire_registry_grant grant;
    struct wire_registry_stops stops;
  } u;
  void *zone; /* msgpack_zone of the decoded objects */
};

/* Public functions */

/* appends a message as one frame (length prefix and msgpack) */
void wire_registry_append (struct str_buf *out,
                           const struct wire_registry_message *m);
/* decodes one frame without its length prefix; false if malformed */
bool wire_registry_load (struct wire_registry_message *m, struct str frame);
/* frees what wire_registry_load allocated */
void wire_registry_unload (struct wire_registry_message *m);

#endif
