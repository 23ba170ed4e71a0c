#include "router.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

void generate_api_init(generate_api *api) {
  list_init(&api->outgoing_load_requests);
  list_init(&api->admitted_requests);
  api->smoothed_service_ms = 2000;
  /* a young node may try a few times before its traffic has earned it */
  api->retry_budget = 2;
}

enum {
  STREAM_IDLE_MS = 15000,
  MAX_ATTEMPTS = 3,
  MAX_LOAD_ATTEMPTS = 2,
  ADD_REPLICA_AFTER_MS = 1500,
  SEND_TIMEOUT_MS = 600,
  MAX_NAME_BYTES = 256
};

/** A request on its way through the rules. */
typedef struct routed_request {
  list_node queue_link;
  router *router;
  http_request *http;
  id model, adapter;
  char prefix[MAX_NAME_BYTES];
  int request_class;
  bool resumable, counted_waiting, counted_running, awaiting_engine, may_have_run;
  const request_kind *kind;
  request_kind kind_copy;
  time_us received_at, deadline, hold_deadline;
  engine *engine;
  id excluded[8];
  int excluded_count, load_attempts, attempts;
  char request_id[64];
  const char *run_outcome;
  int error_code;
  char error_text[200];
  int64_t retry_after_ms;
} routed_request;

/* what was done with a request that is given up: the truth, since callers act on it */
static const char NOT_RUN[] = "not run", UNKNOWN[] = "unknown", FAILED[] = "failed";

static int set_error(routed_request *request, int code, int64_t back, const char *form, ...)
    __attribute__((format(printf, 4, 5)));
static int set_error(routed_request *request, int code, int64_t back, const char *form, ...) {
  va_list a;
  va_start(a, form);
  vsnprintf(request->error_text, sizeof request->error_text, form, a);
  va_end(a);
  request->error_code = code;
  request->retry_after_ms = back;
  return code;
}

static void send_error(routed_request *request) {
  router *router = request->router;
  int st;
  switch (request->error_code) {
  case E_UNKNOWN_MODEL:
    st = 404;
    break;
  case E_NO_ENGINE_FITS:
    st = 422;
    break;
  case E_QUEUE_FULL:
  case E_LOAD_SHED:
    st = 429;
    break;
  case E_STREAM_BROKEN:
  case E_CONNECTION_LOST_AFTER_SEND:
    st = 502;
    break;
  case E_DEADLINE_EXCEEDED:
    st = 504;
    break;
  case E_REJECTED_BY_RULE:
    st = (int)request->retry_after_ms;
    request->retry_after_ms = 0;
    break;
  default:
    st = 503;
  }
  bool come = st == 429 || st >= 502;
  if (come) {
    int64_t ms = request->retry_after_ms > 0 ? request->retry_after_ms : 2000;
    ms += (int64_t)world_random(router->node.world, ms / 2 + 500);
    char buf[24];
    snprintf(buf, sizeof buf, "%" PRId64, (ms + 999) / 1000);
    http_headers_set(&request->http->known_response_fields, HEADER_RETRY_AFTER, buf);
  }
  GString *b = g_string_new(NULL);
  json_appendf(b, "{\"code\":%d,\"run\":\"%s\",\"request\":\"%s\",\"error\":", request->error_code,
               request->run_outcome, request->request_id);
  json_append_quoted(b, string_view_of(request->error_text));
  g_string_append(b, "}\n");
  http_request_respond(request->http, st, "application/json", string_view_of_gstring(b));
  g_string_free(b, TRUE);
}

/* enrol: room in the line by kind, and no place for those who would wait in vain */
static double free_queue_share(router *router, int request_class) {
  double most = (double)router->config->queue_max, spare = most;
  for (int i = 0; i < router->config->kind_count; i++) {
    double own = router->config->kinds[i].quota_share * most;
    if (i != request_class)
      spare -= MAX(own, router->requests.classes[i].waiting);
  }
  return spare;
}

static int resident_capacity(router *router, id m, id a, int *up) {
  int cap = 0;
  *up = 0;
  list_for_each (e, &router->engine_list.engines, engine, link) {
    resident_model *resident_model = engine_accepts_work(e) ? engine_find_resident(e, m, a) : NULL;
    if (resident_model && resident_model->state == RESIDENT_UP) {
      cap += engine_max_streams(e);
      (*up)++;
    }
  }
  return cap;
}

/* the routers that share the engines with this one, and itself */
static int count_routers(router *router) {
  int n = 1;
  list_for_each (peer, &router->node.peers, peer_node, link)
    n += peer->role == ROLE_ROUTER && !peer->gone && !peer->draining;
  return n;
}

static int request_step_admit(routed_request *request) {
  router *router = request->router;
  request_class *request_class = &router->requests.classes[request->request_class];
  int up, cap;
  if (request_class->waiting + 1 > free_queue_share(router, request->request_class)) {
    request_class->shed++;
    /* when about half of the line is through, there is room again */
    int64_t back =
        (int64_t)(router->requests.smoothed_service_ms * (request_class->waiting + 1) / 2 /
                  MAX(1, resident_capacity(router, request->model, request->adapter, &up) /
                             count_routers(router))) +
        500;
    return set_error(request, E_QUEUE_FULL, MIN(back, 10000),
                     "the line of kind %s is full: %d wait", request->kind->self.text,
                     request_class->waiting);
  }
  cap = resident_capacity(router, request->model, request->adapter, &up);
  int64_t est = 0;
  if (up) {
    int same = 0;
    list_for_each (o, &router->requests.admitted_requests, routed_request, queue_link)
      same += id_equal(o->model, request->model) && id_equal(o->adapter, request->adapter) &&
              o->kind_copy.weight >= request->kind_copy.weight;
    est = (int64_t)(router->requests.smoothed_service_ms * same * count_routers(router) /
                    MAX(cap, 1));
  } else {
    int ahead = 0;
    bool joined = false;
    list_for_each (m, &router->requests.outgoing_load_requests, outgoing_load_request, link) {
      if (m->done)
        continue;
      joined |= id_equal(m->model, request->model) && id_equal(m->adapter, request->adapter);
      ahead++;
    }
    int open = 0;
    list_for_each (e, &router->engine_list.engines, engine, link)
      open += engine_accepts_work(e);
    if (!joined && open) {
      double one = model_loading_estimate_ms(router, id_of_text("any"), request->model,
                                             request->adapter),
             slots = MAX(one * ahead / open, ahead * 1000.0 / router->config->loads_per_s);
      est = (int64_t)(one * 0.5 + slots);
    }
  }
  if (est > request->kind->deadline_ms) {
    request_class->shed++;
    return set_error(request, E_LOAD_SHED, MIN(est - request->kind->deadline_ms + 500, 60000),
                     "about %" PRId64 " ms of work wait ahead, past the deadline of kind %s", est,
                     request->kind->self.text);
  }
  request_class->waiting++;
  request->counted_waiting = true;
  return OK;
}

static bool is_excluded(routed_request *request, engine *engine) {
  for (int i = 0; i < request->excluded_count; i++)
    if (id_equal(request->excluded[i], engine->self))
      return true;
  return false;
}

static void exclude_engine(routed_request *request, engine *engine) {
  if (request->excluded_count < (int)G_N_ELEMENTS(request->excluded))
    request->excluded[request->excluded_count++] = engine->self;
}

/* older and weightier ones go first when a place comes free */
static int64_t queue_rank(const routed_request *request) {
  return request->received_at.us - (int64_t)request->kind_copy.weight * 500000;
}

static bool is_next_in_queue(routed_request *request) {
  list_for_each (o, &request->router->requests.admitted_requests, routed_request, queue_link)
    if (o != request && o->awaiting_engine && id_equal(o->model, request->model) &&
        id_equal(o->adapter, request->adapter) && queue_rank(o) < queue_rank(request))
      return false;
  return true;
}

/* select among those that hold the thing: prefix affinity with bounded load, near ones first when
 * the prefix does not say */
static engine *select_resident(routed_request *request, bool *any) {
  router *router = request->router;
  int count = 0, n = 0, sum = 0;
  list_for_each (e, &router->engine_list.engines, engine, link)
    count++;
  engine **all = g_new(engine *, count + 1);
  *any = false;
  list_for_each (e, &router->engine_list.engines, engine, link) {
    if (!engine_accepts_work(e) || is_excluded(request, e))
      continue;
    resident_model *h = engine_find_resident(e, request->model, request->adapter);
    if (!h || h->state != RESIDENT_UP)
      continue;
    if (!id_is_empty(request->adapter)) {
      resident_model *b = engine_find_resident(e, request->model, id_of_text(""));
      if (!b || b->state != RESIDENT_UP)
        continue;
    }
    *any = true;
    sum += engine_running_streams(e);
    all[n++] = e;
  }
  int bound = (int)ceil(1.25 * (sum + 1) / MAX(n, 1));
  engine *best = NULL;
  double top = 0;
  for (int i = 0; i < n; i++) {
    engine *e = all[i];
    int load = engine_running_streams(e);
    if (!engine_has_free_slot(e))
      continue;
    double worth = 0;
    if (load + 1 <= bound)
      worth += 4;
    if (request->prefix[0])
      worth += (double)(hash_two_names(request->prefix, e->self.text) >> 12) / (double)(1ull << 52);
    else
      worth += (id_equal(e->zone, router->node.settings.zone) ? 0.5 : 0) + 1.0 / (2 + load);
    if (!best || worth > top) {
      best = e;
      top = worth;
    }
  }
  g_free(all);
  return best;
}

typedef struct {
  engine *engine;
  uint64_t priority;
  bool has_capacity;
} load_target;
static int compare_load_targets(const void *a, const void *b) {
  const load_target *x = a, *y = b;
  return x->priority > y->priority ? -1 : x->priority < y->priority;
}

/* select for a miss: all nodes agree on the order, so that misses for one thing meet at one engine
 */
static engine *select_load_target(routed_request *request, bool *fits) {
  router *router = request->router;
  uint64_t megs, base = 0;
  unsigned slots, none;
  char key[128];
  int count = 0, n = 0;
  list_for_each (e, &router->engine_list.engines, engine, link)
    count++;
  load_target *all = g_new(load_target, count + 1);
  *fits = false;
  if (!model_loading_find_size(router, request->model, request->adapter, &megs, &slots))
    return NULL;
  if (!id_is_empty(request->adapter))
    model_loading_find_size(router, request->model, id_of_text(""), &base, &none);
  event_history_format_key(key, sizeof key, request->model, id_of_text(""));
  list_for_each (e, &router->engine_list.engines, engine, link) {
    if (!e->listed || megs + base > e->weights_mb || slots > e->adapter_slots)
      continue;
    *fits = true;
    if (!engine_accepts_work(e) || is_excluded(request, e))
      continue;
    uint64_t used = 0;
    unsigned taken = 0;
    list_for_each (h, &e->residents, resident_model, link) {
      used += h->weights_mb;
      taken += h->slots;
    }
    resident_model *b = base ? engine_find_resident(e, request->model, id_of_text("")) : NULL;
    bool here = engine_find_resident(e, request->model, request->adapter) != NULL;
    uint64_t need = megs + (b ? 0 : base);
    all[n++] = (load_target){ e, hash_two_names(key, e->self.text),
                              here || (used + need <= e->weights_mb &&
                                       taken + slots <= e->adapter_slots) };
    if (b && b->state == RESIDENT_UP)
      all[n - 1].priority |= 1ull << 63;
    else
      all[n - 1].priority >>= 1;
  }
  qsort(all, n, sizeof *all, compare_load_targets);
  engine *got = n ? all[0].engine : NULL;
  for (int i = 0; i < n && i < 3; i++)
    if (all[i].has_capacity) {
      got = all[i].engine;
      break;
    }
  g_free(all);
  return got;
}

/* carries one miss to the engine's holder, for all the requests that share it */
static void load_request_run(void *p) {
  outgoing_load_request *miss = p;
  router *router = miss->router;
  char duty[64];
  singleton_engine_name(duty, sizeof duty, miss->engine_id);
  while (!miss->done) {
    time_us now = world_now(router->node.world);
    if (time_reached(now, miss->deadline)) {
      miss->error_code = E_DEADLINE_EXCEEDED;
      miss->retry_after_ms = 3000;
      break;
    }
    id who;
    uint64_t epoch;
    error err = { 0 };
    int r = E_NO_LEASE_HOLDER;
    Wire__Envelope *b = NULL;
    if (config_sync_find_grant(router, duty, &who, &epoch)) {
      peer_node *peer = node_find_peer(&router->node, who);
      char addr[48] = "";
      if (id_equal(who, router->node.settings.self))
        g_strlcpy(addr, router->node.settings.address, sizeof addr);
      else if (peer && !peer->gone)
        g_strlcpy(addr, peer->address, sizeof addr);
      if (addr[0]) {
        Wire__ModelLoadRequest q = WIRE__MODEL_LOAD_REQUEST__INIT;
        q.engine = miss->engine_id.text;
        q.model = miss->model.text;
        q.adapter = miss->adapter.text;
        q.weight = miss->priority_weight;
        q.wait_ms = 2000;
        Wire__Envelope w = wire_envelope(WIRE__ENVELOPE__BODY_MODEL_LOAD_REQUEST, &q);
        r = node_call(&router->node, addr, &w, time_from_ms(2600), &b, &err);
      }
    }
    if (r == E_STOPPING) {
      miss->error_code = E_STOPPING;
      break;
    }
    if (!r && b->body_case == WIRE__ENVELOPE__BODY_MODEL_LOAD_RESPONSE) {
      Wire__ModelLoadResponse *k = b->model_load_response;
      if (k->loaded) {
        miss->error_code = OK;
        node_reply_free(b);
        break;
      }
      if (k->error_code && k->error_code != E_IN_PROGRESS && k->error_code != E_NO_LEASE_HOLDER) {
        miss->error_code = k->error_code;
        miss->retry_after_ms = k->retry_after_ms;
        node_reply_free(b);
        break;
      }
    }
    node_reply_free(b);
    if (!miss->waiters) {
      miss->error_code = E_PEER_GONE;
      break;
    }
    if (r && !world_sleep_with_jitter(router->node.world, time_from_ms(250))) {
      miss->error_code = E_STOPPING;
      break;
    }
  }
  miss->done = true;
  condition_broadcast(&miss->changed);
  list_remove(&miss->link);
  if (!miss->waiters)
    g_free(miss);
}

static outgoing_load_request *load_request_join(routed_request *request, engine *engine) {
  router *router = request->router;
  outgoing_load_request *m = NULL;
  list_for_each (k, &router->requests.outgoing_load_requests, outgoing_load_request, link)
    if (!k->done && id_equal(k->engine_id, engine->self) && id_equal(k->model, request->model) &&
        id_equal(k->adapter, request->adapter))
      m = k;
  if (!m) {
    m = g_new0(outgoing_load_request, 1);
    m->router = router;
    m->engine_id = engine->self;
    m->model = request->model;
    m->adapter = request->adapter;
    condition_init(&m->changed);
    list_append(&router->requests.outgoing_load_requests, &m->link);
    m->deadline = request->deadline;
    task_start(&router->node.world->tasks, "miss", load_request_run, m);
  }
  m->priority_weight = MAX(m->priority_weight, request->kind_copy.weight);
  if (request->deadline.us > m->deadline.us)
    m->deadline = request->deadline;
  m->waiters++;
  return m;
}

static void load_request_leave(outgoing_load_request *miss) {
  if (!--miss->waiters && miss->done)
    g_free(miss);
}

/* hold: waits for a place, for a load, or for the end of its time */
static int op_wait(routed_request *request) {
  router *router = request->router;
  world *world = router->node.world;
  outgoing_load_request *miss = NULL, *copy = NULL;
  int code = OK, why = OK;
  int64_t back = 0;
  request->awaiting_engine = true;
  condition_broadcast(&router->state_changed);
  for (;;) {
    time_us now = world_now(world);
    if (world->tasks.stopped) {
      code = set_error(request, E_DRAINING, 1000, "this machine is stopping");
      break;
    }
    if (request->http->client_gone) {
      code = set_error(request, E_PEER_GONE, 0, "the caller went away");
      break;
    }
    if (!admission_wait(router)) {
      router->requests.isolated_refusals++;
      code = set_error(request, E_ISOLATED, 2000,
                       "this machine is cut off and can't know what is in force");
      break;
    }
    bool any, fits = true;
    engine *e = select_resident(request, &any);
    if (e && is_next_in_queue(request)) {
      request->engine = e;
      break;
    }
    time_us till = request->hold_deadline.us < request->deadline.us ? request->hold_deadline
                                                                    : request->deadline;
    if (time_reached(now, till)) {
      double pen =
          model_loading_estimate_ms(router, id_of_text("any"), request->model, request->adapter);
      code = set_error(request, E_DEADLINE_EXCEEDED,
                       any ? (int64_t)router->requests.smoothed_service_ms : (int64_t)pen,
                       "no engine was free for %s%s%s in time", request->model.text,
                       request->adapter.text[0] ? "+" : "", request->adapter.text);
      break;
    }
    if (any) {
      /* all who hold it are busy: after a while one more copy is worth its load */
      if (!copy && !e &&
          time_reached(now, time_add(request->received_at, time_from_ms(ADD_REPLICA_AFTER_MS)))) {
        routed_request probe = *request;
        list_for_each (x, &router->engine_list.engines, engine, link)
          if (engine_find_resident(x, request->model, request->adapter))
            exclude_engine(&probe, x);
        engine *t = select_load_target(&probe, &fits);
        if (t)
          copy = load_request_join(request, t);
      }
    } else if (!miss) {
      engine *t =
          request->load_attempts < MAX_LOAD_ATTEMPTS ? select_load_target(request, &fits) : NULL;
      if (!t) {
        if (!fits)
          code =
              set_error(request, E_NO_ENGINE_FITS, 0, "%s%s%s fits no engine", request->model.text,
                        request->adapter.text[0] ? "+" : "", request->adapter.text);
        else if (why)
          code = set_error(request, why, back ? back : 2000, "%s%s%s could not be loaded",
                           request->model.text, request->adapter.text[0] ? "+" : "",
                           request->adapter.text);
        else if (time_reached(now, time_add(request->received_at, time_from_ms(3000))))
          code = set_error(request, E_NO_ENGINE, 3000, "no engine takes new work");
        if (code)
          break;
      } else {
        miss = load_request_join(request, t);
        request->load_attempts++;
      }
    }
    if (miss && miss->done) {
      if (miss->error_code) {
        why = miss->error_code;
        back = miss->retry_after_ms;
        list_for_each (x, &router->engine_list.engines, engine, link)
          if (id_equal(x->self, miss->engine_id))
            exclude_engine(request, x);
      } else
        request->load_attempts--;
      load_request_leave(miss);
      miss = NULL;
      world_sleep(world, time_from_ms(10));
      continue;
    }
    if (copy && copy->done) {
      load_request_leave(copy);
      copy = NULL;
      request->received_at = now;
    }
    time_us step = time_add(now, time_from_ms(250));
    condition_wait(&world->tasks, &router->state_changed, step.us < till.us ? step : till);
  }
  request->awaiting_engine = false;
  if (miss)
    load_request_leave(miss);
  if (copy)
    load_request_leave(copy);
  return code;
}

/* second tries come out of a budget that first tries fill */
static bool take_retry(router *router) {
  if (router->requests.retry_budget < 1)
    return false;
  router->requests.retry_budget -= 1;
  router->retry_count++;
  return true;
}

static bool ends_with_done(const GString *tail, const char *attempt) {
  const char *p = g_strrstr(tail->str, "event: done\n");
  return p && strstr(p, attempt) && g_str_has_suffix(tail->str, "\n\n");
}

enum attempt_outcome { ATTEMPT_COMPLETED, ATTEMPT_RETRYABLE, ATTEMPT_FINAL };

/* one attempt at one engine; its attempt name comes back in the stream's first event, so that no
 * other run is taken for it */
static enum attempt_outcome run_attempt(routed_request *request) {
  router *router = request->router;
  world *world = router->node.world;
  engine *engine = request->engine;
  char attempt[96];
  enum attempt_outcome res = ATTEMPT_FINAL;
  snprintf(attempt, sizeof attempt, "%s.%d", request->request_id, ++request->attempts);
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_CONTENT_TYPE, "application/json");
  http_headers_set(&h, HEADER_ATTEMPT, attempt);
  engine->refs++;
  engine->own_running++;
  router->attempt_count++;
  time_us from = world_now(world);
  http_call *call = http_call_open_before(world, engine->address, "POST", "/v1/run", &h,
                                          string_view_of_gstring(request->http->body), 1 << 20,
                                          time_add(from, time_from_ms(SEND_TIMEOUT_MS)));
  http_headers_free(&h);
  GString *got = g_string_new(NULL), *tail = g_string_new(NULL);
  int x;
  for (;;) {
    time_us step = time_add(world_now(world), time_from_ms(500));
    x = http_call_wait(call, step.us < request->deadline.us ? step : request->deadline);
    if (x != E_NO_RESPONSE || request->http->client_gone ||
        time_reached(world_now(world), request->deadline))
      break;
  }
  if (x == E_NOT_CONNECTED) {
    engine->consecutive_failures++;
    engine->excluded_until =
        time_add(world_now(world), time_from_ms(200 << MIN(engine->consecutive_failures, 5)));
    request->run_outcome = NOT_RUN;
    set_error(request, E_NO_ENGINE, 1000, "%s could not be reached", engine->self.text);
    res = ATTEMPT_RETRYABLE;
  } else if (x) {
    request->run_outcome = UNKNOWN;
    set_error(request, x == E_NO_RESPONSE ? E_DEADLINE_EXCEEDED : E_CONNECTION_LOST_AFTER_SEND,
              2000, "%s gave no answer; whether it ran is not known", engine->self.text);
    res = request->resumable && x != E_NO_RESPONSE && !request->http->client_gone
              ? ATTEMPT_RETRYABLE
              : ATTEMPT_FINAL;
  } else if (call->status != 200) {
    http_call_read_all(call, got, time_add(world_now(world), time_from_ms(1000)));
    json *value = json_parse(string_view_of_gstring(got), NULL);
    const json *run = json_get(value, "run");
    bool no = run && run->kind == JSON_BOOL && !run->boolean;
    request->run_outcome = no ? NOT_RUN : FAILED;
    set_error(request, no ? E_NO_ENGINE : E_STREAM_BROKEN, 1000, "%s answered %d",
              engine->self.text, call->status);
    json_free(value);
    res = no ? ATTEMPT_RETRYABLE : ATTEMPT_FINAL;
  } else {
    /* the first event must name this very attempt */
    time_us idle;
    do {
      idle = time_add(world_now(world), time_from_ms(STREAM_IDLE_MS));
      x = http_call_read(call, got, idle);
    } while (!x && !strstr(got->str, "\n\n") && got->len < 4096);
    char *end = strstr(got->str, "\n\n");
    char name[128];
    snprintf(name, sizeof name, "\"attempt\":\"%s\"", attempt);
    char *at = strstr(got->str, name);
    if (x || !end || !at || at > end) {
      if (!x) {
        router->requests.mismatched_runs++;
        log_info(&router->node.log, "route",
                 "%s answered attempt %s with another run; it is not passed on (code %d).",
                 engine->self.text, attempt, E_STREAM_BROKEN);
      }
      request->run_outcome = UNKNOWN;
      set_error(request, E_STREAM_BROKEN, 2000, "%s broke off before its stream began",
                engine->self.text);
      res = request->resumable && x && !request->http->client_gone ? ATTEMPT_RETRYABLE
                                                                   : ATTEMPT_FINAL;
    } else {
      engine->consecutive_failures = 0;
      http_request_begin(request->http, 200, "text/event-stream");
      request->run_outcome = "run";
      x = OK;
      while (!x) {
        g_string_append_len(tail, got->str, got->len);
        if (tail->len > 400)
          g_string_erase(tail, 0, tail->len - 400);
        x = http_request_write(request->http, string_view_of_gstring(got),
                               time_add(world_now(world), time_from_ms(STREAM_IDLE_MS)));
        if (x) {
          x = E_PEER_GONE + 1000;
          break;
        }
        g_string_truncate(got, 0);
        x = http_call_read(call, got, time_add(world_now(world), time_from_ms(STREAM_IDLE_MS)));
        if (request->http->client_gone) {
          x = E_PEER_GONE + 1000;
          break;
        }
      }
      bool whole = x == E_PEER_GONE && ends_with_done(tail, attempt);
      if (whole) {
        http_request_end(request->http, true);
        res = ATTEMPT_COMPLETED;
        double ms = (double)time_sub(world_now(world), from).us / 1000;
        router->requests.smoothed_service_ms += 0.1 * (ms - router->requests.smoothed_service_ms);
        event_history_append(&router->history, (history_event){ EVENT_COMPLETED,
                                                                { 0 },
                                                                engine->self,
                                                                request->model,
                                                                request->adapter,
                                                                (int64_t)ms });
      } else {
        event_history_append(
            &router->history,
            (history_event){
                EVENT_STREAM_BROKEN, { 0 }, engine->self, request->model, request->adapter, x });
        if (x != E_PEER_GONE + 1000) {
          char text[240];
          snprintf(
              text, sizeof text,
              "event: error\ndata: {\"code\":%d,\"run\":\"failed\",\"request\":\"%s\",\"error\":\"the engine broke off\"}\n\n",
              E_STREAM_BROKEN, request->request_id);
          http_request_write(request->http, string_view_of(text),
                             time_add(world_now(world), time_from_ms(1000)));
          log_info(&router->node.log, "route",
                   "Stream %s on %s broke off; the caller sees it broken (code %d).", attempt,
                   engine->self.text, E_STREAM_BROKEN);
        }
        http_request_end(request->http, false);
        request->error_code = E_STREAM_BROKEN;
      }
    }
  }
  http_call_close(call);
  g_string_free(got, TRUE);
  g_string_free(tail, TRUE);
  engine->own_running--;
  engine_unref(engine);
  condition_broadcast(&router->state_changed);
  return res;
}

static int op_proxy(routed_request *request) {
  router *router = request->router;
  for (;;) {
    if (!request->engine) {
      request->run_outcome = request->run_outcome ? request->run_outcome : NOT_RUN;
      int c = op_wait(request);
      if (c)
        return c;
    }
    request_class *request_class = &router->requests.classes[request->request_class];
    if (request->counted_waiting) {
      request->counted_waiting = false;
      request_class->waiting--;
    }
    if (!request->counted_running) {
      request->counted_running = true;
      request_class->running++;
    }
    engine *e = request->engine;
    char *self = g_strdup(e->self.text);
    enum attempt_outcome s = run_attempt(request);
    request->engine = NULL;
    /* once a run may have begun, no later refusal makes that untrue */
    if (request->run_outcome == NOT_RUN && request->may_have_run)
      request->run_outcome = UNKNOWN;
    request->may_have_run |= request->run_outcome != NOT_RUN;
    if (s == ATTEMPT_RETRYABLE)
      list_for_each (x, &router->engine_list.engines, engine, link)
        if (!strcmp(x->self.text, self))
          exclude_engine(request, x);
    g_free(self);
    if (s == ATTEMPT_COMPLETED)
      return OK;
    /* a run that may have happened is final, unless the caller said that it may be run anew */
    bool may = request->run_outcome == NOT_RUN || request->resumable;
    if (s != ATTEMPT_RETRYABLE || !may || request->attempts >= MAX_ATTEMPTS ||
        request->http->client_gone ||
        time_reached(world_now(router->node.world), request->deadline) || !take_retry(router))
      return request->error_code;
    request->hold_deadline = request->deadline;
    request->load_attempts = 0;
  }
}

static int op_select(routed_request *request) {
  bool any;
  engine *engine = select_resident(request, &any);
  bool turn = true;
  list_for_each (o, &request->router->requests.admitted_requests, routed_request, queue_link)
    turn &= !(o->awaiting_engine && id_equal(o->model, request->model) &&
              id_equal(o->adapter, request->adapter));
  if (engine && turn)
    request->engine = engine;
  return OK;
}

/* the interpreter: a request passes the steps of the first rule that fits it */
static void run_rule(routed_request *request, const policy_rule *u) {
  router *router = request->router;
  rule_step steps[RULE_STEPS_MAX];
  int n = u->step_count, code = OK;
  memcpy(steps, u->steps, sizeof steps);
  request->run_outcome = NOT_RUN;
  for (int i = 0; i < n && !code; i++)
    switch (steps[i].kind) {
    case STEP_ADMIT:
      code = request_step_admit(request);
      break;
    case STEP_SELECT_ENGINE:
      code = op_select(request);
      break;
    case STEP_WAIT_FOR_ENGINE:
      request->hold_deadline = steps[i].argument
                                   ? time_add(request->received_at, time_from_ms(steps[i].argument))
                                   : request->deadline;
      if (!request->engine)
        code = op_wait(request);
      break;
    case STEP_PROXY:
      if (!request->engine && (i == 0 || steps[i - 1].kind != STEP_WAIT_FOR_ENGINE)) {
        code =
            set_error(request, E_NO_ENGINE, (int64_t)router->config->default_load_ms,
                      "%s is not held anywhere, and its rule does not hold", request->model.text);
        break;
      }
      code = op_proxy(request);
      break;
    case STEP_RESPOND:
      break;
    case STEP_REJECT:
      code =
          set_error(request, E_REJECTED_BY_RULE, steps[i].argument, "a rule refuses this request");
      break;
    }
  request_class *request_class = &router->requests.classes[request->request_class];
  if (request->counted_waiting)
    request_class->waiting--;
  if (request->counted_running)
    request_class->running--;
  if (!code)
    request_class->completed++;
  else if (request->run_outcome == NOT_RUN)
    request_class->refused++;
  else
    request_class->failed++;
  if (code && !request->http->response_started && !request->http->response_ended) {
    if (!request->http->client_gone)
      send_error(request);
    event_history_append(&router->history, (history_event){ EVENT_REFUSED,
                                                            { 0 },
                                                            id_of_text(""),
                                                            request->model,
                                                            request->adapter,
                                                            request->error_code });
    log_debug(&router->node.log, "route", "Gave up %s (%s): %s (code %d, %s).", request->request_id,
              request->kind->self.text, request->error_text, request->error_code,
              request->run_outcome);
  }
}

/* reads a request; the text under a key has to be short and sound */
static int read_name(const json *value, const char *key, id *to, bool need, error *err) {
  const json *x = json_get(value, key);
  *to = id_of_text("");
  if (!x || x->kind == JSON_NULL)
    return need ? error_set(err, E_FIELD, "%s: missing", key) : OK;
  if (x->kind != JSON_STRING ||
      !(id_is_valid(string_view_of_gstring(x->text)) || (!need && !x->text->len)))
    return error_set(err, E_NAME, "%s: not a name", key);
  *to = id_of(string_view_of_gstring(x->text));
  return OK;
}

static void generate(router *router, http_request *request) {
  error err = { 0 };
  routed_request r = { .router = router, .http = request };
  json *json = json_parse(string_view_of_gstring(request->body), &err);
  id kn;
  int c =
      json ? json->kind == JSON_OBJECT ? OK : error_set(&err, E_TYPE, "not an object") : err.code;
  if (!c)
    c = read_name(json, "model", &r.model, true, &err);
  if (!c)
    c = read_name(json, "adapter", &r.adapter, false, &err);
  if (!c)
    c = read_name(json, "kind", &kn, false, &err);
  const char *pre = json_text(json, "prefix", "");
  if (!c && strlen(pre) >= sizeof r.prefix)
    c = error_set(&err, E_TOO_LARGE, "prefix: over %zu bytes", sizeof r.prefix - 1);
  if (!c)
    g_strlcpy(r.prefix, pre, sizeof r.prefix);
  r.resumable = json_bool(json, "resumable", false);
  json_free(json);
  if (c) {
    http_respond_error(request, 400, c, err.text);
    return;
  }
  if (router->config && !router->draining && !admission_wait(router)) {
    router->requests.isolated_refusals++;
    r.run_outcome = NOT_RUN;
    set_error(&r, E_ISOLATED, 2000, "this machine is cut off and can't know what is in force");
    send_error(&r);
    return;
  }
  if (!router->config) {
    http_headers_set(&request->known_response_fields, HEADER_RETRY_AFTER, "2");
    http_respond_error(request, 503, E_NO_CONTROLLER,
                       "no configuration is known here yet; not run");
    return;
  }
  r.kind = id_is_empty(kn) ? &router->config->kinds[0] : config_kind(router->config, kn.text);
  if (!r.kind) {
    http_respond_error(request, 400, E_NAME, "kind: the policy has no such kind");
    return;
  }
  r.request_class = (int)(r.kind - router->config->kinds);
  r.kind_copy = *r.kind;
  r.kind = &r.kind_copy;
  r.received_at = world_now(router->node.world);
  r.deadline = r.hold_deadline = time_add(r.received_at, time_from_ms(r.kind->deadline_ms));
  snprintf(r.request_id, sizeof r.request_id, "%s.%" PRIx64 ".%" PRIu64,
           router->node.settings.self.text, router->node.nonce >> 32, ++router->request_count);
  uint64_t megs;
  unsigned slots;
  const policy_rule *u =
      config_rule(router->config, r.kind->self.text, r.model.text, r.adapter.text);
  policy_rule own = u ? *u : (policy_rule){ 0 };
  if (router->draining) {
    r.run_outcome = NOT_RUN;
    set_error(&r, E_DRAINING, 1000, "this machine is leaving");
    send_error(&r);
    return;
  }
  router->requests.classes[r.request_class].requested++;
  if (!model_loading_find_size(router, r.model, r.adapter, &megs, &slots)) {
    r.run_outcome = NOT_RUN;
    set_error(&r, E_UNKNOWN_MODEL, 0, "the catalogue has no such model or adapter");
    send_error(&r);
    return;
  }
  if (!u) {
    r.run_outcome = NOT_RUN;
    set_error(&r, E_REJECTED_BY_RULE, 403, "no rule fits this request");
    send_error(&r);
    return;
  }
  event_history_append(
      &router->history,
      (history_event){ EVENT_ROUTED, { 0 }, id_of_text(""), r.model, r.adapter, r.request_class });
  router->requests.retry_budget =
      MIN(10.0, router->requests.retry_budget + router->config->retry_ratio);
  router->open_requests++;
  list_append(&router->requests.admitted_requests, &r.queue_link);
  run_rule(&r, &own);
  list_remove(&r.queue_link);
  router->open_requests--;
  condition_broadcast(&router->state_changed);
}

/* pages */
static const char *resident_state_name(enum resident_state s) {
  return s == RESIDENT_UP ? "up" : s == RESIDENT_LOADING ? "loading" : "unloading";
}

/* the value of a query's field, or NULL */
static char *query_value(const http_request *request, const char *key) {
  char **q = g_strsplit(request->query ? request->query : "", "&", 8), *got = NULL;
  size_t n = strlen(key);
  for (char **k = q; *k && !got; k++)
    if (!strncmp(*k, key, n) && (*k)[n] == '=')
      got = g_strdup(*k + n + 1);
  g_strfreev(q);
  return got;
}

static void write_engines(router *router, GString *b, bool holdings, const char *only) {
  bool first = true;
  time_us now = world_now(router->node.world);
  g_string_append_c(b, '[');
  list_for_each (e, &router->engine_list.engines, engine, link) {
    if (e->removed || (only && strcmp(only, e->self.text)))
      continue;
    char duty[64];
    id who = { "" };
    uint64_t epoch = 0;
    singleton_engine_name(duty, sizeof duty, e->self);
    config_sync_find_grant(router, duty, &who, &epoch);
    json_appendf(b, "%s{\"id\":\"%s\"", first ? "" : ",", e->self.text);
    first = false;
    if (!holdings) {
      json_appendf(
          b,
          ",\"type\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"weightsMb\":%" PRIu64
          ",\"adapterSlots\":%u,\"leaving\":%s,\"open\":%s,\"emptied\":%s,\"odd\":%s,\"heardMs\":%" PRId64
          ",\"running\":%d,\"cap\":%d,\"holder\":\"%s\",\"epoch\":%" PRIu64 "}",
          e->type.text, e->zone.text, e->address, e->weights_mb, e->adapter_slots,
          e->draining ? "true" : "false", engine_accepts_work(e) ? "true" : "false",
          router->config && config_is_engine_evacuated(router->config, e->self, e->zone) ? "true"
                                                                                         : "false",
          e->malformed ? "true" : "false",
          e->last_report_at.us ? time_sub(now, e->last_report_at).us / 1000 : -1, e->running,
          engine_max_streams(e), who.text, epoch);
      continue;
    }
    json_appendf(b, ",\"boot\":\"%s\",\"seq\":%" PRIu64, e->boot_id, e->report_seq);
    g_string_append(b, ",\"holdings\":[");
    bool f = true;
    list_for_each (h, &e->residents, resident_model, link) {
      json_appendf(b,
                   "%s{\"model\":\"%s\",\"adapter\":\"%s\",\"state\":\"%s\",\"weightsMb\":%" PRIu64
                   ",\"slots\":%u,\"running\":%u}",
                   f ? "" : ",", h->model.text, h->adapter.text, resident_state_name(h->state),
                   h->weights_mb, h->slots, h->running);
      f = false;
    }
    g_string_append(b, "],\"waiting\":[");
    f = true;
    list_for_each (k, &e->load_requests, queued_load_request, link) {
      if (k->done)
        continue;
      json_appendf(b, "%s{\"model\":\"%s\",\"adapter\":\"%s\",\"sinceMs\":%" PRId64 "}",
                   f ? "" : ",", k->model.text, k->adapter.text,
                   time_sub(now, k->queued_at).us / 1000);
      f = false;
    }
    g_string_append(b, "]}");
  }
  g_string_append_c(b, ']');
}

static void write_status(router *router, GString *b) {
  int held = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, router->singleton_leases);
  while (g_hash_table_iter_next(&it, NULL, &p))
    held += singleton_lease_epoch(router, ((singleton_lease *)p)->name.text) > 0;
  peer_node *peer = node_pick_peer(&router->node, ROLE_CONTROLLER, router->polled_controller);
  json_appendf(
      b,
      "{\"id\":\"%s\",\"role\":\"router\",\"area\":\"%s\",\"epoch\":%" PRIu64
      ",\"version\":%" PRIu64 ",\"fresh\":%s,\"core\":\"%s\",\"enrols\":%s,\"alone\":%" PRIu64
      ",\"duties\":%d,\"listMs\":%" PRId64 ",\"draining\":%s,\"open\":%d,",
      router->node.settings.self.text, router->node.settings.zone.text, router->sync.view_epoch,
      router->config_version, config_sync_is_recent(router) ? "true" : "false",
      peer ? peer->address : "", config_sync_may_admit(router) ? "true" : "false",
      router->requests.isolated_refusals, held,
      router->engine_list.known
          ? time_sub(world_now(router->node.world), router->engine_list.received_at).us / 1000
          : -1,
      router->draining ? "true" : "false", router->open_requests);
  json_appendf(b,
               "\"requests\":%" PRIu64 ",\"attempts\":%" PRIu64 ",\"seconds\":%" PRIu64
               ",\"loads\":%" PRIu64 ",\"loadFails\":%" PRIu64 ",\"unloads\":%" PRIu64
               ",\"wasted\":%" PRIu64 ",\"tickets\":%" PRIu64 ",\"ticketsLate\":%" PRIu64
               ",\"paceGiven\":%.1f,\"paceFull\":%.1f,",
               router->request_count, router->attempt_count, router->retry_count,
               router->load_count, router->failed_loads, router->unload_count, router->wasted_loads,
               router->load_permits, router->load_permits_refused, router->permits_granted_recently,
               router->permits_refused_recently);
  node_status_json(&router->node, b);
  g_string_append(b, ",\"kinds\":{");
  for (int i = 0; router->config && i < router->config->kind_count; i++) {
    request_class *request_class = &router->requests.classes[i];
    json_appendf(b,
                 "%s\"%s\":{\"waiting\":%d,\"running\":%d,\"asked\":%" PRIu64 ",\"done\":%" PRIu64
                 ",\"refused\":%" PRIu64 ",\"failed\":%" PRIu64 ",\"shed\":%" PRIu64 "}",
                 i ? "," : "", router->config->kinds[i].self.text, request_class->waiting,
                 request_class->running, request_class->requested, request_class->completed,
                 request_class->refused, request_class->failed, request_class->shed);
  }
  g_string_append(b, "}}");
}

static void write_metrics(router *router, GString *b) {
  json_appendf(b,
               "asterfall_version %" PRIu64 "\nasterfall_fresh %d\nasterfall_requests %" PRIu64
               "\nasterfall_attempts %" PRIu64 "\nasterfall_second_tries %" PRIu64
               "\nasterfall_loads %" PRIu64 "\nasterfall_loads_failed %" PRIu64
               "\nasterfall_loads_wasted %" PRIu64 "\nasterfall_unloads %" PRIu64
               "\nasterfall_unloads_of_busy %" PRIu64 "\nasterfall_tickets %" PRIu64
               "\nasterfall_alone %" PRIu64 "\nasterfall_tasks %zu\nasterfall_news %" PRIu64
               "\nasterfall_news_bytes %" PRIu64 "\n",
               router->config_version, config_sync_is_recent(router), router->request_count,
               router->attempt_count, router->retry_count, router->load_count, router->failed_loads,
               router->wasted_loads, router->unload_count, router->busy_unloads,
               router->load_permits, router->requests.isolated_refusals,
               router->node.world->tasks.count, router->sync_count, router->sync_bytes);
  for (int i = 0; router->config && i < router->config->kind_count; i++)
    json_appendf(b,
                 "asterfall_waiting{kind=\"%s\"} %d\nasterfall_done{kind=\"%s\"} %" PRIu64
                 "\nasterfall_refused{kind=\"%s\"} %" PRIu64 "\n",
                 router->config->kinds[i].self.text, router->requests.classes[i].waiting,
                 router->config->kinds[i].self.text, router->requests.classes[i].completed,
                 router->config->kinds[i].self.text, router->requests.classes[i].refused);
}

static void write_journal(router *router, GString *b, const char *engine_, const char *model_,
                          const char *after) {
  static const char *const names[] = { "",         "routed",  "ordered", "loaded", "failed",
                                       "unloaded", "refused", "broke",   "done",   "shed" };
  uint64_t from = router->history.next_seq > EVENT_JOURNAL_CAPACITY
                      ? router->history.next_seq - EVENT_JOURNAL_CAPACITY
                      : 0;
  if (after)
    from = MAX(from, strtoull(after, NULL, 10) + 1);
  size_t at = b->len;
  for (uint64_t i = from; i < router->history.next_seq; i++) {
    history_event *e = &router->history.journal[i % EVENT_JOURNAL_CAPACITY];
    if ((engine_ && strcmp(engine_, e->engine.text)) || (model_ && strcmp(model_, e->model.text)))
      continue;
    json_appendf(
        b,
        "%s{\"n\":%" PRIu64 ",\"agoMs\":%" PRId64
        ",\"event\":\"%s\",\"engine\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"value\":%" PRId64
        "}",
        b->len > at ? "," : "", i, time_sub(world_now(router->node.world), e->at).us / 1000,
        names[e->kind], e->engine.text, e->model.text, e->adapter.text, e->value);
  }
  g_string_prepend_c(b, '[');
  g_string_append_c(b, ']');
}

void generate_api_serve(void *ctx, http_request *request) {
  router *router = ctx;
  const char *p = request->path;
  if (!strcmp(p, "/v1/generate")) {
    if (strcmp(request->method, "POST"))
      http_respond_error(request, 405, E_METHOD_NOT_ALLOWED, "POST");
    else
      generate(router, request);
    return;
  }
  if (strcmp(request->method, "GET")) {
    http_respond_error(request, 405, E_METHOD_NOT_ALLOWED, "GET");
    return;
  }
  GString *b = g_string_new(NULL);
  const char *type = "application/json";
  char *only = query_value(request, "engine"), *model_ = query_value(request, "model"),
       *after = query_value(request, "after");
  if (!strcmp(p, "/v1/engines"))
    write_engines(router, b, false, only);
  else if (!strcmp(p, "/v1/holdings")) {
    /* one engine's slice may be waited for: answered on its next report that is younger */
    engine *engine = only ? engine_find(router, id_of_text(only)) : NULL;
    time_us till = time_add(world_now(router->node.world), time_from_ms(20000));
    uint64_t n = after ? strtoull(after, NULL, 10) : 0;
    while (engine && after && !request->client_gone &&
           (engine = engine_find(router, id_of_text(only))) && engine->report_seq <= n)
      if (condition_wait(&router->node.world->tasks, &router->state_changed, till) !=
          WAKE_SIGNALLED)
        break;
    write_engines(router, b, true, only);
  } else if (!strcmp(p, "/v1/nodes"))
    node_peers_json(&router->node, b);
  else if (!strcmp(p, "/v1/status"))
    write_status(router, b);
  else if (!strcmp(p, "/v1/journal"))
    write_journal(router, b, only, model_, after);
  else if (router->write_status && !strcmp(p, "/v1/gateway"))
    router->write_status(router->gateway, b, false);
  else if (!strcmp(p, "/metrics")) {
    write_metrics(router, b);
    if (router->write_status)
      router->write_status(router->gateway, b, true);
    type = "text/plain";
  }
  if (b->len)
    http_request_respond(request, 200, type, string_view_of_gstring(b));
  else
    http_respond_error(request, 404, E_NOT_FOUND,
                       "there is no such page here; the resources are at the core, see /v1/status");
  g_free(only);
  g_free(model_);
  g_free(after);
  g_string_free(b, TRUE);
}
