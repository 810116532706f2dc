/* hdr: log-linear histogram of microseconds, after HdrHistogram.

   Each power of two is divided into HDR_SUB_BUCKETS linear buckets, so a
   percentile is at most 1/128 above the true value.  */

#ifndef ALMONDVALE_HDR_H
#define ALMONDVALE_HDR_H

#include <stdint.h>

/* Constants */

#define HDR_SUB_BITS 7u
#define HDR_SUB_BUCKETS (1u << HDR_SUB_BITS)
#define HDR_SHIFT_MAX 32u /* values up to 2^40 us */
#define HDR_BUCKETS ((HDR_SHIFT_MAX + 2) * HDR_SUB_BUCKETS)

/* Types */

struct hdr
{
  uint64_t count;
  int64_t max;
  uint64_t buckets[HDR_BUCKETS];
};

/* Functions */

static inline uint32_t
hdr_find_bucket (int64_t value)
{
  uint64_t v = value > 0 ? (uint64_t)value : 0;
  uint32_t shift;

  if (v < HDR_SUB_BUCKETS)
    return (uint32_t)v;
  shift = 63u - (uint32_t)__builtin_clzll (v) - HDR_SUB_BITS;
  if (shift > HDR_SHIFT_MAX)
    return HDR_BUCKETS - 1;
  return shift * HDR_SUB_BUCKETS + (uint32_t)(v >> shift);
}

/* largest value that falls into the bucket */
static inline int64_t
hdr_get_bound (uint32_t bucket)
{
  uint32_t shift;

  if (bucket < 2 * HDR_SUB_BUCKETS)
    return bucket;
  shift = bucket / HDR_SUB_BUCKETS - 1;
  return (((int64_t)bucket - shift * HDR_SUB_BUCKETS + 1) << shift) - 1;
}

static inline void
hdr_add (struct hdr *h, int64_t value)
{
  h->count++;
  h->buckets[hdr_find_bucket (value)]++;
  if (value > h->max)
    h->max = value;
}

/* value that the given share (0 to 1) of the values does not exceed, 0 if the
   histogram is empty */
static inline int64_t
hdr_get_quantile (const struct hdr *h, double share)
{
  double wanted = share * (double)h->count;
  uint64_t seen = 0;

  for (uint32_t i = 0; i < HDR_BUCKETS; i++)
    {
      int64_t bound = hdr_get_bound (i);

      seen += h->buckets[i];
      if (seen > 0 && (double)seen >= wanted)
        return bound < h->max ? bound : h->max;
    }
  return h->max;
}

#endif
