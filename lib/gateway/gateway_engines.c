/** Registration of engines at a gateway; see gateway_engines.h. Three messages update it: a config
 * sync lists engines, a controller broadcasts an engine's state on its heartbeats, and the holder
 * of an engine's lease broadcasts its residents when orders take effect. */
#include "gateway_engines.h"
#include "gateway.h"
#include "traffic_reports.h"

enum {
  /* an engine with a more recent heartbeat is kept even if it is missing from a controller's list,
     since the list may be older */
  UNREGISTERED_GRACE_MS = 2500,
  /* the residents in a heartbeat are ignored unless it is newer than the engine's last report by
     more than this */
  HEARTBEAT_LAG_MS = 700,
  /* guard time of heartbeats: a heartbeat doesn't undo changes by orders that are newer than
     itself, or older by less than this */
  HEARTBEAT_GUARD_MS = 1500,
  /* longer than the delay of any message about a gone engine */
  ENGINE_TOMBSTONE_MS = 60000,
  /* upper bound of durations in messages (about a day), so that sums don't overflow */
  MAX_SPAN_MS = 100000000
};

static time_us after_bounded_ms(time_us at, uint64_t ms) {
  return time_add(at, time_from_ms((int64_t)MIN(ms, MAX_SPAN_MS)));
}

gateway_engine *gateway_engine_find(gateway *gateway, const char *engine_id) {
  return g_hash_table_lookup(gateway->engines.by_id, engine_id);
}

static gateway_engine *gateway_engine_new(gateway *gateway, id engine_id) {
  gateway_engine *engine = g_new0(gateway_engine, 1);
  engine->gateway = gateway;
  engine->engine_id = engine_id;
  engine_residents_init(&engine->residents);
  engine_load_init(&engine->load);
  engine_load_jobs_init(&engine->load_jobs);
  capacity_account_init(&engine->capacity);
  list_append(&gateway->engines.list, &engine->link);
  g_hash_table_insert(gateway->engines.by_id, engine->engine_id.text, engine);
  return engine;
}

static void gateway_engine_free(gateway_engine *engine) {
  g_hash_table_remove(engine->gateway->engines.by_id, engine->engine_id.text);
  list_remove(&engine->link);
  engine_residents_free(&engine->residents);
  engine_load_free(&engine->load);
  engine_load_jobs_free(&engine->load_jobs);
  capacity_account_free(&engine->capacity);
  prefix_cache_free(&engine->prefix_cache);
  g_free(engine);
}

void gateway_engine_ref(gateway_engine *engine) {
  engine->refs++;
}

void gateway_engine_unref(gateway_engine *engine) {
  engine->refs--;
}

void gateway_engine_remove(gateway_engine *engine, const char *why) {
  if (engine->gone)
    return;
  engine->gone = true;
  engine->gone_at = gateway_engine_now(engine);
  log_debug(&engine->gateway->router->node.log, "engine", "Engine %s at %s is gone: %s.",
            engine->engine_id.text, engine->address, why);
  engine_residents_clear(&engine->residents);
  prefix_cache_free(&engine->prefix_cache);
  g_array_set_size(engine->load.peer_loads, 0);
  condition_broadcast(&engine->load_jobs.changed);
  condition_broadcast(&engine->gateway->engines.changed);
}

/* restores an engine that was only silent; what was known about it is reset */
static void restore_silent_engine(gateway_engine *engine) {
  engine->gone = engine->returns_on_heartbeat = engine->residents.known = false;
  engine->state_received_at = engine->orders.reported_at = (time_us){ 0 };
  engine_health_reset(&engine->health);
  condition_broadcast(&engine->gateway->engines.changed);
}

/* initializes the speed of a new engine from another engine of its service */
static void copy_speed_of_service(gateway_engine *engine) {
  list_for_each (other, &engine->gateway->engines.list, gateway_engine, link)
    if (other != engine && !other->gone && id_equal(other->service, engine->service)) {
      engine_load_copy_speed(&engine->load, &other->load);
      return;
    }
}

/* an address belongs to one engine at a time: the one with the more recent heartbeat */
static void resolve_shared_address(gateway_engine *engine) {
  list_for_each (other, &engine->gateway->engines.list, gateway_engine, link) {
    if (other == engine || other->gone || strcmp(other->address, engine->address))
      continue;
    gateway_engine_remove(other->heartbeat_at.us <= engine->heartbeat_at.us ? other : engine,
                          "another engine has registered at its address");
  }
}

/* registers an engine; NULL when the state isn't a valid registration or the address belongs to
 * another engine */
static gateway_engine *register_engine(gateway *gateway, const Wire__EngineState *state) {
  if (state->gone || !address_is_valid(state->address) ||
      !id_is_valid(string_view_of(state->service)))
    return NULL;
  gateway_engine *engine = gateway_engine_new(gateway, id_of_text(state->id));
  g_strlcpy(engine->address, state->address, sizeof engine->address);
  engine->service = id_of_text(state->service);
  engine->zone = id_of_text(state->zone);
  copy_speed_of_service(engine);
  engine->heartbeat_at = time_sub(gateway_now(gateway), time_from_ms((int64_t)state->age_ms));
  resolve_shared_address(engine);
  if (engine->gone)
    return NULL;
  condition_broadcast(&gateway->engines.changed);
  return engine;
}

/* updates draining and the end time; draining is never undone, and the end time is never postponed
 */
static void update_draining(gateway_engine *engine, const Wire__EngineState *state,
                            time_us heartbeat_at) {
  if (state->draining && !engine->draining) {
    engine->draining = true;
    condition_broadcast(&engine->gateway->engines.changed);
  }
  if (!state->ends_in_ms)
    return;
  time_us ends_at = after_bounded_ms(heartbeat_at, state->ends_in_ms);
  if (!engine->ends_at.us || ends_at.us < engine->ends_at.us)
    engine->ends_at = ends_at;
}

/* applies a heartbeat unless a later one is known */
static void update_from_heartbeat(gateway_engine *engine, const Wire__EngineState *state,
                                  time_us heartbeat_at) {
  if (state->heartbeat_count < engine->heartbeat_count)
    return;
  if (state->heartbeat_count == engine->heartbeat_count && engine->state_received_at.us) {
    if (heartbeat_at.us > engine->heartbeat_at.us)
      engine->heartbeat_at = heartbeat_at;
    return;
  }
  engine->state_received_at = gateway_engine_now(engine);
  engine->heartbeat_count = state->heartbeat_count;
  engine->heartbeat_at = heartbeat_at;
  engine->version = id_of_text(state->version ? state->version : "");
  engine->slots = state->slots;
  time_us reported_at = engine->orders.reported_at;
  if (reported_at.us && heartbeat_at.us <= reported_at.us + HEARTBEAT_LAG_MS * 1000)
    return;
  gateway_engine_update_residents(engine, state->models, state->n_models, heartbeat_at,
                                  HEARTBEAT_GUARD_MS);
}

void gateway_engine_update(gateway *gateway, const Wire__EngineState *state) {
  if (!id_is_valid(string_view_of(state->id)))
    return;
  gateway_engine *engine = gateway_engine_find(gateway, state->id);
  if (engine && engine->gone) {
    if (!engine->returns_on_heartbeat || state->gone ||
        state->heartbeat_count <= engine->heartbeat_count) {
      if (state->gone && state->draining)
        engine->returns_on_heartbeat = false;
      return;
    }
    restore_silent_engine(engine);
  }
  if (!engine && !(engine = register_engine(gateway, state)))
    return;
  /* gone and draining: signed off, permanently; gone only: silent */
  if (state->gone) {
    engine->returns_on_heartbeat = !state->draining;
    gateway_engine_remove(engine, state->draining ? "it has signed off" : "it is silent");
    return;
  }
  time_us heartbeat_at =
      time_sub(gateway_now(gateway), time_from_ms((int64_t)MIN(state->age_ms, MAX_SPAN_MS)));
  update_draining(engine, state, heartbeat_at);
  update_from_heartbeat(engine, state, heartbeat_at);
}

int gateway_engines_count_replicas(gateway *gateway, id service, id model, id adapter) {
  int count = 0;
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    count += !engine->gone && !engine->draining && id_equal(engine->service, service) &&
             gateway_engine_has_model(engine, model, adapter) &&
             !gateway_engine_unresponsive(engine);
  return count;
}

/* removes the engines that are missing from a complete list */
static void remove_unregistered(gateway *gateway, const Wire__ConfigPollResponse *response) {
  time_us now = gateway_now(gateway);
  GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
  for (size_t i = 0; i < response->n_engines; i++)
    g_hash_table_add(listed, response->engines[i]->id);
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    if (!engine->gone && !g_hash_table_contains(listed, engine->engine_id.text) &&
        time_reached(now, time_add(engine->heartbeat_at, time_from_ms(UNREGISTERED_GRACE_MS)))) {
      engine->returns_on_heartbeat = true;
      gateway_engine_remove(engine, "it is no longer registered");
    }
  g_hash_table_destroy(listed);
}

void gateway_engines_config_sync(gateway *gateway, const Wire__ConfigPollResponse *response) {
  if (response->engines_complete)
    remove_unregistered(gateway, response);
  for (size_t i = 0; i < response->n_engines; i++)
    gateway_engine_update(gateway, response->engines[i]);
  if (!response->engines_complete && !response->n_engines)
    return;
  if (!gateway->engines.is_known)
    condition_broadcast(&gateway->engines.changed);
  gateway->engines.is_known = true;
}

static bool lists_resident(const Wire__EngineState *state, id model, id adapter) {
  for (size_t m = 0; m < state->n_models; m++) {
    const Wire__ResidentModel *listed = state->models[m];
    if (strcmp(listed->model, model.text))
      continue;
    if (id_is_empty(adapter))
      return true;
    for (size_t a = 0; a < listed->n_adapters; a++)
      if (!strcmp(listed->adapters[a], adapter.text))
        return true;
  }
  return false;
}

/* true when this gateway runs requests on an engine for a model or adapter that is missing from the
 * list of its residents */
static bool runs_unlisted(const gateway_engine *engine, const Wire__EngineState *state) {
  for (guint i = 0; i < engine->load.own_runs->len; i++) {
    const own_run *run = &g_array_index(engine->load.own_runs, own_run, i);
    if (!id_is_empty(run->model) && !lists_resident(state, run->model, run->adapter))
      return true;
  }
  return false;
}

/* applies an engine's residents as sent by its lease holder */
static void on_holder_update(gateway *gateway, const Wire__EngineState *state,
                             const char *holder_address) {
  gateway_engine *engine = gateway_engine_find(gateway, state->id);
  if (!engine || engine->gone)
    return;
  engine->orders.peer_ordered_at = gateway_now(gateway);
  engine_residents_apply_holder_update(engine, state);
  /* the holder unloads models that it considers idle; a traffic report tells it in time that this
   * gateway uses one of them */
  if (gateway_feature_enabled(gateway, FEATURE_UNLOAD_OBJECTIONS) && runs_unlisted(engine, state))
    traffic_reports_send(gateway, holder_address);
}

static enum error_code on_engine_update(void *context, Wire__Envelope *in, reply *reply,
                                        error *err) {
  gateway *gateway = context;
  (void)reply;
  (void)err;
  for (size_t i = 0; i < in->engine_update->n_engines; i++) {
    const Wire__EngineState *state = in->engine_update->engines[i];
    if (in->from->role == ROLE_ROUTER)
      on_holder_update(gateway, state, in->from->address);
    else
      gateway_engine_update(gateway, state);
  }
  return OK;
}

void gateway_engines_free_expired(gateway *gateway) {
  time_us now = gateway_now(gateway);
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    if (engine->gone && engine->refs <= 0 &&
        time_reached(now, time_add(engine->gone_at, time_from_ms(ENGINE_TOMBSTONE_MS))))
      gateway_engine_free(engine);
}

void gateway_engines_start(gateway *gateway) {
  peer_rpc_register_handler(&gateway->router->node, WIRE__ENVELOPE__BODY_ENGINE_UPDATE,
                            on_engine_update, gateway);
}

void gateway_engines_free(gateway *gateway) {
  list_for_each (engine, &gateway->engines.list, gateway_engine, link)
    gateway_engine_free(engine);
}
