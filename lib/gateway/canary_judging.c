/** The judge of a canary trial; see canary_judging.h. The statistics are in
 * lib/configuration/canary.c. */
#include "canary_judging.h"
#include "gateway.h"

enum {
  /* time from the decision until the candidate starts, within which all gateways learn the start
   * time */
  START_DELAY_MS = 3000,
  /* a gateway takes part if it has reported within this time */
  RECENT_REPORT_MS = 3000,
  /* the trial ends as unreachable when less than a majority of the gateways reports for this
   * long */
  NO_REPORT_TIMEOUT_MS = 5000,
  /* timeout of the write to the controllers */
  END_TIMEOUT_MS = 3500
};

/** What the judge has received from one process of one gateway. */
typedef struct canary_node_report {
  uint64_t nonce;
  id node_id;
  time_us received_at;
  uint64_t age_ms;
  bool warmed_up, has_all_sessions;
  canary_totals totals;
} canary_node_report;

bool canary_is_within(const gateway *gateway, time_us at, int64_t ms) {
  return at.us && !time_reached(gateway_now(gateway), time_add(at, time_from_ms(ms)));
}

void canary_judging_free(gateway *gateway) {
  if (!gateway->canary_judging)
    return;
  g_array_free(gateway->canary_judging->nodes, TRUE);
  pinned_sessions_free(&gateway->canary_judging->pinned);
  g_free(gateway->canary_judging);
  gateway->canary_judging = NULL;
}

static canary_judging *canary_judging_new(gateway *gateway, uint64_t epoch) {
  world *world = gateway->router->node.world;
  canary_judging *judging = g_new0(struct canary_judging, 1);
  judging->version = gateway->canary->version;
  judging->epoch = epoch;
  judging->list_id = world->random(world) | 1;
  judging->nodes = g_array_new(FALSE, TRUE, sizeof(canary_node_report));
  pinned_sessions_init(&judging->pinned);
  log_info(&gateway->router->node.log, "canary",
           "This gateway judges trial %s under epoch %" PRIu64 ".", gateway->canary->plan.name.text,
           epoch);
  return judging;
}

canary_judging *canary_judging_of(gateway *gateway) {
  const canary_judging *judging = gateway->canary_judging;
  uint64_t epoch = gateway->canary ? singleton_lease_epoch(gateway->router, "canary") : 0;
  if (judging &&
      (!epoch || judging->epoch != epoch || judging->version != gateway->canary->version))
    canary_judging_free(gateway);
  if (epoch && !gateway->canary_judging)
    gateway->canary_judging = canary_judging_new(gateway, epoch);
  return gateway->canary_judging;
}

static canary_node_report *node_at(const canary_judging *judging, guint index) {
  return &g_array_index(judging->nodes, canary_node_report, index);
}

int canary_judging_count_recent(gateway *gateway, const canary_judging *judging, bool ready_only) {
  int count = 0;
  for (guint i = 0; i < judging->nodes->len; i++) {
    const canary_node_report *node = node_at(judging, i);
    count += canary_is_within(gateway, node->received_at, RECENT_REPORT_MS) &&
             (!ready_only || (node->warmed_up && node->has_all_sessions));
  }
  return count;
}

static bool is_majority(gateway *gateway, int count) {
  return count > peer_table_count(&gateway->router->node, ROLE_ROUTER) / 2;
}

/* the report of one process; added if there is none yet */
static canary_node_report *node_of(canary_judging *judging, id node_id, uint64_t nonce) {
  for (guint i = 0; i < judging->nodes->len; i++)
    if (node_at(judging, i)->nonce == nonce)
      return node_at(judging, i);
  canary_node_report added = { .nonce = nonce, .node_id = node_id };
  g_array_append_val(judging->nodes, added);
  return node_at(judging, judging->nodes->len - 1);
}

static void record_cell(canary_node_report *node, const Wire__CanaryCell *reported) {
  if (reported->arm >= CANARY_ARMS || reported->priority >= CANARY_PRIORITIES)
    return;
  canary_cell *known = &node->totals.cells[reported->arm][reported->priority], cell = {
    reported->within_target, reported->late, reported->rejected, reported->failed, { 0 }
  };
  for (size_t i = 0; i < MIN(reported->n_first_event_buckets, (size_t)CANARY_BUCKETS); i++)
    cell.first_event_buckets[i] = reported->first_event_buckets[i];
  if (canary_cell_requests(&cell) >= canary_cell_requests(known))
    *known = cell;
}

void canary_judging_record_report(gateway *gateway, canary_judging *judging, id node_id,
                                  uint64_t nonce, const Wire__CanaryReportRequest *request) {
  canary_node_report *node = node_of(judging, node_id, nonce);
  node->received_at = gateway_now(gateway);
  node->age_ms = MAX(node->age_ms, request->age_ms);
  node->warmed_up |= request->warm;
  for (size_t i = 0; i < request->n_cells; i++)
    record_cell(node, request->cells[i]);
  for (size_t i = 0; i < request->n_pinned_sessions; i++)
    pinned_sessions_add(&judging->pinned, request->pinned_sessions[i]);
  /* sessions that the gateway sent before it knew this list were meant for another judge */
  node->has_all_sessions |= request->pinned_list_id == judging->list_id && !request->more;
  /* the candidate is on already, started by an earlier judge; a gateway still starts it only with
   * the full list */
  judging->resumed |= request->started;
  int ready = canary_judging_count_recent(gateway, judging, true);
  if (!judging->candidate_starts_at.us && is_majority(gateway, ready))
    judging->candidate_starts_at =
        gateway_deadline_in_ms(gateway, judging->resumed ? 0 : START_DELAY_MS);
}

void canary_judging_fill_response(gateway *gateway, canary_judging *judging,
                                  const Wire__CanaryReportRequest *request,
                                  Wire__CanaryReportResponse *response) {
  size_t from = request->pinned_list_id == judging->list_id
                    ? MIN(request->pinned_known, judging->pinned.order->len)
                    : 0;
  response->pinned_list_id = judging->list_id;
  response->pinned_offset = from;
  response->pinned_total = judging->pinned.order->len;
  response->n_pinned_sessions =
      pinned_sessions_chunk(&judging->pinned, from, &response->pinned_sessions);
  response->starts = judging->candidate_starts_at.us != 0;
  response->starts_in_ms =
      response->starts ? (uint64_t)gateway_ms_until(gateway, judging->candidate_starts_at) : 0;
}

enum error_code canary_judging_on_report(void *context, Wire__Envelope *in, reply *reply,
                                         error *err) {
  gateway *gateway = context;
  const Wire__CanaryReportRequest *request = in->canary_report_request;
  canary_judging *judging = canary_judging_of(gateway);
  if (!judging || judging->version != request->version)
    return error_set(err, E_NO_LEASE_HOLDER, "this node does not judge this trial");
  canary_judging_record_report(gateway, judging, id_of_text(in->from->id), in->from->nonce,
                               request);
  Wire__CanaryReportResponse *response =
      reply_new_body(reply, WIRE__ENVELOPE__BODY_CANARY_REPORT_RESPONSE,
                     &wire__canary_report_response__descriptor);
  canary_judging_fill_response(gateway, judging, request, response);
  /* the list may be reallocated before the reply is serialized */
  size_t count = response->n_pinned_sessions;
  uint64_t *sessions = reply_alloc(reply, sizeof(uint64_t) * (count + 1));
  if (count)
    memcpy(sessions, response->pinned_sessions, sizeof(uint64_t) * count);
  response->pinned_sessions = sessions;
  return OK;
}

static void cell_add(canary_cell *total, const canary_cell *cell) {
  total->within_target += cell->within_target;
  total->late += cell->late;
  total->rejected += cell->rejected;
  total->failed += cell->failed;
  for (int i = 0; i < CANARY_BUCKETS; i++)
    total->first_event_buckets[i] += cell->first_event_buckets[i];
}

void canary_judging_sum(const canary_judging *judging, canary_totals *totals, uint64_t *age_ms) {
  memset(totals, 0, sizeof *totals);
  *age_ms = 0;
  for (guint i = 0; i < judging->nodes->len; i++) {
    const canary_node_report *node = node_at(judging, i);
    *age_ms = MAX(*age_ms, node->age_ms);
    for (int arm = 0; arm < CANARY_ARMS; arm++)
      for (int priority = 0; priority < CANARY_PRIORITIES; priority++)
        cell_add(&totals->cells[arm][priority], &node->totals.cells[arm][priority]);
  }
}

void canary_comparison_append_json(GString *to, const char *name,
                                   const canary_comparison *comparison) {
  json_appendf(
      to,
      "\"%s\":{\"old\":{\"requests\":%.0f,\"harm\":%.4f,\"atMost\":%.4f},\"candidate\":{\"requests\":%.0f,\"harm\":%.4f,\"atLeast\":%.4f}}",
      name, comparison->requests[CANARY_ARM_CONTROL], comparison->mean_harm[CANARY_ARM_CONTROL],
      comparison->control_harm_upper_bound, comparison->requests[CANARY_ARM_CANDIDATE],
      comparison->mean_harm[CANARY_ARM_CANDIDATE], comparison->candidate_harm_lower_bound);
}

/* the resource that ends the trial; the caller frees it */
static GString *end_resource(const gateway *gateway, const canary_judging *judging,
                             const char *verdict) {
  GString *text = g_string_new(NULL);
  json_appendf(
      text, "{\"state\":\"ended\",\"end\":{\"verdict\":\"%s\",\"by\":\"%s\",\"epoch\":%" PRIu64 ",",
      verdict, gateway->router->node.settings.self.text, judging->epoch);
  canary_comparison_append_json(text, "urgent", &judging->last_verdict.urgent);
  g_string_append_c(text, ',');
  canary_comparison_append_json(text, "rest", &judging->last_verdict.rest);
  g_string_append(text, "}}");
  return text;
}

static void log_end(const gateway *gateway, const canary_judging *judging, const char *verdict) {
  const canary_comparison *urgent = &judging->last_verdict.urgent;
  log_info(
      &gateway->router->node.log, "canary",
      "The judge ends trial %s: %s. Harm to urgent requests: %.4f of %.0f by the control policy (at most %.4f), %.4f of %.0f by the candidate (at least %.4f).",
      gateway->canary->plan.name.text, verdict, urgent->mean_harm[CANARY_ARM_CONTROL],
      urgent->requests[CANARY_ARM_CONTROL], urgent->control_harm_upper_bound,
      urgent->mean_harm[CANARY_ARM_CANDIDATE], urgent->requests[CANARY_ARM_CANDIDATE],
      urgent->candidate_harm_lower_bound);
}

/* the address to send a write to: the head of the chain, or else any controller; empty when none is
 * known */
static void controller_address(gateway *gateway, char address[48]) {
  router *router = gateway->router;
  peer_node *peer =
      router->leases.head_address[0] ? NULL : peer_table_pick(&router->node, ROLE_CONTROLLER, NULL);
  g_strlcpy(address,
            router->leases.head_address[0] ? router->leases.head_address
            : peer                         ? peer->address
                                           : "",
            48);
}

/* Ends the trial through the controllers, which accept this only from the holder of the lease,
 * under its epoch, and only for this version of the trial. The next evaluation repeats a failed
 * attempt. */
static void end_trial(gateway *gateway, const canary_judging *judging, const char *verdict) {
  GString *resource = end_resource(gateway, judging, verdict);
  log_end(gateway, judging, verdict);
  Wire__CanaryEndRequest request = WIRE__CANARY_END_REQUEST__INIT;
  request.version = judging->version;
  request.epoch = judging->epoch;
  request.verdict.data = (uint8_t *)resource->str;
  request.verdict.len = resource->len;
  char address[48];
  controller_address(gateway, address);
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_CANARY_END_REQUEST, &request),
                 *response;
  error err = { 0 };
  if (address[0]) {
    if (!peer_rpc_call(&gateway->router->node, address, &message, time_from_ms(END_TIMEOUT_MS),
                       &response, &err))
      peer_rpc_message_free(response);
    else if (err.code != E_STOPPING)
      log_info(&gateway->router->node.log, "canary",
               "The end of the trial was not accepted by %s: %s (code %d).", address, err.text,
               err.code);
  }
  g_string_free(resource, TRUE);
}

void canary_judging_evaluate(gateway *gateway) {
  canary_judging *judging = canary_judging_of(gateway);
  if (!judging)
    return;
  const canary_plan *plan = &gateway->canary->plan;
  canary_totals totals;
  uint64_t age_ms;
  canary_judging_sum(judging, &totals, &age_ms);
  judging->last_verdict = canary_judge(plan, &totals);
  time_us now = gateway_now(gateway);
  if (is_majority(gateway, canary_judging_count_recent(gateway, judging, false)))
    judging->no_reports_since = (time_us){ 0 };
  else if (!judging->no_reports_since.us)
    judging->no_reports_since = now;
  bool unreachable =
      judging->no_reports_since.us &&
      time_reached(now, time_add(judging->no_reports_since, time_from_ms(NO_REPORT_TIMEOUT_MS)));
  if (judging->last_verdict.harm_proven)
    end_trial(gateway, judging, "harm");
  else if (unreachable)
    end_trial(gateway, judging, "unreachable");
  else if (age_ms >= (uint64_t)plan->max_duration_ms)
    end_trial(gateway, judging,
              judging->last_verdict.has_enough_requests ? "no harm" : "too little");
}
