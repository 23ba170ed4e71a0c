/** Residents of engines, merged from three sources of different age; see engine_residents.h. */
#include "engine_residents.h"
#include "gateway.h"

enum {
  /* how much older a heartbeat or report may be than it says; most sources use the same guard time
   */
  CHANGE_SETTLE_MS = 1500,
  /* an unload takes longer than a load to show, since the engine may still be draining requests */
  UNLOADING_GUARD_MS = 3000
};

/** A change of the residents by an order. */
typedef struct resident_change {
  id model, adapter;
  bool loaded; /* else unloaded */
  time_us changed_at;
} resident_change;

static time_us after_ms(time_us at, int64_t ms) {
  return time_add(at, time_from_ms(ms));
}

void engine_residents_init(engine_residents *residents) {
  list_init(&residents->list);
  residents->models_on_disk = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  residents->changes = g_array_new(FALSE, TRUE, sizeof(resident_change));
}

static void resident_free(resident *resident) {
  list_remove(&resident->link);
  g_ptr_array_free(resident->adapters, TRUE);
  g_ptr_array_free(resident->unloading_adapters, TRUE);
  g_free(resident);
}

void engine_residents_clear(engine_residents *residents) {
  list_for_each (entry, &residents->list, resident, link)
    resident_free(entry);
}

void engine_residents_free(engine_residents *residents) {
  engine_residents_clear(residents);
  g_hash_table_destroy(residents->models_on_disk);
  g_array_free(residents->changes, TRUE);
}

resident *engine_residents_find(const gateway_engine *engine, id model) {
  list_for_each (entry, &engine->residents.list, resident, link)
    if (id_equal(entry->model, model))
      return entry;
  return NULL;
}

static resident *resident_new(gateway_engine *engine, id model) {
  resident *resident = g_new0(struct resident, 1);
  resident->model = model;
  resident->adapters = g_ptr_array_new_with_free_func(g_free);
  resident->unloading_adapters = g_ptr_array_new_with_free_func(g_free);
  resident->loaded_at = gateway_engine_now(engine);
  list_append(&engine->residents.list, &resident->link);
  if (!gateway_engine_has_on_disk(engine, model))
    g_hash_table_add(engine->residents.models_on_disk, g_strdup(model.text));
  return resident;
}

static int name_index(const GPtrArray *names, const char *name) {
  for (guint i = 0; i < names->len; i++)
    if (!strcmp(names->pdata[i], name))
      return (int)i;
  return -1;
}

static void name_remove(GPtrArray *names, const char *name) {
  int index = name_index(names, name);
  if (index >= 0)
    g_ptr_array_remove_index_fast(names, (guint)index);
}

static bool has_adapter(const resident *resident, const char *adapter) {
  return name_index(resident->adapters, adapter) >= 0;
}

static resident_change *change_at(const gateway_engine *engine, guint index) {
  return &g_array_index(engine->residents.changes, resident_change, index);
}

/* records a change by an order; drops expired changes and older ones of the same model and adapter
 */
static void record_change(gateway_engine *engine, id model, id adapter, bool loaded) {
  GArray *changes = engine->residents.changes;
  time_us now = gateway_engine_now(engine);
  for (guint i = changes->len; i-- > 0;) {
    const resident_change *change = change_at(engine, i);
    bool expired =
        time_reached(now, after_ms(change->changed_at, UNLOADING_GUARD_MS + CHANGE_SETTLE_MS));
    if (expired || (id_equal(change->model, model) && id_equal(change->adapter, adapter)))
      g_array_remove_index_fast(changes, i);
  }
  resident_change change = { model, adapter, loaded, now };
  g_array_append_val(changes, change);
}

/* true when a recent order contradicts the state that a source saw at seen_at */
static bool contradicts_recent_order(const gateway_engine *engine, id model, id adapter,
                                     bool loaded, time_us seen_at, int64_t guard_ms) {
  for (guint i = 0; i < engine->residents.changes->len; i++) {
    const resident_change *change = change_at(engine, i);
    if (!id_equal(change->model, model) || !id_equal(change->adapter, adapter) ||
        change->loaded == loaded)
      continue;
    int64_t change_guard_ms =
        change->loaded ? guard_ms : guard_ms + UNLOADING_GUARD_MS - CHANGE_SETTLE_MS;
    if (!time_reached(seen_at, after_ms(change->changed_at, change_guard_ms)))
      return true;
  }
  return false;
}

static Wire__ResidentModel *listed_model(Wire__ResidentModel **models, size_t count,
                                         const char *model) {
  Wire__ResidentModel *found = NULL;
  for (size_t i = 0; i < count; i++)
    if (!strcmp(models[i]->model, model))
      found = models[i];
  return found;
}

static bool lists_adapter(const Wire__ResidentModel *listed, const char *adapter) {
  for (size_t i = 0; i < listed->n_adapters; i++)
    if (!strcmp(listed->adapters[i], adapter))
      return true;
  return false;
}

/* removes the adapters that are missing from a list; true when there were any */
static bool remove_unlisted_adapters(gateway_engine *engine, resident *resident,
                                     const Wire__ResidentModel *listed, time_us at,
                                     int64_t guard_ms) {
  bool changed = false;
  GPtrArray *adapters = resident->adapters, *unloading = resident->unloading_adapters;
  for (guint i = adapters->len; i-- > 0;) {
    if (lists_adapter(listed, adapters->pdata[i]) ||
        contradicts_recent_order(engine, resident->model, id_of_text(adapters->pdata[i]), false, at,
                                 guard_ms))
      continue;
    g_ptr_array_remove_index_fast(adapters, i);
    changed = true;
  }
  for (guint i = unloading->len; i-- > 0;)
    if (!contradicts_recent_order(engine, resident->model, id_of_text(unloading->pdata[i]), true,
                                  at, guard_ms))
      g_ptr_array_remove_index_fast(unloading, i);
  return changed;
}

/* removes the models and adapters that are missing from a list; true when there were any */
static bool remove_unlisted(gateway_engine *engine, Wire__ResidentModel **models, size_t count,
                            time_us at, int64_t guard_ms) {
  bool changed = false;
  list_for_each (entry, &engine->residents.list, resident, link) {
    const Wire__ResidentModel *listed = listed_model(models, count, entry->model.text);
    if (listed) {
      changed |= remove_unlisted_adapters(engine, entry, listed, at, guard_ms);
      continue;
    }
    if (contradicts_recent_order(engine, entry->model, id_none, false, at, guard_ms) ||
        (entry->unloading &&
         contradicts_recent_order(engine, entry->model, id_none, true, at, guard_ms)))
      continue;
    resident_free(entry);
    changed = true;
  }
  return changed;
}

/* adds a listed model and its adapters; true when any of them is new */
static bool add_listed(gateway_engine *engine, const Wire__ResidentModel *listed, time_us at,
                       int64_t guard_ms) {
  if (!id_is_valid(string_view_of(listed->model)))
    return false;
  bool changed = false;
  id model = id_of_text(listed->model);
  resident *resident = engine_residents_find(engine, model);
  if (!resident) {
    if (contradicts_recent_order(engine, model, id_none, true, at, guard_ms))
      return false;
    resident = resident_new(engine, model);
    resident->loaded_at = (time_us){ 0 };
    changed = true;
  }
  resident->version = listed->weights_version;
  for (size_t i = 0; i < listed->n_adapters; i++) {
    const char *adapter = listed->adapters[i];
    if (has_adapter(resident, adapter) || !id_is_valid(string_view_of(adapter)) ||
        contradicts_recent_order(engine, model, id_of_text(adapter), true, at, guard_ms))
      continue;
    g_ptr_array_add(resident->adapters, g_strdup(adapter));
    changed = true;
  }
  return changed;
}

void gateway_engine_update_residents(gateway_engine *engine, Wire__ResidentModel **models,
                                     size_t count, time_us at, int64_t guard_ms) {
  bool changed = !engine->residents.known;
  engine->residents.known = true;
  changed |= remove_unlisted(engine, models, count, at, guard_ms);
  for (size_t i = 0; i < count; i++)
    changed |= add_listed(engine, models[i], at, guard_ms);
  if (changed)
    condition_broadcast(&engine->gateway->engines.changed);
}

/* records models and adapters that are missing from a lease holder's list as unloaded by an order
 */
static void record_holder_unloads(gateway_engine *engine, const Wire__EngineState *state) {
  list_for_each (entry, &engine->residents.list, resident, link) {
    const Wire__ResidentModel *listed =
        listed_model(state->models, state->n_models, entry->model.text);
    if (!listed) {
      record_change(engine, entry->model, id_none, false);
      continue;
    }
    for (guint i = 0; i < entry->adapters->len; i++)
      if (!lists_adapter(listed, entry->adapters->pdata[i]))
        record_change(engine, entry->model, id_of_text(entry->adapters->pdata[i]), false);
  }
}

/* records models and adapters that are new in a lease holder's list as loaded by an order */
static void record_holder_loads(gateway_engine *engine, const Wire__EngineState *state) {
  for (size_t i = 0; i < state->n_models; i++) {
    const Wire__ResidentModel *listed = state->models[i];
    id model = id_of_text(listed->model);
    const resident *resident = engine_residents_find(engine, model);
    if (!resident)
      record_change(engine, model, id_none, true);
    for (size_t a = 0; a < listed->n_adapters; a++)
      if (!resident || !has_adapter(resident, listed->adapters[a]))
        record_change(engine, model, id_of_text(listed->adapters[a]), true);
  }
}

void engine_residents_apply_holder_update(gateway_engine *engine, const Wire__EngineState *state) {
  record_holder_unloads(engine, state);
  record_holder_loads(engine, state);
  gateway_engine_update_residents(engine, state->models, state->n_models,
                                  gateway_engine_now(engine), 0);
}

resident *gateway_engine_resident(const gateway_engine *engine, id model) {
  resident *resident = engine_residents_find(engine, model);
  return resident && !resident->unloading ? resident : NULL;
}

bool gateway_engine_has_model(const gateway_engine *engine, id model, id adapter) {
  if (id_is_empty(model))
    return true;
  const resident *resident = gateway_engine_resident(engine, model);
  return resident && (id_is_empty(adapter) || has_adapter(resident, adapter.text));
}

bool gateway_engine_has_on_disk(const gateway_engine *engine, id model) {
  return g_hash_table_contains(engine->residents.models_on_disk, model.text);
}

void gateway_engine_mark_loaded(gateway_engine *engine, id model, id adapter) {
  if (engine->gone)
    return;
  resident *resident = engine_residents_find(engine, model);
  if (!resident)
    resident = resident_new(engine, model);
  resident->unloading = false;
  if (id_is_empty(adapter))
    resident->loaded_at = gateway_engine_now(engine);
  else if (!has_adapter(resident, adapter.text))
    g_ptr_array_add(resident->adapters, g_strdup(adapter.text));
  name_remove(resident->unloading_adapters, adapter.text);
  record_change(engine, model, adapter, true);
  condition_broadcast(&engine->gateway->engines.changed);
}

void gateway_engine_mark_unloaded(gateway_engine *engine, id model, id adapter) {
  resident *resident = engine_residents_find(engine, model);
  if (!resident)
    return;
  record_change(engine, model, adapter, false);
  if (id_is_empty(adapter))
    resident_free(resident);
  else {
    name_remove(resident->adapters, adapter.text);
    name_remove(resident->unloading_adapters, adapter.text);
  }
  condition_broadcast(&engine->gateway->engines.changed);
}

/* An adapter that is to be unloaded gets no new requests; a later report of the engine shows
 * whether it is still loaded. */
static void adapter_mark_unloading(resident *resident, id adapter) {
  if (!has_adapter(resident, adapter.text))
    return;
  name_remove(resident->adapters, adapter.text);
  g_ptr_array_add(resident->unloading_adapters, g_strdup(adapter.text));
}

void gateway_engine_mark_unloading(gateway_engine *engine, id model, id adapter) {
  resident *resident = engine_residents_find(engine, model);
  if (resident && id_is_empty(adapter))
    resident->unloading = true;
  else if (resident)
    adapter_mark_unloading(resident, adapter);
  record_change(engine, model, adapter, false);
}

time_us gateway_engine_loaded_at(const gateway_engine *engine, id model, id adapter) {
  for (guint i = 0; i < engine->residents.changes->len; i++) {
    const resident_change *change = change_at(engine, i);
    if (change->loaded && id_equal(change->model, model) && id_equal(change->adapter, adapter))
      return change->changed_at;
  }
  return (time_us){ 0 };
}

bool engine_residents_changed_within(const gateway_engine *engine, int64_t span_ms) {
  time_us now = gateway_engine_now(engine);
  for (guint i = 0; i < engine->residents.changes->len; i++)
    if (!time_reached(now, after_ms(change_at(engine, i)->changed_at, span_ms)))
      return true;
  return false;
}

void gateway_engine_broadcast(gateway_engine *engine) {
  guint max_models = 0, count = 0;
  list_for_each (entry, &engine->residents.list, resident, link)
    max_models++;
  Wire__ResidentModel *models = g_new(Wire__ResidentModel, max_models + 1),
                      **listed = g_new(Wire__ResidentModel *, max_models + 1);
  list_for_each (entry, &engine->residents.list, resident, link) {
    if (entry->unloading)
      continue;
    Wire__ResidentModel *model = listed[count] = &models[count];
    wire__resident_model__init(model);
    model->model = entry->model.text;
    model->weights_version = entry->version;
    model->n_adapters = entry->adapters->len;
    model->adapters = (char **)entry->adapters->pdata;
    count++;
  }
  Wire__EngineState state = WIRE__ENGINE_STATE__INIT, *states = &state;
  state.id = engine->engine_id.text;
  state.service = engine->service.text;
  state.address = engine->address;
  state.n_models = count;
  state.models = listed;
  Wire__EngineUpdate update = WIRE__ENGINE_UPDATE__INIT;
  update.n_engines = 1;
  update.engines = &states;
  Wire__Envelope message = wire_envelope(WIRE__ENVELOPE__BODY_ENGINE_UPDATE, &update);
  peer_rpc_send_to_role(&engine->gateway->router->node, ROLE_ROUTER, &message);
  g_free(models);
  g_free(listed);
}
