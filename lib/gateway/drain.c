/** The planned end of a gateway: it says that it is not ready, takes requests until its callers
 * know, serves what it has taken, and ends before its grace is over. Times are in milliseconds. */
#include "drain.h"
#include "forward.h"
#include "gateway.h"

/* The platform needs two missed questions, a second apart, to send no more connections here.
 * REFUSE_MS and LAST_MS count back from the end of the grace; FLUSH_MS is for the last answers,
 * which are still on their way out. */
enum {
  UNREADY_MS = 2600,
  GRACE_MS = 8000,
  LAST_MS = 400,
  REFUSE_MS = 1200,
  STEP_MS = 50,
  FLUSH_MS = 100
};

static time_us before_end(const gateway *gateway, int64_t ms, int64_t least_ms) {
  int64_t grace = gateway->settings.grace_ms > 0 ? gateway->settings.grace_ms : GRACE_MS;
  return time_add(gateway->drain.started_at, time_from_ms(MAX(grace - ms, least_ms)));
}

int64_t gateway_remaining_ms(const gateway *gateway) {
  if (!gateway->drain.draining)
    return INT64_MAX;
  time_us now = world_now(gateway->router->node.world);
  return time_sub(before_end(gateway, LAST_MS, 500), now).us / 1000;
}

/* From here on no request is taken on any connection, also not on one whose answer is under way:
 * its callers are refused at once, while other machines have the time to serve them. */
static void stop_admission(gateway *gateway) {
  world *world = gateway->router->node.world;
  gateway->drain.admission_stopped = true;
  world->listener_stop_accepting(world, &gateway->client_listener);
  world->listener_close_idle(world, &gateway->client_listener);
}

/* what waits for a place would not be served any more */
static void refuse_waiting(gateway *gateway) {
  gateway->drain.refusing_queued = true;
  condition_broadcast(&gateway->engines.changed);
}

/* what no engine has begun to answer is answered here */
static void answer_unbegun(gateway *gateway) {
  forward_log_open_requests(gateway);
  gateway->drain.grace_over = true;
  forward_wake_open_requests(gateway);
}

static void drain_run(void *p) {
  gateway *gateway = p;
  world *world = gateway->router->node.world;
  time_us last = before_end(gateway, LAST_MS, 500), refuse = before_end(gateway, REFUSE_MS, 300),
          shut = before_end(gateway, 0, 0);
  shut.us = MIN(gateway->drain.started_at.us + UNREADY_MS * 1000,
                (gateway->drain.started_at.us + shut.us) / 2);
  if (!world_sleep(world, time_sub(shut, world_now(world))))
    return;
  stop_admission(gateway);
  while ((gateway->requests.open_count || gateway->client_listener.pending_exchanges) &&
         !time_reached(world_now(world), last)) {
    if (!gateway->drain.refusing_queued && time_reached(world_now(world), refuse))
      refuse_waiting(gateway);
    if (!world_sleep(world, time_from_ms(STEP_MS)))
      return;
  }
  world->listener_close_idle(world, &gateway->client_listener);
  answer_unbegun(gateway);
  if (!world_sleep(world, time_from_ms(FLUSH_MS)))
    return;
  log_info(&gateway->router->node.log, "gateway",
           "Drained, %d requests left, %" PRIu64 " channels broken off.",
           gateway->requests.open_count, gateway->client_listener.requests_aborted);
  condition_broadcast(&gateway->drain.finished);
}

void gateway_drain(gateway *gateway) {
  if (gateway->drain.draining)
    return;
  gateway->drain.draining = gateway->client_listener.draining = true;
  gateway->router->draining = true;
  node_start_draining(&gateway->router->node);
  gateway->drain.started_at = world_now(gateway->router->node.world);
  log_info(&gateway->router->node.log, "gateway", "Asked to stop, %d requests are open.",
           gateway->requests.open_count);
  task_start(&gateway->router->node.world->tasks, "leave", drain_run, gateway);
}
