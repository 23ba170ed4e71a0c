#ifndef COMMON_TASK_H
#define COMMON_TASK_H
#include "base.h"

/** Why a wait ended. */
enum wake { WAKE_SIGNALLED = 0, WAKE_TIMEOUT = E_NO_RESPONSE, WAKE_STOPPED = E_STOPPING };

typedef struct task task;
/** Something that tasks wait on. */
typedef struct condition {
  list_node waiters;
} condition;

/** The tasks of one process (or of one machine in a test). */
typedef struct scheduler {
  list_node ready, all;
  GSequence *sleepers;
  task *current;
  bool stopped;
  size_t count;
  time_us (*now)(void *);
  void *now_context;
} scheduler;

/** Makes a set of tasks that reads time from now(ctx). */
void scheduler_init(scheduler *scheduler, time_us (*now)(void *), void *ctx);
/** Runs everything that is ready, and then says when the next sleeper is due. */
time_us scheduler_run(scheduler *scheduler);
/** Makes every wait end with DEAD, now and from here on, until no task is left. */
void scheduler_stop(scheduler *scheduler);
/** Frees what scheduler_init made; no task may be left. */
void scheduler_free(scheduler *scheduler);
/** Starts a task; its first step comes with the next scheduler_run. */
void task_start(scheduler *scheduler, const char *name, void (*run)(void *), void *arg);
/** The same for a task that runs before all others that are ready, each time it is woken: for
 * heartbeats, which must not wait behind a crowd's work. Its steps must be short. */
void task_start_urgent(scheduler *scheduler, const char *name, void (*run)(void *), void *arg);
/** Sleeps for a span. */
enum wake task_sleep(scheduler *scheduler, time_us span);
/** Makes a condition. */
void condition_init(condition *b);
/** Waits until the condition is signalled or the instant comes. */
enum wake condition_wait(scheduler *scheduler, condition *b, time_us till);
/** Wakes all that wait. */
void condition_broadcast(condition *b);
#endif
