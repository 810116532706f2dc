/* scarce: tests that run out of descriptors.  */

#ifndef ALMONDVALE_TESTS_SCARCE_H
#define ALMONDVALE_TESTS_SCARCE_H

#include "clock.h"

#include <check.h>
#include <event2/event.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

/* Descriptors that the process may have while they are used up.  */
#define SCARCE_DESCRIPTORS_MAX 256

struct scarce_descriptors
{
  struct rlimit limit; /* limit before */
  int len;
  int taken[SCARCE_DESCRIPTORS_MAX];
};

/* Uses up the descriptors of the process.  */
static inline void
scarce_take (struct scarce_descriptors *s)
{
  struct rlimit lower;
  int fd;

  getrlimit (RLIMIT_NOFILE, &s->limit);
  lower = s->limit;
  lower.rlim_cur = SCARCE_DESCRIPTORS_MAX;
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &lower), 0);
  s->len = 0;
  while ((fd = open ("/dev/null", O_RDONLY | O_CLOEXEC)) >= 0)
    s->taken[s->len++] = fd;
}

static inline void
scarce_return (struct scarce_descriptors *s)
{
  for (int i = 0; i < s->len; i++)
    close (s->taken[i]);
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &s->limit), 0);
}

static inline void
scarce_end_loop (evutil_socket_t fd, short what, void *data)
{
  event_base_loopbreak (data);
}

/* Runs the event loop for this time.  Returns the number of its turns.  */
static inline int
scarce_run_loop (struct event_base *base, int us)
{
  struct timeval wait = { us / CLOCK_US_PER_S, us % CLOCK_US_PER_S };
  int turns = 0;

  event_base_once (base, -1, EV_TIMEOUT, scarce_end_loop, base, &wait);
  do
    {
      event_base_loop (base, EVLOOP_ONCE);
      turns++;
    }
  while (!event_base_got_break (base));
  return turns;
}

#endif
