/** The planned end of a gateway: it says that it is not ready, takes requests until its callers
 * know, serves what it has taken, and ends before its grace is over. Times are in milliseconds. */
#include "gateway.h"

/* The platform needs two missed questions, a second apart, to send no more connections here.
 * REFUSE_MS and LAST_MS count back from the end of the grace. */
enum { UNREADY_MS = 2600, GRACE_MS = 8000, LAST_MS = 400, REFUSE_MS = 1200 };

static void drain_run(void *p) {
  gateway *gateway = p;
  world *world = gateway->router->node.world;
  int64_t grace = gateway->settings.grace_ms > 0 ? gateway->settings.grace_ms : GRACE_MS;
  time_us last = time_add(gateway->drain_at, time_from_ms(MAX(grace - LAST_MS, 500))),
          refuse = time_add(gateway->drain_at, time_from_ms(MAX(grace - REFUSE_MS, 300)));
  if (!world_sleep(world, time_from_ms(MIN(UNREADY_MS, grace / 2))))
    return;
  gateway->shut = true;
  world->door_shut(world, &gateway->front);
  world->door_end(world, &gateway->front);
  while ((gateway->open || gateway->front.exchanges) && !time_reached(world_now(world), last)) {
    if (!gateway->ending && time_reached(world_now(world), refuse)) {
      gateway->ending = true;
      condition_broadcast(&gateway->moved);
    }
    if (!world_sleep(world, time_from_ms(50)))
      return;
  }
  /* the last answers are still on their way out; a kept channel that is left must not bring one
   * more request */
  world->door_end(world, &gateway->front);
  if (!world_sleep(world, time_from_ms(100)))
    return;
  forward_report_open(gateway);
  log_info(&gateway->router->node.log, "gateway",
           "Drained, %d requests left, %" PRIu64 " channels broken off.", gateway->open,
           gateway->front.broken_off);
  condition_broadcast(&gateway->over);
}

void gateway_drain(gateway *gateway) {
  if (gateway->draining)
    return;
  gateway->draining = gateway->front.leaving = true;
  gateway->router->drain = true;
  node_leave(&gateway->router->node);
  gateway->drain_at = world_now(gateway->router->node.world);
  log_info(&gateway->router->node.log, "gateway", "Asked to stop, %d requests are open.",
           gateway->open);
  task_start(&gateway->router->node.world->tasks, "leave", drain_run, gateway);
}
