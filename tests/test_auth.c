/* Tests of auth: a key is recognized in every form, so that it can be checked
   and is not forwarded to a backend server.  */

#include "auth.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

#define SEED 11
#define ROUNDS 500

static const struct str key = STR_LIT ("ak_Zk/9+q=LmN0pQrSt");

static struct wire_header
make_header (const char *name, const char *value)
{
  return (struct wire_header){ str_from_cstr (name), str_from_cstr (value) };
}

static bool
find (void *owner, const uint8_t digest[AUTH_DIGEST_BYTES],
      struct auth_identity *identity)
{
  if (memcmp (owner, digest, AUTH_DIGEST_BYTES) != 0)
    return false;
  identity->workspace = STR_LIT ("w1");
  return true;
}

/* Guards against a key header that is not recognized, and against a header of
   another authentication scheme that is read as a key.  */
START_TEST (key_is_found_in_each_header_form)
{
  static const char *const names[]
      = { "Authorization", "authorization", "AUTHORIZATION", "X-Api-Key",
          "x-api-key" };
  static const char *const before[]
      = { "Bearer ", "bearer  ", "BEARER\t", "", " " };
  struct str found;

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *value = g_strconcat (before[i], key.data, " ", NULL);
      struct wire_header h = make_header (names[i], value);

      ck_assert_int_eq (auth_find_key (&h, 1, &found), ERR_NONE);
      ck_assert (str_equal (found, key));
      g_free (value);
    }
  struct wire_header basic = make_header ("Authorization", "Basic abcdef");
  struct wire_header bare = make_header ("Authorization", "Bearer");

  ck_assert_int_eq (auth_find_key (&basic, 1, &found), ERR_KEY_MISSING);
  ck_assert_int_eq (auth_find_key (&bare, 1, &found), ERR_KEY_MISSING);
}
END_TEST

/* Guards against a request that is authenticated with one key and also
   contains another one, which is neither checked nor searched for in what is
   forwarded.  */
START_TEST (two_different_keys_are_rejected)
{
  struct wire_header h[]
      = { make_header ("X-Api-Key", "0123456789abcdef"),
          make_header ("Authorization", "Bearer 0123456789abcdef") };
  struct str found;

  ck_assert_int_eq (auth_find_key (h, 2, &found), ERR_NONE);
  h[1] = make_header ("Authorization", "Bearer fedcba9876543210");
  ck_assert_int_eq (auth_find_key (h, 2, &found), ERR_BAD_REQUEST);
}
END_TEST

/* Guards against an unknown, revoked or short key that is accepted.  The
   digest of "abc" is a published test vector of SHA-256.  */
START_TEST (only_known_key_is_accepted)
{
  static const uint8_t abc[4] = { 0xba, 0x78, 0x16, 0xbf };
  uint8_t digest[AUTH_DIGEST_BYTES];
  struct auth_lookup lookup = { find, digest };
  struct wire_header h = make_header ("X-Api-Key", key.data);
  struct auth_identity identity;
  struct str found;

  auth_hash_key (STR_LIT ("abc"), digest);
  ck_assert_mem_eq (digest, abc, sizeof abc);
  ck_assert_int_eq (auth_check (&h, 1, &lookup, &found, &identity),
                    ERR_KEY_UNKNOWN);
  auth_hash_key (key, digest);
  ck_assert_int_eq (auth_check (&h, 1, &lookup, &found, &identity), ERR_NONE);
  ck_assert (str_equal (identity.workspace, STR_LIT ("w1")));
  auth_hash_key (STR_LIT ("short"), digest);
  h = make_header ("X-Api-Key", "short");
  ck_assert_int_eq (auth_check (&h, 1, &lookup, &found, &identity),
                    ERR_KEY_UNKNOWN);
}
END_TEST

/* Guards against a header that is forwarded although it is not in the
   allow-list; any such header could contain the key.  */
START_TEST (only_listed_headers_are_forwarded)
{
  struct wire_header in[] = {
    make_header ("Authorization", "x"),   make_header ("X-Api-Key", "x"),
    make_header ("Cookie", "x"),          make_header ("Referer", "x"),
    make_header ("Content-Type", "y"),    make_header ("X-Other", "x"),
    make_header ("Accept", "y"),          make_header ("Connection", "x"),
    make_header ("Content-Encoding", "x")
  };
  struct wire_header out[2];

  ck_assert_uint_eq (
      auth_filter_headers (in, G_N_ELEMENTS (in), auth_is_forwarded, out, 2),
      2);
  ck_assert (str_equal (out[0].value, STR_LIT ("y")));
  ck_assert (str_equal (out[1].value, STR_LIT ("y")));
  ck_assert_uint_eq (
      auth_filter_headers (in, G_N_ELEMENTS (in), auth_is_forwarded, out, 1),
      1);
}
END_TEST

/* Returns the key with each byte encoded at the given probability.  */
static struct str
encode (GRand *rand, int form, double probability)
{
  static const char *const formats[] = {
    "%%%02x", "%%%02X", "%%25%02x", "\\u%04x", "%%5cu%04x", "%%2525%02X"
  };
  struct str_buf b = { 0 };

  for (size_t i = 0; i < key.len; i++)
    if (g_rand_double (rand) >= probability)
      str_append_char (&b, key.data[i]);
    else
      {
        char *code = g_strdup_printf (formats[form], key.data[i]);

        str_append (&b, str_from_cstr (code));
        g_free (code);
      }
  return str_take (&b);
}

/* Expects that the key is found in the path, the query, a header and a body in
   parts.  */
static void
expect_found (struct str encoded, GRand *rand)
{
  struct str_buf b = { 0 };
  struct wire_header h = { STR_LIT ("accept"), encoded };
  struct auth_scan scan;
  size_t cut;

  /* The text before the key contains a malformed escape, and ends with '/'
     because "%2" would form an escape with the key's first byte.  */
  str_append (&b, STR_LIT ("/a%2/"));
  str_append (&b, encoded);
  ck_assert (auth_contains_key (key, str_view (&b), NULL, 0));
  str_append (&b, STR_LIT ("/b?q=1"));
  ck_assert (auth_contains_key (key, str_view (&b), NULL, 0));
  ck_assert (auth_contains_key (key, STR_LIT ("/"), &h, 1));
  cut = (size_t)g_rand_int_range (rand, 0, (gint32)b.len);
  auth_init_scan (&scan, key);
  auth_scan_part (&scan, str_slice (str_view (&b), 0, cut));
  auth_scan_part (&scan, STR_EMPTY);
  ck_assert (auth_scan_part (&scan, str_slice (str_view (&b), cut, b.len)));
  ck_assert (auth_scan_part (&scan, STR_LIT ("x")));
  auth_close_scan (&scan);
  str_reset (&b);
}

/* Guards against an encoding of the key that the search does not find, so that
   the key reaches a backend server (requirement R4 of docs/design.md).  */
START_TEST (key_is_found_in_each_encoding)
{
  GRand *rand = g_rand_new_with_seed (SEED);

  expect_found (key, rand);
  for (int i = 0; i < ROUNDS; i++)
    for (int form = 0; form < 6; form++)
      {
        struct str encoded = encode (rand, form, i % 2 == 0 ? 1.0 : 0.4);

        expect_found (encoded, rand);
        str_free (&encoded);
      }
  g_rand_free (rand);
}
END_TEST

/* Guards against requests that are rejected although they do not contain the
   key: searches a body of 8 MiB that repeats all but the last byte of the
   key.  */
START_TEST (text_without_key_is_accepted)
{
  struct str_buf part = { 0 };
  struct auth_scan scan;

  ck_assert (!auth_contains_key (key, STR_LIT ("/a%zz%2?x=%25%32%35+\\u12"),
                                 NULL, 0));
  while (part.len < 256 * 1024)
    str_append (&part, str_slice (key, 0, key.len - 1));
  auth_init_scan (&scan, key);
  for (int i = 0; i < 32; i++)
    ck_assert (!auth_scan_part (&scan, str_view (&part)));
  ck_assert_uint_lt (scan.tail.len, 1024);
  auth_close_scan (&scan);
  str_reset (&part);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { key_is_found_in_each_header_form, two_different_keys_are_rejected,
          only_known_key_is_accepted,       only_listed_headers_are_forwarded,
          key_is_found_in_each_encoding,    text_without_key_is_accepted };

  return suite_run ("auth", cases, G_N_ELEMENTS (cases));
}
