/* settings: the settings file of almondvaled, one JSON object.  */

#include "settings.h"

#include "err.h"
#include "json_check.h"
#include "settings_type.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Constants */

#define PORT_MAX 65535
/* Limit on the part of an invalid value that the error line quotes.  */
#define QUOTED_VALUE_MAX_BYTES 60
#define KIB INT64_C (1024)
#define MIB INT64_C (1048576)
#define HOUR_MS INT64_C (3600000)

/* Types */

/* A condition on several members.  */
struct rule
{
  const char *path; /* member named in the error line */
  bool (*is_satisfied) (const struct settings *s);
  const char *allowed; /* allowed values, for the error line */
};

/* State of one call of settings_load.  */
struct load_state
{
  struct settings *settings;
  struct str file;
  bool *present; /* for each row of members[]: true if the file sets it */
  GError **error;
};

/* State */

#define OFFSET(field) offsetof (struct settings, field)

/* clang-format off */
static const struct settings_member members[] = {
  { "member_id", SETTINGS_TYPE_NAME, 0, 0, NULL, NULL, OFFSET (member_id), "Name of this daemon, unique in the fleet." },
  { "failure_domain", SETTINGS_TYPE_NAME, 0, 0, NULL, NULL, OFFSET (failure_domain), "Failure domain of the VM." },
  { "failure_domains", SETTINGS_TYPE_NAMES, 0, SETTINGS_DOMAINS_MAX, NULL, "[]", OFFSET (failure_domains), "All failure domains of the fleet. If they are not set, requests to routes that need a key are refused while the platform is unreachable." },
  { "region", SETTINGS_TYPE_NAME, 0, 0, NULL, NULL, OFFSET (region), "Region of the VM." },
  { "address", SETTINGS_TYPE_ADDRESS, 0, 0, NULL, NULL, OFFSET (address), "IP address at which callers and other daemons reach this daemon." },
  { "ports.caller", SETTINGS_TYPE_INTEGER, 1, PORT_MAX, NULL, "8080", OFFSET (ports.caller), "HTTP port for callers." },
  { "ports.local", SETTINGS_TYPE_INTEGER, 1, PORT_MAX, NULL, "8081", OFFSET (ports.local), "HTTP port on loopback for the backend server's nested calls, announce, drain, leave, metrics and administration." },
  { "ports.peer", SETTINGS_TYPE_INTEGER, 1, PORT_MAX, NULL, "8082", OFFSET (ports.peer), "TCP port for requests from other daemons." },
  { "ports.control", SETTINGS_TYPE_INTEGER, 1, PORT_MAX, NULL, "8083", OFFSET (ports.control), "TCP and UDP port for control messages of other daemons." },
  { "seeds", SETTINGS_TYPE_ENDPOINTS, 0, SETTINGS_SEEDS_MAX, NULL, "[]", OFFSET (seeds), "Control ports of other daemons, from which this daemon requests the members and the configuration at start." },
  { "platform.address", SETTINGS_TYPE_ADDRESS, 0, 0, NULL, "\"\"", OFFSET (platform.address), "IP address of the platform's object API." },
  { "platform.port", SETTINGS_TYPE_INTEGER, 1, PORT_MAX, NULL, "80", OFFSET (platform.port), "Port of the platform's object API." },
  { "inventory_file", SETTINGS_TYPE_FILE, 0, 0, NULL, "\"\"", OFFSET (inventory_file), "File with a static inventory, for use without a platform." },
  { "backend_connections_max", SETTINGS_TYPE_INTEGER, 1, PORT_MAX, NULL, "256", OFFSET (backend_connections_max), "Maximum number of connections to the backend server. The smaller of this and the announced number applies." },
  { "front_threads", SETTINGS_TYPE_INTEGER, 1, 64, NULL, "1", OFFSET (front_threads), "Number of threads that serve callers and nested calls." },
  { "log_level", SETTINGS_TYPE_CHOICE, 0, 0, "error, warning, info, debug", "\"info\"", OFFSET (log_level), "Lowest severity of log lines that are written. It can be changed while the daemon runs." },
  { "trace.otlp.address", SETTINGS_TYPE_ADDRESS, 0, 0, NULL, "\"\"", OFFSET (trace.otlp.address), "IP address of an OTLP/HTTP collector. Spans are not exported if it is empty." },
  { "trace.otlp.port", SETTINGS_TYPE_INTEGER, 1, PORT_MAX, NULL, "4318", OFFSET (trace.otlp.port), "Port of the collector." },
  { "trace.queue", SETTINGS_TYPE_INTEGER, 16, 64 * KIB, NULL, "2048", OFFSET (trace.queue), "Maximum number of spans that wait for export. Further spans are dropped and counted." },
  { "trace.sample_ratio", SETTINGS_TYPE_RATIO, 0, 1, NULL, "0.01", OFFSET (trace.sample_ratio), "Fraction of the traces begun by this daemon that are recorded." },
  { "policy.admit", SETTINGS_TYPE_CHOICE, 0, 0, "priority, urgency, naive", "\"priority\"", OFFSET (policy.admit), "Admission policy for requests to the backend server." },
  { "policy.limit", SETTINGS_TYPE_CHOICE, 0, 0, "adaptive, fixed", "\"adaptive\"", OFFSET (policy.limit), "Policy for the concurrency limit of the backend server." },
  { "policy.route", SETTINGS_TYPE_CHOICE, 0, 0, "least_loaded, even_load, round_robin", "\"least_loaded\"", OFFSET (policy.route), "Policy for the choice of the endpoint for a request." },
  { "policy.retry", SETTINGS_TYPE_CHOICE, 0, 0, "budget, per_hop", "\"budget\"", OFFSET (policy.retry), "Policy that limits retries." },
  { "retry.ledger", SETTINGS_TYPE_CHOICE, 0, 0, "none, equal, value", "\"none\"", OFFSET (retry.ledger), "How the daemon beside a backend server spends the retries that its service may get. With none, only the entry daemons limit retries." },
  { "retry.ratio", SETTINGS_TYPE_RATIO, 0, 1, NULL, "0.1", OFFSET (retry.ratio), "Maximum number of retries for each request, of an entry daemon and of a backend server's ledger." },
  { "retry.window_ms", SETTINGS_TYPE_INTEGER, 100, 600000, NULL, "10000", OFFSET (retry.window_ms), "Time over which the ledger counts." },
  { "retry.slack", SETTINGS_TYPE_INTEGER, 0, 10000, NULL, "0", OFFSET (retry.slack), "Retries beyond the ratio that the operators allow a service in a window. Not spent; reserve for what the ledgers of a service count differently." },
  { "limits.headers_bytes", SETTINGS_TYPE_INTEGER, KIB, 256 * KIB, NULL, "32768", OFFSET (limits.headers_bytes), "Maximum size of the headers of a request." },
  { "limits.body_bytes", SETTINGS_TYPE_INTEGER, 0, 64 * MIB, NULL, "8388608", OFFSET (limits.body_bytes), "Maximum size of the body of a request." },
  { "limits.answer_bytes", SETTINGS_TYPE_INTEGER, KIB, 8 * MIB, NULL, "8388608", OFFSET (limits.answer_bytes), "Maximum size of the body of an answer of the backend server." },
  { "limits.open_requests", SETTINGS_TYPE_INTEGER, 1, 100000, NULL, "4096", OFFSET (limits.open_requests), "Maximum number of concurrent requests of callers and nested calls." },
  { "limits.depth", SETTINGS_TYPE_INTEGER, 1, 255, NULL, "32", OFFSET (limits.depth), "Maximum depth of a call chain." },
  { "limits.connections", SETTINGS_TYPE_INTEGER, 1, 100000, NULL, "4096", OFFSET (limits.connections), "Maximum number of connections of callers." },
  { "limits.idle_timeout_ms", SETTINGS_TYPE_INTEGER, 100, HOUR_MS, NULL, "60000", OFFSET (limits.idle_timeout_ms), "Time after which an idle connection of a caller is closed." },
  { "limits.header_timeout_ms", SETTINGS_TYPE_INTEGER, 100, HOUR_MS, NULL, "10000", OFFSET (limits.header_timeout_ms), "Time from the first byte of a request to the end of its headers after which the connection is closed." },
  { "limits.request_timeout_ms", SETTINGS_TYPE_INTEGER, 1000, HOUR_MS, NULL, "3600000", OFFSET (limits.request_timeout_ms), "Time from the first byte of a request to the end of its body after which the connection is closed. With the default a body of 64 MiB may arrive at 19 KB/s." },
  { "limits.progress_bytes_per_s", SETTINGS_TYPE_INTEGER, 1, MIB, NULL, "1024", OFFSET (limits.progress_bytes_per_s), "Rate below which a body or the reading of an answer counts as making no progress. Without progress for limits.idle_timeout_ms the connection is closed, earlier if memory or connections are short. The default is an eighteenth of the rate at which 64 MiB take the default of limits.request_timeout_ms." },
  { "limits.memory_bytes", SETTINGS_TYPE_INTEGER, 0, MIB * MIB, NULL, "0", OFFSET (limits.memory_bytes), "Bytes that are held for others at the same time: headers, bodies, waiting requests, and answers that are not read. What does not fit is refused. 0 is five eighths of the VM's memory; smaller values than 16777216 count as that." },
  { "fresh.bound_ms", SETTINGS_TYPE_INTEGER, 500, 60000, NULL, "3500", OFFSET (fresh.bound_ms), "Maximum age of the evidence that the configuration is current. With older evidence, requests to routes that need a key are refused." },
  { "lease.shards", SETTINGS_TYPE_INTEGER, 1, 256, NULL, "8", OFFSET (lease.shards), "Number of shards of the rate limits and idempotency keys. It must be the same at all daemons. To change it, stop all daemons and start them no sooner than 5 s later." },
  { "lease.term_ms", SETTINGS_TYPE_INTEGER, 1000, 60000, NULL, "6000", OFFSET (lease.term_ms), "Duration of the lease of a shard." },
  { "lease.promise_ms", SETTINGS_TYPE_INTEGER, 500, 60000, NULL, "4000", OFFSET (lease.promise_ms), "Time for which a candidate, a daemon that may take over a shard, promises not to do so." },
  { "lease.abandon_ms", SETTINGS_TYPE_INTEGER, 60000, 24 * HOUR_MS, NULL, "3600000", OFFSET (lease.abandon_ms), "Time without renewal of its lease after which any daemon may take over a shard." },
  { "grant.validity_ms", SETTINGS_TYPE_INTEGER, 100, 10000, NULL, "1000", OFFSET (grant.validity_ms), "Maximum validity of granted tokens." },
  { "grant.round_trip_bound_ms", SETTINGS_TYPE_INTEGER, 10, 5000, NULL, "500", OFFSET (grant.round_trip_bound_ms), "Longest round trip after which granted tokens are used." },
  { "local_address", SETTINGS_TYPE_ADDRESS, 0, 0, NULL, "\"127.0.0.1\"", OFFSET (local_address), "IP address of the local port." },
  { "service", SETTINGS_TYPE_NAME, 0, 0, NULL, "\"\"", OFFSET (service), "Service of the backend server beside this daemon, sent to other backend servers as the origin of its calls." },
  { "ports.health", SETTINGS_TYPE_INTEGER, 0, PORT_MAX, NULL, "0", OFFSET (ports.health), "HTTP port for health checks. 0 disables it." },
  { "ports.advertised_peer", SETTINGS_TYPE_INTEGER, 0, PORT_MAX, NULL, "0", OFFSET (ports.advertised_peer), "Port at which other daemons reach ports.peer through a port forwarder. 0 means the same port." },
  { "ports.advertised_control", SETTINGS_TYPE_INTEGER, 0, PORT_MAX, NULL, "0", OFFSET (ports.advertised_control), "Port at which other daemons reach ports.control through a port forwarder. 0 means the same port." },
  { "leave_notice_ms", SETTINGS_TYPE_INTEGER, 0, 60000, NULL, "2000", OFFSET (leave_notice_ms), "Time between the announcement that this daemon leaves and its refusal of new requests. The other daemons receive the announcement within a few gossip rounds." },
  { "shutdown_ms", SETTINGS_TYPE_INTEGER, 0, 600000, NULL, "30000", OFFSET (shutdown_ms), "Maximum time that a shutdown waits for requests in flight." },
};
/* clang-format on */

#define MEMBERS_LEN G_N_ELEMENTS (members)

/* Internal functions: rules over several members */

static bool
has_different_ports (const struct settings *s)
{
  const struct settings_ports *p = &s->ports;

  return p->caller != p->local && p->caller != p->peer
         && p->caller != p->control && p->local != p->peer
         && p->local != p->control && p->peer != p->control;
}

static bool
has_one_inventory (const struct settings *s)
{
  return (s->platform.address.len > 0) != (s->inventory_file.len > 0);
}

static bool
has_abandon_after_lease_and_promise (const struct settings *s)
{
  return s->lease.abandon_ms > s->lease.term_ms + s->lease.promise_ms;
}

static bool
has_round_trip_in_validity (const struct settings *s)
{
  return s->grant.round_trip_bound_ms < s->grant.validity_ms;
}

static const struct rule rules[] = {
  { "ports", has_different_ports, "four different ports" },
  { "inventory_file", has_one_inventory,
    "either platform.address or inventory_file, not both" },
  { "lease.abandon_ms", has_abandon_after_lease_and_promise,
    "more than lease.term_ms + lease.promise_ms" },
  { "grant.round_trip_bound_ms", has_round_trip_in_validity,
    "less than grant.validity_ms" },
};

/* Internal functions: errors */

/* Sets the error line and returns false.  Control characters are replaced by
   spaces, since the parser's messages and the names in the file may contain
   any.  */
static bool
fail (const struct load_state *l, struct str path, struct str found,
      struct str allowed)
{
  struct str_buf line = { 0 };
  char *text;

  str_append (&line, l->file);
  str_append (&line, STR_LIT (": "));
  if (path.len > 0)
    {
      str_append (&line, path);
      str_append (&line, STR_LIT (": "));
    }
  str_append (&line, STR_LIT ("found "));
  str_append (&line, found);
  str_append (&line, STR_LIT (", allowed is "));
  str_append (&line, allowed);
  text = g_utf8_make_valid (line.data, (gssize)line.len);
  for (char *c = text; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = ' ';
  g_set_error_literal (l->error, ERR_QUARK, ERR_SETTINGS_INVALID, text);
  g_free (text);
  str_reset (&line);
  return false;
}

/* Appends a node as JSON, truncated to QUOTED_VALUE_MAX_BYTES at a character
   boundary.  */
static void
append_value (struct str_buf *out, JsonNode *node)
{
  char *text = json_to_string (node, FALSE);
  size_t len = strlen (text);
  size_t cut = len;

  if (cut > QUOTED_VALUE_MAX_BYTES)
    cut = (size_t)(g_utf8_find_prev_char (text,
                                          text + QUOTED_VALUE_MAX_BYTES + 1)
                   - text);
  str_append (out, (struct str){ cut, text });
  if (cut < len)
    str_append (out, STR_LIT ("..."));
  g_free (text);
}

/* Reports an invalid value of a member, or a missing one if node is NULL.  */
static bool
fail_member (const struct load_state *l, const struct settings_member *m,
             JsonNode *node)
{
  struct str_buf found = { 0 }, allowed = { 0 };

  if (node != NULL)
    append_value (&found, node);
  else
    str_append (&found, STR_LIT ("no value"));
  settings_types[m->type].append_allowed (m, &allowed);
  fail (l, str_from_cstr (m->path), str_view (&found), str_view (&allowed));
  str_reset (&found);
  str_reset (&allowed);
  return false;
}

/* Appends the names directly below a group, and omits a name that equals the
   one appended before it.  */
static void
append_names (struct str_buf *out, struct str group)
{
  struct str last = STR_EMPTY;

  for (size_t i = 0; i < MEMBERS_LEN; i++)
    {
      struct str path = str_from_cstr (members[i].path);
      struct str name;
      const char *dot;

      if (!str_has_prefix (path, group))
        continue;
      name = str_slice (path, group.len, path.len);
      dot = memchr (name.data, '.', name.len);
      if (dot != NULL)
        name.len = (size_t)(dot - name.data);
      if (str_equal (name, last))
        continue;
      if (last.len > 0)
        str_append (out, STR_LIT (", "));
      str_append (out, name);
      last = name;
    }
}

static bool
fail_unknown (const struct load_state *l, struct str path, struct str group)
{
  struct str_buf allowed = { 0 };

  append_names (&allowed, group);
  fail (l, path, STR_LIT ("an unknown name"), str_view (&allowed));
  str_reset (&allowed);
  return false;
}

/* Internal functions: loading */

static void *
get_field (struct settings *s, const struct settings_member *m)
{
  return (char *)s + m->offset;
}

/* Returns the index of the member with this path, or MEMBERS_LEN.  */
static size_t
find_member (struct str path)
{
  for (size_t i = 0; i < MEMBERS_LEN; i++)
    if (str_equal (str_from_cstr (members[i].path), path))
      return i;
  return MEMBERS_LEN;
}

/* Returns true if the path of any member begins with the group, which ends
   with a dot.  */
static bool
is_group (struct str group)
{
  for (size_t i = 0; i < MEMBERS_LEN; i++)
    if (str_has_prefix (str_from_cstr (members[i].path), group))
      return true;
  return false;
}

static bool load_object (struct load_state *l, struct str group,
                         JsonObject *object);

static bool
load_group (struct load_state *l, struct str path, JsonNode *node)
{
  struct str_buf group = { 0 };
  struct str_buf found = { 0 };
  bool ok;

  str_append (&group, path);
  str_append_char (&group, '.');
  if (JSON_NODE_HOLDS_OBJECT (node))
    ok = load_object (l, str_view (&group), json_node_get_object (node));
  else
    {
      append_value (&found, node);
      ok = fail (l, path, str_view (&found), STR_LIT ("an object"));
    }
  str_reset (&group);
  str_reset (&found);
  return ok;
}

static bool
load_node (struct load_state *l, struct str group, struct str path,
           JsonNode *node)
{
  size_t i = find_member (path);
  struct str_buf prefix = { 0 };
  bool group_found;

  if (i < MEMBERS_LEN)
    {
      l->present[i] = true;
      if (settings_types[members[i].type].load (
              &members[i], node, get_field (l->settings, &members[i])))
        return true;
      return fail_member (l, &members[i], node);
    }
  str_append (&prefix, path);
  str_append_char (&prefix, '.');
  group_found = is_group (str_view (&prefix));
  str_reset (&prefix);
  if (group_found)
    return load_group (l, path, node);
  return fail_unknown (l, path, group);
}

static bool
load_object (struct load_state *l, struct str group, JsonObject *object)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;

  json_object_iter_init (&iter, object);
  while (json_object_iter_next (&iter, &name, &node))
    {
      struct str_buf path = { 0 };
      bool ok;

      str_append (&path, group);
      str_append (&path, str_from_cstr (name));
      ok = load_node (l, group, str_view (&path), node);
      str_reset (&path);
      if (!ok)
        return false;
    }
  return true;
}

/* Loads the default of a member.  Defaults are stored as JSON and pass the
   same checks as values of the file.  */
static void
load_default (struct settings *s, const struct settings_member *m)
{
  JsonNode *node = json_from_string (m->default_value, NULL);
  bool ok = settings_types[m->type].load (m, node, get_field (s, m));

  g_assert (ok);
  json_node_unref (node);
}

static void
load_defaults (struct settings *s)
{
  for (size_t i = 0; i < MEMBERS_LEN; i++)
    if (members[i].default_value != NULL)
      load_default (s, &members[i]);
}

static bool
check_required (const struct load_state *l)
{
  for (size_t i = 0; i < MEMBERS_LEN; i++)
    if (members[i].default_value == NULL && !l->present[i])
      return fail_member (l, &members[i], NULL);
  return true;
}

static bool
check_rules (const struct load_state *l)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rules); i++)
    if (!rules[i].is_satisfied (l->settings))
      return fail (l, str_from_cstr (rules[i].path),
                   STR_LIT ("members that do not fit together"),
                   str_from_cstr (rules[i].allowed));
  return true;
}

static bool
load_root (struct load_state *l, JsonNode *root)
{
  if (!JSON_NODE_HOLDS_OBJECT (root))
    return fail (l, STR_EMPTY, STR_LIT ("no object"),
                 STR_LIT ("one JSON object"));
  load_defaults (l->settings);
  return load_object (l, STR_EMPTY, json_node_get_object (root))
         && check_required (l) && check_rules (l);
}

static bool
parse_text (struct load_state *l, struct str text)
{
  GError *cause = NULL;
  JsonNode *root;
  bool ok;

  if (text.len > SETTINGS_FILE_MAX_BYTES)
    return fail (l, STR_EMPTY, STR_LIT ("a larger file"),
                 STR_LIT ("at most 256 KiB"));
  root = json_check_parse (text, &cause);
  if (root == NULL)
    {
      ok = fail (l, STR_EMPTY, str_from_cstr (cause->message),
                 STR_LIT ("one JSON object"));
      g_error_free (cause);
      return ok;
    }
  ok = load_root (l, root);
  json_node_unref (root);
  return ok;
}

/* Appends a cell of a Markdown table and escapes "|", which would end it.  */
static void
append_cell (struct str_buf *out, struct str text)
{
  str_append (out, STR_LIT ("| "));
  for (size_t i = 0; i < text.len; i++)
    {
      if (text.data[i] == '|')
        str_append_char (out, '\\');
      str_append_char (out, text.data[i]);
    }
  str_append_char (out, ' ');
}

static void
append_row (struct str_buf *out, const struct settings_member *m)
{
  struct str_buf cell = { 0 };

  str_append_format (&cell, "`%s`", m->path);
  append_cell (out, str_view (&cell));
  str_reset (&cell);
  settings_types[m->type].append_allowed (m, &cell);
  append_cell (out, str_view (&cell));
  str_reset (&cell);
  if (m->default_value == NULL)
    str_append (&cell, STR_LIT ("required"));
  else
    str_append_format (&cell, "`%s`", m->default_value);
  append_cell (out, str_view (&cell));
  str_reset (&cell);
  append_cell (out, str_from_cstr (m->help));
  str_append (out, STR_LIT ("|\n"));
}

/* Public functions */

/**
 * settings_load_file - reads and checks a settings file
 * @s: settings, valid only if the load succeeds
 * @path: file name
 * @error: %ERR_SETTINGS_INVALID with one line for the operator
 *
 * Return: true if every member is valid; free with settings_unload().
 */
bool
settings_load_file (struct settings *s, struct str path, GError **error)
{
  char *name = str_dup_cstr (path);
  struct load_state l = { s, path, NULL, error };
  GError *cause = NULL;
  char *data;
  gsize len;
  bool ok;

  *s = (struct settings){ 0 };
  if (g_file_get_contents (name, &data, &len, &cause))
    {
      ok = settings_load (s, path, (struct str){ len, data }, error);
      g_free (data);
    }
  else
    ok = fail (&l, STR_EMPTY, str_from_cstr (cause->message),
               STR_LIT ("a readable file"));
  g_clear_error (&cause);
  g_free (name);
  return ok;
}

/**
 * settings_load - parses and checks settings in memory
 * @s: settings, valid only if the load succeeds
 * @file: name used in the error line
 * @text: JSON
 * @error: %ERR_SETTINGS_INVALID with one line for the operator
 *
 * Return: true if every member is valid; free with settings_unload().
 */
bool
settings_load (struct settings *s, struct str file, struct str text,
               GError **error)
{
  bool present[MEMBERS_LEN] = { false };
  struct load_state l = { s, file, present, error };

  *s = (struct settings){ 0 };
  for (size_t i = 0; i < MEMBERS_LEN; i++)
    if (settings_type_is_text (members[i].type))
      *(struct str *)get_field (s, &members[i]) = STR_EMPTY;
  if (parse_text (&l, text))
    return true;
  settings_unload (s);
  return false;
}

uint16_t
settings_get_peer_port (const struct settings *s)
{
  return (uint16_t)(s->ports.advertised_peer > 0 ? s->ports.advertised_peer
                                                 : s->ports.peer);
}

uint16_t
settings_get_control_port (const struct settings *s)
{
  return (uint16_t)(s->ports.advertised_control > 0
                        ? s->ports.advertised_control
                        : s->ports.control);
}

/**
 * settings_unload - frees the memory of settings
 * @s: settings of a successful settings_load() or settings_load_file()
 */
void
settings_unload (struct settings *s)
{
  for (size_t i = 0; i < MEMBERS_LEN; i++)
    settings_types[members[i].type].unload (get_field (s, &members[i]));
}

/**
 * settings_append_reference - appends the reference of all members
 * @out: buffer to which a Markdown table is appended
 */
void
settings_append_reference (struct str_buf *out)
{
  str_append (out, STR_LIT ("| member | allowed | default | meaning |\n"
                            "|---|---|---|---|\n"));
  for (size_t i = 0; i < MEMBERS_LEN; i++)
    append_row (out, &members[i]);
}
