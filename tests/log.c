#include "json.h"
#include "log.h"
#include "tests.h"

static char *heard;
static void hear(world *world, const char *line) {
  (void)world;
  g_free(heard);
  heard = g_strdup(line);
}

/* given both forms, a sentence with quotes, line ends and a code comes out as one line, and the
 * JSON one can be read back */
static bool logs_have_two_forms(fleet *fleet) {
  host *host = fleet->operator;
  host_start(host);
  world *w = &host->world;
  void (*was)(world *, const char *) = w->write_log;
  w->write_log = hear;
  logger plain = { w, id_of_text("node-1"), false, false },
         lines = { w, id_of_text("node-1"), false, true };
  log_info(&plain, "gateway", "Refused \"%s\"\nof %s (code %d).", "x", "y", 504);
  if (!heard || !strstr(heard, "node-1 gateway: Refused \"x\" of y (code 504).") ||
      strchr(heard, '\n'))
    violation(fleet, "plain: %s", heard ? heard : "nothing");
  log_info(&lines, "gateway", "Refused \"%s\"\nof %s (code %d).", "x", "y", 504);
  error err = { 0 };
  json *json = heard ? json_parse(string_view_of(heard), &err) : NULL;
  if (!json || strchr(heard, '\n') || strcmp(json_text(json, "node", ""), "node-1") ||
      strcmp(json_text(json, "part", ""), "gateway") || json_number(json, "code", 0) != 504 ||
      strcmp(json_text(json, "text", ""), "Refused \"x\"\nof y (code 504)."))
    violation(fleet, "JSON: %s", heard ? heard : "nothing");
  json_free(json);
  log_info(&lines, "gateway", "All is well.");
  json = json_parse(string_view_of(heard), &err);
  if (!json || json_get(json, "code"))
    violation(fleet, "JSON without a code: %s", heard);
  json_free(json);
  log_debug(&lines, "gateway", "Not loud.");
  if (strstr(heard, "Not loud"))
    violation(fleet, "debug lines were shown");
  w->write_log = was;
  g_free(heard);
  heard = NULL;
  return true;
}

const test_case log_tests[] = { { "logs_have_two_forms", logs_have_two_forms, 1, 1, 10 },
                                { NULL, NULL, 0, 0, 0 } };
