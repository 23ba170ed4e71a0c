#ifndef RUNTIME_TASK_H
#define RUNTIME_TASK_H
/**
 * Tasks: cooperative threads of one process, and the conditions that they wait for.
 *
 * A task is a coroutine with its own stack. It runs until it waits or ends, and no other task runs
 * meanwhile. State shared between tasks therefore needs no locks, but may have changed after each
 * wait. A task waits for a deadline (task_sleep), or for a condition with a deadline
 * (condition_wait). A condition has no state: a waiting task checks its predicate in a loop, and
 * condition_broadcast wakes all tasks that are waiting at that moment.
 *
 * scheduler_run runs ready tasks in the order in which they became ready, urgent tasks before all
 * others, and returns when no task is ready. The scheduler itself does not wait; its caller waits
 * until the returned deadline. The real world and the emulator, where time is simulated, therefore
 * run the same code. In the emulator each machine has its own scheduler.
 *
 * When a process ends, scheduler_stop makes all current and later waits return WAKE_STOPPED
 * immediately, and tasks are expected to return.
 */
#include "base.h"

/** Why a wait ended. The values equal the error codes that callers return for it. */
enum wake_reason { WAKE_SIGNALLED = OK, WAKE_TIMEOUT = E_NO_RESPONSE, WAKE_STOPPED = E_STOPPING };

typedef struct task task;

/** A condition that tasks wait for. It may be freed when no task waits for it. */
typedef struct condition {
  /** Tasks, linked by `waiting`, in the order in which they started to wait. */
  list_node waiters;
} condition;

/** The tasks of one process. Written by task.c only; others may read ready, stopped and count. */
typedef struct scheduler {
  /** Tasks that are ready to run, and all tasks that have not ended. */
  list_node ready, all;
  /** Waiting tasks, sorted by deadline. */
  GSequence *sleepers;
  /** The running task; NULL outside of scheduler_run. */
  task *current;
  bool stopped;
  /** Number of tasks that have not ended. */
  size_t count;
  /** Returns the current time. */
  time_us (*now)(void *now_context);
  void *now_context;
} scheduler;

/** Initializes a scheduler that reads the time from now(now_context). */
void scheduler_init(scheduler *scheduler, time_us (*now)(void *now_context), void *now_context);
/** Runs tasks until none is ready. Returns the earliest deadline of a waiting task, or time_never.
 */
time_us scheduler_run(scheduler *scheduler);
/** Makes all current and later waits end with WAKE_STOPPED, and runs tasks until all have ended or
 * the remaining ones are neither ready nor waiting. */
void scheduler_stop(scheduler *scheduler);
/** Frees what scheduler_init allocated; no task may be left. */
void scheduler_free(scheduler *scheduler);

/** Starts a task, which first runs later in the current scheduler_run or in the next one. name must
 * remain valid as long as the task exists; it is for debuggers. */
void task_start(scheduler *scheduler, const char *name, void (*run)(void *argument),
                void *argument);
/** Starts a task that runs before all other ready tasks each time it is woken. It is for
 * heartbeats, which must not wait behind many requests. It must run only briefly between two waits.
 */
void task_start_urgent(scheduler *scheduler, const char *name, void (*run)(void *argument),
                       void *argument);
/** Makes the running task wait for a duration. Returns WAKE_TIMEOUT or WAKE_STOPPED. */
enum wake_reason task_sleep(scheduler *scheduler, time_us span);

void condition_init(condition *condition);
/** Makes the running task wait until the condition is broadcast or the deadline is reached. */
enum wake_reason condition_wait(scheduler *scheduler, condition *condition, time_us deadline);
/** Wakes all waiting tasks; they run later. May also be called outside of tasks. */
void condition_broadcast(condition *condition);
#endif
