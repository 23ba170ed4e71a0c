#ifndef EMULATOR_GATEWAY_CHECK_ALLOWED_H
#define EMULATOR_GATEWAY_CHECK_ALLOWED_H
#include "deployment.h"
#include "json.h"

/** @file
 * The valid configurations that the operator sent, any of which may have been in force, and the
 * requests that each allows. */

/** A valid change and the full configuration that results from it. */
typedef struct allowed_config {
  const operator_sim_change *change;
  json *json;
} allowed_config;

/** All valid changes in the order in which the operator sent them, as an array of allowed_config;
 * freed by allowed_configs_free. */
GArray *allowed_configs_new(const deployment *deployment);
void allowed_configs_free(GArray *configs);
/** Whether a configuration lets a service run an attempt; with service NULL: whether it has a route
 * for the attempt at all. */
bool allowed_config_permits(const allowed_config *config, const client_sim_attempt *attempt,
                            const char *service);
/** Whether any configuration lets a service run an attempt. */
bool allowed_configs_permit(const GArray *configs, const client_sim_attempt *attempt,
                            const char *service);
#endif
