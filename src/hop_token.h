/* hop_token: tokens that the backend server presents with its nested calls.

   The serve thread issues a token with each request that it hands to the
   backend server and revokes it when the request ends; a front thread
   resolves it.  All functions lock the table's one mutex.  */

#ifndef ALMONDVALE_HOP_TOKEN_H
#define ALMONDVALE_HOP_TOKEN_H

#include "retry_budget.h"
#include "table.h"
#include "wire.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define HOP_TOKEN_LEN 32u /* hex digits of 128 bits */
#define HOP_TOKEN_NAME_MAX_BYTES 128u

/* Types */

/* A short string stored in place, so that a copy needs no allocation.  */
struct hop_token_text
{
  uint32_t len;
  char data[HOP_TOKEN_NAME_MAX_BYTES];
};

struct hop_token_threshold
{
  struct hop_token_text service;
  uint32_t level;
};

/* What a nested call inherits from the request that makes it.  */
struct hop_token_context
{
  struct hop_token_text workspace; /* empty on an open route */
  uint32_t importance;
  uint32_t depth; /* of the request itself */
  int64_t deadline_us;
  struct hop_token_text traceparent;
};

/* What the request has used, known when it ends.  */
struct hop_token_usage
{
  uint32_t unused_budget;
  int64_t nested_us; /* time with at least one nested call open */
  uint32_t thresholds_len;
  struct hop_token_threshold thresholds[WIRE_THRESHOLDS_MAX];
};

struct hop_token_row
{
  char token[HOP_TOKEN_LEN];
  struct hop_token_context context;
  struct retry_budget_pool budget;
  uint32_t nested_calls_open;
  int64_t nested_start_us;
  int64_t nested_us;
  uint32_t thresholds_len;
  struct hop_token_threshold thresholds[WIRE_THRESHOLDS_MAX];
};

struct hop_token_table
{
  GMutex mutex;
  struct table rows;
  GHashTable *by_token;
  uint32_t rows_max;
};

/* Public functions */

void hop_token_init (struct hop_token_table *t, uint32_t rows_max);
void hop_token_close (struct hop_token_table *t);
/* fills a context; false if a text is too long */
bool hop_token_init_context (struct hop_token_context *c, struct str workspace,
                             uint32_t importance, uint32_t depth,
                             int64_t deadline_us, struct str traceparent);
/* view of a stored text */
struct str hop_token_view_text (const struct hop_token_text *text);
/* row id and token of a request about to be handed over; 0 if the table is
   full or the system has no random bytes */
uint64_t hop_token_issue (struct hop_token_table *t,
                          const struct hop_token_context *context,
                          uint32_t retry_budget, char token[HOP_TOKEN_LEN]);
/* the request has ended: the token is invalid from now on */
bool hop_token_revoke (struct hop_token_table *t, uint64_t id, int64_t now_us,
                       struct hop_token_usage *usage);
/* context of a presented token; false if forged, ended or past its deadline */
bool hop_token_resolve (struct hop_token_table *t, struct str token,
                        int64_t now_us, struct hop_token_context *context,
                        uint64_t *id);
/* a nested call begins; returns its allocation of the retry budget */
uint32_t hop_token_begin_nested (struct hop_token_table *t, uint64_t id,
                                 int64_t now_us);
/* a nested call has ended; `unused` of its `allocation` go back to the pool */
void hop_token_end_nested (struct hop_token_table *t, uint64_t id,
                           uint32_t allocation, uint32_t unused,
                           int64_t now_us);
/* a nested call has learned the threshold of a service below */
void hop_token_record_threshold (struct hop_token_table *t, uint64_t id,
                                 struct str service, uint32_t level);
/* tokens in flight */
uint32_t hop_token_get_count (struct hop_token_table *t);

#endif
