/** Graceful shutdown of a controller: it leaves the chain, is replaced as a voter, and ends once
 * every call that it has read is answered. The grace period bounds the whole shutdown, and is
 * divided from its end backwards: exit of the process, pending calls, late callers, handover. */
#include "controller.h"

enum {
  /** Default grace period, in ms. */
  GRACE_DEFAULT_MS = 5500,
  /** How long late callers are served or redirected after the handover, in ms; the minimum remains
   * for them even when the handover takes long. */
  LINGER_MS = 1500,
  LINGER_MIN_MS = 1000,
  /** Time for the responses to calls that were read before the listener stopped accepting, in ms:
   * the longest time to respond, and some time to send the response. */
  PENDING_CALLS_MS = CONFIG_RESPONSE_TIMEOUT_MS + 50,
  /** Time for the exit of the process itself, in ms. */
  EXIT_MS = 100,
  /** Shortest time for the handover, whatever the grace period, in ms. */
  HANDOVER_MIN_MS = 500,
  /** How often the handover and the pending calls are checked, in ms. */
  HANDOVER_CHECK_MS = 100,
  PENDING_CALLS_CHECK_MS = 20
};

static bool is_voter(const view *view, id controller) {
  for (int i = 0; i < view->voter_count; i++)
    if (id_equal(view->voters[i].self, controller))
      return true;
  return false;
}

/* True when there is another controller that is not a voter and may become one in place of this
 * one. */
static bool is_replacement_voter_known(const controller *controller) {
  list_for_each (peer, &controller->node.peers, peer_node, link) {
    bool may_become_voter = peer->role == ROLE_CONTROLLER && !peer->gone && !peer->draining;
    if (may_become_voter && !is_voter(&controller->replica.view, peer->self))
      return true;
  }
  return false;
}

/* True when the other controllers no longer need this one: it has been removed from the chain,
 * which they do only once one of them has all of its writes, and another controller has replaced it
 * as a voter, if there is one that can. */
static bool is_handed_over(const controller *controller) {
  const replica *replica = &controller->replica;
  if (!replica->running || !replica->view.epoch || replica_chain_max(replica) == 1)
    return true;
  if (replica_chain_index(replica) >= 0)
    return false;
  return replica_voter_index(replica) < 0 || !is_replacement_voter_known(controller);
}

/* Sleeps until a deadline. Returns false when the process was stopped. */
static bool sleep_until(world *world, time_us deadline) {
  time_us remaining = time_sub(deadline, world_now(world));
  return remaining.us <= 0 || world_sleep(world, remaining);
}

/* Serves late callers for a while, then stops reading calls and waits until those already read are
 * answered. Returns at the latest EXIT_MS before `end`. */
static void finish_calls(controller *controller, time_us end) {
  world *world = controller->node.world;
  http_listener *listener = &controller->control_listener.http;
  time_us calls_deadline = time_sub(end, time_from_ms(EXIT_MS));
  time_us shut_deadline = time_sub(calls_deadline, time_from_ms(PENDING_CALLS_MS));
  time_us linger_end = time_add(world_now(world), time_from_ms(LINGER_MS));
  if (!sleep_until(world, time_min(linger_end, shut_deadline)))
    return;
  world->listener_stop_accepting(world, listener);
  world->listener_close_idle(world, listener);
  while (listener->pending_exchanges && !time_reached(world_now(world), calls_deadline))
    if (!world_sleep(world, time_from_ms(PENDING_CALLS_CHECK_MS)))
      return;
}

/* Waits until the handover is done or the deadline has passed. Returns false when the process was
 * stopped. */
static bool wait_handed_over(controller *controller, time_us deadline) {
  world *world = controller->node.world;
  while (!is_handed_over(controller) && !time_reached(world_now(world), deadline))
    if (!world_sleep(world, time_from_ms(HANDOVER_CHECK_MS)))
      return false;
  return true;
}

/* Task: performs the shutdown. */
static void drain_run(void *ctx) {
  controller *controller = ctx;
  world *world = controller->node.world;
  const settings *settings = &controller->node.settings;
  bool has_listener = controller->control_listener.is_open;
  int64_t grace_ms =
      settings->shutdown_grace_ms > 0 ? settings->shutdown_grace_ms : GRACE_DEFAULT_MS;
  int64_t calls_ms = has_listener ? LINGER_MIN_MS + PENDING_CALLS_MS : 0;
  int64_t handover_ms = MAX(grace_ms - calls_ms - EXIT_MS, HANDOVER_MIN_MS);
  time_us started_at = world_now(world);
  if (!wait_handed_over(controller, time_add(started_at, time_from_ms(handover_ms))))
    return;
  log_info(&controller->node.log, "controller", "Stopping: %s.",
           replica_chain_index(&controller->replica) < 0 ? "this controller has left the chain"
                                                         : "this controller is still in the chain");
  if (has_listener)
    finish_calls(controller, time_add(started_at, time_from_ms(grace_ms)));
  if (world->tasks.stopped)
    return;
  controller->exit_code = OK;
  condition_broadcast(&controller->stopped);
}

/* Announces to all peers immediately that this node is draining. */
static void announce_draining(node *node) {
  Wire__Heartbeat heartbeat = WIRE__HEARTBEAT__INIT;
  Wire__Envelope envelope = wire_envelope(WIRE__ENVELOPE__BODY_HEARTBEAT, &heartbeat);
  list_for_each (peer, &node->peers, peer_node, link)
    if (!peer->gone)
      peer_rpc_send(node, peer->address, &envelope);
}

void controller_drain(controller *controller) {
  if (controller->replica.draining)
    return;
  controller->replica.draining = true;
  if (controller->control_listener.is_open) {
    controller->control_listener.http.draining = true;
    controller->node.draining = true;
    announce_draining(&controller->node);
  }
  task_start(&controller->node.world->tasks, "drain", drain_run, controller);
}
