/* Tests of listener: callers that connect while none can be accepted.  */

#include "clock.h"
#include "listener.h"
#include "logger.h"
#include "scarce.h"
#include "suite.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

/* Only ends a test that hangs; not a bound on speed.  */
#define WAIT_US (20 * CLOCK_US_PER_S)
#define OBSERVED_US (10 * LISTENER_RETRY_US)

struct fixture
{
  struct event_base *base;
  struct listener *listener;
  uint16_t port;
  bool has_room;
  int room_checks;
  int shortages;
  int accepted;
};

static bool
make_room (void *owner)
{
  struct fixture *f = owner;

  f->room_checks++;
  return f->has_room;
}

static void
on_shortage (void *owner)
{
  struct fixture *f = owner;

  f->shortages++;
}

static void
on_accept (void *owner, evutil_socket_t fd, const struct sockaddr *address,
           socklen_t len)
{
  struct fixture *f = owner;

  f->accepted++;
  evutil_closesocket (fd);
}

static const struct listener_ops ops = { make_room, on_shortage, on_accept };

static void
open_fixture (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  f->base = event_base_new ();
  f->has_room = true;
  /* Below the range of ephemeral ports, as in process.h.  */
  for (f->port = (uint16_t)(9000 + getpid () % 900); f->listener == NULL;
       f->port++)
    f->listener = listener_load (f->base, STR_LIT ("127.0.0.1"), f->port,
                                 false, &ops, f);
  f->port--;
}

static void
close_fixture (struct fixture *f)
{
  listener_unload (f->listener);
  event_base_free (f->base);
}

static int
connect_to (const struct fixture *f)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons (f->port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&at, sizeof at), 0);
  return fd;
}

/* Runs the event loop until `accepted` connections were accepted.  */
static void
run_until_accepted (struct fixture *f, int accepted)
{
  int64_t end_us = clock_now_us () + WAIT_US;

  while (f->accepted < accepted)
    {
      ck_assert_msg (clock_now_us () < end_us, "the caller is not accepted");
      scarce_run_loop (f->base, LISTENER_RETRY_US);
    }
}

/* Guards against a loop that spins while the owner has no room, against
   accepting a caller without room, and against not accepting it afterwards.  */
START_TEST (caller_without_room_waits_until_there_is_room)
{
  struct fixture f;
  int caller;

  open_fixture (&f);
  f.has_room = false;
  caller = connect_to (&f);
  scarce_run_loop (f.base, OBSERVED_US);
  ck_assert_int_eq (f.accepted, 0);
  ck_assert_int_ge (f.room_checks, 2);
  ck_assert_int_le (f.room_checks, OBSERVED_US / LISTENER_RETRY_US + 1);
  ck_assert_int_ge (listener_get_paused_us (f.listener, clock_now_us ()),
                    OBSERVED_US / 2);
  f.has_room = true;
  run_until_accepted (&f, 1);
  ck_assert_int_eq (listener_get_paused_us (f.listener, clock_now_us ()), 0);
  close (caller);
  close_fixture (&f);
}
END_TEST

/* Guards against making room, which ends a connection of another caller,
   when no caller waits.  */
START_TEST (room_is_made_only_for_a_waiting_caller)
{
  struct fixture f;
  int caller;

  open_fixture (&f);
  scarce_run_loop (f.base, LISTENER_RETRY_US);
  ck_assert_int_eq (f.room_checks, 0);
  caller = connect_to (&f);
  run_until_accepted (&f, 1);
  scarce_run_loop (f.base, LISTENER_RETRY_US);
  ck_assert_int_eq (f.room_checks, 1);
  close (caller);
  close_fixture (&f);
}
END_TEST

/* Guards against giving up after one accept without a free descriptor, and
   against a loop that spins until there is one.  */
START_TEST (caller_is_accepted_after_lack_of_descriptors)
{
  struct scarce_descriptors taken;
  struct fixture f;
  int caller;

  open_fixture (&f);
  caller = connect_to (&f);
  scarce_take (&taken);
  scarce_run_loop (f.base, OBSERVED_US);
  ck_assert_int_eq (f.accepted, 0);
  ck_assert_int_ge (f.shortages, 2);
  ck_assert_int_le (f.shortages, OBSERVED_US / LISTENER_RETRY_US + 1);
  scarce_return (&taken);
  run_until_accepted (&f, 1);
  close (caller);
  close_fixture (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[]
      = { caller_without_room_waits_until_there_is_room,
          room_is_made_only_for_a_waiting_caller,
          caller_is_accepted_after_lack_of_descriptors };

  logger_init (LOGGER_ERROR);
  return suite_run ("listener", cases, G_N_ELEMENTS (cases));
}
