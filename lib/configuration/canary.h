#ifndef CONFIGURATION_CANARY_H
#define CONFIGURATION_CANARY_H
/** A guarded trial of a selection policy (docs/trial.md): the resource "canary" (canary.c), and the
 * test that ends a trial (canary_evaluation.c). Gateways count, one of them judges; see
 * lib/gateway/canary.c. */
#include "json.h"

/** How a gateway weighs engines for a request, and how long it lets one wait. */
typedef struct select_policy {
  /** Weight of the time that an engine is estimated to take. */
  double load_weight;
  /** Weight of the blocks of the prompt that would have to be prefilled again. */
  double affinity_weight;
  /** Weight of being in another zone. */
  double zone_weight;
  /** As a factor of the latency target: a slower estimate asks for one more replica of the model.
   */
  double scale_out_threshold;
  /** As a factor of the latency target: behind others, an engine with a slower estimate is not
   * chosen. */
  double reject_threshold;
  /** In percent of the time left: the longest wait for an engine. */
  int64_t wait_percent;
} select_policy;
/** The policy in force where no trial is. */
extern const select_policy select_policy_default;

/** Priorities from CANARY_PRIORITIES - 1 up count as that one. */
enum { CANARY_ROUTES_MAX = 16, CANARY_PRIORITIES = 8 };
enum canary_state { CANARY_NONE, CANARY_RUNNING, CANARY_ENDED };
/** A trial as declared. */
typedef struct canary_plan {
  id name;
  enum canary_state state;
  uint64_t salt;
  /** The share of the sessions that the candidate gets, from 0 to 0.5. */
  double traffic_share;
  select_policy candidate;
  /** The routes that take part; none: all. */
  id routes[CANARY_ROUTES_MAX];
  int route_count;
  /** A bit for each priority that takes part. */
  unsigned priority_mask;
  /** Requests up to this priority are urgent. */
  unsigned urgent_priority_max;
  /** What a late answer counts, where a rejected or failed one counts 1. */
  double late_penalty;
  /** How much more harm the candidate may do, and the chance of a false alarm. */
  double margin, error_probability;
  /** Requests that each arm must have had before a verdict; the longest trial; how long a gateway
   * runs before it can tell its sessions. */
  int64_t min_requests, max_duration_ms, warm_up_ms;
} canary_plan;

/** Compiles the resource; a blank one is CANARY_NONE. A code other than OK with err set when it is
 * bad. err may be NULL. */
enum error_code canary_compile(canary_plan *plan, const json *value, error *err);
/** What a new value must keep to beside its own validity: one trial runs at a time, is changed by
 * its end only, and none begins a second time under its name. err may be NULL. */
enum error_code canary_check_successor(const json *was, const json *next, error *err);
/** True for a session that the trial's draw gives to the candidate, the same at every node. */
bool canary_session_is_candidate(const canary_plan *plan, uint64_t session);
/** True when a route and priority take part. */
bool canary_includes(const canary_plan *plan, id route, unsigned priority);

enum { CANARY_BUCKETS = 12 };
/** What one arm did to requests of one priority: counts, and a histogram of the time to the first
 * event (see canary_bucket). */
typedef struct canary_cell {
  uint64_t within_target, late, rejected, failed, first_event_buckets[CANARY_BUCKETS];
} canary_cell;
/** The arms of a trial: the policy in force, and the candidate. */
enum canary_arm { CANARY_ARM_CONTROL, CANARY_ARM_CANDIDATE, CANARY_ARMS };
typedef struct canary_totals {
  canary_cell cells[CANARY_ARMS][CANARY_PRIORITIES];
} canary_totals;
/** All requests of a cell. */
uint64_t canary_cell_requests(const canary_cell *cell);
/** The bucket of a time to the first event: below 25 ms, 50 ms, 100 ms, and so on, doubling. */
int canary_bucket(double ms);
/** The bound below (or above) which the mean of n numbers from 0 to 1 with a sum lies, at every n
 * at once, but for a chance of error. */
double canary_bound(double sum, double n, double error, bool above);
/** The evidence, as a log, that the candidate's mean harm lies above the control's by more than a
 * margin, from sums and counts. By chance alone it comes to -log(error) at any time at all with no
 * more than that error. */
double canary_evidence(double control, double control_count, double candidate,
                       double candidate_count, double margin);
/** What the totals of a class of requests show. */
typedef struct canary_comparison {
  double requests[CANARY_ARMS], mean_harm[CANARY_ARMS];
  /** A lower bound of the candidate's harm, and an upper one of the control's. */
  double candidate_harm_lower_bound, control_harm_upper_bound;
  /** The candidate does more harm by more than the margin. */
  bool proven;
} canary_comparison;
/** What the totals show, for urgent requests and the rest; harm is proven when it is for either. */
typedef struct canary_verdict {
  canary_comparison urgent, rest;
  bool has_enough_requests, harm_proven;
} canary_verdict;
canary_verdict canary_judge(const canary_plan *plan, const canary_totals *totals);
#endif
