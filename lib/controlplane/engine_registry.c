/** The engines that have registered with the controllers; see engine_registry.h for the rules. */
#include "engine_registry.h"

enum {
  /** The times of an engine are recomputed from each update, and vary with the latency of messages.
   * Smaller differences than these, in ms, are not changes. */
  SLOW_START_TOLERANCE_MS = 1500,
  ENDS_AT_TOLERANCE_MS = 500,
  /** A process that has not swept for this long, in ms, was suspended itself, and can't tell which
   * engines are silent. */
  SWEEP_STALL_MS = 1500,
  /** While another controller is unreachable, an engine is silent only after this many times
   * silent_ms, since its heartbeats may arrive there. */
  UNREACHED_SILENCE_FACTOR = 3
};

/** Upper bound on durations in received updates, in ms: 12 days, and small enough to avoid overflow
 * in time arithmetic. */
static const uint64_t DURATION_MAX_MS = 1u << 30;

static void engine_free(void *p) {
  registered_engine *engine = p;
  if (engine->description)
    wire__engine_state__free_unpacked(engine->description, NULL);
  g_free(engine);
}

void engine_registry_init(engine_registry *registry, uint64_t run, time_us now) {
  memset(registry, 0, sizeof *registry);
  registry->run = run;
  registry->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_free);
  registry->silent_ms = ENGINE_REGISTRY_SILENT_MS;
  registry->tombstone_ms = ENGINE_REGISTRY_TOMBSTONE_MS;
  registry->listening_since = registry->swept_at = now;
}

void engine_registry_free(engine_registry *registry) {
  if (registry->engines)
    g_hash_table_destroy(registry->engines);
  registry->engines = NULL;
}

registered_engine *engine_registry_find(const engine_registry *registry, const char *id) {
  return g_hash_table_lookup(registry->engines, id);
}

static uint64_t hash_text(uint64_t hash, const char *text) {
  return hash_bytes(text, strlen(text), hash);
}

/* Returns a checksum of all that other nodes must know about an engine, without fields that change
 * merely with time. */
static uint64_t checksum_of(const Wire__EngineState *state, bool draining) {
  uint64_t hash = draining;
  hash = hash_text(hash, state->service);
  hash = hash_text(hash, state->address);
  hash = hash_text(hash, state->zone);
  hash = hash_text(hash, state->version);
  hash = hash_bytes(&state->slots, sizeof state->slots, hash);
  for (size_t i = 0; i < state->n_models; i++) {
    const Wire__ResidentModel *model = state->models[i];
    hash = hash_text(hash, model->model);
    hash = hash_bytes(&model->weights_version, sizeof model->weights_version, hash);
    for (size_t k = 0; k < model->n_adapters; k++)
      hash = hash_text(hash, model->adapters[k]);
  }
  return hash;
}

/* Returns a deep copy, to be freed with wire__engine_state__free_unpacked. */
static Wire__EngineState *state_duplicate(const Wire__EngineState *state) {
  size_t size = wire__engine_state__get_packed_size(state);
  uint8_t *packed = g_malloc(size + 1);
  wire__engine_state__pack(state, packed);
  Wire__EngineState *copy = wire__engine_state__unpack(NULL, size, packed);
  g_free(packed);
  return copy;
}

static void mark_changed(engine_registry *registry, registered_engine *engine) {
  engine->changed_seq = ++registry->seq;
}

static void mark_gone(engine_registry *registry, registered_engine *engine, time_us now) {
  engine->gone = true;
  engine->gone_at = now;
  mark_changed(registry, engine);
}

static bool have_same_address(const registered_engine *a, const registered_engine *b) {
  return a->description->address[0] && !strcmp(a->description->address, b->description->address);
}

/* Assigns the address of an engine to whichever engine that uses it was heard last, and marks the
 * others as gone. */
static void resolve_address(engine_registry *registry, registered_engine *engine, time_us now) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, registry->engines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    registered_engine *other = value;
    if (other == engine || other->gone || !have_same_address(other, engine))
      continue;
    if (other->last_heard_at.us > engine->last_heard_at.us) {
      mark_gone(registry, engine, now);
      return;
    }
    mark_gone(registry, other, now);
  }
}

static bool differ_by_more_than(time_us a, time_us b, int64_t tolerance_ms) {
  time_us tolerance = time_from_ms(tolerance_ms);
  return time_sub(a, b).us > tolerance.us || time_sub(b, a).us > tolerance.us;
}

static enum registry_update sign_off(engine_registry *registry, registered_engine *engine,
                                     time_us now) {
  engine->draining = engine->signed_off = true;
  engine->checksum = checksum_of(engine->description, true);
  mark_gone(registry, engine, now);
  return REGISTRY_DRAINING;
}

/* Adds an engine with a copy of a description; the caller sets the other fields. */
static registered_engine *insert_engine(engine_registry *registry,
                                        const Wire__EngineState *description) {
  registered_engine *engine = g_new0(registered_engine, 1);
  engine->description = state_duplicate(description);
  g_hash_table_insert(registry->engines, engine->description->id, engine);
  return engine;
}

/* Replaces the description of an engine, which also owns the key in the table. */
static void replace_description(engine_registry *registry, registered_engine *engine,
                                const Wire__EngineState *description) {
  Wire__EngineState *old = engine->description;
  g_hash_table_steal(registry->engines, old->id);
  engine->description = state_duplicate(description);
  g_hash_table_insert(registry->engines, engine->description->id, engine);
  wire__engine_state__free_unpacked(old, NULL);
}

/** The times in an update as points in time; the update gives them as durations before or after the
 * heartbeat. */
typedef struct update_times {
  time_us heartbeat_at, slow_start_until;
  /** 0: the engine has not announced when it ends. */
  time_us ends_at;
} update_times;

static time_us bounded_duration(uint64_t ms) {
  return time_from_ms((int64_t)MIN(ms, DURATION_MAX_MS));
}

static update_times times_of(const Wire__EngineState *update, time_us now) {
  update_times times = { .heartbeat_at = time_sub(now, bounded_duration(update->age_ms)) };
  times.slow_start_until = time_add(times.heartbeat_at, bounded_duration(update->slow_start_ms));
  if (update->ends_in_ms)
    times.ends_at = time_add(times.heartbeat_at, bounded_duration(update->ends_in_ms));
  return times;
}

static void note_heartbeat_time(engine_registry *registry, time_us at) {
  if (at.us > registry->newest_heartbeat_at.us)
    registry->newest_heartbeat_at = at;
}

static bool is_sign_off(const Wire__EngineState *update) {
  return update->gone && update->draining;
}

static enum registry_update add_engine(engine_registry *registry, const Wire__EngineState *update,
                                       const update_times *times, time_us now) {
  if (update->gone && !is_sign_off(update))
    return REGISTRY_STALE;
  registered_engine *engine = insert_engine(registry, update);
  engine->heartbeat_count = update->heartbeat_count;
  engine->last_heard_at = times->heartbeat_at;
  engine->slow_start_until = times->slow_start_until;
  engine->ends_at = times->ends_at;
  engine->draining = update->draining;
  engine->checksum = checksum_of(engine->description, engine->draining);
  if (is_sign_off(update))
    return sign_off(registry, engine, now);
  mark_changed(registry, engine);
  resolve_address(registry, engine, now);
  return engine->draining ? REGISTRY_DRAINING : REGISTRY_CHANGED;
}

/* Applies an update that is older than the known state: only the start of draining counts. */
static enum registry_update apply_stale_update(engine_registry *registry, registered_engine *engine,
                                               bool starts_draining) {
  if (!starts_draining)
    return REGISTRY_STALE;
  engine->checksum = checksum_of(engine->description, true);
  mark_changed(registry, engine);
  return REGISTRY_DRAINING;
}

/* True when the times in an update differ by more than message latency from the known ones. */
static bool changes_times(const registered_engine *engine, const Wire__EngineState *update,
                          const update_times *times) {
  bool changes_slow_start = update->heartbeat_count > engine->heartbeat_count &&
                            update->slow_start_ms &&
                            differ_by_more_than(times->slow_start_until, engine->slow_start_until,
                                                SLOW_START_TOLERANCE_MS);
  bool changes_end = times->ends_at.us &&
                     (!engine->ends_at.us ||
                      differ_by_more_than(times->ends_at, engine->ends_at, ENDS_AT_TOLERANCE_MS));
  return changes_slow_start || changes_end;
}

/* Applies an update that is not older than the known state. */
static enum registry_update apply_update(engine_registry *registry, registered_engine *engine,
                                         const Wire__EngineState *update, const update_times *times,
                                         bool starts_draining, time_us now) {
  bool is_later = times->heartbeat_at.us > engine->last_heard_at.us;
  bool is_recent =
      !time_reached(now, time_add(times->heartbeat_at, time_from_ms(registry->silent_ms)));
  bool is_back = engine->gone && is_later && is_recent;
  bool is_moved = strcmp(update->address, engine->description->address);
  uint64_t checksum = checksum_of(update, engine->draining);
  bool is_changed = checksum != engine->checksum || is_back || starts_draining ||
                    changes_times(engine, update, times);
  /* of two different descriptions with the same count, the one that arrived first is kept */
  if (checksum != engine->checksum && update->heartbeat_count == engine->heartbeat_count &&
      !starts_draining)
    is_changed = is_back;
  if (is_changed) {
    replace_description(registry, engine, update);
    engine->checksum = checksum;
    engine->slow_start_until = times->slow_start_until;
    if (times->ends_at.us)
      engine->ends_at = times->ends_at;
  }
  engine->heartbeat_count = update->heartbeat_count;
  if (is_later)
    engine->last_heard_at = times->heartbeat_at;
  if (is_back)
    engine->gone = false;
  if (!is_changed)
    return REGISTRY_ALIVE;
  mark_changed(registry, engine);
  if (is_moved || is_back)
    resolve_address(registry, engine, now);
  return starts_draining ? REGISTRY_DRAINING : REGISTRY_CHANGED;
}

/* Applies an update with a description. is_direct: the update came from the engine itself, which
 * increases the count with each heartbeat; updates from other controllers may repeat a count. */
static enum registry_update record_update(engine_registry *registry,
                                          const Wire__EngineState *update, bool is_direct,
                                          time_us now) {
  update_times times = times_of(update, now);
  registered_engine *engine = engine_registry_find(registry, update->id);
  note_heartbeat_time(registry, times.heartbeat_at);
  if (!engine)
    return add_engine(registry, update, &times, now);
  if (engine->signed_off)
    return REGISTRY_STALE;
  if (is_sign_off(update))
    return sign_off(registry, engine, now);
  if (update->gone)
    return REGISTRY_STALE;
  bool starts_draining = update->draining && !engine->draining;
  engine->draining |= update->draining;
  bool is_stale = is_direct ? update->heartbeat_count <= engine->heartbeat_count
                            : update->heartbeat_count < engine->heartbeat_count;
  if (is_stale)
    return apply_stale_update(registry, engine, starts_draining);
  return apply_update(registry, engine, update, &times, starts_draining, now);
}

enum registry_update engine_registry_heartbeat(engine_registry *registry,
                                               const Wire__EngineState *heartbeat, time_us now) {
  enum registry_update update = record_update(registry, heartbeat, true, now);
  registered_engine *engine = engine_registry_find(registry, heartbeat->id);
  if (engine && update != REGISTRY_STALE)
    engine->unannounced = update == REGISTRY_ALIVE;
  return update;
}

enum registry_update engine_registry_sign_off(engine_registry *registry, const char *id,
                                              time_us now) {
  registered_engine *engine = engine_registry_find(registry, id);
  registry->newest_heartbeat_at = now;
  if (engine && engine->signed_off)
    return REGISTRY_STALE;
  if (!engine) {
    Wire__EngineState description = WIRE__ENGINE_STATE__INIT;
    description.id = (char *)id;
    engine = insert_engine(registry, &description);
  }
  engine->last_heard_at = now;
  return sign_off(registry, engine, now);
}

enum registry_update engine_registry_merge(engine_registry *registry,
                                           const Wire__EngineState *update, time_us now) {
  bool has_description = update->service[0];
  if (has_description || update->gone)
    return record_update(registry, update, false, now);
  registered_engine *engine = engine_registry_find(registry, update->id);
  if (!engine)
    return REGISTRY_NEEDS_FETCH;
  if (engine->signed_off || update->heartbeat_count < engine->heartbeat_count)
    return REGISTRY_STALE;
  if (update->checksum != engine->checksum || engine->gone)
    return REGISTRY_NEEDS_FETCH;
  time_us heartbeat_at = time_sub(now, bounded_duration(update->age_ms));
  engine->heartbeat_count = update->heartbeat_count;
  if (heartbeat_at.us > engine->last_heard_at.us)
    engine->last_heard_at = heartbeat_at;
  note_heartbeat_time(registry, heartbeat_at);
  return REGISTRY_ALIVE;
}

/* Restarts the detection of silence after a pause in which this process could not receive
 * heartbeats: it was suspended, or no engine at all was heard. */
static void restart_after_pause(engine_registry *registry, time_us now) {
  time_us stalled_at = time_add(registry->swept_at, time_from_ms(SWEEP_STALL_MS));
  time_us unheard_at =
      time_add(registry->newest_heartbeat_at, time_from_ms(registry->silent_ms / 2));
  if (time_reached(now, stalled_at) || time_reached(now, unheard_at))
    registry->listening_since = now;
  registry->swept_at = now;
}

bool engine_registry_sweep(engine_registry *registry, time_us now, bool reaches_all) {
  uint64_t seq_before = registry->seq;
  restart_after_pause(registry, now);
  time_us silence =
      time_from_ms(registry->silent_ms * (reaches_all ? 1 : UNREACHED_SILENCE_FACTOR));
  bool can_detect_silence = time_reached(now, time_add(registry->listening_since, silence));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, registry->engines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    registered_engine *engine = value;
    bool is_silent = time_reached(now, time_add(engine->last_heard_at, silence));
    if (!engine->gone && can_detect_silence && is_silent)
      mark_gone(registry, engine, now);
    if (!engine->gone ||
        !time_reached(now, time_add(engine->gone_at, time_from_ms(registry->tombstone_ms))))
      continue;
    registry->full_list_before_seq = MAX(registry->full_list_before_seq, engine->changed_seq);
    g_hash_table_iter_remove(&it);
  }
  return registry->seq != seq_before;
}

void engine_registry_set_complete(engine_registry *registry) {
  if (registry->is_complete)
    return;
  registry->is_complete = true;
  registry->full_list_before_seq = ++registry->seq;
}

static uint64_t age_ms_of(const registered_engine *engine, time_us now) {
  return (uint64_t)MAX(0, time_sub(now, engine->last_heard_at).us / 1000);
}

void engine_registry_pack_engine(const registered_engine *engine, time_us now,
                                 Wire__EngineState *to) {
  *to = *engine->description;
  to->draining = engine->draining;
  to->gone = engine->gone;
  to->heartbeat_count = engine->heartbeat_count;
  to->checksum = engine->checksum;
  to->age_ms = age_ms_of(engine, now);
  /* the receiver counts both durations from the heartbeat */
  time_us slow_start = time_sub(engine->slow_start_until, engine->last_heard_at);
  to->slow_start_ms = (uint64_t)MAX(0, slow_start.us / 1000);
  to->ends_in_ms = 0;
  if (engine->ends_at.us)
    to->ends_in_ms = (uint64_t)MAX(1, time_sub(engine->ends_at, engine->last_heard_at).us / 1000);
}

void engine_registry_pack_heartbeat(const registered_engine *engine, time_us now,
                                    Wire__EngineState *to) {
  wire__engine_state__init(to);
  to->id = engine->description->id;
  to->heartbeat_count = engine->heartbeat_count;
  to->checksum = engine->checksum;
  to->age_ms = age_ms_of(engine, now);
}

GPtrArray *engine_registry_changed_since(const engine_registry *registry, uint64_t run,
                                         uint64_t seq, bool *is_full_list) {
  bool sends_all = run != registry->run || seq < registry->full_list_before_seq;
  *is_full_list = sends_all && registry->is_complete;
  GPtrArray *engines = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, registry->engines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const registered_engine *engine = value;
    if (sends_all ? !engine->gone : engine->changed_seq > seq)
      g_ptr_array_add(engines, value);
  }
  return engines;
}
