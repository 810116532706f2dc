/* serve_resend: sends requests that the backend server rejected as not run to
   it again, within the ledger of repeat_budget, and keeps that ledger.  Part
   of serve.

   It handles a backend server that rejects calls although it has free slots.
   Nothing changes without a ledger policy in the settings.  */

#ifndef ALMONDVALE_SERVE_RESEND_H
#define ALMONDVALE_SERVE_RESEND_H

#include "err.h"
#include "http_client.h"
#include "repeat_budget.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Types */

struct serve;
struct serve_job;

struct serve_resend
{
  const struct repeat_budget_ops *ops; /* NULL: no ledger */
  struct repeat_budget ledger;
  GArray *paused;       /* ids of jobs in SERVE_PAUSED */
  struct event *resume; /* wakes the loop when a pause ends */
  GRand *rand;          /* jitter of the pauses */
  uint32_t allowed;     /* since the last log line */
  uint32_t refused;
  int64_t next_update_us;
};

/* Public functions */

/* Initializes the state and, if the settings name a policy, an empty
   ledger.  */
void serve_resend_init (struct serve *s);
void serve_resend_close (struct serve *s);
/* Returns true if the backend server, which is not full, has answered that it
   did not run the job.  Call it before the slot of the job is released.  */
bool serve_resend_is_rejection (const struct serve *s,
                                const struct http_client_answer *answer,
                                enum err_kind error);
/* Returns the error to report for an answer: a rejection by a full backend
   server is an overload.  */
enum err_kind
serve_resend_get_answer_error (const struct serve *s,
                               const struct http_client_answer *answer,
                               bool rejected, enum err_kind error);
/* Records the arrival of a job at the backend server, by its answer.  */
void serve_resend_record_arrival (struct serve *s, const struct serve_job *job,
                                  const struct http_client_answer *answer,
                                  int64_t now_us);
/* Pauses a rejected job, which is then queued again.  Returns false if no time
   is left or the backend server has rejected it too often.  */
bool serve_resend_pause (struct serve *s, struct serve_job *job,
                         int64_t now_us);
/* Returns true if a job may be sent to the backend server now.  If not, the
   job has been paused or failed.  */
bool serve_resend_allow (struct serve *s, struct serve_job *job,
                         int64_t now_us);
/* Returns the error to report for a job that did not run: one that arrived at
   the backend server must not be taken for one that did not.  */
enum err_kind serve_resend_get_error (const struct serve_job *job,
                                      enum err_kind error);
/* System: queues the jobs whose pause has ended.  */
void serve_resend_run (void *owner, int64_t now_us);

#endif
