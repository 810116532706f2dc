/* logger: JSON lines on standard output through GLib's structured logging.

   A line holds time, level, event and fields.  A line that standard output
   cannot take at once is dropped and counted, so that a stalled log reader
   does not stall a thread.  */

#ifndef ALMONDVALE_LOGGER_H
#define ALMONDVALE_LOGGER_H

#include "str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Constants */

#define LOGGER_LINE_MAX_BYTES 4096
#define LOGGER_TEXT_MAX_BYTES 512
/* Lines of one event in a second under load; a line costs about as much as a
   tenth of a request.  */
#define LOGGER_EVENT_LINES_PER_S 10u

/* Types */

enum logger_level
{
  LOGGER_ERROR,
  LOGGER_WARNING,
  LOGGER_INFO,
  LOGGER_DEBUG
};

/* One field of a line; made by the macros below.  */
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

/* Bounds the lines of one event; owned by one thread.  */
struct logger_rate_limit
{
  int64_t window_start_us; /* start of the current second */
  uint32_t lines_written;  /* lines in it */
  uint64_t suppressed;     /* lines since the last one that was written */
};

/* Public functions */

/* takes over GLib's log output; once in a process, before other threads */
void logger_init (enum logger_level level);
/* level of a name: error, warning, info, debug; false if there is none */
bool logger_find_level (struct str name, enum logger_level *level);
/* changes the least severe level written; any thread */
void logger_set_level (enum logger_level level);
/* true if a line of this level is written now; any thread */
bool logger_is_enabled (enum logger_level level);
/* writes one line; any thread */
void logger_write (enum logger_level level, const char *event, size_t len,
                   const struct logger_field *fields);
/* true if a line of an event may be written: at most LOGGER_EVENT_LINES_PER_S each
   second; left_out is for the line then */
bool logger_allow (struct logger_rate_limit *limit, int64_t now_us,
                   uint64_t *suppressed);
/* lines dropped because standard output was not ready */
uint64_t logger_get_dropped (void);

#endif
