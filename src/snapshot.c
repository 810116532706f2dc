/* snapshot: the immutable view of configuration and endpoints that traffic
   threads use.  */

#include "snapshot.h"

#include <string.h>

/* Internal functions */

static guint
hash_digest (gconstpointer digest)
{
  guint h;

  memcpy (&h, digest, sizeof h);
  return h;
}

static gboolean
equal_digest (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, AUTH_DIGEST_BYTES) == 0;
}

static void
release_config (struct refcount *ref)
{
  struct snapshot_config *c = (struct snapshot_config *)ref;

  g_hash_table_unref (c->keys);
  route_close_map (&c->routes);
  route_close_map (&c->hosts);
  inventory_close (&c->inventory);
  g_free (c);
}

static void
release_snapshot (struct refcount *ref)
{
  struct snapshot *s = (struct snapshot *)ref;

  for (uint32_t i = 0; i < s->endpoints_len; i++)
    {
      str_free (&s->endpoints[i].address);
      str_free (&s->endpoints[i].service);
    }
  g_free (s->endpoints);
  refcount_put (&s->config->ref);
  g_free (s);
}

static bool
parse_digest (struct str hex, uint8_t *digest)
{
  if (hex.len != 2 * (size_t)AUTH_DIGEST_BYTES)
    return false;
  for (uint32_t i = 0; i < AUTH_DIGEST_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (hex.data[2 * (size_t)i]);
      int low = g_ascii_xdigit_value (hex.data[2 * (size_t)i + 1]);

      if (high < 0 || low < 0)
        return false;
      digest[i] = (uint8_t)(high * 16 + low);
    }
  return true;
}

static void
index_keys (struct snapshot_config *c)
{
  const struct table *keys = &c->inventory.tables[INVENTORY_KEY];
  struct inventory_key *key;

  for (uint64_t id = table_next (keys, 0, (void **)&key); id != 0;
       id = table_next (keys, id, (void **)&key))
    {
      uint8_t *digest = g_malloc (AUTH_DIGEST_BYTES);

      if (parse_digest (key->sha256, digest))
        g_hash_table_insert (c->keys, digest, key);
      else
        g_free (digest);
    }
}

static void
add_host_route (struct snapshot_config *c, const struct inventory_route *route,
                uint64_t id)
{
  struct str_buf prefix = { 0 };

  str_append (&prefix, route->host);
  str_append (&prefix, route->path_prefix);
  route_add (&c->hosts, str_view (&prefix), route->methods, id);
  str_reset (&prefix);
}

static void
index_routes (struct snapshot_config *c)
{
  const struct table *routes = &c->inventory.tables[INVENTORY_ROUTE];
  struct inventory_route *route;

  route_init_map (&c->routes);
  route_init_map (&c->hosts);
  for (uint64_t id = table_next (routes, 0, (void **)&route); id != 0;
       id = table_next (routes, id, (void **)&route))
    if (route->host.len == 0)
      route_add (&c->routes, route->path_prefix, route->methods, id);
    else
      add_host_route (c, route, id);
}

static bool
find_key (void *owner, const uint8_t digest[AUTH_DIGEST_BYTES],
          struct auth_identity *identity)
{
  struct snapshot *s = owner;
  const struct inventory_key *key
      = g_hash_table_lookup (s->config->keys, digest);

  if (key == NULL)
    return false;
  identity->key = str_hash (key->id);
  identity->workspace = key->workspace;
  return true;
}

/* Public functions */

/**
 * snapshot_load_config - copies and indexes the configuration
 * @inventory: validated inventory
 *
 * Return: the copy, with one reference.
 */
struct snapshot_config *
snapshot_load_config (const struct inventory *inventory)
{
  struct snapshot_config *c = g_new0 (struct snapshot_config, 1);

  refcount_init (&c->ref, release_config);
  inventory_copy (&c->inventory, inventory);
  c->keys = g_hash_table_new_full (hash_digest, equal_digest, g_free, NULL);
  index_keys (c);
  index_routes (c);
  return c;
}

/**
 * snapshot_load - creates a snapshot
 * @config: configuration; the snapshot adds a reference of its own
 * @endpoints: endpoints, copied
 * @endpoints_len: number of endpoints
 *
 * Return: the snapshot, with one reference.
 */
struct snapshot *
snapshot_load (struct snapshot_config *config,
               const struct snapshot_endpoint *endpoints,
               uint32_t endpoints_len)
{
  struct snapshot *s = g_new0 (struct snapshot, 1);

  refcount_init (&s->ref, release_snapshot);
  refcount_get (&config->ref);
  s->config = config;
  s->endpoints_len = endpoints_len;
  s->endpoints = g_new (struct snapshot_endpoint, endpoints_len);
  for (uint32_t i = 0; i < endpoints_len; i++)
    {
      s->endpoints[i] = endpoints[i];
      s->endpoints[i].address = str_copy (endpoints[i].address);
      s->endpoints[i].service = str_copy (endpoints[i].service);
    }
  return s;
}

void
snapshot_init_publisher (struct snapshot_publisher *p)
{
  *p = (struct snapshot_publisher){ 0 };
  g_mutex_init (&p->mutex);
}

void
snapshot_close_publisher (struct snapshot_publisher *p)
{
  snapshot_put (p->current);
  g_mutex_clear (&p->mutex);
}

void
snapshot_publish (struct snapshot_publisher *p, struct snapshot *s)
{
  struct snapshot *old;

  g_mutex_lock (&p->mutex);
  old = p->current;
  p->current = s;
  g_mutex_unlock (&p->mutex);
  atomic_fetch_add (&p->generation, 1);
  snapshot_put (old);
}

struct snapshot *
snapshot_get (struct snapshot_publisher *p)
{
  struct snapshot *s;

  g_mutex_lock (&p->mutex);
  s = p->current;
  if (s != NULL)
    refcount_get (&s->ref);
  g_mutex_unlock (&p->mutex);
  return s;
}

void
snapshot_put (struct snapshot *s)
{
  if (s != NULL)
    refcount_put (&s->ref);
}

/**
 * snapshot_find_route - finds the route of a request
 * @c: configuration
 * @method: HTTP method
 * @host: host name from the request, or an empty string
 * @path: path as received; its query is ignored
 * @route: set to the route that matches
 *
 * Routes with a host are searched before those without one.
 *
 * Return: %ERR_NONE if @route was set, else the reason.
 */
enum err_kind
snapshot_find_route (const struct snapshot_config *c, struct str method,
                     struct str host, struct str path,
                     const struct inventory_route **route)
{
  enum route_match match = ROUTE_NO_PATH;
  uint64_t id;

  if (c->hosts.entries.count > 0)
    match = route_find_at_host (&c->hosts, method, host, path, &id);
  if (match == ROUTE_NO_PATH)
    match = route_find (&c->routes, method, path, &id);
  switch (match)
    {
    case ROUTE_MATCHED:
      *route = table_get (&c->inventory.tables[INVENTORY_ROUTE], id);
      return ERR_NONE;
    case ROUTE_NO_PATH:
      return ERR_ROUTE_UNKNOWN;
    case ROUTE_NO_METHOD:
      return ERR_METHOD_NOT_ALLOWED;
    default:
      return ERR_BAD_REQUEST;
    }
}

struct auth_lookup
snapshot_get_key_lookup (struct snapshot *s)
{
  return (struct auth_lookup){ find_key, s };
}
