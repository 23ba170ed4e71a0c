/**
 * Load generator. A caller sends its request, checks that each event of the response has the
 * request's tag and belongs to the run that was started, and retries: immediately at another router
 * when the router did not accept the connection, and later when a refusal asked for that.
 */
#include "loadgen.h"
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum {
  RESPONSE_TIMEOUT_MS = 120000,
  CONNECT_TIMEOUT_MS = 1500, /* a router that hasn't accepted the connection by then is given up */
  RESPONSE_MAX_BYTES = 1 << 20,
  OTHER_ROUTERS_MAX = 3, /* further routers that a request is sent to */
  RUN_NAME_BYTES = 96,
  PREFIXES_DEFAULT = 8,
  LEAVE_MIN_MS = 50, /* callers that disconnect early do so after this time and a random one */
  LEAVE_JITTER_MS = 3000,
  TOKENS_MIN = 4,
  ERROR_CODES_MAX = 8, /* distinct codes that the summary counts */
};
static const double RESUMABLE_RATIO = 0.2;

/* a caller's request in progress; owned by its task */
typedef struct request_task {
  loadgen *loadgen;
  loadgen_request *request;
  char router[48], prefix[32];
  int tokens_wanted;
  time_us leave_at; /* when the caller disconnects; 0: never */
  bool unsent;      /* the router of the last attempt didn't accept the connection */
} request_task;

/* a model or adapter that requests may name */
typedef struct target {
  id model, adapter;
} target;

/* what has been received of a response so far */
typedef struct response_check {
  loadgen_request *request;
  int tokens_wanted;
  char run[RUN_NAME_BYTES]; /* of the start event */
  bool started, done;
} response_check;

/* the integer after a JSON key in an event, or -1 */
static int event_integer(const char *event, const char *key) {
  const char *found = strstr(event, key);
  return found ? atoi(found + strlen(key)) : -1;
}

/* false when the start event is invalid, or not the first event */
static bool check_start(response_check *check, const char *event) {
  const char *attempt = strstr(event, "\"attempt\":\"");
  bool is_valid = !check->started && attempt;
  if (is_valid)
    sscanf(attempt, "\"attempt\":\"%95[^\"]", check->run);
  check->started = true;
  return is_valid;
}

/* false unless the done event follows a start and the number of tokens received and requested */
static bool check_done(response_check *check, const char *event) {
  const loadgen_request *request = check->request;
  check->done = true;
  return check->started && event_integer(event, "\"tokens\":") == request->tokens &&
         request->tokens == check->tokens_wanted;
}

static bool check_token(response_check *check, const char *event) {
  int expected = check->request->tokens++;
  return check->started && event_integer(event, "\"i\":") == expected;
}

static bool check_event(response_check *check, const char *event) {
  char tag[120];
  snprintf(tag, sizeof tag, "\"tag\":\"%s\"", check->request->tag);
  if (!strstr(event, tag) || check->done)
    return false;
  if (g_str_has_prefix(event, "event: start"))
    return check_start(check, event);
  if (!strstr(event, check->run))
    return false;
  if (g_str_has_prefix(event, "event: done"))
    return check_done(check, event);
  return check_token(check, event);
}

/* removes the complete events from the received bytes and checks them */
static void check_events(response_check *check, GString *received) {
  loadgen_request *request = check->request;
  char *end;
  while ((end = strstr(received->str, "\n\n"))) {
    *end = 0;
    if (g_str_has_prefix(received->str, "event: error")) {
      if (request->outcome == OUTCOME_OPEN)
        request->outcome = OUTCOME_BROKEN;
    } else if (!check_event(check, received->str)) {
      request->outcome = OUTCOME_WRONG;
    }
    if (request->outcome == OUTCOME_WRONG)
      fprintf(stderr,
              "asterfall-loadgen: %s: unexpected event after %d of %d events, run %s: %.200s\n",
              request->tag, request->tokens, check->tokens_wanted, check->run, received->str);
    g_string_erase(received, 0, end - received->str + 2);
  }
}

static http_call *open_call(const request_task *task) {
  const loadgen_request *request = task->request;
  GString *body = g_string_new(NULL);
  http_headers headers = { { 0 } };
  json_appendf(
      body,
      "{\"model\":\"%s\",\"adapter\":\"%s\",\"kind\":\"%s\",\"prefix\":\"%s\",\"tag\":\"%s\",\"tokens\":%d,\"resumable\":%s}",
      request->model.text, request->adapter.text, request->kind.text, task->prefix, request->tag,
      task->tokens_wanted, request->resumable ? "true" : "false");
  http_headers_set(&headers, HEADER_CONTENT_TYPE, "application/json");
  http_call *call = http_call_open(task->loadgen->world, task->router, "POST", "/v1/generate",
                                   &headers, string_view_of_gstring(body), RESPONSE_MAX_BYTES);
  http_headers_free(&headers);
  g_string_free(body, TRUE);
  return call;
}

/* waits for the response head: up to CONNECT_TIMEOUT_MS for the connection, then until the deadline
 */
static enum error_code wait_for_head(request_task *task, http_call *call, time_us deadline) {
  world *world = task->loadgen->world;
  time_us leave_at = task->leave_at;
  time_us connected_until = time_add(world_now(world), time_from_ms(CONNECT_TIMEOUT_MS));
  bool leaves_first = leave_at.us && leave_at.us < connected_until.us;
  enum error_code code = http_call_wait(call, leaves_first ? leave_at : connected_until);
  bool has_left = leave_at.us && time_reached(world_now(world), leave_at);
  if (code == E_NO_RESPONSE && call->sent && !has_left)
    code = http_call_wait(call, deadline);
  task->unsent = !call->sent && code != OK;
  return code;
}

static enum loadgen_outcome outcome_of_run(const char *run) {
  if (!strcmp(run, "unknown"))
    return OUTCOME_UNKNOWN;
  if (!strcmp(run, "failed"))
    return OUTCOME_BROKEN;
  return OUTCOME_NOT_RUN;
}

/* reads a response that isn't a stream: it says whether the request may have run */
static void read_error(loadgen_request *request, http_call *call, GString *received,
                       time_us deadline) {
  enum error_code code = http_call_read_all(call, received, deadline);
  const char *retry_after = call->known_response_fields.values[HEADER_RETRY_AFTER];
  json *body = json_parse(string_view_of_gstring(received), NULL);
  request->code = (int)json_number(body, "code", 0);
  request->retry_s = retry_after ? atoi(retry_after) : 0;
  request->outcome = code == OK ? outcome_of_run(json_text(body, "run", "")) : OUTCOME_NO_RESPONSE;
  json_free(body);
}

static enum loadgen_outcome outcome_of_stream(const request_task *task, enum error_code code,
                                              bool done) {
  if (code == E_NO_RESPONSE && task->leave_at.us)
    return OUTCOME_CALLER_GONE;
  if (code != E_PEER_GONE)
    return OUTCOME_BROKEN;
  return done ? OUTCOME_DONE : OUTCOME_WRONG;
}

static void read_stream(request_task *task, http_call *call, GString *received, time_us deadline) {
  loadgen_request *request = task->request;
  response_check check = { .request = request, .tokens_wanted = task->tokens_wanted };
  enum error_code code;
  while ((code = http_call_read(call, received, deadline)) == OK) {
    if (!request->first_event_at.us)
      request->first_event_at = world_now(task->loadgen->world);
    check_events(&check, received);
  }
  if (request->outcome == OUTCOME_OPEN)
    request->outcome = outcome_of_stream(task, code, check.done);
}

static void run_attempt(request_task *task) {
  world *world = task->loadgen->world;
  loadgen_request *request = task->request;
  GString *received = g_string_new(NULL);
  time_us timeout_at = time_add(world_now(world), time_from_ms(RESPONSE_TIMEOUT_MS));
  time_us deadline = task->leave_at.us ? task->leave_at : timeout_at;
  if (!request->started_at.us)
    request->started_at = world_now(world);
  http_call *call = open_call(task);
  enum error_code code = wait_for_head(task, call, deadline);
  request->status = call->status;
  if (code == E_NO_RESPONSE && task->leave_at.us)
    request->outcome = OUTCOME_CALLER_GONE;
  else if (code != OK)
    request->outcome = OUTCOME_NO_RESPONSE;
  else if (call->status != 200)
    read_error(request, call, received, timeout_at);
  else
    read_stream(task, call, received, deadline);
  if (request->outcome == OUTCOME_WRONG)
    fprintf(
        stderr,
        "asterfall-loadgen: wrong response to %s: %d of %d events, status %d, ended %d, broken %d, unparsed bytes %.100s\n",
        request->tag, request->tokens, task->tokens_wanted, call->status, call->ended, call->broken,
        received->str);
  request->ended_at = world_now(world);
  http_call_close(call);
  g_string_free(received, TRUE);
}

/* makes an attempt and records it */
static void record_attempt(request_task *task) {
  loadgen *loadgen = task->loadgen;
  loadgen_request *request = task->request;
  loadgen_attempt attempt = { .request = request, .started_at = world_now(loadgen->world) };
  time_us first_before = request->first_event_at;
  request->attempt_count++;
  run_attempt(task);
  g_strlcpy(attempt.router, task->router, sizeof attempt.router);
  if (request->first_event_at.us != first_before.us)
    attempt.first_event_at = request->first_event_at;
  attempt.ended_at = request->ended_at;
  attempt.outcome = request->outcome;
  attempt.status = request->status;
  attempt.code = request->code;
  attempt.retry_s = request->retry_s;
  g_array_append_val(loadgen->attempts, attempt);
}

static const char *random_router(loadgen *loadgen) {
  const GPtrArray *routers = loadgen->plan.routers;
  return routers->pdata[world_random(loadgen->world, routers->len)];
}

/* true when the request is sent to another router, because the last didn't accept the connection */
static bool choose_other_router(request_task *task, int *others) {
  loadgen *loadgen = task->loadgen;
  if (task->request->outcome != OUTCOME_NO_RESPONSE || !task->unsent)
    return false;
  if ((*others)++ >= OTHER_ROUTERS_MAX || !loadgen->plan.routers->len || task->leave_at.us)
    return false;
  g_strlcpy(task->router, random_router(loadgen), sizeof task->router);
  task->request->outcome = OUTCOME_OPEN;
  return true;
}

/* waits for as long as the refusal asked; false when the caller doesn't retry */
static bool wait_for_retry(request_task *task) {
  loadgen *loadgen = task->loadgen;
  loadgen_request *request = task->request;
  if (request->outcome != OUTCOME_NOT_RUN || !request->retry_s)
    return false;
  time_us delay = time_from_ms(request->retry_s * 1000);
  time_us at = time_add(world_now(loadgen->world), delay);
  if (!request->first_retry_at.us)
    request->first_retry_at = at;
  if (request->attempt_count > loadgen->plan.retries_max)
    return false;
  if (task->leave_at.us && time_reached(at, task->leave_at))
    return false;
  if (!world_sleep(loadgen->world, delay))
    return false;
  request->outcome = OUTCOME_OPEN;
  request->retry_s = request->code = request->status = 0;
  return true;
}

static void request_task_run(void *context) {
  request_task *task = context;
  loadgen *loadgen = task->loadgen;
  int others = 0;
  do
    record_attempt(task);
  while (choose_other_router(task, &others) || wait_for_retry(task));
  loadgen->open_requests--;
  condition_broadcast(&loadgen->idle);
  g_free(task);
}

static uint64_t random_prefix(loadgen *loadgen) {
  int prefixes = loadgen->plan.prefixes ? loadgen->plan.prefixes : PREFIXES_DEFAULT;
  return world_random(loadgen->world, (uint64_t)prefixes);
}

/* starts the task of a request, with the router, tokens and leave_at of the settings */
static loadgen_request *send_request(loadgen *loadgen, request_task settings, target target,
                                     id kind, bool resumable) {
  loadgen_request *request = g_new0(loadgen_request, 1);
  request_task *task = g_memdup2(&settings, sizeof settings);
  snprintf(request->tag, sizeof request->tag, "%s-%" PRIu64, loadgen->self.text, ++loadgen->count);
  request->model = target.model;
  request->adapter = target.adapter;
  request->kind = kind;
  request->resumable = resumable;
  task->loadgen = loadgen;
  task->request = request;
  snprintf(task->prefix, sizeof task->prefix, "p%" PRIu64, random_prefix(loadgen));
  g_ptr_array_add(loadgen->requests, request);
  loadgen->open_requests++;
  task_start(&loadgen->world->tasks, "trip", request_task_run, task);
  return request;
}

loadgen_request *loadgen_send(loadgen *loadgen, const char *router, id model, id adapter, id kind,
                              int tokens, bool resumable) {
  request_task settings = { .tokens_wanted = tokens };
  g_strlcpy(settings.router, router, sizeof settings.router);
  return send_request(loadgen, settings, (target){ model, adapter }, kind, resumable);
}

static double random_fraction(world *world) {
  return (double)(world->random(world) >> 11) / (double)(1ull << 53);
}

static double zipf_weight(const loadgen *loadgen, size_t index) {
  return 1 / pow((double)index + 1, loadgen->plan.zipf_exponent);
}

/* draws an index below count by Zipf's law */
static size_t draw_zipf(loadgen *loadgen, size_t count) {
  double total = 0;
  for (size_t i = 0; i < count; i++)
    total += zipf_weight(loadgen, i);
  double remaining = random_fraction(loadgen->world) * total;
  for (size_t i = 0; i < count; i++) {
    remaining -= zipf_weight(loadgen, i);
    if (remaining <= 0)
      return i;
  }
  return count - 1;
}

static const char *draw_kind(loadgen *loadgen) {
  const loadgen_plan *plan = &loadgen->plan;
  int total = 0, kind = 0;
  for (int i = 0; i < LOADGEN_KINDS; i++)
    total += plan->kind_share[i];
  int remaining = (int)world_random(loadgen->world, (uint64_t)total);
  while (kind < LOADGEN_KINDS - 1 && (remaining -= plan->kind_share[kind]) >= 0)
    kind++;
  return plan->kinds[kind];
}

static time_us time_from_now(const loadgen *loadgen, int64_t ms) {
  return time_add(world_now(loadgen->world), time_from_ms(ms));
}

/* draws when a caller disconnects; 0: never */
static time_us draw_leave_at(loadgen *loadgen) {
  const loadgen_plan *plan = &loadgen->plan;
  if (random_fraction(loadgen->world) < plan->leave_ratio)
    return time_from_now(loadgen,
                         LEAVE_MIN_MS + (int64_t)world_random(loadgen->world, LEAVE_JITTER_MS));
  return plan->timeout_ms ? time_from_now(loadgen, plan->timeout_ms) : (time_us){ 0 };
}

/* the order of the random draws must stay as it is, so that a seed keeps producing the same run */
static void send_by_plan(loadgen *loadgen) {
  const loadgen_plan *plan = &loadgen->plan;
  world *world = loadgen->world;
  bool for_adapter = plan->adapters->len && random_fraction(world) < plan->adapter_ratio;
  const GArray *targets = for_adapter ? plan->adapters : plan->models;
  if (!targets->len || !plan->routers->len)
    return;
  target chosen = g_array_index(targets, target, draw_zipf(loadgen, targets->len));
  const char *kind = draw_kind(loadgen);
  request_task settings = { .leave_at = draw_leave_at(loadgen) };
  bool resumable = random_fraction(world) < RESUMABLE_RATIO;
  settings.tokens_wanted = TOKENS_MIN + (int)world_random(world, (uint64_t)plan->tokens);
  g_strlcpy(settings.router, random_router(loadgen), sizeof settings.router);
  send_request(loadgen, settings, chosen, id_of_text(kind), resumable);
}

static void plan_run(void *context) {
  loadgen *loadgen = context;
  while (!loadgen->stop) {
    double gap_s = -log(1 - random_fraction(loadgen->world)) / loadgen->plan.requests_per_s;
    if (!world_sleep(loadgen->world, (time_us){ (int64_t)(gap_s * 1e6) + 1 }) || loadgen->stop)
      return;
    send_by_plan(loadgen);
  }
}

void loadgen_start(loadgen *loadgen) {
  task_start(&loadgen->world->tasks, "plan", plan_run, loadgen);
}

void loadgen_add_target(loadgen *loadgen, id model, id adapter) {
  target added = { model, adapter };
  GArray *targets = id_is_empty(adapter) ? loadgen->plan.models : loadgen->plan.adapters;
  g_array_append_val(targets, added);
}

loadgen *loadgen_new(world *world, id self) {
  loadgen *created = g_new0(loadgen, 1);
  created->world = world;
  created->self = self;
  created->requests = g_ptr_array_new_with_free_func(g_free);
  created->attempts = g_array_new(FALSE, TRUE, sizeof(loadgen_attempt));
  created->plan.routers = g_ptr_array_new_with_free_func(g_free);
  created->plan.models = g_array_new(FALSE, TRUE, sizeof(target));
  created->plan.adapters = g_array_new(FALSE, TRUE, sizeof(target));
  created->plan.requests_per_s = 5;
  created->plan.zipf_exponent = 1.0;
  created->plan.adapter_ratio = 0.4;
  created->plan.tokens = 20;
  created->plan.prefixes = 40;
  created->plan.kind_share[0] = 70;
  created->plan.kind_share[1] = 22;
  created->plan.kind_share[2] = 8;
  created->plan.kinds[0] = "live";
  created->plan.kinds[1] = "short";
  created->plan.kinds[2] = "deferred";
  condition_init(&created->idle);
  return created;
}

void loadgen_free(loadgen *loadgen) {
  g_ptr_array_free(loadgen->requests, TRUE);
  g_array_free(loadgen->attempts, TRUE);
  g_ptr_array_free(loadgen->plan.routers, TRUE);
  g_array_free(loadgen->plan.models, TRUE);
  g_array_free(loadgen->plan.adapters, TRUE);
  g_free(loadgen);
}

int loadgen_count(const loadgen *loadgen, enum loadgen_outcome outcome) {
  int count = 0;
  for (guint i = 0; i < loadgen->requests->len; i++) {
    const loadgen_request *request = loadgen->requests->pdata[i];
    count += request->outcome == outcome;
  }
  return count;
}

typedef struct code_count {
  int code, count;
} code_count;

/* counts a code; after ERROR_CODES_MAX distinct codes, others are ignored */
static void count_code(code_count *counts, int code) {
  for (int i = 0; i < ERROR_CODES_MAX; i++) {
    if (counts[i].code && counts[i].code != code)
      continue;
    counts[i].code = code;
    counts[i].count++;
    return;
  }
}

static void append_codes(const loadgen *loadgen, GString *to) {
  code_count counts[ERROR_CODES_MAX] = { { 0 } };
  for (guint i = 0; i < loadgen->requests->len; i++) {
    const loadgen_request *request = loadgen->requests->pdata[i];
    if (request->code)
      count_code(counts, request->code);
  }
  for (int i = 0; i < ERROR_CODES_MAX && counts[i].code; i++)
    json_appendf(to, "%s\"%d\":%d", i ? "," : "", counts[i].code, counts[i].count);
}

void loadgen_json(loadgen *loadgen, GString *to) {
  static const char *const names[OUTCOME_COUNT] = {
    [OUTCOME_OPEN] = "open",      [OUTCOME_DONE] = "done",
    [OUTCOME_NOT_RUN] = "notRun", [OUTCOME_UNKNOWN] = "unknown",
    [OUTCOME_BROKEN] = "broken",  [OUTCOME_NO_RESPONSE] = "noAnswer",
    [OUTCOME_WRONG] = "wrong",    [OUTCOME_CALLER_GONE] = "left",
  };
  json_appendf(to, "{\"sent\":%u", loadgen->requests->len);
  for (int i = 0; i < OUTCOME_COUNT; i++)
    json_appendf(to, ",\"%s\":%d", names[i], loadgen_count(loadgen, (enum loadgen_outcome)i));
  g_string_append(to, ",\"codes\":{");
  append_codes(loadgen, to);
  g_string_append(to, "}}\n");
}
