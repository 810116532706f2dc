/* loop: event loop of one thread and its list of systems.

   The thread blocks until there are events, then runs its systems in order.
   Event callbacks only change rows; the systems make the decisions.  */

#ifndef ALMONDVALE_LOOP_H
#define ALMONDVALE_LOOP_H

#include "mailbox.h"

#include <apr_thread_proc.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

/* A function that the loop runs after each batch of events.  */
struct system
{
  const char *name;
  void (*run) (void *owner, int64_t now_us);
};

struct loop
{
  struct event_base *base;
  struct mailbox inbox;
  const struct system *systems;
  size_t systems_len;
  void *owner;        /* argument of the systems */
  struct event *tick; /* wakes the loop at an interval */
  bool tick_armed;
  apr_thread_t *thread;
  atomic_bool stop;
};

/* Public functions */

/* Initializes the loop.  Run it in a new thread with loop_start, or in the
   calling thread with loop_run.  */
bool loop_init (struct loop *l, const struct system *systems,
                size_t systems_len, void *owner);
/* Frees the loop; its thread must have ended.  */
void loop_close (struct loop *l);
/* Wakes the loop at least every interval_us; 0 disables this.  The interval
   cannot be changed without disabling it first.  */
void loop_set_tick (struct loop *l, int64_t interval_us);
/* Runs the loop in the calling thread until loop_stop.  */
void loop_run (struct loop *l);
/* Runs the loop in a new thread; returns false if it cannot be created.  */
bool loop_start (struct loop *l, apr_pool_t *pool);
/* Makes the loop end; any thread may call it.  */
void loop_stop (struct loop *l);
/* Waits for the thread created by loop_start.  */
void loop_join (struct loop *l);

#endif
