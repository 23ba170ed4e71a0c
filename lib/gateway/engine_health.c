/** Health of engines: ejection after consecutive failures, suspicion after silence, and a decaying
 * failure score. See engine_health.h for why there are three signals. */
#include "engine_health.h"
#include "gateway.h"
#include <math.h>

enum {
  /* an engine gets no new requests for this time before it shuts down, so that none is still
     running then */
  DRAIN_MARGIN_MS = 1000,
  /* duration of an ejection; it doubles with each consecutive failure, so that a short fault costs
     little time and a lasting fault few requests */
  EJECTION_MIN_MS = 150,
  EJECTION_MAX_MS = 3000,
  EJECTION_MAX_DOUBLINGS = 6,
  /* after an ejection, one trial request goes to the engine; others wait this long for its result
   */
  EJECTION_TRIAL_MS = 400,
  /* silence that makes an engine suspect: SUSPECT_FIRST_EVENTS times its mean time to the first
     event, but at least SUSPECT_MIN_MS */
  SUSPECT_MIN_MS = 400,
  SUSPECT_FIRST_EVENTS = 4,
  /* an engine is unresponsive after this many consecutive failures, or when suspect, together with
     a silence of this length */
  UNRESPONSIVE_FAILURES = 3,
  UNRESPONSIVE_MS = 800,
  /* with this half-life, a burst of failures from one short fault decays within some seconds */
  FAILURE_HALF_LIFE_MS = 2500,
  /* how long an engine stays unhealthy: doubles each time until it has been healthy for
     UNHEALTHY_RESET_MS */
  UNHEALTHY_MIN_MS = 2000,
  UNHEALTHY_MAX_MS = 16000,
  UNHEALTHY_MAX_DOUBLINGS = 6,
  UNHEALTHY_RESET_MS = 12000,
  /* loads and unloads delay requests for about this time */
  RECENTLY_ORDERED_MS = 3000,
  /* maximum queue of a lightly loaded engine */
  LIGHT_LOAD_MAX_QUEUE_MS = 500
};
/* Failure scores that make an engine unhealthy: the first time, and again after it was unhealthy.
 */
static const double UNHEALTHY_SCORE = 2.5, UNHEALTHY_REPEAT_SCORE = 1;

static time_us after_ms(time_us at, int64_t ms) {
  return time_add(at, time_from_ms(ms));
}

bool gateway_engine_usable(const gateway_engine *engine) {
  if (engine->gone || engine->draining)
    return false;
  time_us now = gateway_engine_now(engine);
  bool ends_soon = engine->ends_at.us &&
                   time_reached(now, time_sub(engine->ends_at, time_from_ms(DRAIN_MARGIN_MS)));
  return !ends_soon && !(engine->health.ejected_until.us > now.us);
}

bool gateway_engine_unresponsive(const gateway_engine *engine) {
  const engine_health *health = &engine->health;
  if (health->consecutive_failures < UNRESPONSIVE_FAILURES && !health->suspect)
    return false;
  time_us since = health->suspect ? health->suspect_at : health->failed_at;
  return health->last_byte_at.us < since.us &&
         time_reached(gateway_engine_now(engine), after_ms(health->last_byte_at, UNRESPONSIVE_MS));
}

bool gateway_engine_unhealthy(const gateway_engine *engine) {
  return engine->health.unhealthy_until.us > gateway_engine_now(engine).us;
}

/* the failure score at a given time, halved for every FAILURE_HALF_LIFE_MS since its last update */
static double decayed_failure_score(const engine_health *health, time_us now) {
  if (!health->failure_score_at.us)
    return 0;
  double age_ms = (double)time_sub(now, health->failure_score_at).us / 1000;
  return health->failure_score * exp2(-age_ms / FAILURE_HALF_LIFE_MS);
}

void gateway_engine_add_failure(gateway_engine *engine, double weight) {
  engine_health *health = &engine->health;
  time_us now = gateway_engine_now(engine);
  if (engine->gone || gateway_engine_unhealthy(engine) ||
      !gateway_feature_enabled(engine->gateway, FEATURE_FAILURE_SCORE))
    return;
  if (health->unhealthy_count &&
      time_reached(now, after_ms(health->unhealthy_until, UNHEALTHY_RESET_MS)))
    health->unhealthy_count = 0;
  health->failure_score = decayed_failure_score(health, now) + weight;
  health->failure_score_at = now;
  if (health->failure_score < (health->unhealthy_count ? UNHEALTHY_REPEAT_SCORE : UNHEALTHY_SCORE))
    return;
  int doublings = MIN(health->unhealthy_count, UNHEALTHY_MAX_DOUBLINGS);
  health->failure_score = 0;
  health->unhealthy_until =
      after_ms(now, MIN((int64_t)UNHEALTHY_MIN_MS << doublings, UNHEALTHY_MAX_MS));
  health->unhealthy_count++;
  log_debug(&engine->gateway->router->node.log, "engine",
            "Engine %s at %s is unhealthy: too many failures, %d times in a row.",
            engine->engine_id.text, engine->address, health->unhealthy_count);
}

void gateway_engine_add_own_failure(gateway_engine *engine) {
  engine->health.unreported_failures++;
  gateway_engine_add_failure(engine, 1);
}

bool gateway_engine_lightly_loaded(const gateway_engine *engine) {
  time_us now = gateway_engine_now(engine);
  if (engine->slots && 2 * gateway_engine_running_requests(engine) > (int)engine->slots)
    return false;
  if (engine->load.ms_per_token * gateway_engine_waiting_tokens(engine) > LIGHT_LOAD_MAX_QUEUE_MS)
    return false;
  return time_reached(now, after_ms(engine->orders.peer_ordered_at, RECENTLY_ORDERED_MS)) &&
         !engine_residents_changed_within(engine, RECENTLY_ORDERED_MS);
}

void engine_health_update(gateway_engine *engine) {
  if (engine->gone)
    return;
  engine_health *health = &engine->health;
  time_us now = gateway_engine_now(engine), waits_since = engine->load.oldest_wait_at;
  if (health->last_byte_at.us > health->failed_at.us && health->consecutive_failures)
    health->consecutive_failures = 0;
  if (health->suspect && health->last_byte_at.us > health->suspect_at.us)
    health->suspect = false;
  int64_t silence_ms =
      MAX(SUSPECT_MIN_MS, (int64_t)(SUSPECT_FIRST_EVENTS * engine->load.mean_first_event_ms));
  if (!health->suspect && waits_since.us && time_reached(now, after_ms(waits_since, silence_ms)) &&
      time_reached(now, after_ms(health->last_byte_at, silence_ms))) {
    health->suspect = true;
    health->suspect_at = now;
  }
}

void engine_health_clear(gateway_engine *engine) {
  engine_health *health = &engine->health;
  if (health->consecutive_failures || health->suspect)
    condition_broadcast(&engine->gateway->engines.changed);
  engine_health_reset(health);
}

void engine_health_reset(engine_health *health) {
  health->consecutive_failures = 0;
  health->suspect = false;
  health->ejected_until = (time_us){ 0 };
}

void engine_health_record_success(gateway_engine *engine) {
  engine->health.last_success_at = gateway_engine_now(engine);
  engine_health_clear(engine);
}

void engine_health_record_failure(gateway_engine *engine) {
  engine_health *health = &engine->health;
  time_us now = gateway_engine_now(engine);
  health->failed_at = now;
  health->consecutive_failures++;
  /* failures of a busy engine don't count for the failure score */
  if (gateway_engine_lightly_loaded(engine))
    gateway_engine_add_own_failure(engine);
  int doublings = MIN(health->consecutive_failures - 1, EJECTION_MAX_DOUBLINGS);
  health->ejected_until =
      after_ms(now, MIN((int64_t)EJECTION_MIN_MS << doublings, EJECTION_MAX_MS));
}

void engine_health_start_trial(gateway_engine *engine, time_us sent_at) {
  if (engine->health.consecutive_failures > 0)
    engine->health.ejected_until = after_ms(sent_at, EJECTION_TRIAL_MS);
}
