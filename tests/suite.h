/* suite: main function of the check programs.  */

#ifndef ALMONDVALE_TESTS_SUITE_H
#define ALMONDVALE_TESTS_SUITE_H

#include <check.h>
#include <stdlib.h>

/* Runs the cases; the result is the exit status.  */
static inline int
suite_run (const char *name, const TTest *const *cases, size_t len)
{
  Suite *suite = suite_create (name);
  TCase *tc = tcase_create (name);
  SRunner *runner;
  int failed;

  tcase_set_timeout (tc, 60);
  for (size_t i = 0; i < len; i++)
    tcase_add_test (tc, cases[i]);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
