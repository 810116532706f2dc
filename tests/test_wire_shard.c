/* Tests of wire_shard: round trips of every message and malformed input.  */

#include "frame.h"
#include "wire_shard.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SEED 400
#define MUTATIONS 5000

static struct wire_shard_message samples[] = {
  { .type = WIRE_TOKEN_REQUEST,
    .u.token_request = { { 2, "w1" }, 1, 2, 3, UINT64_MAX, 5 } },
  { .type = WIRE_TOKENS,
    .u.tokens = { { 2, "w1" }, 7, 1000, 9, UINT64_MAX - 1, true } },
  { .type = WIRE_REGISTER,
    .u.reg = { 1, { { 1, 0, 3 } }, UINT64_MAX, { 4, 5 }, 3000000 } },
  { .type = WIRE_REGISTERED,
    .u.registered = { 1, IDEMPOTENCY_ALREADY_DONE, { 3, "a\0b" } } },
  { .type = WIRE_COMPLETE,
    .u.complete = { { { 9 } }, { 4, 5 }, false, { 3, "a\0b" } } },
  { .type = WIRE_PROMISE_REQUEST,
    .u.promise_request = { 255, 3, 4, { 5, 6 } } },
  { .type = WIRE_PROMISE, .u.promise = { 0, 3, 4, { 5, 6 }, 4000, 700 } },
  { .type = WIRE_HOLDER_REQUEST, .u.holder_request = { 255 } },
  { .type = WIRE_HOLDER, .u.holder = { 255, 3, { 5, 6 } } },
};

static struct str
encode (const struct wire_shard_message *m, struct str_buf *b)
{
  wire_shard_append_message (b, m);
  return str_slice (str_view (b), FRAME_HEADER_BYTES, b->len);
}

/* Guards against a member that is omitted, swapped or truncated: encoding the
   decoded message gives the same bytes, and the members checked one by one are
   equal.  */
START_TEST (messages_round_trip)
{
  struct wire_shard_message out;
  struct str_buf first = { 0 }, again = { 0 };
  struct str frame = encode (&samples[_i], &first);

  ck_assert (wire_shard_load_message (&out, frame));
  ck_assert_int_eq (out.type, samples[_i].type);
  ck_assert (str_equal (frame, encode (&out, &again)));
  switch (out.type)
    {
    case WIRE_TOKEN_REQUEST:
      ck_assert (str_equal (out.u.token_request.workspace, STR_LIT ("w1")));
      ck_assert_uint_eq (out.u.token_request.waiting, 1);
      ck_assert_uint_eq (out.u.token_request.demand, 2);
      ck_assert_uint_eq (out.u.token_request.returned, 3);
      ck_assert_uint_eq (out.u.token_request.returned_epoch, UINT64_MAX);
      ck_assert_uint_eq (out.u.token_request.sequence, 5);
      break;
    case WIRE_TOKENS:
      ck_assert_uint_eq (out.u.tokens.count, 7);
      ck_assert_uint_eq (out.u.tokens.validity_ms, 1000);
      ck_assert_uint_eq (out.u.tokens.epoch, 9);
      ck_assert (out.u.tokens.is_holder);
      break;
    case WIRE_REGISTERED:
      ck_assert_int_eq (out.u.registered.result, IDEMPOTENCY_ALREADY_DONE);
      ck_assert (
          str_equal (out.u.registered.outcome, (struct str){ 3, "a\0b" }));
      break;
    case WIRE_COMPLETE:
      ck_assert (
          str_equal (out.u.complete.outcome, (struct str){ 3, "a\0b" }));
      ck_assert_uint_eq (out.u.complete.attempt.number, 5);
      break;
    case WIRE_HOLDER_REQUEST:
      ck_assert_uint_eq (out.u.holder_request.shard, 255);
      break;
    case WIRE_HOLDER:
      ck_assert_uint_eq (out.u.holder.epoch, 3);
      ck_assert_uint_eq (out.u.holder.holder.incarnation, 6);
      break;
    default:
      ck_assert_int_eq (memcmp (&out.u, &samples[_i].u,
                                out.type == WIRE_REGISTER ? sizeof out.u.reg
                                : out.type == WIRE_PROMISE
                                    ? sizeof out.u.promise
                                    : sizeof out.u.promise_request),
                        0);
      break;
    }
  wire_shard_unload_message (&out);
  str_reset (&first);
  str_reset (&again);
}
END_TEST

/* Guards against a crash, a memory leak or an accepted truncation on malformed
   frames from a peer.  */
START_TEST (malformed_frames_are_rejected_or_decoded)
{
  struct wire_shard_message out;
  struct str_buf b = { 0 };
  GRand *rand = g_rand_new_with_seed (SEED + (guint32)_i);
  struct str payload = encode (&samples[_i], &b);

  for (size_t len = 0; len < payload.len; len++)
    ck_assert (!wire_shard_load_message (&out, str_slice (payload, 0, len)));
  for (int i = 0; i < MUTATIONS; i++)
    {
      struct str copy = str_copy (payload);

      for (int k = g_rand_int_range (rand, 1, 4); k > 0; k--)
        ((char *)copy.data)[g_rand_int_range (rand, 0, (gint32)copy.len)]
            = (char)g_rand_int (rand);
      if (wire_shard_load_message (&out, copy))
        wire_shard_unload_message (&out);
      str_free (&copy);
    }
  g_rand_free (rand);
  str_reset (&b);
}
END_TEST

/* Guards against values that would be used as an index of a table or as the
   size of an allocation although they are out of range, against a trailing
   byte and against an unknown type.  */
START_TEST (values_out_of_range_are_rejected)
{
  static const struct
  {
    const char *bytes;
    size_t len;
  } cases[] = {
    { "\x96\x3c\xcd\x01\x00\x01\x01\x01\x01",
      9 }, /* shard number above the limit */
    { "\x97\x28\xa0\x01\x01\x00\x00\x01", 8 }, /* empty workspace */
    { "\x96\x34\xc4\x01\x00\x01\x01\xc2\xc4\x00",
      10 },                                /* key of the wrong length */
    { "\x94\x33\x01\x09\xc4\x00", 6 },     /* unknown result */
    { "\x94\x33\x01\x00\xc4\x00\x00", 7 }, /* trailing byte */
    { "\x92\x2b\x01", 3 },                 /* unknown type */
  };
  struct wire_shard_message out;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    ck_assert (!wire_shard_load_message (
        &out, (struct str){ cases[i].len, cases[i].bytes }));
  ck_assert (wire_shard_load_message (
      &out, (struct str){ 6, "\x94\x33\x01\x00\xc4\x00" }));
  wire_shard_unload_message (&out);
}
END_TEST

/* Guards against a shard object or a recorded outcome that another daemon
   decodes differently, and against accepting a truncated one.  */
START_TEST (values_round_trip)
{
  struct lease_object in = { { 1, 2 }, 3, { { 4, 5 }, { 6, 7 } }, 6000, true };
  struct lease_object object;
  struct wire_shard_outcome first
      = { 201, STR_LIT ("text/plain"), { 3, "a\0b" } };
  struct wire_shard_outcome outcome;
  struct str_buf b = { 0 };

  wire_shard_append_object (&b, &in);
  ck_assert (wire_shard_load_object (&object, str_view (&b)));
  ck_assert (lease_equal_daemon (object.holder, in.holder));
  ck_assert (lease_equal_daemon (object.candidates[1], in.candidates[1]));
  ck_assert_uint_eq (object.epoch, 3);
  ck_assert_uint_eq (object.term_ms, 6000);
  ck_assert (object.released);
  for (size_t len = 0; len < b.len; len++)
    ck_assert (
        !wire_shard_load_object (&object, str_slice (str_view (&b), 0, len)));
  b.len = 0;
  wire_shard_append_outcome (&b, &first);
  for (size_t len = 0; len < b.len; len++)
    ck_assert (!wire_shard_load_outcome (&outcome,
                                         str_slice (str_view (&b), 0, len)));
  ck_assert (wire_shard_load_outcome (&outcome, str_view (&b)));
  ck_assert_uint_eq (outcome.status, 201);
  ck_assert (str_equal (outcome.body, first.body));
  ck_assert (str_equal (outcome.content_type, first.content_type));
  str_free (&outcome.body);
  str_free (&outcome.content_type);
  str_reset (&b);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wire_shard");
  TCase *tc = tcase_create ("wire_shard");
  SRunner *runner;
  int failed;

  tcase_add_loop_test (tc, messages_round_trip, 0, G_N_ELEMENTS (samples));
  tcase_add_loop_test (tc, malformed_frames_are_rejected_or_decoded, 0,
                       G_N_ELEMENTS (samples));
  tcase_add_test (tc, values_out_of_range_are_rejected);
  tcase_add_test (tc, values_round_trip);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
