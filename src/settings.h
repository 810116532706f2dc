/* settings: the settings file of almondvaled, one JSON object.

   The table in settings.c describes each member.

   Every member is checked at start.  An unknown name, a wrong type or a value
   out of range stops the daemon with a one-line error that names the file, the
   member, the value found and the values allowed.  */

#ifndef ALMONDVALE_SETTINGS_H
#define ALMONDVALE_SETTINGS_H

#include "str.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Constants */

#define SETTINGS_FILE_MAX_BYTES ((size_t)256 * 1024)
#define SETTINGS_SEEDS_MAX 64
#define SETTINGS_DOMAINS_MAX 16

/* Types */

struct settings_endpoint
{
  struct str address; /* IP address; empty if not set */
  int64_t port;
};

struct settings_endpoints
{
  size_t len;
  struct settings_endpoint *items;
};

struct settings_names
{
  size_t len;
  struct str *items;
};

struct settings_ports
{
  int64_t caller;  /* HTTP for callers */
  int64_t local;   /* HTTP for nested calls and administration, on loopback */
  int64_t peer;    /* TCP: requests of other daemons */
  int64_t control; /* TCP and UDP: control messages */
  int64_t health;  /* HTTP for health checks; 0 disables them */
  int64_t advertised_peer;    /* port for other daemons; 0: same as peer */
  int64_t advertised_control; /* port for other daemons; 0: same as control */
};

struct settings_trace
{
  struct settings_endpoint otlp; /* empty address: spans are not exported */
  int64_t queue;                 /* limit on spans waiting for export */
  double sample_ratio; /* fraction of the traces begun here that is recorded */
};

/* Names of the selected policies; each name selects a table of function
   pointers.  */
struct settings_policy
{
  struct str admit;
  struct str limit;
  struct str route;
  struct str retry;
};

/* Retries that the backend servers of a service may get.  */
struct settings_retry
{
  struct str ledger; /* policy of repeat_budget, or "none" */
  double ratio;      /* retries for each request */
  int64_t window_ms;
  int64_t slack; /* retries of a service beyond the ratio in a window */
};

struct settings_limits
{
  int64_t headers_bytes;
  int64_t body_bytes;
  int64_t answer_bytes;
  int64_t open_requests;
  int64_t depth;
  int64_t connections;
  int64_t idle_timeout_ms;
  int64_t header_timeout_ms;
  int64_t request_timeout_ms;
  int64_t progress_bytes_per_s;
  int64_t memory_bytes;
};

struct settings_fresh
{
  int64_t bound_ms;
};

struct settings_lease
{
  int64_t shards;
  int64_t term_ms;
  int64_t promise_ms;
  int64_t abandon_ms;
};

struct settings_grant
{
  int64_t validity_ms;
  int64_t round_trip_bound_ms;
};

struct settings
{
  struct str member_id;
  struct str failure_domain;
  struct str region;
  struct str address;       /* IP address for callers and other daemons */
  struct str local_address; /* IP address of the local port */
  struct str service; /* service of the backend server; empty if unknown */
  struct settings_ports ports;
  struct settings_names failure_domains; /* all failure domains of the fleet */
  struct settings_endpoints seeds;       /* control ports of other daemons */
  /* exactly one of these two is set */
  struct settings_endpoint platform;
  struct str inventory_file;
  int64_t backend_connections_max;
  int64_t front_threads;
  struct str log_level;
  struct settings_trace trace;
  struct settings_policy policy;
  struct settings_retry retry;
  struct settings_limits limits;
  struct settings_fresh fresh;
  struct settings_lease lease;
  struct settings_grant grant;
  int64_t shutdown_ms;
  /* time from the announcement that the daemon leaves until it refuses
     requests */
  int64_t leave_notice_ms;
  /* the whole fleet starts for the first time, so that the store lists no
     daemon yet; set by the deployment */
  bool first_start;
  /* bound on the time until an evacuation of a failure domain holds; 0:
     evacuations are not read from the store.  Set by the deployment.  */
  int64_t evacuation_bound_ms;
  /* factor between what a cold backend server tolerates and what it is sent;
     0: the default.  Set by the deployment.  */
  double cold_overage;
};

/* Public functions */

/* Reads and checks a settings file.  Fails with ERR_SETTINGS_INVALID at the
   first fault.  */
bool settings_load_file (struct settings *s, struct str path, GError **error);
/* Parses and checks settings in memory; file is the name used in the error
   line.  */
bool settings_load (struct settings *s, struct str file, struct str text,
                    GError **error);
/* Return the ports at which other daemons reach this one.  */
uint16_t settings_get_peer_port (const struct settings *s);
uint16_t settings_get_control_port (const struct settings *s);
/* Frees the memory that settings_load or settings_load_file allocated.  */
void settings_unload (struct settings *s);
/* Appends the reference of all members as a Markdown table.  */
void settings_append_reference (struct str_buf *out);

#endif
