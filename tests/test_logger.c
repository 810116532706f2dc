/* Tests of logger: complete JSON lines, levels, a stalled reader.  */

#include "logger.h"

#include <check.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define THREADS 4
#define LINES 50

static int pipe_fds[2];
static int saved_stdout;

/* Each case runs in its own process, so the writer is set once in each.  */
static void
setup (void)
{
  ck_assert_int_eq (pipe (pipe_fds), 0);
  saved_stdout = dup (STDOUT_FILENO);
  dup2 (pipe_fds[1], STDOUT_FILENO);
  close (pipe_fds[1]);
  logger_init (LOGGER_INFO);
}

/* Restores standard output and returns all lines; free with g_strfreev.  */
static char **
read_lines (void)
{
  struct str_buf out = { 0 };
  char part[4096];
  ssize_t n;
  char **lines;

  dup2 (saved_stdout, STDOUT_FILENO);
  while ((n = read (pipe_fds[0], part, sizeof part)) > 0)
    str_append (&out, (struct str){ (size_t)n, part });
  lines = g_strsplit (str_view (&out).data, "\n", -1);
  str_reset (&out);
  return lines;
}

static JsonNode *
parse (const char *line)
{
  JsonNode *node = json_from_string (line, NULL);

  ck_assert_msg (node != NULL && JSON_NODE_HOLDS_OBJECT (node), "%s", line);
  return node;
}

/* Guards against field texts that break the line or make its JSON invalid.  */
START_TEST (special_characters_are_escaped)
{
  static const char text[] = "a\"b\\\n{\x01\xff\0z";
  JsonNode *node;
  JsonObject *o;
  char **lines;

  LOGGER_WRITE (LOGGER_WARNING, "test_event",
                LOGGER_TEXT ("text", ((struct str){ sizeof text - 1, text })),
                LOGGER_NUMBER ("number", INT64_MIN));
  lines = read_lines ();
  ck_assert_uint_eq (g_strv_length (lines), 2);
  node = parse (lines[0]);
  o = json_node_get_object (node);
  ck_assert_str_eq (json_object_get_string_member (o, "level"), "warning");
  ck_assert_str_eq (json_object_get_string_member (o, "event"), "test_event");
  ck_assert (g_str_has_prefix (json_object_get_string_member (o, "text"),
                               "a\"b\\\n{"));
  ck_assert (json_object_get_int_member (o, "number") == INT64_MIN);
  ck_assert_uint_eq (strlen (json_object_get_string_member (o, "time")),
                     strlen ("2026-12-04T10:00:00.000Z"));
  json_node_unref (node);
  g_strfreev (lines);
}
END_TEST

/* Guards against a level change without effect, and against messages of
   libraries in a different format.  */
START_TEST (level_change_takes_effect_at_once)
{
  enum logger_level level;
  JsonNode *node;
  char **lines;

  logger_write (LOGGER_DEBUG, "unseen", 0, NULL);
  ck_assert (logger_find_level (STR_LIT ("debug"), &level));
  ck_assert (!logger_find_level (STR_LIT ("debu"), &level));
  logger_set_level (level);
  logger_write (LOGGER_DEBUG, "seen", 0, NULL);
  g_log ("library", G_LOG_LEVEL_WARNING, "a message");
  logger_set_level (LOGGER_ERROR);
  logger_write (LOGGER_WARNING, "unseen", 0, NULL);
  lines = read_lines ();
  ck_assert_uint_eq (g_strv_length (lines), 3);
  ck_assert_ptr_nonnull (strstr (lines[0], "\"seen\""));
  node = parse (lines[1]);
  ck_assert_str_eq (
      json_object_get_string_member (json_node_get_object (node), "message"),
      "a message");
  json_node_unref (node);
  g_strfreev (lines);
}
END_TEST

/* Guards against lines that are too long to be written to a pipe at once.  */
START_TEST (too_long_line_is_truncated_to_its_event)
{
  static const char *const names[] = { "a", "b", "c", "d", "e" };
  struct logger_field fields[G_N_ELEMENTS (names)];
  char *text = g_strnfill (LOGGER_TEXT_MAX_BYTES * 2, '\x02');
  JsonNode *node;
  char **lines;

  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    fields[i] = LOGGER_TEXT (names[i], str_from_cstr (text));
  logger_write (LOGGER_ERROR, "long_event", G_N_ELEMENTS (fields), fields);
  lines = read_lines ();
  ck_assert_uint_lt (strlen (lines[0]), LOGGER_LINE_MAX_BYTES);
  node = parse (lines[0]);
  ck_assert (json_object_get_boolean_member (json_node_get_object (node),
                                             "truncated"));
  json_node_unref (node);
  g_strfreev (lines);
  g_free (text);
}
END_TEST

/* Guards against a thread that blocks because standard output is not read.  */
START_TEST (stalled_reader_does_not_block_writers)
{
  char *text = g_strnfill (LOGGER_TEXT_MAX_BYTES, 'x');
  char **lines;

  for (int i = 0; i < 1000; i++)
    LOGGER_WRITE (LOGGER_INFO, "flood",
                  LOGGER_TEXT ("text", str_from_cstr (text)));
  ck_assert_uint_gt (logger_get_dropped (), 0);
  lines = read_lines ();
  ck_assert_uint_eq (g_strv_length (lines) - 1 + logger_get_dropped (), 1000);
  g_strfreev (lines);
  g_free (text);
}
END_TEST

static gpointer
write_lines (gpointer data)
{
  for (int i = 0; i < LINES; i++)
    LOGGER_WRITE (LOGGER_INFO, "line", LOGGER_NUMBER ("i", i));
  return NULL;
}

/* Guards against interleaved lines of several threads.  */
START_TEST (threads_write_whole_lines)
{
  GThread *threads[THREADS];
  char **lines;

  for (int i = 0; i < THREADS; i++)
    threads[i] = g_thread_new ("writer", write_lines, NULL);
  for (int i = 0; i < THREADS; i++)
    g_thread_join (threads[i]);
  lines = read_lines ();
  ck_assert_uint_eq (g_strv_length (lines), THREADS * LINES + 1);
  for (int i = 0; i < THREADS * LINES; i++)
    json_node_unref (parse (lines[i]));
  g_strfreev (lines);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("logger");
  TCase *tc = tcase_create ("logger");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (tc, setup, NULL);
  tcase_add_test (tc, special_characters_are_escaped);
  tcase_add_test (tc, level_change_takes_effect_at_once);
  tcase_add_test (tc, too_long_line_is_truncated_to_its_event);
  tcase_add_test (tc, stalled_reader_does_not_block_writers);
  tcase_add_test (tc, threads_write_whole_lines);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
