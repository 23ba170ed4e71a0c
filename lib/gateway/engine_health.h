/** Health of an engine as one gateway sees it: consecutive failures, silence and a failure score.
 *
 * These three signals are kept apart because they need different reactions:
 * - consecutive failures eject the engine for a time that doubles with each further failure;
 * - silence while requests wait there makes it suspect: it gets no requests while another engine is
 *   in good health, and if none is, at first only requests that may run more than once;
 * - a decaying score of the failures seen by all gateways makes it unhealthy: it stays usable but
 *   at a high cost, so that an engine that fails some of its requests is the last choice. */
#ifndef GATEWAY_ENGINE_HEALTH_H
#define GATEWAY_ENGINE_HEALTH_H
#include "world.h"

typedef struct gateway_engine gateway_engine;

/** Written by engine_health.c; last_byte_at and ejected_until are also written by request attempts.
 */
typedef struct engine_health {
  /** When the last byte of any response was received from the engine. */
  time_us last_byte_at;
  time_us last_success_at, failed_at;
  /** The engine gets no requests before this time. */
  time_us ejected_until;
  int consecutive_failures;
  /** The engine is silent although requests wait there. */
  bool suspect;
  time_us suspect_at;
  /** Weighted sum of the failures that all gateways have seen; it halves every
   * FAILURE_HALF_LIFE_MS. */
  double failure_score;
  time_us failure_score_at;
  time_us unhealthy_until;
  /** How often it became unhealthy since it was last healthy for UNHEALTHY_RESET_MS. */
  int unhealthy_count;
  /** Failures seen by this gateway that are not in a report to the other gateways yet. */
  int unreported_failures;
} engine_health;

/** True when the engine may get requests now: registered, not draining or about to shut down,
 * and not ejected. */
bool gateway_engine_usable(const gateway_engine *engine);
/** True when the engine shows no sign of life although requests were sent there; its models should
 * also be loaded elsewhere. */
bool gateway_engine_unresponsive(const gateway_engine *engine);
/** True while the engine is unhealthy because of its failure score. */
bool gateway_engine_unhealthy(const gateway_engine *engine);
/** True when the engine is neither busy nor affected by a recent load or unload, so that a failure
 * or a declined request indicates a fault of the engine. */
bool gateway_engine_lightly_loaded(const gateway_engine *engine);
/** Adds failures to the score; weight is their number, reduced for those seen from another zone. */
void gateway_engine_add_failure(gateway_engine *engine, double weight);
/** Adds a failure that this gateway saw; the next traffic report sends it to the other gateways. */
void gateway_engine_add_own_failure(gateway_engine *engine);
/** Updates suspicion and consecutive failures from the bytes received since the last check. */
void engine_health_update(gateway_engine *engine);
/** Clears suspicion, ejection and consecutive failures because the engine works. */
void engine_health_clear(gateway_engine *engine);
/** Records a successful request. */
void engine_health_record_success(gateway_engine *engine);
/** Counts a failed attempt and ejects the engine, for longer with each consecutive failure. */
void engine_health_record_failure(gateway_engine *engine);
/** Records that a request is sent to an engine whose last request failed: no other request is sent
 * there until this trial request has a result or EJECTION_TRIAL_MS have passed. */
void engine_health_start_trial(gateway_engine *engine, time_us sent_at);
/** Resets suspicion, ejection and consecutive failures, for example at a new registration. */
void engine_health_reset(engine_health *health);
#endif
