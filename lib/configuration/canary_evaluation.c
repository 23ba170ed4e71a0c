/** Evaluates a canary trial: whether the candidate does more harm than the policy in force, by a
 * sequential test that may be evaluated at any time.
 *
 * The evidence against a mean is the likelihood ratio of a Beta(1/2, 1/2) mixture over means. The
 * probability that it ever exceeds 1/error is at most error (Ville's inequality), so repeated
 * evaluation causes no additional false alarms. docs/trial.md has the argument. */
#include "canary.h"
#include <math.h>

/** Share of the allowed error probability that is spent on urgent requests. */
static const double urgent_error_share = 0.75;
/** Upper bound of the first bucket of times to the first event; it doubles with each bucket. */
static const double first_bucket_ms = 25;
/** Iterations of the searches below: enough for the precision of a double. */
enum { BISECTION_STEPS = 60, TERNARY_STEPS = 80 };

uint64_t canary_cell_requests(const canary_cell *cell) {
  return cell->within_target + cell->late + cell->rejected + cell->failed;
}

int canary_bucket(double ms) {
  int bucket = 0;
  for (double top = first_bucket_ms; bucket < CANARY_BUCKETS - 1 && ms >= top; top *= 2)
    bucket++;
  return bucket;
}

/* The log likelihood ratio of the Beta(1/2, 1/2) mixture against one mean. */
static double log_evidence(double sum, double n, double mean) {
  double mixture = lgamma(sum + 0.5) + lgamma(n - sum + 0.5) - lgamma(n + 1) - log(M_PI);
  return mixture - (sum > 0 ? sum * log(mean) : 0) - (n > sum ? (n - sum) * log1p(-mean) : 0);
}

double canary_bound(double sum, double n, double error, bool above) {
  if (n <= 0)
    return above ? 1 : 0;
  sum = CLAMP(sum, 0, n);
  double inside = sum / n, outside = above ? 1 : 0, limit = -log(error);
  if (inside == outside)
    return outside;
  for (int i = 0; i < BISECTION_STEPS; i++) {
    double mid = (inside + outside) / 2;
    if (log_evidence(sum, n, mid) < limit)
      inside = mid;
    else
      outside = mid;
  }
  return outside;
}

/* Finds the smallest evidence against any pair of means in which the candidate's exceeds the
 * control's by no more than the margin. */
double canary_evidence(double control, double control_count, double candidate,
                       double candidate_count, double margin) {
  if (control_count <= 0 || candidate_count <= 0 ||
      candidate / candidate_count <= control / control_count + margin)
    return 0;
  double a = 1e-9, b = 1 - margin - 1e-9;
  for (int i = 0; i < TERNARY_STEPS; i++) {
    double x = a + (b - a) / 3, y = b - (b - a) / 3;
    double at_x = log_evidence(control, control_count, x) +
                  log_evidence(candidate, candidate_count, x + margin),
           at_y = log_evidence(control, control_count, y) +
                  log_evidence(candidate, candidate_count, y + margin);
    if (at_x < at_y)
      b = y;
    else
      a = x;
  }
  return log_evidence(control, control_count, a) +
         log_evidence(candidate, candidate_count, a + margin);
}

/* Sums the harm of an arm over its requests of a class (urgent or not): 1 for each rejected or
 * failed request, and the plan's penalty for each late one. */
static double sum_harm(const canary_plan *plan, const canary_cell cells[CANARY_PRIORITIES],
                       bool urgent, double *requests) {
  double sum = 0;
  *requests = 0;
  for (unsigned priority = 0; priority < CANARY_PRIORITIES; priority++) {
    if ((priority <= plan->urgent_priority_max) != urgent)
      continue;
    const canary_cell *cell = &cells[priority];
    *requests += (double)canary_cell_requests(cell);
    sum += (double)cell->rejected + (double)cell->failed + plan->late_penalty * (double)cell->late;
  }
  return sum;
}

static bool has_enough(const canary_plan *plan, const canary_comparison *comparison) {
  return comparison->requests[CANARY_ARM_CONTROL] >= (double)plan->min_requests &&
         comparison->requests[CANARY_ARM_CANDIDATE] >= (double)plan->min_requests;
}

static canary_comparison compare_arms(const canary_plan *plan, const canary_totals *totals,
                                      bool urgent, double error) {
  canary_comparison comparison = { 0 };
  double sums[CANARY_ARMS];
  for (int arm = 0; arm < CANARY_ARMS; arm++) {
    double *requests = &comparison.requests[arm];
    sums[arm] = sum_harm(plan, totals->cells[arm], urgent, requests);
    comparison.mean_harm[arm] = *requests > 0 ? sums[arm] / *requests : 0;
  }
  comparison.control_harm_upper_bound = canary_bound(
      sums[CANARY_ARM_CONTROL], comparison.requests[CANARY_ARM_CONTROL], error / 2, true);
  comparison.candidate_harm_lower_bound = canary_bound(
      sums[CANARY_ARM_CANDIDATE], comparison.requests[CANARY_ARM_CANDIDATE], error / 2, false);
  comparison.proven =
      has_enough(plan, &comparison) &&
      canary_evidence(sums[CANARY_ARM_CONTROL], comparison.requests[CANARY_ARM_CONTROL],
                      sums[CANARY_ARM_CANDIDATE], comparison.requests[CANARY_ARM_CANDIDATE],
                      plan->margin) >= -log(error);
  return comparison;
}

canary_verdict canary_judge(const canary_plan *plan, const canary_totals *totals) {
  double urgent_error = urgent_error_share * plan->error_probability;
  double other_error = (1 - urgent_error_share) * plan->error_probability;
  canary_verdict verdict = { .urgent = compare_arms(plan, totals, true, urgent_error),
                             .rest = compare_arms(plan, totals, false, other_error) };
  verdict.has_enough_requests = has_enough(plan, &verdict.urgent);
  verdict.harm_proven = verdict.urgent.proven || verdict.rest.proven;
  return verdict;
}
