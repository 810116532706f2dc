/* control_static: configuration from a file, for use without a platform, and
   the own backend server as endpoint.  */

#ifndef ALMONDVALE_CONTROL_STATIC_H
#define ALMONDVALE_CONTROL_STATIC_H

#include "control.h"

/* State */

extern const struct control_component_ops control_static_ops;

#endif
