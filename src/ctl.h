/* ctl: what the commands of almondvalectl share.  */

#ifndef ALMONDVALE_CTL_H
#define ALMONDVALE_CTL_H

#include "journal.h"
#include "object_store.h"

#include <event2/event.h>
#include <glib.h>
#include <json-glib/json-glib.h>

/* Types */

/* Exit codes; those from 64 are as in sysexits.h.  */
enum ctl_exit
{
  CTL_OK = 0,
  CTL_DIFFERENT = 1,       /* diff found differences, trace-request no line */
  CTL_CONFLICT = 2,        /* another operator changed the same members */
  CTL_USAGE = 64,          /* wrong arguments */
  CTL_DATA = 65,           /* invalid input */
  CTL_NO_INPUT = 66,       /* a file cannot be read */
  CTL_UNAVAILABLE = 69,    /* not reachable; nothing was changed */
  CTL_SOFTWARE = 70,       /* stored data cannot be read */
  CTL_OUTCOME_UNKNOWN = 75 /* a change may take effect */
};

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
  struct str_buf out; /* written to standard output at the end */
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

/* parses common and the command's own options; false after an error line; the
   number of arguments left is checked, argv[0] not counted */
bool ctl_parse (struct ctl *ctl, const struct ctl_command *command,
                const GOptionEntry *entries, int min_args, int max_args,
                int *argc, char ***argv);
/* error line on standard error */
void ctl_print_error (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* reads a file, or standard input for "-"; false after an error line */
bool ctl_read_file (const char *path, struct str *text);
/* splits ADDRESS:PORT; false after an error line that names the option */
bool ctl_split_address (const char *option, const char *text,
                        struct str *address, uint16_t *port);
/* loads the newest revision and a base; CTL_OK or an exit code after an error
   line */
int ctl_load (struct ctl *ctl, uint64_t base_revision);
/* performs the journal's actions until it has a result */
void ctl_run_journal (struct ctl *ctl);
/* fetches a resource over HTTP; false after an error line */
bool ctl_fetch (struct ctl *ctl, const char *address, const char *target,
                struct str_buf *body);
/* end of the time that a command may take */
int64_t ctl_get_deadline (const struct ctl *ctl);

/* Public functions: ctl_report.c */

/* appends a change (unless --dry-run) and reports the outcome; gives the exit
   code; accepted tells whether it took effect */
int ctl_commit (struct ctl *ctl, struct change *change, bool *accepted);
/* reports the problems of input; gives CTL_DATA */
int ctl_report_problems (struct ctl *ctl, struct str problems);
/* change with nonce and author */
void ctl_init_change (const struct ctl *ctl, struct change *change);
/* appends a JSON value and a line end to the output */
void ctl_append_json (struct ctl *ctl, JsonBuilder *builder);
/* adds a string member */
void ctl_add_string (JsonBuilder *builder, const char *name, struct str text);

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
