/** Load and speed of engines.
 *
 * The time to the first event is modelled as base_ms + ms_per_token * (tokens waiting + own tokens
 * to prefill), and grows by up to a share of FULL_BATCH_SLOWDOWN as slots are taken. Both
 * parameters are estimated from those requests of this gateway that were served while few other
 * tokens were waiting; behind a queue, the time depends mostly on the queue. */
#include "engine_load.h"
#include "gateway.h"

/* Weights of one sample in the exponential moving averages. Each request gives a sample of the
 * first event; the averages of durations and prompt lengths change more slowly. */
static const double FIRST_EVENT_WEIGHT = 0.1, RUN_WEIGHT = 0.05, PROMPT_WEIGHT = 0.05,
                    SPEED_WEIGHT = 0.1;
/* Relative increase of the time to the first event when all slots are taken. */
static const double FULL_BATCH_SLOWDOWN = 0.3;
/* A sample is ignored if more tokens were waiting than this share of its own tokens (or
 * of SHORT_PROMPT_TOKENS if it has fewer). */
static const double SPEED_SAMPLE_MAX_WAITING_SHARE = 0.5;
/* Shorter prompts update the base time, longer ones the time per token. */
static const double SHORT_PROMPT_TOKENS = 200;
/* Speed of an engine without samples. */
static const double INITIAL_BASE_MS = 30, INITIAL_MS_PER_TOKEN = 0.05, INITIAL_RUN_MS = 60;
/* Bounds of the estimated speed, which limit the effect of samples that measure something else. */
static const double MIN_BASE_MS = 1, MAX_BASE_MS = 400, MIN_MS_PER_TOKEN = 0.004,
                    MAX_MS_PER_TOKEN = 2;

void engine_load_init(engine_load *load) {
  load->own_runs = g_array_new(FALSE, TRUE, sizeof(own_run));
  load->peer_loads = g_array_new(FALSE, TRUE, sizeof(peer_load));
  load->base_ms = INITIAL_BASE_MS;
  load->ms_per_token = INITIAL_MS_PER_TOKEN;
  load->mean_run_ms = INITIAL_RUN_MS;
}

void engine_load_free(engine_load *load) {
  g_array_free(load->own_runs, TRUE);
  g_array_free(load->peer_loads, TRUE);
}

void engine_load_copy_speed(engine_load *load, const engine_load *from) {
  load->base_ms = from->base_ms;
  load->ms_per_token = from->ms_per_token;
  load->mean_run_ms = from->mean_run_ms;
  load->mean_prompt_tokens = from->mean_prompt_tokens;
}

double engine_load_batch_slowdown(int running, unsigned slots) {
  double full = slots ? (double)running / slots : 0;
  return 1 + FULL_BATCH_SLOWDOWN * MIN(1, full);
}

static own_run *own_run_at(const engine_load *load, guint index) {
  return &g_array_index(load->own_runs, own_run, index);
}

/* adds a sample to an exponential moving average; the first sample initializes it */
static void mean_add(double *mean, double sample, double weight) {
  *mean = *mean ? *mean + weight * (sample - *mean) : sample;
}

void gateway_engine_record_sent(gateway_engine *engine, double tokens) {
  engine_load *load = &engine->load;
  const selected_request *selected = &engine->selected;
  own_run run = { selected->model,
                  selected->adapter,
                  gateway_engine_now(engine),
                  tokens,
                  selected->tokens == tokens ? selected->uncached_tokens : tokens,
                  false };
  g_array_append_val(load->own_runs, run);
  load->own_running++;
  load->own_waiting_tokens += run.uncached_tokens;
  load->prefilled_tokens += run.uncached_tokens;
  mean_add(&load->mean_prompt_tokens, tokens, PROMPT_WEIGHT);
  if (!load->oldest_wait_at.us)
    load->oldest_wait_at = run.sent_at;
  resident *resident = id_is_empty(run.model) ? NULL : engine_residents_find(engine, run.model);
  if (resident) {
    resident->own_running++;
    resident->last_used_at = run.sent_at;
  }
  engine_health_start_trial(engine, run.sent_at);
}

static void update_oldest_wait(engine_load *load) {
  load->oldest_wait_at = (time_us){ 0 };
  for (guint i = 0; i < load->own_runs->len; i++) {
    const own_run *run = own_run_at(load, i);
    if (!run->first_event_seen &&
        (!load->oldest_wait_at.us || run->sent_at.us < load->oldest_wait_at.us))
      load->oldest_wait_at = run->sent_at;
  }
}

/* the index of the oldest run that has, or has not, had its first event, and has this number of
 * tokens (negative: any); -1 when there is none */
static int own_run_find(const engine_load *load, double tokens, bool first_event_seen) {
  int best = -1;
  for (guint i = 0; i < load->own_runs->len; i++) {
    const own_run *run = own_run_at(load, i);
    if (run->first_event_seen != first_event_seen || (tokens >= 0 && run->tokens != tokens))
      continue;
    if (best < 0 || run->sent_at.us < own_run_at(load, (guint)best)->sent_at.us)
      best = (int)i;
  }
  return best;
}

static void remove_waiting_tokens(engine_load *load, const own_run *run) {
  load->own_waiting_tokens = MAX(0, load->own_waiting_tokens - run->uncached_tokens);
}

/* updates the estimated speed from a measured time to the first event */
static void update_speed(gateway_engine *engine, double uncached_tokens, double ms,
                         int running_at_start) {
  engine_load *load = &engine->load;
  double waiting_tokens = gateway_engine_waiting_tokens(engine);
  unsigned slots = MAX(engine->slots, 1);
  if (waiting_tokens > SPEED_SAMPLE_MAX_WAITING_SHARE * MAX(uncached_tokens, SHORT_PROMPT_TOKENS) ||
      running_at_start > (int)slots)
    return;
  ms /= engine_load_batch_slowdown(running_at_start, slots);
  if (uncached_tokens < SHORT_PROMPT_TOKENS) {
    double base_ms = ms - uncached_tokens * load->ms_per_token;
    load->base_ms += SPEED_WEIGHT * (CLAMP(base_ms, 0.5, 4 * load->base_ms) - load->base_ms);
  } else {
    double per_token = (ms - load->base_ms) / uncached_tokens;
    load->ms_per_token +=
        SPEED_WEIGHT *
        (CLAMP(per_token, 0.25 * load->ms_per_token, 2 * load->ms_per_token) - load->ms_per_token);
  }
  load->base_ms = CLAMP(load->base_ms, MIN_BASE_MS, MAX_BASE_MS);
  load->ms_per_token = CLAMP(load->ms_per_token, MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN);
}

void gateway_engine_record_first_event(gateway_engine *engine, double tokens, double ms,
                                       int running_at_start) {
  engine_load *load = &engine->load;
  engine->health.last_byte_at = gateway_engine_now(engine);
  int index = own_run_find(load, tokens, false);
  double uncached_tokens = tokens;
  if (index >= 0) {
    own_run *run = own_run_at(load, (guint)index);
    run->first_event_seen = true;
    uncached_tokens = run->uncached_tokens;
    remove_waiting_tokens(load, run);
  }
  update_oldest_wait(load);
  mean_add(&load->mean_first_event_ms, ms, FIRST_EVENT_WEIGHT);
  engine_health_clear(engine);
  update_speed(engine, uncached_tokens, ms, running_at_start);
}

static void remove_run(gateway_engine *engine, guint index, bool ok) {
  engine_load *load = &engine->load;
  const own_run *run = own_run_at(load, index);
  if (!run->first_event_seen)
    remove_waiting_tokens(load, run);
  double run_ms = (double)time_sub(gateway_engine_now(engine), run->sent_at).us / 1000;
  if (ok)
    load->mean_run_ms += RUN_WEIGHT * (run_ms - load->mean_run_ms);
  resident *resident = id_is_empty(run->model) ? NULL : engine_residents_find(engine, run->model);
  if (resident && resident->own_running > 0)
    resident->own_running--;
  g_array_remove_index_fast(load->own_runs, index);
}

void gateway_engine_record_end(gateway_engine *engine, bool ok) {
  engine_load *load = &engine->load;
  /* a successful request has had its first event; a failed one probably has not */
  int index = own_run_find(load, -1, ok);
  if (index < 0)
    index = own_run_find(load, -1, !ok);
  if (index >= 0)
    remove_run(engine, (guint)index, ok);
  if (!load->own_runs->len)
    load->own_waiting_tokens = 0;
  if (load->own_running > 0)
    load->own_running--;
  update_oldest_wait(load);
  if (ok)
    engine_health_record_success(engine);
  else
    engine_health_record_failure(engine);
}

double gateway_engine_waiting_tokens(const gateway_engine *engine) {
  return engine->load.own_waiting_tokens + engine->load.peers_waiting_tokens;
}

int gateway_engine_running_requests(const gateway_engine *engine) {
  return engine->load.own_running + engine->load.peers_running;
}

uint32_t gateway_engine_model_key(id model, id adapter) {
  return (uint32_t)hash_two_names(model.text, adapter.text) | 1;
}

static bool own_runs_include(const engine_load *load, id model, id adapter) {
  for (guint i = 0; i < load->own_runs->len; i++) {
    const own_run *run = own_run_at(load, i);
    if (id_equal(run->model, model) && (id_is_empty(adapter) || id_equal(run->adapter, adapter)))
      return true;
  }
  return false;
}

static bool peer_load_includes(const peer_load *peer, uint32_t key) {
  for (int i = 0; i < PEER_LOAD_MAX_MODELS && peer->model_keys[i]; i++)
    if (peer->model_keys[i] == key)
      return true;
  return false;
}

bool gateway_engine_is_running(const gateway_engine *engine, id model, id adapter) {
  const engine_load *load = &engine->load;
  if (own_runs_include(load, model, adapter))
    return true;
  uint32_t key = gateway_engine_model_key(model, adapter);
  for (guint i = 0; i < load->peer_loads->len; i++)
    if (peer_load_includes(&g_array_index(load->peer_loads, peer_load, i), key))
      return true;
  return false;
}
