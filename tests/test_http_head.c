/* Tests of http_head: bytes and fields that are not the head of an answer.
   test_http_client has the answers as a whole.  */

#include "http_head.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

static enum http_fault
scan_in_parts (const char *text, size_t part)
{
  struct http_head_scan scan = { .line_len = 0 };
  struct str bytes = str_from_cstr (text);

  for (size_t from = 0; from < bytes.len; from += part)
    if (!http_head_scan (&scan, str_slice (bytes, from, from + part)))
      return scan.fault;
  ck_assert_int_eq (scan.state, HTTP_HEAD_END);
  return HTTP_FAULT_NONE;
}

/* Guards against a fault that is missed because of where the bytes of a head
   are split, and against a scan that goes on into the body.  */
START_TEST (scan_does_not_depend_on_the_split)
{
  static const struct
  {
    const char *text;
    enum http_fault fault;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nA: b\r\n\r\n\x01 body", HTTP_FAULT_NONE },
    { "HTTP/1.1 200\nA:\n\n body", HTTP_FAULT_NONE },
    { "HTTP/1.1 2000\r\n\r\n", HTTP_FAULT_STATUS_LINE },
    { "HTTP/1.1 200 OK\rX\n\r\n", HTTP_FAULT_STATUS_LINE },
    { "HTTQ/1.1 200 OK\r\n\r\n", HTTP_FAULT_STATUS_LINE },
    { "HTTP/1.1 200 OK\r\nA B: c\r\n\r\n", HTTP_FAULT_FIELD_NAME },
    { "HTTP/1.1 200 OK\r\nA : c\r\n\r\n", HTTP_FAULT_FIELD_NAME },
    { "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", HTTP_FAULT_FOLDED_LINE },
    { "HTTP/1.1 200 OK\r\nA: b\x02\r\n\r\n", HTTP_FAULT_FIELD_VALUE },
    { "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", HTTP_FAULT_FIELD_VALUE },
    { "HTTP/1.1 200 OK\r\nA: b\r\n\rx\n", HTTP_FAULT_SYNTAX },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (size_t part = 1; part <= strlen (cases[i].text); part++)
      ck_assert_msg (scan_in_parts (cases[i].text, part) == cases[i].fault,
                     "case %zu in parts of %zu bytes", i, part);
}
END_TEST

static enum http_head_kind
classify (int status, struct str name, struct str value,
          enum http_fault *fault)
{
  const struct http_head_field field = { name, value };
  const struct http_head head = {
    .version_minor = 1, .status = status, .fields_len = 1, .fields = &field
  };

  return http_head_classify (&head, fault);
}

/* Guards against a status outside of 100 to 599 that is taken for an answer,
   or for an interim one that is waited on.  */
START_TEST (status_decides_the_kind)
{
  for (int status = 0; status < 1000; status++)
    {
      enum http_head_kind expected
          = status < 100 || status > 599 || status == 101 ? HTTP_HEAD_INVALID
            : status < 200                                ? HTTP_HEAD_INTERIM
                                                          : HTTP_HEAD_FINAL;
      enum http_fault fault;

      ck_assert_int_eq (
          classify (status, STR_LIT ("a"), STR_LIT ("b"), &fault), expected);
      ck_assert_int_eq (fault, expected == HTTP_HEAD_INVALID
                                   ? HTTP_FAULT_STATUS
                                   : HTTP_FAULT_NONE);
    }
}
END_TEST

/* Guards against a name that another reader of the head would split or trim,
   and against a control byte in a value.  */
START_TEST (names_are_tokens_and_values_have_no_control_bytes)
{
  for (int c = 0; c < 256; c++)
    {
      char byte = (char)c;
      struct str text = { 1, &byte };
      bool token = g_ascii_isalnum (byte)
                   || (c != 0 && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);

      ck_assert_int_eq (http_head_is_name (text), token);
      ck_assert_int_eq (http_head_is_value (text),
                        c == '\t' || (c >= ' ' && c != 0x7f));
    }
  ck_assert (!http_head_is_name (STR_EMPTY));
  ck_assert (http_head_is_value (STR_EMPTY));
}
END_TEST

/* Guards against forwarding a field that applies to one connection only.  */
START_TEST (connection_lists_field_names)
{
  ck_assert (http_head_lists (STR_LIT ("close, X-Odd"), STR_LIT ("x-odd")));
  ck_assert (http_head_lists (STR_LIT (" x-odd ,close"), STR_LIT ("X-Odd")));
  ck_assert (!http_head_lists (STR_LIT ("x-odder,,"), STR_LIT ("x-odd")));
  ck_assert (!http_head_lists (STR_EMPTY, STR_LIT ("x-odd")));
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    scan_does_not_depend_on_the_split,
    status_decides_the_kind,
    names_are_tokens_and_values_have_no_control_bytes,
    connection_lists_field_names,
  };

  return suite_run ("http_head", cases, sizeof cases / sizeof *cases);
}
