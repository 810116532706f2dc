/* trace: W3C trace context, spans and their export by OTLP/HTTP in JSON.

   Any thread records spans; the control thread encodes and sends them.  A span
   is dropped and counted if the queue is full or its export fails.  */

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
#define TRACE_PARENT_CHARS 55u /* length of a version 00 traceparent */

/* Types */

/* Position in a trace, as carried by a traceparent header.  */
struct trace_context
{
  uint8_t trace_id[TRACE_ID_BYTES];
  uint8_t span_id[TRACE_SPAN_ID_BYTES];
  bool sampled;
};

/* The values are those of OTLP.  */
enum trace_kind
{
  TRACE_INTERNAL = 1,
  TRACE_SERVER = 2,
  TRACE_CLIENT = 3
};

/* One step of handling a request in this daemon.  */
struct trace_span
{
  struct trace_context context;
  bool has_parent;
  uint8_t parent_id[TRACE_SPAN_ID_BYTES];
  enum trace_kind kind;
  int64_t start_us; /* wall-clock time */
  int64_t duration_us;
  struct str name; /* name of the step: request, attempt or serve */
  struct str service;
  struct str route;
  enum err_kind error;
  enum http_fault fault; /* why an answer was refused */
  uint32_t status;       /* HTTP status, 0 if none was received */
  uint32_t importance;
  uint32_t depth;
  uint32_t attempt; /* number of the attempt, from 1; 0 if none */
  int64_t queue_us; /* time in the admission queue */
};

/* Span queue and exporter of a daemon.  */
struct trace
{
  struct str member_id;
  struct str failure_domain;
  uint32_t queue_max;
  bool enabled; /* a collector is configured */
  GAsyncQueue *queue;
  atomic_uint queued; /* spans in the queue */
  _Atomic uint64_t dropped;
  _Atomic uint64_t exported;
  /* used by the control thread only */
  struct http_client_pool *pool;
  uint32_t spans_in_flight; /* spans in the current export request, or 0 */
  int64_t next_export_us;   /* earliest time to export an incomplete batch */
};

/* Options of the exporter.  */
struct trace_options
{
  struct str member_id;
  struct str failure_domain;
  struct str address; /* of the collector; empty disables recording */
  uint16_t port;
  uint32_t queue_max; /* maximum number of queued spans */
};

/* Public functions */

/* Parses a traceparent header; returns false if it is malformed.  */
bool trace_parse_parent (struct str text, struct trace_context *context);
/* Appends a version 00 traceparent.  */
void trace_append_parent (struct str_buf *out,
                          const struct trace_context *context);
/* Begins a new trace, which is sampled with the given probability.  */
void trace_begin (struct trace_context *context, double sample_ratio);
/* Begins a new span in the trace of the parent.  */
void trace_begin_child (struct trace_context *child,
                        const struct trace_context *parent);

/* Initializes the queue and the exporter; base is the event loop of the
   control thread.  */
void trace_init (struct trace *t, struct event_base *base,
                 const struct trace_options *options);
/* Frees the queue and drops its spans.  Called by the control thread after the
   other threads have ended.  */
void trace_close (struct trace *t);
/* Queues a copy of a sampled span; any thread may call it.  */
void trace_record (struct trace *t, const struct trace_span *span);
/* Removes the next spans from the queue and appends them as OTLP JSON.
   Returns their number, 0 if the queue is empty.  Only one thread at a time
   may call it.  */
uint32_t trace_append_batch (struct trace *t, struct str_buf *out);
/* System (see loop.h) of the control thread: sends the next batch after the
   previous one has completed.  */
void trace_run_export (struct trace *t, int64_t now_us);
/* Returns the number of spans dropped; any thread may call it.  */
uint64_t trace_get_dropped (const struct trace *t);
/* Returns the number of spans accepted by the collector; any thread may call
   it.  */
uint64_t trace_get_exported (const struct trace *t);

#endif
