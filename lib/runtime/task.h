#ifndef RUNTIME_TASK_H
#define RUNTIME_TASK_H
/**
 * Tasks: cooperative threads of one process, and what they wait on.
 *
 * A task is a coroutine with a stack of its own. It runs until it waits or ends; nothing else runs
 * in between, so state that is shared between tasks needs no locks, but may have changed after each
 * wait. A task waits for a deadline (task_sleep), or for a condition with a deadline
 * (condition_wait). A condition has no state: who waits checks the reason for waiting in a loop,
 * and condition_broadcast wakes all that wait at that moment.
 *
 * scheduler_run runs ready tasks in the order in which they became ready, urgent ones before all
 * others, and returns when none is. The scheduler does not wait by itself: its
 * caller does, until the deadline that it returns. So the real world and the emulator, where time
 * is simulated, run the same code; in the emulator each machine has a scheduler of its own.
 *
 * When a process ends, scheduler_stop makes every wait return WAKE_STOPPED at once, from then on,
 * and tasks are expected to return.
 */
#include "base.h"

/** Why a wait ended. The numbers are those of the error codes that callers return for it. */
enum wake { WAKE_SIGNALLED = OK, WAKE_TIMEOUT = E_NO_RESPONSE, WAKE_STOPPED = E_STOPPING };

typedef struct task task;

/** Something that tasks wait on. It may be freed when no task waits on it. */
typedef struct condition {
  /** Tasks, by their `waiting` link; in the order in which they began to wait. */
  list_node waiters;
} condition;

/** The tasks of one process. Written by task.c only; its caller may read ready, stopped and count.
 */
typedef struct scheduler {
  /** Tasks to run next, and all tasks that have not ended. */
  list_node ready, all;
  /** Tasks that wait, by deadline. */
  GSequence *sleepers;
  /** The task that runs; NULL outside of scheduler_run. */
  task *current;
  bool stopped;
  /** Tasks that have not ended. */
  size_t count;
  /** The clock. */
  time_us (*now)(void *now_context);
  void *now_context;
} scheduler;

/** Makes a scheduler that reads the time from now(now_context). */
void scheduler_init(scheduler *scheduler, time_us (*now)(void *now_context), void *now_context);
/** Runs tasks until none is ready. Returns the next deadline of a task that waits, or time_never.
 */
time_us scheduler_run(scheduler *scheduler);
/** Makes every wait end with WAKE_STOPPED, now and from here on, and runs the tasks until all have
 * ended or what is left waits for nothing. */
void scheduler_stop(scheduler *scheduler);
/** Frees what scheduler_init made; no task may be left. */
void scheduler_free(scheduler *scheduler);

/** Starts a task. It runs from the next scheduler_run on, or later in the present one. name must
 * last as long as the task; it is for debuggers. */
void task_start(scheduler *scheduler, const char *name, void (*run)(void *argument),
                void *argument);
/** The same for a task that overtakes others that are ready each time it is woken: for heartbeats,
 * which must not wait behind the work of many requests. Its steps must be short. */
void task_start_urgent(scheduler *scheduler, const char *name, void (*run)(void *argument),
                       void *argument);
/** Makes the running task wait for a time: WAKE_TIMEOUT or WAKE_STOPPED. */
enum wake task_sleep(scheduler *scheduler, time_us span);

void condition_init(condition *condition);
/** Makes the running task wait until the condition is broadcast or the deadline comes. */
enum wake condition_wait(scheduler *scheduler, condition *condition, time_us deadline);
/** Wakes all tasks that wait; they run later. May be called from outside of tasks, too. */
void condition_broadcast(condition *condition);
#endif
