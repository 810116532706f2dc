/* member_probe: probes other daemons and marks those that do not answer as
   suspect and then dead.

   A slot keeps one direct probe open.  If it times out, other members are
   requested to probe the target; they send proxy probes.  A miss is a probe of
   a failure domain's member that timed out, or a failure that another daemon
   reported.  */

#include "member.h"

#include "clock.h"
#include "member_rows.h"

/* Constants */

#define PICK_TRIES 16

/* Internal functions: targets */

static struct member_domain *
find_unreachable_domain (const struct member_table *t)
{
  void *row;

  for (uint64_t id = table_next (&t->domains, 0, &row); id != 0;
       id = table_next (&t->domains, id, &row))
    if (((struct member_domain *)row)->unreachable
        && ((struct member_domain *)row)->rows->len > 0)
      return row;
  return NULL;
}

/* Returns the domain of the next target, or NULL for any domain.  Slot 0
   probes the own failure domain, where answers are fastest; slot 1 probes all
   domains.  One probe in three of slot 1 goes to an unreachable domain, if
   there is one; the first answer makes the members of that domain usable
   again.  */
static const struct member_domain *
pick_domain (struct member_table *t, uint32_t slot)
{
  if (slot == 1 && t->local_probes > 0)
    {
      t->local_probes--;
      slot = 0;
    }
  if (slot == 0 && t->self->domain->rows->len > 1)
    return t->self->domain;
  if (slot == 1
      && member_rows_random (t, MEMBER_UNREACHABLE_PROBE_ONE_IN) == 0)
    return find_unreachable_domain (t);
  return NULL;
}

/* Returns the first dead row after a random position, or NULL.  */
static struct member_row *
pick_dead (struct member_table *t)
{
  uint32_t start = member_rows_random (t, t->rows.slots_used);
  struct member_row *first = NULL;
  void *row;

  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    {
      if (((struct member_row *)row)->entry.liveness != MEMBER_DEAD)
        continue;
      if ((uint32_t)id > start)
        return row;
      if (first == NULL)
        first = row;
    }
  return first;
}

static uint32_t
get_dead_probe_one_in (const struct member_table *t)
{
  bool many
      = (t->rows.count - t->alive) * MEMBER_MANY_DEAD_ONE_IN > t->rows.count;

  return many && t->rows.count > MEMBER_SMALL_FLEET
             ? MEMBER_MANY_DEAD_PROBE_ONE_IN
             : MEMBER_DEAD_PROBE_ONE_IN;
}

static struct member_row *
pick_target (struct member_table *t, uint32_t slot)
{
  const struct member_domain *d = pick_domain (t, slot);
  bool dead = member_rows_random (t, get_dead_probe_one_in (t)) == 0;
  struct member_row *row = dead ? pick_dead (t) : NULL;

  for (int i = 0; i < PICK_TRIES && row == NULL; i++)
    {
      row = d != NULL ? member_rows_pick_in (t, d) : member_rows_pick_any (t);
      if (row != NULL && row->entry.liveness == MEMBER_DEAD)
        row = NULL;
    }
  return row;
}

/* Internal functions: probes */

static struct member_probe *
add_probe (struct member_table *t, uint64_t to,
           const struct member_address *address, uint32_t hold_ms,
           int64_t now_us)
{
  struct member_message *m
      = member_rows_add_message (t, MEMBER_SEND_PROBE, to, address);
  struct member_probe *p;

  table_add (&t->probes, (void **)&p);
  p->seq = m->seq = ++t->seq;
  p->slot = MEMBER_PROBE_SLOTS;
  p->target = to;
  p->sent_us = now_us;
  p->deadline_us
      = now_us
        + (int64_t)(hold_ms + MEMBER_REPLY_ALLOWANCE_MS) * CLOCK_US_PER_MS;
  m->hold_ms = hold_ms;
  return p;
}

/* Requests MEMBER_INDIRECT_PROBES members to probe the target.  Every second
   one is in the own failure domain, since in the first seconds of a partition
   most members of other domains cannot be reached.  */
static void
start_indirect (struct member_table *t, struct member_probe *p,
                struct member_row *target, int64_t now_us)
{
  p->state = MEMBER_PROBE_INDIRECT;
  p->deadline_us
      = now_us + (int64_t)MEMBER_INDIRECT_TIMEOUT_MS * CLOCK_US_PER_MS;
  for (uint32_t i = 0; i < MEMBER_INDIRECT_PROBES; i++)
    {
      uint32_t domain = i % 2 == 0 ? t->self->entry.domain : 0;
      struct member_row *by = member_pick (t, domain);

      if (by == NULL || by == target)
        continue;
      struct member_message *m
          = member_rows_add_message_to (t, MEMBER_SEND_PROBE_REQ, by);
      m->seq = p->seq;
      m->target = target->entry.id;
    }
}

static void
suspect_row (struct member_table *t, struct member_row *row, int64_t now_us)
{
  if (row->entry.liveness != MEMBER_ALIVE
      || member_rows_is_domain_suspect (row->domain))
    return;
  member_rows_set_version (t, row, row->entry.incarnation, MEMBER_SUSPECT,
                           now_us);
  member_rows_queue_change (t, row);
}

/* Returns true if the probe is finished.  */
static bool
expire_probe (struct member_table *t, struct member_probe *p, int64_t now_us)
{
  struct member_row *target = member_find (t, p->target);

  if (p->state == MEMBER_PROBE_PROXY || target == NULL)
    return true;
  if (p->state == MEMBER_PROBE_INDIRECT)
    {
      suspect_row (t, target, now_us);
      return true;
    }
  if (target->domain != t->self->domain)
    t->local_probes = MEMBER_LOCAL_PROBES;
  if (target->entry.liveness != MEMBER_ALIVE)
    return true;
  target->domain->misses++;
  if (member_rows_is_domain_suspect (target->domain))
    return true;
  start_indirect (t, p, target, now_us);
  return false;
}

/* Internal functions: expiry */

static int64_t
get_contact_age_ms (const struct member_domain *d, int64_t now_us)
{
  return (now_us - d->last_contact_us) / CLOCK_US_PER_MS;
}

/* Returns the sum of the misses of all domains from which no datagram came for
   MEMBER_UNREACHABLE_TOTAL_MS.  */
static uint32_t
count_total_misses (const struct member_table *t, int64_t now_us)
{
  uint32_t misses = 0;
  void *row;

  for (uint64_t id = table_next (&t->domains, 0, &row); id != 0;
       id = table_next (&t->domains, id, &row))
    if (get_contact_age_ms (row, now_us) >= MEMBER_UNREACHABLE_TOTAL_MS)
      misses += ((struct member_domain *)row)->misses;
  return misses;
}

static void
expire_domains (struct member_table *t, int64_t now_us)
{
  bool total_exceeded
      = count_total_misses (t, now_us) >= MEMBER_UNREACHABLE_TOTAL_MISSES;
  void *row;

  for (uint64_t id = table_next (&t->domains, 0, &row); id != 0;
       id = table_next (&t->domains, id, &row))
    {
      struct member_domain *d = row;
      int64_t contact_age_ms = get_contact_age_ms (d, now_us);

      if (d == t->self->domain)
        continue;
      if ((d->misses >= MEMBER_UNREACHABLE_MISSES
           && contact_age_ms >= MEMBER_UNREACHABLE_MS)
          || (total_exceeded && d->misses > 0
              && contact_age_ms >= MEMBER_UNREACHABLE_TOTAL_MS))
        d->unreachable = true;
    }
}

static void
expire_row (struct member_table *t, struct member_row *row, int64_t now_us)
{
  int64_t age_ms = (now_us - row->changed_us) / CLOCK_US_PER_MS;

  if (row == t->self)
    return;
  if (row->entry.liveness == MEMBER_SUSPECT
      && age_ms >= MEMBER_SUSPECT_TIMEOUT_MS
      && !member_rows_is_domain_suspect (row->domain))
    {
      member_rows_set_version (t, row, row->entry.incarnation, MEMBER_DEAD,
                               now_us);
      member_rows_queue_change (t, row);
    }
  else if (row->entry.liveness == MEMBER_DEAD
           && age_ms >= MEMBER_DEAD_RETENTION_MS)
    member_rows_remove (t, row);
}

/* Public functions */

/**
 * member_handle_ack - ends the probe that an ACK answers
 * @t: table
 * @seq: sequence number of the probe
 * @from: sender of the ACK
 * @sent_us: receives the time at which the probe was sent
 * @now_us: current time
 *
 * Return: false if no probe matches (the ACK is late, repeated or forged).
 */
bool
member_handle_ack (struct member_table *t, uint32_t seq, uint64_t from,
                   int64_t *sent_us, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&t->probes, 0, &row); id != 0;
       id = table_next (&t->probes, id, &row))
    {
      struct member_probe *p = row;

      if (p->seq != seq)
        continue;
      if (p->state != MEMBER_PROBE_INDIRECT && p->target != 0
          && p->target != from)
        return false;
      *sent_us = p->sent_us;
      if (p->state == MEMBER_PROBE_PROXY)
        {
          struct member_row *to = member_find (t, p->requester);

          if (to != NULL)
            member_rows_add_message_to (t, MEMBER_SEND_ACK, to)->seq
                = p->requester_seq;
        }
      table_remove (&t->probes, id);
      return true;
    }
  return false;
}

void
member_handle_probe_request (struct member_table *t, uint64_t requester,
                             uint32_t requester_seq, uint64_t target,
                             int64_t now_us)
{
  struct member_row *row = member_find (t, target);
  struct member_probe *p;

  if (row == NULL || row == t->self)
    return;
  p = add_probe (t, target, &row->entry.address, 0, now_us);
  p->state = MEMBER_PROBE_PROXY;
  p->requester = requester;
  p->requester_seq = requester_seq;
}

void
member_send_probe (struct member_table *t, uint64_t target, int64_t now_us)
{
  struct member_row *row = member_find (t, target);

  if (row != NULL && row != t->self)
    add_probe (t, target, &row->entry.address, 0, now_us);
}

void
member_send_probes (struct member_table *t, int64_t now_us)
{
  bool busy[MEMBER_PROBE_SLOTS + 1] = { false };
  void *row;

  for (uint64_t id = table_next (&t->probes, 0, &row); id != 0;
       id = table_next (&t->probes, id, &row))
    if (((struct member_probe *)row)->state == MEMBER_PROBE_DIRECT)
      busy[((struct member_probe *)row)->slot] = true;
  for (uint32_t slot = 0; slot < MEMBER_PROBE_SLOTS; slot++)
    {
      struct member_row *target = busy[slot] ? NULL : pick_target (t, slot);

      if (target != NULL)
        add_probe (t, target->entry.id, &target->entry.address, MEMBER_HOLD_MS,
                   now_us)
            ->slot
            = slot;
    }
}

void
member_expire_probes (struct member_table *t, int64_t now_us)
{
  void *row;

  for (uint64_t id = table_next (&t->probes, 0, &row); id != 0;
       id = table_next (&t->probes, id, &row))
    {
      struct member_probe *p = row;

      if (now_us >= p->deadline_us && expire_probe (t, p, now_us))
        table_remove (&t->probes, id);
    }
}

/**
 * member_expire_rows - marks suspects as dead and removes dead members after
 * their timeouts
 * @t: table
 * @now_us: current time
 *
 * Also marks failure domains as unreachable.  It visits all rows, so the
 * caller runs it only once a second.
 */
void
member_expire_rows (struct member_table *t, int64_t now_us)
{
  void *row;

  expire_domains (t, now_us);
  for (uint64_t id = table_next (&t->rows, 0, &row); id != 0;
       id = table_next (&t->rows, id, &row))
    expire_row (t, row, now_us);
}

void
member_send_seed_probe (struct member_table *t, int64_t now_us)
{
  uint64_t wait_ms = (uint64_t)MEMBER_SEED_PROBE_MS * t->alive;
  uint32_t at;

  if (t->seeds->len == 0 || now_us < t->next_seed_us)
    return;
  t->next_seed_us = now_us + (int64_t)wait_ms * CLOCK_US_PER_MS;
  at = member_rows_random (t, t->seeds->len);
  add_probe (t, 0, &g_array_index (t->seeds, struct member_address, at), 0,
             now_us);
}
