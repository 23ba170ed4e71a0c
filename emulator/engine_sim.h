#ifndef EMULATOR_ENGINE_SIM_H
#define EMULATOR_ENGINE_SIM_H
/**
 * A simulated engine that routers poll. For the checkers it records every order and stream,
 * independently of what it reports.
 */
#include "json.h"
#include "log.h"
#include "world.h"

/** Faults to simulate; the integers of the first line are decremented with each use. */
typedef struct engine_faults {
  int fail_loads, fail_unloads, unanswered_loads, unanswered_unloads, drop_orders, unanswered_runs;
  int64_t order_delay_ms, token_ms, break_after;
  double load_mb_per_s, slowdown;
  bool no_epochs, wrong_attempt_echo, stale_reports;
  int streams_max; /* 0: the default limit; below 0: refuses all runs */
} engine_faults;

/** What an order asks for. The values are the letters of record lines. */
enum engine_sim_order_kind { ENGINE_SIM_LOAD = 'l', ENGINE_SIM_UNLOAD = 'u' };

typedef struct engine_sim_order {
  time_us received_at;
  enum engine_sim_order_kind kind;
  id model, adapter, holder;
  uint64_t epoch;
  bool accepted, over_capacity;
  bool after_freeze; /* it may have arrived while the engine was frozen, at an unknown time */
} engine_sim_order;

/** How a stream ended. */
enum engine_sim_outcome {
  ENGINE_SIM_RUNNING = 'r',
  ENGINE_SIM_DONE = 'd',
  ENGINE_SIM_BROKEN = 'b', /* by a fault of the engine */
  ENGINE_SIM_CUT = 'c',    /* because the router closed the connection or the engine stopped */
};

typedef struct engine_sim_stream {
  char attempt[96], tag[96];
  id model, adapter;
  time_us started_at, ended_at;
  int tokens;
  enum engine_sim_outcome outcome;
} engine_sim_stream;

/** A run that the engine refused. */
typedef struct engine_sim_refusal {
  time_us refused_at;
  char tag[96];
} engine_sim_refusal;

/** State of a model or adapter in memory. */
enum engine_sim_item_state {
  ENGINE_SIM_UP = 'u',
  ENGINE_SIM_LOADING = 'l',
  ENGINE_SIM_UNLOADING = 'd',
};

/** A model (adapter empty) or adapter in memory. */
typedef struct engine_sim_item {
  list_node link;
  id model, adapter;
  uint64_t weights_mb;
  unsigned slots;
  enum engine_sim_item_state state;
  time_us ready_at, reported_at;
  int running;
  uint64_t served;
} engine_sim_item;

/** An engine; free it with engine_sim_free. */
typedef struct engine_sim {
  world *world;
  id self, type, area;
  uint64_t weights_mb, report_sequence;
  uint64_t epoch, number; /* of the newest accepted order */
  unsigned adapter_slots;
  char boot[24]; /* random, new with each start */
  engine_faults faults;
  list_node items; /* engine_sim_item */
  int running;
  condition report_changed;
  GArray *orders, *streams, *refusals; /* records: engine_sim_order, _stream, _refusal */
  time_us started_at;
  uint64_t stale_orders, over_capacity_orders, orphaned_adapters, prefix_hits, cut_streams;
  time_us unfrozen_at; /* 0: never frozen */
  GQueue prefixes;     /* char *, least recently used first */
  GString *old_report; /* for the fault stale_reports */
  /** Called with each record line when it is written, so that records outlive the process; or NULL.
   */
  void (*on_record)(void *context, const char *line);
  void *on_record_context;
} engine_sim;

/** Starts an engine that serves the HTTP requests of a world. */
engine_sim *engine_sim_new(world *world, id self, id type, id area, uint64_t weights_mb,
                           unsigned slots);
void engine_sim_free(engine_sim *engine);
/** Appends a summary of the engine's records as JSON. */
void engine_sim_append_summary(engine_sim *engine, GString *to);
#endif
