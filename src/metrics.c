/* metrics: counters, gauges and latency histograms.  */

#include "metrics.h"

#include <glib.h>
#include <inttypes.h>

/* Constants */

#define US_PER_S 1e6

/* Upper bounds in microseconds.  360 is the design limit of the latency that
   the daemon adds at p99.  */
static const int64_t bounds_us[METRICS_BUCKETS - 1]
    = { 50,    100,   200,    360,    500,    1000,    2000,    5000,    10000,
        20000, 50000, 100000, 200000, 500000, 1000000, 2000000, 10000000 };

static const char *const type_names[] = { [METRICS_COUNTER] = "counter",
                                          [METRICS_GAUGE] = "gauge",
                                          [METRICS_HISTOGRAM] = "histogram" };

/* Types */

/* The rows of one definition.  */
struct metrics_family
{
  const struct metrics_definition *definition;
  struct metrics_row *first;
  struct metrics_row *last;
};

/* Internal functions */

static struct metrics_family *
find_family (const struct metrics *m,
             const struct metrics_definition *definition)
{
  struct metrics_family *f;

  for (uint64_t id = table_next (&m->families, 0, (void **)&f); id != 0;
       id = table_next (&m->families, id, (void **)&f))
    if (f->definition == definition)
      return f;
  return NULL;
}

static struct metrics_family *
add_family (struct metrics *m, const struct metrics_definition *definition)
{
  struct metrics_family *f;

  table_add (&m->families, (void **)&f);
  f->definition = definition;
  return f;
}

static struct metrics_row *
add_row (struct metrics_family *f, struct str label_value)
{
  size_t buckets
      = f->definition->type == METRICS_HISTOGRAM ? METRICS_BUCKETS : 0;
  struct metrics_row *row
      = g_malloc0 (sizeof *row + buckets * sizeof row->buckets[0]);

  row->definition = f->definition;
  row->label_value = str_copy (label_value);
  if (f->last == NULL)
    f->first = row;
  else
    f->last->next = row;
  f->last = row;
  return row;
}

/* Appends a label value, escaped for the Prometheus text format.  */
static void
append_escaped (struct str_buf *out, struct str text)
{
  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.data[i];

      if (c == '\\' || c == '"')
        str_append_char (out, '\\');
      if (c == '\n')
        str_append (out, STR_LIT ("\\n"));
      else
        str_append_char (out, c);
    }
}

/* Appends name, suffix and labels; le is the upper bound of a bucket, or
   NULL.  */
static void
append_name (struct str_buf *out, const struct metrics_row *row,
             const char *suffix, const char *le)
{
  const struct metrics_definition *d = row->definition;

  str_append_format (out, "%s%s", d->name, suffix);
  if (d->label != NULL || le != NULL)
    str_append_char (out, '{');
  if (d->label != NULL)
    {
      str_append_format (out, "%s=\"", d->label);
      append_escaped (out, row->label_value);
      str_append_char (out, '"');
    }
  if (le != NULL)
    str_append_format (out, "%sle=\"%s\"", d->label != NULL ? "," : "", le);
  if (d->label != NULL || le != NULL)
    str_append_char (out, '}');
}

/* The count is computed from the buckets, so that both agree while other
   threads record durations.  */
static void
append_histogram (struct str_buf *out, const struct metrics_row *row)
{
  uint64_t count = 0;
  char le[32];

  for (size_t i = 0; i < METRICS_BUCKETS; i++)
    {
      count += atomic_load_explicit (&row->buckets[i], memory_order_relaxed);
      if (i + 1 < METRICS_BUCKETS)
        g_snprintf (le, sizeof le, "%g", (double)bounds_us[i] / US_PER_S);
      else
        g_snprintf (le, sizeof le, "+Inf");
      append_name (out, row, "_bucket", le);
      str_append_format (out, " %" PRIu64 "\n", count);
    }
  append_name (out, row, "_sum", NULL);
  str_append_format (
      out, " %.6f\n",
      (double)atomic_load_explicit (&row->sum_us, memory_order_relaxed)
          / US_PER_S);
  append_name (out, row, "_count", NULL);
  str_append_format (out, " %" PRIu64 "\n", count);
}

static void
append_row (struct str_buf *out, const struct metrics_row *row)
{
  if (row->definition->type == METRICS_HISTOGRAM)
    {
      append_histogram (out, row);
      return;
    }
  append_name (out, row, "", NULL);
  str_append_format (out, " %" PRId64 "\n", metrics_get (row));
}

static void
free_rows (struct metrics_row *row)
{
  while (row != NULL)
    {
      struct metrics_row *next = row->next;

      str_free (&row->label_value);
      g_free (row);
      row = next;
    }
}

/* Public functions */

void
metrics_init (struct metrics *m)
{
  table_init (&m->families, sizeof (struct metrics_family));
}

void
metrics_close (struct metrics *m)
{
  struct metrics_family *f;

  for (uint64_t id = table_next (&m->families, 0, (void **)&f); id != 0;
       id = table_next (&m->families, id, (void **)&f))
    free_rows (f->first);
  table_close (&m->families);
}

/**
 * metrics_register - adds a row
 * @m: metrics
 * @definition: static definition of the metric, identified by its address
 * @label_value: value of the label; empty if the definition has no label
 *
 * Label values come from closed lists (error kinds, levels, states), so the
 * number of rows is fixed at start.
 *
 * Return: the row, valid until metrics_close().
 */
struct metrics_row *
metrics_register (struct metrics *m,
                  const struct metrics_definition *definition,
                  struct str label_value)
{
  struct metrics_family *f = find_family (m, definition);

  if (f == NULL)
    f = add_family (m, definition);
  for (struct metrics_row *row = f->first; row != NULL; row = row->next)
    if (str_equal (row->label_value, label_value))
      return row;
  return add_row (f, label_value);
}

void
metrics_increment (struct metrics_row *row, uint64_t n)
{
  atomic_fetch_add_explicit (&row->value, (int64_t)n, memory_order_relaxed);
}

void
metrics_set (struct metrics_row *row, int64_t value)
{
  atomic_store_explicit (&row->value, value, memory_order_relaxed);
}

void
metrics_add_to_gauge (struct metrics_row *row, int64_t delta)
{
  atomic_fetch_add_explicit (&row->value, delta, memory_order_relaxed);
}

/**
 * metrics_observe - records a duration
 * @row: histogram
 * @duration_us: duration; a negative one counts as 0
 */
void
metrics_observe (struct metrics_row *row, int64_t duration_us)
{
  size_t i = 0;

  duration_us = MAX (duration_us, 0);
  while (i < METRICS_BUCKETS - 1 && duration_us > bounds_us[i])
    i++;
  atomic_fetch_add_explicit (&row->buckets[i], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&row->sum_us, (uint64_t)duration_us,
                             memory_order_relaxed);
}

int64_t
metrics_get (const struct metrics_row *row)
{
  uint64_t count = 0;

  if (row->definition->type != METRICS_HISTOGRAM)
    return atomic_load_explicit (&row->value, memory_order_relaxed);
  for (size_t i = 0; i < METRICS_BUCKETS; i++)
    count += atomic_load_explicit (&row->buckets[i], memory_order_relaxed);
  return (int64_t)count;
}

/**
 * metrics_append_text - appends all rows
 * @m: metrics
 * @out: buffer to which the rows are appended in Prometheus text format 0.0.4
 */
void
metrics_append_text (const struct metrics *m, struct str_buf *out)
{
  struct metrics_family *f;

  for (uint64_t id = table_next (&m->families, 0, (void **)&f); id != 0;
       id = table_next (&m->families, id, (void **)&f))
    {
      const struct metrics_definition *d = f->definition;

      str_append_format (out, "# HELP %s %s\n# TYPE %s %s\n", d->name, d->help,
                         d->name, type_names[d->type]);
      for (struct metrics_row *row = f->first; row != NULL; row = row->next)
        append_row (out, row);
    }
}

void
metrics_append_reference (const struct metrics *m, struct str_buf *out)
{
  struct metrics_family *f;

  str_append (out, STR_LIT ("| metric | type | label | meaning |\n"
                            "|---|---|---|---|\n"));
  for (uint64_t id = table_next (&m->families, 0, (void **)&f); id != 0;
       id = table_next (&m->families, id, (void **)&f))
    {
      const struct metrics_definition *d = f->definition;

      str_append_format (out, "| `%s` | %s | %s | %s |\n", d->name,
                         type_names[d->type], d->label != NULL ? d->label : "",
                         d->help);
    }
}
