/** Retry budget: limits the retries of the whole fleet to a share of its requests plus a constant,
 * over a sliding window, for each service. Gateways don't coordinate: each one uses at most its own
 * share, which is computed so that the sum stays below the limit even when some gateways don't know
 * of each other yet or have lost their counts in a restart. */
#ifndef GATEWAY_RETRY_BUDGET_H
#define GATEWAY_RETRY_BUDGET_H
#include "routing.h"

typedef struct gateway gateway;

/** The budget of one service; written by retry_budget.c. */
typedef struct retry_budget {
  id service;
  /** Counts per BUCKET_MS, oldest first. */
  GArray *request_buckets, *retry_buckets;
  /** Totals since the start, for status. */
  int64_t retries, request_count;
} retry_budget;

/** Service name -> retry_budget. */
GHashTable *retry_budgets_new(void);
/** The budget of a service; made on first use. */
retry_budget *retry_budget_of(gateway *gateway, const service *service);
/** Counts a request, which raises the budget. */
void retry_budget_record_request(gateway *gateway, const service *service);
/** The maximum number of retries of one gateway over a window. */
double retry_budget_node_share(double retry_slack, double retry_ratio, int node_count,
                               double own_requests);
/** True when the budget allows another retry. */
bool retry_budget_available(gateway *gateway, const service *service);
/** Takes one retry from the budget; false when none is left. */
bool retry_budget_take(gateway *gateway, const service *service);
#endif
