#ifndef COMMON_CONFIG_H
#define COMMON_CONFIG_H
#include "canary.h"
#include "formula.h"
#include "json.h"

/** The resources that operators write; routing is compiled by routing.h. */
enum res { RES_CATALOGUE, RES_POLICY, RES_EVACUATION, RES_ROUTING, RES_CANARY, RES_COUNT };
extern const char *const res_name[RES_COUNT];
enum { RES_MOST = 4 << 20, KINDS_MOST = 8, STEPS_MOST = 12, RULES_MOST = 64, OWN_MOST = 8 };

/** A model that the fleet may serve. */
typedef struct {
  id self;
  uint64_t weights_mb;
  double start_ms;
} model;
/** An adapter, which needs its base model. */
typedef struct {
  id self, model;
  uint64_t weights_mb;
  unsigned slots;
} adapter;
/** A kind of request. */
typedef struct {
  id self;
  unsigned weight;
  int64_t deadline_ms;
  double share;
} kind;
/** What a step of a rule does. */
enum op { OP_ENROL, OP_SELECT, OP_HOLD, OP_PROXY, OP_ANSWER, OP_REFUSE };
typedef struct {
  enum op op;
  int64_t n;
} step;
/** A rule as compiled: what it fits, and the steps of a request. */
typedef struct {
  char kind[48], model[48], adapter[48];
  step steps[STEPS_MOST];
  int count;
} rule;
/** An area that is to be emptied, by a share of its engines or whole. */
typedef struct {
  id area;
  double share;
} empty;

/** All that operators have declared, compiled. */
typedef struct config {
  GArray *models, *adapters, *areas, *empties;
  GHashTable *model_at, *adapter_at;
  char eviction[48];
  formula own[OWN_MOST];
  int own_count;
  double loads_per_s, start_load_ms, retry_share, smooth;
  int64_t window_s, slow_start_s, line_most, streams_most;
  kind kinds[KINDS_MOST];
  int kind_count;
  rule rules[RULES_MOST];
  int rule_count;
  canary_plan canary;
} config;

/** Compiles the three values, each NULL for its default; NULL with err (path and reason) when they
 * are bad. */
config *config_make(const json *res[RES_COUNT], error *err);
/** Frees it. */
void config_free(config *config);
const model *config_model(const config *config, const char *name);
const adapter *config_adapter(const config *config, const char *name);
/** The operators' own expression of a name, or NULL for a built-in policy. */
const formula *config_formula(const config *config, const char *name);
const kind *config_kind(const config *config, const char *name);
/** The first rule that fits a request. */
const rule *config_rule(const config *config, const char *kind, const char *model,
                        const char *adapter);
/** True when an engine stands in a part of an area that is to be emptied; names and areas alone
 * decide. */
bool config_empties(const config *config, id engine, id area);
/** True when a whole area is to be emptied. */
bool config_empties_all(const config *config, id area);
#endif
