#include "router.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum { IDLE_MS = 15000, TRIES = 3, ENGINES = 2, COPY_MS = 1500, SEND_MS = 600, NAME_MOST = 256 };

/** A request on its way through the rules. */
typedef struct routed_request {
  list_node queue_link;
  router *router;
  http_request *http;
  id model, adapter;
  char prefix[NAME_MOST];
  int lane;
  bool resumable, waits, runs, queued, maybe;
  const kind *kind;
  kind kind_now;
  time_us since, till, hold_till;
  engine *engine;
  id shunned[8];
  int shuns, loads, tries;
  char name[64];
  const char *run;
  int code;
  char why[200];
  int64_t back;
} routed_request;

/* what was done with a request that is given up: the truth, since callers act on it */
static const char NOT_RUN[] = "not run", UNKNOWN[] = "unknown", FAILED[] = "failed";

static int give_up(routed_request *request, int code, int64_t back, const char *form, ...)
    __attribute__((format(printf, 4, 5)));
static int give_up(routed_request *request, int code, int64_t back, const char *form, ...) {
  va_list a;
  va_start(a, form);
  vsnprintf(request->why, sizeof request->why, form, a);
  va_end(a);
  request->code = code;
  request->back = back;
  return code;
}

static void answer(routed_request *request) {
  router *router = request->router;
  int st;
  switch (request->code) {
  case E_MODEL:
    st = 404;
    break;
  case E_FITS_NO_ENGINE:
    st = 422;
    break;
  case E_QUEUE_FULL:
  case E_SHED:
    st = 429;
    break;
  case E_STREAM_BROKEN:
  case E_LOST_AFTER_SENT:
    st = 502;
    break;
  case E_DEADLINE:
    st = 504;
    break;
  case E_REFUSED_BY_RULE:
    st = (int)request->back;
    request->back = 0;
    break;
  default:
    st = 503;
  }
  bool come = st == 429 || st >= 502;
  if (come) {
    int64_t ms = request->back > 0 ? request->back : 2000;
    ms += (int64_t)world_random(router->node.world, ms / 2 + 500);
    char buf[24];
    snprintf(buf, sizeof buf, "%" PRId64, (ms + 999) / 1000);
    http_headers_set(&request->http->own_reply_fields, HEADER_RETRY, buf);
  }
  GString *b = g_string_new(NULL);
  json_f(b, "{\"code\":%d,\"run\":\"%s\",\"request\":\"%s\",\"error\":", request->code,
         request->run, request->name);
  json_quote(b, string_view_of(request->why));
  g_string_append(b, "}\n");
  http_request_answer(request->http, st, "application/json", string_view_of_gstring(b));
  g_string_free(b, TRUE);
}

/* enrol: room in the line by kind, and no place for those who would wait in vain */
static double free_share(router *router, int lane) {
  double most = (double)router->config->line_most, spare = most;
  for (int i = 0; i < router->config->kind_count; i++) {
    double own = router->config->kinds[i].share * most;
    if (i != lane)
      spare -= MAX(own, router->lanes[i].waiting);
  }
  return spare;
}

static int mean_cap(router *router, id m, id a, int *up) {
  int cap = 0;
  *up = 0;
  list_for_each(e, &router->engines, engine, link) {
    holding *holding = engine_open(e) ? engine_holding(e, m, a) : NULL;
    if (holding && holding->state == HOLD_UP) {
      cap += engine_cap(e);
      (*up)++;
    }
  }
  return cap;
}

/* the routers that share the engines with this one, and itself */
static int routers(router *router) {
  int n = 1;
  list_for_each(peer, &router->node.machines, machine, link) n +=
      peer->role == ROLE_ROUTER && !peer->gone && !peer->leaving;
  return n;
}

static int op_enrol(routed_request *request) {
  router *router = request->router;
  lane *lane = &router->lanes[request->lane];
  int up, cap;
  if (lane->waiting + 1 > free_share(router, request->lane)) {
    lane->shed++;
    /* when about half of the line is through, there is room again */
    int64_t back = (int64_t)(router->served * (lane->waiting + 1) / 2 /
                             MAX(1, mean_cap(router, request->model, request->adapter, &up) /
                                        routers(router))) +
                   500;
    return give_up(request, E_QUEUE_FULL, MIN(back, 10000), "the line of kind %s is full: %d wait",
                   request->kind->self.text, lane->waiting);
  }
  cap = mean_cap(router, request->model, request->adapter, &up);
  int64_t est = 0;
  if (up) {
    int same = 0;
    list_for_each(o, &router->queue, routed_request, queue_link) same +=
        id_equal(o->model, request->model) && id_equal(o->adapter, request->adapter) &&
        o->kind_now.weight >= request->kind_now.weight;
    est = (int64_t)(router->served * same * routers(router) / MAX(cap, 1));
  } else {
    int ahead = 0;
    bool joined = false;
    list_for_each(m, &router->misses, miss, link) {
      if (m->done)
        continue;
      joined |= id_equal(m->model, request->model) && id_equal(m->adapter, request->adapter);
      ahead++;
    }
    int open = 0;
    list_for_each(e, &router->engines, engine, link) open += engine_open(e);
    if (!joined && open) {
      double one = item_penalty(router, id_of_text("any"), request->model, request->adapter),
             slots = MAX(one * ahead / open, ahead * 1000.0 / router->config->loads_per_s);
      est = (int64_t)(one * 0.5 + slots);
    }
  }
  if (est > request->kind->deadline_ms) {
    lane->shed++;
    return give_up(request, E_SHED, MIN(est - request->kind->deadline_ms + 500, 60000),
                   "about %" PRId64 " ms of work wait ahead, past the deadline of kind %s", est,
                   request->kind->self.text);
  }
  lane->waiting++;
  request->waits = true;
  return OK;
}

static bool shuns(routed_request *request, engine *engine) {
  for (int i = 0; i < request->shuns; i++)
    if (id_equal(request->shunned[i], engine->self))
      return true;
  return false;
}

static void shun(routed_request *request, engine *engine) {
  if (request->shuns < (int)G_N_ELEMENTS(request->shunned))
    request->shunned[request->shuns++] = engine->self;
}

/* older and weightier ones go first when a place comes free */
static int64_t rank(const routed_request *request) {
  return request->since.us - (int64_t)request->kind_now.weight * 500000;
}

static bool my_turn(routed_request *request) {
  list_for_each(o, &request->router->queue, routed_request,
                queue_link) if (o != request && o->queued && id_equal(o->model, request->model) &&
                                id_equal(o->adapter, request->adapter) &&
                                rank(o) < rank(request)) return false;
  return true;
}

/* select among those that hold the thing: prefix affinity with bounded load, near ones first when
 * the prefix does not say */
static engine *resident(routed_request *request, bool *any) {
  router *router = request->router;
  int count = 0, n = 0, sum = 0;
  list_for_each(e, &router->engines, engine, link) count++;
  engine **all = g_new(engine *, count + 1);
  *any = false;
  list_for_each(e, &router->engines, engine, link) {
    if (!engine_open(e) || shuns(request, e))
      continue;
    holding *h = engine_holding(e, request->model, request->adapter);
    if (!h || h->state != HOLD_UP)
      continue;
    if (!id_is_empty(request->adapter)) {
      holding *b = engine_holding(e, request->model, id_of_text(""));
      if (!b || b->state != HOLD_UP)
        continue;
    }
    *any = true;
    sum += engine_load(e);
    all[n++] = e;
  }
  int bound = (int)ceil(1.25 * (sum + 1) / MAX(n, 1));
  engine *best = NULL;
  double top = 0;
  for (int i = 0; i < n; i++) {
    engine *e = all[i];
    int load = engine_load(e);
    if (!engine_place(e))
      continue;
    double worth = 0;
    if (load + 1 <= bound)
      worth += 4;
    if (request->prefix[0])
      worth += (double)(hash_of_two(request->prefix, e->self.text) >> 12) / (double)(1ull << 52);
    else
      worth += (id_equal(e->area, router->node.settings.area) ? 0.5 : 0) + 1.0 / (2 + load);
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
  uint64_t at;
  bool room;
} place;
static int place_cmp(const void *a, const void *b) {
  const place *x = a, *y = b;
  return x->at > y->at ? -1 : x->at < y->at;
}

/* select for a miss: all nodes agree on the order, so that misses for one thing meet at one engine
 */
static engine *target(routed_request *request, bool *fits) {
  router *router = request->router;
  uint64_t megs, base = 0;
  unsigned slots, none;
  char key[128];
  int count = 0, n = 0;
  *fits = false;
  if (!item_size(router, request->model, request->adapter, &megs, &slots))
    return NULL;
  if (!id_is_empty(request->adapter))
    item_size(router, request->model, id_of_text(""), &base, &none);
  history_key(key, sizeof key, request->model, id_of_text(""));
  list_for_each(e, &router->engines, engine, link) count++;
  place *all = g_new(place, count + 1);
  list_for_each(e, &router->engines, engine, link) {
    if (!e->listed || megs + base > e->weights_mb || slots > e->adapter_slots)
      continue;
    *fits = true;
    if (!engine_open(e) || shuns(request, e))
      continue;
    uint64_t used = 0;
    unsigned taken = 0;
    list_for_each(h, &e->holdings, holding, link) {
      used += h->megs;
      taken += h->slots;
    }
    holding *b = base ? engine_holding(e, request->model, id_of_text("")) : NULL;
    bool here = engine_holding(e, request->model, request->adapter) != NULL;
    uint64_t need = megs + (b ? 0 : base);
    all[n++] =
        (place){ e, hash_of_two(key, e->self.text),
                 here || (used + need <= e->weights_mb && taken + slots <= e->adapter_slots) };
    if (b && b->state == HOLD_UP)
      all[n - 1].at |= 1ull << 63;
    else
      all[n - 1].at >>= 1;
  }
  qsort(all, n, sizeof *all, place_cmp);
  engine *got = n ? all[0].engine : NULL;
  for (int i = 0; i < n && i < 3; i++)
    if (all[i].room) {
      got = all[i].engine;
      break;
    }
  g_free(all);
  return got;
}

/* carries one miss to the engine's holder, for all the requests that share it */
static void miss_run(void *p) {
  miss *miss = p;
  router *router = miss->router;
  char duty[64];
  duty_engine(duty, sizeof duty, miss->engine);
  while (!miss->done) {
    time_us now = world_now(router->node.world);
    if (time_reached(now, miss->till)) {
      miss->code = E_DEADLINE;
      miss->wait = 3000;
      break;
    }
    id who;
    uint64_t epoch;
    error err = { 0 };
    int r = E_NO_HOLDER;
    Wire__Envelope *b = NULL;
    if (router_grant(router, duty, &who, &epoch)) {
      machine *machine = node_find_machine(&router->node, who);
      char addr[48] = "";
      if (id_equal(who, router->node.settings.self))
        g_strlcpy(addr, router->node.settings.addr, sizeof addr);
      else if (machine && !machine->gone)
        g_strlcpy(addr, machine->addr, sizeof addr);
      if (addr[0]) {
        Wire__Miss q = WIRE__MISS__INIT;
        q.engine = miss->engine.text;
        q.model = miss->model.text;
        q.adapter = miss->adapter.text;
        q.weight = miss->weight;
        q.wait = 2000;
        Wire__Envelope w = wire_msg(WIRE__ENVELOPE__BODY_MISS, &q);
        r = node_call(&router->node, addr, &w, time_from_ms(2600), &b, &err);
      }
    }
    if (r == E_STOPPING) {
      miss->code = E_STOPPING;
      break;
    }
    if (!r && b->body_case == WIRE__ENVELOPE__BODY_MISSBACK) {
      Wire__MissBack *k = b->missback;
      if (k->up) {
        miss->code = OK;
        node_reply_free(b);
        break;
      }
      if (k->code && k->code != E_IN_PROGRESS && k->code != E_NO_HOLDER) {
        miss->code = k->code;
        miss->wait = k->wait;
        node_reply_free(b);
        break;
      }
    }
    node_reply_free(b);
    if (!miss->waiters) {
      miss->code = E_PEER_GONE;
      break;
    }
    if (r && !world_sleep_about(router->node.world, time_from_ms(250))) {
      miss->code = E_STOPPING;
      break;
    }
  }
  miss->done = true;
  condition_broadcast(&miss->changed);
  list_remove(&miss->link);
  if (!miss->waiters)
    g_free(miss);
}

static miss *miss_join(routed_request *request, engine *engine) {
  router *router = request->router;
  miss *m = NULL;
  list_for_each(k, &router->misses, miss, link) if (!k->done && id_equal(k->engine, engine->self) &&
                                                    id_equal(k->model, request->model) &&
                                                    id_equal(k->adapter, request->adapter)) m = k;
  if (!m) {
    m = g_new0(miss, 1);
    m->router = router;
    m->engine = engine->self;
    m->model = request->model;
    m->adapter = request->adapter;
    condition_init(&m->changed);
    list_append(&router->misses, &m->link);
    m->till = request->till;
    task_start(&router->node.world->tasks, "miss", miss_run, m);
  }
  m->weight = MAX(m->weight, request->kind_now.weight);
  if (request->till.us > m->till.us)
    m->till = request->till;
  m->waiters++;
  return m;
}

static void miss_leave(miss *miss) {
  if (!--miss->waiters && miss->done)
    g_free(miss);
}

/* hold: waits for a place, for a load, or for the end of its time */
static int op_hold(routed_request *request) {
  router *router = request->router;
  world *world = router->node.world;
  miss *miss = NULL, *copy = NULL;
  int code = OK, why = OK;
  int64_t back = 0;
  request->queued = true;
  condition_broadcast(&router->moved);
  for (;;) {
    time_us now = world_now(world);
    if (world->tasks.dead) {
      code = give_up(request, E_LEAVING, 1000, "this machine is stopping");
      break;
    }
    if (request->http->gone) {
      code = give_up(request, E_PEER_GONE, 0, "the caller went away");
      break;
    }
    if (!router_wait_enrol(router)) {
      router->alone++;
      code = give_up(request, E_CUT_OFF, 2000,
                     "this machine is cut off and can't know what is in force");
      break;
    }
    bool any, fits = true;
    engine *e = resident(request, &any);
    if (e && my_turn(request)) {
      request->engine = e;
      break;
    }
    time_us till = request->hold_till.us < request->till.us ? request->hold_till : request->till;
    if (time_reached(now, till)) {
      double pen = item_penalty(router, id_of_text("any"), request->model, request->adapter);
      code = give_up(request, E_DEADLINE, any ? (int64_t)router->served : (int64_t)pen,
                     "no engine was free for %s%s%s in time", request->model.text,
                     request->adapter.text[0] ? "+" : "", request->adapter.text);
      break;
    }
    if (any) {
      /* all who hold it are busy: after a while one more copy is worth its load */
      if (!copy && !e && time_reached(now, time_add(request->since, time_from_ms(COPY_MS)))) {
        routed_request probe = *request;
        list_for_each(x, &router->engines, engine,
                      link) if (engine_holding(x, request->model, request->adapter))
            shun(&probe, x);
        engine *t = target(&probe, &fits);
        if (t)
          copy = miss_join(request, t);
      }
    } else if (!miss) {
      engine *t = request->loads < ENGINES ? target(request, &fits) : NULL;
      if (!t) {
        if (!fits)
          code = give_up(request, E_FITS_NO_ENGINE, 0, "%s%s%s fits no engine", request->model.text,
                         request->adapter.text[0] ? "+" : "", request->adapter.text);
        else if (why)
          code = give_up(request, why, back ? back : 2000, "%s%s%s could not be loaded",
                         request->model.text, request->adapter.text[0] ? "+" : "",
                         request->adapter.text);
        else if (time_reached(now, time_add(request->since, time_from_ms(3000))))
          code = give_up(request, E_ENGINE, 3000, "no engine takes new work");
        if (code)
          break;
      } else {
        miss = miss_join(request, t);
        request->loads++;
      }
    }
    if (miss && miss->done) {
      if (miss->code) {
        why = miss->code;
        back = miss->wait;
        list_for_each(x, &router->engines, engine, link) if (id_equal(x->self, miss->engine))
            shun(request, x);
      } else
        request->loads--;
      miss_leave(miss);
      miss = NULL;
      world_sleep(world, time_from_ms(10));
      continue;
    }
    if (copy && copy->done) {
      miss_leave(copy);
      copy = NULL;
      request->since = now;
    }
    time_us step = time_add(now, time_from_ms(250));
    condition_wait(&world->tasks, &router->moved, step.us < till.us ? step : till);
  }
  request->queued = false;
  if (miss)
    miss_leave(miss);
  if (copy)
    miss_leave(copy);
  return code;
}

/* second tries come out of a budget that first tries fill */
static bool second(router *router) {
  if (router->retries < 1)
    return false;
  router->retries -= 1;
  router->seconds++;
  return true;
}

static bool ends_done(const GString *tail, const char *attempt) {
  const char *p = g_strrstr(tail->str, "event: done\n");
  return p && strstr(p, attempt) && g_str_has_suffix(tail->str, "\n\n");
}

enum attempt { ATTEMPT_DONE, ATTEMPT_AGAIN, ATTEMPT_OVER };

/* one attempt at one engine; its attempt name comes back in the stream's first event, so that no
 * other run is taken for it */
static enum attempt run_attempt(routed_request *request) {
  router *router = request->router;
  world *world = router->node.world;
  engine *engine = request->engine;
  char attempt[96];
  enum attempt res = ATTEMPT_OVER;
  snprintf(attempt, sizeof attempt, "%s.%d", request->name, ++request->tries);
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_TYPE, "application/json");
  http_headers_set(&h, HEADER_ATTEMPT, attempt);
  engine->refs++;
  engine->own_running++;
  router->attempts++;
  time_us from = world_now(world);
  http_call *call = http_call_open_by(world, engine->addr, "POST", "/v1/run", &h,
                                      string_view_of_gstring(request->http->body), 1 << 20,
                                      time_add(from, time_from_ms(SEND_MS)));
  http_headers_free(&h);
  GString *got = g_string_new(NULL), *tail = g_string_new(NULL);
  int x;
  for (;;) {
    time_us step = time_add(world_now(world), time_from_ms(500));
    x = http_call_wait(call, step.us < request->till.us ? step : request->till);
    if (x != E_NO_ANSWER || request->http->gone || time_reached(world_now(world), request->till))
      break;
  }
  if (x == E_NOT_CONNECTED) {
    engine->fails++;
    engine->shunned = time_add(world_now(world), time_from_ms(200 << MIN(engine->fails, 5)));
    request->run = NOT_RUN;
    give_up(request, E_ENGINE, 1000, "%s could not be reached", engine->self.text);
    res = ATTEMPT_AGAIN;
  } else if (x) {
    request->run = UNKNOWN;
    give_up(request, x == E_NO_ANSWER ? E_DEADLINE : E_LOST_AFTER_SENT, 2000,
            "%s gave no answer; whether it ran is not known", engine->self.text);
    res = request->resumable && x != E_NO_ANSWER && !request->http->gone ? ATTEMPT_AGAIN
                                                                         : ATTEMPT_OVER;
  } else if (call->status != 200) {
    http_call_read_all(call, got, time_add(world_now(world), time_from_ms(1000)));
    json *value = json_read(string_view_of_gstring(got), NULL);
    const json *run = json_get(value, "run");
    bool no = run && run->kind == J_BOOL && !run->yes;
    request->run = no ? NOT_RUN : FAILED;
    give_up(request, no ? E_ENGINE : E_STREAM_BROKEN, 1000, "%s answered %d", engine->self.text,
            call->status);
    json_free(value);
    res = no ? ATTEMPT_AGAIN : ATTEMPT_OVER;
  } else {
    /* the first event must name this very attempt */
    time_us idle;
    do {
      idle = time_add(world_now(world), time_from_ms(IDLE_MS));
      x = http_call_read(call, got, idle);
    } while (!x && !strstr(got->str, "\n\n") && got->len < 4096);
    char *end = strstr(got->str, "\n\n");
    char name[128];
    snprintf(name, sizeof name, "\"attempt\":\"%s\"", attempt);
    char *at = strstr(got->str, name);
    if (x || !end || !at || at > end) {
      if (!x) {
        router->odd_runs++;
        log_info(&router->node.log, "route",
                 "%s answered attempt %s with another run; it is not passed on (code %d).",
                 engine->self.text, attempt, E_STREAM_BROKEN);
      }
      request->run = UNKNOWN;
      give_up(request, E_STREAM_BROKEN, 2000, "%s broke off before its stream began",
              engine->self.text);
      res = request->resumable && x && !request->http->gone ? ATTEMPT_AGAIN : ATTEMPT_OVER;
    } else {
      engine->fails = 0;
      http_request_begin(request->http, 200, "text/event-stream");
      request->run = "run";
      x = OK;
      while (!x) {
        g_string_append_len(tail, got->str, got->len);
        if (tail->len > 400)
          g_string_erase(tail, 0, tail->len - 400);
        x = http_request_write(request->http, string_view_of_gstring(got),
                               time_add(world_now(world), time_from_ms(IDLE_MS)));
        if (x) {
          x = E_PEER_GONE + 1000;
          break;
        }
        g_string_truncate(got, 0);
        x = http_call_read(call, got, time_add(world_now(world), time_from_ms(IDLE_MS)));
        if (request->http->gone) {
          x = E_PEER_GONE + 1000;
          break;
        }
      }
      bool whole = x == E_PEER_GONE && ends_done(tail, attempt);
      if (whole) {
        http_request_end(request->http, true);
        res = ATTEMPT_DONE;
        double ms = (double)time_sub(world_now(world), from).us / 1000;
        router->served += 0.1 * (ms - router->served);
        history_add(
            &router->history,
            (entry){ EV_DONE, { 0 }, engine->self, request->model, request->adapter, (int64_t)ms });
      } else {
        history_add(&router->history,
                    (entry){ EV_BROKE, { 0 }, engine->self, request->model, request->adapter, x });
        if (x != E_PEER_GONE + 1000) {
          char text[240];
          snprintf(
              text, sizeof text,
              "event: error\ndata: {\"code\":%d,\"run\":\"failed\",\"request\":\"%s\",\"error\":\"the engine broke off\"}\n\n",
              E_STREAM_BROKEN, request->name);
          http_request_write(request->http, string_view_of(text),
                             time_add(world_now(world), time_from_ms(1000)));
          log_info(&router->node.log, "route",
                   "Stream %s on %s broke off; the caller sees it broken (code %d).", attempt,
                   engine->self.text, E_STREAM_BROKEN);
        }
        http_request_end(request->http, false);
        request->code = E_STREAM_BROKEN;
      }
    }
  }
  http_call_close(call);
  g_string_free(got, TRUE);
  g_string_free(tail, TRUE);
  engine->own_running--;
  engine_drop(engine);
  condition_broadcast(&router->moved);
  return res;
}

static int op_proxy(routed_request *request) {
  router *router = request->router;
  for (;;) {
    if (!request->engine) {
      request->run = request->run ? request->run : NOT_RUN;
      int c = op_hold(request);
      if (c)
        return c;
    }
    lane *lane = &router->lanes[request->lane];
    if (request->waits) {
      request->waits = false;
      lane->waiting--;
    }
    if (!request->runs) {
      request->runs = true;
      lane->running++;
    }
    engine *e = request->engine;
    char *self = g_strdup(e->self.text);
    enum attempt s = run_attempt(request);
    request->engine = NULL;
    /* once a run may have begun, no later refusal makes that untrue */
    if (request->run == NOT_RUN && request->maybe)
      request->run = UNKNOWN;
    request->maybe |= request->run != NOT_RUN;
    if (s == ATTEMPT_AGAIN)
      list_for_each(x, &router->engines, engine, link) if (!strcmp(x->self.text, self))
          shun(request, x);
    g_free(self);
    if (s == ATTEMPT_DONE)
      return OK;
    /* a run that may have happened is final, unless the caller said that it may be run anew */
    bool may = request->run == NOT_RUN || request->resumable;
    if (s != ATTEMPT_AGAIN || !may || request->tries >= TRIES || request->http->gone ||
        time_reached(world_now(router->node.world), request->till) || !second(router))
      return request->code;
    request->hold_till = request->till;
    request->loads = 0;
  }
}

static int op_select(routed_request *request) {
  bool any;
  engine *engine = resident(request, &any);
  bool turn = true;
  list_for_each(o, &request->router->queue, routed_request, queue_link) turn &=
      !(o->queued && id_equal(o->model, request->model) && id_equal(o->adapter, request->adapter));
  if (engine && turn)
    request->engine = engine;
  return OK;
}

/* the interpreter: a request passes the steps of the first rule that fits it */
static void interpret(routed_request *request, const rule *u) {
  router *router = request->router;
  step steps[STEPS_MOST];
  int n = u->count, code = OK;
  memcpy(steps, u->steps, sizeof steps);
  request->run = NOT_RUN;
  for (int i = 0; i < n && !code; i++)
    switch (steps[i].op) {
    case OP_ENROL:
      code = op_enrol(request);
      break;
    case OP_SELECT:
      code = op_select(request);
      break;
    case OP_HOLD:
      request->hold_till =
          steps[i].n ? time_add(request->since, time_from_ms(steps[i].n)) : request->till;
      if (!request->engine)
        code = op_hold(request);
      break;
    case OP_PROXY:
      if (!request->engine && (i == 0 || steps[i - 1].op != OP_HOLD)) {
        code = give_up(request, E_ENGINE, (int64_t)router->config->start_load_ms,
                       "%s is not held anywhere, and its rule does not hold", request->model.text);
        break;
      }
      code = op_proxy(request);
      break;
    case OP_ANSWER:
      break;
    case OP_REFUSE:
      code = give_up(request, E_REFUSED_BY_RULE, steps[i].n, "a rule refuses this request");
      break;
    }
  lane *lane = &router->lanes[request->lane];
  if (request->waits)
    lane->waiting--;
  if (request->runs)
    lane->running--;
  if (!code)
    lane->done++;
  else if (request->run == NOT_RUN)
    lane->refused++;
  else
    lane->failed++;
  if (code && !request->http->began && !request->http->ended) {
    if (!request->http->gone)
      answer(request);
    history_add(
        &router->history,
        (entry){
            EV_REFUSED, { 0 }, id_of_text(""), request->model, request->adapter, request->code });
    log_debug(&router->node.log, "route", "Gave up %s (%s): %s (code %d, %s).", request->name,
              request->kind->self.text, request->why, request->code, request->run);
  }
}

/* reads a request; the text under a key has to be short and sound */
static int field(const json *value, const char *key, id *to, bool need, error *err) {
  const json *x = json_get(value, key);
  *to = id_of_text("");
  if (!x || x->kind == J_NULL)
    return need ? error_set(err, E_FIELD, "%s: missing", key) : OK;
  if (x->kind != J_STR ||
      !(id_is_valid(string_view_of_gstring(x->text)) || (!need && !x->text->len)))
    return error_set(err, E_NAME, "%s: not a name", key);
  *to = id_of(string_view_of_gstring(x->text));
  return OK;
}

static void generate(router *router, http_request *request) {
  error err = { 0 };
  routed_request r = { .router = router, .http = request };
  json *json = json_read(string_view_of_gstring(request->body), &err);
  id kn;
  int c = json ? json->kind == J_OBJ ? OK : error_set(&err, E_TYPE, "not an object") : err.code;
  if (!c)
    c = field(json, "model", &r.model, true, &err);
  if (!c)
    c = field(json, "adapter", &r.adapter, false, &err);
  if (!c)
    c = field(json, "kind", &kn, false, &err);
  const char *pre = json_text(json, "prefix", "");
  if (!c && strlen(pre) >= sizeof r.prefix)
    c = error_set(&err, E_TOO_LARGE, "prefix: over %zu bytes", sizeof r.prefix - 1);
  if (!c)
    g_strlcpy(r.prefix, pre, sizeof r.prefix);
  r.resumable = json_yes(json, "resumable", false);
  json_free(json);
  if (c) {
    answer_error(request, 400, c, err.text);
    return;
  }
  if (router->config && !router->drain && !router_wait_enrol(router)) {
    router->alone++;
    r.run = NOT_RUN;
    give_up(&r, E_CUT_OFF, 2000, "this machine is cut off and can't know what is in force");
    answer(&r);
    return;
  }
  if (!router->config) {
    http_headers_set(&request->own_reply_fields, HEADER_RETRY, "2");
    answer_error(request, 503, E_CORE_GONE, "no configuration is known here yet; not run");
    return;
  }
  r.kind = id_is_empty(kn) ? &router->config->kinds[0] : config_kind(router->config, kn.text);
  if (!r.kind) {
    answer_error(request, 400, E_NAME, "kind: the policy has no such kind");
    return;
  }
  r.lane = (int)(r.kind - router->config->kinds);
  r.kind_now = *r.kind;
  r.kind = &r.kind_now;
  r.since = world_now(router->node.world);
  r.till = r.hold_till = time_add(r.since, time_from_ms(r.kind->deadline_ms));
  snprintf(r.name, sizeof r.name, "%s.%" PRIx64 ".%" PRIu64, router->node.settings.self.text,
           router->node.nonce >> 32, ++router->requests);
  uint64_t megs;
  unsigned slots;
  const rule *u = config_rule(router->config, r.kind->self.text, r.model.text, r.adapter.text);
  rule own = u ? *u : (rule){ 0 };
  if (router->drain) {
    r.run = NOT_RUN;
    give_up(&r, E_LEAVING, 1000, "this machine is leaving");
    answer(&r);
    return;
  }
  router->lanes[r.lane].asked++;
  if (!item_size(router, r.model, r.adapter, &megs, &slots)) {
    r.run = NOT_RUN;
    give_up(&r, E_MODEL, 0, "the catalogue has no such model or adapter");
    answer(&r);
    return;
  }
  if (!u) {
    r.run = NOT_RUN;
    give_up(&r, E_REFUSED_BY_RULE, 403, "no rule fits this request");
    answer(&r);
    return;
  }
  history_add(&router->history,
              (entry){ EV_ROUTED, { 0 }, id_of_text(""), r.model, r.adapter, r.lane });
  router->retries = MIN(10.0, router->retries + router->config->retry_share);
  router->open++;
  list_append(&router->queue, &r.queue_link);
  interpret(&r, &own);
  list_remove(&r.queue_link);
  router->open--;
  condition_broadcast(&router->moved);
}

/* pages */
static const char *state_name(enum hold_state s) {
  return s == HOLD_UP ? "up" : s == HOLD_LOADING ? "loading" : "unloading";
}

/* the value of a query's field, or NULL */
static char *query_of(const http_request *request, const char *key) {
  char **q = g_strsplit(request->query ? request->query : "", "&", 8), *got = NULL;
  size_t n = strlen(key);
  for (char **k = q; *k && !got; k++)
    if (!strncmp(*k, key, n) && (*k)[n] == '=')
      got = g_strdup(*k + n + 1);
  g_strfreev(q);
  return got;
}

static void engines_json(router *router, GString *b, bool holdings, const char *only) {
  bool first = true;
  time_us now = world_now(router->node.world);
  g_string_append_c(b, '[');
  list_for_each(e, &router->engines, engine, link) {
    if (e->quit || (only && strcmp(only, e->self.text)))
      continue;
    char duty[64];
    id who = { "" };
    uint64_t epoch = 0;
    duty_engine(duty, sizeof duty, e->self);
    router_grant(router, duty, &who, &epoch);
    json_f(b, "%s{\"id\":\"%s\"", first ? "" : ",", e->self.text);
    first = false;
    if (!holdings) {
      json_f(
          b,
          ",\"type\":\"%s\",\"area\":\"%s\",\"addr\":\"%s\",\"weightsMb\":%" PRIu64
          ",\"adapterSlots\":%u,\"leaving\":%s,\"open\":%s,\"emptied\":%s,\"odd\":%s,\"heardMs\":%" PRId64
          ",\"running\":%d,\"cap\":%d,\"holder\":\"%s\",\"epoch\":%" PRIu64 "}",
          e->type.text, e->area.text, e->addr, e->weights_mb, e->adapter_slots,
          e->leaving ? "true" : "false", engine_open(e) ? "true" : "false",
          router->config && config_empties(router->config, e->self, e->area) ? "true" : "false",
          e->odd ? "true" : "false", e->heard.us ? time_sub(now, e->heard).us / 1000 : -1,
          e->running, engine_cap(e), who.text, epoch);
      continue;
    }
    json_f(b, ",\"boot\":\"%s\",\"seq\":%" PRIu64, e->boot, e->seq);
    g_string_append(b, ",\"holdings\":[");
    bool f = true;
    list_for_each(h, &e->holdings, holding, link) {
      json_f(b,
             "%s{\"model\":\"%s\",\"adapter\":\"%s\",\"state\":\"%s\",\"weightsMb\":%" PRIu64
             ",\"slots\":%u,\"running\":%u}",
             f ? "" : ",", h->model.text, h->adapter.text, state_name(h->state), h->megs, h->slots,
             h->running);
      f = false;
    }
    g_string_append(b, "],\"waiting\":[");
    f = true;
    list_for_each(k, &e->wants, want, link) {
      if (k->done)
        continue;
      json_f(b, "%s{\"model\":\"%s\",\"adapter\":\"%s\",\"sinceMs\":%" PRId64 "}", f ? "" : ",",
             k->model.text, k->adapter.text, time_sub(now, k->since).us / 1000);
      f = false;
    }
    g_string_append(b, "]}");
  }
  g_string_append_c(b, ']');
}

static void status_json(router *router, GString *b) {
  int held = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, router->contracts);
  while (g_hash_table_iter_next(&it, NULL, &p))
    held += duty_epoch(router, ((contract *)p)->duty.text) > 0;
  machine *machine = node_pick_machine(&router->node, ROLE_CONTROLLER, router->core);
  json_f(b,
         "{\"id\":\"%s\",\"role\":\"router\",\"area\":\"%s\",\"epoch\":%" PRIu64
         ",\"version\":%" PRIu64 ",\"fresh\":%s,\"core\":\"%s\",\"enrols\":%s,\"alone\":%" PRIu64
         ",\"duties\":%d,\"listMs\":%" PRId64 ",\"draining\":%s,\"open\":%d,",
         router->node.settings.self.text, router->node.settings.area.text, router->epoch,
         router->seq, router_is_fresh(router) ? "true" : "false", machine ? machine->addr : "",
         router_may_enrol(router) ? "true" : "false", router->alone, held,
         router->list_known ? time_sub(world_now(router->node.world), router->list_at).us / 1000
                            : -1,
         router->drain ? "true" : "false", router->open);
  json_f(b,
         "\"requests\":%" PRIu64 ",\"attempts\":%" PRIu64 ",\"seconds\":%" PRIu64
         ",\"loads\":%" PRIu64 ",\"loadFails\":%" PRIu64 ",\"unloads\":%" PRIu64
         ",\"wasted\":%" PRIu64 ",\"tickets\":%" PRIu64 ",\"ticketsLate\":%" PRIu64
         ",\"paceGiven\":%.1f,\"paceFull\":%.1f,",
         router->requests, router->attempts, router->seconds, router->loads, router->load_fails,
         router->unloads, router->wasted, router->tickets, router->tickets_late, router->pace_given,
         router->pace_full);
  node_status(&router->node, b);
  g_string_append(b, ",\"kinds\":{");
  for (int i = 0; router->config && i < router->config->kind_count; i++) {
    lane *lane = &router->lanes[i];
    json_f(b,
           "%s\"%s\":{\"waiting\":%d,\"running\":%d,\"asked\":%" PRIu64 ",\"done\":%" PRIu64
           ",\"refused\":%" PRIu64 ",\"failed\":%" PRIu64 ",\"shed\":%" PRIu64 "}",
           i ? "," : "", router->config->kinds[i].self.text, lane->waiting, lane->running,
           lane->asked, lane->done, lane->refused, lane->failed, lane->shed);
  }
  g_string_append(b, "}}");
}

static void metrics(router *router, GString *b) {
  json_f(b,
         "asterfall_version %" PRIu64 "\nasterfall_fresh %d\nasterfall_requests %" PRIu64
         "\nasterfall_attempts %" PRIu64 "\nasterfall_second_tries %" PRIu64
         "\nasterfall_loads %" PRIu64 "\nasterfall_loads_failed %" PRIu64
         "\nasterfall_loads_wasted %" PRIu64 "\nasterfall_unloads %" PRIu64
         "\nasterfall_unloads_of_busy %" PRIu64 "\nasterfall_tickets %" PRIu64
         "\nasterfall_alone %" PRIu64 "\nasterfall_tasks %zu\nasterfall_news %" PRIu64
         "\nasterfall_news_bytes %" PRIu64 "\n",
         router->seq, router_is_fresh(router), router->requests, router->attempts, router->seconds,
         router->loads, router->load_fails, router->wasted, router->unloads, router->drained,
         router->tickets, router->alone, router->node.world->tasks.count, router->news_count,
         router->news_bytes);
  for (int i = 0; router->config && i < router->config->kind_count; i++)
    json_f(b,
           "asterfall_waiting{kind=\"%s\"} %d\nasterfall_done{kind=\"%s\"} %" PRIu64
           "\nasterfall_refused{kind=\"%s\"} %" PRIu64 "\n",
           router->config->kinds[i].self.text, router->lanes[i].waiting,
           router->config->kinds[i].self.text, router->lanes[i].done,
           router->config->kinds[i].self.text, router->lanes[i].refused);
}

static void journal_json(router *router, GString *b, const char *engine_, const char *model_,
                         const char *after) {
  static const char *const names[] = { "",         "routed",  "ordered", "loaded", "failed",
                                       "unloaded", "refused", "broke",   "done",   "shed" };
  uint64_t from = router->history.seq > JOURNAL ? router->history.seq - JOURNAL : 0;
  if (after)
    from = MAX(from, strtoull(after, NULL, 10) + 1);
  size_t at = b->len;
  for (uint64_t i = from; i < router->history.seq; i++) {
    entry *e = &router->history.ring[i % JOURNAL];
    if ((engine_ && strcmp(engine_, e->engine.text)) || (model_ && strcmp(model_, e->model.text)))
      continue;
    json_f(
        b,
        "%s{\"n\":%" PRIu64 ",\"agoMs\":%" PRId64
        ",\"event\":\"%s\",\"engine\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"value\":%" PRId64
        "}",
        b->len > at ? "," : "", i, time_sub(world_now(router->node.world), e->at).us / 1000,
        names[e->what], e->engine.text, e->model.text, e->adapter.text, e->n);
  }
  g_string_prepend_c(b, '[');
  g_string_append_c(b, ']');
}

void route_serve(void *ctx, http_request *request) {
  router *router = ctx;
  const char *p = request->path;
  if (!strcmp(p, "/v1/generate")) {
    if (strcmp(request->method, "POST"))
      answer_error(request, 405, E_NO_METHOD, "POST");
    else
      generate(router, request);
    return;
  }
  if (strcmp(request->method, "GET")) {
    answer_error(request, 405, E_NO_METHOD, "GET");
    return;
  }
  GString *b = g_string_new(NULL);
  const char *type = "application/json";
  char *only = query_of(request, "engine"), *model_ = query_of(request, "model"),
       *after = query_of(request, "after");
  if (!strcmp(p, "/v1/engines"))
    engines_json(router, b, false, only);
  else if (!strcmp(p, "/v1/holdings")) {
    /* one engine's slice may be waited for: answered on its next report that is younger */
    engine *engine = only ? engine_find(router, id_of_text(only)) : NULL;
    time_us till = time_add(world_now(router->node.world), time_from_ms(20000));
    uint64_t n = after ? strtoull(after, NULL, 10) : 0;
    while (engine && after && !request->gone && (engine = engine_find(router, id_of_text(only))) &&
           engine->seq <= n)
      if (condition_wait(&router->node.world->tasks, &router->moved, till) != WAKE_SIGNALLED)
        break;
    engines_json(router, b, true, only);
  } else if (!strcmp(p, "/v1/nodes"))
    node_json(&router->node, b);
  else if (!strcmp(p, "/v1/status"))
    status_json(router, b);
  else if (!strcmp(p, "/v1/journal"))
    journal_json(router, b, only, model_, after);
  else if (router->page && !strcmp(p, "/v1/gateway"))
    router->page(router->gateway, b, false);
  else if (!strcmp(p, "/metrics")) {
    metrics(router, b);
    if (router->page)
      router->page(router->gateway, b, true);
    type = "text/plain";
  }
  if (b->len)
    http_request_answer(request, 200, type, string_view_of_gstring(b));
  else
    answer_error(request, 404, E_NO_PAGE,
                 "there is no such page here; the resources are at the core, see /v1/status");
  g_free(only);
  g_free(model_);
  g_free(after);
  g_string_free(b, TRUE);
}
