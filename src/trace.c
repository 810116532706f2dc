/* trace: W3C trace context, spans and their export by OTLP/HTTP in JSON.  */

#include "trace.h"

#include "clock.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <sys/random.h>

/* Constants */

/* A span is below 1 KiB of JSON, so a batch is below 256 KiB.  */
#define BATCH_MAX_SPANS 256u
/* Under light load, the spans of one period are sent in one request.  */
#define EXPORT_PERIOD_US INT64_C (1000000)
#define EXPORT_TIMEOUT_US INT64_C (5000000)
#define EXPORT_ANSWER_MAX_BYTES 65536
#define EXPORT_TARGET "/v1/traces"
#define NS_PER_US INT64_C (1000)
#define HEX_DIGITS "0123456789abcdef"
#define FLAG_SAMPLED 1u
#define VERSION_INVALID 0xffu
#define STATUS_CODE_ERROR 2

/* Offsets in a traceparent: version-traceid-spanid-flags.  */
#define AT_TRACE_ID 3u
#define AT_SPAN_ID 36u
#define AT_FLAGS 53u

/* Internal functions: traceparent */

static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

/* Parses lower-case hexadecimal digits; a traceparent has no upper case.  */
static bool
parse_hex (struct str text, size_t at, uint8_t *bytes, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      int high = hex_value (text.data[at + 2 * i]);
      int low = hex_value (text.data[at + 2 * i + 1]);

      if (high < 0 || low < 0)
        return false;
      bytes[i] = (uint8_t)(high * 16 + low);
    }
  return true;
}

static void
append_hex (struct str_buf *out, const uint8_t *bytes, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      str_append_char (out, HEX_DIGITS[bytes[i] >> 4]);
      str_append_char (out, HEX_DIGITS[bytes[i] & 0x0f]);
    }
}

static bool
is_zero (const uint8_t *bytes, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if (bytes[i] != 0)
      return false;
  return true;
}

/* Fills an id with random bytes that are not all zero.  Once the kernel's
   generator is ready, getrandom returns up to 256 bytes without
   interruption.  */
static void
fill_id (uint8_t *bytes, size_t len)
{
  do
    {
      if (getrandom (bytes, len, 0) != (ssize_t)len)
        g_error ("getrandom failed");
    }
  while (is_zero (bytes, len));
}

/* Internal functions: encoding */

static void
add_text (JsonBuilder *b, const char *name, const char *text)
{
  json_builder_set_member_name (b, name);
  json_builder_add_string_value (b, text);
}

static void
add_hex (JsonBuilder *b, const char *name, const uint8_t *bytes, size_t len)
{
  struct str_buf text = { 0 };

  append_hex (&text, bytes, len);
  add_text (b, name, text.data);
  str_reset (&text);
}

/* OTLP JSON encodes 64-bit integers as strings.  */
static void
add_int64 (JsonBuilder *b, const char *name, int64_t value)
{
  char text[24];

  g_snprintf (text, sizeof text, "%" PRId64, value);
  add_text (b, name, text);
}

static void
begin_attribute (JsonBuilder *b, const char *key)
{
  json_builder_begin_object (b);
  add_text (b, "key", key);
  json_builder_set_member_name (b, "value");
  json_builder_begin_object (b);
}

static void
end_attribute (JsonBuilder *b)
{
  json_builder_end_object (b);
  json_builder_end_object (b);
}

static void
add_text_attribute (JsonBuilder *b, const char *key, struct str value)
{
  char *valid;

  if (value.len == 0)
    return;
  valid = g_utf8_make_valid (value.data, (gssize)value.len);
  begin_attribute (b, key);
  add_text (b, "stringValue", valid);
  end_attribute (b);
  g_free (valid);
}

static void
add_int_attribute (JsonBuilder *b, const char *key, int64_t value)
{
  begin_attribute (b, key);
  add_int64 (b, "intValue", value);
  end_attribute (b);
}

static void
add_attributes (JsonBuilder *b, const struct trace_span *s)
{
  json_builder_set_member_name (b, "attributes");
  json_builder_begin_array (b);
  add_text_attribute (b, "almondvale.service", s->service);
  add_text_attribute (b, "almondvale.route", s->route);
  add_int_attribute (b, "almondvale.importance", s->importance);
  add_int_attribute (b, "almondvale.depth", s->depth);
  if (s->attempt > 0)
    add_int_attribute (b, "almondvale.attempt", s->attempt);
  if (s->queue_us > 0)
    add_int_attribute (b, "almondvale.queue_us", s->queue_us);
  if (s->status > 0)
    add_int_attribute (b, "http.response.status_code", s->status);
  if (s->error != ERR_NONE)
    add_text_attribute (b, "error.type",
                        str_from_cstr (err_get_answer (s->error)->name));
  if (s->fault != HTTP_FAULT_NONE)
    add_text_attribute (b, "almondvale.answer_fault",
                        http_fault_get_name (s->fault));
  json_builder_end_array (b);
}

static void
add_span (JsonBuilder *b, const struct trace_span *s)
{
  int64_t start_ns = s->start_us * NS_PER_US;
  char *name = str_dup_cstr (s->name);

  json_builder_begin_object (b);
  add_hex (b, "traceId", s->context.trace_id, TRACE_ID_BYTES);
  add_hex (b, "spanId", s->context.span_id, TRACE_SPAN_ID_BYTES);
  if (s->has_parent)
    add_hex (b, "parentSpanId", s->parent_id, TRACE_SPAN_ID_BYTES);
  add_text (b, "name", name);
  json_builder_set_member_name (b, "kind");
  json_builder_add_int_value (b, s->kind);
  add_int64 (b, "startTimeUnixNano", start_ns);
  add_int64 (b, "endTimeUnixNano", start_ns + s->duration_us * NS_PER_US);
  add_attributes (b, s);
  if (s->error != ERR_NONE)
    {
      json_builder_set_member_name (b, "status");
      json_builder_begin_object (b);
      json_builder_set_member_name (b, "code");
      json_builder_add_int_value (b, STATUS_CODE_ERROR);
      json_builder_end_object (b);
    }
  json_builder_end_object (b);
  g_free (name);
}

static void
begin_list (JsonBuilder *b, const char *name)
{
  json_builder_set_member_name (b, name);
  json_builder_begin_array (b);
  json_builder_begin_object (b);
}

static void
end_list (JsonBuilder *b)
{
  json_builder_end_object (b);
  json_builder_end_array (b);
}

/* Begins the document up to and including the start of the array of spans.  */
static void
begin_document (JsonBuilder *b, const struct trace *t)
{
  json_builder_begin_object (b);
  begin_list (b, "resourceSpans");
  json_builder_set_member_name (b, "resource");
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "attributes");
  json_builder_begin_array (b);
  add_text_attribute (b, "service.name", STR_LIT ("almondvaled"));
  add_text_attribute (b, "service.instance.id", t->member_id);
  add_text_attribute (b, "almondvale.failure_domain", t->failure_domain);
  json_builder_end_array (b);
  json_builder_end_object (b);
  begin_list (b, "scopeSpans");
  json_builder_set_member_name (b, "spans");
  json_builder_begin_array (b);
}

static void
end_document (JsonBuilder *b)
{
  json_builder_end_array (b);
  end_list (b);
  end_list (b);
  json_builder_end_object (b);
}

/* Internal functions: queue */

static struct trace_span *
copy_span (const struct trace_span *span)
{
  struct trace_span *copy = g_new (struct trace_span, 1);

  *copy = *span;
  copy->name = str_copy (span->name);
  copy->service = str_copy (span->service);
  copy->route = str_copy (span->route);
  return copy;
}

static void
free_span (struct trace_span *span)
{
  str_free (&span->name);
  str_free (&span->service);
  str_free (&span->route);
  g_free (span);
}

static struct trace_span *
pop_span (struct trace *t)
{
  struct trace_span *span = g_async_queue_try_pop (t->queue);

  if (span != NULL)
    atomic_fetch_sub (&t->queued, 1);
  return span;
}

/* Counts the spans of an export request as exported or dropped.  A failed
   export is not retried: the queue is bounded, and the spans that are waiting
   in it are as useful as those that were lost.  */
static void
finish_export (void *data, const struct http_client_answer *answer)
{
  struct trace *t = data;
  bool accepted = answer->result == HTTP_CLIENT_ANSWERED
                  && answer->status >= 200 && answer->status < 300;

  atomic_fetch_add (accepted ? &t->exported : &t->dropped, t->spans_in_flight);
  t->spans_in_flight = 0;
}

static void
send_batch (struct trace *t, struct str body, uint32_t spans)
{
  struct http_head_field type
      = { STR_LIT ("Content-Type"), STR_LIT ("application/json") };
  struct http_client_request request = { .method = "POST",
                                         .target = STR_LIT (EXPORT_TARGET),
                                         .headers_len = 1,
                                         .headers = &type,
                                         .body = body,
                                         .timeout_us = EXPORT_TIMEOUT_US,
                                         .done = finish_export,
                                         .data = t };

  t->spans_in_flight = spans;
  if (http_client_send (t->pool, &request) != NULL)
    return;
  t->spans_in_flight = 0;
  atomic_fetch_add (&t->dropped, spans);
}

/* Public functions */

/**
 * trace_parse_parent - parses a traceparent header
 * @text: value of the header
 * @context: set only if the header is valid
 *
 * Versions after 00 may append fields after the flags.
 *
 * Return: false if the header is malformed.
 */
bool
trace_parse_parent (struct str text, struct trace_context *context)
{
  struct trace_context c;
  uint8_t version, flags;

  if (text.len < TRACE_PARENT_CHARS)
    return false;
  if (!parse_hex (text, 0, &version, 1) || version == VERSION_INVALID)
    return false;
  if (text.len > TRACE_PARENT_CHARS
      && (version == 0 || text.data[TRACE_PARENT_CHARS] != '-'))
    return false;
  if (text.data[AT_TRACE_ID - 1] != '-' || text.data[AT_SPAN_ID - 1] != '-'
      || text.data[AT_FLAGS - 1] != '-')
    return false;
  if (!parse_hex (text, AT_TRACE_ID, c.trace_id, TRACE_ID_BYTES)
      || !parse_hex (text, AT_SPAN_ID, c.span_id, TRACE_SPAN_ID_BYTES)
      || !parse_hex (text, AT_FLAGS, &flags, 1))
    return false;
  if (is_zero (c.trace_id, TRACE_ID_BYTES)
      || is_zero (c.span_id, TRACE_SPAN_ID_BYTES))
    return false;
  c.sampled = (flags & FLAG_SAMPLED) != 0;
  *context = c;
  return true;
}

void
trace_append_parent (struct str_buf *out, const struct trace_context *context)
{
  str_append (out, STR_LIT ("00-"));
  append_hex (out, context->trace_id, TRACE_ID_BYTES);
  str_append_char (out, '-');
  append_hex (out, context->span_id, TRACE_SPAN_ID_BYTES);
  str_append (out, context->sampled ? STR_LIT ("-01") : STR_LIT ("-00"));
}

/**
 * trace_begin - begins a new trace
 * @context: set to new ids
 * @sample_ratio: probability that the trace is sampled, 0 to 1
 */
void
trace_begin (struct trace_context *context, double sample_ratio)
{
  uint64_t random;

  fill_id (context->trace_id, TRACE_ID_BYTES);
  fill_id (context->span_id, TRACE_SPAN_ID_BYTES);
  /* The last 8 bytes of the id decide, as in OpenTelemetry's ratio
     sampler.  */
  memcpy (&random, context->trace_id + 8, sizeof random);
  context->sampled = (double)random < sample_ratio * 0x1p64;
}

void
trace_begin_child (struct trace_context *child,
                   const struct trace_context *parent)
{
  *child = *parent;
  fill_id (child->span_id, TRACE_SPAN_ID_BYTES);
}

/**
 * trace_init - initializes the queue and the exporter
 * @t: trace
 * @base: event loop of the control thread
 * @options: options; the strings are copied
 */
void
trace_init (struct trace *t, struct event_base *base,
            const struct trace_options *options)
{
  *t = (struct trace){ .member_id = str_copy (options->member_id),
                       .failure_domain = str_copy (options->failure_domain),
                       .queue_max = options->queue_max,
                       .enabled = options->address.len > 0,
                       .queue = g_async_queue_new () };
  if (t->enabled)
    t->pool = http_client_load_pool (base, options->address, options->port, 1,
                                     EXPORT_ANSWER_MAX_BYTES);
}

void
trace_close (struct trace *t)
{
  struct trace_span *span;

  if (t->pool != NULL)
    http_client_unload_pool (t->pool);
  while ((span = pop_span (t)) != NULL)
    free_span (span);
  g_async_queue_unref (t->queue);
  str_free (&t->member_id);
  str_free (&t->failure_domain);
}

/**
 * trace_record - queues a copy of a span
 * @t: trace
 * @span: ignored unless its trace is sampled and a collector is configured
 */
void
trace_record (struct trace *t, const struct trace_span *span)
{
  if (!t->enabled || !span->context.sampled)
    return;
  if (atomic_fetch_add (&t->queued, 1) >= t->queue_max)
    {
      atomic_fetch_sub (&t->queued, 1);
      atomic_fetch_add (&t->dropped, 1);
      return;
    }
  g_async_queue_push (t->queue, copy_span (span));
}

/**
 * trace_append_batch - encodes the next spans
 * @t: trace
 * @out: buffer to which an OTLP ExportTraceServiceRequest is appended in JSON
 *
 * Return: number of spans encoded; 0, with nothing appended, if the queue is
 * empty.
 */
uint32_t
trace_append_batch (struct trace *t, struct str_buf *out)
{
  struct trace_span *span = pop_span (t);
  uint32_t spans = 0;
  JsonBuilder *b;
  JsonNode *root;
  char *text;

  if (span == NULL)
    return 0;
  b = json_builder_new ();
  begin_document (b, t);
  while (span != NULL)
    {
      add_span (b, span);
      free_span (span);
      spans++;
      span = spans < BATCH_MAX_SPANS ? pop_span (t) : NULL;
    }
  end_document (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  str_append (out, str_from_cstr (text));
  g_free (text);
  json_node_unref (root);
  g_object_unref (b);
  return spans;
}

/**
 * trace_run_export - sends the next batch
 * @t: trace
 * @now_us: current time
 *
 * One export request is in flight at a time.  An incomplete batch is sent
 * EXPORT_PERIOD_US after the previous one at the earliest.
 */
void
trace_run_export (struct trace *t, int64_t now_us)
{
  struct str_buf body = { 0 };
  uint32_t spans;

  if (!t->enabled || t->spans_in_flight > 0)
    return;
  if (now_us < t->next_export_us && atomic_load (&t->queued) < BATCH_MAX_SPANS)
    return;
  t->next_export_us = now_us + EXPORT_PERIOD_US;
  spans = trace_append_batch (t, &body);
  if (spans > 0)
    send_batch (t, str_view (&body), spans);
  str_reset (&body);
}

uint64_t
trace_get_dropped (const struct trace *t)
{
  return atomic_load (&t->dropped);
}

uint64_t
trace_get_exported (const struct trace *t)
{
  return atomic_load (&t->exported);
}
