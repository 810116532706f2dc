/* front: a traffic thread that receives requests from callers, and nested
   calls (requests that the backend server of this VM makes while it runs a
   request).  A hop token identifies the request that a nested call belongs to.

   Each request is a call, a row in the table of calls, and moves through the
   states of enum front_state.  One system processes the calls of each
   state.  */

#ifndef ALMONDVALE_FRONT_H
#define ALMONDVALE_FRONT_H

#include "backend.h"
#include "daemon_context.h"
#include "feedback.h"
#include "http_server.h"
#include "logger.h"
#include "loop.h"
#include "peer_link.h"
#include "retry_policy.h"
#include "route.h"
#include "thread_message.h"

#include <stdbool.h>

/* Constants */

/* Largest number of members remembered as tried by one call.  */
#define FRONT_TRIED_MAX 8u

/* Types */

enum front_source
{
  FRONT_CALLER, /* the caller port */
  FRONT_LOCAL,  /* the local port: nested calls and administration */
  FRONT_HEALTH, /* the health port */
  FRONT_SOURCE_COUNT
};

enum front_state
{
  FRONT_ARRIVED,        /* to be checked by request_check */
  FRONT_AWAITING_TOKEN, /* waits for a rate token of its workspace */
  FRONT_TO_REGISTER,    /* its idempotency key is to be registered */
  /* waits for the reply of the registry of idempotency keys */
  FRONT_AWAITING_REGISTRY,
  FRONT_TO_DISPATCH, /* next attempt is to be sent */
  FRONT_SENT,        /* waits for the response to an attempt */
  FRONT_QUERYING,    /* waits for the reply to a WIRE_QUERY */
  FRONT_COMPLETED,   /* response or error is to be sent */
  /* number of queues; also the state of admin's status requests and of
     reports of the backend server, which no system processes */
  FRONT_STATE_COUNT
};

/* Result of a call: an error, or the response of the backend server.  */
struct front_result
{
  enum err_kind error;
  struct str detail; /* static text */
  int status;
  struct str frame; /* owned; the message points into it */
  struct wire_message message;
  /* body of a response in several messages, or the recorded body */
  struct str_buf body;
  int64_t held;            /* bytes of the budget for the body */
  bool recorded;           /* status and body come from the registry */
  struct str content_type; /* owned; of a recorded body */
};

struct front_call
{
  uint64_t id;
  enum front_state state;
  struct http_server_exchange *exchange; /* NULL: caller disconnected */
  struct snapshot *snapshot; /* configuration that applies to the call */
  const struct inventory_route *route; /* in the snapshot */
  struct str service;                  /* destination; in the snapshot */
  /* views of the exchange's headers */
  struct http_dialect_caller_headers caller_headers;
  struct str workspace; /* view of the snapshot or of `inherited` */
  struct hop_token_context inherited; /* context of a nested call */
  uint64_t hop_row;    /* row id of the hop token; 0: not nested */
  uint32_t hop_budget; /* retry budget taken from the hop token */
  uint32_t importance;
  uint32_t depth; /* length of the call chain, 1 if not nested */
  int64_t arrived_us;
  int64_t deadline_us;
  struct retry_budget_pool budget;
  struct str idempotency_key; /* view of the exchange's header */
  bool in_token_queue;        /* counted as waiting for a rate token */
  /* the registry of idempotency keys must get the outcome */
  bool registered;
  /* hash of the request, to detect that its key is reused for another one */
  uint64_t fingerprint;
  uint32_t headers_len;
  struct wire_header *headers; /* to forward; strings in the exchange */
  struct trace_context trace;  /* span of this call */
  bool has_parent_span;
  uint8_t parent_span_id[TRACE_SPAN_ID_BYTES];
  /* current attempt */
  struct wire_attempt_id attempt;
  struct trace_context attempt_trace;
  uint64_t member; /* serving daemon; 0: no attempt in progress */
  uint64_t link;
  uint32_t attempt_budget; /* retry budget sent with the attempt */
  /* the serving daemon refuses the attempt if it expects its response later
     than this; 0: never */
  uint32_t response_max_us;
  int64_t sent_us;
  int64_t query_deadline_us;
  enum err_kind attempt_error; /* of the last attempt that failed */
  bool may_have_run;           /* an earlier attempt may have run */
  /* an earlier attempt may have arrived at a backend server */
  bool may_have_arrived;
  bool receiving; /* part of the response has arrived */
  uint32_t attempts;
  uint32_t tried_len;
  uint64_t tried[FRONT_TRIED_MAX];
  struct front_result result;
};

/* A daemon that this front sends requests to.  */
struct front_peer
{
  uint64_t member;
  struct str address; /* owned */
  uint16_t port;
  uint64_t link; /* link id; if 0 or closed, connect before sending */
};

/* A service and its endpoints.  */
struct front_service
{
  struct str name; /* owned */
  struct route_pool pool;
  uint32_t log_turn; /* next endpoint of the pool's subset to log */
};

/* An exchange that waits until the store has a drain or leave.  */
struct front_confirmation
{
  uint64_t call; /* row of the exchange */
  struct str id; /* owned; of the boot that has stopped */
  int64_t boot_ms;
  int64_t deadline_us;
};

struct front
{
  struct loop loop;
  struct daemon_context *shared;
  struct byte_budget_slice slice;
  uint32_t index; /* index of this front */
  /* by front_source; the health server is NULL without a health port */
  struct http_server *servers[FRONT_SOURCE_COUNT];
  struct http_server_stats reported[FRONT_SOURCE_COUNT];
  uint32_t open_answers; /* as added to shared->open_answers */
  struct backend_record backend;
  struct backend_stops stored_stops; /* owned; in the store */
  struct table confirmations;
  struct peer_link_set links;
  struct table calls;
  /* ids of the calls that entered each state */
  GArray *queues[FRONT_STATE_COUNT];
  struct table peers;
  GHashTable *peer_by_member;
  struct table services;
  GHashTable *service_by_name;
  const struct route_ops *route_ops;
  const struct retry_policy_ops *retry_ops;
  struct retry_budget_ratio retry_ratio;
  struct feedback feedback;
  struct pressure_shedder shedder;
  struct snapshot *snapshot;
  uint64_t snapshot_generation;
  GRand *rand;
  /* random number that identifies this process and front */
  uint64_t attempt_origin;
  uint64_t attempt_number; /* number of the last attempt */
  int64_t next_tick_us;
  int64_t next_log_us;
  int64_t next_query_us; /* earliest query_deadline_us, or INT64_MAX */
  bool stopped_listening;
  /* callers' requests are rejected from this time on; INT64_MAX: never */
  int64_t reject_from_us;
  /* rate limits of the log lines about failed calls, by error */
  struct logger_rate_limit failure_log_limits[ERR_KINDS];
};

/* Public functions */

/* Initializes the thread's state and listens on its HTTP ports.  Returns false
   and sets error on failure.  */
bool front_init (struct front *f, struct daemon_context *shared,
                 uint32_t index, GError **error);
/* Answers the open calls with an error and frees all state.  The thread must
   have ended.  */
void front_close (struct front *f);

/* Functions for the modules of the front thread */

/* Moves a call to a state and queues it for the system of that state.  */
void front_set_state (struct front *f, struct front_call *call,
                      enum front_state state);
/* Frees what was received of a response.  */
void front_free_result (struct front *f, struct front_result *r);
/* Ends a call with an error.  detail is a static text.  */
void front_fail (struct front *f, struct front_call *call, enum err_kind error,
                 struct str detail);

#endif
