/* backend: state of the backend server of this VM, from its own reports.

   A boot is one start of the backend server.  Reports can be late, repeated or
   from an earlier boot.  The record keeps the state of the newest boot, and
   applying a report returns what has changed.

   A new process of the daemon does not know which boots have stopped.  Until
   backend_load_stops tells it, the record keeps the newest report of a boot
   that serves and does not apply it, since that report may be late.  */

#ifndef ALMONDVALE_BACKEND_H
#define ALMONDVALE_BACKEND_H

#include "backend_stops.h"
#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

/* A report with an earlier boot time is accepted if the current boot has sent
   no report for this time, which is three report intervals.  Boot times are
   wall-clock times, and the clock may have been set back.  */
#define BACKEND_REPORT_TIMEOUT_US 4500000

/* Types */

enum backend_state
{
  BACKEND_UNKNOWN,
  BACKEND_SERVING,
  BACKEND_DRAINING, /* accepts no new requests until the end of this boot */
  BACKEND_LEFT
};

/* A decoded report.  */
struct backend_report
{
  struct str id; /* id of the boot or of the backend server */
  struct str service;
  struct str address; /* IP address */
  uint16_t port;
  uint32_t slots;       /* largest number of concurrent requests */
  uint32_t connections; /* largest number of connections */
  enum backend_state state;
  int64_t boot_ms; /* wall-clock time of the start */
  int64_t cold_us; /* remaining time until it is warmed up */
  /* increases with each report of a boot; 0: not numbered */
  uint64_t sequence;
};

/* Result of applying a report.  */
enum backend_change
{
  BACKEND_CHANGE_STALE,     /* out of date; the report was ignored */
  BACKEND_CHANGE_HELD,      /* kept until backend_load_stops */
  BACKEND_CHANGE_NONE,      /* no change */
  BACKEND_CHANGE_ANNOUNCED, /* serves; new boot or changed values */
  BACKEND_CHANGE_DRAINED,   /* accepts no new requests from now on */
  BACKEND_CHANGE_LEFT       /* has left */
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
  struct backend_stops stops; /* owned */
  bool stops_known;           /* the stops of earlier processes are in it */
  bool has_held;
  struct backend_report held; /* owned strings; valid if has_held */
};

/* Public functions */

/* Initializes a record without a backend server.  */
void backend_init (struct backend_record *b);
/* Frees the strings and the list.  */
void backend_close (struct backend_record *b);
/* Applies a report and returns what has changed.  */
enum backend_change backend_apply (struct backend_record *b,
                                   const struct backend_report *report,
                                   int64_t now_us);
/* Returns the boot time of a boot with this id that reported last, or 0.  */
int64_t backend_find_boot (const struct backend_record *b, struct str id);
/* Adds the stops that earlier processes of the daemon recorded and applies the
   report that was held, or stops the boot that serves if it is among them.
   Returns what has changed; the values are those of `report`, which the caller
   frees with backend_free_report.  */
enum backend_change backend_load_stops (struct backend_record *b,
                                        const struct backend_stops *stops,
                                        struct backend_report *report,
                                        int64_t now_us);
/* Frees the strings of a report that backend_load_stops returned.  */
void backend_free_report (struct backend_report *report);

#endif
