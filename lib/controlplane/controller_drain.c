/** The planned end of a core machine: it leaves the chain, hands its vote over, and ends once every
 * call that it has read is answered. Times are in milliseconds. */
#include "controller.h"

/* GRACE_MS: when none is told. Late callers, who are told where the core is now, have LINGER_MS
 * after the handover, or LINGER_LEAST_MS when that took long. LAST_CALLS_MS is for the answers to
 * calls that were read before the listener was shut (a call is answered within 850 ms, and refused
 * within 600 ms by a machine that is out of the chain), EXIT_MS for the exit itself. */
enum {
  GRACE_MS = 5500,
  LINGER_MS = 1500,
  LINGER_LEAST_MS = 1000,
  LAST_CALLS_MS = 900,
  EXIT_MS = 100,
  HANDOVER_LEAST_MS = 500,
  STEP_MS = 100,
  LAST_STEP_MS = 20
};

/* a core machine that may take this one's vote: it is there, and has none itself */
static bool successor_is_known(controller *controller) {
  const view *view = &controller->replica.view;
  list_for_each (peer, &controller->node.peers, peer_node, link) {
    if (peer->role != ROLE_CONTROLLER || peer->gone || peer->draining)
      continue;
    bool votes = false;
    for (int i = 0; i < view->voter_count; i++)
      votes |= id_equal(view->voters[i].self, peer->self);
    if (!votes)
      return true;
  }
  return false;
}

/* what a member owes the others before it ends: a chain that is whole without it, which the others
 * decide on only once one of them holds all that it holds; and its vote, when there is one to take
 * it */
static bool handed_over(controller *controller) {
  replica *replica = &controller->replica;
  if (!replica->running || !replica->view.epoch || replica_chain_max(replica) == 1)
    return true;
  if (replica_chain_index(replica) >= 0)
    return false;
  return replica_voter_index(replica) < 0 || !successor_is_known(controller);
}

static bool sleep_until(world *world, time_us till) {
  time_us left = time_sub(till, world_now(world));
  return left.us <= 0 || world_sleep(world, left);
}

/* late callers are answered for a while; then no call is read any more, and what was read gets its
 * answer */
static void finish_calls(controller *controller, time_us end) {
  world *world = controller->node.world;
  http_listener *control = &controller->control_listener;
  time_us last = time_sub(end, time_from_ms(EXIT_MS)),
          latest = time_sub(last, time_from_ms(LAST_CALLS_MS)),
          shut = time_add(world_now(world), time_from_ms(LINGER_MS));
  if (!sleep_until(world, shut.us < latest.us ? shut : latest))
    return;
  world->listener_stop_accepting(world, control);
  world->listener_close_idle(world, control);
  while (control->pending_exchanges && !time_reached(world_now(world), last))
    if (!world_sleep(world, time_from_ms(LAST_STEP_MS)))
      return;
}

static void drain_run(void *p) {
  controller *controller = p;
  world *world = controller->node.world;
  int64_t grace = controller->node.settings.shutdown_grace_ms > 0
                      ? controller->node.settings.shutdown_grace_ms
                      : GRACE_MS,
          calls = controller->has_control_listener ? LINGER_LEAST_MS + LAST_CALLS_MS : 0;
  time_us now = world_now(world), end = time_add(now, time_from_ms(grace)),
          latest = time_add(now, time_from_ms(MAX(grace - calls - EXIT_MS, HANDOVER_LEAST_MS)));
  while (!handed_over(controller) && !time_reached(world_now(world), latest))
    if (!world_sleep(world, time_from_ms(STEP_MS)))
      return;
  log_info(&controller->node.log, "core", "%s, stopping.",
           replica_chain_index(&controller->replica) < 0 ? "Out of the chain"
                                                         : "Still in the chain");
  if (controller->has_control_listener)
    finish_calls(controller, end);
  if (world->tasks.stopped)
    return;
  controller->exit_code = OK;
  condition_broadcast(&controller->stopped);
}

void controller_drain(controller *controller) {
  if (controller->replica.draining)
    return;
  controller->replica.draining = true;
  if (controller->has_control_listener) {
    controller->control_listener.draining = controller->node.draining = true;
    Wire__Heartbeat b = WIRE__HEARTBEAT__INIT;
    Wire__Envelope w = wire_envelope(WIRE__ENVELOPE__BODY_HEARTBEAT, &b);
    list_for_each (peer, &controller->node.peers, peer_node, link)
      if (!peer->gone)
        node_send(&controller->node, peer->address, &w);
  }
  task_start(&controller->node.world->tasks, "drain", drain_run, controller);
}
