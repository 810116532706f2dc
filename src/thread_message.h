/* thread_message: messages between the threads of the daemon.  */

#ifndef ALMONDVALE_THREAD_MESSAGE_H
#define ALMONDVALE_THREAD_MESSAGE_H

#include "err.h"
#include "mailbox.h"
#include "str.h"
#include "wire.h"

#include <stdbool.h>
#include <stdint.h>

/* Types */

enum thread_message_kind
{
  THREAD_MESSAGE_ANNOUNCE, /* front to control, serve: a backend server is there */
  THREAD_MESSAGE_DRAIN, /* front to control, serve: no new work */
  THREAD_MESSAGE_LEAVE, /* front to control, serve: the backend server is gone */
  THREAD_MESSAGE_SHUTDOWN, /* control to front, serve: finish what is open */
  THREAD_MESSAGE_STATUS,   /* front to control, and back with the text */
  THREAD_MESSAGE_REGISTER, /* front to control: register an idempotency key */
  THREAD_MESSAGE_REGISTERED, /* control to front: the reply */
  THREAD_MESSAGE_COMPLETE /* front to control: outcome of a registered request */
};

/* Reply of the idempotency registry.  */
enum thread_message_registration
{
  THREAD_MESSAGE_REGISTRATION_NEW,     /* dispatch */
  THREAD_MESSAGE_REGISTRATION_DONE,    /* answer with the recorded outcome */
  THREAD_MESSAGE_REGISTRATION_REJECTED /* answer with `error` */
};

struct thread_message_backend
{
  struct str service;
  struct str address;
  uint16_t port;
  uint32_t slots;       /* requests at once */
  uint32_t connections; /* connections at once */
  struct str id;        /* of this boot, or empty */
  int64_t boot_ms;      /* wall-clock start as the backend server says, or 0 */
  int64_t cold_us;      /* it stays slow for this long after its start */
};

struct thread_message
{
  enum thread_message_kind kind;
  uint32_t front; /* index of the front thread that asked */
  uint64_t call;  /* its call */
  struct thread_message_backend backend;
  struct str key;       /* idempotency key */
  uint64_t fingerprint; /* hash of the request under that key */
  struct wire_attempt_id attempt;
  enum thread_message_registration registration;
  enum err_kind error;
  int status;              /* recorded outcome */
  struct str content_type; /* of the recorded outcome */
  struct str text;         /* status text or recorded body */
};

/* Public functions */

/* zeroed message */
struct thread_message *thread_message_load (enum thread_message_kind kind);
/* copy with strings of its own */
struct thread_message *
thread_message_copy (const struct thread_message *message);
/* same service, address, port, slots, connections, id and boot */
bool thread_message_equal_backend (const struct thread_message_backend *a,
                                   const struct thread_message_backend *b);
/* frees a message and its strings; NULL is ignored */
void thread_message_unload (struct thread_message *message);

#endif
