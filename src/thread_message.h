/* thread_message: messages between the threads of the daemon.

   Each message is allocated by the sender and freed by the receiver.  The
   threads are the fronts, which receive callers' requests, the serve thread,
   which runs requests at the backend server, and the control thread.  */

#ifndef ALMONDVALE_THREAD_MESSAGE_H
#define ALMONDVALE_THREAD_MESSAGE_H

#include "backend_stops.h"
#include "err.h"
#include "mailbox.h"
#include "str.h"
#include "wire.h"

#include <stdbool.h>
#include <stdint.h>

/* Types */

enum thread_message_kind
{
  /* front to control and serve */
  THREAD_MESSAGE_ANNOUNCE, /* a backend server is ready */
  THREAD_MESSAGE_DRAIN,    /* send that backend server no new requests */
  THREAD_MESSAGE_LEAVE,    /* that backend server has left */
  /* front to serve: a repeated report; only cold_us has changed */
  THREAD_MESSAGE_HEARTBEAT,
  /* front to control: record that a boot (id, boot_ms) has stopped */
  THREAD_MESSAGE_STOP,
  /* control to front: the boots that are known to have stopped */
  THREAD_MESSAGE_STOPS,
  /* control to serve: whether the own failure domain is evacuated */
  THREAD_MESSAGE_EVACUATION,
  /* control to front and serve */
  THREAD_MESSAGE_SHUTDOWN, /* finish open requests, accept no others */
  /* front to control: status request; sent back with the status text */
  THREAD_MESSAGE_STATUS,
  /* front to control */
  THREAD_MESSAGE_REGISTER, /* register an idempotency key */
  /* control to front */
  THREAD_MESSAGE_REGISTERED, /* reply to THREAD_MESSAGE_REGISTER */
  /* front to control */
  THREAD_MESSAGE_COMPLETE /* outcome of a registered request */
};

/* Reply of the idempotency registry and what the front does with it.  */
enum thread_message_registration
{
  THREAD_MESSAGE_REGISTRATION_NEW,     /* sends the request */
  THREAD_MESSAGE_REGISTRATION_DONE,    /* answers with the recorded outcome */
  THREAD_MESSAGE_REGISTRATION_REJECTED /* answers with the member error */
};

struct thread_message_backend
{
  struct str service;
  struct str address;
  uint16_t port;
  uint32_t slots;       /* concurrent requests */
  uint32_t connections; /* concurrent connections */
  struct str id;        /* id of this boot of the backend server; empty if not
                           reported */
  int64_t boot_ms;      /* reported wall-clock time of its start, or 0 */
  int64_t cold_us;      /* remaining time during which it is cold */
};

struct thread_message
{
  enum thread_message_kind kind;
  uint32_t front; /* index of the requesting front thread */
  uint64_t call;  /* row id of the front's call */
  struct thread_message_backend backend;
  struct backend_stops stops;
  bool stops_stored;    /* the store has these stops */
  bool evacuated;       /* the own failure domain is evacuated */
  struct str key;       /* idempotency key */
  uint64_t fingerprint; /* hash of the request sent with the key */
  struct wire_attempt_id attempt;
  enum thread_message_registration registration;
  enum err_kind error;     /* of a rejected or completed request */
  int status;              /* HTTP status of the recorded outcome */
  struct str content_type; /* content type of the recorded outcome */
  struct str text;         /* status text or recorded body */
};

/* Public functions */

/* Allocates a message; all members but the kind are zero or empty.  */
struct thread_message *thread_message_create (enum thread_message_kind kind);
/* Returns a deep copy of a message.  */
struct thread_message *
thread_message_copy (const struct thread_message *message);
/* Returns true if service, address, port, slots, connections, id and boot time
   are equal.  */
bool thread_message_equal_backend (const struct thread_message_backend *a,
                                   const struct thread_message_backend *b);
/* Frees a message and its strings; NULL is ignored.  */
void thread_message_free (struct thread_message *message);

#endif
