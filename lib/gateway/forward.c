#include "event_stream.h"
#include "gateway.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* UP_MS: how long a connection may take to come up; SEND_MS: nothing is sent later than that after
 * the choice. */
enum {
  CONNECT_TIMEOUT_MS = 300,
  SEND_DEADLINE_MS = 400,
  MAX_CONNECT_ATTEMPTS = 4,
  MAX_EXCLUDED_ENGINES = 8,
  MAX_BODY_BYTES = 8 << 20,
  RECENTLY_HEARD_MS = 2000,
  DEADLINE_MARGIN_MS = 250,
  RETRY_INTERVAL_MS = 500,
  QUEUE_RECHECK_MS = 200,
  SHUN_MS = 150,
  PRIORITY_AGE_MS = 400,
  CLIENT_PATIENCE_MS = 2000,
  MAX_OPEN_REQUEST_LINES = 40,
  /* other machines are there to ask */
  DRAINING_RETRY_AFTER_MS = 20
};

/** What became of one attempt. */
enum attempt_outcome {
  ATTEMPT_OUTCOME_DONE,
  ATTEMPT_OUTCOME_RETRY,
  ATTEMPT_OUTCOME_NOT_SENT,
  ATTEMPT_OUTCOME_NOT_RUN,
  ATTEMPT_OUTCOME_FAILED,
  ATTEMPT_OUTCOME_TIMEOUT,
  ATTEMPT_OUTCOME_CLIENT_LEFT,
  ATTEMPT_OUTCOME_STOPPED
};
/** A place taken at an engine. */
typedef struct reserved_slot {
  gateway_engine *engine;
  bool first_event_seen;
  int running_at_start;
  time_us reserved_at;
  double estimate_ms;
} reserved_slot;

/** A request on its way. */
typedef struct inflight_request {
  list_node queue_link, open_link;
  condition wake;
  gateway *gateway;
  http_request *http;
  routing *routing;
  const route *route;
  const service *service;
  id model, adapter, excluded[MAX_EXCLUDED_ENGINES];
  int excluded_count, attempts_sent;
  double tokens, estimate_ms;
  char *prefix, *request_id;
  fields *request_fields;
  size_t base_fields_length;
  time_us deadline, received_at;
  int64_t queue_rank;
  enum engine_select_result select_result;
  bool queued, declined, may_have_run;
  reserved_slot slot, next_slot;
  /* of a stream: what was passed on */
  bool resumed, unresumable;
  uint64_t last_id;
  time_us last_event_bytes_at; /* when the last bytes of a stream came */
  char versions[24];
  /* of an end that is ours */
  int status;
  int64_t retry_after_ms;
  const char *error_text;
  double queued_ms, first_event_ms;
  id last_engine;
  /* the policy that it goes by from its first line to its last, whatever is in force by then */
  canary_assignment canary;
  select_policy policy;
  char canary_name[48];
  double response_begun_ms;
} inflight_request;

static time_us now_of(const inflight_request *flight) {
  return world_now(flight->gateway->router->node.world);
}
static double ms_since(const inflight_request *flight, time_us from) {
  return (double)time_sub(now_of(flight), from).us / 1000;
}
static int64_t left_ms(const inflight_request *flight) {
  return time_sub(flight->deadline, now_of(flight)).us / 1000;
}
/* until the first event: callers give a stream up after a silence that its route's bounds tell */
static int64_t first_event_left_ms(const inflight_request *flight) {
  if (flight->route->mode != ROUTE_MODE_STREAM || flight->http->response_started)
    return left_ms(flight);
  int64_t most =
      MAX(CLIENT_PATIENCE_MS, MAX(4 * flight->route->target_ms, 8 * flight->route->gap_target_ms));
  return MIN(left_ms(flight),
             time_sub(time_add(flight->received_at, time_from_ms(most)), now_of(flight)).us / 1000);
}
static time_us earlier(time_us a, time_us b) {
  return a.us < b.us ? a : b;
}
static bool may_retry(const inflight_request *flight) {
  return flight->route->mode == ROUTE_MODE_SAFE ||
         (flight->route->mode == ROUTE_MODE_STREAM && flight->route->resumable);
}
static const char *dialect_name_of(const inflight_request *flight, enum dialect_field k) {
  return flight->gateway->settings.dialect->header_names[k];
}

service_traffic *service_traffic_of(gateway *gateway, const service *service) {
  service_traffic *t = g_hash_table_lookup(gateway->traffic, service->name.text);
  if (t)
    return t;
  t = g_new0(service_traffic, 1);
  t->service = service->name;
  t->mean_first_event_ms = 150;
  t->mean_run_ms = 500;
  g_hash_table_insert(gateway->traffic, t->service.text, t);
  return t;
}

/* ends: what the caller is told */
static void give_up(inflight_request *flight, int status, int64_t back, const char *text) {
  flight->status = status;
  flight->retry_after_ms = back;
  flight->error_text = text;
}

static void send_local_response(gateway *gateway, http_request *request, int status,
                                int64_t back_ms, int64_t left, const char *text) {
  if (request->response_started || request->response_ended)
    return;
  if (!request->response_fields)
    request->response_fields = g_string_new(NULL);
  string_view rid;
  if (request->fields &&
      fields_get(request->fields, gateway->settings.dialect->header_names[DF_REQUEST_ID], &rid))
    fields_add(request->response_fields, gateway->settings.dialect->header_names[DF_REQUEST_ID],
               rid);
  if (status == 503) {
    int64_t ms = back_ms > 0 ? back_ms : 200;
    ms += (int64_t)world_random(request->world, (uint64_t)ms / 4 + 50);
    if (left > 0)
      ms = MIN(ms, left / 3);
    fields_add_format(request->response_fields, "Retry-After", "%" PRId64 ".%03" PRId64, ms / 1000,
                      ms % 1000);
  }
  fields_add(request->response_fields, "Content-Type", string_view_of("text/plain"));
  http_request_respond(request, status, NULL, string_view_of(text));
}

/* places at engines: counted from the choice on, so that two choices never take the same one */
static bool is_excluded(const inflight_request *flight, id who) {
  for (int i = 0; i < flight->excluded_count; i++)
    if (id_equal(flight->excluded[i], who))
      return true;
  return false;
}

static void exclude_engine(inflight_request *flight, id who) {
  if (!is_excluded(flight, who) && flight->excluded_count < MAX_EXCLUDED_ENGINES)
    flight->excluded[flight->excluded_count++] = who;
}

static bool reserve_engine(inflight_request *flight, reserved_slot *slot) {
  engine_select_request q = { .service = flight->service,
                              .model = flight->model,
                              .adapter = flight->adapter,
                              .prefix = flight->route->affinity ? flight->prefix : NULL,
                              .tokens = flight->tokens,
                              .target_ms = flight->route->target_ms,
                              .remaining_ms = first_event_left_ms(flight),
                              .priority = flight->route->priority,
                              .policy = flight->canary.version ? &flight->policy : NULL,
                              .run_once = !may_retry(flight),
                              .excluded = flight->excluded,
                              .excluded_count = flight->excluded_count };
  flight->select_result = ENGINE_SELECT_OK;
  gateway_engine *engine =
      engine_select(flight->gateway, &q, &flight->select_result, &flight->estimate_ms);
  if (!engine)
    return false;
  *slot = (reserved_slot){ engine, false, engine->own_running + engine->peers_running,
                           now_of(flight), flight->estimate_ms };
  gateway_engine_ref(engine);
  gateway_engine_record_sent(engine, flight->tokens);
  service_traffic_of(flight->gateway, flight->service)->running++;
  return true;
}

static void release_slot(inflight_request *flight, reserved_slot *slot, bool ok) {
  gateway_engine *engine = slot->engine;
  if (!engine)
    return;
  service_traffic *traffic = service_traffic_of(flight->gateway, flight->service);
  time_us now = now_of(flight);
  traffic->running--;
  if (traffic->slot_freed_at.us)
    traffic->mean_slot_interval_ms +=
        0.1 * (MIN((double)time_sub(now, traffic->slot_freed_at).us / 1000, 5000) -
               traffic->mean_slot_interval_ms);
  traffic->slot_freed_at = now;
  slot->engine = NULL;
  gateway_engine_record_end(engine, ok);
  gateway_engine_unref(engine);
  condition_broadcast(&flight->gateway->engines_changed);
}

/* takes a place elsewhere for one more attempt, when attempts, time and the budget allow it */
static bool reserve_retry_engine(inflight_request *flight) {
  if (flight->gateway->grace_over ||
      flight->attempts_sent >= (int)MAX(flight->route->attempts, 1) || flight->http->client_gone ||
      left_ms(flight) < 50 || !gateway_feature_enabled(flight->gateway, FEATURE_RETRIES) ||
      !retry_budget_available(flight->gateway, flight->service))
    return false;
  if (flight->slot.engine)
    exclude_engine(flight, flight->slot.engine->engine_id);
  if (!reserve_engine(flight, &flight->next_slot))
    return false;
  if (retry_budget_take(flight->gateway, flight->service))
    return true;
  release_slot(flight, &flight->next_slot, true);
  return false;
}

/* the line: who waits for the same thing, and comes first */
static bool same_target(const inflight_request *a, const inflight_request *b) {
  return id_equal(a->service->name, b->service->name) && id_equal(a->model, b->model) &&
         id_equal(a->adapter, b->adapter);
}

static int count_ahead(const inflight_request *flight, bool same) {
  int n = 0;
  list_for_each (o, &flight->gateway->queue, inflight_request, queue_link) {
    if (o == flight || o->queue_rank > flight->queue_rank)
      break;
    n += !o->slot.engine && !o->http->client_gone &&
         (same ? same_target(o, flight) && o->select_result == ENGINE_SELECT_ALL_BUSY
               : id_equal(o->service->name, flight->service->name));
  }
  return n;
}

static void queue_join(inflight_request *flight) {
  list_node *before = flight->gateway->queue.next;
  while (before != &flight->gateway->queue &&
         list_item(before, inflight_request, queue_link)->queue_rank <= flight->queue_rank)
    before = before->next;
  list_append(before, &flight->queue_link);
  flight->queued = true;
  service_traffic_of(flight->gateway, flight->service)->waiting++;
}

static void queue_leave(inflight_request *flight) {
  if (!flight->queued)
    return;
  list_remove(&flight->queue_link);
  flight->queued = false;
  service_traffic_of(flight->gateway, flight->service)->waiting--;
}

static void queue_run(void *p) {
  gateway *gateway = p;
  enum { THINGS = 24 };
  while (condition_wait(&gateway->router->node.world->tasks, &gateway->engines_changed,
                        time_never()) != WAKE_STOPPED) {
    const inflight_request *none[THINGS];
    int n = 0;
    list_for_each (flight, &gateway->queue, inflight_request, queue_link) {
      if (flight->slot.engine)
        continue;
      bool known = flight->http->client_gone || gateway->refusing_queued;
      for (int k = 0; k < n && !known; k++)
        known = same_target(none[k], flight) && !flight->excluded_count;
      if (!known && !reserve_engine(flight, &flight->slot)) {
        if (n < THINGS && !flight->excluded_count)
          none[n++] = flight;
      }
      if (flight->slot.engine || flight->http->client_gone || gateway->refusing_queued)
        condition_broadcast(&flight->wake);
    }
  }
}

void forward_wake_open_requests(gateway *gateway) {
  list_for_each (flight, &gateway->open_requests, inflight_request, open_link)
    if (flight->http->client_gone_condition)
      condition_broadcast(flight->http->client_gone_condition);
}

/* at the end of the grace nothing is waited for that has not begun; what has begun goes on as long
 * as the process does */
static bool past_grace_period(const inflight_request *flight) {
  return flight->gateway->grace_over && !flight->http->response_started;
}

void forward_start(gateway *gateway) {
  task_start(&gateway->router->node.world->tasks, "usher", queue_run, gateway);
}

/* how long until a first event, when a place has to come free for this one */
static double slot_wait_ms(const inflight_request *flight, double need) {
  const service_traffic *traffic = service_traffic_of(flight->gateway, flight->service);
  double one = traffic->mean_slot_interval_ms > 0 ? traffic->mean_slot_interval_ms
                                                  : traffic->mean_run_ms / MAX(traffic->running, 1);
  return MAX(need, flight->estimate_ms) + (count_ahead(flight, false) + 1) * one;
}

/* admit: is the request one that the configuration allows, and counted */
static int request_step_admit(inflight_request *flight) {
  gateway *gateway = flight->gateway;
  string_view v;
  if (fields_get(flight->http->fields, dialect_name_of(flight, DF_MODEL), &v) && v.length) {
    const char *slash = memchr(v.data, '/', v.length);
    string_view m = { v.data, slash ? (size_t)(slash - v.data) : v.length },
                ad = { slash ? slash + 1 : "", slash ? v.length - m.length - 1 : 0 };
    if (!id_is_valid(m) || (ad.length && !id_is_valid(ad))) {
      give_up(flight, 404, 0, "no such model\n");
      return E_UNKNOWN_MODEL;
    }
    flight->model = id_of(m);
    flight->adapter = id_of(ad);
  }
  const service_model_spec *m = flight->service->model_count && !id_is_empty(flight->model)
                                    ? service_find_model(flight->service, flight->model.text)
                                    : NULL;
  if (flight->service->model_count && !id_is_empty(flight->model) &&
      (!m || (!id_is_empty(flight->adapter) && !m->adapters))) {
    give_up(flight, 404, 0, "no such model\n");
    return E_UNKNOWN_MODEL;
  }
  /* a plain service holds no models */
  if (!flight->service->model_count)
    flight->model = flight->adapter = id_of_text("");
  if (fields_get(flight->http->fields, dialect_name_of(flight, DF_TOKENS), &v))
    flight->tokens = (double)strtol(v.data, NULL, 10);
  flight->prefix = fields_dup(flight->http->fields, dialect_name_of(flight, DF_PREFIX));
  retry_budget_record_request(gateway, flight->service);
  if (!id_is_empty(flight->model))
    event_history_append(&gateway->router->history,
                         (history_event){ .kind = EVENT_ROUTED,
                                          .model = flight->model,
                                          .adapter = flight->adapter,
                                          .value = flight->route->priority });
  return OK;
}

/* select: an engine now, unless others wait for the same and come first */
static int request_step_select(inflight_request *flight) {
  if (list_is_empty(&flight->gateway->queue) || !count_ahead(flight, true))
    reserve_engine(flight, &flight->slot);
  else
    flight->select_result = ENGINE_SELECT_ALL_BUSY;
  return OK;
}

/* hold: waits for a place or a load, but only while that can still do any good */
static int request_step_wait(inflight_request *flight) {
  gateway *gateway = flight->gateway;
  world *world = gateway->router->node.world;
  if (flight->slot.engine)
    return OK;
  time_us from = now_of(flight), asked = { 0 }, load_at = time_never();
  int64_t whole = MAX(first_event_left_ms(flight), 0),
          target = flight->route->target_ms > 0 ? flight->route->target_ms : whole;
  time_us quarter = time_add(flight->received_at, time_from_ms(target / 4)),
          half =
              time_add(flight->received_at,
                       time_from_ms(whole *
                                    (flight->canary.version ? flight->policy.wait_percent
                                                            : select_policy_default.wait_percent) /
                                    100));
  bool judged = false, wanted = false;
  int code = OK;
  queue_join(flight);
  flight->http->client_gone_condition = &flight->wake;
  for (;;) {
    time_us now = now_of(flight);
    if (flight->slot.engine) {
      code = OK;
      break;
    }
    if (world->tasks.stopped || gateway->refusing_queued) {
      give_up(flight, 503, DRAINING_RETRY_AFTER_MS, "this machine is leaving\n");
      code = E_DRAINING;
      break;
    }
    if (flight->http->client_gone) {
      code = E_PEER_GONE;
      break;
    }
    if (!count_ahead(flight, true) && reserve_engine(flight, &flight->slot)) {
      code = OK;
      break;
    }
    service_traffic *traffic = service_traffic_of(gateway, flight->service);
    int64_t left = first_event_left_ms(flight);
    double need = MIN(traffic->mean_first_event_ms, (double)target / 2);
    if (left <= need) {
      give_up(flight, 503, 0, "no engine came free in time\n");
      code = E_DEADLINE_EXCEEDED;
      break;
    }
    time_us step = time_add(now, time_from_ms(QUEUE_RECHECK_MS));
    if (flight->select_result == ENGINE_SELECT_NO_MODEL) {
      if (!wanted || time_reached(now, asked)) {
        double est = 0;
        int64_t wait = 0;
        int x = load_request_submit(gateway, flight->service, flight->model, flight->adapter,
                                    flight->route->priority, false, &est, &wait);
        gateway->counts.load_requests++;
        double all = est + (x ? (double)MAX(wait, 50) : 0);
        if (!wanted || x || time_reached(now, load_at)) {
          load_at = time_add(now, time_from_ms((int64_t)all));
          if (all + need > (double)left) {
            give_up(flight, 503, (int64_t)all, "its model can't be loaded in time\n");
            code = x ? x : E_DEADLINE_EXCEEDED;
            break;
          }
        }
        wanted = !x;
        asked = time_add(now, time_from_ms(x ? MAX(wait, 50) : 1000));
      }
      if (!wanted)
        step = earlier(step, asked);
    } else if (flight->select_result == ENGINE_SELECT_ALL_BUSY) {
      double est = slot_wait_ms(flight, need),
             spare = (double)target - ms_since(flight, flight->received_at);
      if (!judged && (time_reached(now, quarter) || est > spare)) {
        judged = true;
        if (est > spare && gateway_feature_enabled(gateway, FEATURE_EARLY_REFUSAL)) {
          give_up(flight, 503, (int64_t)est, "all engines are busy\n");
          code = E_DEADLINE_EXCEEDED;
          break;
        }
      }
      if (time_reached(now, half) || !gateway_feature_enabled(gateway, FEATURE_QUEUE)) {
        give_up(flight, 503, (int64_t)est, "all engines are busy\n");
        code = E_DEADLINE_EXCEEDED;
        break;
      }
      if (!judged)
        step = earlier(step, quarter);
    } else {
      time_us most = time_add(from, time_from_ms(target >= 4000 ? 1000 : target / 4));
      if (time_reached(now, most)) {
        give_up(flight, 503, 300, "no engine takes work now\n");
        code = E_NO_ENGINE;
        break;
      }
      step = earlier(step, most);
    }
    condition_wait(&world->tasks, &flight->wake, step);
  }
  flight->http->client_gone_condition = NULL;
  queue_leave(flight);
  flight->queued_ms += ms_since(flight, from);
  if (code && flight->slot.engine)
    release_slot(flight, &flight->slot, true);
  return code;
}

/* the answer as it goes back: the engine's fields but those of its own channel */
static void begin_response(inflight_request *flight, http_call *call) {
  static const char *const none[] = { NULL };
  http_request *request = flight->http;
  if (request->response_started)
    return;
  if (!request->response_fields)
    request->response_fields = g_string_new(NULL);
  flight->response_begun_ms = ms_since(flight, flight->received_at);
  fields_forward(call->response_fields, request->response_fields, none);
}

static void send_complete_response(inflight_request *flight, http_call *call) {
  begin_response(flight, call);
  http_request_respond(flight->http, call->status, NULL,
                       string_view_of_gstring(call->response_body));
}

static void record_first_event(inflight_request *flight, double ms) {
  if (flight->slot.first_event_seen)
    return;
  flight->slot.first_event_seen = true;
  flight->first_event_ms = ms;
  gateway_engine_record_first_event(flight->slot.engine, flight->tokens, ms,
                                    flight->slot.running_at_start);
  service_traffic *traffic = service_traffic_of(flight->gateway, flight->service);
  traffic->mean_first_event_ms += 0.1 * (ms - traffic->mean_first_event_ms);
}

/* silence after which a request that may be repeated tries another engine: sooner when nothing else
 * comes from it either */
static time_us unresponsive_deadline(const inflight_request *flight, const http_call *call,
                                     time_us last, bool passed) {
  double usual = MAX(service_traffic_of(flight->gateway, flight->service)->mean_first_event_ms,
                     flight->slot.estimate_ms),
         span = MAX(3 * usual, 250);
  if (passed)
    span = MAX(1000, 3.0 * (double)flight->route->gap_target_ms);
  if (flight->slot.engine->last_byte_at.us > last.us + 100000) {
    /* the engine lives, and is only slow with this one, or has lost it */
    double third =
        (double)time_sub(flight->deadline, call->sent_at.us ? call->sent_at : flight->received_at)
            .us /
        3000;
    span = passed ? 3 * span : MAX(2 * span, third);
  }
  return time_add(last, time_from_ms((int64_t)span));
}

/* true when the silence was long enough and a place was taken elsewhere; else says when to look
 * again at the latest */
static bool unresponsive_and_retried(inflight_request *flight, const http_call *call, time_us last,
                                     bool passed, time_us *again, time_us *till) {
  time_us now = now_of(flight), quiet = unresponsive_deadline(flight, call, last, passed);
  if (again->us > quiet.us)
    quiet = *again;
  if (time_reached(now, quiet)) {
    if (reserve_retry_engine(flight))
      return true;
    *again = quiet = time_add(now, time_from_ms(RETRY_INTERVAL_MS));
  }
  *till = earlier(*till, quiet);
  return false;
}

static void versions_record(inflight_request *flight, string_view v) {
  /* of a list, the last is in force */
  for (size_t i = v.length; i > 0; i--)
    if (v.data[i - 1] == ',' || v.data[i - 1] == ' ') {
      v.data += i;
      v.length -= i;
      break;
    }
  if (!v.length || v.length >= sizeof flight->versions)
    return;
  memcpy(flight->versions, v.data, v.length);
  flight->versions[v.length] = 0;
}

/* notes what passes, and finds where the part begins that has not been passed on yet; false when
 * the runs don't fit together */
static bool events_track(inflight_request *flight, const char *p, size_t n, size_t *from) {
  size_t at = 0;
  bool kept = false;
  *from = 0;
  while (at < n) {
    event_info h;
    size_t len = event_parse(p + at, n - at, dialect_name_of(flight, DF_WEIGHT_VERSIONS), &h);
    if (h.weight_versions.length)
      versions_record(flight, h.weight_versions);
    if (flight->resumed) {
      if (!h.has_id && h.has_data)
        return false;
      if (h.has_id && h.id <= flight->last_id) {
        if (kept)
          return false;
        *from = at + len;
      } else
        kept = true;
    }
    if (h.has_id && h.id >= flight->last_id)
      flight->last_id = h.id;
    else if (h.has_data && !flight->resumed)
      flight->unresumable = true;
    at += len;
  }
  return true;
}

/* may go on elsewhere within the same answer */
static bool can_resume(const inflight_request *flight) {
  return !flight->http->response_started ||
         (gateway_feature_enabled(flight->gateway, FEATURE_RESUME) && flight->route->resumable &&
          !flight->unresumable && flight->last_id);
}

static enum attempt_outcome forward_stream(inflight_request *flight, http_call *call,
                                           time_us *sent) {
  http_request *request = flight->http;
  world *world = request->world;
  time_us last = now_of(flight),
          over = time_add(flight->deadline, time_from_ms(DEADLINE_MARGIN_MS)), again = { 0 };
  bool events = false;
  for (;;) {
    if (request->client_gone || world->tasks.stopped)
      return ATTEMPT_OUTCOME_CLIENT_LEFT;
    time_us now = now_of(flight);
    if (call->response_body->len) {
      flight->last_event_bytes_at = last = flight->slot.engine->last_byte_at = now;
      again = (time_us){ 0 };
    }
    size_t n = event_complete_length(call->response_body->str, call->response_body->len), from = 0;
    if (n) {
      if (!events) {
        record_first_event(flight, (double)time_sub(now, *sent).us / 1000);
        events = true;
      }
      if (!events_track(flight, call->response_body->str, n, &from))
        return ATTEMPT_OUTCOME_FAILED;
      if (from < n) {
        if (!request->response_started) {
          begin_response(flight, call);
          http_request_begin(request, call->status, NULL);
        }
        int x = http_request_write(
            request, (string_view){ call->response_body->str + from, n - from }, over);
        if (x == E_STOPPING || x == E_PEER_GONE)
          return ATTEMPT_OUTCOME_CLIENT_LEFT;
        if (x)
          return ATTEMPT_OUTCOME_TIMEOUT;
      }
      g_string_erase(call->response_body, 0, (gssize)n);
      continue;
    }
    if (call->ended && !call->response_body->len) {
      if (!request->response_started) {
        begin_response(flight, call);
        http_request_begin(request, call->status, NULL);
      }
      http_request_end(request, true);
      return ATTEMPT_OUTCOME_DONE;
    }
    if (past_grace_period(flight))
      return ATTEMPT_OUTCOME_STOPPED;
    if (call->ended || call->broken || call->response_body->len > MAX_BODY_BYTES)
      return can_resume(flight) && may_retry(flight) && reserve_retry_engine(flight)
                 ? ATTEMPT_OUTCOME_RETRY
                 : ATTEMPT_OUTCOME_FAILED;
    if (time_reached(now, over))
      return ATTEMPT_OUTCOME_TIMEOUT;
    time_us till = over;
    if (may_retry(flight) && can_resume(flight) &&
        unresponsive_and_retried(flight, call, last, events, &again, &till))
      return ATTEMPT_OUTCOME_RETRY;
    condition_wait(&world->tasks, &call->progressed, till);
  }
}

/* reads an answer whole, so that one that is cut short never looks complete */
static enum attempt_outcome forward_complete_response(inflight_request *flight, http_call *call,
                                                      bool stamped) {
  http_request *request = flight->http;
  world *world = request->world;
  time_us over = time_add(flight->deadline, time_from_ms(DEADLINE_MARGIN_MS)),
          last = now_of(flight), again = { 0 };
  size_t had = 0;
  while (!call->ended && !call->broken) {
    if (request->client_gone || world->tasks.stopped)
      return ATTEMPT_OUTCOME_CLIENT_LEFT;
    time_us now = now_of(flight);
    if (call->response_body->len > had) {
      had = call->response_body->len;
      last = flight->slot.engine->last_byte_at = now;
    }
    if (had > MAX_BODY_BYTES)
      return ATTEMPT_OUTCOME_FAILED;
    if (past_grace_period(flight))
      return ATTEMPT_OUTCOME_STOPPED;
    if (time_reached(now, over))
      return ATTEMPT_OUTCOME_TIMEOUT;
    time_us till = over;
    if (may_retry(flight) && unresponsive_and_retried(flight, call, last, false, &again, &till))
      return ATTEMPT_OUTCOME_RETRY;
    condition_wait(&world->tasks, &call->progressed, till);
  }
  if (request->client_gone)
    return ATTEMPT_OUTCOME_CLIENT_LEFT;
  if (call->broken)
    return may_retry(flight) && reserve_retry_engine(flight) ? ATTEMPT_OUTCOME_RETRY
                                                             : ATTEMPT_OUTCOME_FAILED;
  flight->slot.engine->last_byte_at = now_of(flight);
  if (stamped || !may_retry(flight) || call->status < 500 || !reserve_retry_engine(flight)) {
    send_complete_response(flight, call);
    return ATTEMPT_OUTCOME_DONE;
  }
  return ATTEMPT_OUTCOME_RETRY;
}

static bool needs_new_connection(const inflight_request *flight, const gateway_engine *engine) {
  if (engine->suspect)
    return true;
  if (may_retry(flight))
    return false;
  /* a kept channel to an engine that has gone dark would lose what may be sent only once */
  time_us heard = engine->last_byte_at.us > engine->heartbeat_at.us ? engine->last_byte_at
                                                                    : engine->heartbeat_at;
  return time_sub(now_of(flight), heard).us > RECENTLY_HEARD_MS * 1000;
}

static http_call *open_call(inflight_request *flight, time_us now) {
  gateway_engine *engine = flight->slot.engine;
  g_string_truncate(flight->request_fields, flight->base_fields_length);
  fields_add_format(flight->request_fields, dialect_name_of(flight, DF_TIME_LEFT_MS), "%" PRId64,
                    MAX(left_ms(flight), 1));
  fields_add(flight->request_fields, dialect_name_of(flight, DF_EXPECT_ENGINE),
             string_view_of(engine->engine_id.text));
  if (flight->canary.version && dialect_name_of(flight, DF_POLICY))
    fields_add_format(flight->request_fields, dialect_name_of(flight, DF_POLICY), "%s %s",
                      flight->canary_name,
                      flight->canary.side == CANARY_ARM_CANDIDATE ? "candidate" : "old");
  if (flight->resumed) {
    fields_add_format(flight->request_fields, dialect_name_of(flight, DF_LAST_EVENT_ID), "%" PRIu64,
                      flight->last_id);
    if (flight->versions[0])
      fields_add(flight->request_fields, dialect_name_of(flight, DF_EXPECT_VERSION),
                 string_view_of(flight->versions));
  } else {
    static const enum dialect_field kept[] = { DF_LAST_EVENT_ID, DF_EXPECT_VERSION };
    string_view v;
    for (size_t k = 0; k < G_N_ELEMENTS(kept); k++)
      if (fields_get(flight->http->fields, dialect_name_of(flight, kept[k]), &v))
        fields_add(flight->request_fields, dialect_name_of(flight, kept[k]), v);
  }
  http_call *call = http_call_open_fields(
      flight->http->world, engine->addr, flight->http->method, flight->http->target,
      flight->request_fields, string_view_of_gstring(flight->http->body),
      needs_new_connection(flight, engine), time_add(now, time_from_ms(SEND_DEADLINE_MS)));
  http_call_require_field(call, dialect_name_of(flight, DF_REQUEST_ID),
                          string_view_of(flight->request_id));
  return call;
}

/* one attempt, up to the engine's first line */
static enum attempt_outcome await_response_head(inflight_request *flight, http_call *call,
                                                time_us from) {
  http_request *request = flight->http;
  world *world = request->world;
  time_us up = time_add(from, time_from_ms(CONNECT_TIMEOUT_MS)),
          over = time_add(flight->deadline, time_from_ms(DEADLINE_MARGIN_MS)), again = { 0 };
  bool counted = false;
  for (;;) {
    if (call->sent && !counted) {
      counted = true;
      flight->attempts_sent++;
      flight->gateway->counts.attempts++;
    }
    if (call->status)
      return ATTEMPT_OUTCOME_DONE;
    if (request->client_gone || world->tasks.stopped)
      return ATTEMPT_OUTCOME_CLIENT_LEFT;
    if (call->broken || call->ended)
      return !call->sent                                         ? ATTEMPT_OUTCOME_NOT_SENT
             : may_retry(flight) && reserve_retry_engine(flight) ? ATTEMPT_OUTCOME_RETRY
                                                                 : ATTEMPT_OUTCOME_FAILED;
    if (past_grace_period(flight))
      return call->sent ? ATTEMPT_OUTCOME_STOPPED : ATTEMPT_OUTCOME_NOT_SENT;
    time_us now = now_of(flight), till = over;
    if (!call->sent) {
      if (time_reached(now, up))
        return ATTEMPT_OUTCOME_NOT_SENT;
      till = up;
    } else {
      if (time_reached(now, over))
        return ATTEMPT_OUTCOME_TIMEOUT;
      if (may_retry(flight) &&
          unresponsive_and_retried(flight, call, call->sent_at.us ? call->sent_at : from, false,
                                   &again, &till))
        return ATTEMPT_OUTCOME_RETRY;
    }
    condition_wait(&world->tasks, &call->progressed, till);
  }
}

/* statuses by which callers know that a request has not run and never will */
static bool status_means_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* True when an engine's failure must not be passed on: its status would promise a caller something
 * that the engine has not said, or it bears no stamp and would look like our own refusal, after
 * which callers don't come back. */
static bool status_misleads(const inflight_request *flight, int status, bool stamped,
                            bool not_run) {
  if (not_run || status / 100 == 2)
    return false;
  if (status_means_not_run(status) && !may_retry(flight))
    return true;
  return !stamped && status / 100 != 5;
}

static enum attempt_outcome evaluate_response_head(inflight_request *flight, http_call *call,
                                                   time_us from) {
  gateway_engine *engine = flight->slot.engine;
  string_view v;
  engine->last_byte_at = now_of(flight);
  bool ok = call->status >= 200 && call->status < 300;
  bool stamped =
      fields_get(call->response_fields, dialect_name_of(flight, DF_STAMP), &v) && v.length;
  bool not_run = fields_get(call->response_fields, dialect_name_of(flight, DF_NOT_RUN), &v);
  flight->declined = call->status == 421 || (not_run && call->status != 400);
  if (flight->declined) {
    /* it is not there any more, whatever was said before */
    if (call->status == 421 && !id_is_empty(flight->model) && !flight->resumed &&
        !fields_get(flight->http->fields, dialect_name_of(flight, DF_EXPECT_VERSION), &v))
      gateway_engine_mark_unloaded(engine, flight->model, flight->adapter);
    else if (!engine->ejected_until.us || time_reached(engine->last_byte_at, engine->ejected_until))
      engine->ejected_until =
          time_add(engine->last_byte_at,
                   time_from_ms(SHUN_MS + (int64_t)world_random(flight->http->world, SHUN_MS)));
    return reserve_retry_engine(flight) ? ATTEMPT_OUTCOME_RETRY : ATTEMPT_OUTCOME_NOT_RUN;
  }
  if (ok && (!stamped || fields_get(call->response_fields, "Content-Encoding", &v)))
    return may_retry(flight) && reserve_retry_engine(flight) ? ATTEMPT_OUTCOME_RETRY
                                                             : ATTEMPT_OUTCOME_FAILED;
  if (status_misleads(flight, call->status, stamped, not_run))
    return may_retry(flight) && reserve_retry_engine(flight) ? ATTEMPT_OUTCOME_RETRY
                                                             : ATTEMPT_OUTCOME_FAILED;
  bool events = ok && flight->route->mode == ROUTE_MODE_STREAM &&
                fields_get(call->response_fields, "Content-Type", &v) && v.length >= 17 &&
                !g_ascii_strncasecmp(v.data, "text/event-stream", 17);
  if (flight->http->response_started && (call->status != 200 || !events))
    return reserve_retry_engine(flight) ? ATTEMPT_OUTCOME_RETRY : ATTEMPT_OUTCOME_FAILED;
  time_us sent = call->sent_at.us ? call->sent_at : from;
  if (events) {
    if (fields_get(call->response_fields, dialect_name_of(flight, DF_WEIGHT_VERSIONS), &v))
      versions_record(flight, v);
    return forward_stream(flight, call, &sent);
  }
  if (call->status < 500)
    record_first_event(flight, (double)time_sub(engine->last_byte_at, sent).us / 1000);
  return forward_complete_response(flight, call, ok);
}

static enum attempt_outcome forward_attempt(inflight_request *flight) {
  time_us from = flight->last_event_bytes_at = now_of(flight);
  /* bytes are only joined behind what was passed on; before that, a stream is sent anew */
  flight->resumed = flight->http->response_started;
  flight->declined = false;
  http_call *call = open_call(flight, from);
  flight->last_engine = flight->slot.engine->engine_id;
  flight->http->client_gone_condition = &call->progressed;
  enum attempt_outcome e = await_response_head(flight, call, from);
  bool headed = call->status != 0;
  if (e == ATTEMPT_OUTCOME_DONE)
    e = evaluate_response_head(flight, call, from);
  flight->http->client_gone_condition = NULL;
  if (call->sent && !flight->declined)
    flight->may_have_run = true;
  /* an engine that fails by itself is quick at it: that must not draw more work there */
  bool own = call->status >= 500 && call->status != 504 && !flight->declined,
       ok = (e == ATTEMPT_OUTCOME_DONE && !own) || e == ATTEMPT_OUTCOME_NOT_RUN ||
            e == ATTEMPT_OUTCOME_STOPPED;
  if (e == ATTEMPT_OUTCOME_CLIENT_LEFT)
    ok =
        headed ||
        ms_since(flight, from) <
            MAX(500, 3 * service_traffic_of(flight->gateway, flight->service)->mean_first_event_ms);
  if (e == ATTEMPT_OUTCOME_RETRY)
    ok = headed && !call->broken && !own;
  if (e == ATTEMPT_OUTCOME_TIMEOUT)
    ok = headed;
  /* a stream that fell silent at an engine that is not busy */
  if ((e == ATTEMPT_OUTCOME_CLIENT_LEFT || e == ATTEMPT_OUTCOME_TIMEOUT) && ok && headed &&
      ms_since(flight, flight->last_event_bytes_at) >
          MAX(1000, 3.0 * (double)flight->route->gap_target_ms) &&
      gateway_engine_lightly_loaded(flight->slot.engine))
    gateway_engine_add_own_failure(flight->slot.engine);
  if (e == ATTEMPT_OUTCOME_NOT_SENT)
    exclude_engine(flight, flight->slot.engine->engine_id);
  if (e == ATTEMPT_OUTCOME_DONE) {
    service_traffic *traffic = service_traffic_of(flight->gateway, flight->service);
    traffic->mean_run_ms += 0.1 * (ms_since(flight, from) - traffic->mean_run_ms);
  }
  if (e == ATTEMPT_OUTCOME_DONE && flight->route->mode == ROUTE_MODE_STREAM && call->status == 200)
    route_durations_record(flight->gateway->route_durations, flight->route->name,
                           ms_since(flight, flight->received_at));
  http_call_close(call);
  release_slot(flight, &flight->slot, ok);
  flight->slot = flight->next_slot;
  flight->next_slot = (reserved_slot){ 0 };
  if (e == ATTEMPT_OUTCOME_RETRY && flight->http->response_started)
    flight->gateway->counts.resumed++;
  return e;
}

/* forward: sends it, and once more where that is allowed */
static int request_step_forward(inflight_request *flight) {
  for (int tries = 0;;) {
    if (!flight->slot.engine) {
      int x = request_step_wait(flight);
      if (x)
        return x;
    }
    if (flight->http->client_gone) {
      release_slot(flight, &flight->slot, true);
      return E_PEER_GONE;
    }
    switch (forward_attempt(flight)) {
    case ATTEMPT_OUTCOME_DONE:
      return OK;
    case ATTEMPT_OUTCOME_RETRY:
      break;
    case ATTEMPT_OUTCOME_NOT_SENT:
      if (++tries >= MAX_CONNECT_ATTEMPTS || flight->http->client_gone) {
        give_up(flight, 503, 300, "no engine could be reached\n");
        return E_NO_ENGINE;
      }
      /* an extra attempt that was taken and not sent is still there to use */
      if (flight->attempts_sent && !reserve_engine(flight, &flight->slot)) {
        give_up(flight, 503, 300, "no engine could be reached\n");
        return E_NO_ENGINE;
      }
      if (!flight->attempts_sent)
        reserve_engine(flight, &flight->slot);
      break;
    case ATTEMPT_OUTCOME_NOT_RUN:
      give_up(flight, 503, 200, "the engine did not take it\n");
      return E_OVERLOADED;
    case ATTEMPT_OUTCOME_FAILED:
      give_up(flight, 502, 0, "the engine broke off\n");
      return E_STREAM_BROKEN;
    case ATTEMPT_OUTCOME_TIMEOUT:
      give_up(flight, 504, 0, "the engine gave no answer in time\n");
      return E_DEADLINE_EXCEEDED;
    case ATTEMPT_OUTCOME_STOPPED:
      give_up(flight, 502, 0, "this machine has stopped before the engine answered\n");
      return E_DRAINING;
    case ATTEMPT_OUTCOME_CLIENT_LEFT:
      return E_PEER_GONE;
    }
  }
}

/* the way of a request by its route's mode, as steps */
enum request_step {
  REQUEST_STEP_END,
  REQUEST_STEP_ADMIT,
  REQUEST_STEP_SELECT,
  REQUEST_STEP_WAIT,
  REQUEST_STEP_FORWARD
};
static const enum request_step ways[][5] = {
  [ROUTE_MODE_ONCE] = { REQUEST_STEP_ADMIT, REQUEST_STEP_SELECT, REQUEST_STEP_WAIT,
                        REQUEST_STEP_FORWARD, REQUEST_STEP_END },
  [ROUTE_MODE_SAFE] = { REQUEST_STEP_ADMIT, REQUEST_STEP_SELECT, REQUEST_STEP_WAIT,
                        REQUEST_STEP_FORWARD, REQUEST_STEP_END },
  [ROUTE_MODE_STREAM] = { REQUEST_STEP_ADMIT, REQUEST_STEP_SELECT, REQUEST_STEP_WAIT,
                          REQUEST_STEP_FORWARD, REQUEST_STEP_END },
};

static int run_steps(inflight_request *flight) {
  int code = OK;
  for (const enum request_step *s = ways[flight->route->mode]; !code && *s != REQUEST_STEP_END; s++)
    switch (*s) {
    case REQUEST_STEP_ADMIT:
      code = request_step_admit(flight);
      break;
    case REQUEST_STEP_SELECT:
      code = request_step_select(flight);
      break;
    case REQUEST_STEP_WAIT:
      code = request_step_wait(flight);
      break;
    case REQUEST_STEP_FORWARD:
      code = request_step_forward(flight);
      break;
    case REQUEST_STEP_END:
      break;
    }
  return code;
}

/* why a request that ended with a code was not served; UNSERVED_COUNT when that is the caller's
 * doing */
static enum unserved_reason unserved_reason_of(const inflight_request *flight, int code) {
  switch (code) {
  case E_OVERLOADED:
    return UNSERVED_DECLINED;
  case E_DRAINING:
    return UNSERVED_DRAINING;
  case E_STREAM_BROKEN:
    return UNSERVED_BROKEN;
  case E_PEER_GONE:
    return flight->attempts_sent ? UNSERVED_COUNT : UNSERVED_CLIENT_LEFT_WAITING;
  case E_UNKNOWN_MODEL:
    return flight->status == 404 ? UNSERVED_COUNT : UNSERVED_NO_MODEL;
  default:
    return flight->attempts_sent                             ? UNSERVED_TIMEOUT
           : flight->select_result == ENGINE_SELECT_NO_MODEL ? UNSERVED_NO_MODEL
           : flight->select_result == ENGINE_SELECT_ALL_BUSY ? UNSERVED_BUSY
                                                             : UNSERVED_NO_ENGINE;
  }
}

static void finish_request(inflight_request *flight, int code) {
  gateway *gateway = flight->gateway;
  http_request *request = flight->http;
  log_debug(
      &gateway->router->node.log, "forward",
      "%s of %s, priority %u, model %s+%s, %.0f tokens: code %d, status %d, gone %d, after %.0f ms, held %.0f ms, estimated %.0f ms, first %.0f ms, sent %d, at %s, %s.",
      flight->request_id, flight->route->name.text, flight->route->priority, flight->model.text,
      flight->adapter.text, flight->tokens, code,
      request->response_started ? request->status : flight->status, request->client_gone,
      ms_since(flight, flight->received_at), flight->queued_ms, flight->estimate_ms,
      flight->first_event_ms, flight->attempts_sent, flight->last_engine.text,
      flight->error_text ? flight->error_text : "-");
  if (!code) {
    gateway->counts.served++;
    return;
  }
  enum unserved_reason reason = unserved_reason_of(flight, code);
  if (reason < UNSERVED_COUNT)
    gateway->counts.unserved[reason]++;
  if (code == E_PEER_GONE || request->client_gone) {
    gateway->counts.client_left++;
    if (!request->response_ended)
      http_request_end(request, false);
    return;
  }
  /* a request that may have run is never said not to have */
  int status = flight->status ? flight->status : 503;
  if (status == 503 && flight->may_have_run && !may_retry(flight))
    status = 502;
  if (status == 503)
    gateway->counts.refused++;
  else if (status == 404)
    gateway->counts.no_route++;
  else
    gateway->counts.failed++;
  if (request->response_started) {
    log_debug(&gateway->router->node.log, "forward", "A stream of %s is cut (code %d).",
              flight->service->name.text, code);
    http_request_end(request, false);
  } else
    send_local_response(gateway, request, status, flight->retry_after_ms, left_ms(flight),
                        flight->error_text ? flight->error_text : "not served\n");
}

static const char *request_phase(const inflight_request *flight) {
  return flight->http->response_started ? "its answer has begun"
         : !flight->slot.engine         ? "it waits for an engine"
         : flight->attempts_sent        ? "it was sent to an engine"
                                        : "an engine is chosen";
}

void forward_log_open_requests(gateway *gateway) {
  int lines = 0;
  list_for_each (flight, &gateway->open_requests, inflight_request, open_link) {
    if (lines++ >= MAX_OPEN_REQUEST_LINES)
      return;
    log_info(&gateway->router->node.log, "gateway",
             "Request %s of %s is left: number %u of its connection, taken %" PRId64
             " ms after the order to stop, %" PRId64 " ms ago; %s (%s).",
             flight->request_id, flight->route->name.text, flight->http->connection_request_number,
             time_sub(flight->received_at, gateway->drain_started_at).us / 1000,
             (int64_t)ms_since(flight, flight->received_at), request_phase(flight),
             flight->slot.engine ? flight->slot.engine->engine_id.text : "-");
  }
}

/* the fields that stay as they came; the others are added for each attempt */
static void build_base_fields(inflight_request *flight) {
  const char *skip[] = { dialect_name_of(flight, DF_TIME_LEFT_MS),
                         dialect_name_of(flight, DF_EXPECT_ENGINE),
                         dialect_name_of(flight, DF_PRIORITY),
                         dialect_name_of(flight, DF_LAST_EVENT_ID),
                         dialect_name_of(flight, DF_EXPECT_VERSION),
                         "host",
                         dialect_name_of(flight, DF_POLICY),
                         dialect_name_of(flight, DF_REQUEST_ID),
                         NULL };
  string_view host;
  flight->request_fields = g_string_sized_new(flight->http->fields->len + 256);
  if (!fields_get(flight->http->fields, "Host", &host))
    host = string_view_of(flight->http->host);
  fields_add(flight->request_fields, "Host", host);
  /* always sent, also when the caller's Connection field names it: answers are known by it */
  fields_add(flight->request_fields, dialect_name_of(flight, DF_REQUEST_ID),
             string_view_of(flight->request_id));
  fields_forward(flight->http->fields, flight->request_fields, skip);
  fields_add_format(flight->request_fields, dialect_name_of(flight, DF_PRIORITY), "%u",
                    MIN(9, 1 + 2 * flight->route->priority));
  flight->base_fields_length = flight->request_fields->len;
}

static void canary_assign(inflight_request *flight) {
  flight->canary = canary_admit(flight->gateway, flight->http, flight->route);
  if (!flight->canary.version)
    return;
  flight->policy = *canary_policy(flight->gateway, &flight->canary);
  g_strlcpy(flight->canary_name, canary_name(flight->gateway), sizeof flight->canary_name);
}

/* A stream that nobody can take up again would be cut by the end of this process; its caller has
 * time to go elsewhere now. */
static bool outlasts_process(const inflight_request *flight) {
  if (flight->route->mode != ROUTE_MODE_STREAM || flight->route->resumable ||
      !gateway_feature_enabled(flight->gateway, FEATURE_DRAIN_STREAMS))
    return false;
  return route_durations_upper_ms(flight->gateway->route_durations, flight->route->name) >
         (double)gateway_remaining_ms(flight->gateway);
}

void forward_request(void *ctx, http_request *request) {
  gateway *gateway = ctx;
  world *world = gateway->router->node.world;
  time_us came = request->received_at.us ? request->received_at : world_now(world);
  gateway->counts.requests++;
  if (!gateway->routing) {
    gateway->counts.refused++;
    send_local_response(gateway, request, 503, 500, 0, "no configuration is known yet\n");
    return;
  }
  const char *end = strchr(request->target, '?');
  const route *route =
      routing_find_route(gateway->routing, string_view_of(request->host),
                         (string_view){ request->target, end ? (size_t)(end - request->target)
                                                             : strlen(request->target) });
  if (!route) {
    gateway->counts.no_route++;
    send_local_response(gateway, request, 404, 0, 0, "no such route\n");
    return;
  }
  string_view rid;
  const char *id_field = gateway->settings.dialect->header_names[DF_REQUEST_ID];
  if (!fields_get(request->fields, id_field, &rid) || !rid.length) {
    send_local_response(gateway, request, 400, 0, 0, "the request has no id\n");
    return;
  }
  if (fields_count(request->fields, id_field) > 1) {
    send_local_response(gateway, request, 400, 0, 0, "the request has more than one id\n");
    return;
  }
  int64_t left = fields_get_number(
      request->fields, gateway->settings.dialect->header_names[DF_TIME_LEFT_MS], route->timeout_ms);
  left = MIN(left, route->timeout_ms);
  inflight_request f = { .gateway = gateway,
                         .http = request,
                         .routing = routing_ref((routing *)gateway->routing),
                         .route = route,
                         .received_at = came,
                         .deadline = time_add(came, time_from_ms(left)),
                         .response_begun_ms = -1 };
  f.service = route_pick_service(route, (double)world_random(world, 1 << 20) / (1 << 20));
  f.request_id = g_strndup(rid.data, rid.length);
  f.queue_rank = came.us + (int64_t)route->priority * PRIORITY_AGE_MS * 1000;
  condition_init(&f.wake);
  if (gateway->admission_stopped || outlasts_process(&f)) {
    gateway->counts.unserved[UNSERVED_DRAINING]++;
    gateway->counts.refused++;
    send_local_response(gateway, request, 503, DRAINING_RETRY_AFTER_MS, left,
                        "this machine is leaving\n");
  } else {
    build_base_fields(&f);
    gateway->open_request_count++;
    list_append(&gateway->open_requests, &f.open_link);
    if (gateway->canary)
      canary_assign(&f);
    int code = run_steps(&f);
    /* a caller who left early shows nothing; one who left after its aim was let down */
    bool left = code == E_PEER_GONE || request->client_gone;
    double took = ms_since(&f, came);
    bool began = request->response_started;
    finish_request(&f, code);
    int told = left ? (f.response_begun_ms < 0 && took > (double)route->target_ms ? 504 : 0)
               : code && began ? 502
                               : request->status;
    if (f.canary.version)
      canary_record_result(gateway, &f.canary, route, f.response_begun_ms, told);
    gateway->open_request_count--;
    list_remove(&f.open_link);
  }
  if (f.slot.engine)
    release_slot(&f, &f.slot, true);
  if (f.next_slot.engine)
    release_slot(&f, &f.next_slot, true);
  if (f.request_fields)
    g_string_free(f.request_fields, TRUE);
  g_free(f.prefix);
  g_free(f.request_id);
  routing_unref(f.routing);
}
