/* Tests of evacuation and registry_evacuation: the set of failure domains, and
   real daemon processes with the stand-in `machines`.  */

#include "evacuation.h"
#include "suite.h"

#include <glib.h>

static struct evacuation_domains
make_domains (const char *a, const char *b)
{
  struct evacuation_domains d = { 0 };

  if (a != NULL)
    evacuation_domains_add (&d, str_from_cstr (a));
  if (b != NULL)
    evacuation_domains_add (&d, str_from_cstr (b));
  return d;
}

/* Guards against an older set that replaces a newer one, whichever daemon it
   comes from and in whichever order.  */
START_TEST (newest_revision_wins)
{
  struct evacuation_domains sets[4]
      = { make_domains (NULL, NULL), make_domains ("z1", NULL),
          make_domains ("z1", "z2"), make_domains ("z2", NULL) };
  GRand *rand = g_rand_new_with_seed (3);

  for (int round = 0; round < 200; round++)
    {
      struct evacuation e = { 0 };
      uint64_t newest = 0;

      for (int i = 0; i < 20; i++)
        {
          uint64_t revision = (uint64_t)g_rand_int_range (rand, 1, 40);

          evacuation_apply (&e, revision, &sets[revision % 4], i);
          newest = MAX (newest, revision);
          ck_assert_uint_eq (e.revision, newest);
          ck_assert_uint_eq (e.domains.len, sets[newest % 4].len);
          ck_assert (evacuation_contains (&e, STR_LIT ("z1"))
                     == (newest % 4 == 1 || newest % 4 == 2));
        }
      evacuation_close (&e);
    }
  g_rand_free (rand);
}
END_TEST

/* Guards against a change that is not noticed, one that is noticed twice, and
   against an end that is forgotten or taken for a beginning.  */
START_TEST (changes_and_ends_are_noticed)
{
  struct evacuation_domains none = make_domains (NULL, NULL);
  struct evacuation_domains one = make_domains ("z1", NULL);
  struct evacuation_domains two = make_domains ("z2", "z1");
  struct evacuation e = { 0 };

  ck_assert (evacuation_apply (&e, 5, &none, 1));
  ck_assert (!evacuation_apply (&e, 6, &none, 2));
  ck_assert (evacuation_apply (&e, 7, &one, 3));
  ck_assert (evacuation_apply (&e, 8, &two, 4));
  ck_assert (!evacuation_apply (&e, 9, &two, 5));
  ck_assert (evacuation_apply (&e, 10, &one, 6));
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z2")), 6);
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z1")), 0);
  ck_assert (evacuation_apply (&e, 11, &none, 7));
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z1")), 7);
  evacuation_close (&e);
}
END_TEST

/* Guards against a set that is written past its end.  */
START_TEST (sets_have_a_limit)
{
  struct evacuation_domains d = { 0 };
  struct evacuation_domains none = { 0 };
  struct evacuation e = { 0 };
  char names[40][8];

  for (int round = 0; round < 2; round++)
    {
      d.len = 0;
      for (int i = 0; i < 20; i++)
        {
          g_snprintf (names[round * 20 + i], 8, "z%d", round * 20 + i);
          ck_assert (evacuation_domains_add (
                         &d, str_from_cstr (names[round * 20 + i]))
                     == (i < (int)EVACUATION_DOMAINS_MAX));
        }
      evacuation_apply (&e, 2 * (uint64_t)round + 1, &d, round);
      evacuation_apply (&e, 2 * (uint64_t)round + 2, &none, 10 + round);
    }
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z20")), 11);
  ck_assert_int_eq (evacuation_get_end_us (&e, STR_LIT ("z0")), 0);
  evacuation_close (&e);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { newest_revision_wins, changes_and_ends_are_noticed,
          sets_have_a_limit };

  return suite_run ("evacuation", cases, G_N_ELEMENTS (cases));
}
