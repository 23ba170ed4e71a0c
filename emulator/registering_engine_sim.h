#ifndef EMULATOR_INSTANCE_H
#define EMULATOR_INSTANCE_H
#include "dialect.h"
#include "world.h"

/* an engine that registers itself, and what it writes down */

/** One arrival of a request. how: r runs, d done, f failed by itself, c its caller left, b broken
 * off, t out of time; and for those that were not run: n turned away, x meant for another or not
 * held here, q gone from the queue. */
typedef struct engine_run_record {
  char request_id[64], from[48], run_id[80], target[96], policy[64], session[48];
  id engine, service, model, adapter;
  uint64_t request_checksum, resumed_after;
  time_us received_at, started_at, ended_at, last_event_at;
  unsigned events, last_event;
  double prefill_tokens, cached_tokens;
  char outcome;
} engine_run_record;
/** One order. op: l load, u unload; begun: it is not one again that was under way; past: it does
 * not fit, and the engine falls; store: the weights came from the store. */
typedef struct engine_order_record {
  time_us received_at;
  id engine, service, model, adapter, holder;
  int64_t fencing_token;
  char op;
  int status;
  bool over_capacity, from_store, after_freeze, started;
} engine_order_record;
/** The end of one life. Instants are 0 when they have not come. */
typedef struct engine_stop_record {
  id engine, service;
  time_us announced_at, acked_at, signed_off_at, ended_at;
  int64_t drain_notice_ms;
  bool crashed;
} engine_stop_record;
/** What all engines write down; each item stays where it is. */
typedef struct engine_record_log {
  GPtrArray *runs, *orders, *stops;
  uint64_t heartbeats, heartbeats_failed, reports, health_checks;
} engine_record_log;
engine_record_log *engine_record_log_new(void);
void engine_record_log_free(engine_record_log *log);

/** The store of weights that engines share: past some loads at once each takes longer. */
typedef struct weight_store_sim {
  int full_speed_loads, loading;
} weight_store_sim;
typedef struct engine_model_spec {
  id name;
  double weights_mb, load_ms, adapter_mb;
  unsigned adapters;
} engine_model_spec;
/** What may go wrong; numbers count down. */
typedef struct registering_engine_faults {
  int lose_responses, truncate_responses, extra_responses, stale_responses, garbage_responses,
      drop_orders;
  /** Orders that are taken without an answer, and orders that arrive only after so many ms. */
  int lose_order_responses, late_orders;
  int64_t late_order_ms;
  unsigned truncate_after_events;
  double intermittent_failures, slowdown;
  bool unresponsive, no_heartbeats, fenced, no_sign_off;
} registering_engine_faults;
/** What an engine is; it may outlive it. */
typedef struct registering_engine_plan {
  id service, area, version;
  char ip[48];
  int port;
  unsigned slots, queue;
  int connections_max;
  int64_t heartbeat_ms, drain_ms, work_ms, idle_timeout_ms;
  double step_ms, step_per_request_ms, prefill_tokens_per_ms;
  unsigned event_tokens;
  double kv_tokens, weights_mb;
  unsigned adapter_slots;
  int64_t adapter_ms; /* how long an adapter takes to load; 0: the usual time */
  const engine_model_spec *models;
  size_t model_count;
  GPtrArray *controllers;     /* char *: control listeners it may call */
  GPtrArray *initial_models;  /* char *: models held from the start */
  GHashTable *models_on_disk; /* names that its disk has held */
  const dialect *dialect;
  engine_record_log *log;
  weight_store_sim *store;
  registering_engine_faults faults;
} registering_engine_plan;

typedef struct registering_engine_sim registering_engine_sim;
struct registering_engine_sim {
  world *world;
  registering_engine_plan *plan;
  id self;
  char addr[64];
  http_listener listener;
  uint64_t heartbeat_sequence, orders_started, answers, runs_started;
  int64_t fencing_token;
  list_node loaded_models, queue, running;
  unsigned waiting, busy_slots;
  double kv_in_use_tokens, kv_cached_tokens;
  GQueue prefix_cache, snapshots;
  bool busy, draining, batch_task_running, stopped;
  const engine_order_record *current; /* the order under way while busy */
  int64_t drain_notice_ms;
  time_us drain_ends_at, unfrozen_at;
  engine_stop_record *stop_record;
  char heartbeat_address[64];
  condition state_changed;
  char last_request[64], last_stamp[80];
  size_t last_bytes;
  /** Ends the process, when a test's world can do that; fell tells whether by its own fault. */
  void (*stop)(void *context, bool fell);
  /** Puts bytes on the channel of a request that belong to no request; status 0: bytes that are no
   * answer. */
  void (*send_stray_response)(http_request *request, int status, const fields *fields,
                              string_view body);
  void *context;
};

/** Starts an engine in a world; NULL when its listener is taken. */
registering_engine_sim *registering_engine_sim_new(world *world, registering_engine_plan *plan,
                                                   error *err);
void registering_engine_sim_free(registering_engine_sim *engine);
/** Says that it leaves: with 0, drained and signed off; else it is gone after so many ms. */
void registering_engine_sim_drain(registering_engine_sim *engine, int64_t leaves_ms);
bool registering_engine_sim_has_loaded(registering_engine_sim *engine, id model, id adapter);
/** The bytes of a plain answer, and the sum that stands for a request's method, target and body. */
void engine_response_body(GString *to, const char *request, size_t n);
uint64_t engine_request_checksum(const char *verb, const char *target, string_view body);
/** Puts an id in the place of {} in a path. */
char *dialect_path_for_engine(const dialect *dialect, enum dialect_call c, const char *who);
#endif
