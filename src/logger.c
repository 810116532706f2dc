/* logger: JSON lines on standard output through GLib's structured logging.  */

#include "logger.h"

#include "clock.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <poll.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

/* Constants */

/* Keys of a GLib log message: the first holds the event's name, the second a
   pointer to a `struct fields` (see below).  */
#define KEY_EVENT "ALMONDVALE_EVENT"
#define KEY_FIELDS "ALMONDVALE_FIELDS"
#define MS_PER_S 1000

static const struct
{
  const char *name;
  GLogLevelFlags flag;
} levels[] = {
  [LOGGER_ERROR] = { "error", G_LOG_LEVEL_CRITICAL },
  [LOGGER_WARNING] = { "warning", G_LOG_LEVEL_WARNING },
  [LOGGER_INFO] = { "info", G_LOG_LEVEL_INFO },
  [LOGGER_DEBUG] = { "debug", G_LOG_LEVEL_DEBUG },
};

/* Types */

/* Contents of one log line.  */
struct line
{
  enum logger_level level;
  struct str event;
  struct str domain;
  struct str message; /* message of GLib or another library */
  size_t len;
  const struct logger_field *fields;
};

/* Fields of an event, which logger_write passes through GLib to write_log.  */
struct fields
{
  size_t len;
  const struct logger_field *items;
};

/* State */

static atomic_int current_level = LOGGER_INFO;
static _Atomic uint64_t dropped_lines;
/* Prevents another thread from filling the pipe between poll and write.  */
static GMutex output_mutex;

/* Internal functions */

static enum logger_level
get_level_of_flags (GLogLevelFlags flags)
{
  if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return LOGGER_ERROR;
  if (flags & G_LOG_LEVEL_WARNING)
    return LOGGER_WARNING;
  if (flags & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
    return LOGGER_INFO;
  return LOGGER_DEBUG;
}

static struct str
get_text (const GLogField *field)
{
  if (field->length < 0)
    return str_from_cstr (field->value);
  return (struct str){ (size_t)field->length, field->value };
}

static void
add_text (JsonBuilder *b, const char *name, struct str text)
{
  struct str cut = str_slice (text, 0, LOGGER_TEXT_MAX_BYTES);
  char *valid = g_utf8_make_valid (cut.data, (gssize)cut.len);

  json_builder_set_member_name (b, name);
  json_builder_add_string_value (b, valid);
  g_free (valid);
}

static void
add_time (JsonBuilder *b)
{
  int64_t ms = clock_wall_ms ();
  GDateTime *time = g_date_time_new_from_unix_utc (ms / MS_PER_S);
  char *text = g_date_time_format (time, "%Y-%m-%dT%H:%M:%S");
  char *full = g_strdup_printf ("%s.%03dZ", text, (int)(ms % MS_PER_S));

  add_text (b, "time", str_from_cstr (full));
  g_free (full);
  g_free (text);
  g_date_time_unref (time);
}

static void
add_fields (JsonBuilder *b, const struct line *line)
{
  for (size_t i = 0; i < line->len; i++)
    {
      const struct logger_field *f = &line->fields[i];

      if (f->is_text)
        {
          add_text (b, f->name, f->text);
          continue;
        }
      json_builder_set_member_name (b, f->name);
      json_builder_add_int_value (b, f->number);
    }
  if (line->domain.len > 0)
    add_text (b, "domain", line->domain);
  if (line->message.len > 0)
    add_text (b, "message", line->message);
}

/* Encodes a line as JSON; without fields, it is marked as truncated.  */
static char *
encode_line (const struct line *line, bool with_fields)
{
  JsonBuilder *b = json_builder_new ();
  JsonNode *root;
  char *text;

  json_builder_begin_object (b);
  add_time (b);
  add_text (b, "level", str_from_cstr (levels[line->level].name));
  add_text (b, "event", line->event);
  if (with_fields)
    add_fields (b, line);
  else
    {
      json_builder_set_member_name (b, "truncated");
      json_builder_add_boolean_value (b, TRUE);
    }
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (b);
  return text;
}

/* Writes a line if standard output is ready.  A pipe that polls as writable
   accepts PIPE_BUF bytes (4096 on Linux) without blocking, so a line of
   LOGGER_LINE_MAX_BYTES does not block.  Returns false if the line was not
   written.  */
static bool
write_line (struct str line)
{
  struct pollfd ready = { STDOUT_FILENO, POLLOUT, 0 };
  bool written = false;

  g_mutex_lock (&output_mutex);
  if (poll (&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0)
    written = write (STDOUT_FILENO, line.data, line.len) == (ssize_t)line.len;
  g_mutex_unlock (&output_mutex);
  return written;
}

static void
print_line (const struct line *line)
{
  char *text = encode_line (line, true);
  struct str_buf out = { 0 };

  if (strlen (text) >= LOGGER_LINE_MAX_BYTES)
    {
      g_free (text);
      text = encode_line (line, false);
    }
  str_append (&out, str_from_cstr (text));
  str_append_char (&out, '\n');
  if (!write_line (str_view (&out)))
    atomic_fetch_add (&dropped_lines, 1);
  str_reset (&out);
  g_free (text);
}

/* Writes a message of GLib's log; called by GLib for every message of the
   daemon or a library.  */
static GLogWriterOutput
write_log (GLogLevelFlags flags, const GLogField *fields, gsize len,
           gpointer data)
{
  struct line line = { .level = get_level_of_flags (flags),
                       .event = STR_LIT ("library_message"),
                       .domain = STR_EMPTY,
                       .message = STR_EMPTY };

  if (!logger_is_enabled (line.level))
    return G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < len; i++)
    {
      if (strcmp (fields[i].key, KEY_EVENT) == 0)
        line.event = get_text (&fields[i]);
      else if (strcmp (fields[i].key, KEY_FIELDS) == 0)
        {
          const struct fields *f = fields[i].value;

          line.len = f->len;
          line.fields = f->items;
        }
      else if (strcmp (fields[i].key, "GLIB_DOMAIN") == 0)
        line.domain = get_text (&fields[i]);
      else if (strcmp (fields[i].key, "MESSAGE") == 0)
        line.message = get_text (&fields[i]);
    }
  print_line (&line);
  return G_LOG_WRITER_HANDLED;
}

/* Public functions */

/**
 * logger_init - installs the function that writes GLib's log messages
 * @level: least severe level that is written
 *
 * GLib allows one call per process.
 */
void
logger_init (enum logger_level level)
{
  logger_set_level (level);
  g_log_set_writer_func (write_log, NULL, NULL);
}

bool
logger_find_level (struct str name, enum logger_level *level)
{
  for (size_t i = 0; i < G_N_ELEMENTS (levels); i++)
    if (str_equal (name, str_from_cstr (levels[i].name)))
      {
        *level = (enum logger_level)i;
        return true;
      }
  return false;
}

void
logger_set_level (enum logger_level level)
{
  atomic_store (&current_level, (int)level);
}

bool
logger_is_enabled (enum logger_level level)
{
  return (int)level <= atomic_load (&current_level);
}

/**
 * logger_write - writes one line
 * @level: severity
 * @event: name of the event, lower case with underscores
 * @len: number of fields
 * @fields: fields; not used after the call returns
 */
void
logger_write (enum logger_level level, const char *event, size_t len,
              const struct logger_field *fields)
{
  struct fields list = { len, fields };
  /* GLib treats a field of length 0 as an opaque pointer.  */
  GLogField log_fields[] = {
    { KEY_EVENT, event, -1 },
    { KEY_FIELDS, &list, 0 },
  };

  if (!logger_is_enabled (level))
    return;
  g_log_structured_array (levels[level].flag, log_fields,
                          G_N_ELEMENTS (log_fields));
}

uint64_t
logger_get_dropped (void)
{
  return atomic_load (&dropped_lines);
}

bool
logger_allow (struct logger_rate_limit *limit, int64_t now_us,
              uint64_t *suppressed)
{
  if (now_us - limit->window_start_us >= CLOCK_US_PER_S)
    {
      limit->window_start_us = now_us;
      limit->lines_written = 0;
    }
  if (limit->lines_written >= LOGGER_EVENT_LINES_PER_S)
    {
      limit->suppressed++;
      return false;
    }
  limit->lines_written++;
  *suppressed = limit->suppressed;
  limit->suppressed = 0;
  return true;
}
