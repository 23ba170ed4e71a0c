#ifndef COMMON_CONFIG_H
#define COMMON_CONFIG_H
#include "canary.h"
#include "formula.h"
#include "json.h"

/** The resources that operators write; routing is compiled by routing.h. */
enum resource_kind {
  RESOURCE_CATALOGUE,
  RESOURCE_POLICY,
  RESOURCE_EVACUATION,
  RESOURCE_ROUTING,
  RESOURCE_CANARY,
  RESOURCE_COUNT
};
extern const char *const resource_names[RESOURCE_COUNT];
enum {
  RESOURCE_BYTES_MAX = 4 << 20,
  REQUEST_KINDS_MAX = 8,
  RULE_STEPS_MAX = 12,
  RULES_MAX = 64,
  CUSTOM_FORMULAS_MAX = 8
};

/** A model that the fleet may serve. */
typedef struct {
  id self;
  uint64_t weights_mb;
  double default_load_ms;
} catalogue_model;
/** An adapter, which needs its base model. */
typedef struct {
  id self, model;
  uint64_t weights_mb;
  unsigned slots;
} catalogue_adapter;
/** A kind of request. */
typedef struct {
  id self;
  unsigned weight;
  int64_t deadline_ms;
  double quota_share;
} request_kind;
/** What a step of a rule does. */
enum step_kind {
  STEP_ADMIT,
  STEP_SELECT_ENGINE,
  STEP_WAIT_FOR_ENGINE,
  STEP_PROXY,
  STEP_RESPOND,
  STEP_REJECT
};
typedef struct {
  enum step_kind kind;
  int64_t argument;
} rule_step;
/** A rule as compiled: what it fits, and the steps of a request. */
typedef struct {
  char kind[48], model[48], adapter[48];
  rule_step steps[RULE_STEPS_MAX];
  int step_count;
} policy_rule;
/** An area that is to be emptied, by a share of its engines or whole. */
typedef struct {
  id zone;
  double engine_share;
} zone_evacuation;

/** All that operators have declared, compiled. */
typedef struct config {
  GArray *models, *adapters, *zones, *evacuations;
  GHashTable *models_by_name, *adapters_by_name;
  char eviction_policy[48];
  formula custom_formulas[CUSTOM_FORMULAS_MAX];
  int custom_formula_count;
  double loads_per_s, default_load_ms, retry_ratio, smoothing_factor;
  int64_t rate_window_s, slow_start_s, queue_max, streams_max;
  request_kind kinds[REQUEST_KINDS_MAX];
  int kind_count;
  policy_rule rules[RULES_MAX];
  int rule_count;
  canary_plan canary;
} config;

/** Compiles the three values, each NULL for its default; NULL with err (path and reason) when they
 * are bad. */
config *config_compile(const json *res[RESOURCE_COUNT], error *err);
/** Frees it. */
void config_free(config *config);
const catalogue_model *config_model(const config *config, const char *name);
const catalogue_adapter *config_adapter(const config *config, const char *name);
/** The operators' own expression of a name, or NULL for a built-in policy. */
const formula *config_formula(const config *config, const char *name);
const request_kind *config_kind(const config *config, const char *name);
/** The first rule that fits a request. */
const policy_rule *config_rule(const config *config, const char *kind, const char *model,
                               const char *adapter);
/** True when an engine stands in a part of an area that is to be emptied; names and areas alone
 * decide. */
bool config_is_engine_evacuated(const config *config, id engine, id area);
/** True when a whole area is to be emptied. */
bool config_is_zone_evacuated(const config *config, id area);
#endif
