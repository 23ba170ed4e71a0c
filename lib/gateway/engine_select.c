/** Selects an engine for a request; see engine_select.h.
 *
 * Candidates are the engines that hold the model, without those that the request excludes. Three
 * kinds of candidates are passed over: ejected engines, unless that leaves fewer than half; suspect
 * engines, as long as another one is in good health; and engines that have no free slot or whose
 * estimate is too late for the request. Of the rest, the engine with the lowest cost is selected.
 * The cost in ms is:
 *
 *   load weight * estimated time to the first event
 *   + affinity weight * prefill of shared prompt parts that are not cached there
 *   + penalties: an estimate beyond half of the latency target, nearly full KV memory, another
 *     zone, bad health
 *   + a random term of up to 1 ms, so that gateways don't all select the same engine
 *
 * Rendezvous hashing assigns shared prompt parts a home among the candidates: all gateways prefer
 * it for the first request with a prefix, and later requests find the prefix cached there. */
#include "engine_select.h"
#include "gateway.h"
#include "load_requests.h"
#include <stdio.h>

enum {
  /* maximum number of candidates; engines after these are not considered */
  MAX_CANDIDATES = 512,
  /* maximum number of shared parts of a prompt that are distinguished */
  MAX_PREFIX_PARTS = 32,
  /* an engine that shuts down within this time is not a candidate */
  MIN_REMAINING_MS = 1000,
  /* when fewer than half of the engines are left, ejected ones are allowed again if they have sent
   * a byte within this time */
  RECENT_BYTE_MS = 3000,
  /* when no other engine is left, a suspect engine gets a request that may run only once after this
   * time */
  SUSPECT_TRIAL_MS = 1000,
  /* an engine of a plain service may have this many more requests than slots */
  PLAIN_EXTRA_REQUESTS = 2,
  /* a slow estimate within this time after another one requests an extra replica */
  SLOW_ESTIMATE_SPAN_MS = 1000,
  REPLICA_REQUEST_INTERVAL_MS = 1500,
  /* with more gateways than this, each one sees few requests for a model, so an extra replica is
   * requested at the first slow estimate if the queue is long */
  LARGE_FLEET_NODES = 16
};
/* Cost in ms of an unhealthy engine: greater than any estimate that is in time. */
static const double UNHEALTHY_COST = 3000;
/* Share of an engine's KV memory that is assumed to hold cached prefixes, divided evenly among the
 * gateways. */
static const double PREFIX_KV_SHARE = 0.8;
/* Share of the shared tokens that is expected to be cached at the home of a prefix. */
static const double HOME_CACHED_SHARE = 0.5;
/* The part of an estimate beyond this share of the target costs LATE_COST_FACTOR times as much in
 * addition. */
static const double LATE_TARGET_SHARE = 0.5, LATE_COST_FACTOR = 3;
/* KV memory: factor by which a request grows beyond its prompt; share in use above which there is a
 * cost; cost in ms per unit of the share above that. */
static const double KV_GROWTH = 1.15, KV_FULL_SHARE = 0.85, KV_FULL_COST = 4000;
/* Cost of another zone, in units of the policy's zone weight, for a model and for a plain
 * service. */
static const double ZONE_COST_MODEL = 3, ZONE_COST_PLAIN = 1.5;
/* In a large fleet, a queue longer than this share of the target requests an extra replica. */
static const double LONG_QUEUE_TARGET_SHARE = 0.4;
/* Used as the estimate when no healthy engine is left; always counts as slow. */
static const double NO_ESTIMATE_MS = 1e9;

double engine_select_estimate_ms(double base_ms, double ms_per_token, double waiting_tokens,
                                 double uncached_tokens, int running, unsigned slots,
                                 double run_ms) {
  double ms = (base_ms + ms_per_token * (waiting_tokens + uncached_tokens)) *
              engine_load_batch_slowdown(running, slots);
  if (slots && running >= (int)slots)
    ms += (running - (int)slots + 1) * run_ms / slots;
  return ms;
}

static bool is_excluded(const engine_select_request *request, id engine_id) {
  for (int i = 0; i < request->excluded_count; i++)
    if (id_equal(request->excluded[i], engine_id))
      return true;
  return false;
}

/** Time of the last slow estimate for a model, and of the last request for an extra replica. */
typedef struct slow_estimate {
  time_us seen_at, requested_at;
} slow_estimate;

static slow_estimate *slow_estimate_of(gateway *gateway, const engine_select_request *request) {
  char key[160];
  snprintf(key, sizeof key, "%s/%s+%s", request->service->name.text, request->model.text,
           request->adapter.text);
  slow_estimate *slow = g_hash_table_lookup(gateway->slow_estimates, key);
  if (slow)
    return slow;
  slow = g_new0(slow_estimate, 1);
  g_hash_table_insert(gateway->slow_estimates, g_strdup(key), slow);
  return slow;
}

static const select_policy *policy_of(const engine_select_request *request) {
  return request->policy ? request->policy : &select_policy_default;
}

static bool is_within(time_us now, time_us at, int64_t ms) {
  return at.us && !time_reached(now, time_add(at, time_from_ms(ms)));
}

/* Requests an extra replica of the model when the best estimate is slow for the second time within
 * a second, or, in a large fleet, when it is slow and the queue is long. */
static void request_extra_replica(gateway *gateway, const engine_select_request *request,
                                  double estimate_ms, double queue_ms) {
  double target_ms = (double)request->target_ms;
  if (!request->target_ms || !gateway_feature_enabled(gateway, FEATURE_REPLICAS) ||
      estimate_ms < policy_of(request)->scale_out_threshold * target_ms)
    return;
  time_us now = gateway_now(gateway);
  slow_estimate *slow = slow_estimate_of(gateway, request);
  bool long_queue =
      gateway->router_count > LARGE_FLEET_NODES && queue_ms > LONG_QUEUE_TARGET_SHARE * target_ms;
  bool seen_recently = is_within(now, slow->seen_at, SLOW_ESTIMATE_SPAN_MS);
  slow->seen_at = now;
  if ((!long_queue && !seen_recently) ||
      is_within(now, slow->requested_at, REPLICA_REQUEST_INTERVAL_MS))
    return;
  slow->requested_at = now;
  double load_ms;
  int64_t retry_after_ms;
  load_request_submit(gateway, request->service, request->model, request->adapter,
                      request->priority, true, &load_ms, &retry_after_ms);
}

/** The engines from which one is selected. */
typedef struct candidates {
  gateway_engine *engines[MAX_CANDIDATES];
  int count;
  /** Number of engines of the service; of those that hold the model and are responsive; of
   * candidates that are not ejected. */
  int in_service, holding, not_ejected;
  /** Some candidate is neither suspect nor ejected. */
  bool any_in_good_health;
} candidates;

static bool is_ejected(const gateway_engine *engine, time_us now) {
  return engine->health.ejected_until.us > now.us;
}

static void find_candidates(gateway *gateway, const engine_select_request *request,
                            candidates *found) {
  time_us now = gateway_now(gateway), ends_after = time_add(now, time_from_ms(MIN_REMAINING_MS));
  found->count = found->in_service = found->holding = found->not_ejected = 0;
  found->any_in_good_health = false;
  list_for_each (engine, &gateway->engines.list, gateway_engine, link) {
    if (engine->gone || engine->draining || !id_equal(engine->service, request->service->name))
      continue;
    if (engine->ends_at.us && time_reached(ends_after, engine->ends_at))
      continue;
    found->in_service++;
    if (!gateway_engine_has_model(engine, request->model, request->adapter))
      continue;
    engine_health_update(engine);
    found->holding += !gateway_engine_unresponsive(engine);
    if (is_excluded(request, engine->engine_id))
      continue;
    bool ejected = is_ejected(engine, now);
    found->not_ejected += !ejected;
    if (found->count == MAX_CANDIDATES)
      continue;
    found->any_in_good_health |= !engine->health.suspect && !ejected;
    found->engines[found->count++] = engine;
  }
}

/** The shared parts of a prompt. */
typedef struct prompt_prefix {
  uint64_t chain[MAX_PREFIX_PARTS];
  double tokens_up_to[MAX_PREFIX_PARTS];
  int part_count;
  /** Tokens of all parts but the last, which is the prompt's own. */
  double shared_tokens;
  /** The engine that should cache the shared parts; NULL when there are none. */
  const gateway_engine *home;
} prompt_prefix;

static const gateway_engine *find_home(const candidates *found, uint64_t shared_hash) {
  const gateway_engine *home = NULL;
  uint64_t highest = 0;
  for (int i = 0; i < found->count; i++) {
    const char *name = found->engines[i]->engine_id.text;
    uint64_t hash = hash_bytes(name, strlen(name), shared_hash);
    if (!home || hash > highest) {
      home = found->engines[i];
      highest = hash;
    }
  }
  return home;
}

static void read_prefix(const gateway *gateway, const engine_select_request *request,
                        const candidates *found, prompt_prefix *prefix) {
  prefix->part_count = 0;
  prefix->shared_tokens = 0;
  prefix->home = NULL;
  if (id_is_empty(request->model) || !request->prefix ||
      !gateway_feature_enabled(gateway, FEATURE_PREFIX))
    return;
  prefix->part_count = prefix_cache_parse(request->prefix, request->model, request->adapter,
                                          prefix->chain, prefix->tokens_up_to, MAX_PREFIX_PARTS);
  int shared_count = prefix->part_count - 1;
  if (shared_count <= 0)
    return;
  prefix->shared_tokens = MIN(prefix->tokens_up_to[shared_count - 1], request->tokens);
  prefix->home = find_home(found, prefix->chain[shared_count - 1]);
}

/* tokens of a prompt that an engine is known to have cached; -1 when there are none */
static double cached_tokens(const gateway_engine *engine, const prompt_prefix *prefix,
                            double kv_tokens) {
  double max_age_tokens =
      kv_tokens > 0 ? PREFIX_KV_SHARE * kv_tokens / MAX(engine->gateway->router_count, 1) : 1e9;
  int cached_parts = prefix_cache_match(&engine->prefix_cache, prefix->chain, prefix->part_count,
                                        engine->load.prefilled_tokens, max_age_tokens);
  return cached_parts ? prefix->tokens_up_to[cached_parts - 1] : -1;
}

/** A candidate's estimate. */
typedef struct candidate_estimate {
  unsigned slots;
  int running;
  double waiting_tokens;  /* of other requests, on the engine */
  double cached_tokens;   /* of the prompt */
  double uncached_tokens; /* of the prompt, to be prefilled */
  double ms;              /* to the first event */
} candidate_estimate;

static candidate_estimate estimate_candidate(const gateway_engine *engine,
                                             const engine_select_request *request,
                                             const prompt_prefix *prefix) {
  const gateway *gateway = engine->gateway;
  const engine_load *load = &engine->load;
  candidate_estimate estimate = {
    .slots = engine->slots ? engine->slots : request->service->engine_slots,
    .running = gateway_feature_enabled(gateway, FEATURE_BATCH)
                   ? gateway_engine_running_requests(engine)
                   : 0,
    .waiting_tokens = gateway_engine_waiting_tokens(engine),
  };
  double cached = cached_tokens(engine, prefix, request->service->kv_tokens);
  estimate.cached_tokens = MAX(cached, 0);
  estimate.uncached_tokens = MAX(request->tokens - estimate.cached_tokens, 0);
  if (cached < 0 && engine == prefix->home)
    estimate.uncached_tokens = MAX(request->tokens - HOME_CACHED_SHARE * prefix->shared_tokens, 0);
  estimate.ms = engine_select_estimate_ms(load->base_ms, load->ms_per_token,
                                          estimate.waiting_tokens, estimate.uncached_tokens,
                                          estimate.running, estimate.slots, load->mean_run_ms);
  return estimate;
}

/* true when a candidate must not be selected because of its health; allow_ejected: ejected engines
 * are allowed, since fewer than half would be left otherwise */
static bool is_unfit(const gateway_engine *engine, const engine_select_request *request,
                     const candidates *found, bool allow_ejected, time_us now) {
  const engine_health *health = &engine->health;
  if (is_ejected(engine, now) &&
      !(allow_ejected && is_within(now, health->last_byte_at, RECENT_BYTE_MS)))
    return true;
  /* when only requests that may run once arrive, one of them eventually has to probe the engine */
  time_us trial_at = time_add(health->suspect_at, time_from_ms(SUSPECT_TRIAL_MS));
  return health->suspect &&
         (found->any_in_good_health || (request->run_once && !time_reached(now, trial_at)));
}

/* true when the engine must not get the request, whatever its cost */
static bool is_overloaded(const engine_select_request *request,
                          const candidate_estimate *estimate) {
  bool plain = id_is_empty(request->model);
  if (estimate->slots &&
      estimate->running >= (int)estimate->slots + (plain ? PLAIN_EXTRA_REQUESTS : 0))
    return true;
  if (request->remaining_ms > 0 && estimate->ms > (double)request->remaining_ms)
    return true;
  /* in a queue that is already too long, the request would only delay those behind it */
  return !plain && request->target_ms &&
         estimate->ms > policy_of(request)->overload_threshold * (double)request->target_ms &&
         estimate->waiting_tokens > 0;
}

/* cost of nearly full KV memory, where the engine would preempt requests */
static double kv_cost(const gateway_engine *engine, const service *service, int running) {
  if (service->kv_tokens <= 0 || !gateway_feature_enabled(engine->gateway, FEATURE_KV))
    return 0;
  double use =
      (running + 1) * MAX(engine->load.mean_prompt_tokens, 1) * KV_GROWTH / service->kv_tokens;
  return use > KV_FULL_SHARE ? (use - KV_FULL_SHARE) * KV_FULL_COST : 0;
}

/* cost of a request for a model */
static double model_cost(const gateway_engine *engine, const engine_select_request *request,
                         const prompt_prefix *prefix, const candidate_estimate *estimate) {
  const select_policy *policy = policy_of(request);
  double cost = policy->load_weight * estimate->ms, target_ms = (double)request->target_ms;
  if (prefix->home && engine != prefix->home)
    cost += policy->affinity_weight * engine->load.ms_per_token *
            MAX(prefix->shared_tokens - estimate->cached_tokens, 0);
  if (request->target_ms && estimate->ms > LATE_TARGET_SHARE * target_ms)
    cost += policy->load_weight * LATE_COST_FACTOR * (estimate->ms - LATE_TARGET_SHARE * target_ms);
  double kv = kv_cost(engine, request->service, estimate->running);
  return kv > 0 ? cost + kv : cost;
}

/* cost of a plain request, which grows with the share of slots in use */
static double plain_cost(const engine_select_request *request, const candidate_estimate *estimate) {
  double running = estimate->running;
  return policy_of(request)->load_weight * estimate->ms *
         (1 + (estimate->slots ? running / estimate->slots : running));
}

static double cost_of(const gateway_engine *engine, const engine_select_request *request,
                      const prompt_prefix *prefix, const candidate_estimate *estimate) {
  gateway *gateway = engine->gateway;
  bool plain = id_is_empty(request->model);
  double cost =
      plain ? plain_cost(request, estimate) : model_cost(engine, request, prefix, estimate);
  if (!id_equal(engine->zone, gateway->router->node.settings.zone) &&
      gateway_feature_enabled(gateway, FEATURE_ZONE))
    cost += policy_of(request)->zone_weight * (plain ? ZONE_COST_PLAIN : ZONE_COST_MODEL);
  if (gateway_engine_unhealthy(engine))
    cost += UNHEALTHY_COST;
  return cost + (double)world_random(gateway->router->node.world, 1000) / 1000;
}

/** The cheapest candidate so far. */
typedef struct selection {
  gateway_engine *engine; /* NULL when all are unfit or overloaded */
  double cost;
  candidate_estimate estimate;
  /** Over all candidates that are not unfit: the earliest first event and the
   * shortest queue, in ms; negative when there are none. */
  double soonest_ms, queue_ms;
} selection;

static selection select_cheapest(gateway *gateway, const engine_select_request *request,
                                 const candidates *found, const prompt_prefix *prefix) {
  selection best = { .soonest_ms = -1, .queue_ms = -1 };
  time_us now = gateway_now(gateway);
  bool allow_ejected = found->not_ejected * 2 < found->holding;
  for (int i = 0; i < found->count; i++) {
    gateway_engine *engine = found->engines[i];
    if (is_unfit(engine, request, found, allow_ejected, now))
      continue;
    candidate_estimate estimate = estimate_candidate(engine, request, prefix);
    double queue_ms = engine->load.ms_per_token * estimate.waiting_tokens;
    if (best.soonest_ms < 0 || estimate.ms < best.soonest_ms)
      best.soonest_ms = estimate.ms;
    if (best.queue_ms < 0 || queue_ms < best.queue_ms)
      best.queue_ms = queue_ms;
    if (is_overloaded(request, &estimate))
      continue;
    double cost = cost_of(engine, request, prefix, &estimate);
    if (!best.engine || cost < best.cost) {
      best.engine = engine;
      best.cost = cost;
      best.estimate = estimate;
    }
  }
  return best;
}

gateway_engine *engine_select(gateway *gateway, const engine_select_request *request,
                              enum engine_select_result *result, double *estimate_ms) {
  candidates found;
  find_candidates(gateway, request, &found);
  *estimate_ms = 0;
  *result = !found.in_service ? ENGINE_SELECT_NO_ENGINE
            : !found.holding  ? ENGINE_SELECT_NO_MODEL
                              : ENGINE_SELECT_ALL_BUSY;
  if (!found.count)
    return NULL;
  prompt_prefix prefix;
  read_prefix(gateway, request, &found, &prefix);
  selection best = select_cheapest(gateway, request, &found, &prefix);
  gateway_engine *engine = best.engine;
  *estimate_ms = engine ? best.estimate.ms : MAX(best.soonest_ms, 0);
  if (!id_is_empty(request->model) && found.holding) {
    bool healthy = engine && !gateway_engine_unhealthy(engine);
    request_extra_replica(gateway, request, healthy ? best.estimate.ms : NO_ESTIMATE_MS,
                          engine && !healthy ? NO_ESTIMATE_MS : best.queue_ms);
  }
  if (!engine)
    return NULL;
  *result = ENGINE_SELECT_OK;
  engine->selected = (selected_request){ .model = request->model,
                                         .adapter = request->adapter,
                                         .tokens = request->tokens,
                                         .uncached_tokens = best.estimate.uncached_tokens };
  prefix_cache_record(&engine->prefix_cache, prefix.chain, prefix.part_count,
                      engine->load.prefilled_tokens);
  return engine;
}
