/* loop: event loop of one thread and its list of systems.  */

#include "loop.h"

#include "clock.h"

/* Internal functions */

/* The event only wakes the loop: the systems run after every batch of
   events.  */
static void
ignore_event (evutil_socket_t fd, short what, void *data)
{
}

static void *APR_THREAD_FUNC
run_thread (apr_thread_t *thread, void *data)
{
  loop_run (data);
  return NULL;
}

/* Public functions */

/**
 * loop_init - initializes an event loop with its systems
 * @l: loop
 * @systems: run in this order after each batch of events
 * @systems_len: number of systems
 * @owner: argument of the systems
 *
 * Return: false if the file descriptors could not be created.
 */
bool
loop_init (struct loop *l, const struct system *systems, size_t systems_len,
           void *owner)
{
  *l = (struct loop){ .systems = systems,
                      .systems_len = systems_len,
                      .owner = owner };
  atomic_init (&l->stop, false);
  l->base = event_base_new ();
  if (l->base == NULL)
    return false;
  l->tick = event_new (l->base, -1, EV_PERSIST, ignore_event, l);
  return mailbox_init (&l->inbox, l->base);
}

void
loop_close (struct loop *l)
{
  event_free (l->tick);
  mailbox_close (&l->inbox);
  event_base_free (l->base);
}

void
loop_set_tick (struct loop *l, int64_t interval_us)
{
  struct timeval interval
      = { interval_us / CLOCK_US_PER_S, interval_us % CLOCK_US_PER_S };

  if (l->tick_armed == (interval_us > 0))
    return;
  l->tick_armed = interval_us > 0;
  if (l->tick_armed)
    event_add (l->tick, &interval);
  else
    event_del (l->tick);
}

void
loop_run (struct loop *l)
{
  while (!atomic_load (&l->stop))
    {
      int64_t now_us;

      event_base_loop (l->base, EVLOOP_ONCE);
      now_us = clock_now_us ();
      for (size_t i = 0; i < l->systems_len; i++)
        l->systems[i].run (l->owner, now_us);
    }
}

bool
loop_start (struct loop *l, apr_pool_t *pool)
{
  return apr_thread_create (&l->thread, NULL, run_thread, l, pool)
         == APR_SUCCESS;
}

void
loop_stop (struct loop *l)
{
  atomic_store (&l->stop, true);
  mailbox_wake (&l->inbox);
}

void
loop_join (struct loop *l)
{
  apr_status_t status;

  apr_thread_join (&status, l->thread);
}
