/* inventory: the tables of services, routes, workspaces, keys and rules.

   Every row begins with its name, by which an index finds it.  The fields of
   each kind are described by a table, so that encoding, comparison and checks
   are written once for all kinds.  Names of other rows are resolved only by
   inventory_validate: rows may be added in any order.  */

#ifndef ALMONDVALE_INVENTORY_H
#define ALMONDVALE_INVENTORY_H

#include "str.h"
#include "table.h"

#include <apr_hash.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define INVENTORY_NAME_MAX_BYTES 64u
#define INVENTORY_PATH_MAX_BYTES 256u
#define INVENTORY_IMPORTANCE_MAX 9u

/* Types */

enum inventory_kind
{
  INVENTORY_SERVICE,
  INVENTORY_ROUTE,
  INVENTORY_WORKSPACE,
  INVENTORY_KEY,
  INVENTORY_RULE,
  INVENTORY_KINDS /* count of kinds */
};

/* HTTP methods, as bits of a set; the same bits as enum route_method.  */
enum inventory_method
{
  INVENTORY_GET = 1 << 0,
  INVENTORY_HEAD = 1 << 1,
  INVENTORY_POST = 1 << 2,
  INVENTORY_PUT = 1 << 3,
  INVENTORY_PATCH = 1 << 4,
  INVENTORY_DELETE = 1 << 5,
  INVENTORY_OPTIONS = 1 << 6
};

/* Whether callers of a route send an Idempotency-Key.  */
enum inventory_idempotency
{
  INVENTORY_IDEMPOTENCY_NONE,
  INVENTORY_IDEMPOTENCY_OPTIONAL,
  INVENTORY_IDEMPOTENCY_REQUIRED
};

/* Sorted names of other rows, each once.  */
struct inventory_names
{
  uint32_t len;
  struct str *items;
};

struct inventory_service
{
  struct str name;
};

struct inventory_route
{
  struct str name;
  struct str service;
  struct str host; /* host name of the requests, empty for any */
  struct str path_prefix;
  /* "SERVICE:WEIGHT" of the services that share the requests; empty: all go
     to `service` */
  struct inventory_names split;
  uint32_t methods;         /* set of enum inventory_method */
  bool open;                /* no key needed */
  bool idempotent;          /* running it twice does no harm */
  uint32_t idempotency_key; /* enum inventory_idempotency */
  uint32_t importance;      /* 0..9 unless a rule gives another */
  uint32_t timeout_ms;      /* for the whole call tree */
  uint32_t target_ms;       /* an answer within it has its full value; 0: the
                               timeout */
  uint32_t retry_budget;    /* extra attempts for the whole call tree */
  bool internal;            /* nested calls only */
};

struct inventory_workspace
{
  struct str name;
  uint32_t rate_per_s;           /* requests per second, over all VMs */
  uint32_t burst;                /* requests */
  uint32_t weight;               /* share among workspaces of one importance */
  uint32_t precedence;           /* 1..3: goes before workspaces with less,
                                    whatever the routes; 0: none */
  struct inventory_names routes; /* allowed routes; empty for all */
};

struct inventory_key
{
  struct str id;
  struct str sha256; /* lower-case hex of SHA-256 over the whole key */
  struct str workspace;
};

/* The rule with the lowest order that matches a request decides its
   importance; rules of equal order are tried by name.  */
struct inventory_rule
{
  struct str name;
  uint32_t order;
  struct str workspace; /* empty for any */
  struct str route;     /* empty for any */
  uint32_t method;      /* one enum inventory_method, 0 for any */
  uint32_t importance;  /* 0..9 */
};

union inventory_row
{
  struct str name;
  struct inventory_service service;
  struct inventory_route route;
  struct inventory_workspace workspace;
  struct inventory_key key;
  struct inventory_rule rule;
};

enum inventory_type
{
  INVENTORY_TYPE_STR,         /* struct str */
  INVENTORY_TYPE_BOOL,        /* bool */
  INVENTORY_TYPE_UINT,        /* uint32_t within min..max */
  INVENTORY_TYPE_IDEMPOTENCY, /* uint32_t, enum inventory_idempotency */
  INVENTORY_TYPE_METHODS,     /* uint32_t, set of enum inventory_method */
  INVENTORY_TYPE_METHOD,      /* uint32_t, enum inventory_method or 0 */
  INVENTORY_TYPE_NAMES        /* struct inventory_names */
};

/* What the text of a string field has to look like.  */
enum inventory_format
{
  INVENTORY_FORMAT_NAME,
  INVENTORY_FORMAT_KEY_ID,
  INVENTORY_FORMAT_PATH,
  INVENTORY_FORMAT_SHA256
};

struct inventory_field
{
  const char *name;
  enum inventory_type type;
  size_t offset; /* bytes from the start of the row */
  bool required; /* has no default */
  uint32_t min;  /* of an INVENTORY_TYPE_UINT */
  uint32_t max;
  uint32_t default_value; /* default of a number, set or bool */
  enum inventory_format format;
  enum inventory_kind
      referenced_kind; /* kind that is named, or INVENTORY_KINDS */
};

struct inventory_schema
{
  const char *singular; /* "route" */
  const char *plural;   /* "routes" */
  size_t row_size;
  uint32_t fields_len;
  const struct inventory_field *fields; /* the first is the name */
};

struct inventory
{
  uint64_t revision; /* of the last change applied; 0 when empty */
  struct table tables[INVENTORY_KINDS];
  apr_pool_t *pool;
  apr_hash_t *index[INVENTORY_KINDS]; /* row id by name */
};

/* Public functions */

/* empty inventory of revision 0 */
void inventory_init (struct inventory *inv);
/* frees all rows */
void inventory_close (struct inventory *inv);
/* fills an uninitialized inventory with a copy */
void inventory_copy (struct inventory *to, const struct inventory *from);
/* row of a name, or NULL */
const void *inventory_find (const struct inventory *inv,
                            enum inventory_kind kind, struct str name);
/* adds a copy of the row or replaces the one of the same name */
void inventory_put (struct inventory *inv, enum inventory_kind kind,
                    const void *row);
/* removes the row of a name; false if there is none */
bool inventory_remove (struct inventory *inv, enum inventory_kind kind,
                       struct str name);
/* rows in the order of their names; free with g_ptr_array_unref */
GPtrArray *inventory_list (const struct inventory *inv,
                           enum inventory_kind kind);
/* appends one line for each problem; gives their number */
uint32_t inventory_validate (const struct inventory *inv,
                             struct str_buf *problems);

/* service that one request of the route goes to; point is a number from 0 up
   to 1, exclusive, that selects among the shares of a split */
struct str inventory_pick_service (const struct inventory_route *route,
                                   double point);
/* rule that decides the importance, or NULL if the route's own holds */
const struct inventory_rule *inventory_match_rule (const struct inventory *inv,
                                                   struct str workspace,
                                                   struct str route,
                                                   uint32_t method);
/* importance of a request that no rule matches; workspace may be NULL */
uint32_t inventory_get_importance (const struct inventory_workspace *workspace,
                                   const struct inventory_route *route);
/* true if the workspace may use the route */
bool inventory_allows_route (const struct inventory_workspace *workspace,
                             struct str route);

/* description of a kind */
const struct inventory_schema *inventory_get_schema (enum inventory_kind kind);
/* kind of a singular or plural name, or INVENTORY_KINDS */
enum inventory_kind inventory_find_kind (struct str name);
/* field of a name, or NULL */
const struct inventory_field *inventory_find_field (enum inventory_kind kind,
                                                    struct str name);
/* row with the defaults */
void inventory_init_row (enum inventory_kind kind, union inventory_row *row);
/* frees what the row owns */
void inventory_close_row (enum inventory_kind kind, void *row);
/* fills an uninitialized row with a copy */
void inventory_copy_row (enum inventory_kind kind, void *to, const void *from);
/* same values in one field */
bool inventory_equal_field (const struct inventory_field *field, const void *a,
                            const void *b);
/* same values in all fields */
bool inventory_equal_row (enum inventory_kind kind, const void *a,
                          const void *b);
/* appends a line if the field is outside its allowed values; true if not */
bool inventory_check_field (enum inventory_kind kind,
                            const struct inventory_field *field,
                            const void *row, struct str_buf *problems);
/* copies one value between rows that own theirs */
void inventory_set_field (const struct inventory_field *field, void *to,
                          const void *from);
/* appends one line for each field outside its allowed values; gives their
   number */
uint32_t inventory_check_row (enum inventory_kind kind, const void *row,
                              struct str_buf *problems);
/* appends a value as text; names and methods are separated by spaces */
void inventory_append_value (struct str_buf *out,
                             const struct inventory_field *field,
                             const void *row);
/* sets a field from that text; false if it is no value of the type */
bool inventory_parse_value (const struct inventory_field *field, void *row,
                            struct str text);
/* appends the values that a field allows */
void inventory_append_allowed_values (struct str_buf *out,
                                      const struct inventory_field *field);
/* appends a value in quotes, its control characters escaped */
void inventory_append_quoted (struct str_buf *out, struct str value);
/* adds a copy of a name, unless it is there */
void inventory_add_name (struct inventory_names *names, struct str name);
/* method of an HTTP method name, or 0 */
uint32_t inventory_find_method (struct str name);
/* HTTP method name of one method; empty for 0 */
const char *inventory_get_method_name (uint32_t method);
/* idempotency of "none", "optional" or "required"; false if other */
bool inventory_find_idempotency (struct str name, uint32_t *value);
/* the name for enum inventory_idempotency */
const char *inventory_get_idempotency_name (uint32_t value);

#endif
