/* Tests of platform_config: decoding the platform's configuration object.  */

#include "auth.h"
#include "platform_config.h"
#include "snapshot.h"
#include "suite.h"

static const char config[]
    = "{\"version\":7,"
      "\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\","
      "\"timeout\",\"targetLatency\",\"priority\",\"weightedSplit\","
      "\"maxAttempts\",\"public\",\"service\"],\"rows\":["
      "[\"r1\",\"h.example\",\"/a/\",\"safe\",\"1200ms\",\"1500ms\",2,"
      "[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}]"
      ",2,false,null],"
      "[\"r2\",\"h.example\",\"/a/b/\",\"unsafe\",\"1.5s\",\"2s\",0,null,1,"
      "false,\"s2\"],"
      "[\"r3\",\"i.example\",\"/a/\",\"upload\",\"1s\",\"2s\",1,null,null,"
      "true,\"s2\"],"
      "[\"r4\",\"k.example\",\"/d/\",\"download\",\"1s\",\"2s\",1,null,2,"
      "false,\"s2\"]]},"
      "\"services\":{\"columns\":[\"name\",\"healthPath\",\"coldStart\","
      "\"coldPerS\"],\"rows\":[[\"s1\",\"/healthz\",\"3s\",11.5],"
      "[\"s2\",\"/healthz\",null,null],[\"s3\",\"/healthz\",\"3s\",11],"
      "[\"s4\",\"/healthz\",3,11],[\"s5\",\"/healthz\",\"3s\",-1]]},"
      "\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\","
      "\"ratePerS\",\"burst\"],\"rows\":["
      "[\"w1\",[\"aaaaaaaaaaaaaaaaaaaa\"],0,134,100],"
      "[\"w2\",[],1,null,null]]},\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
      "\"idleTimeout\":15},\"baseVersion\":5}";

/* Returns the route of a request, or NULL if there is none.  */
static const struct inventory_route *
find (const struct snapshot_config *c, const char *host, const char *path)
{
  const struct inventory_route *route = NULL;

  if (snapshot_find_route (c, STR_LIT ("GET"), str_from_cstr (host),
                           str_from_cstr (path), &route)
      != ERR_NONE)
    return NULL;
  return route;
}

/* Guards against a warm-up limit that is lost on the way to the snapshot, and
   against one where the configuration has none or a senseless one.  */
START_TEST (warm_up_limits_are_decoded)
{
  static const struct
  {
    const char *service;
    uint32_t start_ms;
    uint32_t per_1000_s;
  } cases[] = { { "s1", 3000, 11500 },
                { "s2", 0, 0 },
                { "s3", 3000, 11000 },
                { "s4", 0, 0 },
                { "s5", 0, 0 } };
  struct inventory inventory;
  struct snapshot_config *c;

  ck_assert (platform_config_load (&inventory, STR_LIT (config), NULL));
  c = snapshot_load_config (&inventory);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const struct inventory_service *s = inventory_find (
          &c->inventory, INVENTORY_SERVICE, str_from_cstr (cases[i].service));

      ck_assert_uint_eq (s->cold_start_ms, cases[i].start_ms);
      ck_assert_uint_eq (s->cold_per_1000_s, cases[i].per_1000_s);
    }
  refcount_put (&c->ref);
  inventory_close (&inventory);
}
END_TEST

/* Guards against a request that is matched to a route of another host or with
   a shorter prefix, and against a prefix that matches without its last
   slash.  */
START_TEST (host_and_longest_prefix_select_the_route)
{
  struct inventory inventory;
  struct snapshot_config *c;

  ck_assert (platform_config_load (&inventory, STR_LIT (config), NULL));
  ck_assert_uint_eq (inventory.revision, 7);
  c = snapshot_load_config (&inventory);
  ck_assert (str_equal (find (c, "h.example", "/a/x")->name, STR_LIT ("r1")));
  ck_assert (
      str_equal (find (c, "h.example:80", "/a/b/x")->name, STR_LIT ("r2")));
  ck_assert (str_equal (find (c, "h.example", "/a/bc")->name, STR_LIT ("r1")));
  ck_assert (
      str_equal (find (c, "i.example", "/a/b/x?q")->name, STR_LIT ("r3")));
  ck_assert (str_equal (find (c, "h.example", "/a/b")->name, STR_LIT ("r1")));
  ck_assert_ptr_null (find (c, "h.example", "/a"));
  ck_assert_ptr_null (find (c, "h.example", "/b/"));
  ck_assert_ptr_null (find (c, "j.example", "/a/x"));
  refcount_put (&c->ref);
  inventory_close (&inventory);
}
END_TEST

/* Guards against an upload that is retried, against a download that is not,
   against more attempts than the
   operator configured and against durations in the wrong unit.  */
START_TEST (kinds_and_numbers_are_decoded)
{
  const struct inventory_workspace *w1, *w2;
  const struct inventory_route *r1, *r2, *r3;
  struct inventory inventory;

  ck_assert (platform_config_load (&inventory, STR_LIT (config), NULL));
  r1 = inventory_find (&inventory, INVENTORY_ROUTE, STR_LIT ("r1"));
  r2 = inventory_find (&inventory, INVENTORY_ROUTE, STR_LIT ("r2"));
  r3 = inventory_find (&inventory, INVENTORY_ROUTE, STR_LIT ("r3"));
  ck_assert (r1->idempotent && !r2->idempotent && !r3->idempotent);
  ck_assert (((const struct inventory_route *)inventory_find (
                  &inventory, INVENTORY_ROUTE, STR_LIT ("r4")))
                 ->idempotent);
  ck_assert_uint_eq (r1->timeout_ms, 1200);
  ck_assert_uint_eq (r2->timeout_ms, 1500);
  ck_assert_uint_eq (r1->retry_budget, 1);
  ck_assert_uint_eq (r2->retry_budget, 0);
  ck_assert (r3->open && !r1->open);
  ck_assert (str_equal (inventory_pick_service (r1, 0.89), STR_LIT ("s1")));
  ck_assert (str_equal (inventory_pick_service (r1, 0.91), STR_LIT ("s2")));
  ck_assert (str_equal (inventory_pick_service (r2, 0.91), STR_LIT ("s2")));
  w1 = inventory_find (&inventory, INVENTORY_WORKSPACE, STR_LIT ("w1"));
  w2 = inventory_find (&inventory, INVENTORY_WORKSPACE, STR_LIT ("w2"));
  ck_assert_uint_eq (w1->rate_per_s, 134);
  ck_assert_uint_eq (w2->rate_per_s, 0);
  inventory_close (&inventory);
}
END_TEST

/* Guards against requests of the workspace with priority 1 (w2) that are more
   important than those of the workspace with priority 0 (w1), the highest.
   Also guards against calls of backend servers, which use the public route r3,
   that are rejected before requests of callers.  */
START_TEST (workspace_priority_outweighs_route_priority)
{
  const struct inventory_workspace *w1, *w2;
  const struct inventory_route *r1, *r2, *r3;
  struct inventory inventory;

  ck_assert (platform_config_load (&inventory, STR_LIT (config), NULL));
  r1 = inventory_find (&inventory, INVENTORY_ROUTE, STR_LIT ("r1"));
  r2 = inventory_find (&inventory, INVENTORY_ROUTE, STR_LIT ("r2"));
  r3 = inventory_find (&inventory, INVENTORY_ROUTE, STR_LIT ("r3"));
  w1 = inventory_find (&inventory, INVENTORY_WORKSPACE, STR_LIT ("w1"));
  w2 = inventory_find (&inventory, INVENTORY_WORKSPACE, STR_LIT ("w2"));
  ck_assert_uint_gt (inventory_get_importance (w1, r1),
                     inventory_get_importance (w2, r2));
  ck_assert_uint_gt (inventory_get_importance (w2, r2),
                     inventory_get_importance (w2, r1));
  ck_assert_uint_gt (inventory_get_importance (NULL, r3),
                     inventory_get_importance (w1, r2));
  inventory_close (&inventory);
}
END_TEST

/* Guards against a key that is stored in plain text or for another
   workspace.  */
START_TEST (keys_are_stored_as_digests)
{
  struct inventory inventory;
  struct inventory_key *key;

  ck_assert (platform_config_load (&inventory, STR_LIT (config), NULL));
  ck_assert_uint_eq (inventory.tables[INVENTORY_KEY].count, 1);
  table_next (&inventory.tables[INVENTORY_KEY], 0, (void **)&key);
  ck_assert_uint_eq (key->sha256.len, 2 * AUTH_DIGEST_BYTES);
  ck_assert (str_equal (key->workspace, STR_LIT ("w1")));
  inventory_close (&inventory);
}
END_TEST

/* Guards against a partly loaded configuration: an object that is truncated or
   has a member of another type is rejected entirely, with a reason.  */
START_TEST (malformed_objects_are_rejected)
{
  const char *const bad[]
      = { "",
          "[]",
          "{}",
          "{\"version\":\"7\"}",
          "{\"version\":7,\"services\":{},\"routes\":{}}",
          "{\"version\":7,\"services\":{\"columns\":[\"name\"],\"rows\":[[1]]}"
          ",\"routes\":{\"columns\":[],\"rows\":[]}}",
          "{\"version\":7,\"services\":{\"columns\":[],\"rows\":[]},"
          "\"routes\":{\"columns\":[\"name\"],\"rows\":[[\"r\"]]}}" };
  struct inventory inventory;

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      GError *error = NULL;

      ck_assert (
          !platform_config_load (&inventory, str_from_cstr (bad[i]), &error));
      ck_assert_ptr_nonnull (error);
      g_error_free (error);
    }
  for (size_t len = 0; len < sizeof config - 1; len++)
    ck_assert (
        !platform_config_load (&inventory, (struct str){ len, config }, NULL));
}
END_TEST

/* Guards against limits on callers that are not read, or are lost when the
   configuration is copied for the traffic threads.  */
START_TEST (limits_on_callers_are_read)
{
  struct inventory inventory;
  struct snapshot_config *c;
  const struct inventory_limits *l;

  ck_assert (platform_config_load (&inventory, STR_LIT (config), NULL));
  c = snapshot_load_config (&inventory);
  l = &c->inventory.limits;
  ck_assert_int_eq (l->headers_bytes, 16384);
  ck_assert_int_eq (l->body_bytes, 67108864);
  ck_assert_int_eq (l->header_timeout_us, 3000000);
  ck_assert_int_eq (l->idle_timeout_us, 0); /* not a duration */
  refcount_put (&c->ref);
  inventory_close (&inventory);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    warm_up_limits_are_decoded,    host_and_longest_prefix_select_the_route,
    kinds_and_numbers_are_decoded, workspace_priority_outweighs_route_priority,
    keys_are_stored_as_digests,    malformed_objects_are_rejected,
    limits_on_callers_are_read,
  };

  return suite_run ("platform_config", cases, sizeof cases / sizeof *cases);
}
