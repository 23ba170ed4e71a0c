#ifndef COMMON_CANARY_H
#define COMMON_CANARY_H
#include "json.h"

/* A guarded trial of a selection policy (docs/trial.md): the resource "canary", and the test that
 * ends it. */

/** How a gateway weighs engines for a request, and how long it lets one wait. */
typedef struct select_policy {
  double load_weight;     /* weight of the time that an engine is estimated to take */
  double affinity_weight; /* weight of prompt parts that would be read again */
  double zone_weight;     /* weight of being in another area */
  double
      scale_out_threshold; /* of the target: a slower estimate asks for one more copy of a model */
  double reject_threshold; /* of the target: behind others, a slower estimate is no place at all */
  int64_t wait_percent;    /* of the time left: the longest wait for a place */
} select_policy;
/** The policy in force where no trial is. */
extern const select_policy select_policy_default;

enum { CANARY_ROUTES_MAX = 16, CANARY_PRIORITIES = 8 };
enum canary_state { CANARY_NONE, CANARY_RUNNING, CANARY_ENDED };
/** A trial as declared. */
typedef struct canary_plan {
  id name;
  enum canary_state state;
  uint64_t salt;
  double traffic_share;
  select_policy candidate;
  id routes[CANARY_ROUTES_MAX]; /* none: all */
  int route_count;
  unsigned priority_mask; /* a bit for each that takes part; the last stands for all above it */
  unsigned urgent_priority_max; /* up to this priority work is urgent */
  double late_penalty, margin, error_probability;
  int64_t min_requests, max_duration_ms, warm_up_ms;
} canary_plan;

/** Compiles the resource; a blank one is CANARY_NONE. A code other than OK with err set when it is
 * bad. */
int canary_compile(canary_plan *plan, const json *json, error *err);
/** What a new value must keep to beside its own validity: one trial runs at a time, is changed by
 * its end only, and none begins a second time under its name. */
int canary_check_successor(const json *was, const json *next, error *err);
/** True for a session that the trial's draw gives to the candidate, the same at every node. */
bool canary_session_is_candidate(const canary_plan *plan, uint64_t session);
/** True when a route and priority take part. */
bool canary_includes(const canary_plan *plan, id route, unsigned priority);

/** What one side did to requests of one priority. */
enum { CANARY_BUCKETS = 12 };
typedef struct canary_cell {
  uint64_t within_target, late, rejected, failed, first_event_buckets[CANARY_BUCKETS];
} canary_cell;
enum canary_arm { CANARY_ARM_CONTROL, CANARY_ARM_CANDIDATE, CANARY_ARMS };
typedef struct canary_totals {
  canary_cell cells[CANARY_ARMS][CANARY_PRIORITIES];
} canary_totals;
uint64_t canary_cell_requests(const canary_cell *c);
/** The bucket of a time to the first event: below 25 ms, 50 ms, 100 ms, and so on, doubling. */
int canary_bucket(double ms);
/** The bound below (or above) which the mean of n numbers from 0 to 1 with a sum lies, at every n
 * at once, but for a chance of error. */
double canary_bound(double sum, double n, double error, bool above);
/** The evidence, as a log, that the candidate's mean lies above the old one's by more than a
 * margin. By chance alone it comes to -log(error) at any time at all with no more than that error.
 */
double canary_evidence(double old, double n_old, double candidate, double n_candidate,
                       double margin);
/** What the totals show: the harm of both sides with bounds, for urgent work and the rest; harm
 * when either is proven. */
typedef struct canary_comparison {
  double requests[CANARY_ARMS], mean_harm[CANARY_ARMS], harm_difference_low, harm_difference_high;
  bool proven;
} canary_comparison;
typedef struct canary_verdict {
  canary_comparison urgent, rest;
  bool has_enough_requests, harm_proven;
} canary_verdict;
canary_verdict canary_judge(const canary_plan *plan, const canary_totals *t);
#endif
