#ifndef CONFIGURATION_CONFIG_H
#define CONFIGURATION_CONFIG_H
/** What operators have declared, compiled for lookups: catalogue, policy, evacuation and trial. A
 * config never changes after it was compiled; whoever holds a newer version compiles a new one. The
 * resource "routing" is compiled by routing.h. */
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
/** Their names in paths, in records and in messages. */
extern const char *const resource_names[RESOURCE_COUNT];
enum {
  /** The largest resource, in bytes of JSON. */
  RESOURCE_BYTES_MAX = 4 << 20,
  REQUEST_KINDS_MAX = 8,
  RULE_STEPS_MAX = 12,
  RULES_MAX = 64,
  CUSTOM_FORMULAS_MAX = 8,
  /** Room for a name or pattern of a rule, with its end. */
  RULE_PATTERN_SIZE = 48
};

/** A model that the fleet may serve. */
typedef struct {
  id self;
  uint64_t weights_mb;
  /** The load time to reckon with before one was measured; 0: that of the policy. */
  double default_load_ms;
} catalogue_model;
/** An adapter, which needs its base model. */
typedef struct {
  id self, model;
  uint64_t weights_mb;
  /** Adapter slots of an engine that it takes. */
  unsigned slots;
} catalogue_adapter;
/** A kind of request. */
typedef struct {
  id self;
  /** Priority weight: waiting requests of a higher one go first. */
  unsigned weight;
  int64_t deadline_ms;
  /** Its share of the queue, from 0 to 1, which the others can't take. */
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
/** A rule: the patterns that a request must fit (with * and ?), and the steps that it goes
 * through. */
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

/** All that operators have declared, compiled. It owns its tables; config_free frees them. */
typedef struct config {
  /** Of catalogue_model, catalogue_adapter, id and zone_evacuation. */
  GArray *models, *adapters, *zones, *evacuations;
  /** From a name to an index plus 1; see config_model and config_adapter. */
  GHashTable *models_by_name, *adapters_by_name;
  /** A built-in eviction policy, or one of custom_formulas. */
  char eviction_policy[48];
  formula custom_formulas[CUSTOM_FORMULAS_MAX];
  int custom_formula_count;
  /** loads_per_s over the whole fleet; retry_ratio: retries for each request; smoothing_factor:
   * weight of the newest load time in the smoothed one. */
  double loads_per_s, default_load_ms, retry_ratio, smoothing_factor;
  /** queue_max: waiting requests of a router; streams_max: streams of an engine. */
  int64_t rate_window_s, slow_start_s, queue_max, streams_max;
  request_kind kinds[REQUEST_KINDS_MAX];
  int kind_count;
  policy_rule rules[RULES_MAX];
  int rule_count;
  canary_plan canary;
} config;

/** Compiles the resources (routing is not looked at), each NULL for its default; NULL with err
 * (path and reason) when one is bad. Free with config_free. */
config *config_compile(const json *resources[RESOURCE_COUNT], error *err);
/** Frees it; NULL is fine. */
void config_free(config *config);
/** The model of a name, or NULL. */
const catalogue_model *config_model(const config *config, const char *name);
/** The adapter of a name, or NULL. */
const catalogue_adapter *config_adapter(const config *config, const char *name);
/** The operators' own expression of a name, or NULL for a built-in policy. */
const formula *config_formula(const config *config, const char *name);
/** The kind of a name, or NULL. */
const request_kind *config_kind(const config *config, const char *name);
/** The first rule that fits a request, or NULL. */
const policy_rule *config_rule(const config *config, const char *kind, const char *model,
                               const char *adapter);
/** True when an engine belongs to the share of a zone that is evacuated; its name and zone alone
 * decide, so all routers agree. */
bool config_is_engine_evacuated(const config *config, id engine, id zone);
/** True when all engines of a zone are evacuated. */
bool config_is_zone_evacuated(const config *config, id zone);
#endif
