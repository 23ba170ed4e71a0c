/** Rules of a policy: which requests a rule matches, and the steps that process them. */
#include "config_sections.h"

/** The names of the steps in the resource, in the order of enum step_kind. */
static const char *const step_names[] = { "enrol", "select", "hold", "proxy", "answer", "refuse" };

enum { REJECT_STATUS_DEFAULT = 403, REJECT_STATUS_MIN = 400, REJECT_STATUS_MAX = 599 };
/** In milliseconds: an hour. */
static const double wait_ms_max = 3.6e6;

static bool is_pattern(const char *text) {
  return strpbrk(text, "*?") != NULL;
}

static enum error_code read_pattern(value_reader *reader, const json *when, const char *key,
                                    char *to) {
  const json *value = json_get(when, key);
  if (!value)
    return OK;
  if (value->kind != JSON_STRING || !value->text->len || value->text->len >= RULE_PATTERN_SIZE)
    return value_reader_fail(reader, E_TYPE, key, "not a name or pattern");
  g_strlcpy(to, value->text->str, RULE_PATTERN_SIZE);
  return OK;
}

/* Reads the patterns of a rule; a name without wildcards must be declared. */
static enum error_code compile_condition(config *config, value_reader *reader, policy_rule *rule,
                                         const json *when) {
  static const char *const known[] = { "kind", "model", "adapter", NULL };
  if (value_reader_check_fields(reader, when, "", known) ||
      read_pattern(reader, when, "kind", rule->kind) ||
      read_pattern(reader, when, "model", rule->model) ||
      read_pattern(reader, when, "adapter", rule->adapter))
    return reader->err->code;
  if (!is_pattern(rule->kind) && !config_kind(config, rule->kind))
    return value_reader_fail(reader, E_NAME, "when.kind", "no such kind");
  if (!is_pattern(rule->model) && !config_model(config, rule->model))
    return value_reader_fail(reader, E_NAME, "when.model", "no such model");
  if (!is_pattern(rule->adapter) && !config_adapter(config, rule->adapter))
    return value_reader_fail(reader, E_NAME, "when.adapter", "no such adapter");
  return OK;
}

/* The kind of step that a value names, or -1. */
static int step_of(const json *value) {
  const char *name = value->kind == JSON_STRING ? value->text->str : json_text(value, "op", "");
  for (size_t i = 0; i < G_N_ELEMENTS(step_names); i++)
    if (!strcmp(name, step_names[i]))
      return (int)i;
  return -1;
}

/* Reads the argument of a step: how long to wait, or the status of a rejection. */
static enum error_code read_argument(value_reader *reader, const json *value, int kind,
                                     int64_t *argument) {
  static const char *const known[] = { "op", "ms", "status", NULL };
  *argument = 0;
  if (value->kind != JSON_OBJECT)
    return OK;
  if (value_reader_check_fields(reader, value, "", known))
    return reader->err->code;
  if (kind == STEP_WAIT_FOR_ENGINE)
    return value_reader_integer(reader, value, "ms", 1, wait_ms_max, 0, argument);
  if (kind == STEP_REJECT)
    return value_reader_integer(reader, value, "status", REJECT_STATUS_MIN, REJECT_STATUS_MAX,
                                REJECT_STATUS_DEFAULT, argument);
  return OK;
}

static enum error_code compile_step(value_reader *reader, policy_rule *rule, const json *value) {
  int kind = step_of(value);
  if (kind < 0)
    return value_reader_fail(
        reader, E_NAME, "then",
        "holds a step that is not enrol, select, hold, proxy, answer or refuse");
  int64_t argument;
  if (read_argument(reader, value, kind, &argument))
    return reader->err->code;
  int last = rule->step_count ? (int)rule->steps[rule->step_count - 1].kind : -1;
  if (kind <= last || (kind == STEP_REJECT && rule->step_count) || last == STEP_REJECT)
    return value_reader_fail(
        reader, E_RANGE, "then",
        "steps are out of order: enrol, select, hold, proxy, answer; refuse stands alone");
  if (kind == STEP_REJECT && !argument)
    argument = REJECT_STATUS_DEFAULT;
  rule->steps[rule->step_count++] = (rule_step){ (enum step_kind)kind, argument };
  return OK;
}

static bool has_required_steps(const policy_rule *rule) {
  static const unsigned required =
      1u << STEP_ADMIT | 1u << STEP_SELECT_ENGINE | 1u << STEP_PROXY | 1u << STEP_RESPOND;
  unsigned present = 0;
  for (int i = 0; i < rule->step_count; i++)
    present |= 1u << rule->steps[i].kind;
  return rule->steps[0].kind == STEP_REJECT || (present & required) == required;
}

enum error_code policy_rule_compile(config *config, value_reader *reader, const json *value) {
  static const char *const known[] = { "when", "then", NULL };
  policy_rule *rule = &config->rules[config->rule_count];
  *rule = (policy_rule){ .kind = "*", .model = "*", .adapter = "*" };
  if (value_reader_check_fields(reader, value, "", known))
    return reader->err->code;
  const json *when = json_get(value, "when"), *then = json_get(value, "then");
  if (when && compile_condition(config, reader, rule, when))
    return reader->err->code;
  if (!then || then->kind != JSON_ARRAY || !json_count(then) || json_count(then) > RULE_STEPS_MAX)
    return value_reader_fail(reader, E_TYPE, "then", "not a list of 1 to 12 steps");
  for (size_t i = 0; i < json_count(then); i++)
    if (compile_step(reader, rule, json_at(then, i)))
      return reader->err->code;
  if (!has_required_steps(rule))
    return value_reader_fail(reader, E_FIELD, "then", "enrol, select, proxy and answer are needed");
  config->rule_count++;
  return OK;
}

const policy_rule *config_rule(const config *config, const char *kind, const char *model,
                               const char *adapter) {
  for (int i = 0; i < config->rule_count; i++) {
    const policy_rule *rule = &config->rules[i];
    if (g_pattern_match_simple(rule->kind, kind) && g_pattern_match_simple(rule->model, model) &&
        g_pattern_match_simple(rule->adapter, adapter))
      return rule;
  }
  return NULL;
}
