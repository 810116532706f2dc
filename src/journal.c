/* journal: the log of configuration changes in the platform.  */

#include "journal.h"

#include "change_json.h"
#include "inventory_json.h"
#include "json_check.h"

#include <inttypes.h>

/* Constants */

#define RETRY_INTERVAL_US INT64_C (200000)
#define CHANGES_PREFIX "changes/"
#define HEAD_KEY "snapshots/head"
#define SNAPSHOT_PARTS_MAX 10000u

/* Internal functions: steps */

static void
begin (struct journal *j, enum journal_step step, int64_t deadline_us)
{
  j->step = step;
  j->result = JOURNAL_RUNNING;
  j->pending = false;
  j->retry_us = 0;
  j->deadline_us = deadline_us;
}

static void
finish (struct journal *j, enum journal_result result)
{
  j->step = JOURNAL_IDLE;
  j->result = result;
}

static void
finish_corrupt (struct journal *j, const char *key, const char *text)
{
  str_append_format (&j->problems, "%s: %s\n", key, text);
  finish (j, JOURNAL_CORRUPT);
}

static void
retry_later (struct journal *j, int64_t now_us)
{
  j->retry_us = now_us + RETRY_INTERVAL_US;
}

/* Ends an operation whose deadline has passed.  */
static void
time_out (struct journal *j)
{
  finish (j, j->create_unresolved ? JOURNAL_UNKNOWN : JOURNAL_UNAVAILABLE);
}

/* Internal functions: appending */

/* Prepares the change for the revision after the loaded one.  */
static void
prepare_create (struct journal *j)
{
  struct change *c = j->change;

  if (change_find_conflicts (c, &j->base, &j->inv, j->conflicts) > 0)
    {
      finish (j, JOURNAL_CONFLICT);
      return;
    }
  change_drop_unchanged (c, &j->inv);
  if (c->ops->len == 0)
    {
      finish (j, JOURNAL_UNCHANGED);
      return;
    }
  if (change_check (&j->inv, c, &j->problems) > 0)
    {
      finish (j, JOURNAL_INVALID);
      return;
    }
  c->revision = j->inv.revision + 1;
  j->encoded.len = 0;
  change_json_append (&j->encoded, c);
  if (j->encoded.len > OBJECT_STORE_VALUE_MAX_BYTES)
    {
      str_append_format (
          &j->problems,
          "the change is %zu bytes long; the limit is %zu bytes\n",
          j->encoded.len, OBJECT_STORE_VALUE_MAX_BYTES);
      finish (j, JOURNAL_INVALID);
      return;
    }
  j->step = JOURNAL_CREATE;
}

static void
accept_change (struct journal *j)
{
  GError *error = NULL;

  j->create_unresolved = false;
  if (j->inv.revision < j->change->revision
      && !change_apply (&j->inv, j->change, &error))
    {
      finish_corrupt (j, "change", error->message);
      g_error_free (error);
      return;
    }
  finish (j, JOURNAL_ACCEPTED);
}

static void
handle_create (struct journal *j, const struct object_store_answer *a,
               int64_t now_us)
{
  switch (a->error)
    {
    case ERR_NONE:
      accept_change (j);
      return;
    case ERR_STORE_CONFLICT:
      /* Another change has this revision, or this change was stored and the
         answer was lost.  The list shows which.  */
      j->step = JOURNAL_LIST;
      return;
    case ERR_STORE_OUTCOME_UNKNOWN:
      j->create_unresolved = true;
      j->step = JOURNAL_READ_BACK;
      return;
    case ERR_STORE_UNAVAILABLE:
      retry_later (j, now_us);
      return;
    default:
      str_append_format (&j->problems,
                         "the platform rejected the change: %s\n",
                         err_get_answer (a->error)->text);
      finish (j, j->create_unresolved ? JOURNAL_UNKNOWN : JOURNAL_INVALID);
    }
}

static void
handle_read_back (struct journal *j, const struct object_store_answer *a,
                  int64_t now_us)
{
  if (a->error == ERR_NONE)
    j->step = JOURNAL_LIST;
  else if (a->error == ERR_NOT_FOUND)
    j->step = JOURNAL_CREATE;
  else
    retry_later (j, now_us);
}

/* Internal functions: loading */

static void
keep_base (struct journal *j)
{
  inventory_close (&j->base);
  inventory_copy (&j->base, &j->inv);
  j->has_base = true;
}

static void
keep_requested_base (struct journal *j)
{
  if (!j->has_base && j->inv.revision == j->base_revision)
    keep_base (j);
}

static bool
load_change (struct journal *j, const struct object_store_object *o)
{
  GError *error = NULL;
  struct change c;
  bool valid;

  if (!change_json_load (&c, o->value, &error))
    {
      char *key = str_dup_cstr (o->key);

      finish_corrupt (j, key, error->message);
      g_free (key);
      g_error_free (error);
      return false;
    }
  valid = change_apply (&j->inv, &c, &error);
  if (valid && j->change != NULL && c.revision == j->change->revision)
    {
      /* The object of that revision exists, so the outcome of the create is
         known.  */
      j->create_unresolved = false;
      j->accepted = str_equal (c.nonce, j->change->nonce);
    }
  if (!valid)
    {
      char *key = str_dup_cstr (o->key);

      finish_corrupt (j, key, error->message);
      g_free (key);
      g_error_free (error);
    }
  change_close (&c);
  if (valid)
    keep_requested_base (j);
  return valid;
}

static void
finish_list (struct journal *j, int64_t now_us)
{
  if (j->change == NULL)
    {
      if (j->base_revision == JOURNAL_NEWEST)
        keep_base (j);
      finish (j, j->has_base ? JOURNAL_LOADED : JOURNAL_TOO_OLD);
    }
  else if (j->accepted)
    accept_change (j);
  else if (j->create_unresolved)
    {
      j->step = JOURNAL_READ_BACK;
      retry_later (j, now_us);
    }
  else
    prepare_create (j);
}

static void
handle_list (struct journal *j, const struct object_store_answer *a,
             int64_t now_us)
{
  if (a->error != ERR_NONE)
    {
      retry_later (j, now_us);
      return;
    }
  for (uint32_t i = 0; i < a->objects_len; i++)
    if (!load_change (j, &a->objects[i]))
      return;
  if (a->next.len == 0)
    finish_list (j, now_us);
}

static bool
get_member (JsonObject *object, const char *name, uint64_t *value)
{
  JsonNode *node = json_object_get_member (object, name);

  if (node == NULL || json_node_get_value_type (node) != G_TYPE_INT64
      || json_node_get_int (node) < 0)
    return false;
  *value = (uint64_t)json_node_get_int (node);
  return true;
}

/* Parses snapshots/head.  Selects the snapshot before the last if the base
   revision is older than the last snapshot.  */
static bool
load_head (struct journal *j, struct str text)
{
  JsonNode *root = json_check_parse (text, NULL);
  uint64_t parts = 0, previous_parts = 0;
  bool valid = root != NULL && JSON_NODE_HOLDS_OBJECT (root);

  if (valid)
    {
      JsonObject *o = json_node_get_object (root);

      valid = get_member (o, "revision", &j->snapshot_revision)
              && get_member (o, "parts", &parts)
              && get_member (o, "previous", &j->previous_revision)
              && get_member (o, "previous_parts", &previous_parts) && parts > 0
              && parts <= SNAPSHOT_PARTS_MAX
              && previous_parts <= SNAPSHOT_PARTS_MAX;
    }
  if (root != NULL)
    json_node_unref (root);
  j->parts_len = (uint32_t)parts;
  if (valid && j->base_revision < j->snapshot_revision && previous_parts > 0)
    {
      j->snapshot_revision = j->previous_revision;
      j->parts_len = (uint32_t)previous_parts;
    }
  return valid;
}

static void
handle_head (struct journal *j, const struct object_store_answer *a,
             int64_t now_us)
{
  j->next_part = 0;
  j->snapshot_text.len = 0;
  if (a->error == ERR_NOT_FOUND)
    j->step = JOURNAL_LIST;
  else if (a->error != ERR_NONE)
    retry_later (j, now_us);
  else if (!load_head (j, a->value))
    finish_corrupt (j, HEAD_KEY, "malformed");
  else
    {
      j->head_version = a->version;
      j->step = JOURNAL_GET_PART;
    }
}

static void
load_snapshot (struct journal *j)
{
  GError *error = NULL;
  struct inventory inv;

  if (!inventory_json_load (&inv, str_view (&j->snapshot_text), &error))
    {
      finish_corrupt (j, "snapshot", error->message);
      g_error_free (error);
      return;
    }
  inventory_close (&j->inv);
  j->inv = inv;
  keep_requested_base (j);
  j->step = JOURNAL_LIST;
}

static void
handle_part (struct journal *j, const struct object_store_answer *a,
             int64_t now_us)
{
  if (a->error == ERR_NOT_FOUND)
    {
      /* The part was removed after the head was read, so there is a newer
         head.  */
      j->step = JOURNAL_GET_HEAD;
      retry_later (j, now_us);
    }
  else if (a->error != ERR_NONE)
    retry_later (j, now_us);
  else
    {
      str_append (&j->snapshot_text, a->value);
      if (++j->next_part == j->parts_len)
        load_snapshot (j);
    }
}

/* Internal functions: snapshots */

static void
append_part_key (struct str_buf *out, uint64_t revision, uint32_t part)
{
  str_append_format (out, "snapshots/%012" PRIu64 "/%04u", revision, part);
}

static void
handle_put_part (struct journal *j, const struct object_store_answer *a,
                 int64_t now_us)
{
  /* The text of a revision is always the same, so an existing part can be
     used.  */
  if (a->error != ERR_NONE && a->error != ERR_STORE_CONFLICT)
    retry_later (j, now_us);
  else if (++j->next_part == j->parts_len)
    j->step = JOURNAL_PUT_HEAD;
}

static void
handle_put_head (struct journal *j, const struct object_store_answer *a,
                 int64_t now_us)
{
  if (a->error == ERR_NONE || a->error == ERR_STORE_CONFLICT)
    finish (j, JOURNAL_SNAPSHOT_WRITTEN);
  else
    retry_later (j, now_us);
}

static struct str
get_part (const struct journal *j)
{
  size_t from = j->next_part * JOURNAL_PART_MAX_BYTES;

  return str_slice (str_view (&j->snapshot_text), from,
                    from + JOURNAL_PART_MAX_BYTES);
}

/* Internal functions: actions */

static void
make_put (struct journal *j, struct journal_action *a)
{
  a->verb = JOURNAL_ACTION_PUT;
  a->condition = OBJECT_STORE_IF_ABSENT;
  if (j->step == JOURNAL_CREATE)
    {
      journal_append_key (&j->key, j->change->revision);
      a->value = str_view (&j->encoded);
    }
  else if (j->step == JOURNAL_PUT_PART)
    {
      append_part_key (&j->key, j->inv.revision, j->next_part);
      a->value = get_part (j);
    }
  else
    {
      str_append (&j->key, STR_LIT (HEAD_KEY));
      a->value = str_view (&j->encoded);
      if (j->head_version != 0)
        a->condition = OBJECT_STORE_IF_VERSION;
      a->version = j->head_version;
    }
}

static void
make_action (struct journal *j, struct journal_action *a)
{
  *a = (struct journal_action){ .after = STR_EMPTY, .value = STR_EMPTY };
  j->key.len = 0;
  j->after.len = 0;
  switch (j->step)
    {
    case JOURNAL_GET_HEAD:
      str_append (&j->key, STR_LIT (HEAD_KEY));
      break;
    case JOURNAL_GET_PART:
      append_part_key (&j->key, j->snapshot_revision, j->next_part);
      break;
    case JOURNAL_READ_BACK:
      journal_append_key (&j->key, j->change->revision);
      break;
    case JOURNAL_LIST:
      a->verb = JOURNAL_ACTION_LIST;
      str_append (&j->key, STR_LIT (CHANGES_PREFIX));
      journal_append_key (&j->after, j->inv.revision);
      break;
    default:
      make_put (j, a);
    }
  a->key = str_view (&j->key);
  a->after = str_view (&j->after);
}

/* Public functions */

void
journal_init (struct journal *j)
{
  *j = (struct journal){ 0 };
  inventory_init (&j->inv);
  inventory_init (&j->base);
  j->conflicts = change_make_conflicts ();
}

void
journal_close (struct journal *j)
{
  inventory_close (&j->inv);
  inventory_close (&j->base);
  g_array_unref (j->conflicts);
  str_reset (&j->snapshot_text);
  str_reset (&j->encoded);
  str_reset (&j->key);
  str_reset (&j->after);
  str_reset (&j->problems);
}

/**
 * journal_load - starts loading the newest revision
 * @j: journal
 * @base_revision: revision to keep a copy of, or %JOURNAL_NEWEST
 * @deadline_us: time after which the operation fails
 */
void
journal_load (struct journal *j, uint64_t base_revision, int64_t deadline_us)
{
  begin (j, JOURNAL_GET_HEAD, deadline_us);
  inventory_close (&j->inv);
  inventory_init (&j->inv);
  j->base_revision = base_revision;
  j->has_base = false;
  j->change = NULL;
  j->create_unresolved = false;
  j->snapshot_revision = 0;
  j->head_version = 0;
  keep_requested_base (j);
}

/**
 * journal_append - starts appending a change
 * @j: journal that has been loaded
 * @change: change with nonce and author; this function sets its revision
 * @deadline_us: time after which the operation fails
 *
 * If another change gets the revision first, this one is retried on top of it,
 * unless they conflict.
 */
void
journal_append (struct journal *j, struct change *change, int64_t deadline_us)
{
  begin (j, JOURNAL_CREATE, deadline_us);
  j->change = change;
  j->create_unresolved = false;
  j->accepted = false;
  change->revision = 0;
  g_array_set_size (j->conflicts, 0);
  j->problems.len = 0;
  prepare_create (j);
}

/**
 * journal_write_snapshot - starts writing a snapshot
 * @j: journal that has been loaded
 * @deadline_us: time after which the operation fails
 */
void
journal_write_snapshot (struct journal *j, int64_t deadline_us)
{
  uint32_t old_parts = j->parts_len;

  begin (j, JOURNAL_PUT_PART, deadline_us);
  j->change = NULL;
  j->create_unresolved = false;
  j->snapshot_text.len = 0;
  inventory_json_append (&j->snapshot_text, &j->inv);
  j->next_part = 0;
  j->parts_len = (uint32_t)((j->snapshot_text.len + JOURNAL_PART_MAX_BYTES - 1)
                            / JOURNAL_PART_MAX_BYTES);
  j->encoded.len = 0;
  str_append_format (&j->encoded,
                     "{\"revision\": %" PRIu64 ", \"parts\": %u, "
                     "\"previous\": %" PRIu64 ", \"previous_parts\": %u}",
                     j->inv.revision, j->parts_len, j->snapshot_revision,
                     j->snapshot_revision > 0 ? old_parts : 0);
}

bool
journal_is_snapshot_due (const struct journal *j)
{
  return j->inv.revision >= j->snapshot_revision + JOURNAL_SNAPSHOT_CHANGES;
}

/**
 * journal_next_action - returns the action to perform now
 * @j: journal
 * @now_us: current time
 * @action: receives the action
 *
 * Return: false if the operation has ended, an answer is pending or the time
 * @j->retry_us has not come.
 */
bool
journal_next_action (struct journal *j, int64_t now_us,
                     struct journal_action *action)
{
  if (j->step == JOURNAL_IDLE || j->pending)
    return false;
  if (now_us >= j->deadline_us)
    {
      time_out (j);
      return false;
    }
  if (now_us < j->retry_us)
    return false;
  make_action (j, action);
  j->pending = true;
  return true;
}

/**
 * journal_handle_answer - handles the answer to the last action
 * @j: journal
 * @a: answer of the object store
 * @now_us: current time
 */
void
journal_handle_answer (struct journal *j, const struct object_store_answer *a,
                       int64_t now_us)
{
  j->pending = false;
  j->retry_us = 0;
  switch (j->step)
    {
    case JOURNAL_GET_HEAD:
      handle_head (j, a, now_us);
      return;
    case JOURNAL_GET_PART:
      handle_part (j, a, now_us);
      return;
    case JOURNAL_LIST:
      handle_list (j, a, now_us);
      return;
    case JOURNAL_CREATE:
      handle_create (j, a, now_us);
      return;
    case JOURNAL_READ_BACK:
      handle_read_back (j, a, now_us);
      return;
    case JOURNAL_PUT_PART:
      handle_put_part (j, a, now_us);
      return;
    case JOURNAL_PUT_HEAD:
      handle_put_head (j, a, now_us);
      return;
    case JOURNAL_IDLE:
      return;
    }
}

void
journal_append_key (struct str_buf *out, uint64_t revision)
{
  str_append_format (out, CHANGES_PREFIX "%012" PRIu64, revision);
}
