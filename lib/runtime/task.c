/**
 * Tasks based on libpcl coroutines: see task.h.
 *
 * Each task has a stack of 128 KiB, of which only the pages in use consume memory. A guard page
 * below the stack makes an overflow fault instead of overwriting other memory. Because most tasks
 * are short, the coroutine and stack of an ended task are kept for reuse: the body of a coroutine
 * is a loop that runs one task after another.
 *
 * libpcl switches with swapcontext. The C library's version makes a system call for the signal mask
 * on each switch, which would dominate its cost. On x86-64, a custom swapcontext, which the linker
 * finds first, saves and restores only the registers. This is sufficient because all tasks have the
 * same signal mask and floating-point modes.
 *
 * The address sanitizer must be notified before and after each stack switch. With it, the C
 * library's swapcontext is used, because the sanitizer intercepts that function.
 */
#define _GNU_SOURCE
#include "task.h"
#include <pcl.h>
#include <stdlib.h>
#include <sys/mman.h>
#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#include <sanitizer/common_interface_defs.h>
#define ASAN_ON 1
#else
#define ASAN_ON 0
#endif

enum {
  STACK_BYTES = 128 * 1024,
  GUARD_BYTES = 4096,
  /* maximum number of ended tasks that are kept for reuse */
  IDLE_TASKS_MAX = 64,
  /* number of tasks that run before deadlines are checked again */
  TASKS_PER_DEADLINE_CHECK = 16
};

struct task {
  /** all: link in scheduler.all or idle_tasks. ready: in scheduler.ready. waiting: in
   * condition.waiters. */
  list_node all, ready, waiting;
  scheduler *scheduler;
  coroutine_t coroutine;
  /** The task's entry in scheduler.sleepers; NULL while it does not wait. */
  GSequenceIter *sleeper;
  time_us deadline;
  /** Why the last wait ended. */
  enum wake_reason wake;
  const char *name;
  void (*run)(void *argument);
  void *argument;
  void *stack;
#if ASAN_ON
  /** The stack of the thread that runs the scheduler, for the address sanitizer. */
  const void *scheduler_stack;
  size_t scheduler_stack_bytes;
#endif
  bool done, urgent;
};

/* Ended tasks of this thread, the most recent last. The list is initialized when the first task is
 * added. */
static _Thread_local list_node idle_tasks;
static _Thread_local int idle_task_count;

#if defined(__x86_64__) && !ASAN_ON
#include <ucontext.h>
#define GREG(r) offsetof(ucontext_t, uc_mcontext.gregs[r])
/* Saves the callee-saved registers, the return address and the caller's stack pointer to *from, and
 * restores them from *to. Also loads the argument registers from *to, where makecontext stores the
 * arguments of a coroutine's first call. Returns 0 in the restored context. */
__attribute__((naked)) int swapcontext(ucontext_t *restrict from, const ucontext_t *restrict to) {
  (void)from;
  (void)to;
  __asm__ volatile(
      "mov %%rbx, %c0(%%rdi)\n mov %%rbp, %c1(%%rdi)\n mov %%r12, %c2(%%rdi)\n mov %%r13, %c3(%%rdi)\n"
      "mov %%r14, %c4(%%rdi)\n mov %%r15, %c5(%%rdi)\n mov (%%rsp), %%rcx\n mov %%rcx, %c6(%%rdi)\n lea 8(%%rsp), %%rcx\n mov %%rcx, %c7(%%rdi)\n"
      "mov %c0(%%rsi), %%rbx\n mov %c1(%%rsi), %%rbp\n mov %c2(%%rsi), %%r12\n mov %c3(%%rsi), %%r13\n"
      "mov %c4(%%rsi), %%r14\n mov %c5(%%rsi), %%r15\n mov %c7(%%rsi), %%rsp\n push %c6(%%rsi)\n"
      "mov %c8(%%rsi), %%rdi\n mov %c10(%%rsi), %%rdx\n mov %c11(%%rsi), %%rcx\n mov %c12(%%rsi), %%r8\n mov %c13(%%rsi), %%r9\n"
      "mov %c9(%%rsi), %%rsi\n xor %%eax, %%eax\n ret" ::"i"(GREG(REG_RBX)),
      "i"(GREG(REG_RBP)), "i"(GREG(REG_R12)), "i"(GREG(REG_R13)), "i"(GREG(REG_R14)),
      "i"(GREG(REG_R15)), "i"(GREG(REG_RIP)), "i"(GREG(REG_RSP)), "i"(GREG(REG_RDI)),
      "i"(GREG(REG_RSI)), "i"(GREG(REG_RDX)), "i"(GREG(REG_RCX)), "i"(GREG(REG_R8)),
      "i"(GREG(REG_R9)));
}
#endif

static void switch_to_scheduler(task *task) {
#if ASAN_ON
  void *fake_stack = NULL;
  /* an ended task no longer needs its fake stack */
  __sanitizer_start_switch_fiber(task->done ? NULL : &fake_stack, task->scheduler_stack,
                                 task->scheduler_stack_bytes);
  co_resume();
  __sanitizer_finish_switch_fiber(fake_stack, NULL, NULL);
#else
  (void)task;
  co_resume();
#endif
}

static void switch_to_task(task *task) {
#if ASAN_ON
  void *fake_stack = NULL;
  __sanitizer_start_switch_fiber(&fake_stack, task->stack, STACK_BYTES);
  co_call(task->coroutine);
  __sanitizer_finish_switch_fiber(fake_stack, NULL, NULL);
#else
  co_call(task->coroutine);
#endif
}

/* the body of a coroutine: runs one task after the other */
static void run_tasks(void *context) {
  task *task = context;
#if ASAN_ON
  __sanitizer_finish_switch_fiber(NULL, &task->scheduler_stack, &task->scheduler_stack_bytes);
#endif
  for (;;) {
    task->run(task->argument);
    task->done = true;
    switch_to_scheduler(task);
  }
}

static int compare_deadlines(gconstpointer left, gconstpointer right, gpointer context) {
  (void)context;
  const task *a = left, *b = right;
  return a->deadline.us < b->deadline.us ? -1 : a->deadline.us > b->deadline.us;
}

void scheduler_init(scheduler *scheduler, time_us (*now)(void *now_context), void *now_context) {
  memset(scheduler, 0, sizeof *scheduler);
  list_init(&scheduler->ready);
  list_init(&scheduler->all);
  scheduler->sleepers = g_sequence_new(NULL);
  scheduler->now = now;
  scheduler->now_context = now_context;
}

static task *task_new(void) {
  char *memory = mmap(NULL, GUARD_BYTES + STACK_BYTES, PROT_READ | PROT_WRITE,
                      MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE | MAP_STACK, -1, 0);
  if (memory == MAP_FAILED)
    abort();
  /* This fails at the kernel's limit on mappings (tens of thousands of tasks); then the task has no
   * guard page. */
  (void)mprotect(memory, GUARD_BYTES, PROT_NONE);
  task *created = g_new0(task, 1);
  created->stack = memory + GUARD_BYTES;
  created->coroutine = co_create(run_tasks, created, created->stack, STACK_BYTES);
  if (!created->coroutine)
    abort();
  return created;
}

static void task_free(task *task) {
  co_delete(task->coroutine);
#if ASAN_ON
  __asan_unpoison_memory_region(task->stack, STACK_BYTES);
#endif
  munmap((char *)task->stack - GUARD_BYTES, GUARD_BYTES + STACK_BYTES);
  g_free(task);
}

/* Returns the idle task that ended last, or a new task. */
static task *take_task(void) {
  if (!idle_task_count)
    return task_new();
  task *latest = list_item(idle_tasks.prev, task, all);
  list_remove(&latest->all);
  idle_task_count--;
  return latest;
}

/* Keeps an ended task for reuse, or frees it. */
static void release_task(task *task) {
  list_remove(&task->all);
  task->scheduler->count--;
  if (idle_task_count >= IDLE_TASKS_MAX) {
    task_free(task);
    return;
  }
  task->scheduler = NULL;
  if (!idle_task_count++)
    list_init(&idle_tasks);
  list_append(&idle_tasks, &task->all);
}

/* Queues a task, an urgent one at the front. list_append inserts before the given node: before the
 * head is the end of the queue, before the first entry is its front. */
static void make_ready(task *task) {
  list_node *ready = &task->scheduler->ready;
  list_append(task->urgent ? ready->next : ready, &task->ready);
}

static void start_task(scheduler *scheduler, const char *name, void (*run)(void *argument),
                       void *argument, bool urgent) {
  task *started = take_task();
  started->scheduler = scheduler;
  started->name = name;
  started->run = run;
  started->argument = argument;
  started->done = false;
  started->urgent = urgent;
  list_init(&started->waiting);
  list_append(&scheduler->all, &started->all);
  make_ready(started);
  scheduler->count++;
}

void task_start(scheduler *scheduler, const char *name, void (*run)(void *argument),
                void *argument) {
  start_task(scheduler, name, run, argument, false);
}

void task_start_urgent(scheduler *scheduler, const char *name, void (*run)(void *argument),
                       void *argument) {
  start_task(scheduler, name, run, argument, true);
}

static void wake_task(task *task, enum wake_reason wake) {
  task->wake = wake;
  if (task->sleeper) {
    g_sequence_remove(task->sleeper);
    task->sleeper = NULL;
  }
  list_remove(&task->waiting);
  make_ready(task);
}

/* Returns the waiting task with the earliest deadline; NULL if none waits. */
static task *next_sleeper(const scheduler *scheduler) {
  GSequenceIter *first = g_sequence_get_begin_iter(scheduler->sleepers);
  return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static void wake_sleepers(scheduler *scheduler) {
  time_us now = scheduler->now(scheduler->now_context);
  task *sleeper;
  while ((sleeper = next_sleeper(scheduler))) {
    if (!scheduler->stopped && !time_reached(now, sleeper->deadline))
      break;
    wake_task(sleeper, scheduler->stopped ? WAKE_STOPPED : WAKE_TIMEOUT);
  }
}

static void run_first(scheduler *scheduler) {
  task *first = list_item(scheduler->ready.next, task, ready);
  list_remove(&first->ready);
  scheduler->current = first;
  switch_to_task(first);
  scheduler->current = NULL;
  if (first->done)
    release_task(first);
}

time_us scheduler_run(scheduler *scheduler) {
  for (;;) {
    wake_sleepers(scheduler);
    if (list_is_empty(&scheduler->ready))
      break;
    /* deadlines are checked regularly, so that urgent tasks do not wait behind a long queue */
    for (int i = 0; i < TASKS_PER_DEADLINE_CHECK && !list_is_empty(&scheduler->ready); i++)
      run_first(scheduler);
  }
  const task *sleeper = next_sleeper(scheduler);
  return sleeper ? sleeper->deadline : time_never();
}

void scheduler_stop(scheduler *scheduler) {
  scheduler->stopped = true;
  while (scheduler->count && scheduler->sleepers) {
    if (g_sequence_is_empty(scheduler->sleepers) && list_is_empty(&scheduler->ready))
      break;
    scheduler_run(scheduler);
  }
}

void scheduler_free(scheduler *scheduler) {
  if (scheduler->sleepers)
    g_sequence_free(scheduler->sleepers);
  scheduler->sleepers = NULL;
}

/* Makes the running task wait; condition is NULL to wait for the deadline only. */
static enum wake_reason suspend_current_task(scheduler *scheduler, condition *condition,
                                             time_us deadline) {
  task *task = scheduler->current;
  if (scheduler->stopped)
    return WAKE_STOPPED;
  task->deadline = deadline;
  task->sleeper = g_sequence_insert_sorted(scheduler->sleepers, task, compare_deadlines, NULL);
  if (condition)
    list_append(&condition->waiters, &task->waiting);
  switch_to_scheduler(task);
  return scheduler->stopped ? WAKE_STOPPED : task->wake;
}

enum wake_reason task_sleep(scheduler *scheduler, time_us span) {
  return suspend_current_task(scheduler, NULL,
                              time_add(scheduler->now(scheduler->now_context), span));
}

void condition_init(condition *condition) {
  list_init(&condition->waiters);
}

enum wake_reason condition_wait(scheduler *scheduler, condition *condition, time_us deadline) {
  return suspend_current_task(scheduler, condition, deadline);
}

void condition_broadcast(condition *condition) {
  while (!list_is_empty(&condition->waiters))
    wake_task(list_item(condition->waiters.next, task, waiting), WAKE_SIGNALLED);
}
