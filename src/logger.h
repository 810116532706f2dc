/* logger: JSON lines on standard output through GLib's structured logging.

   A line contains time, level, event and fields.  If standard output is not
   ready, the line is dropped and counted, so that a stalled log reader does
   not block a thread.  */

#ifndef ALMONDVALE_LOGGER_H
#define ALMONDVALE_LOGGER_H

#include "str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Constants */

#define LOGGER_LINE_MAX_BYTES 4096
#define LOGGER_TEXT_MAX_BYTES 512
/* Limit on the lines of one event per second, since writing a line costs about
   a tenth as much as handling a request.  */
#define LOGGER_EVENT_LINES_PER_S 10u

/* Types */

enum logger_level
{
  LOGGER_ERROR,
  LOGGER_WARNING,
  LOGGER_INFO,
  LOGGER_DEBUG
};

/* One field of a line; use LOGGER_TEXT or LOGGER_NUMBER to make one.  */
struct logger_field
{
  const char *name;
  bool is_text;
  struct str text;
  int64_t number;
};

#define LOGGER_TEXT(name, text) ((struct logger_field){ name, true, text, 0 })
#define LOGGER_NUMBER(name, number)                                           \
  ((struct logger_field){ name, false, STR_EMPTY, number })

/* Writes an event with at least one field.  */
#define LOGGER_WRITE(level, event, ...)                                       \
  logger_write (level, event,                                                 \
                sizeof ((struct logger_field[]){ __VA_ARGS__ })               \
                    / sizeof (struct logger_field),                           \
                (const struct logger_field[]){ __VA_ARGS__ })

/* Limits the rate of the lines of one event; used by one thread only.  */
struct logger_rate_limit
{
  int64_t window_start_us; /* start of the current window of 1 s */
  uint32_t lines_written;  /* lines written in the window */
  uint64_t suppressed;     /* lines suppressed since the last one written */
};

/* Public functions */

/* Installs the function that writes GLib's log messages as JSON lines.  Must
   be called once per process, before other threads start.  */
void logger_init (enum logger_level level);
/* Finds the level of a name: error, warning, info or debug.  Returns false if
   the name is none of these.  */
bool logger_find_level (struct str name, enum logger_level *level);
/* Sets the least severe level that is written; any thread may call it.  */
void logger_set_level (enum logger_level level);
/* Returns true if lines of this level are written; any thread may call it.  */
bool logger_is_enabled (enum logger_level level);
/* Writes one line; any thread may call it.  */
void logger_write (enum logger_level level, const char *event, size_t len,
                   const struct logger_field *fields);
/* Returns true if a line of an event may be written: at most
   LOGGER_EVENT_LINES_PER_S times a second.  Then it sets *suppressed to the
   number of lines suppressed since the last one written.  */
bool logger_allow (struct logger_rate_limit *limit, int64_t now_us,
                   uint64_t *suppressed);
/* Returns the number of lines dropped because standard output was not
   ready.  */
uint64_t logger_get_dropped (void);

#endif
