/* Tests of wire_control and wire_reader: round trips, malformed input and the
   size estimate of datagrams.  */

#include "fleet_sim.h"
#include "frame.h"

#include <check.h>

#define SEED 4712
#define MUTATIONS 20000

static char service[32];

/* A datagram whose members have their longest encoding: IPv6 addresses and the
   largest numbers.  */
static struct gossip_datagram
sample_ack (void)
{
  struct gossip_datagram d = { .type = GOSSIP_ACK,
                               .from = UINT64_MAX,
                               .incarnation = UINT64_MAX - 1,
                               .seq = UINT32_MAX,
                               .hold_ms = 999,
                               .revision = UINT64_MAX,
                               .entries_len = 2,
                               .changes_len = 1 };

  d.evidence = (struct freshness_evidence){ .has_read = true,
                                            .revision = UINT64_MAX,
                                            .age_us = 1001,
                                            .outage_reports_len
                                            = FRESHNESS_DOMAINS_MAX };
  for (uint32_t i = 0; i < FRESHNESS_DOMAINS_MAX; i++)
    {
      d.evidence.outage_reports[i].domain = UINT32_MAX - i;
      d.evidence.outage_reports[i].revision = UINT64_MAX - i;
      d.evidence.outage_reports[i].age_us = 5000;
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      d.entries[i] = fleet_sim_get_entry (i, 9, 2, service);
      d.entries[i].domain = d.entries[i].slots = UINT32_MAX;
      d.entries[i].full = i == 0;
      memset (d.entries[i].address.ip, 0xfe, MEMBER_IP_BYTES);
      memset (d.entries[i].address.ports, 0xff,
              sizeof d.entries[i].address.ports);
      d.entries[i].liveness = MEMBER_DEAD;
      d.entries[i].backend = MEMBER_BACKEND_LEAVING;
    }
  d.changes[0] = (struct gossip_change){ UINT64_MAX, { 3, "a\0b" } };
  return d;
}

/* Guards against members that are swapped, against ages of evidence that are
   rounded down (1001 us has to become 2 ms), and against a size estimate of
   gossip_datagram_bytes that is too low.  */
START_TEST (datagram_round_trip)
{
  struct gossip_datagram in = sample_ack ();
  struct wire_control_message out;
  struct gossip_datagram *d = &out.u.datagram;
  struct str_buf b = { 0 };

  wire_control_append_datagram (&b, &in);
  ck_assert_uint_le (b.len, gossip_datagram_bytes (&in));
  ck_assert (wire_control_load_message (&out, str_view (&b)));
  ck_assert_int_eq (out.type, WIRE_ACK);
  ck_assert_uint_eq (d->from, in.from);
  ck_assert_uint_eq (d->incarnation, in.incarnation);
  ck_assert_uint_eq (d->seq, in.seq);
  ck_assert_uint_eq (d->revision, in.revision);
  ck_assert_uint_eq (d->hold_ms, 999);
  ck_assert_int_eq (d->evidence.age_us, 2000);
  ck_assert_uint_eq (d->evidence.outage_reports_len, FRESHNESS_DOMAINS_MAX);
  ck_assert_uint_eq (d->evidence.outage_reports[15].domain, UINT32_MAX - 15);
  ck_assert_uint_eq (d->entries_len, 2);
  ck_assert (d->entries[0].full && !d->entries[1].full);
  ck_assert (str_equal (d->entries[0].service, in.entries[0].service));
  ck_assert_mem_eq (&d->entries[0].address, &in.entries[0].address,
                    sizeof in.entries[0].address);
  ck_assert_uint_eq (d->entries[1].service_hash, in.entries[1].service_hash);
  ck_assert_int_eq (d->entries[1].liveness, MEMBER_DEAD);
  ck_assert_int_eq (d->entries[1].backend, MEMBER_BACKEND_LEAVING);
  ck_assert (str_equal (d->changes[0].bytes, in.changes[0].bytes));
  wire_control_unload_message (&out);
  str_reset (&b);
}
END_TEST

static struct str
encode_frame (const struct wire_control_message *m)
{
  struct str_buf b = { 0 };
  struct str payload;

  wire_control_append_frame (&b, m);
  payload = str_copy (str_slice (str_view (&b), FRAME_HEADER_BYTES, b.len));
  str_reset (&b);
  return payload;
}

/* Guards against digests that are decoded in another byte order and against
   lists that lose elements.  */
START_TEST (frames_round_trip)
{
  struct gossip_datagram d = sample_ack ();
  struct wire_control_message in = { .type = WIRE_SYNC_MEMBERS }, out;
  struct str bytes;

  in.u.sync.max_bytes = 77;
  in.u.sync.window = 7;
  for (uint32_t i = 0; i < MEMBER_WINDOW_BUCKETS; i++)
    in.u.sync.digests[i] = i * 0x01020304u;
  bytes = encode_frame (&in);
  ck_assert (wire_control_load_message (&out, bytes));
  ck_assert_uint_eq (out.u.sync.max_bytes, 77);
  ck_assert_uint_eq (out.u.sync.window, 7);
  ck_assert_mem_eq (out.u.sync.digests, in.u.sync.digests,
                    sizeof in.u.sync.digests);
  wire_control_unload_message (&out);
  str_free (&bytes);
  in = (struct wire_control_message){ .type = WIRE_MEMBERS };
  in.u.members.service_hash = 5;
  in.u.members.complete = true;
  in.u.members.entries_len = 2;
  in.u.members.entries = d.entries;
  bytes = encode_frame (&in);
  ck_assert (wire_control_load_message (&out, bytes));
  ck_assert (out.u.members.complete);
  ck_assert_uint_eq (out.u.members.entries_len, 2);
  ck_assert_uint_eq (out.u.members.entries[1].id, d.entries[1].id);
  wire_control_unload_message (&out);
  str_free (&bytes);
  in = (struct wire_control_message){ .type = WIRE_CHANGES };
  in.u.changes.available = true;
  in.u.changes.changes_len = 1;
  in.u.changes.changes = d.changes;
  bytes = encode_frame (&in);
  ck_assert (wire_control_load_message (&out, bytes));
  ck_assert_uint_eq (out.u.changes.changes[0].revision, UINT64_MAX);
  wire_control_unload_message (&out);
  str_free (&bytes);
  in = (struct wire_control_message){ .type = WIRE_PULL_CHANGES };
  in.u.pull.revision = 6;
  bytes = encode_frame (&in);
  ck_assert (wire_control_load_message (&out, bytes));
  ck_assert_uint_eq (out.u.pull.revision, 6);
  wire_control_unload_message (&out);
  str_free (&bytes);
}
END_TEST

/* Guards against a crash or a memory leak on malformed bytes.  Decodes every
   truncation of a valid datagram and of a valid frame, which has to be
   rejected, and random byte changes of them, which can leave valid bytes.  */
START_TEST (malformed_bytes_are_rejected_or_decoded)
{
  struct gossip_datagram d = sample_ack ();
  struct wire_control_message m = { .type = WIRE_MEMBERS }, out;
  GRand *rand = g_rand_new_with_seed (SEED);
  struct str_buf b = { 0 };
  struct str valid[2];

  wire_control_append_datagram (&b, &d);
  valid[0] = str_take (&b);
  m.u.members.entries_len = 2;
  m.u.members.entries = d.entries;
  valid[1] = encode_frame (&m);
  for (int k = 0; k < 2; k++)
    {
      for (size_t len = 0; len < valid[k].len; len++)
        ck_assert (
            !wire_control_load_message (&out, str_slice (valid[k], 0, len)));
      for (int i = 0; i < MUTATIONS; i++)
        {
          struct str copy = str_copy (valid[k]);
          int changes = g_rand_int_range (rand, 1, 4);

          while (changes-- > 0)
            ((char *)copy.data)[g_rand_int_range (rand, 0, (gint32)copy.len)]
                = (char)g_rand_int (rand);
          if (wire_control_load_message (&out, copy))
            wire_control_unload_message (&out);
          str_free (&copy);
        }
      str_free (&valid[k]);
    }
  g_rand_free (rand);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wire_control");
  TCase *tc = tcase_create ("wire_control");
  SRunner *runner;
  int failed;

  tcase_add_test (tc, datagram_round_trip);
  tcase_add_test (tc, frames_round_trip);
  tcase_add_test (tc, malformed_bytes_are_rejected_or_decoded);
  suite_add_tcase (suite, tc);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
