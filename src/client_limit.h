/* client_limit: decides when a connection of a client is closed: because a
   head, a body, a whole request or an unread response takes too long, or, if
   memory or connections are short, because it holds the most for the longest
   time without progress.

   Handled load: up to thousands of clients that send or read slowly or stop
   halfway, beside clients that keep a connection idle or work at normal speed.
   Progress is a number of bytes per unit of time: a client that sends one byte
   now and then makes none.  */

#ifndef ALMONDVALE_CLIENT_LIMIT_H
#define ALMONDVALE_CLIENT_LIMIT_H

#include <stdint.h>

/* Constants */

/* A connection without progress for less than this time is not closed to make
   space, so that a pause of a client or of the network does no harm.  */
#define CLIENT_LIMIT_STALL_MIN_US 1000000

/* Types */

enum client_limit_phase
{
  CLIENT_LIMIT_IDLE,    /* no byte of a request was received */
  CLIENT_LIMIT_HEAD,    /* receives a head */
  CLIENT_LIMIT_BODY,    /* receives a body */
  CLIENT_LIMIT_RUNNING, /* the request is complete and not answered */
  CLIENT_LIMIT_ANSWER   /* the response is being sent */
};

enum client_limit_reason
{
  CLIENT_LIMIT_KEEP,
  CLIENT_LIMIT_IDLE_TIME,    /* no request for too long */
  CLIENT_LIMIT_HEAD_TIME,    /* the head is not complete in time */
  CLIENT_LIMIT_BODY_STALL,   /* no progress of the body */
  CLIENT_LIMIT_REQUEST_TIME, /* the request is not complete in time */
  CLIENT_LIMIT_ANSWER_STALL, /* no progress in reading the response */
  CLIENT_LIMIT_MEMORY,       /* closed to make space in the byte budget */
  CLIENT_LIMIT_CONNECTIONS,  /* closed to make room for a connection */
  CLIENT_LIMIT_BODY_SIZE,    /* sends far more than the limit of a body */
  CLIENT_LIMIT_REASONS       /* number of values */
};

struct client_limits
{
  int64_t idle_us; /* between requests */
  int64_t head_us;
  int64_t stall_us;   /* without progress of a body or response */
  int64_t request_us; /* from the first byte to the end of the body */
  int64_t progress_bytes_per_s; /* less counts as no progress */
};

/* State of one connection.  */
struct client_limit
{
  enum client_limit_phase phase;
  int64_t request_since_us; /* first byte of the request */
  uint64_t marked_bytes;    /* bytes moved at the last progress */
  int64_t marked_us;        /* time of the last progress */
};

/* Public functions */

/* Enters a phase; `bytes` is the number moved on the connection so far.  */
void client_limit_enter (struct client_limit *c, enum client_limit_phase phase,
                         uint64_t bytes, int64_t now_us);
/* Records the number of bytes moved so far.  */
void client_limit_record (struct client_limit *c,
                          const struct client_limits *l, uint64_t bytes,
                          int64_t now_us);
/* Returns why the connection has to be closed now, or CLIENT_LIMIT_KEEP.  */
enum client_limit_reason client_limit_check (const struct client_limit *c,
                                             const struct client_limits *l,
                                             int64_t now_us);
/* Returns the rank in the order in which connections are closed to make space,
   the highest first; 0 if it must not be closed.  */
double client_limit_get_rank (const struct client_limit *c, int64_t held_bytes,
                              int64_t now_us);
/* Returns the name of a reason for logs and metrics.  */
const char *client_limit_get_name (enum client_limit_reason reason);

#endif
