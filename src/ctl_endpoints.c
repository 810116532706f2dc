/* ctl_endpoints: shows where a daemon would send a request to a service now,
   and why not elsewhere.  */

#include "ctl.h"
#include "json_field.h"

/* Constants */

#define ENDPOINTS_TARGET "/almondvale/endpoints"

/* Internal functions */

/* Returns the endpoints of a service in the daemon's answer, or NULL.  */
static JsonArray *
find_endpoints (JsonObject *answer, struct str service)
{
  JsonArray *services = json_field_get_array (answer, "services");

  for (guint i = 0; services != NULL && i < json_array_get_length (services);
       i++)
    {
      JsonNode *node = json_array_get_element (services, i);
      struct str name;

      if (JSON_NODE_HOLDS_OBJECT (node)
          && json_field_get_text (json_node_get_object (node), "service",
                                  &name)
          && str_equal (name, service))
        return json_field_get_array (json_node_get_object (node), "endpoints");
    }
  return NULL;
}

static int64_t
get_number (JsonObject *o, const char *name)
{
  int64_t value = 0;

  json_field_get_number (o, name, 0, INT64_MAX, &value);
  return value;
}

static void
append_endpoint (struct str_buf *out, JsonObject *o)
{
  struct str member = STR_EMPTY;
  struct str rule;
  int64_t age_ms;

  json_field_get_text (o, "member", &member);
  str_append_format (out, "  %.*s: ", STR_ARG (member));
  if (json_field_get_text (o, "excluded_by", &rule))
    str_append_format (out, "excluded by %.*s, ", STR_ARG (rule));
  str_append_format (
      out, "chance %d%%, %d of %d in flight, expected wait %.1f ms, ",
      (int)get_number (o, "chance_percent"), (int)get_number (o, "in_flight"),
      (int)get_number (o, "limit"), (double)get_number (o, "wait_us") / 1000);
  if (json_field_get_number (o, "age_ms", 0, INT64_MAX, &age_ms))
    str_append_format (out, "reported %d ms ago\n", (int)age_ms);
  else
    str_append (out, STR_LIT ("no recent report\n"));
}

static void
append_endpoints (struct ctl *ctl, JsonArray *endpoints, struct str service)
{
  guint len = endpoints != NULL ? json_array_get_length (endpoints) : 0;

  str_append_format (&ctl->out, "Endpoints of %.*s at this daemon: %u\n",
                     STR_ARG (service), len);
  for (guint i = 0; i < len; i++)
    {
      JsonNode *node = json_array_get_element (endpoints, i);

      if (JSON_NODE_HOLDS_OBJECT (node))
        append_endpoint (&ctl->out, json_node_get_object (node));
    }
}

static void
add_endpoints (JsonBuilder *b, JsonArray *endpoints)
{
  JsonNode *node;

  json_builder_set_member_name (b, "endpoints");
  if (endpoints == NULL)
    {
      json_builder_add_null_value (b);
      return;
    }
  node = json_node_new (JSON_NODE_ARRAY);
  json_node_set_array (node, endpoints);
  json_builder_add_value (b, node);
}

/* Public functions */

/**
 * ctl_add_endpoints - adds the endpoints of a service as a daemon sees them
 * @ctl: command
 * @address: ADDRESS:PORT of the daemon's local port
 * @service: service
 * @builder: receives the member "endpoints", or NULL for text on the output
 *
 * Return: CTL_OK, or another exit code after an error line.
 */
int
ctl_add_endpoints (struct ctl *ctl, const char *address, struct str service,
                   JsonBuilder *builder)
{
  struct str_buf body = { 0 };
  JsonNode *root = NULL;
  JsonArray *endpoints;
  int code = CTL_UNAVAILABLE;

  if (ctl_fetch (ctl, address, ENDPOINTS_TARGET, &body))
    {
      code = CTL_SOFTWARE;
      root = json_field_parse_object (str_view (&body));
      if (root == NULL)
        ctl_print_error ("the daemon's endpoints cannot be read");
    }
  if (root != NULL)
    {
      code = CTL_OK;
      endpoints = find_endpoints (json_node_get_object (root), service);
      if (builder != NULL)
        add_endpoints (builder, endpoints);
      else
        append_endpoints (ctl, endpoints, service);
      json_node_unref (root);
    }
  str_reset (&body);
  return code;
}
