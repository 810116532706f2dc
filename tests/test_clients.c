/* Tests of almondvaled-platform with clients that are outside our control: a
   real daemon, a metadata store (the stand-in `machines`) and a backend server
   of this file.

   Each case starts a small number of badly behaved clients, keeps their
   connections open, and checks that the daemon is alive, that its memory and
   its open descriptors stayed within bounds and that it answers an ordinary
   request.  Times and shares of served requests are not checked.  */

#include "process.h"
#include "suite.h"

#include <dirent.h>
#include <poll.h>
#include <pthread.h>

/* Constants */

/* Memory of the VM in the daemon's settings, and the bound on the resident
   memory of the daemon: the smallest size of a VM in use.  */
#define MEMORY_MB 160
/* The same for the known case of slow uploads, which was found with it.  */
#define SLOW_UPLOADS_MEMORY_MB 260
/* AddressSanitizer adds a shadow of an eighth and a quarantine,
   ThreadSanitizer a shadow of four times the memory; the bound on memory holds
   for the program without them.  */
#if defined __SANITIZE_ADDRESS__
#define MEMORY_FACTOR 4
#elif defined __SANITIZE_THREAD__
#define MEMORY_FACTOR 6
#else
#define MEMORY_FACTOR 1
#endif
/* Connections of callers in the daemon's settings.  */
#define CONNECTIONS_MAX 128
/* Other descriptors of the daemon: its store, peers, listeners and loops, and
   up to 64 connections that are being closed.  */
#define DESCRIPTORS_OTHER 128
#define CLIENTS_MAX 256
#define BODY_BYTES ((size_t)8000000)
/* Largest body of the configuration.  */
#define LARGEST_BODY_BYTES ((size_t)64 << 20)
/* Size of VM on which a daemon holds such a body for a caller and for its own
   backend server.  */
#define LARGEST_BODY_MEMORY_MB 260
#define LARGE_ANSWER_BYTES ((size_t)2 << 20)
#define SMALL_PIECE_BYTES ((size_t)1400)
#define HEAD_MAX_BYTES 16384
/* Time without any progress of all clients after which their load counts as
   sent.  */
#define QUIET_MS 1000
/* Upper limit of the time for which clients send.  */
#define LOAD_MAX_US (30 * CLOCK_US_PER_S)
#define SLOW_ANSWER_US 2000000
#define SLOTS 8

#define KEY "aaaaaaaaaaaaaaaaaaaa"
#define FIELDS                                                                \
  "Host: h.example\r\nAuthorization: Bearer " KEY                             \
  "\r\nX-Almondvale-Deadline-Ms: 20000\r\n"                                   \
  "X-Almondvale-Attempt-Id: 9c41\r\n"

/* Types */

struct fixture
{
  char *dir;
  pid_t machines;
  pid_t backend;
  struct process_machine daemon;
  char *settings;
  char *members;
  int sequence; /* of the backend server's last report */
  int memory_mb;
  int clients[CLIENTS_MAX]; /* sockets */
  int clients_len;
};

/* What each client sends: a head, then a body, in pieces.  */
struct load
{
  uint16_t port;
  int clients;
  struct str head;
  struct str unit;  /* repeated as the body */
  size_t units_len; /* bytes of the body that are sent */
  size_t piece;     /* largest number of bytes of one write */
};

/* State */

static char zeros[1 << 16];

/* Functions: the backend server */

static bool
read_head (int fd, char *head, size_t size)
{
  size_t len = 0;

  while (len + 1 < size)
    {
      if (read (fd, head + len, 1) != 1)
        return false;
      head[++len] = '\0';
      if (len >= 4 && strcmp (head + len - 4, "\r\n\r\n") == 0)
        return true;
    }
  return false;
}

static bool
write_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Returns the byte of a body at an offset.  */
static char
get_body_byte (size_t at)
{
  return (char)('a' + at % 23);
}

/* Reads the body; with "checked" in the head its bytes have to be those of
   get_body_byte.  */
static bool
read_body (int fd, const char *head)
{
  const char *field = strcasestr (head, "content-length:");
  size_t left = field != NULL ? strtoul (field + 15, NULL, 10) : 0;
  bool checked = strstr (head, "checked") != NULL;
  char buffer[1 << 14];
  size_t at = 0;

  while (left > 0)
    {
      ssize_t n = read (fd, buffer, MIN (left, sizeof buffer));

      if (n <= 0)
        return false;
      left -= (size_t)n;
      for (ssize_t i = 0; checked && i < n; i++)
        if (buffer[i] != get_body_byte (at++))
          return false;
    }
  return true;
}

/* Serves one connection.  "slow" in the target delays the reading of the body,
   "large" makes the answer large.  */
static void *
serve_connection (void *data)
{
  int fd = GPOINTER_TO_INT (data);
  char head[32768];

  while (read_head (fd, head, sizeof head))
    {
      const char *id = strcasestr (head, "x-almondvale-attempt-id: ");
      size_t len = strstr (head, "large") != NULL ? LARGE_ANSWER_BYTES : 2;
      char answer[512];

      if (strstr (head, "slow") != NULL)
        g_usleep (SLOW_ANSWER_US);
      if (!read_body (fd, head))
        break;
      g_snprintf (answer, sizeof answer,
                  "HTTP/1.1 200 OK\r\nX-Almondvale-Response-Signature: s\r\n"
                  "X-Almondvale-Attempt-Id: %.*s\r\nContent-Length: %zu"
                  "\r\n\r\n",
                  id != NULL ? (int)strcspn (id + 25, "\r") : 0,
                  id != NULL ? id + 25 : "", len);
      if (!write_all (fd, answer, strlen (answer)))
        break;
      for (size_t sent = 0; sent < len; sent += sizeof zeros)
        if (!write_all (fd, zeros, MIN (len - sent, sizeof zeros)))
          break;
    }
  close (fd);
  return NULL;
}

static void
run_backend (uint16_t port)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (fd, 1024) != 0)
    _exit (126);
  for (;;)
    {
      int connection = accept (fd, NULL, NULL);
      pthread_t thread;

      if (connection < 0)
        continue;
      if (pthread_create (&thread, NULL, serve_connection,
                          GINT_TO_POINTER (connection))
          == 0)
        pthread_detach (thread);
      else
        close (connection);
    }
}

static pid_t
start_backend (uint16_t port)
{
  pid_t pid = fork ();

  ck_assert_int_ge (pid, 0);
  if (pid > 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  run_backend (port);
  _exit (0);
}

/* Functions: the daemon */

static void
report_backend (struct fixture *f)
{
  char *body = g_strdup_printf (
      "{\"service\":\"notes\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
      "\"coldRemaining\":\"0ms\",\"seq\":%d,\"born\":1}",
      f->daemon.backend, SLOTS, ++f->sequence);

  process_send (f->daemon.control, "POST",
                "/almondvale/instances/i-1/heartbeat", body, NULL);
  g_free (body);
}

/* Repeats an ordinary request until it is answered.  */
static void
await_ordinary_answer (struct fixture *f)
{
  const char *lines[] = { "Host: h.example", "X-Almondvale-Attempt-Id: 9c42",
                          "X-Almondvale-Deadline-Ms: 2000",
                          "Authorization: Bearer " KEY, NULL };
  int64_t end_us = clock_now_us () + PROCESS_WAIT_MAX_US;
  int status;

  while (
      (status
       = process_send (f->daemon.caller, "GET", "/notes/x", "", lines).status)
      != 200)
    {
      ck_assert_msg (clock_now_us () < end_us,
                     "an ordinary request is answered %d", status);
      report_backend (f);
      g_usleep (PROCESS_POLL_INTERVAL_US);
    }
}

static struct fixture
start (int memory_mb)
{
  struct fixture f = { .dir = process_make_dir (), .memory_mb = memory_mb };
  uint16_t store_port = process_get_port ();
  char *store = g_strdup_printf ("--store=%u", store_port);
  char *file = g_strdup_printf ("--config=%s/config.json", f.dir);
  char *log = g_strdup_printf ("%s/machines.log", f.dir);

  process_write_file (
      f.dir, "config.json",
      "{\"version\":1,\"routes\":{\"columns\":[\"name\",\"host\","
      "\"pathPrefix\",\"kind\",\"timeout\",\"targetLatency\",\"priority\","
      "\"maxAttempts\",\"public\",\"service\"],\"rows\":[[\"r1\","
      "\"h.example\",\"/notes/\",\"upload\",\"20s\",\"20s\",1,1,false,"
      "\"notes\"]]},\"services\":{\"columns\":[\"name\"],\"rows\":[["
      "\"notes\"]]},\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
      "\"idleTimeout\":\"5000ms\"},\"tenants\":{\"columns\":[\"name\","
      "\"apiKeys\",\"priority\",\"ratePerS\",\"burst\"],\"rows\":[[\"w1\",["
      "\"" KEY "\"],1,null,null]]}}");
  f.settings = g_build_filename (f.dir, "settings.json", NULL);
  process_write_file (
      f.dir, "settings.json",
      "{\"limits\":{\"connections\":" G_STRINGIFY (CONNECTIONS_MAX) "}}");
  f.members = g_strdup_printf (",\"limits\":{\"memoryMb\":%d}", memory_mb);
  process_init_machine (&f.daemon, 0, "notes", store_port);
  f.daemon.settings_path = f.settings;
  f.daemon.members = f.members;
  f.backend = start_backend (f.daemon.backend);
  f.machines = process_start (log, "machines", store, file, NULL);
  process_wait_for_status (store_port, "/standin/executions", 200);
  process_start_machine (&f.daemon, f.dir);
  process_wait_for_status (f.daemon.ready, "/almondvale/ready", 200);
  await_ordinary_answer (&f);
  g_free (store);
  g_free (file);
  g_free (log);
  return f;
}

static void
stop (struct fixture *f)
{
  for (int i = 0; i < f->clients_len; i++)
    close (f->clients[i]);
  process_stop (f->daemon.pid, SIGKILL);
  process_stop (f->backend, SIGKILL);
  process_stop (f->machines, SIGKILL);
  g_free (f->settings);
  g_free (f->members);
  g_free (f->dir);
}

/* Returns the largest resident memory that the daemon has had.  */
static int
get_peak_mb (const struct fixture *f)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)f->daemon.pid);
  char *text = NULL;
  const char *line;
  int kb = 0;

  if (g_file_get_contents (path, &text, NULL, NULL)
      && (line = strstr (text, "VmHWM:")) != NULL)
    kb = atoi (line + 6);
  g_free (text);
  g_free (path);
  return kb / 1024;
}

static int
count_descriptors (const struct fixture *f)
{
  char *path = g_strdup_printf ("/proc/%d/fd", (int)f->daemon.pid);
  GDir *dir = g_dir_open (path, 0, NULL);
  int count = 0;

  while (dir != NULL && g_dir_read_name (dir) != NULL)
    count++;
  if (dir != NULL)
    g_dir_close (dir);
  g_free (path);
  return count;
}

static void
check_daemon (struct fixture *f)
{
  ck_assert_int_eq (waitpid (f->daemon.pid, NULL, WNOHANG), 0);
  ck_assert_int_le (count_descriptors (f),
                    CONNECTIONS_MAX + DESCRIPTORS_OTHER);
  ck_assert_int_le (get_peak_mb (f), f->memory_mb * MEMORY_FACTOR);
  process_wait_for_status (f->daemon.ready, "/almondvale/ready", 200);
  await_ordinary_answer (f);
  ck_assert_int_eq (waitpid (f->daemon.pid, NULL, WNOHANG), 0);
  ck_assert_int_le (get_peak_mb (f), f->memory_mb * MEMORY_FACTOR);
}

/* Functions: clients */

static int
open_client (uint16_t port)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int flags;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&at, sizeof at), 0);
  flags = fcntl (fd, F_GETFL);
  fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  return fd;
}

/* Sends the next piece.  Returns false if nothing could be sent.  */
static bool
send_piece (const struct load *load, int fd, size_t *sent)
{
  const char *data = load->head.data + *sent;
  size_t len = load->head.len - MIN (*sent, load->head.len);
  ssize_t n;

  if (len == 0)
    {
      size_t at = *sent - load->head.len;

      data = load->unit.data + at % load->unit.len;
      len = MIN (load->unit.len - at % load->unit.len, load->units_len - at);
    }
  n = send (fd, data, MIN (len, load->piece), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n <= 0)
    return false;
  *sent += (size_t)n;
  return true;
}

/* Sends the load of all clients at the same time, until all of it is sent or
   no client can send for QUIET_MS.  Nothing is read.  */
static void
send_load (struct fixture *f, const struct load *load)
{
  size_t sent[CLIENTS_MAX] = { 0 };
  size_t total = load->head.len + load->units_len;
  int64_t end_us = clock_now_us () + LOAD_MAX_US;
  int64_t progress_us = clock_now_us ();
  int first = f->clients_len;
  int left = load->clients;

  for (int i = 0; i < load->clients; i++)
    f->clients[f->clients_len++] = open_client (load->port);
  while (left > 0 && clock_now_us () < end_us
         && clock_now_us () - progress_us < QUIET_MS * CLOCK_US_PER_MS)
    {
      bool progress = false;

      left = 0;
      for (int i = 0; i < load->clients; i++)
        if (sent[i] < total)
          {
            progress |= send_piece (load, f->clients[first + i], &sent[i]);
            left += sent[i] < total;
          }
      if (progress)
        progress_us = clock_now_us ();
      else
        g_usleep (1000);
    }
  g_usleep (QUIET_MS * 1000);
}

static const char upload_head[]
    = "POST /notes/x HTTP/1.1\r\n" FIELDS "Content-Length: 8000000\r\n\r\n";

static void
stop_short (uint16_t port, size_t piece, struct fixture *f, const char *head)
{
  struct load load = { .port = port,
                       .clients = 40,
                       .head = str_from_cstr (head),
                       .unit = { sizeof zeros, zeros },
                       .units_len = BODY_BYTES - 1,
                       .piece = piece };

  send_load (f, &load);
  check_daemon (f);
}

/* Guards against bodies of permitted size that stop just short of their end
   and together exceed the memory.  */
START_TEST (uploads_that_stop_short_stay_within_memory)
{
  struct fixture f = start (MEMORY_MB);

  stop_short (f.daemon.caller, sizeof zeros, &f, upload_head);
  stop (&f);
}
END_TEST

/* Guards against the same in small pieces.  */
START_TEST (uploads_in_small_pieces_stay_within_memory)
{
  struct fixture f = start (MEMORY_MB);

  stop_short (f.daemon.caller, SMALL_PIECE_BYTES, &f, upload_head);
  stop (&f);
}
END_TEST

/* Guards against bodies on a path without a route, which are refused only
   after they were collected.  */
START_TEST (uploads_without_a_route_stay_within_memory)
{
  struct fixture f = start (MEMORY_MB);

  stop_short (f.daemon.caller, sizeof zeros, &f,
              "POST /other HTTP/1.1\r\nHost: h.example\r\n"
              "Content-Length: 8000000\r\n\r\n");
  stop (&f);
}
END_TEST

/* Guards against bodies that are sent to the readiness path.  */
START_TEST (uploads_to_the_readiness_path_stay_within_memory)
{
  struct fixture f = start (MEMORY_MB);

  stop_short (f.daemon.ready, sizeof zeros, &f,
              "GET /almondvale/ready HTTP/1.1\r\nHost: h.example\r\n"
              "Content-Length: 8000000\r\n\r\n");
  stop (&f);
}
END_TEST

/* Guards against bodies in chunks, whose length is not declared.  */
START_TEST (chunked_uploads_stay_within_memory)
{
  static char chunk[6 + 0x1000 + 2 + 1];
  struct fixture f = start (MEMORY_MB);
  struct load load = { .port = f.daemon.caller,
                       .clients = 40,
                       .head = STR_LIT ("POST /notes/x HTTP/1.1\r\n" FIELDS
                                        "Transfer-Encoding: chunked\r\n\r\n"),
                       .unit = { sizeof chunk - 1, chunk },
                       .units_len = BODY_BYTES,
                       .piece = sizeof zeros };

  memset (chunk, 'x', sizeof chunk);
  memcpy (chunk, "1000\r\n", 6);
  memcpy (chunk + sizeof chunk - 3, "\r\n", 3);
  send_load (&f, &load);
  check_daemon (&f);
  stop (&f);
}
END_TEST

/* Guards against bodies far over the limit, of which as much as the limit was
   kept.  */
START_TEST (bodies_over_the_limit_stay_within_memory)
{
  struct fixture f = start (MEMORY_MB);
  struct load load = { .port = f.daemon.caller,
                       .clients = 40,
                       .head = STR_LIT ("POST /notes/x HTTP/1.1\r\n" FIELDS
                                        "Content-Length: 8000000000\r\n\r\n"),
                       .unit = { sizeof zeros, zeros },
                       .units_len = 2 * BODY_BYTES,
                       .piece = sizeof zeros };

  send_load (&f, &load);
  check_daemon (&f);
  stop (&f);
}
END_TEST

/* Guards against heads of permitted size made of very many short fields that
   take up all connections.  */
START_TEST (heads_of_many_fields_stay_within_memory)
{
  struct fixture f = start (MEMORY_MB);
  struct load load = { .port = f.daemon.caller,
                       .clients = 200,
                       .head = STR_LIT ("GET /notes/x HTTP/1.1\r\n" FIELDS),
                       .unit = STR_LIT ("a:\r\n"),
                       .units_len = HEAD_MAX_BYTES - 512,
                       .piece = sizeof zeros };

  send_load (&f, &load);
  check_daemon (&f);
  stop (&f);
}
END_TEST

/* Guards against clients that send many requests on one connection and read no
   response.  */
START_TEST (pipelined_requests_stay_within_memory)
{
  struct fixture f = start (MEMORY_MB);
  struct str request = STR_LIT ("GET /notes/large HTTP/1.1\r\n" FIELDS "\r\n");
  struct load load = { .port = f.daemon.caller,
                       .clients = CONNECTIONS_MAX - 8,
                       .head = request,
                       .unit = request,
                       .units_len = 100 * request.len,
                       .piece = sizeof zeros };

  send_load (&f, &load);
  check_daemon (&f);
  stop (&f);
}
END_TEST

/* Guards against clients that stop halfway in a small body and keep all
   connections.  */
START_TEST (stopped_requests_do_not_keep_all_connections)
{
  struct fixture f = start (MEMORY_MB);
  struct load load = { .port = f.daemon.caller,
                       .clients = CONNECTIONS_MAX,
                       .head = STR_LIT ("POST /notes/x HTTP/1.1\r\n" FIELDS
                                        "Content-Length: 1000\r\n\r\n"),
                       .unit = { 500, zeros },
                       .units_len = 500,
                       .piece = sizeof zeros };

  send_load (&f, &load);
  check_daemon (&f);
  stop (&f);
}
END_TEST

/* Guards against the known case: complete uploads that wait for a slow backend
   server, of which the daemon held several copies.  */
START_TEST (uploads_to_a_slow_backend_stay_within_memory)
{
  struct fixture f = start (SLOW_UPLOADS_MEMORY_MB);
  struct load load = { .port = f.daemon.caller,
                       .clients = 60,
                       .head = STR_LIT ("POST /notes/slow HTTP/1.1\r\n" FIELDS
                                        "Content-Length: 8000000\r\n\r\n"),
                       .unit = { sizeof zeros, zeros },
                       .units_len = BODY_BYTES,
                       .piece = sizeof zeros };

  send_load (&f, &load);
  check_daemon (&f);
  stop (&f);
}
END_TEST

/* Guards against refusing a body that the limits permit while nothing else is
   held, and against changing its bytes.  */
START_TEST (single_upload_is_served)
{
  static const size_t sizes[]
      = { 1, 262144, 262145, 3000000, BODY_BYTES, LARGEST_BODY_BYTES };
  struct fixture f = start (LARGEST_BODY_MEMORY_MB);
  const char *lines[] = { "Host: h.example", "X-Almondvale-Attempt-Id: 9c43",
                          "X-Almondvale-Deadline-Ms: 20000",
                          "Authorization: Bearer " KEY, NULL };
  char *body = g_malloc (LARGEST_BODY_BYTES + 1);

  for (size_t i = 0; i < LARGEST_BODY_BYTES; i++)
    body[i] = get_body_byte (i);
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      body[sizes[i]] = '\0';
      ck_assert_int_eq (
          process_send (f.daemon.caller, "POST", "/notes/checked", body, lines)
              .status,
          200);
      body[sizes[i]] = get_body_byte (sizes[i]);
    }
  g_free (body);
  check_daemon (&f);
  stop (&f);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = {
    uploads_that_stop_short_stay_within_memory,
    uploads_in_small_pieces_stay_within_memory,
    uploads_without_a_route_stay_within_memory,
    uploads_to_the_readiness_path_stay_within_memory,
    chunked_uploads_stay_within_memory,
    bodies_over_the_limit_stay_within_memory,
    heads_of_many_fields_stay_within_memory,
    pipelined_requests_stay_within_memory,
    stopped_requests_do_not_keep_all_connections,
    uploads_to_a_slow_backend_stay_within_memory,
    single_upload_is_served,
  };

  return suite_run ("clients", cases, sizeof cases / sizeof *cases);
}
