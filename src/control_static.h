/* control_static: component of the control thread that loads the configuration
   from a file, for use without a platform.  Without gossip, it also publishes
   the backend server beside this daemon as the only endpoint.  */

#ifndef ALMONDVALE_CONTROL_STATIC_H
#define ALMONDVALE_CONTROL_STATIC_H

#include "control.h"

/* State */

extern const struct control_component_ops control_static_ops;

#endif
