/* serve_response: sends the responses of the serve thread to the fronts, with
   the load reports that they carry.  Part of serve.  */

#ifndef ALMONDVALE_SERVE_RESPONSE_H
#define ALMONDVALE_SERVE_RESPONSE_H

#include "serve.h"

/* Public functions */

/* Marks a job as finished; the removal system frees it.  */
void serve_response_finish (struct serve *s, struct serve_job *job);
/* Sends an error response for a job that did not run or got no valid response
   from the backend server, and finishes it.  */
void serve_response_fail (struct serve *s, struct serve_job *job,
                          enum err_kind error,
                          const struct hop_token_usage *usage);
/* Sends the answer of the backend server, and finishes the job.  */
void serve_response_send (struct serve *s, struct serve_job *job,
                          const struct http_client_answer *answer,
                          const struct hop_token_usage *usage);

#endif
