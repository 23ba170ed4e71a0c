#ifndef EMULATOR_SIM_EVENTS_H
#define EMULATOR_SIM_EVENTS_H
#include "base.h"

/** @file
 * The queue of scheduled events of a simulation, ordered by time and, at one instant, by the order
 * in which they were scheduled. A module that schedules events embeds a sim_event as the first
 * member of a struct of its own and describes by a sim_event_type what happens to it. */

typedef struct sim sim;
typedef struct host host;
typedef struct sim_event sim_event;

/** The operations of one kind of event. */
typedef struct sim_event_type {
  /** Carries out the event. */
  void (*run)(sim_event *event);
  /** Frees the event and what it owns, whether it has run or not. */
  void (*release)(sim_event *event);
  /** Whether an event that is still in the inbox of a frozen host runs when that host's process
   * ends; otherwise it is dropped. */
  bool runs_at_host_end;
} sim_event_type;

struct sim_event {
  const sim_event_type *type;
  time_us at;
  /** Orders events of the same instant. */
  uint64_t sequence;
  /** The host where it happens, or NULL; while that host is frozen, the event waits in its inbox.
   */
  host *host;
  list_node inbox_link;
};

typedef struct sim_event_queue {
  /** Sequence of sim_event, in the order in which they happen. */
  GSequence *pending;
  uint64_t last_sequence;
} sim_event_queue;

void sim_events_init(sim_event_queue *queue);
/** Frees the queue, which must be empty. */
void sim_events_free(sim_event_queue *queue);
/** Puts an event, which the queue owns from now on, into the queue; host may be NULL. */
void sim_events_schedule(sim_event_queue *queue, sim_event *event, const sim_event_type *type,
                         time_us at, host *host);
/** The next event, which stays in the queue, or NULL. */
sim_event *sim_events_first(const sim_event_queue *queue, GSequenceIter **position);
/** Removes the event at a position that sim_events_first returned. */
void sim_events_remove(GSequenceIter *position);
/** Runs and frees an event that was removed from the queue. */
void sim_event_run(sim_event *event);

/** Schedules a function to run at an instant, independently of all hosts. Functions that are still
 * scheduled when the simulation is freed do not run. */
void sim_schedule(sim *sim, time_us at, void (*function)(void *), void *argument);
#endif
