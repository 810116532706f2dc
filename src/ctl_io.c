/* ctl_io: parses options, reads files and runs a journal on an event loop.  */

#include "clock.h"
#include "ctl.h"
#include "http_client.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Constants */

#define STORE_CALL_TIMEOUT_US INT64_C (2000000)
#define TIMEOUT_MS_MAX 600000
#define CONNECTIONS_MAX 2
#define FILE_MAX_BYTES ((size_t)64 * 1024 * 1024)
#define RESPONSE_MAX_BYTES ((size_t)8 * 1024 * 1024)

/* Types */

struct fetch
{
  struct event_base *base;
  enum http_client_result result;
  int status;
  struct str_buf *body;
};

/* Internal functions */

static void
on_store_answer (void *data, const struct object_store_answer *answer)
{
  struct ctl *ctl = data;

  journal_handle_answer (&ctl->journal, answer, clock_now_us ());
  event_base_loopbreak (ctl->base);
}

static void
send_store_call (struct ctl *ctl, const struct journal_action *a,
                 int64_t now_us)
{
  struct object_store_call call
      = { .timeout_us
          = MIN (STORE_CALL_TIMEOUT_US, ctl->journal.deadline_us - now_us),
          .done = on_store_answer,
          .data = ctl };

  switch (a->verb)
    {
    case JOURNAL_ACTION_GET:
      ctl->store->ops->get (ctl->store, a->key, &call);
      return;
    case JOURNAL_ACTION_PUT:
      ctl->store->ops->put (ctl->store, a->key, a->value, a->condition,
                            a->version, &call);
      return;
    case JOURNAL_ACTION_LIST:
      ctl->store->ops->list (ctl->store, a->key, a->after, true, &call);
      return;
    }
}

/* Runs the event loop until due_us, when the journal has its next action.  */
static void
sleep_until (struct ctl *ctl, int64_t due_us)
{
  int64_t wait_us = MAX (due_us - clock_now_us (), 0);
  struct timeval wait = { wait_us / CLOCK_US_PER_S, wait_us % CLOCK_US_PER_S };

  event_base_loopexit (ctl->base, &wait);
  event_base_loop (ctl->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

static bool
create_store (struct ctl *ctl)
{
  struct str address;
  uint16_t port;

  if (ctl->store != NULL)
    return true;
  if (!ctl_split_address ("--platform", ctl->platform, &address, &port))
    return false;
  ctl->store
      = object_store_create_http (ctl->base, address, port, CONNECTIONS_MAX);
  str_free (&address);
  return true;
}

/* Replaces a default value if the option was given.  */
static void
replace_option (char **value, char *option)
{
  if (option == NULL)
    return;
  g_free (*value);
  *value = option;
}

static void
on_response (void *data, const struct http_client_answer *answer)
{
  struct fetch *f = data;

  f->result = answer->result;
  f->status = answer->status;
  str_append (f->body, answer->body);
  event_base_loopbreak (f->base);
}

/* Public functions */

bool
ctl_parse (struct ctl *ctl, const struct ctl_command *command,
           const GOptionEntry *entries, int min_args, int max_args, int *argc,
           char ***argv)
{
  char *platform = NULL;
  char *author = NULL;
  GOptionEntry common[]
      = { { "platform", 0, 0, G_OPTION_ARG_STRING, &platform,
            "Platform's object API (default: $ALMONDVALE_PLATFORM, else "
            "127.0.0.1:7700)",
            "ADDRESS:PORT" },
          { "author", 0, 0, G_OPTION_ARG_STRING, &author,
            "Name stored with a change (default: the user's name)", "NAME" },
          { "json", 0, 0, G_OPTION_ARG_NONE, &ctl->json, "Write JSON", NULL },
          { "dry-run", 0, 0, G_OPTION_ARG_NONE, &ctl->dry_run,
            "Check and show a change without applying it", NULL },
          { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &ctl->timeout_ms,
            "Timeout of the whole command (default: 10000)", "MS" },
          { 0 } };
  char *usage
      = g_strdup_printf ("%s - %s", command->arguments, command->summary);
  GOptionContext *context = g_option_context_new (usage);
  char *program = g_strdup_printf ("almondvalectl %s", command->name);
  GError *error = NULL;
  bool ok;

  g_set_prgname (program);
  g_option_context_add_main_entries (context, common, NULL);
  if (entries != NULL)
    g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, &error);
  replace_option (&ctl->platform, platform);
  replace_option (&ctl->author, author);
  if (!ok)
    {
      ctl_print_error ("%s", error->message);
      g_error_free (error);
    }
  else if (*argc - 1 < min_args || *argc - 1 > max_args)
    {
      ctl_print_error ("usage: %s %s", program, command->arguments);
      ok = false;
    }
  else if (ctl->timeout_ms < 1 || ctl->timeout_ms > TIMEOUT_MS_MAX)
    {
      ctl_print_error ("--timeout-ms: found %d, allowed: 1..%d",
                       ctl->timeout_ms, TIMEOUT_MS_MAX);
      ok = false;
    }
  else if (strlen (ctl->author) > CHANGE_AUTHOR_MAX_BYTES
           || !g_utf8_validate (ctl->author, -1, NULL))
    {
      ctl_print_error ("--author: allowed: at most %u bytes of UTF-8",
                       CHANGE_AUTHOR_MAX_BYTES);
      ok = false;
    }
  g_option_context_free (context);
  g_free (program);
  g_free (usage);
  return ok;
}

void
ctl_print_error (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fputs ("almondvalectl: ", stderr);
  vfprintf (stderr, format, args);
  fputc ('\n', stderr);
  va_end (args);
}

bool
ctl_read_file (const char *path, struct str *text)
{
  bool is_stdin = strcmp (path, "-") == 0;
  FILE *file = is_stdin ? stdin : fopen (path, "rb");
  struct str_buf content = { 0 };
  char chunk[65536];
  size_t n;
  bool ok;

  if (file == NULL)
    {
      ctl_print_error ("%s: cannot be opened", path);
      return false;
    }
  while ((n = fread (chunk, 1, sizeof chunk, file)) > 0
         && content.len <= FILE_MAX_BYTES)
    str_append (&content, (struct str){ n, chunk });
  ok = ferror (file) == 0 && content.len <= FILE_MAX_BYTES;
  if (!ok)
    ctl_print_error ("%s: cannot be read, or is larger than %zu bytes", path,
                     FILE_MAX_BYTES);
  if (!is_stdin)
    fclose (file);
  *text = str_take (&content);
  if (!ok)
    str_free (text);
  return ok;
}

bool
ctl_split_address (const char *option, const char *text, struct str *address,
                   uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  uint64_t number = 0;

  if (colon == NULL || colon == text
      || !str_parse_u64 (str_from_cstr (colon + 1), &number) || number == 0
      || number > UINT16_MAX)
    {
      ctl_print_error ("%s: found \"%s\", allowed: ADDRESS:PORT", option,
                       text);
      return false;
    }
  *address
      = str_copy (str_slice (str_from_cstr (text), 0, (size_t)(colon - text)));
  *port = (uint16_t)number;
  return true;
}

int64_t
ctl_get_deadline (const struct ctl *ctl)
{
  return clock_now_us () + (int64_t)ctl->timeout_ms * CLOCK_US_PER_MS;
}

void
ctl_run_journal (struct ctl *ctl)
{
  struct journal *j = &ctl->journal;

  while (j->result == JOURNAL_RUNNING)
    {
      int64_t now_us = clock_now_us ();
      struct journal_action action;

      if (journal_next_action (j, now_us, &action))
        send_store_call (ctl, &action, now_us);
      if (j->pending)
        event_base_loop (ctl->base, EVLOOP_NO_EXIT_ON_EMPTY);
      else if (j->result == JOURNAL_RUNNING && j->retry_us > now_us)
        sleep_until (ctl, MIN (j->retry_us, j->deadline_us));
    }
}

int
ctl_load (struct ctl *ctl, uint64_t base_revision)
{
  struct journal *j = &ctl->journal;

  if (!create_store (ctl))
    return CTL_USAGE;
  journal_load (j, base_revision, ctl_get_deadline (ctl));
  ctl_run_journal (ctl);
  switch (j->result)
    {
    case JOURNAL_LOADED:
      return CTL_OK;
    case JOURNAL_TOO_OLD:
      ctl_print_error ("revision %" G_GUINT64_FORMAT " is no longer stored or "
                       "never existed; the newest is %" G_GUINT64_FORMAT,
                       base_revision, j->inv.revision);
      return CTL_DATA;
    case JOURNAL_CORRUPT:
      ctl_print_error ("stored data cannot be read: %.*s",
                       STR_ARG (str_view (&j->problems)));
      return CTL_SOFTWARE;
    default:
      ctl_print_error ("the platform at %s cannot be reached; nothing was "
                       "changed",
                       ctl->platform);
      return CTL_UNAVAILABLE;
    }
}

bool
ctl_fetch (struct ctl *ctl, const char *address, const char *target,
           struct str_buf *body)
{
  struct fetch f = { .base = ctl->base, .body = body };
  struct http_client_request request
      = { .method = "GET",
          .target = str_from_cstr (target),
          .body = STR_EMPTY,
          .timeout_us = (int64_t)ctl->timeout_ms * CLOCK_US_PER_MS,
          .done = on_response,
          .data = &f };
  struct http_client_pool *pool;
  struct str ip;
  uint16_t port;

  if (!ctl_split_address ("--daemon", address, &ip, &port))
    return false;
  pool = http_client_load_pool (ctl->base, ip, port, 1, RESPONSE_MAX_BYTES);
  http_client_send (pool, &request);
  event_base_loop (ctl->base, EVLOOP_NO_EXIT_ON_EMPTY);
  http_client_unload_pool (pool);
  str_free (&ip);
  if (f.result == HTTP_CLIENT_ANSWERED && f.status == 200)
    return true;
  if (f.result == HTTP_CLIENT_ANSWERED)
    ctl_print_error ("the daemon at %s answered with status %d", address,
                     f.status);
  else
    ctl_print_error ("the daemon at %s cannot be reached", address);
  return false;
}
