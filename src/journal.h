/* journal: the log of configuration changes in the platform, as a state
   machine without I/O.

   The object changes/<n> holds the change that produced revision n; it is
   created on condition that it does not exist.  The object snapshots/head
   names the last snapshot, which is stored in parts.  The caller performs the
   action that journal_next_action returns and reports the answer with
   journal_handle_answer.

   If the answer to a create is lost, the journal reads changes/<n> back and
   compares the nonce (a random text in each change).  If the object does not
   exist, the write may still be in progress, so the journal repeats the same
   create: only one of the two can succeed.  */

#ifndef ALMONDVALE_JOURNAL_H
#define ALMONDVALE_JOURNAL_H

#include "change.h"
#include "object_store.h"

/* Constants */

#define JOURNAL_PART_MAX_BYTES ((size_t)1000 * 1000)
/* Number of changes after which a new snapshot is due: at 48,000 changes a
   day, one snapshot every 30 minutes.  */
#define JOURNAL_SNAPSHOT_CHANGES 1000u
/* Value of base_revision in journal_load that means the newest revision.  */
#define JOURNAL_NEWEST UINT64_MAX

/* Types */

enum journal_step
{
  JOURNAL_IDLE,
  JOURNAL_GET_HEAD,
  JOURNAL_GET_PART,
  JOURNAL_LIST,      /* changes after the loaded revision */
  JOURNAL_CREATE,    /* create changes/<n> */
  JOURNAL_READ_BACK, /* get changes/<n> after a lost answer */
  JOURNAL_PUT_PART,
  JOURNAL_PUT_HEAD
};

enum journal_result
{
  JOURNAL_RUNNING,
  JOURNAL_LOADED,      /* inv holds the newest revision */
  JOURNAL_ACCEPTED,    /* the change took effect */
  JOURNAL_UNCHANGED,   /* the change would have no effect */
  JOURNAL_INVALID,     /* no effect: the change is invalid; see problems */
  JOURNAL_CONFLICT,    /* no effect: the change conflicts; see conflicts */
  JOURNAL_UNAVAILABLE, /* no effect; the platform cannot be reached */
  /* not known in time whether the change took effect */
  JOURNAL_UNKNOWN,
  JOURNAL_CORRUPT,         /* stored data cannot be read; see problems */
  JOURNAL_TOO_OLD,         /* the base revision is older than the snapshots */
  JOURNAL_SNAPSHOT_WRITTEN /* the snapshot was written */
};

struct journal_action
{
  enum
  {
    JOURNAL_ACTION_GET,
    JOURNAL_ACTION_PUT,
    JOURNAL_ACTION_LIST
  } verb;
  struct str key;   /* key, or prefix of a list; valid until the next call */
  struct str after; /* list: return keys after this one */
  struct str value; /* put: the value */
  enum object_store_condition condition; /* put */
  uint64_t version;                      /* put with OBJECT_STORE_IF_VERSION */
};

struct journal
{
  struct inventory inv;  /* newest revision loaded so far */
  struct inventory base; /* copy of the base revision, if has_base */
  uint64_t base_revision;
  bool has_base;
  enum journal_step step;
  enum journal_result result;
  bool pending;               /* waits for the answer to an action */
  int64_t retry_us;           /* time of the next action */
  int64_t deadline_us;        /* time after which the operation fails */
  uint64_t snapshot_revision; /* revision of the loaded snapshot, 0 if none */
  uint64_t previous_revision; /* revision of the snapshot before the last */
  uint64_t head_version;
  uint32_t parts_len;
  uint32_t next_part;           /* next part to get or put */
  struct str_buf snapshot_text; /* JSON text of the snapshot */
  struct change *change;        /* change to append; owned by the caller */
  /* a create without an answer may still take effect */
  bool create_unresolved;
  /* changes/<n> exists and has the nonce of the change to append */
  bool accepted;
  struct str_buf encoded; /* JSON text of the change or of snapshots/head */
  struct str_buf key;
  struct str_buf after;
  GArray *conflicts; /* struct change_conflict */
  struct str_buf problems;
};

/* Public functions */

/* Initializes an empty journal of revision 0.  */
void journal_init (struct journal *j);
/* Frees the memory of a journal.  */
void journal_close (struct journal *j);
/* Starts loading the newest revision.  Keeps a copy of the base revision, for
   which a change was made, to detect conflicts with later changes.  */
void journal_load (struct journal *j, uint64_t base_revision,
                   int64_t deadline_us);
/* Starts appending a change that was made for the base revision, or for the
   newest one with JOURNAL_NEWEST; the change must stay valid until the
   operation ends.  */
void journal_append (struct journal *j, struct change *change,
                     int64_t deadline_us);
/* Starts writing a snapshot of the loaded revision.  */
void journal_write_snapshot (struct journal *j, int64_t deadline_us);
/* Returns true if a new snapshot is due.  */
bool journal_is_snapshot_due (const struct journal *j);
/* Returns true and the action if there is one to perform now.  */
bool journal_next_action (struct journal *j, int64_t now_us,
                          struct journal_action *action);
/* Handles the answer to the last action.  */
void journal_handle_answer (struct journal *j,
                            const struct object_store_answer *answer,
                            int64_t now_us);
/* Appends the object key of a change.  */
void journal_append_key (struct str_buf *out, uint64_t revision);

#endif
