/* front: a traffic thread that takes requests of callers and nested calls.

   Each request is a row of the table of calls and moves through the states in
   order; one system serves each state.  */

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

#define FRONT_TRIED_MAX 8u

/* Types */

enum front_source
{
  FRONT_CALLER, /* the caller port */
  FRONT_LOCAL,  /* the local port: nested calls and administration */
  FRONT_HEALTH  /* the health port */
};

enum front_state
{
  FRONT_ARRIVED,     /* waits for request_check */
  FRONT_TOKENS,      /* waits for a token of its workspace */
  FRONT_REGISTER,    /* its idempotency key is to be registered */
  FRONT_REGISTERING, /* waits for the registry */
  FRONT_DISPATCH,    /* waits for an attempt */
  FRONT_SENT,        /* an attempt is under way */
  FRONT_QUERYING,    /* the attempt's outcome is asked for */
  FRONT_ANSWERED,    /* waits for its answer to be sent */
  FRONT_STATES       /* count of states */
};

/* Result of a call: an error, or the backend server's response.  */
struct front_result
{
  enum err_kind error;
  struct str detail; /* static text */
  int status;
  struct str frame; /* owned; the message points into it */
  struct wire_message message;
  struct str_buf body;     /* of a response in parts, or recorded */
  bool recorded;           /* body was recorded by the registry */
  struct str content_type; /* owned, of a recorded body */
};

struct front_call
{
  uint64_t id;
  enum front_state state;
  struct http_server_exchange *exchange; /* NULL once the caller has gone */
  struct snapshot *snapshot;           /* configuration the call runs under */
  const struct inventory_route *route; /* in the snapshot */
  struct str service;                  /* that it goes to, in the snapshot */
  struct http_dialect_call said;       /* in the exchange's headers */
  struct str workspace;                /* in the snapshot, or `inherited` */
  struct hop_token_context inherited;  /* of a nested call */
  uint64_t hop;                        /* row of a nested call's hop, or 0 */
  uint32_t hop_part;                   /* budget taken from it */
  uint32_t importance;
  uint32_t depth;
  int64_t arrived_us;
  int64_t deadline_us;
  struct retry_budget_pool budget;
  struct str idempotency_key; /* in the exchange's headers */
  bool tokens_wanted;         /* counted as waiting in the quota set */
  bool registered;            /* the registry waits for the outcome */
  uint64_t fingerprint;       /* hash of the request under the key */
  uint32_t headers_len;
  struct wire_header *headers; /* that are forwarded, in the exchange */
  struct trace_context trace;  /* of this hop */
  bool has_parent;
  uint8_t parent_id[TRACE_SPAN_ID_BYTES];
  /* the attempt under way */
  struct wire_attempt_id attempt;
  struct trace_context attempt_trace;
  uint64_t member;
  uint64_t link;
  uint32_t part; /* budget handed down */
  int64_t sent_us;
  int64_t query_until_us;
  enum err_kind attempt_error; /* of the last attempt that failed */
  bool may_have_run;           /* an earlier attempt may have run */
  bool receiving;              /* the response's first part is there */
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
  uint64_t link; /* 0 or no longer open: connect first */
};

/* Endpoints of one service.  */
struct front_service
{
  struct str name; /* owned */
  struct route_pool pool;
};

struct front
{
  struct loop loop;
  struct daemon_context *shared;
  uint32_t index; /* of this front */
  struct http_server *callers;
  struct http_server *local;
  struct http_server *health; /* NULL without a health port */
  struct backend_record backend;
  struct peer_link_set links;
  struct table calls;
  GArray *queues[FRONT_STATES]; /* ids of calls that entered a state */
  struct table peers;
  GHashTable *peer_by_member;
  struct table services;
  GHashTable *service_by_name;
  const struct route_ops *route_ops;
  const struct retry_policy_ops *retry_ops;
  struct retry_budget_ratio ratio;
  struct feedback feedback;
  struct pressure_shedder shedder;
  struct snapshot *snapshot;
  uint64_t snapshot_generation;
  GRand *rand;
  uint64_t attempt_origin; /* random for each process and front */
  uint64_t attempt_number;
  int64_t next_tick_us;
  int64_t next_log_us;
  int64_t next_query_us; /* earliest end of a query for an outcome */
  bool stopped_listening;
  int64_t refuse_from_us; /* callers' requests are refused, INT64_MAX: never */
  struct logger_rate_limit
      failures[ERR_KINDS]; /* lines about failed requests */
};

/* Public functions */

/* listens at the caller and local ports; false with an error if that fails */
bool front_init (struct front *f, struct daemon_context *shared,
                 uint32_t index, GError **error);
/* frees everything after the thread has ended */
void front_close (struct front *f);

/* for the modules of the front thread */

/* applies what the backend server says of itself and tells the other threads;
   true if it was news or a repetition, false if it was out of date */
bool front_report_backend (struct front *f,
                           const struct backend_report *report);

/* moves a call to a state, whose system sees it next */
void front_set_state (struct front *f, struct front_call *call,
                      enum front_state state);
/* ends a call with an error; detail is a static text */
void front_fail (struct front *f, struct front_call *call, enum err_kind error,
                 struct str detail);

#endif
