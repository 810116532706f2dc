/* hop_token: tokens that identify the request that makes a nested call.

   The serve thread issues a token with each request that it sends to the
   backend server, and revokes the token when the request ends.  The backend
   server sends the token with its nested calls, and the front thread that
   receives such a call looks up the request by the token.  All functions that
   read or change the rows lock the table's mutex.  */

#ifndef ALMONDVALE_HOP_TOKEN_H
#define ALMONDVALE_HOP_TOKEN_H

#include "retry_budget.h"
#include "table.h"
#include "wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define HOP_TOKEN_LEN 32u /* hexadecimal digits of 128 bits */
#define HOP_TOKEN_NAME_MAX_BYTES 128u

/* Types */

/* A short string stored in place, so that a copy needs no memory
   allocation.  */
struct hop_token_text
{
  uint32_t len;
  char data[HOP_TOKEN_NAME_MAX_BYTES];
};

/* Lowest importance that a service accepts, as reported in the response to a
   nested call.  */
struct hop_token_threshold
{
  struct hop_token_text service;
  uint32_t level;
};

/* Values that a nested call inherits from the request that makes it.  */
struct hop_token_context
{
  struct hop_token_text workspace; /* empty if the route needs no key */
  uint32_t importance;
  uint32_t depth; /* of the request that makes the call */
  int64_t deadline_us;
  bool retry; /* the request that makes the call is itself a retry */
  struct hop_token_text traceparent;
};

/* Values that the nested calls of a request have produced when it ends.  */
struct hop_token_usage
{
  uint32_t unused_budget; /* extra attempts that were not used */
  int64_t nested_us; /* time during which at least one nested call was open */
  uint32_t thresholds_len;
  struct hop_token_threshold thresholds[WIRE_THRESHOLDS_MAX];
};

struct hop_token_row
{
  char token[HOP_TOKEN_LEN];
  struct hop_token_context context;
  struct retry_budget_pool budget; /* for the nested calls */
  uint32_t nested_calls_open;
  int64_t nested_start_us; /* when nested_calls_open last rose from 0 */
  int64_t nested_us;
  uint32_t thresholds_len;
  struct hop_token_threshold thresholds[WIRE_THRESHOLDS_MAX];
};

struct hop_token_table
{
  GMutex mutex;
  struct table rows;
  GHashTable *by_token; /* hop_token_row.token to row id */
  uint32_t rows_max;
};

/* Public functions */

/* Makes an empty table for at most rows_max requests in flight.  */
void hop_token_init (struct hop_token_table *t, uint32_t rows_max);
void hop_token_close (struct hop_token_table *t);
/* Sets the members of a context.  Returns false if a text is too long.  */
bool hop_token_init_context (struct hop_token_context *c, struct str workspace,
                             uint32_t importance, uint32_t depth,
                             int64_t deadline_us, struct str traceparent);
/* Returns a view of a stored text.  */
struct str hop_token_view_text (const struct hop_token_text *text);
/* Issues a token for a request that is about to be sent.  Returns its row id,
   or 0 if the table is full or the system has no random bytes.  */
uint64_t hop_token_issue (struct hop_token_table *t,
                          const struct hop_token_context *context,
                          uint32_t retry_budget, char token[HOP_TOKEN_LEN]);
/* Revokes the token of a request that has ended.  Returns false if it was
   revoked before.  */
bool hop_token_revoke (struct hop_token_table *t, uint64_t id, int64_t now_us,
                       struct hop_token_usage *usage);
/* Finds the context and the row id of a token.  Returns false if the token is
   forged, its request has ended or its deadline has passed.  */
bool hop_token_resolve (struct hop_token_table *t, struct str token,
                        int64_t now_us, struct hop_token_context *context,
                        uint64_t *id);
/* Records the start of a nested call.  Returns its allocation of the retry
   budget.  */
uint32_t hop_token_begin_nested (struct hop_token_table *t, uint64_t id,
                                 int64_t now_us);
/* Records the end of a nested call, and returns the `unused` extra attempts of
   its allocation to the budget.  */
void hop_token_end_nested (struct hop_token_table *t, uint64_t id,
                           uint32_t allocation, uint32_t unused,
                           int64_t now_us);
/* Records the threshold of a service from the response to a nested call; the
   highest one is kept.  */
void hop_token_record_threshold (struct hop_token_table *t, uint64_t id,
                                 struct str service, uint32_t level);
/* Returns the number of tokens that are not revoked.  */
uint32_t hop_token_get_count (struct hop_token_table *t);

#endif
