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

enum { STACK = 128 * 1024, GUARD = 4096, SPARE_MOST = 64, TASKS_A_LOOK = 16 };

struct task {
  list_node all, ready, wait;
  scheduler *scheduler;
  coroutine_t co;
  GSequenceIter *due;
  time_us till;
  enum wake why;
  const char *name;
  void (*run)(void *);
  void *arg;
  void *stack;
  const void *low;
  size_t size;
  bool done, urgent;
};

/* tasks that are over, with their stacks: the next ones of this thread run on them */
static _Thread_local list_node spare;
static _Thread_local int spares;

#if defined(__x86_64__) && !ASAN_ON
#include <ucontext.h>
#define GREG(r) offsetof(ucontext_t, uc_mcontext.gregs[r])
/* what libpcl calls; the C library's asks the kernel for the signal mask at each switch, and no
 * task has one of its own */
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
  void *fake = NULL;
  __sanitizer_start_switch_fiber(task->done ? NULL : &fake, task->low, task->size);
  co_resume();
  __sanitizer_finish_switch_fiber(fake, NULL, NULL);
#else
  (void)task;
  co_resume();
#endif
}

static void body(void *p) {
  task *task = p;
#if ASAN_ON
  __sanitizer_finish_switch_fiber(NULL, &task->low, &task->size);
#endif
  for (;;) {
    task->run(task->arg);
    task->done = true;
    switch_to_scheduler(task);
  }
}

static void switch_to_task(task *task) {
#if ASAN_ON
  void *fake = NULL;
  __sanitizer_start_switch_fiber(&fake, task->stack, STACK);
  co_call(task->co);
  __sanitizer_finish_switch_fiber(fake, NULL, NULL);
#else
  co_call(task->co);
#endif
}

static int deadline_compare(gconstpointer a, gconstpointer b, gpointer ctx) {
  (void)ctx;
  const task *x = a, *y = b;
  return x->till.us < y->till.us ? -1 : x->till.us > y->till.us;
}

void scheduler_init(scheduler *scheduler, time_us (*now)(void *), void *ctx) {
  memset(scheduler, 0, sizeof *scheduler);
  list_init(&scheduler->ready);
  list_init(&scheduler->all);
  scheduler->sleepers = g_sequence_new(NULL);
  scheduler->now = now;
  scheduler->now_context = ctx;
}

/* pages that are never touched cost no memory; a stack that overflows meets a page that can't be
 * touched */
static task *task_new(void) {
  task *t = g_new0(task, 1);
  char *p = mmap(NULL, GUARD + STACK, PROT_READ | PROT_WRITE,
                 MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE | MAP_STACK, -1, 0);
  if (p == MAP_FAILED)
    abort();
  mprotect(p, GUARD, PROT_NONE);
  t->stack = p + GUARD;
  t->co = co_create(body, t, t->stack, STACK);
  if (!t->co)
    abort();
  return t;
}

static void ready_add(task *task) {
  list_node *ready = &task->scheduler->ready;
  list_append(task->urgent ? ready->next : ready, &task->ready);
}

static void start(scheduler *scheduler, const char *name, void (*run)(void *), void *arg,
                  bool urgent) {
  task *t;
  if (spares) {
    t = list_item(spare.prev, task, all);
    list_remove(&t->all);
    spares--;
  } else
    t = task_new();
  t->scheduler = scheduler;
  t->name = name;
  t->run = run;
  t->arg = arg;
  t->done = false;
  t->urgent = urgent;
  list_init(&t->wait);
  list_append(&scheduler->all, &t->all);
  ready_add(t);
  scheduler->count++;
}

void task_start(scheduler *scheduler, const char *name, void (*run)(void *), void *arg) {
  start(scheduler, name, run, arg, false);
}

void task_start_urgent(scheduler *scheduler, const char *name, void (*run)(void *), void *arg) {
  start(scheduler, name, run, arg, true);
}

static void drop(task *task) {
  list_remove(&task->all);
  task->scheduler->count--;
  if (spares < SPARE_MOST) {
    task->scheduler = NULL;
    if (!spares++)
      list_init(&spare);
    list_append(&spare, &task->all);
    return;
  }
  co_delete(task->co);
#if ASAN_ON
  __asan_unpoison_memory_region(task->stack, STACK);
#endif
  munmap((char *)task->stack - GUARD, GUARD + STACK);
  g_free(task);
}

static void wake_up(task *task, enum wake why) {
  task->why = why;
  if (task->due) {
    g_sequence_remove(task->due);
    task->due = NULL;
  }
  list_remove(&task->wait);
  ready_add(task);
}

static void wake_sleepers(scheduler *scheduler) {
  time_us now = scheduler->now(scheduler->now_context);
  GSequenceIter *it;
  while (!g_sequence_iter_is_end(it = g_sequence_get_begin_iter(scheduler->sleepers))) {
    task *t = g_sequence_get(it);
    if (t->till.us > now.us && !scheduler->stopped)
      break;
    wake_up(t, scheduler->stopped ? WAKE_STOPPED : WAKE_TIMEOUT);
  }
}

static void run_first(scheduler *scheduler) {
  task *t = list_item(scheduler->ready.next, task, ready);
  list_remove(&t->ready);
  scheduler->current = t;
  switch_to_task(t);
  scheduler->current = NULL;
  if (t->done)
    drop(t);
}

time_us scheduler_run(scheduler *scheduler) {
  for (;;) {
    wake_sleepers(scheduler);
    if (list_is_empty(&scheduler->ready))
      break;
    /* sleepers are looked at now and then, so that urgent ones don't wait for a long line */
    for (int k = 0; k < TASKS_A_LOOK && !list_is_empty(&scheduler->ready); k++)
      run_first(scheduler);
  }
  GSequenceIter *it = g_sequence_get_begin_iter(scheduler->sleepers);
  return g_sequence_iter_is_end(it) ? time_never() : ((task *)g_sequence_get(it))->till;
}

void scheduler_stop(scheduler *scheduler) {
  scheduler->stopped = true;
  while (scheduler->count) {
    if (!scheduler->sleepers ||
        (g_sequence_is_empty(scheduler->sleepers) && list_is_empty(&scheduler->ready)))
      break;
    scheduler_run(scheduler);
  }
}

void scheduler_free(scheduler *scheduler) {
  if (scheduler->sleepers)
    g_sequence_free(scheduler->sleepers);
  scheduler->sleepers = NULL;
}

static enum wake suspend(scheduler *scheduler, condition *b, time_us till) {
  task *task = scheduler->current;
  if (scheduler->stopped)
    return WAKE_STOPPED;
  task->till = till;
  task->due = g_sequence_insert_sorted(scheduler->sleepers, task, deadline_compare, NULL);
  if (b)
    list_append(&b->waiters, &task->wait);
  switch_to_scheduler(task);
  return scheduler->stopped ? WAKE_STOPPED : task->why;
}

enum wake task_sleep(scheduler *scheduler, time_us span) {
  return suspend(scheduler, NULL, time_add(scheduler->now(scheduler->now_context), span));
}

void condition_init(condition *b) {
  list_init(&b->waiters);
}

enum wake condition_wait(scheduler *scheduler, condition *b, time_us till) {
  return suspend(scheduler, b, till);
}

void condition_broadcast(condition *b) {
  while (!list_is_empty(&b->waiters))
    wake_up(list_item(b->waiters.next, task, wait), WAKE_SIGNALLED);
}
