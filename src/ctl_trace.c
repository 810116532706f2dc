/* ctl_trace: merges the log lines of several daemons about one request.  */

#include "ctl.h"
#include "json_field.h"

#include <string.h>

/* Constants */

/* Time before the request from which state events are shown.  A daemon decides
   on a request from reports and states that are at most a few seconds old; the
   longest of these times, for a member that does not respond, is 3 s.  */
#define CONTEXT_DEFAULT_S 5
#define CONTEXT_MAX_S 3600

/* State events: they show the state that a daemon had when it decided on a
   request.  */
static const char *const state_events[] = {
  "backend_announced",
  "backend_loaded",
  "backend_state",
  "backend_stopped",
  "change_rejected",
  "configuration_applied",
  "configuration_invalid",
  "endpoints_changed",
  "link_closed",
  "requests_shed",
  "shard_started",
  "shard_stopped",
  "shutdown_begun",
  "started",
  "stopped",
  "store_lost",
  "store_regained",
};

/* Types */

/* One line of a log.  */
struct log_line
{
  const char *file;
  JsonNode *root;
  const char *time; /* text of the line, owned by root: UTC, with ms */
  const char *event;
  int64_t time_ms;
  bool names_request; /* the line has the id of the request or of a call for
                         it */
};

struct log_set
{
  GArray *lines;    /* struct log_line */
  uint32_t skipped; /* number of lines that are not log lines */
};

/* Internal functions: reading */

static bool
parse_time (const char *text, int64_t *ms)
{
  GDateTime *time = g_date_time_new_from_iso8601 (text, NULL);

  if (time == NULL)
    return false;
  *ms = g_date_time_to_unix (time) * 1000
        + g_date_time_get_microsecond (time) / 1000;
  g_date_time_unref (time);
  return true;
}

static const char *
get_string (const struct log_line *l, const char *member)
{
  JsonNode *node
      = json_object_get_member (json_node_get_object (l->root), member);

  return node != NULL && JSON_NODE_HOLDS_VALUE (node)
                 && json_node_get_value_type (node) == G_TYPE_STRING
             ? json_node_get_string (node)
             : NULL;
}

/* Returns true for the id of the request and for those of the calls that
   backend servers make for it, which are the request's id, a dot and more.  */
static bool
matches_request (const char *found, const char *request)
{
  size_t len = strlen (request);

  return found != NULL && strncmp (found, request, len) == 0
         && (found[len] == '\0' || found[len] == '.');
}

static bool
parse_line (struct log_line *l, const char *file, const char *text,
            const char *request)
{
  *l = (struct log_line){ .file = file,
                          .root
                          = json_field_parse_object (str_from_cstr (text)) };
  if (l->root == NULL)
    return false;
  if ((l->time = get_string (l, "time")) == NULL
      || (l->event = get_string (l, "event")) == NULL
      || !parse_time (l->time, &l->time_ms))
    {
      json_node_unref (l->root);
      return false;
    }
  l->names_request = matches_request (get_string (l, "request"), request);
  return true;
}

static bool
read_log (struct log_set *s, const char *file, const char *request)
{
  struct str text;
  char *copy;
  char **lines;

  if (!ctl_read_file (file, &text))
    return false;
  copy = str_dup_cstr (text);
  str_free (&text);
  lines = g_strsplit (copy, "\n", -1);
  g_free (copy);
  for (char **p = lines; *p != NULL; p++)
    {
      struct log_line l;

      if (**p == '\0')
        continue;
      if (parse_line (&l, file, *p, request))
        g_array_append_val (s->lines, l);
      else
        s->skipped++;
    }
  g_strfreev (lines);
  return true;
}

static void
clear_line (void *data)
{
  json_node_unref (((struct log_line *)data)->root);
}

/* Internal functions: choosing */

static bool
is_state_event (const struct log_line *l)
{
  for (size_t i = 0; i < G_N_ELEMENTS (state_events); i++)
    if (strcmp (l->event, state_events[i]) == 0)
      return true;
  return false;
}

/* Returns true if the line names no service, or a service that a line of the
   request names.  */
static bool
concerns_request_service (const struct log_line *l, const struct log_set *s)
{
  const char *service = get_string (l, "service");

  if (service == NULL || *service == '\0')
    return true;
  for (guint i = 0; i < s->lines->len; i++)
    {
      const struct log_line *other
          = &g_array_index (s->lines, struct log_line, i);
      const char *name
          = other->names_request ? get_string (other, "service") : NULL;

      if (name != NULL && strcmp (name, service) == 0)
        return true;
    }
  return false;
}

/* Finds the times of the first and the last line that names the request;
   returns false if no line does.  */
static bool
find_time_range (const struct log_set *s, int64_t *first_ms, int64_t *last_ms)
{
  *first_ms = INT64_MAX;
  *last_ms = INT64_MIN;
  for (guint i = 0; i < s->lines->len; i++)
    {
      const struct log_line *l = &g_array_index (s->lines, struct log_line, i);

      if (!l->names_request)
        continue;
      *first_ms = MIN (*first_ms, l->time_ms);
      *last_ms = MAX (*last_ms, l->time_ms);
    }
  return *last_ms != INT64_MIN;
}

/* Keeps the lines that name the request, and from start_ms to end_ms the state
   events that concern its services.  */
static void
filter_lines (struct log_set *s, int64_t start_ms, int64_t end_ms)
{
  for (guint i = s->lines->len; i > 0; i--)
    {
      const struct log_line *l
          = &g_array_index (s->lines, struct log_line, i - 1);

      if (!l->names_request
          && (l->time_ms < start_ms || l->time_ms > end_ms
              || !is_state_event (l) || !concerns_request_service (l, s)))
        g_array_remove_index (s->lines, i - 1);
    }
}

static int
compare_lines (const void *a, const void *b)
{
  const struct log_line *x = a, *y = b;

  return (x->time_ms > y->time_ms) - (x->time_ms < y->time_ms);
}

/* Internal functions: showing */

static void
append_text (struct str_buf *out, const struct log_line *l)
{
  JsonObject *o = json_node_get_object (l->root);
  GList *names = json_object_get_members (o);

  str_append_format (out, "%s %s %s %s", l->names_request ? "*" : " ", l->time,
                     l->file, l->event);
  for (GList *n = names; n != NULL; n = n->next)
    {
      const char *name = n->data;
      char *value;

      if (strcmp (name, "time") == 0 || strcmp (name, "event") == 0
          || strcmp (name, "level") == 0)
        continue;
      value = json_to_string (json_object_get_member (o, name), FALSE);
      str_append_format (out, " %s=%s", name, value);
      g_free (value);
    }
  str_append_char (out, '\n');
  g_list_free (names);
}

static void
append_lines (struct ctl *ctl, const struct log_set *s)
{
  JsonBuilder *b = ctl->json ? json_builder_new () : NULL;

  if (b != NULL)
    json_builder_begin_array (b);
  for (guint i = 0; i < s->lines->len; i++)
    {
      const struct log_line *l = &g_array_index (s->lines, struct log_line, i);

      if (b == NULL)
        {
          append_text (&ctl->out, l);
          continue;
        }
      json_builder_begin_object (b);
      ctl_add_string (b, "file", str_from_cstr (l->file));
      json_builder_set_member_name (b, "names_request");
      json_builder_add_boolean_value (b, l->names_request);
      json_builder_set_member_name (b, "line");
      json_builder_add_value (b, json_node_copy (l->root));
      json_builder_end_object (b);
    }
  if (b == NULL)
    return;
  json_builder_end_array (b);
  ctl_append_json (ctl, b);
}

/* Public functions */

/**
 * ctl_trace - merges the log lines of several daemons about one request
 * @ctl: state of the command
 * @self: command
 * @argc: number of arguments
 * @argv: the request's id and the files
 *
 * Return: %CTL_OK, %CTL_DIFFERENT if no line names the request, or another
 * exit code after an error line.
 */
int
ctl_trace (struct ctl *ctl, const struct ctl_command *self, int argc,
           char **argv)
{
  gint context_s = CONTEXT_DEFAULT_S;
  const GOptionEntry entries[]
      = { { "seconds", 0, 0, G_OPTION_ARG_INT, &context_s,
            "Also show the daemons' state events up to N seconds before the "
            "request (default: 5)",
            "N" },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  struct log_set s = { 0 };
  int64_t first_ms, last_ms;
  int code = CTL_OK;

  if (!ctl_parse (ctl, self, entries, 2, G_MAXINT, &argc, &argv))
    return CTL_USAGE;
  if (context_s < 0 || context_s > CONTEXT_MAX_S)
    {
      ctl_print_error ("--seconds: %d is not between 0 and %d", context_s,
                       CONTEXT_MAX_S);
      return CTL_USAGE;
    }
  s.lines = g_array_new (FALSE, FALSE, sizeof (struct log_line));
  g_array_set_clear_func (s.lines, clear_line);
  for (int i = 2; i < argc && code == CTL_OK; i++)
    if (!read_log (&s, argv[i], argv[1]))
      code = CTL_NO_INPUT;
  if (s.skipped > 0)
    ctl_print_error ("%u lines are not log lines and were skipped", s.skipped);
  if (code == CTL_OK && !find_time_range (&s, &first_ms, &last_ms))
    {
      ctl_print_error ("no line names the request \"%s\"; requests that were "
                       "served are not logged, and a repeated event is "
                       "logged at most ten times a second",
                       argv[1]);
      code = CTL_DIFFERENT;
    }
  if (code == CTL_OK)
    {
      filter_lines (&s, first_ms - (int64_t)context_s * 1000, last_ms);
      g_array_sort (s.lines, compare_lines);
      append_lines (ctl, &s);
    }
  g_array_unref (s.lines);
  return code;
}
