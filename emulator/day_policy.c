/** The policy resource of a day. It is checked by the compiler that controllers use. */
#include "day_policy.h"

static const char EXPRESSION_PREFIX[] = "expr:";

enum error_code day_policy_check(const json *policy, error *err) {
  const json *resources[RESOURCE_COUNT] = { [RESOURCE_POLICY] = policy };
  config *config = config_compile(resources, err);
  if (!config)
    return err->code;
  config_free(config);
  return OK;
}

/* returns a merge patch that sets the eviction policy in the policy resource */
static json *eviction_patch(const char *eviction, error *err) {
  GString *text = g_string_new(NULL);
  if (g_str_has_prefix(eviction, EXPRESSION_PREFIX)) {
    const char *expression = eviction + strlen(EXPRESSION_PREFIX);
    g_string_append(text, "{\"eviction\":\"own\",\"utilities\":[{\"id\":\"own\",\"worth\":");
    json_append_quoted(text, string_view_of(expression));
    g_string_append(text, "}]}");
  } else {
    g_string_append(text, "{\"eviction\":");
    json_append_quoted(text, string_view_of(eviction));
    g_string_append(text, "}");
  }
  json *patch = json_parse(string_view_of_gstring(text), err);
  g_string_free(text, TRUE);
  return patch;
}

static char *json_to_text(const json *value) {
  GString *text = g_string_new(NULL);
  json_write(value, text);
  return g_string_free(text, FALSE);
}

enum error_code day_set_eviction(day *day, const char *eviction, error *err) {
  json *policy = json_parse(string_view_of(day->policy), err);
  json *patch = eviction_patch(eviction, err);
  policy = json_merge(policy, patch);
  json_free(patch);
  enum error_code code = day_policy_check(policy, err);
  if (code == OK) {
    g_free(day->policy);
    day->policy = json_to_text(policy);
  }
  json_free(policy);
  return code;
}
