/** Applies and checks changes of the routing configuration of gateways. */
#include "config_change.h"
#include "config.h"

uint64_t config_change_version(string_view text) {
  json *json = json_parse(text, NULL);
  uint64_t version = (uint64_t)MAX(0, json_number(json, "version", 0));
  json_free(json);
  return version;
}

/* Applies a patch to a text. Returns NULL and sets `err` when the text is not JSON or the patch
 * does not apply to it. The caller frees the result. */
static json *apply_patch(string_view text, const json *patch, error *err) {
  json *current = json_parse(text, err);
  if (!current)
    return NULL;
  json *next = routing_patch(current, patch, err);
  json_free(current);
  return next;
}

/* Checks that a configuration may replace the one of current_version, and that it compiles. */
static enum error_code check_next(const json *next, uint64_t current_version, error *err) {
  enum error_code code = routing_check_successor(next, current_version, err);
  if (code)
    return code;
  routing *compiled = routing_compile(next, err);
  if (!compiled)
    return err->code;
  routing_unref(compiled);
  return OK;
}

enum error_code config_change_apply(string_view text, uint64_t current_version, bool is_full,
                                    uint64_t base_version, const json *body, GString *to,
                                    error *err) {
  if (base_version != current_version)
    return error_set(err, E_VERSION_CONFLICT, "the version is %" PRIu64 ", not %" PRIu64,
                     current_version, base_version);
  json *patched = NULL;
  if (!is_full && !(patched = apply_patch(text, body, err)))
    return err->code;
  const json *next = is_full ? body : patched;
  enum error_code code = check_next(next, current_version, err);
  if (!code)
    json_write(next, to);
  if (!code && to->len > RESOURCE_BYTES_MAX)
    code = error_set(err, E_TOO_LARGE, "%zu bytes; a configuration may hold %d", to->len,
                     RESOURCE_BYTES_MAX);
  json_free(patched);
  return code;
}
