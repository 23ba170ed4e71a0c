#ifndef EMULATOR_REGISTERING_ENGINE_MODELS_H
#define EMULATOR_REGISTERING_ENGINE_MODELS_H
/** Models and adapters in the memory of a registering engine, and how much memory they use. */
#include "registering_engine_plan.h"

typedef struct registering_engine_sim registering_engine_sim;

/** A model that is loaded, loading or unloading. */
typedef struct loaded_model {
  list_node link;
  id model;
  GHashTable *adapters; /* set of names */
  bool loaded, unloading;
} loaded_model;

/** Memory used by models and adapters. */
typedef struct engine_memory_use {
  double weights_mb;
  unsigned adapters;
} engine_memory_use;

/** Returns the plan's entry for a model, or NULL. */
const engine_model_spec *engine_models_find_spec(const registering_engine_sim *engine, id name);
/** Returns the entry of a model that is loaded, loading or unloading, or NULL. */
loaded_model *engine_models_find(registering_engine_sim *engine, id model);
/** Adds a model in the state loading, without adapters. */
loaded_model *engine_models_add(registering_engine_sim *engine, id model);
/** Removes a model from its engine and frees it. */
void engine_models_remove(loaded_model *model);
void engine_models_remove_all(registering_engine_sim *engine);
/** Sums up the memory of all models and adapters, including models that are still loading. */
engine_memory_use engine_models_memory_use(registering_engine_sim *engine);
/** Appends the loaded models with their adapters as a JSON array. */
void engine_models_append_json(registering_engine_sim *engine, GString *to);
#endif
