/** Health of an engine as one gateway sees it: silence, failures and outlier ejection.
 *
 * Three signals are kept apart, because they ask for different reactions:
 * - consecutive failures eject the engine for a time that doubles with each further one;
 * - silence while requests wait there makes it suspect: it gets no request that may run only once;
 * - a decaying score of failures seen by all gateways makes it unhealthy: it stays usable, at a
 *   high cost, so that an engine that fails part of its work is the last choice. */
#ifndef GATEWAY_ENGINE_HEALTH_H
#define GATEWAY_ENGINE_HEALTH_H
#include "world.h"

typedef struct gateway_engine gateway_engine;

/** Written by engine_health.c; last_byte_at and ejected_until also by the attempts of requests. */
typedef struct engine_health {
  /** When any byte of a response last came from the engine. */
  time_us last_byte_at;
  time_us last_success_at, failed_at;
  /** No request goes there before this instant. */
  time_us ejected_until;
  int consecutive_failures;
  /** Silent although requests wait there. */
  bool suspect;
  time_us suspect_at;
  /** Sum of the failures that all gateways have seen, halved every FAILURE_HALF_LIFE_MS. */
  double failure_score;
  time_us failure_score_at;
  time_us unhealthy_until;
  /** How often it became unhealthy since it was last well for long. */
  int unhealthy_count;
  /** Failures seen here that no other gateway has been sent yet. */
  int unreported_failures;
} engine_health;

/** True when the engine may get requests now: registered, not draining, not ejected. */
bool gateway_engine_usable(const gateway_engine *engine);
/** True when the engine shows no sign of life although requests were sent there; its models should
 * be loaded elsewhere too. */
bool gateway_engine_unresponsive(const gateway_engine *engine);
/** True while the failure score has made it unhealthy. */
bool gateway_engine_unhealthy(const gateway_engine *engine);
/** True when the engine is neither full nor was ordered to load or unload recently, so that a
 * failure or a declined request is its own fault. */
bool gateway_engine_lightly_loaded(const gateway_engine *engine);
/** Adds failures to the score; weight is below 1 for those seen from another zone. */
void gateway_engine_add_failure(gateway_engine *engine, double weight);
/** Adds one failure that this gateway saw, and reports it to the others. */
void gateway_engine_add_own_failure(gateway_engine *engine);
/** Updates suspicion and consecutive failures by what came from the engine meanwhile. */
void gateway_engine_check(gateway_engine *engine);
/** Clears suspicion, ejection and consecutive failures, since the engine works. */
void engine_health_clear(gateway_engine *engine);
/** Records that a request ended well. */
void engine_health_record_success(gateway_engine *engine);
/** Counts a failed attempt and ejects the engine, for longer each time in a row. */
void engine_health_record_failure(gateway_engine *engine);
/** A request goes to an engine that failed last: others wait until this one has shown whether it
 * works. */
void engine_health_start_trial(gateway_engine *engine, time_us sent_at);
/** A registration starts with a clean record. */
void engine_health_reset(engine_health *health);
#endif
