/** The judge of a canary trial: the gateway that holds the singleton "canary". It collects the
 * counts of all gateways, starts the candidate everywhere at about the same time once a majority is
 * ready, and ends the trial through the controllers when harm is proven, when too few gateways
 * report, or when its maximum duration is over. */
#ifndef GATEWAY_CANARY_JUDGING_H
#define GATEWAY_CANARY_JUDGING_H
#include "canary.h"
#include "node.h"
#include "pinned_sessions.h"
#include "world.h"

typedef struct gateway gateway;

/** State of a judge under one epoch of its lease; written by canary_judging.c. */
typedef struct canary_judging {
  uint64_t version, epoch;
  /** Random id of this judge's list of pinned sessions. The epoch cannot identify the list: a judge
   * whose lease expired and was renewed has lost its list but has the same epoch. */
  uint64_t list_id;
  /** A gateway reports that the candidate is on already, so an earlier judge started it. */
  bool resumed;
  GArray *nodes; /* of canary_node_report, one for each gateway process */
  pinned_sessions pinned;
  /** When the candidate starts (0: not decided). */
  time_us candidate_starts_at;
  /** Since when less than a majority of the gateways reports; 0 while a majority does. */
  time_us no_reports_since;
  canary_verdict last_verdict;
} canary_judging;

/** This gateway's state as judge; NULL when it does not hold the singleton or no trial runs. */
canary_judging *canary_judging_of(gateway *gateway);
/** Frees the state as judge; does nothing when there is none. */
void canary_judging_free(gateway *gateway);
/** Records a report. The counts of one process only grow, so a repeated or outdated report changes
 * nothing. */
void canary_judging_record_report(gateway *gateway, canary_judging *judging, id node_id,
                                  uint64_t nonce, const Wire__CanaryReportRequest *request);
/** Fills in the response to a report; its pinned sessions point into the judge's list. */
void canary_judging_fill_response(gateway *gateway, canary_judging *judging,
                                  const Wire__CanaryReportRequest *request,
                                  Wire__CanaryReportResponse *response);
/** Evaluates the counts so far and may end the trial; does nothing if this gateway is not the
 * judge. */
void canary_judging_evaluate(gateway *gateway);
/** Sums up the counts of all gateway processes; age_ms is the age of the trial at the process that
 * has run it longest. */
void canary_judging_sum(const canary_judging *judging, canary_totals *totals, uint64_t *age_ms);
/** Number of gateways that have reported within the last seconds; ready_only: only those that are
 * ready to start the candidate. */
int canary_judging_count_recent(gateway *gateway, const canary_judging *judging, bool ready_only);
/** Handles a CanaryReportRequest. */
enum error_code canary_judging_on_report(void *context, Wire__Envelope *in, reply *reply,
                                         error *err);
/** Appends "name":{...} with the harm in both arms. */
void canary_comparison_append_json(GString *to, const char *name,
                                   const canary_comparison *comparison);
/** True when a time is set and is less than ms ago. */
bool canary_is_within(const gateway *gateway, time_us at, int64_t ms);
#endif
