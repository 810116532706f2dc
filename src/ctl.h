/* ctl: types and functions shared by the commands of almondvalectl.  */

#ifndef ALMONDVALE_CTL_H
#define ALMONDVALE_CTL_H

#include "journal.h"
#include "object_store.h"

#include <event2/event.h>
#include <glib.h>
#include <json-glib/json-glib.h>

/* Types */

/* Exit codes; those from 64 on have the meaning of sysexits.h.  */
enum ctl_exit
{
  CTL_OK = 0,
  CTL_DIFFERENT = 1,       /* diff found differences, trace-request no line */
  CTL_CONFLICT = 2,        /* another operator changed the same members */
  CTL_USAGE = 64,          /* wrong arguments */
  CTL_DATA = 65,           /* invalid input */
  CTL_NO_INPUT = 66,       /* a file cannot be read */
  CTL_UNAVAILABLE = 69,    /* unreachable; nothing was changed */
  CTL_SOFTWARE = 70,       /* unreadable stored data, or a local failure */
  CTL_OUTCOME_UNKNOWN = 75 /* a change may still take effect */
};

/* State of one run of almondvalectl.  */
struct ctl
{
  char *platform; /* ADDRESS:PORT */
  char *author;
  gboolean json;
  gboolean dry_run;
  gint timeout_ms;
  struct event_base *base;
  struct object_store *store;
  struct journal journal;
  struct str_buf out; /* written to standard output when the command ends */
};

struct ctl_command
{
  const char *name;
  const char *arguments; /* shown in --help */
  const char *summary;
  int (*run) (struct ctl *ctl, const struct ctl_command *self, int argc,
              char **argv);
};

/* Public functions: ctl_io.c */

/* Parses the common options and those of the command, and checks that
   min_args to max_args arguments are left, argv[0] not counted.  Prints an
   error line and returns false if they are invalid.  */
bool ctl_parse (struct ctl *ctl, const struct ctl_command *command,
                const GOptionEntry *entries, int min_args, int max_args,
                int *argc, char ***argv);
/* Prints an error line on standard error.  */
void ctl_print_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Reads a file, or standard input if the path is "-".  Prints an error line
   and returns false if it cannot be read.  */
bool ctl_read_file (const char *path, struct str *text);
/* Splits ADDRESS:PORT.  Prints an error line that names the option and returns
   false if the text is invalid.  */
bool ctl_split_address (const char *option, const char *text,
                        struct str *address, uint16_t *port);
/* Loads the newest revision and the base revision, which a change is compared
   with, from the platform.  If base_revision is JOURNAL_NEWEST, the base is
   the newest revision.  Returns CTL_OK, or prints an error line
   and returns another exit code.  */
int ctl_load (struct ctl *ctl, uint64_t base_revision);
/* Performs the actions of the journal, the log of configuration changes in the
   platform, until the journal has a result.  */
void ctl_run_journal (struct ctl *ctl);
/* Fetches a resource over HTTP.  Prints an error line and returns false unless
   the status is 200.  */
bool ctl_fetch (struct ctl *ctl, const char *address, const char *target,
                struct str_buf *body);
/* Returns the deadline of an operation that begins now: clock_now_us plus
   --timeout-ms.  */
int64_t ctl_get_deadline (const struct ctl *ctl);

/* Public functions: ctl_report.c */

/* Appends a change to the journal and reports the result; with --dry-run, only
   checks and shows the change.  Returns the exit code; `accepted` is set to
   whether the change took effect.  */
int ctl_commit (struct ctl *ctl, struct change *change, bool *accepted);
/* Reports the problems of invalid input and returns CTL_DATA.  */
int ctl_report_problems (struct ctl *ctl, struct str problems);
/* Initializes a change with the author and a new nonce, which identifies the
   change if the platform's answer is lost.  */
void ctl_init_change (const struct ctl *ctl, struct change *change);
/* Appends the JSON value of a builder and a newline to the output, and frees
   the builder.  */
void ctl_append_json (struct ctl *ctl, JsonBuilder *builder);
/* Adds a string member to the current JSON object.  */
void ctl_add_string (JsonBuilder *builder, const char *name, struct str text);

/* Public functions: ctl_endpoints.c */

/* Adds the endpoints of a service, as the daemon with the local port `address`
   sees them now, to the builder or, if it is NULL, to the output.  Returns
   CTL_OK, or prints an error line and returns another exit code.  */
int ctl_add_endpoints (struct ctl *ctl, const char *address,
                       struct str service, JsonBuilder *builder);

/* Public functions: the commands */

int ctl_import (struct ctl *ctl, const struct ctl_command *self, int argc,
                char **argv);
int ctl_show (struct ctl *ctl, const struct ctl_command *self, int argc,
              char **argv);
int ctl_diff (struct ctl *ctl, const struct ctl_command *self, int argc,
              char **argv);
int ctl_validate (struct ctl *ctl, const struct ctl_command *self, int argc,
                  char **argv);
int ctl_apply (struct ctl *ctl, const struct ctl_command *self, int argc,
               char **argv);
int ctl_key (struct ctl *ctl, const struct ctl_command *self, int argc,
             char **argv);
int ctl_rule (struct ctl *ctl, const struct ctl_command *self, int argc,
              char **argv);
int ctl_status (struct ctl *ctl, const struct ctl_command *self, int argc,
                char **argv);
int ctl_explain (struct ctl *ctl, const struct ctl_command *self, int argc,
                 char **argv);
int ctl_trace (struct ctl *ctl, const struct ctl_command *self, int argc,
               char **argv);

#endif
