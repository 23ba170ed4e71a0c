/** The commands that read or write one resource: get, apply, patch, watch. */
#include "commands.h"
#include "resource_write.h"
#include <stdio.h>

enum {
  /** The server ends a long poll with 304 well before this timeout. */
  WATCH_TIMEOUT_MS = 25000,
  /** The pause after a failed poll, and the number of failures in a row that are tolerated. */
  WATCH_RETRY_PAUSE_MS = 500,
  WATCH_FAILURES_MAX = 5
};

enum exit_code get_command_run(const struct command_context *context) {
  char path[RESOURCE_PATH_SIZE];
  snprintf(path, sizeof path, "/v1/%s", asterctl_options_word(&context->options, 1));
  GString *response = g_string_new(NULL);
  int status = control_get(context, path, response, CONTROL_REQUEST_TIMEOUT_MS);
  enum exit_code exit_code = control_print_response(context, status, response);
  g_string_free(response, TRUE);
  return exit_code;
}

enum exit_code apply_command_run(const struct command_context *context) {
  return resource_write_file(context, "PUT", asterctl_options_word(&context->options, 1));
}

enum exit_code patch_command_run(const struct command_context *context) {
  return resource_write_file(context, "PATCH", asterctl_options_word(&context->options, 1));
}

/** Prints a version of a resource. Returns its number, or the previous one when it has none. */
static uint64_t print_version(const GString *response, uint64_t previous_version) {
  json *resource = json_parse(string_view_of_gstring(response), NULL);
  uint64_t version = (uint64_t)json_number(resource, "version", (double)previous_version);
  json_free(resource);
  printf("%s", response->str);
  fflush(stdout);
  return version;
}

enum exit_code watch_command_run(const struct command_context *context) {
  const char *resource = asterctl_options_word(&context->options, 1);
  if (!resource_name_is_valid(resource)) {
    asterctl_error("only catalogue, policy, evacuation, routing and canary can be watched");
    return EXIT_CODE_USAGE;
  }
  GString *response = g_string_new(NULL);
  uint64_t version = 0;
  int failures = 0;
  while (failures <= WATCH_FAILURES_MAX) {
    char path[RESOURCE_PATH_SIZE];
    snprintf(path, sizeof path, "/v1/%s?after=%" PRIu64, resource, version);
    int status = control_get(context, path, response, WATCH_TIMEOUT_MS);
    if (status == HTTP_STATUS_NOT_MODIFIED)
      continue;
    if (status == HTTP_STATUS_OK) {
      failures = 0;
      version = print_version(response, version);
      continue;
    }
    failures++;
    if (failures <= WATCH_FAILURES_MAX &&
        !world_sleep(context->world, time_from_ms(WATCH_RETRY_PAUSE_MS)))
      break;
  }
  g_string_free(response, TRUE);
  return EXIT_CODE_NO_ANSWER;
}
