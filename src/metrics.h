/* metrics: counters, gauges and latency histograms.

   Rows are registered at start, before the threads run; a row never moves and
   is updated from any thread with atomic operations.  The text is in the
   Prometheus format.  */

#ifndef ALMONDVALE_METRICS_H
#define ALMONDVALE_METRICS_H

#include "str.h"
#include "table.h"

#include <stdatomic.h>
#include <stdint.h>

/* Constants */

#define METRICS_BUCKETS 18u /* the last one has no upper bound */

/* Types */

enum metrics_type
{
  METRICS_COUNTER,
  METRICS_GAUGE,
  METRICS_HISTOGRAM /* of durations in microseconds */
};

/* What a row is; the strings are static.  */
struct metrics_definition
{
  enum metrics_type type;
  const char *name;  /* with the unit: ..._total, ..._seconds, ..._bytes */
  const char *help;  /* one sentence */
  const char *label; /* name of the label, NULL for none */
};

struct metrics_row
{
  const struct metrics_definition *definition;
  struct str label_value;     /* owned */
  struct metrics_row *next;   /* next row of the same definition */
  _Atomic int64_t value;      /* counter, gauge */
  _Atomic uint64_t sum_us;    /* histogram */
  _Atomic uint64_t buckets[]; /* histogram: METRICS_BUCKETS of them */
};

struct metrics
{
  struct table families; /* one struct metrics_family for each definition */
};

/* Public functions */

/* no rows */
void metrics_init (struct metrics *m);
/* frees all rows */
void metrics_close (struct metrics *m);
/* adds a row, or gives the one added before with the same definition and
   label; not while another thread adds rows or prints */
struct metrics_row *
metrics_register (struct metrics *m,
                  const struct metrics_definition *definition,
                  struct str label_value);
/* adds to a counter; any thread */
void metrics_increment (struct metrics_row *row, uint64_t n);
/* sets a gauge; any thread */
void metrics_set (struct metrics_row *row, int64_t value);
/* adds to a gauge, which may be shared by threads; any thread */
void metrics_add_to_gauge (struct metrics_row *row, int64_t delta);
/* counts a duration in a histogram; any thread */
void metrics_observe (struct metrics_row *row, int64_t duration_us);
/* value of a counter or gauge, or number of observations */
int64_t metrics_get (const struct metrics_row *row);
/* appends all rows in the Prometheus text format */
void metrics_append_text (const struct metrics *m, struct str_buf *out);
/* appends name, type and meaning of all rows as a Markdown table */
void metrics_append_reference (const struct metrics *m, struct str_buf *out);

#endif
