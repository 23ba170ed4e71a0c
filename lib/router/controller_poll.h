#ifndef ROUTER_CONTROLLER_POLL_H
#define ROUTER_CONTROLLER_POLL_H
/**
 * Polls controllers for new configuration and, on gateways, for changes of registered engines.
 *
 * One task polls one controller at a time and stays with it while it confirms what is in force. The
 * controller holds the poll open until there is something newer, up to half a second in strict mode
 * and a second in relaxed mode.
 *
 * A poll that is held open looks just like one to a controller that is frozen or cut off. In
 * relaxed mode a second task therefore sends hedged polls: when no controller has confirmed
 * anything for HEDGE_AFTER_MS, another controller is asked, and one more every HEDGE_INTERVAL_MS,
 * without waiting for the first. Hence an acknowledged write is in force here at the latest
 * HEDGE_AFTER_MS, plus HEDGE_INTERVAL_MS for each silent controller, plus one round trip after its
 * acknowledgement. (In strict mode a poll gives up early enough that the next controller is asked
 * in time.)
 */
#include "config_sync.h"
#include "controller_selection.h"

enum { MAX_HEDGED_POLLS = 6, MAX_REGISTRY_POSITIONS = 8 };

/** A poll to a further controller. */
typedef struct hedged_poll {
  char address[48];
  time_us sent_at;
  bool in_flight;
  /** Not answered in the usual time; its controller has been marked as failed. */
  bool overdue;
} hedged_poll;

/** Up to where this router knows the engine registry of one controller: changes are numbered for
 * each run of a controller. */
typedef struct registry_position {
  char address[48];
  uint64_t run, sequence;
} registry_position;

/** Owned by controller_poll.c. */
typedef struct controller_poll {
  /** The controller that the main task polls, or polled last; blank after it failed. */
  char polled_controller[48];
  /** A controller that holds the state, as one that holds none named it; blank: none. */
  char controller_hint[48];
  /** The controller that confirmed the configuration to a hedged poll; blank: none. */
  char confirming_controller[48];
  /** How controllers responded so far, for the choice of the next one. */
  controller_selection selection;
  /** When any controller last responded with its state; 0: never. */
  time_us controller_answered_at;
  /** When a controller last confirmed what is in force here, at the latest: the time for which it
   * held the poll open is added. */
  time_us controller_confirmed_at;
  hedged_poll hedged_polls[MAX_HEDGED_POLLS];
  /** Duration of the last poll in ms without the time for which it was held open. */
  int64_t last_latency_ms;
  registry_position registry_positions[MAX_REGISTRY_POSITIONS];
  /** Counts the positions stored; the oldest one gives way. */
  int registry_position_next;
} controller_poll;

void controller_poll_start(router *router);
/** True when a controller responded with its state within the last so many ms. */
bool controller_poll_answered_within(router *router, int64_t ms);
#endif
