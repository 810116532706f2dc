/* http_head: decides whether received bytes are the head of an HTTP/1.1
   answer (RFC 9112).

   The HTTP parser accepts more than the RFC does: spaces in field names,
   folded lines, any number as a status.  Another reader of the same bytes may
   then see other fields or another end of the body.  The scan checks the bytes
   of a head as they arrive; the classification checks the status and the
   fields that frame the body.  Names and values of requests are checked by the
   same rules.  */

#ifndef ALMONDVALE_HTTP_HEAD_H
#define ALMONDVALE_HTTP_HEAD_H

#include "str.h"

#include <stdbool.h>
#include <stdint.h>

/* Types */

/* Reasons for which bytes are not a complete answer.  */
enum http_fault
{
  HTTP_FAULT_NONE,
  HTTP_FAULT_STATUS_LINE,  /* the first line is not a status line */
  HTTP_FAULT_STATUS,       /* below 100, above 599, or 101 */
  HTTP_FAULT_FIELD_NAME,   /* not a token, or no colon follows it */
  HTTP_FAULT_FIELD_VALUE,  /* has a control byte */
  HTTP_FAULT_FOLDED_LINE,  /* a line begins with a space or tab */
  HTTP_FAULT_FRAMING,      /* the length of the body is not clear */
  HTTP_FAULT_BODY,         /* a body where the status allows none */
  HTTP_FAULT_SYNTAX,       /* other bytes that the parser refuses */
  HTTP_FAULT_TRUNCATED,    /* the stream ended before the answer did */
  HTTP_FAULT_RESET,        /* the connection failed before its end */
  HTTP_FAULT_NOT_ACCEPTED, /* the end of the stream ended the answer, but the
                              server had not accepted the whole request */
  HTTP_FAULTS              /* number of values */
};

enum http_head_kind
{
  HTTP_HEAD_FINAL,
  HTTP_HEAD_INTERIM, /* 100 to 199; a final answer follows */
  HTTP_HEAD_INVALID
};

enum http_head_state
{
  HTTP_HEAD_STATUS_LINE,
  HTTP_HEAD_STATUS_LINE_CR, /* after a CR in the status line */
  HTTP_HEAD_LINE_START,     /* at the first byte of a field line */
  HTTP_HEAD_NAME,
  HTTP_HEAD_VALUE,
  HTTP_HEAD_VALUE_CR, /* after a CR in a value */
  HTTP_HEAD_LAST_CR,  /* after a CR at the start of a line */
  HTTP_HEAD_END       /* the empty line was scanned */
};

/* Scan of the bytes of one head; zero at its first byte.  */
struct http_head_scan
{
  enum http_head_state state;
  uint32_t line_len; /* bytes of the status line so far */
  enum http_fault fault;
};

struct http_head_field
{
  struct str name;
  struct str value;
};

/* A head whose bytes were scanned without a fault.  */
struct http_head
{
  uint32_t version_minor; /* HTTP/1.x */
  int status;
  uint32_t fields_len;
  const struct http_head_field *fields;
};

/* Public functions */

/* scans the next bytes of a head up to its end; returns false at the first
   fault and sets scan->fault */
bool http_head_scan (struct http_head_scan *scan, struct str bytes);
/* classifies a head; sets *fault to the reason if it is invalid, else to
   HTTP_FAULT_NONE */
enum http_head_kind http_head_classify (const struct http_head *head,
                                        enum http_fault *fault);
/* returns true for a token (RFC 9110, 5.6.2) */
bool http_head_is_name (struct str name);
/* returns true if the value has no control byte but tabs */
bool http_head_is_value (struct str value);
/* returns the value without spaces and tabs around it, which are not part of
   it (RFC 9110, 5.5) */
struct str http_head_trim (struct str value);
/* returns true if a comma-separated list, such as the value of Connection,
   names the field */
bool http_head_lists (struct str list, struct str name);
/* returns the name of a fault for logs, metrics and traces */
struct str http_fault_get_name (enum http_fault fault);

#endif
