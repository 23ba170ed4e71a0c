/** Load of an engine: the requests that this gateway runs there, those that other gateways report,
 * and the engine's measured speed. */
#ifndef GATEWAY_ENGINE_LOAD_H
#define GATEWAY_ENGINE_LOAD_H
#include "routing.h"
#include "world.h"

typedef struct gateway_engine gateway_engine;

/** A request of this gateway that runs on an engine. */
typedef struct own_run {
  id model, adapter;
  time_us sent_at;
  /** The number of prompt tokens, and of those that the engine has to prefill (not in its prefix
   * cache). */
  double tokens, uncached_tokens;
  bool first_event_seen;
} own_run;

enum { PEER_LOAD_MAX_MODELS = 16 };
/** The load that another gateway reports for an engine. */
typedef struct peer_load {
  /** The nonce of the gateway's process run. */
  uint64_t nonce;
  time_us received_at;
  int running;
  double tokens;
  /** gateway_engine_model_key of the models and adapters in use; terminated by 0 if not full. */
  uint32_t model_keys[PEER_LOAD_MAX_MODELS];
} peer_load;

/** Written by engine_load.c; the sums over peer_loads by traffic_reports.c. */
typedef struct engine_load {
  /** Own requests that were sent and have not ended: their number, and an array of own_run. */
  int own_running;
  GArray *own_runs;
  /** Prompt tokens to prefill of own requests that have had no first event yet. */
  double own_waiting_tokens;
  /** When the oldest own request that still waits for its first event was sent; 0 when none waits.
   */
  time_us oldest_wait_at;
  /** Sums over peer_loads, an array of peer_load with at most one entry per gateway. */
  int peers_running;
  double peers_waiting_tokens;
  GArray *peer_loads;
  /** Estimated speed: the time to the first event is about base_ms plus ms_per_token for each token
   * that is waiting or has to be prefilled. */
  double ms_per_token, base_ms;
  /** Exponential moving averages: time to the first event, duration of a request, prompt length. */
  double mean_first_event_ms, mean_run_ms, mean_prompt_tokens;
  /** Total of prompt tokens that the engine has had to prefill for this gateway. */
  double prefilled_tokens;
} engine_load;

void engine_load_init(engine_load *load);
void engine_load_free(engine_load *load);
/** Initializes the speed of a new engine from another engine of its service. */
void engine_load_copy_speed(engine_load *load, const engine_load *from);
/** The factor by which the time to the first event grows with the number of running requests; slots
 * may be 0. */
double engine_load_batch_slowdown(int running, unsigned slots);
/** Records that a request was sent to this engine: the one for which engine_select last chose it.
 */
void gateway_engine_record_sent(gateway_engine *engine, double tokens);
/** Records the first event of a request. tokens: its prompt tokens; running_at_start: the number of
 * requests that ran on the engine when its slot was reserved. */
void gateway_engine_record_first_event(gateway_engine *engine, double tokens, double ms,
                                       int running_at_start);
/** Records the end of a request; ok is false when the engine failed. */
void gateway_engine_record_end(gateway_engine *engine, bool ok);
/** Prompt tokens of all gateways' requests that wait on the engine for their first event. */
double gateway_engine_waiting_tokens(const gateway_engine *engine);
/** The number of requests of all gateways that run on the engine. */
int gateway_engine_running_requests(const gateway_engine *engine);
/** A hash that identifies a model, or an adapter on its model, in traffic reports; never 0. */
uint32_t gateway_engine_model_key(id model, id adapter);
/** True when any gateway is known to run a request for a model (and adapter, if any) on the engine.
 */
bool gateway_engine_is_running(const gateway_engine *engine, id model, id adapter);
#endif
