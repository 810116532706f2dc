/* wire_reader: reads the members of a msgpack array in order.

   `failed` is set by the first member that is missing, of another type or out
   of range, and stays set; what is read after it is zero or empty.  */

#ifndef ALMONDVALE_WIRE_READER_H
#define ALMONDVALE_WIRE_READER_H

#include "str.h"

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

struct wire_reader
{
  const msgpack_object *items;
  uint32_t len;
  uint32_t next;
  bool failed;
  msgpack_zone *zone; /* of the outermost array; views live as long */
};

/* Public functions */

/* checks the sizes and decodes one array; free with wire_reader_close */
bool wire_reader_init (struct wire_reader *r, struct str bytes);
/* frees the decoded array */
void wire_reader_close (struct wire_reader *r);
/* true if nothing failed and no member is left */
bool wire_reader_is_done (const struct wire_reader *r);
/* unsigned number */
uint64_t wire_reader_read_u64 (struct wire_reader *r);
/* unsigned number up to max */
uint32_t wire_reader_read_u32 (struct wire_reader *r, uint32_t max);
/* number that may be negative */
int64_t wire_reader_read_i64 (struct wire_reader *r);
/* true or false */
bool wire_reader_read_bool (struct wire_reader *r);
/* view of text */
struct str wire_reader_read_str (struct wire_reader *r);
/* view of bytes */
struct str wire_reader_read_bin (struct wire_reader *r);
/* nested array of at most max members */
struct wire_reader wire_reader_read_array (struct wire_reader *r,
                                           uint32_t max);

#endif
