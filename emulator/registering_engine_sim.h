#ifndef EMULATOR_REGISTERING_ENGINE_SIM_H
#define EMULATOR_REGISTERING_ENGINE_SIM_H
/**
 * A simulated engine that registers itself with the controllers by heartbeats, serves requests in a
 * batch, loads and unloads models on orders, and records its actions for the checkers.
 */
#include "registering_engine_batch.h"
#include "registering_engine_heartbeat.h"
#include "registering_engine_models.h"
#include "registering_engine_orders.h"
#include "registering_engine_plan.h"
#include "registering_engine_records.h"
#include "registering_engine_report.h"
#include "registering_engine_requests.h"
#include "registering_engine_responses.h"

/** One incarnation of an engine. Only the module that declares a state struct writes it. */
struct registering_engine_sim {
  world *world;                  /* the process's world; outlives the engine */
  registering_engine_plan *plan; /* owned by the creator; outlives the engine */
  id self;                       /* random, new with each incarnation */
  char address[64];              /* ip:port of the listener */
  http_listener listener;
  list_node loaded_models; /* loaded_model, see registering_engine_models.h */
  engine_batch batch;
  engine_order_progress orders;
  engine_heartbeat_state heartbeat;
  engine_report_state report;
  engine_last_response last_response;
  uint64_t runs_started;   /* counted by engine_requests_serve */
  condition state_changed; /* a run or an order has ended */
  /* graceful shutdown, written by registering_engine_sim_drain and its task */
  bool draining;
  int64_t drain_notice_ms; /* 0: the engine stops once drained and signed off */
  time_us drain_ends_at;
  engine_stop_record *stop_record; /* owned by the plan's log */
  /** Ends the process; crashed tells whether it crashed. NULL: the process keeps running. */
  void (*stop)(void *context, bool crashed);
  /** Writes a response that belongs to no request to the connection of a request; with status 0,
   * bytes that aren't an HTTP response. NULL: such faults aren't simulated. */
  void (*send_stray_response)(http_request *request, int status, const fields *fields,
                              string_view body);
  void *context; /* of stop */
};

/** Starts an engine in a world; free it with registering_engine_sim_free. Returns NULL and sets err
 * when its listener can't be opened. */
registering_engine_sim *registering_engine_sim_new(world *world, registering_engine_plan *plan,
                                                   error *err);
/** Records the end of this incarnation and frees it; its tasks must have ended. */
void registering_engine_sim_free(registering_engine_sim *engine);
/** Begins a graceful shutdown. With notice_ms 0 the engine stops once it is drained and signed off,
 * otherwise after this time. */
void registering_engine_sim_drain(registering_engine_sim *engine, int64_t notice_ms);
/** True when a model, and its adapter unless that is empty, can serve requests. */
bool registering_engine_sim_has_loaded(registering_engine_sim *engine, id model, id adapter);
/** True unless a request expects another engine than this at the address. */
bool registering_engine_is_addressed(const registering_engine_sim *engine, http_request *request);
#endif
