/* wire_shard: the messages between a daemon and the holder of a shard, and
   between a holder and its candidates, and their msgpack encoding.

   A shard is a part of the workspaces and idempotency keys.  Its holder, the
   daemon that has the lease of the shard, grants rate tokens and registers
   keys.  Shards, holders, candidates, epochs and promises are defined in
   lease.h, grants of tokens in token_bucket.h, keys and outcomes in
   idempotency.h.  Decoded strings are views into the frame and are valid as
   long as it is.  */

#ifndef ALMONDVALE_WIRE_SHARD_H
#define ALMONDVALE_WIRE_SHARD_H

#include "idempotency.h"
#include "lease.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define WIRE_SHARD_NAME_MAX_BYTES 256u

/* Types */

enum wire_shard_type
{
  WIRE_TOKEN_REQUEST = 40,
  WIRE_TOKENS = 41,
  WIRE_REGISTER = 50,
  WIRE_REGISTERED = 51,
  WIRE_COMPLETE = 52,
  WIRE_PROMISE_REQUEST = 60,
  WIRE_PROMISE = 61,
  WIRE_HOLDER_REQUEST = 62,
  WIRE_HOLDER = 63
};

struct wire_token_request
{
  struct str workspace;
  uint32_t waiting;        /* requests that wait for a token */
  uint32_t demand;         /* tokens requested beyond those of `waiting` */
  uint32_t returned;       /* unspent tokens that are returned */
  uint64_t returned_epoch; /* epoch of the grant of these tokens */
  uint64_t sequence;       /* copied into the answer */
};

struct wire_tokens
{
  struct str workspace;
  uint32_t count;       /* tokens granted */
  uint32_t validity_ms; /* counted from the time at which WIRE_TOKEN_REQUEST
                           was sent */
  uint64_t epoch;
  uint64_t sequence; /* sequence of the WIRE_TOKEN_REQUEST */
  bool is_holder;    /* false if the sender does not hold the shard */
};

struct wire_register
{
  uint64_t request_id; /* copied into the answer */
  struct idempotency_key key;
  /* hash of the request, to detect another request with the same key */
  uint64_t fingerprint;
  struct idempotency_attempt attempt;
  int64_t timeout_us; /* time left until the attempt has certainly ended */
};

struct wire_registered
{
  uint64_t request_id; /* request_id of the WIRE_REGISTER */
  enum idempotency_result result;
  struct str outcome; /* set if result is IDEMPOTENCY_ALREADY_DONE */
};

struct wire_complete
{
  struct idempotency_key key;
  struct idempotency_attempt attempt;
  bool not_run; /* the attempt did not run, so the key can be used again */
  struct str outcome;
};

struct wire_promise_request
{
  uint32_t shard;
  uint64_t epoch;
  uint64_t request_id; /* copied into the answer */
  struct lease_daemon requester;
};

struct wire_promise
{
  uint32_t shard;
  uint64_t epoch;
  uint64_t request_id; /* request_id of the WIRE_PROMISE_REQUEST */
  struct lease_daemon candidate;
  uint32_t promise_ms; /* duration of the promise; 0 if the candidate makes
                          none */
  uint32_t age_ms;     /* time since the candidate's process started */
};

struct wire_holder_request
{
  uint32_t shard;
};

struct wire_holder
{
  uint32_t shard;
  uint64_t epoch;
  struct lease_daemon holder; /* id 0 if the holder is not known */
};

/* Outcome of a completed request, stored with its idempotency key: the answer
   that a repetition with the same key receives.  */
struct wire_shard_outcome
{
  uint32_t status;
  struct str content_type;
  struct str body;
};

struct wire_shard_message
{
  enum wire_shard_type type;
  union
  {
    struct wire_token_request token_request;
    struct wire_tokens tokens;
    struct wire_register reg;
    struct wire_registered registered;
    struct wire_complete complete;
    struct wire_promise_request promise_request;
    struct wire_promise promise;
    struct wire_holder_request holder_request;
    struct wire_holder holder;
  } u;
  void *zone; /* msgpack_zone of the decoded objects */
};

/* Public functions */

/* appends a message as one frame (length prefix and msgpack) */
void wire_shard_append_message (struct str_buf *out,
                                const struct wire_shard_message *m);
/* decodes one frame without its length prefix; false if malformed */
bool wire_shard_load_message (struct wire_shard_message *m, struct str frame);
/* frees what wire_shard_load_message allocated */
void wire_shard_unload_message (struct wire_shard_message *m);
/* appends the encoded value of the stored object shards/<i> */
void wire_shard_append_object (struct str_buf *out,
                               const struct lease_object *o);
/* decodes the value of a shard object; false if malformed */
bool wire_shard_load_object (struct lease_object *o, struct str value);
/* appends an encoded outcome for the idempotency registry */
void wire_shard_append_outcome (struct str_buf *out,
                                const struct wire_shard_outcome *o);
/* decodes an outcome; the strings are copies, freed with str_free; false if
   malformed */
bool wire_shard_load_outcome (struct wire_shard_outcome *o, struct str bytes);

#endif
