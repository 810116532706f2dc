/* http_head: decides whether received bytes are the head of an HTTP/1.1
   answer (RFC 9112).  */

#include "http_head.h"

#include <glib.h>
#include <string.h>

/* Constants */

#define STATUS_MIN 100
#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define BYTE_DEL 0x7f
/* Length of a status line without a reason phrase.  */
#define STATUS_LINE_MIN 12u

/* State */

static const struct str fault_names[HTTP_FAULTS]
    = { [HTTP_FAULT_NONE] = STR_LIT ("none"),
        [HTTP_FAULT_STATUS_LINE] = STR_LIT ("status_line"),
        [HTTP_FAULT_STATUS] = STR_LIT ("status"),
        [HTTP_FAULT_FIELD_NAME] = STR_LIT ("field_name"),
        [HTTP_FAULT_FIELD_VALUE] = STR_LIT ("field_value"),
        [HTTP_FAULT_FOLDED_LINE] = STR_LIT ("folded_line"),
        [HTTP_FAULT_FRAMING] = STR_LIT ("framing"),
        [HTTP_FAULT_BODY] = STR_LIT ("body_not_allowed"),
        [HTTP_FAULT_SYNTAX] = STR_LIT ("syntax"),
        [HTTP_FAULT_TRUNCATED] = STR_LIT ("truncated"),
        [HTTP_FAULT_RESET] = STR_LIT ("reset"),
        [HTTP_FAULT_NOT_ACCEPTED] = STR_LIT ("request_not_accepted") };

/* Internal functions: bytes */

static bool
is_control (char c)
{
  return ((unsigned char)c < ' ' && c != '\t') || c == BYTE_DEL;
}

static bool
is_name_byte (char c)
{
  return g_ascii_isalnum (c)
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Checks one byte of "HTTP/1.x DDD", which a space and a reason phrase, or the
   end of the line, follow.  */
static bool
is_status_line_byte (uint32_t position, char c)
{
  static const char pattern[] = "HTTP/1.x DDD ";

  if (position >= sizeof pattern - 1)
    return !is_control (c);
  if (pattern[position] == 'x' || pattern[position] == 'D')
    return g_ascii_isdigit (c);
  return c == pattern[position];
}

static bool
fail (struct http_head_scan *scan, enum http_fault fault)
{
  scan->fault = fault;
  return false;
}

static bool
scan_status_line_byte (struct http_head_scan *scan, char c)
{
  bool ended = scan->line_len >= STATUS_LINE_MIN;

  if (c == '\n' && ended)
    scan->state = HTTP_HEAD_LINE_START;
  else if (c == '\r' && ended)
    scan->state = HTTP_HEAD_STATUS_LINE_CR;
  else if (!is_status_line_byte (scan->line_len, c))
    return fail (scan, HTTP_FAULT_STATUS_LINE);
  else if (scan->line_len < UINT32_MAX)
    scan->line_len++;
  return true;
}

static bool
scan_line_start (struct http_head_scan *scan, char c)
{
  switch (c)
    {
    case '\r':
      scan->state = HTTP_HEAD_LAST_CR;
      return true;
    case '\n':
      scan->state = HTTP_HEAD_END;
      return true;
    case ' ':
    case '\t':
      return fail (scan, HTTP_FAULT_FOLDED_LINE);
    default:
      scan->state = HTTP_HEAD_NAME;
      return is_name_byte (c) || fail (scan, HTTP_FAULT_FIELD_NAME);
    }
}

static bool
scan_value_byte (struct http_head_scan *scan, char c)
{
  bool after_cr = scan->state == HTTP_HEAD_VALUE_CR;

  if (c == '\n')
    scan->state = HTTP_HEAD_LINE_START;
  else if (c == '\r' && !after_cr)
    scan->state = HTTP_HEAD_VALUE_CR;
  else if (after_cr || is_control (c))
    return fail (scan, HTTP_FAULT_FIELD_VALUE);
  return true;
}

static bool
scan_byte (struct http_head_scan *scan, char c)
{
  switch (scan->state)
    {
    case HTTP_HEAD_STATUS_LINE:
      return scan_status_line_byte (scan, c);
    case HTTP_HEAD_STATUS_LINE_CR:
      scan->state = HTTP_HEAD_LINE_START;
      return c == '\n' || fail (scan, HTTP_FAULT_STATUS_LINE);
    case HTTP_HEAD_LINE_START:
      return scan_line_start (scan, c);
    case HTTP_HEAD_NAME:
      if (c == ':')
        scan->state = HTTP_HEAD_VALUE;
      else if (!is_name_byte (c))
        return fail (scan, HTTP_FAULT_FIELD_NAME);
      return true;
    case HTTP_HEAD_VALUE:
    case HTTP_HEAD_VALUE_CR:
      return scan_value_byte (scan, c);
    case HTTP_HEAD_LAST_CR:
      scan->state = HTTP_HEAD_END;
      return c == '\n' || fail (scan, HTTP_FAULT_SYNTAX);
    case HTTP_HEAD_END:
      break;
    }
  return true;
}

/* Internal functions: fields */

/* Returns the number of fields of this name and sets *value to the last
   one's.  */
static uint32_t
count_fields (const struct http_head *head, struct str name, struct str *value)
{
  uint32_t count = 0;

  *value = STR_EMPTY;
  for (uint32_t i = 0; i < head->fields_len; i++)
    if (str_equal_nocase (head->fields[i].name, name))
      {
        *value = head->fields[i].value;
        count++;
      }
  return count;
}

/* A coding other than "chunked" alone is refused: the body that is passed on
   would still be encoded, without the field that says so.  */
static enum http_fault
check_framing (const struct http_head *head)
{
  struct str length, coding;
  uint32_t lengths = count_fields (head, STR_LIT ("content-length"), &length);
  uint32_t codings
      = count_fields (head, STR_LIT ("transfer-encoding"), &coding);
  uint64_t bytes = 0;

  if (lengths + codings > 1
      || (lengths == 1 && !str_parse_u64 (http_head_trim (length), &bytes))
      || (codings == 1
          && (head->version_minor == 0
              || !str_equal_nocase (http_head_trim (coding),
                                    STR_LIT ("chunked")))))
    return HTTP_FAULT_FRAMING;
  if (head->status >= STATUS_FINAL_MIN && head->status != STATUS_NO_CONTENT)
    return HTTP_FAULT_NONE;
  return codings > 0 || bytes > 0 ? HTTP_FAULT_BODY : HTTP_FAULT_NONE;
}

/* Public functions */

/**
 * http_head_scan - scans the next bytes of a head
 * @scan: zero before the first byte of the head
 * @bytes: as received; bytes after the end of the head are ignored
 *
 * A line may end with LF alone, as RFC 9112, 2.2 allows.
 *
 * Return: false at the first fault, with the reason in scan->fault.
 */
bool
http_head_scan (struct http_head_scan *scan, struct str bytes)
{
  for (size_t i = 0; i < bytes.len && scan->state != HTTP_HEAD_END; i++)
    if (!scan_byte (scan, bytes.data[i]))
      return false;
  return true;
}

/**
 * http_head_classify - classifies a head
 * @head: parsed head, scanned without a fault
 * @fault: receives the reason if the head is invalid
 *
 * Return: whether it is the head of a final answer, of an interim one, or of
 * none.
 */
enum http_head_kind
http_head_classify (const struct http_head *head, enum http_fault *fault)
{
  *fault = HTTP_FAULT_NONE;
  if (head->status < STATUS_MIN || head->status > STATUS_MAX
      || head->status == STATUS_SWITCHING_PROTOCOLS)
    *fault = HTTP_FAULT_STATUS;
  for (uint32_t i = 0; i < head->fields_len && *fault == HTTP_FAULT_NONE; i++)
    {
      if (!http_head_is_name (head->fields[i].name))
        *fault = HTTP_FAULT_FIELD_NAME;
      else if (!http_head_is_value (head->fields[i].value))
        *fault = HTTP_FAULT_FIELD_VALUE;
    }
  if (*fault == HTTP_FAULT_NONE)
    *fault = check_framing (head);
  if (*fault != HTTP_FAULT_NONE)
    return HTTP_HEAD_INVALID;
  return head->status < STATUS_FINAL_MIN ? HTTP_HEAD_INTERIM : HTTP_HEAD_FINAL;
}

bool
http_head_is_name (struct str name)
{
  for (size_t i = 0; i < name.len; i++)
    if (!is_name_byte (name.data[i]))
      return false;
  return name.len > 0;
}

bool
http_head_is_value (struct str value)
{
  for (size_t i = 0; i < value.len; i++)
    if (is_control (value.data[i]))
      return false;
  return true;
}

struct str
http_head_trim (struct str value)
{
  size_t from = 0;
  size_t to = value.len;

  while (from < to && (value.data[from] == ' ' || value.data[from] == '\t'))
    from++;
  while (to > from
         && (value.data[to - 1] == ' ' || value.data[to - 1] == '\t'))
    to--;
  return str_slice (value, from, to);
}

bool
http_head_lists (struct str list, struct str name)
{
  size_t from = 0;

  while (from < list.len)
    {
      const char *comma = memchr (list.data + from, ',', list.len - from);
      size_t to = comma != NULL ? (size_t)(comma - list.data) : list.len;

      if (str_equal_nocase (http_head_trim (str_slice (list, from, to)), name))
        return true;
      from = to + 1;
    }
  return false;
}

struct str
http_fault_get_name (enum http_fault fault)
{
  return fault < HTTP_FAULTS ? fault_names[fault] : STR_LIT ("unknown");
}
