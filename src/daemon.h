/* daemon: the threads of almondvaled and what they share.  */

#ifndef ALMONDVALE_DAEMON_H
#define ALMONDVALE_DAEMON_H

#include "deployment.h"
#include "settings.h"

#include <stdbool.h>

/* Constants */

#define DAEMON_EXIT_SETTINGS 2

/* Public functions */

/* first call of a program: SIGHUP before the daemon handles it is ignored */
void daemon_ignore_sighup (void);
/* runs the daemon until SIGTERM; gives the exit status */
int daemon_run (const struct settings *settings,
                const struct deployment_ops *deployment);

#endif
