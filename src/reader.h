/* reader: reads the members of a msgpack array in order.

   `failed` is set by the first member that is missing, of another type or out
   of range, and stays set; what is read after it is zero or empty.  */

#ifndef ALMONDVALE_READER_H
#define ALMONDVALE_READER_H

#include "str.h"

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

struct reader
{
  const msgpack_object *items;
  uint32_t len;
  uint32_t next;
  bool failed;
  msgpack_zone *zone; /* of the outermost array; views live as long */
};

/* Public functions */

/* checks the sizes and decodes one array; free with reader_close */
bool reader_init (struct reader *r, struct str bytes);
/* frees the decoded array */
void reader_close (struct reader *r);
/* true if nothing failed and no member is left */
bool reader_is_done (const struct reader *r);
/* unsigned number */
uint64_t reader_take_u64 (struct reader *r);
/* unsigned number up to max */
uint32_t reader_take_u32 (struct reader *r, uint32_t max);
/* number that may be negative */
int64_t reader_take_i64 (struct reader *r);
/* true or false */
bool reader_take_bool (struct reader *r);
/* view of text */
struct str reader_take_str (struct reader *r);
/* view of bytes */
struct str reader_take_bin (struct reader *r);
/* nested array of at most max members */
struct reader reader_take_array (struct reader *r, uint32_t max);

#endif
