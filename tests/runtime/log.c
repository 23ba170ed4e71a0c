/** Tests of the log (lib/runtime/log.h): plain lines and JSON lines. */
#include "json.h"
#include "log.h"
#include "tests.h"

/* the last line that was written */
static char *last_line;
static void keep_line(world *world, const char *line) {
  (void)world;
  g_free(last_line);
  last_line = g_strdup(line);
}

/* In both formats a message with quotes, newlines and an error code becomes one line, and the JSON
 * line can be parsed. */
static bool log_lines_are_plain_or_json(fleet *fleet) {
  host *host = fleet->operator;
  host_start(host);
  world *world = &host->world;
  void (*original_write_log)(struct world *, const char *) = world->write_log;
  world->write_log = keep_line;
  logger plain = { world, id_of_text("node-1"), false, false },
         json_lines = { world, id_of_text("node-1"), false, true };
  log_info(&plain, "gateway", "Refused \"%s\"\nof %s (code %d).", "x", "y", 504);
  if (!last_line || !strstr(last_line, "node-1 gateway: Refused \"x\" of y (code 504).") ||
      strchr(last_line, '\n'))
    fleet_add_violation(fleet, "plain: %s", last_line ? last_line : "nothing");
  log_info(&json_lines, "gateway", "Refused \"%s\"\nof %s (code %d).", "x", "y", 504);
  error err = { 0 };
  json *object = last_line ? json_parse(string_view_of(last_line), &err) : NULL;
  if (!object || strchr(last_line, '\n') || strcmp(json_text(object, "node", ""), "node-1") ||
      strcmp(json_text(object, "part", ""), "gateway") || json_number(object, "code", 0) != 504 ||
      strcmp(json_text(object, "text", ""), "Refused \"x\"\nof y (code 504)."))
    fleet_add_violation(fleet, "JSON: %s", last_line ? last_line : "nothing");
  json_free(object);
  log_info(&json_lines, "gateway", "All is well.");
  object = json_parse(string_view_of(last_line), &err);
  if (!object || json_get(object, "code"))
    fleet_add_violation(fleet, "JSON without a code: %s", last_line);
  json_free(object);
  log_debug(&json_lines, "gateway", "Not loud.");
  if (strstr(last_line, "Not loud"))
    fleet_add_violation(fleet, "debug lines were shown");
  world->write_log = original_write_log;
  g_free(last_line);
  last_line = NULL;
  return true;
}

const test_case log_tests[] = {
  { "log_lines_are_plain_or_json", log_lines_are_plain_or_json, 1, 1, 10 }, { NULL, NULL, 0, 0, 0 }
};
