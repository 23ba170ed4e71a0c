/** Load of an engine: the requests that this gateway runs there, what the other gateways report of
 * theirs, and the engine's speed as learnt from both. */
#ifndef GATEWAY_ENGINE_LOAD_H
#define GATEWAY_ENGINE_LOAD_H
#include "routing.h"
#include "world.h"

typedef struct gateway_engine gateway_engine;

/** A request of this gateway that runs on an engine. */
typedef struct own_run {
  id model, adapter;
  time_us sent_at;
  /** Prompt tokens, and those of them that the engine has to prefill. */
  double tokens, uncached_tokens;
  bool first_event_seen;
} own_run;

enum { PEER_LOAD_MAX_MODELS = 16 };
/** What another gateway reports of its requests on an engine. */
typedef struct peer_load {
  /** The gateway's run. */
  uint64_t nonce;
  time_us received_at;
  int running;
  double tokens;
  /** gateway_engine_model_key of what runs there; ends with a 0 when there are fewer. */
  uint32_t model_keys[PEER_LOAD_MAX_MODELS];
} peer_load;

/** Written by engine_load.c; the sums over peer_loads by traffic_reports.c. */
typedef struct engine_load {
  /** Own requests that were sent and have not ended; of own_run. */
  int own_running;
  GArray *own_runs;
  /** Prompt tokens of own requests whose first event has not come. */
  double own_waiting_tokens;
  /** Since when the oldest own request waits for its first event; 0 when none does. */
  time_us oldest_wait_at;
  /** Sums over the reports of the other gateways; of peer_load, at most one for each gateway. */
  int peers_running;
  double peers_waiting_tokens;
  GArray *peer_loads;
  /** Learnt speed: the time to a first event is about base_ms plus ms_per_token for each token that
   * is waiting or has to be prefilled. */
  double ms_per_token, base_ms;
  /** Exponential means: time to the first event, duration of a run, prompt length. */
  double mean_first_event_ms, mean_run_ms, mean_prompt_tokens;
  /** Prompt tokens that this gateway has had the engine prefill since it is known. */
  double prefilled_tokens;
} engine_load;

void engine_load_init(engine_load *load);
void engine_load_free(engine_load *load);
/** A new engine is expected to be as fast as one of its service. */
void engine_load_copy_speed(engine_load *load, const engine_load *from);
/** The factor by which a first event takes longer with so many requests running; slots may be 0. */
double engine_load_batch_slowdown(int running, unsigned slots);
/** Records that the request for which engine_select chose this engine last was sent to it. */
void gateway_engine_record_sent(gateway_engine *engine, double tokens);
/** Records the first event of a request with so many prompt tokens; running_then is the number of
 * requests that ran there when its slot was reserved. */
void gateway_engine_record_first_event(gateway_engine *engine, double tokens, double ms,
                                       int running_then);
/** Records the end of a request; ok is false when the engine failed. */
void gateway_engine_record_end(gateway_engine *engine, bool ok);
/** Prompt tokens of all gateways' requests that wait there for their first event. */
double gateway_engine_waiting_tokens(const gateway_engine *engine);
/** Requests of all gateways that run there. */
int gateway_engine_running_requests(const gateway_engine *engine);
/** A short name of a model, or of an adapter on its model, in reports of load; never 0. */
uint32_t gateway_engine_model_key(id model, id adapter);
/** True when some gateway runs a request for a model (and adapter, if any) there, as far as is
 * known. */
bool gateway_engine_is_running(const gateway_engine *engine, id model, id adapter);
#endif
