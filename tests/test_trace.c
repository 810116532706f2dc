/* Tests of trace: traceparent, the bounded queue, export to a collector.  */

#include "trace.h"

#include <check.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#define SEED 20261206
#define MUTATIONS 100000
#define VALID "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

static const struct
{
  const char *text;
  bool valid;
} headers[] = {
  { VALID, true },
  { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00", true },
  { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-ff", true },
  { "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more", true },
  { "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", true },
  { "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01x", false },
  { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more", false },
  { "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false },
  { "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01", false },
  { "00-00000000000000000000000000000000-00f067aa0ba902b7-01", false },
  { "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", false },
  { "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0", false },
  { "00-4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7-01", false },
  { "", false },
};

/* Guards against a parser that deviates from W3C Trace Context.  */
START_TEST (traceparent_is_parsed_as_specified)
{
  struct trace_context c;

  ck_assert_msg (trace_parse_parent (str_from_cstr (headers[_i].text), &c)
                     == headers[_i].valid,
                 "%s", headers[_i].text);
}
END_TEST

/* Guards against reads past the end of a malformed header (detected by a
   sanitizer), and against a header that changes when it is propagated.  */
START_TEST (mutated_traceparent_is_rejected_or_preserved)
{
  GRand *rand = g_rand_new_with_seed (SEED);

  for (int i = 0; i < MUTATIONS; i++)
    {
      size_t len = (size_t)g_rand_int_range (rand, 0, sizeof VALID + 4);
      char *text = g_strnfill (len, 'a');
      struct str_buf out = { 0 };
      struct trace_context c;

      memcpy (text, VALID, MIN (len, sizeof VALID - 1));
      for (int n = g_rand_int_range (rand, 0, 3); n > 0 && len > 0; n--)
        text[g_rand_int_range (rand, 0, (gint32)len)]
            = (char)g_rand_int_range (rand, 0, 256);
      if (trace_parse_parent ((struct str){ len, text }, &c))
        {
          trace_append_parent (&out, &c);
          ck_assert_uint_eq (out.len, TRACE_PARENT_CHARS);
          ck_assert_int_eq (memcmp (out.data + 2, text + 2, 51), 0);
        }
      str_reset (&out);
      g_free (text);
    }
  g_rand_free (rand);
}
END_TEST

/* Guards against a wrong sampling ratio, and against child spans with another
   trace id.  */
START_TEST (sampling_follows_the_ratio)
{
  struct trace_context c, child;
  int sampled = 0;

  for (int i = 0; i < 10000; i++)
    {
      trace_begin (&c, 0.25);
      sampled += c.sampled;
    }
  ck_assert_int_gt (sampled, 2250);
  ck_assert_int_lt (sampled, 2750);
  trace_begin (&c, 0);
  ck_assert (!c.sampled);
  trace_begin (&c, 1);
  ck_assert (c.sampled);
  trace_begin_child (&child, &c);
  ck_assert_int_eq (memcmp (child.trace_id, c.trace_id, TRACE_ID_BYTES), 0);
  ck_assert_int_ne (memcmp (child.span_id, c.span_id, TRACE_SPAN_ID_BYTES), 0);
  ck_assert (child.sampled);
}
END_TEST

static void
init (struct trace *t, struct event_base *base, uint16_t port)
{
  struct trace_options options = { .member_id = STR_LIT ("d1"),
                                   .failure_domain = STR_LIT ("fd-1"),
                                   .address = STR_LIT ("127.0.0.1"),
                                   .port = port,
                                   .queue_max = 16 };

  trace_init (t, base, &options);
}

static void
record (struct trace *t, int n, bool sampled)
{
  struct trace_span span = { .kind = TRACE_SERVER,
                             .start_us = INT64_C (1796380000000001),
                             .duration_us = 1500,
                             .name = STR_LIT ("serve"),
                             .service = STR_LIT ("booking"),
                             .route = STR_LIT ("book \"now\""),
                             .error = ERR_OVERLOADED,
                             .status = 503,
                             .has_parent = true };

  trace_parse_parent (STR_LIT (VALID), &span.context);
  memset (span.parent_id, 0xab, TRACE_SPAN_ID_BYTES);
  span.context.sampled = sampled;
  for (int i = 0; i < n; i++)
    trace_record (t, &span);
}

/* Guards against an unbounded queue, against dropped spans that are not
   counted, and against spans of unsampled traces.  */
START_TEST (full_queue_counts_drops)
{
  struct event_base *base = event_base_new ();
  struct str_buf out = { 0 };
  struct trace t;

  init (&t, base, 1);
  record (&t, 100, false);
  record (&t, 20, true);
  ck_assert_uint_eq (trace_get_dropped (&t), 4);
  ck_assert_uint_eq (trace_append_batch (&t, &out), 16);
  ck_assert_uint_eq (trace_append_batch (&t, &out), 0);
  str_reset (&out);
  record (&t, 3, true);
  trace_close (&t);
  event_base_free (base);
}
END_TEST

static JsonObject *
get_first_element (JsonObject *o, const char *name)
{
  return json_array_get_object_element (json_object_get_array_member (o, name),
                                        0);
}

static void
assert_text (JsonObject *o, const char *name, const char *value)
{
  ck_assert_str_eq (json_object_get_string_member (o, name), value);
}

/* Guards against JSON that an OTLP collector rejects: ids that are not
   hexadecimal, 64-bit integers that are not strings.  */
START_TEST (batch_is_otlp_json)
{
  struct event_base *base = event_base_new ();
  struct str_buf out = { 0 };
  struct trace t;
  JsonNode *root;
  JsonObject *span;

  init (&t, base, 1);
  record (&t, 1, true);
  ck_assert_uint_eq (trace_append_batch (&t, &out), 1);
  root = json_from_string (out.data, NULL);
  ck_assert_ptr_nonnull (root);
  span = get_first_element (
      get_first_element (
          get_first_element (json_node_get_object (root), "resourceSpans"),
          "scopeSpans"),
      "spans");
  assert_text (span, "traceId", "4bf92f3577b34da6a3ce929d0e0e4736");
  assert_text (span, "spanId", "00f067aa0ba902b7");
  assert_text (span, "parentSpanId", "abababababababab");
  assert_text (span, "startTimeUnixNano", "1796380000000001000");
  assert_text (span, "endTimeUnixNano", "1796380000001501000");
  ck_assert_int_eq (json_object_get_int_member (span, "kind"), TRACE_SERVER);
  ck_assert_int_eq (
      json_object_get_int_member (
          json_object_get_object_member (span, "status"), "code"),
      2);
  json_node_unref (root);
  str_reset (&out);
  trace_close (&t);
  event_base_free (base);
}
END_TEST

struct collector
{
  int status;
  int requests;
};

static void
collect (struct evhttp_request *request, void *data)
{
  struct collector *c = data;

  c->requests++;
  ck_assert_str_eq (evhttp_request_get_uri (request), "/v1/traces");
  ck_assert_str_eq (
      evhttp_find_header (evhttp_request_get_input_headers (request),
                          "Content-Type"),
      "application/json");
  evhttp_send_reply (request, c->status, "status", NULL);
}

static void
run_until_done (struct trace *t, struct event_base *base, int64_t now_us)
{
  trace_run_export (t, now_us);
  while (t->spans_in_flight > 0)
    event_base_loop (base, EVLOOP_ONCE);
}

/* Guards against spans that are counted as exported although the collector
   rejected them, and against a separate export request for every span.  */
START_TEST (export_counts_accepted_spans)
{
  struct event_base *base = event_base_new ();
  struct evhttp *http = evhttp_new (base);
  struct evhttp_bound_socket *socket
      = evhttp_bind_socket_with_handle (http, "127.0.0.1", 0);
  struct sockaddr_in address;
  socklen_t len = sizeof address;
  struct collector c = { 200, 0 };
  struct trace t;

  evhttp_set_gencb (http, collect, &c);
  getsockname (evhttp_bound_socket_get_fd (socket),
               (struct sockaddr *)&address, &len);
  init (&t, base, ntohs (address.sin_port));
  record (&t, 5, true);
  run_until_done (&t, base, 1);
  ck_assert_uint_eq (trace_get_exported (&t), 5);
  record (&t, 1, true);
  run_until_done (&t, base, 2);
  ck_assert_int_eq (c.requests, 1);
  c.status = 503;
  run_until_done (&t, base, 2000000);
  ck_assert_int_eq (c.requests, 2);
  ck_assert_uint_eq (trace_get_exported (&t), 5);
  ck_assert_uint_eq (trace_get_dropped (&t), 1);
  trace_close (&t);
  evhttp_free (http);
  event_base_free (base);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("trace");
  TCase *tc = tcase_create ("trace");
  SRunner *runner;
  int failed;

  tcase_add_loop_test (tc, traceparent_is_parsed_as_specified, 0,
                       G_N_ELEMENTS (headers));
  tcase_add_test (tc, mutated_traceparent_is_rejected_or_preserved);
  tcase_add_test (tc, sampling_follows_the_ratio);
  tcase_add_test (tc, full_queue_counts_drops);
  tcase_add_test (tc, batch_is_otlp_json);
  tcase_add_test (tc, export_counts_accepted_spans);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
