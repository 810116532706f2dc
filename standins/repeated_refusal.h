/* repeated_refusal: a stand-in's answers that a request was not run, and the
   same answer sent once more on the connection of a later request.  */

#ifndef ALMONDVALE_STANDINS_REPEATED_REFUSAL_H
#define ALMONDVALE_STANDINS_REPEATED_REFUSAL_H

#include "refusal.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* State */

/* The connection on which a refusal is to be sent again, or NULL.  */
static struct evhttp_connection *repeated_refusal_connection;
static char *repeated_refusal_text;
static int repeated_refusal_count;

/* Public functions */

/* Answers that the request was not run, and remembers the answer if it is to be
   repeated.  */
static inline void
repeated_refusal_answer (struct evhttp_request *r)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (r);
  const char *target = evhttp_request_get_uri (r);
  const char *id = evhttp_find_header (evhttp_request_get_input_headers (r),
                                       "X-Almondvale-Attempt-Id");

  id = id != NULL ? id : "-";
  evhttp_add_header (headers, "Content-Type", "application/json");
  evhttp_add_header (headers, "X-Almondvale-Attempt-Id", id);
  evhttp_add_header (headers, "X-Almondvale-Not-Executed", "1");
  if (strstr (target, "again") != NULL)
    {
      repeated_refusal_connection = evhttp_request_get_connection (r);
      g_free (repeated_refusal_text);
      repeated_refusal_text = refusal_make_copy (target, id);
    }
  evbuffer_add (evhttp_request_get_output_buffer (r), "{}", 2);
  evhttp_send_reply (r, 503, "-", NULL);
}

/* Sends the remembered answer once more if the request is on its
   connection.  */
static inline void
repeated_refusal_send (struct evhttp_request *r)
{
  struct evhttp_connection *c = evhttp_request_get_connection (r);

  if (c != repeated_refusal_connection)
    return;
  repeated_refusal_connection = NULL;
  repeated_refusal_count++;
  bufferevent_write (evhttp_connection_get_bufferevent (c),
                     repeated_refusal_text, strlen (repeated_refusal_text));
}

#endif
