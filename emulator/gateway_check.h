#ifndef EMULATOR_GATEWAY_CHECK_H
#define EMULATOR_GATEWAY_CHECK_H
#include "base.h"

/** @file
 * Checkers of the rules for gateways. Each reads only what engines, clients and the operator
 * recorded and which faults the test injected, and adds a violation to the fleet for what breaks
 * its rule. The first word of a violation, given with each checker, names the rule. */

typedef struct deployment deployment;

/** Bounds of the rules. */
enum {
  /** A fault excuses what happens this long after its end, while peers and controllers reconnect.
   */
  CONTACT_MS = 3000,
  /** Until an acknowledged configuration is in force everywhere. */
  APPLY_MS = 2000,
  /** How long requests that are under way may still show an older configuration. */
  REVERT_MS = 250,
  /** A request that is sent later than this after SIGTERM may not be cut at the end of the grace.
   */
  STOP_PROPAGATION_MS = 3000,
  /** How many requests on pooled connections gateways without a fault may leave unanswered. */
  UNANSWERED_MAX = 3,
  /** What a holder sends this long after it thawed, or its links were healed, is not judged. */
  THAW_MS = 300,
  /** Window of the retry budget, and how many retries are allowed beyond its ratio. */
  RETRY_WINDOW_S = 10,
  RETRY_SLACK = 20,
  /** Window of the limit on loads from the weight store. */
  LOAD_RATE_WINDOW_S = 5,
  /** A request that ended sooner than this may not have left the gateway. */
  LOSS_SLACK_MS = 200,
  /** Time to recover from a loss. */
  RECOVERY_S = 12,
  /** Until a session that the old policy serves is known as such everywhere. */
  SESSION_PROPAGATION_MS = 2500,
  /** Until all nodes know the end of a trial. */
  TRIAL_END_PROPAGATION_MS = 2000
};
/** Retries per request that the retry budget allows. */
#define RETRY_RATIO 0.2
/** Tolerance of the limit on loads from the weight store. */
#define LOAD_RATE_EXCESS 1.1

/** 1 MIXED: a response belongs to its request, and a success to a completed run. */
void gateway_check_answers_not_mixed(deployment *deployment);
/** 2 UNASKED: engines run only what a client sent, unchanged. */
void gateway_check_unasked(deployment *deployment);
/** 3 TWICE: what may not be retried is run at most once. */
void gateway_check_run_once(deployment *deployment);
/** 4 REFUSED: what may not be retried and was refused was not run. */
void gateway_check_refused(deployment *deployment);
/** 5 DENIED: hardly any proper request gets a client error. */
void gateway_check_denied(deployment *deployment);
/** 6 ROUTE: a request is run by a service to which some configuration routes it. */
void gateway_check_route(deployment *deployment);
/** 7 DRAIN: no request reaches an engine for long after its draining was acknowledged. */
void gateway_check_drained(deployment *deployment);
/** 8 LOST: the planned stop of a gateway cuts no request. */
void gateway_check_lost(deployment *deployment);
/** 8 LOST, at any time: hardly any pooled connection is closed without a response once an engine
 * without a fault had the request. */
void gateway_check_unanswered(deployment *deployment);
/** 9 CONFIG: what is served follows a configuration that was in force, none is reverted, and the
 * one that is read back is the one that was sent. */
void gateway_check_config(deployment *deployment);
/** 10 BUDGET: retries stay within the retry budget. */
void gateway_check_budget(deployment *deployment);
/** 11 ORDER: the events of a stream arrive complete and in order. */
void gateway_check_order(deployment *deployment);
/** 12 ONE: one lease holder at a time gives load orders to an engine. */
void gateway_check_single_holder(deployment *deployment);
/** 13 LIMIT: no load order exceeds the memory of its engine. */
void gateway_check_limit(deployment *deployment);
/** 14 CEILING: loads from the weight store stay within their rate limit. */
void gateway_check_load_rate(deployment *deployment);
/** 15 RECOVER: some time after an instant, a quarter of the requests is served again. */
void gateway_check_recovery(deployment *deployment, time_us loss, time_us back);
/** Rules 1 to 14. */
void gateway_check_all(deployment *deployment);

/** 16 SIDES: in one trial a request goes by one policy, and so does a session, except for one step
 * back to the old policy at a node with a fault. */
void gateway_check_trial_policies(deployment *deployment);
/** 17 RETURN: of what was sent some time after a trial's end, nothing goes by its candidate. */
void gateway_check_trial_ended(deployment *deployment, const char *trial, time_us ended);
/** 18 DROPPED: requests that are under way at an instant end like others do, unless there was a
 * fault. */
void gateway_check_dropped(deployment *deployment, time_us at);
#endif
