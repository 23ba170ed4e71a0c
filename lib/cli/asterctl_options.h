#ifndef CLI_ASTERCTL_OPTIONS_H
#define CLI_ASTERCTL_OPTIONS_H
/** The command line of asterctl: options with their defaults and limits, and the command's words.
 */
#include "policy_replay.h"

enum { ASTERCTL_WORDS_MAX = 8 };

/** What the command line says. All texts belong to argv or to the environment. */
struct asterctl_options {
  /** Addresses to ask, separated by commas, by --at or ASTERCTL_AT; NULL when neither is given. */
  const char *addresses;
  /** The file to read or write; NULL when none is given. */
  const char *file;
  /** Only this version is overwritten; NULL: any. */
  const char *if_version;
  /** NULL: each write draws one of its own. */
  const char *idempotency_key;
  /** How long a write waits to be in force at every live node, in seconds; 0: it does not. */
  int wait_s;
  /** Print JSON in place of text. */
  bool json;
  /** The command and its arguments. */
  const char *words[ASTERCTL_WORDS_MAX];
  int word_count;
  /** For `trial`: how traces are drawn, what the replay varies, how many traces, and the policies
   * in one text. */
  trace_plan trace_plan;
  replay_options replay;
  int trace_count;
  const char *policies;
};

/** Reads the command line over the defaults. The help text is printed before and after a vertical
 * tab as argp has it. Ends the program with EXIT_CODE_USAGE on bad input, and with 0 after --help.
 */
void asterctl_options_parse(struct asterctl_options *options, int argc, char **argv,
                            const char *help);
/** The word at an index, where 0 is the command; "" when there is none. */
const char *asterctl_options_word(const struct asterctl_options *options, int index);
#endif
