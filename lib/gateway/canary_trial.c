/** A gateway's part in a canary trial: assignment of requests, counts, and reports to the judge;
 * see canary_trial.h.
 *
 * Sessions that the random split assigns to the candidate but that the control policy has served
 * already are pinned to the control policy. The judge collects the pinned sessions of all gateways,
 * and a gateway starts the candidate only once it has the full list, so that no session changes its
 * arm, whichever gateway gets its next request. */
#include "canary_trial.h"
#include "canary_judging.h"
#include "gateway.h"

enum {
  /* new sessions use the control policy after this time without a response from a controller or
   * from the judge */
  CONTROLLER_SILENCE_MS = 3000,
  JUDGE_SILENCE_MS = 10000,
  /* interval of reports; the shorter one after a failed report, while the start of the candidate is
   * not known, and while the judge lacks some of our pinned sessions */
  REPORT_INTERVAL_MS = 1000,
  REPORT_SOON_MS = 250,
  REPORT_TIMEOUT_MS = 1500,
  /* the candidate is switched off here this long after the trial's maximum duration if no judge has
   * ended the trial */
  MAX_OVERTIME_MS = 15000
};
/* Seeds of the hashes that identify sessions, one for each kind of source. */
enum { SEED_SESSION = 1, SEED_PREFIX = 2, SEED_ROUTE = 3 };

static void canary_drop(gateway *gateway) {
  canary_judging_free(gateway);
  if (!gateway->canary)
    return;
  pinned_sessions_free(&gateway->canary->pinned);
  g_free(gateway->canary);
  gateway->canary = NULL;
}

/* the hash of the name of a prompt's last shared part; the very last part is not shared */
static uint64_t hash_shared_prefix(string_view prefix) {
  size_t end = prefix.length, start = 0, length = 0;
  for (size_t i = prefix.length; i-- > 0;)
    if (prefix.data[i] == ',') {
      end = i;
      break;
    }
  for (size_t i = 0; i < end; i++)
    if (prefix.data[i] == ',')
      start = i + 1;
  while (start + length < end && prefix.data[start + length] != ':')
    length++;
  return hash_bytes(prefix.data + start, length, SEED_PREFIX);
}

/* Returns the hash that identifies a request's session, the same at every gateway and for every
 * retry: that of the session's name, of the last shared part of the prompt, or of the request body.
 * Only a request without any of these is a session of its own. */
static uint64_t session_of(const gateway *gateway, const http_request *request,
                           const route *route) {
  const char *const *field = gateway->settings.dialect->header_names;
  string_view value;
  if (field[DF_SESSION] && fields_get(request->fields, field[DF_SESSION], &value) && value.length)
    return hash_bytes(value.data, value.length, SEED_SESSION);
  if (fields_get(request->fields, field[DF_PREFIX], &value) && value.length)
    return hash_shared_prefix(value);
  uint64_t hash = hash_bytes(route->name.text, strlen(route->name.text), SEED_ROUTE);
  if (request->body && request->body->len)
    return hash_bytes(request->body->str, request->body->len, hash);
  return fields_get(request->fields, field[DF_REQUEST_ID], &value)
             ? hash_bytes(value.data, value.length, hash)
             : hash;
}

bool canary_trial_is_on(const gateway *gateway) {
  const canary_trial *canary = gateway->canary;
  return canary->candidate_starts_at.us &&
         time_reached(gateway_now(gateway), canary->candidate_starts_at) &&
         canary_is_within(gateway, gateway->router->controllers.controller_answered_at,
                          CONTROLLER_SILENCE_MS) &&
         canary_is_within(gateway, canary->judge_heard_at, JUDGE_SILENCE_MS) &&
         canary_is_within(gateway, canary->started_at,
                          canary->plan.max_duration_ms + MAX_OVERTIME_MS) &&
         !pinned_sessions_are_full(&canary->pinned);
}

/* Sends a pinned session to the other gateways at once. When they have started the candidate or may
 * start it at any moment, they must know of the session before its next request. */
static void broadcast_pinned_session(gateway *gateway, uint64_t session) {
  Wire__CanaryPinnedSessions pinned = WIRE__CANARY_PINNED_SESSIONS__INIT;
  pinned.version = gateway->canary->version;
  pinned.n_pinned_sessions = 1;
  pinned.pinned_sessions = &session;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_CANARY_PINNED_SESSIONS, &pinned);
  peer_rpc_send_to_role(&gateway->router->node, ROLE_ROUTER, &message);
}

canary_assignment canary_admit(gateway *gateway, const http_request *request, const route *route) {
  canary_trial *canary = gateway->canary;
  if (!canary_includes(&canary->plan, route->name, route->priority))
    return (canary_assignment){ 0 };
  uint64_t session = session_of(gateway, request, route);
  bool on = canary_trial_is_on(gateway);
  if (!canary_session_is_candidate(&canary->plan, session))
    return (canary_assignment){ canary->version, CANARY_ARM_CONTROL, on };
  if (on && !pinned_sessions_contain(&canary->pinned, session))
    return (canary_assignment){ canary->version, CANARY_ARM_CANDIDATE, true };
  if (pinned_sessions_add(&canary->pinned, session) &&
      (canary->candidate_starts_at.us || canary->may_be_on_elsewhere))
    broadcast_pinned_session(gateway, session);
  return (canary_assignment){ canary->version, CANARY_ARM_CONTROL, false };
}

const select_policy *canary_policy(const gateway *gateway, const canary_assignment *assignment) {
  return assignment->arm == CANARY_ARM_CANDIDATE ? &gateway->canary->plan.candidate
                                                 : &select_policy_default;
}

const char *canary_name(const gateway *gateway) {
  return gateway->canary->plan.name.text;
}

/* true for a status that the client's request itself has caused, whatever the policy */
static bool is_client_error(int status) {
  return status >= 400 && status < 500 && status != 429 && status != 408;
}

void canary_record_result(gateway *gateway, const canary_assignment *assignment, const route *route,
                          double first_event_ms, int status) {
  canary_trial *canary = gateway->canary;
  if (!canary || canary->version != assignment->version || !assignment->is_evidence || !status ||
      is_client_error(status))
    return;
  canary_cell *cell =
      &canary->totals.cells[assignment->arm][MIN(route->priority, CANARY_PRIORITIES - 1)];
  if (status == 503 || status == 429)
    cell->rejected++;
  else if (status >= 500 || status == 408 || first_event_ms < 0)
    cell->failed++;
  else if (route->target_ms > 0 && first_event_ms > (double)route->target_ms)
    cell->late++;
  else
    cell->within_target++;
  if (first_event_ms >= 0)
    cell->first_event_buckets[canary_bucket(first_event_ms)]++;
}

static enum error_code on_pinned_sessions(void *context, Wire__Envelope *in, reply *reply,
                                          error *err) {
  gateway *gateway = context;
  (void)reply;
  (void)err;
  const Wire__CanaryPinnedSessions *pinned = in->canary_pinned_sessions;
  if (!gateway->canary || gateway->canary->version != pinned->version)
    return OK;
  for (size_t i = 0; i < pinned->n_pinned_sessions; i++)
    pinned_sessions_add(&gateway->canary->pinned, pinned->pinned_sessions[i]);
  return OK;
}

/* applies the judge's response to a report; with the report the judge has `sent` of our pinned
 * sessions */
static void apply_response(gateway *gateway, const Wire__CanaryReportResponse *response,
                           size_t sent) {
  canary_trial *canary = gateway->canary;
  canary->judge_heard_at = gateway_now(gateway);
  if (canary->judge_list_id != response->pinned_list_id) {
    /* a new judge has a list of its own and none of our sessions yet */
    canary->judge_list_id = response->pinned_list_id;
    canary->sent_count = canary->known_count = 0;
    if (response->pinned_offset)
      return;
  } else
    canary->sent_count = MAX(canary->sent_count, sent);
  for (size_t i = 0; i < response->n_pinned_sessions; i++)
    pinned_sessions_add(&canary->pinned, response->pinned_sessions[i]);
  if (response->pinned_offset == canary->known_count)
    canary->known_count += response->n_pinned_sessions;
  if (!canary->candidate_starts_at.us && response->starts &&
      canary->known_count >= response->pinned_total) {
    canary->candidate_starts_at = gateway_deadline_in_ms(gateway, (double)response->starts_in_ms);
    log_info(&gateway->router->node.log, "canary",
             "The candidate of trial %s starts here in %" PRIu64
             " ms; %u sessions stay with the control policy.",
             canary->plan.name.text, response->starts_in_ms, canary->pinned.order->len);
  }
}

/** A report and what it points to. */
typedef struct canary_report {
  Wire__CanaryReportRequest request;
  Wire__CanaryCell cells[CANARY_ARMS * CANARY_PRIORITIES],
      *cell_list[CANARY_ARMS * CANARY_PRIORITIES];
  uint64_t buckets[CANARY_ARMS * CANARY_PRIORITIES][CANARY_BUCKETS];
  /** Number of our pinned sessions that the judge has after this report. */
  size_t sent_count;
} canary_report;

static void report_add_cell(canary_report *report, int arm, unsigned priority,
                            const canary_cell *cell) {
  size_t index = report->request.n_cells++;
  Wire__CanaryCell *wire_cell = report->cell_list[index] = &report->cells[index];
  wire__canary_cell__init(wire_cell);
  wire_cell->arm = (uint32_t)arm;
  wire_cell->priority = priority;
  wire_cell->within_target = cell->within_target;
  wire_cell->late = cell->late;
  wire_cell->rejected = cell->rejected;
  wire_cell->failed = cell->failed;
  memcpy(report->buckets[index], cell->first_event_buckets, sizeof cell->first_event_buckets);
  wire_cell->n_first_event_buckets = CANARY_BUCKETS;
  wire_cell->first_event_buckets = report->buckets[index];
}

/* fills in what this gateway has counted since its process started; the caller frees
 * request.pinned_sessions */
static void report_fill(const gateway *gateway, canary_report *report) {
  const canary_trial *canary = gateway->canary;
  Wire__CanaryReportRequest *request = &report->request;
  wire__canary_report_request__init(request);
  request->version = canary->version;
  request->pinned_list_id = canary->judge_list_id;
  request->pinned_known = canary->known_count;
  request->age_ms = (uint64_t)time_sub(gateway_now(gateway), canary->started_at).us / 1000;
  request->warm = request->age_ms >= (uint64_t)canary->plan.warm_up_ms;
  request->started = canary->candidate_starts_at.us &&
                     time_reached(gateway_now(gateway), canary->candidate_starts_at);
  request->cells = report->cell_list;
  for (int arm = 0; arm < CANARY_ARMS; arm++)
    for (unsigned priority = 0; priority < CANARY_PRIORITIES; priority++) {
      const canary_cell *cell = &canary->totals.cells[arm][priority];
      if (canary_cell_requests(cell))
        report_add_cell(report, arm, priority, cell);
    }
  uint64_t *sessions;
  size_t count = pinned_sessions_chunk(&canary->pinned, canary->sent_count, &sessions);
  /* the list may be reallocated while the message is being sent */
  request->n_pinned_sessions = count;
  request->pinned_sessions = g_memdup2(sessions, sizeof(uint64_t) * count);
  report->sent_count = canary->sent_count + count;
  request->more = report->sent_count < canary->pinned.order->len;
}

static void report_to_itself(gateway *gateway, canary_judging *judging, canary_report *report) {
  const node *node = &gateway->router->node;
  Wire__CanaryReportResponse response = WIRE__CANARY_REPORT_RESPONSE__INIT;
  canary_judging_record_report(gateway, judging, node->settings.self, node->nonce,
                               &report->request);
  canary_judging_fill_response(gateway, judging, &report->request, &response);
  gateway->canary->judge = node->settings.self;
  apply_response(gateway, &response, report->sent_count);
}

/* false when the judge did not respond or the trial has ended meanwhile */
static bool report_to_peer(gateway *gateway, id judge, const char *judge_address,
                           canary_report *report) {
  uint64_t version = report->request.version;
  char address[48];
  g_strlcpy(address, judge_address, sizeof address);
  Wire__Envelope message =
                     wire_envelope(WIRE__ENVELOPE__BODY_CANARY_REPORT_REQUEST, &report->request),
                 *response;
  error err = { 0 };
  if (peer_rpc_call(&gateway->router->node, address, &message, time_from_ms(REPORT_TIMEOUT_MS),
                    &response, &err))
    return false;
  canary_trial *canary = gateway->canary;
  bool accepted = canary && canary->version == version &&
                  response->body_case == WIRE__ENVELOPE__BODY_CANARY_REPORT_RESPONSE;
  if (accepted) {
    canary->judge = judge;
    apply_response(gateway, response->canary_report_response, report->sent_count);
  }
  peer_rpc_message_free(response);
  return accepted;
}

/* reports to the judge; false when none has accepted it */
static bool report_to_judge(gateway *gateway) {
  canary_report report;
  report_fill(gateway, &report);
  uint64_t *sessions = report.request.pinned_sessions;
  canary_judging *judging = canary_judging_of(gateway);
  bool accepted = false;
  if (judging) {
    report_to_itself(gateway, judging, &report);
    accepted = true;
  } else {
    id judge;
    uint64_t epoch;
    peer_node *peer = config_sync_find_grant(gateway->router, "canary", &judge, &epoch)
                          ? peer_table_find(&gateway->router->node, judge)
                          : NULL;
    accepted = peer && report_to_peer(gateway, judge, peer->address, &report);
  }
  g_free(sessions);
  return accepted;
}

static const char *why_off(const gateway *gateway) {
  if (!canary_is_within(gateway, gateway->router->controllers.controller_answered_at,
                        CONTROLLER_SILENCE_MS))
    return "no controller answers";
  if (!canary_is_within(gateway, gateway->canary->judge_heard_at, JUDGE_SILENCE_MS))
    return "no judge answers";
  return "the trial has exceeded its duration or has too many pinned sessions";
}

static void log_activity(gateway *gateway) {
  canary_trial *canary = gateway->canary;
  bool on = canary_trial_is_on(gateway);
  if (canary->was_active && !on)
    log_info(&gateway->router->node.log, "canary",
             "The candidate is off here, new sessions use the control policy: %s.",
             why_off(gateway));
  else if (!canary->was_active && on)
    log_info(&gateway->router->node.log, "canary", "The candidate is on here.");
  canary->was_active = on;
}

typedef struct canary_task {
  gateway *gateway;
  uint64_t version;
} canary_task;

static bool trial_is_over(const canary_task *task) {
  return !task->gateway->canary || task->gateway->canary->version != task->version;
}

/* reports while the trial runs, and evaluates the trial if this gateway is its judge */
static void canary_run(void *context) {
  canary_task task = *(canary_task *)context;
  gateway *gateway = task.gateway;
  g_free(context);
  while (!trial_is_over(&task)) {
    bool reported = report_to_judge(gateway);
    if (trial_is_over(&task))
      return;
    canary_judging_evaluate(gateway);
    if (trial_is_over(&task))
      return;
    log_activity(gateway);
    const canary_trial *canary = gateway->canary;
    bool soon = !reported || !canary->candidate_starts_at.us ||
                canary->sent_count < canary->pinned.order->len;
    if (!world_sleep_with_jitter(gateway->router->node.world,
                                 time_from_ms(soon ? REPORT_SOON_MS : REPORT_INTERVAL_MS)))
      return;
  }
}

static void start_trial(gateway *gateway, const canary_plan *plan, uint64_t version) {
  canary_trial *canary = gateway->canary = g_new0(canary_trial, 1);
  canary->plan = *plan;
  canary->version = version;
  canary->started_at = gateway_now(gateway);
  canary->may_be_on_elsewhere = gateway->router->sync.snapshot_count <= 1;
  pinned_sessions_init(&canary->pinned);
  log_info(&gateway->router->node.log, "canary",
           "Trial %s has started, for a share of %.3f of the sessions.", plan->name.text,
           plan->traffic_share);
  canary_task *task = g_new(canary_task, 1);
  *task = (canary_task){ gateway, version };
  task_start(&gateway->router->node.world->tasks, "canary", canary_run, task);
}

void canary_config_installed(gateway *gateway) {
  const config *config = gateway->router->config;
  const canary_plan *plan = config ? &config->canary : NULL;
  uint64_t version = gateway->router->sync.resource_versions[RESOURCE_CANARY];
  if (!plan || plan->state != CANARY_RUNNING) {
    if (gateway->canary)
      log_info(&gateway->router->node.log, "canary",
               "Trial %s has ended; new requests use the control policy.",
               gateway->canary->plan.name.text);
    canary_drop(gateway);
    return;
  }
  if (gateway->canary && gateway->canary->version == version)
    return;
  canary_drop(gateway);
  start_trial(gateway, plan, version);
}

void canary_start(gateway *gateway) {
  peer_rpc_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_CANARY_REPORT_REQUEST,
                            canary_judging_on_report, gateway);
  peer_rpc_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_CANARY_PINNED_SESSIONS,
                            on_pinned_sessions, gateway);
}

void canary_free(gateway *gateway) {
  canary_drop(gateway);
}
