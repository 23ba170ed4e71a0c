#ifndef RUNTIME_FAULT_H
#define RUNTIME_FAULT_H
/** Crash reports: what a process prints about a fatal signal before it ends by it. */

/** Installs handlers for SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT. A handler prints the signal,
 * the address and a backtrace (module and offset, for addr2line) to standard error and then lets
 * the signal end the process as it would have without the handler. To be called once, by the first
 * thread, before others start. Under the address sanitizer, whose own reports say more, it does
 * nothing. */
void fault_reports_install(void);
#endif
