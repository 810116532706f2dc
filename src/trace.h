/* trace: W3C trace context, spans and their export by OTLP/HTTP in JSON.

   Any thread records spans; the control thread encodes and sends them.  Spans
   that find the queue full, or whose export fails, are dropped and counted. */

#ifndef ALMONDVALE_TRACE_H
#define ALMONDVALE_TRACE_H

#include "err.h"
#include "http_client.h"
#include "str.h"

#include <event2/event.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define TRACE_ID_BYTES 16u
#define TRACE_SPAN_ID_BYTES 8u
#define TRACE_PARENT_CHARS 55u /* of a version 00 traceparent */

/* Types */

/* Position in a trace, as a traceparent header carries it.  */
struct trace_context
{
  uint8_t trace_id[TRACE_ID_BYTES];
  uint8_t span_id[TRACE_SPAN_ID_BYTES];
  bool sampled;
};

/* The numbers are OTLP's.  */
enum trace_kind
{
  TRACE_INTERNAL = 1,
  TRACE_SERVER = 2,
  TRACE_CLIENT = 3
};

/* One hop's work on one request.  */
struct trace_span
{
  struct trace_context context;
  bool has_parent;
  uint8_t parent_id[TRACE_SPAN_ID_BYTES];
  enum trace_kind kind;
  int64_t start_us; /* wall clock */
  int64_t duration_us;
  struct str name; /* of the step: request, attempt, serve */
  struct str service;
  struct str route;
  enum err_kind error;
  uint32_t status; /* HTTP status, 0 if none was received */
  uint32_t importance;
  uint32_t depth;
  uint32_t attempt; /* 1 for the first one */
  int64_t queue_us; /* time in the admission queue */
};

/* Queue and exporter of a daemon.  */
struct trace
{
  struct str member_id;
  struct str failure_domain;
  uint32_t queue_max;
  bool enabled; /* there is a collector */
  GAsyncQueue *queue;
  atomic_uint queued;
  _Atomic uint64_t dropped;
  _Atomic uint64_t exported;
  /* the control thread's */
  struct http_client_pool *pool;
  uint32_t spans_in_flight; /* spans in the export under way */
  int64_t next_export_us;   /* earliest time of an export that is not full */
};

/* What a daemon exports and where.  */
struct trace_options
{
  struct str member_id;
  struct str failure_domain;
  struct str address; /* of the collector; empty turns recording off */
  uint16_t port;
  uint32_t queue_max; /* spans */
};

/* Public functions */

/* reads a traceparent header; false if it is malformed */
bool trace_parse_parent (struct str text, struct trace_context *context);
/* appends a version 00 traceparent */
void trace_append_parent (struct str_buf *out,
                          const struct trace_context *context);
/* begins a new trace, sampled with the given probability */
void trace_begin (struct trace_context *context, double sample_ratio);
/* a new span of the parent's trace */
void trace_begin_child (struct trace_context *child,
                        const struct trace_context *parent);

/* starts the queue; the loop is the control thread's */
void trace_init (struct trace *t, struct event_base *base,
                 const struct trace_options *options);
/* drops what is queued; the control thread, after the others have ended */
void trace_close (struct trace *t);
/* queues a copy of a sampled span; any thread */
void trace_record (struct trace *t, const struct trace_span *span);
/* takes spans off the queue and appends them as OTLP JSON; gives their number,
   0 if there are none; one thread at a time */
uint32_t trace_append_batch (struct trace *t, struct str_buf *out);
/* system of the control thread: sends the next batch when the last is done */
void trace_run_export (struct trace *t, int64_t now_us);
/* spans dropped so far; any thread */
uint64_t trace_get_dropped (const struct trace *t);
/* spans accepted by the collector so far; any thread */
uint64_t trace_get_exported (const struct trace *t);

#endif
