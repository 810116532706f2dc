/* Tests of almondvaled-platform with a backend server that answers an upload
   before it has read it.  */

#include "raw_backend.h"
#include "suite.h"

#define UPLOAD_BYTES ((size_t)6 << 20)
/* Uploads for each way in which the connection ends.  */
#define UPLOADS 6

/* Where the backend server resets the connection.  */
enum reset
{
  RESET_AT_ONCE,     /* when it has answered */
  RESET_AFTER_BYTES, /* when it has read some of the upload */
  RESET_KINDS
};

/* Answers one request with the first bytes of a body without a length and
   resets the connection.  */
static void
answer_early (int fd, unsigned number)
{
  static const char answer[] = RAW_BACKEND_HEAD "\r\npart of a body";
  struct linger now = { 1, 0 };
  char bytes[65536];

  recv (fd, bytes, sizeof bytes, 0);
  send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
  for (int i = 0; number % RESET_KINDS == RESET_AFTER_BYTES && i < 8; i++)
    recv (fd, bytes, sizeof bytes, 0);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
}

/* Guards against a part of a body that is passed on as a whole answer: the
   backend server answers an upload at once with a 200 without a length, sends
   some bytes and resets the connection while the upload is being written.  */
START_TEST (part_of_an_early_answer_is_not_passed_on)
{
  struct raw_backend b = raw_backend_start (answer_early);
  char *upload = g_strnfill (UPLOAD_BYTES, 'u');

  for (int i = 0; i < UPLOADS * RESET_KINDS; i++)
    {
      struct process_reply r = raw_backend_upload (&b, upload);

      ck_assert_msg (r.status == 502, "upload %d: %d %s", i, r.status, r.body);
    }
  raw_backend_stop (&b);
  g_free (upload);
}
END_TEST

int
main (void)
{
  const TTest *const cases[] = { part_of_an_early_answer_is_not_passed_on };

  return suite_run ("early_answer", cases, sizeof cases / sizeof *cases);
}
