#ifndef EMULATOR_GATEWAY_CHECK_H
#define EMULATOR_GATEWAY_CHECK_H
#include "base.h"

/** @file
 * Checkers of the rules for gateways. Each reads only the records of engines, clients and the
 * operator and the faults that the test injected, and records each violation of its rule in the
 * fleet. The first word of a violation, given with each checker, names the rule. */

typedef struct deployment deployment;

/** Bounds of the rules. */
enum {
  /** A fault excuses violations for this long after its end, while peers and controllers reconnect.
   */
  FAULT_AFTERMATH_MS = 3000,
  /** Time until an acknowledged configuration is in force everywhere. */
  APPLY_MS = 2000,
  /** How long requests in progress may still show an older configuration. */
  REVERT_MS = 250,
  /** A request that is sent later than this after SIGTERM must not be cut off when the grace period
   * ends. */
  STOP_PROPAGATION_MS = 3000,
  /** How many requests on pooled connections may get no response from gateways without a fault. */
  UNANSWERED_MAX = 3,
  /** Orders that a lease holder sends within this time after it was unfrozen, or its network links
   * were restored, are not checked. */
  HOLDER_GRACE_MS = 300,
  /** Window of the retry budget, and the retries allowed in it in addition to the ratio. */
  RETRY_WINDOW_S = 10,
  RETRY_SLACK = 20,
  /** Window of the limit on loads from the weight store. */
  LOAD_RATE_WINDOW_S = 5,
  /** A request that ended sooner than this may not have been forwarded by the gateway yet. */
  LOSS_SLACK_MS = 200,
  /** Time to recover from a loss. */
  RECOVERY_S = 12,
  /** Time until all gateways know that a session is served by the old policy. */
  SESSION_PROPAGATION_MS = 2500,
  /** Time until all gateways know that a trial has ended. */
  TRIAL_END_PROPAGATION_MS = 2000
};
/** Retries per request that the retry budget allows. */
#define RETRY_RATIO 0.2
/** Tolerance of the limit on loads from the weight store. */
#define LOAD_RATE_EXCESS 1.1

/** 1 MIXED: a response belongs to its request, and a successful one to a completed run. */
void gateway_check_responses_not_mixed(deployment *deployment);
/** 2 UNASKED: engines run only requests that a client sent, unchanged. */
void gateway_check_unasked(deployment *deployment);
/** 3 TWICE: a request that must not be retried is run at most once. */
void gateway_check_run_once(deployment *deployment);
/** 4 REFUSED: a request that must not be retried and was refused was not run. */
void gateway_check_refused(deployment *deployment);
/** 5 DENIED: only few valid requests get a client error. */
void gateway_check_denied(deployment *deployment);
/** 6 ROUTE: a request is run by a service to which some configuration routes it. */
void gateway_check_route(deployment *deployment);
/** 7 DRAIN: no request reaches an engine for long after its draining was acknowledged. */
void gateway_check_drained(deployment *deployment);
/** 8 LOST: the planned stop of a gateway cuts off no request. */
void gateway_check_lost(deployment *deployment);
/** 8 LOST, at any time: at most UNANSWERED_MAX pooled connections are closed without a response
 * after an engine without a fault received the request. */
void gateway_check_unanswered(deployment *deployment);
/** 9 CONFIG: requests are served by a configuration that may have been in force, no gateway reverts
 * to an older one, and the configuration read back is the one that was sent. */
void gateway_check_config(deployment *deployment);
/** 10 BUDGET: retries stay within the retry budget. */
void gateway_check_budget(deployment *deployment);
/** 11 ORDER: the events of a stream arrive complete and in order. */
void gateway_check_order(deployment *deployment);
/** 12 ONE: one lease holder at a time sends load orders to an engine. */
void gateway_check_single_holder(deployment *deployment);
/** 13 LIMIT: no load order exceeds the memory of its engine. */
void gateway_check_limit(deployment *deployment);
/** 14 CEILING: loads from the weight store stay within their rate limit. */
void gateway_check_load_rate(deployment *deployment);
/** 15 RECOVER: if a quarter of the requests was served before a loss, so is a quarter of those sent
 * from RECOVERY_S after the fault's end on. */
void gateway_check_recovery(deployment *deployment, time_us loss, time_us fault_end);
/** Rules 1 to 14. */
void gateway_check_all(deployment *deployment);

/** 16 SIDES: within one trial, each request is served under one policy, and so is each session,
 * except that a session may return once from the candidate to the old policy after one of its
 * requests was sent to a gateway with a fault. */
void gateway_check_trial_policies(deployment *deployment);
/** 17 RETURN: no request that is sent later than TRIAL_END_PROPAGATION_MS after a trial's end is
 * served under its candidate. */
void gateway_check_trial_ended(deployment *deployment, const char *trial, time_us ended);
/** 18 DROPPED: requests that are in progress at an instant get a response, unless a fault overlaps
 * them. */
void gateway_check_dropped(deployment *deployment, time_us at);
#endif
