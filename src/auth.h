/* auth: authentication by API key.  Finds and checks the key of a request and
   ensures that it is not forwarded to a backend server.  */

#ifndef ALMONDVALE_AUTH_H
#define ALMONDVALE_AUTH_H

#include "err.h"
#include "str.h"
#include "wire.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define AUTH_DIGEST_BYTES 32u
/* A shorter key could be guessed, and the search for it in forwarded text
   would find matches in ordinary text.  */
#define AUTH_KEY_MIN_BYTES 16u
#define AUTH_KEY_MAX_BYTES 256u

/* Types */

/* Key id and workspace of a valid key.  */
struct auth_identity
{
  uint64_t key;         /* number that the look-up assigns to the key */
  struct str workspace; /* view; the look-up defines how long it is valid */
};

/* Looks up a key by its digest, e.g. in a snapshot; find returns false if the
   key is unknown or revoked.  */
struct auth_lookup
{
  bool (*find) (void *owner, const uint8_t digest[AUTH_DIGEST_BYTES],
                struct auth_identity *identity);
  void *owner; /* first argument of find */
};

/* State of the search for the key in a body that arrives in parts.  */
struct auth_scan
{
  struct str key;      /* owned copy */
  struct str_buf tail; /* last bytes of the earlier parts, not decoded */
  bool found;
};

/* Public functions */

/* finds the key in the headers and sets *key to a view of it; returns
   ERR_NONE, ERR_KEY_MISSING, or ERR_BAD_REQUEST if there are two different
   keys */
enum err_kind auth_find_key (const struct wire_header *headers, uint32_t len,
                             struct str *key);
/* computes the SHA-256 digest of a key */
void auth_hash_key (struct str key, uint8_t digest[AUTH_DIGEST_BYTES]);
/* finds the key and looks it up; returns ERR_NONE, or the error kind to answer
   the caller with */
enum err_kind auth_check (const struct wire_header *headers, uint32_t len,
                          const struct auth_lookup *lookup, struct str *key,
                          struct auth_identity *identity);
/* returns true if the native HTTP dialect forwards a header of this name */
bool auth_is_forwarded (struct str name);
/* copies the headers that may be forwarded; returns their number */
uint32_t auth_filter_headers (const struct wire_header *headers, uint32_t len,
                              bool (*forwards) (struct str name),
                              struct wire_header *out, uint32_t out_max);
/* returns true if the path, the query or a forwarded header contains the key,
   plain or encoded */
bool auth_contains_key (struct str key, struct str path,
                        const struct wire_header *headers, uint32_t len);
/* starts the search for a key in a body */
void auth_init_scan (struct auth_scan *s, struct str key);
/* ends the search and erases the copy of the key */
void auth_close_scan (struct auth_scan *s);
/* searches the next part of the body; returns true once the key was found; the
   part must not be forwarded then */
bool auth_scan_part (struct auth_scan *s, struct str part);

#endif
