/* wire_registry: the messages between control threads that keep the registry
   and the configuration, and their msgpack encoding.

   Decoded strings are views into the frame.  */

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
  WIRE_REGISTRY_STATE = 70, /* a daemon tells its state */
  WIRE_REGISTRY_CONFIG_REQUEST
  = 71,                             /* the sender asks for the configuration */
  WIRE_REGISTRY_CONFIG = 72,        /* the configuration in force */
  WIRE_REGISTRY_TOKEN_REQUEST = 73, /* asks the owner of a pool for tokens */
  WIRE_REGISTRY_GRANT = 74          /* the owner's answer */
};

struct wire_registry_config
{
  uint64_t revision;
  struct str bytes; /* as the store holds it */
};

struct wire_registry_token_request
{
  uint64_t sequence; /* of the ask, repeated in the answer */
  struct str workspace;
  uint32_t requested; /* tokens */
  uint32_t returned;  /* tokens of earlier grants of the same owner */
};

struct wire_registry_grant
{
  uint64_t sequence;
  uint64_t owner; /* member id */
  struct str workspace;
  uint32_t granted; /* tokens, valid for RATE_SHARE_LOT_US from the ask on */
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
  void *zone; /* memory of the decoder */
};

/* Public functions */

/* appends the frame (length and msgpack) of a message */
void wire_registry_append (struct str_buf *out,
                           const struct wire_registry_message *m);
/* decodes the bytes of one frame without its length; false if malformed */
bool wire_registry_load (struct wire_registry_message *m, struct str frame);
/* frees what wire_registry_load allocated */
void wire_registry_unload (struct wire_registry_message *m);

#endif
