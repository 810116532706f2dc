/* wire_control: msgpack encoding of the control messages between daemons.  */

#include "wire_control.h"

#include "clock.h"
#include "frame.h"
#include "wire.h"
#include "wire_reader.h"
#include "wire_writer.h"

#include <arpa/inet.h>
#include <glib.h>
#include <msgpack.h>
#include <string.h>

/* Constants */

/* The liveness and the backend state of an entry are sent in one number, the
   liveness in the low bits.  */
#define LIVENESS_BITS 2
/* Array members of a brief membership entry, and of a full one, which also has
   the service's name, the slots and the other ports.  */
#define BRIEF_ENTRY_MEMBERS 7u
#define FULL_ENTRY_MEMBERS 12u
/* Array members of an outage report (see freshness.h): domain, revision,
   age.  */
#define OUTAGE_REPORT_MEMBERS 3u
#define IPV4_BYTES 4u
/* Smallest encoding of an entry.  */
#define ENTRY_MIN_BYTES 12u

/* Prefix of an IPv4-mapped IPv6 address.  */
static const unsigned char ipv4_mapped_prefix[MEMBER_IP_BYTES - IPV4_BYTES]
    = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

/* Internal functions: encoding */

static void
pack_ip (msgpack_packer *p, const unsigned char *ip)
{
  size_t prefix_len
      = memcmp (ip, ipv4_mapped_prefix, sizeof ipv4_mapped_prefix) == 0
            ? sizeof ipv4_mapped_prefix
            : 0;

  msgpack_pack_bin_with_body (p, ip + prefix_len,
                              MEMBER_IP_BYTES - prefix_len);
}

static void
pack_entry (msgpack_packer *p, const struct member_entry *e)
{
  msgpack_pack_array (p, e->full ? FULL_ENTRY_MEMBERS : BRIEF_ENTRY_MEMBERS);
  msgpack_pack_uint64 (p, e->id);
  msgpack_pack_uint64 (p, e->incarnation);
  msgpack_pack_uint32 (p, (uint32_t)e->liveness
                              | ((uint32_t)e->backend << LIVENESS_BITS));
  msgpack_pack_uint32 (p, e->domain);
  msgpack_pack_uint64 (p, e->service_hash);
  pack_ip (p, e->address.ip);
  msgpack_pack_uint16 (p, e->address.ports[MEMBER_PORT_CONTROL]);
  if (!e->full)
    return;
  wire_writer_add_str (p, e->service);
  msgpack_pack_uint32 (p, e->slots);
  msgpack_pack_uint16 (p, e->address.ports[MEMBER_PORT_CALLER]);
  msgpack_pack_uint16 (p, e->address.ports[MEMBER_PORT_LOCAL]);
  msgpack_pack_uint16 (p, e->address.ports[MEMBER_PORT_PEER]);
}

static void
pack_entries (msgpack_packer *p, const struct member_entry *entries,
              uint32_t len)
{
  msgpack_pack_array (p, len);
  for (uint32_t i = 0; i < len; i++)
    pack_entry (p, &entries[i]);
}

static void
pack_changes (msgpack_packer *p, const struct gossip_change *changes,
              uint32_t len)
{
  msgpack_pack_array (p, (size_t)len * 2);
  for (uint32_t i = 0; i < len; i++)
    {
      msgpack_pack_uint64 (p, changes[i].revision);
      msgpack_pack_bin_with_body (p, changes[i].bytes.data,
                                  changes[i].bytes.len);
    }
}

/* Ages are rounded up, so that evidence never appears younger than it is.  */
static void
pack_age (msgpack_packer *p, int64_t age_us)
{
  int64_t age_ms = (age_us + CLOCK_US_PER_MS - 1) / CLOCK_US_PER_MS;

  msgpack_pack_uint32 (p, (uint32_t)CLAMP (age_ms, 0, UINT32_MAX));
}

static void
pack_evidence (msgpack_packer *p, const struct freshness_evidence *e)
{
  msgpack_pack_array (p, (e->has_read ? 2 : 0)
                             + (size_t)e->outage_reports_len
                                   * OUTAGE_REPORT_MEMBERS);
  if (e->has_read)
    {
      msgpack_pack_uint64 (p, e->revision);
      pack_age (p, e->age_us);
    }
  for (uint32_t i = 0; i < e->outage_reports_len; i++)
    {
      msgpack_pack_uint32 (p, e->outage_reports[i].domain);
      msgpack_pack_uint64 (p, e->outage_reports[i].revision);
      pack_age (p, e->outage_reports[i].age_us);
    }
}

static void
pack_header (msgpack_packer *p, size_t members, enum wire_control_type type,
             const struct gossip_datagram *d)
{
  msgpack_pack_array (p, members);
  msgpack_pack_int (p, (int)type);
  msgpack_pack_uint64 (p, d->from);
  msgpack_pack_uint64 (p, d->incarnation);
  msgpack_pack_uint32 (p, d->seq);
  msgpack_pack_uint64 (p, d->revision);
}

static void
pack_datagram (msgpack_packer *p, const void *message)
{
  const struct gossip_datagram *d = message;

  switch (d->type)
    {
    case GOSSIP_PROBE:
      pack_header (p, 9, WIRE_PROBE, d);
      break;
    case GOSSIP_ACK:
      pack_header (p, 9, WIRE_ACK, d);
      break;
    case GOSSIP_PROBE_REQ:
      pack_header (p, 6, WIRE_PROBE_REQ, d);
      msgpack_pack_uint64 (p, d->target);
      return;
    }
  msgpack_pack_uint32 (p, d->hold_ms);
  pack_evidence (p, &d->evidence);
  pack_entries (p, d->entries, d->entries_len);
  pack_changes (p, d->changes, d->changes_len);
}

static void
pack_sync (msgpack_packer *p, const struct wire_sync_members *s)
{
  uint32_t digests[MEMBER_WINDOW_BUCKETS];

  for (uint32_t i = 0; i < MEMBER_WINDOW_BUCKETS; i++)
    digests[i] = htonl (s->digests[i]);
  msgpack_pack_array (p, 5);
  msgpack_pack_int (p, WIRE_SYNC_MEMBERS);
  msgpack_pack_uint64 (p, s->service_hash);
  msgpack_pack_uint32 (p, s->max_bytes);
  msgpack_pack_uint32 (p, s->window);
  msgpack_pack_bin_with_body (p, digests,
                              s->service_hash == 0 ? sizeof digests : 0);
}

static void
pack_message (msgpack_packer *p, const void *message)
{
  const struct wire_control_message *m = message;

  switch (m->type)
    {
    case WIRE_SYNC_MEMBERS:
      pack_sync (p, &m->u.sync);
      break;
    case WIRE_MEMBERS:
      msgpack_pack_array (p, 4);
      msgpack_pack_int (p, WIRE_MEMBERS);
      msgpack_pack_uint64 (p, m->u.members.service_hash);
      wire_writer_add_bool (p, m->u.members.complete);
      pack_entries (p, m->u.members.entries, m->u.members.entries_len);
      break;
    case WIRE_PULL_CHANGES:
      msgpack_pack_array (p, 2);
      msgpack_pack_int (p, WIRE_PULL_CHANGES);
      msgpack_pack_uint64 (p, m->u.pull.revision);
      break;
    case WIRE_CHANGES:
      msgpack_pack_array (p, 3);
      msgpack_pack_int (p, WIRE_CHANGES);
      wire_writer_add_bool (p, m->u.changes.available);
      pack_changes (p, m->u.changes.changes, m->u.changes.changes_len);
      break;
    default:
      pack_datagram (p, &m->u.datagram);
      break;
    }
}

/* Internal functions: decoding */

static void
read_ip (struct wire_reader *r, unsigned char *ip)
{
  struct str bytes = wire_reader_read_bin (r);
  size_t prefix_len = bytes.len == IPV4_BYTES ? sizeof ipv4_mapped_prefix : 0;

  if (bytes.len + prefix_len != MEMBER_IP_BYTES)
    {
      r->failed = true;
      return;
    }
  memcpy (ip, ipv4_mapped_prefix, prefix_len);
  memcpy (ip + prefix_len, bytes.data, bytes.len);
}

static uint16_t
read_port (struct wire_reader *r)
{
  return (uint16_t)wire_reader_read_u32 (r, UINT16_MAX);
}

static void
read_full_entry_members (struct wire_reader *r, struct member_entry *e)
{
  e->full = true;
  e->service = wire_reader_read_str (r);
  e->slots = wire_reader_read_u32 (r, UINT32_MAX);
  e->address.ports[MEMBER_PORT_CALLER] = read_port (r);
  e->address.ports[MEMBER_PORT_LOCAL] = read_port (r);
  e->address.ports[MEMBER_PORT_PEER] = read_port (r);
  if (e->service.len > MEMBER_SERVICE_MAX_BYTES
      || (e->service.len > 0) != (e->service_hash != 0))
    r->failed = true;
}

static bool
read_entry (struct wire_reader *outer, struct member_entry *e)
{
  struct wire_reader r = wire_reader_read_array (outer, FULL_ENTRY_MEMBERS);
  uint32_t state;

  memset (e, 0, sizeof *e);
  e->service = STR_EMPTY;
  e->id = wire_reader_read_u64 (&r);
  e->incarnation = wire_reader_read_u64 (&r);
  state = wire_reader_read_u32 (&r, (MEMBER_BACKEND_LEAVING << LIVENESS_BITS)
                                        | MEMBER_DEAD);
  e->liveness = (enum member_liveness) (state & ((1u << LIVENESS_BITS) - 1));
  e->backend = (enum member_backend) (state >> LIVENESS_BITS);
  e->domain = wire_reader_read_u32 (&r, UINT32_MAX);
  e->service_hash = wire_reader_read_u64 (&r);
  read_ip (&r, e->address.ip);
  e->address.ports[MEMBER_PORT_CONTROL] = read_port (&r);
  if (!r.failed && r.len > BRIEF_ENTRY_MEMBERS)
    read_full_entry_members (&r, e);
  if (!wire_reader_is_done (&r) || e->id == 0 || e->liveness > MEMBER_DEAD)
    outer->failed = true;
  return !outer->failed;
}

static uint32_t
read_entries (struct wire_reader *outer, struct member_entry *entries,
              uint32_t max)
{
  struct wire_reader r = wire_reader_read_array (outer, max);
  uint32_t len = 0;

  while (!r.failed && r.next < r.len && read_entry (&r, &entries[len]))
    len++;
  outer->failed = outer->failed || r.failed;
  return len;
}

static uint32_t
read_changes (struct wire_reader *outer, struct gossip_change *changes,
              uint32_t max)
{
  struct wire_reader r = wire_reader_read_array (outer, max * 2);
  uint32_t len = 0;

  while (!r.failed && r.next < r.len)
    {
      changes[len].revision = wire_reader_read_u64 (&r);
      changes[len].bytes = wire_reader_read_bin (&r);
      len++;
    }
  outer->failed = outer->failed || r.failed;
  return len;
}

static int64_t
read_age (struct wire_reader *r)
{
  return (int64_t)wire_reader_read_u32 (r, UINT32_MAX) * CLOCK_US_PER_MS;
}

/* The array has 2 members for the read, if there is one, and 3 for each outage
   report.  The remainder of a division by 3 therefore shows whether there is a
   read.  */
static void
read_evidence (struct wire_reader *outer, struct freshness_evidence *e)
{
  struct wire_reader r = wire_reader_read_array (
      outer, 2 + FRESHNESS_DOMAINS_MAX * OUTAGE_REPORT_MEMBERS);
  uint32_t remainder = r.len % OUTAGE_REPORT_MEMBERS;

  e->has_read = remainder == 2;
  e->outage_reports_len = r.len / OUTAGE_REPORT_MEMBERS;
  if (r.failed || remainder == 1
      || e->outage_reports_len > FRESHNESS_DOMAINS_MAX)
    {
      outer->failed = true;
      return;
    }
  if (e->has_read)
    {
      e->revision = wire_reader_read_u64 (&r);
      e->age_us = read_age (&r);
    }
  for (uint32_t i = 0; i < e->outage_reports_len; i++)
    {
      e->outage_reports[i].domain = wire_reader_read_u32 (&r, UINT32_MAX);
      e->outage_reports[i].revision = wire_reader_read_u64 (&r);
      e->outage_reports[i].age_us = read_age (&r);
    }
  outer->failed = outer->failed || !wire_reader_is_done (&r);
}

static void
read_datagram (struct wire_reader *r, enum wire_control_type type,
               struct gossip_datagram *d)
{
  d->from = wire_reader_read_u64 (r);
  d->incarnation = wire_reader_read_u64 (r);
  d->seq = wire_reader_read_u32 (r, UINT32_MAX);
  d->revision = wire_reader_read_u64 (r);
  if (type == WIRE_PROBE_REQ)
    {
      d->type = GOSSIP_PROBE_REQ;
      d->target = wire_reader_read_u64 (r);
      return;
    }
  d->type = type == WIRE_PROBE ? GOSSIP_PROBE : GOSSIP_ACK;
  d->hold_ms = wire_reader_read_u32 (r, UINT32_MAX);
  read_evidence (r, &d->evidence);
  d->entries_len = read_entries (r, d->entries, GOSSIP_DATAGRAM_ENTRIES_MAX);
  d->changes_len = read_changes (r, d->changes, GOSSIP_DATAGRAM_CHANGES_MAX);
}

static void
read_sync (struct wire_reader *r, struct wire_sync_members *s)
{
  struct str digests;

  s->service_hash = wire_reader_read_u64 (r);
  s->max_bytes = wire_reader_read_u32 (r, MEMBER_JOIN_BYTES);
  s->window = wire_reader_read_u32 (r, MEMBER_WINDOWS - 1);
  digests = wire_reader_read_bin (r);
  if (digests.len != (s->service_hash == 0 ? sizeof s->digests : 0))
    {
      r->failed = true;
      return;
    }
  memcpy (s->digests, digests.data, digests.len);
  for (uint32_t i = 0; i < MEMBER_WINDOW_BUCKETS; i++)
    s->digests[i] = ntohl (s->digests[i]);
}

/* Returns the length of the next member if it is an array, else 0.  The length
   is safe as an allocation size, since wire_reader_init has checked it against
   the bytes present.  */
static uint32_t
peek_array_len (const struct wire_reader *r)
{
  if (r->failed || r->next >= r->len
      || r->items[r->next].type != MSGPACK_OBJECT_ARRAY)
    return 0;
  return r->items[r->next].via.array.size;
}

static void
read_message (struct wire_reader *r, struct wire_control_message *m)
{
  uint32_t len;

  switch (m->type)
    {
    case WIRE_PROBE:
    case WIRE_ACK:
    case WIRE_PROBE_REQ:
      read_datagram (r, m->type, &m->u.datagram);
      break;
    case WIRE_SYNC_MEMBERS:
      read_sync (r, &m->u.sync);
      break;
    case WIRE_MEMBERS:
      m->u.members.service_hash = wire_reader_read_u64 (r);
      m->u.members.complete = wire_reader_read_bool (r);
      len = MIN (peek_array_len (r), WIRE_FRAME_MAX_BYTES / ENTRY_MIN_BYTES);
      m->u.members.entries = g_new (struct member_entry, len);
      m->u.members.entries_len = read_entries (r, m->u.members.entries, len);
      break;
    case WIRE_PULL_CHANGES:
      m->u.pull.revision = wire_reader_read_u64 (r);
      break;
    case WIRE_CHANGES:
      m->u.changes.available = wire_reader_read_bool (r);
      len = peek_array_len (r) / 2;
      m->u.changes.changes = g_new (struct gossip_change, len);
      m->u.changes.changes_len = read_changes (r, m->u.changes.changes, len);
      break;
    default:
      r->failed = true;
      break;
    }
}

/* Public functions */

/**
 * wire_control_append_datagram - appends the encoding of a UDP message
 * @out: buffer
 * @d: datagram; its strings are copied
 */
void
wire_control_append_datagram (struct str_buf *out,
                              const struct gossip_datagram *d)
{
  wire_writer_append (out, pack_datagram, d);
}

/**
 * wire_control_append_frame - appends a TCP message as one frame
 * @out: buffer
 * @m: message; its strings are copied
 */
void
wire_control_append_frame (struct str_buf *out,
                           const struct wire_control_message *m)
{
  wire_writer_append_frame (out, pack_message, m);
}

/**
 * wire_control_load_message - decodes one datagram or frame
 * @m: receives the message
 * @bytes: datagram, or frame without its length prefix; must outlive the
 *   message
 *
 * Return: false if the type is unknown or a member has the wrong type or is
 * out of range; nothing has to be freed then.
 */
bool
wire_control_load_message (struct wire_control_message *m, struct str bytes)
{
  struct wire_reader r;

  memset (m, 0, sizeof *m);
  if (!wire_reader_init (&r, bytes))
    return false;
  m->zone = r.zone;
  m->type = (enum wire_control_type)wire_reader_read_u32 (&r, UINT16_MAX);
  read_message (&r, m);
  if (wire_reader_is_done (&r))
    return true;
  wire_control_unload_message (m);
  return false;
}

void
wire_control_unload_message (struct wire_control_message *m)
{
  if (m->type == WIRE_MEMBERS)
    g_free (m->u.members.entries);
  if (m->type == WIRE_CHANGES)
    g_free (m->u.changes.changes);
  if (m->zone != NULL)
    msgpack_zone_free (m->zone);
  memset (m, 0, sizeof *m);
}
