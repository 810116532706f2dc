/* wire: the messages of the request plane between daemons and their msgpack
   encoding.

   An entry daemon, to which a caller is connected, sends each attempt of a
   request to a serving daemon, which runs it on the backend server beside it.

   Decoded strings are views into the frame and are valid as long as it is.
   Arrays in a decoded message belong to the message and are freed with
   wire_unload_message.  */

#ifndef ALMONDVALE_WIRE_H
#define ALMONDVALE_WIRE_H

#include "err.h"
#include "pressure.h"
#include "str.h"

#include "success_rate.h"
#include <event2/buffer.h>

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define WIRE_FRAME_MAX_BYTES 1048576u
/* Largest number of body bytes in one message.  The remaining bytes of a
   longer body follow in WIRE_BODY messages.  */
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

/* Id of one attempt, unique in the fleet.  */
struct wire_attempt_id
{
  uint64_t origin; /* random number that identifies the sending process */
  uint64_t number; /* counter of that process */
};

struct wire_header
{
  struct str name;
  struct str value;
};

/* Admission threshold of a service (see admission.h).  */
struct wire_threshold
{
  struct str service;
  /* lowest importance accepted, 0..10; 10 rejects every request */
  uint32_t min_importance;
};

/* Whether an attempt counts as a retry for its service; see
   repeat_budget.h.  */
enum wire_retry
{
  WIRE_RETRY_NONE = 0,     /* first arrival of the request at the service */
  WIRE_RETRY_ATTEMPT = 1,  /* an earlier attempt may have arrived there */
  WIRE_RETRY_INHERITED = 2 /* first arrival, of a call by an execution that was
                              itself a retry */
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
  struct str workspace; /* empty on an open route */
  uint32_t importance;  /* 0..9, 9 most important */
  int64_t timeout_us;   /* time left until the deadline */
  /* time left until the route's target response time or, if earlier, the
     deadline; negative after that time */
  int64_t due_in_us;
  /* largest number of retries by the nested calls of this request, in total */
  uint32_t retry_budget;
  uint32_t depth; /* 1 for a request that is not a nested call */
  /* if the request has to wait and its response is expected later than this,
     the serving daemon refuses it with ERR_ENDPOINT_BUSY; 0: never */
  uint32_t response_max_us;
  bool idempotent;
  struct str traceparent;
  struct str caller_id;      /* the caller's own id of the attempt, or empty */
  struct str caller_service; /* service of the sending daemon's VM */
  bool last_part;            /* no WIRE_BODY message follows */
  struct str body;
  enum wire_retry retry; /* sent only if it is one */
};

struct wire_response
{
  uint64_t request_id;
  struct wire_attempt_id attempt;
  enum err_kind error; /* ERR_NONE if the backend server answered */
  uint32_t status;
  uint32_t headers_len;
  struct wire_header *headers;
  uint32_t unused_budget; /* retries of the request's retry_budget that were
                             not used */
  uint32_t thresholds_len;
  struct wire_threshold *thresholds;
  uint32_t pressures_len;
  /* one report for each service on the call path: the fraction of its calls
     that has to be rejected; see pressure.h */
  struct pressure_report *pressures;
  uint32_t in_flight; /* requests running or queued at the serving daemon */
  uint32_t limit;     /* largest number of requests that the serving daemon
                         runs concurrently */
  uint32_t success_permille; /* share of requests that its backend server did
                                lately; see success_rate.h */
  uint32_t arrivals_per_s;   /* requests from all daemons; see load_meter.h */
  uint32_t service_us;       /* service time; 0: not known yet */
  uint32_t residence_us;     /* time of the request at the serving daemon */
  bool last_part;            /* no WIRE_BODY message follows */
  struct str body;
};

struct wire_cancel
{
  uint64_t request_id;
  struct wire_attempt_id attempt;
};

/* Requests, from the serving daemon, the outcome of an attempt whose response
   was lost.  */
struct wire_query
{
  struct wire_attempt_id attempt;
  int64_t
      void_duration_us; /* time for which the receiver remembers that the attempt
                         is void */
  int64_t attempt_age_us; /* time since the attempt was sent */
};

enum wire_outcome_state
{
  WIRE_OUTCOME_VOID = 0,    /* did not run; the receiver of the query will not
                               run it */
  WIRE_OUTCOME_STARTED = 1, /* sent to the backend server */
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
  bool last_part; /* the final part of the body */
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
  void *zone; /* msgpack_zone of the decoded objects */
};

/* Bytes that are sent; they are copied unless they can be shared.  */
struct wire_bytes
{
  struct str bytes;
  /* returns the owner of the bytes for one more use, which `put` ends; NULL if
     the bytes cannot be shared */
  void *(*share) (void *data);
  void (*put) (const void *bytes, size_t len, void *owner);
  void *data; /* argument of share */
};

/* Public functions */

/* appends a message as one frame (length prefix and msgpack) */
void wire_append_message (struct str_buf *out, const struct wire_message *m);
/* appends the bytes of a body beyond WIRE_BODY_PART_MAX_BYTES as
   WIRE_BODY messages, since the request or response contains the bytes before;
   request_id and attempt are copied from part, whose other members are
   ignored */
void wire_add_body_parts (struct evbuffer *out, const struct wire_body *part,
                          const struct wire_bytes *body);
/* decodes one frame without its length prefix; false if malformed */
bool wire_load_message (struct wire_message *m, struct str frame);
/* frees what wire_load_message allocated */
void wire_unload_message (struct wire_message *m);
/* returns the type number of any message between daemons without decoding the
   rest; 0 if malformed */
uint32_t wire_peek_type (struct str frame);
/* returns true if both ids name the same attempt */
bool wire_equal_attempt (struct wire_attempt_id a, struct wire_attempt_id b);

#endif
