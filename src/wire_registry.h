/* wire_registry: the messages between control threads that synchronize the
   daemon registry, the configuration and the token pools, and their msgpack
   encoding.

   The state of a daemon is defined in daemon_registry.h, the demands in it and
   the owners of token pools in rate_share.h.  Decoded strings are views into
   the frame and are valid as long as it is; the demands of a decoded state are
   freed with wire_registry_unload.  */

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
  WIRE_REGISTRY_CONFIG = 72,         /* the configuration in force */
  WIRE_REGISTRY_TOKEN_REQUEST = 73,  /* request to a pool's owner */
  WIRE_REGISTRY_GRANT = 74           /* answer to a token request */
};

struct wire_registry_config
{
  uint64_t revision;
  struct str bytes; /* the stored object, unchanged */
};

struct wire_registry_token_request
{
  uint64_t sequence; /* copied into the answer */
  struct str workspace;
  uint32_t requested; /* tokens */
  uint32_t returned;  /* unspent tokens of earlier grants by the same owner */
};

struct wire_registry_grant
{
  uint64_t sequence; /* of the token request */
  uint64_t owner;    /* member id of the pool's owner */
  struct str workspace;
  /* tokens, valid for RATE_SHARE_GRANT_VALIDITY_US after the request was sent */
  uint32_t granted;
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
