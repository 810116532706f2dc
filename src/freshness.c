/* freshness: evidence that the configuration in effect at this daemon is
   current.  Without it the daemon does not serve keyed routes, which require
   an API key.  */

#include "freshness.h"

#include <glib.h>
#include <string.h>

/* Internal functions */

static void
remove_read (struct freshness *f, uint32_t at)
{
  f->reads_len--;
  memmove (f->reads + at, f->reads + at + 1,
           (f->reads_len - at) * sizeof *f->reads);
}

/* Returns true if read a makes read b useless: a is not older and does not
   need a higher revision to be in effect here.  A read of a revision that is
   not in effect yet is kept, not dropped: while changes follow each other
   quickly, the newest read is always ahead of the applied revision.  */
static bool
supersedes (const struct freshness *f, const struct freshness_read *a,
            const struct freshness_read *b)
{
  return a->read_us >= b->read_us
         && (a->revision <= b->revision || a->revision <= f->applied);
}

/* Adds a read.  If the list is full, this drops the read with the second
   highest revision.  */
static void
add_read (struct freshness *f, struct freshness_read read)
{
  uint32_t at = 0;

  for (uint32_t i = 0; i < f->reads_len; i++)
    if (supersedes (f, &f->reads[i], &read))
      return;
  for (uint32_t i = f->reads_len; i > 0; i--)
    if (supersedes (f, &read, &f->reads[i - 1]))
      remove_read (f, i - 1);
  if (f->reads_len == FRESHNESS_READS_MAX)
    remove_read (f, FRESHNESS_READS_MAX - 2);
  while (at < f->reads_len && f->reads[at].revision < read.revision)
    at++;
  memmove (f->reads + at + 1, f->reads + at,
           (f->reads_len - at) * sizeof *f->reads);
  f->reads[at] = read;
  f->reads_len++;
}

static void
add_outage_report (struct freshness *f, struct freshness_outage_report report)
{
  for (uint32_t i = 0; i < f->outage_reports_len; i++)
    if (f->outage_reports[i].domain == report.domain
        && f->outage_reports[i].attempted_us < report.attempted_us)
      f->outage_reports[i] = report;
}

/* Returns the time of the oldest outage report, or INT64_MIN if a failure
   domain has none.  */
static int64_t
get_oldest_report_time (const struct freshness *f)
{
  int64_t oldest = f->outage_reports_len > 0 ? INT64_MAX : INT64_MIN;

  for (uint32_t i = 0; i < f->outage_reports_len; i++)
    oldest = MIN (oldest, f->outage_reports[i].attempted_us);
  return oldest;
}

/* Returns the time until which the outage reports count, or INT64_MIN.  They
   do not count while a higher revision than the applied one is known.  */
static int64_t
get_reports_expiry (const struct freshness *f)
{
  int64_t oldest = get_oldest_report_time (f);

  if (oldest == INT64_MIN || f->highest_seen > f->applied)
    return INT64_MIN;
  for (uint32_t i = 0; i < f->outage_reports_len; i++)
    if (f->outage_reports[i].revision > f->applied)
      return INT64_MIN;
  return oldest + f->bound_us;
}

static const struct freshness_read *
find_youngest_read (const struct freshness *f)
{
  const struct freshness_read *best = NULL;

  for (uint32_t i = 0; i < f->reads_len; i++)
    if (best == NULL || f->reads[i].read_us > best->read_us)
      best = &f->reads[i];
  return best;
}

/* Public functions */

/**
 * freshness_init - starts without evidence, so no keyed routes are served
 * @f: evidence
 * @bound_us: age from which evidence does not count
 * @domains: all failure domains of the fleet, from the settings; a domain that
 *   cannot be reached must stay in the list
 * @len: number of @domains, at most %FRESHNESS_DOMAINS_MAX
 */
void
freshness_init (struct freshness *f, int64_t bound_us, const uint32_t *domains,
                uint32_t len)
{
  *f = (struct freshness){ .bound_us = bound_us,
                           .outage_reports_len
                           = MIN (len, FRESHNESS_DOMAINS_MAX) };
  for (uint32_t i = 0; i < f->outage_reports_len; i++)
    f->outage_reports[i]
        = (struct freshness_outage_report){ domains[i], 0, INT64_MIN };
}

void
freshness_set_applied (struct freshness *f, uint64_t revision)
{
  struct freshness_read kept[FRESHNESS_READS_MAX];
  uint32_t len = f->reads_len;

  f->applied = MAX (f->applied, revision);
  f->highest_seen = MAX (f->highest_seen, f->applied);
  memcpy (kept, f->reads, sizeof kept);
  f->reads_len = 0;
  for (uint32_t i = 0; i < len; i++)
    add_read (f, kept[i]);
}

void
freshness_record_revision (struct freshness *f, uint64_t revision)
{
  f->highest_seen = MAX (f->highest_seen, revision);
}

void
freshness_record_read (struct freshness *f, uint64_t revision, int64_t sent_us)
{
  freshness_record_revision (f, revision);
  add_read (f, (struct freshness_read){ revision, sent_us });
}

void
freshness_record_unreachable (struct freshness *f, uint32_t domain,
                              int64_t sent_us)
{
  add_outage_report (
      f, (struct freshness_outage_report){ domain, f->highest_seen, sent_us });
}

/**
 * freshness_merge - merges evidence from the answer to a probe of this daemon
 * @f: evidence
 * @e: evidence with the ages that it had when the answer was built
 * @built_us: when the probe was sent, plus the time for which the peer delayed
 *   the answer; the answer cannot have been built earlier
 */
void
freshness_merge (struct freshness *f, const struct freshness_evidence *e,
                 int64_t built_us)
{
  if (e->has_read)
    freshness_record_read (f, e->revision, built_us - e->age_us);
  for (uint32_t i = 0; i < e->outage_reports_len; i++)
    add_outage_report (f, (struct freshness_outage_report){
                              e->outage_reports[i].domain,
                              e->outage_reports[i].revision,
                              built_us - e->outage_reports[i].age_us });
}

void
freshness_get_evidence (const struct freshness *f,
                        struct freshness_evidence *e, int64_t now_us)
{
  const struct freshness_read *best = find_youngest_read (f);

  *e = (struct freshness_evidence){ 0 };
  if (best != NULL && now_us - best->read_us < f->bound_us)
    {
      e->has_read = true;
      e->revision = best->revision;
      e->age_us = now_us - best->read_us;
    }
  for (uint32_t i = 0; i < f->outage_reports_len; i++)
    {
      const struct freshness_outage_report *report = &f->outage_reports[i];

      if (report->attempted_us == INT64_MIN
          || now_us - report->attempted_us >= f->bound_us)
        continue;
      e->outage_reports[e->outage_reports_len].domain = report->domain;
      e->outage_reports[e->outage_reports_len].revision = report->revision;
      e->outage_reports[e->outage_reports_len].age_us
          = now_us - report->attempted_us;
      e->outage_reports_len++;
    }
}

/**
 * freshness_get_gain - compares the evidence here with that of a peer
 * @f: evidence
 * @e: the peer's evidence
 * @time_us: local time for which the ages in @e hold; an estimate, since the
 *   gain only decides when to answer a probe
 *
 * For outage reports the gain is the mean over the failure domains: waiting
 * until the oldest report is younger would delay the others.
 *
 * Return: gain in microseconds.  A peer without evidence counts as having
 * evidence whose age is the bound.
 */
int64_t
freshness_get_gain (const struct freshness *f,
                    const struct freshness_evidence *e, int64_t time_us)
{
  const struct freshness_read *best = find_youngest_read (f);
  int64_t theirs = e->has_read ? time_us - e->age_us : time_us - f->bound_us;
  int64_t read_gain = best != NULL ? best->read_us - theirs : 0;
  int64_t report_gain = 0;

  for (uint32_t i = 0; i < f->outage_reports_len; i++)
    {
      int64_t attempted = time_us - f->bound_us;

      for (uint32_t k = 0; k < e->outage_reports_len; k++)
        if (e->outage_reports[k].domain == f->outage_reports[i].domain)
          attempted = time_us - e->outage_reports[k].age_us;
      if (f->outage_reports[i].attempted_us > attempted)
        report_gain += f->outage_reports[i].attempted_us - attempted;
    }
  if (f->outage_reports_len > 0)
    report_gain /= f->outage_reports_len;
  return MAX (read_gain, report_gain);
}

int64_t
freshness_get_evidence_time (const struct freshness *f)
{
  int64_t best = get_oldest_report_time (f);

  for (uint32_t i = 0; i < f->reads_len; i++)
    best = MAX (best, f->reads[i].read_us);
  return best;
}

/**
 * freshness_get_expiry - returns how long keyed routes may be served
 * @f: evidence
 *
 * Threads that serve keyed routes compare this time with their clock, so that
 * they stop serving these routes if the control thread is late.  A read whose
 * revision is not in effect here does not count.
 *
 * Return: when the youngest read whose revision is in effect, or the oldest of
 * the outage reports from all failure domains, reaches the bound; the later of
 * the two.
 */
int64_t
freshness_get_expiry (const struct freshness *f)
{
  int64_t expiry = get_reports_expiry (f);

  for (uint32_t i = 0; i < f->reads_len; i++)
    if (f->reads[i].revision <= f->applied)
      expiry = MAX (expiry, f->reads[i].read_us + f->bound_us);
  return expiry;
}

uint32_t
freshness_get_limiting_domain (const struct freshness *f)
{
  int64_t expiry = get_reports_expiry (f);

  if (expiry == INT64_MIN || expiry < freshness_get_expiry (f))
    return 0;
  for (uint32_t i = 0; i < f->outage_reports_len; i++)
    if (f->outage_reports[i].attempted_us + f->bound_us == expiry)
      return f->outage_reports[i].domain;
  return 0;
}

bool
freshness_is_current (const struct freshness *f, int64_t now_us)
{
  return now_us < freshness_get_expiry (f);
}
