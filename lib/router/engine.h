#ifndef ROUTER_ENGINE_H
#define ROUTER_ENGINE_H
/**
 * An engine that the platform lists: what its last report says, what this router runs there, and
 * whether it may take more.
 *
 * Engines report their own state (engine_report.c), so several routers can send streams to one
 * engine without asking each other. Between two reports a router knows only its own streams; those
 * of the others are taken from the report.
 */
#include "task.h"

typedef struct router router;

enum resident_state { RESIDENT_UP, RESIDENT_LOADING, RESIDENT_UNLOADING };

/** A model or adapter on an engine, as the engine's last report says. Lives until a report no
 * longer shows it. */
typedef struct resident_model {
  list_node link;
  /** The adapter is blank for a model itself. */
  id model, adapter;
  enum resident_state state;
  uint64_t weights_mb;
  /** Adapter slots that it takes, and streams that run on it. */
  unsigned slots, running;
  /** When it was first seen up. */
  time_us loaded_at;
  bool served_requests;
  /** Used while a report is applied: the report shows it. */
  bool in_report;
  /** Loads of adapters on this model that were ordered and that no report has confirmed or denied
   * yet. Written by model_loading.c. */
  int unconfirmed_adapter_loads;
  /** The engine accepted an order to unload it; only a later report can show that it is still
   * there. Set by model_loading.c. */
  bool unload_accepted;
} resident_model;

/** An engine of the platform's list. Counted references: the task that fetches its reports, the
 * task that loads models on it, and every request that waits on it. */
typedef struct engine {
  list_node link;
  int refs;
  router *router;

  /* From the platform's list; written by engine_list.c. */
  id self, type, zone;
  char address[48];
  bool draining, listed;
  /** It left the list, or its address changed; its tasks end. */
  bool removed;
  /** Another engine was listed under its name, or its reports are malformed; logged once. */
  bool malformed;

  /* From its reports; written by engine_report.c. */
  /** Capacity in MB of weights, and slots for adapters; first as the list says. */
  uint64_t weights_mb;
  unsigned adapter_slots;
  /** Run of the engine's process, and number of its last report. */
  char boot_id[48];
  uint64_t report_seq;
  bool reported;
  /** 0: it could not be reached since. */
  time_us last_report_at;
  /** When this run, or its first report after a long gap, was seen: the slow start counts from
   * here. */
  time_us started_at;
  int running;
  /** Values of own_running when the last report was received. */
  int own_running_at_report;
  /** Of resident_model. */
  list_node residents;
  condition report_changed;

  /* Of the requests that this router sends there; written by generate_api.c. */
  int own_running, consecutive_failures;
  /** Passed over until then, after consecutive failures. */
  time_us excluded_until;

  /* Of model_loading.c. */
  /** Orders sent by this process. */
  uint64_t order_count;
  /** Capacity promised to loads that no report shows yet. */
  uint64_t reserved_mb;
  unsigned reserved_slots;
  /** Of queued_load_request. */
  list_node load_requests;
  condition work_changed;
} engine;

/** Makes an engine with one reference for each of its two tasks and adds it to the list. */
engine *engine_new(router *router, const char *self, const char *address);
/** Drops a reference; the last one frees the engine. */
void engine_unref(engine *engine);
/** Marks an engine as removed and wakes all who wait on it. */
void engine_remove(engine *engine);
/** NULL when the engine is not listed. */
engine *engine_find(router *router, id self);
/** NULL when the last report does not show it. */
resident_model *engine_find_resident(engine *engine, id model, id adapter);
/** True when an engine may get new work: listed, not draining, reporting, not excluded, and not in
 * an evacuated zone. */
bool engine_accepts_work(engine *engine);
/** Streams that an engine may run now; fewer during its slow start. */
int engine_max_streams(engine *engine);
/** True when this router may send one more stream now. */
bool engine_has_free_slot(engine *engine);
/** Streams that run on an engine, as well as this router can tell. */
int engine_running_streams(engine *engine);

/** True when the process stops or the engine is removed: nothing more is to be done there. */
bool engine_is_stopping(const engine *engine);
/** Waits for an engine's next report, for a moment at most. False when the process stops. */
bool engine_wait_next_report(engine *engine);
/** The same; E_STOPPING when the process stops or the engine is removed. */
enum error_code engine_await_report(engine *engine, error *err);
/** Task that fetches an engine's reports until it is removed; takes over one reference.
 * context is the engine. */
void engine_report_run(void *context);
#endif
