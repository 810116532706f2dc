/* wire_shard: the messages between a daemon and the holder of a shard, and
   between a holder and its candidates, and their msgpack encoding.  */

#include "wire_shard.h"

#include "frame.h"
#include "wire_reader.h"
#include "wire_writer.h"

#include <msgpack.h>
#include <string.h>

/* Constants */

#define SHARD_MAX (LEASE_SHARDS_MAX - 1)
/* Array members of a stored shard object and of a stored outcome.  */
#define OBJECT_MEMBERS 9
#define OUTCOME_MEMBERS 3
#define STATUS_MAX 599

/* Types */

/* Encoding and decoding of one message type.  */
struct codec
{
  enum wire_shard_type type;
  uint32_t members; /* array members, the type included */
  void (*pack) (msgpack_packer *p, const struct wire_shard_message *m);
  void (*read) (struct wire_reader *r, struct wire_shard_message *m);
};

/* Internal functions: members */

static void
pack_key (msgpack_packer *p, const struct idempotency_key *key)
{
  wire_writer_add_bin (
      p, (struct str){ IDEMPOTENCY_KEY_BYTES, (const char *)key->bytes });
}

static void
pack_attempt (msgpack_packer *p, struct idempotency_attempt a)
{
  msgpack_pack_uint64 (p, a.origin);
  msgpack_pack_uint64 (p, a.number);
}

static void
pack_daemon (msgpack_packer *p, struct lease_daemon o)
{
  msgpack_pack_uint64 (p, o.id);
  msgpack_pack_uint64 (p, o.incarnation);
}

static struct str
read_name (struct wire_reader *r)
{
  struct str name = wire_reader_read_str (r);

  if (name.len == 0 || name.len > WIRE_SHARD_NAME_MAX_BYTES)
    r->failed = true;
  return r->failed ? STR_EMPTY : name;
}

static struct str
read_bin (struct wire_reader *r, uint32_t max)
{
  struct str bytes = wire_reader_read_bin (r);

  if (bytes.len > max)
    r->failed = true;
  return r->failed ? STR_EMPTY : bytes;
}

static struct idempotency_key
read_key (struct wire_reader *r)
{
  struct str bytes = read_bin (r, IDEMPOTENCY_KEY_BYTES);
  struct idempotency_key key = { { 0 } };

  if (bytes.len != IDEMPOTENCY_KEY_BYTES)
    r->failed = true;
  else
    memcpy (key.bytes, bytes.data, IDEMPOTENCY_KEY_BYTES);
  return key;
}

static struct idempotency_attempt
read_attempt (struct wire_reader *r)
{
  struct idempotency_attempt a;

  a.origin = wire_reader_read_u64 (r);
  a.number = wire_reader_read_u64 (r);
  return a;
}

static struct lease_daemon
read_daemon (struct wire_reader *r)
{
  struct lease_daemon o;

  o.id = wire_reader_read_u64 (r);
  o.incarnation = wire_reader_read_u64 (r);
  return o;
}

/* Internal functions: messages */

static void
pack_token_request (msgpack_packer *p, const struct wire_shard_message *m)
{
  const struct wire_token_request *q = &m->u.token_request;

  wire_writer_add_str (p, q->workspace);
  msgpack_pack_uint32 (p, q->waiting);
  msgpack_pack_uint32 (p, q->demand);
  msgpack_pack_uint32 (p, q->returned);
  msgpack_pack_uint64 (p, q->returned_epoch);
  msgpack_pack_uint64 (p, q->sequence);
}

static void
read_token_request (struct wire_reader *r, struct wire_shard_message *m)
{
  struct wire_token_request *q = &m->u.token_request;

  q->workspace = read_name (r);
  q->waiting = wire_reader_read_u32 (r, UINT32_MAX);
  q->demand = wire_reader_read_u32 (r, UINT32_MAX);
  q->returned = wire_reader_read_u32 (r, UINT32_MAX);
  q->returned_epoch = wire_reader_read_u64 (r);
  q->sequence = wire_reader_read_u64 (r);
}

static void
pack_tokens (msgpack_packer *p, const struct wire_shard_message *m)
{
  const struct wire_tokens *q = &m->u.tokens;

  wire_writer_add_str (p, q->workspace);
  msgpack_pack_uint32 (p, q->count);
  msgpack_pack_uint32 (p, q->validity_ms);
  msgpack_pack_uint64 (p, q->epoch);
  msgpack_pack_uint64 (p, q->sequence);
  wire_writer_add_bool (p, q->is_holder);
}

static void
read_tokens (struct wire_reader *r, struct wire_shard_message *m)
{
  struct wire_tokens *q = &m->u.tokens;

  q->workspace = read_name (r);
  q->count = wire_reader_read_u32 (r, UINT32_MAX);
  q->validity_ms = wire_reader_read_u32 (r, INT32_MAX);
  q->epoch = wire_reader_read_u64 (r);
  q->sequence = wire_reader_read_u64 (r);
  q->is_holder = wire_reader_read_bool (r);
}

static void
pack_register (msgpack_packer *p, const struct wire_shard_message *m)
{
  const struct wire_register *q = &m->u.reg;

  msgpack_pack_uint64 (p, q->request_id);
  pack_key (p, &q->key);
  msgpack_pack_uint64 (p, q->fingerprint);
  pack_attempt (p, q->attempt);
  msgpack_pack_int64 (p, q->timeout_us);
}

static void
read_register (struct wire_reader *r, struct wire_shard_message *m)
{
  struct wire_register *q = &m->u.reg;

  q->request_id = wire_reader_read_u64 (r);
  q->key = read_key (r);
  q->fingerprint = wire_reader_read_u64 (r);
  q->attempt = read_attempt (r);
  q->timeout_us = wire_reader_read_u32 (r, UINT32_MAX);
}

static void
pack_registered (msgpack_packer *p, const struct wire_shard_message *m)
{
  const struct wire_registered *q = &m->u.registered;

  msgpack_pack_uint64 (p, q->request_id);
  msgpack_pack_int (p, (int)q->result);
  wire_writer_add_bin (p, q->outcome);
}

static void
read_registered (struct wire_reader *r, struct wire_shard_message *m)
{
  struct wire_registered *q = &m->u.registered;

  q->request_id = wire_reader_read_u64 (r);
  q->result = (enum idempotency_result)wire_reader_read_u32 (
      r, IDEMPOTENCY_RESULT_COUNT - 1);
  q->outcome = read_bin (r, IDEMPOTENCY_OUTCOME_MAX_BYTES);
}

static void
pack_complete (msgpack_packer *p, const struct wire_shard_message *m)
{
  const struct wire_complete *q = &m->u.complete;

  pack_key (p, &q->key);
  pack_attempt (p, q->attempt);
  wire_writer_add_bool (p, q->not_run);
  wire_writer_add_bin (p, q->outcome);
}

static void
read_complete (struct wire_reader *r, struct wire_shard_message *m)
{
  struct wire_complete *q = &m->u.complete;

  q->key = read_key (r);
  q->attempt = read_attempt (r);
  q->not_run = wire_reader_read_bool (r);
  q->outcome = read_bin (r, IDEMPOTENCY_OUTCOME_MAX_BYTES);
}

static void
pack_promise_request (msgpack_packer *p, const struct wire_shard_message *m)
{
  const struct wire_promise_request *q = &m->u.promise_request;

  msgpack_pack_uint32 (p, q->shard);
  msgpack_pack_uint64 (p, q->epoch);
  msgpack_pack_uint64 (p, q->request_id);
  pack_daemon (p, q->requester);
}

static void
read_promise_request (struct wire_reader *r, struct wire_shard_message *m)
{
  struct wire_promise_request *q = &m->u.promise_request;

  q->shard = wire_reader_read_u32 (r, SHARD_MAX);
  q->epoch = wire_reader_read_u64 (r);
  q->request_id = wire_reader_read_u64 (r);
  q->requester = read_daemon (r);
}

static void
pack_promise (msgpack_packer *p, const struct wire_shard_message *m)
{
  const struct wire_promise *q = &m->u.promise;

  msgpack_pack_uint32 (p, q->shard);
  msgpack_pack_uint64 (p, q->epoch);
  msgpack_pack_uint64 (p, q->request_id);
  pack_daemon (p, q->candidate);
  msgpack_pack_uint32 (p, q->promise_ms);
  msgpack_pack_uint32 (p, q->age_ms);
}

static void
read_promise (struct wire_reader *r, struct wire_shard_message *m)
{
  struct wire_promise *q = &m->u.promise;

  q->shard = wire_reader_read_u32 (r, SHARD_MAX);
  q->epoch = wire_reader_read_u64 (r);
  q->request_id = wire_reader_read_u64 (r);
  q->candidate = read_daemon (r);
  q->promise_ms = wire_reader_read_u32 (r, INT32_MAX);
  q->age_ms = wire_reader_read_u32 (r, UINT32_MAX);
}

static void
pack_holder_request (msgpack_packer *p, const struct wire_shard_message *m)
{
  msgpack_pack_uint32 (p, m->u.holder_request.shard);
}

static void
read_holder_request (struct wire_reader *r, struct wire_shard_message *m)
{
  m->u.holder_request.shard = wire_reader_read_u32 (r, SHARD_MAX);
}

static void
pack_holder (msgpack_packer *p, const struct wire_shard_message *m)
{
  const struct wire_holder *q = &m->u.holder;

  msgpack_pack_uint32 (p, q->shard);
  msgpack_pack_uint64 (p, q->epoch);
  pack_daemon (p, q->holder);
}

static void
read_holder (struct wire_reader *r, struct wire_shard_message *m)
{
  struct wire_holder *q = &m->u.holder;

  q->shard = wire_reader_read_u32 (r, SHARD_MAX);
  q->epoch = wire_reader_read_u64 (r);
  q->holder = read_daemon (r);
}

static const struct codec codecs[] = {
  { WIRE_TOKEN_REQUEST, 7, pack_token_request, read_token_request },
  { WIRE_TOKENS, 7, pack_tokens, read_tokens },
  { WIRE_REGISTER, 7, pack_register, read_register },
  { WIRE_REGISTERED, 4, pack_registered, read_registered },
  { WIRE_COMPLETE, 6, pack_complete, read_complete },
  { WIRE_PROMISE_REQUEST, 6, pack_promise_request, read_promise_request },
  { WIRE_PROMISE, 8, pack_promise, read_promise },
  { WIRE_HOLDER_REQUEST, 2, pack_holder_request, read_holder_request },
  { WIRE_HOLDER, 5, pack_holder, read_holder },
};

static const struct codec *
find_codec (uint32_t type)
{
  for (size_t i = 0; i < sizeof codecs / sizeof *codecs; i++)
    if ((uint32_t)codecs[i].type == type)
      return &codecs[i];
  return NULL;
}

/* Reads the members of a message; false if their number, types or ranges are
   wrong.  */
static bool
read_message (struct wire_reader *r, struct wire_shard_message *m)
{
  uint32_t len = r->len;
  const struct codec *codec
      = find_codec (wire_reader_read_u32 (r, UINT16_MAX));

  if (r->failed || codec == NULL || len != codec->members)
    return false;
  m->type = codec->type;
  codec->read (r, m);
  return wire_reader_is_done (r);
}

/* Internal functions: encoding of arrays */

static void
pack_message (msgpack_packer *p, const void *message)
{
  const struct wire_shard_message *m = message;
  const struct codec *codec = find_codec ((uint32_t)m->type);

  msgpack_pack_array (p, codec->members);
  msgpack_pack_int (p, (int)codec->type);
  codec->pack (p, m);
}

static void
pack_object (msgpack_packer *p, const void *message)
{
  const struct lease_object *o = message;

  msgpack_pack_array (p, OBJECT_MEMBERS);
  pack_daemon (p, o->holder);
  msgpack_pack_uint64 (p, o->epoch);
  for (uint32_t i = 0; i < LEASE_CANDIDATES; i++)
    pack_daemon (p, o->candidates[i]);
  msgpack_pack_uint32 (p, o->term_ms);
  wire_writer_add_bool (p, o->released);
}

static void
pack_outcome (msgpack_packer *p, const void *message)
{
  const struct wire_shard_outcome *o = message;

  msgpack_pack_array (p, OUTCOME_MEMBERS);
  msgpack_pack_uint32 (p, o->status);
  wire_writer_add_bin (p, o->content_type);
  wire_writer_add_bin (p, o->body);
}

/* Public functions */

/**
 * wire_shard_append_message - appends a message as one frame
 * @out: buffer
 * @m: message; its strings are copied
 */
void
wire_shard_append_message (struct str_buf *out,
                           const struct wire_shard_message *m)
{
  if (find_codec ((uint32_t)m->type) != NULL)
    wire_writer_append_frame (out, pack_message, m);
}

/**
 * wire_shard_load_message - decodes one frame
 * @m: receives the message
 * @frame: bytes after the length prefix; must outlive the message
 *
 * Return: false if the type is unknown or a member has the wrong type or is
 * out of range; nothing has to be freed then.
 */
bool
wire_shard_load_message (struct wire_shard_message *m, struct str frame)
{
  struct wire_reader r;

  memset (m, 0, sizeof *m);
  if (!wire_reader_init (&r, frame))
    return false;
  if (!read_message (&r, m))
    {
      wire_reader_close (&r);
      return false;
    }
  m->zone = r.zone;
  return true;
}

void
wire_shard_unload_message (struct wire_shard_message *m)
{
  if (m->zone != NULL)
    msgpack_zone_free (m->zone);
  memset (m, 0, sizeof *m);
}

/* Public functions: stored values */

void
wire_shard_append_object (struct str_buf *out, const struct lease_object *o)
{
  wire_writer_append (out, pack_object, o);
}

bool
wire_shard_load_object (struct lease_object *o, struct str value)
{
  struct wire_reader r;
  bool ok;

  memset (o, 0, sizeof *o);
  if (!wire_reader_init (&r, value))
    return false;
  o->holder = read_daemon (&r);
  o->epoch = wire_reader_read_u64 (&r);
  for (uint32_t i = 0; i < LEASE_CANDIDATES; i++)
    o->candidates[i] = read_daemon (&r);
  o->term_ms = wire_reader_read_u32 (&r, INT32_MAX);
  o->released = wire_reader_read_bool (&r);
  ok = wire_reader_is_done (&r);
  wire_reader_close (&r);
  return ok;
}

void
wire_shard_append_outcome (struct str_buf *out,
                           const struct wire_shard_outcome *o)
{
  wire_writer_append (out, pack_outcome, o);
}

bool
wire_shard_load_outcome (struct wire_shard_outcome *o, struct str bytes)
{
  struct wire_reader r;
  bool ok;

  memset (o, 0, sizeof *o);
  if (!wire_reader_init (&r, bytes))
    return false;
  o->status = wire_reader_read_u32 (&r, STATUS_MAX);
  o->content_type = str_copy (read_bin (&r, IDEMPOTENCY_OUTCOME_MAX_BYTES));
  o->body = str_copy (read_bin (&r, IDEMPOTENCY_OUTCOME_MAX_BYTES));
  ok = wire_reader_is_done (&r);
  wire_reader_close (&r);
  if (ok)
    return true;
  str_free (&o->content_type);
  str_free (&o->body);
  return false;
}
