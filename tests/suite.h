/* suite: main function of the test programs.  */

#ifndef ALMONDVALE_TESTS_SUITE_H
#define ALMONDVALE_TESTS_SUITE_H

#include <check.h>
#include <signal.h>
#include <stdlib.h>

/* Runs the cases of `cases`, and those of `red`, which fail because of known
   faults, with the tag known-red.  The environment variables CK_INCLUDE_TAGS
   and CK_EXCLUDE_TAGS select by tag.  Returns the exit status of the
   program.  */
static inline int
suite_run_tagged (const char *name, const TTest *const *cases, size_t len,
                  const TTest *const *red, size_t red_len)
{
  Suite *suite = suite_create (name);
  TCase *tc = tcase_create (name);
  TCase *tc_red = tcase_create ("known-red");
  SRunner *runner;
  int failed;

  /* As in the daemon: a test may write to a connection that its peer has
     closed.  */
  signal (SIGPIPE, SIG_IGN);
  tcase_set_timeout (tc, 60);
  tcase_set_timeout (tc_red, 60);
  tcase_set_tags (tc_red, "known-red");
  for (size_t i = 0; i < len; i++)
    tcase_add_test (tc, cases[i]);
  for (size_t i = 0; i < red_len; i++)
    tcase_add_test (tc_red, red[i]);
  suite_add_tcase (suite, tc);
  suite_add_tcase (suite, tc_red);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Runs the cases and returns the exit status of the program.  */
static inline int
suite_run (const char *name, const TTest *const *cases, size_t len)
{
  return suite_run_tagged (name, cases, len, NULL, 0);
}

#endif
