/* freshness: evidence that the configuration applied here is current.

   Routes that require an API key are served only while this evidence is
   younger than a bound, so that a revoked key stops working in time.

   There are two kinds of evidence.  A read records that the platform was read
   at a time and had a revision.  An outage report records that a watcher of a
   failure domain tried to read the platform and failed.  Times are kept as the
   earliest possible local time, so that an age is never underestimated.
   Evidence of other daemons counts only if it comes in the answer to a probe
   of this daemon: an unrequested datagram may have waited in a queue while the
   process was paused.  */

#ifndef ALMONDVALE_FRESHNESS_H
#define ALMONDVALE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* docs/CAPACITY.md derives this value.  */
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
  uint64_t revision;    /* highest revision that the watcher knew */
  int64_t attempted_us; /* not sent before this; INT64_MIN: none */
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
  uint64_t applied;      /* revision in effect here */
  uint64_t highest_seen; /* highest revision in any datagram or read */
  uint32_t reads_len;    /* in ascending order of revision */
  struct freshness_read reads[FRESHNESS_READS_MAX];
  uint32_t outage_reports_len; /* one for each failure domain of the fleet */
  struct freshness_outage_report outage_reports[FRESHNESS_DOMAINS_MAX];
};

/* Public functions */

/* sets the state to no evidence; domains lists all failure domains of the
   fleet */
void freshness_init (struct freshness *f, int64_t bound_us,
                     const uint32_t *domains, uint32_t len);
/* records that a revision is in effect here; ignores a lower one */
void freshness_set_applied (struct freshness *f, uint64_t revision);
/* records that a datagram contained this revision */
void freshness_record_revision (struct freshness *f, uint64_t revision);
/* records, at a watcher, that a read sent at sent_us returned this revision */
void freshness_record_read (struct freshness *f, uint64_t revision,
                            int64_t sent_us);
/* records, at a watcher, that a read sent at sent_us failed */
void freshness_record_unreachable (struct freshness *f, uint32_t domain,
                                   int64_t sent_us);
/* merges evidence that a peer did not build before built_us */
void freshness_merge (struct freshness *f, const struct freshness_evidence *e,
                      int64_t built_us);
/* returns the evidence to send now */
void freshness_get_evidence (const struct freshness *f,
                             struct freshness_evidence *e, int64_t now_us);
/* returns by how many microseconds the evidence here is younger than the
   peer's evidence e, whose ages hold at time_us */
int64_t freshness_get_gain (const struct freshness *f,
                            const struct freshness_evidence *e,
                            int64_t time_us);
/* returns the time of the best evidence, the later of the youngest read and
   the oldest outage report; INT64_MIN without any */
int64_t freshness_get_evidence_time (const struct freshness *f);
/* returns the time until which routes that require a key may be served,
   INT64_MIN if they may not be served */
int64_t freshness_get_expiry (const struct freshness *f);
/* returns the failure domain whose outage report determines that time; 0 if a
   read determines it or there is no evidence */
uint32_t freshness_get_limiting_domain (const struct freshness *f);
/* returns true if routes that require a key may be served now */
bool freshness_is_current (const struct freshness *f, int64_t now_us);

#endif
