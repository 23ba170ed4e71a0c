#include "simulators.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct {
  loadgen *loadgen;
  loadgen_request *loadgen_request;
  char router[48], prefix[32];
  int tokens;
  time_us leave;
  bool unheard;
} request_task;
typedef struct {
  id model, adapter;
} thing;

/* reads events one by one and holds each against the tag and the run that began; the stream counts
   as done only with its last event, all that was asked for, and a clean end */
static void check_response(loadgen_request *request, int want, char *run, GString *got, bool *start,
                           bool *done) {
  char *end;
  while ((end = strstr(got->str, "\n\n"))) {
    *end = 0;
    char tag[120];
    snprintf(tag, sizeof tag, "\"tag\":\"%s\"", request->tag);
    if (g_str_has_prefix(got->str, "event: error")) {
      if (request->outcome == OUTCOME_OPEN)
        request->outcome = OUTCOME_BROKEN;
    } else if (!strstr(got->str, tag) || *done)
      request->outcome = OUTCOME_WRONG;
    else if (g_str_has_prefix(got->str, "event: start")) {
      char *n = strstr(got->str, "\"attempt\":\"");
      if (*start || !n)
        request->outcome = OUTCOME_WRONG;
      else
        sscanf(n, "\"attempt\":\"%95[^\"]", run);
      *start = true;
    } else if (!strstr(got->str, run))
      request->outcome = OUTCOME_WRONG;
    else if (g_str_has_prefix(got->str, "event: done")) {
      char *n = strstr(got->str, "\"tokens\":");
      if (!*start || !n || atoi(n + 9) != request->tokens || request->tokens != want)
        request->outcome = OUTCOME_WRONG;
      *done = true;
    } else {
      char *n = strstr(got->str, "\"i\":");
      if (!*start || !n || atoi(n + 4) != request->tokens)
        request->outcome = OUTCOME_WRONG;
      request->tokens++;
    }
    if (request->outcome == OUTCOME_WRONG)
      fprintf(stderr, "asterfall-loadgen: %s, %d of %d events, run %s: wrong is: %.200s\n",
              request->tag, request->tokens, want, run, got->str);
    g_string_erase(got, 0, end - got->str + 2);
  }
}

static void run_attempt(request_task *trip) {
  loadgen *loadgen = trip->loadgen;
  loadgen_request *request = trip->loadgen_request;
  world *world = loadgen->world;
  GString *b = g_string_new(NULL), *got = g_string_new(NULL);
  json_appendf(
      b,
      "{\"model\":\"%s\",\"adapter\":\"%s\",\"kind\":\"%s\",\"prefix\":\"%s\",\"tag\":\"%s\",\"tokens\":%d,\"resumable\":%s}",
      request->model.text, request->adapter.text, request->kind.text, trip->prefix, request->tag,
      trip->tokens, request->resumable ? "true" : "false");
  http_headers h = { { 0 } };
  http_headers_set(&h, HEADER_CONTENT_TYPE, "application/json");
  if (!request->started_at.us)
    request->started_at = world_now(world);
  time_us until = time_add(world_now(world), time_from_ms(120000));
  http_call *call = http_call_open(world, trip->router, "POST", "/v1/generate", &h,
                                   string_view_of_gstring(b), 1 << 20);
  http_headers_free(&h);
  /* a caller whose router does not take the channel at all goes to another */
  time_us link = time_add(world_now(world), time_from_ms(1500));
  int r = http_call_wait(call, trip->leave.us && trip->leave.us < link.us ? trip->leave : link);
  if (r == E_NO_RESPONSE && call->sent &&
      !(trip->leave.us && time_reached(world_now(world), trip->leave)))
    r = http_call_wait(call, trip->leave.us ? trip->leave : until);
  trip->unheard = !call->sent && r;
  request->status = call->status;
  if (r == E_NO_RESPONSE && trip->leave.us)
    request->outcome = OUTCOME_LEFT;
  else if (r)
    request->outcome = OUTCOME_NO_ANSWER;
  else if (call->status != 200) {
    r = http_call_read_all(call, got, until);
    json *json = json_parse(string_view_of_gstring(got), NULL);
    const char *run = json_text(json, "run", "");
    request->code = json_number(json, "code", 0);
    request->retry_s = call->known_response_fields.values[HEADER_RETRY_AFTER]
                           ? atoi(call->known_response_fields.values[HEADER_RETRY_AFTER])
                           : 0;
    request->outcome = r                         ? OUTCOME_NO_ANSWER
                       : !strcmp(run, "unknown") ? OUTCOME_UNKNOWN
                       : !strcmp(run, "failed")  ? OUTCOME_BROKEN
                                                 : OUTCOME_NOT_RUN;
    json_free(json);
  } else {
    bool start = false, done = false;
    char run[96] = "";
    for (;;) {
      r = http_call_read(call, got, trip->leave.us ? trip->leave : until);
      if (r)
        break;
      if (!request->first_event_at.us)
        request->first_event_at = world_now(world);
      check_response(request, trip->tokens, run, got, &start, &done);
    }
    if (request->outcome == OUTCOME_OPEN)
      request->outcome = r == E_NO_RESPONSE && trip->leave.us ? OUTCOME_LEFT
                         : r == E_PEER_GONE && done           ? OUTCOME_DONE
                         : r == E_PEER_GONE                   ? OUTCOME_WRONG
                                                              : OUTCOME_BROKEN;
  }
  if (request->outcome == OUTCOME_WRONG)
    fprintf(
        stderr,
        "asterfall-loadgen: %s is wrong: %d of %d events, status %d, ended %d broken %d, left %.100s\n",
        request->tag, request->tokens, trip->tokens, call->status, call->ended, call->broken,
        got->str);
  request->ended_at = world_now(world);
  http_call_close(call);
  g_string_free(b, TRUE);
  g_string_free(got, TRUE);
}

/* who is sent away with a time to come back comes back then, if the plan says so */
static void request_task_run(void *p) {
  request_task *trip = p;
  loadgen *loadgen = trip->loadgen;
  loadgen_request *request = trip->loadgen_request;
  int others = 0;
  for (;;) {
    request->attempt_count++;
    loadgen_attempt y = { .request = request, .started_at = world_now(loadgen->world) };
    time_us first = request->first_event_at;
    run_attempt(trip);
    g_strlcpy(y.router, trip->router, sizeof y.router);
    y.first_event_at =
        request->first_event_at.us != first.us ? request->first_event_at : (time_us){ 0 };
    y.ended_at = request->ended_at;
    y.outcome = request->outcome;
    y.status = request->status;
    y.code = request->code;
    y.retry_s = request->retry_s;
    g_array_append_val(loadgen->attempts, y);
    if (request->outcome == OUTCOME_NO_ANSWER && trip->unheard && others++ < 3 &&
        loadgen->plan.routers->len && !trip->leave.us) {
      g_strlcpy(
          trip->router,
          loadgen->plan.routers->pdata[world_random(loadgen->world, loadgen->plan.routers->len)],
          sizeof trip->router);
      request->outcome = OUTCOME_OPEN;
      continue;
    }
    if (request->outcome != OUTCOME_NOT_RUN || !request->retry_s)
      break;
    time_us at = time_add(world_now(loadgen->world), time_from_ms(request->retry_s * 1000));
    if (!request->back.us)
      request->back = at;
    if (request->attempt_count > loadgen->plan.attempts_max)
      break;
    if ((trip->leave.us && time_reached(at, trip->leave)) ||
        !world_sleep(loadgen->world, time_from_ms(request->retry_s * 1000)))
      break;
    request->outcome = OUTCOME_OPEN;
    request->retry_s = request->code = request->status = 0;
  }
  loadgen->open_requests--;
  condition_broadcast(&loadgen->idle);
  g_free(trip);
}

static loadgen_request *send(loadgen *loadgen, const char *router, id model, id adapter, id kind,
                             int tokens, bool resumable, time_us leave) {
  loadgen_request *request = g_new0(loadgen_request, 1);
  request_task *t = g_new0(request_task, 1);
  snprintf(request->tag, sizeof request->tag, "%s-%" PRIu64, loadgen->self.text, ++loadgen->count);
  request->model = model;
  request->adapter = adapter;
  request->kind = kind;
  request->resumable = resumable;
  t->loadgen = loadgen;
  t->loadgen_request = request;
  t->tokens = tokens;
  t->leave = leave;
  g_strlcpy(t->router, router, sizeof t->router);
  snprintf(t->prefix, sizeof t->prefix, "p%" PRIu64,
           world_random(loadgen->world, loadgen->plan.prefixes ? loadgen->plan.prefixes : 8));
  g_ptr_array_add(loadgen->requests, request);
  loadgen->open_requests++;
  task_start(&loadgen->world->tasks, "trip", request_task_run, t);
  return request;
}

loadgen_request *loadgen_send(loadgen *loadgen, const char *router, id model, id adapter, id kind,
                              int tokens, bool resumable) {
  return send(loadgen, router, model, adapter, kind, tokens, resumable, (time_us){ 0 });
}

static double random_fraction(world *world) {
  return (double)(world->random(world) >> 11) / (double)(1ull << 53);
}

static size_t zipf(loadgen *loadgen, size_t n) {
  double all = 0, at;
  for (size_t i = 0; i < n; i++)
    all += 1 / pow((double)i + 1, loadgen->plan.zipf_exponent);
  at = random_fraction(loadgen->world) * all;
  for (size_t i = 0; i < n; i++)
    if ((at -= 1 / pow((double)i + 1, loadgen->plan.zipf_exponent)) <= 0)
      return i;
  return n - 1;
}

static void plan_run(void *p) {
  loadgen *loadgen = p;
  while (!loadgen->stop) {
    double gap = -log(1 - random_fraction(loadgen->world)) / loadgen->plan.requests_per_s;
    if (!world_sleep(loadgen->world, (time_us){ (int64_t)(gap * 1e6) + 1 }) || loadgen->stop)
      return;
    bool ad = loadgen->plan.adapters->len &&
              random_fraction(loadgen->world) < loadgen->plan.adapter_ratio;
    GArray *from = ad ? loadgen->plan.adapters : loadgen->plan.models;
    if (!from->len || !loadgen->plan.routers->len)
      continue;
    thing *t = &g_array_index(from, thing, zipf(loadgen, from->len));
    int all =
            loadgen->plan.kind_share[0] + loadgen->plan.kind_share[1] + loadgen->plan.kind_share[2],
        at = (int)world_random(loadgen->world, all), k = 0;
    while (k < 2 && (at -= loadgen->plan.kind_share[k]) >= 0)
      k++;
    time_us leave = { 0 };
    if (loadgen->plan.timeout_ms)
      leave = time_add(world_now(loadgen->world), time_from_ms(loadgen->plan.timeout_ms));
    if (random_fraction(loadgen->world) < loadgen->plan.leave_ratio)
      leave = time_add(world_now(loadgen->world),
                       time_from_ms(50 + (int64_t)world_random(loadgen->world, 3000)));
    send(loadgen,
         loadgen->plan.routers->pdata[world_random(loadgen->world, loadgen->plan.routers->len)],
         t->model, t->adapter, id_of_text(loadgen->plan.kinds[k]),
         4 + (int)world_random(loadgen->world, loadgen->plan.tokens),
         random_fraction(loadgen->world) < 0.2, leave);
  }
}

void loadgen_start(loadgen *loadgen) {
  task_start(&loadgen->world->tasks, "plan", plan_run, loadgen);
}

void loadgen_add_target(loadgen *loadgen, id model, id adapter) {
  thing t = { model, adapter };
  g_array_append_val(id_is_empty(adapter) ? loadgen->plan.models : loadgen->plan.adapters, t);
}

loadgen *loadgen_new(world *world, id self) {
  loadgen *s = g_new0(loadgen, 1);
  s->world = world;
  s->self = self;
  s->requests = g_ptr_array_new_with_free_func(g_free);
  s->attempts = g_array_new(FALSE, TRUE, sizeof(loadgen_attempt));
  s->plan.routers = g_ptr_array_new_with_free_func(g_free);
  s->plan.models = g_array_new(FALSE, TRUE, sizeof(thing));
  s->plan.adapters = g_array_new(FALSE, TRUE, sizeof(thing));
  s->plan.requests_per_s = 5;
  s->plan.zipf_exponent = 1.0;
  s->plan.adapter_ratio = 0.4;
  s->plan.tokens = 20;
  s->plan.prefixes = 40;
  s->plan.kind_share[0] = 70;
  s->plan.kind_share[1] = 22;
  s->plan.kind_share[2] = 8;
  s->plan.kinds[0] = "live";
  s->plan.kinds[1] = "short";
  s->plan.kinds[2] = "deferred";
  condition_init(&s->idle);
  return s;
}

void loadgen_free(loadgen *loadgen) {
  g_ptr_array_free(loadgen->requests, TRUE);
  g_array_free(loadgen->attempts, TRUE);
  g_ptr_array_free(loadgen->plan.routers, TRUE);
  g_array_free(loadgen->plan.models, TRUE);
  g_array_free(loadgen->plan.adapters, TRUE);
  g_free(loadgen);
}

int loadgen_count(const loadgen *loadgen, enum loadgen_outcome how) {
  int n = 0;
  for (guint i = 0; i < loadgen->requests->len; i++)
    n += ((loadgen_request *)loadgen->requests->pdata[i])->outcome == how;
  return n;
}

void loadgen_json(loadgen *loadgen, GString *b) {
  static const char *const names[] = { "open",   "done",     "notRun", "unknown",
                                       "broken", "noAnswer", "wrong",  "left" };
  json_appendf(b, "{\"sent\":%u", loadgen->requests->len);
  for (int i = 0; i < 8; i++)
    json_appendf(b, ",\"%s\":%d", names[i], loadgen_count(loadgen, i));
  int codes[8] = { 0 }, n[8] = { 0 };
  for (guint i = 0; i < loadgen->requests->len; i++) {
    loadgen_request *request = loadgen->requests->pdata[i];
    if (!request->code)
      continue;
    for (int c = 0; c < 8; c++)
      if (codes[c] == request->code || !codes[c]) {
        codes[c] = request->code;
        n[c]++;
        break;
      }
  }
  g_string_append(b, ",\"codes\":{");
  for (int c = 0; c < 8 && codes[c]; c++)
    json_appendf(b, "%s\"%d\":%d", c ? "," : "", codes[c], n[c]);
  g_string_append(b, "}}\n");
}
