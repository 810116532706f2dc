/* Case: a daemon that is killed and started again has forgotten that its
   backend server has left.  */

#include "../harness.h"

#define DRAIN_MS 2000
#define STABLE_MS 3000
/* The backend server serves for this time after its leave, then it exits.  */
#define EXIT_MS 6000

static _Atomic int64_t left_ms;    /* when the leave was acknowledged */
static _Atomic int64_t started_ms; /* last start of the daemon of machine 0 */
static _Atomic int late_runs;

static bool
handle (struct backend *b, int fd, const struct message *request)
{
  char id[128];
  int64_t now = now_ms ();

  get_header (request, "X-Almondvale-Attempt-Id", id, sizeof id);
  if (b == &machines[0].backend && left_ms > 0 && now > left_ms + EXIT_MS)
    {
      record ("%s has exited: request %s gets no answer", b->id, id);
      return false;
    }
  if (b == &machines[0].backend && left_ms > 0)
    {
      bool late = now > left_ms + DRAIN_MS && now > started_ms + STABLE_MS;

      record ("%s runs request %s, %lld ms after its leave was acknowledged%s",
              b->id, id, (long long)(now - left_ms), late ? ": too late" : "");
      late_runs += late;
    }
  sleep_ms (50);
  return answer_request (fd, request, 200, SIGNED, "ok", 2);
}

static _Atomic int requests_len;
static _Atomic int served;
static _Atomic int unknown; /* answered 502 or 504 */

/* A caller at one machine, with one request after the other.  */
static void *
run_caller (void *data)
{
  struct machine *m = data;
  char id[32];
  int status;

  while (now_ms () < left_ms + 8000)
    {
      snprintf (id, sizeof id, "m%d-q%d", m->index, (int)requests_len++);
      status = send_request (m->outbound, "POST", "/book/x", id, 2000, "b");
      served += status == 200;
      unknown += status == 502 || status == 504;
      sleep_ms (50);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const targets[] = { "/book/x", NULL };
  struct backend *b;
  uint64_t delayed;
  int status;

  begin_case (argv[1]);
  add_machine ("bookings", handle);
  add_machine ("bookings", handle);
  add_machine ("towerbook", handle);
  start_deployment (
      "{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\","
      "\"pathPrefix\",\"kind\",\"timeout\",\"targetLatency\",\"priority\","
      "\"maxAttempts\",\"public\",\"service\"],\"rows\":[[\"r1\","
      "\"h.example\",\"/book/\",\"unsafe\",\"2s\",\"1s\",0,1,false,"
      "\"bookings\"]]},\"services\":{\"columns\":[\"name\"],\"rows\":[["
      "\"towerbook\"],[\"bookings\"]]},\"tenants\":{\"columns\":[\"name\","
      "\"apiKeys\",\"priority\",\"ratePerS\",\"burst\"],\"rows\":[[\"w1\",["
      "\"" KEY "\"],1,1000,1000]]}}",
      targets);
  sleep_ms (4000);
  b = &machines[0].backend;
  /* The heartbeat that is late: the last one before the leave.  */
  b->silent = true;
  sleep_ms (100);
  delayed = ++b->sequence;
  record ("%s sends heartbeat %llu (ready), which arrives 2 s later", b->id,
          (unsigned long long)delayed);
  sleep_ms (100);
  status = send_deregister (b);
  if (status / 100 != 2)
    give_up ("the leave is not acknowledged");
  left_ms = now_ms ();
  record ("%s deregisters: answer %d; it serves for some seconds more", b->id,
          status);
  sleep_ms (300);
  if (is_trouble_on ())
    {
      signal_daemon (&machines[0], SIGKILL);
      await_daemon_end (&machines[0]);
      sleep_ms (500);
      start_daemon (&machines[0], false);
      started_ms = now_ms ();
    }
  sleep_until_ms (left_ms + 1900);
  status = send_heartbeat (b, "ready", delayed);
  record ("the late heartbeat %llu of %s arrives: answer %d",
          (unsigned long long)delayed, b->id, status);
  for (int i = 0; i < 2 * machines_len; i++)
    start_thread (run_caller, &machines[i % machines_len]);
  sleep_until_ms (left_ms + 10500);
  record ("callers got %d answers, and %d times 502 or 504; %d requests "
          "reached %s later than %d ms "
          "after its leave, sent on by machines that were in touch",
          (int)served, (int)unknown, (int)late_runs, b->id, DRAIN_MS);
  end_case (late_runs > 0 ? CASE_BROKEN : CASE_HELD);
}
