/* metrics: counters, gauges and latency histograms.

   A metric has one row for each value of its label, or a single row without a
   label.  Rows are registered at start, before the threads run.  A row never
   moves and can be updated by any thread with atomic operations.  The output
   is in the Prometheus text format.  */

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

/* Definition of a metric; the strings are static.  */
struct metrics_definition
{
  enum metrics_type type;
  const char *name;  /* with a unit suffix: _total, _seconds, _bytes */
  const char *help;  /* one sentence */
  const char *label; /* name of the label, or NULL */
};

struct metrics_row
{
  const struct metrics_definition *definition;
  struct str label_value;     /* owned */
  struct metrics_row *next;   /* next row of the same definition */
  _Atomic int64_t value;      /* counter or gauge */
  _Atomic uint64_t sum_us;    /* histogram */
  _Atomic uint64_t buckets[]; /* histogram: METRICS_BUCKETS counts */
};

struct metrics
{
  struct table families; /* one struct metrics_family for each definition */
};

/* Public functions */

/* Initializes an empty set of metrics.  */
void metrics_init (struct metrics *m);
/* Frees all rows.  */
void metrics_close (struct metrics *m);
/* Adds a row, or returns the existing one of the same definition and label
   value.  No other thread may add or print rows at the same time.  */
struct metrics_row *
metrics_register (struct metrics *m,
                  const struct metrics_definition *definition,
                  struct str label_value);
/* Adds n to a counter; any thread may call it.  */
void metrics_increment (struct metrics_row *row, uint64_t n);
/* Sets a gauge; any thread may call it.  */
void metrics_set (struct metrics_row *row, int64_t value);
/* Adds delta to a gauge; any thread may call it.  */
void metrics_add_to_gauge (struct metrics_row *row, int64_t delta);
/* Records a duration in a histogram; any thread may call it.  */
void metrics_observe (struct metrics_row *row, int64_t duration_us);
/* Returns the value of a counter or gauge, or the number of durations recorded
   in a histogram.  */
int64_t metrics_get (const struct metrics_row *row);
/* Appends all rows in the Prometheus text format.  */
void metrics_append_text (const struct metrics *m, struct str_buf *out);
/* Appends name, type, label and meaning of all metrics as a Markdown
   table.  */
void metrics_append_reference (const struct metrics *m, struct str_buf *out);

#endif
