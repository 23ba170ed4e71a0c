/** The command evacuate: reads the resource "evacuation", replaces the entry of one zone, and
 * writes the result on condition that the version is unchanged. After a conflict it starts over. */
#include "commands.h"
#include "resource_write.h"
#include <stdio.h>

/** The number of attempts to read and write before the command gives up. */
enum { EVACUATE_ATTEMPTS = 4 };

/** The new entry of a zone. */
struct evacuation_entry {
  const char *zone;
  /** The share of its engines to evacuate, from 0 to 1; 0 removes the entry. */
  double share;
};

/** Parses the arguments; prints an error and returns false when they are invalid. */
static bool parse_entry(const struct asterctl_options *options, struct evacuation_entry *entry) {
  entry->zone = asterctl_options_word(options, 1);
  entry->share = 1;
  if (options->word_count < 2 || !id_is_valid(string_view_of(entry->zone))) {
    asterctl_error("usage: evacuate AREA [SHARE]");
    return false;
  }
  if (options->word_count == 2)
    return true;
  char *end = NULL;
  entry->share = g_ascii_strtod(options->words[2], &end);
  if (*end)
    asterctl_error("the share must be a number from 0 to 1");
  return !*end;
}

/** Appends an entry to an open JSON array. */
static void append_entry(GString *text, const char *zone, double share) {
  bool is_first = text->str[text->len - 1] == '[';
  json_appendf(text, "%s{\"area\":\"%s\",\"share\":%g}", is_first ? "" : ",", zone, share);
}

/** Returns the value with the entry of one zone replaced, as JSON; the caller frees it. */
static GString *replace_entry(const json *value, const struct evacuation_entry *entry) {
  GString *replaced = g_string_new("{\"areas\":[");
  const json *zones = json_get(value, "areas");
  for (size_t i = 0; i < json_count(zones); i++) {
    const char *zone = json_text(json_at(zones, i), "area", "");
    if (strcmp(zone, entry->zone))
      append_entry(replaced, zone, json_number(json_at(zones, i), "share", 1));
  }
  if (entry->share > 0)
    append_entry(replaced, entry->zone, entry->share);
  g_string_append(replaced, "]}");
  return replaced;
}

/** Fetches the resource, which the caller frees. Returns NULL and sets the exit code on failure. */
static json *read_evacuation(const struct command_context *context, enum exit_code *exit_code) {
  GString *response = g_string_new(NULL);
  int status = control_get(context, "/v1/evacuation", response, CONTROL_REQUEST_TIMEOUT_MS);
  json *resource =
      status == HTTP_STATUS_OK ? json_parse(string_view_of_gstring(response), NULL) : NULL;
  g_string_free(response, TRUE);
  if (!resource) {
    asterctl_error("the evacuation can't be read");
    *exit_code = control_exit_code(status);
  }
  return resource;
}

/** Reads, replaces and writes once. Returns EXIT_CODE_CONFLICT when another write came in between.
 */
static enum exit_code replace_once(const struct command_context *context,
                                   const struct evacuation_entry *entry) {
  enum exit_code exit_code = EXIT_CODE_OK;
  json *resource = read_evacuation(context, &exit_code);
  if (!resource)
    return exit_code;
  GString *value = replace_entry(json_get(resource, "value"), entry);
  char version[32];
  snprintf(version, sizeof version, "%" PRIu64, (uint64_t)json_number(resource, "version", 0));
  json_free(resource);
  exit_code = resource_write(context, "PUT", "evacuation", string_view_of_gstring(value), version);
  g_string_free(value, TRUE);
  return exit_code;
}

enum exit_code evacuate_command_run(const struct command_context *context) {
  struct evacuation_entry entry;
  if (!parse_entry(&context->options, &entry))
    return EXIT_CODE_USAGE;
  enum exit_code exit_code = EXIT_CODE_CONFLICT;
  for (int i = 0; i < EVACUATE_ATTEMPTS && exit_code == EXIT_CODE_CONFLICT; i++)
    exit_code = replace_once(context, &entry);
  return exit_code;
}
