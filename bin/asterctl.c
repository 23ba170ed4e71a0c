/** asterctl: the command-line tool for operators. This file has the table of commands, from which
 * the help text is generated; the commands are implemented in lib/cli. */
#include "node.h"
#include "commands.h"
#include "program.h"
#include <stdio.h>

/** A command. When a name has several rows, as `canary` does, the first one runs, and the others
 * only add to the help text. */
struct command {
  const char *name;
  /** The usage and a summary for the help text; a line feed in the summary starts a new line. */
  const char *usage, *summary;
  enum exit_code (*run)(const struct command_context *context);
  /** The number of words on the command line that are not options, including the name. */
  int words_min, words_max;
  /** True when the command sends requests to a fleet, so it needs addresses and a world. */
  bool needs_fleet;
};

static const struct command commands[] = {
  { "get", "get RESOURCE",
    "catalogue, policy, evacuation, routing, canary, view, nodes, status, contracts, engines, holdings,\n"
    "registry (at a core machine), gateway (at a gateway)",
    get_command_run, 2, 2, true },
  { "apply", "apply RESOURCE -f FILE",
    "puts the whole of catalogue, policy, evacuation, routing or canary", apply_command_run, 2, 2,
    true },
  { "patch", "patch RESOURCE -f FILE",
    "merges a part into it (RFC 7396); for routing: {version, set, drop} by names",
    patch_command_run, 2, 2, true },
  { "gateways", "gateways", "all gateways at a glance: ready, revision, requests, engines",
    gateways_command_run, 1, 1, true },
  { "watch", "watch RESOURCE", "prints each new version as it comes", watch_command_run, 2, 2,
    true },
  { "evacuate", "evacuate AREA [SHARE]",
    "empties an area, or a share of its engines from 0 to 1; 0 ends it", evacuate_command_run, 1,
    ASTERCTL_WORDS_MAX, true },
  { "status", "status", "the core and all nodes at a glance", status_command_run, 1, 1, true },
  { "record", "record -f FILE",
    "writes what the routers routed lately as a trace (at are routers and a controller)",
    record_command_run, 1, 1, true },
  { "canary", "canary start -f FILE", "puts a routing policy on trial (docs/trial.md)",
    canary_command_run, 2, 2, true },
  { "canary", "canary status", "the trial, its judge and what each side did so far, or its verdict",
    canary_command_run, 2, 2, true },
  { "canary", "canary stop", "ends it; every new request goes by the old policy",
    canary_command_run, 2, 2, true },
  { "trial", "trial [table]",
    "replays a trace (-f) or drawn ones under several policies; needs no fleet", trial_command_run,
    1, ASTERCTL_WORDS_MAX, false },
  { "doctor", "doctor", "looks for common faults; ends with 1 when it finds one",
    doctor_command_run, 1, 1, true },
};

static const char help_start[] = "asterctl: the operators' command line of asterfall\v"
                                 "Commands:\n";
static const char help_end[] =
    "\nEnds with 0 done, 1 refused or fault found, 2 bad use, 3 lost race, 4 outcome not known, 5 no answer,\n"
    "6 written, but not in force at every live node in time (--wait).\n";

/** The width of the usage column in the help text, without the two spaces before it. */
enum { SUMMARY_COLUMN = 27 };

/** Appends the row of a command to the help text. */
static void append_command_help(GString *help, const struct command *command) {
  char **lines = g_strsplit(command->summary, "\n", -1);
  for (char **line = lines; *line; line++)
    g_string_append_printf(help, "  %-*s%s\n", SUMMARY_COLUMN, line == lines ? command->usage : "",
                           *line);
  g_strfreev(lines);
}

/** Returns the help text in the format of argp; the caller frees it. */
static GString *make_help(void) {
  GString *help = g_string_new(help_start);
  for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
    append_command_help(help, &commands[i]);
  g_string_append(help, help_end);
  return help;
}

/** Returns the command that matches the words of the command line, or NULL. */
static const struct command *find_command(const struct asterctl_options *options) {
  for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
    const struct command *command = &commands[i];
    bool fits =
        options->word_count >= command->words_min && options->word_count <= command->words_max;
    if (fits && !strcmp(options->words[0], command->name))
      return command;
  }
  return NULL;
}

/** True when there are addresses and each is an ip:port; prints an error otherwise. */
static bool addresses_are_valid(const char *addresses) {
  if (!addresses) {
    asterctl_error("--at or ASTERCTL_AT is needed");
    return false;
  }
  char **split = g_strsplit(addresses, ",", -1);
  bool are_valid = true;
  for (char **address = split; *address && are_valid; address++) {
    are_valid = address_is_valid(*address);
    if (!are_valid)
      asterctl_error("%s is not an ip:port", *address);
  }
  g_strfreev(split);
  return are_valid;
}

/** The argument and result of the task that runs a command. */
struct command_run {
  const struct command *command;
  struct command_context *context;
  enum exit_code exit_code;
};

/** The task that runs the command and then stops the event loop. */
static void run_command(void *argument) {
  struct command_run *run = argument;
  run->exit_code = run->command->run(run->context);
  real_world_stop(run->context->world);
}

/** Runs a command against a fleet. */
static enum exit_code run_with_world(const struct command *command,
                                     struct command_context *context) {
  context->world = program_client_world("asterctl", &(real_settings){ 0 });
  if (!context->world)
    return EXIT_CODE_NO_ANSWER;
  struct command_run run = { command, context, EXIT_CODE_OK };
  task_start(&context->world->tasks, "main", run_command, &run);
  real_world_run(context->world, NULL, NULL);
  real_world_free(context->world);
  return run.exit_code;
}

int main(int argc, char **argv) {
  struct command_context context = { 0 };
  GString *help = make_help();
  asterctl_options_parse(&context.options, argc, argv, help->str);
  g_string_free(help, TRUE);
  const struct command *command = find_command(&context.options);
  if (command && !command->needs_fleet)
    return command->run(&context);
  if (!addresses_are_valid(context.options.addresses))
    return EXIT_CODE_USAGE;
  if (!command) {
    asterctl_error("unknown command, or wrong number of arguments; see --help");
    return EXIT_CODE_USAGE;
  }
  return run_with_world(command, &context);
}
