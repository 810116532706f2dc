/* fuzz: feeds seeded mutations of valid inputs to every decoder.

   `make unit` runs a small number of mutations with a fixed seed, `make fuzz`
   a larger number.
   Only crashes, sanitizer reports and hangs are failures; the tests of each
   module check what its decoder accepts.  */

#include "change_json.h"
#include "http_head.h"
#include "idempotency.h"
#include "inventory_import.h"
#include "inventory_json.h"
#include "settings.h"
#include "trace.h"
#include "wire.h"
#include "wire_control.h"
#include "wire_shard.h"
#include "wire_snapshot.h"

#include <glib.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Constants */

#define CORPUS_MAX 16
#define CHANGES_MAX 6

/* Types */

struct target
{
  const char *name;
  void (*decode) (struct str input);
  /* fills corpus with valid inputs and returns their number; the caller frees
     each with str_free */
  size_t (*fill_corpus) (struct str *corpus);
};

/* Internal functions: decoders */

static void
decode_wire (struct str input)
{
  struct wire_message m;

  wire_peek_type (input);
  if (wire_load_message (&m, input))
    wire_unload_message (&m);
}

static void
decode_wire_control (struct str input)
{
  struct wire_control_message m;

  if (wire_control_load_message (&m, input))
    wire_control_unload_message (&m);
}

static void
decode_wire_shard (struct str input)
{
  struct wire_shard_message m;

  if (wire_shard_load_message (&m, input))
    wire_shard_unload_message (&m);
}

static void
decode_wire_snapshot (struct str input)
{
  struct wire_pull_snapshot pull;
  struct wire_snapshot chunk;

  wire_snapshot_load_pull (&pull, input);
  wire_snapshot_load (&chunk, input);
}

static void
decode_settings (struct str input)
{
  struct settings s;

  if (settings_load (&s, STR_LIT ("fuzz"), input, NULL))
    settings_unload (&s);
}

static void
decode_inventory (struct str input)
{
  struct inventory inv;
  struct str_buf problems = { 0 };

  if (!inventory_json_load (&inv, input, NULL))
    return;
  inventory_validate (&inv, &problems);
  str_reset (&problems);
  inventory_close (&inv);
}

static void
decode_change (struct str input)
{
  struct change c;

  if (change_json_load (&c, input, NULL))
    change_close (&c);
}

static void
decode_import_csv (struct str input)
{
  struct inventory_import import;

  inventory_import_load_csv (&import, STR_LIT ("fuzz"), input, STR_EMPTY);
  inventory_import_unload (&import);
}

static void
decode_import_json (struct str input)
{
  struct inventory_import import;

  inventory_import_load_json (&import, STR_LIT ("fuzz"), input, STR_EMPTY);
  inventory_import_unload (&import);
}

static void
decode_ids (struct str input)
{
  struct trace_context context;
  struct idempotency_key key;

  trace_parse_parent (input, &context);
  idempotency_parse_key (input, &key);
}

/* Internal functions: heads of answers */

/* Fields as the parser reports them, one "NAME:VALUE" a line.  */
struct parsed_head
{
  struct str_buf text;
  struct str_buf value; /* of the last field */
  bool complete;
};

static int
on_field (http_parser *p, const char *at, size_t len)
{
  struct parsed_head *head = p->data;

  if (head->text.len > 0)
    {
      str_append (&head->text, http_head_trim (str_view (&head->value)));
      str_append_char (&head->text, '\n');
    }
  str_reset (&head->value);
  str_append (&head->text, (struct str){ len, at });
  str_append_char (&head->text, ':');
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t len)
{
  struct parsed_head *head = p->data;

  str_append (&head->value, (struct str){ len, at });
  return 0;
}

static int
on_head_end (http_parser *p)
{
  struct parsed_head *head = p->data;

  str_append (&head->text, http_head_trim (str_view (&head->value)));
  head->complete = true;
  http_parser_pause (p, 1);
  return 0;
}

/* Splits a head at its line ends, and each line at the first colon.  */
static void
split_head (struct str input, struct str_buf *out)
{
  size_t from = str_find_char (input, '\n', 0) + 1;

  while (from < input.len)
    {
      size_t to = str_find_char (input, '\n', from);
      struct str line = str_slice (input, from, to);
      size_t colon = str_find_char (line, ':', 0);
      char *value;

      if (line.len <= 1 && (line.len == 0 || line.data[0] == '\r'))
        return;
      value
          = g_strstrip (str_dup_cstr (str_slice (line, colon + 1, line.len)));
      str_append_format (out, "%s%.*s:%s", out->len > 0 ? "\n" : "",
                         STR_ARG (str_slice (line, 0, colon)), value);
      g_free (value);
      from = to + 1;
    }
}

/* Aborts if a head that http_head accepts has other fields for the parser than
   for a reader that only splits lines: what is passed on would then differ from
   what was received.  */
static void
decode_http_head (struct str input)
{
  static const http_parser_settings settings
      = { .on_header_field = on_field,
          .on_header_value = on_value,
          .on_headers_complete = on_head_end };
  struct parsed_head head = { .complete = false };
  struct http_head_scan scan = { .line_len = 0 };
  struct str_buf split = { 0 };
  http_parser parser;

  if (!http_head_scan (&scan, input) || scan.state != HTTP_HEAD_END)
    return;
  http_parser_init (&parser, HTTP_RESPONSE);
  parser.data = &head;
  http_parser_execute (&parser, &settings, input.data, input.len);
  split_head (input, &split);
  if (head.complete && !str_equal (str_view (&head.text), str_view (&split)))
    {
      fprintf (stderr, "parsed:\n%.*s\nsplit:\n%.*s\n",
               STR_ARG (str_view (&head.text)), STR_ARG (str_view (&split)));
      abort ();
    }
  str_reset (&head.text);
  str_reset (&head.value);
  str_reset (&split);
}

/* Internal functions: corpora */

static size_t
fill_http_head_corpus (struct str *corpus)
{
  corpus[0] = str_copy (STR_LIT ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                 "X-Odd: a b\tc\r\nEmpty:\r\n\r\nok"));
  corpus[1] = str_copy (
      STR_LIT ("HTTP/1.1 503 No\nTransfer-Encoding:  chunked\nA:b\n\n"));
  return 2;
}

/* Returns a copy of a frame's payload, which follows the length of 4 bytes,
   and clears the frame.  */
static struct str
pop_payload (struct str_buf *frame)
{
  struct str s = str_copy (str_slice (str_view (frame), 4, frame->len));

  str_reset (frame);
  return s;
}

static size_t
fill_wire_corpus (struct str *corpus)
{
  struct wire_header headers[] = { { STR_LIT ("a"), STR_LIT ("b") } };
  struct wire_threshold thresholds[] = { { STR_LIT ("s"), 3 } };
  struct wire_message messages[] = {
    { .type = WIRE_REQUEST,
      .u.request = { .service = STR_LIT ("s"),
                     .route = STR_LIT ("r"),
                     .method = STR_LIT ("GET"),
                     .path = STR_LIT ("/p"),
                     .headers_len = 1,
                     .headers = headers,
                     .workspace = STR_LIT ("w"),
                     .traceparent = STR_EMPTY,
                     .body = STR_LIT ("body") } },
    { .type = WIRE_RESPONSE,
      .u.response = { .status = 200,
                      .headers_len = 1,
                      .headers = headers,
                      .thresholds_len = 1,
                      .thresholds = thresholds,
                      .body = STR_LIT ("body") } },
    { .type = WIRE_CANCEL },
    { .type = WIRE_QUERY },
    { .type = WIRE_OUTCOME },
    { .type = WIRE_BODY, .u.body = { .bytes = STR_LIT ("part") } },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (messages); i++)
    {
      struct str_buf out = { 0 };

      wire_append_message (&out, &messages[i]);
      corpus[i] = pop_payload (&out);
    }
  return G_N_ELEMENTS (messages);
}

static size_t
fill_wire_control_corpus (struct str *corpus)
{
  struct member_entry entry
      = { .id = 1, .service = STR_LIT ("s"), .full = true };
  struct gossip_change change = { 1, STR_LIT ("{}") };
  struct gossip_datagram datagram
      = { .type = GOSSIP_ACK, .entries_len = 1, .changes_len = 1 };
  struct wire_control_message messages[] = {
    { .type = WIRE_SYNC_MEMBERS },
    { .type = WIRE_MEMBERS,
      .u.members = { .entries_len = 1, .entries = &entry } },
    { .type = WIRE_PULL_CHANGES },
    { .type = WIRE_CHANGES,
      .u.changes = { .changes_len = 1, .changes = &change } },
  };
  struct str_buf out = { 0 };

  datagram.entries[0] = entry;
  datagram.changes[0] = change;
  wire_control_append_datagram (&out, &datagram);
  corpus[0] = str_take (&out);
  for (size_t i = 0; i < G_N_ELEMENTS (messages); i++)
    {
      wire_control_append_frame (&out, &messages[i]);
      corpus[i + 1] = pop_payload (&out);
    }
  return G_N_ELEMENTS (messages) + 1;
}

static size_t
fill_wire_snapshot_corpus (struct str *corpus)
{
  struct wire_pull_snapshot pull = { 1, 2 };
  struct wire_snapshot chunk = { 1, 4, 0, STR_LIT ("part") };
  struct str_buf out = { 0 };

  wire_snapshot_append_pull (&out, &pull);
  corpus[0] = pop_payload (&out);
  wire_snapshot_append (&out, &chunk);
  corpus[1] = pop_payload (&out);
  return 2;
}

/* The members of shard messages depend on the message type.  For all types,
   mutation starts from the same array of a string, numbers and bytes.  */
static size_t
fill_wire_shard_corpus (struct str *corpus)
{
  static const unsigned char types[] = { 40, 41, 50, 51, 52, 60, 61 };

  for (size_t i = 0; i < G_N_ELEMENTS (types); i++)
    {
      unsigned char bytes[]
          = { 0x98, types[i], 0xa1, 'w', 1, 2, 3, 4, 5, 0xc4, 1, 'b' };

      corpus[i] = str_copy ((struct str){ sizeof bytes, (const char *)bytes });
    }
  return G_N_ELEMENTS (types);
}

static size_t
fill_settings_corpus (struct str *corpus)
{
  corpus[0] = str_copy (
      STR_LIT ("{\"member_id\":\"a\",\"failure_domain\":\"b\",\"region\":"
               "\"c\",\"address\":\"127.0.0.1\",\"inventory_file\":\"f\","
               "\"failure_domains\":[\"x\"],\"seeds\":[{\"address\":"
               "\"::1\",\"port\":1}],\"limits\":{\"depth\":3}}"));
  return 1;
}

static size_t
fill_inventory_corpus (struct str *corpus)
{
  corpus[0] = str_copy (STR_LIT (
      "{\"revision\":3,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":"
      "\"r\",\"service\":\"s\",\"path_prefix\":\"/r\",\"methods\":[\"GET\"],"
      "\"idempotency_key\":\"none\"}],\"workspaces\":[{\"name\":\"w\","
      "\"rate_per_s\":1,\"burst\":1,\"routes\":[\"r\"]}],\"rules\":[{\"name\":"
      "\"u\",\"order\":1,\"importance\":3}]}"));
  return 1;
}

static size_t
fill_change_corpus (struct str *corpus)
{
  corpus[0] = str_copy (STR_LIT (
      "{\"revision\":8,\"nonce\":\"00000000000000000000000000000008\","
      "\"author\":\"a\",\"ops\":[{\"put\":\"route\",\"row\":{\"name\":\"b\","
      "\"importance\":9}},{\"delete\":\"key\",\"name\":\"k1\"}]}"));
  return 1;
}

static size_t
fill_import_csv_corpus (struct str *corpus)
{
  corpus[0] = str_copy (STR_LIT ("kind,name,service,path_prefix,methods\n"
                                 "service,s,,,\nroute,r,s,/r,\"GET POST\"\n"));
  return 1;
}

static size_t
fill_ids_corpus (struct str *corpus)
{
  corpus[0] = str_copy (
      STR_LIT ("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
  corpus[1] = str_copy (STR_LIT ("018f2b6e-7b1a-7c3d-9e4f-0123456789ab"));
  return 2;
}

static const struct target targets[] = {
  { "wire", decode_wire, fill_wire_corpus },
  { "wire_control", decode_wire_control, fill_wire_control_corpus },
  { "wire_shard", decode_wire_shard, fill_wire_shard_corpus },
  { "wire_snapshot", decode_wire_snapshot, fill_wire_snapshot_corpus },
  { "settings", decode_settings, fill_settings_corpus },
  { "inventory", decode_inventory, fill_inventory_corpus },
  { "change", decode_change, fill_change_corpus },
  { "asset_csv", decode_import_csv, fill_import_csv_corpus },
  { "asset_json", decode_import_json, fill_inventory_corpus },
  { "ids", decode_ids, fill_ids_corpus },
  { "http_head", decode_http_head, fill_http_head_corpus },
};

/* Internal functions: mutation */

static struct str
mutate (GRand *rand, struct str input)
{
  struct str_buf out = { 0 };
  size_t from = (size_t)g_rand_int_range (rand, 0, (gint32)input.len + 1);
  int changes = g_rand_int_range (rand, 0, CHANGES_MAX);

  switch (g_rand_int_range (rand, 0, 4))
    {
    case 0: /* truncate */
      str_append (&out, str_slice (input, 0, from));
      break;
    case 1: /* append a copy of the end */
      str_append (&out, input);
      str_append (&out, str_slice (input, from, input.len));
      break;
    case 2: /* remove one byte */
      str_append (&out, str_slice (input, 0, from));
      str_append (&out, str_slice (input, from + 1, input.len));
      break;
    default:
      str_append (&out, input);
      break;
    }
  for (int i = 0; i < changes && out.len > 0; i++)
    out.data[g_rand_int_range (rand, 0, (gint32)out.len)]
        = (char)g_rand_int (rand);
  return str_take (&out);
}

static void
run_target (const struct target *t, GRand *rand, int runs)
{
  struct str corpus[CORPUS_MAX];
  size_t len = t->fill_corpus (corpus);

  for (size_t i = 0; i < len; i++)
    t->decode (corpus[i]);
  for (int i = 0; i < runs; i++)
    {
      struct str input
          = mutate (rand, corpus[g_rand_int_range (rand, 0, (gint32)len)]);

      t->decode (input);
      str_free (&input);
    }
  for (size_t i = 0; i < len; i++)
    str_free (&corpus[i]);
  printf ("fuzz %s: %d runs\n", t->name, runs);
}

/* Public functions */

int
main (int argc, char **argv)
{
  gint runs = 20000;
  gint seed = 1;
  const GOptionEntry entries[]
      = { { "runs", 0, 0, G_OPTION_ARG_INT, &runs,
            "Mutations for each decoder", "N" },
          { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
          { NULL } };
  GOptionContext *context = g_option_context_new (NULL);
  GRand *rand;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL))
    return EXIT_FAILURE;
  g_option_context_free (context);
  rand = g_rand_new_with_seed ((guint32)seed);
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    run_target (&targets[i], rand, runs);
  g_rand_free (rand);
  return EXIT_SUCCESS;
}
