/* registry_stops: keeps the stops of this daemon's backend server where the
   next process of the daemon finds them.  */

#include "registry_stops.h"

#include "clock.h"
#include "logger.h"
#include "registry_era.h"

/* Constants */

/* Member of the daemon's object in the store.  */
#define STOPS_MEMBER "stops"
/* Time after the first reply of another daemon in which the others are
   expected to reply too: one that was cut off may have missed a stop.  */
#define PEER_REPLIES_US (INT64_C (500) * CLOCK_US_PER_MS)

/* Internal functions */

static void
send_to_fronts (struct control *c, const struct backend_stops *stops,
                bool stored)
{
  for (uint32_t i = 0; i < c->shared->fronts_len; i++)
    {
      struct thread_message *message
          = thread_message_create (THREAD_MESSAGE_STOPS);

      message->stops = backend_stops_copy (stops);
      message->stops_stored = stored;
      mailbox_send (c->shared->fronts[i], message);
    }
}

/* From now on reports of boots that serve are applied.  */
static void
set_known (struct control *c, const char *source)
{
  struct control_registry *cr = c->control_registry;

  if (cr->stops_known)
    return;
  cr->stops_known = true;
  LOGGER_WRITE (LOGGER_INFO, "stops_known",
                LOGGER_TEXT ("source", str_from_cstr (source)),
                LOGGER_NUMBER ("stops", cr->stops.len));
}

/* Public functions */

/**
 * registry_stops_record - adds a stop that a front reports
 * @c: control thread
 * @message: names the boot by its id and boot time
 *
 * The stop is written to the store by the next round of systems.  One that the
 * store has is published again, since the front may have missed that.
 */
void
registry_stops_record (struct control *c, const struct thread_message *message)
{
  struct control_registry *cr = c->control_registry;
  const struct thread_message_backend *b = &message->backend;

  if (backend_stops_add (&cr->stops, b->id, b->boot_ms))
    {
      cr->stops_unsaved = true;
      cr->next_state_us = 0;
    }
  else if (!cr->stops_unsaved && cr->stops_known)
    send_to_fronts (c, &cr->stops, true);
}

bool
registry_stops_load (struct backend_stops *stops, struct str value)
{
  return backend_stops_load_json (stops, value, STOPS_MEMBER);
}

void
registry_stops_load_object (struct control *c, struct str value)
{
  struct control_registry *cr = c->control_registry;

  backend_stops_close (&cr->stored);
  if (!registry_stops_load (&cr->stored, value))
    LOGGER_WRITE (LOGGER_WARNING, "daemon_object_invalid",
                  LOGGER_TEXT ("key", c->settings->member_id));
  backend_stops_merge (&cr->stops, &cr->stored);
}

void
registry_stops_begin_put (struct control *c)
{
  struct control_registry *cr = c->control_registry;

  backend_stops_close (&cr->written);
  cr->written = backend_stops_copy (&cr->stops);
}

void
registry_stops_end_put (struct control *c)
{
  struct control_registry *cr = c->control_registry;

  backend_stops_close (&cr->stored);
  cr->stored = cr->written;
  cr->written.len = 0;
}

void
registry_stops_publish (struct control *c)
{
  struct control_registry *cr = c->control_registry;

  cr->stops_unsaved = !backend_stops_contains_all (&cr->stored, &cr->stops);
  cr->era.stops_held
      = !cr->stops_known && registry_era_is_waiting (c, clock_now_us ());
  if (cr->era.stops_held)
    return;
  set_known (c, "store");
  send_to_fronts (c, &cr->stored, true);
}

void
registry_stops_send (struct control *c,
                     const struct daemon_registry_state *state)
{
  const struct control_registry *cr = c->control_registry;
  const struct daemon_registry_member *m
      = daemon_registry_find (&cr->registry, state->member);
  struct wire_registry_message out = { .type = WIRE_REGISTRY_STOPS };
  struct str_buf frames = { 0 };

  if (m == NULL || !m->state.stops_known
      || (state->stops_known
          && (cr->era.store.seen == 0
              || backend_stops_contains_all (&state->stops, &m->state.stops))))
    return;
  out.u.stops.name = m->state.name;
  out.u.stops.stops = m->state.stops;
  wire_registry_append (&frames, &out);
  control_send (c, m->state.member, m->state.address, m->state.control_port,
                str_view (&frames));
  str_reset (&frames);
}

void
registry_stops_receive (struct control *c,
                        const struct wire_registry_stops *stops)
{
  struct control_registry *cr = c->control_registry;

  if (!str_equal (stops->name, c->settings->member_id))
    return;
  if (cr->stops_received_us == 0)
    cr->stops_received_us = clock_now_us ();
  if (!backend_stops_merge (&cr->stops, &stops->stops))
    return;
  cr->stops_unsaved = true;
  if (cr->stops_known)
    send_to_fronts (c, &cr->stops, false);
}

/**
 * registry_stops_run - uses what the other daemons remember
 * @c: control thread
 * @now_us: current time
 *
 * It is used only after a call to the store has failed.  What the store has is
 * added when it answers.  Without a store the stops count as stored.
 */
void
registry_stops_run (struct control *c, int64_t now_us)
{
  struct control_registry *cr = c->control_registry;

  if (cr->store == NULL && (!cr->stops_known || cr->stops_unsaved))
    {
      registry_stops_begin_put (c);
      registry_stops_end_put (c);
      registry_stops_publish (c);
    }
  if (cr->stops_known || !cr->join_failed || cr->stops_received_us == 0
      || now_us - cr->stops_received_us < PEER_REPLIES_US)
    return;
  set_known (c, "daemons");
  send_to_fronts (c, &cr->stops, false);
}
