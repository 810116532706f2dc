/* Tests of platform_dialect: which answers are passed on, and the statuses and
   headers of errors.  */

#include "platform_dialect.h"
#include "suite.h"

#define ID STR_LIT ("9c41")
#define SIGNATURE                                                             \
  {                                                                           \
    STR_LIT ("X-Almondvale-Response-Signature"), STR_LIT ("3e1b")             \
  }
#define ECHO(id)                                                              \
  {                                                                           \
    STR_LIT ("x-almondvale-attempt-id"), STR_LIT (id)                         \
  }
#define NOT_RUN                                                               \
  {                                                                           \
    STR_LIT ("X-Almondvale-Not-Executed"), STR_LIT ("1")                      \
  }
#define ENCODED                                                               \
  {                                                                           \
    STR_LIT ("Content-Encoding"), STR_LIT ("gzip")                            \
  }

/* Guards against accepting a success that did not come from the backend server
   (no signature, the id of another request, or an encoded body), and against
   repeating a request that has run.  */
START_TEST (answers_are_classified)
{
  const struct
  {
    int status;
    uint32_t len;
    struct http_head_field headers[3];
    enum http_dialect_answer_kind expected;
  } cases[] = {
    { 200, 2, { ECHO ("9c41"), SIGNATURE }, HTTP_DIALECT_ANSWER },
    { 200, 1, { ECHO ("9c41") }, HTTP_DIALECT_INVALID },
    { 200, 1, { SIGNATURE }, HTTP_DIALECT_INVALID },
    { 200, 2, { ECHO ("aaaa"), SIGNATURE }, HTTP_DIALECT_OTHER_REQUEST },
    { 200, 3, { ECHO ("9c41"), SIGNATURE, ENCODED }, HTTP_DIALECT_INVALID },
    { 500, 2, { ECHO ("9c41"), SIGNATURE }, HTTP_DIALECT_ANSWER },
    { 503, 1, { ECHO ("9c41") }, HTTP_DIALECT_ANSWER },
    { 503, 2, { ECHO ("9c41"), NOT_RUN }, HTTP_DIALECT_NOT_RUN },
    { 421, 1, { ECHO ("9c41") }, HTTP_DIALECT_NOT_RUN },
    { 503, 2, { ECHO ("aaaa"), NOT_RUN }, HTTP_DIALECT_OTHER_REQUEST },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct http_client_answer a = { .result = HTTP_CLIENT_ANSWERED,
                                      .status = cases[i].status,
                                      .headers_len = cases[i].len,
                                      .headers = cases[i].headers,
                                      .body = STR_EMPTY };

      ck_assert_msg (platform_dialect_ops.classify_answer (&a, ID)
                         == cases[i].expected,
                     "case %zu", i);
    }
}
END_TEST

/* Guards against telling a caller "not run" because of the answer to an earlier
   request that the backend server sent once more on the same connection, while
   it runs the caller's request.  */
START_TEST (answer_without_id_on_reused_connection_is_not_trusted)
{
  static const struct http_head_field not_run[] = { NOT_RUN };
  static const int statuses[] = { 400, 421, 429, 500, 503 };

  for (size_t i = 0; i < sizeof statuses / sizeof *statuses; i++)
    {
      struct http_client_answer a = { .result = HTTP_CLIENT_ANSWERED,
                                      .status = statuses[i],
                                      .headers_len = 1,
                                      .headers = not_run,
                                      .body = STR_EMPTY };

      ck_assert_int_eq (platform_dialect_ops.classify_answer (&a, ID),
                        HTTP_DIALECT_NOT_RUN);
      a.on_reused_connection = true;
      ck_assert_int_eq (platform_dialect_ops.classify_answer (&a, ID),
                        HTTP_DIALECT_OTHER_REQUEST);
      ck_assert_int_eq (platform_dialect_ops.classify_answer (&a, STR_EMPTY),
                        HTTP_DIALECT_INVALID);
    }
}
END_TEST

/* Guards against a status that the platform defines as "not run" (408, 421,
   429 or 503) for a request that may have run, and against a 5xx status other
   than 503 for a request that has not run.  */
START_TEST (only_not_run_errors_get_a_not_run_status)
{
  for (int kind = 1; kind < ERR_KINDS; kind++)
    {
      int status = platform_dialect_ops.get_status ((enum err_kind)kind);
      bool states_not_run
          = status == 408 || status == 421 || status == 429 || status == 503;

      if (!err_is_not_run ((enum err_kind)kind))
        ck_assert_msg (!states_not_run, "kind %d, status %d", kind, status);
      else if (status >= 500)
        ck_assert_int_eq (status, 503);
    }
}
END_TEST

/* Guards against forwarding to a backend server the caller's key or a header
   that the daemon sets itself.  */
START_TEST (internal_headers_are_not_forwarded)
{
  const char *const dropped[] = { "authorization",
                                  "x-almondvale-tenant",
                                  "X-Almondvale-Caller-Service",
                                  "X-Almondvale-Deadline-Ms",
                                  "X-Almondvale-Expected-Instance",
                                  "connection",
                                  "transfer-encoding",
                                  "content-length" };
  const char *const passed[]
      = { "Host", "X-Almondvale-Attempt-Id", "Accept", "X-Trace" };

  for (size_t i = 0; i < sizeof dropped / sizeof *dropped; i++)
    ck_assert (
        !platform_dialect_ops.is_forwarded (str_from_cstr (dropped[i])));
  for (size_t i = 0; i < sizeof passed / sizeof *passed; i++)
    ck_assert (platform_dialect_ops.is_forwarded (str_from_cstr (passed[i])));
}
END_TEST

/* Guards against a Retry-After that is rounded to whole seconds: callers spend
   at most a third of their timeout on waiting.  */
START_TEST (retry_after_has_fractions)
{
  struct wire_header headers[HTTP_DIALECT_ERROR_HEADERS_MAX];
  struct str_buf text = { 0 };

  ck_assert_uint_eq (platform_dialect_ops.add_error_headers (
                         ERR_OVERLOADED, 250, &text, headers),
                     1);
  ck_assert (str_equal (headers[0].value, STR_LIT ("0.250")));
  text.len = 0;
  ck_assert_uint_eq (platform_dialect_ops.add_error_headers (
                         ERR_OUTCOME_UNKNOWN, 250, &text, headers),
                     0);
  str_reset (&text);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    answers_are_classified,
    answer_without_id_on_reused_connection_is_not_trusted,
    only_not_run_errors_get_a_not_run_status,
    internal_headers_are_not_forwarded,
    retry_after_has_fractions,
  };

  return suite_run ("platform_dialect", cases, sizeof cases / sizeof *cases);
}
