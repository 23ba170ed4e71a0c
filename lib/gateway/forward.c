#include "event_stream.h"
#include "gateway.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

/* UP_MS: how long a connection may take to come up; SEND_MS: nothing is sent later than that after
 * the choice. */
enum {
  UP_MS = 300,
  SEND_MS = 400,
  TRIES = 4,
  AVOID_MOST = 8,
  BODY_MOST = 8 << 20,
  HEARD_MS = 2000,
  LATE_MS = 250,
  AGAIN_MS = 500,
  STEP_MS = 200,
  SHUN_MS = 150,
  AGE_MS = 400,
  SILENCE_MS = 2000,
  OPEN_LINES_MOST = 40,
  /* other machines are there to ask */
  LEAVING_BACK_MS = 20
};

/** What became of one attempt. */
enum end {
  END_DONE,
  END_AGAIN,
  END_NOT_SENT,
  END_NOT_RUN,
  END_FAILED,
  END_LATE,
  END_LEFT,
  END_STOPPED
};
/** A place taken at an engine. */
typedef struct engine_slot {
  instance *instance;
  bool first;
  int running_then;
  time_us at;
  double est;
} engine_slot;

/** A request on its way. */
typedef struct inflight_request {
  list_node queue_link, open_link;
  condition wake;
  gateway *gateway;
  http_request *http;
  routing *conf;
  const route *route;
  const service *service;
  id model, adapter, avoid[AVOID_MOST];
  int avoided, sends;
  double tokens, est;
  char *prefix, *request;
  fields *out;
  size_t out_base;
  time_us till, since;
  int64_t rank;
  enum pick_none why;
  bool lined, declined, maybe;
  engine_slot slot, next_slot;
  /* of a stream: what was passed on */
  bool joined, unsure;
  uint64_t last_id;
  time_us heard; /* when the last bytes of a stream came */
  char versions[24];
  /* of an end that is ours */
  int status;
  int64_t back;
  const char *text;
  double held_ms, first_ms;
  id last;
  /* the policy that it goes by from its first line to its last, whatever is in force by then */
  canary_part part;
  select_policy policy;
  char trial[48];
  double begun_ms;
} inflight_request;

static time_us now_of(const inflight_request *flight) {
  return world_now(flight->gateway->router->node.world);
}
static double ms_since(const inflight_request *flight, time_us from) {
  return (double)time_sub(now_of(flight), from).us / 1000;
}
static int64_t left_ms(const inflight_request *flight) {
  return time_sub(flight->till, now_of(flight)).us / 1000;
}
/* until the first event: callers give a stream up after a silence that its route's bounds tell */
static int64_t first_left_ms(const inflight_request *flight) {
  if (flight->route->mode != ROUTE_MODE_STREAM || flight->http->response_started)
    return left_ms(flight);
  int64_t most =
      MAX(SILENCE_MS, MAX(4 * flight->route->target_ms, 8 * flight->route->gap_target_ms));
  return MIN(left_ms(flight),
             time_sub(time_add(flight->since, time_from_ms(most)), now_of(flight)).us / 1000);
}
static time_us sooner(time_us a, time_us b) {
  return a.us < b.us ? a : b;
}
static bool repeats(const inflight_request *flight) {
  return flight->route->mode == ROUTE_MODE_SAFE ||
         (flight->route->mode == ROUTE_MODE_STREAM && flight->route->resumable);
}
static const char *word(const inflight_request *flight, enum dialect_field k) {
  return flight->gateway->settings.dialect->header_names[k];
}

traffic *traffic_of(gateway *gateway, const service *service) {
  traffic *t = g_hash_table_lookup(gateway->traffic, service->name.text);
  if (t)
    return t;
  t = g_new0(traffic, 1);
  t->service = service->name;
  t->first_ms = 150;
  t->run_ms = 500;
  g_hash_table_insert(gateway->traffic, t->service.text, t);
  return t;
}

/* ends: what the caller is told */
static void give_up(inflight_request *flight, int status, int64_t back, const char *text) {
  flight->status = status;
  flight->back = back;
  flight->text = text;
}

static void answer(gateway *gateway, http_request *request, int status, int64_t back_ms,
                   int64_t left, const char *text) {
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
static bool avoids(const inflight_request *flight, id who) {
  for (int i = 0; i < flight->avoided; i++)
    if (id_equal(flight->avoid[i], who))
      return true;
  return false;
}

static void avoid(inflight_request *flight, id who) {
  if (!avoids(flight, who) && flight->avoided < AVOID_MOST)
    flight->avoid[flight->avoided++] = who;
}

static bool choose(inflight_request *flight, engine_slot *slot) {
  pick_request q = { .service = flight->service,
                     .model = flight->model,
                     .adapter = flight->adapter,
                     .prefix = flight->route->affinity ? flight->prefix : NULL,
                     .tokens = flight->tokens,
                     .target_ms = flight->route->target_ms,
                     .left_ms = first_left_ms(flight),
                     .priority = flight->route->priority,
                     .policy = flight->part.run ? &flight->policy : NULL,
                     .run_once = !repeats(flight),
                     .avoid = flight->avoid,
                     .avoided = flight->avoided };
  flight->why = PICK_OK;
  instance *instance = pick(flight->gateway, &q, &flight->why, &flight->est);
  if (!instance)
    return false;
  *slot = (engine_slot){ instance, false, instance->running + instance->others_running,
                         now_of(flight), flight->est };
  instance_ref(instance);
  instance_sent(instance, flight->tokens);
  traffic_of(flight->gateway, flight->service)->running++;
  return true;
}

static void release(inflight_request *flight, engine_slot *slot, bool ok) {
  instance *instance = slot->instance;
  if (!instance)
    return;
  traffic *traffic = traffic_of(flight->gateway, flight->service);
  time_us now = now_of(flight);
  traffic->running--;
  if (traffic->freed_at.us)
    traffic->free_ms +=
        0.1 * (MIN((double)time_sub(now, traffic->freed_at).us / 1000, 5000) - traffic->free_ms);
  traffic->freed_at = now;
  slot->instance = NULL;
  instance_ended(instance, ok);
  instance_unref(instance);
  condition_broadcast(&flight->gateway->moved);
}

/* takes a place elsewhere for one more attempt, when attempts, time and the budget allow it */
static bool another(inflight_request *flight) {
  if (flight->gateway->stopped || flight->sends >= (int)MAX(flight->route->attempts, 1) ||
      flight->http->client_gone || left_ms(flight) < 50 ||
      !gateway_uses(flight->gateway, MECHANISM_RETRIES) ||
      !budget_room(flight->gateway, flight->service))
    return false;
  if (flight->slot.instance)
    avoid(flight, flight->slot.instance->self);
  if (!choose(flight, &flight->next_slot))
    return false;
  if (budget_take(flight->gateway, flight->service))
    return true;
  release(flight, &flight->next_slot, true);
  return false;
}

/* the line: who waits for the same thing, and comes first */
static bool same_thing(const inflight_request *a, const inflight_request *b) {
  return id_equal(a->service->name, b->service->name) && id_equal(a->model, b->model) &&
         id_equal(a->adapter, b->adapter);
}

static int ahead(const inflight_request *flight, bool same) {
  int n = 0;
  list_for_each (o, &flight->gateway->queue, inflight_request, queue_link) {
    if (o == flight || o->rank > flight->rank)
      break;
    n += !o->slot.instance && !o->http->client_gone &&
         (same ? same_thing(o, flight) && o->why == PICK_FULL
               : id_equal(o->service->name, flight->service->name));
  }
  return n;
}

static void line_join(inflight_request *flight) {
  list_node *before = flight->gateway->queue.next;
  while (before != &flight->gateway->queue &&
         list_item(before, inflight_request, queue_link)->rank <= flight->rank)
    before = before->next;
  list_append(before, &flight->queue_link);
  flight->lined = true;
  traffic_of(flight->gateway, flight->service)->waiting++;
}

static void line_leave(inflight_request *flight) {
  if (!flight->lined)
    return;
  list_remove(&flight->queue_link);
  flight->lined = false;
  traffic_of(flight->gateway, flight->service)->waiting--;
}

static void queue_run(void *p) {
  gateway *gateway = p;
  enum { THINGS = 24 };
  while (condition_wait(&gateway->router->node.world->tasks, &gateway->moved, time_never()) !=
         WAKE_STOPPED) {
    const inflight_request *none[THINGS];
    int n = 0;
    list_for_each (flight, &gateway->queue, inflight_request, queue_link) {
      if (flight->slot.instance)
        continue;
      bool known = flight->http->client_gone || gateway->ending;
      for (int k = 0; k < n && !known; k++)
        known = same_thing(none[k], flight) && !flight->avoided;
      if (!known && !choose(flight, &flight->slot)) {
        if (n < THINGS && !flight->avoided)
          none[n++] = flight;
      }
      if (flight->slot.instance || flight->http->client_gone || gateway->ending)
        condition_broadcast(&flight->wake);
    }
  }
}

void forward_wake_open(gateway *gateway) {
  list_for_each (flight, &gateway->open_requests, inflight_request, open_link)
    if (flight->http->client_gone_condition)
      condition_broadcast(flight->http->client_gone_condition);
}

/* at the end of the grace nothing is waited for that has not begun; what has begun goes on as long
 * as the process does */
static bool out_of_grace(const inflight_request *flight) {
  return flight->gateway->stopped && !flight->http->response_started;
}

void forward_start(gateway *gateway) {
  task_start(&gateway->router->node.world->tasks, "usher", queue_run, gateway);
}

/* how long until a first event, when a place has to come free for this one */
static double place_ms(const inflight_request *flight, double need) {
  const traffic *traffic = traffic_of(flight->gateway, flight->service);
  double one = traffic->free_ms > 0 ? traffic->free_ms : traffic->run_ms / MAX(traffic->running, 1);
  return MAX(need, flight->est) + (ahead(flight, false) + 1) * one;
}

/* admit: is the request one that the configuration allows, and counted */
static int op_admit(inflight_request *flight) {
  gateway *gateway = flight->gateway;
  string_view v;
  if (fields_get(flight->http->fields, word(flight, DF_MODEL), &v) && v.length) {
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
  if (fields_get(flight->http->fields, word(flight, DF_TOKENS), &v))
    flight->tokens = (double)strtol(v.data, NULL, 10);
  flight->prefix = fields_dup(flight->http->fields, word(flight, DF_PREFIX));
  budget_came(gateway, flight->service);
  if (!id_is_empty(flight->model))
    event_history_append(&gateway->router->history,
                         (history_event){ .kind = EVENT_ROUTED,
                                          .model = flight->model,
                                          .adapter = flight->adapter,
                                          .value = flight->route->priority });
  return OK;
}

/* select: an engine now, unless others wait for the same and come first */
static int op_select(inflight_request *flight) {
  if (list_is_empty(&flight->gateway->queue) || !ahead(flight, true))
    choose(flight, &flight->slot);
  else
    flight->why = PICK_FULL;
  return OK;
}

/* hold: waits for a place or a load, but only while that can still do any good */
static int op_hold(inflight_request *flight) {
  gateway *gateway = flight->gateway;
  world *world = gateway->router->node.world;
  if (flight->slot.instance)
    return OK;
  time_us from = now_of(flight), asked = { 0 }, load_at = time_never();
  int64_t whole = MAX(first_left_ms(flight), 0),
          target = flight->route->target_ms > 0 ? flight->route->target_ms : whole;
  time_us quarter = time_add(flight->since, time_from_ms(target / 4)),
          half = time_add(flight->since,
                          time_from_ms(whole *
                                       (flight->part.run ? flight->policy.wait_percent
                                                         : select_policy_default.wait_percent) /
                                       100));
  bool judged = false, wanted = false;
  int code = OK;
  line_join(flight);
  flight->http->client_gone_condition = &flight->wake;
  for (;;) {
    time_us now = now_of(flight);
    if (flight->slot.instance) {
      code = OK;
      break;
    }
    if (world->tasks.stopped || gateway->ending) {
      give_up(flight, 503, LEAVING_BACK_MS, "this machine is leaving\n");
      code = E_DRAINING;
      break;
    }
    if (flight->http->client_gone) {
      code = E_PEER_GONE;
      break;
    }
    if (!ahead(flight, true) && choose(flight, &flight->slot)) {
      code = OK;
      break;
    }
    traffic *traffic = traffic_of(gateway, flight->service);
    int64_t left = first_left_ms(flight);
    double need = MIN(traffic->first_ms, (double)target / 2);
    if (left <= need) {
      give_up(flight, 503, 0, "no engine came free in time\n");
      code = E_DEADLINE_EXCEEDED;
      break;
    }
    time_us step = time_add(now, time_from_ms(STEP_MS));
    if (flight->why == PICK_NO_MODEL) {
      if (!wanted || time_reached(now, asked)) {
        double est = 0;
        int64_t wait = 0;
        int x = want_model(gateway, flight->service, flight->model, flight->adapter,
                           flight->route->priority, false, &est, &wait);
        gateway->counts.wants++;
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
        step = sooner(step, asked);
    } else if (flight->why == PICK_FULL) {
      double est = place_ms(flight, need), spare = (double)target - ms_since(flight, flight->since);
      if (!judged && (time_reached(now, quarter) || est > spare)) {
        judged = true;
        if (est > spare && gateway_uses(gateway, MECHANISM_EARLY_REFUSAL)) {
          give_up(flight, 503, (int64_t)est, "all engines are busy\n");
          code = E_DEADLINE_EXCEEDED;
          break;
        }
      }
      if (time_reached(now, half) || !gateway_uses(gateway, MECHANISM_QUEUE)) {
        give_up(flight, 503, (int64_t)est, "all engines are busy\n");
        code = E_DEADLINE_EXCEEDED;
        break;
      }
      if (!judged)
        step = sooner(step, quarter);
    } else {
      time_us most = time_add(from, time_from_ms(target >= 4000 ? 1000 : target / 4));
      if (time_reached(now, most)) {
        give_up(flight, 503, 300, "no engine takes work now\n");
        code = E_NO_ENGINE;
        break;
      }
      step = sooner(step, most);
    }
    condition_wait(&world->tasks, &flight->wake, step);
  }
  flight->http->client_gone_condition = NULL;
  line_leave(flight);
  flight->held_ms += ms_since(flight, from);
  if (code && flight->slot.instance)
    release(flight, &flight->slot, true);
  return code;
}

/* the answer as it goes back: the engine's fields but those of its own channel */
static void begin(inflight_request *flight, http_call *call) {
  static const char *const none[] = { NULL };
  http_request *request = flight->http;
  if (request->response_started)
    return;
  if (!request->response_fields)
    request->response_fields = g_string_new(NULL);
  flight->begun_ms = ms_since(flight, flight->since);
  fields_forward(call->response_fields, request->response_fields, none);
}

static void pass_whole(inflight_request *flight, http_call *call) {
  begin(flight, call);
  http_request_respond(flight->http, call->status, NULL,
                       string_view_of_gstring(call->response_body));
}

static void first_byte(inflight_request *flight, double ms) {
  if (flight->slot.first)
    return;
  flight->slot.first = true;
  flight->first_ms = ms;
  instance_first(flight->slot.instance, flight->tokens, ms, flight->slot.running_then);
  traffic *traffic = traffic_of(flight->gateway, flight->service);
  traffic->first_ms += 0.1 * (ms - traffic->first_ms);
}

/* silence after which a request that may be repeated tries another engine: sooner when nothing else
 * comes from it either */
static time_us quiet_till(const inflight_request *flight, const http_call *call, time_us last,
                          bool passed) {
  double usual = MAX(traffic_of(flight->gateway, flight->service)->first_ms, flight->slot.est),
         span = MAX(3 * usual, 250);
  if (passed)
    span = MAX(1000, 3.0 * (double)flight->route->gap_target_ms);
  if (flight->slot.instance->last_byte.us > last.us + 100000) {
    /* the engine lives, and is only slow with this one, or has lost it */
    double third =
        (double)time_sub(flight->till, call->sent_at.us ? call->sent_at : flight->since).us / 3000;
    span = passed ? 3 * span : MAX(2 * span, third);
  }
  return time_add(last, time_from_ms((int64_t)span));
}

/* true when the silence was long enough and a place was taken elsewhere; else says when to look
 * again at the latest */
static bool quiet_over(inflight_request *flight, const http_call *call, time_us last, bool passed,
                       time_us *again, time_us *till) {
  time_us now = now_of(flight), quiet = quiet_till(flight, call, last, passed);
  if (again->us > quiet.us)
    quiet = *again;
  if (time_reached(now, quiet)) {
    if (another(flight))
      return true;
    *again = quiet = time_add(now, time_from_ms(AGAIN_MS));
  }
  *till = sooner(*till, quiet);
  return false;
}

static void note_versions(inflight_request *flight, string_view v) {
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
static bool events_note(inflight_request *flight, const char *p, size_t n, size_t *from) {
  size_t at = 0;
  bool kept = false;
  *from = 0;
  while (at < n) {
    event_head h;
    size_t len = event_read(p + at, n - at, word(flight, DF_WEIGHT_VERSIONS), &h);
    if (h.versions.length)
      note_versions(flight, h.versions);
    if (flight->joined) {
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
    else if (h.has_data && !flight->joined)
      flight->unsure = true;
    at += len;
  }
  return true;
}

/* may go on elsewhere within the same answer */
static bool joins(const inflight_request *flight) {
  return !flight->http->response_started ||
         (gateway_uses(flight->gateway, MECHANISM_RESUME) && flight->route->resumable &&
          !flight->unsure && flight->last_id);
}

static enum end stream(inflight_request *flight, http_call *call, time_us *sent) {
  http_request *request = flight->http;
  world *world = request->world;
  time_us last = now_of(flight), over = time_add(flight->till, time_from_ms(LATE_MS)),
          again = { 0 };
  bool events = false;
  for (;;) {
    if (request->client_gone || world->tasks.stopped)
      return END_LEFT;
    time_us now = now_of(flight);
    if (call->response_body->len) {
      flight->heard = last = flight->slot.instance->last_byte = now;
      again = (time_us){ 0 };
    }
    size_t n = event_whole(call->response_body->str, call->response_body->len), from = 0;
    if (n) {
      if (!events) {
        first_byte(flight, (double)time_sub(now, *sent).us / 1000);
        events = true;
      }
      if (!events_note(flight, call->response_body->str, n, &from))
        return END_FAILED;
      if (from < n) {
        if (!request->response_started) {
          begin(flight, call);
          http_request_begin(request, call->status, NULL);
        }
        int x = http_request_write(
            request, (string_view){ call->response_body->str + from, n - from }, over);
        if (x == E_STOPPING || x == E_PEER_GONE)
          return END_LEFT;
        if (x)
          return END_LATE;
      }
      g_string_erase(call->response_body, 0, (gssize)n);
      continue;
    }
    if (call->ended && !call->response_body->len) {
      if (!request->response_started) {
        begin(flight, call);
        http_request_begin(request, call->status, NULL);
      }
      http_request_end(request, true);
      return END_DONE;
    }
    if (out_of_grace(flight))
      return END_STOPPED;
    if (call->ended || call->broken || call->response_body->len > BODY_MOST)
      return joins(flight) && repeats(flight) && another(flight) ? END_AGAIN : END_FAILED;
    if (time_reached(now, over))
      return END_LATE;
    time_us till = over;
    if (repeats(flight) && joins(flight) && quiet_over(flight, call, last, events, &again, &till))
      return END_AGAIN;
    condition_wait(&world->tasks, &call->progressed, till);
  }
}

/* reads an answer whole, so that one that is cut short never looks complete */
static enum end whole(inflight_request *flight, http_call *call, bool stamped) {
  http_request *request = flight->http;
  world *world = request->world;
  time_us over = time_add(flight->till, time_from_ms(LATE_MS)), last = now_of(flight),
          again = { 0 };
  size_t had = 0;
  while (!call->ended && !call->broken) {
    if (request->client_gone || world->tasks.stopped)
      return END_LEFT;
    time_us now = now_of(flight);
    if (call->response_body->len > had) {
      had = call->response_body->len;
      last = flight->slot.instance->last_byte = now;
    }
    if (had > BODY_MOST)
      return END_FAILED;
    if (out_of_grace(flight))
      return END_STOPPED;
    if (time_reached(now, over))
      return END_LATE;
    time_us till = over;
    if (repeats(flight) && quiet_over(flight, call, last, false, &again, &till))
      return END_AGAIN;
    condition_wait(&world->tasks, &call->progressed, till);
  }
  if (request->client_gone)
    return END_LEFT;
  if (call->broken)
    return repeats(flight) && another(flight) ? END_AGAIN : END_FAILED;
  flight->slot.instance->last_byte = now_of(flight);
  if (stamped || !repeats(flight) || call->status < 500 || !another(flight)) {
    pass_whole(flight, call);
    return END_DONE;
  }
  return END_AGAIN;
}

static bool wants_fresh(const inflight_request *flight, const instance *instance) {
  if (instance->suspect)
    return true;
  if (repeats(flight))
    return false;
  /* a kept channel to an engine that has gone dark would lose what may be sent only once */
  time_us heard =
      instance->last_byte.us > instance->beat_at.us ? instance->last_byte : instance->beat_at;
  return time_sub(now_of(flight), heard).us > HEARD_MS * 1000;
}

static http_call *open_call(inflight_request *flight, time_us now) {
  instance *instance = flight->slot.instance;
  g_string_truncate(flight->out, flight->out_base);
  fields_add_format(flight->out, word(flight, DF_TIME_LEFT_MS), "%" PRId64,
                    MAX(left_ms(flight), 1));
  fields_add(flight->out, word(flight, DF_EXPECT_ENGINE), string_view_of(instance->self.text));
  if (flight->part.run && word(flight, DF_POLICY))
    fields_add_format(flight->out, word(flight, DF_POLICY), "%s %s", flight->trial,
                      flight->part.side == CANARY_ARM_CANDIDATE ? "candidate" : "old");
  if (flight->joined) {
    fields_add_format(flight->out, word(flight, DF_LAST_EVENT_ID), "%" PRIu64, flight->last_id);
    if (flight->versions[0])
      fields_add(flight->out, word(flight, DF_EXPECT_VERSION), string_view_of(flight->versions));
  } else {
    static const enum dialect_field kept[] = { DF_LAST_EVENT_ID, DF_EXPECT_VERSION };
    string_view v;
    for (size_t k = 0; k < G_N_ELEMENTS(kept); k++)
      if (fields_get(flight->http->fields, word(flight, kept[k]), &v))
        fields_add(flight->out, word(flight, kept[k]), v);
  }
  http_call *call = http_call_open_fields(
      flight->http->world, instance->addr, flight->http->method, flight->http->target, flight->out,
      string_view_of_gstring(flight->http->body), wants_fresh(flight, instance),
      time_add(now, time_from_ms(SEND_MS)));
  http_call_require_field(call, word(flight, DF_REQUEST_ID), string_view_of(flight->request));
  return call;
}

/* one attempt, up to the engine's first line */
static enum end head_wait(inflight_request *flight, http_call *call, time_us from) {
  http_request *request = flight->http;
  world *world = request->world;
  time_us up = time_add(from, time_from_ms(UP_MS)),
          over = time_add(flight->till, time_from_ms(LATE_MS)), again = { 0 };
  bool counted = false;
  for (;;) {
    if (call->sent && !counted) {
      counted = true;
      flight->sends++;
      flight->gateway->counts.attempts++;
    }
    if (call->status)
      return END_DONE;
    if (request->client_gone || world->tasks.stopped)
      return END_LEFT;
    if (call->broken || call->ended)
      return !call->sent                          ? END_NOT_SENT
             : repeats(flight) && another(flight) ? END_AGAIN
                                                  : END_FAILED;
    if (out_of_grace(flight))
      return call->sent ? END_STOPPED : END_NOT_SENT;
    time_us now = now_of(flight), till = over;
    if (!call->sent) {
      if (time_reached(now, up))
        return END_NOT_SENT;
      till = up;
    } else {
      if (time_reached(now, over))
        return END_LATE;
      if (repeats(flight) &&
          quiet_over(flight, call, call->sent_at.us ? call->sent_at : from, false, &again, &till))
        return END_AGAIN;
    }
    condition_wait(&world->tasks, &call->progressed, till);
  }
}

/* statuses by which callers know that a request has not run and never will */
static bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* True when an engine's failure must not be passed on: its status would promise a caller something
 * that the engine has not said, or it bears no stamp and would look like our own refusal, after
 * which callers don't come back. */
static bool misleads(const inflight_request *flight, int status, bool stamped, bool not_run) {
  if (not_run || status / 100 == 2)
    return false;
  if (promises_not_run(status) && !repeats(flight))
    return true;
  return !stamped && status / 100 != 5;
}

static enum end judge(inflight_request *flight, http_call *call, time_us from) {
  instance *instance = flight->slot.instance;
  string_view v;
  instance->last_byte = now_of(flight);
  bool ok = call->status >= 200 && call->status < 300;
  bool stamped = fields_get(call->response_fields, word(flight, DF_STAMP), &v) && v.length;
  bool not_run = fields_get(call->response_fields, word(flight, DF_NOT_RUN), &v);
  flight->declined = call->status == 421 || (not_run && call->status != 400);
  if (flight->declined) {
    /* it is not there any more, whatever was said before */
    if (call->status == 421 && !id_is_empty(flight->model) && !flight->joined &&
        !fields_get(flight->http->fields, word(flight, DF_EXPECT_VERSION), &v))
      instance_unloaded(instance, flight->model, flight->adapter);
    else if (!instance->shunned_till.us ||
             time_reached(instance->last_byte, instance->shunned_till))
      instance->shunned_till =
          time_add(instance->last_byte,
                   time_from_ms(SHUN_MS + (int64_t)world_random(flight->http->world, SHUN_MS)));
    return another(flight) ? END_AGAIN : END_NOT_RUN;
  }
  if (ok && (!stamped || fields_get(call->response_fields, "Content-Encoding", &v)))
    return repeats(flight) && another(flight) ? END_AGAIN : END_FAILED;
  if (misleads(flight, call->status, stamped, not_run))
    return repeats(flight) && another(flight) ? END_AGAIN : END_FAILED;
  bool events = ok && flight->route->mode == ROUTE_MODE_STREAM &&
                fields_get(call->response_fields, "Content-Type", &v) && v.length >= 17 &&
                !g_ascii_strncasecmp(v.data, "text/event-stream", 17);
  if (flight->http->response_started && (call->status != 200 || !events))
    return another(flight) ? END_AGAIN : END_FAILED;
  time_us sent = call->sent_at.us ? call->sent_at : from;
  if (events) {
    if (fields_get(call->response_fields, word(flight, DF_WEIGHT_VERSIONS), &v))
      note_versions(flight, v);
    return stream(flight, call, &sent);
  }
  if (call->status < 500)
    first_byte(flight, (double)time_sub(instance->last_byte, sent).us / 1000);
  return whole(flight, call, ok);
}

static enum end attempt(inflight_request *flight) {
  time_us from = flight->heard = now_of(flight);
  /* bytes are only joined behind what was passed on; before that, a stream is sent anew */
  flight->joined = flight->http->response_started;
  flight->declined = false;
  http_call *call = open_call(flight, from);
  flight->last = flight->slot.instance->self;
  flight->http->client_gone_condition = &call->progressed;
  enum end e = head_wait(flight, call, from);
  bool headed = call->status != 0;
  if (e == END_DONE)
    e = judge(flight, call, from);
  flight->http->client_gone_condition = NULL;
  if (call->sent && !flight->declined)
    flight->maybe = true;
  /* an engine that fails by itself is quick at it: that must not draw more work there */
  bool own = call->status >= 500 && call->status != 504 && !flight->declined,
       ok = (e == END_DONE && !own) || e == END_NOT_RUN || e == END_STOPPED;
  if (e == END_LEFT)
    ok = headed || ms_since(flight, from) <
                       MAX(500, 3 * traffic_of(flight->gateway, flight->service)->first_ms);
  if (e == END_AGAIN)
    ok = headed && !call->broken && !own;
  if (e == END_LATE)
    ok = headed;
  /* a stream that fell silent at an engine that is not busy */
  if ((e == END_LEFT || e == END_LATE) && ok && headed &&
      ms_since(flight, flight->heard) > MAX(1000, 3.0 * (double)flight->route->gap_target_ms) &&
      instance_at_ease(flight->slot.instance))
    instance_failed_here(flight->slot.instance);
  if (e == END_NOT_SENT)
    avoid(flight, flight->slot.instance->self);
  if (e == END_DONE) {
    traffic *traffic = traffic_of(flight->gateway, flight->service);
    traffic->run_ms += 0.1 * (ms_since(flight, from) - traffic->run_ms);
  }
  if (e == END_DONE && flight->route->mode == ROUTE_MODE_STREAM && call->status == 200)
    route_times_note(flight->gateway->durations, flight->route->name,
                     ms_since(flight, flight->since));
  http_call_close(call);
  release(flight, &flight->slot, ok);
  flight->slot = flight->next_slot;
  flight->next_slot = (engine_slot){ 0 };
  if (e == END_AGAIN && flight->http->response_started)
    flight->gateway->counts.resumed++;
  return e;
}

/* forward: sends it, and once more where that is allowed */
static int op_forward(inflight_request *flight) {
  for (int tries = 0;;) {
    if (!flight->slot.instance) {
      int x = op_hold(flight);
      if (x)
        return x;
    }
    if (flight->http->client_gone) {
      release(flight, &flight->slot, true);
      return E_PEER_GONE;
    }
    switch (attempt(flight)) {
    case END_DONE:
      return OK;
    case END_AGAIN:
      break;
    case END_NOT_SENT:
      if (++tries >= TRIES || flight->http->client_gone) {
        give_up(flight, 503, 300, "no engine could be reached\n");
        return E_NO_ENGINE;
      }
      /* an extra attempt that was taken and not sent is still there to use */
      if (flight->sends && !choose(flight, &flight->slot)) {
        give_up(flight, 503, 300, "no engine could be reached\n");
        return E_NO_ENGINE;
      }
      if (!flight->sends)
        choose(flight, &flight->slot);
      break;
    case END_NOT_RUN:
      give_up(flight, 503, 200, "the engine did not take it\n");
      return E_OVERLOADED;
    case END_FAILED:
      give_up(flight, 502, 0, "the engine broke off\n");
      return E_STREAM_BROKEN;
    case END_LATE:
      give_up(flight, 504, 0, "the engine gave no answer in time\n");
      return E_DEADLINE_EXCEEDED;
    case END_STOPPED:
      give_up(flight, 502, 0, "this machine has stopped before the engine answered\n");
      return E_DRAINING;
    case END_LEFT:
      return E_PEER_GONE;
    }
  }
}

/* the way of a request by its route's mode, as steps */
enum gateway_op { GO_END, GO_ADMIT, GO_SELECT, GO_HOLD, GO_FORWARD };
static const enum gateway_op ways[][5] = {
  [ROUTE_MODE_ONCE] = { GO_ADMIT, GO_SELECT, GO_HOLD, GO_FORWARD, GO_END },
  [ROUTE_MODE_SAFE] = { GO_ADMIT, GO_SELECT, GO_HOLD, GO_FORWARD, GO_END },
  [ROUTE_MODE_STREAM] = { GO_ADMIT, GO_SELECT, GO_HOLD, GO_FORWARD, GO_END },
};

static int interpret(inflight_request *flight) {
  int code = OK;
  for (const enum gateway_op *s = ways[flight->route->mode]; !code && *s != GO_END; s++)
    switch (*s) {
    case GO_ADMIT:
      code = op_admit(flight);
      break;
    case GO_SELECT:
      code = op_select(flight);
      break;
    case GO_HOLD:
      code = op_hold(flight);
      break;
    case GO_FORWARD:
      code = op_forward(flight);
      break;
    case GO_END:
      break;
    }
  return code;
}

/* why a request that ended with a code was not served; UNSERVED_COUNT when that is the caller's
 * doing */
static enum unserved_reason reason_of(const inflight_request *flight, int code) {
  switch (code) {
  case E_OVERLOADED:
    return UNSERVED_DECLINED;
  case E_DRAINING:
    return UNSERVED_LEAVING;
  case E_STREAM_BROKEN:
    return UNSERVED_BROKEN;
  case E_PEER_GONE:
    return flight->sends ? UNSERVED_COUNT : UNSERVED_LEFT_WAITING;
  case E_UNKNOWN_MODEL:
    return flight->status == 404 ? UNSERVED_COUNT : UNSERVED_NO_MODEL;
  default:
    return flight->sends                  ? UNSERVED_LATE
           : flight->why == PICK_NO_MODEL ? UNSERVED_NO_MODEL
           : flight->why == PICK_FULL     ? UNSERVED_BUSY
                                          : UNSERVED_NO_ENGINE;
  }
}

static void finish(inflight_request *flight, int code) {
  gateway *gateway = flight->gateway;
  http_request *request = flight->http;
  log_debug(
      &gateway->router->node.log, "forward",
      "%s of %s, priority %u, model %s+%s, %.0f tokens: code %d, status %d, gone %d, after %.0f ms, held %.0f ms, estimated %.0f ms, first %.0f ms, sent %d, at %s, %s.",
      flight->request, flight->route->name.text, flight->route->priority, flight->model.text,
      flight->adapter.text, flight->tokens, code,
      request->response_started ? request->status : flight->status, request->client_gone,
      ms_since(flight, flight->since), flight->held_ms, flight->est, flight->first_ms,
      flight->sends, flight->last.text, flight->text ? flight->text : "-");
  if (!code) {
    gateway->counts.served++;
    return;
  }
  enum unserved_reason reason = reason_of(flight, code);
  if (reason < UNSERVED_COUNT)
    gateway->counts.unserved[reason]++;
  if (code == E_PEER_GONE || request->client_gone) {
    gateway->counts.left++;
    if (!request->response_ended)
      http_request_end(request, false);
    return;
  }
  /* a request that may have run is never said not to have */
  int status = flight->status ? flight->status : 503;
  if (status == 503 && flight->maybe && !repeats(flight))
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
    answer(gateway, request, status, flight->back, left_ms(flight),
           flight->text ? flight->text : "not served\n");
}

static const char *phase(const inflight_request *flight) {
  return flight->http->response_started ? "its answer has begun"
         : !flight->slot.instance       ? "it waits for an engine"
         : flight->sends                ? "it was sent to an engine"
                                        : "an engine is chosen";
}

void forward_report_open(gateway *gateway) {
  int lines = 0;
  list_for_each (flight, &gateway->open_requests, inflight_request, open_link) {
    if (lines++ >= OPEN_LINES_MOST)
      return;
    log_info(&gateway->router->node.log, "gateway",
             "Request %s of %s is left: number %u of its connection, taken %" PRId64
             " ms after the order to stop, %" PRId64 " ms ago; %s (%s).",
             flight->request, flight->route->name.text, flight->http->connection_request_number,
             time_sub(flight->since, gateway->drain_at).us / 1000,
             (int64_t)ms_since(flight, flight->since), phase(flight),
             flight->slot.instance ? flight->slot.instance->self.text : "-");
  }
}

/* the fields that stay as they came; the others are added for each attempt */
static void base_fields(inflight_request *flight) {
  const char *skip[] = {
    word(flight, DF_TIME_LEFT_MS),  word(flight, DF_EXPECT_ENGINE),  word(flight, DF_PRIORITY),
    word(flight, DF_LAST_EVENT_ID), word(flight, DF_EXPECT_VERSION), "host",
    word(flight, DF_POLICY),        word(flight, DF_REQUEST_ID),     NULL
  };
  string_view host;
  flight->out = g_string_sized_new(flight->http->fields->len + 256);
  if (!fields_get(flight->http->fields, "Host", &host))
    host = string_view_of(flight->http->host);
  fields_add(flight->out, "Host", host);
  /* always sent, also when the caller's Connection field names it: answers are known by it */
  fields_add(flight->out, word(flight, DF_REQUEST_ID), string_view_of(flight->request));
  fields_forward(flight->http->fields, flight->out, skip);
  fields_add_format(flight->out, word(flight, DF_PRIORITY), "%u",
                    MIN(9, 1 + 2 * flight->route->priority));
  flight->out_base = flight->out->len;
}

static void take_part(inflight_request *flight) {
  flight->part = canary_admit(flight->gateway, flight->http, flight->route);
  if (!flight->part.run)
    return;
  flight->policy = *canary_policy(flight->gateway, &flight->part);
  g_strlcpy(flight->trial, canary_name(flight->gateway), sizeof flight->trial);
}

/* A stream that nobody can take up again would be cut by the end of this process; its caller has
 * time to go elsewhere now. */
static bool outlasts_process(const inflight_request *flight) {
  if (flight->route->mode != ROUTE_MODE_STREAM || flight->route->resumable ||
      !gateway_uses(flight->gateway, MECHANISM_LEAVING_STREAMS))
    return false;
  return route_times_most(flight->gateway->durations, flight->route->name) >
         (double)gateway_left_ms(flight->gateway);
}

void forward_serve(void *ctx, http_request *request) {
  gateway *gateway = ctx;
  world *world = gateway->router->node.world;
  time_us came = request->received_at.us ? request->received_at : world_now(world);
  gateway->counts.requests++;
  if (!gateway->routing) {
    gateway->counts.refused++;
    answer(gateway, request, 503, 500, 0, "no configuration is known yet\n");
    return;
  }
  const char *end = strchr(request->target, '?');
  const route *route =
      routing_find_route(gateway->routing, string_view_of(request->host),
                         (string_view){ request->target, end ? (size_t)(end - request->target)
                                                             : strlen(request->target) });
  if (!route) {
    gateway->counts.no_route++;
    answer(gateway, request, 404, 0, 0, "no such route\n");
    return;
  }
  string_view rid;
  const char *id_field = gateway->settings.dialect->header_names[DF_REQUEST_ID];
  if (!fields_get(request->fields, id_field, &rid) || !rid.length) {
    answer(gateway, request, 400, 0, 0, "the request has no id\n");
    return;
  }
  if (fields_count(request->fields, id_field) > 1) {
    answer(gateway, request, 400, 0, 0, "the request has more than one id\n");
    return;
  }
  int64_t left = fields_get_number(
      request->fields, gateway->settings.dialect->header_names[DF_TIME_LEFT_MS], route->timeout_ms);
  left = MIN(left, route->timeout_ms);
  inflight_request f = { .gateway = gateway,
                         .http = request,
                         .conf = routing_ref((routing *)gateway->routing),
                         .route = route,
                         .since = came,
                         .till = time_add(came, time_from_ms(left)),
                         .begun_ms = -1 };
  f.service = route_pick_service(route, (double)world_random(world, 1 << 20) / (1 << 20));
  f.request = g_strndup(rid.data, rid.length);
  f.rank = came.us + (int64_t)route->priority * AGE_MS * 1000;
  condition_init(&f.wake);
  if (gateway->shut || outlasts_process(&f)) {
    gateway->counts.unserved[UNSERVED_LEAVING]++;
    gateway->counts.refused++;
    answer(gateway, request, 503, LEAVING_BACK_MS, left, "this machine is leaving\n");
  } else {
    base_fields(&f);
    gateway->open++;
    list_append(&gateway->open_requests, &f.open_link);
    if (gateway->canary)
      take_part(&f);
    int code = interpret(&f);
    /* a caller who left early shows nothing; one who left after its aim was let down */
    bool left = code == E_PEER_GONE || request->client_gone;
    double took = ms_since(&f, came);
    bool began = request->response_started;
    finish(&f, code);
    int told = left            ? (f.begun_ms < 0 && took > (double)route->target_ms ? 504 : 0)
               : code && began ? 502
                               : request->status;
    if (f.part.run)
      canary_note(gateway, &f.part, route, f.begun_ms, told);
    gateway->open--;
    list_remove(&f.open_link);
  }
  if (f.slot.instance)
    release(&f, &f.slot, true);
  if (f.next_slot.instance)
    release(&f, &f.next_slot, true);
  if (f.out)
    g_string_free(f.out, TRUE);
  g_free(f.prefix);
  g_free(f.request);
  routing_unref(f.conf);
}
