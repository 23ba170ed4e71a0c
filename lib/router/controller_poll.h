#ifndef ROUTER_CONTROLLER_POLL_H
#define ROUTER_CONTROLLER_POLL_H
/**
 * Polls controllers for new configuration and, on gateways, for changes of registered engines.
 *
 * One task polls one controller at a time and stays with it as long as it confirms the state in
 * force. The controller holds the poll open until there is something newer, for up to half a second
 * in strict mode and one second in relaxed mode.
 *
 * A poll that is held open cannot be distinguished from a poll to a controller that is frozen or
 * partitioned. In relaxed mode a second task therefore sends hedged polls: when no controller has
 * confirmed the state for HEDGE_AFTER_MS, it polls another controller, and one more every
 * HEDGE_INTERVAL_MS, without waiting for the first one. An acknowledged write is therefore in force
 * here no later than HEDGE_AFTER_MS, plus HEDGE_INTERVAL_MS for each unresponsive controller, plus
 * one round trip after its acknowledgement. (In strict mode a poll times out early enough to poll
 * the next controller in time.)
 */
#include "config_sync.h"
#include "controller_selection.h"

enum { MAX_HEDGED_POLLS = 6, MAX_REGISTRY_POSITIONS = 8 };

/** A poll sent to another controller while the main poll is open. */
typedef struct hedged_poll {
  char address[48];
  time_us sent_at;
  bool in_flight;
  /** Not answered within HEDGED_POLL_OVERDUE_MS; its controller has been marked as failed. */
  bool overdue;
} hedged_poll;

/** The position up to which this router has the engine registry of one controller. Changes are
 * numbered separately for each process run of a controller. */
typedef struct registry_position {
  char address[48];
  uint64_t run, sequence;
} registry_position;

/** Owned by controller_poll.c. */
typedef struct controller_poll {
  /** The controller that the main task polls or last polled; empty after a failure. */
  char polled_controller[48];
  /** A controller that has the state, as named by a controller in its response; empty if none. */
  char controller_hint[48];
  /** The controller that confirmed the configuration in response to a hedged poll; empty if none.
   */
  char confirming_controller[48];
  /** How controllers have responded so far; used to choose the next one. */
  controller_selection selection;
  /** When any controller last responded with its state; 0 if never. */
  time_us controller_answered_at;
  /** Latest time at which a controller is known to have confirmed the state in force here; includes
   * the time for which it held the poll open. */
  time_us controller_confirmed_at;
  hedged_poll hedged_polls[MAX_HEDGED_POLLS];
  /** Duration of the last poll in ms, excluding the time for which it was held open. */
  int64_t last_latency_ms;
  registry_position registry_positions[MAX_REGISTRY_POSITIONS];
  /** Number of positions stored so far; the oldest one is overwritten. */
  int registry_position_next;
} controller_poll;

void controller_poll_start(router *router);
/** Returns true when a controller responded with its state within the last `ms` milliseconds. */
bool controller_poll_answered_within(router *router, int64_t ms);
#endif
