/** Placement at a model's coordinator; see placement.h.
 *
 * A placement chooses the engine with the lowest cost, requests the load from the holder of that
 * engine's lease, and retries until the model is loaded, no engine can take it, or no request asks
 * for it any more. The cost of an engine is in ms times requests per second:
 *
 *   eviction cost (eviction.h) + time until the model is loaded * its request rate
 *
 * Large fleets shard placement: each shard has a coordinator, a subset of the models and a subset
 * of the engines. Coordinators don't know each other's queues, so disjoint engines keep their
 * placements from colliding. */
#include "placement.h"
#include "gateway.h"
#include "load_jobs.h"
#include "load_requests.h"

enum {
  /* up to this many gateways, each service has a single coordinator; larger fleets have one shard
     for every NODES_PER_SHARD gateways */
  SINGLE_COORDINATOR_MAX_NODES = 32,
  NODES_PER_SHARD = 16,
  MIN_SHARDS = 2,
  MAX_SHARDS = 64,
  SHARD_HASH_SEED = 11,
  /* one replica is wanted for each multiple of this length in a model's total queue over its
     engines */
  REPLICA_QUEUE_TARGET_MS = 250,
  MAX_REPLICAS_AT_ONCE = 4,
  /* after this many engines have refused because only models with running requests could be
     evicted, their eviction is allowed */
  MAX_BUSY_ENGINES = 4,
  /* passes without an eligible engine before the placement fails: a lease handover takes some
     seconds, while a lack of capacity is reported soon */
  MAX_PASSES_NO_CAPACITY = 4,
  MAX_PASSES_NO_ENGINE = 12,
  NO_ENGINE_SLEEP_MS = 150,
  MAX_REFUSALS = 6,
  REFUSED_SLEEP_MS = 60,
  NO_RESPONSE_SLEEP_MS = 20,
  RATE_LIMITED_SLEEP_MIN_MS = 50,
  RATE_LIMITED_SLEEP_MAX_MS = 500,
  RATE_LIMITED_EXTRA_MS = 1000,
  /* an engine that its lease holder could not reach is skipped for this time by the first pass of
     all placements */
  UNREACHABLE_MS = 2000,
  /* no load is placed on an engine that shuts down sooner than this */
  MIN_REMAINING_MS = 30000,
  /* the lease holder's broadcast of a loaded model arrives within this time */
  BROADCAST_MS = 60,
  /* retry-after times of failed load requests */
  RETRY_DEFAULT_MS = 400,
  RETRY_UNKNOWN_MODEL_MS = 2000,
  RETRY_NO_REPLICA_MS = 3000,
  RETRY_NO_ENGINE_MS = 500,
  /* overhead between two loads on an engine, and from the placement to the start of the load */
  LOAD_OVERHEAD_MS = 40,
  PLACEMENT_OVERHEAD_MS = 30
};
/* An extra replica that is loaded in parallel with another one may cost at most this share of its
 * utility in evictions. */
static const double PARALLEL_REPLICA_COST_SHARE = 0.1;
/* Expected delay of a load in ms: on an engine with all slots taken (in proportion for fewer), for
 * weights that are not on the engine's disk, and for a load that needs an eviction. */
static const double FULL_ENGINE_DELAY_MS = 300, STORE_DELAY_MS = 300, EVICTION_DELAY_MS = 60;
/* Lower bound of the request rate of a model that is being placed: at least one request wants it.
 */
static const double MIN_REQUEST_RATE = 0.6;
/* How far the eviction cost may rise between the choice of the engine and the load. */
static const double MAX_COST_FACTOR = 2, MAX_COST_EXTRA = 3000;

/** A placement in progress; the coordinator has one per model (and adapter) for the whole fleet,
 * plus one for each extra replica that is loaded in parallel. */
typedef struct placement_job {
  char *key; /* load_request_key, owned */
  id service, model, adapter;
  unsigned priority;
  /** extra_replica: it is loaded although engines hold the model already; parallel_replica: it is
   * loaded in parallel with another extra replica. */
  bool extra_replica, parallel_replica;
  time_us last_asked_at, expected_at;
  /** The chosen engine (empty: none at the moment) and its eviction cost. */
  id engine;
  double eviction_cost;
  /** The lease holder has started the load. */
  bool started;
  /** Models with running requests may be evicted, since no engine can free enough capacity by
   * evicting idle models alone. */
  bool may_evict_busy;
  bool done;
  enum error_code code;
  int64_t retry_after_ms;
  condition changed;
  int refs;
} placement_job;

static void placement_job_free(void *context) {
  placement_job *job = context;
  g_free(job->key);
  g_free(job);
}

void placement_init(placement_state *placement) {
  placement->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, placement_job_free);
}

void placement_state_free(placement_state *placement) {
  if (placement->jobs)
    g_hash_table_destroy(placement->jobs);
  placement->jobs = NULL;
}

int placement_shard_count(gateway *gateway) {
  return gateway->router_count <= SINGLE_COORDINATOR_MAX_NODES
             ? 1
             : CLAMP(gateway->router_count / NODES_PER_SHARD, MIN_SHARDS, MAX_SHARDS);
}

int placement_shard_of(const char *name, int shard_count) {
  return (int)(hash_bytes(name, strlen(name), SHARD_HASH_SEED) % (uint64_t)shard_count);
}

/* the address of the gateway that holds an engine's lease; false when no live gateway holds it */
static bool lease_holder_address(gateway *gateway, id engine_id, char address[48]) {
  router *router = gateway->router;
  char name[64];
  id holder;
  uint64_t epoch;
  singleton_engine_name(name, sizeof name, engine_id);
  if (singleton_lease_epoch(router, name)) {
    g_strlcpy(address, router->node.settings.address, 48);
    return true;
  }
  if (!config_sync_find_grant(router, name, &holder, &epoch) ||
      id_equal(holder, router->node.settings.self))
    return false;
  peer_node *peer = peer_table_find(&router->node, holder);
  if (!peer || peer->gone || peer->role != ROLE_ROUTER)
    return false;
  g_strlcpy(address, peer->address, 48);
  return true;
}

static double model_load_ms(gateway_engine *engine, const service *service, id model) {
  return gateway_engine_resident(engine, model)
             ? 0
             : eviction_load_ms(engine->gateway, service, model, id_none,
                                gateway_engine_has_on_disk(engine, model));
}

/* the expected time in ms until a placement's model and adapter are loaded on an engine, if the
 * first load begins after begins_in_ms */
static double loaded_in_ms(gateway_engine *engine, const service *service, const placement_job *job,
                           double begins_in_ms) {
  double ms = begins_in_ms + model_load_ms(engine, service, job->model);
  if (!id_is_empty(job->adapter))
    ms += eviction_load_ms(engine->gateway, service, job->model, job->adapter,
                           gateway_engine_has_on_disk(engine, job->model));
  return ms;
}

/* the time in ms for which other placements of this coordinator occupy an engine before this one
 * can start */
static double queued_ms_on_engine(gateway *gateway, id engine_id, const placement_job *job) {
  double ms = 0, utility = load_job_utility(gateway, job->priority, job->model, job->adapter);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, gateway->placement.jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const placement_job *other = value;
    if (other == job || other->done || !id_equal(other->engine, engine_id))
      continue;
    if (!other->started &&
        load_job_utility(gateway, other->priority, other->model, other->adapter) < utility)
      continue;
    const service *service = gateway_service_of(gateway, other->service);
    gateway_engine *engine = gateway_engine_find(gateway, engine_id.text);
    if (service && engine)
      ms += LOAD_OVERHEAD_MS + model_load_ms(engine, service, other->model);
  }
  return ms;
}

/* an engine that is to load the same model for another placement; NULL when there is none */
static gateway_engine *engine_loading_base(gateway *gateway, const placement_job *job) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, gateway->placement.jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const placement_job *other = value;
    if (other == job || other->done || id_is_empty(other->engine) ||
        !id_equal(other->model, job->model) || !id_equal(other->service, job->service))
      continue;
    gateway_engine *engine = gateway_engine_find(gateway, other->engine.text);
    if (engine && !engine->gone && !engine->draining &&
        !gateway_engine_resident(engine, job->model))
      return engine;
  }
  return NULL;
}

int placement_missing_replicas(gateway *gateway, id service, id model, id adapter) {
  double queue_ms = 0;
  int replicas = 0;
  list_for_each (engine, &gateway->engines.list, gateway_engine, link) {
    if (engine->gone || engine->draining || !id_equal(engine->service, service) ||
        !gateway_engine_has_model(engine, model, adapter))
      continue;
    replicas++;
    queue_ms += engine->load.ms_per_token * gateway_engine_waiting_tokens(engine);
  }
  int needed = (int)(queue_ms / REPLICA_QUEUE_TARGET_MS);
  return replicas ? CLAMP(needed - replicas, 0, MAX_REPLICAS_AT_ONCE) : 0;
}

/* the number of other placements of the same model and adapter, on one engine or (NULL) on any */
static int replicas_in_progress(gateway *gateway, const placement_job *job,
                                const gateway_engine *engine) {
  int count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, gateway->placement.jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const placement_job *other = value;
    if (other == job || other->done || !id_equal(other->model, job->model) ||
        !id_equal(other->adapter, job->adapter) || !id_equal(other->service, job->service))
      continue;
    count += !engine || id_equal(other->engine, engine->engine_id);
  }
  return count;
}

static bool contains_name(const GPtrArray *names, const char *name) {
  for (guint i = 0; i < names->len; i++)
    if (!strcmp(names->pdata[i], name))
      return true;
  return false;
}

/** State of one choice of an engine. */
typedef struct engine_choice {
  gateway *gateway;
  placement_job *job;
  const service *service;
  const GPtrArray *refused_by; /* names of engines that have refused and are skipped */
  double request_rate;
  /** The utility of an extra replica: load time times the request rate that it would take over. */
  double replica_utility;
  int shard_count;
  /** True in the first pass, which considers only healthy engines of the model's shard; the second
   * pass considers all. */
  bool strict;
  gateway_engine *best;
  double best_cost;
  enum error_code code; /* why no engine was found */
} engine_choice;

static bool is_healthy(const gateway_engine *engine) {
  return !(engine->unreachable_until.us > gateway_engine_now(engine).us) &&
         !engine->health.suspect && !gateway_engine_unhealthy(engine) &&
         gateway_engine_usable(engine);
}

static bool is_in_shard(const engine_choice *choice, const gateway_engine *engine) {
  return choice->shard_count <= 1 ||
         placement_shard_of(engine->engine_id.text, choice->shard_count) ==
             placement_shard_of(choice->job->model.text, choice->shard_count);
}

/* true when an engine may be chosen, regardless of its cost */
static bool is_eligible(const engine_choice *choice, gateway_engine *engine) {
  gateway *gateway = choice->gateway;
  const placement_job *job = choice->job;
  char address[48];
  if (!id_equal(engine->service, choice->service->name) || engine->gone || engine->draining ||
      !engine->residents.known || (choice->strict && !is_healthy(engine)))
    return false;
  if (engine->ends_at.us &&
      !time_reached(engine->ends_at, gateway_deadline_in_ms(gateway, MIN_REMAINING_MS)))
    return false;
  if (choice->strict && !job->extra_replica && !is_in_shard(choice, engine))
    return false;
  if (job->extra_replica && (gateway_engine_has_model(engine, job->model, job->adapter) ||
                             replicas_in_progress(gateway, job, engine)))
    return false;
  return !contains_name(choice->refused_by, engine->engine_id.text) &&
         lease_holder_address(gateway, engine->engine_id, address);
}

/* the expected time in ms until the model is loaded on an engine */
static double delay_ms(const engine_choice *choice, gateway_engine *engine, double eviction_cost,
                       double drain_ms) {
  const placement_job *job = choice->job;
  unsigned slots = engine->slots ? engine->slots : choice->service->engine_slots;
  bool weights_are_local =
      gateway_engine_resident(engine, job->model) || gateway_engine_has_on_disk(engine, job->model);
  double running = gateway_engine_running_requests(engine);
  return loaded_in_ms(engine, choice->service, job, 0) + drain_ms +
         queued_ms_on_engine(choice->gateway, engine->engine_id, job) +
         (slots ? FULL_ENGINE_DELAY_MS * running / slots : 0) +
         (weights_are_local ? 0 : STORE_DELAY_MS) + (eviction_cost > 0 ? EVICTION_DELAY_MS : 0);
}

/* makes an eligible engine the best one if it costs less than the best so far */
static void update_best_engine(engine_choice *choice, gateway_engine *engine) {
  placement_job *job = choice->job;
  double mb, drain_ms;
  unsigned slots;
  double eviction_cost = eviction_placement_cost(engine, choice->service, job->model, job->adapter,
                                                 &mb, &slots, &drain_ms);
  double max_cost =
      (job->parallel_replica ? PARALLEL_REPLICA_COST_SHARE : 1) * choice->replica_utility;
  if (eviction_cost < 0 || (job->extra_replica && eviction_cost > max_cost)) {
    choice->code = E_NO_CAPACITY;
    return;
  }
  /* a small random term spreads the loads over engines of equal cost */
  double cost = eviction_cost;
  cost += delay_ms(choice, engine, eviction_cost, drain_ms) *
              MAX(choice->request_rate, MIN_REQUEST_RATE) +
          (double)world_random(choice->gateway->router->node.world, 10);
  if (choice->best && cost >= choice->best_cost)
    return;
  choice->best = engine;
  choice->best_cost = cost;
  job->eviction_cost = eviction_cost;
}

/* the engine with the lowest placement cost; NULL when none is possible, with the reason in *code
 */
static gateway_engine *choose_engine(gateway *gateway, placement_job *job, const service *service,
                                     const GPtrArray *refused_by, enum error_code *code) {
  engine_choice choice = {
    .gateway = gateway,
    .job = job,
    .service = service,
    .refused_by = refused_by,
    .request_rate = eviction_request_rate(gateway, job->model, job->adapter),
    .shard_count = placement_shard_count(gateway),
    .code = E_NO_ENGINE,
  };
  int replicas = gateway_engines_count_replicas(gateway, service->name, job->model, job->adapter);
  choice.replica_utility = eviction_load_ms(gateway, service, job->model, job->adapter, false) *
                           choice.request_rate / (replicas + 1);
  *code = E_NO_ENGINE;
  gateway_engine *loading = job->extra_replica ? NULL : engine_loading_base(gateway, job);
  if (loading && !contains_name(refused_by, loading->engine_id.text))
    return loading;
  eviction_replica_counts_begin(gateway, service->name);
  for (int pass = 0; pass < 2 && !choice.best; pass++) {
    choice.strict = pass == 0;
    list_for_each (engine, &gateway->engines.list, gateway_engine, link)
      if (is_eligible(&choice, engine))
        update_best_engine(&choice, engine);
  }
  eviction_replica_counts_end(gateway);
  *code = choice.code;
  return choice.best;
}

static void placement_job_unref(gateway *gateway, placement_job *job) {
  if (--job->refs > 0)
    return;
  if (g_hash_table_lookup(gateway->placement.jobs, job->key) == job)
    g_hash_table_remove(gateway->placement.jobs, job->key);
  else
    placement_job_free(job);
}

/** State of the task that executes one placement. */
typedef struct placement_run {
  gateway *gateway;
  placement_job *job;
  GPtrArray *refused_by; /* names of engines, owned */
  enum error_code code;
  int64_t retry_after_ms;
  /** failed_passes: passes without an engine plus refusals; busy_engines: engines that could evict
   * only models with running requests. */
  int failed_passes, busy_engines;
} placement_run;

/** Whether a placement continues after a step. */
enum placement_step { PLACEMENT_CONTINUE, PLACEMENT_DONE };

static enum placement_step end_with(placement_run *run, enum error_code code) {
  run->code = code;
  return PLACEMENT_DONE;
}

/* the engine to request the load from: that of the last step while its lease holder is alive, else
 * a new choice */
static gateway_engine *current_engine(placement_run *run, const service *service,
                                      char address[48]) {
  gateway *gateway = run->gateway;
  placement_job *job = run->job;
  gateway_engine *engine =
      id_is_empty(job->engine) ? NULL : gateway_engine_find(gateway, job->engine.text);
  if (engine && !engine->gone && lease_holder_address(gateway, engine->engine_id, address))
    return engine;
  engine = choose_engine(gateway, job, service, run->refused_by, &run->code);
  return engine && lease_holder_address(gateway, engine->engine_id, address) ? engine : NULL;
}

/* no engine is eligible: clears the list of refusals, allows the eviction of models with running
 * requests, and retries */
static enum placement_step retry_without_engine(placement_run *run) {
  placement_job *job = run->job;
  world *world = run->gateway->router->node.world;
  log_debug(&run->gateway->router->node.log, "placement",
            "No engine for %s+%s: code %d, refused by %u engines.", job->model.text,
            job->adapter.text, run->code, run->refused_by->len);
  job->engine = id_none;
  int max_passes = run->code == E_NO_CAPACITY ? MAX_PASSES_NO_CAPACITY : MAX_PASSES_NO_ENGINE;
  if (job->extra_replica || ++run->failed_passes > max_passes) {
    run->retry_after_ms = job->extra_replica ? RETRY_NO_REPLICA_MS : RETRY_NO_ENGINE_MS;
    return PLACEMENT_DONE;
  }
  g_ptr_array_set_size(run->refused_by, 0);
  job->may_evict_busy = true;
  if (!world_sleep_with_jitter(world, time_from_ms(NO_ENGINE_SLEEP_MS)))
    return end_with(run, E_STOPPING);
  return PLACEMENT_CONTINUE;
}

static void assign_engine(placement_run *run, gateway_engine *engine, const service *service) {
  gateway *gateway = run->gateway;
  placement_job *job = run->job;
  if (id_equal(job->engine, engine->engine_id))
    return;
  job->engine = engine->engine_id;
  double begins_in_ms = PLACEMENT_OVERHEAD_MS + queued_ms_on_engine(gateway, job->engine, job);
  job->expected_at =
      gateway_deadline_in_ms(gateway, loaded_in_ms(engine, service, job, begins_in_ms));
}

/* The upper bound of the eviction cost when the load begins. It is at least the model's own
 * utility, so that a popular model may evict less popular ones even if the eviction cost has risen
 * meanwhile. */
static uint64_t max_eviction_cost(gateway *gateway, const placement_job *job,
                                  const service *service) {
  int shares =
      job->extra_replica
          ? gateway_engines_count_replicas(gateway, service->name, job->model, job->adapter) + 1
          : 1;
  double utility = eviction_load_ms(gateway, service, job->model, job->adapter, false) *
                   eviction_request_rate(gateway, job->model, job->adapter) / shares;
  return (uint64_t)MAX(MAX_COST_FACTOR * job->eviction_cost + MAX_COST_EXTRA, utility);
}

/* Requests the load from an engine's lease holder and waits up to PLACEMENT_WAIT_MS for it. Returns
 * the holder's error code, or that of the call; *started: the load has begun. */
static enum error_code call_lease_holder(placement_run *run, gateway_engine *engine,
                                         const service *service, const char *address,
                                         bool *started) {
  gateway *gateway = run->gateway;
  const placement_job *job = run->job;
  id engine_id = engine->engine_id, service_id = job->service, model = job->model,
     adapter = job->adapter;
  Wire__PlacedLoadRequest request = WIRE__PLACED_LOAD_REQUEST__INIT;
  request.engine = engine_id.text;
  request.service = service_id.text;
  request.model = model.text;
  request.adapter = adapter.text;
  request.priority = job->priority;
  request.wait_ms = PLACEMENT_WAIT_MS;
  request.extra_replica = job->extra_replica;
  request.evict_idle_only =
      !job->may_evict_busy && gateway_feature_enabled(gateway, FEATURE_IDLE_FIRST);
  request.max_eviction_cost = max_eviction_cost(gateway, job, service);
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_PLACED_LOAD_REQUEST, &request),
                 *response;
  error err = { 0 };
  enum error_code code = peer_rpc_call(&gateway->router->node, address, &message,
                                       time_from_ms(PLACEMENT_CALL_TIMEOUT_MS), &response, &err);
  *started = false;
  if (code)
    return code;
  code = E_WIRE_MESSAGE;
  if (response->body_case == WIRE__ENVELOPE__BODY_PLACED_LOAD_RESPONSE) {
    code = (enum error_code)response->placed_load_response->error_code;
    run->retry_after_ms = (int64_t)response->placed_load_response->retry_after_ms;
    *started = response->placed_load_response->started;
  }
  peer_rpc_message_free(response);
  return code;
}

/* The model is loaded. If this gateway doesn't see any replica yet (the holder may have found one
 * on another engine), it waits for the broadcast first. */
static enum placement_step handle_loaded(placement_run *run, id engine_id) {
  gateway *gateway = run->gateway;
  const placement_job *job = run->job;
  if (gateway_engine_find(gateway, engine_id.text) && !job->extra_replica &&
      !gateway_engines_count_replicas(gateway, job->service, job->model, job->adapter) &&
      !world_sleep(gateway->router->node.world, time_from_ms(BROADCAST_MS)))
    return end_with(run, E_STOPPING);
  return end_with(run, OK);
}

/* The load is running or queued on the engine. If it is queued, the engine is chosen anew, since
 * another one may be faster by now; the job left behind expires when it is no longer requested. */
static enum placement_step handle_in_progress(placement_run *run, bool started) {
  placement_job *job = run->job;
  job->expected_at = gateway_deadline_in_ms(run->gateway, (double)run->retry_after_ms);
  job->started = started;
  if (!started)
    job->engine = id_none;
  return PLACEMENT_CONTINUE;
}

static enum placement_step handle_rate_limited(placement_run *run) {
  run->job->expected_at =
      gateway_deadline_in_ms(run->gateway, (double)run->retry_after_ms + RATE_LIMITED_EXTRA_MS);
  int64_t sleep_ms =
      CLAMP(run->retry_after_ms, RATE_LIMITED_SLEEP_MIN_MS, RATE_LIMITED_SLEEP_MAX_MS);
  return world_sleep(run->gateway->router->node.world, time_from_ms(sleep_ms)) ? PLACEMENT_CONTINUE
                                                                               : PLACEMENT_DONE;
}

/* the engine can't load the model now: the next step chooses another one */
static enum placement_step handle_refused(placement_run *run, id engine_id, enum error_code code) {
  gateway *gateway = run->gateway;
  placement_job *job = run->job;
  g_ptr_array_add(run->refused_by, g_strdup(engine_id.text));
  if (code == E_NO_CAPACITY && !job->extra_replica && !job->may_evict_busy) {
    job->may_evict_busy = ++run->busy_engines >= MAX_BUSY_ENGINES;
    if (job->may_evict_busy)
      g_ptr_array_set_size(run->refused_by, 0);
    return PLACEMENT_CONTINUE;
  }
  gateway_engine *engine = gateway_engine_find(gateway, engine_id.text);
  if (code == E_NO_ENGINE && engine)
    engine->unreachable_until = gateway_deadline_in_ms(gateway, UNREACHABLE_MS);
  if (code == E_UNKNOWN_MODEL || ++run->failed_passes > MAX_REFUSALS)
    return PLACEMENT_DONE;
  int64_t sleep_ms = code == E_NO_RESPONSE ? NO_RESPONSE_SLEEP_MS : REFUSED_SLEEP_MS;
  return world_sleep_with_jitter(gateway->router->node.world, time_from_ms(sleep_ms))
             ? PLACEMENT_CONTINUE
             : PLACEMENT_DONE;
}

/* chooses an engine if none is chosen, and calls its lease holder once */
static enum placement_step placement_step(placement_run *run) {
  gateway *gateway = run->gateway;
  placement_job *job = run->job;
  const service *service = gateway_service_of(gateway, job->service);
  if (!service || !service_find_model(service, job->model.text)) {
    run->retry_after_ms = RETRY_UNKNOWN_MODEL_MS;
    return end_with(run, E_UNKNOWN_MODEL);
  }
  if (!job->extra_replica &&
      gateway_engines_count_replicas(gateway, service->name, job->model, job->adapter))
    return end_with(run, OK);
  char address[48];
  gateway_engine *engine = current_engine(run, service, address);
  if (!engine)
    return retry_without_engine(run);
  assign_engine(run, engine, service);
  id engine_id = engine->engine_id;
  bool started;
  enum error_code code = call_lease_holder(run, engine, service, address, &started);
  if (code == E_STOPPING)
    return end_with(run, code);
  if (code == OK)
    return handle_loaded(run, engine_id);
  log_debug(&gateway->router->node.log, "placement",
            "%s+%s on engine %s: code %d, started %d, retry after %" PRId64
            " ms, eviction cost %.0f.",
            job->model.text, job->adapter.text, engine_id.text, code, started, run->retry_after_ms,
            job->eviction_cost);
  if (code == E_IN_PROGRESS)
    return handle_in_progress(run, started);
  run->code = code;
  job->engine = id_none;
  return code == E_LOAD_RATE_LIMITED ? handle_rate_limited(run)
                                     : handle_refused(run, engine_id, code);
}

/* the task of a placement: runs until the model is loaded, the placement fails, or no request has
 * asked for it within LOAD_REQUEST_TTL_MS */
static void placement_job_run(void *context) {
  placement_run run = *(placement_run *)context;
  gateway *gateway = run.gateway;
  placement_job *job = run.job;
  g_free(context);
  run.refused_by = g_ptr_array_new_with_free_func(g_free);
  run.code = E_NO_ENGINE;
  run.retry_after_ms = RETRY_DEFAULT_MS;
  enum placement_step step = PLACEMENT_CONTINUE;
  while (step == PLACEMENT_CONTINUE &&
         !time_reached(gateway_now(gateway),
                       time_add(job->last_asked_at, time_from_ms(LOAD_REQUEST_TTL_MS))))
    step = placement_step(&run);
  job->done = true;
  job->code = run.code;
  job->retry_after_ms = run.retry_after_ms;
  condition_broadcast(&job->changed);
  g_ptr_array_free(run.refused_by, TRUE);
  placement_job_unref(gateway, job);
}

static placement_job *placement_job_start(gateway *gateway, const char *key, id service, id model,
                                          id adapter, unsigned priority, bool extra_replica) {
  GHashTable *jobs = gateway->placement.jobs;
  placement_job *job = g_new0(placement_job, 1);
  job->key = g_strdup(key);
  job->service = service;
  job->model = model;
  job->adapter = adapter;
  job->priority = priority;
  job->extra_replica = extra_replica;
  job->last_asked_at = gateway_now(gateway);
  condition_init(&job->changed);
  job->refs = 1;
  /* a finished job that waiting calls still reference leaves the table and is freed with its last
   * reference */
  if (g_hash_table_lookup(jobs, key))
    g_hash_table_steal(jobs, key);
  g_hash_table_insert(jobs, job->key, job);
  placement_run *run = g_new0(placement_run, 1);
  run->gateway = gateway;
  run->job = job;
  task_start(&gateway->router->node.world->tasks, "placement", placement_job_run, run);
  return job;
}

/* Starts extra replicas in parallel: when the demand for a model rises suddenly, loading one
 * replica after another would take too long. */
static void add_replicas(gateway *gateway, const placement_job *job) {
  int missing = placement_missing_replicas(gateway, job->service, job->model, job->adapter) - 1 -
                replicas_in_progress(gateway, job, NULL);
  for (int number = 2; number <= MAX_REPLICAS_AT_ONCE && missing > 0; number++) {
    char *key = g_strdup_printf("%s#%d", job->key, number);
    placement_job *other = g_hash_table_lookup(gateway->placement.jobs, key);
    if (other && !other->done) {
      other->last_asked_at = gateway_now(gateway);
    } else {
      other = placement_job_start(gateway, key, job->service, job->model, job->adapter,
                                  job->priority, true);
      other->parallel_replica = true;
      missing--;
    }
    g_free(key);
  }
}

/* the placement job of a request; started if there is none */
static placement_job *job_of_request(gateway *gateway, const Wire__PlacementRequest *request) {
  id service = id_of_text(request->service), model = id_of_text(request->model),
     adapter = id_of_text(request->adapter);
  char *key = load_request_key(service, model, adapter);
  placement_job *job = g_hash_table_lookup(gateway->placement.jobs, key);
  if (!job || job->done)
    job = placement_job_start(gateway, key, service, model, adapter, request->priority,
                              request->extra_replica);
  g_free(key);
  if (request->extra_replica && gateway->router_count > SMALL_FLEET_MAX_NODES)
    add_replicas(gateway, job);
  job->last_asked_at = gateway_now(gateway);
  job->priority = MIN(job->priority, request->priority);
  return job;
}

static void fill_response(gateway *gateway, const placement_job *job, reply *reply) {
  Wire__PlacementResponse *response = reply_new_body(reply, WIRE__ENVELOPE__BODY_PLACEMENT_RESPONSE,
                                                     &wire__placement_response__descriptor);
  response->loaded = job->done && !job->code;
  response->error_code = (uint32_t)(job->done ? job->code : E_IN_PROGRESS);
  response->retry_after_ms =
      (uint64_t)(job->done ? job->retry_after_ms : gateway_ms_until(gateway, job->expected_at));
  response->engine = reply_alloc(reply, sizeof job->engine.text);
  memcpy(response->engine, job->engine.text, sizeof job->engine.text);
}

enum error_code placement_on_load_request(void *context, Wire__Envelope *in, reply *reply,
                                          error *err) {
  gateway *gateway = context;
  const Wire__PlacementRequest *request = in->placement_request;
  if (!id_is_valid(string_view_of(request->model)) ||
      (request->adapter[0] && !id_is_valid(string_view_of(request->adapter))) ||
      !id_is_valid(string_view_of(request->service)))
    return error_set(err, E_WIRE_MESSAGE, "no such name");
  placement_job *job = job_of_request(gateway, request);
  job->refs++;
  time_us until = gateway_deadline_in_ms(gateway, (double)MIN(request->wait_ms, PLACEMENT_WAIT_MS));
  while (!job->done)
    if (condition_wait(&gateway->router->node.world->tasks, &job->changed, until) != WAKE_SIGNALLED)
      break;
  fill_response(gateway, job, reply);
  placement_job_unref(gateway, job);
  return OK;
}
