/* wire: the messages between daemons and their msgpack encoding.

   Decoded strings are views into the frame; they live as long as it does.
   Arrays in a decoded message belong to the message and are freed with
   wire_unload_message.  */

#ifndef ALMONDVALE_WIRE_H
#define ALMONDVALE_WIRE_H

#include "err.h"
#include "pressure.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define WIRE_FRAME_MAX_BYTES 1048576u
#define WIRE_BODY_PART_MAX_BYTES 262144u
#define WIRE_HEADERS_MAX 64u
#define WIRE_THRESHOLDS_MAX 32u

/* Types */

enum wire_type
{
  WIRE_REQUEST = 1,
  WIRE_RESPONSE = 2,
  WIRE_CANCEL = 3,
  WIRE_QUERY = 4,
  WIRE_OUTCOME = 5,
  WIRE_BODY = 6
};

/* Fleet-wide id of one attempt: a random number of the sending process and a
   counter.  */
struct wire_attempt_id
{
  uint64_t origin;
  uint64_t number;
};

struct wire_header
{
  struct str name;
  struct str value;
};

/* Lowest importance that a service accepts now.  */
struct wire_threshold
{
  struct str service;
  uint32_t min_importance; /* 0..10; 10 refuses everything */
};

struct wire_request
{
  uint64_t request_id;
  struct wire_attempt_id attempt;
  struct str service;
  struct str route;
  struct str method;
  struct str path; /* with the query */
  uint32_t headers_len;
  struct wire_header *headers;
  struct str workspace;  /* empty on an open route */
  uint32_t importance;   /* 0..9, 9 most important */
  int64_t timeout_us;    /* time left until the deadline */
  int64_t due_in_us;     /* time left until its value falls; may be negative */
  uint32_t retry_budget; /* extra attempts for the tree below */
  uint32_t depth;        /* 1 for a caller's own request */
  bool idempotent;
  struct str traceparent;
  struct str caller_id;      /* the caller's id of its attempt, or empty */
  struct str caller_service; /* of the VM where the request began */
  bool last;                 /* no BODY message follows */
  struct str body;
};

struct wire_response
{
  uint64_t request_id;
  struct wire_attempt_id attempt;
  enum err_kind error; /* ERR_NONE: an answer of the backend server */
  uint32_t status;
  uint32_t headers_len;
  struct wire_header *headers;
  uint32_t unused_budget;
  uint32_t thresholds_len;
  struct wire_threshold *thresholds;
  uint32_t pressures_len;
  struct pressure_report *pressures; /* of the services on the call path */
  uint32_t in_flight; /* requests running or queued at the daemon */
  uint32_t limit;     /* its concurrency limit */
  bool last;
  struct str body;
};

struct wire_cancel
{
  uint64_t request_id;
  struct wire_attempt_id attempt;
};

struct wire_query
{
  struct wire_attempt_id attempt;
  int64_t timeout_us; /* how long a void attempt has to be remembered */
  int64_t age_us;     /* time since the attempt was sent */
};

enum wire_outcome_state
{
  WIRE_OUTCOME_VOID = 0,    /* did not run and never will */
  WIRE_OUTCOME_STARTED = 1, /* handed to the backend server */
  WIRE_OUTCOME_DONE = 2     /* the backend server answered */
};

struct wire_outcome
{
  struct wire_attempt_id attempt;
  enum wire_outcome_state state;
};

struct wire_body
{
  uint64_t request_id;
  struct wire_attempt_id attempt;
  bool last;
  struct str bytes;
};

struct wire_message
{
  enum wire_type type;
  union
  {
    struct wire_request request;
    struct wire_response response;
    struct wire_cancel cancel;
    struct wire_query query;
    struct wire_outcome outcome;
    struct wire_body body;
  } u;
  void *zone; /* memory of the decoder */
};

/* Public functions */

/* appends the frame (length and msgpack) of a message */
void wire_append_message (struct str_buf *out, const struct wire_message *m);
/* appends what of a body does not fit into the message that it belongs to, as
   BODY messages; `part` names the request, its other members are ignored */
void wire_append_body_parts (struct str_buf *out, const struct wire_body *part,
                             struct str body);
/* decodes the bytes of one frame without its length; false if malformed */
bool wire_load_message (struct wire_message *m, struct str frame);
/* frees what wire_load_message allocated */
void wire_unload_message (struct wire_message *m);
/* type of a message of either plane without decoding it; 0 if malformed */
uint32_t wire_peek_type (struct str frame);
/* same attempt */
bool wire_equal_attempt (struct wire_attempt_id a, struct wire_attempt_id b);

#endif
