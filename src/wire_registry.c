/* wire_registry: the messages between control threads that synchronize the
   daemon registry, the configuration and the token pools, and their msgpack
   encoding.  */

#include "wire_registry.h"

#include "frame.h"
#include "wire_reader.h"
#include "wire_writer.h"

#include <glib.h>
#include <msgpack.h>
#include <string.h>

/* Constants */

/* Array members of the messages, the type included; TOKENS_MEMBERS is that of
   a token request and of a grant.  */
#define STATE_MEMBERS 22
#define STOPS_MEMBERS 3
#define CONFIG_MEMBERS 3
#define TOKENS_MEMBERS 5
/* Largest number of tokens accepted in a decoded message.  */
#define TOKENS_MAX 1000000u

/* Internal functions: encoding */

/* Packs the id and the boot time of each stop into one array.  */
static void
pack_stops (msgpack_packer *p, const struct backend_stops *s)
{
  msgpack_pack_array (p, (size_t)s->len * 2);
  for (uint32_t i = 0; i < s->len; i++)
    {
      wire_writer_add_str (p, s->rows[i].id);
      msgpack_pack_uint64 (p, (uint64_t)s->rows[i].boot_ms);
    }
}

static void
pack_state (msgpack_packer *p, const struct daemon_registry_state *s)
{
  msgpack_pack_array (p, STATE_MEMBERS);
  msgpack_pack_int (p, WIRE_REGISTRY_STATE);
  msgpack_pack_uint64 (p, s->member);
  msgpack_pack_uint64 (p, (uint64_t)s->started_ms);
  wire_writer_add_str (p, s->name);
  wire_writer_add_str (p, s->address);
  msgpack_pack_uint16 (p, s->peer_port);
  msgpack_pack_uint16 (p, s->control_port);
  wire_writer_add_str (p, s->domain);
  wire_writer_add_str (p, s->service);
  wire_writer_add_bool (p, s->serving);
  wire_writer_add_bool (p, s->leaving);
  wire_writer_add_bool (p, s->store_failed);
  msgpack_pack_uint64 (p, s->revision);
  msgpack_pack_uint64 (p, s->era);
  msgpack_pack_uint64 (p, s->entry_era);
  wire_writer_add_bool (p, s->store_restored);
  msgpack_pack_uint32 (p, s->live);
  wire_writer_add_bool (p, s->stops_known);
  pack_stops (p, &s->stops);
  msgpack_pack_uint64 (p, s->evacuation_revision);
  msgpack_pack_array (p, s->evacuated.len);
  for (uint32_t i = 0; i < s->evacuated.len; i++)
    wire_writer_add_str (p, s->evacuated.names[i]);
  msgpack_pack_array (p, (size_t)s->demands_len * 2);
  for (uint32_t i = 0; i < s->demands_len; i++)
    {
      msgpack_pack_uint64 (p, s->demands[i].hash);
      msgpack_pack_uint32 (p, s->demands[i].per_s_q10);
    }
}

static void
pack_message (msgpack_packer *p, const void *message)
{
  const struct wire_registry_message *m = message;

  switch (m->type)
    {
    case WIRE_REGISTRY_STATE:
      pack_state (p, &m->u.state);
      break;
    case WIRE_REGISTRY_CONFIG_REQUEST:
      msgpack_pack_array (p, 1);
      msgpack_pack_int (p, WIRE_REGISTRY_CONFIG_REQUEST);
      break;
    case WIRE_REGISTRY_CONFIG:
      msgpack_pack_array (p, CONFIG_MEMBERS);
      msgpack_pack_int (p, WIRE_REGISTRY_CONFIG);
      msgpack_pack_uint64 (p, m->u.config.revision);
      wire_writer_add_bin (p, m->u.config.bytes);
      break;
    case WIRE_REGISTRY_TOKEN_REQUEST:
      msgpack_pack_array (p, TOKENS_MEMBERS);
      msgpack_pack_int (p, WIRE_REGISTRY_TOKEN_REQUEST);
      msgpack_pack_uint64 (p, m->u.token_request.sequence);
      wire_writer_add_str (p, m->u.token_request.workspace);
      msgpack_pack_uint32 (p, m->u.token_request.requested);
      msgpack_pack_uint32 (p, m->u.token_request.returned);
      break;
    case WIRE_REGISTRY_GRANT:
      msgpack_pack_array (p, TOKENS_MEMBERS);
      msgpack_pack_int (p, WIRE_REGISTRY_GRANT);
      msgpack_pack_uint64 (p, m->u.grant.sequence);
      msgpack_pack_uint64 (p, m->u.grant.owner);
      wire_writer_add_str (p, m->u.grant.workspace);
      msgpack_pack_uint32 (p, m->u.grant.granted);
      break;
    case WIRE_REGISTRY_STOPS:
      msgpack_pack_array (p, STOPS_MEMBERS);
      msgpack_pack_int (p, WIRE_REGISTRY_STOPS);
      wire_writer_add_str (p, m->u.stops.name);
      pack_stops (p, &m->u.stops.stops);
      break;
    }
}

/* Internal functions: decoding */

static void
read_demands (struct wire_reader *r, struct daemon_registry_state *s)
{
  struct wire_reader pairs
      = wire_reader_read_array (r, WIRE_REGISTRY_DEMANDS_MAX * 2);

  if (pairs.len % 2 != 0)
    r->failed = pairs.failed = true;
  if (r->failed || pairs.len == 0)
    return;
  s->demands = g_new (struct rate_share_demand, pairs.len / 2);
  while (pairs.next < pairs.len && !pairs.failed)
    {
      s->demands[s->demands_len].hash = wire_reader_read_u64 (&pairs);
      s->demands[s->demands_len].per_s_q10
          = wire_reader_read_u32 (&pairs, UINT32_MAX);
      s->demands_len++;
    }
  r->failed = r->failed || pairs.failed;
}

/* The ids are views of the frame.  */
static void
read_stops (struct wire_reader *r, struct backend_stops *s)
{
  struct wire_reader pairs = wire_reader_read_array (r, BACKEND_STOPS_MAX * 2);

  if (pairs.len % 2 != 0)
    r->failed = pairs.failed = true;
  while (!r->failed && !pairs.failed && pairs.next < pairs.len)
    {
      struct backend_stop *row = &s->rows[s->len++];

      row->id = wire_reader_read_str (&pairs);
      row->boot_ms = (int64_t)wire_reader_read_u64 (&pairs);
    }
  r->failed = r->failed || pairs.failed;
}

/* The names are views of the frame.  */
static void
read_domains (struct wire_reader *r, struct evacuation_domains *d)
{
  struct wire_reader names
      = wire_reader_read_array (r, EVACUATION_DOMAINS_MAX);

  while (!r->failed && !names.failed && names.next < names.len)
    evacuation_domains_add (d, wire_reader_read_str (&names));
  r->failed = r->failed || names.failed;
}

static void
read_state (struct wire_reader *r, struct daemon_registry_state *s)
{
  s->member = wire_reader_read_u64 (r);
  s->started_ms = (int64_t)wire_reader_read_u64 (r);
  s->name = wire_reader_read_str (r);
  s->address = wire_reader_read_str (r);
  s->peer_port = (uint16_t)wire_reader_read_u32 (r, UINT16_MAX);
  s->control_port = (uint16_t)wire_reader_read_u32 (r, UINT16_MAX);
  s->domain = wire_reader_read_str (r);
  s->service = wire_reader_read_str (r);
  s->serving = wire_reader_read_bool (r);
  s->leaving = wire_reader_read_bool (r);
  s->store_failed = wire_reader_read_bool (r);
  s->revision = wire_reader_read_u64 (r);
  s->era = wire_reader_read_u64 (r);
  s->entry_era = wire_reader_read_u64 (r);
  s->store_restored = wire_reader_read_bool (r);
  s->live = wire_reader_read_u32 (r, UINT32_MAX);
  s->stops_known = wire_reader_read_bool (r);
  read_stops (r, &s->stops);
  s->evacuation_revision = wire_reader_read_u64 (r);
  read_domains (r, &s->evacuated);
  read_demands (r, s);
}

static void
read_message (struct wire_reader *r, struct wire_registry_message *m)
{
  switch (m->type)
    {
    case WIRE_REGISTRY_STATE:
      read_state (r, &m->u.state);
      break;
    case WIRE_REGISTRY_CONFIG_REQUEST:
      break;
    case WIRE_REGISTRY_CONFIG:
      m->u.config.revision = wire_reader_read_u64 (r);
      m->u.config.bytes = wire_reader_read_bin (r);
      break;
    case WIRE_REGISTRY_TOKEN_REQUEST:
      m->u.token_request.sequence = wire_reader_read_u64 (r);
      m->u.token_request.workspace = wire_reader_read_str (r);
      m->u.token_request.requested = wire_reader_read_u32 (r, TOKENS_MAX);
      m->u.token_request.returned = wire_reader_read_u32 (r, TOKENS_MAX);
      break;
    case WIRE_REGISTRY_GRANT:
      m->u.grant.sequence = wire_reader_read_u64 (r);
      m->u.grant.owner = wire_reader_read_u64 (r);
      m->u.grant.workspace = wire_reader_read_str (r);
      m->u.grant.granted = wire_reader_read_u32 (r, TOKENS_MAX);
      break;
    case WIRE_REGISTRY_STOPS:
      m->u.stops.name = wire_reader_read_str (r);
      read_stops (r, &m->u.stops.stops);
      break;
    default:
      r->failed = true;
      break;
    }
}

/* Public functions */

void
wire_registry_append (struct str_buf *out,
                      const struct wire_registry_message *m)
{
  wire_writer_append_frame (out, pack_message, m);
}

/**
 * wire_registry_load - decodes one frame
 * @m: receives the message
 * @frame: bytes after the length prefix; must outlive the message
 *
 * Return: false if the type is unknown or a member has the wrong type or is
 * out of range; nothing has to be freed then.
 */
bool
wire_registry_load (struct wire_registry_message *m, struct str frame)
{
  struct wire_reader r;

  memset (m, 0, sizeof *m);
  if (!wire_reader_init (&r, frame))
    return false;
  m->zone = r.zone;
  m->type = (enum wire_registry_type)wire_reader_read_u32 (&r, UINT16_MAX);
  if (!r.failed)
    read_message (&r, m);
  if (wire_reader_is_done (&r))
    return true;
  wire_registry_unload (m);
  return false;
}

void
wire_registry_unload (struct wire_registry_message *m)
{
  if (m->type == WIRE_REGISTRY_STATE)
    g_free (m->u.state.demands);
  if (m->zone != NULL)
    msgpack_zone_free (m->zone);
  memset (m, 0, sizeof *m);
}
