/* evacuation: the failure domains whose backend servers are to get no
   requests.  */

#include "evacuation.h"

#include <glib.h>
#include <string.h>

/* Internal functions */

static uint32_t
find (const struct evacuation_domains *d, struct str name)
{
  uint32_t i = 0;

  while (i < d->len && !str_equal (d->names[i], name))
    i++;
  return i;
}

/* Drops the first row if there is no room: its end is the oldest.  */
static void
record_end (struct evacuation *e, struct str domain, int64_t now_us)
{
  uint32_t i = find (&e->ended, domain);

  if (i == EVACUATION_DOMAINS_MAX)
    {
      str_free (&e->ended.names[0]);
      i = --e->ended.len;
      memmove (e->ended.names, e->ended.names + 1, i * sizeof *e->ended.names);
      memmove (e->ended_us, e->ended_us + 1, i * sizeof *e->ended_us);
    }
  if (i == e->ended.len)
    e->ended.names[e->ended.len++] = str_copy (domain);
  e->ended_us[i] = now_us;
}

static bool
is_equal (const struct evacuation_domains *a,
          const struct evacuation_domains *b)
{
  for (uint32_t i = 0; i < a->len; i++)
    if (!evacuation_domains_contain (b, a->names[i]))
      return false;
  return a->len == b->len;
}

/* Public functions */

void
evacuation_close (struct evacuation *e)
{
  evacuation_domains_close (&e->domains);
  evacuation_domains_close (&e->ended);
  e->revision = 0;
}

/**
 * evacuation_apply - applies what the store has at a revision
 * @e: known state
 * @revision: revision of the store
 * @domains: failure domains that are evacuated then; copied
 * @now_us: current time
 *
 * Return: true if the set has changed or is the first one; false also for a
 * revision that is not newer.
 */
bool
evacuation_apply (struct evacuation *e, uint64_t revision,
                  const struct evacuation_domains *domains, int64_t now_us)
{
  bool changed = e->revision == 0 || !is_equal (&e->domains, domains);

  if (revision <= e->revision)
    return false;
  e->revision = revision;
  if (!changed)
    return false;
  for (uint32_t i = 0; i < e->domains.len; i++)
    if (!evacuation_domains_contain (domains, e->domains.names[i]))
      record_end (e, e->domains.names[i], now_us);
  evacuation_domains_close (&e->domains);
  e->domains = evacuation_domains_copy (domains);
  return true;
}

bool
evacuation_contains (const struct evacuation *e, struct str domain)
{
  return evacuation_domains_contain (&e->domains, domain);
}

int64_t
evacuation_get_end_us (const struct evacuation *e, struct str domain)
{
  uint32_t i = find (&e->ended, domain);

  return i < e->ended.len ? e->ended_us[i] : 0;
}

bool
evacuation_domains_add (struct evacuation_domains *d, struct str name)
{
  if (evacuation_domains_contain (d, name))
    return true;
  if (d->len == EVACUATION_DOMAINS_MAX)
    return false;
  d->names[d->len++] = name;
  return true;
}

bool
evacuation_domains_contain (const struct evacuation_domains *d,
                            struct str name)
{
  return find (d, name) < d->len;
}

struct evacuation_domains
evacuation_domains_copy (const struct evacuation_domains *d)
{
  struct evacuation_domains copy = { .len = d->len };

  for (uint32_t i = 0; i < d->len; i++)
    copy.names[i] = str_copy (d->names[i]);
  return copy;
}

void
evacuation_domains_close (struct evacuation_domains *d)
{
  for (uint32_t i = 0; i < d->len; i++)
    str_free (&d->names[i]);
  d->len = 0;
}
