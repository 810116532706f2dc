/* front_report: reports of the backend server at the front thread.  */

#include "front_report.h"

#include "clock.h"

/* Constants */

/* The backend server waits for 1 s, and reports again if there is no
   confirmation by then.  */
#define CONFIRMATION_TIMEOUT_US (INT64_C (800) * CLOCK_US_PER_MS)

/* Internal functions */

static struct thread_message *
create_announcement (const struct backend_report *report)
{
  struct thread_message *message
      = thread_message_create (THREAD_MESSAGE_ANNOUNCE);

  message->backend.service = str_copy (report->service);
  message->backend.address = str_copy (report->address);
  message->backend.id = str_copy (report->id);
  message->backend.boot_ms = report->boot_ms;
  message->backend.port = report->port;
  message->backend.slots = report->slots;
  message->backend.connections = report->connections;
  message->backend.cold_us = report->cold_us;
  return message;
}

/* Tells the serve and control threads.  A drain or leave is in the mailbox of
   the serve thread when this returns.  */
static void
notify_of_change (struct front *f, enum backend_change change,
                  const struct backend_report *report)
{
  struct thread_message *message;

  switch (change)
    {
    case BACKEND_CHANGE_ANNOUNCED:
      message = create_announcement (report);
      break;
    case BACKEND_CHANGE_DRAINED:
      message = thread_message_create (THREAD_MESSAGE_DRAIN);
      break;
    case BACKEND_CHANGE_LEFT:
      message = thread_message_create (THREAD_MESSAGE_LEAVE);
      break;
    case BACKEND_CHANGE_NONE:
      if (report->state == BACKEND_SERVING)
        {
          message = thread_message_create (THREAD_MESSAGE_HEARTBEAT);
          message->backend.cold_us = report->cold_us;
          mailbox_send (f->shared->serve, message);
        }
      return;
    default:
      return;
    }
  mailbox_send (f->shared->serve, thread_message_copy (message));
  mailbox_send (f->shared->control, message);
}

/* Keeps the exchange until the store has the stop.  Like admin's status
   requests, it is in a call row that no system processes.  */
static void
await_confirmation (struct front *f, const struct backend_report *report,
                    struct http_server_exchange *x)
{
  struct thread_message *message = thread_message_create (THREAD_MESSAGE_STOP);
  struct front_confirmation *row;
  struct front_call *call;

  x->call = table_add (&f->calls, (void **)&call);
  call->id = x->call;
  call->state = FRONT_STATE_COUNT;
  call->exchange = x;
  table_add (&f->confirmations, (void **)&row);
  row->call = call->id;
  row->id = str_copy (report->id);
  row->boot_ms = report->boot_ms;
  row->deadline_us = clock_now_us () + CONFIRMATION_TIMEOUT_US;
  message->backend.id = str_copy (report->id);
  message->backend.boot_ms = report->boot_ms;
  mailbox_send (f->shared->control, message);
}

/* The caller may have disconnected, which removes its call.  */
static void
end_confirmation (struct front *f, uint64_t id, struct front_confirmation *row,
                  bool confirmed)
{
  struct front_call *call = table_get (&f->calls, row->call);

  if (call != NULL)
    {
      f->shared->dialect->answer_report (call->exchange, confirmed);
      table_remove (&f->calls, row->call);
    }
  str_free (&row->id);
  table_remove (&f->confirmations, id);
}

/* Public functions */

/**
 * front_report_apply - applies a report of the backend server
 * @f: front
 * @report: decoded report
 * @x: exchange of the report; answered now or later
 *
 * Without a confirmation of a drain or leave, the backend server reports it
 * again.
 */
void
front_report_apply (struct front *f, const struct backend_report *report,
                    struct http_server_exchange *x)
{
  notify_of_change (f, backend_apply (&f->backend, report, clock_now_us ()),
                    report);
  if (report->state == BACKEND_SERVING
      || backend_stops_contains (&f->stored_stops, report->id,
                                 report->boot_ms))
    f->shared->dialect->answer_report (x, true);
  else
    await_confirmation (f, report, x);
}

void
front_report_apply_stops (struct front *f,
                          const struct thread_message *message)
{
  struct front_confirmation *row;
  struct backend_report report;

  notify_of_change (f,
                    backend_load_stops (&f->backend, &message->stops, &report,
                                        clock_now_us ()),
                    &report);
  backend_free_report (&report);
  if (!message->stops_stored)
    return;
  backend_stops_close (&f->stored_stops);
  f->stored_stops = backend_stops_copy (&message->stops);
  for (uint64_t id = table_next (&f->confirmations, 0, (void **)&row); id != 0;
       id = table_next (&f->confirmations, id, (void **)&row))
    if (backend_stops_contains (&f->stored_stops, row->id, row->boot_ms))
      end_confirmation (f, id, row, true);
}

void
front_report_run (struct front *f, int64_t now_us)
{
  struct front_confirmation *row;

  for (uint64_t id = table_next (&f->confirmations, 0, (void **)&row); id != 0;
       id = table_next (&f->confirmations, id, (void **)&row))
    if (now_us >= row->deadline_us)
      end_confirmation (f, id, row, false);
}
