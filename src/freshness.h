/* freshness: evidence that the configuration applied here is current.

   Routes that require an API key are served only while this evidence is
   younger than a bound, so that a revoked key stops working in time.

   There are two kinds of evidence.  A read records that the platform was read
   at a time and had a revision.  An outage report records that a watcher (a
   daemon that reads the platform for its failure domain) tried to read it and
   failed.  Times are kept as the earliest possible local time, so that an age
   is never underestimated.  Evidence of other daemons counts only if it comes
   in the answer to a gossip probe of this daemon: any other datagram may have
   waited in a queue while the process was paused.  */

#ifndef ALMONDVALE_FRESHNESS_H
#define ALMONDVALE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* Age from which evidence does not count; docs/CAPACITY.md derives it.  */
#define FRESHNESS_BOUND_MS 3500
#define FRESHNESS_DOMAINS_MAX 16u
#define FRESHNESS_READS_MAX 8u

/* Types */

struct freshness_read
{
  uint64_t revision; /* highest revision in the platform at that time */
  int64_t read_us;   /* the read was not sent before this time */
};

struct freshness_outage_report
{
  uint32_t domain;
  uint64_t revision; /* highest revision that the watcher knew */
  /* the failed read was not sent before this time; INT64_MIN: no report */
  int64_t attempted_us;
};

/* Evidence as sent to other daemons, with ages instead of times.  */
struct freshness_evidence
{
  bool has_read;
  uint64_t revision;
  int64_t age_us;
  uint32_t outage_reports_len;
  struct
  {
    uint32_t domain;
    uint64_t revision;
    int64_t age_us;
  } outage_reports[FRESHNESS_DOMAINS_MAX];
};

struct freshness
{
  int64_t bound_us;
  uint64_t applied;      /* revision in effect at this daemon */
  uint64_t highest_seen; /* highest revision in any datagram or read */
  uint32_t reads_len;    /* in ascending order of revision */
  struct freshness_read reads[FRESHNESS_READS_MAX];
  uint32_t outage_reports_len; /* one for each failure domain of the fleet */
  struct freshness_outage_report outage_reports[FRESHNESS_DOMAINS_MAX];
};

/* Public functions */

/* Initializes the state without evidence.  The parameter domains lists all
   failure domains of the fleet.  */
void freshness_init (struct freshness *f, int64_t bound_us,
                     const uint32_t *domains, uint32_t len);
/* Records that a revision is in effect here; ignores a lower one.  */
void freshness_set_applied (struct freshness *f, uint64_t revision);
/* Records that this revision exists, since a datagram contained it.  */
void freshness_record_revision (struct freshness *f, uint64_t revision);
/* Records, at a watcher, that a read sent at sent_us returned this
   revision.  */
void freshness_record_read (struct freshness *f, uint64_t revision,
                            int64_t sent_us);
/* Records, at a watcher, that a read sent at sent_us failed.  */
void freshness_record_unreachable (struct freshness *f, uint32_t domain,
                                   int64_t sent_us);
/* Merges evidence that a peer did not build before built_us.  */
void freshness_merge (struct freshness *f, const struct freshness_evidence *e,
                      int64_t built_us);
/* Returns the evidence to send now.  */
void freshness_get_evidence (const struct freshness *f,
                             struct freshness_evidence *e, int64_t now_us);
/* Returns by how many microseconds the evidence here is younger than the
   peer's evidence e, whose ages hold at time_us.  */
int64_t freshness_get_gain (const struct freshness *f,
                            const struct freshness_evidence *e,
                            int64_t time_us);
/* Returns the time of the best evidence: the later of the youngest read and
   the oldest outage report, or INT64_MIN if there is none.  */
int64_t freshness_get_evidence_time (const struct freshness *f);
/* Returns the time until which routes that require a key may be served,
   INT64_MIN if they must not be served.  */
int64_t freshness_get_expiry (const struct freshness *f);
/* Returns the failure domain whose outage report determines the time of
   freshness_get_expiry, or 0 if a read determines it or there is no
   evidence.  */
uint32_t freshness_get_limiting_domain (const struct freshness *f);
/* Returns true if routes that require a key may be served now.  */
bool freshness_is_current (const struct freshness *f, int64_t now_us);

#endif
