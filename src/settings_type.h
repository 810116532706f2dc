/* settings_type: the types of the members of the settings file.  Part of
   settings: checks, stores and describes the value of one member.  */

#ifndef ALMONDVALE_SETTINGS_TYPE_H
#define ALMONDVALE_SETTINGS_TYPE_H

#include "settings.h"

#include <json-glib/json-glib.h>

/* Types */

enum settings_type
{
  SETTINGS_TYPE_NAME,
  SETTINGS_TYPE_CHOICE,
  SETTINGS_TYPE_FILE,
  SETTINGS_TYPE_ADDRESS,
  SETTINGS_TYPE_INTEGER,
  SETTINGS_TYPE_RATIO,
  SETTINGS_TYPE_ENDPOINTS,
  SETTINGS_TYPE_NAMES
};

/* One member of the settings file.  */
struct settings_member
{
  const char *path; /* names joined by dots */
  enum settings_type type;
  /* range of a number; max also limits the length of an array */
  int64_t min, max;
  const char *choices;       /* SETTINGS_TYPE_CHOICE: names joined by ", " */
  const char *default_value; /* JSON; NULL if required */
  size_t offset;             /* of the field in struct settings */
  const char *help;
};

/* Operations on the values of one member type.  */
struct settings_type_ops
{
  /* stores the value of a valid node in the field; returns false and changes
     nothing if the node is invalid */
  bool (*load) (const struct settings_member *m, JsonNode *node, void *field);
  /* frees the value of the field */
  void (*unload) (void *field);
  /* appends a description of the allowed values */
  void (*append_allowed) (const struct settings_member *m,
                          struct str_buf *out);
};

/* State */

/* by enum settings_type */
extern const struct settings_type_ops settings_types[];

/* Public functions */

/* Returns true if the field of the type is a struct str.  */
bool settings_type_is_text (enum settings_type type);

#endif
