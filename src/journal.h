/* journal: the order of changes in the platform, as a state machine without
   I/O.

   changes/<n> holds the change that made revision n; it is created on
   condition that it does not exist.  snapshots/head names the last snapshot,
   which is stored in parts.  The owner performs the action that journal_next_action
   gives and reports its answer with journal_handle_answer.

   After a lost answer the journal reads changes/<n> back and compares nonces.
   If the object is not there, the write may still be under way, so the journal
   repeats the same create: only one of the two can succeed.  */

#ifndef ALMONDVALE_JOURNAL_H
#define ALMONDVALE_JOURNAL_H

#include "change.h"
#include "object_store.h"

/* Constants */

#define JOURNAL_PART_MAX_BYTES ((size_t)1000 * 1000)
/* Changes after which a new snapshot is due: at 48,000 changes a day one in 30
   minutes.  */
#define JOURNAL_SNAPSHOT_CHANGES 1000u
/* For journal_load: no base is wanted.  */
#define JOURNAL_NEWEST UINT64_MAX

/* Types */

enum journal_step
{
  JOURNAL_IDLE,
  JOURNAL_GET_HEAD,
  JOURNAL_GET_PART,
  JOURNAL_LIST,      /* changes after the revision loaded */
  JOURNAL_CREATE,    /* changes/<n> */
  JOURNAL_READ_BACK, /* changes/<n> after a lost answer */
  JOURNAL_PUT_PART,
  JOURNAL_PUT_HEAD
};

enum journal_result
{
  JOURNAL_RUNNING,
  JOURNAL_LOADED,          /* inv is the newest revision */
  JOURNAL_ACCEPTED,        /* the change took effect */
  JOURNAL_UNCHANGED,       /* it would alter nothing */
  JOURNAL_INVALID,         /* did not take effect; see problems */
  JOURNAL_CONFLICT,        /* did not take effect; see conflicts */
  JOURNAL_UNAVAILABLE,     /* did not take effect; the platform is down */
  JOURNAL_UNKNOWN,         /* may take effect; nobody could tell in time */
  JOURNAL_CORRUPT,         /* stored data cannot be read; see problems */
  JOURNAL_TOO_OLD,         /* the base revision is before the snapshots kept */
  JOURNAL_SNAPSHOT_WRITTEN /* the snapshot is written */
};

struct journal_action
{
  enum
  {
    JOURNAL_ACTION_GET,
    JOURNAL_ACTION_PUT,
    JOURNAL_ACTION_LIST
  } verb;
  struct str key;   /* or prefix; valid until the next call */
  struct str after; /* of a list */
  struct str value; /* of a put */
  enum object_store_condition condition;
  uint64_t version;
};

struct journal
{
  struct inventory inv;  /* newest revision loaded */
  struct inventory base; /* revision wanted by journal_load */
  uint64_t base_revision;
  bool has_base;
  enum journal_step step;
  enum journal_result result;
  bool pending;        /* an action awaits its answer */
  int64_t retry_us;    /* when to act again */
  int64_t deadline_us; /* when to give up */
  uint64_t
      snapshot_revision; /* revision of the last snapshot_revision, 0 if none */
  uint64_t previous_revision; /* of the one before */
  uint64_t head_version;
  uint32_t parts_len;
  uint32_t next_part;           /* next one to get or put */
  struct str_buf snapshot_text; /* snapshot_revision snapshot_text */
  struct change *change;        /* being appended; the caller's */
  bool create_unresolved; /* a create without an answer may take effect */
  bool accepted;          /* found in the list with our nonce */
  struct str_buf encoded; /* of the change */
  struct str_buf key;
  struct str_buf after;
  GArray *conflicts; /* struct change_conflict */
  struct str_buf problems;
};

/* Public functions */

/* empty journal of revision 0 */
void journal_init (struct journal *j);
/* frees what it holds */
void journal_close (struct journal *j);
/* begins to load the newest revision; keeps a copy of base_revision, against
   which conflicts are found */
void journal_load (struct journal *j, uint64_t base_revision,
                   int64_t deadline_us);
/* begins to append a change made for the base, or for the newest revision if
   none was wanted; the change must stay until the result */
void journal_append (struct journal *j, struct change *change,
                     int64_t deadline_us);
/* begins to write a snapshot of the revision loaded */
void journal_write_snapshot (struct journal *j, int64_t deadline_us);
/* true if a snapshot is due */
bool journal_is_snapshot_due (const struct journal *j);
/* true if there is an action to perform now */
bool journal_next_action (struct journal *j, int64_t now_us,
                          struct journal_action *action);
/* answer to the last action */
void journal_handle_answer (struct journal *j,
                            const struct object_store_answer *answer,
                            int64_t now_us);
/* appends the key of a change */
void journal_append_key (struct str_buf *out, uint64_t revision);

#endif
