/** asterctl: the operators' command line. This file has the table of commands, from which the help
 * text is made; the commands themselves are in lib/cli. */
#include "node.h"
#include "commands.h"
#include "program.h"
#include <stdio.h>

/** A command. Where one name has several rows, as `canary` does, the first one runs, and the others
 * are there for the help text. */
struct command {
  const char *name;
  /** How it is called, and what it does; a line feed starts another line of the help text. */
  const char *usage, *summary;
  enum exit_code (*run)(const struct command_context *context);
  /** How many words it takes, itself among them. */
  int words_min, words_max;
  /** It asks processes of a fleet, so it needs addresses and a world. */
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

/** The column of the help text at which summaries start, less the two spaces before each usage. */
enum { SUMMARY_COLUMN = 27 };

/** Appends the row of a command to the help text. */
static void append_command_help(GString *help, const struct command *command) {
  char **lines = g_strsplit(command->summary, "\n", -1);
  for (char **line = lines; *line; line++)
    g_string_append_printf(help, "  %-*s%s\n", SUMMARY_COLUMN, line == lines ? command->usage : "",
                           *line);
  g_strfreev(lines);
}

/** The help text as argp takes it; the caller frees it. */
static GString *make_help(void) {
  GString *help = g_string_new(help_start);
  for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
    append_command_help(help, &commands[i]);
  g_string_append(help, help_end);
  return help;
}

/** The command that the words of the command line call, or NULL. */
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

/** True when there are addresses and each is an ip:port; prints an error when not. */
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
      asterctl_error("%s is no ip:port", *address);
  }
  g_strfreev(split);
  return are_valid;
}

/** A command that runs in a task. */
struct command_run {
  const struct command *command;
  struct command_context *context;
  enum exit_code exit_code;
};

/** The task of the command; the event loop ends with it. */
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
    asterctl_error("no such command, or not so many words; see --help");
    return EXIT_CODE_USAGE;
  }
  return run_with_world(command, &context);
}
