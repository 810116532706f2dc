/* serve_warmup: the warm-up limit of the serve thread, which sends a cold
   backend server no more than its service's limit.  Part of serve.  */

#ifndef ALMONDVALE_SERVE_WARMUP_H
#define ALMONDVALE_SERVE_WARMUP_H

#include "serve.h"

/* Public functions */

/* Takes the limit from the configuration in the snapshot.  */
void serve_warmup_configure (struct serve *s);
/* Notices from the result of an exchange that the backend server may have been
   restarted, or that the request, sent at sent_us, did not reach it.  */
void serve_warmup_record_answer (struct serve *s,
                                 const struct http_client_answer *answer,
                                 int64_t sent_us, int64_t now_us);
/* Sends queued jobs to a cold backend server, the most important first, and
   refuses those that cannot be in time.  Returns false, having done nothing,
   if the limit does not apply.  */
bool serve_warmup_dispatch (struct serve *s, uint32_t limit, int64_t now_us);
/* Returns the concurrency limit to report to the fronts.  */
uint32_t serve_warmup_get_limit (const struct serve *s, uint32_t limit,
                                 int64_t now_us);
/* System: logs the beginning and the end of a cold state.  */
void serve_warmup_run (struct serve *s, int64_t now_us);

#endif
