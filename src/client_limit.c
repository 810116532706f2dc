/* client_limit: decides when a connection of a client is closed.  */

#include "client_limit.h"

#include "clock.h"

#include <glib.h>

/* Constants */

static const char *const names[CLIENT_LIMIT_REASONS]
    = { [CLIENT_LIMIT_KEEP] = "none",
        [CLIENT_LIMIT_IDLE_TIME] = "idle_time",
        [CLIENT_LIMIT_HEAD_TIME] = "head_time",
        [CLIENT_LIMIT_BODY_STALL] = "body_stall",
        [CLIENT_LIMIT_REQUEST_TIME] = "request_time",
        [CLIENT_LIMIT_ANSWER_STALL] = "answer_stall",
        [CLIENT_LIMIT_MEMORY] = "memory",
        [CLIENT_LIMIT_CONNECTIONS] = "connections",
        [CLIENT_LIMIT_BODY_SIZE] = "body_size" };

/* Public functions */

void
client_limit_enter (struct client_limit *c, enum client_limit_phase phase,
                    uint64_t bytes, int64_t now_us)
{
  if (c->phase == CLIENT_LIMIT_IDLE || phase == CLIENT_LIMIT_IDLE)
    c->request_since_us = now_us;
  c->phase = phase;
  c->marked_bytes = bytes;
  c->marked_us = now_us;
}

void
client_limit_record (struct client_limit *c, const struct client_limits *l,
                     uint64_t bytes, int64_t now_us)
{
  double moved = (double)(bytes - c->marked_bytes);
  double least = (double)l->progress_bytes_per_s
                 * (double)(now_us - c->marked_us) / CLOCK_US_PER_S;

  if (moved == 0 || moved < least)
    return;
  c->marked_bytes = bytes;
  c->marked_us = now_us;
}

enum client_limit_reason
client_limit_check (const struct client_limit *c,
                    const struct client_limits *l, int64_t now_us)
{
  int64_t stall_us = now_us - c->marked_us;
  int64_t request_us = now_us - c->request_since_us;

  switch (c->phase)
    {
    case CLIENT_LIMIT_IDLE:
      return request_us > l->idle_us ? CLIENT_LIMIT_IDLE_TIME
                                     : CLIENT_LIMIT_KEEP;
    case CLIENT_LIMIT_HEAD:
      return request_us > l->head_us ? CLIENT_LIMIT_HEAD_TIME
                                     : CLIENT_LIMIT_KEEP;
    case CLIENT_LIMIT_BODY:
      if (stall_us > l->stall_us)
        return CLIENT_LIMIT_BODY_STALL;
      return request_us > l->request_us ? CLIENT_LIMIT_REQUEST_TIME
                                        : CLIENT_LIMIT_KEEP;
    case CLIENT_LIMIT_ANSWER:
      return stall_us > l->stall_us ? CLIENT_LIMIT_ANSWER_STALL
                                    : CLIENT_LIMIT_KEEP;
    default:
      return CLIENT_LIMIT_KEEP;
    }
}

/**
 * client_limit_get_rank - ranks a connection among those to be closed
 * @c: connection
 * @held_bytes: bytes that are held for it
 * @now_us: current time
 *
 * An idle connection holds nothing and a running request is never ended.
 *
 * Return: bytes held times the time without progress, or 0.
 */
double
client_limit_get_rank (const struct client_limit *c, int64_t held_bytes,
                       int64_t now_us)
{
  int64_t stall_us = now_us - c->marked_us;

  if (c->phase == CLIENT_LIMIT_IDLE || c->phase == CLIENT_LIMIT_RUNNING
      || stall_us < CLIENT_LIMIT_STALL_MIN_US)
    return 0;
  return (double)(held_bytes + 1) * (double)stall_us;
}

const char *
client_limit_get_name (enum client_limit_reason reason)
{
  return names[reason];
}
