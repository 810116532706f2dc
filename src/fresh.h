/* fresh: evidence that the configuration applied here is current.

   A stamp says that the platform was read at some time and had some revision;
   a statement says that a watcher of a failure domain tried to read and could
   not.  Times are kept as the earliest possible local time, so that an age is
   never underestimated.  Evidence counts only from the answer to an own probe:
   a datagram that came unasked may have waited in a queue while the process
   was paused.  */

#ifndef ALMONDVALE_FRESH_H
#define ALMONDVALE_FRESH_H

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* The sums are in docs/CAPACITY.md.  */
#define FRESH_BOUND_MS 3500
#define FRESH_DOMAINS_MAX 16u
#define FRESH_STAMPS 8u

/* Types */

struct fresh_stamp
{
  uint64_t revision; /* highest in the platform when it was read */
  int64_t read_us;   /* the read was not before this */
};

struct fresh_statement
{
  uint32_t domain;
  uint64_t revision; /* highest that the watcher knew */
  int64_t stated_us; /* the attempt was not before this; 0: none */
};

/* Evidence as it travels: ages instead of times.  */
struct fresh_evidence
{
  bool stamped;
  uint64_t revision;
  int64_t age_us;
  uint32_t statements_len;
  struct
  {
    uint32_t domain;
    uint64_t revision;
    int64_t age_us;
  } statements[FRESH_DOMAINS_MAX];
};

struct fresh
{
  int64_t bound_us;
  uint64_t applied; /* revision in force here */
  uint64_t seen;    /* highest revision that any datagram showed */
  uint32_t stamps_len;
  struct fresh_stamp stamps[FRESH_STAMPS]; /* ascending by revision */
  uint32_t domains_len;
  struct fresh_statement domains[FRESH_DOMAINS_MAX];
};

/* Public functions */

/* no evidence; the domains are all failure domains of the fleet */
void fresh_init (struct fresh *f, int64_t bound_us, const uint32_t *domains,
                 uint32_t len);
/* a revision is in force here; a lower one is ignored */
void fresh_set_applied (struct fresh *f, uint64_t revision);
/* a datagram showed this revision */
void fresh_note_seen (struct fresh *f, uint64_t revision);
/* watcher: a read sent at sent_us gave this revision */
void fresh_note_read (struct fresh *f, uint64_t revision, int64_t sent_us);
/* watcher: a read sent at sent_us failed */
void fresh_note_unreachable (struct fresh *f, uint32_t domain,
                             int64_t sent_us);
/* merges evidence that a peer built not before built_us */
void fresh_merge (struct fresh *f, const struct fresh_evidence *e,
                  int64_t built_us);
/* evidence to send now */
void fresh_get_evidence (const struct fresh *f, struct fresh_evidence *e,
                         int64_t now_us);
/* how much younger the evidence here is, in microseconds, than what a peer had
   at time_us */
int64_t fresh_get_gain (const struct fresh *f, const struct fresh_evidence *e,
                        int64_t time_us);
/* time for which the best evidence speaks, INT64_MIN without any */
int64_t fresh_get_time (const struct fresh *f);
/* time until which the evidence here allows keyed routes, INT64_MIN if it
   does not */
int64_t fresh_get_limit (const struct fresh *f);
/* failure domain whose statement limits that time; 0 if a stamp does or there is
   no evidence */
uint32_t fresh_get_limiting_domain (const struct fresh *f);
/* true if keyed routes may be served now */
bool fresh_is_current (const struct fresh *f, int64_t now_us);

#endif
