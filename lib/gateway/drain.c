/** Graceful shutdown of a gateway, within the grace period of the platform. Its phases:
 *
 * 1. not ready: requests are still served, and responses close their connections, until clients
 *    have had time to notice that the gateway is not ready;
 * 2. no admission: the listener is closed, and requests on open connections are refused at once,
 *    while other gateways still have time to serve them;
 * 3. shortly before the end, requests that wait for an engine are refused;
 * 4. at the end, requests whose response has not started get a 502; streams continue until the
 *    process exits. */
#include "drain.h"
#include "forward.h"
#include "gateway.h"

enum {
  /* the platform stops sending connections after two failed readiness checks, which are a second
   * apart */
  UNREADY_MS = 2600,
  DEFAULT_GRACE_MS = 8000,
  /* time before the end of the grace period at which queued requests are refused and at which the
   * last phase starts; MIN: the minimum time from the start of the drain to these, which applies
   * when the grace period is short */
  REFUSE_QUEUED_MS = 1200,
  REFUSE_QUEUED_MIN_MS = 300,
  LAST_PHASE_MS = 400,
  LAST_PHASE_MIN_MS = 500,
  /* interval at which the number of open requests is checked */
  RECHECK_MS = 50,
  /* time for sending the last responses */
  FLUSH_MS = 100
};

/* the time ms before the end of the grace period, but at least min_ms after the start of the
 * drain */
static time_us before_grace_end(const gateway *gateway, int64_t ms, int64_t min_ms) {
  int64_t grace_ms = gateway->settings.grace_ms > 0 ? gateway->settings.grace_ms : DEFAULT_GRACE_MS;
  return time_add(gateway->drain.started_at, time_from_ms(MAX(grace_ms - ms, min_ms)));
}

static time_us last_phase_at(const gateway *gateway) {
  return before_grace_end(gateway, LAST_PHASE_MS, LAST_PHASE_MIN_MS);
}

int64_t gateway_drain_remaining_ms(const gateway *gateway) {
  if (!gateway->drain.draining)
    return INT64_MAX;
  return time_sub(last_phase_at(gateway), gateway_now(gateway)).us / 1000;
}

/* when admission ends: after the platform has noticed the drain, but no later than halfway through
 * the grace period */
static time_us admission_ends_at(const gateway *gateway) {
  time_us started_at = gateway->drain.started_at, grace_end = before_grace_end(gateway, 0, 0);
  return (time_us){ MIN(started_at.us + UNREADY_MS * 1000, (started_at.us + grace_end.us) / 2) };
}

static void stop_admission(gateway *gateway) {
  world *world = gateway->router->node.world;
  gateway->drain.admission_stopped = true;
  world->listener_stop_accepting(world, &gateway->client_listener);
  world->listener_close_idle(world, &gateway->client_listener);
}

static void refuse_queued(gateway *gateway) {
  gateway->drain.refusing_queued = true;
  condition_broadcast(&gateway->engines.changed);
}

static void end_grace_period(gateway *gateway) {
  forward_log_open_requests(gateway);
  gateway->drain.grace_over = true;
  forward_wake_open_requests(gateway);
}

/* waits until all requests are served or the last phase starts; false when the process stops */
static bool wait_for_open_requests(gateway *gateway, time_us refuse_at,
                                   time_us last_phase_starts_at) {
  world *world = gateway->router->node.world;
  while ((gateway->requests.open_count || gateway->client_listener.pending_exchanges) &&
         !time_reached(world_now(world), last_phase_starts_at)) {
    if (!gateway->drain.refusing_queued && time_reached(world_now(world), refuse_at))
      refuse_queued(gateway);
    if (!world_sleep(world, time_from_ms(RECHECK_MS)))
      return false;
  }
  return true;
}

static void drain_run(void *context) {
  gateway *gateway = context;
  world *world = gateway->router->node.world;
  time_us refuse_at = before_grace_end(gateway, REFUSE_QUEUED_MS, REFUSE_QUEUED_MIN_MS),
          last_phase_starts_at = last_phase_at(gateway);
  if (!world_sleep(world, time_sub(admission_ends_at(gateway), world_now(world))))
    return;
  stop_admission(gateway);
  if (!wait_for_open_requests(gateway, refuse_at, last_phase_starts_at))
    return;
  world->listener_close_idle(world, &gateway->client_listener);
  end_grace_period(gateway);
  if (!world_sleep(world, time_from_ms(FLUSH_MS)))
    return;
  log_info(&gateway->router->node.log, "gateway",
           "Drained: %d requests are still open, %" PRIu64 " connections were aborted.",
           gateway->requests.open_count, gateway->client_listener.requests_aborted);
  condition_broadcast(&gateway->drain.finished);
}

void gateway_drain(gateway *gateway) {
  if (gateway->drain.draining)
    return;
  gateway->drain.draining = gateway->client_listener.draining = true;
  gateway->router->draining = true;
  node_start_draining(&gateway->router->node);
  gateway->drain.started_at = gateway_now(gateway);
  log_info(&gateway->router->node.log, "gateway", "Drain started, %d requests are open.",
           gateway->requests.open_count);
  task_start(&gateway->router->node.world->tasks, "gateway drain", drain_run, gateway);
}
