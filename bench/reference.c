/* reference: prints the generated tables of docs/operations.md.  */

#include "settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Internal functions */

static void
append_settings (struct str_buf *out)
{
  settings_append_reference (out);
}

static const struct
{
  const char *name;
  void (*append) (struct str_buf *out);
} tables[] = { { "settings", append_settings } };

/* Public functions */

int
main (int argc, char **argv)
{
  struct str_buf out = { 0 };

  for (size_t i = 0; argc == 2 && i < sizeof tables / sizeof tables[0]; i++)
    if (strcmp (argv[1], tables[i].name) == 0)
      {
        tables[i].append (&out);
        fwrite (out.data, 1, out.len, stdout);
        str_reset (&out);
        return EXIT_SUCCESS;
      }
  fprintf (stderr, "Usage: reference settings\n");
  return EXIT_FAILURE;
}
