#ifndef CLI_EXIT_CODE_H
#define CLI_EXIT_CODE_H
/** The exit codes of asterctl. Scripts depend on the numbers, so they never change. */

enum exit_code {
  /** Done, and nothing wrong found. */
  EXIT_CODE_OK = 0,
  /** The fleet rejected the request, the command failed, or the doctor found a fault. */
  EXIT_CODE_FAILED = 1,
  /** Bad command line, or an input file that can't be read. */
  EXIT_CODE_USAGE = 2,
  /** Another write came first: the resource no longer has the version that --if-version names. */
  EXIT_CODE_CONFLICT = 3,
  /** It is not known whether the write was committed. */
  EXIT_CODE_UNKNOWN_OUTCOME = 4,
  /** No address answered. */
  EXIT_CODE_NO_ANSWER = 5,
  /** Committed, but not in force at every live node in time (--wait). */
  EXIT_CODE_NOT_IN_FORCE = 6
};
#endif
