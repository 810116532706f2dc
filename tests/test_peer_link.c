/* Tests of peer_link: a daemon that connects while no descriptor is free.  */

#include "frame.h"
#include "logger.h"
#include "peer_link.h"
#include "scarce.h"
#include "suite.h"

#include <glib.h>

#define OBSERVED_US 500000
/* Only ends a test that hangs; not a bound on speed.  */
#define WAIT_US (20 * CLOCK_US_PER_S)
/* Turns of the event loop in OBSERVED_US, with a reserve: a retry each 50 ms
   and the end of the observation.  */
#define TURNS_MAX 30

struct fixture
{
  struct event_base *base;
  struct peer_link_set server;
  struct peer_link_set client;
  uint16_t port;
  int frames;
};

static void
on_frame (void *owner, uint64_t link, struct str frame)
{
  struct fixture *f = owner;

  f->frames++;
}

static void
on_close (void *owner, uint64_t link, bool connected)
{
}

static const struct peer_link_ops ops = { on_frame, on_close };

static void
open_fixture (struct fixture *f)
{
  *f = (struct fixture){ .base = event_base_new () };
  peer_link_init_set (&f->server, f->base, &ops, f);
  peer_link_init_set (&f->client, f->base, &ops, f);
  /* Below the range of ephemeral ports, as in process.h.  */
  f->port = (uint16_t)(9000 + getpid () % 900);
  while (!peer_link_listen (&f->server, STR_LIT ("127.0.0.1"), f->port))
    f->port++;
}

static void
close_fixture (struct fixture *f)
{
  peer_link_close_set (&f->client);
  peer_link_close_set (&f->server);
  event_base_free (f->base);
}

/* Guards against a control thread that spins while no descriptor is free for
   another daemon's link, and against a link that is never accepted.  */
START_TEST (lack_of_descriptors_delays_a_link)
{
  struct str_buf frame = { 0 };
  struct scarce_descriptors taken;
  struct fixture f;
  uint64_t link;
  int64_t end_us = clock_now_us () + WAIT_US;

  open_fixture (&f);
  frame_append (&frame, STR_LIT ("x"));
  link = peer_link_connect (&f.client, STR_LIT ("127.0.0.1"), f.port);
  ck_assert_uint_ne (link, 0);
  scarce_take (&taken);
  ck_assert_int_le (scarce_run_loop (f.base, OBSERVED_US), TURNS_MAX);
  scarce_return (&taken);
  ck_assert (peer_link_send (&f.client, link, str_view (&frame)));
  while (f.frames == 0)
    {
      ck_assert_msg (clock_now_us () < end_us, "the link is not accepted");
      scarce_run_loop (f.base, OBSERVED_US);
    }
  str_reset (&frame);
  close_fixture (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { lack_of_descriptors_delays_a_link };

  logger_init (LOGGER_ERROR);
  return suite_run ("peer_link", cases, G_N_ELEMENTS (cases));
}
