/* refusal: words in the target of a request that make the stand-in `machines`
   answer that it was not run.  */

#ifndef ALMONDVALE_STANDINS_REFUSAL_H
#define ALMONDVALE_STANDINS_REFUSAL_H

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* Constants */

#define REFUSAL_BUSY "busy"

/* Public functions */

/* Returns true if the request is to be refused: with the word "busy" as many
   arrivals of the target as the digit after it says, with "full" or "again"
   each one.  */
static inline bool
refusal_is_due (const char *target)
{
  static GHashTable *arrivals; /* by target */
  const char *word = strstr (target, REFUSAL_BUSY);
  guint count;

  if (word == NULL)
    return strstr (target, "full") != NULL || strstr (target, "again") != NULL;
  if (arrivals == NULL)
    arrivals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  count = GPOINTER_TO_UINT (g_hash_table_lookup (arrivals, target)) + 1;
  g_hash_table_insert (arrivals, g_strdup (target), GUINT_TO_POINTER (count));
  return (int)count <= word[strlen (REFUSAL_BUSY)] - '0';
}

/* Returns the copy of a refusal that is sent later, without the id of its
   request if the target says so.  */
static inline char *
refusal_make_copy (const char *target, const char *id)
{
  bool named = strstr (target, "nameless") == NULL;

  return g_strdup_printf (
      "HTTP/1.1 503 Full\r\nX-Almondvale-Not-Executed: 1\r\n"
      "%s%s%sContent-Length: 2\r\n\r\n{}",
      named ? "X-Almondvale-Attempt-Id: " : "", named ? id : "",
      named ? "\r\n" : "");
}

#endif
