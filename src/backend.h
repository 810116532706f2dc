/* backend: what the backend server beside this daemon says of itself.

   Reports can be late, repeated or of an earlier boot.  The record keeps the
   newest boot and tells what a report changes.  */

#ifndef ALMONDVALE_BACKEND_H
#define ALMONDVALE_BACKEND_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* A report of an older boot is taken for new if the newer one has been silent
   for so long: three intervals of reports.  The wall clock that the boots are
   compared by may have been set back.  */
#define BACKEND_REPORT_TIMEOUT_US 4500000

/* Types */

enum backend_state
{
  BACKEND_UNKNOWN,
  BACKEND_SERVING,
  BACKEND_DRAINING, /* no new work; stays so until the end of this boot */
  BACKEND_LEFT
};

/* One decoded report.  */
struct backend_report
{
  struct str id; /* of this boot, or of the backend server */
  struct str service;
  struct str address; /* IP address */
  uint16_t port;
  uint32_t slots;       /* requests at once */
  uint32_t connections; /* connections at once */
  enum backend_state state;
  int64_t boot_ms;   /* wall-clock time of its start */
  int64_t cold_us;   /* time for which it stays slow */
  uint64_t sequence; /* grows with each report of a boot; 0: not numbered */
};

enum backend_change
{
  BACKEND_CHANGE_STALE,     /* out of date; nothing was applied */
  BACKEND_CHANGE_NONE,      /* nothing new */
  BACKEND_CHANGE_ANNOUNCED, /* serves, as a new boot or with other values */
  BACKEND_CHANGE_DRAINED,   /* no new work from now on */
  BACKEND_CHANGE_LEFT       /* left */
};

struct backend_record
{
  enum backend_state state;
  struct str id;      /* owned */
  struct str service; /* owned */
  uint32_t slots;
  int64_t boot_ms;
  uint64_t sequence;
  int64_t reported_us;
};

/* Public functions */

/* nothing known */
void backend_init (struct backend_record *b);
/* frees the strings */
void backend_close (struct backend_record *b);
/* applies a report */
enum backend_change backend_apply (struct backend_record *b,
                                   const struct backend_report *report,
                                   int64_t now_us);

#endif
