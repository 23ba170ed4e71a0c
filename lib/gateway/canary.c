#include "gateway.h"
#include <stdlib.h>

/* CONTROLLER_SILENCE_MS: a node that no core machine answered for so long, or JUDGE_SILENCE_MS: no
 * judge, gives new sessions to the old policy. OPEN_MS: from the judge's word until all nodes
 * begin, at about the same instant. */
enum {
  CONTROLLER_SILENCE_MS = 3000,
  JUDGE_SILENCE_MS = 10000,
  REPORT_MS = 1000,
  REPORT_SOON_MS = 250,
  START_DELAY_MS = 3000,
  HEARD_MS = 3000,
  NO_REPORT_TIMEOUT_MS = 5000,
  SPARE_MS = 15000,
  MAX_PINNED_SESSIONS = 1 << 17,
  CHUNK = 2048,
  CALL_MS = 1500,
  END_MS = 3500
};

/** Sessions that the draw gives to the candidate, and that the old policy has served: they stay
 * there. */
typedef struct pinned_sessions {
  GHashTable *index;
  GArray *order;
} pinned_sessions;

/** A trial as one node lives it. */
typedef struct canary {
  canary_plan plan;
  uint64_t version;
  time_us started_at, open_at, judge_heard_at, broadcast_at;
  canary_totals totals;
  pinned_sessions pinned;
  uint64_t judge_list_id; /* of the judge that was heard last; it has the first `sent` of ours, and
                    we `known` of its own */
  size_t sent_count, known_count;
  id judge;
  bool was_active, may_have_begun_elsewhere; /* young: this run found the trial when it came up, and
                                   others may be on with it */
} canary;

/** What a judge has heard of one run of one node. */
typedef struct canary_node_report {
  uint64_t nonce;
  id node_id;
  time_us received_at;
  uint64_t age_ms;
  bool warmed_up, has_all_sessions;
  canary_totals totals;
} canary_node_report;
/** A trial as its judge sees it, under one epoch. Its list of elders has a number of its own: a
 * judge whose duty lapsed and came back knows nothing any more, and has the same epoch. */
struct canary_judge {
  bool resumed;
  uint64_t version, epoch, list_id;
  GArray *nodes;
  pinned_sessions pinned;
  time_us started_at, open_at, no_reports_since;
  canary_verdict last_finding;
};
typedef struct canary_judge canary_judge_t;

static void pinned_sessions_init(pinned_sessions *s) {
  s->index = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  s->order = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

static void pinned_sessions_free(pinned_sessions *s) {
  g_hash_table_destroy(s->index);
  g_array_free(s->order, TRUE);
}

static bool pinned_sessions_add(pinned_sessions *s, uint64_t x) {
  if (g_hash_table_contains(s->index, &x) || s->order->len >= MAX_PINNED_SESSIONS)
    return false;
  g_hash_table_add(s->index, g_memdup2(&x, sizeof x));
  g_array_append_val(s->order, x);
  return true;
}

static size_t pinned_sessions_chunk(const pinned_sessions *s, size_t from, uint64_t **at) {
  *at = from < s->order->len ? &g_array_index(s->order, uint64_t, from) : NULL;
  return from < s->order->len ? MIN((size_t)CHUNK, s->order->len - from) : 0;
}

static time_us now_of(const gateway *gateway) {
  return world_now(gateway->router->node.world);
}
static bool within(const gateway *gateway, time_us at, int64_t ms) {
  return at.us && !time_reached(now_of(gateway), time_add(at, time_from_ms(ms)));
}

static void judge_free(gateway *gateway) {
  if (!gateway->canary_judge)
    return;
  g_array_free(gateway->canary_judge->nodes, TRUE);
  pinned_sessions_free(&gateway->canary_judge->pinned);
  g_free(gateway->canary_judge);
  gateway->canary_judge = NULL;
}

static void canary_drop(gateway *gateway) {
  judge_free(gateway);
  if (!gateway->canary)
    return;
  pinned_sessions_free(&gateway->canary->pinned);
  g_free(gateway->canary);
  gateway->canary = NULL;
}

/* what a session is known by at every node and for every try: its name, or the last shared part of
 * its prompt, or the work that is asked for; only a request without any of these stands alone */
static uint64_t session_of(const gateway *gateway, const http_request *request,
                           const route *route) {
  const char *const *field = gateway->settings.dialect->header_names;
  string_view v;
  if (field[DF_SESSION] && fields_get(request->fields, field[DF_SESSION], &v) && v.length)
    return hash_bytes(v.data, v.length, 1);
  if (fields_get(request->fields, field[DF_PREFIX], &v) && v.length) {
    size_t end = v.length;
    for (size_t i = v.length; i-- > 0;)
      if (v.data[i] == ',') {
        end = i;
        break;
      }
    size_t at = 0;
    for (size_t i = 0; i < end; i++)
      if (v.data[i] == ',')
        at = i + 1;
    size_t n = 0;
    while (at + n < end && v.data[at + n] != ':')
      n++;
    return hash_bytes(v.data + at, n, 2);
  }
  uint64_t h = hash_bytes(route->name.text, strlen(route->name.text), 3);
  if (request->body && request->body->len)
    return hash_bytes(request->body->str, request->body->len, h);
  return fields_get(request->fields, field[DF_REQUEST_ID], &v) ? hash_bytes(v.data, v.length, h)
                                                               : h;
}

/* the candidate is on here: all began, and this node hears both the core and the judge */
static bool is_on(const gateway *gateway) {
  const canary *canary = gateway->canary;
  return canary->open_at.us && time_reached(now_of(gateway), canary->open_at) &&
         within(gateway, gateway->router->controllers.controller_answered_at,
                CONTROLLER_SILENCE_MS) &&
         within(gateway, canary->judge_heard_at, JUDGE_SILENCE_MS) &&
         within(gateway, canary->started_at, canary->plan.max_duration_ms + SPARE_MS) &&
         canary->pinned.order->len < MAX_PINNED_SESSIONS;
}

/* while others may begin any moment, or have begun, they must know of an elder before its next
 * request */
static void broadcast_pinned_session(gateway *gateway, uint64_t x) {
  Wire__CanaryPinnedSessions q = WIRE__CANARY_PINNED_SESSIONS__INIT;
  q.version = gateway->canary->version;
  q.n_pinned_sessions = 1;
  q.pinned_sessions = &x;
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_CANARY_PINNED_SESSIONS, &q);
  node_broadcast(&gateway->router->node, ROLE_ROUTER, &m);
}

canary_assignment canary_admit(gateway *gateway, const http_request *request, const route *route) {
  canary *canary = gateway->canary;
  if (!canary_includes(&canary->plan, route->name, route->priority))
    return (canary_assignment){ 0 };
  uint64_t session = session_of(gateway, request, route);
  bool on = is_on(gateway);
  if (!canary_session_is_candidate(&canary->plan, session))
    return (canary_assignment){ canary->version, CANARY_ARM_CONTROL, on };
  if (on && !g_hash_table_contains(canary->pinned.index, &session))
    return (canary_assignment){ canary->version, CANARY_ARM_CANDIDATE, true };
  if (pinned_sessions_add(&canary->pinned, session) &&
      (canary->open_at.us || canary->may_have_begun_elsewhere))
    broadcast_pinned_session(gateway, session);
  return (canary_assignment){ canary->version, CANARY_ARM_CONTROL, false };
}

const select_policy *canary_policy(const gateway *gateway, const canary_assignment *p) {
  return p->side == CANARY_ARM_CANDIDATE ? &gateway->canary->plan.candidate
                                         : &select_policy_default;
}
const char *canary_name(const gateway *gateway) {
  return gateway->canary->plan.name.text;
}

void canary_record_result(gateway *gateway, const canary_assignment *p, const route *route,
                          double first_ms, int status) {
  canary *canary = gateway->canary;
  if (!canary || canary->version != p->version || !p->is_evidence || !status ||
      (status >= 400 && status < 500 && status != 429 && status != 408))
    return;
  canary_cell *k = &canary->totals.cells[p->side][MIN(route->priority, CANARY_PRIORITIES - 1)];
  if (status == 503 || status == 429)
    k->rejected++;
  else if (status >= 500 || status == 408 || first_ms < 0)
    k->failed++;
  else if (route->target_ms > 0 && first_ms > (double)route->target_ms)
    k->late++;
  else
    k->within_target++;
  if (first_ms >= 0)
    k->first_event_buckets[canary_bucket(first_ms)]++;
}

/* the judge: whoever holds the duty, under its epoch */
static canary_judge_t *judge_of(gateway *gateway) {
  uint64_t epoch = gateway->canary ? singleton_lease_epoch(gateway->router, "canary") : 0;
  if (gateway->canary_judge && (!epoch || gateway->canary_judge->epoch != epoch ||
                                gateway->canary_judge->version != gateway->canary->version))
    judge_free(gateway);
  if (!epoch)
    return NULL;
  if (!gateway->canary_judge) {
    canary_judge_t *judge = gateway->canary_judge = g_new0(canary_judge_t, 1);
    judge->version = gateway->canary->version;
    judge->epoch = epoch;
    judge->list_id = gateway->router->node.world->random(gateway->router->node.world) | 1;
    judge->started_at = now_of(gateway);
    judge->nodes = g_array_new(FALSE, TRUE, sizeof(canary_node_report));
    pinned_sessions_init(&judge->pinned);
    log_info(&gateway->router->node.log, "canary", "Judges the trial %s under epoch %" PRIu64 ".",
             gateway->canary->plan.name.text, epoch);
  }
  return gateway->canary_judge;
}

static int count_recent_nodes(gateway *gateway, const canary_judge_t *judge, bool warm) {
  int n = 0;
  for (guint i = 0; i < judge->nodes->len; i++) {
    const canary_node_report *h = &g_array_index(judge->nodes, canary_node_report, i);
    n += within(gateway, h->received_at, HEARD_MS) &&
         (!warm || (h->warmed_up && h->has_all_sessions));
  }
  return n;
}

static bool is_majority(gateway *gateway, int n) {
  return n > node_count_peers(&gateway->router->node, ROLE_ROUTER) / 2;
}

/* takes a node's totals: those of one run only ever grow, so a repeated or overtaken report changes
 * nothing */
static void registry_update(gateway *gateway, canary_judge_t *judge, id who, uint64_t nonce,
                            const Wire__CanaryReportRequest *q) {
  canary_node_report *h = NULL;
  for (guint i = 0; i < judge->nodes->len && !h; i++)
    if (g_array_index(judge->nodes, canary_node_report, i).nonce == nonce)
      h = &g_array_index(judge->nodes, canary_node_report, i);
  if (!h) {
    canary_node_report fresh = { .nonce = nonce, .node_id = who };
    g_array_append_val(judge->nodes, fresh);
    h = &g_array_index(judge->nodes, canary_node_report, judge->nodes->len - 1);
  }
  h->received_at = now_of(gateway);
  h->age_ms = MAX(h->age_ms, q->age_ms);
  h->warmed_up |= q->warm;
  for (size_t i = 0; i < q->n_cells; i++) {
    const Wire__CanaryCell *w = q->cells[i];
    if (w->arm >= CANARY_ARMS || w->priority >= CANARY_PRIORITIES)
      continue;
    canary_cell *c = &h->totals.cells[w->arm][w->priority],
                x = { w->within_target, w->late, w->rejected, w->failed, { 0 } };
    for (size_t b = 0; b < MIN(w->n_first_event_buckets, (size_t)CANARY_BUCKETS); b++)
      x.first_event_buckets[b] = w->first_event_buckets[b];
    if (canary_cell_requests(&x) >= canary_cell_requests(c))
      *c = x;
  }
  for (size_t i = 0; i < q->n_pinned_sessions; i++)
    pinned_sessions_add(&judge->pinned, q->pinned_sessions[i]);
  /* what was sent before it knew this list was meant for another */
  h->has_all_sessions |= q->pinned_list_id == judge->list_id && !q->more;
  /* under a judge before this one it began already; but only with all elders may a node begin */
  judge->resumed |= q->started;
  if (!judge->open_at.us && is_majority(gateway, count_recent_nodes(gateway, judge, true)))
    judge->open_at = time_add(now_of(gateway), time_from_ms(judge->resumed ? 0 : START_DELAY_MS));
}

static void fill_response(gateway *gateway, canary_judge_t *judge,
                          const Wire__CanaryReportRequest *q, Wire__CanaryReportResponse *b) {
  size_t from =
      q->pinned_list_id == judge->list_id ? MIN(q->pinned_known, judge->pinned.order->len) : 0;
  b->pinned_list_id = judge->list_id;
  b->pinned_offset = from;
  b->pinned_total = judge->pinned.order->len;
  b->n_pinned_sessions = pinned_sessions_chunk(&judge->pinned, from, &b->pinned_sessions);
  b->starts = judge->open_at.us != 0;
  b->starts_in_ms =
      b->starts ? (uint64_t)MAX(0, time_sub(judge->open_at, now_of(gateway)).us / 1000) : 0;
}

static int on_report(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  Wire__CanaryReportRequest *q = in->canary_report_request;
  canary_judge_t *judge = judge_of(gateway);
  if (!judge || judge->version != q->version)
    return error_set(err, E_NO_LEASE_HOLDER, "this node does not judge this trial");
  registry_update(gateway, judge, id_of_text(in->from->id), in->from->nonce, q);
  Wire__CanaryReportResponse *b = reply_new_body(reply, WIRE__ENVELOPE__BODY_CANARY_REPORT_RESPONSE,
                                                 &wire__canary_report_response__descriptor);
  fill_response(gateway, judge, q, b);
  /* the list may move before the reply is packed */
  uint64_t *own = reply_alloc(reply, sizeof(uint64_t) * (b->n_pinned_sessions + 1));
  if (b->n_pinned_sessions)
    memcpy(own, b->pinned_sessions, sizeof(uint64_t) * b->n_pinned_sessions);
  b->pinned_sessions = own;
  return OK;
}

static int on_pinned_sessions(void *ctx, Wire__Envelope *in, reply *reply, error *err) {
  gateway *gateway = ctx;
  (void)reply;
  (void)err;
  if (!gateway->canary || gateway->canary->version != in->canary_pinned_sessions->version)
    return OK;
  for (size_t i = 0; i < in->canary_pinned_sessions->n_pinned_sessions; i++)
    pinned_sessions_add(&gateway->canary->pinned, in->canary_pinned_sessions->pinned_sessions[i]);
  return OK;
}

static void apply_response(gateway *gateway, const Wire__CanaryReportResponse *b, size_t sent) {
  canary *canary = gateway->canary;
  canary->judge_heard_at = now_of(gateway);
  if (canary->judge_list_id != b->pinned_list_id) {
    /* another judge knows nothing yet, and its list is another */
    canary->judge_list_id = b->pinned_list_id;
    canary->sent_count = canary->known_count = 0;
    if (b->pinned_offset)
      return;
  } else
    canary->sent_count = MAX(canary->sent_count, sent);
  for (size_t i = 0; i < b->n_pinned_sessions; i++)
    pinned_sessions_add(&canary->pinned, b->pinned_sessions[i]);
  if (b->pinned_offset == canary->known_count)
    canary->known_count += b->n_pinned_sessions;
  if (!canary->open_at.us && b->starts && canary->known_count >= b->pinned_total) {
    canary->open_at = time_add(now_of(gateway), time_from_ms((int64_t)b->starts_in_ms));
    log_info(&gateway->router->node.log, "canary",
             "The trial %s begins here in %" PRIu64 " ms; %u sessions stay with the old policy.",
             canary->plan.name.text, b->starts_in_ms, canary->pinned.order->len);
  }
}

/* tells the judge what this run of this node has seen; gives false when no judge heard it */
static bool report_to_judge(gateway *gateway) {
  canary *canary = gateway->canary;
  uint64_t version = canary->version;
  Wire__CanaryCell cells[CANARY_ARMS * CANARY_PRIORITIES], *at[CANARY_ARMS * CANARY_PRIORITIES];
  uint64_t first[CANARY_ARMS * CANARY_PRIORITIES][CANARY_BUCKETS];
  Wire__CanaryReportRequest q = WIRE__CANARY_REPORT_REQUEST__INIT;
  q.version = version;
  q.pinned_list_id = canary->judge_list_id;
  q.pinned_known = canary->known_count;
  q.age_ms = (uint64_t)time_sub(now_of(gateway), canary->started_at).us / 1000;
  q.warm = q.age_ms >= (uint64_t)canary->plan.warm_up_ms;
  q.started = canary->open_at.us && time_reached(now_of(gateway), canary->open_at);
  q.cells = at;
  for (int s = 0; s < CANARY_ARMS; s++)
    for (unsigned p = 0; p < CANARY_PRIORITIES; p++) {
      const canary_cell *k = &canary->totals.cells[s][p];
      if (!canary_cell_requests(k))
        continue;
      Wire__CanaryCell *w = at[q.n_cells] = &cells[q.n_cells];
      wire__canary_cell__init(w);
      w->arm = (uint32_t)s;
      w->priority = p;
      w->within_target = k->within_target;
      w->late = k->late;
      w->rejected = k->rejected;
      w->failed = k->failed;
      memcpy(first[q.n_cells], k->first_event_buckets, sizeof k->first_event_buckets);
      w->n_first_event_buckets = CANARY_BUCKETS;
      w->first_event_buckets = first[q.n_cells];
      q.n_cells++;
    }
  uint64_t *own;
  q.n_pinned_sessions = pinned_sessions_chunk(&canary->pinned, canary->sent_count, &own);
  q.more = canary->sent_count + q.n_pinned_sessions < canary->pinned.order->len;
  uint64_t *copy = g_memdup2(own, sizeof(uint64_t) * q.n_pinned_sessions);
  q.pinned_sessions = copy;
  size_t sent = canary->sent_count + q.n_pinned_sessions;
  bool ok = false;
  canary_judge_t *judge = judge_of(gateway);
  if (judge) {
    Wire__CanaryReportResponse b = WIRE__CANARY_REPORT_RESPONSE__INIT;
    registry_update(gateway, judge, gateway->router->node.settings.self,
                    gateway->router->node.nonce, &q);
    fill_response(gateway, judge, &q, &b);
    canary->judge = gateway->router->node.settings.self;
    apply_response(gateway, &b, sent);
    g_free(copy);
    return true;
  }
  id who;
  uint64_t epoch;
  peer_node *peer = config_sync_find_grant(gateway->router, "canary", &who, &epoch)
                        ? node_find_peer(&gateway->router->node, who)
                        : NULL;
  if (peer) {
    char addr[48];
    g_strlcpy(addr, peer->address, sizeof addr);
    Wire__Envelope msg = wire_envelope(WIRE__ENVELOPE__BODY_CANARY_REPORT_REQUEST, &q), *b;
    error err = { 0 };
    if (!node_call(&gateway->router->node, addr, &msg, time_from_ms(CALL_MS), &b, &err)) {
      canary = gateway->canary;
      if (canary && canary->version == version &&
          b->body_case == WIRE__ENVELOPE__BODY_CANARY_REPORT_RESPONSE) {
        canary->judge = who;
        apply_response(gateway, b->canary_report_response, sent);
        ok = true;
      }
      node_reply_free(b);
    }
  }
  g_free(copy);
  return ok;
}

static void view_text(GString *to, const char *name, const canary_comparison *v) {
  json_appendf(
      to,
      "\"%s\":{\"old\":{\"requests\":%.0f,\"harm\":%.4f,\"atMost\":%.4f},\"candidate\":{\"requests\":%.0f,\"harm\":%.4f,\"atLeast\":%.4f}}",
      name, v->requests[CANARY_ARM_CONTROL], v->mean_harm[CANARY_ARM_CONTROL],
      v->harm_difference_high, v->requests[CANARY_ARM_CANDIDATE],
      v->mean_harm[CANARY_ARM_CANDIDATE], v->harm_difference_low);
}

static void totals_of(const canary_judge_t *judge, canary_totals *t, uint64_t *age_ms) {
  memset(t, 0, sizeof *t);
  *age_ms = 0;
  for (guint i = 0; i < judge->nodes->len; i++) {
    const canary_node_report *h = &g_array_index(judge->nodes, canary_node_report, i);
    *age_ms = MAX(*age_ms, h->age_ms);
    for (int s = 0; s < CANARY_ARMS; s++)
      for (int p = 0; p < CANARY_PRIORITIES; p++) {
        canary_cell *to = &t->cells[s][p];
        const canary_cell *k = &h->totals.cells[s][p];
        to->within_target += k->within_target;
        to->late += k->late;
        to->rejected += k->rejected;
        to->failed += k->failed;
        for (int b = 0; b < CANARY_BUCKETS; b++)
          to->first_event_buckets[b] += k->first_event_buckets[b];
      }
  }
}

/* writes the end through the core; only the holder's word, under its epoch, and only of this very
 * trial is taken there */
static void judge_end(gateway *gateway, canary_judge_t *judge, const char *verdict) {
  GString *t = g_string_new(NULL);
  json_appendf(
      t, "{\"state\":\"ended\",\"end\":{\"verdict\":\"%s\",\"by\":\"%s\",\"epoch\":%" PRIu64 ",",
      verdict, gateway->router->node.settings.self.text, judge->epoch);
  view_text(t, "urgent", &judge->last_finding.urgent);
  g_string_append_c(t, ',');
  view_text(t, "rest", &judge->last_finding.rest);
  g_string_append(t, "}}");
  const canary_comparison *u = &judge->last_finding.urgent;
  log_info(
      &gateway->router->node.log, "canary",
      "Ends the trial %s: %s. Urgent harm %.4f of %.0f by the old policy (at most %.4f), %.4f of %.0f by the candidate (at least %.4f).",
      gateway->canary->plan.name.text, verdict, u->mean_harm[CANARY_ARM_CONTROL],
      u->requests[CANARY_ARM_CONTROL], u->harm_difference_high, u->mean_harm[CANARY_ARM_CANDIDATE],
      u->requests[CANARY_ARM_CANDIDATE], u->harm_difference_low);
  Wire__CanaryEndRequest q = WIRE__CANARY_END_REQUEST__INIT;
  q.version = judge->version;
  q.epoch = judge->epoch;
  q.verdict.data = (uint8_t *)t->str;
  q.verdict.len = t->len;
  char addr[48];
  peer_node *peer = gateway->router->leases.head_address[0]
                        ? NULL
                        : node_pick_peer(&gateway->router->node, ROLE_CONTROLLER, NULL);
  g_strlcpy(addr,
            gateway->router->leases.head_address[0] ? gateway->router->leases.head_address
            : peer                                  ? peer->address
                                                    : "",
            sizeof addr);
  Wire__Envelope m = wire_envelope(WIRE__ENVELOPE__BODY_CANARY_END_REQUEST, &q), *b;
  error err = { 0 };
  if (addr[0]) {
    if (!node_call(&gateway->router->node, addr, &m, time_from_ms(END_MS), &b, &err))
      node_reply_free(b);
    else if (err.code != E_STOPPING)
      log_info(&gateway->router->node.log, "canary", "The end was not taken: %s (code %d).",
               err.text, err.code);
  }
  g_string_free(t, TRUE);
}

static void examination(gateway *gateway) {
  canary_judge_t *judge = judge_of(gateway);
  if (!judge)
    return;
  canary_totals t;
  uint64_t age;
  totals_of(judge, &t, &age);
  judge->last_finding = canary_judge(&gateway->canary->plan, &t);
  time_us now = now_of(gateway);
  if (is_majority(gateway, count_recent_nodes(gateway, judge, false)))
    judge->no_reports_since = (time_us){ 0 };
  else if (!judge->no_reports_since.us)
    judge->no_reports_since = now;
  if (judge->last_finding.harm_proven)
    judge_end(gateway, judge, "harm");
  else if (judge->no_reports_since.us &&
           time_reached(now, time_add(judge->no_reports_since, time_from_ms(NO_REPORT_TIMEOUT_MS))))
    judge_end(gateway, judge, "unreachable");
  else if (age >= (uint64_t)gateway->canary->plan.max_duration_ms)
    judge_end(gateway, judge, judge->last_finding.has_enough_requests ? "no harm" : "too little");
}

typedef struct canary_watch {
  gateway *deployment;
  uint64_t version;
} canary_watch;

static void canary_run(void *p) {
  canary_watch *k = p;
  gateway *gateway = k->deployment;
  uint64_t version = k->version;
  g_free(k);
  for (;;) {
    if (!gateway->canary || gateway->canary->version != version)
      return;
    bool heard = report_to_judge(gateway);
    if (!gateway->canary || gateway->canary->version != version)
      return;
    examination(gateway);
    if (!gateway->canary || gateway->canary->version != version)
      return;
    canary *canary = gateway->canary;
    bool on = is_on(gateway);
    if (canary->was_active && !on)
      log_info(&gateway->router->node.log, "canary", "New sessions go by the old policy here: %s.",
               !within(gateway, gateway->router->controllers.controller_answered_at,
                       CONTROLLER_SILENCE_MS)
                   ? "no news"
               : !within(gateway, canary->judge_heard_at, JUDGE_SILENCE_MS)
                   ? "no judge"
                   : "the trial is too old, or has too many elders");
    else if (!canary->was_active && on)
      log_info(&gateway->router->node.log, "canary", "The candidate has its share here.");
    canary->was_active = on;
    bool soon = !heard || !gateway->canary->open_at.us ||
                gateway->canary->sent_count < gateway->canary->pinned.order->len;
    if (!world_sleep_with_jitter(gateway->router->node.world,
                                 time_from_ms(soon ? REPORT_SOON_MS : REPORT_MS)))
      return;
  }
}

void canary_config_installed(gateway *gateway) {
  const config *config = gateway->router->config;
  const canary_plan *plan = config ? &config->canary : NULL;
  uint64_t version = gateway->router->sync.resource_versions[RESOURCE_CANARY];
  if (!plan || plan->state != CANARY_RUNNING) {
    if (gateway->canary)
      log_info(&gateway->router->node.log, "canary",
               "The trial %s is over; every new request goes by the old policy.",
               gateway->canary->plan.name.text);
    canary_drop(gateway);
    return;
  }
  if (gateway->canary && gateway->canary->version == version)
    return;
  canary_drop(gateway);
  canary *n = gateway->canary = g_new0(canary, 1);
  n->plan = *plan;
  n->version = version;
  n->started_at = now_of(gateway);
  n->may_have_begun_elsewhere = gateway->router->sync.sync_count <= 1;
  pinned_sessions_init(&n->pinned);
  log_info(&gateway->router->node.log, "canary", "The trial %s is declared for a share of %.3f.",
           plan->name.text, plan->traffic_share);
  canary_watch *w = g_new(canary_watch, 1);
  *w = (canary_watch){ gateway, version };
  task_start(&gateway->router->node.world->tasks, "canary", canary_run, w);
}

void canary_start(gateway *gateway) {
  node_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_CANARY_REPORT_REQUEST,
                        on_report, gateway);
  node_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_CANARY_PINNED_SESSIONS,
                        on_pinned_sessions, gateway);
}

void canary_free(gateway *gateway) {
  canary_drop(gateway);
}

static const char *const side_name[CANARY_ARMS] = { "old", "candidate" };

static void sides_json(const canary_totals *t, GString *to) {
  bool some = false;
  g_string_append_c(to, '[');
  for (int s = 0; s < CANARY_ARMS; s++)
    for (int p = 0; p < CANARY_PRIORITIES; p++) {
      const canary_cell *c = &t->cells[s][p];
      if (!canary_cell_requests(c))
        continue;
      json_appendf(to,
                   "%s{\"side\":\"%s\",\"priority\":%d,\"requests\":%" PRIu64 ",\"inAim\":%" PRIu64
                   ",\"late\":%" PRIu64 ",\"refused\":%" PRIu64 ",\"failed\":%" PRIu64
                   ",\"firstMs\":[",
                   some ? "," : "", side_name[s], p, canary_cell_requests(c), c->within_target,
                   c->late, c->rejected, c->failed);
      for (int b = 0; b < CANARY_BUCKETS; b++)
        json_appendf(to, "%s%" PRIu64, b ? "," : "", c->first_event_buckets[b]);
      g_string_append(to, "]}");
      some = true;
    }
  g_string_append_c(to, ']');
}

void canary_json(gateway *gateway, GString *to) {
  const canary *canary = gateway->canary;
  if (!canary)
    return;
  json_appendf(to,
               ",\"canary\":{\"name\":\"%s\",\"on\":%s,\"judge\":\"%s\",\"elders\":%u,\"sides\":",
               canary->plan.name.text, is_on(gateway) ? "true" : "false", canary->judge.text,
               canary->pinned.order->len);
  sides_json(&canary->totals, to);
  canary_judge_t *judge = judge_of(gateway);
  if (judge) {
    canary_totals t;
    uint64_t age;
    totals_of(judge, &t, &age);
    json_appendf(to, ",\"judges\":{\"nodes\":%d,\"ageMs\":%" PRIu64 ",\"enough\":%s,",
                 count_recent_nodes(gateway, judge, false), age,
                 judge->last_finding.has_enough_requests ? "true" : "false");
    view_text(to, "urgent", &judge->last_finding.urgent);
    g_string_append_c(to, ',');
    view_text(to, "rest", &judge->last_finding.rest);
    g_string_append(to, ",\"sides\":");
    sides_json(&t, to);
    g_string_append_c(to, '}');
  }
  g_string_append_c(to, '}');
}

void canary_metrics(gateway *gateway, GString *to) {
  const canary *canary = gateway->canary;
  if (!canary)
    return;
  json_appendf(to, "asterfall_canary_on %d\nasterfall_canary_elders %u\n", is_on(gateway),
               canary->pinned.order->len);
  for (int s = 0; s < CANARY_ARMS; s++)
    for (int p = 0; p < CANARY_PRIORITIES; p++) {
      const canary_cell *k = &canary->totals.cells[s][p];
      if (!canary_cell_requests(k))
        continue;
      json_appendf(
          to,
          "asterfall_canary_requests{side=\"%s\",priority=\"%d\",end=\"in_aim\"} %" PRIu64
          "\nasterfall_canary_requests{side=\"%s\",priority=\"%d\",end=\"late\"} %" PRIu64
          "\nasterfall_canary_requests{side=\"%s\",priority=\"%d\",end=\"refused\"} %" PRIu64
          "\nasterfall_canary_requests{side=\"%s\",priority=\"%d\",end=\"failed\"} %" PRIu64 "\n",
          side_name[s], p, k->within_target, side_name[s], p, k->late, side_name[s], p, k->rejected,
          side_name[s], p, k->failed);
    }
}
