/**
 * Replays traces through eviction policies. The simulated engine consists of the resident models
 * and the memory that they use; loads complete at once, and only their durations are summed.
 */
#include "policy_replay.h"
#include "event_history.h"
#include "eviction_policy.h"
#include "model_loading.h"

enum {
  /* The load time that a policy assumes before it has observed a load. */
  DEFAULT_LOAD_MS = 4000,
  /* The time before the first request; after that, the trace sets the clock. */
  START_MS = 1000000,
  NEVER = -1
};

/* Whether a policy knows the future. Both kinds of foresight get the exact distance to a model's
 * next request and its exact load time; Belady's policy ranks by the first alone. */
enum foresight { FORESIGHT_NONE, FORESIGHT_BELADY, FORESIGHT_ORACLE };

typedef struct replayed_model {
  bool resident;
  /* Index of the next request for the model after the one being replayed, or NEVER. */
  int next_request;
  /* 0: never unloaded */
  time_us unloaded_at;
} replayed_model;

typedef struct replay {
  world world;
  time_us now;
  uint64_t random_state;
  event_history history;

  const trace *trace;
  enum foresight foresight;
  eviction_rule rule;
  formula custom_formula;
  id engine_type;
  double initial_load_ms;
  uint64_t capacity_mb, used_mb;
  /* Indexed like the models of the trace. */
  replayed_model *models;
  eviction_candidate *candidates;
  replay_result result;
} replay;

static time_us replay_now(void *context) {
  return ((replay *)context)->now;
}

static uint64_t replay_random(void *context) {
  return splitmix64_next(&((replay *)context)->random_state);
}

static const trace_model *trace_model_at(const trace *trace, guint i) {
  return &g_array_index(trace->models, trace_model, i);
}

static const trace_request *trace_request_at(const trace *trace, guint i) {
  return &g_array_index(trace->requests, trace_request, i);
}

/* Returns, for each request, the index of the next one for the same model, or NEVER. The caller
 * frees the array. */
static int *find_next_requests(const trace *trace) {
  int *next = g_new(int, trace->requests->len), *seen = g_new(int, trace->models->len);
  for (guint i = 0; i < trace->models->len; i++)
    seen[i] = NEVER;
  for (guint i = trace->requests->len; i-- > 0;) {
    int model = trace_request_at(trace, i)->model_index;
    next[i] = seen[model];
    seen[model] = (int)i;
  }
  g_free(seen);
  return next;
}

/* "oracle" and "belady" are regular policies that get exact figures instead of estimates. */
static void set_policy(replay *replay, const char *policy) {
  const char *name = policy;
  if (!strcmp(policy, "oracle")) {
    replay->foresight = FORESIGHT_ORACLE;
    name = "cremebrulee";
  } else if (!strcmp(policy, "belady")) {
    replay->foresight = FORESIGHT_BELADY;
    name = "popularity";
  }
  bool is_formula = g_str_has_prefix(policy, "expr:") &&
                    !formula_compile(&replay->custom_formula, policy + strlen("expr:"), NULL);
  replay->rule.name = name;
  replay->rule.custom_formula = is_formula ? &replay->custom_formula : NULL;
}

static void set_options(replay *replay, const replay_options *options) {
  replay->initial_load_ms = DEFAULT_LOAD_MS;
  if (!options)
    return;
  if (options->initial_load_ms > 0)
    replay->initial_load_ms = options->initial_load_ms;
  if (options->window_s)
    event_history_set_window(&replay->history, time_from_ms(options->window_s * 1000));
  if (options->smoothing_factor > 0)
    replay->history.smoothing_factor = options->smoothing_factor;
}

static void replay_init(replay *replay, const trace *trace) {
  scheduler_init(&replay->world.tasks, replay_now, replay);
  replay->now = time_from_ms(START_MS);
  event_history_init(&replay->history, &replay->world);
  replay->trace = trace;
  replay->engine_type = id_of_text("trial");
  replay->models = g_new0(replayed_model, trace->models->len);
  replay->candidates = g_new0(eviction_candidate, trace->models->len);
  for (guint i = 0; i < trace->models->len; i++)
    replay->models[i].next_request = NEVER;
}

static void replay_free(replay *replay) {
  event_history_free(&replay->history);
  scheduler_free(&replay->world.tasks);
  g_free(replay->models);
  g_free(replay->candidates);
}

/* `request` is the index of the request being replayed. */
static eviction_candidate make_candidate(replay *replay, guint i, int request) {
  const trace_model *model = trace_model_at(replay->trace, i);
  eviction_candidate candidate = { .model = model->self, .weights_mb = model->weights_mb };
  candidate.last_requested_at = event_history_last_requested_at(&replay->history, model->self.text);
  if (replay->foresight) {
    int next = replay->models[i].next_request;
    candidate.request_rate = next == NEVER ? 0 : 1.0 / (next - request);
    candidate.load_ms = model->load_ms;
  } else {
    candidate.request_rate = event_history_request_rate(&replay->history, model->self.text);
    candidate.load_ms = event_history_load_ms(&replay->history, replay->engine_type,
                                              model->self.text, replay->initial_load_ms);
  }
  return candidate;
}

static void unload(replay *replay, id self) {
  for (guint i = 0; i < replay->trace->models->len; i++) {
    const trace_model *model = trace_model_at(replay->trace, i);
    if (!replay->models[i].resident || !id_equal(model->self, self))
      continue;
    replay->models[i].resident = false;
    replay->models[i].unloaded_at = replay->now;
    replay->used_mb -= model->weights_mb;
    replay->result.unloads++;
    return;
  }
}

/* Unloads the first victim that the policy selects; returns false when it selects none. */
static bool evict_one(replay *replay, uint64_t needed_mb, int request) {
  int count = 0;
  for (guint i = 0; i < replay->trace->models->len; i++)
    if (replay->models[i].resident)
      replay->candidates[count++] = make_candidate(replay, i, request);
  capacity_shortage shortage = { .mb = replay->used_mb + needed_mb - replay->capacity_mb };
  replay->rule.now = replay->now;
  if (eviction_policy_select(&replay->rule, replay->candidates, count, shortage, replay_random,
                             replay) < 1)
    return false;
  unload(replay, replay->candidates[0].model);
  return true;
}

static void count_load(replay *replay, int i) {
  const trace_model *model = trace_model_at(replay->trace, (guint)i);
  time_us unloaded_at = replay->models[i].unloaded_at;
  int64_t window_us = WASTED_LOAD_WINDOW_FACTOR * (int64_t)(model->load_ms * 1000);
  replay->result.loads++;
  replay->result.wasted += unloaded_at.us && replay->now.us - unloaded_at.us < window_us;
  replay->result.delay_ms += model->load_ms;
}

/* The load of a model that is larger than the engine is counted, but the model does not become
 * resident. */
static void load(replay *replay, int i, int request) {
  const trace_model *model = trace_model_at(replay->trace, (guint)i);
  count_load(replay, i);
  if (model->weights_mb > replay->capacity_mb)
    return;
  while (replay->used_mb + model->weights_mb > replay->capacity_mb)
    if (!evict_one(replay, model->weights_mb, request))
      break;
  replay->models[i].resident = true;
  replay->used_mb += model->weights_mb;
  event_history_record_load_ms(&replay->history, replay->engine_type, model->self.text,
                               model->load_ms);
}

static void replay_request(replay *replay, int request, int next_request) {
  const trace_request *entry = trace_request_at(replay->trace, (guint)request);
  int i = entry->model_index;
  replay->now = entry->at;
  replay->result.requests++;
  event_history_append(&replay->history,
                       (history_event){ .kind = EVENT_ROUTED,
                                        .engine = replay->engine_type,
                                        .model = trace_model_at(replay->trace, (guint)i)->self });
  replay->models[i].next_request = next_request;
  if (replay->models[i].resident)
    replay->result.hits++;
  else
    load(replay, i, request);
}

replay_result policy_replay_run(const trace *trace, const char *policy, uint64_t capacity_mb,
                                const replay_options *options, uint64_t seed) {
  replay *replay = g_new0(struct replay, 1);
  replay->random_state = seed;
  replay->capacity_mb = capacity_mb;
  replay_init(replay, trace);
  set_policy(replay, policy);
  set_options(replay, options);
  int *next = find_next_requests(trace);
  for (guint i = 0; i < trace->requests->len; i++)
    replay_request(replay, (int)i, next[i]);
  replay_result result = replay->result;
  replay_free(replay);
  g_free(next);
  g_free(replay);
  return result;
}
