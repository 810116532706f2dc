/* object_store: client of the platform's object API (docs/platform-api.md),
   behind a table of function pointers.

   All calls are asynchronous on one event loop.  `done` is called exactly once
   unless the store is unloaded first, and never before the call returns.  A
   write that ends with ERR_STORE_OUTCOME_UNKNOWN may have been applied, or may
   be applied later.  */

#ifndef ALMONDVALE_OBJECT_STORE_H
#define ALMONDVALE_OBJECT_STORE_H

#include "err.h"
#include "str.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* Constants */

#define OBJECT_STORE_VALUE_MAX_BYTES ((size_t)1024 * 1024)
#define OBJECT_STORE_KEY_MAX_BYTES 256u
/* Maximum number of objects in one page of a list or watch.  */
#define OBJECT_STORE_PAGE_MAX 1000u

/* Types */

enum object_store_condition
{
  OBJECT_STORE_ANY,       /* create or replace */
  OBJECT_STORE_IF_ABSENT, /* create, if the object does not exist */
  OBJECT_STORE_IF_VERSION /* replace, if the object has the given version */
};

struct object_store_object
{
  struct str key;
  uint64_t version;
  bool deleted;     /* watch: the object was removed in this version */
  struct str value; /* empty unless values were requested */
};

struct object_store_answer
{
  /* ERR_NONE, ERR_NOT_FOUND, ERR_STORE_CONFLICT (the condition failed),
     ERR_STORE_UNAVAILABLE (not applied), ERR_STORE_OUTCOME_UNKNOWN,
     ERR_BODY_TOO_LARGE, ERR_BAD_REQUEST or ERR_PROTOCOL */
  enum err_kind error;
  /* increases when the store is restored from an earlier copy; a version is
     valid in its era only.  0: there was no answer, or the store has none */
  uint64_t era;
  /* get, put: version of the object, 0 if it does not exist; list, watch:
     version of the store */
  uint64_t version;
  struct str value;     /* get: value of the object */
  uint32_t objects_len; /* list, watch: number of objects */
  const struct object_store_object *objects; /* valid during `done` */
  struct str next; /* list, watch: last key of this page if there are more
                      objects, else empty */
};

/* Timeout of a call and the function that receives the answer.  */
struct object_store_call
{
  int64_t timeout_us;
  void (*done) (void *data, const struct object_store_answer *answer);
  void *data;
};

struct object_store;

struct object_store_ops
{
  void (*get) (struct object_store *s, struct str key,
               const struct object_store_call *call);
  /* creates or replaces an object; `version` is ignored unless the condition
     is OBJECT_STORE_IF_VERSION */
  void (*put) (struct object_store *s, struct str key, struct str value,
               enum object_store_condition condition, uint64_t version,
               const struct object_store_call *call);
  /* removes an object if it has this version; 0 means any version */
  void (*remove) (struct object_store *s, struct str key, uint64_t version,
                  const struct object_store_call *call);
  /* lists the objects whose key begins with `prefix` and comes after the key
     `after`, in the order of their keys; `values` requests their values too */
  void (*list) (struct object_store *s, struct str prefix, struct str after,
                bool values, const struct object_store_call *call);
  /* lists the objects whose key begins with `prefix` and that were changed or
     removed after `version` of the store; if there are none, waits up to
     wait_us for the first one, so the timeout of the call should be longer */
  void (*watch) (struct object_store *s, struct str prefix, uint64_t version,
                 int64_t wait_us, bool values,
                 const struct object_store_call *call);
  /* ends all pending watches with ERR_STORE_CONFLICT; NULL if not supported */
  void (*end_watches) (struct object_store *s);
  /* cancels all pending calls, without calling done, and frees the store */
  void (*unload) (struct object_store *s);
};

/* Implementations have this as their first member.  */
struct object_store
{
  const struct object_store_ops *ops;
};

/* Public functions */

/* creates a client of the object API at an IP address and port; a call beyond
   max_connections ends with ERR_STORE_UNAVAILABLE */
struct object_store *object_store_create_http (struct event_base *base,
                                               struct str address,
                                               uint16_t port,
                                               uint32_t max_connections);

#endif
