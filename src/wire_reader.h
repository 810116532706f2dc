/* wire_reader: reads the members of a msgpack array in order.

   The first member that is missing, of another type or out of range sets
   `failed`, which stays set; from then on every read returns zero, false or an
   empty value.  */

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
  uint32_t len;  /* items in the array */
  uint32_t next; /* index of the next item to read */
  bool failed;
  /* memory of the decoded objects; views are not valid after it is freed.
     NULL in readers of nested arrays.  */
  msgpack_zone *zone;
};

/* Public functions */

/* checks the sizes and decodes one array; false if malformed; free with
   wire_reader_close */
bool wire_reader_init (struct wire_reader *r, struct str bytes);
/* frees the decoded array */
void wire_reader_close (struct wire_reader *r);
/* returns true if nothing failed and all members were read */
bool wire_reader_is_done (const struct wire_reader *r);
/* reads an unsigned number */
uint64_t wire_reader_read_u64 (struct wire_reader *r);
/* reads an unsigned number up to max */
uint32_t wire_reader_read_u32 (struct wire_reader *r, uint32_t max);
/* reads a signed number */
int64_t wire_reader_read_i64 (struct wire_reader *r);
/* reads a boolean */
bool wire_reader_read_bool (struct wire_reader *r);
/* returns a view of a str member */
struct str wire_reader_read_str (struct wire_reader *r);
/* returns a view of a bin member */
struct str wire_reader_read_bin (struct wire_reader *r);
/* returns a reader of a nested array of at most max members */
struct wire_reader wire_reader_read_array (struct wire_reader *r,
                                           uint32_t max);

#endif
