#ifndef EMULATOR_REGISTERING_ENGINE_PLAN_H
#define EMULATOR_REGISTERING_ENGINE_PLAN_H
/**
 * Describes a registering engine: capacity, speed, models, faults. A plan outlives the engine's
 * process: a later incarnation starts from the same plan.
 */
#include "dialect.h"
#include "registering_engine_records.h"

/** The store of weights that engines share. More than full_speed_loads loads at once slow each
 * other down. */
typedef struct weight_store_sim {
  int full_speed_loads, loading;
} weight_store_sim;

/** A model that an engine can load. */
typedef struct engine_model_spec {
  id name;
  double weights_mb, load_ms, adapter_mb;
  unsigned adapters;
} engine_model_spec;

/** Faults to simulate; the integers of the first two lines are decremented with each use. */
typedef struct registering_engine_faults {
  int lose_responses, truncate_responses, extra_responses, stale_responses, garbage_responses;
  int drop_orders, lose_order_responses, late_orders;
  int64_t late_order_ms; /* delay of an order that late_orders counts */
  unsigned truncate_after_events;
  double intermittent_failures; /* probability that a run fails */
  double slowdown;              /* factor of the duration of all runs; 0: none */
  bool unresponsive, no_heartbeats, rejects_stale_tokens, no_sign_off;
} registering_engine_faults;

/** An engine's plan. Pointers are owned by whoever sets the plan up. */
typedef struct registering_engine_plan {
  id service, area, version;
  char ip[48];
  int port;
  unsigned slots; /* requests that run at once */
  unsigned queue; /* requests that may wait */
  int connections_max;
  int64_t heartbeat_ms, drain_ms, work_ms, idle_timeout_ms;
  double step_ms, step_per_request_ms, prefill_tokens_per_ms;
  unsigned event_tokens; /* tokens per event of a stream */
  double kv_tokens, weights_mb;
  unsigned adapter_slots;
  int64_t adapter_ms; /* duration of the load of an adapter; 0: the default */
  const engine_model_spec *models;
  size_t model_count;         /* 0: the engine serves plain responses without models */
  GPtrArray *controllers;     /* char *: addresses of the control listeners */
  GPtrArray *initial_models;  /* char *: models loaded from the start; may be NULL */
  GHashTable *models_on_disk; /* names of the models on its disk */
  const dialect *dialect;
  engine_record_log *log;
  weight_store_sim *store;
  registering_engine_faults faults;
} registering_engine_plan;

/** Returns the factor by which the engine's runs take longer than planned. */
static inline double registering_engine_slowdown(const registering_engine_plan *plan) {
  return plan->faults.slowdown > 0 ? plan->faults.slowdown : 1;
}
/** Converts a computed duration to microseconds, rounded down. */
static inline time_us registering_engine_time(double ms) {
  return (time_us){ (int64_t)(ms * 1000) };
}
#endif
