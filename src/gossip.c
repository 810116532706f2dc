/* gossip: the content of the datagrams between daemons.

   A delta is a member entry in the queue of entries to gossip.  A held probe
   is a received probe whose answer is delayed.  Evidence shows that the
   configuration of a daemon is current; it is too old after the freshness
   bound.  */

#include "gossip.h"

#include "clock.h"

#include <string.h>

/* Constants */

/* An entry is sent this many times and once more for each doubling of the
   fleet: 19 times at 22,000 members.  On average fewer than one of them has
   not received it then.  */
#define SENDS_MIN 4u

/* Internal functions: member entries */

static uint32_t
count_sends (const struct gossip *g)
{
  uint32_t doublings = 1;

  while (g->members->rows.count >> doublings != 0)
    doublings++;
  return SENDS_MIN + doublings;
}

static void
drop_delta (struct gossip *g, GList *link)
{
  struct gossip_delta *delta = link->data;

  g_hash_table_remove (g->queued, &delta->row);
  g_queue_delete_link (&g->deltas, link);
  g_free (delta);
}

static void
queue_delta (struct gossip *g, uint64_t row)
{
  GList *link = g_hash_table_lookup (g->queued, &row);
  struct gossip_delta *delta;

  if (link != NULL)
    drop_delta (g, link);
  while (g->deltas.length >= GOSSIP_DELTAS_MAX)
    drop_delta (g, g->deltas.tail);
  delta = g_new0 (struct gossip_delta, 1);
  delta->row = row;
  g_queue_push_head (&g->deltas, delta);
  g_hash_table_insert (g->queued, &delta->row, g->deltas.head);
}

static void
refill_entry_bytes (struct gossip *g, int64_t now_us)
{
  g->entry_bytes += (double)(now_us - g->refilled_us) * GOSSIP_ENTRY_RATE
                    / CLOCK_US_PER_S;
  g->entry_bytes = MIN (g->entry_bytes, (double)GOSSIP_ENTRY_BURST);
  g->refilled_us = now_us;
}

static void
add_entry (struct gossip *g, struct gossip_datagram *d,
           const struct member_row *row)
{
  d->entries[d->entries_len++] = row->entry;
  g->entry_bytes -= member_entry_bytes (&row->entry);
}

/* Adds the entry at the head of the queue to the datagram and moves it to the
   tail, or drops it from the queue if it was sent often enough or must not be
   sent.  Returns false if it exceeds the byte budget or the datagram.  */
static bool
add_queued_entry (struct gossip *g, struct gossip_datagram *d)
{
  GList *link = g->deltas.head;
  struct gossip_delta *delta = link->data;
  struct member_row *row = table_get (&g->members->rows, delta->row);

  if (row == NULL || row->stale_details
      || (row->domain->unreachable && row != g->members->self))
    {
      drop_delta (g, link);
      return true;
    }
  if (member_entry_bytes (&row->entry) > g->entry_bytes
      || gossip_datagram_bytes (d) + member_entry_bytes (&row->entry)
             > GOSSIP_DATAGRAM_BYTES)
    return false;
  add_entry (g, d, row);
  if (++delta->sends >= count_sends (g))
    {
      drop_delta (g, link);
      return true;
    }
  g_queue_unlink (&g->deltas, link);
  g_queue_push_tail_link (&g->deltas, link);
  return true;
}

static void
add_entries (struct gossip *g, struct gossip_datagram *d)
{
  guint tries = MIN (g->deltas.length, GOSSIP_DATAGRAM_ENTRIES_MAX);

  while (tries-- > 0 && g->deltas.length > 0
         && d->entries_len < GOSSIP_DATAGRAM_ENTRIES_MAX)
    if (!add_queued_entry (g, d))
      return;
}

/* Internal functions: changes */

static struct gossip_change *
find_change (const struct gossip *g, uint64_t revision)
{
  struct gossip_change *c = &g->changes[revision % GOSSIP_CHANGES_KEPT];

  return c->revision == revision && revision != 0 ? c : NULL;
}

static void
close_gap (struct gossip *g)
{
  while (find_change (g, g->revision + 1) != NULL)
    g->revision++;
}

static void
add_changes (const struct gossip *g, struct gossip_datagram *d, uint64_t above)
{
  uint32_t bytes = gossip_datagram_bytes (d);

  for (uint64_t r = above + 1; r <= g->revision; r++)
    {
      const struct gossip_change *c = find_change (g, r);

      if (c == NULL || d->changes_len == GOSSIP_DATAGRAM_CHANGES_MAX)
        return;
      bytes += GOSSIP_CHANGE_BYTES + (uint32_t)c->bytes.len;
      if (bytes > GOSSIP_DATAGRAM_BYTES)
        return;
      d->changes[d->changes_len++] = *c;
    }
}

static void
record_peer_revision (struct gossip *g, const struct gossip_datagram *d,
                      int64_t now_us)
{
  uint64_t shown = d->evidence.has_read
                       ? MAX (d->revision, d->evidence.revision)
                       : d->revision;

  freshness_record_revision (g->fresh, shown);
  if (d->revision <= g->revision)
    return;
  if (g->peer_revision <= g->revision)
    g->next_pull_us = now_us + (int64_t)GOSSIP_PULL_DELAY_MS * CLOCK_US_PER_MS;
  if (d->revision < g->peer_revision)
    return;
  g->peer_revision = d->revision;
  g->peer_revision_from = d->from;
}

/* Internal functions: datagrams */

static struct gossip_datagram *
add_datagram (struct gossip *g, enum gossip_type type, uint64_t to,
              const struct member_address *address)
{
  const struct member_entry *self = &g->members->self->entry;
  struct gossip_datagram *d;

  table_add (&g->out, (void **)&d);
  d->type = type;
  d->to = to;
  d->address = *address;
  d->from = self->id;
  d->incarnation = self->incarnation;
  d->revision = g->revision;
  return d;
}

/* Returns the longest delay that a probe allows for its answer, which is
   shorter if the evidence here is old.  A daemon whose evidence has exceeded
   the freshness bound uses the normal delay: in a long partition it would
   otherwise use the shorter one all the time.  */
static uint32_t
get_hold_ms (const struct gossip *g, uint32_t hold_ms, int64_t now_us)
{
  int64_t time_us = freshness_get_evidence_time (g->fresh);
  bool stale
      = time_us != INT64_MIN
        && now_us - time_us >= (int64_t)GOSSIP_STALE_AGE_MS * CLOCK_US_PER_MS
        && now_us - time_us < g->fresh->bound_us;

  return stale ? MIN (hold_ms, GOSSIP_STALE_HOLD_MS) : hold_ms;
}

/* If the evidence here is older than GOSSIP_URGENT_AGE_MS, probes a member of
   the failure domain with the oldest evidence.  With random probes alone,
   about one daemon in several hundred would have no evidence from some failure
   domain for longer than the freshness bound.  */
static void
send_urgent_probe (struct gossip *g, int64_t now_us)
{
  int64_t expiry_us = freshness_get_expiry (g->fresh);
  int64_t margin_us
      = g->fresh->bound_us - (int64_t)GOSSIP_URGENT_AGE_MS * CLOCK_US_PER_MS;
  uint32_t domain = freshness_get_limiting_domain (g->fresh);
  const struct member_row *to;

  if (now_us < g->next_urgent_us || expiry_us <= now_us
      || expiry_us - now_us > margin_us)
    return;
  g->next_urgent_us
      = now_us + (int64_t)GOSSIP_URGENT_RETRY_MS * CLOCK_US_PER_MS;
  if (domain == 0)
    domain = g->members->self->entry.domain;
  to = member_pick (g->members, domain);
  if (to == NULL)
    return;
  member_send_probe (g->members, to->entry.id, now_us);
}

static void
send_answer (struct gossip *g, const struct gossip_held *h, int64_t now_us)
{
  struct gossip_datagram *d
      = add_datagram (g, GOSSIP_ACK, h->from, &h->address);
  struct member_row *row = table_get (&g->members->rows, h->entry_row);

  d->seq = h->seq;
  d->hold_ms = (uint32_t)((now_us - h->received_us) / CLOCK_US_PER_MS);
  freshness_get_evidence (g->fresh, &d->evidence, now_us);
  if (row != NULL)
    add_entry (g, d, row);
  if (h->revision != UINT64_MAX)
    add_changes (g, d, h->revision);
  add_entries (g, d);
}

static bool
has_new_information (const struct gossip *g, const struct gossip_held *h)
{
  return h->entry_row != 0 || h->revision != UINT64_MAX
         || freshness_get_gain (g->fresh, &h->evidence, h->received_us)
                >= (int64_t)GOSSIP_EVIDENCE_GAIN_MS * CLOCK_US_PER_MS;
}

static void
hold_probe (struct gossip *g, const struct gossip_datagram *d, bool refute,
            int64_t now_us)
{
  uint32_t hold_ms
      = g->held.count < GOSSIP_HELD_MAX ? MIN (d->hold_ms, MEMBER_HOLD_MS) : 0;
  struct gossip_held *h;

  table_add (&g->held, (void **)&h);
  h->from = d->from;
  h->address = d->address;
  h->seq = d->seq;
  /* A new daemon does not know which member has a seed address, and probes it
     with no delay allowed; the entry in the answer identifies the member.  */
  if (d->hold_ms == 0)
    h->entry_row = g->members->self->row;
  if (refute)
    h->entry_row = member_find (g->members, d->from)->row;
  h->revision = d->revision < g->revision ? d->revision : UINT64_MAX;
  h->received_us = now_us;
  h->until_us = now_us + (int64_t)hold_ms * CLOCK_US_PER_MS;
  h->evidence = d->evidence;
}

/* Sends the entry of a member, which is suspect or dead here, to the member
   itself, because it has answered and must refute the entry.  If only this
   daemon has marked it as dead, no other daemon would cause the refutation for
   a long time.  */
static void
send_entry_to_refute (struct gossip *g, uint64_t id)
{
  const struct member_row *row = member_find (g->members, id);

  add_entry (g, add_datagram (g, GOSSIP_PROBE, id, &row->entry.address), row);
}

static void
receive_ack (struct gossip *g, const struct gossip_datagram *d, bool refute,
             int64_t now_us)
{
  int64_t sent_us;

  if (!member_handle_ack (g->members, d->seq, d->from, &sent_us, now_us))
    return;
  if (refute)
    send_entry_to_refute (g, d->from);
  freshness_merge (
      g->fresh, &d->evidence,
      MIN (now_us, sent_us + (int64_t)d->hold_ms * CLOCK_US_PER_MS));
}

static void
fill_probe (struct gossip *g, const struct member_message *m, int64_t now_us)
{
  struct gossip_datagram *d
      = add_datagram (g, GOSSIP_PROBE, m->to, &m->address);

  d->seq = m->seq;
  d->hold_ms = get_hold_ms (g, m->hold_ms, now_us);
  freshness_get_evidence (g->fresh, &d->evidence, now_us);
  if (m->to == 0)
    add_entry (g, d, g->members->self);
  add_entries (g, d);
}

static void
fill_probe_request (struct gossip *g, const struct member_message *m)
{
  struct gossip_datagram *d
      = add_datagram (g, GOSSIP_PROBE_REQ, m->to, &m->address);

  d->seq = m->seq;
  d->target = m->target;
}

/* Relays the answer to a proxy probe to the daemon that requested the probe,
   with the evidence of this daemon.  */
static void
fill_relay (struct gossip *g, const struct member_message *m, int64_t now_us)
{
  struct gossip_held h = { .from = m->to,
                           .address = m->address,
                           .seq = m->seq,
                           .revision = UINT64_MAX,
                           .received_us = now_us };

  send_answer (g, &h, now_us);
}

/* Public functions */

void
gossip_init (struct gossip *g, struct member_table *members,
             struct freshness *fresh, int64_t now_us)
{
  *g = (struct gossip){ .members = members,
                        .fresh = fresh,
                        .entry_bytes = GOSSIP_ENTRY_BURST,
                        .refilled_us = now_us };
  table_init (&g->out, sizeof (struct gossip_datagram));
  table_init (&g->held, sizeof (struct gossip_held));
  table_init (&g->pulls, sizeof (struct gossip_pull));
  g_queue_init (&g->deltas);
  g->queued = g_hash_table_new (g_int64_hash, g_int64_equal);
  g->changes = g_new0 (struct gossip_change, (size_t)GOSSIP_CHANGES_KEPT);
}

void
gossip_close (struct gossip *g)
{
  while (g->deltas.length > 0)
    drop_delta (g, g->deltas.head);
  for (uint32_t i = 0; i < GOSSIP_CHANGES_KEPT; i++)
    if (g->changes[i].revision != 0)
      str_free (&g->changes[i].bytes);
  g_free (g->changes);
  g_hash_table_unref (g->queued);
  table_close (&g->out);
  table_close (&g->held);
  table_close (&g->pulls);
}

void
gossip_set_revision (struct gossip *g, uint64_t revision)
{
  if (revision <= g->revision)
    return;
  g->revision = revision;
  g->sent_revision = MAX (g->sent_revision, revision);
  close_gap (g);
}

/**
 * gossip_add_change - adds a change that a watcher read or a peer sent
 * @g: gossip
 * @revision: its revision
 * @bytes: the change; copied
 *
 * If a change before it is missing, the change is kept but does not count as
 * present until the missing one arrives.
 */
void
gossip_add_change (struct gossip *g, uint64_t revision, struct str bytes)
{
  struct gossip_change *c = &g->changes[revision % GOSSIP_CHANGES_KEPT];

  if (revision <= g->revision || c->revision == revision
      || revision - g->revision > GOSSIP_CHANGES_KEPT / 2)
    return;
  if (c->revision != 0)
    str_free (&c->bytes);
  *c = (struct gossip_change){ revision, str_copy (bytes) };
  close_gap (g);
}

struct str
gossip_get_change (const struct gossip *g, uint64_t revision)
{
  const struct gossip_change *c = find_change (g, revision);

  return c != NULL ? c->bytes : STR_EMPTY;
}

/**
 * gossip_answer_pull - collects the changes that a peer lacks
 * @g: gossip
 * @revision: revision up to which the peer has all changes
 * @changes: array of struct gossip_change to append to; the bytes are views
 *
 * Return: false if a change that the peer lacks is no longer kept, so that the
 * peer has to load a snapshot.
 */
bool
gossip_answer_pull (const struct gossip *g, uint64_t revision, GArray *changes)
{
  size_t bytes = 0;

  if (revision >= g->revision)
    return true;
  for (uint64_t r = revision + 1; r <= g->revision; r++)
    {
      const struct gossip_change *c = find_change (g, r);

      if (c == NULL)
        return false;
      bytes += c->bytes.len + GOSSIP_CHANGE_BYTES;
      if (bytes > GOSSIP_PULL_BYTES && r > revision + 1)
        break;
      g_array_append_val (changes, *c);
    }
  return true;
}

/**
 * gossip_receive - processes a received datagram
 * @g: gossip
 * @d: datagram; its address is that of the sender
 * @now_us: time of receipt
 */
void
gossip_receive (struct gossip *g, const struct gossip_datagram *d,
                int64_t now_us)
{
  bool refute;

  for (uint32_t i = 0; i < d->entries_len; i++)
    member_merge_entry (g->members, &d->entries[i], now_us);
  refute = member_record_contact (g->members, d->from, d->incarnation, now_us);
  for (uint32_t i = 0; i < d->changes_len; i++)
    gossip_add_change (g, d->changes[i].revision, d->changes[i].bytes);
  /* Changes that arrive in an answer have already reached most of the fleet
     and are not sent to other members again.  */
  if (d->type == GOSSIP_ACK && d->changes_len > 0)
    g->sent_revision = g->revision;
  record_peer_revision (g, d, now_us);
  switch (d->type)
    {
    case GOSSIP_PROBE:
      if (d->seq != 0)
        hold_probe (g, d, refute, now_us);
      break;
    case GOSSIP_ACK:
      receive_ack (g, d, refute, now_us);
      break;
    case GOSSIP_PROBE_REQ:
      member_handle_probe_request (g->members, d->from, d->seq, d->target,
                                   now_us);
      break;
    }
}

void
gossip_collect_deltas (struct gossip *g, int64_t now_us)
{
  GArray *changed = g->members->changed;

  refill_entry_bytes (g, now_us);
  for (guint i = 0; i < changed->len; i++)
    queue_delta (g, g_array_index (changed, uint64_t, i));
  g_array_set_size (changed, 0);
}

/**
 * gossip_send_changes - sends new changes to a few random members
 * @g: gossip
 * @now_us: current time
 *
 * One of these members is in the own failure domain.  If there are more new
 * changes than fit into a datagram, they come from a bulk load, which the
 * other daemons make too, and are not sent.
 */
void
gossip_send_changes (struct gossip *g, int64_t now_us)
{
  uint64_t above = g->sent_revision;

  if (g->revision <= above)
    return;
  g->sent_revision = g->revision;
  if (g->revision - above > GOSSIP_DATAGRAM_CHANGES_MAX)
    return;
  for (uint32_t i = 0; i < GOSSIP_FANOUT; i++)
    {
      uint32_t domain = i == 0 ? g->members->self->entry.domain : 0;
      struct member_row *to = member_pick (g->members, domain);
      struct gossip_datagram *d;

      if (to == NULL)
        continue;
      d = add_datagram (g, GOSSIP_PROBE, to->entry.id, &to->entry.address);
      add_changes (g, d, above);
    }
}

void
gossip_send_answers (struct gossip *g, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&g->held, 0, &row); id != 0;
       id = table_next (&g->held, id, &row))
    {
      const struct gossip_held *h = row;

      if (now_us < h->until_us && !has_new_information (g, h))
        continue;
      send_answer (g, h, now_us);
      table_remove (&g->held, id);
    }
}

void
gossip_send_probes (struct gossip *g, int64_t now_us)
{
  struct table *messages = &g->members->out;
  void *row;

  send_urgent_probe (g, now_us);
  for (uint64_t id = table_next (messages, 0, &row); id != 0;
       id = table_next (messages, id, &row))
    {
      const struct member_message *m = row;

      if (m->type == MEMBER_SEND_PROBE)
        fill_probe (g, m, now_us);
      else if (m->type == MEMBER_SEND_PROBE_REQ)
        fill_probe_request (g, m);
      else if (m->type == MEMBER_SEND_ACK)
        fill_relay (g, m, now_us);
      else
        continue;
      table_remove (messages, id);
    }
}

void
gossip_send_pulls (struct gossip *g, int64_t now_us)
{
  struct gossip_pull *p;

  if (g->peer_revision <= g->revision || now_us < g->next_pull_us)
    return;
  g->next_pull_us = now_us + (int64_t)GOSSIP_PULL_DELAY_MS * CLOCK_US_PER_MS;
  table_add (&g->pulls, (void **)&p);
  p->to = g->peer_revision_from;
  p->revision = g->revision;
}

uint32_t
gossip_datagram_bytes (const struct gossip_datagram *d)
{
  uint32_t bytes
      = GOSSIP_HEADER_BYTES
        + d->evidence.outage_reports_len * GOSSIP_OUTAGE_REPORT_BYTES;

  for (uint32_t i = 0; i < d->entries_len; i++)
    bytes += member_entry_bytes (&d->entries[i]);
  for (uint32_t i = 0; i < d->changes_len; i++)
    bytes += GOSSIP_CHANGE_BYTES + (uint32_t)d->changes[i].bytes.len;
  return bytes;
}
