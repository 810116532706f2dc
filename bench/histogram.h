/* histogram: log-linear histogram of durations in microseconds, like
   HdrHistogram.

   Each power of two is divided into HISTOGRAM_SUB_BUCKETS linear buckets, so a
   percentile is at most 1/128 above the true value.  Values from 2^40 us on
   share the last bucket.  */

#ifndef ALMONDVALE_HISTOGRAM_H
#define ALMONDVALE_HISTOGRAM_H

#include <stdint.h>

/* Constants */

#define HISTOGRAM_SUB_BITS 7u
#define HISTOGRAM_SUB_BUCKETS (1u << HISTOGRAM_SUB_BITS)
#define HISTOGRAM_SHIFT_MAX 32u /* for values below 2^40 us */
#define HISTOGRAM_BUCKETS ((HISTOGRAM_SHIFT_MAX + 2) * HISTOGRAM_SUB_BUCKETS)

/* Types */

struct histogram
{
  uint64_t count;
  int64_t max; /* largest value added */
  uint64_t buckets[HISTOGRAM_BUCKETS];
};

/* Functions */

static inline uint32_t
histogram_find_bucket (int64_t value)
{
  uint64_t v = value > 0 ? (uint64_t)value : 0;
  uint32_t shift;

  if (v < HISTOGRAM_SUB_BUCKETS)
    return (uint32_t)v;
  shift = 63u - (uint32_t)__builtin_clzll (v) - HISTOGRAM_SUB_BITS;
  if (shift > HISTOGRAM_SHIFT_MAX)
    return HISTOGRAM_BUCKETS - 1;
  return shift * HISTOGRAM_SUB_BUCKETS + (uint32_t)(v >> shift);
}

/* Returns the largest value that falls into the bucket.  */
static inline int64_t
histogram_get_upper_bound (uint32_t bucket)
{
  uint32_t shift;

  if (bucket < 2 * HISTOGRAM_SUB_BUCKETS)
    return bucket;
  shift = bucket / HISTOGRAM_SUB_BUCKETS - 1;
  return (((int64_t)bucket - shift * HISTOGRAM_SUB_BUCKETS + 1) << shift) - 1;
}

static inline void
histogram_add (struct histogram *h, int64_t value)
{
  h->count++;
  h->buckets[histogram_find_bucket (value)]++;
  if (value > h->max)
    h->max = value;
}

/* Returns the value that the given fraction (0 to 1) of the values does not
   exceed, rounded up to the bound of its bucket, or 0 if the histogram is
   empty.  */
static inline int64_t
histogram_get_quantile (const struct histogram *h, double fraction)
{
  double target_count = fraction * (double)h->count;
  uint64_t cumulative_count = 0;

  for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      int64_t bound = histogram_get_upper_bound (i);

      cumulative_count += h->buckets[i];
      if (cumulative_count > 0 && (double)cumulative_count >= target_count)
        return bound < h->max ? bound : h->max;
    }
  return h->max;
}

#endif
