/* Tests of wire and frame: round trips and malformed input.  */

#include "frame.h"
#include "wire.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SEED 4711
#define MUTATIONS 20000

static struct wire_header headers[] = {
  { { 6, "accept" }, { 3, "*/*" } },
};

static struct wire_message
sample_request (void)
{
  struct wire_message m = { .type = WIRE_REQUEST };

  m.u.request = (struct wire_request){ .request_id = UINT64_MAX,
                                       .attempt = { 7, UINT64_MAX - 1 },
                                       .service = STR_LIT ("booking"),
                                       .route = STR_LIT ("slots"),
                                       .method = STR_LIT ("POST"),
                                       .path = STR_LIT ("/slots?day=1"),
                                       .headers_len = 1,
                                       .headers = headers,
                                       .workspace = STR_LIT ("w1"),
                                       .importance = 9,
                                       .timeout_us = -5,
                                       .retry_budget = 2,
                                       .depth = 17,
                                       .response_max_us = 70000,
                                       .traceparent = STR_EMPTY,
                                       .last_part = true,
                                       .body = { 3, "a\0b" } };
  return m;
}

/* Guards against request members that are swapped or truncated by encoding and
   decoding, for example a body cut at a NUL byte.  */
START_TEST (request_round_trip)
{
  struct wire_message in = sample_request (), out;
  struct str_buf b = { 0 };
  struct str frame;

  wire_append_message (&b, &in);
  frame = str_slice (str_view (&b), FRAME_HEADER_BYTES, b.len);
  ck_assert (wire_load_message (&out, frame));
  ck_assert_int_eq (out.type, WIRE_REQUEST);
  ck_assert_uint_eq (out.u.request.request_id, UINT64_MAX);
  ck_assert (wire_equal_attempt (out.u.request.attempt, in.u.request.attempt));
  ck_assert (str_equal (out.u.request.path, in.u.request.path));
  ck_assert (str_equal (out.u.request.body, in.u.request.body));
  ck_assert_uint_eq (out.u.request.headers_len, 1);
  ck_assert (str_equal (out.u.request.headers[0].value, headers[0].value));
  ck_assert_int_eq (out.u.request.timeout_us, -5);
  ck_assert_uint_eq (out.u.request.depth, 17);
  ck_assert_uint_eq (out.u.request.response_max_us, 70000);
  wire_unload_message (&out);
  str_reset (&b);
}
END_TEST

/* Guards against members of a load report that are swapped: an entry daemon
   would take a rate for a time.  */
START_TEST (load_report_round_trip)
{
  struct wire_message in = { .type = WIRE_RESPONSE }, out;
  struct str_buf b = { 0 };

  in.u.response = (struct wire_response){ .error = ERR_ENDPOINT_BUSY,
                                          .in_flight = 12,
                                          .limit = 8,
                                          .success_permille = 990,
                                          .arrivals_per_s = 400,
                                          .service_us = 20000,
                                          .residence_us = 31000,
                                          .last_part = true,
                                          .body = STR_EMPTY };
  wire_append_message (&b, &in);
  ck_assert (wire_load_message (
      &out, str_slice (str_view (&b), FRAME_HEADER_BYTES, b.len)));
  ck_assert_int_eq (out.u.response.error, ERR_ENDPOINT_BUSY);
  ck_assert_uint_eq (out.u.response.in_flight, 12);
  ck_assert_uint_eq (out.u.response.limit, 8);
  ck_assert_uint_eq (out.u.response.success_permille, 990);
  ck_assert_uint_eq (out.u.response.arrivals_per_s, 400);
  ck_assert_uint_eq (out.u.response.service_us, 20000);
  ck_assert_uint_eq (out.u.response.residence_us, 31000);
  wire_unload_message (&out);
  str_reset (&b);
}
END_TEST

/* Guards against a retry that its serving daemon counts as a first arrival, and
   against a frame of a first arrival that an older daemon cannot decode.  */
START_TEST (retry_is_sent_only_if_it_is_one)
{
  struct wire_message in = sample_request (), out;
  size_t lens[WIRE_RETRY_INHERITED + 1];

  for (int retry = WIRE_RETRY_NONE; retry <= WIRE_RETRY_INHERITED; retry++)
    {
      struct str_buf b = { 0 };

      in.u.request.retry = (enum wire_retry)retry;
      wire_append_message (&b, &in);
      ck_assert (wire_load_message (
          &out, str_slice (str_view (&b), FRAME_HEADER_BYTES, b.len)));
      ck_assert_int_eq (out.u.request.retry, retry);
      lens[retry] = b.len;
      wire_unload_message (&out);
      str_reset (&b);
    }
  ck_assert_uint_eq (lens[WIRE_RETRY_ATTEMPT], lens[WIRE_RETRY_NONE] + 1);
  ck_assert_uint_eq (lens[WIRE_RETRY_INHERITED], lens[WIRE_RETRY_NONE] + 1);
}
END_TEST

/* Guards against a crash or a memory leak on malformed frames from a peer.
   Decodes every truncation of a valid frame, which has to be rejected, and
   random byte changes of it, which can leave a valid frame.  */
START_TEST (malformed_frames_are_rejected_or_decoded)
{
  struct wire_message in = sample_request (), out;
  struct str_buf b = { 0 };
  GRand *rand = g_rand_new_with_seed (SEED);
  struct str payload;

  wire_append_message (&b, &in);
  payload = str_slice (str_view (&b), FRAME_HEADER_BYTES, b.len);
  for (size_t len = 0; len < payload.len; len++)
    ck_assert (!wire_load_message (&out, str_slice (payload, 0, len)));
  for (int i = 0; i < MUTATIONS; i++)
    {
      struct str copy = str_copy (payload);
      int changes = g_rand_int_range (rand, 1, 4);

      while (changes-- > 0)
        ((char *)copy.data)[g_rand_int_range (rand, 0, (gint32)copy.len)]
            = (char)g_rand_int (rand);
      if (wire_load_message (&out, copy))
        wire_unload_message (&out);
      str_free (&copy);
    }
  g_rand_free (rand);
  str_reset (&b);
}
END_TEST

/* Guards against allocating a buffer for a claimed frame length above the
   limit.  */
START_TEST (frame_length_is_limited)
{
  struct evbuffer *in = evbuffer_new ();
  struct str payload;

  evbuffer_add (in, "\x7f\xff\xff\xff", 4);
  ck_assert_int_eq (frame_read (in, WIRE_FRAME_MAX_BYTES, &payload),
                    FRAME_INVALID);
  evbuffer_drain (in, 4);
  evbuffer_add (in, "\0\0\0\2x", 5);
  ck_assert_int_eq (frame_read (in, WIRE_FRAME_MAX_BYTES, &payload),
                    FRAME_PARTIAL);
  evbuffer_add (in, "y", 1);
  ck_assert_int_eq (frame_read (in, WIRE_FRAME_MAX_BYTES, &payload),
                    FRAME_READY);
  ck_assert (str_equal (payload, STR_LIT ("xy")));
  str_free (&payload);
  evbuffer_free (in);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wire");
  TCase *tc = tcase_create ("wire");
  SRunner *runner;
  int failed;

  tcase_add_test (tc, request_round_trip);
  tcase_add_test (tc, retry_is_sent_only_if_it_is_one);
  tcase_add_test (tc, load_report_round_trip);
  tcase_add_test (tc, malformed_frames_are_rejected_or_decoded);
  tcase_add_test (tc, frame_length_is_limited);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
