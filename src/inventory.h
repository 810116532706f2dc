/* inventory: the tables of services, routes, workspaces, keys and rules.

   The first member of every row is its name, which is the key of the index.
   A schema describes the fields of each kind, so that encoding, comparison
   and validation are written once for all kinds.  Rows may be added in any
   order, because only inventory_validate checks references between rows.  */

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
  INVENTORY_KINDS /* number of kinds; as a value of this type: no kind */
};

/* Bit mask of HTTP methods; the bits equal those of enum route_method.  */
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

/* Whether callers of a route send an Idempotency-Key header.  */
enum inventory_idempotency
{
  INVENTORY_IDEMPOTENCY_NONE,
  INVENTORY_IDEMPOTENCY_OPTIONAL,
  INVENTORY_IDEMPOTENCY_REQUIRED
};

/* Sorted list of names without duplicates.  */
struct inventory_names
{
  uint32_t len;
  struct str *items;
};

struct inventory_service
{
  struct str name;
  /* time after its start during which a backend server is cold; 0: never */
  uint32_t cold_start_ms;
  /* requests in 1000 s that a cold one tolerates; 0: no limit */
  uint32_t cold_per_1000_s;
};

struct inventory_route
{
  struct str name;
  struct str service;
  struct str host; /* host name that requests must have; empty: any host */
  struct str path_prefix;
  /* entries "SERVICE:WEIGHT" that divide the requests among services in
     proportion to the weights; empty: all requests go to `service` */
  struct inventory_names split;
  uint32_t methods;         /* bit mask of enum inventory_method */
  bool open;                /* requests need no key */
  bool idempotent;          /* requests can safely be executed twice */
  uint32_t idempotency_key; /* enum inventory_idempotency */
  uint32_t importance;      /* 0..9, used if no rule matches the request */
  uint32_t timeout_ms;      /* for the entire call tree */
  uint32_t target_ms;       /* target latency, within which an answer keeps
                               its full value; 0: same as timeout_ms */
  uint32_t retry_budget;    /* extra attempts for the entire call tree */
  bool internal;            /* accepts nested calls only */
};

struct inventory_workspace
{
  struct str name;
  uint32_t rate_per_s;           /* requests per second, over all VMs */
  uint32_t burst;                /* token bucket capacity in requests */
  uint32_t weight;               /* share among workspaces of one importance */
  uint32_t precedence;           /* 1..3: its requests have a higher importance
                                    than those of workspaces with a lower
                                    precedence, on any route; 0: the importance
                                    depends on the route only */
  struct inventory_names routes; /* allowed routes; empty: all routes */
};

struct inventory_key
{
  struct str id;
  struct str sha256; /* SHA-256 digest of the entire key, lower-case hex */
  struct str workspace;
};

/* Sets the importance of the requests that match.  If several rules match,
   the one with the lowest order applies; rules of equal order are sorted by
   name.  */
struct inventory_rule
{
  struct str name;
  uint32_t order;
  struct str workspace; /* empty: any workspace */
  struct str route;     /* empty: any route */
  uint32_t method;      /* one enum inventory_method; 0: any method */
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
  INVENTORY_TYPE_METHODS,     /* uint32_t, bit mask of enum inventory_method */
  INVENTORY_TYPE_METHOD,      /* uint32_t, enum inventory_method or 0 */
  INVENTORY_TYPE_NAMES        /* struct inventory_names */
};

/* Syntax that the value of a string field must have.  */
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
  size_t offset;           /* bytes from the start of the row */
  bool required;           /* has no default */
  uint32_t min;            /* lowest value of an INVENTORY_TYPE_UINT */
  uint32_t max;            /* highest value of an INVENTORY_TYPE_UINT */
  uint32_t default_value;  /* of a uint32_t; other types default to empty or
                             false */
  bool omitted_if_default; /* a whole row as JSON lacks it then; only of a
                              uint32_t */
  enum inventory_format format;
  enum inventory_kind
      referenced_kind; /* kind of the rows that the value names;
                          INVENTORY_KINDS: it names no rows */
};

struct inventory_schema
{
  const char *singular; /* "route" */
  const char *plural;   /* "routes" */
  size_t row_size;
  uint32_t fields_len;
  const struct inventory_field *fields; /* the first one is the name */
};

/* Limits on callers; 0: that of the settings applies.  */
struct inventory_limits
{
  int64_t headers_bytes;
  int64_t body_bytes;
  int64_t header_timeout_us;
  int64_t idle_timeout_us;
};

struct inventory
{
  struct inventory_limits limits;
  uint64_t revision; /* of the last change applied; 0: none was applied */
  struct table tables[INVENTORY_KINDS];
  apr_pool_t *pool;
  apr_hash_t *index[INVENTORY_KINDS]; /* row id by name */
};

/* Public functions */

/* makes an empty inventory of revision 0 */
void inventory_init (struct inventory *inv);
/* frees all rows */
void inventory_close (struct inventory *inv);
/* fills an uninitialized inventory with a copy */
void inventory_copy (struct inventory *to, const struct inventory *from);
/* returns the row with a name, or NULL */
const void *inventory_find (const struct inventory *inv,
                            enum inventory_kind kind, struct str name);
/* adds a copy of the row, or replaces the row with the same name by it */
void inventory_put (struct inventory *inv, enum inventory_kind kind,
                    const void *row);
/* removes the row with a name; returns false if there is none */
bool inventory_remove (struct inventory *inv, enum inventory_kind kind,
                       struct str name);
/* returns the rows sorted by name; free with g_ptr_array_unref */
GPtrArray *inventory_list (const struct inventory *inv,
                           enum inventory_kind kind);
/* checks all rows and references; appends one line for each problem and
   returns the number of problems */
uint32_t inventory_validate (const struct inventory *inv,
                             struct str_buf *problems);

/* returns the service for one request of the route; point is a random number
   in [0, 1) that selects a service of a split by weight */
struct str inventory_pick_service (const struct inventory_route *route,
                                   double point);
/* returns the rule that sets the importance of a request, or NULL if no rule
   matches */
const struct inventory_rule *inventory_match_rule (const struct inventory *inv,
                                                   struct str workspace,
                                                   struct str route,
                                                   uint32_t method);
/* returns the importance of a request that no rule matches; workspace is NULL
   on an open route */
uint32_t inventory_get_importance (const struct inventory_workspace *workspace,
                                   const struct inventory_route *route);
/* returns true if the workspace may use the route */
bool inventory_allows_route (const struct inventory_workspace *workspace,
                             struct str route);

/* returns the description of a kind */
const struct inventory_schema *inventory_get_schema (enum inventory_kind kind);
/* returns the kind with a singular or plural name, or INVENTORY_KINDS if there
   is none */
enum inventory_kind inventory_find_kind (struct str name);
/* returns the field with a name, or NULL */
const struct inventory_field *inventory_find_field (enum inventory_kind kind,
                                                    struct str name);
/* fills an uninitialized row with the default values */
void inventory_init_row (enum inventory_kind kind, union inventory_row *row);
/* frees what the row owns */
void inventory_close_row (enum inventory_kind kind, void *row);
/* fills an uninitialized row with a copy */
void inventory_copy_row (enum inventory_kind kind, void *to, const void *from);
/* returns true if the rows have the same value in one field */
bool inventory_equal_field (const struct inventory_field *field, const void *a,
                            const void *b);
/* returns true if the rows have the same values in all fields */
bool inventory_equal_row (enum inventory_kind kind, const void *a,
                          const void *b);
/* returns true if the value of the field is allowed; else appends a line that
   describes the problem */
bool inventory_check_field (enum inventory_kind kind,
                            const struct inventory_field *field,
                            const void *row, struct str_buf *problems);
/* replaces one value by a copy of the value in another row; frees the old
   value */
void inventory_set_field (const struct inventory_field *field, void *to,
                          const void *from);
/* appends one line for each problem in the row's values; returns the number
   of problems */
uint32_t inventory_check_row (enum inventory_kind kind, const void *row,
                              struct str_buf *problems);
/* appends a value as text; names and methods are separated by spaces */
void inventory_append_value (struct str_buf *out,
                             const struct inventory_field *field,
                             const void *row);
/* sets a field from text as inventory_append_value writes it; returns false
   if the text is not a value of the field's type */
bool inventory_parse_value (const struct inventory_field *field, void *row,
                            struct str text);
/* appends a description of the values that a field allows */
void inventory_append_allowed_values (struct str_buf *out,
                                      const struct inventory_field *field);
/* appends a value in quotes, with control characters escaped and a long value
   cut */
void inventory_append_quoted (struct str_buf *out, struct str value);
/* adds a copy of a name to the list unless it contains the name */
void inventory_add_name (struct inventory_names *names, struct str name);
/* returns the bit of an HTTP method name, or 0 if it is unknown */
uint32_t inventory_find_method (struct str name);
/* returns the HTTP name of one method; empty for 0 */
const char *inventory_get_method_name (uint32_t method);
/* sets the value for "none", "optional" or "required"; returns false for any
   other name */
bool inventory_find_idempotency (struct str name, uint32_t *value);
/* returns the name of a value of enum inventory_idempotency */
const char *inventory_get_idempotency_name (uint32_t value);

#endif
