/* auth: callers' keys.  Finds and checks the key of a request and makes sure
   that no backend server sees it.  */

#ifndef ALMONDVALE_AUTH_H
#define ALMONDVALE_AUTH_H

#include "err.h"
#include "str.h"
#include "wire.h"

#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define AUTH_DIGEST_BYTES 32u
/* Shorter keys can be guessed, and would be found in ordinary text.  */
#define AUTH_KEY_MIN_BYTES 16u
#define AUTH_KEY_MAX_BYTES 256u

/* Types */

/* What a valid key stands for.  */
struct auth_identity
{
  uint64_t key;         /* the owner's key id */
  struct str workspace; /* view, valid as long as the owner says */
};

/* Look-up of a digest, e.g. in a snapshot; false if unknown or revoked.  */
struct auth_lookup
{
  bool (*find) (void *owner, const uint8_t digest[AUTH_DIGEST_BYTES],
                struct auth_identity *identity);
  void *owner;
};

/* Search for the key in a body that arrives in parts.  */
struct auth_scan
{
  struct str key;      /* owned copy */
  struct str_buf tail; /* end of the earlier parts, raw */
  bool found;
};

/* Public functions */

/* the one key that the request presents: ERR_NONE, ERR_KEY_MISSING, or
   ERR_BAD_REQUEST if it presents two different ones; *key is a view */
enum err_kind auth_find_key (const struct wire_header *headers, uint32_t len,
                             struct str *key);
/* SHA-256 */
void auth_hash_key (struct str key, uint8_t digest[AUTH_DIGEST_BYTES]);
/* finds and looks up the key: ERR_NONE, or the error kind of the answer */
enum err_kind auth_check (const struct wire_header *headers, uint32_t len,
                          const struct auth_lookup *lookup, struct str *key,
                          struct auth_identity *identity);
/* true for the headers that the product's own interface forwards */
bool auth_is_forwarded (struct str name);
/* copies the headers that may be forwarded; returns their number */
uint32_t auth_filter_headers (const struct wire_header *headers, uint32_t len,
                              bool (*forwards) (struct str name),
                              struct wire_header *out, uint32_t out_max);
/* true if the path, query or a forwarded header contains the key, also
   percent-encoded */
bool auth_contains_key (struct str key, struct str path,
                        const struct wire_header *headers, uint32_t len);
/* a body is searched part by part */
void auth_init_scan (struct auth_scan *s, struct str key);
void auth_close_scan (struct auth_scan *s);
/* true once the key was found; the part must not be forwarded then */
bool auth_scan_part (struct auth_scan *s, struct str part);

#endif
