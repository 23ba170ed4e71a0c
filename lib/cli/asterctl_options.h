#ifndef CLI_ASTERCTL_OPTIONS_H
#define CLI_ASTERCTL_OPTIONS_H
/** The command line of asterctl: options with their defaults and limits, and the command with its
 * arguments. */
#include "policy_replay.h"

enum { ASTERCTL_WORDS_MAX = 8 };

/** The parsed command line. All strings belong to argv or to the environment. */
struct asterctl_options {
  /** Addresses to query, separated by commas, from --at or ASTERCTL_AT; NULL when neither is set.
   */
  const char *addresses;
  /** The file to read or write, from --file; NULL when none is given. */
  const char *file;
  /** A write replaces only this version; NULL: any version. */
  const char *if_version;
  /** NULL: each write gets a random key. */
  const char *idempotency_key;
  /** How many seconds a write waits until it is in force at every live node; 0: no wait. */
  int wait_s;
  /** Print JSON in place of text. */
  bool json;
  /** The words that are not options: the command and its arguments. */
  const char *words[ASTERCTL_WORDS_MAX];
  int word_count;
  /** For `trial`: how traces are generated, the parameters of the replay, the number of traces, and
   * the policies in one string. */
  trace_plan trace_plan;
  replay_options replay;
  int trace_count;
  const char *policies;
};

/** Parses the command line; options that are not given have their defaults. A vertical tab in the
 * help text separates what argp prints before the options from what it prints after them. Ends the
 * program with EXIT_CODE_USAGE on bad input, and with 0 after --help. */
void asterctl_options_parse(struct asterctl_options *options, int argc, char **argv,
                            const char *help);
/** The word at an index, where 0 is the command; "" when there is none. */
const char *asterctl_options_word(const struct asterctl_options *options, int index);
#endif
