#ifndef CONFIGURATION_CONFIG_H
#define CONFIGURATION_CONFIG_H
/** The configuration that operators declare (catalogue, policy, evacuation and canary), compiled
 * for lookups. A config is immutable: a newer version is compiled into a new config. The resource
 * "routing" is compiled by routing.h. */
#include "canary.h"
#include "formula.h"
#include "json.h"

/** The resources that operators write, in the order of resource_names. The order goes over the
 * wire (ConfigPollRequest.resource_versions) and must not change. */
enum resource_kind {
  RESOURCE_CATALOGUE,
  RESOURCE_POLICY,
  RESOURCE_EVACUATION,
  RESOURCE_ROUTING,
  RESOURCE_CANARY,
  RESOURCE_COUNT
};
/** The names of the resources in paths, records and messages. */
extern const char *const resource_names[RESOURCE_COUNT];
enum {
  /** The largest resource, in bytes of JSON. */
  RESOURCE_BYTES_MAX = 4 << 20,
  REQUEST_KINDS_MAX = 8,
  RULE_STEPS_MAX = 12,
  RULES_MAX = 64,
  CUSTOM_FORMULAS_MAX = 8,
  /** Buffer size for a name or pattern of a rule, including the final NUL. */
  RULE_PATTERN_SIZE = 48
};

/** A model that the fleet may serve. */
typedef struct {
  id self;
  uint64_t weights_mb;
  /** Load time to assume until one has been measured; 0: the policy's default. */
  double default_load_ms;
} catalogue_model;
/** An adapter of a base model. */
typedef struct {
  id self, model;
  uint64_t weights_mb;
  /** Number of an engine's adapter slots that it occupies. */
  unsigned slots;
} catalogue_adapter;
/** A kind of request. */
typedef struct {
  id self;
  /** Priority weight: waiting requests with a higher weight go first. */
  unsigned weight;
  int64_t deadline_ms;
  /** Share of the queue, from 0 to 1, that is reserved for this kind. */
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
  /** STEP_WAIT_FOR_ENGINE: the longest wait in ms, 0 for the deadline; STEP_REJECT: the status. */
  int64_t argument;
} rule_step;
/** A rule: patterns (with the wildcards * and ?) that a request must match, and the steps that
 * process it. */
typedef struct {
  char kind[RULE_PATTERN_SIZE], model[RULE_PATTERN_SIZE], adapter[RULE_PATTERN_SIZE];
  rule_step steps[RULE_STEPS_MAX];
  int step_count;
} policy_rule;
/** A zone whose engines, all (1) or a share of them, get no new work. */
typedef struct {
  id zone;
  double engine_share;
} zone_evacuation;

/** A compiled configuration. It owns its tables; config_free frees them. */
typedef struct config {
  /** Arrays of catalogue_model, catalogue_adapter, id and zone_evacuation. */
  GArray *models, *adapters, *zones, *evacuations;
  /** Map a name to index + 1; see config_model and config_adapter. */
  GHashTable *models_by_name, *adapters_by_name;
  /** Name of a built-in eviction policy, or of one of custom_formulas. */
  char eviction_policy[48];
  formula custom_formulas[CUSTOM_FORMULAS_MAX];
  int custom_formula_count;
  /** loads_per_s: model loads per second of the whole fleet; retry_ratio: retries per request;
   * smoothing_factor: weight of the newest load time in the moving average. */
  double loads_per_s, default_load_ms, retry_ratio, smoothing_factor;
  /** queue_max: most waiting requests of a router; streams_max: most streams of an engine. */
  int64_t rate_window_s, slow_start_s, queue_max, streams_max;
  request_kind kinds[REQUEST_KINDS_MAX];
  int kind_count;
  policy_rule rules[RULES_MAX];
  int rule_count;
  canary_plan canary;
} config;

/** Compiles the resources, each NULL for its default; routing is ignored. Returns NULL with err set
 * (path and reason) if one is invalid. err may be NULL. Free with config_free. */
config *config_compile(const json *resources[RESOURCE_COUNT], error *err);
/** Frees it; NULL is fine. */
void config_free(config *config);
/** Finds a model by name; NULL if there is none. */
const catalogue_model *config_model(const config *config, const char *name);
/** Finds an adapter by name; NULL if there is none. */
const catalogue_adapter *config_adapter(const config *config, const char *name);
/** Finds an operator-defined expression by name; NULL for a built-in policy. */
const formula *config_formula(const config *config, const char *name);
/** Finds a kind of request by name; NULL if there is none. */
const request_kind *config_kind(const config *config, const char *name);
/** Finds the first rule that matches a request; NULL if there is none. */
const policy_rule *config_rule(const config *config, const char *kind, const char *model,
                               const char *adapter);
/** True if an engine belongs to the share of its zone that is evacuated. Only its name and zone
 * decide, so all routers agree. */
bool config_is_engine_evacuated(const config *config, id engine, id zone);
/** True if all engines of a zone are evacuated. */
bool config_is_zone_evacuated(const config *config, id zone);
#endif
