/* hop_token: tokens that identify the request that makes a nested call.  */

#include "hop_token.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>

/* Constants */

#define TOKEN_BYTES (HOP_TOKEN_LEN / 2u)

/* Internal functions */

static guint
hash_token (gconstpointer p)
{
  return (guint)str_hash ((struct str){ HOP_TOKEN_LEN, p });
}

static gboolean
equal_token (gconstpointer p, gconstpointer q)
{
  return memcmp (p, q, HOP_TOKEN_LEN) == 0;
}

static bool
fill_random (uint8_t *bytes, size_t len)
{
  size_t filled = 0;

  while (filled < len)
    {
      ssize_t n = getrandom (bytes + filled, len - filled, 0);

      if (n < 0 && errno != EINTR)
        return false;
      if (n > 0)
        filled += (size_t)n;
    }
  return true;
}

static bool
make_token (char token[HOP_TOKEN_LEN])
{
  static const char digits[] = "0123456789abcdef";
  uint8_t bytes[TOKEN_BYTES];

  if (!fill_random (bytes, sizeof bytes))
    return false;
  for (size_t i = 0; i < sizeof bytes; i++)
    {
      token[2 * i] = digits[bytes[i] >> 4];
      token[2 * i + 1] = digits[bytes[i] & 15];
    }
  return true;
}

static bool
set_text (struct hop_token_text *text, struct str s)
{
  if (s.len > sizeof text->data)
    return false;
  text->len = (uint32_t)s.len;
  memcpy (text->data, s.data, s.len);
  return true;
}

/* Adds the row of a token and returns its id, or 0 if the table is full.  The
   callers of this and the following internal functions hold the mutex.  */
static uint64_t
add_row (struct hop_token_table *t, const struct hop_token_context *context,
         uint32_t retry_budget, const char token[HOP_TOKEN_LEN])
{
  uint64_t *id;
  void *row;
  struct hop_token_row *r;

  if (t->rows.count >= t->rows_max)
    return 0;
  id = g_new (uint64_t, 1);
  *id = table_add (&t->rows, &row);
  r = row;
  memcpy (r->token, token, HOP_TOKEN_LEN);
  r->context = *context;
  retry_budget_init_pool (&r->budget, retry_budget);
  g_hash_table_insert (t->by_token, r->token, id);
  return *id;
}

/* Adds the time since nested_start_us, after the last nested call has
   ended.  */
static void
add_nested_time (struct hop_token_row *r, int64_t now_us)
{
  if (r->nested_calls_open == 0)
    r->nested_us += MAX (now_us - r->nested_start_us, 0);
}

static void
copy_usage (const struct hop_token_row *r, struct hop_token_usage *usage)
{
  usage->unused_budget = r->budget.left;
  usage->nested_us = r->nested_us;
  usage->thresholds_len = r->thresholds_len;
  memcpy (usage->thresholds, r->thresholds,
          r->thresholds_len * sizeof r->thresholds[0]);
}

static uint64_t
find_token (struct hop_token_table *t, struct str token)
{
  uint64_t *id;

  if (token.len != HOP_TOKEN_LEN)
    return 0;
  id = g_hash_table_lookup (t->by_token, token.data);
  return id != NULL ? *id : 0;
}

static struct hop_token_threshold *
find_threshold (struct hop_token_row *r, struct str service)
{
  for (uint32_t i = 0; i < r->thresholds_len; i++)
    if (str_equal (hop_token_view_text (&r->thresholds[i].service), service))
      return &r->thresholds[i];
  return NULL;
}

static void
record_threshold (struct hop_token_row *r, struct str service, uint32_t level)
{
  struct hop_token_threshold *known = find_threshold (r, service);

  if (known != NULL)
    {
      known->level = MAX (known->level, level);
      return;
    }
  if (r->thresholds_len == WIRE_THRESHOLDS_MAX)
    return;
  known = &r->thresholds[r->thresholds_len];
  if (!set_text (&known->service, service))
    return;
  known->level = level;
  r->thresholds_len++;
}

/* Public functions */

/**
 * hop_token_init - makes an empty table
 * @t: table
 * @rows_max: largest number of requests in flight
 */
void
hop_token_init (struct hop_token_table *t, uint32_t rows_max)
{
  g_mutex_init (&t->mutex);
  table_init (&t->rows, sizeof (struct hop_token_row));
  t->by_token = g_hash_table_new_full (hash_token, equal_token, NULL, g_free);
  t->rows_max = rows_max;
}

void
hop_token_close (struct hop_token_table *t)
{
  g_hash_table_unref (t->by_token);
  table_close (&t->rows);
  g_mutex_clear (&t->mutex);
}

/**
 * hop_token_init_context - sets the members of a context
 * @c: context
 * @workspace: name, empty if the route needs no key
 * @importance: 0..9
 * @depth: depth of the request that the backend server runs
 * @deadline_us: deadline of the request
 * @traceparent: trace context of its span
 *
 * Return: false if a text does not fit.
 */
bool
hop_token_init_context (struct hop_token_context *c, struct str workspace,
                        uint32_t importance, uint32_t depth,
                        int64_t deadline_us, struct str traceparent)
{
  *c = (struct hop_token_context){ .importance = importance,
                                   .depth = depth,
                                   .deadline_us = deadline_us };
  return set_text (&c->workspace, workspace)
         && set_text (&c->traceparent, traceparent);
}

struct str
hop_token_view_text (const struct hop_token_text *text)
{
  return (struct str){ text->len, text->data };
}

/**
 * hop_token_issue - issues the token of a request
 * @t: table
 * @context: values that nested calls inherit
 * @retry_budget: extra attempts for the nested calls
 * @token: receives the token, HOP_TOKEN_LEN hex digits without a NUL
 *
 * Return: the row id for hop_token_revoke, or 0 if the table is full or the
 * system has no random bytes.
 */
uint64_t
hop_token_issue (struct hop_token_table *t,
                 const struct hop_token_context *context,
                 uint32_t retry_budget, char token[HOP_TOKEN_LEN])
{
  uint64_t id;

  if (!make_token (token))
    return 0;
  g_mutex_lock (&t->mutex);
  id = add_row (t, context, retry_budget, token);
  g_mutex_unlock (&t->mutex);
  return id;
}

/**
 * hop_token_revoke - revokes the token of a request that has ended
 * @t: table
 * @id: row id from hop_token_issue
 * @now_us: current time
 * @usage: receives the unused budget, and the time and the thresholds of the
 *         nested calls
 *
 * The allocations of nested calls that are still open count as used.
 *
 * Return: false if the token was revoked before; then @usage is empty.
 */
bool
hop_token_revoke (struct hop_token_table *t, uint64_t id, int64_t now_us,
                  struct hop_token_usage *usage)
{
  struct hop_token_row *r;

  usage->unused_budget = 0;
  usage->nested_us = 0;
  usage->thresholds_len = 0;
  g_mutex_lock (&t->mutex);
  r = table_get (&t->rows, id);
  if (r != NULL)
    {
      if (r->nested_calls_open > 0)
        {
          r->nested_calls_open = 0;
          add_nested_time (r, now_us);
        }
      copy_usage (r, usage);
      g_hash_table_remove (t->by_token, r->token);
      table_remove (&t->rows, id);
    }
  g_mutex_unlock (&t->mutex);
  return r != NULL;
}

/**
 * hop_token_resolve - finds the request that a nested call belongs to
 * @t: table
 * @token: token from the nested call
 * @now_us: current time
 * @context: receives a copy of the context
 * @id: receives the row id for the functions that record nested calls
 *
 * Return: false if the token is unknown, its request has ended, or its
 * deadline has passed.
 */
bool
hop_token_resolve (struct hop_token_table *t, struct str token, int64_t now_us,
                   struct hop_token_context *context, uint64_t *id)
{
  const struct hop_token_row *r;
  bool valid;

  g_mutex_lock (&t->mutex);
  *id = find_token (t, token);
  r = table_get (&t->rows, *id);
  valid = r != NULL && now_us < r->context.deadline_us;
  if (valid)
    *context = r->context;
  g_mutex_unlock (&t->mutex);
  return valid;
}

uint32_t
hop_token_begin_nested (struct hop_token_table *t, uint64_t id, int64_t now_us)
{
  struct hop_token_row *r;
  uint32_t allocation = 0;

  g_mutex_lock (&t->mutex);
  r = table_get (&t->rows, id);
  if (r != NULL)
    {
      if (r->nested_calls_open++ == 0)
        r->nested_start_us = now_us;
      allocation = retry_budget_allocate_nested (&r->budget);
    }
  g_mutex_unlock (&t->mutex);
  return allocation;
}

void
hop_token_end_nested (struct hop_token_table *t, uint64_t id,
                      uint32_t allocation, uint32_t unused, int64_t now_us)
{
  struct hop_token_row *r;

  g_mutex_lock (&t->mutex);
  r = table_get (&t->rows, id);
  if (r != NULL && r->nested_calls_open > 0)
    {
      r->nested_calls_open--;
      add_nested_time (r, now_us);
      retry_budget_return (&r->budget, allocation, unused);
    }
  g_mutex_unlock (&t->mutex);
}

void
hop_token_record_threshold (struct hop_token_table *t, uint64_t id,
                            struct str service, uint32_t level)
{
  struct hop_token_row *r;

  g_mutex_lock (&t->mutex);
  r = table_get (&t->rows, id);
  if (r != NULL)
    record_threshold (r, service, level);
  g_mutex_unlock (&t->mutex);
}

uint32_t
hop_token_get_count (struct hop_token_table *t)
{
  uint32_t count;

  g_mutex_lock (&t->mutex);
  count = t->rows.count;
  g_mutex_unlock (&t->mutex);
  return count;
}
