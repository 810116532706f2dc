/* daemon: initializes the context that the threads of almondvaled share, and
   starts and stops the threads.  */

#ifndef ALMONDVALE_DAEMON_H
#define ALMONDVALE_DAEMON_H

#include "deployment.h"
#include "settings.h"

#include <stdbool.h>

/* Constants */

/* Exit status for an invalid command line, invalid settings or a failed
   start.  */
#define DAEMON_EXIT_NOT_STARTED 2

/* Public functions */

/* Ignores SIGHUP until the daemon installs its handler.  Must be the first
   call of the program.  */
void daemon_ignore_sighup (void);
/* Runs the daemon until SIGTERM and returns the exit status.  The deployment
   selects the functions that differ between almondvaled and
   almondvaled-platform.  */
int daemon_run (const struct settings *settings,
                const struct deployment_ops *deployment);

#endif
