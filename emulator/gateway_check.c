/** @file
 * All rules for gateways, and the rule about recovery, which concerns the whole deployment. */
#include "gateway_check.h"
#include "deployment.h"

/** RECOVER: a deployment that serves at least this share of the requests counts as serving. */
static const double SERVING_RATIO = 0.25;

void gateway_check_recovery(deployment *deployment, time_us loss, time_us fault_end) {
  time_us recovered_at = time_add(fault_end, time_from_ms(RECOVERY_S * 1000));
  double before = deployment_served_ratio(deployment, NULL, (time_us){ 0 }, loss);
  double after = deployment_served_ratio(deployment, NULL, recovered_at, time_never());
  if (before >= SERVING_RATIO && after < SERVING_RATIO)
    fleet_add_violation(deployment->fleet,
                        "RECOVER %.2f of the requests was served before, %.2f after", before,
                        after);
}

void gateway_check_all(deployment *deployment) {
  gateway_check_responses_not_mixed(deployment);
  gateway_check_unasked(deployment);
  gateway_check_run_once(deployment);
  gateway_check_refused(deployment);
  gateway_check_denied(deployment);
  gateway_check_route(deployment);
  gateway_check_drained(deployment);
  gateway_check_lost(deployment);
  gateway_check_unanswered(deployment);
  gateway_check_config(deployment);
  gateway_check_budget(deployment);
  gateway_check_order(deployment);
  gateway_check_single_holder(deployment);
  gateway_check_limit(deployment);
  gateway_check_load_rate(deployment);
}
