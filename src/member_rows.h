/* member_rows: the rows of the membership table and what is kept beside them.

   Used by the member modules alone: `member` merges what is told, `member_probe`
   probes, `member_sync` exchanges tables.  */

#ifndef ALMONDVALE_MEMBER_ROWS_H
#define ALMONDVALE_MEMBER_ROWS_H

#include "member.h"

/* Public functions */

/* random numbers and hashes */

uint64_t member_rows_mix (uint64_t x);
/* next random number, 0 to below - 1 */
uint32_t member_rows_random (struct member_table *t, uint32_t below);
/* digest bucket of a member */
uint32_t member_rows_find_bucket (uint64_t id);
/* adds an entry to its bucket's digest, or takes it out */
void member_rows_toggle_digest (struct member_table *t,
                                const struct member_entry *e);

/* rows */

/* row of a failure domain, or NULL */
struct member_domain *member_rows_find_domain (const struct member_table *t,
                                               uint32_t domain);
/* row of a service, added if it is missing */
struct member_service *member_rows_find_or_add_service (struct member_table *t,
                                                        uint64_t hash);
/* sets a member's service; a hash of 0 is none */
void member_rows_set_service (struct member_table *t, struct member_row *row,
                              uint64_t hash, struct str name);
struct member_row *member_rows_add (struct member_table *t,
                                    const struct member_entry *e,
                                    int64_t now_us);
void member_rows_remove (struct member_table *t, struct member_row *row);
/* other daemons are to be told of the row */
void member_rows_queue_change (struct member_table *t,
                               const struct member_row *row);
/* sets incarnation and liveness, and what is counted from them */
void member_rows_set_version (struct member_table *t, struct member_row *row,
                              uint64_t incarnation,
                              enum member_liveness liveness, int64_t now_us);
/* true if single suspicions in the failure domain are held back */
bool member_rows_is_domain_suspect (const struct member_domain *d);
/* gives this daemon an incarnation above another one */
void member_rows_raise_incarnation (struct member_table *t, uint64_t above);

/* choices and messages */

/* a random member other than this daemon, or NULL if the draw was this daemon */
struct member_row *member_rows_pick_in (struct member_table *t,
                                        const struct member_domain *d);
struct member_row *member_rows_pick_any (struct member_table *t);
/* adds a message to send */
struct member_message *
member_rows_add_message (struct member_table *t, enum member_message_type type,
                         uint64_t to, const struct member_address *address);
struct member_message *
member_rows_add_message_to (struct member_table *t,
                            enum member_message_type type,
                            const struct member_row *to);

#endif
