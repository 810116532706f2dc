/* reference: prints the generated reference tables of the pages in docs/.  */

#include "daemon_metrics.h"
#include "err.h"
#include "metrics.h"
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

static void
append_errors (struct str_buf *out)
{
  err_append_reference (out);
}

static void
append_metrics (struct str_buf *out)
{
  struct metrics m;
  struct daemon_metrics s;

  metrics_init (&m);
  daemon_metrics_init (&s, &m);
  metrics_append_reference (&m, out);
  metrics_close (&m);
}

static const struct
{
  const char *name;
  void (*append) (struct str_buf *out);
} tables[] = { { "settings", append_settings },
               { "errors", append_errors },
               { "metrics", append_metrics } };

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
  fprintf (stderr, "Usage: reference settings|errors|metrics\n");
  return EXIT_FAILURE;
}
