#ifndef CONFIGURATION_CANARY_H
#define CONFIGURATION_CANARY_H
/** Canary trials of an engine selection policy (docs/trial.md): the resource "canary" (canary.c),
 * and the statistical test that ends a trial (canary_evaluation.c). Every gateway counts outcomes
 * (lib/gateway/canary_trial.c), and one of them evaluates the totals
 * (lib/gateway/canary_judging.c). */
#include "json.h"

/** How a gateway scores engines for a request, and how long it lets the request wait. */
typedef struct select_policy {
  /** Weight of the time that an engine is estimated to take. */
  double load_weight;
  /** Weight of the blocks of the prompt that would have to be prefilled again. */
  double affinity_weight;
  /** Weight of an engine's being in another zone. */
  double zone_weight;
  /** Factor of the latency target. A slower estimate requests one more replica of the model. */
  double scale_out_threshold;
  /** Factor of the latency target. An engine with a slower estimate is not chosen if other requests
   * are ahead of this one there. */
  double overload_threshold;
  /** The longest wait for an engine, in percent of the time left. */
  int64_t wait_percent;
} select_policy;
/** The policy in force when no trial is running. */
extern const select_policy select_policy_default;

/** Priorities above CANARY_PRIORITIES - 1 count as CANARY_PRIORITIES - 1. */
enum { CANARY_ROUTES_MAX = 16, CANARY_PRIORITIES = 8 };
enum canary_state { CANARY_NONE, CANARY_RUNNING, CANARY_ENDED };
/** A trial as declared. */
typedef struct canary_plan {
  id name;
  enum canary_state state;
  uint64_t salt;
  /** Share of the sessions that are assigned to the candidate, from 0 to 0.5. */
  double traffic_share;
  select_policy candidate;
  /** The routes that take part; empty: all. */
  id routes[CANARY_ROUTES_MAX];
  int route_count;
  /** A bit for each priority that takes part. */
  unsigned priority_mask;
  /** Requests up to this priority are urgent. */
  unsigned urgent_priority_max;
  /** Harm of a late response. A rejected or failed request counts as 1. */
  double late_penalty;
  /** How far the candidate's mean harm may exceed the control's, and the probability of a false
   * alarm. */
  double margin, error_probability;
  /** Requests that each arm needs before a verdict; the longest duration of a trial; how long a
   * gateway must have run before it knows its sessions. */
  int64_t min_requests, max_duration_ms, warm_up_ms;
} canary_plan;

/** Compiles the resource; an empty or absent one gives CANARY_NONE. Returns OK, or another code
 * with err set if it is invalid. err may be NULL. */
enum error_code canary_compile(canary_plan *plan, const json *value, error *err);
/** Checks that a new value is valid and may replace the current one: only one trial runs at a time,
 * the only change to a running trial is its end, and no trial starts again under the same name. err
 * may be NULL. */
enum error_code canary_check_successor(const json *previous, const json *next, error *err);
/** True if the trial assigns the session to the candidate. All nodes agree on the result. */
bool canary_session_is_candidate(const canary_plan *plan, uint64_t session);
/** True if requests of the route and priority take part in the trial. */
bool canary_includes(const canary_plan *plan, id route, unsigned priority);

enum { CANARY_BUCKETS = 12 };
/** Outcomes of the requests of one arm and one priority: counts, and a histogram of the time to the
 * first event (see canary_bucket). */
typedef struct canary_cell {
  uint64_t within_target, late, rejected, failed, first_event_buckets[CANARY_BUCKETS];
} canary_cell;
/** The arms of a trial: the policy in force, and the candidate. */
enum canary_arm { CANARY_ARM_CONTROL, CANARY_ARM_CANDIDATE, CANARY_ARMS };
typedef struct canary_totals {
  canary_cell cells[CANARY_ARMS][CANARY_PRIORITIES];
} canary_totals;
/** The number of requests of a cell. */
uint64_t canary_cell_requests(const canary_cell *cell);
/** The bucket of a time to the first event: below 25 ms, 50 ms, 100 ms, and so on, doubling. */
int canary_bucket(double ms);
/** A confidence bound on the mean of n numbers from 0 to 1, given their sum: the upper bound if
 * above is true, else the lower one. It holds for every n at once, except with probability error.
 */
double canary_bound(double sum, double n, double error, bool above);
/** The log of the evidence that the candidate's mean harm exceeds the control's by more than a
 * margin, from the sum and the count of each arm. If it does not, the probability that the evidence
 * ever reaches -log(error), at any time, is at most error. */
double canary_evidence(double control, double control_count, double candidate,
                       double candidate_count, double margin);
/** Comparison of the arms for one class of requests. */
typedef struct canary_comparison {
  double requests[CANARY_ARMS], mean_harm[CANARY_ARMS];
  /** Confidence bounds on the mean harm of each arm. */
  double candidate_harm_lower_bound, control_harm_upper_bound;
  /** It is proven that the candidate's mean harm exceeds the control's by more than the margin. */
  bool proven;
} canary_comparison;
/** The result of an evaluation, for urgent requests and for all others. Harm is proven if it is
 * proven for either class. */
typedef struct canary_verdict {
  canary_comparison urgent, rest;
  bool has_enough_requests, harm_proven;
} canary_verdict;
canary_verdict canary_judge(const canary_plan *plan, const canary_totals *totals);
#endif
