#ifndef CONFIGURATION_CONFIG_SECTIONS_H
#define CONFIGURATION_CONFIG_SECTIONS_H
/** The compilers of the single resources. Each adds what a resource declares to a config whose
 * defaults are set. On an invalid value it returns the code that it set in err (path and reason),
 * and the config must not be used. */
#include "config.h"
#include "value_reader.h"

/** Models, adapters and zones (catalogue.c). */
enum error_code catalogue_compile(config *config, const json *value, error *err);
/** Sets the defaults of a policy (policy.c). */
void policy_set_defaults(config *config);
/** Numeric fields, utilities, kinds of requests and rules (policy.c). Needs the catalogue. */
enum error_code policy_compile(config *config, const json *value, error *err);
/** Compiles and appends one rule (policy_rule.c). The reader's path names it. */
enum error_code policy_rule_compile(config *config, value_reader *reader, const json *value);
/** Zones to evacuate (evacuation.c). Needs the catalogue. */
enum error_code evacuation_compile(config *config, const json *value, error *err);
#endif
