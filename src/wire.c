/* wire: the messages of the request plane between daemons and their msgpack
   encoding.  */

#include "wire.h"

#include "frame.h"
#include "wire_reader.h"
#include "wire_writer.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

/* Constants */

/* Array members of a pressure report (see pressure.h): the service, the
   fraction of its calls that has to be rejected, in thousandths, and the
   number of calls that one request makes to it.  */
#define PRESSURE_MEMBERS 3u

/* Internal functions: encoding */

static void
pack_attempt (msgpack_packer *p, struct wire_attempt_id a)
{
  msgpack_pack_uint64 (p, a.origin);
  msgpack_pack_uint64 (p, a.number);
}

static void
pack_headers (msgpack_packer *p, const struct wire_header *headers,
              uint32_t len)
{
  msgpack_pack_array (p, (size_t)len * 2);
  for (uint32_t i = 0; i < len; i++)
    {
      wire_writer_add_str (p, headers[i].name);
      wire_writer_add_str (p, headers[i].value);
    }
}

static void
pack_request (msgpack_packer *p, const struct wire_request *r)
{
  msgpack_pack_array (p, r->retry != WIRE_RETRY_NONE ? 23 : 22);
  msgpack_pack_int (p, WIRE_REQUEST);
  msgpack_pack_uint64 (p, r->request_id);
  pack_attempt (p, r->attempt);
  wire_writer_add_str (p, r->service);
  wire_writer_add_str (p, r->route);
  wire_writer_add_str (p, r->method);
  wire_writer_add_str (p, r->path);
  pack_headers (p, r->headers, r->headers_len);
  wire_writer_add_str (p, r->workspace);
  msgpack_pack_uint32 (p, r->importance);
  msgpack_pack_int64 (p, r->timeout_us);
  msgpack_pack_int64 (p, r->due_in_us);
  msgpack_pack_uint32 (p, r->retry_budget);
  msgpack_pack_uint32 (p, r->depth);
  msgpack_pack_uint32 (p, r->response_max_us);
  wire_writer_add_bool (p, r->idempotent);
  wire_writer_add_str (p, r->traceparent);
  wire_writer_add_str (p, r->caller_id);
  wire_writer_add_str (p, r->caller_service);
  wire_writer_add_bool (p, r->last_part);
  wire_writer_add_bin (p, r->body);
  if (r->retry != WIRE_RETRY_NONE)
    msgpack_pack_uint32 (p, (uint32_t)r->retry);
}

static void
pack_response (msgpack_packer *p, const struct wire_response *r)
{
  msgpack_pack_array (p, 18);
  msgpack_pack_int (p, WIRE_RESPONSE);
  msgpack_pack_uint64 (p, r->request_id);
  pack_attempt (p, r->attempt);
  msgpack_pack_int (p, (int)r->error);
  msgpack_pack_uint32 (p, r->status);
  pack_headers (p, r->headers, r->headers_len);
  msgpack_pack_uint32 (p, r->unused_budget);
  msgpack_pack_array (p, (size_t)r->thresholds_len * 2);
  for (uint32_t i = 0; i < r->thresholds_len; i++)
    {
      wire_writer_add_str (p, r->thresholds[i].service);
      msgpack_pack_uint32 (p, r->thresholds[i].min_importance);
    }
  msgpack_pack_array (p, (size_t)r->pressures_len * PRESSURE_MEMBERS);
  for (uint32_t i = 0; i < r->pressures_len; i++)
    {
      wire_writer_add_str (p, r->pressures[i].service);
      msgpack_pack_uint32 (p, r->pressures[i].permille);
      msgpack_pack_uint32 (p, r->pressures[i].calls);
    }
  msgpack_pack_uint32 (p, r->in_flight);
  msgpack_pack_uint32 (p, r->limit);
  msgpack_pack_uint32 (p, r->success_permille);
  msgpack_pack_uint32 (p, r->arrivals_per_s);
  msgpack_pack_uint32 (p, r->service_us);
  msgpack_pack_uint32 (p, r->residence_us);
  wire_writer_add_bool (p, r->last_part);
  wire_writer_add_bin (p, r->body);
}

/* Packs a part of a body without its bytes, which follow.  */
static void
pack_body_head (msgpack_packer *p, const void *message)
{
  const struct wire_body *b = message;

  msgpack_pack_array (p, 6);
  msgpack_pack_int (p, WIRE_BODY);
  msgpack_pack_uint64 (p, b->request_id);
  pack_attempt (p, b->attempt);
  wire_writer_add_bool (p, b->last_part);
  msgpack_pack_bin (p, b->bytes.len);
}

static void
pack_message (msgpack_packer *p, const void *message)
{
  const struct wire_message *m = message;

  switch (m->type)
    {
    case WIRE_REQUEST:
      pack_request (p, &m->u.request);
      break;
    case WIRE_RESPONSE:
      pack_response (p, &m->u.response);
      break;
    case WIRE_CANCEL:
      msgpack_pack_array (p, 4);
      msgpack_pack_int (p, WIRE_CANCEL);
      msgpack_pack_uint64 (p, m->u.cancel.request_id);
      pack_attempt (p, m->u.cancel.attempt);
      break;
    case WIRE_QUERY:
      msgpack_pack_array (p, 5);
      msgpack_pack_int (p, WIRE_QUERY);
      pack_attempt (p, m->u.query.attempt);
      msgpack_pack_int64 (p, m->u.query.void_duration_us);
      msgpack_pack_int64 (p, m->u.query.attempt_age_us);
      break;
    case WIRE_OUTCOME:
      msgpack_pack_array (p, 4);
      msgpack_pack_int (p, WIRE_OUTCOME);
      pack_attempt (p, m->u.outcome.attempt);
      msgpack_pack_int (p, (int)m->u.outcome.state);
      break;
    case WIRE_BODY:
      pack_body_head (p, &m->u.body);
      msgpack_pack_bin_body (p, m->u.body.bytes.data, m->u.body.bytes.len);
      break;
    }
}

/* Internal functions: decoding */

static struct wire_attempt_id
read_attempt (struct wire_reader *r)
{
  struct wire_attempt_id a;

  a.origin = wire_reader_read_u64 (r);
  a.number = wire_reader_read_u64 (r);
  return a;
}

/* Reads an array that holds up to `max` groups of `size` members one after the
   other, and returns a reader over it.  */
static struct wire_reader
read_groups (struct wire_reader *r, uint32_t size, uint32_t max)
{
  struct wire_reader groups = wire_reader_read_array (r, max * size);

  if (groups.len % size != 0)
    r->failed = groups.failed = true;
  return groups;
}

static struct wire_reader
read_pairs (struct wire_reader *r, uint32_t max)
{
  return read_groups (r, 2, max);
}

static struct wire_header *
read_headers (struct wire_reader *r, uint32_t *len)
{
  struct wire_reader pairs = read_pairs (r, WIRE_HEADERS_MAX);
  struct wire_header *headers;

  *len = 0;
  if (r->failed || pairs.len == 0)
    return NULL;
  headers = g_new (struct wire_header, pairs.len / 2);
  while (pairs.next < pairs.len && !pairs.failed)
    {
      headers[*len].name = wire_reader_read_str (&pairs);
      headers[*len].value = wire_reader_read_str (&pairs);
      ++*len;
    }
  r->failed = r->failed || pairs.failed;
  return headers;
}

static struct wire_threshold *
read_thresholds (struct wire_reader *r, uint32_t *len)
{
  struct wire_reader pairs = read_pairs (r, WIRE_THRESHOLDS_MAX);
  struct wire_threshold *thresholds;

  *len = 0;
  if (r->failed || pairs.len == 0)
    return NULL;
  thresholds = g_new (struct wire_threshold, pairs.len / 2);
  while (pairs.next < pairs.len && !pairs.failed)
    {
      thresholds[*len].service = wire_reader_read_str (&pairs);
      thresholds[*len].min_importance
          = wire_reader_read_u32 (&pairs, UINT32_MAX);
      ++*len;
    }
  r->failed = r->failed || pairs.failed;
  return thresholds;
}

static struct pressure_report *
read_pressures (struct wire_reader *r, uint32_t *len)
{
  /* A response has at most one report for each service on the call path.  */
  struct wire_reader groups
      = read_groups (r, PRESSURE_MEMBERS, PRESSURE_PATH_SERVICES_MAX);
  struct pressure_report *reports;

  *len = 0;
  if (r->failed || groups.len == 0)
    return NULL;
  reports = g_new (struct pressure_report, groups.len / PRESSURE_MEMBERS);
  while (groups.next < groups.len && !groups.failed)
    {
      reports[*len].service = wire_reader_read_str (&groups);
      reports[*len].permille = wire_reader_read_u32 (&groups, PRESSURE_SCALE);
      reports[*len].calls = wire_reader_read_u32 (&groups, PRESSURE_CALLS_MAX);
      ++*len;
    }
  r->failed = r->failed || groups.failed;
  return reports;
}

static void
read_request (struct wire_reader *r, struct wire_request *q)
{
  q->request_id = wire_reader_read_u64 (r);
  q->attempt = read_attempt (r);
  q->service = wire_reader_read_str (r);
  q->route = wire_reader_read_str (r);
  q->method = wire_reader_read_str (r);
  q->path = wire_reader_read_str (r);
  q->headers = read_headers (r, &q->headers_len);
  q->workspace = wire_reader_read_str (r);
  q->importance = wire_reader_read_u32 (r, 9);
  q->timeout_us = wire_reader_read_i64 (r);
  q->due_in_us = wire_reader_read_i64 (r);
  q->retry_budget = wire_reader_read_u32 (r, 1000);
  q->depth = wire_reader_read_u32 (r, 1000);
  q->response_max_us = wire_reader_read_u32 (r, UINT32_MAX);
  q->idempotent = wire_reader_read_bool (r);
  q->traceparent = wire_reader_read_str (r);
  q->caller_id = wire_reader_read_str (r);
  q->caller_service = wire_reader_read_str (r);
  q->last_part = wire_reader_read_bool (r);
  q->body = wire_reader_read_bin (r);
  if (r->next < r->len)
    q->retry = (enum wire_retry)wire_reader_read_u32 (r, WIRE_RETRY_INHERITED);
}

static void
read_response (struct wire_reader *r, struct wire_response *q)
{
  q->request_id = wire_reader_read_u64 (r);
  q->attempt = read_attempt (r);
  q->error = (enum err_kind)wire_reader_read_u32 (r, UINT16_MAX);
  if (q->error >= ERR_KINDS)
    q->error = ERR_INTERNAL;
  q->status = wire_reader_read_u32 (r, 599);
  q->headers = read_headers (r, &q->headers_len);
  q->unused_budget = wire_reader_read_u32 (r, 1000);
  q->thresholds = read_thresholds (r, &q->thresholds_len);
  q->pressures = read_pressures (r, &q->pressures_len);
  q->in_flight = wire_reader_read_u32 (r, UINT32_MAX);
  q->limit = wire_reader_read_u32 (r, UINT32_MAX);
  q->success_permille = wire_reader_read_u32 (r, SUCCESS_RATE_SCALE);
  q->arrivals_per_s = wire_reader_read_u32 (r, UINT32_MAX);
  q->service_us = wire_reader_read_u32 (r, UINT32_MAX);
  q->residence_us = wire_reader_read_u32 (r, UINT32_MAX);
  q->last_part = wire_reader_read_bool (r);
  q->body = wire_reader_read_bin (r);
}

static void
read_message (struct wire_reader *r, struct wire_message *m)
{
  switch (m->type)
    {
    case WIRE_REQUEST:
      read_request (r, &m->u.request);
      break;
    case WIRE_RESPONSE:
      read_response (r, &m->u.response);
      break;
    case WIRE_CANCEL:
      m->u.cancel.request_id = wire_reader_read_u64 (r);
      m->u.cancel.attempt = read_attempt (r);
      break;
    case WIRE_QUERY:
      m->u.query.attempt = read_attempt (r);
      m->u.query.void_duration_us = wire_reader_read_i64 (r);
      m->u.query.attempt_age_us = wire_reader_read_i64 (r);
      break;
    case WIRE_OUTCOME:
      m->u.outcome.attempt = read_attempt (r);
      m->u.outcome.state = (enum wire_outcome_state)wire_reader_read_u32 (
          r, WIRE_OUTCOME_DONE);
      break;
    case WIRE_BODY:
      m->u.body.request_id = wire_reader_read_u64 (r);
      m->u.body.attempt = read_attempt (r);
      m->u.body.last_part = wire_reader_read_bool (r);
      m->u.body.bytes = wire_reader_read_bin (r);
      break;
    default:
      r->failed = true;
      break;
    }
}

/* Public functions */

/**
 * wire_append_message - appends a message as one frame
 * @out: buffer
 * @m: message; its strings are copied
 */
void
wire_append_message (struct str_buf *out, const struct wire_message *m)
{
  wire_writer_append_frame (out, pack_message, m);
}

/* Adds a part of a body as one frame, without a copy if possible.  */
static void
add_body_part (struct evbuffer *out, const struct wire_body *part,
               const struct wire_bytes *body)
{
  struct str_buf payload = { 0 };
  struct str_buf head = { 0 };

  wire_writer_append (&payload, pack_body_head, part);
  frame_append_head (&head, str_view (&payload), part->bytes.len);
  evbuffer_add (out, head.data, head.len);
  if (body->share != NULL)
    evbuffer_add_reference (out, part->bytes.data, part->bytes.len, body->put,
                            body->share (body->data));
  else
    evbuffer_add (out, part->bytes.data, part->bytes.len);
  str_reset (&payload);
  str_reset (&head);
}

void
wire_add_body_parts (struct evbuffer *out, const struct wire_body *part,
                     const struct wire_bytes *body)
{
  struct wire_body next = *part;

  /* The request or response contains the first part.  */
  for (size_t sent = WIRE_BODY_PART_MAX_BYTES; sent < body->bytes.len;
       sent += next.bytes.len)
    {
      next.bytes
          = str_slice (body->bytes, sent, sent + WIRE_BODY_PART_MAX_BYTES);
      next.last_part = sent + next.bytes.len == body->bytes.len;
      add_body_part (out, &next, body);
    }
}

/**
 * wire_load_message - decodes one frame
 * @m: receives the message
 * @frame: bytes after the length prefix; must outlive the message
 *
 * Return: false if the type is unknown or a member has the wrong type or is
 * out of range; nothing has to be freed then.
 */
bool
wire_load_message (struct wire_message *m, struct str frame)
{
  struct wire_reader r;

  memset (m, 0, sizeof *m);
  if (!wire_reader_init (&r, frame))
    return false;
  m->zone = r.zone;
  m->type = (enum wire_type)wire_reader_read_u32 (&r, UINT16_MAX);
  if (!r.failed)
    read_message (&r, m);
  if (wire_reader_is_done (&r))
    return true;
  wire_unload_message (m);
  return false;
}

void
wire_unload_message (struct wire_message *m)
{
  if (m->type == WIRE_REQUEST)
    g_free (m->u.request.headers);
  if (m->type == WIRE_RESPONSE)
    {
      g_free (m->u.response.headers);
      g_free (m->u.response.thresholds);
      g_free (m->u.response.pressures);
    }
  if (m->zone != NULL)
    msgpack_zone_free (m->zone);
  memset (m, 0, sizeof *m);
}

/* The type is encoded as a positive fixint directly after the array header,
   which has 1 byte (fixarray) or 3 bytes (array 16).  */
uint32_t
wire_peek_type (struct str frame)
{
  const unsigned char *bytes = (const unsigned char *)frame.data;
  size_t at = 1;

  if (frame.len < 2)
    return 0;
  if (bytes[0] == 0xdc)
    at = 3;
  else if (bytes[0] < 0x90 || bytes[0] > 0x9f)
    return 0;
  if (at >= frame.len || bytes[at] > 0x7f)
    return 0;
  return bytes[at];
}

bool
wire_equal_attempt (struct wire_attempt_id a, struct wire_attempt_id b)
{
  return a.origin == b.origin && a.number == b.number;
}
