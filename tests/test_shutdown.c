/* Tests of a planned stop of almondvaled-platform while a caller reads its
   answer slowly.  */

#include "raw_backend.h"
#include "suite.h"

#include <netinet/tcp.h>

/* More than the socket buffers between the daemon and the caller hold, about
   140 kB.  At its pace the caller has read the answer after 4 s: later than the
   notice of 2 s, after which the daemon could end, and earlier than the limit
   of the stop, 5 s.  */
#define ANSWER_BYTES ((size_t)800000)
#define BYTES_PER_MS 200
#define CALLER_BUFFER_BYTES 4096
/* The buffer of the sender grows with the segments, which are long on
   loopback.  */
#define CALLER_SEGMENT_BYTES 536
#define READ_BYTES ((size_t)16384)

static void
answer_long (int fd, unsigned number)
{
  char *body = g_strnfill (ANSWER_BYTES, 'a');
  char *head = g_strdup_printf (RAW_BACKEND_HEAD "Connection: close\r\n"
                                                 "Content-Length: %zu\r\n\r\n",
                                ANSWER_BYTES);
  char bytes[4096];

  recv (fd, bytes, sizeof bytes, 0);
  send (fd, head, strlen (head), MSG_NOSIGNAL);
  send (fd, body, ANSWER_BYTES, MSG_NOSIGNAL);
  /* Bytes of the request that are not read would reset the connection.  */
  shutdown (fd, SHUT_WR);
  while (recv (fd, bytes, sizeof bytes, 0) > 0)
    ;
  close (fd);
  g_free (head);
  g_free (body);
}

static int
send_request (uint16_t port)
{
  static const char request[]
      = "POST /up/x HTTP/1.1\r\nHost: h.example\r\n" RAW_BACKEND_ID
        "\r\nX-Almondvale-Deadline-Ms: 9000\r\n"
        "Authorization: Bearer " RAW_BACKEND_KEY
        "\r\nContent-Length: 1\r\n\r\nx";
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int size = CALLER_BUFFER_BYTES;
  int segment = CALLER_SEGMENT_BYTES;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&at, sizeof at), 0);
  ck_assert_int_eq (write (fd, request, sizeof request - 1),
                    sizeof request - 1);
  return fd;
}

/* Guards against a daemon that ends in the middle of an answer: the call had
   ended when the answer was handed to the HTTP server.  */
START_TEST (stop_waits_until_answers_are_sent)
{
  struct raw_backend b = raw_backend_start (answer_long);
  char *bytes = g_malloc (READ_BYTES);
  size_t received = 0;
  ssize_t len;
  int fd;

  ck_assert_int_eq (raw_backend_upload (&b, "x").status, 200);
  fd = send_request (b.daemon.caller);
  len = recv (fd, bytes, READ_BYTES, 0);
  ck_assert_int_gt (len, 0);
  kill (b.daemon.pid, SIGTERM);
  while (len > 0)
    {
      received += (size_t)len;
      g_usleep ((gulong)len * 1000 / BYTES_PER_MS);
      len = recv (fd, bytes, READ_BYTES, 0);
    }
  ck_assert_msg (len == 0 && received > ANSWER_BYTES, "%zu bytes, then %zd",
                 received, len);
  close (fd);
  g_free (bytes);
  raw_backend_stop (&b);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { stop_waits_until_answers_are_sent };

  return suite_run ("shutdown", cases, sizeof cases / sizeof *cases);
}
