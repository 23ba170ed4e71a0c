#ifndef CLI_RESOURCE_WRITE_H
#define CLI_RESOURCE_WRITE_H
/** Writes of the versioned resources of a fleet, as several commands send them. */
#include "control_client.h"

/** The longest path of a resource or page, with a query. */
enum { RESOURCE_PATH_SIZE = 80 };

/** True when a name is that of a resource that can be written. */
bool resource_name_is_valid(const char *name);
/** Sends a value (PUT) or a patch (PATCH) of a resource, prints the answer, and waits until it is
 * in force if the command line asks for that. The write has an idempotency key, so it is safe to
 * retry. `if_version` NULL writes over any version. */
enum exit_code resource_write(const struct command_context *context, const char *verb,
                              const char *resource, string_view body, const char *if_version);
/** The same with the body from the command line's --file. */
enum exit_code resource_write_file(const struct command_context *context, const char *verb,
                                   const char *resource);
/** Asks every node until all live ones have a version in force, for --wait seconds at most, and
 * prints how it ended. EXIT_CODE_OK or EXIT_CODE_NOT_IN_FORCE. */
enum exit_code resource_wait_in_force(const struct command_context *context, uint64_t version);
#endif
