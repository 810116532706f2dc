/* memory-2: a platform that ends a process which exceeds the memory of its
   machine, and ordinary callers on kept connections.  Used by the cases 6 and
   10.  */

#ifndef REVIEW_MEMORY_2_H
#define REVIEW_MEMORY_2_H

#include "harness-2.h"

#define CALLERS 12 /* ordinary callers for each daemon */
#define WORK_MS 300
#define FEW 3

static int memory_mb;
static int exceeded[NODES_MAX];
static long peak_kb[NODES_MAX];
static pthread_mutex_t node_mutex = PTHREAD_MUTEX_INITIALIZER;
static int ordinary_answers[2]; /* got and lost */
static int lost_after_run;
static volatile int number;
/* Requests that a backend server runs or has run, by number.  */
#define REQUESTS_MAX 200000
static volatile char has_run[REQUESTS_MAX];

static bool
run_request (struct request *q)
{
  int n = 0;
  bool done;

  if (sscanf (q->id, "ordinary-%d", &n) == 1 && n < REQUESTS_MAX)
    has_run[n] = 1;
  read_body (q);
  done = work (q, WORK_MS);
  if (done)
    send_answer (q, 200, "done");
  return done;
}

/* The platform */

/* Memory of a process without pages of files.  */
static inline long
read_memory_kb (pid_t pid)
{
  char path[64], line[256];
  long kb = 0;
  FILE *f;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  f = fopen (path, "r");
  while (f != NULL && fgets (line, sizeof line, f) != NULL)
    if (strncmp (line, "RssAnon:", 8) == 0)
      kb = atol (line + 8);
  if (f != NULL)
    fclose (f);
  return kb;
}

static inline void *
watch_memory (void *data)
{
  while (!ending)
    {
      for (int i = 0; i < nodes_len; i++)
        {
          struct node *n = &nodes[i];
          long kb;

          pthread_mutex_lock (&node_mutex);
          kb = n->pid > 0 ? read_memory_kb (n->pid) : 0;
          if (kb > peak_kb[i])
            peak_kb[i] = kb;
          if (kb > memory_mb * 1024L && !ending)
            {
              record ("daemon %d holds %ld kB of %d kB: the platform ends it",
                      i, kb, memory_mb * 1024);
              exceeded[i]++;
              end_process (&n->pid);
              sleep_ms (500);
              start_daemon (n);
            }
          pthread_mutex_unlock (&node_mutex);
        }
      sleep_ms (10);
    }
  return NULL;
}

/* Ordinary callers */

static inline void *
run_caller (void *data)
{
  const struct node *n = data;
  char text[1024], id[32];
  int fd = -1;

  while (!ending)
    {
      int this = __sync_fetch_and_add (&number, 1);
      bool has_signature;
      int status;

      if (fd < 0)
        fd = dial (n->caller);
      if (fd < 0)
        {
          sleep_ms (100);
          continue;
        }
      snprintf (id, sizeof id, "ordinary-%d", this);
      make_request (text, sizeof text, "POST", "/book/x", id, 5000);
      if (!send_all (fd, text, strlen (text)))
        {
          close (fd);
          fd = -1;
          continue;
        }
      status = read_answer (fd, &has_signature);
      if (ending)
        break;
      if (status == 0)
        {
          close (fd);
          fd = -1;
          __sync_fetch_and_add (&ordinary_answers[1], 1);
          if (this < REQUESTS_MAX && has_run[this])
            {
              __sync_fetch_and_add (&lost_after_run, 1);
              record ("%s was passed on to a backend; its connection to daemon "
                      "%d is closed without an answer",
                      id, n->index);
            }
        }
      else if (status == 200)
        __sync_fetch_and_add (&ordinary_answers[0], 1);
      sleep_ms (status == 200 ? 5 : 200);
    }
  return NULL;
}

/* Ends the case: broken if two machines or more exceeded their memory three
   times (Fault), and if ordinary callers lost requests by that (LOST).  */
static inline void
finish_memory (void)
{
  char text[300];
  int often = 0;

  for (int i = 0; i < nodes_len; i++)
    {
      record ("daemon %d held %ld kB at most and was ended %d times", i,
              peak_kb[i], exceeded[i]);
      often += exceeded[i] >= 3;
    }
  record ("ordinary callers got %d answers and lost %d", ordinary_answers[0],
          ordinary_answers[1]);
  snprintf (text, sizeof text,
            "%d daemons exceeded %d MB three times; %d requests of ordinary "
            "callers that ran ended with a closed connection",
            often, memory_mb, lost_after_run);
  if (ordinary_answers[0] == 0)
    finish (EXIT_NOT_RUN, "no ordinary caller was served");
  finish (often >= 2 && lost_after_run > FEW ? EXIT_BROKEN : EXIT_HELD, text);
}

#endif
