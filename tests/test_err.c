/* Tests of err: the table of answers and the reference page.  */

#include "err.h"
#include "suite.h"

#define PAGE "docs/errors.md"

/* Guards against a kind without an answer and two kinds of the same name.  */
START_TEST (every_kind_has_its_own_answer)
{
  for (int kind = 0; kind < ERR_KINDS; kind++)
    {
      const struct err_answer *a = err_get_answer ((enum err_kind)kind);

      ck_assert_ptr_nonnull (a->name);
      ck_assert_ptr_nonnull (a->text);
      ck_assert_int_eq (err_find_kind (str_from_cstr (a->name)), kind);
      ck_assert (a->status >= 200 && a->status < 600);
    }
  ck_assert_ptr_eq (err_get_answer (ERR_KINDS), err_get_answer (ERR_INTERNAL));
}
END_TEST

/* Guards against advice to retry, without the condition that makes it safe, a
   request that may have run.  */
START_TEST (retry_later_only_if_not_run)
{
  for (int kind = 1; kind < ERR_KINDS; kind++)
    {
      const struct err_answer *a = err_get_answer ((enum err_kind)kind);

      if (a->retry == ERR_RETRY_LATER)
        ck_assert_int_eq (a->ran, ERR_RAN_NO);
    }
}
END_TEST

/* Guards against a detail that makes the JSON of the body invalid.  */
START_TEST (body_escapes_the_detail)
{
  struct str_buf body = { 0 };

  err_append_body (&body, ERR_BAD_REQUEST, (struct str){ 5, "a\"\n\xff\x01" });
  ck_assert_ptr_nonnull (strstr (body.data, "\"detail\":\"a\\\"\\n"));
  ck_assert_ptr_null (strchr (body.data, '\n'));
  ck_assert (g_utf8_validate (body.data, (gssize)body.len, NULL));
  str_reset (&body);
}
END_TEST

/* Guards against a reference page that is out of date; `make reference` writes
   it.  */
START_TEST (page_has_the_table)
{
  struct str_buf reference = { 0 };
  char *page;

  ck_assert (g_file_get_contents (PAGE, &page, NULL, NULL));
  err_append_reference (&reference);
  ck_assert_ptr_nonnull (strstr (page, reference.data));
  str_reset (&reference);
  g_free (page);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { every_kind_has_its_own_answer, retry_later_only_if_not_run,
          body_escapes_the_detail, page_has_the_table };

  return suite_run ("err", cases, sizeof cases / sizeof cases[0]);
}
