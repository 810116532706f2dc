/* serve_run: runs the jobs of the serve thread at the backend server.  Part of
   serve: sends a job, classifies its answer and records what it says about the
   backend server.  */

#ifndef ALMONDVALE_SERVE_RUN_H
#define ALMONDVALE_SERVE_RUN_H

#include "serve.h"

/* Public functions */

/* Sends a job to the backend server.  */
void serve_run_send (struct serve *s, struct serve_job *job, int64_t now_us);
/* Releases the concurrency slot and revokes the hop token of a job that ran,
   and records its service time.  `completed` tells whether the backend server
   did the work, `failed` whether the concurrency limit counts a failure.  */
void serve_run_release_slot (struct serve *s, struct serve_job *job,
                             bool failed, bool completed,
                             struct hop_token_usage *usage, int64_t now_us);

#endif
