/** A gateway's part in a canary trial of a selection policy (lib/configuration/canary.h): it
 * assigns requests to an arm, counts their results, and reports to the trial's judge.
 *
 * A session stays with one arm. The candidate is on at this gateway only while both a controller
 * and the judge respond, so that the end of a trial takes effect at every gateway within a bounded
 * time. */
#ifndef GATEWAY_CANARY_TRIAL_H
#define GATEWAY_CANARY_TRIAL_H
#include "canary.h"
#include "http_request.h"
#include "pinned_sessions.h"
#include "routing.h"
#include "world.h"

typedef struct gateway gateway;

/** The arm of one request, and whether it counts as evidence; version 0 outside a trial. */
typedef struct canary_assignment {
  uint64_t version;
  enum canary_arm arm;
  bool is_evidence;
} canary_assignment;

/** A trial at one gateway; written by canary_trial.c. */
typedef struct canary_trial {
  canary_plan plan;
  /** Version of the canary resource; another version is another trial. */
  uint64_t version;
  /** When this gateway started the trial, and when its candidate starts (0: not known yet). */
  time_us started_at, candidate_starts_at;
  time_us judge_heard_at;
  canary_totals totals;
  pinned_sessions pinned;
  /** The judge that responded last, and the state of the exchange of pinned sessions with it: the
   * id of its list, how many of our sessions it has, and how many of its sessions we have. */
  id judge;
  uint64_t judge_list_id;
  size_t sent_count, known_count;
  /** The candidate was on at the last check; for the log. */
  bool was_active;
  /** The trial was running when this process started, so the candidate may be on at other
   * gateways. */
  bool may_be_on_elsewhere;
} canary_trial;

/** Starts or ends a trial according to the newest configuration. */
void canary_config_installed(gateway *gateway);
/** Assigns a request to an arm, once, on its arrival; a trial must be running. */
canary_assignment canary_admit(gateway *gateway, const http_request *request, const route *route);
/** Counts the result of a request: ms to its first event (negative without one), and the status
 * that the client gets (0: not evidence). */
void canary_record_result(gateway *gateway, const canary_assignment *assignment, const route *route,
                          double first_event_ms, int status);
/** The name of the running trial. */
const char *canary_name(const gateway *gateway);
/** The policy of an arm. */
const select_policy *canary_policy(const gateway *gateway, const canary_assignment *assignment);
/** True when the candidate is on at this gateway. */
bool canary_trial_is_on(const gateway *gateway);
/** Registers the message handlers of canary trials. */
void canary_start(gateway *gateway);
void canary_free(gateway *gateway);
#endif
