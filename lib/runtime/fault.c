/** Crash reports: see fault.h. The handler calls only functions that are safe in a signal handler.
 */
#define _GNU_SOURCE
#include "fault.h"
#include <execinfo.h>
#include <signal.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

enum { FRAMES_MAX = 48, HANDLER_STACK_BYTES = 64 * 1024, LINE_BYTES = 160, HEX_DIGITS = 16 };

static const int fatal_signals[] = { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT };

/* The handler runs on its own stack, because the fault may be a stack overflow. */
static char handler_stack[HANDLER_STACK_BYTES];

static const char *signal_name(int number) {
  switch (number) {
  case SIGSEGV:
    return "SIGSEGV";
  case SIGBUS:
    return "SIGBUS";
  case SIGILL:
    return "SIGILL";
  case SIGFPE:
    return "SIGFPE";
  default:
    return "SIGABRT";
  }
}

static void append_text(char *line, size_t *length, const char *text) {
  size_t added = strlen(text);
  if (*length + added > LINE_BYTES)
    added = LINE_BYTES - *length;
  memcpy(line + *length, text, added);
  *length += added;
}

static void append_address(char *line, size_t *length, uintptr_t address) {
  char digits[HEX_DIGITS + 1] = { 0 };
  for (int i = HEX_DIGITS - 1; i >= 0; i--, address >>= 4)
    digits[i] = "0123456789abcdef"[address & 15];
  append_text(line, length, "0x");
  append_text(line, length, digits);
}

static void write_report(int number, const siginfo_t *info) {
  char line[LINE_BYTES];
  size_t length = 0;
  append_text(line, &length, "fault: ");
  append_text(line, &length, signal_name(number));
  append_text(line, &length, " at address ");
  append_address(line, &length, (uintptr_t)info->si_addr);
  append_text(line, &length, "; backtrace:\n");
  if (write(STDERR_FILENO, line, length) < 0)
    return;
  void *frames[FRAMES_MAX];
  int count = backtrace(frames, FRAMES_MAX);
  backtrace_symbols_fd(frames, count, STDERR_FILENO);
}

static void on_fatal_signal(int number, siginfo_t *info, void *context) {
  (void)context;
  /* a second fault inside this handler ends the process immediately */
  signal(number, SIG_DFL);
  write_report(number, info);
  raise(number);
}

void fault_reports_install(void) {
#ifndef __SANITIZE_ADDRESS__
  /* the first call loads the unwinder, which must not happen inside the handler */
  void *frame;
  backtrace(&frame, 1);
  stack_t stack = { .ss_sp = handler_stack, .ss_size = sizeof handler_stack };
  sigaltstack(&stack, NULL);
  struct sigaction action = { .sa_sigaction = on_fatal_signal,
                              .sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER };
  for (size_t i = 0; i < sizeof fatal_signals / sizeof *fatal_signals; i++)
    sigaction(fatal_signals[i], &action, NULL);
#else
  (void)handler_stack;
  (void)fatal_signals;
  (void)on_fatal_signal;
#endif
}
