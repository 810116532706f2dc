/* harness-2: starts a small deployment of almondvaled-platform on loopback for
   the cases 6 to 10.  The store is the project's stand-in `machines`; backend
   servers and clients are threads of the case's own program.  */

#ifndef REVIEW_HARNESS_2_H
#define REVIEW_HARNESS_2_H

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define KEY "aaaaaaaaaaaaaaaaaaaa"
#define NODES_MAX 20
#define HEAD_MAX 32768
#define EXIT_HELD 0
#define EXIT_BROKEN 1
#define EXIT_NOT_RUN 2

struct node
{
  int index;
  const char *service;
  int caller, control, ready, backend, peer;
  pid_t pid; /* 0 while it does not run */
  int listener;
  int64_t born_ms;
  int starts;              /* of the daemon */
  volatile bool own_pings; /* the case sends them */
};

/* A request as a backend server has received it.  */
struct request
{
  int fd;
  struct node *node;
  char head[HEAD_MAX];
  char method[16], target[512], id[128];
  size_t body_len;
  char *early; /* bytes of the body that came with the head */
  size_t early_len;
};

static struct node nodes[NODES_MAX];
static int nodes_len;
static int store_port;
static pid_t store_pid;
static char work_dir[256];
static FILE *record_file;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static volatile bool ending;
static int64_t start_ms;
/* Runs a request at a backend server and answers it; defined by the case.
   Returns false if the connection has to be closed.  */
static bool run_request (struct request *q);
static int node_slots = 121; /* of each backend server */
/* Rows of the list of tenants.  */
static const char *tenant_rows = "[\"w1\",[\"" KEY "\"],1,100000,100000]";
static const char *daemon_limits = ""; /* member "limits" of the settings */

static inline int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static inline void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&t, NULL);
}

static inline void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_mutex);
  fprintf (record_file, "%7lld ", (long long)(now_ms () - start_ms));
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_mutex);
}

static inline bool
is_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

/* Sockets */

static inline struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return a;
}

static inline int
listen_on (int *port)
{
  struct sockaddr_in a = loopback (*port);
  socklen_t len = sizeof a;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 512) != 0)
    {
      close (fd);
      return -1;
    }
  getsockname (fd, (struct sockaddr *)&a, &len);
  *port = ntohs (a.sin_port);
  return fd;
}

/* Returns a free port below those that the kernel gives to connections.  */
static inline int
free_port (void)
{
  static int last;

  if (last == 0)
    last = 16000 + (int)(getpid () * 61 % 12000);
  for (int tries = 0; tries < 10000; tries++)
    {
      int port = ++last;
      int fd = listen_on (&port);

      if (last > 32000)
        last = 16000;
      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
  return 0;
}

static inline int
dial (int port)
{
  struct sockaddr_in a = loopback (port);
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

static inline bool
send_all (int fd, const char *data, size_t len)
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

/* HTTP */

static inline const char *
find_field (const char *head, const char *name, char *value, size_t size)
{
  size_t len = strlen (name);
  const char *line = strstr (head, "\r\n");

  value[0] = '\0';
  while (line != NULL && line[2] != '\0' && line[2] != '\r')
    {
      line += 2;
      if (strncasecmp (line, name, len) == 0 && line[len] == ':')
        {
          const char *from = line + len + 1;
          size_t n;

          while (*from == ' ')
            from++;
          n = strcspn (from, "\r\n");
          if (n >= size)
            n = size - 1;
          memcpy (value, from, n);
          value[n] = '\0';
          return value;
        }
      line = strstr (line, "\r\n");
    }
  return NULL;
}

/* Reads a head; bytes after it are kept in `rest`.  Returns its length, or 0
   at the end of the stream.  */
static inline size_t
read_head (int fd, char *head, size_t size, char *rest, size_t *rest_len)
{
  size_t len = *rest_len;

  memcpy (head, rest, len);
  *rest_len = 0;
  for (;;)
    {
      char *end;
      ssize_t n;

      head[len] = '\0';
      end = strstr (head, "\r\n\r\n");
      if (end != NULL)
        {
          size_t used = (size_t)(end - head) + 4;

          *rest_len = len - used;
          memcpy (rest, head + used, *rest_len);
          head[used] = '\0';
          return used;
        }
      if (len + 1 >= size)
        return 0;
      n = recv (fd, head + len, size - 1 - len, 0);
      if (n <= 0)
        return 0;
      len += (size_t)n;
    }
}

/* Reads an answer.  Returns its status; 0 if the connection ended without a
   complete one; `signed_by` says whether it has a signature.  */
static inline int
read_answer (int fd, bool *has_signature)
{
  static __thread char head[HEAD_MAX], rest[HEAD_MAX];
  char value[64];
  size_t rest_len = 0;
  int status;
  long length = 0;

  if (has_signature != NULL)
    *has_signature = false;
  if (read_head (fd, head, sizeof head, rest, &rest_len) == 0
      || sscanf (head, "HTTP/1.%*d %d", &status) != 1)
    return 0;
  if (find_field (head, "Content-Length", value, sizeof value) != NULL)
    length = atol (value) - (long)rest_len;
  if (has_signature != NULL)
    *has_signature = find_field (head, "X-Almondvale-Response-Signature",
                                 value, sizeof value)
                     != NULL;
  while (length > 0)
    {
      ssize_t n = recv (fd, rest,
                        length < (long)sizeof rest ? (size_t)length
                                                   : sizeof rest,
                        0);

      if (n <= 0)
        return 0;
      length -= n;
    }
  return status;
}

static inline int
make_request (char *out, size_t size, const char *method, const char *target,
              const char *id, int deadline_ms)
{
  return snprintf (out, size,
                   "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                   "X-Almondvale-Attempt-Id: %s\r\n"
                   "X-Almondvale-Deadline-Ms: %d\r\n"
                   "Authorization: Bearer " KEY "\r\n%s\r\n",
                   method, target, id, deadline_ms,
                   strcmp (method, "POST") == 0 ? "Content-Length: 0\r\n"
                                                : "");
}

/* Sends one request on a connection of its own; returns the status or 0.  */
static inline int
call_once (int port, const char *text)
{
  int fd = dial (port);
  struct timeval wait = { 10, 0 };
  int status;

  if (fd < 0)
    return 0;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  status = send_all (fd, text, strlen (text)) ? read_answer (fd, NULL) : 0;
  close (fd);
  return status;
}

/* Processes */

static inline pid_t
start_process (const char *log, char *const args[], const char *settings)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (fd, 1);
      dup2 (fd, 2);
      if (settings != NULL)
        setenv ("ALMONDVALE_SETTINGS", settings, 1);
      execv (args[0], args);
      _exit (127);
    }
  return pid;
}

static inline void
end_process (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGCONT);
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

static inline void
start_daemon (struct node *n)
{
  char path[320], log[320];
  char *args[] = { "target/almondvaled-platform", NULL };
  FILE *f;

  snprintf (path, sizeof path, "%s/n-%d.json", work_dir, n->index);
  snprintf (log, sizeof log, "%s/n-%d.log", work_dir, n->index);
  f = fopen (path, "w");
  fprintf (f,
           "{\"node\":\"n-%d\",\"role\":\"almondvaled\",\"ip\":\"127.0.0.1\","
           "\"zone\":\"z%d\",\"region\":\"r\",\"service\":\"%s\","
           "\"appAddr\":\"127.0.0.1:%d\",\"listen\":{\"outbound\":"
           "\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\",\"control\":"
           "\"127.0.0.1:%d\"},\"internalPortRange\":[%d,%d],"
           "\"bootstrap\":%s,\"heartbeat\":\"1500ms\",%s"
           "\"bounds\":[\"stableWindow=3000ms\",\"ack=4000ms\","
           "\"drain=2000ms\",\"grace=6s\",\"config=2000ms\","
           "\"retryBudgetRatio=0.2\",\"budgetWindow=10s\","
           "\"budgetSlack=48\"],"
           "\"platform\":{\"address\":\"127.0.0.1:%d\"}}",
           n->index, n->index % 2, n->service, n->backend, n->caller,
           n->ready, n->control, n->peer, n->peer + 1,
           n->starts++ == 0 ? "true" : "false", daemon_limits, store_port);
  fclose (f);
  n->pid = start_process (log, args, path);
}

static inline bool
is_ready (const struct node *n)
{
  return call_once (n->ready,
                    "GET /almondvale/ready HTTP/1.1\r\nHost: x\r\n\r\n")
         == 200;
}

/* Backend servers */

static inline void *
serve_connection (void *data)
{
  struct request *q = data;
  static __thread char rest[HEAD_MAX];
  size_t rest_len = 0;
  char value[64];
  int one = 1;

  setsockopt (q->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  while (read_head (q->fd, q->head, sizeof q->head, rest, &rest_len) > 0)
    {
      q->method[0] = q->target[0] = '\0';
      sscanf (q->head, "%15s %511s", q->method, q->target);
      find_field (q->head, "X-Almondvale-Attempt-Id", q->id, sizeof q->id);
      q->body_len
          = find_field (q->head, "Content-Length", value, sizeof value) != NULL
                ? (size_t)atol (value)
                : 0;
      q->early = rest;
      q->early_len = rest_len;
      rest_len = 0;
      if (!run_request (q))
        break;
    }
  close (q->fd);
  free (q);
  return NULL;
}

static inline void
start_thread (void *(*run) (void *), void *data)
{
  pthread_attr_t a;
  pthread_t t;

  pthread_attr_init (&a);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&a, 1 << 19);
  if (pthread_create (&t, &a, run, data) != 0)
    abort ();
}

static inline void *
accept_connections (void *data)
{
  struct node *n = data;

  for (;;)
    {
      int fd = accept4 (n->listener, NULL, NULL, SOCK_CLOEXEC);
      struct request *q;

      if (fd < 0)
        continue;
      q = calloc (1, sizeof *q);
      q->fd = fd;
      q->node = n;
      start_thread (serve_connection, q);
    }
  return NULL;
}

/* Sends a ping of a boot; returns the status of the answer, or 0.  */
static inline int
send_ping (const struct node *n, int64_t born_ms, int seq, const char *state)
{
  char text[1024], body[512];

  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
            "\"zone\":\"z%d\",\"version\":\"v1\",\"slots\":%d,"
            "\"state\":\"%s\",\"coldRemaining\":\"0ms\",\"seq\":%d,"
            "\"born\":%lld}",
            n->service, n->backend, n->index % 2, node_slots, state, seq,
            (long long)born_ms);
  snprintf (text, sizeof text,
            "POST /almondvale/instances/i-%d/heartbeat HTTP/1.1\r\n"
            "Host: x\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            n->index, strlen (body), body);
  return call_once (n->control, text);
}

/* Sends a ping each 1.5 s, the first ones sooner.  */
static inline void *
send_pings (void *data)
{
  struct node *n = data;

  for (int seq = 1; !ending && !n->own_pings; seq++)
    {
      send_ping (n, n->born_ms, seq, "ready");
      sleep_ms (seq < 8 ? 300 : 1500);
    }
  return NULL;
}

static inline void
send_answer (struct request *q, int status, const char *body)
{
  char text[1024];
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 %d OK\r\nX-Almondvale-Attempt-Id: %s\r\n"
                      "X-Almondvale-Response-Signature: 5e.%d\r\n"
                      "Content-Length: %zu\r\n\r\n%s",
                      status, q->id, q->node->index, strlen (body), body);

  send_all (q->fd, text, (size_t)len);
}

/* Reads the rest of the body and drops it.  */
static inline bool
read_body (struct request *q)
{
  char buffer[16384];
  size_t left = q->body_len > q->early_len ? q->body_len - q->early_len : 0;

  while (left > 0)
    {
      ssize_t n
          = recv (q->fd, buffer, left < sizeof buffer ? left : sizeof buffer, 0);

      if (n <= 0)
        return false;
      left -= (size_t)n;
    }
  return true;
}

/* Waits; returns false as soon as the other side has closed.  */
static inline bool
work (struct request *q, int64_t ms)
{
  int64_t end = now_ms () + ms;
  struct pollfd p = { .fd = q->fd, .events = POLLRDHUP };

  for (int64_t left = ms; left > 0; left = end - now_ms ())
    if (poll (&p, 1, (int)(left < 20 ? left : 20)) > 0)
      return false;
  return true;
}

/* The deployment */

/* Paths /notes/ are safe and served by `notes`, /book/ is unsafe and /upload/
   an upload, both served by `books`.  */
static inline void
write_config (void)
{
  char path[320];
  FILE *f;

  snprintf (path, sizeof path, "%s/config.json", work_dir);
  f = fopen (path, "w");
  fputs ("{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\","
         "\"pathPrefix\",\"kind\",\"timeout\",\"targetLatency\",\"priority\","
         "\"weightedSplit\",\"maxAttempts\",\"public\",\"service\"],\"rows\":["
         "[\"r1\",\"h.example\",\"/notes/\",\"safe\",\"5000ms\",\"2000ms\",1,"
         "null,2,false,\"notes\"],"
         "[\"r2\",\"h.example\",\"/book/\",\"unsafe\",\"5000ms\",\"2000ms\",0,"
         "null,2,false,\"books\"],"
         "[\"r3\",\"h.example\",\"/upload/\",\"upload\",\"5000ms\",\"2000ms\","
         "1,null,2,false,\"books\"]]},"
         "\"services\":{\"columns\":[\"name\",\"healthPath\","
         "\"maxConnections\",\"protocol\",\"tls\"],\"rows\":["
         "[\"notes\",\"/healthz\",826,\"h1\",false],"
         "[\"books\",\"/healthz\",826,\"h1\",false]]},"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
         "\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\","
         "\"ratePerS\",\"burst\"],\"rows\":[",
         f);
  fprintf (f, "%s]}}", tenant_rows);
  fclose (f);
}

/* Ends all processes and the program.  */
static inline void
finish (int status, const char *reason)
{
  char command[400];

  ending = true;
  for (int i = 0; i < nodes_len; i++)
    end_process (&nodes[i].pid);
  end_process (&store_pid);
  record ("result %d: %s", status, reason);
  printf ("%s\n", reason);
  fclose (record_file);
  snprintf (command, sizeof command, "rm -rf '%s'", work_dir);
  if (getenv ("KEEP") == NULL && system (command) != 0)
    status = status;
  fflush (stdout);
  _exit (status);
}

static inline void
on_alarm (int number)
{
  static const char text[] = "the case took longer than 110 s\n";

  for (int i = 0; i < nodes_len; i++)
    if (nodes[i].pid > 0)
      kill (nodes[i].pid, SIGKILL);
  if (store_pid > 0)
    kill (store_pid, SIGKILL);
  if (write (1, text, sizeof text - 1) < 0)
    _exit (EXIT_NOT_RUN);
  _exit (EXIT_NOT_RUN);
}

/* Starts a store, and a daemon and a backend server for each service.  */
static inline void
start_deployment (const char *record_path, const char *const *services, int len)
{
  char store_arg[64], config_arg[320], log[320];
  char *args[] = { "build/machines", store_arg, config_arg, NULL };
  int64_t end;
  struct timespec wall;

  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  alarm (110);
  start_ms = now_ms ();
  record_file = fopen (record_path, "w");
  strcpy (work_dir, "/tmp/review-2-XXXXXX");
  if (record_file == NULL || mkdtemp (work_dir) == NULL)
    _exit (EXIT_NOT_RUN);
  write_config ();
  store_port = free_port ();
  snprintf (store_arg, sizeof store_arg, "--store=%d", store_port);
  snprintf (config_arg, sizeof config_arg, "--config=%s/config.json", work_dir);
  snprintf (log, sizeof log, "%s/store.log", work_dir);
  store_pid = start_process (log, args, NULL);
  for (end = now_ms () + 5000; now_ms () < end; sleep_ms (50))
    {
      int fd = dial (store_port);

      if (fd >= 0)
        {
          close (fd);
          break;
        }
    }
  clock_gettime (CLOCK_REALTIME, &wall);
  nodes_len = len;
  for (int i = 0; i < len; i++)
    {
      struct node *n = &nodes[i];
      int pair;

      n->index = i;
      n->service = services[i];
      n->caller = free_port ();
      n->control = free_port ();
      n->ready = free_port ();
      n->backend = free_port ();
      n->listener = listen_on (&n->backend);
      n->born_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
      for (pair = free_port (); free_port () != pair + 1; pair = free_port ())
        ;
      n->peer = pair;
      start_thread (accept_connections, n);
      start_daemon (n);
    }
  for (int i = 0; i < len; i++)
    start_thread (send_pings, &nodes[i]);
  for (int i = 0; i < len; i++)
    {
      for (end = now_ms () + 15000; !is_ready (&nodes[i]); sleep_ms (100))
        if (now_ms () > end)
          finish (EXIT_NOT_RUN, "a daemon is not ready");
    }
  sleep_ms (1500);
  record ("deployment of %d daemons is ready", len);
}

#endif
