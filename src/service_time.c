/* service_time: low estimate of the service time of each route.  */

#include "service_time.h"

/* Constants */

/* A shorter service time moves the estimate nine times as far as a longer one,
   so that it settles where one request in ten is shorter.  */
#define SERVICE_TIME_GAIN_DOWN 0.18
#define SERVICE_TIME_GAIN_UP 0.02

/* Internal functions */

static struct service_time_route *
find_route (const struct service_time *t, struct str name)
{
  uint64_t *id = g_hash_table_lookup (t->by_name, &name);

  return id != NULL ? table_get (&t->routes, *id) : NULL;
}

/* Public functions */

void
service_time_init (struct service_time *t)
{
  table_init (&t->routes, sizeof (struct service_time_route));
  t->by_name
      = g_hash_table_new_full (str_hash_key, str_equal_keys, NULL, g_free);
}

void
service_time_close (struct service_time *t)
{
  struct service_time_route *r;

  g_hash_table_unref (t->by_name);
  for (uint64_t id = table_next (&t->routes, 0, (void **)&r); id != 0;
       id = table_next (&t->routes, id, (void **)&r))
    str_free (&r->name);
  table_close (&t->routes);
}

void
service_time_record (struct service_time *t, struct str route,
                     int64_t service_us)
{
  struct service_time_route *r = find_route (t, route);
  double sample = (double)service_us;
  uint64_t *id;

  if (r == NULL)
    {
      if (t->routes.count >= SERVICE_TIME_ROUTES_MAX)
        return;
      id = g_new (uint64_t, 1);
      *id = table_add (&t->routes, (void **)&r);
      r->name = str_copy (route);
      r->p10_us = sample;
      g_hash_table_insert (t->by_name, &r->name, id);
      return;
    }
  r->p10_us
      += (sample < r->p10_us ? SERVICE_TIME_GAIN_DOWN : SERVICE_TIME_GAIN_UP)
         * (sample - r->p10_us);
}

int64_t
service_time_get_us (const struct service_time *t, struct str route)
{
  const struct service_time_route *r = find_route (t, route);

  return r != NULL && r->p10_us > 1 ? (int64_t)r->p10_us : 1;
}
