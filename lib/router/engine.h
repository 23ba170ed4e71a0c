#ifndef ROUTER_ENGINE_H
#define ROUTER_ENGINE_H
/**
 * An engine that the platform lists: the state in its last report, the streams that this router
 * runs on it, and whether it may accept more.
 *
 * Engines report their own state (engine_report.c), so several routers can send streams to one
 * engine without coordination. Between two reports a router sees changes only of its own streams;
 * the streams of other routers are taken from the last report.
 */
#include "task.h"

typedef struct router router;

enum resident_state { RESIDENT_UP, RESIDENT_LOADING, RESIDENT_UNLOADING };

/** A model or adapter on an engine, according to the engine's last report. Exists until a report no
 * longer lists it. */
typedef struct resident_model {
  list_node link;
  /** The adapter is empty if this is a model. */
  id model, adapter;
  enum resident_state state;
  uint64_t weights_mb;
  /** Adapter slots that it takes, and streams running on it. */
  unsigned slots, running;
  /** When a report first showed it as up. */
  time_us loaded_at;
  bool served_requests;
  /** Used while a report is applied: the report lists it. */
  bool in_report;
  /** Number of ordered loads of adapters on this model whose outcome no report has shown yet.
   * Written by model_loading.c. */
  int unconfirmed_adapter_loads;
  /** The engine accepted an order to unload it, so only a later report can show that it is still
   * resident. Set by engine_capacity.c. */
  bool unload_accepted;
} resident_model;

/** An engine in the platform's list. Reference-counted: references are held by the task that
 * fetches its reports, the task that loads models on it, and each request that uses it. */
typedef struct engine {
  list_node link;
  int refs;
  router *router;

  /* From the platform's list; written by engine_list.c. */
  id self, type, zone;
  char address[48];
  bool draining, listed;
  /** It is no longer listed, or its address has changed; its tasks end. */
  bool removed;
  /** The list has a second engine of this name, or this engine does not return a valid report;
   * logged only once. */
  bool malformed;

  /* From its reports; written by engine_report.c. */
  /** Capacity in MB of weights, and adapter slots; until the first report the values from the list.
   */
  uint64_t weights_mb;
  unsigned adapter_slots;
  /** Identifier of the engine's process run, and number of its last report. */
  char boot_id[48];
  uint64_t report_seq;
  bool reported;
  /** When the last report was received; 0 if there was none or the engine has been unreachable or
   * its report malformed since. */
  time_us last_report_at;
  /** When the first report of this run, or the first report after a long gap, was received; the
   * slow start begins then. */
  time_us started_at;
  int running;
  /** Value of own_running when the last report was received. */
  int own_running_at_report;
  /** Elements of type resident_model. */
  list_node residents;
  condition report_changed;

  /* Requests that this router sends to the engine; written by request_attempt.c. */
  int own_running, consecutive_failures;
  /** The engine gets no work until this time, after consecutive failures. */
  time_us ejected_until;

  /* Written by the modules that load models. */
  /** Orders sent by this process. */
  uint64_t order_count;
  /** Capacity reserved for loads that no report shows yet. */
  uint64_t reserved_mb;
  unsigned reserved_slots;
  /** Elements of type queued_load_request. */
  list_node load_requests;
  condition work_changed;
} engine;

/** Creates an engine with one reference for each of its two tasks and adds it to the list. */
engine *engine_new(router *router, const char *self, const char *address);
/** Drops a reference and frees the engine with the last one. */
void engine_unref(engine *engine);
/** Marks an engine as removed and wakes all tasks that wait on it. */
void engine_remove(engine *engine);
/** Returns the engine of a name, or NULL when there is none. */
engine *engine_find(router *router, id self);
/** Returns a model or adapter on an engine, or NULL when the last report does not list it. */
resident_model *engine_find_resident(engine *engine, id model, id adapter);
/** Returns true when an engine may get new work: this router may admit work, and the engine is
 * listed, not draining, reporting, not ejected and not evacuated. */
bool engine_accepts_work(engine *engine);
/** Maximum number of streams that an engine may run now; lower during its slow start. */
int engine_max_streams(engine *engine);
/** Returns true when this router may send one more stream to an engine now. */
bool engine_has_free_slot(engine *engine);
/** Number of streams running on an engine, as far as this router knows. */
int engine_running_streams(engine *engine);

/** Returns true when the process is stopping or the engine has been removed. */
bool engine_is_stopping(const engine *engine);
/** Waits for an engine's next report, but no longer than REPORT_WAIT_MS. Returns false when the
 * process is stopping. */
bool engine_wait_next_report(engine *engine);
/** Like engine_wait_next_report, but returns E_STOPPING when the process is stopping or the engine
 * has been removed. */
enum error_code engine_await_report(engine *engine, error *err);
/** Task that fetches an engine's reports until it is removed. `context` is the engine; the task
 * owns one reference to it. */
void engine_report_run(void *context);
#endif
