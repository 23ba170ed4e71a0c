#ifndef CLI_COMMANDS_H
#define CLI_COMMANDS_H
/** The commands of asterctl, one function each. bin/asterctl.c has the table of their names and
 * help texts. Each prints its result on standard output and errors on standard error, and returns
 * the exit code of the program. All but `trial` run in a task of the context's world. */
#include "control_client.h"

/** get RESOURCE: prints a resource, or another page of the operators' API. */
enum exit_code get_command_run(const struct command_context *context);
/** apply RESOURCE -f FILE: replaces a resource. */
enum exit_code apply_command_run(const struct command_context *context);
/** patch RESOURCE -f FILE: merges a file into a resource (RFC 7396). */
enum exit_code patch_command_run(const struct command_context *context);
/** watch RESOURCE: prints each new version of a resource until no address answers any more. */
enum exit_code watch_command_run(const struct command_context *context);
/** evacuate AREA [SHARE]: moves load out of a zone, or out of a share of its engines. */
enum exit_code evacuate_command_run(const struct command_context *context);
/** status: prints the chain of controllers and one row per node. */
enum exit_code status_command_run(const struct command_context *context);
/** gateways: prints one row per gateway. */
enum exit_code gateways_command_run(const struct command_context *context);
/** canary start, status or stop: a canary trial of an engine selection policy. */
enum exit_code canary_command_run(const struct command_context *context);
/** doctor: checks a running fleet for common faults. */
enum exit_code doctor_command_run(const struct command_context *context);
/** record -f FILE: writes recently routed requests as a trace. */
enum exit_code record_command_run(const struct command_context *context);
/** trial [table]: replays traces under several eviction policies, without a fleet. Not related to
 * canary trials. */
enum exit_code trial_command_run(const struct command_context *context);
#endif
