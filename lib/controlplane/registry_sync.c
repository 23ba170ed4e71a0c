/** Synchronizes the engine registries of the controllers; see registry_sync.h. */
#include "registry_sync.h"

enum {
  /** How long changes are collected before polls are woken, in ms, so that engines that start
   * together cause one response instead of many. */
  POLL_WAKEUP_DELAY_MS = 20,
  /** How often engines are checked for silence, in ms; far below ENGINE_REGISTRY_SILENT_MS. */
  SWEEP_INTERVAL_MS = 250,
  /** Interval between batches of heartbeats to other controllers, in ms. It grows with the number
   * of other live controllers beyond four, since each controller sends to all others. The maximum
   * still allows three batches within ENGINE_REGISTRY_SILENT_MS. */
  BATCH_INTERVAL_MS = 700,
  BATCH_INTERVAL_MAX_MS = 2500,
  BATCH_INTERVAL_CONTROLLERS = 4,
  /** Delay after which a draining engine is announced to routers once more, in ms, since the first
   * messages may be lost although the engine's request was acknowledged. */
  REPEAT_DELAY_MS = 300,
  /** Shortest time between fetches because of unknown checksums, in ms. */
  FETCH_INTERVAL_MS = 500,
  /** Longest wait for another controller's registry, in ms. */
  FETCH_TIMEOUT_MS = 600,
  /** How often a starting controller tries to fetch a registry, in ms. */
  INITIAL_FETCH_INTERVAL_MS = 250,
  /** A controller that was declared gone less than this long ago, in ms, may be alive behind a
   * network partition and receive heartbeats that do not arrive here. */
  PARTITION_MAX_MS = 60000,
  /** A starting controller that can't fetch a registry and receives no heartbeats waits this many
   * times ENGINE_REGISTRY_SILENT_MS before it considers its own registry complete. */
  NO_HEARTBEATS_FACTOR = 3
};

/* Task: wakes config polls after changes of the registry, a batch of changes at a time. */
static void wake_polls_run(void *ctx) {
  registry_sync *sync = ctx;
  world *world = sync->node->world;
  for (;;) {
    if (sync->announced_seq == sync->registry.seq &&
        condition_wait(&world->tasks, &sync->registry_changed, time_never()) == WAKE_STOPPED)
      return;
    if (!world_sleep(world, time_from_ms(POLL_WAKEUP_DELAY_MS)))
      return;
    if (sync->announced_seq == sync->registry.seq)
      continue;
    sync->announced_seq = sync->registry.seq;
    condition_broadcast(sync->polls_wakeup);
  }
}

/* Sends the state of engines to all peers of a role that are not gone. */
static void broadcast_engines(registry_sync *sync, enum role role, Wire__EngineState **engines,
                              size_t count) {
  Wire__EngineUpdate update = WIRE__ENGINE_UPDATE__INIT;
  update.engines = engines;
  update.n_engines = count;
  Wire__Envelope envelope = wire_envelope(WIRE__ENVELOPE__BODY_ENGINE_UPDATE, &update);
  list_for_each (peer, &sync->node->peers, peer_node, link)
    if (peer->role == role && !peer->gone)
      peer_rpc_send(sync->node, peer->address, &envelope);
}

static void broadcast_engine(registry_sync *sync, enum role role, const registered_engine *engine) {
  Wire__EngineState message, *engines = &message;
  engine_registry_pack_engine(engine, world_now(sync->node->world), &message);
  broadcast_engines(sync, role, &engines, 1);
}

/** The argument of repeat_announcement_run, which frees it. */
typedef struct announcement {
  registry_sync *sync;
  id engine;
} announcement;

/* Task: announces a draining engine to routers once more. */
static void repeat_announcement_run(void *ctx) {
  announcement *announcement = ctx;
  registry_sync *sync = announcement->sync;
  if (world_sleep(sync->node->world, time_from_ms(REPEAT_DELAY_MS))) {
    const registered_engine *engine =
        engine_registry_find(&sync->registry, announcement->engine.text);
    if (engine)
      broadcast_engine(sync, ROLE_ROUTER, engine);
  }
  g_free(announcement);
}

void registry_sync_announce(registry_sync *sync, const char *engine_id,
                            enum registry_update update) {
  if (update != REGISTRY_CHANGED && update != REGISTRY_DRAINING)
    return;
  const registered_engine *engine = engine_registry_find(&sync->registry, engine_id);
  if (!engine)
    return;
  broadcast_engine(sync, ROLE_CONTROLLER, engine);
  if (update == REGISTRY_DRAINING) {
    broadcast_engine(sync, ROLE_ROUTER, engine);
    announcement *repeated = g_new(announcement, 1);
    *repeated = (announcement){ sync, id_of_text(engine_id) };
    task_start(&sync->node->world->tasks, "repeat engine", repeat_announcement_run, repeated);
  }
  condition_broadcast(&sync->registry_changed);
}

/* Merges an update from another controller. Returns true when it shows changes that it does not
 * contain, so that they must be fetched. */
static bool merge_update(registry_sync *sync, const Wire__EngineUpdate *update) {
  time_us now = world_now(sync->node->world);
  uint64_t seq_before = sync->registry.seq;
  bool needs_fetch = false;
  for (size_t i = 0; i < update->n_engines; i++) {
    const Wire__EngineState *engine = update->engines[i];
    if (id_is_valid(string_view_of(engine->id)))
      needs_fetch |= engine_registry_merge(&sync->registry, engine, now) == REGISTRY_NEEDS_FETCH;
  }
  if (sync->registry.seq != seq_before)
    condition_broadcast(&sync->registry_changed);
  return needs_fetch;
}

/* Fetches and merges the registry of another controller. Returns false when that fails. */
static bool fetch_registry(registry_sync *sync, const char *address) {
  Wire__EngineUpdate request = WIRE__ENGINE_UPDATE__INIT;
  request.want_response = true;
  Wire__Envelope envelope = wire_envelope(WIRE__ENVELOPE__BODY_ENGINE_UPDATE, &request);
  Wire__Envelope *response;
  error err = { 0 };
  if (peer_rpc_call(sync->node, address, &envelope, time_from_ms(FETCH_TIMEOUT_MS), &response,
                    &err))
    return false;
  bool is_update = response->body_case == WIRE__ENVELOPE__BODY_ENGINE_UPDATE;
  if (is_update)
    merge_update(sync, response->engine_update);
  peer_rpc_message_free(response);
  return is_update;
}

/** The argument of fetch_run, which frees it. */
typedef struct registry_fetch {
  registry_sync *sync;
  char address[48];
} registry_fetch;

/* Task: fetches a registry once. */
static void fetch_run(void *ctx) {
  registry_fetch *fetch = ctx;
  fetch_registry(fetch->sync, fetch->address);
  g_free(fetch);
}

/* Starts to fetch the registry at an address, unless a fetch began within FETCH_INTERVAL_MS. */
static void start_fetch(registry_sync *sync, const char *address) {
  time_us now = world_now(sync->node->world);
  if (!time_reached(now, time_add(sync->fetched_at, time_from_ms(FETCH_INTERVAL_MS))))
    return;
  sync->fetched_at = now;
  registry_fetch *fetch = g_new0(registry_fetch, 1);
  fetch->sync = sync;
  g_strlcpy(fetch->address, address, sizeof fetch->address);
  task_start(&sync->node->world->tasks, "fetch engines", fetch_run, fetch);
}

/* Responds with all engines that are known here. */
static void respond_with_registry(const registry_sync *sync, reply *reply) {
  Wire__EngineUpdate *response =
      reply_new_body(reply, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, &wire__engine_update__descriptor);
  guint count = g_hash_table_size(sync->registry.engines);
  Wire__EngineState *engines = reply_alloc(reply, sizeof *engines * (count + 1));
  response->engines = reply_alloc(reply, sizeof(void *) * (count + 1));
  time_us now = world_now(sync->node->world);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, sync->registry.engines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    Wire__EngineState *engine = &engines[response->n_engines];
    engine_registry_pack_engine(value, now, engine);
    response->engines[response->n_engines++] = engine;
  }
}

/* Handles EngineUpdate: another controller's update, or its request for all engines. */
static enum error_code handle_engine_update(void *ctx, Wire__Envelope *in, reply *reply,
                                            error *err) {
  registry_sync *sync = ctx;
  if (in->from->role != ROLE_CONTROLLER)
    return error_set(err, E_WIRE_MESSAGE, "only core machines tell of engines");
  if (!in->engine_update->want_response) {
    if (merge_update(sync, in->engine_update))
      start_fetch(sync, in->from->address);
    return OK;
  }
  if (!sync->registry.is_complete)
    return error_set(err, E_IN_PROGRESS, "this machine has not heard of all engines yet");
  respond_with_registry(sync, reply);
  return OK;
}

bool registry_sync_has_changes(const registry_sync *sync, const Wire__ConfigPollRequest *request) {
  if (request->registry_run != sync->registry.run)
    return sync->announced_seq > 0;
  return request->registry_sequence < sync->announced_seq;
}

void registry_sync_fill_response(const registry_sync *sync, const Wire__ConfigPollRequest *request,
                                 Wire__ConfigPollResponse *response, reply *reply) {
  const engine_registry *registry = &sync->registry;
  bool is_complete;
  GPtrArray *changed = engine_registry_changed_since(registry, request->registry_run,
                                                     request->registry_sequence, &is_complete);
  Wire__EngineState *engines = reply_alloc(reply, sizeof *engines * (changed->len + 1));
  response->engines = reply_alloc(reply, sizeof(void *) * (changed->len + 1));
  time_us now = world_now(sync->node->world);
  for (guint i = 0; i < changed->len; i++) {
    engine_registry_pack_engine(changed->pdata[i], now, &engines[i]);
    response->engines[i] = &engines[i];
  }
  response->n_engines = changed->len;
  response->registry_run = registry->run;
  response->registry_sequence = registry->seq;
  response->engines_complete = is_complete;
  g_ptr_array_free(changed, TRUE);
}

/* False while a controller that is gone may be alive behind a network partition. */
static bool reaches_all_controllers(const registry_sync *sync) {
  time_us from = time_sub(world_now(sync->node->world), time_from_ms(PARTITION_MAX_MS));
  list_for_each (peer, &sync->node->peers, peer_node, link)
    if (peer->role == ROLE_CONTROLLER && peer->gone && !peer->draining &&
        time_reached(peer->gone_at, from))
      return false;
  return true;
}

/* The time between two batches of heartbeats. */
static time_us batch_interval(const registry_sync *sync) {
  int controllers = 0;
  list_for_each (peer, &sync->node->peers, peer_node, link)
    controllers += peer->role == ROLE_CONTROLLER && !peer->gone;
  int interval_ms = BATCH_INTERVAL_MS * controllers / BATCH_INTERVAL_CONTROLLERS;
  return time_from_ms(CLAMP(interval_ms, BATCH_INTERVAL_MS, BATCH_INTERVAL_MAX_MS));
}

/* Sends count, age and checksum of the engines whose heartbeats came here since the last batch. */
static void broadcast_heartbeats(registry_sync *sync, time_us now) {
  guint size = g_hash_table_size(sync->registry.engines), count = 0;
  Wire__EngineState *messages = g_new(Wire__EngineState, size + 1);
  Wire__EngineState **engines = g_new(Wire__EngineState *, size + 1);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, sync->registry.engines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    registered_engine *engine = value;
    bool is_due = engine->unannounced && !engine->gone;
    engine->unannounced = false;
    if (!is_due)
      continue;
    engine_registry_pack_heartbeat(engine, now, &messages[count]);
    engines[count] = &messages[count];
    count++;
  }
  if (count)
    broadcast_engines(sync, ROLE_CONTROLLER, engines, count);
  g_free(messages);
  g_free(engines);
}

/* Task: checks engines for silence, and sends batches of heartbeats to the other controllers. */
static void sweep_run(void *ctx) {
  registry_sync *sync = ctx;
  world *world = sync->node->world;
  time_us batch_sent_at = world_now(world);
  while (world_sleep_with_jitter(world, time_from_ms(SWEEP_INTERVAL_MS))) {
    time_us now = world_now(world);
    if (engine_registry_sweep(&sync->registry, now, reaches_all_controllers(sync)))
      condition_broadcast(&sync->registry_changed);
    if (!time_reached(now, time_add(batch_sent_at, batch_interval(sync))))
      continue;
    batch_sent_at = now;
    broadcast_heartbeats(sync, now);
  }
}

/* True when a controller that started at `started_at` must by now have heard of all live engines,
 * so that its registry is complete without that of another controller. */
static bool all_engines_have_reported(const registry_sync *sync, time_us started_at) {
  const engine_registry *registry = &sync->registry;
  bool hears_engines = registry->newest_heartbeat_at.us > started_at.us;
  int64_t wait_ms =
      hears_engines ? registry->silent_ms : registry->silent_ms * NO_HEARTBEATS_FACTOR;
  return time_reached(world_now(sync->node->world), time_add(started_at, time_from_ms(wait_ms)));
}

/* Task: completes the registry of a starting controller, either with that of another one or by
 * waiting until all live engines have sent heartbeats. */
static void complete_registry_run(void *ctx) {
  registry_sync *sync = ctx;
  time_us started_at = world_now(sync->node->world);
  for (;;) {
    const peer_node *peer = peer_table_pick(sync->node, ROLE_CONTROLLER, NULL);
    /* copied, since the peer may be removed while the task waits for its response */
    char address[48] = "";
    if (peer)
      g_strlcpy(address, peer->address, sizeof address);
    if (all_engines_have_reported(sync, started_at))
      break;
    if (address[0] && fetch_registry(sync, address))
      break;
    if (!world_sleep_with_jitter(sync->node->world, time_from_ms(INITIAL_FETCH_INTERVAL_MS)))
      return;
  }
  engine_registry_set_complete(&sync->registry);
  condition_broadcast(&sync->registry_changed);
}

void registry_sync_init(registry_sync *sync, node *node, condition *polls_wakeup) {
  sync->node = node;
  sync->polls_wakeup = polls_wakeup;
  condition_init(&sync->registry_changed);
  /* the registry lives as long as its process, so both have the same run */
  engine_registry_init(&sync->registry, node->nonce, world_now(node->world));
  peer_rpc_register_handler(node, WIRE__ENVELOPE__BODY_ENGINE_UPDATE, handle_engine_update, sync);
}

void registry_sync_free(registry_sync *sync) {
  engine_registry_free(&sync->registry);
}

void registry_sync_start(registry_sync *sync) {
  scheduler *tasks = &sync->node->world->tasks;
  sync->is_started = true;
  task_start(tasks, "wake polls", wake_polls_run, sync);
  task_start(tasks, "sweep engines", sweep_run, sync);
  task_start(tasks, "complete registry", complete_registry_run, sync);
}
