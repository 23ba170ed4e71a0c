/** Writes of resources. See resource_write.h. */
#include "resource_write.h"
#include "config.h"
#include "program.h"
#include <stdio.h>

/** RANDOM_KEY_SIZE has room for "asterctl-" and 16 hexadecimal digits. */
enum { RANDOM_KEY_SIZE = 40, INPUT_CHUNK_SIZE = 4096 };

bool resource_name_is_valid(const char *name) {
  for (int i = 0; i < RESOURCE_COUNT; i++)
    if (!strcmp(name, resource_names[i]))
      return true;
  return false;
}

/** Sets the header fields of a write. Free them with http_headers_free. */
static void set_write_headers(const struct command_context *context, http_headers *headers,
                              const char *if_version) {
  char random_key[RANDOM_KEY_SIZE];
  uint64_t number = context->world->random(context->world);
  snprintf(random_key, sizeof random_key, "asterctl-%016" PRIx64, number);
  const char *given_key = context->options.idempotency_key;
  http_headers_set(headers, HEADER_CONTENT_TYPE, "application/json");
  if (if_version)
    http_headers_set(headers, HEADER_IF_MATCH, if_version);
  http_headers_set(headers, HEADER_IDEMPOTENCY_KEY, given_key ? given_key : random_key);
}

/** Waits until the write that a response acknowledges is in force. */
static enum exit_code wait_for_response(const struct command_context *context,
                                        const GString *response) {
  json *written = json_parse(string_view_of_gstring(response), NULL);
  if (!written)
    return EXIT_CODE_OK;
  uint64_t version = (uint64_t)json_number(written, "version", 0);
  json_free(written);
  return resource_wait_in_force(context, version);
}

enum exit_code resource_write(const struct command_context *context, const char *method,
                              const char *resource, string_view body, const char *if_version) {
  char path[RESOURCE_PATH_SIZE];
  snprintf(path, sizeof path, "/v1/%s", resource);
  http_headers headers = { { 0 } };
  set_write_headers(context, &headers, if_version);
  GString *response = g_string_new(NULL);
  struct control_request request = { method, path, &headers, body, CONTROL_REQUEST_TIMEOUT_MS };
  int status = control_send(context, &request, response);
  enum exit_code exit_code = control_print_response(context, status, response);
  if (exit_code == EXIT_CODE_OK && context->options.wait_s)
    exit_code = wait_for_response(context, response);
  g_string_free(response, TRUE);
  http_headers_free(&headers);
  return exit_code;
}

/** Reads standard input to its end. The caller frees the text. */
static GString *read_input(void) {
  GString *text = g_string_new(NULL);
  char chunk[INPUT_CHUNK_SIZE];
  size_t length;
  while ((length = fread(chunk, 1, sizeof chunk, stdin)) > 0)
    g_string_append_len(text, chunk, (gssize)length);
  return text;
}

/** Reads a file, or standard input for "-". The caller frees the text; NULL when it can't be read.
 */
static GString *read_file_or_input(const char *file) {
  return strcmp(file, "-") ? program_read_file(file) : read_input();
}

enum exit_code resource_write_file(const struct command_context *context, const char *method,
                                   const char *resource) {
  const struct asterctl_options *options = &context->options;
  if (!options->file || !resource_name_is_valid(resource)) {
    asterctl_error("catalogue, policy, evacuation, routing or canary is needed, and --file");
    return EXIT_CODE_USAGE;
  }
  GString *body = read_file_or_input(options->file);
  if (!body) {
    asterctl_error("%s can't be read", options->file);
    return EXIT_CODE_USAGE;
  }
  enum exit_code exit_code =
      resource_write(context, method, resource, string_view_of_gstring(body), options->if_version);
  g_string_free(body, TRUE);
  return exit_code;
}
