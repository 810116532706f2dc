/* member_rows: the rows of the membership table with their indexes, counts and
   digests.

   Internal to the member modules: `member` merges received entries,
   `member_probe` detects failures, `member_sync` exchanges tables.  */

#ifndef ALMONDVALE_MEMBER_ROWS_H
#define ALMONDVALE_MEMBER_ROWS_H

#include "member.h"

/* Public functions */

/* random numbers and hashes */

uint64_t member_rows_mix (uint64_t x);
/* returns a random number from 0 to below - 1 */
uint32_t member_rows_random (struct member_table *t, uint32_t below);
/* returns the digest bucket of a member */
uint32_t member_rows_find_bucket (uint64_t id);
/* XORs an entry into its bucket's digest, which adds the entry, or removes it
   if it was added before; does nothing for a dead member */
void member_rows_xor_into_digest (struct member_table *t,
                                  const struct member_entry *e);

/* rows */

/* returns the row of a failure domain, or NULL */
struct member_domain *member_rows_find_domain (const struct member_table *t,
                                               uint32_t domain);
/* returns the row of a service, adding it if it is missing */
struct member_service *member_rows_find_or_add_service (struct member_table *t,
                                                        uint64_t hash);
/* sets a member's service; hash 0: the member has none */
void member_rows_set_service (struct member_table *t, struct member_row *row,
                              uint64_t hash, struct str name);
struct member_row *member_rows_add (struct member_table *t,
                                    const struct member_entry *e,
                                    int64_t now_us);
void member_rows_remove (struct member_table *t, struct member_row *row);
/* queues a row for gossip */
void member_rows_queue_change (struct member_table *t,
                               const struct member_row *row);
/* sets incarnation and liveness and updates digests and counts */
void member_rows_set_version (struct member_table *t, struct member_row *row,
                              uint64_t incarnation,
                              enum member_liveness liveness, int64_t now_us);
/* returns true if the entire failure domain has probably failed; suspicions of
   its single members are then ignored */
bool member_rows_is_domain_suspect (const struct member_domain *d);
/* sets the own incarnation to a value above the present one and above `above`,
   and queues the own row for gossip */
void member_rows_raise_incarnation (struct member_table *t, uint64_t above);

/* choices and messages */

/* return a random member of a domain or of the fleet, or NULL if this daemon
   was drawn */
struct member_row *member_rows_pick_in (struct member_table *t,
                                        const struct member_domain *d);
struct member_row *member_rows_pick_any (struct member_table *t);
/* add a message to `out` and return it for completion */
struct member_message *
member_rows_add_message (struct member_table *t, enum member_message_type type,
                         uint64_t to, const struct member_address *address);
struct member_message *
member_rows_add_message_to (struct member_table *t,
                            enum member_message_type type,
                            const struct member_row *to);

#endif
