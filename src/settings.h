/* settings: the settings file of almondvaled, one JSON object.

   Every member is checked at start: an unknown name, a wrong type or a value
   out of range stops the daemon with one line that names the file, the member,
   what was found and what is allowed.  */

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
  struct str address; /* IP address, empty if not set */
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
  int64_t caller;             /* HTTP of callers */
  int64_t local;              /* HTTP on loopback */
  int64_t peer;               /* TCP frames for requests */
  int64_t control;            /* TCP frames and UDP datagrams */
  int64_t health;             /* HTTP of health checks; 0: none */
  int64_t advertised_peer;    /* what others connect to; 0: as peer */
  int64_t advertised_control; /* the same for control */
};

struct settings_trace
{
  struct settings_endpoint otlp; /* empty address: spans are not exported */
  int64_t queue;                 /* spans waiting for export */
  double sample_ratio;           /* of traces that begin here */
};

/* Names of the tables of function pointers in use.  */
struct settings_policy
{
  struct str admit;
  struct str limit;
  struct str route;
  struct str retry;
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
  struct str address; /* IP address that other daemons and callers reach */
  struct str local_address; /* IP address of the local port */
  struct str service; /* of the backend server beside, empty if unknown */
  struct settings_ports ports;
  struct settings_names failure_domains; /* of the whole fleet */
  struct settings_endpoints seeds;       /* control ports of other daemons */
  struct settings_endpoint
      platform;              /* empty address: inventory_file is used */
  struct str inventory_file; /* empty: the platform is used */
  int64_t backend_connections_max;
  int64_t front_threads;
  struct str log_level;
  struct settings_trace trace;
  struct settings_policy policy;
  struct settings_limits limits;
  struct settings_fresh fresh;
  struct settings_lease lease;
  struct settings_grant grant;
  int64_t shutdown_ms;
  int64_t leave_notice_ms; /* between the news of leaving and its refusals */
};

/* Public functions */

/* reads and checks a settings file; ERR_SETTINGS_INVALID on the first fault */
bool settings_load_file (struct settings *s, struct str path, GError **error);
/* checks settings in memory; file is the name used in the error line */
bool settings_load (struct settings *s, struct str file, struct str text,
                    GError **error);
/* ports at which other daemons reach this one */
uint16_t settings_get_peer_port (const struct settings *s);
uint16_t settings_get_control_port (const struct settings *s);
/* frees what a load allocated */
void settings_unload (struct settings *s);
/* appends the reference of all members as a Markdown table */
void settings_append_reference (struct str_buf *out);

#endif
