#ifndef RUNTIME_FAULT_H
#define RUNTIME_FAULT_H
/** Crash reports: what a process prints about a fatal signal before the signal ends it. */

/** Installs handlers for SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT. The handler prints the
 * signal, the address and a backtrace (module and offset, for addr2line) to standard error, and
 * then lets the signal end the process as it would without a handler. Call it once, from the first
 * thread, before other threads start. It does nothing under the address sanitizer, whose own
 * reports are more detailed. */
void fault_reports_install(void);
#endif
