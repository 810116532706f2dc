/* loop: one thread's event loop and its list of systems.

   The thread blocks until there are events, then runs its systems in order.
   Callbacks of events only change rows; decisions are the systems' part.  */

#ifndef ALMONDVALE_LOOP_H
#define ALMONDVALE_LOOP_H

#include "mailbox.h"

#include <apr_thread_proc.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

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
  void *owner;        /* passed to the systems */
  struct event *tick; /* wakes the loop at an interval */
  bool tick_armed;
  apr_thread_t *thread;
  atomic_bool stop;
};

/* Public functions */

/* makes the loop; the owner's thread is started by loop_start or is the
   caller of loop_run */
bool loop_init (struct loop *l, const struct system *systems,
                size_t systems_len, void *owner);
/* frees the loop after its thread has ended */
void loop_close (struct loop *l);
/* wakes the loop at least every interval_us; 0 stops that */
void loop_set_tick (struct loop *l, int64_t interval_us);
/* runs until loop_stop */
void loop_run (struct loop *l);
/* runs the loop in a thread of its own */
bool loop_start (struct loop *l, apr_pool_t *pool);
/* asks the loop to end; any thread */
void loop_stop (struct loop *l);
/* waits for the thread that loop_start made */
void loop_join (struct loop *l);

#endif
