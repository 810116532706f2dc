/* freshness: evidence that the configuration applied here is current.

   A stamp says that the platform was read at some time and had some revision;
   a statement says that a watcher of a failure domain tried to read and could
   not.  Times are kept as the earliest possible local time, so that an age is
   never underestimated.  Evidence counts only from the answer to an own probe:
   a datagram that came unasked may have waited in a queue while the process
   was paused.  */

#ifndef ALMONDVALE_FRESHNESS_H
#define ALMONDVALE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* The sums are in docs/CAPACITY.md.  */
#define FRESHNESS_BOUND_MS 3500
#define FRESHNESS_DOMAINS_MAX 16u
#define FRESHNESS_READS_MAX 8u

/* Types */

struct freshness_read
{
  uint64_t revision; /* highest in the platform when it was read */
  int64_t read_us;   /* the read was not before this */
};

struct freshness_outage_report
{
  uint32_t domain;
  uint64_t revision;    /* highest that the watcher knew */
  int64_t attempted_us; /* the attempt was not before this; 0: none */
};

/* Evidence as it travels: ages instead of times.  */
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
  uint64_t applied;      /* revision in force here */
  uint64_t highest_seen; /* highest revision that any datagram showed */
  uint32_t reads_len;
  struct freshness_read reads[FRESHNESS_READS_MAX]; /* ascending by revision */
  uint32_t outage_reports_len;
  struct freshness_outage_report outage_reports[FRESHNESS_DOMAINS_MAX];
};

/* Public functions */

/* no evidence; the domains are all failure domains of the fleet */
void freshness_init (struct freshness *f, int64_t bound_us,
                     const uint32_t *domains, uint32_t len);
/* a revision is in force here; a lower one is ignored */
void freshness_set_applied (struct freshness *f, uint64_t revision);
/* a datagram showed this revision */
void freshness_record_seen (struct freshness *f, uint64_t revision);
/* watcher: a read sent at sent_us gave this revision */
void freshness_record_read (struct freshness *f, uint64_t revision,
                            int64_t sent_us);
/* watcher: a read sent at sent_us failed */
void freshness_record_unreachable (struct freshness *f, uint32_t domain,
                                   int64_t sent_us);
/* merges evidence that a peer built not before built_us */
void freshness_merge (struct freshness *f, const struct freshness_evidence *e,
                      int64_t built_us);
/* evidence to send now */
void freshness_get_evidence (const struct freshness *f,
                             struct freshness_evidence *e, int64_t now_us);
/* how much younger the evidence here is, in microseconds, than what a peer had
   at time_us */
int64_t freshness_get_gain (const struct freshness *f,
                            const struct freshness_evidence *e,
                            int64_t time_us);
/* time for which the best evidence speaks, INT64_MIN without any */
int64_t freshness_get_evidence_time (const struct freshness *f);
/* time until which the evidence here allows keyed routes, INT64_MIN if it
   does not */
int64_t freshness_get_expiry (const struct freshness *f);
/* failure domain whose statement limits that time; 0 if a stamp does or there is
   no evidence */
uint32_t freshness_get_limiting_domain (const struct freshness *f);
/* true if keyed routes may be served now */
bool freshness_is_current (const struct freshness *f, int64_t now_us);

#endif
