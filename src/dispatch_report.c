/* dispatch_report: shows what a front believes of the endpoints.  */

#include "dispatch_report.h"

#include "clock.h"
#include "logger.h"
#include "route_explain.h"

#include <json-glib/json-glib.h>

/* Constants */

/* Hexadecimal digits of a member id, and the NUL.  */
#define MEMBER_TEXT_BYTES 17

/* Internal functions */

static void
format_member (char *text, uint64_t member)
{
  g_snprintf (text, MEMBER_TEXT_BYTES, "%016" G_GINT64_MODIFIER "x",
              (guint64)member);
}

static void
log_belief (const struct front_service *service,
            const struct route_endpoint *e, int64_t now_us)
{
  struct route_even_belief b
      = route_even_get_belief (&service->pool, e, now_us);
  char member[MEMBER_TEXT_BYTES];

  format_member (member, e->member);
  LOGGER_WRITE (
      LOGGER_INFO, "endpoint_believed", LOGGER_TEXT ("service", service->name),
      LOGGER_TEXT ("member", str_from_cstr (member)),
      LOGGER_NUMBER ("in_flight", (int64_t)(b.in_flight + 0.5)),
      LOGGER_NUMBER ("limit", (int64_t)(b.limit + 0.5)),
      LOGGER_NUMBER ("service_us", (int64_t)b.service_us),
      LOGGER_NUMBER ("wait_us", (int64_t)b.wait_us),
      LOGGER_NUMBER ("distance_us", (int64_t)e->distance_us),
      LOGGER_NUMBER ("own", e->outstanding),
      LOGGER_NUMBER ("age_ms", (now_us - e->reported_us) / CLOCK_US_PER_MS));
}

static void
add_number (JsonBuilder *b, const char *name, double value)
{
  json_builder_set_member_name (b, name);
  json_builder_add_int_value (b, (int64_t)(value + 0.5));
}

static void
add_row (JsonBuilder *b, const struct route_explain_row *row, int64_t now_us)
{
  const struct route_endpoint *e = row->endpoint;
  char member[MEMBER_TEXT_BYTES];

  format_member (member, e->member);
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "member");
  json_builder_add_string_value (b, member);
  json_builder_set_member_name (b, "excluded_by");
  if (row->excluded_by != NULL)
    json_builder_add_string_value (b, row->excluded_by);
  else
    json_builder_add_null_value (b);
  add_number (b, "chance_percent", row->chance * 100);
  json_builder_set_member_name (b, "age_ms");
  if (route_has_recent_report (e, now_us))
    json_builder_add_int_value (b,
                                (now_us - e->reported_us) / CLOCK_US_PER_MS);
  else
    json_builder_add_null_value (b);
  add_number (b, "in_flight", row->belief.in_flight);
  add_number (b, "limit", row->belief.limit);
  add_number (b, "own", e->outstanding);
  add_number (b, "service_us", row->belief.service_us);
  add_number (b, "wait_us", row->belief.wait_us);
  add_number (b, "distance_us", e->distance_us);
  json_builder_end_object (b);
}

static void
add_service (JsonBuilder *b, struct front *f, struct front_service *service,
             int64_t now_us)
{
  struct route_explain x;
  char *name = str_dup_cstr (service->name);

  route_explain_pool (&x, &service->pool, f->route_ops, now_us);
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "service");
  json_builder_add_string_value (b, name);
  json_builder_set_member_name (b, "endpoints");
  json_builder_begin_array (b);
  for (uint32_t i = 0; i < x.len; i++)
    add_row (b, &x.rows[i], now_us);
  json_builder_end_array (b);
  add_number (b, "outside_subset", x.outside_subset);
  json_builder_end_object (b);
  g_free (name);
}

/* Public functions */

/**
 * dispatch_report_log - logs what the policy even_load believes
 * @f: front
 * @now_us: current time
 *
 * Logs one endpoint of each service in use, the next one with each call, so
 * that a daemon writes few lines.
 */
void
dispatch_report_log (struct front *f, int64_t now_us)
{
  struct front_service *service;

  if (f->route_ops->get_response_max_us == NULL)
    return;
  for (uint64_t id = table_next (&f->services, 0, (void **)&service); id != 0;
       id = table_next (&f->services, id, (void **)&service))
    {
      const struct route_endpoint *e = NULL;

      if (service->pool.subset_len > 0)
        e = table_get (&service->pool.endpoints,
                       service->pool.subset[service->log_turn++
                                            % service->pool.subset_len]);
      if (e != NULL && route_has_recent_report (e, now_us))
        log_belief (service, e, now_us);
    }
}

/**
 * dispatch_report_append - appends what this front believes, as JSON
 * @f: front
 * @out: buffer
 * @now_us: current time
 *
 * Each front chooses by the responses that it received itself.
 */
void
dispatch_report_append (struct front *f, struct str_buf *out, int64_t now_us)
{
  JsonBuilder *b = json_builder_new ();
  struct front_service *service;
  JsonNode *root;
  char *text;

  json_builder_begin_object (b);
  add_number (b, "front", f->index);
  json_builder_set_member_name (b, "services");
  json_builder_begin_array (b);
  for (uint64_t id = table_next (&f->services, 0, (void **)&service); id != 0;
       id = table_next (&f->services, id, (void **)&service))
    add_service (b, f, service, now_us);
  json_builder_end_array (b);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, TRUE);
  str_append (out, str_from_cstr (text));
  str_append_char (out, '\n');
  g_free (text);
  json_node_unref (root);
  g_object_unref (b);
}
