/** Models and adapters in an engine's memory, as a list in the order of loading. */
#include "registering_engine_sim.h"

const engine_model_spec *engine_models_find_spec(const registering_engine_sim *engine, id name) {
  const registering_engine_plan *plan = engine->plan;
  for (size_t i = 0; i < plan->model_count; i++)
    if (id_equal(plan->models[i].name, name))
      return &plan->models[i];
  return NULL;
}

loaded_model *engine_models_find(registering_engine_sim *engine, id model) {
  list_for_each (loaded, &engine->loaded_models, loaded_model, link)
    if (id_equal(loaded->model, model))
      return loaded;
  return NULL;
}

loaded_model *engine_models_add(registering_engine_sim *engine, id model) {
  loaded_model *added = g_new0(loaded_model, 1);
  added->model = model;
  added->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  list_append(&engine->loaded_models, &added->link);
  return added;
}

void engine_models_remove(loaded_model *model) {
  list_remove(&model->link);
  g_hash_table_destroy(model->adapters);
  g_free(model);
}

void engine_models_remove_all(registering_engine_sim *engine) {
  list_for_each (loaded, &engine->loaded_models, loaded_model, link)
    engine_models_remove(loaded);
}

engine_memory_use engine_models_memory_use(registering_engine_sim *engine) {
  engine_memory_use use = { 0 };
  list_for_each (loaded, &engine->loaded_models, loaded_model, link) {
    const engine_model_spec *spec = engine_models_find_spec(engine, loaded->model);
    unsigned adapters = g_hash_table_size(loaded->adapters);
    use.weights_mb += spec->weights_mb + adapters * spec->adapter_mb;
    use.adapters += adapters;
  }
  return use;
}

static void append_adapters_json(const loaded_model *model, GString *to) {
  GList *names = g_list_sort(g_hash_table_get_keys(model->adapters), (GCompareFunc)strcmp);
  for (GList *name = names; name; name = name->next)
    json_appendf(to, "%s\"%s\"", name == names ? "" : ",", (char *)name->data);
  g_list_free(names);
}

void engine_models_append_json(registering_engine_sim *engine, GString *to) {
  bool first = true;
  g_string_append(to, "[");
  list_for_each (loaded, &engine->loaded_models, loaded_model, link) {
    if (!loaded->loaded)
      continue;
    json_appendf(to, "%s{\"name\":\"%s\",\"version\":1,\"adapters\":[", first ? "" : ",",
                 loaded->model.text);
    append_adapters_json(loaded, to);
    g_string_append(to, "]}");
    first = false;
  }
  g_string_append(to, "]");
}
