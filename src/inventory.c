/* inventory: the tables of services, routes, workspaces, keys and rules.  */

#include "inventory_value.h"

#include <apr_general.h>
#include <string.h>

/* Constants */

/* Default importance of a route: the middle of 0..9, so that rules can raise
   or lower it.  */
#define IMPORTANCE_DEFAULT 5u
#define TIMEOUT_MS_DEFAULT 2000u
#define TIMEOUT_MS_MAX 600000u
#define RETRY_BUDGET_DEFAULT 2u
#define RETRY_BUDGET_MAX 16u
#define RATE_PER_S_MAX 10000000u
#define WEIGHT_MAX 1000u
#define SHARE_WEIGHT_MAX 1000000u
#define ORDER_MAX 1000000u
/* One million requests per second, as for workspaces.  */
#define COLD_PER_1000_S_MAX 1000000000u
/* The precedence of a workspace limits the importance of its requests to one
   of three values: precedence 1 to 0..2, precedence 2 to 3..5, precedence 3 to
   6..8.  */
#define PRECEDENCE_MAX 3u
#define PRECEDENCE_STEPS 3u

/* clang-format off */
#define REFERENCE(row, member, kind, to) \
  .name = #member, .type = INVENTORY_TYPE_##kind, \
  .offset = offsetof (struct inventory_##row, member), .referenced_kind = to
#define FIELD(row, member, kind) REFERENCE (row, member, kind, INVENTORY_KINDS)

static const struct inventory_field service_fields[] = {
  { FIELD (service, name, STR), .required = true },
  { FIELD (service, cold_start_ms, UINT), .max = TIMEOUT_MS_MAX, .omitted_if_default = true },
  { FIELD (service, cold_per_1000_s, UINT), .max = COLD_PER_1000_S_MAX, .omitted_if_default = true },
};

static const struct inventory_field route_fields[] = {
  { FIELD (route, name, STR), .required = true },
  { REFERENCE (route, service, STR, INVENTORY_SERVICE), .required = true },
  { FIELD (route, host, STR) },
  { FIELD (route, split, NAMES) },
  { FIELD (route, path_prefix, STR), .required = true, .format = INVENTORY_FORMAT_PATH },
  { FIELD (route, methods, METHODS), .default_value = INVENTORY_GET | INVENTORY_HEAD },
  { FIELD (route, open, BOOL) },
  { FIELD (route, idempotent, BOOL) },
  { FIELD (route, idempotency_key, IDEMPOTENCY) },
  { FIELD (route, importance, UINT), .max = INVENTORY_IMPORTANCE_MAX, .default_value = IMPORTANCE_DEFAULT },
  { FIELD (route, timeout_ms, UINT), .min = 1, .max = TIMEOUT_MS_MAX, .default_value = TIMEOUT_MS_DEFAULT },
  { FIELD (route, target_ms, UINT), .max = TIMEOUT_MS_MAX },
  { FIELD (route, retry_budget, UINT), .max = RETRY_BUDGET_MAX, .default_value = RETRY_BUDGET_DEFAULT },
  { FIELD (route, internal, BOOL) },
};

static const struct inventory_field workspace_fields[] = {
  { FIELD (workspace, name, STR), .required = true },
  { FIELD (workspace, rate_per_s, UINT), .required = true, .min = 1, .max = RATE_PER_S_MAX },
  { FIELD (workspace, burst, UINT), .required = true, .min = 1, .max = RATE_PER_S_MAX },
  { FIELD (workspace, weight, UINT), .min = 1, .max = WEIGHT_MAX, .default_value = 1 },
  { FIELD (workspace, precedence, UINT), .max = PRECEDENCE_MAX },
  { REFERENCE (workspace, routes, NAMES, INVENTORY_ROUTE) },
};

static const struct inventory_field key_fields[] = {
  { FIELD (key, id, STR), .required = true, .format = INVENTORY_FORMAT_KEY_ID },
  { FIELD (key, sha256, STR), .required = true, .format = INVENTORY_FORMAT_SHA256 },
  { REFERENCE (key, workspace, STR, INVENTORY_WORKSPACE), .required = true },
};

static const struct inventory_field rule_fields[] = {
  { FIELD (rule, name, STR), .required = true },
  { FIELD (rule, order, UINT), .required = true, .max = ORDER_MAX },
  { REFERENCE (rule, workspace, STR, INVENTORY_WORKSPACE) },
  { REFERENCE (rule, route, STR, INVENTORY_ROUTE) },
  { FIELD (rule, method, METHOD) },
  { FIELD (rule, importance, UINT), .required = true, .max = INVENTORY_IMPORTANCE_MAX },
};

#define SCHEMA(row, many) \
  { #row, many, sizeof (struct inventory_##row), \
    G_N_ELEMENTS (row##_fields), row##_fields }

static const struct inventory_schema schemas[INVENTORY_KINDS] = {
  [INVENTORY_SERVICE] = SCHEMA (service, "services"),
  [INVENTORY_ROUTE] = SCHEMA (route, "routes"),
  [INVENTORY_WORKSPACE] = SCHEMA (workspace, "workspaces"),
  [INVENTORY_KEY] = SCHEMA (key, "keys"),
  [INVENTORY_RULE] = SCHEMA (rule, "rules"),
};
/* clang-format on */

/* Internal functions: matching */

static bool
rule_matches (const struct inventory_rule *rule, struct str workspace,
              struct str route, uint32_t method)
{
  if (rule->workspace.len > 0 && !str_equal (rule->workspace, workspace))
    return false;
  if (rule->route.len > 0 && !str_equal (rule->route, route))
    return false;
  return rule->method == 0 || rule->method == method;
}

static bool
rule_precedes (const struct inventory_rule *a, const struct inventory_rule *b)
{
  if (a->order != b->order)
    return a->order < b->order;
  return str_compare (a->name, b->name) < 0;
}

/* Parses "SERVICE:WEIGHT", an entry of a route's split.  Returns the weight,
   or 0 if the text is malformed; sets *service to a view of the service's
   name.  */
static uint64_t
parse_share (struct str share, struct str *service)
{
  const char *colon = memrchr (share.data, ':', share.len);
  uint64_t weight;

  if (colon == NULL)
    return 0;
  *service = str_slice (share, 0, (size_t)(colon - share.data));
  if (!str_parse_u64 (str_slice (share, service->len + 1, share.len), &weight)
      || weight > SHARE_WEIGHT_MAX)
    return 0;
  return weight;
}

/* Internal functions: tables */

static gpointer
initialize_apr (gpointer data)
{
  apr_initialize ();
  return NULL;
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  const struct str *const *x = a;
  const struct str *const *y = b;

  return str_compare (**x, **y);
}

static uint64_t
find_id (const struct inventory *inv, enum inventory_kind kind,
         struct str name)
{
  /* The index stores row ids as pointers.  */
  G_STATIC_ASSERT (sizeof (void *) >= sizeof (uint64_t));
  return (uint64_t)(uintptr_t)apr_hash_get (inv->index[kind], name.data,
                                            (apr_ssize_t)name.len);
}

static void
set_index (struct inventory *inv, enum inventory_kind kind,
           const struct str *name, uint64_t id)
{
  apr_hash_set (inv->index[kind], name->data, (apr_ssize_t)name->len,
                (void *)(uintptr_t)id);
}

/* Public functions */

/**
 * inventory_init - makes an empty inventory
 * @inv: inventory
 */
void
inventory_init (struct inventory *inv)
{
  static GOnce once = G_ONCE_INIT;

  g_once (&once, initialize_apr, NULL);
  *inv = (struct inventory){ 0 };
  apr_pool_create (&inv->pool, NULL);
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    {
      table_init (&inv->tables[kind], schemas[kind].row_size);
      inv->index[kind] = apr_hash_make (inv->pool);
    }
}

/**
 * inventory_close - frees all rows
 * @inv: inventory
 */
void
inventory_close (struct inventory *inv)
{
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    {
      struct table *t = &inv->tables[kind];
      void *row;

      for (uint64_t id = table_next (t, 0, &row); id != 0;
           id = table_next (t, id, &row))
        inventory_close_row (kind, row);
      table_close (t);
    }
  apr_pool_destroy (inv->pool);
  *inv = (struct inventory){ 0 };
}

/**
 * inventory_copy - copies an inventory
 * @to: uninitialized inventory
 * @from: inventory to copy
 */
void
inventory_copy (struct inventory *to, const struct inventory *from)
{
  inventory_init (to);
  to->revision = from->revision;
  to->limits = from->limits;
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    {
      const struct table *t = &from->tables[kind];
      void *row;

      for (uint64_t id = table_next (t, 0, &row); id != 0;
           id = table_next (t, id, &row))
        inventory_put (to, kind, row);
    }
}

/**
 * inventory_find - finds a row by name
 * @inv: inventory
 * @kind: kind of row
 * @name: name of the row
 *
 * Return: the row, or NULL if there is none.  The pointer is valid until the
 * row is replaced or removed.
 */
const void *
inventory_find (const struct inventory *inv, enum inventory_kind kind,
                struct str name)
{
  return table_get (&inv->tables[kind], find_id (inv, kind, name));
}

/**
 * inventory_put - adds a row or replaces the row with the same name
 * @inv: inventory
 * @kind: kind of row
 * @row: row; it is copied without validation
 */
void
inventory_put (struct inventory *inv, enum inventory_kind kind,
               const void *row)
{
  struct table *t = &inv->tables[kind];
  uint64_t id = find_id (inv, kind, *(const struct str *)row);
  union inventory_row copy;
  void *slot;

  inventory_copy_row (kind, &copy, row);
  if (id != 0)
    {
      slot = table_get (t, id);
      /* The index key points to the old row's name, which is freed next.  */
      set_index (inv, kind, slot, 0);
      inventory_close_row (kind, slot);
    }
  else
    id = table_add (t, &slot);
  memcpy (slot, &copy, t->row_size);
  set_index (inv, kind, slot, id);
}

/**
 * inventory_remove - removes a row
 * @inv: inventory
 * @kind: kind of row
 * @name: name of the row
 *
 * Return: false if there is no such row.
 */
bool
inventory_remove (struct inventory *inv, enum inventory_kind kind,
                  struct str name)
{
  uint64_t id = find_id (inv, kind, name);
  void *row = table_get (&inv->tables[kind], id);

  if (row == NULL)
    return false;
  set_index (inv, kind, row, 0);
  inventory_close_row (kind, row);
  table_remove (&inv->tables[kind], id);
  return true;
}

/**
 * inventory_list - lists the rows of a kind, sorted by name
 * @inv: inventory
 * @kind: kind of row
 *
 * Return: pointers to the rows; free with g_ptr_array_unref().
 */
GPtrArray *
inventory_list (const struct inventory *inv, enum inventory_kind kind)
{
  const struct table *t = &inv->tables[kind];
  GPtrArray *rows = g_ptr_array_sized_new (t->count);
  void *row;

  for (uint64_t id = table_next (t, 0, &row); id != 0;
       id = table_next (t, id, &row))
    g_ptr_array_add (rows, row);
  g_ptr_array_sort (rows, compare_names);
  return rows;
}

/**
 * inventory_match_rule - finds the rule that sets the importance of a request
 * @inv: inventory
 * @workspace: workspace of the request, empty on an open route
 * @route: name of the route
 * @method: one enum inventory_method
 *
 * Return: the first matching rule, sorted by order and name, or NULL.
 */
const struct inventory_rule *
inventory_match_rule (const struct inventory *inv, struct str workspace,
                      struct str route, uint32_t method)
{
  const struct table *t = &inv->tables[INVENTORY_RULE];
  const struct inventory_rule *first = NULL;
  void *row;

  for (uint64_t id = table_next (t, 0, &row); id != 0;
       id = table_next (t, id, &row))
    if (rule_matches (row, workspace, route, method)
        && (first == NULL || rule_precedes (row, first)))
      first = row;
  return first;
}

bool
inventory_allows_route (const struct inventory_workspace *workspace,
                        struct str route)
{
  for (uint32_t i = 0; i < workspace->routes.len; i++)
    if (str_equal (workspace->routes.items[i], route))
      return true;
  return workspace->routes.len == 0;
}

const struct inventory_schema *
inventory_get_schema (enum inventory_kind kind)
{
  return &schemas[kind];
}

enum inventory_kind
inventory_find_kind (struct str name)
{
  for (int kind = 0; kind < INVENTORY_KINDS; kind++)
    if (str_equal (name, str_from_cstr (schemas[kind].singular))
        || str_equal (name, str_from_cstr (schemas[kind].plural)))
      return kind;
  return INVENTORY_KINDS;
}

const struct inventory_field *
inventory_find_field (enum inventory_kind kind, struct str name)
{
  for (uint32_t i = 0; i < schemas[kind].fields_len; i++)
    if (str_equal (name, str_from_cstr (schemas[kind].fields[i].name)))
      return &schemas[kind].fields[i];
  return NULL;
}

/**
 * inventory_get_importance - returns the importance if no rule matches
 * @workspace: workspace, or NULL on an open route
 * @route: route
 *
 * The precedence of the workspace selects a range of three importances, and
 * the importance of the route a value within this range.
 *
 * Return: 0..9; without a precedence the importance of the route.
 */
uint32_t
inventory_get_importance (const struct inventory_workspace *workspace,
                          const struct inventory_route *route)
{
  uint32_t step
      = route->importance * PRECEDENCE_STEPS / (INVENTORY_IMPORTANCE_MAX + 1);

  if (workspace == NULL || workspace->precedence == 0)
    return route->importance;
  return (workspace->precedence - 1) * PRECEDENCE_STEPS + step;
}

/**
 * inventory_pick_service - selects the service for one request of a route
 * @route: route
 * @point: random number in [0, 1)
 *
 * Return: view of the service's name.  With a split each service is selected
 * in proportion to its weight; without one it is the route's service.
 */
struct str
inventory_pick_service (const struct inventory_route *route, double point)
{
  struct str service = route->service;
  uint64_t total = 0;
  uint64_t at;

  for (uint32_t i = 0; i < route->split.len; i++)
    total += parse_share (route->split.items[i], &service);
  if (total == 0)
    return route->service;
  at = (uint64_t)(point * (double)total);
  for (uint32_t i = 0; i < route->split.len; i++)
    {
      uint64_t weight = parse_share (route->split.items[i], &service);

      if (at < weight)
        return service;
      at -= weight;
    }
  return service;
}
