/** The resource "policy": eviction, numeric parameters of the data plane, kinds of requests, and
 * rules. */
#include "config_sections.h"
#include <math.h>

/** The built-in eviction policies; see lib/router/eviction_policy.h. */
static const char *const eviction_policies[] = { "cremebrulee", "popularity", "lru", "random" };

/** How far the sum of the quota shares may exceed 1, since shares are rounded. */
static const double share_rounding = 0.0001;
/** In milliseconds: an hour. */
static const double span_ms_max = 3.6e6;

enum {
  REQUEST_DEADLINE_MIN_MS = 100,
  REQUEST_DEADLINE_DEFAULT_MS = 30000,
  PRIORITY_WEIGHT_MAX = 1000,
  RATE_WINDOW_MIN_S = 10,
  RATE_WINDOW_MAX_S = 86400,
  SLOW_START_MAX_S = 600,
  QUEUE_MAX_LIMIT = 100000,
  STREAMS_MAX_LIMIT = 10000,
};

void policy_set_defaults(config *config) {
  g_strlcpy(config->eviction_policy, "cremebrulee", sizeof config->eviction_policy);
  config->loads_per_s = 2;
  config->default_load_ms = 4000;
  config->smoothing_factor = 0.3;
  config->retry_ratio = 0.1;
  config->rate_window_s = 600;
  config->slow_start_s = 10;
  config->queue_max = 200;
  config->streams_max = 16;
  config->kinds[0] = (request_kind){ { "live" }, 4, 20000, 0.6 };
  config->kinds[1] = (request_kind){ { "short" }, 4, 8000, 0.25 };
  config->kinds[2] = (request_kind){ { "deferred" }, 8, 60000, 0.15 };
  config->kind_count = 3;
  config->rules[0] = (policy_rule){ .kind = "*",
                                    .model = "*",
                                    .adapter = "*",
                                    .steps = { { STEP_ADMIT, 0 },
                                               { STEP_SELECT_ENGINE, 0 },
                                               { STEP_WAIT_FOR_ENGINE, 0 },
                                               { STEP_PROXY, 0 },
                                               { STEP_RESPOND, 0 } },
                                    .step_count = 5 };
  config->rule_count = 1;
}

static bool is_built_in(const char *name) {
  for (size_t i = 0; i < G_N_ELEMENTS(eviction_policies); i++)
    if (!strcmp(name, eviction_policies[i]))
      return true;
  return false;
}

static enum error_code compile_utility(config *config, value_reader *reader, const json *value) {
  static const char *const known[] = { "id", "worth", NULL };
  formula *formula = &config->custom_formulas[config->custom_formula_count];
  if (value_reader_check_fields(reader, value, "", known) ||
      value_reader_name(reader, value, "id", &formula->self))
    return reader->err->code;
  if (is_built_in(formula->self.text))
    return value_reader_fail(reader, E_NAME, "id", "is built in");
  if (config_formula(config, formula->self.text))
    return value_reader_fail(reader, E_NAME, "id", "stands twice");
  error reason = { 0 };
  enum error_code code = formula_compile(formula, json_text(value, "worth", ""), &reason);
  if (code)
    return value_reader_fail(reader, code, "worth", reason.text);
  config->custom_formula_count++;
  return OK;
}

static enum error_code compile_utilities(config *config, value_reader *reader, const json *value) {
  const json *utilities;
  if (value_reader_list(reader, value, "utilities", CUSTOM_FORMULAS_MAX, &utilities))
    return reader->err->code;
  for (size_t i = 0; i < json_count(utilities); i++) {
    value_reader_enter(reader, "policy.utilities[%zu]", i);
    if (compile_utility(config, reader, json_at(utilities, i)))
      return reader->err->code;
  }
  value_reader_enter(reader, "policy");
  return OK;
}

static enum error_code read_eviction(config *config, value_reader *reader, const json *value) {
  const json *eviction = json_get(value, "eviction");
  if (!eviction)
    return OK;
  const char *name = eviction->kind == JSON_STRING ? eviction->text->str : NULL;
  if (!name || (!is_built_in(name) && !config_formula(config, name)))
    return value_reader_fail(reader, E_NAME, "eviction",
                             "not cremebrulee, popularity, lru, random, or one of utilities");
  g_strlcpy(config->eviction_policy, name, sizeof config->eviction_policy);
  return OK;
}

/* Reads the numeric fields; an absent one keeps its default. */
static enum error_code read_numbers(config *config, value_reader *reader, const json *value) {
  if (value_reader_number(reader, value, "loadsPerS", 0.01, 1000, config->loads_per_s, false,
                          &config->loads_per_s) ||
      value_reader_number(reader, value, "startLoadMs", 1, span_ms_max, config->default_load_ms,
                          false, &config->default_load_ms) ||
      value_reader_number(reader, value, "smooth", 0.01, 1, config->smoothing_factor, false,
                          &config->smoothing_factor) ||
      value_reader_number(reader, value, "retryShare", 0, 0.5, config->retry_ratio, false,
                          &config->retry_ratio) ||
      value_reader_integer(reader, value, "lambdaWindowS", RATE_WINDOW_MIN_S, RATE_WINDOW_MAX_S,
                           (double)config->rate_window_s, &config->rate_window_s) ||
      value_reader_integer(reader, value, "slowStartS", 0, SLOW_START_MAX_S,
                           (double)config->slow_start_s, &config->slow_start_s) ||
      value_reader_integer(reader, value, "lineMost", 1, QUEUE_MAX_LIMIT, (double)config->queue_max,
                           &config->queue_max) ||
      value_reader_integer(reader, value, "streamsMost", 1, STREAMS_MAX_LIMIT,
                           (double)config->streams_max, &config->streams_max))
    return reader->err->code;
  return OK;
}

static enum error_code compile_kind(config *config, value_reader *reader, const json *value) {
  static const char *const known[] = { "id", "weight", "deadlineMs", "share", NULL };
  request_kind kind = { 0 };
  int64_t weight;
  if (value_reader_check_fields(reader, value, "", known) ||
      value_reader_name(reader, value, "id", &kind.self) ||
      value_reader_integer(reader, value, "weight", 1, PRIORITY_WEIGHT_MAX, 1, &weight) ||
      value_reader_integer(reader, value, "deadlineMs", REQUEST_DEADLINE_MIN_MS, span_ms_max,
                           REQUEST_DEADLINE_DEFAULT_MS, &kind.deadline_ms) ||
      value_reader_number(reader, value, "share", 0.001, 1, VALUE_REQUIRED, false,
                          &kind.quota_share))
    return reader->err->code;
  kind.weight = (unsigned)weight;
  if (config_kind(config, kind.self.text))
    return value_reader_fail(reader, E_NAME, "id", "stands twice");
  config->kinds[config->kind_count++] = kind;
  return OK;
}

/* Compiles the kinds of requests; declared ones replace the defaults. */
static enum error_code compile_kinds(config *config, value_reader *reader, const json *value) {
  const json *kinds;
  if (value_reader_list(reader, value, "kinds", REQUEST_KINDS_MAX, &kinds))
    return reader->err->code;
  if (!kinds)
    return OK;
  config->kind_count = 0;
  for (size_t i = 0; i < json_count(kinds); i++) {
    value_reader_enter(reader, "policy.kinds[%zu]", i);
    if (compile_kind(config, reader, json_at(kinds, i)))
      return reader->err->code;
  }
  value_reader_enter(reader, "policy");
  double shares = 0;
  for (int i = 0; i < config->kind_count; i++)
    shares += config->kinds[i].quota_share;
  if (!config->kind_count || shares > 1 + share_rounding)
    return value_reader_fail(reader, E_RANGE, "kinds", "none, or the shares add up to more than 1");
  return OK;
}

/* Compiles the rules; declared ones replace the default. */
static enum error_code compile_rules(config *config, value_reader *reader, const json *value) {
  const json *rules;
  if (value_reader_list(reader, value, "rules", RULES_MAX, &rules))
    return reader->err->code;
  if (rules)
    config->rule_count = 0;
  for (size_t i = 0; i < json_count(rules); i++) {
    value_reader_enter(reader, "policy.rules[%zu]", i);
    if (policy_rule_compile(config, reader, json_at(rules, i)))
      return reader->err->code;
  }
  return OK;
}

enum error_code policy_compile(config *config, const json *value, error *err) {
  static const char *const known[] = {
    "eviction",   "loadsPerS",   "startLoadMs", "smooth", "lambdaWindowS", "retryShare", "lineMost",
    "slowStartS", "streamsMost", "kinds",       "rules",  "utilities",     NULL
  };
  value_reader reader = { err, "policy" };
  if (value_reader_check_fields(&reader, value, "", known) ||
      compile_utilities(config, &reader, value) || read_eviction(config, &reader, value) ||
      read_numbers(config, &reader, value) || compile_kinds(config, &reader, value) ||
      compile_rules(config, &reader, value))
    return err->code;
  return OK;
}

const formula *config_formula(const config *config, const char *name) {
  for (int i = 0; i < config->custom_formula_count; i++)
    if (!strcmp(config->custom_formulas[i].self.text, name))
      return &config->custom_formulas[i];
  return NULL;
}

const request_kind *config_kind(const config *config, const char *name) {
  for (int i = 0; i < config->kind_count; i++)
    if (!strcmp(config->kinds[i].self.text, name))
      return &config->kinds[i];
  return NULL;
}
